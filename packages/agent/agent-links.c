#include "agent.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 200
#define FIRST_BEAT_MS 1000 /* until an entry sets the pace */
#define HELLO_MS 200       /* between hellos until the first welcome */
#define BUSY_BEAT_MS 1000  /* while an entry has something in progress here */
#define MIN_BEAT_MS 200
#define MAX_BEAT_MS 60000
#define SILENT_BEATS 3      /* beats without a word: the link is silent */
#define SILENT_EXTRA_MS 500 /* beside those beats, for slow moments */
#define FOREIGN_ENTRIES 2   /* of other regions that an agent connects to */
#define FORGET_MS 120000    /* an entry that nobody lists and nobody hears */

/* A link to one entry. */
struct entry_link {
    char address[NAME_SIZE];
    char name[NAME_SIZE]; /* "" until it has welcomed us */
    uint64_t incarnation; /* of the entry */
    struct link *link;
    bool seed;
    bool welcomed;
    bool draining;
    bool replace; /* at the next tick, outside of the link's own callback */
    int busy;     /* in progress here for that entry */
    struct wire_list own; /* of its requests, running by service */
    int64_t pace_ms;
    int64_t opened_at;
    int64_t said_at;
    int64_t heard_at;
    int64_t listed_at;
    uint64_t seq;
    uint64_t replaced; /* times */
    struct links *owner;
    TAILQ_ENTRY(entry_link) entry;
};

struct links {
    struct task task;
    const struct agent_settings *settings;
    struct link_context *context;
    struct link_keys keys;
    TAILQ_HEAD(, entry_link) entries;
    struct wire_list services;
    struct wire_list parts;
    uint64_t heard; /* hash of the entries heard, as last told */
    bool leaving;
    ev_timer tick;
};

static struct counter replaced_total = {
    "parsleyfall_agent_links_replaced_total",
    "Silent links replaced by new ones.", NULL, COUNTER_TOTAL};
static struct counter beats_total = {"parsleyfall_agent_beats_total",
                                     "Heartbeats sent.", NULL, COUNTER_TOTAL};

/* Sends to one entry; a link that can't take it is seen by its silence. */
static void
say(struct entry_link *e, const struct wire_msg *m)
{
    int err = Link_Send(e->link, NULL, m);

    e->said_at = Clock_NowMs();
    if (err != ERR_OK) {
        LOG_D("send_failed", KV("entry", e->address),
              KV("type", Wire_TypeName(m->type)), KV("error", Err_Name(err)));
    }
}

/* Says who we are and what we hold. */
static void
say_hello(struct links *l, struct entry_link *e)
{
    const struct agent_settings *s = l->settings;
    struct wire_hello *hello = Wire_New(WIRE_HELLO);

    Str_Copy(hello->agent, NAME_SIZE, s->name);
    Str_Copy(hello->region, NAME_SIZE, s->region);
    Str_Copy(hello->domain, NAME_SIZE, s->failure_domain);
    Str_Copy(hello->rack, NAME_SIZE, s->rack);
    hello->incarnation = Agent_Incarnation();
    hello->accelerators = (uint64_t)s->accelerators;
    hello->agent_clock = Clock_NowMs();
    hello->leaving = l->leaving;
    Wire_ListCopy(&hello->services, &l->services, sizeof(struct wire_service));
    Wire_ListCopy(&hello->parts, &l->parts, sizeof(struct wire_part));
    say(e, &hello->msg);
    Wire_Free(&hello->msg);
}

/* Says that we are here, with the load of each service. */
static void
say_beat(struct links *l, struct entry_link *e)
{
    struct wire_beat beat = {.msg = {WIRE_BEAT}};
    size_t i;

    beat.incarnation = Agent_Incarnation();
    beat.seq = ++e->seq;
    beat.agent_clock = Clock_NowMs();
    beat.leaving = l->leaving;
    for (i = 0; i < l->services.count; i++) {
        const struct wire_service *s = l->services.items;
        uint64_t *busy = Wire_ListAdd(&beat.busy, sizeof(*busy));

        *busy = s[i].busy;
    }
    Wire_ListCopy(&beat.own, &e->own, sizeof(uint64_t));
    say(e, &beat.msg);
    Wire_Clear(&beat.msg);
    Counter_Add(&beats_total, 1);
}

/* Finds an entry by its address. */
static struct entry_link *
find(struct links *l, const char *address)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (strcmp(e->address, address) == 0) {
            return e;
        }
    }
    return NULL;
}

static void on_receive(void *arg, const struct link_peer *peer,
                       struct wire_msg **m);

/* Opens a fresh connection to an entry and says hello on it. */
static void
open_link(struct links *l, struct entry_link *e)
{
    int64_t now = Clock_NowMs();

    Link_Free(e->link);
    e->link = Link_Connect(l->context, l->task.kernel->loop, e->address,
                           &l->keys, on_receive, e);
    if (e->link == NULL) {
        Fatal("an address that was checked can't be used: %s", e->address);
    }
    e->welcomed = false;
    e->replace = false;
    e->opened_at = now;
    e->heard_at = now;
    e->pace_ms = FIRST_BEAT_MS;
    say_hello(l, e);
}

/* Adds an entry unless it is known; ignores what is no address. */
static struct entry_link *
add_entry(struct links *l, const char *address, bool seed)
{
    struct entry_link *e = find(l, address);
    char ip[NAME_SIZE];
    int port;

    if (e != NULL) {
        e->listed_at = Clock_NowMs();
        return e;
    }
    if (Settings_SplitAddress(address, ip, &port) != ERR_OK || port == 0) {
        LOG_W("bad_entry_address", KV("address", address));
        return NULL;
    }
    e = Mem_Zero(1, sizeof(*e));
    Str_Copy(e->address, sizeof(e->address), address);
    e->seed = seed;
    e->owner = l;
    e->listed_at = Clock_NowMs();
    TAILQ_INSERT_TAIL(&l->entries, e, entry);
    open_link(l, e);
    return e;
}

/* Forgets an entry. */
static void
drop_entry(struct links *l, struct entry_link *e)
{
    TAILQ_REMOVE(&l->entries, e, entry);
    Link_Free(e->link);
    free(e->own.items);
    free(e);
}

/* Time between two beats to an entry. */
static int64_t
interval(const struct entry_link *e)
{
    if (e->busy > 0 && e->pace_ms > BUSY_BEAT_MS) {
        return BUSY_BEAT_MS;
    }
    return e->pace_ms;
}

/* True when an entry has been silent for too long. Something between the two
 * ends may have lost track of the connection: TCP then reports nothing, ours
 * wait on it for good, while a new connection works. Only a word from the
 * other end counts, so a link that swallows what we send is found as well. */
static bool
is_silent(const struct entry_link *e, int64_t now)
{
    return now - e->heard_at > SILENT_BEATS * interval(e) + SILENT_EXTRA_MS;
}

/* Rank of an entry for this agent: other agents rank it otherwise. */
static uint64_t
rank_of(const struct links *l, const struct wire_entry *e)
{
    return Hash_Str(e->name, Hash_Str(l->settings->name, 0));
}

/* True when this agent is to connect to an entry of the list: to all of its
 * own region, and to few of the others. Each connection costs an entry about
 * 28 KB, so that all of 780 agents would take it over its 32 MB. */
static bool
is_chosen(const struct links *l, const struct wire_list *entries,
          const struct wire_entry *e)
{
    const struct wire_entry *list = entries->items;
    int before = 0;
    size_t i;

    if (strcmp(e->region, l->settings->region) == 0) {
        return true;
    }
    for (i = 0; i < entries->count; i++) {
        before += strcmp(list[i].region, l->settings->region) != 0 &&
                  rank_of(l, &list[i]) > rank_of(l, e);
    }
    return before < FOREIGN_ENTRIES;
}

/* A welcome: the entry is there; it sets the pace and lists the entries. */
static void
take_welcome(struct links *l, struct entry_link *e,
             const struct wire_welcome *w)
{
    const struct wire_entry *list = w->entries.items;
    size_t i;

    if (!w->known) {
        say_hello(l, e);
        return;
    }
    if (!e->welcomed) {
        LOG_I("welcomed", KV("entry", w->entry), KV("address", e->address),
              KV_INT("beat_ms", w->beat_ms));
    }
    Str_Copy(e->name, sizeof(e->name), w->entry);
    e->incarnation = w->incarnation;
    e->welcomed = true;
    e->draining = w->draining != 0;
    e->pace_ms = w->beat_ms < MIN_BEAT_MS   ? MIN_BEAT_MS
                 : w->beat_ms > MAX_BEAT_MS ? MAX_BEAT_MS
                                            : w->beat_ms;
    for (i = 0; i < w->entries.count; i++) {
        if (is_chosen(l, &w->entries, &list[i])) {
            add_entry(l, list[i].address, false);
        }
    }
}

/* Hands what an entry said to the task that it concerns. */
static void
hand_on(struct links *l, struct entry_link *e, const char *to,
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

/* Which task hears what. */
static const struct {
    enum wire_type type;
    const char *task;
} hearers[] = {
    {WIRE_DISPATCH, "work"}, {WIRE_WITHDRAW, "work"}, {WIRE_SETTLED, "work"},
    {WIRE_PREPARE, "parts"}, {WIRE_RELEASE, "parts"}, {WIRE_RENEW, "parts"},
    {WIRE_STOP, "parts"},    {WIRE_FENCE, "parts"},   {WIRE_BIND, "parts"},
};

/* A word from an entry. */
static void
on_receive(void *arg, const struct link_peer *peer UNUSED, struct wire_msg **m)
{
    struct entry_link *e = arg;
    size_t i;

    e->heard_at = Clock_NowMs();
    if ((*m)->type == WIRE_WELCOME) {
        take_welcome(e->owner, e, (const struct wire_welcome *)*m);
        return;
    }
    for (i = 0; i < COUNT_OF(hearers); i++) {
        if (hearers[i].type == (*m)->type) {
            hand_on(e->owner, e, hearers[i].task, m);
            return;
        }
    }
    LOG_W("unexpected_message", KV("type", Wire_TypeName((*m)->type)),
          KV("entry", e->address));
}

/* Lists the entries that are heard and stay. */
static void
list_heard(struct links *l, struct wire_list *heard)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        struct heard_entry *h;

        if (!e->welcomed || e->draining) {
            continue;
        }
        h = Wire_ListAdd(heard, sizeof(*h));
        Str_Copy(h->address, sizeof(h->address), e->address);
        Str_Copy(h->name, sizeof(h->name), e->name);
        h->incarnation = e->incarnation;
    }
}

/* Tells the other tasks which entries are heard, when that changes. */
static void
tell_contact(struct links *l)
{
    static const char *const tasks[] = {"work", "parts"};
    struct wire_list heard = {0};
    uint64_t hash;
    size_t i;

    list_heard(l, &heard);
    hash = Hash_Bytes(heard.items, heard.count * sizeof(struct heard_entry),
                      heard.count);
    for (i = 0; i < COUNT_OF(tasks) && hash != l->heard; i++) {
        struct task *t = Kernel_FindTask(l->task.kernel, tasks[i]);
        struct contact_note *note;

        if (t == NULL) {
            continue;
        }
        note = Mem_Zero(1, sizeof(*note));
        Wire_ListCopy(&note->heard, &heard, sizeof(struct heard_entry));
        Kernel_Post(t, &note->base, &Agent_Contact);
    }
    l->heard = hash;
    free(heard.items);
}

/* Looks after one link. */
static void
tend(struct links *l, struct entry_link *e, int64_t now)
{
    if (!e->seed && is_silent(e, now) && now - e->listed_at > FORGET_MS) {
        LOG_I("entry_forgotten", KV("address", e->address));
        drop_entry(l, e);
        return;
    }
    if (is_silent(e, now)) {
        LOG_W("link_silent", KV("entry", e->address),
              KV_INT("silent_ms", now - e->heard_at));
        Counter_Add(&replaced_total, 1);
        e->replaced++;
        open_link(l, e);
    }
    else if (!e->welcomed && now - e->said_at >= HELLO_MS) {
        say_hello(l, e);
    }
    else if (e->welcomed && now - e->said_at >= interval(e)) {
        say_beat(l, e);
    }
}

/* Looks after all links. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct links *l = w->data;
    struct entry_link *e, *next;
    int64_t now = Clock_NowMs();

    tell_contact(l);
    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        tend(l, e, now);
    }
}

/* Sends to the entry that it is for, or to all. */
static void
take_outbound(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct outbound *out = (struct outbound *)m;
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (out->origin[0] == '\0' || strcmp(e->address, out->origin) == 0) {
            say(e, out->m);
        }
    }
}

/* True when the services are other ones, not just more or less busy. */
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

/* Notes the services; says hello again when they are other ones. */
static void
take_services(struct task *t, struct message *m)
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
        say_hello(l, e);
    }
}

/* Notes how much an entry has in progress here. */
static void
take_busy(struct task *t, struct message *m)
{
    struct busy_note *note = (struct busy_note *)m;
    struct entry_link *e = find((struct links *)t, note->origin);

    if (e != NULL) {
        e->busy = note->count;
        Wire_ListCopy(&e->own, &note->own, sizeof(uint64_t));
    }
}

/* Notes the parts, for the next hello. */
static void
take_parts(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;
    struct parts_note *note = (struct parts_note *)m;

    Wire_ListCopy(&l->parts, &note->parts, sizeof(struct wire_part));
}

static const struct {
    const struct message_kind *kind;
    void (*take)(struct task *, struct message *);
} takers[] = {
    {&Agent_Outbound, take_outbound},
    {&Agent_Services, take_services},
    {&Agent_Busy, take_busy},
    {&Agent_Parts, take_parts},
};

/* Takes a message by its kind. */
static void
links_receive(struct task *t, struct message *m)
{
    size_t i;

    for (i = 0; i < COUNT_OF(takers); i++) {
        if (takers[i].kind == m->kind) {
            takers[i].take(t, m);
            return;
        }
    }
    Fatal("links got a message of kind %s", m->kind->name);
}

/* Tells every entry at once that nothing new is wanted. Beats and hellos say
 * it again, so a lost word costs one beat. */
static void
links_drain(struct task *t)
{
    struct links *l = (struct links *)t;
    struct wire_leave leave = {.msg = {WIRE_LEAVE},
                               .incarnation = Agent_Incarnation()};
    struct entry_link *e;

    l->leaving = true;
    TAILQ_FOREACH (e, &l->entries, entry) {
        say(e, &leave.msg);
    }
}

/* The links, for operators. */
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
                      e->busy, "pace_ms", (json_int_t)e->pace_ms, "heard_ms",
                      (json_int_t)(now - e->heard_at), "replaced",
                      (json_int_t)e->replaced));
    }
    return json_pack("{s:s, s:I, s:b, s:o}", "agent", l->settings->name,
                     "incarnation", (json_int_t)Agent_Incarnation(), "leaving",
                     l->leaving, "entries", list);
}

/* Closes all links. */
static void
links_free(struct task *t)
{
    struct links *l = (struct links *)t;
    struct entry_link *e, *next;

    TAILQ_FOREACH_SAFE (e, &l->entries, entry, next) {
        drop_entry(l, e);
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

/* Connects to the seeds. */
static int
start(struct kernel *k)
{
    const struct agent_settings *s = k->settings;
    struct links *l = Mem_Zero(1, sizeof(*l));
    size_t i;

    l->settings = s;
    l->context = Link_ContextNew();
    TAILQ_INIT(&l->entries);
    Kernel_AddTask(k, &l->task, &links_ops);
    for (i = 0; i < s->seeds.count; i++) {
        add_entry(l, *CONFIG_AT(s->seeds, char *, i), true);
    }
    ev_init(&l->tick, on_tick);
    l->tick.data = l;
    Timer_Every(k->loop, &l->tick, TICK_MS);
    return ERR_OK;
}

static struct plugin links_plugin = {
    .name = "links", .rank = 10, .start = start};
KERNEL_PLUGIN(links_plugin)
