#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The scheduling pass: which job starts next, by the order of the queue and
 * the state of struct cells. */
#define QUEUE_MAX 256 /* jobs that one decision considers */
#define STARTS_MAX 64 /* jobs that one pass starts or rejects */
/* Without changes, a pass runs this often, as back-offs end and estimates
 * change with time. */
#define PASS_INTERVAL_MS 1000
/* Limit of the grace period of jobs that an urgent job preempts. The urgent
 * job is to start within 1.8 s of its submission: up to 1 s passes until the
 * owner polls its row, and prepare, commit and release take the rest. */
#define URGENT_GRACE_MS 500
/* Assumed duration of a checkpoint in a class that has them. */
#define CHECKPOINT_ESTIMATE_MS 1000

/* The class of a job, or NULL if the configuration does not have it. */
const struct config_class *
Job_Class(const struct job *j)
{
    const struct config_snapshot *f = j->sched->active_config;

    return f ? Config_FindClass(&f->doc, j->row.class_name) : NULL;
}

/* The request to struct cells for a job. */
struct cells_request
Placement_Request(const struct job *j, int64_t estimate_ms)
{
    const struct config_class *class = Job_Class(j);
    enum priority priority =
        class ? (enum priority) class->priority : PRIORITY_BATCH;
    struct cells_request r = {
        .job = j->cells_id,
        .tasks = j->row.tasks,
        .accelerators = j->row.accelerators,
        .guaranteed = j->row.guaranteed,
        .preempt = priority == PRIORITY_URGENT,
        .within = j->row.within,
        .priority = PRIORITY_COUNT - (int)priority,
        .estimate_ms = estimate_ms,
        .checkpoint_ms =
            class && class->checkpoint ? CHECKPOINT_ESTIMATE_MS : -1,
        .grace_ms = class ? class->grace_ms : 0,
        .start_within_ms = priority == PRIORITY_URGENT ? URGENT_GRACE_MS : 0,
    };

    Str_Copy(r.organisation, sizeof(r.organisation), j->row.organisation);
    return r;
}

/* Puts a job in the queue. */
void
Placement_Enqueue(struct job *j)
{
    const struct config_class *class = Job_Class(j);
    struct order_facts facts = {
        .id = j->row.id,
        .class_name = j->row.class_name,
        .priority = class ? (enum priority) class->priority : PRIORITY_BATCH,
        .declared_ms = j->row.declared_ms,
        .submitted_at = j->submitted_ms,
    };

    Order_Add(j->sched->order, &facts);
    j->sched->placement_due = true;
}

/* Takes a job out of the queue. */
void
Placement_Dequeue(struct job *j)
{
    Order_Remove(j->sched->order, &j->row.id);
}

/* Sends an agent the bindings of cells on its worker. */
static void
send_bindings(struct sched *s, struct worker *w, int index, uint64_t version)
{
    struct cells_local_binding local[CELLS_ACCELERATORS_MAX];
    int n =
        Cells_LocalBindings(s->cells, index, local, CELLS_ACCELERATORS_MAX);
    struct wire_bind *m = Wire_New(WIRE_BIND);
    int i;

    Str_Copy(m->scope, sizeof(m->scope), s->settings->region);
    m->term = s->owner.term;
    m->incarnation = w->incarnation;
    m->version = version;
    for (i = 0; i < n; i++) {
        struct wire_binding *b = Wire_ListAdd(&m->bindings, sizeof(*b));

        Str_Copy(b->organisation, sizeof(b->organisation),
                 local[i].organisation);
        b->accelerators = local[i].mask;
    }
    w->bindings_term = s->owner.term;
    w->bindings_version = version;
    Entry_SendToAgent(&s->task, &w->peer, &m->msg, false);
}

/* Sends bindings to the agents whose bindings have changed. A rebuilt struct
 * cells restarts its versions, so the number of rebuilds is the upper half of
 * the version, which thus always grows. */
static void
send_changed_bindings(struct sched *s)
{
    struct worker *w;

    RB_FOREACH (w, worker_tree, &s->workers) {
        int index = Cells_FindWorker(s->cells, w->name);
        uint64_t version;

        if (!w->up || index == CELLS_NONE) {
            continue;
        }
        version = s->rebuilds << 32 | Cells_WorkerVersion(s->cells, index);
        if (w->bindings_term != s->owner.term ||
            w->bindings_version != version) {
            send_bindings(s, w, index, version);
        }
    }
}

/* Fills the queue for Place_Next: the waiting jobs in order, without those
 * whose back-off has not ended. Returns their number. */
static int
fill_queue(struct sched *s, struct cells_request *queue, struct job **job,
           int64_t now)
{
    struct order_job next;
    const struct id *after = NULL;
    struct id last;
    int n = 0;

    while (n < QUEUE_MAX &&
           Order_Next(s->order, after, now, &next) == ERR_OK) {
        struct job *j = JobSet_Find(s, &next.id);

        last = next.id;
        after = &last;
        if (j == NULL || j->phase != GANG_WAITING || j->writing ||
            now < j->retry_at) {
            continue;
        }
        job[n] = j;
        queue[n++] = Placement_Request(j, next.remaining_ms);
    }
    return n;
}

/* Ends a job that can never be placed, with the reason. */
static void
reject(struct job *j, const char *reason)
{
    Placement_Dequeue(j);
    Str_Copy(j->row.reason, sizeof(j->row.reason), reason);
    Sched_RecordDecision(j->sched, &j->row.id, "cannot_run", reason,
                         json_pack("{s:i, s:i}", "tasks", j->row.tasks,
                                   "accelerators", j->row.accelerators));
    j->next_state = JOB_CANNOT_RUN;
    Gang_WriteOutcome(j);
}

/* Starts the chosen job as planned. */
static void
start_job(struct job *j, const struct place_decision *d)
{
    const struct cells_score *score = &d->plan.score;

    if (Cells_Commit(j->sched->cells, &d->plan) != ERR_OK) {
        Fatal("commit of a plan failed although cells have not changed");
    }
    Placement_Dequeue(j);
    j->wait_reason = NULL;
    /* An agent checks a claim against the bindings that it has, so the
     * bindings that this plan moved are sent before the prepare. */
    send_changed_bindings(j->sched);
    Sched_RecordDecision(
        j->sched, &j->row.id, "start", Cells_ReasonName(d->plan.reason),
        json_pack("{s:s, s:i, s:i, s:i, s:I}", "queue",
                  Place_ReasonName(d->reason), "free",
                  score->free_accelerators, "wanted",
                  score->wanted_accelerators, "victims", d->plan.victims,
                  "cost", (json_int_t)score->cost));
    Gang_Start(j, &d->plan);
}

/* Sets the reason why a job waits. Returns true if it differs from the last
 * one, and so is to be recorded. */
static bool
set_wait_reason(struct job *j, const char *reason)
{
    bool changed =
        j->wait_reason == NULL || strcmp(j->wait_reason, reason) != 0;

    j->wait_reason = reason;
    return changed;
}

/* Records why no job can start. The first job of the queue waits for the
 * reason in its plan; any other job has no room, or would not end before the
 * first one is to start and so would delay it. */
static void
record_waits(struct sched *s, struct job **job, int n,
             const struct place_decision *d)
{
    const char *reason = Cells_ReasonName(d->plan.reason);
    char hex[ID_HEX_SIZE];
    int i;

    if (set_wait_reason(job[0], reason)) {
        Sched_RecordDecision(
            s, &job[0]->row.id, "wait", reason,
            json_pack("{s:i, s:i}", "free", d->plan.score.free_accelerators,
                      "wanted", d->plan.score.wanted_accelerators));
    }
    for (i = 1; i < n; i++) {
        if (set_wait_reason(job[i], "behind_first")) {
            Sched_RecordDecision(s, &job[i]->row.id, "wait", "behind_first",
                                 json_pack("{s:s, s:i, s:i}", "first",
                                           Id_Hex(&job[0]->row.id, hex),
                                           "place", i, "tried", d->tried));
        }
    }
}

/* Takes one decision about the queue. Returns true if a job was started or
 * rejected. */
static bool
place_next(struct sched *s, int64_t now)
{
    struct cells_request queue[QUEUE_MAX];
    struct job *job[QUEUE_MAX];
    const struct config_weights *weights = &s->active_config->doc.weights;
    struct place_options options = {
        .weights = {.completion = (int)weights->completion,
                    .fragmentation = (int)weights->fragmentation}};
    struct place_decision d CLEANUP(Place_DecisionClear) = {0};
    int n = fill_queue(s, queue, job, now);
    enum place_reason reason;

    if (n == 0) {
        return false;
    }
    reason = Place_Next(s->cells, queue, n, &options, now, &d);
    if (reason == PLACE_WAIT) {
        record_waits(s, job, n, &d);
        return false;
    }
    if (reason == PLACE_EMPTY) {
        return false;
    }
    if (reason == PLACE_NEVER) {
        reject(job[d.index], Cells_ReasonName(d.plan.reason));
        return true;
    }
    start_job(job[d.index], &d);
    return true;
}

/* Runs a scheduling pass, if something has changed or the last one is
 * PASS_INTERVAL_MS ago. */
void
Placement_Run(struct sched *s)
{
    int64_t now = Clock_NowMs();
    int left = STARTS_MAX;

    if (s->cells == NULL ||
        (!s->placement_due && now - s->placed_at < PASS_INTERVAL_MS)) {
        return;
    }
    s->placement_due = false;
    s->placed_at = now;
    Placement_ProbeWorkers(s, now);
    send_changed_bindings(s);
    while (left-- > 0 && place_next(s, now)) {
    }
}
