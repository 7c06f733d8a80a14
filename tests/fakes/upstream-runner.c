#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#define USAGE_LAG_MS 2000           /* reports are behind by this */
#define FULL_RATE_PERMILLE 1000     /* permille of a task's speed */
#define THROTTLED_RATE_PERMILLE 100 /* permille while throttled */
#define ENDED_LISTED_MS                                                       \
    60000                    /* a task that has ended is listed for so long   \
                              */
#define FOREVER_MS INT64_MAX /* a spec without a run time */

/* One attempt of a job's part on this worker. */
struct fake_task {
    struct fake_runner *runner;
    char job[ID_HEX_SIZE];
    int64_t attempt;
    json_t *accelerators;
    char *label;
    int64_t lease_until_ms; /* end of the lease */
    const char *state;      /* as in the published format */
    bool ended;
    bool fails;
    bool stop_after;      /* the checkpoint that is being written */
    int64_t remaining_ms; /* of work at full rate, at changed_ms */
    int64_t rate_permille;
    int64_t previous_rate_permille; /* reported until the lag is over */
    int64_t changed_ms;
    int64_t ended_ms;
    int64_t checkpoint_write_ms; /* a checkpoint takes this */
    int64_t checkpoint_done_ms;  /* -1: none */
    ev_timer run_timer;
    ev_timer write_timer;
    ev_timer lease_timer;
    TAILQ_ENTRY(fake_task) entry;
};

struct fake_runner {
    struct ev_loop *loop;
    json_t *log;
    char agent[17];        /* that is attached */
    int64_t double_booked; /* starts on an accelerator in use */
    int64_t
        overlapping_attempts; /* starts beside another attempt of the job */
    TAILQ_HEAD(, fake_task) tasks;
};

/* Enters an event in the exact log. */
static void
log_event(const struct fake_task *task, const char *event)
{
    json_array_append_new(
        task->runner->log,
        json_pack("{s:I,s:s,s:I,s:s}", "at_ms", (json_int_t)Clock_WallMs(),
                  "job", task->job, "attempt", (json_int_t)task->attempt,
                  "event", event));
}

/* Ends a part for good. */
static void
end_task(struct fake_task *task, const char *state, const char *event)
{
    ev_timer_stop(task->runner->loop, &task->run_timer);
    ev_timer_stop(task->runner->loop, &task->write_timer);
    ev_timer_stop(task->runner->loop, &task->lease_timer);
    task->state = state;
    task->ended = true;
    task->ended_ms = Clock_NowMs();
    log_event(task, event);
}

/* The work is done. */
static void
on_work_done(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct fake_task *task = w->data;

    if (task->fails) {
        end_task(task, "failed", "fail");
        return;
    }
    end_task(task, "ended", "end");
}

/* Nobody renewed the lease. */
static void
on_lease_expired(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct fake_task *task = w->data;

    end_task(task, "stopped", "lease-end");
}

/* Lets the lease end at a reading of the worker's clock, never sooner than
 * was said before. */
static void
set_lease(struct fake_task *task, int64_t lease_until_ms)
{
    int64_t left = lease_until_ms - Clock_NowMs();

    if (lease_until_ms <= task->lease_until_ms) {
        return;
    }
    task->lease_until_ms = lease_until_ms;
    Timer_Set(task->runner->loop, &task->lease_timer, left > 0 ? left : 0);
}

/* State of a part that is working. */
static const char *
running_state(const struct fake_task *task)
{
    return task->rate_permille == FULL_RATE_PERMILLE ? "running" : "throttled";
}

/* Goes on at another rate; usage reports follow later. */
static void
set_rate(struct fake_task *task, int64_t rate_permille)
{
    int64_t now = Clock_NowMs();

    if (task->remaining_ms != FOREVER_MS) {
        task->remaining_ms -= (now - task->changed_ms) * task->rate_permille /
                              FULL_RATE_PERMILLE;
        task->remaining_ms = task->remaining_ms < 0 ? 0 : task->remaining_ms;
        Timer_Set(task->runner->loop, &task->run_timer,
                  task->remaining_ms * FULL_RATE_PERMILLE / rate_permille);
    }
    task->previous_rate_permille = task->rate_permille;
    task->rate_permille = rate_permille;
    task->changed_ms = now;
    if (!ev_is_active(&task->write_timer)) {
        task->state = running_state(task);
    }
}

/* A checkpoint is written. */
static void
on_checkpoint_written(struct ev_loop *loop UNUSED, ev_timer *w,
                      int events UNUSED)
{
    struct fake_task *task = w->data;

    task->checkpoint_done_ms = Clock_NowMs();
    log_event(task, "checkpoint");
    if (task->stop_after) {
        end_task(task, "stopped", "stop");
        return;
    }
    task->state = running_state(task);
}

/* Begins to write a checkpoint, unless one is being written. */
static void
write_checkpoint(struct fake_task *task, bool stop_after)
{
    task->stop_after = task->stop_after || stop_after;
    if (ev_is_active(&task->write_timer)) {
        return;
    }
    task->state = "checkpointing";
    Timer_Set(task->runner->loop, &task->write_timer,
              task->checkpoint_write_ms);
}

static void
do_stop(struct fake_task *task)
{
    end_task(task, "stopped", "stop");
}

static void
do_checkpoint(struct fake_task *task)
{
    write_checkpoint(task, false);
}

static void
do_checkpoint_and_stop(struct fake_task *task)
{
    write_checkpoint(task, true);
}

static void
do_throttle(struct fake_task *task)
{
    set_rate(task, THROTTLED_RATE_PERMILLE);
}

static void
do_resume(struct fake_task *task)
{
    set_rate(task, FULL_RATE_PERMILLE);
}

static const struct {
    const char *verb;
    void (*apply)(struct fake_task *);
} verbs[] = {{"stop", do_stop},
             {"checkpoint", do_checkpoint},
             {"checkpoint-and-stop", do_checkpoint_and_stop},
             {"throttle", do_throttle},
             {"resume", do_resume}};

/* Finds an attempt. */
static struct fake_task *
find_task(struct fake_runner *r, const char *job, int64_t attempt)
{
    struct fake_task *task;

    TAILQ_FOREACH (task, &r->tasks, entry) {
        if (task->attempt == attempt && strcmp(task->job, job) == 0) {
            return task;
        }
    }
    return NULL;
}

/* True when two lists of accelerators have one in common. */
static bool
share_accelerator(const json_t *a, const json_t *b)
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
count_violations(struct fake_runner *r, const struct fake_task *started)
{
    const struct fake_task *task;

    TAILQ_FOREACH (task, &r->tasks, entry) {
        if (task->ended) {
            continue;
        }
        r->double_booked +=
            share_accelerator(task->accelerators, started->accelerators);
        r->overlapping_attempts += strcmp(task->job, started->job) == 0;
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
start_task(struct fake_runner *r, const json_t *o, const char *job,
           int64_t attempt)
{
    json_t *spec = read_spec(o);
    struct fake_task *task = Mem_Zero(1, sizeof(*task));

    task->runner = r;
    Str_Copy(task->job, sizeof(task->job), job);
    task->attempt = attempt;
    task->accelerators = json_incref(json_object_get(o, "accelerators"));
    task->remaining_ms = Fake_Int(spec, "run_ms", FOREVER_MS);
    task->checkpoint_write_ms = Fake_Int(spec, "checkpoint_ms", 0);
    task->fails = json_is_true(json_object_get(spec, "fail"));
    task->checkpoint_done_ms = -1;
    task->changed_ms = Clock_NowMs();
    ev_init(&task->run_timer, on_work_done);
    task->run_timer.data = task;
    ev_init(&task->write_timer, on_checkpoint_written);
    task->write_timer.data = task;
    ev_init(&task->lease_timer, on_lease_expired);
    task->lease_timer.data = task;
    task->label = Mem_Dup(json_string_value(json_object_get(o, "label")));
    set_lease(task, Fake_Int(o, "until", 0));
    set_rate(task, FULL_RATE_PERMILLE);
    task->previous_rate_permille = 0;
    count_violations(r, task);
    TAILQ_INSERT_TAIL(&r->tasks, task, entry);
    log_event(task, "start");
    json_decref(spec);
}

/* True for a start that can't be taken any more. */
static bool
is_stale(const struct fake_runner *r, const struct fake_task *task,
         const json_t *o)
{
    const char *agent = json_string_value(json_object_get(o, "agent"));

    if (agent == NULL || strcmp(agent, r->agent) != 0) {
        return true;
    }
    return task != NULL ? task->ended
                        : Fake_Int(o, "until", 0) <= Clock_NowMs();
}

/* POST /runner/start. */
static void
serve_start(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *job = json_string_value(json_object_get(o, "job"));
    int64_t attempt = Fake_Int(o, "attempt", -1);
    const struct fake_task *task;

    if (job == NULL || attempt < 0 ||
        !json_is_string(json_object_get(o, "label")) ||
        !json_is_array(json_object_get(o, "accelerators"))) {
        Fake_Reply(ex, 400, json_pack("{s:s}", "reason", "start"));
        return;
    }
    task = find_task(r, job, attempt);
    if (is_stale(r, task, o)) {
        Fake_Reply(ex, 409, json_pack("{s:s}", "reason", "stale"));
        return;
    }
    if (task == NULL) {
        start_task(r, o, job, attempt);
    }
    Fake_Reply(ex, 200, json_object());
}

/* POST /runner/renew. */
static void
serve_renew(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *job = json_string_value(json_object_get(o, "job"));
    struct fake_task *task =
        find_task(r, job == NULL ? "" : job, Fake_Int(o, "attempt", -1));

    if (task == NULL || task->ended) {
        Fake_Reply(ex, task == NULL ? 404 : 409, json_object());
        return;
    }
    set_lease(task, Fake_Int(o, "until", 0));
    Fake_Reply(ex, 200, json_object());
}

/* POST /runner/control. */
static void
serve_control(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *job = json_string_value(json_object_get(o, "job"));
    const char *verb = json_string_value(json_object_get(o, "verb"));
    struct fake_task *task;
    size_t i;

    task = find_task(r, job == NULL ? "" : job, Fake_Int(o, "attempt", -1));
    if (task == NULL) {
        Fake_Reply(ex, 404, json_pack("{s:s}", "reason", "no_such_task"));
        return;
    }
    for (i = 0; i < COUNT_OF(verbs); i++) {
        if (verb != NULL && strcmp(verbs[i].verb, verb) == 0) {
            if (!task->ended) {
                verbs[i].apply(task);
            }
            Fake_Reply(ex, 200, json_object());
            return;
        }
    }
    Fake_Reply(ex, 400, json_pack("{s:s}", "reason", "verb"));
}

/* A task as it is listed. */
static json_t *
task_to_json(const struct fake_task *task)
{
    int64_t now = Clock_NowMs();
    int64_t age =
        task->checkpoint_done_ms < 0 ? -1 : now - task->checkpoint_done_ms;
    int64_t usage = now - task->changed_ms >= USAGE_LAG_MS
                        ? task->rate_permille
                        : task->previous_rate_permille;

    return json_pack("{s:s,s:I,s:s,s:O,s:I,s:I,s:I,s:s}", "job", task->job,
                     "attempt", (json_int_t)task->attempt, "state",
                     task->state, "accelerators", task->accelerators,
                     "checkpoint_ms", (json_int_t)age, "usage_permille",
                     (json_int_t)(task->ended ? 0 : usage), "until",
                     (json_int_t)task->lease_until_ms, "label", task->label);
}

/* Lists what runs, and on request what has ended of late. */
static json_t *
tasks_to_json(const struct fake_runner *r, bool with_ended)
{
    json_t *all = json_array();
    const struct fake_task *task;

    TAILQ_FOREACH (task, &r->tasks, entry) {
        if (!task->ended ||
            (with_ended && Clock_NowMs() - task->ended_ms < ENDED_LISTED_MS)) {
            json_array_append_new(all, task_to_json(task));
        }
    }
    return all;
}

/* Answers with what runs and what has ended. */
static void
reply_tasks(const struct fake_runner *r, struct http_exchange *ex)
{
    Fake_Reply(ex, 200,
               json_pack("{s:o,s:I}", "tasks", tasks_to_json(r, true), "clock",
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
                             tasks_to_json(r, false), "double_booked",
                             (json_int_t)r->double_booked, "overlapping",
                             (json_int_t)r->overlapping_attempts));
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
    TAILQ_INIT(&r->tasks);
    return r;
}

/* Frees the runner and its tasks. */
void
FakeRunner_Free(struct fake_runner *r)
{
    struct fake_task *task;

    while ((task = TAILQ_FIRST(&r->tasks)) != NULL) {
        TAILQ_REMOVE(&r->tasks, task, entry);
        ev_timer_stop(r->loop, &task->run_timer);
        ev_timer_stop(r->loop, &task->write_timer);
        ev_timer_stop(r->loop, &task->lease_timer);
        json_decref(task->accelerators);
        free(task->label);
        free(task);
    }
    json_decref(r->log);
    free(r);
}
