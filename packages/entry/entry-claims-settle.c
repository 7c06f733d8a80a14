#include "entry-dispatch.h"

/* Callers wait this long at most for the row to be written. */
#define SETTLE_TIMEOUT_MS 1000

/* Sends the deferred outcome to the caller. */
void
Claims_ReplyFinal(struct request *r)
{
    struct claim_final f = r->claim->final;

    r->claim->stage = STAGE_DONE;
    if (f.kind == FINAL_ANSWER) {
        Request_ReplyAnswer(r, f.answer);
    }
    else if (f.kind == FINAL_NOT_RUN) {
        Request_ReplyNotRun(r, f.status, f.reason, f.detail, f.retry_after_ms);
    }
    else {
        Request_ReplyUnknown(r, f.reason);
    }
}

/* Sends the answer to the caller before the row holds it. Writing the row is
 * retried for as long as the agent keeps the answer, so that a repetition of
 * the request finds it. */
static void
reply_early(struct request *r)
{
    if (r->ex != NULL) {
        Request_ReplyAnswerEarly(r, r->claim->final.answer);
    }
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, SETTLE_TIMEOUT_MS);
}

/* Receives the result of writing the outcome. The agent keeps its answer until
 * the row holds it, so that a repetition can still get it. The caller receives
 * not_run only when the row holds it, because otherwise another entry may have
 * continued with the key. */
static void
on_settled(void *arg, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    struct request *r = Claims_EndOp(arg);
    struct claim *c = r != NULL ? r->claim : NULL;

    if (r == NULL) {
        return;
    }
    if (c->final.kind == FINAL_NOT_RUN && err == ERR_CONFLICT) {
        c->final = (struct claim_final){0};
        Claims_Lost(r);
        return;
    }
    if (c->final.kind == FINAL_NOT_RUN && err != ERR_OK) {
        c->final.kind = FINAL_UNKNOWN;
    }
    if (c->final.kind == FINAL_ANSWER && err != ERR_OK &&
        err != ERR_CONFLICT) {
        reply_early(r);
        return;
    }
    if (c->agent_keeps_answer && c->final.kind == FINAL_ANSWER) {
        Dispatch_SendSettled(r->dispatch, &c->answer_peer, c->final.answer);
    }
    Claims_ReplyFinal(r);
}

/* Writes the deferred outcome to the row. */
static void
write_final(struct request *r)
{
    static const enum claim_state states[] = {[FINAL_ANSWER] = CLAIM_ANSWERED,
                                              [FINAL_NOT_RUN] = CLAIM_NOT_RUN,
                                              [FINAL_UNKNOWN] = CLAIM_UNKNOWN};
    struct claim *c = r->claim;
    const struct wire_answer *a = c->final.answer;

    c->row.state = states[c->final.kind];
    c->row.at_ms = Clock_WallMs();
    Str_Copy(c->row.reason, sizeof(c->row.reason), c->final.reason);
    if (a != NULL) {
        c->row.status = (int)a->status;
        Str_Copy(c->row.content_type, sizeof(c->row.content_type),
                 a->content_type);
        Buf_Free(&c->row.body);
        if (c->row.object[0] == '\0') {
            Buf_Append(&c->row.body, a->body.data, a->body.len);
        }
    }
    Claims_WriteRow(r, &c->row, on_settled);
}

/* Receives the result of storing an answer's body. If that failed, the row
 * stays as it is and the caller gets the answer. */
static void
on_stored(void *arg, int err)
{
    struct request *r = Claims_EndOp(arg);

    if (r == NULL) {
        return;
    }
    if (err != ERR_OK) {
        reply_early(r);
        return;
    }
    write_final(r);
}

/* Starts to settle the row: a large body is stored first, then the row is
 * written. */
static void
store_final(struct request *r)
{
    struct claim *c = r->claim;
    const struct wire_answer *a = c->final.answer;
    struct objects *objects = r->dispatch->objects;

    r->state = REQUEST_CLAIM;
    c->stage = STAGE_SETTLE;
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, SETTLE_TIMEOUT_MS);
    c->row.object[0] = '\0';
    if (a == NULL || a->body.len <= CLAIM_BODY_MAX) {
        write_final(r);
        return;
    }
    if (objects == NULL) {
        Claims_ReplyFinal(r);
        return;
    }
    Digest_Hex(a->body.data, a->body.len, c->row.object);
    objects->ops->put(objects, c->row.object, a->body.data, a->body.len,
                      on_stored, Claims_NewOp(r));
}

/* Handles a row that is slow to be written. The caller gets its reply now;
 * not_run becomes unknown, as it is not known to be in the row. */
static void
on_settle_timeout(struct request *r)
{
    if (r->claim->final.kind != FINAL_ANSWER) {
        r->claim->final.kind = FINAL_UNKNOWN;
        Claims_ReplyFinal(r);
        return;
    }
    if (Clock_NowMs() > r->deadline_at + ANSWER_KEPT_MS) {
        Claims_ReplyFinal(r);
        return;
    }
    if (r->ex == NULL) {
        store_final(r);
        return;
    }
    reply_early(r);
}

/* Copies an answer, because its message is freed after it was handled. */
static struct wire_answer *
copy_answer(const struct wire_answer *from)
{
    struct wire_answer *a;

    if (from == NULL) {
        return NULL;
    }
    a = Wire_New(WIRE_ANSWER);
    *a = *from;
    a->body = (struct buf){0};
    Buf_Append(&a->body, from->body.data, from->body.len);
    return a;
}

/* True while the row still holds another entry's claim whose attempt has been
 * fenced. That entry may resume with a further attempt, so not_run has to be
 * in the row before the caller receives it. */
bool
Claims_Fenced(const struct request *r)
{
    const struct claim *c = r->claim;

    return c != NULL && c->stage == STAGE_CLAIMABLE && c->version > 0 &&
           c->row.state == CLAIM_CLAIMED;
}

/* Withholds an outcome until the row holds it. Nothing is written for a
 * request without a claim in the row, but not_run of a queued request is sent
 * only after its row was read once more. Returns false when the reply can be
 * sent now. */
bool
Claims_Defer(struct request *r, const struct claim_final *f)
{
    struct claim *c = r->claim;

    if (c == NULL || c->stage == STAGE_DONE) {
        return false;
    }
    if (c->stage == STAGE_CLAIMED ||
        (c->stage == STAGE_FOLLOW && f->kind != FINAL_NOT_RUN &&
         c->outcome_reported)) {
        c->final = *f;
        c->final.answer = copy_answer(f->answer);
        store_final(r);
        return true;
    }
    if (c->stage == STAGE_CLAIMABLE && f->kind == FINAL_NOT_RUN) {
        c->final = *f;
        Claims_Open(r);
        return true;
    }
    c->stage = STAGE_DONE;
    return false;
}

/* Handles the timer of a request whose row is being read, written or followed.
 */
void
Claims_Timer(struct request *r)
{
    struct claim *c = r->claim;

    if (c->stage == STAGE_SETTLE) {
        on_settle_timeout(r);
        return;
    }
    if (Clock_NowMs() >= r->deadline_at) {
        if (c->stage == STAGE_WRITE) {
            Request_CancelUnsent(r);
        }
        c->stage = STAGE_DONE;
        Request_ReplyUnknown(r, "deadline");
        return;
    }
    if (c->stage == STAGE_FOLLOW) {
        Claims_Follow(r);
    }
    Claims_SetTimer(r);
}
