/* The structures of the scheduler, shared by the files of this package. */
#ifndef JOBS_SCHEDULER_H
#define JOBS_SCHEDULER_H

#include "jobs-fair.h"
#include "jobs-json.h"
#include "jobs-size.h"
#include "jobs-speed.h"
#include "jobs-timeline.h"

/* The platform allows a worker's clock to be slow by this factor, so a lease
 * of n ms may last n * LEASE_STRETCH by the owner's clock. */
#define LEASE_STRETCH 1.03

enum unit_state { UNIT_WAITING, UNIT_ASSIGNED, UNIT_DONE, UNIT_FAILED };

struct jobs_unit;
struct jobs_worker;
struct crashed_machine;
struct place_candidate;

/* One task of a unit, and its present run. */
struct jobs_task {
    struct jobs_unit *unit;
    uint32_t index;
    struct jobs_worker *worker; /* NULL: no run of it can exist anywhere */
    bool confirmed;             /* a report has listed the run as running */
    int64_t listed_clock_ms; /* worker's clock when the run was last listed */
    /* When the run was assigned; estimated for a run that is inherited. */
    int64_t assigned_ms;
    bool inherited;     /* taken over from another scheduler or incarnation */
    int64_t ordered_ms; /* when an order was last sent; 0: not yet */
    int64_t start_ordered_ms; /* when its start was last sent; 0: not yet */
    bool remote;              /* away from its data or the rest of its gang */
    int64_t percent;          /* of its work, as last reported; -1: not yet */
    int64_t progressed_ms;    /* when the percent last changed */
    /* Start of the interval in which the pace is measured, by the worker's
     * clock. */
    int64_t pace_from_percent;
    int64_t pace_from_clock_ms;
    double pace; /* percent per millisecond; 0: not known yet */
    /* Start of the interval in which its whole run is measured, by the
     * worker's clock; 0: it has not progressed yet. */
    int64_t run_from_percent;
    int64_t run_from_clock_ms;
    double log_length;       /* logarithm of its run's length on its worker */
    double log_in_step;      /* the part of it in the sum of its step */
    bool is_in_step;         /* its run counts in the sum of its step */
    int64_t tail_latency_ms; /* last reported tail latency of a service, ms */
    int64_t sent_share;      /* percent, as last ordered; -1: not yet */
    int64_t share_sent_ms;
    uint32_t blame;       /* for crashes of workers (jobs-blame.c) */
    uint32_t crashes;     /* workers that crashed with a run of it */
    uint64_t crashed_run; /* the last of these runs; 0: none */
    bool on_probation;    /* no other run may start on its worker */
    bool proven;          /* its run has raised the trust in its worker */
    TAILQ_ENTRY(jobs_task) on_worker;
};

/* What starts and ends together: the tasks of a gang, or a single task. */
struct jobs_unit {
    struct jobs_job *job;
    uint32_t occurrence;
    uint32_t step;
    enum unit_state state;
    uint64_t run; /* number of the present or last run; 0: none yet */
    /* Last run that was stopped because its worker drains; 0: none. */
    uint64_t drained_run;
    uint32_t failures;
    bool failure_counted; /* failures includes the present run */
    bool stopping;        /* its run has to end */
    bool dropped;         /* it must not run again */
    bool unwritten;       /* its present run is not stored yet */
    bool begun;           /* a task of it has been reported as running */
    bool suspect;         /* a task of it may have crashed a worker */
    /* It should not wait any more for workers that are trusted. */
    bool may_use_quarantined;
    int64_t ready_ms; /* since when it could start; 0: not yet */
    int64_t not_before_ms;
    int64_t due_ms;  /* of its occurrence, by the owner's clock; 0: none */
    int64_t work_ms; /* measured length at speed 1; 0: not known */
    /* How long its run still takes, as computed at a time of the owner's
     * clock. */
    int64_t remaining_ms;
    int64_t remaining_at_ms;
    int64_t end_ms; /* predicted end of its run; valid in pass end_pass */
    uint64_t end_pass;
    int64_t last_move_ms; /* when it was last moved off a slow worker */
    uint32_t moves;
    uint32_t evictions;   /* of its runs; a new owner starts at 0 */
    bool has_evicted;     /* runs were stopped for it since it last ran */
    double evicted_price; /* of these evictions, in core milliseconds */
    uint32_t declined;    /* bit set of reasons that were reported */
    /* Scratch space of the plan with that mark (jobs-preempt-plan.c). */
    uint64_t plan_mark;
    double plan_order; /* by which victims are compared; -1: is none */
    bool is_victim;
    char checkpoint[JOBS_TEXT_SIZE];
    char avoid_worker[JOBS_TEXT_SIZE]; /* where it last failed or hung */
    /* Hash of the agent whose worker last crashed with it; 0: none, or a gang
     * of several tasks. */
    uint64_t crashed_agent_hash;
    struct jobs_task *tasks;
    uint32_t task_count;
    TAILQ_ENTRY(jobs_unit) entry;
};
TAILQ_HEAD(unit_list, jobs_unit);

struct jobs_job {
    struct jobs_spec spec;
    /* From the newest configuration that has its queue, otherwise as at its
     * acceptance. */
    struct jobs_qos qos;
    int rank; /* lower ranks are served first and may evict higher ones */
    enum jobs_state state;
    bool cancelled;
    bool held; /* its progress can't be read, so nothing of it may start */
    bool domain_wait_reported; /* that only emptied domains could run it */
    bool share_wait_reported;  /* that others precede it by their shares */
    bool spec_corrupt;         /* the stored row of its spec is corrupt */
    bool dirty;
    bool in_batch;
    uint32_t first_occurrence; /* earlier ones are done and have no units */
    uint32_t occurrences;      /* number of the next one without units */
    size_t row_bytes;          /* bound on its row's length, while planning */
    int64_t arrived_ms;
    int64_t reserved_start_ms; /* of a reservation, last reported; 0: none */
    int64_t ended_ms;          /* 0: has not ended */
    int64_t step_work_ms[JOBS_STEPS_MAX]; /* measured; 0: not known */
    /* Runs of each step whose length at speed 1 was measured, and the sum of
     * its logarithms. */
    double step_runs[JOBS_STEPS_MAX];
    double step_log_sum[JOBS_STEPS_MAX];
    /* Predicted from its caller's estimate and other runs of its queue. */
    int64_t predicted_ms[JOBS_STEPS_MAX];
    /* The first worker where a run of it failed; "": none. */
    char first_failed_worker[JOBS_TEXT_SIZE];
    bool has_succeeded;     /* one of its runs has ended as done */
    uint64_t learned_steps; /* bit set of steps added to the predictions */
    int64_t objective_ms;   /* time from its arrival to its end */
    int64_t remaining_ms[JOBS_STEPS_MAX]; /* from each step to the job's end */
    struct unit_list units;
    /* The units again, ordered by occurrence, step and index. */
    struct jobs_unit **unit_at;
    size_t unit_count;
    size_t occurrence_units; /* units of each occurrence */
    TAILQ_HEAD(, advice) advice;
    RB_ENTRY(jobs_job) by_id;
    TAILQ_ENTRY(jobs_job) active;
};

/* A run that a worker reports and that the scheduler has no use for. */
struct orphan_run {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    TAILQ_ENTRY(orphan_run) entry;
};

/* An adviser's answer on a worker for a step. */
struct advice {
    uint32_t occurrence;
    uint32_t step;
    char worker[JOBS_TEXT_SIZE];
    char ticket[JOBS_TEXT_SIZE];
    bool approved;
    int64_t until_ms; /* end of the ticket's validity */
    TAILQ_ENTRY(advice) entry;
};

/* One incarnation of a worker. */
struct jobs_worker {
    char id[JOBS_TEXT_SIZE];
    char agent[NAME_SIZE];
    char service[NAME_SIZE];
    char rack[JOBS_TEXT_SIZE];
    char domain[NAME_SIZE]; /* "": not known */
    char labels[4][JOBS_TEXT_SIZE];
    uint32_t label_count;
    struct jobs_resources capacity;
    struct jobs_resources used;     /* by runs that may be there */
    struct jobs_resources freeing;  /* the part of it that is being stopped */
    struct jobs_resources reserved; /* for waiting units, in this plan */
    struct timeline_worker timeline;
    int64_t share;    /* of its best-effort tasks, percent */
    int64_t share_ms; /* when the share last changed */
    bool reported;
    bool term_confirmed; /* it has reported under this owner's term */
    bool draining;
    /* End of the minimum time for which a draining worker still serves; 0: not
     * known. */
    int64_t drain_end_ms;
    int64_t report_ms;
    int64_t clock_ms;
    /* By the owner's clock: without a further lease, runs there have ended by
     * then. */
    int64_t lease_end_ms;
    int64_t full_until_ms;       /* it refused a start, as it had no room */
    int64_t quarantine_until_ms; /* it fails what it starts */
    int64_t quarantine_ms;       /* length of the last one; 0: none yet */
    uint32_t runs_at_a_time; /* units, after a quarantine; 0: all that fit */
    int64_t last_success_ms; /* when a run last ended as done; 0: not yet */
    int64_t slow_until_ms;   /* runs take far longer there than elsewhere */
    struct machine_speed *machine; /* NULL: it counts as of speed 1 */
    int64_t overrun_ms; /* last run far over its estimate; 0: none */
    char overrun_job[JOBS_ID_SIZE];
    uint32_t failures_in_row;
    uint32_t on_probation;  /* runs beside which no other may start yet */
    uint64_t ends_taken;    /* number of the last end that was processed */
    uint64_t ends_in_batch; /* last end whose effect is in the open batch */
    uint64_t ends_stored;   /* last end whose effect is stored */
    uint64_t row_mark;      /* last row that counted the worker's names */
    uint64_t plan_mark;     /* of the plan with plan_room */
    size_t plan_room;
    TAILQ_HEAD(, jobs_task) tasks;
    TAILQ_HEAD(, orphan_run) orphans;
    RB_ENTRY(jobs_worker) by_id;
    RB_ENTRY(jobs_worker) by_agent;
};

/* Which room a unit may use, beside what is free. */
struct place_scope {
    int64_t wait_ms;  /* of runs that end within this time; 0: none */
    bool remote;      /* far from its data, or spread over racks */
    bool unpreferred; /* on workers that it should avoid */
    bool impatient;   /* it has waited for long while others are idle */
    bool evicts;      /* of runs of higher rank */
    /* Length of its runs, on which the use of reserved room depends; 0: none
     * is reserved with a start time. */
    int64_t length_ms;
};

/* A unit that found no room in this pass. */
struct failed_unit {
    const struct jobs_unit *unit;
    struct place_scope scope;
    bool is_pending; /* room will become free, but was not reserved */
};

#define FAILED_UNITS_MAX 64

RB_HEAD(jobs_job_tree, jobs_job);
RB_HEAD(jobs_worker_tree, jobs_worker);
RB_HEAD(jobs_agent_tree, jobs_worker);

struct jobs_scheduler {
    struct jobs_limits limits;
    TAILQ_HEAD(, jobs_event) events;
    size_t event_count;
    int64_t events_dropped;
    const struct jobs_config *config;
    struct jobs_domains emptied;
    struct jobs_job_tree jobs;
    TAILQ_HEAD(, jobs_job) active; /* not ended, or with runs left */
    struct jobs_worker_tree workers;
    struct jobs_agent_tree by_agent; /* the same workers */
    size_t worker_count;
    uint64_t runs_over;     /* runs of tasks that have ended, in total */
    int64_t quarantined_ms; /* when a worker was last quarantined; 0: never */
    uint64_t units_tried;   /* attempts to place a unit, in total */
    uint64_t plan_mark;     /* of the last plan (jobs-preempt-plan.c) */
    uint64_t evictions;     /* decisions to evict runs, in total */
    uint64_t evictions_declined; /* units and reasons, in total */
    /* Scratch space of the placement under way (jobs-place.c). */
    struct place_candidate *candidates;
    size_t candidate_cap;
    struct timeline timeline; /* of the pass under way */
    /* Units that found no room in the pass under way (jobs-failed.c). */
    struct failed_unit failed[FAILED_UNITS_MAX];
    size_t failed_count;
    uint64_t failed_stops; /* stops when the first one was remembered */
    uint64_t stops;        /* runs that were stopped, in total */
    bool has_unpreferred;  /* some worker is slow, in the pass under way */
    bool
        has_long_quarantine; /* some worker is in quarantine for long, in it */
    /* Tests place units that are covered by failed ones too, and count those
     * for which that changes something. */
    bool checks_failed;
    uint64_t failed_wrongly;
    struct jobs_question question; /* none while its count is 0 */
    struct size_lines sizes;
    struct machine_speeds speeds;
    struct fair_organisations organisations;
    int64_t fair_updated_ms; /* when their shares were averaged */
    uint64_t fair_moves; /* units that were overtaken by shares, in total */
    SLIST_HEAD(crashed_machine_list, crashed_machine) crashed_machines;
    uint64_t row_mark;
    bool batch_open;
    bool batch_whole; /* the open batch has every dirty row */
    struct jobs_worker *order_worker;
    struct jobs_task *order_task;
    bool ordering;
};

RB_PROTOTYPE(jobs_job_tree, jobs_job, by_id, job_compare)
RB_PROTOTYPE(jobs_worker_tree, jobs_worker, by_id, worker_compare)
RB_PROTOTYPE(jobs_agent_tree, jobs_worker, by_agent, agent_compare)

/* ---- jobs-scheduler.c */
void Scheduler_MarkDirty(struct jobs_job *j);
struct jobs_job *Scheduler_FindJob(const struct jobs_scheduler *sched,
                                   const char *id);
/* Returns the unit with that task of a step, or NULL. */
struct jobs_unit *Scheduler_FindUnit(const struct jobs_job *j,
                                     uint32_t occurrence, uint32_t step,
                                     uint32_t index);
/* Returns the task with that name, or NULL. */
struct jobs_task *Scheduler_FindTask(const struct jobs_scheduler *sched,
                                     const char *name);
void Scheduler_TaskName(const struct jobs_task *t, char out[JOBS_TASK_SIZE]);
/* Creates the units of the next occurrence; false when the job has too many
 * open units. */
bool Scheduler_AddOccurrence(struct jobs_job *j);
/* Frees the units of the first occurrences, as far as they are done. */
void Scheduler_DropDone(struct jobs_job *j);
/* Returns when an occurrence is due, in milliseconds since 1970. */
int64_t Scheduler_DueMs(const struct jobs_job *j, uint32_t occurrence);
/* Sets the due time, by the owner's clock, of units that have none yet. */
void Scheduler_SetDue(struct jobs_job *j, int64_t now_ms, int64_t wall_ms);
const struct jobs_step *Unit_Step(const struct jobs_unit *u);

/* ---- jobs-worker.c */
struct jobs_worker *Scheduler_FindWorker(const struct jobs_scheduler *sched,
                                         const char *id);
struct jobs_worker *Scheduler_GetWorker(struct jobs_scheduler *sched,
                                        const char *id, const char *agent);
/* Sets the agent of a worker. */
void Worker_SetAgent(struct jobs_scheduler *sched, struct jobs_worker *w,
                     const char *agent);
/* Returns the incarnation after w (NULL: the first one) that has the agent of
 * `self` and is not `self`; NULL when there is none. */
struct jobs_worker *Worker_NextOfAgent(struct jobs_scheduler *sched,
                                       const struct jobs_worker *self,
                                       struct jobs_worker *w);
/* Adds need n times; n may be negative. */
void Resources_Add(struct jobs_resources *to,
                   const struct jobs_resources *need, int n);
/* Returns the resources that a task of the unit takes up on its worker. */
struct jobs_resources Unit_Resources(const struct jobs_unit *u);
void Worker_AddTask(struct jobs_worker *w, struct jobs_task *t);
/* Removes a task from its worker, and changes no other state of its unit. */
void Worker_RemoveTask(struct jobs_scheduler *sched, struct jobs_task *t);
void Worker_Free(struct jobs_scheduler *sched, struct jobs_worker *w);
/* Sets the machine of a worker, by its agent and its first label. */
void Worker_SetMachine(struct jobs_scheduler *sched, struct jobs_worker *w);
/* Stops the run of a unit; its resources count as being freed until it has
 * ended. */
void Unit_Stop(struct jobs_scheduler *sched, struct jobs_unit *u,
               const char *why);
/* Stops the run of a unit. preemptor: the job that will run in its place, or
 * NULL. */
void Unit_StopFor(struct jobs_scheduler *sched, struct jobs_unit *u,
                  const char *why, const struct jobs_job *preemptor);
/* Stops the run of a unit, which must not run again. */
void Unit_Drop(struct jobs_scheduler *sched, struct jobs_unit *u,
               const char *why);
/* Handles a run of a task that has ended, or can no longer start. */
void Task_RunOver(struct jobs_scheduler *sched, struct jobs_task *t,
                  const char *why, int64_t now_ms);
void Unit_Done(struct jobs_scheduler *sched, struct jobs_unit *u,
               int64_t now_ms);
void Unit_Failed(struct jobs_scheduler *sched, struct jobs_unit *u);
/* Ends the unit as failed, and drops all other units of its job. */
void Unit_GiveUp(struct jobs_scheduler *sched, struct jobs_unit *u);
/* Ends all runs of a worker whose incarnation is over. */
void Worker_Lost(struct jobs_scheduler *sched, struct jobs_worker *w,
                 const char *why, int64_t now_ms);
/* Updates the state of a job, and ends it when nothing is left to do. */
void Job_UpdateState(struct jobs_scheduler *sched, struct jobs_job *j,
                     int64_t now_ms);

/* ---- jobs-blame.c */
void Blame_Set(struct jobs_task *t, uint32_t blame);
/* True when a worker of that agent has crashed recently. */
bool Blame_HasCrashed(const struct jobs_scheduler *sched, const char *agent,
                      int64_t now_ms);
/* True when the last crash under the unit was on that agent's machine. */
bool Blame_CrashedAt(const struct jobs_unit *u, const char *agent);
void Blame_Expire(struct jobs_scheduler *sched, int64_t now_ms);
void Blame_BeginProbation(struct jobs_task *t);
void Blame_EndProbation(struct jobs_task *t);
void Blame_RunListed(struct jobs_task *t, int64_t now_ms);

/* ---- jobs-trust.c */
void Trust_RunEnded(struct jobs_scheduler *sched, struct jobs_worker *w,
                    struct jobs_task *t, enum jobs_end how, int64_t now_ms);
void Trust_RunListed(struct jobs_scheduler *sched, struct jobs_worker *w,
                     struct jobs_task *t, int64_t now_ms);
/* True while a worker is in quarantine for longer than units wait that need
 * it. */
bool Trust_IsInLongQuarantine(const struct jobs_worker *w, int64_t now_ms);
/* True when a quarantine keeps the unit off the worker. */
bool Trust_KeepsOff(const struct jobs_worker *w, const struct jobs_unit *u,
                    int64_t now_ms);
bool Trust_IsRegaining(const struct jobs_scheduler *sched,
                       const struct jobs_worker *w, int64_t now_ms);
/* True while less than half of a service's capacity is in use. */
bool Trust_IsHalfIdle(const struct jobs_scheduler *sched, const char *service);
bool Trust_MayStart(const struct jobs_scheduler *sched,
                    const struct jobs_worker *w, int64_t now_ms);

/* ---- jobs-domain.c */
/* True when nothing may start on a worker because its failure domain is
 * emptied. */
bool Domain_IsEmptied(const struct jobs_scheduler *sched,
                      const struct jobs_worker *w);
/* Emits an event, once for each job, when only workers in emptied domains
 * could run a unit. */
void Domain_ReportWaiting(struct jobs_scheduler *sched, struct jobs_unit *u,
                          int64_t now_ms);

/* ---- jobs-drain.c */
void Drain_Reported(struct jobs_worker *w, const struct jobs_report *r,
                    int64_t now_ms);
void Drain_StopUnits(struct jobs_scheduler *sched, int64_t now_ms);
bool Drain_HasStopped(const struct jobs_unit *u);

/* ---- jobs-pace.c */
/* Updates the pace of a run with the progress that a report shows. */
void Pace_Update(struct jobs_scheduler *sched, struct jobs_worker *w,
                 struct jobs_task *t, int64_t percent, int64_t clock_ms,
                 int64_t now_ms);
/* Returns the length of a run of the unit at speed 1, as measured or
 * predicted. */
int64_t Pace_WorkMs(const struct jobs_unit *u);
/* Returns the expected length of a run of the unit on a worker, without the
 * slow-down away from its data. */
int64_t Pace_LengthOn(const struct jobs_unit *u, const struct jobs_worker *w);
/* Compares a run that ended as done with the others of its step, and updates
 * the estimated speed of its machine. */
void Pace_Learn(struct jobs_scheduler *sched, const struct jobs_task *t);
/* Returns how long the present run of a task still takes. */
int64_t Pace_RemainingMs(const struct jobs_task *t, int64_t now_ms);
/* True when a unit's run should be stopped and started elsewhere. */
bool Pace_ShouldMove(const struct jobs_unit *u, int64_t now_ms);

/* ---- jobs-share.c */
void Share_Update(struct jobs_scheduler *sched, struct jobs_worker *w,
                  int64_t now_ms);
bool Share_IsDue(const struct jobs_task *t, int64_t now_ms);

/* ---- jobs-objective.c */
void Objective_Set(const struct jobs_scheduler *sched, struct jobs_job *j);
int64_t Objective_SlackMs(const struct jobs_unit *u, int64_t now_ms);
bool Objective_IsUseless(const struct jobs_unit *u, int64_t now_ms);
int64_t Objective_DeadlineMs(const struct jobs_unit *u, int64_t now_ms);

/* ---- jobs-advice.c */
bool Advice_Allows(const struct jobs_unit *u, const struct jobs_worker *w,
                   int64_t now_ms);
const char *Advice_Ticket(const struct jobs_unit *u,
                          const struct jobs_worker *w);
void Advice_ExpireTicket(const struct jobs_unit *u,
                         const struct jobs_worker *w);
void Advice_Forget(struct jobs_job *j, uint32_t before);
bool Advice_ComposeQuestion(struct jobs_scheduler *sched,
                            const struct jobs_unit *u, int64_t now_ms,
                            struct jobs_question *q);

/* ---- jobs-evict.c */
/* Returns the core milliseconds that are lost when runs of lower priority on a
 * worker are stopped until n tasks of the unit fit; -1 when stopping all of
 * them is not enough. */
double Evict_Cost(const struct jobs_worker *w, const struct jobs_unit *u,
                  uint32_t n, int64_t now_ms);
/* Returns the cores of a unit; an accelerator counts as eight. */
double Evict_Cores(const struct jobs_unit *u);
/* Returns the most that evicting runs for the unit may cost. */
double Evict_Budget(const struct jobs_unit *u, int64_t now_ms);
void Evict_Apply(struct jobs_scheduler *sched, struct jobs_worker *w,
                 const struct jobs_unit *u, uint32_t n, int64_t now_ms);

/* ---- jobs-strand.c */
/* Returns how much more of a worker's free resources can't be used, because
 * another one has run out first, once a task runs there; in eighths of a
 * resource, below 0 when less is. */
int64_t Strand_Added(const struct jobs_worker *w,
                     const struct jobs_resources *free,
                     const struct jobs_resources *need);

/* ---- jobs-rank.c */
#define RANK_GUARANTEED (-1) /* within its organisation's guarantee */
/* Sets the ranks of all active jobs. */
void Rank_All(struct jobs_scheduler *sched);

/* ---- jobs-event.c */
/* Each returns the new event, for the caller to complete; never NULL. */
struct jobs_event *Event_Job(struct jobs_scheduler *sched,
                             enum jobs_event_kind kind,
                             const struct jobs_job *j, const char *reason);
struct jobs_event *Event_Task(struct jobs_scheduler *sched,
                              enum jobs_event_kind kind,
                              const struct jobs_task *t, const char *reason);
struct jobs_event *Event_Worker(struct jobs_scheduler *sched,
                                const struct jobs_worker *w,
                                const char *reason);
struct jobs_event *Event_Speed(struct jobs_scheduler *sched,
                               const struct jobs_worker *w,
                               const char *reason);

/* ---- jobs-row.c */
void Row_Encode(const struct jobs_job *j, struct buf *out);
/* Row_Bytes returns a bound on the length of a job's row, and Row_StartBytes
 * how much a unit adds to it by starting. */
size_t Row_Bytes(struct jobs_scheduler *sched, const struct jobs_job *j);
size_t Row_StartBytes(const struct jobs_unit *u);
int Row_Decode(struct jobs_scheduler *sched, struct jobs_job *j,
               const char *text, size_t len);

/* ---- jobs-failed.c */
/* Forgets the units of the previous pass. */
void Failed_BeginPass(struct jobs_scheduler *sched, int64_t now_ms);
/* Remembers a unit that found no room. is_pending: room will become free, but
 * was not reserved. */
void Failed_Add(struct jobs_scheduler *sched, const struct jobs_unit *u,
                int64_t now_ms, bool is_pending);
/* True when placing the unit in this pass would certainly change nothing.
 * may_reserve: as for Place_Unit(). */
bool Failed_Covers(struct jobs_scheduler *sched, const struct jobs_unit *u,
                   int64_t now_ms, bool may_reserve);

/* ---- jobs-place.c */
enum place_result {
    PLACE_NONE,
    PLACE_ASSIGNED, /* the unit can be started */
    PLACE_FREEING,  /* room is being freed, and is reserved for the unit */
    PLACE_PENDING   /* room will become free, and is reserved if allowed */
};
/* Chooses workers for a waiting unit. may_reserve: room that becomes free at
 * an unknown time may be reserved for it. */
enum place_result Place_Unit(struct jobs_scheduler *sched, struct jobs_unit *u,
                             int64_t now_ms, bool may_reserve);
/* Reserves room for a unit that starts at its due time; false when none is
 * expected. */
bool Place_Prepare(struct jobs_scheduler *sched, struct jobs_unit *u,
                   int64_t now_ms);
/* Returns which room a unit may use, beside what is free. */
struct place_scope Place_Scope(const struct jobs_scheduler *sched,
                               const struct jobs_unit *u, int64_t now_ms);
/* True for a worker that is slow for all tasks, or for best-effort tasks. */
bool Place_IsSlow(const struct jobs_worker *w, int64_t now_ms,
                  bool best_effort);
/* True when a worker may run the step, whatever its failure domain. */
bool Place_IsFit(const struct jobs_scheduler *sched,
                 const struct jobs_worker *w, const struct jobs_unit *u,
                 int64_t now_ms);
/* True when a worker may run the step, before any adviser is asked. */
bool Place_MayRun(const struct jobs_scheduler *sched,
                  const struct jobs_worker *w, const struct jobs_unit *u,
                  int64_t now_ms);
/* Returns how long a unit can wait for runs to end by themselves. */
int64_t Place_MaxWaitMs(const struct jobs_unit *u, int64_t now_ms);
/* True when a run counts as room that becomes free within a time. whole_unit:
 * a member of a gang ends with the last member. */
bool Place_IsEnding(const struct jobs_task *t, int64_t now_ms,
                    int64_t while_ms, bool whole_unit);
/* True when the worker has free resources for a task of the unit now. */
bool Place_HasRoom(const struct jobs_worker *w, const struct jobs_unit *u,
                   int64_t now_ms);
/* True when there are free resources elsewhere for the unit to move to now. */
bool Place_CouldMove(struct jobs_scheduler *sched, struct jobs_unit *u,
                     int64_t now_ms);

#endif
