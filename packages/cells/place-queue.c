#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

#define REASON(r, name) [r] = (name)

static const char *const reasons[] = {
    REASON(PLACE_START_HEAD, "start_head"),
    REASON(PLACE_START_BACKFILL_ENDS, "backfill_ends_before"),
    REASON(PLACE_START_BACKFILL_ROOM, "backfill_leaves_room"),
    REASON(PLACE_START_UNRESERVED, "start_unreserved"),
    REASON(PLACE_NEVER, "never"),
    REASON(PLACE_WAIT, "wait"),
    REASON(PLACE_EMPTY, "empty"),
};

/* The reason's name in logs and replies. */
const char *
Place_ReasonName(enum place_reason reason)
{
    return (size_t)reason < COUNT_OF(reasons) ? reasons[reason] : "unnamed";
}

/* Id of the placeholder job that occupies reserved accelerators in a copy of
 * the state. */
#define PLACEHOLDER_JOB UINT64_MAX

/* The reservation of a job that can't start yet. Jobs behind it must not delay
 * it. */
struct reservation {
    const struct cells_request *req;
    bool computed; /* start_at and occupied are set */
    int64_t start_at;
    /* The current state in which the placeholder job occupies the reserved
     * accelerators; NULL if the job is never expected to fit. */
    struct cells *occupied;
};

/* One pass over the queue. */
struct pass {
    const struct cells *c;
    const struct place_options *options;
    int64_t now;
    struct reservation reservation[PLACE_LOOKAHEAD + 1];
    int reservations;
};

/* Whether two requests compete for the same accelerators: lent jobs use all
 * that are free, guaranteed ones their own organisation's cells. */
static bool
same_pool(const struct cells_request *a, const struct cells_request *b)
{
    if (a->guaranteed != b->guaranteed) {
        return false;
    }
    return !a->guaranteed || strcmp(a->organisation, b->organisation) == 0;
}

/* Finds the reservation that a request must not delay, or NULL. */
static struct reservation *
reservation_for(struct pass *p, const struct cells_request *req)
{
    for (int i = 0; i < p->reservations; i++) {
        if (same_pool(p->reservation[i].req, req)) {
            return &p->reservation[i];
        }
    }
    return NULL;
}

/* Returns a copy of the state in which the placeholder job occupies the
 * accelerators that the request is expected to use and that are free now. */
static struct cells *
occupy_reserved(const struct pass *p, const struct cells *future,
                const struct cells_request *req)
{
    struct cells *occupied = Cells_Clone(p->c);
    struct cells_plan plan CLEANUP(Cells_PlanClear);
    struct cells_request holder = *req;
    int n = 0;

    Cells_Plan(future, req, &p->options->weights, p->now, &plan);
    for (int i = 0; i < plan.parts; i++) {
        const struct worker *w = occupied->worker[plan.part[i].worker];
        uint64_t mask = plan.part[i].mask & ~w->busy;

        if (mask != 0) {
            plan.part[n++] = (struct cells_part){w->index, mask, 1};
        }
    }
    holder.job = PLACEHOLDER_JOB;
    holder.guaranteed = false;
    holder.priority = INT32_MAX;
    Cells_Adopt(occupied, &holder, plan.part, n, p->now);
    return occupied;
}

/* Reserves for a request that can't start, unless an earlier request of its
 * pool already holds a reservation. */
static void
reserve(struct pass *p, const struct cells_request *req)
{
    if (!p->options->no_reservation && reservation_for(p, req) == NULL) {
        p->reservation[p->reservations++] = (struct reservation){.req = req};
    }
}

/* Computes the time and accelerators of a reservation. This is done only when
 * a later job could start, because a forecast costs about ten calls of
 * Cells_Plan. */
static void
compute_reservation(const struct pass *p, struct reservation *r)
{
    struct cells *future CLEANUP(Cells_FreeP) = NULL;

    if (r->computed) {
        return;
    }
    r->computed = true;
    r->start_at = Place_ForecastState(p->c, r->req, &p->options->weights,
                                      p->now, &future);
    if (future != NULL) {
        r->occupied = occupy_reserved(p, future, r->req);
    }
}

/* Plans a request beside the reservation. The plan can be committed to the
 * original state, from which the copy differs only by the placeholder job. */
static bool
plan_around_reservation(const struct pass *p, const struct reservation *r,
                        struct cells_plan *plan)
{
    struct cells_request req = plan->request;

    Cells_PlanClear(plan);
    Cells_Plan(r->occupied, &req, &p->options->weights, p->now, plan);
    plan->generation = p->c->generation;
    for (int i = 0; i < plan->victims; i++) {
        if (plan->victim[i].job == PLACEHOLDER_JOB) {
            return false;
        }
    }
    return Cells_IsPlaced(plan->reason);
}

/* Decides whether a request that can be placed may start ahead of the
 * reservation of its pool. If it would run past the reserved time, it is
 * planned again beside the reservation. */
static enum place_reason
may_start(struct pass *p, int index, struct cells_plan *plan)
{
    struct reservation *r = reservation_for(p, &plan->request);

    if (r == NULL) {
        return index == 0 ? PLACE_START_HEAD : PLACE_START_UNRESERVED;
    }
    if (p->options->no_backfill) {
        return PLACE_WAIT;
    }
    compute_reservation(p, r);
    if (r->start_at == INT64_MAX) {
        return PLACE_START_UNRESERVED;
    }
    if (p->now + Place_RunTime(&plan->request) <= r->start_at) {
        return PLACE_START_BACKFILL_ENDS;
    }
    return plan_around_reservation(p, r, plan) ? PLACE_START_BACKFILL_ROOM
                                               : PLACE_WAIT;
}

/* Plans one request: it starts, can never start, or waits, with a reservation
 * if its pool has none yet. */
static enum place_reason
try_request(struct pass *p, const struct cells_request *queue, int i,
            struct cells_plan *plan)
{
    Cells_Plan(p->c, &queue[i], &p->options->weights, p->now, plan);
    if (Cells_IsUnplaceable(plan->reason)) {
        return PLACE_NEVER;
    }
    if (Cells_IsPlaced(plan->reason)) {
        return may_start(p, i, plan);
    }
    reserve(p, &queue[i]);
    return PLACE_WAIT;
}

/* Frees the copies of the state that the reservations hold. */
static void
pass_clear(struct pass *p)
{
    for (int i = 0; i < p->reservations; i++) {
        Cells_Free(p->reservation[i].occupied);
    }
}

/* Picks the next job to start. */
enum place_reason
Place_Next(const struct cells *c, const struct cells_request *queue, int n,
           const struct place_options *options, int64_t now,
           struct place_decision *d)
{
    struct pass p CLEANUP(pass_clear) = {c, options, now, .reservations = 0};

    memset(d, 0, sizeof(*d));
    d->index = CELLS_NONE;
    d->reason = n > 0 ? PLACE_WAIT : PLACE_EMPTY;
    for (int i = 0; i < n && i <= PLACE_LOOKAHEAD; i++) {
        struct cells_plan plan;
        enum place_reason reason = try_request(&p, queue, i, &plan);

        d->tried++;
        if (reason != PLACE_WAIT || i == 0) {
            Cells_PlanClear(&d->plan);
            d->plan = plan;
        }
        else {
            Cells_PlanClear(&plan);
        }
        if (reason != PLACE_WAIT) {
            d->reason = reason;
            d->index = i;
            break;
        }
    }
    if (p.reservations > 0) {
        d->reserved_for = p.reservation[0].req->job;
        d->reserved_at = p.reservation[0].start_at;
    }
    return d->reason;
}

/* Frees a decision's plan. */
void
Place_DecisionClear(struct place_decision *decision)
{
    Cells_PlanClear(&decision->plan);
}
