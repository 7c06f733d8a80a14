#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Whether a cell should move and may: it is pending, or idle on a worker that
 * is not up. */
static bool
needs_place(const struct cell *cell)
{
    return cell->place.workers == 0 ||
           (cell->in_use == 0 && cell->workers_down > 0);
}

/* Packs larger cells first; of equal ones those that needed no new place, then
 * by index. */
static int
pack_order(const void *a, const void *b)
{
    const struct cell *x = *(struct cell *const *)a;
    const struct cell *y = *(struct cell *const *)b;
    int size = Shape_Rank(y->shape) - Shape_Rank(x->shape);

    if (size != 0) {
        return size;
    }
    if (needs_place(x) != needs_place(y)) {
        return needs_place(x) ? 1 : -1;
    }
    return x->index - y->index;
}

/* Lists the cells that no guaranteed job uses, in packing order. */
static struct cell **
idle_cells(const struct cells *c, int *n)
{
    struct cell **idle = Mem_Alloc(sizeof(*idle) * (size_t)c->cells);

    *n = 0;
    for (int i = 0; i < c->cells; i++) {
        if (c->cell[i]->in_use == 0) {
            idle[(*n)++] = c->cell[i];
        }
    }
    qsort(idle, (size_t)*n, sizeof(*idle), pack_order);
    return idle;
}

/* Binds a pending cell to an unbound place, or moves an unavailable one to a
 * healthy unbound place. Returns false if there is none. */
static bool
rebind_cell(struct cells *c, struct cell *cell)
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

/* Sums the sizes of the idle cells with a place, and of those with a healthy
 * place, to compare two packings. */
static void
measure_sizes(struct cell **idle, int n, int *placed, int *healthy)
{
    *placed = 0;
    *healthy = 0;
    for (int i = 0; i < n; i++) {
        bool has = idle[i]->place.workers > 0;

        *placed += has ? Shape_Rank(idle[i]->shape) : 0;
        *healthy +=
            has && !idle[i]->workers_down ? Shape_Rank(idle[i]->shape) : 0;
    }
}

/* Unbinds all idle cells and binds each to its old place. */
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

/* Unbinds all idle cells and binds each to the tightest place. Returns whether
 * every cell that had a place has one again, and every healthy cell a healthy
 * one. */
static bool
pack(struct cells *c, struct cell **idle, int n, const struct place *old,
     const bool *was_healthy)
{
    bool kept = true;

    for (int i = 0; i < n; i++) {
        if (old[i].workers > 0) {
            Bind_Clear(c, idle[i]);
        }
    }
    for (int i = 0; i < n; i++) {
        bool found = rebind_cell(c, idle[i]);

        kept = kept && (found || old[i].workers == 0) &&
               (!was_healthy[i] || idle[i]->workers_down == 0);
    }
    return kept;
}

/* Packs all idle cells again around those in use. The result is kept only if
 * every cell that had a place still has one, every healthy cell is still
 * healthy, and more cells are placed or healthy; otherwise one organisation
 * would lose a cell to replace another's. Returns whether it was kept. */
static bool
repack(struct cells *c)
{
    int n, placed[2], healthy[2];
    struct cell **idle CLEANUP(Mem_FreeP) = idle_cells(c, &n);
    struct place *old CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)n, sizeof(struct place));
    bool *was_healthy CLEANUP(Mem_FreeP) = Mem_Zero((size_t)n, sizeof(bool));
    bool kept;

    measure_sizes(idle, n, &placed[0], &healthy[0]);
    for (int i = 0; i < n; i++) {
        old[i] = idle[i]->place;
        was_healthy[i] = old[i].workers > 0 && idle[i]->workers_down == 0;
    }
    kept = pack(c, idle, n, old, was_healthy);
    measure_sizes(idle, n, &placed[1], &healthy[1]);
    if (kept && placed[1] >= placed[0] && healthy[1] >= healthy[0] &&
        (placed[1] > placed[0] || healthy[1] > healthy[0])) {
        return true;
    }
    restore(c, idle, n, old);
    return false;
}

/* Hash of the organisations that a worker's accelerators are bound to. */
static uint64_t
hash_of_organisations(const struct worker *w)
{
    uint64_t hash = 0;

    for (int i = 0; i < w->info.accelerators; i++) {
        const struct cell *cell = w->slot[i].cell;
        int org = cell ? cell->org->index + 1 : 0;

        hash = Hash_Bytes(&org, sizeof(org), hash);
    }
    return hash;
}

/* Packs all idle cells again. Workers with the same bindings as before keep
 * their version, so that nothing is sent to their agents. */
static void
repack_keeping_versions(struct cells *c)
{
    size_t n = (size_t)c->workers;
    uint64_t version = c->binding_version;
    uint64_t *hash CLEANUP(Mem_FreeP) = Mem_Zero(n, sizeof(*hash));
    uint64_t *old_version CLEANUP(Mem_FreeP) =
        Mem_Zero(n, sizeof(*old_version));

    for (size_t i = 0; i < n; i++) {
        if (c->worker[i] != NULL) {
            hash[i] = hash_of_organisations(c->worker[i]);
            old_version[i] = c->worker[i]->binding_version;
        }
    }
    if (!repack(c)) {
        c->binding_version = version;
    }
    for (size_t i = 0; i < n; i++) {
        if (c->worker[i] && hash_of_organisations(c->worker[i]) == hash[i]) {
            c->worker[i]->binding_version = old_version[i];
        }
    }
}

/* Rebinds single cells first and packs all idle cells again only if that
 * leaves some without a healthy place. */
void
Bind_RebindAll(struct cells *c, bool may_repack)
{
    int n;
    struct cell **idle CLEANUP(Mem_FreeP) = NULL;
    bool unplaced = false, needed = false;

    for (int i = 0; i < c->cells && !needed; i++) {
        needed = needs_place(c->cell[i]);
    }
    if (!needed) {
        return;
    }
    idle = idle_cells(c, &n);
    for (int i = 0; i < n; i++) {
        if (needs_place(idle[i]) && !rebind_cell(c, idle[i])) {
            unplaced = true;
        }
    }
    if (unplaced && may_repack) {
        repack_keeping_versions(c);
    }
}

/* Rebinds cells after an import. */
void
Cells_Rebind(struct cells *c)
{
    Bind_RebindAll(c, true);
}
