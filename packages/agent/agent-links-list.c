#include "agent-links.h"

#include <stdlib.h>
#include <string.h>

#define FOREIGN_ENTRIES 2 /* links of an agent to entries of other regions */

/* Finds an entry by its address. */
struct entry_link *
Entries_Find(struct links *l, const char *address)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (strcmp(e->address, address) == 0) {
            return e;
        }
    }
    return NULL;
}

/* Adds an entry unless it is known, and opens a link to it. Returns NULL for a
 * string that is not an address. */
struct entry_link *
Entries_Add(struct links *l, const char *address, bool seed)
{
    struct entry_link *e = Entries_Find(l, address);
    char ip[NAME_SIZE];
    int port;

    if (e != NULL) {
        e->listed_at = Clock_NowMs();
        return e;
    }
    if (Settings_SplitAddress(address, ip, &port) != ERR_OK || port == 0) {
        LOG_W("bad_entry_address", KV("address", address));
        return NULL;
    }
    e = Mem_Zero(1, sizeof(*e));
    Str_Copy(e->address, sizeof(e->address), address);
    e->seed = seed;
    e->links = l;
    e->listed_at = Clock_NowMs();
    TAILQ_INSERT_TAIL(&l->entries, e, entry);
    EntryLink_Open(l, e);
    return e;
}

/* Adds the entries at new seeds. One at an address that is no seed any more is
 * dropped like one that no welcome lists. */
void
Entries_SetSeeds(struct links *l, const struct conf_list *seeds)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        e->seed = false;
    }
    for (size_t i = 0; i < seeds->count; i++) {
        e = Entries_Add(l, *CONFIG_AT(*seeds, char *, i), true);
        if (e != NULL) {
            e->seed = true;
        }
    }
}

/* Removes an entry and closes its link. */
void
Entries_Drop(struct links *l, struct entry_link *e)
{
    TAILQ_REMOVE(&l->entries, e, entry);
    Link_Free(e->link);
    free(e->running.items);
    free(e);
}

/* Hash by which this agent selects among entries. It includes the agent's
 * name, so that the agents spread over the entries. */
static uint64_t
selection_hash(const struct links *l, const struct wire_entry *e)
{
    return Hash_Str(e->name, Hash_Str(l->settings->name, 0));
}

/* True when this agent is to connect to an entry of the list: to all entries
 * of its own region, and to FOREIGN_ENTRIES of the others. Each connection
 * costs an entry about 28 KB of memory, so that connections from all 780
 * agents would take it beyond its limit of 32 MB. */
bool
Entries_IsSelected(const struct links *l, const struct wire_list *entries,
                   const struct wire_entry *e)
{
    const struct wire_entry *list = entries->items;
    int before = 0;
    size_t i;

    if (strcmp(e->region, l->settings->region) == 0) {
        return true;
    }
    for (i = 0; i < entries->count; i++) {
        before += strcmp(list[i].region, l->settings->region) != 0 &&
                  selection_hash(l, &list[i]) > selection_hash(l, e);
    }
    return before < FOREIGN_ENTRIES;
}

/* Finds another welcomed link to the same entry process; NULL: none. */
struct entry_link *
Entries_FindDuplicate(struct links *l, const struct entry_link *e)
{
    struct entry_link *o;

    TAILQ_FOREACH (o, &l->entries, entry) {
        if (o != e && o->welcomed && !o->duplicate &&
            o->incarnation == e->incarnation &&
            strcmp(o->name, e->name) == 0) {
            return o;
        }
    }
    return NULL;
}

/* Marks one of two links to the same entry as a duplicate. The seed's address
 * may differ from the one that the entry lists for itself, as with a forwarded
 * port. With two links, the entry has only one connection on record for the
 * agent, and finds none for heartbeats on the other. It then asks for a hello
 * and treats the agent as reconnected, twice a second, and each time withdraws
 * what it has just dispatched. The seed's link is kept, as the operator has
 * configured it. */
void
Entries_MarkDuplicate(struct links *l, struct entry_link *e)
{
    struct entry_link *o = Entries_FindDuplicate(l, e);

    if (o == NULL || e->seed == o->seed) {
        return;
    }
    (e->seed ? o : e)->duplicate = true;
}

/* True when a listed entry is already linked under a seed's address that
 * differs from the listed one. The listed address is stored, to be used when
 * the link to the seed falls silent. */
bool
Entries_IsLinkedElsewhere(struct links *l, const struct wire_entry *listed)
{
    struct entry_link *e;

    TAILQ_FOREACH (e, &l->entries, entry) {
        if (e->seed && e->welcomed && strcmp(e->name, listed->name) == 0 &&
            strcmp(e->address, listed->address) != 0) {
            Str_Copy(e->listed_address, sizeof(e->listed_address),
                     listed->address);
            return true;
        }
    }
    return false;
}
