/*
 * http: HTTP by library on the kernel's loop.
 *
 * The client is libcurl's multi interface, the server libmicrohttpd; both run
 * on the libev loop of their process, without threads. Nothing here retries:
 * a request leaves at most once, and its result says whether it may have been
 * received.
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

/* Longest time of a call whose answer comes without a long pause: 4 MiB over a
 * link of 1.2 Mbit/s. */
#define HTTP_TRANSFER_MS 30000

struct http_header {
    const char *name;
    const char *value;
};

/* What to ask. The strings and the body are copied. */
struct http_request {
    const char *method; /* "GET", "PUT", "POST", "DELETE" */
    const char *url;
    const struct http_header *headers;
    size_t header_count;
    const void *body; /* NULL: none */
    size_t body_len;
    int64_t connect_ms; /* 0: 2000 */
    int64_t timeout_ms; /* for all of it; 0: 10000 */
    /* An answer whose body still comes goes on past timeout_ms, for at most
     * HTTP_TRANSFER_MS in all, while no pause in it is longer than this. 0: it
     * is given up. */
    int64_t stall_ms;
    size_t max_body; /* of the answer, bytes; 0: 4 MiB */
    /* Once only: never sent on a connection that was used before. On such a
     * connection libcurl sends again when it closes without an answer, and
     * an upstream that died after the start would run the work twice. */
    bool once;
};

/* What came back; valid during the callback, which may take the buffers by
 * Buf_Move. err: ERR_OK (a whole answer), ERR_UNREACHABLE (nothing was sent),
 * ERR_TIMEOUT, ERR_CUT (it broke off, or had no length to show that it is
 * whole), ERR_TOOBIG, ERR_IO. status is 0 unless headers came. */
struct http_result {
    int err;
    int status;
    char content_type[128];
    char etag[128];
    int64_t retry_after_ms; /* from Retry-After in seconds; -1: none */
    int64_t transfer_ms;    /* from the first byte of the body to the last */
    struct buf body;
};

typedef void (*http_done)(void *arg, struct http_result *result);

/* At most max_connections at once to one host; further calls wait. */
struct http_client *Http_ClientNew(struct ev_loop *loop, long max_connections);
/* Drops the calls that are open, without their callbacks. */
void Http_ClientFree(struct http_client *client);
/* Starts a call; done is called once, later, unless cancelled. */
struct http_call *Http_Call(struct http_client *client,
                            const struct http_request *request, http_done done,
                            void *arg);
/* Ends a call without its callback. The request may have been received. */
void Http_Cancel(struct http_call *call);

/* ---- server ------------------------------------------------------------ */

struct http_server;
struct http_exchange;

struct http_limits {
    size_t body_bytes;   /* of a request; over it: 413 */
    size_t header_bytes; /* memory of a connection, headers included */
    unsigned connections;
    unsigned per_address; /* connections of one address; 0: no bound */
    int64_t idle_ms;      /* a slow or silent client is cut off after it */
};

/* Called with a whole request. It must lead to one Http_Reply, now or later;
 * until then the exchange stays valid, also when the client has gone. */
typedef void (*http_handler)(void *arg, struct http_exchange *ex);

/* Listens on address ("127.0.0.1") and port (0: any free one). Returns NULL
 * when it can't. */
struct http_server *Http_ServerNew(struct ev_loop *loop, const char *address,
                                   int port, const struct http_limits *limits,
                                   http_handler handler, void *arg);
int Http_ServerPort(const struct http_server *server);
/* Takes no new connections; open ones go on. */
void Http_ServerQuiesce(struct http_server *server);
/* Exchanges that have no reply yet, and connections that still send one. */
size_t Http_ServerOpen(const struct http_server *server);
void Http_ServerFree(struct http_server *server);

const char *Http_Method(const struct http_exchange *ex);
const char *Http_Path(const struct http_exchange *ex);
/* Value of a header or of a query argument, or NULL. */
const char *Http_Header(const struct http_exchange *ex, const char *name);
const char *Http_Query(const struct http_exchange *ex, const char *name);
struct buf *Http_Body(struct http_exchange *ex);
/* Socket of the connection, to see whether the client is still there, and for
 * stand-ins that must break it; -1 when there is none. */
int Http_Socket(const struct http_exchange *ex);
/* True when the client has closed its connection, so that nobody hears a
 * reply. One that is only silent counts as there. */
bool Http_ClientLeft(const struct http_exchange *ex);
/* Adds a header to the coming reply. */
void Http_ReplyHeader(struct http_exchange *ex, const char *name,
                      const char *value);
/* Sends the reply; the exchange is not to be used after it. */
void Http_Reply(struct http_exchange *ex, int status, const char *content_type,
                const void *body, size_t len);

#ifdef __cplusplus
}
#endif

#endif
