#include "entry.h"

#include <stdlib.h>
#include <string.h>

#define NO_CONFIGURATION_RETRY_MS 1000

/* requests: identifies the caller, the service and the class of a request, and
 * passes valid requests to dispatch as offers. */
struct requests {
    struct task task;
    const struct entry_settings *settings;
    struct config_snapshot *active_config; /* NULL: no configuration yet */
};

/* Returns the token of the Authorization header, or NULL. */
const char *
Requests_Token(const struct http_exchange *ex)
{
    static const char scheme[] = "Bearer ";
    const char *value = Http_Header(ex, "Authorization");

    if (value == NULL || strncmp(value, scheme, sizeof(scheme) - 1) != 0) {
        return NULL;
    }
    return value + sizeof(scheme) - 1;
}

/* Parses a header as a number within 1..max. Returns 0 without the header, -1
 * when its value is no such number. */
static int64_t
header_number(const struct http_exchange *ex, const char *name, int64_t max)
{
    const char *text = Http_Header(ex, name);
    char *end;
    long long n;

    if (text == NULL) {
        return 0;
    }
    n = strtoll(text, &end, 10);
    return *text != '\0' && *end == '\0' && n >= 1 && n <= max ? n : -1;
}

/* Why a request is refused before it is offered to dispatch; status 0: it is
 * not refused. */
struct refusal {
    int status;
    const char *reason;
    const char *detail;
};

/* True when a key is 1 to 255 visible ASCII characters. */
static bool
is_idempotency_key(const char *key)
{
    size_t len = strlen(key);
    size_t i;

    for (i = 0; i < len; i++) {
        if (key[i] < 0x21 || key[i] > 0x7e) {
            return false;
        }
    }
    return len > 0 && len < KEY_SIZE;
}

/* Fills an offer from the request, the service and its class. */
static struct refusal
fill_offer(const struct requests *reqs, const struct http_exchange *ex,
           const struct config_service *service, struct offer *o)
{
    const struct config_class *class = Config_ClassOf(
        &reqs->active_config->doc, service, Http_Header(ex, "X-Class"));
    const char *caller = Http_Header(ex, "X-Caller");
    const char *type = Http_Header(ex, "Content-Type");
    const char *key = Http_Header(ex, "Idempotency-Key");
    int64_t max = reqs->settings->limits.deadline_ms_max;

    if (class == NULL) {
        return (struct refusal){400, "no_such_class",
                                "X-Class names a class of this service"};
    }
    o->timeout_ms = header_number(ex, "X-Deadline-Ms", max);
    o->cost_hint_ms = header_number(ex, "X-Cost-Ms", max);
    if (o->timeout_ms < 0 || o->cost_hint_ms < 0) {
        return (struct refusal){
            400, "bad_header",
            "X-Deadline-Ms and X-Cost-Ms are whole milliseconds up to the "
            "longest deadline"};
    }
    if (caller != NULL && !Str_IsName(caller)) {
        return (struct refusal){400, "bad_header",
                                "X-Caller is a name of up to 63 characters"};
    }
    if (key != NULL && !is_idempotency_key(key)) {
        return (struct refusal){
            400, "bad_header",
            "Idempotency-Key is 1 to 255 visible ASCII characters"};
    }
    if (o->timeout_ms == 0) {
        o->timeout_ms = class->deadline_ms < max ? class->deadline_ms : max;
    }
    Str_Copy(o->caller, sizeof(o->caller), caller ? caller : "");
    Str_Copy(o->content_type, sizeof(o->content_type), type ? type : "");
    Str_Copy(o->class_name, sizeof(o->class_name), class->name);
    Str_Copy(o->key, sizeof(o->key), key ? key : "");
    o->keyed_without_table = class->keyed_when_table_down == KEYED_SERVE;
    o->priority = (enum priority) class->priority;
    o->repeatable = class->repeatable;
    o->queue_max = (int)service->queue_limit;
    o->hedge = service->hedge;
    return (struct refusal){0};
}

/* Identifies the organisation by its token and checks that it may use the
 * service. */
static struct refusal
identify(const struct requests *reqs, const struct http_exchange *ex,
         const char *name, const struct config_service **service,
         struct offer *o)
{
    const struct config_organisation *org;
    const char *token = Requests_Token(ex);

    if (reqs->active_config == NULL) {
        return (struct refusal){503, "no_configuration",
                                "this entry has no configuration yet"};
    }
    org = token ? Config_OrganisationOfToken(&reqs->active_config->doc, token)
                : NULL;
    if (org == NULL) {
        return (struct refusal){401, "no_token",
                                "Authorization: Bearer TOKEN of an "
                                "organisation"};
    }
    *service = Config_FindService(&reqs->active_config->doc, name);
    if (*service == NULL || !Config_Allows(*service, org->name)) {
        return (struct refusal){404, "no_such_service",
                                "no service of that name for this "
                                "organisation"};
    }
    Str_Copy(o->service, sizeof(o->service), (*service)->name);
    Str_Copy(o->organisation, sizeof(o->organisation), org->name);
    o->weight = (int)org->weight;
    return (struct refusal){0};
}

/* Refuses a request that is not passed to dispatch. Without a configuration a
 * keyed request is unknown rather than not_run, because its row was not read:
 * an earlier request with the key may have run, and a caller that receives
 * not_run may repeat the work under another key. */
static void
refuse(struct http_exchange *ex, const struct refusal *refusal,
       const struct id *id)
{
    bool unread =
        refusal->status == 503 && Http_Header(ex, "Idempotency-Key") != NULL;
    const char *outcome = unread ? "unknown" : "not_run";

    Http_ReplyHeader(ex, "X-Outcome", outcome);
    Front_Refuse(ex, refusal->status, outcome, refusal->reason,
                 refusal->detail,
                 refusal->status == 503 ? NO_CONFIGURATION_RETRY_MS : -1, id);
}

/* Handles POST /v1/services/{service}/requests. */
static void
post_request(struct task *t, struct http_exchange *ex, const char *name)
{
    struct requests *reqs = (struct requests *)t;
    struct offer *o = Mem_Zero(1, sizeof(*o));
    const struct config_service *service = NULL;
    struct refusal refusal = identify(reqs, ex, name, &service, o);

    o->id = Id_Random();
    o->ex = ex;
    if (refusal.status == 0) {
        refusal = fill_offer(reqs, ex, service, o);
    }
    if (refusal.status == 0 &&
        Http_Body(ex)->len > (size_t)service->request_bytes) {
        refusal = (struct refusal){413, "body_too_big",
                                   "the service's request_bytes is less"};
    }
    if (refusal.status != 0) {
        refuse(ex, &refusal, &o->id);
        free(o);
        return;
    }
    Buf_Move(&o->body, Http_Body(ex));
    Kernel_Post(Kernel_FindTask(t->kernel, "dispatch"), &o->base,
                &Entry_Offer);
}

static struct front_route post_route = {
    "POST", "/v1/services/*/requests", "requests", post_request, {0}};
FRONT_ROUTE(post_route)

/* Handles HTTP requests and changes of the configuration. */
static void
requests_receive(struct task *t, struct message *m)
{
    struct requests *reqs = (struct requests *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    ConfigSnapshot_Unref(reqs->active_config);
    reqs->active_config =
        ConfigSnapshot_Ref(((struct config_note *)m)->active_config);
}

/* Frees the task and its reference to the configuration. */
static void
requests_free(struct task *t)
{
    ConfigSnapshot_Unref(((struct requests *)t)->active_config);
    free(t);
}

static const struct task_ops requests_ops = {
    .name = "requests",
    .receive = requests_receive,
    .free = requests_free,
};

/* Starts the task and subscribes it to the configuration. */
static int
start(struct kernel *k)
{
    struct requests *reqs = Mem_Zero(1, sizeof(*reqs));

    reqs->settings = k->settings;
    Kernel_AddTask(k, &reqs->task, &requests_ops);
    Configs_Subscribe(k, "requests");
    return ERR_OK;
}

static struct plugin requests_plugin = {
    .name = "requests", .rank = 50, .start = start};
KERNEL_PLUGIN(requests_plugin)
