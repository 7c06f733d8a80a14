#include "queue-intake.h"

#define CHECK_MS 2000
/* What the cache shows is no older than this when it is compared: a job that
 * has ended is kept in the scheduler for far longer than that. */
#define FRESH_MS 1500

/* Tells the owner which jobs are accepted and have not ended. */
static void
on_check(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    struct intake *in = timer->data;

    if (in->is_leader && in->rows.listed &&
        Clock_NowMs() - in->rows.fresh_ms <= FRESH_MS) {
        Cache_TellUnfinished(in);
    }
}

/* Begins to compare what is shown with what is scheduled. */
void
Check_Start(struct intake *in)
{
    ev_init(&in->check, on_check);
    in->check.data = in;
    Timer_Every(in->task.kernel->loop, &in->check, CHECK_MS);
}

/* Ends it. */
void
Check_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->check);
}
