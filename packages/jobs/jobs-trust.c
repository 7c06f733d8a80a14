#include "jobs-scheduler.h"

#include <string.h>

/* Failures in a row that show a worker to be at fault. On a sound worker at
 * most 2% of the runs fail by chance. */
#define FAILURES_IN_ROW_MAX 3
#define QUARANTINE_MS 4000 /* then the worker is tried again */
/* A quarantine soon after another one is twice as long, up to this. */
#define QUARANTINE_MAX_MS 32000
/* The longest time for which a quarantine keeps off a unit that no other
 * workers can run. */
#define NEEDED_QUARANTINE_MS 8000
/* A quarantine counts for this long after its end. Without an end of it, a
 * worker that gets no run could never regain trust. */
#define MEMORY_MS 60000
/* A run that fails within this fraction of its work fails early. Tasks that
 * fail by their own fault do so after most of their work, or on any worker. */
#define EARLY_FAILURE_DIVISOR 4
/* A run that has worked for this long shows that its worker runs tasks. Tasks
 * of a service may fail at any time, so failures of theirs count against the
 * worker only before it. */
#define PROVEN_MS 2000
/* One early failure is enough for a quarantine only while fewer than one in
 * this many workers is in quarantine. Where more fail, the workers are not the
 * cause. */
#define QUARANTINE_DIVISOR 4

/* Counts the workers in quarantine. */
static size_t
count_quarantined(const struct jobs_scheduler *sched, int64_t now_ms)
{
    struct jobs_worker *w;
    size_t n = 0;

    RB_FOREACH (w, jobs_worker_tree,
                (struct jobs_worker_tree *)&sched->workers) {
        n += w->quarantine_until_ms > now_ms;
    }
    return n;
}

/* True when a failure is the fault of the job: it has failed on another worker
 * before, and no run of it has ever ended as done. */
static bool
is_fault_of_job(struct jobs_job *j, const struct jobs_worker *w)
{
    if (*j->first_failed_worker == '\0') {
        Str_Copy(j->first_failed_worker, sizeof(j->first_failed_worker),
                 w->id);
    }
    return !j->has_succeeded && strcmp(j->first_failed_worker, w->id) != 0;
}

/* True for a failure that says nothing about its worker: a task of a service
 * failed after it had been at work. */
static bool
is_late_failure_of_service(const struct jobs_task *t, int64_t now_ms)
{
    return Unit_Step(t->unit)->lasting && now_ms - t->assigned_ms > PROVEN_MS;
}

/* True for a failure that is enough to put its worker into quarantine. */
static bool
is_conclusive(const struct jobs_scheduler *sched, const struct jobs_task *t,
              int64_t now_ms)
{
    return !Unit_Step(t->unit)->lasting &&
           now_ms - t->assigned_ms <=
               Pace_WorkMs(t->unit) / EARLY_FAILURE_DIVISOR &&
           count_quarantined(sched, now_ms) <
               sched->worker_count / QUARANTINE_DIVISOR;
}

/* True while the worker's last quarantine is recent. */
static bool
is_remembered(const struct jobs_worker *w, int64_t now_ms)
{
    return w->quarantine_ms != 0 &&
           now_ms - w->quarantine_until_ms <= MEMORY_MS;
}

/* Puts a worker into quarantine, or extends the present one. */
static void
quarantine(struct jobs_scheduler *sched, struct jobs_worker *w, int64_t now_ms)
{
    if (w->quarantine_until_ms <= now_ms) {
        bool again =
            sched->limits.parts.departures && is_remembered(w, now_ms);

        w->quarantine_ms = again ? 2 * w->quarantine_ms : QUARANTINE_MS;
        if (w->quarantine_ms > QUARANTINE_MAX_MS) {
            w->quarantine_ms = QUARANTINE_MAX_MS;
        }
        Event_Worker(sched, w, "fails_all")->number = w->quarantine_ms;
    }
    w->runs_at_a_time = 1;
    w->quarantine_until_ms = now_ms + w->quarantine_ms;
    sched->quarantined_ms = now_ms;
}

/* Gives a worker more trust, once for each run that shows that it runs tasks:
 * one unit at a time, then two, then all that fit. */
static void
raise_trust(struct jobs_scheduler *sched, struct jobs_worker *w,
            struct jobs_task *t, int64_t now_ms)
{
    if (t->proven || !Trust_IsRegaining(sched, w, now_ms)) {
        return;
    }
    t->proven = true;
    w->runs_at_a_time = w->runs_at_a_time == 1 ? 2 : 0;
    Event_Worker(sched, w, "regains_trust")->number = w->runs_at_a_time;
}

/* True for a worker that was in quarantine and has not shown yet that it runs
 * all tasks.
 *
 * A worker that fails what it starts would otherwise get as many runs as fit
 * after each quarantine, and fail all of them at once. */
bool
Trust_IsRegaining(const struct jobs_scheduler *sched,
                  const struct jobs_worker *w, int64_t now_ms)
{
    return sched->limits.parts.departures && w->runs_at_a_time != 0 &&
           is_remembered(w, now_ms);
}

/* True while a worker is in quarantine for longer than units wait that need
 * it. */
bool
Trust_IsInLongQuarantine(const struct jobs_worker *w, int64_t now_ms)
{
    int64_t begun_ms = w->quarantine_until_ms - w->quarantine_ms;

    return now_ms < w->quarantine_until_ms &&
           now_ms >= begun_ms + NEEDED_QUARANTINE_MS;
}

/* True when a quarantine keeps the unit off the worker.
 *
 * A task of a service has to be restarted within seconds, however it ended,
 * and its worker may be the only one with its label. So longer quarantines
 * don't count for it: it tries the worker again as after a first one. Nor do
 * they for other units that need the worker, but these spend attempts, so they
 * wait for longer. */
bool
Trust_KeepsOff(const struct jobs_worker *w, const struct jobs_unit *u,
               int64_t now_ms)
{
    int64_t begun_ms = w->quarantine_until_ms - w->quarantine_ms;

    return now_ms < w->quarantine_until_ms &&
           (!Unit_Step(u)->lasting || now_ms < begun_ms + QUARANTINE_MS) &&
           (!u->may_use_quarantined || !Trust_IsInLongQuarantine(w, now_ms));
}

/* Compares the sums over all workers of the service, for each resource. */
bool
Trust_IsHalfIdle(const struct jobs_scheduler *sched, const char *service)
{
    struct jobs_resources capacity = {0}, used = {0};
    struct jobs_worker *w;

    RB_FOREACH (w, jobs_worker_tree,
                (struct jobs_worker_tree *)&sched->workers) {
        if (w->reported && strcmp(w->service, service) == 0) {
            Resources_Add(&capacity, &w->capacity, 1);
            Resources_Add(&used, &w->used, 1);
        }
    }
    return 2 * used.millicores <= capacity.millicores &&
           2 * used.memory_mb <= capacity.memory_mb &&
           2 * used.accelerators <= capacity.accelerators;
}

/* True for a run that may still show whether its worker runs tasks. */
static bool
is_trial(const struct jobs_task *t, int64_t now_ms)
{
    return !t->confirmed || now_ms - t->assigned_ms <= PROVEN_MS;
}

/* True for the first of its unit's tasks on their worker. */
static bool
is_first_of_unit(const struct jobs_task *t)
{
    const struct jobs_unit *u = t->unit;

    for (uint32_t i = 0; &u->tasks[i] != t; i++) {
        if (u->tasks[i].worker == t->worker) {
            return false;
        }
    }
    return true;
}

/* True when one more unit may start on the worker. The limit counts units: a
 * gang needs all its places at once, so it could never start, and never show
 * that the only worker for it is sound, if the limit counted its tasks. Runs
 * that have been at work don't count: they may never end as done, and would
 * take the only place from all other work that needs the worker. */
bool
Trust_MayStart(const struct jobs_scheduler *sched, const struct jobs_worker *w,
               int64_t now_ms)
{
    const struct jobs_task *t;
    uint32_t n = 0;

    if (!Trust_IsRegaining(sched, w, now_ms)) {
        return true;
    }
    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        n += is_trial(t, now_ms) && is_first_of_unit(t);
    }
    return n < w->runs_at_a_time;
}

/* Handles a report that lists a run as running. Without this, trust would
 * return only with runs that end as done, which long ones and tasks of a
 * service don't do in time, or ever. */
void
Trust_RunListed(struct jobs_scheduler *sched, struct jobs_worker *w,
                struct jobs_task *t, int64_t now_ms)
{
    if (now_ms - t->assigned_ms > PROVEN_MS && !t->unit->stopping &&
        is_first_of_unit(t)) {
        raise_trust(sched, w, t, now_ms);
    }
}

/* Updates the health of a worker with an end. A worker that fails whatever it
 * starts is put into quarantine for a while.
 *
 * A faulty worker ends each task immediately, so it always has room and
 * attracts the next task. Jobs would use up their attempts within seconds,
 * gangs first, as one member on it is enough. So one early failure is enough
 * for a quarantine, and otherwise several in a row. A job that fails on every
 * worker costs at most one quarantine, and a single run that ends as done
 * clears the count, so sound workers stay in use. */
void
Trust_RunEnded(struct jobs_scheduler *sched, struct jobs_worker *w,
               struct jobs_task *t, enum jobs_end how, int64_t now_ms)
{
    if (how == END_DONE) {
        w->failures_in_row = 0;
        if (w->quarantine_until_ms > now_ms) {
            w->quarantine_until_ms = now_ms;
        }
        raise_trust(sched, w, t, now_ms);
        w->last_success_ms = now_ms;
    }
    if (how != END_FAILED || is_late_failure_of_service(t, now_ms) ||
        is_fault_of_job(t->unit->job, w)) {
        return;
    }
    w->failures_in_row++;
    if (w->failures_in_row < FAILURES_IN_ROW_MAX &&
        !is_conclusive(sched, t, now_ms)) {
        return;
    }
    quarantine(sched, w, now_ms);
}
