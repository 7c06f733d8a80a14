/* Builders of messages and lookups, shared by the tests of the agent's parts.
 */
#ifndef PARTS_SUPPORT_H
#define PARTS_SUPPORT_H

#include "agent.h"

#include <string>
#include <vector>

const uint64_t OWN_INCARNATION = 77; /* incarnation of the agent under test */

inline struct id
Job(uint8_t n)
{
    struct id id = {};

    id.b[0] = n;
    return id;
}

/* A worker with eight accelerators whose runner has listed no tasks. */
struct Worker {
    struct parts p;
    Worker()
    {
        Parts_Init(&p, 8, OWN_INCARNATION);
        Parts_Reconcile(&p, nullptr, 0, 0, 0, 0);
    }
    ~Worker()
    {
        Parts_Free(&p);
    }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
};

inline struct wire_prepare
Prepare(uint8_t job, uint64_t attempt, uint64_t term, uint64_t bits,
        int64_t lease = 3000)
{
    struct wire_prepare m = {};

    m.msg.type = WIRE_PREPARE;
    m.job = Job(job);
    m.attempt = attempt;
    m.term = term;
    m.incarnation = OWN_INCARNATION;
    m.accelerators = bits;
    m.members = 2;
    m.lease_ms = lease;
    m.grace_ms = 5000;
    return m;
}

inline struct wire_prepare
Claim(uint8_t job, uint64_t attempt, uint64_t term, uint64_t bits,
      uint64_t version, bool urgent = false)
{
    struct wire_prepare m = Prepare(job, attempt, term, bits);

    m.guaranteed = 1;
    m.claim_version = version;
    m.urgent = urgent;
    Str_Copy(m.organisation, sizeof(m.organisation), "court");
    return m;
}

/* A release of the reservation of that rank. */
inline struct wire_release
Release(uint8_t job, uint64_t attempt, uint64_t term)
{
    struct wire_release m = {};

    m.job = Job(job);
    m.attempt = attempt;
    m.term = term;
    m.incarnation = OWN_INCARNATION;
    m.lease_ms = GANG_LEASE_MS;
    return m;
}

inline bool
Fence(struct parts *p, uint8_t job, uint64_t attempt, uint64_t term,
      int64_t now, uint64_t incarnation = OWN_INCARNATION)
{
    struct wire_fence m = {};
    bool done = false;

    m.job = Job(job);
    m.attempt = attempt;
    m.term = term;
    m.incarnation = incarnation;
    Parts_Fence(p, &m, now, &done);
    return done;
}

inline size_t
Renew(struct parts *p, uint8_t job, uint64_t attempt, uint64_t term,
      int64_t sent, int64_t now, uint64_t incarnation = OWN_INCARNATION)
{
    struct wire_renewed one = {Job(job), attempt, term};
    struct wire_renew m = {};

    m.incarnation = incarnation;
    m.sent = sent;
    m.lease_ms = GANG_LEASE_MS;
    m.renewed = {&one, 1};
    return Parts_Renew(p, &m, now);
}

/* Binds these bits to the organisation that Claim names. */
inline enum parts_reason
Bind(struct parts *p, uint64_t term, uint64_t version, uint64_t bits)
{
    struct wire_binding one = {"court", bits};
    struct wire_bind m = {};

    m.term = term;
    m.incarnation = OWN_INCARNATION;
    m.version = version;
    m.bindings = {&one, 1};
    return Parts_Bind(p, &m);
}

inline struct part *
Find(struct parts *p, uint8_t job, uint64_t attempt, uint64_t term)
{
    struct id id = Job(job);

    return Parts_Find(p, &id, attempt, term);
}

/* Prepares and releases a part, and confirms its start. Returns NULL when the
 * agent refuses. */
inline struct part *
Started(struct parts *p, const struct wire_prepare &m, int64_t now)
{
    struct wire_release r = Release(m.job.b[0], m.attempt, m.term);

    if (Parts_Prepare(p, &m, now).reason != PARTS_GRANTED ||
        Parts_Release(p, &r, now).reason != PARTS_GRANTED) {
        return nullptr;
    }
    struct part *part = Parts_Find(p, &m.job, m.attempt, m.term);
    part->start = START_REQUESTED;
    Parts_RecordStart(p, part, ERR_OK, now);
    return part;
}

inline struct runner_task
Task(uint8_t job, uint64_t attempt, enum runner_state state, uint64_t bits,
     int64_t until = 0, const char *label = "")
{
    struct runner_task t = {};

    t.job = Job(job);
    t.attempt = attempt;
    t.state = state;
    t.accelerators = bits;
    t.checkpoint_ms = -1;
    t.until = until;
    Str_Copy(t.label, sizeof(t.label), label);
    return t;
}

#endif
