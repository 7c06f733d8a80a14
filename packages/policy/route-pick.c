#include "route-private.h"

#include <math.h>
#include <string.h>

/* A report that is this many half-lives old says nothing of a full upstream:
 * otherwise one that was full when reports ceased would stay so for good. */
#define REPORT_HALF_LIVES 8
/* Random tries for a usable candidate. */
#define DRAW_TRIES 4
/* That all are full is looked at again after this, as reports fade. */
#define ALL_FULL_RECHECK_MS 10
/* Candidates of the own domain, and of the others. */
#define CANDIDATES_PER_GROUP (ROUTE_CANDIDATES / 2)
/* Latency within this factor of the median is no sign of a slow upstream. */
#define SLOWNESS_TOLERANCE 1.5
/* No upstream is thought to be slower than this against the median. */
#define SLOWNESS_MAX 16.0

/* Draws the next random number of a sequence (SplitMix64). */
static uint64_t
next_random(uint64_t *state)
{
    uint64_t z = *state += 0x9e3779b97f4a7c15u;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

/* What is left of a value after some time, by its half-life. */
static double
fade(int64_t age_ms, int64_t half_life_ms)
{
    return age_ms > 0 ? exp2(-(double)age_ms / (double)half_life_ms) : 1;
}

/* Own outstanding requests, plus the others': as reported at first, then more
 * and more the mean of all upstreams, in the end none. Entries that act on
 * the same old report would otherwise all go where it said there was room. */
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

/* Slowness against the median of all, which an upstream returns to when
 * nothing is sent to it: so a slow one is tried again in time. */
double
route_relative_slowness(const struct route *r, const struct route_upstream *u,
                        int64_t now)
{
    double excess = u->slowness / r->median_slowness - 1;

    return 1 + excess *
                   fade(now - u->slowness_at, r->limits.slowness_half_life_ms);
}

/* The same without what may be chance: service times scatter, and a choice by
 * that scatter sends requests to where there is more load. */
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

/* Tells whether a slot and a connection are free. */
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

/* Tells whether an upstream may be sent work at all. */
bool
route_accepts_work(const struct route_upstream *u)
{
    return u->known && !u->leaving && u->health.state == HEALTH_GOOD;
}

/* One pick in progress. */
struct pick {
    const struct route *r;
    const struct route_request *request;
    int64_t now;
    uint64_t random_state;
    int own_domain;
};

/* Tells whether a handle was tried already. */
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

/* Tells whether a handle is a candidate already. */
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

/* Tells whether a handle can be a candidate. */
static bool
usable(const struct pick *p, int handle)
{
    const struct route_upstream *u = &p->r->upstreams[handle];

    return route_accepts_work(u) && !already_tried(p, handle) &&
           route_has_room(p->r, u, p->now);
}

/* Tells whether a handle stands in another domain than the entry. */
static bool
is_remote(const struct pick *p, int handle)
{
    return p->r->upstreams[handle].domain != p->own_domain;
}

/* Draws a usable handle from a list; ROUTE_NONE when a few draws meet none,
 * or none that isn't a candidate already. */
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

/* Looks for any usable handle: the one settled last, which is likely to have
 * a slot free when all are busy, then all, from a random place on. */
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

/* Writes down what is known of a candidate. */
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

/* Draws candidates of a list. */
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
 * be repeated is risked only when no other has come for probe_any_ms: the
 * caller of a failed probe can be served elsewhere if it may be repeated. */
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

/* Finds why there is no candidate. */
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

/* Finds the index of the entry's own domain; none of them may be known. */
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

/* Gathers candidates: a few drawn at random; any one that is free when these
 * draws meet none, as happens when nearly all are full. */
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

/* Chooses an upstream for a request. That all are full is remembered until
 * something changes: a queue in front asks again for each arrival. */
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
