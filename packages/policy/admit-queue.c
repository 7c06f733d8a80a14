#include "admit-private.h"

#include <stdlib.h>

/* Orders requests by id. */
static int
compare_id(const struct admit_request *a, const struct admit_request *b)
{
    return Id_Compare(&a->id, &b->id);
}

/* Orders requests by the latest start that still meets the deadline. */
static int
compare_expiry(const struct admit_request *a, const struct admit_request *b)
{
    if (a->latest_start != b->latest_start) {
        return a->latest_start < b->latest_start ? -1 : 1;
    }
    return compare_id(a, b);
}

TREE_STATIC(admit_id_index, admit_request, by_id, compare_id);
TREE_STATIC(admit_expiry, admit_request, by_expiry, compare_expiry);

/* Finds a queued, expired or running request; NULL when there is none. */
struct admit_request *
admit_find(struct admission *a, const struct id *id)
{
    struct admit_request key = {.id = *id};

    return RB_FIND(admit_id_index, &a->ids, &key);
}

/* Adds a request to its queues, at the head or the tail. */
void
admit_enqueue(struct admission *a, struct admit_request *r, bool first)
{
    struct admit_fifo *fifo = &r->key->backlog[r->priority].fifo;

    r->state = ADMIT_QUEUED;
    admit_flow_count(r->key, r->priority, 1, r->cost_ms);
    if (r->latest_start != INT64_MAX) {
        RB_INSERT(admit_expiry, &a->expiry, r);
    }
    if (first) {
        TAILQ_INSERT_HEAD(fifo, r, in_key);
        TAILQ_INSERT_HEAD(&a->level[r->priority], r, in_level);
        return;
    }
    TAILQ_INSERT_TAIL(fifo, r, in_key);
    TAILQ_INSERT_TAIL(&a->level[r->priority], r, in_level);
}

/* Removes a request from its queues. It can still be found by its id. */
void
admit_dequeue(struct admission *a, struct admit_request *r)
{
    TAILQ_REMOVE(&r->key->backlog[r->priority].fifo, r, in_key);
    TAILQ_REMOVE(&a->level[r->priority], r, in_level);
    if (r->latest_start != INT64_MAX) {
        RB_REMOVE(admit_expiry, &a->expiry, r);
    }
    admit_flow_count(r->key, r->priority, -1, r->cost_ms);
}

/* Moves all requests that can't meet their deadline from the queues to the
 * expired list, so that they neither run nor count as work ahead of others. */
void
admit_expire_overdue(struct admission *a, int64_t now)
{
    struct admit_request *r;

    while ((r = RB_MIN(admit_expiry, &a->expiry)) != NULL &&
           r->latest_start < now) {
        admit_dequeue(a, r);
        admit_learn_wait(r, now);
        r->state = ADMIT_EXPIRED;
        TAILQ_INSERT_TAIL(&a->expired, r, in_key);
    }
}

/* Returns the earliest time at which a queued request expires. */
int64_t
Admission_ExpiresAt(const struct admission *a)
{
    struct admit_request *r = TAILQ_FIRST(&a->expired);

    if (r == NULL) {
        r = RB_MIN(admit_expiry, (struct admit_expiry *)&a->expiry);
    }
    return r != NULL ? r->latest_start + 1 : -1;
}

/* Returns the flow of a request's key, with a new reference. */
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

/* Creates the record of a request, which can be found by its id from now
 * on. */
struct admit_request *
admit_add_request(struct admission *a, const struct admission_facts *facts,
                  const struct admit_cost *cost, int64_t now)
{
    struct admit_request *r = Mem_Zero(1, sizeof(*r));

    r->id = facts->id;
    r->key = key_of(a, facts);
    r->class_hash = Hash_Str(facts->class_name, 0);
    r->priority = facts->priority;
    r->cost_ms = cost->mean_ms;
    r->cost_high_ms = cost->high_ms;
    r->deadline_at = facts->deadline_at;
    r->latest_start = INT64_MAX;
    if (facts->deadline_at > 0) {
        r->latest_start = facts->deadline_at - cost->mean_ms;
        /* A request for a free slot is admitted even if its cost exceeds the
         * time left. If it loses the slot, it may start up to its deadline. */
        if (r->latest_start < now) {
            r->latest_start = facts->deadline_at;
        }
    }
    r->offered_at = now;
    RB_INSERT(admit_id_index, &a->ids, r);
    return r;
}

/* Frees a request in any state. */
void
admit_drop(struct admission *a, struct admit_request *r)
{
    if (r->state == ADMIT_QUEUED) {
        admit_dequeue(a, r);
    }
    else if (r->state == ADMIT_EXPIRED) {
        TAILQ_REMOVE(&a->expired, r, in_key);
    }
    RB_REMOVE(admit_id_index, &a->ids, r);
    admit_flow_unref(&a->flows, r->key);
    free(r);
}

/* Frees all requests. */
void
admit_clear(struct admission *a)
{
    struct admit_request *r, *next;

    RB_FOREACH_SAFE (r, admit_id_index, &a->ids, next) {
        admit_drop(a, r);
    }
}
