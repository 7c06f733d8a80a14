#include "route-private.h"

#include <math.h>
#include <string.h>

/* A report that is this many half-lives old says nothing of a full upstream:
 * otherwise one that was full when reports ceased would stay so for good. */
#define REPORT_LIVES 8
/* Random tries for a usable candidate. */
#define DRAWS 4
/* That all are full is looked at again after this, as reports fade. */
#define FULL_MS 10
/* Candidates of the own domain, and of the others. */
#define DRAWN (ROUTE_CANDIDATES / 2)
/* Latency within this factor of the median is no sign of a slow upstream. */
#define SLOWNESS_BAND 1.5
/* No upstream is thought to be slower than this against the median. */
#define SLOWNESS_MAX 16.0

/* Draws the next random number of a sequence (SplitMix64). */
static uint64_t
draw(uint64_t *state)
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
        return u->own;
    }
    mean = (double)r->others_sum / r->all.count;
    if (!u->reported) {
        return u->own + mean;
    }
    others = mean + (u->others - mean) * fade(age, r->limits.report_ms);
    others *= fade(age, r->limits.report_ms * REPORT_LIVES);
    return u->own + others;
}

/* Slowness against the median of all, which an upstream returns to when
 * nothing is sent to it: so a slow one is tried again in time. */
double
route_raw_slowness(const struct route *r, const struct route_upstream *u,
                   int64_t now)
{
    double off = u->slowness / r->median - 1;

    return 1 + off * fade(now - u->slowness_at, r->limits.forget_ms);
}

/* The same without what may be chance: service times scatter, and a choice by
 * that scatter sends requests to where there is more load. */
double
route_slowness(const struct route *r, const struct route_upstream *u,
               int64_t now)
{
    double factor = route_raw_slowness(r, u, now);

    if (factor > SLOWNESS_BAND) {
        return fmin(factor / SLOWNESS_BAND, SLOWNESS_MAX);
    }
    return factor < 1 / SLOWNESS_BAND ? factor * SLOWNESS_BAND : 1;
}

/* Tells whether a slot and a connection are free. */
bool
route_has_room(const struct route *r, const struct route_upstream *u,
               int64_t now)
{
    int64_t report_life = r->limits.report_ms * REPORT_LIVES;
    int connections = u->own;

    if (u->reported && now - u->reported_at < report_life) {
        connections += u->other_connections;
    }
    return connections < u->connections && u->own < u->slots &&
           route_load(r, u, now) <= u->slots - 0.5;
}

/* Tells whether an upstream may be sent work at all. */
bool
route_takes(const struct route_upstream *u)
{
    return u->known && !u->leaving && u->health.state == HEALTH_GOOD;
}

/* One pick in progress. */
struct pick {
    const struct route *r;
    const struct route_request *request;
    int64_t now;
    uint64_t random;
    int own_domain;
};

/* Tells whether a handle was tried already. */
static bool
avoided(const struct pick *p, int handle)
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
among(const struct route_candidate *taken, int count, int handle)
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
    const struct route_upstream *u = &p->r->up[handle];

    return route_takes(u) && !avoided(p, handle) &&
           route_has_room(p->r, u, p->now);
}

/* Tells whether a handle stands in another domain than the entry. */
static bool
is_remote(const struct pick *p, int handle)
{
    return p->r->up[handle].domain != p->own_domain;
}

/* Draws a usable handle from a list; ROUTE_NONE when a few draws meet none,
 * or none that isn't a candidate already. */
static int
draw_usable(struct pick *p, const struct route_list *list, bool remote,
            const struct route_candidate *taken, int count)
{
    int i, at;

    for (i = 0; i < DRAWS && list->count > 0; i++) {
        at = list->at[draw(&p->random) % (uint64_t)list->count];
        if (is_remote(p, at) == remote && usable(p, at) &&
            !among(taken, count, at)) {
            return at;
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

    if (p->r->freed < p->r->count && usable(p, p->r->freed)) {
        return p->r->freed;
    }
    for (i = 0, at = 0; i < all->count; i++) {
        at = i == 0 ? (int)(draw(&p->random) % (uint64_t)all->count) : at + 1;
        if (usable(p, all->at[at % all->count])) {
            return all->at[at % all->count];
        }
    }
    return ROUTE_NONE;
}

/* Writes down what is known of a candidate. */
static void
describe(const struct pick *p, int handle, struct route_candidate *c)
{
    const struct route_upstream *u;

    c->handle = handle;
    if (handle == ROUTE_NONE) {
        return;
    }
    u = &p->r->up[handle];
    c->remote = is_remote(p, handle);
    c->slots = u->slots;
    c->load_milli = llround(route_load(p->r, u, p->now) * 1000);
    c->slowness_milli = llround(route_slowness(p->r, u, p->now) * 1000);
}

/* Draws candidates of a list. */
static void
draw_some(struct pick *p, const struct route_list *list, bool remote,
          struct route_candidate *out)
{
    int i;

    for (i = 0; i < DRAWN; i++) {
        int handle = draw_usable(p, list, remote, out, i);

        describe(p, handle, &out[i]);
    }
}

/* Finds an ejected upstream that is due for a probe. A request that must not
 * be repeated is risked only when no other has come for probe_any_ms: the
 * caller of a failed probe can be served elsewhere if it may be repeated. */
static int
find_probe(const struct pick *p)
{
    int64_t patience = p->request->repeatable ? 0 : p->r->limits.probe_any_ms;
    int i;

    if (p->r->out == 0 || p->now < p->r->probe_at) {
        return ROUTE_NONE;
    }
    for (i = 0; i < p->r->all.count; i++) {
        int handle = p->r->all.at[i];
        const struct route_upstream *u = &p->r->up[handle];

        if (!u->leaving && Health_MayProbe(&u->health, p->now - patience) &&
            !avoided(p, handle) && route_has_room(p->r, u, p->now)) {
            return handle;
        }
    }
    return ROUTE_NONE;
}

/* Finds why there is no candidate. */
static enum route_reason
why_none(const struct pick *p)
{
    enum route_reason reason = ROUTE_NONE_TAKES;
    int i;

    if (p->r->all.count == 0) {
        return ROUTE_NONE_KNOWN;
    }
    for (i = 0; i < p->r->all.count; i++) {
        const struct route_upstream *u = &p->r->up[p->r->all.at[i]];

        if (!route_takes(u)) {
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
own_domain(const struct route *r, const char *name)
{
    int i;

    for (i = 0; name != NULL && i < r->domains; i++) {
        if (strcmp(r->domain[i].name, name) == 0) {
            return i;
        }
    }
    return ROUTE_NONE;
}

/* Gathers candidates: a few drawn at random; any one that is free when these
 * draws meet none, as happens when nearly all are full. */
static void
gather(struct pick *p, struct route_inputs *in)
{
    static const struct route_list nobody;
    const struct route_list *own = &nobody;
    bool found = false;
    int i;

    if (p->own_domain >= 0) {
        own = &p->r->domain[p->own_domain].list;
    }
    draw_some(p, own, false, &in->candidates[0]);
    draw_some(p, &p->r->all, true, &in->candidates[DRAWN]);
    for (i = 0; i < ROUTE_CANDIDATES; i++) {
        found = found || in->candidates[i].handle != ROUTE_NONE;
    }
    if (!found) {
        describe(p, find_usable(p), &in->candidates[0]);
    }
}

/* Chooses an upstream for a request. That all are full is remembered until
 * something changes: a queue in front asks again for each arrival. */
struct route_decision
Route_Pick(struct route *r, const struct route_request *request, int64_t now,
           uint64_t rnd)
{
    struct pick p = {r, request, now, rnd, own_domain(r, request->domain)};
    struct route_inputs in = {request->expected_ms, r->limits.hop_us};
    struct route_decision d = {ROUTE_NONE, ROUTE_NONE_FREE};

    if (r->full && now - r->full_at < FULL_MS) {
        return d;
    }
    d.handle = find_probe(&p);
    if (d.handle != ROUTE_NONE) {
        d.reason = ROUTE_PROBE;
        return d;
    }
    gather(&p, &in);
    d = Route_Judge(&in);
    if (d.handle == ROUTE_NONE) {
        d.reason = why_none(&p);
        d.judged = false;
        r->full = d.reason == ROUTE_NONE_FREE;
        r->full_at = now;
    }
    return d;
}
