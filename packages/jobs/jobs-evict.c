#include "jobs-scheduler.h"

#include <math.h>
#include <stdlib.h>

#define VICTIMS_MAX 64 /* units of a worker that are weighed */

/* A unit that may give way, and what that costs. */
struct victim {
    struct jobs_unit *unit;
    double cost;
    struct jobs_resources frees; /* on the worker that is looked at */
};

/* Cores of a unit; an accelerator counts as eight. */
static double
cores_of(const struct jobs_unit *u)
{
    const struct jobs_resources *need = &Unit_Step(u)->need;

    return u->task_count *
           ((double)need->millicores / 1000 + 8 * (double)need->accelerators);
}

/* Work that is lost when a run is stopped now, in core milliseconds. A run
 * that checkpoints saves at its stop and takes a while to resume. */
static double
cost_of(const struct jobs_unit *u, int64_t now_ms)
{
    static const double resume_ms = 600;
    static const double start_ms = 150; /* of a stop and a start */
    double ran = (double)(now_ms - u->tasks[0].given_ms);

    if (Unit_Step(u)->checkpoints && ran > resume_ms) {
        ran = resume_ms;
    }
    return cores_of(u) * (ran + start_ms);
}

/* What stopping others for a unit may cost, in core milliseconds: as much as
 * its own work, and more the longer it has waited.
 *
 * Load: a burst of urgent gangs beside long runs. Without a bound, a gang of
 * two seconds throws away ten seconds of three others, which then wait, start
 * again and are stopped for the next one. Bounded by its own work, no more is
 * thrown away than is done in its place. The bound rises with the square of
 * the waiting, faster than the runs that it waits for become dearer, so that
 * urgent work does not wait for hours for runs of hours. Work that is
 * guaranteed has no bound. */
double
Evict_Worth(const struct jobs_unit *u, int64_t now_ms)
{
    double objectives =
        (double)(now_ms - u->ready_ms) / (double)(u->job->objective_ms + 1);

    return u->job->rank == RANK_COVERED
               ? INFINITY
               : cores_of(u) * (double)Pace_WorkMs(u) *
                     (1 + objectives * objectives);
}

/* Cheapest first. */
static int
victim_compare(const void *va, const void *vb)
{
    const struct victim *a = va, *b = vb;

    return a->cost < b->cost ? -1 : a->cost > b->cost;
}

/* Adds a task's need to what its unit would free. */
static void
add_victim(struct victim *list, size_t *count, struct jobs_unit *u,
           int64_t now_ms)
{
    struct jobs_resources need = Unit_Need(u);
    size_t i;

    for (i = 0; i < *count && list[i].unit != u; i++) {
    }
    if (i == *count) {
        if (*count == VICTIMS_MAX) {
            return;
        }
        list[(*count)++] =
            (struct victim){.unit = u, .cost = cost_of(u, now_ms)};
    }
    Need_Add(&list[i].frees, &need, 1);
}

/* Room that is missing on a worker, with what is being stopped there; a value
 * below 0 is room to spare. */
static struct jobs_resources
missing_on(const struct jobs_worker *w, const struct jobs_unit *u, uint32_t n)
{
    const struct jobs_step *s = Unit_Step(u);
    int64_t k = (int64_t)n;

    return (struct jobs_resources){
        (s->fills ? 0 : k * s->need.millicores) + w->used.millicores +
            w->reserved.millicores - w->freeing.millicores -
            w->capacity.millicores,
        k * s->need.memory_mb + w->used.memory_mb + w->reserved.memory_mb -
            w->freeing.memory_mb - w->capacity.memory_mb,
        k * s->need.accelerators + w->used.accelerators +
            w->reserved.accelerators - w->freeing.accelerators -
            w->capacity.accelerators};
}

/* True when nothing is missing. */
static bool
is_enough(const struct jobs_resources *m)
{
    return m->millicores <= 0 && m->memory_mb <= 0 && m->accelerators <= 0;
}

/* True for a task that serves until its job is cancelled and bounds how many
 * of its step may be away at once: it gives way to nobody. */
static bool
is_kept(const struct jobs_unit *u)
{
    const struct jobs_step *s = Unit_Step(u);

    return s->lasting && s->max_unavailable > 0;
}

/* Chooses victims: the cheapest until it is enough, then leaves out, dearest
 * first, whichever is not needed after all. Returns how many, or -1. */
static int
choose(const struct jobs_worker *w, const struct jobs_unit *u, uint32_t n,
       int64_t now_ms, struct victim *list)
{
    struct jobs_resources missing = missing_on(w, u, n);
    const struct jobs_task *t;
    size_t count = 0, taken = 0;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (t->unit->job->rank > u->job->rank && !t->unit->stopping &&
            t->unit->state == UNIT_GIVEN && !is_kept(t->unit)) {
            add_victim(list, &count, t->unit, now_ms);
        }
    }
    qsort(list, count, sizeof(*list), victim_compare);
    while (taken < count && !is_enough(&missing)) {
        Need_Add(&missing, &list[taken++].frees, -1);
    }
    if (!is_enough(&missing)) {
        return -1;
    }
    for (size_t i = taken; i-- > 0;) {
        struct jobs_resources without = missing;

        Need_Add(&without, &list[i].frees, 1);
        if (is_enough(&without)) {
            missing = without;
            list[i] = list[--taken];
        }
    }
    return (int)taken;
}

/* What it costs to make room. */
double
Evict_Cost(const struct jobs_worker *w, const struct jobs_unit *u, uint32_t n,
           int64_t now_ms)
{
    struct victim list[VICTIMS_MAX];
    int taken = choose(w, u, n, now_ms, list);
    double sum = 0;

    if (taken < 0) {
        return -1;
    }
    for (int i = 0; i < taken; i++) {
        sum += list[i].cost;
    }
    return sum;
}

/* Makes the room. */
void
Evict_Apply(struct jobs_scheduler *b, struct jobs_worker *w,
            const struct jobs_unit *u, uint32_t n, int64_t now_ms)
{
    struct victim list[VICTIMS_MAX];
    int taken = choose(w, u, n, now_ms, list);

    for (int i = 0; i < taken; i++) {
        Unit_StopFor(b, list[i].unit, "gives_way", u->job);
    }
}
