#include "entry-peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The task peers keeps the list of entries. Each entry writes its own row and
 * lists all rows, and decides by itself which entries are alive. For 12
 * entries that is 0.4 writes and 1.2 reads a second of the table service. */

#define PEERS_TABLE "entries"
#define WRITE_MS 30000 /* interval of writes of this entry's row */
#define LIST_MS 10000  /* interval of lists of all rows */
#define CALL_TIMEOUT_MS 2000
#define GIVE_UP_MS 8000
/* Longest wait of a drain for the deletion of its row. */
#define LEAVE_TIMEOUT_MS 1500
#define SUBSCRIBERS_MAX 8

struct peers {
    struct task task;
    const struct entry_settings *settings;
    struct table *table; /* NULL: the platform has none */
    struct peer_entry self;
    struct peer_list list;
    const char *subscribers[SUBSCRIBERS_MAX];
    int subscriber_count;
    struct peer_entry *announced; /* as last sent, in order of name */
    size_t announced_count;
    bool writing, listing, written, leaving;
    int64_t leave_by;
    ev_timer write_timer, list_timer;
};

static struct counter known_gauge = {"parsleyfall_entries",
                                     "Entries that are known, this one too.",
                                     NULL, COUNTER_GAUGE};
static struct counter failed_total = {
    "parsleyfall_entries_calls_failed_total",
    "Writes and lists of the table of entries that failed.", NULL,
    COUNTER_TOTAL};

/* Sends the list of entries to a task. */
static void
post_list(struct peers *p, const char *name)
{
    struct task *t = Kernel_FindTask(p->task.kernel, name);
    struct peers_note *note;

    if (t == NULL) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    note->count = p->announced_count;
    note->entries = Mem_Alloc(p->announced_count * sizeof(*note->entries));
    memcpy(note->entries, p->announced,
           p->announced_count * sizeof(*note->entries));
    Kernel_Post(t, &note->base, &Entry_Peers);
}

/* Sends the list of entries to the subscribers if it has changed. */
static void
announce_changes(struct peers *p)
{
    struct peer_entry *list = Mem_Zero(PEERS_MAX + 1, sizeof(*list));
    size_t n = peers_alive(&p->list, &p->self, list);
    int i;

    if (n == p->announced_count &&
        memcmp(list, p->announced, n * sizeof(*list)) == 0) {
        free(list);
        return;
    }
    free(p->announced);
    p->announced = list;
    p->announced_count = n;
    Counter_Set(&known_gauge, (int64_t)n);
    LOG_I("entries", KV_INT("count", n));
    for (i = 0; i < p->subscriber_count; i++) {
        post_list(p, p->subscribers[i]);
    }
}

/* Logs the outcome of deleting a stale row; the next list shows whether it is
 * gone. */
static void
on_deleted(void *arg UNUSED, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    LOG_I("entry_row_deleted", KV("result", Err_Name(err)));
}

/* Deletes a row that its entry no longer writes, on the condition that its
 * version has not changed since it was listed. */
static void
delete_row(struct peers *p, const struct peer *peer)
{
    const struct table_op op = {TABLE_DELETE,  PEERS_TABLE, peer->facts.name,
                                peer->version, NULL,        0};

    p->table->ops->commit(p->table, &op, 1, on_deleted, NULL);
}

/* Applies a list of all rows, and deletes the rows that are stale. */
static void
on_listed(void *arg, int err, struct table_row *rows, size_t count,
          bool more UNUSED)
{
    struct peers *p = arg;
    const struct peer *peer;

    p->listing = false;
    if (err != ERR_OK) {
        Counter_Add(&failed_total, 1);
        LOG_W("entries_unreadable", KV("error", Err_Name(err)));
        return;
    }
    peers_apply_list(&p->list, rows, count);
    TAILQ_FOREACH (peer, &p->list, entry) {
        if (peer->unchanged == DELETE_AFTER_LISTS) {
            delete_row(p, peer);
        }
    }
    announce_changes(p);
}

/* Lists all rows, unless a list is under way. */
static void
list_rows(struct peers *p)
{
    if (p->listing) {
        return;
    }
    p->listing = true;
    p->table->ops->list(p->table, PEERS_TABLE, "", "", PEERS_MAX, on_listed,
                        p);
}

/* Handles the outcome of writing this entry's row. */
static void
on_written(void *arg, int err, size_t at UNUSED,
           const uint64_t *versions UNUSED)
{
    struct peers *p = arg;
    bool first = !p->written;

    p->writing = false;
    if (err != ERR_OK) {
        Counter_Add(&failed_total, 1);
        LOG_W("entry_row_unwritten", KV("error", Err_Name(err)));
        return;
    }
    p->written = true;
    if (first) {
        list_rows(p);
    }
}

/* Writes this entry's row at any version, as no other entry writes it. */
static void
write_row(struct peers *p)
{
    char hex[24];
    json_t *o;
    char *text;

    if (p->writing || p->leaving) {
        return;
    }
    snprintf(hex, sizeof(hex), "%016llx",
             (unsigned long long)p->self.incarnation);
    o = json_pack("{s:s, s:s, s:s, s:s, s:s}", "name", p->self.name, "region",
                  p->self.region, "links", p->self.links, "http", p->self.http,
                  "incarnation", hex);
    text = json_dumps(o, JSON_COMPACT);
    const struct table_op op = {TABLE_PUT, PEERS_TABLE, p->self.name,
                                TABLE_ANY, text,        strlen(text)};

    p->writing = true;
    p->table->ops->commit(p->table, &op, 1, on_written, p);
    free(text);
    json_decref(o);
}

/* Ends the wait for the deletion of this entry's row, whatever its outcome. */
static void
on_left(void *arg, int err UNUSED, size_t at UNUSED,
        const uint64_t *versions UNUSED)
{
    ((struct peers *)arg)->writing = false;
}

/* Deletes this entry's row, so that the other entries need not wait until it
 * is stale. */
static void
peers_drain(struct task *t)
{
    struct peers *p = (struct peers *)t;
    const struct table_op op = {TABLE_DELETE, PEERS_TABLE, p->self.name,
                                TABLE_ANY,    NULL,        0};

    p->leaving = true;
    p->leave_by = Clock_NowMs() + LEAVE_TIMEOUT_MS;
    if (p->table == NULL || !p->written || p->writing) {
        return;
    }
    p->writing = true;
    p->table->ops->commit(p->table, &op, 1, on_left, p);
}

/* True if this entry's row is deleted or its deletion takes too long. During
 * an outage of the table service the other entries wait until the row is
 * stale, and this process need not wait for that. */
static bool
peers_drained(const struct task *t)
{
    const struct peers *p = (const struct peers *)t;

    return !p->writing || Clock_NowMs() >= p->leave_by;
}

/* Returns the entries, for /v1/state. */
static json_t *
peers_state(const struct task *t)
{
    const struct peers *p = (const struct peers *)t;
    json_t *list = json_array();
    size_t i;

    for (i = 0; i < p->announced_count; i++) {
        const struct peer_entry *e = &p->announced[i];

        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s}", "name", e->name, "region",
                            e->region, "links", e->links, "http", e->http));
    }
    return json_pack("{s:o, s:b}", "entries", list, "written", p->written);
}

/* Frees the task, its list and its open calls. */
static void
peers_free(struct task *t)
{
    struct peers *p = (struct peers *)t;

    ev_timer_stop(t->kernel->loop, &p->write_timer);
    ev_timer_stop(t->kernel->loop, &p->list_timer);
    if (p->table != NULL) {
        p->table->ops->free(p->table);
    }
    peers_clear(&p->list);
    free(p->announced);
    free(p);
}

static const struct task_ops peers_ops = {
    .name = "peers",
    .drain = peers_drain,
    .drained = peers_drained,
    .state = peers_state,
    .free = peers_free,
};

/* Writes this entry's row. */
static void
on_write_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    write_row(w->data);
}

/* Lists all rows; until a first write has succeeded, also writes this entry's
 * row again. */
static void
on_list_timer(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct peers *p = w->data;

    if (!p->written) {
        write_row(p);
    }
    list_rows(p);
}

/* Adds a subscriber. */
void
Peers_Subscribe(struct kernel *k, const char *task)
{
    struct peers *p = (struct peers *)Kernel_FindTask(k, "peers");

    if (p->subscriber_count == SUBSCRIBERS_MAX) {
        Fatal("too many subscribers to peers");
    }
    p->subscribers[p->subscriber_count++] = task;
}

/* Creates the task before others subscribe to it. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    const struct platform_limits limits = {.timeout_ms = CALL_TIMEOUT_MS,
                                           .give_up_ms = GIVE_UP_MS,
                                           .reads_per_s = 8,
                                           .writes_per_s = 16};
    struct peers *p = Mem_Zero(1, sizeof(*p));

    p->settings = s;
    TAILQ_INIT(&p->list);
    p->table = Platform_HttpTable(k->loop, s->platform.table_url, &limits);
    Kernel_AddTask(k, &p->task, &peers_ops);
    Peers_Subscribe(k, "members");
    return ERR_OK;
}

/* Starts to announce this entry once its ports are known and all tasks have
 * subscribed. */
static int
start_announcing(struct kernel *k)
{
    struct peers *p = (struct peers *)Kernel_FindTask(k, "peers");

    Str_Copy(p->self.name, sizeof(p->self.name), p->settings->name);
    Str_Copy(p->self.region, sizeof(p->self.region), p->settings->region);
    Str_Copy(p->self.links, sizeof(p->self.links), Links_Address(k));
    snprintf(p->self.http, sizeof(p->self.http), "%s:%d",
             p->settings->listen.address, Front_Port(k));
    p->self.incarnation = Entry_Incarnation();
    announce_changes(p);
    ev_init(&p->write_timer, on_write_timer);
    ev_init(&p->list_timer, on_list_timer);
    p->write_timer.data = p;
    p->list_timer.data = p;
    if (p->table != NULL) {
        Timer_Every(k->loop, &p->write_timer, WRITE_MS);
        Timer_Every(k->loop, &p->list_timer, LIST_MS);
        write_row(p);
    }
    return ERR_OK;
}

static struct plugin peers_plugin = {
    .name = "peers", .rank = 25, .start = start};
KERNEL_PLUGIN(peers_plugin)
static struct plugin announcing_plugin = {
    .name = "peers-telling", .rank = 96, .start = start_announcing};
KERNEL_PLUGIN(announcing_plugin)
