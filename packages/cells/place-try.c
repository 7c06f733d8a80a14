#include "cells-impl.h"

#include <string.h>

/* Returns a candidate with the request's data and without masks. */
struct candidate
Planner_NewCandidate(const struct planner *p)
{
    return (struct candidate){.c = p->c,
                              .req = p->req,
                              .weights = p->weights,
                              .now = p->now,
                              .org = p->org,
                              .max_rank = INT32_MAX};
}

/* Compares by wasted accelerators first: a larger cell must not be used for a
 * request that a smaller one holds, or the organisation could no longer use
 * the larger one. */
static bool
is_better(const struct cells_score *a, const struct cells_score *b)
{
    if (a->wasted != b->wasted) {
        return a->wasted < b->wasted;
    }
    return a->cost < b->cost;
}

/* Keeps a candidate that has placed the request if it is better than the best
 * so far; of equal ones the earlier stays. */
static void
keep_if_better(struct planner *p, struct candidate *cand)
{
    struct cells_score score = Cand_Score(cand, p->empty_workers);

    p->candidates++;
    if (score.common_level > p->req->within ||
        (p->found && !is_better(&score, &p->score))) {
        Cand_Clear(cand);
        return;
    }
    Cand_Clear(&p->best);
    p->best = *cand;
    p->score = score;
    p->found = true;
}

/* Tries a candidate on free accelerators. */
static void
try_free(struct planner *p, struct candidate cand)
{
    Cand_Init(&cand);
    if (Cand_PlaceOnFree(&cand, p->empty_workers)) {
        keep_if_better(p, &cand);
    }
    else {
        Cand_Clear(&cand);
    }
}

/* Tries a candidate with victims at one level. Returns whether it placed the
 * request. */
static bool
try_level(struct planner *p, const struct candidate *from, int level,
          bool cost_per_accelerator)
{
    struct candidate cand = Cand_Copy(from);
    bool done;

    cand.cost_per_accelerator = cost_per_accelerator;
    done = Cand_PlaceWithVictims(&cand, (enum cells_level)level);
    if (done) {
        keep_if_better(p, &cand);
    }
    else {
        Cand_Clear(&cand);
    }
    return done;
}

/* Tries candidates with victims at the lowest level that has room for the gang
 * and at the level above, where less work may be lost, each with both orders
 * of victims. */
static void
try_reclaim(struct planner *p, struct candidate cand)
{
    int lowest;

    Cand_Init(&cand);
    Cand_UpdateCaps(&cand);
    lowest = Cand_LowestLevel(&cand);
    for (int level = lowest;
         level <= lowest + 1 && level <= (int)p->req->within; level++) {
        if (try_level(p, &cand, level, false)) {
            try_level(p, &cand, level, true);
        }
    }
    Cand_Clear(&cand);
}

/* Lists one cell for each of an organisation's shapes, the smallest first;
 * returns how many. */
static int
own_shapes(const struct org *org, const struct cell **shape)
{
    const struct cell *cell;
    int n = 0;

    TAILQ_FOREACH (cell, &org->cells, org_entry) {
        int i = 0;

        if (cell->place.workers == 0) {
            continue;
        }
        while (i < n &&
               Shape_Rank(shape[i]->shape) < Shape_Rank(cell->shape)) {
            i++;
        }
        if ((i < n && Shape_Same(shape[i]->shape, cell->shape)) ||
            n == OWN_SHAPES_MAX) {
            continue;
        }
        memmove(&shape[i + 1], &shape[i],
                sizeof(struct cell *) * (size_t)(n - i));
        shape[i] = cell;
        n++;
    }
    return n;
}

/* Tries one place for a request that fits into one cell. */
static void
try_place(struct planner *p, struct candidate cand,
          const struct place_choice *choice)
{
    bool done = Cand_InitAtPlace(&cand, choice);

    if (done && cand.victim_rule == VICTIMS_NONE) {
        done = Cand_PlaceOnFree(&cand, p->empty_workers);
    }
    else if (done) {
        Cand_UpdateCaps(&cand);
        done = Cand_LowestLevel(&cand) <= CELLS_LEVEL_RACK &&
               Cand_PlaceWithVictims(
                   &cand, (enum cells_level)Cand_LowestLevel(&cand));
    }
    if (done) {
        keep_if_better(p, &cand);
    }
    else {
        Cand_Clear(&cand);
    }
}

/* Tries the smallest of the organisation's shapes that holds the request. */
static void
try_one_cell(struct planner *p, enum victim_rule rule)
{
    const struct cell *shape[OWN_SHAPES_MAX + 1];
    int shapes = own_shapes(p->org, shape);
    struct candidate cand = Planner_NewCandidate(p);
    bool found_before = p->found;

    cand.victim_rule = rule;
    cand.may_move = !(p->weights->baseline & CELLS_BASELINE_FIXED);
    for (int i = 0; i < shapes && p->found == found_before; i++) {
        struct place_choice choice[PLACE_CHOICES_MAX];
        int n;

        if (!Cand_FitsCell(&cand, shape[i])) {
            continue;
        }
        n = Cand_ListPlaces(&cand, p->empty_workers, shape[i]->shape, choice);
        for (int k = 0; k < n; k++) {
            try_place(p, cand, &choice[k]);
        }
    }
}

/* Tries several own cells together, first the small ones alone so that larger
 * ones stay free, with and without moving cells. */
static void
try_own_cells(struct planner *p, enum victim_rule rule)
{
    const struct cell *shape[OWN_SHAPES_MAX + 1];
    int n = own_shapes(p->org, shape);
    bool fixed = p->weights->baseline & CELLS_BASELINE_FIXED;

    for (int i = 0; i < n; i++) {
        for (int moves = 0; moves <= !fixed; moves++) {
            struct candidate cand = Planner_NewCandidate(p);

            cand.max_rank = Shape_Rank(shape[i]->shape);
            cand.may_move = moves;
            cand.victim_rule = rule;
            if (rule == VICTIMS_NONE) {
                try_free(p, cand);
            }
            else {
                try_reclaim(p, cand);
            }
        }
    }
}

/* Whether the search may stop before it considers victims: no accelerators are
 * wasted, and all tasks are on one worker or in one cell. */
static bool
is_good_enough(const struct planner *p)
{
    return p->found && p->score.wasted == 0 &&
           (p->score.common_level == CELLS_LEVEL_WORKER || p->in_one_cell);
}

/* Counts the healthy accelerators of own cells without a guaranteed job. */
static int
own_available(const struct planner *p)
{
    const struct cell *cell;
    int available = 0;

    TAILQ_FOREACH (cell, &p->org->cells, org_entry) {
        for (int i = 0; i < cell->place.workers; i++) {
            const struct worker *w = p->c->worker[cell->place.worker[i]];
            uint64_t mask = Place_Mask(p->c, &cell->place, i) & ~w->guaranteed;

            if (w->state == CELLS_WORKER_UP) {
                available += __builtin_popcountll(mask);
            }
        }
    }
    return available;
}

/* Counts the healthy accelerators without a job. */
static int
free_accelerators(const struct planner *p)
{
    int available = 0;

    for (int i = 0; i < p->c->workers; i++) {
        const struct worker *w = p->c->worker[i];

        if (w != NULL && w->state == CELLS_WORKER_UP) {
            available += __builtin_popcountll(w->all & ~w->busy);
        }
    }
    return available;
}

/* Tries the free accelerators of own cells, then also those with lent jobs on
 * them; a single cell that holds the request precedes several cells. */
static void
try_own(struct planner *p)
{
    try_one_cell(p, VICTIMS_NONE);
    p->in_one_cell = p->found;
    if (!is_good_enough(p)) {
        try_own_cells(p, VICTIMS_NONE);
    }
    if (!is_good_enough(p)) {
        try_one_cell(p, VICTIMS_LENT);
        try_own_cells(p, VICTIMS_LENT);
    }
}

/* Tries own cells without guaranteed jobs, and only then displaces guaranteed
 * jobs of the own organisation with a lower priority. */
void
Planner_TryGuaranteed(struct planner *p)
{
    if (p->org == NULL) {
        return;
    }
    /* Waiting jobs are planned again at each event, and candidates that can't
     * succeed are the most expensive ones. */
    if (own_available(p) >= p->req->tasks * p->req->accelerators) {
        try_own(p);
    }
    if (!p->found && p->req->preempt) {
        try_own_cells(p, VICTIMS_LENT_AND_OWN);
    }
}

/* Tries accelerators that no cell is bound to, then any free ones, each time
 * first on workers that are already in use; displaces jobs of lower priority
 * last. */
void
Planner_TryLent(struct planner *p)
{
    bool enough_free =
        free_accelerators(p) >= p->req->tasks * p->req->accelerators;

    for (int i = 0; enough_free && i < 4; i++) {
        struct candidate cand = Planner_NewCandidate(p);

        cand.unbound_only = i < 2;
        cand.skip_empty = i % 2;
        try_free(p, cand);
    }
    if (!p->found && p->req->preempt) {
        struct candidate cand = Planner_NewCandidate(p);

        cand.victim_rule = VICTIMS_LENT;
        try_reclaim(p, cand);
    }
}
