/* The links task's own structures, shared by its files. */
#ifndef QUEUE_LINKS_H
#define QUEUE_LINKS_H

#include "queue-documents.h"
#include "queue-sources.h"
#include "queue.h"

/* Entries say so often that they are there. A configuration that an entry
 * can't read from the store reaches it from another one within this time. */
#define PEER_INTERVAL_MS 500

/* An agent and where it was last heard from. */
struct agent {
    char name[NAME_SIZE];
    struct link_peer peer;
    int64_t entries_sent_ms; /* when it was told of the entries */
    RB_ENTRY(agent) by_name;
};
RB_HEAD(agent_tree, agent);

/* A link that this entry opened to another one. */
struct peer {
    struct links *links;
    char address[NAME_SIZE];
    char name[NAME_SIZE]; /* as it says itself; "": not heard yet */
    struct link *link;
    int64_t first_seen_ms;   /* when this entry first heard of it */
    int64_t connected_ms;    /* the present link */
    int64_t last_message_ms; /* last answer; 0: none on any link yet */
    int64_t store_age_ms;    /* of its own way to the store; -1: none */
    struct source source;
    uint64_t version;  /* it says that up to this position of the operators' */
    uint64_t position; /* table there is no newer version than this */
    bool is_source;    /* among our sources */
    bool listed;
    TAILQ_ENTRY(peer) entry;
};

/* Another entry that asks for configurations newer than its own. */
struct subscriber {
    char name[NAME_SIZE];
    struct link_peer peer;
    uint64_t known_version;
    int64_t asked_ms;
    uint64_t sent_version; /* newest version that was sent to it; 0: none */
    uint64_t sent_base;
    int64_t sent_ms;
    TAILQ_ENTRY(subscriber) entry;
};

struct links {
    struct task task;
    size_t round; /* of telling the other entries */
    struct link_context *context;
    struct link *listening;
    struct agent_tree agents;
    TAILQ_HEAD(, peer) peers;
    size_t peer_count;
    TAILQ_HEAD(, subscriber) subscribers;
    struct wire_list entries; /* struct wire_entry */
    struct documents *documents;
    struct operator_table_status
        table_status;               /* as last reported by the intake */
    struct emptied_domains emptied; /* the same; failure domains */
    bool ever_emptied;              /* one was, while this process lives */
    bool delegated;                 /* the reading, to our sources */
    char relay_address[NAME_SIZE];  /* entry that reaches the store best */
    ev_timer tick;
};

/* ---- queue-links.c: agents, and what comes to the listening link */
/* Hands a call of the store, or an answer to one (from: NULL), to the store
 * task. */
void Links_ForwardToStore(struct links *l, const struct link_peer *from,
                          struct wire_msg **m);

/* ---- queue-peers.c: links to other entries */
/* Links to an entry, once. */
void Peers_Add(struct links *l, const char *address);
/* Takes the entries that the store lists. */
void Peers_TakeEntries(struct links *l, struct entries_listed *note);
/* Sends a call of the store to the entry chosen, or an answer back. */
void Peers_Send(struct links *l, const struct entry_outbound *s);
/* Tells the other entries what this one has, and replaces silent links. */
void Peers_Tick(struct links *l);
void Peers_Free(struct links *l);

/* ---- queue-configs.c: configurations between entries */
/* Another entry says which version it has (UINT64_MAX: it asks for none). */
void Configs_TakePeer(struct links *l, const struct link_peer *from,
                      const struct wire_peer *m);
/* Takes the configuration in force, and sends it to those who ask for it. */
void Configs_Update(struct links *l, struct config_changed *note);
/* Takes which failure domains are emptied, as this entry knows. */
void Configs_SetEmptied(struct links *l, const struct emptied_domains *e);
/* Takes a configuration of another entry. */
void Configs_TakeDocument(struct peer *p, const struct wire_document *m);
/* Takes what another entry says of its reading. */
void Configs_TakeReader(struct peer *p, const struct wire_reader *m);
/* Chooses sources anew, and leaves the reading to them or not. */
void Configs_ChooseSources(struct links *l);
/* True when that peer, the at-th, is to be asked for what is newer. */
bool Configs_ShouldAsk(const struct links *l, const struct peer *p,
                       size_t index);
void Configs_Free(struct links *l);

#endif
