#include "entry.h"

#include "cells.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limit of the shapes recorded per failure domain as having no more room. */
#define NO_ROOM_MAX 16

/* A failure domain with a struct cells of its own, as the scheduling owner
 * has. */
struct domain_cells {
    const struct config_region *region;
    const struct config_domain *domain;
    struct cells *cells;
    struct cells_shape no_room[NO_ROOM_MAX];
    int no_room_count;
};

/* A guarantee that is to be divided over failure domains. */
struct demand {
    const struct config_organisation *organisation;
    const struct config_guarantee *guarantee;
    size_t order; /* in the document */
    char key[128];
    char name[NAME_SIZE]; /* as an organisation in struct cells */
    int left;             /* shapes that are not placed yet */
    bool possible;        /* some domain, if empty, can hold the shape */
    const char *allowed;  /* text: which shapes are possible */
};

/* The state of dividing all guarantees of a document. */
struct division {
    struct domain_cells *domains;
    size_t domain_count;
    struct demand *demands;
    size_t demand_count;
    struct feasible_share *shares;
    size_t share_count;
};

/* Number of workers in the largest rack of a failure domain. */
static int
largest_rack(const struct config_domain *d)
{
    size_t most = 0;

    for (size_t i = 0; i < d->racks.count; i++) {
        const struct config_rack *r =
            CONFIG_AT(d->racks, struct config_rack, i);

        if (r->workers.count > most) {
            most = r->workers.count;
        }
    }
    return (int)most;
}

/* Converts a shape of the document to cells: sets the shape of one cell and
 * returns how many cells the shape takes, 0 if it is impossible here. */
int
Feasible_Shape(const struct config_domain *d, const struct shape *shape,
               struct cells_shape *out, const char **allowed)
{
    int rack = largest_rack(d);

    *out = (struct cells_shape){0};
    if (shape->kind == SHAPE_ACCELERATORS) {
        if (shape->size > CELLS_ACCELERATORS_MAX ||
            (shape->size & (shape->size - 1)) != 0) {
            *allowed = "accelerators: 1, 2, 4, 8, 16, 32 or 64";
            return 0;
        }
        out->accelerators = (int)shape->size;
        return 1;
    }
    if (shape->kind == SHAPE_WORKERS) {
        if (shape->size > rack || shape->size > CELLS_RACK_MAX) {
            *allowed = "as many workers as one rack has, at most 16";
            return 0;
        }
        out->workers = (int)shape->size;
        return 1;
    }
    if (rack == 0 || rack > CELLS_RACK_MAX) {
        *allowed = "racks of at most 16 workers";
        return 0;
    }
    out->workers = rack;
    return (int)shape->size;
}

/* Adds the workers of a failure domain to its struct cells. */
static void
add_workers(struct domain_cells *dc, const struct config_region *region)
{
    struct cells_worker_info info = {0};

    Str_Copy(info.region, sizeof(info.region), region->name);
    Str_Copy(info.domain, sizeof(info.domain), dc->domain->name);
    for (size_t i = 0; i < dc->domain->racks.count; i++) {
        const struct config_rack *r =
            CONFIG_AT(dc->domain->racks, struct config_rack, i);

        Str_Copy(info.rack, sizeof(info.rack), r->name);
        for (size_t j = 0; j < r->workers.count; j++) {
            const struct config_worker *w =
                CONFIG_AT(r->workers, struct config_worker, j);

            Str_Copy(info.name, sizeof(info.name), w->name);
            info.accelerators = (int)w->accelerators;
            Cells_AddWorker(dc->cells, &info);
        }
    }
}

/* Creates a struct cells for each failure domain. */
static void
build_domains(struct division *division, const struct config *c)
{
    for (size_t i = 0; i < c->topology.regions.count; i++) {
        const struct config_region *r =
            CONFIG_AT(c->topology.regions, struct config_region, i);

        division->domains =
            Mem_Grow(division->domains,
                     (division->domain_count + r->failure_domains.count + 1) *
                         sizeof(*division->domains));
        for (size_t j = 0; j < r->failure_domains.count; j++) {
            struct domain_cells *dc =
                &division->domains[division->domain_count++];

            *dc = (struct domain_cells){.region = r};
            dc->domain =
                CONFIG_AT(r->failure_domains, struct config_domain, j);
            dc->cells = Cells_New();
            add_workers(dc, r);
        }
    }
}

/* Lists all guarantees in the order of the document. */
static void
list_demands(struct division *division, const struct config *c)
{
    for (size_t i = 0; i < c->organisations.count; i++) {
        const struct config_organisation *o =
            CONFIG_AT(c->organisations, struct config_organisation, i);

        division->demands =
            Mem_Grow(division->demands,
                     (division->demand_count + o->guarantees.count + 1) *
                         sizeof(*division->demands));
        for (size_t j = 0; j < o->guarantees.count; j++) {
            struct demand *demand = &division->demands[division->demand_count];

            *demand = (struct demand){.organisation = o,
                                      .order = division->demand_count++};
            demand->guarantee =
                CONFIG_AT(o->guarantees, struct config_guarantee, j);
            demand->left = (int)demand->guarantee->count;
            snprintf(demand->key, sizeof(demand->key),
                     "organisations[%zu].guarantees[%zu]", i, j);
            snprintf(demand->name, sizeof(demand->name), "g%zu",
                     demand->order);
        }
    }
}

/* Orders guarantees. Those that name a failure domain come first, as they fit
 * nowhere else; they waste no room for the others, as Cells_CheckGuarantees
 * packs all guarantees from scratch each time. Then the largest shapes come
 * first, then the order of the document decides. */
static int
compare_demands(const void *a, const void *b)
{
    const struct demand *x = a, *y = b;
    const struct shape *s = &x->guarantee->shape, *t = &y->guarantee->shape;
    bool free_x = *x->guarantee->failure_domain == '\0';
    bool free_y = *y->guarantee->failure_domain == '\0';

    if (free_x != free_y) {
        return free_x ? 1 : -1;
    }
    if (s->kind != t->kind) {
        return s->kind > t->kind ? -1 : 1;
    }
    if (s->size != t->size) {
        return s->size > t->size ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

/* True when an earlier check found no room for one more cell of that shape.
 * Cells are only added to a domain, so the check need not be repeated: with 87
 * organisations that share a few shapes, this saves nearly all checks. */
static bool
has_no_room(const struct domain_cells *dc, struct cells_shape shape)
{
    for (int i = 0; i < dc->no_room_count; i++) {
        if (dc->no_room[i].workers == shape.workers &&
            dc->no_room[i].accelerators == shape.accelerators) {
            return true;
        }
    }
    return false;
}

/* Sets the guarantee to that many cells. Returns true if the domain can hold
 * them beside all other guarantees that were placed in it. */
static bool
fits_all(struct domain_cells *dc, const char *name, struct cells_shape shape,
         int cells)
{
    struct cells_feasibility report;

    return Cells_SetGuarantee(dc->cells, name, shape, cells) == ERR_OK &&
           Cells_CheckGuarantees(dc->cells, &report) == ERR_OK;
}

/* Places as many shapes of a guarantee as fit into one failure domain. It
 * finds their number by binary search, as Cells_CheckGuarantees only returns
 * whether a given number fits. */
static void
fill_domain(struct division *division, struct domain_cells *dc,
            struct demand *demand)
{
    struct cells_shape shape;
    int each = Feasible_Shape(dc->domain, &demand->guarantee->shape, &shape,
                              &demand->allowed);
    int fits = 0, step;

    if (each == 0) {
        return;
    }
    demand->possible = true;
    if (has_no_room(dc, shape)) {
        return;
    }
    for (step = demand->left; step > 0; step = step > 1 ? (step + 1) / 2 : 0) {
        if (fits + step <= demand->left &&
            fits_all(dc, demand->name, shape, (fits + step) * each)) {
            fits += step;
        }
    }
    Cells_SetGuarantee(dc->cells, demand->name, shape, fits * each);
    if (fits < demand->left && each == 1 && dc->no_room_count < NO_ROOM_MAX) {
        dc->no_room[dc->no_room_count++] = shape;
    }
    if (fits == 0) {
        return;
    }
    demand->left -= fits;
    division->shares =
        Mem_Grow(division->shares,
                 (division->share_count + 1) * sizeof(*division->shares));
    division->shares[division->share_count++] = (struct feasible_share){
        .organisation = demand->organisation,
        .guarantee = demand->guarantee,
        .region = dc->region,
        .domain = dc->domain,
        .workers = shape.workers,
        .accelerators = shape.accelerators,
        .cells = fits * each,
    };
}

/* Divides one guarantee over the failure domains that may hold it. */
static void
divide_demand(struct division *division, struct demand *demand,
              struct conf_errors *errors)
{
    const struct config_guarantee *g = demand->guarantee;
    bool pinned = *g->failure_domain != '\0';

    for (size_t i = 0; i < division->domain_count && demand->left > 0; i++) {
        struct domain_cells *dc = &division->domains[i];

        if (!pinned || strcmp(dc->domain->name, g->failure_domain) == 0) {
            fill_domain(division, dc, demand);
        }
    }
    if (demand->left == 0) {
        return;
    }
    if (!demand->possible) {
        Conf_Add(errors, g->line, demand->key, demand->allowed,
                 "'%s' can't be guaranteed", g->shape_text);
        return;
    }
    Conf_Add(errors, g->line, demand->key,
             "guarantees that can all be met at once",
             "%d of %lld '%s' find no place in %s beside the others",
             demand->left, (long long)g->count, g->shape_text,
             pinned ? g->failure_domain : "any failure domain");
}

/* Divides all guarantees over the failure domains, in a fixed order. */
struct feasible_share *
Feasible_Divide(const struct config *c, size_t *count,
                struct conf_errors *errors)
{
    struct division division = {0};

    build_domains(&division, c);
    list_demands(&division, c);
    if (division.demand_count > 0) {
        qsort(division.demands, division.demand_count,
              sizeof(*division.demands), compare_demands);
    }
    for (size_t i = 0; i < division.demand_count; i++) {
        divide_demand(&division, &division.demands[i], errors);
    }
    for (size_t i = 0; i < division.domain_count; i++) {
        Cells_Free(division.domains[i].cells);
    }
    free(division.domains);
    free(division.demands);
    *count = division.share_count;
    return division.shares;
}

/* Checks that all guarantees of a document can be met at once, as its last
 * check. */
void
Feasible_Check(const struct config *c, struct conf_errors *errors)
{
    size_t count;

    free(Feasible_Divide(c, &count, errors));
}
