#include "queue.h"

#include <stdlib.h>
#include <string.h>

/* Entries say so often that they are there. A configuration that an entry
 * can't read from the store reaches it from another one within this time. */
#define PEER_MS 500
/* A configuration from this size on is asked of one entry at a time: it takes
 * 0.03 s of a link of 10 Mbit/s. */
#define LARGE_BYTES ((size_t)32 << 10)
/* A link that has brought nothing for so long is replaced: something between
 * the two ends may have lost track of it while new connections work. */
#define SILENT_MS 2500
/* Looks come at least every 0.7 s and each brings a new stamp, so one that is
 * older than two of them and some delay was held up. */
#define LOOK_AGE_MS 2000
/* The list of entries is told to an agent at first and then so often. */
#define LIST_MS 5000
/* An entry is good to call the store through when it was heard, and the store
 * answered it, within these: two hails, and one wait of a feed and a bit. */
#define BEST_HEARD_MS 1200
#define BEST_STORE_MS 1500

/* An agent and where it was last heard from. */
struct agent {
    char name[NAME_SIZE];
    struct link_peer peer;
    int64_t listed_ms; /* when it was told of the entries */
    RB_ENTRY(agent) by_name;
};
RB_HEAD(agent_tree, agent);

/* A link that this entry opened to another one. */
struct peer {
    struct links *links;
    char address[NAME_SIZE];
    struct link *link;
    int64_t opened_ms;    /* the present link */
    int64_t heard_ms;     /* last answer; 0: none on any link yet */
    int64_t store_age_ms; /* of its own way to the store; -1: none */
    bool listed;
    TAILQ_ENTRY(peer) entry;
};

struct links {
    struct task task;
    size_t round;      /* of telling the other entries */
    size_t peer_count; /* as of that round */
    struct link_context *context;
    struct link *listening;
    struct agent_tree agents;
    TAILQ_HEAD(, peer) peers;
    struct wire_list entries; /* struct wire_entry */
    struct queue_config *config;
    char best[NAME_SIZE]; /* entry that reaches the store best */
    ev_timer tick;
};

/* Order of agents by name. */
static int
agent_compare(struct agent *a, struct agent *b)
{
    return strcmp(a->name, b->name);
}

TREE_STATIC(agent_tree, agent, by_name, agent_compare);

/* Finds an agent. */
static struct agent *
find_agent(struct links *l, const char *name)
{
    struct agent probe;

    Str_Copy(probe.name, sizeof(probe.name), name);
    return RB_FIND(agent_tree, &l->agents, &probe);
}

/* Notes where an agent is to be answered. */
static void
note_agent(struct links *l, const char *name, const struct link_peer *from)
{
    struct agent *a = find_agent(l, name);

    if (a == NULL) {
        a = Mem_Zero(1, sizeof(*a));
        Str_Copy(a->name, sizeof(a->name), name);
        RB_INSERT(agent_tree, &l->agents, a);
        LOG_I("agent_joined", KV("agent", name));
    }
    a->peer = *from;
}

static struct counter document_bytes = {
    "parsleyfall_queue_document_bytes_total",
    "Bytes of configurations that other entries sent.", NULL, COUNTER_TOTAL};

/* Answers whoever spoke, so that it sees the link alive. */
static void
hail(struct links *l, const struct link_peer *to, bool with_list)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct wire_hail m = {.msg = {WIRE_HAIL},
                          .incarnation = Queue_Incarnation(),
                          .store_age_ms = Queue_StoreAge(l->task.kernel),
                          .stamp = Clock_NowMs(),
                          .entries =
                              with_list ? l->entries : (struct wire_list){0}};

    Str_Copy(m.entry, sizeof(m.entry), s->name);
    Link_Send(l->listening, to, &m.msg);
}

/* Sends the configuration to an entry that has an older one. */
static void
send_document(struct links *l, const struct link_peer *to,
              const struct wire_peer *from)
{
    struct wire_document m = {.msg = {WIRE_DOCUMENT}};

    if (l->config == NULL || from->version >= l->config->jobs.version) {
        return;
    }
    m.version = l->config->jobs.version;
    m.text = l->config->text;
    Link_Send(l->listening, to, &m.msg);
}

/* Hands what an agent said to the owner. */
static void
pass_on(struct links *l, struct wire_msg **m)
{
    struct agent_said *said = Mem_Zero(1, sizeof(*said));

    said->m = *m;
    *m = NULL;
    Queue_Post(l->task.kernel, TASK_OWNER, &said->base, &Queue_SaidKind);
}

/* Hands a call of the store, or an answer to one, to the store task. */
static void
pass_to_store(struct links *l, const struct link_peer *from,
              struct wire_msg **m)
{
    struct store_said *said = Mem_Zero(1, sizeof(*said));

    if (from != NULL) {
        said->from = *from;
    }
    said->m = *m;
    *m = NULL;
    Queue_Post(l->task.kernel, TASK_STORE, &said->base, &Queue_StoreSaidKind);
}

/* True for a look that was sent after this process said its stamp, not long
 * ago.
 *
 * Failure: looks that a partition held up in a connection arrive seconds
 * later, when the agent has opened another one. Symptom: they name a lifetime
 * of the worker that is over, the present one is taken for lost, and its runs
 * are started again beside those that have ended. A stamp that comes back
 * bounds the age of what is taken. */
static bool
is_fresh(const struct wire_look *m)
{
    int64_t age_ms = Clock_NowMs() - m->stamp;

    if (m->stamped_by == Queue_Incarnation() && age_ms <= LOOK_AGE_MS) {
        return true;
    }
    if (m->stamped_by != 0) {
        LOG_I("look_too_old", KV("agent", m->agent), KV_INT("age_ms", age_ms),
              KV("worker", m->worker));
    }
    return false;
}

/* True when an agent has not had the list of entries for a while, or has just
 * come. The list is most of a hail where there are many entries. */
static bool
wants_list(struct links *l, const struct wire_look *m)
{
    struct agent *a = find_agent(l, m->agent);
    int64_t now = Clock_NowMs();

    if (a == NULL || m->stamp == 0) {
        return true;
    }
    if (now - a->listed_ms < LIST_MS) {
        return false;
    }
    a->listed_ms = now;
    return true;
}

/* What comes to the listening link. */
static void
on_heard(void *arg, const struct link_peer *from, struct wire_msg **m)
{
    struct links *l = arg;

    switch ((*m)->type) {
    case WIRE_LOOK:
        hail(l, from, wants_list(l, (const struct wire_look *)*m));
        if (is_fresh((const struct wire_look *)*m)) {
            note_agent(l, ((struct wire_look *)*m)->agent, from);
            pass_on(l, m);
        }
        return;
    case WIRE_REFUSED:
        pass_on(l, m);
        return;
    case WIRE_STORE_CALL:
        pass_to_store(l, from, m);
        return;
    case WIRE_PEER:
        hail(l, from, false);
        send_document(l, from, (struct wire_peer *)*m);
        return;
    default:
        LOG_W("message_unexpected", KV("type", Wire_TypeName((*m)->type)));
    }
}

/* What another entry answers. */
static void
on_answer(void *arg, const struct link_peer *from UNUSED, struct wire_msg **m)
{
    struct peer *p = arg;
    struct wire_document *d = (struct wire_document *)*m;
    struct peer_document *note;

    p->heard_ms = Clock_NowMs();
    if ((*m)->type == WIRE_STORE_ANSWER) {
        pass_to_store(p->links, NULL, m);
        return;
    }
    if ((*m)->type == WIRE_HAIL) {
        p->store_age_ms = ((struct wire_hail *)*m)->store_age_ms;
        return;
    }
    if ((*m)->type != WIRE_DOCUMENT) {
        return;
    }
    Counter_Add(&document_bytes, (int64_t)d->text.len);
    note = Mem_Zero(1, sizeof(*note));
    note->version = d->version;
    Buf_Move(&note->text, &d->text);
    Queue_Post(p->links->task.kernel, TASK_INTAKE, &note->base,
               &Queue_DocumentKind);
}

/* Opens the link to another entry, or opens it anew. */
static void
connect_peer(struct peer *p)
{
    Link_Free(p->link);
    p->link = Link_Connect(p->links->context, p->links->task.kernel->loop,
                           p->address, NULL, on_answer, p);
    p->opened_ms = Clock_NowMs();
}

/* Drops a link to another entry. */
static void
free_peer(struct peer *p)
{
    TAILQ_REMOVE(&p->links->peers, p, entry);
    Link_Free(p->link);
    free(p);
}

/* Links to an entry, once. */
static void
want_peer(struct links *l, const char *address)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct peer *p;

    if (strcmp(address, s->hosted.links) == 0) {
        return;
    }
    TAILQ_FOREACH (p, &l->peers, entry) {
        if (strcmp(p->address, address) == 0) {
            p->listed = true;
            return;
        }
    }
    p = Mem_Zero(1, sizeof(*p));
    p->links = l;
    p->store_age_ms = -1;
    p->listed = true;
    Str_Copy(p->address, sizeof(p->address), address);
    TAILQ_INSERT_TAIL(&l->peers, p, entry);
    connect_peer(p);
}

/* Takes the entries that the store lists. */
static void
take_entries(struct links *l, struct entries_listed *note)
{
    const struct wire_entry *e = note->entries.items;
    struct peer *p, *next;

    if (note->entries.count == 0) {
        return;
    }
    TAILQ_FOREACH (p, &l->peers, entry) {
        p->listed = false;
    }
    for (size_t i = 0; i < note->entries.count; i++) {
        want_peer(l, e[i].address);
    }
    TAILQ_FOREACH_SAFE (p, &l->peers, entry, next) {
        if (!p->listed) {
            free_peer(p);
        }
    }
    free(l->entries.items);
    l->entries = note->entries;
    note->entries = (struct wire_list){0};
}

/* Tells the store task which entry reaches the store, when that changes. */
static void
choose_best(struct links *l)
{
    struct best_entry *note;
    struct peer *p, *best = NULL;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH (p, &l->peers, entry) {
        if (p->link != NULL && now - p->heard_ms < BEST_HEARD_MS &&
            p->store_age_ms >= 0 && p->store_age_ms < BEST_STORE_MS &&
            (best == NULL || p->store_age_ms < best->store_age_ms)) {
            best = p;
        }
    }
    if (strcmp(l->best, best != NULL ? best->address : "") == 0) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    Str_Copy(l->best, sizeof(l->best), best != NULL ? best->address : "");
    Str_Copy(note->address, sizeof(note->address), l->best);
    Queue_Post(l->task.kernel, TASK_STORE, &note->base, &Queue_BestKind);
}

/* Sends a call of the store to the entry chosen, or an answer back. */
static void
say_entry(struct links *l, const struct say_entry *s)
{
    struct peer *p;

    if (*s->address == '\0') {
        Link_Send(l->listening, &s->to, s->m);
        return;
    }
    TAILQ_FOREACH (p, &l->peers, entry) {
        if (strcmp(p->address, s->address) == 0 && p->link != NULL) {
            Link_Send(p->link, NULL, s->m);
            return;
        }
    }
}

/* True when the peer at that place is to send its configuration if it is
 * newer.
 *
 * Load: a configuration of over a thousand queues, 300 kB, and entries behind
 * links of 10 Mbit/s. Symptom of asking all of seven others: 2 MB come twice a
 * second, the link is full, and the store's own answers time out, so that the
 * entry gets no newer one from anywhere. A large one is asked of one entry at
 * a time, in turn. */
static bool
asks(const struct links *l, size_t at)
{
    return l->config == NULL || l->config->text.len < LARGE_BYTES ||
           at == l->round % l->peer_count;
}

/* Tells the other entries what this one has, and replaces silent links. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct links *l = w->data;
    const struct entry_settings *s = l->task.kernel->settings;
    struct wire_peer m = {.msg = {WIRE_PEER},
                          .incarnation = Queue_Incarnation()};
    uint64_t version = l->config != NULL ? l->config->jobs.version : 0;
    struct peer *p;
    size_t at = 0;

    Str_Copy(m.entry, sizeof(m.entry), s->name);
    l->round++;
    l->peer_count = 0;
    TAILQ_FOREACH (p, &l->peers, entry) {
        l->peer_count++;
    }
    TAILQ_FOREACH (p, &l->peers, entry) {
        if (Clock_NowMs() - p->heard_ms > SILENT_MS &&
            Clock_NowMs() - p->opened_ms > SILENT_MS) {
            connect_peer(p);
        }
        m.version = asks(l, at++) ? version : UINT64_MAX;
        if (p->link != NULL) {
            Link_Send(p->link, NULL, &m.msg);
        }
    }
    choose_best(l);
}

/* Sends what the owner has for an agent; what can't be handed over is sent
 * again by the owner, whose orders are repeated until they are seen done. */
static void
say(struct links *l, const struct say_agent *s)
{
    struct agent *a = find_agent(l, s->agent);

    if (a != NULL) {
        Link_Send(l->listening, &a->peer, s->m);
    }
}

/* Takes what other tasks send. */
static void
receive(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;

    if (m->kind == &Queue_SayKind) {
        say(l, (struct say_agent *)m);
    }
    else if (m->kind == &Queue_SayEntryKind) {
        say_entry(l, (struct say_entry *)m);
    }
    else if (m->kind == &Queue_EntriesKind) {
        take_entries(l, (struct entries_listed *)m);
    }
    else if (m->kind == &Queue_ConfigKind) {
        QueueConfig_Unref(l->config);
        l->config = QueueConfig_Ref(((struct config_in_force *)m)->config);
    }
}

/* Frees the task. */
static void
links_free(struct task *t)
{
    struct links *l = (struct links *)t;
    struct peer *p, *next_peer;
    struct agent *a, *next;

    ev_timer_stop(t->kernel->loop, &l->tick);
    TAILQ_FOREACH_SAFE (p, &l->peers, entry, next_peer) {
        free_peer(p);
    }
    RB_FOREACH_SAFE (a, agent_tree, &l->agents, next) {
        RB_REMOVE(agent_tree, &l->agents, a);
        free(a);
    }
    Link_Free(l->listening);
    Link_ContextFree(l->context);
    QueueConfig_Unref(l->config);
    free(l->entries.items);
    free(l);
}

static const struct task_ops links_ops = {
    .name = TASK_LINKS, .receive = receive, .free = links_free};

/* Listens for agents and entries. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct links *l = Mem_Zero(1, sizeof(*l));
    char *const *seeds = s->seeds.items;

    RB_INIT(&l->agents);
    TAILQ_INIT(&l->peers);
    Kernel_AddTask(k, &l->task, &links_ops);
    l->context = Link_ContextNew();
    l->listening =
        Link_Listen(l->context, k->loop, s->hosted.links, NULL, on_heard, l);
    if (l->listening == NULL) {
        LOG_E("listen_failed", KV("links", s->hosted.links));
        return ERR_IO;
    }
    for (size_t i = 0; i < s->seeds.count; i++) {
        want_peer(l, seeds[i]);
    }
    ev_init(&l->tick, on_tick);
    l->tick.data = l;
    Timer_Every(k->loop, &l->tick, PEER_MS);
    return ERR_OK;
}

static struct plugin links_plugin = {.name = "queue-links",
                                     .rank = 10,
                                     .profile = PROFILE_HOSTED,
                                     .start = start};
KERNEL_PLUGIN(links_plugin)
