#include "queue-intake.h"

#include <stdio.h>
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
    char key[sizeof(REFUSED_PREFIX) + JOBS_ID_SIZE];
    uint64_t version;
    bool is_stop; /* a request to cancel a job that is not there */
};

/* Handles the result of a deletion. If the store has the row no more, or with
 * another version, the cached one is outdated: a read for a caller may have
 * put it there after the feed reported its deletion. A request to cancel a job
 * comes from the feed only, and stays when the job is there after all. */
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
    if (r != NULL && r->version == d->version &&
        (err == ERR_OK || !d->is_stop)) {
        row.key = Mem_Dup(d->key);
        Cache_Update(d->in, &row, 1, false, 0);
        free(row.key);
    }
}

/* Deletes a row, if there is no spec of its job where that is asked for. */
static void
delete_row(struct expiry *e, const struct cached_row *r, const char *spec_key)
{
    struct table_op ops[2] = {{.verb = TABLE_DELETE,
                               .table = Queue_Platform()->own_table,
                               .key = r->key,
                               .if_version = r->version},
                              {.verb = TABLE_CHECK,
                               .table = Queue_Platform()->own_table,
                               .key = spec_key,
                               .if_version = 0}};
    struct deletion *d = Mem_Zero(1, sizeof(*d));

    e->deletes++;
    d->in = e->in;
    d->version = r->version;
    d->is_stop = spec_key != NULL;
    Str_Copy(d->key, sizeof(d->key), r->key);
    e->in->store->ops->commit(e->in->store, ops, spec_key != NULL ? 2 : 1,
                              on_deleted, d);
}

/* True when a row may be deleted, as this entry has known its version for long
 * enough. */
static bool
is_old(const struct expiry *e, const struct cached_row *r)
{
    return e->deletes < DELETES_MAX &&
           strlen(r->key) < sizeof(REFUSED_PREFIX) + JOBS_ID_SIZE &&
           e->now_ms - r->changed_ms > REFUSED_KEEP_MS;
}

/* Deletes an old row of a refused job. */
static void
expire_refusal(const struct cached_row *r, void *arg)
{
    if (is_old(arg, r)) {
        delete_row(arg, r, NULL);
    }
}

/* Deletes an old request to cancel a job that is not there. The store has to
 * confirm that: a request whose job the cache has missed must stay. */
static void
expire_stop(const struct cached_row *r, void *arg)
{
    struct expiry *e = arg;
    const char *id = r->key + strlen(STOP_PREFIX);
    const struct cached_job *j = Cache_FindJob(e->in, id);
    char spec_key[sizeof("spec/") + JOBS_ID_SIZE];

    if (is_old(e, r) && strlen(id) < JOBS_ID_SIZE &&
        (j == NULL || !j->has_spec)) {
        snprintf(spec_key, sizeof(spec_key), "spec/%s", id);
        delete_row(e, r, spec_key);
    }
}

/* Deletes rows of jobs that were refused long ago, and old requests to cancel
 * jobs that are not there. Ages are counted by this entry's own clock, from
 * when it learned of a row. */
void
Refused_Expire(struct intake *in)
{
    struct expiry refusals = {.in = in, .now_ms = Clock_NowMs()};
    struct expiry stops = refusals;

    Cache_ForEach(in, REFUSED_PREFIX, expire_refusal, &refusals);
    Cache_ForEach(in, STOP_PREFIX, expire_stop, &stops);
}
