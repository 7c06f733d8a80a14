/*
 * Internals of admission: requests, the flows that share a service, and the
 * learned costs of request classes.
 */
#ifndef ADMIT_PRIVATE_H
#define ADMIT_PRIVATE_H

#include "policy.h"

struct admit_flow;
RB_HEAD(admit_backlogs, admit_backlog);
RB_HEAD(admit_flow_index, admit_flow);
RB_HEAD(admit_id_index, admit_request);
RB_HEAD(admit_expiry, admit_request);
RB_HEAD(admit_class_index, admit_class);
TAILQ_HEAD(admit_fifo, admit_request);
TAILQ_HEAD(admit_idle, admit_flow);

/* The learned service time of one class. */
struct admit_class {
    uint64_t hash;
    int samples;
    double mean_ms;
    double dev_ms; /* mean absolute deviation */
    RB_ENTRY(admit_class) entry;
};

struct admit_classes {
    struct admit_class_index index;
    int count;
};

/* The requests that a flow has waiting at one priority. */
struct admit_backlog {
    struct admit_flow *flow;
    struct admit_backlogs children; /* of children with work, by vtime */
    struct admit_fifo fifo;         /* of a key only: its requests */
    int queued;
    int64_t queued_ms;
    double waited_ms;    /* of an organisation: past waits, decaying */
    double predicted_ms; /* of an organisation: predicted waits, decaying */
    RB_ENTRY(admit_backlog) entry; /* in the parent's children */
};

/* A flow of fair queueing: the root, an organisation, a caller or a key. */
struct admit_flow {
    struct admit_flow *parent;
    uint64_t hash; /* of the name, which is unique in the parent */
    uint64_t sequence;
    int weight;
    bool has_weight; /* a weight was set; never freed */
    int refs;        /* children, queued and running requests, set weight */
    int queued;      /* at all priorities */
    int64_t vtime;   /* work served, divided by weight, in us */
    int64_t virtual_clock; /* least vtime of its children with work */
    int64_t weight_sum;    /* of its children with work */
    int64_t retries_reserved_until;
    struct admit_backlog backlog[PRIORITY_COUNT];
    RB_ENTRY(admit_flow) index;
    TAILQ_ENTRY(admit_flow) idle;
};

struct admit_flows {
    struct admit_flow root;
    struct admit_flow_index index;
    struct admit_idle idle; /* flows without refs, longest idle first */
    int idle_count;
    int count;
    uint64_t sequence;
};

enum admit_state {
    ADMIT_QUEUED,
    ADMIT_EXPIRED, /* out of the queue, until Admission_Expire takes it */
    ADMIT_RUNNING
};

struct admit_request {
    struct id id;
    struct admit_flow *key;
    uint64_t class_hash;
    enum priority priority;
    enum admit_state state;
    int64_t cost_ms;
    int64_t latest_start; /* INT64_MAX without a deadline */
    int64_t deadline_at;
    int64_t cost_high_ms;
    int64_t offered_at;
    int64_t taken_at;     /* when Admission_Next took it */
    int64_t predicted_ms; /* wait, before it was scaled by stretch_milli */
    RB_ENTRY(admit_request) by_id;
    RB_ENTRY(admit_request) by_expiry;
    TAILQ_ENTRY(admit_request) in_key; /* or in admission.expired */
    TAILQ_ENTRY(admit_request) in_level;
};

struct admission {
    struct admission_limits limits;
    struct admit_flows flows;
    struct admit_classes classes;
    struct admit_id_index ids;
    struct admit_expiry expiry;
    struct admit_fifo level[PRIORITY_COUNT]; /* queued, oldest first */
    struct admit_fifo expired;
    int running;
    double release_rate;       /* slots expected to be freed per ms */
    int dispatches_since_aged; /* since the last aged turn */
    double busy_slot_ms;       /* slots in use times backlogged ms, decaying */
    double backlogged_ms;      /* time with a backlog, decaying */
    int64_t drain_updated_at;
};

/* The expected cost of one more request of a class. */
struct admit_cost {
    int64_t mean_ms;
    int64_t high_ms;
};

struct admit_cost admit_class_cost(struct admit_classes *classes,
                                   uint64_t hash, int64_t hint_ms,
                                   int64_t fallback_ms);
void admit_class_learn(struct admit_classes *classes, uint64_t hash,
                       int64_t service_ms);
void admit_class_clear(struct admit_classes *classes);

void admit_flows_init(struct admit_flows *flows);
void admit_flows_clear(struct admit_flows *flows);
struct admit_flow *admit_flow_get(struct admit_flows *flows,
                                  struct admit_flow *parent, const char *name);
/* Returns NULL when there is no such flow, or when parent is NULL. */
struct admit_flow *admit_flow_find(struct admit_flows *flows,
                                   struct admit_flow *parent,
                                   const char *name);
void admit_flow_ref(struct admit_flows *flows, struct admit_flow *flow);
void admit_flow_unref(struct admit_flows *flows, struct admit_flow *flow);
void admit_flow_set_weight(struct admit_flow *flow, int weight);
/* Adds a request (sign 1) to the counts of a key and its ancestors, or removes
 * it (sign -1). */
void admit_flow_count(struct admit_flow *key, enum priority level, int sign,
                      int64_t cost_ms);
/* Charges work to a key and its ancestors; negative work is a refund. */
void admit_flow_charge(struct admit_flow *key, int64_t work_ms);
/* Returns the key to serve next and the priority to serve there; NULL without
 * work. lead is the most vtime that a flow may be ahead and still have
 * precedence. */
struct admit_flow *admit_flow_choose(struct admit_flow *root, int64_t lead,
                                     enum priority *level,
                                     enum admission_turn *turn);
/* Returns the key to serve next at this priority, by vtime alone. */
struct admit_flow *admit_flow_choose_at(struct admit_flow *root,
                                        enum priority level);

void admit_enqueue(struct admission *a, struct admit_request *r, bool first);
void admit_dequeue(struct admission *a, struct admit_request *r);
struct admit_request *admit_find(struct admission *a, const struct id *id);
void admit_expire_overdue(struct admission *a, int64_t now);
struct admit_request *admit_add_request(struct admission *a,
                                        const struct admission_facts *facts,
                                        const struct admit_cost *cost,
                                        int64_t now);
void admit_drop(struct admission *a, struct admit_request *r);
void admit_clear(struct admission *a);

/* Update and return the measured number of slots that serve the backlog of
 * this entry. */
void admit_update_drain(struct admission *a, int64_t now);
int64_t admit_drain_milli(const struct admission *a);
/* Learns from a wait that ended by dispatch or by expiry. */
void admit_learn_wait(const struct admit_request *r, int64_t now);
/* Gathers the inputs of Admission_Judge for a request of this organisation,
 * caller and key, each NULL when not known yet. Fields of the request itself
 * stay zero. */
struct admission_inputs admit_flow_inputs(const struct admission *a,
                                          const struct admit_flow *org,
                                          const struct admit_flow *caller,
                                          const struct admit_flow *key,
                                          enum priority priority, int64_t now);
/* Gathers all inputs of Admission_Judge, with the fields of the request. */
struct admission_inputs admit_inputs(struct admission *a,
                                     const struct admission_facts *facts,
                                     const struct admit_cost *cost,
                                     int64_t now, uint64_t rnd);
/* Reserves the time at which a refused request is expected to retry. */
void admit_reserve_retry(struct admission *a, struct admit_flow *org,
                         const struct admission_decision *d);

#endif
