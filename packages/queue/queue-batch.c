#include "queue-owner.h"

#include <stdio.h>
#include <string.h>

/* Bounds of one transaction. The store accepts up to 100 ops and 1 MB; the
 * check of the owner row, the heartbeat and the learned state come on top. */
#define BATCH_ROWS 90
#define BATCH_BYTES 600000
#define RETRY_PAUSE_MS 60

static struct counter writes_total = {"parsleyfall_queue_writes_total",
                                      "Transactions of the owner.", NULL,
                                      COUNTER_TOTAL};
static struct counter write_ms = {"parsleyfall_queue_write_ms",
                                  "Time of a transaction of the owner.", NULL,
                                  COUNTER_LATENCY};

/* One transaction with the memory that its ops refer to. */
struct batch {
    struct table_op ops[BATCH_ROWS + 3];
    char keys[BATCH_ROWS][JOBS_ID_SIZE + 8];
    struct buf rows[BATCH_ROWS];
    size_t row_count;
    size_t op_count;
    size_t bytes;
};

/* Handles the result of a transaction.
 *
 * A transaction whose answer was lost may take effect seconds later, after
 * newer ones; a row would go back to an older value, and the next owner would
 * start a run again that has ended. After an unknown outcome nothing else is
 * written until the owner row itself has been rewritten: every transaction
 * expects the version of that row, and one that is still on its way expects
 * the old version. */
static void
on_committed(void *arg, int err, size_t at UNUSED,
             const uint64_t *versions UNUSED)
{
    struct owner *o = arg;
    int64_t now = Clock_NowMs();

    o->write_pending = false;
    Learned_Written(o, err == ERR_OK);
    if (o->scheduler == NULL) {
        return;
    }
    if (err == ERR_OK) {
        Counter_Observe(&write_ms, now - o->write_started_ms);
        o->confirmed_ms = o->write_started_ms;
        Jobs_Written(o->scheduler);
        Owner_SchedulePass(o);
        return;
    }
    Jobs_NotWritten(o->scheduler);
    LOG_W("write_failed", KV("error", Err_Name(err)), KV_INT("term", o->term));
    if (err == ERR_CONFLICT) {
        /* The owner row has changed; the feed will report the new owner. */
        o->next_write_ms = now + RETRY_PAUSE_MS;
        return;
    }
    if (err == ERR_UNKNOWN) {
        o->leadership = LEADER_FENCING;
        return;
    }
    o->next_write_ms = now + RETRY_PAUSE_MS;
}

/* Adds the progress rows that have to be written. */
static void
add_rows(struct owner *o, struct batch *b)
{
    const char *id;

    while (b->row_count < BATCH_ROWS && b->bytes < BATCH_BYTES) {
        struct buf *row = &b->rows[b->row_count];
        char *key = b->keys[b->row_count];

        id = Jobs_NextDirty(o->scheduler, row);
        if (id == NULL) {
            return;
        }
        snprintf(key, sizeof(b->keys[0]), "run/%s", id);
        b->ops[b->op_count++] =
            (struct table_op){.verb = TABLE_PUT,
                              .table = Queue_Platform()->own_table,
                              .key = key,
                              .if_version = TABLE_ANY,
                              .value = row->data,
                              .len = row->len};
        b->row_count++;
        b->bytes += row->len;
    }
}

/* Adds the heartbeat row, by which other entries see that the owner is
 * alive. */
static void
add_heartbeat(struct owner *o, struct batch *b, struct buf *value)
{
    Buf_Printf(value, "{\"term\":%llu,\"beats\":%llu}",
               (unsigned long long)o->term,
               (unsigned long long)o->heartbeats++);
    b->ops[b->op_count++] =
        (struct table_op){.verb = TABLE_PUT,
                          .table = Queue_Platform()->own_table,
                          .key = "beat",
                          .if_version = TABLE_ANY,
                          .value = value->data,
                          .len = value->len};
}

/* Adds the row of learned state if it has to be written. */
static void
add_learned(struct owner *o, struct batch *b, struct buf *value)
{
    if (Learned_Encode(o, value, Clock_NowMs())) {
        b->ops[b->op_count++] =
            (struct table_op){.verb = TABLE_PUT,
                              .table = Queue_Platform()->own_table,
                              .key = "learned",
                              .if_version = TABLE_ANY,
                              .value = value->data,
                              .len = value->len};
    }
}

/* Writes changed progress rows and the heartbeat, one transaction at a time;
 * changes made while one is pending go into the next. */
void
Batch_Start(struct owner *o)
{
    struct buf heartbeat CLEANUP(Buf_Free) = {0};
    struct buf learned CLEANUP(Buf_Free) = {0};
    struct batch *b CLEANUP(Mem_FreeP) = NULL;
    int64_t now = Clock_NowMs();

    if (o->write_pending || o->leadership != LEADER_HELD ||
        now < o->next_write_ms) {
        return;
    }
    b = Mem_Zero(1, sizeof(*b));
    b->ops[b->op_count++] = Leader_OwnershipCheck(o);
    add_rows(o, b);
    if (b->row_count == 0 && now - o->write_started_ms < HEARTBEAT_MS) {
        Jobs_NotWritten(o->scheduler);
        return;
    }
    if (now - o->write_started_ms >= HEARTBEAT_MS || b->row_count == 0) {
        add_heartbeat(o, b, &heartbeat);
    }
    add_learned(o, b, &learned);
    o->write_pending = true;
    o->write_started_ms = now;
    Counter_Add(&writes_total, 1);
    o->store->ops->commit(o->store, b->ops, b->op_count, on_committed, o);
    for (size_t i = 0; i < b->row_count; i++) {
        Buf_Free(&b->rows[i]);
    }
}
