/*
 * Bench of the cells package: the same arrivals through the chosen modules
 * and through named baselines, in virtual time, with fixed seeds. It calls
 * the pure modules only; network, agents and the table service are no part
 * of it.
 */
#ifndef CELLS_BENCH_H
#define CELLS_BENCH_H

#include "cells.h"

#define SECOND_MS INT64_C(1000)
#define MINUTE_MS (60 * SECOND_MS)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * HOUR_MS)

/* ---- arrivals (cells-work.c) -------------------------------------------- */

struct rng {
    uint64_t state;
};

uint64_t Rng_Next(struct rng *r);
double Rng_Unit(struct rng *r);   /* [0, 1) */
double Rng_Normal(struct rng *r); /* mean 0, deviation 1 */

/* A deployment: its tree, guarantees and load. */
struct site {
    const char *name;
    int workers;
    int domains;
    int organisations;
    int jobs_a_day;
    int most_accelerators; /* of one gang */
    double median_hours;   /* of a run; log-normal, sigma RUN_SIGMA */
    int failures_a_day;
    struct cells_weights weights;
};

#define RUN_SIGMA 1.0
#define RUN_LONGEST 10.0   /* medians */
#define ESTIMATE_SIGMA 0.8 /* of the estimate's error, log-normal */

extern const struct site SITES[];
extern const int SITE_COUNT;

/* A job as the driver knows it. */
struct bench_job {
    struct cells_request request;
    int64_t arrived_at;
    int64_t run_ms;   /* when adjacent and undisturbed */
    int64_t left_ms;  /* of run_ms */
    int64_t began_at; /* of the present attempt */
    int64_t ends_at;
    double slowdown; /* of the present attempt, by its spread */
    bool checkpoints;
    bool urgent;
    bool running;
    bool done;
    int64_t ended_at;
    int64_t first_start;
    int64_t start_delay; /* of an urgent one: wait and its victims' grace */
};

enum cells_reason Bench_Plan(const struct cells *c,
                             const struct cells_request *q,
                             const struct cells_weights *weights);
struct cells *Site_Build(const struct site *site);
/* Makes n jobs for so many days; the caller frees them. */
struct bench_job *Site_Jobs(const struct site *site, int days, uint64_t seed,
                            int *n);
const char *Site_Organisation(int i, char *name, size_t size);

/* ---- the driver (cells-drive.c) ----------------------------------------- */

struct variant {
    const char *name;
    unsigned baseline;
    bool no_reservation;
    bool no_backfill;
    bool defrag;
    int completion; /* weights, when not both 0 */
    int fragmentation;
};

/* What came out; times in hours, shares in per cent. */
struct outcome {
    double completion_mean;
    double completion_median;
    double completion_p99;
    double large_p99;     /* of gangs of LARGE_GANG accelerators or more */
    double near;          /* gangs that started within one rack */
    double fragmentation; /* mean over time */
    double waited_enough; /* time with a gang waiting though enough is free */
    double jain;          /* between organisations, of mean stretch */
    double urgent_late;   /* urgent ones that began after 1.8 s */
    double lost_work;     /* accelerator-hours a day */
    double victims;       /* a day */
    double moves;         /* of bindings, a day */
    double refused;       /* idle healthy cells that a claim did not get */
    double unfinished;    /* jobs that had not ended a day after the last */
};

#define LARGE_GANG 16
#define URGENT_MS INT64_C(1800)

void Drive(const struct site *site, const struct variant *variant, int days,
           uint64_t seed, struct outcome *out);

#endif
