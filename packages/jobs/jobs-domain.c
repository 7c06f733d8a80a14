/* Failure domains that operators empty: nothing new starts there, and runs
 * that are there continue to their end. */
#include "jobs-scheduler.h"

#include <string.h>

/* Returns the index of a name, or the count when it is not there. */
static size_t
index_of(const struct jobs_domains *d, const char *name)
{
    size_t i;

    for (i = 0; i < d->count && strcmp(d->names[i], name) != 0; i++) {
    }
    return i;
}

/* True when the set has that domain. */
bool
JobsDomains_Has(const struct jobs_domains *d, const char *name)
{
    return index_of(d, name) < d->count;
}

/* Adds or removes a domain. */
int
JobsDomains_Set(struct jobs_domains *d, const char *name, bool emptied)
{
    size_t i = index_of(d, name);

    if (emptied == (i < d->count)) {
        return ERR_OK;
    }
    if (!emptied) {
        d->count--;
        memmove(d->names[i], d->names[d->count], NAME_SIZE);
        return ERR_OK;
    }
    if (d->count == JOBS_DOMAINS_MAX) {
        return ERR_NOMEM;
    }
    return Str_Copy(d->names[d->count++], NAME_SIZE, name);
}

/* True when both sets have the same members. */
bool
JobsDomains_Equal(const struct jobs_domains *a, const struct jobs_domains *b)
{
    for (size_t i = 0; i < a->count; i++) {
        if (!JobsDomains_Has(b, a->names[i])) {
            return false;
        }
    }
    return a->count == b->count;
}

/* True when nothing may start on a worker because of its failure domain. While
 * any domain is emptied, this includes workers whose reports have no domain:
 * they may be in a domain that is about to lose power. */
bool
Domain_IsEmptied(const struct jobs_scheduler *sched,
                 const struct jobs_worker *w)
{
    return sched->emptied.count > 0 &&
           (*w->domain == '\0' || JobsDomains_Has(&sched->emptied, w->domain));
}

/* Sets the domains that are emptied. */
void
Jobs_SetEmptied(struct jobs_scheduler *sched, const struct jobs_domains *d)
{
    struct jobs_job *j;

    sched->emptied = *d;
    TAILQ_FOREACH (j, &sched->active, active) {
        j->domain_wait_reported = false;
    }
}

/* Counts the tasks that may be running in a domain. */
size_t
Jobs_TasksIn(const struct jobs_scheduler *sched, const char *domain)
{
    const struct jobs_task *t;
    struct jobs_worker *w;
    size_t n = 0;

    RB_FOREACH (w, jobs_worker_tree,
                (struct jobs_worker_tree *)&sched->workers) {
        if (strcmp(w->domain, domain) != 0) {
            continue;
        }
        TAILQ_FOREACH (t, &w->tasks, on_worker) {
            n++;
        }
    }
    return n;
}

/* Sums up the accelerators that may be used, and those that are guaranteed. */
void
Jobs_Guarantees(const struct jobs_scheduler *sched, int64_t *usable,
                int64_t *guaranteed)
{
    const struct jobs_config *c = sched->config;
    struct jobs_worker *w;

    *usable = *guaranteed = 0;
    RB_FOREACH (w, jobs_worker_tree,
                (struct jobs_worker_tree *)&sched->workers) {
        if (w->reported && !w->draining && !Domain_IsEmptied(sched, w)) {
            *usable += w->capacity.accelerators;
        }
    }
    for (size_t i = 0; c != NULL && i < c->organisation_count; i++) {
        *guaranteed += c->organisations[i].guaranteed;
    }
}

/* Emits an event, once for each job, when only workers in emptied domains
 * could run a unit. */
void
Domain_ReportWaiting(struct jobs_scheduler *sched, struct jobs_unit *u,
                     int64_t now_ms)
{
    struct jobs_worker *w;
    bool domain_wait_reported = false;

    if (sched->emptied.count == 0 || u->job->domain_wait_reported) {
        return;
    }
    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        if (!Place_IsFit(sched, w, u, now_ms)) {
            continue;
        }
        if (!Domain_IsEmptied(sched, w)) {
            return;
        }
        domain_wait_reported = true;
    }
    if (domain_wait_reported) {
        u->job->domain_wait_reported = true;
        Event_Job(sched, JOBS_JOB_WAITS, u->job, "domain_emptied")->number =
            now_ms - u->job->arrived_ms;
    }
}
