#include "kernel.h"

/* Starts a one-shot timer, or restarts it when it is running. */
void
Timer_Set(struct ev_loop *loop, ev_timer *w, int64_t ms)
{
    ev_timer_stop(loop, w);
    ev_now_update(loop);
    ev_timer_set(w, (double)ms / 1000.0, 0.);
    ev_timer_start(loop, w);
}

/* Starts a repeating timer, or restarts it when it is running. */
void
Timer_Every(struct ev_loop *loop, ev_timer *w, int64_t ms)
{
    ev_timer_stop(loop, w);
    ev_now_update(loop);
    ev_timer_set(w, (double)ms / 1000.0, (double)ms / 1000.0);
    ev_timer_start(loop, w);
}
