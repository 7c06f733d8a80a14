#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* Orders rows by key. */
static int
row_compare(struct cached_row *a, struct cached_row *b)
{
    return strcmp(a->key, b->key);
}

/* Orders jobs by id. */
static int
cached_job_compare(struct cached_job *a, struct cached_job *b)
{
    return strcmp(a->id, b->id);
}

TREE_STATIC(row_tree, cached_row, by_key, row_compare);
TREE_STATIC(cached_job_tree, cached_job, by_id, cached_job_compare);

/* Finds a row by its key, or returns NULL. */
const struct cached_row *
Cache_Find(struct intake *in, const char *key)
{
    struct cached_row probe = {.key = (char *)key};

    return RB_FIND(row_tree, &in->cache, &probe);
}

/* Finds a cached job by its id, or returns NULL. */
struct cached_job *
Cache_FindJob(struct intake *in, const char *id)
{
    struct cached_job probe;

    if (Str_Copy(probe.id, sizeof(probe.id), id) != ERR_OK) {
        return NULL;
    }
    return RB_FIND(cached_job_tree, &in->jobs, &probe);
}

/* Finds a cached job, or adds an empty one. */
static struct cached_job *
find_or_add_job(struct intake *in, const char *id)
{
    struct cached_job *j = Cache_FindJob(in, id);

    if (j == NULL) {
        j = Mem_Zero(1, sizeof(*j));
        Str_Copy(j->id, sizeof(j->id), id);
        RB_INSERT(cached_job_tree, &in->jobs, j);
    }
    return j;
}

/* Updates a cached job from its spec row; false when that is unreadable. */
static bool
read_spec(struct intake *in, const char *id, const struct buf *value)
{
    struct jobs_spec spec CLEANUP(JobsSpec_Clear) = {0};
    struct cached_job *j = find_or_add_job(in, id);

    if (JobsSpec_Decode(value->data, value->len, &spec) != ERR_OK ||
        strcmp(spec.id, id) != 0) {
        return false;
    }
    j->has_spec = true;
    j->periodic = spec.repetitions > 0;
    Str_Copy(j->queue, sizeof(j->queue), spec.queue);
    Str_Copy(j->organisation, sizeof(j->organisation), spec.organisation);
    return true;
}

/* Updates a cached job from its progress row; false when that is
 * unreadable. */
static bool
read_progress(struct intake *in, const char *id, const struct buf *value)
{
    struct cached_job *j = find_or_add_job(in, id);
    enum jobs_state state;
    bool started;

    if (Jobs_ReadProgress(value->data, value->len, &state, &started) !=
        ERR_OK) {
        return false;
    }
    j->state = state;
    j->started = started;
    return true;
}

/* Updates a cached job from its stop row; false when that is unreadable. */
static bool
read_cancellation(struct intake *in, const char *id, const struct buf *value)
{
    if (!Queue_IsJsonObject(value)) {
        return false;
    }
    find_or_add_job(in, id)->cancel_requested = true;
    return true;
}

static const struct {
    const char *prefix;
    bool (*read)(struct intake *, const char *id, const struct buf *value);
} row_kinds[] = {{"spec/", read_spec},
                 {"run/", read_progress},
                 {"stop/", read_cancellation}};

/* Updates the cached job that a row belongs to; false when the row is
 * unreadable. Rows that belong to no job are parsed by their users. */
static bool
read_row(struct intake *in, const char *key, const struct buf *value)
{
    for (size_t i = 0; i < COUNT_OF(row_kinds); i++) {
        size_t len = strlen(row_kinds[i].prefix);

        if (strncmp(key, row_kinds[i].prefix, len) == 0 &&
            strlen(key + len) < JOBS_ID_SIZE) {
            return row_kinds[i].read(in, key + len, value);
        }
    }
    return true;
}

/* Removes a row from the cache. Its job goes with its spec row, and with a
 * request to cancel it when there is no spec. */
static void
drop_row(struct intake *in, struct cached_row *r)
{
    bool is_spec = strncmp(r->key, "spec/", 5) == 0;
    bool is_stop = strncmp(r->key, STOP_PREFIX, strlen(STOP_PREFIX)) == 0;
    struct cached_job *j =
        is_spec || is_stop ? Cache_FindJob(in, r->key + 5) : NULL;

    if (j != NULL && (is_spec || !j->has_spec)) {
        RB_REMOVE(cached_job_tree, &in->jobs, j);
        free(j);
    }
    RB_REMOVE(row_tree, &in->cache, r);
    free(r->key);
    Buf_Free(&r->value);
    free(r);
}

/* Stores a row as the store reported it; true when it is new.
 *
 * Another writer may overwrite the row of an accepted job with an unreadable
 * value. If the cache took that value, the next owner would find no job, or
 * none of its progress, and the job would vanish or run again. The last
 * readable value is therefore kept while this entry lives, and the owner
 * writes it over the unreadable one (Jobs_MarkCorrupt). */
static bool
store_row(struct intake *in, struct table_row *row)
{
    struct cached_row probe = {.key = row->key};
    struct cached_row *r = RB_FIND(row_tree, &in->cache, &probe);

    if (row->version == 0) {
        if (r != NULL) {
            drop_row(in, r);
        }
        return r != NULL;
    }
    if (r == NULL) {
        r = Mem_Zero(1, sizeof(*r));
        r->key = Mem_Dup(row->key);
        RB_INSERT(row_tree, &in->cache, r);
    }
    r->listed = true;
    if (row->version <= r->version) {
        return false;
    }
    r->corrupt = !read_row(in, r->key, &row->value);
    if (r->corrupt) {
        Unreadable(UNREADABLE_ROW, r->key,
                   r->version != 0 ? "keeping the last readable value"
                                   : "no readable value is known");
    }
    if (!r->corrupt || r->version == 0) {
        Buf_Set(&r->value, row->value.data, row->value.len);
    }
    if (r->corrupt) {
        Buf_Clear(&row->value); /* receivers need not parse it again */
    }
    r->version = row->version;
    r->changed_ms = Clock_NowMs();
    return true;
}

/* True for the rows by which the owner's address is found. */
static bool
names_owner(const char *key)
{
    return strcmp(key, "owner") == 0 || strncmp(key, "entry/", 6) == 0;
}

/* Stores rows from any source and sends the new ones to the owner.
 *
 * A read for a caller may put a job into the cache before the feed reports it.
 * If only rows from the feed were sent to the owner, that row would no longer
 * be new by then, and the job would be accepted and shown but never scheduled.
 * All rows therefore enter the cache through this function. */
void
Cache_Update(struct intake *in, struct table_row *rows, size_t count,
             bool from_feed, uint64_t position)
{
    struct rows_changed *note = Mem_Zero(1, sizeof(*note));
    bool owner_changed = false;

    note->rows = Mem_Zero(count + 1, sizeof(*note->rows));
    note->from_feed = from_feed;
    note->position = position;
    for (size_t i = 0; i < count; i++) {
        if (store_row(in, &rows[i])) {
            owner_changed = owner_changed || names_owner(rows[i].key);
            note->rows[note->count++] = rows[i];
            memset(&rows[i], 0, sizeof(rows[i]));
        }
    }
    Queue_Post(in->task.kernel, TASK_OWNER, &note->base, &Queue_RowsKind);
    if (owner_changed) {
        Notify_OwnerChanged(in);
    }
}

/* Marks all rows as not listed, at the start of a list. */
void
Cache_BeginList(struct intake *in)
{
    struct cached_row *r;

    RB_FOREACH (r, row_tree, &in->cache) {
        r->listed = false;
    }
}

/* Drops rows that the list did not contain. Rows that a write of this process
 * added since the first page are newer than the list and stay. */
void
Cache_EndList(struct intake *in)
{
    struct cached_row *r, *next;

    for (r = RB_MIN(row_tree, &in->cache); r != NULL; r = next) {
        next = RB_NEXT(row_tree, &in->cache, r);
        if (!r->listed && r->version <= in->own_table.list_position) {
            drop_row(in, r);
        }
    }
}

/* Counts the jobs of a queue of which no task has started. */
int64_t
Cache_CountWaiting(struct intake *in, const char *queue)
{
    struct cached_job *j;
    int64_t n = 0;

    RB_FOREACH (j, cached_job_tree, &in->jobs) {
        if (j->has_spec && !j->cancel_requested && !j->started &&
            j->state <= JOB_RUNNING && strcmp(j->queue, queue) == 0) {
            n++;
        }
    }
    return n;
}

/* Calls fn for each row whose key starts with prefix. */
void
Cache_ForEach(struct intake *in, const char *prefix,
              void (*fn)(const struct cached_row *, void *arg), void *arg)
{
    struct cached_row probe = {.key = (char *)prefix};
    struct cached_row *r = RB_NFIND(row_tree, &in->cache, &probe);

    for (; r != NULL && strncmp(r->key, prefix, strlen(prefix)) == 0;
         r = RB_NEXT(row_tree, &in->cache, r)) {
        fn(r, arg);
    }
}

/* Counts one row. */
static void
count_row(const struct cached_row *r UNUSED, void *arg)
{
    ++*(size_t *)arg;
}

/* Counts the rows whose key starts with prefix. */
size_t
Cache_Count(struct intake *in, const char *prefix)
{
    size_t n = 0;

    Cache_ForEach(in, prefix, count_row, &n);
    return n;
}

/* Counts the jobs that were cancelled and are not there. */
size_t
Cache_CountCancelled(struct intake *in)
{
    struct cached_job *j;
    size_t n = 0;

    RB_FOREACH (j, cached_job_tree, &in->jobs) {
        n += j->cancel_requested && !j->has_spec;
    }
    return n;
}

/* Adds a copy of a row to a message. */
static void
copy_row(struct rows_changed *note, const struct cached_row *r)
{
    struct table_row *row = &note->rows[note->count++];

    row->key = Mem_Dup(r->key);
    row->version = r->version;
    Buf_Set(&row->value, r->value.data, r->value.len);
}

/* Sends a copy of every row to the owner, which builds its scheduler from
 * them. Waits for the list if it is not complete. */
void
Cache_SendAll(struct intake *in)
{
    struct rows_changed *note;
    struct cached_row *r;
    size_t n = 0;

    if (!in->own_table.listed) {
        in->all_rows_requested = true;
        return;
    }
    in->all_rows_requested = false;
    note = Mem_Zero(1, sizeof(*note));
    note->all = true;
    note->position = in->own_table.position;
    RB_FOREACH (r, row_tree, &in->cache) {
        n++;
    }
    note->rows = Mem_Zero(n + 1, sizeof(*note->rows));
    RB_FOREACH (r, row_tree, &in->cache) {
        copy_row(note, r);
    }
    Queue_Post(in->task.kernel, TASK_OWNER, &note->base, &Queue_RowsKind);
}

/* True for a job that the owner has to schedule. */
static bool
is_unfinished(const struct cached_job *j)
{
    return j->has_spec && !j->cancel_requested && j->state <= JOB_RUNNING;
}

/* Sends the ids of all jobs that have to be scheduled, for the owner to
 * compare with its scheduler. */
void
Cache_SendUnfinished(struct intake *in)
{
    struct job_ids *list = Mem_Zero(1, sizeof(*list));
    struct cached_job *j;
    size_t n = 0;

    RB_FOREACH (j, cached_job_tree, &in->jobs) {
        n += is_unfinished(j);
    }
    list->ids = Mem_Zero(n + 1, sizeof(*list->ids));
    RB_FOREACH (j, cached_job_tree, &in->jobs) {
        if (is_unfinished(j)) {
            Str_Copy(list->ids[list->count++], JOBS_ID_SIZE, j->id);
        }
    }
    Queue_Post(in->task.kernel, TASK_OWNER, &list->base,
               &Queue_UnfinishedKind);
}

/* Sends a copy of all rows of some jobs to the owner. */
void
Cache_SendJobs(struct intake *in, const struct job_ids *list)
{
    struct rows_changed *note = Mem_Zero(1, sizeof(*note));

    note->for_unscheduled = true;
    note->rows =
        Mem_Zero(list->count * COUNT_OF(row_kinds) + 1, sizeof(*note->rows));
    for (size_t i = 0; i < list->count; i++) {
        for (size_t k = 0; k < COUNT_OF(row_kinds); k++) {
            struct buf key CLEANUP(Buf_Free) = {0};
            const struct cached_row *r;

            Buf_Printf(&key, "%s%s", row_kinds[k].prefix, list->ids[i]);
            r = Cache_Find(in, key.data);
            if (r != NULL) {
                copy_row(note, r);
            }
        }
    }
    Queue_Post(in->task.kernel, TASK_OWNER, &note->base, &Queue_RowsKind);
}

/* Frees all rows and jobs. */
void
Cache_Clear(struct intake *in)
{
    struct cached_row *r, *next_row;
    struct cached_job *j, *next;

    RB_FOREACH_SAFE (r, row_tree, &in->cache, next_row) {
        drop_row(in, r);
    }
    RB_FOREACH_SAFE (j, cached_job_tree, &in->jobs, next) {
        RB_REMOVE(cached_job_tree, &in->jobs, j);
        free(j);
    }
}
