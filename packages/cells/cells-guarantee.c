#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define COUNT_MAX 65536 /* cells of one organisation and shape */

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
    TAILQ_INSERT_TAIL(&org->cells, cell, of_org);
}

/* Jobs with guaranteed accelerators in the cell become lent work. */
static void
lend_jobs(struct cells *c, const struct cell *cell)
{
    for (int i = 0; i < cell->place.workers; i++) {
        const struct worker *w = c->worker[cell->place.worker[i]];
        uint64_t mask = Place_Mask(c, &cell->place, i);

        while ((w->held & mask) != 0) {
            Jobs_Lend(c, w->slot[__builtin_ctzll(w->held & mask)].job);
        }
    }
}

/* Takes a cell out; the last one gets its index. */
static void
drop_cell(struct cells *c, struct cell *cell)
{
    lend_jobs(c, cell);
    Bind_Clear(c, cell);
    TAILQ_REMOVE(&cell->org->cells, cell, of_org);
    c->cell[cell->index] = c->cell[--c->cells];
    c->cell[cell->index]->index = cell->index;
    free(cell);
}

/* How gladly a cell is given up: pending, short, idle, then used ones. */
static int
worth(const struct cell *cell)
{
    if (cell->place.workers == 0) {
        return 0;
    }
    return cell->held > 0 ? 3 : cell->down == 0 ? 2 : 1;
}

/* Cells that are given up first come first; of equal ones the newest. */
static int
worth_order(const void *a, const void *b)
{
    const struct cell *x = *(struct cell *const *)a;
    const struct cell *y = *(struct cell *const *)b;

    if (worth(x) != worth(y)) {
        return worth(x) - worth(y);
    }
    return y->index - x->index;
}

/* An organisation's cells of one shape; the caller frees the list. */
static struct cell **
cells_of_shape(const struct cells *c, const struct org *org,
               struct cells_shape shape, int *n)
{
    struct cell **list = Mem_Alloc(sizeof(*list) * (size_t)(c->cells + 1));
    struct cell *cell;

    *n = 0;
    TAILQ_FOREACH (cell, &org->cells, of_org) {
        if (Shape_Same(cell->shape, shape)) {
            list[(*n)++] = cell;
        }
    }
    return list;
}

/* Brings the number of an organisation's cells to what is wanted. */
int
Cells_SetGuarantee(struct cells *c, const char *organisation,
                   struct cells_shape shape, int count)
{
    struct cell **have CLEANUP(Mem_FreeP) = NULL;
    struct org *org;
    int n;

    if (!Str_IsName(organisation) || !Shape_Valid(shape) || count < 0 ||
        count > COUNT_MAX) {
        return ERR_INVALID;
    }
    org = Org_Get(c, organisation);
    have = cells_of_shape(c, org, shape, &n);
    if (n == count) {
        return ERR_OK;
    }
    c->state++;
    qsort(have, (size_t)n, sizeof(struct cell *), worth_order);
    for (int i = 0; i < n - count; i++) {
        drop_cell(c, have[i]);
    }
    for (int i = n; i < count; i++) {
        add_cell(c, org, shape);
    }
    Bind_Mend(c, true);
    return ERR_OK;
}

/* A copy in which nothing runs, nothing has failed and no cell has a place.
 */
static struct cells *
blank_copy(const struct cells *c)
{
    struct cells *blank = Cells_Clone(c);
    struct job *job;

    while ((job = RB_MIN(job_tree, &blank->jobs)) != NULL) {
        Jobs_Drop(blank, job);
    }
    for (int i = 0; i < blank->cells; i++) {
        Bind_Clear(blank, blank->cell[i]);
    }
    for (int i = 0; i < blank->workers; i++) {
        if (blank->worker[i] != NULL) {
            blank->worker[i]->state = CELLS_WORKER_UP;
        }
    }
    return blank;
}

/* Accelerators that a shape takes; whole workers count as the largest. */
static int64_t
shape_accelerators(const struct cells *c, struct cells_shape shape)
{
    int most = 0;

    if (shape.workers == 0) {
        return shape.accelerators;
    }
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] && c->worker[i]->info.accelerators > most) {
            most = c->worker[i]->info.accelerators;
        }
    }
    return (int64_t)shape.workers * most;
}

/* Adds what an organisation lacks of one shape to the report, unless an
 * earlier cell of the same shape has done so. */
static void
report_shape(const struct cells *c, const struct cell *first,
             struct cells_report *report)
{
    const struct cell *cell;
    struct cells_misfit *m;
    int wanted = 0, possible = 0;

    TAILQ_FOREACH (cell, &first->org->cells, of_org) {
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
    if (report->count == CELLS_MISFITS_MAX) {
        report->more++;
        return;
    }
    m = &report->misfit[report->count++];
    Str_Copy(m->organisation, sizeof(m->organisation), first->org->name);
    m->shape = first->shape;
    m->wanted = wanted;
    m->possible = possible;
}

/* Packs everything into an empty copy and reports what found no place. */
int
Cells_Check(const struct cells *c, struct cells_report *report)
{
    struct cells *blank CLEANUP(Cells_FreeP) = blank_copy(c);
    struct org *org;
    struct cell *cell;

    memset(report, 0, sizeof(*report));
    Bind_Mend(blank, false);
    for (int i = 0; i < blank->workers; i++) {
        if (blank->worker[i] != NULL) {
            report->accelerators += blank->worker[i]->info.accelerators;
        }
    }
    TAILQ_FOREACH (org, &blank->orgs, entry) {
        TAILQ_FOREACH (cell, &org->cells, of_org) {
            report_shape(blank, cell, report);
        }
    }
    return report->count > 0 ? ERR_CONFLICT : ERR_OK;
}

/* The account's version of bindings. */
uint64_t
Cells_Version(const struct cells *c)
{
    return c->version;
}

/* How many cells there are. */
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
    out->used = cell->held > 0;
    out->healthy = cell->place.workers > 0 && cell->down == 0;
    for (int k = 0; k < cell->place.workers; k++) {
        out->worker[k] = cell->place.worker[k];
        out->mask[k] = Place_Mask(c, &cell->place, k);
    }
    return true;
}

/* Counts cells of one organisation, or of all, that fulfil a condition. */
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

/* On a worker that is not up, or nowhere. */
static bool
is_short(const struct cell *cell)
{
    return cell->place.workers == 0 || cell->down > 0;
}

/* Nowhere. */
static bool
is_pending(const struct cell *cell)
{
    return cell->place.workers == 0;
}

/* Cells that can't be had now. */
int
Cells_Short(const struct cells *c, const char *organisation)
{
    return count_cells(c, organisation, is_short);
}

/* Cells that have not got a place yet. */
int
Cells_Pending(const struct cells *c, const char *organisation)
{
    return count_cells(c, organisation, is_pending);
}
