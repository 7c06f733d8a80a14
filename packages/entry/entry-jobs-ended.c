#include "entry-jobs.h"

#include <stdlib.h>

/* Rows of ended jobs are kept for a day, so that callers can read them, and
 * then deleted: otherwise a takeover would read every job that ever existed.
 * The day starts when this owner learns that the job has ended. */
#define ROW_KEEP_MS ((int64_t)24 * 3600 * 1000)
#define DELETES_MAX 20 /* rows per transaction */

/* An ended job whose row is to be deleted. */
struct ended_job {
    struct id id;
    int64_t at; /* when the end was learned, own clock */
    TAILQ_ENTRY(ended_job) entry;
};

/* Adds an ended job to the list. */
void
Ended_Add(struct sched *s, const struct id *id)
{
    struct ended_job *e = Mem_Zero(1, sizeof(*e));

    e->id = *id;
    e->at = Clock_NowMs();
    TAILQ_INSERT_TAIL(&s->ended, e, entry);
}

/* Handles the result of a deletion. Rows that were not deleted are found again
 * by the next owner. */
static void
on_deleted(void *arg UNUSED, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    if (err != ERR_OK) {
        LOG_D("ended_rows_kept", KV("error", Err_Name(err)));
    }
}

/* Deletes the rows that are kept for ROW_KEEP_MS already. The row of an ended
 * job never changes, so its version is not checked. */
void
Ended_Sweep(struct sched *s, int64_t now)
{
    char key[DELETES_MAX][JOB_KEY_SIZE];
    struct table_op ops[DELETES_MAX + 1] = {Owner_Check(s)};
    size_t n = 0;
    struct ended_job *e, *next;

    TAILQ_FOREACH_SAFE (e, &s->ended, entry, next) {
        if (n == DELETES_MAX || now - e->at < ROW_KEEP_MS) {
            break;
        }
        JobRow_Key(s->settings->region, &e->id, key[n]);
        ops[n + 1] = (struct table_op){.verb = TABLE_DELETE,
                                       .table = "jobs",
                                       .key = key[n],
                                       .if_version = TABLE_ANY};
        n++;
        TAILQ_REMOVE(&s->ended, e, entry);
        free(e);
    }
    if (n > 0) {
        s->table->ops->commit(s->table, ops, n + 1, on_deleted, s);
    }
}

/* Empties the list, when this entry is no longer the owner. */
void
Ended_Free(struct sched *s)
{
    struct ended_job *e, *next;

    TAILQ_FOREACH_SAFE (e, &s->ended, entry, next) {
        free(e);
    }
    TAILQ_INIT(&s->ended);
}
