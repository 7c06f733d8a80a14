/*
 * runs: the part of an agent that looks after one worker on a platform whose
 * workers run tasks under leases. It keeps nothing durable; the worker holds
 * the facts, the owner among the entries the intent.
 *
 * Tasks, and what they tell each other:
 *
 *   watch  polls the worker without pause, renews the leases that the
 *          owner grants, carries out its starts and stops, and passes on
 *          what the worker runs and has ended.
 *   links  the connections to all entries.
 *
 * A lifetime of the worker is believed when it has answered under its id. A
 * report of an older one that arrives late is not.
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

/* A poll: the lists are freed after the callback unless they are taken. */
struct runs_poll_result {
    int64_t clock_ms;
    struct jobs_running *running;
    size_t running_count;
    struct jobs_ended *ended;
    size_t ended_count;
    /* With ERR_STALE: the lifetime that answered takes orders that were meant
     * for the one that was asked, late ones too. */
    bool successor;
};

/* err: ERR_OK, ERR_STALE (another lifetime answered), ERR_UNREACHABLE (nobody
 * listens there; nothing was done), ERR_UNKNOWN (no answer: it may have been
 * done, and may be done later). */
typedef void (*runs_polled)(void *arg, int err, struct runs_poll_result *seen);
/* As above; ERR_DENIED: refused, nothing was done, reason says why. */
typedef void (*runs_ordered)(void *arg, int err, const char *reason);

struct runs_start {
    const char *task;
    uint64_t run;
    const char *payload;
    const char *checkpoint; /* "": none */
    const char *ticket;     /* of an adviser; "": none */
    int64_t until_ms;       /* worker's clock */
    uint64_t term;
};

struct runs_worker_ops {
    /* Waits up to wait_ms for an end. until_ms 0: leaves leases as they are.
     */
    void (*poll)(struct runs_worker *, const char *lifetime, uint64_t term,
                 uint64_t last_seen, int64_t until_ms, int64_t wait_ms,
                 runs_polled done, void *arg);
    void (*start)(struct runs_worker *, const char *lifetime,
                  const struct runs_start *start, runs_ordered done,
                  void *arg);
    void (*stop)(struct runs_worker *, const char *lifetime, const char *task,
                 uint64_t run, uint64_t term, runs_ordered done, void *arg);
    /* Lets a run work at that share, in percent. */
    void (*share)(struct runs_worker *, const char *lifetime, const char *task,
                  uint64_t run, int64_t percent, uint64_t term,
                  runs_ordered done, void *arg);
    void (*free)(struct runs_worker *);
};

struct runs_worker {
    const struct runs_worker_ops *ops;
};

/* What a platform brings; set before main by the adapter that is linked in. */
struct runs_platform {
    struct runs_worker *(*open_worker)(struct ev_loop *,
                                       const struct hosted_settings *);
};
void Runs_SetPlatform(const struct runs_platform *site);
const struct runs_platform *Runs_Platform(void);

/* ---- messages between the tasks
 * ---------------------------------------------- */

/* adapter -> watch: what the worker says of itself. */
struct worker_status {
    struct message base;
    char incarnation[JOBS_TEXT_SIZE];
    char id[JOBS_TEXT_SIZE]; /* to which its orders go; may outlive it */
    bool leaves;             /* it is about to end, and nothing below is set */
    char service[NAME_SIZE];
    char labels[4][JOBS_TEXT_SIZE];
    uint32_t label_count;
    struct jobs_resources capacity;
    bool draining;
    int64_t drain_left_ms;
    uint64_t sequence; /* rises with each report of a lifetime */
};

/* watch -> links, links -> watch. */
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
