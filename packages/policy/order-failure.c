#include "order-private.h"

#include <stdlib.h>

/* A job that always fails on the same few workers is given up after this
 * many times fails_max, as it may never be tried on others. */
#define SAME_WORKERS_FACTOR 3
#define DOUBLINGS_MAX 20
/* Jobs that failed together are spread over this part of their back-off. */
#define JITTER_DIVISOR 4

/* Order of the index. */
static int
compare(const struct order_failure_record *a,
        const struct order_failure_record *b)
{
    return Id_Compare(&a->id, &b->id);
}

TREE_STATIC(order_failures, order_failure_record, entry, compare);

/* The text of a reason. */
const char *
Order_ReasonName(enum order_reason reason)
{
    static const char *const names[ORDER_REASON_COUNT] = {
        "try_again", "worker_at_fault", "cannot_run"};

    return (unsigned)reason < ORDER_REASON_COUNT ? names[reason] : "unnamed";
}

/* Time to wait after this many counted failures. */
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

/* Judges a failed start. Failures on one worker may be the worker's; the same
 * on several, or on all there are, is the job's own. */
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

/* Looks the failures of a job up. */
static struct order_failure_record *
find(const struct order *o, const struct id *id)
{
    struct order_failure_record key = {.id = *id};

    return RB_FIND(order_failures, (struct order_failures *)&o->failures,
                   &key);
}

/* The failures of a job, or NULL. */
const struct order_failure_record *
order_failures_find(const struct order *o, const struct id *id)
{
    return find(o, id);
}

/* Finds or makes the record of a job's failures. */
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

/* Counts a failure of the job's own. */
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

/* Enters a failed start and judges it. */
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

/* Forgets the failures of a job. */
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
