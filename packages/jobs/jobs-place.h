/* An attempt to place a unit: its candidates, and the room on them. Shared by
 * the files that place units (jobs-place.c), choose among candidates
 * (jobs-choose.c) and place what has to wait (jobs-later.c). */
#ifndef JOBS_PLACE_H
#define JOBS_PLACE_H

#include "jobs-scheduler.h"

/* Which resources of a worker count as room for a unit. Each value adds to
 * those before it; only ROOM_EVICTING does not include ROOM_ENDING. */
enum room {
    ROOM_NOW,     /* free and not reserved */
    ROOM_FREEING, /* of runs that are being stopped */
    ROOM_ENDING,  /* of runs that end while the unit can wait */
    ROOM_EVICTING /* of runs of lower priority */
};

/* Which of the candidates that fit are taken first. */
enum speed_order { SPEED_ANY, SPEED_FASTEST, SPEED_SLOWEST };

/* A cost that is not computed yet; -1 means that the task does not fit. */
#define COST_UNKNOWN (-2.0)
#define STRANDS_UNKNOWN INT64_MIN

/* A worker that may run tasks of the unit that is being placed. */
struct place_candidate {
    struct jobs_worker *worker;
    struct jobs_resources room; /* as the attempt's enum room defines it */
    struct jobs_resources free; /* the room that the unit does not use yet */
    bool unpreferred;           /* the unit should go elsewhere if it can */
    int band;                   /* of its speed; lower is faster */
    uint32_t assigned;          /* tasks of this unit */
    /* Other tasks of its step on the worker, where the step limits them. */
    uint32_t same_step;
    int bad_neighbour; /* 1: other workers are better if equal; -1: unknown */
    double cost;       /* of the evictions for the assigned tasks */
    double next_cost;  /* of one task more; COST_UNKNOWN */
    int64_t strands;   /* by one task more; STRANDS_UNKNOWN */
};

struct place_attempt {
    struct jobs_unit *unit;
    bool allow_unpreferred;
    enum room room;
    int64_t now_ms;
    int64_t max_wait_ms; /* how long the unit can wait for runs to end */
    bool timeline;       /* that part of the scheduler is on */
    bool any;            /* it matters only whether the unit fits, not where */
    size_t next;         /* no task fits on the candidates before this one */
    /* How many times longer the unit takes at the present locality. */
    double length_factor;
    bool whole_units; /* a member of a gang ends with the last member */
    bool preemption;  /* as in struct jobs_parts */
    struct place_candidate *candidates; /* workers that may run the step */
    size_t count;
    struct place_candidate **chosen; /* one for each task of the unit */
    const char *locality; /* "near", or "far" from its data or gang */
    bool by_speed;        /* the candidates differ in speed */
    int fastest_band;     /* of the candidates */
    /* Slowest band on which the unit meets its objective; INT_MIN: it should
     * run as fast as possible. */
    int patient_band;
    enum speed_order order;
    int band_limit; /* slowest band that the order allows */
};

/* ---- jobs-place.c */
/* Chooses candidates with a kind of room, near or, if allowed, far. */
bool Place_TryRoom(struct jobs_scheduler *sched, struct place_attempt *a,
                   enum room room, int64_t now_ms);
/* Sets the kind of room that counts, and computes it. */
void Place_SetRoom(struct place_attempt *a, enum room room);
/* Reserves the chosen room in this pass. */
void Place_Reserve(struct place_attempt *a);
/* Makes room on the chosen workers. */
void Place_Evict(struct jobs_scheduler *sched, struct place_attempt *a,
                 int64_t now_ms);
/* Returns the cost of the evictions on all chosen candidates. */
double Place_EvictionCost(const struct place_attempt *a);
/* Reserves the chosen room if that is allowed. */
enum place_result Place_ReserveIfAllowed(struct place_attempt *a,
                                         bool may_reserve);
/* True when a step has data in a rack, or a gang that should share one. */
bool Place_CanBeRemote(const struct jobs_unit *u);
/* True when the unit may run far from its data or spread over racks. */
bool Place_MayBeRemote(const struct jobs_scheduler *sched,
                       const struct jobs_unit *u, int64_t now_ms);

/* ---- jobs-choose.c */
/* True when one more task fits on a candidate. */
bool Choose_Fits(const struct place_candidate *c,
                 const struct jobs_step *step);
/* True when the attempt may use a candidate; if rack is not NULL, only in that
 * rack. */
bool Choose_IsAllowed(const struct place_attempt *a,
                      const struct place_candidate *c, const char *rack);
/* Chooses a candidate for each task, within one rack if rack is not NULL. */
bool Choose_Workers(struct place_attempt *a, const char *rack);
/* Chooses candidates near the step's data or near each other. */
bool Choose_Local(struct place_attempt *a);
/* True for the first candidate of its rack. */
bool Choose_IsFirstOfRack(const struct place_attempt *a, size_t at);

/* ---- jobs-later.c */
/* Reserves the earliest room on which the unit fits after a least wait. */
bool Later_Reserve(struct jobs_scheduler *sched, struct place_attempt *a,
                   int64_t least_ms, int64_t now_ms);
/* Places a unit that finds no room now, with the timeline. */
enum place_result Later_Place(struct jobs_scheduler *sched,
                              struct place_attempt *a, int64_t now_ms,
                              bool may_reserve);
/* Places an urgent unit for which no room is free or being freed, with the
 * decisions of jobs-preempt.h. */
enum place_result Later_PlaceUrgent(struct jobs_scheduler *sched,
                                    struct place_attempt *a, bool may_reserve);

#endif
