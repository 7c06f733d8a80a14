/* dispatch: the state of requests, private to its files. */
#ifndef ENTRY_DISPATCH_H
#define ENTRY_DISPATCH_H

#include "entry-claims.h"
#include "entry.h"

#define ANSWER_KEPT_MS                                                        \
    10000 /* agents keep answers so long after a deadline                     \
           */
#define ACCEPT_TIMEOUT_MS 1000 /* an agent says taken or refused within this  \
                                */
#define ANSWER_GRACE_MS 250 /* an answer may be this late after the deadline  \
                             */
#define REQUEST_ATTEMPTS_MAX                                                  \
    8 /* attempts of one request, refused ones included */

struct dispatch;

/* What a service needs: who waits, where to send, what may be repeated. */
struct service {
    char name[NAME_SIZE];
    struct admission *admission;
    struct route *route;
    struct retry *retry;
    bool pump_posted;
    RB_ENTRY(service) entry;
};

RB_HEAD(service_tree, service);

/* An agent that serves requests. */
struct dispatch_agent {
    struct member_facts facts; /* its lists are not used here */
    bool silent;
    RB_ENTRY(dispatch_agent) entry;
};

RB_HEAD(dispatch_agent_tree, dispatch_agent);

enum request_attempt_state {
    ATTEMPT_SENT,        /* no word yet */
    ATTEMPT_TAKEN,       /* runs there */
    ATTEMPT_WITHDRAWING, /* withdraw sent: has it started? */
    ATTEMPT_ENDED
};

/* One attempt of a request. */
struct request_attempt {
    uint64_t number;
    int handle; /* of the upstream, in the service's route */
    char agent[NAME_SIZE];
    uint64_t incarnation;
    int64_t not_after; /* on the agent's clock */
    int64_t sent_at;
    enum request_attempt_state state;
    bool may_have_run; /* not known not to have started */
};

enum request_state {
    REQUEST_QUEUED,     /* in admission's queue */
    REQUEST_DISPATCHED, /* one try at least is not over */
    REQUEST_CLAIM       /* its claim is read, written, settled or followed */
};

enum claim_stage {
    STAGE_READ,      /* the row is being read; nothing is sent */
    STAGE_CLAIMABLE, /* the row may be claimed; waits for its turn */
    STAGE_WRITE,     /* the claim is being written; this try is not sent */
    STAGE_CLAIMED,   /* our claim is in the row */
    STAGE_FOLLOW,    /* another's claim is; its outcome is awaited */
    STAGE_SETTLE,    /* the outcome is being written */
    STAGE_DONE       /* nothing more is written: callers are told at once */
};

enum final_kind { FINAL_NONE, FINAL_ANSWER, FINAL_NOT_RUN, FINAL_UNKNOWN };

/* An outcome that is kept back until the row has it. */
struct claim_final {
    enum final_kind kind;
    int status;
    char reason[NAME_SIZE];
    char detail[NAME_SIZE];
    int64_t retry_after_ms;
    const struct wire_answer *answer; /* the claim's own once deferred */
};

/* The key of a request, and what is known of its row. */
struct claim {
    char key[DIGEST_HEX_SIZE]; /* of the row */
    char body_hash[DIGEST_HEX_SIZE];
    enum claim_stage stage;
    struct offer offer;      /* for admission; its body is the request's */
    struct claim_row row;    /* as last read or written */
    uint64_t version;        /* of the row; 0: there is none */
    int64_t version_seen_at; /* when it was first seen at this version */
    int64_t checked_at;      /* its agent, last */
    int64_t poll_ms;
    uint64_t op_number;      /* number of the last operation */
    bool outcome_reported;   /* from the agent: how a followed attempt ended */
    bool agent_keeps_answer; /* an answer is to be settled at `from` */
    struct link_peer answer_peer;
    struct claim_final final;
};

/* An operation on a row. Its request may have ended before it has. */
struct claim_op {
    struct dispatch *dispatch;
    struct id request;
    uint64_t number;
    LIST_ENTRY(claim_op) entry;
};

struct request {
    struct dispatch *dispatch;
    struct id id;
    struct http_exchange *ex; /* NULL: answered, but its row is open */
    struct claim *claim;      /* NULL: without a key */
    uint64_t attempt_base;    /* attempts of earlier entries */
    bool hedged;              /* a hedge has been asked for */
    struct service *service;
    char organisation[NAME_SIZE];
    char class_name[NAME_SIZE];
    bool repeatable;
    char content_type[WIRE_TEXT_SIZE];
    struct buf body;
    int64_t accepted_at;
    int64_t deadline_at;
    int64_t cost_ms; /* expected, as admission said at the last turn */
    enum request_state state;
    struct request_attempt attempts[REQUEST_ATTEMPTS_MAX];
    int attempt_count;
    ev_timer timer;
    RB_ENTRY(request) entry;
};

RB_HEAD(request_tree, request);

struct dispatch {
    struct task task;
    const struct entry_settings *settings;
    struct service_tree services;
    struct dispatch_agent_tree agents;
    struct request_tree requests;
    size_t open;
    size_t replied; /* of those, answered already */
    struct table *table;
    struct objects *objects;
    LIST_HEAD(, claim_op) claim_ops;
    ev_timer expire;
};

/* entry-dispatch.c */
struct dispatch_agent *Dispatch_FindAgent(struct dispatch *d,
                                          const char *agent);
/* Sends what waits, while slots are free: later, by a message to itself, as
 * a request that is sent may end and be freed. */
void Dispatch_PumpSoon(struct dispatch *d, struct service *s);
/* Takes a request out and frees it, after its reply. */
void Dispatch_Drop(struct dispatch *d, struct request *r);

struct request *Dispatch_FindRequest(struct dispatch *d, const struct id *id);
/* Gives a request another id. False when that one is in use here. */
bool Dispatch_Rekey(struct request *r, const struct id *id);
/* Admission judges a request, and what is admitted waits for its turn. */
void Dispatch_Admit(struct request *r);
/* Tells an agent that it may forget an answer. */
void Dispatch_SendSettled(struct dispatch *d, const struct link_peer *peer,
                          const struct wire_answer *a);

/* entry-dispatch-state.c */
json_t *Dispatch_ServiceState(const struct service *s);

/* entry-request-try.c: the attempts of a request. */
void Request_Record(const struct request *r, const char *decision,
                    const char *reason, json_t *inputs);
json_t *Attempt_Inputs(const struct request_attempt *a);
void Attempt_End(struct request *r, struct request_attempt *a,
                 enum route_outcome outcome);
struct request_attempt *Attempt_Find(struct request *r, uint64_t number);
bool Attempt_AnyOpen(const struct request *r);
bool Attempt_AnyMayHaveRun(const struct request *r);
/* When a hedge is due, or -1. */
int64_t Request_HedgeAt(const struct request *r);
void Request_SetTimer(struct request *r);
void Attempt_Withdraw(struct request *r, struct request_attempt *a);
void Attempt_WithdrawAll(struct request *r);
/* Writes the handles that were tried; returns how many. */
int Attempt_Handles(const struct request *r, int *handles);
/* Of those, where it may have run. */
int Attempt_HandlesMayHaveRun(const struct request *r, int *handles);
struct request_attempt *Attempt_New(struct request *r, int handle,
                                    const struct dispatch_agent *agent,
                                    int64_t now);
void Attempt_Send(struct request *r, const struct request_attempt *a,
                  const struct dispatch_agent *agent);

/* entry-request.c */
/* A slot may be free: sends the request to an upstream. ERR_OK: out, or
 * ended with its final answer; ERR_BUSY: nothing can take it now, it goes
 * back to the queue. */
int Request_Send(struct request *r);
/* Its deadline can't be met any more while it waited. */
void Request_Expire(struct request *r, const struct admission_decision *why);
/* What agents said. */
void Request_Taken(struct request *r, const struct wire_taken *m);
void Request_Answer(struct request *r, struct wire_answer *m);
void Request_Withdrawn(struct request *r, const struct wire_withdrawn *m);
/* A message of an attempt could not be handed over. */
void Request_Undelivered(struct request *r, enum wire_type type,
                         uint64_t attempt);
/* The agent came back on another connection: how do its attempts stand? */
void Request_Resync(struct request *r, const char *agent);
/* An incarnation of an agent is over: its attempts may have run. */
void Request_AgentLost(struct request *r, const char *agent,
                       uint64_t incarnation);
/* Its agent is silent: a repeatable one may go elsewhere. */
void Request_AgentSilent(struct request *r, const char *agent);
void Request_Timer(struct request *r);
/* The last try may be sent: its claim is in the row. */
void Request_Claimed(struct request *r);
/* The last try was never sent and won't be. */
void Request_CancelUnsent(struct request *r);
const char *Request_VerdictName(uint64_t verdict);

/* entry-reply.c */
/* Each ends the request: replies and drops it. */
void Request_ReplyAnswer(struct request *r, const struct wire_answer *m);
void Request_ReplyNotRun(struct request *r, int status, const char *reason,
                         const char *detail, int64_t retry_after_ms);
void Request_ReplyUnknown(struct request *r, const char *reason);
/* The table is down, so that a keyed request is not served. */
void Request_ReplyTableDown(struct request *r, bool may_have_run,
                            int64_t retry_after_ms);
/* The key was used before, with another body. */
void Request_ReplyKeyReused(struct request *r);
/* Tells the caller, and keeps the request for its row. */
void Request_ReplyUnknownEarly(struct request *r, const char *reason);
void Request_ReplyAnswerEarly(struct request *r, const struct wire_answer *m);

/* entry-claims.c, -follow.c and -settle.c: a keyed request claims its row
 * before anything is sent, after model/dispatch.pml. */
struct claim *Claims_New(const struct offer *o, const struct buf *body);
void Claims_Free(struct claim *c);
/* Begins: reads the row and goes on by what it says. */
void Claims_Open(struct request *r);
/* Writes the claim of a try; Request_Claimed follows when it is there. */
void Claims_WriteClaim(struct request *r, const struct request_attempt *a);
/* True when an outcome is kept back until its row has it; the reply is then
 * made later. */
bool Claims_Defer(struct request *r, const struct claim_final *f);
/* True when another's claim was fenced and is still in the row. */
bool Claims_Fenced(const struct request *r);
/* While the request's state is REQUEST_CLAIM. */
void Claims_Timer(struct request *r);
void Claims_Inbound(struct request *r, const struct inbound *in);
/* Between these files. */
struct claim_op *Claims_NewOp(struct request *r);
struct request *Claims_EndOp(struct claim_op *op);
void Claims_ReadRow(struct request *r);
void Claims_WriteRow(struct request *r, const struct claim_row *row,
                     table_committed done);
void Claims_RowRead(struct request *r, int err);
void Claims_Acquired(struct request *r);
void Claims_NotWritten(struct request *r, int err);
void Claims_Lost(struct request *r);
void Claims_ReplyFinal(struct request *r);
void Claims_ServeUnclaimed(struct request *r);
void Claims_RefuseTableDown(struct request *r, bool may_have_run);
void Claims_Follow(struct request *r);
void Claims_SetTimer(struct request *r);

#endif
