/*
 * http: an HTTP client and server on the kernel's event loop.
 *
 * The client uses libcurl's multi interface, the server libmicrohttpd; both
 * run on the libev loop of their process, without threads. A request is sent
 * once, but for a GET, which libcurl repeats when a reused connection closes
 * without a response. A result shows whether the peer may have received the
 * request.
 */
#ifndef HTTP_H
#define HTTP_H

#include "base.h"

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ---- client ------------------------------------------------------------ */

struct http_client;
struct http_call;

/* Longest total time of a call whose response body keeps arriving: enough for
 * 4 MiB over a link of 1.2 Mbit/s. */
#define HTTP_TRANSFER_MS 30000

struct http_header {
    const char *name;
    const char *value;
};

/* A request to send. The strings and the body are copied. */
struct http_request {
    const char *method; /* "GET", "PUT", "POST", "DELETE" */
    const char *url;
    const struct http_header *headers;
    size_t header_count;
    const void *body; /* NULL: no body */
    size_t body_len;
    int64_t connect_ms; /* time-out of the connect; 0: 2000 */
    int64_t timeout_ms; /* time-out of the whole call; 0: 10000 */
    /* A response whose body is arriving may continue past timeout_ms, up to
     * HTTP_TRANSFER_MS from the start of the call, as long as no pause in it
     * exceeds stall_ms. 0: the call always ends at timeout_ms. */
    int64_t stall_ms;
    size_t max_body; /* limit of the response body, bytes; 0: 4 MiB */
    /* Sends the request on a new connection, and a GET also only once. On a
     * reused connection, which the peer may be about to close for being idle,
     * more requests end with an unknown outcome (ERR_CUT). */
    bool once;
};

/* Result of a call, valid during the callback, which may take the body by
 * Buf_Move. err is ERR_OK (a complete response), ERR_UNREACHABLE (nothing was
 * sent), ERR_TIMEOUT, ERR_CUT (the response was truncated, or had neither a
 * length nor chunks to show that it is complete), ERR_TOOBIG or ERR_IO. status
 * is 0 when no response headers were received, and also when the call ended at
 * its deadline. */
struct http_result {
    int err;
    int status;
    /* With ERR_UNREACHABLE: the peer's kernel refused the connection, as
     * nothing listens at the address. False for a connect that timed out. */
    bool refused;
    char content_type[128];
    char etag[128];
    int64_t retry_after_ms; /* from Retry-After in seconds; -1: absent */
    int64_t transfer_ms;    /* time from the first to the last body chunk */
    struct buf body;
};

typedef void (*http_done)(void *arg, struct http_result *result);

/* Creates a client with at most max_connections open connections to one host;
 * further calls wait for a free one. */
struct http_client *Http_ClientNew(struct ev_loop *loop, long max_connections);
/* Frees the client and its open calls, whose callbacks are not called. */
void Http_ClientFree(struct http_client *client);
/* Starts a call. done is called exactly once, after Http_Call has returned,
 * unless the call is cancelled before. */
struct http_call *Http_Call(struct http_client *client,
                            const struct http_request *request, http_done done,
                            void *arg);
/* Ends a call without its callback; NULL is allowed. The peer may have
 * received the request. */
void Http_Cancel(struct http_call *call);

/* ---- server ------------------------------------------------------------ */

struct http_server;
struct http_exchange;

struct http_limits {
    size_t body_bytes;    /* largest request body; a larger one gets a 413 */
    size_t header_bytes;  /* memory of a connection, headers included */
    unsigned connections; /* open connections in all */
    unsigned per_address; /* open connections of one address; 0: no limit */
    int64_t idle_ms;      /* closes a connection idle for longer */
};

/* Called with a complete request. The handler must cause exactly one
 * Http_Reply, at once or later. Until then the exchange stays valid, even when
 * the client has disconnected. */
typedef void (*http_handler)(void *arg, struct http_exchange *ex);

/* Listens on an IPv4 address ("127.0.0.1") and a port (0: any free one).
 * Returns NULL when it can't. */
struct http_server *Http_ServerNew(struct ev_loop *loop, const char *address,
                                   int port, const struct http_limits *limits,
                                   http_handler handler, void *arg);
int Http_ServerPort(const struct http_server *server);
/* Accepts no new connections; open ones are still served. */
void Http_ServerQuiesce(struct http_server *server);
/* Number of exchanges whose reply is not yet given or not yet sent. */
size_t Http_ServerOpen(const struct http_server *server);
/* Stops the server. Requests whose reply is not yet given get a 504, as their
 * outcome is not known here; those that the handler has not got get a 503. */
void Http_ServerFree(struct http_server *server);

const char *Http_Method(const struct http_exchange *ex);
const char *Http_Path(const struct http_exchange *ex);
/* Value of a request header or of a query argument, or NULL. */
const char *Http_Header(const struct http_exchange *ex, const char *name);
const char *Http_Query(const struct http_exchange *ex, const char *name);
struct buf *Http_Body(struct http_exchange *ex);
/* Socket of the client's connection, for checks that the client is connected
 * and for test servers that break the connection; -1 when there is none. */
int Http_Socket(const struct http_exchange *ex);
/* True when the client has closed its connection, so that a reply would reach
 * nobody. A client that only sends nothing counts as connected. */
bool Http_ClientLeft(const struct http_exchange *ex);
/* Adds a header to the reply that Http_Reply will send. */
void Http_ReplyHeader(struct http_exchange *ex, const char *name,
                      const char *value);
/* Sends the reply; the exchange must not be used afterwards. */
void Http_Reply(struct http_exchange *ex, int status, const char *content_type,
                const void *body, size_t len);

#ifdef __cplusplus
}
#endif

#endif
