#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Order of workers by lifetime. */
static int
worker_compare(struct jobs_worker *a, struct jobs_worker *b)
{
    return strcmp(a->id, b->id);
}

RB_GENERATE(lifetime_tree, jobs_worker, by_id, worker_compare)

/* Finds a worker's lifetime. */
struct jobs_worker *
Scheduler_FindWorker(const struct jobs_scheduler *b, const char *id)
{
    struct jobs_worker key;

    if (Str_Copy(key.id, sizeof(key.id), id) != ERR_OK) {
        return NULL;
    }
    return RB_FIND(lifetime_tree, (struct lifetime_tree *)&b->workers, &key);
}

/* Finds a worker's lifetime or makes it, unheard of so far. */
struct jobs_worker *
Scheduler_Worker(struct jobs_scheduler *b, const char *id, const char *agent)
{
    struct jobs_worker *w = Scheduler_FindWorker(b, id);

    if (w != NULL) {
        return w;
    }
    w = Mem_Zero(1, sizeof(*w));
    Str_Copy(w->id, sizeof(w->id), id);
    Str_Copy(w->agent, sizeof(w->agent), agent);
    w->share = 100;
    TAILQ_INIT(&w->tasks);
    TAILQ_INIT(&w->strays);
    RB_INSERT(lifetime_tree, &b->workers, w);
    b->worker_count++;
    return w;
}

/* Adds a need n times; n may be negative. */
void
Need_Add(struct jobs_resources *to, const struct jobs_resources *need, int n)
{
    to->millicores += n * need->millicores;
    to->memory_mb += n * need->memory_mb;
    to->accelerators += n * need->accelerators;
}

/* What a task takes from its worker's room. */
struct jobs_resources
Unit_Need(const struct jobs_unit *u)
{
    struct jobs_resources need = Unit_Step(u)->need;

    if (Unit_Step(u)->fills) {
        need.millicores = 0;
    }
    return need;
}

/* Puts a task's run on a worker. */
void
Worker_Take(struct jobs_worker *w, struct jobs_task *t)
{
    struct jobs_resources need = Unit_Need(t->unit);

    t->worker = w;
    t->confirmed = false;
    t->sent_ms = 0;
    t->percent = -1;
    t->mark_percent = 0;
    t->mark_clock_ms = 0;
    t->pace = 0;
    t->far = false;
    t->inherited = false;
    t->figure = 0;
    t->share = -1;
    t->share_sent_ms = 0;
    Need_Add(&w->used, &need, 1);
    if (t->unit->stopping) {
        Need_Add(&w->freeing, &need, 1);
    }
    TAILQ_INSERT_TAIL(&w->tasks, t, on_worker);
    Blame_Begin(t);
}

/* Takes a task's run off its worker. */
void
Worker_LetGo(struct jobs_scheduler *b, struct jobs_task *t)
{
    struct jobs_resources need = Unit_Need(t->unit);
    struct jobs_worker *w = t->worker;

    Need_Add(&w->used, &need, -1);
    if (t->unit->stopping) {
        Need_Add(&w->freeing, &need, -1);
    }
    b->runs_over++;
    Blame_End(t);
    TAILQ_REMOVE(&w->tasks, t, on_worker);
    t->worker = NULL;
    t->confirmed = false;
}

/* Lets the run of a unit end, for another job or for none. */
void
Unit_StopFor(struct jobs_scheduler *b, struct jobs_unit *u, const char *why,
             const struct jobs_job *other)
{
    struct jobs_resources need = Unit_Need(u);
    struct jobs_event *e;

    if (u->state != UNIT_GIVEN || u->stopping) {
        return;
    }
    u->stopping = true;
    for (uint32_t i = 0; i < u->task_count; i++) {
        if (u->tasks[i].worker != NULL) {
            Need_Add(&u->tasks[i].worker->freeing, &need, 1);
            u->tasks[i].sent_ms = 0;
            e = Event_Task(b, JOBS_RUN_STOPPED, &u->tasks[i], why);
            Str_Copy(e->other, sizeof(e->other),
                     other != NULL ? other->spec.id : "");
        }
    }
}

/* Lets the run of a unit end. */
void
Unit_Stop(struct jobs_scheduler *b, struct jobs_unit *u, const char *why)
{
    Unit_StopFor(b, u, why, NULL);
}

/* Lets it end for good. */
void
Unit_Drop(struct jobs_scheduler *b, struct jobs_unit *u, const char *why)
{
    u->dropped = true;
    Unit_Stop(b, u, why);
}

/* Forgets the strays of a worker. */
static void
clear_strays(struct jobs_worker *w)
{
    struct stray *s;

    while ((s = TAILQ_FIRST(&w->strays)) != NULL) {
        TAILQ_REMOVE(&w->strays, s, entry);
        free(s);
    }
}

/* Forgets a worker on which nothing runs. */
void
Worker_Free(struct jobs_scheduler *b, struct jobs_worker *w)
{
    clear_strays(w);
    RB_REMOVE(lifetime_tree, &b->workers, w);
    b->worker_count--;
    free(w);
}

/* True when a unit is waited for by a job that still lives. */
static bool
is_wanted(const struct jobs_unit *u)
{
    return !u->dropped && u->state != UNIT_DONE && u->state != UNIT_FAILED;
}

/* The run of this task is over. When it was the last of its unit, the unit
 * waits again, or is finished. */
void
Task_Gone(struct jobs_scheduler *b, struct jobs_task *t, const char *why,
          int64_t now_ms)
{
    struct jobs_unit *u = t->unit;
    bool any = false;

    if (t->worker == NULL) {
        return;
    }
    Event_Task(b, JOBS_RUN_OVER, t, why)->number = now_ms - t->given_ms;
    Worker_LetGo(b, t);
    for (uint32_t i = 0; i < u->task_count; i++) {
        any = any || u->tasks[i].worker != NULL;
    }
    if (any) {
        Unit_Stop(b, u, "gang_broken");
        return;
    }
    u->stopping = false;
    u->unwritten = false;
    if (is_wanted(u)) {
        u->state = UNIT_WAITING;
        u->ready_ms = now_ms;
    }
    Scheduler_Touch(u->job);
    Job_Settle(b, u->job, now_ms);
}

/* Learns what a step took, once for each job: one of a thousand tasks tells no
 * more about its queue than one of a single task. */
static void
learn_size(struct jobs_scheduler *b, const struct jobs_unit *u)
{
    struct jobs_job *j = u->job;
    uint64_t bit = (uint64_t)1 << u->step;

    if (!Unit_Step(u)->lasting && (j->sized & bit) == 0 && u->work_ms != 0) {
        j->sized |= bit;
        Size_Take(&b->sizes, j->spec.queue, Unit_Step(u)->estimate_ms,
                  u->work_ms);
    }
}

/* One task ended as done; that stands for the whole gang. */
void
Unit_Done(struct jobs_scheduler *b, struct jobs_unit *u, int64_t now_ms)
{
    for (uint32_t i = 0; i < u->task_count; i++) {
        if (u->tasks[i].worker != NULL) {
            Event_Task(b, JOBS_RUN_OVER, &u->tasks[i], "done")->number =
                now_ms - u->tasks[i].given_ms;
            Worker_LetGo(b, &u->tasks[i]);
        }
    }
    learn_size(b, u);
    u->job->ended_well = true;
    u->stopping = false;
    u->unwritten = false;
    u->state = Unit_Step(u)->lasting && !u->dropped ? UNIT_WAITING : UNIT_DONE;
    u->ready_ms = now_ms;
    Scheduler_Touch(u->job);
    Job_Settle(b, u->job, now_ms);
}

/* Gives a unit up, and with it its job. */
void
Unit_GiveUp(struct jobs_scheduler *b, struct jobs_unit *u)
{
    struct jobs_unit *other;

    TAILQ_FOREACH (other, &u->job->units, entry) {
        Unit_Drop(b, other, "job_failed");
    }
    u->state = UNIT_FAILED;
    Scheduler_Touch(u->job);
}

/* A run ended as failed: counted once for each run, at once, so that the row
 * that lets the end be acknowledged has it. */
void
Unit_Failed(struct jobs_scheduler *b, struct jobs_unit *u)
{
    if (u->failed_run) {
        return;
    }
    u->failed_run = true;
    u->failures++;
    Scheduler_Touch(u->job);
    if (Unit_Step(u)->lasting ||
        u->failures < (uint32_t)u->job->terms.attempts) {
        return;
    }
    Unit_GiveUp(b, u);
}

/* Nothing runs on this lifetime any more. */
void
Worker_Lost(struct jobs_scheduler *b, struct jobs_worker *w, const char *why,
            int64_t now_ms)
{
    struct jobs_task *t;

    if (w->heard || !TAILQ_EMPTY(&w->tasks)) {
        Event_Worker(b, w, why);
    }
    w->heard = false;
    while ((t = TAILQ_FIRST(&w->tasks)) != NULL) {
        Task_Gone(b, t, why, now_ms);
    }
    clear_strays(w);
}

/* What the units of a job come to. */
static enum jobs_state
state_of(const struct jobs_job *j, bool *runs)
{
    bool begun = j->first_occurrence > 0, all_done = true;
    struct jobs_unit *u;
    bool failed = false;

    *runs = false;
    TAILQ_FOREACH (u, &j->units, entry) {
        begun = begun || u->begun;
        all_done = all_done && u->state == UNIT_DONE;
        failed = failed || u->state == UNIT_FAILED;
        for (uint32_t i = 0; i < u->task_count; i++) {
            *runs = *runs || u->tasks[i].worker != NULL;
        }
    }
    if (j->occurrences < (j->spec.repetitions ? j->spec.repetitions : 1)) {
        all_done = false;
    }
    if (failed) {
        return JOB_FAILED;
    }
    if (all_done) {
        return JOB_COMPLETED;
    }
    if (j->cancelled) {
        return JOB_CANCELLED;
    }
    return begun ? JOB_RUNNING : JOB_QUEUED;
}

/* Sets the job's state; one that has ended leaves the active ones when none
 * of its runs is left. */
void
Job_Settle(struct jobs_scheduler *b, struct jobs_job *j, int64_t now_ms)
{
    enum jobs_state was = j->state;
    bool runs;

    if (j->ended_ms != 0 || (j->held && !j->cancelled)) {
        return;
    }
    j->state = state_of(j, &runs);
    if (j->state != was) {
        Scheduler_Touch(j);
        Event_Job(b, JOBS_JOB_STATE, j, Jobs_StateName(j->state))->number =
            now_ms - j->arrived_ms;
    }
    if (j->state > JOB_RUNNING && !runs) {
        j->ended_ms = now_ms;
        TAILQ_REMOVE(&b->active, j, active);
    }
}
