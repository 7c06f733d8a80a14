/* The owner's own structures, shared by its files. */
#ifndef QUEUE_OWNER_H
#define QUEUE_OWNER_H

#include "queue.h"

/* An owner rewrites its heartbeat so often, if it has written nothing else. */
#define HEARTBEAT_MS 500
/* Others take over when they see the store move but not the heartbeat for this
 * long: four heartbeats, so that a slow store does not depose its owner. */
#define OWNER_TIMEOUT_MS 2200
/* When its link has been silent for as long too, this is enough, as long as
 * the feed has answered within the second one: a process that was paused finds
 * both old, and the answers to it in its sockets. */
#define OWNER_LINK_TIMEOUT_MS 1200
#define FEED_FRESH_MS 1000
/* An owner whose writes have not been confirmed for this long gives out no
 * more leases: another may have taken over and wait just so long, and a lease
 * more, for workers that it can't ask. An outage of the store is so survived
 * for this and a lease. */
#define UNCONFIRMED_MAX_MS 7000
/* The feed answers at least once a second; after a longer gap than this it
 * has to be followed anew before silence of the owner means anything. */
#define FEED_GAP_MS 1600
/* Lifetimes that agents said have left, kept for whoever takes over next. */
#define DEPARTED_MAX 32

enum leadership {
    LEADER_NONE,    /* another entry is the owner, or nobody */
    LEADER_LOADING, /* the row names us; the rows are on their way */
    LEADER_HELD,
    LEADER_FENCING /* rewriting the owner row, before writing anything else */
};

struct owner {
    struct task task;
    struct table *store;
    struct queue_config *config;
    struct emptied_domains
        emptied;                /* failure domains, as the intake reported */
    int64_t emptied_changed_ms; /* when that changed */
    enum leadership leadership;
    bool draining;
    bool released;
    /* The owner row, as the feed reported it last. */
    uint64_t row_version;
    char row_name[NAME_SIZE]; /* "": nobody */
    uint64_t row_incarnation;
    uint64_t row_term;         /* the highest that is known */
    int64_t heartbeat_seen_ms; /* last change of its row or heartbeat */
    int64_t feed_answer_ms;    /* last answer of the feed */
    int64_t feed_since_ms;     /* since when its answers come without a gap */
    bool claim_pending;        /* a write of the owner row is under way */
    int64_t next_claim_ms;     /* not before */
    int64_t rows_requested_ms; /* when all rows were asked for */
    bool row_corrupt;          /* it names nobody, as it can't be read */
    bool predecessor_ended;    /* the owner before us had ended for certain */
    char predecessor_name[NAME_SIZE]; /* it; "": it need not be waited for */
    uint64_t predecessor_incarnation;
    char departed[DEPARTED_MAX][JOBS_TEXT_SIZE];
    size_t departed_next;
    /* While leading. */
    int64_t elected_ms;
    uint64_t term;
    uint64_t version; /* of the owner row that our writes expect */
    struct jobs_scheduler *scheduler;
    bool write_pending;
    int64_t confirmed_ms;     /* start of the last write that succeeded */
    int64_t write_started_ms; /* start of the one under way */
    int64_t next_write_ms;    /* no write before */
    uint64_t heartbeats;
    struct adviser *adviser; /* NULL: the platform has none */
    bool question_pending;
    struct jobs_question question;
    int64_t question_ms;
    int64_t next_question_ms; /* not before */
    int64_t
        question_backoff_ms; /* after the last one that failed; 0: none did */
    TAILQ_HEAD(, jobs_event) events; /* for those who ask why */
    size_t event_count;
    int64_t pass_duration_ms; /* how long the last pass took */
    int64_t pass_ended_ms;    /* when it ended */
    ev_timer tick;
    ev_timer pass_timer;
};

/* ---- queue-owner.c */
/* Plans, writes and gives orders, soon. */
void Owner_SchedulePass(struct owner *o);

/* ---- queue-leader.c */
void Leader_StepDown(struct owner *o, const char *why);
/* Writes the owner row; name "": leadership is given back. */
void Leader_Claim(struct owner *o, const char *name);
/* True when the owner row names this process. */
bool Leader_IsOurs(const struct owner *o);
/* The row names us: leadership begins, and with it the reading of all rows. */
void Leader_Begin(struct owner *o);
/* What each of the owner's transactions expects: that it is still the owner.
 */
struct table_op Leader_OwnershipCheck(const struct owner *o);
/* Asks for all rows, to build the scheduler. */
void Leader_RequestRows(struct owner *o);
/* True when the leader has to be replaced: row_ms since its last heartbeat in
 * the store, link_ms since it spoke on its link (-1: there is none), feed_ms
 * since the feed answered. */
bool Leader_IsSilent(int64_t row_ms, int64_t link_ms, int64_t feed_ms);
/* Claims leadership if nobody holds it. */
void Leader_ClaimIfVacant(struct owner *o);

/* ---- queue-leader-rows.c */
/* Takes what rows say of owners and entries. */
void Leader_TakeRows(struct owner *o, const struct rows_changed *r);

/* ---- queue-rows.c */
void Rows_Take(struct owner *o, const struct rows_changed *r);
/* Finds jobs that are shown as accepted and are not scheduled. */
void Rows_FindUnscheduled(struct owner *o, const struct job_ids *unfinished);
void Rows_LeadershipEnded(void);
/* Drops the rows of a job that has been shown for long enough. */
void Rows_Expire(struct owner *o);
/* Stores the spec of a job again whose row was spoiled. */
void Rows_Repair(struct owner *o);

/* ---- queue-batch.c */
void Batch_Start(struct owner *o);

/* ---- queue-owner-domains.c */
/* Takes which failure domains are emptied. */
void OwnerDomains_Take(struct owner *o, const struct emptied_domains *e);
/* Tells the scheduler, which has just been made. */
void OwnerDomains_Apply(struct owner *o);
/* For operators: what is emptied, and what still runs there. */
json_t *OwnerDomains_State(const struct owner *o);

/* ---- queue-advice.c */
void Advice_Ask(struct owner *o);

/* ---- queue-why.c */
void QueueWhy_Record(struct owner *o, struct jobs_event *e);
void QueueWhy_Clear(struct owner *o);

/* ---- queue-orders.c */
/* True when it brought news (Jobs_Report). */
bool Orders_TakeReport(struct owner *o, const struct wire_report *m);
void Orders_TakeRefusal(struct owner *o, const struct wire_refused *m);
void Orders_Send(struct owner *o);

#endif
