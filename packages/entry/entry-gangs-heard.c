#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* A member, and the newest stamp that it echoed. */
struct heard {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    char agent[NAME_SIZE];
    int64_t stamp;
    RB_ENTRY(heard) entry;
};

/* Order of two numbers. */
static int
order(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

/* By gang, then by agent, so that a gang's members lie side by side. */
static int
compare(const struct heard *a, const struct heard *b)
{
    int c = Id_Compare(&a->job, &b->job);

    if (c == 0) {
        c = order(a->attempt, b->attempt);
    }
    if (c == 0) {
        c = order(a->term, b->term);
    }
    return c != 0 ? c : strcmp(a->agent, b->agent);
}

TREE_STATIC(heard_tree, heard, entry, compare);

/* A key for the tree; the agent "" sorts before every other. */
static struct heard
key_of(const struct wire_working *w, const char *agent)
{
    struct heard key = {.job = w->job, .attempt = w->attempt, .term = w->term};

    Str_Copy(key.agent, sizeof(key.agent), agent);
    return key;
}

/* Starts with nobody heard. */
void
Heard_Init(struct heard_table *b)
{
    RB_INIT(&b->tree);
    b->count = 0;
}

/* Notes a member's echo. A copy that comes late can't put it back. */
void
Heard_Note(struct heard_table *b, const struct wire_working *w,
           const char *agent, int64_t stamp)
{
    struct heard key = key_of(w, agent);
    struct heard *h = RB_FIND(heard_tree, &b->tree, &key);

    if (h == NULL) {
        h = Mem_Zero(1, sizeof(*h));
        *h = key;
        h->stamp = stamp;
        RB_INSERT(heard_tree, &b->tree, h);
        b->count++;
    }
    if (stamp > h->stamp) {
        h->stamp = stamp;
    }
}

/* Counts the members that were heard of late. */
bool
Heard_IsWhole(struct heard_table *b, const struct wire_working *w, int64_t now)
{
    struct heard key = key_of(w, "");
    struct heard *h = RB_NFIND(heard_tree, &b->tree, &key);
    uint64_t count = 0;

    for (; h != NULL; h = RB_NEXT(heard_tree, &b->tree, h)) {
        if (Id_Compare(&h->job, &w->job) != 0 || h->attempt != w->attempt ||
            h->term != w->term) {
            break;
        }
        count += now - h->stamp <= GANG_PULSE_MAX_AGE_MS;
    }
    return count >= w->members;
}

/* Takes one member out. */
static void
drop(struct heard_table *b, struct heard *h)
{
    RB_REMOVE(heard_tree, &b->tree, h);
    b->count--;
    free(h);
}

/* Forgets what is too old to count. */
void
Heard_Prune(struct heard_table *b, int64_t now)
{
    struct heard *h, *next;

    RB_FOREACH_SAFE (h, heard_tree, &b->tree, next) {
        if (now - h->stamp > GANG_PULSE_MAX_AGE_MS) {
            drop(b, h);
        }
    }
}

/* Frees all. */
void
Heard_Free(struct heard_table *b)
{
    struct heard *h, *next;

    RB_FOREACH_SAFE (h, heard_tree, &b->tree, next) {
        drop(b, h);
    }
}

/* Answers a pulse. A member counts as heard at the stamp that it echoes, not
 * at the pulse's arrival: one that waited while this process was paused says
 * nothing about now, and would renew members whose fellow has stopped since.
 * A stamp of another incarnation is of another clock and counts for nothing.
 */
struct wire_renew *
Heard_Answer(struct heard_table *b, const struct wire_pulse *pulse,
             uint64_t renewer, int64_t now)
{
    const struct wire_working *working = pulse->working.items;
    struct wire_renew *r = Wire_New(WIRE_RENEW);
    bool echoed =
        pulse->renewer == renewer && pulse->stamp > 0 && pulse->stamp <= now;
    size_t i;

    r->incarnation = pulse->incarnation;
    r->sent = pulse->sent;
    r->renewer = renewer;
    r->stamp = now;
    r->lease_ms = GANG_LEASE_MS;
    for (i = 0; i < pulse->working.count; i++) {
        struct wire_renewed *item;

        if (echoed) {
            Heard_Note(b, &working[i], pulse->agent, pulse->stamp);
        }
        if (working[i].members == 0 || !Heard_IsWhole(b, &working[i], now)) {
            continue;
        }
        item = Wire_ListAdd(&r->renewed, sizeof(*item));
        item->job = working[i].job;
        item->attempt = working[i].attempt;
        item->term = working[i].term;
    }
    return r;
}
