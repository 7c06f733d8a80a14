/* dispatch: the state of requests, private to its files. */
#ifndef ENTRY_DISPATCH_H
#define ENTRY_DISPATCH_H

#include "entry.h"

#define TRIES_MAX 8 /* attempts of one request, refused ones included */

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
struct server {
    struct member_facts facts; /* its lists are not used here */
    bool silent;
    RB_ENTRY(server) entry;
};

RB_HEAD(server_tree, server);

enum try_state {
    TRY_SENT,   /* no word yet */
    TRY_TAKEN,  /* runs there */
    TRY_ASKING, /* withdraw sent: has it started? */
    TRY_OVER
};

/* One attempt of a request. */
struct
try {
    uint64_t number;
    int handle; /* of the upstream, in the service's route */
    char agent[NAME_SIZE];
    uint64_t incarnation;
    int64_t not_after; /* on the agent's clock */
    int64_t sent_at;
    enum try_state state;
    bool may_run; /* not known not to have started */
};

enum request_state {
    REQUEST_QUEUED, /* in admission's queue */
    REQUEST_OUT     /* one try at least is not over */
};

struct request {
    struct dispatch *dispatch;
    struct id id;
    struct http_exchange *ex;
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
    struct try tries[TRIES_MAX];
    int try_count;
    ev_timer timer;
    RB_ENTRY(request) entry;
};

RB_HEAD(request_tree, request);

struct dispatch {
    struct task task;
    const struct entry_settings *settings;
    struct service_tree services;
    struct server_tree servers;
    struct request_tree requests;
    size_t open;
    ev_timer expire;
};

/* entry-dispatch.c */
struct server *Dispatch_FindServer(struct dispatch *d, const char *agent);
/* Sends what waits, while slots are free: later, by a message to itself, as
 * a request that is sent may end and be freed. */
void Dispatch_PumpSoon(struct dispatch *d, struct service *s);
/* Takes a request out and frees it, after its reply. */
void Dispatch_Drop(struct dispatch *d, struct request *r);

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

/* entry-reply.c */
/* Each ends the request: replies and drops it. */
void Request_ReplyAnswer(struct request *r, const struct wire_answer *m);
void Request_ReplyNotRun(struct request *r, int status, const char *reason,
                         const char *detail, int64_t retry_after_ms);
void Request_ReplyUnknown(struct request *r, const char *reason);

#endif
