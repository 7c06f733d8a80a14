/* Finds the tasks that crash the workers on which they start.
 *
 * A crash ends all runs on the worker, so the task that causes it is
 * distinguished from its neighbours by repetition: each crash adds blame to
 * every task that was there, and more to one that had just started. A task
 * with enough blame is given up. Until then a suspect is started on an empty
 * worker where possible, and nothing else is started there until it has worked
 * for a while, so that its next crash adds no blame to others.
 *
 * Workers also crash for reasons of their own. This can hit a sound task at
 * any moment of its run, and is rare just after its start. A worker that has
 * just restarted is empty and would attract suspects, so a machine that has
 * crashed recently is avoided; once it has crashed under other work too, its
 * crashes add little blame. */
#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

#define BLAME_EARLY 4 /* the run had just started */
#define BLAME_LATE 3  /* it had worked, or its start was not acknowledged */
/* Three crashes just after a start reach the limit, and four of any kind.
 * Callers are promised that no task is started again after five crashes, and
 * the agent may miss one. */
#define BLAME_LIMIT 12

/* A run that has been listed for less than this has just started. */
#define EARLY_MS 300
#define PROBATION_MS 1000 /* no other run joins a suspect for this long */
#define CLEARED_MS 20000  /* a run that has worked this long is sound */
/* Time for which a machine is avoided after a crash. */
#define CRASH_MEMORY_MS 60000

/* A machine whose worker has crashed recently. */
struct crashed_machine {
    char agent[NAME_SIZE];
    char worker[JOBS_TEXT_SIZE]; /* the incarnation that crashed last */
    int64_t crashed_ms;
    int64_t previous_ms; /* time of the crash before; 0: none */
    SLIST_ENTRY(crashed_machine) entry;
};

/* Forgets machines whose last crash is long ago. */
void
Blame_Expire(struct jobs_scheduler *sched, int64_t now_ms)
{
    struct crashed_machine *m, *next;

    for (m = SLIST_FIRST(&sched->crashed_machines); m != NULL; m = next) {
        next = SLIST_NEXT(m, entry);
        if (now_ms - m->crashed_ms > CRASH_MEMORY_MS) {
            SLIST_REMOVE(&sched->crashed_machines, m, crashed_machine, entry);
            free(m);
        }
    }
}

/* Finds the machine of an agent, if it has crashed recently. */
static struct crashed_machine *
find_machine(const struct jobs_scheduler *sched, const char *agent)
{
    struct crashed_machine *m;

    SLIST_FOREACH (m, &sched->crashed_machines, entry) {
        if (strcmp(m->agent, agent) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Records the crash of an incarnation, once. */
static const struct crashed_machine *
note_crash(struct jobs_scheduler *sched, const char *agent, const char *worker,
           int64_t now_ms)
{
    struct crashed_machine *m = find_machine(sched, agent);

    if (m == NULL) {
        m = Mem_Zero(1, sizeof(*m));
        Str_Copy(m->agent, sizeof(m->agent), agent);
        SLIST_INSERT_HEAD(&sched->crashed_machines, m, entry);
    }
    if (strcmp(m->worker, worker) != 0) {
        Str_Copy(m->worker, sizeof(m->worker), worker);
        m->previous_ms = m->crashed_ms;
        m->crashed_ms = now_ms;
    }
    return m;
}

/* True for a machine that suspects should avoid. */
bool
Blame_HasCrashed(const struct jobs_scheduler *sched, const char *agent,
                 int64_t now_ms)
{
    const struct crashed_machine *m = find_machine(sched, agent);

    return m != NULL && now_ms - m->crashed_ms <= CRASH_MEMORY_MS;
}

/* True when the last crash under the unit was on that agent's machine. */
bool
Blame_CrashedAt(const struct jobs_unit *u, const char *agent)
{
    return u->crashed_agent_hash != 0 &&
           u->crashed_agent_hash == Hash_Str(agent, 0);
}

/* True when a machine has recently crashed under other work than the unit. */
static bool
is_flapping(const struct crashed_machine *m, const struct jobs_unit *u,
            int64_t now_ms)
{
    return m->previous_ms != 0 && now_ms - m->previous_ms <= CRASH_MEMORY_MS &&
           !Blame_CrashedAt(u, m->agent);
}

/* Returns the blame that a crash adds to a run that was on the worker. */
static uint32_t
blame_for(const struct jobs_crash *c, bool flapping, const char **reason)
{
    if (flapping) {
        *reason = "flapping";
        return BLAME_LATE;
    }
    if (!c->acknowledged || c->worked_ms >= EARLY_MS) {
        *reason = "late";
        return BLAME_LATE;
    }
    *reason = "early";
    return BLAME_EARLY;
}

/* True for a task that may have crashed a worker. */
static bool
is_suspect(const struct jobs_task *t)
{
    return t->blame >= BLAME_EARLY;
}

/* Sets the blame of a task, and whether its unit is a suspect. */
void
Blame_Set(struct jobs_task *t, uint32_t blame)
{
    struct jobs_unit *u = t->unit;

    t->blame = blame;
    u->suspect = false;
    for (uint32_t i = 0; i < u->task_count; i++) {
        u->suspect = u->suspect || is_suspect(&u->tasks[i]);
    }
}

/* Puts a run that starts on a worker on probation if its task is a suspect. */
void
Blame_BeginProbation(struct jobs_task *t)
{
    t->on_probation = is_suspect(t);
    t->worker->on_probation += t->on_probation;
}

/* Ends the probation of a run that has worked for long enough or has left its
 * worker. */
void
Blame_EndProbation(struct jobs_task *t)
{
    t->worker->on_probation -= t->on_probation;
    t->on_probation = false;
}

/* Handles a report that lists the task's run as running. */
void
Blame_RunListed(struct jobs_task *t, int64_t now_ms)
{
    if (now_ms - t->assigned_ms >= PROBATION_MS) {
        Blame_EndProbation(t);
    }
    if (t->blame > 0 && now_ms - t->assigned_ms >= CLEARED_MS) {
        Blame_Set(t, 0);
        Scheduler_MarkDirty(t->unit->job);
    }
}

/* True when a crash has not been counted for the task yet. Agents repeat their
 * reports of a crash, and send them to each owner. A run that a report of the
 * next incarnation lists has not crashed. */
static bool
is_new(const struct jobs_task *t, const struct jobs_crash *c)
{
    const struct jobs_unit *u = t->unit;
    bool successor_runs_it = t->confirmed && c->run == u->run &&
                             strcmp(t->worker->id, c->worker) != 0;

    return !successor_runs_it && u->state != UNIT_DONE &&
           u->state != UNIT_FAILED && !u->dropped && !u->job->held &&
           c->run > t->crashed_run && c->run <= u->run;
}

/* Gives up a task that crashes workers, and fails its job. */
static void
give_up(struct jobs_scheduler *sched, struct jobs_task *t, int64_t now_ms)
{
    struct jobs_job *j = t->unit->job;

    Event_Task(sched, JOBS_TASK_GIVEN_UP, t, "crashes_workers")->number =
        t->crashes;
    Unit_GiveUp(sched, t->unit);
    Job_UpdateState(sched, j, now_ms);
}

/* Adds the blame for a crash to a task. One of a service is never given up: it
 * has to be restarted however it ends, and stays a suspect, which starts alone
 * where it can. */
static void
charge_crash(struct jobs_scheduler *sched, struct jobs_task *t,
             const struct crashed_machine *m, const struct jobs_crash *c,
             int64_t now_ms)
{
    struct jobs_unit *u = t->unit;
    struct jobs_event *e;
    const char *reason;
    uint32_t blame;

    blame = t->blame + blame_for(c, is_flapping(m, u, now_ms), &reason);
    Blame_Set(t, blame < BLAME_LIMIT ? blame : BLAME_LIMIT);
    t->crashed_run = c->run;
    t->crashes++;
    u->crashed_agent_hash = u->task_count == 1 ? Hash_Str(m->agent, 0) : 0;
    Scheduler_MarkDirty(u->job);
    e = Event_Task(sched, JOBS_CRASH_CHARGED, t, reason);
    e->run = c->run;
    e->number = t->blame;
    Str_Copy(e->worker, sizeof(e->worker), c->worker);
    if (t->blame >= BLAME_LIMIT && !Unit_Step(u)->lasting) {
        give_up(sched, t, now_ms);
    }
}

/* Charges a crash to the tasks that were on the worker; the latest crash is
 * last in the list. */
void
Jobs_WorkerCrashed(struct jobs_scheduler *sched, const char *agent,
                   const struct jobs_crash *crashes, size_t count,
                   int64_t now_ms)
{
    const struct crashed_machine *m;

    if (count == 0) {
        return;
    }
    m = note_crash(sched, agent, crashes[count - 1].worker, now_ms);
    for (size_t i = 0; i < count; i++) {
        struct jobs_task *t = Scheduler_FindTask(sched, crashes[i].task);

        if (t != NULL && is_new(t, &crashes[i])) {
            charge_crash(sched, t, m, &crashes[i], now_ms);
        }
    }
}
