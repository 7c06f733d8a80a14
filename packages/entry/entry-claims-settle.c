#include "entry-dispatch.h"

#define SETTLE_TIMEOUT_MS 1000 /* callers wait for the row so long at most */

/* Tells the outcome that was kept back. */
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

/* The caller need not wait longer for the row. The answer is written all the
 * same, again and again for as long as its agent keeps it, so that a
 * repetition finds it. */
static void
reply_early(struct request *r)
{
    if (r->ex != NULL) {
        Request_ReplyAnswerEarly(r, r->claim->final.answer);
    }
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, SETTLE_TIMEOUT_MS);
}

/* The outcome has been written, or not. An agent keeps its answer until the
 * row has it, so that whoever repeats the request can still get it. not_run
 * is told only when the row says so: another entry may have gone on. */
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

/* Writes the outcome into the row. */
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

/* The body of an answer is in the object store, or not; then the row is left
 * as it is and the caller gets what came. */
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

/* Stores a large body first, and the row after it. */
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

/* The row is slow to be written: callers don't wait any longer. What has not
 * been seen written is not told as not run. */
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

/* A copy of an answer, as the message that brought it goes away. */
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

/* True while the row bears another entry's claim whose attempt is fenced.
 * That entry may wake and go on with a further attempt, so that not_run is
 * to be written before it is told. */
bool
Claims_Fenced(const struct request *r)
{
    const struct claim *c = r->claim;

    return c != NULL && c->stage == STAGE_CLAIMABLE && c->version > 0 &&
           c->row.state == CLAIM_CLAIMED;
}

/* Keeps an outcome back until its row says it. Nothing is written for a
 * request that has claimed nothing; but a not_run of one that was queued is
 * told only after another look at the row. False: tell it now. */
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

/* The timer of a request whose row is being read, written or followed. */
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
