/*
 * jobs: jobs of steps, from their acceptance to their last end, and the
 * decision which of them starts where. No socket, clock or log: time is an
 * argument, orders and rows to write are results.
 *
 * A job has steps, a step has tasks, and each start of a task is a run with a
 * number that rises. A unit is what starts and ends together: all tasks of a
 * gang, or a single task. A job with repetitions has each unit once for every
 * occurrence.
 *
 * The scheduler rests on four rules:
 *   1. A run is written before it is ordered (Jobs_NextDirty, Jobs_Written),
 *      so whoever reads the rows knows every run that may exist.
 *   2. A unit starts again only when no task of its last run can still run:
 *      its end is listed, its worker has another lifetime or has left, or the
 *      last lease that its worker can hold is over.
 *   3. An end is acknowledged to its worker only after it is written.
 *   4. Orders are repeated until a report shows them carried out; each is
 *      idempotent by (task, run).
 */
#ifndef JOBS_H
#define JOBS_H

#include "base.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define JOBS_ID_SIZE 33     /* id of a job, the final NUL included */
#define JOBS_TASK_SIZE 96   /* name of a task: ID.OCCURRENCE.STEP.INDEX */
#define JOBS_TEXT_SIZE 96   /* labels, racks, worker ids, checkpoints */
#define JOBS_STEPS_MAX 64   /* of a job */
#define JOBS_TASKS_MAX 4096 /* of a job, all steps of one occurrence */
/* Latest due time, since 1970: the year 5138. */
#define JOBS_DUE_MAX_MS ((int64_t)100000000000000)
#define JOBS_ROW_MAX 60000 /* bytes of a row; stores bear 64 KiB */

/* ---- configuration ------------------------------------------------------ */

/* A queue that callers hand jobs in to. */
struct jobs_queue {
    char name[NAME_SIZE];
    char host[256];   /* of its address */
    char prefix[256]; /* of the path, up to the job's id */
    char service[NAME_SIZE];
    int priority; /* 0 comes first and may preempt */
    int attempts; /* runs that may end as failed */
    double stretch;
    int64_t target_ms; /* a job's objective: stretch * its chain + this */
    bool anonymous;
    bool asks_advice;
};

struct jobs_organisation {
    char name[NAME_SIZE];
    struct conf_list keys; /* char * */
    int64_t guaranteed;    /* accelerators for its jobs of priority 0 */
};

struct jobs_service {
    char name[NAME_SIZE];
    bool admission_check; /* its workers refuse what does not fit */
};

struct jobs_config {
    uint64_t version;
    struct jobs_queue *queues;
    size_t queue_count;
    struct jobs_organisation *organisations;
    size_t organisation_count;
    struct jobs_service *services;
    size_t service_count;
    int64_t body_bytes; /* longest body of a caller's request; 0: unset */
};

void JobsConfig_Clear(struct jobs_config *c); /* fit for CLEANUP */
/* The queue with that host and the longest prefix that the path starts with,
 * or NULL. */
const struct jobs_queue *JobsConfig_Route(const struct jobs_config *c,
                                          const char *host, const char *path);
const struct jobs_queue *JobsConfig_Queue(const struct jobs_config *c,
                                          const char *name);
/* The organisation that holds the key, or NULL. */
const struct jobs_organisation *JobsConfig_ByKey(const struct jobs_config *c,
                                                 const char *key);

#define JOBS_DOMAINS_MAX 32 /* failure domains that are emptied at once */

/* Failure domains that operators have asked to be emptied. */
struct jobs_domains {
    char names[JOBS_DOMAINS_MAX][NAME_SIZE];
    size_t count;
};

bool JobsDomains_Has(const struct jobs_domains *d, const char *name);
/* Adds or drops one. ERR_OK, or ERR_NOMEM when there are too many. */
int JobsDomains_Set(struct jobs_domains *d, const char *name, bool emptied);
/* True when both name the same, in whatever order. */
bool JobsDomains_Equal(const struct jobs_domains *a,
                       const struct jobs_domains *b);

/* ---- what callers ask for ------------------------------------------------
 */

/* What a task needs of its worker. */
struct jobs_resources {
    int64_t millicores;
    int64_t memory_mb;
    int64_t accelerators;
};

struct jobs_step {
    uint32_t count; /* tasks */
    struct jobs_resources need;
    int64_t estimate_ms; /* rough, by the caller */
    uint32_t after[JOBS_STEPS_MAX];
    uint32_t after_count;
    bool checkpoints;
    bool gang;       /* tasks work only together */
    bool same_rack;  /* and slow down when they lie on several racks */
    bool duplicates; /* copies may run at once */
    bool lasting;    /* runs until its job is cancelled */
    bool fills;      /* its cores are not counted against the worker */
    uint32_t spread; /* at most so many on one worker; 0: no bound */
    int64_t latency_target_ms; /* of a lasting task that serves; 0: none */
    uint32_t max_unavailable;
    char label[JOBS_TEXT_SIZE]; /* the worker must bear it; "": any */
    char rack[JOBS_TEXT_SIZE];  /* where its data lies; "": anywhere */
    char image[JOBS_TEXT_SIZE];
};

/* What a queue grants its jobs. A job keeps those that it was taken under, for
 * the time when no configuration has its queue any more. */
struct jobs_qos {
    char service[NAME_SIZE]; /* "": not known */
    int priority;
    int attempts;
    double stretch;
    int64_t target_ms;
    bool asks_advice; /* only workers that an adviser approves run its steps */
};

struct jobs_spec {
    struct jobs_qos qos;
    char id[JOBS_ID_SIZE];
    char queue[NAME_SIZE];
    char organisation[NAME_SIZE]; /* "": anonymous */
    char *payload;                /* for the worker, opaque */
    struct jobs_step *steps;
    uint32_t step_count;
    uint32_t repetitions; /* 0: runs once, at once */
    int64_t first_due_ms; /* of occurrence 0, since 1970 */
    int64_t interval_ms;
    int64_t accepted_ms; /* since 1970, by the entry that took it */
};

void JobsSpec_Clear(struct jobs_spec *s); /* fit for CLEANUP */
/* Takes the terms of its queue. */
void JobsQos_FromQueue(const struct jobs_queue *q, struct jobs_qos *out);
/* ERR_OK, or ERR_INVALID with what is wrong in why. */
int JobsSpec_Check(const struct jobs_spec *s, char why[128]);
/* The row of a spec, as JSON, and back. ERR_OK or ERR_INVALID. */
void JobsSpec_Encode(const struct jobs_spec *s, struct buf *out);
int JobsSpec_Decode(const char *text, size_t len, struct jobs_spec *out);

/* ---- what workers say ----------------------------------------------------
 */

enum jobs_end {
    END_DONE,
    END_FAILED,  /* by its own fault or the worker's; an attempt is spent */
    END_STOPPED, /* as ordered */
    END_LAPSED,  /* its lease was over */
    END_BROKEN,  /* another task of its gang ended */
    END_ALONE    /* the rest of its gang never came */
};

struct jobs_running {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    char checkpoint[JOBS_TEXT_SIZE];
    int64_t percent;
    int64_t tail_latency_ms; /* of one that serves: its tail latency, ms */
};

struct jobs_ended {
    uint64_t number; /* rises within a lifetime */
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    enum jobs_end how;
    char checkpoint[JOBS_TEXT_SIZE];
};

/* A run whose stop the worker has confirmed: it does not start any more. */
struct jobs_stopped {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
};

/* A run that was on a worker when that crashed. */
struct jobs_crash {
    char worker[JOBS_TEXT_SIZE]; /* the lifetime that is over */
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    bool acknowledged; /* the worker had answered its start */
    int64_t worked_ms; /* how long it was seen at work */
};

/* What an agent knows of its worker, in one report. */
struct jobs_report {
    char agent[NAME_SIZE];
    char worker[JOBS_TEXT_SIZE]; /* its lifetime; "": none is there */
    /* The lifetime before, when this one takes orders that were meant for it,
     * late ones too; "": there is none. */
    char successor_of[JOBS_TEXT_SIZE];
    char service[NAME_SIZE];
    char domain[NAME_SIZE]; /* failure domain of its machine; "": not known */
    char labels[4][JOBS_TEXT_SIZE];
    uint32_t label_count;
    struct jobs_resources capacity;
    bool draining;
    uint64_t term;    /* of the owner that the report was made under */
    int64_t clock_ms; /* the worker's own */
    struct jobs_running *running;
    size_t running_count;
    struct jobs_ended *ended;
    size_t ended_count;
    struct jobs_stopped *stopped;
    size_t stopped_count;
};

/* ---- the scheduler ---------------------------------------------------------
 */

enum jobs_state {
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_COMPLETED,
    JOB_FAILED,
    JOB_CANCELLED
};
const char *Jobs_StateName(enum jobs_state state);

/* What the scheduler is told of its place. Times in milliseconds. */
struct jobs_limits {
    uint64_t term;     /* of the owner that runs it */
    int64_t lease_ms;  /* of a grant, on the worker's clock */
    int64_t start_ms;  /* a start that comes later is refused */
    int64_t early_ms;  /* an occurrence may start so much before it is due */
    int64_t silent_ms; /* an agent that says nothing gets nothing new */
    double remote_factor; /* slow-down away from the data, or across racks */
    int64_t keep_ms;      /* an ended job is shown for so long */
};

enum jobs_verb { ORDER_START, ORDER_STOP, ORDER_SHARE };

struct jobs_order {
    enum jobs_verb verb;
    char agent[NAME_SIZE];
    char worker[JOBS_TEXT_SIZE];
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    int64_t until_ms;       /* worker clock; of a start */
    int64_t percent;        /* of a share: how much the run may work */
    const char *payload;    /* valid until the scheduler changes */
    const char *checkpoint; /* "": none */
    const char *ticket;     /* "": none */
};

#define JOBS_QUESTION_WORKERS_MAX                                             \
    30 /* workers in one question; advisers take 100 */

/* Which of these workers may run a step? */
struct jobs_question {
    char job[JOBS_ID_SIZE];
    uint32_t occurrence;
    uint32_t step;
    char workers[JOBS_QUESTION_WORKERS_MAX][JOBS_TEXT_SIZE];
    size_t count;
};

/* A worker that may, and the ticket for its starts. */
struct jobs_approval {
    char worker[JOBS_TEXT_SIZE];
    char ticket[JOBS_TEXT_SIZE];
};

struct jobs_scheduler;
struct jobs_job;

struct jobs_scheduler *Jobs_New(const struct jobs_limits *limits);
void Jobs_Free(struct jobs_scheduler *b);

/* The configuration in force; the scheduler keeps a pointer to it. */
void Jobs_SetConfig(struct jobs_scheduler *b, const struct jobs_config *c);
/* Failure domains in which nothing may start from now on; what runs there goes
 * on. Those named before and not now are used again. */
void Jobs_SetEmptied(struct jobs_scheduler *b, const struct jobs_domains *d);
/* Tasks that workers of a failure domain may run. */
size_t Jobs_TasksIn(const struct jobs_scheduler *b, const char *domain);
/* Accelerators of workers that may be used, and what all organisations
 * together are guaranteed of them. */
void Jobs_Guarantees(const struct jobs_scheduler *b, int64_t *usable,
                     int64_t *guaranteed);
/* Takes an accepted job; the spec is moved out of s. progress is its row, or
 * NULL. ERR_OK, ERR_EXISTS, or ERR_INVALID when the row can't be read: the job
 * is in the scheduler, and nothing of it starts. */
int Jobs_Add(struct jobs_scheduler *b, struct jobs_spec *s,
             const char *progress, size_t len, int64_t now_ms);
/* True when the job is known. */
bool Jobs_Has(const struct jobs_scheduler *b, const char *id);
/* Its caller wants it no more. */
void Jobs_Cancel(struct jobs_scheduler *b, const char *id, int64_t now_ms);
/* A row of the job was found spoiled in the store: that of its spec, or of its
 * progress. What the scheduler knows is to be written over it. */
void Jobs_MarkCorrupt(struct jobs_scheduler *b, const char *id, bool spec);
/* Appends a spec that has to be stored again and returns its job's id, or NULL
 * when there is none. */
const char *Jobs_NextCorruptSpec(struct jobs_scheduler *b, struct buf *out);
/* An agent's report on its worker. True when it may change what is decided: a
 * run is over, or the worker is another one than was known. Without such news
 * decisions wait for the next turn by the clock. */
bool Jobs_Report(struct jobs_scheduler *b, const struct jobs_report *r,
                 int64_t now_ms);
/* A worker refused a start; it has not begun and may be ordered anew. */
void Jobs_StartRefused(struct jobs_scheduler *b, const char *worker,
                       const char *task, uint64_t run, const char *reason,
                       int64_t now_ms);
/* A worker that its agent saw leave is gone; ended is what it last listed, of
 * which some may not have been reported before. True when it was known. */
bool Jobs_WorkerLeft(struct jobs_scheduler *b, const char *worker,
                     const struct jobs_ended *ended, size_t count,
                     int64_t now_ms);
/* An agent's worker has crashed with these runs on it (reported after the
 * report of the lifetime that has taken its place, if there is one), those of
 * its last crash at the end; a task that has crashed too many is given up, and
 * its job fails. Told again it changes nothing. */
void Jobs_WorkerCrashed(struct jobs_scheduler *b, const char *agent,
                        const struct jobs_crash *crashes, size_t count,
                        int64_t now_ms);
/* Runs that the rows name on workers unheard of so far end at this time at
 * the latest; called once, after all rows are in. */
void Jobs_TakeOver(struct jobs_scheduler *b, int64_t lost_at_ms,
                   int64_t now_ms);
/* As is known now, the owner before gives out no lease any more: workers
 * unheard of since the takeover end sooner than they were waited for. */
void Jobs_OwnerEnded(struct jobs_scheduler *b, int64_t lost_at_ms);
/* Lapses leases, chooses starts and stops. wall_ms: since 1970, for due
 * times. */
void Jobs_Plan(struct jobs_scheduler *b, int64_t now_ms, int64_t wall_ms);

/* What to ask an adviser, of the unit that is served next; NULL: nothing. */
const struct jobs_question *Jobs_Question(const struct jobs_scheduler *b);
/* Its answer: tickets hold until until_ms; workers that were asked about and
 * are not among the approvals never may run the step. */
void Jobs_AdviceReceived(struct jobs_scheduler *b,
                         const struct jobs_question *q,
                         const struct jobs_approval *approvals, size_t count,
                         int64_t until_ms);

/* Jobs whose row has to be written: appends the row of the next one to out
 * and returns its id, or NULL when none is left. */
const char *Jobs_NextDirty(struct jobs_scheduler *b, struct buf *out);
/* All rows handed out by Jobs_NextDirty since the last call are stored. */
void Jobs_Written(struct jobs_scheduler *b);
/* They are not: hand them out again. */
void Jobs_NotWritten(struct jobs_scheduler *b);

/* The next order that is due, or false. Call until it returns false.
 * may_start: leases may be given out, so starts may be ordered too. */
bool Jobs_NextOrder(struct jobs_scheduler *b, int64_t now_ms, bool may_start,
                    struct jobs_order *out);
/* Up to which end the worker's list is taken note of. */
uint64_t Jobs_LastSeen(const struct jobs_scheduler *b, const char *worker);
/* A lease goes out to the worker, from a clock reading heard at now_ms. */
void Jobs_LeaseGranted(struct jobs_scheduler *b, const char *worker,
                       int64_t now_ms);
/* The id of a job that may be forgotten, or NULL. */
const char *Jobs_NextExpired(struct jobs_scheduler *b, int64_t now_ms);
void Jobs_Remove(struct jobs_scheduler *b, const char *id);

/* ---- what the scheduler decided, and why
 * ------------------------------------------ */

enum jobs_event_kind {
    JOBS_JOB_TAKEN,     /* number: tasks */
    JOBS_RUN_GIVEN,     /* number: ms that it waited */
    JOBS_RUN_STOPPED,   /* ordered to stop; reason says why */
    JOBS_RUN_OVER,      /* it can't run any more; number: ms since given */
    JOBS_JOB_STATE,     /* reason: its new state; number: ms since taken */
    JOBS_JOB_WAITS,     /* for what it would find room but for the reason */
    JOBS_WORKER_OUT,    /* not used for a while, or gone for good */
    JOBS_CRASH_CHARGED, /* a worker crashed under it; number: its blame */
    JOBS_TASK_GIVEN_UP, /* number: workers that crashed under it */
};

/* One decision or fact, with what decided it. Texts are constants. */
struct jobs_event {
    enum jobs_event_kind kind;
    const char *reason;
    char job[JOBS_ID_SIZE];
    char organisation[NAME_SIZE]; /* of the job */
    char task[JOBS_TASK_SIZE];
    char worker[JOBS_TEXT_SIZE];
    char other[JOBS_ID_SIZE]; /* a job that it gave way to; "": none */
    uint64_t run;
    int64_t number;
    int64_t weight;       /* of a run: thousandths of cores that it holds, an
                           * accelerator counts as eight cores */
    int64_t objective_ms; /* of a job: when it is to end, from its arrival */
    int64_t at_ms; /* for whoever keeps it; the scheduler has no clock */
    TAILQ_ENTRY(jobs_event) entry;
};

const char *Jobs_EventName(enum jobs_event_kind kind);
/* Takes the oldest event out; the caller frees it. NULL: none is left. Beyond
 * 4,096 that nobody takes, new ones are only counted (Jobs_State). */
struct jobs_event *Jobs_NextEvent(struct jobs_scheduler *b);

/* State in a progress row, for those who only show it. started: a task has
 * begun. ERR_OK or ERR_INVALID. */
int Jobs_ReadProgress(const char *text, size_t len, enum jobs_state *state,
                      bool *started);
/* The scheduler as JSON for operators. */
json_t *Jobs_State(const struct jobs_scheduler *b);

#ifdef __cplusplus
}
#endif

#endif
