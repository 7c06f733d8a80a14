#include "entry-claims.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time between two sweeps, by whichever entry. */
#define SWEEP_INTERVAL_MS 60000
#define FIRST_SWEEP_MS 1000 /* after the start */
#define BATCH_ROWS 200      /* rows that one sweep reads */
#define COMMIT_ROWS_MAX 4   /* rows that one commit deletes */
/* Time between commits, which leaves the budget of table calls to requests. */
#define COMMIT_INTERVAL_MS 500
/* Key of the sweep's own row, which holds "at_ms cursor". The keys of claims
 * are hex, so no claim has this key. */
#define SWEEP_KEY "sweep"

/* The entry that writes the sweep's row runs the next sweep. So all entries
 * together sweep once a minute, each batch from where the last one ended. */
struct sweep {
    struct task task;
    struct table *table;
    uint64_t version; /* version of the sweep's row */
    char cursor[DIGEST_HEX_SIZE];
    char *keys[BATCH_ROWS]; /* rows to delete */
    uint64_t versions[BATCH_ROWS];
    size_t count;
    size_t deleting; /* rows of the commit in progress */
    ev_timer timer, commit_timer;
};

static struct counter swept_total = {"parsleyfall_claims_swept_total",
                                     "Claims deleted after their time.", NULL,
                                     COUNTER_TOTAL};

/* Receives the result of a commit. A row that was written after it was read
 * has not expired; its commit fails and is left to a later sweep, as is a
 * commit that the budget refuses. */
static void
on_deleted(void *arg, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    struct sweep *s = arg;

    Counter_Add(&swept_total, err == ERR_OK ? (int64_t)s->deleting : 0);
    Timer_Set(s->task.kernel->loop, &s->commit_timer, COMMIT_INTERVAL_MS);
}

/* Deletes the next rows, on the condition that they are as they were read. */
static void
on_commit_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct sweep *s = w->data;
    struct table_op ops[COMMIT_ROWS_MAX];
    size_t n = 0;

    while (s->count > 0 && n < COMMIT_ROWS_MAX) {
        s->count--;
        ops[n++] = (struct table_op){.verb = TABLE_DELETE,
                                     .table = CLAIMS_TABLE,
                                     .key = s->keys[s->count],
                                     .if_version = s->versions[s->count]};
    }
    s->deleting = n;
    if (n > 0) {
        s->table->ops->commit(s->table, ops, n, on_deleted, s);
    }
    while (n > 0) {
        free(s->keys[s->count + --n]);
    }
}

/* True when a claim is older than CLAIMS_KEEP_MS. */
static bool
is_expired(const struct table_row *row)
{
    struct claim_row c;
    int err = ClaimRow_Decode(&row->value, &c);

    Buf_Free(&c.body);
    return err == ERR_OK && c.at_ms + CLAIMS_KEEP_MS < Clock_WallMs();
}

/* Frees the keys that are left of the last batch. */
static void
clear_batch(struct sweep *s)
{
    while (s->count > 0) {
        free(s->keys[--s->count]);
    }
}

/* Receives a batch of rows and collects those that have expired. */
static void
on_listed(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct sweep *s = arg;
    size_t i;

    if (err != ERR_OK) {
        return;
    }
    clear_batch(s);
    for (i = 0; i < count; i++) {
        if (is_expired(&rows[i])) {
            s->versions[s->count] = rows[i].version;
            s->keys[s->count++] = Mem_Dup(rows[i].key);
        }
    }
    Str_Copy(s->cursor, sizeof(s->cursor),
             more && count > 0 ? rows[count - 1].key : "");
    Timer_Set(s->task.kernel->loop, &s->commit_timer, COMMIT_INTERVAL_MS);
}

/* Lists the next batch when this entry's write of the sweep's row succeeded.
 */
static void
on_sweep_claimed(void *arg, int err, size_t at UNUSED,
                 const uint64_t *versions UNUSED)
{
    struct sweep *s = arg;

    if (err == ERR_OK) {
        s->table->ops->list(s->table, CLAIMS_TABLE, "", s->cursor, BATCH_ROWS,
                            on_listed, s);
    }
}

/* Receives the sweep's row and writes it when the last sweep is long enough
 * ago. The cursor in the row is the one that the last sweep began at. If that
 * sweep was this entry's own, it continues at its later cursor. */
static void
on_sweep_row(void *arg, int err, struct table_row *row)
{
    struct sweep *s = arg;
    char value[DIGEST_HEX_SIZE + 32];
    char cursor[DIGEST_HEX_SIZE] = "";
    long long at_ms = 0;
    struct table_op op = {.verb = TABLE_PUT,
                          .table = CLAIMS_TABLE,
                          .key = SWEEP_KEY,
                          .value = value};

    if (err != ERR_OK) {
        return;
    }
    if (row->version > 0 && row->value.data != NULL) {
        sscanf(row->value.data, "%lld %64[0-9a-f]", &at_ms, cursor);
    }
    if (Clock_WallMs() - at_ms < SWEEP_INTERVAL_MS) {
        return;
    }
    if (row->version != s->version) {
        Str_Copy(s->cursor, sizeof(s->cursor), cursor);
    }
    s->version = row->version + 1;
    snprintf(value, sizeof(value), "%lld %s", (long long)Clock_WallMs(),
             s->cursor);
    op.len = strlen(value);
    op.if_version = row->version;
    s->table->ops->commit(s->table, &op, 1, on_sweep_claimed, s);
}

/* Reads the sweep's row to see whether a sweep is due. */
static void
on_sweep_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct sweep *s = w->data;

    Timer_Set(s->task.kernel->loop, w, SWEEP_INTERVAL_MS);
    s->table->ops->get(s->table, CLAIMS_TABLE, SWEEP_KEY, on_sweep_row, s);
}

/* Frees the task. */
static void
sweep_free(struct task *t)
{
    struct sweep *s = (struct sweep *)t;

    ev_timer_stop(t->kernel->loop, &s->timer);
    ev_timer_stop(t->kernel->loop, &s->commit_timer);
    clear_batch(s);
    free(s);
}

static const struct task_ops sweep_ops = {.name = "claims-sweep",
                                          .free = sweep_free};

/* Starts the sweep when there is a table. */
static int
start(struct kernel *k)
{
    struct table *table = Entry_Table(k);
    struct sweep *s;

    if (table == NULL) {
        return ERR_OK;
    }
    s = Mem_Zero(1, sizeof(*s));
    s->table = table;
    Kernel_AddTask(k, &s->task, &sweep_ops);
    ev_init(&s->timer, on_sweep_timer);
    ev_init(&s->commit_timer, on_commit_timer);
    s->timer.data = s;
    s->commit_timer.data = s;
    Timer_Set(k->loop, &s->timer, FIRST_SWEEP_MS);
    return ERR_OK;
}

static struct plugin sweep_plugin = {
    .name = "claims-sweep", .rank = 45, .start = start};
KERNEL_PLUGIN(sweep_plugin)
