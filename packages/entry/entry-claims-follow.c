#include "entry-dispatch.h"

#include <string.h>

#define POLL_MIN_MS 25
#define POLL_MAX_MS 400
/* A claim that has stood for so long is looked into at its agent. An entry
 * that is well has had its dispatch taken by then, and is not disturbed. */
#define TAKEOVER_MS 1000

/* Tells the outcome that the row holds. */
static void
tell_unknown(struct request *r)
{
    r->claim->stage = STAGE_ANSWERED;
    Request_ReplyUnknown(r, r->claim->row.reason);
}

/* Tells the answer that the row holds, as the first caller got it. */
static void
tell_answer(struct request *r, struct buf *body)
{
    struct claim *c = r->claim;
    struct wire_answer *a = Wire_New(WIRE_ANSWER);

    a->request = c->row.request;
    a->attempt = c->row.attempt;
    a->status = (uint64_t)c->row.status;
    Str_Copy(a->content_type, sizeof(a->content_type), c->row.content_type);
    Buf_Move(&a->body, body);
    c->final.answer = a;
    c->stage = STAGE_ANSWERED;
    Request_ReplyAnswer(r, a);
}

/* The body of an answer has come out of the object store. It ran and was
 * answered; without the body nobody can say more. */
static void
on_body(void *arg, int err, struct buf *content)
{
    struct request *r = Claims_EndOp(arg);

    if (r == NULL) {
        return;
    }
    if (err != ERR_OK) {
        r->claim->stage = STAGE_ANSWERED;
        Request_ReplyUnknown(r, "answer_not_stored");
        return;
    }
    tell_answer(r, content);
}

/* The row says that the request has been answered. */
static void
answered(struct request *r)
{
    struct claim *c = r->claim;
    struct objects *objects = r->dispatch->objects;

    if (c->row.object[0] == '\0') {
        tell_answer(r, &c->row.body);
        return;
    }
    if (objects == NULL) {
        tell_unknown(r);
        return;
    }
    c->stage = STAGE_READ;
    Claims_SetTimer(r);
    objects->ops->get(objects, c->row.object, on_body, Claims_NewOp(r));
}

/* Another entry's claim: waits for its outcome, and looks into it when it
 * stands for long. */
static void
claimed(struct request *r)
{
    struct claim *c = r->claim;

    c->final = (struct claim_final){0};
    if (c->stage != STAGE_FOLLOW) {
        c->stage = STAGE_FOLLOW;
        c->poll_ms = POLL_MIN_MS;
        Why_Record(r->dispatch->task.kernel, &r->id, "waits", "claimed",
                   json_pack("{s:s, s:s, s:I}", "entry", c->row.entry, "agent",
                             c->row.agent, "attempt",
                             (json_int_t)c->row.attempt));
    }
    Claims_SetTimer(r);
}

/* The row may be claimed: by the request's first id, under which agents know
 * the fences of earlier attempts. When another caller here goes on with it,
 * its outcome is awaited. */
static void
may_claim(struct request *r)
{
    struct claim *c = r->claim;

    if (c->version > 0 && !Dispatch_Rekey(r, &c->row.request)) {
        claimed(r);
        return;
    }
    r->attempt_base = c->version > 0 ? c->row.attempt : 0;
    r->try_count = 0;
    c->stage = STAGE_FREE;
    Dispatch_Admit(r);
}

/* The row says that nothing has run. */
static void
not_run(struct request *r)
{
    if (r->claim->final.kind != FINAL_NONE) {
        Claims_Tell(r);
        return;
    }
    may_claim(r);
}

static void (*const judges[CLAIM_STATE_COUNT])(struct request *) = {
    [CLAIM_CLAIMED] = claimed,
    [CLAIM_NOT_RUN] = not_run,
    [CLAIM_ANSWERED] = answered,
    [CLAIM_UNKNOWN] = tell_unknown,
};

/* Goes on by what the row says. */
static void
judge(struct request *r)
{
    struct claim *c = r->claim;

    if (c->version == 0) {
        not_run(r);
        return;
    }
    if (strcmp(c->row.body_hash, c->body_hash) != 0) {
        c->stage = STAGE_ANSWERED;
        Request_ReplyKeyReused(r);
        return;
    }
    judges[c->row.state](r);
}

/* True when the row bears the claim that this request has just written. */
static bool
is_own(const struct request *r)
{
    const struct claim_row *row = &r->claim->row;

    return row->state == CLAIM_CLAIMED && r->try_count > 0 &&
           Id_Compare(&row->request, &r->id) == 0 &&
           row->attempt == r->tries[r->try_count - 1].number &&
           strcmp(row->entry, r->dispatch->settings->name) == 0;
}

/* The row can't be read. */
static void
unread(struct request *r)
{
    struct claim *c = r->claim;

    if (c->stage == STAGE_FOLLOW) {
        return;
    }
    if (c->final.kind == FINAL_NOT_RUN) {
        c->final.kind = FINAL_UNKNOWN;
        Claims_Tell(r);
        return;
    }
    if (c->offer.keyed_without_table) {
        Claims_Forgo(r);
        Dispatch_Admit(r);
        return;
    }
    Claims_Refuse(r, true);
}

/* The row has been read, or can't be. */
void
Claims_Read(struct request *r, int err)
{
    struct claim *c = r->claim;

    if (c->stage == STAGE_WRITE && err == ERR_OK && is_own(r)) {
        Claims_Own(r);
        return;
    }
    if (c->stage == STAGE_WRITE && err != ERR_OK) {
        Claims_NotWritten(r, ERR_UNKNOWN);
        return;
    }
    if (c->stage == STAGE_WRITE) {
        Claims_Lost(r);
        return;
    }
    if (err != ERR_OK) {
        unread(r);
        return;
    }
    judge(r);
}

/* Fences the claim's attempt at its agent. Only the agent's word that it has
 * not started permits another one: the entry that claimed it may be paused
 * between its claim and its dispatch, and wake at any time. */
static void
ask(struct request *r, const struct server *s)
{
    const struct claim_row *row = &r->claim->row;
    struct wire_withdraw *m = Wire_New(WIRE_WITHDRAW);

    m->request = row->request;
    m->attempt = row->attempt;
    m->incarnation = row->incarnation;
    m->not_after = row->not_after;
    r->claim->heard = false;
    Why_Record(r->dispatch->task.kernel, &r->id, "withdraw", "claim_stands",
               json_pack("{s:s, s:s, s:I}", "entry", row->entry, "agent",
                         row->agent, "attempt", (json_int_t)row->attempt));
    Entry_SendToAgent(&r->dispatch->task, &s->facts.peer, &m->msg, false);
}

/* The incarnation that had the attempt is gone, or has dropped its record: it
 * may have run, and nobody will ever know. Written to the row as final. */
static void
gone(struct request *r, const char *reason)
{
    r->claim->heard = true;
    Request_ReplyUnknown(r, reason);
}

/* Looks into a claim that has stood for long, unless it is another request's
 * of this entry, which sees to it itself. True when the request has ended. */
static bool
look_into(struct request *r)
{
    struct claim *c = r->claim;
    struct server *s = Dispatch_FindServer(r->dispatch, c->row.agent);
    int64_t now = Clock_NowMs();

    if (now - c->seen_at < TAKEOVER_MS || now - c->asked_at < TAKEOVER_MS ||
        s == NULL || !Dispatch_Rekey(r, &c->row.request)) {
        return false;
    }
    c->asked_at = now;
    if (s->facts.incarnation != c->row.incarnation) {
        gone(r, "agent_restarted");
        return true;
    }
    ask(r, s);
    return false;
}

/* The next look at a claim that is followed. */
void
Claims_Follow(struct request *r)
{
    struct claim *c = r->claim;

    if (look_into(r)) {
        return;
    }
    c->poll_ms = c->poll_ms * 2 < POLL_MAX_MS ? c->poll_ms * 2 : POLL_MAX_MS;
    Claims_SetTimer(r);
    Claims_Get(r);
}

/* Sets the timer to the deadline, or to the next look. */
void
Claims_SetTimer(struct request *r)
{
    const struct claim *c = r->claim;
    int64_t left = r->deadline_at - Clock_NowMs();

    if (c->stage == STAGE_FOLLOW && c->poll_ms < left) {
        left = c->poll_ms;
    }
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, left > 0 ? left : 0);
}

/* The agent's word on the attempt of a claim that is followed. */
static void
take_withdrawn(struct request *r, const struct wire_withdrawn *m)
{
    Why_Record(r->dispatch->task.kernel, &r->id, "withdrawn",
               Request_WithdrawName(m->verdict), NULL);
    if (m->verdict == WITHDRAW_NOT_STARTED) {
        may_claim(r);
    }
    else if (m->verdict == WITHDRAW_STRANGER) {
        gone(r, "attempt_forgotten");
    }
}

/* The answer of an attempt whose claim is followed. */
static void
take_answer(struct request *r, const struct wire_answer *m)
{
    r->claim->heard = true;
    if (m->kind == ANSWER_WHOLE) {
        Request_ReplyAnswer(r, m);
    }
    else if (m->kind == ANSWER_NOT_RUN) {
        may_claim(r);
    }
    else {
        Request_ReplyUnknown(r, m->reason);
    }
}

/* What an agent says while the request has no attempt of its own out. */
void
Claims_Inbound(struct request *r, const struct inbound *in)
{
    struct claim *c = r->claim;
    const struct wire_withdrawn *w = (const struct wire_withdrawn *)in->m;
    const struct wire_answer *a = (const struct wire_answer *)in->m;

    if (c->stage != STAGE_FOLLOW || Id_Compare(&c->row.request, &r->id) != 0) {
        return;
    }
    if (in->m->type == WIRE_WITHDRAWN && w->attempt == c->row.attempt) {
        take_withdrawn(r, w);
    }
    else if (in->m->type == WIRE_ANSWER && a->attempt == c->row.attempt) {
        c->from = in->peer;
        c->settle = true;
        take_answer(r, a);
    }
}
