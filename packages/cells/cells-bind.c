#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define WHOLE_WORKER_SIZE 64 /* above every block inside a worker */

/* A power of two inside a worker, or whole workers of a rack. */
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

/* Equality. */
bool
Shape_Same(struct cells_shape a, struct cells_shape b)
{
    return a.workers == b.workers && a.accelerators == b.accelerators;
}

/* A number that orders shapes by what they take. */
int
Shape_Size(struct cells_shape s)
{
    return s.workers ? WHOLE_WORKER_SIZE + s.workers : s.accelerators;
}

/* n bits from first on. */
uint64_t
Block_Mask(int first, int n)
{
    uint64_t ones = n >= 64 ? ~UINT64_C(0) : (UINT64_C(1) << n) - 1;

    return ones << first;
}

/* The size of the largest aligned block around one that lies in open. */
int
Block_Enclosing(uint64_t all, uint64_t open, int first, int n)
{
    while (n < 64) {
        int wide = n * 2;
        uint64_t m = Block_Mask(first / wide * wide, wide);

        if ((m & all) != m || (m & open) != m) {
            break;
        }
        n = wide;
    }
    return n;
}

/* Accelerators of the i-th worker of a place. */
uint64_t
Place_Mask(const struct cells *c, const struct place *p, int i)
{
    return p->mask ? p->mask : c->worker[p->worker[i]]->all;
}

/* Points the slots of one worker at a cell, or at none. */
static void
set_slots(struct cells *c, struct worker *w, uint64_t mask, struct cell *cell)
{
    struct node *rack = w->node->parent;

    rack->unbound -= w->bound == 0;
    w->bound = cell ? w->bound | mask : w->bound & ~mask;
    rack->unbound += w->bound == 0;
    w->version = c->version;
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        w->slot[__builtin_ctzll(m)].cell = cell;
    }
}

/* Binds a cell that has no place. */
void
Bind_Set(struct cells *c, struct cell *cell, const struct place *place)
{
    cell->place = *place;
    cell->held = 0;
    cell->down = 0;
    c->version++;
    c->state++;
    for (int i = 0; i < place->workers; i++) {
        struct worker *w = c->worker[place->worker[i]];
        uint64_t mask = Place_Mask(c, place, i);

        if ((w->bound & mask) != 0) {
            Fatal("cells: two cells on worker %s", w->info.name);
        }
        set_slots(c, w, mask, cell);
        cell->held += __builtin_popcountll(w->held & mask);
        cell->down += w->state != CELLS_WORKER_UP;
    }
}

/* Takes a cell's place away. */
void
Bind_Clear(struct cells *c, struct cell *cell)
{
    c->version++;
    c->state++;
    for (int i = 0; i < cell->place.workers; i++) {
        set_slots(c, c->worker[cell->place.worker[i]],
                  Place_Mask(c, &cell->place, i), NULL);
    }
    cell->place.workers = 0;
    cell->held = 0;
    cell->down = 0;
}

/* The order in which places are taken: healthy first, then the block that
 * leaves the least of a larger one, then the rack with the fewest whole
 * workers left. Buddy rule: without it small cells break the workers and
 * racks that larger cells need, and a feasible set finds no places. */
static int64_t
place_cost(bool unhealthy, int enclosing, int rack_left)
{
    return ((int64_t)unhealthy << 40) | ((int64_t)enclosing << 20) | rack_left;
}

/* The tightest unbound block of n on one worker; its cost, or -1. */
static int64_t
find_block(const struct worker *w, int n, uint64_t *mask)
{
    uint64_t open = w->all & ~w->bound;
    int64_t best = -1;

    for (int first = 0; first + n <= w->info.accelerators; first += n) {
        uint64_t m = Block_Mask(first, n);
        int64_t cost;

        if ((m & open) != m) {
            continue;
        }
        cost =
            place_cost(w->state != CELLS_WORKER_UP,
                       w->bound == 0 ? CELLS_ACCELERATORS_MAX
                                     : Block_Enclosing(w->all, open, first, n),
                       w->bound == 0 ? w->node->parent->unbound : 0);
        if (best < 0 || cost < best) {
            best = cost;
            *mask = m;
        }
    }
    return best;
}

/* The tightest unbound block of n in the topology. */
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

/* Whole unbound workers of a rack, healthy ones first; how many, up to k. */
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

/* The tightest rack with k whole unbound workers. */
static bool
find_workers(const struct cells *c, int k, bool only_healthy,
             struct place *out)
{
    int64_t best = -1;

    for (int i = 0; i < c->nodes; i++) {
        const struct node *rack = c->node[i];
        struct place p = {.workers = k};
        int unhealthy;
        int64_t cost;

        if (rack == NULL || rack->level != CELLS_LEVEL_RACK ||
            rack->unbound < k ||
            gather_workers(rack, k, only_healthy, p.worker, &unhealthy) < k) {
            continue;
        }
        cost = place_cost(unhealthy != 0, unhealthy, rack->unbound - k);
        if (best < 0 || cost < best) {
            best = cost;
            *out = p;
        }
    }
    return best >= 0;
}

/* The tightest unbound place of a shape. */
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

/* Whether a cell may be moved and has reason to. */
static bool
wants_place(const struct cell *cell)
{
    return cell->place.workers == 0 || (cell->held == 0 && cell->down > 0);
}

/* Larger first; of equal size those that were healthy, then by index. */
static int
pack_order(const void *a, const void *b)
{
    const struct cell *x = *(struct cell *const *)a;
    const struct cell *y = *(struct cell *const *)b;
    int size = Shape_Size(y->shape) - Shape_Size(x->shape);

    if (size != 0) {
        return size;
    }
    if (wants_place(x) != wants_place(y)) {
        return wants_place(x) ? 1 : -1;
    }
    return x->index - y->index;
}

/* Cells that no guaranteed job uses, in the order of packing. */
static struct cell **
idle_cells(const struct cells *c, int *n)
{
    struct cell **idle = Mem_Alloc(sizeof(*idle) * (size_t)c->cells);

    *n = 0;
    for (int i = 0; i < c->cells; i++) {
        if (c->cell[i]->held == 0) {
            idle[(*n)++] = c->cell[i];
        }
    }
    qsort(idle, (size_t)*n, sizeof(*idle), pack_order);
    return idle;
}

/* Gives a pending cell, or a short one, a better place out of unbound ones.
 * Returns false when there is none. */
static bool
mend_cell(struct cells *c, struct cell *cell)
{
    bool pending = cell->place.workers == 0;
    struct place p;

    if (!Bind_Find(c, cell->shape, !pending, &p)) {
        return false;
    }
    if (!pending) {
        Bind_Clear(c, cell);
    }
    Bind_Set(c, cell, &p);
    return true;
}

/* Sum of the sizes of idle cells with a place, and of those with a healthy
 * one, to compare two packings. */
static void
measure(struct cell **idle, int n, int *placed, int *healthy)
{
    *placed = 0;
    *healthy = 0;
    for (int i = 0; i < n; i++) {
        bool has = idle[i]->place.workers > 0;

        *placed += has ? Shape_Size(idle[i]->shape) : 0;
        *healthy += has && !idle[i]->down ? Shape_Size(idle[i]->shape) : 0;
    }
}

/* Takes all idle cells up and puts each at its old place. */
static void
restore(struct cells *c, struct cell **idle, int n, const struct place *old)
{
    for (int i = 0; i < n; i++) {
        if (idle[i]->place.workers > 0) {
            Bind_Clear(c, idle[i]);
        }
    }
    for (int i = 0; i < n; i++) {
        if (old[i].workers > 0) {
            Bind_Set(c, idle[i], &old[i]);
        }
    }
}

/* Takes all idle cells off their places and gives each the tightest one.
 * Returns whether every cell with a place has one again, and every healthy
 * one a healthy one. */
static bool
pack(struct cells *c, struct cell **idle, int n, const struct place *old,
     const bool *good)
{
    bool kept = true;

    for (int i = 0; i < n; i++) {
        if (old[i].workers > 0) {
            Bind_Clear(c, idle[i]);
        }
    }
    for (int i = 0; i < n; i++) {
        bool found = mend_cell(c, idle[i]);

        kept = kept && (found || old[i].workers == 0) &&
               (!good[i] || idle[i]->down == 0);
    }
    return kept;
}

/* Packs all idle cells anew around those in use. The result is kept only if
 * every cell that had a place still has one, every healthy one is healthy,
 * and something became better; otherwise an organisation would pay for the
 * loss of another. Returns whether it was kept. */
static bool
repack(struct cells *c)
{
    int n, placed[2], healthy[2];
    struct cell **idle CLEANUP(Mem_FreeP) = idle_cells(c, &n);
    struct place *old CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)n, sizeof(struct place));
    bool *good CLEANUP(Mem_FreeP) = Mem_Zero((size_t)n, sizeof(bool));
    bool kept;

    measure(idle, n, &placed[0], &healthy[0]);
    for (int i = 0; i < n; i++) {
        old[i] = idle[i]->place;
        good[i] = old[i].workers > 0 && idle[i]->down == 0;
    }
    kept = pack(c, idle, n, old, good);
    measure(idle, n, &placed[1], &healthy[1]);
    if (kept && placed[1] >= placed[0] && healthy[1] >= healthy[0] &&
        (placed[1] > placed[0] || healthy[1] > healthy[0])) {
        return true;
    }
    restore(c, idle, n, old);
    return false;
}

/* A number that differs when another organisation holds an accelerator. */
static uint64_t
worker_digest(const struct worker *w)
{
    uint64_t digest = 0;

    for (int i = 0; i < w->info.accelerators; i++) {
        const struct cell *cell = w->slot[i].cell;
        int owner = cell ? cell->org->index + 1 : 0;

        digest = Hash_Bytes(&owner, sizeof(owner), digest);
    }
    return digest;
}

/* Packs anew; workers whose bindings came out as they were keep their
 * version, so that nothing is sent to their agents. */
static void
repack_quietly(struct cells *c)
{
    size_t n = (size_t)c->workers;
    uint64_t version = c->version;
    uint64_t *digest CLEANUP(Mem_FreeP) = Mem_Zero(n, sizeof(*digest));
    uint64_t *before CLEANUP(Mem_FreeP) = Mem_Zero(n, sizeof(*before));

    for (size_t i = 0; i < n; i++) {
        if (c->worker[i] != NULL) {
            digest[i] = worker_digest(c->worker[i]);
            before[i] = c->worker[i]->version;
        }
    }
    if (!repack(c)) {
        c->version = version;
    }
    for (size_t i = 0; i < n; i++) {
        if (c->worker[i] && worker_digest(c->worker[i]) == digest[i]) {
            c->worker[i]->version = before[i];
        }
    }
}

/* Simple moves first; packing anew only for what they leave. */
void
Bind_Mend(struct cells *c, bool may_repack)
{
    int n;
    struct cell **idle CLEANUP(Mem_FreeP) = NULL;
    bool left = false, any = false;

    for (int i = 0; i < c->cells && !any; i++) {
        any = wants_place(c->cell[i]);
    }
    if (!any) {
        return;
    }
    idle = idle_cells(c, &n);
    for (int i = 0; i < n; i++) {
        if (wants_place(idle[i]) && !mend_cell(c, idle[i])) {
            left = true;
        }
    }
    if (left && may_repack) {
        repack_quietly(c);
    }
}
