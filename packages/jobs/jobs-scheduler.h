/* The scheduler's own structures, shared by the files of this package. */
#ifndef JOBS_SCHEDULER_H
#define JOBS_SCHEDULER_H

#include "jobs-json.h"
#include "jobs-size.h"

/* A worker's clock may be slow by this share (the platform's pages), so a
 * lease of n ms may last n * LEASE_STRETCH by ours. */
#define LEASE_STRETCH 1.03

enum unit_state { UNIT_WAITING, UNIT_GIVEN, UNIT_DONE, UNIT_FAILED };

struct jobs_unit;
struct jobs_worker;
struct machine;
struct spot;

/* One task of a unit, and where its present run is. */
struct jobs_task {
    struct jobs_unit *unit;
    uint32_t index;
    struct jobs_worker *worker; /* NULL: no run of it can be anywhere */
    bool confirmed;             /* seen running */
    int64_t listed_clock_ms; /* worker's clock when its run was last listed */
    int64_t given_ms; /* when this run was given, or is taken to have been */
    bool inherited;   /* it was given before this scheduler was made */
    int64_t sent_ms;  /* last order; 0: none yet */
    bool far;         /* from its data, or from the rest of its gang */
    int64_t percent;  /* of its work, as last seen; -1: not seen yet */
    int64_t moved_ms; /* when the percent last changed */
    /* Where the present pace is measured from, on the worker's clock. */
    int64_t mark_percent;
    int64_t mark_clock_ms;
    double pace;    /* percent a millisecond; 0: not known yet */
    int64_t figure; /* tail latency, ms, of a task that serves, as last seen */
    int64_t share;  /* at which it may work, as last ordered; -1: not yet */
    int64_t share_sent_ms;
    uint32_t blame;       /* for crashes of workers */
    uint32_t crashes;     /* of workers that had a run of it */
    uint64_t crashed_run; /* the last of these runs; 0: none */
    bool on_probation;    /* nothing joins it on its worker */
    TAILQ_ENTRY(jobs_task) on_worker;
};

/* What starts and ends together. */
struct jobs_unit {
    struct jobs_job *job;
    uint32_t occurrence;
    uint32_t step;
    enum unit_state state;
    uint64_t run; /* of the present or last run; 0: none yet */
    uint32_t failures;
    bool failed_run;  /* this run's failure is counted */
    bool stopping;    /* its run is to end */
    bool dropped;     /* and it is not to run again */
    bool unwritten;   /* this run is not stored yet */
    bool begun;       /* a task was seen running, ever */
    bool suspect;     /* a task of it may have crashed a worker */
    int64_t ready_ms; /* since when it could start; 0: not yet */
    int64_t not_before_ms;
    int64_t due_ms;  /* of its occurrence, by our clock; 0: has none */
    int64_t work_ms; /* of a run on a sound worker, as seen; 0: not known */
    int64_t moved_away_ms; /* last time that it left a slow worker */
    uint32_t moves;
    char checkpoint[JOBS_TEXT_SIZE];
    char avoid[JOBS_TEXT_SIZE]; /* worker where it failed or hung last */
    uint64_t crashed_at; /* hash of the agent whose worker crashed under it
                          * last; 0: none, or a gang of several */
    struct jobs_task *tasks;
    uint32_t task_count;
    TAILQ_ENTRY(jobs_unit) entry;
};
TAILQ_HEAD(unit_list, jobs_unit);

struct jobs_job {
    struct jobs_spec spec;
    struct jobs_qos terms; /* of its queue, as the newest configuration that
                            * has it says, else as it was taken */
    int rank; /* who gives way to whom: lower ranks evict higher ones */
    enum jobs_state state;
    bool cancelled;
    bool held;    /* its progress can't be read, so nothing of it may start */
    bool barred;  /* it was told that only emptied domains could run it */
    bool spoiled; /* the row of its spec can't be read any more */
    bool dirty;
    bool in_batch;
    uint32_t first_occurrence; /* those before are done and have no units */
    uint32_t occurrences;      /* from it on up to this, they have units */
    size_t row_bytes;          /* of its row, at most; while planning */
    int64_t arrived_ms;
    int64_t ended_ms;                 /* 0: has not ended */
    int64_t seen_ms[JOBS_STEPS_MAX];  /* work of a step's run; 0: not known */
    int64_t guess_ms[JOBS_STEPS_MAX]; /* the same, as its queue's runs tell */
    char failed_on[JOBS_TEXT_SIZE];   /* first worker where a run failed; "" */
    bool ended_well;                  /* one of its runs has ended as done */
    uint64_t sized;       /* bits of the steps that reported what they took */
    int64_t objective_ms; /* it is to end so long after its arrival */
    int64_t left_ms[JOBS_STEPS_MAX]; /* from each step on to its end */
    struct unit_list units;
    struct jobs_unit **at; /* the same, by place */
    size_t at_count;
    size_t occurrence_units; /* of each occurrence */
    TAILQ_HEAD(, advice) advice;
    RB_ENTRY(jobs_job) by_id;
    TAILQ_ENTRY(jobs_job) active;
};

/* A run on a worker that the scheduler does not want. */
struct stray {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    TAILQ_ENTRY(stray) entry;
};

/* What an adviser said of a worker for a step. */
struct advice {
    uint32_t occurrence;
    uint32_t step;
    char worker[JOBS_TEXT_SIZE];
    char ticket[JOBS_TEXT_SIZE];
    bool approved;
    int64_t until_ms;
    TAILQ_ENTRY(advice) entry;
};

/* One lifetime of a worker. */
struct jobs_worker {
    char id[JOBS_TEXT_SIZE];
    char agent[NAME_SIZE];
    char service[NAME_SIZE];
    char rack[JOBS_TEXT_SIZE];
    char domain[NAME_SIZE]; /* "": not known */
    char labels[4][JOBS_TEXT_SIZE];
    uint32_t label_count;
    struct jobs_resources capacity;
    struct jobs_resources used;     /* by what may run there */
    struct jobs_resources freeing;  /* of it, what is being stopped */
    struct jobs_resources reserved; /* in this turn of the planner */
    int64_t share;                  /* of tasks that fill, percent */
    int64_t share_ms;               /* when it last changed */
    bool heard;
    bool obeys; /* it has answered under our term */
    bool draining;
    int64_t report_ms;
    int64_t clock_ms;
    int64_t lease_end_ms; /* our clock: nothing runs after it unheard */
    int64_t full_until_ms;
    int64_t suspect_until_ms;
    int64_t well_ms;       /* last run that ended there as done; 0: none yet */
    int64_t slow_until_ms; /* its runs take far longer than elsewhere */
    int64_t doubt_ms;      /* last run far over its estimate; 0: none */
    char doubt_job[JOBS_ID_SIZE];
    uint32_t failures_in_row;
    uint32_t on_probation; /* runs here that nothing may join yet */
    uint64_t seen;         /* ends taken into the scheduler */
    uint64_t seen_batch;   /* of them, those in rows being written */
    uint64_t seen_rows;    /* of them, those stored */
    uint64_t row_mark; /* of the last row in which its names were counted */
    TAILQ_HEAD(, jobs_task) tasks;
    TAILQ_HEAD(, stray) strays;
    RB_ENTRY(jobs_worker) by_id;
};

RB_HEAD(book_tree, jobs_job);
RB_HEAD(lifetime_tree, jobs_worker);

struct jobs_scheduler {
    struct jobs_limits limits;
    TAILQ_HEAD(, jobs_event) events;
    size_t event_count;
    int64_t events_dropped;
    const struct jobs_config *config;
    struct jobs_domains emptied;
    struct book_tree jobs;
    TAILQ_HEAD(, jobs_job) active; /* not ended, or runs may be left */
    struct lifetime_tree workers;
    size_t worker_count;
    uint64_t runs_over; /* runs of tasks that can't run any more, ever */
    int64_t sick_ms;    /* when a worker last was found to fail all; 0: none */
    uint64_t tried;     /* units for which workers were looked at, ever */
    struct spot *spots; /* of the placement under way (jobs-place.c) */
    size_t spot_room;
    struct jobs_question question; /* none while its count is 0 */
    struct size_lines sizes;
    SLIST_HEAD(machine_list, machine) machines; /* that crashed lately */
    uint64_t row_mark;
    bool batch_open;
    bool batch_whole; /* nothing was dirty beside it */
    struct jobs_worker *order_worker;
    struct jobs_task *order_task;
    bool ordering;
};

RB_PROTOTYPE(book_tree, jobs_job, by_id, job_compare)
RB_PROTOTYPE(lifetime_tree, jobs_worker, by_id, worker_compare)

/* ---- jobs-scheduler.c */
void Scheduler_Touch(struct jobs_job *j);
struct jobs_job *Scheduler_FindJob(const struct jobs_scheduler *b,
                                   const char *id);
/* The unit with that task of a step, or NULL. */
struct jobs_unit *Scheduler_FindUnit(const struct jobs_job *j,
                                     uint32_t occurrence, uint32_t step,
                                     uint32_t index);
/* The task of that name, or NULL. */
struct jobs_task *Scheduler_FindTask(const struct jobs_scheduler *b,
                                     const char *name);
void Scheduler_TaskName(const struct jobs_task *t, char out[JOBS_TASK_SIZE]);
/* Makes the units of one occurrence; false when the job has too many open. */
bool Scheduler_AddOccurrence(struct jobs_job *j);
/* Drops the units of the first occurrences that are done. */
void Scheduler_DropDone(struct jobs_job *j);
/* When an occurrence is due, since 1970. */
int64_t Scheduler_DueMs(const struct jobs_job *j, uint32_t occurrence);
/* Notes for units that have none yet when they were due by our clock. */
void Scheduler_NoteDue(struct jobs_job *j, int64_t now_ms, int64_t wall_ms);
const struct jobs_step *Unit_Step(const struct jobs_unit *u);

/* ---- jobs-worker.c */
struct jobs_worker *Scheduler_FindWorker(const struct jobs_scheduler *b,
                                         const char *id);
struct jobs_worker *Scheduler_Worker(struct jobs_scheduler *b, const char *id,
                                     const char *agent);
/* Adds a need n times; n may be negative. */
void Need_Add(struct jobs_resources *to, const struct jobs_resources *need,
              int n);
/* What a task of the unit takes from its worker's room. */
struct jobs_resources Unit_Need(const struct jobs_unit *u);
void Worker_Take(struct jobs_worker *w, struct jobs_task *t);
/* Takes it off again, and nothing follows from that. */
void Worker_LetGo(struct jobs_scheduler *b, struct jobs_task *t);
void Worker_Free(struct jobs_scheduler *b, struct jobs_worker *w);
/* Lets the run of a unit end: its room counts as being freed. */
void Unit_Stop(struct jobs_scheduler *b, struct jobs_unit *u, const char *why);
/* As above, for another job to run in its place. */
void Unit_StopFor(struct jobs_scheduler *b, struct jobs_unit *u,
                  const char *why, const struct jobs_job *other);
/* As above, and it is not to run again. */
void Unit_Drop(struct jobs_scheduler *b, struct jobs_unit *u, const char *why);
/* The run of this task can't run any more. */
void Task_Gone(struct jobs_scheduler *b, struct jobs_task *t, const char *why,
               int64_t now_ms);
void Unit_Done(struct jobs_scheduler *b, struct jobs_unit *u, int64_t now_ms);
void Unit_Failed(struct jobs_scheduler *b, struct jobs_unit *u);
/* Ends the unit as failed, and drops all others of its job. */
void Unit_GiveUp(struct jobs_scheduler *b, struct jobs_unit *u);
/* The worker's lifetime is over: nothing runs there. */
void Worker_Lost(struct jobs_scheduler *b, struct jobs_worker *w,
                 const char *why, int64_t now_ms);
/* Ends the job when nothing is left to do. */
void Job_Settle(struct jobs_scheduler *b, struct jobs_job *j, int64_t now_ms);

/* ---- jobs-blame.c */
void Blame_Set(struct jobs_task *t, uint32_t blame);
/* True when a worker of that agent has crashed lately. */
bool Blame_HasCrashed(const struct jobs_scheduler *b, const char *agent,
                      int64_t now_ms);
/* True when the last crash under the unit was at that agent. */
bool Blame_CrashedAt(const struct jobs_unit *u, const char *agent);
void Blame_Expire(struct jobs_scheduler *b, int64_t now_ms);
void Blame_Begin(struct jobs_task *t);
void Blame_End(struct jobs_task *t);
void Blame_SeenAtWork(struct jobs_task *t, int64_t now_ms);

/* ---- jobs-domain.c */
/* True when nothing may start on a worker, as its failure domain is emptied.
 */
bool Domain_IsEmptied(const struct jobs_scheduler *b,
                      const struct jobs_worker *w);
/* Tells once of each job that a unit of it waits for nothing but workers in
 * emptied domains. */
void Domain_NoteWaiting(struct jobs_scheduler *b, struct jobs_unit *u,
                        int64_t now_ms);

/* ---- jobs-pace.c */
/* Takes the progress that a report shows. */
void Pace_Take(struct jobs_scheduler *b, struct jobs_worker *w,
               struct jobs_task *t, int64_t percent, int64_t clock_ms,
               int64_t now_ms);
/* What a run of the unit takes, as far as is known. */
int64_t Pace_WorkMs(const struct jobs_unit *u);
/* How long the run of a task still takes. */
int64_t Pace_LeftMs(const struct jobs_task *t, int64_t now_ms);
/* True when a unit's run is better stopped and started elsewhere. */
bool Pace_Crawls(const struct jobs_unit *u, int64_t now_ms);

/* ---- jobs-share.c */
void Share_Take(struct jobs_scheduler *b, struct jobs_worker *w,
                int64_t now_ms);
bool Share_IsDue(const struct jobs_task *t, int64_t now_ms);

/* ---- jobs-objective.c */
void Objective_Set(const struct jobs_scheduler *b, struct jobs_job *j);
int64_t Objective_SlackMs(const struct jobs_unit *u, int64_t now_ms);
int64_t Objective_NextMs(const struct jobs_unit *u, int64_t now_ms);

/* ---- jobs-advice.c */
bool Advice_Allows(const struct jobs_unit *u, const struct jobs_worker *w,
                   int64_t now_ms);
const char *Advice_Ticket(const struct jobs_unit *u,
                          const struct jobs_worker *w);
void Advice_Drop(const struct jobs_unit *u, const struct jobs_worker *w);
void Advice_Forget(struct jobs_job *j, uint32_t before);
bool Advice_Collect(struct jobs_scheduler *b, const struct jobs_unit *u,
                    int64_t now_ms, struct jobs_question *q);

/* ---- jobs-evict.c */
/* Core milliseconds lost when enough of lower rank on a worker is stopped for
 * n tasks of the unit to fit; -1: not even all of it is enough. */
double Evict_Cost(const struct jobs_worker *w, const struct jobs_unit *u,
                  uint32_t n, int64_t now_ms);
/* What making room for the unit may cost. */
double Evict_Worth(const struct jobs_unit *u, int64_t now_ms);
void Evict_Apply(struct jobs_scheduler *b, struct jobs_worker *w,
                 const struct jobs_unit *u, uint32_t n, int64_t now_ms);

/* ---- jobs-rank.c */
#define RANK_COVERED (-1) /* within its organisation's guarantee */
/* Sets the rank of all active jobs. */
void Rank_All(struct jobs_scheduler *b);

/* ---- jobs-event.c */
/* Each returns the event, to be completed, never NULL. */
struct jobs_event *Event_Job(struct jobs_scheduler *b,
                             enum jobs_event_kind kind,
                             const struct jobs_job *j, const char *reason);
struct jobs_event *Event_Task(struct jobs_scheduler *b,
                              enum jobs_event_kind kind,
                              const struct jobs_task *t, const char *reason);
struct jobs_event *Event_Worker(struct jobs_scheduler *b,
                                const struct jobs_worker *w,
                                const char *reason);

/* ---- jobs-row.c */
void Row_Encode(const struct jobs_job *j, struct buf *out);
/* What a job's row takes at most, and what a unit adds to it by starting. */
size_t Row_Bytes(struct jobs_scheduler *b, const struct jobs_job *j);
size_t Row_StartBytes(const struct jobs_unit *u);
int Row_Decode(struct jobs_scheduler *b, struct jobs_job *j, const char *text,
               size_t len);

/* ---- jobs-place.c */
enum place_result {
    PLACE_NOWHERE,
    PLACE_GIVEN, /* it can start */
    PLACE_SOON,  /* room is being freed, and kept for it */
    PLACE_HELD   /* room will come; kept for it if it may be */
};
/* Chooses workers for a waiting unit. may_hold: room that comes free at a
 * time that nobody knows may be kept for it. */
enum place_result Place_Unit(struct jobs_scheduler *b, struct jobs_unit *u,
                             int64_t now_ms, bool may_hold);
/* True when a worker may run the step, wherever it stands. */
bool Place_IsFit(const struct jobs_scheduler *b, const struct jobs_worker *w,
                 const struct jobs_unit *u, int64_t now_ms);
/* True when a worker may run the step, as far as no adviser is asked. */
bool Place_MayRun(const struct jobs_scheduler *b, const struct jobs_worker *w,
                  const struct jobs_unit *u, int64_t now_ms);
/* True when it has room for a task of the unit now. */
bool Place_HasRoom(const struct jobs_worker *w, const struct jobs_unit *u);
/* True when the unit would find room now, its own run left aside. */
bool Place_CouldMove(struct jobs_scheduler *b, struct jobs_unit *u,
                     int64_t now_ms);

#endif
