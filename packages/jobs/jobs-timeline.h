/* The capacity timeline: which room is expected on each worker at which time,
 * and reservations of it from a start time on, for the pass under way.
 *
 * Room at a time is what is free plus what runs that are expected to end until
 * then use. A reservation claims some of it from its start on. A unit that
 * would still run then may use only what the reservation leaves; a unit that
 * ends before may use all that is free. Both the ends and the reservations are
 * derived anew in each pass, so a wrong prediction lasts for one pass. */
#ifndef JOBS_TIMELINE_H
#define JOBS_TIMELINE_H

#include "jobs.h"

struct jobs_task;
struct jobs_unit;
struct jobs_worker;
struct unit_list;

/* With one, the room for the next wide gang is collected only after the first
 * has started; with more, room stays unused that smaller work could take. */
#define TIMELINE_RESERVATIONS_MAX 2
/* The end of a run that is not expected to end, and the latest time. */
#define TIMELINE_NEVER INT64_MAX

/* The predicted end of a task's run. */
struct timeline_end {
    int64_t at_ms;
    const struct jobs_task *task;
    struct jobs_resources frees;
    struct jobs_resources sum; /* of this and all earlier ones there */
};

/* Room that is reserved on a worker from a time on. */
struct timeline_reservation {
    const struct jobs_unit *unit;
    int64_t start_ms;
    struct jobs_resources need;
};

/* The timeline of a worker in the pass under way. */
struct timeline_worker {
    uint32_t reservation_count;
    uint32_t end_count;
    bool has_stops; /* runs were stopped since the ends were predicted */
    const struct timeline_end *ends; /* by time */
    struct timeline_reservation reservations[TIMELINE_RESERVATIONS_MAX];
};

/* The state of the timeline that is shared by all workers. */
struct timeline {
    struct timeline_end *ends; /* of all workers, one worker after another */
    size_t end_cap;
    int64_t last_end_ms; /* the latest of them */
    uint64_t pass;
    bool is_predicted;     /* the ends are those of this pass */
    uint32_t reservations; /* made in this pass */
};

/* Forgets the predicted ends of the previous pass. */
void Timeline_BeginPass(struct jobs_scheduler *sched, int64_t now_ms);
/* Predicts the ends of all runs, once in a pass; to be called before room at a
 * later time is asked for or reserved. */
void Timeline_Predict(struct jobs_scheduler *sched, int64_t now_ms);
/* Adds to a list the wide units of a job's next occurrence, if that is due
 * soon. They exist for one pass only; Timeline_DropUpcoming frees them. */
void Timeline_AddUpcoming(const struct jobs_scheduler *sched,
                          struct jobs_job *j, int64_t now_ms, int64_t wall_ms,
                          struct unit_list *list);
void Timeline_DropUpcoming(struct unit_list *list);
/* Forgets the reservations on a worker. */
void Timeline_Clear(struct jobs_worker *w);
/* Returns the resources of the runs on a worker that are expected to end until
 * a time and are not being stopped. */
struct jobs_resources Timeline_Ending(const struct jobs_worker *w,
                                      int64_t at_ms);
/* Returns how much of the room that a worker is expected to have at at_ms is
 * reserved against a run that lasts until until_ms. */
struct jobs_resources Timeline_Reserved(const struct jobs_worker *w,
                                        int64_t at_ms, int64_t until_ms);
/* Returns the time until which a run of the unit may last that starts on the
 * worker now: its predicted end, and half of its length as a margin. factor:
 * how many times longer it takes, as it runs far from its data. */
int64_t Timeline_UntilMs(const struct jobs_unit *u,
                         const struct jobs_worker *w, double factor,
                         int64_t now_ms);
/* Reserves room for n tasks of a unit on a worker from a time on. */
void Timeline_Reserve(struct jobs_worker *w, const struct jobs_unit *u,
                      uint32_t n, int64_t start_ms);
/* Gives up the reservation of a unit that starts elsewhere. */
void Timeline_Cancel(struct jobs_scheduler *sched, const struct jobs_unit *u);
/* Emits an event on a reservation, once for each job and start within a
 * second. */
void Timeline_Report(struct jobs_scheduler *sched, struct jobs_job *j,
                     int64_t start_ms, int64_t now_ms);

#endif
