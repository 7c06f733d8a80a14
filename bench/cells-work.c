#include "cells-bench.h"

#include <math.h>
#include <stdio.h>

/* The two deployments of today and the size to design for. At 88
 * accelerators 1,100 jobs a day leave 1.5 accelerator-hours for each, so
 * runs are shorter there; the table heads print the load. */
const struct site SITES[] = {
    {"Authority, 88", 11, 3, 4, 1100, 64, 0.065, 1, {80, 20, 0}},
    {"Bahay Kasama, 88", 11, 3, 4, 1100, 64, 0.065, 1, {30, 70, 0}},
    {"design, 6,240", 780, 10, 87, 1100, 512, 4.0, 7, {50, 50, 0}},
};
const int SITE_COUNT = COUNT_OF(SITES);

#define RACK_WORKERS 3
#define WORKER_ACCELERATORS 8
#define GUARANTEED_SHARE 0.35
#define URGENT_SHARE 0.05
#define CHECKPOINT_SHARE 0.7
#define CHECKPOINT_MS (20 * SECOND_MS)
#define GRACE_MS MINUTE_MS

/* Sizes of gangs and of tasks, with their shares in per cent. */
struct share {
    int value;
    int percent;
};

static const struct share TASKS[] = {{1, 40}, {2, 15}, {4, 15}, {8, 15},
                                     {16, 8}, {32, 4}, {64, 3}};
static const struct share ACCELERATORS[] = {{1, 60}, {2, 20}, {4, 12}, {8, 8}};

/* SplitMix64. */
uint64_t
Rng_Next(struct rng *r)
{
    uint64_t z = r->state += UINT64_C(0x9e3779b97f4a7c15);

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

/* Even in [0, 1). */
double
Rng_Unit(struct rng *r)
{
    return (double)(Rng_Next(r) >> 11) / (double)(UINT64_C(1) << 53);
}

/* Box-Muller. */
double
Rng_Normal(struct rng *r)
{
    double u = 1.0 - Rng_Unit(r), v = Rng_Unit(r);

    return sqrt(-2.0 * log(u)) * cos(2.0 * M_PI * v);
}

/* One value by its share. */
static int
draw(struct rng *r, const struct share *share, size_t n)
{
    int at = (int)(Rng_Unit(r) * 100);

    for (size_t i = 0; i < n; i++) {
        at -= share[i].percent;
        if (at < 0) {
            return share[i].value;
        }
    }
    return share[n - 1].value;
}

/* The name of an organisation. */
const char *
Site_Organisation(int i, char *name, size_t size)
{
    snprintf(name, size, "org%02d", i);
    return name;
}

/* Workers three to a rack, domains as even as may be, in three regions. */
static void
add_workers(struct cells *c, const struct site *site)
{
    int each = (site->workers + site->domains - 1) / site->domains;

    for (int i = 0; i < site->workers; i++) {
        struct cells_worker_info info = {.accelerators = WORKER_ACCELERATORS};
        int domain = i / each;

        snprintf(info.name, sizeof(info.name), "w%03d", i);
        snprintf(info.region, sizeof(info.region), "region%d",
                 domain * 3 / site->domains);
        snprintf(info.domain, sizeof(info.domain), "domain%d", domain);
        snprintf(info.rack, sizeof(info.rack), "rack%d",
                 i % each / RACK_WORKERS);
        if (Cells_AddWorker(c, &info) < 0) {
            Fatal("bench: worker %s", info.name);
        }
    }
}

/* Guarantees of one organisation: about three quarters of the topology in
 * all; the first of every eight is a large one. */
static void
add_guarantees(struct cells *c, const struct site *site, int i)
{
    static const struct cells_shape rack = {RACK_WORKERS, 0}, worker = {1, 0},
                                    four = {0, 4}, two = {0, 2};
    bool small_site = site->organisations <= 4;
    char name[NAME_SIZE];

    Site_Organisation(i, name, sizeof(name));
    Cells_SetGuarantee(c, name, rack, small_site ? i == 0 : 1 + (i % 8 == 0));
    Cells_SetGuarantee(c, name, worker, small_site ? 1 : 3);
    Cells_SetGuarantee(c, name, four, small_site ? i > 0 : 1);
    Cells_SetGuarantee(c, name, two, 1);
}

/* The account of a deployment, with its guarantees in force. */
struct cells *
Site_Build(const struct site *site)
{
    struct cells *c = Cells_New();
    struct cells_feasibility report;

    add_workers(c, site);
    for (int i = 0; i < site->organisations; i++) {
        add_guarantees(c, site, i);
    }
    if (Cells_CheckGuarantees(c, &report) != ERR_OK ||
        Cells_PendingCount(c, NULL) > 0) {
        Fatal("bench: the guarantees of %s are not feasible", site->name);
    }
    return c;
}

/* Draws one job. */
static void
draw_job(struct rng *r, const struct site *site, struct bench_job *job)
{
    struct cells_request *q = &job->request;
    int org = (int)(pow(Rng_Unit(r), 1.5) * site->organisations);
    double times = exp(RUN_SIGMA * Rng_Normal(r));
    double hours =
        site->median_hours * (times < RUN_LONGEST ? times : RUN_LONGEST);

    Site_Organisation(org, q->organisation, sizeof(q->organisation));
    q->accelerators = draw(r, ACCELERATORS, COUNT_OF(ACCELERATORS));
    do {
        q->tasks = draw(r, TASKS, COUNT_OF(TASKS));
    } while (q->tasks * q->accelerators > site->most_accelerators);
    q->within = CELLS_LEVEL_ALL;
    q->guaranteed = Rng_Unit(r) < GUARANTEED_SHARE;
    job->urgent = Rng_Unit(r) < URGENT_SHARE;
    if (job->urgent) {
        q->guaranteed = true;
        q->tasks = 1;
        q->accelerators = 1;
        q->start_within_ms = URGENT_MS;
        q->priority = 1;
        q->preempt = true;
    }
    job->run_ms = (int64_t)(hours * (double)HOUR_MS) + MINUTE_MS;
    job->left_ms = job->run_ms;
    q->estimate_ms =
        (int64_t)((double)job->run_ms * exp(ESTIMATE_SIGMA * Rng_Normal(r)));
    job->checkpoints = Rng_Unit(r) < CHECKPOINT_SHARE;
    q->checkpoint_ms = job->checkpoints ? CHECKPOINT_MS : -1;
    q->grace_ms = GRACE_MS;
}

/* Arrivals at random times, in their order. */
struct bench_job *
Site_Jobs(const struct site *site, int days, uint64_t seed, int *n)
{
    struct rng r = {seed};
    struct bench_job *jobs;
    double at = 0, mean = (double)DAY_MS / site->jobs_a_day;

    *n = site->jobs_a_day * days;
    jobs = Mem_Zero((size_t)*n, sizeof(*jobs));
    for (int i = 0; i < *n; i++) {
        at += -log(1.0 - Rng_Unit(&r)) * mean;
        jobs[i].arrived_at = (int64_t)at;
        jobs[i].request.job = (uint64_t)i + 1;
        draw_job(&r, site, &jobs[i]);
    }
    return jobs;
}
