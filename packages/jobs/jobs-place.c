#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* What counts as room. */
enum room {
    ROOM_NOW,     /* free, and kept for nobody */
    ROOM_FREEING, /* and what is being stopped */
    ROOM_ENDING,  /* and what ends while the unit can wait */
    ROOM_EVICTING /* and what lower priorities hold */
};

#define COST_UNKNOWN (-2.0) /* not asked for yet; -1 is no room at all */

/* A worker that may take tasks of the unit, while it is being placed. */
struct place_candidate {
    struct jobs_worker *worker;
    struct jobs_resources room; /* by what counts as room */
    struct jobs_resources free; /* of it, what the unit has not taken */
    bool unpreferred;           /* the unit had better not go there */
    uint32_t assigned;          /* tasks of this unit */
    uint32_t same_step;         /* tasks of the step that are there */
    double cost;                /* of what is evicted for them */
    double next_cost;           /* and for one task more; COST_UNKNOWN */
};

struct attempt {
    struct jobs_unit *unit;
    bool allow_unpreferred; /* workers that the unit had better not go to, too
                             */
    enum room room;
    int64_t now_ms;
    int64_t max_wait_ms; /* the unit can wait so long for room */
    struct place_candidate
        *candidates; /* one for each worker that may run the step */
    size_t count;
    struct place_candidate **chosen; /* one for each task of the unit */
    const char *locality; /* near, or far from its data or from each other */
};

/* Adds what runs on a worker will have freed in a while. */
static void
add_ending(const struct jobs_worker *w, int64_t now_ms, int64_t while_ms,
           struct jobs_resources *free)
{
    const struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        struct jobs_resources need = Unit_Resources(t->unit);

        if (!t->unit->stopping && !Unit_Step(t->unit)->lasting &&
            t->confirmed && Pace_RemainingMs(t, now_ms) <= while_ms) {
            Resources_Add(free, &need, 1);
        }
    }
}

/* Room on a worker, by what counts as room. */
static struct jobs_resources
room_on(const struct jobs_worker *w, const struct attempt *a)
{
    enum room room = a->room;
    struct jobs_resources free = w->capacity;

    Resources_Add(&free, &w->used, -1);
    Resources_Add(&free, &w->reserved, -1);
    if (room >= ROOM_FREEING) {
        Resources_Add(&free, &w->freeing, 1);
    }
    if (room == ROOM_ENDING) {
        add_ending(w, a->now_ms, a->max_wait_ms, &free);
    }
    return free;
}

/* True when a worker may run the step, wherever it stands. */
bool
Place_IsFit(const struct jobs_scheduler *sched, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    bool labelled = *s->label == '\0';

    if (!w->reported || !w->term_confirmed || w->draining ||
        now_ms - w->report_ms > sched->limits.silent_ms ||
        w->full_until_ms > now_ms || w->quarantine_until_ms > now_ms ||
        strcmp(u->job->qos.service, w->service) != 0) {
        return false;
    }
    for (uint32_t i = 0; i < w->label_count; i++) {
        labelled = labelled || strcmp(w->labels[i], s->label) == 0;
    }
    return labelled;
}

/* As above, and nobody empties its failure domain. */
bool
Place_MayRun(const struct jobs_scheduler *sched, const struct jobs_worker *w,
             const struct jobs_unit *u, int64_t now_ms)
{
    return !Domain_IsEmptied(sched, w) && Place_IsFit(sched, w, u, now_ms);
}

/* As above, with what advisers say, and no suspect is alone there. */
static bool
is_eligible(const struct jobs_scheduler *sched, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    return w->on_probation == 0 && Place_MayRun(sched, w, u, now_ms) &&
           Advice_Allows(u, w, now_ms);
}

/* Tasks of the unit's step and occurrence that a worker has. */
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

/* True when one more task fits. */
static bool
fits(const struct place_candidate *c, const struct jobs_step *step)
{
    if (step->spread > 0 && c->assigned + c->same_step >= step->spread) {
        return false;
    }
    return (step->fills || c->free.millicores >= step->need.millicores) &&
           c->free.memory_mb >= step->need.memory_mb &&
           c->free.accelerators >= step->need.accelerators;
}

/* Of two spots that fit, the one that leaves less behind: accelerators first,
 * then cores. Small work so fills workers that are in use, and whole workers
 * stay free for large tasks. */
static bool
is_tighter(const struct place_candidate *a, const struct place_candidate *b)
{
    if (a->free.accelerators != b->free.accelerators) {
        return a->free.accelerators < b->free.accelerators;
    }
    return a->free.millicores < b->free.millicores;
}

/* True for a spot that is tried: of that rack, if one is named. */
static bool
is_allowed(const struct attempt *a, const struct place_candidate *c,
           const char *rack)
{
    return (a->allow_unpreferred || !c->unpreferred) &&
           (rack == NULL || strcmp(c->worker->rack, rack) == 0);
}

/* What one more task costs on a spot, counting what is evicted there already
 * for tasks of this unit; -1: there is no room for it. It is asked for once
 * for each task that the spot takes. */
static double
next_cost(const struct attempt *a, struct place_candidate *c)
{
    if (c->next_cost != COST_UNKNOWN) {
        return c->next_cost;
    }
    c->next_cost = Evict_Cost(c->worker, a->unit, c->assigned + 1, a->now_ms);
    if (c->next_cost >= 0 && c->next_cost >= c->cost) {
        c->next_cost -= c->cost;
    }
    return c->next_cost;
}

/* The spot where one more task costs the least. */
static struct place_candidate *
cheapest(struct attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct place_candidate *best = NULL;

    for (size_t i = 0; i < a->count; i++) {
        struct place_candidate *c = &a->candidates[i];

        if (is_allowed(a, c, rack) &&
            (step->spread == 0 || c->assigned + c->same_step < step->spread) &&
            next_cost(a, c) >= 0 &&
            (best == NULL || c->next_cost < best->next_cost)) {
            best = c;
        }
    }
    if (best != NULL) {
        best->cost += best->next_cost;
        best->next_cost = COST_UNKNOWN;
    }
    return best;
}

/* The spot that one more task fits best. */
static struct place_candidate *
tightest(struct attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct place_candidate *best = NULL;

    for (size_t i = 0; i < a->count; i++) {
        struct place_candidate *c = &a->candidates[i];

        if (fits(c, step) && (best == NULL || is_tighter(c, best)) &&
            is_allowed(a, c, rack)) {
            best = c;
        }
    }
    return best;
}

/* Chooses a spot for each task, within one rack when one is named. */
static bool
choose_workers(struct attempt *a, const char *rack)
{
    struct jobs_resources need = Unit_Resources(a->unit);

    for (size_t i = 0; i < a->count; i++) {
        a->candidates[i].free = a->candidates[i].room;
        a->candidates[i].assigned = 0;
        a->candidates[i].cost = 0;
        a->candidates[i].next_cost = COST_UNKNOWN;
    }
    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        struct place_candidate *best =
            a->room == ROOM_EVICTING ? cheapest(a, rack) : tightest(a, rack);

        a->chosen[k] = best;
        if (best == NULL) {
            return false;
        }
        best->assigned++;
        Resources_Add(&best->free, &need, -1);
    }
    return true;
}

/* True for the last run that a unit may have, and a worker on which nothing
 * has ended well lately.
 *
 * Failure: several workers fail all that they start. Symptom: a task whose
 * first run failed on one of them goes to the next, and its job is ended as
 * failed though it could have been done. Most workers of a busy fleet have
 * ended something within some seconds. */
static bool
is_risky(const struct jobs_scheduler *sched, const struct jobs_worker *w,
         const struct jobs_unit *u, int64_t now_ms)
{
    static const int64_t recent_ms = 8000; /* about two usual runs */

    return u->failures > 0 && sched->quarantined_ms != 0 &&
           now_ms - sched->quarantined_ms <= recent_ms &&
           u->failures + 1 >= (uint32_t)u->job->qos.attempts &&
           (w->last_success_ms == 0 ||
            now_ms - w->last_success_ms > recent_ms);
}

/* True for a worker where the unit had better not start after a crash: on the
 * same machine, which may be what crashes; and a suspect where another crash
 * would tell little, or take others along. */
static bool
is_crash_prone(const struct jobs_scheduler *sched, const struct attempt *a,
               const struct jobs_worker *w)
{
    const struct jobs_unit *u = a->unit;

    return Blame_CrashedAt(u, w->agent) ||
           (u->suspect && (!TAILQ_EMPTY(&w->tasks) ||
                           Blame_HasCrashed(sched, w->agent, a->now_ms)));
}

/* True for a worker that the unit had better not go to. */
static bool
is_unpreferred(const struct jobs_scheduler *sched, const struct attempt *a,
               const struct jobs_worker *w)
{
    static const int64_t low_share = 50; /* percent */
    const struct jobs_unit *u = a->unit;
    int64_t now_ms = a->now_ms;

    return is_crash_prone(sched, a, w) || w->slow_until_ms > now_ms ||
           is_risky(sched, w, u, now_ms) ||
           strcmp(w->id, u->avoid_worker) == 0 ||
           (Unit_Step(u)->fills && w->share < low_share);
}

/* Lists the workers that may run the unit, once for all that is tried. */
static void
list_candidates(struct jobs_scheduler *sched, struct attempt *a,
                int64_t now_ms)
{
    struct jobs_worker *w;

    if (sched->candidate_cap < sched->worker_count) {
        sched->candidate_cap = sched->worker_count + sched->worker_count / 2;
        sched->candidates =
            Mem_Grow(sched->candidates,
                     sched->candidate_cap * sizeof(*sched->candidates));
    }
    a->candidates = sched->candidates;
    a->count = 0;
    a->now_ms = now_ms;
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        if (is_eligible(sched, w, a->unit, now_ms)) {
            a->candidates[a->count++] = (struct place_candidate){
                .worker = w,
                .unpreferred = is_unpreferred(sched, a, w),
                .same_step = count_same(w, a->unit)};
        }
    }
}

/* Sets what counts as room. */
static void
set_room(struct attempt *a, enum room room)
{
    a->room = room;
    for (size_t i = 0; i < a->count; i++) {
        a->candidates[i].room = room_on(a->candidates[i].worker, a);
    }
}

/* True for the first spot of its rack. */
static bool
is_first_of_rack(const struct attempt *a, size_t at)
{
    for (size_t i = 0; i < at; i++) {
        if (strcmp(a->candidates[i].worker->rack,
                   a->candidates[at].worker->rack) == 0) {
            return false;
        }
    }
    return true;
}

/* Tries each rack; the data's rack alone where it has one. */
static bool
choose_local(struct attempt *a)
{
    const struct jobs_step *step = Unit_Step(a->unit);

    if (*step->rack != '\0') {
        return choose_workers(a, step->rack);
    }
    if (!step->same_rack || a->unit->task_count == 1) {
        return choose_workers(a, NULL);
    }
    for (size_t i = 0; i < a->count; i++) {
        if (is_first_of_rack(a, i) &&
            choose_workers(a, a->candidates[i].worker->rack)) {
            return true;
        }
    }
    return false;
}

/* True when the unit may go where it takes longer: it has waited for as long
 * as half of the time that being near would save. */
static bool
may_place_remote(const struct jobs_scheduler *sched, const struct jobs_unit *u,
                 int64_t now_ms)
{
    static const int64_t urgent_ms = 900; /* within the bound of a reclaim */
    const struct jobs_step *s = Unit_Step(u);
    double saved = (sched->limits.remote_factor - 1) * (double)s->estimate_ms;
    int64_t wait_ms = (int64_t)(saved / 2);

    if (u->job->qos.priority == 0 && wait_ms > urgent_ms) {
        wait_ms = urgent_ms;
    }
    return now_ms - u->ready_ms >= wait_ms;
}

/* True when far differs from near: it has data, or a rack to share. */
static bool
can_be_remote(const struct jobs_unit *u)
{
    const struct jobs_step *s = Unit_Step(u);

    return *s->rack != '\0' || (s->same_rack && u->task_count > 1);
}

/* Chooses spots for the unit with that much room. */
static bool
try_room(struct jobs_scheduler *sched, struct attempt *a, enum room room,
         int64_t now_ms)
{
    set_room(a, room);
    a->locality = "near";
    if (choose_local(a)) {
        return true;
    }
    a->locality = "far";
    return can_be_remote(a->unit) &&
           may_place_remote(sched, a->unit, now_ms) && choose_workers(a, NULL);
}

/* Gives the unit to the workers chosen. */
static void
assign(struct jobs_scheduler *sched, struct attempt *a, int64_t now_ms)
{
    struct jobs_unit *u = a->unit;

    u->state = UNIT_ASSIGNED;
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

/* Keeps the chosen room from those that come after in this turn. */
static void
reserve_room(struct attempt *a)
{
    struct jobs_resources need = Unit_Resources(a->unit);

    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        Resources_Add(&a->chosen[k]->worker->reserved, &need, 1);
    }
}

/* Makes room on the workers chosen. */
static void
evict(struct jobs_scheduler *sched, struct attempt *a, int64_t now_ms)
{
    for (size_t i = 0; i < a->count; i++) {
        if (a->candidates[i].assigned > 0) {
            Evict_Apply(sched, a->candidates[i].worker, a->unit,
                        a->candidates[i].assigned, now_ms);
        }
    }
}

/* How long a unit can wait for runs to end by themselves instead of being
 * stopped: half of the time until its job would be late, as estimates are off
 * by about that much; and within a guarantee no longer than leaves time for a
 * stop and a start, twice, before the guarantee is broken. */
static int64_t
max_wait_of(const struct jobs_unit *u, int64_t now_ms)
{
    static const int64_t guaranteed_wait_ms = 800; /* of 2,700 for a reclaim */
    static const int64_t change_ms = 400;          /* a stop and a start */
    int64_t wait_ms = Objective_SlackMs(u, now_ms) / 2 - change_ms;
    int64_t guaranteed_wait = u->ready_ms + guaranteed_wait_ms - now_ms;

    if (u->job->rank == RANK_GUARANTEED && guaranteed_wait < wait_ms) {
        wait_ms = guaranteed_wait;
    }
    return wait_ms;
}

/* What the spots chosen cost in all. */
static double
total_cost(const struct attempt *a)
{
    double sum = 0;

    for (size_t i = 0; i < a->count; i++) {
        sum += a->candidates[i].assigned > 0 ? a->candidates[i].cost : 0;
    }
    return sum;
}

/* Keeps the chosen room, if it may be kept. */
static enum place_result
reserve_if_allowed(struct attempt *a, bool may_reserve)
{
    if (may_reserve) {
        reserve_room(a);
    }
    return PLACE_PENDING;
}

/* Places a unit: now; or where room is being freed, or is about to be; or, for
 * the first priority, where lower ones give way. Room that comes free at a
 * time that nobody knows is kept only if may_hold. */
static enum place_result
place_attempt(struct jobs_scheduler *sched, struct attempt *a, int64_t now_ms,
              bool may_reserve)
{
    if (try_room(sched, a, ROOM_NOW, now_ms)) {
        assign(sched, a, now_ms);
        return PLACE_ASSIGNED;
    }
    if (try_room(sched, a, ROOM_FREEING, now_ms)) {
        reserve_room(a);
        return PLACE_FREEING;
    }
    a->max_wait_ms = max_wait_of(a->unit, now_ms);
    if (a->max_wait_ms > 0 && try_room(sched, a, ROOM_ENDING, now_ms)) {
        return reserve_if_allowed(a, may_reserve);
    }
    if (a->unit->job->qos.priority != 0 ||
        !try_room(sched, a, ROOM_EVICTING, now_ms)) {
        return PLACE_NONE;
    }
    if (total_cost(a) > Evict_Budget(a->unit, now_ms)) {
        return reserve_if_allowed(a, may_reserve);
    }
    evict(sched, a, now_ms);
    reserve_room(a);
    return PLACE_FREEING;
}

/* True when a task of the unit fits now. */
bool
Place_HasRoom(const struct jobs_worker *w, const struct jobs_unit *u)
{
    struct attempt a = {.room = ROOM_NOW};
    struct place_candidate c = {.free = room_on(w, &a)};

    return fits(&c, Unit_Step(u));
}

/* How long a unit waits before it goes to a worker that is slow, or where it
 * failed: somewhere else is better, but nowhere is worst. */
static int64_t
preference_wait_ms(const struct jobs_unit *u)
{
    static const int64_t urgent_ms = 300, usual_ms = 1500;

    return u->job->qos.priority == 0 ? urgent_ms : usual_ms;
}

/* True when there are workers that the unit had better not go to. */
static bool
has_unpreferred(const struct attempt *a)
{
    for (size_t i = 0; i < a->count; i++) {
        if (a->candidates[i].unpreferred) {
            return true;
        }
    }
    return false;
}

/* Places a unit. */
enum place_result
Place_Unit(struct jobs_scheduler *sched, struct jobs_unit *u, int64_t now_ms,
           bool may_reserve)
{
    struct place_candidate **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct place_candidate *));
    struct attempt a = {.unit = u, .chosen = chosen};
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
    /* What only waits for room goes where it had better not go before that. */
    if (result == PLACE_PENDING && try_room(sched, &a, ROOM_NOW, now_ms)) {
        assign(sched, &a, now_ms);
        return PLACE_ASSIGNED;
    }
    return result;
}

/* True when the unit would find room elsewhere. */
bool
Place_CouldMove(struct jobs_scheduler *sched, struct jobs_unit *u,
                int64_t now_ms)
{
    struct place_candidate **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct place_candidate *));
    struct attempt a = {.unit = u, .chosen = chosen};

    list_candidates(sched, &a, now_ms);
    set_room(&a, ROOM_NOW);
    return choose_local(&a);
}
