#include "cells-impl.h"

#include <string.h>

#define WHOLE_WORKER_RANK 64 /* blocks inside a worker rank up to this */

/* Whether a shape is a power of two inside a worker, or a number of whole
 * workers that a rack cell may have. */
bool
Shape_Valid(struct cells_shape s)
{
    if (s.workers == 0) {
        return s.accelerators >= 1 &&
               s.accelerators <= CELLS_ACCELERATORS_MAX &&
               (s.accelerators & (s.accelerators - 1)) == 0;
    }
    return s.workers >= 1 && s.workers <= CELLS_RACK_MAX &&
           s.accelerators == 0;
}

/* Compares two shapes. */
bool
Shape_Same(struct cells_shape a, struct cells_shape b)
{
    return a.workers == b.workers && a.accelerators == b.accelerators;
}

/* Orders shapes by size: blocks of a worker first, then whole workers. */
int
Shape_Rank(struct cells_shape s)
{
    return s.workers ? WHOLE_WORKER_RANK + s.workers : s.accelerators;
}

/* Mask of n bits starting at bit `first`. */
uint64_t
Block_Mask(int first, int n)
{
    uint64_t ones = n >= 64 ? ~UINT64_C(0) : (UINT64_C(1) << n) - 1;

    return ones << first;
}

/* Returns the size of the largest aligned block around a given one that lies
 * in both masks. */
int
Block_Enclosing(uint64_t all, uint64_t usable, int first, int n)
{
    while (n < 64) {
        int wide = n * 2;
        uint64_t m = Block_Mask(first / wide * wide, wide);

        if ((m & all) != m || (m & usable) != m) {
            break;
        }
        n = wide;
    }
    return n;
}

/* Mask of the accelerators of the i-th worker of a place. */
uint64_t
Place_Mask(const struct cells *c, const struct place *p, int i)
{
    return p->mask ? p->mask : c->worker[p->worker[i]]->all;
}

/* Counts the accelerators of a place. Places of the same shape can differ in
 * size when their workers do. */
int
Place_Size(const struct cells *c, const struct place *p)
{
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        n += __builtin_popcountll(Place_Mask(c, p, i));
    }
    return n;
}

/* Records for some accelerators of one worker to which cell they are bound;
 * NULL: none. */
static void
set_cell(struct cells *c, struct worker *w, uint64_t mask, struct cell *cell)
{
    struct node *rack = w->node->parent;

    rack->unbound_workers -= w->bound == 0;
    w->bound = cell ? w->bound | mask : w->bound & ~mask;
    rack->unbound_workers += w->bound == 0;
    w->binding_version = c->binding_version;
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        w->slot[__builtin_ctzll(m)].cell = cell;
    }
}

/* Binds a cell that has no place. */
void
Bind_Set(struct cells *c, struct cell *cell, const struct place *place)
{
    cell->place = *place;
    cell->in_use = 0;
    cell->workers_down = 0;
    cell->size = Place_Size(c, place);
    c->binding_version++;
    c->generation++;
    for (int i = 0; i < place->workers; i++) {
        struct worker *w = c->worker[place->worker[i]];
        uint64_t mask = Place_Mask(c, place, i);

        if ((w->bound & mask) != 0) {
            Fatal("cells: worker %s has accelerators in two cells",
                  w->info.name);
        }
        set_cell(c, w, mask, cell);
        cell->in_use += __builtin_popcountll(w->guaranteed & mask);
        cell->workers_down += w->state != CELLS_WORKER_UP;
    }
}

/* Unbinds a cell. */
void
Bind_Clear(struct cells *c, struct cell *cell)
{
    c->binding_version++;
    c->generation++;
    for (int i = 0; i < cell->place.workers; i++) {
        set_cell(c, c->worker[cell->place.worker[i]],
                 Place_Mask(c, &cell->place, i), NULL);
    }
    cell->place.workers = 0;
    cell->in_use = 0;
    cell->workers_down = 0;
    cell->size = 0;
}

/* Orders unbound places for a cell, the lowest first: healthy ones; then the
 * one that breaks up the smallest larger block; then the one in the rack with
 * the fewest whole workers left, counting healthy workers only, because failed
 * ones offer no room. This is a buddy allocator's rule: otherwise small cells
 * break up the workers and racks that larger cells need, and a feasible set of
 * guarantees does not fit. For whole workers `enclosing` is the number of
 * failed ones. */
static int64_t
place_cost(bool unhealthy, int enclosing, int rack_left)
{
    return ((int64_t)unhealthy << 40) | ((int64_t)enclosing << 20) | rack_left;
}

/* Counts the healthy workers of a rack without any binding. */
static int
healthy_unbound(const struct node *rack)
{
    const struct node *n;
    int healthy = 0;

    TAILQ_FOREACH (n, &rack->children, sibling) {
        healthy +=
            n->worker->bound == 0 && n->worker->state == CELLS_WORKER_UP;
    }
    return healthy;
}

/* Finds the tightest unbound block of n accelerators on one worker; returns
 * its cost, or -1 if there is none. */
static int64_t
find_block(const struct worker *w, int n, uint64_t *mask)
{
    uint64_t unbound = w->all & ~w->bound;
    int healthy = w->bound == 0 ? healthy_unbound(w->node->parent) : 0;
    int64_t best = -1;

    for (int first = 0; first + n <= w->info.accelerators; first += n) {
        uint64_t m = Block_Mask(first, n);
        int64_t cost;

        if ((m & unbound) != m) {
            continue;
        }
        cost = place_cost(w->state != CELLS_WORKER_UP,
                          w->bound == 0
                              ? CELLS_ACCELERATORS_MAX
                              : Block_Enclosing(w->all, unbound, first, n),
                          healthy);
        if (best < 0 || cost < best) {
            best = cost;
            *mask = m;
        }
    }
    return best;
}

/* Finds the tightest unbound block of n accelerators in the topology. */
static bool
find_accelerators(const struct cells *c, int n, bool only_healthy,
                  struct place *out)
{
    int64_t best = -1;

    for (int i = 0; i < c->workers; i++) {
        const struct worker *w = c->worker[i];
        uint64_t mask = 0;
        int64_t cost;

        if (w == NULL || (only_healthy && w->state != CELLS_WORKER_UP)) {
            continue;
        }
        cost = find_block(w, n, &mask);
        if (cost >= 0 && (best < 0 || cost < best)) {
            best = cost;
            out->workers = 1;
            out->worker[0] = i;
            out->mask = mask;
        }
    }
    return best >= 0;
}

/* Collects up to k whole unbound workers of a rack, healthy ones first;
 * returns how many there are. */
static int
gather_workers(const struct node *rack, int k, bool only_healthy, int *worker,
               int *unhealthy)
{
    const struct node *n;
    int found = 0;

    *unhealthy = 0;
    for (int pass = 0; pass < (only_healthy ? 1 : 2); pass++) {
        TAILQ_FOREACH (n, &rack->children, sibling) {
            bool up = n->worker->state == CELLS_WORKER_UP;

            if (found < k && n->worker->bound == 0 && up == (pass == 0)) {
                worker[found++] = n->worker->index;
                *unhealthy += !up;
            }
        }
    }
    return found;
}

/* Finds the tightest rack with k whole unbound workers. */
static bool
find_workers(const struct cells *c, int k, bool only_healthy,
             struct place *out)
{
    int64_t best = -1;

    for (int i = 0; i < c->nodes; i++) {
        const struct node *rack = c->node[i];
        struct place p = {.workers = k};
        int unhealthy, left;
        int64_t cost;

        if (rack == NULL || rack->level != CELLS_LEVEL_RACK ||
            rack->unbound_workers < k ||
            gather_workers(rack, k, only_healthy, p.worker, &unhealthy) < k) {
            continue;
        }
        left = unhealthy ? rack->unbound_workers : healthy_unbound(rack);
        cost = place_cost(unhealthy != 0, unhealthy, left - k);
        if (best < 0 || cost < best) {
            best = cost;
            *out = p;
        }
    }
    return best >= 0;
}

/* Finds the tightest unbound place of a shape. */
bool
Bind_Find(const struct cells *c, struct cells_shape shape, bool only_healthy,
          struct place *out)
{
    memset(out, 0, sizeof(*out));
    if (shape.workers == 0) {
        return find_accelerators(c, shape.accelerators, only_healthy, out);
    }
    return find_workers(c, shape.workers, only_healthy, out);
}
