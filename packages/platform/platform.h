/*
 * platform: what the product needs of the place it runs in, behind vtables:
 * the transactional table service, the object store, and the task runner of
 * a worker. Another platform is another set of these vtables; nothing else
 * in the product knows how a platform is spoken to.
 *
 * Calls return at once and end in one callback. A callback's error says what
 * may have happened: ERR_UNREACHABLE and ERR_BUSY mean that nothing did,
 * ERR_UNKNOWN that a write may have taken effect, now or later.
 *
 * The table service is shared by everybody and bears several hundred writes
 * and about two thousand reads a second, so each process draws its calls from
 * a budget; a call over the budget fails with ERR_BUSY at once.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "base.h"

#include <ev.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ---- table service ----------------------------------------------------- */

struct table;

/* A row. Versions count from 1 and rise by one with every write of the row,
 * its deletion included, so a row that is deleted and inserted again starts
 * above its last version. writer is the token of the write that made this
 * version. */
struct table_row {
    char *key;
    uint64_t version; /* 0: there is no such row */
    struct id writer;
    struct buf value;
};

enum table_verb { TABLE_CHECK, TABLE_PUT, TABLE_DELETE };

#define TABLE_ANY UINT64_MAX /* as if_version: whatever is there */

/* One condition and what to write if all conditions hold. */
struct table_op {
    enum table_verb verb;
    const char *table;
    const char *key;
    uint64_t if_version; /* 0: the row must not exist */
    const void *value;
    size_t len;
};

/* err: ERR_OK (row.version 0 when there is none), ERR_UNREACHABLE,
 * ERR_TIMEOUT, ERR_BUSY, ERR_IO. The row may be taken by moving it out. */
typedef void (*table_got)(void *arg, int err, struct table_row *row);
/* rows in order of key; more: there are further ones. */
typedef void (*table_listed)(void *arg, int err, struct table_row *rows,
                             size_t count, bool more);
/* err: ERR_OK (versions: one for each op, the one that it made or found; 0
 * where that isn't known, after a lost answer), ERR_CONFLICT (nothing written,
 * now or later; at is the op whose condition failed), ERR_UNKNOWN (read the
 * rows to know), ERR_UNREACHABLE, ERR_BUSY, ERR_INVALID (refused as wrong,
 * nothing written). */
typedef void (*table_committed)(void *arg, int err, size_t at,
                                const uint64_t *versions);

/* err: ERR_OK (rows that changed after the position asked for, in order, maybe
 * none; version 0: dropped; position: where to go on), ERR_GONE (the service
 * does not remember that far: list anew) and as of a row's. */
typedef void (*table_fed)(void *arg, int err, struct table_row *rows,
                          size_t count, uint64_t position);

struct table_ops {
    const char *name;
    void (*get)(struct table *, const char *table, const char *key,
                table_got done, void *arg);
    /* Rows whose key is greater than after and starts with prefix. */
    void (*list)(struct table *, const char *table, const char *prefix,
                 const char *after, size_t limit, table_listed done,
                 void *arg);
    /* All or nothing. A write whose answer was lost is sent again under the
     * same token until its outcome is known or the time is over, and a
     * conflict with a row that bears this token counts as written. An op with
     * TABLE_ANY that is sent again may overwrite what others wrote between:
     * use a version wherever that matters. */
    void (*commit)(struct table *, const struct table_op *ops, size_t count,
                   table_committed done, void *arg);
    /* Changes of a table after a position, as soon as there is one, or none
     * after wait_ms. NULL: this service has no feed. */
    void (*feed)(struct table *, const char *table, uint64_t after,
                 int64_t wait_ms, table_fed done, void *arg);
    /* Drops open calls without their callbacks. */
    void (*free)(struct table *);
};

struct table {
    const struct table_ops *ops;
    /* Newest position of the service when it gave the answer that is being
     * handed to a callback; for feeds, 0 where there is none. */
    uint64_t position;
    /* How long that answer took from its first byte to its last. */
    int64_t transfer_ms;
};

/* ---- object store ------------------------------------------------------ */

struct objects;

/* Objects are named by their content, so a put is repeated like a commit. Its
 * err: ERR_OK, ERR_UNKNOWN, ERR_UNREACHABLE, ERR_BUSY, ERR_INVALID; of a get:
 * ERR_OK, ERR_NOTFOUND and as of a row's. */
typedef void (*object_put_done)(void *arg, int err);
typedef void (*object_got)(void *arg, int err, struct buf *content);

struct objects_ops {
    const char *name;
    void (*put)(struct objects *, const char *name, const void *data,
                size_t len, object_put_done done, void *arg);
    void (*get)(struct objects *, const char *name, object_got done,
                void *arg);
    void (*free)(struct objects *);
};

struct objects {
    const struct objects_ops *ops;
};

/* ---- task runner of a worker ------------------------------------------- */

struct runner;

enum runner_state {
    RUNNER_RUNNING,
    RUNNER_THROTTLED,
    RUNNER_CHECKPOINTING,
    RUNNER_ENDED_WELL,
    RUNNER_FAILED,
    RUNNER_STOPPED
};

#define RUNNER_LABEL_SIZE 192

/* A task on this worker: one attempt of one job's part. Usage lags. */
struct runner_task {
    struct id job;
    uint64_t attempt;
    enum runner_state state;
    uint64_t accelerators;         /* bits */
    int64_t checkpoint_ms;         /* age of the last checkpoint; -1: none */
    int64_t usage_permille;        /* of its accelerators, as last reported */
    int64_t until;                 /* end of its lease, worker clock */
    char label[RUNNER_LABEL_SIZE]; /* as it was started with */
};

/* A task to be started under a lease: at `until` the worker stops it by
 * itself, whether anybody still runs who could ask for it. until is a reading
 * of the worker's own clock, so that a copy that comes late grants nothing
 * more; each list brings a reading to count from. The label is kept with the
 * task for the agent that comes after this one. */
struct runner_start {
    uint64_t agent; /* that attached last; of another one it is refused */
    struct id job;
    uint64_t attempt;
    uint64_t accelerators; /* bits */
    int64_t until;         /* worker clock, milliseconds */
    const char *label;
    const void *spec;
    size_t spec_len;
};

enum runner_verb {
    RUNNER_STOP, /* at once */
    RUNNER_CHECKPOINT_AND_STOP,
    RUNNER_CHECKPOINT, /* and go on */
    RUNNER_THROTTLE,
    RUNNER_RESUME
};

/* err as of the table: ERR_UNKNOWN means that it may have started. Starting
 * an attempt that runs already is ERR_OK; one that has ended, or whose lease
 * is over already, or of an agent that another has replaced, is ERR_STALE.
 * Renewing never shortens a lease; it is ERR_STALE for a task that has ended.
 * Control of an attempt that was never here is ERR_NOTFOUND, of one that has
 * ended ERR_OK. All are repeated until their outcome is known or the time is
 * over. A list holds a task for a minute after its end. */
typedef void (*runner_done)(void *arg, int err);
/* clock: the worker's, read between the call and its answer. */
typedef void (*runner_listed)(void *arg, int err,
                              const struct runner_task *tasks, size_t count,
                              int64_t clock);

struct runner_ops {
    const char *name;
    /* Lists, and from then on starts nothing for another agent: a start that
     * an earlier process sent just before its death must not come to pass
     * after this one has read what runs. */
    void (*attach)(struct runner *, uint64_t agent, runner_listed done,
                   void *arg);
    void (*start)(struct runner *, const struct runner_start *start,
                  runner_done done, void *arg);
    void (*renew)(struct runner *, const struct id *job, uint64_t attempt,
                  int64_t until, runner_done done, void *arg);
    void (*control)(struct runner *, const struct id *job, uint64_t attempt,
                    enum runner_verb verb, runner_done done, void *arg);
    void (*list)(struct runner *, runner_listed done, void *arg);
    void (*free)(struct runner *);
};

struct runner {
    const struct runner_ops *ops;
};

/* ---- the plug-in that ships: HTTP with JSON ----------------------------- */

struct platform_limits {
    int64_t timeout_ms; /* of one try */
    int64_t give_up_ms; /* of all tries of one write; reads are not retried */
    int64_t
        reads_per_s; /* gets and lists, this process's share; 0: no bound */
    int64_t writes_per_s; /* rows put or deleted; likewise */
};

/* url as "http://10.0.0.1:8080". They return NULL when it is NULL or empty.
 * docs/platform-http.md has the format. A callback may start further calls,
 * but may not free what called it. */
struct table *Platform_HttpTable(struct ev_loop *loop, const char *url,
                                 const struct platform_limits *limits);
struct objects *Platform_HttpObjects(struct ev_loop *loop, const char *url,
                                     const struct platform_limits *limits);
struct runner *Platform_HttpRunner(struct ev_loop *loop, const char *url,
                                   const struct platform_limits *limits);

#ifdef __cplusplus
}
#endif

#endif
