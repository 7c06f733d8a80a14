/* The list of entries, apart from the calls that bring it. */
#ifndef ENTRY_PEERS_H
#define ENTRY_PEERS_H

#include "entry.h"
#include "platform.h"

#define PEERS_MAX 256

/* A row that three writes should have changed has no writer any more: 90 to
 * 100 s of lists. Lists are counted, not time.
 *
 * Failure: the table is down for minutes, or this process is paused; nobody's
 * row changes, or nobody looks. Symptom, if time were counted: at the first
 * list afterwards every entry is dropped by all, and agents lose them. A list
 * that did not come counts for nothing, and within the next three every
 * living entry has written again. */
#define DROP_AFTER_LISTS 10
/* Lists after which a row that nobody writes is deleted: ten minutes. */
#define DELETE_AFTER_LISTS 60

/* A row that has been listed. */
struct peer {
    struct peer_entry facts;
    uint64_t version;
    int unchanged; /* lists in a row */
    bool listed;   /* in the present list */
    TAILQ_ENTRY(peer) entry;
};

TAILQ_HEAD(peer_list, peer);

/* Takes a whole list of rows: marks what did not change, drops what is no
 * longer listed. */
void peers_apply_list(struct peer_list *list, const struct table_row *rows,
                      size_t count);
/* Writes the entries that are alive, self among them, in order of the names.
 * Returns their number, PEERS_MAX + 1 at most. */
size_t peers_alive(const struct peer_list *list, const struct peer_entry *self,
                   struct peer_entry *out);
void peers_clear(struct peer_list *list);

#endif
