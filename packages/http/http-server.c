#include "http-server.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Lets libmicrohttpd process its sockets and time-outs. */
static void
run_daemon(struct http_server *server)
{
    MHD_run(server->daemon);
}

/* libmicrohttpd's epoll descriptor is ready. */
static void
on_ready(struct ev_loop *loop UNUSED, ev_io *w, int events UNUSED)
{
    run_daemon(w->data);
}

/* The time-out that libmicrohttpd asked for has expired. */
static void
on_timeout(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    run_daemon(w->data);
}

/* Sets the timer to libmicrohttpd's next time-out before the loop blocks. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int events UNUSED)
{
    struct http_server *server = w->data;
    MHD_UNSIGNED_LONG_LONG ms;

    ev_timer_stop(loop, &server->timer);
    if (MHD_get_timeout(server->daemon, &ms) == MHD_YES) {
        ev_timer_set(&server->timer, (double)ms / 1000.0, 0.);
        ev_timer_start(loop, &server->timer);
    }
}

/* Frees an exchange when libmicrohttpd has completed its request. */
static void
on_completed(void *arg, struct MHD_Connection *connection UNUSED,
             void **context, enum MHD_RequestTerminationCode code UNUSED)
{
    struct http_server *server = arg;
    struct http_exchange *ex = *context;

    if (ex == NULL) {
        return;
    }
    if (ex->response != NULL) {
        MHD_destroy_response(ex->response);
    }
    if (ex->handler_called) {
        server->open_exchanges--;
    }
    TAILQ_REMOVE(&server->exchanges, ex, entry);
    free(ex->path);
    Buf_Free(&ex->body);
    Buf_Free(&ex->headers);
    free(ex);
    *context = NULL;
}

/* Creates the exchange of a new request. */
static struct http_exchange *
new_exchange(struct http_server *server, struct MHD_Connection *connection,
             const char *method, const char *path)
{
    struct http_exchange *ex = Mem_Zero(1, sizeof(*ex));

    ex->server = server;
    ex->connection = connection;
    Str_Copy(ex->method, sizeof(ex->method), method);
    ex->path = Mem_Dup(path);
    TAILQ_INSERT_TAIL(&server->exchanges, ex, entry);
    return ex;
}

/* True when the Content-Length is over the body limit. */
static bool
announces_too_big_body(const struct http_exchange *ex)
{
    const char *length = Http_Header(ex, "Content-Length");

    return length != NULL &&
           strtoull(length, NULL, 10) > ex->server->limits.body_bytes;
}

/* Replies with a status and its JSON text, and closes the connection. */
static void
reply_and_close(struct http_exchange *ex, int status, const char *text)
{
    Http_ReplyHeader(ex, "Connection", "close");
    Http_Reply(ex, status, "application/json", text, strlen(text));
}

/* Replies to a request whose body is over the limit. */
static void
reply_too_big(struct http_exchange *ex)
{
    reply_and_close(ex, MHD_HTTP_CONTENT_TOO_LARGE,
                    "{\"outcome\":\"not_run\",\"reason\":\"body_too_big\"}\n");
}

/* Replies to a request that the handler has not got, as the server stops. */
static void
reply_not_run(struct http_exchange *ex)
{
    Http_ReplyHeader(ex, "Retry-After", "1");
    reply_and_close(ex, MHD_HTTP_SERVICE_UNAVAILABLE,
                    "{\"outcome\":\"not_run\",\"reason\":\"stopping\"}\n");
}

/* Replies to a request that the handler has and has not replied to, as the
 * server stops. The work that it started may take effect, so a 503 could be a
 * false "not run". */
static void
reply_unknown(struct http_exchange *ex)
{
    reply_and_close(ex, MHD_HTTP_GATEWAY_TIMEOUT,
                    "{\"outcome\":\"unknown\",\"reason\":\"stopping\"}\n");
}

/* Passes the response to libmicrohttpd for sending. */
static enum MHD_Result
queue_reply(struct http_exchange *ex)
{
    return MHD_queue_response(ex->connection, (unsigned)ex->status,
                              ex->response);
}

/* Appends a part of the body, or marks the body as too big and drops it. */
static void
append_body(struct http_exchange *ex, const char *data, size_t len)
{
    if (ex->too_big || ex->body.len + len > ex->server->limits.body_bytes) {
        ex->too_big = true;
        Buf_Free(&ex->body);
        return;
    }
    Buf_Append(&ex->body, data, len);
}

/* libmicrohttpd's access handler. It is called once with the headers, for each
 * part of the body, at the end of the body, and again after a resume. */
static enum MHD_Result
on_access(void *arg, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version UNUSED, const char *data,
          size_t *len, void **context)
{
    struct http_server *server = arg;
    struct http_exchange *ex = *context;

    if (ex == NULL) {
        ex = new_exchange(server, connection, method, url);
        *context = ex;
        if (announces_too_big_body(ex)) {
            reply_too_big(ex);
            return queue_reply(ex);
        }
        return MHD_YES;
    }
    if (*len > 0) {
        append_body(ex, data, *len);
        *len = 0;
        return MHD_YES;
    }
    if (ex->replied) {
        return queue_reply(ex);
    }
    if (ex->too_big) {
        reply_too_big(ex);
        return queue_reply(ex);
    }
    if (server->stopping) {
        reply_not_run(ex);
        return queue_reply(ex);
    }
    ex->handler_called = true;
    server->open_exchanges++;
    server->handler(server->arg, ex);
    if (ex->replied) {
        return queue_reply(ex);
    }
    ex->suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

/* Creates a server on an event loop. */
struct http_server *
Http_ServerNew(struct ev_loop *loop, const char *address, int port,
               const struct http_limits *limits, http_handler handler,
               void *arg)
{
    struct http_server *server = Mem_Zero(1, sizeof(*server));
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    const union MHD_DaemonInfo *info;
    unsigned idle_s = (unsigned)((limits->idle_ms + 999) / 1000);

    server->loop = loop;
    server->limits = *limits;
    server->handler = handler;
    server->arg = arg;
    server->quiesced = MHD_INVALID_SOCKET;
    TAILQ_INIT(&server->exchanges);
    if (inet_pton(AF_INET, address, &sa.sin_addr) == 1) {
        server->daemon = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL,
            NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
            (struct sockaddr *)&sa, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
            server, MHD_OPTION_CONNECTION_LIMIT, limits->connections,
            MHD_OPTION_PER_IP_CONNECTION_LIMIT, limits->per_address,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits->header_bytes,
            MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    }
    if (server->daemon == NULL) {
        free(server);
        return NULL;
    }
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
    server->port = info->port;
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&server->io, on_ready, info->epoll_fd, EV_READ);
    server->io.data = server;
    ev_io_start(loop, &server->io);
    ev_init(&server->timer, on_timeout);
    server->timer.data = server;
    ev_prepare_init(&server->prepare, on_prepare);
    server->prepare.data = server;
    ev_prepare_start(loop, &server->prepare);
    return server;
}

/* Port on which the server listens. */
int
Http_ServerPort(const struct http_server *server)
{
    return server->port;
}

/* Closes the listening socket; open connections are still served. */
void
Http_ServerQuiesce(struct http_server *server)
{
    if (server->quiesced == MHD_INVALID_SOCKET) {
        server->quiesced = MHD_quiesce_daemon(server->daemon);
        if (server->quiesced != MHD_INVALID_SOCKET) {
            close(server->quiesced);
        }
    }
}

/* Number of exchanges passed to the handler and not yet completed; a reply
 * that is being sent counts. */
size_t
Http_ServerOpen(const struct http_server *server)
{
    return server->open_exchanges;
}

/* Stops the server. Suspended connections are resumed with a 504 first, as
 * libmicrohttpd aborts the process when it is stopped with one suspended. The
 * run that sends these replies may read new requests, which the handler could
 * leave suspended, so these get a 503 without a call of the handler. */
void
Http_ServerFree(struct http_server *server)
{
    struct http_exchange *ex;

    if (server == NULL) {
        return;
    }
    server->stopping = true;
    TAILQ_FOREACH (ex, &server->exchanges, entry) {
        if (ex->suspended) {
            reply_unknown(ex);
        }
    }
    run_daemon(server);
    ev_io_stop(server->loop, &server->io);
    ev_timer_stop(server->loop, &server->timer);
    ev_prepare_stop(server->loop, &server->prepare);
    MHD_stop_daemon(server->daemon);
    free(server);
}
