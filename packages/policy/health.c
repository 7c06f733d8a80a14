#include "policy.h"

/* Longest back-off is reached well before this many doublings. */
#define DOUBLINGS_MAX 20

/* The text of a reason. */
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

/* Takes the given value, or the default for one that isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Fills in the defaults. */
static struct health_limits
complete(struct health_limits l)
{
    l.fails_in_row = (int)or_default(l.fails_in_row, 5);
    l.window = (int)or_default(l.window, 20);
    l.error_percent = (int)or_default(l.error_percent, 50);
    l.cap_percent = (int)or_default(l.cap_percent, 30);
    l.eject_ms = or_default(l.eject_ms, 2000);
    l.eject_max_ms = or_default(l.eject_max_ms, 120000);
    return l;
}

/* Most workers that may be out of use at once: the only one never. */
static int
most_out(const struct health_limits *l, int total)
{
    int most = total * l->cap_percent / 100;

    if (total < 2) {
        return 0;
    }
    return most > 0 ? most : 1;
}

/* Takes a worker out of use, for twice as long as the last time. */
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
    d.after.ejected_for = l->eject_ms << doublings;
    if (d.after.ejected_for > l->eject_max_ms) {
        d.after.ejected_for = l->eject_max_ms;
    }
    d.after.ejections++;
    d.after.fails = 0;
    d.after.seen = 0;
    d.after.failed = 0;
    return d;
}

/* Counts a result of a worker in use. A whole good window ends the back-off:
 * one that fails again soon after its probe stays out longer and longer. */
static enum health_reason
count(struct health *h, const struct health_limits *l, bool ok)
{
    bool bad_window;

    h->fails = ok ? 0 : h->fails + 1;
    h->failed += ok ? 0 : 1;
    h->seen++;
    if (h->fails >= l->fails_in_row) {
        return HEALTH_EJECT_CONSECUTIVE;
    }
    if (h->seen < l->window) {
        return HEALTH_UNCHANGED;
    }
    bad_window = h->failed * 100 >= l->error_percent * h->seen;
    h->seen = 0;
    h->failed = 0;
    if (bad_window) {
        return HEALTH_EJECT_RATE;
    }
    h->ejections = 0;
    return HEALTH_UNCHANGED;
}

/* Judges the result of a worker in use. The cap keeps a fault that isn't the
 * workers' own from taking them all out of use. */
static struct health_decision
judge_good(const struct health_inputs *in, const struct health_limits *l)
{
    struct health_decision d = {HEALTH_UNCHANGED, in->before};

    d.reason = count(&d.after, l, in->ok);
    if (d.reason == HEALTH_UNCHANGED) {
        return d;
    }
    if (in->out_of_use + 1 > most_out(l, in->total)) {
        d.reason = HEALTH_CAPPED;
        return d;
    }
    return eject(in, l, d.reason);
}

/* Judges one result by the worker's record. What an ejected worker still
 * answers was sent before and says nothing new. */
struct health_decision
Health_Judge(const struct health_inputs *in)
{
    struct health_limits l = complete(in->limits);
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

/* Tells whether the time out of use is over. */
bool
Health_MayProbe(const struct health *h, int64_t now)
{
    return h->state == HEALTH_EJECTED && now - h->ejected_at >= h->ejected_for;
}
