#include "jobs-scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Some queues have their steps run only by workers that an adviser approves.
 * Its answer for a step and a lifetime of a worker does not change; the ticket
 * that comes with an approval holds for a while. Advice is slow, so it is
 * asked for as soon as a unit waits, for many workers at once, those with room
 * first, and asked again only for a ticket that is over where the unit could
 * start.
 *
 * Load: many steps wait at once. Without batches and without what is known
 * already, the adviser's queue grows faster than it answers. */

/* A ticket that is over within this is not used: the start has to arrive. */
#define MARGIN_MS 400

/* Finds what is known of a worker for the step of a unit. */
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

/* True when the unit may be given to the worker now. */
bool
Advice_Allows(const struct jobs_unit *u, const struct jobs_worker *w,
              int64_t now_ms)
{
    const struct advice *a;

    if (!u->job->terms.asks_advice) {
        return true;
    }
    a = find(u, w->id);
    return a != NULL && a->approved && a->until_ms > now_ms + MARGIN_MS;
}

/* The ticket of a start there; "": none. */
const char *
Advice_Ticket(const struct jobs_unit *u, const struct jobs_worker *w)
{
    const struct advice *a = find(u, w->id);

    return a != NULL ? a->ticket : "";
}

/* The worker does not take the ticket: it is asked for anew. */
void
Advice_Drop(const struct jobs_unit *u, const struct jobs_worker *w)
{
    struct advice *a = find(u, w->id);

    if (a != NULL) {
        a->until_ms = 0;
    }
}

/* Forgets what is known for occurrences before this one. */
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

/* True when the adviser has to be asked for a worker. */
static bool
is_open(const struct jobs_unit *u, const struct jobs_worker *w, bool room,
        int64_t now_ms)
{
    const struct advice *a = find(u, w->id);

    if (a == NULL) {
        return true;
    }
    return a->approved && room && a->until_ms <= now_ms + MARGIN_MS;
}

/* Adds workers to a question, those with room or those without. */
static void
add_workers(struct jobs_scheduler *b, const struct jobs_unit *u, bool room,
            int64_t now_ms, struct jobs_question *q)
{
    struct jobs_worker *w;

    RB_FOREACH (w, lifetime_tree, &b->workers) {
        if (q->count < JOBS_QUESTION_WORKERS_MAX &&
            Place_MayRun(b, w, u, now_ms) && Place_HasRoom(w, u) == room &&
            is_open(u, w, room, now_ms)) {
            Str_Copy(q->workers[q->count++], JOBS_TEXT_SIZE, w->id);
        }
    }
}

/* Makes the question for a unit that waits. False: there is nothing to ask. */
bool
Advice_Collect(struct jobs_scheduler *b, const struct jobs_unit *u,
               int64_t now_ms, struct jobs_question *q)
{
    q->count = 0;
    if (!u->job->terms.asks_advice) {
        return false;
    }
    Str_Copy(q->job, sizeof(q->job), u->job->spec.id);
    q->occurrence = u->occurrence;
    q->step = u->step;
    add_workers(b, u, true, now_ms, q);
    add_workers(b, u, false, now_ms, q);
    return q->count > 0;
}

/* What to ask next. */
const struct jobs_question *
Jobs_Question(const struct jobs_scheduler *b)
{
    return b->question.count > 0 ? &b->question : NULL;
}

/* Takes an answer. */
void
Jobs_AdviceReceived(struct jobs_scheduler *b, const struct jobs_question *q,
                    const struct jobs_approval *approvals, size_t count,
                    int64_t until_ms)
{
    struct jobs_job *j = Scheduler_FindJob(b, q->job);
    struct jobs_unit *u =
        j != NULL ? Scheduler_FindUnit(j, q->occurrence, q->step, 0) : NULL;

    if (u == NULL) {
        return; /* it has ended meanwhile */
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
