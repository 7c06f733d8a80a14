#include "jobs-scheduler.h"

#include <string.h>

/* Accelerators that a job holds at its widest step: what its organisation's
 * guarantee is drawn on for. */
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

/* What an organisation is guaranteed. */
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

/* Accelerators of the organisation's first-priority jobs taken before this
 * one and not ended. */
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
 * Failure: one organisation hands in first-priority work far beyond its
 * guarantee. Symptom: it fills all workers, and another organisation's
 * guaranteed job waits for it to end. First-priority jobs within their
 * organisation's guarantee, in the order of their arrival, therefore go before
 * those beyond it, and may evict them; guarantees together fit the workers, so
 * those within them never need each other's room. */
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
