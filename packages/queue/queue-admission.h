/* Decides whether a submitted job is accepted. Pure: time, the job and the
 * forecast are arguments.
 *
 * During an overload, work that ends too late to be of use takes capacity from
 * work that could be in time. A job is refused only when the owner's forecast
 * shows that it can't end within USELESS_FACTOR times its objective, even if
 * its estimates are too high by FORECAST_ERROR. Without a recent forecast, and
 * in all cases of doubt, it is accepted: a job that is refused wrongly is lost
 * to its caller for now, one that is accepted wrongly only wastes some work.
 *
 * Callers that are refused return at the time that they are given. If all were
 * given the same, they would all come back at once and be refused again. Each
 * refusal therefore gets a time of its own, as far from the others as the
 * workers need for its work. Those that were refused before get the earlier
 * ones, in the order in which they first came. */
#ifndef QUEUE_ADMISSION_H
#define QUEUE_ADMISSION_H

#include "jobs-forecast.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A job that ends later than this many times its objective is of no use. */
#define USELESS_FACTOR 3
/* A forecast counts for four of the intervals at which it is sent. */
#define FORECAST_MAX_AGE_MS 2000
/* Bounds of a Retry-After. Callers round to seconds, and short overloads are
 * over after 30 s. */
#define RETURN_MIN_MS 1000
#define RETURN_MAX_MS 30000
#define REFUSALS_MAX 512

/* What the decision needs of a submitted job. */
struct submitted_job {
    char id[JOBS_ID_SIZE];
    char service[NAME_SIZE];
    int priority;
    int64_t length_ms;    /* of its longest chain of steps, as estimated */
    int64_t objective_ms; /* time from its arrival to its end */
    struct jobs_resources widest; /* of its widest step, all tasks */
    double work[3]; /* of all tasks: cores, memory, accelerators, times ms */
    bool exempt;    /* a service, one with repetitions, or guaranteed */
};

/* A caller that was refused and has not come back since. */
struct refused_job {
    struct submitted_job job;
    int64_t first_ms; /* when it was first refused */
    int64_t at_ms;    /* when it may come back */
    int64_t start_ms; /* when it would have started, by the forecast */
    bool checked;     /* start_ms was compared with what was free then */
};

struct queue_admission {
    struct jobs_forecast forecast;
    uint64_t term;
    uint64_t number;
    int64_t received_ms; /* 0: no forecast yet */
    struct refused_job refusals[REFUSALS_MAX];
    size_t refusal_count;
};

struct submit_decision {
    bool refused;
    const char *reason; /* a constant */
    int64_t wait_ms;    /* until it would start, at least */
};

/* Reads from a spec and its organisation's guarantee what the decision
 * needs. */
void QueueAdmission_ReadJob(const struct jobs_spec *s, int64_t guaranteed,
                            struct submitted_job *out);
/* Takes a forecast, moving its rows, unless a newer one was taken before.
 * Returns how many refused jobs could have started in the meantime, as what
 * was forecast as taken is free. */
size_t QueueAdmission_TakeForecast(struct queue_admission *a,
                                   struct jobs_forecast *f, uint64_t term,
                                   uint64_t number, int64_t now_ms);
/* Decides on a job. owner_term: the highest term that this entry knows. */
struct submit_decision QueueAdmission_Decide(const struct queue_admission *a,
                                             const struct submitted_job *j,
                                             uint64_t owner_term,
                                             int64_t now_ms);
/* Notes that a job is refused, and returns after which time its caller should
 * come back. entries: how many entries refuse callers. */
int64_t QueueAdmission_Refuse(struct queue_admission *a,
                              const struct submitted_job *j, size_t entries,
                              int64_t now_ms);
/* Forgets a refusal, as the job was accepted. */
void QueueAdmission_Forget(struct queue_admission *a, const char *id);
void QueueAdmission_Clear(struct queue_admission *a);

#ifdef __cplusplus
}
#endif

#endif
