#include "jobs-scheduler.h"

#include <string.h>

#define RESEND_MS 400 /* an order without visible effect is sent again */
/* A run that has not been seen to start within this time is stopped and placed
 * elsewhere. */
#define START_TIMEOUT_MS 1600

/* Sets the fields that all orders have in common. */
static void
init_order(struct jobs_order *o, const struct jobs_worker *w,
           enum jobs_verb verb, uint64_t run)
{
    memset(o, 0, sizeof(*o));
    o->verb = verb;
    o->run = run;
    o->checkpoint = "";
    o->ticket = "";
    Str_Copy(o->agent, sizeof(o->agent), w->agent);
    Str_Copy(o->worker, sizeof(o->worker), w->id);
}

/* True when resources exceed the capacity of a worker. */
static bool
exceeds(const struct jobs_resources *need, const struct jobs_worker *w)
{
    return need->millicores > w->capacity.millicores ||
           need->memory_mb > w->capacity.memory_mb ||
           need->accelerators > w->capacity.accelerators;
}

/* True when a worker has shrunk: its runs, without those that are being
 * stopped, exceed its capacity. */
static bool
is_overcommitted(const struct jobs_worker *w)
{
    struct jobs_resources remaining = w->used;

    Resources_Add(&remaining, &w->freeing, -1);
    return exceeds(&remaining, w);
}

/* Returns the order that a task needs now, if any.
 *
 * Starts are ordered only while this owner may grant leases. Without the
 * store, another owner may have taken over, waited for these leases and run
 * the task elsewhere; a repeated start would run it again after its end was
 * acknowledged.
 *
 * A run that no report has listed yet is stopped when its worker's domain is
 * emptied, because a start that is ordered or repeated after that would break
 * the promise to operators that nothing starts there. A start that was just
 * sent is first given time to show in a report, so that a run that has already
 * started is not stopped.
 *
 * The same holds when the worker has shrunk since it was chosen, because a
 * worker that does not check its capacity would run more than it has. Such a
 * start is stopped, or waits until the runs that are being stopped have ended.
 */
static bool
next_order_of(struct jobs_scheduler *sched, struct jobs_worker *w,
              struct jobs_task *t, int64_t now_ms, bool may_start,
              struct jobs_order *o)
{
    struct jobs_unit *u = t->unit;
    int64_t late_ms;

    if (Share_IsDue(t, now_ms)) {
        init_order(o, w, ORDER_SHARE, u->run);
        Scheduler_TaskName(t, o->task);
        o->percent = t->sent_share = w->share;
        t->share_sent_ms = now_ms;
        return true;
    }
    if (u->unwritten ||
        (t->ordered_ms != 0 && now_ms - t->ordered_ms < RESEND_MS)) {
        return false;
    }
    if (u->state == UNIT_ASSIGNED && !u->stopping && t->confirmed) {
        return false;
    }
    if (u->state == UNIT_ASSIGNED && !u->stopping && t->ordered_ms != 0 &&
        now_ms - t->assigned_ms > START_TIMEOUT_MS) {
        Unit_Stop(sched, u, "start_unconfirmed");
    }
    if (u->state == UNIT_ASSIGNED && !u->stopping &&
        Domain_IsEmptied(sched, w)) {
        Unit_Stop(sched, u, "domain_emptied");
    }
    if (u->state == UNIT_ASSIGNED && !u->stopping && is_overcommitted(w)) {
        Unit_Stop(sched, u, "worker_shrank");
    }
    if (u->state == UNIT_ASSIGNED && !u->stopping && exceeds(&w->used, w)) {
        return false;
    }
    if (!may_start && u->state == UNIT_ASSIGNED && !u->stopping) {
        return false;
    }
    t->ordered_ms = now_ms;
    if (u->state != UNIT_ASSIGNED || u->stopping) {
        init_order(o, w, ORDER_STOP, u->run);
        Scheduler_TaskName(t, o->task);
        return true;
    }
    init_order(o, w, ORDER_START, u->run);
    Scheduler_TaskName(t, o->task);
    o->until_ms = w->clock_ms + sched->limits.start_ms;
    o->payload = u->job->spec.payload;
    o->checkpoint = u->checkpoint;
    o->ticket = u->job->qos.asks_advice ? Advice_Ticket(u, w) : "";
    t->start_ordered_ms = now_ms;
    late_ms =
        now_ms + (int64_t)((double)sched->limits.start_ms * LEASE_STRETCH);
    w->lease_end_ms = late_ms > w->lease_end_ms ? late_ms : w->lease_end_ms;
    return true;
}

/* Orders the stop of an orphaned run. If the order is lost, the next report
 * that lists the run adds it again. */
static bool
order_orphan_stop(struct jobs_worker *w, struct jobs_order *o)
{
    struct orphan_run *orphan = TAILQ_FIRST(&w->orphans);

    if (orphan == NULL) {
        return false;
    }
    init_order(o, w, ORDER_STOP, orphan->run);
    Str_Copy(o->task, sizeof(o->task), orphan->task);
    TAILQ_REMOVE(&w->orphans, orphan, entry);
    Mem_FreeP(&orphan);
    return true;
}

/* Iterates over the tasks of all workers; the iteration restarts after it has
 * returned false. */
bool
Jobs_NextOrder(struct jobs_scheduler *sched, int64_t now_ms, bool may_start,
               struct jobs_order *out)
{
    struct jobs_worker *w;
    struct jobs_task *t;

    if (!sched->ordering) {
        sched->ordering = true;
        sched->order_worker = RB_MIN(jobs_worker_tree, &sched->workers);
        sched->order_task = sched->order_worker
                                ? TAILQ_FIRST(&sched->order_worker->tasks)
                                : NULL;
    }
    while ((w = sched->order_worker) != NULL) {
        if (w->reported && order_orphan_stop(w, out)) {
            return true;
        }
        while (w->reported && (t = sched->order_task) != NULL) {
            sched->order_task = TAILQ_NEXT(t, on_worker);
            if (next_order_of(sched, w, t, now_ms, may_start, out)) {
                return true;
            }
        }
        sched->order_worker = RB_NEXT(jobs_worker_tree, &sched->workers, w);
        sched->order_task = sched->order_worker
                                ? TAILQ_FIRST(&sched->order_worker->tasks)
                                : NULL;
    }
    sched->ordering = false;
    return false;
}
