#include "queue-calls.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUN_PREFIX "run/" /* key prefix of progress rows */
/* A call that waits for the store is answered after this time at the latest.
 */
#define ANSWER_TIMEOUT_MS 1200
/* The answer also comes within this share of the time that the caller waits,
 * so that it can retry twice, at other entries, before it gives up. */
#define ANSWER_SHARE 0.4
/* Most requests to cancel jobs that are not there. */
#define CANCELLED_MAX 4096
/* Interval of the check for callers that have disconnected, well below the
 * time that callers wait. */
#define CALLER_CHECK_INTERVAL_MS 250

static struct counter refused_total = {
    "parsleyfall_queue_refused_total",
    "Calls that were refused with a time to come back.", NULL, COUNTER_TOTAL};
static struct counter no_capacity_total = {
    "parsleyfall_queue_no_capacity_total",
    "Jobs that were refused as they would end too late.", NULL, COUNTER_TOTAL};
static struct counter unknown_total = {"parsleyfall_queue_unknown_total",
                                       "Calls whose outcome is not known.",
                                       NULL, COUNTER_TOTAL};

static const char *const outcome_names[] = {[QUEUE_OK] = "ok",
                                            [QUEUE_WAITING] = "waiting",
                                            [QUEUE_NO_QUEUE] = "no_queue",
                                            [QUEUE_NO_KEY] = "no_key",
                                            [QUEUE_NO_JOB] = "gone",
                                            [QUEUE_INVALID] = "invalid",
                                            [QUEUE_RETRY_LATER] = "later",
                                            [QUEUE_NO_CAPACITY] =
                                                "no_capacity",
                                            [QUEUE_CANCELLED] = "cancelled",
                                            [QUEUE_UNKNOWN] = "unknown"};

static struct counter callers_left_total = {
    "parsleyfall_queue_callers_left_total",
    "Calls whose caller left before the answer.", NULL, COUNTER_TOTAL};

/* True for a job id: 1 to 32 hexadecimal digits. */
static bool
is_id(const char *s)
{
    size_t n = strspn(s, "0123456789abcdefABCDEF");

    return n > 0 && n < JOBS_ID_SIZE && s[n] == '\0';
}

/* The job id of a call, for logs; "" when it names none. */
static const char *
job_of(const struct queue_call *call)
{
    const char *tail = strrchr(call->path, '/');

    if (*call->job != '\0') {
        return call->job;
    }
    return tail != NULL && is_id(tail + 1) ? tail + 1 : "";
}

/* Logs, once, that the caller of a call has disconnected.
 *
 * A caller's deadline may pass while the store is slow. Its job is then stored
 * and runs although the caller was never answered, and only this line explains
 * that. waits_for: the row that the call waits for, or "" when the answer is
 * ready. */
static void
note_caller_left(struct queue_call *call, const char *waits_for)
{
    if (call->caller_left || call->has_left == NULL || !call->has_left(call)) {
        return;
    }
    call->caller_left = true;
    Counter_Add(&callers_left_total, 1);
    LOG_I("caller_left", KV("job", job_of(call)), KV("path", call->path),
          KV_INT("waited_ms", Clock_NowMs() - call->started_ms),
          KV("waits_for", waits_for));
}

/* Answers a call and frees it. */
static void
finish(struct queue_call *call, enum queue_outcome outcome, const char *reason)
{
    call->outcome = outcome;
    call->reason = reason;
    if (outcome == QUEUE_RETRY_LATER) {
        call->retry_ms = RETRY_AFTER_MS;
        Counter_Add(&refused_total, 1);
    }
    if (outcome == QUEUE_NO_CAPACITY) {
        Counter_Add(&no_capacity_total, 1);
    }
    if (outcome == QUEUE_UNKNOWN) {
        Counter_Add(&unknown_total, 1);
    }
    note_caller_left(call, "");
    if (call->caller_left) {
        LOG_I("answer_unheard", KV("job", job_of(call)),
              KV("outcome", outcome_names[outcome]), KV("reason", reason),
              KV_INT("waited_ms", Clock_NowMs() - call->started_ms));
    }
    if (outcome != QUEUE_OK && outcome != QUEUE_WAITING) {
        LOG_I("call_refused", KV("job", job_of(call)),
              KV("path", *job_of(call) == '\0' ? call->path : ""),
              KV("outcome", outcome_names[outcome]), KV("reason", reason),
              KV("host", call->host), KV_INT("retry_ms", call->retry_ms));
    }
    QueueMetrics_Call(outcome, Clock_NowMs() - call->started_ms);
    call->done(call);
    Queue_CallKind.free(&call->base);
}

/* Frees an open call when its caller has been answered and no store call is
 * open. */
void
Calls_FreeOpen(struct open_call *o)
{
    if (o->call == NULL && !o->store_pending) {
        TAILQ_REMOVE(&o->in->open_calls, o, entry);
        Buf_Free(&o->value);
        free(o);
    }
}

/* Detaches the caller's call from an open call, to be answered. */
static struct queue_call *
detach_call(struct open_call *o)
{
    struct queue_call *call = o->call;

    ev_timer_stop(o->in->task.kernel->loop, &o->retry_timer);
    ev_timer_stop(o->in->task.kernel->loop, &o->answer_timer);
    o->in->open_call_count--;
    o->call = NULL;
    Calls_FreeOpen(o);
    return call;
}

/* Answers a call that waited for the store. */
void
Calls_FinishOpen(struct open_call *o, enum queue_outcome outcome,
                 const char *reason)
{
    struct queue_call *call = detach_call(o);

    finish(call, outcome, reason);
}

/* Answers a call with the cached state of a job. */
static void
answer_from_cache(struct intake *in, struct queue_call *call, const char *id)
{
    struct cached_job *j = Cache_FindJob(in, id);

    call->state = j->cancel_requested && j->state <= JOB_RUNNING
                      ? JOB_CANCELLED
                      : j->state;
    finish(call, QUEUE_OK, "known");
}

/* Answers a call that waited for a progress row with the cached state. */
static void
answer_open_from_cache(struct open_call *o)
{
    struct intake *in = o->in;
    char id[JOBS_ID_SIZE];
    struct queue_call *call;

    Str_Copy(id, sizeof(id), o->key + strlen(RUN_PREFIX));
    call = detach_call(o);
    if (Cache_FindJob(in, id) == NULL) {
        finish(call, QUEUE_RETRY_LATER, "row_unreadable");
        return;
    }
    answer_from_cache(in, call, id);
}

/* True for an open call whose row has that key prefix. */
bool
Calls_HasPrefix(const struct open_call *o, const char *prefix)
{
    return strncmp(o->key, prefix, strlen(prefix)) == 0;
}

/* Sends a write again. */
static void
on_retry(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    Calls_Write(w->data);
}

/* Answers an open call without the store. A write that was sent may still take
 * effect, so its outcome is "unknown"; the caller may submit the same id again
 * at once. The reasons are those of an unknown outcome and of a refusal. */
static void
answer_without_store(struct open_call *o, const char *unknown_reason,
                     const char *refused_reason)
{
    bool writes = o->value.len > 0;
    bool maybe_done = writes && (o->store_pending || o->maybe_done);

    if (Calls_HasPrefix(o, RUN_PREFIX)) {
        answer_open_from_cache(o);
        return;
    }
    if (writes) {
        LOG_W("write_given_up", KV("row", o->key),
              KV("error", Err_Name(o->last_error)),
              KV("maybe_done", maybe_done ? "yes" : "no"));
    }
    if (maybe_done) {
        Calls_FinishOpen(o, QUEUE_UNKNOWN, unknown_reason);
        return;
    }
    Calls_FinishOpen(o, QUEUE_RETRY_LATER, refused_reason);
}

/* Answers the caller, as the store has not answered in time.
 *
 * If the store accepts calls but answers none, a caller that waits for 3 s
 * would be answered by the first entry only after 1.5 s and have no time left
 * for a try at another entry. */
static void
on_answer_due(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    answer_without_store(w->data, "store_silent", "store_away");
}

/* Milliseconds that a call may wait for the store. */
static int64_t
answer_timeout_ms(const struct queue_call *call)
{
    int64_t share = (int64_t)(ANSWER_SHARE * (double)call->deadline_ms);

    return share > 0 && share < ANSWER_TIMEOUT_MS ? share : ANSWER_TIMEOUT_MS;
}

/* Creates an open call for the row with key prefix + id. */
static struct open_call *
open_call(struct intake *in, struct queue_call *call, const char *prefix,
          const char *id)
{
    struct open_call *o = Mem_Zero(1, sizeof(*o));
    struct buf key CLEANUP(Buf_Free) = {0};

    Buf_Printf(&key, "%s%s", prefix, id);
    Str_Copy(o->key, sizeof(o->key), key.data);
    o->in = in;
    o->call = call;
    ev_init(&o->retry_timer, on_retry);
    o->retry_timer.data = o;
    ev_init(&o->answer_timer, on_answer_due);
    o->answer_timer.data = o;
    Timer_Set(in->task.kernel->loop, &o->answer_timer,
              answer_timeout_ms(call));
    in->open_call_count++;
    TAILQ_INSERT_TAIL(&in->open_calls, o, entry);
    return o;
}

/* Returns the version of a job's row refused/ID, as far as this entry
 * knows. */
static uint64_t
refused_version(struct intake *in, const char *id)
{
    char key[sizeof(REFUSED_PREFIX) + JOBS_ID_SIZE];
    const struct cached_row *r;

    snprintf(key, sizeof(key), REFUSED_PREFIX "%s", id);
    r = Cache_Find(in, key);
    return r != NULL ? r->version : 0;
}

/* Returns the accelerators that are guaranteed to an organisation. */
static int64_t
guaranteed_to(const struct jobs_config *c, const char *organisation)
{
    for (size_t i = 0; i < c->organisation_count; i++) {
        if (strcmp(c->organisations[i].name, organisation) == 0) {
            return c->organisations[i].guaranteed;
        }
    }
    return 0;
}

/* Returns 0 when a job is to be accepted, otherwise the time after which its
 * caller should come back. */
static int64_t
decide_refusal(struct intake *in, const struct jobs_spec *s)
{
    struct submit_decision d;
    struct submitted_job job;
    int64_t now = Clock_NowMs(), return_ms;
    size_t entries;
    struct buf key CLEANUP(Buf_Free) = {0};

    if (in->admission == NULL) {
        return 0;
    }
    Buf_Printf(&key, "spec/%s", s->id);
    if (Calls_ReplaceableVersion(in, key.data) != 0) {
        return 0;
    }
    QueueAdmission_ReadJob(
        s, guaranteed_to(&in->config->jobs, s->organisation), &job);
    d = QueueAdmission_Decide(in->admission, &job,
                              Queue_OwnerTerm(in->task.kernel), now);
    if (!d.refused) {
        return 0;
    }
    entries = Cache_Count(in, "entry/");
    return_ms = QueueAdmission_Refuse(in->admission, &job, entries, now);
    LOG_I("job_refused", KV("job", s->id), KV("reason", d.reason),
          KV("queue", s->queue), KV("organisation", s->organisation),
          KV_INT("wait_ms", d.wait_ms), KV_INT("length_ms", job.length_ms),
          KV_INT("objective_ms", job.objective_ms),
          KV_INT("return_ms", return_ms), KV_INT("term", in->admission->term),
          KV_INT("forecast", in->admission->number));
    return return_ms;
}

/* True for a job that was cancelled and is not there. */
static bool
is_cancelled(struct intake *in, const char *id)
{
    const struct cached_job *j = Cache_FindJob(in, id);

    return j != NULL && j->cancel_requested && !j->has_spec;
}

/* Checks a submitted job and writes its spec row, or that it is refused. */
static void
submit(struct intake *in, struct queue_call *call,
       const struct jobs_queue *queue, const char *organisation,
       const char *id)
{
    struct open_call *o;
    int64_t return_ms;
    char why[128];

    Str_Copy(call->spec.queue, sizeof(call->spec.queue), queue->name);
    JobsQos_FromQueue(queue, &call->spec.qos);
    Str_Copy(call->spec.organisation, sizeof(call->spec.organisation),
             organisation);
    Str_Copy(call->spec.id, sizeof(call->spec.id), id);
    call->spec.accepted_ms = Clock_WallMs();
    if (JobsSpec_Check(&call->spec, why) != ERR_OK) {
        LOG_W("job_invalid", KV("job", id), KV("why", why));
        finish(call, QUEUE_INVALID, "invalid_job");
        return;
    }
    if (Cache_FindJob(in, id) != NULL && Cache_FindJob(in, id)->has_spec) {
        finish(call, QUEUE_OK, "known_already");
        return;
    }
    if (is_cancelled(in, id)) {
        call->retry_ms = REFUSED_KEEP_MS;
        finish(call, QUEUE_CANCELLED, "cancelled_before");
        return;
    }
    if (Queue_StoreUnreachable(in->task.kernel)) {
        finish(call, QUEUE_RETRY_LATER, "store_away");
        return;
    }
    return_ms = decide_refusal(in, &call->spec);
    o = open_call(in, call, return_ms > 0 ? REFUSED_PREFIX : "spec/", id);
    o->refused_version = refused_version(in, id);
    o->return_ms = return_ms;
    JobsSpec_Encode(&call->spec, &o->value);
    if (o->value.len > JOBS_ROW_MAX) {
        Calls_FinishOpen(o, QUEUE_INVALID, "job_too_big");
        return;
    }
    Calls_Write(o);
}

/* Cancels a cached job by writing its stop row. */
static void
cancel(struct intake *in, struct queue_call *call, const char *id)
{
    struct cached_job *j = Cache_FindJob(in, id);
    struct open_call *o;

    if (j->cancel_requested || j->state > JOB_RUNNING) {
        finish(call, QUEUE_OK, "ended_already");
        return;
    }
    o = open_call(in, call, STOP_PREFIX, id);
    Buf_AppendStr(&o->value, "{}");
    Calls_Write(o);
}

/* Answers with the progress row from the store if that shows more than the
 * cache, and with the cached state otherwise.
 *
 * The row is not put into the cache. Otherwise the feed's copy of it would not
 * count as new and hence not as a sign of life of the owner that wrote it, and
 * a working owner would be deposed. */
static void
on_refreshed(void *arg, int err, struct table_row *row)
{
    struct open_call *o = arg;
    const struct cached_job *j;
    enum jobs_state state;
    bool started;

    o->store_pending = false;
    if (o->call == NULL) {
        Calls_FreeOpen(o);
        return;
    }
    j = Cache_FindJob(o->in, o->key + strlen(RUN_PREFIX));
    if (err == ERR_OK && row->version != 0 && j != NULL &&
        !j->cancel_requested &&
        Jobs_ReadProgress(row->value.data, row->value.len, &state, &started) ==
            ERR_OK &&
        state > j->state) {
        o->call->state = state;
        Calls_FinishOpen(o, QUEUE_OK, "read");
        return;
    }
    answer_open_from_cache(o);
}

/* Reads a job's progress row before the answer. */
static void
refresh(struct intake *in, struct queue_call *call, const char *id)
{
    struct open_call *o = open_call(in, call, RUN_PREFIX, id);

    o->store_pending = true;
    in->store->ops->get(in->store, Queue_Platform()->own_table, o->key,
                        on_refreshed, o);
}

/* Returns the organisation that holds the key of a call, or NULL. */
static const struct jobs_organisation *
organisation_of(struct intake *in, const struct queue_call *call)
{
    return *call->key != '\0' ? JobsConfig_ByKey(&in->config->jobs, call->key)
                              : NULL;
}

/* True when a caller may see a job. The platform's callers name its queue, and
 * those of the product's own interface see the jobs of their organisation. */
static bool
may_see(struct intake *in, const struct queue_call *call,
        const struct cached_job *j)
{
    const struct jobs_organisation *o = organisation_of(in, call);

    return *call->job == '\0' ||
           strcmp(j->organisation, o != NULL ? o->name : "") == 0;
}

/* Answers a query for a cached job, or cancels the job. The state of an ended
 * job is final; that of any other may be outdated while the feed is paused, so
 * it is read from the store. */
static void
serve_known(struct intake *in, struct queue_call *call, const char *id)
{
    struct cached_job *j = Cache_FindJob(in, id);

    if (!may_see(in, call, j)) {
        finish(call, QUEUE_NO_JOB, "no_such_job");
    }
    else if (call->verb == QUEUE_CANCEL) {
        cancel(in, call, id);
    }
    else if (in->own_table.paused && !j->cancel_requested &&
             j->state <= JOB_RUNNING) {
        refresh(in, call, id);
    }
    else {
        answer_from_cache(in, call, id);
    }
}

/* Cancels a job of which the store has no row.
 *
 * A try to accept the job may still reach the store: its caller was not
 * answered, cancels the job instead, and must not see it run afterwards. So
 * the request is stored before it is confirmed, an acceptance expects that
 * there is none, and a job that was accepted meanwhile is stopped by it. */
static void
cancel_unknown(struct open_call *o)
{
    char id[JOBS_ID_SIZE];

    if (Cache_CountCancelled(o->in) >= CANCELLED_MAX) {
        Calls_FinishOpen(o, QUEUE_RETRY_LATER, "too_many_cancelled");
        return;
    }
    Str_Copy(id, sizeof(id), strchr(o->key, '/') + 1);
    snprintf(o->key, sizeof(o->key), STOP_PREFIX "%s", id);
    Buf_AppendStr(&o->value, "{}");
    o->is_unknown = true;
    Calls_Write(o);
}

/* Handles the spec row of a job that was not in the cache. */
static void
on_row_read(void *arg, int err, struct table_row *row)
{
    struct open_call *o = arg;
    struct intake *in = o->in;
    struct queue_call *call = o->call;
    char id[JOBS_ID_SIZE];

    o->store_pending = false;
    if (call == NULL) {
        Calls_FreeOpen(o);
        return;
    }
    if (err != ERR_OK) {
        Calls_FinishOpen(o, QUEUE_RETRY_LATER, "store_away");
        return;
    }
    if (row->version == 0 && call->verb == QUEUE_CANCEL) {
        cancel_unknown(o);
        return;
    }
    if (row->version == 0) {
        Calls_FinishOpen(o, QUEUE_NO_JOB, "no_such_job");
        return;
    }
    Cache_Update(in, row, 1, false, 0);
    Str_Copy(id, sizeof(id), o->key + strlen("spec/"));
    detach_call(o);
    if (Cache_FindJob(in, id) == NULL) {
        finish(call, QUEUE_RETRY_LATER, "row_unreadable");
        return;
    }
    serve_known(in, call, id);
}

/* Looks a job up in the store. Only the store can tell that a job does not
 * exist, as the cache may be behind. */
static void
look_up(struct intake *in, struct queue_call *call, const char *id)
{
    struct open_call *o = open_call(in, call, "spec/", id);

    o->store_pending = true;
    in->store->ops->get(in->store, Queue_Platform()->own_table, o->key,
                        on_row_read, o);
}

/* Finds the organisation that holds the key of a call, "" if there is none;
 * false when there is none and the queue does not allow anonymous calls. */
static bool
authenticate(struct intake *in, const struct queue_call *call,
             const struct jobs_queue *queue, const char **organisation)
{
    const struct jobs_organisation *o = organisation_of(in, call);

    *organisation = o != NULL ? o->name : "";
    return o != NULL || queue->anonymous;
}

/* Finds the queue of a call, or returns NULL, and the job id in its path. A
 * call that names only a job is for the queue of that job. */
static const struct jobs_queue *
route(struct intake *in, const struct queue_call *call, const char **id)
{
    const struct jobs_config *c = &in->config->jobs;
    const struct jobs_queue *queue;
    struct cached_job *j;

    if (*call->queue != '\0' || *call->job != '\0') {
        j = Cache_FindJob(in, call->job);
        *id = call->job;
        return JobsConfig_Queue(
            c, *call->queue == '\0' && j != NULL ? j->queue : call->queue);
    }
    queue = JobsConfig_Route(c, call->host, call->path);
    if (queue != NULL) {
        *id = call->path + strlen(queue->prefix);
    }
    return queue;
}

/* True for a call that names only a job, which is not in the cache. */
static bool
names_unknown_job(struct intake *in, const struct queue_call *call)
{
    const struct cached_job *j = Cache_FindJob(in, call->job);

    return *call->job != '\0' && *call->queue == '\0' && is_id(call->job) &&
           (j == NULL || !j->has_spec);
}

/* Serves a call, which is answered now or later. */
void
Intake_Call(struct intake *in, struct queue_call *call)
{
    const struct jobs_queue *queue;
    const char *organisation, *id;
    struct cached_job *j;

    if (in->config == NULL) {
        finish(call, QUEUE_RETRY_LATER, "no_configuration");
        return;
    }
    if (names_unknown_job(in, call) && organisation_of(in, call) != NULL) {
        look_up(in, call, call->job);
        return;
    }
    queue = route(in, call, &id);
    if (queue == NULL) {
        finish(call, QUEUE_NO_QUEUE, "no_such_queue");
        return;
    }
    if (!authenticate(in, call, queue, &organisation)) {
        finish(call, QUEUE_NO_KEY, "unknown_key");
        return;
    }
    if (*id == '\0' && call->verb == QUEUE_QUERY) {
        call->waiting = Cache_CountWaiting(in, queue->name);
        finish(call, QUEUE_WAITING, "counted");
        return;
    }
    if (!is_id(id)) {
        finish(call, QUEUE_INVALID, "malformed_id");
        return;
    }
    if (call->verb == QUEUE_SUBMIT) {
        submit(in, call, queue, organisation, id);
        return;
    }
    j = Cache_FindJob(in, id);
    if (j == NULL || !j->has_spec) {
        look_up(in, call, id);
        return;
    }
    serve_known(in, call, id);
}

/* Logs callers of open calls that have disconnected. */
static void
on_caller_check(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct intake *in = w->data;
    struct open_call *o;

    TAILQ_FOREACH (o, &in->open_calls, entry) {
        if (o->call != NULL) {
            note_caller_left(o->call, o->key);
        }
    }
}

/* Starts the check for callers that have disconnected. */
void
Calls_Start(struct intake *in)
{
    ev_init(&in->caller_check_timer, on_caller_check);
    in->caller_check_timer.data = in;
    Timer_Every(in->task.kernel->loop, &in->caller_check_timer,
                CALLER_CHECK_INTERVAL_MS);
}

/* Answers all open calls, as the process ends before the store answers. */
void
Calls_AnswerOpen(struct intake *in)
{
    struct open_call *o, *next;

    TAILQ_FOREACH_SAFE (o, &in->open_calls, entry, next) {
        if (o->call != NULL) {
            answer_without_store(o, "stopping", "stopping");
        }
    }
}

/* Stops the check and frees open calls whose callers have been answered. */
void
Calls_Stop(struct intake *in)
{
    struct open_call *o, *next;

    TAILQ_FOREACH_SAFE (o, &in->open_calls, entry, next) {
        if (o->call == NULL) {
            o->store_pending = false;
            Calls_FreeOpen(o);
        }
    }
    ev_timer_stop(in->task.kernel->loop, &in->caller_check_timer);
}
