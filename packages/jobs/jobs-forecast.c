#include "jobs-forecast.h"

#include "jobs-scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Longer waits are of no use to anybody, and are shown as a day. */
#define WAIT_MAX_MS 86400000.0

/* Three amounts: cores in thousandths, memory in MB, and accelerators; of work
 * each is multiplied by milliseconds. */
struct amounts {
    double of[3];
};

/* Returns resources as amounts. */
static struct amounts
to_amounts(const struct jobs_resources *r)
{
    return (struct amounts){{(double)r->millicores, (double)r->memory_mb,
                             (double)r->accelerators}};
}

/* Returns the largest quotient of two amounts. Resources that the workers
 * don't have are left out. */
static double
largest_quotient(const struct amounts *a, const struct amounts *capacity)
{
    double largest = 0;

    for (int i = 0; i < 3; i++) {
        if (capacity->of[i] > 0) {
            largest = fmax(largest, a->of[i] / capacity->of[i]);
        }
    }
    return largest;
}

/* Adds a row for each horizon. */
static void
add_rows(struct jobs_forecast *out, const char *service, int64_t priority)
{
    out->rows = Mem_Grow(out->rows, (out->count + FORECAST_HORIZONS) *
                                        sizeof(*out->rows));
    for (int i = 0; i < FORECAST_HORIZONS; i++) {
        struct jobs_forecast_row *r = &out->rows[out->count++];

        memset(r, 0, sizeof(*r));
        Str_Copy(r->service, sizeof(r->service), service);
        r->priority = priority;
        r->within_ms = (int64_t)1000 << i;
    }
}

/* Adds rows for the services and priorities of the configured queues. */
static void
add_all_rows(const struct jobs_config *c, struct jobs_forecast *out)
{
    for (size_t i = 0; c != NULL && i < c->queue_count; i++) {
        if (out->count < FORECAST_KINDS_MAX * FORECAST_HORIZONS &&
            JobsForecast_Find(out, c->queues[i].service, c->queues[i].priority,
                              INT64_MAX) == NULL) {
            add_rows(out, c->queues[i].service, c->queues[i].priority);
        }
    }
}

/* True for a worker that can be used, now or after a short trouble. */
static bool
is_usable(const struct jobs_scheduler *sched, const struct jobs_worker *w,
          int64_t now_ms)
{
    return w->reported && !w->draining && !Domain_IsEmptied(sched, w) &&
           now_ms - w->report_ms <= sched->limits.lease_ms;
}

/* Adds the capacity of the workers of a row's service, and what runs of its
 * priority or a more urgent one use of it. */
static void
add_workers(const struct jobs_scheduler *sched, struct jobs_forecast_row *row,
            struct jobs_resources *used, int64_t now_ms)
{
    const struct jobs_task *t;
    struct jobs_worker *w;

    RB_FOREACH (w, jobs_worker_tree,
                (struct jobs_worker_tree *)&sched->workers) {
        if (strcmp(w->service, row->service) != 0 ||
            !is_usable(sched, w, now_ms)) {
            continue;
        }
        Resources_Add(&row->capacity, &w->capacity, 1);
        TAILQ_FOREACH (t, &w->tasks, on_worker) {
            struct jobs_resources need = Unit_Resources(t->unit);

            if (t->unit->job->qos.priority <= row->priority) {
                Resources_Add(used, &need, 1);
            }
        }
    }
}

/* Returns the least time that a run of a unit is expected to take. */
static double
least_length(const struct jobs_unit *u)
{
    bool measured = u->work_ms != 0 || u->job->step_work_ms[u->step] != 0;
    double length = (double)Pace_WorkMs(u);

    return length > 0 ? length / (measured ? 1 : FORECAST_ERROR) : 0;
}

/* True when a waiting unit is work that new jobs of some kind wait for. Units
 * that are too late to be of use come after new jobs, and those of steps that
 * wait for others may do so. */
static bool
counts(const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);

    return u->state == UNIT_WAITING && u->ready_ms != 0 && !u->dropped &&
           !s->lasting && !s->fills &&
           Objective_SlackMs(u, now_ms) + 2 * u->job->objective_ms >= 0;
}

/* Adds the work of a waiting unit to the horizons for which it precedes new
 * jobs: all of them, or those that its deadline is within. */
static void
add_work(const struct jobs_unit *u, const struct jobs_forecast_row *rows,
         struct amounts *work, int64_t now_ms)
{
    bool more_urgent = u->job->qos.priority < rows->priority;
    int64_t due_in_ms = Objective_DeadlineMs(u, now_ms) - now_ms;
    struct amounts need = to_amounts(&Unit_Step(u)->need);
    double length = least_length(u) * u->task_count;

    for (int h = 0; h < FORECAST_HORIZONS; h++) {
        for (int i = 0;
             i < 3 && (more_urgent || due_in_ms <= rows[h].within_ms); i++) {
            work[h].of[i] += need.of[i] * length;
        }
    }
}

/* Sums up the work that waits ahead of new jobs, for each horizon. */
static void
sum_work(const struct jobs_scheduler *sched,
         const struct jobs_forecast_row *rows, struct amounts *work,
         int64_t now_ms)
{
    const struct jobs_unit *u;
    const struct jobs_job *j;

    TAILQ_FOREACH (j, &sched->active, active) {
        if (j->held || j->cancelled || j->state > JOB_RUNNING ||
            j->qos.priority > rows->priority ||
            strcmp(j->qos.service, rows->service) != 0) {
            continue;
        }
        TAILQ_FOREACH (u, &j->units, entry) {
            if (counts(u, now_ms)) {
                add_work(u, rows, work, now_ms);
            }
        }
    }
}

/* Computes the rows of one service and priority, for all horizons. */
static void
fill_rows(const struct jobs_scheduler *sched, struct jobs_forecast_row *rows,
          int64_t now_ms)
{
    struct amounts work[FORECAST_HORIZONS] = {{{0}}};
    struct jobs_resources used = {0};
    struct amounts used_amounts, capacity;
    int64_t left;

    add_workers(sched, rows, &used, now_ms);
    capacity = to_amounts(&rows->capacity);
    used_amounts = to_amounts(&used);
    left = rows->capacity.accelerators - used.accelerators;
    sum_work(sched, rows, work, now_ms);
    for (int h = 0; h < FORECAST_HORIZONS; h++) {
        rows[h].capacity = rows->capacity;
        rows[h].free_accelerators = left > 0 ? left : 0;
        rows[h].busy_permille =
            (int64_t)(1000 * largest_quotient(&used_amounts, &capacity));
        rows[h].wait_ms =
            (int64_t)fmin(WAIT_MAX_MS, largest_quotient(&work[h], &capacity));
    }
}

/* Computes the forecast. */
void
Jobs_Forecast(const struct jobs_scheduler *sched, int64_t now_ms,
              struct jobs_forecast *out)
{
    *out = (struct jobs_forecast){0};
    add_all_rows(sched->config, out);
    for (size_t i = 0; i < out->count; i += FORECAST_HORIZONS) {
        fill_rows(sched, &out->rows[i], now_ms);
    }
}

/* Finds the row with the longest horizon up to within_ms. */
const struct jobs_forecast_row *
JobsForecast_Find(const struct jobs_forecast *f, const char *service,
                  int64_t priority, int64_t within_ms)
{
    const struct jobs_forecast_row *best = NULL;

    for (size_t i = 0; i < f->count; i++) {
        const struct jobs_forecast_row *r = &f->rows[i];

        if (r->priority == priority && r->within_ms <= within_ms &&
            strcmp(r->service, service) == 0 &&
            (best == NULL || r->within_ms > best->within_ms)) {
            best = r;
        }
    }
    return best;
}

/* Frees the rows. */
void
JobsForecast_Clear(struct jobs_forecast *f)
{
    free(f->rows);
    *f = (struct jobs_forecast){0};
}
