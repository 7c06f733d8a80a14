#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Units that room is kept for without knowing until when. Kept for one, room
 * for the next wide gang begins to gather only when the first has started;
 * kept for more, room stands empty that smaller work could use. */
#define HELD_MAX 2
#define GONE_MS 60000 /* a silent worker without runs is forgotten */

/* A unit that waits, and its place in the queue. */
struct waiter {
    struct jobs_unit *unit;
    int64_t next_ms; /* the next time that matters to its caller */
};

/* First by rank, then by the next time that matters to the job's caller;
 * shorter objectives therefore come first, and waiting ages. */
static int
waiter_compare(const void *va, const void *vb)
{
    const struct waiter *a = va, *b = vb;
    int pa = a->unit->job->rank, pb = b->unit->job->rank;

    if (pa != pb) {
        return pa < pb ? -1 : 1;
    }
    if (a->next_ms != b->next_ms) {
        return a->next_ms < b->next_ms ? -1 : 1;
    }
    return strcmp(a->unit->job->spec.id, b->unit->job->spec.id);
}

/* Adds the occurrences of a job that are due. */
static void
add_due(struct jobs_scheduler *b, struct jobs_job *j, int64_t now_ms,
        int64_t wall_ms)
{
    while (j->occurrences < j->spec.repetitions && !j->cancelled &&
           j->state <= JOB_RUNNING &&
           wall_ms + b->limits.early_ms >=
               Scheduler_DueMs(j, j->occurrences) &&
           Scheduler_AddOccurrence(j)) {
        Scheduler_Touch(j);
    }
    Scheduler_NoteDue(j, now_ms, wall_ms);
}

/* True when all steps that the unit's step comes after are done. before: the
 * unit asked about last and its answer; a step's units follow each other. */
static bool
is_due(const struct jobs_unit *u, const struct jobs_unit **before, bool *due)
{
    const struct jobs_step *s = Unit_Step(u);
    const struct jobs_unit *other;

    if (*before != NULL && (*before)->job == u->job &&
        (*before)->step == u->step && (*before)->occurrence == u->occurrence) {
        return *due;
    }
    *before = u;
    *due = true;
    if (s->after_count == 0) {
        return true;
    }
    TAILQ_FOREACH (other, &u->job->units, entry) {
        for (uint32_t i = 0; i < s->after_count; i++) {
            if (other->occurrence == u->occurrence &&
                other->step == s->after[i] && other->state != UNIT_DONE) {
                *due = false;
                return false;
            }
        }
    }
    return true;
}

/* Collects the units that could start now, in order. */
static struct waiter *
collect(struct jobs_scheduler *b, int64_t now_ms, int64_t wall_ms,
        size_t *count)
{
    const struct jobs_unit *asked = NULL;
    struct waiter *list = NULL;
    struct jobs_unit *u;
    bool due = false;
    struct jobs_job *j;
    size_t cap = 0;

    *count = 0;
    TAILQ_FOREACH (j, &b->active, active) {
        if (j->held) {
            continue;
        }
        Scheduler_DropDone(j);
        add_due(b, j, now_ms, wall_ms);
        Objective_Set(b, j);
        j->row_bytes = Row_Bytes(b, j);
        TAILQ_FOREACH (u, &j->units, entry) {
            if (u->state != UNIT_WAITING || u->dropped ||
                j->state > JOB_RUNNING || u->not_before_ms > now_ms ||
                !is_due(u, &asked, &due)) {
                continue;
            }
            if (u->ready_ms == 0) {
                u->ready_ms = now_ms;
            }
            if (*count == cap) {
                cap = cap ? cap * 2 : 64;
                list = Mem_Grow(list, cap * sizeof(*list));
            }
            list[(*count)++] = (struct waiter){
                .unit = u, .next_ms = Objective_NextMs(u, now_ms)};
        }
    }
    if (*count > 1) {
        qsort(list, *count, sizeof(*list), waiter_compare);
    }
    return list;
}

/* Ends what can't run any more on workers whose agents say nothing. */
static void
lapse(struct jobs_scheduler *b, int64_t now_ms)
{
    struct jobs_worker *w, *next;

    for (w = RB_MIN(lifetime_tree, &b->workers); w != NULL; w = next) {
        next = RB_NEXT(lifetime_tree, &b->workers, w);
        w->reserved = (struct jobs_resources){0};
        if (now_ms - w->report_ms <= b->limits.silent_ms ||
            now_ms <= w->lease_end_ms) {
            continue;
        }
        Worker_Lost(b, w, "lease_over", now_ms);
        if (now_ms - w->report_ms > GONE_MS) {
            Worker_Free(b, w);
        }
    }
}

/* When nothing is to be written, ends without consequence are noted. */
static void
note_seen(struct jobs_scheduler *b)
{
    struct jobs_worker *w;
    struct jobs_job *j;

    if (b->batch_open) {
        return;
    }
    RB_FOREACH (j, book_tree, &b->jobs) {
        if (j->dirty) {
            return;
        }
    }
    RB_FOREACH (w, lifetime_tree, &b->workers) {
        w->seen_rows = w->seen;
    }
}

/* Stops runs that are better started elsewhere, when there is room. */
static void
leave_slow(struct jobs_scheduler *b, int64_t now_ms)
{
    struct jobs_unit *u;
    struct jobs_job *j;

    TAILQ_FOREACH (j, &b->active, active) {
        TAILQ_FOREACH (u, &j->units, entry) {
            if (!Pace_Crawls(u, now_ms) || !Place_CouldMove(b, u, now_ms)) {
                continue;
            }
            u->moves++;
            u->moved_away_ms = now_ms;
            Str_Copy(u->avoid, sizeof(u->avoid),
                     u->task_count == 1 ? u->tasks[0].worker->id : "");
            Unit_Stop(b, u, "crawls");
        }
    }
}

/* True when a unit's start can still be written in its job's row.
 *
 * Failure: a job of thousands of tasks starts more of them than its row can
 * name. Symptom: the store refuses the row, and with it the owner's whole
 * transaction, again and again, so that no job goes on. The rest of such a job
 * waits for the first of its tasks to end. */
static bool
fits_row(const struct jobs_unit *u)
{
    return u->run != 0 ||
           u->job->row_bytes + Row_StartBytes(u) <= JOBS_ROW_MAX;
}

/* The unit that found no room last in this pass, and kept none. */
struct refusal {
    const struct jobs_unit *unit; /* NULL: none */
    enum place_result result;
};

/* True when a unit fares as the one refused just before it: another task of
 * the same step, with nothing of its own that decides.
 *
 * Load: jobs of hundreds of tasks that wait for full workers. Without it each
 * task of them is tried on each worker in each pass, and a pass takes longer
 * than the time between two ends of runs. Nothing changes in between, as the
 * refused one took no room and kept none. */
static bool
fares_alike(const struct refusal *r, const struct jobs_unit *u)
{
    const struct jobs_unit *o = r->unit;

    return o != NULL && o->job == u->job && o->step == u->step &&
           o->occurrence == u->occurrence && o->ready_ms == u->ready_ms &&
           o->work_ms == u->work_ms && o->suspect == u->suspect &&
           o->crashed_at == u->crashed_at && strcmp(o->avoid, u->avoid) == 0;
}

/* Places a unit; 1 when room is held for it, else 0. */
static int
place_waiter(struct jobs_scheduler *b, struct jobs_unit *u, int64_t now_ms,
             bool may_hold, struct refusal *last)
{
    bool first_run = u->run == 0;
    enum place_result result;

    if (fares_alike(last, u)) {
        return last->result == PLACE_HELD;
    }
    result = Place_Unit(b, u, now_ms, may_hold);
    last->result = result;
    last->unit = result == PLACE_NOWHERE || (result == PLACE_HELD && !may_hold)
                     ? u
                     : NULL;

    if (result == PLACE_NOWHERE) {
        Domain_NoteWaiting(b, u, now_ms);
    }
    if (result != PLACE_GIVEN && b->question.count == 0) {
        Advice_Collect(b, u, now_ms, &b->question);
    }
    if (result == PLACE_GIVEN && first_run) {
        u->job->row_bytes += Row_StartBytes(u);
    }
    return result == PLACE_HELD;
}

/* Chooses starts and stops. */
void
Jobs_Plan(struct jobs_scheduler *b, int64_t now_ms, int64_t wall_ms)
{
    struct waiter *list CLEANUP(Mem_FreeP) = NULL;
    struct refusal last = {0};
    int held = 0;
    size_t count;

    b->question.count = 0;
    lapse(b, now_ms);
    Blame_Expire(b, now_ms);
    Rank_All(b);
    leave_slow(b, now_ms);
    list = collect(b, now_ms, wall_ms, &count);
    for (size_t i = 0; i < count; i++) {
        if (fits_row(list[i].unit)) {
            held +=
                place_waiter(b, list[i].unit, now_ms, held < HELD_MAX, &last);
        }
    }
    note_seen(b);
}
