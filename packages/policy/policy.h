/*
 * policy: the decisions under load.
 *
 * Whom to serve, who waits and who is refused (Admission), where a request
 * goes (Route), which upstreams are left alone for a while (Health), whether
 * a failed request is sent again or doubled (Retry), and in what order long
 * jobs are tried (Order).
 *
 * Nothing here reads a clock, a socket or a file, logs, or keeps global
 * state. Time (int64_t, milliseconds of a clock that never goes back),
 * randomness (uint64_t) and observations are arguments; the result is a
 * decision with its typed reason and the inputs that decided. Each module
 * has a pure function from those inputs to the verdict (Admission_Judge,
 * Route_Judge, Retry_Judge, Health_Judge, Order_JudgeFailure), and the
 * stateful functions go through it: a recorded decision can be judged again.
 *
 * Objects belong to one task and are not locked. Strings are copied or
 * hashed, never kept.
 */
#ifndef POLICY_H
#define POLICY_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- admission ---------------------------------------------------------
 *
 * Pattern: a burst or lasting overload, often from one organisation, caller
 * or key; work of very different cost; callers who come back when refused.
 * Without it: the queue grows until every answer is late (all work is done,
 * none is of use), whoever sends most is served most, and refused callers
 * return together.
 *
 * Answer: a request runs or queues only if its predicted wait and service
 * time fit its deadline (the prediction is corrected by how it did of late,
 * as later arrivals may go ahead); otherwise it is refused at once with the
 * time when the excess will have drained, plus jitter. Queued requests are
 * served by start-time fair queueing over organisations (weighted), their
 * callers and the callers' keys, charged by work (expected service ms at
 * dispatch, corrected when finished). Urgent goes before normal before batch,
 * but an organisation has that precedence only while it is at most lead_ms
 * times capacity of work ahead of the others; and a request of a lower
 * priority that has waited for age_ms gets every eighth dispatch.
 *
 * Grounds: learning gains 1/8 and 1/4 are those of RFC 6298; the rest is
 * measured in docs/results/load.md.
 */

#define ADMISSION_WEIGHT 100 /* weight of an organisation without one */

struct admission;

/* What bounds a queue; 0 in any field takes the default of the comment. */
struct admission_limits {
    int queue_max; /* requests waiting in all; 4096 */
    int capacity;  /* slots of the service; 1 until reported */
    int64_t
        priority_lead_ms; /* precedence, in time of the whole service; 2000 */
    int64_t aging_ms;     /* wait of a low priority before its turn; 2000 */
    int64_t default_cost_ms;  /* cost of a class never seen, no hint; 200 */
    int64_t retry_min_ms;     /* least time to come back; 50 */
    int64_t retry_max_ms;     /* most; 30000 */
    int64_t drain_assumed_ms; /* backlog until its drain is known; 1000 */
};

/* One request as offered. */
struct admission_facts {
    struct id id;
    const char *organisation;
    const char *caller; /* or NULL: one caller for the organisation */
    const char *key;    /* or NULL: one key for the caller */
    const char *class_name;
    enum priority priority;
    int64_t cost_hint_ms; /* declared service time, or 0 */
    int64_t deadline_at;  /* or 0: none */
    bool repeatable;      /* doesn't decide here: see retries */
};

enum admission_verdict {
    ADMISSION_QUEUE, /* take it with Admission_Next when a slot is free */
    ADMISSION_REFUSE
};

enum admission_reason {
    ADMIT_SLOT_FREE,       /* queued: nothing is ahead of it */
    ADMIT_WAIT_FITS,       /* queued: predicted wait fits the deadline */
    REFUSE_WAIT_TOO_LONG,  /* the service's backlog is too long */
    REFUSE_ORG_SHARE,      /* its organisation's own backlog is too long */
    REFUSE_CALLER_SHARE,   /* its caller's own backlog is too long */
    REFUSE_KEY_SHARE,      /* its key's own backlog is too long */
    REFUSE_QUEUE_FULL,     /* no place in the queue */
    REFUSE_ORG_QUEUE,      /* the organisation's places are taken */
    REFUSE_CALLER_QUEUE,   /* the caller's places are taken */
    REFUSE_DEADLINE_SHORT, /* could not be met with nothing ahead */
    REFUSE_EXPIRED,        /* was queued; can't meet its deadline any more */
    REFUSE_NO_CAPACITY,    /* the service has no slot at all */
    REFUSE_DUPLICATE,      /* this id is queued or running already */
    ADMISSION_REASON_COUNT
};

const char *Admission_ReasonName(enum admission_reason reason);

/* All that Admission_Judge looks at. Work is in ms of one slot's time. */
struct admission_inputs {
    int64_t now;
    int64_t deadline_at;     /* or 0 */
    int64_t cost_ms;         /* expected service time: its work */
    int64_t cost_high_ms;    /* mean plus deviation: what the deadline needs */
    int64_t ahead_ms;        /* work queued before it, whoever's */
    int64_t org_ahead_ms;    /* of that, its organisation's */
    int64_t caller_ahead_ms; /* of that, its caller's */
    int64_t key_ahead_ms;    /* of that, its key's */
    int64_t next_free_ms;    /* expected until the next slot is free */
    int64_t drain_milli;     /* slots that a backlog gets, in thousandths */
    int64_t org_share_milli; /* organisation's part of the drain */
    int64_t caller_share_milli; /* caller's part of its organisation's */
    int64_t key_share_milli;    /* key's part of its caller's */
    int64_t stretch_milli; /* waits against predictions of late; 1000: equal */
    int64_t comeback_ms;   /* how far refused ones are booked already */
    int64_t retry_min_ms;
    int64_t retry_max_ms;
    uint64_t rnd;
    int running; /* requests in slots */
    int capacity;
    int queued;
    int queue_max;
    int org_queued;
    int caller_queued;
    bool duplicate; /* its id is queued or running */
    bool expired;   /* it was queued and can't meet its deadline any more */
};

struct admission_decision {
    enum admission_verdict verdict;
    enum admission_reason reason;
    int64_t wait_ms;        /* predicted wait for a slot */
    int64_t excess_ms;      /* until the backlog will have drained enough */
    int64_t retry_after_ms; /* when refused; 0 otherwise */
    struct admission_inputs inputs;
};

/* The verdict for these inputs, and for nothing else. */
struct admission_decision
Admission_Judge(const struct admission_inputs *inputs);

/* Never NULL; limits may be NULL. */
struct admission *Admission_New(const struct admission_limits *limits);
void Admission_Free(struct admission *a);
/* For CLEANUP. */
void Admission_FreeP(struct admission **a);

/* Slots that upstreams in use offer for this service to this entry. */
void Admission_SetCapacity(struct admission *a, int slots);
/* Requests that may wait in all, from now on; at least 1. */
void Admission_SetQueueMax(struct admission *a, int queue_max);
/* Share of an organisation; 100 for one never set, values below 1 count
 * as 1. */
void Admission_SetWeight(struct admission *a, const char *organisation,
                         int weight);

/* Judges a request, and queues it unless refused. */
struct admission_decision Admission_Offer(struct admission *a,
                                          const struct admission_facts *facts,
                                          int64_t now, uint64_t rnd);

enum admission_turn {
    TURN_PRIORITY, /* highest priority, least served organisation in it */
    TURN_SHARE,    /* the others wait on their share: precedence is used */
    TURN_AGED      /* a low priority that has waited long enough */
};

/* One request taken out of the queue. */
struct admission_next {
    struct id id;
    enum admission_turn turn;
    int64_t waited_ms;
    int64_t cost_ms; /* expected service time, for Route_Pick */
};

/* Takes the next request to dispatch, to be called while a slot is free. It
 * counts as running until Admission_Finished. ERR_OK or ERR_NOTFOUND. */
int Admission_Next(struct admission *a, int64_t now,
                   struct admission_next *out);
/* Puts a request taken by Next back at the head of its queue (no upstream
 * took it). ERR_OK or ERR_NOTFOUND. */
int Admission_Return(struct admission *a, const struct id *id, int64_t now);
/* Takes a queued request that can't meet its deadline any more: call until
 * ERR_NOTFOUND, after Next and on a timer of 10 to 50 ms. The decision is
 * the refusal to send at once. */
int Admission_Expire(struct admission *a, int64_t now, uint64_t rnd,
                     struct id *id, struct admission_decision *out);
/* Earliest time at which Expire would find one, or -1. */
int64_t Admission_ExpiresAt(const struct admission *a);
/* Drops a queued request in O(log n). ERR_OK; ERR_NOTFOUND when it isn't
 * queued (it may be running: its slot is freed by Finished). */
int Admission_Cancel(struct admission *a, const struct id *id);
/* A request has left its slot, and is charged for the time since Next.
 * service_ms teaches its class if ok: the same time, attempts that met no
 * free slot included, as that is what the next ones wait for. ERR_OK or
 * ERR_NOTFOUND. */
int Admission_Finished(struct admission *a, const struct id *id,
                       int64_t service_ms, bool ok, int64_t now);

/* For the state dump and metrics. */
struct admission_stats {
    int queued;
    int running;
    int capacity;
    int flows;           /* callers and keys that are remembered */
    int64_t queued_ms;   /* work waiting */
    int64_t drain_milli; /* slots that a backlog gets, in thousandths */
};

void Admission_Stats(const struct admission *a, struct admission_stats *out);

/* ---- health ------------------------------------------------------------
 *
 * Pattern: a worker fails everything it starts, often faster than good ones
 * answer; or a fault that hits many workers at once.
 * Without it: the fast failing worker always looks free and draws most of
 * the traffic (a black hole); or, with ejection but no cap, a fault of the
 * requests themselves ejects every worker and nobody is served.
 *
 * Answer: ejected after fails_in_row failures, or when error_percent of at
 * least window results failed; then one probe at a time (half-open), with
 * the time out of use doubled at each failed probe. Never more than
 * cap_percent of the workers, at least one, are out of use at once.
 *
 * Grounds: five in a row comes by chance once in 3 million requests at a 5%
 * error rate; three in a row does once in 8 thousand. 30% of 11 workers is
 * one rack of three.
 */

struct health_limits {
    int consecutive_failures; /* 5 */
    int window;               /* results of a rate; 20 */
    int error_percent;        /* of a window; 50 */
    int max_out_percent;      /* of workers out of use at once; 30 */
    int64_t eject_ms;         /* first time out of use; 2000 */
    int64_t eject_max_ms;     /* longest; 120000 */
};

enum health_state { HEALTH_GOOD, HEALTH_EJECTED, HEALTH_PROBING };

enum health_reason {
    HEALTH_UNCHANGED,         /* nothing changes */
    HEALTH_EJECT_CONSECUTIVE, /* failures in a row */
    HEALTH_EJECT_RATE,        /* error rate */
    HEALTH_CAPPED,            /* would be ejected, but too many are */
    HEALTH_PROBE_FAILED,      /* out again, for twice as long */
    HEALTH_PROBE_PASSED,      /* back in use */
    HEALTH_REASON_COUNT
};

const char *Health_ReasonName(enum health_reason reason);

/* The record of one worker; all zero is a new one. */
struct health {
    enum health_state state;
    int consecutive_failures; /* in a row */
    int window_results;       /* of the present window */
    int window_failures;      /* of the present window */
    int ejections;            /* since it was last good: the back-off */
    int64_t ejected_at;       /* while ejected or probing */
    int64_t ejected_for_ms;   /* ms */
};

struct health_inputs {
    struct health before;
    struct health_limits limits; /* zeros are defaults */
    bool ok;
    int out_of_use; /* workers out of use now, this one not counted */
    int total;      /* workers known */
    int64_t now;
};

struct health_decision {
    enum health_reason reason;
    struct health after;
};

/* What one result does to a worker's record. */
struct health_decision Health_Judge(const struct health_inputs *inputs);
/* True when an ejected worker has served its time and may be probed. */
bool Health_MayProbe(const struct health *h, int64_t now);

/* ---- routing -----------------------------------------------------------
 *
 * Pattern: several entries share upstreams and learn each other's load late;
 * one upstream is slow, ill, leaving, or fails at once; upstreams stand in
 * failure domains 0.5 to 1.5 ms apart.
 * Without it: entries that all pick the least loaded by the same old report
 * meet there (herding); a slow upstream holds its share of all requests; a
 * failing one, always free, draws traffic; half the requests cross domains
 * for no gain.
 *
 * Answer: three random candidates of the entry's own domain and three of the
 * others; the least expected time wins, that is expected service time, times
 * slowness (average of latency over expected latency, against the median of
 * all; errors count as slow; within a factor of 1.5 it is taken for chance),
 * times (slots + load) / slots, plus the hop there and back for another
 * domain. Load is the entry's own outstanding
 * requests plus the others' by the last report, which fades towards the mean
 * of all as it ages.
 *
 * Grounds: a few random choices bring most of the gain of looking at all and
 * cost the same however many upstreams there are; two, three and four, the
 * factor and the half-life were measured, see docs/design/load.md.
 */

#define ROUTE_NONE (-1)
#define ROUTE_CANDIDATES 6

struct route;

struct route_limits {
    int64_t hop_us;              /* one way between domains; 1500 */
    int64_t report_half_life_ms; /* a report counts half after this; 3000 */
    int64_t
        slowness_half_life_ms; /* slowness halves without samples in; 10000 */
    int64_t
        probe_unrepeatable_ms; /* wait for a repeatable probe request; 5000 */
    struct health_limits health;
};

/* An upstream as it announced itself. */
struct route_facts {
    const char *name;
    const char *domain;
    int slots;
    int connections; /* most at once, from all entries together */
};

/* Load by the upstream's own count. */
struct route_report {
    int busy;        /* requests it holds, from all entries */
    int own;         /* of those, from this entry */
    int connections; /* open, from all entries */
    int64_t age_ms;  /* of the report when it came */
};

/* One request to be placed. */
struct route_request {
    const char *domain;  /* this entry's own, or NULL */
    int64_t expected_ms; /* service time, as admission expects it */
    bool repeatable;
    const int *avoid; /* handles tried already */
    int avoid_count;
};

enum route_reason {
    ROUTE_OWN_DOMAIN,   /* least expected time, in the own domain */
    ROUTE_OTHER_DOMAIN, /* own domain is busier by more than the hop */
    ROUTE_PROBE,        /* tries one that was ejected */
    ROUTE_NONE_KNOWN,   /* no upstream has announced itself */
    ROUTE_NONE_TAKES,   /* all are leaving or out of use */
    ROUTE_NONE_FREE,    /* no slot or connection is free */
    ROUTE_NONE_UNTRIED, /* all that are free were tried already */
    ROUTE_REASON_COUNT
};

const char *Route_ReasonName(enum route_reason reason);

struct route_candidate {
    int handle; /* ROUTE_NONE: no candidate in this place */
    bool remote;
    int slots;
    int64_t load_milli;     /* thousandths of a request */
    int64_t slowness_milli; /* 1000: as the median */
};

struct route_inputs {
    int64_t expected_ms;
    int64_t hop_us;
    struct route_candidate candidates[ROUTE_CANDIDATES];
};

struct route_decision {
    int handle; /* or ROUTE_NONE */
    enum route_reason reason;
    int64_t expected_us; /* by which it won */
    bool judged;         /* inputs were judged; else reason says all */
    struct route_inputs inputs;
};

/* The candidate of least expected time; ROUTE_NONE_FREE without any. */
struct route_decision Route_Judge(const struct route_inputs *inputs);

struct route *Route_New(const struct route_limits *limits);
void Route_Free(struct route *r);
/* For CLEANUP. */
void Route_FreeP(struct route **r);

/* Adds an upstream or changes its facts (it takes work again if it was
 * leaving). Returns its handle, the same for the same name for good, or
 * ERR_INVALID. */
int Route_Upsert(struct route *r, const struct route_facts *facts);
/* It is gone: no new work. What is outstanding is still settled. */
void Route_Remove(struct route *r, int handle);
/* It is leaving: no new work. */
void Route_Leaving(struct route *r, int handle);
/* Returns the handle, or ROUTE_NONE. */
int Route_Find(const struct route *r, const char *name);
/* Its name, good until Route_Free; NULL when there is no such handle. */
const char *Route_Name(const struct route *r, int handle);
void Route_Report(struct route *r, int handle,
                  const struct route_report *report, int64_t now);

struct route_decision Route_Pick(struct route *r,
                                 const struct route_request *request,
                                 int64_t now, uint64_t rnd);
/* A request was sent to it: counts as outstanding until settled. */
void Route_Sent(struct route *r, int handle, int64_t now);

enum route_outcome {
    ROUTE_OK,       /* answered */
    ROUTE_FAILED,   /* failed by the upstream's fault, or cut */
    ROUTE_REFUSED,  /* not run: had no slot free */
    ROUTE_WITHDRAWN /* not run or given up by the caller: says nothing */
};

/* A sent request is over. latency_ms from sent to settled; expected_ms as
 * given to Pick. Returns what it did to the upstream's health. */
enum health_reason Route_Settled(struct route *r, int handle,
                                 enum route_outcome outcome,
                                 int64_t latency_ms, int64_t expected_ms,
                                 int64_t now);

/* Sum of the slots of upstreams that take work, for Admission_SetCapacity. */
int Route_Slots(const struct route *r);

/* One upstream, for the state dump. */
struct route_view {
    const char *name;
    const char *domain;
    int slots;
    int outstanding; /* own */
    int64_t load_milli;
    int64_t slowness_milli;
    bool known; /* announced and not removed */
    bool leaving;
    enum health_state health;
};

int Route_Count(const struct route *r); /* handles are 0..count-1 */
void Route_View(const struct route *r, int handle, int64_t now,
                struct route_view *out);

/* ---- retries and hedges ------------------------------------------------
 *
 * Pattern: an upstream or a whole domain fails for some seconds, and every
 * failed request is sent again.
 * Without it: load is multiplied by the number of attempts just when least
 * of it can be served, and the outage outlives its cause (retry storm).
 *
 * Answer: every success earns share_percent of a token, floor_per_s tokens a
 * second come for nothing, and each retry or hedge costs one. A request that
 * must not be repeated is sent again only while it is known not to have
 * started. An upstream's refusal (not run) costs no token, since no work was
 * done, and is bounded by attempts alone. A hedge is sent when the answer is
 * later than 95% of answers were.
 *
 * Grounds: 20% bounds the load that retries add to a fifth; 95% makes
 * hedging cost at most a twentieth, but it gained nothing where measured and
 * is off by default. Figures in docs/results/load.md. One object for requests
 * of one class: lateness is relative to answers of the same kind.
 */

struct retry;

struct retry_limits {
    int share_percent; /* of successes; 20 */
    int floor_per_s;   /* 1 */
    int burst;         /* most tokens saved; 100 */
    int attempts_max;  /* of one request, the first counted; 3 */
    bool hedge;        /* hedging is on; off by default */
};

enum retry_cause {
    RETRY_REFUSED, /* the upstream says that it did not run */
    RETRY_FAILED,  /* failed, or no word and withdrawn */
    RETRY_HEDGE    /* no answer yet */
};

enum retry_reason {
    RETRY_ALLOWED,
    RETRY_REROUTED,        /* allowed without a token: nothing ran */
    RETRY_NOT_REPEATABLE,  /* must not be repeated and may have started */
    RETRY_ATTEMPTS,        /* tried often enough */
    RETRY_BUDGET,          /* no token left */
    RETRY_DEADLINE,        /* would come too late */
    RETRY_HEDGE_TOO_EARLY, /* hedge: later than 95% of answers, not yet */
    RETRY_HEDGING_OFF,     /* hedging is off, or too little has been seen */
    RETRY_REASON_COUNT
};

const char *Retry_ReasonName(enum retry_reason reason);

struct retry_facts {
    enum retry_cause cause;
    bool repeatable;
    bool started; /* may have started: unless known not to have */
    int attempts; /* made so far */
    int64_t sent_at;
    int64_t deadline_at; /* or 0 */
    int64_t expected_ms;
};

struct retry_inputs {
    struct retry_facts facts;
    int64_t now;
    int64_t tokens_milli;
    int64_t p95_ms; /* -1: not known */
    int attempts_max;
    bool hedge;
};

struct retry_decision {
    bool allowed;
    enum retry_reason reason;
    bool token; /* it costs one */
    struct retry_inputs inputs;
};

struct retry_decision Retry_Judge(const struct retry_inputs *inputs);

struct retry *Retry_New(const struct retry_limits *limits);
void Retry_Free(struct retry *r);
void Retry_SetHedge(struct retry *r, bool hedge);
/* An answer came, this long after it was sent. */
void Retry_Success(struct retry *r, int64_t latency_ms, int64_t now);
/* Decides, and takes the token. */
struct retry_decision
Retry_Request(struct retry *r, const struct retry_facts *facts, int64_t now);
/* Time after sending at which a hedge is worth asking for, or -1. */
int64_t Retry_HedgeAfterMs(const struct retry *r);

/* ---- order of long jobs ------------------------------------------------
 *
 * Pattern: jobs of minutes among jobs of hours, declared run times that are
 * far off, jobs that fail wherever they start.
 * Without it: short jobs wait for hours behind long ones (first come first
 * served), long ones starve (shortest first), a class that declares too
 * little is always first, and a job that can't run takes accelerators again
 * and again.
 *
 * Answer: urgent jobs first; then by expected remaining ms minus
 * aging_percent of the time waited, a batch job's counting as batch_after_ms
 * more. That is a fixed key while a job waits: no re-sorting.
 * The expectation is, per class, whichever predictor has erred least so far:
 * the declared time, the declared time scaled by what was seen against it,
 * or the class's typical time. A failed job waits twice as long each time;
 * after fails_max failures on as many different workers it can't run.
 *
 * Grounds: docs/results/load.md. Placement is not decided here.
 */

struct order;

struct order_limits {
    int aging_percent;        /* of the time waited; 25 */
    int64_t batch_penalty_ms; /* batch counts as this much longer; 14400000 */
    int64_t default_run_ms;   /* nothing declared or seen; 3600000 */
    int64_t backoff_ms;       /* first; 5000 */
    int64_t backoff_max_ms;   /* 600000 */
    int fails_max;            /* 3 */
};

struct order_facts {
    struct id id;
    const char *class_name;
    enum priority priority;
    int64_t declared_ms;  /* or 0 */
    int64_t done_ms;      /* run before, and kept by a checkpoint */
    int64_t submitted_at; /* aging counts from here */
};

enum order_predictor {
    ORDER_DECLARED, /* as declared */
    ORDER_SCALED,   /* declared, scaled by the class's record */
    ORDER_TYPICAL,  /* the class's typical time */
    ORDER_DEFAULT,  /* nothing declared or seen */
    ORDER_PREDICTOR_COUNT
};

struct order_job {
    struct id id;
    enum priority priority;
    enum order_predictor predictor;
    int64_t remaining_ms; /* expected */
    int64_t key;          /* least first; urgent jobs before all others */
    int64_t not_before;   /* back-off; 0: none */
};

struct order *Order_New(const struct order_limits *limits);
void Order_Free(struct order *o);
/* For CLEANUP. */
void Order_FreeP(struct order **o);
/* Queues a job. ERR_OK or ERR_EXISTS. */
int Order_Add(struct order *o, const struct order_facts *facts);
/* Takes a job out: started, cancelled. ERR_OK or ERR_NOTFOUND. Failures
 * stay remembered until Order_Done. */
int Order_Remove(struct order *o, const struct id *id);
/* The first job that may be tried now, or the one after the job `after`.
 * ERR_OK or ERR_NOTFOUND. */
int Order_Next(const struct order *o, const struct id *after, int64_t now,
               struct order_job *out);
/* Earliest end of a back-off after now, or -1. */
int64_t Order_ReadyAt(const struct order *o, int64_t now);
/* A job ran to its end: teaches its class. Total run time, without stops.
 * declared_ms as in its facts. Forgets its failures. */
void Order_Done(struct order *o, const struct id *id, const char *class_name,
                int64_t declared_ms, int64_t ran_ms);
/* A job ended otherwise: forgets its failures. */
void Order_Forget(struct order *o, const struct id *id);

enum order_failure_kind {
    ORDER_JOB_FAILED,     /* the job ended with an error */
    ORDER_WORKER_SUSPECT, /* so do others on that worker */
    ORDER_WORKER_LOST     /* the worker or its link is gone */
};

enum order_reason {
    ORDER_RETRY,           /* try again after the back-off */
    ORDER_WORKER_AT_FAULT, /* not counted: the worker's fault */
    ORDER_CANNOT_RUN,      /* failed on several workers */
    ORDER_REASON_COUNT
};

const char *Order_ReasonName(enum order_reason reason);

struct order_failure_inputs {
    enum order_failure_kind kind;
    int fails;   /* counted ones, this one included */
    int workers; /* different ones among them */
    int usable;  /* workers that it could be tried on */
    int fails_max;
    int64_t backoff_ms;
    int64_t backoff_max_ms;
    int64_t now;
    uint64_t rnd;
};

struct order_failure {
    bool cannot_run;
    enum order_reason reason;
    int64_t not_before; /* when it may be tried again */
    struct order_failure_inputs inputs;
};

struct order_failure
Order_JudgeFailure(const struct order_failure_inputs *inputs);
/* A start of this job failed. usable: workers that it could be tried on at
 * all. The back-off holds for the job when it is added again. */
struct order_failure Order_Failed(struct order *o, const struct id *id,
                                  const char *worker, int usable,
                                  enum order_failure_kind kind, int64_t now,
                                  uint64_t rnd);

#ifdef __cplusplus
}
#endif

#endif
