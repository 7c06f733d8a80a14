#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* Rules 1 to 4 of model/gang.pml: prepare, margin, commit, release. */
#define RESERVE_MS 3000 /* R: of a reservation, from its arrival */
/* C: what commit and release may take. A reservation must outlast them, or a
 * gang would start in part: some members released, others lapsed. */
#define COMMIT_MS 1000
#define START_SLACK_MS 1000
#define BACKOFF_MS 500
/* Those that are displaced have gone so long after their grace, unless a
 * worker of theirs can't be asked: another place is better than that wait. */
#define CLEAR_MS 30000

static struct counter started_total = {"parsleyfall_gangs_started_total",
                                       "Gangs that were released.", NULL,
                                       COUNTER_TOTAL};
static struct counter dropped_total = {
    "parsleyfall_gangs_tries_dropped_total",
    "Tries that ended before their row was written.", NULL, COUNTER_TOTAL};

/* Moves a gang to another phase, with a time by which it must end. */
void
Gang_SetPhase(struct job *j, enum gang_phase phase, int64_t within_ms)
{
    j->phase = phase;
    j->since = Clock_NowMs();
    j->deadline = within_ms == INT64_MAX ? INT64_MAX : j->since + within_ms;
}

/* Tells every member to drop the try that did not come to its commit. */
static void
fence_try(struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        struct worker *w = Workers_Find(j->sched, j->member[i].at.agent);
        struct wire_fence *m;

        if (w == NULL || !w->up) {
            continue;
        }
        m = Wire_New(WIRE_FENCE);
        m->job = j->row.id;
        m->attempt = j->try_attempt;
        m->term = j->sched->owner.term;
        m->incarnation = j->member[i].at.incarnation;
        Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
    }
}

/* Back to the queue: nothing of this try has worked, as no row names it. */
void
Gang_DropTry(struct job *j, const char *reason, const char *agent)
{
    Counter_Add(&dropped_total, 1);
    Sched_Decided(j->sched, &j->row.id, "try_dropped", reason,
                  json_pack("{s:I, s:s}", "attempt",
                            (json_int_t)j->try_attempt, "agent", agent));
    fence_try(j);
    Account_Release(j);
    free(j->member);
    j->member = NULL;
    j->members = 0;
    j->not_before = Clock_NowMs() + BACKOFF_MS;
    Gang_SetPhase(j, GANG_WAITING, INT64_MAX);
    Account_Enqueue(j);
}

/* Asks one member for its reservation. */
static void
send_prepare(struct job *j, const struct gang_member *gm)
{
    const struct config_class *class = Job_Class(j);
    struct worker *w = Workers_Find(j->sched, gm->at.agent);
    struct wire_prepare *m = Wire_New(WIRE_PREPARE);

    m->job = j->row.id;
    m->attempt = j->try_attempt;
    m->term = j->sched->owner.term;
    m->incarnation = gm->at.incarnation;
    m->accelerators = gm->at.accelerators;
    m->tasks = (uint64_t)gm->at.tasks;
    m->members = j->members;
    m->lease_ms = RESERVE_MS;
    m->grace_ms = class ? class->grace_ms : 0;
    m->guaranteed = j->row.guaranteed;
    m->claim_version = w->bound_version;
    m->urgent = class != NULL && class->priority == PRIORITY_URGENT;
    Str_Copy(m->organisation, sizeof(m->organisation), j->row.organisation);
    Buf_Set(&m->spec, j->row.spec.data, j->row.spec.len);
    Entry_SendToAgent(&j->sched->task, &w->peer, &m->msg, false);
}

/* Rule 1: a new rank, and a reservation at every member. */
static void
prepare(struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        struct worker *w = Workers_Find(j->sched, j->member[i].at.agent);

        if (w == NULL || !w->up) {
            Gang_DropTry(j, "member_gone", j->member[i].at.agent);
            return;
        }
        j->member[i].at.incarnation = w->incarnation;
    }
    j->try_attempt++;
    Gang_SetPhase(j, GANG_PREPARING, RESERVE_MS - COMMIT_MS);
    for (i = 0; i < j->members; i++) {
        send_prepare(j, &j->member[i]);
    }
}

/* True while the job may hold accelerators on its workers. */
static bool
holds(const struct job *j)
{
    return j->phase == GANG_COMMITTING || j->phase == GANG_RELEASED ||
           j->phase == GANG_ADOPTING || j->phase == GANG_YIELDING ||
           j->phase == GANG_FENCING;
}

/* Prepares once all those that it displaces have been fenced. */
void
Gang_Clear(struct job *j)
{
    size_t i;

    for (i = 0; i < j->victims; i++) {
        const struct job *v = JobSet_Find(j->sched, &j->victim[i]);

        if (v != NULL && holds(v)) {
            return;
        }
    }
    prepare(j);
}

/* Notes whom a plan displaces, and asks them to leave. Returns the longest
 * grace. */
static int64_t
displace(struct job *j, const struct cells_plan *plan)
{
    int64_t grace = 0;
    int i;

    free(j->victim);
    j->victim = Mem_Zero((size_t)plan->victims + 1, sizeof(*j->victim));
    j->victims = 0;
    for (i = 0; i < plan->victims; i++) {
        struct job *v = JobSet_OfNumber(j->sched, plan->victim[i].job);

        if (v != NULL) {
            j->victim[j->victims++] = v->row.id;
            Gang_Yield(v, &plan->victim[i]);
        }
        if (plan->victim[i].grace_ms > grace) {
            grace = plan->victim[i].grace_ms;
        }
    }
    return grace;
}

/* Begins a try on the workers of a plan that the accounts have taken. */
void
Gang_Start(struct job *j, const struct cells_plan *plan)
{
    int i;

    free(j->member);
    j->member = Mem_Zero((size_t)plan->parts + 1, sizeof(*j->member));
    j->members = (size_t)plan->parts;
    for (i = 0; i < plan->parts; i++) {
        struct job_member *m = &j->member[i].at;

        Str_Copy(m->agent, sizeof(m->agent),
                 Cells_Worker(j->sched->cells, plan->part[i].worker)->name);
        m->accelerators = plan->part[i].mask;
        m->tasks = plan->part[i].tasks;
    }
    j->yielded = false;
    Gang_SetPhase(j, GANG_CLEARING, displace(j, plan) + CLEAR_MS);
    Gang_Clear(j);
}

/* Rule 4: lets the members start. */
static void
release(struct job *j)
{
    size_t i;

    Counter_Add(&started_total, 1);
    j->started_at = Clock_NowMs();
    Gang_SetPhase(j, GANG_RELEASED,
                  RESERVE_MS + GANG_LEASE_MS + START_SLACK_MS);
    Sched_Decided(j->sched, &j->row.id, "released", "committed",
                  json_pack("{s:I, s:i}", "attempt",
                            (json_int_t)j->row.attempt, "members",
                            (int)j->members));
    for (i = 0; i < j->members; i++) {
        const struct job_member *at = &j->member[i].at;
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

/* Puts the row back to what it was before the try. */
static void
undo(struct job *j)
{
    j->row.state = JOB_QUEUED;
    j->row.attempt = j->before_attempt;
    j->row.term = j->before_term;
    j->row.members = 0;
}

/* The row is written, or it is not; nobody is released without knowing. */
static void
on_committed(struct job *j, int err)
{
    bool over = Job_IsOver(j->row.state);

    if (err == ERR_OK && (j->row.cancel || j->yielded)) {
        Gang_Fence(j, j->row.cancel ? JOB_CANCELLED : JOB_QUEUED,
                   j->row.cancel ? "cancelled" : "displaced");
        return;
    }
    if (err == ERR_OK) {
        release(j);
        return;
    }
    undo(j);
    Gang_DropTry(j, err == ERR_CONFLICT ? "row_changed" : "row_not_written",
                 "");
    if (over) {
        j->row.state = JOB_CANCELLED;
    }
    if (j->row.cancel) {
        Gang_Cancel(j);
    }
}

/* Rule 3: one transaction that checks the term and the row. */
static void
commit(struct job *j)
{
    size_t i;

    j->before_attempt = j->row.attempt;
    j->before_term = j->row.term;
    j->row.attempt = j->try_attempt;
    j->row.term = j->sched->owner.term;
    j->row.state = JOB_STARTING;
    Str_Copy(j->row.reason, sizeof(j->row.reason), "");
    free(j->row.member);
    j->row.member = Mem_Zero(j->members + 1, sizeof(*j->row.member));
    j->row.members = j->members;
    for (i = 0; i < j->members; i++) {
        j->row.member[i] = j->member[i].at;
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

/* Rule 2: a member has answered; with all of them, and time left, commit. */
static void
take_answer(struct job *j, struct gang_member *gm,
            const struct wire_prepared *m)
{
    if (!m->granted) {
        Gang_DropTry(j, m->reason, gm->at.agent);
        return;
    }
    gm->granted = true;
    if (!all_granted(j)) {
        return;
    }
    if (Clock_NowMs() >= j->deadline) {
        Gang_DropTry(j, "margin_used", gm->at.agent);
        return;
    }
    commit(j);
}

/* An agent has reserved, or won't. */
void
Gang_TakePrepared(struct sched *s, const struct wire_prepared *m)
{
    struct job *j = JobSet_Find(s, &m->job);
    size_t i;

    if (j == NULL || j->phase != GANG_PREPARING ||
        m->attempt != j->try_attempt || m->term != s->owner.term) {
        return;
    }
    for (i = 0; i < j->members; i++) {
        if (j->member[i].at.incarnation == m->incarnation) {
            take_answer(j, &j->member[i], m);
            return;
        }
    }
}
