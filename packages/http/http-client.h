/* A client's state and its calls; private to the client. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "http.h"

#include <curl/curl.h>

struct http_client {
    struct ev_loop *loop;
    CURLM *multi;
    ev_timer timer;
    /* When a call that had been sent last timed out; 0: never. */
    int64_t last_timeout_ms;
    TAILQ_HEAD(, http_call) calls;
};

struct http_call {
    struct http_client *client;
    CURL *easy;
    struct curl_slist *headers;
    http_done done;
    void *arg;
    struct http_result result;
    size_t max_body;
    int64_t stall_ms;
    int64_t started_ms;
    int64_t first_byte_ms; /* when body data first arrived; 0: not yet */
    int64_t last_byte_ms;  /* when body data last arrived */
    bool too_big;
    bool sent;       /* of a request that is not repeated: it has been sent */
    bool end_marked; /* the response has a length or is chunked */
    ev_timer deadline;
    TAILQ_ENTRY(http_call) entry;
};

/* Removes a call from libcurl and frees it; does not call the callback. */
void HttpCall_Free(struct http_call *call);
/* Translates libcurl's result into an enum err. */
int HttpCall_Error(const struct http_call *call, CURLcode code);
/* True when nothing was sent because the peer's kernel refused the connection.
 */
bool HttpCall_WasRefused(const struct http_call *call, CURLcode code);

#endif
