/*
 * entry: the process that callers and operators speak to. Entries are equal
 * and keep nothing durable: the desired state is in the table service, the
 * facts of a worker are with its agent, and an entry caches both.
 *
 * Tasks, and the messages that they send each other:
 *
 *   links    owns the socket that agents connect to. Passes a message of an
 *            agent to the task that handles its type (struct inbound), and
 *            sends the messages of the tasks (struct outbound).
 *   members  which agents there are, by hello, heartbeat, leave and timeout.
 *            Sends changes (struct member_note) and loads (struct load_note)
 *            to other tasks, and sets the agents' heartbeat interval.
 *   config   the configuration in force (struct config_note).
 *   peers    the list of all entries (struct peers_note).
 *   front    the HTTP server; routes register themselves (Front_Register).
 *   dispatch requests: admission, routing, outcomes (entry-dispatch.c).
 *   why      the bounded log of decisions, by request or job.
 *   platform the connections to the table service and the object store.
 *   claims-sweep deletes the claims of keyed requests when they expire.
 *
 * A request with an Idempotency-Key claims a row of the table service before
 * it is sent to an agent, so that it runs once, however often it is sent and
 * to whichever entry (entry-claims.h, model/dispatch.pml). The entry never
 * repeats such a request, even if its class is repeatable.
 *
 * The rule for other requests is in agent.h: a request that is not repeatable
 * may be tried again, or answered with not_run, only after an agent has
 * reported that the attempt has not started.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "base.h"
#include "config.h"
#include "http.h"
#include "kernel.h"
#include "platform.h"
#include "policy.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- messages between the tasks ---------------------------------------- */

/* links -> other tasks: a message received from an agent. */
struct inbound {
    struct message base;
    struct link_peer peer;
    struct wire_msg *m;
};

/* other tasks -> links: a message to send to an agent. If it can't be sent and
 * reply_to is set, that task gets the message back as struct undelivered. */
struct outbound {
    struct message base;
    struct link_peer peer;
    struct task *reply_to;
    struct wire_msg *m;
};

/* links -> the sender of an outbound message: it has not been sent. */
struct undelivered {
    struct message base;
    int err; /* ERR_UNREACHABLE or ERR_BUSY */
    struct wire_msg *m;
};

enum member_change {
    MEMBER_JOINED,  /* new, or a new incarnation of a known one */
    MEMBER_CHANGED, /* its services or other facts have changed */
    /* The same incarnation, after silence or on a new connection. */
    MEMBER_RETURNED,
    MEMBER_LEAVING,
    MEMBER_SILENT, /* no message from it for too long */
    MEMBER_GONE    /* removed from this entry's list */
};

/* What this entry knows of an agent. */
struct member_facts {
    char name[NAME_SIZE];
    uint64_t incarnation;
    struct link_peer peer;
    char region[NAME_SIZE];
    char domain[NAME_SIZE];
    char rack[NAME_SIZE];
    int accelerators;
    bool leaving;
    /* Greatest known lower bound of the agent's clock minus this entry's
     * clock: the agent's clock now reads at least this entry's clock plus
     * this. */
    int64_t clock_offset;
    struct wire_list services; /* struct wire_service */
    struct wire_list parts;    /* struct wire_part, as of the last hello */
};

/* members -> subscribers: an agent has changed. */
struct member_note {
    struct message base;
    enum member_change change;
    struct member_facts facts;
};

/* members -> dispatch: the load of an agent's services, as of a heartbeat. */
struct load_note {
    struct message base;
    char name[NAME_SIZE];
    uint64_t incarnation;
    struct wire_list services; /* struct wire_service, with its busy slots */
    struct wire_list own;      /* uint64_t: of those, slots of this entry */
};

extern const struct message_kind Entry_Inbound;
extern const struct message_kind Entry_Outbound;
extern const struct message_kind Entry_Undelivered;
extern const struct message_kind Entry_Member;
extern const struct message_kind Entry_Load;

/* Sends m to an agent by the links task, which takes ownership of m. With
 * return_undelivered, m comes back to `from` as struct undelivered if it can't
 * be sent. */
void Entry_SendToAgent(struct task *from, const struct link_peer *peer,
                       struct wire_msg *m, bool return_undelivered);
const char *Entry_MemberChangeName(enum member_change change);

/* Subscribes a task to member_note. Call before the loop runs. */
void Members_Subscribe(struct kernel *k, const char *task);

/* The incarnation of this process. */
uint64_t Entry_Incarnation(void);

/* ---- configuration ----------------------------------------------------- */

/* One version of the configuration document, reference counted, shared by the
 * tasks and never changed. */
struct config_snapshot {
    uint64_t epoch;
    char hash[DIGEST_HEX_SIZE];
    struct config doc;
    struct buf text;
    int refs;
};

struct config_snapshot *ConfigSnapshot_Ref(struct config_snapshot *f);
void ConfigSnapshot_Unref(struct config_snapshot *f); /* f may be NULL */

/* config -> subscribers: another document is in force. */
struct config_note {
    struct message base;
    struct config_snapshot *active_config;
};

extern const struct message_kind Entry_Config;

/* Subscribes a task to config_note. Call before the loop runs. */
void Configs_Subscribe(struct kernel *k, const char *task);

/* Returns the name of the operator whose token the request carries, by the
 * document f. Returns NULL after it has refused the request: 503
 * no_configuration (f is NULL), 401 no_token, 403 not_an_operator. */
const char *Operators_Identify(const struct config_snapshot *f,
                               struct http_exchange *ex);

/* ---- feasibility of guarantees ----------------------------------------- */

struct cells_shape;

/* The cells of one guarantee that lie in one failure domain. */
struct feasible_share {
    const struct config_organisation *organisation;
    const struct config_guarantee *guarantee;
    const struct config_region *region;
    const struct config_domain *domain;
    int workers;      /* workers of one cell, as in struct cells_shape */
    int accelerators; /* accelerators of one cell, as in struct cells_shape */
    int cells;
};

/* Computes the cell shape of a guarantee's shape in a failure domain, and how
 * many cells make up one shape: "racks: 2" is two cells, each with as many
 * workers as the domain's largest rack has, as the workers of a cell lie in
 * one rack. Returns the number of cells, or 0, with the allowed values in
 * *allowed, if cells can't guarantee that shape. */
int Feasible_Shape(const struct config_domain *d, const struct shape *shape,
                   struct cells_shape *out, const char **allowed);
/* Divides all guarantees over the failure domains, so that each domain can
 * hold all of its own at once (checked by Cells_CheckGuarantees on a struct
 * cells for each domain). The same document gives the same division in every
 * entry. A document that it accepts is feasible. As it doesn't backtrack, it
 * may refuse a document that a search would accept, if guarantees that name no
 * failure domain fill the domains to the last worker. Returns the shares,
 * which the caller frees, and adds each guarantee that doesn't fit to errors,
 * with line and key. */
struct feasible_share *Feasible_Divide(const struct config *c, size_t *count,
                                       struct conf_errors *errors);
/* Reports only the errors of Feasible_Divide, for Config_SetCheck. */
void Feasible_Check(const struct config *c, struct conf_errors *errors);

/* ---- the platform's services -------------------------------------------- */

/* The one connection of this process to the table service and to the object
 * store, each with one budget of calls for all tasks; NULL if the settings
 * name none. Tasks may call these only in their start function. */
struct table *Entry_Table(struct kernel *k);
struct objects *Entry_Objects(struct kernel *k);

/* ---- requests ---------------------------------------------------------- */

#define KEY_SIZE 256 /* bytes of an Idempotency-Key, NUL included */

/* requests -> dispatch: an authorised request of a caller. */
struct offer {
    struct message base;
    struct http_exchange *ex;
    struct id id;
    char service[NAME_SIZE];
    char organisation[NAME_SIZE];
    char caller[NAME_SIZE]; /* "": the organisation is one caller */
    char class_name[NAME_SIZE];
    int weight; /* share of the organisation; 100 is the default */
    enum priority priority;
    bool repeatable;
    int queue_max; /* queue limit of the service; 0: default */
    bool hedge;    /* the service allows hedged attempts */
    int64_t cost_hint_ms;
    int64_t timeout_ms;       /* from now to the deadline */
    char key[KEY_SIZE];       /* Idempotency-Key; "": none */
    bool keyed_without_table; /* if the table is down, run without a claim */
    char content_type[WIRE_TEXT_SIZE];
    struct buf body;
};

extern const struct message_kind Entry_Offer;

/* ---- other entries ----------------------------------------------------- */

/* An entry, as its row of the table "entries" describes it. */
struct peer_entry {
    char name[NAME_SIZE];
    char region[NAME_SIZE];
    char links[NAME_SIZE]; /* "ip:port" that agents connect to */
    char http[NAME_SIZE];  /* "ip:port" of its HTTP server */
    uint64_t incarnation;
};

/* peers -> subscribers: all entries, this one included. */
struct peers_note {
    struct message base;
    struct peer_entry *entries;
    size_t count;
};

extern const struct message_kind Entry_Peers;

/* Subscribes a task to peers_note. Call before the loop runs. "members" is
 * always subscribed. */
void Peers_Subscribe(struct kernel *k, const char *task);

/* ---- why --------------------------------------------------------------- */

/* Sets the organisation that a request or job belongs to: that organisation
 * and the operators may read its decisions. Call before the first Why_Record;
 * without it only operators may read them. */
void Why_Open(struct kernel *k, const struct id *id, const char *organisation);
/* Records a decision when it is made, with all the inputs that it depends on;
 * takes ownership of inputs (NULL: none). The log is bounded: the oldest
 * records are dropped and counted. GET /v1/why/{id} of any entry returns the
 * records. */
void Why_Record(struct kernel *k, const struct id *subject,
                const char *decision, const char *reason, json_t *inputs);
/* Pack the inputs of policy decisions as JSON and unpack them, so that a
 * recorded decision can be judged again. Unpacking returns ERR_OK, or
 * ERR_INVALID if a field is missing or of another type. */
json_t *Why_PackAdmission(const struct admission_inputs *in);
int Why_UnpackAdmission(const json_t *o, struct admission_inputs *out);
json_t *Why_PackRoute(const struct route_inputs *in);
int Why_UnpackRoute(const json_t *o, struct route_inputs *out);
json_t *Why_PackRetry(const struct retry_inputs *in);
int Why_UnpackRetry(const json_t *o, struct retry_inputs *out);

/* ---- front ------------------------------------------------------------- */

/* A path that the HTTP server serves. A "*" stands for one segment of the
 * path. A request is passed to the named task as a struct http_note, so that
 * the handler runs in the task that owns the state. */
struct front_route {
    const char *method;
    const char *path;
    const char *task;
    /* Must cause exactly one Http_Reply, now or later. segment is the part of
     * the path that "*" matched, or "". */
    void (*handle)(struct task *t, struct http_exchange *ex,
                   const char *segment);
    SLIST_ENTRY(front_route) entry;
};

/* front -> the task of a route: a request for it. The task's receive function
 * passes it to Front_Handle. */
struct http_note {
    struct message base;
    const struct front_route *route;
    struct http_exchange *ex;
    char segment[WIRE_TEXT_SIZE];
};

extern const struct message_kind Entry_Http;

/* Calls the route's handler if m is an http_note. Returns false if not. */
bool Front_Handle(struct task *t, struct message *m);
/* The bearer token of a request, or NULL. */
const char *Requests_Token(const struct http_exchange *ex);
void Front_Register(struct front_route *route);
#define FRONT_ROUTE(var)                                                      \
    __attribute__((constructor)) static void register_##var(void)             \
    {                                                                         \
        Front_Register(&(var));                                               \
    }

/* Replies with JSON; takes ownership of value. */
void Front_ReplyJson(struct http_exchange *ex, int status, json_t *value);
/* Replies with the refusal that all paths share: {outcome, reason, detail,
 * retry_after_ms, request_id}, with Retry-After if retry_after_ms is not
 * negative. */
void Front_Refuse(struct http_exchange *ex, int status, const char *outcome,
                  const char *reason, const char *detail,
                  int64_t retry_after_ms, const struct id *request);
/* ---- overview ---------------------------------------------------------- */

/* A part of GET /v1/overview; console.h describes the document. Parts run in
 * the order of rank, and each reads the state of its own task. A later part
 * may complete what an earlier one has added: organisations get "name" and
 * "guaranteed" from the configuration, and "used" and "lent" from the jobs
 * that run. */
struct overview_part {
    int rank; /* 0 to 9 belong to entry-overview.c */
    void (*fill)(struct kernel *k, const struct config *doc, json_t *view);
    SLIST_ENTRY(overview_part) entry;
};

void Overview_Register(struct overview_part *part);
#define OVERVIEW_PART(var)                                                    \
    __attribute__((constructor)) static void register_##var(void)             \
    {                                                                         \
        Overview_Register(&(var));                                            \
    }

/* The HTTP port and the "ip:port" for agents that this process really listens
 * on, also where the settings ask for port 0. */
int Front_Port(struct kernel *k);
const char *Links_Address(struct kernel *k);

#ifdef __cplusplus
}
#endif

#endif
