/* Fair shares between organisations, as a tie-break in the order of waiting
 * units.
 *
 * One organisation may submit far more work than others for minutes. By
 * deadlines alone it would get room in proportion to what it submits, and jobs
 * of small organisations would wait as long as its own. Organisations are
 * compared by their dominant share: the largest of their shares of cores,
 * memory and accelerators, averaged with a half-life of FAIR_HALF_LIFE_MS. An
 * organisation above an equal part, one divided by the number of organisations
 * with work, lets the others precede it.
 *
 * Units that can meet their objective, and those that can't, each keep the
 * places that they have by deadline, and change places only among themselves.
 * A unit that has waited as long as its objective keeps its own place. All
 * units before it reach that state too, so the time for which a unit can be
 * overtaken is bounded. */
#ifndef JOBS_FAIR_H
#define JOBS_FAIR_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Bursts last 4 to 6 s, so one burst alone does not double a share. */
#define FAIR_HALF_LIFE_MS 10000

struct jobs_scheduler;
struct jobs_unit;

/* What an organisation uses of all workers, as parts of one. */
struct fair_organisation {
    char name[NAME_SIZE]; /* "": jobs without an organisation */
    double present[3];    /* cores, memory and accelerators, at this time */
    double average[3];    /* with less weight for older times */
    bool waits;           /* units of it wait */
    SLIST_ENTRY(fair_organisation) entry;
};
SLIST_HEAD(fair_organisations, fair_organisation);

/* A waiting unit with its deadline, by which units are ordered. */
struct waiting_unit {
    struct jobs_unit *unit;
    int64_t deadline_ms; /* the next one of its job */
    bool is_upcoming;    /* its occurrence is not due yet */
};

/* Averages what the organisations use. */
void Fair_Update(struct jobs_scheduler *sched, int64_t now_ms);
/* Returns the dominant share of an organisation; 0: it has used nothing. */
double Fair_Share(const struct jobs_scheduler *sched,
                  const char *organisation);
/* Changes the order of units that are sorted by rank and deadline. */
void Fair_Order(struct jobs_scheduler *sched, struct waiting_unit *list,
                size_t count, int64_t now_ms);
void Fair_Clear(struct fair_organisations *organisations);

#ifdef __cplusplus
}
#endif

#endif
