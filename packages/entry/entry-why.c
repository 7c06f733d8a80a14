#include "entry-why.h"

#include <stdlib.h>
#include <string.h>

/* others -> why: the organisation that a subject belongs to. */
struct open_note {
    struct message base;
    struct id id;
    char organisation[NAME_SIZE];
};

/* others -> why: a decision, with the time when it was made. */
struct record_note {
    struct message base;
    struct id id;
    int64_t at_ms;
    char *decision;
    char *reason;
    json_t *inputs;
};

static void free_record(struct message *m);

static const struct message_kind open_kind = {"why_open", NULL};
static const struct message_kind record_kind = {"why_record", free_record};

struct why;

struct query;

/* One peer that a query is sent to. */
struct query_target {
    struct query *query;
    char name[NAME_SIZE];
};

/* GET /v1/why/{id} of a subject that is not on record here, so that the peers
 * are queried. */
struct query {
    struct why *why;
    struct http_exchange *ex; /* NULL: it has its reply */
    struct id id;
    json_t *answers; /* {"entry", "answer"} of each finished peer */
    int pending;
    TAILQ_ENTRY(query) entry;
    struct query_target targets[]; /* one for each entry of the list */
};

struct why {
    struct task task;
    const struct entry_settings *settings;
    struct config_snapshot *active_config;
    struct why_log log;
    struct http_client *client;
    struct peer_entry *peers;
    size_t peer_count;
    TAILQ_HEAD(, query) queries;
};

static struct counter dropped_total = {
    "parsleyfall_why_dropped_total",
    "Requests and jobs whose record gave way to newer ones.", NULL,
    COUNTER_TOTAL};

/* Frees a record note with what it carries. */
static void
free_record(struct message *m)
{
    struct record_note *n = (struct record_note *)m;

    free(n->decision);
    free(n->reason);
    json_decref(n->inputs);
    free(n);
}

/* Sends the organisation of a subject to the task. */
void
Why_Open(struct kernel *k, const struct id *id, const char *organisation)
{
    struct task *t = Kernel_FindTask(k, "why");
    struct open_note *n;

    if (t == NULL) {
        return;
    }
    n = Mem_Zero(1, sizeof(*n));
    n->id = *id;
    Str_Copy(n->organisation, sizeof(n->organisation), organisation);
    Kernel_Post(t, &n->base, &open_kind);
}

/* Sends a decision to the task. */
void
Why_Record(struct kernel *k, const struct id *subject, const char *decision,
           const char *reason, json_t *inputs)
{
    struct task *t = Kernel_FindTask(k, "why");
    struct record_note *n;

    if (t == NULL) {
        json_decref(inputs);
        return;
    }
    n = Mem_Zero(1, sizeof(*n));
    n->id = *subject;
    n->at_ms = Clock_WallMs();
    n->decision = Mem_Dup(decision);
    n->reason = Mem_Dup(reason);
    n->inputs = inputs;
    Kernel_Post(t, &n->base, &record_kind);
}

/* True if a token's holder may read a subject of that organisation. */
static bool
may_read(const struct why *w, const char *token, const char *organisation)
{
    const struct config *doc = &w->active_config->doc;
    const struct config_organisation *org;

    if (Config_OperatorOfToken(doc, token) != NULL) {
        return true;
    }
    org = Config_OrganisationOfToken(doc, token);
    return org != NULL && strcmp(org->name, organisation) == 0;
}

/* Replies 404 with the answers of the peers that were queried. */
static void
reply_unknown(const struct why *w, struct http_exchange *ex,
              const struct id *id, json_t *answers)
{
    char hex[ID_HEX_SIZE];

    Front_ReplyJson(
        ex, 404,
        json_pack("{s:s, s:s, s:s, s:o, s:I}", "id", Id_Hex(id, hex), "reason",
                  "not_known", "detail",
                  "no entry that answered has a record of it, or it is "
                  "another organisation's",
                  "asked", answers, "dropped_here",
                  (json_int_t)w->log.subjects_dropped));
}

/* Frees a query after all peers have responded or timed out; replies 404 if
 * none of them knew the subject. */
static void
finish_query(struct query *q)
{
    if (q->ex != NULL) {
        reply_unknown(q->why, q->ex, &q->id, json_incref(q->answers));
    }
    TAILQ_REMOVE(&q->why->queries, q, entry);
    json_decref(q->answers);
    free(q);
}

/* Handles the response of a peer, or its failure. The first peer that knows
 * the subject decides the reply. */
static void
on_answer(void *arg, struct http_result *r)
{
    struct query_target *target = arg;
    struct query *q = target->query;

    if (r->err == ERR_OK && r->status == 200 && q->ex != NULL) {
        Http_Reply(q->ex, 200, "application/json", r->body.data, r->body.len);
        q->ex = NULL;
    }
    json_array_append_new(
        q->answers,
        json_pack("{s:s, s:s}", "entry", target->name, "answer",
                  r->err == ERR_OK ? "not_known" : Err_Name(r->err)));
    if (--q->pending == 0) {
        finish_query(q);
    }
}

/* Queries one peer, with the caller's own token. */
static void
query_peer(struct query *q, const struct peer_entry *p, const char *token)
{
    struct query_target *target = &q->targets[q->pending++];
    struct buf url CLEANUP(Buf_Free) = {0};
    struct buf bearer CLEANUP(Buf_Free) = {0};
    struct http_header header = {"Authorization", NULL};
    struct http_request request = {.method = "GET",
                                   .headers = &header,
                                   .header_count = 1,
                                   .connect_ms = WHY_QUERY_TIMEOUT_MS / 2,
                                   .timeout_ms = WHY_QUERY_TIMEOUT_MS};
    char hex[ID_HEX_SIZE];

    target->query = q;
    Str_Copy(target->name, sizeof(target->name), p->name);
    Buf_Printf(&url, "http://%s/v1/why/%s?local=1", p->http,
               Id_Hex(&q->id, hex));
    Buf_Printf(&bearer, "Bearer %s", token);
    header.value = bearer.data;
    request.url = url.data;
    Http_Call(q->why->client, &request, on_answer, target);
}

/* Queries all other entries. */
static void
query_peers(struct why *w, struct http_exchange *ex, const struct id *id,
            const char *token)
{
    struct query *q =
        Mem_Zero(1, sizeof(*q) + w->peer_count * sizeof(q->targets[0]));
    size_t i;

    q->why = w;
    q->ex = ex;
    q->id = *id;
    q->answers = json_array();
    TAILQ_INSERT_TAIL(&w->queries, q, entry);
    for (i = 0; i < w->peer_count; i++) {
        if (strcmp(w->peers[i].name, w->settings->name) != 0) {
            query_peer(q, &w->peers[i], token);
        }
    }
    if (q->pending == 0) {
        finish_query(q);
    }
}

/* GET /v1/why/{id}. With ?local=1 no other entry is queried. */
static void
get_why(struct task *t, struct http_exchange *ex, const char *segment)
{
    struct why *w = (struct why *)t;
    const char *token = Requests_Token(ex);
    const struct why_subject *s;
    struct id id;

    if (w->active_config == NULL) {
        Front_Refuse(ex, 503, "not_run", "no_configuration", "", 1000, NULL);
        return;
    }
    if (token == NULL ||
        (Config_OperatorOfToken(&w->active_config->doc, token) == NULL &&
         Config_OrganisationOfToken(&w->active_config->doc, token) == NULL)) {
        Front_Refuse(ex, 401, "not_run", "no_token",
                     "Authorization: Bearer TOKEN of an organisation or an "
                     "operator",
                     -1, NULL);
        return;
    }
    if (Id_Parse(segment, &id) != ERR_OK) {
        Front_Refuse(ex, 400, "not_run", "bad_id", "32 hex digits", -1, NULL);
        return;
    }
    s = WhyLog_Find(&w->log, &id);
    if (s != NULL && may_read(w, token, s->organisation)) {
        Front_ReplyJson(ex, 200, WhyLog_Json(s));
        return;
    }
    if (s != NULL || Http_Query(ex, "local") != NULL) {
        reply_unknown(w, ex, &id, json_array());
        return;
    }
    query_peers(w, ex, &id, token);
}

static struct front_route why_route = {
    "GET", "/v1/why/*", "why", get_why, {0}};
FRONT_ROUTE(why_route)

/* Adds a subject with its organisation. */
static void
handle_open(struct why *w, struct message *m)
{
    const struct open_note *n = (const struct open_note *)m;

    WhyLog_Open(&w->log, &n->id, n->organisation);
}

/* Adds a decision, and counts the subjects that were dropped for it. */
static void
handle_record(struct why *w, struct message *m)
{
    const struct record_note *n = (const struct record_note *)m;
    int64_t before = w->log.subjects_dropped;

    WhyLog_Add(&w->log, &n->id, n->at_ms, n->decision, n->reason, n->inputs);
    Counter_Add(&dropped_total, w->log.subjects_dropped - before);
}

/* Stores the configuration, for its tokens. */
static void
handle_config(struct why *w, struct message *m)
{
    ConfigSnapshot_Unref(w->active_config);
    w->active_config =
        ConfigSnapshot_Ref(((struct config_note *)m)->active_config);
}

/* Stores the list of entries. */
static void
handle_peers(struct why *w, struct message *m)
{
    const struct peers_note *n = (const struct peers_note *)m;

    free(w->peers);
    w->peers = Mem_Zero(n->count + 1, sizeof(*w->peers));
    if (n->count > 0) {
        memcpy(w->peers, n->entries, n->count * sizeof(*w->peers));
    }
    w->peer_count = n->count;
}

static const struct {
    const struct message_kind *kind;
    void (*handle)(struct why *, struct message *);
} handlers[] = {{&open_kind, handle_open},
                {&record_kind, handle_record},
                {&Entry_Config, handle_config},
                {&Entry_Peers, handle_peers}};

/* Passes a message to the handler of its kind. */
static void
why_receive(struct task *t, struct message *m)
{
    size_t i;

    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].kind == m->kind) {
            handlers[i].handle((struct why *)t, m);
            return;
        }
    }
    if (!Front_Handle(t, m)) {
        Fatal("why: unexpected kind of message: %s", m->kind->name);
    }
}

/* Returns the size of the log and the dropped subjects, for /v1/state. */
static json_t *
why_state(const struct task *t)
{
    const struct why *w = (const struct why *)t;

    return json_pack("{s:I, s:I, s:I}", "bytes", (json_int_t)w->log.bytes,
                     "dropped", (json_int_t)w->log.subjects_dropped, "entries",
                     (json_int_t)w->peer_count);
}

/* Frees the task with its log and its open queries. */
static void
why_free(struct task *t)
{
    struct why *w = (struct why *)t;
    struct query *q, *next;

    Http_ClientFree(w->client);
    TAILQ_FOREACH_SAFE (q, &w->queries, entry, next) {
        json_decref(q->answers);
        free(q);
    }
    WhyLog_Free(&w->log);
    ConfigSnapshot_Unref(w->active_config);
    free(w->peers);
    free(w);
}

static const struct task_ops why_ops = {
    .name = "why",
    .receive = why_receive,
    .state = why_state,
    .free = why_free,
};

/* Creates the task with an empty log. */
static int
start(struct kernel *k)
{
    struct why *w = Mem_Zero(1, sizeof(*w));

    w->settings = k->settings;
    w->client = Http_ClientNew(k->loop, 8);
    WhyLog_Init(&w->log, WHY_BYTES_MAX);
    TAILQ_INIT(&w->queries);
    Kernel_AddTask(k, &w->task, &why_ops);
    Configs_Subscribe(k, "why");
    Peers_Subscribe(k, "why");
    return ERR_OK;
}

static struct plugin why_plugin = {.name = "why", .rank = 35, .start = start};
KERNEL_PLUGIN(why_plugin)
