#include "jobs-scheduler.h"

#include <stdlib.h>

#define EVENTS_MAX 4096 /* events that have not been read */

static const char *const names[] = {[JOBS_JOB_TAKEN] = "job_taken",
                                    [JOBS_RUN_GIVEN] = "run_given",
                                    [JOBS_RUN_STOPPED] = "run_stopped",
                                    [JOBS_RUN_OVER] = "run_over",
                                    [JOBS_JOB_STATE] = "job_state",
                                    [JOBS_JOB_WAITS] = "job_waits",
                                    [JOBS_WORKER_OUT] = "worker_out",
                                    [JOBS_CRASH_CHARGED] = "crash_charged",
                                    [JOBS_TASK_GIVEN_UP] = "task_given_up",
                                    [JOBS_WORKER_SPEED] = "worker_speed",
                                    [JOBS_EVICTION] = "eviction",
                                    [JOBS_EVICTION_DECLINED] =
                                        "eviction_declined"};

/* Returns the name of an event kind in logs and counters. */
const char *
Jobs_EventName(enum jobs_event_kind kind)
{
    return names[kind];
}

/* Adds an event. When the queue is full, the event is only counted, and the
 * caller fills in a static one that nobody reads. */
static struct jobs_event *
add(struct jobs_scheduler *sched, enum jobs_event_kind kind,
    const char *reason)
{
    static struct jobs_event discarded;
    struct jobs_event *e;

    if (sched->event_count == EVENTS_MAX) {
        sched->events_dropped++;
        return &discarded;
    }
    e = Mem_Zero(1, sizeof(*e));
    e->kind = kind;
    e->reason = reason;
    TAILQ_INSERT_TAIL(&sched->events, e, entry);
    sched->event_count++;
    return e;
}

/* Adds an event of a job. */
struct jobs_event *
Event_Job(struct jobs_scheduler *sched, enum jobs_event_kind kind,
          const struct jobs_job *j, const char *reason)
{
    struct jobs_event *e = add(sched, kind, reason);

    Str_Copy(e->job, sizeof(e->job), j->spec.id);
    Str_Copy(e->organisation, sizeof(e->organisation), j->spec.organisation);
    e->objective_ms = j->objective_ms;
    e->periodic = j->spec.repetitions > 0;
    return e;
}

/* Adds an event of a task's present run. */
struct jobs_event *
Event_Task(struct jobs_scheduler *sched, enum jobs_event_kind kind,
           const struct jobs_task *t, const char *reason)
{
    struct jobs_event *e = Event_Job(sched, kind, t->unit->job, reason);
    const struct jobs_resources *need = &Unit_Step(t->unit)->need;

    Scheduler_TaskName(t, e->task);
    e->run = t->unit->run;
    e->weight = need->millicores + 8000 * need->accelerators;
    if (t->worker != NULL) {
        Str_Copy(e->worker, sizeof(e->worker), t->worker->id);
    }
    return e;
}

/* Adds an event of a worker. */
struct jobs_event *
Event_Worker(struct jobs_scheduler *sched, const struct jobs_worker *w,
             const char *reason)
{
    struct jobs_event *e = add(sched, JOBS_WORKER_OUT, reason);

    Str_Copy(e->worker, sizeof(e->worker), w->id);
    return e;
}

/* Adds an event about the speed of a worker's machine. */
struct jobs_event *
Event_Speed(struct jobs_scheduler *sched, const struct jobs_worker *w,
            const char *reason)
{
    struct jobs_event *e = add(sched, JOBS_WORKER_SPEED, reason);

    Str_Copy(e->worker, sizeof(e->worker), w->id);
    return e;
}

/* Removes and returns the oldest event. */
struct jobs_event *
Jobs_NextEvent(struct jobs_scheduler *sched)
{
    struct jobs_event *e = TAILQ_FIRST(&sched->events);

    if (e != NULL) {
        TAILQ_REMOVE(&sched->events, e, entry);
        sched->event_count--;
    }
    return e;
}
