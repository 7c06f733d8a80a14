#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Whether the candidate may use an own cell. */
static bool
may_use_cell(const struct candidate *cand, const struct cell *cell)
{
    if (cell->org != cand->org || cand->mark[cell->index] == CELL_MOVED) {
        return false;
    }
    return cell->in_use > 0 || cand->mark[cell->index] == CELL_USED ||
           Shape_Rank(cell->shape) <= cand->max_rank;
}

/* Mask of a worker's accelerators whose jobs this candidate may displace. */
static uint64_t
displaceable(const struct candidate *cand, const struct worker *w)
{
    uint64_t mask = 0;

    if (cand->victim_rule == VICTIMS_NONE) {
        return 0;
    }
    for (uint64_t m = w->busy; m != 0; m &= m - 1) {
        if (Cand_MayDisplace(cand, w->slot[__builtin_ctzll(m)].job)) {
            mask |= m & -m;
        }
    }
    return mask;
}

/* Computes the accelerators of one worker that the next task can take. */
void
Cand_UpdateUsable(struct candidate *cand, struct worker *w)
{
    uint64_t allowed = cand->allowed[w->index];

    cand->usable[w->index] = 0;
    if (w->state != CELLS_WORKER_UP || (cand->skip_empty && w->busy == 0)) {
        return;
    }
    if (cand->org != NULL && cand->may_move) {
        allowed |= Cand_MoveTargets(cand, w);
    }
    allowed &= ~cand->taken[w->index];
    cand->usable[w->index] = allowed & ~(w->busy & ~displaceable(cand, w));
}

/* Allows the own cells that the candidate may use. */
static void
allow_own_cells(struct candidate *cand)
{
    struct cell *cell;

    TAILQ_FOREACH (cell, &cand->org->cells, org_entry) {
        if (!may_use_cell(cand, cell)) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            cand->allowed[cell->place.worker[i]] |=
                Place_Mask(cand->c, &cell->place, i);
        }
    }
}

/* Allows the accelerators that a lent request may use. */
static void
allow_lent(struct candidate *cand)
{
    for (int i = 0; i < cand->c->workers; i++) {
        const struct worker *w = cand->c->worker[i];

        if (w != NULL) {
            cand->allowed[i] = w->all & ~(cand->unbound_only ? w->bound : 0);
        }
    }
}

/* Allocates the masks, all zero. */
static void
allocate(struct candidate *cand)
{
    size_t workers = (size_t)cand->c->workers;

    cand->allowed = Mem_Zero(workers, sizeof(*cand->allowed));
    cand->usable = Mem_Zero(workers, sizeof(*cand->usable));
    cand->taken = Mem_Zero(workers, sizeof(*cand->taken));
    cand->tasks = Mem_Zero(workers, sizeof(*cand->tasks));
    cand->cap = Mem_Zero((size_t)cand->c->nodes, sizeof(*cand->cap));
    cand->mark = Mem_Zero((size_t)cand->c->cells, sizeof(*cand->mark));
}

/* Fills the masks from the cluster state. */
void
Cand_Init(struct candidate *cand)
{
    allocate(cand);
    if (cand->org != NULL) {
        allow_own_cells(cand);
    }
    else {
        allow_lent(cand);
    }
    if (cand->org != NULL && cand->may_move) {
        Cand_CountMovable(cand);
    }
    for (int i = 0; i < cand->c->workers; i++) {
        struct worker *w = cand->c->worker[i];

        if (w != NULL && (cand->allowed[i] != 0 || cand->movable_kinds > 0)) {
            Cand_UpdateUsable(cand, w);
        }
    }
}

/* Copies a candidate that has placed nothing yet. Filling the masks again for
 * each attempt took most of the time of a reclaim. */
struct candidate
Cand_Copy(const struct candidate *from)
{
    struct candidate cand = *from;
    size_t workers = (size_t)cand.c->workers;

    allocate(&cand);
    memcpy(cand.allowed, from->allowed, workers * sizeof(*cand.allowed));
    memcpy(cand.usable, from->usable, workers * sizeof(*cand.usable));
    return cand;
}

/* Allows only one place. If no own cell is bound to it, one moves there; false
 * if none can. */
bool
Cand_InitAtPlace(struct candidate *cand, const struct place_choice *choice)
{
    const struct place *p = &choice->place;
    struct cell *cell;

    allocate(cand);
    cand->may_move = false;
    if (choice->own) {
        for (int i = 0; i < p->workers; i++) {
            cand->allowed[p->worker[i]] |= Place_Mask(cand->c, p, i);
        }
        Cand_UpdatePlace(cand, p);
        return true;
    }
    cell = Cand_FindMovableCell(cand, choice->shape, Place_Size(cand->c, p));
    if (cell == NULL) {
        return false;
    }
    Cand_MoveCell(cand, cell, p, choice->bound_cell);
    return true;
}

/* Frees the masks. */
void
Cand_Clear(struct candidate *cand)
{
    free(cand->allowed);
    free(cand->usable);
    free(cand->taken);
    free(cand->tasks);
    free(cand->cap);
    free(cand->mark);
    free(cand->victim);
    free(cand->move);
    memset(cand, 0, sizeof(*cand));
}

/* Counts the tasks that fit, for each worker and for the nodes above it. */
void
Cand_UpdateCaps(struct candidate *cand)
{
    memset(cand->cap, 0, sizeof(*cand->cap) * (size_t)cand->c->nodes);
    for (int i = 0; i < cand->c->workers; i++) {
        const struct worker *w = cand->c->worker[i];
        int cap;

        if (w == NULL || cand->usable[i] == 0) {
            continue;
        }
        cap = __builtin_popcountll(cand->usable[i]) / cand->req->accelerators;
        for (const struct node *n = w->node; n != NULL; n = n->parent) {
            cand->cap[n->index] += cap;
        }
    }
}

/* Whether the request may displace a job. */
bool
Cand_MayDisplace(const struct candidate *cand, const struct job *job)
{
    bool lower = job->request.priority < cand->req->priority;

    if (cand->victim_rule == VICTIMS_NONE) {
        return false;
    }
    if (cand->org == NULL) {
        return !job->guaranteed && lower;
    }
    return !job->guaranteed || (cand->victim_rule == VICTIMS_LENT_AND_OWN &&
                                job->org == cand->org && lower);
}

/* Whether the candidate already displaces a job. */
bool
Cand_IsVictim(const struct candidate *cand, const struct job *job)
{
    for (int i = 0; i < cand->victim_count; i++) {
        if (cand->victim[i] == job) {
            return true;
        }
    }
    return false;
}

/* Adds the jobs on some accelerators to the victims. */
void
Cand_AddVictims(struct candidate *cand, struct worker *w, uint64_t mask)
{
    for (uint64_t m = mask & w->busy; m != 0; m &= m - 1) {
        struct job *job = w->slot[__builtin_ctzll(m)].job;

        if (Cand_IsVictim(cand, job)) {
            continue;
        }
        cand->victim =
            Mem_Grow(cand->victim,
                     sizeof(*cand->victim) * (size_t)(cand->victim_count + 1));
        cand->victim[cand->victim_count++] = job;
    }
}

/* Cost of displacing a job; 0 if it is a victim already. */
int64_t
Cand_VictimCost(const struct candidate *cand, const struct job *job)
{
    int64_t restart_cost = INT64_C(1000) * VICTIM_COST_S * cand->req->tasks *
                           cand->req->accelerators;
    struct cells_job_info info;
    int64_t cost;

    if (Cand_IsVictim(cand, job)) {
        return 0;
    }
    if (cand->weights->baseline & CELLS_BASELINE_ANY_VICTIM) {
        return (int64_t)(Hash_Bytes(&job->request.job,
                                    sizeof(job->request.job), 0) >>
                         32);
    }
    CellsJob_Describe(job, &info);
    cost =
        restart_cost +
        Cells_LostWork(&info, cand->now, cand->req->start_within_ms).lost_work;
    if (cand->cost_per_accelerator) {
        cost = cost * cand->req->accelerators /
               ((int64_t)info.request.tasks * info.request.accelerators);
    }
    return cost;
}

/* Finds the aligned block of p accelerators in `from` that breaks up the
 * smallest larger block. */
static uint64_t
tightest_block(uint64_t from, int p)
{
    uint64_t best = 0;
    int least = 0;

    for (int first = 0; first < 64; first += p) {
        uint64_t m = Block_Mask(first, p);
        int around;

        if ((m & from) != m) {
            continue;
        }
        around = Block_Enclosing(from, from, first, p);
        if (best == 0 || around < least) {
            best = m;
            least = around;
        }
    }
    return best;
}

/* Picks n accelerators in as few and as large blocks as possible. */
static uint64_t
pick_blocks(uint64_t from, int n)
{
    uint64_t picked = 0;

    while (n > 0) {
        int p = 1 << (31 - __builtin_clz((unsigned)n));
        uint64_t m = tightest_block(from, p);

        while (m == 0) {
            p /= 2;
            m = tightest_block(from, p);
        }
        picked |= m;
        from &= ~m;
        n -= p;
    }
    return picked;
}

/* Picks n accelerators out of `from`, which has at least n; only preferred
 * ones if these suffice. */
uint64_t
Cand_PickAccelerators(uint64_t from, uint64_t prefer, int n)
{
    if (__builtin_popcountll(from & prefer) >= n) {
        from &= prefer;
    }
    return pick_blocks(from, n);
}

/* Takes accelerators for one task. */
bool
Cand_PlaceTask(struct candidate *cand, struct worker *w, uint64_t from)
{
    uint64_t mask;

    from &= cand->usable[w->index];
    if (__builtin_popcountll(from) < cand->req->accelerators) {
        return false;
    }
    if (cand->weights->baseline & CELLS_BASELINE_FIRST_FIT) {
        mask = 0;
        for (int i = 0; i < cand->req->accelerators; i++) {
            mask |= from & -from;
            from &= from - 1;
        }
    }
    else {
        mask = Cand_PickAccelerators(from, cand->allowed[w->index],
                                     cand->req->accelerators);
    }
    if (cand->org != NULL && !Cand_UseCells(cand, w, mask)) {
        return false;
    }
    cand->taken[w->index] |= mask;
    cand->usable[w->index] &= ~mask;
    cand->tasks[w->index]++;
    cand->placed++;
    Cand_AddVictims(cand, w, mask);
    return true;
}
