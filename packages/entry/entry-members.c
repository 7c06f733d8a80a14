#include "entry.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 200
/* An agent counts as silent when nothing has arrived from it for this many of
 * its heartbeat intervals plus the extra time. */
#define SILENT_AFTER_HEARTBEATS 3
#define SILENT_EXTRA_MS 500
#define FORGET_AFTER_MS 600000 /* an agent silent for this long is removed */
#define SUBSCRIBERS_MAX 8

/* Heartbeat intervals. An agent sends heartbeats to every entry, and 780
 * agents with an interval of one second would cost an entry about 200 KB/s,
 * over twenty times its budget of 9 KB/s for control messages. So each entry
 * sets the intervals itself: half of the heartbeats that it receives are from
 * the agents whose home entry it is, the other half from all others. What is
 * urgent (leaving, answers to requests) is sent at once, without waiting for a
 * heartbeat. Figures: docs/CAPACITY.md. */
#define HEARTBEATS_PER_S 20
#define HEARTBEAT_MIN_MS 1000
#define HEARTBEAT_MAX_MS 60000

/* An agent, and when this entry last heard from it. */
struct member {
    struct member_facts facts;
    int64_t last_contact_at;
    int64_t heartbeat_ms;
    uint64_t heartbeats;
    bool silent;
    RB_ENTRY(member) entry;
};

RB_HEAD(member_tree, member);

struct members {
    struct task task;
    const struct entry_settings *settings;
    struct member_tree tree;
    int active_count; /* agents that are not silent */
    const char *subscribers[SUBSCRIBERS_MAX];
    int subscriber_count;
    struct peer_entry *entries;
    size_t entry_count;
    bool draining;
    ev_timer tick;
};

static struct counter known_gauge = {
    "parsleyfall_entry_agents", "Agents that are heard.", NULL, COUNTER_GAUGE};
static struct counter silent_total = {"parsleyfall_entry_agents_silent_total",
                                      "Agents that fell silent.", NULL,
                                      COUNTER_TOTAL};

/* Orders the tree by agent name. */
static int
compare(const struct member *a, const struct member *b)
{
    return strcmp(a->facts.name, b->facts.name);
}

TREE_STATIC(member_tree, member, entry, compare);

/* Finds an agent by its name. */
static struct member *
find(struct members *s, const char *name)
{
    struct member key;

    Str_Copy(key.facts.name, sizeof(key.facts.name), name);
    return RB_FIND(member_tree, &s->tree, &key);
}

/* Finds an agent by its connection and incarnation. */
static struct member *
find_peer(struct members *s, const struct link_peer *peer,
          uint64_t incarnation)
{
    struct member *m;

    RB_FOREACH (m, member_tree, &s->tree) {
        if (m->facts.incarnation == incarnation &&
            Link_SamePeer(&m->facts.peer, peer)) {
            return m;
        }
    }
    return NULL;
}

/* Logs a change of an agent and sends it to the subscribers. */
static void
notify(struct members *s, const struct member *m, enum member_change change)
{
    int i;

    LOG_I("member", KV("agent", m->facts.name),
          KV("change", Entry_MemberChangeName(change)),
          KV_INT("incarnation", m->facts.incarnation),
          KV("domain", m->facts.domain));
    Counter_Set(&known_gauge, s->active_count);
    for (i = 0; i < s->subscriber_count; i++) {
        struct task *t = Kernel_FindTask(s->task.kernel, s->subscribers[i]);
        struct member_note *note;

        if (t == NULL) {
            continue;
        }
        note = Mem_Zero(1, sizeof(*note));
        note->change = change;
        note->facts = m->facts;
        note->facts.services = (struct wire_list){0};
        note->facts.parts = (struct wire_list){0};
        Wire_ListCopy(&note->facts.services, &m->facts.services,
                      sizeof(struct wire_service));
        Wire_ListCopy(&note->facts.parts, &m->facts.parts,
                      sizeof(struct wire_part));
        Kernel_Post(t, &note->base, &Entry_Member);
    }
}

/* True if this entry is the agent's home: the entry of the agent's region with
 * the highest hash of both names. All agents and entries with the same list
 * choose the same one. */
static bool
is_home(const struct members *s, const struct member *m)
{
    const struct entry_settings *own = s->settings;
    uint64_t seed = Hash_Str(m->facts.name, 0);
    uint64_t own_rank = Hash_Str(own->name, seed);
    size_t i;

    if (strcmp(own->region, m->facts.region) != 0) {
        return false;
    }
    for (i = 0; i < s->entry_count; i++) {
        if (strcmp(s->entries[i].region, m->facts.region) == 0 &&
            Hash_Str(s->entries[i].name, seed) > own_rank) {
            return false;
        }
    }
    return true;
}

/* Computes the heartbeat interval of an agent: long enough for the budget, and
 * at most HEARTBEAT_MAX_MS, so that a silent agent is noticed within minutes.
 * Each half of the budget is HEARTBEATS_PER_S / 2, so n agents that share one
 * half send one heartbeat each in n * 2000 / HEARTBEATS_PER_S milliseconds. */
static int64_t
heartbeat_interval(const struct members *s, const struct member *m)
{
    int64_t interval_ms = (int64_t)s->active_count * 2000 / HEARTBEATS_PER_S;

    if (is_home(s, m) && s->entry_count > 0) {
        interval_ms /= (int64_t)s->entry_count;
    }
    if (interval_ms < HEARTBEAT_MIN_MS) {
        return HEARTBEAT_MIN_MS;
    }
    return interval_ms < HEARTBEAT_MAX_MS ? interval_ms : HEARTBEAT_MAX_MS;
}

/* Replies to a hello (seq 0) or a heartbeat. Only the reply to a hello carries
 * the list of entries. */
static void
welcome(struct members *s, const struct link_peer *peer, struct member *m,
        uint64_t seq)
{
    struct wire_welcome *w = Wire_New(WIRE_WELCOME);
    size_t i;

    Str_Copy(w->entry, sizeof(w->entry), s->settings->name);
    w->incarnation = Entry_Incarnation();
    w->seq = seq;
    w->draining = s->draining;
    w->known = m != NULL;
    if (m != NULL) {
        m->heartbeat_ms = heartbeat_interval(s, m);
        w->heartbeat_ms = m->heartbeat_ms;
    }
    for (i = 0; i < s->entry_count && seq == 0; i++) {
        struct wire_entry *e =
            Wire_ListAdd(&w->entries, sizeof(struct wire_entry));

        Str_Copy(e->name, sizeof(e->name), s->entries[i].name);
        Str_Copy(e->address, sizeof(e->address), s->entries[i].links);
        Str_Copy(e->region, sizeof(e->region), s->entries[i].region);
    }
    Entry_SendToAgent(&s->task, peer, &w->msg, false);
}

/* Stores the facts of a hello. */
static void
set_facts(struct member *m, const struct wire_hello *h,
          const struct link_peer *peer, int64_t now)
{
    struct member_facts *f = &m->facts;
    int64_t offset = h->agent_clock - now;

    if (f->incarnation != h->incarnation || offset > f->clock_offset) {
        f->clock_offset = offset;
    }
    f->incarnation = h->incarnation;
    f->peer = *peer;
    Str_Copy(f->region, sizeof(f->region), h->region);
    Str_Copy(f->domain, sizeof(f->domain), h->domain);
    Str_Copy(f->rack, sizeof(f->rack), h->rack);
    f->accelerators = h->accelerators <= 64 ? (int)h->accelerators : 64;
    f->leaving = h->leaving != 0;
    Wire_ListCopy(&f->services, &h->services, sizeof(struct wire_service));
    Wire_ListCopy(&f->parts, &h->parts, sizeof(struct wire_part));
}

/* Classifies what a hello changes about a known agent. */
static enum member_change
classify_hello(const struct member *m, const struct wire_hello *h,
               const struct link_peer *peer)
{
    if (m->facts.incarnation != h->incarnation) {
        return MEMBER_JOINED;
    }
    if (m->silent || !Link_SamePeer(&m->facts.peer, peer)) {
        return MEMBER_RETURNED;
    }
    return MEMBER_CHANGED;
}

/* Adds an unknown agent, silent until record_contact. */
static struct member *
add_member(struct members *s, const char *name)
{
    struct member *m = Mem_Zero(1, sizeof(*m));

    Str_Copy(m->facts.name, sizeof(m->facts.name), name);
    m->silent = true;
    RB_INSERT(member_tree, &s->tree, m);
    return m;
}

/* Records that a message of an agent has arrived. */
static void
record_contact(struct members *s, struct member *m, int64_t now)
{
    m->last_contact_at = now;
    if (m->silent) {
        m->silent = false;
        s->active_count++;
    }
}

/* Handles a hello: adds the agent or updates its facts. */
static void
handle_hello(struct members *s, const struct link_peer *peer,
             const struct wire_msg *msg)
{
    const struct wire_hello *h = (const struct wire_hello *)msg;
    struct member *m = find(s, h->agent);
    int64_t now = Clock_NowMs();
    enum member_change change = MEMBER_JOINED;

    if (!Str_IsName(h->agent) || h->incarnation == 0) {
        LOG_W("bad_hello", KV("agent", h->agent));
        return;
    }
    if (m == NULL) {
        m = add_member(s, h->agent);
    }
    else {
        change = classify_hello(m, h, peer);
    }
    set_facts(m, h, peer, now);
    record_contact(s, m, now);
    notify(s, m, change);
    if (m->facts.leaving) {
        notify(s, m, MEMBER_LEAVING);
    }
    welcome(s, peer, m, 0);
}

/* Copies the busy slots in a heartbeat to the services, which are in the same
 * order as in the hello. */
static void
set_busy(struct wire_list *services, const struct wire_list *busy)
{
    struct wire_service *list = services->items;
    const uint64_t *n = busy->items;
    size_t i;

    for (i = 0; i < services->count && i < busy->count; i++) {
        list[i].busy = n[i];
    }
}

/* Sends the load of a heartbeat to dispatch. */
static void
post_load(struct members *s, const struct member *m,
          const struct wire_heartbeat *b)
{
    struct task *t = Kernel_FindTask(s->task.kernel, "dispatch");
    struct load_note *note;

    if (t == NULL) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    Str_Copy(note->name, sizeof(note->name), m->facts.name);
    note->incarnation = m->facts.incarnation;
    Wire_ListCopy(&note->services, &m->facts.services,
                  sizeof(struct wire_service));
    Wire_ListCopy(&note->own, &b->own, sizeof(uint64_t));
    set_busy(&note->services, &b->busy);
    Kernel_Post(t, &note->base, &Entry_Load);
}

/* Handles a heartbeat. An agent that is not known on this connection (as this
 * entry restarted or removed it) is asked for a hello. */
static void
handle_heartbeat(struct members *s, const struct link_peer *peer,
                 const struct wire_msg *msg)
{
    const struct wire_heartbeat *b = (const struct wire_heartbeat *)msg;
    struct member *m = find_peer(s, peer, b->incarnation);
    int64_t now = Clock_NowMs();
    bool was_silent;

    if (m == NULL) {
        welcome(s, peer, NULL, b->seq);
        return;
    }
    was_silent = m->silent;
    record_contact(s, m, now);
    m->heartbeats++;
    if (b->agent_clock - now > m->facts.clock_offset) {
        m->facts.clock_offset = b->agent_clock - now;
    }
    if (was_silent) {
        notify(s, m, MEMBER_RETURNED);
    }
    if (b->leaving && !m->facts.leaving) {
        m->facts.leaving = true;
        notify(s, m, MEMBER_LEAVING);
    }
    post_load(s, m, b);
    welcome(s, peer, m, b->seq);
}

/* Handles a leave: the agent takes no new work. */
static void
handle_leave(struct members *s, const struct link_peer *peer,
             const struct wire_msg *msg)
{
    const struct wire_leave *l = (const struct wire_leave *)msg;
    struct member *m = find_peer(s, peer, l->incarnation);

    if (m != NULL && !m->facts.leaving) {
        m->facts.leaving = true;
        notify(s, m, MEMBER_LEAVING);
    }
}

static const struct {
    enum wire_type type;
    void (*handle)(struct members *, const struct link_peer *,
                   const struct wire_msg *);
} handlers[] = {{WIRE_HELLO, handle_hello},
                {WIRE_HEARTBEAT, handle_heartbeat},
                {WIRE_LEAVE, handle_leave}};

/* Stores the list of entries, which is sent to agents in welcomes. */
static void
handle_peers(struct members *s, struct peers_note *note)
{
    free(s->entries);
    s->entries = note->entries;
    s->entry_count = note->count;
    note->entries = NULL;
}

/* Handles messages of agents, and the list of entries. */
static void
members_receive(struct task *t, struct message *m)
{
    struct members *s = (struct members *)t;
    struct inbound *in = (struct inbound *)m;
    size_t i;

    if (m->kind == &Entry_Peers) {
        handle_peers(s, (struct peers_note *)m);
        return;
    }
    for (i = 0; i < COUNT_OF(handlers); i++) {
        if (handlers[i].type == in->m->type) {
            handlers[i].handle(s, &in->peer, in->m);
            return;
        }
    }
}

/* Removes an agent and frees it. */
static void
remove_member(struct members *s, struct member *m)
{
    RB_REMOVE(member_tree, &s->tree, m);
    free(m->facts.services.items);
    free(m->facts.parts.items);
    free(m);
}

/* Marks agents as silent, and removes those silent for too long. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct members *s = w->data;
    int64_t now = Clock_NowMs();
    struct member *m, *next;

    RB_FOREACH_SAFE (m, member_tree, &s->tree, next) {
        int64_t silent_ms = now - m->last_contact_at;

        if (!m->silent &&
            silent_ms >
                SILENT_AFTER_HEARTBEATS * m->heartbeat_ms + SILENT_EXTRA_MS) {
            m->silent = true;
            s->active_count--;
            Counter_Add(&silent_total, 1);
            notify(s, m, MEMBER_SILENT);
        }
        if (m->silent && silent_ms > FORGET_AFTER_MS) {
            notify(s, m, MEMBER_GONE);
            remove_member(s, m);
        }
    }
}

/* Sets the draining flag of all further welcomes. */
static void
members_drain(struct task *t)
{
    ((struct members *)t)->draining = true;
}

/* Returns the agents, for /v1/state. */
static json_t *
members_state(const struct task *t)
{
    struct members *s = (struct members *)(uintptr_t)t;
    json_t *list = json_array();
    int64_t now = Clock_NowMs();
    struct member *m;

    RB_FOREACH (m, member_tree, &s->tree) {
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:I, s:I, s:I}",
                            "name", m->facts.name, "region", m->facts.region,
                            "domain", m->facts.domain, "rack", m->facts.rack,
                            "accelerators", m->facts.accelerators, "state",
                            m->silent          ? "silent"
                            : m->facts.leaving ? "leaving"
                                               : "up",
                            "heard_ms", (json_int_t)(now - m->last_contact_at),
                            "pace_ms", (json_int_t)m->heartbeat_ms, "beats",
                            (json_int_t)m->heartbeats));
    }
    return json_pack("{s:i, s:o}", "heard", s->active_count, "agents", list);
}

/* Frees the task with all agents. */
static void
members_free(struct task *t)
{
    struct members *s = (struct members *)t;
    struct member *m, *next;

    RB_FOREACH_SAFE (m, member_tree, &s->tree, next) {
        remove_member(s, m);
    }
    ev_timer_stop(t->kernel->loop, &s->tick);
    free(s->entries);
    free(s);
}

static const struct task_ops members_ops = {
    .name = "members",
    .receive = members_receive,
    .drain = members_drain,
    .state = members_state,
    .free = members_free,
};

/* Adds a subscriber. */
void
Members_Subscribe(struct kernel *k, const char *task)
{
    struct members *s = (struct members *)Kernel_FindTask(k, "members");

    if (s->subscriber_count == SUBSCRIBERS_MAX) {
        Fatal("too many subscribers to members");
    }
    s->subscribers[s->subscriber_count++] = task;
}

/* Creates the task, with no agent known. */
static int
start(struct kernel *k)
{
    struct members *s = Mem_Zero(1, sizeof(*s));

    s->settings = k->settings;
    RB_INIT(&s->tree);
    Kernel_AddTask(k, &s->task, &members_ops);
    ev_init(&s->tick, on_tick);
    s->tick.data = s;
    Timer_Every(k->loop, &s->tick, TICK_MS);
    return ERR_OK;
}

static struct plugin members_plugin = {
    .name = "members", .rank = 20, .start = start};
KERNEL_PLUGIN(members_plugin)
