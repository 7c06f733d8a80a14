#include "platform-call.h"

#include "kernel.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_MS 50 /* before the second try; jitter removes up to half */
#define BACKOFF_MAX_MS 2000 /* before any later try */
#define BACKOFF_DOUBLINGS 6 /* enough to pass BACKOFF_MAX_MS */
#define MAX_CONNECTIONS 32  /* per table, object store or runner client */
#define MAX_RESPONSE_BYTES ((size_t)32 << 20)

static struct counter tries_total = {.name = "pf_platform_tries_total",
                                     .help = "Tries of calls to the platform.",
                                     .kind = COUNTER_TOTAL};
static struct counter retries_total = {.name = "pf_platform_again_total",
                                       .help = "Tries after the first.",
                                       .kind = COUNTER_TOTAL};
static struct counter over_budget_total = {.name = "pf_platform_budget_total",
                                           .help = "Calls over the budget.",
                                           .kind = COUNTER_TOTAL};

/* Initialises the state common to the three clients. */
int
Platform_HttpInit(struct platform_http *p, struct ev_loop *loop,
                  const char *url, const struct platform_limits *limits)
{
    if (url == NULL || *url == '\0') {
        return ERR_INVALID;
    }
    p->loop = loop;
    p->client = Http_ClientNew(loop, MAX_CONNECTIONS);
    p->url = Mem_Dup(url);
    p->limits = *limits;
    Bucket_Init(&p->reads, limits->reads_per_s, Clock_NowMs());
    Bucket_Init(&p->writes, limits->writes_per_s, Clock_NowMs());
    TAILQ_INIT(&p->calls);
    return ERR_OK;
}

/* Frees a call in any state, cancelling its timer and its request. */
static void
free_call(struct call *call)
{
    TAILQ_REMOVE(&call->platform->calls, call, entry);
    ev_timer_stop(call->platform->loop, &call->wait);
    Http_Cancel(call->http);
    if (call->ops->free != NULL) {
        call->ops->free(call);
    }
    free(call->path);
    Buf_Free(&call->body);
    free(call);
}

/* Frees all open calls, without their callbacks, and the common state. */
void
Platform_HttpClear(struct platform_http *p)
{
    struct call *call, *next;

    TAILQ_FOREACH_SAFE (call, &p->calls, entry, next) {
        free_call(call);
    }
    Http_ClientFree(p->client);
    free(p->url);
}

/* Ends a call that got no usable response. A write whose earlier try may have
 * taken effect ends with ERR_UNKNOWN, whatever the error of its last try. */
static void
fail_call(struct call *call, int err)
{
    if (call->write && call->maybe_applied) {
        err = ERR_UNKNOWN;
    }
    else if (err == ERR_CUT || err == ERR_TOOBIG) {
        err = ERR_IO;
    }
    call->ops->on_failure(call, err);
    free_call(call);
}

/* Returns the delay before the next try: exponential backoff with jitter over
 * half of it, so that clients don't all retry at once after an outage. */
static int64_t
retry_delay_ms(const struct call *call)
{
    int doublings =
        call->tries < BACKOFF_DOUBLINGS ? call->tries - 1 : BACKOFF_DOUBLINGS;
    int64_t ms = (int64_t)BACKOFF_MS << doublings;

    ms = ms > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : ms;
    ms = ms / 2 + (int64_t)(Id_Random64() % (uint64_t)(ms / 2 + 1));
    return ms > call->retry_after_ms ? ms : call->retry_after_ms;
}

/* Schedules the next try; fails the call at once when it is a read or when the
 * try would have less than half of its usual time before the deadline.
 *
 * A try that is cut off after a few milliseconds turns the certain refusal of
 * the tries before it into ERR_UNKNOWN: the caller could not learn that
 * nothing was written. */
static void
retry_or_fail(struct call *call)
{
    int64_t ms = retry_delay_ms(call);
    int64_t needed_ms = call->platform->limits.timeout_ms / 2;

    if (!call->write || Clock_NowMs() + ms + needed_ms >= call->deadline_ms) {
        fail_call(call, call->err);
        return;
    }
    Timer_Set(call->platform->loop, &call->wait, ms);
}

/* Handles the end of one try. */
static void
on_try_done(void *arg, struct http_result *result)
{
    struct call *call = arg;
    bool got_response = result->err == ERR_OK;
    bool was_busy = call->err == ERR_BUSY;

    call->http = NULL;
    call->err = result->err;
    call->retry_after_ms = result->retry_after_ms;
    if (got_response && (result->status == 429 || result->status == 503)) {
        call->err = ERR_BUSY;
        retry_or_fail(call);
        return;
    }
    if (got_response && result->status < 500 &&
        call->ops->on_response(call, result)) {
        free_call(call);
        return;
    }
    if (got_response) {
        call->err = ERR_IO;
    }
    if (call->err != ERR_UNREACHABLE) {
        call->maybe_applied = true;
    }
    else if (was_busy) {
        call->err = ERR_BUSY; /* also means no effect, and names the cause */
    }
    retry_or_fail(call);
}

/* Sends one try. A write uses a fresh connection: when a reused connection
 * closes without a response, libcurl silently sends the request again. The
 * repeat may conflict with the write of the first request, and this conflict
 * would be taken for a real one, as no earlier try is known. */
static void
send_try(struct call *call)
{
    struct platform_http *p = call->platform;
    const struct http_header type = {"Content-Type", call->content_type};
    struct buf url CLEANUP(Buf_Free) = {0};
    struct http_request request = {.method = call->method,
                                   .headers = &type,
                                   .header_count = call->content_type != NULL,
                                   .timeout_ms = p->limits.timeout_ms,
                                   .stall_ms =
                                       call->write ? 0 : p->limits.timeout_ms,
                                   .connect_ms = p->limits.timeout_ms,
                                   .max_body = MAX_RESPONSE_BYTES,
                                   .once = call->write};
    int64_t left = call->deadline_ms - Clock_NowMs();

    if (call->write && left < request.timeout_ms) {
        request.timeout_ms = left > 1 ? left : 1;
    }
    if (call->content_type != NULL) {
        request.body = call->body.data == NULL ? "" : call->body.data;
        request.body_len = call->body.len;
    }
    Buf_Printf(&url, "%s%s", p->url, call->path);
    request.url = url.data;
    call->tries++;
    Counter_Add(&tries_total, 1);
    call->http = Http_Call(p->client, &request, on_try_done, call);
}

/* Takes the cost of a try from the budget; returns false if it is too low. */
static bool
take_budget(struct call *call)
{
    struct platform_http *p = call->platform;
    struct bucket *b = call->write ? &p->writes : &p->reads;

    return Bucket_Take(b, call->cost, Clock_NowMs());
}

/* Ends a call that was over the budget at its start, or sends the next try of
 * a call that waited for its retry delay. */
static void
on_retry_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct call *call = w->data;

    if (call->tries == 0) {
        fail_call(call, ERR_BUSY);
        return;
    }
    if (!take_budget(call)) {
        retry_or_fail(call);
        return;
    }
    Counter_Add(&retries_total, 1);
    send_try(call);
}

/* Makes a call without starting it; it costs one token unless the caller sets
 * another cost. */
void *
Call_New(struct platform_http *p, size_t size, const struct call_ops *ops,
         const char *method, const char *path)
{
    struct call *call = Mem_Zero(1, size);

    call->ops = ops;
    call->platform = p;
    call->method = method;
    call->path = Mem_Dup(path);
    call->cost = 1;
    ev_init(&call->wait, on_retry_timer);
    call->wait.data = call;
    TAILQ_INSERT_TAIL(&p->calls, call, entry);
    return call;
}

/* Sets a JSON body and its content type. */
void
Call_SetJson(struct call *call, json_t *body)
{
    char *text CLEANUP(Mem_FreeP) = json_dumps(body, JSON_COMPACT);

    if (text == NULL) {
        Fatal("cannot encode the JSON body of a platform call to %s",
              call->path);
    }
    call->content_type = "application/json";
    Buf_Set(&call->body, text, strlen(text));
    json_decref(body);
}

/* Starts a call. One that is over the budget fails on the next iteration of
 * the loop, as a callback must never run inside the function that starts the
 * call.
 */
void
Call_Start(struct call *call)
{
    call->deadline_ms = Clock_NowMs() + call->platform->limits.give_up_ms;
    if (!take_budget(call)) {
        Counter_Add(&over_budget_total, 1);
        Timer_Set(call->platform->loop, &call->wait, 0);
        return;
    }
    send_try(call);
}
