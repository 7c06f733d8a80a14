#include "cells-impl.h"

#include <stdlib.h>

/* A worker and what a task would cost there. */
struct offer {
    struct worker *worker;
    int64_t loss; /* of the cheapest task */
    int cap;      /* tasks that would fit */
};

/* Jobs on one worker that may go, the cheapest first. */
struct candidates {
    int n;
    uint64_t bits[CELLS_ACCELERATORS_MAX];
    int64_t loss[CELLS_ACCELERATORS_MAX];
};

/* Puts a job in its place by loss, the cheapest first. */
static void
add_candidate(struct candidates *cand, uint64_t bits, int64_t loss)
{
    int i = cand->n++;

    while (i > 0 && cand->loss[i - 1] > loss) {
        cand->bits[i] = cand->bits[i - 1];
        cand->loss[i] = cand->loss[i - 1];
        i--;
    }
    cand->bits[i] = bits;
    cand->loss[i] = loss;
}

/* Lists the jobs on some accelerators of a worker. */
static void
find_candidates(const struct way *w, const struct worker *at, uint64_t among,
                struct candidates *cand)
{
    cand->n = 0;
    while (among != 0) {
        struct job *job = at->slot[__builtin_ctzll(among)].job;
        uint64_t mask = 0;

        for (uint64_t m = among; m != 0; m &= m - 1) {
            mask |= at->slot[__builtin_ctzll(m)].job == job ? m & -m : 0;
        }
        among &= ~mask;
        add_candidate(cand, mask, Way_Loss(w, job));
    }
}

/* Takes the cheapest candidates until there are n accelerators beside those
 * that are free, and then leaves out, the dearest first, what is not needed.
 * Returns the loss, or -1 when even all of them are too few. */
static int64_t
choose(const struct candidates *cand, uint64_t open, int n, uint64_t *from)
{
    int64_t loss = 0;
    int used = 0;

    *from = open;
    while (used < cand->n && __builtin_popcountll(*from) < n) {
        *from |= cand->bits[used];
        loss += cand->loss[used++];
    }
    if (__builtin_popcountll(*from) < n) {
        return -1;
    }
    for (int i = used - 1; i >= 0; i--) {
        if (__builtin_popcountll(*from & ~cand->bits[i]) >= n) {
            *from &= ~cand->bits[i];
            loss -= cand->loss[i];
        }
    }
    return loss;
}

/* The accelerators that one more task could have here for the least loss;
 * returns the loss, or -1 when there are too few. */
static int64_t
offer_task(const struct way *w, const struct worker *at, uint64_t *from)
{
    uint64_t usable = w->usable[at->index];
    uint64_t open = usable & ~at->busy;
    struct candidates cand;

    *from = open;
    if (__builtin_popcountll(open) >= w->q->accelerators) {
        return 0;
    }
    if (__builtin_popcountll(usable) < w->q->accelerators) {
        return -1;
    }
    find_candidates(w, at, usable & at->busy, &cand);
    return choose(&cand, open, w->q->accelerators, from);
}

/* Cheapest first; of equal ones the tighter, then by index. */
static int
offer_order(const void *a, const void *b)
{
    const struct offer *x = a, *y = b;

    if (x->loss != y->loss) {
        return x->loss < y->loss ? -1 : 1;
    }
    if (x->cap != y->cap) {
        return x->cap - y->cap;
    }
    return x->worker->index - y->worker->index;
}

/* All workers that could take a task, in the order above. */
static int
offers(struct way *w, struct offer *out)
{
    int n = 0;

    Way_Caps(w);
    for (int i = 0; i < w->c->workers; i++) {
        struct worker *at = w->c->worker[i];
        uint64_t from;

        if (at == NULL || w->cap[at->node->index] == 0) {
            continue;
        }
        out[n].worker = at;
        out[n].cap = w->cap[at->node->index];
        out[n++].loss = offer_task(w, at, &from);
    }
    qsort(out, (size_t)n, sizeof(*out), offer_order);
    return n;
}

/* The node of a level where the cheapest offers that hold all tasks cost
 * the least; NULL when none holds them. */
static struct node *
cheapest_node(const struct way *w, const struct offer *offer, int n,
              enum cells_level level)
{
    size_t nodes = (size_t)w->c->nodes;
    int *have CLEANUP(Mem_FreeP) = Mem_Zero(nodes, sizeof(int));
    int64_t *cost CLEANUP(Mem_FreeP) = Mem_Zero(nodes, sizeof(int64_t));
    struct node *best = NULL;

    for (int i = 0; i < n; i++) {
        struct node *at = Topo_Above(offer[i].worker->node, level);

        if (have[at->index] < w->q->tasks) {
            have[at->index] += offer[i].cap;
            cost[at->index] += offer[i].loss;
        }
    }
    for (int i = 0; i < w->c->nodes; i++) {
        struct node *at = w->c->node[i];

        if (at != NULL && at->level == level && have[i] >= w->q->tasks &&
            (best == NULL || cost[i] < cost[best->index])) {
            best = at;
        }
    }
    return best;
}

/* Puts one task where it costs least now, on a worker in use before another
 * one. Victims chosen already cost nothing more: their other accelerators
 * are used before another gang is stopped. */
static bool
take_cheapest(struct way *w, struct offer *offer, int n,
              const struct node *below)
{
    const struct offer *best = NULL;
    uint64_t best_from = 0;
    int64_t least = 0;

    for (int i = 0; i < n; i++) {
        const struct worker *at = offer[i].worker;
        uint64_t from;
        int64_t loss;

        if (Topo_Above(at->node, below->level) != below) {
            continue;
        }
        loss = offer_task(w, at, &from);
        if (loss < 0 || (best != NULL && loss > least)) {
            continue;
        }
        if (best == NULL || loss < least ||
            (w->tasks[at->index] > 0) > (w->tasks[best->worker->index] > 0)) {
            best = &offer[i];
            best_from = from;
            least = loss;
        }
    }
    return best != NULL && Way_Take(w, best->worker, best_from);
}

/* Displaces the least work at one level. */
bool
Way_Reclaim(struct way *w, enum cells_level level)
{
    struct offer *offer CLEANUP(Mem_FreeP) =
        Mem_Alloc(sizeof(struct offer) * (size_t)w->c->workers);
    int n = offers(w, offer);
    struct node *below = cheapest_node(w, offer, n, level);

    if (below == NULL) {
        return false;
    }
    while (w->placed < w->q->tasks && take_cheapest(w, offer, n, below)) {
    }
    return w->placed == w->q->tasks;
}
