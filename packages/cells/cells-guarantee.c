#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define CELLS_PER_SHAPE_MAX 65536 /* of one organisation */

/* Adds a cell without a place. */
static void
add_cell(struct cells *c, struct org *org, struct cells_shape shape)
{
    struct cell *cell = Mem_Zero(1, sizeof(*cell));

    c->cell = Mem_Grow(c->cell, sizeof(*c->cell) * (size_t)(c->cells + 1));
    cell->index = c->cells;
    cell->org = org;
    cell->shape = shape;
    c->cell[c->cells++] = cell;
    TAILQ_INSERT_TAIL(&org->cells, cell, org_entry);
}

/* Turns the guaranteed jobs in a cell into lent ones. */
static void
make_jobs_lent(struct cells *c, const struct cell *cell)
{
    for (int i = 0; i < cell->place.workers; i++) {
        const struct worker *w = c->worker[cell->place.worker[i]];
        uint64_t mask = Place_Mask(c, &cell->place, i);

        while ((w->guaranteed & mask) != 0) {
            CellsJob_MakeLent(
                c, w->slot[__builtin_ctzll(w->guaranteed & mask)].job);
        }
    }
}

/* Removes a cell; the last cell of the list takes over its index. */
static void
remove_cell(struct cells *c, struct cell *cell)
{
    make_jobs_lent(c, cell);
    Bind_Clear(c, cell);
    TAILQ_REMOVE(&cell->org->cells, cell, org_entry);
    c->cell[cell->index] = c->cell[--c->cells];
    c->cell[cell->index]->index = cell->index;
    free(cell);
}

/* Rank of a cell when cells have to be removed, the lowest first: pending,
 * unavailable, idle, in use. */
static int
removal_rank(const struct cell *cell)
{
    if (cell->place.workers == 0) {
        return 0;
    }
    return cell->in_use > 0 ? 3 : cell->workers_down == 0 ? 2 : 1;
}

/* Sorts by removal_rank(), and cells of equal rank from the newest to the
 * oldest. */
static int
removal_order(const void *a, const void *b)
{
    const struct cell *x = *(struct cell *const *)a;
    const struct cell *y = *(struct cell *const *)b;

    if (removal_rank(x) != removal_rank(y)) {
        return removal_rank(x) - removal_rank(y);
    }
    return y->index - x->index;
}

/* Lists an organisation's cells of one shape; the caller frees the list. */
static struct cell **
cells_of_shape(const struct cells *c, const struct org *org,
               struct cells_shape shape, int *n)
{
    struct cell **list = Mem_Alloc(sizeof(*list) * (size_t)(c->cells + 1));
    struct cell *cell;

    *n = 0;
    TAILQ_FOREACH (cell, &org->cells, org_entry) {
        if (Shape_Same(cell->shape, shape)) {
            list[(*n)++] = cell;
        }
    }
    return list;
}

/* Adds or removes cells of one shape until the organisation has `count`. */
int
Cells_SetGuarantee(struct cells *c, const char *organisation,
                   struct cells_shape shape, int count)
{
    struct cell **have CLEANUP(Mem_FreeP) = NULL;
    struct org *org;
    int n;

    if (!Str_IsName(organisation) || !Shape_Valid(shape) || count < 0 ||
        count > CELLS_PER_SHAPE_MAX) {
        return ERR_INVALID;
    }
    org = Org_FindOrAdd(c, organisation);
    have = cells_of_shape(c, org, shape, &n);
    if (n == count) {
        return ERR_OK;
    }
    c->generation++;
    qsort(have, (size_t)n, sizeof(struct cell *), removal_order);
    for (int i = 0; i < n - count; i++) {
        remove_cell(c, have[i]);
    }
    for (int i = n; i < count; i++) {
        add_cell(c, org, shape);
    }
    Bind_RebindAll(c, true);
    return ERR_OK;
}

/* Returns a copy without jobs and bindings, in which all workers are up. */
static struct cells *
empty_copy(const struct cells *c)
{
    struct cells *empty = Cells_Clone(c);
    struct job *job;

    while ((job = RB_MIN(job_tree, &empty->jobs)) != NULL) {
        CellsJob_Delete(empty, job);
    }
    for (int i = 0; i < empty->cells; i++) {
        Bind_Clear(empty, empty->cell[i]);
    }
    for (int i = 0; i < empty->workers; i++) {
        if (empty->worker[i] != NULL) {
            empty->worker[i]->state = CELLS_WORKER_UP;
        }
    }
    return empty;
}

/* Accelerators of a shape; a whole worker counts as the largest one. */
static int64_t
shape_accelerators(const struct cells *c, struct cells_shape shape)
{
    int largest = 0;

    if (shape.workers == 0) {
        return shape.accelerators;
    }
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] && c->worker[i]->info.accelerators > largest) {
            largest = c->worker[i]->info.accelerators;
        }
    }
    return (int64_t)shape.workers * largest;
}

/* Adds the missing cells of one organisation and shape to the report. Does
 * nothing unless `first` is the first cell of that shape. */
static void
report_shape(const struct cells *c, const struct cell *first,
             struct cells_feasibility *report)
{
    const struct cell *cell;
    struct cells_shortfall *m;
    int wanted = 0, possible = 0;

    TAILQ_FOREACH (cell, &first->org->cells, org_entry) {
        if (!Shape_Same(cell->shape, first->shape)) {
            continue;
        }
        if (wanted == 0 && cell != first) {
            return;
        }
        wanted++;
        possible += cell->place.workers > 0;
    }
    report->wanted_accelerators +=
        wanted * shape_accelerators(c, first->shape);
    if (possible == wanted) {
        return;
    }
    if (report->shortfalls == CELLS_SHORTFALLS_MAX) {
        report->dropped++;
        return;
    }
    m = &report->shortfall[report->shortfalls++];
    Str_Copy(m->organisation, sizeof(m->organisation), first->org->name);
    m->shape = first->shape;
    m->wanted = wanted;
    m->possible = possible;
}

/* Packs all cells into an empty copy of the topology and reports those that
 * found no place. */
int
Cells_CheckGuarantees(const struct cells *c, struct cells_feasibility *report)
{
    struct cells *empty CLEANUP(Cells_FreeP) = empty_copy(c);
    struct org *org;
    struct cell *cell;

    memset(report, 0, sizeof(*report));
    Bind_RebindAll(empty, false);
    for (int i = 0; i < empty->workers; i++) {
        if (empty->worker[i] != NULL) {
            report->accelerators += empty->worker[i]->info.accelerators;
        }
    }
    TAILQ_FOREACH (org, &empty->orgs, entry) {
        TAILQ_FOREACH (cell, &org->cells, org_entry) {
            report_shape(empty, cell, report);
        }
    }
    return report->shortfalls > 0 ? ERR_CONFLICT : ERR_OK;
}

/* The version of all bindings. */
uint64_t
Cells_Version(const struct cells *c)
{
    return c->binding_version;
}

/* The number of cells. */
int
Cells_BindingCount(const struct cells *c)
{
    return c->cells;
}

/* Describes one cell. */
bool
Cells_Binding(const struct cells *c, int i, struct cells_binding *out)
{
    const struct cell *cell;

    memset(out, 0, sizeof(*out));
    if (i < 0 || i >= c->cells) {
        return false;
    }
    cell = c->cell[i];
    Str_Copy(out->organisation, sizeof(out->organisation), cell->org->name);
    out->shape = cell->shape;
    out->workers = cell->place.workers;
    out->used = cell->in_use > 0;
    out->healthy = cell->place.workers > 0 && cell->workers_down == 0;
    for (int k = 0; k < cell->place.workers; k++) {
        out->worker[k] = cell->place.worker[k];
        out->mask[k] = Place_Mask(c, &cell->place, k);
    }
    return true;
}

/* Counts the cells of one organisation, or of all, that match a predicate. */
static int
count_cells(const struct cells *c, const char *organisation,
            bool (*is)(const struct cell *))
{
    int n = 0;

    for (int i = 0; i < c->cells; i++) {
        const struct cell *cell = c->cell[i];

        if (organisation == NULL ||
            strcmp(cell->org->name, organisation) == 0) {
            n += is(cell);
        }
    }
    return n;
}

/* Whether a cell has no place, or has a worker that is not up. */
static bool
is_unavailable(const struct cell *cell)
{
    return cell->place.workers == 0 || cell->workers_down > 0;
}

/* Whether a cell has no place. */
static bool
is_pending(const struct cell *cell)
{
    return cell->place.workers == 0;
}

/* Counts the cells that can't be used now. */
int
Cells_UnavailableCount(const struct cells *c, const char *organisation)
{
    return count_cells(c, organisation, is_unavailable);
}

/* Counts the cells without a place. */
int
Cells_PendingCount(const struct cells *c, const char *organisation)
{
    return count_cells(c, organisation, is_pending);
}
