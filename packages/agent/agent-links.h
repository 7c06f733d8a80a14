/* links: the connections to entries, private to the files of that task. */
#ifndef AGENT_LINKS_H
#define AGENT_LINKS_H

#include "agent.h"

/* A link to one entry. */
struct entry_link {
    char address[NAME_SIZE];
    char name[NAME_SIZE]; /* "" until it has welcomed us */
    uint64_t incarnation; /* of the entry */
    struct link *link;
    bool seed;
    bool welcomed;
    bool draining;
    bool duplicate; /* dropped at the next tick, outside of its own callback */
    char listed_address[NAME_SIZE]; /* the entry's own address, by its name */
    int busy;                       /* in progress here for that entry */
    struct wire_list running;       /* of its requests, running by service */
    int64_t heartbeat_ms;
    int64_t
        heartbeat_at; /* of the last heartbeat or hello; answers don't count */
    int64_t last_received_at;
    int64_t listed_at;
    uint64_t seq;
    uint64_t replacements; /* times */
    struct links *links;
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
    uint64_t reachable_hash; /* hash of the entries heard, as last announced */
    bool leaving;
    ev_timer tick;
};

/* agent-links.c */
/* A word from an entry; arg is its struct entry_link. */
void Links_Receive(void *arg, const struct link_peer *peer,
                   struct wire_msg **m);

/* agent-links-say.c: what is said on one link, and when it is silent. */
void EntryLink_Send(struct entry_link *e, const struct wire_msg *m);
void EntryLink_SendHello(struct links *l, struct entry_link *e);
void EntryLink_SendHeartbeat(struct links *l, struct entry_link *e);
void EntryLink_Open(struct links *l, struct entry_link *e);
int64_t EntryLink_HeartbeatInterval(const struct entry_link *e);
bool EntryLink_IsSilent(const struct entry_link *e, int64_t now);

/* agent-links-list.c: which entries this agent keeps links to. */
struct entry_link *Entries_Find(struct links *l, const char *address);
struct entry_link *Entries_Add(struct links *l, const char *address,
                               bool seed);
void Entries_Drop(struct links *l, struct entry_link *e);
bool Entries_IsSelected(const struct links *l, const struct wire_list *entries,
                        const struct wire_entry *e);
struct entry_link *Entries_FindDuplicate(struct links *l,
                                         const struct entry_link *e);
void Entries_MarkDuplicate(struct links *l, struct entry_link *e);
bool Entries_IsLinkedElsewhere(struct links *l,
                               const struct wire_entry *listed);

#endif
