/* Stand-in for a worker of the hosted platform, following its published
 * protocol: runs under a lease that the holder renews, a fencing token, and
 * ended runs that are listed until they are acknowledged.
 *
 * The payload of a run decides what it does:
 *   N          runs for N milliseconds and is done
 *   advised:N  the same, but its start is refused without a ticket of the
 *              adviser
 *   fail       fails after 50 ms
 *   crash      crashes the worker 10 ms after the response to its start; the
 *              worker restarts at once, as a lifetime without any runs
 *   serves     runs for 60 s with a latency of 50 ms
 *   fills      runs for 60 s; adds 100 ms to the latency at its full share
 *
 * GET /starts returns the runs that were started, GET /shares the shares that
 * were ordered.
 *
 * PUT /say controls the worker. "restart" crashes it; any other text sets the
 * state that it reports, to draining if it starts with "drain", to ready
 * otherwise; "drain N" also announces that it serves N milliseconds more.
 * After "born" it also reports its start time, and keeps its id when it
 * restarts. */
#include "fake.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 200
#define CRASH_MS 10
#define TASK_SIZE 128
#define ENDED_PAGE 500 /* ended runs in one response */

struct run {
    struct worker *worker;
    char task[TASK_SIZE];
    uint64_t run;
    int64_t started_ms;
    int64_t work_ms;
    int64_t share; /* percent of full speed */
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
    int restarts; /* so far */
    bool reports_start_time;
    const char *rack;
    const char *agent_address;
    const char *state;
    int64_t drain_end_ms; /* announced minimum time; 0: not announced */
    uint64_t sequence;
    uint64_t term;
    uint64_t last_end; /* number of the last end */
    int64_t until_ms;
    json_t *starts; /* "TASK/RUN", in order of their start */
    TAILQ_HEAD(, run) runs;
    TAILQ_HEAD(, ended) ended;
    struct http_exchange *waiting_poll; /* NULL: none */
    ev_timer poll_timer;
    ev_timer heartbeat;
    ev_timer lease;
};

/* Returns the latency of a serving run beside the filling ones. */
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

/* Adds the start time of this lifetime, if it is reported. */
static json_t *
with_start_time(const struct worker *w, json_t *o)
{
    static const json_int_t first_start_time = 1700000000000;

    if (w->reports_start_time) {
        json_object_set_new(o, "born",
                            json_integer(first_start_time + w->restarts));
    }
    return o;
}

/* Returns the response to a poll: the lists of running and ended runs. */
static json_t *
poll_response(const struct worker *w)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    const struct run *r;
    const struct ended *e;

    TAILQ_FOREACH (r, &w->runs, entry) {
        int64_t percent =
            100 * (Clock_NowMs() - r->started_ms) / (r->work_ms + 1);

        json_array_append_new(
            running, json_pack("[s,I,s,I,I]", r->task, (json_int_t)r->run, "",
                               (json_int_t)percent,
                               (json_int_t)(r->serves ? latency(w) : 0)));
    }
    TAILQ_FOREACH (e, &w->ended, entry) {
        if (json_array_size(ended) == ENDED_PAGE) {
            break;
        }
        json_array_append_new(
            ended, json_pack("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                             (json_int_t)e->run, e->how, ""));
    }
    return with_start_time(w, json_pack("{s:I,s:o,s:o}", "clock-ms",
                                        (json_int_t)Clock_NowMs(), "running",
                                        running, "ended", ended));
}

/* Responds to the waiting poll, if there is one. */
static void
reply_poll(struct worker *w)
{
    struct http_exchange *ex = w->waiting_poll;

    w->waiting_poll = NULL;
    ev_timer_stop(w->task.kernel->loop, &w->poll_timer);
    if (ex != NULL) {
        Fake_Reply(ex, 200, poll_response(w));
    }
}

static void
on_poll_timeout(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    reply_poll(t->data);
}

/* Ends a run, lists its end and responds to the waiting poll. */
static void
end_run(struct run *r, const char *how)
{
    struct worker *w = r->worker;
    struct ended *e = Mem_Zero(1, sizeof(*e));

    e->number = ++w->last_end;
    Str_Copy(e->task, sizeof(e->task), r->task);
    e->run = r->run;
    e->how = how;
    TAILQ_INSERT_TAIL(&w->ended, e, entry);
    TAILQ_REMOVE(&w->runs, r, entry);
    ev_timer_stop(w->task.kernel->loop, &r->end);
    free(r);
    reply_poll(w);
}

/* Restarts as another lifetime, which has no runs and no ended runs. */
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
    w->last_end = 0;
    w->sequence = 0;
    w->until_ms = 0;
    w->restarts++;
    if (!w->reports_start_time) {
        snprintf(w->id, sizeof(w->id), "%s-%d", w->first_id, w->restarts);
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
    end_run(r, r->fails ? "failed" : "done");
}

/* Ends all runs when the lease is over. */
static void
on_lease_end(struct ev_loop *loop, ev_timer *t, int events UNUSED)
{
    struct worker *w = t->data;
    int64_t left = w->until_ms - Clock_NowMs();

    if (left > 0) {
        Timer_Set(loop, t, left);
        return;
    }
    while (!TAILQ_EMPTY(&w->runs)) {
        end_run(TAILQ_FIRST(&w->runs), "lapsed");
    }
}

/* Extends the lease; an earlier end is ignored. */
static void
extend_lease(struct worker *w, int64_t until_ms)
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

/* POST /run-start: starts a run, unless one of the task is running. */
static void
on_run_start(struct worker *w, struct http_exchange *ex, const json_t *o)
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
    r->started_ms = Clock_NowMs();
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
    extend_lease(w, Fake_Int(o, "until-ms", 0));
    Fake_Reply(ex, 200,
               json_pack("{s:I}", "clock-ms", (json_int_t)Clock_NowMs()));
}

/* POST /run-stop: stops the run of a task. */
static void
on_run_stop(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    struct run *r, *next;

    Fake_Reply(ex, 200,
               json_pack("{s:I}", "clock-ms", (json_int_t)Clock_NowMs()));
    TAILQ_FOREACH_SAFE (r, &w->runs, entry, next) {
        if (strcmp(r->task, task) == 0) {
            end_run(r, "stopped");
        }
    }
}

/* POST /pace: sets the share of full speed at which a run may work. */
static void
on_pace(struct worker *w, struct http_exchange *ex, const json_t *o)
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

/* GET /shares: the share of each running task. */
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

/* POST /hold: a poll; it acknowledges ended runs, extends the lease, and gets
 * a response when a run has ended or its wait is over. */
static void
on_hold(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    uint64_t last_seen = (uint64_t)Fake_Int(o, "last-seen", 0);
    int64_t wait = Fake_Int(o, "wait-ms", 0);
    struct ended *e;

    while ((e = TAILQ_FIRST(&w->ended)) != NULL && e->number <= last_seen) {
        TAILQ_REMOVE(&w->ended, e, entry);
        free(e);
    }
    extend_lease(w, Fake_Int(o, "until-ms", 0));
    if (wait == 0 || !TAILQ_EMPTY(&w->ended)) {
        Fake_Reply(ex, 200, poll_response(w));
        return;
    }
    reply_poll(w);
    w->waiting_poll = ex;
    Timer_Set(w->task.kernel->loop, &w->poll_timer, wait);
}

static const struct {
    const char *path;
    void (*handle)(struct worker *, struct http_exchange *, const json_t *);
} calls[] = {{"/run-start", on_run_start},
             {"/run-stop", on_run_stop},
             {"/hold", on_hold},
             {"/pace", on_pace}};

/* PUT /say: changes the behaviour for a test. */
static void
control(struct worker *w, const char *command)
{
    if (strcmp(command, "restart") == 0) {
        crash(w);
        return;
    }
    w->reports_start_time =
        w->reports_start_time || strcmp(command, "born") == 0;
    w->state = strncmp(command, "drain", 5) == 0 ? "draining" : "ready";
    w->drain_end_ms = strncmp(command, "drain ", 6) == 0
                          ? Clock_NowMs() + strtoll(command + 6, NULL, 10)
                          : 0;
}

/* Serves a call. Those of the agent are refused if they are meant for another
 * worker id, or carry an older fencing token than was seen before. */
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
        control(w, Http_Body(ex)->data);
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
            calls[i].handle(w, ex, o);
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

/* Sends a heartbeat to the agent. */
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
    char *text;

    if (w->drain_end_ms != 0) {
        json_object_set_new(o, "drain-remaining-ms",
                            json_integer(w->drain_end_ms - Clock_NowMs()));
    }
    text = json_dumps(with_start_time(w, o), JSON_COMPACT);
    Buf_Printf(&url, "http://%s/Instances.Heartbeat/%s", w->agent_address,
               w->id);
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
        arg_file1(NULL, "port-file", "FILE", "file for the port");
    struct arg_int *port = arg_int0(NULL, "port", "N", "0: any free one");
    struct arg_str *id = arg_str1(NULL, "id", "ID", "worker id");
    struct arg_str *agent_address =
        arg_str1(NULL, "beats", "IP:PORT", "address of the agent");
    struct arg_end *end = arg_end(5);
    void *table[] = {file, port, id, agent_address, end};
    struct worker w = {.state = "ready", .rack = "r1"};
    struct kernel k;

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    w.first_id = id->sval[0];
    Str_Copy(w.id, sizeof(w.id), w.first_id);
    w.agent_address = agent_address->sval[0];
    w.starts = json_array();
    TAILQ_INIT(&w.runs);
    TAILQ_INIT(&w.ended);
    Kernel_Init(&k, "hosted-worker", NULL, 100);
    Kernel_AddTask(&k, &w.task, &worker_ops);
    w.client = Http_ClientNew(k.loop, 4);
    ev_init(&w.poll_timer, on_poll_timeout);
    ev_init(&w.heartbeat, on_heartbeat);
    ev_init(&w.lease, on_lease_end);
    w.poll_timer.data = w.heartbeat.data = w.lease.data = &w;
    w.server = Fake_Listen(k.loop, port->count ? port->ival[0] : 0,
                           file->filename[0], on_call, &w);
    Timer_Every(k.loop, &w.heartbeat, HEARTBEAT_MS);
    Kernel_Run(&k);
    _Exit(0); /* a poll may still wait; no state has to be kept */
}
