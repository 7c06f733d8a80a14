/*
 * members: who links to whom among entries and agents, and when a link is
 * opened again. Pure: time and what is known of others are arguments.
 *
 * With a link from every agent to every entry, and from every entry to every
 * other, each node's load grows with the fleet: 800 agents and 183 entries
 * make 146,400 links. A few entries, the coordinators, therefore hold the
 * links: agents report to them, other entries send them their status, and one
 * of them becomes the owner. No list of coordinators is agreed on or stored.
 * Each process ranks the entries that the store lists in the same way and
 * passes over those that are silent on its own links. Processes may differ for
 * some seconds; the owner row alone decides who the owner is.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Number of coordinators. Their loss is noticed on the links, so it only
 * bounds how many others may be lost at once without a pause. */
#define MEMBERS_COORDINATORS 5
/* Further entries that agents know, for the loss of all coordinators. */
#define MEMBERS_RESERVES 10

/* ---- ranking -------------------------------------------------------------
 */

/* What an entry has for control. 0: not known. */
struct member_room {
    int64_t millicores;
    int64_t link_mbps;
    int64_t memory_mb;
};

/* An entry that the store lists. */
struct member {
    char name[NAME_SIZE];
    char address[NAME_SIZE]; /* "ip:port" of its links */
    char domain[NAME_SIZE];  /* failure domain; "": not known */
    struct member_room room;
    /* Nothing has arrived on the link to it for too long. */
    bool silent;
    bool is_coordinator; /* set by Members_Choose() */
};

/* Orders members by their fitness as coordinators. Entries that have at least
 * half of the most processor, link and memory among them come first;
 * neighbours in the order are of different failure domains as far as possible;
 * otherwise a hash of the name decides. Depends neither on the order of the
 * input nor on who is silent. */
void Members_Rank(struct member *members, size_t count);
/* Marks the first MEMBERS_COORDINATORS ranked members that are not silent as
 * coordinators. Returns the number of members up to the last one marked: those
 * among them that are silent are to be tried until they answer again. */
size_t Members_Choose(struct member *members, size_t count);

/* ---- links that are opened again -----------------------------------------
 */

/* Load: an entry that is overloaded answers late. If every silent link were
 * replaced after the same time, the new connections would cost the entry more
 * than the answers, none would arrive in time, and all links would be replaced
 * for ever. So the time that a link may be silent doubles with each
 * replacement, so that the answers of an entry that is slow but alive arrive
 * in the end, and a process replaces only so many links a second. */

/* The longest silence is the shortest one times this. */
#define REDIAL_GROWTH_MAX 4

/* State of one link. */
struct redial {
    uint32_t attempts; /* replacements since the last message */
    uint64_t seed;     /* differs for each pair of processes; for the jitter */
};

/* Budget of a process. Starts full. */
struct redial_budget {
    int64_t per_s;
    int64_t tokens_milli;
    int64_t filled_ms; /* 0: not used yet */
};

/* How long a link may be silent before it is replaced: base_ms at first, twice
 * as long after each attempt, and from the second attempt on up to half of
 * that more, by the seed. */
int64_t Redial_SilenceMs(const struct redial *r, int64_t base_ms);
/* True when a link that has been silent for silent_ms is to be replaced now;
 * counts the attempt and takes it from the budget. */
bool Redial_Try(struct redial *r, struct redial_budget *budget,
                int64_t base_ms, int64_t silent_ms, int64_t now);
/* A message has arrived on the link. */
void Redial_Received(struct redial *r);

#ifdef __cplusplus
}
#endif

#endif
