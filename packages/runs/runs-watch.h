/* The watch's own structures, shared by its files. */
#ifndef RUNS_WATCH_H
#define RUNS_WATCH_H

#include "runs.h"

#define PAST_LIFETIMES 16  /* reports are under way for seconds at most */
#define STOP_KEEP_MS 10000 /* a confirmed stop is reported for so long */

/* A run whose stop the worker has confirmed. */
struct confirmed_stop {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    uint64_t before_poll; /* polls from this one on were sent after it */
    int64_t at_ms;
    TAILQ_ENTRY(confirmed_stop) entry;
};

/* A run that the worker has, or may have since its start was not answered. */
struct present_run {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    bool acknowledged; /* the worker has answered its start */
    int64_t begun_ms;  /* acknowledged or first listed; 0: neither yet */
    int64_t listed_ms; /* last listed by a report; 0: not yet */
    bool ended;
    TAILQ_ENTRY(present_run) entry;
};

/* An order at the worker. */
struct order_call {
    struct watch *watch;
    enum wire_order_verb verb;
    char lifetime[JOBS_TEXT_SIZE];
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    int64_t sent_ms;
    TAILQ_ENTRY(order_call) entry;
};

struct poll_call {
    struct watch *watch;
    bool extra;
    bool probe; /* of a lifetime that is not the present one */
    char lifetime[JOBS_TEXT_SIZE];
    uint64_t number;
    uint64_t term;
    int64_t sent_ms;
    TAILQ_ENTRY(poll_call) entry;
};

struct watch {
    struct task task;
    struct runs_worker *worker;
    struct worker_status said; /* lifetime "": none is known */
    struct worker_status next; /* names another one; "": none does */
    bool leaving;              /* it said that it ends */
    char left[JOBS_TEXT_SIZE];
    char heir_of[JOBS_TEXT_SIZE]; /* said, or the next one, takes its orders */
    char heir_id[JOBS_TEXT_SIZE]; /* of both */
    struct wire_list ended;       /* struct wire_end, of the last poll */
    struct wire_list crashed;     /* struct wire_crash, reported for a while */
    int64_t crashes_heard_ms; /* an owner answered since the last; 0: none */
    char past[PAST_LIFETIMES][JOBS_TEXT_SIZE];
    size_t past_next;
    uint64_t term;      /* highest of an owner that was heard */
    uint64_t last_seen; /* ends up to it are stored */
    int64_t until_ms;   /* lease, worker's clock */
    bool polling;
    uint64_t polls;
    TAILQ_HEAD(, confirmed_stop) stops;
    TAILQ_HEAD(, present_run) present;
    TAILQ_HEAD(, order_call) calls;
    TAILQ_HEAD(, poll_call) poll_calls;
    ev_timer again;
    ev_timer soon;
};

/* ---- runs-watch.c */
void Watch_Say(struct watch *w, struct wire_msg *m);
void Watch_PollSoon(struct watch *w);
void Watch_Forget(struct watch *w);

/* ---- runs-present.c */
void Present_Started(struct watch *w, const char *task, uint64_t run);
void Present_Unanswered(struct watch *w, const char *task, uint64_t run);
void Present_Stopped(struct watch *w, const char *task, uint64_t run);
void Present_Listed(struct watch *w, const struct runs_poll_result *seen,
                    int64_t sent_ms);
void Present_Crashed(struct watch *w);
void Crashes_Heard(struct watch *w);
/* Forgets crashes that have been reported for long enough. */
void Crashes_Expire(struct watch *w);
void Present_Clear(struct watch *w);

/* ---- runs-orders.c */
void Orders_Carry(struct watch *w, const struct wire_order *order);

#endif
