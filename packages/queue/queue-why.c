#include "queue-owner.h"

#include <stdlib.h>
#include <string.h>

/* Number of decisions kept for GET /v1/why; some hundred bytes each. */
#define EVENTS_MAX 8000

/* Stores an event, which is owned from here on, and drops the oldest beyond
 * the maximum. */
void
QueueWhy_Record(struct owner *o, struct jobs_event *e)
{
    struct jobs_event *oldest;

    QueueMetrics_Event(e);
    TAILQ_INSERT_TAIL(&o->events, e, entry);
    if (++o->event_count > EVENTS_MAX) {
        oldest = TAILQ_FIRST(&o->events);
        TAILQ_REMOVE(&o->events, oldest, entry);
        free(oldest);
        o->event_count--;
    }
}

/* Frees all events. */
void
QueueWhy_Clear(struct owner *o)
{
    struct jobs_event *e;

    while ((e = TAILQ_FIRST(&o->events)) != NULL) {
        TAILQ_REMOVE(&o->events, e, entry);
        free(e);
    }
    o->event_count = 0;
}

/* Formats a decision as JSON. */
static json_t *
event_to_json(const struct jobs_event *e)
{
    return json_pack(
        "{s:I,s:s,s:s,s:s,s:I,s:s,s:s,s:I,s:I}", "at_ms", (json_int_t)e->at_ms,
        "decision", Jobs_EventName(e->kind), "reason", e->reason, "task",
        e->task, "run", (json_int_t)e->run, "worker", e->worker, "other",
        e->other, "ms", (json_int_t)e->number, "gain", (json_int_t)e->gain);
}

/* GET /v1/why/ID: the decisions on a job that this entry made while it was the
 * owner. The holder of a key sees jobs of its own organisation only. */
static void
get_decisions(struct task *t, struct http_exchange *ex, const char *id)
{
    const struct owner *o = (const struct owner *)t;
    const char *token = Requests_Token(ex);
    const struct jobs_organisation *caller = NULL;
    const struct jobs_event *e;
    json_t *list;

    if (o->config != NULL && token != NULL) {
        caller = JobsConfig_ByKey(&o->config->jobs, token);
    }
    if (caller == NULL) {
        Front_Refuse(ex, 401, "not_run", "unknown_key", "", -1, NULL);
        return;
    }
    list = json_array();
    TAILQ_FOREACH (e, &o->events, entry) {
        if (strcmp(e->job, id) == 0 &&
            strcmp(e->organisation, caller->name) == 0) {
            json_array_append_new(list, event_to_json(e));
        }
    }
    Front_ReplyJson(ex, 200,
                    json_pack("{s:s,s:s,s:b,s:o}", "id", id, "owner",
                              o->row_name, "is_leader", o->scheduler != NULL,
                              "decisions", list));
}

static struct front_route why_route = {
    "GET", "/v1/why/*", TASK_OWNER, get_decisions, {0}};
FRONT_ROUTE(why_route)
