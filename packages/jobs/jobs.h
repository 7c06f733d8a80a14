/*
 * jobs: the scheduler. It holds jobs of steps from their acceptance until
 * their last run has ended, and decides which tasks start on which worker. It
 * has no socket, clock or log: time is an argument, and orders to agents and
 * rows to be stored are results.
 *
 * A job has steps, a step has tasks, and each start of a task is a run with a
 * number that rises. A unit is what starts and ends together: all tasks of a
 * gang, or a single task. A job with repetitions has each unit once for every
 * occurrence.
 *
 * Four rules keep a task from running twice and a result from being lost:
 *   1. A run is stored before it is ordered (Jobs_NextDirty, Jobs_Written), so
 *      an owner that takes over finds every run that may exist in the rows.
 *   2. A unit starts again only when no task of its last run can still run:
 *      its end has been reported, its worker has left or has been replaced by
 *      another incarnation, or the last lease that its worker can hold has
 *      expired.
 *   3. An end is acknowledged to its worker only after it is stored.
 *   4. Orders are repeated until a report shows that they were carried out;
 *      each is idempotent by (task, run).
 */
#ifndef JOBS_H
#define JOBS_H

#include "base.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define JOBS_ID_SIZE 33     /* id of a job, with the final NUL */
#define JOBS_TASK_SIZE 96   /* name of a task: ID.OCCURRENCE.STEP.INDEX */
#define JOBS_TEXT_SIZE 96   /* labels, racks, worker ids, checkpoints */
#define JOBS_STEPS_MAX 64   /* of a job */
#define JOBS_TASKS_MAX 4096 /* of a job: all steps of one occurrence */
/* Latest due time, in milliseconds since 1970: the year 5138. */
#define JOBS_DUE_MAX_MS ((int64_t)100000000000000)
#define JOBS_ROW_MAX 60000 /* bytes of a row; stores accept 64 KiB */

/* ---- configuration ------------------------------------------------------ */

/* A queue to which callers submit jobs. */
struct jobs_queue {
    char name[NAME_SIZE];
    char *host;   /* host name of the queue's URL */
    char *prefix; /* path prefix of the queue's URL, before the job's id */
    char service[NAME_SIZE];
    int priority; /* 0 is served first and may evict the others */
    int attempts; /* runs of a unit that may end as failed */
    double stretch;
    /* The objective of a job: stretch * its longest chain of steps + this. */
    int64_t target_ms;
    bool anonymous;
    bool asks_advice; /* an adviser approves the workers of each step */
};

struct jobs_organisation {
    char name[NAME_SIZE];
    struct conf_list keys; /* char * */
    int64_t guaranteed;    /* accelerators for its jobs of priority 0 */
};

struct jobs_service {
    char name[NAME_SIZE];
    bool admission_check; /* its workers refuse what exceeds their capacity */
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

void JobsConfig_Clear(struct jobs_config *c); /* can be used with CLEANUP */
/* Returns the queue with that host and the longest prefix of the path, or
 * NULL. */
const struct jobs_queue *JobsConfig_Route(const struct jobs_config *c,
                                          const char *host, const char *path);
const struct jobs_queue *JobsConfig_Queue(const struct jobs_config *c,
                                          const char *name);
/* Returns the organisation that the key belongs to, or NULL. */
const struct jobs_organisation *JobsConfig_ByKey(const struct jobs_config *c,
                                                 const char *key);

#define JOBS_DOMAINS_MAX 32 /* failure domains that are emptied at once */

/* Failure domains that operators empty: nothing new starts there, and runs
 * that are there continue to their end. */
struct jobs_domains {
    char names[JOBS_DOMAINS_MAX][NAME_SIZE];
    size_t count;
};

bool JobsDomains_Has(const struct jobs_domains *d, const char *name);
/* Adds or removes a domain. ERR_OK, or ERR_NOMEM when the set is full. */
int JobsDomains_Set(struct jobs_domains *d, const char *name, bool emptied);
/* True when both sets have the same members, in any order. */
bool JobsDomains_Equal(const struct jobs_domains *a,
                       const struct jobs_domains *b);

/* ---- what callers submit ------------------------------------------------
 */

/* Resources that a task needs or a worker has. */
struct jobs_resources {
    int64_t millicores;
    int64_t memory_mb;
    int64_t accelerators;
};

struct jobs_step {
    uint32_t count;             /* tasks */
    struct jobs_resources need; /* of each task */
    int64_t estimate_ms; /* length of a run: the caller's rough estimate */
    uint32_t after[JOBS_STEPS_MAX]; /* steps that must be done before */
    uint32_t after_count;
    bool checkpoints;
    bool gang;       /* its tasks make progress only while all of them run */
    bool same_rack;  /* its gang is slower when spread over several racks */
    bool duplicates; /* copies of a task may run at the same time */
    bool lasting;    /* a service: runs until its job is cancelled */
    bool fills;      /* best effort: uses cores that other tasks leave */
    uint32_t spread; /* most tasks of it on one worker; 0: no limit */
    int64_t latency_target_ms; /* objective of a service; 0: none */
    uint32_t max_unavailable;
    char label[JOBS_TEXT_SIZE]; /* label that its workers must have; "": any */
    char rack[JOBS_TEXT_SIZE];  /* rack of its input data; "": none */
    char image[JOBS_TEXT_SIZE];
};

/* Quality of service that a queue gives its jobs. A job's spec has the one at
 * its acceptance, which is used until a configuration that has its queue is in
 * force. */
struct jobs_qos {
    char service[NAME_SIZE]; /* "": not known */
    int priority;
    int attempts;
    double stretch;
    int64_t target_ms;
    bool asks_advice; /* only workers that an adviser approves run its steps */
};

struct jobs_spec {
    struct jobs_qos qos; /* at its acceptance */
    char id[JOBS_ID_SIZE];
    char queue[NAME_SIZE];
    char organisation[NAME_SIZE]; /* "": anonymous */
    char *payload;                /* opaque, for the worker */
    struct jobs_step *steps;
    uint32_t step_count;
    uint32_t repetitions; /* 0: runs once, immediately */
    int64_t first_due_ms; /* due time of occurrence 0, since 1970 */
    int64_t interval_ms;
    int64_t accepted_ms; /* since 1970, by the clock of the accepting entry */
};

void JobsSpec_Clear(struct jobs_spec *s); /* can be used with CLEANUP */
/* Copies the quality of service that a queue gives. */
void JobsQos_FromQueue(const struct jobs_queue *q, struct jobs_qos *out);
/* ERR_OK, or ERR_INVALID with the reason in why. */
int JobsSpec_Check(const struct jobs_spec *s, char why[128]);
/* Appends the row of a spec, as JSON. */
void JobsSpec_Encode(const struct jobs_spec *s, struct buf *out);
/* Reads the row of a spec. ERR_OK or ERR_INVALID. */
int JobsSpec_Decode(const char *text, size_t len, struct jobs_spec *out);

/* ---- what agents report --------------------------------------------------
 */

/* How a run ended. */
enum jobs_end {
    END_DONE,
    END_FAILED,  /* by a fault of the task or the worker; uses up an attempt */
    END_STOPPED, /* stopped by an order */
    END_LAPSED,  /* its lease expired */
    END_BROKEN,  /* another task of its gang ended */
    END_ALONE    /* the rest of its gang did not start in time */
};

struct jobs_running {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    char checkpoint[JOBS_TEXT_SIZE];
    int64_t percent;         /* of its work that is done */
    int64_t tail_latency_ms; /* of a service: its tail latency, ms */
};

struct jobs_ended {
    uint64_t number; /* rises within an incarnation of the worker */
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    enum jobs_end how;
    char checkpoint[JOBS_TEXT_SIZE];
};

/* A run whose stop the worker has confirmed: it can't start any more. */
struct jobs_stopped {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
};

/* A run that was on a worker when that crashed. */
struct jobs_crash {
    char worker[JOBS_TEXT_SIZE]; /* the incarnation that crashed */
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    bool acknowledged; /* the worker had acknowledged its start */
    int64_t worked_ms; /* time during which reports listed it as running */
};

/* An incarnation of a worker is named ID, or ID#START where workers may
 * restart under their ids; no id contains the separator. */
#define JOBS_START_SEPARATOR '#'
/* True when both incarnations have the same id. Workers check only the id of
 * an order, so each of them carries out orders that were sent to the other. */
bool Jobs_SharesId(const char *incarnation, const char *other);

/* The state of an agent's worker, in one report. */
struct jobs_report {
    char agent[NAME_SIZE];
    char worker[JOBS_TEXT_SIZE]; /* its incarnation; "": there is no worker */
    char service[NAME_SIZE];
    char domain[NAME_SIZE]; /* failure domain of its machine; "": not known */
    char labels[4][JOBS_TEXT_SIZE];
    uint32_t label_count;
    struct jobs_resources capacity;
    bool draining;
    /* Minimum time for which a draining worker still serves; negative: not
     * known. */
    int64_t drain_left_ms;
    uint64_t term;    /* of the owner under which the report was made */
    int64_t clock_ms; /* the worker's clock */
    struct jobs_running *running;
    size_t running_count;
    struct jobs_ended *ended;
    size_t ended_count;
    struct jobs_stopped *stopped;
    size_t stopped_count;
    /* The worker has more ends than are listed, or a list is missing: a run
     * that is in neither list may have ended, or may still run. */
    bool partial;
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

/* Parts of the scheduler that are switched on by a deployment's settings. */
struct jobs_parts {
    bool departures; /* leaving, flapping and failing workers */
    bool speeds;     /* how fast each machine runs tasks */
    bool preemption; /* evictions are decided by what they gain and cost */
    bool timeline;   /* predicted room, reservations and backfill */
    bool shares;     /* fair shares between organisations */
};

/* Longest time from a start's order until its worker carries it out, but for
 * workers that are late themselves: of the message, and of the agent's call.
 */
#define JOBS_ORDER_LATE_MS 1000

/* Parameters of a scheduler. */
struct jobs_limits {
    uint64_t term;        /* of the owner that runs the scheduler */
    int64_t lease_ms;     /* length of a lease, on the worker's clock */
    int64_t start_ms;     /* workers refuse starts that arrive later */
    int64_t early_ms;     /* occurrences may start this long before due */
    int64_t silent_ms;    /* workers without a report for this get no runs */
    int64_t stop_ms;      /* longest time that a worker takes for a stop */
    double remote_factor; /* slow-down away from the data, or across racks */
    int64_t keep_ms;      /* ended jobs stay visible for this long */
    struct jobs_parts parts;
};

enum jobs_verb { ORDER_START, ORDER_STOP, ORDER_SHARE };

/* An order to the agent of a worker. */
struct jobs_order {
    enum jobs_verb verb;
    char agent[NAME_SIZE];
    char worker[JOBS_TEXT_SIZE];
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    int64_t until_ms;       /* deadline of a start, by the worker's clock */
    int64_t percent;        /* share of the cores that the run may use */
    const char *payload;    /* valid until the scheduler changes */
    const char *checkpoint; /* "": none */
    const char *ticket;     /* "": none */
};

/* Workers in one question; advisers accept up to 100. */
#define JOBS_QUESTION_WORKERS_MAX 30

/* A question to an adviser: which of these workers may run a step. */
struct jobs_question {
    char job[JOBS_ID_SIZE];
    uint32_t occurrence;
    uint32_t step;
    char workers[JOBS_QUESTION_WORKERS_MAX][JOBS_TEXT_SIZE];
    size_t count;
};

/* A worker that may run the step, and the ticket that its starts carry. */
struct jobs_approval {
    char worker[JOBS_TEXT_SIZE];
    char ticket[JOBS_TEXT_SIZE];
};

struct jobs_scheduler;
struct jobs_job;

struct jobs_scheduler *Jobs_New(const struct jobs_limits *limits);
void Jobs_Free(struct jobs_scheduler *sched);

/* Puts a configuration in force; the scheduler keeps the pointer. */
void Jobs_SetConfig(struct jobs_scheduler *sched, const struct jobs_config *c);
/* Sets the failure domains in which nothing may start from now on; runs that
 * are there continue. Domains that are no longer in the set are used again. */
void Jobs_SetEmptied(struct jobs_scheduler *sched,
                     const struct jobs_domains *d);
/* Returns how many tasks may be running on workers of a failure domain. */
size_t Jobs_TasksIn(const struct jobs_scheduler *sched, const char *domain);
/* Sums up the accelerators of the workers that may be used, and those that are
 * guaranteed to all organisations together. */
void Jobs_Guarantees(const struct jobs_scheduler *sched, int64_t *usable,
                     int64_t *guaranteed);
/* Adds an accepted job; the spec is moved out of s. progress is the job's
 * progress row, or NULL. ERR_OK, ERR_EXISTS, or ERR_INVALID when the row can't
 * be read: the job is added, but held, so that nothing of it starts. */
int Jobs_Add(struct jobs_scheduler *sched, struct jobs_spec *s,
             const char *progress, size_t len, int64_t now_ms);
/* True when the scheduler holds the job. */
bool Jobs_Has(const struct jobs_scheduler *sched, const char *id);
/* Cancels a job for its caller. */
void Jobs_Cancel(struct jobs_scheduler *sched, const char *id, int64_t now_ms);
/* Marks a row of a job as corrupt in the store: that of its spec, or that of
 * its progress. It will be overwritten with the state in memory. */
void Jobs_MarkCorrupt(struct jobs_scheduler *sched, const char *id, bool spec);
/* Appends the next spec that has to be stored again and returns its job's id,
 * or NULL when there is none. */
const char *Jobs_NextCorruptSpec(struct jobs_scheduler *sched,
                                 struct buf *out);
/* Processes an agent's report on its worker. True when it may change a
 * decision: a run is over, or the worker is new or has changed. After any
 * other report the next plan can wait for its regular time. */
bool Jobs_Report(struct jobs_scheduler *sched, const struct jobs_report *r,
                 int64_t now_ms);
/* A worker refused a start; the run has not begun and may be ordered again. */
void Jobs_StartRefused(struct jobs_scheduler *sched, const char *worker,
                       const char *task, uint64_t run, const char *reason,
                       int64_t now_ms);
/* An agent reports that its worker has left. ended is the worker's last list
 * of ends, some of which may not have been reported before. True when the
 * worker was known. */
bool Jobs_WorkerLeft(struct jobs_scheduler *sched, const char *worker,
                     const struct jobs_ended *ended, size_t count,
                     int64_t now_ms);
/* An agent reports the runs that were on its worker when that crashed, those
 * of the latest crash last; to be called after Jobs_Report for the next
 * incarnation, if there is one. A task that has crashed too many workers is
 * given up, and its job fails. Repeated reports of a crash have no effect. */
void Jobs_WorkerCrashed(struct jobs_scheduler *sched, const char *agent,
                        const struct jobs_crash *crashes, size_t count,
                        int64_t now_ms);
/* Ends the takeover; called once, after all rows have been added. Runs that
 * the rows have on workers without a report end at lost_at_ms at the latest.
 */
void Jobs_TakeOver(struct jobs_scheduler *sched, int64_t lost_at_ms,
                   int64_t now_ms);
/* The previous owner is now known to grant no more leases: runs on workers
 * without a report since the takeover end at lost_at_ms already. */
void Jobs_OwnerEnded(struct jobs_scheduler *sched, int64_t lost_at_ms);
/* Expires leases, and chooses starts and stops. wall_ms: time since 1970, for
 * due times. */
void Jobs_Plan(struct jobs_scheduler *sched, int64_t now_ms, int64_t wall_ms);

/* Returns the question to ask an adviser for the unit that is served next, or
 * NULL. */
const struct jobs_question *Jobs_Question(const struct jobs_scheduler *sched);
/* An adviser answered: the tickets are valid until until_ms, and workers of
 * the question without an approval may never run the step. */
void Jobs_AdviceReceived(struct jobs_scheduler *sched,
                         const struct jobs_question *q,
                         const struct jobs_approval *approvals, size_t count,
                         int64_t until_ms);

/* Appends the row of the next job that has to be stored to out and returns the
 * job's id, or NULL when there is none. */
const char *Jobs_NextDirty(struct jobs_scheduler *sched, struct buf *out);
/* All rows that Jobs_NextDirty returned since the last commit are stored. */
void Jobs_Written(struct jobs_scheduler *sched);
/* Storing these rows failed: Jobs_NextDirty returns them again. */
void Jobs_NotWritten(struct jobs_scheduler *sched);

/* Returns the next order that is due, or false; call it until it returns
 * false. may_start: this owner may grant leases, so starts may be ordered. */
bool Jobs_NextOrder(struct jobs_scheduler *sched, int64_t now_ms,
                    bool may_start, struct jobs_order *out);
/* Bytes of the row of what the scheduler has learned, at most. */
#define JOBS_LEARNED_MAX 16384
/* True when what was learned differs by more than a tenth from what was last
 * encoded or taken. */
bool Jobs_LearnedChanged(const struct jobs_scheduler *sched);
/* Appends the row of what was learned: lengths of runs and speeds of machines.
 * wall_ms: time since 1970. */
void Jobs_EncodeLearned(struct jobs_scheduler *sched, int64_t wall_ms,
                        struct buf *out);
/* Takes the row of an earlier owner, before jobs are added. ERR_OK, or
 * ERR_INVALID when it is unreadable, of another version, or not of an earlier
 * term; nothing of it is taken then. */
int Jobs_DecodeLearned(struct jobs_scheduler *sched, const char *text,
                       size_t len);

/* Returns the number of the worker's last end whose effect is stored; the
 * worker may forget its ends up to this one. */
uint64_t Jobs_LastSeen(const struct jobs_scheduler *sched, const char *worker);
/* A lease is sent to the worker, counted from the report received at now_ms.
 */
void Jobs_LeaseGranted(struct jobs_scheduler *sched, const char *worker,
                       int64_t now_ms);
/* Returns the id of an ended job that may be removed, or NULL. */
const char *Jobs_NextExpired(struct jobs_scheduler *sched, int64_t now_ms);
void Jobs_Remove(struct jobs_scheduler *sched, const char *id);

/* ---- events: decisions and their reasons --------------------------------
 */

enum jobs_event_kind {
    JOBS_JOB_TAKEN,     /* a job was added */
    JOBS_RUN_GIVEN,     /* a run was assigned to a worker; number: ms waited */
    JOBS_RUN_STOPPED,   /* a run is to be stopped */
    JOBS_RUN_OVER,      /* a run has ended; number: ms since assigned */
    JOBS_JOB_STATE,     /* reason: the new state; number: ms since taken */
    JOBS_JOB_WAITS,     /* a job can't start, only because of the reason */
    JOBS_WORKER_OUT,    /* a worker is not used for a while, or is gone */
    JOBS_CRASH_CHARGED, /* a worker crashed under a task; number: its blame */
    JOBS_TASK_GIVEN_UP, /* number: workers that crashed under the task */
    JOBS_WORKER_SPEED,  /* number: estimated speed of its machine, percent */
    /* Runs are evicted for a unit, or not. number: the price of its victims in
     * core milliseconds; gain: the most that this may be. */
    JOBS_EVICTION,
    JOBS_EVICTION_DECLINED,
};

/* One decision of the scheduler. */
struct jobs_event {
    enum jobs_event_kind kind;
    const char *reason; /* a constant */
    char job[JOBS_ID_SIZE];
    char organisation[NAME_SIZE]; /* of the job */
    char task[JOBS_TASK_SIZE];
    char worker[JOBS_TEXT_SIZE];
    char other[JOBS_ID_SIZE]; /* job for which a run was stopped; "": none */
    uint64_t run;
    int64_t number;
    int64_t gain; /* of an eviction, in core milliseconds */
    /* Size of a run in millicores; an accelerator counts as eight cores. */
    int64_t weight;
    int64_t objective_ms; /* of a job: time from its arrival to its end */
    bool periodic;        /* of a job: it has repetitions */
    int64_t at_ms;        /* set by the reader; the scheduler has no clock */
    TAILQ_ENTRY(jobs_event) entry;
};

const char *Jobs_EventName(enum jobs_event_kind kind);
/* Removes and returns the oldest event, which the caller frees, or NULL. While
 * 4,096 events wait to be read, new ones are only counted (Jobs_State). */
struct jobs_event *Jobs_NextEvent(struct jobs_scheduler *sched);

/* Reads the state from a progress row, to be shown. started: a task has begun.
 * ERR_OK or ERR_INVALID. */
int Jobs_ReadProgress(const char *text, size_t len, enum jobs_state *state,
                      bool *started);
/* Returns the state of the scheduler as JSON, for operators. */
json_t *Jobs_State(const struct jobs_scheduler *sched);

#ifdef __cplusplus
}
#endif

#endif
