/*
 * Inside of the driver: events, requests, attempts, entries and workers.
 */
#ifndef LOAD_SIM_PRIVATE_H
#define LOAD_SIM_PRIVATE_H

#include "load-sim.h"

#define ATTEMPTS_MAX 3
#define NEAR_US 100 /* one way within a domain */

enum event_kind {
    EVENT_ARRIVE, /* a stream's next request */
    EVENT_OFFER,  /* a refused caller is back */
    EVENT_REACH,  /* an attempt reaches its worker */
    EVENT_END,    /* the worker is done with it */
    EVENT_REPLY,  /* its result reaches the entry */
    EVENT_REPORT, /* a worker writes its load down */
    EVENT_HEAR,   /* entries hear of it */
    EVENT_TIMER,  /* an entry looks at its queue */
    EVENT_CANCEL, /* a caller gives up */
    EVENT_HEDGE   /* an answer is late */
};

struct event {
    int64_t at; /* us */
    uint64_t serial;
    enum event_kind kind;
    int index;
};

struct request {
    struct id id;
    int index;
    int stream;
    int entry;
    int64_t first_at; /* us, as all here */
    int64_t offered_at;
    int64_t sent_at;
    int64_t deadline_at;
    int64_t service_us;
    int64_t taken_at; /* out of the queue */
    int64_t cost_ms;  /* as expected when it was dispatched */
    int returns;
    int attempts;
    int open; /* attempts without a result */
    int tried[ATTEMPTS_MAX];
    int tried_count;
    bool done;
    TAILQ_ENTRY(request) queue;
};

TAILQ_HEAD(request_queue, request);

struct attempt {
    struct request *request;
    int worker;
    int64_t sent_at;
    int64_t began_at;
    int others; /* requests of other entries when it ended */
    enum route_outcome outcome;
};

struct entry {
    int domain;
    struct admission *admission;
    struct route *route;
    struct retry **retry;       /* one for each stream */
    struct request_queue queue; /* of the baselines */
    int queued;
    int running;
    int *outstanding; /* by worker, for the baselines */
    int turn;
};

struct worker {
    int domain;
    int busy;
    int *busy_for; /* by entry */
    int *written;  /* others' requests when the last report was written */
    int *heard;    /* the same, as last heard by each entry */
};

struct sim {
    const struct sim_config *config;
    struct sim_result *result;
    uint64_t random;
    int64_t now; /* us */
    uint64_t serial;
    struct event *heap;
    size_t events;
    size_t room;
    struct entry *entry;
    struct worker *worker;
    struct request **request;
    int requests;
    int request_room;
    struct attempt *attempt;
    int attempts;
    int attempt_room;
    int next_entry;
};

int64_t sim_ms(const struct sim *s);
uint64_t sim_random(struct sim *s);
double sim_uniform(struct sim *s); /* in (0, 1] */
int64_t sim_service_us(struct sim *s, const struct sim_stream *stream);
void sim_at(struct sim *s, int64_t at, enum event_kind kind, int index);
bool sim_next(struct sim *s, struct event *out);
void sim_sample(struct sim_samples *samples, int64_t us);

/* What an entry does; load-sim-entry.c. */
void entry_offer(struct sim *s, struct request *q);
void entry_pump(struct sim *s, int entry);
void entry_reply(struct sim *s, int attempt);
void entry_hedge(struct sim *s, struct request *q);
void entry_cancel(struct sim *s, struct request *q);

/* Where a request goes, by the configured rule; ROUTE_NONE: nowhere now. */
int sim_choose(struct sim *s, struct entry *e, const struct request *q);
/* Time of a message between an entry and a worker. */
int64_t sim_hop_us(const struct sim *s, const struct entry *e, int worker);
/* An entry hears of a worker's load. */
void sim_hear(struct sim *s, int entry, int worker, int others,
              int64_t age_us);

#endif
