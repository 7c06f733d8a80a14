#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define TASK_ACCELERATORS_MAX (1 << 20) /* tasks x this fits an int */

/* Whether all fields of a request are in range. */
static bool
request_valid(const struct cells_request *req)
{
    return req->job != 0 && Str_IsName(req->organisation) && req->tasks >= 1 &&
           req->tasks <= CELLS_TASKS_MAX && req->accelerators >= 1 &&
           req->accelerators <= TASK_ACCELERATORS_MAX &&
           req->within <= CELLS_LEVEL_ALL && req->estimate_ms >= 0 &&
           req->grace_ms >= 0 && req->start_within_ms >= 0;
}

/* Counts for each node the empty workers below it that are up. */
static int *
count_empty_workers(const struct cells *c)
{
    int *empty_workers = Mem_Zero((size_t)c->nodes, sizeof(*empty_workers));

    for (int i = 0; i < c->workers; i++) {
        const struct worker *w = c->worker[i];

        if (w == NULL || w->busy != 0 || w->state != CELLS_WORKER_UP) {
            continue;
        }
        for (const struct node *n = w->node; n != NULL; n = n->parent) {
            empty_workers[n->index]++;
        }
    }
    return empty_workers;
}

/* Writes the parts of the best candidate, ordered by worker. */
static void
write_parts(struct cells_plan *plan, const struct candidate *cand)
{
    plan->part = Mem_Zero((size_t)plan->request.tasks, sizeof(*plan->part));
    for (int i = 0; i < cand->c->workers; i++) {
        if (cand->tasks[i] > 0) {
            plan->part[plan->parts++] =
                (struct cells_part){i, cand->taken[i], cand->tasks[i]};
        }
    }
}

/* Writes the victims of the best candidate. Returns whether one of them is a
 * guaranteed job, which is then the organisation's own. */
static bool
write_victims(struct cells_plan *plan, const struct candidate *cand)
{
    bool own = false;

    plan->victim = Mem_Zero((size_t)cand->victim_count, sizeof(*plan->victim));
    for (int i = 0; i < cand->victim_count; i++) {
        struct cells_job_info info;

        CellsJob_Describe(cand->victim[i], &info);
        own = own || info.guaranteed;
        plan->victim[plan->victims++] =
            Cells_LostWork(&info, cand->now, cand->req->start_within_ms);
    }
    return own;
}

/* Writes the best candidate into the plan. */
static void
write_plan(const struct planner *p, struct cells_plan *plan)
{
    const struct candidate *cand = &p->best;
    size_t size = sizeof(*plan->move) * (size_t)cand->move_count;
    bool own;

    write_parts(plan, cand);
    own = write_victims(plan, cand);
    plan->move = Mem_Alloc(size);
    if (size > 0) {
        memcpy(plan->move, cand->move, size);
    }
    plan->moves = cand->move_count;
    plan->reason = CELLS_PLACED_FREE;
    if (plan->victims > 0) {
        plan->reason = plan->request.guaranteed && !own ? CELLS_PLACED_RECLAIM
                                                        : CELLS_PLACED_PREEMPT;
    }
    else if (plan->moves > 0) {
        plan->reason = CELLS_PLACED_MOVED;
    }
}

/* Finds out why no candidate could place the request. */
static enum cells_reason
unplaced_reason(const struct planner *p, struct cells_score *score)
{
    struct candidate cand = Planner_NewCandidate(p);
    enum cells_reason reason;

    Cand_Init(&cand);
    score->wanted_accelerators = p->req->tasks * p->req->accelerators;
    score->free_accelerators = Cand_FreeAccelerators(&cand);
    reason = Cand_UnplacedReason(&cand);
    Cand_Clear(&cand);
    return reason;
}

/* Decides where a job runs, without changing the state. */
enum cells_reason
Cells_Plan(const struct cells *c, const struct cells_request *request,
           const struct cells_weights *weights, int64_t now,
           struct cells_plan *plan)
{
    struct planner p = {
        .c = c, .req = &plan->request, .weights = weights, .now = now};

    memset(plan, 0, sizeof(*plan));
    plan->request = *request;
    plan->generation = c->generation;
    plan->planned_at = now;
    plan->reason = CELLS_NEVER_INVALID;
    if (!request_valid(request)) {
        return plan->reason;
    }
    p.empty_workers = count_empty_workers(c);
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
        Cand_Clear(&p.best);
    }
    else {
        plan->reason = unplaced_reason(&p, &plan->score);
    }
    plan->score.candidates = p.candidates;
    free(p.empty_workers);
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
