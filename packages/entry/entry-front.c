#include "entry.h"

#include "console.h"

#include <stdlib.h>
#include <string.h>

/* Time between draining and the end of listening. A load balancer polls
 * /readyz at least this often. */
#define CLOSE_DELAY_MS 1500

static SLIST_HEAD(, front_route) routes = SLIST_HEAD_INITIALIZER(routes);

struct front {
    struct task task;
    struct http_server *server;
    struct config_snapshot *active_config; /* NULL: no configuration yet */
    bool closing;                          /* accepts no new requests */
    ev_timer close_timer;
};

static struct counter requests_total = {"parsleyfall_http_requests_total",
                                        "HTTP requests.", NULL, COUNTER_TOTAL};

/* Adds a route. Called by constructors, before main. */
void
Front_Register(struct front_route *route)
{
    SLIST_INSERT_HEAD(&routes, route, entry);
}

/* True when a path matches a pattern; copies the segment that "*" stands for.
 */
static bool
match_path(const char *pattern, const char *path, char *segment, size_t size)
{
    const char *star = strchr(pattern, '*');
    size_t head, len;

    segment[0] = '\0';
    if (star == NULL) {
        return strcmp(pattern, path) == 0;
    }
    head = (size_t)(star - pattern);
    if (strncmp(pattern, path, head) != 0) {
        return false;
    }
    len = strcspn(path + head, "/");
    if (len == 0 || len >= size) {
        return false;
    }
    memcpy(segment, path + head, len);
    segment[len] = '\0';
    return strcmp(star + 1, path + head + len) == 0;
}

/* Replies with JSON and releases the value. */
void
Front_ReplyJson(struct http_exchange *ex, int status, json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(1));
    struct buf b CLEANUP(Buf_Free) = {0};

    if (text == NULL) {
        /* A value with bytes that are no UTF-8; one caller's reply is lost. */
        LOG_E("reply_unreadable", KV_INT("status", status));
        status = 500;
    }
    Buf_AppendStr(&b, text != NULL ? text : "{}");
    Buf_AppendStr(&b, "\n");
    Http_Reply(ex, status, "application/json", b.data, b.len);
    free(text);
    json_decref(value);
}

/* Replies with a refusal, which has the same shape on every path. */
void
Front_Refuse(struct http_exchange *ex, int status, const char *outcome,
             const char *reason, const char *detail, int64_t retry_after_ms,
             const struct id *request)
{
    json_t *o = json_pack("{s:s, s:s, s:o}", "outcome", outcome, "reason",
                          reason, "detail", Json_Text(detail));
    char hex[ID_HEX_SIZE];

    if (retry_after_ms >= 0) {
        struct buf seconds CLEANUP(Buf_Free) = {0};

        json_object_set_new(o, "retry_after_ms", json_integer(retry_after_ms));
        Buf_Printf(&seconds, "%lld", (long long)(retry_after_ms + 999) / 1000);
        Http_ReplyHeader(ex, "Retry-After", seconds.data);
    }
    if (request != NULL) {
        Id_Hex(request, hex);
        json_object_set_new(o, "request_id", json_string(hex));
        Http_ReplyHeader(ex, "X-Request-Id", hex);
    }
    Front_ReplyJson(ex, status, o);
}

/* Passes a request to the task of its route. */
static void
post_to_route(struct front *f, const struct front_route *r,
              struct http_exchange *ex, const char *segment)
{
    struct http_note *note = Mem_Zero(1, sizeof(*note));
    struct task *t = Kernel_FindTask(f->task.kernel, r->task);

    if (t == NULL) {
        Fatal("route %s belongs to no task", r->path);
    }
    note->route = r;
    note->ex = ex;
    Str_Copy(note->segment, sizeof(note->segment), segment);
    Kernel_Post(t, &note->base, &Entry_Http);
}

/* Calls the handler of a route, in the task that the route names. */
bool
Front_Handle(struct task *t, struct message *m)
{
    struct http_note *note = (struct http_note *)m;

    if (m->kind != &Entry_Http) {
        return false;
    }
    note->route->handle(t, note->ex, note->segment);
    return true;
}

/* Passes a request to its route; replies 404 or 405 when there is none. */
static void
on_request(void *arg, struct http_exchange *ex)
{
    struct front *f = arg;
    struct front_route *r;
    bool path_known = false;
    char segment[WIRE_TEXT_SIZE];

    Counter_Add(&requests_total, 1);
    if (f->closing) {
        Http_ReplyHeader(ex, "Connection", "close");
        Front_Refuse(ex, 503, "not_run", "draining", "", 0, NULL);
        return;
    }
    SLIST_FOREACH (r, &routes, entry) {
        /* Routes may name tasks that do not run in this profile. */
        if (!match_path(r->path, Http_Path(ex), segment, sizeof(segment)) ||
            Kernel_FindTask(f->task.kernel, r->task) == NULL) {
            continue;
        }
        path_known = true;
        if (strcmp(r->method, Http_Method(ex)) == 0) {
            post_to_route(f, r, ex, segment);
            return;
        }
    }
    Front_Refuse(ex, path_known ? 405 : 404, "not_run",
                 path_known ? "method_not_allowed" : "no_such_path",
                 Http_Path(ex), -1, NULL);
}

/* Stops accepting requests. */
static void
on_close_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct front *f = w->data;

    f->closing = true;
    Http_ServerQuiesce(f->server);
}

/* Keeps accepting requests for CLOSE_DELAY_MS while /readyz replies 503. If
 * the listening socket closed at once, connections that the balancer still
 * opens would be reset before they are accepted, and their callers could not
 * know whether the request was taken. */
static void
front_drain(struct task *t)
{
    struct front *f = (struct front *)t;

    Timer_Set(t->kernel->loop, &f->close_timer, CLOSE_DELAY_MS);
}

/* True when no new requests are accepted and every reply has been sent. */
static bool
front_drained(const struct task *t)
{
    const struct front *f = (const struct front *)t;

    return f->closing && Http_ServerOpen(f->server) == 0;
}

/* Closes the HTTP server and frees the task. */
static void
front_free(struct task *t)
{
    struct front *f = (struct front *)t;

    Http_ServerFree(f->server);
    ConfigSnapshot_Unref(f->active_config);
    free(f);
}

/* Handles requests on the front's own routes and changes of the configuration.
 */
static void
front_receive(struct task *t, struct message *m)
{
    struct front *f = (struct front *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    ConfigSnapshot_Unref(f->active_config);
    f->active_config =
        ConfigSnapshot_Ref(((struct config_note *)m)->active_config);
}

static const struct task_ops front_ops = {
    .name = "front",
    .receive = front_receive,
    .drain = front_drain,
    .drained = front_drained,
    .free = front_free,
};

/* Returns the port that callers connect to. */
int
Front_Port(struct kernel *k)
{
    return Http_ServerPort(
        ((struct front *)Kernel_FindTask(k, "front"))->server);
}

/* GET /healthz: the process is alive. */
static void
healthz(struct task *t UNUSED, struct http_exchange *ex,
        const char *segment UNUSED)
{
    Http_Reply(ex, 200, "text/plain", "ok\n", 3);
}

/* GET /readyz: whether a load balancer may send callers to this entry. */
static void
readyz(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    if (t->kernel->draining) {
        Front_Refuse(ex, 503, "not_run", "draining", "", -1, NULL);
        return;
    }
    if (((struct front *)t)->active_config == NULL) {
        Front_Refuse(ex, 503, "not_run", "no_configuration",
                     "the head of the configuration has not been read yet",
                     1000, NULL);
        return;
    }
    Http_Reply(ex, 200, "text/plain", "ready\n", 6);
}

/* GET /metrics: the counters as Prometheus text. */
static void
metrics(struct task *t UNUSED, struct http_exchange *ex,
        const char *segment UNUSED)
{
    struct buf b CLEANUP(Buf_Free) = {0};

    Counter_Render(&b);
    Http_Reply(ex, 200, "text/plain; version=0.0.4", b.data, b.len);
}

static struct front_route healthz_route = {
    "GET", "/healthz", "front", healthz, {0}};
static struct front_route readyz_route = {
    "GET", "/readyz", "front", readyz, {0}};

/* GET /v1/state: the state of all tasks. It names organisations and their work
 * and is therefore for operators only; /metrics names none. */
static void
state(struct task *t, struct http_exchange *ex, const char *segment UNUSED)
{
    if (Operators_Identify(((struct front *)t)->active_config, ex) == NULL) {
        return;
    }
    Front_ReplyJson(ex, 200, Kernel_State(t->kernel));
}

static struct front_route state_route = {
    "GET", "/v1/state", "front", state, {0}};
FRONT_ROUTE(state_route)
static struct front_route metrics_route = {
    "GET", "/metrics", "front", metrics, {0}};
FRONT_ROUTE(healthz_route)
FRONT_ROUTE(readyz_route)
FRONT_ROUTE(metrics_route)

/* GET /console: the operators' page. It needs no token here, as it asks the
 * operator for one. */
static void
console(struct task *t UNUSED, struct http_exchange *ex,
        const char *segment UNUSED)
{
    struct buf page CLEANUP(Buf_Free) = {0};

    Console_Page(&page);
    Http_ReplyHeader(ex, "Content-Security-Policy", CONSOLE_POLICY);
    Http_ReplyHeader(ex, "X-Content-Type-Options", "nosniff");
    Http_ReplyHeader(ex, "Cache-Control", "no-store");
    Http_Reply(ex, 200, "text/html; charset=utf-8", page.data, page.len);
}

static struct front_route console_route = {
    "GET", "/console", "front", console, {0}};
FRONT_ROUTE(console_route)

/* Listens for callers. The rank starts it last, when all tasks that it passes
 * requests to exist. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct http_limits limits = {
        .body_bytes = (size_t)s->limits.body_bytes,
        .header_bytes = (size_t)s->limits.header_bytes,
        .connections = (unsigned)s->limits.connections,
        .idle_ms = s->limits.idle_ms,
    };
    struct front *f = Mem_Zero(1, sizeof(*f));

    ev_init(&f->close_timer, on_close_timer);
    f->close_timer.data = f;
    f->server =
        Http_ServerNew(k->loop, s->listen.address, (int)s->listen.http_port,
                       &limits, on_request, f);
    if (f->server == NULL) {
        LOG_E("listen_failed", KV("address", s->listen.address),
              KV_INT("http", s->listen.http_port));
        free(f);
        /* A hosted entry runs on: its callers do not use this port. */
        return s->hosted.store != NULL ? ERR_OK : ERR_IO;
    }
    Kernel_AddTask(k, &f->task, &front_ops);
    if (Kernel_FindTask(k, "config") != NULL) {
        Configs_Subscribe(k, "front");
    }
    LOG_I("listening", KV("address", s->listen.address),
          KV_INT("http", Front_Port(k)),
          KV("links", Kernel_FindTask(k, "links") != NULL ? Links_Address(k)
                                                          : s->hosted.links));
    return ERR_OK;
}

static struct plugin front_plugin = {
    .name = "front", .rank = 90, .start = start, .profile = PROFILE_ANY};
KERNEL_PLUGIN(front_plugin)
