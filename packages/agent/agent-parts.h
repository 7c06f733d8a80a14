/* Parts of gangs: declarations that the files of the task "parts" share. */
#ifndef AGENT_PARTS_H
#define AGENT_PARTS_H

#include "agent.h"

/* ---- state of parts, without clock and I/O ----------------------------- */

/* Ends a part in the given state and spends its rank. */
void Part_End(struct parts *p, struct part *part, enum part_state state,
              const char *reason, int64_t now);
/* Stops a part by stop_by at the latest. Ends it at once when its start was
 * not requested, as no task can be running then. */
void Part_StopBy(struct parts *p, struct part *part, const char *reason,
                 int64_t stop_by, int64_t now);
/* Sets the state of a part and marks it as to be reported. */
void Part_SetState(struct part *part, enum part_state state,
                   const char *reason);

/* ---- the task ---------------------------------------------------------- */

/* Kinds of calls of the runner. For each part at most one start and one renew
 * is open at a time. */
enum runner_call_kind { CALL_START = 1, CALL_RENEW = 2, CALL_CONTROL = 4 };

/* An entry to which pulses may be sent, and which renews the leases of gangs
 * in reply. */
struct renewer {
    struct reachable_entry entry;
    /* Incarnation of the entry that sent the stamp; 0: no stamp yet. */
    uint64_t stamp_incarnation;
    int64_t stamp;  /* newest stamp received; echoed in the next pulse */
    int unanswered; /* pulses sent since the last reply */
    bool pulse_due; /* a pulse is sent to it in this round */
    bool listed;    /* in the new list of reachable entries */
    TAILQ_ENTRY(renewer) link;
};

TAILQ_HEAD(renewer_list, renewer);

/* Argument of a runner callback. It names the part by its rank, as the part
 * may have been removed when the call ends. */
struct runner_call {
    struct parts_task *task;
    enum runner_call_kind kind;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    int64_t lease; /* end of lease that was requested, on the agent's clock */
    enum runner_verb verb;
    TAILQ_ENTRY(runner_call) entry;
};

struct parts_task {
    struct task task;
    const struct agent_settings *settings;
    struct parts parts;
    struct runner *runner; /* NULL: this worker runs no jobs */
    TAILQ_HEAD(, runner_call) calls;
    struct renewer_list renewers;
    int64_t worker_clock;  /* a reading of the runner's clock */
    int64_t clock_read_at; /* agent's clock when that reading arrived */
    bool listing;          /* a call for the runner's list is open */
    bool adopted;          /* adopted parts that no hello has listed yet */
    int64_t list_requested_at;
    ev_timer tick;
    ev_timer pulse;
};

/* Makes the calls of the runner that follow from the states of the parts. */
void PartsRunner_Update(struct parts_task *t, int64_t now);
/* Frees the runner and its open calls. */
void PartsRunner_Free(struct parts_task *t);

/* Reports changed parts to the entries, and to the task "links" for the next
 * hello. */
void PartsReport_Changes(struct parts_task *t, int64_t now);
/* Sends the state of one part to the entry at that origin, or to all entries
 * when it is "". */
void PartsReport_Task(struct parts_task *t, const char *origin,
                      const struct part *part);
/* The state of the parts as JSON, for operators. */
json_t *PartsReport_State(const struct parts_task *t);

/* Sets the renewers to the reachable entries. */
void PartsPulse_SetReachable(struct parts_task *t,
                             const struct reachable_note *note);
/* Sends the pulses that are due, one to each renewer at most. */
void PartsPulse_Send(struct parts_task *t, int64_t now);
/* Records the reply of a renewer. Returns false when it comes from another
 * incarnation than the present one of the entry, or is for another one of the
 * agent; the leases in it must not be used then. */
bool PartsPulse_HandleRenew(struct parts_task *t, const char *origin,
                            const struct wire_renew *m);
/* Chooses the renewer of a job; agents with the same reachable entries choose
 * the same one. Returns NULL when no entry is reachable. */
struct renewer *PartsPulse_Choose(struct renewer_list *renewers,
                                  const struct id *job);
void PartsPulse_Free(struct parts_task *t);

#endif
