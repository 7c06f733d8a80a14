#include "platform-call.h"

#include "kernel.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_MS 50       /* before the second try, half of it at least */
#define BACKOFF_MAX_MS 2000 /* before any later one */
#define BACKOFF_DOUBLINGS 6 /* enough to pass BACKOFF_MAX_MS */
#define MAX_CONNECTIONS 32  /* of one plug-in at once */
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

/* Prepares what the plug-ins share. */
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

/* Frees a call, wherever it stands. */
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

/* Drops the open calls and what is shared. */
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

/* Ends a call without an answer. A write that may have been carried out is
 * unknown, whatever became of its last try. */
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

/* Time before the next try: it doubles, and half of it is left to chance, so
 * that the callers of an outage don't come back as one wave. */
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

/* Tries again later, or gives up at once when there is no time for it. */
static void
retry_or_fail(struct call *call)
{
    int64_t ms = retry_delay_ms(call);

    if (!call->write || Clock_NowMs() + ms >= call->deadline_ms) {
        fail_call(call, call->err);
        return;
    }
    Timer_Set(call->platform->loop, &call->wait, ms);
}

/* The end of one try. */
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
        call->err = ERR_BUSY; /* says more, and also that nothing was done */
    }
    retry_or_fail(call);
}

/* Sends one try. A write goes on a fresh connection: on one that was used
 * before, libcurl by itself sends again when it closes without an answer, and
 * the conflict of that second sending would be taken for the first's. */
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

/* Takes the cost of a try from the budget. */
static bool
take_budget(struct call *call)
{
    struct platform_http *p = call->platform;
    struct bucket *b = call->write ? &p->writes : &p->reads;

    return Bucket_Take(b, call->cost, Clock_NowMs());
}

/* A call that was over the budget ends; one that waited tries again. */
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

/* Makes a call. */
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

/* Sets a JSON body. */
void
Call_SetJson(struct call *call, json_t *body)
{
    char *text CLEANUP(Mem_FreeP) = json_dumps(body, JSON_COMPACT);

    if (text == NULL) {
        Fatal("a call's body can't be written as JSON: %s", call->path);
    }
    call->content_type = "application/json";
    Buf_Set(&call->body, text, strlen(text));
    json_decref(body);
}

/* Starts a call within the budget; one over it ends on the loop's next turn,
 * as callbacks never come from inside the caller. */
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
