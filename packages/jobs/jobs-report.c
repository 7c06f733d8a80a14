#include "jobs-scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Notes a run that is not wanted, to be stopped. */
static void
add_stray(struct jobs_worker *w, const char *task, uint64_t run)
{
    struct stray *s;

    TAILQ_FOREACH (s, &w->strays, entry) {
        if (s->run == run && strcmp(s->task, task) == 0) {
            return;
        }
    }
    s = Mem_Zero(1, sizeof(*s));
    Str_Copy(s->task, sizeof(s->task), task);
    s->run = run;
    TAILQ_INSERT_TAIL(&w->strays, s, entry);
}

/* Notes that a worker has answered under our term.
 *
 * Failure: the owner before, which does not know yet that it is deposed,
 * grants a worker leases that we don't count, and it runs for longer than we
 * wait when it gets out of reach. Symptom: a task runs twice. Once a worker
 * has answered under our term its agent takes nothing from that owner; what it
 * took before is no longer than a lease of ours from now on. Nothing is given
 * to it earlier. */
static void
note_term(struct jobs_scheduler *b, struct jobs_worker *w, uint64_t term,
          int64_t now_ms)
{
    if (!w->obeys && term >= b->limits.term) {
        w->obeys = true;
        Jobs_LeaseGranted(b, w->id, now_ms);
    }
}

/* True when the configuration names the service, or a job is left that was
 * taken for it. */
static bool
is_named(const struct jobs_scheduler *b, const char *service)
{
    const struct jobs_config *c = b->config;
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
    TAILQ_FOREACH (j, &b->active, active) {
        if (strcmp(j->terms.service, service) == 0) {
            return true;
        }
    }
    return c == NULL;
}

/* Takes what the worker is and has. A report that names a service that nobody
 * has configured changes nothing: the last good one holds, and a worker of
 * which there is none gets no work. */
static void
take_kind(struct jobs_scheduler *b, struct jobs_worker *w,
          const struct jobs_report *r)
{
    if (strcmp(w->service, r->service) != 0 && !is_named(b, r->service)) {
        Unreadable(UNREADABLE_REPORT, w->id, "a service that is not named");
        return;
    }
    Str_Copy(w->service, sizeof(w->service), r->service);
    w->label_count = r->label_count;
    memcpy(w->labels, r->labels, sizeof(w->labels));
    /* The last label is the rack; the ones before are kinds. */
    Str_Copy(w->rack, sizeof(w->rack),
             r->label_count > 0 ? r->labels[r->label_count - 1] : "");
    w->capacity = r->capacity;
}

/* Takes the facts of the worker itself. */
static void
take_facts(struct jobs_scheduler *b, struct jobs_worker *w,
           const struct jobs_report *r, int64_t now_ms)
{
    Str_Copy(w->agent, sizeof(w->agent), r->agent);
    take_kind(b, w, r);
    Str_Copy(w->domain, sizeof(w->domain), r->domain);
    w->draining = r->draining;
    w->heard = true;
    w->report_ms = now_ms;
    w->clock_ms = r->clock_ms;
}

#define FAILS_ALL 3  /* failures in a row: by chance, 2% each, at most */
#define REST_MS 4000 /* one is left alone so long, then tried again */
/* A run that fails within this share of its work fails early. Work that fails
 * by its own fault does so after most of it, or wherever it is run. */
#define EARLY_SHARE 4
/* No more than one worker in so many is left alone for one early failure each:
 * where more fail, it is not the workers. */
#define RESTING_SHARE 4

/* How many workers are left alone now. */
static size_t
count_resting(const struct jobs_scheduler *b, int64_t now_ms)
{
    struct jobs_worker *w;
    size_t n = 0;

    RB_FOREACH (w, lifetime_tree, (struct lifetime_tree *)&b->workers) {
        n += w->suspect_until_ms > now_ms;
    }
    return n;
}

/* True when a job's failure tells of the job: it has failed on another worker
 * before, and nothing of it has ever ended well. */
static bool
tells_of_job(struct jobs_job *j, const struct jobs_worker *w)
{
    if (*j->failed_on == '\0') {
        Str_Copy(j->failed_on, sizeof(j->failed_on), w->id);
    }
    return !j->ended_well && strcmp(j->failed_on, w->id) != 0;
}

/* True for a failure that is enough alone to leave its worker for a while. */
static bool
is_enough(const struct jobs_scheduler *b, const struct jobs_task *t,
          int64_t now_ms)
{
    return now_ms - t->given_ms <= Pace_WorkMs(t->unit) / EARLY_SHARE &&
           count_resting(b, now_ms) < b->worker_count / RESTING_SHARE;
}

/* Notes what an end tells of its worker. One that fails all that it starts,
 * whatever it is, is left alone for a while.
 *
 * Failure: a sick worker ends each task at once, so it always has room and
 * draws the next one. Symptom: jobs run out of attempts within seconds, gangs
 * first, as one member is enough. One early failure is enough, therefore; else
 * it takes some in a row. A job that fails wherever it runs costs one worker
 * at most, and a single end that is done clears the count, so sound workers
 * stay in use. */
static void
note_health(struct jobs_scheduler *b, struct jobs_worker *w,
            const struct jobs_task *t, enum jobs_end how, int64_t now_ms)
{
    if (how == END_DONE) {
        w->failures_in_row = 0;
        w->suspect_until_ms = 0;
        w->well_ms = now_ms;
    }
    if (how != END_FAILED || tells_of_job(t->unit->job, w)) {
        return;
    }
    w->failures_in_row++;
    if (w->failures_in_row < FAILS_ALL && !is_enough(b, t, now_ms)) {
        return;
    }
    if (w->suspect_until_ms <= now_ms) {
        Event_Worker(b, w, "fails_all")->number = REST_MS;
    }
    w->suspect_until_ms = now_ms + REST_MS;
    b->sick_ms = now_ms;
}

static const char *const end_names[] = {
    [END_DONE] = "done",       [END_FAILED] = "failed",
    [END_STOPPED] = "stopped", [END_LAPSED] = "lapsed",
    [END_BROKEN] = "broken",   [END_ALONE] = "alone"};

/* One end that the worker lists. */
static void
take_end(struct jobs_scheduler *b, struct jobs_worker *w,
         const struct jobs_ended *e, int64_t now_ms)
{
    struct jobs_task *t = Scheduler_FindTask(b, e->task);
    struct jobs_unit *u;

    if (t == NULL || t->worker != w || t->unit->run != e->run) {
        return;
    }
    u = t->unit;
    note_health(b, w, t, e->how, now_ms);
    if (e->how == END_DONE) {
        Unit_Done(b, u, now_ms);
        return;
    }
    if (*e->checkpoint != '\0') {
        Str_Copy(u->checkpoint, sizeof(u->checkpoint), e->checkpoint);
    }
    if (e->how == END_FAILED) {
        Str_Copy(u->avoid, sizeof(u->avoid), u->task_count == 1 ? w->id : "");
        Unit_Failed(b, u);
    }
    Task_Gone(b, t, end_names[e->how], now_ms);
}

/* The ends that are news, in their order. */
static void
take_ends(struct jobs_scheduler *b, struct jobs_worker *w,
          const struct jobs_ended *ended, size_t count, int64_t now_ms)
{
    for (size_t i = 0; i < count; i++) {
        if (ended[i].number > w->seen) {
            take_end(b, w, &ended[i], now_ms);
            w->seen = ended[i].number;
        }
    }
}

/* One run that the worker lists as there. */
static void
take_running(struct jobs_scheduler *b, struct jobs_worker *w,
             const struct jobs_running *r, int64_t now_ms)
{
    struct jobs_task *t = Scheduler_FindTask(b, r->task);
    struct jobs_unit *u;

    if (t != NULL && t->unit->job->held) {
        return;
    }
    if (t == NULL || t->worker != w || t->unit->run != r->run ||
        t->unit->state != UNIT_GIVEN) {
        add_stray(w, r->task, r->run);
        return;
    }
    u = t->unit;
    if (*r->checkpoint != '\0') {
        Str_Copy(u->checkpoint, sizeof(u->checkpoint), r->checkpoint);
    }
    if (t->inherited && !t->confirmed) {
        t->given_ms = now_ms - Pace_WorkMs(u) * r->percent / 100;
    }
    Pace_Take(b, w, t, r->percent, w->clock_ms, now_ms);
    t->confirmed = true;
    t->listed_clock_ms = w->clock_ms;
    t->figure = r->tail_latency_ms;
    Blame_SeenAtWork(t, now_ms);
    if (!u->begun) {
        u->begun = true;
        Scheduler_Touch(u->job);
        Job_Settle(b, u->job, now_ms);
    }
}

/* True when the report lists that run as there. */
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

/* A run whose stop is confirmed, and that is not there: it never begins. */
static void
take_stopped(struct jobs_scheduler *b, struct jobs_worker *w,
             const struct jobs_report *r, const struct jobs_stopped *s,
             int64_t now_ms)
{
    struct jobs_task *t = Scheduler_FindTask(b, s->task);

    if (t == NULL || t->worker != w || t->unit->run != s->run ||
        lists_running(r, s->task, s->run)) {
        return;
    }
    Task_Gone(b, t, "never_began", now_ms);
}

/* Stops runs that were listed and are not any more, though no end was.
 *
 * Failure: the row that tells a run's end can't be read. Symptom: the run is
 * taken for working for ever, and its job never ends. A worker lists what it
 * was given as running or as ended, both as of one moment; what is in neither
 * list for a second is over, and a stop makes sure of it: its confirmation
 * frees the task. A list of ends that is full may lack some, and proves
 * nothing. */
static void
stop_vanished(struct jobs_scheduler *b, struct jobs_worker *w,
              const struct jobs_report *r)
{
    static const int64_t vanished_ms = 1000; /* reports come twice as often */
    static const size_t full = 500;          /* ends in one list, at most */
    struct jobs_task *t;

    if (r->ended_count >= full) {
        return;
    }
    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (t->confirmed && w->clock_ms - t->listed_clock_ms > vanished_ms) {
            Unit_Stop(b, t->unit, "vanished");
        }
    }
}

/* Moves the runs of a lifetime to its heir, where a start that is still on its
 * way would be carried out. */
static void
inherit_runs(struct jobs_scheduler *b, struct jobs_worker *from,
             struct jobs_worker *to)
{
    struct jobs_task *t;

    while ((t = TAILQ_FIRST(&from->tasks)) != NULL) {
        Worker_LetGo(b, t);
        Worker_Take(to, t);
        t->inherited = true;
        Scheduler_Touch(t->unit->job);
    }
}

/* Moves the runs of the other lifetimes that this agent had beside it. */
static void
inherit_earlier(struct jobs_scheduler *b, struct jobs_worker *w)
{
    struct jobs_worker *other;

    RB_FOREACH (other, lifetime_tree, &b->workers) {
        if (other != w && strcmp(other->agent, w->agent) == 0) {
            inherit_runs(b, other, w);
        }
    }
}

/* Stops inherited runs that the heir does not have: from then on it refuses
 * their starts. */
static void
stop_inherited(struct jobs_scheduler *b, struct jobs_worker *w)
{
    struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        if (!t->confirmed) {
            Unit_Stop(b, t->unit, "other_lifetime");
        }
    }
}

/* Ends the other lifetimes that this agent had beside it: a machine holds
 * one worker at a time, and this one has answered under its own id. */
static void
end_earlier(struct jobs_scheduler *b, const struct jobs_worker *w,
            int64_t now_ms)
{
    struct jobs_worker *other, *next;

    for (other = RB_MIN(lifetime_tree, &b->workers); other != NULL;
         other = next) {
        next = RB_NEXT(lifetime_tree, &b->workers, other);
        if (other != w && strcmp(other->agent, w->agent) == 0) {
            Worker_Lost(b, other, "other_lifetime", now_ms);
            Worker_Free(b, other);
        }
    }
}

/* True when the report shows a worker that may be used otherwise than it was.
 */
static bool
is_changed(const struct jobs_scheduler *b, const struct jobs_worker *w,
           const struct jobs_report *r, int64_t now_ms)
{
    return !w->heard || !w->obeys || w->draining != r->draining ||
           now_ms - w->report_ms > b->limits.silent_ms ||
           strcmp(w->service, r->service) != 0 ||
           memcmp(&w->capacity, &r->capacity, sizeof(r->capacity)) != 0;
}

/* Takes an agent's report on its worker. */
bool
Jobs_Report(struct jobs_scheduler *b, const struct jobs_report *r,
            int64_t now_ms)
{
    struct jobs_worker *w;
    uint64_t gone = b->runs_over;
    bool heir = *r->successor_of != '\0' &&
                Scheduler_FindWorker(b, r->successor_of) != NULL;
    bool news;

    if (*r->worker == '\0') {
        return false;
    }
    w = Scheduler_Worker(b, r->worker, r->agent);
    news = is_changed(b, w, r, now_ms);
    take_facts(b, w, r, now_ms);
    note_term(b, w, r->term, now_ms);
    if (heir) {
        inherit_earlier(b, w);
    }
    end_earlier(b, w, now_ms);
    take_ends(b, w, r->ended, r->ended_count, now_ms);
    for (size_t i = 0; i < r->running_count; i++) {
        take_running(b, w, &r->running[i], now_ms);
    }
    if (heir) {
        stop_inherited(b, w);
    }
    for (size_t i = 0; i < r->stopped_count; i++) {
        take_stopped(b, w, r, &r->stopped[i], now_ms);
    }
    stop_vanished(b, w, r);
    Share_Take(b, w, now_ms);
    return news || b->runs_over != gone || !TAILQ_EMPTY(&w->strays);
}

/* A worker has left: its agent saw its word and found it gone.
 *
 * Failure: a task ends as done while its agent is cut off, and its worker
 * leaves before the cut heals. Symptom: the end is lost with the worker, the
 * task runs once more, and what comes after it waits. The agent therefore
 * tells the last ends together with the leaving. */
bool
Jobs_WorkerLeft(struct jobs_scheduler *b, const char *worker,
                const struct jobs_ended *ended, size_t count, int64_t now_ms)
{
    struct jobs_worker *w = Scheduler_FindWorker(b, worker);

    if (w == NULL) {
        return false;
    }
    take_ends(b, w, ended, count, now_ms);
    Worker_Lost(b, w, "left", now_ms);
    Worker_Free(b, w);
    return true;
}

/* A worker refused a start. The order may have been sent twice, and its other
 * copy may still arrive, so the run is stopped before the next one: after
 * that the worker refuses whatever comes late. */
void
Jobs_StartRefused(struct jobs_scheduler *b, const char *worker,
                  const char *task, uint64_t run, const char *reason,
                  int64_t now_ms)
{
    static const int64_t pause_ms = 400; /* a stop takes about as long */
    struct jobs_worker *w = Scheduler_FindWorker(b, worker);
    struct jobs_task *t = Scheduler_FindTask(b, task);

    if (w == NULL || t == NULL || t->worker != w || t->unit->run != run ||
        t->confirmed) {
        return;
    }
    if (strcmp(reason, "room") == 0 || strcmp(reason, "busy") == 0) {
        w->full_until_ms = now_ms + pause_ms;
    }
    if (strcmp(reason, "ticket") == 0) {
        Advice_Drop(t->unit, w);
    }
    Unit_Stop(b, t->unit, "start_refused");
}

/* Until when an agent's worker may hold leases of ours. */
void
Jobs_LeaseGranted(struct jobs_scheduler *b, const char *worker, int64_t now_ms)
{
    struct jobs_worker *w = Scheduler_FindWorker(b, worker);
    int64_t end =
        now_ms + (int64_t)((double)b->limits.lease_ms * LEASE_STRETCH);

    if (w != NULL && end > w->lease_end_ms) {
        w->lease_end_ms = end;
    }
}

/* Up to which end the worker may forget. */
uint64_t
Jobs_LastSeen(const struct jobs_scheduler *b, const char *worker)
{
    const struct jobs_worker *w = Scheduler_FindWorker(b, worker);

    return w != NULL ? w->seen_rows : 0;
}

/* Takes over what a worker may run: as if it began now, until its progress
 * tells.
 *
 * Load: urgent work that comes after a takeover, all rooms full. Without it
 * those runs count as ages old: as the dearest to stop, so that nothing gives
 * way, and as about to end, so that what waits for them waits too long. */
static void
inherit(struct jobs_worker *w, int64_t now_ms)
{
    struct jobs_task *t;

    TAILQ_FOREACH (t, &w->tasks, on_worker) {
        t->inherited = true;
        t->given_ms = now_ms;
    }
}

/* Workers that only the rows name may run what they had until then. */
void
Jobs_TakeOver(struct jobs_scheduler *b, int64_t lost_at_ms, int64_t now_ms)
{
    struct jobs_worker *w;

    RB_FOREACH (w, lifetime_tree, &b->workers) {
        w->lease_end_ms = lost_at_ms;
        if (!w->heard) {
            w->report_ms = now_ms;
        }
        inherit(w, now_ms);
    }
}

/* The owner before us has ended for certain. */
void
Jobs_OwnerEnded(struct jobs_scheduler *b, int64_t lost_at_ms)
{
    struct jobs_worker *w;

    RB_FOREACH (w, lifetime_tree, &b->workers) {
        if (!w->heard && w->lease_end_ms > lost_at_ms) {
            w->lease_end_ms = lost_at_ms;
        }
    }
}
