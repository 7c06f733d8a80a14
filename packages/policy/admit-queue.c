#include "admit-private.h"

#include <stdlib.h>

/* Order by id. */
static int
compare_id(const struct admit_entry *a, const struct admit_entry *b)
{
    return Id_Compare(&a->id, &b->id);
}

/* Order by the latest start that still meets the deadline. */
static int
compare_expiry(const struct admit_entry *a, const struct admit_entry *b)
{
    if (a->latest_start != b->latest_start) {
        return a->latest_start < b->latest_start ? -1 : 1;
    }
    return compare_id(a, b);
}

TREE_STATIC(admit_id_index, admit_entry, by_id, compare_id);
TREE_STATIC(admit_expiry, admit_entry, by_expiry, compare_expiry);

/* Looks a request up; NULL when it is neither queued nor running. */
struct admit_entry *
admit_find(struct admission *a, const struct id *id)
{
    struct admit_entry key = {.id = *id};

    return RB_FIND(admit_id_index, &a->ids, &key);
}

/* Puts a request into its queues, at the tail or at the head. */
void
admit_enqueue(struct admission *a, struct admit_entry *e, bool first)
{
    struct admit_fifo *fifo = &e->key->lane[e->priority].fifo;

    e->state = ADMIT_QUEUED;
    admit_flow_count(e->key, e->priority, 1, e->cost_ms);
    if (e->latest_start != INT64_MAX) {
        RB_INSERT(admit_expiry, &a->expiry, e);
    }
    if (first) {
        TAILQ_INSERT_HEAD(fifo, e, in_key);
        TAILQ_INSERT_HEAD(&a->level[e->priority], e, in_level);
        return;
    }
    TAILQ_INSERT_TAIL(fifo, e, in_key);
    TAILQ_INSERT_TAIL(&a->level[e->priority], e, in_level);
}

/* Takes a request out of its queues; it is still known by its id. */
void
admit_dequeue(struct admission *a, struct admit_entry *e)
{
    TAILQ_REMOVE(&e->key->lane[e->priority].fifo, e, in_key);
    TAILQ_REMOVE(&a->level[e->priority], e, in_level);
    if (e->latest_start != INT64_MAX) {
        RB_REMOVE(admit_expiry, &a->expiry, e);
    }
    admit_flow_count(e->key, e->priority, -1, e->cost_ms);
}

/* Takes all requests that can't meet their deadline out of the queues, so
 * that they neither run nor count as work ahead of others. */
void
admit_sort_out(struct admission *a, int64_t now)
{
    struct admit_entry *e;

    while ((e = RB_MIN(admit_expiry, &a->expiry)) != NULL &&
           e->latest_start < now) {
        admit_dequeue(a, e);
        admit_stretch_learn(e, now);
        e->state = ADMIT_EXPIRED;
        TAILQ_INSERT_TAIL(&a->expired, e, in_key);
    }
}

/* Earliest time at which a queued request expires. */
int64_t
Admission_ExpiresAt(const struct admission *a)
{
    struct admit_entry *e = TAILQ_FIRST(&a->expired);

    if (e == NULL) {
        e = RB_MIN(admit_expiry, (struct admit_expiry *)&a->expiry);
    }
    return e != NULL ? e->latest_start + 1 : -1;
}

/* The flow of a request's key, referred to once more. */
static struct admit_flow *
key_of(struct admission *a, const struct admission_facts *facts)
{
    struct admit_flows *flows = &a->flows;
    struct admit_flow *org, *caller, *key;

    org = admit_flow_get(flows, &flows->root, facts->organisation);
    caller = admit_flow_get(flows, org, facts->caller ? facts->caller : "");
    key = admit_flow_get(flows, caller, facts->key ? facts->key : "");
    admit_flow_ref(flows, key);
    return key;
}

/* Makes the record of a request; it is known by its id from now on. */
struct admit_entry *
admit_new(struct admission *a, const struct admission_facts *facts,
          const struct admit_cost *cost, int64_t now)
{
    struct admit_entry *e = Mem_Zero(1, sizeof(*e));

    e->id = facts->id;
    e->key = key_of(a, facts);
    e->class_hash = Hash_Str(facts->class_name, 0);
    e->priority = facts->priority;
    e->cost_ms = cost->mean_ms;
    e->cost_high_ms = cost->high_ms;
    e->deadline_at = facts->deadline_at;
    e->latest_start = INT64_MAX;
    if (facts->deadline_at > 0) {
        e->latest_start = facts->deadline_at - cost->mean_ms;
        /* A slot that was free when it came may have been given away: it
         * keeps the right to start up to its deadline. */
        if (e->latest_start < now) {
            e->latest_start = facts->deadline_at;
        }
    }
    e->offered_at = now;
    RB_INSERT(admit_id_index, &a->ids, e);
    return e;
}

/* Forgets a request, wherever it is. */
void
admit_drop(struct admission *a, struct admit_entry *e)
{
    if (e->state == ADMIT_QUEUED) {
        admit_dequeue(a, e);
    }
    else if (e->state == ADMIT_EXPIRED) {
        TAILQ_REMOVE(&a->expired, e, in_key);
    }
    RB_REMOVE(admit_id_index, &a->ids, e);
    admit_flow_unref(&a->flows, e->key);
    free(e);
}

/* Forgets all requests, queued and running. */
void
admit_clear(struct admission *a)
{
    struct admit_entry *e, *next;

    RB_FOREACH_SAFE (e, admit_id_index, &a->ids, next) {
        admit_drop(a, e);
    }
}
