/*
 * runs: the part of an agent that manages one worker of a platform whose
 * workers run tasks under leases. It stores nothing: what runs is known by the
 * worker, and what should run by the owner among the entries.
 *
 * Its kernel tasks:
 *
 *   watch  polls the worker continuously, renews the leases that the owner
 *          grants, carries out the owner's starts and stops, and reports
 *          what the worker runs and has ended.
 *   links  the connections to all entries.
 *
 * An incarnation of the worker counts as present once it has answered a poll
 * under its id. Late reports of an earlier incarnation are ignored.
 */
#ifndef RUNS_H
#define RUNS_H

#include "base.h"
#include "config.h"
#include "jobs.h"
#include "kernel.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- the worker ------------------------------------------------------------
 */

struct runs_worker;

/* Longest notice of departure that is believed: platforms announce seconds. */
#define RUNS_DRAIN_MAX_MS ((int64_t)3600000)

/* The result of a poll. The lists are freed after the callback unless it takes
 * them. */
struct runs_poll_result {
    int64_t clock_ms;
    struct jobs_running *running;
    size_t running_count;
    struct jobs_ended *ended;
    size_t ended_count;
    /* A list was cut short or is missing, so a run that is in neither list may
     * have ended all the same, or may still run. */
    bool partial;
    /* With ERR_STALE: the incarnation that answered also carries out orders
     * that were sent to the polled one, late ones included. */
    bool successor;
    /* With ERR_UNREACHABLE: the kernel of the worker's machine refused the
     * connection, as no process listens at the worker's address. */
    bool refused;
};

/* Callback of a poll. err: ERR_OK, ERR_STALE (another incarnation answered),
 * ERR_UNREACHABLE (nothing listens there; nothing was done), ERR_UNKNOWN (no
 * answer: it may have been done, or may be done later). */
typedef void (*runs_polled)(void *arg, int err,
                            struct runs_poll_result *result);
/* Callback of an order, with the err values of a poll or ERR_DENIED: the
 * worker refused, nothing was done, and reason says why. */
typedef void (*runs_ordered)(void *arg, int err, const char *reason);

struct runs_start {
    const char *task;
    uint64_t run;
    const char *payload;
    const char *checkpoint; /* "": none */
    const char *ticket;     /* of an adviser; "": none */
    int64_t until_ms;       /* deadline of the start, by the worker's clock */
    uint64_t term;
};

struct runs_worker_ops {
    /* Waits up to wait_ms for an end. until_ms: end of the leases; 0 leaves
     * them unchanged. */
    void (*poll)(struct runs_worker *, const char *incarnation, uint64_t term,
                 uint64_t last_seen, int64_t until_ms, int64_t wait_ms,
                 runs_polled done, void *arg);
    void (*start)(struct runs_worker *, const char *incarnation,
                  const struct runs_start *start, runs_ordered done,
                  void *arg);
    void (*stop)(struct runs_worker *, const char *incarnation,
                 const char *task, uint64_t run, uint64_t term,
                 runs_ordered done, void *arg);
    /* Limits a run to a share of the cores, in percent. */
    void (*share)(struct runs_worker *, const char *incarnation,
                  const char *task, uint64_t run, int64_t percent,
                  uint64_t term, runs_ordered done, void *arg);
    void (*free)(struct runs_worker *);
};

struct runs_worker {
    const struct runs_worker_ops *ops;
};

/* Constructors of a platform; set before main by the adapter that is linked
 * in. */
struct runs_platform {
    struct runs_worker *(*open_worker)(struct ev_loop *,
                                       const struct hosted_settings *);
};
void Runs_SetPlatform(const struct runs_platform *platform);
const struct runs_platform *Runs_Platform(void);

/* ---- messages between the kernel tasks ------------------------------------
 */

/* adapter -> watch: a worker's report of its own state. */
struct worker_status {
    struct message base;
    char incarnation[JOBS_TEXT_SIZE];
    /* The id to which orders are addressed; the next incarnation may have the
     * same one. */
    char id[JOBS_TEXT_SIZE];
    /* The worker announces that it is about to end; the fields below are not
     * set. */
    bool leaves;
    char service[NAME_SIZE];
    char labels[4][JOBS_TEXT_SIZE];
    uint32_t label_count;
    struct jobs_resources capacity;
    bool draining;
    /* Minimum time for which a draining worker still serves, at the time of
     * this report; -1: not known. */
    int64_t drain_left_ms;
    uint64_t sequence; /* rises with each report of an incarnation */
};

/* watch -> links, links -> watch: a message of the wire protocol. */
struct runs_wire_message {
    struct message base;
    struct wire_msg *m;
};

extern const struct message_kind Runs_WorkerStatusKind;
extern const struct message_kind Runs_WireKind;

#define TASK_WATCH "watch"
#define TASK_RUNS_LINKS "runs-links"

#ifdef __cplusplus
}
#endif

#endif
