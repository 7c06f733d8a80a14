/* What the files of the task "parts" share. */
#ifndef AGENT_PARTS_H
#define AGENT_PARTS_H

#include "agent.h"

/* ---- of the pure part -------------------------------------------------- */

/* Ends a part in that state and spends its rank. */
void Part_End(struct parts *p, struct part *part, enum part_state state,
              const char *reason, int64_t now);
/* Stops a part by then at the latest; ends it when nothing can run. */
void Part_StopBy(struct parts *p, struct part *part, const char *reason,
                 int64_t stop_by, int64_t now);
/* Notes a change of state. */
void Part_SetState(struct part *part, enum part_state state,
                   const char *reason);

/* ---- the task ---------------------------------------------------------- */

/* What may be asked of the runner for one part at a time. */
enum runner_call_kind { CALL_START = 1, CALL_RENEW = 2, CALL_CONTROL = 4 };

/* An entry that may renew gangs. */
struct renewer {
    struct reachable_entry entry;
    uint64_t stamp_incarnation; /* that the stamp is of; 0: none yet */
    int64_t stamp;              /* newest */
    int unanswered;             /* pulses */
    bool pulse_due;             /* hears a pulse in this round */
    bool listed;                /* in the list that is being taken in */
    TAILQ_ENTRY(renewer) link;
};

TAILQ_HEAD(renewer_list, renewer);

/* What a callback of the runner needs to find its part again. */
struct runner_call {
    struct parts_task *task;
    enum runner_call_kind kind;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    int64_t lease; /* that was asked for, agent clock */
    enum runner_verb verb;
    TAILQ_ENTRY(runner_call) entry;
};

struct parts_task {
    struct task task;
    const struct agent_settings *settings;
    struct parts parts;
    struct runner *runner; /* NULL: no jobs */
    TAILQ_HEAD(, runner_call) calls;
    struct renewer_list renewers;
    int64_t worker_clock;  /* a reading of the runner's clock... */
    int64_t clock_read_at; /* ...not after this, on ours */
    bool listing;
    bool adopted; /* parts that no hello has named */
    int64_t list_requested_at;
    ev_timer tick;
    ev_timer pulse;
};

/* Brings the runner to what the parts' states ask for. */
void PartsRunner_Update(struct parts_task *t, int64_t now);
/* Frees the runner and what its open calls hold. */
void PartsRunner_Free(struct parts_task *t);

/* Tells what has changed: entries, and links for the next hello. */
void PartsReport_Changes(struct parts_task *t, int64_t now);
/* Says the state of one part to an entry, or to all ("" origin). */
void PartsReport_Task(struct parts_task *t, const char *origin,
                      const struct part *part);
/* The parts, for operators. */
json_t *PartsReport_State(const struct parts_task *t);

/* Takes in which entries are heard. */
void PartsPulse_SetReachable(struct parts_task *t,
                             const struct reachable_note *note);
/* Says the pulses that are due, one for each renewer. */
void PartsPulse_Send(struct parts_task *t, int64_t now);
/* A renewer has answered. False: its answer is of no use. */
bool PartsPulse_HandleRenew(struct parts_task *t, const char *origin,
                            const struct wire_renew *m);
/* The renewer of a job: the same wherever the same entries are heard; NULL
 * when none is. */
struct renewer *PartsPulse_Choose(struct renewer_list *renewers,
                                  const struct id *job);
void PartsPulse_Free(struct parts_task *t);

#endif
