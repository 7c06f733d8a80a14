/* Calls to the platform over HTTP, with rate limits and retries; private to
 * the plug-in. */
#ifndef PLATFORM_CALL_H
#define PLATFORM_CALL_H

#include "http.h"
#include "platform.h"

/* A token bucket; it holds at most the tokens of a quarter of a second. */
struct bucket {
    int64_t per_s; /* 0: no limit */
    double tokens;
    int64_t refilled_at_ms;
};

void Bucket_Init(struct bucket *b, int64_t per_s, int64_t now_ms);
/* Takes cost tokens, or returns false when there are too few. A cost above the
 * capacity is taken from a full bucket, whose balance becomes negative. */
bool Bucket_Take(struct bucket *b, int64_t cost, int64_t now_ms);

struct call;
TAILQ_HEAD(call_list, call);

/* State common to the table, object store and runner clients. */
struct platform_http {
    struct ev_loop *loop;
    struct http_client *client;
    char *url;
    struct platform_limits limits;
    struct bucket reads;
    struct bucket writes;
    struct call_list calls;
};

/* Returns ERR_INVALID for a NULL or empty url. */
int Platform_HttpInit(struct platform_http *p, struct ev_loop *loop,
                      const char *url, const struct platform_limits *limits);
void Platform_HttpClear(struct platform_http *p);

/* Callbacks of one kind of call. A call ends with either on_response returning
 * true or on_failure. */
struct call_ops {
    /* Handles a complete response with a status below 500 other than 429.
     * False: the response is malformed. */
    bool (*on_response)(struct call *, struct http_result *);
    void (*on_failure)(struct call *, int err);
    /* Frees the fields that this kind adds to struct call. NULL: none. */
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
    bool write;   /* uses the writes bucket and a fresh connection; retried */
    int64_t cost; /* in tokens */
    bool maybe_applied; /* an earlier try may have taken effect */
    int err;            /* of the last try */
    int tries;
    int64_t deadline_ms;
    int64_t retry_after_ms;
    ev_timer wait;
    struct http_call *http;
    TAILQ_ENTRY(call) entry;
};

/* Makes a call with an empty body; size is that of the struct that begins with
 * struct call. */
void *Call_New(struct platform_http *p, size_t size,
               const struct call_ops *ops, const char *method,
               const char *path);
/* Sets a JSON body and releases the caller's reference to it. */
void Call_SetJson(struct call *call, json_t *body);
/* Starts a call, which is freed when it ends. */
void Call_Start(struct call *call);

/* Returns the bytes as a JSON string in base64; the caller owns it. */
json_t *Json_Bytes(const void *data, size_t len);
/* Each Json_To function returns ERR_OK or ERR_INVALID. */
int Json_ToBytes(const json_t *text, struct buf *out);
int Json_ToId(const json_t *text, struct id *out);
int Json_ToInt(const json_t *number, int64_t *out);
/* Returns the JSON object in a response's body, or NULL; the caller owns it.
 */
json_t *Json_FromResult(const struct http_result *result);

#endif
