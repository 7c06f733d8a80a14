#include "runs.h"

#include "http.h"

#include <stdlib.h>
#include <string.h>

struct metrics {
    struct task task;
    struct http_server *server;
};

/* Answers GET /metrics with the counters of this agent. */
static void
on_request(void *arg UNUSED, struct http_exchange *ex)
{
    struct buf b CLEANUP(Buf_Free) = {0};

    if (strcmp(Http_Path(ex), "/metrics") != 0) {
        Http_Reply(ex, 404, "text/plain", NULL, 0);
        return;
    }
    Counter_Render(&b);
    Http_Reply(ex, 200, "text/plain; version=0.0.4", b.data, b.len);
}

/* Frees the task. */
static void
metrics_free(struct task *t)
{
    struct metrics *m = (struct metrics *)t;

    Http_ServerFree(m->server);
    free(m);
}

static const struct task_ops metrics_ops = {.name = "metrics",
                                            .free = metrics_free};

/* Listens on the metrics address of the settings, if there is one. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct http_limits limits = {.body_bytes = 1024,
                                 .header_bytes = 8192,
                                 .connections = 8,
                                 .idle_ms = 10000};
    struct metrics *m;
    char ip[NAME_SIZE];
    int port;

    if (s->hosted.metrics == NULL) {
        return ERR_OK;
    }
    m = Mem_Zero(1, sizeof(*m));
    Kernel_AddTask(k, &m->task, &metrics_ops);
    if (Settings_SplitAddress(s->hosted.metrics, ip, &port) == ERR_OK) {
        m->server = Http_ServerNew(k->loop, ip, port, &limits, on_request, m);
    }
    if (m->server == NULL) {
        LOG_E("listen_failed", KV("address", s->hosted.metrics),
              KV("effect", "no metrics"));
    }
    return ERR_OK;
}

static struct plugin metrics_plugin = {
    .name = "metrics", .rank = 80, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(metrics_plugin)
