#include "queue-owner.h"

#include <stdlib.h>
#include <string.h>

/* Decisions that are kept for those who ask why; some hundred bytes each. */
#define KEPT_MAX 8000

/* Keeps an event, and lets the oldest go. */
void
QueueWhy_Keep(struct owner *o, struct jobs_event *e)
{
    struct jobs_event *oldest;

    QueueMetrics_Event(e);
    TAILQ_INSERT_TAIL(&o->kept, e, entry);
    if (++o->kept_count > KEPT_MAX) {
        oldest = TAILQ_FIRST(&o->kept);
        TAILQ_REMOVE(&o->kept, oldest, entry);
        free(oldest);
        o->kept_count--;
    }
}

/* Drops what is kept. */
void
QueueWhy_Clear(struct owner *o)
{
    struct jobs_event *e;

    while ((e = TAILQ_FIRST(&o->kept)) != NULL) {
        TAILQ_REMOVE(&o->kept, e, entry);
        free(e);
    }
    o->kept_count = 0;
}

/* One decision as JSON. */
static json_t *
show(const struct jobs_event *e)
{
    return json_pack("{s:I,s:s,s:s,s:s,s:I,s:s,s:s,s:I}", "at_ms",
                     (json_int_t)e->at_ms, "decision", Jobs_EventName(e->kind),
                     "reason", e->reason, "task", e->task, "run",
                     (json_int_t)e->run, "worker", e->worker, "other",
                     e->other, "ms", (json_int_t)e->number);
}

/* GET /v1/why/ID: what this entry decided of a job while it was the owner.
 * The holder of a key is told of its own organisation's jobs. */
static void
why(struct task *t, struct http_exchange *ex, const char *id)
{
    const struct owner *o = (const struct owner *)t;
    const char *token = Requests_Token(ex);
    const struct jobs_organisation *asks = NULL;
    const struct jobs_event *e;
    json_t *list;

    if (o->config != NULL && token != NULL) {
        asks = JobsConfig_ByKey(&o->config->jobs, token);
    }
    if (asks == NULL) {
        Front_Refuse(ex, 401, "not_run", "unknown_key", "", -1, NULL);
        return;
    }
    list = json_array();
    TAILQ_FOREACH (e, &o->kept, entry) {
        if (strcmp(e->job, id) == 0 &&
            strcmp(e->organisation, asks->name) == 0) {
            json_array_append_new(list, show(e));
        }
    }
    Front_ReplyJson(ex, 200,
                    json_pack("{s:s,s:s,s:b,s:o}", "id", id, "owner",
                              o->row_name, "is_leader", o->scheduler != NULL,
                              "decisions", list));
}

static struct front_route why_route = {
    "GET", "/v1/why/*", TASK_OWNER, why, {0}};
FRONT_ROUTE(why_route)
