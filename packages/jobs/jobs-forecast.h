/* Forecasts how long new jobs will wait, from the jobs and workers that a
 * scheduler has.
 *
 * The wait is the work that waits ahead of a new job, divided by the capacity
 * of its service. It is a lower bound on purpose, as callers are turned away
 * by it: workers that are only suspected to be faulty count as capacity; runs
 * in progress, services, best-effort tasks and steps that wait for others
 * don't count as work; and lengths that no run has confirmed count as
 * estimated, divided by FORECAST_ERROR. */
#ifndef JOBS_FORECAST_H
#define JOBS_FORECAST_H

#include "jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Estimates of lengths are off by a factor of up to this. */
#define FORECAST_ERROR 2.5
/* Times within which deadlines are considered: powers of two, in seconds. */
#define FORECAST_HORIZONS 8

/* Services and priorities for which there is a forecast. Deployments have a
 * few of each; with more, each pass over them would take the owner's time. */
#define FORECAST_KINDS_MAX 64

/* The forecast for new jobs of one service and priority. */
struct jobs_forecast_row {
    char service[NAME_SIZE];
    int64_t priority;
    /* Among waiting units of the same priority, those count as ahead whose
     * deadline comes within this time. */
    int64_t within_ms;
    int64_t wait_ms; /* until capacity is expected, at least */
    /* Largest used part of a resource, by runs of this or a more urgent
     * priority. */
    int64_t busy_permille;
    int64_t free_accelerators;      /* that such runs leave, on all workers */
    struct jobs_resources capacity; /* of all workers that can be used */
};

struct jobs_forecast {
    struct jobs_forecast_row *rows;
    size_t count;
};

/* Computes the forecast for the services of the workers and the priorities of
 * the configuration. out is cleared by JobsForecast_Clear. */
void Jobs_Forecast(const struct jobs_scheduler *sched, int64_t now_ms,
                   struct jobs_forecast *out);
/* Returns the row for a service and priority with the longest horizon up to
 * within_ms, or NULL. */
const struct jobs_forecast_row *
JobsForecast_Find(const struct jobs_forecast *f, const char *service,
                  int64_t priority, int64_t within_ms);
void JobsForecast_Clear(struct jobs_forecast *f); /* usable with CLEANUP */

#ifdef __cplusplus
}
#endif

#endif
