#include "route-private.h"

#include <stdlib.h>
#include <string.h>

/* Takes the given value, or the default for one that isn't set. */
static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

/* Makes a router without upstreams. */
struct route *
Route_New(const struct route_limits *limits)
{
    struct route *r = Mem_Zero(1, sizeof(*r));

    if (limits != NULL) {
        r->limits = *limits;
    }
    r->limits.hop_us = or_default(r->limits.hop_us, 1500);
    r->limits.report_ms = or_default(r->limits.report_ms, 3000);
    r->limits.forget_ms = or_default(r->limits.forget_ms, 10000);
    r->limits.probe_any_ms = or_default(r->limits.probe_any_ms, 5000);
    r->median = 1;
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
    for (i = 0; i < r->domains; i++) {
        free(r->domain[i].list.at);
    }
    free(r->domain);
    free(r->all.at);
    free(r->up);
    free(r);
}

/* Frees what a local pointer points at. */
void
Route_FreeP(struct route **r)
{
    Route_Free(*r);
}

/* Doubles the room of an array when it is full. */
static void *
room_for_one(void *array, int count, int *room, size_t size)
{
    if (count < *room) {
        return array;
    }
    *room = *room > 0 ? *room * 2 : 8;
    return Mem_Grow(array, (size_t)*room * size);
}

/* Adds a handle to a list. */
static void
list_add(struct route_list *list, int handle)
{
    list->at = room_for_one(list->at, list->count, &list->room, sizeof(int));
    list->at[list->count++] = handle;
}

/* Takes a handle out of a list. */
static void
list_remove(struct route_list *list, int handle)
{
    int i;

    for (i = 0; i < list->count; i++) {
        if (list->at[i] == handle) {
            list->at[i] = list->at[--list->count];
            return;
        }
    }
}

/* Finds a domain by its name, or ROUTE_NONE. */
static int
find_domain(const struct route *r, const char *name)
{
    int i;

    for (i = 0; i < r->domains; i++) {
        if (strcmp(r->domain[i].name, name) == 0) {
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
    r->domain =
        Mem_Grow(r->domain, (size_t)(r->domains + 1) * sizeof(*r->domain));
    memset(&r->domain[r->domains], 0, sizeof(*r->domain));
    Str_Copy(r->domain[r->domains].name, NAME_SIZE, name);
    return r->domains++;
}

/* Finds an upstream by its name. */
int
Route_Find(const struct route *r, const char *name)
{
    int i;

    for (i = 0; i < r->count; i++) {
        if (strcmp(r->up[i].name, name) == 0) {
            return i;
        }
    }
    return ROUTE_NONE;
}

/* Looks a handle up; NULL when there is no such. */
static struct route_upstream *
upstream(const struct route *r, int handle)
{
    return handle >= 0 && handle < r->count ? &r->up[handle] : NULL;
}

/* The name behind a handle. */
const char *
Route_Name(const struct route *r, int handle)
{
    const struct route_upstream *u = upstream(r, handle);

    return u != NULL ? u->name : NULL;
}

/* Makes the record of a new name. Handles are never used again for another
 * name, so that a late result can't be booked to the wrong upstream. */
static int
add(struct route *r, const char *name)
{
    struct route_upstream *u;

    r->up = room_for_one(r->up, r->count, &r->room, sizeof(*r->up));
    u = &r->up[r->count];
    memset(u, 0, sizeof(*u));
    Str_Copy(u->name, NAME_SIZE, name);
    u->slowness = 1;
    return r->count++;
}

/* Takes an upstream off the lists, if it is there. */
static void
unlist(struct route *r, int handle)
{
    struct route_upstream *u = &r->up[handle];

    if (!u->known) {
        return;
    }
    list_remove(&r->all, handle);
    list_remove(&r->domain[u->domain].list, handle);
    r->others_sum -= u->others;
    u->others = 0;
    u->other_connections = 0;
    u->reported = false;
    if (u->health.state != HEALTH_GOOD) {
        r->out--;
    }
    u->health = (struct health){0};
    u->known = false;
}

/* Puts an upstream on the lists. */
static void
enlist(struct route *r, int handle)
{
    struct route_upstream *u = &r->up[handle];

    list_add(&r->all, handle);
    list_add(&r->domain[u->domain].list, handle);
    u->known = true;
}

/* Adds an upstream or changes its facts. */
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
        handle = add(r, facts->name);
    }
    domain = get_domain(r, facts->domain);
    u = &r->up[handle];
    if (u->known && u->domain != domain) {
        unlist(r, handle);
    }
    r->full = false;
    u->domain = domain;
    u->slots = facts->slots;
    u->connections = facts->connections;
    u->leaving = false;
    if (!u->known) {
        enlist(r, handle);
    }
    return handle;
}

/* Takes an upstream out of the choice for good, or until it comes back. */
void
Route_Remove(struct route *r, int handle)
{
    if (upstream(r, handle) != NULL) {
        unlist(r, handle);
    }
}

/* Takes an upstream that is leaving out of the choice. */
void
Route_Leaving(struct route *r, int handle)
{
    struct route_upstream *u = upstream(r, handle);

    if (u != NULL) {
        u->leaving = true;
    }
}

/* Takes in what an upstream says of its load. */
void
Route_Report(struct route *r, int handle, const struct route_report *report,
             int64_t now)
{
    struct route_upstream *u = upstream(r, handle);
    int others = report->busy - report->own;

    if (u == NULL || !u->known) {
        return;
    }
    r->full = false;
    others = others > 0 ? others : 0;
    r->others_sum += others - u->others;
    u->others = others;
    u->other_connections = report->connections - report->own;
    u->reported = true;
    u->reported_at = now - report->age_ms;
}

/* Slots of all that take work. */
int
Route_Slots(const struct route *r)
{
    int i, slots = 0;

    for (i = 0; i < r->all.count; i++) {
        const struct route_upstream *u = &r->up[r->all.at[i]];

        if (route_takes(u)) {
            slots += u->slots;
        }
    }
    return slots;
}

/* Handles given out so far. */
int
Route_Count(const struct route *r)
{
    return r->count;
}

/* Shows one upstream as it is seen now. */
void
Route_View(const struct route *r, int handle, int64_t now,
           struct route_view *out)
{
    const struct route_upstream *u = upstream(r, handle);

    *out = (struct route_view){0};
    if (u == NULL) {
        return;
    }
    out->name = u->name;
    out->domain = r->domain[u->domain].name;
    out->slots = u->slots;
    out->outstanding = u->own;
    out->load_milli = (int64_t)(route_load(r, u, now) * 1000);
    out->slowness_milli = (int64_t)(route_slowness(r, u, now) * 1000);
    out->known = u->known;
    out->leaving = u->leaving;
    out->health = u->health.state;
}
