#include "members.h"

#include <stdlib.h>
#include <string.h>

/* A member while it is ranked. */
struct candidate {
    struct member member;
    uint64_t hash;
    bool has_room;
    size_t round; /* how many of its domain and room come before it */
};

/* Returns the larger of two numbers. */
static int64_t
max(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* Finds the most of each resource among all candidates. */
static struct member_room
find_most(const struct candidate *c, size_t count)
{
    struct member_room most = {0};

    for (size_t i = 0; i < count; i++) {
        const struct member_room *r = &c[i].member.room;

        most.millicores = max(most.millicores, r->millicores);
        most.link_mbps = max(most.link_mbps, r->link_mbps);
        most.memory_mb = max(most.memory_mb, r->memory_mb);
    }
    return most;
}

/* True for a candidate with at least half of the most of every resource. */
static bool
has_room(const struct member_room *r, const struct member_room *most)
{
    return r->millicores >= most->millicores / 2 &&
           r->link_mbps >= most->link_mbps / 2 &&
           r->memory_mb >= most->memory_mb / 2;
}

/* Orders candidates by room, domain and hash, so that those that share room
 * and domain are neighbours. */
static int
compare_by_domain(const void *left, const void *right)
{
    const struct candidate *a = left, *b = right;
    int order = strcmp(a->member.domain, b->member.domain);

    if (a->has_room != b->has_room) {
        return a->has_room ? -1 : 1;
    }
    if (order != 0) {
        return order;
    }
    if (a->hash != b->hash) {
        return a->hash < b->hash ? -1 : 1;
    }
    return strcmp(a->member.name, b->member.name);
}

/* Orders candidates by room, round and hash. */
static int
compare_by_rank(const void *left, const void *right)
{
    const struct candidate *a = left, *b = right;

    if (a->has_room != b->has_room) {
        return a->has_room ? -1 : 1;
    }
    if (a->round != b->round) {
        return a->round < b->round ? -1 : 1;
    }
    if (a->hash != b->hash) {
        return a->hash < b->hash ? -1 : 1;
    }
    return strcmp(a->member.name, b->member.name);
}

/* Numbers the candidates of each domain. A domain gets its next place only
 * after every other domain has had one. */
static void
number_rounds(struct candidate *c, size_t count)
{
    qsort(c, count, sizeof(*c), compare_by_domain);
    for (size_t i = 1; i < count; i++) {
        bool same = c[i].has_room == c[i - 1].has_room &&
                    strcmp(c[i].member.domain, c[i - 1].member.domain) == 0;

        c[i].round = same ? c[i - 1].round + 1 : 0;
    }
}

/* Orders members by their fitness as coordinators. */
void
Members_Rank(struct member *members, size_t count)
{
    struct candidate *c CLEANUP(Mem_FreeP) = Mem_Zero(count + 1, sizeof(*c));
    struct member_room most;

    for (size_t i = 0; i < count; i++) {
        c[i].member = members[i];
        c[i].hash = Hash_Str(members[i].name, 0);
    }
    most = find_most(c, count);
    for (size_t i = 0; i < count; i++) {
        c[i].has_room = has_room(&c[i].member.room, &most);
    }
    number_rounds(c, count);
    qsort(c, count, sizeof(*c), compare_by_rank);
    for (size_t i = 0; i < count; i++) {
        members[i] = c[i].member;
    }
}

/* Marks the coordinators among ranked members. */
size_t
Members_Choose(struct member *members, size_t count)
{
    size_t chosen = 0, considered = 0;

    for (size_t i = 0; i < count; i++) {
        members[i].is_coordinator =
            !members[i].silent && chosen < MEMBERS_COORDINATORS;
        if (members[i].is_coordinator) {
            chosen++;
            considered = i + 1;
        }
    }
    return chosen < MEMBERS_COORDINATORS ? count : considered;
}
