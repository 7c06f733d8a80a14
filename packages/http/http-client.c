#include "http-client.h"

#include <stdlib.h>

/* Event watcher of one of libcurl's sockets. */
struct socket_watch {
    struct http_client *client;
    ev_io io;
};

/* Calls the callbacks of completed calls and frees these. */
static void
complete_calls(struct http_client *client)
{
    struct http_call *call;
    CURLMsg *msg;
    long status;
    int queued;

    while ((msg = curl_multi_info_read(client->multi, &queued)) != NULL) {
        if (msg->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
        curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        call->result.status = (int)status;
        call->result.err = HttpCall_Error(call, msg->data.result);
        call->result.refused = HttpCall_WasRefused(call, msg->data.result);
        call->done(call->arg, &call->result);
        HttpCall_Free(call);
    }
}

/* Reports to libcurl that a socket is readable or writable. */
static void
on_socket(struct ev_loop *loop UNUSED, ev_io *w, int events)
{
    struct socket_watch *socket_watch = w->data;
    struct http_client *client = socket_watch->client;
    int mask = 0, running;

    mask |= (events & EV_READ) ? CURL_CSELECT_IN : 0;
    mask |= (events & EV_WRITE) ? CURL_CSELECT_OUT : 0;
    curl_multi_socket_action(client->multi, w->fd, mask, &running);
    complete_calls(client);
}

/* Reports to libcurl that its timer has expired. */
static void
on_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct http_client *client = w->data;
    int running;

    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    complete_calls(client);
}

/* libcurl's timer callback: starts the timer, or stops it if ms is -1. */
static int
set_curl_timer(CURLM *multi UNUSED, long ms, void *arg)
{
    struct http_client *client = arg;

    ev_timer_stop(client->loop, &client->timer);
    if (ms >= 0) {
        ev_now_update(client->loop);
        ev_timer_set(&client->timer, (double)ms / 1000.0, 0.);
        ev_timer_start(client->loop, &client->timer);
    }
    return 0;
}

/* libcurl's socket callback: starts, changes or ends the watching of a
 * socket. */
static int
watch_curl_socket(CURL *easy UNUSED, curl_socket_t fd, int what, void *arg,
                  void *socket_arg)
{
    struct http_client *client = arg;
    struct socket_watch *socket_watch = socket_arg;
    int events = 0;

    if (socket_watch != NULL) {
        ev_io_stop(client->loop, &socket_watch->io);
    }
    if (what == CURL_POLL_REMOVE) {
        curl_multi_assign(client->multi, fd, NULL);
        free(socket_watch);
        return 0;
    }
    if (socket_watch == NULL) {
        socket_watch = Mem_Zero(1, sizeof(*socket_watch));
        socket_watch->client = client;
        ev_init(&socket_watch->io, on_socket);
        socket_watch->io.data = socket_watch;
        curl_multi_assign(client->multi, fd, socket_watch);
    }
    events |= (what & CURL_POLL_IN) ? EV_READ : 0;
    events |= (what & CURL_POLL_OUT) ? EV_WRITE : 0;
    ev_io_set(&socket_watch->io, fd, events);
    ev_io_start(client->loop, &socket_watch->io);
    return 0;
}

/* Creates a client on an event loop. */
struct http_client *
Http_ClientNew(struct ev_loop *loop, long max_connections)
{
    struct http_client *client = Mem_Zero(1, sizeof(*client));

    curl_global_init(CURL_GLOBAL_DEFAULT);
    client->loop = loop;
    client->multi = curl_multi_init();
    if (client->multi == NULL) {
        Fatal("can't create a libcurl multi handle");
    }
    TAILQ_INIT(&client->calls);
    ev_init(&client->timer, on_timer);
    client->timer.data = client;
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
                      watch_curl_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_curl_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      max_connections);
    return client;
}

/* Frees the client and its open calls, without their callbacks. */
void
Http_ClientFree(struct http_client *client)
{
    struct http_call *call, *next;

    if (client == NULL) {
        return;
    }
    TAILQ_FOREACH_SAFE (call, &client->calls, entry, next) {
        HttpCall_Free(call);
    }
    curl_multi_cleanup(client->multi);
    ev_timer_stop(client->loop, &client->timer);
    free(client);
}
