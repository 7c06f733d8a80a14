/* Places units that find no room now: on room that becomes free later, by the
 * timeline, or by evicting runs for them. */
#include "jobs-place.h"
#include "jobs-preempt.h"

/* True when the unit fits once it has waited for a time, and its workers are
 * chosen for that. */
static bool
fits_after(struct jobs_scheduler *sched, struct place_attempt *a,
           int64_t wait_ms, int64_t now_ms)
{
    Timeline_Predict(sched, now_ms);
    a->max_wait_ms = wait_ms;
    return Place_TryRoom(sched, a, ROOM_ENDING, now_ms);
}

/* Finds the shortest wait after which the unit fits, and its workers. Room
 * only grows along the timeline, so the interval is halved. */
static bool
find_earliest(struct jobs_scheduler *sched, struct place_attempt *a,
              int64_t least_ms, int64_t now_ms)
{
    static const int64_t precise_ms = 10; /* less than reports are apart */
    int64_t shorter = least_ms, wait_ms;

    Timeline_Predict(sched, now_ms);
    wait_ms = sched->timeline.last_end_ms - now_ms;
    if (least_ms > 0 && fits_after(sched, a, least_ms, now_ms)) {
        return true;
    }
    if (!fits_after(sched, a, wait_ms, now_ms)) {
        return false;
    }
    a->any = true;
    while (wait_ms - shorter > precise_ms) {
        int64_t middle = shorter + (wait_ms - shorter) / 2;

        if (fits_after(sched, a, middle, now_ms)) {
            wait_ms = middle;
        }
        else {
            shorter = middle;
        }
    }
    a->any = false;
    return fits_after(sched, a, wait_ms, now_ms);
}

/* Reserves the earliest room on which the unit fits after a least wait, from
 * then on. */
bool
Later_Reserve(struct jobs_scheduler *sched, struct place_attempt *a,
              int64_t least_ms, int64_t now_ms)
{
    int64_t start_ms;

    if (!find_earliest(sched, a, least_ms, now_ms)) {
        return false;
    }
    start_ms = now_ms + a->max_wait_ms;
    for (size_t i = 0; i < a->count; i++) {
        Timeline_Reserve(a->candidates[i].worker, a->unit,
                         a->candidates[i].assigned, start_ms);
    }
    sched->timeline.reservations++;
    if (a->max_wait_ms > least_ms) {
        Timeline_Report(sched, a->unit->job, start_ms, now_ms);
    }
    return true;
}

/* Places a unit that finds no room now: reserves room with a start time, or
 * evicts runs of lower rank for it if it can't wait. The time is computed only
 * for units that may reserve room. */
enum place_result
Later_Place(struct jobs_scheduler *sched, struct place_attempt *a,
            int64_t now_ms, bool may_reserve)
{
    bool urgent = a->unit->job->qos.priority == 0;
    int64_t wait_ms = Place_MaxWaitMs(a->unit, now_ms);
    bool can_wait =
        urgent && wait_ms > 0 && fits_after(sched, a, wait_ms, now_ms);

    if (urgent && !can_wait &&
        Place_TryRoom(sched, a, ROOM_EVICTING, now_ms)) {
        can_wait = Place_EvictionCost(a) > Evict_Budget(a->unit, now_ms);
        if (!can_wait) {
            Place_Evict(sched, a, now_ms);
            Place_Reserve(a);
            return PLACE_FREEING;
        }
    }
    if (may_reserve && Later_Reserve(sched, a, 0, now_ms)) {
        return PLACE_PENDING;
    }
    return can_wait ? PLACE_PENDING : PLACE_NONE;
}

/* Fills the rooms of a plan with the candidates that the attempt may use; if
 * rack is not NULL, only those in that rack. */
static void
list_rooms(const struct place_attempt *a, const char *rack,
           struct preempt_plan *p)
{
    uint32_t spread = Unit_Step(a->unit)->spread;

    p->room_count = 0;
    for (size_t i = 0; i < a->count; i++) {
        const struct place_candidate *c = &a->candidates[i];
        uint32_t limit = spread == 0             ? UINT32_MAX
                         : spread > c->same_step ? spread - c->same_step
                                                 : 0;

        if (Choose_IsAllowed(a, c, rack)) {
            p->rooms[p->room_count++] = (struct preempt_room){
                .worker = c->worker, .free = c->room, .limit = limit};
        }
    }
}

/* Plans evictions in one rack if rack is not NULL, otherwise on all
 * candidates. */
static bool
plan_in(struct jobs_scheduler *sched, const struct place_attempt *a,
        const char *rack, struct preempt_plan *p)
{
    list_rooms(a, rack, p);
    return Preempt_Choose(sched, p);
}

/* Plans evictions near the step's data, or for a gang in the rack where they
 * are cheapest. */
static bool
plan_local(struct jobs_scheduler *sched, const struct place_attempt *a,
           struct preempt_plan *p)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    const char *best = NULL, *last = NULL;
    double price = 0;

    if (*step->rack != '\0') {
        return plan_in(sched, a, step->rack, p);
    }
    if (!step->same_rack || a->unit->task_count == 1) {
        return plan_in(sched, a, NULL, p);
    }
    for (size_t i = 0; i < a->count; i++) {
        const char *rack = a->candidates[i].worker->rack;

        if (!Choose_IsFirstOfRack(a, i)) {
            continue;
        }
        last = rack;
        if (plan_in(sched, a, rack, p) &&
            (best == NULL || Preempt_Price(p) < price)) {
            best = rack;
            price = Preempt_Price(p);
        }
    }
    return best != NULL && (best == last || plan_in(sched, a, best, p));
}

/* Decides on evictions near, and if these are declined and it is allowed,
 * far. True when the plan is possible. */
static bool
decide(struct jobs_scheduler *sched, const struct place_attempt *a,
       struct preempt_plan *p, struct preempt_verdict *v)
{
    bool is_possible = plan_local(sched, a, p);

    *v = (struct preempt_verdict){.reason = "no_victims"};
    p->remote_factor = 1;
    if (is_possible) {
        *v = Preempt_Decide(p);
    }
    if (v->evicts || !Place_CanBeRemote(a->unit) ||
        !Place_MayBeRemote(sched, a->unit, a->now_ms) ||
        !plan_in(sched, a, NULL, p)) {
        return is_possible;
    }
    p->remote_factor = sched->limits.remote_factor;
    *v = Preempt_Decide(p);
    return true;
}

/* Chooses the room of runs that end within a time; if it is to be reserved,
 * that which becomes free first. */
static bool
try_ending(struct jobs_scheduler *sched, struct place_attempt *a,
           int64_t while_ms, bool may_reserve)
{
    static const int64_t first_ms = 500;

    if (a->timeline) {
        return while_ms > 0 && fits_after(sched, a, while_ms, a->now_ms);
    }
    a->max_wait_ms = while_ms;
    if (while_ms <= 0 || !Place_TryRoom(sched, a, ROOM_ENDING, a->now_ms)) {
        return false;
    }
    if (!may_reserve) {
        return true;
    }
    for (int64_t t = first_ms; t < while_ms; t *= 2) {
        a->max_wait_ms = t;
        if (Place_TryRoom(sched, a, ROOM_ENDING, a->now_ms)) {
            return true;
        }
    }
    a->max_wait_ms = while_ms;
    return Place_TryRoom(sched, a, ROOM_ENDING, a->now_ms);
}

/* Reserves room that becomes free by itself for a unit for which nothing is
 * evicted now. What was freed for it by earlier evictions stays reserved. */
static enum place_result
reserve_ending(struct jobs_scheduler *sched, struct place_attempt *a,
               bool may_reserve)
{
    if (a->unit->has_evicted) {
        Place_Reserve(a);
        return PLACE_FREEING;
    }
    if (a->timeline) {
        if (may_reserve) {
            Later_Reserve(sched, a, 0, a->now_ms);
        }
        return PLACE_PENDING;
    }
    return Place_ReserveIfAllowed(a, may_reserve);
}

/* Reserves room for a unit that no eviction helps, so that it is not overtaken
 * for ever: the room that becomes free first, or that of the plan. */
static enum place_result
reserve_declined(struct jobs_scheduler *sched, struct place_attempt *a,
                 const struct preempt_plan *p, bool may_reserve)
{
    if (!may_reserve) {
        return p == NULL ? PLACE_NONE : PLACE_PENDING;
    }
    if (a->timeline && !a->unit->has_evicted &&
        Later_Reserve(sched, a, 0, a->now_ms)) {
        return PLACE_PENDING;
    }
    if (try_ending(sched, a, PREEMPT_PATIENCE_MS, true)) {
        return reserve_ending(sched, a, true);
    }
    if (p == NULL) {
        return PLACE_NONE;
    }
    Preempt_Reserve(p);
    return a->unit->has_evicted ? PLACE_FREEING : PLACE_PENDING;
}

/* Places an urgent unit for which no room is free or being freed: on room that
 * becomes free by itself, or by evicting runs for the whole unit if that gains
 * enough. */
enum place_result
Later_PlaceUrgent(struct jobs_scheduler *sched, struct place_attempt *a,
                  bool may_reserve)
{
    struct preempt_plan plan CLEANUP(Preempt_Clear) = {.unit = a->unit,
                                                       .now_ms = a->now_ms};
    bool reserves = may_reserve || a->unit->has_evicted;
    bool useless = Preempt_IsUseless(a->unit, a->now_ms), is_possible;
    struct preempt_verdict v = {.reason = useless ? "no_use" : "room_frees"};

    plan.wait_ms = Preempt_WaitMs(a->unit, a->now_ms);
    if (try_ending(sched, a, useless ? PREEMPT_PATIENCE_MS : plan.wait_ms,
                   reserves)) {
        Preempt_Decline(sched, a->unit, &v);
        return reserve_ending(sched, a, may_reserve);
    }
    a->max_wait_ms = plan.wait_ms;
    Place_SetRoom(a, plan.wait_ms > 0 ? ROOM_ENDING : ROOM_FREEING);
    plan.rooms = Mem_Zero(a->count + 1, sizeof(*plan.rooms));
    is_possible = decide(sched, a, &plan, &v);
    if (v.evicts) {
        Preempt_Apply(sched, a->unit, &plan, &v);
        return PLACE_FREEING;
    }
    Preempt_Decline(sched, a->unit, &v);
    return reserve_declined(sched, a, is_possible ? &plan : NULL, reserves);
}
