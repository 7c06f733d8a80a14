/*
 * Internals of the order of long jobs: learned run times, failures, the queue.
 */
#ifndef ORDER_PRIVATE_H
#define ORDER_PRIVATE_H

#include "policy.h"

#define ORDER_WORKERS_MAX 8 /* different workers recorded for a job */

RB_HEAD(order_queue, order_item);
RB_HEAD(order_ids, order_item);
RB_HEAD(order_classes, order_class);
RB_HEAD(order_failures, order_failure_record);

/* The learned run time of a class, in natural logarithms: times are off by
 * factors, and in a plain mean hours would outweigh minutes. */
struct order_class {
    uint64_t hash;
    int samples;
    double typical_log;   /* mean log of run time */
    int declared_samples; /* samples with a declared time */
    double scale_log;     /* mean log of run time over declared time */
    /* Mean absolute error of each predictor. */
    double error_log[ORDER_PREDICTOR_COUNT];
    RB_ENTRY(order_class) entry;
};

/* The failures of one job. */
struct order_failure_record {
    struct id id;
    int fails;
    int workers;
    uint64_t worker_hashes[ORDER_WORKERS_MAX];
    int64_t not_before;
    RB_ENTRY(order_failure_record) entry;
};

struct order_item {
    struct order_job job;
    bool urgent;
    RB_ENTRY(order_item) by_key;
    RB_ENTRY(order_item) by_id;
};

struct order {
    struct order_limits limits;
    struct order_queue queue;
    struct order_ids ids;
    struct order_classes classes;
    int class_count;
    struct order_failures failures;
};

/* Returns the expected time of a whole run, and the predictor used. */
int64_t order_estimate(struct order *o, const char *class_name,
                       int64_t declared_ms, enum order_predictor *predictor);
void order_learn(struct order *o, const char *class_name, int64_t declared_ms,
                 int64_t ran_ms);
void order_classes_clear(struct order *o);
/* Returns the failures of a job, or NULL. */
const struct order_failure_record *order_failures_find(const struct order *o,
                                                       const struct id *id);
void order_failures_clear(struct order *o);

#endif
