#include "agent-parts.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
/* Timeout of one attempt of a call of the runner, and of the call with its
 * retries. After the latter the part's state leads to a new call. */
#define RUNNER_ATTEMPT_TIMEOUT_MS 1000
#define RUNNER_CALL_TIMEOUT_MS 3000

static struct counter granted_total = {
    "parsleyfall_agent_reservations_total",
    "Reservations made for gangs, claims included.", NULL, COUNTER_TOTAL};
static struct counter denied_total = {
    "parsleyfall_agent_reservations_refused_total",
    "Prepares and releases that were refused.", NULL, COUNTER_TOTAL};
static struct counter displaced_total = {
    "parsleyfall_agent_parts_displaced_total",
    "Lent parts that had to make room for a claim.", NULL, COUNTER_TOTAL};
static struct counter lapsed_total = {
    "parsleyfall_agent_leases_lapsed_total",
    "Reservations and leases of gangs that nobody renewed.", NULL,
    COUNTER_TOTAL};

/* Sends the refusal of a prepare with its reason. */
static void
send_refused(struct parts_task *t, const char *origin,
             const struct wire_prepare *m, const struct parts_verdict *v)
{
    struct wire_prepared *reply = Wire_New(WIRE_PREPARED);
    const char *reason = v->reason == PARTS_CLAIM
                             ? Cells_ClaimName(v->claim)
                             : Parts_ReasonName(v->reason);

    reply->job = m->job;
    reply->attempt = m->attempt;
    reply->term = m->term;
    reply->incarnation = t->parts.incarnation;
    reply->busy = v->busy;
    Str_Copy(reply->reason, sizeof(reply->reason), reason);
    Agent_Send(t->task.kernel, origin, &reply->msg);
}

/* Counts and logs a refusal. */
static void
log_refused(const char *what, const struct id *job, uint64_t attempt,
            const struct parts_verdict *v)
{
    char hex[ID_HEX_SIZE];

    Counter_Add(&denied_total, 1);
    LOG_I(
        "part_refused", KV("what", what), KV("job", Id_Hex(job, hex)),
        KV_INT("attempt", attempt), KV("reason", Parts_ReasonName(v->reason)),
        KV("claim", v->reason == PARTS_CLAIM ? Cells_ClaimName(v->claim) : ""),
        KV_INT("busy", v->busy));
}

/* Handles a prepare, by which an owner reserves accelerators. The grant is
 * sent later, by PartsReport_Changes, when the accelerators are free. */
static void
handle_prepare(struct parts_task *t, const char *origin,
               const struct wire_msg *msg)
{
    const struct wire_prepare *m = (const struct wire_prepare *)msg;
    struct parts_verdict v = Parts_Prepare(&t->parts, m, Clock_NowMs());

    if (v.reason == PARTS_GRANTED || v.reason == PARTS_DUPLICATE) {
        Str_Copy(v.part->origin, sizeof(v.part->origin), origin);
        v.part->grant_sent = false;
        Counter_Add(&granted_total, v.reason == PARTS_GRANTED);
        Counter_Add(&displaced_total, v.displaced);
        return;
    }
    log_refused("prepare", &m->job, m->attempt, &v);
    send_refused(t, origin, m, &v);
}

/* Reports a refused release as a stopped part, as no part exists for it. */
static void
send_release_refused(struct parts_task *t, const char *origin,
                     const struct wire_release *m, enum parts_reason reason)
{
    struct wire_task *reply = Wire_New(WIRE_TASK);

    reply->job = m->job;
    reply->attempt = m->attempt;
    reply->term = m->term;
    reply->incarnation = t->parts.incarnation;
    reply->state = PART_STOPPED;
    reply->checkpoint_ms = -1;
    Str_Copy(reply->reason, sizeof(reply->reason), Parts_ReasonName(reason));
    Agent_Send(t->task.kernel, origin, &reply->msg);
}

/* Handles a release: the owner has committed, so the task is started. The
 * reply to a copy is the present state of the part. */
static void
handle_release(struct parts_task *t, const char *origin,
               const struct wire_msg *msg)
{
    const struct wire_release *m = (const struct wire_release *)msg;
    struct parts_verdict v = Parts_Release(&t->parts, m, Clock_NowMs());

    if (v.reason == PARTS_GRANTED) {
        return;
    }
    if (v.part != NULL && !v.part->changed) {
        PartsReport_Task(t, origin, v.part);
    }
    else if (v.part == NULL) {
        send_release_refused(t, origin, m, v.reason);
    }
    if (v.reason != PARTS_DUPLICATE) {
        log_refused("release", &m->job, m->attempt, &v);
    }
}

/* Handles the renewal of the leases of gangs whose members are all present. */
static void
handle_renew(struct parts_task *t, const char *origin,
             const struct wire_msg *msg)
{
    const struct wire_renew *m = (const struct wire_renew *)msg;

    if (PartsPulse_HandleRenew(t, origin, m)) {
        Parts_Renew(&t->parts, m, Clock_NowMs());
    }
}

/* Handles an owner's message to stop, throttle or resume a part. */
static void
handle_stop(struct parts_task *t, const char *origin,
            const struct wire_msg *msg)
{
    const struct wire_stop *m = (const struct wire_stop *)msg;
    struct parts_verdict v = Parts_Stop(&t->parts, m, Clock_NowMs());

    if (v.part != NULL) {
        PartsReport_Task(t, origin, v.part);
    }
}

/* Handles a fence: nothing of the job up to a rank may run any more. */
static void
handle_fence(struct parts_task *t, const char *origin,
             const struct wire_msg *msg)
{
    const struct wire_fence *m = (const struct wire_fence *)msg;
    struct wire_fenced *reply = Wire_New(WIRE_FENCED);
    bool done;

    Parts_Fence(&t->parts, m, Clock_NowMs(), &done);
    reply->job = m->job;
    reply->attempt = m->attempt;
    reply->term = m->term;
    reply->incarnation = t->parts.incarnation;
    reply->done = done;
    Agent_Send(t->task.kernel, origin, &reply->msg);
}

/* Handles the bindings of this worker's accelerators to organisations, which
 * the owner of this region sends. */
static void
handle_bind(struct parts_task *t, const char *origin,
            const struct wire_msg *msg)
{
    const struct wire_bind *m = (const struct wire_bind *)msg;
    enum parts_reason reason;

    if (strcmp(m->scope, t->settings->region) != 0) {
        LOG_W("bind_of_other_region", KV("region", m->scope),
              KV("entry", origin));
        return;
    }
    reason = Parts_Bind(&t->parts, m);
    LOG_I("bind", KV_INT("version", m->version), KV_INT("term", m->term),
          KV("result", Parts_ReasonName(reason)));
}

static const struct {
    enum wire_type type;
    void (*handle)(struct parts_task *, const char *, const struct wire_msg *);
} handlers[] = {
    {WIRE_PREPARE, handle_prepare}, {WIRE_RELEASE, handle_release},
    {WIRE_RENEW, handle_renew},     {WIRE_STOP, handle_stop},
    {WIRE_FENCE, handle_fence},     {WIRE_BIND, handle_bind},
};

/* Ends leases that are over, then makes the due calls of the runner and sends
 * the due reports. */
static void
update(struct parts_task *t)
{
    int64_t now = Clock_NowMs();

    Counter_Add(&lapsed_total, (int64_t)Parts_Tick(&t->parts, now));
    PartsRunner_Update(t, now);
    PartsReport_Changes(t, now);
}

/* Handles a message from an entry. Leases that are over end first: after a
 * pause of the process, messages that were queued meanwhile must not act on a
 * lease that is over. */
static void
handle_inbound(struct parts_task *t, const struct inbound *in)
{
    size_t i;

    Parts_Tick(&t->parts, Clock_NowMs());
    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].type == in->m->type) {
            handlers[i].handle(t, in->origin, in->m);
            break;
        }
    }
    update(t);
}

/* Handles a message by its kind. */
static void
parts_receive(struct task *task, struct message *m)
{
    struct parts_task *t = (struct parts_task *)task;

    if (m->kind == &Agent_Inbound) {
        handle_inbound(t, (const struct inbound *)m);
    }
    else if (m->kind == &Agent_Reachable) {
        PartsPulse_SetReachable(t, (const struct reachable_note *)m);
    }
}

/* Updates all parts periodically. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    update(w->data);
}

/* Sends the pulses, the heartbeats of the gangs. */
static void
on_pulse(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct parts_task *t = w->data;

    update(t);
    PartsPulse_Send(t, Clock_NowMs());
}

/* Ends the reservations and refuses new ones. Tasks go on under their leases:
 * they live in the worker, and the next agent process adopts them. */
static void
parts_drain(struct task *task)
{
    struct parts_task *t = (struct parts_task *)task;

    Parts_Drain(&t->parts, Clock_NowMs());
    update(t);
}

/* The state of the parts as JSON, for operators. */
static json_t *
parts_state(const struct task *task)
{
    return PartsReport_State((const struct parts_task *)task);
}

/* Frees the task "parts"; the tasks at the worker go on. */
static void
parts_free(struct task *task)
{
    struct parts_task *t = (struct parts_task *)task;

    ev_timer_stop(task->kernel->loop, &t->tick);
    ev_timer_stop(task->kernel->loop, &t->pulse);
    PartsRunner_Free(t);
    PartsPulse_Free(t);
    Parts_Free(&t->parts);
    free(t);
}

static const struct task_ops parts_ops = {
    .name = "parts",
    .receive = parts_receive,
    .drain = parts_drain,
    .state = parts_state,
    .free = parts_free,
};

/* Starts a repeating timer of the task. */
static void
start_timer(struct parts_task *t, ev_timer *w,
            void (*on_time)(struct ev_loop *, ev_timer *, int), int64_t ms)
{
    ev_init(w, on_time);
    w->data = t;
    Timer_Every(t->task.kernel->loop, w, ms);
}

/* Starts the task, with a runner if the settings name one. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    const struct platform_limits limits = {
        .timeout_ms = RUNNER_ATTEMPT_TIMEOUT_MS,
        .give_up_ms = RUNNER_CALL_TIMEOUT_MS};
    struct parts_task *t = Mem_Zero(1, sizeof(*t));

    t->settings = s;
    TAILQ_INIT(&t->calls);
    TAILQ_INIT(&t->renewers);
    Parts_Init(&t->parts, (int)s->accelerators, Agent_Incarnation());
    Kernel_AddTask(k, &t->task, &parts_ops);
    t->runner = Platform_HttpRunner(k->loop, s->runner_url, &limits);
    t->parts.no_runner = t->runner == NULL;
    start_timer(t, &t->tick, on_tick, TICK_MS);
    start_timer(t, &t->pulse, on_pulse, GANG_PULSE_MS);
    update(t);
    return ERR_OK;
}

static struct plugin parts_plugin = {
    .name = "parts", .rank = 30, .start = start};
KERNEL_PLUGIN(parts_plugin)
