/*
 * policy: scheduling decisions under load.
 *
 * Admission decides which requests run, wait or are refused; Route picks
 * the upstream for a request; Health takes failing workers out of use for a
 * time; Retry decides whether a failed request is sent again or a late one is
 * hedged; Order sorts long jobs for starting.
 *
 * Nothing here reads a clock, a socket or a file, logs, or keeps global
 * state. Time (int64_t, milliseconds of a monotonic clock), randomness
 * (uint64_t) and observations are arguments. The result is a decision with
 * its typed reason and the inputs that it was computed from. Each module has
 * a pure function from inputs to decision (Admission_Judge, Route_Judge,
 * Retry_Judge, Health_Judge, Order_JudgeFailure), which the stateful
 * functions call, so a recorded decision can be replayed from its inputs.
 * A struct *_facts holds what the caller knows of a request, an upstream or
 * a job.
 *
 * Objects belong to one task and are not locked. Strings are copied or
 * hashed; no pointer to one is kept.
 */
#ifndef POLICY_H
#define POLICY_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- admission ---------------------------------------------------------
 *
 * Admission limits a service's queue during a burst or a lasting overload,
 * which often comes from one organisation, caller or key, with requests of
 * very different cost and refused callers that retry. With an unbounded first
 * come first served queue, every answer becomes too late to be of use, the
 * caller that sends most is served most, and refused callers retry together.
 *
 * A request that finds no free slot is queued only if its predicted wait and
 * service time fit its deadline. As later arrivals may overtake it, the
 * prediction is scaled by the recent ratio of actual to predicted waits.
 * Otherwise the request is refused at once, with a retry time by which the
 * excess backlog will have drained, plus jitter. Queued requests are served by
 * start-time fair queueing over organisations (weighted), their callers and
 * the callers' keys. Each is charged its work: the expected service ms at
 * dispatch, corrected to the actual time when it finishes. Urgent goes before
 * normal before batch, but an organisation has this precedence only while it
 * is at most priority_lead_ms times capacity of work ahead of the others.
 * Every eighth dispatch goes to a request of a lower priority that has waited
 * for aging_ms.
 *
 * The learning gains 1/8 and 1/4 are those of RFC 6298; docs/results/load.md
 * has the figures behind the other constants.
 */

#define ADMISSION_WEIGHT 100 /* weight of an organisation by default */

struct admission;

/* Limits of a queue. 0 in a field means the default in its comment. */
struct admission_limits {
    int queue_max; /* requests waiting, in total; 4096 */
    int capacity;  /* slots of the service; 1 until SetCapacity */
    /* Work by which precedence may put an organisation ahead of the others, in
     * time of the whole service; 2000. */
    int64_t priority_lead_ms;
    int64_t aging_ms; /* wait after which a lower priority is due; 2000 */
    int64_t default_cost_ms; /* of a class not learned, without a hint; 200 */
    int64_t retry_min_ms;    /* lower bound of retry_after_ms; 50 */
    int64_t retry_max_ms;    /* upper bound, without jitter; 30000 */
    /* Backlogged time for which all slots are assumed to serve this queue;
     * 1000. */
    int64_t drain_assumed_ms;
};

/* A request as its caller describes it. */
struct admission_facts {
    struct id id;
    const char *organisation;
    const char *caller; /* or NULL: the organisation has one caller */
    const char *key;    /* or NULL: the caller has one key */
    const char *class_name;
    enum priority priority;
    int64_t cost_hint_ms; /* declared service time, or 0 */
    int64_t deadline_at;  /* or 0: none */
    bool repeatable;      /* not used by admission, only by retries */
};

enum admission_verdict {
    ADMISSION_QUEUE, /* waits until Admission_Next dispatches it */
    ADMISSION_REFUSE
};

enum admission_reason {
    ADMIT_SLOT_FREE,       /* queued: a slot is free and nobody waits */
    ADMIT_WAIT_FITS,       /* queued: predicted wait fits the deadline */
    REFUSE_WAIT_TOO_LONG,  /* the service's backlog is too long */
    REFUSE_ORG_SHARE,      /* the organisation's own backlog is too long */
    REFUSE_CALLER_SHARE,   /* the caller's own backlog is too long */
    REFUSE_KEY_SHARE,      /* the key's own backlog is too long */
    REFUSE_QUEUE_FULL,     /* queue_max requests are waiting */
    REFUSE_ORG_QUEUE,      /* the organisation holds its part of the queue */
    REFUSE_CALLER_QUEUE,   /* the caller holds its part of the queue */
    REFUSE_DEADLINE_SHORT, /* deadline passed, or sooner than its cost */
    REFUSE_EXPIRED,        /* was queued; its deadline can't be met any more */
    REFUSE_NO_CAPACITY,    /* the service has no slots */
    REFUSE_DUPLICATE,      /* a request of this id is queued or running */
    ADMISSION_REASON_COUNT
};

const char *Admission_ReasonName(enum admission_reason reason);

/* All inputs of Admission_Judge. Work is in ms of one slot's time. */
struct admission_inputs {
    int64_t now;
    int64_t deadline_at;     /* or 0: none */
    int64_t cost_ms;         /* expected service time, its work */
    int64_t cost_high_ms;    /* mean plus deviation, for the deadline check */
    int64_t ahead_ms;        /* work queued before it, of all organisations */
    int64_t org_ahead_ms;    /* part of ahead_ms of its organisation */
    int64_t caller_ahead_ms; /* part of org_ahead_ms of its caller */
    int64_t key_ahead_ms;    /* part of caller_ahead_ms of its key */
    int64_t next_free_ms;    /* expected time until the next slot is free */
    int64_t drain_milli;     /* slots that serve the backlog, in thousandths */
    int64_t org_share_milli; /* the organisation's share of the drain */
    int64_t caller_share_milli; /* the caller's share of its organisation's */
    int64_t key_share_milli;    /* the key's share of its caller's */
    int64_t stretch_milli; /* recent waits over predicted ones; 1000: equal */
    int64_t comeback_ms;   /* time until which retries are already reserved */
    int64_t retry_min_ms;
    int64_t retry_max_ms;
    uint64_t rnd;
    int running; /* requests that hold slots */
    int capacity;
    int queued;
    int queue_max;
    int org_queued;
    int caller_queued;
    bool duplicate; /* its id is queued or running */
    bool expired;   /* it was queued; its deadline can't be met any more */
};

struct admission_decision {
    enum admission_verdict verdict;
    enum admission_reason reason;
    int64_t wait_ms;        /* predicted wait for a slot */
    int64_t excess_ms;      /* until enough of the backlog will have drained */
    int64_t retry_after_ms; /* of a refusal; 0 otherwise */
    struct admission_inputs inputs;
};

/* Computes the decision from these inputs alone. */
struct admission_decision
Admission_Judge(const struct admission_inputs *inputs);

/* Never returns NULL. limits may be NULL for all defaults. */
struct admission *Admission_New(const struct admission_limits *limits);
void Admission_Free(struct admission *a);
/* For CLEANUP. */
void Admission_FreeP(struct admission **a);

/* Sets the number of slots that the upstreams in use offer to this entry for
 * this service. */
void Admission_SetCapacity(struct admission *a, int slots);
/* Sets how many requests may wait in total, at least 1. Queued ones stay. */
void Admission_SetQueueMax(struct admission *a, int queue_max);
/* Sets an organisation's share. It is 100 if never set; values below 1 count
 * as 1. */
void Admission_SetWeight(struct admission *a, const char *organisation,
                         int weight);

/* Decides on a request, and queues it unless it is refused. */
struct admission_decision Admission_Offer(struct admission *a,
                                          const struct admission_facts *facts,
                                          int64_t now, uint64_t rnd);

enum admission_turn {
    TURN_PRIORITY, /* highest priority, least served organisation in it */
    TURN_SHARE,    /* a higher priority was too far ahead of its share */
    TURN_AGED      /* a lower priority that has waited for aging_ms */
};

/* A request taken out of the queue. */
struct admission_next {
    struct id id;
    enum admission_turn turn;
    int64_t waited_ms;
    int64_t cost_ms; /* expected service time, for Route_Pick */
};

/* Takes the next request to dispatch; call it while a slot is free. The
 * request counts as running until Admission_Finished. ERR_OK or
 * ERR_NOTFOUND. */
int Admission_Next(struct admission *a, int64_t now,
                   struct admission_next *out);
/* Puts a request from Admission_Next back at the head of its queue when no
 * upstream accepted it. ERR_OK or ERR_NOTFOUND. */
int Admission_Return(struct admission *a, const struct id *id, int64_t now);
/* Takes a queued request whose deadline can't be met any more; the caller
 * sends the decision as its refusal. Call until ERR_NOTFOUND, after
 * Admission_Next and on a timer of 10 to 50 ms. */
int Admission_Expire(struct admission *a, int64_t now, uint64_t rnd,
                     struct id *id, struct admission_decision *out);
/* Earliest time at which Admission_Expire would find a request, or -1. */
int64_t Admission_ExpiresAt(const struct admission *a);
/* Drops a queued request in O(log n). ERR_OK, or ERR_NOTFOUND when it isn't
 * queued. A running one holds its slot until Admission_Finished. */
int Admission_Cancel(struct admission *a, const struct id *id);
/* Frees the slot of a running request, which is charged for the time since
 * Admission_Next. If ok, the estimate of its class is updated with service_ms,
 * which is this same time and includes attempts that found no free slot, as
 * later requests wait for them too. ERR_OK or ERR_NOTFOUND. */
int Admission_Finished(struct admission *a, const struct id *id,
                       int64_t service_ms, bool ok, int64_t now);

/* For the state dump and metrics. */
struct admission_stats {
    int queued;
    int running;
    int capacity;
    int flows;           /* organisations, callers and keys in memory */
    int64_t queued_ms;   /* work waiting */
    int64_t drain_milli; /* slots that serve the backlog, in thousandths */
};

void Admission_Stats(const struct admission *a, struct admission_stats *out);

/* ---- health ------------------------------------------------------------
 *
 * Health ejects workers that fail everything they start, often faster than
 * good ones answer. A worker that fails fast always looks free and would draw
 * most of the traffic (a black hole). But a fault may hit many workers at
 * once: if it is in the requests themselves, ejection without a cap would take
 * every worker out of use, and no request would be served.
 *
 * A worker is ejected after consecutive_failures failures, or when
 * error_percent of a window of results failed. It is then probed with one
 * request at a time (half-open), and each failed probe doubles its time out
 * of use. At most max_out_percent of the workers, rounded down but at least
 * one, are out of use at once; an only worker is never ejected.
 *
 * At an error rate of 5%, five failures in a row come by chance once in 3
 * million requests; three would come once in 8 thousand. 30% of 11 workers is
 * one rack of three.
 */

struct health_limits {
    int consecutive_failures; /* that eject a worker; 5 */
    int window;           /* results that an error rate is taken over; 20 */
    int error_percent;    /* failures of a window that eject; 50 */
    int max_out_percent;  /* workers ejected or probed at once; 30 */
    int64_t eject_ms;     /* first time out of use; 2000 */
    int64_t eject_max_ms; /* longest time out of use; 120000 */
};

enum health_state { HEALTH_GOOD, HEALTH_EJECTED, HEALTH_PROBING };

enum health_reason {
    HEALTH_UNCHANGED,         /* the result doesn't change the state */
    HEALTH_EJECT_CONSECUTIVE, /* too many failures in a row */
    HEALTH_EJECT_RATE,        /* error rate of a window too high */
    HEALTH_CAPPED,            /* not ejected: the cap is reached */
    HEALTH_PROBE_FAILED,      /* ejected again, for twice as long */
    HEALTH_PROBE_PASSED,      /* back in use */
    HEALTH_REASON_COUNT
};

const char *Health_ReasonName(enum health_reason reason);

/* The record of one worker. All zero is that of a new one. */
struct health {
    enum health_state state;
    int consecutive_failures; /* up to the last result */
    int window_results;       /* in the present window */
    int window_failures;      /* in the present window */
    int ejections;      /* since its last good window, for the back-off */
    int64_t ejected_at; /* while ejected or probing */
    int64_t ejected_for_ms;
};

struct health_inputs {
    struct health before;
    struct health_limits limits; /* 0 in a field means the default */
    bool ok;
    int out_of_use; /* workers ejected or probed, this one excluded */
    int total;      /* known workers */
    int64_t now;
};

struct health_decision {
    enum health_reason reason;
    struct health after;
};

/* Computes a worker's record after one more result. */
struct health_decision Health_Judge(const struct health_inputs *inputs);
/* True when the time out of use is over and a probe may be sent. */
bool Health_MayProbe(const struct health *h, int64_t now);

/* ---- routing -----------------------------------------------------------
 *
 * Routing picks an upstream when several entries share the upstreams and learn
 * of each other's load late, when an upstream is slow, failing or leaving, and
 * when upstreams are in failure domains 0.5 to 1.5 ms apart. Picking the least
 * loaded by the last report would send all entries to the same upstream
 * (herding), a slow upstream would get its full share of the requests, one
 * that fails at once would always look free and draw traffic, and half of the
 * requests would cross domains for no gain.
 *
 * Three random candidates of the entry's own domain and three of the others
 * are compared, and the least expected time wins. That is the expected service
 * time, times slowness, times (slots + load) / slots, plus the hop there and
 * back for another domain. Slowness is the average of latency over expected
 * latency, relative to the median of all upstreams; errors count as slow, and
 * a factor of up to 1.5 is ignored as chance. Load is the entry's own
 * outstanding requests plus those of other entries by the last report, which
 * fades towards the mean of all upstreams as it ages.
 *
 * A few random choices bring most of the gain of comparing all upstreams, at
 * a cost that doesn't grow with their number. docs/design/load.md has the
 * figures for two, three and four candidates, the factor and the half-life.
 */

#define ROUTE_NONE (-1)
#define ROUTE_CANDIDATES 6

struct route;

struct route_limits {
    int64_t hop_us;                /* one way between domains; 1500 */
    int64_t report_half_life_ms;   /* of a report's weight; 3000 */
    int64_t slowness_half_life_ms; /* of slowness without results; 10000 */
    /* Time that a due probe waits for a repeatable request, before one that
     * must not be repeated is used; 5000. */
    int64_t probe_unrepeatable_ms;
    struct health_limits health;
};

/* An upstream as it announces itself. */
struct route_facts {
    const char *name;
    const char *domain;
    int slots;
    int connections; /* open at most, from all entries together */
};

/* Load as counted by the upstream. */
struct route_report {
    int busy;        /* requests it holds, from all entries */
    int own;         /* part of busy from this entry */
    int connections; /* open, from all entries */
    int64_t age_ms;  /* of the report when it was received */
};

/* A request to pick an upstream for. */
struct route_request {
    const char *domain;  /* the entry's own domain, or NULL */
    int64_t expected_ms; /* service time that admission expects */
    bool repeatable;
    const int *avoid; /* handles that were tried already */
    int avoid_count;
};

enum route_reason {
    ROUTE_OWN_DOMAIN,   /* least expected time, in the own domain */
    ROUTE_OTHER_DOMAIN, /* least expected time, even with the hop */
    ROUTE_PROBE,        /* probes an ejected upstream */
    ROUTE_NONE_KNOWN,   /* no upstream has announced itself */
    ROUTE_NONE_TAKES,   /* all are leaving, ejected or being probed */
    ROUTE_NONE_FREE,    /* no slot or connection is free */
    ROUTE_NONE_UNTRIED, /* all with a free slot were tried already */
    ROUTE_REASON_COUNT
};

const char *Route_ReasonName(enum route_reason reason);

struct route_candidate {
    int handle; /* ROUTE_NONE: this place has no candidate */
    bool remote;
    int slots;
    int64_t load_milli;     /* thousandths of a request */
    int64_t slowness_milli; /* 1000: equal to the median */
};

struct route_inputs {
    int64_t expected_ms;
    int64_t hop_us;
    struct route_candidate candidates[ROUTE_CANDIDATES];
};

struct route_decision {
    int handle; /* or ROUTE_NONE */
    enum route_reason reason;
    int64_t expected_us; /* of the picked candidate */
    bool judged;         /* Route_Judge picked it from inputs */
    struct route_inputs inputs;
};

/* Picks the candidate with the least expected time. The reason is
 * ROUTE_NONE_FREE without candidates. */
struct route_decision Route_Judge(const struct route_inputs *inputs);

struct route *Route_New(const struct route_limits *limits);
void Route_Free(struct route *r);
/* For CLEANUP. */
void Route_FreeP(struct route **r);

/* Adds an upstream or updates its facts; one that was leaving gets work again.
 * Returns its handle, which a name keeps for good, or ERR_INVALID. */
int Route_Upsert(struct route *r, const struct route_facts *facts);
/* Removes an upstream: it gets no new work. Outstanding requests are still
 * settled. */
void Route_Remove(struct route *r, int handle);
/* Marks an upstream as leaving: it gets no new work. */
void Route_Leaving(struct route *r, int handle);
/* Returns the handle, or ROUTE_NONE. */
int Route_Find(const struct route *r, const char *name);
/* The name behind a handle, valid until Route_Free; NULL for an unknown
 * handle. */
const char *Route_Name(const struct route *r, int handle);
void Route_Report(struct route *r, int handle,
                  const struct route_report *report, int64_t now);

struct route_decision Route_Pick(struct route *r,
                                 const struct route_request *request,
                                 int64_t now, uint64_t rnd);
/* Counts a request sent to an upstream as outstanding until it is settled. */
void Route_Sent(struct route *r, int handle, int64_t now);

enum route_outcome {
    ROUTE_OK,       /* answered */
    ROUTE_FAILED,   /* the upstream's fault, or the link was lost */
    ROUTE_REFUSED,  /* not run: no slot was free */
    ROUTE_WITHDRAWN /* not run, or abandoned by the caller; not counted */
};

/* Records the end of a sent request. latency_ms is the time from sending to
 * settling; expected_ms is that given to Route_Pick. Returns the effect on the
 * upstream's health. */
enum health_reason Route_Settled(struct route *r, int handle,
                                 enum route_outcome outcome,
                                 int64_t latency_ms, int64_t expected_ms,
                                 int64_t now);

/* Total slots of the upstreams that accept work, for Admission_SetCapacity. */
int Route_Slots(const struct route *r);

/* An upstream, for the state dump. */
struct route_view {
    const char *name;
    const char *domain;
    int slots;
    int outstanding; /* requests from this entry */
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
 * The retry budget limits retries when an upstream or a whole domain fails for
 * some seconds. If every failed request were sent again, the load would be
 * multiplied by the number of attempts just when capacity is lowest, and the
 * outage would outlast its cause (a retry storm).
 *
 * Each success earns share_percent of a token, floor_per_s tokens a second
 * accrue without successes, and each retry or hedge costs one token. A request
 * that must not be repeated is sent again only if it is known not to have
 * started. An upstream's refusal (not run) costs no token, since no work was
 * done, and only the number of attempts limits it. A hedge is sent when an
 * answer takes longer than 95% of the answers did.
 *
 * 20% limits the load that retries add to a fifth. 95% limits the load that
 * hedging adds to a twentieth; it is off by default, as it brought no gain in
 * docs/results/load.md. Use one object for the requests of one class:
 * an answer is late only relative to others of its kind.
 */

struct retry;

struct retry_limits {
    int share_percent; /* of a token, for each success; 20 */
    int floor_per_s;   /* tokens that accrue without successes; 1 */
    int burst;         /* tokens kept at most; 100 */
    int attempts_max;  /* of one request, including the first; 3 */
    bool hedge;        /* send hedges; off by default */
};

enum retry_cause {
    RETRY_REFUSED, /* the upstream refused it without running it */
    RETRY_FAILED,  /* it failed, or was withdrawn without an answer */
    RETRY_HEDGE    /* no answer yet */
};

enum retry_reason {
    RETRY_ALLOWED,
    RETRY_REROUTED,        /* allowed without a token: nothing ran */
    RETRY_NOT_REPEATABLE,  /* must not be repeated and may have started */
    RETRY_ATTEMPTS,        /* attempts_max is reached */
    RETRY_BUDGET,          /* no token left */
    RETRY_DEADLINE,        /* would not end before the deadline */
    RETRY_HEDGE_TOO_EARLY, /* hedge: less time than p95_ms has passed */
    RETRY_HEDGING_OFF,     /* hedge: off, or too few answers to know p95_ms */
    RETRY_REASON_COUNT
};

const char *Retry_ReasonName(enum retry_reason reason);

struct retry_facts {
    enum retry_cause cause;
    bool repeatable;
    bool started; /* may have started; false only if known not to have */
    int attempts; /* made so far */
    int64_t sent_at;
    int64_t deadline_at; /* or 0: none */
    int64_t expected_ms;
};

struct retry_inputs {
    struct retry_facts facts;
    int64_t now;
    int64_t tokens_milli;
    int64_t p95_ms; /* 95th percentile of latency; -1: unknown or unused */
    int attempts_max;
    bool hedge;
};

struct retry_decision {
    bool allowed;
    enum retry_reason reason;
    bool token; /* the attempt costs a token */
    struct retry_inputs inputs;
};

struct retry_decision Retry_Judge(const struct retry_inputs *inputs);

struct retry *Retry_New(const struct retry_limits *limits);
void Retry_Free(struct retry *r);
void Retry_SetHedge(struct retry *r, bool hedge);
/* Records an answer that came latency_ms after its request was sent. */
void Retry_Success(struct retry *r, int64_t latency_ms, int64_t now);
/* Decides on one more attempt, and takes a token if it costs one. */
struct retry_decision
Retry_Request(struct retry *r, const struct retry_facts *facts, int64_t now);
/* Time after sending at which a hedge may be requested, or -1 for never. */
int64_t Retry_HedgeAfterMs(const struct retry *r);

/* ---- order of long jobs ------------------------------------------------
 *
 * Order decides which waiting job is tried first. Jobs of minutes queue among
 * jobs of hours, declared run times are far off, and some jobs fail wherever
 * they start. First come first served would make short jobs wait for hours
 * behind long ones, and shortest first would starve the long ones. A class
 * that declares too little would always be first, and a job that can't run
 * would occupy accelerators again and again.
 *
 * Urgent jobs come first, then the others by expected remaining ms minus
 * aging_percent of the time waited; a batch job counts as batch_penalty_ms
 * longer. As all jobs age alike, this key is constant while a job waits, and
 * the queue needs no re-sorting. The expected time is predicted for each class
 * by the predictor with the least error so far: the declared time, the
 * declared time scaled by the class's ratio of actual to declared times, or
 * the class's typical time. The back-off of a failed job doubles with each
 * failure; after fails_max failures on as many different workers the job
 * can't run.
 *
 * Figures are in docs/results/load.md. Placement is not decided here.
 */

struct order;

struct order_limits {
    int aging_percent;        /* of the time waited; 25 */
    int64_t batch_penalty_ms; /* added to a batch job's time; 14400000 */
    int64_t default_run_ms;   /* nothing declared or learned; 3600000 */
    int64_t backoff_ms;       /* after the first failure; 5000 */
    int64_t backoff_max_ms;   /* upper bound, without jitter; 600000 */
    int fails_max;            /* on as many workers: the job can't run; 3 */
};

struct order_facts {
    struct id id;
    const char *class_name;
    enum priority priority;
    int64_t declared_ms;  /* or 0: none */
    int64_t done_ms;      /* run time so far that a checkpoint preserves */
    int64_t submitted_at; /* start of aging */
};

enum order_predictor {
    ORDER_DECLARED, /* the declared time */
    ORDER_SCALED,   /* the declared time, scaled by the class's ratio */
    ORDER_TYPICAL,  /* the class's typical time */
    ORDER_DEFAULT,  /* order_limits.default_run_ms */
    ORDER_PREDICTOR_COUNT
};

struct order_job {
    struct id id;
    enum priority priority;
    enum order_predictor predictor;
    int64_t remaining_ms; /* expected */
    int64_t key;          /* least first; urgent jobs before all others */
    int64_t not_before;   /* end of the back-off; 0: none */
};

struct order *Order_New(const struct order_limits *limits);
void Order_Free(struct order *o);
/* For CLEANUP. */
void Order_FreeP(struct order **o);
/* Queues a job. ERR_OK or ERR_EXISTS. */
int Order_Add(struct order *o, const struct order_facts *facts);
/* Removes a job from the queue when it is started or cancelled. Its failures
 * are kept until Order_Done or Order_Forget. ERR_OK or ERR_NOTFOUND. */
int Order_Remove(struct order *o, const struct id *id);
/* Finds the first job whose back-off is over, or the next one after the job
 * `after`. ERR_OK or ERR_NOTFOUND. */
int Order_Next(const struct order *o, const struct id *after, int64_t now,
               struct order_job *out);
/* Earliest end of a back-off after now, or -1. */
int64_t Order_ReadyAt(const struct order *o, int64_t now);
/* Records that a job ran to its end, and forgets its failures. Its class
 * learns ran_ms, the total run time without interruptions; declared_ms is that
 * of its facts. */
void Order_Done(struct order *o, const struct id *id, const char *class_name,
                int64_t declared_ms, int64_t ran_ms);
/* Forgets the failures of a job that ended in any other way. */
void Order_Forget(struct order *o, const struct id *id);

enum order_failure_kind {
    ORDER_JOB_FAILED,     /* the job ended with an error */
    ORDER_WORKER_SUSPECT, /* the same, on a worker where other jobs fail too */
    ORDER_WORKER_LOST     /* the worker or the link to it is gone */
};

enum order_reason {
    ORDER_RETRY,           /* retry after the back-off */
    ORDER_WORKER_AT_FAULT, /* not counted: the worker's fault */
    ORDER_CANNOT_RUN, /* counted failures are the job's own: no more retries */
    ORDER_REASON_COUNT
};

const char *Order_ReasonName(enum order_reason reason);

struct order_failure_inputs {
    enum order_failure_kind kind;
    int fails;   /* counted failures of the job, this one included */
    int workers; /* different workers that they were on */
    int usable;  /* workers that the job could be tried on */
    int fails_max;
    int64_t backoff_ms;
    int64_t backoff_max_ms;
    int64_t now;
    uint64_t rnd;
};

struct order_failure {
    bool cannot_run;
    enum order_reason reason;
    int64_t not_before; /* end of the back-off */
    struct order_failure_inputs inputs;
};

struct order_failure
Order_JudgeFailure(const struct order_failure_inputs *inputs);
/* Records a failed start of a job. usable is the number of workers that the
 * job could be tried on at all. The back-off also applies if the job is added
 * again. */
struct order_failure Order_Failed(struct order *o, const struct id *id,
                                  const char *worker, int usable,
                                  enum order_failure_kind kind, int64_t now,
                                  uint64_t rnd);

#ifdef __cplusplus
}
#endif

#endif
