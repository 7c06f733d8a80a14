/*
 * Internals of routing: the upstreams, their domains and their load.
 */
#ifndef ROUTE_PRIVATE_H
#define ROUTE_PRIVATE_H

#include "policy.h"

/* Handles of the known upstreams of a failure domain, or of all. */
struct route_list {
    int *handles;
    int count;
    int capacity;
};

struct route_domain {
    char name[NAME_SIZE];
    struct route_list list;
};

struct route_upstream {
    char name[NAME_SIZE];
    int domain;
    int slots;
    int connections;
    bool known;
    bool leaving;
    int outstanding;        /* requests from this entry */
    int others_outstanding; /* requests from other entries, as reported */
    int others_connections;
    bool reported;
    int64_t reported_at;
    double slowness; /* average of latency over expected latency */
    int64_t slowness_at;
    struct health health;
};

struct route {
    struct route_limits limits;
    struct route_upstream *upstreams;
    int upstream_count;
    int upstream_capacity;
    struct route_domain *domains;
    int domain_count;
    struct route_list all;          /* known upstreams */
    int64_t others_outstanding_sum; /* sum over known upstreams */
    int out_of_use; /* known upstreams that are ejected or being probed */
    int64_t next_probe_at;    /* end of the first ejection; no probe before */
    double median_slowness;   /* over known upstreams */
    int results_since_median; /* results since median_slowness was computed */
    int last_settled; /* handle that Route_Settled was last called for */
    /* The last pick found no free slot, and no result, report or upstream
     * came since. */
    bool all_full;
    int64_t all_full_at;
};

/* Load of an upstream in requests, estimated for this time. */
double route_load(const struct route *r, const struct route_upstream *u,
                  int64_t now);
/* Slowness of an upstream relative to the median. route_slowness ignores
 * deviations that may be chance. */
double route_relative_slowness(const struct route *r,
                               const struct route_upstream *u, int64_t now);
double route_slowness(const struct route *r, const struct route_upstream *u,
                      int64_t now);
/* True when a slot and a connection are free. */
bool route_has_room(const struct route *r, const struct route_upstream *u,
                    int64_t now);
/* True when the upstream may get work: known, not leaving and not out of
 * use. */
bool route_accepts_work(const struct route_upstream *u);

#endif
