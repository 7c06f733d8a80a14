/*
 * entry: the process that callers and operators speak to. Entries are equal
 * and keep nothing durable: intent lives in the table service, the facts of a
 * worker with its agent, and an entry is a cache of both.
 *
 * Tasks, and what they tell each other:
 *
 *   links    owns the socket that agents connect to. Hands what agents say to
 *            the task that it concerns (struct inbound) and sends what the
 *            tasks answer (struct outbound).
 *   members  which agents there are, by hello, heartbeat, leave and silence.
 *            Tells the others of changes (struct member_note) and loads
 *            (struct load_note), and sets the agents' heartbeat interval.
 *   config   the configuration in force (struct config_note).
 *   front    the HTTP server; routes register themselves (Front_Register).
 *   dispatch requests: admission, routing, outcomes (entry-dispatch.c).
 *   why      the bounded record of decisions, by request or job.
 *   platform the connections to the table service and the object store.
 *   claims-sweep deletes claims of keyed requests after their time.
 *
 * A request with an Idempotency-Key claims a row of the table service before
 * anything is sent, so that it runs once however often, and at whichever
 * entry, it is asked for (entry-claims.h, model/dispatch.pml). It is never
 * repeated by itself, also where its class may be.
 *
 * The rule for requests is told in agent.h: only an agent's word that an
 * attempt has not started permits another one, or a not_run, for a request
 * that may not be repeated.
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

/* links -> others: what an agent said. */
struct inbound {
    struct message base;
    struct link_peer peer;
    struct wire_msg *m;
};

/* others -> links: what to say. When it can't be handed over and reply_to is
 * set, that task gets it back as struct undelivered: it was not sent. */
struct outbound {
    struct message base;
    struct link_peer peer;
    struct task *reply_to;
    struct wire_msg *m;
};

struct undelivered {
    struct message base;
    int err; /* ERR_UNREACHABLE or ERR_BUSY */
    struct wire_msg *m;
};

enum member_change {
    MEMBER_JOINED,   /* new, or a new incarnation of a known one */
    MEMBER_CHANGED,  /* its services or facts are other ones */
    MEMBER_RETURNED, /* the same incarnation on a new connection */
    MEMBER_LEAVING,
    MEMBER_SILENT, /* nothing heard for too long */
    MEMBER_GONE    /* forgotten */
};

/* An agent as it is known. */
struct member_facts {
    char name[NAME_SIZE];
    uint64_t incarnation;
    struct link_peer peer;
    char region[NAME_SIZE];
    char domain[NAME_SIZE];
    char rack[NAME_SIZE];
    int accelerators;
    bool leaving;
    /* Agent clock minus our clock, at most: what the agent's clock reads now
     * is not less than our clock plus this. */
    int64_t clock_offset;
    struct wire_list services; /* struct wire_service */
    struct wire_list parts;    /* struct wire_part; as of the last hello */
};

/* members -> others. */
struct member_note {
    struct message base;
    enum member_change change;
    struct member_facts facts;
};

/* members -> dispatch: load of a member's services. */
struct load_note {
    struct message base;
    char name[NAME_SIZE];
    uint64_t incarnation;
    struct wire_list services; /* struct wire_service, busy as of now */
    struct wire_list own;      /* uint64: of those, for this entry */
};

extern const struct message_kind Entry_Inbound;
extern const struct message_kind Entry_Outbound;
extern const struct message_kind Entry_Undelivered;
extern const struct message_kind Entry_Member;
extern const struct message_kind Entry_Load;

/* Posts m to the links task for that agent; takes m. */
void Entry_SendToAgent(struct task *from, const struct link_peer *peer,
                       struct wire_msg *m, bool return_undelivered);
const char *Entry_MemberChangeName(enum member_change change);

/* Tasks that want member notes say so before the loop runs. */
void Members_Subscribe(struct kernel *k, const char *task);

/* The incarnation of this process. */
uint64_t Entry_Incarnation(void);

/* ---- configuration ----------------------------------------------------- */

/* The document in force, shared by the tasks and never changed. */
struct config_snapshot {
    uint64_t epoch;
    char hash[DIGEST_HEX_SIZE];
    struct config doc;
    struct buf text;
    int refs;
};

struct config_snapshot *ConfigSnapshot_Ref(struct config_snapshot *f);
void ConfigSnapshot_Unref(struct config_snapshot *f); /* NULL is fine */

/* config -> others: another document is in force. */
struct config_note {
    struct message base;
    struct config_snapshot *active_config;
};

extern const struct message_kind Entry_Config;

/* Tasks that want config notes say so before the loop runs. */
void Configs_Subscribe(struct kernel *k, const char *task);

/* Who asks, when it is an operator of that document. NULL after a refusal:
 * 503 no_configuration (f is NULL), 401 no_token, 403 not_an_operator. */
const char *Operators_Identify(const struct config_snapshot *f,
                               struct http_exchange *ex);

/* ---- feasibility of guarantees ----------------------------------------- */

struct cells_shape;

/* Cells that one failure domain holds for one guarantee. */
struct feasible_share {
    const struct config_organisation *organisation;
    const struct config_guarantee *guarantee;
    const struct config_region *region;
    const struct config_domain *domain;
    int workers;      /* of a cell's shape, as of struct cells_shape */
    int accelerators; /* likewise */
    int cells;
};

/* The cell that a guarantee's shape is in a failure domain, and how many of
 * them one shape takes: "racks: 2" is two cells, each as many workers as the
 * domain's largest rack has. Workers lie in one rack. Returns the number of
 * cells, or 0 with what is allowed when cells can't promise that shape. */
int Feasible_Shape(const struct config_domain *d, const struct shape *shape,
                   struct cells_shape *out, const char **allowed);
/* Divides all guarantees over the failure domains, so that each domain can
 * hold all of its own at once (Cells_Check of one account for each domain).
 * The same document gives the same division everywhere. What it accepts is
 * feasible; as it never takes back a choice, it may refuse a document that a
 * search would accept, where guarantees without a failure domain fill the
 * domains to the last worker. Returns the shares (to be freed) and adds what
 * found no place to errors, with line and key. */
struct feasible_share *Feasible_Divide(const struct config *c, size_t *count,
                                       struct conf_errors *errors);
/* As above, for Config_SetCheck. */
void Feasible_Check(const struct config *c, struct conf_errors *errors);

/* ---- the platform's services -------------------------------------------- */

/* The one connection of this process to each, with one budget for all its
 * tasks; NULL when the settings name none. Tasks ask for them when they
 * start, and not after. */
struct table *Entry_Table(struct kernel *k);
struct objects *Entry_Objects(struct kernel *k);

/* ---- requests ---------------------------------------------------------- */

#define KEY_SIZE                                                              \
    256 /* bytes of an Idempotency-Key, the final NUL included                \
         */

/* requests -> dispatch: a request that its organisation may make. */
struct offer {
    struct message base;
    struct http_exchange *ex;
    struct id id;
    char service[NAME_SIZE];
    char organisation[NAME_SIZE];
    char caller[NAME_SIZE]; /* "" : the organisation is one caller */
    char class_name[NAME_SIZE];
    int weight; /* of the organisation; 100 is usual */
    enum priority priority;
    bool repeatable;
    int queue_max; /* of the service; 0: default */
    bool hedge;    /* of the service */
    int64_t cost_hint_ms;
    int64_t timeout_ms;       /* from now to the deadline */
    char key[KEY_SIZE];       /* Idempotency-Key; "": none */
    bool keyed_without_table; /* its class serves it without a claim */
    char content_type[WIRE_TEXT_SIZE];
    struct buf body;
};

extern const struct message_kind Entry_Offer;

/* ---- other entries ----------------------------------------------------- */

/* Entries as the table service and the settings list them. */
struct peer_entry {
    char name[NAME_SIZE];
    char region[NAME_SIZE];
    char links[NAME_SIZE]; /* "ip:port" */
    char http[NAME_SIZE];  /* "ip:port" */
    uint64_t incarnation;
};

/* peers -> members, why, jobs: the whole list, this entry included. */
struct peers_note {
    struct message base;
    struct peer_entry *entries;
    size_t count;
};

extern const struct message_kind Entry_Peers;

/* Tasks that want peers notes say so before the loop runs. "members" has one
 * subscription from the start. */
void Peers_Subscribe(struct kernel *k, const char *task);

/* ---- why --------------------------------------------------------------- */

/* Says whose a request or a job is: its record is seen by that organisation
 * and by operators. Before the first Why_Record; an unopened one is seen by
 * operators alone. */
void Why_Open(struct kernel *k, const struct id *id, const char *organisation);
/* Records a decision at the moment when it falls, with all the inputs that
 * decided it; takes inputs (NULL: none). The record is bounded: the oldest
 * give way and are counted. GET /v1/why/{id} tells it, from any entry. */
void Why_Record(struct kernel *k, const struct id *subject,
                const char *decision, const char *reason, json_t *inputs);
/* Inputs of the decisions of policy as JSON, and back, so that a recorded
 * decision can be judged again. ERR_OK, or ERR_INVALID when a field is
 * missing or of another type. */
json_t *Why_PackAdmission(const struct admission_inputs *in);
int Why_UnpackAdmission(const json_t *o, struct admission_inputs *out);
json_t *Why_PackRoute(const struct route_inputs *in);
int Why_UnpackRoute(const json_t *o, struct route_inputs *out);
json_t *Why_PackRetry(const struct retry_inputs *in);
int Why_UnpackRetry(const json_t *o, struct retry_inputs *out);

/* ---- front ------------------------------------------------------------- */

/* A path that the front serves. A "*" stands for one segment of the path.
 * Requests are handed to the named task as a struct http_note, so that the
 * handler runs where the state is. */
struct front_route {
    const char *method;
    const char *path;
    const char *task;
    /* Leads to one Http_Reply. segment is what "*" stands for, or "". */
    void (*handle)(struct task *t, struct http_exchange *ex,
                   const char *segment);
    SLIST_ENTRY(front_route) entry;
};

/* front -> the task of a route, whose receive passes it to Front_Handle. */
struct http_note {
    struct message base;
    const struct front_route *route;
    struct http_exchange *ex;
    char segment[WIRE_TEXT_SIZE];
};

extern const struct message_kind Entry_Http;

/* Calls the route's handler when m is an http_note. False when it isn't. */
bool Front_Handle(struct task *t, struct message *m);
/* The bearer token of a request, or NULL. */
const char *Requests_Token(const struct http_exchange *ex);
void Front_Register(struct front_route *route);
#define FRONT_ROUTE(var)                                                      \
    __attribute__((constructor)) static void register_##var(void)             \
    {                                                                         \
        Front_Register(&(var));                                               \
    }

/* Replies with JSON and drops the value. */
void Front_ReplyJson(struct http_exchange *ex, int status, json_t *value);
/* The refusal that every path gives: {outcome, reason, detail,
 * retry_after_ms, request_id}, with Retry-After when there is a time. */
void Front_Refuse(struct http_exchange *ex, int status, const char *outcome,
                  const char *reason, const char *detail,
                  int64_t retry_after_ms, const struct id *request);
/* ---- overview ---------------------------------------------------------- */

/* A part of GET /v1/overview, whose shape console.h gives. Parts are filled
 * in order of their rank, each by reading its own task's state; a later one
 * may complete what an earlier one has put in (organisations have "name" and
 * "guaranteed" from the document; "used" and "lent" are whose jobs run). */
struct overview_part {
    int rank; /* 0..9 belong to entry-overview.c */
    void (*fill)(struct kernel *k, const struct config *doc, json_t *view);
    SLIST_ENTRY(overview_part) entry;
};

void Overview_Register(struct overview_part *part);
#define OVERVIEW_PART(var)                                                    \
    __attribute__((constructor)) static void register_##var(void)             \
    {                                                                         \
        Overview_Register(&(var));                                            \
    }

/* Ports that were got. */
int Front_Port(struct kernel *k);
const char *Links_Address(struct kernel *k);

#ifdef __cplusplus
}
#endif

#endif
