#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

#define CANCEL_TRIES_MAX 40
#define CANCEL_PAUSE_MS 250

static void read_row(struct job_request *r);

/* Replies to a cancellation: 200 if the job has ended, 202 while it stops. */
static void
reply_cancelled(struct job_request *r)
{
    Front_ReplyJson(r->ex, Job_IsOver(r->row.state) ? 200 : 202,
                    Job_View(&r->row));
    JobRequest_End(r);
}

/* Starts another try after the pause. */
static void
on_pause_end(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    read_row(w->data);
}

/* Handles the result of writing the cancellation. After a conflict the row is
 * read again, as a job that was queued may have started. ERR_BUSY means that
 * the budget of writes is used up, as by many cancellations at once; it is
 * retried after the pause. */
static void
on_cancel_written(void *arg, int err, size_t at UNUSED,
                  const uint64_t *versions)
{
    struct job_request *r = arg;
    struct sched *s = r->call.sched;

    if ((err == ERR_CONFLICT || err == ERR_UNKNOWN || err == ERR_BUSY ||
         (err == ERR_OK && versions[0] == 0)) &&
        ++r->tries < CANCEL_TRIES_MAX) {
        ev_timer_init(&r->pause, on_pause_end, CANCEL_PAUSE_MS / 1e3, 0.);
        r->pause.data = r;
        ev_timer_start(s->task.kernel->loop, &r->pause);
        return;
    }
    if (err != ERR_OK) {
        JobRequest_RefuseUnavailable(r->ex, err);
        JobRequest_End(r);
        return;
    }
    JobSet_RowWritten(s, &r->row, versions[0]);
    reply_cancelled(r);
}

/* Sets the cancellation in the row. A queued job is cancelled at once, as the
 * changed version of its row makes any commit of an attempt fail. Otherwise
 * the owner carries the cancellation out. */
static void
mark_cancelled(struct job_row *row)
{
    if (row->state == JOB_QUEUED) {
        row->state = JOB_CANCELLED;
        row->ended_at = Clock_WallMs();
        Str_Copy(row->reason, sizeof(row->reason), "cancelled");
        return;
    }
    row->state = JOB_STOPPING;
    row->cancel = true;
}

/* Writes the cancellation to the row that was read. */
static void
on_row_read(void *arg, int err, struct table_row *row)
{
    struct job_request *r = arg;
    struct sched *s = r->call.sched;
    struct buf text CLEANUP(Buf_Free) = {0};
    char key[JOB_KEY_SIZE];
    struct table_op ops[2];

    if (!JobRequest_ParseRow(r, err, row)) {
        JobRequest_End(r);
        return;
    }
    if (Job_IsOver(r->row.state) || r->row.cancel) {
        reply_cancelled(r);
        return;
    }
    mark_cancelled(&r->row);
    JobRow_Render(&r->row, &text);
    JobRow_Key(s->settings->region, &r->id, key);
    ops[0] = (struct table_op){.verb = TABLE_PUT,
                               .table = "jobs",
                               .key = key,
                               .if_version = row->version,
                               .value = text.data,
                               .len = text.len};
    ops[1] = JobSet_NotifyOwnerOp(s, key);
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_cancel_written, r);
}

/* Reads the row that is to be cancelled. */
static void
read_row(struct job_request *r)
{
    JobRequest_GetRow(r, on_row_read);
}

/* DELETE /v1/jobs/{id} */
static void
delete_job(struct task *t, struct http_exchange *ex, const char *segment)
{
    const struct job *attached;
    struct job_request *r =
        JobRequest_Begin((struct sched *)t, ex, segment, &attached);

    if (r == NULL) {
        return;
    }
    if (attached != NULL) {
        struct job *j = JobSet_Find(r->call.sched, &r->id);

        Front_ReplyJson(ex, 202, Job_View(&j->row));
        Gang_Cancel(j);
        JobRequest_End(r);
        return;
    }
    read_row(r);
}

static struct front_route delete_route = {
    "DELETE", "/v1/jobs/*", "gangs", delete_job, {0}};
FRONT_ROUTE(delete_route)
