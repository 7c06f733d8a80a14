/* A client's state and its calls; private to the client. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "http.h"

#include <curl/curl.h>

struct http_client {
    struct ev_loop *loop;
    CURLM *multi;
    ev_timer timer;
    int64_t
        last_timeout_ms; /* last time-out of a call that was sent; 0: none */
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
    int64_t first_byte_ms; /* first byte of the body; 0: none yet */
    int64_t last_byte_ms;  /* last byte so far */
    bool too_big;
    bool end_marked; /* the end of the body is marked */
    ev_timer deadline;
    TAILQ_ENTRY(http_call) entry;
};

/* Frees a call, with or without its callback before. */
void HttpCall_Free(struct http_call *call);
/* What libcurl's result means to the caller. */
int HttpCall_Error(const struct http_call *call, CURLcode code);

#endif
