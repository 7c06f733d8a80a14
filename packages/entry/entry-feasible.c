#include "entry.h"

#include "cells.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FULL_KEPT 16 /* shapes that a failure domain has no more room for */

/* A failure domain with an account of its own, as a scheduling owner has. */
struct site {
    const struct config_region *region;
    const struct config_domain *domain;
    struct cells *cells;
    struct cells_shape full[FULL_KEPT];
    int full_count;
};

/* A guarantee that is to be divided. */
struct claim {
    const struct config_organisation *organisation;
    const struct config_guarantee *guarantee;
    size_t order; /* in the document */
    char key[128];
    char name[NAME_SIZE]; /* of its own in the accounts */
    int left;             /* shapes that have no place yet */
    bool possible;        /* some domain can hold the shape by itself */
    const char *allowed;  /* what shapes a domain can hold that can't */
};

struct division {
    struct site *sites;
    size_t site_count;
    struct claim *claims;
    size_t claim_count;
    struct feasible_share *shares;
    size_t share_count;
};

/* Workers of a failure domain's largest rack. */
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

/* The cell that a shape is, and how many of them it takes. */
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

/* Adds a domain's workers to its account. */
static void
add_workers(struct site *site, const struct config_region *region)
{
    struct cells_worker_info info = {0};

    Str_Copy(info.region, sizeof(info.region), region->name);
    Str_Copy(info.domain, sizeof(info.domain), site->domain->name);
    for (size_t i = 0; i < site->domain->racks.count; i++) {
        const struct config_rack *r =
            CONFIG_AT(site->domain->racks, struct config_rack, i);

        Str_Copy(info.rack, sizeof(info.rack), r->name);
        for (size_t j = 0; j < r->workers.count; j++) {
            const struct config_worker *w =
                CONFIG_AT(r->workers, struct config_worker, j);

            Str_Copy(info.name, sizeof(info.name), w->name);
            info.accelerators = (int)w->accelerators;
            Cells_AddWorker(site->cells, &info);
        }
    }
}

/* Makes an account for each failure domain. */
static void
open_sites(struct division *v, const struct config *c)
{
    for (size_t i = 0; i < c->topology.regions.count; i++) {
        const struct config_region *r =
            CONFIG_AT(c->topology.regions, struct config_region, i);

        v->sites =
            Mem_Grow(v->sites, (v->site_count + r->failure_domains.count + 1) *
                                   sizeof(*v->sites));
        for (size_t j = 0; j < r->failure_domains.count; j++) {
            struct site *site = &v->sites[v->site_count++];

            *site = (struct site){.region = r};
            site->domain =
                CONFIG_AT(r->failure_domains, struct config_domain, j);
            site->cells = Cells_New();
            add_workers(site, r);
        }
    }
}

/* Lists the guarantees in the document's order. */
static void
list_claims(struct division *v, const struct config *c)
{
    for (size_t i = 0; i < c->organisations.count; i++) {
        const struct config_organisation *o =
            CONFIG_AT(c->organisations, struct config_organisation, i);

        v->claims =
            Mem_Grow(v->claims, (v->claim_count + o->guarantees.count + 1) *
                                    sizeof(*v->claims));
        for (size_t j = 0; j < o->guarantees.count; j++) {
            struct claim *m = &v->claims[v->claim_count];

            *m = (struct claim){.organisation = o, .order = v->claim_count++};
            m->guarantee =
                CONFIG_AT(o->guarantees, struct config_guarantee, j);
            m->left = (int)m->guarantee->count;
            snprintf(m->key, sizeof(m->key),
                     "organisations[%zu].guarantees[%zu]", i, j);
            snprintf(m->name, sizeof(m->name), "g%zu", m->order);
        }
    }
}

/* Those that name their failure domain first: they have no other, and as an
 * account packs anew each time, they leave the others all the room there is.
 * Then the largest shapes first, then in the document's order. */
static int
compare_claims(const void *a, const void *b)
{
    const struct claim *x = a, *y = b;
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

/* True when one cell of that shape was too many before. An account only ever
 * gets more cells, so it need not be asked again: with 87 organisations that
 * hold the same few shapes, that is nearly every question. */
static bool
is_full(const struct site *site, struct cells_shape shape)
{
    for (int i = 0; i < site->full_count; i++) {
        if (site->full[i].workers == shape.workers &&
            site->full[i].accelerators == shape.accelerators) {
            return true;
        }
    }
    return false;
}

/* True when an account can hold that many cells beside what it holds. */
static bool
holds(struct site *site, const char *name, struct cells_shape shape, int cells)
{
    struct cells_feasibility report;

    return Cells_SetGuarantee(site->cells, name, shape, cells) == ERR_OK &&
           Cells_CheckGuarantees(site->cells, &report) == ERR_OK;
}

/* Puts as many shapes of a guarantee as fit into one failure domain, by
 * halving: the account tells whether a number fits, not how many do. */
static void
fill_site(struct division *v, struct site *site, struct claim *m)
{
    struct cells_shape shape;
    int each = Feasible_Shape(site->domain, &m->guarantee->shape, &shape,
                              &m->allowed);
    int fits = 0, step;

    if (each == 0) {
        return;
    }
    m->possible = true;
    if (is_full(site, shape)) {
        return;
    }
    for (step = m->left; step > 0; step = step > 1 ? (step + 1) / 2 : 0) {
        if (fits + step <= m->left &&
            holds(site, m->name, shape, (fits + step) * each)) {
            fits += step;
        }
    }
    Cells_SetGuarantee(site->cells, m->name, shape, fits * each);
    if (fits < m->left && each == 1 && site->full_count < FULL_KEPT) {
        site->full[site->full_count++] = shape;
    }
    if (fits == 0) {
        return;
    }
    m->left -= fits;
    v->shares = Mem_Grow(v->shares, (v->share_count + 1) * sizeof(*v->shares));
    v->shares[v->share_count++] = (struct feasible_share){
        .organisation = m->organisation,
        .guarantee = m->guarantee,
        .region = site->region,
        .domain = site->domain,
        .workers = shape.workers,
        .accelerators = shape.accelerators,
        .cells = fits * each,
    };
}

/* Divides one guarantee over the failure domains that it may lie in. */
static void
divide(struct division *v, struct claim *m, struct conf_errors *errors)
{
    const struct config_guarantee *g = m->guarantee;
    bool pinned = *g->failure_domain != '\0';

    for (size_t i = 0; i < v->site_count && m->left > 0; i++) {
        struct site *site = &v->sites[i];

        if (!pinned || strcmp(site->domain->name, g->failure_domain) == 0) {
            fill_site(v, site, m);
        }
    }
    if (m->left == 0) {
        return;
    }
    if (!m->possible) {
        Conf_Add(errors, g->line, m->key, m->allowed,
                 "'%s' can't be guaranteed", g->shape_text);
        return;
    }
    Conf_Add(errors, g->line, m->key, "guarantees that can all be met at once",
             "%d of %lld '%s' find no place in %s beside the others", m->left,
             (long long)g->count, g->shape_text,
             pinned ? g->failure_domain : "any failure domain");
}

/* Divides all guarantees over the failure domains. */
struct feasible_share *
Feasible_Divide(const struct config *c, size_t *count,
                struct conf_errors *errors)
{
    struct division v = {0};

    open_sites(&v, c);
    list_claims(&v, c);
    if (v.claim_count > 0) {
        qsort(v.claims, v.claim_count, sizeof(*v.claims), compare_claims);
    }
    for (size_t i = 0; i < v.claim_count; i++) {
        divide(&v, &v.claims[i], errors);
    }
    for (size_t i = 0; i < v.site_count; i++) {
        Cells_Free(v.sites[i].cells);
    }
    free(v.sites);
    free(v.claims);
    *count = v.share_count;
    return v.shares;
}

/* The check that a document passes last. */
void
Feasible_Check(const struct config *c, struct conf_errors *errors)
{
    size_t count;

    free(Feasible_Divide(c, &count, errors));
}
