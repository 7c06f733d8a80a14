/* Failure domains that operators empty: nothing starts there, and what runs
 * goes on to its end. */
#include "jobs-scheduler.h"

#include <string.h>

/* The place of a name, or the count. */
static size_t
place_of(const struct jobs_domains *d, const char *name)
{
    size_t i;

    for (i = 0; i < d->count && strcmp(d->names[i], name) != 0; i++) {
    }
    return i;
}

/* True when that domain is emptied. */
bool
JobsDomains_Has(const struct jobs_domains *d, const char *name)
{
    return place_of(d, name) < d->count;
}

/* Adds or drops a domain. */
int
JobsDomains_Set(struct jobs_domains *d, const char *name, bool emptied)
{
    size_t i = place_of(d, name);

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

/* True when both name the same. */
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

/* True when nothing may start on a worker.
 *
 * Failure: a report does not say where its machine stands. Symptom of using
 * its worker: something starts in a domain whose power is about to be cut.
 * While any domain is emptied it gets nothing. */
bool
Domain_IsEmptied(const struct jobs_scheduler *b, const struct jobs_worker *w)
{
    return b->emptied.count > 0 &&
           (*w->domain == '\0' || JobsDomains_Has(&b->emptied, w->domain));
}

/* Takes the domains that are emptied. */
void
Jobs_SetEmptied(struct jobs_scheduler *b, const struct jobs_domains *d)
{
    struct jobs_job *j;

    b->emptied = *d;
    TAILQ_FOREACH (j, &b->active, active) {
        j->barred = false;
    }
}

/* Tasks that may run in a domain. */
size_t
Jobs_TasksIn(const struct jobs_scheduler *b, const char *domain)
{
    const struct jobs_task *t;
    struct jobs_worker *w;
    size_t n = 0;

    RB_FOREACH (w, lifetime_tree, (struct lifetime_tree *)&b->workers) {
        if (strcmp(w->domain, domain) != 0) {
            continue;
        }
        TAILQ_FOREACH (t, &w->tasks, on_worker) {
            n++;
        }
    }
    return n;
}

/* Accelerators that may be used, and that are guaranteed. */
void
Jobs_Guarantees(const struct jobs_scheduler *b, int64_t *usable,
                int64_t *guaranteed)
{
    const struct jobs_config *c = b->config;
    struct jobs_worker *w;

    *usable = *guaranteed = 0;
    RB_FOREACH (w, lifetime_tree, (struct lifetime_tree *)&b->workers) {
        if (w->heard && !w->draining && !Domain_IsEmptied(b, w)) {
            *usable += w->capacity.accelerators;
        }
    }
    for (size_t i = 0; c != NULL && i < c->organisation_count; i++) {
        *guaranteed += c->organisations[i].guaranteed;
    }
}

/* Tells once of each job that nothing but emptied domains could run a unit. */
void
Domain_NoteWaiting(struct jobs_scheduler *b, struct jobs_unit *u,
                   int64_t now_ms)
{
    struct jobs_worker *w;
    bool barred = false;

    if (b->emptied.count == 0 || u->job->barred) {
        return;
    }
    RB_FOREACH (w, lifetime_tree, &b->workers) {
        if (!Place_IsFit(b, w, u, now_ms)) {
            continue;
        }
        if (!Domain_IsEmptied(b, w)) {
            return;
        }
        barred = true;
    }
    if (barred) {
        u->job->barred = true;
        Event_Job(b, JOBS_JOB_WAITS, u->job, "domain_emptied")->number =
            now_ms - u->job->arrived_ms;
    }
}
