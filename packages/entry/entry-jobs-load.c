#include "entry-jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_PAGE_ROWS 200
#define MARKERS_PAGE_ROWS 50

/* A read in progress, which is valid in the term in which it began. */
struct row_read {
    struct sched_call call;
    uint64_t term;
    struct id id;
    char marker_key[JOB_KEY_SIZE];
    uint64_t marker_version;
};

/* True while this entry is the owner of the term in which the read began. */
static bool
is_current(const struct row_read *r)
{
    return r->call.sched->owner.self && r->call.sched->owner.term == r->term;
}

/* Allocates the context of a read in the current term. */
static struct row_read *
begin(struct sched *s)
{
    struct row_read *r = SchedCall_New(s, sizeof(*r), NULL);

    r->term = s->owner.term;
    return r;
}

/* The prefix of the keys of this region's rows. */
static const char *
prefix_of(const struct sched *s, char out[NAME_SIZE + 1])
{
    snprintf(out, NAME_SIZE + 1, "%s/", s->settings->region);
    return out;
}

/* Parses the row's value, and its id from the key. */
static int
parse(const struct sched *s, const struct table_row *row, struct job_row *out)
{
    size_t skip = strlen(s->settings->region) + 1;

    if (JobRow_Parse(row->value.data, row->value.len, out) != ERR_OK ||
        strlen(row->key) < skip ||
        Id_Parse(row->key + skip, &out->id) != ERR_OK) {
        LOG_E("job_row_unreadable", KV("key", row->key));
        return ERR_INVALID;
    }
    return ERR_OK;
}

/* Adds a job from its row: adopts its gang if it has an attempt, otherwise
 * puts it in the queue. */
static void
add_job(struct sched *s, const struct job_row *row, uint64_t version)
{
    struct job *j = JobSet_Add(s, row, version);

    if (row->members > 0) {
        Gang_Adopt(j);
        return;
    }
    Placement_Enqueue(j);
}

/* Merges a row: adds a job that is not known, or cancels a known one if the
 * row says so. */
void
JobSet_MergeRow(struct sched *s, const struct job_row *row, uint64_t version)
{
    struct job *j = JobSet_Find(s, &row->id);

    if (j == NULL && !Job_IsOver(row->state)) {
        add_job(s, row, version);
        return;
    }
    if (j == NULL) {
        Ended_Add(s, &row->id);
        return;
    }
    if (version <= j->version) {
        return;
    }
    if (j->writing) {
        return; /* after a conflict the write in progress reads the row */
    }
    j->version = version;
    if (row->cancel || row->state == JOB_CANCELLED) {
        j->row.cancel = true;
        Gang_Cancel(j);
    }
}

/* The operation by which the owner learns of a row that this entry writes. The
 * owner itself merges the row after its write and needs no marker. Its term is
 * checked instead: if the term were over, the next owner might have read all
 * rows before this write, and without a marker would never learn of the row.
 */
struct table_op
JobSet_NotifyOwnerOp(const struct sched *s, const char *key)
{
    struct table_op marker = {.verb = TABLE_PUT,
                              .table = "job-news",
                              .key = key,
                              .if_version = TABLE_ANY,
                              .value = "{}",
                              .len = 2};

    return s->owner.self && s->owner.loaded ? Owner_Check(s) : marker;
}

/* Merges a row that was written for a caller and starts what can start, if
 * this entry is the owner. */
void
JobSet_RowWritten(struct sched *s, const struct job_row *row, uint64_t version)
{
    if (s->owner.self && s->owner.loaded) {
        JobSet_MergeRow(s, row, version);
        Placement_Run(s);
    }
}

static void load_page(struct sched *s, const char *after);

/* Merges a page of rows, and requests the next one. */
static void
on_loaded(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct row_read *r = arg;
    struct sched *s = r->call.sched;
    bool current = is_current(r);
    size_t i;

    SchedCall_Free(&r->call);
    if (!current) {
        return;
    }
    if (err != ERR_OK) {
        s->polling = false; /* the next poll restarts the load */
        return;
    }
    for (i = 0; i < count; i++) {
        struct job_row row CLEANUP(JobRow_Free) = {0};

        if (parse(s, &rows[i], &row) == ERR_OK) {
            JobSet_MergeRow(s, &row, rows[i].version);
        }
    }
    if (more && count > 0) {
        load_page(s, rows[count - 1].key);
        return;
    }
    s->polling = false;
    s->owner.loaded = true;
    Placement_SetAllWorkers(s);
    LOG_I("jobs_loaded", KV_INT("term", s->owner.term));
    Placement_Run(s);
}

/* Requests a page of rows. */
static void
load_page(struct sched *s, const char *after)
{
    char prefix[NAME_SIZE + 1];

    s->table->ops->list(s->table, "jobs", prefix_of(s, prefix), after,
                        LOAD_PAGE_ROWS, on_loaded, begin(s));
}

/* Builds struct cells with the stored bindings, then requests the rows. */
static void
on_bindings(void *arg, int err, struct table_row *row)
{
    struct row_read *r = arg;
    struct sched *s = r->call.sched;
    bool current = is_current(r);

    SchedCall_Free(&r->call);
    if (!current) {
        return;
    }
    if (err != ERR_OK) {
        s->polling = false; /* the next poll restarts the load */
        return;
    }
    Buf_Set(&s->bindings, row->value.data ? row->value.data : "",
            row->value.len);
    Placement_Rebuild(s);
    load_page(s, "");
}

/* Reads the bindings and all rows of the region, so that no accepted job is
 * lost. No job is placed before the last row is read. */
void
JobSet_Load(struct sched *s)
{
    s->polling = true;
    s->table->ops->get(s->table, "bindings", s->settings->region, on_bindings,
                       begin(s));
}

/* Handles the result of deleting a marker. A conflict means that the marker
 * was written again; the next poll finds it. */
static void
on_marker_deleted(void *arg, int err, size_t at UNUSED,
                  const uint64_t *versions UNUSED)
{
    struct sched *s = arg;

    if (err != ERR_OK && err != ERR_CONFLICT) {
        LOG_D("job_news_kept", KV("region", s->settings->region),
              KV("error", Err_Name(err)));
    }
}

/* Merges a row that another entry wrote, and deletes its marker. */
static void
on_marked_row(void *arg, int err, struct table_row *row)
{
    struct row_read *r = arg;
    struct sched *s = r->call.sched;
    struct job_row found CLEANUP(JobRow_Free) = {0};
    struct table_op op = {.verb = TABLE_DELETE,
                          .table = "job-news",
                          .key = r->marker_key,
                          .if_version = r->marker_version};

    if (is_current(r) && err == ERR_OK) {
        if (row->version != 0 &&
            JobRow_Parse(row->value.data, row->value.len, &found) == ERR_OK) {
            found.id = r->id;
            JobSet_MergeRow(s, &found, row->version);
            s->placement_due = true;
        }
        s->table->ops->commit(s->table, &op, 1, on_marker_deleted, s);
    }
    SchedCall_Free(&r->call);
}

/* Requests the row of each marker. */
static void
on_markers(void *arg, int err, struct table_row *rows, size_t count,
           bool more UNUSED)
{
    struct row_read *r = arg;
    struct sched *s = r->call.sched;
    size_t skip = strlen(s->settings->region) + 1;
    bool current = is_current(r);
    size_t i;

    SchedCall_Free(&r->call);
    if (!current) {
        return;
    }
    s->polling = false;
    for (i = 0; err == ERR_OK && i < count; i++) {
        struct row_read *one = begin(s);

        if (strlen(rows[i].key) < skip ||
            Id_Parse(rows[i].key + skip, &one->id) != ERR_OK) {
            SchedCall_Free(&one->call);
            continue;
        }
        Str_Copy(one->marker_key, sizeof(one->marker_key), rows[i].key);
        one->marker_version = rows[i].version;
        s->table->ops->get(s->table, "jobs", rows[i].key, on_marked_row, one);
    }
}

/* Reads the markers of rows that other entries wrote; mostly there are none.
 * Restarts the load if it failed. */
void
JobSet_Poll(struct sched *s)
{
    char prefix[NAME_SIZE + 1];

    if (!s->owner.self || s->polling) {
        return;
    }
    if (!s->owner.loaded) {
        JobSet_Load(s);
        return;
    }
    s->polling = true;
    s->table->ops->list(s->table, "job-news", prefix_of(s, prefix), "",
                        MARKERS_PAGE_ROWS, on_markers, begin(s));
}
