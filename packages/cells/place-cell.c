#include "cells-impl.h"

#include <string.h>

/* Counts the tasks that fit on the free accelerators of a place. */
static int
free_tasks(const struct candidate *cand, const struct place *p)
{
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        const struct worker *w = cand->c->worker[p->worker[i]];
        uint64_t free_mask = Place_Mask(cand->c, p, i) & ~w->busy;

        n += __builtin_popcountll(free_mask) / cand->req->accelerators;
    }
    return n;
}

/* Cost of displacing the lent jobs on a place, each counted once. */
static int64_t
clearing_cost(const struct candidate *cand, const struct place *p)
{
    uint64_t seen[CELLS_ACCELERATORS_MAX];
    int64_t sum = 0;
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        const struct worker *w = cand->c->worker[p->worker[i]];
        uint64_t busy = Place_Mask(cand->c, p, i) & w->busy;

        for (; busy != 0; busy &= busy - 1) {
            const struct job *job = w->slot[__builtin_ctzll(busy)].job;
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
            sum += Cand_VictimCost(cand, job);
        }
    }
    return sum;
}

/* Whether one choice precedes another: the cheaper one, then a place of an own
 * cell, then the one in the rack with fewer empty workers. */
static bool
choice_before(const struct place_choice *a, const struct place_choice *b)
{
    if (a->cost != b->cost) {
        return a->cost < b->cost;
    }
    if (a->own != b->own) {
        return a->own;
    }
    return a->empty_workers < b->empty_workers;
}

/* Inserts a choice into the sorted list of the best ones. */
static void
keep_choice(struct place_choice *list, int *n, struct place_choice choice)
{
    int i = *n < PLACE_CHOICES_MAX ? (*n)++ : PLACE_CHOICES_MAX;

    while (i > 0 && choice_before(&choice, &list[i - 1])) {
        if (i < PLACE_CHOICES_MAX) {
            list[i] = list[i - 1];
        }
        i--;
    }
    if (i < PLACE_CHOICES_MAX) {
        list[i] = choice;
    }
}

/* Adds a place to the list. A place that is not free is skipped if the
 * candidate allows no victims. */
static void
add_choice(const struct candidate *cand, const int *empty_workers,
           struct place_choice choice, struct place_choice *list, int *n)
{
    const struct place *p = &choice.place;
    const struct node *rack = cand->c->worker[p->worker[0]]->node->parent;

    choice.own = choice.bound_cell && choice.bound_cell->org == cand->org;
    choice.empty_workers = empty_workers[rack->index];
    if (free_tasks(cand, p) < cand->req->tasks) {
        if (cand->victim_rule == VICTIMS_NONE) {
            return;
        }
        choice.cost = clearing_cost(cand, p);
    }
    keep_choice(list, n, choice);
}

/* Lists the best places of a shape for the request: those of own idle cells
 * and, if cells may move, those of other idle cells and an unbound one. */
int
Cand_ListPlaces(const struct candidate *cand, const int *empty_workers,
                struct cells_shape shape, struct place_choice *list)
{
    struct place p;
    int n = 0;

    for (int i = 0; i < cand->c->cells; i++) {
        struct cell *cell = cand->c->cell[i];

        if (Shape_Same(cell->shape, shape) && cell->place.workers > 0 &&
            cell->in_use == 0 && cell->workers_down == 0 &&
            (cand->may_move || cell->org == cand->org)) {
            add_choice(cand, empty_workers,
                       (struct place_choice){.shape = shape,
                                             .bound_cell = cell,
                                             .place = cell->place},
                       list, &n);
        }
    }
    if (cand->may_move && Bind_Find(cand->c, shape, true, &p)) {
        add_choice(cand, empty_workers,
                   (struct place_choice){.shape = shape, .place = p}, list,
                   &n);
    }
    return n;
}

/* Whether a cell of this shape can hold the whole request. */
bool
Cand_FitsCell(const struct candidate *cand, const struct cell *cell)
{
    int n = 0;

    for (int i = 0; i < cell->place.workers; i++) {
        uint64_t mask = Place_Mask(cand->c, &cell->place, i);

        n += __builtin_popcountll(mask) / cand->req->accelerators;
    }
    return n >= cand->req->tasks;
}
