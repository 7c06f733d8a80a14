#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

#define LIST_PAGE_ROWS 200
#define TABLE_RETRY_MS 2000

/* Identifies the caller by its bearer token. */
bool
Principal_Authenticate(struct sched *s, struct http_exchange *ex,
                       struct principal *out)
{
    const char *token = Requests_Token(ex);

    memset(out, 0, sizeof(*out));
    if (s->active_config == NULL) {
        Front_Refuse(ex, 503, "not_run", "no_configuration",
                     "this entry has no configuration yet", TABLE_RETRY_MS,
                     NULL);
        return false;
    }
    if (token != NULL) {
        out->organisation =
            Config_OrganisationOfToken(&s->active_config->doc, token);
        out->is_operator =
            Config_OperatorOfToken(&s->active_config->doc, token) != NULL;
    }
    if (out->organisation == NULL && !out->is_operator) {
        Front_Refuse(ex, 401, "not_run", "no_token",
                     "Authorization: Bearer TOKEN of an organisation or an "
                     "operator",
                     -1, NULL);
        return false;
    }
    return true;
}

/* True if the caller may read jobs of that organisation: an operator, or the
 * organisation itself. */
bool
Principal_MayRead(const struct principal *principal, const char *organisation)
{
    return principal->is_operator ||
           (principal->organisation != NULL &&
            strcmp(principal->organisation->name, organisation) == 0);
}

/* The row as JSON with the job's id, for callers. */
json_t *
Job_View(const struct job_row *row)
{
    json_t *o = JobRow_ToJson(row);
    char hex[ID_HEX_SIZE];

    json_object_set_new(o, "job", json_string(Id_Hex(&row->id, hex)));
    return o;
}

/* Frees the members of a request. */
static void
clear_request(struct sched_call *call)
{
    struct job_request *r = (struct job_request *)call;

    ev_timer_stop(call->sched->task.kernel->loop, &r->pause);
    JobRow_Free(&r->row);
}

/* Allocates a request for the caller. The configuration may change before the
 * table answers, so the organisation's name is copied. */
static struct job_request *
begin(struct sched *s, struct http_exchange *ex,
      const struct principal *principal)
{
    struct job_request *r = SchedCall_New(s, sizeof(*r), clear_request);

    r->ex = ex;
    r->is_operator = principal->is_operator;
    Str_Copy(r->organisation, sizeof(r->organisation),
             principal->organisation ? principal->organisation->name : "");
    return r;
}

/* Frees a request whose response has been sent. */
void
JobRequest_End(struct job_request *r)
{
    SchedCall_Free(&r->call);
}

/* True if the caller of a request may read a row. */
static bool
may_see(const struct job_request *r, const struct job_row *row)
{
    return r->is_operator || strcmp(r->organisation, row->organisation) == 0;
}

/* Replies 404, also for a job of another organisation, so that its existence
 * is not disclosed. */
static void
not_found(struct http_exchange *ex)
{
    Front_Refuse(ex, 404, "not_found", "no_such_job", "", -1, NULL);
}

/* Replies 503, as the table can't be reached or the budget of calls to it is
 * used up. */
void
JobRequest_RefuseUnavailable(struct http_exchange *ex, int err)
{
    Front_Refuse(ex, 503, "unavailable",
                 err == ERR_BUSY ? "table_budget" : "table_unavailable",
                 "nothing was changed; ask again", TABLE_RETRY_MS, NULL);
}

/* Parses the row that was read. Returns false after it has refused the
 * request. */
bool
JobRequest_ParseRow(struct job_request *r, int err,
                    const struct table_row *row)
{
    JobRow_Free(&r->row);
    if (err != ERR_OK) {
        JobRequest_RefuseUnavailable(r->ex, err);
        return false;
    }
    if (row->version == 0 ||
        JobRow_Parse(row->value.data, row->value.len, &r->row) != ERR_OK ||
        !may_see(r, &r->row)) {
        not_found(r->ex);
        return false;
    }
    r->row.id = r->id;
    return true;
}

/* Replies with the row, or while the table is down with the owner's copy. */
static void
on_row(void *arg, int err, struct table_row *row)
{
    struct job_request *r = arg;
    const struct job *j = JobSet_Find(r->call.sched, &r->id);

    if (err != ERR_OK && j != NULL && may_see(r, &j->row)) {
        Front_ReplyJson(r->ex, 200, Job_View(&j->row));
    }
    else if (JobRequest_ParseRow(r, err, row)) {
        Front_ReplyJson(r->ex, 200, Job_View(&r->row));
    }
    JobRequest_End(r);
}

/* Reads the row of a request's job. */
void
JobRequest_GetRow(struct job_request *r, table_got done)
{
    struct sched *s = r->call.sched;
    char key[JOB_KEY_SIZE];

    s->table->ops->get(s->table, "jobs",
                       JobRow_Key(s->settings->region, &r->id, key), done, r);
}

/* Identifies the caller and the job. Returns NULL after it has refused the
 * request. */
struct job_request *
JobRequest_Begin(struct sched *s, struct http_exchange *ex,
                 const char *segment, const struct job **attached)
{
    struct principal principal;
    struct job_request *r;
    struct job *j;
    struct id id;

    *attached = NULL;
    if (!Principal_Authenticate(s, ex, &principal)) {
        return NULL;
    }
    if (Id_Parse(segment, &id) != ERR_OK) {
        not_found(ex);
        return NULL;
    }
    j = JobSet_Find(s, &id);
    if (j != NULL && j->attached &&
        Principal_MayRead(&principal, j->row.organisation)) {
        *attached = j;
    }
    else if (s->table == NULL) {
        not_found(ex);
        return NULL;
    }
    r = begin(s, ex, &principal);
    r->id = id;
    return r;
}

/* GET /v1/jobs/{id} */
static void
get_job(struct task *t, struct http_exchange *ex, const char *segment)
{
    const struct job *attached;
    struct job_request *r =
        JobRequest_Begin((struct sched *)t, ex, segment, &attached);

    if (r == NULL) {
        return;
    }
    if (attached != NULL) {
        Front_ReplyJson(ex, 200, Job_View(&attached->row));
        JobRequest_End(r);
        return;
    }
    JobRequest_GetRow(r, on_row);
}

/* Replies with the rows of a page that the caller may read. */
static void
on_list(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct job_request *r = arg;
    size_t skip = strlen(r->call.sched->settings->region) + 1;
    json_t *list = json_array();
    size_t i;

    if (err != ERR_OK) {
        json_decref(list);
        JobRequest_RefuseUnavailable(r->ex, err);
        JobRequest_End(r);
        return;
    }
    for (i = 0; i < count; i++) {
        struct job_row row CLEANUP(JobRow_Free) = {0};

        if (JobRow_Parse(rows[i].value.data, rows[i].value.len, &row) ==
                ERR_OK &&
            may_see(r, &row) &&
            Id_Parse(rows[i].key + skip, &row.id) == ERR_OK) {
            json_array_append_new(list, Job_View(&row));
        }
    }
    Front_ReplyJson(r->ex, 200,
                    json_pack("{s:o, s:s}", "jobs", list, "next",
                              more ? rows[count - 1].key + skip : ""));
    JobRequest_End(r);
}

/* GET /v1/jobs?after=ID: a page of rows; "next" is "" at the last one. */
static void
get_jobs(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    struct sched *s = (struct sched *)t;
    const char *after = Http_Query(ex, "after");
    struct buf prefix CLEANUP(Buf_Free) = {0};
    struct buf from CLEANUP(Buf_Free) = {0};
    struct principal principal;
    struct id id;

    if (!Principal_Authenticate(s, ex, &principal)) {
        return;
    }
    if (after != NULL && *after != '\0' && Id_Parse(after, &id) != ERR_OK) {
        Front_Refuse(ex, 400, "not_run", "bad_id", "after: 32 hex digits", -1,
                     NULL);
        return;
    }
    if (s->table == NULL) {
        JobRequest_RefuseUnavailable(ex, ERR_UNREACHABLE);
        return;
    }
    Buf_Printf(&prefix, "%s/", s->settings->region);
    Buf_Printf(&from, "%s/%s", s->settings->region, after ? after : "");
    s->table->ops->list(s->table, "jobs", prefix.data, from.data,
                        LIST_PAGE_ROWS, on_list, begin(s, ex, &principal));
}

static struct front_route get_route = {
    "GET", "/v1/jobs/*", "gangs", get_job, {0}};
FRONT_ROUTE(get_route)
static struct front_route list_route = {
    "GET", "/v1/jobs", "gangs", get_jobs, {0}};
FRONT_ROUTE(list_route)
