/*
 * The parts of load-bench: scenarios of requests, the order of long jobs.
 */
#ifndef LOAD_BENCH_H
#define LOAD_BENCH_H

#include "load-sim.h"

#define BENCH_SEEDS 5

/* Mean and spread of a figure over the seeds. */
struct bench_figure {
    double sum;
    double least;
    double most;
    int count;
};

void bench_add(struct bench_figure *f, double value);
/* Writes "mean (least-most)" with this many decimals. */
const char *bench_show(const struct bench_figure *f, int decimals, char *out,
                       size_t size);

void bench_order(void);

#endif
