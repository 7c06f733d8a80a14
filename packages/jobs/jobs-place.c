#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* What counts as room. */
enum room {
    ROOM_NOW,     /* free, and kept for nobody */
    ROOM_SOON,    /* and what is being stopped */
    ROOM_ENDING,  /* and what ends while the unit can wait */
    ROOM_EVICTING /* and what lower priorities hold */
};

#define COST_UNKNOWN (-2.0) /* not asked for yet; -1 is no room at all */

/* A worker that may take tasks of the unit, while it is being placed. */
struct spot {
    struct jobs_worker *worker;
    struct jobs_resources room; /* by what counts as room */
    struct jobs_resources free; /* of it, what the unit has not taken */
    bool disliked;              /* the unit had better not go there */
    uint32_t taken;             /* tasks of this unit */
    uint32_t same;              /* tasks of the step that are there */
    double cost;                /* of what is evicted for them */
    double next_cost;           /* and for one task more; COST_UNKNOWN */
};

struct attempt {
    struct jobs_unit *unit;
    bool any; /* workers that the unit had better not go to, too */
    enum room room;
    int64_t now_ms;
    int64_t patience_ms; /* the unit can wait so long for room */
    struct spot *spots;  /* one for each worker that may run the step */
    size_t count;
    struct spot **chosen; /* one for each task of the unit */
    const char *why;      /* near, or far from its data or from each other */
};

/* Adds what runs on a worker will have freed in a while. */
static void
add_ending(const struct jobs_worker *w, int64_t now_ms, int64_t while_ms,
           struct jobs_resources *free)
{
    const struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        struct jobs_resources need = Unit_Need(t->unit);

        if (!t->unit->stopping && !Unit_Step(t->unit)->lasting &&
            t->confirmed && Pace_LeftMs(t, now_ms) <= while_ms) {
            Need_Add(free, &need, 1);
        }
    }
}

/* Room on a worker, by what counts as room. */
static struct jobs_resources
room_on(const struct jobs_worker *w, const struct attempt *a)
{
    enum room room = a->room;
    struct jobs_resources free = w->capacity;

    Need_Add(&free, &w->used, -1);
    Need_Add(&free, &w->reserved, -1);
    if (room >= ROOM_SOON) {
        Need_Add(&free, &w->freeing, 1);
    }
    if (room == ROOM_ENDING) {
        add_ending(w, a->now_ms, a->patience_ms, &free);
    }
    return free;
}

/* True when a worker may run the step, wherever it stands. */
bool
Place_IsFit(const struct jobs_scheduler *b, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    bool labelled = *s->label == '\0';

    if (!w->heard || !w->obeys || w->draining ||
        now_ms - w->report_ms > b->limits.silent_ms ||
        w->full_until_ms > now_ms || w->suspect_until_ms > now_ms ||
        strcmp(u->job->terms.service, w->service) != 0) {
        return false;
    }
    for (uint32_t i = 0; i < w->label_count; i++) {
        labelled = labelled || strcmp(w->labels[i], s->label) == 0;
    }
    return labelled;
}

/* As above, and nobody empties its failure domain. */
bool
Place_MayRun(const struct jobs_scheduler *b, const struct jobs_worker *w,
             const struct jobs_unit *u, int64_t now_ms)
{
    return !Domain_IsEmptied(b, w) && Place_IsFit(b, w, u, now_ms);
}

/* As above, with what advisers say, and no suspect is alone there. */
static bool
is_eligible(const struct jobs_scheduler *b, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    return w->on_probation == 0 && Place_MayRun(b, w, u, now_ms) &&
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
fits(const struct spot *s, const struct jobs_step *step)
{
    if (step->spread > 0 && s->taken + s->same >= step->spread) {
        return false;
    }
    return (step->fills || s->free.millicores >= step->need.millicores) &&
           s->free.memory_mb >= step->need.memory_mb &&
           s->free.accelerators >= step->need.accelerators;
}

/* Of two spots that fit, the one that leaves less behind: accelerators first,
 * then cores. Small work so fills workers that are in use, and whole workers
 * stay free for large tasks. */
static bool
is_tighter(const struct spot *a, const struct spot *b)
{
    if (a->free.accelerators != b->free.accelerators) {
        return a->free.accelerators < b->free.accelerators;
    }
    return a->free.millicores < b->free.millicores;
}

/* True for a spot that is tried: of that rack, if one is named. */
static bool
is_open(const struct attempt *a, const struct spot *s, const char *rack)
{
    return (a->any || !s->disliked) &&
           (rack == NULL || strcmp(s->worker->rack, rack) == 0);
}

/* What one more task costs on a spot, counting what is evicted there already
 * for tasks of this unit; -1: there is no room for it. It is asked for once
 * for each task that the spot takes. */
static double
next_cost(const struct attempt *a, struct spot *s)
{
    if (s->next_cost != COST_UNKNOWN) {
        return s->next_cost;
    }
    s->next_cost = Evict_Cost(s->worker, a->unit, s->taken + 1, a->now_ms);
    if (s->next_cost >= 0 && s->next_cost >= s->cost) {
        s->next_cost -= s->cost;
    }
    return s->next_cost;
}

/* The spot where one more task costs the least. */
static struct spot *
cheapest(struct attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct spot *best = NULL;

    for (size_t i = 0; i < a->count; i++) {
        struct spot *s = &a->spots[i];

        if (is_open(a, s, rack) &&
            (step->spread == 0 || s->taken + s->same < step->spread) &&
            next_cost(a, s) >= 0 &&
            (best == NULL || s->next_cost < best->next_cost)) {
            best = s;
        }
    }
    if (best != NULL) {
        best->cost += best->next_cost;
        best->next_cost = COST_UNKNOWN;
    }
    return best;
}

/* The spot that one more task fits best. */
static struct spot *
tightest(struct attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct spot *best = NULL;

    for (size_t i = 0; i < a->count; i++) {
        struct spot *s = &a->spots[i];

        if (fits(s, step) && (best == NULL || is_tighter(s, best)) &&
            is_open(a, s, rack)) {
            best = s;
        }
    }
    return best;
}

/* Chooses a spot for each task, within one rack when one is named. */
static bool
choose(struct attempt *a, const char *rack)
{
    struct jobs_resources need = Unit_Need(a->unit);

    for (size_t i = 0; i < a->count; i++) {
        a->spots[i].free = a->spots[i].room;
        a->spots[i].taken = 0;
        a->spots[i].cost = 0;
        a->spots[i].next_cost = COST_UNKNOWN;
    }
    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        struct spot *best =
            a->room == ROOM_EVICTING ? cheapest(a, rack) : tightest(a, rack);

        a->chosen[k] = best;
        if (best == NULL) {
            return false;
        }
        best->taken++;
        Need_Add(&best->free, &need, -1);
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
is_risky(const struct jobs_scheduler *b, const struct jobs_worker *w,
         const struct jobs_unit *u, int64_t now_ms)
{
    static const int64_t lately_ms = 8000; /* about two usual runs */

    return u->failures > 0 && b->sick_ms != 0 &&
           now_ms - b->sick_ms <= lately_ms &&
           u->failures + 1 >= (uint32_t)u->job->terms.attempts &&
           (w->well_ms == 0 || now_ms - w->well_ms > lately_ms);
}

/* True for a worker where the unit had better not start after a crash: on the
 * same machine, which may be what crashes; and a suspect where another crash
 * would tell little, or take others along. */
static bool
is_exposed(const struct jobs_scheduler *b, const struct attempt *a,
           const struct jobs_worker *w)
{
    const struct jobs_unit *u = a->unit;

    return Blame_CrashedAt(u, w->agent) ||
           (u->suspect && (!TAILQ_EMPTY(&w->tasks) ||
                           Blame_HasCrashed(b, w->agent, a->now_ms)));
}

/* True for a worker that the unit had better not go to. */
static bool
is_disliked(const struct jobs_scheduler *b, const struct attempt *a,
            const struct jobs_worker *w)
{
    static const int64_t narrow = 50; /* percent */
    const struct jobs_unit *u = a->unit;
    int64_t now_ms = a->now_ms;

    return is_exposed(b, a, w) || w->slow_until_ms > now_ms ||
           is_risky(b, w, u, now_ms) || strcmp(w->id, u->avoid) == 0 ||
           (Unit_Step(u)->fills && w->share < narrow);
}

/* Lists the workers that may run the unit, once for all that is tried. */
static void
list_spots(struct jobs_scheduler *b, struct attempt *a, int64_t now_ms)
{
    struct jobs_worker *w;

    if (b->spot_room < b->worker_count) {
        b->spot_room = b->worker_count + b->worker_count / 2;
        b->spots = Mem_Grow(b->spots, b->spot_room * sizeof(*b->spots));
    }
    a->spots = b->spots;
    a->count = 0;
    a->now_ms = now_ms;
    RB_FOREACH (w, lifetime_tree, &b->workers) {
        if (is_eligible(b, w, a->unit, now_ms)) {
            a->spots[a->count++] =
                (struct spot){.worker = w,
                              .disliked = is_disliked(b, a, w),
                              .same = count_same(w, a->unit)};
        }
    }
}

/* Sets what counts as room. */
static void
set_room(struct attempt *a, enum room room)
{
    a->room = room;
    for (size_t i = 0; i < a->count; i++) {
        a->spots[i].room = room_on(a->spots[i].worker, a);
    }
}

/* True for the first spot of its rack. */
static bool
is_first_of_rack(const struct attempt *a, size_t at)
{
    for (size_t i = 0; i < at; i++) {
        if (strcmp(a->spots[i].worker->rack, a->spots[at].worker->rack) == 0) {
            return false;
        }
    }
    return true;
}

/* Tries each rack; the data's rack alone where it has one. */
static bool
choose_near(struct attempt *a)
{
    const struct jobs_step *step = Unit_Step(a->unit);

    if (*step->rack != '\0') {
        return choose(a, step->rack);
    }
    if (!step->same_rack || a->unit->task_count == 1) {
        return choose(a, NULL);
    }
    for (size_t i = 0; i < a->count; i++) {
        if (is_first_of_rack(a, i) && choose(a, a->spots[i].worker->rack)) {
            return true;
        }
    }
    return false;
}

/* True when the unit may go where it takes longer: it has waited for as long
 * as half of the time that being near would save. */
static bool
may_go_far(const struct jobs_scheduler *b, const struct jobs_unit *u,
           int64_t now_ms)
{
    static const int64_t urgent_ms = 900; /* within the bound of a reclaim */
    const struct jobs_step *s = Unit_Step(u);
    double saved = (b->limits.remote_factor - 1) * (double)s->estimate_ms;
    int64_t patience = (int64_t)(saved / 2);

    if (u->job->terms.priority == 0 && patience > urgent_ms) {
        patience = urgent_ms;
    }
    return now_ms - u->ready_ms >= patience;
}

/* True when far differs from near: it has data, or a rack to share. */
static bool
has_far(const struct jobs_unit *u)
{
    const struct jobs_step *s = Unit_Step(u);

    return *s->rack != '\0' || (s->same_rack && u->task_count > 1);
}

/* Chooses spots for the unit with that much room. */
static bool
choose_all(struct jobs_scheduler *b, struct attempt *a, enum room room,
           int64_t now_ms)
{
    set_room(a, room);
    a->why = "near";
    if (choose_near(a)) {
        return true;
    }
    a->why = "far";
    return has_far(a->unit) && may_go_far(b, a->unit, now_ms) &&
           choose(a, NULL);
}

/* Gives the unit to the workers chosen. */
static void
give(struct jobs_scheduler *b, struct attempt *a, int64_t now_ms)
{
    struct jobs_unit *u = a->unit;

    u->state = UNIT_GIVEN;
    u->run++;
    u->failed_run = false;
    u->stopping = false;
    u->unwritten = true;
    for (uint32_t k = 0; k < u->task_count; k++) {
        u->tasks[k].given_ms = now_ms;
        u->tasks[k].far = strcmp(a->why, "far") == 0;
        Worker_Take(a->chosen[k]->worker, &u->tasks[k]);
        Event_Task(b, JOBS_RUN_GIVEN, &u->tasks[k], a->why)->number =
            now_ms - u->ready_ms;
    }
    Scheduler_Touch(u->job);
}

/* Keeps the chosen room from those that come after in this turn. */
static void
keep_room(struct attempt *a)
{
    struct jobs_resources need = Unit_Need(a->unit);

    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        Need_Add(&a->chosen[k]->worker->reserved, &need, 1);
    }
}

/* Makes room on the workers chosen. */
static void
evict(struct jobs_scheduler *b, struct attempt *a, int64_t now_ms)
{
    for (size_t i = 0; i < a->count; i++) {
        if (a->spots[i].taken > 0) {
            Evict_Apply(b, a->spots[i].worker, a->unit, a->spots[i].taken,
                        now_ms);
        }
    }
}

/* How long a unit can wait for runs to end by themselves instead of being
 * stopped: half of the time until its job would be late, as estimates are off
 * by about that much; and within a guarantee no longer than leaves time for a
 * stop and a start, twice, before the guarantee is broken. */
static int64_t
patience_of(const struct jobs_unit *u, int64_t now_ms)
{
    static const int64_t covered_ms = 800; /* of 2,700 for a reclaim */
    static const int64_t change_ms = 400;  /* a stop and a start */
    int64_t patience = Objective_SlackMs(u, now_ms) / 2 - change_ms;
    int64_t covered = u->ready_ms + covered_ms - now_ms;

    if (u->job->rank == RANK_COVERED && covered < patience) {
        patience = covered;
    }
    return patience;
}

/* What the spots chosen cost in all. */
static double
cost_of(const struct attempt *a)
{
    double sum = 0;

    for (size_t i = 0; i < a->count; i++) {
        sum += a->spots[i].taken > 0 ? a->spots[i].cost : 0;
    }
    return sum;
}

/* Keeps the chosen room, if it may be kept. */
static enum place_result
hold(struct attempt *a, bool may_hold)
{
    if (may_hold) {
        keep_room(a);
    }
    return PLACE_HELD;
}

/* Places a unit: now; or where room is being freed, or is about to be; or, for
 * the first priority, where lower ones give way. Room that comes free at a
 * time that nobody knows is kept only if may_hold. */
static enum place_result
place(struct jobs_scheduler *b, struct attempt *a, int64_t now_ms,
      bool may_hold)
{
    if (choose_all(b, a, ROOM_NOW, now_ms)) {
        give(b, a, now_ms);
        return PLACE_GIVEN;
    }
    if (choose_all(b, a, ROOM_SOON, now_ms)) {
        keep_room(a);
        return PLACE_SOON;
    }
    a->patience_ms = patience_of(a->unit, now_ms);
    if (a->patience_ms > 0 && choose_all(b, a, ROOM_ENDING, now_ms)) {
        return hold(a, may_hold);
    }
    if (a->unit->job->terms.priority != 0 ||
        !choose_all(b, a, ROOM_EVICTING, now_ms)) {
        return PLACE_NOWHERE;
    }
    if (cost_of(a) > Evict_Worth(a->unit, now_ms)) {
        return hold(a, may_hold);
    }
    evict(b, a, now_ms);
    keep_room(a);
    return PLACE_SOON;
}

/* True when a task of the unit fits now. */
bool
Place_HasRoom(const struct jobs_worker *w, const struct jobs_unit *u)
{
    struct attempt a = {.room = ROOM_NOW};
    struct spot s = {.free = room_on(w, &a)};

    return fits(&s, Unit_Step(u));
}

/* How long a unit waits before it goes to a worker that is slow, or where it
 * failed: somewhere else is better, but nowhere is worst. */
static int64_t
pickiness_ms(const struct jobs_unit *u)
{
    static const int64_t urgent_ms = 300, usual_ms = 1500;

    return u->job->terms.priority == 0 ? urgent_ms : usual_ms;
}

/* True when there are workers that the unit had better not go to. */
static bool
has_disliked(const struct attempt *a)
{
    for (size_t i = 0; i < a->count; i++) {
        if (a->spots[i].disliked) {
            return true;
        }
    }
    return false;
}

/* Places a unit. */
enum place_result
Place_Unit(struct jobs_scheduler *b, struct jobs_unit *u, int64_t now_ms,
           bool may_hold)
{
    struct spot **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct spot *));
    struct attempt a = {.unit = u, .chosen = chosen};
    enum place_result result;

    b->tried++;
    list_spots(b, &a, now_ms);
    result = place(b, &a, now_ms, may_hold);
    a.any = true;
    if (now_ms - u->ready_ms < pickiness_ms(u) || !has_disliked(&a)) {
        return result;
    }
    if (result == PLACE_NOWHERE) {
        return place(b, &a, now_ms, may_hold);
    }
    /* What only waits for room goes where it had better not go before that. */
    if (result == PLACE_HELD && choose_all(b, &a, ROOM_NOW, now_ms)) {
        give(b, &a, now_ms);
        return PLACE_GIVEN;
    }
    return result;
}

/* True when the unit would find room elsewhere. */
bool
Place_CouldMove(struct jobs_scheduler *b, struct jobs_unit *u, int64_t now_ms)
{
    struct spot **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct spot *));
    struct attempt a = {.unit = u, .chosen = chosen};

    list_spots(b, &a, now_ms);
    set_room(&a, ROOM_NOW);
    return choose_near(&a);
}
