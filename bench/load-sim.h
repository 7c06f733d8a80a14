/*
 * A driver in virtual time for the decisions under load: arrivals, entries
 * that decide by the modules of policy or by a named baseline, and workers
 * that hold slots for a time. It calls pure modules only: no network, no
 * processes, no failure detection. Same seed, same run.
 */
#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include "policy.h"

#ifdef __cplusplus
extern "C" {
#endif

enum sim_admit {
    SIM_ADMIT_POLICY,
    SIM_ADMIT_FCFS,   /* no limit, first come first served */
    SIM_ADMIT_BOUNDED /* first come first served, 4 places for each slot */
};

enum sim_route {
    SIM_ROUTE_POLICY,
    SIM_ROUTE_ROUND_ROBIN,
    SIM_ROUTE_LEAST_PENDING, /* of own outstanding requests, over all */
    SIM_ROUTE_LEAST_REPORTED /* the same plus others', as last reported */
};

enum sim_retry {
    SIM_RETRY_BUDGET,
    SIM_RETRY_ALWAYS, /* every failure, up to 3 attempts */
    SIM_RETRY_HEDGE   /* the budget, with hedges */
};

enum sim_service { SIM_FIXED, SIM_EXPONENTIAL, SIM_HEAVY };

/* Requests of one kind. */
struct sim_stream {
    const char *organisation;
    const char *caller; /* not NULL */
    const char *key;
    const char *class_name;
    enum priority priority;
    double per_s;
    double service_ms; /* mean */
    enum sim_service service;
    int64_t deadline_ms; /* after each offer; callers wait no longer */
    int64_t from_ms;
    int64_t to_ms;
    bool repeatable;
    int returns; /* times that a refused caller comes back when told to */
    int cancel_percent; /* of requests, given up by cancel_at_ms */
    int64_t cancel_at_ms;
};

/* Workers first..last, in from..to. */
struct sim_fault {
    int first;
    int last;
    int64_t from_ms;
    int64_t to_ms;
    double slow;     /* factor of service time; 0: as usual */
    int64_t fail_ms; /* fails everything after this long; 0: doesn't */
};

struct sim_config {
    int workers;
    int slots;
    int domains; /* of workers, in turn; entries likewise */
    int entries;
    int64_t hop_us; /* one way between domains */
    int64_t report_ms;
    int64_t report_delay_ms;
    int64_t until_ms;
    uint64_t seed;
    enum sim_admit admit;
    enum sim_route route;
    enum sim_retry retry;
    const struct sim_stream *streams;
    int stream_count;
    const struct sim_fault *faults;
    int fault_count;
    struct admission_limits admission;
    struct route_limits routing;
};

struct sim_samples {
    int64_t *at; /* us */
    size_t count;
    size_t room;
};

/* What the callers of one stream received. */
struct sim_stream_result {
    int64_t offered; /* callers, not their returns */
    int64_t in_time; /* whole answers before the deadline */
    int64_t late;
    int64_t refused; /* for good */
    int64_t failed;
    int64_t cancelled;
    int64_t refusals;    /* answers that were refusals */
    double work_in_time; /* ms */
    double work_offered;
    struct sim_samples completion; /* of answers, from the first offer */
    struct sim_samples refusal;    /* from an offer to its refusal */
    struct sim_samples retry_after;
};

struct sim_result {
    struct sim_stream_result *stream;
    int count;
    int64_t attempts;
    int64_t turned_away;  /* attempts that met a worker without a free slot */
    int64_t cross_domain; /* attempts to another domain */
    double work_done;     /* ms of slots, whether of use or not */
    int64_t replayed;     /* decisions judged again */
    int64_t differed;     /* of those, with another verdict */
    int64_t *worker_attempts;
};

void Sim_Run(const struct sim_config *config, struct sim_result *out);
void Sim_Free(struct sim_result *result); /* fit for CLEANUP */
/* The value below which this part of the samples lies, in ms; 0 if none. */
double Sim_Percentile(struct sim_samples *samples, double part);

/* Work answered in time, against what a fair division (max-min over callers)
 * of the slots over these seconds gives, 1 at most: Jain's index of that over
 * all callers, and that of the caller who is worst off. */
struct sim_fairness {
    double jain;
    double worst;
};

struct sim_fairness Sim_Fairness(const struct sim_config *config,
                                 const struct sim_result *result,
                                 double seconds);

#ifdef __cplusplus
}
#endif

#endif
