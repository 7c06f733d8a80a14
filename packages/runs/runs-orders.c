#include "runs-watch.h"

#include <stdlib.h>
#include <string.h>

static struct counter starts_total = {"parsleyfall_agent_starts_total",
                                      "Starts ordered at the worker.", NULL,
                                      COUNTER_TOTAL};
static struct counter refused_total = {"parsleyfall_agent_refused_total",
                                       "Starts that the worker refused.", NULL,
                                       COUNTER_TOTAL};

static const char *const verb_names[] = {[WIRE_START_RUN] = "start",
                                         [WIRE_STOP_RUN] = "stop",
                                         [WIRE_SHARE_RUN] = "share"};

static struct counter order_ms = {"parsleyfall_agent_order_ms",
                                  "Time of an order at the worker.", NULL,
                                  COUNTER_LATENCY};

/* True when the same order was sent to the worker and is not answered yet. */
static bool
is_under_way(const struct watch *w, const struct wire_order *order)
{
    const struct order_call *c;

    TAILQ_FOREACH (c, &w->calls, entry) {
        if (c->verb == order->verb && c->run == order->run &&
            strcmp(c->task, order->task) == 0) {
            return true;
        }
    }
    return false;
}

/* Reports a refused start to the owner. */
static void
send_refused(struct watch *w, const struct order_call *c, const char *reason)
{
    const struct agent_settings *s = w->task.kernel->settings;
    struct wire_refused *m = Wire_New(WIRE_REFUSED);

    Counter_Add(&refused_total, 1);
    Str_Copy(m->agent, sizeof(m->agent), s->name);
    Str_Copy(m->worker, sizeof(m->worker), c->incarnation);
    Str_Copy(m->task, sizeof(m->task), c->task);
    m->run = c->run;
    Str_Copy(m->reason, sizeof(m->reason), reason);
    Watch_Send(w, &m->msg);
}

/* Records a confirmed stop, for the next report. */
static void
note_stop(struct watch *w, const struct order_call *c)
{
    struct confirmed_stop *s = Mem_Zero(1, sizeof(*s));

    Str_Copy(s->task, sizeof(s->task), c->task);
    s->run = c->run;
    s->before_poll = w->polls + 1;
    s->at_ms = Clock_NowMs();
    TAILQ_INSERT_TAIL(&w->stops, s, entry);
}

/* Updates the runs that the worker has, or may have, after an order. */
static void
note_present(struct watch *w, const struct order_call *c, int err)
{
    if (c->verb == WIRE_START_RUN && err == ERR_OK) {
        Present_Started(w, c->task, c->run);
    }
    else if (c->verb == WIRE_START_RUN && err == ERR_UNKNOWN) {
        Present_Unanswered(w, c->task, c->run);
    }
    else if (c->verb == WIRE_STOP_RUN && err == ERR_OK) {
        Present_Stopped(w, c->task, c->run);
    }
}

/* Handles the result of an order. An order without an answer is not reported:
 * the owner sends it again until a report shows its effect. */
static void
on_ordered(void *arg, int err, const char *reason)
{
    struct order_call *c = arg;
    struct watch *w = c->watch;
    bool is_current = strcmp(c->incarnation, w->current.incarnation) == 0;

    TAILQ_REMOVE(&w->calls, c, entry);
    Counter_Observe(&order_ms, Clock_NowMs() - c->sent_ms);
    if (is_current) {
        note_present(w, c, err);
    }
    if (is_current && c->verb == WIRE_STOP_RUN && err == ERR_OK) {
        note_stop(w, c);
    }
    if (is_current && c->verb == WIRE_START_RUN && err == ERR_DENIED) {
        send_refused(w, c, reason);
    }
    if (err != ERR_OK && err != ERR_DENIED) {
        LOG_W("order_unanswered", KV("task", c->task), KV_INT("run", c->run),
              KV("order", verb_names[c->verb]), KV("error", Err_Name(err)));
    }
    if (is_current && c->verb != WIRE_SHARE_RUN) {
        Watch_PollSoon(w);
    }
    free(c);
}

/* Refuses a start without asking the worker. */
static void
refuse_start(struct watch *w, const struct wire_order *order,
             const char *reason)
{
    struct order_call refused = {.run = order->run};

    Str_Copy(refused.incarnation, sizeof(refused.incarnation),
             w->current.incarnation);
    Str_Copy(refused.task, sizeof(refused.task), order->task);
    send_refused(w, &refused, reason);
}

/* True when the deadline of a start has passed by the clock of the incarnation
 * that it is meant for. The worker checks the same, but by a clock that has
 * begun anew if it has restarted under the same id. */
static bool
is_late(const struct watch *w, const struct wire_order *order)
{
    return w->clock_at_ms != 0 &&
           order->until_ms <= w->clock_ms + Clock_NowMs() - w->clock_at_ms;
}

/* Carries out one order of the owner. */
void
Orders_Execute(struct watch *w, const struct wire_order *order)
{
    struct runs_start start = {.task = order->task,
                               .run = order->run,
                               .payload = order->payload.data,
                               .checkpoint = order->checkpoint,
                               .ticket = order->ticket,
                               .until_ms = order->until_ms,
                               .term = w->term};
    struct order_call *c;

    if (order->verb >= COUNT_OF(verb_names)) {
        LOG_W("order_unknown", KV_INT("verb", order->verb));
        return;
    }
    if (is_under_way(w, order)) {
        return;
    }
    /* Once the worker's announcement that it leaves is confirmed, no run
     * starts there, even if the owner was not aware of it yet. */
    if (order->verb == WIRE_START_RUN && (w->current.draining || w->leaving)) {
        refuse_start(w, order, "draining");
        return;
    }
    if (order->verb == WIRE_START_RUN && is_late(w, order)) {
        refuse_start(w, order, "late");
        return;
    }
    c = Mem_Zero(1, sizeof(*c));
    c->watch = w;
    c->verb = (enum wire_order_verb)order->verb;
    c->sent_ms = Clock_NowMs();
    c->run = order->run;
    Str_Copy(c->incarnation, sizeof(c->incarnation), w->current.incarnation);
    Str_Copy(c->task, sizeof(c->task), order->task);
    TAILQ_INSERT_TAIL(&w->calls, c, entry);
    switch (c->verb) {
    case WIRE_STOP_RUN:
        w->worker->ops->stop(w->worker, c->incarnation, c->task, c->run,
                             w->term, on_ordered, c);
        return;
    case WIRE_SHARE_RUN:
        w->worker->ops->share(w->worker, c->incarnation, c->task, c->run,
                              order->percent, w->term, on_ordered, c);
        return;
    case WIRE_START_RUN:
        Counter_Add(&starts_total, 1);
        w->worker->ops->start(w->worker, c->incarnation, &start, on_ordered,
                              c);
    }
}
