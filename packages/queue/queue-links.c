#include "queue-links.h"

#include <stdlib.h>
#include <string.h>

/* Largest age of the stamp in a report. Agents report at least every 0.7 s,
 * each time with the latest stamp, so a stamp older than two reports and some
 * delay belongs to a report that was held up. */
#define REPORT_MAX_AGE_MS 2000
/* Interval at which an agent that knows no versions of the list of entries is
 * sent it, after the first time. */
#define ENTRY_LIST_MS 5000

/* Orders agents by name. */
static int
agent_compare(struct agent *a, struct agent *b)
{
    return strcmp(a->name, b->name);
}

TREE_STATIC(agent_tree, agent, by_name, agent_compare);

/* Finds an agent by its name, or returns NULL. */
static struct agent *
find_agent(struct links *l, const char *name)
{
    struct agent probe;

    Str_Copy(probe.name, sizeof(probe.name), name);
    return RB_FIND(agent_tree, &l->agents, &probe);
}

/* Stores the link by which an agent is to be answered, adding the agent if it
 * is new. */
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

/* Answers a message from an agent or entry, so that it sees that the link
 * works. */
static void
send_hail(struct links *l, const struct link_peer *to, bool with_list)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct wire_hail m = {.msg = {WIRE_HAIL},
                          .incarnation = Queue_Incarnation(),
                          .store_age_ms = Queue_StoreAge(l->task.kernel),
                          .stamp = Clock_NowMs()};

    if (with_list) {
        m.entries = l->agent_entries;
        m.entries_version = l->agent_entries_version;
        m.reserves = l->agent_reserves;
    }
    Str_Copy(m.entry, sizeof(m.entry), s->name);
    Link_Send(l->listening, to, &m.msg);
}

/* Posts a message from an agent to the owner task. */
static void
forward_to_owner(struct links *l, struct wire_msg **m)
{
    struct agent_inbound *in = Mem_Zero(1, sizeof(*in));

    in->m = *m;
    *m = NULL;
    Queue_Post(l->task.kernel, TASK_OWNER, &in->base, &Queue_AgentInboundKind);
}

/* Posts a relayed store call, or an answer to one, to the store task. */
void
Links_ForwardToStore(struct links *l, const struct link_peer *from,
                     struct wire_msg **m)
{
    struct store_inbound *in = Mem_Zero(1, sizeof(*in));

    if (from != NULL) {
        in->from = *from;
    }
    in->m = *m;
    *m = NULL;
    Queue_Post(l->task.kernel, TASK_STORE, &in->base, &Queue_StoreInboundKind);
}

/* Posts a row that another entry has written to the intake. */
static void
forward_row(struct links *l, struct wire_msg **m)
{
    struct row_written *note = Mem_Zero(1, sizeof(*note));

    note->row = (struct wire_row *)*m;
    *m = NULL;
    Queue_Post(l->task.kernel, TASK_INTAKE, &note->base,
               &Queue_RowWrittenKind);
}

/* True for a report that returns a stamp which this process sent recently.
 *
 * Reports that a network partition held up in a connection may arrive seconds
 * later, when the agent already uses another one. They name an earlier
 * incarnation of the worker; the present one would be taken for lost, and its
 * runs started again although they still run or have ended. The returned stamp
 * bounds the age of an accepted report. */
static bool
is_fresh(const struct wire_report *m)
{
    int64_t age_ms = Clock_NowMs() - m->stamp;

    if (m->stamped_by == Queue_Incarnation() && age_ms <= REPORT_MAX_AGE_MS) {
        return true;
    }
    if (m->stamped_by != 0) {
        LOG_I("report_too_old", KV("agent", m->agent),
              KV_INT("age_ms", age_ms), KV("worker", m->worker));
    }
    return false;
}

/* True when an agent is to be sent the list of entries: at first, and when the
 * one that it has is another; an agent of an older version after
 * ENTRY_LIST_MS. */
static bool
needs_entry_list(struct links *l, const struct wire_report *m)
{
    struct agent *a = find_agent(l, m->agent);
    int64_t now = Clock_NowMs();

    if (a == NULL || m->stamp == 0) {
        return true;
    }
    if (m->entries_version != 0) {
        return m->entries_version != l->agent_entries_version;
    }
    if (now - a->entries_sent_ms < ENTRY_LIST_MS) {
        return false;
    }
    a->entries_sent_ms = now;
    return true;
}

/* Handles a message to the listening link. */
static void
on_message(void *arg, const struct link_peer *from, struct wire_msg **m)
{
    struct links *l = arg;

    switch ((*m)->type) {
    case WIRE_REPORT:
        send_hail(l, from,
                  needs_entry_list(l, (const struct wire_report *)*m));
        if (is_fresh((const struct wire_report *)*m)) {
            note_agent(l, ((struct wire_report *)*m)->agent, from);
            forward_to_owner(l, m);
        }
        return;
    case WIRE_REFUSED:
        forward_to_owner(l, m);
        return;
    case WIRE_STORE_CALL:
        Links_ForwardToStore(l, from, m);
        return;
    case WIRE_ROW:
        forward_row(l, m);
        return;
    case WIRE_PEER:
        send_hail(l, from, false);
        Configs_TakePeer(l, from, (const struct wire_peer *)*m);
        Forecast_Answer(l, from);
        return;
    default:
        LOG_W("message_unexpected", KV("type", Wire_TypeName((*m)->type)));
    }
}

/* Sends a message of the owner to an agent. A message that cannot be sent is
 * dropped: the owner repeats orders until a report shows them carried out. */
static void
send_to_agent(struct links *l, const struct agent_outbound *s)
{
    struct agent *a = find_agent(l, s->agent);

    if (a != NULL) {
        Link_Send(l->listening, &a->peer, s->m);
    }
}

/* Handles a message from another task. */
static void
receive(struct task *t, struct message *m)
{
    struct links *l = (struct links *)t;

    if (m->kind == &Queue_AgentOutboundKind) {
        send_to_agent(l, (struct agent_outbound *)m);
    }
    else if (m->kind == &Queue_EntryOutboundKind) {
        Peers_Send(l, (struct entry_outbound *)m);
    }
    else if (m->kind == &Queue_EntriesKind) {
        Contacts_TakeEntries(l, (struct entries_listed *)m);
    }
    else if (m->kind == &Queue_ConfigKind) {
        Configs_Update(l, (struct config_changed *)m);
    }
    else if (m->kind == &Queue_EmptiedKind) {
        Configs_SetEmptied(l, &((struct emptied_reported *)m)->emptied);
    }
    else if (m->kind == &Queue_ForecastKind) {
        Forecast_Keep(l, (struct forecast_made *)m);
    }
    else if (m->kind == &Queue_OperatorTableKind) {
        l->table_status = *(struct operator_table_status *)m;
    }
}

/* Frees the task. */
static void
links_free(struct task *t)
{
    struct links *l = (struct links *)t;
    struct agent *a, *next;

    ev_timer_stop(t->kernel->loop, &l->tick);
    Peers_Free(l);
    Configs_Free(l);
    RB_FOREACH_SAFE (a, agent_tree, &l->agents, next) {
        RB_REMOVE(agent_tree, &l->agents, a);
        free(a);
    }
    Link_Free(l->listening);
    Link_ContextFree(l->context);
    Contacts_Free(l);
    if (l->forecast != NULL) {
        Wire_Free(&l->forecast->msg);
    }
    free(l);
}

static const struct task_ops links_ops = {
    .name = TASK_LINKS, .receive = receive, .free = links_free};

/* Sends the periodic status messages to other entries. */
static void
on_tick(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    Peers_Tick(w->data);
}

/* Starts the task: listens for agents and entries, and connects to the
 * seeds. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct links *l = Mem_Zero(1, sizeof(*l));
    char *const *seeds = s->seeds.items;

    RB_INIT(&l->agents);
    TAILQ_INIT(&l->peers);
    TAILQ_INIT(&l->subscribers);
    l->documents = Documents_New();
    Kernel_AddTask(k, &l->task, &links_ops);
    l->context = Link_ContextNew();
    l->listening =
        Link_Listen(l->context, k->loop, s->hosted.links, NULL, on_message, l);
    if (l->listening == NULL) {
        LOG_E("listen_failed", KV("links", s->hosted.links));
        return ERR_IO;
    }
    l->redials.per_s = s->hosted.redials_per_s;
    l->ticked_ms = Clock_NowMs();
    for (size_t i = 0; i < s->seeds.count; i++) {
        Peers_Want(l, seeds[i]);
    }
    ev_init(&l->tick, on_tick);
    l->tick.data = l;
    Timer_Every(k->loop, &l->tick, PEER_INTERVAL_MS);
    return ERR_OK;
}

static struct plugin links_plugin = {.name = "queue-links",
                                     .rank = 10,
                                     .profile = PROFILE_HOSTED,
                                     .start = start};
KERNEL_PLUGIN(links_plugin)
