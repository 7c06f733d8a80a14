#include "cells-impl.h"

#include <stdlib.h>

/* 4 hours, assumed for a job without an estimate: most jobs run for hours. */
#define DEFAULT_RUN_TIME_MS INT64_C(14400000)
/* A job that has exceeded its estimate is assumed to need half of its elapsed
 * run time more, and at least this long: otherwise the head of the queue would
 * always be expected to start now, and no job could be backfilled. */
#define MIN_OVERRUN_MS INT64_C(60000)

/* A running job and its expected end. */
struct ending {
    uint64_t job;
    int64_t at;
};

/* Sorts by time, then by id. */
static int
ending_order(const void *a, const void *b)
{
    const struct ending *x = a, *y = b;

    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->job < y->job ? -1 : x->job > y->job;
}

/* How long a job is expected to run. */
int64_t
Place_RunTime(const struct cells_request *req)
{
    return req->estimate_ms > 0 ? req->estimate_ms : DEFAULT_RUN_TIME_MS;
}

/* When a running job is expected to end. */
static int64_t
expected_end(const struct job *job, int64_t now)
{
    int64_t end = job->started_at + Place_RunTime(&job->request);
    int64_t half = (now - job->started_at) / 2;

    if (end > now) {
        return end;
    }
    return now + (half > MIN_OVERRUN_MS ? half : MIN_OVERRUN_MS);
}

/* Lists all running jobs by expected end; the caller frees the list. */
static struct ending *
list_endings(const struct cells *c, int64_t now, int *n)
{
    struct ending *list =
        Mem_Alloc(sizeof(*list) * (size_t)(c->job_count + 1));
    struct job *job;

    *n = 0;
    RB_FOREACH (job, job_tree, (struct job_tree *)&c->jobs) {
        list[*n].job = job->request.job;
        list[(*n)++].at = expected_end(job, now);
    }
    qsort(list, (size_t)*n, sizeof(*list), ending_order);
    return list;
}

/* Returns a copy from which the first n jobs of the list have been removed. */
static struct cells *
after_endings(const struct cells *c, const struct ending *list, int n)
{
    struct cells *copy = Cells_Clone(c);

    for (int i = 0; i < n; i++) {
        struct job *job = CellsJob_Find(copy, list[i].job);

        if (job != NULL) {
            CellsJob_Delete(copy, job);
        }
    }
    return copy;
}

/* Whether a request could be placed now. */
static bool
fits(const struct cells *c, const struct cells_request *req,
     const struct cells_weights *weights, int64_t now)
{
    struct cells_plan plan CLEANUP(Cells_PlanClear);

    return Cells_IsPlaced(Cells_Plan(c, req, weights, now, &plan));
}

/* Finds the time at which a request is expected to fit. A binary search gives
 * the smallest number of jobs that have to end first, since more free
 * accelerators never make a request fit worse. *future is set to the expected
 * state at that time, which the caller frees, or to NULL. */
int64_t
Place_ForecastState(const struct cells *c, const struct cells_request *req,
                    const struct cells_weights *weights, int64_t now,
                    struct cells **future)
{
    int n, low = 0, high;
    struct ending *list CLEANUP(Mem_FreeP) = list_endings(c, now, &n);

    *future = after_endings(c, list, n);
    if (!fits(*future, req, weights, now)) {
        Cells_FreeP(future);
        return INT64_MAX;
    }
    high = n;
    while (low < high) {
        int middle = low + (high - low) / 2;
        struct cells *copy = after_endings(c, list, middle);

        if (fits(copy, req, weights, now)) {
            Cells_Free(*future);
            *future = copy;
            high = middle;
        }
        else {
            Cells_Free(copy);
            low = middle + 1;
        }
    }
    return high == 0 ? now : list[high - 1].at;
}

/* Earliest time at which a job is expected to fit. */
int64_t
Place_Forecast(const struct cells *c, const struct cells_request *request,
               const struct cells_weights *weights, int64_t now)
{
    struct cells *future CLEANUP(Cells_FreeP) = NULL;

    return Place_ForecastState(c, request, weights, now, &future);
}
