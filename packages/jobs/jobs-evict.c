#include "jobs-scheduler.h"

#include <math.h>
#include <stdlib.h>

#define VICTIMS_MAX 64 /* units of one worker that are considered */

/* A unit that may be evicted, and the cost of that. */
struct victim {
    struct jobs_unit *unit;
    double cost;
    struct jobs_resources frees; /* resources that it frees on the worker */
};

/* Returns the cores of a unit; an accelerator counts as eight. */
double
Evict_Cores(const struct jobs_unit *u)
{
    const struct jobs_resources *need = &Unit_Step(u)->need;

    return u->task_count *
           ((double)need->millicores / 1000 + 8 * (double)need->accelerators);
}

/* Returns the work that is lost when a run is stopped now, in core
 * milliseconds. A run with checkpoints saves its state when it is stopped, and
 * takes a while to resume. */
static double
stop_cost(const struct jobs_unit *u, int64_t now_ms)
{
    static const double resume_ms = 600;
    static const double start_ms = 150; /* for a stop and a start */
    double ran = (double)(now_ms - u->tasks[0].assigned_ms);

    if (Unit_Step(u)->checkpoints && ran > resume_ms) {
        ran = resume_ms;
    }
    return Evict_Cores(u) * (ran + start_ms);
}

/* Returns the most that evicting runs for a unit may cost, in core
 * milliseconds: the unit's own work, and more the longer it has waited.
 *
 * Without a limit, a burst of urgent gangs beside long runs makes a gang of
 * two seconds discard ten seconds of three other runs, which then wait, start
 * again and are stopped for the next gang. Limited to the unit's own work, no
 * more is discarded than is done instead. The limit rises with the square of
 * the waiting time, faster than the cost of the runs that the unit waits for,
 * so that urgent work does not wait for hours for runs of hours. Work within a
 * guarantee has no limit. */
double
Evict_Budget(const struct jobs_unit *u, int64_t now_ms)
{
    double objectives =
        (double)(now_ms - u->ready_ms) / (double)(u->job->objective_ms + 1);

    return u->job->rank == RANK_GUARANTEED
               ? INFINITY
               : Evict_Cores(u) * (double)Pace_WorkMs(u) *
                     (1 + objectives * objectives);
}

/* Orders victims by cost, the cheapest first. */
static int
victim_compare(const void *va, const void *vb)
{
    const struct victim *a = va, *b = vb;

    return a->cost < b->cost ? -1 : a->cost > b->cost;
}

/* Adds a task to the victims: its resources count as freed by its unit. */
static void
add_victim(struct victim *list, size_t *count, struct jobs_unit *u,
           int64_t now_ms)
{
    struct jobs_resources need = Unit_Resources(u);
    size_t i;

    for (i = 0; i < *count && list[i].unit != u; i++) {
    }
    if (i == *count) {
        if (*count == VICTIMS_MAX) {
            return;
        }
        list[(*count)++] =
            (struct victim){.unit = u, .cost = stop_cost(u, now_ms)};
    }
    Resources_Add(&list[i].frees, &need, 1);
}

/* Returns the resources that a worker lacks for n tasks of a unit, when all
 * that is being stopped there has ended. A negative value is spare. */
static struct jobs_resources
missing_on(const struct jobs_worker *w, const struct jobs_unit *u, uint32_t n,
           int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    int64_t k = (int64_t)n;
    struct jobs_resources missing = {
        (s->fills ? 0 : k * s->need.millicores) + w->used.millicores +
            w->reserved.millicores - w->freeing.millicores -
            w->capacity.millicores,
        k * s->need.memory_mb + w->used.memory_mb + w->reserved.memory_mb -
            w->freeing.memory_mb - w->capacity.memory_mb,
        k * s->need.accelerators + w->used.accelerators +
            w->reserved.accelerators - w->freeing.accelerators -
            w->capacity.accelerators};
    struct jobs_resources claimed;

    if (w->timeline.reservation_count > 0) {
        claimed = Timeline_Reserved(w, now_ms, TIMELINE_NEVER);
        Resources_Add(&missing, &claimed, 1);
    }
    return missing;
}

/* True when nothing is missing. */
static bool
is_covered(const struct jobs_resources *m)
{
    return m->millicores <= 0 && m->memory_mb <= 0 && m->accelerators <= 0;
}

/* True for a service that limits how many of its tasks may be unavailable: it
 * is never evicted. */
static bool
is_protected(const struct jobs_unit *u)
{
    const struct jobs_step *s = Unit_Step(u);

    return s->lasting && s->max_unavailable > 0;
}

/* Chooses victims: the cheapest until they free enough, less those that are
 * not needed after all, the most expensive first. Returns their number, or -1
 * when all of them are not enough. */
static int
choose_victims(const struct jobs_worker *w, const struct jobs_unit *u,
               uint32_t n, int64_t now_ms, struct victim *list)
{
    struct jobs_resources missing = missing_on(w, u, n, now_ms);
    const struct jobs_task *t;
    size_t count = 0, taken = 0;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (t->unit->job->rank > u->job->rank && !t->unit->stopping &&
            t->unit->state == UNIT_ASSIGNED && !is_protected(t->unit)) {
            add_victim(list, &count, t->unit, now_ms);
        }
    }
    qsort(list, count, sizeof(*list), victim_compare);
    while (taken < count && !is_covered(&missing)) {
        Resources_Add(&missing, &list[taken++].frees, -1);
    }
    if (!is_covered(&missing)) {
        return -1;
    }
    for (size_t i = taken; i-- > 0;) {
        struct jobs_resources without = missing;

        Resources_Add(&without, &list[i].frees, 1);
        if (is_covered(&without)) {
            missing = without;
            list[i] = list[--taken];
        }
    }
    return (int)taken;
}

/* Returns the cost of making room on a worker for n tasks of a unit. */
double
Evict_Cost(const struct jobs_worker *w, const struct jobs_unit *u, uint32_t n,
           int64_t now_ms)
{
    struct victim list[VICTIMS_MAX];
    int taken = choose_victims(w, u, n, now_ms, list);
    double sum = 0;

    if (taken < 0) {
        return -1;
    }
    for (int i = 0; i < taken; i++) {
        sum += list[i].cost;
    }
    return sum;
}

/* Makes room on a worker for n tasks of a unit. */
void
Evict_Apply(struct jobs_scheduler *sched, struct jobs_worker *w,
            const struct jobs_unit *u, uint32_t n, int64_t now_ms)
{
    struct victim list[VICTIMS_MAX];
    int taken = choose_victims(w, u, n, now_ms, list);

    for (int i = 0; i < taken; i++) {
        Unit_StopFor(sched, list[i].unit, "gives_way", u->job);
    }
}
