#include "admit-private.h"

/* Retries of refused callers are spread over an extra 1/4 of the retry
 * time. */
#define JITTER_DIVISOR 4
/* Retry time without any slots, when no drain can be estimated. */
#define RETRY_NO_CAPACITY_MS 1000
/* Waits are predicted longer by this fraction (1/2). Without a margin, each
 * underestimate ends as a refusal after a wait instead of one at once. */
#define WAIT_MARGIN_DIVISOR 2
/* Limits predictions, as a longer one makes no difference. */
#define WAIT_MAX_MS 86400000

static const char *const reason_names[ADMISSION_REASON_COUNT] = {
    [ADMIT_SLOT_FREE] = "slot_free",
    [ADMIT_WAIT_FITS] = "wait_fits",
    [REFUSE_WAIT_TOO_LONG] = "wait_too_long",
    [REFUSE_ORG_SHARE] = "organisation_share_used",
    [REFUSE_CALLER_SHARE] = "caller_share_used",
    [REFUSE_KEY_SHARE] = "key_share_used",
    [REFUSE_QUEUE_FULL] = "queue_full",
    [REFUSE_ORG_QUEUE] = "organisation_queue_full",
    [REFUSE_CALLER_QUEUE] = "caller_queue_full",
    [REFUSE_DEADLINE_SHORT] = "deadline_too_short",
    [REFUSE_EXPIRED] = "expired_in_queue",
    [REFUSE_NO_CAPACITY] = "no_capacity",
    [REFUSE_DUPLICATE] = "duplicate_id",
};

/* Returns the name of a reason. */
const char *
Admission_ReasonName(enum admission_reason reason)
{
    if ((unsigned)reason >= ADMISSION_REASON_COUNT) {
        return "unnamed";
    }
    return reason_names[reason];
}

/* A predicted wait, and the reason to give if it is too long. */
struct prediction {
    int64_t wait_ms;
    enum admission_reason reason;
};

/* Returns the time in which the service does this much work. */
static int64_t
drain_time(const struct admission_inputs *in, int64_t work_ms)
{
    int64_t drain = in->drain_milli > 0 ? in->drain_milli : 1;
    int64_t ms = work_ms / drain * 1000 + work_ms % drain * 1000 / drain;

    return ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms;
}

/* Lowers a prediction for all flows of a parent to that for one of them: a
 * flow waits only for its own part of the backlog, served at its own share. */
static void
limit_to_share(struct prediction *p, int64_t all_ms, int64_t own_ms,
               int64_t share_milli, enum admission_reason reason)
{
    int64_t share = share_milli > 0 ? share_milli : 1;
    int64_t wait;

    if (all_ms <= 0) {
        return;
    }
    wait = p->wait_ms * own_ms / all_ms * 1000 / share;
    if (wait < p->wait_ms) {
        p->wait_ms = wait;
        p->reason = reason;
    }
}

/* Predicts the wait for a slot: the least of the times in which the backlog of
 * all, of the organisation, of the caller and of the key drains. With fair
 * queueing a flow never waits longer than for its own backlog at its own
 * share. */
static struct prediction
predict(const struct admission_inputs *in)
{
    struct prediction p = {0, REFUSE_WAIT_TOO_LONG};
    int64_t share = in->org_share_milli > 0 ? in->org_share_milli : 1;
    int64_t org_wait_ms;

    p.wait_ms = drain_time(in, in->ahead_ms) + in->next_free_ms;
    org_wait_ms = drain_time(in, in->org_ahead_ms * 1000 / share);
    org_wait_ms += in->next_free_ms;
    if (org_wait_ms < p.wait_ms) {
        p.wait_ms = org_wait_ms;
        p.reason = REFUSE_ORG_SHARE;
    }
    limit_to_share(&p, in->org_ahead_ms, in->caller_ahead_ms,
                   in->caller_share_milli, REFUSE_CALLER_SHARE);
    limit_to_share(&p, in->caller_ahead_ms, in->key_ahead_ms,
                   in->key_share_milli, REFUSE_KEY_SHARE);
    p.wait_ms = p.wait_ms * in->stretch_milli / 1000;
    return p;
}

/* Builds a refusal. The retry time is when the excess will have drained and
 * the callers refused before will have been served, plus jitter, so that
 * callers don't retry all at once. */
static struct admission_decision
refuse(const struct admission_inputs *in, enum admission_reason reason,
       int64_t wait_ms, int64_t excess_ms)
{
    struct admission_decision d = {.inputs = *in};
    int64_t after_ms = excess_ms;

    if (after_ms < in->comeback_ms) {
        after_ms = in->comeback_ms;
    }
    if (after_ms < in->retry_min_ms) {
        after_ms = in->retry_min_ms;
    }
    if (after_ms > in->retry_max_ms) {
        after_ms = in->retry_max_ms;
    }
    d.verdict = ADMISSION_REFUSE;
    d.reason = reason;
    d.wait_ms = wait_ms;
    d.excess_ms = excess_ms;
    d.retry_after_ms =
        after_ms +
        (int64_t)(in->rnd % (uint64_t)(after_ms / JITTER_DIVISOR + 1));
    return d;
}

/* Builds an admission. */
static struct admission_decision
admit(const struct admission_inputs *in, enum admission_reason reason,
      int64_t wait_ms)
{
    struct admission_decision d = {.inputs = *in};

    d.verdict = ADMISSION_QUEUE;
    d.reason = reason;
    d.wait_ms = wait_ms;
    return d;
}

/* Finds which limit on the number of requests is reached, if any. An
 * organisation may hold as many places as are still free, and a caller as many
 * as are left of these, so others find places however many requests one
 * sends. */
static bool
queue_limit_reached(const struct admission_inputs *in,
                    enum admission_reason *reason)
{
    int64_t free_places = in->queue_max - in->queued;

    if (free_places <= 0) {
        *reason = REFUSE_QUEUE_FULL;
        return true;
    }
    if (in->org_queued >= free_places) {
        *reason = REFUSE_ORG_QUEUE;
        return true;
    }
    if (in->caller_queued >= free_places - in->org_queued) {
        *reason = REFUSE_CALLER_QUEUE;
        return true;
    }
    return false;
}

/* Judges a request that has to wait, by its deadline. */
static struct admission_decision
judge_wait(const struct admission_inputs *in, struct prediction p)
{
    int64_t left_ms = in->deadline_at - in->now;
    int64_t needed_ms;

    if (in->deadline_at == 0) {
        return admit(in, ADMIT_WAIT_FITS, p.wait_ms);
    }
    if (left_ms < in->cost_ms) {
        return refuse(in, REFUSE_DEADLINE_SHORT, p.wait_ms, p.wait_ms);
    }
    needed_ms = p.wait_ms + p.wait_ms / WAIT_MARGIN_DIVISOR + in->cost_high_ms;
    if (needed_ms > left_ms) {
        return refuse(in, p.reason, p.wait_ms, needed_ms - left_ms);
    }
    return admit(in, ADMIT_WAIT_FITS, p.wait_ms);
}

/* Judges one request. A free slot is given to any request, even if its class
 * is estimated too slow for the deadline: no other request waits for the slot,
 * and a wrong estimate would otherwise never be corrected. */
struct admission_decision
Admission_Judge(const struct admission_inputs *in)
{
    struct prediction p = predict(in);
    enum admission_reason reason;

    if (in->duplicate) {
        return refuse(in, REFUSE_DUPLICATE, 0, 0);
    }
    if (in->expired) {
        return refuse(in, REFUSE_EXPIRED, p.wait_ms, p.wait_ms);
    }
    if (in->capacity <= 0) {
        return refuse(in, REFUSE_NO_CAPACITY, 0, RETRY_NO_CAPACITY_MS);
    }
    if (in->deadline_at > 0 && in->deadline_at <= in->now) {
        return refuse(in, REFUSE_DEADLINE_SHORT, 0, 0);
    }
    if (queue_limit_reached(in, &reason)) {
        return refuse(in, reason, p.wait_ms, p.wait_ms);
    }
    if (in->running < in->capacity && in->queued == 0) {
        return admit(in, ADMIT_SLOT_FREE, 0);
    }
    return judge_wait(in, p);
}
