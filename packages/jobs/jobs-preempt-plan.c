/* Chooses rooms and victims for all tasks of an urgent unit. */
#include "jobs-preempt.h"

#include <stdlib.h>

#define VICTIMS_MAX 64 /* units of one worker that are considered */

/* Prices that are not sums of core milliseconds. */
#define PRICE_UNKNOWN (-2.0)
#define PRICE_NONE (-1.0)

/* A unit with runs on a room's worker. */
struct victim {
    struct jobs_unit *unit;
    double order; /* by which victims are compared */
    struct jobs_resources frees;
};

/* Sets the order of a unit, once for each plan. */
static void
examine(const struct preempt_plan *p, struct jobs_unit *u)
{
    if (u->plan_mark != p->mark) {
        u->plan_mark = p->mark;
        u->is_victim = false;
        u->plan_order = Preempt_Order(p, u);
    }
}

/* Returns the resources that stopping a task adds to its room: none when the
 * room includes them already, as the run will end in time. */
static struct jobs_resources
freed_by(const struct preempt_plan *p, const struct jobs_task *t)
{
    if (p->wait_ms > 0 && Place_IsEnding(t, p->now_ms, p->wait_ms, true)) {
        return (struct jobs_resources){0};
    }
    return Unit_Resources(t->unit);
}

/* Adds a task to the victims: its resources count as freed by its unit. */
static void
add_victim(const struct preempt_plan *p, const struct jobs_task *t,
           struct victim *list, size_t *count)
{
    struct jobs_resources frees = freed_by(p, t);
    size_t i;

    for (i = 0; i < *count && list[i].unit != t->unit; i++) {
    }
    if (i == *count) {
        if (*count == VICTIMS_MAX) {
            return;
        }
        list[(*count)++] =
            (struct victim){.unit = t->unit, .order = t->unit->plan_order};
    }
    Resources_Add(&list[i].frees, &frees, 1);
}

/* Orders victims, those that are evicted first in front. */
static int
victim_compare(const void *va, const void *vb)
{
    const struct victim *a = va, *b = vb;

    return a->order < b->order ? -1 : a->order > b->order;
}

/* True when a task of the unit fits into the resources. */
static bool
fits_into(const struct preempt_plan *p, const struct jobs_resources *free)
{
    const struct jobs_step *s = Unit_Step(p->unit);

    return (s->fills || free->millicores >= s->need.millicores) &&
           free->memory_mb >= s->need.memory_mb &&
           free->accelerators >= s->need.accelerators;
}

/* Drops the victims that are not needed, the most expensive first. */
static size_t
drop_unneeded(const struct preempt_plan *p, struct victim *list, size_t taken,
              struct jobs_resources free)
{
    for (size_t i = taken; i-- > 0;) {
        struct jobs_resources without = free;

        Resources_Add(&without, &list[i].frees, -1);
        if (fits_into(p, &without)) {
            free = without;
            list[i] = list[--taken];
        }
    }
    return taken;
}

/* Chooses victims for one more task of the unit in a room. Returns their
 * number, or -1 when evicting all is not enough. */
static int
choose_on(const struct preempt_plan *p, const struct preempt_room *r,
          struct victim *list)
{
    struct jobs_resources free = r->free;
    size_t count = 0, taken = 0;
    struct jobs_task *t;

    if (r->tasks >= r->limit) {
        return -1;
    }
    if (fits_into(p, &free)) {
        return 0;
    }
    TAILQ_FOREACH (t, &r->worker->tasks, on_worker) {
        examine(p, t->unit);
        if (t->unit->plan_order >= 0 && !t->unit->is_victim) {
            add_victim(p, t, list, &count);
        }
    }
    qsort(list, count, sizeof(*list), victim_compare);
    while (taken < count && !fits_into(p, &free)) {
        Resources_Add(&free, &list[taken++].frees, 1);
    }
    if (!fits_into(p, &free)) {
        return -1;
    }
    return (int)drop_unneeded(p, list, taken, free);
}

/* Returns the price of room for one task more; it is computed again only after
 * the room has changed. */
static double
next_price(const struct preempt_plan *p, struct preempt_room *r)
{
    struct victim list[VICTIMS_MAX];
    int count;

    if (r->next_price != PRICE_UNKNOWN) {
        return r->next_price;
    }
    count = choose_on(p, r, list);
    r->next_price = count < 0 ? PRICE_NONE : 0;
    for (int i = 0; i < count; i++) {
        r->next_price += list[i].order;
    }
    return r->next_price;
}

/* Returns the room for the next task: the cheapest, and of these the one with
 * the least free. */
static struct preempt_room *
cheapest(const struct preempt_plan *p)
{
    struct preempt_room *best = NULL;

    for (size_t i = 0; i < p->room_count; i++) {
        struct preempt_room *r = &p->rooms[i];
        double price = next_price(p, r);

        if (price >= 0 && (best == NULL || price < best->next_price ||
                           (price == best->next_price &&
                            r->free.accelerators < best->free.accelerators))) {
            best = r;
        }
    }
    return best;
}

/* Adds the resources of a unit's tasks to the plan's rooms, n times. */
static void
free_rooms(const struct preempt_plan *p, const struct jobs_unit *u, int n)
{
    for (uint32_t i = 0; i < u->task_count; i++) {
        const struct jobs_worker *w = u->tasks[i].worker;
        struct jobs_resources frees;

        if (w != NULL && w->plan_mark == p->mark) {
            frees = freed_by(p, &u->tasks[i]);
            Resources_Add(&p->rooms[w->plan_room].free, &frees, n);
            p->rooms[w->plan_room].next_price = PRICE_UNKNOWN;
        }
    }
}

/* Adds a unit to the plan's victims. All its tasks stop, so it frees room on
 * all their workers. */
static void
take_victim(struct preempt_plan *p, struct jobs_unit *u)
{
    if (p->victim_count == p->victim_cap) {
        p->victim_cap = p->victim_cap ? p->victim_cap * 2 : 16;
        p->victims = Mem_Grow(p->victims, p->victim_cap * sizeof(*p->victims));
    }
    p->victims[p->victim_count++] = u;
    u->is_victim = true;
    free_rooms(p, u, 1);
}

/* Places one task of the unit in a room. */
static void
place_in(struct preempt_plan *p, struct preempt_room *r)
{
    struct jobs_resources need = Unit_Resources(p->unit);
    struct victim list[VICTIMS_MAX];
    int count = choose_on(p, r, list);

    for (int i = 0; i < count; i++) {
        take_victim(p, list[i].unit);
    }
    Resources_Add(&r->free, &need, -1);
    r->tasks++;
    r->next_price = PRICE_UNKNOWN;
}

/* True when no room with tasks of the unit lacks resources. */
static bool
is_enough(const struct preempt_plan *p)
{
    bool fills = Unit_Step(p->unit)->fills;

    for (size_t i = 0; i < p->room_count; i++) {
        const struct jobs_resources *f = &p->rooms[i].free;

        if (p->rooms[i].tasks > 0 &&
            ((!fills && f->millicores < 0) || f->memory_mb < 0 ||
             f->accelerators < 0)) {
            return false;
        }
    }
    return true;
}

/* Orders units by price, the most expensive first. */
static int
dearest_first(const void *va, const void *vb)
{
    const struct jobs_unit *a = *(const struct jobs_unit *const *)va;
    const struct jobs_unit *b = *(const struct jobs_unit *const *)vb;

    return a->plan_order > b->plan_order ? -1 : a->plan_order < b->plan_order;
}

/* Drops victims that are not needed because a later one frees enough. */
static void
drop_victims(struct preempt_plan *p)
{
    size_t kept = 0;

    if (p->victim_count > 1) {
        qsort(p->victims, p->victim_count, sizeof(*p->victims), dearest_first);
    }
    for (size_t i = 0; i < p->victim_count; i++) {
        struct jobs_unit *u = p->victims[i];

        free_rooms(p, u, -1);
        if (is_enough(p)) {
            u->is_victim = false;
            continue;
        }
        free_rooms(p, u, 1);
        p->victims[kept++] = u;
    }
    p->victim_count = kept;
}

/* Prepares the rooms, as the caller filled them. */
static void
begin(struct jobs_scheduler *sched, struct preempt_plan *p)
{
    p->mark = ++sched->plan_mark;
    p->victim_count = 0;
    for (size_t i = 0; i < p->room_count; i++) {
        p->rooms[i].next_price = PRICE_UNKNOWN;
        p->rooms[i].worker->plan_mark = p->mark;
        p->rooms[i].worker->plan_room = i;
    }
}

/* Takes the plan's tasks and victims out of the rooms. */
static void
undo(struct preempt_plan *p)
{
    struct jobs_resources need = Unit_Resources(p->unit);

    for (size_t i = 0; i < p->victim_count; i++) {
        free_rooms(p, p->victims[i], -1);
    }
    for (size_t i = 0; i < p->room_count; i++) {
        Resources_Add(&p->rooms[i].free, &need, (int)p->rooms[i].tasks);
        p->rooms[i].tasks = 0;
    }
}

/* Chooses rooms and victims, with one way to compare victims. */
static bool
choose(struct jobs_scheduler *sched, struct preempt_plan *p)
{
    begin(sched, p);
    for (uint32_t k = 0; k < p->unit->task_count; k++) {
        struct preempt_room *best = cheapest(p);

        if (best == NULL) {
            return false;
        }
        place_in(p, best);
    }
    drop_victims(p);
    return true;
}

/* Chooses rooms and victims for all tasks of the unit. Victims are compared by
 * their price, and again by their price for each task that gains room: a gang
 * on several workers may be cheaper than a victim on each of them. */
bool
Preempt_Choose(struct jobs_scheduler *sched, struct preempt_plan *p)
{
    double price;

    p->divides_price = false;
    if (!choose(sched, p)) {
        return false;
    }
    if (p->unit->task_count == 1 || p->victim_count < 2) {
        return true;
    }
    price = Preempt_Price(p);
    undo(p);
    p->divides_price = true;
    if (choose(sched, p) && Preempt_Price(p) < price) {
        return true;
    }
    undo(p);
    p->divides_price = false;
    return choose(sched, p);
}
