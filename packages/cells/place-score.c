#include "cells-impl.h"

#include <string.h>

/* Costs of one level of distance, one empty worker or rack that is newly used,
 * and one binding that moves, in seconds of the request's own run time. Only
 * their ratios matter; docs/design/cells.md compares other values. */
#define LEVEL_COST_S 1800
#define NEWLY_USED_COST_S 600
#define MOVE_COST 1

/* Lowest level at which one node contains all tasks. */
static enum cells_level
common_level_of(const struct candidate *cand)
{
    int first = CELLS_NONE;
    enum cells_level common = CELLS_LEVEL_WORKER;

    for (int i = 0; i < cand->c->workers; i++) {
        enum cells_level level;

        if (cand->tasks[i] == 0) {
            continue;
        }
        if (first == CELLS_NONE) {
            first = i;
        }
        level = Cells_CommonLevel(cand->c, first, i);
        common = level > common ? level : common;
    }
    return common;
}

/* Whether a rack was empty and the candidate uses part of it. */
static bool
takes_from_rack(const struct candidate *cand, const int *empty_workers,
                const struct node *rack)
{
    const struct node *n;
    bool used = false;

    TAILQ_FOREACH (n, &rack->children, sibling) {
        used = used || cand->taken[n->worker->index] != 0;
    }
    return used && empty_workers[rack->index] == rack->worker_count;
}

/* Counts the accelerators of a place that the candidate does not use. */
static int
unused_accelerators(const struct candidate *cand, int workers,
                    const int *worker, const uint64_t *mask)
{
    int n = 0;

    for (int i = 0; i < workers; i++) {
        n += __builtin_popcountll(mask[i] & ~cand->taken[worker[i]]);
    }
    return n;
}

/* Counts the accelerators that stay idle in own cells which this candidate is
 * the first to use. */
static int
wasted(const struct candidate *cand)
{
    const struct cell *cell;
    int n = 0;

    for (int i = 0; i < cand->move_count; i++) {
        n += unused_accelerators(cand, cand->move[i].workers,
                                 cand->move[i].worker, cand->move[i].mask);
    }
    if (cand->org == NULL) {
        return 0;
    }
    TAILQ_FOREACH (cell, &cand->org->cells, org_entry) {
        uint64_t mask[CELLS_RACK_MAX];

        if (cand->mark[cell->index] != CELL_USED || cell->in_use > 0) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            mask[i] = Place_Mask(cand->c, &cell->place, i);
        }
        n += unused_accelerators(cand, cell->place.workers, cell->place.worker,
                                 mask);
    }
    return n;
}

/* Counts the empty workers and racks that the candidate starts to use. Of two
 * placements, the one that starts to use fewer leaves more of them for the
 * next gang. */
static int
newly_used(const struct candidate *cand, const int *empty_workers)
{
    int n = 0;

    for (int i = 0; i < cand->c->workers; i++) {
        const struct worker *w = cand->c->worker[i];

        n += cand->taken[i] != 0 && w->busy == 0;
    }
    for (int i = 0; i < cand->c->nodes; i++) {
        const struct node *node = cand->c->node[i];

        n += node != NULL && node->level == CELLS_LEVEL_RACK &&
             takes_from_rack(cand, empty_workers, node);
    }
    return n;
}

/* Work that all victims lose. */
static int64_t
lost_work(const struct candidate *cand)
{
    int64_t sum = 0;

    for (int i = 0; i < cand->victim_count; i++) {
        struct cells_job_info info;

        CellsJob_Describe(cand->victim[i], &info);
        sum += Cells_LostWork(&info, cand->now, cand->req->start_within_ms)
                   .lost_work;
    }
    return sum;
}

/* Counts the free accelerators that the request may use without victims or
 * moves. */
int
Cand_FreeAccelerators(const struct candidate *cand)
{
    int n = 0;

    for (int i = 0; i < cand->c->workers; i++) {
        const struct worker *w = cand->c->worker[i];

        if (w != NULL && w->state == CELLS_WORKER_UP) {
            n += __builtin_popcountll(cand->allowed[i] & ~w->busy);
        }
    }
    return n;
}

/* Scores a candidate that has placed the request. Lost work and victims count
 * with the sum of both weights, because they delay the jobs that are
 * displaced. */
struct cells_score
Cand_Score(const struct candidate *cand, const int *empty_workers)
{
    int64_t completion = cand->weights->completion;
    int64_t fragmentation = cand->weights->fragmentation;
    int64_t both = completion + fragmentation;
    struct cells_score s = {
        .free_accelerators = Cand_FreeAccelerators(cand),
        .wanted_accelerators = cand->req->tasks * cand->req->accelerators,
        .common_level = common_level_of(cand),
        .newly_used = newly_used(cand, empty_workers),
        .wasted = wasted(cand),
        .lost_work = lost_work(cand),
    };

    s.cost = completion * LEVEL_COST_S * (int64_t)s.common_level +
             fragmentation * NEWLY_USED_COST_S * s.newly_used +
             both * (s.lost_work / 1000 / s.wanted_accelerators) +
             both * VICTIM_COST_S * cand->victim_count +
             MOVE_COST * cand->move_count;
    return s;
}

/* Sets usable and cap from the allowed accelerators or from all, and
 * optionally only from workers that are up. */
static void
fill_caps(struct candidate *cand, bool own_only, bool only_up)
{
    for (int i = 0; i < cand->c->workers; i++) {
        const struct worker *w = cand->c->worker[i];

        if (w != NULL) {
            bool included = !only_up || w->state == CELLS_WORKER_UP;

            cand->usable[i] = !included  ? 0
                              : own_only ? cand->allowed[i]
                                         : w->all;
        }
    }
    Cand_UpdateCaps(cand);
}

/* Counts the tasks that fit into the organisation's cells by their shapes,
 * with or without a place. */
static int64_t
tasks_by_shape(const struct candidate *cand, int largest)
{
    const struct cell *cell;
    int64_t n = 0;

    TAILQ_FOREACH (cell, &cand->org->cells, org_entry) {
        int k = cell->shape.workers ? cell->shape.workers : 1;
        int each = cell->shape.workers ? largest : cell->shape.accelerators;

        for (int i = 0; i < cell->place.workers && cell->shape.workers; i++) {
            const struct worker *w = cand->c->worker[cell->place.worker[i]];

            n += w->info.accelerators / cand->req->accelerators;
            k--;
        }
        n += (int64_t)k * (each / cand->req->accelerators);
    }
    return n;
}

/* The largest number of accelerators of any worker. */
static int
most_on_worker(const struct cells *c)
{
    int most = 0;

    for (int i = 0; i < c->workers; i++) {
        const struct worker *w = c->worker[i];

        if (w != NULL && w->info.accelerators > most) {
            most = w->info.accelerators;
        }
    }
    return most;
}

/* Returns why the request would not fit even an empty, healthy topology, or
 * CELLS_PLACED_FREE if it would. */
static enum cells_reason
never_reason(struct candidate *cand)
{
    if (cand->req->accelerators > most_on_worker(cand->c)) {
        return CELLS_NEVER_TASK;
    }
    fill_caps(cand, false, false);
    if (cand->cap[cand->c->root->index] < cand->req->tasks) {
        return CELLS_NEVER_GANG;
    }
    if (Cand_LowestLevel(cand) > (int)cand->req->within) {
        return CELLS_NEVER_WITHIN;
    }
    return CELLS_PLACED_FREE;
}

/* Returns why a guaranteed request waits or can never be placed. */
static enum cells_reason
why_not_guaranteed(struct candidate *cand)
{
    fill_caps(cand, true, false);
    if (cand->cap[cand->c->root->index] < cand->req->tasks &&
        tasks_by_shape(cand, most_on_worker(cand->c)) < cand->req->tasks) {
        return CELLS_NEVER_GUARANTEE;
    }
    fill_caps(cand, true, true);
    return cand->cap[cand->c->root->index] < cand->req->tasks
               ? CELLS_WAIT_HEALTH
               : CELLS_WAIT_GUARANTEE;
}

/* Returns why no candidate could place the request, and overwrites the masks
 * of this one. */
enum cells_reason
Cand_UnplacedReason(struct candidate *cand)
{
    int free_accelerators = Cand_FreeAccelerators(cand);
    enum cells_reason reason = never_reason(cand);

    if (Cells_IsUnplaceable(reason)) {
        return reason;
    }
    if (cand->req->guaranteed) {
        return cand->org ? why_not_guaranteed(cand) : CELLS_NEVER_GUARANTEE;
    }
    return free_accelerators >= cand->req->tasks * cand->req->accelerators
               ? CELLS_WAIT_FRAGMENTED
               : CELLS_WAIT_FULL;
}
