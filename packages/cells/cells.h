/*
 * cells: decides which organisation may use which accelerators and on which
 * workers a gang runs.
 *
 * Pure functions: no clock, socket, log or global state. Times are int64_t
 * milliseconds of the caller's clock; the same calls in the same order give
 * the same results. One struct cells is the cluster state of one scheduling
 * owner: topology, guarantees with their bindings, and running jobs. It is
 * not thread-safe.
 *
 * Topology. A tree: region > failure domain > rack > worker > accelerators.
 *   The distance of two accelerators is the level of the lowest node that
 *   contains both.
 *
 * Guarantees (load pattern: organisations whose idle share is lent to others
 *   demand it back at the same moment, after weeks of small jobs, with
 *   workers down). One unit of a guarantee is a cell, with a shape. Each
 *   cell is bound to a place of its own in the topology, disjoint from the
 *   places of all other cells. A cell is idle while no guaranteed job uses
 *   it. Guaranteed jobs run on places of their own organisation only; all
 *   other jobs are lent work, also on idle cells, and can be displaced, so
 *   an idle cell whose place is healthy can be used at once. A binding
 *   changes only by exchange with a place of equal shape or by a move into a
 *   whole unbound block of that shape, so the places stay disjoint and of
 *   the right shape. With plain quota counts instead, small guaranteed jobs
 *   scatter until no whole worker or rack is left for a larger guarantee,
 *   although the number of free accelerators would suffice. After HiveD
 *   (Zhao et al., OSDI 2020), section 3.
 *
 *   Failed workers remain part of the topology. When a worker fails, idle
 *   cells on it move to healthy unbound blocks, or all idle cells are packed
 *   again if every healthy cell stays healthy that way. When the healthy
 *   capacity is less than the sum of the guarantees, the cells still on failed
 *   workers are unavailable until a worker recovers; no healthy cell is taken
 *   to replace them. Once all workers have recovered, every cell is available
 *   again, whatever was started in between.
 *
 * Placement (load pattern: gangs of up to 64 tasks among many small jobs).
 *   Takes the lowest node that can hold the gang and in it the part that the
 *   tasks fill best, so that whole workers and racks stay free. Otherwise
 *   small jobs leave a few free accelerators on every worker, and gangs wait
 *   although enough accelerators are free.
 *
 * Queue (load pattern: a large gang at the head, a stream of small jobs
 *   behind it). EASY backfill: the first job that cannot start reserves the
 *   earliest time at which it is expected to fit; later jobs start only if
 *   they end before that time or leave it enough room. Without the reservation
 *   the gang starves; without backfill the machines idle. Figures are in
 *   docs/results/cells.md.
 */
#ifndef CELLS_H
#define CELLS_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CELLS_ACCELERATORS_MAX 64 /* per worker: the bits of a mask */
#define CELLS_TASKS_MAX 1024      /* per job */
#define CELLS_RACK_MAX 16         /* workers of one cell */
#define CELLS_NONE (-1)

struct cells;

/* ---- topology ---------------------------------------------------------- */

/* Levels of the tree, the lowest first; also the distance of two accelerators,
 * as the lowest level that contains both. */
enum cells_level {
    CELLS_LEVEL_WORKER,
    CELLS_LEVEL_RACK,
    CELLS_LEVEL_DOMAIN, /* failure domain */
    CELLS_LEVEL_REGION,
    CELLS_LEVEL_ALL
};

enum cells_worker_state {
    CELLS_WORKER_UP,
    CELLS_WORKER_FAILED, /* runs nothing, but cells may stay bound to it */
    CELLS_WORKER_LEAVING /* accepts no new tasks; running ones continue */
};

/* Names are as Str_IsName accepts them. A rack is identified by (region,
 * domain, rack), so two failure domains may use the same rack name. */
struct cells_worker_info {
    char name[NAME_SIZE];
    char region[NAME_SIZE];
    char domain[NAME_SIZE];
    char rack[NAME_SIZE];
    int accelerators; /* 1..CELLS_ACCELERATORS_MAX */
};

struct cells *Cells_New(void);
void Cells_Free(struct cells *c);
void Cells_FreeP(struct cells **c); /* for CLEANUP */
/* Returns an independent copy, for trying changes. */
struct cells *Cells_Clone(const struct cells *c);

/* Returns the worker's index (>= 0, stable until the worker is removed),
 * ERR_EXISTS or ERR_INVALID. */
int Cells_AddWorker(struct cells *c, const struct cells_worker_info *info);
/* Removes a worker permanently. ERR_OK, ERR_NOTFOUND, ERR_BUSY (a job runs on
 * it), or ERR_CONFLICT: guarantees need it; mark it failed instead and add its
 * replacement first. */
int Cells_RemoveWorker(struct cells *c, int worker);
/* Changes a worker's state. Idle cells move off a worker that is no longer up,
 * or back to one that has recovered; bindings on other workers may change too
 * (see Cells_Version). ERR_OK, ERR_NOTFOUND. */
int Cells_SetWorkerState(struct cells *c, int worker,
                         enum cells_worker_state state);
/* Finds a worker by name; CELLS_NONE if there is none. */
int Cells_FindWorker(const struct cells *c, const char *name);
/* Highest index + 1; indices of removed workers are unused. */
int Cells_WorkerCount(const struct cells *c);
/* NULL for an unused index. */
const struct cells_worker_info *Cells_Worker(const struct cells *c,
                                             int worker);
enum cells_worker_state Cells_WorkerState(const struct cells *c, int worker);
/* Lowest level at which one node contains both workers. */
enum cells_level Cells_CommonLevel(const struct cells *c, int a, int b);

/* ---- guarantees -------------------------------------------------------- */

/* The shape of a cell. workers == 0: an aligned block of `accelerators` (a
 * power of two) on one worker. workers >= 1: that many whole workers of one
 * rack, and accelerators is 0. */
struct cells_shape {
    int workers;
    int accelerators;
};

/* Sets how many cells of a shape an organisation has. New cells are bound at
 * once where there is room; the others are pending (see Cells_PendingCount)
 * and are bound when room appears. When the number falls, idle cells are
 * removed first; a job in a removed cell continues as lent work. ERR_OK,
 * ERR_INVALID. */
int Cells_SetGuarantee(struct cells *c, const char *organisation,
                       struct cells_shape shape, int count);

/* Cells of one organisation and shape that the topology has no room for. */
struct cells_shortfall {
    char organisation[NAME_SIZE];
    struct cells_shape shape;
    int wanted;
    int possible; /* beside all cells that were packed before */
};

#define CELLS_SHORTFALLS_MAX 16

struct cells_feasibility {
    int64_t wanted_accelerators; /* sum of all guarantees */
    int64_t accelerators;        /* of the topology */
    int shortfalls;              /* used entries of shortfall[] */
    int dropped;                 /* shortfalls beyond CELLS_SHORTFALLS_MAX */
    struct cells_shortfall shortfall[CELLS_SHORTFALLS_MAX];
};

/* Checks whether the whole topology can hold all guarantees, regardless of
 * running jobs and failed workers. Packs the largest cells first, into the
 * tightest rack: a set that it accepts is feasible, and for racks of up to 4
 * workers the result equals that of an exhaustive search. ERR_OK or
 * ERR_CONFLICT. */
int Cells_CheckGuarantees(const struct cells *c,
                          struct cells_feasibility *report);

/* The current binding of one cell. */
struct cells_binding {
    char organisation[NAME_SIZE];
    struct cells_shape shape;
    int workers; /* used entries of worker and mask; 0: pending */
    int worker[CELLS_RACK_MAX];
    uint64_t mask[CELLS_RACK_MAX]; /* bit i: accelerator i */
    bool used;                     /* by a guaranteed job */
    bool healthy;                  /* all its workers are up */
};

/* Changes whenever a binding changes. */
uint64_t Cells_Version(const struct cells *c);
int Cells_BindingCount(const struct cells *c);
/* False if there is no cell with that index. */
bool Cells_Binding(const struct cells *c, int i, struct cells_binding *out);
/* Takes over the bindings that another owner stored: unbinds all idle cells,
 * then binds cells as listed (set the guarantees first). After it, adopt the
 * running jobs, then call Cells_Rebind. ERR_OK, ERR_CONFLICT (two bindings
 * overlap, or one is not a place of its shape; nothing changed), ERR_INVALID.
 */
int Cells_ImportBindings(struct cells *c, const struct cells_binding *binding,
                         int n, uint64_t version);
/* Binds cells that have no place, and moves idle cells off workers that are
 * not up. All other calls after which this may be needed do it themselves,
 * except Cells_ImportBindings. */
void Cells_Rebind(struct cells *c);
/* Number of cells that have no place or whose place has a worker that is not
 * up; organisation NULL: of all organisations. */
int Cells_UnavailableCount(const struct cells *c, const char *organisation);
int Cells_PendingCount(const struct cells *c, const char *organisation);

/* ---- jobs -------------------------------------------------------------- */

struct cells_request {
    uint64_t job; /* not 0 */
    char organisation[NAME_SIZE];
    int tasks;        /* 1..CELLS_TASKS_MAX; all start or none */
    int accelerators; /* of one task, all on one worker */
    bool guaranteed;  /* runs in its organisation's cells */
    /* Lets a lent job displace lent jobs of lower priority, and a guaranteed
     * job displace guaranteed jobs of lower priority of its organisation.
     * A guaranteed job displaces lent jobs in any case. */
    bool preempt;
    /* All tasks run in one node of this level; CELLS_LEVEL_ALL: anywhere. */
    enum cells_level within;
    int priority;          /* higher goes first */
    int64_t estimate_ms;   /* run time, learned; 0: unknown */
    int64_t checkpoint_ms; /* time of a checkpoint; < 0: makes none */
    int64_t grace_ms;      /* by its class, when it is displaced */
    /* Urgent job: limit of its victims' grace time; 0: no limit. */
    int64_t start_within_ms;
};

/* Rejected policies that the benchmark runs for comparison. */
enum cells_baseline {
    CELLS_BASELINE_FIXED = 1 << 0,     /* bindings never move for a job */
    CELLS_BASELINE_FIRST_FIT = 1 << 1, /* lowest worker index first */
    CELLS_BASELINE_ANY_VICTIM = 1 << 2 /* order ignores lost work */
};

/* Set by the operator: the weights of fast completion and of low
 * fragmentation. */
struct cells_weights {
    int completion;    /* 0..100 */
    int fragmentation; /* 0..100 */
    unsigned baseline; /* of enum cells_baseline; 0 in production */
};

enum cells_reason {
    CELLS_PLACED_FREE,     /* on free accelerators */
    CELLS_PLACED_MOVED,    /* on free accelerators, after bindings moved */
    CELLS_PLACED_RECLAIM,  /* guaranteed: displaces lent jobs */
    CELLS_PLACED_PREEMPT,  /* displaces jobs of lower priority */
    CELLS_WAIT_FULL,       /* too few accelerators are free */
    CELLS_WAIT_FRAGMENTED, /* enough are free, but not together */
    CELLS_WAIT_GUARANTEE,  /* the organisation's cells are in use */
    CELLS_WAIT_HEALTH,     /* the organisation's cells are on failed workers */
    CELLS_NEVER_TASK,      /* no worker has enough accelerators for a task */
    CELLS_NEVER_GANG,      /* the topology is too small for the gang */
    CELLS_NEVER_WITHIN,    /* no node of the level `within` is large enough */
    CELLS_NEVER_GUARANTEE, /* the organisation's cells are too small */
    CELLS_NEVER_INVALID    /* a field is out of range */
};

const char *Cells_ReasonName(enum cells_reason reason);
bool Cells_IsPlaced(enum cells_reason reason);
bool Cells_IsUnplaceable(enum cells_reason reason);

/* The tasks of a job on one worker. */
struct cells_part {
    int worker;
    uint64_t mask;
    int tasks;
};

enum cells_victim_action { CELLS_CHECKPOINT, CELLS_STOP };

/* A job that is displaced, as a whole gang. */
struct cells_victim {
    uint64_t job;
    enum cells_victim_action action;
    int64_t grace_ms;  /* time until it is stopped at the latest */
    int64_t lost_work; /* accelerator-milliseconds */
};

/* A cell whose binding moves for a plan. The cell that is bound to the new
 * place, if any, gets its old place. */
struct cells_move {
    int cell;    /* index for Cells_Binding */
    int partner; /* cell that it exchanges places with, or CELLS_NONE */
    int workers; /* of the new place */
    int worker[CELLS_RACK_MAX];
    uint64_t mask[CELLS_RACK_MAX];
};

/* The figures behind a decision, for the log and for `why`. */
struct cells_score {
    int free_accelerators;         /* that the request may use */
    int wanted_accelerators;       /* tasks x accelerators */
    enum cells_level common_level; /* lowest with one node for the gang */
    int newly_used; /* empty workers and racks that the job starts to use */
    /* Accelerators that stay idle in own cells which this job is the first
     * to use. */
    int wasted;
    int64_t lost_work; /* of all victims, accelerator-milliseconds */
    /* Weighted sum. The candidate with the fewest wasted accelerators, and
     * among these the lowest cost, was chosen. */
    int64_t cost;
    int candidates; /* placements that were compared */
};

struct cells_plan {
    struct cells_request request;
    enum cells_reason reason;
    struct cells_score score;
    uint64_t generation; /* of the cluster state that the plan is based on */
    int64_t planned_at;  /* argument `now` of Cells_Plan */
    struct cells_part *part;
    int parts;
    struct cells_victim *victim;
    int victims;
    struct cells_move *move;
    int moves;
};

/* Decides where a job runs, without changing the state. *plan is always set
 * and belongs to the caller, who frees it with Cells_PlanClear. */
enum cells_reason Cells_Plan(const struct cells *c,
                             const struct cells_request *request,
                             const struct cells_weights *weights, int64_t now,
                             struct cells_plan *plan);
void Cells_PlanClear(struct cells_plan *plan); /* for CLEANUP */
/* Applies a plan: removes the victims, moves the bindings and adds the job.
 * ERR_OK; ERR_STALE: the state has changed since Cells_Plan, plan again;
 * ERR_INVALID: the plan is not placed. */
int Cells_Commit(struct cells *c, const struct cells_plan *plan);
/* Adds a job that runs already, after a change of owner. It counts as lent
 * where its organisation has no cell. ERR_OK, ERR_EXISTS, ERR_CONFLICT
 * (another job is on its accelerators, or they don't exist). */
int Cells_Adopt(struct cells *c, const struct cells_request *request,
                const struct cells_part *part, int parts, int64_t started_at);
/* Removes a job that has ended or was stopped, as a whole. ERR_OK,
 * ERR_NOTFOUND. */
int Cells_Release(struct cells *c, uint64_t job);
/* Records the time of the job's last checkpoint. ERR_OK, ERR_NOTFOUND. */
int Cells_RecordCheckpoint(struct cells *c, uint64_t job,
                           int64_t checkpoint_at);

/* A job that runs. */
struct cells_job_info {
    struct cells_request request;
    bool guaranteed; /* false once its cell was removed */
    int64_t started_at;
    int64_t checkpoint_at;         /* started_at until the first checkpoint */
    const struct cells_part *part; /* valid until the state changes */
    int parts;
};

int Cells_JobCount(const struct cells *c);
bool Cells_Job(const struct cells *c, uint64_t job,
               struct cells_job_info *out);
/* Lists the jobs with tasks on a worker, by id; returns how many there are,
 * which may be more than max. */
int Cells_JobsOnWorker(const struct cells *c, int worker, uint64_t *job,
                       int max);
/* What displacing the job now means: checkpoint or stop, its grace time, and
 * the work lost. start_within_ms limits the grace time; 0: no limit. */
struct cells_victim Cells_LostWork(const struct cells_job_info *job,
                                   int64_t now, int64_t start_within_ms);

struct cells_counts {
    int accelerators; /* all */
    int healthy;      /* on workers that are up */
    int free;         /* healthy and without a job */
    int guaranteed;   /* in use by guaranteed jobs */
    int lent;         /* in use by lent jobs */
    int bound;        /* bound to cells, in use or not */
    /* Largest free block: all empty workers of one failure domain, or the
     * free accelerators of one worker. */
    int largest_free;
    int largest_free_rack; /* largest free block in one rack */
    int largest_domain;    /* healthy ones of the largest failure domain */
};

void Cells_Counts(const struct cells *c, struct cells_counts *out);
/* Per mille of the free accelerators that lie outside the largest free block,
 * out of those that one failure domain could hold; 0 when nothing is free. */
int Cells_Fragmentation(const struct cells *c);

/* ---- check by an agent ------------------------------------------------- */

/* An organisation's accelerators on the agent's worker. */
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
    CELLS_CLAIM_CLAIMANT_BEHIND, /* claimant must read newer bindings */
    CELLS_CLAIM_AGENT_BEHIND,    /* agent must be sent newer bindings */
    CELLS_CLAIM_NOT_BOUND,       /* some are not bound to the organisation */
    CELLS_CLAIM_IN_USE,          /* a guaranteed job is on them */
    CELLS_CLAIM_EMPTY            /* the claim names no accelerators */
};

const char *Cells_ClaimName(enum cells_claim_reason reason);

/* The verdict on a claim, with the facts behind it. */
struct cells_claim {
    enum cells_claim_reason reason;
    uint64_t version; /* of the agent's bindings */
    uint64_t bound;   /* mask of the organisation's accelerators */
    uint64_t holder;  /* job, with CELLS_CLAIM_IN_USE */
    int displaced;    /* used entries of displace[] */
    uint64_t displace[CELLS_ACCELERATORS_MAX]; /* lent jobs, to be stopped */
};

/* Decides whether an organisation may reserve the accelerators in mask on this
 * worker for a guaranteed job, and which lent jobs it displaces. Used when
 * neither the owner nor the store is reachable. No two agents need to agree,
 * because a worker's bindings cover its own accelerators only; the gang starts
 * when all its agents have accepted. */
struct cells_claim Cells_Claim(const struct cells_local *local,
                               const char *organisation, uint64_t mask,
                               uint64_t version);
/* Lists the bindings of one worker, to be sent to its agent; returns how many
 * there are. Their version is Cells_WorkerVersion, which changes only when
 * they change. */
int Cells_LocalBindings(const struct cells *c, int worker,
                        struct cells_local_binding *out, int max);
uint64_t Cells_WorkerVersion(const struct cells *c, int worker);

/* ---- queue ------------------------------------------------------------- */

#define PLACE_LOOKAHEAD 32 /* jobs behind the head that are tried */

struct place_options {
    struct cells_weights weights;
    bool no_reservation; /* baseline: any job that fits starts */
    bool no_backfill;    /* baseline: first come, first served */
};

enum place_reason {
    PLACE_START_HEAD,
    PLACE_START_BACKFILL_ENDS, /* ends before the reserved time */
    PLACE_START_BACKFILL_ROOM, /* leaves room for the reservation */
    PLACE_START_UNRESERVED,    /* no reservation with a known time applies */
    PLACE_NEVER,               /* can never start; plan.reason has the cause */
    PLACE_WAIT,                /* no job can start now */
    PLACE_EMPTY
};

const char *Place_ReasonName(enum place_reason reason);

struct place_decision {
    enum place_reason reason;
    int index;              /* in the queue, or CELLS_NONE */
    struct cells_plan plan; /* to be committed, or why the head waits */
    uint64_t reserved_for;  /* job that holds the first reservation, or 0 */
    /* Expected start of that job. 0: not computed, because no job behind it
     * could start anyway (call Place_Forecast); INT64_MAX: unknown. */
    int64_t reserved_at;
    int tried; /* jobs planned */
};

/* Picks the next job to start from a queue in scheduling order, without
 * changing the state. Call it again after each commit until it returns
 * PLACE_WAIT or PLACE_EMPTY. Free the decision with Place_DecisionClear. */
enum place_reason Place_Next(const struct cells *c,
                             const struct cells_request *queue, int n,
                             const struct place_options *options, int64_t now,
                             struct place_decision *decision);
void Place_DecisionClear(struct place_decision *decision); /* for CLEANUP */
/* Earliest time at which the job is expected to fit, by the run time estimates
 * of the running jobs: now if it fits at once, INT64_MAX if unknown. */
int64_t Place_Forecast(const struct cells *c,
                       const struct cells_request *request,
                       const struct cells_weights *weights, int64_t now);

enum place_defrag_reason {
    PLACE_DEFRAG_PAYS,
    PLACE_DEFRAG_FITS,       /* the job starts without moving any */
    PLACE_DEFRAG_NO_ROOM,    /* moving jobs would not make room */
    PLACE_DEFRAG_COSTS_MORE, /* than the waiting time that it saves */
    PLACE_DEFRAG_UNKNOWN     /* the waiting time is unknown */
};

const char *Place_DefragName(enum place_defrag_reason reason);

struct place_defrag {
    enum place_defrag_reason reason;
    int64_t gain;           /* accelerator-milliseconds of waiting saved */
    int64_t cost;           /* accelerator-milliseconds lost by the victims */
    struct cells_plan plan; /* of the gang; its victims make a checkpoint */
    struct cells_plan *resume; /* of the victims elsewhere, in their order */
    int resumes;
};

/* Decides whether to checkpoint lent jobs and restart them elsewhere so that
 * the gang starts now. Each victim fits elsewhere once the gang is placed.
 * Commit plan, then plan each entry of resume again and commit it. */
enum place_defrag_reason Place_Defrag(const struct cells *c,
                                      const struct cells_request *request,
                                      const struct cells_weights *weights,
                                      int64_t now, struct place_defrag *out);
void Place_DefragClear(struct place_defrag *defrag); /* for CLEANUP */

#ifdef __cplusplus
}
#endif

#endif
