#include "cells-impl.h"

#include <string.h>

/* Tasks that would fit on the healthy free accelerators of a place. */
static int
free_tasks(const struct way *w, const struct place *p)
{
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        const struct worker *at = w->c->worker[p->worker[i]];
        uint64_t open = Place_Mask(w->c, p, i) & ~at->busy;

        n += __builtin_popcountll(open) / w->q->accelerators;
    }
    return n;
}

/* What it costs to clear a place of all lent jobs, each counted once. */
static int64_t
clearing_cost(const struct way *w, const struct place *p)
{
    uint64_t seen[CELLS_ACCELERATORS_MAX];
    int64_t sum = 0;
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        const struct worker *at = w->c->worker[p->worker[i]];
        uint64_t busy = Place_Mask(w->c, p, i) & at->busy;

        for (; busy != 0; busy &= busy - 1) {
            const struct job *job = at->slot[__builtin_ctzll(busy)].job;
            bool known = false;

            for (int k = 0; k < n; k++) {
                known = known || seen[k] == job->request.job;
            }
            if (known) {
                continue;
            }
            if (n < CELLS_ACCELERATORS_MAX) {
                seen[n++] = job->request.job;
            }
            sum += Way_Loss(w, job);
        }
    }
    return sum;
}

/* Whether one choice comes before another: the cheaper, then an own cell,
 * then the one in a rack with fewer whole workers. */
static bool
choice_before(const struct way_choice *a, const struct way_choice *b)
{
    if (a->cost != b->cost) {
        return a->cost < b->cost;
    }
    if (a->own != b->own) {
        return a->own;
    }
    return a->whole < b->whole;
}

/* Keeps a choice among the best, in their order. */
static void
keep_choice(struct way_choice *list, int *n, struct way_choice choice)
{
    int i = *n < WAY_CHOICES ? (*n)++ : WAY_CHOICES;

    while (i > 0 && choice_before(&choice, &list[i - 1])) {
        if (i < WAY_CHOICES) {
            list[i] = list[i - 1];
        }
        i--;
    }
    if (i < WAY_CHOICES) {
        list[i] = choice;
    }
}

/* Weighs one place; one that is not free is no choice without victims. */
static void
consider(const struct way *w, const int *whole, struct way_choice choice,
         struct way_choice *list, int *n)
{
    const struct place *p = &choice.place;
    const struct node *rack = w->c->worker[p->worker[0]]->node->parent;

    choice.own = choice.there && choice.there->org == w->org;
    choice.whole = whole[rack->index];
    if (free_tasks(w, p) < w->q->tasks) {
        if (w->victims == WAY_NO_VICTIMS) {
            return;
        }
        choice.cost = clearing_cost(w, p);
    }
    keep_choice(list, n, choice);
}

/* The best places of a shape for the request: own idle cells, and, when
 * bindings may move, those of others and an unbound one. */
int
Way_Choices(const struct way *w, const int *whole, struct cells_shape shape,
            struct way_choice *list)
{
    struct place p;
    int n = 0;

    for (int i = 0; i < w->c->cells; i++) {
        struct cell *cell = w->c->cell[i];

        if (Shape_Same(cell->shape, shape) && cell->place.workers > 0 &&
            cell->held == 0 && cell->down == 0 &&
            (w->moves || cell->org == w->org)) {
            consider(w, whole,
                     (struct way_choice){
                         .shape = shape, .there = cell, .place = cell->place},
                     list, &n);
        }
    }
    if (w->moves && Bind_Find(w->c, shape, true, &p)) {
        consider(w, whole, (struct way_choice){.shape = shape, .place = p},
                 list, &n);
    }
    return n;
}

/* Whether a cell of that shape holds the whole request. */
bool
Way_ShapeHolds(const struct way *w, const struct cell *cell)
{
    int n = 0;

    for (int i = 0; i < cell->place.workers; i++) {
        uint64_t mask = Place_Mask(w->c, &cell->place, i);

        n += __builtin_popcountll(mask) / w->q->accelerators;
    }
    return n >= w->q->tasks;
}
