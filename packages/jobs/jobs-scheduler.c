#include "jobs-scheduler.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Units of a job that are open at once, some 300 bytes each: four times the
 * tasks that one occurrence may have. */
#define OPEN_UNITS_MAX (4 * JOBS_TASKS_MAX)

/* Order of jobs by id. */
static int
job_compare(struct jobs_job *a, struct jobs_job *b)
{
    return strcmp(a->spec.id, b->spec.id);
}

RB_GENERATE(book_tree, jobs_job, by_id, job_compare)

/* Makes an empty scheduler. */
struct jobs_scheduler *
Jobs_New(const struct jobs_limits *limits)
{
    struct jobs_scheduler *b = Mem_Zero(1, sizeof(*b));

    b->limits = *limits;
    RB_INIT(&b->jobs);
    RB_INIT(&b->workers);
    TAILQ_INIT(&b->active);
    TAILQ_INIT(&b->events);
    SLIST_INIT(&b->sizes);
    SLIST_INIT(&b->machines);
    return b;
}

/* Frees a unit and lets go of its tasks' places. */
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
    free(j->at);
    JobsSpec_Clear(&j->spec);
    free(j);
}

/* Frees the scheduler. */
void
Jobs_Free(struct jobs_scheduler *b)
{
    struct jobs_worker *w;
    struct jobs_event *e;
    struct jobs_job *j;

    if (b == NULL) {
        return;
    }
    while ((e = Jobs_NextEvent(b)) != NULL) {
        free(e);
    }
    while ((j = RB_ROOT(&b->jobs)) != NULL) {
        RB_REMOVE(book_tree, &b->jobs, j);
        free_job(j);
    }
    while ((w = RB_ROOT(&b->workers)) != NULL) {
        Worker_Free(b, w);
    }
    Size_Clear(&b->sizes);
    Blame_Expire(b, INT64_MAX);
    free(b->spots);
    free(b);
}

/* Marks a job's row as to be written. */
void
Scheduler_Touch(struct jobs_job *j)
{
    j->dirty = true;
}

/* Finds a job by its id. */
struct jobs_job *
Scheduler_FindJob(const struct jobs_scheduler *b, const char *id)
{
    struct jobs_job key;

    if (Str_Copy(key.spec.id, sizeof(key.spec.id), id) != ERR_OK) {
        return NULL;
    }
    return RB_FIND(book_tree, (struct book_tree *)&b->jobs, &key);
}

/* True when the job is known. */
bool
Jobs_Has(const struct jobs_scheduler *b, const char *id)
{
    return Scheduler_FindJob(b, id) != NULL;
}

/* The step of a unit. */
const struct jobs_step *
Unit_Step(const struct jobs_unit *u)
{
    return &u->job->spec.steps[u->step];
}

/* Writes the name of a task. */
void
Scheduler_TaskName(const struct jobs_task *t, char out[JOBS_TASK_SIZE])
{
    snprintf(out, JOBS_TASK_SIZE, "%s.%u.%u.%u", t->unit->job->spec.id,
             t->unit->occurrence, t->unit->step, t->index);
}

/* Units of a step in one occurrence. */
static uint32_t
units_of(const struct jobs_step *s)
{
    return s->gang ? 1 : s->count;
}

/* The unit of a task, or NULL. Units stand in the order of their occurrence,
 * step and index, so its place is known. */
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
        at += units_of(&j->spec.steps[i]);
    }
    at += (occurrence - j->first_occurrence) * j->occurrence_units;
    return j->at[at + (j->spec.steps[step].gang ? 0 : index)];
}

/* Finds a task by the name that workers know. */
struct jobs_task *
Scheduler_FindTask(const struct jobs_scheduler *b, const char *name)
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
    j = Scheduler_FindJob(b, id);
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
    j->at[j->at_count++] = u;
}

/* Makes the units of the next occurrence.
 *
 * Load: a job that is due a million times at once. Without a bound its units
 * take all memory of the entry that holds the scheduler, and of each one after
 * it. Further occurrences wait for the first ones to be done. */
bool
Scheduler_AddOccurrence(struct jobs_job *j)
{
    j->occurrence_units = 0;
    for (uint32_t i = 0; i < j->spec.step_count; i++) {
        j->occurrence_units += units_of(&j->spec.steps[i]);
    }
    if (j->at_count > 0 &&
        j->at_count + j->occurrence_units > OPEN_UNITS_MAX) {
        return false;
    }
    j->at = Mem_Grow(j->at, (j->at_count + j->occurrence_units) *
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

/* Drops occurrences that are done, from the first one on.
 *
 * Load: a job that is repeated for weeks. Without it, its units and its row
 * grow with each occurrence until the row is refused. */
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
        j->at_count -= j->occurrence_units;
        memmove(j->at, j->at + j->occurrence_units,
                j->at_count * sizeof(struct jobs_unit *));
        j->first_occurrence++;
        Advice_Forget(j, j->first_occurrence);
    }
}

/* When an occurrence is due. */
int64_t
Scheduler_DueMs(const struct jobs_job *j, uint32_t occurrence)
{
    return j->spec.first_due_ms + (int64_t)occurrence * j->spec.interval_ms;
}

/* Notes when the occurrences were due. The time of day may jump, so it is
 * asked once for each and kept as a time of the steady clock. */
void
Scheduler_NoteDue(struct jobs_job *j, int64_t now_ms, int64_t wall_ms)
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

/* Takes what a job's queue grants.
 *
 * Failure: an operator takes a queue away while jobs of it wait. Symptom:
 * nobody knows any more which service runs them, and what was accepted never
 * starts. A job without a queue keeps the terms that it had. */
static void
set_queue(struct jobs_scheduler *b, struct jobs_job *j)
{
    const struct jobs_queue *q = JobsConfig_Queue(b->config, j->spec.queue);

    if (q != NULL) {
        JobsQos_FromQueue(q, &j->terms);
    }
}

/* Puts another configuration in force. */
void
Jobs_SetConfig(struct jobs_scheduler *b, const struct jobs_config *c)
{
    struct jobs_job *j;

    b->config = c;
    RB_FOREACH (j, book_tree, &b->jobs) {
        set_queue(b, j);
    }
}

/* Lets every run of an ended job end. */
static void
stop_all(struct jobs_scheduler *b, struct jobs_job *j, const char *why)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        Unit_Drop(b, u, why);
    }
}

/* Holds a job whose progress can't be read.
 *
 * Failure: the row of its progress is spoiled, and the owner that knew what is
 * done has ended. Symptom of going on as if nothing had run: what has ended as
 * done runs again. Nothing of the job starts, what runs is left alone, and its
 * row stays as it is, until its caller cancels it. */
static void
hold(struct jobs_scheduler *b, struct jobs_job *j)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        for (uint32_t i = 0; i < u->task_count; i++) {
            if (u->tasks[i].worker != NULL) {
                Worker_LetGo(b, &u->tasks[i]);
            }
        }
        u->state = UNIT_WAITING;
    }
    j->held = true;
    j->cancelled = false;
    j->state = JOB_RUNNING;
}

/* Takes an accepted job. */
int
Jobs_Add(struct jobs_scheduler *b, struct jobs_spec *s, const char *progress,
         size_t len, int64_t now_ms)
{
    struct jobs_job *j;
    int err = ERR_OK;

    if (Jobs_Has(b, s->id)) {
        return ERR_EXISTS;
    }
    j = Mem_Zero(1, sizeof(*j));
    j->spec = *s;
    memset(s, 0, sizeof(*s));
    TAILQ_INIT(&j->units);
    TAILQ_INIT(&j->advice);
    j->arrived_ms = now_ms;
    j->terms = j->spec.qos;
    if (j->terms.attempts < 1) {
        j->terms.attempts = 1;
    }
    set_queue(b, j);
    if (j->spec.repetitions == 0) {
        Scheduler_AddOccurrence(j);
    }
    RB_INSERT(book_tree, &b->jobs, j);
    if (progress != NULL) {
        err = Row_Decode(b, j, progress, len);
    }
    if (err != ERR_OK) {
        hold(b, j);
    }
    TAILQ_INSERT_TAIL(&b->active, j, active);
    Event_Job(b, JOBS_JOB_TAKEN, j, progress != NULL ? "taken_over" : "new");
    if (j->state > JOB_RUNNING) {
        stop_all(b, j, "job_ended");
        Job_Settle(b, j, now_ms);
    }
    return err;
}

/* The caller wants the job no more. */
void
Jobs_Cancel(struct jobs_scheduler *b, const char *id, int64_t now_ms)
{
    struct jobs_job *j = Scheduler_FindJob(b, id);

    if (j == NULL || j->cancelled || j->state > JOB_RUNNING) {
        return;
    }
    j->cancelled = true;
    j->held = false;
    stop_all(b, j, "cancelled");
    Scheduler_Touch(j);
    Job_Settle(b, j, now_ms);
}

/* The row of a job's progress is not as it was written last. */
void
Jobs_MarkCorrupt(struct jobs_scheduler *b, const char *id, bool spec)
{
    struct jobs_job *j = Scheduler_FindJob(b, id);

    if (j != NULL && spec) {
        j->spoiled = true;
    }
    else if (j != NULL && !j->held) {
        Scheduler_Touch(j);
    }
}

/* A job whose spec has to be stored again. */
const char *
Jobs_NextCorruptSpec(struct jobs_scheduler *b, struct buf *out)
{
    struct jobs_job *j;

    RB_FOREACH (j, book_tree, &b->jobs) {
        if (j->spoiled) {
            j->spoiled = false;
            JobsSpec_Encode(&j->spec, out);
            return j->spec.id;
        }
    }
    return NULL;
}

/* The next ended job that nobody has to be shown any more. */
const char *
Jobs_NextExpired(struct jobs_scheduler *b, int64_t now_ms)
{
    struct jobs_job *j;

    RB_FOREACH (j, book_tree, &b->jobs) {
        if (j->ended_ms != 0 && !j->dirty && !j->in_batch &&
            now_ms - j->ended_ms > b->limits.keep_ms) {
            return j->spec.id;
        }
    }
    return NULL;
}

/* Forgets an ended job. */
void
Jobs_Remove(struct jobs_scheduler *b, const char *id)
{
    struct jobs_job *j = Scheduler_FindJob(b, id);

    if (j != NULL && j->ended_ms != 0) {
        RB_REMOVE(book_tree, &b->jobs, j);
        free_job(j);
    }
}

/* Hands out the rows to be written, one after the other. */
const char *
Jobs_NextDirty(struct jobs_scheduler *b, struct buf *out)
{
    struct jobs_worker *w;
    struct jobs_job *j;

    if (!b->batch_open) {
        b->batch_open = true;
        b->batch_whole = false;
        RB_FOREACH (w, lifetime_tree, &b->workers) {
            w->seen_batch = w->seen;
        }
    }
    RB_FOREACH (j, book_tree, &b->jobs) {
        if (j->dirty && !j->in_batch) {
            j->dirty = false;
            j->in_batch = true;
            Row_Encode(j, out);
            return j->spec.id;
        }
    }
    b->batch_whole = true;
    return NULL;
}

/* Runs named by a stored row may be ordered now. */
static void
mark_written(struct jobs_job *j)
{
    struct jobs_unit *u;

    TAILQ_FOREACH (u, &j->units, entry) {
        u->unwritten = u->unwritten && j->dirty;
    }
}

/* Closes a batch. A job that changed since stays dirty, and a unit given
 * since is not ordered before its own write. */
void
Jobs_Written(struct jobs_scheduler *b)
{
    struct jobs_worker *w;
    struct jobs_job *j;

    RB_FOREACH (j, book_tree, &b->jobs) {
        if (j->in_batch) {
            j->in_batch = false;
            mark_written(j);
        }
    }
    if (b->batch_whole) {
        RB_FOREACH (w, lifetime_tree, &b->workers) {
            w->seen_rows = w->seen_batch;
        }
    }
    b->batch_open = false;
}

/* The batch is not stored. */
void
Jobs_NotWritten(struct jobs_scheduler *b)
{
    struct jobs_job *j;

    RB_FOREACH (j, book_tree, &b->jobs) {
        if (j->in_batch) {
            j->in_batch = false;
            j->dirty = true;
        }
    }
    b->batch_open = false;
}

/* The active jobs and the workers, for operators. */
json_t *
Jobs_State(const struct jobs_scheduler *b)
{
    json_t *jobs = json_array();
    json_t *workers = json_array();
    const struct jobs_job *j;
    struct jobs_worker *w;

    TAILQ_FOREACH (j, &b->active, active) {
        json_array_append_new(
            jobs, json_pack("{s:s,s:s,s:s,s:i,s:b}", "id", j->spec.id, "queue",
                            j->spec.queue, "state", Jobs_StateName(j->state),
                            "priority", j->terms.priority, "held", j->held));
    }
    RB_FOREACH (w, lifetime_tree, (struct lifetime_tree *)&b->workers) {
        json_array_append_new(
            workers,
            json_pack("{s:s,s:s,s:I,s:I,s:b}", "id", w->id, "agent", w->agent,
                      "accelerators", (json_int_t)w->capacity.accelerators,
                      "used", (json_int_t)w->used.accelerators, "draining",
                      w->draining));
    }
    return json_pack("{s:o,s:o,s:I,s:I}", "jobs", jobs, "workers", workers,
                     "events_dropped", (json_int_t)b->events_dropped,
                     "units_tried", (json_int_t)b->tried);
}
