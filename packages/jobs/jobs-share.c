#include "jobs-scheduler.h"

/* Sets the share of the cores that best-effort tasks may use.
 *
 * Best-effort tasks use the cores that other tasks of their worker leave, and
 * slow down services there. How much differs by image and changes within
 * seconds, so it is not predicted: the share follows from the tail latency of
 * the services. Otherwise a service would miss its latency objective during a
 * burst of requests until the best-effort work ends.
 *
 * The share falls by three quarters when an objective is missed, and by half
 * when one is nearly missed; it rises by a tenth at a time while there is
 * headroom. Reports arrive within 0.4 s and cover the last 0.5 s, so a change
 * takes effect in them after SETTLE_MS. An objective is met again within three
 * changes, 2.1 s, if the best-effort work is the cause, and the share does not
 * oscillate on outdated latencies. */
#define SETTLE_MS 700
#define MISSED_PERCENT 100 /* of the objective */
#define NEAR_PERCENT 85
#define HEADROOM_PERCENT 70
#define SHARE_STEP 10
#define SHARE_MIN 5 /* percent; a lower share becomes 0 */
/* An order of a share may be lost, and reports do not show the share. */
#define RESEND_MS 1000

/* Returns the tail latency of the worker's worst service in percent of its
 * objective; -1 when there is no service. */
static int64_t
worst_latency_percent(const struct jobs_worker *w)
{
    const struct jobs_task *t;
    int64_t worst = -1;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        int64_t objective_ms = Unit_Step(t->unit)->latency_target_ms;

        if (objective_ms > 0 && t->confirmed && !t->unit->stopping) {
            int64_t latency_percent = 100 * t->tail_latency_ms / objective_ms;

            worst = latency_percent > worst ? latency_percent : worst;
        }
    }
    return worst;
}

/* Returns the share that follows from a tail latency. */
static int64_t
next_share(int64_t share, int64_t latency_percent)
{
    if (latency_percent >= MISSED_PERCENT) {
        share /= 4;
    }
    else if (latency_percent >= NEAR_PERCENT) {
        share /= 2;
    }
    else if (latency_percent < HEADROOM_PERCENT) {
        share += SHARE_STEP;
    }
    if (share < SHARE_MIN) {
        share = 0;
    }
    return share < 100 ? share : 100;
}

/* Updates the share with the tail latencies that a report has brought. */
void
Share_Update(struct jobs_scheduler *sched, struct jobs_worker *w,
             int64_t now_ms)
{
    int64_t latency_percent = worst_latency_percent(w);
    int64_t share =
        latency_percent < 0 ? 100 : next_share(w->share, latency_percent);

    if (share == w->share || now_ms - w->share_ms < SETTLE_MS) {
        return;
    }
    if (share < w->share) {
        Event_Worker(sched, w, "target_missed")->number = latency_percent;
    }
    w->share = share;
    w->share_ms = now_ms;
}

/* True when a best-effort task has to be sent its share. */
bool
Share_IsDue(const struct jobs_task *t, int64_t now_ms)
{
    const struct jobs_worker *w = t->worker;

    if (!Unit_Step(t->unit)->fills || !t->confirmed || t->unit->stopping) {
        return false;
    }
    return t->sent_share != w->share ||
           (now_ms - t->share_sent_ms > RESEND_MS &&
            (w->share < 100 || t->share_sent_ms - w->share_ms < RESEND_MS));
}
