#include "runs-watch.h"

#include <stdlib.h>
#include <string.h>

/* A poll waits so long for an end. Leases are renewed with each poll, so a
 * shorter wait keeps more of a lease in hand; calls on the own machine cost
 * little. */
#define WAIT_MS 400
#define RETRY_MS 100
#define BLIND_MS 500 /* while there is no worker to poll */
#define SOON_MS 15   /* after an order, so that its effect is seen early */
/* Between two polls while ends wait to be stored: the worker answers at once
 * then, and polling without a pause would cost all of the processor. */
#define ENDS_MS 50

static void poll_worker(struct watch *w);

/* Sends a message to all entries. */
void
Watch_Say(struct watch *w, struct wire_msg *m)
{
    struct task *links = Kernel_FindTask(w->task.kernel, TASK_RUNS_LINKS);
    struct runs_wire_message *note = Mem_Zero(1, sizeof(*note));

    note->m = m;
    Kernel_Post(links, &note->base, &Runs_WireKind);
}

/* Fills what the worker has and runs. */
static void
fill_lists(const struct watch *w, const struct runs_poll_result *seen,
           struct wire_report *m)
{
    for (uint32_t i = 0; i < w->said.label_count; i++) {
        struct wire_label *l = Wire_ListAdd(&m->labels, sizeof(*l));

        Str_Copy(l->text, sizeof(l->text), w->said.labels[i]);
    }
    for (size_t i = 0; i < seen->running_count; i++) {
        struct wire_run *r = Wire_ListAdd(&m->running, sizeof(*r));

        Str_Copy(r->task, sizeof(r->task), seen->running[i].task);
        Str_Copy(r->checkpoint, sizeof(r->checkpoint),
                 seen->running[i].checkpoint);
        r->run = seen->running[i].run;
        r->percent = seen->running[i].percent;
        r->figure = seen->running[i].tail_latency_ms;
    }
    for (size_t i = 0; i < seen->ended_count; i++) {
        struct wire_end *e = Wire_ListAdd(&m->ended, sizeof(*e));

        Str_Copy(e->task, sizeof(e->task), seen->ended[i].task);
        Str_Copy(e->checkpoint, sizeof(e->checkpoint),
                 seen->ended[i].checkpoint);
        e->run = seen->ended[i].run;
        e->number = seen->ended[i].number;
        e->how = seen->ended[i].how;
    }
}

/* Adds the stops that were confirmed before this poll was sent. */
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

/* Adds what was on lifetimes that crashed lately. */
static void
fill_crashed(struct watch *w, struct wire_report *m)
{
    Crashes_Expire(w);
    Wire_ListCopy(&m->crashed, &w->crashed, sizeof(struct wire_crash));
}

/* Tells all entries what a poll has shown. */
static void
tell(struct watch *w, const struct poll_call *call,
     const struct runs_poll_result *seen)
{
    const struct agent_settings *s = w->task.kernel->settings;
    struct wire_report *m = Wire_New(WIRE_REPORT);

    Str_Copy(m->agent, sizeof(m->agent), s->name);
    Str_Copy(m->worker, sizeof(m->worker), w->said.incarnation);
    Str_Copy(m->left, sizeof(m->left), w->left);
    Str_Copy(m->heir_of, sizeof(m->heir_of), w->heir_of);
    Str_Copy(m->service, sizeof(m->service), w->said.service);
    m->millicores = w->said.capacity.millicores;
    m->memory_mb = w->said.capacity.memory_mb;
    m->accelerators = w->said.capacity.accelerators;
    m->draining = w->said.draining;
    m->term = call->term;
    m->clock_ms = seen->clock_ms;
    Str_Copy(m->domain, sizeof(m->domain), s->failure_domain);
    fill_lists(w, seen, m);
    Wire_ListCopy(&w->ended, &m->ended, sizeof(struct wire_end));
    fill_stopped(w, call->number, m);
    fill_crashed(w, m);
    Watch_Say(w, &m->msg);
}

/* Tells all entries that this agent is here and has nothing to report.
 *
 * Failure: an agent that starts anew knows no owner's term, and its worker
 * answers nobody below the term that it has seen. Symptom: no poll succeeds,
 * so no entry hears of the agent, and nothing runs there again. The owner
 * answers this with its term, and the next poll is made under it. */
static void
tell_blind(struct watch *w)
{
    const struct agent_settings *s = w->task.kernel->settings;
    struct wire_report *m = Wire_New(WIRE_REPORT);

    Str_Copy(m->agent, sizeof(m->agent), s->name);
    Str_Copy(m->left, sizeof(m->left), w->left);
    m->term = w->term;
    fill_crashed(w, m);
    if (*w->said.incarnation == '\0') {
        Wire_ListCopy(&m->ended, &w->ended, sizeof(struct wire_end));
    }
    Watch_Say(w, &m->msg);
}

/* Polls again after a while. */
static void
poll_later(struct watch *w, int64_t ms)
{
    Timer_Set(w->task.kernel->loop, &w->again, ms);
}

static void
on_again(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    poll_worker(timer->data);
}

/* Another lifetime has taken the place of the present one. One that said that
 * it ends has left; any other has crashed. */
static void
replace(struct watch *w)
{
    if (!w->leaving && !w->said.draining) {
        Present_Crashed(w);
    }
    Watch_Forget(w);
}

/* The present lifetime is over, and the next one takes orders that were meant
 * for it.
 *
 * Failure: a worker starts again under its id while a start is on its way.
 * Symptom of saying that the lifetime has left: its runs are started
 * elsewhere, and the start is carried out all the same. Owners are told whose
 * heir the next one is instead, and stop those runs there first. */
static void
bequeath(struct watch *w)
{
    Str_Copy(w->heir_of, sizeof(w->heir_of), w->said.incarnation);
    Str_Copy(w->heir_id, sizeof(w->heir_id), w->said.id);
    replace(w);
}

/* The present lifetime is over for good. */
static void
end_present(struct watch *w)
{
    Str_Copy(w->left, sizeof(w->left), w->said.incarnation);
    replace(w);
}

/* Takes a report, which may be the one kept as next, as that of the present
 * lifetime. */
static void
adopt(struct watch *w, const struct worker_status *said)
{
    LOG_I("worker_found", KV("worker", said->incarnation),
          KV("before", w->said.incarnation));
    if (*w->said.incarnation != '\0' && strcmp(w->said.id, said->id) == 0) {
        bequeath(w);
    }
    else if (*w->said.incarnation != '\0') {
        end_present(w);
    }
    if (strcmp(w->heir_id, said->id) != 0) {
        w->heir_of[0] = '\0';
    }
    w->said = *said;
    memset(&w->next, 0, sizeof(w->next));
    poll_worker(w);
}

/* Never believes a lifetime again: a report that was under way for seconds may
 * still name it. */
static void
refute(struct watch *w, const char *lifetime)
{
    Str_Copy(w->past[w->past_next++ % PAST_LIFETIMES], JOBS_TEXT_SIZE,
             lifetime);
}

/* A poll under the lifetime that another report names came back. */
static void
on_probed(struct watch *w, const char *lifetime, int err)
{
    if (strcmp(lifetime, w->next.incarnation) != 0) {
        return;
    }
    if (err == ERR_OK) {
        adopt(w, &w->next);
    }
    else if (err == ERR_STALE) {
        Unreadable(UNREADABLE_REPORT, lifetime, "no lifetime of this worker");
        refute(w, lifetime);
        memset(&w->next, 0, sizeof(w->next));
    }
}

/* Goes over to the lifetime that another report named, now that the present
 * one is over. */
static void
adopt_next(struct watch *w)
{
    if (*w->next.incarnation != '\0' && *w->said.incarnation == '\0') {
        adopt(w, &w->next);
    }
}

/* A poll came back, or did not. */
static void
on_polled(void *arg, int err, struct runs_poll_result *seen)
{
    struct poll_call *call CLEANUP(Mem_FreeP) = arg;
    struct watch *w = call->watch;
    bool current = strcmp(call->lifetime, w->said.incarnation) == 0;

    TAILQ_REMOVE(&w->poll_calls, call, entry);
    if (call->probe) {
        on_probed(w, call->lifetime, err);
        return;
    }
    if (!call->extra) {
        w->polling = false;
    }
    if (err == ERR_OK && current) {
        Present_Listed(w, seen, call->sent_ms);
        tell(w, call, seen);
    }
    else if (err == ERR_STALE && current && seen->successor) {
        bequeath(w);
    }
    else if (err == ERR_STALE && current) {
        /* Another lifetime answers at this address: this one is over. */
        end_present(w);
    }
    else if (err == ERR_UNREACHABLE && current && w->leaving) {
        LOG_I("worker_gone", KV("worker", call->lifetime));
        Str_Copy(w->left, sizeof(w->left), call->lifetime);
        Watch_Forget(w);
    }
    if (!call->extra && err != ERR_OK) {
        tell_blind(w);
    }
    if (!call->extra) {
        bool ends = err == ERR_OK && seen->ended_count > 0;

        poll_later(w, err != ERR_OK ? RETRY_MS : ends ? ENDS_MS : 0);
    }
    adopt_next(w);
}

/* Sends a poll. */
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
    Str_Copy(call->lifetime, sizeof(call->lifetime), w->said.incarnation);
    w->worker->ops->poll(w->worker, w->said.incarnation, w->term, w->last_seen,
                         w->until_ms, extra ? 0 : WAIT_MS, on_polled, call);
}

/* Asks whether the lifetime that another report names is there.
 *
 * Failure: a report comes that is not of the worker beside us: of another
 * writer, or of a lifetime that ended before this agent began. Symptom of
 * believing it: the lifetime that is there is taken for over, its runs are
 * given up, and its own reports are never believed again. The present one
 * stays until a worker has answered under the other id. */
static void
probe(struct watch *w)
{
    struct poll_call *call;

    TAILQ_FOREACH (call, &w->poll_calls, entry) {
        if (call->probe && strcmp(call->lifetime, w->next.incarnation) == 0) {
            return;
        }
    }
    call = Mem_Zero(1, sizeof(*call));
    call->watch = w;
    call->probe = true;
    Str_Copy(call->lifetime, sizeof(call->lifetime), w->next.incarnation);
    TAILQ_INSERT_TAIL(&w->poll_calls, call, entry);
    w->worker->ops->poll(w->worker, call->lifetime, w->term, 0, 0, 0,
                         on_polled, call);
}

/* Polls the worker, when there is one and an owner is known.
 *
 * Failure: an agent that starts anew polls under no term, and its worker,
 * which has seen one, does not answer that. Symptom: entries hear of the agent
 * when the poll has timed out, a second later, and nothing starts for as long.
 * Until an owner has told its term the agent only says that it is here. */
static void
poll_worker(struct watch *w)
{
    if (w->polling) {
        return;
    }
    if (w->term == 0) {
        tell_blind(w);
        poll_later(w, RETRY_MS);
        return;
    }
    if (*w->said.incarnation == '\0') {
        /* Whoever takes over next has to hear of a worker that left. */
        tell_blind(w);
        poll_later(w, BLIND_MS);
        return;
    }
    w->polling = true;
    send_poll(w, false);
}

static void
on_soon(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    struct watch *w = timer->data;

    if (*w->said.incarnation != '\0') {
        send_poll(w, true);
    }
}

/* Polls soon, beside the one that waits for an end. */
void
Watch_PollSoon(struct watch *w)
{
    if (!ev_is_active(&w->soon)) {
        Timer_Set(w->task.kernel->loop, &w->soon, SOON_MS);
    }
}

/* Forgets the present lifetime. */
void
Watch_Forget(struct watch *w)
{
    struct confirmed_stop *s;

    if (*w->said.incarnation == '\0') {
        return;
    }
    refute(w, w->said.incarnation);
    Present_Clear(w);
    if (strcmp(w->left, w->said.incarnation) != 0) {
        Wire_ListCopy(&w->ended, &(struct wire_list){0},
                      sizeof(struct wire_end));
    }
    memset(&w->said, 0, sizeof(w->said));
    w->leaving = false;
    w->last_seen = 0;
    w->until_ms = 0;
    while ((s = TAILQ_FIRST(&w->stops)) != NULL) {
        TAILQ_REMOVE(&w->stops, s, entry);
        free(s);
    }
}

/* True when that lifetime is over. */
static bool
is_past(const struct watch *w, const char *lifetime)
{
    for (size_t i = 0; i < PAST_LIFETIMES; i++) {
        if (strcmp(w->past[i], lifetime) == 0) {
            return true;
        }
    }
    return false;
}

/* A report names another lifetime than the present one. */
static void
take_other(struct watch *w, const struct worker_status *said)
{
    if (*w->said.incarnation == '\0') {
        adopt(w, said);
        return;
    }
    w->next = *said;
    if (w->term != 0) {
        probe(w); /* workers answer nobody below the term that they know */
    }
}

/* The worker reports, or a report of one that is over comes late. */
static void
take_said(struct watch *w, const struct worker_status *said)
{
    bool same = strcmp(said->incarnation, w->said.incarnation) == 0;

    if (is_past(w, said->incarnation)) {
        return;
    }
    if (said->leaves) {
        w->leaving = w->leaving || same;
        return;
    }
    if (same && said->sequence < w->said.sequence) {
        return;
    }
    if (!same) {
        take_other(w, said);
        return;
    }
    if (said->draining && !w->said.draining) {
        LOG_I("worker_draining", KV("worker", said->incarnation),
              KV_INT("left_ms", said->drain_left_ms));
        Watch_PollSoon(w);
    }
    w->said = *said;
}

/* Takes the owner's word: leases, ends that are stored, orders. */
static void
take_orders(struct watch *w, const struct wire_orders *m)
{
    const struct wire_order *orders = m->orders.items;

    if (m->term < w->term) {
        return;
    }
    Crashes_Heard(w);
    if (m->term > w->term) {
        LOG_I("owner_heard", KV_INT("term", m->term),
              KV_INT("before", w->term));
        w->term = m->term;
        /* It gives us nothing before a poll under its term. */
        if (w->polling) {
            Watch_PollSoon(w);
        }
        else {
            poll_worker(w);
        }
    }
    if (strcmp(m->worker, w->said.incarnation) != 0) {
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
        Orders_Carry(w, &orders[i]);
    }
}

/* Takes what other tasks and the adapter send. */
static void
receive(struct task *t, struct message *m)
{
    struct watch *w = (struct watch *)t;

    if (m->kind == &Runs_WorkerStatusKind) {
        take_said(w, (struct worker_status *)m);
    }
    else if (m->kind == &Runs_WireKind) {
        take_orders(w,
                    (struct wire_orders *)((struct runs_wire_message *)m)->m);
    }
}

/* For operators. */
static json_t *
state(const struct task *t)
{
    const struct watch *w = (const struct watch *)t;

    return json_pack("{s:s,s:I,s:I,s:I,s:b}", "worker", w->said.incarnation,
                     "term", (json_int_t)w->term, "last_seen",
                     (json_int_t)w->last_seen, "until_ms",
                     (json_int_t)w->until_ms, "draining", w->said.draining);
}

/* Frees the task. */
static void
watch_free(struct task *t)
{
    struct watch *w = (struct watch *)t;
    struct order_call *order, *next_order;
    struct poll_call *call, *next_call;

    ev_timer_stop(t->kernel->loop, &w->again);
    ev_timer_stop(t->kernel->loop, &w->soon);
    Watch_Forget(w);
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

/* Waits for the worker's first report. */
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
    ev_init(&w->again, on_again);
    w->again.data = w;
    ev_init(&w->soon, on_soon);
    w->soon.data = w;
    Kernel_AddTask(k, &w->task, &watch_ops);
    poll_later(w, RETRY_MS);
    return ERR_OK;
}

static struct plugin watch_plugin = {
    .name = "watch", .rank = 20, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(watch_plugin)
