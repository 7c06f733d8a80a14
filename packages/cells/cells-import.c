#include "cells-impl.h"

#include <string.h>

/* State of one import: the masks bound so far, the cell for each binding, and
 * whether a cell already has a binding. */
struct import {
    struct cells *c;
    uint64_t *bound;
    struct cell **cell;
    bool *matched;
};

/* Whether a mask is an aligned block of n accelerators of a worker. */
static bool
block_valid(const struct worker *w, int n, uint64_t mask)
{
    int first = mask ? __builtin_ctzll(mask) : 0;

    return first % n == 0 && mask == Block_Mask(first, n) &&
           (mask & w->all) == mask;
}

/* Turns a stored binding into a place; false if it is not a place of its
 * shape. */
static bool
to_place(const struct cells *c, const struct cells_binding *b,
         struct place *out)
{
    const struct worker *first = Topo_Worker(c, b->worker[0]);

    memset(out, 0, sizeof(*out));
    if (!Shape_Valid(b->shape) || first == NULL) {
        return false;
    }
    out->workers = b->workers;
    out->worker[0] = b->worker[0];
    if (b->shape.workers == 0) {
        out->mask = b->mask[0];
        return b->workers == 1 &&
               block_valid(first, b->shape.accelerators, b->mask[0]);
    }
    if (b->workers != b->shape.workers) {
        return false;
    }
    for (int i = 0; i < b->workers; i++) {
        const struct worker *w = Topo_Worker(c, b->worker[i]);

        if (w == NULL || w->node->parent != first->node->parent ||
            b->mask[i] != w->all) {
            return false;
        }
        out->worker[i] = b->worker[i];
    }
    return true;
}

/* Whether two places are the same. */
static bool
same_place(const struct place *a, const struct place *b)
{
    return a->workers == b->workers && a->mask == b->mask &&
           memcmp(a->worker, b->worker,
                  sizeof(a->worker[0]) * (size_t)a->workers) == 0;
}

/* Finds the cell for a binding: the one in use at that place, else any idle
 * one without an earlier binding; NULL if there is none. */
static struct cell *
find_cell(const struct import *im, const struct cells_binding *b,
          const struct place *p)
{
    struct org *org = Org_Find(im->c, b->organisation);
    struct cell *cell, *idle = NULL;

    if (org == NULL) {
        return NULL;
    }
    TAILQ_FOREACH (cell, &org->cells, org_entry) {
        if (!Shape_Same(cell->shape, b->shape) || im->matched[cell->index]) {
            continue;
        }
        if (cell->in_use > 0 && same_place(&cell->place, p)) {
            return cell;
        }
        if (cell->in_use == 0 && idle == NULL) {
            idle = cell;
        }
    }
    return idle;
}

/* Marks a place as bound; false if part of it already is. */
static bool
mark_bound(const struct import *im, const struct place *p)
{
    for (int i = 0; i < p->workers; i++) {
        uint64_t mask = Place_Mask(im->c, p, i);

        if ((im->bound[p->worker[i]] & mask) != 0) {
            return false;
        }
        im->bound[p->worker[i]] |= mask;
    }
    return true;
}

/* Checks all bindings without changing the state. */
static int
check_import(const struct import *im, const struct cells_binding *b, int n,
             struct place *place)
{
    for (int i = 0; i < im->c->cells; i++) {
        const struct cell *cell = im->c->cell[i];

        if (cell->in_use > 0) {
            mark_bound(im, &cell->place);
        }
    }
    for (int i = 0; i < n; i++) {
        if (b[i].workers == 0) {
            continue;
        }
        if (b[i].workers < 0 || b[i].workers > CELLS_RACK_MAX) {
            return ERR_INVALID;
        }
        if (!to_place(im->c, &b[i], &place[i])) {
            return ERR_CONFLICT;
        }
        im->cell[i] = find_cell(im, &b[i], &place[i]);
        if (im->cell[i] == NULL) {
            return ERR_CONFLICT;
        }
        im->matched[im->cell[i]->index] = true;
        if (im->cell[i]->in_use == 0 && !mark_bound(im, &place[i])) {
            return ERR_CONFLICT;
        }
    }
    return ERR_OK;
}

/* Takes over stored bindings, all or none. Does not rebind cells on failed
 * workers yet: such a cell may be in use by a job that is still to be adopted,
 * and that job would lose its guarantee if the cell moved. */
int
Cells_ImportBindings(struct cells *c, const struct cells_binding *binding,
                     int n, uint64_t version)
{
    struct place *place CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)n, sizeof(struct place));
    uint64_t *bound CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)c->workers, sizeof(uint64_t));
    struct cell **cell CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)n, sizeof(struct cell *));
    bool *matched CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)c->cells, sizeof(bool));
    struct import im = {c, bound, cell, matched};
    int err = check_import(&im, binding, n, place);

    if (err != ERR_OK) {
        return err;
    }
    for (int i = 0; i < c->cells; i++) {
        if (c->cell[i]->in_use == 0) {
            Bind_Clear(c, c->cell[i]);
        }
    }
    for (int i = 0; i < n; i++) {
        if (cell[i] != NULL && cell[i]->in_use == 0) {
            Bind_Set(c, cell[i], &place[i]);
        }
    }
    c->binding_version = version;
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] != NULL) {
            c->worker[i]->binding_version = version;
        }
    }
    return ERR_OK;
}
