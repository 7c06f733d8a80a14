#include "route-private.h"

#include <stdlib.h>
#include <string.h>

/* Returns the value, or the default if it isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Creates a router without upstreams. */
struct route *
Route_New(const struct route_limits *limits)
{
    struct route *r = Mem_Zero(1, sizeof(*r));

    if (limits != NULL) {
        r->limits = *limits;
    }
    r->limits.hop_us = or_default(r->limits.hop_us, 1500);
    r->limits.report_half_life_ms =
        or_default(r->limits.report_half_life_ms, 3000);
    r->limits.slowness_half_life_ms =
        or_default(r->limits.slowness_half_life_ms, 10000);
    r->limits.probe_unrepeatable_ms =
        or_default(r->limits.probe_unrepeatable_ms, 5000);
    r->median_slowness = 1;
    return r;
}

/* Frees the router. */
void
Route_Free(struct route *r)
{
    int i;

    if (r == NULL) {
        return;
    }
    for (i = 0; i < r->domain_count; i++) {
        free(r->domains[i].list.handles);
    }
    free(r->domains);
    free(r->all.handles);
    free(r->upstreams);
    free(r);
}

/* Frees the router that a local pointer points to, for CLEANUP. */
void
Route_FreeP(struct route **r)
{
    Route_Free(*r);
}

/* Doubles the capacity of an array that is full. */
static void *
reserve_one(void *array, int count, int *capacity, size_t size)
{
    if (count < *capacity) {
        return array;
    }
    *capacity = *capacity > 0 ? *capacity * 2 : 8;
    return Mem_Grow(array, (size_t)*capacity * size);
}

/* Adds a handle to a list. */
static void
list_add(struct route_list *list, int handle)
{
    list->handles =
        reserve_one(list->handles, list->count, &list->capacity, sizeof(int));
    list->handles[list->count++] = handle;
}

/* Removes a handle from a list. */
static void
list_remove(struct route_list *list, int handle)
{
    int i;

    for (i = 0; i < list->count; i++) {
        if (list->handles[i] == handle) {
            list->handles[i] = list->handles[--list->count];
            return;
        }
    }
}

/* Finds a domain by its name, or returns ROUTE_NONE. */
static int
find_domain(const struct route *r, const char *name)
{
    int i;

    for (i = 0; i < r->domain_count; i++) {
        if (strcmp(r->domains[i].name, name) == 0) {
            return i;
        }
    }
    return ROUTE_NONE;
}

/* Finds or adds a domain. */
static int
get_domain(struct route *r, const char *name)
{
    int i = find_domain(r, name);

    if (i != ROUTE_NONE) {
        return i;
    }
    r->domains = Mem_Grow(r->domains,
                          (size_t)(r->domain_count + 1) * sizeof(*r->domains));
    memset(&r->domains[r->domain_count], 0, sizeof(*r->domains));
    Str_Copy(r->domains[r->domain_count].name, NAME_SIZE, name);
    return r->domain_count++;
}

/* Finds an upstream by its name. */
int
Route_Find(const struct route *r, const char *name)
{
    int i;

    for (i = 0; i < r->upstream_count; i++) {
        if (strcmp(r->upstreams[i].name, name) == 0) {
            return i;
        }
    }
    return ROUTE_NONE;
}

/* Finds an upstream by its handle; NULL for an unknown handle. */
static struct route_upstream *
find_upstream(const struct route *r, int handle)
{
    return handle >= 0 && handle < r->upstream_count ? &r->upstreams[handle]
                                                     : NULL;
}

/* Returns the name behind a handle. */
const char *
Route_Name(const struct route *r, int handle)
{
    const struct route_upstream *u = find_upstream(r, handle);

    return u != NULL ? u->name : NULL;
}

/* Adds the record of a new name. A handle is never reused for another name, so
 * that a late result can't be counted for the wrong upstream. */
static int
add_upstream(struct route *r, const char *name)
{
    struct route_upstream *u;

    r->upstreams = reserve_one(r->upstreams, r->upstream_count,
                               &r->upstream_capacity, sizeof(*r->upstreams));
    u = &r->upstreams[r->upstream_count];
    memset(u, 0, sizeof(*u));
    Str_Copy(u->name, NAME_SIZE, name);
    u->slowness = 1;
    return r->upstream_count++;
}

/* Removes an upstream from the lists if it is known, and resets its health and
 * its reported load. */
static void
remove_from_lists(struct route *r, int handle)
{
    struct route_upstream *u = &r->upstreams[handle];

    if (!u->known) {
        return;
    }
    list_remove(&r->all, handle);
    list_remove(&r->domains[u->domain].list, handle);
    r->others_outstanding_sum -= u->others_outstanding;
    u->others_outstanding = 0;
    u->others_connections = 0;
    u->reported = false;
    if (u->health.state != HEALTH_GOOD) {
        r->out_of_use--;
    }
    u->health = (struct health){0};
    u->known = false;
}

/* Adds an upstream to the lists. */
static void
add_to_lists(struct route *r, int handle)
{
    struct route_upstream *u = &r->upstreams[handle];

    list_add(&r->all, handle);
    list_add(&r->domains[u->domain].list, handle);
    u->known = true;
}

/* Adds an upstream or updates its facts. */
int
Route_Upsert(struct route *r, const struct route_facts *facts)
{
    struct route_upstream *u;
    int handle, domain;

    if (facts->slots < 1 || facts->connections < 1 ||
        strlen(facts->name) >= NAME_SIZE ||
        strlen(facts->domain) >= NAME_SIZE) {
        return ERR_INVALID;
    }
    handle = Route_Find(r, facts->name);
    if (handle == ROUTE_NONE) {
        handle = add_upstream(r, facts->name);
    }
    domain = get_domain(r, facts->domain);
    u = &r->upstreams[handle];
    if (u->known && u->domain != domain) {
        remove_from_lists(r, handle);
    }
    r->all_full = false;
    u->domain = domain;
    u->slots = facts->slots;
    u->connections = facts->connections;
    u->leaving = false;
    if (!u->known) {
        add_to_lists(r, handle);
    }
    return handle;
}

/* Removes an upstream from routing, until it is added again. */
void
Route_Remove(struct route *r, int handle)
{
    if (find_upstream(r, handle) != NULL) {
        remove_from_lists(r, handle);
    }
}

/* Excludes an upstream that is leaving from routing. */
void
Route_Leaving(struct route *r, int handle)
{
    struct route_upstream *u = find_upstream(r, handle);

    if (u != NULL) {
        u->leaving = true;
    }
}

/* Updates the load that an upstream reports. */
void
Route_Report(struct route *r, int handle, const struct route_report *report,
             int64_t now)
{
    struct route_upstream *u = find_upstream(r, handle);
    int others = report->busy - report->own;

    if (u == NULL || !u->known) {
        return;
    }
    r->all_full = false;
    others = others > 0 ? others : 0;
    r->others_outstanding_sum += others - u->others_outstanding;
    u->others_outstanding = others;
    u->others_connections = report->connections - report->own;
    u->reported = true;
    u->reported_at = now - report->age_ms;
}

/* Returns the total slots of the upstreams that accept work. */
int
Route_Slots(const struct route *r)
{
    int i, slots = 0;

    for (i = 0; i < r->all.count; i++) {
        const struct route_upstream *u = &r->upstreams[r->all.handles[i]];

        if (route_accepts_work(u)) {
            slots += u->slots;
        }
    }
    return slots;
}

/* Returns the number of handles. */
int
Route_Count(const struct route *r)
{
    return r->upstream_count;
}

/* Returns the present state of an upstream. */
void
Route_View(const struct route *r, int handle, int64_t now,
           struct route_view *out)
{
    const struct route_upstream *u = find_upstream(r, handle);

    *out = (struct route_view){0};
    if (u == NULL) {
        return;
    }
    out->name = u->name;
    out->domain = r->domains[u->domain].name;
    out->slots = u->slots;
    out->outstanding = u->outstanding;
    out->load_milli = (int64_t)(route_load(r, u, now) * 1000);
    out->slowness_milli = (int64_t)(route_slowness(r, u, now) * 1000);
    out->known = u->known;
    out->leaving = u->leaving;
    out->health = u->health.state;
}
