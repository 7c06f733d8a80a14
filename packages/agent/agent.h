/*
 * agent: the process beside each worker and its upstreams. It is the
 * authority for what runs there and keeps nothing durable.
 *
 * Tasks of the process, and the messages between them:
 *
 *   links     keeps a link to each entry. Sends hellos, and heartbeats at the
 *             interval that the entry sets; replaces a silent link by a new
 *             one; learns of further entries from each welcome. Forwards
 *             messages from entries to the other tasks (struct inbound) and
 *             sends their replies (struct outbound).
 *   work      requests: takes or refuses a dispatch, calls the upstream, keeps
 *             the answer until the entry has settled it, fences withdrawn
 *             attempts.
 *   parts     gangs: reservations, leases, the worker's task runner.
 *   announce  a local HTTP port where upstreams announce themselves.
 *
 * Attempts of requests: an attempt (request, attempt, incarnation) is
 * unknown, fenced or taken. It can be taken only from unknown, only by the
 * incarnation to which it was dispatched, and only until its not_after. A
 * withdraw fences an unknown attempt, and is answered with "started" for a
 * taken one. An entry that receives "not started" may therefore send the
 * request elsewhere, however late a copy of the dispatch arrives.
 */
#ifndef AGENT_H
#define AGENT_H

#include "base.h"
#include "cells.h"
#include "config.h"
#include "http.h"
#include "kernel.h"
#include "platform.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- messages between the tasks ---------------------------------------- */

/* links -> work, parts: a message from an entry. */
struct inbound {
    struct message base;
    char origin[NAME_SIZE]; /* address of the entry's link */
    struct wire_msg *m;
};

/* work, parts -> links: a message to the entry at that origin, or to all
 * entries when the origin is "". */
struct outbound {
    struct message base;
    char origin[NAME_SIZE];
    struct wire_msg *m;
};

/* work -> links: the full list of this worker's services. */
struct services_note {
    struct message base;
    struct wire_list services; /* struct wire_service */
};

/* work -> links: how much an entry has in progress here. While it has any,
 * heartbeats on its link are frequent, so that a broken link is found soon. */
struct busy_note {
    struct message base;
    char origin[NAME_SIZE];
    int count;            /* attempts that run or whose answer is unsettled */
    struct wire_list own; /* uint64: running attempts of each service, in the
                           * order of the list of services */
};

/* parts -> links: the full list of parts that this worker holds. */
struct parts_note {
    struct message base;
    struct wire_list parts; /* struct wire_part */
    bool adopted;           /* after a restart: no hello has listed them yet */
};

/* An entry that has welcomed the agent on its present link and does not
 * drain. */
struct reachable_entry {
    char address[NAME_SIZE];
    char name[NAME_SIZE];
    uint64_t incarnation;
};

/* links -> parts: the full list of reachable entries, sent whenever it
 * changes. */
struct reachable_note {
    struct message base;
    struct wire_list entries; /* struct reachable_entry */
};

/* announce -> work: an upstream was added, has changed or is removed. */
struct upstream_note {
    struct message base;
    char service[NAME_SIZE];
    char url[WIRE_TEXT_SIZE];
    uint64_t slots; /* 0: the upstream is removed */
    uint64_t connections;
};

extern const struct message_kind Agent_Inbound;
extern const struct message_kind Agent_Outbound;
extern const struct message_kind Agent_Services;
extern const struct message_kind Agent_Busy;
extern const struct message_kind Agent_Parts;
extern const struct message_kind Agent_Reachable;
extern const struct message_kind Agent_Upstream;

/* Sends m to the entry whose link has the address `origin`, or to all entries
 * when it is "", through the links task. Takes ownership of m. */
void Agent_Send(struct kernel *k, const char *origin, struct wire_msg *m);

/* The incarnation of this process: a random number that is drawn once. It
 * tells an agent from the processes that ran under its name before. */
uint64_t Agent_Incarnation(void);

/* ---- attempts ----------------------------------------------------------
 *
 * Records of the attempts of requests on this worker. These functions read no
 * clock and do no I/O: times are arguments, in ms of the agent's clock.
 */

enum attempt_state {
    ATTEMPT_FENCED,  /* has not started and can't start any more */
    ATTEMPT_RUNNING, /* sent to the upstream */
    ATTEMPT_DONE,    /* ended; its answer is kept until it is settled */
    ATTEMPT_SETTLED  /* ended; its answer was settled, or dropped when no
                      * entry had settled it in time */
};

struct attempt {
    struct id request;
    uint64_t number;
    enum attempt_state state;
    int64_t not_after; /* can't start from then on; the record is kept at
                        * least until then */
    int64_t answer_kept_until; /* when an unsettled answer is dropped */
    char origin[NAME_SIZE];    /* link of the entry that receives the answer */
    /* The origin before a withdraw from another one; the answer is sent to it
     * too. "": none. */
    char previous_origin[NAME_SIZE];
    char service[NAME_SIZE];
    int64_t started_at;
    struct http_call *call;
    void *context; /* argument of the call's callback; freed with the record */
    struct wire_answer *answer;
    RB_ENTRY(attempt) entry;
};

RB_HEAD(attempt_tree, attempt);
int Attempts_Compare(const struct attempt *a, const struct attempt *b);
RB_PROTOTYPE(attempt_tree, attempt, entry, Attempts_Compare)

/* Limit of attempts on record. At the limit the agent takes no new one. */
#define ATTEMPTS_MAX 65536

struct attempts {
    struct attempt_tree tree;
    size_t count;
};

enum take_verdict {
    TAKE_NEW,      /* recorded as running; the caller starts it */
    TAKE_RUNNING,  /* a copy: runs already */
    TAKE_ANSWERED, /* a copy: has ended, the answer is to be sent again */
    TAKE_SETTLED,  /* a copy: has run, and its answer is dropped */
    TAKE_FENCED,   /* was withdrawn before the dispatch arrived */
    TAKE_STALE,    /* dispatched to another incarnation */
    TAKE_EXPIRED,  /* arrived at its not_after or later */
    TAKE_FULL      /* ATTEMPTS_MAX attempts are on record */
};

void Attempts_Init(struct attempts *a);
void Attempts_Free(struct attempts *a);
/* Decides what to do with a dispatch, and records it when it is new. *out is
 * the attempt's record if there is one, and NULL for TAKE_STALE. */
enum take_verdict Attempts_Take(struct attempts *a,
                                const struct wire_dispatch *m,
                                uint64_t incarnation, int64_t now,
                                struct attempt **out);
/* Fences an attempt that is unknown. *out is the record of a taken attempt,
 * else NULL. */
enum withdraw_verdict Attempts_Withdraw(struct attempts *a,
                                        const struct wire_withdraw *m,
                                        uint64_t incarnation, int64_t now,
                                        struct attempt **out);
/* Drops the answer of an attempt that has ended. The record stays, so that the
 * attempt is known to have run. */
void Attempts_Settle(struct attempt *at);
/* Fences an attempt that was taken but not sent to its upstream. */
void Attempts_Fence(struct attempt *at);
struct attempt *Attempts_Find(struct attempts *a, const struct id *request,
                              uint64_t number);
void Attempts_Remove(struct attempts *a, struct attempt *at);
/* Drops fenced and settled attempts whose not_after is over. Returns how many
 * it has dropped. */
size_t Attempts_Sweep(struct attempts *a, int64_t now);
const char *Attempts_VerdictName(enum take_verdict verdict);

/* ---- parts of gangs -----------------------------------------------------
 *
 * A part is one worker's share of a gang: a reservation of accelerators, then
 * the task on them. This is the agent's side of model/gang.pml. These
 * functions read no clock and do no I/O: times are arguments, in ms of the
 * agent's own clock. They keep the state of each part; the caller derives the
 * calls to the task runner from it, and passes the runner's task lists to
 * Parts_Reconcile.
 *
 *   RESERVED -> RUNNING -> STOPPING -> STOPPED, FAILED or DONE
 *
 * A part counts as stopped only once the runner has shown it, as the agent
 * must not report a fence as done while the task may still work. Parts that
 * have ended are kept until their owner has fenced them.
 *
 * The rank of a part is its pair of attempt and term. A rank is spent when
 * its part has ended or it was fenced: from then on neither it nor a lower
 * rank of the job can be reserved.
 */

#define PARTS_LEASE_MAX_MS 60000 /* longest lease of a reservation */
/* Longest wait of an urgent claim for the checkpoint of a displaced part: the
 * claim has to start within 1.8 s, commit and release included. */
#define PARTS_URGENT_GRACE_MS 800
/* Grace of a part whose label can't be read after a restart, so that its
 * class is not known. */
#define PARTS_ADOPTED_GRACE_MS 1000

enum parts_reason {
    PARTS_GRANTED,
    PARTS_DUPLICATE,         /* a copy of a message that was granted */
    PARTS_OTHER_INCARNATION, /* sent to another incarnation of the agent */
    PARTS_NO_RUNNER,         /* this worker runs no jobs */
    PARTS_NOT_READY,         /* the runner has not listed its tasks yet */
    PARTS_LEAVING,           /* the agent drains */
    PARTS_LOW_TERM,          /* sent by an owner that was replaced */
    PARTS_SPENT,             /* this rank or a higher one is spent */
    PARTS_JOB_HELD,          /* another attempt of the job runs or stops here;
                              * the owner has to fence it first */
    PARTS_INVALID,           /* a field is out of range: no lease, no members,
                              * or accelerators that the worker lacks */
    PARTS_BUSY,              /* accelerators are in use */
    PARTS_CLAIM,             /* the claim is not rightful: see
                              * parts_verdict.claim */
    PARTS_FULL,              /* SPENT_MAX spent ranks are on record */
    PARTS_LAPSED,            /* the reservation's lease is over */
    PARTS_UNKNOWN,           /* there is no such reservation or part */
    PARTS_OLD_BINDING        /* the bindings in force are as new or newer */
};

const char *Parts_ReasonName(enum parts_reason reason);

/* What is known of the start of a part's task at the runner. */
enum start_state {
    START_NOT_REQUESTED, /* the task can't be running */
    START_REQUESTED,     /* the task may be running */
    START_CONFIRMED      /* the runner has confirmed or listed the task */
};

struct part {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    enum part_state state;
    char reason[NAME_SIZE]; /* reason of the last change of state */
    uint64_t accelerators;  /* bit set of the worker's accelerators */
    uint64_t tasks;
    uint64_t members;
    int64_t grace_ms;
    bool guaranteed; /* cleared when the binding is withdrawn */
    char organisation[NAME_SIZE];
    struct buf spec;
    int64_t lease_until; /* end of the reservation's lease while RESERVED,
                          * then of the gang's lease */
    int64_t stop_by;     /* when STOPPING: stopped at once from then on */
    bool checkpointing;  /* may write its checkpoint until stop_by */
    int64_t ended_at;
    bool throttled;      /* as the owner has asked */
    bool fenced;         /* the record is removed once the part has ended */
    bool changed;        /* the state is still to be reported */
    bool grant_sent;     /* the grant was sent to the owner */
    int64_t reported_at; /* when the state was last sent to the entries */
    enum start_state start;
    bool start_uncertain;   /* the outcome of a start call is unknown, so that
                             * a late copy of it may still start the task */
    int64_t confirmed_at;   /* when the start was confirmed */
    int64_t checkpoint_ms;  /* age of the checkpoint in the last list of the
                             * runner; -1: there is none */
    int64_t usage_permille; /* usage in the last list of the runner */
    /* Requests to the runner; maintained by the task "parts", not by the
     * Parts_ functions. */
    unsigned open_calls;    /* calls in progress, enum runner_call_kind bits */
    int64_t lease_reported; /* end of the lease that the runner knows of */
    bool throttle_reported; /* the throttling that the runner has confirmed */
    bool checkpoint_requested; /* the runner was asked to stop it after its
                                * checkpoint */
    bool stop_requested;       /* the runner was asked to stop it at once */
    char origin[NAME_SIZE];    /* link of the entry that sent the prepare */
    TAILQ_ENTRY(part) entry;
};

TAILQ_HEAD(part_list, part);

/* The highest spent rank of a job. */
struct spent_rank {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    int64_t at; /* when a rank of the job was last spent */
    RB_ENTRY(spent_rank) entry;
};

RB_HEAD(spent_tree, spent_rank);

struct parts {
    struct part_list list;
    size_t ended;
    struct spent_tree spent;
    size_t spent_count;
    uint64_t accelerators; /* bit set of all accelerators of the worker */
    uint64_t incarnation;
    uint64_t term; /* highest term of an accepted message */
    bool no_runner;
    bool ready; /* the runner has listed what it runs */
    bool leaving;
    struct cells_local_binding binding[CELLS_ACCELERATORS_MAX];
    int bindings;
    uint64_t binding_version;
    uint64_t binding_term;
};

struct parts_verdict {
    enum parts_reason reason;
    enum cells_claim_reason claim; /* when reason is PARTS_CLAIM */
    uint64_t busy;                 /* bits, when reason is PARTS_BUSY */
    int displaced;                 /* parts that are stopped for the claim */
    struct part *part;             /* the part of the message, or NULL */
};

void Parts_Init(struct parts *p, int accelerators, uint64_t incarnation);
void Parts_Free(struct parts *p);
struct part *Parts_Find(struct parts *p, const struct id *job,
                        uint64_t attempt, uint64_t term);
/* True while a part occupies its accelerators: RESERVED, RUNNING or
 * STOPPING. */
bool Parts_HoldsAccelerators(const struct part *part);
/* True when no other part is on a reservation's accelerators any more. The
 * grant must not be sent before. */
bool Parts_AcceleratorsFree(const struct parts *p, const struct part *part);
/* Reserves accelerators for a rank that is not spent: free accelerators, or
 * those of a rightful claim, for which lent parts there are stopped within
 * their grace. */
struct parts_verdict Parts_Prepare(struct parts *p,
                                   const struct wire_prepare *m, int64_t now);
/* Turns the reservation of exactly this rank into a running part. A refused
 * release spends the rank, except when it was sent to another incarnation. */
struct parts_verdict Parts_Release(struct parts *p,
                                   const struct wire_release *m, int64_t now);
/* Extends the leases of the parts in m, counted from m->sent on the agent's
 * clock. Returns how many have grown. */
size_t Parts_Renew(struct parts *p, const struct wire_renew *m, int64_t now);
/* Stops, throttles or resumes a part. The verdict's reason is PARTS_GRANTED
 * when it was done. */
struct parts_verdict Parts_Stop(struct parts *p, const struct wire_stop *m,
                                int64_t now);
/* Spends the rank of m, with all lower ones, and stops the parts among them.
 * *done is true when no task of these ranks can work any more. */
void Parts_Fence(struct parts *p, const struct wire_fence *m, int64_t now,
                 bool *done);
/* Sets the organisations' bindings to accelerators, if they are newer than the
 * ones in force. Returns PARTS_GRANTED when they were. */
enum parts_reason Parts_Bind(struct parts *p, const struct wire_bind *m);
/* Ends reservations, leases and graces that are over at `now`. Returns how
 * many reservations and leases have lapsed. */
size_t Parts_Tick(struct parts *p, int64_t now);
/* Drops the reservations and refuses new ones. Running parts go on: their
 * tasks live in the worker, and the next agent process adopts them. */
void Parts_Drain(struct parts *p, int64_t now);
/* Records the outcome of a part's start call; err is the runner's ERR_ code.
 */
void Parts_RecordStart(struct parts *p, struct part *part, int err,
                       int64_t now);
/* Reconciles the parts with the runner's list of tasks. requested_at is the
 * time of the request for the list, on the agent's clock; clock is a reading
 * of the runner's clock at that time or later. The tasks of the first list are
 * adopted with the leases that the worker keeps. In later lists a running task
 * that is unknown is stopped. */
void Parts_Reconcile(struct parts *p, const struct runner_task *tasks,
                     size_t count, int64_t clock, int64_t requested_at,
                     int64_t now);
/* True when the part's task works, so that the part belongs in a pulse. A part
 * that writes its checkpoint before it stops has its lease renewed too, as its
 * grace may be longer than a lease. */
bool Parts_IsWorking(const struct part *part);
/* Removes and frees the record of a part. */
void Parts_Remove(struct parts *p, struct part *part);
/* Writes the label that the runner keeps with the task, for the agent process
 * that adopts it after a restart. */
void Parts_Label(const struct part *part, char out[RUNNER_LABEL_SIZE]);

/* Spent ranks, so that a late copy of a prepare does not reserve again. Memory
 * is bounded: a rank is dropped after SPENT_KEEP_MS, and while SPENT_MAX ranks
 * are on record no new reservation is made.
 *
 * Dropping a rank is safe. An owner sends in order on one link, which the
 * agent reads in order and closes when it opens another, so a copy of a
 * prepare arrives after the fence or the lapse of its rank only from a process
 * that sent it late. Such an owner was replaced: either its term is refused,
 * or its commit fails, so that no release follows. A restart drops all ranks;
 * the agent's new incarnation refuses every message sent before. */
#define SPENT_MAX 4096
#define SPENT_KEEP_MS 600000

/* True when this rank or a higher one of the job is spent. */
bool Spent_Covers(struct parts *p, const struct id *job, uint64_t attempt,
                  uint64_t term);
/* Spends a rank and all lower ones of the job. */
void Spent_Raise(struct parts *p, const struct id *job, uint64_t attempt,
                 uint64_t term, int64_t now);
void Spent_Sweep(struct parts *p, int64_t now);
void Spent_Free(struct parts *p);
/* Orders ranks by attempt, then term; returns <0, 0 or >0, as memcmp. */
int Rank_Compare(uint64_t attempt, uint64_t term, uint64_t other_attempt,
                 uint64_t other_term);

#ifdef __cplusplus
}
#endif

#endif
