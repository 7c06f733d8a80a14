#include "jobs-scheduler.h"

#include <string.h>

#define RESEND_MS 400   /* an order whose effect isn't seen is sent again */
#define GIVE_UP_MS 1600 /* then the start is stopped and placed elsewhere */

/* Fills what orders of a task have in common. */
static void
fill(struct jobs_order *o, const struct jobs_worker *w, enum jobs_verb verb,
     uint64_t run)
{
    memset(o, 0, sizeof(*o));
    o->verb = verb;
    o->run = run;
    o->checkpoint = "";
    o->ticket = "";
    Str_Copy(o->agent, sizeof(o->agent), w->agent);
    Str_Copy(o->worker, sizeof(o->worker), w->id);
}

/* True when a worker has less than that. */
static bool
exceeds(const struct jobs_resources *need, const struct jobs_worker *w)
{
    return need->millicores > w->capacity.millicores ||
           need->memory_mb > w->capacity.memory_mb ||
           need->accelerators > w->capacity.accelerators;
}

/* True when what is on a worker, but for what is being stopped, has no room
 * there any more: it has shrunk. */
static bool
is_overcommitted(const struct jobs_worker *w)
{
    struct jobs_resources lasting = w->used;

    Need_Add(&lasting, &w->freeing, -1);
    return exceeds(&lasting, w);
}

/* Makes the order that a task needs now, if any.
 *
 * Failure: an owner that hears nothing of the store goes on ordering a start
 * that shows no effect, while another has taken over, waited and run the task
 * elsewhere. Symptom: it runs again after its end was acknowledged. Starts are
 * ordered only while leases may be given out; who takes over waits for those.
 *
 * Failure: a domain is emptied between the choice of a worker there and its
 * order, or its repetition. Symptom: something starts there after operators
 * were told that nothing does. What the worker has not been seen to run is
 * taken back; a start that has just gone out is looked for first, so that
 * nothing is cut that works already.
 *
 * Failure: a worker shrinks between the choice and the order. Symptom: one
 * that does not guard its room runs more than it has. Its starts are taken
 * back likewise, or wait for what is being stopped. */
static bool
order_of(struct jobs_scheduler *b, struct jobs_worker *w, struct jobs_task *t,
         int64_t now_ms, bool may_start, struct jobs_order *o)
{
    struct jobs_unit *u = t->unit;
    int64_t late_ms;

    if (Share_IsDue(t, now_ms)) {
        fill(o, w, ORDER_SHARE, u->run);
        Scheduler_TaskName(t, o->task);
        o->percent = t->share = w->share;
        t->share_sent_ms = now_ms;
        return true;
    }
    if (u->unwritten || (t->sent_ms != 0 && now_ms - t->sent_ms < RESEND_MS)) {
        return false;
    }
    if (u->state == UNIT_GIVEN && !u->stopping && t->confirmed) {
        return false;
    }
    if (u->state == UNIT_GIVEN && !u->stopping && t->sent_ms != 0 &&
        now_ms - t->given_ms > GIVE_UP_MS) {
        Unit_Stop(b, u, "start_unconfirmed");
    }
    if (u->state == UNIT_GIVEN && !u->stopping && Domain_IsEmptied(b, w)) {
        Unit_Stop(b, u, "domain_emptied");
    }
    if (u->state == UNIT_GIVEN && !u->stopping && is_overcommitted(w)) {
        Unit_Stop(b, u, "worker_shrank");
    }
    if (u->state == UNIT_GIVEN && !u->stopping && exceeds(&w->used, w)) {
        return false;
    }
    if (!may_start && u->state == UNIT_GIVEN && !u->stopping) {
        return false;
    }
    t->sent_ms = now_ms;
    if (u->state != UNIT_GIVEN || u->stopping) {
        fill(o, w, ORDER_STOP, u->run);
        Scheduler_TaskName(t, o->task);
        return true;
    }
    fill(o, w, ORDER_START, u->run);
    Scheduler_TaskName(t, o->task);
    o->until_ms = w->clock_ms + b->limits.start_ms;
    o->payload = u->job->spec.payload;
    o->checkpoint = u->checkpoint;
    o->ticket = u->job->terms.asks_advice ? Advice_Ticket(u, w) : "";
    late_ms = now_ms + (int64_t)((double)b->limits.start_ms * LEASE_STRETCH);
    w->lease_end_ms = late_ms > w->lease_end_ms ? late_ms : w->lease_end_ms;
    return true;
}

/* Orders the end of a run that is not wanted; a later report that still has
 * it brings it up again. */
static bool
order_stray(struct jobs_worker *w, struct jobs_order *o)
{
    struct stray *s = TAILQ_FIRST(&w->strays);

    if (s == NULL) {
        return false;
    }
    fill(o, w, ORDER_STOP, s->run);
    Str_Copy(o->task, sizeof(o->task), s->task);
    TAILQ_REMOVE(&w->strays, s, entry);
    Mem_FreeP(&s);
    return true;
}

/* Walks over the workers; the walk begins anew after it returned false. */
bool
Jobs_NextOrder(struct jobs_scheduler *b, int64_t now_ms, bool may_start,
               struct jobs_order *out)
{
    struct jobs_worker *w;
    struct jobs_task *t;

    if (!b->ordering) {
        b->ordering = true;
        b->order_worker = RB_MIN(lifetime_tree, &b->workers);
        b->order_task =
            b->order_worker ? TAILQ_FIRST(&b->order_worker->tasks) : NULL;
    }
    while ((w = b->order_worker) != NULL) {
        if (w->heard && order_stray(w, out)) {
            return true;
        }
        while (w->heard && (t = b->order_task) != NULL) {
            b->order_task = TAILQ_NEXT(t, on_worker);
            if (order_of(b, w, t, now_ms, may_start, out)) {
                return true;
            }
        }
        b->order_worker = RB_NEXT(lifetime_tree, &b->workers, w);
        b->order_task =
            b->order_worker ? TAILQ_FIRST(&b->order_worker->tasks) : NULL;
    }
    b->ordering = false;
    return false;
}
