/*
 * platform: the services of the environment that the product depends on,
 * behind vtables: the transactional table service, the object store, and the
 * task runner of a worker. A port to another platform implements these
 * vtables; no other package depends on a platform's protocol.
 *
 * Calls are asynchronous: each returns at once and ends in exactly one
 * callback. The callback's error states what may have happened:
 * ERR_UNREACHABLE and ERR_BUSY mean that the call had no effect, ERR_UNKNOWN
 * that a write may have taken effect or may still do so.
 *
 * The table service is shared by all processes and sustains several hundred
 * writes and about two thousand reads per second, so each process limits the
 * rate of its calls; a call over this budget fails with ERR_BUSY at once.
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
 * deletions included, so a row that is deleted and inserted again continues
 * above its last version. writer is the token of the commit that wrote this
 * version. */
struct table_row {
    char *key;
    uint64_t version; /* 0: the row does not exist */
    struct id writer;
    struct buf value;
};

enum table_verb { TABLE_CHECK, TABLE_PUT, TABLE_DELETE };

#define TABLE_ANY UINT64_MAX /* if_version: no condition on the row */

/* One condition, and the write to apply if the conditions of all ops of the
 * commit hold. */
struct table_op {
    enum table_verb verb;
    const char *table;
    const char *key;
    uint64_t if_version; /* 0: the row must not exist */
    const void *value;
    size_t len;
};

/* err: ERR_OK (row.version is 0 if the row does not exist), ERR_UNREACHABLE,
 * ERR_TIMEOUT, ERR_BUSY, ERR_IO. The row is freed after the callback, which
 * may move its contents out to keep them. */
typedef void (*table_got)(void *arg, int err, struct table_row *row);
/* rows are sorted by key; more: further rows match. err as for table_got. */
typedef void (*table_listed)(void *arg, int err, struct table_row *rows,
                             size_t count, bool more);
/* err: ERR_OK (versions has one entry per op: the version that it wrote or
 * checked, or 0 if a lost response left it unknown), ERR_CONFLICT (nothing is
 * written, now or later; at is the index of the op whose condition failed),
 * ERR_UNKNOWN (the caller must read the rows to learn the outcome),
 * ERR_UNREACHABLE, ERR_BUSY, ERR_INVALID (the service rejected the request as
 * malformed; nothing is written). */
typedef void (*table_committed)(void *arg, int err, size_t at,
                                const uint64_t *versions);

/* err: ERR_OK (rows are those that changed after the requested position, in
 * order, possibly none; version 0: the row was deleted; position is the one
 * to pass to the next call), ERR_GONE (the service no longer keeps changes
 * from that position: the caller must list the table again), or an error of
 * table_got. */
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
    /* Applies all ops or none. A commit whose response was lost is sent again
     * with the same token until its outcome is known or give_up_ms have
     * passed; a conflict with a row that has this token as its writer counts
     * as success. A repeated op with TABLE_ANY may overwrite a write that
     * another process made in between, so callers to whom that matters name a
     * version. */
    void (*commit)(struct table *, const struct table_op *ops, size_t count,
                   table_committed done, void *arg);
    /* Long poll: returns the changes of a table after a position as soon as
     * there is one, or no rows after wait_ms. NULL: this service has no change
     * feed. */
    void (*feed)(struct table *, const char *table, uint64_t after,
                 int64_t wait_ms, table_fed done, void *arg);
    /* Cancels open calls without running their callbacks. */
    void (*free)(struct table *);
};

struct table {
    const struct table_ops *ops;
    /* Valid during a callback: the newest position of the service when it
     * sent this response, from which a feed can start. 0: the service has no
     * change feed. */
    uint64_t position;
    /* Valid during a callback: time from the first byte of the response to
     * its last. */
    int64_t transfer_ms;
};

/* ---- object store ------------------------------------------------------ */

struct objects;

/* err: ERR_OK, ERR_UNKNOWN, ERR_UNREACHABLE, ERR_BUSY, ERR_INVALID. Objects
 * are named by a hash of their content, so a put is idempotent and is retried
 * like a commit. */
typedef void (*object_put_done)(void *arg, int err);
/* err: ERR_OK, ERR_NOTFOUND, or an error of table_got. */
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

/* A task on this worker: one attempt of one part of a job. usage_permille lags
 * behind the actual use. */
struct runner_task {
    struct id job;
    uint64_t attempt;
    enum runner_state state;
    uint64_t accelerators;         /* bits */
    int64_t checkpoint_ms;         /* age of the last checkpoint; -1: none */
    int64_t usage_permille;        /* of its accelerators, as last reported */
    int64_t until;                 /* end of its lease, worker clock */
    char label[RUNNER_LABEL_SIZE]; /* that of its runner_start */
};

/* A task to start under a lease: the worker itself stops the task at `until`,
 * even if no agent or entry is alive to request it. until is a time of the
 * worker's own clock, so a delayed or duplicated request can't extend the
 * lease; each list returns a reading of that clock to add a duration to. The
 * worker stores the label with the task for the next agent to read. */
struct runner_start {
    uint64_t agent; /* must be the agent that attached last */
    struct id job;
    uint64_t attempt;
    uint64_t accelerators; /* bits */
    int64_t until;         /* worker clock, milliseconds */
    const char *label;
    const void *spec;
    size_t spec_len;
};

enum runner_verb {
    RUNNER_STOP, /* immediately */
    RUNNER_CHECKPOINT_AND_STOP,
    RUNNER_CHECKPOINT, /* the task continues */
    RUNNER_THROTTLE,
    RUNNER_RESUME
};

/* err as for table_committed: after ERR_UNKNOWN of a start the task may have
 * started. Starting an attempt that is already running is ERR_OK; it is
 * ERR_STALE if the attempt has ended, its lease has already expired, or
 * another agent has attached since. Renewing never shortens a lease; it is
 * ERR_STALE for a task that has ended. Control of an attempt that this worker
 * never ran is ERR_NOTFOUND, of one that has ended ERR_OK. All are retried
 * until their outcome is known or give_up_ms have passed. A list includes a
 * task for one minute after its end. */
typedef void (*runner_done)(void *arg, int err);
/* clock: the worker's clock, read between the request and its response. */
typedef void (*runner_listed)(void *arg, int err,
                              const struct runner_task *tasks, size_t count,
                              int64_t clock);

struct runner_ops {
    const char *name;
    /* Fences earlier agents and lists the tasks: from then on the worker
     * rejects starts of any other agent. Otherwise a start that an earlier
     * agent process sent just before it died could take effect after the new
     * one has read the list of running tasks. */
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

/* ---- the built-in plug-in: HTTP with JSON ------------------------------- */

struct platform_limits {
    int64_t timeout_ms; /* of one try */
    int64_t give_up_ms; /* of all tries of one write; reads are not retried */
    /* This process's share of the rate of the service; 0: no limit. */
    int64_t reads_per_s;  /* gets and lists */
    int64_t writes_per_s; /* rows put or deleted */
};

/* Each function returns NULL when url is NULL or empty; url has the form
 * "http://10.0.0.1:8080". docs/platform-http.md specifies the protocol. A
 * callback may start further calls, but must not free the object whose call it
 * ends. */
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
