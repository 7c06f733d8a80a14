#include "entry-jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_RETRY_MS 2000 /* when the table service is down */
#define FORWARD_MAX_MS ((int64_t)30 * 24 * 3600 * 1000)

static struct counter accepted_total = {"parsleyfall_jobs_accepted_total",
                                        "Jobs that were accepted.", NULL,
                                        COUNTER_TOTAL};
static struct counter refused_total = {"parsleyfall_jobs_refused_total",
                                       "Jobs that were refused.", NULL,
                                       COUNTER_TOTAL};

/* A submission whose row is under way. */
struct submission {
    struct sched_call call;
    struct http_exchange *ex;
    struct job_row row;
};

/* Refuses a submission: nothing of it has been kept. */
static void
refuse(struct http_exchange *ex, int status, const char *reason,
       const char *detail, int64_t retry_after_ms)
{
    Counter_Add(&refused_total, 1);
    Front_Refuse(ex, status, "not_run", reason, detail, retry_after_ms, NULL);
}

/* Frees what a submission holds. */
static void
clear_submission(struct sched_call *call)
{
    JobRow_Free(&((struct submission *)call)->row);
}

/* Ends a submission that has its reply. */
static void
finish(struct submission *u)
{
    SchedCall_Free(&u->call);
}

/* 202: the row is written, so the job is not lost whoever fails. */
static void
accept(struct submission *u)
{
    char hex[ID_HEX_SIZE];

    Counter_Add(&accepted_total, 1);
    LOG_I("job_accepted", KV("job", Id_Hex(&u->row.id, hex)),
          KV("organisation", u->row.organisation),
          KV("class", u->row.class_name), KV_INT("tasks", u->row.tasks),
          KV_INT("accelerators", u->row.accelerators));
    Http_ReplyHeader(u->ex, "X-Outcome", "accepted");
    Front_ReplyJson(u->ex, 202, Job_View(&u->row));
    finish(u);
}

/* Nobody knows whether the row will be there. */
static void
unknown(struct submission *u)
{
    Front_Refuse(u->ex, 504, "unknown", "row_unknown",
                 "the job may have been accepted; ask for it by its id", -1,
                 &u->row.id);
    finish(u);
}

/* The row that was read back. Its absence proves nothing: the write may still
 * take effect. */
static void
on_read_back(void *arg, int err, struct table_row *row)
{
    struct submission *u = arg;

    if (err == ERR_OK && row->version != 0) {
        JobSet_Wrote(u->call.sched, &u->row, row->version);
        accept(u);
        return;
    }
    unknown(u);
}

/* Reads the row, as only it can tell. */
static void
read_back(struct submission *u)
{
    struct sched *s = u->call.sched;
    char key[JOB_KEY_SIZE];

    s->table->ops->get(s->table, "jobs",
                       JobRow_Key(s->settings->region, &u->row.id, key),
                       on_read_back, u);
}

/* How the write of the row went. */
static void
on_written(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct submission *u = arg;
    struct sched *s = u->call.sched;

    if (err == ERR_UNKNOWN) {
        read_back(u);
        return;
    }
    if (err != ERR_OK) {
        refuse(u->ex, 503, "table_unavailable",
               "the job was not accepted; submit it again", TABLE_RETRY_MS);
        finish(u);
        return;
    }
    if (s->owner.self && s->owner.loaded && versions[0] != 0) {
        JobSet_Absorb(s, &u->row, versions[0]);
        Account_Place(s);
    }
    accept(u);
}

/* Writes the row, in a way that the owner learns of it. */
static void
submit(struct sched *s, struct http_exchange *ex, struct job_row *row)
{
    struct submission *u;
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
    u = SchedCall_New(s, sizeof(*u), clear_submission);
    u->ex = ex;
    JobRow_Copy(&u->row, row);
    JobRow_Render(row, &text);
    JobRow_Key(s->settings->region, &row->id, key);
    ops[0] = (struct table_op){.verb = TABLE_PUT,
                               .table = "jobs",
                               .key = key,
                               .if_version = 0,
                               .value = text.data,
                               .len = text.len};
    ops[1] = JobSet_Announce(s, key);
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_written, u);
}

/* An attached job that the owner works on; the answer goes back as it came. */
struct forward {
    struct sched_call call;
    struct http_exchange *ex;
};

/* Passes on what the owner said. */
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

/* Hands an attached job to the owner of the region. It is sent once only. */
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

/* Takes an attached job: no row, the caller's connection is what lasts. */
static void
attach(struct sched *s, struct http_exchange *ex, struct job_row *row)
{
    struct job *j;

    if (s->owner.self && s->owner.loaded) {
        j = JobSet_Add(s, row, 0);
        j->attached = true;
        j->ex = ex;
        Counter_Add(&accepted_total, 1);
        Account_Enqueue(j);
        Account_Place(s);
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

/* Reads the body; refuses what is wrong with it. */
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
    struct asker asker;
    bool attached = false;

    if (!Asker_Find(s, ex, &asker)) {
        return;
    }
    if (asker.organisation == NULL) {
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
             asker.organisation->name);
    if (attached) {
        attach(s, ex, &row);
        return;
    }
    submit(s, ex, &row);
}

static struct front_route post_route = {
    "POST", "/v1/jobs", "gangs", post_job, {0}};
FRONT_ROUTE(post_route)
