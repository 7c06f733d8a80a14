#include "platform-call.h"

#include <stdlib.h>
#include <string.h>

#define ACCELERATOR_BITS 64

struct http_runner {
    struct runner runner;
    struct platform_http http;
};

struct action_call {
    struct call call;
    runner_done done;
    void *arg;
};

struct list_call {
    struct call call;
    runner_listed done;
    void *arg;
};

static const char *const verb_names[] = {[RUNNER_STOP] = "stop",
                                         [RUNNER_CHECKPOINT_AND_STOP] =
                                             "checkpoint-and-stop",
                                         [RUNNER_CHECKPOINT] = "checkpoint",
                                         [RUNNER_THROTTLE] = "throttle",
                                         [RUNNER_RESUME] = "resume"};

static const char *const state_names[] = {[RUNNER_RUNNING] = "running",
                                          [RUNNER_THROTTLED] = "throttled",
                                          [RUNNER_CHECKPOINTING] =
                                              "checkpointing",
                                          [RUNNER_ENDED_WELL] = "ended",
                                          [RUNNER_FAILED] = "failed",
                                          [RUNNER_STOPPED] = "stopped"};

static const struct {
    int status;
    int err;
} action_errors[] = {
    {200, ERR_OK}, {404, ERR_NOTFOUND}, {409, ERR_STALE}, {400, ERR_INVALID}};

/* Reports the outcome of a start, renewal or control to the caller. */
static bool
action_on_response(struct call *call, struct http_result *result)
{
    struct action_call *action = (struct action_call *)call;
    size_t i;

    for (i = 0; i < COUNT_OF(action_errors); i++) {
        if (action_errors[i].status == result->status) {
            action->done(action->arg, action_errors[i].err);
            return true;
        }
    }
    return false;
}

static void
action_on_failure(struct call *call, int err)
{
    struct action_call *action = (struct action_call *)call;

    action->done(action->arg, err);
}

static const struct call_ops action_ops = {.on_response = action_on_response,
                                           .on_failure = action_on_failure};

/* Sends a start, renewal or control. All name the attempt, so retrying them
 * after a lost response is idempotent. */
static void
start_action(struct runner *runner, const char *path, json_t *body,
             runner_done done, void *arg)
{
    struct http_runner *r = (struct http_runner *)runner;
    struct action_call *call =
        Call_New(&r->http, sizeof(*call), &action_ops, "POST", path);

    call->done = done;
    call->arg = arg;
    call->call.write = true;
    Call_SetJson(&call->call, body);
    Call_Start(&call->call);
}

/* Encodes a bit set as a JSON list of bit numbers. */
static json_t *
bits_json(uint64_t bits)
{
    json_t *list = json_array();
    int i;

    for (i = 0; i < ACCELERATOR_BITS; i++) {
        if ((bits >> i) & 1) {
            json_array_append_new(list, json_integer(i));
        }
    }
    return list;
}

/* Encodes an agent's number as hexadecimal text, as jansson's integers are
 * signed and can't hold all 64-bit values. */
static json_t *
agent_json(uint64_t agent)
{
    return json_sprintf("%016llx", (unsigned long long)agent);
}

/* Starts a task. */
static void
runner_start(struct runner *runner, const struct runner_start *start,
             runner_done done, void *arg)
{
    char hex[ID_HEX_SIZE];

    start_action(runner, "/runner/start",
                 json_pack("{s:o,s:s,s:I,s:o,s:I,s:s,s:o}", "agent",
                           agent_json(start->agent), "job",
                           Id_Hex(&start->job, hex), "attempt",
                           (json_int_t)start->attempt, "accelerators",
                           bits_json(start->accelerators), "until",
                           (json_int_t)start->until, "label", start->label,
                           "spec", Json_Bytes(start->spec, start->spec_len)),
                 done, arg);
}

/* Renews the lease of a task. */
static void
runner_renew(struct runner *runner, const struct id *job, uint64_t attempt,
             int64_t until, runner_done done, void *arg)
{
    char hex[ID_HEX_SIZE];

    start_action(runner, "/runner/renew",
                 json_pack("{s:s,s:I,s:I}", "job", Id_Hex(job, hex), "attempt",
                           (json_int_t)attempt, "until", (json_int_t)until),
                 done, arg);
}

/* Controls a task. */
static void
runner_control(struct runner *runner, const struct id *job, uint64_t attempt,
               enum runner_verb verb, runner_done done, void *arg)
{
    char hex[ID_HEX_SIZE];

    start_action(runner, "/runner/control",
                 json_pack("{s:s,s:I,s:s}", "job", Id_Hex(job, hex), "attempt",
                           (json_int_t)attempt, "verb", verb_names[verb]),
                 done, arg);
}

/* Reads a JSON list of bit numbers as a bit set. */
static int
read_bits(const json_t *list, uint64_t *bits)
{
    const json_t *item;
    int64_t n;
    size_t i;

    if (!json_is_array(list)) {
        return ERR_INVALID;
    }
    json_array_foreach(list, i, item)
    {
        if (Json_Whole(item, ACCELERATOR_BITS - 1, &n) != ERR_OK) {
            return ERR_INVALID;
        }
        *bits |= (uint64_t)1 << n;
    }
    return ERR_OK;
}

/* Reads the name of a task's state. */
static int
read_state(const json_t *name, enum runner_state *state)
{
    const char *s = json_string_value(name);
    size_t i;

    for (i = 0; s != NULL && i < COUNT_OF(state_names); i++) {
        if (strcmp(state_names[i], s) == 0) {
            *state = (enum runner_state)i;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

/* Reads a task. */
static int
read_task(const json_t *o, struct runner_task *task)
{
    const char *label = json_string_value(json_object_get(o, "label"));
    int64_t attempt;

    if (label == NULL ||
        Json_ToInt(json_object_get(o, "until"), &task->until) != ERR_OK ||
        Json_ToId(json_object_get(o, "job"), &task->job) != ERR_OK ||
        Json_ToInt(json_object_get(o, "attempt"), &attempt) != ERR_OK ||
        read_state(json_object_get(o, "state"), &task->state) != ERR_OK ||
        read_bits(json_object_get(o, "accelerators"), &task->accelerators) !=
            ERR_OK ||
        Json_ToInt(json_object_get(o, "checkpoint_ms"),
                   &task->checkpoint_ms) != ERR_OK ||
        Json_ToInt(json_object_get(o, "usage_permille"),
                   &task->usage_permille) != ERR_OK) {
        return ERR_INVALID;
    }
    task->attempt = (uint64_t)attempt;
    Str_Copy(task->label, sizeof(task->label), label);
    return ERR_OK;
}

/* Passes the tasks in a response to the caller. */
static bool
list_on_response(struct call *call, struct http_result *result)
{
    struct list_call *list = (struct list_call *)call;
    json_t *o = Json_FromResult(result);
    const json_t *tasks = json_object_get(o, "tasks"), *task;
    size_t i, n = json_array_size(tasks);
    struct runner_task *found = Mem_Zero(n + 1, sizeof(*found));
    int64_t clock = 0;
    bool ok = result->status == 200 && json_is_array(tasks) &&
              Json_ToInt(json_object_get(o, "clock"), &clock) == ERR_OK;

    json_array_foreach(tasks, i, task)
    {
        ok = ok && read_task(task, &found[i]) == ERR_OK;
    }
    if (ok) {
        list->done(list->arg, ERR_OK, found, n, clock);
    }
    free(found);
    json_decref(o);
    return ok;
}

static void
list_on_failure(struct call *call, int err)
{
    struct list_call *list = (struct list_call *)call;

    list->done(list->arg, err, NULL, 0, 0);
}

static const struct call_ops list_ops = {.on_response = list_on_response,
                                         .on_failure = list_on_failure};

/* Makes a call whose response is a list of tasks. */
static struct call *
new_list_call(struct runner *runner, const char *method, const char *path,
              runner_listed done, void *arg)
{
    struct http_runner *r = (struct http_runner *)runner;
    struct list_call *list =
        Call_New(&r->http, sizeof(*list), &list_ops, method, path);

    list->done = done;
    list->arg = arg;
    return &list->call;
}

/* Lists the tasks. */
static void
runner_list(struct runner *runner, runner_listed done, void *arg)
{
    Call_Start(new_list_call(runner, "GET", "/runner/tasks", done, arg));
}

/* Replaces the previous agent and lists the tasks. */
static void
runner_attach(struct runner *runner, uint64_t agent, runner_listed done,
              void *arg)
{
    struct call *call =
        new_list_call(runner, "POST", "/runner/attach", done, arg);

    Call_SetJson(call, json_pack("{s:o}", "agent", agent_json(agent)));
    Call_Start(call);
}

static void
runner_free(struct runner *runner)
{
    struct http_runner *r = (struct http_runner *)runner;

    Platform_HttpClear(&r->http);
    free(r);
}

static const struct runner_ops runner_ops = {.name = "http",
                                             .attach = runner_attach,
                                             .start = runner_start,
                                             .renew = runner_renew,
                                             .control = runner_control,
                                             .list = runner_list,
                                             .free = runner_free};

/* Makes a client of a worker's task runner over HTTP. */
struct runner *
Platform_HttpRunner(struct ev_loop *loop, const char *url,
                    const struct platform_limits *limits)
{
    struct http_runner *r = Mem_Zero(1, sizeof(*r));

    r->runner.ops = &runner_ops;
    if (Platform_HttpInit(&r->http, loop, url, limits) != ERR_OK) {
        free(r);
        return NULL;
    }
    return &r->runner;
}
