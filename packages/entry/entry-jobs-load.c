#include "entry-jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_PAGE_ROWS 200
#define MARKERS_PAGE_ROWS 50

/* A read under way, for the term in which it began. */
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

/* A read of this term. */
static struct row_read *
begin(struct sched *s)
{
    struct row_read *r = SchedCall_New(s, sizeof(*r), NULL);

    r->term = s->owner.term;
    return r;
}

/* The prefix of this region's keys. */
static const char *
prefix_of(const struct sched *s, char out[NAME_SIZE + 1])
{
    snprintf(out, NAME_SIZE + 1, "%s/", s->settings->region);
    return out;
}

/* Reads a row's id from its key, and the row from its value. */
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

/* Enters a job that the table holds, by its state. */
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

/* Takes in a row: a new job, or a wish about one that is known. */
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
        return; /* its own conflict tells it */
    }
    j->version = version;
    if (row->cancel || row->state == JOB_CANCELLED) {
        j->row.cancel = true;
        Gang_Cancel(j);
    }
}

/* The owner takes in what it wrote itself, and needs no marker. The check
 * makes that sure: were its term over, its successor might have read all rows
 * before this one is written, and would never learn of it. */
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

/* The owner goes on at once with what it wrote for a caller. */
void
JobSet_RowWritten(struct sched *s, const struct job_row *row, uint64_t version)
{
    if (s->owner.self && s->owner.loaded) {
        JobSet_MergeRow(s, row, version);
        Placement_Run(s);
    }
}

static void load_page(struct sched *s, const char *after);

/* Takes in a page of rows, and asks for the next one. */
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
        s->polling = false; /* the poll begins the load again */
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

/* Asks for a page of rows. */
static void
load_page(struct sched *s, const char *after)
{
    char prefix[NAME_SIZE + 1];

    s->table->ops->list(s->table, "jobs", prefix_of(s, prefix), after,
                        LOAD_PAGE_ROWS, on_loaded, begin(s));
}

/* Builds the accounts on the bindings that were stored, then reads the rows.
 */
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
        s->polling = false; /* the poll begins the load again */
        return;
    }
    Buf_Set(&s->bindings, row->value.data ? row->value.data : "",
            row->value.len);
    Placement_Rebuild(s);
    load_page(s, "");
}

/* Reads the bindings and all rows of the region, so that everything accepted
 * goes on. Nothing is placed before the last one is read. */
void
JobSet_Load(struct sched *s)
{
    s->polling = true;
    s->table->ops->get(s->table, "bindings", s->settings->region, on_bindings,
                       begin(s));
}

/* The marker is gone, or is a newer one that the next poll finds. */
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

/* Takes in a row that somebody wrote, and drops its marker. */
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

/* Reads the row of each marker. */
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

/* Reads the markers of what others wrote: nothing, most of the time. */
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
