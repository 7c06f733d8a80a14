#include "agent-parts.h"

#include <string.h>

static const char *const reasons[] = {
    [PARTS_GRANTED] = "granted",
    [PARTS_DUPLICATE] = "again",
    [PARTS_OTHER_INCARNATION] = "other_incarnation",
    [PARTS_NO_RUNNER] = "no_runner",
    [PARTS_NOT_READY] = "runner_not_heard",
    [PARTS_LEAVING] = "leaving",
    [PARTS_LOW_TERM] = "low_term",
    [PARTS_SPENT] = "spent",
    [PARTS_JOB_HELD] = "job_held",
    [PARTS_INVALID] = "invalid",
    [PARTS_BUSY] = "busy",
    [PARTS_CLAIM] = "claim",
    [PARTS_FULL] = "full",
    [PARTS_LAPSED] = "lapsed",
    [PARTS_UNKNOWN] = "unknown",
    [PARTS_OLD_BINDING] = "old_binding",
};

/* Name of a reason, for logs and replies. */
const char *
Parts_ReasonName(enum parts_reason reason)
{
    return (size_t)reason < COUNT_OF(reasons) ? reasons[reason] : "unnamed";
}

/* True for a reservation that the higher rank of m replaces. */
static bool
is_replaced(const struct part *part, const struct wire_prepare *m)
{
    return part->state == PART_RESERVED &&
           Id_Compare(&part->job, &m->job) == 0 &&
           Rank_Compare(part->attempt, part->term, m->attempt, m->term) < 0;
}

/* Checks a prepare against the agent's state and the ranges of its fields. */
static enum parts_reason
check_message(struct parts *p, const struct wire_prepare *m)
{
    if (m->incarnation != p->incarnation) {
        return PARTS_OTHER_INCARNATION;
    }
    if (p->no_runner) {
        return PARTS_NO_RUNNER;
    }
    if (m->term < p->term) {
        return PARTS_LOW_TERM;
    }
    if (m->accelerators == 0 || (m->accelerators & ~p->accelerators) != 0 ||
        m->lease_ms <= 0 || m->members == 0) {
        return PARTS_INVALID;
    }
    if (!p->ready) {
        return PARTS_NOT_READY;
    }
    return p->leaving ? PARTS_LEAVING : PARTS_GRANTED;
}

/* Checks the rank of a prepare against the other ranks of its job. */
static enum parts_reason
check_rank(struct parts *p, const struct wire_prepare *m)
{
    const struct part *part;

    TAILQ_FOREACH (part, &p->list, entry) {
        if (Id_Compare(&part->job, &m->job) != 0 || is_replaced(part, m)) {
            continue;
        }
        if (part->state == PART_RUNNING || part->state == PART_STOPPING) {
            return PARTS_JOB_HELD;
        }
        if (Rank_Compare(part->attempt, part->term, m->attempt, m->term) >=
            0) {
            return PARTS_SPENT;
        }
    }
    if (Spent_Covers(p, &m->job, m->attempt, m->term)) {
        return PARTS_SPENT;
    }
    return p->spent_count >= SPENT_MAX ? PARTS_FULL : PARTS_GRANTED;
}

/* Accelerators in use, except those of a reservation that m replaces. */
static uint64_t
accelerators_in_use(const struct parts *p, const struct wire_prepare *m)
{
    const struct part *part;
    uint64_t bits = 0;

    TAILQ_FOREACH (part, &p->list, entry) {
        if (Parts_HoldsAccelerators(part) && !is_replaced(part, m)) {
            bits |= part->accelerators;
        }
    }
    return bits;
}

/* Checks a claim against the bindings that this worker knows. */
static struct cells_claim
check_claim(const struct parts *p, const struct wire_prepare *m)
{
    struct cells_local_job job[2 * CELLS_ACCELERATORS_MAX];
    struct cells_local local = {.version = p->binding_version,
                                .binding = p->binding,
                                .bindings = p->bindings,
                                .job = job};
    const struct part *part;

    TAILQ_FOREACH (part, &p->list, entry) {
        if (Parts_HoldsAccelerators(part) && !is_replaced(part, m) &&
            (part->accelerators & m->accelerators) != 0 &&
            local.jobs < (int)COUNT_OF(job)) {
            job[local.jobs] = (struct cells_local_job){
                .job = (uint64_t)local.jobs,
                .mask = part->accelerators,
                .guaranteed = part->guaranteed,
            };
            local.jobs++;
        }
    }
    return Cells_Claim(&local, m->organisation, m->accelerators,
                       m->claim_version);
}

/* Stops the lent parts on the accelerators of a rightful claim within their
 * grace; an urgent claim shortens it. Returns how many. */
static int
displace(struct parts *p, const struct wire_prepare *m, int64_t now)
{
    struct part *part, *next;
    int displaced = 0;

    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        int64_t grace = part->grace_ms;

        if (!Parts_HoldsAccelerators(part) ||
            (part->accelerators & m->accelerators) == 0) {
            continue;
        }
        if (m->urgent && grace > PARTS_URGENT_GRACE_MS) {
            grace = PARTS_URGENT_GRACE_MS;
        }
        Part_StopBy(p, part, "reclaimed", now + grace, now);
        displaced++;
    }
    return displaced;
}

/* Ends the reservations that the new rank replaces. */
static void
drop_replaced(struct parts *p, const struct wire_prepare *m, int64_t now)
{
    struct part *part, *next;

    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        if (is_replaced(part, m)) {
            Part_End(p, part, PART_STOPPED, "replaced", now);
        }
    }
}

/* Adds the reservation. */
static struct part *
reserve(struct parts *p, const struct wire_prepare *m, int64_t now)
{
    struct part *part = Mem_Zero(1, sizeof(*part));
    int64_t lease =
        m->lease_ms < PARTS_LEASE_MAX_MS ? m->lease_ms : PARTS_LEASE_MAX_MS;

    part->job = m->job;
    part->attempt = m->attempt;
    part->term = m->term;
    part->accelerators = m->accelerators;
    part->tasks = m->tasks;
    part->members = m->members;
    part->grace_ms = m->grace_ms > 0 ? m->grace_ms : 0;
    part->guaranteed = m->guaranteed != 0;
    part->checkpoint_ms = -1;
    part->lease_until = now + lease;
    Str_Copy(part->organisation, sizeof(part->organisation), m->organisation);
    Buf_Append(&part->spec, m->spec.data, m->spec.len);
    Part_SetState(part, PART_RESERVED, "prepared");
    TAILQ_INSERT_TAIL(&p->list, part, entry);
    return part;
}

/* Checks that the accelerators are free or rightfully claimed, and reserves
 * them. */
static struct parts_verdict
reserve_accelerators(struct parts *p, const struct wire_prepare *m,
                     int64_t now)
{
    struct parts_verdict v = {.busy =
                                  accelerators_in_use(p, m) & m->accelerators};

    if (m->guaranteed) {
        v.claim = check_claim(p, m).reason;
    }
    if (m->guaranteed && v.claim != CELLS_CLAIM_VALID) {
        v.reason = PARTS_CLAIM;
        return v;
    }
    if (!m->guaranteed && v.busy != 0) {
        v.reason = PARTS_BUSY;
        return v;
    }
    drop_replaced(p, m, now);
    if (m->guaranteed) {
        v.displaced = displace(p, m, now);
    }
    v.part = reserve(p, m, now);
    v.busy = 0;
    return v;
}

/* Reserves accelerators, or returns the reason of the refusal. */
struct parts_verdict
Parts_Prepare(struct parts *p, const struct wire_prepare *m, int64_t now)
{
    struct part *same = Parts_Find(p, &m->job, m->attempt, m->term);
    struct parts_verdict v = {.reason = check_message(p, m)};

    if (v.reason != PARTS_GRANTED) {
        return v;
    }
    p->term = m->term;
    if (same != NULL &&
        (same->state == PART_RESERVED || same->state == PART_RUNNING)) {
        v.reason = now < same->lease_until ? PARTS_DUPLICATE : PARTS_LAPSED;
        v.part = same;
        return v;
    }
    v.reason = check_rank(p, m);
    return v.reason == PARTS_GRANTED ? reserve_accelerators(p, m, now) : v;
}

/* Clears the guarantee of parts outside the cells of their organisation: they
 * go on as lent work. */
static void
withdraw_guarantees(struct parts *p)
{
    struct part *part;

    TAILQ_FOREACH (part, &p->list, entry) {
        uint64_t bound = 0;

        for (int i = 0; i < p->bindings; i++) {
            if (strcmp(p->binding[i].organisation, part->organisation) == 0) {
                bound |= p->binding[i].mask;
            }
        }
        part->guaranteed =
            part->guaranteed && (part->accelerators & ~bound) == 0;
    }
}

/* Replaces the bindings of organisations to this worker's accelerators. Older
 * bindings are refused, as with them the agent would grant claims to cells
 * that have been withdrawn since. Versions are ordered within a term, as each
 * new owner starts its count again. */
enum parts_reason
Parts_Bind(struct parts *p, const struct wire_bind *m)
{
    const struct wire_binding *list = m->bindings.items;

    if (m->incarnation != p->incarnation) {
        return PARTS_OTHER_INCARNATION;
    }
    if (m->term < p->term) {
        return PARTS_LOW_TERM;
    }
    if (m->bindings.count > CELLS_ACCELERATORS_MAX) {
        return PARTS_INVALID;
    }
    p->term = m->term;
    if (Rank_Compare(m->term, m->version, p->binding_term,
                     p->binding_version) <= 0) {
        return PARTS_OLD_BINDING;
    }
    p->binding_term = m->term;
    p->binding_version = m->version;
    p->bindings = (int)m->bindings.count;
    for (int i = 0; i < p->bindings; i++) {
        Str_Copy(p->binding[i].organisation, NAME_SIZE, list[i].organisation);
        p->binding[i].mask = list[i].accelerators;
    }
    withdraw_guarantees(p);
    return PARTS_GRANTED;
}
