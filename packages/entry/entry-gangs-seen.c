#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

#define ENDED_REPORT_KEEP_MS 600000 /* reports of parts that have ended */

/* Orders reports by job, then by agent. */
static int
compare(const struct part_report *a, const struct part_report *b)
{
    int c = Id_Compare(&a->part.job, &b->part.job);

    return c != 0 ? c : strcmp(a->agent, b->agent);
}

TREE_STATIC(part_report_tree, part_report, entry, compare);

/* Finds the report of an agent about its part of a job. */
static struct part_report *
find(struct part_report_tree *tree, const struct id *job, const char *agent)
{
    struct part_report key;

    key.part.job = *job;
    Str_Copy(key.agent, sizeof(key.agent), agent);
    return RB_FIND(part_report_tree, tree, &key);
}

/* Records the latest report about a part. A delayed report about an older
 * attempt is ignored. */
void
PartReports_Record(struct part_report_tree *tree, const char *agent,
                   uint64_t incarnation, const struct wire_part *part,
                   int64_t now)
{
    struct part_report *p = find(tree, &part->job, agent);

    if (p != NULL && part->attempt < p->part.attempt) {
        return;
    }
    if (p == NULL) {
        p = Mem_Zero(1, sizeof(*p));
        Str_Copy(p->agent, sizeof(p->agent), agent);
        p->part.job = part->job;
        RB_INSERT(part_report_tree, tree, p);
    }
    p->part = *part;
    p->incarnation = incarnation;
    p->received_at = now;
}

/* The latest report about a part, for other files to read. */
const struct part_report *
PartReports_Find(struct part_report_tree *tree, const struct id *job,
                 const char *agent)
{
    return find(tree, job, agent);
}

/* Frees the reports of parts that ended more than ENDED_REPORT_KEEP_MS ago. */
void
PartReports_Prune(struct part_report_tree *tree, int64_t now)
{
    struct part_report *p, *next;

    RB_FOREACH_SAFE (p, part_report_tree, tree, next) {
        if (p->part.state >= PART_STOPPED &&
            now - p->received_at > ENDED_REPORT_KEEP_MS) {
            RB_REMOVE(part_report_tree, tree, p);
            free(p);
        }
    }
}

/* Frees all reports. */
void
PartReports_Free(struct part_report_tree *tree)
{
    struct part_report *p, *next;

    RB_FOREACH_SAFE (p, part_report_tree, tree, next) {
        RB_REMOVE(part_report_tree, tree, p);
        free(p);
    }
}
