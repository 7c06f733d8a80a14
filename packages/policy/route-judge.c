#include "policy.h"

/* Returns the name of a reason. */
const char *
Route_ReasonName(enum route_reason reason)
{
    static const char *const names[ROUTE_REASON_COUNT] = {
        [ROUTE_OWN_DOMAIN] = "own_domain",
        [ROUTE_OTHER_DOMAIN] = "other_domain",
        [ROUTE_PROBE] = "probe",
        [ROUTE_NONE_KNOWN] = "no_upstream_known",
        [ROUTE_NONE_TAKES] = "no_upstream_takes_work",
        [ROUTE_NONE_FREE] = "no_slot_free",
        [ROUTE_NONE_UNTRIED] = "all_tried",
    };

    return (unsigned)reason < ROUTE_REASON_COUNT ? names[reason] : "unnamed";
}

/* Returns the time in which a candidate is expected to answer. */
static int64_t
expected_us(const struct route_inputs *in, const struct route_candidate *c)
{
    int64_t us = in->expected_ms * c->slowness_milli;
    int64_t slots_and_load_milli = c->slots * 1000 + c->load_milli;

    us = us * slots_and_load_milli / (c->slots * 1000);
    return us + (c->remote ? 2 * in->hop_us : 0);
}

/* Picks the candidate with the least expected time; of equal ones, the
 * first. */
struct route_decision
Route_Judge(const struct route_inputs *in)
{
    struct route_decision d = {ROUTE_NONE, ROUTE_NONE_FREE};
    int i;

    d.inputs = *in;
    d.judged = true;
    for (i = 0; i < ROUTE_CANDIDATES; i++) {
        const struct route_candidate *c = &in->candidates[i];
        int64_t us;

        if (c->handle == ROUTE_NONE) {
            continue;
        }
        us = expected_us(in, c);
        if (d.handle == ROUTE_NONE || us < d.expected_us) {
            d.handle = c->handle;
            d.expected_us = us;
            d.reason = c->remote ? ROUTE_OTHER_DOMAIN : ROUTE_OWN_DOMAIN;
        }
    }
    return d;
}
