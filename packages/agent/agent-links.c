#include "agent-links.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 200
#define MIN_HEARTBEAT_MS 200
#define MAX_HEARTBEAT_MS 60000
#define HELLO_RETRY_MS 200 /* interval of hellos until the first welcome */
/* Interval at which the seeds are read again while no entry answers. */
#define SEEDS_READ_MS 1000
#define UNLISTED_KEEP_MS 120000 /* of a silent entry that no welcome lists */

static struct counter replaced_total = {
    "parsleyfall_agent_links_replaced_total",
    "Silent links replaced by new ones.", NULL, COUNTER_TOTAL};

/* Handles a welcome. The entry sets the heartbeat interval and lists the
 * entries. When `known` is not set, the entry asks for another hello. */
static void
handle_welcome(struct links *l, struct entry_link *e,
               const struct wire_welcome *w)
{
    const struct wire_entry *list = w->entries.items;
    size_t i;

    if (!w->known) {
        EntryLink_SendHello(l, e);
        return;
    }
    if (!e->welcomed) {
        LOG_I("welcomed", KV("entry", w->entry), KV("address", e->address),
              KV_INT("heartbeat_ms", w->heartbeat_ms));
    }
    Str_Copy(e->name, sizeof(e->name), w->entry);
    e->incarnation = w->incarnation;
    e->welcomed = true;
    e->draining = w->draining != 0;
    e->heartbeat_ms = w->heartbeat_ms < MIN_HEARTBEAT_MS   ? MIN_HEARTBEAT_MS
                      : w->heartbeat_ms > MAX_HEARTBEAT_MS ? MAX_HEARTBEAT_MS
                                                           : w->heartbeat_ms;
    Entries_MarkDuplicate(l, e);
    for (i = 0; i < w->entries.count; i++) {
        if (Entries_IsSelected(l, &w->entries, &list[i]) &&
            !Entries_IsLinkedElsewhere(l, &list[i])) {
            Entries_Add(l, list[i].address, false);
        }
    }
}

/* Forwards a message from an entry to the task that handles it. */
static void
forward_to_task(struct links *l, struct entry_link *e, const char *to,
                struct wire_msg **m)
{
    struct task *task = Kernel_FindTask(l->task.kernel, to);
    struct inbound *in;

    if (task == NULL) {
        return;
    }
    in = Mem_Zero(1, sizeof(*in));
    Str_Copy(in->origin, sizeof(in->origin), e->address);
    in->m = *m;
    *m = NULL;
    Kernel_Post(task, &in->base, &Agent_Inbound);
}

/* The task that handles each type of message. */
static const struct {
    enum wire_type type;
    const char *task;
} message_routes[] = {
    {WIRE_DISPATCH, "work"}, {WIRE_WITHDRAW, "work"}, {WIRE_SETTLED, "work"},
    {WIRE_PREPARE, "parts"}, {WIRE_RELEASE, "parts"}, {WIRE_RENEW, "parts"},
    {WIRE_STOP, "parts"},    {WIRE_FENCE, "parts"},   {WIRE_BIND, "parts"},
};

/* Handles a message from an entry. */
void
Links_Receive(void *arg, const struct link_peer *peer UNUSED,
              struct wire_msg **m)
{
    struct entry_link *e = arg;
    size_t i;

    e->last_received_at = Clock_NowMs();
    if ((*m)->type == WIRE_WELCOME) {
        handle_welcome(e->links, e, (const struct wire_welcome *)*m);
        return;
    }
    for (i = 0; i < COUNT_OF(message_routes); i++) {
        if (message_routes[i].type == (*m)->type) {
            forward_to_task(e->links, e, message_routes[i].task, m);
            return;
        }
    }
    LOG_W("unexpected_message", KV("type", Wire_TypeName((*m)->type)),
          KV("entry", e->address));
}

/* Lists the entries that have welcomed the agent and do not drain. */
static void
list_reachable(struct links *l, struct wire_list *reachable)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        struct reachable_entry *r;

        if (!e->welcomed || e->draining) {
            continue;
        }
        r = Wire_ListAdd(reachable, sizeof(*r));
        Str_Copy(r->address, sizeof(r->address), e->address);
        Str_Copy(r->name, sizeof(r->name), e->name);
        r->incarnation = e->incarnation;
    }
}

/* Posts the list of reachable entries to the task "parts" when it has changed.
 */
static void
post_reachable(struct links *l)
{
    struct task *parts = Kernel_FindTask(l->task.kernel, "parts");
    struct wire_list reachable = {0};
    struct reachable_note *note;
    uint64_t hash;

    list_reachable(l, &reachable);
    hash = Hash_Bytes(reachable.items,
                      reachable.count * sizeof(struct reachable_entry),
                      reachable.count);
    if (hash == l->reachable_hash || parts == NULL) {
        free(reachable.items);
        return;
    }
    l->reachable_hash = hash;
    note = Mem_Zero(1, sizeof(*note));
    note->entries = reachable;
    Kernel_Post(parts, &note->base, &Agent_Reachable);
}

/* Drops a duplicate link to an entry. The entry may have received its latest
 * message from this agent on it. The hello on the remaining link makes the
 * entry use that one, and ask there for messages that the dropped link may
 * have lost. */
static void
drop_duplicate(struct links *l, struct entry_link *e)
{
    struct entry_link *o = Entries_FindDuplicate(l, e);

    LOG_I("duplicate_link_dropped", KV("address", e->address),
          KV("entry", e->name));
    Entries_Drop(l, e);
    if (o != NULL) {
        EntryLink_SendHello(l, o);
    }
}

/* Maintains one link: drops it when it is a duplicate, or silent and not
 * listed any more; replaces it when it is silent; else sends a due hello or
 * heartbeat.
 */
static void
check_link(struct links *l, struct entry_link *e, int64_t now)
{
    if (e->duplicate) {
        drop_duplicate(l, e);
        return;
    }
    if (!e->seed && EntryLink_IsSilent(e, now) &&
        now - e->listed_at > UNLISTED_KEEP_MS) {
        LOG_I("entry_forgotten", KV("address", e->address));
        Entries_Drop(l, e);
        return;
    }
    if (EntryLink_IsSilent(e, now)) {
        LOG_W("link_silent", KV("entry", e->address),
              KV_INT("silent_ms", now - e->last_received_at));
        Counter_Add(&replaced_total, 1);
        e->replacements++;
        EntryLink_Open(l, e);
        if (e->listed_address[0] != '\0') {
            Entries_Add(l, e->listed_address, false);
            e->listed_address[0] = '\0';
        }
    }
    else if (!e->welcomed && now - e->heartbeat_sent_at >= HELLO_RETRY_MS) {
        EntryLink_SendHello(l, e);
    }
    else if (e->welcomed &&
             now - e->heartbeat_sent_at >= EntryLink_HeartbeatInterval(e)) {
        EntryLink_SendHeartbeat(l, e);
    }
}

/* True when an entry has welcomed the agent and answers. */
static bool
has_answering(const struct links *l, int64_t now)
{
    const struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (e->welcomed && !EntryLink_IsSilent(e, now)) {
            return true;
        }
    }
    return false;
}

/* Reads the seeds again, at intervals. All entries may be replaced at other
 * addresses at once; only the settings file names the new ones then. */
static void
read_seeds(struct links *l, int64_t now)
{
    struct conf_list seeds CLEANUP(Settings_FreeSeeds) = {0};
    int err;

    if (now - l->seeds_read_at < SEEDS_READ_MS) {
        return;
    }
    l->seeds_read_at = now;
    err = Settings_ReadAgentSeeds(l->settings->file, &seeds);
    if (err != ERR_OK) {
        LOG_W("seeds_unreadable", KV("file", l->settings->file),
              KV("error", Err_Name(err)));
        return;
    }
    Entries_SetSeeds(l, &seeds);
}

/* Checks all links periodically. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct links *l = w->data;
    struct entry_link *e, *next;
    int64_t now = Clock_NowMs();

    post_reachable(l);
    if (!has_answering(l, now)) {
        read_seeds(l, now);
    }
    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        check_link(l, e, now);
    }
}

/* Sends a message to the entry at its origin, or to all entries. */
static void
handle_outbound(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct outbound *out = (struct outbound *)m;
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (out->origin[0] == '\0' || strcmp(e->address, out->origin) == 0) {
            EntryLink_Send(e, out->m);
        }
    }
}

/* True when two lists of services differ in more than the load. */
static bool
services_differ(const struct wire_list *a, const struct wire_list *b)
{
    const struct wire_service *x = a->items, *y = b->items;
    size_t i;

    if (a->count != b->count) {
        return true;
    }
    for (i = 0; i < a->count; i++) {
        if (strcmp(x[i].name, y[i].name) != 0 || x[i].slots != y[i].slots ||
            x[i].connections != y[i].connections ||
            x[i].healthy != y[i].healthy) {
            return true;
        }
    }
    return false;
}

/* Stores the services, and sends a hello to all entries when more than the
 * load has changed. */
static void
handle_services(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct services_note *note = (struct services_note *)m;
    bool differ = services_differ(&l->services, &note->services);
    struct entry_link *e;

    Wire_ListCopy(&l->services, &note->services, sizeof(struct wire_service));
    if (!differ) {
        return;
    }
    TAILQ_FOREACH (e, &l->entries, entry) {
        EntryLink_SendHello(l, e);
    }
}

/* Stores how much an entry has in progress here. */
static void
handle_busy(struct task *t, struct message *m)
{
    struct busy_note *note = (struct busy_note *)m;
    struct entry_link *e = Entries_Find((struct links *)t, note->origin);

    if (e != NULL) {
        e->busy = note->count;
        Wire_ListCopy(&e->running, &note->own, sizeof(uint64_t));
    }
}

/* Stores the parts for the next hello. When parts were adopted the hello is
 * sent at once, as the first one was sent before the runner had listed its
 * tasks. */
static void
handle_parts(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct parts_note *note = (struct parts_note *)m;
    struct entry_link *e;

    Wire_ListCopy(&l->parts, &note->parts, sizeof(struct wire_part));
    if (!note->adopted) {
        return;
    }
    TAILQ_FOREACH (e, &l->entries, entry) {
        EntryLink_SendHello(l, e);
    }
}

static const struct {
    const struct message_kind *kind;
    void (*handle)(struct task *, struct message *);
} handlers[] = {
    {&Agent_Outbound, handle_outbound},
    {&Agent_Services, handle_services},
    {&Agent_Busy, handle_busy},
    {&Agent_Parts, handle_parts},
};

/* Handles a message by its kind. */
static void
links_receive(struct task *t, struct message *m)
{
    size_t i;

    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].kind == m->kind) {
            handlers[i].handle(t, m);
            return;
        }
    }
    Fatal("links: unexpected message of kind %s", m->kind->name);
}

/* Asks every entry to send no new work. Heartbeats and hellos carry the same
 * flag, so that a lost message costs one heartbeat interval. */
static void
links_drain(struct task *t)
{
    struct links *l = (struct links *)t;
    struct wire_leave leave = {.msg = {WIRE_LEAVE},
                               .incarnation = Agent_Incarnation()};
    struct entry_link *e;

    l->leaving = true;
    TAILQ_FOREACH (e, &l->entries, entry) {
        EntryLink_Send(e, &leave.msg);
    }
}

/* The links as JSON, for operators. */
static json_t *
links_state(const struct task *t)
{
    const struct links *l = (const struct links *)t;
    json_t *list = json_array();
    const struct entry_link *e;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH (e, &l->entries, entry) {
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:b, s:b, s:b, s:i, s:I, s:I, s:I}",
                      "address", e->address, "name", e->name, "seed", e->seed,
                      "welcomed", e->welcomed, "draining", e->draining, "busy",
                      e->busy, "pace_ms", (json_int_t)e->heartbeat_ms,
                      "heard_ms", (json_int_t)(now - e->last_received_at),
                      "replaced", (json_int_t)e->replacements));
    }
    return json_pack("{s:s, s:I, s:b, s:o}", "agent", l->settings->name,
                     "incarnation", (json_int_t)Agent_Incarnation(), "leaving",
                     l->leaving, "entries", list);
}

/* Closes all links and frees the task. */
static void
links_free(struct task *t)
{
    struct links *l = (struct links *)t;
    struct entry_link *e, *next;

    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        Entries_Drop(l, e);
    }
    ev_timer_stop(t->kernel->loop, &l->tick);
    Link_ContextFree(l->context);
    free(l->services.items);
    free(l->parts.items);
    free(l);
}

static const struct task_ops links_ops = {
    .name = "links",
    .receive = links_receive,
    .drain = links_drain,
    .state = links_state,
    .free = links_free,
};

/* Starts the task and connects to the seeds. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct links *l = Mem_Zero(1, sizeof(*l));
    int err = Link_LoadKeys(s->link_keys.public_file, s->link_keys.secret_file,
                            &l->keys);
    size_t i;

    if (err != ERR_OK) {
        free(l);
        return err;
    }
    l->settings = s;
    l->context = Link_ContextNew();
    TAILQ_INIT(&l->entries);
    Kernel_AddTask(k, &l->task, &links_ops);
    for (i = 0; i < s->seeds.count; i++) {
        Entries_Add(l, *CONFIG_AT(s->seeds, char *, i), true);
    }
    l->seeds_read_at = Clock_NowMs();
    ev_init(&l->tick, on_tick);
    l->tick.data = l;
    Timer_Every(k->loop, &l->tick, TICK_MS);
    return ERR_OK;
}

static struct plugin links_plugin = {
    .name = "links", .rank = 10, .start = start};
KERNEL_PLUGIN(links_plugin)
