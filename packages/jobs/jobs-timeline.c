/* The capacity timeline: predicted ends of runs, and reservations of room with
 * a start time.
 *
 * Assumed load: wide gangs wait beside a stream of long single tasks. Without
 * a start time, reserved room stays unused by everything until the gang
 * starts; without a reservation, single tasks take each piece of room as it
 * becomes free, and the gang never starts. */
#include "jobs-scheduler.h"

#include <stdlib.h>

/* Ends are seen in reports, which arrive at least this often. A run that has
 * passed its predicted end does not end earlier than in the next one. */
#define REPORT_MS 100
/* Room is reserved this long before an occurrence is due: the length of
 * typical runs, as shorter ones can use the room until then. */
#define UPCOMING_MS 5000
/* Starts that differ by less are reported as one. */
#define SAME_START_MS 1000

/* Returns how long the present run of a task still takes. A run that has
 * exceeded its prediction is expected to last as long again as it has
 * exceeded it. */
static int64_t
remaining_ms(const struct jobs_task *t, int64_t now_ms)
{
    int64_t left = Pace_RemainingMs(t, now_ms);

    left = left < 0 ? -left : left;
    return left > REPORT_MS ? left : REPORT_MS;
}

/* Returns when the run of a unit is expected to end. A gang frees its room
 * when its last member ends. The result is computed once in a pass. */
static int64_t
end_of(struct jobs_scheduler *sched, struct jobs_unit *u, int64_t now_ms)
{
    int64_t longest = 0;

    if (u->end_pass == sched->timeline.pass) {
        return u->end_ms;
    }
    for (uint32_t i = 0; i < u->task_count; i++) {
        int64_t left = u->tasks[i].worker != NULL
                           ? remaining_ms(&u->tasks[i], now_ms)
                           : 0;

        longest = left > longest ? left : longest;
    }
    u->end_pass = sched->timeline.pass;
    u->end_ms = now_ms + longest;
    return u->end_ms;
}

/* Adds the end of a run to the count ends of its worker, which are kept by
 * time. */
static void
insert_end(struct timeline_end *ends, size_t count, struct timeline_end e)
{
    while (count > 0 && ends[count - 1].at_ms > e.at_ms) {
        ends[count] = ends[count - 1];
        count--;
    }
    ends[count] = e;
}

/* Returns the place for the end with an index, in an array that grows. */
static struct timeline_end *
end_at(struct timeline *line, size_t at)
{
    if (at >= line->end_cap) {
        line->end_cap = at + at / 2 + 64;
        line->ends = Mem_Grow(line->ends, line->end_cap * sizeof(*line->ends));
    }
    return &line->ends[at];
}

/* Predicts the ends of the runs on a worker, after `first` ends of others, and
 * returns their number. */
static uint32_t
predict_ends(struct jobs_scheduler *sched, struct jobs_worker *w, size_t first,
             int64_t now_ms)
{
    struct timeline *line = &sched->timeline;
    struct jobs_task *t;
    uint32_t count = 0;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        struct jobs_unit *u = t->unit;
        struct timeline_end e = {.task = t, .frees = Unit_Resources(u)};

        if (u->state != UNIT_ASSIGNED || u->stopping ||
            Unit_Step(u)->lasting) {
            continue;
        }
        e.at_ms = end_of(sched, u, now_ms);
        line->last_end_ms =
            e.at_ms > line->last_end_ms ? e.at_ms : line->last_end_ms;
        insert_end(end_at(line, first + count) - count, count, e);
        count++;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct timeline_end *e = &line->ends[first + i];

        e->sum = i > 0 ? e[-1].sum : (struct jobs_resources){0};
        Resources_Add(&e->sum, &e->frees, 1);
    }
    w->timeline.end_count = count;
    w->timeline.has_stops = false;
    return count;
}

/* Forgets the reservations on a worker. */
void
Timeline_Clear(struct jobs_worker *w)
{
    w->timeline.reservation_count = 0;
}

/* Prepares a pass. */
void
Timeline_BeginPass(struct jobs_scheduler *sched, int64_t now_ms)
{
    sched->timeline.pass++;
    sched->timeline.is_predicted = false;
    sched->timeline.reservations = 0;
    sched->timeline.last_end_ms = now_ms;
}

/* Predicts the ends of all runs, once in a pass. */
void
Timeline_Predict(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct timeline *line = &sched->timeline;
    struct jobs_worker *w;
    size_t count = 0;

    if (line->is_predicted) {
        return;
    }
    line->is_predicted = true;
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        count += predict_ends(sched, w, count, now_ms);
    }
    /* The array may have moved while it grew. */
    count = 0;
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        w->timeline.ends = line->ends + count;
        count += w->timeline.end_count;
    }
}

/* Returns the resources of the runs that are expected to end until a time. */
struct jobs_resources
Timeline_Ending(const struct jobs_worker *w, int64_t at_ms)
{
    const struct timeline_worker *line = &w->timeline;
    struct jobs_resources sum = {0};
    size_t count = 0;

    while (count < line->end_count && line->ends[count].at_ms <= at_ms) {
        count++;
    }
    if (!line->has_stops) {
        return count > 0 ? line->ends[count - 1].sum : sum;
    }
    for (size_t i = 0; i < count; i++) {
        if (!line->ends[i].task->unit->stopping) {
            Resources_Add(&sum, &line->ends[i].frees, 1);
        }
    }
    return sum;
}

/* Raises each resource to at least that of another amount. */
static void
raise_to(struct jobs_resources *to, const struct jobs_resources *other)
{
    to->millicores = to->millicores > other->millicores ? to->millicores
                                                        : other->millicores;
    to->memory_mb =
        to->memory_mb > other->memory_mb ? to->memory_mb : other->memory_mb;
    to->accelerators = to->accelerators > other->accelerators
                           ? to->accelerators
                           : other->accelerators;
}

/* Returns what all reservations on a worker that have started by a time need,
 * less the resources of the runs that end from from_ms until then. A reserved
 * unit is assumed to run for the rest of the timeline. */
static struct jobs_resources
lacking_at(const struct jobs_worker *w, int64_t from_ms, int64_t at_ms)
{
    struct jobs_resources sum = Timeline_Ending(w, from_ms);
    struct jobs_resources ending = Timeline_Ending(w, at_ms);

    Resources_Add(&sum, &ending, -1);
    for (uint32_t i = 0; i < w->timeline.reservation_count; i++) {
        if (w->timeline.reservations[i].start_ms <= at_ms) {
            Resources_Add(&sum, &w->timeline.reservations[i].need, 1);
        }
    }
    return sum;
}

/* Returns how much of the room at a time is reserved against a run. */
struct jobs_resources
Timeline_Reserved(const struct jobs_worker *w, int64_t at_ms, int64_t until_ms)
{
    struct jobs_resources most = {0};

    for (uint32_t i = 0; i < w->timeline.reservation_count; i++) {
        int64_t start_ms = w->timeline.reservations[i].start_ms;

        if (start_ms < until_ms) {
            struct jobs_resources lacking =
                lacking_at(w, at_ms, start_ms > at_ms ? start_ms : at_ms);

            raise_to(&most, &lacking);
        }
    }
    return most;
}

/* Returns the time until which a run of the unit may last. A service lasts for
 * ever. */
int64_t
Timeline_UntilMs(const struct jobs_unit *u, const struct jobs_worker *w,
                 double factor, int64_t now_ms)
{
    double length_ms = (double)Pace_LengthOn(u, w) * factor;

    /* No length beyond the longest estimate can overflow the sum. */
    if (Unit_Step(u)->lasting || length_ms > (double)JOBS_DUE_MAX_MS) {
        return TIMELINE_NEVER;
    }
    return now_ms + (int64_t)(length_ms + length_ms / 2);
}

/* Reserves room for n tasks of a unit on a worker from a time on. */
void
Timeline_Reserve(struct jobs_worker *w, const struct jobs_unit *u, uint32_t n,
                 int64_t start_ms)
{
    struct jobs_resources need = Unit_Resources(u);
    struct timeline_reservation *r;

    if (n == 0 || w->timeline.reservation_count == TIMELINE_RESERVATIONS_MAX) {
        return;
    }
    r = &w->timeline.reservations[w->timeline.reservation_count++];
    *r = (struct timeline_reservation){.unit = u, .start_ms = start_ms};
    Resources_Add(&r->need, &need, (int)n);
}

/* Gives up the reservation of a unit, which is the last one of the pass. */
void
Timeline_Cancel(struct jobs_scheduler *sched, const struct jobs_unit *u)
{
    struct jobs_worker *w;
    bool found = false;

    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        struct timeline_worker *line = &w->timeline;

        if (line->reservation_count > 0 &&
            line->reservations[line->reservation_count - 1].unit == u) {
            line->reservation_count--;
            found = true;
        }
    }
    sched->timeline.reservations -= found;
}

/* Emits an event on a reservation. */
void
Timeline_Report(struct jobs_scheduler *sched, struct jobs_job *j,
                int64_t start_ms, int64_t now_ms)
{
    int64_t moved_ms = start_ms - j->reserved_start_ms;

    if (j->reserved_start_ms != 0 && moved_ms < SAME_START_MS &&
        moved_ms > -SAME_START_MS) {
        return;
    }
    j->reserved_start_ms = start_ms;
    Event_Job(sched, JOBS_JOB_WAITS, j, "room_reserved")->number =
        start_ms - now_ms;
}

/* Adds a wide unit of a job's next occurrence. */
static void
add_upcoming(struct jobs_job *j, uint32_t step, int64_t start_ms,
             struct unit_list *list)
{
    struct jobs_unit *u = Mem_Zero(1, sizeof(*u));

    u->job = j;
    u->occurrence = j->occurrences;
    u->step = step;
    u->task_count = j->spec.steps[step].count;
    u->due_ms = u->ready_ms = start_ms;
    TAILQ_INSERT_TAIL(list, u, entry);
}

/* Adds the wide units of a job's next occurrence, if that is due soon: the
 * gangs that depend on no other step. Single tasks start one by one, as room
 * becomes free. */
void
Timeline_AddUpcoming(const struct jobs_scheduler *sched, struct jobs_job *j,
                     int64_t now_ms, int64_t wall_ms, struct unit_list *list)
{
    int64_t left_ms;

    if (j->occurrences >= j->spec.repetitions || j->cancelled ||
        j->state > JOB_RUNNING) {
        return;
    }
    left_ms =
        Scheduler_DueMs(j, j->occurrences) - sched->limits.early_ms - wall_ms;
    if (left_ms <= 0 || left_ms > UPCOMING_MS) {
        return;
    }
    for (uint32_t i = 0; i < j->spec.step_count; i++) {
        const struct jobs_step *s = &j->spec.steps[i];

        if (s->gang && s->count > 1 && s->after_count == 0) {
            add_upcoming(j, i, now_ms + left_ms, list);
        }
    }
}

/* Frees upcoming units. */
void
Timeline_DropUpcoming(struct unit_list *list)
{
    struct jobs_unit *u;

    while ((u = TAILQ_FIRST(list)) != NULL) {
        TAILQ_REMOVE(list, u, entry);
        free(u);
    }
}
