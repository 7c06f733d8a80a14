#include "queue-intake.h"

#define CHECK_INTERVAL_MS 2000
/* What the cache shows is no older than this when it is compared: a job that
 * has ended is kept in the scheduler for far longer than that. */
#define CACHE_MAX_AGE_MS 1500

/* Tells the owner which jobs are accepted and have not ended. */
static void
on_check(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    struct intake *in = timer->data;

    if (in->is_leader && in->own_table.listed &&
        Clock_NowMs() - in->own_table.answered_ms <= CACHE_MAX_AGE_MS) {
        Cache_SendUnfinished(in);
    }
}

/* Begins to compare what is shown with what is scheduled. */
void
Check_Start(struct intake *in)
{
    ev_init(&in->check_timer, on_check);
    in->check_timer.data = in;
    Timer_Every(in->task.kernel->loop, &in->check_timer, CHECK_INTERVAL_MS);
}

/* Ends it. */
void
Check_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->check_timer);
}
