#include "cells-impl.h"

#include <stdlib.h>

/* A worker and the cost of placing a task there. */
struct worker_cost {
    struct worker *worker;
    int64_t cost; /* of the cheapest task */
    int cap;      /* tasks that would fit */
};

/* Jobs on one worker that may be displaced, the cheapest first. */
struct displaceable_jobs {
    int n;
    uint64_t mask[CELLS_ACCELERATORS_MAX];
    int64_t cost[CELLS_ACCELERATORS_MAX];
};

/* Inserts a job into the list, sorted by cost. */
static void
add_job(struct displaceable_jobs *jobs, uint64_t mask, int64_t cost)
{
    int i = jobs->n++;

    while (i > 0 && jobs->cost[i - 1] > cost) {
        jobs->mask[i] = jobs->mask[i - 1];
        jobs->cost[i] = jobs->cost[i - 1];
        i--;
    }
    jobs->mask[i] = mask;
    jobs->cost[i] = cost;
}

/* Lists the jobs on some accelerators of a worker. */
static void
list_jobs(const struct candidate *cand, const struct worker *w, uint64_t among,
          struct displaceable_jobs *jobs)
{
    jobs->n = 0;
    while (among != 0) {
        struct job *job = w->slot[__builtin_ctzll(among)].job;
        uint64_t own = 0;

        for (uint64_t m = among; m != 0; m &= m - 1) {
            own |= w->slot[__builtin_ctzll(m)].job == job ? m & -m : 0;
        }
        among &= ~own;
        add_job(jobs, own, Cand_VictimCost(cand, job));
    }
}

/* Adds the cheapest jobs until their accelerators and the free ones are at
 * least n, then drops the jobs that turn out to be unnecessary, the most
 * expensive first. Returns the cost of the rest, or -1 if all jobs together
 * free too few. */
static int64_t
choose_victims(const struct displaceable_jobs *jobs, uint64_t free_mask, int n,
               uint64_t *from)
{
    int64_t cost = 0;
    int used = 0;

    *from = free_mask;
    while (used < jobs->n && __builtin_popcountll(*from) < n) {
        *from |= jobs->mask[used];
        cost += jobs->cost[used++];
    }
    if (__builtin_popcountll(*from) < n) {
        return -1;
    }
    for (int i = used - 1; i >= 0; i--) {
        if (__builtin_popcountll(*from & ~jobs->mask[i]) >= n) {
            *from &= ~jobs->mask[i];
            cost -= jobs->cost[i];
        }
    }
    return cost;
}

/* Finds the accelerators for one more task on a worker at the lowest cost;
 * returns the cost, or -1 if there are too few accelerators. */
static int64_t
cheapest_task(const struct candidate *cand, const struct worker *w,
              uint64_t *from)
{
    uint64_t usable = cand->usable[w->index];
    uint64_t free_mask = usable & ~w->busy;
    struct displaceable_jobs jobs;

    *from = free_mask;
    if (__builtin_popcountll(free_mask) >= cand->req->accelerators) {
        return 0;
    }
    if (__builtin_popcountll(usable) < cand->req->accelerators) {
        return -1;
    }
    list_jobs(cand, w, usable & w->busy, &jobs);
    return choose_victims(&jobs, free_mask, cand->req->accelerators, from);
}

/* Sorts by cost, then by remaining capacity, the smallest first, then by
 * index. */
static int
cost_order(const void *a, const void *b)
{
    const struct worker_cost *x = a, *y = b;

    if (x->cost != y->cost) {
        return x->cost < y->cost ? -1 : 1;
    }
    if (x->cap != y->cap) {
        return x->cap - y->cap;
    }
    return x->worker->index - y->worker->index;
}

/* Lists all workers that could take a task, sorted by cost_order(). */
static int
list_costs(struct candidate *cand, struct worker_cost *out)
{
    int n = 0;

    Cand_UpdateCaps(cand);
    for (int i = 0; i < cand->c->workers; i++) {
        struct worker *w = cand->c->worker[i];
        uint64_t from;

        if (w == NULL || cand->cap[w->node->index] == 0) {
            continue;
        }
        out[n].worker = w;
        out[n].cap = cand->cap[w->node->index];
        out[n++].cost = cheapest_task(cand, w, &from);
    }
    qsort(out, (size_t)n, sizeof(*out), cost_order);
    return n;
}

/* Finds the node of a level in which the cheapest workers with room for all
 * tasks cost the least; NULL if no node has room. */
static struct node *
cheapest_node(const struct candidate *cand, const struct worker_cost *list,
              int n, enum cells_level level)
{
    size_t node_count = (size_t)cand->c->nodes;
    int *room CLEANUP(Mem_FreeP) = Mem_Zero(node_count, sizeof(int));
    int64_t *cost CLEANUP(Mem_FreeP) = Mem_Zero(node_count, sizeof(int64_t));
    struct node *best = NULL;

    for (int i = 0; i < n; i++) {
        struct node *node = Topo_Ancestor(list[i].worker->node, level);

        if (room[node->index] < cand->req->tasks) {
            room[node->index] += list[i].cap;
            cost[node->index] += list[i].cost;
        }
    }
    for (int i = 0; i < cand->c->nodes; i++) {
        struct node *node = cand->c->node[i];

        if (node != NULL && node->level == level &&
            room[i] >= cand->req->tasks &&
            (best == NULL || cost[i] < cost[best->index])) {
            best = node;
        }
    }
    return best;
}

/* Places one task where it costs the least now, preferably on a worker that
 * already has tasks of this job. Victims that are already chosen cost nothing
 * more, so their other accelerators are used before another gang is
 * displaced. */
static bool
take_cheapest(struct candidate *cand, struct worker_cost *list, int n,
              const struct node *below)
{
    const struct worker_cost *best = NULL;
    uint64_t best_from = 0;
    int64_t lowest_cost = 0;

    for (int i = 0; i < n; i++) {
        const struct worker *w = list[i].worker;
        uint64_t from;
        int64_t cost;

        if (Topo_Ancestor(w->node, below->level) != below) {
            continue;
        }
        cost = cheapest_task(cand, w, &from);
        if (cost < 0 || (best != NULL && cost > lowest_cost)) {
            continue;
        }
        if (best == NULL || cost < lowest_cost ||
            (cand->tasks[w->index] > 0) >
                (cand->tasks[best->worker->index] > 0)) {
            best = &list[i];
            best_from = from;
            lowest_cost = cost;
        }
    }
    return best != NULL && Cand_PlaceTask(cand, best->worker, best_from);
}

/* Places all tasks below the cheapest node of a level. */
bool
Cand_PlaceWithVictims(struct candidate *cand, enum cells_level level)
{
    struct worker_cost *list CLEANUP(Mem_FreeP) =
        Mem_Alloc(sizeof(struct worker_cost) * (size_t)cand->c->workers);
    int n = list_costs(cand, list);
    struct node *below = cheapest_node(cand, list, n, level);

    if (below == NULL) {
        return false;
    }
    while (cand->placed < cand->req->tasks &&
           take_cheapest(cand, list, n, below)) {
    }
    return cand->placed == cand->req->tasks;
}
