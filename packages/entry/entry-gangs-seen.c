#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

#define SEEN_KEEP_MS 600000 /* of a part that has ended */

/* By job, then by agent. */
static int
compare(const struct seen *a, const struct seen *b)
{
    int c = Id_Compare(&a->part.job, &b->part.job);

    return c != 0 ? c : strcmp(a->agent, b->agent);
}

TREE_STATIC(seen_tree, seen, entry, compare);

/* Finds a part. */
static struct seen *
find(struct seen_tree *tree, const struct id *job, const char *agent)
{
    struct seen key;

    key.part.job = *job;
    Str_Copy(key.agent, sizeof(key.agent), agent);
    return RB_FIND(seen_tree, tree, &key);
}

/* Notes the newest word on a part. Words of an older attempt that come late
 * are left out. */
void
Seen_Note(struct seen_tree *tree, const char *agent, uint64_t incarnation,
          const struct wire_part *part, int64_t now)
{
    struct seen *p = find(tree, &part->job, agent);

    if (p != NULL && part->attempt < p->part.attempt) {
        return;
    }
    if (p == NULL) {
        p = Mem_Zero(1, sizeof(*p));
        Str_Copy(p->agent, sizeof(p->agent), agent);
        p->part.job = part->job;
        RB_INSERT(seen_tree, tree, p);
    }
    p->part = *part;
    p->incarnation = incarnation;
    p->at = now;
}

/* The last word on a part. */
const struct seen *
Seen_Find(struct seen_tree *tree, const struct id *job, const char *agent)
{
    return find(tree, job, agent);
}

/* Forgets parts that ended long ago. */
void
Seen_Prune(struct seen_tree *tree, int64_t now)
{
    struct seen *p, *next;

    RB_FOREACH_SAFE (p, seen_tree, tree, next) {
        if (p->part.state >= PART_STOPPED && now - p->at > SEEN_KEEP_MS) {
            RB_REMOVE(seen_tree, tree, p);
            free(p);
        }
    }
}

/* Frees all. */
void
Seen_Free(struct seen_tree *tree)
{
    struct seen *p, *next;

    RB_FOREACH_SAFE (p, seen_tree, tree, next) {
        RB_REMOVE(seen_tree, tree, p);
        free(p);
    }
}
