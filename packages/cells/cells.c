#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Creates a state without workers. */
struct cells *
Cells_New(void)
{
    struct cells *c = Mem_Zero(1, sizeof(*c));

    TAILQ_INIT(&c->orgs);
    RB_INIT(&c->jobs);
    Topo_AddRoot(c);
    return c;
}

/* Frees a worker with its slots. */
static void
free_worker(struct worker *w)
{
    if (w != NULL) {
        free(w->slot);
        free(w);
    }
}

/* Frees all jobs. */
static void
free_jobs(struct cells *c)
{
    struct job *job;

    while ((job = RB_MIN(job_tree, &c->jobs)) != NULL) {
        RB_REMOVE(job_tree, &c->jobs, job);
        free(job->part);
        free(job);
    }
}

/* Frees the state with everything in it. */
void
Cells_Free(struct cells *c)
{
    struct org *org;

    if (c == NULL) {
        return;
    }
    free_jobs(c);
    for (int i = 0; i < c->cells; i++) {
        free(c->cell[i]);
    }
    for (int i = 0; i < c->workers; i++) {
        free_worker(c->worker[i]);
    }
    for (int i = 0; i < c->nodes; i++) {
        free(c->node[i]);
    }
    while ((org = TAILQ_FIRST(&c->orgs)) != NULL) {
        TAILQ_REMOVE(&c->orgs, org, entry);
        free(org);
    }
    free(c->cell);
    free(c->worker);
    free(c->node);
    free(c);
}

/* Frees the state that a local variable points to. */
void
Cells_FreeP(struct cells **c)
{
    Cells_Free(*c);
    *c = NULL;
}

/* Finds an organisation by name; NULL if there is none. */
struct org *
Org_Find(const struct cells *c, const char *name)
{
    struct org *org;

    TAILQ_FOREACH (org, &c->orgs, entry) {
        if (strcmp(org->name, name) == 0) {
            return org;
        }
    }
    return NULL;
}

/* Finds an organisation by name, and adds it if there is none. */
struct org *
Org_FindOrAdd(struct cells *c, const char *name)
{
    struct org *org = Org_Find(c, name);

    if (org == NULL) {
        org = Mem_Zero(1, sizeof(*org));
        org->index = c->org_count++;
        Str_Copy(org->name, sizeof(org->name), name);
        TAILQ_INIT(&org->cells);
        TAILQ_INSERT_TAIL(&c->orgs, org, entry);
    }
    return org;
}

/* Copies the organisations, in their order, and their cells with the bindings.
 */
static void
clone_cells(struct cells *to, const struct cells *from)
{
    struct org *org;

    TAILQ_FOREACH (org, &from->orgs, entry) {
        Org_FindOrAdd(to, org->name);
    }
    to->cells = from->cells;
    to->cell = Mem_Zero((size_t)from->cells, sizeof(*to->cell));
    for (int i = 0; i < from->cells; i++) {
        struct cell *cell = Mem_Zero(1, sizeof(*cell));

        cell->index = i;
        cell->shape = from->cell[i]->shape;
        to->cell[i] = cell;
    }
    TAILQ_FOREACH (org, &from->orgs, entry) {
        struct org *copy = Org_Find(to, org->name);
        struct cell *cell;

        TAILQ_FOREACH (cell, &org->cells, org_entry) {
            to->cell[cell->index]->org = copy;
            TAILQ_INSERT_TAIL(&copy->cells, to->cell[cell->index], org_entry);
        }
    }
    for (int i = 0; i < from->cells; i++) {
        if (from->cell[i]->place.workers > 0) {
            Bind_Set(to, to->cell[i], &from->cell[i]->place);
        }
    }
}

/* Copies the jobs onto their accelerators. */
static void
clone_jobs(struct cells *to, const struct cells *from)
{
    struct job *job;

    RB_FOREACH (job, job_tree, (struct job_tree *)&from->jobs) {
        struct job *copy = Mem_Zero(1, sizeof(*copy));
        size_t size = sizeof(*job->part) * (size_t)job->parts;

        *copy = *job;
        copy->org = Org_FindOrAdd(to, job->org->name);
        copy->part = Mem_Alloc(size);
        memcpy(copy->part, job->part, size);
        CellsJob_Add(to, copy);
    }
}

/* Returns a copy that shares no memory with the original and gives the same
 * results. */
struct cells *
Cells_Clone(const struct cells *c)
{
    struct cells *to = Mem_Zero(1, sizeof(*to));

    TAILQ_INIT(&to->orgs);
    RB_INIT(&to->jobs);
    Topo_CloneInto(to, c);
    clone_cells(to, c);
    clone_jobs(to, c);
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] != NULL) {
            to->worker[i]->binding_version = c->worker[i]->binding_version;
        }
    }
    to->generation = c->generation;
    to->binding_version = c->binding_version;
    return to;
}

/* Counts the free accelerators below a node: those on empty workers in
 * *on_empty, and the most on a single worker in *most_on_one. */
static void
count_free(const struct node *n, int *on_empty, int *most_on_one)
{
    const struct node *child;

    if (n->worker != NULL) {
        const struct worker *w = n->worker;
        int unused = __builtin_popcountll(w->all & ~w->busy);

        if (w->state != CELLS_WORKER_UP) {
            return;
        }
        *on_empty += w->busy == 0 ? unused : 0;
        *most_on_one = unused > *most_on_one ? unused : *most_on_one;
        return;
    }
    TAILQ_FOREACH (child, &n->children, sibling) {
        count_free(child, on_empty, most_on_one);
    }
}

/* Size of the largest free block below a node. */
static int
largest_below(const struct node *n)
{
    int on_empty = 0, most_on_one = 0;

    count_free(n, &on_empty, &most_on_one);
    return on_empty > most_on_one ? on_empty : most_on_one;
}

/* Counts the healthy accelerators below a node. */
static int
healthy_below(const struct node *n)
{
    const struct node *child;
    int sum = 0;

    if (n->worker != NULL) {
        return n->worker->state == CELLS_WORKER_UP
                   ? n->worker->info.accelerators
                   : 0;
    }
    TAILQ_FOREACH (child, &n->children, sibling) {
        sum += healthy_below(child);
    }
    return sum;
}

/* Adds one worker to the counts. */
static void
count_worker(const struct worker *w, struct cells_counts *out)
{
    out->accelerators += w->info.accelerators;
    out->bound += __builtin_popcountll(w->bound);
    out->guaranteed += __builtin_popcountll(w->guaranteed);
    out->lent += __builtin_popcountll(w->busy & ~w->guaranteed);
    if (w->state == CELLS_WORKER_UP) {
        out->healthy += w->info.accelerators;
        out->free += __builtin_popcountll(w->all & ~w->busy);
    }
}

/* Counts accelerators by use, and the largest free blocks. */
void
Cells_Counts(const struct cells *c, struct cells_counts *out)
{
    memset(out, 0, sizeof(*out));
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] != NULL) {
            count_worker(c->worker[i], out);
        }
    }
    for (int i = 0; i < c->nodes; i++) {
        const struct node *n = c->node[i];
        int block, healthy;

        if (n == NULL ||
            (n->level != CELLS_LEVEL_RACK && n->level != CELLS_LEVEL_DOMAIN)) {
            continue;
        }
        block = largest_below(n);
        if (n->level == CELLS_LEVEL_RACK) {
            out->largest_free_rack = block > out->largest_free_rack
                                         ? block
                                         : out->largest_free_rack;
            continue;
        }
        healthy = healthy_below(n);
        out->largest_free =
            block > out->largest_free ? block : out->largest_free;
        out->largest_domain =
            healthy > out->largest_domain ? healthy : out->largest_domain;
    }
}

/* The share of free accelerators outside the largest block that could be free
 * in one failure domain. */
int
Cells_Fragmentation(const struct cells *c)
{
    struct cells_counts n;
    int possible;

    Cells_Counts(c, &n);
    possible = n.free < n.largest_domain ? n.free : n.largest_domain;
    if (possible == 0) {
        return 0;
    }
    return 1000 - 1000 * n.largest_free / possible;
}

#define REASON(r, name) [r] = (name)

static const char *const reasons[] = {
    REASON(CELLS_PLACED_FREE, "placed_free"),
    REASON(CELLS_PLACED_MOVED, "placed_moved"),
    REASON(CELLS_PLACED_RECLAIM, "placed_reclaim"),
    REASON(CELLS_PLACED_PREEMPT, "placed_preempt"),
    REASON(CELLS_WAIT_FULL, "wait_full"),
    REASON(CELLS_WAIT_FRAGMENTED, "wait_fragmented"),
    REASON(CELLS_WAIT_GUARANTEE, "wait_guarantee"),
    REASON(CELLS_WAIT_HEALTH, "wait_health"),
    REASON(CELLS_NEVER_TASK, "never_task"),
    REASON(CELLS_NEVER_GANG, "never_gang"),
    REASON(CELLS_NEVER_WITHIN, "never_within"),
    REASON(CELLS_NEVER_GUARANTEE, "never_guarantee"),
    REASON(CELLS_NEVER_INVALID, "never_invalid"),
};

/* The reason's name in logs and replies. */
const char *
Cells_ReasonName(enum cells_reason reason)
{
    return (size_t)reason < COUNT_OF(reasons) ? reasons[reason] : "unnamed";
}

/* Whether a plan with this reason can be committed. */
bool
Cells_IsPlaced(enum cells_reason reason)
{
    return reason <= CELLS_PLACED_PREEMPT;
}

/* Whether the request can never be placed, however long it waits. */
bool
Cells_IsUnplaceable(enum cells_reason reason)
{
    return reason >= CELLS_NEVER_TASK;
}
