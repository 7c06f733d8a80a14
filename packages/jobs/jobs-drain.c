#include "jobs-scheduler.h"

/* Time between two reports of a worker: a poll of its agent waits this long
 * for an end. */
#define REPORT_MS 400
/* Longest notice that is believed: platforms announce seconds. */
#define NOTICE_MAX_MS 3600000

/* Records for how long a draining worker still serves. Reports may be late, so
 * the earliest end that they give holds; without a notice, or with one that
 * was not readable, an earlier one stays in force. */
void
Drain_Reported(struct jobs_worker *w, const struct jobs_report *r,
               int64_t now_ms)
{
    int64_t end_ms;

    if (!r->draining) {
        w->drain_end_ms = 0;
        return;
    }
    if (r->drain_left_ms > NOTICE_MAX_MS && !w->draining) {
        Unreadable(UNREADABLE_REPORT, w->id, "an absurd notice of departure");
    }
    if (r->drain_left_ms < 0 || r->drain_left_ms > NOTICE_MAX_MS) {
        return;
    }
    end_ms = now_ms + r->drain_left_ms;
    if (w->drain_end_ms == 0 || end_ms < w->drain_end_ms) {
        w->drain_end_ms = end_ms;
    }
}

/* Returns how long the run of a unit still takes: a gang ends with its slowest
 * member. */
static int64_t
remaining_ms(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t longest = 0;

    for (uint32_t i = 0; i < u->task_count; i++) {
        int64_t ms = u->tasks[i].worker != NULL
                         ? Pace_RemainingMs(&u->tasks[i], now_ms)
                         : 0;

        longest = ms > longest ? ms : longest;
    }
    return longest;
}

/* True when a unit with a run on a draining worker should be stopped now.
 *
 * A unit stays when it ends while the worker still serves, or before a stop
 * would certainly be carried out. Otherwise a unit without checkpoints stops
 * at once, as all that it still does there is lost; so does a service, whose
 * replacement needs the time. A unit with checkpoints works on until the last
 * moment at which its stop is certain to be carried out and reported, also
 * when a report is lost, because all its work until the stop is saved. */
static bool
should_stop(const struct jobs_scheduler *sched, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    int64_t stop_ms = sched->limits.stop_ms;
    int64_t left_ms = w->drain_end_ms - now_ms;

    if (u->state != UNIT_ASSIGNED || u->stopping) {
        return false;
    }
    if (s->lasting) {
        return true;
    }
    if (remaining_ms(u, now_ms) <= (left_ms > stop_ms ? left_ms : stop_ms)) {
        return false;
    }
    return !s->checkpoints || left_ms <= stop_ms + 2 * REPORT_MS;
}

/* Stops the units on a draining worker that have to start elsewhere. */
static void
stop_units(struct jobs_scheduler *sched, struct jobs_worker *w, int64_t now_ms)
{
    struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (should_stop(sched, w, t->unit, now_ms)) {
            t->unit->drained_run = t->unit->run;
            Unit_Stop(sched, t->unit, "drains");
        }
    }
}

/* Stops the units that have to leave draining workers, before these are gone.
 * A worker whose remaining time is not known is handled when it has gone. */
void
Drain_StopUnits(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct jobs_worker *w;

    if (!sched->limits.parts.departures) {
        return;
    }
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        if (w->draining && w->drain_end_ms != 0) {
            stop_units(sched, w, now_ms);
        }
    }
}

/* True when a draining worker ended the last run of a unit early. */
bool
Drain_HasStopped(const struct jobs_unit *u)
{
    return u->drained_run != 0 && u->drained_run == u->run;
}
