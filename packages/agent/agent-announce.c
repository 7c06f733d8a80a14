#include "agent-announce.h"

#include <stdlib.h>
#include <string.h>

#define LISTEN_ADDRESS "127.0.0.1" /* upstreams run on the agent's host */
#define UPSTREAMS_PATH "/v1/upstreams/"
#define TICK_MS 100
#define UPSTREAMS_MAX 64
#define BODY_MAX 4096
#define HEADER_MAX 8192
#define CONNECTIONS_MAX 64
#define IDLE_MS 10000

struct announce {
    struct task task;
    struct http_server *server;
    TAILQ_HEAD(, announced_upstream) upstreams;
    size_t count;
    ev_timer tick;
};

static struct counter announced_total = {
    "parsleyfall_agent_announced_total",
    "Announcements of upstreams that were taken.", NULL, COUNTER_TOTAL};
static struct counter lapsed_total = {
    "parsleyfall_agent_announcements_lapsed_total",
    "Upstreams that did not announce themselves in time.", NULL,
    COUNTER_TOTAL};

/* Finds an upstream by its service. */
static struct announced_upstream *
find(struct announce *a, const char *service)
{
    struct announced_upstream *u;

    TAILQ_FOREACH (u, &a->upstreams, entry) {
        if (strcmp(u->service, service) == 0) {
            return u;
        }
    }
    return NULL;
}

/* Posts an upstream to the task "work"; zero slots mean that it leaves. */
static void
post_upstream(struct announce *a, const struct announced_upstream *u,
              bool leaves)
{
    struct upstream_note *note = Mem_Zero(1, sizeof(*note));

    Str_Copy(note->service, sizeof(note->service), u->service);
    Str_Copy(note->url, sizeof(note->url), u->url);
    note->slots = leaves ? 0 : (uint64_t)u->slots;
    note->connections = (uint64_t)u->connections;
    Kernel_Post(Kernel_FindTask(a->task.kernel, "work"), &note->base,
                &Agent_Upstream);
}

/* Removes an upstream, so that no new requests are sent to it. */
static void
remove_upstream(struct announce *a, struct announced_upstream *u,
                const char *why)
{
    LOG_I("upstream_leaves", KV("service", u->service), KV("why", why));
    post_upstream(a, u, true);
    TAILQ_REMOVE(&a->upstreams, u, entry);
    a->count--;
    free(u);
}

/* Adds an announced upstream, or renews its lease. The task "work" is notified
 * only when the url, the slots or the connections have changed. */
static void
register_upstream(struct announce *a, const struct announced_upstream *new)
{
    struct announced_upstream *u = find(a, new->service);
    bool same = u != NULL && strcmp(u->url, new->url) == 0 &&
                u->slots == new->slots && u->connections == new->connections;

    if (u == NULL) {
        u = Mem_Zero(1, sizeof(*u));
        TAILQ_INSERT_TAIL(&a->upstreams, u, entry);
        a->count++;
    }
    Str_Copy(u->service, sizeof(u->service), new->service);
    Str_Copy(u->url, sizeof(u->url), new->url);
    u->slots = new->slots;
    u->connections = new->connections;
    u->lease_ms = new->lease_ms;
    u->lease_until = Clock_NowMs() + new->lease_ms;
    Counter_Add(&announced_total, 1);
    if (!same) {
        LOG_I("upstream_announced", KV("service", u->service),
              KV("url", u->url), KV_INT("slots", u->slots));
        post_upstream(a, u, false);
    }
}

/* PUT /v1/upstreams/{service} */
static void
serve_put(struct announce *a, struct http_exchange *ex, const char *service)
{
    const struct buf *body = Http_Body(ex);
    json_t *o = json_loadb(body->data != NULL ? body->data : "", body->len,
                           JSON_REJECT_DUPLICATES, NULL);
    struct announced_upstream u = {0};

    if (!Announce_Read(ex, o, &u)) {
        json_decref(o);
        return;
    }
    json_decref(o);
    if (find(a, service) == NULL && a->count >= UPSTREAMS_MAX) {
        Announce_Refuse(ex, 503, "service", "64 services at most");
        return;
    }
    Str_Copy(u.service, sizeof(u.service), service);
    register_upstream(a, &u);
    Announce_Reply(ex, 200,
                   json_pack("{s:I}", "lease_ms", (json_int_t)u.lease_ms));
}

/* DELETE /v1/upstreams/{service} */
static void
serve_delete(struct announce *a, struct http_exchange *ex, const char *service)
{
    struct announced_upstream *u = find(a, service);

    if (u == NULL) {
        Announce_Refuse(ex, 404, "service", "one that is announced");
        return;
    }
    remove_upstream(a, u, "asked");
    Announce_Reply(ex, 200, json_object());
}

static const struct {
    const char *method;
    void (*serve)(struct announce *, struct http_exchange *, const char *);
} methods[] = {{"PUT", serve_put}, {"DELETE", serve_delete}};

/* Serves /v1/upstreams/{service}. */
static void
serve_upstream(struct announce *a, struct http_exchange *ex,
               const char *service)
{
    size_t i;

    if (!Str_IsName(service)) {
        Announce_Refuse(ex, 400, "service", "1..63 of A-Z a-z 0-9 . _ -");
        return;
    }
    for (i = 0; i < COUNT_OF(methods); i++) {
        if (strcmp(methods[i].method, Http_Method(ex)) == 0) {
            methods[i].serve(a, ex, service);
            return;
        }
    }
    Announce_Refuse(ex, 405, "method", "PUT, DELETE");
}

/* Routes a request by its path. */
static void
on_request(void *arg, struct http_exchange *ex)
{
    struct announce *a = arg;
    const char *path = Http_Path(ex);

    if (strncmp(path, UPSTREAMS_PATH, strlen(UPSTREAMS_PATH)) == 0) {
        serve_upstream(a, ex, path + strlen(UPSTREAMS_PATH));
        return;
    }
    if (strcmp(path, "/v1/state") == 0 &&
        strcmp(Http_Method(ex), "GET") == 0) {
        Announce_Reply(ex, 200, Kernel_State(a->task.kernel));
        return;
    }
    Announce_Refuse(ex, 404, "path",
                    UPSTREAMS_PATH "{service}, GET /v1/state");
}

/* Removes upstreams whose lease has lapsed. The lapse is the only sign of an
 * upstream that is dead, paused or cut off; without it the agent would go on
 * sending requests there. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct announce *a = w->data;
    struct announced_upstream *u, *next;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH_SAFE (u, &a->upstreams, entry, next) {
        if (now >= u->lease_until) {
            Counter_Add(&lapsed_total, 1);
            remove_upstream(a, u, "lapsed");
        }
    }
}

/* True when every reply has been sent. */
static bool
announce_drained(const struct task *t)
{
    return Http_ServerOpen(((const struct announce *)t)->server) == 0;
}

/* The announced upstreams as JSON, for operators. */
static json_t *
announce_state(const struct task *t)
{
    const struct announce *a = (const struct announce *)t;
    json_t *list = json_array();
    const struct announced_upstream *u;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH (u, &a->upstreams, entry) {
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:I, s:I, s:I}", "service", u->service,
                            "url", u->url, "slots", (json_int_t)u->slots,
                            "connections", (json_int_t)u->connections,
                            "lease_ms", (json_int_t)(u->lease_until - now)));
    }
    return json_pack("{s:i, s:o}", "port", Http_ServerPort(a->server),
                     "upstreams", list);
}

/* Closes the port and frees the announcements. */
static void
announce_free(struct task *t)
{
    struct announce *a = (struct announce *)t;
    struct announced_upstream *u, *next;

    ev_timer_stop(t->kernel->loop, &a->tick);
    Http_ServerFree(a->server);
    TAILQ_FOREACH_SAFE (u, &a->upstreams, entry, next) {
        free(u);
    }
    free(a);
}

static const struct task_ops announce_ops = {
    .name = "announce",
    .drained = announce_drained,
    .state = announce_state,
    .free = announce_free,
};

/* Starts the task and its HTTP server, if the settings have a port for it. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    const struct http_limits limits = {.body_bytes = BODY_MAX,
                                       .header_bytes = HEADER_MAX,
                                       .connections = CONNECTIONS_MAX,
                                       .idle_ms = IDLE_MS};
    struct announce *a;

    if (s->announce_port < 0) {
        return ERR_OK;
    }
    a = Mem_Zero(1, sizeof(*a));
    TAILQ_INIT(&a->upstreams);
    a->server = Http_ServerNew(k->loop, LISTEN_ADDRESS, (int)s->announce_port,
                               &limits, on_request, a);
    if (a->server == NULL) {
        LOG_E("listen_failed", KV("address", LISTEN_ADDRESS),
              KV_INT("port", s->announce_port));
        free(a);
        return ERR_IO;
    }
    Kernel_AddTask(k, &a->task, &announce_ops);
    ev_init(&a->tick, on_tick);
    a->tick.data = a;
    Timer_Every(k->loop, &a->tick, TICK_MS);
    LOG_I("announce_listening", KV("address", LISTEN_ADDRESS),
          KV_INT("port", Http_ServerPort(a->server)));
    return ERR_OK;
}

static struct plugin announce_plugin = {
    .name = "announce", .rank = 40, .start = start};
KERNEL_PLUGIN(announce_plugin)
