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

/* A link on which nothing has arrived for this long is reopened: something on
 * the path may have lost the connection while new ones work. */
#define LINK_SILENT_MS 2500
/* Contacts beside the coordinators and the owner, so that an entry can relay
 * store calls while all coordinators are lost. */
#define NEIGHBOURS 2

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
    struct redial redial;
    /* It reports that up to position of the operator table there is no
     * configuration newer than version. */
    uint64_t version;
    uint64_t position;
    bool is_source;    /* one of the chosen sources */
    bool wanted;       /* one of the contacts */
    int64_t wanted_ms; /* when it last was one */
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
    /* The entries that the store lists, ranked (members.h). */
    struct member *members;
    size_t member_count;
    bool members_settled;  /* as in struct entries_listed */
    char owner[NAME_SIZE]; /* entry that the owner row names; "": none */
    /* Addresses of further contacts, which differ from entry to entry. */
    char neighbours[NEIGHBOURS][NAME_SIZE];
    bool is_coordinator;
    int64_t ticked_ms; /* last periodic check */
    int64_t
        resumed_ms; /* when this process last went on after it was suspended */
    struct redial_budget redials;
    /* What agents are sent: struct wire_entry, the reserves last. */
    struct wire_list agent_entries;
    uint64_t agent_entries_version; /* 0: there is no list */
    size_t agent_reserves;
    struct documents *documents;
    /* How the intake reads the operator table, as last reported. */
    struct operator_table_status table_status;
    struct emptied_domains emptied; /* failure domains, as last reported */
    bool ever_emptied; /* a domain was emptied since process start */
    /* Reading the operator table is delegated to the sources. */
    bool delegated;
    struct wire_forecast *forecast; /* of the owner here; NULL: none yet */
    int64_t forecast_ms;            /* when it was made */
    char relay_address[NAME_SIZE];  /* entry to relay store calls through */
    ev_timer tick;
};

/* ---- queue-links.c: agents, and messages to the listening link */
/* Posts a relayed store call, or an answer to one (from: NULL), to the store
 * task. */
void Links_ForwardToStore(struct links *l, const struct link_peer *from,
                          struct wire_msg **m);

/* ---- queue-peers.c: links to other entries */
/* Makes the entry at that address a contact, and opens a link to it unless
 * there is one. */
void Peers_Want(struct links *l, const char *address);
/* Finds the peer at an address, or returns NULL. */
struct peer *Peers_Find(struct links *l, const char *address);
/* True when nothing has arrived on the link to a peer for too long. */
bool Peers_IsSilent(const struct links *l, const struct peer *p);
/* Closes the links to peers that are no contacts any more. */
void Peers_DropUnwanted(struct links *l);
/* Sends a message to an entry by its address, or as an answer. */
void Peers_Send(struct links *l, const struct entry_outbound *s);
/* Sends the status of this entry to the others and reopens silent links. */
void Peers_Tick(struct links *l);
void Peers_Free(struct links *l);

/* ---- queue-forecast.c: the owner's forecast of waits */
/* Keeps the forecast of the owner in this process. */
void Forecast_Keep(struct links *l, struct forecast_made *note);
/* Sends that forecast, if it is new, to an entry whose status came. */
void Forecast_Answer(struct links *l, const struct link_peer *to);
/* Posts a forecast of the owner to the intake. */
void Forecast_Forward(struct links *l, struct wire_msg **m);

/* ---- queue-contacts.c: which entries to link to */
/* Takes the entries that the store lists, moving them out of the message. */
void Contacts_TakeEntries(struct links *l, struct entries_listed *note);
/* Chooses the coordinators and the contacts again, by who is silent. */
void Contacts_Update(struct links *l);
void Contacts_Free(struct links *l);

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
