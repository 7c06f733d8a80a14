#include "cells-impl.h"

/* Whether node a suits n tasks better than node b: a node that holds all of
 * them is better; of two such nodes the one with less room, of two others the
 * one with more; then one that is already partly used; then one with fewer
 * empty workers, itself or in its parent. */
static bool
is_better(const struct candidate *cand, const int *empty_workers,
          const struct node *a, const struct node *b, int n)
{
    int cap_a = cand->cap[a->index], cap_b = cand->cap[b->index];
    bool fits_a = cap_a >= n, fits_b = cap_b >= n, empty_a, empty_b;

    if (fits_a != fits_b) {
        return fits_a;
    }
    if (cap_a != cap_b) {
        return fits_a ? cap_a < cap_b : cap_a > cap_b;
    }
    empty_a = empty_workers[a->index] == a->worker_count;
    empty_b = empty_workers[b->index] == b->worker_count;
    if (empty_a != empty_b) {
        return empty_b;
    }
    if (empty_workers[a->index] != empty_workers[b->index]) {
        return empty_workers[a->index] < empty_workers[b->index];
    }
    if (empty_workers[a->parent->index] != empty_workers[b->parent->index]) {
        return empty_workers[a->parent->index] <
               empty_workers[b->parent->index];
    }
    return false;
}

/* Places up to n tasks on one worker; returns how many. */
static int
fill_worker(struct candidate *cand, struct worker *w, int n)
{
    int done = 0;

    while (done < n && Cand_PlaceTask(cand, w, ~UINT64_C(0))) {
        done++;
    }
    return done;
}

/* Places up to n tasks below a node; returns how many. */
static int
fill(struct candidate *cand, const int *empty_workers, struct node *node,
     int n)
{
    int done = 0;

    if (node->worker != NULL) {
        return fill_worker(cand, node->worker, n);
    }
    while (done < n) {
        struct node *child, *best = NULL;
        int got;

        TAILQ_FOREACH (child, &node->children, sibling) {
            if (cand->cap[child->index] > 0 &&
                (best == NULL ||
                 is_better(cand, empty_workers, child, best, n - done))) {
                best = child;
            }
        }
        if (best == NULL) {
            break;
        }
        got = fill(cand, empty_workers, best, n - done);
        cand->cap[best->index] = 0;
        done += got;
    }
    return done;
}

/* Finds the tightest node of a level that holds all tasks. */
static struct node *
tightest_node(const struct candidate *cand, const int *empty_workers,
              enum cells_level level)
{
    struct node *best = NULL;

    for (int i = 0; i < cand->c->nodes; i++) {
        struct node *n = cand->c->node[i];

        if (n == NULL || n->level != level ||
            cand->cap[i] < cand->req->tasks) {
            continue;
        }
        if (best == NULL ||
            (n->parent != NULL &&
             is_better(cand, empty_workers, n, best, cand->req->tasks))) {
            best = n;
        }
    }
    return best;
}

/* Baseline policy: uses the workers with the lowest indices. */
static bool
first_fit(struct candidate *cand)
{
    for (int i = 0; i < cand->c->workers && cand->placed < cand->req->tasks;
         i++) {
        if (cand->c->worker[i] != NULL) {
            fill_worker(cand, cand->c->worker[i],
                        cand->req->tasks - cand->placed);
        }
    }
    return cand->placed == cand->req->tasks;
}

/* The lowest level at which one node has room for all tasks. */
int
Cand_LowestLevel(const struct candidate *cand)
{
    int lowest = CELLS_LEVEL_ALL + 1;

    for (int i = 0; i < cand->c->nodes; i++) {
        const struct node *n = cand->c->node[i];

        if (n != NULL && cand->cap[i] >= cand->req->tasks &&
            (int)n->level < lowest) {
            lowest = (int)n->level;
        }
    }
    return lowest;
}

/* Places all tasks in the lowest node that holds them, because a gang that is
 * spread out loses time in every step, and in the tightest one, because the
 * next large gang needs whole workers and racks, which other orders use up
 * first. */
bool
Cand_PlaceOnFree(struct candidate *cand, const int *empty_workers)
{
    int lowest;

    if (cand->weights->baseline & CELLS_BASELINE_FIRST_FIT) {
        return first_fit(cand);
    }
    Cand_UpdateCaps(cand);
    lowest = Cand_LowestLevel(cand);
    if (lowest > (int)cand->req->within) {
        return false;
    }
    fill(cand, empty_workers,
         tightest_node(cand, empty_workers, (enum cells_level)lowest),
         cand->req->tasks);
    return cand->placed == cand->req->tasks;
}
