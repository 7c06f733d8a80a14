/* Stand-in for a worker of the hosted platform, by the users' pages: runs
 * under a lease on the worker's own clock, fencing tokens, run numbers, and
 * ends that are listed until they are acknowledged. It answers like a sound
 * worker unless a disturbance is ordered by PUT /say:
 *
 *   late MS       the next start gets no answer, and is carried out MS later
 *   crash MS      ends at once, and is back after MS with nothing of before;
 *                 under the same id (with another "born") if it was started
 *                 with --same-id, otherwise under a new one
 *   grey on, off  while on, fails all that it starts after 50 ms
 *   drain MS      says from now on that it drains, and serves for MS more
 *
 * The payload of a run is the number of milliseconds that it works, one for
 * each step of the job, separated by commas; the last one also holds for the
 * steps after it. "lasts" instead of a number: until it is stopped. Each event
 * is a line of the file EVENTS: milliseconds, worker, event, task, run. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 1500 /* as in the settings of DEPLOY.md */
#define TEXT_SIZE 128
#define ENDED_PAGE 500
#define GREY_MS 50
/* The clock of the first lifetime, which is older than the system under test.
 */
#define FIRST_CLOCK_MS 400000

struct run {
    struct worker *worker;
    char task[TEXT_SIZE];
    int64_t run;
    int64_t started_ms;
    int64_t work_ms;
    bool fails;
    ev_timer end;
    TAILQ_ENTRY(run) entry;
};

/* An end that is listed until it is acknowledged. */
struct end {
    int64_t number;
    char task[TEXT_SIZE];
    int64_t run;
    const char *how;
    TAILQ_ENTRY(end) entry;
};

/* The highest run of a task that was stopped or has ended. */
struct past_run {
    char task[TEXT_SIZE];
    int64_t run;
    TAILQ_ENTRY(past_run) entry;
};

/* A start that is carried out later. */
struct late_start {
    struct worker *worker;
    char id[TEXT_SIZE]; /* the lifetime that it names */
    json_t *body;
    ev_timer timer;
};

struct worker {
    struct task task;
    struct http_client *client;
    FILE *events;
    char id[TEXT_SIZE];
    const char *first_id;
    const char *agent_address;
    const char *kind;
    const char *rack;
    int64_t max_hold_ms;
    bool keeps_id;
    int restarts;
    int64_t born_ms;     /* Unix time of the start of this lifetime */
    int64_t clock_at_ms; /* of Clock_NowMs(), when its clock was 0 */
    bool dark;
    bool grey;
    int64_t drain_end_ms; /* 0: it doesn't drain */
    bool drain_noted;     /* that its draining was acknowledged */
    int64_t late_ms;      /* of the next start; 0: it is answered */
    int64_t sequence;
    int64_t token;
    int64_t last_end;
    int64_t until_ms;
    TAILQ_HEAD(, run) runs;
    TAILQ_HEAD(, end) ends;
    TAILQ_HEAD(, past_run) past;
    struct http_exchange *waiting; /* a poll; NULL: none */
    ev_timer poll_timer;
    ev_timer heartbeat;
    ev_timer lease;
    ev_timer back;
};

/* Returns the worker's own steady clock. */
static int64_t
clock_ms(const struct worker *w)
{
    return Clock_NowMs() - w->clock_at_ms;
}

/* Adds a line to the events. */
static void
note(struct worker *w, const char *event, const char *task, int64_t run)
{
    fprintf(w->events, "%lld %s %s %s %lld\n", (long long)Clock_WallMs(),
            w->id, event, task, (long long)run);
    fflush(w->events);
}

/* Returns a response with the worker's clock and birth. */
static json_t *
response(const struct worker *w)
{
    return json_pack("{s:I,s:I}", "clock-ms", (json_int_t)clock_ms(w), "born",
                     (json_int_t)w->born_ms);
}

/* Refuses an order. */
static void
refuse(struct worker *w, struct http_exchange *ex, const char *reason)
{
    json_t *o = response(w);

    json_object_set_new(o, "reason", json_string(reason));
    if (ex != NULL) {
        Fake_Reply(ex, 409, o);
        return;
    }
    json_decref(o);
}

/* Returns both lists. */
static json_t *
lists(const struct worker *w)
{
    json_t *o = response(w), *running = json_array(), *ended = json_array();
    const struct run *r;
    const struct end *e;

    TAILQ_FOREACH (r, &w->runs, entry) {
        int64_t percent = 100; /* of one that lasts: at work */

        if (r->work_ms >= 0) {
            percent = 100 * (Clock_NowMs() - r->started_ms) / (r->work_ms + 1);
            percent = percent < 99 ? percent : 99;
        }
        json_array_append_new(
            running, json_pack("[s,I,s,I,I]", r->task, (json_int_t)r->run, "",
                               (json_int_t)percent, (json_int_t)0));
    }
    TAILQ_FOREACH (e, &w->ends, entry) {
        if (json_array_size(ended) < ENDED_PAGE) {
            json_array_append_new(
                ended, json_pack("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                                 (json_int_t)e->run, e->how, ""));
        }
    }
    json_object_set_new(o, "running", running);
    json_object_set_new(o, "ended", ended);
    return o;
}

/* Answers the waiting poll, if there is one. */
static void
answer_poll(struct worker *w)
{
    struct http_exchange *ex = w->waiting;

    w->waiting = NULL;
    ev_timer_stop(w->task.kernel->loop, &w->poll_timer);
    if (ex != NULL) {
        Fake_Reply(ex, 200, lists(w));
    }
}

static void
on_poll_timeout(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    answer_poll(t->data);
}

/* Finds the past runs of a task, or adds an entry. */
static struct past_run *
past_of(struct worker *w, const char *task)
{
    struct past_run *p;

    TAILQ_FOREACH (p, &w->past, entry) {
        if (strcmp(p->task, task) == 0) {
            return p;
        }
    }
    p = Mem_Zero(1, sizeof(*p));
    Str_Copy(p->task, sizeof(p->task), task);
    TAILQ_INSERT_TAIL(&w->past, p, entry);
    return p;
}

/* Records that runs of a task up to this one are over. */
static void
note_past(struct worker *w, const char *task, int64_t run)
{
    struct past_run *p = past_of(w, task);

    p->run = run > p->run ? run : p->run;
}

/* Removes a run without an end. */
static void
drop_run(struct run *r)
{
    TAILQ_REMOVE(&r->worker->runs, r, entry);
    ev_timer_stop(r->worker->task.kernel->loop, &r->end);
    free(r);
}

/* Ends a run, and lists its end. */
static void
end_run(struct run *r, const char *how)
{
    struct worker *w = r->worker;
    struct end *e = Mem_Zero(1, sizeof(*e));

    e->number = ++w->last_end;
    Str_Copy(e->task, sizeof(e->task), r->task);
    e->run = r->run;
    e->how = how;
    TAILQ_INSERT_TAIL(&w->ends, e, entry);
    note_past(w, r->task, r->run);
    note(w, how, r->task, r->run);
    drop_run(r);
    answer_poll(w);
}

static void
on_end(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct run *r = t->data;

    end_run(r, r->fails ? "failed" : "done");
}

/* Kills everything when the lease is over. */
static void
on_lease(struct ev_loop *loop, ev_timer *t, int events UNUSED)
{
    struct worker *w = t->data;
    int64_t left = w->until_ms - clock_ms(w);

    if (left > 0) {
        Timer_Set(loop, t, left);
        return;
    }
    while (!TAILQ_EMPTY(&w->runs)) {
        end_run(TAILQ_FIRST(&w->runs), "lapsed");
    }
}

/* Extends the lease, up to the longest allowed one. */
static void
extend(struct worker *w, int64_t until_ms)
{
    int64_t most_ms = clock_ms(w) + w->max_hold_ms;

    until_ms = until_ms < most_ms ? until_ms : most_ms;
    if (until_ms > w->until_ms) {
        w->until_ms = until_ms;
        Timer_Set(w->task.kernel->loop, &w->lease, until_ms - clock_ms(w));
    }
}

/* Finds the present run of a task, or returns NULL. */
static struct run *
find_run(struct worker *w, const char *task)
{
    struct run *r;

    TAILQ_FOREACH (r, &w->runs, entry) {
        if (strcmp(r->task, task) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Returns how long a run of a task works, by the payload; -1: until it is
 * stopped. */
static int64_t
work_of(const char *payload, const char *task)
{
    int step = 0;

    sscanf(task, "%*[^.].%*d.%d", &step);
    while (step-- > 0 && strchr(payload, ',') != NULL) {
        payload = strchr(payload, ',') + 1;
    }
    return strncmp(payload, "lasts", 5) == 0 ? -1 : strtoll(payload, NULL, 10);
}

/* Starts a run. ex: NULL for a start that is carried out late. */
static void
start_run(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    const char *work = json_string_value(json_object_get(o, "task-spec"));
    int64_t run = Fake_Int(o, "run", 0), until = Fake_Int(o, "until-ms", 0);
    struct run *r = find_run(w, task);

    if (until <= clock_ms(w)) {
        refuse(w, ex, "late");
        return;
    }
    extend(w, until);
    if (r != NULL && r->run == run) {
        if (ex != NULL) {
            Fake_Reply(ex, 200, response(w));
        }
        return;
    }
    if (r != NULL || run <= past_of(w, task)->run) {
        refuse(w, ex, "old");
        return;
    }
    r = Mem_Zero(1, sizeof(*r));
    r->worker = w;
    Str_Copy(r->task, sizeof(r->task), task);
    r->run = run;
    r->started_ms = Clock_NowMs();
    r->fails = w->grey;
    r->work_ms = w->grey ? GREY_MS : work_of(work, task);
    TAILQ_INSERT_TAIL(&w->runs, r, entry);
    ev_init(&r->end, on_end);
    r->end.data = r;
    if (r->work_ms >= 0) {
        Timer_Set(w->task.kernel->loop, &r->end, r->work_ms);
    }
    note(w, ex != NULL ? "start" : "start-late", task, run);
    if (ex != NULL) {
        Fake_Reply(ex, 200, response(w));
    }
}

/* Checks and keeps the fencing token; false when it is too low. */
static bool
take_token(struct worker *w, struct http_exchange *ex, const json_t *o)
{
    int64_t token = Fake_Int(o, "fencing-token", 0);

    if (token < w->token) {
        refuse(w, ex, "fence");
        return false;
    }
    w->token = token;
    return true;
}

/* Carries out a start that got no answer, if the worker that is there now has
 * the id that the start names. */
static void
on_late(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct late_start *l = t->data;
    struct worker *w = l->worker;

    if (!w->dark && strcmp(l->id, w->id) == 0 &&
        take_token(w, NULL, l->body)) {
        start_run(w, NULL, l->body);
    }
    json_decref(l->body);
    free(l);
}

/* POST /run-start. */
static void
on_start(struct worker *w, struct http_exchange *ex, json_t *o)
{
    struct late_start *l;

    if (w->late_ms == 0) {
        start_run(w, ex, o);
        return;
    }
    l = Mem_Zero(1, sizeof(*l));
    l->worker = w;
    l->body = json_incref(o);
    Str_Copy(l->id, sizeof(l->id), w->id);
    ev_init(&l->timer, on_late);
    l->timer.data = l;
    Timer_Set(w->task.kernel->loop, &l->timer, w->late_ms);
    w->late_ms = 0;
    note(w, "start-unanswered", json_string_value(json_object_get(o, "task")),
         Fake_Int(o, "run", 0));
    /* The exchange stays open without an answer. */
}

/* POST /run-stop. */
static void
on_stop(struct worker *w, struct http_exchange *ex, json_t *o)
{
    const char *task = json_string_value(json_object_get(o, "task"));
    int64_t run = Fake_Int(o, "run", 0);
    struct run *r = find_run(w, task);

    Fake_Reply(ex, 200, response(w));
    note_past(w, task, run);
    if (r != NULL && r->run <= run) {
        end_run(r, "stopped");
    }
}

/* POST /hold. */
static void
on_hold(struct worker *w, struct http_exchange *ex, json_t *o)
{
    int64_t seen = Fake_Int(o, "last-seen", 0);
    int64_t wait = Fake_Int(o, "wait-ms", 0);
    struct end *e;

    while ((e = TAILQ_FIRST(&w->ends)) != NULL && e->number <= seen) {
        note(w, "seen", e->task, e->run);
        TAILQ_REMOVE(&w->ends, e, entry);
        free(e);
    }
    extend(w, Fake_Int(o, "until-ms", 0));
    if (wait == 0 || !TAILQ_EMPTY(&w->ends)) {
        Fake_Reply(ex, 200, lists(w));
        return;
    }
    answer_poll(w);
    w->waiting = ex;
    Timer_Set(w->task.kernel->loop, &w->poll_timer, wait < 2000 ? wait : 2000);
}

/* POST /pace: the share has no effect on the work of these tasks. */
static void
on_pace(struct worker *w, struct http_exchange *ex, json_t *o UNUSED)
{
    Fake_Reply(ex, 200, response(w));
}

/* Begins a lifetime, which holds and knows nothing of before. */
static void
begin_life(struct worker *w, int64_t first_clock_ms)
{
    w->born_ms = Clock_WallMs();
    w->clock_at_ms = Clock_NowMs() - first_clock_ms;
    w->sequence = w->token = w->last_end = w->until_ms = 0;
    w->dark = false;
    if (w->restarts > 0 && !w->keeps_id) {
        snprintf(w->id, sizeof(w->id), "%s-%d", w->first_id, w->restarts);
    }
    note(w, "life", "-", 0);
}

static void
on_back(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct worker *w = t->data;

    w->restarts++;
    begin_life(w, 0);
}

/* Ends this lifetime with all that it has. */
static void
crash(struct worker *w, int64_t dark_ms)
{
    struct past_run *p;
    struct end *e;
    struct run *r;

    while ((r = TAILQ_FIRST(&w->runs)) != NULL) {
        note(w, "crashed", r->task, r->run);
        drop_run(r);
    }
    while ((e = TAILQ_FIRST(&w->ends)) != NULL) {
        TAILQ_REMOVE(&w->ends, e, entry);
        free(e);
    }
    while ((p = TAILQ_FIRST(&w->past)) != NULL) {
        TAILQ_REMOVE(&w->past, p, entry);
        free(p);
    }
    ev_timer_stop(w->task.kernel->loop, &w->lease);
    w->waiting = NULL;
    ev_timer_stop(w->task.kernel->loop, &w->poll_timer);
    w->dark = true;
    Timer_Set(w->task.kernel->loop, &w->back, dark_ms > 0 ? dark_ms : 1);
}

/* PUT /say. */
static void
control(struct worker *w, const char *text)
{
    note(w, "say", text, 0);
    if (strncmp(text, "late ", 5) == 0) {
        w->late_ms = strtoll(text + 5, NULL, 10);
    }
    else if (strncmp(text, "crash ", 6) == 0) {
        crash(w, strtoll(text + 6, NULL, 10));
    }
    else if (strncmp(text, "grey ", 5) == 0) {
        w->grey = strcmp(text + 5, "on") == 0;
    }
    else if (strncmp(text, "drain ", 6) == 0) {
        w->drain_end_ms = Clock_NowMs() + strtoll(text + 6, NULL, 10);
    }
}

static const struct {
    const char *path;
    void (*handle)(struct worker *, struct http_exchange *, json_t *);
} calls[] = {{"/run-start", on_start},
             {"/run-stop", on_stop},
             {"/hold", on_hold},
             {"/pace", on_pace}};

/* Serves a call. While the worker is dark, nothing gets an answer. */
static void
on_call(void *arg, struct http_exchange *ex)
{
    struct worker *w = arg;
    const char *expected = Http_Header(ex, "Parsleyfall-Expected-Instance");
    json_t *o;

    if (strcmp(Http_Path(ex), "/say") == 0) {
        control(w, Http_Body(ex)->data);
        Fake_Reply(ex, 200, json_object());
        return;
    }
    if (w->dark) {
        return;
    }
    if (expected != NULL && strcmp(expected, w->id) != 0) {
        Fake_Reply(ex, 421, response(w));
        return;
    }
    o = Fake_Body(ex);
    if (o == NULL) {
        return;
    }
    if (take_token(w, ex, o)) {
        for (size_t i = 0; i < COUNT_OF(calls); i++) {
            if (strcmp(Http_Path(ex), calls[i].path) == 0) {
                calls[i].handle(w, ex, o);
                json_decref(o);
                return;
            }
        }
        Fake_Reply(ex, 404, json_object());
    }
    json_decref(o);
}

/* Notes when its draining was first acknowledged. */
static void
on_heartbeat_answered(void *arg, struct http_result *r)
{
    struct worker *w = arg;

    if (w != NULL && r->err == ERR_OK && r->status == 200 && !w->drain_noted) {
        w->drain_noted = true;
        note(w, "drain-acknowledged", "-", 0);
    }
}

/* Sends a heartbeat to the agent. */
static void
on_heartbeat(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct worker *w = t->data;
    struct buf url CLEANUP(Buf_Free) = {0};
    struct http_request r = {.method = "POST", .timeout_ms = 1000};
    char *text;
    json_t *o;

    if (w->dark) {
        return;
    }
    o = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "pool", "address", "127.0.0.1:1", "zone", "a", "state",
        w->drain_end_ms != 0 ? "draining" : "ready", "version", "v1", "slots",
        8, "cold-remaining-ms", 0, "capacity", "cpu", 16000, "mem-mb", 64000,
        "gpu", 8, "labels", w->kind, w->rack, "clock-ms",
        (json_int_t)clock_ms(w), "sequence", (json_int_t)++w->sequence, "born",
        (json_int_t)w->born_ms);
    if (w->drain_end_ms != 0) {
        int64_t left = w->drain_end_ms - Clock_NowMs();

        json_object_set_new(o, "drain-remaining-ms",
                            json_integer(left > 0 ? left : 0));
    }
    text = json_dumps(o, JSON_COMPACT);
    Buf_Printf(&url, "http://%s/Instances.Heartbeat/%s", w->agent_address,
               w->id);
    r.url = url.data;
    r.body = text;
    r.body_len = strlen(text);
    Http_Call(w->client, &r, on_heartbeat_answered,
              w->drain_end_ms != 0 ? w : NULL);
    free(text);
    json_decref(o);
}

static const struct task_ops worker_ops = {.name = "worker"};

/* Arguments: PORT_FILE EVENTS ID AGENT_ADDRESS KIND RACK MAX_HOLD_MS
 * [--same-id]. */
int
main(int argc, char **argv)
{
    struct worker w = {0};
    struct kernel k;

    if (argc < 8 || (w.events = fopen(argv[2], "a")) == NULL) {
        fprintf(stderr, "usage: worker PORT_FILE EVENTS ID AGENT_ADDRESS "
                        "KIND RACK MAX_HOLD_MS [--same-id]\n");
        return 2;
    }
    w.first_id = argv[3];
    Str_Copy(w.id, sizeof(w.id), w.first_id);
    w.agent_address = argv[4];
    w.kind = argv[5];
    w.rack = argv[6];
    w.max_hold_ms = strtoll(argv[7], NULL, 10);
    w.keeps_id = argc > 8 && strcmp(argv[8], "--same-id") == 0;
    TAILQ_INIT(&w.runs);
    TAILQ_INIT(&w.ends);
    TAILQ_INIT(&w.past);
    Kernel_Init(&k, "worker", NULL, 100);
    Kernel_AddTask(&k, &w.task, &worker_ops);
    w.client = Http_ClientNew(k.loop, 4);
    ev_init(&w.poll_timer, on_poll_timeout);
    ev_init(&w.heartbeat, on_heartbeat);
    ev_init(&w.lease, on_lease);
    ev_init(&w.back, on_back);
    w.poll_timer.data = w.heartbeat.data = w.lease.data = w.back.data = &w;
    begin_life(&w, FIRST_CLOCK_MS);
    Fake_Listen(k.loop, 0, argv[1], on_call, &w);
    Timer_Every(k.loop, &w.heartbeat, HEARTBEAT_MS);
    Kernel_Run(&k);
    _Exit(0); /* polls may still wait; no state has to be kept */
}
