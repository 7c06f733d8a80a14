/* The structures of the watch, shared by its files. */
#ifndef RUNS_WATCH_H
#define RUNS_WATCH_H

#include "runs.h"

#define PAST_INCARNATIONS 16 /* reports are late by some seconds at most */
#define STOP_KEEP_MS 10000   /* how long a confirmed stop is reported */

/* A run whose stop the worker has confirmed. */
struct confirmed_stop {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    uint64_t before_poll; /* first poll that was sent after the stop */
    int64_t at_ms;
    TAILQ_ENTRY(confirmed_stop) entry;
};

/* A run that the worker has, or may have because its start was not answered.
 */
struct present_run {
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    bool acknowledged; /* the worker has acknowledged its start */
    int64_t begun_ms;  /* acknowledged or first listed; 0: not yet */
    int64_t listed_ms; /* last listed as running by a poll; 0: not yet */
    bool ended;
    TAILQ_ENTRY(present_run) entry;
};

/* An order that was sent to the worker and is not answered yet. */
struct order_call {
    struct watch *watch;
    enum wire_order_verb verb;
    char incarnation[JOBS_TEXT_SIZE];
    char task[JOBS_TASK_SIZE];
    uint64_t run;
    int64_t sent_ms;
    TAILQ_ENTRY(order_call) entry;
};

/* A poll that is not answered yet. */
struct poll_call {
    struct watch *watch;
    bool extra;    /* beside the regular poll, and does not wait for an end */
    bool is_probe; /* of the candidate, not of the present incarnation */
    char incarnation[JOBS_TEXT_SIZE];
    uint64_t number;
    uint64_t term;
    int64_t sent_ms;
    TAILQ_ENTRY(poll_call) entry;
};

/* What shows whether a draining worker has departed; times are the agent's. */
struct departure {
    int64_t end_ms;     /* end of the announced minimum time; -1: not known */
    uint32_t refusals;  /* polls in a row that the kernel refused */
    int64_t refused_ms; /* when the first of them was refused */
};

struct watch {
    struct task task;
    struct runs_worker *worker;
    struct worker_status current; /* incarnation "": there is none */
    /* A report of another incarnation, which has not answered a poll yet;
     * incarnation "": there is none. */
    struct worker_status candidate;
    bool leaving; /* the present incarnation has announced its end */
    struct departure departure; /* of the present incarnation */
    char left[JOBS_TEXT_SIZE];  /* the last incarnation that has left */
    struct wire_list ended;     /* struct wire_end, of the last poll */
    struct wire_list crashed;   /* struct wire_crash, reported for a while */
    /* When an owner first answered after the last crash; 0: not yet. */
    int64_t crashes_acked_ms;
    char past[PAST_INCARNATIONS][JOBS_TEXT_SIZE];
    size_t past_next;
    uint64_t term;       /* highest term of an owner so far */
    uint64_t last_seen;  /* number of the last end that is stored */
    int64_t until_ms;    /* end of the leases, by the worker's clock */
    int64_t clock_ms;    /* the worker's clock at clock_at_ms */
    int64_t clock_at_ms; /* when it was last reported; 0: not yet */
    bool polling;
    bool is_answering; /* the present incarnation answered its last poll */
    uint64_t polls;
    TAILQ_HEAD(, confirmed_stop) stops;
    TAILQ_HEAD(, present_run) present;
    TAILQ_HEAD(, order_call) calls;
    TAILQ_HEAD(, poll_call) poll_calls;
    ev_timer poll_timer;
    ev_timer extra_poll_timer;
};

/* ---- runs-watch.c */
void Watch_Send(struct watch *w, struct wire_msg *m);
void Watch_PollSoon(struct watch *w);
void Watch_ForgetCurrent(struct watch *w);

/* ---- runs-present.c */
void Present_Started(struct watch *w, const char *task, uint64_t run);
void Present_Unanswered(struct watch *w, const char *task, uint64_t run);
void Present_Stopped(struct watch *w, const char *task, uint64_t run);
void Present_Listed(struct watch *w, const struct runs_poll_result *result,
                    int64_t sent_ms);
void Present_Crashed(struct watch *w);
void Crashes_Acknowledged(struct watch *w);
/* Forgets crashes that have been reported for long enough. */
void Crashes_Expire(struct watch *w);
void Present_Clear(struct watch *w);

/* ---- runs-departure.c */
void Departure_Clear(struct departure *d);
void Departure_Reported(struct departure *d, bool draining, int64_t left_ms,
                        int64_t now_ms);
void Departure_Polled(struct departure *d, bool refused, int64_t now_ms);
bool Departure_IsOver(const struct departure *d, int64_t now_ms);
int64_t Departure_LeftMs(const struct departure *d, int64_t now_ms);

/* ---- runs-orders.c */
void Orders_Execute(struct watch *w, const struct wire_order *order);

#endif
