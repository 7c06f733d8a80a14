/* Internal structures of the owner task, shared by its files. An entry whose
 * owner task holds leadership is the owner. */
#ifndef QUEUE_OWNER_H
#define QUEUE_OWNER_H

#include "queue.h"

/* An owner that has written nothing else for this long writes its heartbeat
 * row. */
#define HEARTBEAT_MS 500
/* Another entry takes over when its feed brings changes but no sign of life of
 * the owner for this long: four heartbeats, so that a slow store does not
 * depose a living owner. */
#define OWNER_TIMEOUT_MS 2200
/* An entry that is no coordinator claims later by this time. It exceeds the
 * time after which it takes the place of a lost coordinator. */
#define ORDINARY_CLAIM_DELAY_MS 4000
/* With the owner's link silent too, this shorter time suffices, provided that
 * the feed has answered within FEED_FRESH_MS. Otherwise a process that was
 * paused would depose a living owner: it finds the last signs of life in the
 * rows and on the link old, although newer ones wait in its sockets. */
#define OWNER_LINK_TIMEOUT_MS 1200
#define FEED_FRESH_MS 1000
/* An owner whose writes have not been confirmed for this long grants no more
 * leases: another entry may have taken over. A new owner waits for this time
 * plus one lease for workers that it cannot reach, so an outage of the store
 * is survived for that long. */
#define UNCONFIRMED_MAX_MS 7000
/* The feed answers at least once a second. After a longer gap than this,
 * silence of the owner counts only from the next answer on. */
#define FEED_GAP_MS 1600
/* Worker incarnations that agents reported as gone, remembered in case this
 * entry becomes the owner. */
#define DEPARTED_MAX 32

enum leadership {
    LEADER_NONE,    /* another entry is the owner, or none is */
    LEADER_LOADING, /* the owner row names us; loading all rows */
    LEADER_HELD,
    /* The outcome of a write is unknown: rewriting the owner row before any
     * other write. */
    LEADER_FENCING
};

struct owner {
    struct task task;
    struct table *store;
    struct queue_config *config;
    /* Emptied failure domains, as the intake reported. */
    struct emptied_domains emptied;
    int64_t emptied_changed_ms; /* when emptied changed */
    enum leadership leadership;
    bool draining;
    bool released; /* leadership was given up; no more leases or orders */
    /* The owner row, as the feed last reported it. */
    uint64_t row_version;
    char row_name[NAME_SIZE]; /* "": there is no owner */
    uint64_t row_incarnation;
    uint64_t row_term; /* highest term seen */
    /* When the owner last showed a sign of life: a change of its row, its
     * heartbeat or a progress row. */
    int64_t heartbeat_seen_ms;
    int64_t feed_answer_ms;    /* last answer of the feed */
    int64_t feed_since_ms;     /* feed answers without a gap since then */
    bool claim_pending;        /* a write of the owner row is pending */
    int64_t next_claim_ms;     /* no claim before this time */
    int64_t rows_requested_ms; /* when all rows were requested */
    bool row_corrupt; /* the owner row is unreadable, so names no owner */
    bool predecessor_ended; /* the previous owner has certainly ended */
    /* Previous owner whose leases have to be waited for; "": none. */
    char predecessor_name[NAME_SIZE];
    uint64_t predecessor_incarnation;
    char departed[DEPARTED_MAX][JOBS_TEXT_SIZE]; /* ring buffer */
    size_t departed_next;
    /* Valid while this entry is the owner. */
    int64_t elected_ms;
    uint64_t term;
    uint64_t version; /* version of the owner row that our writes expect */
    struct jobs_scheduler *scheduler;
    bool write_pending;
    int64_t confirmed_ms;     /* start of the last confirmed write */
    int64_t write_started_ms; /* start of the last write */
    int64_t next_write_ms;    /* no write before this time */
    uint64_t heartbeats;
    int64_t learned_ms;   /* when learned state was last written; 0: never */
    bool learned_pending; /* the pending write has it */
    bool learned_forced;  /* it has to be written although unchanged */
    struct adviser *adviser; /* NULL: none is configured */
    bool question_pending;
    struct jobs_question question;
    int64_t question_ms;
    int64_t next_question_ms;        /* no question before this time */
    int64_t question_backoff_ms;     /* 0: the last question was answered */
    TAILQ_HEAD(, jobs_event) events; /* recent decisions, for GET /v1/why */
    size_t event_count;
    int64_t forecast_ms;      /* when the last forecast was made */
    uint64_t forecast_number; /* of the last one that was sent */
    bool forecast_waits;      /* jobs had to wait by the last one */
    int64_t pass_duration_ms; /* duration of the last scheduling pass */
    int64_t pass_ended_ms;    /* end of the last scheduling pass */
    ev_timer tick;
    ev_timer pass_timer;
};

/* ---- queue-owner.c */
/* Schedules a pass, which plans, writes rows and sends orders. The delay
 * merges requests and limits the share of the processor (queue-owner.c). */
void Owner_SchedulePass(struct owner *o);

/* ---- queue-leader.c */
/* Ends leadership in this process, without writing the owner row. why: the
 * reason, for the log. */
void Leader_StepDown(struct owner *o, const char *why);
/* Writes the owner row under the condition that it is unchanged; name "":
 * gives leadership up. */
void Leader_Claim(struct owner *o, const char *name);
/* True when the owner row names this process. */
bool Leader_IsOurs(const struct owner *o);
/* Begins leadership, as the owner row names this process: requests all
 * rows. */
void Leader_Begin(struct owner *o);
/* The condition of each transaction of the owner: the owner row still has the
 * version that we wrote. */
struct table_op Leader_OwnershipCheck(const struct owner *o);
/* Requests all rows from the intake, to build the scheduler. */
void Leader_RequestRows(struct owner *o);
/* True when the owner counts as dead. row_ms: since its last sign of life in
 * the store; link_ms: since its last message on its link (-1: no link);
 * feed_ms: since the feed last answered. */
bool Leader_IsSilent(int64_t row_ms, int64_t link_ms, int64_t feed_ms);
/* Claims leadership if there is no owner or it counts as dead. */
void Leader_ClaimIfVacant(struct owner *o);

/* ---- queue-leader-rows.c */
/* Updates the owner and its signs of life from changed rows. */
void Leader_TakeRows(struct owner *o, const struct rows_changed *r);

/* ---- queue-rows.c */
void Rows_Take(struct owner *o, const struct rows_changed *r);
/* Requests the rows of jobs that are accepted by the cache and missing in the
 * scheduler. */
void Rows_FindUnscheduled(struct owner *o, const struct job_ids *unfinished);
void Rows_LeadershipEnded(void);
/* Deletes the rows of a job that has been kept long enough after its end. */
void Rows_Expire(struct owner *o);
/* Writes the spec row of a job again whose row was overwritten. */
void Rows_Repair(struct owner *o);

/* ---- queue-batch.c */
void Batch_Start(struct owner *o);

/* ---- queue-learned.c */
/* Takes what the previous owner has learned into a new scheduler. */
void Learned_Take(struct owner *o, const struct rows_changed *r);
/* Appends the row of learned state if it has to be written now; false when it
 * does not. */
bool Learned_Encode(struct owner *o, struct buf *value, int64_t now_ms);
/* The write that Learned_Encode() was called for has ended. */
void Learned_Written(struct owner *o, bool stored);

/* ---- queue-owner-domains.c */
/* Takes the set of emptied failure domains and passes it to the scheduler. */
void OwnerDomains_Take(struct owner *o, const struct emptied_domains *e);
/* Passes the set to a scheduler that was just created. */
void OwnerDomains_Apply(struct owner *o);
/* State for operators: the emptied domains and how many tasks run there. */
json_t *OwnerDomains_State(const struct owner *o);

/* ---- queue-advice.c */
void Advice_Ask(struct owner *o);

/* ---- queue-forecast.c */
/* Sends a forecast of waits to the other entries when it is due. */
void Forecast_Tick(struct owner *o);

/* ---- queue-why.c */
void QueueWhy_Record(struct owner *o, struct jobs_event *e);
void QueueWhy_Clear(struct owner *o);

/* ---- queue-orders.c */
/* True when decisions may change (Jobs_Report). */
bool Orders_TakeReport(struct owner *o, const struct wire_report *m);
void Orders_TakeRefusal(struct owner *o, const struct wire_refused *m);
void Orders_Send(struct owner *o);

#endif
