#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define ACCELERATORS_LIMIT (1 << 20) /* of a task; keeps sums in an int */

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
    struct way w = Planner_Way(p);
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
        Planner_TryGuaranteed(&p);
    }
    else {
        Planner_TryLent(&p);
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
