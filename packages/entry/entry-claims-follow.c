#include "entry-dispatch.h"

#include <string.h>

/* Time between reads of a followed row; it doubles with each read. */
#define POLL_MIN_MS 25
#define POLL_MAX_MS 400
/* Age at which another entry's claim is checked at its agent. The dispatch of
 * a healthy entry has been taken by then, and the check does not affect it. */
#define TAKEOVER_AFTER_MS 1000

/* Replies unknown, with the reason in the row. */
static void
reply_unknown(struct request *r)
{
    r->claim->stage = STAGE_DONE;
    Request_ReplyUnknown(r, r->claim->row.reason);
}

/* Replies with the answer in the row, which is the one that the first caller
 * got. */
static void
reply_answer(struct request *r, struct buf *body)
{
    struct claim *c = r->claim;
    struct wire_answer *a = Wire_New(WIRE_ANSWER);

    a->request = c->row.request;
    a->attempt = c->row.attempt;
    a->status = (uint64_t)c->row.status;
    Str_Copy(a->content_type, sizeof(a->content_type), c->row.content_type);
    Buf_Move(&a->body, body);
    c->final.answer = a;
    c->stage = STAGE_DONE;
    Request_ReplyAnswer(r, a);
}

/* Receives an answer's body from the object store. Without the body the
 * outcome is unknown: the request ran, but its answer is lost. */
static void
on_body(void *arg, int err, struct buf *content)
{
    struct request *r = Claims_EndOp(arg);

    if (r == NULL) {
        return;
    }
    if (err != ERR_OK) {
        r->claim->stage = STAGE_DONE;
        Request_ReplyUnknown(r, "answer_not_stored");
        return;
    }
    reply_answer(r, content);
}

/* Handles a row that holds an answer. */
static void
row_answered(struct request *r)
{
    struct claim *c = r->claim;
    struct objects *objects = r->dispatch->objects;

    if (c->row.object[0] == '\0') {
        reply_answer(r, &c->row.body);
        return;
    }
    if (objects == NULL) {
        reply_unknown(r);
        return;
    }
    c->stage = STAGE_READ;
    Claims_SetTimer(r);
    objects->ops->get(objects, c->row.object, on_body, Claims_NewOp(r));
}

/* Handles a row that holds another claim: follows it until it has an outcome,
 * and checks it at its agent when it is old. */
static void
row_claimed(struct request *r)
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

/* Admits a request whose row may be claimed. It takes the id of the first
 * request with the key, under which agents know the fences of earlier
 * attempts. If another request of this entry has that id, its outcome is
 * awaited instead. */
static void
admit_claimable(struct request *r)
{
    struct claim *c = r->claim;

    if (c->version > 0 && !Dispatch_Rekey(r, &c->row.request)) {
        row_claimed(r);
        return;
    }
    r->attempt_base = c->version > 0 ? c->row.attempt : 0;
    r->attempt_count = 0;
    c->stage = STAGE_CLAIMABLE;
    Dispatch_Admit(r);
}

/* Handles a row whose state is CLAIM_NOT_RUN. */
static void
row_not_run(struct request *r)
{
    if (r->claim->final.kind != FINAL_NONE) {
        Claims_ReplyFinal(r);
        return;
    }
    admit_claimable(r);
}

static void (*const row_handlers[CLAIM_STATE_COUNT])(struct request *) = {
    [CLAIM_CLAIMED] = row_claimed,
    [CLAIM_NOT_RUN] = row_not_run,
    [CLAIM_ANSWERED] = row_answered,
    [CLAIM_UNKNOWN] = reply_unknown,
};

/* Continues according to the state of the row. */
static void
handle_row(struct request *r)
{
    struct claim *c = r->claim;

    if (c->version == 0) {
        row_not_run(r);
        return;
    }
    if (strcmp(c->row.body_hash, c->body_hash) != 0) {
        c->stage = STAGE_DONE;
        Request_ReplyKeyReused(r);
        return;
    }
    row_handlers[c->row.state](r);
}

/* True when the row holds the claim that this request has just written. */
static bool
is_own_claim(const struct request *r)
{
    const struct claim_row *row = &r->claim->row;

    return row->state == CLAIM_CLAIMED && r->attempt_count > 0 &&
           Id_Compare(&row->request, &r->id) == 0 &&
           row->attempt == r->attempts[r->attempt_count - 1].number &&
           strcmp(row->entry, r->dispatch->settings->name) == 0;
}

/* Handles a row that could not be read. */
static void
row_unreadable(struct request *r)
{
    struct claim *c = r->claim;

    if (c->stage == STAGE_FOLLOW) {
        return;
    }
    if (c->final.kind == FINAL_NOT_RUN) {
        c->final.kind = FINAL_UNKNOWN;
        Claims_ReplyFinal(r);
        return;
    }
    if (c->offer.keyed_without_table) {
        Claims_ServeUnclaimed(r);
        Dispatch_Admit(r);
        return;
    }
    Claims_RefuseTableDown(r, true);
}

/* Receives the result of reading the row. */
void
Claims_RowRead(struct request *r, int err)
{
    struct claim *c = r->claim;

    if (c->stage == STAGE_WRITE && err == ERR_OK && is_own_claim(r)) {
        Claims_Acquired(r);
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
        row_unreadable(r);
        return;
    }
    handle_row(r);
}

/* Sends a withdraw that fences the claim's attempt at its agent. Another
 * attempt is permitted only when the agent reports that this one has not
 * started, because the entry that wrote the claim may be paused before its
 * dispatch and resume at any time. */
static void
send_withdraw(struct request *r, const struct dispatch_agent *agent)
{
    const struct claim_row *row = &r->claim->row;
    struct wire_withdraw *m = Wire_New(WIRE_WITHDRAW);

    m->request = row->request;
    m->attempt = row->attempt;
    m->incarnation = row->incarnation;
    m->not_after = row->not_after;
    r->claim->outcome_reported = false;
    Why_Record(r->dispatch->task.kernel, &r->id, "withdraw", "claim_stands",
               json_pack("{s:s, s:s, s:I}", "entry", row->entry, "agent",
                         row->agent, "attempt", (json_int_t)row->attempt));
    Entry_SendToAgent(&r->dispatch->task, &agent->facts.peer, &m->msg, false);
}

/* Ends the request as unknown and writes that to the row. The agent's
 * incarnation that had the attempt is gone, or has dropped its record, so
 * nothing can show any more whether it ran. */
static void
end_unknown(struct request *r, const char *reason)
{
    r->claim->outcome_reported = true;
    Request_ReplyUnknown(r, reason);
}

/* Checks an old claim at its agent, unless it is the claim of another request
 * of this entry, which checks it itself. Returns true when the request has
 * ended. */
static bool
check_claim(struct request *r)
{
    struct claim *c = r->claim;
    struct dispatch_agent *agent =
        Dispatch_FindAgent(r->dispatch, c->row.agent);
    int64_t now = Clock_NowMs();

    if (now - c->version_seen_at < TAKEOVER_AFTER_MS ||
        now - c->checked_at < TAKEOVER_AFTER_MS || agent == NULL ||
        !Dispatch_Rekey(r, &c->row.request)) {
        return false;
    }
    c->checked_at = now;
    if (agent->facts.incarnation != c->row.incarnation) {
        end_unknown(r, "agent_restarted");
        return true;
    }
    send_withdraw(r, agent);
    return false;
}

/* Checks the followed claim and reads its row again. */
void
Claims_Follow(struct request *r)
{
    struct claim *c = r->claim;

    if (check_claim(r)) {
        return;
    }
    c->poll_ms = c->poll_ms * 2 < POLL_MAX_MS ? c->poll_ms * 2 : POLL_MAX_MS;
    Claims_SetTimer(r);
    Claims_ReadRow(r);
}

/* Sets the timer to the next read of a followed row, or to the deadline. */
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

/* Handles the agent's verdict on the attempt of a followed claim. */
static void
handle_withdrawn(struct request *r, const struct wire_withdrawn *m)
{
    Why_Record(r->dispatch->task.kernel, &r->id, "withdrawn",
               Request_VerdictName(m->verdict), NULL);
    if (m->verdict == WITHDRAW_NOT_STARTED) {
        admit_claimable(r);
    }
    else if (m->verdict == WITHDRAW_OTHER_INCARNATION) {
        end_unknown(r, "attempt_forgotten");
    }
}

/* Handles the answer of the attempt of a followed claim. */
static void
handle_answer(struct request *r, const struct wire_answer *m)
{
    r->claim->outcome_reported = true;
    if (m->kind == ANSWER_COMPLETE) {
        Request_ReplyAnswer(r, m);
    }
    else if (m->kind == ANSWER_NOT_RUN) {
        admit_claimable(r);
    }
    else {
        Request_ReplyUnknown(r, m->reason);
    }
}

/* Handles an agent's message while the request has no open attempt of its own.
 */
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
        handle_withdrawn(r, w);
    }
    else if (in->m->type == WIRE_ANSWER && a->attempt == c->row.attempt) {
        c->answer_peer = in->peer;
        c->agent_keeps_answer = true;
        handle_answer(r, a);
    }
}
