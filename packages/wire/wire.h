/*
 * wire: the messages between the system's own processes, their codec
 * (msgpack) and the links that carry them (ZeroMQ over TCP).
 *
 * Agents connect, entries listen. A message is a plain struct that starts
 * with struct wire_msg; a table of fields per type drives the codec, so that
 * one loop meets whatever bytes come in. Fields may be added at the end of a
 * message: a reader ignores what it doesn't know, takes what a sender of
 * before doesn't tell yet for empty, and refuses a message that lacks anything
 * else.
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
/* Largest message a link takes, in bytes; larger ones cost their sender the
 * connection. */
#define WIRE_MAX_BYTES ((size_t)20 << 20)

enum wire_type {
    WIRE_HELLO = 1,    /* agent: who I am, what I run */
    WIRE_HEARTBEAT,    /* agent: still here, my load */
    WIRE_WELCOME,      /* entry: who I am, heartbeat interval, the entries */
    WIRE_LEAVE,        /* agent: give me nothing new */
    WIRE_DISPATCH,     /* entry: run this request */
    WIRE_TAKEN,        /* agent: will run it, or won't (nothing has run) */
    WIRE_ANSWER,       /* agent: how it ended */
    WIRE_SETTLED,      /* entry: got the answer, forget it */
    WIRE_WITHDRAW,     /* entry: don't start this any more */
    WIRE_WITHDRAWN,    /* agent: whether it had started */
    WIRE_PREPARE,      /* owner: reserve for a gang */
    WIRE_PREPARED,     /* agent: reserved, or not */
    WIRE_RELEASE,      /* owner: start */
    WIRE_TASK,         /* agent: a part changed its state */
    WIRE_PULSE,        /* agent to the gangs' renewer: these parts work */
    WIRE_RENEW,        /* renewer: these gangs are whole, go on */
    WIRE_STOP,         /* owner: stop, throttle or checkpoint */
    WIRE_FENCE,        /* owner: nothing up to this attempt may run any more */
    WIRE_FENCED,       /* agent: nothing does */
    WIRE_BIND,         /* owner: whose cells are on this worker */
    WIRE_REPORT,       /* agent to entries: what its worker has and runs */
    WIRE_HAIL,         /* entry: heard you, and these are the entries */
    WIRE_ORDERS,       /* owner to agent: lease, ends noted, starts, stops */
    WIRE_REFUSED,      /* agent to owner: the worker refused a start */
    WIRE_PEER,         /* entry to entry: still here, my configuration */
    WIRE_DOCUMENT,     /* entry to entry: a configuration, as it was read */
    WIRE_STORE_CALL,   /* entry to entry: call the store for me */
    WIRE_STORE_ANSWER, /* entry to entry: what the store said */
    WIRE_READER,       /* entry to entry: how I read the operators' table */
    WIRE_ROW, /* entry to leader: a row of a job that I have written */
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
    uint64_t healthy; /* 0: the agent found it ill */
};

/* A part of a gang that an agent holds. */
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
    struct wire_list own;  /* uint64: of those, for the entry that hears it */
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
    int64_t heartbeat_ms; /* interval while nothing is in progress */
    uint64_t draining;
    uint64_t known;           /* 0: I don't know you, say hello again */
    struct wire_list entries; /* struct wire_entry */
};

struct wire_leave {
    struct wire_msg msg;
    uint64_t incarnation;
};

/* Ids of work: the request, the attempt, and the incarnation it was meant
 * for. not_after is on the agent's clock: from then on the attempt may not
 * start, however late its copies come, so fences need not be kept longer. */
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
    uint64_t taken;         /* 0: refused, has not run, will not run */
    int64_t retry_after_ms; /* when refused */
    char reason[NAME_SIZE];
};

enum answer_kind {
    ANSWER_COMPLETE, /* the upstream's answer, complete */
    ANSWER_NOT_RUN,  /* it never left the agent */
    ANSWER_UNKNOWN   /* it was sent, and the answer is lost or broken */
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
    WITHDRAW_NOT_STARTED,      /* and will not be */
    WITHDRAW_STARTED,          /* runs, or has run: its answer follows */
    WITHDRAW_OTHER_INCARNATION /* meant for another incarnation: may have run
                                */
};

struct wire_withdrawn {
    struct wire_msg msg;
    struct id request;
    uint64_t attempt;
    uint64_t verdict; /* enum withdraw_verdict */
};

enum part_state {
    PART_RESERVED, /* holds accelerators, does no work */
    PART_RUNNING,
    PART_STOPPING,
    PART_STOPPED,
    PART_FAILED, /* the task ended with an error */
    PART_DONE    /* the task ended well */
};

/* Rank of an attempt: (attempt, term). An agent refuses ranks below the
 * highest that it knows of a job to be spent. */
struct wire_prepare {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;   /* of the agent that is meant */
    uint64_t accelerators;  /* bits */
    uint64_t tasks;         /* of the gang on this worker */
    uint64_t members;       /* agents of the whole gang */
    int64_t lease_ms;       /* of the reservation, from its arrival */
    int64_t grace_ms;       /* of its class, when it is reclaimed */
    uint64_t guaranteed;    /* a claim on its organisation's cells */
    uint64_t claim_version; /* bindings that the claim rests on */
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
    uint64_t busy; /* accelerators that were taken, when refused for that */
    char reason[NAME_SIZE];
};

struct wire_release {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation;
    int64_t lease_ms; /* first lease of the gang, from its arrival */
};

/* Said at each change, to every entry, and again while nobody has fenced an
 * attempt that ended. A refused release is reported as PART_STOPPED. */
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

/* A part that works, in a pulse. */
struct wire_working {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t members; /* agents of the whole gang */
    int64_t checkpoint_ms;
    int64_t usage_permille;
};

/* The heartbeat of gangs, one message for all parts that one agent has with
 * one renewer. Any entry can be the renewer; agents that hear the same
 * entries choose the same one for a job. stamp echoes the newest stamp of
 * that incarnation of the renewer; 0: none yet. */
struct wire_pulse {
    struct wire_msg msg;
    char agent[NAME_SIZE];
    uint64_t incarnation;
    int64_t sent; /* agent clock */
    uint64_t renewer;
    int64_t stamp;
    struct wire_list working; /* struct wire_working */
};

/* A gang that is whole. */
struct wire_renewed {
    struct id job;
    uint64_t attempt;
    uint64_t term;
};

/* Leases of the parts named count from `sent`, the agent's own time. */
struct wire_renew {
    struct wire_msg msg;
    uint64_t incarnation; /* of the agent */
    int64_t sent;         /* of the pulse that is answered */
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
    uint64_t how;     /* enum stop_how; checkpoint stops when it is written */
    int64_t grace_ms; /* stopped at the latest after this */
    char reason[NAME_SIZE];
};

struct wire_fence {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt; /* this one and all before */
    uint64_t term;
    uint64_t incarnation; /* that had it; 0: whatever is there */
};

struct wire_fenced {
    struct wire_msg msg;
    struct id job;
    uint64_t attempt;
    uint64_t term;
    uint64_t incarnation; /* that answers */
    uint64_t done;        /* 0: the part still stops; ask again */
};

/* Cells that are bound to an organisation on this worker. */
struct wire_binding {
    char organisation[NAME_SIZE];
    uint64_t accelerators; /* bits */
};

struct wire_bind {
    struct wire_msg msg;
    char scope[NAME_SIZE]; /* region whose owner says so */
    uint64_t term;
    uint64_t incarnation;
    uint64_t version;          /* of these bindings */
    struct wire_list bindings; /* struct wire_binding */
};

/* ---- jobs of steps ------------------------------------------------------ */

struct wire_label {
    char text[WIRE_TEXT_SIZE];
};

/* A run that the worker has. */
struct wire_run {
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    char checkpoint[WIRE_TEXT_SIZE];
    int64_t percent;
    int64_t figure; /* tail latency of one that serves, ms */
};

/* An end that the worker lists. */
struct wire_end {
    uint64_t number;
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    uint64_t how; /* enum jobs_end */
    char checkpoint[WIRE_TEXT_SIZE];
};

/* A run whose stop the worker has confirmed before this report began. */
struct wire_stopped {
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
};

/* A run that was on a worker when that crashed. */
struct wire_crash {
    char worker[WIRE_TEXT_SIZE]; /* the lifetime that is over */
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    uint64_t acknowledged; /* the worker had answered its start */
    int64_t worked_ms;     /* how long it was seen at work */
};

/* One report of an agent on its worker, said to every entry. */
struct wire_report {
    struct wire_msg msg;
    /* Newest stamp of that entry on this link, and whose it is; 0: none. */
    int64_t stamp;
    uint64_t stamped_by;
    char agent[NAME_SIZE];
    char worker[WIRE_TEXT_SIZE]; /* lifetime; "": none that answers */
    char left[WIRE_TEXT_SIZE];   /* a lifetime that has left; "": none */
    char service[WIRE_TEXT_SIZE];
    struct wire_list labels; /* struct wire_label */
    int64_t millicores;
    int64_t memory_mb;
    int64_t accelerators;
    uint64_t draining;
    uint64_t term;    /* of the owner under which the report was made */
    int64_t clock_ms; /* the worker's own clock at the report */
    struct wire_list running; /* struct wire_run */
    struct wire_list ended;   /* struct wire_end */
    struct wire_list stopped; /* struct wire_stopped */
    char domain[NAME_SIZE];   /* failure domain of the worker's machine */
    struct wire_list crashed; /* struct wire_crash, of the last seconds */
    /* The lifetime before, when the worker takes its orders; "": it had none.
     */
    char heir_of[WIRE_TEXT_SIZE];
};

struct wire_hail {
    struct wire_msg msg;
    char entry[NAME_SIZE];
    uint64_t incarnation;
    int64_t store_age_ms; /* since the store answered it itself; -1: never */
    int64_t stamp;        /* the entry's clock, to be echoed in reports */
    struct wire_list entries; /* struct wire_entry */
};

enum wire_order_verb { WIRE_START_RUN, WIRE_STOP_RUN, WIRE_SHARE_RUN };

struct wire_order {
    uint64_t verb; /* enum wire_order_verb */
    char task[WIRE_TEXT_SIZE];
    uint64_t run;
    int64_t until_ms;            /* worker's clock; of a start */
    int64_t percent;             /* of a share */
    char ticket[WIRE_TEXT_SIZE]; /* of a start; "": none */
    char checkpoint[WIRE_TEXT_SIZE];
    struct buf payload;
};

struct wire_orders {
    struct wire_msg msg;
    uint64_t term;
    char worker[WIRE_TEXT_SIZE];
    int64_t until_ms;   /* lease of all that runs, worker's clock; 0: none */
    uint64_t last_seen; /* ends up to it are stored */
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
    uint64_t version; /* of the configuration it has; 0: none */
};

/* The text of a configuration, compressed by zstd, with that of version base
 * as its prefix. */
struct wire_document {
    struct wire_msg msg;
    uint64_t version;
    uint64_t base;   /* 0: it rests on none */
    uint64_t size;   /* of the text, bytes */
    uint64_t digest; /* of the text, xxh3 */
    struct buf packed;
};

/* A row that its sender has written, as the store has acknowledged it. */
struct wire_row {
    struct wire_msg msg;
    char key[WIRE_TEXT_SIZE];
    uint64_t version;
    struct buf value;
};

/* Up to that position the operators' table has no configuration newer than
 * this version; at emptied_at, these failure domains were asked to be emptied,
 * and no others (0: not known). */
struct wire_reader {
    struct wire_msg msg;
    uint64_t version;
    uint64_t position;
    int64_t age_ms; /* since the table was read; -1: it is not, or slowly */
    uint64_t emptied_at;
    struct wire_list emptied; /* struct wire_label */
};

enum wire_store_verb {
    WIRE_STORE_GET,
    WIRE_STORE_LIST,
    WIRE_STORE_FEED,
    WIRE_STORE_COMMIT
};

/* One op of a commit, as of platform.h. */
struct wire_store_op {
    uint64_t verb; /* enum table_verb */
    char table[NAME_SIZE];
    char key[WIRE_TEXT_SIZE];
    uint64_t if_version;
    struct buf value;
};

/* A call of the store that the sender's own way to it refuses. */
struct wire_store_call {
    struct wire_msg msg;
    uint64_t number; /* of the sender, for the answer */
    uint64_t verb;   /* enum wire_store_verb */
    char table[NAME_SIZE];
    char key[WIRE_TEXT_SIZE];   /* of a get; prefix of a list */
    char after[WIRE_TEXT_SIZE]; /* of a list */
    uint64_t limit;             /* of a list */
    uint64_t position;          /* of a feed */
    int64_t wait_ms;            /* of a feed */
    struct wire_list ops;       /* struct wire_store_op */
};

struct wire_store_row {
    char key[WIRE_TEXT_SIZE];
    uint64_t version;
    struct buf value;
};

struct wire_store_answer {
    struct wire_msg msg;
    uint64_t number;
    int64_t err; /* enum err */
    uint64_t position;
    uint64_t more;
    struct wire_list versions; /* uint64_t */
    struct wire_list rows;     /* struct wire_store_row */
};

/* Times of gangs, in milliseconds. Whenever one member works and another does
 * not, this lasts at most GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS
 * (model/gang-lease.pml tells why). A pulse is a sixth of the lease, so that a
 * renewer may die and the members agree on the next one before the lease is
 * over. */
#define GANG_PULSE_MS 1500
#define GANG_PULSE_MAX_AGE_MS 4000
#define GANG_LEASE_MS 9000

/* ---- codec ------------------------------------------------------------- */

const char *Wire_TypeName(enum wire_type type);
/* A zeroed message of that type; free it with Wire_Free. */
void *Wire_New(enum wire_type type);
void Wire_Free(struct wire_msg *m);
/* For CLEANUP(Wire_FreeP) on a local struct wire_msg pointer. */
void Wire_FreeP(void *pointer_to_pointer);
/* Frees what a message on the stack holds. */
void Wire_Clear(struct wire_msg *m);
void Wire_Encode(const struct wire_msg *m, struct buf *out);
/* Makes a message from bytes. ERR_OK, or ERR_INVALID for bytes that are not a
 * whole message of a known type and version; *out is NULL then. */
int Wire_Decode(const void *data, size_t len, struct wire_msg **out);
/* Appends a zeroed item of that size to a list and returns it. */
void *Wire_ListAdd(struct wire_list *list, size_t item_size);
/* Replaces dst by a copy of src; for items that hold nothing themselves. */
void Wire_ListCopy(struct wire_list *dst, const struct wire_list *src,
                   size_t item_size);

/* ---- links ------------------------------------------------------------- */

/* CURVE keys, Z85 text. The system's own processes share one pair: a client
 * sets server_public to the same public key, and a listening link lets in only
 * clients that hold the secret of its own public_key. All empty: no keys. */
struct link_keys {
    char public_key[41];
    char secret_key[41];
    char server_public[41];
};

/* Reads the pair that all processes of a deployment share; both NULL: no keys,
 * out is emptied. ERR_OK, ERR_INVALID (no key in Z85, or one file only) or as
 * File_Read, which is logged. */
int Link_LoadKeys(const char *public_file, const char *secret_file,
                  struct link_keys *out);

/* Writes a new pair into two files that must not exist, the secret one for its
 * owner's eyes only. ERR_OK, ERR_EXISTS or ERR_IO. */
int Link_WriteKeys(const char *public_file, const char *secret_file);

/* Return address of a peer of a listening link. */
struct link_peer {
    uint8_t id[32];
    size_t len;
};

struct link;

/* Takes a message; the callee may keep it by setting *m to NULL. */
typedef void (*link_receive)(void *arg, const struct link_peer *peer,
                             struct wire_msg **m);

struct link_context;
struct link_context *Link_ContextNew(void);
void Link_ContextFree(struct link_context *context);

/* Listens on "ip:port"; port 0 takes any free one. NULL when it can't. With
 * keys it lets in only who holds the same pair; one such link a context. */
struct link *Link_Listen(struct link_context *context, struct ev_loop *loop,
                         const char *address, const struct link_keys *keys,
                         link_receive receive, void *arg);
/* Connects to "ip:port"; ZeroMQ connects again by itself when TCP breaks, and
 * the owner replaces the link when it is silent. */
struct link *Link_Connect(struct link_context *context, struct ev_loop *loop,
                          const char *address, const struct link_keys *keys,
                          link_receive receive, void *arg);
void Link_Free(struct link *link);
/* The address that a listening link got, as "ip:port". */
const char *Link_Address(const struct link *link);
/* Sends to a peer (NULL on a connecting link). ERR_OK: handed over, which
 * does not say that it arrives. ERR_UNREACHABLE: no such peer. ERR_BUSY: the
 * link's queue is full, nothing was sent. */
int Link_Send(struct link *link, const struct link_peer *peer,
              const struct wire_msg *m);
bool Link_SamePeer(const struct link_peer *a, const struct link_peer *b);

#ifdef __cplusplus
}
#endif

#endif
