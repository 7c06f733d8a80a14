#include "queue-intake.h"

#include <stdlib.h>

/* Handles a message from another task or the HTTP front. */
static void
receive(struct task *t, struct message *m)
{
    struct intake *in = (struct intake *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    if (m->kind == &Queue_CallKind) {
        /* The message is freed on return, but the call is answered later: move
         * it. */
        Intake_Call(in, QueueCall_Move((struct queue_call *)m));
    }
    else if (m->kind == &Queue_RowsRequestedKind) {
        in->is_leader = true;
        Follow_EndPause(in);
        Cache_SendAll(in);
    }
    else if (m->kind == &Queue_LeadershipEndedKind) {
        in->is_leader = false;
    }
    else if (m->kind == &Queue_UnscheduledKind) {
        Cache_SendJobs(in, (struct job_ids *)m);
    }
    else if (m->kind == &Queue_DocumentKind) {
        struct peer_document *d = (struct peer_document *)m;

        if (in->config == NULL || d->version > in->config->jobs.version) {
            Intake_TakeConfig(in, &d->text, "peer");
        }
    }
    else if (m->kind == &Queue_EmptiedKind) {
        Intake_TakeEmptied(in, &((struct emptied_reported *)m)->emptied,
                           "entry");
    }
    else if (m->kind == &Queue_RowWrittenKind) {
        Notify_Receive(in, ((struct row_written *)m)->row);
    }
    else if (m->kind == &Queue_ForecastKind) {
        Forecast_Take(in, ((struct forecast_made *)m)->m);
    }
    else if (m->kind == &Queue_DelegationKind) {
        Follow_SetDelegation(in, (struct delegation *)m);
    }
}

/* Starts draining. */
static void
drain(struct task *t)
{
    ((struct intake *)t)->draining = true;
}

/* True when every call has been answered. */
static bool
drained(const struct task *t)
{
    return ((const struct intake *)t)->open_call_count == 0;
}

/* Answers the open calls, as the process ends. */
static void
drain_timeout(struct task *t)
{
    Calls_AnswerOpen((struct intake *)t);
}

/* Returns the state for operators. */
static json_t *
state(const struct task *t)
{
    const struct intake *in = (const struct intake *)t;

    return json_pack("{s:I,s:b,s:I,s:I,s:I}", "config_version",
                     (json_int_t)(in->config ? in->config->jobs.version : 0),
                     "config_left_to_entries", in->operator_table.delegated,
                     "position", (json_int_t)in->own_table.position,
                     "rows_age_ms",
                     (json_int_t)(Clock_NowMs() - in->own_table.answered_ms),
                     "open_calls", (json_int_t)in->open_call_count);
}

/* Frees the task. */
static void
intake_free(struct task *t)
{
    struct intake *in = (struct intake *)t;

    Follow_Stop(in);
    Entries_Stop(in);
    Calls_Stop(in);
    Check_Stop(in);
    Notify_Clear(in);
    Cache_Clear(in);
    if (in->admission != NULL) {
        QueueAdmission_Clear(in->admission);
        free(in->admission);
    }
    QueueConfig_Unref(in->config);
    free(in);
}

static const struct task_ops intake_ops = {.name = TASK_INTAKE,
                                           .receive = receive,
                                           .drain = drain,
                                           .drained = drained,
                                           .drain_timeout = drain_timeout,
                                           .state = state,
                                           .free = intake_free};

/* True when this entry can serve callers. */
bool
Queue_Ready(struct kernel *k)
{
    const struct intake *in =
        (const struct intake *)Kernel_FindTask(k, TASK_INTAKE);

    return in != NULL && in->config != NULL && in->own_table.listed &&
           !in->draining;
}

/* Higher log limits for events that report how a request went, as operators
 * look these up by its id. A job logs one line of each of the first five
 * events; a step of a thousand tasks logs a thousand of each run event. */
static const struct {
    const char *event;
    int lines; /* per second */
} log_budgets[] = {
    {"job_accepted", 1000}, {"job_cancelled", 1000}, {"job_state", 1000},
    {"call_refused", 1000}, {"job_refused", 1000},   {"caller_left", 1000},
    {"run_given", 300},     {"run_stopped", 300},    {"run_over", 300}};

/* Starts the task and follows the store. */
static int
start(struct kernel *k)
{
    struct intake *in = Mem_Zero(1, sizeof(*in));

    for (size_t i = 0; i < COUNT_OF(log_budgets); i++) {
        if (Log_SetBudget(log_budgets[i].event, log_budgets[i].lines) !=
            ERR_OK) {
            LOG_W("log_budget_refused", KV("event", log_budgets[i].event));
        }
    }
    RB_INIT(&in->cache);
    RB_INIT(&in->jobs);
    TAILQ_INIT(&in->open_calls);
    TAILQ_INIT(&in->recent_rows);
    in->store = Queue_Store(k);
    if (((const struct entry_settings *)k->settings)
            ->hosted.scheduling.admission) {
        in->admission = Mem_Zero(1, sizeof(*in->admission));
    }
    Kernel_AddTask(k, &in->task, &intake_ops);
    Follow_Start(in);
    Entries_Start(in);
    Calls_Start(in);
    Check_Start(in);
    return ERR_OK;
}

static struct plugin intake_plugin = {
    .name = "intake", .rank = 50, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(intake_plugin)
