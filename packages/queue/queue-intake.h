/* The intake's own structures, shared by its files. */
#ifndef QUEUE_INTAKE_H
#define QUEUE_INTAKE_H

#include "queue.h"

/* A row as last seen. */
struct cached_row {
    char *key;
    uint64_t version;
    struct buf value;
    bool listed;  /* seen by the list that is under way */
    bool corrupt; /* the store's value can't be read; this one is older */
    RB_ENTRY(cached_row) by_key;
};
RB_HEAD(row_tree, cached_row);

/* What callers ask about, kept beside the rows. */
struct cached_job {
    char id[JOBS_ID_SIZE];
    char queue[NAME_SIZE];
    char organisation[NAME_SIZE];
    bool periodic; /* its occurrences have due times */
    bool has_spec;
    bool cancel_requested; /* its caller wants it no more */
    bool started;
    enum jobs_state state;
    RB_ENTRY(cached_job) by_id;
};
RB_HEAD(cached_job_tree, cached_job);

/* One table that is followed: listed whole, then by its feed. */
struct followed_table {
    struct intake *intake;
    const char *table;
    bool listed; /* complete, and the feed goes on from position */
    uint64_t position;
    uint64_t list_position; /* of the first page */
    char page_after[256];   /* where the next page begins */
    int64_t answered_ms;    /* last whole answer; 0: none yet */
    int failures;           /* in a row */
    bool delegated;         /* others read it for us */
    bool idle;              /* nothing is asked, as it is left to others */
    bool paused;            /* nothing is asked for a while, to ask less */
    int64_t slow_read_ms;   /* when a large answer last came slowly; 0: none */
    ev_timer retry_timer;
};

struct intake {
    struct task task;
    struct table *store;
    struct followed_table own_table;      /* of the own table */
    struct followed_table operator_table; /* of the operators' table */
    struct row_tree cache;
    struct cached_job_tree jobs;
    struct queue_config *config;
    struct emptied_domains emptied; /* failure domains, as far as is known */
    struct emptied_domains
        emptied_listing; /* the same, while the table is listed */
    bool draining;
    bool all_rows_requested;
    bool is_leader; /* the owner is in this process, or is about to be */
    TAILQ_HEAD(, open_call) open_calls; /* which the store has not answered */
    size_t open_call_count;
    ev_timer caller_check_timer; /* for callers that have left */
    ev_timer announce_timer;     /* own row, and the entries */
    ev_timer check_timer;        /* that what is shown is scheduled */
    bool own_row_stored;
};

/* ---- queue-follow.c */
void Follow_Start(struct intake *in);
void Follow_Stop(struct intake *in);
/* Asks for changes of the own table at once. */
void Follow_EndPause(struct intake *in);
/* Leaves the operators' table to other entries, or reads it again. */
void Follow_SetDelegation(struct intake *in, const struct delegation *note);

/* ---- queue-cache.c */
/* Takes rows and hands those that are news to the owner, with their memory; a
 * value that can't be read is emptied. followed: by the feed or a list, which
 * know all up to the position. */
void Cache_Update(struct intake *in, struct table_row *rows, size_t count,
                  bool from_feed, uint64_t position);
void Cache_BeginList(struct intake *in);
/* Drops what the list did not have. */
void Cache_EndList(struct intake *in);
const struct cached_row *Cache_Find(struct intake *in, const char *key);
struct cached_job *Cache_FindJob(struct intake *in, const char *id);
int64_t Cache_CountWaiting(struct intake *in, const char *queue);
/* Calls fn for each row whose key starts with prefix. */
void Cache_ForEach(struct intake *in, const char *prefix,
                   void (*fn)(const struct cached_row *, void *arg),
                   void *arg);
void Cache_Clear(struct intake *in);
/* Sends every row to the owner. */
void Cache_SendAll(struct intake *in);
/* Sends the ids of all jobs that have to be scheduled to the owner. */
void Cache_SendUnfinished(struct intake *in);
/* Sends all rows of these jobs to the owner once more. */
void Cache_SendJobs(struct intake *in, const struct job_ids *list);

/* ---- queue-notify.c */
/* Sends a row that this entry has written to the leader. */
void Notify_Owner(struct intake *in, const struct table_row *row);
/* Takes a row that another entry has written; true when it was news. */
bool Notify_Receive(struct intake *in, struct wire_row *m);

/* ---- queue-check.c */
void Check_Start(struct intake *in);
void Check_Stop(struct intake *in);

/* ---- queue-calls.c */
void Intake_Call(struct intake *in, struct queue_call *call);
/* Begins to check for callers that leave before their answer, and ends. */
void Calls_Start(struct intake *in);
void Calls_Stop(struct intake *in);

/* ---- queue-config.c */
/* Takes a configuration that is newer than the present one; its text is then
 * moved. */
void Intake_TakeConfig(struct intake *in, struct buf *text, const char *from);

/* ---- queue-domains.c */
/* Takes which failure domains are emptied, from the store or from another
 * entry, and tells the owner and the links. */
void Intake_TakeEmptied(struct intake *in,
                        const struct emptied_domains *update,
                        const char *from);

/* ---- queue-entries.c */
void Entries_Start(struct intake *in);
void Entries_Stop(struct intake *in);

#endif
