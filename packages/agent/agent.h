/*
 * agent: the process beside each worker and its upstreams. It is the
 * authority for what runs there and keeps nothing durable.
 *
 * Tasks, and what they tell each other:
 *
 *   links     owns a link to each entry. Says hello, sends heartbeats at the
 *             interval that the entry sets, replaces a silent link by a new
 *             one, and learns further entries from each welcome. Hands what
 * entries say to the other tasks (struct inbound) and sends what they answer
 *             (struct outbound).
 *   work      requests: takes or refuses a dispatch, calls the upstream, keeps
 *             the answer until it is settled, fences what was withdrawn.
 *   parts     gangs: reservations, leases, the worker's task runner.
 *   announce  a local HTTP port where upstreams announce themselves.
 *
 * The rule for requests: an attempt (request, attempt, incarnation) is in
 * one of three states here: unknown, fenced, or taken. It can be taken only
 * from unknown, only by the incarnation that it was meant for, and only until
 * its not_after. A withdraw fences an unknown attempt and tells of a taken
 * one. So an entry that is told "not started" may send the request elsewhere,
 * however late a copy of the dispatch arrives.
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

/* links -> work, parts: what an entry said. */
struct inbound {
    struct message base;
    char origin[NAME_SIZE]; /* address of the entry's link */
    struct wire_msg *m;
};

/* work, parts -> links: what to say to one entry, or to all ("" origin). */
struct outbound {
    struct message base;
    char origin[NAME_SIZE];
    struct wire_msg *m;
};

/* work -> links: the services of this worker, whole list. */
struct services_note {
    struct message base;
    struct wire_list services; /* struct wire_service */
};

/* work, parts -> links: how much an entry has in progress here, so that its
 * link is watched closely while it matters. */
struct busy_note {
    struct message base;
    char origin[NAME_SIZE];
    int count;
    struct wire_list own; /* uint64: running, in the order of the services */
};

/* parts -> links: the parts that this worker holds, whole list. */
struct parts_note {
    struct message base;
    struct wire_list parts; /* struct wire_part */
    bool adopted;           /* after a restart: no hello has named them yet */
};

/* An entry that is heard now and stays. */
struct reachable_entry {
    char address[NAME_SIZE];
    char name[NAME_SIZE];
    uint64_t incarnation;
};

/* links -> parts: the entries that are heard, whole list, whenever it
 * changes. */
struct reachable_note {
    struct message base;
    struct wire_list entries; /* struct reachable_entry */
};

/* announce -> work: an upstream came, changed or leaves. */
struct upstream_note {
    struct message base;
    char service[NAME_SIZE];
    char url[WIRE_TEXT_SIZE];
    uint64_t slots; /* 0: it leaves */
    uint64_t connections;
};

extern const struct message_kind Agent_Inbound;
extern const struct message_kind Agent_Outbound;
extern const struct message_kind Agent_Services;
extern const struct message_kind Agent_Busy;
extern const struct message_kind Agent_Parts;
extern const struct message_kind Agent_Reachable;
extern const struct message_kind Agent_Upstream;

/* Posts m to the links task, for the entry at that origin; takes m. */
void Agent_Send(struct kernel *k, const char *origin, struct wire_msg *m);

/* The incarnation of this process; agents are told apart by it. */
uint64_t Agent_Incarnation(void);

/* ---- attempts ----------------------------------------------------------
 *
 * The record of the attempts of requests on this worker. Pure: times are
 * arguments.
 */

enum attempt_state {
    ATTEMPT_FENCED,  /* never started, never will */
    ATTEMPT_RUNNING, /* handed to the upstream */
    ATTEMPT_DONE,    /* ended; its answer waits to be settled */
    ATTEMPT_SETTLED  /* ended; its answer was taken, or nobody came for it */
};

struct attempt {
    struct id request;
    uint64_t number;
    enum attempt_state state;
    int64_t not_after; /* may not start later; a record is kept until then */
    int64_t answer_kept_until; /* an answer that nobody has settled is dropped
                                  then */
    char origin[NAME_SIZE];
    char previous_origin[NAME_SIZE]; /* that was the origin, and hears the
                                        answer too */
    char service[NAME_SIZE];
    int64_t started_at;
    struct http_call *call;
    void *context; /* of the call's callback; freed with the record */
    struct wire_answer *answer;
    RB_ENTRY(attempt) entry;
};

RB_HEAD(attempt_tree, attempt);
int Attempts_Compare(const struct attempt *a, const struct attempt *b);
RB_PROTOTYPE(attempt_tree, attempt, entry, Attempts_Compare)

/* Attempts that an agent remembers at most; beyond that it takes none. */
#define ATTEMPTS_MAX 65536

struct attempts {
    struct attempt_tree tree;
    size_t count;
};

enum take_verdict {
    TAKE_NEW,      /* recorded as running: start it */
    TAKE_RUNNING,  /* a copy: runs already */
    TAKE_ANSWERED, /* a copy: ended already, say the answer again */
    TAKE_SETTLED,  /* a copy: has run, and its answer is dropped */
    TAKE_FENCED,   /* withdrawn before it came */
    TAKE_STALE,    /* meant for another incarnation */
    TAKE_EXPIRED,  /* came after its not_after */
    TAKE_FULL      /* no place to remember it */
};

void Attempts_Init(struct attempts *a);
void Attempts_Free(struct attempts *a);
/* Decides what to do with a dispatch; *out is its record for the first
 * three verdicts. */
enum take_verdict Attempts_Take(struct attempts *a,
                                const struct wire_dispatch *m,
                                uint64_t incarnation, int64_t now,
                                struct attempt **out);
/* Fences an attempt that is unknown; *out is the record of a taken one. */
enum withdraw_verdict Attempts_Withdraw(struct attempts *a,
                                        const struct wire_withdraw *m,
                                        uint64_t incarnation, int64_t now,
                                        struct attempt **out);
/* Drops the answer of an attempt that ended; that it ran is remembered. */
void Attempts_Settle(struct attempt *at);
/* Turns a taken attempt whose start never happened into a fenced one. */
void Attempts_Fence(struct attempt *at);
struct attempt *Attempts_Find(struct attempts *a, const struct id *request,
                              uint64_t number);
void Attempts_Remove(struct attempts *a, struct attempt *at);
/* Drops fences and settled attempts whose time is over; returns how many. */
size_t Attempts_Sweep(struct attempts *a, int64_t now);
const char *Attempts_VerdictName(enum take_verdict verdict);

/* ---- parts of gangs -----------------------------------------------------
 *
 * What this worker holds for gangs, on the agent's side of model/gang.pml.
 * Pure: times are arguments and readings of the agent's own clock. It decides
 * and remembers; what it wants of the task runner follows from each part's
 * state, and what the runner lists comes back through Parts_Reconcile.
 *
 *   RESERVED -> RUNNING -> STOPPING -> STOPPED, FAILED or DONE
 *
 * A part counts as stopped only when the runner shows it: `fenced` must not
 * be said while the task may still work. Parts that have ended are kept until
 * their owner has fenced them.
 */

#define PARTS_LEASE_MAX_MS 60000 /* of a reservation */
/* An urgent claim starts within 1.8 s, commit and release included, so it
 * waits for a checkpoint of another's work no longer than this. */
#define PARTS_URGENT_GRACE_MS 800
/* Of a part whose class is not known, after a restart. */
#define PARTS_ADOPTED_GRACE_MS 1000

enum parts_reason {
    PARTS_GRANTED,
    PARTS_DUPLICATE,         /* a copy of what was granted */
    PARTS_OTHER_INCARNATION, /* meant for another incarnation */
    PARTS_NO_RUNNER,         /* this worker runs no jobs */
    PARTS_NOT_READY,         /* the runner has not said yet what it runs */
    PARTS_LEAVING,           /* the agent drains */
    PARTS_LOW_TERM,          /* of an owner that was replaced */
    PARTS_SPENT,             /* this rank or a higher one was used up */
    PARTS_JOB_HELD,          /* another attempt of the job is here: fence it */
    PARTS_INVALID,           /* no such accelerators, no lease */
    PARTS_BUSY,              /* accelerators are in use */
    PARTS_CLAIM,             /* the claim is not rightful: see claim */
    PARTS_FULL,              /* no place to remember one more rank */
    PARTS_LAPSED,            /* the reservation's lease was over */
    PARTS_UNKNOWN,           /* there is no such reservation or part */
    PARTS_OLD_BINDING        /* newer bindings are known */
};

const char *Parts_ReasonName(enum parts_reason reason);

/* How much is known of a task's start. */
enum start_knowledge {
    START_NOT_REQUESTED, /* nothing can run */
    START_REQUESTED,     /* may run */
    START_CONFIRMED      /* the runner has shown it */
};

struct part {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    enum part_state state;
    char reason[NAME_SIZE]; /* of its last change of state */
    uint64_t accelerators;  /* bits */
    uint64_t tasks;
    uint64_t members;
    int64_t grace_ms;
    bool guaranteed; /* now; a binding may be withdrawn */
    char organisation[NAME_SIZE];
    struct buf spec;
    int64_t lease_until; /* of the reservation, then of the gang */
    int64_t stop_by;     /* stopped at once from then on */
    bool checkpointing;  /* may write its checkpoint until then */
    int64_t ended_at;
    bool throttled;      /* as was asked for */
    bool fenced;         /* goes when it has ended */
    bool changed;        /* to be reported */
    bool grant_sent;     /* the reservation was said to be granted */
    int64_t reported_at; /* when its state was last announced */
    enum start_knowledge start;
    bool start_uncertain;   /* a start's outcome was unknown */
    int64_t confirmed_at;   /* when the start became known */
    int64_t checkpoint_ms;  /* age when last seen; -1: none */
    int64_t usage_permille; /* when last seen */
    /* What was asked of the runner; kept by the task, not by Parts_. */
    unsigned open_calls;    /* in progress, bits of enum runner_call_kind */
    int64_t lease_reported; /* end of lease that the runner knows of */
    bool throttle_reported;
    bool checkpoint_requested; /* to stop when it is written */
    bool stop_requested;       /* at once */
    char origin[NAME_SIZE];    /* that asked for the reservation */
    TAILQ_ENTRY(part) entry;
};

TAILQ_HEAD(part_list, part);

struct spent_rank {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    int64_t at; /* when it was last raised */
    RB_ENTRY(spent_rank) entry;
};

RB_HEAD(spent_tree, spent_rank);

struct parts {
    struct part_list list;
    size_t ended;
    struct spent_tree spent;
    size_t spent_count;
    uint64_t accelerators; /* bits of this worker */
    uint64_t incarnation;
    uint64_t term; /* highest that was heard */
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
    int displaced;                 /* lent parts that make room */
    struct part *part;             /* that it is about, or NULL */
};

void Parts_Init(struct parts *p, int accelerators, uint64_t incarnation);
void Parts_Free(struct parts *p);
struct part *Parts_Find(struct parts *p, const struct id *job,
                        uint64_t attempt, uint64_t term);
/* True while a part occupies its accelerators. */
bool Parts_HoldsAccelerators(const struct part *part);
/* True when no other part is on a reservation's accelerators any more: only
 * then may the reservation be said to be granted. */
bool Parts_AcceleratorsFree(const struct parts *p, const struct part *part);
/* Reserves: a fresh rank on free accelerators, or a rightful claim, which
 * tells lent parts to make room within their grace. */
struct parts_verdict Parts_Prepare(struct parts *p,
                                   const struct wire_prepare *m, int64_t now);
/* Turns the reservation of this very rank into a running part. A refused
 * release spends the rank. */
struct parts_verdict Parts_Release(struct parts *p,
                                   const struct wire_release *m, int64_t now);
/* Prolongs leases, counted from m->sent. Returns how many grew. */
size_t Parts_Renew(struct parts *p, const struct wire_renew *m, int64_t now);
struct parts_verdict Parts_Stop(struct parts *p, const struct wire_stop *m,
                                int64_t now);
/* Spends the rank and all below. *done: nothing up to it can work now. */
void Parts_Fence(struct parts *p, const struct wire_fence *m, int64_t now,
                 bool *done);
enum parts_reason Parts_Bind(struct parts *p, const struct wire_bind *m);
/* Ends what is over. Returns how many reservations and leases lapsed. */
size_t Parts_Tick(struct parts *p, int64_t now);
/* Takes nothing new; drops reservations. Running parts go on: they live in
 * the worker, and the next agent process adopts them. */
void Parts_Drain(struct parts *p, int64_t now);
/* What the runner said about a part's start (ERR_ of the runner). */
void Parts_RecordStart(struct parts *p, struct part *part, int err,
                       int64_t now);
/* What the runner lists. requested_at: when it was asked; clock: its clock
 * then or later. The first list is adopted, with the leases that the worker
 * keeps; later, a running task that is not known is stopped. */
void Parts_Reconcile(struct parts *p, const struct runner_task *tasks,
                     size_t count, int64_t clock, int64_t requested_at,
                     int64_t now);
/* True when the part's task works, so that it belongs in a pulse. One that
 * writes its checkpoint before it stops is kept alive: its grace may be longer
 * than a lease. */
bool Parts_IsWorking(const struct part *part);
/* Removes an ended part. */
void Parts_Remove(struct parts *p, struct part *part);
/* Label that is kept with a task, for the process that adopts it. */
void Parts_Label(const struct part *part, char out[RUNNER_LABEL_SIZE]);

/* Ranks that are used up: a late copy of their prepare must not reserve
 * again. What bounds the memory: a rank is forgotten after SPENT_KEEP_MS, and
 * while SPENT_MAX are remembered nothing new is taken. Why
 * forgetting is safe: an owner sends in order on one link, which the agent
 * reads in order and closes when it opens another, so a copy of a prepare
 * comes after the fence or the lapse of its rank only from a process that
 * sent it late; such an owner was replaced, and either its term is refused or
 * its commit fails, so that no release follows. A restart forgets all; its
 * incarnation refuses whatever was sent before. */
#define SPENT_MAX 4096
#define SPENT_KEEP_MS 600000

bool Spent_Covers(struct parts *p, const struct id *job, uint64_t attempt,
                  uint64_t term);
void Spent_Raise(struct parts *p, const struct id *job, uint64_t attempt,
                 uint64_t term, int64_t now);
void Spent_Sweep(struct parts *p, int64_t now);
void Spent_Free(struct parts *p);
/* Order of ranks, as memcmp. */
int Rank_Compare(uint64_t attempt, uint64_t term, uint64_t other_attempt,
                 uint64_t other_term);

#ifdef __cplusplus
}
#endif

#endif
