/* Decides whether runs are evicted for an urgent unit: for the whole gang at
 * once, by what the eviction gains and what it costs.
 *
 * Assumed load: an urgent gang arrives each second over long runs that save no
 * checkpoints. If each worker's cheapest runs are evicted as long as their
 * price is below a limit that grows with the waiting time, most evictions are
 * for gangs that are late all the same, and the same runs are stopped again
 * and again. */
#ifndef JOBS_PREEMPT_H
#define JOBS_PREEMPT_H

#include "jobs-scheduler.h"

/* A stop and a start take up to this long. */
#define PREEMPT_CHANGE_MS 400
/* While room for a unit that is of no use any more becomes free by itself
 * within this time, nothing is evicted for it. The long runs of urgent
 * deployments take up to 10 s, and estimates are off by up to 2.5. */
#define PREEMPT_PATIENCE_MS 30000

/* A worker on which a plan may place tasks of the unit. */
struct preempt_room {
    struct jobs_worker *worker;
    /* Without evictions and less the plan's tasks; may be negative. */
    struct jobs_resources free;
    uint32_t limit;    /* most tasks of the unit there */
    uint32_t tasks;    /* of the unit, in the plan */
    double next_price; /* of evictions for one task more */
};

/* Evictions that make room for a whole unit. */
struct preempt_plan {
    const struct jobs_unit *unit;
    int64_t now_ms;
    int64_t wait_ms; /* the rooms include runs that end within this time */
    double remote_factor; /* slow-down of the unit in these rooms */
    struct preempt_room *rooms;
    size_t room_count;
    struct jobs_unit **victims;
    size_t victim_count;
    size_t victim_cap;
    /* A victim whose tasks are on several workers is compared by its price for
     * each task of the unit that may use its room. */
    bool divides_price;
    uint64_t mark; /* of the units and workers that belong to the plan */
};

/* The decision on a plan. */
struct preempt_verdict {
    bool evicts;
    const char *reason; /* a constant */
    double price;       /* core milliseconds */
    double gain;        /* core milliseconds; the most that the price may be */
};

void Preempt_Clear(struct preempt_plan *p); /* can be used with CLEANUP */
/* Returns how long the unit waits for runs that end by themselves rather than
 * evict others; 0: not at all. */
int64_t Preempt_WaitMs(const struct jobs_unit *u, int64_t now_ms);
/* Returns how long the present run of a unit still takes. */
int64_t Preempt_RemainingMs(const struct jobs_unit *u, int64_t now_ms);
/* True when the unit's job can't end in time to be of use. */
bool Preempt_IsUseless(const struct jobs_unit *u, int64_t now_ms);
/* Returns the price by which the plan compares a victim; -1: it may not be
 * evicted. */
double Preempt_Order(const struct preempt_plan *p, const struct jobs_unit *u);
/* Chooses rooms and victims for all tasks of the unit; false when evicting all
 * that may be evicted is not enough. The caller has filled the rooms. */
bool Preempt_Choose(struct jobs_scheduler *sched, struct preempt_plan *p);
/* Returns the sum of the prices of the plan's victims. */
double Preempt_Price(const struct preempt_plan *p);
/* True when a unit had better run elsewhere, if other workers are as good:
 * long work without checkpoints beside runs of priority 0, as it would be
 * evicted; urgent work beside runs that are expensive to evict. */
bool Preempt_IsBadNeighbour(const struct jobs_worker *w,
                            const struct jobs_unit *u, int64_t now_ms);
/* Decides on a plan. */
struct preempt_verdict Preempt_Decide(const struct preempt_plan *p);
/* Stops the plan's victims, and reserves its rooms for the unit. */
void Preempt_Apply(struct jobs_scheduler *sched, struct jobs_unit *u,
                   const struct preempt_plan *p,
                   const struct preempt_verdict *v);
/* Reserves the plan's rooms for the unit. */
void Preempt_Reserve(const struct preempt_plan *p);
/* Emits an event that nothing is evicted for the unit, at most once for each
 * reason. */
void Preempt_Decline(struct jobs_scheduler *sched, struct jobs_unit *u,
                     const struct preempt_verdict *v);

#endif
