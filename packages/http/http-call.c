#include "http-client.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define DEFAULT_CONNECT_MS 2000
#define DEFAULT_TIMEOUT_MS 10000
#define DEFAULT_MAX_BODY ((size_t)4 << 20)
#define CURL_MAX_IDLE_S 118 /* libcurl closes connections idle for longer */

/* Frees a call, its timer and its libcurl handle. */
void
HttpCall_Free(struct http_call *call)
{
    TAILQ_REMOVE(&call->client->calls, call, entry);
    ev_timer_stop(call->client->loop, &call->deadline);
    curl_multi_remove_handle(call->client->multi, call->easy);
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    Buf_Free(&call->result.body);
    free(call);
}

/* Appends received data to the body; aborts the transfer over max_body. */
static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
    struct http_call *call = arg;
    size_t len = size * n;

    if (call->result.body.len + len > call->max_body) {
        call->too_big = true;
        return 0;
    }
    Buf_Append(&call->result.body, data, len);
    call->last_byte_ms = Clock_NowMs();
    if (call->first_byte_ms == 0) {
        call->first_byte_ms = call->last_byte_ms;
    }
    call->result.transfer_ms = call->last_byte_ms - call->first_byte_ms;
    return len;
}

/* Copies the value of a header line, cut to size, if the header has the given
 * name. */
static bool
header_value(const char *line, size_t len, const char *name, char *out,
             size_t size)
{
    size_t n = strlen(name);
    char *end;

    if (len <= n || strncasecmp(line, name, n) != 0 || line[n] != ':') {
        return false;
    }
    for (n++; n < len && line[n] == ' '; n++) {
    }
    len -= n;
    if (len >= size) {
        len = size - 1;
    }
    memcpy(out, line + n, len);
    out[len] = '\0';
    end = out + strcspn(out, "\r\n");
    *end = '\0';
    return true;
}

/* Stores the headers that callers use. A status line starts the headers of a
 * new response (as after a 100 Continue) and resets end_marked. */
static size_t
on_header(char *line, size_t size, size_t n, void *arg)
{
    struct http_call *call = arg;
    size_t len = size * n;
    char text[128];

    if (len > 5 && strncmp(line, "HTTP/", 5) == 0) {
        call->end_marked = false;
        return len;
    }
    if (header_value(line, len, "Content-Length", text, sizeof(text)) ||
        (header_value(line, len, "Transfer-Encoding", text, sizeof(text)) &&
         strcasestr(text, "chunked") != NULL)) {
        call->end_marked = true;
    }
    if (header_value(line, len, "Retry-After", text, sizeof(text))) {
        call->result.retry_after_ms = strtoll(text, NULL, 10) * 1000;
    }
    header_value(line, len, "Content-Type", call->result.content_type,
                 sizeof(call->result.content_type));
    header_value(line, len, "ETag", call->result.etag,
                 sizeof(call->result.etag));
    return len;
}

/* True when at least part of the request may have been sent. */
static bool
was_sent(const struct http_call *call)
{
    curl_off_t pretransfer = 0;

    curl_easy_getinfo(call->easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
    return call->sent || pretransfer > 0;
}

/* libcurl's callback before it sends a request on a connection: allows this
 * once.
 *
 * When a reused connection breaks before the first byte of the response,
 * libcurl sends the request again on another one. The peer may carry out the
 * first copy seconds later, and the response to the second one would pass for
 * the outcome of both: a write that was undone counts as done, an order that
 * was carried out as refused. The call fails instead, so that its caller knows
 * that the outcome is unknown. */
static int
allow_first_send(void *arg, char *remote UNUSED, char *local UNUSED,
                 int remote_port UNUSED, int local_port UNUSED)
{
    struct http_call *call = arg;

    if (call->sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    call->sent = true;
    return CURL_PREREQFUNC_OK;
}

/* True when the end of the response is marked by a length or by chunks, or the
 * status allows no body. A response that ends by a close alone may have been
 * truncated, and the caller would take half a report for the whole. */
static bool
is_complete(const struct http_call *call)
{
    int status = call->result.status;

    return call->end_marked || status == 204 || status == 304;
}

/* Translates libcurl's result into an enum err. */
int
HttpCall_Error(const struct http_call *call, CURLcode code)
{
    if (code == CURLE_OK) {
        return is_complete(call) ? ERR_OK : ERR_CUT;
    }
    if (call->too_big) {
        return ERR_TOOBIG;
    }
    if (!was_sent(call)) {
        return ERR_UNREACHABLE;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? ERR_TIMEOUT : ERR_CUT;
}

/* True when nothing was sent because the peer's kernel refused the connection.
 * A connect that times out also fails with CURLE_COULDNT_CONNECT or a
 * time-out, but with another errno. */
bool
HttpCall_WasRefused(const struct http_call *call, CURLcode code)
{
    long os_error = 0;

    if (code != CURLE_COULDNT_CONNECT || was_sent(call)) {
        return false;
    }
    curl_easy_getinfo(call->easy, CURLINFO_OS_ERRNO, &os_error);
    return os_error == ECONNREFUSED;
}

/* Milliseconds for which a call may continue past its time-out because its
 * response body is arriving; 0: not at all. With a fixed time-out, a response
 * too long for its link is aborted and requested again from the first byte for
 * ever, and the aborted transfers fill the link and delay other responses. So
 * only a pause of stall_ms or HTTP_TRANSFER_MS in all ends such a call. */
static int64_t
transfer_left_ms(const struct http_call *call)
{
    int64_t now = Clock_NowMs();
    int64_t stall_left = call->last_byte_ms + call->stall_ms - now;
    int64_t total_left = call->started_ms + HTTP_TRANSFER_MS - now;
    int64_t left = stall_left < total_left ? stall_left : total_left;

    return call->stall_ms > 0 && call->first_byte_ms > 0 && left > 0 ? left
                                                                     : 0;
}

/* Ends a call at its deadline, or extends it while the response is arriving.
 * The timer runs from the start of the call, as libcurl's own time-out does
 * not end a transfer that waits for a free connection to its host: the caller
 * would wait past its deadline for the calls queued before it. */
static void
on_deadline(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct http_call *call = w->data;
    int64_t left = transfer_left_ms(call);

    if (left > 0) {
        ev_timer_set(w, (double)left / 1000.0, 0.);
        ev_timer_start(loop, w);
        return;
    }
    call->result.err = ERR_UNREACHABLE;
    if (was_sent(call)) {
        call->result.err = ERR_TIMEOUT;
        call->client->last_timeout_ms = Clock_NowMs();
    }
    call->done(call->arg, &call->result);
    HttpCall_Free(call);
}

/* Starts the deadline timer of a call. */
static void
set_deadline(struct http_call *call, int64_t ms)
{
    struct ev_loop *loop = call->client->loop;

    ev_now_update(loop);
    ev_timer_init(&call->deadline, on_deadline, (double)ms / 1000.0, 0.);
    call->deadline.data = call;
    ev_timer_start(loop, &call->deadline);
}

/* Excludes connections opened before the last time-out from reuse. When a
 * network device loses its state of all open connections, they accept data and
 * never answer, while new ones work. Each call would then take the next idle
 * connection and time out, until none is left. After a time-out that was only
 * due to a slow upstream, the cost is some new connections. */
static void
avoid_dead_connections(const struct http_client *client, CURL *easy)
{
    int64_t age_s = (Clock_NowMs() - client->last_timeout_ms) / 1000;

    if (client->last_timeout_ms == 0 || age_s > CURL_MAX_IDLE_S) {
        return;
    }
    if (age_s < 2) { /* libcurl uses whole seconds, and 0 is no limit */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, (long)age_s - 1);
}

/* Sets the options common to all calls: no proxy, no signals, HTTP/1.1, no
 * second try but of a GET, and reuse of connections unless the request asks
 * for a new one. Redirects stay off, which is libcurl's default. */
static void
set_common(struct http_call *call, const struct http_request *request)
{
    CURL *e = call->easy;
    int64_t connect_ms =
        request->connect_ms ? request->connect_ms : DEFAULT_CONNECT_MS;

    curl_easy_setopt(e, CURLOPT_PRIVATE, call);
    curl_easy_setopt(e, CURLOPT_URL, request->url);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
    curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, call);
    avoid_dead_connections(call->client, e);
    if (strcmp(request->method, "GET") != 0) {
        curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, allow_first_send);
        curl_easy_setopt(e, CURLOPT_PREREQDATA, call);
    }
    if (request->once) {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
}

/* Sets the method, the body and the headers. */
static void
set_content(struct http_call *call, const struct http_request *request)
{
    struct buf line CLEANUP(Buf_Free) = {0};
    CURL *e = call->easy;
    size_t i;

    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, request->method);
    if (request->body != NULL) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body_len);
        curl_easy_setopt(e, CURLOPT_COPYPOSTFIELDS, request->body);
    }
    call->headers = curl_slist_append(NULL, "Expect:");
    for (i = 0; i < request->header_count; i++) {
        Buf_Clear(&line);
        Buf_Printf(&line, "%s: %s", request->headers[i].name,
                   request->headers[i].value);
        call->headers = curl_slist_append(call->headers, line.data);
    }
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, call->headers);
}

/* Starts a call. */
struct http_call *
Http_Call(struct http_client *client, const struct http_request *request,
          http_done done, void *arg)
{
    struct http_call *call = Mem_Zero(1, sizeof(*call));

    call->client = client;
    call->done = done;
    call->arg = arg;
    call->max_body = request->max_body ? request->max_body : DEFAULT_MAX_BODY;
    call->stall_ms = request->stall_ms;
    call->started_ms = Clock_NowMs();
    call->result.retry_after_ms = -1;
    call->easy = curl_easy_init();
    if (call->easy == NULL) {
        Fatal("can't create a libcurl handle");
    }
    set_common(call, request);
    set_content(call, request);
    TAILQ_INSERT_TAIL(&client->calls, call, entry);
    set_deadline(call, request->timeout_ms ? request->timeout_ms
                                           : DEFAULT_TIMEOUT_MS);
    curl_multi_add_handle(client->multi, call->easy);
    return call;
}

/* Ends a call without its callback. */
void
Http_Cancel(struct http_call *call)
{
    if (call != NULL) {
        HttpCall_Free(call);
    }
}
