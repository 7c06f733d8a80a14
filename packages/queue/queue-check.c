#include "queue-intake.h"

#define CHECK_INTERVAL_MS 2000
/* The cache is compared only while the feed has answered within this time. An
 * ended job stays in the scheduler for far longer, so an outdated cache
 * reports no false differences. */
#define CACHE_MAX_AGE_MS 1500

/* Sends the ids of unfinished jobs to the owner, and deletes old refusals. */
static void
on_check(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    struct intake *in = timer->data;

    if (in->is_leader && in->own_table.listed &&
        Clock_NowMs() - in->own_table.answered_ms <= CACHE_MAX_AGE_MS) {
        Cache_SendUnfinished(in);
        Refused_Expire(in);
    }
}

/* Starts the periodic comparison of cached with scheduled jobs. */
void
Check_Start(struct intake *in)
{
    ev_init(&in->check_timer, on_check);
    in->check_timer.data = in;
    Timer_Every(in->task.kernel->loop, &in->check_timer, CHECK_INTERVAL_MS);
}

/* Stops the comparison. */
void
Check_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->check_timer);
}
