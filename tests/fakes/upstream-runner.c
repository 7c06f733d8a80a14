#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#define USAGE_LAG_MS 2000    /* reports are behind by this */
#define FULL_RATE 1000       /* permille of a task's speed */
#define THROTTLED_RATE 100   /* permille while throttled */
#define LISTED_MS 60000      /* a task that has ended is listed for so long */
#define FOREVER_MS INT64_MAX /* a spec without a run time */

/* One attempt of a job's part on this worker. */
struct part {
    struct fake_runner *runner;
    char job[ID_HEX_SIZE];
    int64_t attempt;
    json_t *accelerators;
    char *label;
    int64_t until;     /* end of the lease */
    const char *state; /* as in the published format */
    bool ended;
    bool fails;
    bool stop_after; /* the checkpoint that is being written */
    int64_t left_ms; /* of work at full rate, at changed_ms */
    int64_t rate;
    int64_t rate_before; /* reported until the lag is over */
    int64_t changed_ms;
    int64_t ended_ms;
    int64_t write_ms;      /* a checkpoint takes this */
    int64_t checkpoint_at; /* -1: none */
    ev_timer run_timer;
    ev_timer write_timer;
    ev_timer lease_timer;
    TAILQ_ENTRY(part) entry;
};

struct fake_runner {
    struct ev_loop *loop;
    json_t *log;
    char agent[17];        /* that is attached */
    int64_t double_booked; /* starts on an accelerator in use */
    int64_t overlapping;   /* starts beside another attempt of the job */
    TAILQ_HEAD(, part) parts;
};

/* Enters an event in the exact log. */
static void
note(const struct part *p, const char *event)
{
    json_array_append_new(p->runner->log,
                          json_pack("{s:I,s:s,s:I,s:s}", "at_ms",
                                    (json_int_t)Clock_WallMs(), "job", p->job,
                                    "attempt", (json_int_t)p->attempt, "event",
                                    event));
}

/* Ends a part for good. */
static void
end_part(struct part *p, const char *state, const char *event)
{
    ev_timer_stop(p->runner->loop, &p->run_timer);
    ev_timer_stop(p->runner->loop, &p->write_timer);
    ev_timer_stop(p->runner->loop, &p->lease_timer);
    p->state = state;
    p->ended = true;
    p->ended_ms = Clock_NowMs();
    note(p, event);
}

/* The work is done. */
static void
on_run_end(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct part *p = w->data;

    if (p->fails) {
        end_part(p, "failed", "fail");
        return;
    }
    end_part(p, "ended", "end");
}

/* Nobody renewed the lease. */
static void
on_lease_end(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct part *p = w->data;

    end_part(p, "stopped", "lease-end");
}

/* Lets the lease end at a reading of the worker's clock, never sooner than
 * was said before. */
static void
set_lease(struct part *p, int64_t until)
{
    int64_t left = until - Clock_NowMs();

    if (until <= p->until) {
        return;
    }
    p->until = until;
    Timer_Set(p->runner->loop, &p->lease_timer, left > 0 ? left : 0);
}

/* State of a part that is working. */
static const char *
running_state(const struct part *p)
{
    return p->rate == FULL_RATE ? "running" : "throttled";
}

/* Goes on at another rate; usage reports follow later. */
static void
set_rate(struct part *p, int64_t rate)
{
    int64_t now = Clock_NowMs();

    if (p->left_ms != FOREVER_MS) {
        p->left_ms -= (now - p->changed_ms) * p->rate / FULL_RATE;
        p->left_ms = p->left_ms < 0 ? 0 : p->left_ms;
        Timer_Set(p->runner->loop, &p->run_timer,
                  p->left_ms * FULL_RATE / rate);
    }
    p->rate_before = p->rate;
    p->rate = rate;
    p->changed_ms = now;
    if (!ev_is_active(&p->write_timer)) {
        p->state = running_state(p);
    }
}

/* A checkpoint is written. */
static void
on_written(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct part *p = w->data;

    p->checkpoint_at = Clock_NowMs();
    note(p, "checkpoint");
    if (p->stop_after) {
        end_part(p, "stopped", "stop");
        return;
    }
    p->state = running_state(p);
}

/* Begins to write a checkpoint, unless one is being written. */
static void
write_checkpoint(struct part *p, bool stop_after)
{
    p->stop_after = p->stop_after || stop_after;
    if (ev_is_active(&p->write_timer)) {
        return;
    }
    p->state = "checkpointing";
    Timer_Set(p->runner->loop, &p->write_timer, p->write_ms);
}

static void
do_stop(struct part *p)
{
    end_part(p, "stopped", "stop");
}

static void
do_checkpoint(struct part *p)
{
    write_checkpoint(p, false);
}

static void
do_checkpoint_and_stop(struct part *p)
{
    write_checkpoint(p, true);
}

static void
do_throttle(struct part *p)
{
    set_rate(p, THROTTLED_RATE);
}

static void
do_resume(struct part *p)
{
    set_rate(p, FULL_RATE);
}

static const struct {
    const char *verb;
    void (*act)(struct part *);
} verbs[] = {{"stop", do_stop},
             {"checkpoint", do_checkpoint},
             {"checkpoint-and-stop", do_checkpoint_and_stop},
             {"throttle", do_throttle},
             {"resume", do_resume}};

/* Finds an attempt. */
static struct part *
find(struct fake_runner *r, const char *job, int64_t attempt)
{
    struct part *p;

    TAILQ_FOREACH (p, &r->parts, entry) {
        if (p->attempt == attempt && strcmp(p->job, job) == 0) {
            return p;
        }
    }
    return NULL;
}

/* True when two lists of accelerators have one in common. */
static bool
overlap(const json_t *a, const json_t *b)
{
    const json_t *x, *y;
    size_t i, j;

    json_array_foreach(a, i, x)
    {
        json_array_foreach(b, j, y)
        {
            if (json_equal(x, y)) {
                return true;
            }
        }
    }
    return false;
}

/* Counts what no correct agent asks for; it is started all the same. */
static void
count_faults(struct fake_runner *r, const struct part *started)
{
    const struct part *p;

    TAILQ_FOREACH (p, &r->parts, entry) {
        if (p->ended) {
            continue;
        }
        r->double_booked += overlap(p->accelerators, started->accelerators);
        r->overlapping += strcmp(p->job, started->job) == 0;
    }
}

/* Reads the spec, which the product hands on unread: base64 of JSON. */
static json_t *
read_spec(const json_t *o)
{
    struct buf b CLEANUP(Buf_Free) = {0};
    const char *text = json_string_value(json_object_get(o, "spec"));

    if (text == NULL || Fake_Base64(text, &b) != ERR_OK) {
        return NULL;
    }
    return json_loadb(b.data ? b.data : "", b.len, 0, NULL);
}

/* Starts an attempt that is new here. */
static void
start_part(struct fake_runner *r, const json_t *o, const char *job,
           int64_t attempt)
{
    json_t *spec = read_spec(o);
    struct part *p = Mem_Zero(1, sizeof(*p));

    p->runner = r;
    Str_Copy(p->job, sizeof(p->job), job);
    p->attempt = attempt;
    p->accelerators = json_incref(json_object_get(o, "accelerators"));
    p->left_ms = Fake_Int(spec, "run_ms", FOREVER_MS);
    p->write_ms = Fake_Int(spec, "checkpoint_ms", 0);
    p->fails = json_is_true(json_object_get(spec, "fail"));
    p->checkpoint_at = -1;
    p->changed_ms = Clock_NowMs();
    ev_init(&p->run_timer, on_run_end);
    p->run_timer.data = p;
    ev_init(&p->write_timer, on_written);
    p->write_timer.data = p;
    ev_init(&p->lease_timer, on_lease_end);
    p->lease_timer.data = p;
    p->label = Mem_Dup(json_string_value(json_object_get(o, "label")));
    set_lease(p, Fake_Int(o, "until", 0));
    set_rate(p, FULL_RATE);
    p->rate_before = 0;
    count_faults(r, p);
    TAILQ_INSERT_TAIL(&r->parts, p, entry);
    note(p, "start");
    json_decref(spec);
}

/* True for a start that can't be taken any more. */
static bool
is_stale(const struct fake_runner *r, const struct part *p, const json_t *o)
{
    const char *agent = json_string_value(json_object_get(o, "agent"));

    if (agent == NULL || strcmp(agent, r->agent) != 0) {
        return true;
    }
    return p != NULL ? p->ended : Fake_Int(o, "until", 0) <= Clock_NowMs();
}

/* POST /runner/start. */
static void
serve_start(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *job = json_string_value(json_object_get(o, "job"));
    int64_t attempt = Fake_Int(o, "attempt", -1);
    const struct part *p;

    if (job == NULL || attempt < 0 ||
        !json_is_string(json_object_get(o, "label")) ||
        !json_is_array(json_object_get(o, "accelerators"))) {
        Fake_Reply(ex, 400, json_pack("{s:s}", "reason", "start"));
        return;
    }
    p = find(r, job, attempt);
    if (is_stale(r, p, o)) {
        Fake_Reply(ex, 409, json_pack("{s:s}", "reason", "stale"));
        return;
    }
    if (p == NULL) {
        start_part(r, o, job, attempt);
    }
    Fake_Reply(ex, 200, json_object());
}

/* POST /runner/renew. */
static void
serve_renew(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *job = json_string_value(json_object_get(o, "job"));
    struct part *p =
        find(r, job == NULL ? "" : job, Fake_Int(o, "attempt", -1));

    if (p == NULL || p->ended) {
        Fake_Reply(ex, p == NULL ? 404 : 409, json_object());
        return;
    }
    set_lease(p, Fake_Int(o, "until", 0));
    Fake_Reply(ex, 200, json_object());
}

/* POST /runner/control. */
static void
serve_control(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *job = json_string_value(json_object_get(o, "job"));
    const char *verb = json_string_value(json_object_get(o, "verb"));
    struct part *p;
    size_t i;

    p = find(r, job == NULL ? "" : job, Fake_Int(o, "attempt", -1));
    if (p == NULL) {
        Fake_Reply(ex, 404, json_pack("{s:s}", "reason", "no_such_task"));
        return;
    }
    for (i = 0; i < COUNT_OF(verbs); i++) {
        if (verb != NULL && strcmp(verbs[i].verb, verb) == 0) {
            if (!p->ended) {
                verbs[i].act(p);
            }
            Fake_Reply(ex, 200, json_object());
            return;
        }
    }
    Fake_Reply(ex, 400, json_pack("{s:s}", "reason", "verb"));
}

/* A task as it is listed. */
static json_t *
describe(const struct part *p)
{
    int64_t now = Clock_NowMs();
    int64_t age = p->checkpoint_at < 0 ? -1 : now - p->checkpoint_at;
    int64_t usage =
        now - p->changed_ms >= USAGE_LAG_MS ? p->rate : p->rate_before;

    return json_pack("{s:s,s:I,s:s,s:O,s:I,s:I,s:I,s:s}", "job", p->job,
                     "attempt", (json_int_t)p->attempt, "state", p->state,
                     "accelerators", p->accelerators, "checkpoint_ms",
                     (json_int_t)age, "usage_permille",
                     (json_int_t)(p->ended ? 0 : usage), "until",
                     (json_int_t)p->until, "label", p->label);
}

/* Lists what runs, and on request what has ended of late. */
static json_t *
list(const struct fake_runner *r, bool with_ended)
{
    json_t *all = json_array();
    const struct part *p;

    TAILQ_FOREACH (p, &r->parts, entry) {
        if (!p->ended ||
            (with_ended && Clock_NowMs() - p->ended_ms < LISTED_MS)) {
            json_array_append_new(all, describe(p));
        }
    }
    return all;
}

/* Answers with what runs and what has ended. */
static void
reply_tasks(const struct fake_runner *r, struct http_exchange *ex)
{
    Fake_Reply(ex, 200,
               json_pack("{s:o,s:I}", "tasks", list(r, true), "clock",
                         (json_int_t)Clock_NowMs()));
}

/* POST /runner/attach. */
static void
serve_attach(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *agent = json_string_value(json_object_get(o, "agent"));

    Str_Copy(r->agent, sizeof(r->agent), agent == NULL ? "" : agent);
    reply_tasks(r, ex);
}

/* Serves what is under /runner/. */
void
FakeRunner_Serve(struct fake_runner *r, struct http_exchange *ex)
{
    const char *path = Http_Path(ex);
    json_t *o;

    if (strcmp(path, "/runner/tasks") == 0) {
        reply_tasks(r, ex);
        return;
    }
    if (strcmp(path, "/runner/log") == 0) {
        Fake_Reply(ex, 200,
                   json_pack("{s:O,s:o,s:I,s:I}", "log", r->log, "running",
                             list(r, false), "double_booked",
                             (json_int_t)r->double_booked, "overlapping",
                             (json_int_t)r->overlapping));
        return;
    }
    o = Fake_Body(ex);
    if (o == NULL) {
        return;
    }
    if (strcmp(path, "/runner/start") == 0) {
        serve_start(r, ex, o);
    }
    else if (strcmp(path, "/runner/attach") == 0) {
        serve_attach(r, ex, o);
    }
    else if (strcmp(path, "/runner/renew") == 0) {
        serve_renew(r, ex, o);
    }
    else if (strcmp(path, "/runner/control") == 0) {
        serve_control(r, ex, o);
    }
    else {
        Fake_Reply(ex, 404, json_object());
    }
    json_decref(o);
}

/* Makes a runner without tasks. */
struct fake_runner *
FakeRunner_New(struct ev_loop *loop)
{
    struct fake_runner *r = Mem_Zero(1, sizeof(*r));

    r->loop = loop;
    r->log = json_array();
    TAILQ_INIT(&r->parts);
    return r;
}

/* Frees the runner and its tasks. */
void
FakeRunner_Free(struct fake_runner *r)
{
    struct part *p;

    while ((p = TAILQ_FIRST(&r->parts)) != NULL) {
        TAILQ_REMOVE(&r->parts, p, entry);
        ev_timer_stop(r->loop, &p->run_timer);
        ev_timer_stop(r->loop, &p->write_timer);
        ev_timer_stop(r->loop, &p->lease_timer);
        json_decref(p->accelerators);
        free(p->label);
        free(p);
    }
    json_decref(r->log);
    free(r);
}
