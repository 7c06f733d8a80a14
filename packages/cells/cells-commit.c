#include "cells-impl.h"

#include <string.h>

/* Whether all accelerators of the parts are in the organisation's cells. */
static bool
in_own_cells(const struct cells *c, const struct org *org,
             const struct cells_part *part, int parts)
{
    for (int i = 0; i < parts; i++) {
        const struct worker *w = c->worker[part[i].worker];

        for (uint64_t m = part[i].mask; m != 0; m &= m - 1) {
            const struct cell *cell = w->slot[__builtin_ctzll(m)].cell;

            if (cell == NULL || cell->org != org) {
                return false;
            }
        }
    }
    return true;
}

/* Whether all accelerators of the parts exist, occur once and are free. Those
 * of a running job count as free if is_leaving() is true for that job. */
static bool
parts_free(const struct cells *c, const struct cells_part *part, int parts,
           bool (*is_leaving)(const struct job *, const void *),
           const void *arg)
{
    for (int i = 0; i < parts; i++) {
        const struct worker *w = Topo_Worker(c, part[i].worker);

        if (w == NULL || part[i].mask == 0 ||
            (part[i].mask & w->all) != part[i].mask) {
            return false;
        }
        for (int k = 0; k < i; k++) {
            if (part[k].worker == part[i].worker &&
                (part[k].mask & part[i].mask) != 0) {
                return false;
            }
        }
        for (uint64_t m = part[i].mask & w->busy; m != 0; m &= m - 1) {
            if (!is_leaving(w->slot[__builtin_ctzll(m)].job, arg)) {
                return false;
            }
        }
    }
    return true;
}

/* Predicate of Cells_Adopt, which displaces no other job. */
static bool
no_job_leaves(const struct job *job UNUSED, const void *arg UNUSED)
{
    return false;
}

/* Whether a job is among the victims of a plan. */
static bool
is_victim(const struct job *job, const void *arg)
{
    const struct cells_plan *plan = arg;

    for (int i = 0; i < plan->victims; i++) {
        if (plan->victim[i].job == job->request.job) {
            return true;
        }
    }
    return false;
}

/* Adds a job that runs already. It counts as guaranteed only if all its
 * accelerators are in its organisation's cells. */
int
Cells_Adopt(struct cells *c, const struct cells_request *request,
            const struct cells_part *part, int parts, int64_t started_at)
{
    struct job *job;

    if (CellsJob_Find(c, request->job) != NULL) {
        return ERR_EXISTS;
    }
    if (!parts_free(c, part, parts, no_job_leaves, NULL)) {
        return ERR_CONFLICT;
    }
    job = CellsJob_New(c, request, part, parts, started_at);
    job->guaranteed =
        request->guaranteed && in_own_cells(c, job->org, part, parts);
    CellsJob_Add(c, job);
    return ERR_OK;
}

/* Returns the new place of a move. */
static struct place
move_place(const struct cells *c, const struct cells_move *move)
{
    struct place p = {.workers = move->workers};

    memcpy(p.worker, move->worker, sizeof(p.worker));
    if (c->cell[move->cell]->shape.workers == 0) {
        p.mask = move->mask[0];
    }
    return p;
}

/* Moves one cell to its new place. The cell that was bound there gets the old
 * place. */
static void
apply_move(struct cells *c, const struct cells_move *move)
{
    struct cell *cell = c->cell[move->cell];
    struct place from = cell->place, to = move_place(c, move);

    if (cell->in_use > 0) {
        Fatal("cells: a plan moves a cell that is in use");
    }
    Bind_Clear(c, cell);
    if (move->partner != CELLS_NONE) {
        struct cell *partner = c->cell[move->partner];

        if (partner->in_use > 0) {
            Fatal("cells: a plan exchanges a cell with one that is in use");
        }
        Bind_Clear(c, partner);
        Bind_Set(c, partner, &from);
    }
    Bind_Set(c, cell, &to);
}

/* Applies a plan unless the state has changed since it was made. */
int
Cells_Commit(struct cells *c, const struct cells_plan *plan)
{
    struct job *job;

    if (!Cells_IsPlaced(plan->reason)) {
        return ERR_INVALID;
    }
    if (plan->generation != c->generation ||
        CellsJob_Find(c, plan->request.job) ||
        !parts_free(c, plan->part, plan->parts, is_victim, plan)) {
        return ERR_STALE;
    }
    for (int i = 0; i < plan->victims; i++) {
        struct job *victim = CellsJob_Find(c, plan->victim[i].job);

        if (victim != NULL) {
            CellsJob_Delete(c, victim);
        }
    }
    for (int i = 0; i < plan->moves; i++) {
        apply_move(c, &plan->move[i]);
    }
    job = CellsJob_New(c, &plan->request, plan->part, plan->parts,
                       plan->planned_at);
    job->guaranteed = plan->request.guaranteed;
    if (job->guaranteed &&
        !in_own_cells(c, job->org, plan->part, plan->parts)) {
        Fatal("cells: guaranteed job outside its organisation's cells");
    }
    CellsJob_Add(c, job);
    return ERR_OK;
}
