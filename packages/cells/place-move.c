#include "cells-impl.h"

#include <string.h>

/* Whether a cell can move: it is idle, healthy, and neither used nor moved by
 * this candidate. */
static bool
may_move(const struct candidate *cand, const struct cell *cell)
{
    return cell->place.workers > 0 && cell->in_use == 0 &&
           cell->workers_down == 0 &&
           cand->mark[cell->index] == CELL_UNTOUCHED;
}

/* Finds an own idle cell of a shape that can move to a place with that many
 * accelerators, preferably one whose present place lent jobs occupy; or NULL.
 */
struct cell *
Cand_FindMovableCell(const struct candidate *cand, struct cells_shape shape,
                     int accelerators)
{
    struct cell *cell, *found = NULL;

    TAILQ_FOREACH (cell, &cand->org->cells, org_entry) {
        bool busy = false;

        if (!Shape_Same(cell->shape, shape) || !may_move(cand, cell) ||
            cell->size != accelerators) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            const struct worker *w = cand->c->worker[cell->place.worker[i]];

            busy = busy || (w->busy & Place_Mask(cand->c, &cell->place, i));
        }
        if (busy) {
            return cell;
        }
        found = cell;
    }
    return found;
}

/* Finds an unbound place of a shape around one accelerator, unless this
 * candidate already uses part of it. */
static bool
unbound_place(const struct candidate *cand, const struct worker *w, int bit,
              struct cells_shape shape, struct place *out)
{
    const struct node *n;
    uint64_t unbound = w->all & ~w->bound & ~cand->allowed[w->index];

    if (unbound == 0) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    if (shape.workers == 0) {
        out->mask = Block_Mask(bit / shape.accelerators * shape.accelerators,
                               shape.accelerators);
        out->workers = 1;
        out->worker[0] = w->index;
        return (out->mask & unbound) == out->mask;
    }
    if (unbound != w->all ||
        w->node->parent->unbound_workers < shape.workers) {
        return false;
    }
    out->worker[out->workers++] = w->index;
    TAILQ_FOREACH (n, &w->node->parent->children, sibling) {
        const struct worker *other = n->worker;

        if (out->workers < shape.workers && other != w && other->bound == 0 &&
            cand->allowed[other->index] == 0 &&
            other->state == CELLS_WORKER_UP) {
            out->worker[out->workers++] = other->index;
        }
    }
    return out->workers == shape.workers;
}

/* Finds the entry for own movable cells of a shape and size, or NULL. */
static struct movable_cells *
find_movable(struct candidate *cand, struct cells_shape shape, int size)
{
    for (int i = 0; i < cand->movable_kinds; i++) {
        if (cand->movable[i].size == size &&
            Shape_Same(cand->movable[i].shape, shape)) {
            return &cand->movable[i];
        }
    }
    return NULL;
}

/* Counts a cell in the entry of its shape and size; entries are sorted by
 * shape, the smallest first. */
static void
add_movable(struct candidate *cand, const struct cell *cell)
{
    struct movable_cells *movable =
        find_movable(cand, cell->shape, cell->size);
    int i = cand->movable_kinds;

    if (movable != NULL) {
        movable->count++;
        return;
    }
    if (cand->movable_kinds == OWN_SHAPES_MAX) {
        return;
    }
    cand->movable_kinds++;
    while (i > 0 &&
           Shape_Rank(cand->movable[i - 1].shape) > Shape_Rank(cell->shape)) {
        cand->movable[i] = cand->movable[i - 1];
        i--;
    }
    cand->movable[i] = (struct movable_cells){cell->shape, cell->size, 1};
}

/* Counts the own cells that can move, by shape and size. Searching for such a
 * cell again for each accelerator of each worker cost 32 million instructions
 * for one reclaim with 6,240 accelerators. */
void
Cand_CountMovable(struct candidate *cand)
{
    const struct cell *cell;

    TAILQ_FOREACH (cell, &cand->org->cells, org_entry) {
        if (may_move(cand, cell) &&
            Shape_Rank(cell->shape) <= cand->max_rank) {
            add_movable(cand, cell);
        }
    }
}

/* Marks a cell. If it could move until now, it no longer counts as movable. */
static void
mark_cell(struct candidate *cand, const struct cell *cell, enum cell_mark mark)
{
    struct movable_cells *movable =
        find_movable(cand, cell->shape, cell->size);

    if (movable != NULL && cell->org == cand->org && may_move(cand, cell)) {
        movable->count--;
    }
    cand->mark[cell->index] = (unsigned char)mark;
}

/* Finds the place that an own cell would have to move to so that it covers an
 * accelerator of another organisation or of none. Returns the entry of own
 * cells that can move there, or NULL. */
static struct movable_cells *
find_move_target(struct candidate *cand, const struct worker *w, int bit,
                 struct place *to)
{
    struct cell *bound_cell = w->slot[bit].cell;
    struct movable_cells *movable;

    if (bound_cell != NULL) {
        if (bound_cell->org == cand->org || !may_move(cand, bound_cell)) {
            return NULL;
        }
        movable = find_movable(cand, bound_cell->shape, bound_cell->size);
        *to = bound_cell->place;
        return movable != NULL && movable->count > 0 ? movable : NULL;
    }
    for (int i = 0; i < cand->movable_kinds; i++) {
        movable = &cand->movable[i];
        if (movable->count > 0 &&
            unbound_place(cand, w, bit, movable->shape, to) &&
            Place_Size(cand->c, to) == movable->size) {
            return movable;
        }
    }
    return NULL;
}

/* Mask of the accelerators of a worker that own cells could move to. */
uint64_t
Cand_MoveTargets(struct candidate *cand, const struct worker *w)
{
    uint64_t mask = 0;

    for (int i = 0; i < w->info.accelerators; i++) {
        struct place to;
        uint64_t bit = UINT64_C(1) << i;

        if (((mask | cand->allowed[w->index]) & bit) == 0 &&
            find_move_target(cand, w, i, &to) != NULL) {
            mask |= to.mask ? to.mask : w->all;
        }
    }
    return mask;
}

/* Updates the usable accelerators on all workers of a place. */
void
Cand_UpdatePlace(struct candidate *cand, const struct place *p)
{
    for (int i = 0; i < p->workers; i++) {
        Cand_UpdateUsable(cand, cand->c->worker[p->worker[i]]);
    }
}

/* Records that an own cell moves: its new place becomes usable and its old one
 * unusable. */
void
Cand_MoveCell(struct candidate *cand, struct cell *cell,
              const struct place *to, struct cell *partner)
{
    struct cells_move *m;

    cand->move = Mem_Grow(cand->move, sizeof(*cand->move) *
                                          (size_t)(cand->move_count + 1));
    m = &cand->move[cand->move_count++];
    memset(m, 0, sizeof(*m));
    m->cell = cell->index;
    m->partner = partner ? partner->index : CELLS_NONE;
    m->workers = to->workers;
    for (int i = 0; i < to->workers; i++) {
        m->worker[i] = to->worker[i];
        m->mask[i] = Place_Mask(cand->c, to, i);
        cand->allowed[to->worker[i]] |= m->mask[i];
    }
    for (int i = 0; i < cell->place.workers; i++) {
        cand->allowed[cell->place.worker[i]] &=
            ~Place_Mask(cand->c, &cell->place, i);
    }
    mark_cell(cand, cell, CELL_MOVED);
    if (partner != NULL) {
        mark_cell(cand, partner, CELL_MOVED);
    }
    Cand_UpdatePlace(cand, &cell->place);
    Cand_UpdatePlace(cand, to);
}

/* Marks the own cells of some accelerators as used, and moves own cells to
 * those accelerators that are not the organisation's. */
bool
Cand_UseCells(struct candidate *cand, struct worker *w, uint64_t mask)
{
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        int bit = __builtin_ctzll(m);
        struct cell *bound_cell = w->slot[bit].cell;
        const struct movable_cells *movable;
        struct place to;

        if ((cand->allowed[w->index] & (m & -m)) != 0) {
            if (bound_cell != NULL && bound_cell->org == cand->org &&
                cand->mark[bound_cell->index] == CELL_UNTOUCHED) {
                mark_cell(cand, bound_cell, CELL_USED);
            }
            continue;
        }
        movable = find_move_target(cand, w, bit, &to);
        if (movable == NULL) {
            return false;
        }
        Cand_MoveCell(
            cand, Cand_FindMovableCell(cand, movable->shape, movable->size),
            &to, bound_cell);
    }
    return true;
}
