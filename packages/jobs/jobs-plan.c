#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Units for which room that becomes free at an unknown time is reserved. With
 * one, the room for the next wide gang is collected only after the first has
 * started; with more, room stays unused that smaller work could take. */
#define PENDING_RESERVATIONS_MAX 2
/* A worker without runs is removed after this time without a report. */
#define FORGET_WORKER_MS 60000

/* The units that a pass serves, in their order. */
struct waiting_list {
    struct waiting_unit *units;
    size_t count;
    size_t cap;
};

/* Orders units by rank, then by their next deadline. Shorter objectives
 * therefore come first, and units that wait long are not overtaken for ever.
 * Among equal ones, those that had to leave a draining worker come first. */
static int
waiting_unit_compare(const void *va, const void *vb)
{
    const struct waiting_unit *a = va, *b = vb;
    int pa = a->unit->job->rank, pb = b->unit->job->rank;

    if (pa != pb) {
        return pa < pb ? -1 : 1;
    }
    if (a->deadline_ms != b->deadline_ms) {
        return a->deadline_ms < b->deadline_ms ? -1 : 1;
    }
    if (Drain_HasStopped(a->unit) != Drain_HasStopped(b->unit)) {
        return Drain_HasStopped(a->unit) ? -1 : 1;
    }
    return strcmp(a->unit->job->spec.id, b->unit->job->spec.id);
}

/* Adds the occurrences of a job that are due. */
static void
add_due_occurrences(struct jobs_scheduler *sched, struct jobs_job *j,
                    int64_t now_ms, int64_t wall_ms)
{
    while (j->occurrences < j->spec.repetitions && !j->cancelled &&
           j->state <= JOB_RUNNING &&
           wall_ms + sched->limits.early_ms >=
               Scheduler_DueMs(j, j->occurrences) &&
           Scheduler_AddOccurrence(j)) {
        Scheduler_MarkDirty(j);
    }
    Scheduler_SetDue(j, now_ms, wall_ms);
}

/* True when all steps that the unit's step depends on are done. last_asked and
 * ready cache the previous unit and its result, as the units of a step are
 * adjacent in the list. */
static bool
is_ready(const struct jobs_unit *u, const struct jobs_unit **last_asked,
         bool *ready)
{
    const struct jobs_step *s = Unit_Step(u);
    const struct jobs_unit *other;

    if (*last_asked != NULL && (*last_asked)->job == u->job &&
        (*last_asked)->step == u->step &&
        (*last_asked)->occurrence == u->occurrence) {
        return *ready;
    }
    *last_asked = u;
    *ready = true;
    if (s->after_count == 0) {
        return true;
    }
    TAILQ_FOREACH (other, &u->job->units, entry) {
        for (uint32_t i = 0; i < s->after_count; i++) {
            if (other->occurrence == u->occurrence &&
                other->step == s->after[i] && other->state != UNIT_DONE) {
                *ready = false;
                return false;
            }
        }
    }
    return true;
}

/* Adds a unit to those that the pass serves. */
static void
add_waiting(struct waiting_list *list, struct jobs_unit *u, bool is_upcoming,
            int64_t now_ms)
{
    if (list->count == list->cap) {
        list->cap = list->cap ? list->cap * 2 : 64;
        list->units = Mem_Grow(list->units, list->cap * sizeof(*list->units));
    }
    list->units[list->count++] =
        (struct waiting_unit){.unit = u,
                              .deadline_ms = Objective_DeadlineMs(u, now_ms),
                              .is_upcoming = is_upcoming};
}

/* Collects the wide units of occurrences that are due soon. */
static void
collect_upcoming(struct jobs_scheduler *sched, int64_t now_ms, int64_t wall_ms,
                 struct unit_list *upcoming, struct waiting_list *list)
{
    struct jobs_unit *u;
    struct jobs_job *j;

    if (!sched->limits.parts.timeline) {
        return;
    }
    TAILQ_FOREACH (j, &sched->active, active) {
        if (!j->held) {
            Timeline_AddUpcoming(sched, j, now_ms, wall_ms, upcoming);
        }
    }
    TAILQ_FOREACH (u, upcoming, entry) {
        add_waiting(list, u, true, now_ms);
    }
}

/* Collects the units that can start now. */
static void
collect(struct jobs_scheduler *sched, int64_t now_ms, int64_t wall_ms,
        struct waiting_list *list)
{
    const struct jobs_unit *last_asked = NULL;
    struct jobs_unit *u;
    bool ready = false;
    struct jobs_job *j;

    TAILQ_FOREACH (j, &sched->active, active) {
        if (j->held) {
            continue;
        }
        Scheduler_DropDone(j);
        add_due_occurrences(sched, j, now_ms, wall_ms);
        Objective_Set(sched, j);
        j->row_bytes = Row_Bytes(sched, j);
        TAILQ_FOREACH (u, &j->units, entry) {
            if (u->state != UNIT_WAITING || u->dropped ||
                j->state > JOB_RUNNING || u->not_before_ms > now_ms ||
                !is_ready(u, &last_asked, &ready)) {
                continue;
            }
            if (u->ready_ms == 0) {
                u->ready_ms = now_ms;
            }
            add_waiting(list, u, false, now_ms);
        }
    }
}

/* Returns until when a worker that doesn't report may have runs.
 *
 * A start that no report has shown may be carried out by an incarnation that
 * has restarted under the same id. By its clock, which has begun anew, the
 * start's deadline and the granted lease are far away, and it holds the run
 * for as long as a lease may last. */
static int64_t
runs_end_ms(const struct jobs_scheduler *sched, const struct jobs_worker *w)
{
    int64_t lease_ms =
        (int64_t)((double)sched->limits.lease_ms * LEASE_STRETCH);
    int64_t end_ms = w->lease_end_ms;
    const struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        int64_t last_ms = t->start_ordered_ms + JOBS_ORDER_LATE_MS + lease_ms;

        if (!t->confirmed && t->start_ordered_ms != 0 && last_ms > end_ms) {
            end_ms = last_ms;
        }
    }
    return end_ms;
}

/* Ends the runs of workers that have not reported and whose leases have
 * expired. */
static void
expire_workers(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct jobs_worker *w, *next;

    for (w = RB_MIN(jobs_worker_tree, &sched->workers); w != NULL; w = next) {
        next = RB_NEXT(jobs_worker_tree, &sched->workers, w);
        w->reserved = (struct jobs_resources){0};
        Timeline_Clear(w);
        if (now_ms - w->report_ms <= sched->limits.silent_ms ||
            now_ms <= runs_end_ms(sched, w)) {
            continue;
        }
        Worker_Lost(sched, w, "lease_over", now_ms);
        if (now_ms - w->report_ms > FORGET_WORKER_MS) {
            Worker_Free(sched, w);
        }
    }
}

/* When no row has to be stored, all ends that were processed count as stored:
 * they had no effect, or their effect is stored. */
static void
note_ends_stored(struct jobs_scheduler *sched)
{
    struct jobs_worker *w;
    struct jobs_job *j;

    if (sched->batch_open) {
        return;
    }
    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        if (j->dirty) {
            return;
        }
    }
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        w->ends_stored = w->ends_taken;
    }
}

/* Stops runs that should be started elsewhere, when there is room for them. */
static void
move_slow_runs(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct jobs_unit *u;
    struct jobs_job *j;

    TAILQ_FOREACH (j, &sched->active, active) {
        TAILQ_FOREACH (u, &j->units, entry) {
            if (!Pace_ShouldMove(u, now_ms) ||
                !Place_CouldMove(sched, u, now_ms)) {
                continue;
            }
            u->moves++;
            u->last_move_ms = now_ms;
            Str_Copy(u->avoid_worker, sizeof(u->avoid_worker),
                     u->task_count == 1 ? u->tasks[0].worker->id : "");
            Unit_Stop(sched, u, "crawls");
        }
    }
}

/* True when the unit's start still fits into its job's row. The tasks of a job
 * of thousands may not all fit at once. The store would refuse a longer row,
 * and with it the owner's whole transaction, again and again, so that no job
 * would continue. The rest of such a job waits until the first of its tasks
 * have ended. Room is kept for units that start again on other workers. */
static bool
fits_row(const struct jobs_unit *u)
{
    static const size_t kept_for_restarts = 4096;
    size_t kept = u->run == 0 ? kept_for_restarts : 0;

    return u->job->row_bytes + Row_StartBytes(u) + kept <= JOBS_ROW_MAX;
}

/* The last unit of this pass that could not be placed and for which nothing
 * was reserved. */
struct failed_placement {
    const struct jobs_unit *unit; /* NULL: none */
    enum place_result result;
};

/* True when placing a unit must give the same result as for the unit that
 * could not be placed just before it: both are tasks of the same step and
 * equal in all that placement depends on.
 *
 * Otherwise each of the hundreds of tasks of a job that waits for full workers
 * would be tried on each worker in each pass, and a pass would take longer
 * than the time between two ends of runs. The result is the same, as the unit
 * before was neither assigned nor had room reserved. */
static bool
has_same_outcome(const struct failed_placement *r, const struct jobs_unit *u)
{
    const struct jobs_unit *o = r->unit;

    return o != NULL && o->job == u->job && o->step == u->step &&
           o->occurrence == u->occurrence && o->ready_ms == u->ready_ms &&
           o->work_ms == u->work_ms && o->suspect == u->suspect &&
           o->failures == u->failures && !o->has_evicted && !u->has_evicted &&
           o->crashed_agent_hash == u->crashed_agent_hash &&
           strcmp(o->avoid_worker, u->avoid_worker) == 0;
}

/* Places a unit, unless that would certainly change nothing. */
static enum place_result
place_if_possible(struct jobs_scheduler *sched, struct jobs_unit *u,
                  int64_t now_ms, bool may_reserve)
{
    bool covered = Failed_Covers(sched, u, now_ms, may_reserve);
    enum place_result result;
    bool failed;

    if (covered && !sched->checks_failed) {
        return PLACE_NONE;
    }
    result = Place_Unit(sched, u, now_ms, may_reserve);
    failed = result == PLACE_NONE || (result == PLACE_PENDING && !may_reserve);
    sched->failed_wrongly += covered && !failed;
    if (failed && !covered) {
        Failed_Add(sched, u, now_ms, result == PLACE_PENDING);
    }
    return result;
}

/* Places a unit. Returns 1 when the unit waits for room that becomes free at
 * an unknown time, otherwise 0. */
static int
place_waiting(struct jobs_scheduler *sched, struct jobs_unit *u,
              int64_t now_ms, bool may_reserve, struct failed_placement *last)
{
    size_t start_bytes = Row_StartBytes(u);
    enum place_result result;

    if (has_same_outcome(last, u)) {
        return last->result == PLACE_PENDING;
    }
    result = place_if_possible(sched, u, now_ms, may_reserve);
    last->result = result;
    last->unit =
        result == PLACE_NONE || (result == PLACE_PENDING && !may_reserve)
            ? u
            : NULL;

    if (result == PLACE_NONE) {
        Domain_ReportWaiting(sched, u, now_ms);
    }
    if (result != PLACE_ASSIGNED && sched->question.count == 0) {
        Advice_ComposeQuestion(sched, u, now_ms, &sched->question);
    }
    if (result == PLACE_ASSIGNED) {
        u->job->row_bytes += start_bytes;
    }
    return result == PLACE_PENDING;
}

/* Places the units of a list, in their order. */
static void
place_all(struct jobs_scheduler *sched, const struct waiting_list *list,
          int64_t now_ms)
{
    struct failed_placement last = {0};
    int pending = 0;

    for (size_t i = 0; i < list->count; i++) {
        struct jobs_unit *u = list->units[i].unit;
        bool may_reserve = pending < PENDING_RESERVATIONS_MAX;

        if (list->units[i].is_upcoming) {
            pending += may_reserve && Place_Prepare(sched, u, now_ms);
        }
        else if (fits_row(u)) {
            pending += place_waiting(sched, u, now_ms, may_reserve, &last);
        }
    }
}

/* Chooses starts and stops. */
void
Jobs_Plan(struct jobs_scheduler *sched, int64_t now_ms, int64_t wall_ms)
{
    struct unit_list upcoming = TAILQ_HEAD_INITIALIZER(upcoming);
    struct waiting_list list = {0};

    sched->question.count = 0;
    expire_workers(sched, now_ms);
    Blame_Expire(sched, now_ms);
    Rank_All(sched);
    Drain_StopUnits(sched, now_ms);
    if (sched->limits.parts.shares) {
        Fair_Update(sched, now_ms);
    }
    move_slow_runs(sched, now_ms);
    collect(sched, now_ms, wall_ms, &list);
    collect_upcoming(sched, now_ms, wall_ms, &upcoming, &list);
    if (list.count > 1) {
        qsort(list.units, list.count, sizeof(*list.units),
              waiting_unit_compare);
    }
    if (sched->limits.parts.shares) {
        Fair_Order(sched, list.units, list.count, now_ms);
    }
    Failed_BeginPass(sched, now_ms);
    if (sched->limits.parts.timeline) {
        Timeline_BeginPass(sched, now_ms);
    }
    place_all(sched, &list, now_ms);
    note_ends_stored(sched);
    Timeline_DropUpcoming(&upcoming);
    free(list.units);
}
