#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* HTTP status and effect of each refusal in the product's own interface. */
static const struct {
    enum queue_outcome outcome;
    int status;
    const char *effect;
} statuses[] = {
    {QUEUE_NO_QUEUE, 404, "not_run"},    {QUEUE_NO_KEY, 401, "not_run"},
    {QUEUE_NO_JOB, 404, "not_run"},      {QUEUE_INVALID, 400, "not_run"},
    {QUEUE_RETRY_LATER, 503, "not_run"}, {QUEUE_NO_CAPACITY, 429, "not_run"},
    {QUEUE_CANCELLED, 409, "not_run"},   {QUEUE_UNKNOWN, 504, "unknown"}};

/* Answers a call of the product's own interface. */
static void
on_done(struct queue_call *call)
{
    struct http_exchange *ex = call->arg;

    for (size_t i = 0; i < COUNT_OF(statuses); i++) {
        if (statuses[i].outcome == call->outcome) {
            Front_Refuse(ex, statuses[i].status, statuses[i].effect,
                         call->reason, "",
                         call->retry_ms > 0 ? call->retry_ms : -1, NULL);
            return;
        }
    }
    Front_ReplyJson(ex, call->verb == QUEUE_SUBMIT ? 202 : 200,
                    json_pack("{s:s,s:s}", "id", call->job, "state",
                              Jobs_StateName(call->state)));
}

/* True when the caller has disconnected. */
static bool
has_left(const struct queue_call *call)
{
    return Http_ClientLeft(call->arg);
}

/* Creates a call from an HTTP request. */
static struct queue_call *
new_call(struct http_exchange *ex, enum queue_verb verb)
{
    struct queue_call *call = QueueCall_New(verb);
    const char *token = Requests_Token(ex);

    call->done = on_done;
    call->has_left = has_left;
    call->arg = ex;
    QueueCall_SetText(&call->key, token != NULL ? token : "");
    return call;
}

/* POST /v1/jobs: submits a job in the JSON format of its row (jobs.h), with
 * its id and queue. */
static void
submit(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    const struct buf *body = Http_Body(ex);
    struct queue_call *call = new_call(ex, QUEUE_SUBMIT);

    if (JobsSpec_Decode(body->data != NULL ? body->data : "", body->len,
                        &call->spec) != ERR_OK) {
        Queue_CallKind.free(&call->base);
        Front_Refuse(ex, 400, "not_run", "malformed_job",
                     "id, queue, payload, steps: [{count, millicores, "
                     "memory_mb, accelerators, estimate_ms, after, ...}]",
                     -1, NULL);
        return;
    }
    Str_Copy(call->queue, sizeof(call->queue), call->spec.queue);
    Str_Copy(call->job, sizeof(call->job), call->spec.id);
    Queue_Call(t->kernel, call);
}

/* Posts a call that names its job. */
static void
call_for_job(struct task *t, struct http_exchange *ex, const char *id,
             enum queue_verb verb)
{
    struct queue_call *call = new_call(ex, verb);

    if (Str_Copy(call->job, sizeof(call->job), id) != ERR_OK) {
        Queue_CallKind.free(&call->base);
        Front_Refuse(ex, 404, "not_run", "no_such_job", "", -1, NULL);
        return;
    }
    Queue_Call(t->kernel, call);
}

/* GET /v1/jobs/ID: returns the state of a job. */
static void
query(struct task *t, struct http_exchange *ex, const char *id)
{
    call_for_job(t, ex, id, QUEUE_QUERY);
}

/* DELETE /v1/jobs/ID: cancels a job. */
static void
cancel(struct task *t, struct http_exchange *ex, const char *id)
{
    call_for_job(t, ex, id, QUEUE_CANCEL);
}

static struct front_route submit_route = {
    "POST", "/v1/jobs", TASK_INTAKE, submit, {0}};
static struct front_route query_route = {
    "GET", "/v1/jobs/*", TASK_INTAKE, query, {0}};
static struct front_route cancel_route = {
    "DELETE", "/v1/jobs/*", TASK_INTAKE, cancel, {0}};
FRONT_ROUTE(submit_route)
FRONT_ROUTE(query_route)
FRONT_ROUTE(cancel_route)
