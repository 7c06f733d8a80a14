#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* Handlers of member changes and of agents' messages. */

/* Handles the parts that an agent listed in its hello, and the members of
 * gangs that ran under an earlier incarnation of it and are not listed. */
static void
handle_hello_parts(struct sched *s, struct worker *w,
                   const struct wire_list *parts)
{
    const struct wire_part *part = parts->items;
    struct job *j;
    size_t i;

    for (i = 0; i < parts->count; i++) {
        Gang_HandlePartReport(s, w, &part[i], "hello");
    }
    RB_FOREACH (j, sched_jobs, &s->jobs) {
        Gang_MemberRestarted(j, w);
    }
}

/* Handles an agent that has joined, changed or left. Agents of other regions
 * are ignored. */
void
Sched_HandleMember(struct sched *s, const struct member_note *note)
{
    const struct member_facts *f = &note->facts;
    struct worker *w = Workers_Find(s, f->name);

    if (strcmp(f->region, s->settings->region) != 0) {
        return;
    }
    if (w == NULL) {
        w = Mem_Zero(1, sizeof(*w));
        Str_Copy(w->name, sizeof(w->name), f->name);
        RB_INSERT(worker_tree, &s->workers, w);
    }
    w->incarnation = f->incarnation;
    w->peer = f->peer;
    w->leaving = f->leaving;
    w->up = note->change != MEMBER_SILENT && note->change != MEMBER_GONE;
    if (w->up) {
        w->bindings_term = 0; /* the bindings are sent again */
        handle_hello_parts(s, w, &f->parts);
    }
    Placement_SetWorker(s, w);
    s->placement_due = true;
}

/* Answers a pulse, which makes this entry the renewer of its gangs. */
static void
handle_pulse(struct sched *s, const struct inbound *in)
{
    const struct wire_pulse *pulse = (const struct wire_pulse *)in->m;
    struct wire_renew *r = Liveness_AnswerPulse(
        &s->liveness, pulse, Entry_Incarnation(), Clock_NowMs());

    Entry_SendToAgent(&s->task, &in->peer, &r->msg, false);
}

/* The worker whose agent sent a message, or NULL. */
static struct worker *
find_sender(struct sched *s, const struct inbound *in, uint64_t incarnation)
{
    struct worker *w;

    RB_FOREACH (w, worker_tree, &s->workers) {
        if (w->incarnation == incarnation &&
            Link_SamePeer(&w->peer, &in->peer)) {
            return w;
        }
    }
    return NULL;
}

/* Handles a part's change of state. All entries record it, not only the owner.
 */
static void
handle_task(struct sched *s, const struct inbound *in)
{
    const struct wire_task *m = (const struct wire_task *)in->m;
    struct worker *w = find_sender(s, in, m->incarnation);
    struct wire_part part = {.job = m->job,
                             .attempt = m->attempt,
                             .term = m->term,
                             .state = m->state};

    if (w != NULL) {
        Gang_HandlePartReport(s, w, &part, m->reason);
    }
}

/* Handles an agent's answer to a prepare. */
static void
handle_prepared(struct sched *s, const struct inbound *in)
{
    Gang_HandlePrepared(s, (const struct wire_prepared *)in->m);
}

/* Handles an agent's answer to a fence. */
static void
handle_fenced(struct sched *s, const struct inbound *in)
{
    const struct wire_fenced *m = (const struct wire_fenced *)in->m;
    const struct worker *w = find_sender(s, in, m->incarnation);

    if (w != NULL) {
        Gang_HandleFenced(s, m, w->name);
    }
}

static const struct {
    enum wire_type type;
    void (*take)(struct sched *, const struct inbound *);
} handlers[] = {{WIRE_PULSE, handle_pulse},
                {WIRE_TASK, handle_task},
                {WIRE_PREPARED, handle_prepared},
                {WIRE_FENCED, handle_fenced}};

/* Passes a message to the handler of its type. Other types are ignored. */
void
Sched_HandleInbound(struct sched *s, const struct inbound *in)
{
    size_t i;

    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].type == in->m->type) {
            handlers[i].take(s, in);
            return;
        }
    }
}
