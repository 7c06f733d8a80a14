/* Stand-in for a worker of the hosted platform, to its published protocol:
 * runs under a lease that the holder renews, a fencing token, ends that are
 * listed until they are noted. A run lasts as many milliseconds as its
 * payload says; "fail" makes it fail. GET /starts tells what was started.
 * "crash" crashes the worker as soon as its start is answered: it is there
 * again at once, as another lifetime that runs and knows nothing.
 * One of the form "advised:MS" is refused without the adviser's ticket.
 * A run with the payload "serves" has a latency of 50 ms, to which each one
 * with the payload "fills" adds 100 ms at its full share; GET /shares tells
 * the shares that were ordered.
 *
 * PUT /say with "draining" or "leave" changes what it reports. With "born" it
 * tells from then on when it was born, and starts anew under the id that it
 * has; "restart" lets it crash. */
#include "fake.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 200
#define CRASH_MS 10
#define TASK_SIZE 128

struct run {
    struct worker *worker;
    char task[TASK_SIZE];
    uint64_t run;
    int64_t begun_ms;
    int64_t work_ms;
    int64_t share; /* percent */
    bool fails;
    bool crashes;
    bool serves;
    bool fills;
    ev_timer end;
    TAILQ_ENTRY(run) entry;
};

struct ended {
    uint64_t number;
    char task[TASK_SIZE];
    uint64_t run;
    const char *how;
    TAILQ_ENTRY(ended) entry;
};

struct worker {
    struct task task;
    struct http_server *server;
    struct http_client *client;
    char id[TASK_SIZE];
    const char *first_id;
    int lifetimes; /* beyond the first */
    bool tells_born;
    const char *rack;
    const char *heartbeats; /* address of the agent */
    const char *state;
    uint64_t sequence;
    uint64_t term;
    uint64_t ends;
    int64_t until_ms;
    json_t *starts; /* "TASK/RUN", in order */
    TAILQ_HEAD(, run) runs;
    TAILQ_HEAD(, ended) ended;
    struct http_exchange *holding; /* a poll that waits for an end */
    ev_timer hold_limit;
    ev_timer heartbeat;
    ev_timer lease;
};

/* Latency of a run that serves, beside those that fill the worker. */
static int64_t
latency(const struct worker *w)
{
    const struct run *r;
    int64_t sum = 50;

    TAILQ_FOREACH (r, &w->runs, entry) {
        sum += r->fills ? r->share : 0;
    }
    return sum;
}

/* Adds when this lifetime began, if it tells. */
static json_t *
with_born(const struct worker *w, json_t *o)
{
    static const json_int_t first_born = 1700000000000;

    if (w->tells_born) {
        json_object_set_new(o, "born",
                            json_integer(first_born + w->lifetimes));
    }
    return o;
}

/* Both lists, as a poll shows them. */
static json_t *
lists(const struct worker *w)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    const struct run *r;
    const struct ended *e;

    TAILQ_FOREACH (r, &w->runs, entry) {
        int64_t percent =
            100 * (Clock_NowMs() - r->begun_ms) / (r->work_ms + 1);

        json_array_append_new(
            running, json_pack("[s,I,s,I,I]", r->task, (json_int_t)r->run, "",
                               (json_int_t)percent,
                               (json_int_t)(r->serves ? latency(w) : 0)));
    }
    TAILQ_FOREACH (e, &w->ended, entry) {
        json_array_append_new(
            ended, json_pack("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                             (json_int_t)e->run, e->how, ""));
    }
    return with_born(w, json_pack("{s:I,s:o,s:o}", "clock-ms",
                                  (json_int_t)Clock_NowMs(), "running",
                                  running, "ended", ended));
}

/* Answers the poll that waits. */
static void
release(struct worker *w)
{
    struct http_exchange *ex = w->holding;

    w->holding = NULL;
    ev_timer_stop(w->task.kernel->loop, &w->hold_limit);
    if (ex != NULL) {
        Fake_Reply(ex, 200, lists(w));
    }
}

static void
on_hold_limit(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    release(t->data);
}

/* Ends a run and lists its end. */
static void
finish(struct run *r, const char *how)
{
    struct worker *w = r->worker;
    struct ended *e = Mem_Zero(1, sizeof(*e));

    e->number = ++w->ends;
    Str_Copy(e->task, sizeof(e->task), r->task);
    e->run = r->run;
    e->how = how;
    TAILQ_INSERT_TAIL(&w->ended, e, entry);
    TAILQ_REMOVE(&w->runs, r, entry);
    ev_timer_stop(w->task.kernel->loop, &r->end);
    free(r);
    release(w);
}

/* Starts anew as another lifetime: whatever ran or had ended is gone. */
static void
crash(struct worker *w)
{
    struct ended *e;
    struct run *r;

    while ((r = TAILQ_FIRST(&w->runs)) != NULL) {
        TAILQ_REMOVE(&w->runs, r, entry);
        ev_timer_stop(w->task.kernel->loop, &r->end);
        free(r);
    }
    while ((e = TAILQ_FIRST(&w->ended)) != NULL) {
        TAILQ_REMOVE(&w->ended, e, entry);
        free(e);
    }
    ev_timer_stop(w->task.kernel->loop, &w->lease);
    w->term = 0;
    w->ends = 0;
    w->sequence = 0;
    w->until_ms = 0;
    w->lifetimes++;
    if (!w->tells_born) {
        snprintf(w->id, sizeof(w->id), "%s-%d", w->first_id, w->lifetimes);
    }
}

static void
on_end(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct run *r = t->data;

    if (r->crashes) {
        crash(r->worker);
        return;
    }
    finish(r, r->fails ? "failed" : "done");
}

/* The lease is over: everything is killed. */
static void
on_lease(struct ev_loop *loop, ev_timer *t, int events UNUSED)
{
    struct worker *w = t->data;
    int64_t left = w->until_ms - Clock_NowMs();

    if (left > 0) {
        Timer_Set(loop, t, left);
        return;
    }
    while (!TAILQ_EMPTY(&w->runs)) {
        finish(TAILQ_FIRST(&w->runs), "lapsed");
    }
}

/* Takes a lease, which never shortens. */
static void
extend(struct worker *w, int64_t until_ms)
{
    if (until_ms > w->until_ms) {
        w->until_ms = until_ms;
        Timer_Set(w->task.kernel->loop, &w->lease, until_ms - Clock_NowMs());
    }
}

/* Refuses an order. */
static void
refuse(struct http_exchange *ex, const char *reason)
{
    Fake_Reply(ex, 409,
               json_pack("{s:I,s:s}", "clock-ms", (json_int_t)Clock_NowMs(),
                         "reason", reason));
}

/* POST /run-start */
static void
start(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *payload = json_string_value(json_object_get(o, "task-spec"));
    char started[TASK_SIZE + 24];
    const char *ticket = json_string_value(json_object_get(o, "ticket"));
    struct run *r;

    if (Fake_Int(o, "until-ms", 0) <= Clock_NowMs()) {
        refuse(ex, "late");
        return;
    }
    TAILQ_FOREACH (r, &w->runs, entry) {
        if (strcmp(r->task, task) == 0) {
            Fake_Reply(
                ex, 200,
                json_pack("{s:I}", "clock-ms", (json_int_t)Clock_NowMs()));
            return;
        }
    }
    if (strncmp(payload, "advised:", 8) == 0) {
        if (ticket == NULL || strcmp(ticket, "ticket-of-adviser") != 0) {
            refuse(ex, "ticket");
            return;
        }
        payload += 8;
    }
    r = Mem_Zero(1, sizeof(*r));
    r->worker = w;
    Str_Copy(r->task, sizeof(r->task), task);
    r->run = (uint64_t)Fake_Int(o, "run", 0);
    r->begun_ms = Clock_NowMs();
    r->fails = strcmp(payload, "fail") == 0;
    r->share = 100;
    r->serves = strcmp(payload, "serves") == 0;
    r->fills = strcmp(payload, "fills") == 0;
    r->crashes = strcmp(payload, "crash") == 0;
    r->work_ms = r->fails                ? 50
                 : r->crashes            ? CRASH_MS
                 : r->serves || r->fills ? 60000
                                         : strtoll(payload, NULL, 10);
    snprintf(started, sizeof(started), "%s/%llu", task,
             (unsigned long long)r->run);
    json_array_append_new(w->starts, json_string(started));
    TAILQ_INSERT_TAIL(&w->runs, r, entry);
    ev_init(&r->end, on_end);
    r->end.data = r;
    Timer_Set(w->task.kernel->loop, &r->end, r->work_ms);
    extend(w, Fake_Int(o, "until-ms", 0));
    Fake_Reply(ex, 200,
               json_pack("{s:I}", "clock-ms", (json_int_t)Clock_NowMs()));
}

/* POST /run-stop */
static void
stop(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    struct run *r, *next;

    Fake_Reply(ex, 200,
               json_pack("{s:I}", "clock-ms", (json_int_t)Clock_NowMs()));
    TAILQ_FOREACH_SAFE (r, &w->runs, entry, next) {
        if (strcmp(r->task, task) == 0) {
            finish(r, "stopped");
        }
    }
}

/* POST /pace: the share at which a run may work. */
static void
set_share(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    struct run *r;

    TAILQ_FOREACH (r, &w->runs, entry) {
        if (strcmp(r->task, task) == 0) {
            r->share = Fake_Int(o, "percent", 100);
        }
    }
    Fake_Reply(ex, 200,
               json_pack("{s:I}", "clock-ms", (json_int_t)Clock_NowMs()));
}

/* GET /shares: by task. */
static json_t *
shares(const struct worker *w)
{
    json_t *o = json_object();
    const struct run *r;

    TAILQ_FOREACH (r, &w->runs, entry) {
        json_object_set_new(o, r->task, json_integer(r->share));
    }
    return o;
}

/* POST /hold */
static void
hold(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    uint64_t seen = (uint64_t)Fake_Int(o, "last-seen", 0);
    int64_t wait = Fake_Int(o, "wait-ms", 0);
    struct ended *e;

    while ((e = TAILQ_FIRST(&w->ended)) != NULL && e->number <= seen) {
        TAILQ_REMOVE(&w->ended, e, entry);
        free(e);
    }
    extend(w, Fake_Int(o, "until-ms", 0));
    if (wait == 0 || !TAILQ_EMPTY(&w->ended)) {
        Fake_Reply(ex, 200, lists(w));
        return;
    }
    release(w);
    w->holding = ex;
    Timer_Set(w->task.kernel->loop, &w->hold_limit, wait);
}

static const struct {
    const char *path;
    void (*serve)(struct worker *, struct http_exchange *, const json_t *);
} calls[] = {{"/run-start", start},
             {"/run-stop", stop},
             {"/hold", hold},
             {"/pace", set_share}};

/* PUT /say: what a test wants of it. */
static void
say(struct worker *w, const char *what)
{
    if (strcmp(what, "restart") == 0) {
        crash(w);
        return;
    }
    w->tells_born = w->tells_born || strcmp(what, "born") == 0;
    w->state = strncmp(what, "drain", 5) == 0 ? "draining" : "ready";
}

/* A call of the agent, fenced by lifetime and token. */
static void
on_call(void *arg, struct http_exchange *ex)
{
    struct worker *w = arg;
    const char *expected = Http_Header(ex, "Parsleyfall-Expected-Instance");
    uint64_t term;
    json_t *o;

    if (strcmp(Http_Path(ex), "/starts") == 0) {
        Fake_Reply(ex, 200, json_incref(w->starts));
        return;
    }
    if (strcmp(Http_Path(ex), "/shares") == 0) {
        Fake_Reply(ex, 200, shares(w));
        return;
    }
    if (strcmp(Http_Path(ex), "/say") == 0) {
        say(w, Http_Body(ex)->data);
        Fake_Reply(ex, 200, json_object());
        return;
    }
    if (expected != NULL && strcmp(expected, w->id) != 0) {
        Fake_Reply(ex, 421, json_object());
        return;
    }
    o = Fake_Body(ex);
    if (o == NULL) {
        return;
    }
    term = (uint64_t)Fake_Int(o, "fencing-token", 0);
    if (term < w->term) {
        refuse(ex, "fence");
        json_decref(o);
        return;
    }
    w->term = term;
    for (size_t i = 0; i < COUNT_OF(calls); i++) {
        if (strcmp(Http_Path(ex), calls[i].path) == 0) {
            calls[i].serve(w, ex, o);
            json_decref(o);
            return;
        }
    }
    Fake_Reply(ex, 404, json_object());
    json_decref(o);
}

static void
on_heartbeat_answered(void *arg UNUSED, struct http_result *r UNUSED)
{
}

/* Reports to the agent. */
static void
on_heartbeat(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct worker *w = t->data;
    struct buf url CLEANUP(Buf_Free) = {0};
    struct http_request r = {.method = "POST", .timeout_ms = 1000};
    json_t *o = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I}",
        "service", "pool", "address", "127.0.0.1:1", "zone", "a", "state",
        w->state, "version", "v1", "slots", 8, "cold-remaining-ms", 0,
        "capacity", "cpu", 16000, "mem-mb", 64000, "gpu", 8, "labels", "a",
        w->rack, "clock-ms", (json_int_t)Clock_NowMs(), "sequence",
        (json_int_t)++w->sequence);
    char *text = json_dumps(with_born(w, o), JSON_COMPACT);

    Buf_Printf(&url, "http://%s/Instances.Heartbeat/%s", w->heartbeats, w->id);
    r.url = url.data;
    r.body = text;
    r.body_len = strlen(text);
    Http_Call(w->client, &r, on_heartbeat_answered, NULL);
    free(text);
    json_decref(o);
}

static const struct task_ops worker_ops = {.name = "worker"};

int
main(int argc, char **argv)
{
    struct arg_file *file =
        arg_file1(NULL, "port-file", "FILE", "gets the port");
    struct arg_int *port = arg_int0(NULL, "port", "N", "0: any");
    struct arg_str *id = arg_str1(NULL, "id", "ID", "its lifetime");
    struct arg_str *heartbeats =
        arg_str1(NULL, "beats", "IP:PORT", "the agent");
    struct arg_end *end = arg_end(5);
    void *table[] = {file, port, id, heartbeats, end};
    struct worker w = {.state = "ready", .rack = "r1"};
    struct kernel k;

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    w.first_id = id->sval[0];
    Str_Copy(w.id, sizeof(w.id), w.first_id);
    w.heartbeats = heartbeats->sval[0];
    w.starts = json_array();
    TAILQ_INIT(&w.runs);
    TAILQ_INIT(&w.ended);
    Kernel_Init(&k, "hosted-worker", NULL, 100);
    Kernel_AddTask(&k, &w.task, &worker_ops);
    w.client = Http_ClientNew(k.loop, 4);
    ev_init(&w.hold_limit, on_hold_limit);
    ev_init(&w.heartbeat, on_heartbeat);
    ev_init(&w.lease, on_lease);
    w.hold_limit.data = w.heartbeat.data = w.lease.data = &w;
    w.server = Fake_Listen(k.loop, port->count ? port->ival[0] : 0,
                           file->filename[0], on_call, &w);
    Timer_Every(k.loop, &w.heartbeat, HEARTBEAT_MS);
    Kernel_Run(&k);
    _Exit(0); /* a poll may still wait; nothing here has to be kept */
}
