/*
 * Which task crashes the workers that start it?
 *
 * A crash takes along all that runs on the worker, so the task that causes it
 * is told from its neighbours by repetition: each crash adds blame to all that
 * was there, more to what had just begun. A task with enough blame is given
 * up. Until then a suspect starts on an empty worker where it can, and nothing
 * joins it before it has worked for a while, so that its next crash adds no
 * blame to others.
 *
 * Load: workers that go down by themselves while sound work runs there. Such
 * work is hit at any moment of its run, rarely just after its start. Workers
 * that are just back are empty, and would draw suspects: a machine that has
 * crashed lately is avoided, and once it has crashed under other work too, its
 * crashes add little.
 */
#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

#define BLAME_EARLY 4 /* it had just begun */
#define BLAME_LATE 3  /* it had worked, or its start was not acknowledged */
/* Three crashes just after a start are enough, four of any kind. Callers are
 * promised that no task is started again after five; the agent may miss one.
 */
#define BLAME_ENOUGH 12

#define EARLY_MS 300      /* seen at work for less, a run has just begun */
#define PROBATION_MS 1000 /* nothing joins a suspect for so long */
#define SOUND_MS 20000    /* a run that works so long crashes no worker */
#define LATELY_MS 60000   /* a machine is avoided so long after a crash */

/* A machine whose worker has crashed lately. */
struct machine {
    char agent[NAME_SIZE];
    char worker[JOBS_TEXT_SIZE]; /* the lifetime that crashed last */
    int64_t crashed_ms;
    int64_t before_ms; /* the crash before that one; 0: none */
    SLIST_ENTRY(machine) entry;
};

/* Forgets machines that have crashed long ago. */
void
Blame_Expire(struct jobs_scheduler *b, int64_t now_ms)
{
    struct machine *m, *next;

    for (m = SLIST_FIRST(&b->machines); m != NULL; m = next) {
        next = SLIST_NEXT(m, entry);
        if (now_ms - m->crashed_ms > LATELY_MS) {
            SLIST_REMOVE(&b->machines, m, machine, entry);
            free(m);
        }
    }
}

/* The machine of that agent, if it has crashed lately. */
static struct machine *
find_machine(const struct jobs_scheduler *b, const char *agent)
{
    struct machine *m;

    SLIST_FOREACH (m, &b->machines, entry) {
        if (strcmp(m->agent, agent) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Notes the crash of a lifetime, once. */
static const struct machine *
note_machine(struct jobs_scheduler *b, const char *agent, const char *worker,
             int64_t now_ms)
{
    struct machine *m = find_machine(b, agent);

    if (m == NULL) {
        m = Mem_Zero(1, sizeof(*m));
        Str_Copy(m->agent, sizeof(m->agent), agent);
        SLIST_INSERT_HEAD(&b->machines, m, entry);
    }
    if (strcmp(m->worker, worker) != 0) {
        Str_Copy(m->worker, sizeof(m->worker), worker);
        m->before_ms = m->crashed_ms;
        m->crashed_ms = now_ms;
    }
    return m;
}

/* True for a machine where a suspect had better not start. */
bool
Blame_HasCrashed(const struct jobs_scheduler *b, const char *agent,
                 int64_t now_ms)
{
    const struct machine *m = find_machine(b, agent);

    return m != NULL && now_ms - m->crashed_ms <= LATELY_MS;
}

/* True when the last crash under the unit was there. */
bool
Blame_CrashedAt(const struct jobs_unit *u, const char *agent)
{
    return u->crashed_at != 0 && u->crashed_at == Hash_Str(agent, 0);
}

/* True when a machine has crashed lately under other work than the unit. */
static bool
is_flapping(const struct machine *m, const struct jobs_unit *u, int64_t now_ms)
{
    return m->before_ms != 0 && now_ms - m->before_ms <= LATELY_MS &&
           !Blame_CrashedAt(u, m->agent);
}

/* What a crash tells of a run that was there. */
static uint32_t
weigh(const struct jobs_crash *c, bool flapping, const char **reason)
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

/* Sets what a task is blamed for, and whether its unit is a suspect. */
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

/* A run of the task is put on a worker. */
void
Blame_Begin(struct jobs_task *t)
{
    t->on_probation = is_suspect(t);
    t->worker->on_probation += t->on_probation;
}

/* It is taken off its worker, or has worked for long enough. */
void
Blame_End(struct jobs_task *t)
{
    t->worker->on_probation -= t->on_probation;
    t->on_probation = false;
}

/* A report shows the task's run at work. */
void
Blame_SeenAtWork(struct jobs_task *t, int64_t now_ms)
{
    if (now_ms - t->given_ms >= PROBATION_MS) {
        Blame_End(t);
    }
    if (t->blame > 0 && now_ms - t->given_ms >= SOUND_MS) {
        Blame_Set(t, 0);
        Scheduler_Touch(t->unit->job);
    }
}

/* True when the crash is news of a run of the task: agents repeat what they
 * tell, and tell each owner. */
static bool
is_news(const struct jobs_task *t, const struct jobs_crash *c)
{
    const struct jobs_unit *u = t->unit;
    bool heir_has_it = t->confirmed && c->run == u->run &&
                       strcmp(t->worker->id, c->worker) != 0;

    return !heir_has_it && u->state != UNIT_DONE && u->state != UNIT_FAILED &&
           !u->dropped && !u->job->held && c->run > t->crashed_run &&
           c->run <= u->run;
}

/* Gives a task up, and with it its job. */
static void
give_up(struct jobs_scheduler *b, struct jobs_task *t, int64_t now_ms)
{
    struct jobs_job *j = t->unit->job;

    Event_Task(b, JOBS_TASK_GIVEN_UP, t, "crashes_workers")->number =
        t->crashes;
    Unit_GiveUp(b, t->unit);
    Job_Settle(b, j, now_ms);
}

/* Adds the blame of one run. */
static void
take_crash(struct jobs_scheduler *b, struct jobs_task *t,
           const struct machine *m, const struct jobs_crash *c, int64_t now_ms)
{
    struct jobs_unit *u = t->unit;
    struct jobs_event *e;
    const char *reason;

    Blame_Set(t, t->blame + weigh(c, is_flapping(m, u, now_ms), &reason));
    t->crashed_run = c->run;
    t->crashes++;
    u->crashed_at = u->task_count == 1 ? Hash_Str(m->agent, 0) : 0;
    Scheduler_Touch(u->job);
    e = Event_Task(b, JOBS_CRASH_CHARGED, t, reason);
    e->run = c->run;
    e->number = t->blame;
    Str_Copy(e->worker, sizeof(e->worker), c->worker);
    if (t->blame >= BLAME_ENOUGH) {
        give_up(b, t, now_ms);
    }
}

/* An agent tells what was on its worker when that crashed, the last crash at
 * the end. */
void
Jobs_WorkerCrashed(struct jobs_scheduler *b, const char *agent,
                   const struct jobs_crash *crashes, size_t count,
                   int64_t now_ms)
{
    const struct machine *m;

    if (count == 0) {
        return;
    }
    m = note_machine(b, agent, crashes[count - 1].worker, now_ms);
    for (size_t i = 0; i < count; i++) {
        struct jobs_task *t = Scheduler_FindTask(b, crashes[i].task);

        if (t != NULL && is_news(t, &crashes[i])) {
            take_crash(b, t, m, &crashes[i], now_ms);
        }
    }
}
