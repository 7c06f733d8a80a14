#include "queue-owner.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
/* Delay of a pass, so that messages that come within it share one. */
#define PASS_DELAY_MS 3
/* A pass is followed by a rest of this many times its duration, but at most
 * TICK_MS. Three quarters of the processor thus stay for reports, callers and
 * answers of the store, however slow the machine is. */
#define PASS_REST_FACTOR 3
/* Time to wait for all rows before they are requested again. */
#define ROWS_RETRY_MS 300

static struct counter pass_ms = {
    "parsleyfall_queue_pass_ms",
    "Time in which the owner decides, writes and gives orders once.", NULL,
    COUNTER_LATENCY};

/* Periodic work of the owner: claims leadership, expires and repairs rows, and
 * schedules a pass for what is due. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct owner *o = w->data;
    const struct entry_settings *s = o->task.kernel->settings;

    switch (o->leadership) {
    case LEADER_NONE:
        Leader_ClaimIfVacant(o);
        return;
    case LEADER_LOADING:
        /* The rows that came may be older than our owner row: request them
         * again. */
        if (Clock_NowMs() - o->rows_requested_ms > ROWS_RETRY_MS) {
            Leader_RequestRows(o);
        }
        return;
    case LEADER_FENCING:
        Leader_Claim(o, s->name);
        break;
    case LEADER_HELD:
        Rows_Expire(o);
        Rows_Repair(o);
        break;
    }
    if (o->draining && !o->released) {
        o->released = true;
        Leader_Claim(o, "");
        return;
    }
    Forecast_Tick(o);
    Owner_SchedulePass(o);
}

/* Logs each decision or fact of the scheduler, and records it for GET
 * /v1/why. */
static void
log_events(struct owner *o)
{
    struct jobs_event *e;

    while ((e = Jobs_NextEvent(o->scheduler)) != NULL) {
        LOG_I(Jobs_EventName(e->kind), KV("reason", e->reason),
              KV("job", e->job), KV("task", e->task), KV_INT("run", e->run),
              KV("worker", e->worker), KV("other", e->other),
              KV_INT("ms", e->number), KV_INT("gain", e->gain),
              KV_INT("weight", e->weight),
              KV_INT("objective_ms", e->objective_ms), KV_INT("term", o->term),
              KV_INT("config", o->config ? o->config->jobs.version : 0));
        e->at_ms = Clock_WallMs();
        QueueWhy_Record(o, e);
    }
}

/* Runs one pass: plans, writes rows, sends orders and asks the adviser. */
static void
on_pass(struct ev_loop *loop UNUSED, ev_timer *w UNUSED, int events UNUSED)
{
    struct owner *o = w->data;
    int64_t started_ms = Clock_NowMs();

    if (o->scheduler == NULL || o->released) {
        return;
    }
    Jobs_Plan(o->scheduler, Clock_NowMs(), Clock_WallMs());
    Batch_Start(o);
    Orders_Send(o);
    Advice_Ask(o);
    log_events(o);
    o->pass_ended_ms = Clock_NowMs();
    o->pass_duration_ms = o->pass_ended_ms - started_ms;
    Counter_Observe(&pass_ms, o->pass_duration_ms);
}

/* Schedules a pass, unless one is scheduled.
 *
 * An owner with a tenth of a core may receive hundreds of ends of runs and
 * jobs a second. Without a rest between passes it would plan all the time
 * while reports and calls wait in its sockets, and its decisions would rest on
 * reports that are seconds old. */
void
Owner_SchedulePass(struct owner *o)
{
    int64_t rest = o->pass_ended_ms + PASS_REST_FACTOR * o->pass_duration_ms -
                   Clock_NowMs();

    if (rest > TICK_MS) {
        rest = TICK_MS;
    }
    if (!ev_is_active(&o->pass_timer)) {
        Timer_Set(o->task.kernel->loop, &o->pass_timer,
                  rest > PASS_DELAY_MS ? rest : PASS_DELAY_MS);
    }
}

/* Takes a configuration. The scheduler refers to it, so the old one is
 * released only after the scheduler has the new one. */
static void
take_config(struct owner *o, struct queue_config *c)
{
    if (o->scheduler != NULL) {
        Jobs_SetConfig(o->scheduler, &c->jobs);
    }
    QueueConfig_Unref(o->config);
    o->config = QueueConfig_Ref(c);
}

/* Remembers a worker incarnation that has left, whether or not this entry is
 * the owner.
 *
 * If a worker and the owner that was informed of it end together, the next
 * owner would otherwise wait for the leases of a worker that is gone, and its
 * tasks would not start again until then. Agents report to every entry. */
static void
note_departed(struct owner *o, const char *incarnation)
{
    if (*incarnation == '\0') {
        return;
    }
    for (size_t i = 0; i < DEPARTED_MAX; i++) {
        if (strcmp(o->departed[i], incarnation) == 0) {
            return;
        }
    }
    Str_Copy(o->departed[o->departed_next++ % DEPARTED_MAX], JOBS_TEXT_SIZE,
             incarnation);
}

/* True when an agent has seen a higher term than ours; leadership is then
 * given up.
 *
 * This happens when the owner row was lost or overwritten and no remaining
 * entry knew its term: workers that have seen a higher term ignore our orders.
 * The next claim uses a term above the reported one. If there is a living
 * owner of that term, the claim fails by the version of the row. */
static bool
is_behind(struct owner *o, uint64_t term)
{
    if (term <= o->term || term > (uint64_t)JSON_COUNTER_MAX) {
        return false;
    }
    if (term > o->row_term) {
        o->row_term = term;
        o->row_incarnation = 0; /* so that the next claim raises the term */
    }
    /* The owner of that term may be alive, whatever our copy of the row
     * says. */
    o->row_corrupt = true;
    o->predecessor_ended = false;
    Leader_StepDown(o, "term_behind");
    return true;
}

/* Handles a message from an agent. */
static void
take_agent_message(struct owner *o, const struct wire_msg *m)
{
    if (m->type == WIRE_REPORT) {
        note_departed(o, ((const struct wire_report *)m)->left);
    }
    if (o->scheduler == NULL) {
        return;
    }
    if (m->type == WIRE_REPORT &&
        is_behind(o, ((const struct wire_report *)m)->term)) {
        return;
    }
    if (m->type == WIRE_REPORT) {
        if (!Orders_TakeReport(o, (const struct wire_report *)m)) {
            return;
        }
    }
    else if (m->type == WIRE_REFUSED) {
        Orders_TakeRefusal(o, (const struct wire_refused *)m);
    }
    Owner_SchedulePass(o);
}

/* Handles a message from another task. */
static void
receive(struct task *t, struct message *m)
{
    struct owner *o = (struct owner *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    if (m->kind == &Queue_RowsKind) {
        Rows_Take(o, (struct rows_changed *)m);
    }
    else if (m->kind == &Queue_UnfinishedKind) {
        Rows_FindUnscheduled(o, (struct job_ids *)m);
    }
    else if (m->kind == &Queue_AgentInboundKind) {
        take_agent_message(o, ((struct agent_inbound *)m)->m);
    }
    else if (m->kind == &Queue_ConfigKind) {
        take_config(o, ((struct config_changed *)m)->config);
    }
    else if (m->kind == &Queue_EmptiedKind) {
        OwnerDomains_Take(o, &((struct emptied_reported *)m)->emptied);
    }
}

/* Starts draining: on_tick() gives leadership up. */
static void
drain(struct task *t)
{
    ((struct owner *)t)->draining = true;
}

/* Returns the state for operators. */
static json_t *
state(const struct task *t)
{
    const struct owner *o = (const struct owner *)t;
    json_t *v =
        json_pack("{s:b,s:I,s:s}", "is_leader", o->scheduler != NULL, "term",
                  (json_int_t)o->row_term, "owner", o->row_name);

    if (o->scheduler != NULL) {
        json_object_set_new(v, "scheduler", Jobs_State(o->scheduler));
        json_object_set_new(v, "emptied", OwnerDomains_State(o));
    }
    return v;
}

/* Frees the task. */
static void
owner_free(struct task *t)
{
    struct owner *o = (struct owner *)t;

    ev_timer_stop(t->kernel->loop, &o->tick);
    ev_timer_stop(t->kernel->loop, &o->pass_timer);
    Jobs_Free(o->scheduler);
    if (o->adviser != NULL) {
        o->adviser->ops->free(o->adviser);
    }
    QueueWhy_Clear(o);
    QueueConfig_Unref(o->config);
    free(o);
}

static const struct task_ops owner_ops = {.name = TASK_OWNER,
                                          .receive = receive,
                                          .drain = drain,
                                          .state = state,
                                          .free = owner_free};

/* Starts the task. It holds no leadership yet. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct owner *o = Mem_Zero(1, sizeof(*o));

    o->store = Queue_Store(k);
    if (s->hosted.advice != NULL) {
        o->adviser = Queue_Platform()->open_adviser(k->loop, &s->hosted);
    }
    o->heartbeat_seen_ms = Clock_NowMs();
    TAILQ_INIT(&o->events);
    ev_init(&o->tick, on_tick);
    o->tick.data = o;
    ev_init(&o->pass_timer, on_pass);
    o->pass_timer.data = o;
    Kernel_AddTask(k, &o->task, &owner_ops);
    Timer_Every(k->loop, &o->tick, TICK_MS);
    return ERR_OK;
}

static struct plugin owner_plugin = {
    .name = "owner", .rank = 40, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(owner_plugin)
