#include "agent.h"

#include <stdlib.h>

/* Orders the tree by job. */
static int
compare(const struct spent_rank *a, const struct spent_rank *b)
{
    return Id_Compare(&a->job, &b->job);
}

TREE_STATIC(spent_tree, spent_rank, entry, compare);

/* Compares ranks by attempt, then by term. */
int
Rank_Compare(uint64_t attempt, uint64_t term, uint64_t other_attempt,
             uint64_t other_term)
{
    if (attempt != other_attempt) {
        return attempt < other_attempt ? -1 : 1;
    }
    if (term != other_term) {
        return term < other_term ? -1 : 1;
    }
    return 0;
}

/* Finds the highest spent rank of a job. */
static struct spent_rank *
find(struct parts *p, const struct id *job)
{
    struct spent_rank key = {.job = *job};

    return RB_FIND(spent_tree, &p->spent, &key);
}

/* True when this rank or a higher one of the job is spent. */
bool
Spent_Covers(struct parts *p, const struct id *job, uint64_t attempt,
             uint64_t term)
{
    const struct spent_rank *s = find(p, job);

    return s != NULL && Rank_Compare(s->attempt, s->term, attempt, term) >= 0;
}

/* Spends a rank and all below it. */
void
Spent_Raise(struct parts *p, const struct id *job, uint64_t attempt,
            uint64_t term, int64_t now)
{
    struct spent_rank *s = find(p, job);

    if (s == NULL) {
        s = Mem_Zero(1, sizeof(*s));
        s->job = *job;
        RB_INSERT(spent_tree, &p->spent, s);
        p->spent_count++;
    }
    s->at = now;
    if (Rank_Compare(s->attempt, s->term, attempt, term) < 0) {
        s->attempt = attempt;
        s->term = term;
    }
}

/* Removes one record. */
static void
forget(struct parts *p, struct spent_rank *s)
{
    RB_REMOVE(spent_tree, &p->spent, s);
    p->spent_count--;
    free(s);
}

/* Removes ranks that were spent SPENT_KEEP_MS ago or earlier. */
void
Spent_Sweep(struct parts *p, int64_t now)
{
    struct spent_rank *s, *next;

    RB_FOREACH_SAFE (s, spent_tree, &p->spent, next) {
        if (now - s->at >= SPENT_KEEP_MS) {
            forget(p, s);
        }
    }
}

/* Removes all records. */
void
Spent_Free(struct parts *p)
{
    struct spent_rank *s, *next;

    RB_FOREACH_SAFE (s, spent_tree, &p->spent, next) {
        forget(p, s);
    }
}
