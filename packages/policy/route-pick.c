#include "route-private.h"

#include <math.h>
#include <string.h>

/* Half-lives after which a report no longer counts at all. Otherwise an
 * upstream that was full in its last report would stay full for good. */
#define REPORT_HALF_LIVES 8
/* Random draws per candidate before the place is left empty. */
#define DRAW_TRIES 4
/* A result that all upstreams are full is reused for this long. It is then
 * computed again, as reports fade. */
#define ALL_FULL_RECHECK_MS 10
/* Candidates of the own domain, and likewise of the others. */
#define CANDIDATES_PER_GROUP (ROUTE_CANDIDATES / 2)
/* A latency within this factor of the median isn't counted as slow or fast. */
#define SLOWNESS_TOLERANCE 1.5
/* Limit of the slowness relative to the median. */
#define SLOWNESS_MAX 16.0

/* Returns the next random number of a sequence (SplitMix64). */
static uint64_t
next_random(uint64_t *state)
{
    uint64_t z = *state += 0x9e3779b97f4a7c15u;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

/* Returns the fraction of a value that is left at this age. */
static double
fade(int64_t age_ms, int64_t half_life_ms)
{
    return age_ms > 0 ? exp2(-(double)age_ms / (double)half_life_ms) : 1;
}

/* Estimates an upstream's load: requests of this entry, plus those of other
 * entries as last reported. As a report ages, its figure fades to the mean of
 * all upstreams and finally to zero. Otherwise, entries with the same old
 * report would all pick the upstream that had free slots in it. */
double
route_load(const struct route *r, const struct route_upstream *u, int64_t now)
{
    double mean, others;
    int64_t age = now - u->reported_at;

    if (r->all.count == 0) {
        return u->outstanding;
    }
    mean = (double)r->others_outstanding_sum / r->all.count;
    if (!u->reported) {
        return u->outstanding + mean;
    }
    others = mean + (u->others_outstanding - mean) *
                        fade(age, r->limits.report_half_life_ms);
    others *= fade(age, r->limits.report_half_life_ms * REPORT_HALF_LIVES);
    return u->outstanding + others;
}

/* Returns the slowness of an upstream relative to the median. It decays to the
 * median while no results come, so that a slow upstream is tried again. */
double
route_relative_slowness(const struct route *r, const struct route_upstream *u,
                        int64_t now)
{
    double excess = u->slowness / r->median_slowness - 1;

    return 1 + excess *
                   fade(now - u->slowness_at, r->limits.slowness_half_life_ms);
}

/* Returns the relative slowness without deviations within the tolerance.
 * Service times vary, and picking by chance differences would send requests to
 * upstreams with more load. */
double
route_slowness(const struct route *r, const struct route_upstream *u,
               int64_t now)
{
    double factor = route_relative_slowness(r, u, now);

    if (factor > SLOWNESS_TOLERANCE) {
        return fmin(factor / SLOWNESS_TOLERANCE, SLOWNESS_MAX);
    }
    return factor < 1 / SLOWNESS_TOLERANCE ? factor * SLOWNESS_TOLERANCE : 1;
}

/* Returns whether a slot and a connection are free. */
bool
route_has_room(const struct route *r, const struct route_upstream *u,
               int64_t now)
{
    int64_t report_valid_ms =
        r->limits.report_half_life_ms * REPORT_HALF_LIVES;
    int connections = u->outstanding;

    if (u->reported && now - u->reported_at < report_valid_ms) {
        connections += u->others_connections;
    }
    return connections < u->connections && u->outstanding < u->slots &&
           route_load(r, u, now) <= u->slots - 0.5;
}

/* Returns whether an upstream may get work at all. */
bool
route_accepts_work(const struct route_upstream *u)
{
    return u->known && !u->leaving && u->health.state == HEALTH_GOOD;
}

/* The state of one pick. */
struct pick {
    const struct route *r;
    const struct route_request *request;
    int64_t now;
    uint64_t random_state;
    int own_domain;
};

/* Returns whether the request was already tried at this upstream. */
static bool
already_tried(const struct pick *p, int handle)
{
    int i;

    for (i = 0; i < p->request->avoid_count; i++) {
        if (p->request->avoid[i] == handle) {
            return true;
        }
    }
    return false;
}

/* Returns whether a handle is already a candidate. */
static bool
is_candidate(const struct route_candidate *taken, int count, int handle)
{
    int i;

    for (i = 0; i < count; i++) {
        if (taken[i].handle == handle) {
            return true;
        }
    }
    return false;
}

/* Returns whether an upstream can be a candidate. */
static bool
usable(const struct pick *p, int handle)
{
    const struct route_upstream *u = &p->r->upstreams[handle];

    return route_accepts_work(u) && !already_tried(p, handle) &&
           route_has_room(p->r, u, p->now);
}

/* Returns whether an upstream is in another domain than the entry. */
static bool
is_remote(const struct pick *p, int handle)
{
    return p->r->upstreams[handle].domain != p->own_domain;
}

/* Draws from a list a usable handle that isn't a candidate yet. Returns
 * ROUTE_NONE when DRAW_TRIES draws find none. */
static int
draw_usable(struct pick *p, const struct route_list *list, bool remote,
            const struct route_candidate *taken, int count)
{
    int i, handle;

    for (i = 0; i < DRAW_TRIES && list->count > 0; i++) {
        handle = list->handles[next_random(&p->random_state) %
                               (uint64_t)list->count];
        if (is_remote(p, handle) == remote && usable(p, handle) &&
            !is_candidate(taken, count, handle)) {
            return handle;
        }
    }
    return ROUTE_NONE;
}

/* Finds any usable upstream. The one settled last is checked first, as it is
 * likely to have a free slot when all are busy, then all from a random
 * start. */
static int
find_usable(struct pick *p)
{
    const struct route_list *all = &p->r->all;
    int i, at;

    if (p->r->last_settled < p->r->upstream_count &&
        usable(p, p->r->last_settled)) {
        return p->r->last_settled;
    }
    for (i = 0, at = 0; i < all->count; i++) {
        at = i == 0
                 ? (int)(next_random(&p->random_state) % (uint64_t)all->count)
                 : at + 1;
        if (usable(p, all->handles[at % all->count])) {
            return all->handles[at % all->count];
        }
    }
    return ROUTE_NONE;
}

/* Fills in a candidate as the upstream is now. */
static void
fill_candidate(const struct pick *p, int handle, struct route_candidate *c)
{
    const struct route_upstream *u;

    c->handle = handle;
    if (handle == ROUTE_NONE) {
        return;
    }
    u = &p->r->upstreams[handle];
    c->remote = is_remote(p, handle);
    c->slots = u->slots;
    c->load_milli = llround(route_load(p->r, u, p->now) * 1000);
    c->slowness_milli = llround(route_slowness(p->r, u, p->now) * 1000);
}

/* Draws candidates from a list. */
static void
draw_candidates(struct pick *p, const struct route_list *list, bool remote,
                struct route_candidate *out)
{
    int i;

    for (i = 0; i < CANDIDATES_PER_GROUP; i++) {
        int handle = draw_usable(p, list, remote, out, i);

        fill_candidate(p, handle, &out[i]);
    }
}

/* Finds an ejected upstream that is due for a probe. A request that must not
 * be repeated is used only when the probe has been due for
 * probe_unrepeatable_ms, as it is lost if the probe fails; a repeatable one
 * can be sent to another upstream. */
static int
find_probe(const struct pick *p)
{
    int64_t delay_ms =
        p->request->repeatable ? 0 : p->r->limits.probe_unrepeatable_ms;
    int i;

    if (p->r->out_of_use == 0 || p->now < p->r->next_probe_at) {
        return ROUTE_NONE;
    }
    for (i = 0; i < p->r->all.count; i++) {
        int handle = p->r->all.handles[i];
        const struct route_upstream *u = &p->r->upstreams[handle];

        if (!u->leaving && Health_MayProbe(&u->health, p->now - delay_ms) &&
            !already_tried(p, handle) && route_has_room(p->r, u, p->now)) {
            return handle;
        }
    }
    return ROUTE_NONE;
}

/* Finds the reason why there is no candidate. */
static enum route_reason
reason_for_none(const struct pick *p)
{
    enum route_reason reason = ROUTE_NONE_TAKES;
    int i;

    if (p->r->all.count == 0) {
        return ROUTE_NONE_KNOWN;
    }
    for (i = 0; i < p->r->all.count; i++) {
        const struct route_upstream *u =
            &p->r->upstreams[p->r->all.handles[i]];

        if (!route_accepts_work(u)) {
            continue;
        }
        if (route_has_room(p->r, u, p->now)) {
            return ROUTE_NONE_UNTRIED;
        }
        reason = ROUTE_NONE_FREE;
    }
    return reason;
}

/* Finds the index of the entry's own domain; ROUTE_NONE if no upstream is in
 * it. */
static int
find_own_domain(const struct route *r, const char *name)
{
    int i;

    for (i = 0; name != NULL && i < r->domain_count; i++) {
        if (strcmp(r->domains[i].name, name) == 0) {
            return i;
        }
    }
    return ROUTE_NONE;
}

/* Gathers a few random candidates. When the draws find none, as happens when
 * nearly all upstreams are full, it searches for a single usable one. */
static void
gather_candidates(struct pick *p, struct route_inputs *in)
{
    static const struct route_list empty;
    const struct route_list *own = &empty;
    bool found = false;
    int i;

    if (p->own_domain >= 0) {
        own = &p->r->domains[p->own_domain].list;
    }
    draw_candidates(p, own, false, &in->candidates[0]);
    draw_candidates(p, &p->r->all, true,
                    &in->candidates[CANDIDATES_PER_GROUP]);
    for (i = 0; i < ROUTE_CANDIDATES; i++) {
        found = found || in->candidates[i].handle != ROUTE_NONE;
    }
    if (!found) {
        fill_candidate(p, find_usable(p), &in->candidates[0]);
    }
}

/* Picks an upstream for a request. The result that all are full is kept until
 * something changes, as the queue picks again for each arriving request. */
struct route_decision
Route_Pick(struct route *r, const struct route_request *request, int64_t now,
           uint64_t rnd)
{
    struct pick p = {r, request, now, rnd,
                     find_own_domain(r, request->domain)};
    struct route_inputs in = {request->expected_ms, r->limits.hop_us};
    struct route_decision d = {ROUTE_NONE, ROUTE_NONE_FREE};

    if (r->all_full && now - r->all_full_at < ALL_FULL_RECHECK_MS) {
        return d;
    }
    d.handle = find_probe(&p);
    if (d.handle != ROUTE_NONE) {
        d.reason = ROUTE_PROBE;
        return d;
    }
    gather_candidates(&p, &in);
    d = Route_Judge(&in);
    if (d.handle == ROUTE_NONE) {
        d.reason = reason_for_none(&p);
        d.judged = false;
        r->all_full = d.reason == ROUTE_NONE_FREE;
        r->all_full_at = now;
    }
    return d;
}
