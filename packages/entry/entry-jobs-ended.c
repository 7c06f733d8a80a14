#include "entry-jobs.h"

#include <stdlib.h>

/* Rows of jobs that are over stay for a day, so that callers can ask, and go
 * then: without that a takeover would read every job that ever was. The day
 * counts from when this owner learned of the end. */
#define ROW_KEEP_MS ((int64_t)24 * 3600 * 1000)
#define DELETES_MAX 20 /* rows deleted in one transaction */

/* A row that is to go. */
struct ended_job {
    struct id id;
    int64_t at;
    TAILQ_ENTRY(ended_job) entry;
};

/* Notes a job that is over. */
void
Ended_Add(struct sched *s, const struct id *id)
{
    struct ended_job *e = Mem_Zero(1, sizeof(*e));

    e->id = *id;
    e->at = Clock_NowMs();
    TAILQ_INSERT_TAIL(&s->ended, e, entry);
}

/* Rows that were not deleted are found again by the next owner. */
static void
on_deleted(void *arg UNUSED, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    if (err != ERR_OK) {
        LOG_D("ended_rows_kept", KV("error", Err_Name(err)));
    }
}

/* Deletes the rows whose day is over. Nobody changes a row that is over, so
 * any version will do. */
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

/* Forgets them, as another entry is the owner now. */
void
Ended_Free(struct sched *s)
{
    struct ended_job *e, *next;

    TAILQ_FOREACH_SAFE (e, &s->ended, entry, next) {
        free(e);
    }
    TAILQ_INIT(&s->ended);
}
