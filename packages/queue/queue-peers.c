#include "queue-links.h"

#include <stdlib.h>
#include <string.h>

/* A link on which nothing has arrived for this long is reopened: something on
 * the path may have lost the connection while new ones work. */
#define LINK_SILENT_MS 2500
/* A peer that the store does not list is kept for this long after it was first
 * seen: entries that start within a second of each other are listed by
 * then. */
#define UNLISTED_GRACE_MS 5000
/* Another entry can relay store calls while its last message is younger than
 * the first of these, two status intervals, and the store's last answer to it
 * younger than the second, the wait of a feed call and some delay. */
#define RELAY_LINK_MAX_AGE_MS 1200
#define RELAY_STORE_MAX_AGE_MS 1500

/* Handles a message on a link that this entry opened. */
static void
on_peer_message(void *arg, const struct link_peer *from UNUSED,
                struct wire_msg **m)
{
    struct peer *p = arg;

    p->last_message_ms = Clock_NowMs();
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
    default:
        LOG_W("message_unexpected", KV("type", Wire_TypeName((*m)->type)));
    }
}

/* Opens the link to another entry, closing the previous one. */
static void
connect_peer(struct peer *p)
{
    Link_Free(p->link);
    p->link = Link_Connect(p->links->context, p->links->task.kernel->loop,
                           p->address, NULL, on_peer_message, p);
    p->connected_ms = Clock_NowMs();
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

/* Opens a link to the entry at that address, unless there is one. */
void
Peers_Add(struct links *l, const char *address)
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
    p->first_seen_ms = Clock_NowMs();
    p->store_age_ms = -1;
    p->listed = true;
    Str_Copy(p->address, sizeof(p->address), address);
    p->source.rank = Hash_Str(address, Hash_Str(s->name, 0));
    TAILQ_INSERT_TAIL(&l->peers, p, entry);
    l->peer_count++;
    connect_peer(p);
}

/* True when the link to a peer may be closed.
 *
 * An entry that has just started may have read its own row but not yet those
 * of others when the store refuses its machine. If it closed the links to all
 * unlisted peers, it would have none to relay through and refuse its callers
 * for as long. A peer that has just sent a message is alive, listed or not. */
static bool
is_removable(const struct peer *p, int64_t now)
{
    return !p->listed && now - p->last_message_ms > LINK_SILENT_MS &&
           now - p->first_seen_ms > UNLISTED_GRACE_MS;
}

/* Takes the entries that the store lists: opens links to new ones and closes
 * those to removed ones. */
void
Peers_TakeEntries(struct links *l, struct entries_listed *note)
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
        Peers_Add(l, e[i].address);
    }
    TAILQ_FOREACH_SAFE (p, &l->peers, entry, next) {
        if (is_removable(p, Clock_NowMs())) {
            free_peer(p);
        }
    }
    free(l->entries.items);
    l->entries = note->entries;
    note->entries = (struct wire_list){0};
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

    if (now - p->last_message_ms > LINK_SILENT_MS &&
        now - p->connected_ms > LINK_SILENT_MS) {
        connect_peer(p);
    }
    m->version = Configs_ShouldAsk(l, p, index)
                     ? Documents_Version(l->documents)
                     : UINT64_MAX;
    if (p->link != NULL) {
        Link_Send(p->link, NULL, &m->msg);
    }
}

/* Chooses the sources and the relay entry, and sends the status of this entry
 * to all peers. */
void
Peers_Tick(struct links *l)
{
    const struct entry_settings *s = l->task.kernel->settings;
    struct wire_peer m = {.msg = {WIRE_PEER},
                          .incarnation = Queue_Incarnation()};
    struct peer *p;
    size_t index = 0;

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
