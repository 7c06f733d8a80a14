#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

#define POLL_MS 1000
#define TICK_MS 100
#define HTTP_CONNECTIONS 64

/* Orders jobs by id. */
static int
compare_jobs(const struct job *a, const struct job *b)
{
    return Id_Compare(&a->row.id, &b->row.id);
}

RB_GENERATE(sched_jobs, job, entry, compare_jobs)

/* Orders workers by name. */
static int
compare_workers(const struct worker *a, const struct worker *b)
{
    return strcmp(a->name, b->name);
}

RB_GENERATE(worker_tree, worker, entry, compare_workers)

/* Logs and records a decision with its reason and inputs. */
void
Sched_RecordDecision(struct sched *s, const struct id *job,
                     const char *decision, const char *reason, json_t *inputs)
{
    char hex[ID_HEX_SIZE];
    char *text = json_dumps(inputs, JSON_COMPACT);

    LOG_I("job_decision", KV("job", Id_Hex(job, hex)),
          KV("decision", decision), KV("reason", reason),
          KV_INT("term", s->owner.term), KV("inputs", text));
    free(text);
    Why_Record(s->task.kernel, job, decision, reason, inputs);
}

/* Finds a job by its id. */
struct job *
JobSet_Find(struct sched *s, const struct id *id)
{
    struct job key;

    key.row.id = *id;
    return RB_FIND(sched_jobs, &s->jobs, &key);
}

/* Finds a job by its id in struct cells. */
struct job *
JobSet_FindByCellsId(struct sched *s, uint64_t cells_id)
{
    struct job *j;

    RB_FOREACH (j, sched_jobs, &s->jobs) {
        if (j->cells_id == cells_id) {
            return j;
        }
    }
    return NULL;
}

/* Adds a job. Its id in struct cells is a hash of its random id, and never 0,
 * which struct cells does not allow. */
struct job *
JobSet_Add(struct sched *s, const struct job_row *row, uint64_t version)
{
    struct job *j = Mem_Zero(1, sizeof(*j));

    j->sched = s;
    JobRow_Copy(&j->row, row);
    j->version = version;
    j->cells_id = Hash_Bytes(row->id.b, ID_BYTES, 0) | 1;
    j->try_attempt = row->attempt;
    j->submitted_ms = Clock_NowMs() - (Clock_WallMs() - row->submitted_at);
    j->deadline = INT64_MAX;
    RB_INSERT(sched_jobs, &s->jobs, j);
    Why_Open(s->task.kernel, &row->id, row->organisation);
    return j;
}

/* Removes a job from memory; its row stays. */
void
JobSet_Drop(struct job *j)
{
    RB_REMOVE(sched_jobs, &j->sched->jobs, j);
    JobRow_Free(&j->row);
    free(j->member);
    free(j->victim);
    free(j);
}

/* True while a caller waits for an attached job. */
bool
JobSet_AnyAttached(struct sched *s)
{
    struct job *j;

    RB_FOREACH (j, sched_jobs, &s->jobs) {
        if (j->ex != NULL) {
            return true;
        }
    }
    return false;
}

/* Removes all jobs and the placement state from memory. Callers of attached
 * jobs get the outcome "unknown", as the jobs may still run. */
void
JobSet_DropAll(struct sched *s)
{
    struct job *j, *next;

    RB_FOREACH_SAFE (j, sched_jobs, &s->jobs, next) {
        if (j->ex != NULL) {
            Front_Refuse(j->ex, 504, "unknown", "owner_changed",
                         "the job may still run", -1, &j->row.id);
        }
        JobSet_Drop(j);
    }
    Order_Free(s->order);
    s->order = Order_New(NULL);
    Cells_Free(s->cells);
    s->cells = NULL;
    s->storing = false;
    s->stored_version = 0;
    Ended_Free(s);
}

/* Finds a worker by the name of its agent. */
struct worker *
Workers_Find(struct sched *s, const char *name)
{
    struct worker key;

    Str_Copy(key.name, sizeof(key.name), name);
    return RB_FIND(worker_tree, &s->workers, &key);
}

/* Handles a new configuration in force. */
static void
on_config(struct sched *s, const struct config_note *note)
{
    ConfigSnapshot_Unref(s->active_config);
    s->active_config = ConfigSnapshot_Ref(note->active_config);
    if (s->owner.self) {
        Placement_Rebuild(s);
        s->placement_due = true;
    }
}

/* Handles callers' requests, member changes, configurations and agents'
 * messages. */
static void
sched_receive(struct task *t, struct message *m)
{
    struct sched *s = (struct sched *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    if (m->kind == &Entry_Member) {
        Sched_HandleMember(s, (struct member_note *)m);
    }
    else if (m->kind == &Entry_Config) {
        on_config(s, (struct config_note *)m);
    }
    else if (m->kind == &Entry_Inbound) {
        Sched_HandleInbound(s, (struct inbound *)m);
    }
}

/* Polls for rows that other entries wrote; stores the bindings and deletes old
 * rows. */
static void
on_poll(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct sched *s = w->data;

    JobSet_Poll(s);
    if (s->owner.self && s->owner.loaded) {
        Placement_StoreBindings(s);
        Ended_Sweep(s, Clock_NowMs());
    }
}

/* Handles the deadlines of gangs and runs a scheduling pass. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct sched *s = w->data;
    int64_t now = Clock_NowMs();

    Liveness_Prune(&s->liveness, now);
    PartReports_Prune(&s->part_reports, now);
    if (!s->owner.self || !s->owner.loaded) {
        return;
    }
    Gang_Tick(s);
    Placement_Run(s);
}

/* The task's state for operators. */
static json_t *
sched_state(const struct task *t)
{
    const struct sched *s = (const struct sched *)t;
    json_t *jobs = json_array();
    struct cells_counts counts = {0};
    struct job *j;

    if (s->cells != NULL) {
        Cells_Counts(s->cells, &counts);
    }

    RB_FOREACH (j, sched_jobs, &((struct sched *)t)->jobs) {
        char hex[ID_HEX_SIZE];

        json_array_append_new(jobs,
                              json_pack("{s:s, s:s, s:i, s:I, s:i}", "job",
                                        Id_Hex(&j->row.id, hex), "state",
                                        Job_StateName(j->row.state), "phase",
                                        (int)j->phase, "attempt",
                                        (json_int_t)j->row.attempt, "members",
                                        (int)j->members));
    }
    return json_pack(
        "{s:b, s:b, s:b, s:I, s:s, s:i, s:o, s:{s:i, s:i, s:i, s:i}}", "owner",
        (int)s->owner.self, "table_down", (int)s->owner.table_down,
        "bindings_stored",
        (int)(!s->storing && Placement_AreBindingsStored(s)), "term",
        (json_int_t)s->owner.term, "owner_name", s->owner.name, "heard",
        s->liveness.count, "jobs", jobs, "accelerators", "all",
        counts.accelerators, "free", counts.free, "guaranteed",
        counts.guaranteed, "lent", counts.lent);
}

/* True when no caller waits for an attached job and this entry is not the
 * owner, so that the process may exit. */
static bool
sched_drained(const struct task *t)
{
    struct sched *s = (struct sched *)t;

    return !JobSet_AnyAttached(s) && !s->owner.self;
}

/* Frees the task. */
static void
sched_free(struct task *t)
{
    struct sched *s = (struct sched *)t;
    struct worker *w, *next;
    struct job *j;

    RB_FOREACH (j, sched_jobs, &s->jobs) {
        j->ex = NULL; /* freed with the HTTP server */
    }
    JobSet_DropAll(s);
    SchedCall_FreeAll(s);
    Buf_Free(&s->bindings);
    Order_Free(s->order);
    RB_FOREACH_SAFE (w, worker_tree, &s->workers, next) {
        RB_REMOVE(worker_tree, &s->workers, w);
        free(w);
    }
    Liveness_Free(&s->liveness);
    PartReports_Free(&s->part_reports);
    Http_ClientFree(s->client);
    ConfigSnapshot_Unref(s->active_config);
    free(s);
}

static const struct task_ops sched_ops = {
    .name = "gangs",
    .receive = sched_receive,
    .drained = sched_drained,
    .state = sched_state,
    .free = sched_free,
};

/* Starts a repeating timer of the task. */
static void
start_timer(struct sched *s, ev_timer *w,
            void (*cb)(struct ev_loop *, ev_timer *, int), int64_t ms)
{
    ev_init(w, cb);
    w->data = s;
    Timer_Every(s->task.kernel->loop, w, ms);
}

/* Starts the task. The entry is not the owner until it has taken the owner row
 * of the table. */
static int
start(struct kernel *k)
{
    struct sched *s = Mem_Zero(1, sizeof(*s));

    s->settings = k->settings;
    s->table = Entry_Table(k);
    s->client = Http_ClientNew(k->loop, HTTP_CONNECTIONS);
    s->order = Order_New(NULL);
    TAILQ_INIT(&s->calls);
    TAILQ_INIT(&s->ended);
    RB_INIT(&s->jobs);
    RB_INIT(&s->workers);
    RB_INIT(&s->part_reports);
    Liveness_Init(&s->liveness);
    Kernel_AddTask(k, &s->task, &sched_ops);
    Members_Subscribe(k, "gangs");
    Configs_Subscribe(k, "gangs");
    start_timer(s, &s->poll, on_poll, POLL_MS);
    start_timer(s, &s->tick, on_tick, TICK_MS);
    Owner_Start(s);
    return ERR_OK;
}

static struct plugin jobs_plugin = {
    .name = "jobs", .rank = 60, .start = start};
KERNEL_PLUGIN(jobs_plugin)
