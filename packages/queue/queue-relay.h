/* Internal structures of the store task, shared by its files. */
#ifndef QUEUE_RELAY_H
#define QUEUE_RELAY_H

#include "queue.h"

/* Consecutive failures, of calls that include the feeds, after which the store
 * counts as unreachable. A single failure may be one lost answer. */
#define UNREACHABLE_FAILURES 3

/* A store call of this process, made on its own connection or relayed through
 * another entry. */
struct table_call {
    struct store_task *store;
    uint64_t number;
    struct wire_store_call request;
    union {
        table_got got;
        table_listed listed;
        table_fed fed;
        table_committed committed;
    } done;
    void *arg;
    bool relayed;
    /* Its caller has been answered, but the own connection has not answered
     * the call yet. */
    bool given_up;
    int64_t started_ms;
    ev_timer timeout;
    TAILQ_ENTRY(table_call) entry; /* in direct_calls or relayed_calls */
};

/* A store call made for another entry. */
struct served_call {
    struct store_task *store;
    struct link_peer to;
    uint64_t number;
    size_t ops;
    TAILQ_ENTRY(served_call) entry;
};

/* The store task. `table` is what the other tasks call; it uses `direct`, the
 * own connection, or relays. */
struct store_task {
    struct task task;
    struct table table;
    struct table *direct;
    int64_t direct_ok_ms;            /* last answer on direct; 0: none yet */
    int64_t direct_failing_since_ms; /* since when direct fails; 0: it works */
    int64_t next_probe_ms;           /* no probe of direct before this time */
    int direct_failures;             /* consecutive failures of direct */
    int relay_failures;       /* consecutive failures of relayed calls */
    int64_t recent_commit_ms; /* how long commits on direct took lately */
    bool relaying;
    char relay_address[NAME_SIZE]; /* entry to relay through; "": none */
    uint64_t last_number;
    TAILQ_HEAD(, table_call) relayed_calls; /* sent to another entry */
    TAILQ_HEAD(, table_call) direct_calls;  /* on the own connection */
    TAILQ_HEAD(, served_call) served_calls;
};

/* ---- queue-relay.c: calls of this process */
void Relay_Init(struct store_task *s);
void Relay_TakeAnswer(struct store_task *s, struct wire_store_answer *m);
void Relay_Free(struct store_task *s);
/* Converts the ops of a commit; the result refers to c and is to be freed. */
struct table_op *Relay_TableOps(const struct wire_store_call *c);
/* Reports failure to the caller of a call, which may still be open on the own
 * connection. */
void Relay_Fail(struct table_call *call, int err);
/* True when the store itself answered and did not refuse the call as busy. */
bool Relay_IsAnswer(int err);
/* Records the result of a call on the own connection. */
void Relay_NoteDirect(struct store_task *s, int err);

/* ---- queue-relay-limit.c: timeout of commits */
/* Milliseconds that a commit of that size may wait for an answer on the own
 * connection while other entries reach the store; 0: no limit beyond that of
 * the call. slowest_ms: how long commits took lately. */
int64_t Relay_CommitTimeout(int64_t slowest_ms, size_t bytes);
/* Starts the timeout of a commit on the own connection. */
void Relay_StartCommitTimeout(struct table_call *call);
/* Records the result of a commit on the own connection and stops its
 * timeout. */
void Relay_NoteCommit(struct table_call *call, int err);

/* ---- queue-relay-serve.c: calls for other entries */
void RelayServe_Free(struct store_task *s);
void Relay_Serve(struct store_task *s, const struct link_peer *from,
                 const struct wire_store_call *m);

#endif
