/*
 * Inside of the order of long jobs: classes' records, failures, the queue.
 */
#ifndef ORDER_PRIVATE_H
#define ORDER_PRIVATE_H

#include "policy.h"

#define ORDER_WORKERS_MAX 8 /* different ones remembered for a job */

RB_HEAD(order_queue, order_item);
RB_HEAD(order_ids, order_item);
RB_HEAD(order_classes, order_class);
RB_HEAD(order_failures, order_failure_record);

/* What is known of a class, in natural logarithms: times are off by factors,
 * and a mean of hours would hide minutes. */
struct order_class {
    uint64_t hash;
    int samples;
    double typical_log;   /* of run time */
    int declared_samples; /* samples that were declared */
    double scale_log;     /* of run time over declared time */
    double
        error_log[ORDER_PREDICTOR_COUNT]; /* average size, of each predictor */
    RB_ENTRY(order_class) entry;
};

/* Failures of one job. */
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

/* Expected time of a whole run, and by which predictor. */
int64_t order_estimate(struct order *o, const char *class_name,
                       int64_t declared_ms, enum order_predictor *predictor);
void order_learn(struct order *o, const char *class_name, int64_t declared_ms,
                 int64_t ran_ms);
void order_classes_clear(struct order *o);
/* The failures of a job, or NULL. */
const struct order_failure_record *order_failures_find(const struct order *o,
                                                       const struct id *id);
void order_failures_clear(struct order *o);

#endif
