/*
 * wire: the messages between the system's own processes, their codec
 * (msgpack) and the links that carry them (ZeroMQ over TCP).
 *
 * Agents connect, entries listen. A message is a plain struct that starts
 * with struct wire_msg; a table of fields per type drives the codec, so that a
 * single loop handles all untrusted input. Fields may be added at the end of a
 * message: a reader ignores fields that it doesn't know. Fields that were
 * added while older senders were in use are optional and stay empty when
 * missing; a message that lacks any other field is refused.
 *
 * Times in messages are either durations in milliseconds, or readings of the
 * clock of the agent named in the message ("agent clock"); no message holds a
 * reading of the sender's clock for another process to compare with its own.
 */
#ifndef WIRE_H
#define WIRE_H

#include "base.h"

#include <ev.h>

#ifdef __cplusplus
extern "C" {
#endif

#define WIRE_VERSION 1
#define WIRE_TEXT_SIZE 256
/* Largest message that a link accepts, in bytes; a peer that sends a larger
 * one is disconnected. */
#define WIRE_MAX_BYTES ((size_t)20 << 20)

enum wire_type {
    WIRE_HELLO = 1,    /* agent: its name, location, services and parts */
    WIRE_HEARTBEAT,    /* agent: it is alive; its load */
    WIRE_WELCOME,      /* entry: answers a hello or heartbeat; its entries */
    WIRE_LEAVE,        /* agent: it accepts no new work */
    WIRE_DISPATCH,     /* entry: run a request */
    WIRE_TAKEN,        /* agent: request accepted, or refused without a run */
    WIRE_ANSWER,       /* agent: the outcome of a request */
    WIRE_SETTLED,      /* entry: it has the answer, the agent may drop it */
    WIRE_WITHDRAW,     /* entry: don't start a request any more */
    WIRE_WITHDRAWN,    /* agent: whether the request had started */
    WIRE_PREPARE,      /* owner: reserve accelerators for a gang */
    WIRE_PREPARED,     /* agent: whether they are reserved */
    WIRE_RELEASE,      /* owner: start a prepared gang */
    WIRE_TASK,         /* agent: a part changed its state */
    WIRE_PULSE,        /* agent to the gangs' renewer: parts that work */
    WIRE_RENEW,        /* renewer: renews the leases of complete gangs */
    WIRE_STOP,         /* owner: stop, throttle or checkpoint */
    WIRE_FENCE,        /* owner: no attempt up to this one may run any more */
    WIRE_FENCED,       /* agent: whether the fenced attempts have stopped */
    WIRE_BIND,         /* owner: organisations that own a worker's cells */
    WIRE_REPORT,       /* agent to entries: state of its worker */
    WIRE_HAIL,         /* entry: acknowledges a message; its entries */
    WIRE_ORDERS,       /* owner to agent: lease, stored ends, starts, stops */
    WIRE_REFUSED,      /* agent to owner: the worker refused a start */
    WIRE_PEER,         /* entry to entry: alive, configuration version */
    WIRE_DOCUMENT,     /* entry to entry: the text of a configuration */
    WIRE_STORE_CALL,   /* entry to entry: relay a call to the store */
    WIRE_STORE_ANSWER, /* entry to entry: the store's response to it */
    WIRE_READER,       /* entry to entry: progress in the operators' table */
    WIRE_ROW,          /* entry to owner: a row of a job that it has written */
    WIRE_FORECAST,     /* owner to entries: how long new jobs will wait */
    WIRE_TYPE_LAST
};

/* First member of every message. */
struct wire_msg {
    enum wire_type type;
};

struct wire_list {
    void *items;
    size_t count;
};

/* An upstream of the agent. */
struct wire_service {
    char name[NAME_SIZE];
    uint64_t slots;
    uint64_t connections;
    uint64_t busy;    /* slots in use */
    uint64_t healthy; /* 0: the upstream is leaving */
};

/* A part of a gang: its tasks on one agent's worker. */
struct wire_part {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t state;        /* enum part_state */
    uint64_t accelerators; /* bits */
};

struct wire_hello {
    struct wire_msg msg;
    char agent[NAME_SIZE];
    uint64_t incarnation;
    char region[NAME_SIZE];
    char domain[NAME_SIZE];
    char rack[NAME_SIZE];
    uint64_t accelerators;
    int64_t agent_clock;
    uint64_t leaving;
    struct wire_list services; /* struct wire_service */
    struct wire_list parts;    /* struct wire_part */
};

struct wire_heartbeat {
    struct wire_msg msg;
    uint64_t incarnation;
    uint64_t seq;
    int64_t agent_clock;
    uint64_t leaving;
    struct wire_list busy; /* uint64: busy slots, in the hello's order */
    struct wire_list own;  /* uint64: those used by the receiving entry */
};

/* One entry that agents may connect to. */
struct wire_entry {
    char name[NAME_SIZE];
    char address[NAME_SIZE]; /* "ip:port" of its links */
    char region[NAME_SIZE];
};

struct wire_welcome {
    struct wire_msg msg;
    char entry[NAME_SIZE];
    uint64_t incarnation; /* of the entry */
    uint64_t seq;         /* of the heartbeat answered; 0 for a hello */
    int64_t heartbeat_ms; /* interval while the agent is idle */
    uint64_t draining;
    uint64_t known;           /* 0: agent unknown, it must send a hello */
    struct wire_list entries; /* struct wire_entry */
};

struct wire_leave {
    struct wire_msg msg;
    uint64_t incarnation;
};

/* Work is identified by the request, the attempt, and the incarnation of the
 * agent that it was sent to. not_after is on the agent's clock: from then on
 * the attempt may not start, however late copies of the message arrive, so
 * that fences need not be kept longer. */
struct wire_dispatch {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
    uint64_t incarnation;
    int64_t not_after;
    int64_t timeout_ms; /* for the upstream */
    uint64_t repeatable;
    char service[NAME_SIZE];
    char content_type[WIRE_TEXT_SIZE];
    struct buf body;
};

struct wire_taken {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
    uint64_t taken;         /* 0: refused, has not run and will not run */
    int64_t retry_after_ms; /* when refused */
    char reason[NAME_SIZE];
};

enum answer_kind {
    ANSWER_COMPLETE, /* the upstream's complete response */
    ANSWER_NOT_RUN,  /* the request was not sent to the upstream */
    ANSWER_UNKNOWN   /* the request was sent; the response is lost or broken */
};

struct wire_answer {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
    uint64_t kind; /* enum answer_kind */
    uint64_t status;
    int64_t service_ms; /* time the upstream took */
    char reason[NAME_SIZE];
    char content_type[WIRE_TEXT_SIZE];
    struct buf body;
};

struct wire_settled {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
};

struct wire_withdraw {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
    uint64_t incarnation;
    int64_t not_after;
};

enum withdraw_verdict {
    WITHDRAW_NOT_STARTED, /* the attempt has not started and won't start */
    WITHDRAW_STARTED,     /* it runs or has run: its answer follows */
    /* The attempt was sent to another incarnation, and may have run there. */
    WITHDRAW_OTHER_INCARNATION
};

struct wire_withdrawn {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
    uint64_t verdict; /* enum withdraw_verdict */
};

enum part_state {
    PART_RESERVED, /* holds accelerators, runs nothing yet */
    PART_RUNNING,
    PART_STOPPING,
    PART_STOPPED,
    PART_FAILED, /* the task ended with an error */
    PART_DONE    /* the task ended without an error */
};

/* Reserves accelerators for an attempt, whose rank is (attempt, term). An
 * agent refuses a rank that isn't above the highest spent one of the job, that
 * is, one that has ended, was fenced, or was refused at its release. */
struct wire_prepare {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;  /* of the agent addressed */
    uint64_t accelerators; /* bits */
    uint64_t tasks;        /* number of the gang's tasks on this worker */
    uint64_t members;      /* number of agents in the whole gang */
    int64_t lease_ms;      /* of the reservation, from the message's arrival */
    int64_t grace_ms;      /* of the job's class, when it is reclaimed */
    uint64_t guaranteed;   /* 1: it claims cells of its organisation */
    uint64_t claim_version; /* version of the bindings that the claim uses */
    uint64_t urgent;
    char organisation[NAME_SIZE];
    struct buf spec; /* for the task runner */
};

struct wire_prepared {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;
    uint64_t granted;
    uint64_t busy; /* bits of the accelerators in use, when refused for them */
    char reason[NAME_SIZE];
};

struct wire_release {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;
    int64_t lease_ms; /* first lease of the gang, from the message's arrival */
};

/* Sent to every entry at each change of state, and repeated for an ended
 * attempt until it is fenced. A refused release is reported as PART_STOPPED.
 */
struct wire_task {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;
    uint64_t state;        /* enum part_state */
    int64_t checkpoint_ms; /* age of the last checkpoint; -1: none */
    char reason[NAME_SIZE];
};

/* One working part in a pulse. */
struct wire_working {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t members;      /* number of agents in the whole gang */
    int64_t checkpoint_ms; /* age of the last checkpoint; -1: none */
    int64_t usage_permille;
};

/* Heartbeat of gangs: one message for all parts of an agent that have the same
 * renewer. Any entry can be the renewer; agents that are in contact with the
 * same entries choose the same one for a job. stamp echoes the newest stamp
 * from that incarnation of the renewer; 0: none yet. */
struct wire_pulse {
    struct wire_msg msg;
    char agent[NAME_SIZE];
    uint64_t incarnation;
    int64_t sent;     /* agent clock */
    uint64_t renewer; /* incarnation of the entry */
    int64_t stamp;
    struct wire_list working; /* struct wire_working */
};

/* A gang whose members all work, so that its leases are renewed. */
struct wire_renewed {
    struct id job;
    uint64_t attempt;
    uint64_t term;
};

/* Renews the leases of the listed gangs' parts on the agent, counted from
 * `sent`, which is on the agent's clock. */
struct wire_renew {
    struct wire_msg msg;
    uint64_t incarnation; /* of the agent */
    int64_t sent;         /* of the pulse that this renewal answers */
    uint64_t renewer;     /* incarnation of the entry */
    int64_t stamp;        /* renewer's clock, to be echoed */
    int64_t lease_ms;
    struct wire_list renewed; /* struct wire_renewed */
};

enum stop_how { STOP_THROTTLE, STOP_RESUME, STOP_CHECKPOINT, STOP_NOW };

struct wire_stop {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;
    /* enum stop_how; STOP_CHECKPOINT stops once the checkpoint is written. */
    uint64_t how;
    int64_t grace_ms; /* the part stops within this time at the latest */
    char reason[NAME_SIZE];
};

struct wire_fence {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt; /* fences this attempt and all before it */
    uint64_t term;
    uint64_t incarnation; /* of the agent that had it; 0: any */
};

struct wire_fenced {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation; /* of the agent that answers */
    uint64_t done;        /* 0: the part is still stopping; send it again */
};

/* Cells that are bound to an organisation on this worker. */
struct wire_binding {
    char organisation[NAME_SIZE];
    uint64_t accelerators; /* bits */
};

struct wire_bind {
    struct wire_msg msg;
    char scope[NAME_SIZE]; /* region whose owner sends the bindings */
    uint64_t term;
    uint64_t incarnation;
    uint64_t version;          /* of these bindings */
    struct wire_list bindings; /* struct wire_binding */
};

/* ---- jobs with steps -----------------------------------------------------
 */

struct wire_label {
    char text[WIRE_TEXT_SIZE];
};

/* A run on the worker. */
struct wire_run {
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    char checkpoint[WIRE_TEXT_SIZE];
    int64_t percent; /* of its work that is done */
    int64_t figure;  /* of a service: its tail latency, ms */
};

/* An ended run that the worker lists. */
struct wire_end {
    uint64_t number; /* rises within an incarnation of the worker */
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    uint64_t how; /* enum jobs_end */
    char checkpoint[WIRE_TEXT_SIZE];
};

/* A run whose stop the worker confirmed before the report was begun. */
struct wire_stopped {
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
};

/* A run that was on a worker when that crashed. */
struct wire_crash {
    char worker[WIRE_TEXT_SIZE]; /* the incarnation that crashed */
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    uint64_t acknowledged; /* the worker had acknowledged its start */
    int64_t worked_ms;     /* time during which reports listed it as running */
};

/* Whether a report has all runs and ends of its worker. */
enum wire_lists {
    WIRE_LISTS_WHOLE,
    WIRE_LISTS_PARTIAL,
    WIRE_LISTS_UNKNOWN /* of an agent that does not report it */
};

/* A report of an agent on its worker, sent to every entry. */
struct wire_report {
    struct wire_msg msg;
    /* Newest stamp received from the entry on this link, and the entry's
     * incarnation that sent it; both 0: none. */
    int64_t stamp;
    uint64_t stamped_by;
    char agent[NAME_SIZE];
    char worker[WIRE_TEXT_SIZE]; /* incarnation; "": no worker answers */
    char left[WIRE_TEXT_SIZE];   /* last incarnation that has left; "": none */
    char service[WIRE_TEXT_SIZE];
    struct wire_list labels; /* struct wire_label */
    int64_t millicores;
    int64_t memory_mb;
    int64_t accelerators;
    uint64_t draining;
    uint64_t term;    /* of the owner under which the report was made */
    int64_t clock_ms; /* the worker's own clock at the report */
    struct wire_list running;    /* struct wire_run */
    struct wire_list ended;      /* struct wire_end */
    struct wire_list stopped;    /* struct wire_stopped */
    char domain[NAME_SIZE];      /* failure domain of the worker's machine */
    struct wire_list crashed;    /* struct wire_crash, of the last seconds */
    char unused[WIRE_TEXT_SIZE]; /* only agents of earlier versions set it */
    /* The list of entries that the agent last received on this link; 0: none,
     * or the agent knows no versions. */
    uint64_t entries_version;
    /* Minimum time for which a draining worker still serves; -1: not known, as
     * for an agent that does not report it. */
    int64_t drain_left_ms;
    uint64_t lists; /* enum wire_lists */
};

/* Acknowledges a message of an agent or a peer; without a list of entries when
 * the sender needs none. */
struct wire_hail {
    struct wire_msg msg;
    char entry[NAME_SIZE];
    uint64_t incarnation;
    /* Time since the store last answered the entry without a relay; -1: never.
     */
    int64_t store_age_ms;
    int64_t stamp; /* the entry's clock, to be echoed in reports */
    /* struct wire_entry: those that the agent should hold links to, then the
     * reserves, for when it can reach none of them. */
    struct wire_list entries;
    uint64_t entries_version; /* differs when the list does; 0: no list */
    uint64_t reserves;
};

enum wire_order_verb { WIRE_START_RUN, WIRE_STOP_RUN, WIRE_SHARE_RUN };

struct wire_order {
    uint64_t verb; /* enum wire_order_verb */
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    int64_t until_ms;            /* of a start: its deadline, worker's clock */
    int64_t percent;             /* of WIRE_SHARE_RUN: share of the cores */
    char ticket[WIRE_TEXT_SIZE]; /* of an adviser, for a start; "": none */
    char checkpoint[WIRE_TEXT_SIZE];
    struct buf payload;
};

struct wire_orders {
    struct wire_msg msg;
    uint64_t term;
    char worker[WIRE_TEXT_SIZE];
    int64_t until_ms;   /* new end of all leases, worker's clock; 0: none */
    uint64_t last_seen; /* number of the last end that is stored */
    struct wire_list orders; /* struct wire_order */
};

struct wire_refused {
    struct wire_msg msg;
    char agent[NAME_SIZE];
    char worker[WIRE_TEXT_SIZE];
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    char reason[NAME_SIZE];
};

struct wire_peer {
    struct wire_msg msg;
    char entry[NAME_SIZE];
    uint64_t incarnation;
    uint64_t version; /* of the entry's configuration; 0: none */
};

/* The text of a configuration, compressed by zstd with the text of version
 * base as its dictionary prefix. */
struct wire_document {
    struct wire_msg msg;
    uint64_t version;
    uint64_t base;   /* 0: compressed without a prefix */
    uint64_t size;   /* of the text, bytes */
    uint64_t digest; /* of the text, xxh3 */
    struct buf packed;
};

/* A row that the sender has written and the store has acknowledged. */
struct wire_row {
    struct wire_msg msg;
    char key[WIRE_TEXT_SIZE];
    uint64_t version;
    struct buf value;
};

/* What an entry has read of the operators' table: up to `position` it has no
 * configuration newer than `version`, and at `emptied_at` exactly the failure
 * domains in `emptied` were to be emptied (emptied_at 0: not known). */
struct wire_reader {
    struct wire_msg msg;
    uint64_t version;
    uint64_t position;
    /* Time since the table was read; -1: it can't be read, or only slowly. */
    int64_t age_ms;
    uint64_t emptied_at;
    struct wire_list emptied; /* struct wire_label */
};

/* How long new jobs of a service and priority will wait (jobs-forecast.h). */
struct wire_forecast_row {
    char service[NAME_SIZE];
    int64_t priority;
    int64_t within_ms;
    int64_t wait_ms;
    int64_t busy_permille;
    int64_t free_accelerators;
    int64_t millicores; /* capacity of all workers that can be used */
    int64_t memory_mb;
    int64_t accelerators;
};

/* The owner's forecast. Of two, the one with the higher term, and then with
 * the higher number, is valid. */
struct wire_forecast {
    struct wire_msg msg;
    uint64_t term;
    uint64_t number;
    struct wire_list rows; /* struct wire_forecast_row */
};

enum wire_store_verb {
    WIRE_STORE_GET,
    WIRE_STORE_LIST,
    WIRE_STORE_FEED,
    WIRE_STORE_COMMIT
};

/* One operation of a commit; see platform.h. */
struct wire_store_op {
    uint64_t verb; /* enum table_verb */
    char table[NAME_SIZE];
    char key[WIRE_TEXT_SIZE];
    uint64_t if_version;
    struct buf value;
};

/* A call to the store that the receiver is to relay, as the sender's own
 * connection to the store fails. */
struct wire_store_call {
    struct wire_msg msg;
    uint64_t number; /* chosen by the sender, repeated in the answer */
    uint64_t verb;   /* enum wire_store_verb */
    char table[NAME_SIZE];
    char key[WIRE_TEXT_SIZE];   /* get: the key; list: a prefix of keys */
    char after[WIRE_TEXT_SIZE]; /* list: only keys after this one */
    uint64_t limit;             /* list: most rows to return */
    uint64_t position;          /* feed: only changes after it */
    int64_t wait_ms;            /* feed: longest wait for a change */
    struct wire_list ops;       /* commit: struct wire_store_op */
};

struct wire_store_row {
    char key[WIRE_TEXT_SIZE];
    uint64_t version;
    struct buf value;
};

struct wire_store_answer {
    struct wire_msg msg;
    uint64_t number; /* of the call */
    int64_t err;     /* enum err */
    uint64_t position;
    uint64_t more;
    struct wire_list versions; /* uint64_t */
    struct wire_list rows;     /* struct wire_store_row */
};

/* Timing of gangs. A gang's leases are renewed while the newest pulse of each
 * member is at most GANG_PULSE_MAX_AGE_MS old. One member may therefore work
 * while another does not for at most GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS
 * (model/gang-lease.pml shows why). The pulse interval is a sixth of the
 * lease, so that when a renewer dies the members agree on the next one before
 * the lease expires. */
#define GANG_PULSE_MS 1500
#define GANG_PULSE_MAX_AGE_MS 4000
#define GANG_LEASE_MS 9000

/* ---- codec ------------------------------------------------------------- */

const char *Wire_TypeName(enum wire_type type);
/* A zeroed message of that type; free it with Wire_Free. */
void *Wire_New(enum wire_type type);
void Wire_Free(struct wire_msg *m);
/* Wire_Free for CLEANUP on a local struct wire_msg pointer. */
void Wire_FreeP(void *pointer_to_pointer);
/* Frees what a message holds, but not the message itself; for messages on the
 * stack. */
void Wire_Clear(struct wire_msg *m);
void Wire_Encode(const struct wire_msg *m, struct buf *out);
/* Decodes untrusted bytes. ERR_OK with a new message in *out, to be freed with
 * Wire_Free, or ERR_INVALID and NULL for bytes that are not exactly one
 * message of a known type and of WIRE_VERSION. */
int Wire_Decode(const void *data, size_t len, struct wire_msg **out);
/* Appends a zeroed item of that size to a list and returns it. */
void *Wire_ListAdd(struct wire_list *list, size_t item_size);
/* Replaces dst by a copy of src; for items that own no memory. */
void Wire_ListCopy(struct wire_list *dst, const struct wire_list *src,
                   size_t item_size);

/* ---- links ------------------------------------------------------------- */

/* CURVE keys as Z85 text. All processes of a deployment share one pair: a
 * connecting link sets server_public to the same public key, and a listening
 * link accepts only clients that hold the secret key of its own public_key.
 * All empty: links without keys. */
struct link_keys {
    char public_key[41];
    char secret_key[41];
    char server_public[41];
};

/* Reads the key pair that all processes of a deployment share; both paths
 * NULL: no keys, out is emptied. ERR_OK; ERR_INVALID when only one path is
 * given or a file holds no Z85 key; or an error of File_Read. An unreadable
 * file or bad key is logged. */
int Link_LoadKeys(const char *public_file, const char *secret_file,
                  struct link_keys *out);

/* Generates a key pair and writes it into two files that must not exist; only
 * its owner can read the secret one. ERR_OK, ERR_EXISTS or ERR_IO. */
int Link_WriteKeys(const char *public_file, const char *secret_file);

/* Return address of a peer of a listening link. */
struct link_peer {
    uint8_t id[32];
    size_t len;
};

struct link;

/* Receives a message; peer is NULL on a connecting link. The callee keeps the
 * message by setting *m to NULL, otherwise the link frees it. */
typedef void (*link_receive)(void *arg, const struct link_peer *peer,
                             struct wire_msg **m);

struct link_context;
struct link_context *Link_ContextNew(void);
void Link_ContextFree(struct link_context *context);

/* Listens on "ip:port"; port 0 takes any free one. NULL on failure. With keys
 * it accepts only clients that hold the same pair; a context can have one
 * such link. */
struct link *Link_Listen(struct link_context *context, struct ev_loop *loop,
                         const char *address, const struct link_keys *keys,
                         link_receive receive, void *arg);
/* Connects to "ip:port"; NULL on failure. ZeroMQ reconnects by itself when the
 * TCP connection breaks; the caller replaces a link that stays silent. */
struct link *Link_Connect(struct link_context *context, struct ev_loop *loop,
                          const char *address, const struct link_keys *keys,
                          link_receive receive, void *arg);
void Link_Free(struct link *link);
/* The link's address, "ip:port"; of a listening link with its actual port. */
const char *Link_Address(const struct link *link);
/* Sends to a peer (NULL on a connecting link). ERR_OK: the message is queued,
 * its arrival is not certain. ERR_UNREACHABLE: no such peer. ERR_BUSY: the
 * link's queue is full, nothing was sent. */
int Link_Send(struct link *link, const struct link_peer *peer,
              const struct wire_msg *m);
/* Logs what links have sent and received since the last time, an event for
 * each kind of message, for `parsleyfall summary`; at most every ten seconds.
 */
void Link_LogTraffic(int64_t now_ms);
bool Link_SamePeer(const struct link_peer *a, const struct link_peer *b);

#ifdef __cplusplus
}
#endif

#endif
