#include "queue-calls.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_PAUSE_MS 60
/* Value of rows that count by their presence alone. */
#define MARKER_VALUE "{}"

static struct counter accepted_total = {"parsleyfall_queue_accepted_total",
                                        "Jobs accepted by this entry.", NULL,
                                        COUNTER_TOTAL};
static struct counter cancelled_total = {
    "parsleyfall_queue_cancelled_unknown_total",
    "Jobs that were cancelled before any entry knew of them.", NULL,
    COUNTER_TOTAL};
static struct counter not_refused_total = {
    "parsleyfall_queue_not_refused_total",
    "Jobs submitted as usual as their refusal could not be stored.", NULL,
    COUNTER_TOTAL};

/* Puts a row that this entry has written into the cache and sends it to the
 * owner's entry at once. */
static void
publish_row(struct open_call *o, uint64_t version)
{
    struct table_row row = {.key = Mem_Dup(o->key), .version = version};

    Buf_Set(&row.value, o->value.data, o->value.len);
    Notify_Owner(o->in, &row);
    Cache_Update(o->in, &row, 1, false, 0);
    free(row.key);
    Buf_Free(&row.value);
}

/* Tries a write again after a pause. */
static void
retry(struct open_call *o, int err)
{
    o->last_error = err;
    Timer_Set(o->in->task.kernel->loop, &o->retry_timer, RETRY_PAUSE_MS);
}

/* Answers that the job is not accepted, as it was refused. */
static void
finish_refused(struct open_call *o, int64_t return_ms, const char *reason)
{
    o->call->retry_ms = return_ms;
    Calls_FinishOpen(o, QUEUE_NO_CAPACITY, reason);
}

/* Stores a row without a meaning in its value in the cache. */
static void
cache_marker(struct intake *in, const char *key, uint64_t version)
{
    struct table_row row = {.key = Mem_Dup(key), .version = version};

    Buf_AppendStr(&row.value, MARKER_VALUE);
    Cache_Update(in, &row, 1, false, 0);
    free(row.key);
    Buf_Free(&row.value);
}

/* Handles the row stop/ID after an acceptance has found a row in its way,
 * which was neither the spec nor a refusal. */
static void
on_stop_read(void *arg, int err, struct table_row *row)
{
    struct open_call *o = arg;

    o->store_pending = false;
    if (o->call == NULL) {
        Calls_FreeOpen(o);
        return;
    }
    if (err == ERR_OK && row->version != 0) {
        o->call->retry_ms = REFUSED_KEEP_MS;
        Calls_FinishOpen(o, QUEUE_CANCELLED, "cancelled_before");
        return;
    }
    retry(o, err != ERR_OK ? err : ERR_CONFLICT);
}

/* Reads another row of the job that an open call is about. */
static void
read_row_of_job(struct open_call *o, const char *prefix, table_got done)
{
    char key[sizeof(o->key) + sizeof(REFUSED_PREFIX)];

    snprintf(key, sizeof(key), "%s%s", prefix, strchr(o->key, '/') + 1);
    o->store_pending = true;
    o->in->store->ops->get(o->in->store, Queue_Platform()->own_table, key,
                           done, o);
}

/* Handles the row refused/ID after an acceptance has found a row in its way,
 * which was not the spec.
 *
 * If the job was refused after this call began, by another entry to which the
 * same caller turned, it must not be accepted by this one. It may also have
 * been refused before, if the feed has not brought that row yet; the caller
 * then comes back once more. Without a row, the one that was expected has been
 * deleted, which takes longer than any call. */
static void
on_refused_read(void *arg, int err, struct table_row *row)
{
    struct open_call *o = arg;
    uint64_t version = row != NULL ? row->version : 0;

    o->store_pending = false;
    if (o->call == NULL) {
        Calls_FreeOpen(o);
        return;
    }
    if (err == ERR_OK && version != 0 && version != o->refused_version) {
        Cache_Update(o->in, row, 1, false, 0);
        finish_refused(o, RETRY_AFTER_MS, "refused_elsewhere");
        return;
    }
    if (err != ERR_OK) {
        retry(o, err);
        return;
    }
    o->refused_version = version;
    read_row_of_job(o, STOP_PREFIX, on_stop_read);
}

/* Handles the spec row after an acceptance has found a row in its way. */
static void
on_spec_read(void *arg, int err, struct table_row *row)
{
    struct open_call *o = arg;

    o->store_pending = false;
    if (o->call == NULL) {
        Calls_FreeOpen(o);
        return;
    }
    if (err != ERR_OK) {
        retry(o, err);
        return;
    }
    if (row->version != 0) {
        Calls_FinishOpen(o, QUEUE_OK, "known_already");
        return;
    }
    read_row_of_job(o, REFUSED_PREFIX, on_refused_read);
}

/* Finds out which row is in the way of an acceptance. */
static void
read_conflict(struct open_call *o)
{
    read_row_of_job(o, "spec/", on_spec_read);
}

/* Handles the result of a refusal. If it can't be stored, the job is submitted
 * as usual: an acceptance that succeeds makes the refusal fail, should that
 * still be on its way, and the other way round. */
static void
on_refusal_written(struct open_call *o, int err, const uint64_t *versions)
{
    char id[JOBS_ID_SIZE];

    Str_Copy(id, sizeof(id), strchr(o->key, '/') + 1);
    if (err == ERR_OK) {
        cache_marker(o->in, o->key, versions[0]);
        finish_refused(o, o->return_ms, "no_capacity");
        return;
    }
    QueueAdmission_Forget(o->in->admission, id);
    if (err == ERR_CONFLICT) {
        Calls_FinishOpen(o, QUEUE_OK, "known_already");
        return;
    }
    Counter_Add(&not_refused_total, 1);
    LOG_W("refusal_not_stored", KV("job", id), KV("error", Err_Name(err)));
    snprintf(o->key, sizeof(o->key), "spec/%s", id);
    Calls_Write(o);
}

/* Answers that there is no job, which was to be cancelled. The row is left to
 * the feed: if it were cached before an acceptance that precedes it, it would
 * no longer be new when the feed brings both, and the owner would miss it. */
static void
finish_unknown_cancelled(struct open_call *o)
{
    Counter_Add(&cancelled_total, 1);
    LOG_I("job_cancelled_unknown", KV("job", strchr(o->key, '/') + 1));
    Calls_FinishOpen(o, QUEUE_NO_JOB, "no_such_job");
}

/* Logs and counts an accepted or cancelled job, and answers its caller. */
static void
finish_written(struct open_call *o, bool submit, uint64_t version)
{
    const struct jobs_spec *s = &o->call->spec;
    const struct jobs_step *step = submit ? &s->steps[0] : NULL;

    if (submit) {
        Counter_Add(&accepted_total, 1);
        if (o->in->admission != NULL) {
            QueueAdmission_Forget(o->in->admission, s->id);
        }
    }
    LOG_I(submit ? "job_accepted" : "job_cancelled",
          KV("job", strchr(o->key, '/') + 1), KV("queue", s->queue),
          KV("organisation", s->organisation), KV_INT("steps", s->step_count),
          KV_INT("tasks", submit ? (int64_t)step->count : 0),
          KV_INT("accelerators", submit ? step->need.accelerators : 0),
          KV_INT("estimate_ms", submit ? step->estimate_ms : 0),
          KV_INT("version", version));
    publish_row(o, version);
    Calls_FinishOpen(o, QUEUE_OK, "stored");
}

/* Handles the result of a write whose caller has been answered. The row of a
 * job that is not there needs nothing more, as the feed brings it. */
static void
on_written_late(struct open_call *o, int err, const uint64_t *versions)
{
    if (err == ERR_OK && !o->is_unknown &&
        !Calls_HasPrefix(o, REFUSED_PREFIX)) {
        LOG_I("stored_unheard", KV("row", o->key),
              KV_INT("version", versions[0]));
        publish_row(o, versions[0]);
    }
    Calls_FreeOpen(o);
}

/* Handles the result of a write.
 *
 * A write whose answer was lost may have taken effect, or may do so seconds
 * later. If it were refused, the caller would believe that the job was not
 * accepted while it runs. A refusal is therefore given only when every try was
 * certainly rejected; otherwise the outcome is "unknown", and the caller may
 * submit the same id again. */
static void
on_written(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct open_call *o = arg;
    bool submit = Calls_HasPrefix(o, "spec/");

    o->store_pending = false;
    if (o->call == NULL) {
        on_written_late(o, err, versions);
        return;
    }
    if (Calls_HasPrefix(o, REFUSED_PREFIX)) {
        on_refusal_written(o, err, versions);
        return;
    }
    if (err == ERR_OK && o->is_unknown) {
        finish_unknown_cancelled(o);
        return;
    }
    if (err == ERR_OK) {
        finish_written(o, submit, versions[0]);
        return;
    }
    if (err == ERR_CONFLICT && submit) {
        read_conflict(o);
        return;
    }
    if (err == ERR_INVALID) {
        Calls_FinishOpen(o, QUEUE_INVALID, "the store refuses its row");
        return;
    }
    o->maybe_done = o->maybe_done || err == ERR_UNKNOWN;
    retry(o, err);
}

/* The version that the spec row must have for a job to be written: 0, so that
 * there is none, or that of an unreadable row for which no readable value is
 * known. Submitting such a job again repairs its row. */
uint64_t
Calls_ReplaceableVersion(struct intake *in, const char *key)
{
    const struct cached_row *r = Cache_Find(in, key);
    const struct cached_job *j = Cache_FindJob(in, strchr(key, '/') + 1);

    return r != NULL && r->corrupt && (j == NULL || !j->has_spec) ? r->version
                                                                  : 0;
}

/* Returns an operation on a row of the own table, without a value. */
static struct table_op
condition(enum table_verb verb, const char *key, uint64_t if_version)
{
    return (struct table_op){.verb = verb,
                             .table = Queue_Platform()->own_table,
                             .key = key,
                             .if_version = if_version};
}

/* The transaction of an open call, and the keys of its further rows. */
struct call_write {
    struct table_op ops[3];
    char keys[2][sizeof(REFUSED_PREFIX) + JOBS_ID_SIZE];
    size_t count;
};

/* Adds a condition on another row of the job. */
static void
add_condition(struct call_write *w, enum table_verb verb, const char *prefix,
              const char *id, uint64_t if_version)
{
    char *key = w->keys[w->count - 1];

    snprintf(key, sizeof(w->keys[0]), "%s%s", prefix, id);
    w->ops[w->count++] = condition(verb, key, if_version);
}

/* Composes the transaction of an open call.
 *
 * A refused job must never run, although an earlier try to accept it may reach
 * the store after the refusal. Every acceptance therefore expects the version
 * of refused/ID that it has read when it began, and a refusal, which changes
 * that version, expects that there is no spec. A late write of either kind
 * fails once the other has been made. An acceptance also fails once the job
 * has been cancelled, and a cancellation has no condition: made late, it stops
 * a job that was accepted before it. */
static void
compose_write(struct open_call *o, struct call_write *w)
{
    const char *id = strchr(o->key, '/') + 1;

    w->ops[0] = condition(TABLE_PUT, o->key, TABLE_ANY);
    w->ops[0].value = o->value.data;
    w->ops[0].len = o->value.len;
    w->count = 1;
    if (Calls_HasPrefix(o, REFUSED_PREFIX)) {
        /* The value is the spec, for a refusal that can't be stored. */
        w->ops[0].value = MARKER_VALUE;
        w->ops[0].len = strlen(MARKER_VALUE);
        add_condition(w, TABLE_CHECK, "spec/", id, 0);
    }
    if (Calls_HasPrefix(o, "spec/")) {
        w->ops[0].if_version = Calls_ReplaceableVersion(o->in, o->key);
        add_condition(w, o->refused_version != 0 ? TABLE_DELETE : TABLE_CHECK,
                      REFUSED_PREFIX, id, o->refused_version);
        add_condition(w, TABLE_CHECK, STOP_PREFIX, id, 0);
    }
}

/* Sends the write of an open call to the store. */
void
Calls_Write(struct open_call *o)
{
    struct table *store = o->in->store;
    struct call_write w = {0};

    compose_write(o, &w);
    o->last_error = ERR_UNKNOWN;
    o->store_pending = true;
    store->ops->commit(store, w.ops, w.count, on_written, o);
}
