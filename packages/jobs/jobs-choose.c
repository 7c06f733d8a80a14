#include "jobs-place.h"
#include "jobs-preempt.h"

#include <limits.h>
#include <string.h>

/* A gang that should share a rack compares this many racks at most in which it
 * fits, so that its placement costs no more on a large fleet. */
#define SPEED_RACKS_MAX 8

/* True when one more task of the step may run on a candidate, whatever its
 * room. */
static bool
may_add(const struct place_candidate *c, const struct jobs_step *step)
{
    return step->spread == 0 || c->assigned + c->same_step < step->spread;
}

/* True when one more task fits on a candidate. */
bool
Choose_Fits(const struct place_candidate *c, const struct jobs_step *step)
{
    if (!may_add(c, step)) {
        return false;
    }
    return (step->fills || c->free.millicores >= step->need.millicores) &&
           c->free.memory_mb >= step->need.memory_mb &&
           c->free.accelerators >= step->need.accelerators;
}

/* True when, of two candidates that fit, the first leaves less room:
 * accelerators count before cores. Small work then fills workers that are in
 * use, and whole workers stay free for large tasks. */
static bool
is_tighter(const struct place_candidate *a, const struct place_candidate *b)
{
    if (a->free.accelerators != b->free.accelerators) {
        return a->free.accelerators < b->free.accelerators;
    }
    return a->free.millicores < b->free.millicores;
}

/* True when the attempt may use a candidate; if rack is not NULL, only in that
 * rack. */
bool
Choose_IsAllowed(const struct place_attempt *a,
                 const struct place_candidate *c, const char *rack)
{
    return (a->allow_unpreferred || !c->unpreferred) &&
           c->band <= a->band_limit &&
           (rack == NULL || strcmp(c->worker->rack, rack) == 0);
}

/* Returns the cost of the evictions for one more task on a candidate, beyond
 * those for the tasks assigned already; -1 when it does not fit. It is
 * computed once for each task that the candidate gets. */
static double
next_cost(const struct place_attempt *a, struct place_candidate *c)
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

/* Returns the candidate where one more task costs the least evictions. */
static struct place_candidate *
cheapest(struct place_attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct place_candidate *best = NULL;

    for (size_t i = 0; i < a->count; i++) {
        struct place_candidate *c = &a->candidates[i];

        if (Choose_IsAllowed(a, c, rack) && may_add(c, step) &&
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

/* Returns how much one more task strands on a candidate, with the timeline. It
 * is computed once for each task that the candidate gets. */
static int64_t
stranded_by(const struct place_attempt *a, struct place_candidate *c)
{
    struct jobs_resources need;

    if (a->timeline && c->strands == STRANDS_UNKNOWN) {
        need = Unit_Resources(a->unit);
        c->strands = Strand_Added(c->worker, &c->free, &need);
    }
    return c->strands;
}

/* True when the unit had better not run on a candidate; computed once. */
static bool
is_bad_neighbour(const struct place_attempt *a, struct place_candidate *c)
{
    if (c->bad_neighbour < 0) {
        c->bad_neighbour =
            Preempt_IsBadNeighbour(c->worker, a->unit, a->now_ms);
    }
    return c->bad_neighbour != 0;
}

/* True when, of two candidates that fit, the first suits a task better: by its
 * speed as the attempt orders them; with the timeline, the one on which the
 * task strands less of any resource; then the tighter one, and among equal
 * ones the one without runs that make a bad neighbour. */
static bool
is_better(const struct place_attempt *at, struct place_candidate *a,
          struct place_candidate *b)
{
    int64_t added, least;

    if (at->order != SPEED_ANY && a->band != b->band) {
        return (a->band < b->band) == (at->order == SPEED_FASTEST);
    }
    added = stranded_by(at, a);
    least = stranded_by(at, b);
    if (added != least) {
        return added < least;
    }
    if (is_tighter(a, b) || is_tighter(b, a)) {
        return is_tighter(a, b);
    }
    return at->preemption && is_bad_neighbour(at, b) &&
           !is_bad_neighbour(at, a);
}

/* Returns the best candidate for one more task, of those where it fits. */
static struct place_candidate *
best_fitting(struct place_attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct place_candidate *best = NULL;

    for (size_t i = 0; i < a->count; i++) {
        struct place_candidate *c = &a->candidates[i];

        if (Choose_Fits(c, step) && Choose_IsAllowed(a, c, rack) &&
            (best == NULL || is_better(a, c, best))) {
            best = c;
        }
    }
    return best;
}

/* Returns the first candidate on which one more task fits. */
static struct place_candidate *
first_fit(struct place_attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);

    for (; a->next < a->count; a->next++) {
        struct place_candidate *c = &a->candidates[a->next];

        if (Choose_Fits(c, step) && Choose_IsAllowed(a, c, rack)) {
            return c;
        }
    }
    return NULL;
}

/* Returns the candidate that gets the next task, or NULL. */
static struct place_candidate *
next_candidate(struct place_attempt *a, const char *rack)
{
    if (a->room == ROOM_EVICTING) {
        return cheapest(a, rack);
    }
    return a->any ? first_fit(a, rack) : best_fitting(a, rack);
}

/* Chooses a candidate for each task, within one rack if rack is not NULL, in
 * an order of speed and up to a band. */
static bool
choose_in_order(struct place_attempt *a, const char *rack,
                enum speed_order order, int band_limit)
{
    struct jobs_resources need = Unit_Resources(a->unit);

    a->order = order;
    a->band_limit = band_limit;
    for (size_t i = 0; i < a->count; i++) {
        a->candidates[i].free = a->candidates[i].room;
        a->candidates[i].assigned = 0;
        a->candidates[i].cost = 0;
        a->candidates[i].next_cost = COST_UNKNOWN;
        a->candidates[i].strands = STRANDS_UNKNOWN;
    }
    a->next = 0;
    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        struct place_candidate *best = next_candidate(a, rack);

        a->chosen[k] = best;
        if (best == NULL) {
            return false;
        }
        best->assigned++;
        best->strands = STRANDS_UNKNOWN;
        Resources_Add(&best->free, &need, -1);
    }
    return true;
}

/* Returns the slowest band of the chosen candidates. */
static int
slowest_chosen(const struct place_attempt *a)
{
    int band = INT_MIN;

    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        band = a->chosen[k]->band > band ? a->chosen[k]->band : band;
    }
    return band;
}

/* Chooses candidates by speed for a unit that fits. A unit that meets its
 * objective on slow workers takes the slowest of these, so that fast ones stay
 * free. Another one gets the fastest workers; as the slowest of them
 * determines when a gang ends, its other tasks take workers of that speed too,
 * where there are any.
 *
 * All tasks of a unit need the same room, so they fit in any order. */
static void
choose_by_speed(struct place_attempt *a, const char *rack)
{
    if (a->patient_band > INT_MIN &&
        choose_in_order(a, rack, SPEED_SLOWEST, a->patient_band)) {
        return;
    }
    choose_in_order(a, rack, SPEED_FASTEST, INT_MAX);
    if (a->unit->task_count > 1) {
        choose_in_order(a, rack, SPEED_SLOWEST, slowest_chosen(a));
    }
}

/* Chooses a candidate for each task, within one rack if rack is not NULL. */
bool
Choose_Workers(struct place_attempt *a, const char *rack)
{
    if (!choose_in_order(a, rack, SPEED_ANY, INT_MAX)) {
        return false;
    }
    if (a->by_speed && !a->any && a->room != ROOM_EVICTING) {
        choose_by_speed(a, rack);
        /* The limit is that of this choice only: evictions may use any band.
         */
        a->band_limit = INT_MAX;
    }
    return true;
}

/* True for the first candidate of its rack. */
bool
Choose_IsFirstOfRack(const struct place_attempt *a, size_t at)
{
    for (size_t i = 0; i < at; i++) {
        if (strcmp(a->candidates[i].worker->rack,
                   a->candidates[at].worker->rack) == 0) {
            return false;
        }
    }
    return true;
}

/* Chooses candidates for a gang in one rack: the first one where it fits or,
 * when workers differ in speed, where it is fast enough. */
static bool
choose_rack(struct place_attempt *a)
{
    const char *best = NULL;
    int best_band = INT_MAX, racks = 0;

    for (size_t i = 0; i < a->count && racks < SPEED_RACKS_MAX; i++) {
        const char *rack = a->candidates[i].worker->rack;
        int band;

        if (!Choose_IsFirstOfRack(a, i) || !Choose_Workers(a, rack)) {
            continue;
        }
        band = slowest_chosen(a);
        if (!a->by_speed || a->room == ROOM_EVICTING ||
            band <= a->patient_band || band <= a->fastest_band) {
            return true;
        }
        racks++;
        if (best == NULL || band < best_band) {
            best = rack;
            best_band = band;
        }
    }
    return best != NULL && Choose_Workers(a, best);
}

/* Chooses candidates near the step's data or near each other: in the rack of
 * its data, or for a gang in any one rack. */
bool
Choose_Local(struct place_attempt *a)
{
    const struct jobs_step *step = Unit_Step(a->unit);

    if (*step->rack != '\0') {
        return Choose_Workers(a, step->rack);
    }
    if (!step->same_rack || a->unit->task_count == 1) {
        return Choose_Workers(a, NULL);
    }
    return choose_rack(a);
}
