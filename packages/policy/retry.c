#include "policy.h"

#include <math.h>
#include <stdlib.h>

#define TOKEN_MILLI 1000 /* a token, in thousandths */
/* Answers needed before the 95th percentile is used. */
#define P95_SAMPLES_MIN 20
/* Step of the percentile estimate, as a fraction of its value. */
#define P95_STEP 0.05
#define P95_QUANTILE 0.95

struct retry {
    struct retry_limits limits;
    int64_t tokens_milli;
    int64_t filled_at;
    double p95_ms;
    int samples;
};

/* Returns the name of a reason. */
const char *
Retry_ReasonName(enum retry_reason reason)
{
    static const char *const names[RETRY_REASON_COUNT] = {
        [RETRY_ALLOWED] = "allowed",
        [RETRY_REROUTED] = "rerouted",
        [RETRY_NOT_REPEATABLE] = "not_repeatable",
        [RETRY_ATTEMPTS] = "too_many_attempts",
        [RETRY_BUDGET] = "no_budget",
        [RETRY_DEADLINE] = "deadline",
        [RETRY_HEDGE_TOO_EARLY] = "too_early",
        [RETRY_HEDGING_OFF] = "off",
    };

    return (unsigned)reason < RETRY_REASON_COUNT ? names[reason] : "unnamed";
}

/* Finds the reason against a hedge, or RETRY_ALLOWED. */
static enum retry_reason
judge_hedge(const struct retry_inputs *in)
{
    if (!in->facts.repeatable) {
        return RETRY_NOT_REPEATABLE;
    }
    if (!in->hedge || in->p95_ms < 0) {
        return RETRY_HEDGING_OFF;
    }
    if (in->now - in->facts.sent_at < in->p95_ms) {
        return RETRY_HEDGE_TOO_EARLY;
    }
    return RETRY_ALLOWED;
}

/* Finds the reason against another attempt, or RETRY_ALLOWED. */
static enum retry_reason
judge_attempt(const struct retry_inputs *in)
{
    const struct retry_facts *f = &in->facts;
    enum retry_reason reason = RETRY_ALLOWED;

    if (!f->repeatable && f->started) {
        return RETRY_NOT_REPEATABLE;
    }
    if (f->attempts >= in->attempts_max) {
        return RETRY_ATTEMPTS;
    }
    if (f->deadline_at > 0 && in->now + f->expected_ms > f->deadline_at) {
        return RETRY_DEADLINE;
    }
    if (f->cause == RETRY_HEDGE) {
        reason = judge_hedge(in);
    }
    if (reason != RETRY_ALLOWED) {
        return reason;
    }
    if (f->cause == RETRY_REFUSED) {
        return RETRY_REROUTED;
    }
    return in->tokens_milli >= TOKEN_MILLI ? RETRY_ALLOWED : RETRY_BUDGET;
}

/* Judges one more attempt. */
struct retry_decision
Retry_Judge(const struct retry_inputs *in)
{
    struct retry_decision d = {.inputs = *in};

    d.reason = judge_attempt(in);
    d.token = d.reason == RETRY_ALLOWED;
    d.allowed = d.token || d.reason == RETRY_REROUTED;
    return d;
}

/* Returns the value, or the default if it isn't set. */
static int
or_default(int value, int fallback)
{
    return value > 0 ? value : fallback;
}

/* Creates a budget that starts full. */
struct retry *
Retry_New(const struct retry_limits *limits)
{
    struct retry *r = Mem_Zero(1, sizeof(*r));

    if (limits != NULL) {
        r->limits = *limits;
    }
    r->limits.share_percent = or_default(r->limits.share_percent, 20);
    r->limits.floor_per_s = or_default(r->limits.floor_per_s, 1);
    r->limits.burst = or_default(r->limits.burst, 100);
    r->limits.attempts_max = or_default(r->limits.attempts_max, 3);
    r->tokens_milli = (int64_t)r->limits.burst * TOKEN_MILLI;
    return r;
}

/* Frees a budget. */
void
Retry_Free(struct retry *r)
{
    free(r);
}

/* Adds tokens up to the burst. */
static void
add_tokens(struct retry *r, int64_t milli)
{
    int64_t max_milli = (int64_t)r->limits.burst * TOKEN_MILLI;

    r->tokens_milli += milli;
    if (r->tokens_milli > max_milli) {
        r->tokens_milli = max_milli;
    }
}

/* Adds the tokens of floor_per_s since the last call. */
static void
refill(struct retry *r, int64_t now)
{
    int64_t max_ms = (int64_t)r->limits.burst * 1000;
    int64_t dt = now - r->filled_at;

    if (dt <= 0) {
        return;
    }
    r->filled_at = now;
    add_tokens(r, (dt > max_ms ? max_ms : dt) * r->limits.floor_per_s);
}

/* Moves the estimate of the 95th percentile towards a latency: up by 19 parts
 * or down by one, so that it settles where 5% of answers take longer. */
static void
learn_p95(struct retry *r, int64_t latency_ms)
{
    double step = fmax(1, r->p95_ms * P95_STEP);

    if (r->samples < P95_SAMPLES_MIN) {
        r->samples++;
        r->p95_ms = fmax(r->p95_ms, (double)latency_ms);
        return;
    }
    if ((double)latency_ms > r->p95_ms) {
        r->p95_ms += step * P95_QUANTILE;
    }
    else {
        r->p95_ms -= step * (1 - P95_QUANTILE);
    }
}

/* Adds a part of a token, and updates the latency percentile. */
void
Retry_Success(struct retry *r, int64_t latency_ms, int64_t now)
{
    refill(r, now);
    add_tokens(r, (int64_t)r->limits.share_percent * TOKEN_MILLI / 100);
    learn_p95(r, latency_ms);
}

/* Decides on one more attempt, and takes a token if it costs one. */
struct retry_decision
Retry_Request(struct retry *r, const struct retry_facts *facts, int64_t now)
{
    struct retry_inputs in = {.facts = *facts, .now = now};
    struct retry_decision d;

    refill(r, now);
    in.tokens_milli = r->tokens_milli;
    in.p95_ms = Retry_HedgeAfterMs(r);
    in.attempts_max = r->limits.attempts_max;
    in.hedge = r->limits.hedge;
    d = Retry_Judge(&in);
    if (d.token) {
        r->tokens_milli -= TOKEN_MILLI;
    }
    return d;
}

/* Turns hedging on or off from now on. */
void
Retry_SetHedge(struct retry *r, bool hedge)
{
    r->limits.hedge = hedge;
}

/* Returns the time after which a hedge may be requested. */
int64_t
Retry_HedgeAfterMs(const struct retry *r)
{
    if (!r->limits.hedge || r->samples < P95_SAMPLES_MIN) {
        return -1;
    }
    return llround(r->p95_ms);
}
