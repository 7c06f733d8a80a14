#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* A member, and the newest stamp that it echoed. */
struct liveness {
    struct id job;
    uint64_t attempt;
    uint64_t term;
    char agent[NAME_SIZE];
    int64_t stamp;
    RB_ENTRY(liveness) entry;
};

/* Order of two numbers. */
static int
compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

/* By gang, then by agent, so that a gang's members lie side by side. */
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

/* A key for the tree; the agent "" sorts before every other. */
static struct liveness
key_of(const struct wire_working *w, const char *agent)
{
    struct liveness key = {
        .job = w->job, .attempt = w->attempt, .term = w->term};

    Str_Copy(key.agent, sizeof(key.agent), agent);
    return key;
}

/* Starts with nobody heard. */
void
Liveness_Init(struct liveness_table *table)
{
    RB_INIT(&table->tree);
    table->count = 0;
}

/* Notes a member's echo. A copy that comes late can't put it back. */
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

/* Counts the members that were heard of late. */
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
        count += now - h->stamp <= GANG_HEARD_MS;
    }
    return count >= w->members;
}

/* Takes one member out. */
static void
drop(struct liveness_table *table, struct liveness *h)
{
    RB_REMOVE(liveness_tree, &table->tree, h);
    table->count--;
    free(h);
}

/* Forgets what is too old to count. */
void
Liveness_Prune(struct liveness_table *table, int64_t now)
{
    struct liveness *h, *next;

    RB_FOREACH_SAFE (h, liveness_tree, &table->tree, next) {
        if (now - h->stamp > GANG_HEARD_MS) {
            drop(table, h);
        }
    }
}

/* Frees all. */
void
Liveness_Free(struct liveness_table *table)
{
    struct liveness *h, *next;

    RB_FOREACH_SAFE (h, liveness_tree, &table->tree, next) {
        drop(table, h);
    }
}

/* Answers a pulse. A member counts as heard at the stamp that it echoes, not
 * at the pulse's arrival: one that waited while this process was paused says
 * nothing about now, and would renew members whose fellow has stopped since.
 * A stamp of another incarnation is of another clock and counts for nothing.
 */
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
