#include "jobs-scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Some queues have their steps run only by workers that an adviser approves.
 * The adviser's verdict on a step and an incarnation of a worker never
 * changes; the ticket that comes with an approval is valid for a while.
 * Advisers are slow, so a unit's question is asked as soon as the unit waits,
 * for many workers at once, those with free resources first. It is repeated
 * only to renew an expired ticket of a worker that has room for the unit.
 *
 * Without batches and stored verdicts, the adviser's queue would grow faster
 * than it answers when many steps wait at once. */

/* A ticket that expires within this time is not used, as the start still has
 * to reach the worker. */
#define TICKET_MARGIN_MS 400

/* Finds the adviser's answer on a worker for the step of a unit. */
static struct advice *
find(const struct jobs_unit *u, const char *worker)
{
    struct advice *a;

    TAILQ_FOREACH (a, &u->job->advice, entry) {
        if (a->occurrence == u->occurrence && a->step == u->step &&
            strcmp(a->worker, worker) == 0) {
            return a;
        }
    }
    return NULL;
}

/* True when the unit may be assigned to the worker now. */
bool
Advice_Allows(const struct jobs_unit *u, const struct jobs_worker *w,
              int64_t now_ms)
{
    const struct advice *a;

    if (!u->job->qos.asks_advice) {
        return true;
    }
    a = find(u, w->id);
    return a != NULL && a->approved && a->until_ms > now_ms + TICKET_MARGIN_MS;
}

/* Returns the ticket for starts of the unit on the worker; "": none. */
const char *
Advice_Ticket(const struct jobs_unit *u, const struct jobs_worker *w)
{
    const struct advice *a = find(u, w->id);

    return a != NULL ? a->ticket : "";
}

/* Expires a ticket that the worker has refused, so that a new one is asked
 * for. */
void
Advice_ExpireTicket(const struct jobs_unit *u, const struct jobs_worker *w)
{
    struct advice *a = find(u, w->id);

    if (a != NULL) {
        a->until_ms = 0;
    }
}

/* Forgets the answers for occurrences before this one. */
void
Advice_Forget(struct jobs_job *j, uint32_t before)
{
    struct advice *a, *next;

    TAILQ_FOREACH_SAFE (a, &j->advice, entry, next) {
        if (a->occurrence < before) {
            TAILQ_REMOVE(&j->advice, a, entry);
            free(a);
        }
    }
}

/* True when the adviser has to be asked about a worker. */
static bool
needs_advice(const struct jobs_unit *u, const struct jobs_worker *w, bool room,
             int64_t now_ms)
{
    const struct advice *a = find(u, w->id);

    if (a == NULL) {
        return true;
    }
    return a->approved && room && a->until_ms <= now_ms + TICKET_MARGIN_MS;
}

/* Adds workers to a question: those that have room for the unit, or those that
 * don't. */
static void
add_workers(struct jobs_scheduler *sched, const struct jobs_unit *u, bool room,
            int64_t now_ms, struct jobs_question *q)
{
    struct jobs_worker *w;

    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        if (q->count < JOBS_QUESTION_WORKERS_MAX &&
            Place_MayRun(sched, w, u, now_ms) &&
            Place_HasRoom(w, u, now_ms) == room &&
            needs_advice(u, w, room, now_ms)) {
            Str_Copy(q->workers[q->count++], JOBS_TEXT_SIZE, w->id);
        }
    }
}

/* Composes the question for a waiting unit. False when there is nothing to
 * ask. */
bool
Advice_ComposeQuestion(struct jobs_scheduler *sched, const struct jobs_unit *u,
                       int64_t now_ms, struct jobs_question *q)
{
    q->count = 0;
    if (!u->job->qos.asks_advice) {
        return false;
    }
    Str_Copy(q->job, sizeof(q->job), u->job->spec.id);
    q->occurrence = u->occurrence;
    q->step = u->step;
    add_workers(sched, u, true, now_ms, q);
    add_workers(sched, u, false, now_ms, q);
    return q->count > 0;
}

/* Returns the question to ask next. */
const struct jobs_question *
Jobs_Question(const struct jobs_scheduler *sched)
{
    return sched->question.count > 0 ? &sched->question : NULL;
}

/* Stores an adviser's answer. */
void
Jobs_AdviceReceived(struct jobs_scheduler *sched,
                    const struct jobs_question *q,
                    const struct jobs_approval *approvals, size_t count,
                    int64_t until_ms)
{
    struct jobs_job *j = Scheduler_FindJob(sched, q->job);
    struct jobs_unit *u =
        j != NULL ? Scheduler_FindUnit(j, q->occurrence, q->step, 0) : NULL;

    if (u == NULL) {
        return; /* the unit has ended meanwhile */
    }
    for (size_t i = 0; i < q->count; i++) {
        struct advice *a = find(u, q->workers[i]);

        if (a == NULL) {
            a = Mem_Zero(1, sizeof(*a));
            a->occurrence = q->occurrence;
            a->step = q->step;
            Str_Copy(a->worker, sizeof(a->worker), q->workers[i]);
            TAILQ_INSERT_TAIL(&j->advice, a, entry);
        }
        for (size_t k = 0; k < count; k++) {
            if (strcmp(approvals[k].worker, a->worker) == 0) {
                a->approved = true;
                a->until_ms = until_ms;
                Str_Copy(a->ticket, sizeof(a->ticket), approvals[k].ticket);
            }
        }
    }
}
