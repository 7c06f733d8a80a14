#include "route-private.h"

#include <stdlib.h>

/* Gain of the slowness average, which covers about the last ten results. */
#define SLOWNESS_GAIN (1.0 / 8)
/* A failure counts as a latency of this many times the expected, however fast
 * it came. Otherwise a worker that fails at once would look like the
 * fastest. */
#define FAILURE_SLOWNESS 8.0
/* Limit of one sample, as a single stuck request doesn't make a worker
 * slow. */
#define SLOWNESS_SAMPLE_MAX 16.0
/* Results after which the median is computed again. */
#define RESULTS_PER_MEDIAN 64

/* Finds an upstream by its handle; NULL for an unknown handle. */
static struct route_upstream *
find_upstream(const struct route *r, int handle)
{
    return handle >= 0 && handle < r->upstream_count ? &r->upstreams[handle]
                                                     : NULL;
}

/* Counts a request as outstanding. The first one after the time out
 * of use of an ejected upstream is its probe. */
void
Route_Sent(struct route *r, int handle, int64_t now)
{
    struct route_upstream *u = find_upstream(r, handle);

    if (u == NULL) {
        return;
    }
    u->outstanding++;
    if (Health_MayProbe(&u->health, now)) {
        u->health.state = HEALTH_PROBING;
    }
}

/* Compares doubles for qsort. */
static int
compare_double(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/* Computes the median slowness of all known upstreams. */
static void
update_median(struct route *r)
{
    double *all CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)r->all.count, sizeof(double));
    int i;

    for (i = 0; i < r->all.count; i++) {
        all[i] = r->upstreams[r->all.handles[i]].slowness;
    }
    qsort(all, (size_t)r->all.count, sizeof(double), compare_double);
    r->median_slowness = all[r->all.count / 2];
    r->results_since_median = 0;
}

/* Adds a result to the slowness average. */
static void
learn_slowness(struct route *r, struct route_upstream *u, bool ok,
               int64_t latency_ms, int64_t expected_ms, int64_t now)
{
    double sample = (double)(latency_ms + 1) / (double)(expected_ms + 1);

    if (!ok && sample < FAILURE_SLOWNESS) {
        sample = FAILURE_SLOWNESS;
    }
    if (sample > SLOWNESS_SAMPLE_MAX) {
        sample = SLOWNESS_SAMPLE_MAX;
    }
    u->slowness = r->median_slowness * route_relative_slowness(r, u, now);
    u->slowness += (sample - u->slowness) * SLOWNESS_GAIN;
    u->slowness_at = now;
    if (++r->results_since_median >= RESULTS_PER_MEDIAN && r->all.count > 0) {
        update_median(r);
    }
}

/* Finds the earliest time at which a probe is due. */
static void
update_next_probe(struct route *r)
{
    int i;

    r->next_probe_at = INT64_MAX;
    for (i = 0; i < r->all.count; i++) {
        const struct health *h = &r->upstreams[r->all.handles[i]].health;

        if (h->state == HEALTH_EJECTED &&
            h->ejected_at + h->ejected_for_ms < r->next_probe_at) {
            r->next_probe_at = h->ejected_at + h->ejected_for_ms;
        }
    }
}

/* Updates the upstream's health by a result. */
static enum health_reason
learn_health(struct route *r, struct route_upstream *u, bool ok, int64_t now)
{
    struct health_inputs in = {u->health, r->limits.health, ok};
    bool was_out = u->health.state != HEALTH_GOOD;
    struct health_decision d;

    in.out_of_use = r->out_of_use - (was_out ? 1 : 0);
    in.total = r->all.count;
    in.now = now;
    d = Health_Judge(&in);
    u->health = d.after;
    r->out_of_use = in.out_of_use + (u->health.state != HEALTH_GOOD ? 1 : 0);
    if (r->out_of_use > 0 && d.reason != HEALTH_UNCHANGED) {
        update_next_probe(r);
    }
    return d.reason;
}

/* Cancels a probe without a result, so that the next request may be the
 * probe. */
static void
cancel_probe(struct route *r, struct route_upstream *u)
{
    if (u->health.state == HEALTH_PROBING) {
        u->health.state = HEALTH_EJECTED;
        update_next_probe(r);
    }
}

/* Treats a refusal as a report that no slot is free now. */
static void
mark_full(struct route *r, struct route_upstream *u, int64_t now)
{
    struct route_report full = {.own = u->outstanding};

    full.busy = u->slots > u->outstanding ? u->slots : u->outstanding;
    full.connections = u->others_connections + u->outstanding;
    Route_Report(r, (int)(u - r->upstreams), &full, now);
}

/* Records the end of a request. */
enum health_reason
Route_Settled(struct route *r, int handle, enum route_outcome outcome,
              int64_t latency_ms, int64_t expected_ms, int64_t now)
{
    struct route_upstream *u = find_upstream(r, handle);
    bool ok = outcome == ROUTE_OK;

    if (u == NULL || u->outstanding == 0) {
        return HEALTH_UNCHANGED;
    }
    u->outstanding--;
    r->all_full = false;
    r->last_settled = handle;
    if (!u->known) {
        return HEALTH_UNCHANGED;
    }
    if (outcome == ROUTE_WITHDRAWN || outcome == ROUTE_REFUSED) {
        cancel_probe(r, u);
        if (outcome == ROUTE_REFUSED) {
            mark_full(r, u, now);
        }
        return HEALTH_UNCHANGED;
    }
    learn_slowness(r, u, ok, latency_ms, expected_ms, now);
    return learn_health(r, u, ok, now);
}
