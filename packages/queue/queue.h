/*
 * queue: the part of an entry that serves jobs of steps on a platform with a
 * store. Entries are equal; each keeps nothing but a cache of the store.
 *
 * Tasks, and what they tell each other:
 *
 *   intake  follows the store (rows of jobs, configuration, entries) and
 *           answers callers: hand in, state, cancel, count. An accepted job
 *           is a stored row.
 *   owner   one of all entries, by a row of the store taken under a
 *           condition. It has the scheduler (jobs.h), writes progress rows
 *           and gives the orders.
 *   links   owns the socket that agents and other entries connect to, and the
 *           links to these. Entries send each other what changed in the
 *           configuration; those to which the store's feed brings large ones
 *           slowly leave the reading to others (queue-sources.h).
 *   store   owns the connection to the store; while the store turns this
 *           machine away, it calls through another entry.
 *
 * Rows of the own table, all in one part, so that one transaction can check
 * the owner and write what it decided:
 *
 *   owner      who gives orders: name, incarnation, term
 *   beat       rewritten by the owner, so that others see it alive
 *   spec/ID    an accepted job; written once, by whoever took it
 *   stop/ID    its caller wants it no more
 *   run/ID     its progress; written by the owner alone
 *   entry/NAME an entry and where its links listen
 */
#ifndef QUEUE_H
#define QUEUE_H

#include "base.h"
#include "config.h"
#include "entry.h"
#include "jobs.h"
#include "kernel.h"
#include "platform.h"
#include "queue-emptied.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- the place it runs in -------------------------------------------------
 */

/* How an adviser answers. err: nothing is known, and it may be asked again. */
typedef void (*advised)(void *arg, int err,
                        const struct jobs_approval *approvals, size_t count,
                        int64_t validity_ms);

struct adviser;

struct adviser_ops {
    /* Asks which workers may run a step; q is not kept. */
    void (*ask)(struct adviser *, const struct jobs_question *q, advised done,
                void *arg);
    void (*free)(struct adviser *);
};

struct adviser {
    const struct adviser_ops *ops;
};

/* What a platform brings. */
struct queue_platform {
    struct table *(*open_store)(struct ev_loop *,
                                const struct hosted_settings *);
    struct adviser *(*open_adviser)(struct ev_loop *,
                                    const struct hosted_settings *);
    /* ERR_OK or ERR_INVALID with the reason; out is to be cleared. */
    int (*read_config)(const char *text, size_t len, struct jobs_config *out,
                       char why[128]);
    const char *config_table; /* where operators write */
    const char *config_key;
    const char *emptied_prefix; /* of rows there that empty a domain */
    const char *own_table;
};

/* Called before main by the adapter that is linked in. */
void Queue_SetPlatform(const struct queue_platform *platform);
const struct queue_platform *Queue_Platform(void);
/* The store as this process reaches it: by its own connection, or, while that
 * is refused, through another entry (queue-relay.c). */
struct table *Queue_Store(struct kernel *k);
/* True while calls fail on every way to the store: its own and through other
 * entries. A caller is then refused at once, before anything is sent. */
bool Queue_StoreUnreachable(struct kernel *k);
/* Milliseconds since the store answered this process itself; -1: never. */
int64_t Queue_StoreAge(struct kernel *k);
/* Milliseconds since that entry spoke on its link to this one; -1: never. */
int64_t Queue_PeerAge(struct kernel *k, const char *name);
uint64_t Queue_Incarnation(void);

/* ---- callers ---------------------------------------------------------------
 */

enum queue_verb { QUEUE_SUBMIT, QUEUE_QUERY, QUEUE_CANCEL };

enum queue_outcome {
    QUEUE_OK,          /* accepted, cancelled; or state or waiting is set */
    QUEUE_WAITING,     /* an ask for the queue: waiting is set */
    QUEUE_NO_QUEUE,    /* no such queue */
    QUEUE_NO_KEY,      /* a key that nobody holds */
    QUEUE_NO_JOB,      /* no such job */
    QUEUE_INVALID,     /* detail says what is wrong */
    QUEUE_RETRY_LATER, /* nothing was done and nothing will be: retry_ms */
    QUEUE_UNKNOWN      /* it may have been done, or be done later */
};

/* A call of a caller, on its way to the intake and back. */
struct queue_call {
    struct message base;
    enum queue_verb verb;
    char queue[NAME_SIZE]; /* the queue; "": by host and path */
    char host[256];
    char path[512];
    char job[JOBS_ID_SIZE]; /* where the queue is named, or "" to find it */
    char key[256];          /* bearer token; "": none */
    struct jobs_spec
        spec; /* of a submit; id and queue are set by the intake */
    int64_t started_ms;
    int64_t deadline_ms; /* the caller waits so long; 0: it does not say */
    /* Result, valid in done. */
    enum queue_outcome outcome;
    enum jobs_state state;
    int64_t waiting;
    int64_t retry_ms;
    const char *reason;
    bool caller_left; /* nobody hears the answer */
    /* Called once; frees nothing. */
    void (*done)(struct queue_call *);
    /* True when the caller is gone; NULL: nobody can say. */
    bool (*has_left)(const struct queue_call *);
    void *arg;
};

struct queue_call *QueueCall_New(enum queue_verb verb);
/* Hands a call to the intake, which frees it after done. */
void Queue_Call(struct kernel *k, struct queue_call *call);

/* True when this entry can serve callers: it has a configuration, and is not
 * about to end. */
bool Queue_Ready(struct kernel *k);

/* ---- counters -------------------------------------------------------------
 */

/* Counts a decision of the scheduler by its reason, and the times of jobs. */
void QueueMetrics_Event(const struct jobs_event *e);
/* Counts a caller's call, by its outcome, with the milliseconds it took. */
void QueueMetrics_Call(enum queue_outcome outcome, int64_t ms);

/* ---- messages between the tasks
 * --------------------------------------------- */

/* The configuration in force, shared and never changed. */
struct queue_config {
    struct jobs_config jobs;
    int refs;
};

struct queue_config *QueueConfig_Ref(struct queue_config *c);
void QueueConfig_Unref(struct queue_config *c);

/* intake -> owner, links; text: as it was read, for the links only. */
struct config_changed {
    struct message base;
    struct queue_config *config;
    struct buf text;
};

/* intake -> links: how the operators' table is read. */
struct operator_table_status {
    struct message base;
    uint64_t position;   /* up to it all is known */
    int64_t answered_ms; /* when the store last answered; 0: it does not */
    int64_t slow_ms;     /* when a large one last came slowly; 0: none */
};

/* links -> intake: whether others read that table for us, and what they say
 * of it: up to that position there is none newer than that version. */
struct delegation {
    struct message base;
    bool delegated;
    uint64_t version;
    uint64_t position;
};

/* intake -> owner, links: the failure domains that are emptied; links ->
 * intake: what another entry says of them. */
struct emptied_reported {
    struct message base;
    struct emptied_domains emptied;
};

/* intake -> owner: rows of the own table that changed; version 0: dropped.
 * all: every row there is, in answer to struct rows_requested. */
struct rows_changed {
    struct message base;
    struct table_row *rows;
    size_t count;
    bool all;
    bool from_feed; /* the feed or a list has answered */
    bool
        for_unscheduled; /* all rows of jobs that the owner did not schedule */
    uint64_t position;
};

/* owner -> intake: every row is wanted, as leadership begins. */
struct rows_requested {
    struct message base;
};

/* intake -> owner: the jobs that are shown as accepted and not ended; owner ->
 * intake: those of them that it does not schedule. */
struct job_ids {
    struct message base;
    char (*ids)[JOBS_ID_SIZE];
    size_t count;
};

/* owner -> intake: leadership has ended. */
struct leadership_ended {
    struct message base;
};

/* links -> owner: what an agent said. */
struct agent_inbound {
    struct message base;
    struct wire_msg *m;
};

/* owner -> links: what to say to an agent. */
struct agent_outbound {
    struct message base;
    char agent[NAME_SIZE];
    struct wire_msg *m;
};

/* links -> intake: a configuration that another entry has. */
struct peer_document {
    struct message base;
    uint64_t version;
    struct buf text;
};

/* links -> store: what another entry said of the store, and who. */
struct store_inbound {
    struct message base;
    struct link_peer from;
    struct wire_msg *m;
};

/* store -> links: a call to another entry (by its address), or an answer to
 * the one that asked. */
struct entry_outbound {
    struct message base;
    char address[NAME_SIZE]; /* "": an answer */
    struct link_peer to;
    struct wire_msg *m;
};

/* links -> store: the entry that reaches the store best; "": none. */
struct relay_entry {
    struct message base;
    char address[NAME_SIZE];
};

/* links -> intake: a row that another entry has written. */
struct row_written {
    struct message base;
    struct wire_row *row;
};

/* intake -> links: the entries that the store lists. */
struct entries_listed {
    struct message base;
    struct wire_list entries; /* struct wire_entry */
};

extern const struct message_kind Queue_CallKind;
extern const struct message_kind Queue_ConfigKind;
extern const struct message_kind Queue_RowsKind;
extern const struct message_kind Queue_RowsRequestedKind;
extern const struct message_kind Queue_UnfinishedKind;
extern const struct message_kind Queue_UnscheduledKind;
extern const struct message_kind Queue_LeadershipEndedKind;
extern const struct message_kind Queue_AgentInboundKind;
extern const struct message_kind Queue_AgentOutboundKind;
extern const struct message_kind Queue_DocumentKind;
extern const struct message_kind Queue_EntriesKind;
extern const struct message_kind Queue_StoreInboundKind;
extern const struct message_kind Queue_EntryOutboundKind;
extern const struct message_kind Queue_RelayEntryKind;
extern const struct message_kind Queue_OperatorTableKind;
extern const struct message_kind Queue_DelegationKind;
extern const struct message_kind Queue_EmptiedKind;
extern const struct message_kind Queue_RowWrittenKind;

#define TASK_INTAKE "intake"
#define TASK_OWNER "owner"
#define TASK_LINKS "queue-links"
#define TASK_STORE "store"

/* True for the value of a row that asks for something by being there: a stop/
 * row that cancels its job, or the emptying of a failure domain. */
bool Queue_IsJsonObject(const struct buf *value);

/* Posts when that task runs; frees m otherwise. */
void Queue_Post(struct kernel *k, const char *task, struct message *m,
                const struct message_kind *kind);

#ifdef __cplusplus
}
#endif

#endif
