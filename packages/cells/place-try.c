#include "cells-impl.h"

#include <string.h>

/* A way with the request's data, its masks not made yet. */
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

/* Own cells first: an organisation's larger shapes must not be broken for
 * what a smaller one holds, or they could no longer be called in. */
static bool
is_better(const struct cells_score *a, const struct cells_score *b)
{
    if (a->wasted != b->wasted) {
        return a->wasted < b->wasted;
    }
    return a->cost < b->cost;
}

/* Keeps a way that has placed the request when it costs less than the best
 * one; the earlier of two equal ones stays. */
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

/* Tries one way on free accelerators. */
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

/* Tries one way with victims at one level. Returns whether that placed the
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

/* Tries one way with victims, at the lowest level that has room for the
 * gang and at the one above, where less work may be lost; and with both
 * orders of victims. */
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

/* One cell of each of an organisation's shapes, the smallest first; returns
 * how many. */
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

/* Tries one place for a request that one cell holds. */
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

/* Tries several own cells together, small ones first so that larger ones
 * stay whole, with bindings as they are and with bindings that move. */
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

/* Whether nothing is left to be gained: nobody has to go, no own cell is
 * broken, and the tasks are near each other. */
static bool
is_good_enough(const struct planner *p)
{
    return p->found && p->score.wasted == 0 &&
           (p->score.common_level == CELLS_LEVEL_WORKER || p->in_one_cell);
}

/* Healthy accelerators of own cells that no guaranteed job is on. */
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

/* Healthy accelerators without a job. */
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

/* Free accelerators of own cells, then those with lent work on them; one
 * cell that holds the request goes before several. */
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

/* Guaranteed: own cells without guaranteed work, and only then lower
 * priorities of the own organisation. */
void
Planner_TryGuaranteed(struct planner *p)
{
    if (p->org == NULL) {
        return;
    }
    /* Waiting jobs are planned again at each event, and a way that must fail
     * costs most of all. */
    if (own_available(p) >= p->req->tasks * p->req->accelerators) {
        try_own(p);
    }
    if (!p->found && p->req->preempt) {
        try_own_cells(p, VICTIMS_LENT_AND_OWN);
    }
}

/* Lent: what no cell holds, then anything free; on workers in use already
 * and on all; lower priorities last. */
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
