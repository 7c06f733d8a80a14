/*
 * agent: the process beside each worker and its upstreams. It is the
 * authority for what runs there and keeps nothing durable.
 *
 * Tasks, and what they tell each other:
 *
 *   links     owns a link to each entry. Says hello, beats at the pace that
 *             the entry sets, replaces a silent link by a new one, and learns
 *             further entries from each welcome. Hands what entries say to
 *             the other tasks (struct inbound) and sends what they answer
 *             (struct outbound).
 *   work      requests: takes or refuses a dispatch, calls the upstream, keeps
 *             the answer until it is settled, fences what was withdrawn.
 *   parts     gangs: reservations, leases, the worker's task runner.
 *   announce  a local HTTP port where upstreams announce themselves.
 *
 * The rule for requests: an attempt (request, attempt, incarnation) is in
 * one of three states here: unknown, fenced, or taken. It can be taken only
 * from unknown, only by the incarnation that it was meant for, and only until
 * its not_after. A withdraw fences an unknown attempt and tells of a taken
 * one. So an entry that is told "not started" may send the request elsewhere,
 * however late a copy of the dispatch arrives.
 */
#ifndef AGENT_H
#define AGENT_H

#include "base.h"
#include "config.h"
#include "http.h"
#include "kernel.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- messages between the tasks ---------------------------------------- */

/* links -> work, parts: what an entry said. */
struct inbound {
    struct message base;
    char origin[NAME_SIZE]; /* address of the entry's link */
    struct wire_msg *m;
};

/* work, parts -> links: what to say to one entry, or to all ("" origin). */
struct outbound {
    struct message base;
    char origin[NAME_SIZE];
    struct wire_msg *m;
};

/* work -> links: the services of this worker, whole list. */
struct services_note {
    struct message base;
    struct wire_list services; /* struct wire_service */
};

/* work, parts -> links: how much an entry has in progress here, so that its
 * link is watched closely while it matters. */
struct busy_note {
    struct message base;
    char origin[NAME_SIZE];
    int count;
    struct wire_list own; /* uint64: running, in the order of the services */
};

/* parts -> links: the parts that this worker holds, whole list. */
struct parts_note {
    struct message base;
    struct wire_list parts; /* struct wire_part */
};

/* links -> parts, work: a lease of the worker's own is kept alive by nobody
 * while all entries are silent; tells when entries are heard again. */
struct contact_note {
    struct message base;
    int entries; /* that are heard now */
};

/* announce -> work: an upstream came, changed or leaves. */
struct upstream_note {
    struct message base;
    char service[NAME_SIZE];
    char url[WIRE_TEXT_SIZE];
    uint64_t slots; /* 0: it leaves */
    uint64_t connections;
};

extern const struct message_kind Agent_Inbound;
extern const struct message_kind Agent_Outbound;
extern const struct message_kind Agent_Services;
extern const struct message_kind Agent_Busy;
extern const struct message_kind Agent_Parts;
extern const struct message_kind Agent_Contact;
extern const struct message_kind Agent_Upstream;

/* Posts m to the links task, for the entry at that origin; takes m. */
void Agent_Say(struct kernel *k, const char *origin, struct wire_msg *m);

/* The incarnation of this process; agents are told apart by it. */
uint64_t Agent_Incarnation(void);

/* ---- attempts ----------------------------------------------------------
 *
 * The record of the attempts of requests on this worker. Pure: times are
 * arguments.
 */

enum attempt_state {
    ATTEMPT_FENCED,  /* never started, never will */
    ATTEMPT_RUNNING, /* handed to the upstream */
    ATTEMPT_DONE,    /* ended; its answer waits to be settled */
    ATTEMPT_SETTLED  /* ended; its answer was taken, or nobody came for it */
};

struct attempt {
    struct id request;
    uint64_t number;
    enum attempt_state state;
    int64_t not_after; /* may not start later; a record is kept until then */
    int64_t claim_by;  /* an answer that nobody has settled is dropped then */
    char origin[NAME_SIZE];
    char
        earlier[NAME_SIZE]; /* that was the origin, and hears the answer too */
    char service[NAME_SIZE];
    int64_t started_at;
    struct http_call *call;
    void *context; /* of the call's callback; freed with the record */
    struct wire_answer *answer;
    RB_ENTRY(attempt) entry;
};

RB_HEAD(attempt_tree, attempt);
int Attempts_Compare(const struct attempt *a, const struct attempt *b);
RB_PROTOTYPE(attempt_tree, attempt, entry, Attempts_Compare)

/* Attempts that an agent remembers at most; beyond that it takes none. */
#define ATTEMPTS_MAX 65536

struct attempts {
    struct attempt_tree tree;
    size_t count;
};

enum take_verdict {
    TAKE_NEW,      /* recorded as running: start it */
    TAKE_AGAIN,    /* a copy: runs already */
    TAKE_ANSWERED, /* a copy: ended already, say the answer again */
    TAKE_SETTLED,  /* a copy: has run, and its answer is dropped */
    TAKE_FENCED,   /* withdrawn before it came */
    TAKE_STALE,    /* meant for another incarnation */
    TAKE_EXPIRED,  /* came after its not_after */
    TAKE_FULL      /* no place to remember it */
};

void Attempts_Init(struct attempts *a);
void Attempts_Free(struct attempts *a);
/* Decides what to do with a dispatch; *out is its record for the first
 * three verdicts. */
enum take_verdict Attempts_Take(struct attempts *a,
                                const struct wire_dispatch *m,
                                uint64_t incarnation, int64_t now,
                                struct attempt **out);
/* Fences an attempt that is unknown; *out is the record of a taken one. */
enum withdraw_verdict Attempts_Withdraw(struct attempts *a,
                                        const struct wire_withdraw *m,
                                        uint64_t incarnation, int64_t now,
                                        struct attempt **out);
/* Drops the answer of an attempt that ended; that it ran is remembered. */
void Attempts_Settle(struct attempt *at);
/* Turns a taken attempt whose start never happened into a fenced one. */
void Attempts_Fence(struct attempt *at);
struct attempt *Attempts_Find(struct attempts *a, const struct id *request,
                              uint64_t number);
void Attempts_Remove(struct attempts *a, struct attempt *at);
/* Drops fences and settled attempts whose time is over; returns how many. */
size_t Attempts_Sweep(struct attempts *a, int64_t now);
const char *Attempts_VerdictName(enum take_verdict verdict);

#ifdef __cplusplus
}
#endif

#endif
