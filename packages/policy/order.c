#include "order-private.h"

#include <stdlib.h>

/* A job that runs longer than expected is expected to need as long again as
 * this part of what it has run, however often that was wrong. */
#define OVERRUN_PART 2

/* Order of trial: urgent first, then by key, then by id. */
static int
compare_key(const struct order_entry *a, const struct order_entry *b)
{
    if (a->urgent != b->urgent) {
        return a->urgent ? -1 : 1;
    }
    if (a->job.key != b->job.key) {
        return a->job.key < b->job.key ? -1 : 1;
    }
    return Id_Compare(&a->job.id, &b->job.id);
}

/* Order by id. */
static int
compare_id(const struct order_entry *a, const struct order_entry *b)
{
    return Id_Compare(&a->job.id, &b->job.id);
}

TREE_STATIC(order_queue, order_entry, by_key, compare_key);
TREE_STATIC(order_ids, order_entry, by_id, compare_id);

/* Takes the given value, or the default for one that isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Makes an empty queue. */
struct order *
Order_New(const struct order_limits *limits)
{
    struct order *o = Mem_Zero(1, sizeof(*o));
    struct order_limits *l = &o->limits;

    if (limits != NULL) {
        *l = *limits;
    }
    l->aging_percent = (int)or_default(l->aging_percent, 25);
    l->batch_after_ms = or_default(l->batch_after_ms, 14400000);
    l->expected_ms = or_default(l->expected_ms, 3600000);
    l->backoff_ms = or_default(l->backoff_ms, 5000);
    l->backoff_max_ms = or_default(l->backoff_max_ms, 600000);
    l->fails_max = (int)or_default(l->fails_max, 3);
    if (l->fails_max > ORDER_WORKERS_MAX) {
        l->fails_max = ORDER_WORKERS_MAX;
    }
    return o;
}

/* Frees the queue with all that is in it. */
void
Order_Free(struct order *o)
{
    struct order_entry *e, *next;

    if (o == NULL) {
        return;
    }
    RB_FOREACH_SAFE (e, order_ids, &o->ids, next) {
        RB_REMOVE(order_ids, &o->ids, e);
        free(e);
    }
    order_classes_clear(o);
    order_records_clear(o);
    free(o);
}

/* Frees what a local pointer points at. */
void
Order_FreeP(struct order **o)
{
    Order_Free(*o);
}

/* Looks a queued job up. */
static struct order_entry *
find(const struct order *o, const struct id *id)
{
    struct order_entry key = {.job.id = *id};

    return RB_FIND(order_ids, (struct order_ids *)&o->ids, &key);
}

/* What a job is expected to need yet. */
static int64_t
remaining(int64_t expected_ms, int64_t done_ms)
{
    int64_t least = done_ms / OVERRUN_PART;

    return expected_ms - done_ms > least ? expected_ms - done_ms : least;
}

/* Works out a job's place. All that wait age alike, so their order does not
 * change and the time waited can be counted from any moment: submission. */
static void
place(struct order *o, const struct order_facts *facts, struct order_job *job)
{
    const struct order_record *record = order_record_find(o, &facts->id);
    int64_t expected = order_expect(o, facts->class_name, facts->declared_ms,
                                    &job->predictor);

    job->id = facts->id;
    job->priority = facts->priority;
    job->remaining_ms = remaining(expected, facts->done_ms);
    job->key = job->remaining_ms +
               facts->submitted_at / 100 * o->limits.aging_percent;
    if (facts->priority == PRIORITY_BATCH) {
        job->key += o->limits.batch_after_ms;
    }
    job->not_before = record != NULL ? record->not_before : 0;
}

/* Queues a job. */
int
Order_Add(struct order *o, const struct order_facts *facts)
{
    struct order_entry *e;

    if (find(o, &facts->id) != NULL) {
        return ERR_EXISTS;
    }
    e = Mem_Zero(1, sizeof(*e));
    place(o, facts, &e->job);
    e->urgent = facts->priority == PRIORITY_URGENT;
    RB_INSERT(order_queue, &o->queue, e);
    RB_INSERT(order_ids, &o->ids, e);
    return ERR_OK;
}

/* Takes a job out. */
int
Order_Remove(struct order *o, const struct id *id)
{
    struct order_entry *e = find(o, id);

    if (e == NULL) {
        return ERR_NOTFOUND;
    }
    RB_REMOVE(order_queue, &o->queue, e);
    RB_REMOVE(order_ids, &o->ids, e);
    free(e);
    return ERR_OK;
}

/* Finds the next job that isn't held by its back-off. */
int
Order_Next(const struct order *o, const struct id *after, int64_t now,
           struct order_job *out)
{
    struct order_queue *queue = (struct order_queue *)&o->queue;
    struct order_entry *e;

    if (after == NULL) {
        e = RB_MIN(order_queue, queue);
    }
    else {
        e = find(o, after);
        e = e != NULL ? RB_NEXT(order_queue, queue, e) : NULL;
    }
    while (e != NULL && e->job.not_before > now) {
        e = RB_NEXT(order_queue, queue, e);
    }
    if (e == NULL) {
        return ERR_NOTFOUND;
    }
    *out = e->job;
    return ERR_OK;
}

/* Finds the earliest end of a back-off. */
int64_t
Order_ReadyAt(const struct order *o, int64_t now)
{
    struct order_entry *e;
    int64_t at = -1;

    RB_FOREACH (e, order_queue, (struct order_queue *)&o->queue) {
        if (e->job.not_before > now && (at < 0 || e->job.not_before < at)) {
            at = e->job.not_before;
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
