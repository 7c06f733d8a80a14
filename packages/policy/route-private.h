/*
 * Inside of routing: the upstreams, and where they stand.
 */
#ifndef ROUTE_PRIVATE_H
#define ROUTE_PRIVATE_H

#include "policy.h"

/* Handles of a failure domain's upstreams, or of all. */
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
    int outstanding;        /* outstanding, sent by this entry */
    int others_outstanding; /* outstanding, sent by other entries, as reported
                             */
    int others_connections;
    bool reported;
    int64_t reported_at;
    double slowness; /* latency over expected latency, averaged */
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
    struct route_list all;          /* known ones */
    int64_t others_outstanding_sum; /* of known ones */
    int out_of_use;                 /* known ones ejected or probed */
    int64_t next_probe_at;          /* no probe is due before */
    double median_slowness;         /* of slowness */
    int results_since_median;       /* results since it was computed */
    int last_settled;               /* the upstream settled last */
    bool all_full; /* no slot was free, and nothing has changed */
    int64_t all_full_at;
};

/* Load in requests, by what is known at this time. */
double route_load(const struct route *r, const struct route_upstream *u,
                  int64_t now);
/* Slowness against the median; raw, or with what may be chance left out. */
double route_relative_slowness(const struct route *r,
                               const struct route_upstream *u, int64_t now);
double route_slowness(const struct route *r, const struct route_upstream *u,
                      int64_t now);
/* True when a slot and a connection are free. */
bool route_has_room(const struct route *r, const struct route_upstream *u,
                    int64_t now);
/* True when it may be sent work: known, staying, in use. */
bool route_accepts_work(const struct route_upstream *u);

#endif
