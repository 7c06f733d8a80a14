/* Links of the agent to the entries: declarations that the files of the task
 * "links" share. */
#ifndef AGENT_LINKS_H
#define AGENT_LINKS_H

#include "agent.h"

/* A link to one entry. */
struct entry_link {
    char address[NAME_SIZE];
    char name[NAME_SIZE]; /* name of the entry; "" until its first welcome */
    uint64_t incarnation; /* incarnation of the entry */
    struct link *link;
    bool seed;     /* its address stands in the agent's settings */
    bool welcomed; /* the entry has sent a welcome on this connection */
    bool draining;
    bool duplicate; /* another link reaches the same entry; this one is dropped
                     * at the next tick, as its own callback can't free it */
    char listed_address[NAME_SIZE]; /* address that the entry lists for itself,
                                     * if the seed's address is another one */
    int busy;                 /* attempts of this entry in progress here */
    struct wire_list running; /* uint64: its running attempts, by service */
    int64_t heartbeat_ms;
    int64_t heartbeat_sent_at; /* when the last hello or heartbeat was sent;
                                * other messages don't count */
    int64_t last_received_at;
    int64_t listed_at; /* when an entry's welcome last listed it */
    uint64_t seq;
    uint64_t replacements; /* how often a silent link was replaced */
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
    uint64_t reachable_hash; /* hash of the list last posted to "parts" */
    bool leaving;
    int64_t seeds_read_at; /* when the seeds were last read */
    ev_timer tick;
};

/* agent-links.c */
/* Handles a message from an entry; arg is its struct entry_link. Takes *m over
 * by setting it to NULL, or leaves it to the caller. */
void Links_Receive(void *arg, const struct link_peer *peer,
                   struct wire_msg **m);

/* agent-links-say.c: sending on one link, and detecting that it is silent. */
void EntryLink_Send(struct entry_link *e, const struct wire_msg *m);
void EntryLink_SendHello(struct links *l, struct entry_link *e);
void EntryLink_SendHeartbeat(struct links *l, struct entry_link *e);
void EntryLink_Open(struct links *l, struct entry_link *e);
int64_t EntryLink_HeartbeatInterval(const struct entry_link *e);
bool EntryLink_IsSilent(const struct entry_link *e, int64_t now);

/* agent-links-list.c: the list of entries to which the agent keeps links. */
struct entry_link *Entries_Find(struct links *l, const char *address);
struct entry_link *Entries_Add(struct links *l, const char *address,
                               bool seed);
void Entries_Drop(struct links *l, struct entry_link *e);
bool Entries_IsSelected(const struct links *l, const struct wire_list *entries,
                        const struct wire_entry *e);
/* Replaces the seeds, while no entry answers. */
void Entries_SetSeeds(struct links *l, const struct conf_list *seeds);
struct entry_link *Entries_FindDuplicate(struct links *l,
                                         const struct entry_link *e);
void Entries_MarkDuplicate(struct links *l, struct entry_link *e);
bool Entries_IsLinkedElsewhere(struct links *l,
                               const struct wire_entry *listed);

#endif
