/* Internal structures of the links task, shared by its files. */
#ifndef QUEUE_LINKS_H
#define QUEUE_LINKS_H

#include "queue-documents.h"
#include "queue-sources.h"
#include "queue.h"

/* Interval of status messages between entries. An entry that cannot read a
 * configuration from the store receives it from another entry within this
 * time. */
#define PEER_INTERVAL_MS 500

/* An agent and the link of its last message. */
struct agent {
    char name[NAME_SIZE];
    struct link_peer peer;
    int64_t entries_sent_ms; /* when the list of entries was last sent to it */
    RB_ENTRY(agent) by_name;
};
RB_HEAD(agent_tree, agent);

/* A link that this entry opened to another one. */
struct peer {
    struct links *links;
    char address[NAME_SIZE];
    /* Name from its messages; "": no message yet. */
    char name[NAME_SIZE];
    struct link *link;
    int64_t first_seen_ms;   /* when this entry learned its address */
    int64_t connected_ms;    /* when the current link was opened */
    int64_t last_message_ms; /* last message; 0: none on any link yet */
    /* Milliseconds since the store answered it on its own connection, as it
     * last reported; -1: never. */
    int64_t store_age_ms;
    struct source source;
    /* It reports that up to position of the operator table there is no
     * configuration newer than version. */
    uint64_t version;
    uint64_t position;
    bool is_source; /* one of the chosen sources */
    bool listed;    /* in the store, or a seed */
    TAILQ_ENTRY(peer) entry;
};

/* Another entry that requests configurations newer than its own. */
struct subscriber {
    char name[NAME_SIZE];
    struct link_peer peer;
    uint64_t known_version; /* version that it has */
    int64_t asked_ms;       /* last request */
    uint64_t sent_version;  /* last version sent to it; 0: none */
    uint64_t sent_base;     /* version that it had then */
    int64_t sent_ms;        /* when it was sent */
    TAILQ_ENTRY(subscriber) entry;
};

struct links {
    struct task task;
    size_t round; /* count of status messages, selects peers in turn */
    struct link_context *context;
    struct link *listening;
    struct agent_tree agents;
    TAILQ_HEAD(, peer) peers;
    size_t peer_count;
    TAILQ_HEAD(, subscriber) subscribers;
    struct wire_list entries; /* struct wire_entry */
    struct documents *documents;
    /* How the intake reads the operator table, as last reported. */
    struct operator_table_status table_status;
    struct emptied_domains emptied; /* failure domains, as last reported */
    bool ever_emptied; /* a domain was emptied since process start */
    /* Reading the operator table is delegated to the sources. */
    bool delegated;
    char relay_address[NAME_SIZE]; /* entry to relay store calls through */
    ev_timer tick;
};

/* ---- queue-links.c: agents, and messages to the listening link */
/* Posts a relayed store call, or an answer to one (from: NULL), to the store
 * task. */
void Links_ForwardToStore(struct links *l, const struct link_peer *from,
                          struct wire_msg **m);

/* ---- queue-peers.c: links to other entries */
/* Opens a link to the entry at that address, unless there is one. */
void Peers_Add(struct links *l, const char *address);
/* Takes the entries that the store lists: opens links to new ones and closes
 * those to removed ones. */
void Peers_TakeEntries(struct links *l, struct entries_listed *note);
/* Sends a message to an entry by its address, or as an answer. */
void Peers_Send(struct links *l, const struct entry_outbound *s);
/* Sends the status of this entry to the others and reopens silent links. */
void Peers_Tick(struct links *l);
void Peers_Free(struct links *l);

/* ---- queue-configs.c: configurations between entries */
/* Handles the status message of another entry, which states its configuration
 * version (UINT64_MAX: it requests none). */
void Configs_TakePeer(struct links *l, const struct link_peer *from,
                      const struct wire_peer *m);
/* Takes the configuration in force and sends it to the entries that request
 * it. */
void Configs_Update(struct links *l, struct config_changed *note);
/* Takes the set of emptied failure domains that this entry knows. */
void Configs_SetEmptied(struct links *l, const struct emptied_domains *e);
/* Takes a configuration document from another entry. */
void Configs_TakeDocument(struct peer *p, const struct wire_document *m);
/* Takes the report of another entry on how it reads the operator table. */
void Configs_TakeReader(struct peer *p, const struct wire_reader *m);
/* Chooses the sources again, and delegates reading to them or resumes it. */
void Configs_ChooseSources(struct links *l);
/* True when newer configurations are to be requested from p, the peer at that
 * index. */
bool Configs_ShouldAsk(const struct links *l, const struct peer *p,
                       size_t index);
void Configs_Free(struct links *l);

#endif
