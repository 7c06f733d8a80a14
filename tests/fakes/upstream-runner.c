#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#define USAGE_LAG_MS 2000           /* usage reports lag by this */
#define FULL_RATE_PERMILLE 1000     /* of a task's full speed */
#define THROTTLED_RATE_PERMILLE 100 /* of the speed while throttled */
#define ENDED_LISTED_MS 60000       /* how long an ended task stays listed */
#define FOREVER_MS INT64_MAX        /* for a spec without run_ms */

/* A task: one attempt of a job, as far as it runs on this worker. */
struct fake_task {
    struct fake_runner *runner;
    char job[ID_HEX_SIZE];
    int64_t attempt;
    json_t *accelerators;
    char *label;
    int64_t lease_until_ms; /* end of the lease, worker's clock */
    const char *state;      /* as reported, such as "running" */
    bool ended;
    bool fails;
    bool stop_after;      /* stop when the current checkpoint is written */
    int64_t remaining_ms; /* work left at changed_ms, at full rate */
    int64_t rate_permille;
    /* Usage is reported by this rate for USAGE_LAG_MS after a change. */
    int64_t previous_rate_permille;
    int64_t changed_ms;
    int64_t ended_ms;
    int64_t checkpoint_write_ms; /* time to write a checkpoint */
    int64_t checkpoint_done_ms;  /* of the last checkpoint; -1: none */
    ev_timer run_timer;
    ev_timer write_timer;
    ev_timer lease_timer;
    TAILQ_ENTRY(fake_task) entry;
};

struct fake_runner {
    struct ev_loop *loop;
    json_t *log;
    char agent[17];        /* id of the attached agent */
    int64_t double_booked; /* starts on an accelerator that is in use */
    /* Starts while another attempt of the same job runs. */
    int64_t overlapping_attempts;
    TAILQ_HEAD(, fake_task) tasks;
};

/* Appends an event to the log that GET /runner/log returns. */
static void
log_event(const struct fake_task *task, const char *event)
{
    json_array_append_new(
        task->runner->log,
        json_pack("{s:I,s:s,s:I,s:s}", "at_ms", (json_int_t)Clock_WallMs(),
                  "job", task->job, "attempt", (json_int_t)task->attempt,
                  "event", event));
}

/* Ends a task; it stays in the list. */
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

/* Ends a task whose work is done. */
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

/* Stops a task whose lease has expired. */
static void
on_lease_expired(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct fake_task *task = w->data;

    end_task(task, "stopped", "lease-end");
}

/* Extends the lease to a time of the worker's clock. An earlier time than the
 * present end is ignored. */
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

/* Returns the state of a task that is running. */
static const char *
running_state(const struct fake_task *task)
{
    return task->rate_permille == FULL_RATE_PERMILLE ? "running" : "throttled";
}

/* Changes the speed of a task. Usage reports follow after USAGE_LAG_MS. */
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

/* Completes a checkpoint and stops the task if that was requested. */
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

/* Starts to write a checkpoint, unless one is being written already. */
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

/* Finds the task of an attempt. */
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

/* True when two lists of accelerators have an accelerator in common. */
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

/* Counts starts that no correct agent requests. Such a task is started all
 * the same. */
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

/* Decodes the spec, which is JSON in base64. The scheduler and the agent
 * forward it without reading it. */
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

/* Creates and starts the task of a new attempt. */
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

/* True when a start is outdated: it comes from an agent that is not attached,
 * its task has ended, or its lease is over. */
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

/* Serves POST /runner/start. A repeated start of a running task succeeds and
 * changes nothing. */
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

/* Serves POST /runner/renew: extends the lease of a task. */
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

/* Serves POST /runner/control: applies a verb to a task. A known verb for an
 * ended task succeeds and does nothing. */
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

/* Returns a task as it is listed. */
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

/* Lists the running tasks and, if with_ended, those that ended within the
 * last ENDED_LISTED_MS. */
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

/* Replies with the running and the recently ended tasks. */
static void
reply_tasks(const struct fake_runner *r, struct http_exchange *ex)
{
    Fake_Reply(ex, 200,
               json_pack("{s:o,s:I}", "tasks", tasks_to_json(r, true), "clock",
                         (json_int_t)Clock_NowMs()));
}

/* Serves POST /runner/attach: from now on only this agent may start tasks. */
static void
serve_attach(struct fake_runner *r, struct http_exchange *ex, const json_t *o)
{
    const char *agent = json_string_value(json_object_get(o, "agent"));

    Str_Copy(r->agent, sizeof(r->agent), agent == NULL ? "" : agent);
    reply_tasks(r, ex);
}

/* Dispatches a request under /runner/ by its path. */
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

/* Creates a runner without tasks. */
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
