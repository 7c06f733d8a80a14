#include "config-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A first check of guarantees by counts. It refuses only what no placement
 * could satisfy: what larger shapes take is counted by the smallest
 * racks and workers they could be given. What passes may still be infeasible;
 * the exact check is plugged in by Config_SetCheck.
 */

/* What a failure domain, or all of them together, has. Item i of an array is
 * the sum of the i + 1 smallest, so that a check of one guarantee more
 * does not go over all workers again. */
struct capacity {
    const char *name; /* of the failure domain, or NULL for all */
    int64_t accelerators;
    int64_t largest_worker; /* accelerators of it */
    int64_t *worker_accelerators;
    int64_t *rack_accelerators;
    int64_t *rack_workers;
    size_t workers;
    size_t racks;
    int64_t need[SHAPE_RACKS + 1]; /* summed so far, by kind */
    bool reported;
};

/* The supplies: all together at first, then each failure domain. */
struct capacities {
    struct capacity *at;
    size_t count;
};

/* Frees supplies when their scope ends. */
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

/* Adds a number at the end of an array. */
static void
append(int64_t **array, size_t count, int64_t value)
{
    *array = Mem_Grow(*array, (count + 1) * sizeof(**array));
    (*array)[count] = value;
}

/* Adds a rack and its workers. */
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

/* Adds all racks of a failure domain. */
static void
add_domain(struct capacity *s, const struct config_domain *d)
{
    for (size_t i = 0; i < d->racks.count; i++) {
        add_rack(s, CONFIG_AT(d->racks, struct config_rack, i));
    }
}

/* Order of numbers. */
static int
compare_numbers(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Sorts an array, which may be empty, and sums it up from the smallest. */
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

/* Counts the topology. */
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

/* Sum of the n smallest numbers, or of all when there are fewer. */
static int64_t
sum_of_smallest(const int64_t *sums, size_t count, int64_t n)
{
    if (n == 0 || count == 0) {
        return 0;
    }
    return sums[n < (int64_t)count ? (size_t)n - 1 : count - 1];
}

/* True when one shape of this kind and size has room in a failure domain that
 * is empty. */
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

/* What a supply is short of for the needs summed so far; NULL: nothing. */
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

/* Adds a guarantee to a supply's needs and reports the one that goes beyond
 * what there is. */
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

/* Checks one guarantee by itself; false when no failure domain has room. */
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

/* Adds one guarantee to all supplies that it draws on. */
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

/* Goes over all guarantees in the document's order. */
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
