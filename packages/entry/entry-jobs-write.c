#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* A write in progress, with the fields by which the written row is recognised
 * when it is read back. */
struct job_write {
    struct sched_call call;
    struct id id;
    uint64_t owner_term;
    uint64_t attempt;
    uint64_t row_term;
    enum job_state state;
    uint64_t version; /* of the row that it replaces */
    job_written done;
};

static void read_back(struct job_write *w);

/* The job of a write, or NULL if the term in which the write began is over. */
static struct job *
current_job(const struct job_write *w)
{
    const struct owner *o = &w->call.sched->owner;

    if (!o->self || o->term != w->owner_term) {
        return NULL;
    }
    return JobSet_Find(w->call.sched, &w->id);
}

/* Ends a write and calls back, unless its term is over. */
static void
finish(struct job_write *w, int err)
{
    struct job *j = current_job(w);
    job_written done = w->done;

    SchedCall_Free(&w->call);
    if (j != NULL) {
        j->writing = false;
        done(j, err);
    }
}

/* True if the row that was read back is the written one. */
static bool
is_as_written(const struct job_write *w, const struct job_row *row)
{
    return row->attempt == w->attempt && row->term == w->row_term &&
           row->state == w->state;
}

/* Compares the row in the table with the written one. Other entries write a
 * job's row only to request its cancellation, or to cancel it before it has
 * started. */
static void
on_read_back(void *arg, int err, struct table_row *row)
{
    struct job_write *w = arg;
    struct job_row found CLEANUP(JobRow_Free) = {0};
    struct job *j = current_job(w);

    if (j == NULL || err != ERR_OK || row->version == 0 ||
        JobRow_Parse(row->value.data, row->value.len, &found) != ERR_OK) {
        finish(w, ERR_UNREACHABLE);
        return;
    }
    if (row->version == w->version) {
        finish(w, ERR_UNREACHABLE);
        return;
    }
    j->version = row->version;
    if (is_as_written(w, &found)) {
        finish(w, ERR_OK);
        return;
    }
    j->row.cancel =
        j->row.cancel || found.cancel || found.state == JOB_CANCELLED;
    if (found.state == JOB_CANCELLED) {
        j->row.state = JOB_CANCELLED;
    }
    finish(w, ERR_CONFLICT);
}

/* Reads the row back, as the result of the write is unknown or a conflict. */
static void
read_back(struct job_write *w)
{
    struct sched *s = w->call.sched;
    char key[JOB_KEY_SIZE];

    s->table->ops->get(s->table, "jobs",
                       JobRow_Key(s->settings->region, &w->id, key),
                       on_read_back, w);
}

/* Handles the result of a write. A conflict on the first operation means that
 * the term is over. */
static void
on_committed(void *arg, int err, size_t at, const uint64_t *versions)
{
    struct job_write *w = arg;
    struct job *j = current_job(w);

    if (j == NULL) {
        SchedCall_Free(&w->call);
        return;
    }
    if (err == ERR_CONFLICT && at == 0) {
        SchedCall_Free(&w->call);
        Owner_StepDown(j->sched, "higher_term");
        return;
    }
    if (err == ERR_OK && versions[1] != 0) {
        j->version = versions[1];
        finish(w, ERR_OK);
        return;
    }
    if (err == ERR_OK || err == ERR_CONFLICT || err == ERR_UNKNOWN) {
        read_back(w);
        return;
    }
    finish(w, ERR_UNREACHABLE);
}

/* Writes the job's row on condition of the term and of the row's version. */
void
Job_Write(struct job *j, job_written done)
{
    struct sched *s = j->sched;
    struct buf text CLEANUP(Buf_Free) = {0};
    char key[JOB_KEY_SIZE];
    struct table_op ops[2] = {Owner_Check(s)};
    struct job_write *w;

    if (j->attached) {
        done(j, ERR_OK);
        return;
    }
    if (j->writing) {
        Fatal("write of a job's row while another one is in progress");
    }
    JobRow_Render(&j->row, &text);
    ops[1] = (struct table_op){
        .verb = TABLE_PUT,
        .table = "jobs",
        .key = JobRow_Key(s->settings->region, &j->row.id, key),
        .if_version = j->version,
        .value = text.data,
        .len = text.len};
    w = SchedCall_New(s, sizeof(*w), NULL);
    w->id = j->row.id;
    w->owner_term = s->owner.term;
    w->attempt = j->row.attempt;
    w->row_term = j->row.term;
    w->state = j->row.state;
    w->version = j->version;
    w->done = done;
    j->writing = true;
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_committed, w);
}
