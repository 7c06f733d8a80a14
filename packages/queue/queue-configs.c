#include "queue-links.h"

#include <stdlib.h>
#include <string.h>

/* One that has not asked for so long is told of no change: two of the times at
 * which entries speak, and a bit. */
#define SUBSCRIBER_TIMEOUT_MS 1200
/* What was sent is sent again when it is asked for after so long. On a link
 * that lives nothing gets lost; it may take a second or two of a full one. */
#define RESEND_MS 2500

static struct counter document_bytes = {
    "parsleyfall_queue_document_bytes_total",
    "Bytes of configurations that other entries sent.", NULL, COUNTER_TOTAL};

/* Finds one that asks, or notes it. */
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

/* True when the newest is on its way to it already. */
static bool
is_in_flight(const struct links *l, const struct subscriber *s)
{
    return s->sent_version == Documents_Version(l->documents) &&
           s->sent_base == s->known_version &&
           Clock_NowMs() - s->sent_ms < RESEND_MS;
}

/* Sends the newest to one that has an older one.
 *
 * Load: a change of one queue in a megabyte of them, and entries behind links
 * of 10 Mbit/s. Symptom of sending whole documents: each takes a second of the
 * link, is asked for again before it is there, and holds up the rest. Only
 * what differs from the one that it has is sent, once. */
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

/* True when large configurations come to this entry slowly. */
static bool
is_slow(const struct links *l)
{
    return Sources_IsSlow(l->table_status.slow_ms, Clock_NowMs());
}

/* Says how this entry reads the operators' table, and which failure domains it
 * says are emptied, where that matters.
 *
 * Failure: the store turns the owner's machine away, or the owner has left the
 * reading of large configurations to others, when operators empty a domain.
 * Symptom: it starts tasks there for as long. Each entry that it speaks to
 * tells it, twice a second, while any domain is or was emptied. */
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

/* Another entry says what it has. */
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
        s->sent_version = 0; /* what was on the link before is lost */
    }
    s->peer = *from;
    s->known_version = m->version;
    s->asked_ms = Clock_NowMs();
    send_newest(l, s);
}

/* Takes the configuration in force. */
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

/* Takes which failure domains are emptied. */
void
Configs_SetEmptied(struct links *l, const struct emptied_domains *e)
{
    l->emptied = *e;
    l->ever_emptied = l->ever_emptied || e->domains.count > 0;
}

/* Passes on which failure domains another entry says are emptied, if it knows
 * of a later position. */
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
                       "no failure domain, or too many");
            free(note);
            return;
        }
    }
    Queue_Post(l->task.kernel, TASK_INTAKE, &note->base, &Queue_EmptiedKind);
}

/* Takes a configuration of another entry. One that rests on a text that is not
 * here any more is asked for again, with the version that is. */
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

/* Takes what another entry says of its reading. */
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

/* Notes which of the peers are sources; returns how many. */
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

/* Tells the intake whether others read for it, and how far they are. */
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

/* Forgets those that ask no more. */
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

/* Chooses sources anew, and leaves the reading to them or not.
 *
 * Failure: the entries that read for this one are gone, frozen or cut off from
 * the store. Symptom: its configuration stays old though the store would tell
 * it. A source counts only while it says that it has just read; without one
 * this entry reads again at once, from where they said that they had come. */
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

/* True when that peer is to be asked: our sources, or all while there is
 * little to send, or some in turn. */
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

/* Drops all. */
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
