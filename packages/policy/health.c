#include "policy.h"

/* Bounds the shift; eject_max_ms is reached well before. */
#define DOUBLINGS_MAX 20

/* Returns the name of a reason. */
const char *
Health_ReasonName(enum health_reason reason)
{
    static const char *const names[HEALTH_REASON_COUNT] = {
        [HEALTH_UNCHANGED] = "stays",
        [HEALTH_EJECT_CONSECUTIVE] = "failures_in_a_row",
        [HEALTH_EJECT_RATE] = "error_rate",
        [HEALTH_CAPPED] = "too_many_out_already",
        [HEALTH_PROBE_FAILED] = "probe_failed",
        [HEALTH_PROBE_PASSED] = "probe_passed",
    };

    return (unsigned)reason < HEALTH_REASON_COUNT ? names[reason] : "unnamed";
}

/* Returns the value, or the default if it isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Sets limits that are not positive to their defaults. */
static struct health_limits
with_defaults(struct health_limits l)
{
    l.consecutive_failures = (int)or_default(l.consecutive_failures, 5);
    l.window = (int)or_default(l.window, 20);
    l.error_percent = (int)or_default(l.error_percent, 50);
    l.max_out_percent = (int)or_default(l.max_out_percent, 30);
    l.eject_ms = or_default(l.eject_ms, 2000);
    l.eject_max_ms = or_default(l.eject_max_ms, 120000);
    return l;
}

/* Returns how many workers may be out of use at once. An only worker is never
 * ejected. */
static int
max_out_of_use(const struct health_limits *l, int total)
{
    int max = total * l->max_out_percent / 100;

    if (total < 2) {
        return 0;
    }
    return max > 0 ? max : 1;
}

/* Ejects a worker, for twice as long as the last time. */
static struct health_decision
eject(const struct health_inputs *in, const struct health_limits *l,
      enum health_reason reason)
{
    struct health_decision d = {reason, in->before};
    int doublings = in->before.ejections;

    if (doublings > DOUBLINGS_MAX) {
        doublings = DOUBLINGS_MAX;
    }
    d.after.state = HEALTH_EJECTED;
    d.after.ejected_at = in->now;
    d.after.ejected_for_ms = l->eject_ms << doublings;
    if (d.after.ejected_for_ms > l->eject_max_ms) {
        d.after.ejected_for_ms = l->eject_max_ms;
    }
    d.after.ejections++;
    d.after.consecutive_failures = 0;
    d.after.window_results = 0;
    d.after.window_failures = 0;
    return d;
}

/* Counts a result of a worker in use. Only a good full window resets the
 * back-off, so a worker that fails soon after each passed probe is ejected for
 * longer and longer. */
static enum health_reason
count_result(struct health *h, const struct health_limits *l, bool ok)
{
    bool bad_window;

    h->consecutive_failures = ok ? 0 : h->consecutive_failures + 1;
    h->window_failures += ok ? 0 : 1;
    h->window_results++;
    if (h->consecutive_failures >= l->consecutive_failures) {
        return HEALTH_EJECT_CONSECUTIVE;
    }
    if (h->window_results < l->window) {
        return HEALTH_UNCHANGED;
    }
    bad_window =
        h->window_failures * 100 >= l->error_percent * h->window_results;
    h->window_results = 0;
    h->window_failures = 0;
    if (bad_window) {
        return HEALTH_EJECT_RATE;
    }
    h->ejections = 0;
    return HEALTH_UNCHANGED;
}

/* Judges a result of a worker in use. The cap prevents a fault outside the
 * workers from ejecting all of them. */
static struct health_decision
judge_good(const struct health_inputs *in, const struct health_limits *l)
{
    struct health_decision d = {HEALTH_UNCHANGED, in->before};

    d.reason = count_result(&d.after, l, in->ok);
    if (d.reason == HEALTH_UNCHANGED) {
        return d;
    }
    if (in->out_of_use + 1 > max_out_of_use(l, in->total)) {
        d.reason = HEALTH_CAPPED;
        return d;
    }
    return eject(in, l, d.reason);
}

/* Judges one result. Results of an ejected worker are ignored, as their
 * requests were sent before it was ejected. */
struct health_decision
Health_Judge(const struct health_inputs *in)
{
    struct health_limits l = with_defaults(in->limits);
    struct health_decision d = {HEALTH_UNCHANGED, in->before};

    if (in->before.state == HEALTH_GOOD) {
        return judge_good(in, &l);
    }
    if (in->before.state == HEALTH_EJECTED) {
        return d;
    }
    if (!in->ok) {
        return eject(in, &l, HEALTH_PROBE_FAILED);
    }
    d.reason = HEALTH_PROBE_PASSED;
    d.after.state = HEALTH_GOOD;
    return d;
}

/* Returns whether the time out of use is over. */
bool
Health_MayProbe(const struct health *h, int64_t now)
{
    return h->state == HEALTH_EJECTED &&
           now - h->ejected_at >= h->ejected_for_ms;
}
