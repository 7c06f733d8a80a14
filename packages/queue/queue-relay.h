/* The store task's own structures, shared by its files. */
#ifndef QUEUE_RELAY_H
#define QUEUE_RELAY_H

#include "queue.h"

/* One failure may be a lost answer; this many in a row, of calls among which
 * the feeds are, mean that the store is away. */
#define UNREACHABLE_FAILURES 3

/* A call of this process, on one of its ways to the store. */
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
    bool given_up; /* its caller has heard; our connection has not answered */
    int64_t started_ms;
    ev_timer timeout;
    TAILQ_ENTRY(table_call) entry; /* of the store's list of its kind */
};

/* A call that is made for another entry. */
struct served_call {
    struct store_task *store;
    struct link_peer to;
    uint64_t number;
    size_t ops;
    TAILQ_ENTRY(served_call) entry;
};

/* The table that the other tasks see is the first member. */
struct store_task {
    struct task task;
    struct table table;
    struct table *direct;
    int64_t direct_ok_ms;            /* last answer of our own; 0: none yet */
    int64_t direct_failing_since_ms; /* since when it fails; 0: it does not */
    int64_t next_probe_ms;           /* when our own may be tried again */
    int direct_failures;             /* in a row */
    int relay_failures;              /* in a row, through other entries */
    int64_t recent_commit_ms; /* what commits on our own have taken lately */
    bool relaying;
    char relay_address[NAME_SIZE]; /* entry to call through; "": none */
    uint64_t last_number;
    TAILQ_HEAD(, table_call) relayed_calls; /* with another entry */
    TAILQ_HEAD(, table_call) direct_calls;  /* on our own connection */
    TAILQ_HEAD(, served_call) served_calls;
};

/* ---- queue-relay.c: calls of ours */
void Relay_Init(struct store_task *s);
void Relay_TakeAnswer(struct store_task *s, struct wire_store_answer *m);
void Relay_Free(struct store_task *s);
/* The ops of a commit as a table takes them; valid while the call is, to be
 * freed. */
struct table_op *Relay_TableOps(const struct wire_store_call *c);
/* Hands out that a call has failed; the call itself may go on. */
void Relay_Fail(struct table_call *call, int err);
/* True when the store itself has spoken, and did not turn us away. */
bool Relay_IsAnswer(int err);
/* Notes how a call on our own connection did. */
void Relay_NoteDirect(struct store_task *s, int err);

/* ---- queue-relay-limit.c: commits that get no answer */
/* How long a commit of so many bytes may go without an answer of our own
 * connection while other entries reach the store; 0: as long as it takes.
 * slowest_ms: what commits have taken lately. */
int64_t Relay_CommitTimeout(int64_t slowest_ms, size_t bytes);
/* Starts the limit of a commit on our own connection. */
void Relay_StartCommitTimeout(struct table_call *call);
/* Notes how a commit went there, and ends its limit. */
void Relay_NoteCommit(struct table_call *call, int err);

/* ---- queue-relay-serve.c: calls of another entry */
void RelayServe_Free(struct store_task *s);
void Relay_Serve(struct store_task *s, const struct link_peer *from,
                 const struct wire_store_call *m);

#endif
