#include "jobs-fair.h"

#include "jobs-scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* An organisation with a smaller share and no waiting units is forgotten. */
#define SHARE_MIN 0.0001

/* Finds an organisation, or returns NULL. */
static struct fair_organisation *
find(const struct jobs_scheduler *sched, const char *name)
{
    struct fair_organisation *o;

    SLIST_FOREACH (o, &sched->organisations, entry) {
        if (strcmp(o->name, name) == 0) {
            return o;
        }
    }
    return NULL;
}

/* Finds an organisation or adds it. */
static struct fair_organisation *
find_or_add(struct jobs_scheduler *sched, const char *name)
{
    struct fair_organisation *o = find(sched, name);

    if (o == NULL) {
        o = Mem_Zero(1, sizeof(*o));
        Str_Copy(o->name, sizeof(o->name), name);
        SLIST_INSERT_HEAD(&sched->organisations, o, entry);
    }
    return o;
}

/* Sums up the workers' resources. */
static void
sum_capacity(struct jobs_scheduler *sched, double capacity[3])
{
    struct jobs_worker *w;

    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        capacity[0] += (double)w->capacity.millicores;
        capacity[1] += (double)w->capacity.memory_mb;
        capacity[2] += (double)w->capacity.accelerators;
    }
}

/* Adds what the runs of a unit use to its organisation. Guaranteed jobs don't
 * count: what is guaranteed to an organisation is not at the cost of others.
 */
static void
add_use(struct jobs_scheduler *sched, const struct jobs_unit *u,
        const double capacity[3])
{
    struct jobs_resources need = Unit_Resources(u);
    double parts[3] = {(double)need.millicores, (double)need.memory_mb,
                       (double)need.accelerators};
    struct fair_organisation *o;

    if (u->state != UNIT_ASSIGNED || u->job->rank == RANK_GUARANTEED) {
        return;
    }
    o = find_or_add(sched, u->job->spec.organisation);
    for (int i = 0; i < 3; i++) {
        if (capacity[i] > 0) {
            o->present[i] += parts[i] * u->task_count / capacity[i];
        }
    }
}

/* Returns the largest of three shares. */
static double
largest(const double shares[3])
{
    return fmax(shares[0], fmax(shares[1], shares[2]));
}

/* Forgets organisations that have used nothing for long. */
static void
forget_unused(struct jobs_scheduler *sched)
{
    struct fair_organisation *o, *next;

    SLIST_FOREACH_SAFE(o, &sched->organisations, entry, next)
    {
        if (largest(o->average) < SHARE_MIN && largest(o->present) == 0) {
            SLIST_REMOVE(&sched->organisations, o, fair_organisation, entry);
            free(o);
        }
    }
}

/* Averages what the organisations use. A clock that goes back counts as no
 * time. */
void
Fair_Update(struct jobs_scheduler *sched, int64_t now_ms)
{
    int64_t passed_ms = now_ms - sched->fair_updated_ms;
    double keep =
        passed_ms > 0 ? pow(0.5, (double)passed_ms / FAIR_HALF_LIFE_MS) : 1;
    double capacity[3] = {0};
    struct fair_organisation *o;
    const struct jobs_unit *u;
    const struct jobs_job *j;

    sched->fair_updated_ms = now_ms;
    SLIST_FOREACH (o, &sched->organisations, entry) {
        for (int i = 0; i < 3; i++) {
            o->average[i] = keep * o->average[i] + (1 - keep) * o->present[i];
            o->present[i] = 0;
        }
        o->waits = false;
    }
    sum_capacity(sched, capacity);
    TAILQ_FOREACH (j, &sched->active, active) {
        TAILQ_FOREACH (u, &j->units, entry) {
            add_use(sched, u, capacity);
        }
    }
    forget_unused(sched);
}

/* Returns the dominant share of an organisation. */
double
Fair_Share(const struct jobs_scheduler *sched, const char *organisation)
{
    const struct fair_organisation *o = find(sched, organisation);

    return o != NULL ? largest(o->average) : 0;
}

/* Returns the equal part: one divided by the number of organisations that use
 * workers or wait for them. */
static double
equal_part(struct jobs_scheduler *sched, const struct waiting_unit *list,
           size_t count)
{
    const struct fair_organisation *o;
    size_t n = 0;

    for (size_t i = 0; i < count; i++) {
        if (i == 0 || list[i].unit->job != list[i - 1].unit->job) {
            find_or_add(sched, list[i].unit->job->spec.organisation)->waits =
                true;
        }
    }
    SLIST_FOREACH (o, &sched->organisations, entry) {
        n += o->waits || largest(o->present) > 0;
    }
    return n > 0 ? 1.0 / (double)n : 1;
}

/* What decides on the place of a unit. */
enum place_kind {
    KEEPS_PLACE, /* guaranteed, or it has waited as long as its objective */
    IN_TIME,     /* it can meet its objective */
    LATE
};

/* Returns what decides on the place of a unit. */
static enum place_kind
kind_of(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t slack_ms = Objective_SlackMs(u, now_ms);

    if (u->job->rank == RANK_GUARANTEED ||
        slack_ms + u->job->remaining_ms[u->step] <= 0) {
        return KEEPS_PLACE;
    }
    return slack_ms >= 0 ? IN_TIME : LATE;
}

/* Emits an event, once for each job, when a unit is overtaken. */
static void
report_overtaken(struct jobs_scheduler *sched, struct jobs_unit *u,
                 double share)
{
    struct jobs_job *j = u->job;

    sched->fair_moves++;
    if (!j->share_wait_reported) {
        j->share_wait_reported = true;
        Event_Job(sched, JOBS_JOB_WAITS, j, "above_share")->number =
            (int64_t)(share * 1000);
    }
}

/* Orders the units of one kind among their places: those of organisations that
 * are not above the equal part first, and otherwise as they were. */
static void
order_kind(struct jobs_scheduler *sched, struct waiting_unit *list,
           const enum place_kind *kinds, size_t count, enum place_kind kind,
           double part)
{
    struct waiting_unit *above CLEANUP(Mem_FreeP) =
        Mem_Zero(count, sizeof(*above));
    size_t to = 0, above_count = 0, taken = 0;

    for (size_t i = 0; i < count; i++) {
        double share;

        if (kinds[i] != kind) {
            continue;
        }
        share = Fair_Share(sched, list[i].unit->job->spec.organisation);
        if (share > part) {
            above[above_count++] = list[i];
            continue;
        }
        for (; kinds[to] != kind; to++) {
        }
        if (above_count > 0) {
            report_overtaken(
                sched, above[0].unit,
                Fair_Share(sched, above[0].unit->job->spec.organisation));
        }
        list[to++] = list[i];
    }
    for (; to < count; to++) {
        if (kinds[to] == kind) {
            list[to] = above[taken++];
        }
    }
}

/* Orders the units of one rank. */
static void
order_rank(struct jobs_scheduler *sched, struct waiting_unit *list,
           size_t count, int64_t now_ms, double part)
{
    enum place_kind *kinds CLEANUP(Mem_FreeP) =
        Mem_Zero(count, sizeof(*kinds));

    for (size_t i = 0; i < count; i++) {
        kinds[i] = kind_of(list[i].unit, now_ms);
    }
    order_kind(sched, list, kinds, count, IN_TIME, part);
    order_kind(sched, list, kinds, count, LATE, part);
}

/* Changes the order of units that are sorted by rank and deadline. */
void
Fair_Order(struct jobs_scheduler *sched, struct waiting_unit *list,
           size_t count, int64_t now_ms)
{
    double part = equal_part(sched, list, count);
    size_t n;

    for (size_t i = 0; i < count; i += n) {
        n = 1;
        while (i + n < count &&
               list[i + n].unit->job->rank == list[i].unit->job->rank) {
            n++;
        }
        order_rank(sched, &list[i], n, now_ms, part);
    }
}

/* Forgets all organisations. */
void
Fair_Clear(struct fair_organisations *organisations)
{
    struct fair_organisation *o;

    while ((o = SLIST_FIRST(organisations)) != NULL) {
        SLIST_REMOVE_HEAD(organisations, entry);
        free(o);
    }
}
