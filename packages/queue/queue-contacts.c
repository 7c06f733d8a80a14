#include "queue-links.h"

#include <stdlib.h>
#include <string.h>

/* An entry that the store has not answered for this long links to more entries
 * that it may relay calls through. */
#define STORE_LOST_MS 2000

/* Adds an entry to the list for agents, unless it is on it. */
static void
list_for_agents(struct wire_list *list, const struct member *m)
{
    struct wire_entry *e = list->items;

    for (size_t i = 0; i < list->count; i++) {
        if (strcmp(e[i].address, m->address) == 0) {
            return;
        }
    }
    e = Wire_ListAdd(list, sizeof(*e));
    Str_Copy(e->name, sizeof(e->name), m->name);
    Str_Copy(e->address, sizeof(e->address), m->address);
}

/* Returns a version of a list that differs when the list does, and is not
 * 0. */
static uint64_t
list_version(const struct wire_list *list, size_t reserves)
{
    const struct wire_entry *e = list->items;
    uint64_t hash = reserves + 1;

    for (size_t i = 0; i < list->count; i++) {
        hash = Hash_Str(e[i].address, hash);
    }
    return hash != 0 ? hash : 1;
}

/* Builds the list for agents: the coordinators and the owner, to which they
 * hold links, and as reserves the next members in order. */
static void
build_agent_list(struct links *l)
{
    struct wire_list list = {0};
    size_t active;

    for (size_t i = 0; i < l->member_count; i++) {
        if (l->members[i].is_coordinator ||
            strcmp(l->members[i].name, l->owner) == 0) {
            list_for_agents(&list, &l->members[i]);
        }
    }
    active = list.count;
    for (size_t i = 0;
         i < l->member_count && list.count < active + MEMBERS_RESERVES; i++) {
        if (!l->members[i].silent) {
            list_for_agents(&list, &l->members[i]);
        }
    }
    free(l->agent_entries.items);
    l->agent_entries = list;
    l->agent_reserves = list.count - active;
    l->agent_entries_version =
        list.count > 0 ? list_version(&list, l->agent_reserves) : 0;
}

/* Marks the members that are silent, and chooses the coordinators. Returns the
 * number of members up to the last coordinator. */
static size_t
choose_coordinators(struct links *l)
{
    const struct entry_settings *s = l->task.kernel->settings;
    size_t considered;

    for (size_t i = 0; i < l->member_count; i++) {
        const struct peer *p = Peers_Find(l, l->members[i].address);

        l->members[i].silent = p != NULL && Peers_IsSilent(l, p);
    }
    considered = Members_Choose(l->members, l->member_count);
    l->is_coordinator = false;
    for (size_t i = 0; i < considered; i++) {
        l->is_coordinator =
            l->is_coordinator || (l->members[i].is_coordinator &&
                                  strcmp(l->members[i].name, s->name) == 0);
    }
    return considered;
}

/* Makes the seeds contacts, while there is no other way to find entries. */
static void
want_seeds(struct links *l)
{
    const struct entry_settings *s = l->task.kernel->settings;
    char *const *seeds = s->seeds.items;

    for (size_t i = 0; i < s->seeds.count; i++) {
        Peers_Want(l, seeds[i]);
    }
}

/* Returns the number of further members to be contacts: none, unless neither
 * this entry nor one of its contacts reaches the store. The store may turn a
 * third of all machines away, and with them every contact of some entry. */
static size_t
relays_missing(const struct links *l)
{
    int64_t age_ms = Queue_StoreAge(l->task.kernel);

    return *l->relay_address == '\0' && age_ms > STORE_LOST_MS
               ? MEMBERS_RESERVES
               : 0;
}

/* Makes the owner, the neighbours and the members up to the last coordinator
 * contacts. Members that are silent are among them, so that they are noticed
 * when they answer again. */
static void
want_members(struct links *l, size_t considered)
{
    for (size_t i = 0; i < considered; i++) {
        Peers_Want(l, l->members[i].address);
    }
    for (size_t i = 0; i < l->member_count; i++) {
        if (strcmp(l->members[i].name, l->owner) == 0) {
            Peers_Want(l, l->members[i].address);
        }
    }
    for (size_t i = 0; i < NEIGHBOURS; i++) {
        if (*l->neighbours[i] != '\0') {
            Peers_Want(l, l->neighbours[i]);
        }
    }
}

/* Chooses the coordinators and the contacts again. */
void
Contacts_Update(struct links *l)
{
    struct peer *p;
    bool was_coordinator = l->is_coordinator;
    size_t considered = choose_coordinators(l);

    TAILQ_FOREACH (p, &l->peers, entry) {
        p->wanted = false;
    }
    if (l->member_count <= 1) {
        want_seeds(l);
    }
    considered += relays_missing(l);
    want_members(l,
                 considered < l->member_count ? considered : l->member_count);
    Peers_DropUnwanted(l);
    build_agent_list(l);
    if (l->is_coordinator != was_coordinator) {
        LOG_I("role_changed",
              KV("role", l->is_coordinator ? "coordinator" : "ordinary"),
              KV_INT("entries", l->member_count));
    }
}

/* True for the address of this entry, or of a neighbour chosen already. */
static bool
is_taken(const struct links *l, const char *address)
{
    const struct entry_settings *s = l->task.kernel->settings;

    for (size_t i = 0; i < NEIGHBOURS; i++) {
        if (strcmp(address, l->neighbours[i]) == 0) {
            return true;
        }
    }
    return strcmp(address, s->hosted.links) == 0;
}

/* Chooses the neighbours: other entries, by a hash that differs from entry to
 * entry, so that each is the neighbour of as few others as possible. */
static void
choose_neighbours(struct links *l)
{
    const struct entry_settings *s = l->task.kernel->settings;
    uint64_t seed = Hash_Str(s->name, 0);

    memset(l->neighbours, 0, sizeof(l->neighbours));
    for (size_t k = 0; k < NEIGHBOURS; k++) {
        const char *best = "";

        for (size_t i = 0; i < l->member_count; i++) {
            const char *address = l->members[i].address;

            if (!is_taken(l, address) &&
                (*best == '\0' ||
                 Hash_Str(address, seed) < Hash_Str(best, seed))) {
                best = address;
            }
        }
        Str_Copy(l->neighbours[k], NAME_SIZE, best);
    }
}

/* Takes the entries that the store lists. */
void
Contacts_TakeEntries(struct links *l, struct entries_listed *note)
{
    if (note->count == 0) {
        return;
    }
    free(l->members);
    l->members = note->members;
    l->member_count = note->count;
    note->members = NULL;
    l->members_settled = note->settled;
    Str_Copy(l->owner, sizeof(l->owner), note->owner);
    Members_Rank(l->members, l->member_count);
    choose_neighbours(l);
    Contacts_Update(l);
}

/* Returns the role of this entry. */
enum queue_role
Queue_Role(struct kernel *k)
{
    const struct links *l =
        (const struct links *)Kernel_FindTask(k, TASK_LINKS);

    if (l == NULL || !l->members_settled) {
        return ROLE_UNKNOWN;
    }
    return l->is_coordinator ? ROLE_COORDINATOR : ROLE_ORDINARY;
}

/* Frees the members and the list for agents. */
void
Contacts_Free(struct links *l)
{
    free(l->members);
    free(l->agent_entries.items);
}
