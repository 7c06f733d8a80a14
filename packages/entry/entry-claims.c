#include "entry-dispatch.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER_MS 1000 /* sent to callers while the table is down */
/* Callers wait this long at most for the row to be written. */
#define SETTLE_TIMEOUT_MS 1000

static struct counter unclaimed_total = {
    "parsleyfall_claims_unclaimed_total",
    "Keyed requests served without a claim, as the table was down.", NULL,
    COUNTER_TOTAL};
static struct counter refused_total = {
    "parsleyfall_claims_refused_total",
    "Keyed requests refused, as the table was down.", NULL, COUNTER_TOTAL};

/* Frees an operation that has ended. Returns its request, or NULL when the
 * request has ended or has started a later operation. */
struct request *
Claims_EndOp(struct claim_op *op)
{
    struct request *r = Dispatch_FindRequest(op->dispatch, &op->request);
    uint64_t number = op->number;

    LIST_REMOVE(op, entry);
    free(op);
    return r != NULL && r->claim != NULL && r->claim->op_number == number
               ? r
               : NULL;
}

/* Starts an operation on a request's row. */
struct claim_op *
Claims_NewOp(struct request *r)
{
    struct claim_op *op = Mem_Zero(1, sizeof(*op));

    op->dispatch = r->dispatch;
    op->request = r->id;
    op->number = ++r->claim->op_number;
    LIST_INSERT_HEAD(&r->dispatch->claim_ops, op, entry);
    return op;
}

/* Creates the claim of a request with a key; returns NULL without a key. */
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

/* Frees a claim; its row stays in the table. */
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

/* Receives the row, or the error of reading it. */
static void
on_row(void *arg, int err, struct table_row *row)
{
    struct request *r = Claims_EndOp(arg);
    struct claim *c = r != NULL ? r->claim : NULL;

    if (r == NULL) {
        return;
    }
    if (err == ERR_OK && row->version != c->version) {
        c->version = row->version;
        c->version_seen_at = Clock_NowMs();
        Buf_Free(&c->row.body);
        memset(&c->row, 0, sizeof(c->row));
        if (row->version > 0) {
            err = ClaimRow_Decode(&row->value, &c->row);
        }
        if (err != ERR_OK) {
            c->version = 0;
        }
    }
    Claims_RowRead(r, err);
}

/* Reads the row from the table. */
void
Claims_ReadRow(struct request *r)
{
    struct table *table = r->dispatch->table;

    if (table == NULL) {
        Claims_RowRead(r, ERR_UNREACHABLE);
        return;
    }
    table->ops->get(table, CLAIMS_TABLE, r->claim->key, on_row,
                    Claims_NewOp(r));
}

/* Begins a keyed request, or restarts it, by reading its row. Nothing is
 * decided before that, because an earlier request with the key may have run.
 */
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
    Claims_ReadRow(r);
}

/* Writes the row on the condition that its version is the one last read. */
void
Claims_WriteRow(struct request *r, const struct claim_row *row,
                table_committed done)
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

/* Serves a request without a claim while the table is down, as its class is
 * configured to. A repetition at another entry may then run a second time. */
void
Claims_ServeUnclaimed(struct request *r)
{
    Counter_Add(&unclaimed_total, 1);
    Why_Record(r->dispatch->task.kernel, &r->id, "served_unclaimed",
               "table_down", NULL);
    r->claim->stage = STAGE_DONE;
}

/* Refuses a request while the table is down. When its row was not read, an
 * earlier request with the key may have run and not_run could be false. */
void
Claims_RefuseTableDown(struct request *r, bool may_have_run)
{
    Counter_Add(&refused_total, 1);
    r->claim->stage = STAGE_DONE;
    Request_ReplyTableDown(r, may_have_run, RETRY_AFTER_MS);
}

/* Handles a claim that could not be written; nothing has been sent. */
void
Claims_NotWritten(struct request *r, int err)
{
    bool claimed = r->claim->version > 0;

    if (r->claim->offer.keyed_without_table) {
        Claims_ServeUnclaimed(r);
        r->state = REQUEST_DISPATCHED;
        Request_Claimed(r);
        return;
    }
    Request_CancelUnsent(r);
    Claims_RefuseTableDown(r, err == ERR_UNKNOWN || claimed);
}

/* Receives the result of writing the claim. When the result was lost, or
 * another write has followed, the row is read again to learn whether the claim
 * was stored. */
static void
on_claim_written(void *arg, int err, size_t at UNUSED,
                 const uint64_t *versions)
{
    struct request *r = Claims_EndOp(arg);

    if (r == NULL) {
        return;
    }
    if (err == ERR_CONFLICT) {
        Claims_Lost(r);
        return;
    }
    if (err == ERR_UNKNOWN || (err == ERR_OK && versions[0] == 0)) {
        Claims_ReadRow(r);
        return;
    }
    if (err != ERR_OK) {
        Claims_NotWritten(r, err);
        return;
    }
    r->claim->version = versions[0];
    Claims_Acquired(r);
}

/* Sends the attempt, now that the row holds its claim. An entry that sent
 * first and then died would leave an attempt that no other entry knows of and
 * could fence. */
void
Claims_Acquired(struct request *r)
{
    r->claim->stage = STAGE_CLAIMED;
    r->state = REQUEST_DISPATCHED;
    Request_Claimed(r);
}

/* Reads the row again after another entry has written it; the outcome there is
 * the one that counts. */
void
Claims_Lost(struct request *r)
{
    Request_CancelUnsent(r);
    r->attempt_count = 0;
    Dispatch_PumpSoon(r->dispatch, r->service);
    Claims_Open(r);
}

/* Writes the claim of a new attempt, which is sent after that. */
void
Claims_WriteClaim(struct request *r, const struct request_attempt *a)
{
    struct claim *c = r->claim;
    struct claim_row *row = &c->row;

    row->state = CLAIM_CLAIMED;
    row->request = r->id;
    row->attempt = a->number;
    row->incarnation = a->incarnation;
    row->not_after = a->not_after;
    row->at_ms = Clock_WallMs();
    Str_Copy(row->entry, sizeof(row->entry), r->dispatch->settings->name);
    Str_Copy(row->agent, sizeof(row->agent), a->agent);
    Str_Copy(row->body_hash, sizeof(row->body_hash), c->body_hash);
    r->state = REQUEST_CLAIM;
    c->stage = STAGE_WRITE;
    Claims_SetTimer(r);
    if (r->dispatch->table == NULL) {
        Claims_NotWritten(r, ERR_UNREACHABLE);
        return;
    }
    Claims_WriteRow(r, row, on_claim_written);
}
