#include "jobs-scheduler.h"

#include <math.h>
#include <string.h>

/* A pace is measured over at least this many percent, as workers report whole
 * percents, or over this much time. */
#define MEASURE_PERCENT 5
#define MEASURE_MAX_MS 1500
/* A run that takes this many times as long as the unit's earlier runs, or as
 * others of its step, is on a slow worker. Runs of a step differ by up to a
 * half, and slow workers take 4 times as long or more; 2.5 lies between.
 * Callers' estimates are sometimes off by as much, so where only an estimate
 * is known, a worker is slow once runs of two different jobs have exceeded
 * theirs by this factor within OVERRUN_WINDOW_MS. */
#define SLOW_FACTOR 2.5
#define OVERRUN_WINDOW_MS 4000
/* A worker is avoided for this long after it was last seen to be slow. */
#define SLOW_MS 1500
/* A run without progress for this long hangs. A run that resumes from a
 * checkpoint shows none for 600 ms. */
#define HANG_MS 1600
/* A unit is moved off slow workers at most this often, with this pause between
 * two moves. */
#define MOVES_MAX 3
#define MOVE_PAUSE_MS 2500

/* Returns the measured length of the unit's runs, or of other runs of its
 * step; 0 when there is none. */
static int64_t
measured_ms(const struct jobs_unit *u)
{
    return u->work_ms != 0 ? u->work_ms : u->job->step_work_ms[u->step];
}

/* Part of its work over which a run is measured as a whole before it counts in
 * its step: reports in whole percents are then off by 5% at most. */
#define RUN_PERCENT 20
/* Weight of a comparison with a prediction. Predictions are off by a factor of
 * about 2, runs of a step by 1.2, and weights go with the inverse squares. */
#define PREDICTION_WEIGHT 0.05
/* An operator is shown a machine's speed when the estimate has changed by this
 * logarithm, which is twice its usual error. */
#define SPEED_CHANGE 0.2

/* Returns the number of runs of a unit's step that were measured, without the
 * task's own, and sets the mean logarithm of their lengths at speed 1. */
static double
others_in_step(const struct jobs_task *t, double *mean)
{
    const struct jobs_job *j = t->unit->job;
    uint32_t step = t->unit->step;
    double n = j->step_runs[step] - (t->is_in_step ? 1 : 0);
    double sum = j->step_log_sum[step] - (t->is_in_step ? t->log_in_step : 0);

    *mean = n > 0 ? sum / n : 0;
    return n;
}

/* Adds a run to its step, or updates its part: the length of a whole run at
 * speed 1, from all progress so far. Runs away from their data are left out,
 * as their slow-down is known only roughly. */
static void
measure_run(struct jobs_scheduler *sched, const struct jobs_worker *w,
            struct jobs_task *t, int64_t percent, int64_t clock_ms)
{
    struct jobs_job *j = t->unit->job;
    uint32_t step = t->unit->step;
    int64_t progress = percent - t->run_from_percent;
    int64_t span = clock_ms - t->run_from_clock_ms;

    if (!sched->limits.parts.speeds || t->remote || progress < RUN_PERCENT) {
        return;
    }
    if (span <= 0) {
        sched->speeds.ignored++;
        return;
    }
    if (!t->is_in_step) {
        t->is_in_step = true;
        t->log_in_step = 0;
        j->step_runs[step]++;
    }
    t->log_length = log(100.0 * (double)span / (double)progress);
    j->step_log_sum[step] -= t->log_in_step;
    t->log_in_step = t->log_length - log(Speed_Factor(w->machine));
    j->step_log_sum[step] += t->log_in_step;
    j->step_work_ms[step] =
        (int64_t)exp(j->step_log_sum[step] / j->step_runs[step]);
}

/* Emits an event when the speed of a machine has become known, or changed. */
static void
report_speed(struct jobs_scheduler *sched, const struct jobs_worker *w)
{
    struct machine_speed *m = w->machine;
    int band = Speed_Band(m);

    if (Speed_Doubt(m) > 1 ||
        fabs(m->log_factor - m->reported_log) < SPEED_CHANGE) {
        return;
    }
    m->reported_log = m->log_factor;
    Event_Speed(sched, w,
                band < 0   ? "fast"
                : band > 0 ? "slow"
                           : "usual")
        ->number = (int64_t)(100 / m->factor);
}

/* Compares a run that has ended with the others of its step, and where there
 * are none with its prediction. All members of a gang end together, so only
 * the progress before that counts. */
void
Pace_Learn(struct jobs_scheduler *sched, const struct jobs_task *t)
{
    const struct jobs_unit *u = t->unit;
    int64_t predicted = u->job->predicted_ms[u->step];
    struct jobs_worker *w = t->worker;
    double mean, n;

    if (w->machine == NULL || !t->is_in_step) {
        return;
    }
    n = others_in_step(t, &mean);
    if (n > 0) {
        Speed_Observe(&sched->speeds, w->machine, t->log_length - mean,
                      n / (n + 1));
    }
    else if (predicted > 0) {
        Speed_Observe(&sched->speeds, w->machine,
                      t->log_length - log((double)predicted),
                      PREDICTION_WEIGHT);
    }
    report_speed(sched, w);
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

/* True when a run far over its estimate is the second one on the worker. One
 * may have a wrong estimate; two of different jobs show a slow worker. */
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

/* Applies a measured pace: marks the worker as slow if the pace shows that,
 * and otherwise takes the length of the unit's runs from it. */
static void
apply_pace(struct jobs_scheduler *sched, struct jobs_worker *w,
           struct jobs_task *t, double pace, int64_t now_ms)
{
    struct jobs_unit *u = t->unit;
    double factor = t->remote ? sched->limits.remote_factor : 1;
    double work_ms = 100 / pace / factor / Speed_Factor(w->machine);
    double measured = (double)measured_ms(u);
    double estimate = (double)Unit_Step(u)->estimate_ms;
    double slow_factor = SLOW_FACTOR;

    if (sched->limits.parts.speeds) {
        /* A machine of unknown speed may be a usual one, and the others of
         * the step fast ones. */
        slow_factor *= Speed_Doubt(w->machine);
    }
    t->pace = pace;
    if (measured > 0 && work_ms > slow_factor * measured) {
        mark_slow(sched, w, work_ms / measured, now_ms);
        return;
    }
    if (measured <= 0 && estimate > 0 && work_ms > slow_factor * estimate &&
        is_second_overrun(w, u, now_ms)) {
        mark_slow(sched, w, work_ms / estimate, now_ms);
        return;
    }
    u->work_ms = (int64_t)work_ms;
    if (u->job->step_runs[u->step] == 0) {
        u->job->step_work_ms[u->step] = u->work_ms;
    }
}

/* Starts to measure the pace of a run with its first progress. */
static void
begin_measuring(struct jobs_task *t, int64_t percent, int64_t clock_ms)
{
    t->pace_from_percent = percent;
    t->pace_from_clock_ms = clock_ms;
    t->run_from_percent = percent;
    t->run_from_clock_ms = clock_ms;
}

/* True when the worker's clock has jumped back over a run's measurement, which
 * then starts anew. */
static bool
restart_after_jump(struct jobs_scheduler *sched, struct jobs_task *t,
                   int64_t percent, int64_t clock_ms)
{
    if (!sched->limits.parts.speeds || t->pace_from_clock_ms == 0 ||
        clock_ms > t->pace_from_clock_ms) {
        return false;
    }
    if (clock_ms < t->pace_from_clock_ms) {
        sched->speeds.ignored++;
        begin_measuring(t, percent, clock_ms);
    }
    return true;
}

/* Updates a run with the progress that its worker reports. Progress is linear,
 * so two reports give the length of the run far better than its caller's
 * estimate. The pace is measured from the first progress on, because before
 * that the run is being set up, resumes from a checkpoint or waits for the
 * rest of its gang. */
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
        /* The pace depends on the cores that other runs leave. */
        t->percent = percent;
        return;
    }
    if (t->confirmed && t->percent >= 0 && percent > t->percent &&
        t->pace_from_clock_ms == 0) {
        begin_measuring(t, percent, clock_ms);
    }
    else if (restart_after_jump(sched, t, percent, clock_ms)) {
        /* Nothing was measured. */
    }
    else if (t->pace_from_clock_ms != 0 && !Unit_Step(t->unit)->lasting &&
             percent < 100 &&
             (progress >= MEASURE_PERCENT || span >= MEASURE_MAX_MS)) {
        apply_pace(sched, w, t,
                   (double)(progress > 0 ? progress : 0.5) / (double)span,
                   now_ms);
        t->pace_from_percent = percent;
        t->pace_from_clock_ms = clock_ms;
        if (w->slow_until_ms <= now_ms) {
            measure_run(sched, w, t, percent, clock_ms);
        }
    }
    t->percent = percent;
}

/* Returns the length of a run at speed 1: as measured, or as predicted from
 * the estimate. */
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

/* Returns the expected length of a run of the unit on a worker. */
int64_t
Pace_LengthOn(const struct jobs_unit *u, const struct jobs_worker *w)
{
    int64_t work = Pace_WorkMs(u);

    return w == NULL || w->machine == NULL
               ? work
               : (int64_t)((double)work * Speed_Factor(w->machine));
}

/* Returns how long a run takes to reach its own end, from its pace if that is
 * known. */
static int64_t
own_remaining_ms(const struct jobs_task *t, int64_t now_ms)
{
    int64_t work = Pace_LengthOn(t->unit, t->worker);
    int64_t left = work - (now_ms - t->assigned_ms);

    if (t->pace > 0) {
        return (int64_t)((double)(100 - t->percent) / t->pace) -
               (now_ms - t->progressed_ms);
    }
    return left > work / 5 ? left : work / 5;
}

/* Returns how long a run still takes. The members of a gang end together, when
 * the slowest one is done. */
int64_t
Pace_RemainingMs(const struct jobs_task *t, int64_t now_ms)
{
    struct jobs_unit *u = t->unit;

    if (u->task_count == 1 || t->worker == NULL ||
        t->worker->machine == NULL) {
        return own_remaining_ms(t, now_ms);
    }
    if (u->remaining_at_ms != now_ms) {
        u->remaining_at_ms = now_ms;
        u->remaining_ms = own_remaining_ms(t, now_ms);
        for (uint32_t i = 0; i < u->task_count; i++) {
            int64_t left = own_remaining_ms(&u->tasks[i], now_ms);

            u->remaining_ms = left > u->remaining_ms ? left : u->remaining_ms;
        }
    }
    return u->remaining_ms;
}

/* True when a run hangs: it has made no progress for longer than a run on a
 * working worker ever pauses.
 *
 * A member of a gang that has done its part stays at 100 percent until the
 * last member is done. It does not hang: stopping the gang then would discard
 * its work just before it ends, up to three times. The members that it waits
 * for are judged by their own progress. */
static bool
is_hung(const struct jobs_task *t, int64_t now_ms)
{
    int64_t idle_ms = now_ms - t->progressed_ms;
    /* Four percent of its length. */
    int64_t step_ms = Pace_LengthOn(t->unit, t->worker) / 25;

    return t->percent < 100 && t->confirmed && t->worker != NULL &&
           idle_ms > HANG_MS && idle_ms > step_ms &&
           now_ms - t->worker->report_ms < HANG_MS / 2;
}

/* True when the worker's last report lists the run as running. One that is not
 * listed may have ended, so its progress shows nothing. */
static bool
is_listed(const struct jobs_task *t)
{
    return t->worker != NULL && t->confirmed &&
           t->listed_clock_ms == t->worker->clock_ms;
}

/* True when a run should be started elsewhere: it hangs, or the rest of it
 * takes longer there than one and a half whole runs on a sound worker. */
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

        if (!is_listed(t)) {
            continue;
        }
        if (is_hung(t, now_ms) ||
            (t->worker->slow_until_ms > now_ms && t->pace > 0 &&
             own_remaining_ms(t, now_ms) > restart_ms)) {
            return true;
        }
    }
    return false;
}
