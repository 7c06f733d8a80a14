#include "entry-dispatch.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER_MS 1000 /* while the table service is down */
#define SETTLE_MS 1000      /* callers wait for the row so long at most */

static struct counter unclaimed_total = {
    "parsleyfall_claims_unclaimed_total",
    "Keyed requests served without a claim, as the table was down.", NULL,
    COUNTER_TOTAL};
static struct counter refused_total = {
    "parsleyfall_claims_refused_total",
    "Keyed requests refused, as the table was down.", NULL, COUNTER_TOTAL};

/* Forgets an operation that has ended; its request when that is still the
 * one that began it, or NULL. */
struct request *
Claims_EndOp(struct claim_op *op)
{
    struct request *r = Dispatch_FindRequest(op->dispatch, &op->request);
    uint64_t number = op->number;

    LIST_REMOVE(op, entry);
    free(op);
    return r != NULL && r->claim != NULL && r->claim->op == number ? r : NULL;
}

/* Begins an operation on a request's row. */
struct claim_op *
Claims_NewOp(struct request *r)
{
    struct claim_op *op = Mem_Zero(1, sizeof(*op));

    op->dispatch = r->dispatch;
    op->request = r->id;
    op->number = ++r->claim->op;
    LIST_INSERT_HEAD(&r->dispatch->claim_ops, op, entry);
    return op;
}

/* Makes the claim of a request with a key; NULL without one. */
struct claim *
Claims_New(const struct offer *o, const struct buf *body)
{
    struct claim *c;

    if (o->key[0] == '\0') {
        return NULL;
    }
    c = Mem_Zero(1, sizeof(*c));
    c->offer = *o;
    c->offer.body = (struct buf){0};
    ClaimRow_Key(o->organisation, o->service, o->key, c->key);
    Digest_Hex(body->data != NULL ? body->data : "", body->len, c->body_hash);
    return c;
}

/* Frees a claim; its row stays. */
void
Claims_Free(struct claim *c)
{
    if (c == NULL) {
        return;
    }
    if (c->final.answer != NULL) {
        Wire_Free((struct wire_msg *)(uintptr_t)c->final.answer);
    }
    Buf_Free(&c->row.body);
    free(c);
}

/* The row has come, or can't be read. */
static void
on_got(void *arg, int err, struct table_row *row)
{
    struct request *r = Claims_EndOp(arg);
    struct claim *c = r != NULL ? r->claim : NULL;

    if (r == NULL) {
        return;
    }
    if (err == ERR_OK && row->version != c->version) {
        c->version = row->version;
        c->seen_at = Clock_NowMs();
        Buf_Free(&c->row.body);
        memset(&c->row, 0, sizeof(c->row));
        if (row->version > 0) {
            err = ClaimRow_Decode(&row->value, &c->row);
        }
        if (err != ERR_OK) {
            c->version = 0;
        }
    }
    Claims_Read(r, err);
}

/* Reads the row. */
void
Claims_Get(struct request *r)
{
    struct table *table = r->dispatch->table;

    if (table == NULL) {
        Claims_Read(r, ERR_UNREACHABLE);
        return;
    }
    table->ops->get(table, CLAIMS_TABLE, r->claim->key, on_got,
                    Claims_NewOp(r));
}

/* A keyed request comes: nothing is judged before its row is read, as an
 * earlier one with this key may have run. */
void
Claims_Open(struct request *r)
{
    struct admission *a = r->service->admission;

    if (Admission_Cancel(a, &r->id) != ERR_OK) {
        Admission_Finished(a, &r->id, 0, false, Clock_NowMs());
    }
    r->state = REQUEST_CLAIM;
    r->claim->stage = STAGE_READ;
    Claims_SetTimer(r);
    Claims_Get(r);
}

/* Writes the row on the condition that it is as it was read. */
static void
put(struct request *r, const struct claim_row *row, table_committed done)
{
    struct table *table = r->dispatch->table;
    struct buf text CLEANUP(Buf_Free) = {0};
    struct table_op op = {.verb = TABLE_PUT,
                          .table = CLAIMS_TABLE,
                          .key = r->claim->key,
                          .if_version = r->claim->version};

    ClaimRow_Encode(row, &text);
    op.value = text.data;
    op.len = text.len;
    table->ops->commit(table, &op, 1, done, Claims_NewOp(r));
}

/* Serves a request without a claim, as its class wishes while the table is
 * down: a repetition at another entry may run a second time. */
void
Claims_Forgo(struct request *r)
{
    Counter_Add(&unclaimed_total, 1);
    Why_Record(r->dispatch->task.kernel, &r->id, "served_unclaimed",
               "table_down", NULL);
    r->claim->stage = STAGE_TOLD;
}

/* Refuses a request while the table is down. Before its row could be read,
 * an earlier one with this key may have run, and not_run might be untrue. */
void
Claims_Refuse(struct request *r, bool may_have_run)
{
    Counter_Add(&refused_total, 1);
    r->claim->stage = STAGE_TOLD;
    Request_ReplyNoTable(r, may_have_run, RETRY_AFTER_MS);
}

/* The claim could not be written, so that nothing has been sent. */
static void
not_written(struct request *r, int err)
{
    bool claimed = r->claim->version > 0;

    if (r->claim->offer.keyed_without_table) {
        Claims_Forgo(r);
        r->state = REQUEST_OUT;
        Request_Claimed(r);
        return;
    }
    Request_Unsend(r);
    Claims_Refuse(r, err == ERR_UNKNOWN || claimed);
}

/* The claim has been written, or not. A write whose answer was lost has been
 * recognised by its token; its version is then read. */
static void
on_claimed(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct request *r = Claims_EndOp(arg);

    if (r == NULL) {
        return;
    }
    if (err == ERR_CONFLICT) {
        Claims_Lost(r);
        return;
    }
    if (err != ERR_OK) {
        not_written(r, err);
        return;
    }
    r->claim->version = versions[0];
    if (versions[0] == 0) {
        Claims_Get(r);
        return;
    }
    Claims_Own(r);
}

/* Our claim is in the row: only now is anything sent. An entry that sent
 * first and died would leave an attempt that nobody knows to fence. */
void
Claims_Own(struct request *r)
{
    r->claim->stage = STAGE_OWN;
    r->state = REQUEST_OUT;
    Request_Claimed(r);
}

/* Another entry has written the row: its outcome counts. */
void
Claims_Lost(struct request *r)
{
    Request_Unsend(r);
    r->try_count = 0;
    Dispatch_PumpSoon(r->dispatch, r->service);
    Claims_Open(r);
}

/* Writes the claim of a new attempt, before it is sent. */
void
Claims_Write(struct request *r, const struct try *t)
{
    struct claim *c = r->claim;
    struct claim_row *row = &c->row;

    row->state = CLAIM_CLAIMED;
    row->request = r->id;
    row->attempt = t->number;
    row->incarnation = t->incarnation;
    row->not_after = t->not_after;
    row->at_ms = Clock_WallMs();
    Str_Copy(row->entry, sizeof(row->entry), r->dispatch->settings->name);
    Str_Copy(row->agent, sizeof(row->agent), t->agent);
    Str_Copy(row->body_hash, sizeof(row->body_hash), c->body_hash);
    r->state = REQUEST_CLAIM;
    c->stage = STAGE_WRITE;
    Claims_SetTimer(r);
    if (r->dispatch->table == NULL) {
        not_written(r, ERR_UNREACHABLE);
        return;
    }
    put(r, row, on_claimed);
}

/* Tells the outcome that was kept back. */
void
Claims_Tell(struct request *r)
{
    struct claim_final f = r->claim->final;

    r->claim->stage = STAGE_TOLD;
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
    if (c->final.kind == FINAL_ANSWER && c->settle &&
        (err == ERR_OK || err == ERR_CONFLICT)) {
        Dispatch_SaySettled(r->dispatch, &c->from, c->final.answer);
    }
    Claims_Tell(r);
}

/* Writes the outcome into the row. */
static void
put_final(struct request *r)
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
    put(r, &c->row, on_settled);
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
        Claims_Tell(r);
        return;
    }
    put_final(r);
}

/* Stores a large body first, and the row after it. */
static void
settle(struct request *r)
{
    struct claim *c = r->claim;
    const struct wire_answer *a = c->final.answer;
    struct objects *objects = r->dispatch->objects;

    r->state = REQUEST_CLAIM;
    c->stage = STAGE_SETTLE;
    Timer_Set(r->dispatch->task.kernel->loop, &r->timer, SETTLE_MS);
    c->row.object[0] = '\0';
    if (a == NULL || a->body.len <= CLAIM_BODY_MAX) {
        put_final(r);
        return;
    }
    if (objects == NULL) {
        Claims_Tell(r);
        return;
    }
    Digest_Hex(a->body.data, a->body.len, c->row.object);
    objects->ops->put(objects, c->row.object, a->body.data, a->body.len,
                      on_stored, Claims_NewOp(r));
}

/* The row is slow to be written: callers don't wait any longer. What has not
 * been seen written is not told as not run. */
static void
settle_late(struct request *r)
{
    if (r->claim->final.kind == FINAL_NOT_RUN) {
        r->claim->final.kind = FINAL_UNKNOWN;
    }
    Claims_Tell(r);
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

    return c != NULL && c->stage == STAGE_FREE && c->version > 0 &&
           c->row.state == CLAIM_CLAIMED;
}

/* Keeps an outcome back until its row says it. Nothing is written for a
 * request that has claimed nothing; but a not_run of one that was queued is
 * told only after another look at the row. False: tell it now. */
bool
Claims_Defer(struct request *r, const struct claim_final *f)
{
    struct claim *c = r->claim;

    if (c == NULL || c->stage == STAGE_TOLD) {
        return false;
    }
    if (c->stage == STAGE_OWN ||
        (c->stage == STAGE_FOLLOW && f->kind != FINAL_NOT_RUN && c->heard)) {
        c->final = *f;
        c->final.answer = copy_answer(f->answer);
        settle(r);
        return true;
    }
    if (c->stage == STAGE_FREE && f->kind == FINAL_NOT_RUN) {
        c->final = *f;
        Claims_Open(r);
        return true;
    }
    c->stage = STAGE_TOLD;
    return false;
}

/* The timer of a request whose row is being read, written or followed. */
void
Claims_Timer(struct request *r)
{
    struct claim *c = r->claim;

    if (c->stage == STAGE_SETTLE) {
        settle_late(r);
        return;
    }
    if (Clock_NowMs() >= r->deadline_at) {
        if (c->stage == STAGE_WRITE) {
            Request_Unsend(r);
        }
        c->stage = STAGE_TOLD;
        Request_ReplyUnknown(r, "deadline");
        return;
    }
    if (c->stage == STAGE_FOLLOW) {
        Claims_Follow(r);
    }
    Claims_SetTimer(r);
}
