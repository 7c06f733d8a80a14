#include "entry-jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_RETRY_MS 2000 /* Retry-After when the table service is down */
#define FORWARD_MAX_MS                                                        \
    ((int64_t)30 * 24 * 3600 * 1000) /* run time included                     \
                                      */

static struct counter accepted_total = {"parsleyfall_jobs_accepted_total",
                                        "Jobs that were accepted.", NULL,
                                        COUNTER_TOTAL};
static struct counter refused_total = {"parsleyfall_jobs_refused_total",
                                       "Jobs that were refused.", NULL,
                                       COUNTER_TOTAL};

/* A submission of a queued job whose row is being written. */
struct submission {
    struct sched_call call;
    struct http_exchange *ex;
    struct job_row row;
};

/* Refuses a submission of which nothing was stored. */
static void
refuse(struct http_exchange *ex, int status, const char *reason,
       const char *detail, int64_t retry_after_ms)
{
    Counter_Add(&refused_total, 1);
    Front_Refuse(ex, status, "not_run", reason, detail, retry_after_ms, NULL);
}

/* Frees the members of a submission. */
static void
clear_submission(struct sched_call *call)
{
    JobRow_Free(&((struct submission *)call)->row);
}

/* Frees a submission whose response has been sent. */
static void
finish(struct submission *submission)
{
    SchedCall_Free(&submission->call);
}

/* Replies 202: the row is written, so the job survives the failure of any
 * process. */
static void
reply_accepted(struct submission *submission)
{
    char hex[ID_HEX_SIZE];

    Counter_Add(&accepted_total, 1);
    LOG_I("job_accepted", KV("job", Id_Hex(&submission->row.id, hex)),
          KV("organisation", submission->row.organisation),
          KV("class", submission->row.class_name),
          KV_INT("tasks", submission->row.tasks),
          KV_INT("accelerators", submission->row.accelerators));
    Http_ReplyHeader(submission->ex, "X-Outcome", "accepted");
    Front_ReplyJson(submission->ex, 202, Job_View(&submission->row));
    finish(submission);
}

/* Replies 504 with outcome "unknown": the row may have been written, or may
 * still be. */
static void
reply_unknown(struct submission *submission)
{
    Front_Refuse(submission->ex, 504, "unknown", "row_unknown",
                 "the job may have been accepted; ask for it by its id", -1,
                 &submission->row.id);
    finish(submission);
}

/* Handles the row that was read back. A missing row does not prove that the
 * write failed, as it may still take effect. */
static void
on_read_back(void *arg, int err, struct table_row *row)
{
    struct submission *submission = arg;

    if (err == ERR_OK && row->version != 0) {
        JobSet_RowWritten(submission->call.sched, &submission->row,
                          row->version);
        reply_accepted(submission);
        return;
    }
    reply_unknown(submission);
}

/* Reads the row back, as the result of the write is unknown. */
static void
read_back(struct submission *submission)
{
    struct sched *s = submission->call.sched;
    char key[JOB_KEY_SIZE];

    s->table->ops->get(
        s->table, "jobs",
        JobRow_Key(s->settings->region, &submission->row.id, key),
        on_read_back, submission);
}

/* Handles the result of the write of the row. */
static void
on_written(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct submission *submission = arg;
    struct sched *s = submission->call.sched;

    if (err == ERR_UNKNOWN) {
        read_back(submission);
        return;
    }
    if (err != ERR_OK) {
        refuse(submission->ex, 503, "table_unavailable",
               "the job was not accepted; submit it again", TABLE_RETRY_MS);
        finish(submission);
        return;
    }
    if (s->owner.self && s->owner.loaded && versions[0] != 0) {
        JobSet_MergeRow(s, &submission->row, versions[0]);
        Placement_Run(s);
    }
    reply_accepted(submission);
}

/* Writes the row of a queued job, with the operation by which the owner learns
 * of it. */
static void
submit_queued(struct sched *s, struct http_exchange *ex, struct job_row *row)
{
    struct submission *submission;
    struct buf text CLEANUP(Buf_Free) = {0};
    char key[JOB_KEY_SIZE];
    struct table_op ops[2];

    if (s->table == NULL || s->owner.table_down) {
        refuse(ex, 503, "table_unavailable",
               "queued jobs are not accepted while the table service is "
               "down",
               TABLE_RETRY_MS);
        return;
    }
    submission = SchedCall_New(s, sizeof(*submission), clear_submission);
    submission->ex = ex;
    JobRow_Copy(&submission->row, row);
    JobRow_Render(row, &text);
    JobRow_Key(s->settings->region, &row->id, key);
    ops[0] = (struct table_op){.verb = TABLE_PUT,
                               .table = "jobs",
                               .key = key,
                               .if_version = 0,
                               .value = text.data,
                               .len = text.len};
    ops[1] = JobSet_NotifyOwnerOp(s, key);
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_written,
                          submission);
}

/* An attached job that was forwarded to the owner, whose response is passed on
 * unchanged. */
struct forward {
    struct sched_call call;
    struct http_exchange *ex;
};

/* Passes on the owner's response. */
static void
on_forwarded(void *arg, struct http_result *result)
{
    struct forward *f = arg;

    if (result->err == ERR_OK) {
        Http_Reply(f->ex, result->status, result->content_type,
                   result->body.data, result->body.len);
    }
    else if (result->err == ERR_UNREACHABLE) {
        refuse(f->ex, 503, "owner_unreachable",
               "the owner of the region was not reached", TABLE_RETRY_MS);
    }
    else {
        Front_Refuse(f->ex, 504, "unknown", "owner_lost",
                     "the job may have run; its answer is lost", -1, NULL);
    }
    SchedCall_Free(&f->call);
}

/* Forwards an attached job to the owner of the region. It is sent only once,
 * as a repetition could run it twice. */
static void
forward(struct sched *s, struct http_exchange *ex)
{
    struct buf url CLEANUP(Buf_Free) = {0};
    const struct http_header headers[] = {
        {"Authorization", Http_Header(ex, "Authorization")},
        {"Content-Type", "application/json"},
        {"X-Forwarded-By", s->settings->name}};
    struct http_request request = {.method = "POST",
                                   .headers = headers,
                                   .header_count = COUNT_OF(headers),
                                   .body = Http_Body(ex)->data,
                                   .body_len = Http_Body(ex)->len,
                                   .timeout_ms = FORWARD_MAX_MS,
                                   .once = true};
    struct forward *f = SchedCall_New(s, sizeof(*f), NULL);

    Buf_Printf(&url, "http://%s/v1/jobs", s->owner.http);
    request.url = url.data;
    f->ex = ex;
    Http_Call(s->client, &request, on_forwarded, f);
}

/* Accepts or forwards an attached job. It has no row and lasts as long as the
 * caller's connection. */
static void
submit_attached(struct sched *s, struct http_exchange *ex, struct job_row *row)
{
    struct job *j;

    if (s->owner.self && s->owner.loaded) {
        j = JobSet_Add(s, row, 0);
        j->attached = true;
        j->ex = ex;
        Counter_Add(&accepted_total, 1);
        Placement_Enqueue(j);
        Placement_Run(s);
        return;
    }
    if (s->owner.http[0] == '\0' || s->owner.self ||
        Http_Header(ex, "X-Forwarded-By") != NULL) {
        refuse(ex, 503, "no_owner", "nobody schedules this region now",
               TABLE_RETRY_MS);
        return;
    }
    forward(s, ex);
}

/* Parses the body and checks the job's class. Returns false after it has
 * refused the submission. */
static bool
read_body(struct sched *s, struct http_exchange *ex, struct job_row *row,
          bool *attached)
{
    json_t *body =
        json_loadb(Http_Body(ex)->data ? Http_Body(ex)->data : "",
                   Http_Body(ex)->len, JSON_REJECT_DUPLICATES, NULL);
    const struct config_class *class;
    const char *why = "a JSON object";
    int err = ERR_INVALID;

    if (json_is_object(body)) {
        err = JobRow_ParseSubmission(body, row, attached, &why);
    }
    json_decref(body);
    if (err != ERR_OK) {
        refuse(ex, 400, "bad_job", why, -1);
        return false;
    }
    class = Config_FindClass(&s->active_config->doc, row->class_name);
    if (class == NULL || class->kind != CLASS_JOB) {
        refuse(ex, 400, "no_such_class", "class: the name of a class of jobs",
               -1);
        return false;
    }
    return true;
}

/* POST /v1/jobs */
static void
post_job(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    struct sched *s = (struct sched *)t;
    struct job_row row CLEANUP(JobRow_Free) = {0};
    struct principal principal;
    bool attached = false;

    if (!Principal_Authenticate(s, ex, &principal)) {
        return;
    }
    if (principal.organisation == NULL) {
        refuse(ex, 403, "not_an_organisation",
               "jobs are submitted by an organisation's token", -1);
        return;
    }
    if (t->kernel->draining) {
        refuse(ex, 503, "draining", "this entry leaves", 0);
        return;
    }
    if (!read_body(s, ex, &row, &attached)) {
        return;
    }
    row.id = Id_Random();
    row.state = JOB_QUEUED;
    row.submitted_at = Clock_WallMs();
    Str_Copy(row.organisation, sizeof(row.organisation),
             principal.organisation->name);
    if (attached) {
        submit_attached(s, ex, &row);
        return;
    }
    submit_queued(s, ex, &row);
}

static struct front_route post_route = {
    "POST", "/v1/jobs", "gangs", post_job, {0}};
FRONT_ROUTE(post_route)
