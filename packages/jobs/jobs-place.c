#include "jobs-place.h"
#include "jobs-preempt.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/* True when a run counts as room that becomes free within a time: by the end
 * that the timeline predicts, if there is one. A member of a gang that has
 * done its part holds its room until the last one has. */
bool
Place_IsEnding(const struct jobs_task *t, int64_t now_ms, int64_t while_ms,
               bool whole_unit)
{
    const struct jobs_unit *u = t->unit;

    if (u->stopping || Unit_Step(u)->lasting) {
        return false;
    }
    if (u->end_pass != 0) {
        return u->end_ms <= now_ms + while_ms;
    }
    return t->confirmed && Pace_RemainingMs(t, now_ms) <= while_ms &&
           (!whole_unit || u->task_count == 1 ||
            Preempt_RemainingMs(u, now_ms) <= while_ms);
}

/* Adds the resources of the runs on a worker that will end within a time. */
static void
add_ending(const struct jobs_worker *w, const struct place_attempt *a,
           struct jobs_resources *free)
{
    const struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        struct jobs_resources need = Unit_Resources(t->unit);

        if (Place_IsEnding(t, a->now_ms, a->max_wait_ms, a->preemption)) {
            Resources_Add(free, &need, 1);
        }
    }
}

/* Returns the room that a worker is expected to have when the unit has waited
 * for max_wait_ms. The unit is assumed to run for the rest of the timeline, so
 * that more waiting never means less room. */
static struct jobs_resources
room_later(const struct jobs_worker *w, const struct place_attempt *a,
           struct jobs_resources free)
{
    int64_t at_ms = a->now_ms + a->max_wait_ms;
    struct jobs_resources ending = Timeline_Ending(w, at_ms);
    struct jobs_resources claimed =
        Timeline_Reserved(w, at_ms, TIMELINE_NEVER);

    Resources_Add(&free, &ending, 1);
    Resources_Add(&free, &claimed, -1);
    return free;
}

/* Returns the room that is left for the unit on a worker where room is
 * reserved from a later time on. */
static struct jobs_resources
room_beside(const struct jobs_worker *w, const struct place_attempt *a,
            struct jobs_resources free)
{
    int64_t until_ms =
        Timeline_UntilMs(a->unit, w, a->length_factor, a->now_ms);
    struct jobs_resources claimed = Timeline_Reserved(w, a->now_ms, until_ms);

    Resources_Add(&free, &claimed, -1);
    return free;
}

/* Returns the room on a worker, as the attempt defines it. */
static struct jobs_resources
room_on(const struct jobs_worker *w, const struct place_attempt *a)
{
    enum room room = a->room;
    struct jobs_resources free = w->capacity;

    Resources_Add(&free, &w->used, -1);
    Resources_Add(&free, &w->reserved, -1);
    if (room >= ROOM_FREEING) {
        Resources_Add(&free, &w->freeing, 1);
    }
    if (room == ROOM_ENDING && a->timeline) {
        return room_later(w, a, free);
    }
    if (w->timeline.reservation_count > 0) {
        return room_beside(w, a, free);
    }
    if (room == ROOM_ENDING) {
        add_ending(w, a, &free);
    }
    return free;
}

/* True when a worker may run the step, whatever its failure domain. */
bool
Place_IsFit(const struct jobs_scheduler *sched, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    bool labelled = *s->label == '\0';

    if (!w->reported || !w->term_confirmed || w->draining ||
        now_ms - w->report_ms > sched->limits.silent_ms ||
        w->full_until_ms > now_ms || Trust_KeepsOff(w, u, now_ms) ||
        strcmp(u->job->qos.service, w->service) != 0) {
        return false;
    }
    for (uint32_t i = 0; i < w->label_count; i++) {
        labelled = labelled || strcmp(w->labels[i], s->label) == 0;
    }
    return labelled;
}

/* True when a worker may run the step and its failure domain is not
 * emptied. */
bool
Place_MayRun(const struct jobs_scheduler *sched, const struct jobs_worker *w,
             const struct jobs_unit *u, int64_t now_ms)
{
    return !Domain_IsEmptied(sched, w) && Place_IsFit(sched, w, u, now_ms);
}

/* True when a worker may run the step, an adviser approves it where one is
 * asked, no run there is on probation, and the worker is trusted with one more
 * unit. */
static bool
is_eligible(const struct jobs_scheduler *sched, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    return w->on_probation == 0 && Place_MayRun(sched, w, u, now_ms) &&
           Trust_MayStart(sched, w, now_ms) && Advice_Allows(u, w, now_ms);
}

/* Counts the tasks of the unit's step and occurrence that are on a worker. */
static uint32_t
count_same(const struct jobs_worker *w, const struct jobs_unit *u)
{
    const struct jobs_task *t;
    uint32_t n = 0;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        n += t->unit->job == u->job && t->unit->step == u->step &&
             t->unit->occurrence == u->occurrence;
    }
    return n;
}

/* True for a unit that may fail only once more. */
static bool
has_last_attempt(const struct jobs_unit *u)
{
    return u->failures > 0 &&
           u->failures + 1 >= (uint32_t)u->job->qos.attempts;
}

/* True for the last attempt of a unit on a worker where no run has ended as
 * done recently.
 *
 * When several workers fail everything that they start, a task whose first run
 * failed on one of them could go to the next one, and its job would fail
 * although it could have been completed. Most workers of a busy fleet have
 * completed a run within some seconds. */
static bool
is_risky(const struct jobs_scheduler *sched, const struct jobs_worker *w,
         const struct jobs_unit *u, int64_t now_ms)
{
    static const int64_t recent_ms = 8000; /* about two typical runs */

    return has_last_attempt(u) && sched->quarantined_ms != 0 &&
           now_ms - sched->quarantined_ms <= recent_ms &&
           (w->last_success_ms == 0 ||
            now_ms - w->last_success_ms > recent_ms);
}

/* True for a worker that the unit should avoid because of crashes: its machine
 * crashed under the unit and may be the cause; or the unit is a suspect, and
 * another crash there would prove little or end other runs too. */
static bool
is_crash_prone(const struct jobs_scheduler *sched,
               const struct place_attempt *a, const struct jobs_worker *w)
{
    const struct jobs_unit *u = a->unit;

    return Blame_CrashedAt(u, w->agent) ||
           (u->suspect && (!TAILQ_EMPTY(&w->tasks) ||
                           Blame_HasCrashed(sched, w->agent, a->now_ms)));
}

/* True for a worker that is slow for all tasks, or for best-effort tasks. */
bool
Place_IsSlow(const struct jobs_worker *w, int64_t now_ms, bool best_effort)
{
    /* Percent of the cores below which best-effort tasks go elsewhere. */
    static const int64_t low_share = 50;

    return w->slow_until_ms > now_ms || (best_effort && w->share < low_share);
}

/* True for a worker that the unit should avoid. */
static bool
is_unpreferred(const struct jobs_scheduler *sched,
               const struct place_attempt *a, const struct jobs_worker *w)
{
    const struct jobs_unit *u = a->unit;
    int64_t now_ms = a->now_ms;

    return is_crash_prone(sched, a, w) ||
           Place_IsSlow(w, now_ms, Unit_Step(u)->fills) ||
           is_risky(sched, w, u, now_ms) ||
           strcmp(w->id, u->avoid_worker) == 0;
}

/* Returns the slowest band on which a unit meets its objective with half of
 * its slack, as lengths are off by about that much; INT_MIN for urgent units
 * and for late ones. The time of a result that is of no use any more does not
 * matter. */
static int
patient_band_of(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t slack = Objective_SlackMs(u, now_ms);
    int64_t work = Pace_WorkMs(u);

    if (u->job->qos.priority == 0) {
        return INT_MIN;
    }
    if (slack < 0) {
        return Objective_IsUseless(u, now_ms) ? INT_MAX : INT_MIN;
    }
    return work <= 0 ? INT_MAX
                     : Speed_SlowestBand(1 + (double)slack / 2 / (double)work);
}

/* Sets how the unit chooses among candidates of different speeds. */
static void
set_speeds(const struct jobs_scheduler *sched, struct place_attempt *a)
{
    int fastest = INT_MAX, slowest = INT_MIN;

    a->by_speed = false;
    if (!sched->limits.parts.speeds || Unit_Step(a->unit)->fills) {
        return;
    }
    for (size_t i = 0; i < a->count; i++) {
        int band = Speed_Band(a->candidates[i].worker->machine);

        a->candidates[i].band = band;
        fastest = band < fastest ? band : fastest;
        slowest = band > slowest ? band : slowest;
    }
    a->by_speed = fastest < slowest;
    a->fastest_band = fastest;
    a->patient_band = a->by_speed ? patient_band_of(a->unit, a->now_ms) : 0;
}

/* Returns how many tasks of the unit fit on a worker once all runs there that
 * end by themselves have ended. */
static uint32_t
fit_when_idle(const struct jobs_worker *w, const struct jobs_unit *u)
{
    struct jobs_resources need = Unit_Resources(u), free = w->capacity;
    uint32_t spread = Unit_Step(u)->spread, n = 0;
    const struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        struct jobs_resources used = Unit_Resources(t->unit);

        if (Unit_Step(t->unit)->lasting && !t->unit->stopping) {
            Resources_Add(&free, &used, -1);
        }
    }
    while (n < u->task_count && (spread == 0 || n < spread) &&
           free.millicores >= need.millicores &&
           free.memory_mb >= need.memory_mb &&
           free.accelerators >= need.accelerators) {
        Resources_Add(&free, &need, -1);
        n++;
    }
    return n;
}

/* True for a unit that has waited for long although half of its service's
 * capacity is idle. */
static bool
is_impatient(const struct jobs_scheduler *sched, const struct jobs_unit *u,
             int64_t now_ms)
{
    /* Below the 3 s for which work may wait while most of its service is
     * idle. */
    static const int64_t idle_wait_ms = 2000;

    return now_ms - u->ready_ms >= idle_wait_ms &&
           Trust_IsHalfIdle(sched, u->job->qos.service);
}

/* True when a unit should wait for the first n candidates, instead of using
 * workers that are not trusted: they can run it sooner or later, and if it
 * waits for long they are busy because the service is. */
static bool
should_wait_for(const struct jobs_scheduler *sched,
                const struct place_attempt *a, size_t n)
{
    const struct jobs_unit *u = a->unit;
    uint32_t fit = 0;

    for (size_t i = 0; i < n && fit < u->task_count; i++) {
        fit += fit_when_idle(a->candidates[i].worker, u);
    }
    return fit >= u->task_count && !is_impatient(sched, u, a->now_ms);
}

/* Removes the candidates that are regaining trust, for a unit whose next
 * failure fails its job. They stay when the unit should not wait for the
 * others. */
static void
drop_regaining(const struct jobs_scheduler *sched, struct place_attempt *a)
{
    size_t kept = 0;

    for (size_t i = 0; i < a->count; i++) {
        if (!Trust_IsRegaining(sched, a->candidates[i].worker, a->now_ms)) {
            struct place_candidate c = a->candidates[i];

            a->candidates[i] = a->candidates[kept];
            a->candidates[kept++] = c;
        }
    }
    a->count = should_wait_for(sched, a, kept) ? kept : a->count;
}

/* Adds the workers that may run the unit to the candidates. */
static void
add_candidates(struct jobs_scheduler *sched, struct place_attempt *a)
{
    bool limited = Unit_Step(a->unit)->spread > 0;
    struct jobs_worker *w;

    a->count = 0;
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        if (is_eligible(sched, w, a->unit, a->now_ms)) {
            a->candidates[a->count++] = (struct place_candidate){
                .worker = w,
                .unpreferred = is_unpreferred(sched, a, w),
                .bad_neighbour = -1,
                .same_step = limited ? count_same(w, a->unit) : 0};
        }
    }
}

/* Lists the workers that may run the unit, once for all attempts. Those that
 * are in quarantine for long come in only if it should not wait for others. */
static void
list_candidates(struct jobs_scheduler *sched, struct place_attempt *a,
                int64_t now_ms)
{
    if (sched->candidate_cap < sched->worker_count) {
        sched->candidate_cap = sched->worker_count + sched->worker_count / 2;
        sched->candidates =
            Mem_Grow(sched->candidates,
                     sched->candidate_cap * sizeof(*sched->candidates));
    }
    a->candidates = sched->candidates;
    a->timeline = sched->limits.parts.timeline;
    a->length_factor = 1;
    a->now_ms = now_ms;
    a->unit->may_use_quarantined = false;
    add_candidates(sched, a);
    if (sched->has_long_quarantine && !should_wait_for(sched, a, a->count)) {
        a->unit->may_use_quarantined = true;
        add_candidates(sched, a);
    }
    if (has_last_attempt(a->unit)) {
        drop_regaining(sched, a);
    }
    set_speeds(sched, a);
}

/* Sets the kind of room that counts, and computes it for all candidates. */
void
Place_SetRoom(struct place_attempt *a, enum room room)
{
    a->room = room;
    for (size_t i = 0; i < a->count; i++) {
        a->candidates[i].room = room_on(a->candidates[i].worker, a);
    }
}

/* True when the unit may run far from its data or spread over racks, which
 * takes longer: it has waited for half of the time that running near would
 * save. */
bool
Place_MayBeRemote(const struct jobs_scheduler *sched,
                  const struct jobs_unit *u, int64_t now_ms)
{
    /* Within the time limit for reclaiming a guarantee. */
    static const int64_t urgent_ms = 900;
    const struct jobs_step *s = Unit_Step(u);
    double saved = (sched->limits.remote_factor - 1) * (double)s->estimate_ms;
    int64_t wait_ms = (int64_t)(saved / 2);

    if (u->job->qos.priority == 0 && wait_ms > urgent_ms) {
        wait_ms = urgent_ms;
    }
    return now_ms - u->ready_ms >= wait_ms;
}

/* True when a step has data in a rack, or a gang that should share one. */
bool
Place_CanBeRemote(const struct jobs_unit *u)
{
    const struct jobs_step *s = Unit_Step(u);

    return *s->rack != '\0' || (s->same_rack && u->task_count > 1);
}

/* Chooses candidates with a kind of room, near or, if allowed, far. */
bool
Place_TryRoom(struct jobs_scheduler *sched, struct place_attempt *a,
              enum room room, int64_t now_ms)
{
    a->length_factor = 1;
    Place_SetRoom(a, room);
    a->locality = "near";
    if (Choose_Local(a)) {
        return true;
    }
    a->locality = "far";
    if (!Place_CanBeRemote(a->unit) ||
        !Place_MayBeRemote(sched, a->unit, now_ms)) {
        return false;
    }
    if (sched->timeline.reservations > 0) {
        a->length_factor = sched->limits.remote_factor;
        Place_SetRoom(a, room);
    }
    return Choose_Workers(a, NULL);
}

/* Assigns the unit to the chosen workers. */
static void
assign(struct jobs_scheduler *sched, struct place_attempt *a, int64_t now_ms)
{
    struct jobs_unit *u = a->unit;

    sched->speeds.chosen += a->by_speed;
    u->state = UNIT_ASSIGNED;
    u->has_evicted = false;
    u->evicted_price = 0;
    u->run++;
    u->failure_counted = false;
    u->stopping = false;
    u->unwritten = true;
    for (uint32_t k = 0; k < u->task_count; k++) {
        u->tasks[k].assigned_ms = now_ms;
        u->tasks[k].remote = strcmp(a->locality, "far") == 0;
        Worker_AddTask(a->chosen[k]->worker, &u->tasks[k]);
        Event_Task(sched, JOBS_RUN_GIVEN, &u->tasks[k], a->locality)->number =
            now_ms - u->ready_ms;
    }
    Scheduler_MarkDirty(u->job);
}

/* Reserves the chosen room, so that units after this one in the plan do not
 * get it. */
void
Place_Reserve(struct place_attempt *a)
{
    struct jobs_resources need = Unit_Resources(a->unit);

    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        Resources_Add(&a->chosen[k]->worker->reserved, &need, 1);
    }
}

/* Makes room on the chosen workers. */
void
Place_Evict(struct jobs_scheduler *sched, struct place_attempt *a,
            int64_t now_ms)
{
    for (size_t i = 0; i < a->count; i++) {
        if (a->candidates[i].assigned > 0) {
            Evict_Apply(sched, a->candidates[i].worker, a->unit,
                        a->candidates[i].assigned, now_ms);
        }
    }
}

/* Returns how long a unit can wait for runs to end by themselves instead of
 * evicting them: half of the time until its job would miss its objective, as
 * estimates are off by about that much. Within a guarantee, it is at most the
 * time that leaves room for a stop and a start, twice, before the guarantee is
 * broken. */
int64_t
Place_MaxWaitMs(const struct jobs_unit *u, int64_t now_ms)
{
    /* A part of the 2,700 ms in which a guarantee has to be reclaimed. */
    static const int64_t guaranteed_wait_ms = 800;
    static const int64_t change_ms = 400; /* for a stop and a start */
    int64_t wait_ms = Objective_SlackMs(u, now_ms) / 2 - change_ms;
    int64_t guaranteed_wait = u->ready_ms + guaranteed_wait_ms - now_ms;

    if (u->job->rank == RANK_GUARANTEED && guaranteed_wait < wait_ms) {
        wait_ms = guaranteed_wait;
    }
    return wait_ms;
}

/* Returns the cost of the evictions on all chosen candidates. */
double
Place_EvictionCost(const struct place_attempt *a)
{
    double sum = 0;

    for (size_t i = 0; i < a->count; i++) {
        sum += a->candidates[i].assigned > 0 ? a->candidates[i].cost : 0;
    }
    return sum;
}

/* Reserves the chosen room if that is allowed. */
enum place_result
Place_ReserveIfAllowed(struct place_attempt *a, bool may_reserve)
{
    if (may_reserve) {
        Place_Reserve(a);
    }
    return PLACE_PENDING;
}

/* Places a unit on free room; otherwise on room that is being freed or soon
 * will be; otherwise, for priority 0, by evicting runs of lower rank. Room
 * that becomes free at an unknown time is reserved only if may_reserve. */
static enum place_result
place_attempt(struct jobs_scheduler *sched, struct place_attempt *a,
              int64_t now_ms, bool may_reserve)
{
    if (Place_TryRoom(sched, a, ROOM_NOW, now_ms)) {
        assign(sched, a, now_ms);
        return PLACE_ASSIGNED;
    }
    if (Place_TryRoom(sched, a, ROOM_FREEING, now_ms)) {
        Place_Reserve(a);
        return PLACE_FREEING;
    }
    if (sched->limits.parts.preemption && a->unit->job->qos.priority == 0) {
        return Later_PlaceUrgent(sched, a, may_reserve);
    }
    if (a->timeline) {
        return Later_Place(sched, a, now_ms, may_reserve);
    }
    a->max_wait_ms = Place_MaxWaitMs(a->unit, now_ms);
    if (a->max_wait_ms > 0 && Place_TryRoom(sched, a, ROOM_ENDING, now_ms)) {
        return Place_ReserveIfAllowed(a, may_reserve);
    }
    if (a->unit->job->qos.priority != 0 ||
        !Place_TryRoom(sched, a, ROOM_EVICTING, now_ms)) {
        return PLACE_NONE;
    }
    if (Place_EvictionCost(a) > Evict_Budget(a->unit, now_ms)) {
        return Place_ReserveIfAllowed(a, may_reserve);
    }
    Place_Evict(sched, a, now_ms);
    Place_Reserve(a);
    return PLACE_FREEING;
}

/* True when the worker has free resources for a task of the unit now. */
bool
Place_HasRoom(const struct jobs_worker *w, const struct jobs_unit *u,
              int64_t now_ms)
{
    struct jobs_unit *unit = (struct jobs_unit *)u;
    struct place_attempt a = {
        .unit = unit, .room = ROOM_NOW, .now_ms = now_ms, .length_factor = 1};
    struct place_candidate c = {.free = room_on(w, &a)};

    return Choose_Fits(&c, Unit_Step(u));
}

/* Returns how long a unit waits before it accepts a worker that it should
 * avoid. Any other worker is better, but none at all is worst. */
static int64_t
preference_wait_ms(const struct jobs_unit *u)
{
    static const int64_t urgent_ms = 300, usual_ms = 1500;

    return u->job->qos.priority == 0 ? urgent_ms : usual_ms;
}

/* True when there are candidates that the unit should avoid. */
static bool
has_unpreferred(const struct place_attempt *a)
{
    for (size_t i = 0; i < a->count; i++) {
        if (a->candidates[i].unpreferred) {
            return true;
        }
    }
    return false;
}

/* Returns which room a unit may use, beside what is free. */
struct place_scope
Place_Scope(const struct jobs_scheduler *sched, const struct jobs_unit *u,
            int64_t now_ms)
{
    int64_t wait_ms = Place_MaxWaitMs(u, now_ms);

    if (sched->limits.parts.preemption && u->job->qos.priority == 0) {
        wait_ms = Preempt_WaitMs(u, now_ms);
    }
    return (struct place_scope){
        .wait_ms = wait_ms > 0 ? wait_ms : 0,
        .remote = Place_CanBeRemote(u) && Place_MayBeRemote(sched, u, now_ms),
        .unpreferred = now_ms - u->ready_ms >= preference_wait_ms(u),
        .impatient =
            sched->has_long_quarantine && is_impatient(sched, u, now_ms),
        .evicts = u->job->qos.priority == 0,
        .length_ms = sched->timeline.reservations == 0 ? 0
                     : Unit_Step(u)->lasting           ? TIMELINE_NEVER
                                                       : Pace_WorkMs(u)};
}

/* Places a unit. */
enum place_result
Place_Unit(struct jobs_scheduler *sched, struct jobs_unit *u, int64_t now_ms,
           bool may_reserve)
{
    struct place_candidate **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct place_candidate *));
    struct place_attempt a = {.unit = u,
                              .chosen = chosen,
                              .preemption = sched->limits.parts.preemption};
    enum place_result result;

    sched->units_tried++;
    list_candidates(sched, &a, now_ms);
    result = place_attempt(sched, &a, now_ms, may_reserve);
    a.allow_unpreferred = true;
    if (now_ms - u->ready_ms < preference_wait_ms(u) || !has_unpreferred(&a)) {
        return result;
    }
    if (result == PLACE_NONE) {
        return place_attempt(sched, &a, now_ms, may_reserve);
    }
    /* A unit that would wait for room prefers free room on a worker that it
     * should avoid. */
    if (result == PLACE_PENDING &&
        Place_TryRoom(sched, &a, ROOM_NOW, now_ms)) {
        Timeline_Cancel(sched, u);
        assign(sched, &a, now_ms);
        return PLACE_ASSIGNED;
    }
    return result;
}

/* Reserves room for a unit that starts at its due time. */
bool
Place_Prepare(struct jobs_scheduler *sched, struct jobs_unit *u,
              int64_t now_ms)
{
    struct place_candidate **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct place_candidate *));
    struct place_attempt a = {.unit = u, .chosen = chosen};

    list_candidates(sched, &a, now_ms);
    return Later_Reserve(sched, &a, u->due_ms - now_ms, now_ms);
}

/* True when there are free resources elsewhere for the unit to move to now. */
bool
Place_CouldMove(struct jobs_scheduler *sched, struct jobs_unit *u,
                int64_t now_ms)
{
    struct place_candidate **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct place_candidate *));
    struct place_attempt a = {.unit = u, .chosen = chosen};

    list_candidates(sched, &a, now_ms);
    Place_SetRoom(&a, ROOM_NOW);
    return Choose_Local(&a);
}
