#include "queue-owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
#define SOON_MS 3 /* what comes within it is decided and written at once */
#define CLAIM_PAUSE_MS 150
#define LOADING_MS 300 /* then the rows are asked for once more */
/* The feed answers at least once a second; after a longer gap than this it
 * has to be followed anew before silence of the owner means anything. */
#define FEED_GAP_MS 1600

static struct counter in_office = {"parsleyfall_queue_owner",
                                   "1 while this entry gives the orders.",
                                   NULL, COUNTER_GAUGE};
static struct counter takeover_ms = {
    "parsleyfall_queue_takeover_ms",
    "Time from election until the rows are read.", NULL, COUNTER_LATENCY};
static struct counter takeovers = {"parsleyfall_queue_takeovers_total",
                                   "Times this entry became the owner.", NULL,
                                   COUNTER_TOTAL};

/* True when the row names this process. */
static bool
names_us(const struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;

    return strcmp(o->row_name, s->name) == 0 &&
           o->row_incarnation == Queue_Incarnation();
}

/* Leaves office. */
void
Owner_Leave(struct owner *o, const char *why)
{
    if (o->office != OFFICE_NONE) {
        LOG_W("owner_leaves", KV("why", why), KV_INT("term", o->term));
    }
    o->office = OFFICE_NONE;
    o->term = 0;
    Jobs_Free(o->book);
    o->book = NULL;
    o->beat_seen_ms = Clock_NowMs();
    Counter_Set(&in_office, 0);
}

static void
on_claimed(void *arg, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    struct owner *o = arg;

    o->claiming = false;
    o->claim_ms = Clock_NowMs() + CLAIM_PAUSE_MS;
    if (err != ERR_OK && err != ERR_CONFLICT) {
        LOG_W("claim_failed", KV("error", Err_Name(err)));
    }
}

/* Writes the owner row under the condition that it is as we know it. Whether
 * it took effect is told by the feed alone, so a lost answer and a write that
 * comes seconds late are no case of their own. */
void
Owner_Claim(struct owner *o, const char *name)
{
    struct buf value CLEANUP(Buf_Free) = {0};
    struct table_op op = {.verb = TABLE_PUT,
                          .table = Queue_Site()->own_table,
                          .key = "owner",
                          .if_version = o->row_version};
    /* The term rises with each office, not with its rewrites. */
    uint64_t term = names_us(o) ? o->row_term : o->row_term + 1;

    if (o->claiming || Clock_NowMs() < o->claim_ms) {
        return;
    }
    Buf_Printf(&value, "{\"name\":\"%s\",\"incarnation\":%llu,\"term\":%llu}",
               name, (unsigned long long)Queue_Incarnation(),
               (unsigned long long)term);
    op.value = value.data;
    op.len = value.len;
    o->claiming = true;
    o->store->ops->commit(o->store, &op, 1, on_claimed, o);
}

/* Asks for all rows, to build the book. */
static void
want_rows(struct owner *o)
{
    struct rows_wanted *m = Mem_Zero(1, sizeof(*m));

    o->wanted_ms = Clock_NowMs();
    Queue_Post(o->task.kernel, TASK_INTAKE, &m->base, &Queue_WantedKind);
}

/* The row names us: the rows come next. */
static void
begin_loading(struct owner *o)
{
    o->office = OFFICE_LOADING;
    o->elected_ms = Clock_NowMs();
    o->term = o->row_term;
    o->version = o->row_version;
    o->confirmed_ms = Clock_NowMs();
    LOG_I("owner_elected", KV_INT("term", o->term),
          KV_INT("version", o->version));
    want_rows(o);
}

/* The owner row has changed. */
static void
take_owner_row(struct owner *o, const struct table_row *row)
{
    const struct entry_settings *s = o->task.kernel->settings;
    json_t *v = json_loadb(row->value.data ? row->value.data : "",
                           row->value.len, 0, NULL);
    const char *name = json_string_value(json_object_get(v, "name"));
    bool was_nobody = o->row_version != 0 && o->row_name[0] == '\0';
    bool was_own = strcmp(o->row_name, s->name) == 0;

    if (!names_us(o)) {
        o->dead_before = o->row_version == 0 || was_nobody || was_own;
        Str_Copy(o->before_name, sizeof(o->before_name),
                 o->dead_before ? "" : o->row_name);
        o->before_incarnation = o->row_incarnation;
    }
    o->row_version = row->version;
    Str_Copy(o->row_name, sizeof(o->row_name), name != NULL ? name : "");
    o->row_incarnation =
        (uint64_t)json_integer_value(json_object_get(v, "incarnation"));
    o->row_term = (uint64_t)json_integer_value(json_object_get(v, "term"));
    o->beat_seen_ms = Clock_NowMs();
    json_decref(v);
    if (!names_us(o)) {
        if (o->office != OFFICE_NONE) {
            Owner_Leave(o, "another_owner");
        }
        return;
    }
    if (o->released) {
        return;
    }
    if (o->office == OFFICE_NONE) {
        begin_loading(o);
        return;
    }
    o->version = o->row_version;
    if (o->office == OFFICE_FENCING) {
        o->office = OFFICE_HELD;
        LOG_I("owner_fenced", KV_INT("version", o->version));
        Owner_Soon(o);
    }
}

/* The row of that key among rows, or NULL. */
static const struct table_row *
row_of(const struct rows_changed *r, const char *prefix, const char *id)
{
    size_t len = strlen(prefix);

    for (size_t i = 0; i < r->count; i++) {
        if (strncmp(r->rows[i].key, prefix, len) == 0 &&
            strcmp(r->rows[i].key + len, id) == 0) {
            return &r->rows[i];
        }
    }
    return NULL;
}

/* Takes an accepted job into the book. */
static void
add_job(struct owner *o, const struct table_row *row,
        const struct table_row *run)
{
    struct jobs_spec spec CLEANUP(JobsSpec_Clear) = {0};
    int err;

    if (JobsSpec_Decode(row->value.data, row->value.len, &spec) != ERR_OK) {
        LOG_E("row_unreadable", KV("key", row->key));
        return;
    }
    err = Jobs_Add(o->book, &spec, run != NULL ? run->value.data : NULL,
                   run != NULL ? run->value.len : 0, Clock_NowMs());
    if (err != ERR_OK && err != ERR_EXISTS) {
        LOG_E("progress_unreadable", KV("key", row->key));
    }
}

/* Takes rows of jobs that are in the store into the book. */
static void
take_jobs(struct owner *o, const struct rows_changed *r)
{
    for (size_t i = 0; i < r->count; i++) {
        const char *key = r->rows[i].key;

        if (strncmp(key, "spec/", 5) == 0 && r->rows[i].version != 0 &&
            !Jobs_Has(o->book, key + 5)) {
            add_job(o, &r->rows[i],
                    r->all ? row_of(r, "run/", key + 5) : NULL);
        }
    }
    for (size_t i = 0; i < r->count; i++) {
        const char *key = r->rows[i].key;

        if (strncmp(key, "stop/", 5) == 0 && r->rows[i].version != 0) {
            Jobs_Cancel(o->book, key + 5, Clock_NowMs());
        }
    }
}

/* Builds the book from all rows. */
static void
take_office(struct owner *o, const struct rows_changed *r)
{
    const struct entry_settings *s = o->task.kernel->settings;
    struct jobs_limits limits = {
        .term = o->term,
        .lease_ms = s->hosted.lease_ms,
        .start_ms = s->hosted.lease_ms < 4000 ? s->hosted.lease_ms : 4000,
        .early_ms = 0,
        .silent_ms = 1500,
        .remote_factor = strtod(s->hosted.remote_factor, NULL),
        .keep_ms = (s->hosted.keep_s + 30) * 1000,
    };
    int64_t now = Clock_NowMs();
    int64_t lost = now + limits.lease_ms + limits.lease_ms / 20;

    o->book = Jobs_New(&limits);
    if (o->config != NULL) {
        Jobs_SetConfig(o->book, &o->config->jobs);
    }
    take_jobs(o, r);
    Jobs_TakeOver(o->book, o->dead_before ? lost : lost + BLIND_MS, now);
    for (size_t i = 0; i < LEFT_MAX; i++) {
        Jobs_Left(o->book, o->left[i], NULL, 0, now);
    }
    o->office = OFFICE_HELD;
    Counter_Add(&takeovers, 1);
    Counter_Observe(&takeover_ms, now - o->elected_ms);
    Counter_Set(&in_office, 1);
    LOG_I("owner_in_office", KV_INT("term", o->term), KV_INT("rows", r->count),
          KV("before", o->dead_before ? "ended" : "maybe_alive"));
    Owner_Soon(o);
}

/* Another process of the entry that was the owner before us has written its
 * row: the one that was the owner has ended, and grants no lease any more. */
static void
note_entry(struct owner *o, const struct table_row *row)
{
    const struct entry_settings *s = o->task.kernel->settings;
    json_t *v;
    uint64_t incarnation;

    if (*o->before_name == '\0' || o->book == NULL ||
        strcmp(row->key + strlen("entry/"), o->before_name) != 0) {
        return;
    }
    v = json_loadb(row->value.data ? row->value.data : "", row->value.len, 0,
                   NULL);
    incarnation =
        (uint64_t)json_integer_value(json_object_get(v, "incarnation"));
    json_decref(v);
    if (incarnation != 0 && incarnation != o->before_incarnation) {
        LOG_I("owner_before_ended", KV("entry", o->before_name));
        o->before_name[0] = '\0';
        Jobs_OwnerEnded(o->book, Clock_NowMs() + s->hosted.lease_ms +
                                     s->hosted.lease_ms / 20);
    }
}

/* Takes rows from the intake. */
static void
take_rows(struct owner *o, const struct rows_changed *r)
{
    if (r->all) {
        if (o->office == OFFICE_LOADING && r->position >= o->version) {
            take_office(o, r);
        }
        return;
    }
    if (Clock_NowMs() - o->rows_seen_ms > FEED_GAP_MS) {
        o->fresh_ms = Clock_NowMs();
    }
    o->rows_seen_ms = Clock_NowMs();
    for (size_t i = 0; i < r->count; i++) {
        if (strcmp(r->rows[i].key, "owner") == 0) {
            take_owner_row(o, &r->rows[i]);
        }
        else if (strcmp(r->rows[i].key, "beat") == 0 ||
                 strncmp(r->rows[i].key, "run/", 4) == 0) {
            o->beat_seen_ms = Clock_NowMs(); /* both are the owner's own */
        }
        else if (strncmp(r->rows[i].key, "entry/", 6) == 0) {
            note_entry(o, &r->rows[i]);
        }
    }
    if (o->book != NULL && r->count > 0) {
        take_jobs(o, r);
        Owner_Soon(o);
    }
}

/* Claims the office when nobody holds it, or its holder shows no life.
 *
 * Failure: this entry was cut from the store for a while, and hears of it
 * again. Symptom: the owner's last beat that it knows is old, and it deposes a
 * living owner. Silence therefore counts from the moment since when the feed
 * has come without a gap. */
static void
consider(struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;
    int64_t now = Clock_NowMs();
    int64_t heard =
        o->beat_seen_ms > o->fresh_ms ? o->beat_seen_ms : o->fresh_ms;
    /* Entries wait for different times, so that one is first. */
    int64_t own = (int64_t)(Hash_Str(s->name, 0) % 300);
    bool nobody = o->row_version == 0 || o->row_name[0] == '\0';
    bool ours_before = strcmp(o->row_name, s->name) == 0 && !names_us(o);

    if (o->draining || o->rows_seen_ms == 0 ||
        now - o->rows_seen_ms > FEED_GAP_MS || o->config == NULL) {
        return;
    }
    if (ours_before || (nobody && now - heard > own) ||
        now - heard > SILENT_MS + own) {
        Owner_Claim(o, s->name);
    }
}

static void
on_dropped(void *arg UNUSED, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    if (err != ERR_OK) {
        LOG_W("drop_failed", KV("error", Err_Name(err)));
    }
}

/* Drops the rows of a job that has been shown for long enough. A write that
 * comes seconds late finds the row of the job gone, and makes it anew only if
 * it was the one that accepted it, long before. */
static void
expire(struct owner *o)
{
    static const char *const prefixes[] = {"spec/", "stop/", "run/"};
    struct table_op ops[COUNT_OF(prefixes) + 1] = {{0}};
    char keys[COUNT_OF(prefixes)][JOBS_ID_SIZE + 8];
    const char *id = Jobs_NextExpired(o->book, Clock_NowMs());

    if (id == NULL) {
        return;
    }
    ops[0] = (struct table_op){.verb = TABLE_CHECK,
                               .table = Queue_Site()->own_table,
                               .key = "owner",
                               .if_version = o->version};
    for (size_t i = 0; i < COUNT_OF(prefixes); i++) {
        snprintf(keys[i], sizeof(keys[i]), "%s%s", prefixes[i], id);
        ops[i + 1] = (struct table_op){.verb = TABLE_DELETE,
                                       .table = Queue_Site()->own_table,
                                       .key = keys[i],
                                       .if_version = TABLE_ANY};
    }
    o->store->ops->commit(o->store, ops, COUNT_OF(ops), on_dropped, o);
    Jobs_Remove(o->book, id);
}

/* Does what the time has brought. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct owner *o = w->data;
    const struct entry_settings *s = o->task.kernel->settings;

    switch (o->office) {
    case OFFICE_NONE:
        consider(o);
        return;
    case OFFICE_LOADING:
        /* Rows from before our own row came are not enough; ask again. */
        if (Clock_NowMs() - o->wanted_ms > LOADING_MS) {
            want_rows(o);
        }
        return;
    case OFFICE_FENCING:
        Owner_Claim(o, s->name);
        break;
    case OFFICE_HELD:
        expire(o);
        break;
    }
    if (o->draining && !o->released) {
        o->released = true;
        Owner_Claim(o, "");
        return;
    }
    Owner_Soon(o);
}

/* One line for each thing that the book decided or learned. */
static void
log_events(struct owner *o)
{
    struct jobs_event *e;

    while ((e = Jobs_NextEvent(o->book)) != NULL) {
        LOG_I(Jobs_EventName(e->kind), KV("reason", e->reason),
              KV("job", e->job), KV("task", e->task), KV_INT("run", e->run),
              KV("worker", e->worker), KV("other", e->other),
              KV_INT("ms", e->number), KV_INT("term", o->term),
              KV_INT("config", o->config ? o->config->jobs.version : 0));
        e->at_ms = Clock_WallMs();
        QueueWhy_Keep(o, e);
    }
}

/* Plans, writes, gives orders. */
static void
on_soon(struct ev_loop *loop UNUSED, ev_timer *w UNUSED, int events UNUSED)
{
    struct owner *o = w->data;

    if (o->book == NULL || o->released) {
        return;
    }
    Jobs_Plan(o->book, Clock_NowMs(), Clock_WallMs());
    Batch_Start(o);
    Orders_Send(o);
    Advice_Ask(o);
    log_events(o);
}

/* Lets it be done soon, together with what else comes. */
void
Owner_Soon(struct owner *o)
{
    if (!ev_is_active(&o->soon)) {
        Timer_Set(o->task.kernel->loop, &o->soon, SOON_MS);
    }
}

/* Takes a configuration; the book points into it. */
static void
take_config(struct owner *o, struct queue_config *c)
{
    if (o->book != NULL) {
        Jobs_SetConfig(o->book, &c->jobs);
    }
    QueueConfig_Unref(o->config);
    o->config = QueueConfig_Ref(c);
}

/* Keeps a lifetime that has left, in office or not.
 *
 * Failure: a worker leaves, its machine with it, and the owner that heard of
 * it ends too. Symptom: the next owner waits for leases of a worker that is
 * gone, and its tasks stand for that long. Every entry hears the agents. */
static void
note_left(struct owner *o, const char *lifetime)
{
    if (*lifetime == '\0') {
        return;
    }
    for (size_t i = 0; i < LEFT_MAX; i++) {
        if (strcmp(o->left[i], lifetime) == 0) {
            return;
        }
    }
    Str_Copy(o->left[o->left_next++ % LEFT_MAX], JOBS_TEXT_SIZE, lifetime);
}

/* Takes what agents say. */
static void
take_said(struct owner *o, const struct wire_msg *m)
{
    if (m->type == WIRE_LOOK) {
        note_left(o, ((const struct wire_look *)m)->left);
    }
    if (o->book == NULL) {
        return;
    }
    if (m->type == WIRE_LOOK) {
        Orders_Look(o, (const struct wire_look *)m);
    }
    else if (m->type == WIRE_REFUSED) {
        Orders_Refused(o, (const struct wire_refused *)m);
    }
    Owner_Soon(o);
}

/* Takes what other tasks send. */
static void
receive(struct task *t, struct message *m)
{
    struct owner *o = (struct owner *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    if (m->kind == &Queue_RowsKind) {
        take_rows(o, (struct rows_changed *)m);
    }
    else if (m->kind == &Queue_SaidKind) {
        take_said(o, ((struct agent_said *)m)->m);
    }
    else if (m->kind == &Queue_ConfigKind) {
        take_config(o, ((struct config_in_force *)m)->config);
    }
}

/* Begins to end: the office is given back. */
static void
drain(struct task *t)
{
    ((struct owner *)t)->draining = true;
}

/* For operators. */
static json_t *
state(const struct task *t)
{
    const struct owner *o = (const struct owner *)t;
    json_t *v =
        json_pack("{s:b,s:I,s:s}", "in_office", o->book != NULL, "term",
                  (json_int_t)o->row_term, "owner", o->row_name);

    if (o->book != NULL) {
        json_object_set_new(v, "book", Jobs_State(o->book));
    }
    return v;
}

/* Frees the task. */
static void
owner_free(struct task *t)
{
    struct owner *o = (struct owner *)t;

    ev_timer_stop(t->kernel->loop, &o->tick);
    ev_timer_stop(t->kernel->loop, &o->soon);
    Jobs_Free(o->book);
    if (o->adviser != NULL) {
        o->adviser->ops->free(o->adviser);
    }
    QueueWhy_Clear(o);
    QueueConfig_Unref(o->config);
    free(o);
}

static const struct task_ops owner_ops = {.name = TASK_OWNER,
                                          .receive = receive,
                                          .drain = drain,
                                          .state = state,
                                          .free = owner_free};

/* Starts without office. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct owner *o = Mem_Zero(1, sizeof(*o));

    o->store = Queue_Store(k);
    if (s->hosted.advice != NULL) {
        o->adviser = Queue_Site()->open_adviser(k->loop, &s->hosted);
    }
    o->beat_seen_ms = Clock_NowMs();
    TAILQ_INIT(&o->kept);
    ev_init(&o->tick, on_tick);
    o->tick.data = o;
    ev_init(&o->soon, on_soon);
    o->soon.data = o;
    Kernel_AddTask(k, &o->task, &owner_ops);
    Timer_Every(k->loop, &o->tick, TICK_MS);
    return ERR_OK;
}

static struct plugin owner_plugin = {
    .name = "owner", .rank = 40, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(owner_plugin)
