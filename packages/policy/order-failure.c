#include "order-private.h"

#include <stdlib.h>

/* After this many times fails_max failures a job can't run, even if they were
 * all on the same few workers, as it may never be tried on others. */
#define SAME_WORKERS_FACTOR 3
#define DOUBLINGS_MAX 20
/* Jobs that failed together retry over an extra 1/4 of their back-off. */
#define JITTER_DIVISOR 4

/* Orders records by job id. */
static int
compare(const struct order_failure_record *a,
        const struct order_failure_record *b)
{
    return Id_Compare(&a->id, &b->id);
}

TREE_STATIC(order_failures, order_failure_record, entry, compare);

/* Returns the name of a reason. */
const char *
Order_ReasonName(enum order_reason reason)
{
    static const char *const names[ORDER_REASON_COUNT] = {
        "try_again", "worker_at_fault", "cannot_run"};

    return (unsigned)reason < ORDER_REASON_COUNT ? names[reason] : "unnamed";
}

/* Returns the back-off after the counted failures, with jitter. */
static int64_t
backoff(const struct order_failure_inputs *in)
{
    int doublings = in->fails > 0 ? in->fails - 1 : 0;
    int64_t ms;

    if (doublings > DOUBLINGS_MAX) {
        doublings = DOUBLINGS_MAX;
    }
    ms = in->backoff_ms << doublings;
    if (ms > in->backoff_max_ms) {
        ms = in->backoff_max_ms;
    }
    return ms + (int64_t)(in->rnd % (uint64_t)(ms / JITTER_DIVISOR + 1));
}

/* Judges a failed start. Failures on one worker may be the worker's fault.
 * Failures on several, or on all that are usable, are the job's own. */
struct order_failure
Order_JudgeFailure(const struct order_failure_inputs *in)
{
    struct order_failure f = {.reason = ORDER_RETRY, .inputs = *in};
    int workers_needed = in->fails_max;

    if (workers_needed > in->usable) {
        workers_needed = in->usable > 0 ? in->usable : 1;
    }
    if (in->kind != ORDER_JOB_FAILED) {
        f.reason = ORDER_WORKER_AT_FAULT;
    }
    else if ((in->fails >= in->fails_max && in->workers >= workers_needed) ||
             in->fails >= in->fails_max * SAME_WORKERS_FACTOR) {
        f.reason = ORDER_CANNOT_RUN;
        f.cannot_run = true;
        return f;
    }
    f.not_before = in->now + backoff(in);
    return f;
}

/* Finds the failures of a job, or returns NULL. */
static struct order_failure_record *
find(const struct order *o, const struct id *id)
{
    struct order_failure_record key = {.id = *id};

    return RB_FIND(order_failures, (struct order_failures *)&o->failures,
                   &key);
}

/* Finds the failures of a job for order.c; NULL when there are none. */
const struct order_failure_record *
order_failures_find(const struct order *o, const struct id *id)
{
    return find(o, id);
}

/* Finds or creates the record of a job's failures. */
static struct order_failure_record *
get(struct order *o, const struct id *id)
{
    struct order_failure_record *r = find(o, id);

    if (r == NULL) {
        r = Mem_Zero(1, sizeof(*r));
        r->id = *id;
        RB_INSERT(order_failures, &o->failures, r);
    }
    return r;
}

/* Counts a failure that is the job's own, and the worker it was on. */
static void
count_failure(struct order_failure_record *r, const char *worker)
{
    uint64_t hash = Hash_Str(worker, 0);
    int i;

    r->fails++;
    for (i = 0; i < r->workers; i++) {
        if (r->worker_hashes[i] == hash) {
            return;
        }
    }
    if (r->workers < ORDER_WORKERS_MAX) {
        r->worker_hashes[r->workers++] = hash;
    }
}

/* Records a failed start and judges it. */
struct order_failure
Order_Failed(struct order *o, const struct id *id, const char *worker,
             int usable, enum order_failure_kind kind, int64_t now,
             uint64_t rnd)
{
    struct order_failure_record *r = get(o, id);
    struct order_failure_inputs in = {.kind = kind};
    struct order_failure f;

    if (kind == ORDER_JOB_FAILED) {
        count_failure(r, worker);
    }
    in.fails = r->fails;
    in.workers = r->workers;
    in.usable = usable;
    in.fails_max = o->limits.fails_max;
    in.backoff_ms = o->limits.backoff_ms;
    in.backoff_max_ms = o->limits.backoff_max_ms;
    in.now = now;
    in.rnd = rnd;
    f = Order_JudgeFailure(&in);
    r->not_before = f.not_before;
    return f;
}

/* Frees the record of a job's failures. */
void
Order_Forget(struct order *o, const struct id *id)
{
    struct order_failure_record *r = find(o, id);

    if (r != NULL) {
        RB_REMOVE(order_failures, &o->failures, r);
        free(r);
    }
}

/* Frees all records. */
void
order_failures_clear(struct order *o)
{
    struct order_failure_record *r, *next;

    RB_FOREACH_SAFE (r, order_failures, &o->failures, next) {
        RB_REMOVE(order_failures, &o->failures, r);
        free(r);
    }
}
