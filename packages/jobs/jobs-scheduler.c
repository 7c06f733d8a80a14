#include "jobs-scheduler.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limit of the open units of a job, which take some 300 bytes each: four times
 * the tasks that one occurrence may have. */
#define OPEN_UNITS_MAX (4 * JOBS_TASKS_MAX)

/* Orders jobs by id. */
static int
job_compare(struct jobs_job *a, struct jobs_job *b)
{
    return strcmp(a->spec.id, b->spec.id);
}

RB_GENERATE(jobs_job_tree, jobs_job, by_id, job_compare)

/* Creates an empty scheduler. */
struct jobs_scheduler *
Jobs_New(const struct jobs_limits *limits)
{
    struct jobs_scheduler *sched = Mem_Zero(1, sizeof(*sched));

    sched->limits = *limits;
    RB_INIT(&sched->jobs);
    RB_INIT(&sched->workers);
    RB_INIT(&sched->by_agent);
    TAILQ_INIT(&sched->active);
    TAILQ_INIT(&sched->events);
    SLIST_INIT(&sched->sizes);
    Speed_Init(&sched->speeds);
    SLIST_INIT(&sched->organisations);
    SLIST_INIT(&sched->crashed_machines);
    return sched;
}

/* Frees a unit and removes its tasks from their workers. */
static void
free_unit(struct jobs_unit *u)
{
    for (uint32_t i = 0; i < u->task_count; i++) {
        struct jobs_task *t = &u->tasks[i];

        if (t->worker != NULL) {
            TAILQ_REMOVE(&t->worker->tasks, t, on_worker);
        }
    }
    free(u->tasks);
    free(u);
}

/* Frees a job with its units. */
static void
free_job(struct jobs_job *j)
{
    struct jobs_unit *u;

    while ((u = TAILQ_FIRST(&j->units)) != NULL) {
        TAILQ_REMOVE(&j->units, u, entry);
        free_unit(u);
    }
    Advice_Forget(j, UINT32_MAX);
    free(j->unit_at);
    JobsSpec_Clear(&j->spec);
    free(j);
}

/* Frees the scheduler. */
void
Jobs_Free(struct jobs_scheduler *sched)
{
    struct jobs_worker *w;
    struct jobs_event *e;
    struct jobs_job *j;

    if (sched == NULL) {
        return;
    }
    while ((e = Jobs_NextEvent(sched)) != NULL) {
        free(e);
    }
    while ((j = RB_ROOT(&sched->jobs)) != NULL) {
        RB_REMOVE(jobs_job_tree, &sched->jobs, j);
        free_job(j);
    }
    while ((w = RB_ROOT(&sched->workers)) != NULL) {
        Worker_Free(sched, w);
    }
    Size_Clear(&sched->sizes);
    Speed_Clear(&sched->speeds);
    Fair_Clear(&sched->organisations);
    Blame_Expire(sched, INT64_MAX);
    free(sched->candidates);
    free(sched->timeline.ends);
    free(sched);
}

/* Marks a job's row as to be stored. */
void
Scheduler_MarkDirty(struct jobs_job *j)
{
    j->dirty = true;
}

/* Finds a job by its id. */
struct jobs_job *
Scheduler_FindJob(const struct jobs_scheduler *sched, const char *id)
{
    struct jobs_job key;

    if (Str_Copy(key.spec.id, sizeof(key.spec.id), id) != ERR_OK) {
        return NULL;
    }
    return RB_FIND(jobs_job_tree, (struct jobs_job_tree *)&sched->jobs, &key);
}

/* True when the scheduler holds the job. */
bool
Jobs_Has(const struct jobs_scheduler *sched, const char *id)
{
    return Scheduler_FindJob(sched, id) != NULL;
}

/* Returns the step of a unit. */
const struct jobs_step *
Unit_Step(const struct jobs_unit *u)
{
    return &u->job->spec.steps[u->step];
}

/* Writes the name of a task, by which workers know it. */
void
Scheduler_TaskName(const struct jobs_task *t, char out[JOBS_TASK_SIZE])
{
    snprintf(out, JOBS_TASK_SIZE, "%s.%u.%u.%u", t->unit->job->spec.id,
             t->unit->occurrence, t->unit->step, t->index);
}

/* Returns the number of units of a step in one occurrence. */
static uint32_t
units_per_occurrence(const struct jobs_step *s)
{
    return s->gang ? 1 : s->count;
}

/* Finds the unit of a task, or NULL. Units are ordered by occurrence, step and
 * index, so its position can be computed. */
struct jobs_unit *
Scheduler_FindUnit(const struct jobs_job *j, uint32_t occurrence,
                   uint32_t step, uint32_t index)
{
    size_t at = 0;

    if (occurrence < j->first_occurrence || occurrence >= j->occurrences ||
        step >= j->spec.step_count || index >= j->spec.steps[step].count) {
        return NULL;
    }
    for (uint32_t i = 0; i < step; i++) {
        at += units_per_occurrence(&j->spec.steps[i]);
    }
    at += (occurrence - j->first_occurrence) * j->occurrence_units;
    return j->unit_at[at + (j->spec.steps[step].gang ? 0 : index)];
}

/* Finds a task by its name. */
struct jobs_task *
Scheduler_FindTask(const struct jobs_scheduler *sched, const char *name)
{
    uint32_t occurrence, step, index;
    char id[JOBS_ID_SIZE];
    struct jobs_unit *u;
    struct jobs_job *j;
    size_t len = strcspn(name, ".");

    if (len >= sizeof(id) ||
        sscanf(name + len, ".%" SCNu32 ".%" SCNu32 ".%" SCNu32, &occurrence,
               &step, &index) != 3) {
        return NULL;
    }
    memcpy(id, name, len);
    id[len] = '\0';
    j = Scheduler_FindJob(sched, id);
    u = j != NULL ? Scheduler_FindUnit(j, occurrence, step, index) : NULL;
    return u != NULL ? &u->tasks[index - u->tasks[0].index] : NULL;
}

/* Adds one unit of a step. */
static void
add_unit(struct jobs_job *j, uint32_t step, uint32_t first, uint32_t count)
{
    struct jobs_unit *u = Mem_Zero(1, sizeof(*u));

    u->job = j;
    u->occurrence = j->occurrences;
    u->step = step;
    u->tasks = Mem_Zero(count, sizeof(*u->tasks));
    u->task_count = count;
    for (uint32_t i = 0; i < count; i++) {
        u->tasks[i].unit = u;
        u->tasks[i].index = first + i;
    }
    TAILQ_INSERT_TAIL(&j->units, u, entry);
    j->unit_at[j->unit_count++] = u;
}

/* Creates the units of the next occurrence.
 *
 * The number of open units is limited: the units of a job that is due a
 * million times at once would take all memory of the owner's entry, and of
 * each entry that takes over from it. Further occurrences wait until the first
 * ones are done. */
bool
Scheduler_AddOccurrence(struct jobs_job *j)
{
    j->occurrence_units = 0;
    for (uint32_t i = 0; i < j->spec.step_count; i++) {
        j->occurrence_units += units_per_occurrence(&j->spec.steps[i]);
    }
    if (j->unit_count > 0 &&
        j->unit_count + j->occurrence_units > OPEN_UNITS_MAX) {
        return false;
    }
    j->unit_at = Mem_Grow(j->unit_at, (j->unit_count + j->occurrence_units) *
                                          sizeof(struct jobs_unit *));
    for (uint32_t i = 0; i < j->spec.step_count; i++) {
        const struct jobs_step *s = &j->spec.steps[i];

        if (s->gang) {
            add_unit(j, i, 0, s->count);
            continue;
        }
        for (uint32_t k = 0; k < s->count; k++) {
            add_unit(j, i, k, 1);
        }
    }
    j->occurrences++;
    return true;
}

/* True when all units of an occurrence are done. */
static bool
is_occurrence_done(const struct jobs_job *j, uint32_t occurrence)
{
    const struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        if (u->occurrence == occurrence && u->state != UNIT_DONE) {
            return false;
        }
    }
    return true;
}

/* Frees the units of occurrences that are done, from the first one on.
 * Otherwise the units and the row of a job that repeats for weeks would grow
 * until the store refused the row. */
void
Scheduler_DropDone(struct jobs_job *j)
{
    struct jobs_unit *u;

    while (j->spec.repetitions > 0 && j->first_occurrence < j->occurrences &&
           is_occurrence_done(j, j->first_occurrence)) {
        while ((u = TAILQ_FIRST(&j->units)) != NULL &&
               u->occurrence == j->first_occurrence) {
            TAILQ_REMOVE(&j->units, u, entry);
            free_unit(u);
        }
        j->unit_count -= j->occurrence_units;
        memmove(j->unit_at, j->unit_at + j->occurrence_units,
                j->unit_count * sizeof(struct jobs_unit *));
        j->first_occurrence++;
        Advice_Forget(j, j->first_occurrence);
    }
}

/* Returns when an occurrence is due, in milliseconds since 1970. */
int64_t
Scheduler_DueMs(const struct jobs_job *j, uint32_t occurrence)
{
    return j->spec.first_due_ms + (int64_t)occurrence * j->spec.interval_ms;
}

/* Sets the due times of units. The wall clock may jump, so it is read once for
 * each occurrence, and the due time is kept in monotonic time. */
void
Scheduler_SetDue(struct jobs_job *j, int64_t now_ms, int64_t wall_ms)
{
    struct jobs_unit *u;

    if (j->spec.repetitions == 0) {
        return;
    }
    TAILQ_FOREACH (u, &j->units, entry) {
        if (u->due_ms == 0) {
            u->due_ms = now_ms - (wall_ms - Scheduler_DueMs(j, u->occurrence));
        }
    }
}

/* Sets a job's quality of service to that of its queue. An operator may remove
 * a queue while jobs of it wait; such a job keeps the quality of service that
 * it had, or its service would be unknown and it would never start. */
static void
update_qos(struct jobs_scheduler *sched, struct jobs_job *j)
{
    const struct jobs_queue *q =
        JobsConfig_Queue(sched->config, j->spec.queue);

    if (q != NULL) {
        JobsQos_FromQueue(q, &j->qos);
    }
}

/* Puts a configuration in force. */
void
Jobs_SetConfig(struct jobs_scheduler *sched, const struct jobs_config *c)
{
    struct jobs_job *j;

    sched->config = c;
    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        update_qos(sched, j);
    }
}

/* Stops all runs of an ended job. */
static void
stop_all(struct jobs_scheduler *sched, struct jobs_job *j, const char *why)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        Unit_Drop(sched, u, why);
    }
}

/* Holds a job whose progress row can't be read.
 *
 * The row may have been corrupted before the owner that knew the progress
 * ended. Starting the job from the beginning would run tasks again that are
 * done. So nothing of the job starts, its present runs are left alone, and its
 * row is not changed until its caller cancels it. */
static void
hold_job(struct jobs_scheduler *sched, struct jobs_job *j)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        for (uint32_t i = 0; i < u->task_count; i++) {
            if (u->tasks[i].worker != NULL) {
                Worker_RemoveTask(sched, &u->tasks[i]);
            }
        }
        u->state = UNIT_WAITING;
    }
    j->held = true;
    j->cancelled = false;
    j->state = JOB_RUNNING;
}

/* Adds an accepted job. */
int
Jobs_Add(struct jobs_scheduler *sched, struct jobs_spec *s,
         const char *progress, size_t len, int64_t now_ms)
{
    struct jobs_job *j;
    int err = ERR_OK;

    if (Jobs_Has(sched, s->id)) {
        return ERR_EXISTS;
    }
    j = Mem_Zero(1, sizeof(*j));
    j->spec = *s;
    memset(s, 0, sizeof(*s));
    TAILQ_INIT(&j->units);
    TAILQ_INIT(&j->advice);
    j->arrived_ms = now_ms;
    j->qos = j->spec.qos;
    if (j->qos.attempts < 1) {
        j->qos.attempts = 1;
    }
    update_qos(sched, j);
    if (j->spec.repetitions == 0) {
        Scheduler_AddOccurrence(j);
    }
    RB_INSERT(jobs_job_tree, &sched->jobs, j);
    if (progress != NULL) {
        err = Row_Decode(sched, j, progress, len);
    }
    if (err != ERR_OK) {
        hold_job(sched, j);
    }
    TAILQ_INSERT_TAIL(&sched->active, j, active);
    Event_Job(sched, JOBS_JOB_TAKEN, j,
              progress != NULL ? "taken_over" : "new");
    if (j->state > JOB_RUNNING) {
        stop_all(sched, j, "job_ended");
        Job_UpdateState(sched, j, now_ms);
    }
    return err;
}

/* Cancels a job for its caller. */
void
Jobs_Cancel(struct jobs_scheduler *sched, const char *id, int64_t now_ms)
{
    struct jobs_job *j = Scheduler_FindJob(sched, id);

    if (j == NULL || j->cancelled || j->state > JOB_RUNNING) {
        return;
    }
    j->cancelled = true;
    j->held = false;
    stop_all(sched, j, "cancelled");
    Scheduler_MarkDirty(j);
    Job_UpdateState(sched, j, now_ms);
}

/* Schedules a corrupt row of a job to be stored again. */
void
Jobs_MarkCorrupt(struct jobs_scheduler *sched, const char *id, bool spec)
{
    struct jobs_job *j = Scheduler_FindJob(sched, id);

    if (j != NULL && spec) {
        j->spec_corrupt = true;
    }
    else if (j != NULL && !j->held) {
        Scheduler_MarkDirty(j);
    }
}

/* Returns the next job whose spec has to be stored again. */
const char *
Jobs_NextCorruptSpec(struct jobs_scheduler *sched, struct buf *out)
{
    struct jobs_job *j;

    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        if (j->spec_corrupt) {
            j->spec_corrupt = false;
            JobsSpec_Encode(&j->spec, out);
            return j->spec.id;
        }
    }
    return NULL;
}

/* Returns the next ended job that no longer has to be visible. */
const char *
Jobs_NextExpired(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct jobs_job *j;

    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        if (j->ended_ms != 0 && !j->dirty && !j->in_batch &&
            now_ms - j->ended_ms > sched->limits.keep_ms) {
            return j->spec.id;
        }
    }
    return NULL;
}

/* Removes an ended job. */
void
Jobs_Remove(struct jobs_scheduler *sched, const char *id)
{
    struct jobs_job *j = Scheduler_FindJob(sched, id);

    if (j != NULL && j->ended_ms != 0) {
        RB_REMOVE(jobs_job_tree, &sched->jobs, j);
        free_job(j);
    }
}

/* Returns the rows to be stored one after the other, and opens a batch with
 * the first. */
const char *
Jobs_NextDirty(struct jobs_scheduler *sched, struct buf *out)
{
    struct jobs_worker *w;
    struct jobs_job *j;

    if (!sched->batch_open) {
        sched->batch_open = true;
        sched->batch_whole = false;
        RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
            w->ends_in_batch = w->ends_taken;
        }
    }
    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        if (j->dirty && !j->in_batch) {
            j->dirty = false;
            j->in_batch = true;
            Row_Encode(j, out);
            return j->spec.id;
        }
    }
    sched->batch_whole = true;
    return NULL;
}

/* Allows the runs that a stored row has to be ordered. */
static void
mark_written(struct jobs_job *j)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        u->unwritten = u->unwritten && j->dirty;
    }
}

/* Closes a batch that is stored. A job that has changed since stays dirty, and
 * its units assigned since are not ordered before the next batch. */
void
Jobs_Written(struct jobs_scheduler *sched)
{
    struct jobs_worker *w;
    struct jobs_job *j;

    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        if (j->in_batch) {
            j->in_batch = false;
            mark_written(j);
        }
    }
    if (sched->batch_whole) {
        RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
            w->ends_stored = w->ends_in_batch;
        }
    }
    sched->batch_open = false;
}

/* Closes a batch that could not be stored; its jobs are dirty again. */
void
Jobs_NotWritten(struct jobs_scheduler *sched)
{
    struct jobs_job *j;

    RB_FOREACH (j, jobs_job_tree, &sched->jobs) {
        if (j->in_batch) {
            j->in_batch = false;
            j->dirty = true;
        }
    }
    sched->batch_open = false;
}

/* Returns the active jobs and the workers, for operators. */
json_t *
Jobs_State(const struct jobs_scheduler *sched)
{
    json_t *jobs = json_array();
    json_t *workers = json_array();
    const struct jobs_job *j;
    struct jobs_worker *w;

    TAILQ_FOREACH (j, &sched->active, active) {
        json_array_append_new(
            jobs, json_pack("{s:s,s:s,s:s,s:i,s:b}", "id", j->spec.id, "queue",
                            j->spec.queue, "state", Jobs_StateName(j->state),
                            "priority", j->qos.priority, "held", j->held));
    }
    RB_FOREACH (w, jobs_worker_tree,
                (struct jobs_worker_tree *)&sched->workers) {
        json_array_append_new(
            workers, json_pack("{s:s,s:s,s:I,s:I,s:b,s:I}", "id", w->id,
                               "agent", w->agent, "accelerators",
                               (json_int_t)w->capacity.accelerators, "used",
                               (json_int_t)w->used.accelerators, "draining",
                               w->draining, "speed_percent",
                               (json_int_t)(100 / Speed_Factor(w->machine))));
    }
    return json_pack("{s:o,s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "jobs", jobs,
                     "workers", workers, "events_dropped",
                     (json_int_t)sched->events_dropped, "units_tried",
                     (json_int_t)sched->units_tried, "speeds_ignored",
                     (json_int_t)sched->speeds.ignored, "chosen_by_speed",
                     (json_int_t)sched->speeds.chosen, "fair_moves",
                     (json_int_t)sched->fair_moves, "evictions",
                     (json_int_t)sched->evictions, "evictions_declined",
                     (json_int_t)sched->evictions_declined);
}
