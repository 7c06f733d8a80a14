/* One call to the platform over HTTP, with its budget and its tries; private
 * to the plug-in. */
#ifndef PLATFORM_CALL_H
#define PLATFORM_CALL_H

#include "http.h"
#include "platform.h"

/* Tokens that come back at a rate; a quarter of a second's worth at most. */
struct bucket {
    int64_t per_s; /* 0: no bound */
    double tokens;
    int64_t refilled_at_ms;
};

void Bucket_Init(struct bucket *b, int64_t per_s, int64_t now_ms);
/* Takes the cost when there is enough. A cost above what a bucket holds is
 * taken from a full one, which then owes the rest. */
bool Bucket_Take(struct bucket *b, int64_t cost, int64_t now_ms);

struct call;
TAILQ_HEAD(call_list, call);

/* What the three plug-ins share. */
struct platform_http {
    struct ev_loop *loop;
    struct http_client *client;
    char *url;
    struct platform_limits limits;
    struct bucket reads;
    struct bucket writes;
    struct call_list calls;
};

/* NULL or an empty url: ERR_INVALID. */
int Platform_HttpInit(struct platform_http *p, struct ev_loop *loop,
                      const char *url, const struct platform_limits *limits);
void Platform_HttpClear(struct platform_http *p);

/* How a kind of call ends. Exactly one of answered and failed ends it. */
struct call_ops {
    /* A whole answer below 500 other than 429. False: it makes no sense. */
    bool (*on_response)(struct call *, struct http_result *);
    void (*on_failure)(struct call *, int err);
    /* Frees what the kind has added. NULL: nothing. */
    void (*free)(struct call *);
};

/* First member of every call. */
struct call {
    const struct call_ops *ops;
    struct platform_http *platform;
    const char *method;
    const char *content_type;
    char *path;
    struct buf body;
    bool write;         /* draws from the writes, is repeated, is sent once */
    int64_t cost;       /* in tokens */
    bool maybe_applied; /* an earlier try may have been carried out */
    int err;            /* of the last try */
    int tries;
    int64_t deadline_ms;
    int64_t retry_after_ms;
    ev_timer wait;
    struct http_call *http;
    TAILQ_ENTRY(call) entry;
};

/* Makes a call of that size, with an empty body. */
void *Call_New(struct platform_http *p, size_t size,
               const struct call_ops *ops, const char *method,
               const char *path);
/* Sets a JSON body and drops the reference to it. */
void Call_SetJson(struct call *call, json_t *body);
/* Starts a call, which frees itself at its end. */
void Call_Start(struct call *call);

/* A JSON string of base64; the caller owns it. */
json_t *Json_Bytes(const void *data, size_t len);
/* ERR_OK or ERR_INVALID. */
int Json_ToBytes(const json_t *text, struct buf *out);
int Json_ToId(const json_t *text, struct id *out);
int Json_ToInt(const json_t *number, int64_t *out);
/* The object in an answer, or NULL; the caller owns it. */
json_t *Json_FromResult(const struct http_result *result);

#endif
