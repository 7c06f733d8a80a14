#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* What starts next, by the order of jobs and the accounts of cells. */
#define QUEUE_MAX 256       /* jobs that one round looks at */
#define STARTS_MAX 64       /* jobs that one round starts */
#define PLACE_EVERY_MS 1000 /* without a change: back-offs and estimates */
/* Grace of those that urgent work displaces. It starts within 1.8 s of its
 * submission: 1 s at most goes by until its owner learns of it, and prepare,
 * commit and release take the rest. */
#define URGENT_GRACE_MS 500
#define CHECKPOINT_GUESS_MS 1000 /* of a class that can write one */

/* The class of a job, or NULL. */
const struct config_class *
Job_Class(const struct job *j)
{
    const struct config_snapshot *f = j->sched->active_config;

    return f ? Config_FindClass(&f->doc, j->row.class_name) : NULL;
}

/* What the accounts are asked for this job. */
struct cells_request
Account_Request(const struct job *j, int64_t estimate_ms)
{
    const struct config_class *class = Job_Class(j);
    enum priority priority =
        class ? (enum priority) class->priority : PRIORITY_BATCH;
    struct cells_request r = {
        .job = j->number,
        .tasks = j->row.tasks,
        .accelerators = j->row.accelerators,
        .guaranteed = j->row.guaranteed,
        .preempt = priority == PRIORITY_URGENT,
        .within = j->row.within,
        .priority = PRIORITY_COUNT - (int)priority,
        .estimate_ms = estimate_ms,
        .checkpoint_ms = class && class->checkpoint ? CHECKPOINT_GUESS_MS : -1,
        .grace_ms = class ? class->grace_ms : 0,
        .start_within_ms = priority == PRIORITY_URGENT ? URGENT_GRACE_MS : 0,
    };

    Str_Copy(r.organisation, sizeof(r.organisation), j->row.organisation);
    return r;
}

/* Puts a job in the queue. */
void
Account_Enqueue(struct job *j)
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
    j->sched->account_changed = true;
}

/* Takes a job out of the queue. */
void
Account_Dequeue(struct job *j)
{
    Order_Remove(j->sched->order, &j->row.id);
}

/* Tells an agent whose cells are on its worker. The version rises also when
 * the accounts are built anew, which begin counting again. */
static void
push_binding(struct sched *s, struct worker *w, int index, uint64_t version)
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
    w->bound_term = s->owner.term;
    w->bound_version = version;
    Entry_SendToAgent(&s->task, &w->peer, &m->msg, false);
}

/* Tells the agents whose bindings have changed. */
static void
push_bindings(struct sched *s)
{
    struct worker *w;

    RB_FOREACH (w, worker_tree, &s->workers) {
        int index = Cells_FindWorker(s->cells, w->name);
        uint64_t version;

        if (!w->up || index == CELLS_NONE) {
            continue;
        }
        version =
            s->account_count << 32 | Cells_WorkerVersion(s->cells, index);
        if (w->bound_term != s->owner.term || w->bound_version != version) {
            push_binding(s, w, index, version);
        }
    }
}

/* The queue as the accounts want it: in order, without those that wait for
 * the end of a back-off. */
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
            now < j->not_before) {
            continue;
        }
        job[n] = j;
        queue[n++] = Account_Request(j, next.remaining_ms);
    }
    return n;
}

/* A job that will never fit is told so. */
static void
refuse(struct job *j, const char *reason)
{
    Account_Dequeue(j);
    Str_Copy(j->row.reason, sizeof(j->row.reason), reason);
    Sched_Decided(j->sched, &j->row.id, "cannot_run", reason,
                  json_pack("{s:i, s:i}", "tasks", j->row.tasks,
                            "accelerators", j->row.accelerators));
    j->after = JOB_CANNOT_RUN;
    Gang_Settle(j);
}

/* Starts the job that was chosen. */
static void
begin(struct job *j, const struct place_decision *d)
{
    const struct cells_score *score = &d->plan.score;

    if (Cells_Commit(j->sched->cells, &d->plan) != ERR_OK) {
        Fatal("a fresh plan does not fit its account");
    }
    Account_Dequeue(j);
    j->wait = NULL;
    /* An agent judges a claim by the bindings that it has, so those that this
     * plan moved go to it first. */
    push_bindings(j->sched);
    Sched_Decided(j->sched, &j->row.id, "start",
                  Cells_ReasonName(d->plan.reason),
                  json_pack("{s:s, s:i, s:i, s:i, s:I}", "queue",
                            Place_ReasonName(d->reason), "free",
                            score->free_accelerators, "wanted",
                            score->wanted_accelerators, "victims",
                            d->plan.victims, "cost", (json_int_t)score->cost));
    Gang_Start(j, &d->plan);
}

/* Notes why a job waits. True when that is news, to be recorded. */
static bool
waits_anew(struct job *j, const char *reason)
{
    bool anew = j->wait == NULL || strcmp(j->wait, reason) != 0;

    j->wait = reason;
    return anew;
}

/* Nothing can start: the first of the queue for the reason of its plan, the
 * others because they would not end before it is to start, or have no room. */
static void
note_waits(struct sched *s, struct job **job, int n,
           const struct place_decision *d)
{
    const char *reason = Cells_ReasonName(d->plan.reason);
    char hex[ID_HEX_SIZE];
    int i;

    if (waits_anew(job[0], reason)) {
        Sched_Decided(s, &job[0]->row.id, "wait", reason,
                      json_pack("{s:i, s:i}", "free",
                                d->plan.score.free_accelerators, "wanted",
                                d->plan.score.wanted_accelerators));
    }
    for (i = 1; i < n; i++) {
        if (waits_anew(job[i], "behind_first")) {
            Sched_Decided(s, &job[i]->row.id, "wait", "behind_first",
                          json_pack("{s:s, s:i, s:i}", "first",
                                    Id_Hex(&job[0]->row.id, hex), "place", i,
                                    "tried", d->tried));
        }
    }
}

/* Looks at the queue once. True when something started or was refused. */
static bool
place_one(struct sched *s, int64_t now)
{
    struct cells_request queue[QUEUE_MAX];
    struct job *job[QUEUE_MAX];
    const struct config_weights *weights = &s->active_config->doc.weights;
    struct place_options options = {
        .weights = {.completion = (int)weights->completion,
                    .fragmentation = (int)weights->fragmentation}};
    struct place_decision d CLEANUP(Place_Clear) = {0};
    int n = fill_queue(s, queue, job, now);
    enum place_reason reason;

    if (n == 0) {
        return false;
    }
    reason = Place_Next(s->cells, queue, n, &options, now, &d);
    if (reason == PLACE_WAIT) {
        note_waits(s, job, n, &d);
        return false;
    }
    if (reason == PLACE_EMPTY) {
        return false;
    }
    if (reason == PLACE_NEVER) {
        refuse(job[d.index], Cells_ReasonName(d.plan.reason));
        return true;
    }
    begin(job[d.index], &d);
    return true;
}

/* Starts what can start, and tells agents of changed bindings. */
void
Account_Place(struct sched *s)
{
    int64_t now = Clock_NowMs();
    int left = STARTS_MAX;

    if (s->cells == NULL ||
        (!s->account_changed && now - s->placed_at < PLACE_EVERY_MS)) {
        return;
    }
    s->account_changed = false;
    s->placed_at = now;
    Account_Probe(s, now);
    push_bindings(s);
    while (left-- > 0 && place_one(s, now)) {
    }
}
