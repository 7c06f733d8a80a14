#include "jobs-scheduler.h"

#include <string.h>

/* Returns the accelerators that a job holds at its widest step, which count
 * against its organisation's guarantee. */
static int64_t
peak_accelerators(const struct jobs_job *j)
{
    int64_t widest = 0;

    for (uint32_t i = 0; i < j->spec.step_count; i++) {
        const struct jobs_step *s = &j->spec.steps[i];
        int64_t n = (int64_t)s->count * s->need.accelerators;

        widest = n > widest ? n : widest;
    }
    return widest;
}

/* Returns the accelerators that are guaranteed to an organisation. */
static int64_t
guaranteed_of(const struct jobs_config *c, const char *organisation)
{
    for (size_t i = 0; c != NULL && i < c->organisation_count; i++) {
        if (strcmp(c->organisations[i].name, organisation) == 0) {
            return c->organisations[i].guaranteed;
        }
    }
    return 0;
}

/* Sums up the accelerators of the organisation's jobs of priority 0 that
 * arrived before this one and have not ended. */
static int64_t
claimed_before(const struct jobs_scheduler *sched, const struct jobs_job *j)
{
    const struct jobs_job *other;
    int64_t sum = 0;

    TAILQ_FOREACH (other, &sched->active, active) {
        if (other == j) {
            break;
        }
        if (other->qos.priority == 0 && other->state <= JOB_RUNNING &&
            strcmp(other->spec.organisation, j->spec.organisation) == 0) {
            sum += peak_accelerators(other);
        }
    }
    return sum;
}

/* Ranks the active jobs.
 *
 * An organisation may submit work of priority 0 far beyond its guarantee,
 * which fills all workers while a guaranteed job of another organisation
 * waits. So jobs of priority 0 within their organisation's guarantee, counted
 * in the order of their arrival, are served before those beyond it and may
 * evict them. All guarantees together fit the workers, so guaranteed jobs
 * never need each other's resources. */
void
Rank_All(struct jobs_scheduler *sched)
{
    struct jobs_job *j;

    TAILQ_FOREACH (j, &sched->active, active) {
        j->rank = j->qos.priority;
        if (j->qos.priority == 0 &&
            claimed_before(sched, j) + peak_accelerators(j) <=
                guaranteed_of(sched->config, j->spec.organisation)) {
            j->rank = RANK_GUARANTEED;
        }
    }
}
