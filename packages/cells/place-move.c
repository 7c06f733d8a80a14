#include "cells-impl.h"

#include <string.h>

/* Whether a cell could change places with another one of its shape: idle,
 * healthy, and untouched by this way. */
static bool
may_exchange(const struct way *w, const struct cell *cell)
{
    return cell->place.workers > 0 && cell->held == 0 && cell->down == 0 &&
           w->mark[cell->index] == WAY_UNTOUCHED;
}

/* Accelerators of all workers of a place, to tell places apart that have
 * the same shape on workers of different size. */
int
Place_Size(const struct cells *c, const struct place *p)
{
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        n += __builtin_popcountll(Place_Mask(c, p, i));
    }
    return n;
}

/* An own idle cell of the shape that could move to a place of that many
 * accelerators; one whose present place is occupied by lent work first. */
struct cell *
Way_Mover(const struct way *w, struct cells_shape shape, int accelerators)
{
    struct cell *cell, *found = NULL;

    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        bool busy = false;

        if (!Shape_Same(cell->shape, shape) || !may_exchange(w, cell) ||
            Place_Size(w->c, &cell->place) != accelerators) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            const struct worker *at = w->c->worker[cell->place.worker[i]];

            busy = busy || (at->busy & Place_Mask(w->c, &cell->place, i));
        }
        if (busy) {
            return cell;
        }
        found = cell;
    }
    return found;
}

/* The unbound place of a shape around one accelerator, untouched by this
 * way. */
static bool
unbound_place(const struct way *w, const struct worker *at, int bit,
              struct cells_shape shape, struct place *out)
{
    const struct node *n;
    uint64_t open = at->all & ~at->bound & ~w->open[at->index];

    memset(out, 0, sizeof(*out));
    if (shape.workers == 0) {
        out->mask = Block_Mask(bit / shape.accelerators * shape.accelerators,
                               shape.accelerators);
        out->workers = 1;
        out->worker[0] = at->index;
        return (out->mask & open) == out->mask;
    }
    if (open != at->all || at->node->parent->unbound < shape.workers) {
        return false;
    }
    out->worker[out->workers++] = at->index;
    TAILQ_FOREACH (n, &at->node->parent->children, sibling) {
        const struct worker *other = n->worker;

        if (out->workers < shape.workers && other != at && other->bound == 0 &&
            w->open[other->index] == 0 && other->state == CELLS_WORKER_UP) {
            out->worker[out->workers++] = other->index;
        }
    }
    return out->workers == shape.workers;
}

/* The place that an own cell would move to in order to cover one accelerator
 * that is not its organisation's; the cell, or NULL when none can. */
static struct cell *
find_move(const struct way *w, const struct worker *at, int bit,
          struct place *to)
{
    struct cell *there = at->slot[bit].cell, *cell, *best = NULL;

    if (there != NULL) {
        if (there->org == w->org || !may_exchange(w, there) ||
            Shape_Size(there->shape) > w->limit) {
            return NULL;
        }
        *to = there->place;
        return Way_Mover(w, there->shape, Place_Size(w->c, to));
    }
    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        struct place p;

        if (!may_exchange(w, cell) || Shape_Size(cell->shape) > w->limit ||
            (best && Shape_Size(cell->shape) >= Shape_Size(best->shape)) ||
            !unbound_place(w, at, bit, cell->shape, &p)) {
            continue;
        }
        best = Way_Mover(w, cell->shape, Place_Size(w->c, &p));
        *to = p;
    }
    return best;
}

/* Accelerators of a worker that own cells could move to. */
uint64_t
Way_Movable(const struct way *w, const struct worker *at)
{
    uint64_t mask = 0;

    for (int i = 0; i < at->info.accelerators; i++) {
        struct place to;
        uint64_t bit = UINT64_C(1) << i;

        if ((mask & bit) != 0 || (w->open[at->index] & bit) != 0) {
            continue;
        }
        if (find_move(w, at, i, &to) != NULL) {
            mask |= to.mask ? to.mask : at->all;
        }
    }
    return mask;
}

/* Refreshes all workers of a place. */
void
Way_RefreshPlace(struct way *w, const struct place *p)
{
    for (int i = 0; i < p->workers; i++) {
        Way_Refresh(w, w->c->worker[p->worker[i]]);
    }
}

/* Notes that an own cell moves, and closes what it leaves. */
void
Way_Move(struct way *w, struct cell *cell, const struct place *to,
         struct cell *partner)
{
    struct cells_move *m;

    w->move =
        Mem_Grow(w->move, sizeof(*w->move) * (size_t)(w->move_count + 1));
    m = &w->move[w->move_count++];
    memset(m, 0, sizeof(*m));
    m->cell = cell->index;
    m->partner = partner ? partner->index : CELLS_NONE;
    m->workers = to->workers;
    for (int i = 0; i < to->workers; i++) {
        m->worker[i] = to->worker[i];
        m->mask[i] = Place_Mask(w->c, to, i);
        w->open[to->worker[i]] |= m->mask[i];
    }
    for (int i = 0; i < cell->place.workers; i++) {
        w->open[cell->place.worker[i]] &= ~Place_Mask(w->c, &cell->place, i);
    }
    w->mark[cell->index] = WAY_GIVEN;
    if (partner != NULL) {
        w->mark[partner->index] = WAY_GIVEN;
    }
    Way_RefreshPlace(w, &cell->place);
    Way_RefreshPlace(w, to);
}

/* Opens the cells under the accelerators, moving some where they are not
 * the organisation's own. */
bool
Way_Open(struct way *w, struct worker *at, uint64_t mask)
{
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        int bit = __builtin_ctzll(m);
        struct cell *there = at->slot[bit].cell, *cell;
        struct place to;

        if ((w->open[at->index] & (m & -m)) != 0) {
            if (there != NULL && there->org == w->org &&
                w->mark[there->index] == WAY_UNTOUCHED) {
                w->mark[there->index] = WAY_OPENED;
            }
            continue;
        }
        cell = find_move(w, at, bit, &to);
        if (cell == NULL) {
            return false;
        }
        Way_Move(w, cell, &to, there);
    }
    return true;
}
