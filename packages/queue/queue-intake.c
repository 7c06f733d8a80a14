#include "queue-intake.h"

#include <stdlib.h>

/* Takes what other tasks and the front send. */
static void
receive(struct task *t, struct message *m)
{
    struct intake *in = (struct intake *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    if (m->kind == &Queue_CallKind) {
        /* The call is answered later: it outlives its message's delivery. */
        struct queue_call *call = Mem_Alloc(sizeof(*call));
        struct queue_call *sent = (struct queue_call *)m;

        *call = *sent;
        sent->spec = (struct jobs_spec){0};
        Intake_Call(in, call);
    }
    else if (m->kind == &Queue_WantedKind) {
        Cache_TellAll(in);
    }
    else if (m->kind == &Queue_DocumentKind) {
        struct peer_document *d = (struct peer_document *)m;

        if (in->config == NULL || d->version > in->config->jobs.version) {
            Intake_TakeConfig(in, d->text.data, d->text.len, "peer");
        }
    }
}

/* Begins to end. */
static void
drain(struct task *t)
{
    ((struct intake *)t)->draining = true;
}

/* True when every call is answered. */
static bool
drained(const struct task *t)
{
    return ((const struct intake *)t)->open_calls == 0;
}

/* For operators. */
static json_t *
state(const struct task *t)
{
    const struct intake *in = (const struct intake *)t;

    return json_pack("{s:I,s:I,s:I,s:I}", "config_version",
                     (json_int_t)(in->config ? in->config->jobs.version : 0),
                     "position", (json_int_t)in->rows.position, "rows_age_ms",
                     (json_int_t)(Clock_NowMs() - in->rows.fresh_ms),
                     "open_calls", (json_int_t)in->open_calls);
}

/* Frees the task. */
static void
intake_free(struct task *t)
{
    struct intake *in = (struct intake *)t;

    Follow_Stop(in);
    Entries_Stop(in);
    Cache_Clear(in);
    QueueConfig_Unref(in->config);
    free(in);
}

static const struct task_ops intake_ops = {.name = TASK_INTAKE,
                                           .receive = receive,
                                           .drain = drain,
                                           .drained = drained,
                                           .state = state,
                                           .free = intake_free};

/* True when callers can be served. */
bool
Queue_Ready(struct kernel *k)
{
    const struct intake *in =
        (const struct intake *)Kernel_FindTask(k, TASK_INTAKE);

    return in != NULL && in->config != NULL && in->rows.listed &&
           !in->draining;
}

/* Begins to follow the store. */
static int
start(struct kernel *k)
{
    struct intake *in = Mem_Zero(1, sizeof(*in));

    RB_INIT(&in->cache);
    RB_INIT(&in->jobs);
    in->store = Queue_Store(k);
    Kernel_AddTask(k, &in->task, &intake_ops);
    Follow_Start(in);
    Entries_Start(in);
    return ERR_OK;
}

static struct plugin intake_plugin = {
    .name = "intake", .rank = 50, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(intake_plugin)
