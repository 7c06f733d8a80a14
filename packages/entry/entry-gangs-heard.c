#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The newest stamp that a member of a gang has echoed. */
struct liveness {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    char agent[NAME_SIZE];
    int64_t stamp;
    RB_ENTRY(liveness) entry;
};

/* Three-way comparison of two numbers. */
static int
compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

/* Orders members by gang, then by agent, so that a gang's members are adjacent
 * in the tree. */
static int
compare(const struct liveness *a, const struct liveness *b)
{
    int c = Id_Compare(&a->job, &b->job);

    if (c == 0) {
        c = compare_numbers(a->attempt, b->attempt);
    }
    if (c == 0) {
        c = compare_numbers(a->term, b->term);
    }
    return c != 0 ? c : strcmp(a->agent, b->agent);
}

TREE_STATIC(liveness_tree, liveness, entry, compare);

/* A search key for the tree; the agent "" sorts before all others. */
static struct liveness
key_of(const struct wire_working *w, const char *agent)
{
    struct liveness key = {
        .job = w->job, .attempt = w->attempt, .term = w->term};

    Str_Copy(key.agent, sizeof(key.agent), agent);
    return key;
}

/* Initialises an empty table. */
void
Liveness_Init(struct liveness_table *table)
{
    RB_INIT(&table->tree);
    table->count = 0;
}

/* Records the stamp that a member echoed. The newest one is kept, so a delayed
 * copy of an older pulse has no effect. */
void
Liveness_Record(struct liveness_table *table, const struct wire_working *w,
                const char *agent, int64_t stamp)
{
    struct liveness key = key_of(w, agent);
    struct liveness *h = RB_FIND(liveness_tree, &table->tree, &key);

    if (h == NULL) {
        h = Mem_Zero(1, sizeof(*h));
        *h = key;
        h->stamp = stamp;
        RB_INSERT(liveness_tree, &table->tree, h);
        table->count++;
    }
    if (stamp > h->stamp) {
        h->stamp = stamp;
    }
}

/* Counts the members whose newest stamp is at most GANG_PULSE_MAX_AGE_MS old.
 */
bool
Liveness_AllRecent(struct liveness_table *table, const struct wire_working *w,
                   int64_t now)
{
    struct liveness key = key_of(w, "");
    struct liveness *h = RB_NFIND(liveness_tree, &table->tree, &key);
    uint64_t count = 0;

    for (; h != NULL; h = RB_NEXT(liveness_tree, &table->tree, h)) {
        if (Id_Compare(&h->job, &w->job) != 0 || h->attempt != w->attempt ||
            h->term != w->term) {
            break;
        }
        count += now - h->stamp <= GANG_PULSE_MAX_AGE_MS;
    }
    return count >= w->members;
}

/* Removes one member from the table and frees it. */
static void
drop(struct liveness_table *table, struct liveness *h)
{
    RB_REMOVE(liveness_tree, &table->tree, h);
    table->count--;
    free(h);
}

/* Removes the members whose newest stamp is too old to count. */
void
Liveness_Prune(struct liveness_table *table, int64_t now)
{
    struct liveness *h, *next;

    RB_FOREACH_SAFE (h, liveness_tree, &table->tree, next) {
        if (now - h->stamp > GANG_PULSE_MAX_AGE_MS) {
            drop(table, h);
        }
    }
}

/* Removes all members. */
void
Liveness_Free(struct liveness_table *table)
{
    struct liveness *h, *next;

    RB_FOREACH_SAFE (h, liveness_tree, &table->tree, next) {
        drop(table, h);
    }
}

/* Answers a pulse. A member counts as live at the stamp that it echoes, not at
 * the arrival of the pulse: a pulse that was queued while this process was
 * paused is outdated, and counting its arrival would renew the leases of a
 * gang in which another member has stopped since. A stamp of another
 * incarnation of this entry was read from another clock and is ignored. */
struct wire_renew *
Liveness_AnswerPulse(struct liveness_table *table,
                     const struct wire_pulse *pulse, uint64_t renewer,
                     int64_t now)
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
            Liveness_Record(table, &working[i], pulse->agent, pulse->stamp);
        }
        if (working[i].members == 0 ||
            !Liveness_AllRecent(table, &working[i], now)) {
            continue;
        }
        item = Wire_ListAdd(&r->renewed, sizeof(*item));
        item->job = working[i].job;
        item->attempt = working[i].attempt;
        item->term = working[i].term;
    }
    return r;
}
