#include "queue-links.h"

#include <stdlib.h>
#include <string.h>

/* An entry that has not requested a configuration for this long, about two
 * status intervals, is sent no changes. */
#define SUBSCRIBER_TIMEOUT_MS 1200
/* A document that is requested again is sent again only after this time.
 * Nothing is lost on a link that works, but a saturated link may take a second
 * or two to deliver it. */
#define RESEND_MS 2500

static struct counter document_bytes = {
    "parsleyfall_queue_document_bytes_total",
    "Bytes of configurations that other entries sent.", NULL, COUNTER_TOTAL};

/* Finds the subscriber for an entry, or adds it. */
static struct subscriber *
find_or_add_subscriber(struct links *l, const char *entry)
{
    struct subscriber *s;

    TAILQ_FOREACH (s, &l->subscribers, entry) {
        if (strcmp(s->name, entry) == 0) {
            return s;
        }
    }
    s = Mem_Zero(1, sizeof(*s));
    Str_Copy(s->name, sizeof(s->name), entry);
    TAILQ_INSERT_TAIL(&l->subscribers, s, entry);
    return s;
}

/* True when the newest document was sent to the subscriber recently. */
static bool
is_in_flight(const struct links *l, const struct subscriber *s)
{
    return s->sent_version == Documents_Version(l->documents) &&
           s->sent_base == s->known_version &&
           Clock_NowMs() - s->sent_ms < RESEND_MS;
}

/* Sends the newest configuration to a subscriber that has an older one.
 *
 * With a configuration of 1 MB and links of 10 Mbit/s, a whole document for a
 * change of one queue takes a second of the link, is requested again before it
 * has arrived, and delays everything else. Only the difference to the
 * subscriber's version is sent, and once. */
static void
send_newest(struct links *l, struct subscriber *s)
{
    struct wire_document m;

    if (s->known_version >= Documents_Version(l->documents) ||
        is_in_flight(l, s) ||
        Documents_Pack(l->documents, s->known_version, &m) != ERR_OK ||
        Link_Send(l->listening, &s->peer, &m.msg) != ERR_OK) {
        return;
    }
    s->sent_version = m.version;
    s->sent_base = s->known_version;
    s->sent_ms = Clock_NowMs();
}

/* True when this entry reads large configurations slowly. */
static bool
is_slow(const struct links *l)
{
    return Sources_IsSlow(l->table_status.slow_ms, Clock_NowMs());
}

/* Reports to another entry how this entry reads the operator table and which
 * failure domains are emptied, where that matters.
 *
 * If operators empty a domain while the store refuses the owner's machine, or
 * while the owner has delegated reading, the owner would go on starting tasks
 * there. Every entry that it sends its status to therefore reports the domains
 * to it, twice a second, from when a domain is first emptied. */
static void
send_reader_status(struct links *l, const struct link_peer *to)
{
    bool reads =
        !l->delegated && !is_slow(l) && l->table_status.answered_ms != 0;
    struct wire_reader m = {
        .msg = {WIRE_READER},
        .version = Documents_Version(l->documents),
        .position = l->table_status.position,
        .age_ms = reads ? Clock_NowMs() - l->table_status.answered_ms : -1,
        .emptied_at = l->emptied.position};

    if (Documents_Bytes(l->documents) < LARGE_CONFIG_BYTES &&
        !l->ever_emptied) {
        return;
    }
    for (size_t i = 0; i < l->emptied.domains.count; i++) {
        struct wire_label *name = Wire_ListAdd(&m.emptied, sizeof(*name));

        Str_Copy(name->text, sizeof(name->text), l->emptied.domains.names[i]);
    }
    Link_Send(l->listening, to, &m.msg);
    Wire_Clear(&m.msg);
}

/* Handles the status message of another entry. */
void
Configs_TakePeer(struct links *l, const struct link_peer *from,
                 const struct wire_peer *m)
{
    struct subscriber *s;

    send_reader_status(l, from);
    if (m->version == UINT64_MAX) {
        return;
    }
    s = find_or_add_subscriber(l, m->entry);
    if (!Link_SamePeer(&s->peer, from)) {
        s->sent_version = 0; /* what was sent on the previous link is lost */
    }
    s->peer = *from;
    s->known_version = m->version;
    s->asked_ms = Clock_NowMs();
    send_newest(l, s);
}

/* Takes the configuration in force and sends it to active subscribers. */
void
Configs_Update(struct links *l, struct config_changed *note)
{
    struct subscriber *s;
    int64_t now = Clock_NowMs();

    Documents_Add(l->documents, note->config->jobs.version, &note->text);
    TAILQ_FOREACH (s, &l->subscribers, entry) {
        if (now - s->asked_ms < SUBSCRIBER_TIMEOUT_MS) {
            send_newest(l, s);
        }
    }
}

/* Takes the set of emptied failure domains that this entry knows. */
void
Configs_SetEmptied(struct links *l, const struct emptied_domains *e)
{
    l->emptied = *e;
    l->ever_emptied = l->ever_emptied || e->domains.count > 0;
}

/* Posts the emptied failure domains that another entry reports to the intake,
 * if they are of a later position. */
static void
take_emptied(struct links *l, const struct wire_reader *m)
{
    const struct wire_label *names = m->emptied.items;
    struct emptied_reported *note;

    if (m->emptied_at <= l->emptied.position) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    note->emptied.position = m->emptied_at;
    for (size_t i = 0; i < m->emptied.count; i++) {
        if (!Str_IsName(names[i].text) ||
            JobsDomains_Set(&note->emptied.domains, names[i].text, true) !=
                ERR_OK) {
            Unreadable(UNREADABLE_MESSAGE, names[i].text,
                       "not a valid failure domain, or too many");
            free(note);
            return;
        }
    }
    Queue_Post(l->task.kernel, TASK_INTAKE, &note->base, &Queue_EmptiedKind);
}

/* Takes a configuration document from another entry. If its base version is no
 * longer here, the next status message requests it again with the version that
 * is. */
void
Configs_TakeDocument(struct peer *p, const struct wire_document *m)
{
    struct links *l = p->links;
    struct buf text CLEANUP(Buf_Free) = {0};
    struct peer_document *note;
    int err;

    Counter_Add(&document_bytes, (int64_t)m->packed.len);
    if (m->version <= Documents_Version(l->documents)) {
        return;
    }
    err = Documents_Unpack(l->documents, m, &text);
    if (err == ERR_INVALID) {
        Unreadable(UNREADABLE_CONFIG, p->address, "damaged");
    }
    if (err != ERR_OK) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    note->version = m->version;
    Buf_Move(&note->text, &text);
    Queue_Post(l->task.kernel, TASK_INTAKE, &note->base, &Queue_DocumentKind);
}

/* Takes the report of another entry on how it reads the operator table. */
void
Configs_TakeReader(struct peer *p, const struct wire_reader *m)
{
    int64_t now = Clock_NowMs();

    p->source.reported_ms = now;
    p->source.read_ms = m->age_ms >= 0 ? now - m->age_ms : 0;
    p->version = m->version;
    p->position = m->position;
    take_emptied(p->links, m);
}

/* Marks the peers that are sources; returns how many there are. */
static size_t
mark_sources(struct links *l)
{
    struct source *sources CLEANUP(Mem_FreeP) =
        Mem_Zero(l->peer_count + 1, sizeof(*sources));
    size_t chosen[SOURCES_MAX], count, i = 0;
    struct peer *p;

    TAILQ_FOREACH (p, &l->peers, entry) {
        sources[i++] = p->source;
    }
    count = Sources_Choose(sources, i, Clock_NowMs(), chosen);
    i = 0;
    TAILQ_FOREACH (p, &l->peers, entry) {
        p->is_source = false;
        for (size_t k = 0; k < count; k++) {
            p->is_source = p->is_source || chosen[k] == i;
        }
        i++;
    }
    return count;
}

/* Reports to the intake whether reading is delegated, and how far the sources
 * have read. */
static void
send_delegation(struct links *l)
{
    struct delegation *note = Mem_Zero(1, sizeof(*note));
    struct peer *p;

    note->delegated = l->delegated;
    TAILQ_FOREACH (p, &l->peers, entry) {
        if (p->is_source && p->position > note->position &&
            p->version <= Documents_Version(l->documents)) {
            note->position = p->position;
            note->version = p->version;
        }
    }
    Queue_Post(l->task.kernel, TASK_INTAKE, &note->base,
               &Queue_DelegationKind);
}

/* Drops subscribers that send no requests any more. */
static void
drop_silent_subscribers(struct links *l)
{
    struct subscriber *s, *next;
    int64_t now = Clock_NowMs();

    TAILQ_FOREACH_SAFE (s, &l->subscribers, entry, next) {
        if (now - s->asked_ms > SUBSCRIBER_TIMEOUT_MS &&
            now - s->sent_ms > RESEND_MS) {
            TAILQ_REMOVE(&l->subscribers, s, entry);
            free(s);
        }
    }
}

/* Chooses the sources again, and delegates reading to them or resumes it.
 *
 * The sources may end, hang or be cut off from the store; the configuration
 * would stay old although the store could send it. An entry is therefore a
 * source only while it reports recent reads. Without a source this entry
 * resumes reading at once, from the position that the sources reported. */
void
Configs_ChooseSources(struct links *l)
{
    size_t sources = mark_sources(l);
    bool delegated = Sources_ShouldDelegate(Documents_Bytes(l->documents),
                                            is_slow(l), sources);

    drop_silent_subscribers(l);
    if (delegated != l->delegated) {
        LOG_I("config_source", KV("way", delegated ? "entries" : "store"),
              KV_INT("sources", sources),
              KV_INT("bytes", Documents_Bytes(l->documents)));
    }
    if (delegated || l->delegated) {
        l->delegated = delegated;
        send_delegation(l);
    }
}

/* True when newer configurations are to be requested from a peer: from the
 * sources while reading is delegated, from all peers while the configuration
 * is small, and otherwise from some in turn. */
bool
Configs_ShouldAsk(const struct links *l, const struct peer *p, size_t index)
{
    size_t bytes = Documents_Bytes(l->documents);

    if (l->delegated) {
        return p->is_source;
    }
    if (bytes > 0 && bytes < LARGE_CONFIG_BYTES) {
        return true;
    }
    return (index + l->round) % l->peer_count < SOURCES_MAX;
}

/* Frees all subscribers and documents. */
void
Configs_Free(struct links *l)
{
    struct subscriber *s, *next;

    TAILQ_FOREACH_SAFE (s, &l->subscribers, entry, next) {
        TAILQ_REMOVE(&l->subscribers, s, entry);
        free(s);
    }
    Documents_Free(l->documents);
}
