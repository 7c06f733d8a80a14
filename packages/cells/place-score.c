#include "cells-impl.h"

#include <string.h>

/* What one level of distance, one block taken from and one binding that
 * moves weigh, as seconds of the request's own run time. Only
 * their ratios matter: docs/design/cells.md has the trials. */
#define NEAR_COST 1800
#define BROKEN_COST 600
#define MOVE_COST 1

/* The lowest level whose node holds all tasks. */
static enum cells_level
nearness(const struct way *w)
{
    int first = CELLS_NONE;
    enum cells_level near = CELLS_LEVEL_WORKER;

    for (int i = 0; i < w->c->workers; i++) {
        enum cells_level level;

        if (w->tasks[i] == 0) {
            continue;
        }
        if (first == CELLS_NONE) {
            first = i;
        }
        level = Cells_Near(w->c, first, i);
        near = level > near ? level : near;
    }
    return near;
}

/* Whether a rack was wholly free and is now taken from. */
static bool
takes_from_rack(const struct way *w, const int *whole, const struct node *rack)
{
    const struct node *n;
    bool used = false;

    TAILQ_FOREACH (n, &rack->children, sibling) {
        used = used || w->taken[n->worker->index] != 0;
    }
    return used && whole[rack->index] == rack->below;
}

/* Accelerators of a place that the way has not taken. */
static int
left_of(const struct way *w, int workers, const int *worker,
        const uint64_t *mask)
{
    int n = 0;

    for (int i = 0; i < workers; i++) {
        n += __builtin_popcountll(mask[i] & ~w->taken[worker[i]]);
    }
    return n;
}

/* Idle accelerators that stay behind in own cells which this way is the
 * first to use. */
static int
wasted(const struct way *w)
{
    const struct cell *cell;
    int n = 0;

    for (int i = 0; i < w->move_count; i++) {
        n +=
            left_of(w, w->move[i].workers, w->move[i].worker, w->move[i].mask);
    }
    if (w->org == NULL) {
        return 0;
    }
    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        uint64_t mask[CELLS_RACK_MAX];

        if (w->mark[cell->index] != WAY_OPENED || cell->held > 0) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            mask[i] = Place_Mask(w->c, &cell->place, i);
        }
        n += left_of(w, cell->place.workers, cell->place.worker, mask);
    }
    return n;
}

/* Wholly free workers and racks that are taken from. Of two places for a job,
 * the one that takes from fewer leaves more whole for the next gang. */
static int
broken(const struct way *w, const int *whole)
{
    int n = 0;

    for (int i = 0; i < w->c->workers; i++) {
        const struct worker *at = w->c->worker[i];

        n += w->taken[i] != 0 && at->busy == 0;
    }
    for (int i = 0; i < w->c->nodes; i++) {
        const struct node *at = w->c->node[i];

        n += at != NULL && at->level == CELLS_LEVEL_RACK &&
             takes_from_rack(w, whole, at);
    }
    return n;
}

/* Work that all victims lose. */
static int64_t
lost_work(const struct way *w)
{
    int64_t sum = 0;

    for (int i = 0; i < w->victim_count; i++) {
        struct cells_job_info info;

        Jobs_Info(w->victim[i], &info);
        sum += Cells_LostWork(&info, w->now, w->q->start_within_ms).lost_work;
    }
    return sum;
}

/* Free accelerators that the request may use without victims or moves. */
int
Way_Free(const struct way *w)
{
    int n = 0;

    for (int i = 0; i < w->c->workers; i++) {
        const struct worker *at = w->c->worker[i];

        if (at != NULL && at->state == CELLS_WORKER_UP) {
            n += __builtin_popcountll(w->open[i] & ~at->busy);
        }
    }
    return n;
}

/* Weighs a way that has placed the request. Lost work counts whatever the
 * weights, for it delays whoever loses it. */
struct cells_score
Way_Score(const struct way *w, const int *whole)
{
    int64_t completion = w->weights->completion;
    int64_t fragmentation = w->weights->fragmentation;
    int64_t both = completion + fragmentation;
    struct cells_score s = {
        .free_accelerators = Way_Free(w),
        .wanted_accelerators = w->q->tasks * w->q->accelerators,
        .near = nearness(w),
        .broken = broken(w, whole),
        .wasted = wasted(w),
        .lost_work = lost_work(w),
    };

    s.cost = completion * NEAR_COST * (int64_t)s.near +
             fragmentation * BROKEN_COST * s.broken +
             both * (s.lost_work / 1000 / s.wanted_accelerators) +
             both * VICTIM_COST * w->victim_count + MOVE_COST * w->move_count;
    return s;
}

/* Tasks that some accelerators of each worker would hold, by node. */
static void
cap_of(struct way *w, bool own, bool only_up)
{
    for (int i = 0; i < w->c->workers; i++) {
        const struct worker *at = w->c->worker[i];

        if (at != NULL) {
            bool in = !only_up || at->state == CELLS_WORKER_UP;

            w->usable[i] = !in ? 0 : own ? w->open[i] : at->all;
        }
    }
    Way_Caps(w);
}

/* Tasks that the organisation's cells hold by their shapes alone. */
static int64_t
tasks_by_shape(const struct way *w, int most)
{
    const struct cell *cell;
    int64_t n = 0;

    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        int k = cell->shape.workers ? cell->shape.workers : 1;
        int each = cell->shape.workers ? most : cell->shape.accelerators;

        for (int i = 0; i < cell->place.workers && cell->shape.workers; i++) {
            const struct worker *at = w->c->worker[cell->place.worker[i]];

            n += at->info.accelerators / w->q->accelerators;
            k--;
        }
        n += (int64_t)k * (each / w->q->accelerators);
    }
    return n;
}

/* The most accelerators of any worker. */
static int
most_on_worker(const struct cells *c)
{
    int most = 0;

    for (int i = 0; i < c->workers; i++) {
        const struct worker *at = c->worker[i];

        if (at != NULL && at->info.accelerators > most) {
            most = at->info.accelerators;
        }
    }
    return most;
}

/* Why the request would never fit even an empty, healthy topology; a
 * PLACED reason when it would. */
static enum cells_reason
never(struct way *w)
{
    if (w->q->accelerators > most_on_worker(w->c)) {
        return CELLS_NEVER_TASK;
    }
    cap_of(w, false, false);
    if (w->cap[w->c->root->index] < w->q->tasks) {
        return CELLS_NEVER_GANG;
    }
    if (Way_Lowest(w) > (int)w->q->within) {
        return CELLS_NEVER_WITHIN;
    }
    return CELLS_PLACED_FREE;
}

/* Why a guaranteed request waits, or can't ever be placed. */
static enum cells_reason
why_not_guaranteed(struct way *w)
{
    cap_of(w, true, false);
    if (w->cap[w->c->root->index] < w->q->tasks &&
        tasks_by_shape(w, most_on_worker(w->c)) < w->q->tasks) {
        return CELLS_NEVER_GUARANTEE;
    }
    cap_of(w, true, true);
    return w->cap[w->c->root->index] < w->q->tasks ? CELLS_WAIT_HEALTH
                                                   : CELLS_WAIT_GUARANTEE;
}

/* Uses the masks of a way that found nothing. */
enum cells_reason
Way_WhyNot(struct way *w)
{
    int open = Way_Free(w);
    enum cells_reason reason = never(w);

    if (Cells_IsNever(reason)) {
        return reason;
    }
    if (w->q->guaranteed) {
        return w->org ? why_not_guaranteed(w) : CELLS_NEVER_GUARANTEE;
    }
    return open >= w->q->tasks * w->q->accelerators ? CELLS_WAIT_FRAGMENTED
                                                    : CELLS_WAIT_FULL;
}
