#include "order-private.h"

#include <stdlib.h>

/* A job that overruns its estimate is expected to need half as long again as
 * it has run, however often that proves too short. */
#define OVERRUN_DIVISOR 2

/* Orders jobs for starting: urgent first, then by key, then by id. */
static int
compare_key(const struct order_item *a, const struct order_item *b)
{
    if (a->urgent != b->urgent) {
        return a->urgent ? -1 : 1;
    }
    if (a->job.key != b->job.key) {
        return a->job.key < b->job.key ? -1 : 1;
    }
    return Id_Compare(&a->job.id, &b->job.id);
}

/* Orders jobs by id. */
static int
compare_id(const struct order_item *a, const struct order_item *b)
{
    return Id_Compare(&a->job.id, &b->job.id);
}

TREE_STATIC(order_queue, order_item, by_key, compare_key);
TREE_STATIC(order_ids, order_item, by_id, compare_id);

/* Returns the value, or the default if it isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Creates an empty queue. */
struct order *
Order_New(const struct order_limits *limits)
{
    struct order *o = Mem_Zero(1, sizeof(*o));
    struct order_limits *l = &o->limits;

    if (limits != NULL) {
        *l = *limits;
    }
    l->aging_percent = (int)or_default(l->aging_percent, 25);
    l->batch_penalty_ms = or_default(l->batch_penalty_ms, 14400000);
    l->default_run_ms = or_default(l->default_run_ms, 3600000);
    l->backoff_ms = or_default(l->backoff_ms, 5000);
    l->backoff_max_ms = or_default(l->backoff_max_ms, 600000);
    l->fails_max = (int)or_default(l->fails_max, 3);
    if (l->fails_max > ORDER_WORKERS_MAX) {
        l->fails_max = ORDER_WORKERS_MAX;
    }
    return o;
}

/* Frees the queue and all that is in it. */
void
Order_Free(struct order *o)
{
    struct order_item *item, *next;

    if (o == NULL) {
        return;
    }
    RB_FOREACH_SAFE (item, order_ids, &o->ids, next) {
        RB_REMOVE(order_ids, &o->ids, item);
        free(item);
    }
    order_classes_clear(o);
    order_failures_clear(o);
    free(o);
}

/* Frees the queue that a local pointer points to, for CLEANUP. */
void
Order_FreeP(struct order **o)
{
    Order_Free(*o);
}

/* Finds a queued job, or returns NULL. */
static struct order_item *
find(const struct order *o, const struct id *id)
{
    struct order_item key = {.job.id = *id};

    return RB_FIND(order_ids, (struct order_ids *)&o->ids, &key);
}

/* Returns the expected remaining run time. */
static int64_t
remaining_ms(int64_t expected_ms, int64_t done_ms)
{
    int64_t min_ms = done_ms / OVERRUN_DIVISOR;

    return expected_ms - done_ms > min_ms ? expected_ms - done_ms : min_ms;
}

/* Computes a job's estimate and its key. All waiting jobs age at the same
 * rate, so their order stays the same, and aging can be counted as a later key
 * for a later submission. */
static void
fill_job(struct order *o, const struct order_facts *facts,
         struct order_job *job)
{
    const struct order_failure_record *record =
        order_failures_find(o, &facts->id);
    int64_t expected = order_estimate(o, facts->class_name, facts->declared_ms,
                                      &job->predictor);

    job->id = facts->id;
    job->priority = facts->priority;
    job->remaining_ms = remaining_ms(expected, facts->done_ms);
    job->key = job->remaining_ms +
               facts->submitted_at / 100 * o->limits.aging_percent;
    if (facts->priority == PRIORITY_BATCH) {
        job->key += o->limits.batch_penalty_ms;
    }
    job->not_before = record != NULL ? record->not_before : 0;
}

/* Queues a job. */
int
Order_Add(struct order *o, const struct order_facts *facts)
{
    struct order_item *item;

    if (find(o, &facts->id) != NULL) {
        return ERR_EXISTS;
    }
    item = Mem_Zero(1, sizeof(*item));
    fill_job(o, facts, &item->job);
    item->urgent = facts->priority == PRIORITY_URGENT;
    RB_INSERT(order_queue, &o->queue, item);
    RB_INSERT(order_ids, &o->ids, item);
    return ERR_OK;
}

/* Removes a job from the queue. */
int
Order_Remove(struct order *o, const struct id *id)
{
    struct order_item *item = find(o, id);

    if (item == NULL) {
        return ERR_NOTFOUND;
    }
    RB_REMOVE(order_queue, &o->queue, item);
    RB_REMOVE(order_ids, &o->ids, item);
    free(item);
    return ERR_OK;
}

/* Finds the next job whose back-off is over. */
int
Order_Next(const struct order *o, const struct id *after, int64_t now,
           struct order_job *out)
{
    struct order_queue *queue = (struct order_queue *)&o->queue;
    struct order_item *item;

    if (after == NULL) {
        item = RB_MIN(order_queue, queue);
    }
    else {
        item = find(o, after);
        item = item != NULL ? RB_NEXT(order_queue, queue, item) : NULL;
    }
    while (item != NULL && item->job.not_before > now) {
        item = RB_NEXT(order_queue, queue, item);
    }
    if (item == NULL) {
        return ERR_NOTFOUND;
    }
    *out = item->job;
    return ERR_OK;
}

/* Finds the earliest end of a back-off. */
int64_t
Order_ReadyAt(const struct order *o, int64_t now)
{
    struct order_item *item;
    int64_t at = -1;

    RB_FOREACH (item, order_queue, (struct order_queue *)&o->queue) {
        if (item->job.not_before > now &&
            (at < 0 || item->job.not_before < at)) {
            at = item->job.not_before;
        }
    }
    return at;
}

/* Learns from a job that ran to its end. */
void
Order_Done(struct order *o, const struct id *id, const char *class_name,
           int64_t declared_ms, int64_t ran_ms)
{
    order_learn(o, class_name, declared_ms, ran_ms);
    Order_Forget(o, id);
}
