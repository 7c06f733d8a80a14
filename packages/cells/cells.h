/*
 * cells: who may have which accelerators, and where a gang goes.
 *
 * Pure: no clock, socket, log or global state. Times are int64_t
 * milliseconds of whatever clock the caller keeps to; the same calls in the
 * same order give the same answers. One struct cells is the account of one
 * scheduling owner; it is not thread-safe.
 *
 * Topology. A tree: region > failure domain > rack > worker > accelerators.
 *   Two accelerators are as near as the lowest node that holds both.
 *
 * Guarantees (load pattern: organisations whose idle share is lent out call
 *   it back at the same moment, after weeks of small work, with workers down).
 *   A guaranteed shape is a cell. Every cell of every organisation has at all
 *   times a place of its own in the configured topology, disjoint from all
 *   other cells' places (the witness). Guaranteed work runs on places of its
 *   own organisation only; everything else is lent and can be displaced, so
 *   a cell with a healthy place is obtained at once. Moves of bindings only
 *   exchange places of equal shape, or move into a whole unbound block of
 *   that shape, so the witness holds after each. Without it (plain quota
 *   counts) small guaranteed work scatters until no whole worker or rack is
 *   left for a larger guarantee, though the sum of accelerators suffices.
 *   After HiveD (Zhao et al., OSDI 2020), section 3.
 *
 *   Failed workers stay places. When a worker fails, idle cells on it move to
 *   healthy unbound blocks, or all idle cells are packed anew if that leaves
 *   every healthy cell healthy. When healthy capacity is less than the sum of
 *   the guarantees, the cells that still lie on failed workers are short
 *   (Cells_UnavailableCount says whose) until a worker heals; no healthy cell
 * is ever taken to make another one good. Once everything healed, everything
 * is obtainable again, whatever was started meanwhile.
 *
 * Placement (load pattern: gangs of up to 64 among many small jobs). Lowest
 *   common node first, in it the part that the tasks fill best, so that whole
 *   workers and racks stay whole. Without it small jobs leave a few free
 *   accelerators on every worker and gangs wait with enough capacity free.
 *
 * Queue (load pattern: a large gang at the head, a stream of small jobs
 *   behind it). EASY backfill: the first job that can't start reserves the
 *   earliest time at which it will fit; later ones start only if they end
 *   before that or leave it room. Without the reservation the gang starves;
 *   without backfill the machines idle. Figures: docs/results/cells.md.
 */
#ifndef CELLS_H
#define CELLS_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CELLS_ACCELERATORS_MAX 64 /* of one worker: bits of a mask */
#define CELLS_TASKS_MAX 1024      /* tasks of one job */
#define CELLS_RACK_MAX 16         /* workers of one rack-shaped cell */
#define CELLS_NONE (-1)

struct cells;

/* ---- topology ---------------------------------------------------------- */

/* Levels of the tree; also how near two accelerators are (low is near). */
enum cells_level {
    CELLS_LEVEL_WORKER,
    CELLS_LEVEL_RACK,
    CELLS_LEVEL_DOMAIN, /* failure domain */
    CELLS_LEVEL_REGION,
    CELLS_LEVEL_ALL
};

enum cells_worker_state {
    CELLS_WORKER_UP,
    CELLS_WORKER_FAILED, /* nothing runs there; it stays a place of cells */
    CELLS_WORKER_LEAVING /* takes nothing new; what runs there goes on */
};

/* One worker; names as Str_IsName. A rack belongs to (region, domain, rack)
 * together, so rack names may repeat between failure domains. */
struct cells_worker_info {
    char name[NAME_SIZE];
    char region[NAME_SIZE];
    char domain[NAME_SIZE];
    char rack[NAME_SIZE];
    int accelerators; /* 1..64 */
};

struct cells *Cells_New(void);
void Cells_Free(struct cells *c);
void Cells_FreeP(struct cells **c); /* for CLEANUP */
/* An independent copy, to try things on. */
struct cells *Cells_Clone(const struct cells *c);

/* Returns the worker's index (>= 0, stable until it is removed), ERR_EXISTS
 * or ERR_INVALID. */
int Cells_AddWorker(struct cells *c, const struct cells_worker_info *info);
/* Takes a worker out for good. ERR_NOTFOUND, ERR_BUSY (a job is on it), or
 * ERR_CONFLICT: guarantees need its place; mark it failed instead and add
 * its replacement first. */
int Cells_RemoveWorker(struct cells *c, int worker);
/* Failed, leaving or healed. Idle cells move off or back; bindings may
 * change on other workers too (see Cells_Version). ERR_OK, ERR_NOTFOUND. */
int Cells_SetWorkerState(struct cells *c, int worker,
                         enum cells_worker_state state);
int Cells_FindWorker(const struct cells *c, const char *name); /* or NONE */
/* Highest index + 1; indices of removed workers are holes. */
int Cells_WorkerCount(const struct cells *c);
/* NULL for a hole. */
const struct cells_worker_info *Cells_Worker(const struct cells *c,
                                             int worker);
enum cells_worker_state Cells_WorkerState(const struct cells *c, int worker);
/* How near two workers are. */
enum cells_level Cells_CommonLevel(const struct cells *c, int a, int b);

/* ---- guarantees -------------------------------------------------------- */

/* A guaranteed shape: workers == 0: `accelerators` (a power of two) of one
 * worker, aligned; workers >= 1: so many whole workers of one rack (1: one
 * whole worker), accelerators is 0. */
struct cells_shape {
    int workers;
    int accelerators;
};

/* Sets how many cells of a shape an organisation holds. More cells get
 * places at once where there is room; the others are pending (counted by
 * Cells_PendingCount) and are placed as room comes. Of fewer, idle ones go
 * first. A used one that goes leaves its job running as lent work. ERR_OK,
 * ERR_INVALID. */
int Cells_SetGuarantee(struct cells *c, const char *organisation,
                       struct cells_shape shape, int count);

/* Why a set of guarantees can't be met, for one organisation and shape. */
struct cells_shortfall {
    char organisation[NAME_SIZE];
    struct cells_shape shape;
    int wanted;
    int possible; /* beside all guarantees that were packed before it */
};

#define CELLS_SHORTFALLS_MAX 16

struct cells_feasibility {
    int64_t wanted_accelerators; /* sum of all guarantees */
    int64_t accelerators;        /* of the topology */
    int shortfalls;              /* misfits that follow */
    int dropped;                 /* misfits dropped */
    struct cells_shortfall shortfall[CELLS_SHORTFALLS_MAX];
};

/* Static feasibility of all guarantees against the whole topology, whatever
 * runs and whatever failed. Packs largest first, tightest rack first: a set
 * that it accepts is feasible; the same answer as trying everything for
 * racks of up to 4 workers. ERR_OK or ERR_CONFLICT. */
int Cells_CheckGuarantees(const struct cells *c,
                          struct cells_feasibility *report);

/* One cell as it is bound now. */
struct cells_binding {
    char organisation[NAME_SIZE];
    struct cells_shape shape;
    int workers; /* used entries of worker and mask; 0: pending */
    int worker[CELLS_RACK_MAX];
    uint64_t mask[CELLS_RACK_MAX]; /* bit i: accelerator i */
    bool used;                     /* by a guaranteed job */
    bool healthy;                  /* every worker of it is up */
};

/* Changes whenever any binding changes. */
uint64_t Cells_Version(const struct cells *c);
int Cells_BindingCount(const struct cells *c);
/* False beyond the last one. */
bool Cells_Binding(const struct cells *c, int i, struct cells_binding *out);
/* Takes over bindings that another owner stored: forgets all places of idle
 * cells, then binds cells as listed (guarantees are set first). Afterwards
 * adopt the jobs, then call Cells_Rebind. ERR_OK, ERR_CONFLICT (two
 * overlap, or not a place of that shape: nothing changed), ERR_INVALID. */
int Cells_ImportBindings(struct cells *c, const struct cells_binding *binding,
                         int n, uint64_t version);
/* Gives cells that have no place one, and moves idle ones off workers that
 * are not up. All other calls do so by themselves. */
void Cells_Rebind(struct cells *c);
/* Cells whose place has a worker that is not up, and cells without a place;
 * organisation NULL: of all. */
int Cells_UnavailableCount(const struct cells *c, const char *organisation);
int Cells_PendingCount(const struct cells *c, const char *organisation);

/* ---- jobs -------------------------------------------------------------- */

struct cells_request {
    uint64_t job; /* not 0 */
    char organisation[NAME_SIZE];
    int tasks;        /* 1..CELLS_TASKS_MAX; all or none start */
    int accelerators; /* of one task, all on one worker */
    bool guaranteed;  /* within its organisation's cells */
    /* Lent: may displace lent work of lower priority. Guaranteed: also
     * work of lower priority in its own organisation's cells. */
    bool preempt;
    enum cells_level within; /* must lie in one such node; ALL: no wish */
    int priority;            /* higher goes first */
    int64_t estimate_ms;     /* learned run time, 0: unknown */
    int64_t checkpoint_ms;   /* time a checkpoint takes; < 0: it has none */
    int64_t grace_ms;        /* that its class gives it on reclaim */
    int64_t start_within_ms; /* urgent: bound on victims' grace; 0: none */
};

/* Ways that were measured and dropped; the bench still runs them. */
enum cells_baseline {
    CELLS_BASELINE_FIXED = 1 << 0,     /* bindings never move for a job */
    CELLS_BASELINE_FIRST_FIT = 1 << 1, /* lowest worker first */
    CELLS_BASELINE_ANY_VICTIM = 1 << 2 /* victims in no order of their work */
};

/* The setting of the operator: how completion and fragmentation weigh. */
struct cells_weights {
    int completion;    /* 0..100 */
    int fragmentation; /* 0..100 */
    unsigned baseline; /* of enum cells_baseline; 0 in the product */
};

enum cells_reason {
    CELLS_PLACED_FREE,     /* on free accelerators */
    CELLS_PLACED_MOVED,    /* free, after bindings of cells moved */
    CELLS_PLACED_RECLAIM,  /* guaranteed: displaces lent work */
    CELLS_PLACED_PREEMPT,  /* displaces lower priorities */
    CELLS_WAIT_FULL,       /* fewer accelerators free than wanted */
    CELLS_WAIT_FRAGMENTED, /* enough free, but not in one piece */
    CELLS_WAIT_GUARANTEE,  /* organisation's cells are in use */
    CELLS_WAIT_HEALTH,     /* organisation's cells lie on failed workers */
    CELLS_NEVER_TASK,      /* no worker has so many accelerators */
    CELLS_NEVER_GANG,      /* the topology has no room for the gang */
    CELLS_NEVER_WITHIN,    /* no single rack (worker, ...) has room for it */
    CELLS_NEVER_GUARANTEE, /* more than the organisation's cells hold */
    CELLS_NEVER_INVALID    /* a field is out of range */
};

const char *Cells_ReasonName(enum cells_reason reason);
bool Cells_IsPlaced(enum cells_reason reason);
bool Cells_IsUnplaceable(enum cells_reason reason);

/* The tasks of one worker. */
struct cells_part {
    int worker;
    uint64_t mask;
    int tasks;
};

enum cells_victim_action { CELLS_CHECKPOINT, CELLS_STOP };

/* A lent job that has to go, as a whole gang. */
struct cells_victim {
    uint64_t job;
    enum cells_victim_action action;
    int64_t grace_ms;  /* until it is stopped at the latest */
    int64_t lost_work; /* accelerator-milliseconds */
};

/* A cell that moves for this plan; the cell that was there takes its place. */
struct cells_move {
    int cell;    /* index as of Cells_Binding */
    int partner; /* cell that changes places with it, or CELLS_NONE */
    int workers; /* of the new place */
    int worker[CELLS_RACK_MAX];
    uint64_t mask[CELLS_RACK_MAX];
};

/* What decided, for the log and for `why`. */
struct cells_score {
    int free_accelerators;         /* that the request could have used */
    int wanted_accelerators;       /* tasks x accelerators */
    enum cells_level common_level; /* lowest node that holds the whole gang */
    int newly_used;    /* whole free workers and racks broken into */
    int wasted;        /* idle rest of own cells broken into */
    int64_t lost_work; /* of all victims, accelerator-milliseconds */
    int64_t cost;      /* weighed sum; the least wasted and then
                        * the lowest was taken */
    int candidates;    /* ways that were compared */
};

struct cells_plan {
    struct cells_request request;
    enum cells_reason reason;
    struct cells_score score;
    uint64_t generation; /* of the account that was planned on */
    int64_t planned_at;  /* now of Cells_Plan */
    struct cells_part *part;
    int parts;
    struct cells_victim *victim;
    int victims;
    struct cells_move *move;
    int moves;
};

/* Decides where a job goes. Has no effect. *plan is filled in every case
 * and belongs to the caller: Cells_PlanClear. */
enum cells_reason Cells_Plan(const struct cells *c,
                             const struct cells_request *request,
                             const struct cells_weights *weights, int64_t now,
                             struct cells_plan *plan);
void Cells_PlanClear(struct cells_plan *plan); /* fit for CLEANUP */
/* Takes a plan into the account: victims leave it, bindings move, the job is
 * on its accelerators. ERR_OK; ERR_STALE: the account has changed since, plan
 * again; ERR_INVALID: not placed. */
int Cells_Commit(struct cells *c, const struct cells_plan *plan);
/* Takes in a job that runs already (owner takeover). Runs as lent where its
 * organisation has no cell. ERR_OK, ERR_EXISTS, ERR_CONFLICT (taken). */
int Cells_Adopt(struct cells *c, const struct cells_request *request,
                const struct cells_part *part, int parts, int64_t started_at);
/* The job has ended or was stopped, as a whole. ERR_OK, ERR_NOTFOUND. */
int Cells_Release(struct cells *c, uint64_t job);
/* Its last checkpoint. ERR_OK, ERR_NOTFOUND. */
int Cells_RecordCheckpoint(struct cells *c, uint64_t job,
                           int64_t checkpoint_at);

/* A job as it stands on the account. */
struct cells_job_info {
    struct cells_request request;
    bool guaranteed; /* now; false once its cell was withdrawn */
    int64_t started_at;
    int64_t checkpoint_at;         /* started_at until the first one */
    const struct cells_part *part; /* valid until the next change */
    int parts;
};

int Cells_JobCount(const struct cells *c);
bool Cells_Job(const struct cells *c, uint64_t job,
               struct cells_job_info *out);
/* Jobs with a part on the worker, ascending; returns how many there are. */
int Cells_JobsOnWorker(const struct cells *c, int worker, uint64_t *job,
                       int max);
/* Work that is lost if the job goes now, in accelerator-milliseconds, and
 * what to do with it. start_within_ms: 0 for no bound. */
struct cells_victim Cells_LostWork(const struct cells_job_info *job,
                                   int64_t now, int64_t start_within_ms);

struct cells_counts {
    int accelerators; /* all */
    int healthy;      /* on workers that are up */
    int free;         /* healthy and without a job */
    int guaranteed;   /* in use by guaranteed jobs */
    int lent;         /* in use by others */
    int bound;        /* of cells, in use or not */
    int largest_free; /* largest free adjacent block: all wholly free workers
                       * of one failure domain, or the most on one worker */
    int largest_free_rack; /* the same within one rack */
    int largest_domain;    /* healthy accelerators of the largest domain */
};

void Cells_Counts(const struct cells *c, struct cells_counts *out);
/* Per mille of the free accelerators that lie outside the largest block, of
 * those that one failure domain could hold; 0 when nothing is free. */
int Cells_Fragmentation(const struct cells *c);

/* ---- an agent's own check ---------------------------------------------- */

/* What an agent holds for its one worker. */
struct cells_local_binding {
    char organisation[NAME_SIZE];
    uint64_t mask;
};

struct cells_local_job {
    uint64_t job;
    uint64_t mask;
    bool guaranteed;
};

struct cells_local {
    uint64_t version; /* of these bindings */
    const struct cells_local_binding *binding;
    int bindings;
    const struct cells_local_job *job;
    int jobs;
};

enum cells_claim_reason {
    CELLS_CLAIM_VALID,
    CELLS_CLAIM_CLAIMANT_BEHIND, /* the claimant's bindings are older: it reads
                                  */
    CELLS_CLAIM_AGENT_BEHIND, /* the agent's are older: send it the newer ones
                               */
    CELLS_CLAIM_NOT_BOUND,    /* not all of it is bound to the organisation */
    CELLS_CLAIM_IN_USE,       /* guaranteed work is on it */
    CELLS_CLAIM_EMPTY         /* no accelerators named */
};

const char *Cells_ClaimName(enum cells_claim_reason reason);

/* The whole verdict on a claim, with what decided it. */
struct cells_claim {
    enum cells_claim_reason reason;
    uint64_t version;                          /* the agent's */
    uint64_t bound;                            /* mask of the organisation */
    uint64_t holder;                           /* job, when HELD */
    int displaced;                             /* jobs in displace[] */
    uint64_t displace[CELLS_ACCELERATORS_MAX]; /* lent: to be stopped */
};

/* Whether a claim for a guaranteed reservation on this worker is rightful
 * and whom it displaces. For when neither the owner nor the table can be
 * asked: no two agents need to agree, as a worker's bindings speak of its
 * own accelerators only; the gang starts when all its agents have said yes. */
struct cells_claim Cells_Claim(const struct cells_local *local,
                               const char *organisation, uint64_t mask,
                               uint64_t version);
/* Bindings of one worker, to be sent to its agent; returns how many. Their
 * version is Cells_WorkerVersion, changed only when they change. */
int Cells_LocalBindings(const struct cells *c, int worker,
                        struct cells_local_binding *out, int max);
uint64_t Cells_WorkerVersion(const struct cells *c, int worker);

/* ---- queue ------------------------------------------------------------- */

#define PLACE_LOOKAHEAD 32 /* jobs behind the head that are tried */

struct place_options {
    struct cells_weights weights;
    bool no_reservation; /* baseline: anything that fits starts */
    bool no_backfill;    /* baseline: first come, first served */
};

enum place_reason {
    PLACE_START_HEAD,
    PLACE_START_BACKFILL_ENDS, /* ends before the reservation */
    PLACE_START_BACKFILL_ROOM, /* leaves the reservation its room */
    PLACE_START_UNRESERVED,    /* guaranteed: needs no leave of the head */
    PLACE_NEVER,               /* plan.reason says why: tell the caller */
    PLACE_WAIT,                /* nothing can start now */
    PLACE_EMPTY
};

const char *Place_ReasonName(enum place_reason reason);

struct place_decision {
    enum place_reason reason;
    int index;              /* in the queue, or CELLS_NONE */
    struct cells_plan plan; /* to be committed, or why the head waits */
    uint64_t reserved_for;  /* job with a reservation, or 0 */
    /* When that is expected to start. 0: not worked out, as nothing behind
     * it could start anyway (Place_Forecast does); INT64_MAX: not known. */
    int64_t reserved_at;
    int tried; /* jobs looked at */
};

/* The next job to start out of a queue in its order. Call again after each
 * commit until WAIT or EMPTY. Has no effect. Clear with Place_DecisionClear.
 */
enum place_reason Place_Next(const struct cells *c,
                             const struct cells_request *queue, int n,
                             const struct place_options *options, int64_t now,
                             struct place_decision *decision);
void
Place_DecisionClear(struct place_decision *decision); /* fit for CLEANUP */
/* Earliest time at which the job fits, by the estimates of those running;
 * now if it fits at once, INT64_MAX if that can't be said. */
int64_t Place_Forecast(const struct cells *c,
                       const struct cells_request *request,
                       const struct cells_weights *weights, int64_t now);

enum place_defrag_reason {
    PLACE_DEFRAG_PAYS,
    PLACE_DEFRAG_FITS,       /* starts without it */
    PLACE_DEFRAG_NO_ROOM,    /* moving would not make room */
    PLACE_DEFRAG_COSTS_MORE, /* than the wait that it saves */
    PLACE_DEFRAG_UNKNOWN     /* the wait can't be foreseen */
};

const char *Place_DefragName(enum place_defrag_reason reason);

struct place_defrag {
    enum place_defrag_reason reason;
    int64_t gain;              /* accelerator-ms of waiting saved */
    int64_t cost;              /* accelerator-ms lost by those who move */
    struct cells_plan plan;    /* of the gang; victims are checkpointed */
    struct cells_plan *resume; /* plans of the victims elsewhere, in order */
    int resumes;
};

/* Whether to checkpoint lent jobs and restart them elsewhere, so that the
 * gang starts now. Each victim fits elsewhere once the gang is placed.
 * Commit plan, then each of resume after planning it again. */
enum place_defrag_reason Place_Defrag(const struct cells *c,
                                      const struct cells_request *request,
                                      const struct cells_weights *weights,
                                      int64_t now, struct place_defrag *out);
void Place_DefragClear(struct place_defrag *defrag); /* fit for CLEANUP */

#ifdef __cplusplus
}
#endif

#endif
