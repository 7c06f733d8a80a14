#include "admit-private.h"

#include <math.h>

/* Time constant of the decay of the measured drain: longer than most service
 * times, and shorter than operators wait for a change to show. */
#define DRAIN_FADE_MS 5000.0
/* The drain estimate is at least 1/20 of the slots. Below that, queued
 * requests reach their deadlines before a better estimate would help. */
#define DRAIN_MIN_DIVISOR 20

/* Averages over about the last hundred waits. */
#define STRETCH_GAIN (1.0 / 64)
/* Added to both sums, so that short waits hardly change the ratio. */
#define STRETCH_PRIOR_MS 1000.0
/* Limits of stretch_milli. */
#define STRETCH_MIN_MILLI 500.0
#define STRETCH_MAX_MILLI 8000.0

/* Adds the time since the last call to the drain's measurement. It counts
 * slots in use rather than results, as the first results of long work come
 * late. */
void
admit_update_drain(struct admission *a, int64_t now)
{
    double dt = (double)(now - a->drain_updated_at);
    double fade;

    if (dt <= 0) {
        return;
    }
    a->drain_updated_at = now;
    fade = exp(-dt / DRAIN_FADE_MS);
    a->busy_slot_ms *= fade;
    a->backlogged_ms *= fade;
    if (a->flows.root.queued > 0) {
        a->busy_slot_ms += a->running * dt;
        a->backlogged_ms += dt;
    }
}

/* Returns the slots that serve the backlog, in thousandths. All slots are
 * assumed at first, and less and less until there has been a backlog for
 * drain_assumed_ms. The assumption then ends entirely: other entries may use
 * some of the slots, and a trace of it would keep predictions too short. */
int64_t
admit_drain_milli(const struct admission *a)
{
    double assumed_ms =
        fmax(0, (double)a->limits.drain_assumed_ms - a->backlogged_ms);
    double slots = (a->busy_slot_ms + a->limits.capacity * assumed_ms) /
                   (a->backlogged_ms + assumed_ms);
    int64_t min_milli = (int64_t)a->limits.capacity * 1000 / DRAIN_MIN_DIVISOR;
    int64_t milli = llround(slots * 1000);

    return milli < min_milli ? min_milli : milli;
}

/* Adds a wait and its prediction to the sums of its organisation at its
 * priority. */
void
admit_learn_wait(const struct admit_request *r, int64_t now)
{
    struct admit_backlog *backlog =
        &r->key->parent->parent->backlog[r->priority];

    backlog->waited_ms -= backlog->waited_ms * STRETCH_GAIN;
    backlog->predicted_ms -= backlog->predicted_ms * STRETCH_GAIN;
    backlog->waited_ms += (double)(now - r->offered_at);
    backlog->predicted_ms += (double)r->predicted_ms;
}

/* Returns the ratio of waits to predictions, in thousandths. A prediction
 * counts the work that is queued. With fair queueing and priorities, later
 * work may go first, at a rate that only the waits show. */
static int64_t
stretch_milli(const struct admit_flow *org, enum priority priority)
{
    const struct admit_backlog *backlog;
    double milli;

    if (org == NULL) {
        return 1000;
    }
    backlog = &org->backlog[priority];
    milli = 1000 * (backlog->waited_ms + STRETCH_PRIOR_MS) /
            (backlog->predicted_ms + STRETCH_PRIOR_MS);
    return llround(fmin(fmax(milli, STRETCH_MIN_MILLI), STRETCH_MAX_MILLI));
}

/* Returns the work of a flow that goes before a new request of this
 * priority. */
static int64_t
work_ahead_ms(const struct admit_flow *flow, enum priority priority)
{
    int64_t ms = 0;
    int i;

    for (i = 0; i <= (int)priority; i++) {
        ms += flow->backlog[i].queued_ms;
    }
    return ms;
}

/* Returns the share of its parent's service that a flow has with one more
 * request queued. A NULL flow is one that isn't known yet. */
static int64_t
share_milli(const struct admit_flow *parent, const struct admit_flow *flow)
{
    int64_t weight = flow != NULL ? flow->weight : ADMISSION_WEIGHT;
    int64_t other_weights = parent != NULL ? parent->weight_sum : 0;

    if (flow != NULL && flow->queued > 0) {
        other_weights -= weight;
    }
    return weight * 1000 / (weight + (other_weights > 0 ? other_weights : 0));
}

/* Gathers the inputs that depend on the service, the organisation and the
 * caller. */
struct admission_inputs
admit_flow_inputs(const struct admission *a, const struct admit_flow *org,
                  const struct admit_flow *caller,
                  const struct admit_flow *key, enum priority priority,
                  int64_t now)
{
    const struct admit_flow *root = &a->flows.root;
    struct admission_inputs in = {.now = now};

    in.ahead_ms = work_ahead_ms(root, priority);
    in.org_ahead_ms = org ? work_ahead_ms(org, priority) : 0;
    in.caller_ahead_ms = caller ? work_ahead_ms(caller, priority) : 0;
    in.key_ahead_ms = key ? work_ahead_ms(key, priority) : 0;
    in.next_free_ms = a->running > 0 ? llround(1 / a->release_rate) : 0;
    in.drain_milli = admit_drain_milli(a);
    in.org_share_milli = share_milli(root, org);
    in.caller_share_milli = share_milli(org, caller);
    in.key_share_milli = share_milli(caller, key);
    if (org != NULL && org->retries_reserved_until > now) {
        in.comeback_ms = org->retries_reserved_until - now;
    }
    in.stretch_milli = stretch_milli(org, priority);
    in.retry_min_ms = a->limits.retry_min_ms;
    in.retry_max_ms = a->limits.retry_max_ms;
    in.running = a->running;
    in.capacity = a->limits.capacity;
    in.queued = root->queued;
    in.queue_max = a->limits.queue_max;
    in.org_queued = org ? org->queued : 0;
    in.caller_queued = caller ? caller->queued : 0;
    return in;
}

/* Gathers all inputs for a request that is offered. */
struct admission_inputs
admit_inputs(struct admission *a, const struct admission_facts *facts,
             const struct admit_cost *cost, int64_t now, uint64_t rnd)
{
    struct admit_flow *org, *caller, *key;
    struct admission_inputs in;

    org = admit_flow_find(&a->flows, &a->flows.root, facts->organisation);
    caller =
        admit_flow_find(&a->flows, org, facts->caller ? facts->caller : "");
    key = admit_flow_find(&a->flows, caller, facts->key ? facts->key : "");
    in = admit_flow_inputs(a, org, caller, key, facts->priority, now);
    in.rnd = rnd;
    in.deadline_at = facts->deadline_at;
    in.cost_ms = cost->mean_ms;
    in.cost_high_ms = cost->high_ms;
    in.duplicate = admit_find(a, &facts->id) != NULL;
    return in;
}

/* Advances the retry time of an organisation's next refused request by the
 * time that its share needs to serve this one, so that refused requests retry
 * at the rate at which they can be served. */
void
admit_reserve_retry(struct admission *a, struct admit_flow *org,
                    const struct admission_decision *d)
{
    const struct admission_inputs *in = &d->inputs;
    int64_t rate = in->drain_milli * in->org_share_milli / 1000;
    int64_t retry_at = in->now + d->excess_ms;
    int64_t latest = in->now + a->limits.retry_max_ms;

    if (retry_at < org->retries_reserved_until) {
        retry_at = org->retries_reserved_until;
    }
    retry_at += in->cost_ms * 1000 / (rate > 0 ? rate : 1);
    org->retries_reserved_until = retry_at > latest ? latest : retry_at;
}
