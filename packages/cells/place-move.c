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

/* An own idle cell of the shape that could move to a place of that many
 * accelerators; one whose present place is occupied by lent work first. */
struct cell *
Way_Mover(const struct way *w, struct cells_shape shape, int accelerators)
{
    struct cell *cell, *found = NULL;

    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        bool busy = false;

        if (!Shape_Same(cell->shape, shape) || !may_exchange(w, cell) ||
            cell->size != accelerators) {
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

    if (open == 0) {
        return false;
    }
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

/* The stock of own cells of a shape and size, or NULL. */
static struct way_stock *
stock_of(struct way *w, struct cells_shape shape, int size)
{
    for (int i = 0; i < w->stocks; i++) {
        if (w->stock[i].size == size && Shape_Same(w->stock[i].shape, shape)) {
            return &w->stock[i];
        }
    }
    return NULL;
}

/* Adds a cell to the stock of its shape and size, the smallest first. */
static void
add_stock(struct way *w, const struct cell *cell)
{
    struct way_stock *s = stock_of(w, cell->shape, cell->size);
    int i = w->stocks;

    if (s != NULL) {
        s->left++;
        return;
    }
    if (w->stocks == SHAPES_MAX) {
        return;
    }
    w->stocks++;
    while (i > 0 &&
           Shape_Size(w->stock[i - 1].shape) > Shape_Size(cell->shape)) {
        w->stock[i] = w->stock[i - 1];
        i--;
    }
    w->stock[i] = (struct way_stock){cell->shape, cell->size, 1};
}

/* Counts the own cells that could move: looking for one anew at each
 * accelerator of each worker cost 32 million instructions a reclaim at 6,240
 * accelerators. */
void
Way_CountStock(struct way *w)
{
    const struct cell *cell;

    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        if (may_exchange(w, cell) && Shape_Size(cell->shape) <= w->limit) {
            add_stock(w, cell);
        }
    }
}

/* Marks a cell; one that could have moved till now leaves the stock. */
static void
mark_cell(struct way *w, const struct cell *cell, enum way_mark mark)
{
    struct way_stock *s = stock_of(w, cell->shape, cell->size);

    if (s != NULL && cell->org == w->org && may_exchange(w, cell)) {
        s->left--;
    }
    w->mark[cell->index] = (unsigned char)mark;
}

/* The place that an own cell would have to move to in order to cover one
 * accelerator that is not its organisation's, and what is in stock for it;
 * NULL when nothing is. */
static struct way_stock *
find_move(struct way *w, const struct worker *at, int bit, struct place *to)
{
    struct cell *there = at->slot[bit].cell;
    struct way_stock *s;

    if (there != NULL) {
        if (there->org == w->org || !may_exchange(w, there)) {
            return NULL;
        }
        s = stock_of(w, there->shape, there->size);
        *to = there->place;
        return s != NULL && s->left > 0 ? s : NULL;
    }
    for (int i = 0; i < w->stocks; i++) {
        s = &w->stock[i];
        if (s->left > 0 && unbound_place(w, at, bit, s->shape, to) &&
            Place_Size(w->c, to) == s->size) {
            return s;
        }
    }
    return NULL;
}

/* Accelerators of a worker that own cells could move to. */
uint64_t
Way_Movable(struct way *w, const struct worker *at)
{
    uint64_t mask = 0;

    for (int i = 0; i < at->info.accelerators; i++) {
        struct place to;
        uint64_t bit = UINT64_C(1) << i;

        if (((mask | w->open[at->index]) & bit) == 0 &&
            find_move(w, at, i, &to) != NULL) {
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
    mark_cell(w, cell, WAY_GIVEN);
    if (partner != NULL) {
        mark_cell(w, partner, WAY_GIVEN);
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
        struct cell *there = at->slot[bit].cell;
        const struct way_stock *s;
        struct place to;

        if ((w->open[at->index] & (m & -m)) != 0) {
            if (there != NULL && there->org == w->org &&
                w->mark[there->index] == WAY_UNTOUCHED) {
                mark_cell(w, there, WAY_OPENED);
            }
            continue;
        }
        s = find_move(w, at, bit, &to);
        if (s == NULL) {
            return false;
        }
        Way_Move(w, Way_Mover(w, s->shape, s->size), &to, there);
    }
    return true;
}
