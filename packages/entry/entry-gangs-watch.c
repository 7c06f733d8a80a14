#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* What agents tell of parts, and what follows for the whole gang. */
#define ADOPT_MS (GANG_HEARD_MS + 2000)

/* How the members of an attempt stand, counted. */
struct tally {
    size_t running;
    size_t done;
    size_t failed;
    size_t stopped;
    const char *agent; /* the first that failed or stopped */
};

/* Counts the members by their states. */
static struct tally
count(const struct job *j)
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
            t.agent = j->member[i].at.agent;
        }
    }
    return t;
}

/* What follows an attempt that was cut: work that may not be repeated never
 * starts twice, unless it goes on from its own checkpoint. */
static enum job_state
after_cut(const struct job *j, bool checkpointed)
{
    const struct config_class *class = Job_Class(j);

    if (class != NULL &&
        (class->repeatable || (checkpointed && class->checkpoint))) {
        return JOB_QUEUED;
    }
    return JOB_FAILED;
}

/* A member's task ended with an error. */
static void
end_failed(struct job *j, const struct tally *t)
{
    enum job_state after = after_cut(j, false);

    if (Account_Failed(j, t->agent, true) && after == JOB_QUEUED) {
        after = JOB_CANNOT_RUN;
    }
    Gang_Fence(j, after, "task_failed");
}

/* The row that says "running" is written, or will be with the next one. */
static void
on_running(struct job *j, int err)
{
    if (err == ERR_CONFLICT && j->row.cancel) {
        Gang_Cancel(j);
        return;
    }
    j->row_behind = err != ERR_OK;
}

/* Writes that all members work. */
static void
write_running(struct job *j)
{
    j->row.state = JOB_RUNNING;
    j->row_behind = true;
    if (!j->writing) {
        Job_Write(j, on_running);
    }
}

/* All members work: nothing is awaited any more but their end. */
static void
note_whole(struct job *j)
{
    if (j->phase == GANG_ADOPTING) {
        Sched_Decided(
            j->sched, &j->row.id, "adopted", "all_members_work",
            json_pack("{s:I}", "attempt", (json_int_t)j->row.attempt));
        j->started_at = Clock_NowMs();
    }
    Gang_SetPhase(j, GANG_RELEASED, INT64_MAX);
    if (j->row.state == JOB_STARTING) {
        write_running(j);
    }
}

/* Decides by the states of all members. */
static void
evaluate(struct job *j)
{
    struct tally t = count(j);

    if (t.done == j->members) {
        Gang_End(j);
        return;
    }
    if (j->phase == GANG_YIELDING) {
        if (t.running == 0 && t.done + t.failed + t.stopped == j->members) {
            Gang_Fence(j, after_cut(j, true), "displaced");
        }
        return;
    }
    if (t.failed > 0) {
        end_failed(j, &t);
    }
    else if (t.stopped > 0) {
        Gang_Fence(j, after_cut(j, false), "member_stopped");
    }
    else if (t.running + t.done == j->members && j->deadline != INT64_MAX) {
        note_whole(j);
    }
}

/* An agent was replaced. Its new process may find the part at work and adopt
 * it, so the gang is not cut at once; but a part that nobody speaks for any
 * more would leave the job running on paper for ever. By the time given all
 * leases that this member's silence ends are over. */
void
Gang_MemberRestarted(struct job *j, const struct worker *w)
{
    size_t i;

    for (i = 0; i < j->members && j->phase == GANG_RELEASED; i++) {
        struct gang_member *gm = &j->member[i];
        const struct seen *p;

        if (strcmp(gm->at.agent, w->name) != 0 ||
            gm->at.incarnation == w->incarnation) {
            continue;
        }
        p = Seen_Find(&j->sched->seen, &j->row.id, w->name);
        gm->at.incarnation = w->incarnation;
        if (p != NULL && p->incarnation == w->incarnation &&
            p->part.attempt == j->row.attempt) {
            continue;
        }
        gm->state = PART_RESERVED;
        Gang_SetPhase(j, GANG_RELEASED, GANG_HEARD_MS + GANG_LEASE_MS);
    }
}

/* Fences a part that belongs to no present attempt. */
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

/* The member of the present attempt that a part is, or NULL. */
static struct gang_member *
member_of(struct job *j, const char *agent, const struct wire_part *part)
{
    bool trying = j->phase == GANG_PREPARING || j->phase == GANG_COMMITTING;
    size_t i;

    /* While it is cleared for, the members are those of a coming try: a late
     * word on the last attempt would count against it. */
    if (j->phase == GANG_CLEARING ||
        part->attempt != (trying ? j->try_attempt : j->row.attempt)) {
        return NULL;
    }
    for (i = 0; i < j->members; i++) {
        if (strcmp(j->member[i].at.agent, agent) == 0) {
            return &j->member[i];
        }
    }
    return NULL;
}

/* Takes the word of an agent on one of its parts. */
void
Gang_TakePart(struct sched *s, const struct worker *w,
              const struct wire_part *part, const char *reason)
{
    struct job *j = JobSet_Find(s, &part->job);
    struct gang_member *gm = j ? member_of(j, w->name, part) : NULL;

    Seen_Note(&s->seen, w->name, w->incarnation, part, Clock_NowMs());
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
    if (j->phase == GANG_RELEASED || j->phase == GANG_YIELDING ||
        j->phase == GANG_ADOPTING) {
        evaluate(j);
    }
}

/* Takes on a gang that an earlier owner committed. It is not cut while all its
 * members work; otherwise it is fenced (rule 7 of model/gang.pml). */
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
        const struct seen *p;

        gm->at = j->row.member[i];
        w = Workers_Find(s, gm->at.agent);
        p = Seen_Find(&s->seen, &j->row.id, gm->at.agent);
        if (p != NULL && w != NULL && p->incarnation == w->incarnation &&
            p->part.attempt == j->row.attempt && p->part.term == j->row.term) {
            gm->state = (enum part_state)p->part.state;
        }
    }
    if (Account_Adopt(j) != ERR_OK) {
        Gang_Fence(j, after_cut(j, false), "accounts_differ");
    }
    else if (j->row.cancel) {
        Gang_Fence(j, JOB_CANCELLED, "cancelled");
    }
    else {
        evaluate(j);
    }
}

/* What is due for one gang. May end with the job dropped. */
static void
tick(struct job *j, int64_t now)
{
    bool late = now >= j->deadline;

    if (j->phase == GANG_CLEARING && late) {
        Gang_DropTry(j, "displaced_stay", "");
    }
    else if (j->phase == GANG_CLEARING) {
        Gang_Clear(j);
    }
    else if (j->phase == GANG_PREPARING && late) {
        Gang_DropTry(j, "no_answer", "");
    }
    else if (j->phase == GANG_RELEASED && late) {
        Gang_Fence(j, after_cut(j, false), "members_missing");
    }
    else if (j->phase == GANG_ADOPTING && late) {
        Gang_Fence(j, after_cut(j, false), "not_all_found");
    }
    else if (j->phase == GANG_YIELDING && late) {
        Gang_Fence(j, after_cut(j, true), "displaced");
    }
    else if (j->phase == GANG_RELEASED && j->row_behind && !j->writing) {
        write_running(j);
    }
    else {
        Gang_Repeat(j, now);
    }
}

/* Looks after the deadlines of all gangs. */
void
Gang_Tick(struct sched *s)
{
    int64_t now = Clock_NowMs();
    struct job *j, *next;

    RB_FOREACH_SAFE (j, sched_jobs, &s->jobs, next) {
        tick(j, now);
    }
}
