#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* Reactions of a gang to the reports of its parts, and to its deadlines. */

/* Time for the members of an adopted gang to report that they run. */
#define ADOPT_MS (GANG_PULSE_MAX_AGE_MS + 2000)

/* Numbers of an attempt's members by state. */
struct tally {
    size_t running;
    size_t done;
    size_t failed;
    size_t stopped;
    const char *agent; /* the first that failed or stopped */
};

/* Counts the members by their states. */
static struct tally
count_states(const struct job *j)
{
    struct tally t = {0};
    size_t i;

    for (i = 0; i < j->members; i++) {
        enum part_state state = j->member[i].state;

        t.running += state == PART_RUNNING || state == PART_STOPPING;
        t.done += state == PART_DONE;
        t.failed += state == PART_FAILED;
        t.stopped += state == PART_STOPPED;
        if ((state == PART_FAILED || state == PART_STOPPED) &&
            t.agent == NULL) {
            t.agent = j->member[i].assigned.agent;
        }
    }
    return t;
}

/* The state of a job after an attempt that was cut short. A job whose class is
 * not repeatable never starts twice, unless it resumes from its own
 * checkpoint. */
static enum job_state
state_after_cut(const struct job *j, bool checkpointed)
{
    const struct config_class *class = Job_Class(j);

    if (class != NULL &&
        (class->repeatable || (checkpointed && class->checkpoint))) {
        return JOB_QUEUED;
    }
    return JOB_FAILED;
}

/* Ends an attempt in which a member's task ended with an error. */
static void
end_failed(struct job *j, const struct tally *t)
{
    enum job_state after = state_after_cut(j, false);

    if (Placement_JobFailed(j, t->agent, true) && after == JOB_QUEUED) {
        after = JOB_CANNOT_RUN;
    }
    Gang_Fence(j, after, "task_failed");
}

/* Handles the result of writing the state "running". A failed write is
 * repeated by the tick. */
static void
on_running_written(struct job *j, int err)
{
    if (err == ERR_CONFLICT && j->row.cancel) {
        Gang_Cancel(j);
        return;
    }
    j->row_outdated = err != ERR_OK;
}

/* Writes the state "running" to the row. */
static void
write_running(struct job *j)
{
    j->row.state = JOB_RUNNING;
    j->row_outdated = true;
    if (!j->writing) {
        Job_Write(j, on_running_written);
    }
}

/* Called when all members run or are done. The phase has no deadline any more,
 * as only the end of the attempt is awaited. */
static void
on_all_running(struct job *j)
{
    if (j->phase == GANG_ADOPTING) {
        Sched_RecordDecision(
            j->sched, &j->row.id, "adopted", "all_members_work",
            json_pack("{s:I}", "attempt", (json_int_t)j->row.attempt));
        j->started_at = Clock_NowMs();
    }
    Gang_SetPhase(j, GANG_RELEASED, INT64_MAX);
    if (j->row.state == JOB_STARTING) {
        write_running(j);
    }
}

/* Decides how the attempt goes on, by the states of all members. */
static void
evaluate(struct job *j)
{
    struct tally t = count_states(j);

    if (t.done == j->members) {
        Gang_Complete(j);
        return;
    }
    if (j->phase == GANG_PREEMPTED) {
        if (t.running == 0 && t.done + t.failed + t.stopped == j->members) {
            Gang_Fence(j, state_after_cut(j, true), "displaced");
        }
        return;
    }
    if (t.failed > 0) {
        end_failed(j, &t);
    }
    else if (t.stopped > 0) {
        Gang_Fence(j, state_after_cut(j, false), "member_stopped");
    }
    else if (t.running + t.done == j->members && j->deadline != INT64_MAX) {
        on_all_running(j);
    }
}

/* Handles the restart of an agent. Its new process may find the part running
 * and adopt it, so the attempt is not ended at once. If the part is never
 * reported again, the job's state would stay "running" for ever. The phase
 * therefore gets a deadline, by which all leases have lapsed if this member
 * sends no pulses. */
void
Gang_MemberRestarted(struct job *j, const struct worker *w)
{
    size_t i;

    for (i = 0; i < j->members && j->phase == GANG_RELEASED; i++) {
        struct gang_member *gm = &j->member[i];
        const struct part_report *p;

        if (strcmp(gm->assigned.agent, w->name) != 0 ||
            gm->assigned.incarnation == w->incarnation) {
            continue;
        }
        p = PartReports_Find(&j->sched->part_reports, &j->row.id, w->name);
        gm->assigned.incarnation = w->incarnation;
        if (p != NULL && p->incarnation == w->incarnation &&
            p->part.attempt == j->row.attempt) {
            continue;
        }
        gm->state = PART_RESERVED;
        Gang_SetPhase(j, GANG_RELEASED, GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS);
    }
}

/* Fences a part that belongs to no current attempt. */
static void
fence_stray(struct sched *s, const struct worker *w,
            const struct wire_part *part)
{
    struct wire_fence *m = Wire_New(WIRE_FENCE);

    m->job = part->job;
    m->attempt = part->attempt;
    m->term = s->owner.term;
    Entry_SendToAgent(&s->task, &w->peer, &m->msg, false);
}

/* The member of the current attempt or try that a reported part belongs to, or
 * NULL. */
static struct gang_member *
find_member(struct job *j, const char *agent, const struct wire_part *part)
{
    bool trying = j->phase == GANG_PREPARING || j->phase == GANG_COMMITTING;
    size_t i;

    /* While victims are awaited, the members are already those of the next
     * try: a late report about the last attempt must not count for them. */
    if (j->phase == GANG_AWAITING_VICTIMS ||
        part->attempt != (trying ? j->try_attempt : j->row.attempt)) {
        return NULL;
    }
    for (i = 0; i < j->members; i++) {
        if (strcmp(j->member[i].assigned.agent, agent) == 0) {
            return &j->member[i];
        }
    }
    return NULL;
}

/* Handles an agent's report of one of its parts. */
void
Gang_HandlePartReport(struct sched *s, const struct worker *w,
                      const struct wire_part *part, const char *reason)
{
    struct job *j = JobSet_Find(s, &part->job);
    struct gang_member *gm = j ? find_member(j, w->name, part) : NULL;

    PartReports_Record(&s->part_reports, w->name, w->incarnation, part,
                       Clock_NowMs());
    if (!s->owner.self || !s->owner.loaded) {
        return;
    }
    if (gm == NULL) {
        if (j != NULL && j->phase == GANG_WAITING &&
            part->attempt > j->try_attempt) {
            j->try_attempt = part->attempt;
        }
        fence_stray(s, w, part);
        return;
    }
    LOG_D("gang_part", KV("agent", w->name), KV_INT("state", part->state),
          KV("reason", reason));
    gm->state = (enum part_state)part->state;
    if (j->phase == GANG_RELEASED || j->phase == GANG_PREEMPTED ||
        j->phase == GANG_ADOPTING) {
        evaluate(j);
    }
}

/* Takes over a gang that an earlier owner committed. The attempt goes on if
 * all its members run; otherwise it is fenced (rule 7 of model/gang.pml). */
void
Gang_Adopt(struct job *j)
{
    struct sched *s = j->sched;
    size_t i;

    j->members = j->row.members;
    j->member = Mem_Zero(j->members + 1, sizeof(*j->member));
    Gang_SetPhase(j, GANG_ADOPTING, ADOPT_MS);
    for (i = 0; i < j->members; i++) {
        struct gang_member *gm = &j->member[i];
        const struct worker *w;
        const struct part_report *p;

        gm->assigned = j->row.member[i];
        w = Workers_Find(s, gm->assigned.agent);
        p = PartReports_Find(&s->part_reports, &j->row.id, gm->assigned.agent);
        if (p != NULL && w != NULL && p->incarnation == w->incarnation &&
            p->part.attempt == j->row.attempt && p->part.term == j->row.term) {
            gm->state = (enum part_state)p->part.state;
        }
    }
    if (Placement_Adopt(j) != ERR_OK) {
        Gang_Fence(j, state_after_cut(j, false), "accounts_differ");
    }
    else if (j->row.cancel) {
        Gang_Fence(j, JOB_CANCELLED, "cancelled");
    }
    else {
        evaluate(j);
    }
}

/* Handles the deadline and pending repetitions of one gang. May free the job.
 */
static void
tick(struct job *j, int64_t now)
{
    bool late = now >= j->deadline;

    if (j->phase == GANG_AWAITING_VICTIMS && late) {
        Gang_DropTry(j, "displaced_stay", "");
    }
    else if (j->phase == GANG_AWAITING_VICTIMS) {
        Gang_CheckVictims(j);
    }
    else if (j->phase == GANG_PREPARING && late) {
        Gang_DropTry(j, "no_answer", "");
    }
    else if (j->phase == GANG_RELEASED && late) {
        Gang_Fence(j, state_after_cut(j, false), "members_missing");
    }
    else if (j->phase == GANG_ADOPTING && late) {
        Gang_Fence(j, state_after_cut(j, false), "not_all_found");
    }
    else if (j->phase == GANG_PREEMPTED && late) {
        Gang_Fence(j, state_after_cut(j, true), "displaced");
    }
    else if (j->phase == GANG_RELEASED && j->row_outdated && !j->writing) {
        write_running(j);
    }
    else {
        Gang_RetryPending(j, now);
    }
}

/* Handles the deadlines and pending repetitions of all gangs. */
void
Gang_Tick(struct sched *s)
{
    int64_t now = Clock_NowMs();
    struct job *j, *next;

    RB_FOREACH_SAFE (j, sched_jobs, &s->jobs, next) {
        tick(j, now);
    }
}
