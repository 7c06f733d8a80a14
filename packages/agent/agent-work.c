#include "agent.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SWEEP_MS 500
#define KEEP_ANSWER_MS 10000 /* beyond the deadline, for entries cut off */
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

/* How much an entry has in progress here. */
struct origin {
    char address[NAME_SIZE];
    int count;                /* running, or answered and not settled */
    struct wire_list running; /* uint64: by upstream, in their order */
    TAILQ_ENTRY(origin) entry;
};

struct work {
    struct task task;
    struct attempts attempts;
    TAILQ_HEAD(, upstream) upstreams;
    TAILQ_HEAD(, origin) origins;
    size_t upstream_count;
    size_t open; /* running, or answered and not settled */
    bool leaving;
    ev_timer sweep;
};

/* What a callback of the client needs to find its attempt again. */
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

/* Tells the links task which services there are and how busy. */
static void
tell_services(struct work *w)
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

/* Tells the links task what an entry has in progress here. */
static void
tell_busy(struct work *w, const struct origin *o)
{
    struct busy_note *note = Mem_Zero(1, sizeof(*note));

    Str_Copy(note->origin, sizeof(note->origin), o->address);
    note->count = o->count;
    Wire_ListCopy(&note->own, &o->running, sizeof(uint64_t));
    Kernel_Post(Kernel_FindTask(w->task.kernel, "links"), &note->base,
                &Agent_Busy);
}

/* Finds or adds the account of an entry. */
static struct origin *
find_origin(struct work *w, const char *address)
{
    struct origin *o;

    TAILQ_FOREACH (o, &w->origins, entry) {
        if (strcmp(o->address, address) == 0) {
            return o;
        }
    }
    o = Mem_Zero(1, sizeof(*o));
    Str_Copy(o->address, sizeof(o->address), address);
    TAILQ_INSERT_TAIL(&w->origins, o, entry);
    return o;
}

/* Frees the account of an entry. */
static void
drop_origin(struct work *w, struct origin *o)
{
    TAILQ_REMOVE(&w->origins, o, entry);
    free(o->running.items);
    free(o);
}

/* Counts work in progress for an entry, and of it what runs at an upstream,
 * and tells the links task. */
static void
count_origin(struct work *w, const struct attempt *at, int open, int running)
{
    struct origin *o = find_origin(w, at->origin);
    const struct upstream *u = find_upstream(w, at->service);
    uint64_t *n;

    while (o->running.count <= u->index) {
        Wire_ListAdd(&o->running, sizeof(uint64_t));
    }
    n = (uint64_t *)o->running.items + u->index;
    *n += (uint64_t)(int64_t)running;
    o->count += open;
    tell_busy(w, o);
    if (o->count == 0) {
        drop_origin(w, o);
    }
}

/* Says taken or refused. */
static void
say_taken(struct work *w, const char *origin, const struct wire_dispatch *m,
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
    Agent_Say(w->task.kernel, origin, &reply->msg);
}

/* Says the kept answer of an attempt to one entry. */
static void
say_answer_to(struct work *w, const struct attempt *at, const char *origin)
{
    struct wire_answer *copy = Wire_New(WIRE_ANSWER);
    struct buf body = {0};

    *copy = *at->answer;
    Buf_Append(&body, at->answer->body.data, at->answer->body.len);
    copy->body = body;
    Agent_Say(w->task.kernel, origin, &copy->msg);
}

/* Says the kept answer of an attempt. An entry that asked about another
 * entry's attempt may have taken it for dead too early: the first one hears
 * the answer too, and its caller need not wait for the deadline. */
static void
say_answer(struct work *w, const struct attempt *at)
{
    say_answer_to(w, at, at->origin);
    if (at->earlier[0] != '\0') {
        say_answer_to(w, at, at->earlier);
    }
}

/* How an attempt ended, from the result of its call. */
static enum answer_kind
answer_kind(const struct http_result *r)
{
    if (r->err == ERR_OK) {
        return ANSWER_COMPLETE;
    }
    return r->err == ERR_UNREACHABLE ? ANSWER_NOT_RUN : ANSWER_UNKNOWN;
}

/* Makes the answer that is kept until the entry has settled it. */
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

/* The upstream's call has ended. */
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
    say_answer(w, at);
    tell_services(w);
    count_origin(w, at, 0, -1);
    at->context = NULL;
    free(c);
}

/* Hands a taken attempt to its upstream. */
static void
run(struct work *w, struct upstream *u, struct attempt *at,
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

/* Why an upstream can't take one more; NULL when it can. */
static const char *
why_not(const struct work *w, const struct upstream *u)
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

/* Starts a new attempt, or refuses it before anything has started. */
static void
take_new(struct work *w, const char *origin, struct attempt *at,
         const struct wire_dispatch *m)
{
    struct upstream *u = find_upstream(w, m->service);
    const char *why = why_not(w, u);
    char hex[ID_HEX_SIZE];

    if (why != NULL) {
        Attempts_Fence(at);
        say_taken(w, origin, m, false, why,
                  w->leaving ? LEAVE_RETRY_MS : BUSY_RETRY_MS);
        return;
    }
    Str_Copy(at->origin, sizeof(at->origin), origin);
    at->claim_by = at->started_at + m->timeout_ms + KEEP_ANSWER_MS;
    w->open++;
    count_origin(w, at, 1, 1);
    Counter_Add(&taken_total, 1);
    LOG_I("taken", KV("request", Id_Hex(&m->request, hex)),
          KV_INT("attempt", m->attempt), KV("service", m->service));
    say_taken(w, origin, m, true, "taken", 0);
    run(w, u, at, m);
    tell_services(w);
}

/* A request comes to be run. */
static void
take_dispatch(struct work *w, const char *origin, const struct wire_msg *msg)
{
    const struct wire_dispatch *m = (const struct wire_dispatch *)msg;
    struct attempt *at;
    enum take_verdict v = Attempts_Take(&w->attempts, m, Agent_Incarnation(),
                                        Clock_NowMs(), &at);

    if (v == TAKE_NEW) {
        take_new(w, origin, at, m);
        return;
    }
    if (v == TAKE_AGAIN || v == TAKE_ANSWERED || v == TAKE_SETTLED) {
        say_taken(w, origin, m, true, Attempts_VerdictName(v), 0);
        if (v == TAKE_ANSWERED) {
            say_answer(w, at);
        }
        return;
    }
    say_taken(w, origin, m, false, Attempts_VerdictName(v), BUSY_RETRY_MS);
}

/* An entry wants an attempt not to start, or asks how it stands. The origin
 * is noted anew: the entry may have come back under another address. */
static void
take_withdraw(struct work *w, const char *origin, const struct wire_msg *msg)
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
    Agent_Say(w->task.kernel, origin, &reply->msg);
    if (at != NULL && strcmp(at->origin, origin) != 0) {
        int running = at->state == ATTEMPT_RUNNING;

        count_origin(w, at, -1, -running);
        Str_Copy(at->earlier, sizeof(at->earlier), at->origin);
        Str_Copy(at->origin, sizeof(at->origin), origin);
        count_origin(w, at, 1, running);
    }
    if (at != NULL && at->state == ATTEMPT_DONE) {
        say_answer(w, at);
    }
}

/* A finished attempt leaves the account. */
static void
close_attempt(struct work *w, struct attempt *at)
{
    w->open--;
    count_origin(w, at, -1, 0);
}

/* An entry has the answer. */
static void
take_settled(struct work *w, const char *origin UNUSED,
             const struct wire_msg *msg)
{
    const struct wire_settled *m = (const struct wire_settled *)msg;
    struct attempt *at = Attempts_Find(&w->attempts, &m->request, m->attempt);

    if (at == NULL || at->state != ATTEMPT_DONE) {
        return;
    }
    close_attempt(w, at);
    Attempts_Settle(at);
}

static const struct {
    enum wire_type type;
    void (*take)(struct work *, const char *, const struct wire_msg *);
} speakers[] = {
    {WIRE_DISPATCH, take_dispatch},
    {WIRE_WITHDRAW, take_withdraw},
    {WIRE_SETTLED, take_settled},
};

/* What an entry said. */
static void
take_inbound(struct work *w, struct message *m)
{
    struct inbound *in = (struct inbound *)m;
    size_t i;

    for (i = 0; i < COUNT_OF(speakers); i++) {
        if (speakers[i].type == in->m->type) {
            speakers[i].take(w, in->origin, in->m);
            return;
        }
    }
}

/* Adds an upstream or changes what is known of it. */
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

/* An upstream has announced itself, or leaves. */
static void
take_upstream(struct work *w, struct message *m)
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
    tell_services(w);
}

/* Takes a message by its kind. */
static void
work_receive(struct task *t, struct message *m)
{
    struct work *w = (struct work *)t;

    if (m->kind == &Agent_Inbound) {
        take_inbound(w, m);
    }
    else if (m->kind == &Agent_Upstream) {
        take_upstream(w, m);
    }
}

/* Drops fences and answers whose time is over. An answer that nobody settled
 * belongs to an entry that has died or given up at its deadline. */
static void
on_sweep(struct ev_loop *loop UNUSED, ev_timer *timer, int events UNUSED)
{
    struct work *w = timer->data;
    struct attempt *at, *next;
    int64_t now = Clock_NowMs();

    RB_FOREACH_SAFE (at, attempt_tree, &w->attempts.tree, next) {
        if (at->state == ATTEMPT_DONE && now >= at->claim_by) {
            char hex[ID_HEX_SIZE];

            LOG_W("answer_unclaimed", KV("request", Id_Hex(&at->request, hex)),
                  KV_INT("attempt", at->number));
            close_attempt(w, at);
            Attempts_Settle(at);
        }
    }
    Attempts_Sweep(&w->attempts, now);
}

/* Takes nothing new. */
static void
work_drain(struct task *t)
{
    ((struct work *)t)->leaving = true;
}

/* True when every taken request has been answered and settled. */
static bool
work_drained(const struct task *t)
{
    return ((const struct work *)t)->open == 0;
}

/* Upstreams and attempts, for operators. */
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
                     (json_int_t)w->open, "attempts",
                     (json_int_t)w->attempts.count, "leaving", w->leaving);
}

/* Ends every call and frees the records. */
static void
work_free(struct task *t)
{
    struct work *w = (struct work *)t;
    struct upstream *u, *next;
    struct origin *o, *onext;
    struct attempt *at;

    RB_FOREACH (at, attempt_tree, &w->attempts.tree) {
        at->call = NULL;
    }
    TAILQ_FOREACH_SAFE (u, &w->upstreams, entry, next) {
        Http_ClientFree(u->client);
        free(u->url);
        free(u);
    }
    TAILQ_FOREACH_SAFE (o, &w->origins, entry, onext) {
        drop_origin(w, o);
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

/* Starts with the upstreams of the settings. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct work *w = Mem_Zero(1, sizeof(*w));
    size_t i;

    Attempts_Init(&w->attempts);
    TAILQ_INIT(&w->upstreams);
    TAILQ_INIT(&w->origins);
    Kernel_AddTask(k, &w->task, &work_ops);
    for (i = 0; i < s->services.count; i++) {
        const struct upstream_settings *u =
            CONFIG_AT(s->services, struct upstream_settings, i);

        set_upstream(w, u->name, u->url, u->slots, u->connections,
                     u->timeout_ms);
    }
    tell_services(w);
    ev_init(&w->sweep, on_sweep);
    w->sweep.data = w;
    Timer_Every(k->loop, &w->sweep, SWEEP_MS);
    return ERR_OK;
}

static struct plugin work_plugin = {
    .name = "work", .rank = 20, .start = start};
KERNEL_PLUGIN(work_plugin)
