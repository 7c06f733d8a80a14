#include "agent-parts.h"

#include <stdlib.h>
#include <string.h>

#define ENDED_MAX 1024 /* limit of ended parts that are not fenced yet */

/* Sets the state of a part and marks it as to be reported. */
void
Part_SetState(struct part *part, enum part_state state, const char *reason)
{
    part->state = state;
    part->changed = true;
    Str_Copy(part->reason, sizeof(part->reason), reason);
}

/* True while a part occupies its accelerators. */
bool
Parts_HoldsAccelerators(const struct part *part)
{
    return part->state == PART_RESERVED || part->state == PART_RUNNING ||
           part->state == PART_STOPPING;
}

/* Removes and frees a part. */
void
Parts_Remove(struct parts *p, struct part *part)
{
    p->ended -= !Parts_HoldsAccelerators(part);
    TAILQ_REMOVE(&p->list, part, entry);
    Buf_Free(&part->spec);
    free(part);
}

/* Removes the oldest ended parts beyond ENDED_MAX, although their owner has
 * not fenced them: about a thousand other parts have ended since. */
static void
drop_excess_ended(struct parts *p)
{
    struct part *part, *next;

    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        if (p->ended <= ENDED_MAX) {
            return;
        }
        if (!Parts_HoldsAccelerators(part)) {
            Parts_Remove(p, part);
        }
    }
}

/* Ends a part and spends its rank. */
void
Part_End(struct parts *p, struct part *part, enum part_state state,
         const char *reason, int64_t now)
{
    Part_SetState(part, state, reason);
    part->ended_at = now;
    part->checkpointing = false;
    p->ended++;
    Buf_Free(&part->spec);
    Spent_Raise(p, &part->job, part->attempt, part->term, now);
}

/* Stops a part by stop_by, or moves the time of an earlier stop forward. A
 * part whose start was not requested ends at once, as no task can be running.
 */
void
Part_StopBy(struct parts *p, struct part *part, const char *reason,
            int64_t stop_by, int64_t now)
{
    if (part->state == PART_STOPPING) {
        part->stop_by = stop_by < part->stop_by ? stop_by : part->stop_by;
        part->checkpointing = part->checkpointing && part->stop_by > now;
        return;
    }
    if (part->start == START_NOT_REQUESTED) {
        Part_End(p, part, PART_STOPPED, reason, now);
        return;
    }
    Part_SetState(part, PART_STOPPING, reason);
    part->stop_by = stop_by;
    part->checkpointing = stop_by > now;
}

/* Initialises the state for a worker with the given number of accelerators. */
void
Parts_Init(struct parts *p, int accelerators, uint64_t incarnation)
{
    memset(p, 0, sizeof(*p));
    TAILQ_INIT(&p->list);
    RB_INIT(&p->spent);
    p->incarnation = incarnation;
    p->accelerators = accelerators >= CELLS_ACCELERATORS_MAX
                          ? UINT64_MAX
                          : (UINT64_C(1) << accelerators) - 1;
}

/* Frees all records. */
void
Parts_Free(struct parts *p)
{
    struct part *part, *next;

    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        Parts_Remove(p, part);
    }
    Spent_Free(p);
}

/* Finds a part by its rank. */
struct part *
Parts_Find(struct parts *p, const struct id *job, uint64_t attempt,
           uint64_t term)
{
    struct part *part;

    TAILQ_FOREACH (part, &p->list, entry) {
        if (part->attempt == attempt && part->term == term &&
            Id_Compare(&part->job, job) == 0) {
            return part;
        }
    }
    return NULL;
}

/* True when no other part holds accelerators of a reservation. A displaced
 * part may still write its checkpoint there; a start beside it would run two
 * tasks on one accelerator. */
bool
Parts_AcceleratorsFree(const struct parts *p, const struct part *part)
{
    const struct part *other;

    TAILQ_FOREACH (other, &p->list, entry) {
        if (other != part && Parts_HoldsAccelerators(other) &&
            (other->accelerators & part->accelerators) != 0) {
            return false;
        }
    }
    return true;
}

/* Refuses a release. The refusal ends the attempt: its rank is spent, so that
 * a late copy of its prepare does not reserve again. */
static struct parts_verdict
refuse_release(struct parts *p, const struct wire_release *m,
               struct part *part, enum parts_reason reason, int64_t now)
{
    if (part != NULL && part->state == PART_RESERVED) {
        Part_End(p, part, PART_STOPPED, Parts_ReasonName(reason), now);
    }
    else if (part == NULL) {
        Spent_Raise(p, &m->job, m->attempt, m->term, now);
    }
    return (struct parts_verdict){.reason = reason, .part = part};
}

/* Turns a reservation into a running part. A reservation whose lease is over
 * is refused even if Parts_Tick has not ended it yet: another attempt may have
 * started elsewhere since, as this one counts as unable to start. */
struct parts_verdict
Parts_Release(struct parts *p, const struct wire_release *m, int64_t now)
{
    struct part *part = Parts_Find(p, &m->job, m->attempt, m->term);
    int64_t lease = m->lease_ms < GANG_LEASE_MS ? m->lease_ms : GANG_LEASE_MS;

    if (m->incarnation != p->incarnation) {
        return (struct parts_verdict){.reason = PARTS_OTHER_INCARNATION};
    }
    if (part == NULL) {
        return refuse_release(p, m, part, PARTS_UNKNOWN, now);
    }
    if (part->state == PART_RUNNING) {
        return (struct parts_verdict){.reason = PARTS_DUPLICATE, .part = part};
    }
    if (part->state != PART_RESERVED) {
        return refuse_release(p, m, part, PARTS_SPENT, now);
    }
    if (now >= part->lease_until) {
        return refuse_release(p, m, part, PARTS_LAPSED, now);
    }
    if (!Parts_AcceleratorsFree(p, part)) {
        return refuse_release(p, m, part, PARTS_BUSY, now);
    }
    Part_SetState(part, PART_RUNNING, "released");
    part->lease_until = now + lease;
    return (struct parts_verdict){.reason = PARTS_GRANTED, .part = part};
}

/* Extends the leases in a renewer's reply. They count from the time at which
 * the agent sent the pulse: if they counted from the arrival of the reply, a
 * reply that was delayed would let a member work on long after the others have
 * stopped. */
size_t
Parts_Renew(struct parts *p, const struct wire_renew *m, int64_t now)
{
    const struct wire_renewed *list = m->renewed.items;
    int64_t lease = m->lease_ms < GANG_LEASE_MS ? m->lease_ms : GANG_LEASE_MS;
    size_t grown = 0, i;

    if (m->incarnation != p->incarnation || m->sent > now) {
        return 0;
    }
    for (i = 0; i < m->renewed.count; i++) {
        struct part *part =
            Parts_Find(p, &list[i].job, list[i].attempt, list[i].term);

        if (part != NULL && Parts_IsWorking(part) && now < part->lease_until &&
            m->sent + lease > part->lease_until) {
            part->lease_until = m->sent + lease;
            grown++;
        }
    }
    return grown;
}

/* True when a part's task works, and is not to stop at once. */
bool
Parts_IsWorking(const struct part *part)
{
    return part->start == START_CONFIRMED &&
           (part->state == PART_RUNNING || part->checkpointing);
}

/* Applies a stop message to a part. */
static void
apply_stop(struct parts *p, struct part *part, const struct wire_stop *m,
           int64_t now)
{
    const char *reason = m->reason[0] != '\0' ? m->reason : "asked";
    int64_t grace =
        m->how == STOP_CHECKPOINT && m->grace_ms > 0 ? m->grace_ms : 0;

    if (m->how == STOP_THROTTLE || m->how == STOP_RESUME) {
        part->throttled = m->how == STOP_THROTTLE;
        return;
    }
    Part_StopBy(p, part, reason, now + grace, now);
}

/* Handles an owner's message to stop, throttle or resume a part. */
struct parts_verdict
Parts_Stop(struct parts *p, const struct wire_stop *m, int64_t now)
{
    struct parts_verdict v = {.part =
                                  Parts_Find(p, &m->job, m->attempt, m->term)};

    if (m->incarnation != p->incarnation) {
        v.reason = PARTS_OTHER_INCARNATION;
    }
    else if (v.part == NULL) {
        v.reason = PARTS_UNKNOWN;
    }
    else if (!Parts_HoldsAccelerators(v.part)) {
        v.reason = PARTS_SPENT;
    }
    else {
        apply_stop(p, v.part, m, now);
    }
    return v;
}

/* True when a part's rank is that of the fence or lower. */
static bool
is_fenced_by(const struct part *part, const struct wire_fence *m)
{
    return Id_Compare(&part->job, &m->job) == 0 &&
           Rank_Compare(part->attempt, part->term, m->attempt, m->term) <= 0;
}

/* Fences all ranks up to that of m: none can start, and those that work are
 * stopped. The incarnation in m is not checked, as a fence concerns what can
 * work from now on. *done becomes true only when the runner has shown the end
 * of the tasks; if it were sent sooner, the next attempt would start while
 * this one still works. The term in m belongs to the fenced rank, so it may be
 * lower than the highest known term. */
void
Parts_Fence(struct parts *p, const struct wire_fence *m, int64_t now,
            bool *done)
{
    struct part *part, *next;

    /* Until the runner has listed its tasks, a task of an earlier agent
     * process may be working. */
    *done = p->ready || p->no_runner;
    Spent_Raise(p, &m->job, m->attempt, m->term, now);
    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        if (!is_fenced_by(part, m)) {
            continue;
        }
        if (Parts_HoldsAccelerators(part)) {
            Part_StopBy(p, part, "fenced", now, now);
        }
        part->fenced = true;
        *done = *done && !Parts_HoldsAccelerators(part);
    }
}

/* Ends reservations, leases and graces that are over. A part is stopped when
 * its lease was not renewed, so that a member that is cut off from the others
 * does not go on alone. The worker enforces the lease by itself as well, for
 * when this process can't. */
size_t
Parts_Tick(struct parts *p, int64_t now)
{
    struct part *part, *next;
    size_t lapsed = 0;

    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        if (part->state == PART_RESERVED && now >= part->lease_until) {
            Part_End(p, part, PART_STOPPED, "lapsed", now);
            lapsed++;
        }
        else if (part->state == PART_RUNNING && now >= part->lease_until) {
            Part_StopBy(p, part, "lease_over", now, now);
            lapsed++;
        }
        else if (part->checkpointing &&
                 (now >= part->stop_by || now >= part->lease_until)) {
            Part_StopBy(p, part, part->reason, now, now);
        }
    }
    drop_excess_ended(p);
    Spent_Sweep(p, now);
    return lapsed;
}

/* Ends the reservations and refuses new ones. */
void
Parts_Drain(struct parts *p, int64_t now)
{
    struct part *part, *next;

    p->leaving = true;
    TAILQ_FOREACH_SAFE (part, &p->list, entry, next) {
        if (part->state == PART_RESERVED) {
            Part_End(p, part, PART_STOPPED, "leaving", now);
        }
    }
}
