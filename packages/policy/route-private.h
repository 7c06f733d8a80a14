/*
 * Inside of routing: the upstreams, and where they stand.
 */
#ifndef ROUTE_PRIVATE_H
#define ROUTE_PRIVATE_H

#include "policy.h"

/* Handles of a failure domain's upstreams, or of all. */
struct route_list {
    int *at;
    int count;
    int room;
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
    int own;    /* outstanding, sent by this entry */
    int others; /* outstanding, sent by other entries, as reported */
    int other_connections;
    bool reported;
    int64_t reported_at;
    double slowness; /* latency over expected latency, averaged */
    int64_t slowness_at;
    struct health health;
};

struct route {
    struct route_limits limits;
    struct route_upstream *up;
    int count;
    int room;
    struct route_domain *domain;
    int domains;
    struct route_list all; /* known ones */
    int64_t others_sum;    /* of known ones */
    int out;               /* known ones ejected or probed */
    int64_t probe_at;      /* no probe is due before */
    double median;         /* of slowness */
    int median_age;        /* results since it was computed */
    int freed;             /* the upstream settled last */
    bool full;             /* no slot was free, and nothing has changed */
    int64_t full_at;
};

/* Load in requests, by what is known at this time. */
double route_load(const struct route *r, const struct route_upstream *u,
                  int64_t now);
/* Slowness against the median; raw, or with what may be chance left out. */
double route_raw_slowness(const struct route *r,
                          const struct route_upstream *u, int64_t now);
double route_slowness(const struct route *r, const struct route_upstream *u,
                      int64_t now);
/* True when a slot and a connection are free. */
bool route_has_room(const struct route *r, const struct route_upstream *u,
                    int64_t now);
/* True when it may be sent work: known, staying, in use. */
bool route_takes(const struct route_upstream *u);

#endif
