#include "jobs-preempt.h"

#include <string.h>

#define EVICTIONS_MAX 2
#define RESUME_MS 600 /* a run that continues from a checkpoint */
#define START_MS 150  /* a start after the room is free */
/* A job that is late, but within three times its objective, has a fifth to a
 * third of its value. */
#define LATE_VALUE (1.0 / 3)
#define USELESS_FACTOR 3
/* Added to the order of units that a guarantee evicts only if nothing else is
 * enough; above all sums of prices. */
#define LAST_RESORT 1e15

/* Reasons for which nothing is evicted, in the order of their bits in
 * jobs_unit.declined. */
static const char *const declined[] = {"room_frees", "no_use",
                                       "price_too_high", "no_victims"};

/* Frees the arrays of a plan. */
void
Preempt_Clear(struct preempt_plan *p)
{
    Mem_FreeP(&p->rooms);
    Mem_FreeP(&p->victims);
}

/* Returns how long a unit may still wait for its job to be of use. */
static int64_t
use_slack_ms(const struct jobs_unit *u, int64_t now_ms)
{
    return Objective_SlackMs(u, now_ms) +
           (USELESS_FACTOR - 1) * u->job->objective_ms;
}

/* True when the unit's job can't end in time to be of use. */
bool
Preempt_IsUseless(const struct jobs_unit *u, int64_t now_ms)
{
    return u->job->rank != RANK_GUARANTEED && !Unit_Step(u)->lasting &&
           use_slack_ms(u, now_ms) < PREEMPT_CHANGE_MS;
}

/* Returns how long a unit waits for runs that end by themselves: half of the
 * time until it would be late or, when it is late in any case, of no use, as
 * estimates are off by about that much. An eviction takes as long as a stop
 * and a start, so runs that end sooner are always waited for. */
int64_t
Preempt_WaitMs(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t slack = Objective_SlackMs(u, now_ms), wait_ms;

    if (u->job->rank == RANK_GUARANTEED) {
        wait_ms = Place_MaxWaitMs(u, now_ms);
        return wait_ms > 0 ? wait_ms : 0;
    }
    if (slack < PREEMPT_CHANGE_MS) {
        slack = use_slack_ms(u, now_ms);
    }
    wait_ms = slack / 2 - PREEMPT_CHANGE_MS;
    return wait_ms > PREEMPT_CHANGE_MS ? wait_ms : PREEMPT_CHANGE_MS;
}

/* Returns how long the present run of a unit still takes: the members of a
 * gang end together. */
int64_t
Preempt_RemainingMs(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t longest = INT64_MIN;

    for (uint32_t i = 0; i < u->task_count; i++) {
        int64_t left = u->tasks[i].worker != NULL
                           ? Pace_RemainingMs(&u->tasks[i], now_ms)
                           : 0;

        longest = left > longest ? left : longest;
    }
    return longest;
}

/* Returns the part of its value that a job keeps when it ends with that much
 * slack. */
static double
value_at(const struct jobs_unit *u, int64_t slack_ms)
{
    if (slack_ms >= 0) {
        return 1;
    }
    return slack_ms + (USELESS_FACTOR - 1) * u->job->objective_ms >= 0
               ? LATE_VALUE
               : 0;
}

/* Returns the part of its value that a victim's job loses by the restart. The
 * restart comes after the urgent unit has ended, as other room would have been
 * used instead of evicting. */
static double
lost_value(const struct preempt_plan *p, const struct jobs_unit *u)
{
    int64_t work = Pace_WorkMs(u), left = Preempt_RemainingMs(u, p->now_ms);
    int64_t again = Unit_Step(u)->checkpoints ? left + RESUME_MS : work;
    int64_t slack = Objective_SlackMs(u, p->now_ms) + work;
    int64_t pause = PREEMPT_CHANGE_MS + Pace_WorkMs(p->unit);
    double lost =
        value_at(u, slack - left) - value_at(u, slack - pause - again);

    return lost > 0 && !Unit_Step(u)->lasting ? lost : 0;
}

/* Returns the price of evicting a unit, in core milliseconds. A run with
 * checkpoints saves its state when it is stopped. */
static double
price_of(const struct preempt_plan *p, const struct jobs_unit *u)
{
    double ran = (double)(p->now_ms - u->tasks[0].assigned_ms);

    if (Unit_Step(u)->checkpoints && ran > RESUME_MS) {
        ran = RESUME_MS;
    }
    ran = ran > 0 ? ran : 0;
    return Evict_Cores(u) *
           (ran + START_MS + lost_value(p, u) * (double)Pace_WorkMs(u)) *
           (1 + u->evictions);
}

/* True when a unit is spared: it was evicted twice, or ends before a run in
 * its place could start. One that is overdue by as much may hang and is not
 * spared. */
static bool
is_spared(const struct preempt_plan *p, const struct jobs_unit *u)
{
    int64_t left = Preempt_RemainingMs(u, p->now_ms);

    return u->evictions >= EVICTIONS_MAX ||
           (!Unit_Step(u)->lasting && left <= PREEMPT_CHANGE_MS &&
            left >= -PREEMPT_CHANGE_MS);
}

/* Returns the price by which victims are compared, or -1 for a unit that may
 * not be evicted. Guarantees evict what is spared otherwise, but
 * last, as their time limit has no exception. */
double
Preempt_Order(const struct preempt_plan *p, const struct jobs_unit *u)
{
    const struct jobs_step *s = Unit_Step(u);
    const struct jobs_job *j = p->unit->job;
    double price, shared_by = 1;
    bool spared;

    if (u->job->rank <= j->rank || u->stopping || u->state != UNIT_ASSIGNED ||
        (s->lasting && s->max_unavailable > 0)) {
        return -1;
    }
    spared = is_spared(p, u);
    if (spared && j->rank != RANK_GUARANTEED) {
        return -1;
    }
    if (p->divides_price) {
        shared_by = u->task_count < p->unit->task_count ? u->task_count
                                                        : p->unit->task_count;
    }
    price = price_of(p, u) / shared_by;
    return spared ? price + LAST_RESORT : price;
}

/* Returns the sum of the prices of the plan's victims. */
double
Preempt_Price(const struct preempt_plan *p)
{
    double sum = 0;

    for (size_t i = 0; i < p->victim_count; i++) {
        sum += price_of(p, p->victims[i]);
    }
    return sum;
}

/* True when a unit had better run elsewhere, if other workers are as good. */
bool
Preempt_IsBadNeighbour(const struct jobs_worker *w, const struct jobs_unit *u,
                       int64_t now_ms)
{
    static const int64_t young_ms = 1000; /* half an urgent run */
    bool urgent = u->job->qos.priority == 0;
    const struct jobs_task *t;

    if (!urgent && Unit_Step(u)->checkpoints) {
        return false;
    }
    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        bool other_urgent = t->unit->job->qos.priority == 0;

        if (urgent ? !other_urgent && !Unit_Step(t->unit)->checkpoints &&
                         now_ms - t->assigned_ms > young_ms
                   : other_urgent) {
            return true;
        }
    }
    return false;
}

/* Returns the slack of the unit's job when it runs in the plan's rooms; the
 * slowest worker determines the length of a gang. */
static int64_t
slack_with(const struct preempt_plan *p)
{
    int64_t start_ms =
        p->wait_ms > PREEMPT_CHANGE_MS ? p->wait_ms : PREEMPT_CHANGE_MS;
    int64_t longest = 0;

    for (size_t i = 0; i < p->room_count; i++) {
        int64_t length = p->rooms[i].tasks > 0
                             ? Pace_LengthOn(p->unit, p->rooms[i].worker)
                             : 0;

        longest = length > longest ? length : longest;
    }
    return Objective_SlackMs(p->unit, p->now_ms) + Pace_WorkMs(p->unit) -
           start_ms - (int64_t)(p->remote_factor * (double)longest);
}

/* Decides on a plan. The unit would not be in time without it, or not of use,
 * as too little room becomes free by itself within Preempt_WaitMs(). The price
 * is bounded by the unit's own work, and when it is late in any case, by a
 * third of it. A guarantee has no bound.
 *
 * A unit of no use gets here only when no room becomes free by itself for a
 * long time, as runs take hours or never end. Its bound grows with its waiting
 * time, so that it does not wait for ever; so does that of a service, which is
 * of use whenever it starts. */
struct preempt_verdict
Preempt_Decide(const struct preempt_plan *p)
{
    const struct jobs_unit *u = p->unit;
    double value = value_at(u, slack_with(p));
    struct preempt_verdict v = {.price = Preempt_Price(p)};

    v.gain = value * Evict_Cores(u) * (double)Pace_WorkMs(u);
    v.reason = value < 1 ? "of_use" : "in_time";
    if (u->job->rank == RANK_GUARANTEED) {
        v.reason = "guaranteed";
        v.evicts = true;
        return v;
    }
    if (Unit_Step(u)->lasting || Preempt_IsUseless(u, p->now_ms)) {
        v.reason = "waits_too_long";
        v.gain = Evict_Budget(u, p->now_ms);
    }
    else if (value <= 0) {
        v.reason = "no_use";
        return v;
    }
    v.evicts = v.price + u->evicted_price <= v.gain;
    v.reason = v.evicts ? v.reason : "price_too_high";
    return v;
}

/* Reserves the plan's rooms for the unit. */
void
Preempt_Reserve(const struct preempt_plan *p)
{
    struct jobs_resources need = Unit_Resources(p->unit);

    for (size_t i = 0; i < p->room_count; i++) {
        Resources_Add(&p->rooms[i].worker->reserved, &need,
                      (int)p->rooms[i].tasks);
    }
}

/* Completes an event with the price and gain of a decision. */
static void
add_event(struct jobs_scheduler *sched, const struct jobs_unit *u,
          enum jobs_event_kind kind, const struct preempt_verdict *v)
{
    struct jobs_event *e = Event_Job(sched, kind, u->job, v->reason);

    Scheduler_TaskName(&u->tasks[0], e->task);
    e->number = (int64_t)v->price;
    e->gain = (int64_t)v->gain;
}

/* Stops the plan's victims, and reserves its rooms for the unit. */
void
Preempt_Apply(struct jobs_scheduler *sched, struct jobs_unit *u,
              const struct preempt_plan *p, const struct preempt_verdict *v)
{
    Preempt_Reserve(p);
    if (p->victim_count == 0) {
        return;
    }
    add_event(sched, u, JOBS_EVICTION, v);
    sched->evictions++;
    u->evicted_price += v->price;
    u->has_evicted = true;
    for (size_t i = 0; i < p->victim_count; i++) {
        p->victims[i]->evictions++;
        Unit_StopFor(sched, p->victims[i], "gives_way", u->job);
    }
}

/* Emits an event that nothing is evicted for the unit, at most once for each
 * reason. */
void
Preempt_Decline(struct jobs_scheduler *sched, struct jobs_unit *u,
                const struct preempt_verdict *v)
{
    for (uint32_t i = 0; i < COUNT_OF(declined); i++) {
        uint32_t bit = (uint32_t)1 << i;

        if (strcmp(declined[i], v->reason) == 0 && (u->declined & bit) == 0) {
            u->declined |= bit;
            sched->evictions_declined++;
            add_event(sched, u, JOBS_EVICTION_DECLINED, v);
        }
    }
}
