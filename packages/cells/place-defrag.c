#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Time that a victim's accelerators lose to its restart elsewhere. */
#define RESTART_MS INT64_C(120000)
/* The gain must be at least this many times the cost, because it rests on run
 * time estimates, which are often far off; the cost does not. */
#define GAIN_OVER_COST 2

#define REASON(r, name) [r] = (name)

static const char *const reasons[] = {
    REASON(PLACE_DEFRAG_PAYS, "pays"),
    REASON(PLACE_DEFRAG_FITS, "fits_without"),
    REASON(PLACE_DEFRAG_NO_ROOM, "no_room"),
    REASON(PLACE_DEFRAG_COSTS_MORE, "costs_more"),
    REASON(PLACE_DEFRAG_UNKNOWN, "wait_unknown"),
};

/* The reason's name in logs and replies. */
const char *
Place_DefragName(enum place_defrag_reason reason)
{
    return (size_t)reason < COUNT_OF(reasons) ? reasons[reason] : "unnamed";
}

/* Plans the gang as if every lent job had a lower priority. */
static bool
plan_displacing_lent(const struct cells *c, const struct cells_request *req,
                     const struct cells_weights *weights, int64_t now,
                     struct cells_plan *plan)
{
    struct cells_request preempting = *req;

    preempting.preempt = true;
    preempting.priority = INT32_MAX;
    Cells_Plan(c, &preempting, weights, now, plan);
    plan->request = *req;
    return Cells_IsPlaced(plan->reason);
}

/* Plans each victim again beside the gang. False if one finds no place. */
static bool
plan_resumes(struct cells *after, const struct cells *before,
             const struct cells_weights *weights, int64_t now,
             struct place_defrag *out)
{
    out->resume = Mem_Zero((size_t)out->plan.victims, sizeof(*out->resume));
    for (int i = 0; i < out->plan.victims; i++) {
        const struct job *job = CellsJob_Find(before, out->plan.victim[i].job);
        struct cells_request again = job->request;

        again.preempt = false;
        again.guaranteed = false;
        Cells_Plan(after, &again, weights, now, &out->resume[i]);
        out->resumes++;
        if (Cells_Commit(after, &out->resume[i]) != ERR_OK) {
            return false;
        }
    }
    return true;
}

/* What all victims lose, including their restarts. */
static int64_t
moving_cost(const struct cells *c, const struct cells_plan *plan)
{
    int64_t sum = 0;

    for (int i = 0; i < plan->victims; i++) {
        const struct job *job = CellsJob_Find(c, plan->victim[i].job);

        sum += plan->victim[i].lost_work +
               RESTART_MS * job->request.tasks * job->request.accelerators;
    }
    return sum;
}

/* Compares the gang's expected wait with the cost of moving the victims. */
static enum place_defrag_reason
evaluate(const struct cells *c, const struct cells_request *req,
         const struct cells_weights *weights, int64_t now,
         struct place_defrag *out)
{
    int64_t start_at = Place_Forecast(c, req, weights, now);
    struct cells *after CLEANUP(Cells_FreeP) = NULL;

    if (start_at == INT64_MAX) {
        return PLACE_DEFRAG_UNKNOWN;
    }
    if (!plan_displacing_lent(c, req, weights, now, &out->plan)) {
        return PLACE_DEFRAG_NO_ROOM;
    }
    out->gain = (start_at - now) * req->tasks * req->accelerators;
    out->cost = moving_cost(c, &out->plan);
    if (out->gain < GAIN_OVER_COST * out->cost) {
        return PLACE_DEFRAG_COSTS_MORE;
    }
    after = Cells_Clone(c);
    if (Cells_Commit(after, &out->plan) != ERR_OK ||
        !plan_resumes(after, c, weights, now, out)) {
        return PLACE_DEFRAG_NO_ROOM;
    }
    return PLACE_DEFRAG_PAYS;
}

/* Decides whether checkpointing and moving lent jobs pays for a lent gang. */
enum place_defrag_reason
Place_Defrag(const struct cells *c, const struct cells_request *request,
             const struct cells_weights *weights, int64_t now,
             struct place_defrag *out)
{
    struct cells_plan plan CLEANUP(Cells_PlanClear);
    enum cells_reason reason;

    memset(out, 0, sizeof(*out));
    reason = Cells_Plan(c, request, weights, now, &plan);
    if (Cells_IsPlaced(reason)) {
        out->reason = PLACE_DEFRAG_FITS;
    }
    else if (reason != CELLS_WAIT_FRAGMENTED) {
        out->reason = PLACE_DEFRAG_NO_ROOM;
    }
    else {
        out->reason = evaluate(c, request, weights, now, out);
    }
    return out->reason;
}

/* Frees the plans. */
void
Place_DefragClear(struct place_defrag *defrag)
{
    Cells_PlanClear(&defrag->plan);
    for (int i = 0; i < defrag->resumes; i++) {
        Cells_PlanClear(&defrag->resume[i]);
    }
    free(defrag->resume);
    defrag->resume = NULL;
    defrag->resumes = 0;
}
