#include "agent.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SWEEP_MS 500
#define ANSWER_KEEP_MS 10000 /* past the deadline, for entries cut off */
#define BUSY_RETRY_MS 50     /* a slot is likely to be free again by then */
#define LEAVE_RETRY_MS 1000

/* An upstream beside this agent. */
struct upstream {
    char service[NAME_SIZE];
    char *url;
    int64_t slots;
    int64_t connections;
    int64_t timeout_ms;
    int64_t busy;
    size_t index; /* in the order of the list */
    bool leaving;
    struct http_client *client;
    TAILQ_ENTRY(upstream) entry;
};

/* How much an entry has in progress here; the entry is named by the address of
 * its link. */
struct entry_load {
    char address[NAME_SIZE];
    int count; /* attempts that run or whose answer is unsettled */
    struct wire_list running; /* uint64: running attempts by upstream.index */
    TAILQ_ENTRY(entry_load) entry;
};

struct work {
    struct task task;
    struct attempts attempts;
    TAILQ_HEAD(, upstream) upstreams;
    TAILQ_HEAD(, entry_load) loads;
    size_t upstream_count;
    size_t unsettled; /* attempts running or with an unsettled answer */
    bool leaving;
    ev_timer sweep;
};

/* Argument of a callback of the HTTP client. */
struct call {
    struct work *work;
    struct attempt *attempt;
    struct upstream *upstream;
};

static struct counter taken_total = {"parsleyfall_agent_taken_total",
                                     "Requests taken.", NULL, COUNTER_TOTAL};
static struct counter refused_total = {"parsleyfall_agent_refused_total",
                                       "Requests refused before a start.",
                                       NULL, COUNTER_TOTAL};
static struct counter fenced_total = {
    "parsleyfall_agent_fenced_total",
    "Attempts withdrawn before they started.", NULL, COUNTER_TOTAL};
static struct counter service_ms = {
    "parsleyfall_agent_upstream_ms",
    "Time from the start of a request to its whole answer.", NULL,
    COUNTER_LATENCY};

/* Finds an upstream by its service. */
static struct upstream *
find_upstream(struct work *w, const char *service)
{
    struct upstream *u;

    TAILQ_FOREACH (u, &w->upstreams, entry) {
        if (strcmp(u->service, service) == 0) {
            return u;
        }
    }
    return NULL;
}

/* Posts the services and their load to the task "links". */
static void
post_services(struct work *w)
{
    struct services_note *note = Mem_Zero(1, sizeof(*note));
    struct upstream *u;

    TAILQ_FOREACH (u, &w->upstreams, entry) {
        struct wire_service *s =
            Wire_ListAdd(&note->services, sizeof(struct wire_service));

        Str_Copy(s->name, sizeof(s->name), u->service);
        s->slots = (uint64_t)u->slots;
        s->connections = (uint64_t)u->connections;
        s->busy = (uint64_t)u->busy;
        s->healthy = !u->leaving;
    }
    Kernel_Post(Kernel_FindTask(w->task.kernel, "links"), &note->base,
                &Agent_Services);
}

/* Posts an entry's work in progress to the task "links". */
static void
post_busy(struct work *w, const struct entry_load *load)
{
    struct busy_note *note = Mem_Zero(1, sizeof(*note));

    Str_Copy(note->origin, sizeof(note->origin), load->address);
    note->count = load->count;
    Wire_ListCopy(&note->own, &load->running, sizeof(uint64_t));
    Kernel_Post(Kernel_FindTask(w->task.kernel, "links"), &note->base,
                &Agent_Busy);
}

/* Finds or adds the load record of an entry. */
static struct entry_load *
find_load(struct work *w, const char *address)
{
    struct entry_load *load;

    TAILQ_FOREACH (load, &w->loads, entry) {
        if (strcmp(load->address, address) == 0) {
            return load;
        }
    }
    load = Mem_Zero(1, sizeof(*load));
    Str_Copy(load->address, sizeof(load->address), address);
    TAILQ_INSERT_TAIL(&w->loads, load, entry);
    return load;
}

/* Frees the load record of an entry. */
static void
remove_load(struct work *w, struct entry_load *load)
{
    TAILQ_REMOVE(&w->loads, load, entry);
    free(load->running.items);
    free(load);
}

/* Adds to the counts of an attempt's entry: `open` to its attempts in
 * progress, `running` to those that run at the upstream. Posts the result to
 * the task "links". */
static void
adjust_load(struct work *w, const struct attempt *at, int open, int running)
{
    struct entry_load *load = find_load(w, at->origin);
    const struct upstream *u = find_upstream(w, at->service);
    uint64_t *n;

    while (load->running.count <= u->index) {
        Wire_ListAdd(&load->running, sizeof(uint64_t));
    }
    n = (uint64_t *)load->running.items + u->index;
    *n += (uint64_t)(int64_t)running;
    load->count += open;
    post_busy(w, load);
    if (load->count == 0) {
        remove_load(w, load);
    }
}

/* Replies to a dispatch that it was taken or refused. */
static void
send_taken(struct work *w, const char *origin, const struct wire_dispatch *m,
           bool taken, const char *reason, int64_t retry_after_ms)
{
    struct wire_taken *reply = Wire_New(WIRE_TAKEN);

    reply->request = m->request;
    reply->attempt = m->attempt;
    reply->taken = taken;
    reply->retry_after_ms = retry_after_ms;
    Str_Copy(reply->reason, sizeof(reply->reason), reason);
    if (!taken) {
        char hex[ID_HEX_SIZE];

        Counter_Add(&refused_total, 1);
        LOG_I("refused", KV("request", Id_Hex(&m->request, hex)),
              KV_INT("attempt", m->attempt), KV("reason", reason));
    }
    Agent_Send(w->task.kernel, origin, &reply->msg);
}

/* Sends a copy of an attempt's answer to one entry. */
static void
send_answer_to(struct work *w, const struct attempt *at, const char *origin)
{
    struct wire_answer *copy = Wire_New(WIRE_ANSWER);
    struct buf body = {0};

    *copy = *at->answer;
    Buf_Append(&body, at->answer->body.data, at->answer->body.len);
    copy->body = body;
    Agent_Send(w->task.kernel, origin, &copy->msg);
}

/* Sends the answer of an attempt to its entry. An entry that has taken the
 * attempt over by a withdraw may have considered the first entry dead too
 * early: the first one receives the answer as well, so that its caller does
 * not wait for the deadline. */
static void
send_answer(struct work *w, const struct attempt *at)
{
    send_answer_to(w, at, at->origin);
    if (at->previous_origin[0] != '\0') {
        send_answer_to(w, at, at->previous_origin);
    }
}

/* Kind of the answer, from the result of the call. */
static enum answer_kind
answer_kind(const struct http_result *r)
{
    if (r->err == ERR_OK) {
        return ANSWER_COMPLETE;
    }
    return r->err == ERR_UNREACHABLE ? ANSWER_NOT_RUN : ANSWER_UNKNOWN;
}

/* Builds the answer, which is kept until the entry has settled it. */
static struct wire_answer *
make_answer(const struct attempt *at, struct http_result *r, int64_t now)
{
    struct wire_answer *a = Wire_New(WIRE_ANSWER);

    a->request = at->request;
    a->attempt = at->number;
    a->kind = answer_kind(r);
    a->status = (uint64_t)r->status;
    a->service_ms = now - at->started_at;
    Str_Copy(a->reason, sizeof(a->reason),
             r->err == ERR_OK ? "answered" : Err_Name(r->err));
    if (r->err == ERR_OK) {
        Str_Copy(a->content_type, sizeof(a->content_type), r->content_type);
        Buf_Move(&a->body, &r->body);
    }
    return a;
}

/* Stores and sends the answer when the call to the upstream has ended. */
static void
on_done(void *arg, struct http_result *r)
{
    struct call *c = arg;
    struct work *w = c->work;
    struct attempt *at = c->attempt;
    int64_t now = Clock_NowMs();
    char hex[ID_HEX_SIZE];

    at->call = NULL;
    at->answer = make_answer(at, r, now);
    at->state = ATTEMPT_DONE;
    c->upstream->busy--;
    Counter_Observe(&service_ms, now - at->started_at);
    LOG_I("answered", KV("request", Id_Hex(&at->request, hex)),
          KV_INT("attempt", at->number), KV("result", at->answer->reason),
          KV_INT("status", r->status), KV_INT("ms", now - at->started_at));
    send_answer(w, at);
    post_services(w);
    adjust_load(w, at, 0, -1);
    at->context = NULL;
    free(c);
}

/* Calls the upstream for a taken attempt. */
static void
call_upstream(struct work *w, struct upstream *u, struct attempt *at,
              const struct wire_dispatch *m)
{
    struct call *c = Mem_Zero(1, sizeof(*c));
    char hex[ID_HEX_SIZE], number[24];
    struct http_header headers[] = {
        {"X-Request-Id", Id_Hex(&m->request, hex)},
        {"X-Attempt", number},
        {"Content-Type", m->content_type},
    };
    struct http_request request = {
        .method = "POST",
        .url = u->url,
        .headers = headers,
        .header_count = m->content_type[0] != '\0' ? 3 : 2,
        .body = m->body.data ? m->body.data : "",
        .body_len = m->body.len,
        .timeout_ms = m->timeout_ms < u->timeout_ms || u->timeout_ms == 0
                          ? m->timeout_ms
                          : u->timeout_ms,
        .once = !m->repeatable,
    };

    snprintf(number, sizeof(number), "%llu", (unsigned long long)m->attempt);
    c->work = w;
    c->attempt = at;
    c->upstream = u;
    u->busy++;
    at->context = c;
    at->call = Http_Call(u->client, &request, on_done, c);
}

/* Returns why no request can be started at an upstream; NULL when one can. */
static const char *
refusal_reason(const struct work *w, const struct upstream *u)
{
    if (w->leaving) {
        return "leaving";
    }
    if (u == NULL) {
        return "no_such_service";
    }
    if (u->leaving) {
        return "upstream_leaving";
    }
    return u->busy >= u->slots || u->busy >= u->connections ? "no_slot" : NULL;
}

/* Starts a new attempt, or fences it and refuses the dispatch. */
static void
start_new(struct work *w, const char *origin, struct attempt *at,
          const struct wire_dispatch *m)
{
    struct upstream *u = find_upstream(w, m->service);
    const char *why = refusal_reason(w, u);
    char hex[ID_HEX_SIZE];

    if (why != NULL) {
        Attempts_Fence(at);
        send_taken(w, origin, m, false, why,
                   w->leaving ? LEAVE_RETRY_MS : BUSY_RETRY_MS);
        return;
    }
    Str_Copy(at->origin, sizeof(at->origin), origin);
    at->answer_kept_until = at->started_at + m->timeout_ms + ANSWER_KEEP_MS;
    w->unsettled++;
    adjust_load(w, at, 1, 1);
    Counter_Add(&taken_total, 1);
    LOG_I("taken", KV("request", Id_Hex(&m->request, hex)),
          KV_INT("attempt", m->attempt), KV("service", m->service));
    send_taken(w, origin, m, true, "taken", 0);
    call_upstream(w, u, at, m);
    post_services(w);
}

/* Handles a dispatch: starts the attempt, repeats the reply to a copy, or
 * refuses it. */
static void
handle_dispatch(struct work *w, const char *origin, const struct wire_msg *msg)
{
    const struct wire_dispatch *m = (const struct wire_dispatch *)msg;
    struct attempt *at;
    enum take_verdict v = Attempts_Take(&w->attempts, m, Agent_Incarnation(),
                                        Clock_NowMs(), &at);

    if (v == TAKE_NEW) {
        start_new(w, origin, at, m);
        return;
    }
    if (v == TAKE_RUNNING || v == TAKE_ANSWERED || v == TAKE_SETTLED) {
        send_taken(w, origin, m, true, Attempts_VerdictName(v), 0);
        if (v == TAKE_ANSWERED) {
            send_answer(w, at);
        }
        return;
    }
    send_taken(w, origin, m, false, Attempts_VerdictName(v), BUSY_RETRY_MS);
}

/* Handles a withdraw: fences an unknown attempt, or reports a taken one as
 * started and sends its answer if it has ended. The sender becomes the
 * attempt's origin, as the entry may have come back under another address. */
static void
handle_withdraw(struct work *w, const char *origin, const struct wire_msg *msg)
{
    const struct wire_withdraw *m = (const struct wire_withdraw *)msg;
    struct wire_withdrawn *reply = Wire_New(WIRE_WITHDRAWN);
    struct attempt *at;
    char hex[ID_HEX_SIZE];

    reply->request = m->request;
    reply->attempt = m->attempt;
    reply->verdict = Attempts_Withdraw(&w->attempts, m, Agent_Incarnation(),
                                       Clock_NowMs(), &at);
    if (reply->verdict == WITHDRAW_NOT_STARTED) {
        Counter_Add(&fenced_total, 1);
    }
    LOG_I("withdraw", KV("request", Id_Hex(&m->request, hex)),
          KV_INT("attempt", m->attempt), KV_INT("verdict", reply->verdict));
    Agent_Send(w->task.kernel, origin, &reply->msg);
    if (at != NULL && strcmp(at->origin, origin) != 0) {
        int running = at->state == ATTEMPT_RUNNING;

        adjust_load(w, at, -1, -running);
        Str_Copy(at->previous_origin, sizeof(at->previous_origin), at->origin);
        Str_Copy(at->origin, sizeof(at->origin), origin);
        adjust_load(w, at, 1, running);
    }
    if (at != NULL && at->state == ATTEMPT_DONE) {
        send_answer(w, at);
    }
}

/* Removes a finished attempt from the load of its entry. */
static void
remove_from_load(struct work *w, struct attempt *at)
{
    w->unsettled--;
    adjust_load(w, at, -1, 0);
}

/* Drops an answer that the entry has received. */
static void
handle_settled(struct work *w, const char *origin UNUSED,
               const struct wire_msg *msg)
{
    const struct wire_settled *m = (const struct wire_settled *)msg;
    struct attempt *at = Attempts_Find(&w->attempts, &m->request, m->attempt);

    if (at == NULL || at->state != ATTEMPT_DONE) {
        return;
    }
    remove_from_load(w, at);
    Attempts_Settle(at);
}

static const struct {
    enum wire_type type;
    void (*handle)(struct work *, const char *, const struct wire_msg *);
} handlers[] = {
    {WIRE_DISPATCH, handle_dispatch},
    {WIRE_WITHDRAW, handle_withdraw},
    {WIRE_SETTLED, handle_settled},
};

/* Handles a message from an entry. */
static void
handle_inbound(struct work *w, struct message *m)
{
    struct inbound *in = (struct inbound *)m;
    size_t i;

    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].type == in->m->type) {
            handlers[i].handle(w, in->origin, in->m);
            return;
        }
    }
}

/* Adds an upstream or updates its settings. */
static void
set_upstream(struct work *w, const char *service, const char *url,
             int64_t slots, int64_t connections, int64_t timeout_ms)
{
    struct upstream *u = find_upstream(w, service);

    if (u == NULL) {
        u = Mem_Zero(1, sizeof(*u));
        Str_Copy(u->service, sizeof(u->service), service);
        u->client = Http_ClientNew(w->task.kernel->loop, (long)connections);
        u->index = w->upstream_count++;
        TAILQ_INSERT_TAIL(&w->upstreams, u, entry);
    }
    free(u->url);
    u->url = Mem_Dup(url);
    u->slots = slots;
    u->connections = connections;
    u->timeout_ms = timeout_ms;
    u->leaving = false;
}

/* Adds, updates or retires an announced upstream. */
static void
handle_upstream(struct work *w, struct message *m)
{
    struct upstream_note *note = (struct upstream_note *)m;
    struct upstream *u = find_upstream(w, note->service);

    if (note->slots > 0) {
        set_upstream(w, note->service, note->url, (int64_t)note->slots,
                     (int64_t)note->connections, u ? u->timeout_ms : 0);
    }
    else if (u != NULL) {
        u->leaving = true;
    }
    post_services(w);
}

/* Handles a message by its kind. */
static void
work_receive(struct task *t, struct message *m)
{
    struct work *w = (struct work *)t;

    if (m->kind == &Agent_Inbound) {
        handle_inbound(w, m);
    }
    else if (m->kind == &Agent_Upstream) {
        handle_upstream(w, m);
    }
}

/* Drops fences past their not_after, and answers that were kept long enough:
 * the entry of an unsettled answer has died or given up at its deadline. */
static void
on_sweep(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    struct work *w = timer->data;
    struct attempt *at, *next;
    int64_t now = Clock_NowMs();

    RB_FOREACH_SAFE (at, attempt_tree, &w->attempts.tree, next) {
        if (at->state == ATTEMPT_DONE && now >= at->answer_kept_until) {
            char hex[ID_HEX_SIZE];

            LOG_W("answer_unclaimed", KV("request", Id_Hex(&at->request, hex)),
                  KV_INT("attempt", at->number));
            remove_from_load(w, at);
            Attempts_Settle(at);
        }
    }
    Attempts_Sweep(&w->attempts, now);
}

/* Refuses new requests from now on. */
static void
work_drain(struct task *t)
{
    ((struct work *)t)->leaving = true;
}

/* True when every taken request has been answered and settled. */
static bool
work_drained(const struct task *t)
{
    return ((const struct work *)t)->unsettled == 0;
}

/* Upstreams and attempts as JSON, for operators. */
static json_t *
work_state(const struct task *t)
{
    const struct work *w = (const struct work *)t;
    json_t *list = json_array();
    const struct upstream *u;

    TAILQ_FOREACH (u, &w->upstreams, entry) {
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:I, s:I, s:I, s:b}", "service", u->service,
                      "url", u->url, "slots", (json_int_t)u->slots,
                      "connections", (json_int_t)u->connections, "busy",
                      (json_int_t)u->busy, "leaving", u->leaving));
    }
    return json_pack("{s:o, s:I, s:I, s:b}", "upstreams", list, "open",
                     (json_int_t)w->unsettled, "attempts",
                     (json_int_t)w->attempts.count, "leaving", w->leaving);
}

/* Ends every call and frees the records. */
static void
work_free(struct task *t)
{
    struct work *w = (struct work *)t;
    struct upstream *u, *next;
    struct entry_load *load, *onext;
    struct attempt *at;

    RB_FOREACH (at, attempt_tree, &w->attempts.tree) {
        at->call = NULL;
    }
    TAILQ_FOREACH_SAFE (u, &w->upstreams, entry, next) {
        Http_ClientFree(u->client);
        free(u->url);
        free(u);
    }
    TAILQ_FOREACH_SAFE (load, &w->loads, entry, onext) {
        remove_load(w, load);
    }
    Attempts_Free(&w->attempts);
    ev_timer_stop(t->kernel->loop, &w->sweep);
    free(w);
}

static const struct task_ops work_ops = {
    .name = "work",
    .receive = work_receive,
    .drain = work_drain,
    .drained = work_drained,
    .state = work_state,
    .free = work_free,
};

/* Starts the task with the upstreams of the settings. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct work *w = Mem_Zero(1, sizeof(*w));
    size_t i;

    Attempts_Init(&w->attempts);
    TAILQ_INIT(&w->upstreams);
    TAILQ_INIT(&w->loads);
    Kernel_AddTask(k, &w->task, &work_ops);
    for (i = 0; i < s->services.count; i++) {
        const struct upstream_settings *u =
            CONFIG_AT(s->services, struct upstream_settings, i);

        set_upstream(w, u->name, u->url, u->slots, u->connections,
                     u->timeout_ms);
    }
    post_services(w);
    ev_init(&w->sweep, on_sweep);
    w->sweep.data = w;
    Timer_Every(k->loop, &w->sweep, SWEEP_MS);
    return ERR_OK;
}

static struct plugin work_plugin = {
    .name = "work", .rank = 20, .start = start};
KERNEL_PLUGIN(work_plugin)
