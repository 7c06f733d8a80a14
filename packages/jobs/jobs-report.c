#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Adds an orphaned run, which is to be stopped. */
static void
add_orphan(struct jobs_worker *w, const char *task, uint64_t run)
{
    struct orphan_run *orphan;

    TAILQ_FOREACH (orphan, &w->orphans, entry) {
        if (orphan->run == run && strcmp(orphan->task, task) == 0) {
            return;
        }
    }
    orphan = Mem_Zero(1, sizeof(*orphan));
    Str_Copy(orphan->task, sizeof(orphan->task), task);
    orphan->run = run;
    TAILQ_INSERT_TAIL(&w->orphans, orphan, entry);
}

/* Records that a worker has reported under this owner's term.
 *
 * A previous owner that is not aware of its replacement may grant a worker
 * leases that this owner does not count, so that runs on an unreachable worker
 * go on for longer than this owner waits, and a task runs twice. Once a worker
 * has reported under this owner's term, its agent accepts nothing from
 * previous owners, and a lease that they have granted ends no later than a
 * lease that this owner grants now. Nothing is assigned to a worker before it
 * has reported so. */
static void
confirm_term(struct jobs_scheduler *sched, struct jobs_worker *w,
             uint64_t term, int64_t now_ms)
{
    if (!w->term_confirmed && term >= sched->limits.term) {
        w->term_confirmed = true;
        Jobs_LeaseGranted(sched, w->id, now_ms);
    }
}

/* True when the configuration has the service, or a job is left that was
 * accepted for it. */
static bool
is_known_service(const struct jobs_scheduler *sched, const char *service)
{
    const struct jobs_config *c = sched->config;
    const struct jobs_job *j;

    for (size_t i = 0; c != NULL && i < c->service_count; i++) {
        if (strcmp(c->services[i].name, service) == 0) {
            return true;
        }
    }
    for (size_t i = 0; c != NULL && i < c->queue_count; i++) {
        if (strcmp(c->queues[i].service, service) == 0) {
            return true;
        }
    }
    TAILQ_FOREACH (j, &sched->active, active) {
        if (strcmp(j->qos.service, service) == 0) {
            return true;
        }
    }
    return c == NULL;
}

/* Updates the worker's service, labels and capacity. A report with a service
 * that is not configured changes none of them: the last valid report stays in
 * force, and a worker without one gets no work. */
static void
update_service(struct jobs_scheduler *sched, struct jobs_worker *w,
               const struct jobs_report *r)
{
    if (strcmp(w->service, r->service) != 0 &&
        !is_known_service(sched, r->service)) {
        Unreadable(UNREADABLE_REPORT, w->id, "its service is not configured");
        return;
    }
    Str_Copy(w->service, sizeof(w->service), r->service);
    w->label_count = r->label_count;
    memcpy(w->labels, r->labels, sizeof(w->labels));
    /* The last label is the rack; those before it are kinds of worker. */
    Str_Copy(w->rack, sizeof(w->rack),
             r->label_count > 0 ? r->labels[r->label_count - 1] : "");
    w->capacity = r->capacity;
    Worker_SetMachine(sched, w);
}

/* Updates a worker with the fields of a report. */
static void
update_worker(struct jobs_scheduler *sched, struct jobs_worker *w,
              const struct jobs_report *r, int64_t now_ms)
{
    Worker_SetAgent(sched, w, r->agent);
    update_service(sched, w, r);
    Str_Copy(w->domain, sizeof(w->domain), r->domain);
    Drain_Reported(w, r, now_ms);
    w->draining = r->draining;
    w->reported = true;
    w->report_ms = now_ms;
    w->clock_ms = r->clock_ms;
}

static const char *const end_names[] = {
    [END_DONE] = "done",       [END_FAILED] = "failed",
    [END_STOPPED] = "stopped", [END_LAPSED] = "lapsed",
    [END_BROKEN] = "broken",   [END_ALONE] = "alone"};

/* Processes one end that the worker lists. */
static void
process_end(struct jobs_scheduler *sched, struct jobs_worker *w,
            const struct jobs_ended *e, int64_t now_ms)
{
    struct jobs_task *t = Scheduler_FindTask(sched, e->task);
    struct jobs_unit *u;

    if (t == NULL || t->worker != w || t->unit->run != e->run) {
        return;
    }
    u = t->unit;
    Trust_RunEnded(sched, w, t, e->how, now_ms);
    if (e->how == END_DONE) {
        Unit_Done(sched, u, now_ms);
        return;
    }
    if (*e->checkpoint != '\0') {
        Str_Copy(u->checkpoint, sizeof(u->checkpoint), e->checkpoint);
    }
    if (e->how == END_FAILED) {
        Str_Copy(u->avoid_worker, sizeof(u->avoid_worker),
                 u->task_count == 1 ? w->id : "");
        Unit_Failed(sched, u);
    }
    Task_RunOver(sched, t, end_names[e->how], now_ms);
}

/* Processes the ends that have not been processed yet. Workers need not list
 * them by number. */
static void
process_ends(struct jobs_scheduler *sched, struct jobs_worker *w,
             const struct jobs_ended *ended, size_t count, int64_t now_ms)
{
    uint64_t last = w->ends_taken;

    for (size_t i = 0; i < count; i++) {
        if (ended[i].number > w->ends_taken) {
            process_end(sched, w, &ended[i], now_ms);
        }
        if (ended[i].number > last) {
            last = ended[i].number;
        }
    }
    w->ends_taken = last;
}

/* Processes one run that the worker lists as running. */
static void
process_running(struct jobs_scheduler *sched, struct jobs_worker *w,
                const struct jobs_running *r, int64_t now_ms)
{
    struct jobs_task *t = Scheduler_FindTask(sched, r->task);
    struct jobs_unit *u;

    if (t != NULL && t->unit->job->held) {
        return;
    }
    if (t == NULL || t->worker != w || t->unit->run != r->run ||
        t->unit->state != UNIT_ASSIGNED) {
        add_orphan(w, r->task, r->run);
        return;
    }
    u = t->unit;
    if (*r->checkpoint != '\0') {
        Str_Copy(u->checkpoint, sizeof(u->checkpoint), r->checkpoint);
    }
    if (t->inherited && !t->confirmed) {
        t->assigned_ms = now_ms - Pace_LengthOn(u, w) * r->percent / 100;
    }
    Pace_Update(sched, w, t, r->percent, w->clock_ms, now_ms);
    t->confirmed = true;
    t->listed_clock_ms = w->clock_ms;
    t->tail_latency_ms = r->tail_latency_ms;
    Blame_RunListed(t, now_ms);
    Trust_RunListed(sched, w, t, now_ms);
    if (!u->begun) {
        u->begun = true;
        Scheduler_MarkDirty(u->job);
        Job_UpdateState(sched, u->job, now_ms);
    }
}

/* True when the report lists a run as running. */
static bool
lists_running(const struct jobs_report *r, const char *task, uint64_t run)
{
    for (size_t i = 0; i < r->running_count; i++) {
        if (r->running[i].run == run &&
            strcmp(r->running[i].task, task) == 0) {
            return true;
        }
    }
    return false;
}

/* Processes a run whose stop is confirmed. If it is listed neither as running
 * nor as ended, it never starts.
 *
 * A worker with many ends lists only the first of them. A run that ended as
 * done beyond those is in neither list, and would run again if it counted as
 * never begun. The stop is repeated until a report has all ends. */
static void
process_stopped(struct jobs_scheduler *sched, struct jobs_worker *w,
                const struct jobs_report *r, const struct jobs_stopped *s,
                int64_t now_ms)
{
    struct jobs_task *t = Scheduler_FindTask(sched, s->task);

    if (r->partial || t == NULL || t->worker != w || t->unit->run != s->run ||
        lists_running(r, s->task, s->run)) {
        return;
    }
    Task_RunOver(sched, t, "never_began", now_ms);
}

/* Stops runs that were listed before and are now listed neither as running nor
 * as ended.
 *
 * The worker's record of an end may be unreadable; the run would then count as
 * running for ever, and its job would never end. A worker lists each run that
 * it was given as running or as ended, both as of one moment, so a run that
 * has been missing from both lists for a second is over. The confirmation of
 * the stop releases the task. A partial report proves nothing. */
static void
stop_vanished(struct jobs_scheduler *sched, struct jobs_worker *w,
              const struct jobs_report *r)
{
    /* Reports arrive about every half of this. */
    static const int64_t vanished_ms = 1000;
    struct jobs_task *t;

    if (r->partial) {
        return;
    }
    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (t->confirmed && w->clock_ms - t->listed_clock_ms > vanished_ms) {
            Unit_Stop(sched, t->unit, "vanished");
        }
    }
}

/* Moves the runs of an incarnation to its successor under the same id. A
 * start that is still on its way holds the leases that the earlier one was
 * granted. */
static void
inherit_runs(struct jobs_scheduler *sched, struct jobs_worker *from,
             struct jobs_worker *to)
{
    struct jobs_task *t;

    if (from->lease_end_ms > to->lease_end_ms) {
        to->lease_end_ms = from->lease_end_ms;
    }
    while ((t = TAILQ_FIRST(&from->tasks)) != NULL) {
        Worker_RemoveTask(sched, t);
        Worker_AddTask(to, t);
        t->inherited = true;
        Scheduler_MarkDirty(t->unit->job);
    }
}

/* Stops inherited runs that the successor does not list; after the stop it
 * refuses their starts. */
static void
stop_unconfirmed_inherited(struct jobs_scheduler *sched, struct jobs_worker *w)
{
    struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (t->inherited && !t->confirmed) {
            Unit_Stop(sched, t->unit, "other_lifetime");
        }
    }
}

/* Ends all earlier incarnations of this agent's worker: a machine runs one
 * worker at a time, and the present one has answered polls under its own id.
 * Returns true when it has inherited runs.
 *
 * A start that was sent to an earlier incarnation with the same id may have
 * been carried out by the present one. If its run counted as over, it would be
 * started again. Whether the ids are the same shows in the names, so this
 * holds whatever the agent, or an owner, has forgotten by a restart. */
static bool
end_earlier_incarnations(struct jobs_scheduler *sched, struct jobs_worker *w,
                         int64_t now_ms)
{
    struct jobs_worker *other;
    bool inherited = false;

    while ((other = Worker_NextOfAgent(sched, w, NULL)) != NULL) {
        if (Jobs_SharesId(other->id, w->id) && !TAILQ_EMPTY(&other->tasks)) {
            inherit_runs(sched, other, w);
            inherited = true;
        }
        Worker_Lost(sched, other, "other_lifetime", now_ms);
        Worker_Free(sched, other);
    }
    return inherited;
}

/* True when a report changes how the worker can be used. */
static bool
is_changed(const struct jobs_scheduler *sched, const struct jobs_worker *w,
           const struct jobs_report *r, int64_t now_ms)
{
    bool notice = sched->limits.parts.departures && r->draining &&
                  r->drain_left_ms >= 0 && w->drain_end_ms == 0;

    return !w->reported || !w->term_confirmed || notice ||
           w->draining != r->draining ||
           now_ms - w->report_ms > sched->limits.silent_ms ||
           strcmp(w->service, r->service) != 0 ||
           memcmp(&w->capacity, &r->capacity, sizeof(r->capacity)) != 0;
}

/* Processes an agent's report on its worker. */
bool
Jobs_Report(struct jobs_scheduler *sched, const struct jobs_report *r,
            int64_t now_ms)
{
    struct jobs_worker *w;
    uint64_t gone = sched->runs_over;
    bool news, inherited;

    if (*r->worker == '\0') {
        return false;
    }
    w = Scheduler_GetWorker(sched, r->worker, r->agent);
    news = is_changed(sched, w, r, now_ms);
    update_worker(sched, w, r, now_ms);
    confirm_term(sched, w, r->term, now_ms);
    inherited = end_earlier_incarnations(sched, w, now_ms);
    process_ends(sched, w, r->ended, r->ended_count, now_ms);
    for (size_t i = 0; i < r->running_count; i++) {
        process_running(sched, w, &r->running[i], now_ms);
    }
    if (inherited) {
        stop_unconfirmed_inherited(sched, w);
    }
    for (size_t i = 0; i < r->stopped_count; i++) {
        process_stopped(sched, w, r, &r->stopped[i], now_ms);
    }
    stop_vanished(sched, w, r);
    Share_Update(sched, w, now_ms);
    return news || sched->runs_over != gone || !TAILQ_EMPTY(&w->orphans);
}

/* Handles a worker that has left: its agent read its announcement and found it
 * gone. A task may have ended as done while the agent was cut off, and its
 * worker may leave before the network recovers. The end would be lost with the
 * worker, the task would run again, and the steps after it would wait. So the
 * agent reports the last ends together with the leaving. */
bool
Jobs_WorkerLeft(struct jobs_scheduler *sched, const char *worker,
                const struct jobs_ended *ended, size_t count, int64_t now_ms)
{
    struct jobs_worker *w = Scheduler_FindWorker(sched, worker);

    if (w == NULL) {
        return false;
    }
    process_ends(sched, w, ended, count, now_ms);
    Worker_Lost(sched, w, "left", now_ms);
    Worker_Free(sched, w);
    return true;
}

/* Handles a start that a worker refused. The order may have been sent twice
 * and its other copy may still arrive, so the run is stopped before the next
 * one starts: after the stop, the worker refuses a late copy. */
void
Jobs_StartRefused(struct jobs_scheduler *sched, const char *worker,
                  const char *task, uint64_t run, const char *reason,
                  int64_t now_ms)
{
    static const int64_t pause_ms = 400; /* about the time of a stop */
    struct jobs_worker *w = Scheduler_FindWorker(sched, worker);
    struct jobs_task *t = Scheduler_FindTask(sched, task);

    if (w == NULL || t == NULL || t->worker != w || t->unit->run != run ||
        t->confirmed) {
        return;
    }
    if (strcmp(reason, "room") == 0 || strcmp(reason, "busy") == 0) {
        w->full_until_ms = now_ms + pause_ms;
    }
    if (strcmp(reason, "ticket") == 0) {
        Advice_ExpireTicket(t->unit, w);
    }
    Unit_Stop(sched, t->unit, "start_refused");
}

/* Extends the time until which a worker may hold a lease of this owner. */
void
Jobs_LeaseGranted(struct jobs_scheduler *sched, const char *worker,
                  int64_t now_ms)
{
    struct jobs_worker *w = Scheduler_FindWorker(sched, worker);
    int64_t end =
        now_ms + (int64_t)((double)sched->limits.lease_ms * LEASE_STRETCH);

    if (w != NULL && end > w->lease_end_ms) {
        w->lease_end_ms = end;
    }
}

/* Returns the number of the last end that the worker may forget. */
uint64_t
Jobs_LastSeen(const struct jobs_scheduler *sched, const char *worker)
{
    const struct jobs_worker *w = Scheduler_FindWorker(sched, worker);

    return w != NULL ? w->ends_stored : 0;
}

/* Marks the runs of a worker as inherited, and assigned now until their
 * progress gives their true age. Otherwise they would count as very old: as
 * the most expensive to evict, so that urgent work after a takeover finds
 * nothing to evict, and as about to end, so that units wait for them for too
 * long. */
static void
mark_inherited(struct jobs_worker *w, int64_t now_ms)
{
    struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        t->inherited = true;
        t->assigned_ms = now_ms;
    }
}

/* Starts as the owner after all rows have been added: workers without a report
 * may run what they have until lost_at_ms. */
void
Jobs_TakeOver(struct jobs_scheduler *sched, int64_t lost_at_ms, int64_t now_ms)
{
    struct jobs_worker *w;

    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        w->lease_end_ms = lost_at_ms;
        if (!w->reported) {
            w->report_ms = now_ms;
        }
        mark_inherited(w, now_ms);
    }
}

/* Shortens the waiting for workers without a report, as the previous owner has
 * certainly ended. */
void
Jobs_OwnerEnded(struct jobs_scheduler *sched, int64_t lost_at_ms)
{
    struct jobs_worker *w;

    RB_FOREACH (w, jobs_worker_tree, &sched->workers) {
        if (!w->reported && w->lease_end_ms > lost_at_ms) {
            w->lease_end_ms = lost_at_ms;
        }
    }
}
