#include "cells-impl.h"

/* Whether a node is a better choice than another for n tasks: one that holds
 * them all before one that doesn't; the tighter of two that do, the roomier
 * of two that don't; then one that is broken into already; then the one in a
 * part with fewer whole workers. */
static bool
better(const struct way *w, const int *whole, const struct node *a,
       const struct node *b, int n)
{
    int ca = w->cap[a->index], cb = w->cap[b->index];
    bool fa = ca >= n, fb = cb >= n, wa, wb;

    if (fa != fb) {
        return fa;
    }
    if (ca != cb) {
        return fa ? ca < cb : ca > cb;
    }
    wa = whole[a->index] == a->below;
    wb = whole[b->index] == b->below;
    if (wa != wb) {
        return wb;
    }
    if (whole[a->index] != whole[b->index]) {
        return whole[a->index] < whole[b->index];
    }
    if (whole[a->parent->index] != whole[b->parent->index]) {
        return whole[a->parent->index] < whole[b->parent->index];
    }
    return false;
}

/* Puts up to n tasks on one worker; returns how many. */
static int
fill_worker(struct way *w, struct worker *at, int n)
{
    int done = 0;

    while (done < n && Way_Take(w, at, ~UINT64_C(0))) {
        done++;
    }
    return done;
}

/* Puts up to n tasks below a node; returns how many. */
static int
fill(struct way *w, const int *whole, struct node *at, int n)
{
    int done = 0;

    if (at->worker != NULL) {
        return fill_worker(w, at->worker, n);
    }
    while (done < n) {
        struct node *child, *best = NULL;
        int got;

        TAILQ_FOREACH (child, &at->children, sibling) {
            if (w->cap[child->index] > 0 &&
                (best == NULL || better(w, whole, child, best, n - done))) {
                best = child;
            }
        }
        if (best == NULL) {
            break;
        }
        got = fill(w, whole, best, n - done);
        w->cap[best->index] = 0;
        done += got;
    }
    return done;
}

/* The tightest node of a level that holds all tasks. */
static struct node *
tightest_node(const struct way *w, const int *whole, enum cells_level level)
{
    struct node *best = NULL;

    for (int i = 0; i < w->c->nodes; i++) {
        struct node *n = w->c->node[i];

        if (n == NULL || n->level != level || w->cap[i] < w->q->tasks) {
            continue;
        }
        if (best == NULL ||
            (n->parent != NULL && better(w, whole, n, best, w->q->tasks))) {
            best = n;
        }
    }
    return best;
}

/* Baseline: the lowest workers that have room. */
static bool
first_fit(struct way *w)
{
    for (int i = 0; i < w->c->workers && w->placed < w->q->tasks; i++) {
        if (w->c->worker[i] != NULL) {
            fill_worker(w, w->c->worker[i], w->q->tasks - w->placed);
        }
    }
    return w->placed == w->q->tasks;
}

/* The lowest level at which one node has room for all tasks. */
int
Way_Lowest(const struct way *w)
{
    int lowest = CELLS_LEVEL_ALL + 1;

    for (int i = 0; i < w->c->nodes; i++) {
        const struct node *n = w->c->node[i];

        if (n != NULL && w->cap[i] >= w->q->tasks && (int)n->level < lowest) {
            lowest = (int)n->level;
        }
    }
    return lowest;
}

/* Lowest node first. Adjacent: a gang that is spread pays in every step. And
 * tight: the next large gang needs whole workers and racks, which the other
 * orders break first. */
bool
Way_Fill(struct way *w, const int *whole)
{
    int lowest;

    if (w->weights->baseline & CELLS_BASELINE_FIRST_FIT) {
        return first_fit(w);
    }
    Way_Caps(w);
    lowest = Way_Lowest(w);
    if (lowest > (int)w->q->within) {
        return false;
    }
    fill(w, whole, tightest_node(w, whole, (enum cells_level)lowest),
         w->q->tasks);
    return w->placed == w->q->tasks;
}
