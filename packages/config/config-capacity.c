#include "config-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A first check of guarantees by counts. It refuses only guarantees that no
 * placement can satisfy: it assumes that guaranteed racks and workers are the
 * smallest ones available. Guarantees that pass may still be infeasible; the
 * exact check is set with Config_SetCheck.
 */

/* Capacity of a failure domain, or of the whole topology, and the needs of the
 * guarantees checked so far. Item i of an array is the sum of the i + 1
 * smallest numbers, so that checking another guarantee does not iterate over
 * all workers again. */
struct capacity {
    const char *name; /* of the failure domain, or NULL for all */
    int64_t accelerators;
    int64_t largest_worker; /* its number of accelerators */
    int64_t *worker_accelerators;
    int64_t *rack_accelerators;
    int64_t *rack_workers;
    size_t workers;
    size_t racks;
    int64_t need[SHAPE_RACKS + 1]; /* sums by enum shape_kind */
    bool reported;                 /* a shortage; at most one is */
};

/* Item 0 is the whole topology, the others are its failure domains. */
struct capacities {
    struct capacity *at;
    size_t count;
};

/* Frees capacities when their scope ends. */
static void
free_capacities(struct capacities *s)
{
    for (size_t i = 0; i < s->count; i++) {
        free(s->at[i].worker_accelerators);
        free(s->at[i].rack_accelerators);
        free(s->at[i].rack_workers);
    }
    free(s->at);
}

/* Appends a number to an array. */
static void
append(int64_t **array, size_t count, int64_t value)
{
    *array = Mem_Grow(*array, (count + 1) * sizeof(**array));
    (*array)[count] = value;
}

/* Adds the capacity of a rack and its workers. */
static void
add_rack(struct capacity *s, const struct config_rack *r)
{
    const struct config_worker *w;
    int64_t sum = 0;

    for (size_t i = 0; i < r->workers.count; i++) {
        w = CONFIG_AT(r->workers, struct config_worker, i);
        append(&s->worker_accelerators, s->workers++, w->accelerators);
        sum += w->accelerators;
        if (w->accelerators > s->largest_worker) {
            s->largest_worker = w->accelerators;
        }
    }
    append(&s->rack_accelerators, s->racks, sum);
    append(&s->rack_workers, s->racks++, (int64_t)r->workers.count);
    s->accelerators += sum;
}

/* Adds the capacity of all racks of a failure domain. */
static void
add_domain(struct capacity *s, const struct config_domain *d)
{
    for (size_t i = 0; i < d->racks.count; i++) {
        add_rack(s, CONFIG_AT(d->racks, struct config_rack, i));
    }
}

/* Compares two numbers, for qsort. */
static int
compare_numbers(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Sorts an array and replaces each number by the sum up to it. */
static void
sum_up(int64_t *array, size_t count)
{
    if (count == 0) {
        return;
    }
    qsort(array, count, sizeof(*array), compare_numbers);
    for (size_t i = 1; i < count; i++) {
        array[i] += array[i - 1];
    }
}

/* Collects the capacities of the topology. */
static void
collect_capacities(const struct config *c, struct capacities *s)
{
    const struct config_region *r;
    const struct config_domain *d;

    s->at = Mem_Zero(1, sizeof(*s->at));
    s->count = 1;
    for (size_t i = 0; i < c->topology.regions.count; i++) {
        r = CONFIG_AT(c->topology.regions, struct config_region, i);
        for (size_t j = 0; j < r->failure_domains.count; j++) {
            d = CONFIG_AT(r->failure_domains, struct config_domain, j);
            s->at = Mem_Grow(s->at, (s->count + 1) * sizeof(*s->at));
            memset(&s->at[s->count], 0, sizeof(*s->at));
            s->at[s->count].name = d->name;
            add_domain(&s->at[0], d);
            add_domain(&s->at[s->count++], d);
        }
    }
    for (size_t i = 0; i < s->count; i++) {
        sum_up(s->at[i].worker_accelerators, s->at[i].workers);
        sum_up(s->at[i].rack_accelerators, s->at[i].racks);
        sum_up(s->at[i].rack_workers, s->at[i].racks);
    }
}

/* Returns the sum of the n smallest numbers, or of all if there are fewer. */
static int64_t
sum_of_smallest(const int64_t *sums, size_t count, int64_t n)
{
    if (n == 0 || count == 0) {
        return 0;
    }
    return sums[n < (int64_t)count ? (size_t)n - 1 : count - 1];
}

/* True when one such shape fits into the failure domain while it is empty. */
static bool
fits_empty(const struct capacity *s, const struct shape *shape)
{
    switch (shape->kind) {
    case SHAPE_ACCELERATORS:
        return s->largest_worker >= shape->size;
    case SHAPE_WORKERS:
        return (int64_t)s->workers >= shape->size;
    default:
        return (int64_t)s->racks >= shape->size;
    }
}

/* Names the resource that is too small for the needs summed so far; NULL: none
 * is. */
static const char *
shortage(const struct capacity *s, int64_t *need, int64_t *have)
{
    int64_t racks = s->need[SHAPE_RACKS];
    int64_t workers = s->need[SHAPE_WORKERS];

    *need = racks;
    *have = (int64_t)s->racks;
    if (*need > *have) {
        return "racks";
    }
    *need = workers + sum_of_smallest(s->rack_workers, s->racks, racks);
    *have = (int64_t)s->workers;
    if (*need > *have) {
        return "workers";
    }
    *need = s->need[SHAPE_ACCELERATORS] +
            sum_of_smallest(s->worker_accelerators, s->workers, workers) +
            sum_of_smallest(s->rack_accelerators, s->racks, racks);
    *have = s->accelerators;
    return *need > *have ? "accelerators" : NULL;
}

/* Adds a guarantee to the needs, and reports the first one that exceeds the
 * capacity. */
static void
add_need(struct capacity *s, const struct config_guarantee *g, const char *key,
         struct conf_errors *errors)
{
    int64_t need, have;
    const char *what;

    s->need[g->shape.kind] += g->shape.size * g->count;
    what = s->reported ? NULL : shortage(s, &need, &have);
    if (what == NULL) {
        return;
    }
    s->reported = true;
    Conf_Add(errors, g->line, key, "guarantees that can all be met at once",
             "guarantees up to here need %lld %s %s%s, there are %lld",
             (long long)need, what, s->name != NULL ? "in " : "in all",
             s->name != NULL ? s->name : "", (long long)have);
}

/* Checks that a shape fits into an empty failure domain that its guarantee
 * allows, and reports it otherwise. */
static bool
check_shape(const struct capacities *s, const struct config_guarantee *g,
            const char *key, struct conf_errors *errors)
{
    bool pinned = *g->failure_domain != '\0';

    for (size_t i = 1; i < s->count; i++) {
        if ((!pinned || strcmp(s->at[i].name, g->failure_domain) == 0) &&
            fits_empty(&s->at[i], &g->shape)) {
            return true;
        }
    }
    Conf_Add(errors, g->line, key,
             "a shape that one failure domain has room for",
             "'%s' has no room in %s", g->shape_text,
             pinned ? g->failure_domain : "any failure domain");
    return false;
}

/* Checks one guarantee against the topology and, if it names one, its failure
 * domain. */
static void
check_guarantee(struct capacities *s, const struct config_guarantee *g,
                const char *key, struct conf_errors *errors)
{
    if (!check_shape(s, g, key, errors)) {
        return;
    }
    for (size_t i = 0; i < s->count; i++) {
        if (i == 0 || strcmp(s->at[i].name, g->failure_domain) == 0) {
            add_need(&s->at[i], g, key, errors);
        }
    }
}

/* Checks all guarantees in the document's order. */
void
config_check_capacity(const struct config *c, struct conf_errors *errors)
{
    struct capacities s CLEANUP(free_capacities) = {0};
    const struct config_organisation *o;
    char key[128];

    collect_capacities(c, &s);
    for (size_t i = 0; i < c->organisations.count; i++) {
        o = CONFIG_AT(c->organisations, struct config_organisation, i);
        for (size_t j = 0; j < o->guarantees.count; j++) {
            snprintf(key, sizeof(key), "organisations[%zu].guarantees[%zu]", i,
                     j);
            check_guarantee(
                &s, CONFIG_AT(o->guarantees, struct config_guarantee, j), key,
                errors);
        }
    }
}
