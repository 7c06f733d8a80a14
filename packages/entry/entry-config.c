#include "entry-config.h"

#include <stdlib.h>
#include <string.h>

static struct counter epoch_gauge = {"parsleyfall_config_epoch",
                                     "Epoch of the configuration in force.",
                                     NULL, COUNTER_GAUGE};
static struct counter adopted_total = {"parsleyfall_config_adopted_total",
                                       "Documents put in force here.", NULL,
                                       COUNTER_TOTAL};
static struct counter stale_total = {
    "parsleyfall_config_stale_total",
    "Documents not taken because a later one is in force.", NULL,
    COUNTER_TOTAL};

/* Parses a document, and checks whether its guarantees are feasible if asked
 * to. */
struct config_snapshot *
config_snapshot_new(uint64_t epoch, const struct buf *text,
                    bool check_feasible, struct conf_errors *errors)
{
    struct config_snapshot *f = Mem_Zero(1, sizeof(*f));

    f->refs = 1;
    f->epoch = epoch;
    Config_SetCheck(check_feasible ? Feasible_Check : NULL);
    if (Config_Parse(text->data ? text->data : "", text->len, &f->doc,
                     errors) != ERR_OK) {
        ConfigSnapshot_Unref(f);
        return NULL;
    }
    Config_Render(&f->doc, &f->text);
    Digest_Hex(f->text.data, f->text.len, f->hash);
    return f;
}

/* Sends the document in force to a task. */
static void
post_config(struct configs *c, const char *task)
{
    struct config_note *note = Mem_Zero(1, sizeof(*note));

    note->active_config = ConfigSnapshot_Ref(c->active_config);
    Kernel_Post(Kernel_FindTask(c->task.kernel, task), &note->base,
                &Entry_Config);
}

/* Puts a document in force and sends it to the subscribers.
 *
 * A slow read of the head, or a process that was paused after the read, can
 * bring an old document after a newer one, which would undo an accepted change
 * at this entry. Epochs only rise in the table, so a document whose epoch is
 * not higher than the one in force is ignored. */
void
config_adopt(struct configs *c, struct config_snapshot *f)
{
    int i;

    if (c->active_config != NULL && f->epoch <= c->active_config->epoch) {
        Counter_Add(&stale_total, 1);
        ConfigSnapshot_Unref(f);
        return;
    }
    ConfigSnapshot_Unref(c->active_config);
    c->active_config = f;
    Counter_Add(&adopted_total, 1);
    Counter_Set(&epoch_gauge, (int64_t)f->epoch);
    LOG_I("config_adopted", KV_INT("epoch", f->epoch), KV("hash", f->hash));
    for (i = 0; i < c->subscriber_count; i++) {
        post_config(c, c->subscribers[i]);
    }
}

/* Writes the entity tag of a document. */
void
config_etag(uint64_t epoch, const char *hash, struct buf *out)
{
    Buf_Printf(out, "\"%llu-%s\"", (unsigned long long)epoch, hash);
}

/* Parses an entity tag. */
int
config_parse_etag(const char *text, struct config_head *out)
{
    size_t len;
    char *end;

    text += *text == '"';
    if (*text < '0' || *text > '9') {
        return ERR_INVALID;
    }
    out->epoch = strtoull(text, &end, 10);
    if (*end != '-') {
        return ERR_INVALID;
    }
    len = strcspn(end + 1, "\"");
    if (len != DIGEST_HEX_SIZE - 1) {
        return ERR_INVALID;
    }
    memcpy(out->hash, end + 1, len);
    out->hash[len] = '\0';
    return ERR_OK;
}

/* Handles the HTTP requests of the task's routes. */
static void
configs_receive(struct task *t, struct message *m)
{
    Front_Handle(t, m);
}

/* Returns the epoch in force and the state of the poll, for /v1/state. */
static json_t *
configs_state(const struct task *t)
{
    const struct configs *c = (const struct configs *)t;
    int64_t age = c->head_read_at ? Clock_NowMs() - c->head_read_at : -1;

    return json_pack(
        "{s:I, s:s, s:b, s:I, s:i}", "epoch",
        (json_int_t)(c->active_config ? c->active_config->epoch : 0), "hash",
        c->active_config ? c->active_config->hash : "", "table",
        c->table != NULL, "head_read_ms", (json_int_t)age, "failed_polls",
        c->failed_polls);
}

/* True if every operator's change has its reply. */
static bool
configs_drained(const struct task *t)
{
    return TAILQ_EMPTY(&((const struct configs *)t)->writes);
}

/* Releases the document, the connections and the unfinished writes. */
static void
configs_free(struct task *t)
{
    struct configs *c = (struct configs *)t;

    ev_timer_stop(t->kernel->loop, &c->poll_timer);
    if (c->table != NULL) {
        c->table->ops->free(c->table);
    }
    if (c->write_table != NULL) {
        c->write_table->ops->free(c->write_table);
    }
    if (c->objects != NULL) {
        c->objects->ops->free(c->objects);
    }
    config_writes_free(c);
    ConfigSnapshot_Unref(c->initial);
    ConfigSnapshot_Unref(c->active_config);
    free(c);
}

static const struct task_ops configs_ops = {
    .name = "config",
    .receive = configs_receive,
    .drained = configs_drained,
    .state = configs_state,
    .free = configs_free,
};

/* Adds a subscriber. */
void
Configs_Subscribe(struct kernel *k, const char *task)
{
    struct configs *c = (struct configs *)Kernel_FindTask(k, "config");

    if (c->subscriber_count == CONFIG_SUBSCRIBERS_MAX) {
        Fatal("too many subscribers to config");
    }
    c->subscribers[c->subscriber_count++] = task;
}

/* Creates the task before others subscribe to it. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct platform_limits limits = {
        .timeout_ms = CONFIG_CALL_TIMEOUT_MS,
        .give_up_ms = CONFIG_GIVE_UP_MS,
        .reads_per_s = CONFIG_POLL_READS_PER_S,
        .writes_per_s = CONFIG_POLL_READS_PER_S,
    };
    struct configs *c = Mem_Zero(1, sizeof(*c));

    c->settings = s;
    TAILQ_INIT(&c->writes);
    c->table = Platform_HttpTable(k->loop, s->platform.table_url, &limits);
    limits.reads_per_s = CONFIG_CHANGE_READS_PER_S;
    limits.writes_per_s = CONFIG_CHANGE_WRITES_PER_S;
    c->write_table =
        Platform_HttpTable(k->loop, s->platform.table_url, &limits);
    c->objects =
        Platform_HttpObjects(k->loop, s->platform.objects_url, &limits);
    Kernel_AddTask(k, &c->task, &configs_ops);
    return ERR_OK;
}

/* Starts to follow the head once all tasks have subscribed. */
static int
start_following(struct kernel *k)
{
    config_poll_start((struct configs *)Kernel_FindTask(k, "config"));
    return ERR_OK;
}

static struct plugin config_plugin = {
    .name = "config", .rank = 30, .start = start};
KERNEL_PLUGIN(config_plugin)
static struct plugin follow_plugin = {
    .name = "config-follow", .rank = 95, .start = start_following};
KERNEL_PLUGIN(follow_plugin)
