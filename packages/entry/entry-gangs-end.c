#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* How an attempt ends: all members fenced, then the row, then the queue. */
#define FENCE_EVERY_MS 500
#define SETTLE_EVERY_MS 1000
#define RESERVE_MS 3000 /* R of model/gang.pml, as in entry-gangs.c */
#define HEARD_OR_RESERVED_MS                                                  \
    (GANG_HEARD_MS > RESERVE_MS ? GANG_HEARD_MS : RESERVE_MS)
/* Clocks of two machines drift apart by far less than this. */
#define DRIFT_PERCENT 1

/* Rule 7b: from one fenced member on, no lease is renewed after H, a
 * reservation lapses within R, and what was renewed or released last ends G
 * later. Before that a silent member may still work, and a second attempt
 * would run beside it. */
#define FENCED_WAIT_MS                                                        \
    ((HEARD_OR_RESERVED_MS + GANG_LEASE_MS) * (100 + DRIFT_PERCENT) / 100)

/* Asks all members that have not answered to stop and never start again. An
 * agent that was replaced is asked too: it stops what its worker still runs.
 */
void
Gang_SendFences(struct job *j)
{
    size_t i;

    j->fence_sent_at = Clock_NowMs();
    for (i = 0; i < j->members; i++) {
        struct worker *w = Workers_Find(j->sched, j->member[i].at.agent);
        struct wire_fence *m;

        if (j->member[i].fenced || w == NULL || !w->up) {
            continue;
        }
        m = Wire_New(WIRE_FENCE);
        m->job = j->row.id;
        m->attempt = j->row.attempt;
        m->term = j->sched->owner.term;
        Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
    }
}

/* Ends the attempt at every member; then the job becomes `after`. */
void
Gang_Fence(struct job *j, enum job_state after, const char *reason)
{
    if (j->phase == GANG_FENCING) {
        return;
    }
    j->after = after;
    j->first_fenced_at = 0;
    Str_Copy(j->row.reason, sizeof(j->row.reason), reason);
    Sched_Decided(j->sched, &j->row.id, "fence", reason,
                  json_pack("{s:I, s:s}", "attempt",
                            (json_int_t)j->row.attempt, "after",
                            Job_StateName(after)));
    Gang_SetPhase(j, GANG_FENCING, INT64_MAX);
    Gang_SendFences(j);
}

/* Ends an attached job's exchange with how it ended. */
void
Job_ReplyAttached(struct job *j)
{
    if (j->ex != NULL) {
        Front_ReplyJson(j->ex, 200, Job_View(&j->row));
        j->ex = NULL;
    }
}

/* Forgets a job that is over; its row stays for a while. */
static void
end_row(struct job *j)
{
    if (!j->attached) {
        Ended_Note(j->sched, &j->row.id);
    }
    JobSet_Drop(j);
}

/* The row says how it went on. */
static void
on_settled(struct job *j, int err)
{
    if (err != ERR_OK) {
        j->since = Clock_NowMs(); /* the tick writes it again */
        return;
    }
    if (Job_IsOver(j->row.state)) {
        Job_ReplyAttached(j);
        Order_Forget(j->sched->order, &j->row.id);
        end_row(j);
        return;
    }
    free(j->member);
    j->member = NULL;
    j->members = 0;
    Gang_SetPhase(j, GANG_WAITING, INT64_MAX);
    Account_Enqueue(j);
}

/* Writes what follows the attempt. A wish to cancel goes before a new try. */
void
Gang_Settle(struct job *j)
{
    if (j->phase != GANG_SETTLING) {
        Gang_SetPhase(j, GANG_SETTLING, INT64_MAX);
    }
    if (j->writing) {
        return;
    }
    if (j->row.cancel && j->after == JOB_QUEUED) {
        j->after = JOB_CANCELLED;
    }
    if (j->after == JOB_CANCELLED) {
        Str_Copy(j->row.reason, sizeof(j->row.reason), "cancelled");
    }
    j->row.state = j->after;
    j->row.members = 0;
    j->row.ended_at = Job_IsOver(j->after) ? Clock_WallMs() : 0;
    j->since = Clock_NowMs();
    Job_Write(j, on_settled);
}

/* Goes on when no member can work any more, by rule 7a or 7b. */
static void
check_fenced(struct job *j)
{
    size_t i, fenced = 0;

    for (i = 0; i < j->members; i++) {
        fenced += j->member[i].fenced;
    }
    if (fenced == j->members ||
        (j->first_fenced_at != 0 &&
         Clock_NowMs() - j->first_fenced_at >= FENCED_WAIT_MS)) {
        Sched_Decided(j->sched, &j->row.id, "fenced",
                      fenced == j->members ? "all_answered" : "leases_over",
                      json_pack("{s:i, s:i}", "fenced", (int)fenced, "members",
                                (int)j->members));
        Account_Release(j);
        Gang_Settle(j);
    }
}

/* An agent has stopped its part for good, or still stops it. */
void
Gang_TakeFenced(struct sched *s, const struct wire_fenced *m,
                const char *agent)
{
    struct job *j = JobSet_Find(s, &m->job);
    size_t i;

    if (j == NULL || j->phase != GANG_FENCING || !m->done ||
        m->attempt < j->row.attempt) {
        return;
    }
    for (i = 0; i < j->members; i++) {
        if (strcmp(j->member[i].at.agent, agent) == 0) {
            j->member[i].fenced = true;
        }
    }
    if (j->first_fenced_at == 0) {
        j->first_fenced_at = Clock_NowMs();
    }
    check_fenced(j);
}

/* The end is in the row: now the members may forget it. Fenced before that,
 * a new owner would find a fenced attempt that isn't over, and run it again.
 */
static void
on_ended(struct job *j, int err)
{
    if (err != ERR_OK) {
        j->since = Clock_NowMs();
        return;
    }
    Sched_Decided(j->sched, &j->row.id, "done", "all_members_done",
                  json_pack("{s:I}", "attempt", (json_int_t)j->row.attempt));
    Gang_SendFences(j);
    Account_Done(j);
    Account_Release(j);
    Job_ReplyAttached(j);
    end_row(j);
}

/* All members have done their parts. */
void
Gang_End(struct job *j)
{
    if (j->phase != GANG_ENDING) {
        Gang_SetPhase(j, GANG_ENDING, INT64_MAX);
    }
    if (j->writing) {
        return;
    }
    j->row.state = JOB_DONE;
    j->row.ended_at = Clock_WallMs();
    j->since = Clock_NowMs();
    Job_Write(j, on_ended);
}

/* Says how a member is to stop. */
static void
send_stop(struct job *j, const struct gang_member *gm,
          const struct cells_victim *victim)
{
    struct worker *w = Workers_Find(j->sched, gm->at.agent);
    struct wire_stop *m;

    if (w == NULL || !w->up) {
        return;
    }
    m = Wire_New(WIRE_STOP);
    m->job = j->row.id;
    m->attempt = j->row.attempt;
    m->term = j->sched->owner.term;
    m->incarnation = gm->at.incarnation;
    m->how = victim->action == CELLS_CHECKPOINT ? STOP_CHECKPOINT : STOP_NOW;
    m->grace_ms = victim->grace_ms;
    Str_Copy(m->reason, sizeof(m->reason), "displaced");
    Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
}

/* Makes room: a job that works stops within its grace, one that only tries
 * goes back to the queue. */
void
Gang_Yield(struct job *j, const struct cells_victim *victim)
{
    size_t i;

    if (j->phase == GANG_CLEARING || j->phase == GANG_PREPARING) {
        Gang_DropTry(j, "displaced", "");
        return;
    }
    j->yielded = true;
    if (j->phase != GANG_RELEASED && j->phase != GANG_ADOPTING) {
        return;
    }
    Sched_Decided(j->sched, &j->row.id, "yield", "displaced",
                  json_pack("{s:I, s:I}", "grace_ms",
                            (json_int_t)victim->grace_ms, "lost_work",
                            (json_int_t)victim->lost_work));
    Gang_SetPhase(j, GANG_YIELDING, victim->grace_ms);
    for (i = 0; i < j->members; i++) {
        send_stop(j, &j->member[i], victim);
    }
}

/* Ends a job at its caller's wish, from whatever phase it is in. While its row
 * is under way the wish waits for the answer. */
void
Gang_Cancel(struct job *j)
{
    j->row.cancel = true;
    if (j->phase == GANG_CLEARING || j->phase == GANG_PREPARING) {
        Gang_DropTry(j, "cancelled", "");
    }
    if (j->phase == GANG_WAITING) {
        Account_Dequeue(j);
        if (Job_IsOver(j->row.state)) {
            Order_Forget(j->sched->order, &j->row.id);
            Job_ReplyAttached(j);
            end_row(j);
            return;
        }
        j->after = JOB_CANCELLED;
        Gang_Settle(j);
        return;
    }
    if (j->phase == GANG_FENCING || j->phase == GANG_SETTLING) {
        j->after = JOB_CANCELLED;
        return;
    }
    if (j->phase != GANG_COMMITTING && j->phase != GANG_ENDING) {
        Gang_Fence(j, JOB_CANCELLED, "cancelled");
    }
}

/* Repeats what has had no answer. */
void
Gang_Repeat(struct job *j, int64_t now)
{
    if (j->phase == GANG_FENCING && now - j->fence_sent_at >= FENCE_EVERY_MS) {
        Gang_SendFences(j);
        check_fenced(j);
        return;
    }
    if (j->writing || now - j->since < SETTLE_EVERY_MS) {
        return;
    }
    if (j->phase == GANG_SETTLING) {
        Gang_Settle(j);
    }
    else if (j->phase == GANG_ENDING) {
        Gang_End(j);
    }
}
