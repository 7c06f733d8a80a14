#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

#define LIST_PAGE 200
#define TABLE_RETRY_MS 2000

/* Who asks, by the bearer token. */
bool
Asker_Find(struct sched *s, struct http_exchange *ex, struct asker *out)
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

/* True for an operator, and for the organisation itself. */
bool
Asker_MaySee(const struct asker *a, const char *organisation)
{
    return a->is_operator ||
           (a->organisation != NULL &&
            strcmp(a->organisation->name, organisation) == 0);
}

/* The row with its id. */
json_t *
Job_View(const struct job_row *row)
{
    json_t *o = JobRow_ToJson(row);
    char hex[ID_HEX_SIZE];

    json_object_set_new(o, "job", json_string(Id_Hex(&row->id, hex)));
    return o;
}

/* Frees what a reader holds. */
static void
clear_reader(struct sched_call *call)
{
    struct reader *r = (struct reader *)call;

    ev_timer_stop(call->sched->task.kernel->loop, &r->pause);
    JobRow_Free(&r->row);
}

/* A reader for who asks. The configuration may change before the answer, so
 * the organisation's name is kept and not the document. */
static struct reader *
begin(struct sched *s, struct http_exchange *ex, const struct asker *a)
{
    struct reader *r = SchedCall_New(s, sizeof(*r), clear_reader);

    r->ex = ex;
    r->is_operator = a->is_operator;
    Str_Copy(r->organisation, sizeof(r->organisation),
             a->organisation ? a->organisation->name : "");
    return r;
}

/* Ends a reader whose exchange has its reply. */
void
Reader_End(struct reader *r)
{
    SchedCall_Free(&r->call);
}

/* True when the reader may see a row. */
static bool
may_see(const struct reader *r, const struct job_row *row)
{
    return r->is_operator || strcmp(r->organisation, row->organisation) == 0;
}

/* 404, also for what is another organisation's: that it exists is theirs. */
static void
not_found(struct http_exchange *ex)
{
    Front_Refuse(ex, 404, "not_found", "no_such_job", "", -1, NULL);
}

/* The table can't be read now. */
void
Reader_NotRead(struct http_exchange *ex, int err)
{
    Front_Refuse(ex, 503, "unavailable",
                 err == ERR_BUSY ? "table_budget" : "table_unavailable",
                 "nothing was changed; ask again", TABLE_RETRY_MS, NULL);
}

/* Reads the row that came. False when the exchange has its reply. */
bool
Reader_TakeRow(struct reader *r, int err, const struct table_row *row)
{
    JobRow_Free(&r->row);
    if (err != ERR_OK) {
        Reader_NotRead(r->ex, err);
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

/* Replies with the row; with the owner's own view while the table is down. */
static void
on_row(void *arg, int err, struct table_row *row)
{
    struct reader *r = arg;
    const struct job *j = JobSet_Find(r->call.sched, &r->id);

    if (err != ERR_OK && j != NULL && may_see(r, &j->row)) {
        Front_ReplyJson(r->ex, 200, Job_View(&j->row));
    }
    else if (Reader_TakeRow(r, err, row)) {
        Front_ReplyJson(r->ex, 200, Job_View(&r->row));
    }
    Reader_End(r);
}

/* Asks for the row of a reader. */
void
Reader_GetRow(struct reader *r, table_got done)
{
    struct sched *s = r->call.sched;
    char key[JOB_KEY_SIZE];

    s->table->ops->get(s->table, "jobs",
                       JobRow_Key(s->settings->region, &r->id, key), done, r);
}

/* Reads the id, and who asks. NULL when the exchange has its reply. */
struct reader *
Reader_BeginOne(struct sched *s, struct http_exchange *ex, const char *segment,
                const struct job **attached)
{
    struct asker asker;
    struct reader *r;
    struct job *j;
    struct id id;

    *attached = NULL;
    if (!Asker_Find(s, ex, &asker)) {
        return NULL;
    }
    if (Id_Parse(segment, &id) != ERR_OK) {
        not_found(ex);
        return NULL;
    }
    j = JobSet_Find(s, &id);
    if (j != NULL && j->attached &&
        Asker_MaySee(&asker, j->row.organisation)) {
        *attached = j;
    }
    else if (s->table == NULL) {
        not_found(ex);
        return NULL;
    }
    r = begin(s, ex, &asker);
    r->id = id;
    return r;
}

/* GET /v1/jobs/{id} */
static void
get_job(struct task *t, struct http_exchange *ex, const char *segment)
{
    const struct job *attached;
    struct reader *r =
        Reader_BeginOne((struct sched *)t, ex, segment, &attached);

    if (r == NULL) {
        return;
    }
    if (attached != NULL) {
        Front_ReplyJson(ex, 200, Job_View(&attached->row));
        Reader_End(r);
        return;
    }
    Reader_GetRow(r, on_row);
}

/* Replies with the rows of a page that the reader may see. */
static void
on_list(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct reader *r = arg;
    size_t skip = strlen(r->call.sched->settings->region) + 1;
    json_t *list = json_array();
    size_t i;

    if (err != ERR_OK) {
        json_decref(list);
        Reader_NotRead(r->ex, err);
        Reader_End(r);
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
    Reader_End(r);
}

/* GET /v1/jobs?after=ID: a page of rows; "next" is "" at the last one. */
static void
get_jobs(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    struct sched *s = (struct sched *)t;
    const char *after = Http_Query(ex, "after");
    struct buf prefix CLEANUP(Buf_Free) = {0};
    struct buf from CLEANUP(Buf_Free) = {0};
    struct asker asker;

    if (!Asker_Find(s, ex, &asker)) {
        return;
    }
    if (s->table == NULL) {
        Reader_NotRead(ex, ERR_UNREACHABLE);
        return;
    }
    Buf_Printf(&prefix, "%s/", s->settings->region);
    Buf_Printf(&from, "%s/%s", s->settings->region, after ? after : "");
    s->table->ops->list(s->table, "jobs", prefix.data, from.data, LIST_PAGE,
                        on_list, begin(s, ex, &asker));
}

static struct front_route get_route = {
    "GET", "/v1/jobs/*", "gangs", get_job, {0}};
FRONT_ROUTE(get_route)
static struct front_route list_route = {
    "GET", "/v1/jobs", "gangs", get_jobs, {0}};
FRONT_ROUTE(list_route)
