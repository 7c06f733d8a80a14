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

/* The word for logs and answers. */
const char *
Place_ReasonName(enum place_reason reason)
{
    return (size_t)reason < COUNT_OF(reasons) ? reasons[reason] : "unnamed";
}

/* Stands on the accelerators that a reservation will use. */
#define PLACEHOLDER UINT64_MAX

/* What a job that can't start yet holds back from those behind it. */
struct reservation {
    const struct cells_request *q;
    bool known; /* at and held are worked out */
    int64_t at;
    /* The account of now with the placeholder; NULL: never. */
    struct cells *held;
};

/* A pass over the queue. */
struct pass {
    const struct cells *c;
    const struct place_options *options;
    int64_t now;
    struct reservation held[PLACE_LOOKAHEAD + 1];
    int count;
};

/* Whether two requests draw on the same accelerators: lent work on all that
 * is free, guaranteed work on its own organisation's cells. */
static bool
same_pool(const struct cells_request *a, const struct cells_request *b)
{
    if (a->guaranteed != b->guaranteed) {
        return false;
    }
    return !a->guaranteed || strcmp(a->organisation, b->organisation) == 0;
}

/* The reservation that a request must respect, or NULL. */
static struct reservation *
reservation_for(struct pass *p, const struct cells_request *q)
{
    for (int i = 0; i < p->count; i++) {
        if (same_pool(p->held[i].q, q)) {
            return &p->held[i];
        }
    }
    return NULL;
}

/* A copy of the account in which those accelerators that the request will
 * have, and that are free now, are taken by the placeholder. */
static struct cells *
hold_room(const struct pass *p, const struct cells *then,
          const struct cells_request *q)
{
    struct cells *held = Cells_Clone(p->c);
    struct cells_plan plan CLEANUP(Cells_PlanClear);
    struct cells_request holder = *q;
    int n = 0;

    Cells_Plan(then, q, &p->options->weights, p->now, &plan);
    for (int i = 0; i < plan.parts; i++) {
        const struct worker *w = held->worker[plan.part[i].worker];
        uint64_t mask = plan.part[i].mask & ~w->busy;

        if (mask != 0) {
            plan.part[n++] = (struct cells_part){w->index, mask, 1};
        }
    }
    holder.job = PLACEHOLDER;
    holder.guaranteed = false;
    holder.priority = INT32_MAX;
    Cells_Adopt(held, &holder, plan.part, n, p->now);
    return held;
}

/* Notes that a request can't start, unless an earlier one of its pool can't
 * either. */
static void
reserve(struct pass *p, const struct cells_request *q)
{
    if (!p->options->no_reservation && reservation_for(p, q) == NULL) {
        p->held[p->count++] = (struct reservation){.q = q};
    }
}

/* Works a reservation out. Done only once something behind it could start:
 * a forecast costs some ten plans. */
static void
work_out(const struct pass *p, struct reservation *r)
{
    struct cells *then CLEANUP(Cells_FreeP) = NULL;

    if (r->known) {
        return;
    }
    r->known = true;
    r->at =
        Place_ForecastThen(p->c, r->q, &p->options->weights, p->now, &then);
    if (then != NULL) {
        r->held = hold_room(p, then, r->q);
    }
}

/* Plans a request beside the reservation; the plan is good for the account
 * itself, which differs from the copy by the placeholder only. */
static bool
plan_beside(const struct pass *p, const struct reservation *r,
            struct cells_plan *plan)
{
    struct cells_request q = plan->request;

    Cells_PlanClear(plan);
    Cells_Plan(r->held, &q, &p->options->weights, p->now, plan);
    plan->state = p->c->state;
    for (int i = 0; i < plan->victims; i++) {
        if (plan->victim[i].job == PLACEHOLDER) {
            return false;
        }
    }
    return Cells_IsPlaced(plan->reason);
}

/* Whether a placed request may start past the reservation of its pool, and
 * as what. One that would run on beyond it is planned anew beside it. */
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
    work_out(p, r);
    if (r->at == INT64_MAX) {
        return PLACE_START_UNRESERVED;
    }
    if (p->now + Place_RunTime(&plan->request) <= r->at) {
        return PLACE_START_BACKFILL_ENDS;
    }
    return plan_beside(p, r, plan) ? PLACE_START_BACKFILL_ROOM : PLACE_WAIT;
}

/* Looks at one request: starts it, says that it never can, or lets it wait
 * with a reservation. */
static enum place_reason
look_at(struct pass *p, const struct cells_request *queue, int i,
        struct cells_plan *plan)
{
    Cells_Plan(p->c, &queue[i], &p->options->weights, p->now, plan);
    if (Cells_IsNever(plan->reason)) {
        return PLACE_NEVER;
    }
    if (Cells_IsPlaced(plan->reason)) {
        return may_start(p, i, plan);
    }
    reserve(p, &queue[i]);
    return PLACE_WAIT;
}

/* Frees the accounts of the reservations. */
static void
pass_clear(struct pass *p)
{
    for (int i = 0; i < p->count; i++) {
        Cells_Free(p->held[i].held);
    }
}

/* The next job to start. */
enum place_reason
Place_Next(const struct cells *c, const struct cells_request *queue, int n,
           const struct place_options *options, int64_t now,
           struct place_decision *d)
{
    struct pass p CLEANUP(pass_clear) = {c, options, now, .count = 0};

    memset(d, 0, sizeof(*d));
    d->index = CELLS_NONE;
    d->reason = n > 0 ? PLACE_WAIT : PLACE_EMPTY;
    for (int i = 0; i < n && i <= PLACE_LOOKAHEAD; i++) {
        struct cells_plan plan;
        enum place_reason reason = look_at(&p, queue, i, &plan);

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
    if (p.count > 0) {
        d->reserved_for = p.held[0].q->job;
        d->reserved_at = p.held[0].at;
    }
    return d->reason;
}

/* Frees a decision's plan. */
void
Place_Clear(struct place_decision *decision)
{
    Cells_PlanClear(&decision->plan);
}
