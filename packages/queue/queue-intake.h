/* Internal structures of the intake task, shared by its files. */
#ifndef QUEUE_INTAKE_H
#define QUEUE_INTAKE_H

#include "queue-admission.h"
#include "queue.h"

#define REFUSED_PREFIX "refused/" /* key prefix of rows of refused jobs */
#define STOP_PREFIX "stop/"       /* key prefix of requests to cancel a job */
/* Rows of refused jobs, and requests to cancel jobs that are not there, are
 * deleted after this time. A write may reach the store up to 12 s after it was
 * sent, and a caller may be asked to retry after 30 s. Both are over by then.
 */
#define REFUSED_KEEP_MS 60000

/* A row of the own table as last seen. */
struct cached_row {
    char *key;
    uint64_t version;
    struct buf value;
    int64_t changed_ms; /* when this entry learned of the version */
    bool listed;        /* seen by the list in progress */
    /* The value in the store is unreadable; this is the last readable one, if
     * there was any. */
    bool corrupt;
    RB_ENTRY(cached_row) by_key;
};
RB_HEAD(row_tree, cached_row);

/* What callers query of a job, derived from its rows. */
struct cached_job {
    char id[JOBS_ID_SIZE];
    char queue[NAME_SIZE];
    char organisation[NAME_SIZE];
    bool periodic; /* its occurrences have due times */
    bool has_spec;
    bool cancel_requested;
    bool started; /* a task has run */
    enum jobs_state state;
    RB_ENTRY(cached_job) by_id;
};
RB_HEAD(cached_job_tree, cached_job);

/* A table that is kept up to date: listed in full, then by its feed. */
struct followed_table {
    struct intake *intake;
    const char *table;
    bool listed; /* the list is complete; the feed continues it */
    uint64_t position;
    uint64_t list_position; /* position of the first page of the list */
    char page_after[256];   /* key after which the next page begins */
    int64_t answered_ms;    /* last complete answer; 0: none yet */
    int failures;           /* consecutive failures */
    bool delegated;         /* other entries read it for this one */
    bool idle;              /* no call is open, as reading is delegated */
    bool paused; /* waiting before the next feed call, to save calls */
    int64_t slow_read_ms; /* last slow read of a large answer; 0: none */
    ev_timer retry_timer;
};

struct intake {
    struct task task;
    struct table *store;
    struct followed_table own_table;
    struct followed_table operator_table;
    struct row_tree cache;
    struct cached_job_tree jobs;
    struct queue_config *config;
    struct emptied_domains emptied; /* failure domains, as far as known */
    /* Emptied failure domains of the list in progress. */
    struct emptied_domains emptied_listing;
    struct queue_admission *admission; /* NULL: every job is accepted */
    bool draining;
    bool all_rows_requested;
    /* This process is the owner, or has just been elected. */
    bool is_leader;
    TAILQ_HEAD(, open_call) open_calls; /* that wait for the store */
    size_t open_call_count;
    ev_timer caller_check_timer; /* detects callers that have disconnected */
    ev_timer entries_timer;      /* keeps the own entry row, reports entries */
    ev_timer check_timer;        /* compares cached with scheduled jobs */
    /* Rows that this entry has written lately, oldest first. */
    TAILQ_HEAD(, recent_row) recent_rows;
    size_t recent_row_count;
    char owner_address[NAME_SIZE]; /* of the owner's links; "": not known */
    bool own_row_pending;      /* a write of the own entry row is pending */
    int64_t own_row_stored_ms; /* when this process first stored it; 0: not */
    uint64_t own_row_version;  /* as last written by this process; 0: not */
    uint64_t entries_sent;     /* hash of the entries last reported */
};

/* ---- queue-follow.c */
void Follow_Start(struct intake *in);
void Follow_Stop(struct intake *in);
/* Ends the pause before the next feed call of the own table. */
void Follow_EndPause(struct intake *in);
/* Delegates reading the operator table to other entries, or resumes it. */
void Follow_SetDelegation(struct intake *in, const struct delegation *note);

/* ---- queue-cache.c */
/* Stores rows and sends those that are new to the owner, moving their memory
 * out of rows. The value of an unreadable row is cleared. from_feed: the rows
 * come from the feed or a list, which is complete up to position. */
void Cache_Update(struct intake *in, struct table_row *rows, size_t count,
                  bool from_feed, uint64_t position);
void Cache_BeginList(struct intake *in);
/* Drops rows that the list did not contain. */
void Cache_EndList(struct intake *in);
const struct cached_row *Cache_Find(struct intake *in, const char *key);
struct cached_job *Cache_FindJob(struct intake *in, const char *id);
int64_t Cache_CountWaiting(struct intake *in, const char *queue);
/* Counts the rows whose key starts with prefix. */
size_t Cache_Count(struct intake *in, const char *prefix);
/* Counts the jobs that were cancelled and are not there. */
size_t Cache_CountCancelled(struct intake *in);
/* Calls fn for each row whose key starts with prefix. */
void Cache_ForEach(struct intake *in, const char *prefix,
                   void (*fn)(const struct cached_row *, void *arg),
                   void *arg);
void Cache_Clear(struct intake *in);
/* Sends all rows to the owner, once the list is complete. */
void Cache_SendAll(struct intake *in);
/* Sends the ids of all unfinished jobs to the owner. */
void Cache_SendUnfinished(struct intake *in);
/* Sends all rows of the listed jobs to the owner again. */
void Cache_SendJobs(struct intake *in, const struct job_ids *list);

/* ---- queue-notify.c */
/* Sends a row that this entry has written to the owner's entry, and again to
 * an owner that becomes known shortly after. */
void Notify_Owner(struct intake *in, const struct table_row *row);
/* Handles a change of the owner row or of an entry row. */
void Notify_OwnerChanged(struct intake *in);
void Notify_Clear(struct intake *in);
/* Takes a row that another entry has written; true when it was new. */
bool Notify_Receive(struct intake *in, struct wire_row *m);

/* ---- queue-forecast.c */
/* Takes the owner's forecast of waits. */
void Forecast_Take(struct intake *in, const struct wire_forecast *m);

/* ---- queue-check.c */
void Check_Start(struct intake *in);
void Check_Stop(struct intake *in);

/* ---- queue-refused.c */
/* Deletes rows of jobs that were refused long ago, and old requests to cancel
 * jobs that are not there; for the owner's entry. */
void Refused_Expire(struct intake *in);

/* ---- queue-calls.c */
void Intake_Call(struct intake *in, struct queue_call *call);
/* Starts and stops the check for callers that disconnect before their
 * answer. */
void Calls_Start(struct intake *in);
void Calls_Stop(struct intake *in);
/* Answers all open calls, as the process ends before the store answers. */
void Calls_AnswerOpen(struct intake *in);

/* ---- queue-config.c */
/* Takes a configuration if it is newer than the one in force, moving text.
 * from: the source, for the log. */
void Intake_TakeConfig(struct intake *in, struct buf *text, const char *from);

/* ---- queue-domains.c */
/* Takes the set of emptied failure domains from the store or another entry,
 * and notifies the owner and the links of changes. from: the source, for the
 * log. */
void Intake_TakeEmptied(struct intake *in,
                        const struct emptied_domains *update,
                        const char *from);

/* ---- queue-entries.c */
void Entries_Start(struct intake *in);
void Entries_Stop(struct intake *in);
/* Reports the entries that the store lists to the links task, if they or the
 * owner have changed. */
void Entries_Report(struct intake *in);

#endif
