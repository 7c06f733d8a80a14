#include "agent-parts.h"

#include <stdlib.h>

#define LIST_RUNNING_MS 1000 /* while parts run */
#define LIST_FAST_MS 100     /* while a start or a stop is unconfirmed */
#define LIST_IDLE_MS 10000
/* Smallest extension of a lease that is passed on to the runner. */
#define LEASE_REPORT_MIN_MS 500

static struct counter starts_total = {"parsleyfall_agent_part_starts_total",
                                      "Parts that the runner has started.",
                                      NULL, COUNTER_TOTAL};
static struct counter errors_total = {
    "parsleyfall_agent_runner_errors_total",
    "Calls of the task runner that failed or whose outcome is unknown.", NULL,
    COUNTER_TOTAL};

/* Opens a call for a part. */
static struct runner_call *
open_call(struct parts_task *t, struct part *part, enum runner_call_kind kind)
{
    struct runner_call *c = Mem_Zero(1, sizeof(*c));

    c->task = t;
    c->kind = kind;
    c->job = part->job;
    c->attempt = part->attempt;
    c->term = part->term;
    c->lease = part->lease_until;
    part->open_calls |= kind;
    TAILQ_INSERT_TAIL(&t->calls, c, entry);
    return c;
}

/* Records the outcome of a call in its part. */
static void
record_outcome(struct parts_task *t, const struct runner_call *c,
               struct part *part, int err)
{
    int64_t now = Clock_NowMs();

    part->open_calls &= ~(unsigned)c->kind;
    if (c->kind == CALL_START) {
        Parts_RecordStart(&t->parts, part, err, now);
        Counter_Add(&starts_total, err == ERR_OK);
    }
    if (err != ERR_OK) {
        return;
    }
    if (c->kind != CALL_CONTROL && c->lease > part->lease_reported) {
        part->lease_reported = c->lease;
    }
    if (c->kind == CALL_CONTROL &&
        (c->verb == RUNNER_THROTTLE || c->verb == RUNNER_RESUME)) {
        part->throttle_reported = c->verb == RUNNER_THROTTLE;
    }
}

/* Records the end of a call, and frees it. */
static void
on_done(void *arg, int err)
{
    struct runner_call *c = arg;
    struct parts_task *t = c->task;
    struct part *part = Parts_Find(&t->parts, &c->job, c->attempt, c->term);
    char hex[ID_HEX_SIZE];

    if (err != ERR_OK) {
        Counter_Add(&errors_total, 1);
        LOG_W("runner_call_failed", KV("job", Id_Hex(&c->job, hex)),
              KV_INT("attempt", c->attempt), KV_INT("kind", c->kind),
              KV("error", Err_Name(err)));
    }
    if (part != NULL) {
        record_outcome(t, c, part, err);
    }
    TAILQ_REMOVE(&t->calls, c, entry);
    free(c);
    PartsReport_Changes(t, Clock_NowMs());
}

/* Converts the end of a lease from the agent's clock to the worker's. The
 * reading of the worker's clock was made before clock_read_at, so the worker
 * ends the lease no later than the agent does. */
static int64_t
to_worker_clock(const struct parts_task *t, int64_t until)
{
    return t->worker_clock + (until - t->clock_read_at);
}

/* Requests the start of a released part. */
static void
request_start(struct parts_task *t, struct part *part)
{
    char label[RUNNER_LABEL_SIZE];
    struct runner_start start = {
        .agent = t->parts.incarnation,
        .job = part->job,
        .attempt = part->attempt,
        .accelerators = part->accelerators,
        .until = to_worker_clock(t, part->lease_until),
        .label = label,
        .spec = part->spec.data != NULL ? part->spec.data : "",
        .spec_len = part->spec.len,
    };

    Parts_Label(part, label);
    part->start = START_REQUESTED;
    t->runner->ops->start(t->runner, &start, on_done,
                          open_call(t, part, CALL_START));
}

/* Requests a longer lease at the runner. */
static void
request_renew(struct parts_task *t, struct part *part)
{
    t->runner->ops->renew(t->runner, &part->job, part->attempt,
                          to_worker_clock(t, part->lease_until), on_done,
                          open_call(t, part, CALL_RENEW));
}

/* Requests that a part's task stops, is throttled or resumes. */
static void
request_control(struct parts_task *t, struct part *part, enum runner_verb verb)
{
    struct runner_call *c = open_call(t, part, CALL_CONTROL);

    c->verb = verb;
    t->runner->ops->control(t->runner, &part->job, part->attempt, verb,
                            on_done, c);
}

/* Renews a part's lease at the runner when it has grown enough. */
static void
update_lease(struct parts_task *t, struct part *part)
{
    if ((part->open_calls & CALL_RENEW) == 0 &&
        part->lease_until >= part->lease_reported + LEASE_REPORT_MIN_MS) {
        request_renew(t, part);
    }
}

/* Makes the calls for a running part: its start, then its lease and its
 * throttling. */
static void
update_running(struct parts_task *t, struct part *part)
{
    if (part->start != START_CONFIRMED) {
        if ((part->open_calls & CALL_START) == 0) {
            request_start(t, part);
        }
        return;
    }
    update_lease(t, part);
    if ((part->open_calls & CALL_CONTROL) == 0 &&
        part->throttled != part->throttle_reported) {
        request_control(t, part,
                        part->throttled ? RUNNER_THROTTLE : RUNNER_RESUME);
    }
}

/* Makes the calls for a part that may write its checkpoint while its grace
 * lasts. */
static void
update_checkpointing(struct parts_task *t, struct part *part)
{
    update_lease(t, part);
    if ((part->open_calls & CALL_CONTROL) == 0 &&
        !part->checkpoint_requested) {
        part->checkpoint_requested = true;
        request_control(t, part, RUNNER_CHECKPOINT_AND_STOP);
    }
}

/* Requests that a part's task stops at once. The first request does not wait
 * for the reply to an earlier control call, which may never come. */
static void
update_stopping(struct parts_task *t, struct part *part)
{
    if (part->stop_requested && (part->open_calls & CALL_CONTROL) != 0) {
        return;
    }
    part->stop_requested = true;
    request_control(t, part, RUNNER_STOP);
}

/* Interval at which the runner's list is requested. */
static int64_t
list_interval(const struct parts_task *t)
{
    const struct part *part;
    int64_t ms = LIST_IDLE_MS;

    if (!t->parts.ready) {
        return LIST_FAST_MS;
    }
    TAILQ_FOREACH (part, &t->parts.list, entry) {
        if (part->state == PART_STOPPING ||
            (part->state == PART_RUNNING && part->start != START_CONFIRMED)) {
            return LIST_FAST_MS;
        }
        if (Parts_HoldsAccelerators(part)) {
            ms = LIST_RUNNING_MS;
        }
    }
    return ms;
}

/* Handles the runner's list of tasks. */
static void
on_list(void *arg, int err, const struct runner_task *tasks, size_t count,
        int64_t clock)
{
    struct parts_task *t = arg;
    int64_t now = Clock_NowMs();
    bool first = !t->parts.ready;

    t->listing = false;
    if (err != ERR_OK) {
        Counter_Add(&errors_total, 1);
        LOG_W("runner_list_failed", KV("error", Err_Name(err)));
        return;
    }
    t->worker_clock = clock;
    t->clock_read_at = now;
    Parts_Reconcile(&t->parts, tasks, count, clock, t->list_requested_at, now);
    if (first) {
        t->adopted = !TAILQ_EMPTY(&t->parts.list);
        LOG_I("runner_listed", KV_INT("tasks", count));
    }
    PartsReport_Changes(t, now);
}

/* Requests the list when it is due. Until the first list has arrived, the call
 * is one that also attaches this agent process to the runner. */
static void
update_list(struct parts_task *t, int64_t now)
{
    if (t->listing || now - t->list_requested_at < list_interval(t)) {
        return;
    }
    t->listing = true;
    t->list_requested_at = now;
    if (t->parts.ready) {
        t->runner->ops->list(t->runner, on_list, t);
        return;
    }
    t->runner->ops->attach(t->runner, t->parts.incarnation, on_list, t);
}

/* Makes the calls that follow from the states of the parts. They are derived
 * from the state each time, so that a lost reply costs only a repeated call.
 */
void
PartsRunner_Update(struct parts_task *t, int64_t now)
{
    struct part *part;

    if (t->runner == NULL) {
        return;
    }
    TAILQ_FOREACH (part, &t->parts.list, entry) {
        if (part->state == PART_RUNNING) {
            update_running(t, part);
        }
        else if (part->checkpointing) {
            update_checkpointing(t, part);
        }
        else if (part->state == PART_STOPPING) {
            update_stopping(t, part);
        }
    }
    update_list(t, now);
}

/* Frees the runner and its open calls. */
void
PartsRunner_Free(struct parts_task *t)
{
    struct runner_call *c;

    if (t->runner != NULL) {
        t->runner->ops->free(t->runner);
    }
    while ((c = TAILQ_FIRST(&t->calls)) != NULL) {
        TAILQ_REMOVE(&t->calls, c, entry);
        free(c);
    }
}
