#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* What members and agents tell the task. */

/* Takes in the parts that an agent named when it came, and sees which of its
 * earlier incarnation's it doesn't name. */
static void
take_parts(struct sched *s, struct worker *w, const struct wire_list *parts)
{
    const struct wire_part *part = parts->items;
    struct job *j;
    size_t i;

    for (i = 0; i < parts->count; i++) {
        Gang_TakePart(s, w, &part[i], "hello");
    }
    RB_FOREACH (j, sched_jobs, &s->jobs) {
        Gang_MemberRestarted(j, w);
    }
}

/* An agent of the region came, changed or went. */
void
Sched_TakeMember(struct sched *s, const struct member_note *note)
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
        w->bound_term = 0; /* to be sent again */
        take_parts(s, w, &f->parts);
    }
    Account_SetWorker(s, w);
    s->account_changed = true;
}

/* Answers a pulse, as the renewer of its gangs. */
static void
take_pulse(struct sched *s, const struct inbound *in)
{
    const struct wire_pulse *pulse = (const struct wire_pulse *)in->m;
    struct wire_renew *r =
        Heard_Answer(&s->heard, pulse, Entry_Incarnation(), Clock_NowMs());

    Entry_SendToAgent(&s->task, &in->peer, &r->msg, false);
}

/* The agent that a message came from, or NULL. */
static struct worker *
sender(struct sched *s, const struct inbound *in, uint64_t incarnation)
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

/* A part changed its state. Kept by every entry. */
static void
take_task(struct sched *s, const struct inbound *in)
{
    const struct wire_task *m = (const struct wire_task *)in->m;
    struct worker *w = sender(s, in, m->incarnation);
    struct wire_part part = {.job = m->job,
                             .attempt = m->attempt,
                             .term = m->term,
                             .state = m->state};

    if (w != NULL) {
        Gang_TakePart(s, w, &part, m->reason);
    }
}

/* An agent has reserved, or won't. */
static void
take_prepared(struct sched *s, const struct inbound *in)
{
    Gang_TakePrepared(s, (const struct wire_prepared *)in->m);
}

/* An agent has fenced an attempt. */
static void
take_fenced(struct sched *s, const struct inbound *in)
{
    const struct wire_fenced *m = (const struct wire_fenced *)in->m;
    const struct worker *w = sender(s, in, m->incarnation);

    if (w != NULL) {
        Gang_TakeFenced(s, m, w->name);
    }
}

static const struct {
    enum wire_type type;
    void (*take)(struct sched *, const struct inbound *);
} takers[] = {{WIRE_PULSE, take_pulse},
              {WIRE_TASK, take_task},
              {WIRE_PREPARED, take_prepared},
              {WIRE_FENCED, take_fenced}};

/* Hands what an agent said to the one whom it concerns. */
void
Sched_TakeInbound(struct sched *s, const struct inbound *in)
{
    size_t i;

    for (i = 0; i < COUNT_OF(takers); i++) {
        if (takers[i].type == in->m->type) {
            takers[i].take(s, in);
            return;
        }
    }
}
