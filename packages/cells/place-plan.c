#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define ACCELERATORS_LIMIT (1 << 20) /* of a task; keeps sums in an int */
#define LIMITS_MAX 16 /* sizes of own cells that are told apart */

/* One planning: the best way so far. */
struct planner {
    const struct cells *c;
    const struct cells_request *q;
    const struct cells_weights *weights;
    int64_t now;
    struct org *org;
    int *whole; /* by node: wholly free workers below it */
    struct way best;
    struct cells_score score;
    bool found;
    int ways;
};

/* Whether all fields of a request are in range. */
static bool
request_valid(const struct cells_request *q)
{
    return q->job != 0 && Str_IsName(q->organisation) && q->tasks >= 1 &&
           q->tasks <= CELLS_TASKS_MAX && q->accelerators >= 1 &&
           q->accelerators <= ACCELERATORS_LIMIT &&
           q->within <= CELLS_LEVEL_ALL && q->estimate_ms >= 0 &&
           q->grace_ms >= 0 && q->start_within_ms >= 0;
}

/* Counts wholly free healthy workers, summed up the tree. */
static int *
count_whole(const struct cells *c)
{
    int *whole = Mem_Zero((size_t)c->nodes, sizeof(*whole));

    for (int i = 0; i < c->workers; i++) {
        const struct worker *w = c->worker[i];

        if (w == NULL || w->busy != 0 || w->state != CELLS_WORKER_UP) {
            continue;
        }
        for (const struct node *n = w->node; n != NULL; n = n->parent) {
            whole[n->index]++;
        }
    }
    return whole;
}

/* A way with the request's data, its masks not made yet. */
static struct way
new_way(const struct planner *p)
{
    return (struct way){.c = p->c,
                        .q = p->q,
                        .weights = p->weights,
                        .now = p->now,
                        .org = p->org,
                        .limit = INT32_MAX};
}

/* Keeps a way that has placed the request when it costs less than the best
 * one; the earlier of two equal ones stays. */
static void
weigh(struct planner *p, struct way *w)
{
    struct cells_score score = Way_Score(w, p->whole);

    p->ways++;
    if (score.near > p->q->within ||
        (p->found && score.cost >= p->score.cost)) {
        Way_Clear(w);
        return;
    }
    Way_Clear(&p->best);
    p->best = *w;
    p->score = score;
    p->found = true;
}

/* Tries one way on free accelerators. */
static void
try_free(struct planner *p, struct way w)
{
    Way_Init(&w);
    if (Way_Fill(&w, p->whole)) {
        weigh(p, &w);
    }
    else {
        Way_Clear(&w);
    }
}

/* Tries one way with victims, at the lowest level that has room for the
 * gang and at the one above, where less work may be lost. */
static void
try_reclaim(struct planner *p, struct way proto)
{
    struct way w = proto;
    int lowest;

    Way_Init(&w);
    Way_Caps(&w);
    lowest = Way_Lowest(&w);
    for (int level = lowest; level <= lowest + 1 && level <= (int)p->q->within;
         level++) {
        if (w.c == NULL) {
            w = proto;
            Way_Init(&w);
        }
        if (Way_Reclaim(&w, (enum cells_level)level)) {
            weigh(p, &w);
            w.c = NULL;
        }
        else {
            Way_Clear(&w);
        }
    }
    if (w.c != NULL) {
        Way_Clear(&w);
    }
}

/* The sizes of an organisation's cells, ascending; returns how many. */
static int
own_sizes(const struct org *org, int *size)
{
    const struct cell *cell;
    int n = 0;

    TAILQ_FOREACH (cell, &org->cells, of_org) {
        int s = Shape_Size(cell->shape), i = 0;

        while (i < n && size[i] < s) {
            i++;
        }
        if ((i < n && size[i] == s) || n == LIMITS_MAX) {
            continue;
        }
        memmove(&size[i + 1], &size[i], sizeof(*size) * (size_t)(n - i));
        size[i] = s;
        n++;
    }
    return n;
}

/* Tries own cells, small ones first so that larger ones stay whole, with
 * bindings as they are and with bindings that move. */
static void
try_own_cells(struct planner *p, enum way_victims victims)
{
    int size[LIMITS_MAX + 1];
    int n = own_sizes(p->org, size);
    bool fixed = p->weights->baseline & CELLS_BASELINE_FIXED;

    for (int i = 0; i < n; i++) {
        for (int moves = 0; moves <= !fixed; moves++) {
            struct way w = new_way(p);

            w.limit = size[i];
            w.moves = moves;
            w.victims = victims;
            if (victims == WAY_NO_VICTIMS) {
                try_free(p, w);
            }
            else {
                try_reclaim(p, w);
            }
        }
    }
}

/* Guaranteed: free accelerators of own cells, then those with lent work on
 * them, and only then lower priorities of the own organisation. */
static void
try_guaranteed(struct planner *p)
{
    if (p->org == NULL) {
        return;
    }
    try_own_cells(p, WAY_NO_VICTIMS);
    if (!p->found || p->score.near > CELLS_LEVEL_WORKER) {
        try_own_cells(p, WAY_LENT);
    }
    if (!p->found && p->q->preempt) {
        try_own_cells(p, WAY_OWN);
    }
}

/* Lent: what no cell holds, then anything free; on workers in use already
 * and on all; lower priorities last. */
static void
try_lent(struct planner *p)
{
    for (int i = 0; i < 4; i++) {
        struct way w = new_way(p);

        w.unbound = i < 2;
        w.tight = i % 2;
        try_free(p, w);
    }
    if (!p->found && p->q->preempt) {
        struct way w = new_way(p);

        w.victims = WAY_LENT;
        try_reclaim(p, w);
    }
}

/* Writes the parts of the best way, by worker. */
static void
write_parts(struct cells_plan *plan, const struct way *w)
{
    plan->part = Mem_Zero((size_t)plan->request.tasks, sizeof(*plan->part));
    for (int i = 0; i < w->c->workers; i++) {
        if (w->tasks[i] > 0) {
            plan->part[plan->parts++] =
                (struct cells_part){i, w->taken[i], w->tasks[i]};
        }
    }
}

/* Writes the victims of the best way. Returns whether one of them is of the
 * organisation's own guaranteed work. */
static bool
write_victims(struct cells_plan *plan, const struct way *w)
{
    bool own = false;

    plan->victim = Mem_Zero((size_t)w->victim_count, sizeof(*plan->victim));
    for (int i = 0; i < w->victim_count; i++) {
        struct cells_job_info info;

        Jobs_Info(w->victim[i], &info);
        own = own || info.guaranteed;
        plan->victim[plan->victims++] =
            Cells_LostWork(&info, w->now, w->q->start_within_ms);
    }
    return own;
}

/* Writes the best way into the plan. */
static void
write_plan(const struct planner *p, struct cells_plan *plan)
{
    const struct way *w = &p->best;
    size_t size = sizeof(*plan->move) * (size_t)w->move_count;
    bool own;

    write_parts(plan, w);
    own = write_victims(plan, w);
    plan->move = Mem_Alloc(size);
    if (size > 0) {
        memcpy(plan->move, w->move, size);
    }
    plan->moves = w->move_count;
    plan->reason = CELLS_PLACED_FREE;
    if (plan->victims > 0) {
        plan->reason = plan->request.guaranteed && !own ? CELLS_PLACED_RECLAIM
                                                        : CELLS_PLACED_PREEMPT;
    }
    else if (plan->moves > 0) {
        plan->reason = CELLS_PLACED_MOVED;
    }
}

/* Finds out why there is no way. */
static enum cells_reason
why_not(const struct planner *p, struct cells_score *score)
{
    struct way w = new_way(p);
    enum cells_reason reason;

    Way_Init(&w);
    score->wanted_accelerators = p->q->tasks * p->q->accelerators;
    score->free_accelerators = Way_Free(&w);
    reason = Way_WhyNot(&w);
    Way_Clear(&w);
    return reason;
}

/* Decides where a job goes, without effect. */
enum cells_reason
Cells_Plan(const struct cells *c, const struct cells_request *request,
           const struct cells_weights *weights, int64_t now,
           struct cells_plan *plan)
{
    struct planner p = {
        .c = c, .q = &plan->request, .weights = weights, .now = now};

    memset(plan, 0, sizeof(*plan));
    plan->request = *request;
    plan->state = c->state;
    plan->at = now;
    plan->reason = CELLS_NEVER_INVALID;
    if (!request_valid(request)) {
        return plan->reason;
    }
    p.whole = count_whole(c);
    if (request->guaranteed) {
        p.org = Org_Find(c, request->organisation);
        try_guaranteed(&p);
    }
    else {
        try_lent(&p);
    }
    if (p.found) {
        write_plan(&p, plan);
        plan->score = p.score;
        Way_Clear(&p.best);
    }
    else {
        plan->reason = why_not(&p, &plan->score);
    }
    plan->score.ways = p.ways;
    free(p.whole);
    return plan->reason;
}

/* Frees a plan's lists. */
void
Cells_PlanClear(struct cells_plan *plan)
{
    free(plan->part);
    free(plan->victim);
    free(plan->move);
    plan->part = NULL;
    plan->victim = NULL;
    plan->move = NULL;
    plan->parts = 0;
    plan->victims = 0;
    plan->moves = 0;
}
