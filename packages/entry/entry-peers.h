/* The list of entries, without the calls of the table service that fetch it.
 */
#ifndef ENTRY_PEERS_H
#define ENTRY_PEERS_H

#include "entry.h"
#include "platform.h"

#define PEERS_MAX 256

/* Lists after which an entry whose row has not changed is dropped: 90 to 100
 * s, in which three writes were due.
 *
 * Lists are counted rather than time. If the table service is down for
 * minutes, or this process is paused, no row changes or none is read; by time,
 * the first list afterwards would drop all entries, and agents would lose
 * them. A list that fails is not counted, and within the next three lists each
 * running entry has written its row again. */
#define DROP_AFTER_LISTS 10
/* Lists after which an unchanged row is deleted: ten minutes. */
#define DELETE_AFTER_LISTS 60

/* An entry whose row was listed. */
struct peer {
    struct peer_entry facts;
    uint64_t version;
    int unchanged; /* lists in a row without a new version of the row */
    bool listed;   /* in the list being applied */
    TAILQ_ENTRY(peer) entry;
};

TAILQ_HEAD(peer_list, peer);

/* Applies a complete list of rows: counts the rows that did not change and
 * removes the peers that are not listed. */
void peers_apply_list(struct peer_list *list, const struct table_row *rows,
                      size_t count);
/* Collects the entries that are alive in order of name, self included; out has
 * room for PEERS_MAX + 1. Returns their number. */
size_t peers_alive(const struct peer_list *list, const struct peer_entry *self,
                   struct peer_entry *out);
void peers_clear(struct peer_list *list);

#endif
