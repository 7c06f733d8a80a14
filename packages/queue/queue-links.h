/* The links task's own structures, shared by its files. */
#ifndef QUEUE_LINKS_H
#define QUEUE_LINKS_H

#include "queue-documents.h"
#include "queue-sources.h"
#include "queue.h"

/* Entries say so often that they are there. A configuration that an entry
 * can't read from the store reaches it from another one within this time. */
#define PEER_MS 500

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
    char name[NAME_SIZE]; /* as it says itself; "": not heard yet */
    struct link *link;
    int64_t made_ms;      /* when this entry first heard of it */
    int64_t opened_ms;    /* the present link */
    int64_t heard_ms;     /* last answer; 0: none on any link yet */
    int64_t store_age_ms; /* of its own way to the store; -1: none */
    struct source source;
    uint64_t version;  /* it says that up to this position of the operators' */
    uint64_t position; /* table there is no newer version than this */
    bool chosen;       /* among our sources */
    bool listed;
    TAILQ_ENTRY(peer) entry;
};

/* Another entry that asks for configurations newer than its own. */
struct subscriber {
    char entry[NAME_SIZE];
    struct link_peer peer;
    uint64_t has;
    int64_t said_ms;
    uint64_t sent; /* newest version that was sent to it; 0: none */
    uint64_t sent_has;
    int64_t sent_ms;
    TAILQ_ENTRY(subscriber) entry_list;
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
    struct operators_read read; /* as last reported by the intake */
    struct emptied emptied;     /* the same; failure domains */
    bool any_emptied;           /* one was, while this process lives */
    bool left;                  /* the reading, to our sources */
    char best[NAME_SIZE];       /* entry that reaches the store best */
    ev_timer tick;
};

/* ---- queue-links.c: agents, and what comes to the listening link */
/* Hands a call of the store, or an answer to one (from: NULL), to the store
 * task. */
void Links_PassToStore(struct links *l, const struct link_peer *from,
                       struct wire_msg **m);

/* ---- queue-peers.c: links to other entries */
/* Links to an entry, once. */
void Peers_Want(struct links *l, const char *address);
/* Takes the entries that the store lists. */
void Peers_TakeEntries(struct links *l, struct entries_listed *note);
/* Sends a call of the store to the entry chosen, or an answer back. */
void Peers_Say(struct links *l, const struct say_entry *s);
/* Tells the other entries what this one has, and replaces silent links. */
void Peers_Tick(struct links *l);
void Peers_Free(struct links *l);

/* ---- queue-configs.c: configurations between entries */
/* Another entry says which version it has (UINT64_MAX: it asks for none). */
void Configs_Heard(struct links *l, const struct link_peer *from,
                   const struct wire_peer *m);
/* Takes the configuration in force, and sends it to those who ask for it. */
void Configs_Changed(struct links *l, struct config_in_force *note);
/* Takes which failure domains are emptied, as this entry knows. */
void Configs_Emptied(struct links *l, const struct emptied *e);
/* Takes a configuration of another entry. */
void Configs_Take(struct peer *p, const struct wire_document *m);
/* Takes what another entry says of its reading. */
void Configs_TakeReader(struct peer *p, const struct wire_reader *m);
/* Chooses sources anew, and leaves the reading to them or not. */
void Configs_Choose(struct links *l);
/* True when that peer, the at-th, is to be asked for what is newer. */
bool Configs_Asks(const struct links *l, const struct peer *p, size_t at);
void Configs_Free(struct links *l);

#endif
