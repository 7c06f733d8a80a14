#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The owner's accounts of its region: topology, guarantees and who runs where,
 * and from them what starts next. */
#define QUEUE_MAX 256       /* jobs that one round looks at */
#define STARTS_MAX 64       /* jobs that one round starts */
#define PLACE_EVERY_MS 1000 /* without a change: back-offs and estimates */
/* Grace of those that urgent work displaces. It starts within 1.8 s of its
 * submission: 1 s at most goes by until its owner learns of it, and prepare,
 * commit and release take the rest. */
#define URGENT_GRACE_MS 500
#define CHECKPOINT_GUESS_MS 1000 /* of a class that can write one */

/* The class of a job, or NULL. */
static const struct config_class *
class_of(const struct job *j)
{
    const struct in_force *f = j->sched->in_force;

    return f ? Config_FindClass(&f->doc, j->row.class_name) : NULL;
}

/* What the accounts are asked for this job. */
static struct cells_request
request_of(const struct job *j, int64_t estimate_ms)
{
    const struct config_class *class = class_of(j);
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

/* Enters the workers of this region; up or not is told after. */
static void
add_workers(struct cells *c, const struct config_region *region)
{
    size_t d, r, w;

    for (d = 0; d < region->failure_domains.count; d++) {
        const struct config_domain *domain =
            CONFIG_AT(region->failure_domains, struct config_domain, d);

        for (r = 0; r < domain->racks.count; r++) {
            const struct config_rack *rack =
                CONFIG_AT(domain->racks, struct config_rack, r);

            for (w = 0; w < rack->workers.count; w++) {
                const struct config_worker *worker =
                    CONFIG_AT(rack->workers, struct config_worker, w);
                struct cells_worker_info info = {
                    .accelerators = (int)worker->accelerators};

                Str_Copy(info.name, sizeof(info.name), worker->name);
                Str_Copy(info.region, sizeof(info.region), region->name);
                Str_Copy(info.domain, sizeof(info.domain), domain->name);
                Str_Copy(info.rack, sizeof(info.rack), rack->name);
                Cells_AddWorker(c, &info);
            }
        }
    }
}

/* Workers of the region's largest rack: the shape of a rack's guarantee. */
static int
rack_size(const struct config_region *region)
{
    size_t d, r, most = 1;

    for (d = 0; d < region->failure_domains.count; d++) {
        const struct config_domain *domain =
            CONFIG_AT(region->failure_domains, struct config_domain, d);

        for (r = 0; r < domain->racks.count; r++) {
            size_t n =
                CONFIG_AT(domain->racks, struct config_rack, r)->workers.count;

            most = n > most ? n : most;
        }
    }
    return (int)most;
}

/* True when a guarantee is this region's: it names a failure domain of it, or
 * names none and the region is the document's first. */
static bool
is_here(const struct config *doc, const struct config_region *region,
        const struct config_guarantee *g)
{
    size_t d;

    if (g->failure_domain[0] == '\0') {
        return region ==
               CONFIG_AT(doc->topology.regions, struct config_region, 0);
    }
    for (d = 0; d < region->failure_domains.count; d++) {
        const struct config_domain *domain =
            CONFIG_AT(region->failure_domains, struct config_domain, d);

        if (strcmp(domain->name, g->failure_domain) == 0) {
            return true;
        }
    }
    return false;
}

/* One guarantee as cells: so many of a shape. */
static void
add_guarantee(struct cells *c, const struct config_region *region,
              const char *organisation, const struct config_guarantee *g)
{
    struct cells_shape shape = {0};
    int count = (int)g->count, had = 0, i;
    struct cells_binding b;

    if (g->shape.kind == SHAPE_ACCELERATORS) {
        shape.accelerators = (int)g->shape.size;
    }
    else if (g->shape.kind == SHAPE_WORKERS) {
        shape.workers = (int)g->shape.size;
    }
    else {
        shape.workers = rack_size(region);
        count *= (int)g->shape.size;
    }
    for (i = 0; Cells_Binding(c, i, &b); i++) {
        had += strcmp(b.organisation, organisation) == 0 &&
               b.shape.workers == shape.workers &&
               b.shape.accelerators == shape.accelerators;
    }
    if (Cells_SetGuarantee(c, organisation, shape, had + count) != ERR_OK) {
        LOG_E("guarantee_refused", KV("organisation", organisation),
              KV("shape", g->shape_text));
    }
}

/* Enters the guarantees of this region. */
static void
add_guarantees(struct cells *c, const struct config *doc,
               const struct config_region *region)
{
    size_t o, g;

    for (o = 0; o < doc->organisations.count; o++) {
        const struct config_organisation *org =
            CONFIG_AT(doc->organisations, struct config_organisation, o);

        for (g = 0; g < org->guarantees.count; g++) {
            const struct config_guarantee *one =
                CONFIG_AT(org->guarantees, struct config_guarantee, g);

            if (is_here(doc, region, one)) {
                add_guarantee(c, region, org->name, one);
            }
        }
    }
}

/* This region in the document, or NULL. */
static const struct config_region *
own_region(const struct sched *s)
{
    const struct conf_list *regions = &s->in_force->doc.topology.regions;
    size_t i;

    for (i = 0; i < regions->count; i++) {
        const struct config_region *r =
            CONFIG_AT(*regions, struct config_region, i);

        if (strcmp(r->name, s->settings->region) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Hash of the sections that the accounts are built from. */
static uint64_t
hash_of(const struct config *doc)
{
    struct config_sections sections;
    uint64_t hash = 1;
    size_t i;

    Config_Sections(doc, &sections);
    for (i = 0; i < sections.count; i++) {
        const char *name = sections.at[i].name;

        if (strcmp(name, "topology") == 0 ||
            strncmp(name, "organisation/", 13) == 0) {
            hash = Hash_Str(sections.at[i].hash, Hash_Str(name, hash));
        }
    }
    Config_FreeSections(&sections);
    return hash;
}

/* How the accounts are to see a worker. One whose tasks fail is left to what
 * runs there. */
static enum cells_worker_state
state_of(const struct worker *w)
{
    if (!w->up) {
        return CELLS_WORKER_FAILED;
    }
    return w->leaving || w->health.state == HEALTH_EJECTED
               ? CELLS_WORKER_LEAVING
               : CELLS_WORKER_UP;
}

/* Tells the accounts of a worker. */
void
Account_SetWorker(struct sched *s, const struct worker *w)
{
    int index;

    if (s->cells == NULL || !s->owner.loaded) {
        return;
    }
    index = Cells_FindWorker(s->cells, w->name);
    if (index != CELLS_NONE) {
        Cells_SetWorkerState(s->cells, index, state_of(w));
        s->account_changed = true;
    }
}

/* Marks every worker as what is known of it; unknown ones as failed. */
void
Account_SetWorkers(struct sched *s)
{
    int i;

    for (i = 0; s->cells != NULL && i < Cells_WorkerCount(s->cells); i++) {
        const struct cells_worker_info *info = Cells_Worker(s->cells, i);
        const struct worker *w = info ? Workers_Find(s, info->name) : NULL;

        if (info != NULL) {
            Cells_SetWorkerState(s->cells, i,
                                 w ? state_of(w) : CELLS_WORKER_FAILED);
        }
    }
}

/* True for a job that stands on the account. */
static bool
is_placed(const struct job *j)
{
    return j->members > 0 && j->phase != GANG_WAITING &&
           j->phase != GANG_SETTLING && !j->yielded;
}

/* Builds the accounts from the document, when what it says of them changed,
 * and takes in what runs. */
void
Account_Rebuild(struct sched *s)
{
    const struct config_region *region;
    struct job *j;
    uint64_t hash;

    if (s->in_force == NULL) {
        return;
    }
    hash = hash_of(&s->in_force->doc);
    region = own_region(s);
    if ((s->cells != NULL && hash == s->account_hash) || region == NULL) {
        return;
    }
    if (s->cells != NULL) {
        Account_Remember(s);
    }
    Cells_Free(s->cells);
    s->cells = Cells_New();
    s->account_hash = hash;
    s->account_count++;
    add_workers(s->cells, region);
    add_guarantees(s->cells, &s->in_force->doc, region);
    Account_Recall(s);
    RB_FOREACH (j, sched_jobs, &s->jobs) {
        if (is_placed(j) && Account_Adopt(j) != ERR_OK) {
            LOG_W("job_off_account", KV("organisation", j->row.organisation));
        }
    }
    if (s->owner.loaded) {
        Account_SetWorkers(s);
    }
    s->account_changed = true;
    LOG_I("accounts_built", KV_INT("epoch", s->in_force->epoch),
          KV_INT("workers", Cells_WorkerCount(s->cells)),
          KV_INT("cells", Cells_BindingCount(s->cells)));
}

/* Takes a gang that runs into the account. */
int
Account_Adopt(struct job *j)
{
    struct sched *s = j->sched;
    struct cells_request r = request_of(j, j->row.declared_ms);
    struct cells_part part[CELLS_TASKS_MAX];
    size_t i;

    if (s->cells == NULL || j->members > COUNT_OF(part)) {
        return ERR_CONFLICT;
    }
    for (i = 0; i < j->members; i++) {
        part[i].worker = Cells_FindWorker(s->cells, j->member[i].at.agent);
        part[i].mask = j->member[i].at.accelerators;
        part[i].tasks = j->member[i].at.tasks;
        if (part[i].worker == CELLS_NONE) {
            return ERR_CONFLICT;
        }
    }
    return Cells_Adopt(s->cells, &r, part, (int)j->members, Clock_NowMs());
}

/* The job is off its accelerators. */
void
Account_Release(struct job *j)
{
    if (j->sched->cells != NULL) {
        Cells_Release(j->sched->cells, j->number);
    }
    j->sched->account_changed = true;
}

/* Puts a job in the queue. */
void
Account_Enqueue(struct job *j)
{
    const struct config_class *class = class_of(j);
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

/* Notes how a worker's task ended, and takes a worker that fails everything
 * out of use for a while, never more than a share of them at once. */
static void
judge_worker(struct sched *s, const char *name, bool ok)
{
    struct worker *w = Workers_Find(s, name);
    struct health_inputs in = {.ok = ok, .now = Clock_NowMs()};
    struct health_decision d;
    struct worker *other;

    if (w == NULL) {
        return;
    }
    RB_FOREACH (other, worker_tree, &s->workers) {
        in.total++;
        in.out += other != w && other->health.state != HEALTH_GOOD;
    }
    in.before = w->health;
    d = Health_Judge(&in);
    if (d.reason != HEALTH_STAYS) {
        LOG_W("worker_health", KV("agent", name),
              KV("reason", Health_ReasonName(d.reason)), KV_INT("out", in.out),
              KV_INT("total", in.total));
    }
    w->health = d.after;
    Account_SetWorker(s, w);
}

/* Lets workers that have served their time take a job again. */
static void
probe_workers(struct sched *s, int64_t now)
{
    struct worker *w;

    RB_FOREACH (w, worker_tree, &s->workers) {
        if (w->health.state == HEALTH_EJECTED &&
            Health_MayProbe(&w->health, now)) {
            w->health.state = HEALTH_PROBING;
            Account_SetWorker(s, w);
        }
    }
}

/* Counts a failure against the job and its worker. */
bool
Account_Failed(struct job *j, const char *worker, bool job_fault)
{
    struct sched *s = j->sched;
    const struct worker *w = Workers_Find(s, worker);
    bool suspect = w != NULL && w->health.state != HEALTH_GOOD;
    enum order_failure_kind kind = !job_fault ? ORDER_WORKER_LOST
                                   : suspect  ? ORDER_WORKER_SUSPECT
                                              : ORDER_JOB_FAILED;
    struct order_failure f;
    struct worker *each;
    int usable = 0;

    RB_FOREACH (each, worker_tree, &s->workers) {
        usable += state_of(each) == CELLS_WORKER_UP;
    }
    f = Order_Failed(s->order, &j->row.id, worker, usable, kind, Clock_NowMs(),
                     Id_Random64());
    Sched_Decided(s, &j->row.id, f.cannot_run ? "cannot_run" : "again",
                  Order_ReasonName(f.reason),
                  json_pack("{s:s, s:i, s:i}", "agent", worker, "fails",
                            f.inputs.fails, "workers", f.inputs.workers));
    if (job_fault) {
        judge_worker(s, worker, false);
    }
    return f.cannot_run;
}

/* A job has run to its end: its class and its workers are judged by it. */
void
Account_Done(struct job *j)
{
    size_t i;

    for (i = 0; i < j->members; i++) {
        judge_worker(j->sched, j->member[i].at.agent, true);
    }
    Order_Done(j->sched->order, &j->row.id, j->row.class_name,
               j->row.declared_ms, Clock_NowMs() - j->started_at);
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
    Entry_Say(&s->task, &w->peer, &m->msg, false);
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
        queue[n++] = request_of(j, next.remaining_ms);
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

/* Looks at the queue once. True when something started or was refused. */
static bool
place_one(struct sched *s, int64_t now)
{
    struct cells_request queue[QUEUE_MAX];
    struct job *job[QUEUE_MAX];
    const struct config_weights *weights = &s->in_force->doc.weights;
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
    if (reason == PLACE_WAIT || reason == PLACE_EMPTY) {
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
    probe_workers(s, now);
    push_bindings(s);
    while (left-- > 0 && place_one(s, now)) {
    }
}
