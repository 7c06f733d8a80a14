#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* Rows that are deleted at a time, so that the store is not kept busy. */
#define DELETES_MAX 50

/* Number of deletions so far, and the time. */
struct expiry {
    struct intake *in;
    int64_t now_ms;
    int deletes;
};

/* A row that is being deleted. */
struct deletion {
    struct intake *in;
    char key[sizeof(CANCELLED_PREFIX) + JOBS_ID_SIZE];
    uint64_t version;
};

/* Handles the result of a deletion. If the store has the row no more, or with
 * another version, the cached one is outdated: a read for a caller may have
 * put it there after the feed reported its deletion. */
static void
on_deleted(void *arg, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    struct deletion *d CLEANUP(Mem_FreeP) = arg;
    const struct cached_row *r = Cache_Find(d->in, d->key);
    struct table_row row = {0};

    if (err != ERR_OK && err != ERR_CONFLICT) {
        LOG_W("row_maintenance_failed", KV("error", Err_Name(err)));
        return;
    }
    if (r != NULL && r->version == d->version) {
        row.key = Mem_Dup(d->key);
        Cache_Update(d->in, &row, 1, false, 0);
        free(row.key);
    }
}

/* Deletes a row if this entry has known its version for long enough. */
static void
expire(const struct cached_row *r, void *arg)
{
    struct expiry *e = arg;
    struct table_op op = {.verb = TABLE_DELETE,
                          .table = Queue_Platform()->own_table,
                          .key = r->key,
                          .if_version = r->version};
    struct deletion *d;

    if (e->deletes == DELETES_MAX || strlen(r->key) >= sizeof(d->key) ||
        e->now_ms - r->changed_ms <= REFUSED_KEEP_MS) {
        return;
    }
    e->deletes++;
    d = Mem_Zero(1, sizeof(*d));
    d->in = e->in;
    d->version = r->version;
    Str_Copy(d->key, sizeof(d->key), r->key);
    e->in->store->ops->commit(e->in->store, &op, 1, on_deleted, d);
}

/* Deletes rows of jobs that were refused, or cancelled before they were known,
 * long ago. Ages are counted by this entry's own clock, from when it learned
 * of a row. */
void
Refused_Expire(struct intake *in)
{
    static const char *const prefixes[] = {REFUSED_PREFIX, CANCELLED_PREFIX};

    for (size_t i = 0; i < COUNT_OF(prefixes); i++) {
        struct expiry e = {.in = in, .now_ms = Clock_NowMs()};

        Cache_ForEach(in, prefixes[i], expire, &e);
    }
}
