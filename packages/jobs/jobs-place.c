#include "jobs-book.h"

#include <string.h>

#define PLACE_MAX 512 /* workers looked at for one unit */

/* What counts as room. */
enum room {
    ROOM_NOW,     /* free, and kept for nobody */
    ROOM_SOON,    /* and what is being stopped */
    ROOM_EVICTING /* and what lower priorities hold */
};

/* A worker that may take tasks of the unit, while it is being placed. */
struct spot {
    struct jobs_worker *worker;
    struct jobs_need free;
    uint32_t taken; /* tasks of this unit */
    uint32_t same;  /* tasks of the step that are there */
};

struct attempt {
    struct jobs_unit *unit;
    struct spot spots[PLACE_MAX];
    size_t count;
    struct spot **chosen; /* one for each task of the unit */
    const char *why;      /* near, or far from its data or from each other */
};

/* What evicting all below a priority would free on a worker. */
static struct jobs_need
evictable(const struct jobs_worker *w, int priority)
{
    struct jobs_need sum = {0};
    const struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        const struct jobs_step *s = Unit_Step(t->unit);

        if (t->unit->job->priority > priority && !t->unit->stopping) {
            sum.millicores += s->fills ? 0 : s->need.millicores;
            sum.memory_mb += s->need.memory_mb;
            sum.accelerators += s->need.accelerators;
        }
    }
    return sum;
}

/* Room on a worker, by what counts as room. */
static struct jobs_need
room_on(const struct jobs_worker *w, enum room room, int priority)
{
    struct jobs_need free = w->capacity;
    struct jobs_need more = {0};

    free.millicores -= w->used.millicores + w->reserved.millicores;
    free.memory_mb -= w->used.memory_mb + w->reserved.memory_mb;
    free.accelerators -= w->used.accelerators + w->reserved.accelerators;
    if (room >= ROOM_SOON) {
        free.millicores += w->freeing.millicores;
        free.memory_mb += w->freeing.memory_mb;
        free.accelerators += w->freeing.accelerators;
    }
    if (room == ROOM_EVICTING) {
        more = evictable(w, priority);
    }
    free.millicores += more.millicores;
    free.memory_mb += more.memory_mb;
    free.accelerators += more.accelerators;
    return free;
}

/* True when a worker may run the step at all. */
static bool
is_eligible(const struct jobs_book *b, const struct jobs_worker *w,
            const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    const struct jobs_queue *q = u->job->queue;
    bool labelled = *s->label == '\0';

    if (!w->heard || w->draining || q == NULL ||
        now_ms - w->report_ms > b->limits.silent_ms ||
        w->full_until_ms > now_ms || w->suspect_until_ms > now_ms ||
        strcmp(q->service, w->service) != 0) {
        return false;
    }
    for (uint32_t i = 0; i < w->label_count; i++) {
        labelled = labelled || strcmp(w->labels[i], s->label) == 0;
    }
    return labelled;
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

/* Chooses a spot for each task, within one rack when one is named. */
static bool
choose(struct attempt *a, const char *rack)
{
    const struct jobs_step *step = Unit_Step(a->unit);

    for (size_t i = 0; i < a->count; i++) {
        a->spots[i].taken = 0;
    }
    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        struct spot *best = NULL;

        for (size_t i = 0; i < a->count; i++) {
            struct spot *s = &a->spots[i];

            if ((rack == NULL || strcmp(s->worker->rack, rack) == 0) &&
                fits(s, step) && (best == NULL || is_tighter(s, best))) {
                best = s;
            }
        }
        a->chosen[k] = best;
        if (best == NULL) {
            return false;
        }
        best->taken++;
        best->free.millicores -= step->fills ? 0 : step->need.millicores;
        best->free.memory_mb -= step->need.memory_mb;
        best->free.accelerators -= step->need.accelerators;
    }
    return true;
}

/* Lists the spots of an attempt with their room. */
static void
list_spots(struct jobs_book *b, struct attempt *a, enum room room,
           int64_t now_ms)
{
    struct jobs_worker *w;
    bool alone = true;

    a->count = 0;
    RB_FOREACH (w, lifetime_tree, &b->workers) {
        if (a->count == PLACE_MAX || !is_eligible(b, w, a->unit, now_ms)) {
            continue;
        }
        a->spots[a->count++] = (struct spot){
            .worker = w,
            .free = room_on(w, room, a->unit->job->priority),
            .same = count_same(w, a->unit),
        };
    }
    /* Where the unit failed before it only goes when nothing else is there. */
    for (size_t i = 0; i < a->count; i++) {
        alone = alone && strcmp(a->spots[i].worker->id, a->unit->avoid) == 0;
    }
    for (size_t i = 0; !alone && i < a->count; i++) {
        if (strcmp(a->spots[i].worker->id, a->unit->avoid) == 0) {
            a->spots[i--] = a->spots[--a->count];
        }
    }
}

/* Tries each rack; the data's rack alone where it has one. */
static bool
choose_near(struct jobs_book *b, struct attempt *a, enum room room,
            int64_t now_ms)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    struct jobs_worker *w;

    if (*step->rack != '\0') {
        list_spots(b, a, room, now_ms);
        return choose(a, step->rack);
    }
    if (!step->same_rack || a->unit->task_count == 1) {
        list_spots(b, a, room, now_ms);
        return choose(a, NULL);
    }
    RB_FOREACH (w, lifetime_tree, &b->workers) {
        list_spots(b, a, room, now_ms);
        if (is_eligible(b, w, a->unit, now_ms) && choose(a, w->rack)) {
            return true;
        }
    }
    return false;
}

/* True when the unit may go where it takes longer: it has waited for as long
 * as half of the time that being near would save. */
static bool
may_go_far(const struct jobs_book *b, const struct jobs_unit *u,
           int64_t now_ms)
{
    static const int64_t urgent_ms = 900; /* within the bound of a reclaim */
    const struct jobs_step *s = Unit_Step(u);
    double saved = (b->limits.remote_factor - 1) * (double)s->estimate_ms;
    int64_t patience = (int64_t)(saved / 2);

    if (u->job->priority == 0 && patience > urgent_ms) {
        patience = urgent_ms;
    }
    return now_ms - u->ready_ms >= patience;
}

/* Chooses spots for the unit with that much room. */
static bool
choose_all(struct jobs_book *b, struct attempt *a, enum room room,
           int64_t now_ms)
{
    a->why = "near";
    if (choose_near(b, a, room, now_ms)) {
        return true;
    }
    a->why = "far";
    if (!may_go_far(b, a->unit, now_ms)) {
        return false;
    }
    list_spots(b, a, room, now_ms);
    return choose(a, NULL);
}

/* Gives the unit to the workers chosen. */
static void
give(struct jobs_book *b, struct attempt *a, int64_t now_ms)
{
    struct jobs_unit *u = a->unit;

    u->state = UNIT_GIVEN;
    u->run++;
    u->failed_run = false;
    u->stopping = false;
    u->unwritten = true;
    for (uint32_t k = 0; k < u->task_count; k++) {
        u->tasks[k].given_ms = now_ms;
        Worker_Take(a->chosen[k]->worker, &u->tasks[k]);
        Event_Task(b, JOBS_RUN_GIVEN, &u->tasks[k], a->why)->number =
            now_ms - u->ready_ms;
    }
    Book_Touch(b, u->job);
}

/* Keeps the chosen room from those that come after in this turn. */
static void
keep_room(struct attempt *a)
{
    const struct jobs_step *step = Unit_Step(a->unit);

    for (uint32_t k = 0; k < a->unit->task_count; k++) {
        struct jobs_need *r = &a->chosen[k]->worker->reserved;

        r->millicores += step->fills ? 0 : step->need.millicores;
        r->memory_mb += step->need.memory_mb;
        r->accelerators += step->need.accelerators;
    }
}

/* Work lost when a run is stopped now, in core milliseconds; an accelerator
 * counts as eight cores. Checkpointed work is mostly saved. */
static double
cost_of(const struct jobs_unit *u, int64_t now_ms)
{
    const struct jobs_step *s = Unit_Step(u);
    double cores =
        (double)s->need.millicores / 1000 + 8 * (double)s->need.accelerators;
    double ran = (double)(now_ms - u->tasks[0].given_ms);

    return cores * u->task_count * (s->checkpoints ? 600 : ran + 600);
}

/* Stops the cheapest runs of lower priority until the chosen tasks fit. */
static void
evict(struct jobs_book *b, struct attempt *a, int64_t now_ms)
{
    const struct jobs_step *step = Unit_Step(a->unit);
    int priority = a->unit->job->priority;

    for (size_t i = 0; i < a->count; i++) {
        struct spot *s = &a->spots[i];
        struct jobs_worker *w = s->worker;

        while (s->taken > 0) {
            struct jobs_need free = room_on(w, ROOM_SOON, priority);
            struct jobs_unit *best = NULL;
            struct jobs_task *t;

            if (free.accelerators >= step->need.accelerators * s->taken &&
                free.memory_mb >= step->need.memory_mb * s->taken &&
                free.millicores >= step->need.millicores * s->taken) {
                break;
            }
            TAILQ_FOREACH (t, &w->tasks, on_worker) {
                if (t->unit->job->priority > priority && !t->unit->stopping &&
                    t->unit->state == UNIT_GIVEN &&
                    (best == NULL ||
                     cost_of(t->unit, now_ms) < cost_of(best, now_ms))) {
                    best = t->unit;
                }
            }
            if (best == NULL) {
                break;
            }
            Unit_Stop(b, best, "gives_way");
        }
    }
}

/* Places a unit: now, or where room comes free, or, for the first priority,
 * where lower ones give way. */
bool
Place_Unit(struct jobs_book *b, struct jobs_unit *u, int64_t now_ms,
           bool reserve)
{
    struct spot **chosen CLEANUP(Mem_FreeP) =
        Mem_Zero(u->task_count, sizeof(struct spot *));
    struct attempt *a CLEANUP(Mem_FreeP) = Mem_Zero(1, sizeof(*a));

    a->unit = u;
    a->chosen = chosen;
    if (choose_all(b, a, ROOM_NOW, now_ms)) {
        give(b, a, now_ms);
        return true;
    }
    if (!reserve) {
        return false;
    }
    if (choose_all(b, a, ROOM_SOON, now_ms)) {
        keep_room(a);
        return false;
    }
    if (choose_all(b, a, ROOM_EVICTING, now_ms)) {
        if (u->job->priority == 0) {
            evict(b, a, now_ms);
        }
        keep_room(a);
    }
    return false;
}
