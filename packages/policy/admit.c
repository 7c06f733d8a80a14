#include "admit-private.h"

#include <stdlib.h>

/* One in this many dispatches goes to a lower priority that has waited. This
 * 1/8 of the service is its minimum, and all that urgent work can lose. */
#define AGED_TURN_INTERVAL 8

/* Returns the value, or the default if it isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Sets limits that are not positive to their defaults. */
static struct admission_limits
with_defaults(const struct admission_limits *given)
{
    struct admission_limits l = {0};

    if (given != NULL) {
        l = *given;
    }
    l.queue_max = (int)or_default(l.queue_max, 4096);
    l.capacity = (int)or_default(l.capacity, 1);
    l.priority_lead_ms = or_default(l.priority_lead_ms, 2000);
    l.aging_ms = or_default(l.aging_ms, 2000);
    l.default_cost_ms = or_default(l.default_cost_ms, 200);
    l.retry_min_ms = or_default(l.retry_min_ms, 50);
    l.retry_max_ms = or_default(l.retry_max_ms, 30000);
    l.drain_assumed_ms = or_default(l.drain_assumed_ms, 1000);
    return l;
}

/* Creates an empty queue. */
struct admission *
Admission_New(const struct admission_limits *limits)
{
    struct admission *a = Mem_Zero(1, sizeof(*a));
    int i;

    a->limits = with_defaults(limits);
    admit_flows_init(&a->flows);
    RB_INIT(&a->classes.index);
    RB_INIT(&a->ids);
    RB_INIT(&a->expiry);
    TAILQ_INIT(&a->expired);
    for (i = 0; i < PRIORITY_COUNT; i++) {
        TAILQ_INIT(&a->level[i]);
    }
    return a;
}

/* Frees the queue and all requests in it. */
void
Admission_Free(struct admission *a)
{
    if (a == NULL) {
        return;
    }
    admit_clear(a);
    admit_flows_clear(&a->flows);
    admit_class_clear(&a->classes);
    free(a);
}

/* Frees the queue that a local pointer points to, for CLEANUP. */
void
Admission_FreeP(struct admission **a)
{
    Admission_Free(*a);
}

/* Sets the slots, which later decisions are based on. */
void
Admission_SetCapacity(struct admission *a, int slots)
{
    a->limits.capacity = slots > 0 ? slots : 0;
}

/* Sets the limit of the queue. Requests that are already queued stay. */
void
Admission_SetQueueMax(struct admission *a, int queue_max)
{
    a->limits.queue_max = queue_max > 0 ? queue_max : 1;
}

/* Sets a weight. The organisation's flow is then never evicted. */
void
Admission_SetWeight(struct admission *a, const char *organisation, int weight)
{
    struct admit_flows *flows = &a->flows;
    struct admit_flow *org = admit_flow_get(flows, &flows->root, organisation);

    if (!org->has_weight) {
        org->has_weight = true;
        admit_flow_ref(flows, org);
    }
    admit_flow_set_weight(org, weight > 0 ? weight : 1);
}

/* Judges a request, and queues it or reserves its retry time. */
struct admission_decision
Admission_Offer(struct admission *a, const struct admission_facts *facts,
                int64_t now, uint64_t rnd)
{
    struct admission_decision d;
    struct admission_inputs in;
    struct admit_request *r;
    struct admit_cost cost;
    uint64_t class_hash = Hash_Str(facts->class_name, 0);

    admit_update_drain(a, now);
    admit_expire_overdue(a, now);
    cost = admit_class_cost(&a->classes, class_hash, facts->cost_hint_ms,
                            a->limits.default_cost_ms);
    in = admit_inputs(a, facts, &cost, now, rnd);
    d = Admission_Judge(&in);
    if (d.verdict == ADMISSION_QUEUE) {
        r = admit_add_request(a, facts, &cost, now);
        r->predicted_ms = d.wait_ms * 1000 / in.stretch_milli;
        admit_enqueue(a, r, false);
    }
    else if (d.reason != REFUSE_DUPLICATE) {
        admit_reserve_retry(
            a, admit_flow_get(&a->flows, &a->flows.root, facts->organisation),
            &d);
    }
    return d;
}

/* Finds the lower priority whose oldest request has waited longest, if that is
 * at least aging_ms and an aged turn is due. */
static bool
aged_level(const struct admission *a, int64_t now, enum priority *level)
{
    const struct admit_request *r, *oldest = NULL;
    int i;

    if (a->dispatches_since_aged < AGED_TURN_INTERVAL - 1) {
        return false;
    }
    for (i = PRIORITY_URGENT + 1; i < PRIORITY_COUNT; i++) {
        r = TAILQ_FIRST(&a->level[i]);
        if (r != NULL &&
            (oldest == NULL || r->offered_at < oldest->offered_at)) {
            oldest = r;
        }
    }
    if (oldest == NULL || now - oldest->offered_at < a->limits.aging_ms) {
        return false;
    }
    *level = oldest->priority;
    return true;
}

/* Chooses the request to dispatch; NULL when none waits. */
static struct admit_request *
choose(struct admission *a, int64_t now, enum admission_turn *turn)
{
    struct admit_flow *root = &a->flows.root;
    struct admit_flow *key;
    enum priority level;
    int64_t lead;

    if (aged_level(a, now, &level)) {
        a->dispatches_since_aged = 0;
        *turn = TURN_AGED;
        key = admit_flow_choose_at(root, level);
    }
    else {
        a->dispatches_since_aged++;
        lead = a->limits.priority_lead_ms * 1000 * a->limits.capacity;
        key = admit_flow_choose(root, lead, &level, turn);
    }
    return key != NULL ? TAILQ_FIRST(&key->backlog[level].fifo) : NULL;
}

/* Takes the next request and charges its expected work. */
int
Admission_Next(struct admission *a, int64_t now, struct admission_next *out)
{
    struct admit_request *r;

    admit_update_drain(a, now);
    admit_expire_overdue(a, now);
    r = choose(a, now, &out->turn);
    if (r == NULL) {
        return ERR_NOTFOUND;
    }
    admit_dequeue(a, r);
    admit_learn_wait(r, now);
    admit_flow_charge(r->key, r->cost_ms);
    r->state = ADMIT_RUNNING;
    r->taken_at = now;
    a->running++;
    a->release_rate += 1 / (double)r->cost_ms;
    out->id = r->id;
    out->waited_ms = now - r->offered_at;
    out->cost_ms = r->cost_ms;
    return ERR_OK;
}

/* Removes a request from the count of running ones and from the release
 * rate. */
static void
release_slot(struct admission *a, struct admit_request *r)
{
    a->running--;
    a->release_rate -= 1 / (double)r->cost_ms;
    if (a->running == 0) {
        a->release_rate = 0; /* removes accumulated rounding errors */
    }
}

/* Reverts Admission_Next. */
int
Admission_Return(struct admission *a, const struct id *id, int64_t now)
{
    struct admit_request *r = admit_find(a, id);

    if (r == NULL || r->state != ADMIT_RUNNING) {
        return ERR_NOTFOUND;
    }
    admit_update_drain(a, now);
    release_slot(a, r);
    admit_flow_charge(r->key, -r->cost_ms);
    admit_enqueue(a, r, true);
    return ERR_OK;
}

/* Takes one expired request. Its refusal has the wait that is predicted for
 * such a request now. */
int
Admission_Expire(struct admission *a, int64_t now, uint64_t rnd, struct id *id,
                 struct admission_decision *out)
{
    struct admission_inputs in;
    struct admit_flow *org, *caller;
    struct admit_request *r;

    admit_update_drain(a, now);
    admit_expire_overdue(a, now);
    r = TAILQ_FIRST(&a->expired);
    if (r == NULL) {
        return ERR_NOTFOUND;
    }
    caller = r->key->parent;
    org = caller->parent;
    in = admit_flow_inputs(a, org, caller, r->key, r->priority, now);
    in.rnd = rnd;
    in.deadline_at = r->deadline_at;
    in.cost_ms = r->cost_ms;
    in.cost_high_ms = r->cost_high_ms;
    in.expired = true;
    *out = Admission_Judge(&in);
    admit_reserve_retry(a, org, out);
    *id = r->id;
    admit_drop(a, r);
    return ERR_OK;
}

/* Drops a request that isn't running. */
int
Admission_Cancel(struct admission *a, const struct id *id)
{
    struct admit_request *r = admit_find(a, id);

    if (r == NULL || r->state == ADMIT_RUNNING) {
        return ERR_NOTFOUND;
    }
    admit_drop(a, r);
    return ERR_OK;
}

/* Learns from a request that ran, and charges the time that it held its slot
 * beyond the expected. Elapsed time is charged, as a caller that abandons its
 * requests would otherwise get their work for free. */
int
Admission_Finished(struct admission *a, const struct id *id,
                   int64_t service_ms, bool ok, int64_t now)
{
    struct admit_request *r = admit_find(a, id);

    if (r == NULL || r->state != ADMIT_RUNNING) {
        return ERR_NOTFOUND;
    }
    admit_update_drain(a, now);
    release_slot(a, r);
    admit_flow_charge(r->key, now - r->taken_at - r->cost_ms);
    if (ok) {
        admit_class_learn(&a->classes, r->class_hash, service_ms);
    }
    admit_drop(a, r);
    return ERR_OK;
}

/* Returns the counts for the state dump and the metrics. */
void
Admission_Stats(const struct admission *a, struct admission_stats *out)
{
    const struct admit_flow *root = &a->flows.root;
    int i;

    *out = (struct admission_stats){0};
    out->queued = root->queued;
    out->running = a->running;
    out->capacity = a->limits.capacity;
    out->flows = a->flows.count;
    out->drain_milli = admit_drain_milli(a);
    for (i = 0; i < PRIORITY_COUNT; i++) {
        out->queued_ms += root->backlog[i].queued_ms;
    }
}
