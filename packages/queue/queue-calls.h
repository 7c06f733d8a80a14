/* Calls that wait for the store, shared by the files that serve calls. */
#ifndef QUEUE_CALLS_H
#define QUEUE_CALLS_H

#include "queue-intake.h"

/* Retry-After of a refusal. By then short failures of the store are over, and
 * another entry may be reachable. */
#define RETRY_AFTER_MS 1000

/* A call that waits for the store. It outlives its caller's answer until the
 * store has answered too. */
struct open_call {
    struct intake *in;
    struct queue_call *call;
    char key[64];
    struct buf value;
    /* Result of the last try; ERR_UNKNOWN while one is open. */
    int last_error;
    /* Version of the row refused/ID that an acceptance expects and deletes; 0:
     * there is none. */
    uint64_t refused_version;
    /* The job of a cancellation has no row; it may be accepted meanwhile. */
    bool is_unknown;
    int64_t return_ms; /* of a refusal: after which the caller may return */
    /* An earlier try may have taken effect, or may still do so. */
    bool maybe_done;
    bool store_pending; /* a store call is open */
    ev_timer retry_timer;
    ev_timer answer_timer; /* answers the caller without the store */
    TAILQ_ENTRY(open_call) entry;
};

/* ---- queue-calls.c */
/* Answers a call that waited for the store. */
void Calls_FinishOpen(struct open_call *o, enum queue_outcome outcome,
                      const char *reason);
/* Frees an open call when its caller has been answered and no store call is
 * open. */
void Calls_FreeOpen(struct open_call *o);
/* True for an open call whose row has that key prefix. */
bool Calls_HasPrefix(const struct open_call *o, const char *prefix);

/* ---- queue-calls-write.c */
/* Sends the write of an open call to the store. */
void Calls_Write(struct open_call *o);
/* The version that the spec row must have for a job to be written. */
uint64_t Calls_ReplaceableVersion(struct intake *in, const char *key);

#endif
