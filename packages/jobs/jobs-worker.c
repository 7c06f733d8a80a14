#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Orders workers by the id of their incarnation. */
static int
worker_compare(struct jobs_worker *a, struct jobs_worker *b)
{
    return strcmp(a->id, b->id);
}

RB_GENERATE(jobs_worker_tree, jobs_worker, by_id, worker_compare)

/* Orders workers by their agent, then by the id of their incarnation. */
static int
agent_compare(struct jobs_worker *a, struct jobs_worker *b)
{
    int order = strcmp(a->agent, b->agent);

    return order != 0 ? order : strcmp(a->id, b->id);
}

RB_GENERATE(jobs_agent_tree, jobs_worker, by_agent, agent_compare)

/* Compares the parts before the separators. */
bool
Jobs_SharesId(const char *incarnation, const char *other)
{
    static const char separator[] = {JOBS_START_SEPARATOR, '\0'};
    size_t len = strcspn(incarnation, separator);

    return len == strcspn(other, separator) &&
           strncmp(incarnation, other, len) == 0;
}

/* Finds an incarnation of a worker. */
struct jobs_worker *
Scheduler_FindWorker(const struct jobs_scheduler *sched, const char *id)
{
    struct jobs_worker key;

    if (Str_Copy(key.id, sizeof(key.id), id) != ERR_OK) {
        return NULL;
    }
    return RB_FIND(jobs_worker_tree,
                   (struct jobs_worker_tree *)&sched->workers, &key);
}

/* Finds an incarnation of a worker, or adds one that has not reported yet. */
struct jobs_worker *
Scheduler_GetWorker(struct jobs_scheduler *sched, const char *id,
                    const char *agent)
{
    struct jobs_worker *w = Scheduler_FindWorker(sched, id);

    if (w != NULL) {
        return w;
    }
    w = Mem_Zero(1, sizeof(*w));
    Str_Copy(w->id, sizeof(w->id), id);
    Str_Copy(w->agent, sizeof(w->agent), agent);
    w->share = 100;
    TAILQ_INIT(&w->tasks);
    TAILQ_INIT(&w->orphans);
    RB_INSERT(jobs_worker_tree, &sched->workers, w);
    RB_INSERT(jobs_agent_tree, &sched->by_agent, w);
    sched->worker_count++;
    return w;
}

/* Sets the agent of a worker. */
void
Worker_SetAgent(struct jobs_scheduler *sched, struct jobs_worker *w,
                const char *agent)
{
    if (strcmp(w->agent, agent) == 0) {
        return;
    }
    RB_REMOVE(jobs_agent_tree, &sched->by_agent, w);
    Str_Copy(w->agent, sizeof(w->agent), agent);
    RB_INSERT(jobs_agent_tree, &sched->by_agent, w);
}

/* Returns the agent's first incarnation after w (NULL: its first one) other
 * than `self`, or NULL. */
struct jobs_worker *
Worker_NextOfAgent(struct jobs_scheduler *sched,
                   const struct jobs_worker *self, struct jobs_worker *w)
{
    struct jobs_worker first = {.id = ""};

    Str_Copy(first.agent, sizeof(first.agent), self->agent);
    w = w != NULL ? RB_NEXT(jobs_agent_tree, &sched->by_agent, w)
                  : RB_NFIND(jobs_agent_tree, &sched->by_agent, &first);
    if (w != NULL && w == self) {
        w = RB_NEXT(jobs_agent_tree, &sched->by_agent, w);
    }
    return w != NULL && strcmp(w->agent, self->agent) == 0 ? w : NULL;
}

/* Adds n times the resources of a task; n may be negative. */
void
Resources_Add(struct jobs_resources *to, const struct jobs_resources *need,
              int n)
{
    to->millicores += n * need->millicores;
    to->memory_mb += n * need->memory_mb;
    to->accelerators += n * need->accelerators;
}

/* Returns the resources that a task of the unit takes up on its worker; the
 * cores of a best-effort task are not counted. */
struct jobs_resources
Unit_Resources(const struct jobs_unit *u)
{
    struct jobs_resources need = Unit_Step(u)->need;

    if (Unit_Step(u)->fills) {
        need.millicores = 0;
    }
    return need;
}

/* Assigns a task's run to a worker. */
void
Worker_AddTask(struct jobs_worker *w, struct jobs_task *t)
{
    struct jobs_resources need = Unit_Resources(t->unit);

    t->worker = w;
    t->confirmed = false;
    t->ordered_ms = 0;
    t->start_ordered_ms = 0;
    t->proven = false;
    t->percent = -1;
    t->pace_from_percent = 0;
    t->pace_from_clock_ms = 0;
    t->pace = 0;
    t->run_from_clock_ms = 0;
    t->is_in_step = false;
    t->remote = false;
    t->inherited = false;
    t->tail_latency_ms = 0;
    t->sent_share = -1;
    t->share_sent_ms = 0;
    Resources_Add(&w->used, &need, 1);
    if (t->unit->stopping) {
        Resources_Add(&w->freeing, &need, 1);
    }
    TAILQ_INSERT_TAIL(&w->tasks, t, on_worker);
    Blame_BeginProbation(t);
}

/* Removes a task's run from its worker. */
void
Worker_RemoveTask(struct jobs_scheduler *sched, struct jobs_task *t)
{
    struct jobs_resources need = Unit_Resources(t->unit);
    struct jobs_worker *w = t->worker;

    Resources_Add(&w->used, &need, -1);
    if (t->unit->stopping) {
        Resources_Add(&w->freeing, &need, -1);
    }
    sched->runs_over++;
    Blame_EndProbation(t);
    TAILQ_REMOVE(&w->tasks, t, on_worker);
    t->worker = NULL;
    t->confirmed = false;
}

/* Stops the run of a unit. preemptor: the job that will run in its place, or
 * NULL. */
void
Unit_StopFor(struct jobs_scheduler *sched, struct jobs_unit *u,
             const char *why, const struct jobs_job *preemptor)
{
    struct jobs_resources need = Unit_Resources(u);
    struct jobs_event *e;

    if (u->state != UNIT_ASSIGNED || u->stopping) {
        return;
    }
    u->stopping = true;
    sched->stops++;
    for (uint32_t i = 0; i < u->task_count; i++) {
        if (u->tasks[i].worker != NULL) {
            Resources_Add(&u->tasks[i].worker->freeing, &need, 1);
            u->tasks[i].worker->timeline.has_stops = true;
            u->tasks[i].ordered_ms = 0;
            e = Event_Task(sched, JOBS_RUN_STOPPED, &u->tasks[i], why);
            Str_Copy(e->other, sizeof(e->other),
                     preemptor != NULL ? preemptor->spec.id : "");
        }
    }
}

/* Stops the run of a unit. */
void
Unit_Stop(struct jobs_scheduler *sched, struct jobs_unit *u, const char *why)
{
    Unit_StopFor(sched, u, why, NULL);
}

/* Stops the run of a unit, which must not run again. */
void
Unit_Drop(struct jobs_scheduler *sched, struct jobs_unit *u, const char *why)
{
    u->dropped = true;
    Unit_Stop(sched, u, why);
}

/* Forgets the orphaned runs of a worker. */
static void
clear_orphans(struct jobs_worker *w)
{
    struct orphan_run *orphan;

    while ((orphan = TAILQ_FIRST(&w->orphans)) != NULL) {
        TAILQ_REMOVE(&w->orphans, orphan, entry);
        free(orphan);
    }
}

/* Removes and frees a worker that has no runs. */
void
Worker_Free(struct jobs_scheduler *sched, struct jobs_worker *w)
{
    clear_orphans(w);
    RB_REMOVE(jobs_worker_tree, &sched->workers, w);
    RB_REMOVE(jobs_agent_tree, &sched->by_agent, w);
    sched->worker_count--;
    if (w->machine != NULL) {
        w->machine->workers--;
    }
    free(w);
}

/* Sets the machine of a worker. The last label is the rack, and the first one
 * the kind if there are several. */
void
Worker_SetMachine(struct jobs_scheduler *sched, struct jobs_worker *w)
{
    const char *kind = w->label_count > 1 ? w->labels[0] : "";

    if (!sched->limits.parts.speeds ||
        (w->machine != NULL && strcmp(w->machine->agent, w->agent) == 0 &&
         strcmp(w->machine->kind, kind) == 0)) {
        return;
    }
    if (w->machine != NULL) {
        w->machine->workers--;
    }
    w->machine = Speed_Machine(&sched->speeds, w->agent, kind);
    if (w->machine != NULL) {
        w->machine->workers++;
    }
}

/* True when a job still needs the unit to run. */
static bool
is_wanted(const struct jobs_unit *u)
{
    return !u->dropped && u->state != UNIT_DONE && u->state != UNIT_FAILED;
}

/* Handles a run of a task that has ended. Other runs of its gang are stopped;
 * when none is left, the unit waits again unless it is finished. */
void
Task_RunOver(struct jobs_scheduler *sched, struct jobs_task *t,
             const char *why, int64_t now_ms)
{
    struct jobs_unit *u = t->unit;
    bool others_run = false;

    if (t->worker == NULL) {
        return;
    }
    Event_Task(sched, JOBS_RUN_OVER, t, why)->number = now_ms - t->assigned_ms;
    Worker_RemoveTask(sched, t);
    for (uint32_t i = 0; i < u->task_count; i++) {
        others_run = others_run || u->tasks[i].worker != NULL;
    }
    if (others_run) {
        Unit_Stop(sched, u, "gang_broken");
        return;
    }
    u->stopping = false;
    u->unwritten = false;
    if (is_wanted(u)) {
        u->state = UNIT_WAITING;
        u->ready_ms = now_ms;
    }
    Scheduler_MarkDirty(u->job);
    Job_UpdateState(sched, u->job, now_ms);
}

/* Adds the length of a step's runs to the predictions, once for each job, so
 * that a step of a thousand tasks has no more weight than one of a single
 * task. */
static void
learn_run_length(struct jobs_scheduler *sched, const struct jobs_unit *u)
{
    struct jobs_job *j = u->job;
    uint64_t bit = (uint64_t)1 << u->step;

    if (!Unit_Step(u)->lasting && (j->learned_steps & bit) == 0 &&
        u->work_ms != 0) {
        j->learned_steps |= bit;
        Size_Learn(&sched->sizes, j->spec.queue, Unit_Step(u)->estimate_ms,
                   u->work_ms);
    }
}

/* Handles a task that ended as done, which ends its whole gang as done. */
void
Unit_Done(struct jobs_scheduler *sched, struct jobs_unit *u, int64_t now_ms)
{
    for (uint32_t i = 0; i < u->task_count; i++) {
        if (u->tasks[i].worker != NULL) {
            Event_Task(sched, JOBS_RUN_OVER, &u->tasks[i], "done")->number =
                now_ms - u->tasks[i].assigned_ms;
            Pace_Learn(sched, &u->tasks[i]);
            Worker_RemoveTask(sched, &u->tasks[i]);
        }
    }
    learn_run_length(sched, u);
    u->job->has_succeeded = true;
    u->stopping = false;
    u->unwritten = false;
    u->state = Unit_Step(u)->lasting && !u->dropped ? UNIT_WAITING : UNIT_DONE;
    u->ready_ms = now_ms;
    Scheduler_MarkDirty(u->job);
    Job_UpdateState(sched, u->job, now_ms);
}

/* Ends a unit as failed, and drops all other units of its job. */
void
Unit_GiveUp(struct jobs_scheduler *sched, struct jobs_unit *u)
{
    struct jobs_unit *other;

    TAILQ_FOREACH (other, &u->job->units, entry) {
        Unit_Drop(sched, other, "job_failed");
    }
    u->state = UNIT_FAILED;
    Scheduler_MarkDirty(u->job);
}

/* Counts a failed run of a unit, once for each run. This is done when the end
 * is reported, so that the row that must be stored before the end is
 * acknowledged already has the failure. */
void
Unit_Failed(struct jobs_scheduler *sched, struct jobs_unit *u)
{
    if (u->failure_counted) {
        return;
    }
    u->failure_counted = true;
    u->failures++;
    Scheduler_MarkDirty(u->job);
    if (Unit_Step(u)->lasting ||
        u->failures < (uint32_t)u->job->qos.attempts) {
        return;
    }
    Unit_GiveUp(sched, u);
}

/* Ends all runs of a worker whose incarnation is over. */
void
Worker_Lost(struct jobs_scheduler *sched, struct jobs_worker *w,
            const char *why, int64_t now_ms)
{
    struct jobs_task *t;

    if (w->reported || !TAILQ_EMPTY(&w->tasks)) {
        Event_Worker(sched, w, why);
    }
    w->reported = false;
    while ((t = TAILQ_FIRST(&w->tasks)) != NULL) {
        Task_RunOver(sched, t, why, now_ms);
    }
    clear_orphans(w);
}

/* Computes the state of a job from its units, and whether runs of it are
 * left. */
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

/* Updates the state of a job. A job that has ended leaves the active list when
 * none of its runs is left. */
void
Job_UpdateState(struct jobs_scheduler *sched, struct jobs_job *j,
                int64_t now_ms)
{
    enum jobs_state was = j->state;
    bool runs;

    if (j->ended_ms != 0 || (j->held && !j->cancelled)) {
        return;
    }
    j->state = state_of(j, &runs);
    if (j->state != was) {
        Scheduler_MarkDirty(j);
        Event_Job(sched, JOBS_JOB_STATE, j, Jobs_StateName(j->state))->number =
            now_ms - j->arrived_ms;
    }
    if (j->state > JOB_RUNNING && !runs) {
        j->ended_ms = now_ms;
        TAILQ_REMOVE(&sched->active, j, active);
    }
}
