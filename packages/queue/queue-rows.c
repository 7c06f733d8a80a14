#include "queue-owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct counter is_leader = {"parsleyfall_queue_owner",
                                   "1 while this entry gives the orders.",
                                   NULL, COUNTER_GAUGE};
static struct counter takeover_ms = {
    "parsleyfall_queue_takeover_ms",
    "Time from election until the rows are read.", NULL, COUNTER_LATENCY};
static struct counter takeovers = {"parsleyfall_queue_takeovers_total",
                                   "Times this entry became the owner.", NULL,
                                   COUNTER_TOTAL};

static struct counter unscheduled_total = {
    "parsleyfall_queue_found_unscheduled_total",
    "Accepted jobs that the owner did not schedule until a check found them.",
    NULL, COUNTER_TOTAL};

/* True if value is a JSON object. A row that requests something by its
 * presence requests nothing with any other value. */
bool
Queue_IsJsonObject(const struct buf *value)
{
    json_t *o = json_loadb(value->data != NULL ? value->data : "", value->len,
                           0, NULL);
    bool is = json_is_object(o);

    json_decref(o);
    return is;
}

/* Finds the row with key prefix + id, or returns NULL. */
static const struct table_row *
find_row(const struct rows_changed *r, const char *prefix, const char *id)
{
    size_t len = strlen(prefix);

    for (size_t i = 0; i < r->count; i++) {
        if (strncmp(r->rows[i].key, prefix, len) == 0 &&
            strcmp(r->rows[i].key + len, id) == 0) {
            return &r->rows[i];
        }
    }
    return NULL;
}

/* The text of a progress row, or NULL when there is no row. An empty row is
 * "", as it differs from none. */
static const char *
progress_text(const struct table_row *run)
{
    if (run == NULL) {
        return NULL;
    }
    return run->value.data != NULL ? run->value.data : "";
}

/* Adds an accepted job to the scheduler, with its progress row if there is
 * one. */
static void
add_job(struct owner *o, const struct table_row *row,
        const struct table_row *run)
{
    struct jobs_spec spec CLEANUP(JobsSpec_Clear) = {0};
    int err;

    if (JobsSpec_Decode(row->value.data, row->value.len, &spec) != ERR_OK ||
        strcmp(spec.id, row->key + strlen("spec/")) != 0) {
        LOG_E("job_unreadable", KV("key", row->key));
        return;
    }
    err = Jobs_Add(o->scheduler, &spec, progress_text(run),
                   run != NULL ? run->value.len : 0, Clock_NowMs());
    if (err != ERR_OK && err != ERR_EXISTS) {
        LOG_E("job_held", KV("key", row->key),
              KV("why", "the progress row is unreadable"));
    }
}

/* Applies spec and stop rows to the scheduler: adds jobs that are new to it
 * and cancels jobs. */
static void
take_jobs(struct owner *o, const struct rows_changed *r)
{
    for (size_t i = 0; i < r->count; i++) {
        const char *key = r->rows[i].key;

        if (strncmp(key, "spec/", 5) == 0 && r->rows[i].version != 0 &&
            !Jobs_Has(o->scheduler, key + 5)) {
            add_job(o, &r->rows[i],
                    r->all || r->for_unscheduled ? find_row(r, "run/", key + 5)
                                                 : NULL);
        }
    }
    for (size_t i = 0; i < r->count; i++) {
        const char *key = r->rows[i].key;

        if (strncmp(key, "stop/", 5) == 0 && r->rows[i].version != 0 &&
            Queue_IsJsonObject(&r->rows[i].value)) {
            Jobs_Cancel(o->scheduler, key + 5, Clock_NowMs());
        }
    }
}

/* Reports to the scheduler rows of its jobs that are deleted or unreadable.
 * The cache clears the value of unreadable rows. */
static void
note_corrupt_rows(struct owner *o, const struct rows_changed *r)
{
    for (size_t i = 0; i < r->count; i++) {
        const struct table_row *row = &r->rows[i];

        if (row->value.len > 0) {
            continue;
        }
        if (strncmp(row->key, "spec/", 5) == 0) {
            Jobs_MarkCorrupt(o->scheduler, row->key + 5, true);
        }
        if (strncmp(row->key, "run/", 4) == 0) {
            Jobs_MarkCorrupt(o->scheduler, row->key + 4, false);
        }
    }
}

/* Returns the parts of the scheduler that the settings switch on. */
static struct jobs_parts
parts_of(const struct scheduling_settings *s)
{
    return (struct jobs_parts){.departures = s->departures,
                               .speeds = s->speeds,
                               .preemption = s->preemption,
                               .timeline = s->timeline,
                               .shares = s->shares};
}

/* Creates the scheduler from all rows; leadership is then held. */
static void
take_leadership(struct owner *o, const struct rows_changed *r)
{
    const struct entry_settings *s = o->task.kernel->settings;
    struct jobs_limits limits = {
        .term = o->term,
        .lease_ms = s->hosted.lease_ms,
        .start_ms = s->hosted.lease_ms < 4000 ? s->hosted.lease_ms : 4000,
        .early_ms = 0,
        .silent_ms = 1500,
        .stop_ms = s->hosted.stop_ms,
        .remote_factor = strtod(s->hosted.remote_factor, NULL),
        .keep_ms = (s->hosted.keep_s + 30) * 1000,
        .parts = parts_of(&s->hosted.scheduling),
    };
    int64_t now = Clock_NowMs();
    int64_t leases_end_ms =
        now + limits.lease_ms + limits.lease_ms / 20 + JOBS_ORDER_LATE_MS;

    o->scheduler = Jobs_New(&limits);
    if (o->config != NULL) {
        Jobs_SetConfig(o->scheduler, &o->config->jobs);
    }
    OwnerDomains_Apply(o);
    Learned_Take(o, r);
    take_jobs(o, r);
    Jobs_TakeOver(o->scheduler,
                  o->predecessor_ended ? leases_end_ms
                                       : leases_end_ms + UNCONFIRMED_MAX_MS,
                  now);
    for (size_t i = 0; i < DEPARTED_MAX; i++) {
        Jobs_WorkerLeft(o->scheduler, o->departed[i], NULL, 0, now);
    }
    o->leadership = LEADER_HELD;
    Counter_Add(&takeovers, 1);
    Counter_Observe(&takeover_ms, now - o->elected_ms);
    Counter_Set(&is_leader, 1);
    LOG_I("owner_active", KV_INT("term", o->term), KV_INT("rows", r->count),
          KV("before", o->predecessor_ended ? "ended" : "maybe_alive"));
    Owner_SchedulePass(o);
}

/* Shows in the metrics that this entry is no longer the owner. */
void
Rows_LeadershipEnded(void)
{
    Counter_Set(&is_leader, 0);
}

/* Handles rows from the intake. */
void
Rows_Take(struct owner *o, const struct rows_changed *r)
{
    if (r->all) {
        if (o->leadership == LEADER_LOADING && r->position >= o->version) {
            take_leadership(o, r);
        }
        return;
    }
    Leader_TakeRows(o, r);
    if (o->scheduler != NULL && r->count > 0) {
        note_corrupt_rows(o, r);
        take_jobs(o, r);
        Owner_SchedulePass(o);
    }
}

/* Compares the unfinished jobs of the cache with those of the scheduler and
 * requests the rows of missing ones. Rows and this list come from one task in
 * order, so a job is missing only if a row was lost on its way here. */
void
Rows_FindUnscheduled(struct owner *o, const struct job_ids *unfinished)
{
    struct job_ids *unscheduled;

    if (o->scheduler == NULL) {
        return;
    }
    unscheduled = Mem_Zero(1, sizeof(*unscheduled));
    unscheduled->ids =
        Mem_Zero(unfinished->count + 1, sizeof(*unscheduled->ids));
    for (size_t i = 0; i < unfinished->count; i++) {
        if (!Jobs_Has(o->scheduler, unfinished->ids[i])) {
            LOG_E("job_found_unscheduled", KV("job", unfinished->ids[i]),
                  KV_INT("term", o->term));
            Counter_Add(&unscheduled_total, 1);
            Str_Copy(unscheduled->ids[unscheduled->count++], JOBS_ID_SIZE,
                     unfinished->ids[i]);
        }
    }
    if (unscheduled->count == 0) {
        free(unscheduled->ids);
        free(unscheduled);
        return;
    }
    Queue_Post(o->task.kernel, TASK_INTAKE, &unscheduled->base,
               &Queue_UnscheduledKind);
}

/* Logs a failed write of Rows_Expire() or Rows_Repair(). */
static void
on_maintenance_written(void *arg UNUSED, int err, size_t at UNUSED,
                       const uint64_t *versions UNUSED)
{
    if (err != ERR_OK) {
        LOG_W("row_maintenance_failed", KV("error", Err_Name(err)));
    }
}

/* Deletes the rows of a job that has been kept long enough after its end. A
 * delayed write by another entry finds no spec row then, and could create it
 * again only if it was the write that accepted the job, long before. */
void
Rows_Expire(struct owner *o)
{
    static const char *const prefixes[] = {"spec/", "stop/", "run/"};
    struct table_op ops[COUNT_OF(prefixes) + 1] = {{0}};
    char keys[COUNT_OF(prefixes)][JOBS_ID_SIZE + 8];
    const char *id = Jobs_NextExpired(o->scheduler, Clock_NowMs());

    if (id == NULL) {
        return;
    }
    ops[0] = Leader_OwnershipCheck(o);
    for (size_t i = 0; i < COUNT_OF(prefixes); i++) {
        snprintf(keys[i], sizeof(keys[i]), "%s%s", prefixes[i], id);
        ops[i + 1] = (struct table_op){.verb = TABLE_DELETE,
                                       .table = Queue_Platform()->own_table,
                                       .key = keys[i],
                                       .if_version = TABLE_ANY};
    }
    o->store->ops->commit(o->store, ops, COUNT_OF(ops), on_maintenance_written,
                          o);
    Jobs_Remove(o->scheduler, id);
}

/* Writes the spec of a job again whose row was overwritten by another
 * writer. */
void
Rows_Repair(struct owner *o)
{
    struct buf value CLEANUP(Buf_Free) = {0};
    const char *id = Jobs_NextCorruptSpec(o->scheduler, &value);
    char key[JOBS_ID_SIZE + 8];
    struct table_op ops[2] = {Leader_OwnershipCheck(o),
                              {.verb = TABLE_PUT,
                               .table = Queue_Platform()->own_table,
                               .key = key,
                               .if_version = TABLE_ANY}};

    if (id == NULL) {
        return;
    }
    snprintf(key, sizeof(key), "spec/%s", id);
    ops[1].value = value.data;
    ops[1].len = value.len;
    LOG_W("row_mended", KV("key", key));
    o->store->ops->commit(o->store, ops, COUNT_OF(ops), on_maintenance_written,
                          o);
}
