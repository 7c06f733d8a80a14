#include "jobs-scheduler.h"

#include <string.h>

/* A pace is measured over so many percent, as whole ones are told, and over no
 * longer than this. */
#define MEASURE_PERCENT 5
#define MEASURE_MAX_MS 1500
/* A run that takes so many times what it took before, or what others of its
 * step take, is on a slow worker. Runs of a step differ by up to a half, slow
 * workers work 4 times as long or more; 2.5 lies between. Estimates of callers
 * are off by as much at times, so against them it takes two different jobs
 * within DOUBT_MS. */
#define SLOW_FACTOR 2.5
#define OVERRUN_WINDOW_MS 4000
/* A worker is left alone for so long after it was last seen slow. */
#define SLOW_MS 1500
/* A run without any progress for this hangs. A run that resumes from a
 * checkpoint shows none for 600 ms. */
#define HANG_MS 1600
/* A unit leaves slow workers so often, and not more often than this. */
#define MOVES_MAX 3
#define MOVE_PAUSE_MS 2500

/* What is known of a run's length beside its caller's estimate: from this unit
 * on whichever worker, or from others of its step; 0: nothing. */
static int64_t
measured_ms(const struct jobs_unit *u)
{
    return u->work_ms != 0 ? u->work_ms : u->job->step_work_ms[u->step];
}

/* Marks a worker as slow. */
static void
mark_slow(struct jobs_scheduler *sched, struct jobs_worker *w, double times,
          int64_t now_ms)
{
    if (w->slow_until_ms < now_ms) {
        Event_Worker(sched, w, "slow")->number = (int64_t)(100 * times);
    }
    w->slow_until_ms = now_ms + SLOW_MS;
}

/* True when a run far over its estimate is the second of its kind on the
 * worker: one may be a wrong estimate, two of different jobs are not. */
static bool
is_second_overrun(struct jobs_worker *w, const struct jobs_unit *u,
                  int64_t now_ms)
{
    bool second = w->overrun_ms != 0 &&
                  now_ms - w->overrun_ms < OVERRUN_WINDOW_MS &&
                  strcmp(w->overrun_job, u->job->spec.id) != 0;

    w->overrun_ms = now_ms;
    Str_Copy(w->overrun_job, sizeof(w->overrun_job), u->job->spec.id);
    return second;
}

/* Takes a pace that was measured. */
static void
apply_pace(struct jobs_scheduler *sched, struct jobs_worker *w,
           struct jobs_task *t, double pace, int64_t now_ms)
{
    struct jobs_unit *u = t->unit;
    double factor = t->remote ? sched->limits.remote_factor : 1;
    double work_ms = 100 / pace / factor;
    double measured = (double)measured_ms(u);
    double estimate = (double)Unit_Step(u)->estimate_ms;

    t->pace = pace;
    if (measured > 0 && work_ms > SLOW_FACTOR * measured) {
        mark_slow(sched, w, work_ms / measured, now_ms);
        return;
    }
    if (measured <= 0 && estimate > 0 && work_ms > SLOW_FACTOR * estimate &&
        is_second_overrun(w, u, now_ms)) {
        mark_slow(sched, w, work_ms / estimate, now_ms);
        return;
    }
    u->work_ms = (int64_t)work_ms;
    u->job->step_work_ms[u->step] = u->work_ms;
}

/* Takes the progress of a run. Workers tell it linearly, so two reports give
 * what a run takes far better than its caller's estimate. It is measured from
 * the first progress on: before, the run is set up, resumes from a checkpoint
 * or waits for the rest of its gang. */
void
Pace_Update(struct jobs_scheduler *sched, struct jobs_worker *w,
            struct jobs_task *t, int64_t percent, int64_t clock_ms,
            int64_t now_ms)
{
    int64_t span = clock_ms - t->pace_from_clock_ms;
    int64_t progress = percent - t->pace_from_percent;

    if (!t->confirmed || percent != t->percent) {
        t->progressed_ms = now_ms;
    }
    if (Unit_Step(t->unit)->fills) {
        t->percent = percent; /* its pace is what the others leave it */
        return;
    }
    if (t->confirmed && t->percent >= 0 && percent > t->percent &&
        t->pace_from_clock_ms == 0) {
        t->pace_from_percent = percent;
        t->pace_from_clock_ms = clock_ms;
    }
    else if (t->pace_from_clock_ms != 0 && !Unit_Step(t->unit)->lasting &&
             percent < 100 &&
             (progress >= MEASURE_PERCENT || span >= MEASURE_MAX_MS)) {
        apply_pace(sched, w, t,
                   (double)(progress > 0 ? progress : 0.5) / (double)span,
                   now_ms);
        t->pace_from_percent = percent;
        t->pace_from_clock_ms = clock_ms;
    }
    t->percent = percent;
}

/* What a run takes: as seen, or as its queue's runs make of the estimate. */
int64_t
Pace_WorkMs(const struct jobs_unit *u)
{
    int64_t measured = measured_ms(u);

    if (measured != 0) {
        return measured;
    }
    return u->job->predicted_ms[u->step] != 0 ? u->job->predicted_ms[u->step]
                                              : Unit_Step(u)->estimate_ms;
}

/* How long a run still takes, from its pace where that is known. */
int64_t
Pace_RemainingMs(const struct jobs_task *t, int64_t now_ms)
{
    int64_t work = Pace_WorkMs(t->unit);
    int64_t left = work - (now_ms - t->assigned_ms);

    if (t->pace > 0) {
        return (int64_t)((double)(100 - t->percent) / t->pace) -
               (now_ms - t->progressed_ms);
    }
    return left > work / 5 ? left : work / 5;
}

/* True when a run has not moved for longer than a sound one ever stands.
 *
 * Failure: a member of a gang that is through with its share stands at 100
 * percent until the last one is. Symptom of taking that for a hang: the gang
 * is stopped just before it ends, up to three times. Such a member waits; the
 * one that it waits for is judged by its own progress. */
static bool
is_hung(const struct jobs_task *t, int64_t now_ms)
{
    int64_t idle_ms = now_ms - t->progressed_ms;
    int64_t step_ms = Pace_WorkMs(t->unit) / 25; /* four percent of it */

    return t->percent < 100 && t->confirmed && t->worker != NULL &&
           idle_ms > HANG_MS && idle_ms > step_ms &&
           now_ms - t->worker->report_ms < HANG_MS / 2;
}

/* True when the run is better started elsewhere: it hangs, or what is left of
 * it there takes longer than all of it on a sound worker, by half. */
bool
Pace_ShouldMove(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t restart_ms = Pace_WorkMs(u) + Pace_WorkMs(u) / 2 + 600;

    if (u->state != UNIT_ASSIGNED || u->stopping || Unit_Step(u)->lasting ||
        u->moves >= MOVES_MAX || now_ms - u->last_move_ms < MOVE_PAUSE_MS) {
        return false;
    }
    for (uint32_t i = 0; i < u->task_count; i++) {
        const struct jobs_task *t = &u->tasks[i];

        if (t->worker == NULL || !t->confirmed) {
            continue;
        }
        if (is_hung(t, now_ms) ||
            (t->worker->slow_until_ms > now_ms && t->pace > 0 &&
             Pace_RemainingMs(t, now_ms) > restart_ms)) {
            return true;
        }
    }
    return false;
}
