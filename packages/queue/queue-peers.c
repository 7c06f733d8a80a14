#include "queue-links.h"

#include <stdlib.h>
#include <string.h>

/* A peer that is no contact any more is kept for this long, as entries that
 * start together are listed one after the other. */
#define UNWANTED_KEEP_MS 5000
/* With a longer time between two periodic checks this process was suspended.
 */
#define SUSPENDED_MS 1500
/* Another entry can relay store calls while its last message is younger than
 * the first of these, two status intervals, and the store's last answer to it
 * younger than the second, the wait of a feed call and some delay. */
#define RELAY_LINK_MAX_AGE_MS 1200
#define RELAY_STORE_MAX_AGE_MS 1500

#define OPENED(reason)                                                        \
    {                                                                         \
        "parsleyfall_link_opened_total",                                      \
            "Links that this process opened, by reason.",                     \
            "reason=\"" reason "\"", COUNTER_TOTAL                            \
    }

static struct counter opened_new = OPENED("new");
static struct counter opened_silent = OPENED("silent");

/* Handles a message on a link that this entry opened. */
static void
on_peer_message(void *arg, const struct link_peer *from UNUSED,
                struct wire_msg **m)
{
    struct peer *p = arg;

    p->last_message_ms = Clock_NowMs();
    Redial_Received(&p->redial);
    switch ((*m)->type) {
    case WIRE_STORE_ANSWER:
        Links_ForwardToStore(p->links, NULL, m);
        return;
    case WIRE_HAIL:
        p->store_age_ms = ((struct wire_hail *)*m)->store_age_ms;
        Str_Copy(p->name, sizeof(p->name), ((struct wire_hail *)*m)->entry);
        return;
    case WIRE_DOCUMENT:
        Configs_TakeDocument(p, (const struct wire_document *)*m);
        return;
    case WIRE_READER:
        Configs_TakeReader(p, (const struct wire_reader *)*m);
        return;
    case WIRE_FORECAST:
        Forecast_Forward(p->links, m);
        return;
    default:
        LOG_W("message_unexpected", KV("type", Wire_TypeName((*m)->type)));
    }
}

/* Opens the link to another entry, closing the previous one. */
static void
connect_peer(struct peer *p, struct counter *opened)
{
    Link_Free(p->link);
    p->link = Link_Connect(p->links->context, p->links->task.kernel->loop,
                           p->address, NULL, on_peer_message, p);
    p->connected_ms = Clock_NowMs();
    Counter_Add(opened, 1);
    LOG_I("link_opened", KV("address", p->address),
          KV("reason", opened == &opened_new ? "new" : "silent"));
}

/* Closes the link to a peer and frees it. */
static void
free_peer(struct peer *p)
{
    TAILQ_REMOVE(&p->links->peers, p, entry);
    p->links->peer_count--;
    Link_Free(p->link);
    free(p);
}

/* Finds the peer at an address, or returns NULL. */
struct peer *
Peers_Find(struct links *l, const char *address)
{
    struct peer *p;

    TAILQ_FOREACH (p, &l->peers, entry) {
        if (strcmp(p->address, address) == 0) {
            return p;
        }
    }
    return NULL;
}

/* Adds a peer and opens the link to it. */
static struct peer *
add_peer(struct links *l, const char *address)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct peer *p = Mem_Zero(1, sizeof(*p));

    p->links = l;
    p->first_seen_ms = Clock_NowMs();
    p->store_age_ms = -1;
    Str_Copy(p->address, sizeof(p->address), address);
    p->source.rank = Hash_Str(address, Hash_Str(s->name, 0));
    p->redial.seed = p->source.rank;
    TAILQ_INSERT_TAIL(&l->peers, p, entry);
    l->peer_count++;
    connect_peer(p, &opened_new);
    return p;
}

/* Makes the entry at that address a contact. */
void
Peers_Want(struct links *l, const char *address)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct peer *p;

    if (strcmp(address, s->hosted.links) == 0) {
        return;
    }
    p = Peers_Find(l, address);
    if (p == NULL) {
        p = add_peer(l, address);
    }
    p->wanted = true;
    p->wanted_ms = Clock_NowMs();
}

/* True when nothing has arrived from a peer for too long.
 *
 * While this process is suspended, the messages of all peers wait in their
 * sockets. Silence counts from when it went on, or this entry would take all
 * of them for lost and list others to its agents. */
bool
Peers_IsSilent(const struct links *l, const struct peer *p)
{
    int64_t since =
        p->last_message_ms != 0 ? p->last_message_ms : p->first_seen_ms;

    if (since < l->resumed_ms) {
        since = l->resumed_ms;
    }
    return Clock_NowMs() - since > LINK_SILENT_MS;
}

/* True while a contact answers. */
static bool
has_answering_contact(const struct links *l)
{
    const struct peer *p;

    TAILQ_FOREACH (p, &l->peers, entry) {
        if (p->wanted && p->last_message_ms != 0 && !Peers_IsSilent(l, p)) {
            return true;
        }
    }
    return false;
}

/* Closes the links to peers that are no contacts any more.
 *
 * An entry that has just started may have read its own row but not yet those
 * of others when the store refuses its machine. If it closed the links to its
 * seeds then, it would have none to relay through and refuse its callers for
 * as long. So all links are kept until a contact answers. */
void
Peers_DropUnwanted(struct links *l)
{
    struct peer *p, *next;
    int64_t now = Clock_NowMs();

    if (!has_answering_contact(l)) {
        return;
    }
    TAILQ_FOREACH_SAFE (p, &l->peers, entry, next) {
        if (!p->wanted && now - p->wanted_ms > UNWANTED_KEEP_MS) {
            free_peer(p);
        }
    }
}

/* Chooses the entry to relay through, the one with the most recent answer of
 * the store, and posts a change to the store task. */
static void
choose_relay_entry(struct links *l)
{
    struct relay_entry *note;
    struct peer *p, *best = NULL;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH (p, &l->peers, entry) {
        if (p->link != NULL &&
            now - p->last_message_ms < RELAY_LINK_MAX_AGE_MS &&
            p->store_age_ms >= 0 && p->store_age_ms < RELAY_STORE_MAX_AGE_MS &&
            (best == NULL || p->store_age_ms < best->store_age_ms)) {
            best = p;
        }
    }
    if (strcmp(l->relay_address, best != NULL ? best->address : "") == 0) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    Str_Copy(l->relay_address, sizeof(l->relay_address),
             best != NULL ? best->address : "");
    Str_Copy(note->address, sizeof(note->address), l->relay_address);
    Queue_Post(l->task.kernel, TASK_STORE, &note->base, &Queue_RelayEntryKind);
}

/* Sends a message to an entry by its address, or as an answer. */
void
Peers_Send(struct links *l, const struct entry_outbound *s)
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

/* Sends the status of this entry to a peer, after reopening a silent link. */
static void
send_peer_status(struct peer *p, struct wire_peer *m, size_t index)
{
    struct links *l = p->links;
    int64_t now = Clock_NowMs();
    int64_t sign_ms = p->last_message_ms > p->connected_ms ? p->last_message_ms
                                                           : p->connected_ms;

    if (Redial_Try(&p->redial, &l->redials, LINK_SILENT_MS, now - sign_ms,
                   now)) {
        connect_peer(p, &opened_silent);
    }
    m->version = Configs_ShouldAsk(l, p, index)
                     ? Documents_Version(l->documents)
                     : UINT64_MAX;
    if (p->link != NULL) {
        Link_Send(p->link, NULL, &m->msg);
    }
}

/* Chooses the contacts, the sources and the relay entry, and sends the status
 * of this entry to all peers. */
void
Peers_Tick(struct links *l)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct wire_peer m = {.msg = {WIRE_PEER},
                          .incarnation = Queue_Incarnation()};
    struct peer *p;
    size_t index = 0;
    int64_t now = Clock_NowMs();

    if (now - l->ticked_ms > SUSPENDED_MS) {
        l->resumed_ms = now;
    }
    l->ticked_ms = now;
    Link_LogTraffic(now);
    Contacts_Update(l);
    Str_Copy(m.entry, sizeof(m.entry), s->name);
    l->round++;
    Configs_ChooseSources(l);
    TAILQ_FOREACH (p, &l->peers, entry) {
        send_peer_status(p, &m, index++);
    }
    choose_relay_entry(l);
}

/* Milliseconds since the last message of an entry on a link that this process
 * opened to it; -1: none yet. */
int64_t
Queue_PeerAge(struct kernel *k, const char *name)
{
    const struct links *l =
        (const struct links *)Kernel_FindTask(k, TASK_LINKS);
    const struct peer *p;
    int64_t last_message_ms = 0;

    if (l == NULL) {
        return -1;
    }
    TAILQ_FOREACH (p, &l->peers, entry) {
        if (strcmp(p->name, name) == 0 &&
            p->last_message_ms > last_message_ms) {
            last_message_ms = p->last_message_ms;
        }
    }
    return last_message_ms != 0 ? Clock_NowMs() - last_message_ms : -1;
}

/* Closes the links to other entries. */
void
Peers_Free(struct links *l)
{
    struct peer *p, *next;

    TAILQ_FOREACH_SAFE (p, &l->peers, entry, next) {
        free_peer(p);
    }
}
