#include "jobs-scheduler.h"

#include <string.h>

/* A job that ends later than this many times its objective is of no use to its
 * caller. */
#define USELESS_FACTOR 3

/* Returns the length of a step's run: as measured, or as predicted from its
 * caller's estimate and other runs of the queue. */
static int64_t
work_ms(const struct jobs_job *j, uint32_t step)
{
    return j->step_work_ms[step] != 0 ? j->step_work_ms[step]
                                      : j->predicted_ms[step];
}

/* Sets a job's objective, and for each step the remaining time until the job
 * ends, along the longest chain of steps that come after it. */
void
Objective_Set(const struct jobs_scheduler *sched, struct jobs_job *j)
{
    int64_t longest = 0;

    memset(j->remaining_ms, 0, sizeof(j->remaining_ms));
    for (uint32_t i = j->spec.step_count; i-- > 0;) {
        const struct jobs_step *s = &j->spec.steps[i];

        j->predicted_ms[i] =
            Size_Predict(&sched->sizes, j->spec.queue, s->estimate_ms);
        j->remaining_ms[i] += work_ms(j, i);
        for (uint32_t k = 0; k < s->after_count; k++) {
            int64_t *predecessor_ms = &j->remaining_ms[s->after[k]];

            *predecessor_ms = j->remaining_ms[i] > *predecessor_ms
                                  ? j->remaining_ms[i]
                                  : *predecessor_ms;
        }
        longest = j->remaining_ms[i] > longest ? j->remaining_ms[i] : longest;
    }
    j->objective_ms =
        (int64_t)(j->qos.stretch * (double)longest) + j->qos.target_ms;
}

/* Returns when a unit's occurrence was due, or its job arrived, by the owner's
 * clock. */
static int64_t
arrived_ms(const struct jobs_unit *u)
{
    return u->due_ms != 0 ? u->due_ms : u->job->arrived_ms;
}

/* Returns how long a unit may still wait for its job to meet its objective;
 * negative when the objective can't be met any more. */
int64_t
Objective_SlackMs(const struct jobs_unit *u, int64_t now_ms)
{
    return arrived_ms(u) + u->job->objective_ms - now_ms -
           u->job->remaining_ms[u->step];
}

/* True when a unit's job will end too late to be of use to its caller. */
bool
Objective_IsUseless(const struct jobs_unit *u, int64_t now_ms)
{
    return Objective_SlackMs(u, now_ms) +
               (USELESS_FACTOR - 1) * u->job->objective_ms <
           0;
}

/* Returns the next deadline of a unit's job: the end of its objective; when
 * that can't be met any more, the time after which the result is of no use;
 * after that, a time twice as late.
 *
 * If jobs that are late were served first during an overload, jobs that could
 * still be in time would become late as well. Deadlines are absolute times, so
 * a waiting unit is served before all that arrive much later. */
int64_t
Objective_DeadlineMs(const struct jobs_unit *u, int64_t now_ms)
{
    int64_t objective = u->job->objective_ms;
    int64_t slack = Objective_SlackMs(u, now_ms);

    if (slack >= 0) {
        return arrived_ms(u) + objective;
    }
    if (slack + (USELESS_FACTOR - 1) * objective >= 0) {
        return arrived_ms(u) + USELESS_FACTOR * objective;
    }
    return arrived_ms(u) + 2 * USELESS_FACTOR * objective;
}
