/* dispatch: the state of requests. Private to the files of dispatch. */
#ifndef ENTRY_DISPATCH_H
#define ENTRY_DISPATCH_H

#include "entry-claims.h"
#include "entry.h"

/* Agents keep an unsettled answer for this long after the deadline. */
#define ANSWER_KEPT_MS 10000
/* An agent accepts or refuses a dispatch within this time. */
#define ACCEPT_TIMEOUT_MS 1000
/* An answer is still accepted this long after the deadline. */
#define ANSWER_GRACE_MS 250
/* Attempts of one request, refused ones included. */
#define REQUEST_ATTEMPTS_MAX 8

struct dispatch;

/* A service as dispatch sees it: its queue, its upstreams and its retry
 * budget. */
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
    struct member_facts facts; /* without its lists */
    bool silent;
    RB_ENTRY(dispatch_agent) entry;
};

RB_HEAD(dispatch_agent_tree, dispatch_agent);

enum request_attempt_state {
    ATTEMPT_SENT,        /* the agent has not replied yet */
    ATTEMPT_TAKEN,       /* accepted by the agent */
    ATTEMPT_WITHDRAWING, /* withdraw sent, no verdict yet */
    ATTEMPT_ENDED
};

/* One attempt of a request at one agent. */
struct request_attempt {
    uint64_t number;
    int handle; /* upstream's handle in the service's route */
    char agent[NAME_SIZE];
    uint64_t incarnation;
    int64_t not_after; /* latest start, on the agent's clock */
    int64_t sent_at;
    enum request_attempt_state state;
    bool may_have_run; /* false: known not to have started */
};

enum request_state {
    REQUEST_QUEUED,     /* in the queue of admission */
    REQUEST_DISPATCHED, /* at least one attempt has not ended */
    REQUEST_CLAIM /* its claim is being read, written, settled or followed */
};

enum claim_stage {
    STAGE_READ,      /* reading the row; nothing is sent */
    STAGE_CLAIMABLE, /* the row may be claimed; the request is in the queue */
    STAGE_WRITE,     /* writing the claim; the attempt is not sent yet */
    STAGE_CLAIMED,   /* the row holds this request's claim */
    STAGE_FOLLOW,    /* the row holds another claim; waiting for its outcome */
    STAGE_SETTLE,    /* writing the outcome to the row */
    STAGE_DONE       /* the row is not used; outcomes go out at once */
};

enum final_kind { FINAL_NONE, FINAL_ANSWER, FINAL_NOT_RUN, FINAL_UNKNOWN };

/* An outcome that is withheld from the caller until the row holds it. */
struct claim_final {
    enum final_kind kind;
    int status;
    char reason[NAME_SIZE];
    char detail[NAME_SIZE];
    int64_t retry_after_ms;
    const struct wire_answer *answer; /* owned by the claim once deferred */
};

/* The key of a request and the known state of its row. */
struct claim {
    char key[DIGEST_HEX_SIZE]; /* key of the row */
    char body_hash[DIGEST_HEX_SIZE];
    enum claim_stage stage;
    struct offer offer; /* for admission; its body has moved to the request */
    struct claim_row row;    /* as last read or written */
    uint64_t version;        /* version of the row; 0: there is no row */
    int64_t version_seen_at; /* when this version was first read */
    /* When the followed claim was last checked at its agent. */
    int64_t checked_at;
    int64_t poll_ms;    /* until the next read of a followed row */
    uint64_t op_number; /* number of the latest operation on the row */
    /* The agent has reported how the followed attempt ended. */
    bool outcome_reported;
    /* The agent at answer_peer keeps its answer until it receives settled. */
    bool agent_keeps_answer;
    struct link_peer answer_peer;
    struct claim_final final;
};

/* An operation on a row that is in progress. Its request may end before it. */
struct claim_op {
    struct dispatch *dispatch;
    struct id request;
    uint64_t number;
    LIST_ENTRY(claim_op) entry;
};

struct request {
    struct dispatch *dispatch;
    struct id id;
    /* NULL: the caller has its reply, but the row is not settled. */
    struct http_exchange *ex;
    struct claim *claim;   /* NULL: the request has no key */
    uint64_t attempt_base; /* number of the last attempt by earlier entries */
    bool hedged;           /* a hedge has been considered */
    struct service *service;
    char organisation[NAME_SIZE];
    char class_name[NAME_SIZE];
    bool repeatable;
    char content_type[WIRE_TEXT_SIZE];
    struct buf body;
    int64_t accepted_at;
    int64_t deadline_at;
    /* Expected service time, as admission gave it at the last dispatch. */
    int64_t cost_ms;
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
    size_t replied; /* open requests whose callers have their reply */
    struct table *table;
    struct objects *objects;
    LIST_HEAD(, claim_op) claim_ops;
    ev_timer expire;
};

/* entry-dispatch.c */
struct dispatch_agent *Dispatch_FindAgent(struct dispatch *d,
                                          const char *agent);
/* Posts a message on which dispatch sends queued requests of the service while
 * slots are free. They are not sent at once, because sending a request may end
 * and free it. */
void Dispatch_PumpSoon(struct dispatch *d, struct service *s);
/* Removes a request and frees it, after its reply. */
void Dispatch_Drop(struct dispatch *d, struct request *r);

struct request *Dispatch_FindRequest(struct dispatch *d, const struct id *id);
/* Gives a request another id. Returns false when another request here has that
 * id. */
bool Dispatch_Rekey(struct request *r, const struct id *id);
/* Submits a keyed request to admission, which queues or refuses it. */
void Dispatch_Admit(struct request *r);
/* Sends settled to an agent, which may then drop the answer. */
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
/* Returns the time at which a hedge is due, or -1. */
int64_t Request_HedgeAt(const struct request *r);
void Request_SetTimer(struct request *r);
void Attempt_Withdraw(struct request *r, struct request_attempt *a);
void Attempt_WithdrawAll(struct request *r);
/* Writes the handles of the upstreams that were tried; returns the count. */
int Attempt_Handles(const struct request *r, int *handles);
/* Writes the handles of the upstreams where the request may have run; returns
 * the count. */
int Attempt_HandlesMayHaveRun(const struct request *r, int *handles);
struct request_attempt *Attempt_New(struct request *r, int handle,
                                    const struct dispatch_agent *agent,
                                    int64_t now);
void Attempt_Send(struct request *r, const struct request_attempt *a,
                  const struct dispatch_agent *agent);

/* entry-request.c */
/* Sends the request to an upstream, called when a slot may be free. ERR_OK: it
 * was sent, or it has ended with its final reply. ERR_BUSY: no upstream can
 * take it now, and the caller puts it back into the queue. */
int Request_Send(struct request *r);
/* Ends a queued request that can't meet its deadline any more. */
void Request_Expire(struct request *r, const struct admission_decision *why);
/* Handle the messages of agents. */
void Request_Taken(struct request *r, const struct wire_taken *m);
void Request_Answer(struct request *r, struct wire_answer *m);
void Request_Withdrawn(struct request *r, const struct wire_withdrawn *m);
/* Handles a message of an attempt that could not be delivered to its agent. */
void Request_Undelivered(struct request *r, enum wire_type type,
                         uint64_t attempt);
/* Learns how the request's open attempts stand at an agent that returned on
 * another connection. */
void Request_Resync(struct request *r, const char *agent);
/* Ends the attempts at an earlier incarnation of an agent; they may have run.
 */
void Request_AgentLost(struct request *r, const char *agent,
                       uint64_t incarnation);
/* Sends a repeatable request elsewhere when its agent has become silent. */
void Request_AgentSilent(struct request *r, const char *agent);
void Request_Timer(struct request *r);
/* Sends the last attempt, whose claim is now in the row. */
void Request_Claimed(struct request *r);
/* Ends the last attempt, which was never sent. */
void Request_CancelUnsent(struct request *r);
const char *Request_VerdictName(uint64_t verdict);

/* entry-reply.c */
/* Each of these replies to the caller, ends the request and frees it. */
void Request_ReplyAnswer(struct request *r, const struct wire_answer *m);
void Request_ReplyNotRun(struct request *r, int status, const char *reason,
                         const char *detail, int64_t retry_after_ms);
void Request_ReplyUnknown(struct request *r, const char *reason);
/* Refuses a keyed request because the table is down. */
void Request_ReplyStopping(struct request *r);
void Request_ReplyTableDown(struct request *r, bool may_have_run,
                            int64_t retry_after_ms);
/* Refuses a key that was used before with another body. */
void Request_ReplyKeyReused(struct request *r);
/* These reply to the caller and keep the request until its row is settled. */
void Request_ReplyUnknownEarly(struct request *r, const char *reason);
void Request_ReplyAnswerEarly(struct request *r, const struct wire_answer *m);

/* entry-claims.c, -follow.c and -settle.c: a keyed request claims its row
 * before anything is sent. The protocol is that of model/dispatch.pml. */
struct claim *Claims_New(const struct offer *o, const struct buf *body);
void Claims_Free(struct claim *c);
/* Reads the row and continues according to its state. */
void Claims_Open(struct request *r);
/* Writes the claim of an attempt; calls Request_Claimed when it is stored. */
void Claims_WriteClaim(struct request *r, const struct request_attempt *a);
/* Withholds an outcome until the row holds it. Returns false when the caller
 * is to be replied to now; true when the reply is made later. */
bool Claims_Defer(struct request *r, const struct claim_final *f);
/* True when the row still holds another entry's claim, whose attempt has been
 * fenced. */
bool Claims_Fenced(const struct request *r);
/* These handle the timer and agents' messages in the state REQUEST_CLAIM. */
void Claims_Timer(struct request *r);
void Claims_Inbound(struct request *r, const struct inbound *in);
/* The functions below are used only among the claims files. */
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
