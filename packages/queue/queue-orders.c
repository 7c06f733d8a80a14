#include "queue-owner.h"

#include <stdlib.h>
#include <string.h>

/* Copies the lists of a report; free_lists() frees them. */
static void
copy_lists(const struct wire_report *m, struct jobs_report *r)
{
    const struct wire_run *runs = m->running.items;
    const struct wire_end *ends = m->ended.items;
    const struct wire_stopped *stopped = m->stopped.items;
    const struct wire_label *labels = m->labels.items;

    for (size_t i = 0; i < m->labels.count && i < COUNT_OF(r->labels); i++) {
        Str_Copy(r->labels[i], sizeof(r->labels[i]), labels[i].text);
        r->label_count++;
    }
    r->running = Mem_Zero(m->running.count + 1, sizeof(*r->running));
    for (size_t i = 0; i < m->running.count; i++) {
        struct jobs_running *to = &r->running[r->running_count++];

        Str_Copy(to->task, sizeof(to->task), runs[i].task);
        Str_Copy(to->checkpoint, sizeof(to->checkpoint), runs[i].checkpoint);
        to->run = runs[i].run;
        to->percent = runs[i].percent;
        to->tail_latency_ms = runs[i].figure;
    }
    r->ended = Mem_Zero(m->ended.count + 1, sizeof(*r->ended));
    for (size_t i = 0; i < m->ended.count; i++) {
        struct jobs_ended *to = &r->ended[r->ended_count];

        if (ends[i].how > END_ALONE) {
            Unreadable(UNREADABLE_MESSAGE, ends[i].task,
                       "unknown kind of end of a run");
            continue;
        }
        r->ended_count++;
        Str_Copy(to->task, sizeof(to->task), ends[i].task);
        Str_Copy(to->checkpoint, sizeof(to->checkpoint), ends[i].checkpoint);
        to->run = ends[i].run;
        to->number = ends[i].number;
        to->how = (enum jobs_end)ends[i].how;
    }
    r->stopped = Mem_Zero(m->stopped.count + 1, sizeof(*r->stopped));
    for (size_t i = 0; i < m->stopped.count; i++) {
        struct jobs_stopped *to = &r->stopped[r->stopped_count++];

        Str_Copy(to->task, sizeof(to->task), stopped[i].task);
        to->run = stopped[i].run;
    }
}

/* Passes the crashes that an agent reports to the scheduler, which charges
 * them to the tasks that were on the worker. */
static void
take_crashes(struct owner *o, const struct wire_report *m, int64_t now)
{
    const struct wire_crash *from = m->crashed.items;
    struct jobs_crash *crashes CLEANUP(Mem_FreeP) =
        Mem_Zero(m->crashed.count + 1, sizeof(*crashes));

    for (size_t i = 0; i < m->crashed.count; i++) {
        Str_Copy(crashes[i].worker, sizeof(crashes[i].worker), from[i].worker);
        Str_Copy(crashes[i].task, sizeof(crashes[i].task), from[i].task);
        crashes[i].run = from[i].run;
        crashes[i].acknowledged = from[i].acknowledged != 0;
        crashes[i].worked_ms = from[i].worked_ms;
    }
    Jobs_WorkerCrashed(o->scheduler, m->agent, crashes, m->crashed.count, now);
}

/* Frees the lists of a report. */
static void
free_lists(struct jobs_report *r)
{
    free(r->running);
    free(r->ended);
    free(r->stopped);
}

/* True while this owner may grant leases. Its writes must have been confirmed
 * recently, as a new owner waits for no longer than that bound; and leadership
 * must not have been given up, as the next owner then waits only for leases
 * granted so far. */
static bool
may_grant_lease(const struct owner *o)
{
    return !o->released &&
           Clock_NowMs() - o->confirmed_ms < UNCONFIRMED_MAX_MS;
}

/* Creates a message to a worker without orders. */
static struct wire_orders *
new_orders(const struct owner *o, const char *worker)
{
    struct wire_orders *m = Wire_New(WIRE_ORDERS);

    m->term = o->term;
    m->last_seen = Jobs_LastSeen(o->scheduler, worker);
    Str_Copy(m->worker, sizeof(m->worker), worker);
    return m;
}

/* Posts a message for an agent to the links task, which frees it. */
static void
send_orders(struct owner *o, const char *agent, struct wire_orders *m)
{
    struct agent_outbound *note = Mem_Zero(1, sizeof(*note));

    Str_Copy(note->agent, sizeof(note->agent), agent);
    note->m = &m->msg;
    Queue_Post(o->task.kernel, TASK_LINKS, &note->base,
               &Queue_AgentOutboundKind);
}

/* True when the numbers of a report are in range, so that sums over all tasks
 * of a worker stay far within 64 bits. */
static bool
is_in_range(const struct wire_report *m)
{
    static const int64_t max = (int64_t)1 << 40;

    return m->millicores >= 0 && m->millicores <= max && m->memory_mb >= 0 &&
           m->memory_mb <= max && m->accelerators >= 0 &&
           m->accelerators <= max && m->clock_ms >= 0;
}

/* True when a report may lack ends of its worker. An agent that does not
 * report that may have passed on a full page. */
static bool
is_partial(const struct wire_report *m)
{
    static const size_t page = 500; /* ends in one answer of a worker */

    return m->lists == WIRE_LISTS_PARTIAL ||
           (m->lists == WIRE_LISTS_UNKNOWN && m->ended.count >= page);
}

/* Passes a report to the scheduler and answers it with a new lease. True when
 * decisions may change. */
bool
Orders_TakeReport(struct owner *o, const struct wire_report *m)
{
    const struct entry_settings *s = o->task.kernel->settings;
    struct jobs_report r = {0};
    struct wire_orders *answer;
    int64_t now = Clock_NowMs();
    bool changed;

    if (*m->worker == '\0') {
        /* Without a worker, the ended runs are those of the incarnation that
         * left. */
        copy_lists(m, &r);
        Jobs_WorkerLeft(o->scheduler, m->left, r.ended, r.ended_count, now);
        free_lists(&r);
        take_crashes(o, m, now);
        send_orders(o, m->agent,
                    new_orders(o, "")); /* the agent needs the term */
        return true;
    }
    if (!is_in_range(m)) {
        Unreadable(UNREADABLE_MESSAGE, m->agent,
                   "a number of the report is out of range");
        return false;
    }
    Str_Copy(r.agent, sizeof(r.agent), m->agent);
    Str_Copy(r.worker, sizeof(r.worker), m->worker);
    Str_Copy(r.service, sizeof(r.service), m->service);
    Str_Copy(r.domain, sizeof(r.domain), m->domain);
    r.capacity =
        (struct jobs_resources){m->millicores, m->memory_mb, m->accelerators};
    r.draining = m->draining != 0;
    r.drain_left_ms = m->drain_left_ms;
    r.term = m->term;
    r.clock_ms = m->clock_ms;
    r.partial = is_partial(m);
    copy_lists(m, &r);
    changed = Jobs_Report(o->scheduler, &r, now);
    free_lists(&r);
    if (*m->left != '\0') {
        changed =
            Jobs_WorkerLeft(o->scheduler, m->left, NULL, 0, now) || changed;
    }
    take_crashes(o, m, now);
    answer = new_orders(o, m->worker);
    if (may_grant_lease(o)) {
        answer->until_ms = m->clock_ms + s->hosted.lease_ms;
        Jobs_LeaseGranted(o->scheduler, m->worker, now);
    }
    send_orders(o, m->agent, answer);
    return changed;
}

/* Handles the refusal of a start by a worker. */
void
Orders_TakeRefusal(struct owner *o, const struct wire_refused *m)
{
    LOG_I("start_refused", KV("task", m->task), KV_INT("run", m->run),
          KV("worker", m->worker), KV("reason", m->reason));
    Jobs_StartRefused(o->scheduler, m->worker, m->task, m->run, m->reason,
                      Clock_NowMs());
}

static const struct {
    enum wire_order_verb wire;
    const char *event;
} order_verbs[] = {[ORDER_START] = {WIRE_START_RUN, "order_start"},
                   [ORDER_STOP] = {WIRE_STOP_RUN, "order_stop"},
                   [ORDER_SHARE] = {WIRE_SHARE_RUN, "order_share"}};

/* Adds an order to a message and logs it. */
static void
add_order(struct wire_orders *m, const struct jobs_order *order)
{
    struct wire_order *to = Wire_ListAdd(&m->orders, sizeof(*to));

    to->verb = order_verbs[order->verb].wire;
    to->run = order->run;
    to->percent = order->percent;
    to->until_ms = order->until_ms;
    Str_Copy(to->task, sizeof(to->task), order->task);
    Str_Copy(to->checkpoint, sizeof(to->checkpoint), order->checkpoint);
    Str_Copy(to->ticket, sizeof(to->ticket), order->ticket);
    if (order->payload != NULL) {
        Buf_AppendStr(&to->payload, order->payload);
    }
    LOG_D(order_verbs[order->verb].event, KV("task", order->task),
          KV_INT("run", order->run), KV("worker", order->worker),
          KV_INT("term", m->term));
}

/* Sends all due orders, one message for each worker. */
void
Orders_Send(struct owner *o)
{
    struct wire_orders *m = NULL;
    char agent[NAME_SIZE] = "";
    struct jobs_order order;

    while (Jobs_NextOrder(o->scheduler, Clock_NowMs(), may_grant_lease(o),
                          &order)) {
        if (m != NULL && strcmp(m->worker, order.worker) != 0) {
            send_orders(o, agent, m);
            m = NULL;
        }
        if (m == NULL) {
            m = new_orders(o, order.worker);
            Str_Copy(agent, sizeof(agent), order.agent);
        }
        add_order(m, &order);
    }
    if (m != NULL) {
        send_orders(o, agent, m);
    }
}
