/*
 * queue: the part of a hosted entry that accepts and schedules jobs of steps
 * on a platform with a transactional store. All entries are equal, and each
 * holds only a cache of the store.
 *
 * Tasks of the process, and what they exchange:
 *
 *   intake  follows the store's tables (jobs, configuration, entries) and
 *           serves callers: submit, query, cancel, count. A job is accepted
 *           once its row is stored.
 *   owner   runs the scheduler (jobs.h), writes progress rows and sends orders
 *           to agents. It is active in one entry only, the one that the owner
 *           row names; that row is taken by a conditional write.
 *   links   listens for agents and other entries, and connects to some of the
 *           other entries, above all the coordinators (members.h). Entries
 * send each other configuration changes; an entry that reads large
 * configurations slowly from the store delegates that reading to other entries
 * (queue-sources.h). store   holds the connection to the store. While the
 * store refuses calls from this machine, it relays them through another entry.
 *
 * Rows of the own table, all in one partition, so that one transaction can
 * check the owner row and write the owner's decisions:
 *
 *   owner      the current owner: name, incarnation, term
 *   beat       heartbeat, rewritten by the owner
 *   spec/ID    an accepted job; written by the entry that accepted it, and
 *              again only to repair it
 *   stop/ID    a request to cancel the job, which is not accepted after it;
 *              without a job, deleted after a minute
 *   run/ID     progress of the job; written by the owner only
 *   refused/ID the job was refused, so no earlier try to accept it may
 *              succeed; deleted when it is accepted after all, or after a
 *              minute
 *   entry/NAME an entry, the address where its links listen, and what its
 *              machine has; written at its start and when it differs
 */
#ifndef QUEUE_H
#define QUEUE_H

#include "base.h"
#include "config.h"
#include "entry.h"
#include "jobs.h"
#include "kernel.h"
#include "members.h"
#include "platform.h"
#include "queue-emptied.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- platform ------------------------------------------------------- */

/* Callback of an adviser. err: the adviser did not answer, and the question
 * may be repeated. Tickets of the approvals are valid for validity_ms. */
typedef void (*advised)(void *arg, int err,
                        const struct jobs_approval *approvals, size_t count,
                        int64_t validity_ms);

struct adviser;

struct adviser_ops {
    /* Asks which workers may run a step. The adviser copies what it needs of
     * q. */
    void (*ask)(struct adviser *, const struct jobs_question *q, advised done,
                void *arg);
    void (*free)(struct adviser *);
};

struct adviser {
    const struct adviser_ops *ops;
};

/* What a platform provides. Static; never freed. */
struct queue_platform {
    struct table *(*open_store)(struct ev_loop *,
                                const struct hosted_settings *);
    struct adviser *(*open_adviser)(struct ev_loop *,
                                    const struct hosted_settings *);
    /* Parses a configuration document. ERR_OK, or ERR_INVALID with the reason
     * in why; the caller clears out. */
    int (*read_config)(const char *text, size_t len, struct jobs_config *out,
                       char why[128]);
    const char *config_table; /* the operator table, written by operators */
    const char *config_key;
    /* Key prefix of the rows of the operator table that ask for a failure
     * domain to be emptied. */
    const char *emptied_prefix;
    const char *own_table;
};

/* Registers the platform; called before main() by the adapter that is linked
 * in. */
void Queue_SetPlatform(const struct queue_platform *platform);
const struct queue_platform *Queue_Platform(void);
/* The store as all tasks of this process call it: over its own connection, or
 * through another entry while the store refuses that connection
 * (queue-relay.c). */
struct table *Queue_Store(struct kernel *k);
/* True while calls fail both on the own connection and through other entries.
 * Calls of callers are then refused at once, before anything is sent. */
bool Queue_StoreUnreachable(struct kernel *k);
/* Milliseconds since the store last answered on the own connection of this
 * process; -1: never. */
int64_t Queue_StoreAge(struct kernel *k);
/* Milliseconds since the last message of that entry on a link that this
 * process opened to it; -1: none yet. */
int64_t Queue_PeerAge(struct kernel *k, const char *name);
/* The role of an entry, as far as it knows. */
enum queue_role {
    /* Entries that started together with it may not be listed yet. */
    ROLE_UNKNOWN,
    ROLE_ORDINARY,
    ROLE_COORDINATOR
};

enum queue_role Queue_Role(struct kernel *k);
/* The highest term of an owner that this entry knows; 0: none. */
uint64_t Queue_OwnerTerm(struct kernel *k);
/* A random number that distinguishes this process from earlier ones of its
 * name. */
uint64_t Queue_Incarnation(void);

/* ---- callers -------------------------------------------------------- */

enum queue_verb { QUEUE_SUBMIT, QUEUE_QUERY, QUEUE_CANCEL };

enum queue_outcome {
    QUEUE_OK,       /* submitted or cancelled; of a query: state is set */
    QUEUE_WAITING,  /* a query of the queue: waiting is set */
    QUEUE_NO_QUEUE, /* no such queue */
    QUEUE_NO_KEY,   /* no key, or an unknown one */
    QUEUE_NO_JOB,   /* no such job */
    QUEUE_INVALID,  /* the request is malformed; reason says how */
    /* Nothing was stored and nothing will be; the caller may retry after
     * retry_ms. */
    QUEUE_RETRY_LATER,
    /* As QUEUE_RETRY_LATER, and no earlier try of the same submission will be
     * stored either: by the forecast, the job would end too late. */
    QUEUE_NO_CAPACITY,
    /* As QUEUE_NO_CAPACITY: the job was cancelled before it was submitted. */
    QUEUE_CANCELLED,
    /* The write may have taken effect, or may do so later. */
    QUEUE_UNKNOWN
};

/* A caller's request, as a message to the intake and with its result. */
struct queue_call {
    struct message base;
    enum queue_verb verb;
    char queue[NAME_SIZE]; /* name of the queue; "": found by host and path */
    char *host;
    char *path;
    /* Id of the job where the queue is named or looked up by job; "" where the
     * path holds it. */
    char job[JOBS_ID_SIZE];
    char *key; /* bearer token; "": none */
    /* Of a submit; the intake sets id, queue, terms and organisation. */
    struct jobs_spec spec;
    int64_t started_ms;
    int64_t deadline_ms; /* how long the caller waits; 0: not stated */
    /* Result, valid in done(). */
    enum queue_outcome outcome;
    enum jobs_state state;
    int64_t waiting;
    int64_t retry_ms;
    const char *reason;
    bool caller_left; /* the caller disconnected before the answer */
    /* Called once with the result; the call is freed after it returns. */
    void (*done)(struct queue_call *);
    /* True when the caller has disconnected. NULL: unknown. */
    bool (*has_left)(const struct queue_call *);
    void *arg;
};

struct queue_call *QueueCall_New(enum queue_verb verb);
/* Moves the content of a call into a new one; the old one can only be freed.
 */
struct queue_call *QueueCall_Move(struct queue_call *from);
/* Sets host, path or key of a call to a copy of text. */
void QueueCall_SetText(char **field, const char *text);
/* Posts a call to the intake, which frees it after done(). */
void Queue_Call(struct kernel *k, struct queue_call *call);

/* True when this entry can serve callers: it has a configuration, has listed
 * its own table and is not draining. */
bool Queue_Ready(struct kernel *k);

/* ---- counters ------------------------------------------------------- */

/* Counts a scheduler event by its kind and reason, and observes job times. */
void QueueMetrics_Event(const struct jobs_event *e);
/* Observes the duration of a caller's call, by its outcome. */
void QueueMetrics_Call(enum queue_outcome outcome, int64_t ms);

/* ---- messages between the tasks ------------------------------------- */

/* A parsed configuration, shared by reference and never modified. */
struct queue_config {
    struct jobs_config jobs;
    int refs;
};

struct queue_config *QueueConfig_Ref(struct queue_config *c);
void QueueConfig_Unref(struct queue_config *c);

/* intake -> owner, links: a new configuration is in force. text: the document
 * as read; set for the links only. */
struct config_changed {
    struct message base;
    struct queue_config *config;
    struct buf text;
};

/* intake -> links: progress of reading the operator table. Times are of this
 * process's clock. */
struct operator_table_status {
    struct message base;
    uint64_t position;   /* all changes up to this position are known */
    int64_t answered_ms; /* last answer; 0: the store does not answer */
    int64_t slow_ms;     /* last slow read of a large document; 0: none */
};

/* links -> intake: whether reading the operator table is delegated to other
 * entries. They report that up to this position there is no configuration
 * newer than this version. */
struct delegation {
    struct message base;
    bool delegated;
    uint64_t version;
    uint64_t position;
};

/* intake -> owner, links: the failure domains that are emptied; links ->
 * intake: those that another entry reported. */
struct emptied_reported {
    struct message base;
    struct emptied_domains emptied;
};

/* intake -> owner: changed rows of the own table; version 0: the row was
 * deleted. */
struct rows_changed {
    struct message base;
    struct table_row *rows;
    size_t count;
    bool all;       /* every row there is, for struct rows_requested */
    bool from_feed; /* from the feed or a list, so position is valid */
    /* All rows of the jobs that the owner listed in a struct job_ids. */
    bool for_unscheduled;
    uint64_t position;
};

/* owner -> intake: a new owner requests all rows. */
struct rows_requested {
    struct message base;
};

/* intake -> owner: jobs that are accepted and not ended, by the cache; owner
 * -> intake: those of them that the scheduler does not have. */
struct job_ids {
    struct message base;
    char (*ids)[JOBS_ID_SIZE];
    size_t count;
};

/* owner -> intake: this entry is no longer the owner. */
struct leadership_ended {
    struct message base;
};

/* links -> owner: a message from an agent. */
struct agent_inbound {
    struct message base;
    struct wire_msg *m;
};

/* owner -> links: a message to send to an agent. */
struct agent_outbound {
    struct message base;
    char agent[NAME_SIZE];
    struct wire_msg *m;
};

/* links -> intake: a configuration document received from another entry. */
struct peer_document {
    struct message base;
    uint64_t version;
    struct buf text;
};

/* links -> store: a relayed store call from another entry, or the answer to
 * one that this entry relayed. */
struct store_inbound {
    struct message base;
    struct link_peer from;
    struct wire_msg *m;
};

/* intake, store -> links: a message to another entry, either to its address or
 * as the answer to a received message. */
struct entry_outbound {
    struct message base;
    char address[NAME_SIZE]; /* "": an answer, sent to `to` */
    struct link_peer to;
    struct wire_msg *m;
};

/* links -> store: the entry to relay store calls through; "": none. */
struct relay_entry {
    struct message base;
    char address[NAME_SIZE];
};

/* links -> intake: a row of a job that another entry has written. */
struct row_written {
    struct message base;
    struct wire_row *row;
};

/* owner -> links, intake; links -> intake: the owner's forecast. */
struct forecast_made {
    struct message base;
    struct wire_forecast *m;
};

/* intake -> links: the entries that the store lists. */
struct entries_listed {
    struct message base;
    struct member *members;
    size_t count;
    char owner[NAME_SIZE]; /* "": none, or not known */
    /* All entries that started together with this one are listed. */
    bool settled;
};

/* Reads the row of an entry, with its key. ERR_OK, or ERR_INVALID (counted and
 * logged) for a row of another writer that no entry has written. */
int EntryRow_Read(const char *key, const struct buf *value, struct member *out,
                  uint64_t *incarnation);

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
extern const struct message_kind Queue_ForecastKind;

#define TASK_INTAKE "intake"
#define TASK_OWNER "owner"
#define TASK_LINKS "queue-links"
#define TASK_STORE "store"

/* True if value is a JSON object. A stop/ row, or one that empties a failure
 * domain, takes effect only with such a value. */
bool Queue_IsJsonObject(const struct buf *value);

/* Posts m to the task of that name, or frees m when the process has no such
 * task. */
void Queue_Post(struct kernel *k, const char *task, struct message *m,
                const struct message_kind *kind);

#ifdef __cplusplus
}
#endif

#endif
