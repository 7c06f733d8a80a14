#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The end of an attempt: all members are fenced, then the row is written, then
 * the job goes back to the queue unless it has ended. */
#define FENCE_RETRY_MS 500
#define WRITE_RETRY_MS 1000
#define RESERVE_MS 3000 /* R of model/gang.pml; same as in entry-gangs.c */
/* After the first member is fenced, leases may still be renewed, or
 * reservations be valid, for this long. */
#define RENEWABLE_MS                                                          \
    (GANG_PULSE_MAX_AGE_MS > RESERVE_MS ? GANG_PULSE_MAX_AGE_MS : RESERVE_MS)
/* Far more than the clocks of two machines drift apart. */
#define DRIFT_PERCENT 1

/* Rule 7b of model/gang.pml: counted from the first fenced member, no lease is
 * renewed after H (GANG_PULSE_MAX_AGE_MS), a reservation lapses within R, and
 * the last lease that was renewed or released ends G (GANG_LEASE_MS) later.
 * Before that, a silent member may still run, and a second attempt would run
 * beside it. */
#define FENCED_WAIT_MS                                                        \
    ((RENEWABLE_MS + GANG_LEASE_MS) * (100 + DRIFT_PERCENT) / 100)

/* Sends a fence to all members that have not confirmed one: they stop their
 * parts and never start them again. The fence names no incarnation, so an
 * agent that was restarted stops what its worker still runs. */
void
Gang_SendFences(struct job *j)
{
    size_t i;

    j->fence_sent_at = Clock_NowMs();
    for (i = 0; i < j->members; i++) {
        struct worker *w = Workers_Find(j->sched, j->member[i].assigned.agent);
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

/* Ends the attempt at every member; afterwards the job's state is after. */
void
Gang_Fence(struct job *j, enum job_state after, const char *reason)
{
    if (j->phase == GANG_FENCING) {
        return;
    }
    j->next_state = after;
    j->first_fenced_at = 0;
    Str_Copy(j->row.reason, sizeof(j->row.reason), reason);
    Sched_RecordDecision(j->sched, &j->row.id, "fence", reason,
                         json_pack("{s:I, s:s}", "attempt",
                                   (json_int_t)j->row.attempt, "after",
                                   Job_StateName(after)));
    Gang_SetPhase(j, GANG_FENCING, INT64_MAX);
    Gang_SendFences(j);
}

/* Sends the response of an attached job, with its final state. */
void
Job_ReplyAttached(struct job *j)
{
    if (j->ex != NULL) {
        Front_ReplyJson(j->ex, 200, Job_View(&j->row));
        j->ex = NULL;
    }
}

/* Removes an ended job from memory. Its row is deleted later by Ended_Sweep.
 */
static void
drop_ended(struct job *j)
{
    if (!j->attached) {
        Ended_Add(j->sched, &j->row.id);
    }
    JobSet_Drop(j);
}

/* Handles the result of writing the outcome of an attempt. */
static void
on_outcome_written(struct job *j, int err)
{
    if (err != ERR_OK) {
        j->since = Clock_NowMs(); /* Gang_RetryPending repeats the write */
        return;
    }
    if (Job_IsOver(j->row.state)) {
        Job_ReplyAttached(j);
        Order_Forget(j->sched->order, &j->row.id);
        drop_ended(j);
        return;
    }
    free(j->member);
    j->member = NULL;
    j->members = 0;
    Gang_SetPhase(j, GANG_WAITING, INT64_MAX);
    Placement_Enqueue(j);
}

/* Writes the state that follows the attempt. A requested cancellation takes
 * precedence over another attempt. */
void
Gang_WriteOutcome(struct job *j)
{
    if (j->phase != GANG_WRITING_OUTCOME) {
        Gang_SetPhase(j, GANG_WRITING_OUTCOME, INT64_MAX);
    }
    if (j->writing) {
        return;
    }
    if (j->row.cancel && j->next_state == JOB_QUEUED) {
        j->next_state = JOB_CANCELLED;
    }
    if (j->next_state == JOB_CANCELLED) {
        Str_Copy(j->row.reason, sizeof(j->row.reason), "cancelled");
    }
    j->row.state = j->next_state;
    j->row.members = 0;
    j->row.ended_at = Job_IsOver(j->next_state) ? Clock_WallMs() : 0;
    j->since = Clock_NowMs();
    Job_Write(j, on_outcome_written);
}

/* Releases the accelerators and writes the outcome when no member can run any
 * more: all have confirmed the fence (rule 7a) or all leases are over (rule
 * 7b). */
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
        Sched_RecordDecision(j->sched, &j->row.id, "fenced",
                             fenced == j->members ? "all_answered"
                                                  : "leases_over",
                             json_pack("{s:i, s:i}", "fenced", (int)fenced,
                                       "members", (int)j->members));
        Placement_Release(j);
        Gang_WriteOutcome(j);
    }
}

/* Handles an agent's answer to a fence: its part has stopped for good, or is
 * still stopping (done is 0). */
void
Gang_HandleFenced(struct sched *s, const struct wire_fenced *m,
                  const char *agent)
{
    struct job *j = JobSet_Find(s, &m->job);
    size_t i;

    if (j == NULL || j->phase != GANG_FENCING || !m->done ||
        m->attempt < j->row.attempt) {
        return;
    }
    for (i = 0; i < j->members; i++) {
        if (strcmp(j->member[i].assigned.agent, agent) == 0) {
            j->member[i].fenced = true;
        }
    }
    if (j->first_fenced_at == 0) {
        j->first_fenced_at = Clock_NowMs();
    }
    check_fenced(j);
}

/* Handles the result of writing the state "done", after which the members may
 * forget their parts. If they were fenced before the write, a new owner could
 * find a fenced attempt whose row isn't done and run the job again. */
static void
on_completion_written(struct job *j, int err)
{
    if (err != ERR_OK) {
        j->since = Clock_NowMs();
        return;
    }
    Sched_RecordDecision(
        j->sched, &j->row.id, "done", "all_members_done",
        json_pack("{s:I}", "attempt", (json_int_t)j->row.attempt));
    Gang_SendFences(j);
    Placement_JobDone(j);
    Placement_Release(j);
    Job_ReplyAttached(j);
    drop_ended(j);
}

/* Writes that the job is done, after all members have reported so. */
void
Gang_Complete(struct job *j)
{
    if (j->phase != GANG_COMPLETING) {
        Gang_SetPhase(j, GANG_COMPLETING, INT64_MAX);
    }
    if (j->writing) {
        return;
    }
    j->row.state = JOB_DONE;
    j->row.ended_at = Clock_WallMs();
    j->since = Clock_NowMs();
    Job_Write(j, on_completion_written);
}

/* Sends a member of a preempted job the request to stop. */
static void
send_stop(struct job *j, const struct gang_member *gm,
          const struct cells_victim *victim)
{
    struct worker *w = Workers_Find(j->sched, gm->assigned.agent);
    struct wire_stop *m;

    if (w == NULL || !w->up) {
        return;
    }
    m = Wire_New(WIRE_STOP);
    m->job = j->row.id;
    m->attempt = j->row.attempt;
    m->term = j->sched->owner.term;
    m->incarnation = gm->assigned.incarnation;
    m->how = victim->action == CELLS_CHECKPOINT ? STOP_CHECKPOINT : STOP_NOW;
    m->grace_ms = victim->grace_ms;
    Str_Copy(m->reason, sizeof(m->reason), "displaced");
    Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
}

/* Preempts a job. A running one stops within its grace period; one that is
 * only being prepared goes back to the queue. */
void
Gang_Preempt(struct job *j, const struct cells_victim *victim)
{
    size_t i;

    if (j->phase == GANG_AWAITING_VICTIMS || j->phase == GANG_PREPARING) {
        Gang_DropTry(j, "displaced", "");
        return;
    }
    j->preempted = true;
    if (j->phase != GANG_RELEASED && j->phase != GANG_ADOPTING) {
        return;
    }
    Sched_RecordDecision(j->sched, &j->row.id, "yield", "displaced",
                         json_pack("{s:I, s:I}", "grace_ms",
                                   (json_int_t)victim->grace_ms, "lost_work",
                                   (json_int_t)victim->lost_work));
    Gang_SetPhase(j, GANG_PREEMPTED, victim->grace_ms);
    for (i = 0; i < j->members; i++) {
        send_stop(j, &j->member[i], victim);
    }
}

/* Cancels a job in any phase. While a write of its row is in progress,
 * row.cancel stays set and is handled with the result of the write. */
void
Gang_Cancel(struct job *j)
{
    j->row.cancel = true;
    if (j->phase == GANG_AWAITING_VICTIMS || j->phase == GANG_PREPARING) {
        Gang_DropTry(j, "cancelled", "");
    }
    if (j->phase == GANG_WAITING) {
        Placement_Dequeue(j);
        if (Job_IsOver(j->row.state)) {
            Order_Forget(j->sched->order, &j->row.id);
            Job_ReplyAttached(j);
            drop_ended(j);
            return;
        }
        j->next_state = JOB_CANCELLED;
        Gang_WriteOutcome(j);
        return;
    }
    if (j->phase == GANG_FENCING || j->phase == GANG_WRITING_OUTCOME) {
        j->next_state = JOB_CANCELLED;
        return;
    }
    if (j->phase != GANG_COMMITTING && j->phase != GANG_COMPLETING) {
        Gang_Fence(j, JOB_CANCELLED, "cancelled");
    }
}

/* Repeats fences that are not confirmed and writes of the row that failed. */
void
Gang_RetryPending(struct job *j, int64_t now)
{
    if (j->phase == GANG_FENCING && now - j->fence_sent_at >= FENCE_RETRY_MS) {
        Gang_SendFences(j);
        check_fenced(j);
        return;
    }
    if (j->writing || now - j->since < WRITE_RETRY_MS) {
        return;
    }
    if (j->phase == GANG_WRITING_OUTCOME) {
        Gang_WriteOutcome(j);
    }
    else if (j->phase == GANG_COMPLETING) {
        Gang_Complete(j);
    }
}
