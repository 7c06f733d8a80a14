#include "runs-watch.h"

#include <stdlib.h>
#include <string.h>

/* The longest time that a poll waits for an end. Leases are renewed with each
 * poll, so shorter waits keep more of each lease in reserve; calls on the same
 * machine cost little. */
#define WAIT_MS 400
#define RETRY_MS 100
#define NO_WORKER_RETRY_MS 500 /* while there is no worker to poll */
/* Delay of the poll after an order, which shows the effect of the order
 * early. */
#define EXTRA_POLL_DELAY_MS 15
/* Pause between two polls while ends wait to be stored: the worker then
 * answers polls immediately, and polling without a pause would use a whole
 * core. */
#define UNSTORED_ENDS_POLL_MS 50
/* Heartbeats in a row that may be lost; at one a second, a day's. */
#define SEQUENCE_LEAP_MAX 100000

static void poll_worker(struct watch *w);

/* Sends a message to all entries. */
void
Watch_Send(struct watch *w, struct wire_msg *m)
{
    struct task *links = Kernel_FindTask(w->task.kernel, TASK_RUNS_LINKS);
    struct runs_wire_message *wrapper = Mem_Zero(1, sizeof(*wrapper));

    wrapper->m = m;
    Kernel_Post(links, &wrapper->base, &Runs_WireKind);
}

/* Adds the worker's labels, runs and ends to a report. */
static void
fill_lists(const struct watch *w, const struct runs_poll_result *result,
           struct wire_report *m)
{
    for (uint32_t i = 0; i < w->current.label_count; i++) {
        struct wire_label *l = Wire_ListAdd(&m->labels, sizeof(*l));

        Str_Copy(l->text, sizeof(l->text), w->current.labels[i]);
    }
    for (size_t i = 0; i < result->running_count; i++) {
        struct wire_run *r = Wire_ListAdd(&m->running, sizeof(*r));

        Str_Copy(r->task, sizeof(r->task), result->running[i].task);
        Str_Copy(r->checkpoint, sizeof(r->checkpoint),
                 result->running[i].checkpoint);
        r->run = result->running[i].run;
        r->percent = result->running[i].percent;
        r->figure = result->running[i].tail_latency_ms;
    }
    for (size_t i = 0; i < result->ended_count; i++) {
        struct wire_end *e = Wire_ListAdd(&m->ended, sizeof(*e));

        Str_Copy(e->task, sizeof(e->task), result->ended[i].task);
        Str_Copy(e->checkpoint, sizeof(e->checkpoint),
                 result->ended[i].checkpoint);
        e->run = result->ended[i].run;
        e->number = result->ended[i].number;
        e->how = result->ended[i].how;
    }
}

/* Adds the stops that were confirmed before the poll was sent to a report. */
static void
fill_stopped(struct watch *w, uint64_t number, struct wire_report *m)
{
    struct confirmed_stop *s, *next;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH_SAFE (s, &w->stops, entry, next) {
        if (now - s->at_ms > STOP_KEEP_MS) {
            TAILQ_REMOVE(&w->stops, s, entry);
            free(s);
            continue;
        }
        if (s->before_poll <= number) {
            struct wire_stopped *to = Wire_ListAdd(&m->stopped, sizeof(*to));

            Str_Copy(to->task, sizeof(to->task), s->task);
            to->run = s->run;
        }
    }
}

/* Adds the runs of recent crashes to a report. */
static void
fill_crashed(struct watch *w, struct wire_report *m)
{
    Crashes_Expire(w);
    Wire_ListCopy(&m->crashed, &w->crashed, sizeof(struct wire_crash));
}

/* Reports the result of a poll to all entries. */
static void
send_report(struct watch *w, const struct poll_call *call,
            const struct runs_poll_result *result)
{
    const struct agent_settings *s = w->task.kernel->settings;
    struct wire_report *m = Wire_New(WIRE_REPORT);

    Str_Copy(m->agent, sizeof(m->agent), s->name);
    Str_Copy(m->worker, sizeof(m->worker), w->current.incarnation);
    Str_Copy(m->left, sizeof(m->left), w->left);
    Str_Copy(m->service, sizeof(m->service), w->current.service);
    m->millicores = w->current.capacity.millicores;
    m->memory_mb = w->current.capacity.memory_mb;
    m->accelerators = w->current.capacity.accelerators;
    m->draining = w->current.draining;
    m->drain_left_ms = Departure_LeftMs(&w->departure, Clock_NowMs());
    m->term = call->term;
    m->clock_ms = result->clock_ms;
    m->lists = result->partial ? WIRE_LISTS_PARTIAL : WIRE_LISTS_WHOLE;
    Str_Copy(m->domain, sizeof(m->domain), s->failure_domain);
    fill_lists(w, result, m);
    Wire_ListCopy(&w->ended, &m->ended, sizeof(struct wire_end));
    fill_stopped(w, call->number, m);
    fill_crashed(w, m);
    Watch_Send(w, &m->msg);
}

/* Reports to all entries that this agent is present, without a worker's state.
 *
 * After a restart the agent does not know the owner's term, and its worker
 * answers no poll below the term that it has seen. Without this report no poll
 * would ever succeed, so no entry would find the agent and nothing would run
 * there again. The owner answers with its term, under which the next poll is
 * made. */
static void
send_empty_report(struct watch *w)
{
    const struct agent_settings *s = w->task.kernel->settings;
    struct wire_report *m = Wire_New(WIRE_REPORT);

    Str_Copy(m->agent, sizeof(m->agent), s->name);
    Str_Copy(m->left, sizeof(m->left), w->left);
    m->term = w->term;
    fill_crashed(w, m);
    if (*w->current.incarnation == '\0') {
        Wire_ListCopy(&m->ended, &w->ended, sizeof(struct wire_end));
    }
    Watch_Send(w, &m->msg);
}

/* Schedules the next poll. */
static void
poll_later(struct watch *w, int64_t ms)
{
    Timer_Set(w->task.kernel->loop, &w->poll_timer, ms);
}

/* Sends the next poll when it is due. */
static void
on_poll_timer(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    poll_worker(timer->data);
}

/* Forgets the present incarnation, which another one has replaced. If it had
 * not announced its end, it has crashed. */
static void
forget_replaced(struct watch *w)
{
    if (!w->leaving && !w->current.draining) {
        Present_Crashed(w);
    }
    Watch_ForgetCurrent(w);
}

/* Records that the present incarnation has left, and forgets it.
 *
 * This must not be done when another incarnation with the same id has replaced
 * it: a start may be on its way, or carried out already. The runs of one that
 * has left are started elsewhere, while owners that receive a report of its
 * successor first stop them there. */
static void
end_current(struct watch *w)
{
    Str_Copy(w->left, sizeof(w->left), w->current.incarnation);
    forget_replaced(w);
}

/* Copies the worker's report of itself, and its notice of departure. */
static void
take_status(struct watch *w, const struct worker_status *status)
{
    w->current = *status;
    Departure_Reported(&w->departure, status->draining, status->drain_left_ms,
                       Clock_NowMs());
}

/* True when a start at an incarnation has not been answered yet. */
static bool
has_open_start(const struct watch *w, const char *incarnation)
{
    const struct order_call *call;

    TAILQ_FOREACH (call, &w->calls, entry) {
        if (call->verb == WIRE_START_RUN &&
            strcmp(call->incarnation, incarnation) == 0) {
            return true;
        }
    }
    return false;
}

/* True when a poll that could not be sent shows that the present incarnation
 * is gone: after it announced its end, or with all signs of a departure. An
 * open start might still reach a worker that restarts under the same id. */
static bool
is_gone(const struct watch *w, const char *incarnation)
{
    const struct agent_settings *s = w->task.kernel->settings;

    return !has_open_start(w, incarnation) &&
           (w->leaving || (s->hosted.scheduling.departures &&
                           Departure_IsOver(&w->departure, Clock_NowMs())));
}

/* Makes the incarnation of a status report the present one. The report may be
 * that of the candidate. */
static void
adopt(struct watch *w, const struct worker_status *status)
{
    LOG_I("worker_found", KV("worker", status->incarnation),
          KV("before", w->current.incarnation));
    if (*w->current.incarnation != '\0' &&
        strcmp(w->current.id, status->id) == 0) {
        forget_replaced(w);
    }
    else if (*w->current.incarnation != '\0') {
        end_current(w);
    }
    take_status(w, status);
    memset(&w->candidate, 0, sizeof(w->candidate));
    poll_worker(w);
}

/* Ignores further reports of an incarnation: one that was sent seconds ago may
 * still arrive. */
static void
mark_past(struct watch *w, const char *incarnation)
{
    Str_Copy(w->past[w->past_next++ % PAST_INCARNATIONS], JOBS_TEXT_SIZE,
             incarnation);
}

/* Handles the answer to a poll of the candidate. */
static void
on_probed(struct watch *w, const char *incarnation, int err)
{
    if (strcmp(incarnation, w->candidate.incarnation) != 0) {
        return;
    }
    if (err == ERR_OK) {
        adopt(w, &w->candidate);
    }
    else if (err == ERR_STALE) {
        Unreadable(UNREADABLE_REPORT, incarnation,
                   "not an incarnation of this worker");
        mark_past(w, incarnation);
        memset(&w->candidate, 0, sizeof(w->candidate));
    }
}

/* Adopts the candidate if the present incarnation is over. */
static void
adopt_candidate(struct watch *w)
{
    if (*w->candidate.incarnation != '\0' && *w->current.incarnation == '\0') {
        adopt(w, &w->candidate);
    }
}

/* Handles the result of a poll. */
static void
on_polled(void *arg, int err, struct runs_poll_result *result)
{
    struct poll_call *call CLEANUP(Mem_FreeP) = arg;
    struct watch *w = call->watch;
    bool is_current = strcmp(call->incarnation, w->current.incarnation) == 0;

    TAILQ_REMOVE(&w->poll_calls, call, entry);
    if (call->is_probe) {
        on_probed(w, call->incarnation, err);
        return;
    }
    if (!call->extra) {
        w->polling = false;
    }
    if (is_current) {
        w->is_answering = err == ERR_OK;
        Departure_Polled(&w->departure, err != ERR_OK && result->refused,
                         Clock_NowMs());
    }
    if (err == ERR_OK && is_current) {
        w->clock_ms = result->clock_ms;
        w->clock_at_ms = Clock_NowMs();
        Present_Listed(w, result, call->sent_ms);
        send_report(w, call, result);
    }
    else if (err == ERR_STALE && is_current && result->successor) {
        forget_replaced(w);
    }
    else if (err == ERR_STALE && is_current) {
        /* Another incarnation answers at this address, so this one is over. */
        end_current(w);
    }
    else if (err == ERR_UNREACHABLE && is_current &&
             is_gone(w, call->incarnation)) {
        LOG_I("worker_gone", KV("worker", call->incarnation),
              KV("shown_by", w->leaving ? "announced" : "refused"));
        Str_Copy(w->left, sizeof(w->left), call->incarnation);
        Watch_ForgetCurrent(w);
    }
    if (!call->extra && err != ERR_OK) {
        send_empty_report(w);
    }
    if (!call->extra) {
        bool ends = err == ERR_OK && result->ended_count > 0;

        poll_later(w, err != ERR_OK ? RETRY_MS
                      : ends        ? UNSTORED_ENDS_POLL_MS
                                    : 0);
    }
    adopt_candidate(w);
}

/* Sends a poll. One that follows a poll without an answer acknowledges no ends
 * and renews no leases: the worker may have restarted under the same id since,
 * and would forget its new ends by the numbers of the old ones. */
static void
send_poll(struct watch *w, bool extra)
{
    struct poll_call *call = Mem_Zero(1, sizeof(*call));

    call->watch = w;
    TAILQ_INSERT_TAIL(&w->poll_calls, call, entry);
    call->extra = extra;
    call->number = ++w->polls;
    call->sent_ms = Clock_NowMs();
    call->term = w->term;
    Str_Copy(call->incarnation, sizeof(call->incarnation),
             w->current.incarnation);
    w->worker->ops->poll(w->worker, w->current.incarnation, w->term,
                         w->is_answering ? w->last_seen : 0,
                         w->is_answering ? w->until_ms : 0,
                         extra ? 0 : WAIT_MS, on_polled, call);
}

/* Polls the candidate to find out whether it is present.
 *
 * A report may not be of this agent's worker: it may come from another writer,
 * or be of an incarnation that ended before this agent started. If it were
 * trusted, the present incarnation would count as over, its runs would be
 * given up, and its own reports would be ignored from then on. So the present
 * incarnation stays until a worker has answered under the other id. */
static void
probe_candidate(struct watch *w)
{
    struct poll_call *call;

    TAILQ_FOREACH (call, &w->poll_calls, entry) {
        if (call->is_probe &&
            strcmp(call->incarnation, w->candidate.incarnation) == 0) {
            return;
        }
    }
    call = Mem_Zero(1, sizeof(*call));
    call->watch = w;
    call->is_probe = true;
    Str_Copy(call->incarnation, sizeof(call->incarnation),
             w->candidate.incarnation);
    TAILQ_INSERT_TAIL(&w->poll_calls, call, entry);
    w->worker->ops->poll(w->worker, call->incarnation, w->term, 0, 0, 0,
                         on_polled, call);
}

/* Polls the worker when there is one and an owner's term is known.
 *
 * After a restart the agent knows no term, and its worker, which has seen one,
 * does not answer a poll under none. Entries would find the agent only when
 * that poll has timed out, a second later, and nothing would start until then.
 * So the agent sends empty reports until an owner has sent its term. */
static void
poll_worker(struct watch *w)
{
    if (w->polling) {
        return;
    }
    if (w->term == 0) {
        send_empty_report(w);
        poll_later(w, RETRY_MS);
        return;
    }
    if (*w->current.incarnation == '\0') {
        /* An owner that takes over has to learn that the worker has left. */
        send_empty_report(w);
        poll_later(w, NO_WORKER_RETRY_MS);
        return;
    }
    w->polling = true;
    send_poll(w, false);
}

/* Sends an extra poll. */
static void
on_extra_poll_timer(struct ev_loop *loop UNUSED, ev_timer *timer,
                    int events UNUSED)
{
    struct watch *w = timer->data;

    if (*w->current.incarnation != '\0') {
        send_poll(w, true);
    }
}

/* Sends an extra poll soon, beside the one that waits for an end. */
void
Watch_PollSoon(struct watch *w)
{
    if (!ev_is_active(&w->extra_poll_timer)) {
        Timer_Set(w->task.kernel->loop, &w->extra_poll_timer,
                  EXTRA_POLL_DELAY_MS);
    }
}

/* Forgets the present incarnation. */
void
Watch_ForgetCurrent(struct watch *w)
{
    struct confirmed_stop *s;

    if (*w->current.incarnation == '\0') {
        return;
    }
    mark_past(w, w->current.incarnation);
    Present_Clear(w);
    if (strcmp(w->left, w->current.incarnation) != 0) {
        Wire_ListCopy(&w->ended, &(struct wire_list){0},
                      sizeof(struct wire_end));
    }
    memset(&w->current, 0, sizeof(w->current));
    Departure_Clear(&w->departure);
    w->leaving = false;
    w->is_answering = false;
    w->last_seen = 0;
    w->until_ms = 0;
    w->clock_at_ms = 0;
    while ((s = TAILQ_FIRST(&w->stops)) != NULL) {
        TAILQ_REMOVE(&w->stops, s, entry);
        free(s);
    }
}

/* True when an incarnation is over. */
static bool
is_past(const struct watch *w, const char *incarnation)
{
    for (size_t i = 0; i < PAST_INCARNATIONS; i++) {
        if (strcmp(w->past[i], incarnation) == 0) {
            return true;
        }
    }
    return false;
}

/* Handles a report of another incarnation than the present one. */
static void
handle_other_incarnation(struct watch *w, const struct worker_status *status)
{
    if (*w->current.incarnation == '\0') {
        adopt(w, status);
        return;
    }
    w->candidate = *status;
    if (w->term != 0) {
        /* Workers answer no poll below the term that they have seen. */
        probe_candidate(w);
    }
}

/* True for a report of the present incarnation that is not one of its own:
 * its sequence number is further ahead than heartbeats can be lost. If it were
 * used, all reports of the worker would count as late from then on. */
static bool
is_far_ahead(const struct watch *w, const struct worker_status *status)
{
    return status->sequence > w->current.sequence &&
           status->sequence - w->current.sequence > SEQUENCE_LEAP_MAX;
}

/* Handles a report of a worker, which may be a late one of an incarnation that
 * is over. A worker that reports to be ready after its notice that it leaves
 * has not left, and the notice was not its own. */
static void
handle_status(struct watch *w, const struct worker_status *status)
{
    bool same = strcmp(status->incarnation, w->current.incarnation) == 0;

    if (is_past(w, status->incarnation)) {
        return;
    }
    if (status->leaves) {
        w->leaving = w->leaving || same;
        return;
    }
    if (same && status->sequence < w->current.sequence) {
        return;
    }
    if (same && is_far_ahead(w, status)) {
        Unreadable(UNREADABLE_REPORT, status->incarnation,
                   "sequence number too far ahead");
        return;
    }
    if (same && status->sequence > w->current.sequence && !status->draining) {
        w->leaving = false;
    }
    if (!same) {
        handle_other_incarnation(w, status);
        return;
    }
    if (status->draining && !w->current.draining) {
        LOG_I("worker_draining", KV("worker", status->incarnation),
              KV_INT("left_ms", status->drain_left_ms));
        Watch_PollSoon(w);
    }
    take_status(w, status);
}

/* Handles a message of the owner: leases, stored ends, orders. */
static void
handle_orders(struct watch *w, const struct wire_orders *m)
{
    const struct wire_order *orders = m->orders.items;

    if (m->term < w->term) {
        return;
    }
    Crashes_Acknowledged(w);
    if (m->term > w->term) {
        LOG_I("owner_heard", KV_INT("term", m->term),
              KV_INT("before", w->term));
        w->term = m->term;
        /* The owner assigns nothing to this worker before a poll under its
         * term. */
        if (w->polling) {
            Watch_PollSoon(w);
        }
        else {
            poll_worker(w);
        }
    }
    if (strcmp(m->worker, w->current.incarnation) != 0) {
        return;
    }
    if (m->until_ms > w->until_ms) {
        w->until_ms = m->until_ms;
    }
    if (m->last_seen > w->last_seen) {
        w->last_seen = m->last_seen;
        Watch_PollSoon(w);
    }
    for (size_t i = 0; i < m->orders.count; i++) {
        Orders_Execute(w, &orders[i]);
    }
}

/* Handles messages of other tasks and the adapter. */
static void
receive(struct task *t, struct message *m)
{
    struct watch *w = (struct watch *)t;

    if (m->kind == &Runs_WorkerStatusKind) {
        handle_status(w, (struct worker_status *)m);
    }
    else if (m->kind == &Runs_WireKind) {
        handle_orders(
            w, (struct wire_orders *)((struct runs_wire_message *)m)->m);
    }
}

/* Returns the state of the watch as JSON, for operators. */
static json_t *
state(const struct task *t)
{
    const struct watch *w = (const struct watch *)t;

    return json_pack("{s:s,s:I,s:I,s:I,s:b}", "worker", w->current.incarnation,
                     "term", (json_int_t)w->term, "last_seen",
                     (json_int_t)w->last_seen, "until_ms",
                     (json_int_t)w->until_ms, "draining", w->current.draining);
}

/* Frees the task. */
static void
watch_free(struct task *t)
{
    struct watch *w = (struct watch *)t;
    struct order_call *order, *next_order;
    struct poll_call *call, *next_call;

    ev_timer_stop(t->kernel->loop, &w->poll_timer);
    ev_timer_stop(t->kernel->loop, &w->extra_poll_timer);
    Watch_ForgetCurrent(w);
    free(w->ended.items);
    free(w->crashed.items);
    w->worker->ops->free(w->worker);
    TAILQ_FOREACH_SAFE (order, &w->calls, entry, next_order) {
        free(order);
    }
    TAILQ_FOREACH_SAFE (call, &w->poll_calls, entry, next_call) {
        free(call);
    }
    free(w);
}

static const struct task_ops watch_ops = {.name = TASK_WATCH,
                                          .receive = receive,
                                          .state = state,
                                          .free = watch_free};

/* Creates the watch, which waits for the worker's first report. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct watch *w = Mem_Zero(1, sizeof(*w));

    if (Runs_Platform() == NULL) {
        LOG_E("no_platform", KV("allowed", "a program with its adapter"));
        free(w);
        return ERR_INVALID;
    }
    TAILQ_INIT(&w->stops);
    TAILQ_INIT(&w->present);
    TAILQ_INIT(&w->calls);
    TAILQ_INIT(&w->poll_calls);
    w->worker = Runs_Platform()->open_worker(k->loop, &s->hosted);
    ev_init(&w->poll_timer, on_poll_timer);
    w->poll_timer.data = w;
    ev_init(&w->extra_poll_timer, on_extra_poll_timer);
    w->extra_poll_timer.data = w;
    Kernel_AddTask(k, &w->task, &watch_ops);
    poll_later(w, RETRY_MS);
    return ERR_OK;
}

static struct plugin watch_plugin = {
    .name = "watch", .rank = 20, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(watch_plugin)
