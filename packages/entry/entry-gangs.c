#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The start of a gang, rules 1 to 4 of model/gang.pml: prepare, margin,
 * commit, release. */

/* R: lifetime of a reservation, from the arrival of the prepare. */
#define RESERVE_MS 3000
/* C: the margin for commit and release. A reservation must outlast them, or a
 * gang would start in part: some members released, others' reservations
 * lapsed. */
#define COMMIT_MS 1000
#define START_SLACK_MS 1000 /* for the members' reports that they run */
#define BACKOFF_MS 500      /* after a dropped try */
/* Time for preempted jobs to be fenced after their grace. It is only exceeded
 * when a worker of theirs is unreachable; then another placement is better
 * than a longer wait. */
#define VICTIMS_EXTRA_MS 30000

static struct counter started_total = {"parsleyfall_gangs_started_total",
                                       "Gangs that were released.", NULL,
                                       COUNTER_TOTAL};
static struct counter dropped_total = {
    "parsleyfall_gangs_tries_dropped_total",
    "Tries that ended before their row was written.", NULL, COUNTER_TOTAL};

/* Moves a gang to another phase, which must end within a time. */
void
Gang_SetPhase(struct job *j, enum gang_phase phase, int64_t timeout_ms)
{
    j->phase = phase;
    j->since = Clock_NowMs();
    j->deadline = timeout_ms == INT64_MAX ? INT64_MAX : j->since + timeout_ms;
}

/* Sends every member a fence for a try that was not committed. */
static void
fence_try(struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        struct worker *w = Workers_Find(j->sched, j->member[i].assigned.agent);
        struct wire_fence *m;

        if (w == NULL || !w->up) {
            continue;
        }
        m = Wire_New(WIRE_FENCE);
        m->job = j->row.id;
        m->attempt = j->try_attempt;
        m->term = j->sched->owner.term;
        m->incarnation = j->member[i].assigned.incarnation;
        Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
    }
}

/* Puts the job back in the queue. No member has started anything for this
 * try, as no row names it. */
void
Gang_DropTry(struct job *j, const char *reason, const char *agent)
{
    Counter_Add(&dropped_total, 1);
    Sched_RecordDecision(j->sched, &j->row.id, "try_dropped", reason,
                         json_pack("{s:I, s:s}", "attempt",
                                   (json_int_t)j->try_attempt, "agent",
                                   agent));
    fence_try(j);
    Placement_Release(j);
    free(j->member);
    j->member = NULL;
    j->members = 0;
    j->retry_at = Clock_NowMs() + BACKOFF_MS;
    Gang_SetPhase(j, GANG_WAITING, INT64_MAX);
    Placement_Enqueue(j);
}

/* Requests the reservation of one member. */
static void
send_prepare(struct job *j, const struct gang_member *gm)
{
    const struct config_class *class = Job_Class(j);
    struct worker *w = Workers_Find(j->sched, gm->assigned.agent);
    struct wire_prepare *m = Wire_New(WIRE_PREPARE);

    m->job = j->row.id;
    m->attempt = j->try_attempt;
    m->term = j->sched->owner.term;
    m->incarnation = gm->assigned.incarnation;
    m->accelerators = gm->assigned.accelerators;
    m->tasks = (uint64_t)gm->assigned.tasks;
    m->members = j->members;
    m->lease_ms = RESERVE_MS;
    m->grace_ms = class ? class->grace_ms : 0;
    m->guaranteed = j->row.guaranteed;
    m->claim_version = w->bindings_version;
    m->urgent = class != NULL && class->priority == PRIORITY_URGENT;
    Str_Copy(m->organisation, sizeof(m->organisation), j->row.organisation);
    Buf_Set(&m->spec, j->row.spec.data, j->row.spec.len);
    Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
}

/* Rule 1: takes a new attempt number and requests a reservation from every
 * member. */
static void
prepare(struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        struct worker *w = Workers_Find(j->sched, j->member[i].assigned.agent);

        if (w == NULL || !w->up) {
            Gang_DropTry(j, "member_gone", j->member[i].assigned.agent);
            return;
        }
        j->member[i].assigned.incarnation = w->incarnation;
    }
    j->try_attempt++;
    Gang_SetPhase(j, GANG_PREPARING, RESERVE_MS - COMMIT_MS);
    for (i = 0; i < j->members; i++) {
        send_prepare(j, &j->member[i]);
    }
}

/* True while the job may hold accelerators on its workers. */
static bool
may_hold_accelerators(const struct job *j)
{
    return j->phase == GANG_COMMITTING || j->phase == GANG_RELEASED ||
           j->phase == GANG_ADOPTING || j->phase == GANG_PREEMPTED ||
           j->phase == GANG_FENCING;
}

/* Sends the prepares if all jobs that this one preempts have been fenced. */
void
Gang_CheckVictims(struct job *j)
{
    size_t i;

    for (i = 0; i < j->victims; i++) {
        const struct job *v = JobSet_Find(j->sched, &j->victim[i]);

        if (v != NULL && may_hold_accelerators(v)) {
            return;
        }
    }
    prepare(j);
}

/* Records the jobs that a plan preempts and preempts them. Returns the longest
 * grace period of these. */
static int64_t
preempt_victims(struct job *j, const struct cells_plan *plan)
{
    int64_t grace = 0;
    int i;

    free(j->victim);
    j->victim = Mem_Zero((size_t)plan->victims + 1, sizeof(*j->victim));
    j->victims = 0;
    for (i = 0; i < plan->victims; i++) {
        struct job *v = JobSet_FindByCellsId(j->sched, plan->victim[i].job);

        if (v != NULL) {
            j->victim[j->victims++] = v->row.id;
            Gang_Preempt(v, &plan->victim[i]);
        }
        if (plan->victim[i].grace_ms > grace) {
            grace = plan->victim[i].grace_ms;
        }
    }
    return grace;
}

/* Starts a try on the workers of a plan that is committed in struct cells. */
void
Gang_Start(struct job *j, const struct cells_plan *plan)
{
    int i;

    free(j->member);
    j->member = Mem_Zero((size_t)plan->parts + 1, sizeof(*j->member));
    j->members = (size_t)plan->parts;
    for (i = 0; i < plan->parts; i++) {
        struct job_member *m = &j->member[i].assigned;

        Str_Copy(m->agent, sizeof(m->agent),
                 Cells_Worker(j->sched->cells, plan->part[i].worker)->name);
        m->accelerators = plan->part[i].mask;
        m->tasks = plan->part[i].tasks;
    }
    j->preempted = false;
    Gang_SetPhase(j, GANG_AWAITING_VICTIMS,
                  preempt_victims(j, plan) + VICTIMS_EXTRA_MS);
    Gang_CheckVictims(j);
}

/* Rule 4: sends every member its release, with which it starts. */
static void
release(struct job *j)
{
    size_t i;

    Counter_Add(&started_total, 1);
    j->started_at = Clock_NowMs();
    Gang_SetPhase(j, GANG_RELEASED,
                  RESERVE_MS + GANG_LEASE_MS + START_SLACK_MS);
    Sched_RecordDecision(j->sched, &j->row.id, "released", "committed",
                         json_pack("{s:I, s:i}", "attempt",
                                   (json_int_t)j->row.attempt, "members",
                                   (int)j->members));
    for (i = 0; i < j->members; i++) {
        const struct job_member *at = &j->member[i].assigned;
        struct worker *w = Workers_Find(j->sched, at->agent);
        struct wire_release *m = Wire_New(WIRE_RELEASE);

        m->job = j->row.id;
        m->attempt = j->row.attempt;
        m->term = j->row.term;
        m->incarnation = at->incarnation;
        m->lease_ms = GANG_LEASE_MS;
        Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
    }
}

/* Restores the row to its content before the try. */
static void
restore_row(struct job *j)
{
    j->row.state = JOB_QUEUED;
    j->row.attempt = j->prev_attempt;
    j->row.term = j->prev_term;
    j->row.members = 0;
}

/* Handles the result of the commit. Members are released only once it is known
 * that the row is written. */
static void
on_committed(struct job *j, int err)
{
    bool over = Job_IsOver(j->row.state);

    if (err == ERR_OK && (j->row.cancel || j->preempted)) {
        Gang_Fence(j, j->row.cancel ? JOB_CANCELLED : JOB_QUEUED,
                   j->row.cancel ? "cancelled" : "displaced");
        return;
    }
    if (err == ERR_OK) {
        release(j);
        return;
    }
    restore_row(j);
    Gang_DropTry(j, err == ERR_CONFLICT ? "row_changed" : "row_not_written",
                 "");
    if (over) {
        j->row.state = JOB_CANCELLED;
    }
    if (j->row.cancel) {
        Gang_Cancel(j);
    }
}

/* Rule 3: writes the attempt to the row in one transaction that checks the
 * term and the row's version. */
static void
commit(struct job *j)
{
    size_t i;

    j->prev_attempt = j->row.attempt;
    j->prev_term = j->row.term;
    j->row.attempt = j->try_attempt;
    j->row.term = j->sched->owner.term;
    j->row.state = JOB_STARTING;
    Str_Copy(j->row.reason, sizeof(j->row.reason), "");
    free(j->row.member);
    j->row.member = Mem_Zero(j->members + 1, sizeof(*j->row.member));
    j->row.members = j->members;
    for (i = 0; i < j->members; i++) {
        j->row.member[i] = j->member[i].assigned;
    }
    Gang_SetPhase(j, GANG_COMMITTING, INT64_MAX);
    Job_Write(j, on_committed);
}

/* True when every member has granted its reservation. */
static bool
all_granted(const struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        if (!j->member[i].granted) {
            return false;
        }
    }
    return true;
}

/* Rule 2: handles a member's answer. Commits once all members have granted
 * their reservations, unless these have less than the margin left. */
static void
handle_answer(struct job *j, struct gang_member *gm,
              const struct wire_prepared *m)
{
    if (!m->granted) {
        Gang_DropTry(j, m->reason, gm->assigned.agent);
        return;
    }
    gm->granted = true;
    if (!all_granted(j)) {
        return;
    }
    if (Clock_NowMs() >= j->deadline) {
        Gang_DropTry(j, "margin_used", gm->assigned.agent);
        return;
    }
    commit(j);
}

/* Handles an agent's answer to a prepare: reservation granted or refused. */
void
Gang_HandlePrepared(struct sched *s, const struct wire_prepared *m)
{
    struct job *j = JobSet_Find(s, &m->job);
    size_t i;

    if (j == NULL || j->phase != GANG_PREPARING ||
        m->attempt != j->try_attempt || m->term != s->owner.term) {
        return;
    }
    for (i = 0; i < j->members; i++) {
        if (j->member[i].assigned.incarnation == m->incarnation) {
            handle_answer(j, &j->member[i], m);
            return;
        }
    }
}
