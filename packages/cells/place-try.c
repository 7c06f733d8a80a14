#include "cells-impl.h"

#include <string.h>

/* A way with the request's data, its masks not made yet. */
struct way
Planner_Way(const struct planner *p)
{
    return (struct way){.c = p->c,
                        .q = p->q,
                        .weights = p->weights,
                        .now = p->now,
                        .org = p->org,
                        .limit = INT32_MAX};
}

/* Own cells first: an organisation's larger shapes must not be broken for
 * what a smaller one holds, or they could no longer be called in. */
static bool
cheaper(const struct cells_score *a, const struct cells_score *b)
{
    if (a->wasted != b->wasted) {
        return a->wasted < b->wasted;
    }
    return a->cost < b->cost;
}

/* Keeps a way that has placed the request when it costs less than the best
 * one; the earlier of two equal ones stays. */
static void
weigh(struct planner *p, struct way *w)
{
    struct cells_score score = Way_Score(w, p->whole);

    p->ways++;
    if (score.near > p->q->within ||
        (p->found && !cheaper(&score, &p->score))) {
        Way_Clear(w);
        return;
    }
    Way_Clear(&p->best);
    p->best = *w;
    p->score = score;
    p->found = true;
}

/* Tries one way on free accelerators. */
static void
try_free(struct planner *p, struct way w)
{
    Way_Init(&w);
    if (Way_Fill(&w, p->whole)) {
        weigh(p, &w);
    }
    else {
        Way_Clear(&w);
    }
}

/* Tries one way with victims at one level. Returns whether that placed the
 * request. */
static bool
try_level(struct planner *p, const struct way *from, int level,
          bool by_accelerator)
{
    struct way w = Way_Copy(from);
    bool done;

    w.by_accelerator = by_accelerator;
    done = Way_Reclaim(&w, (enum cells_level)level);
    if (done) {
        weigh(p, &w);
    }
    else {
        Way_Clear(&w);
    }
    return done;
}

/* Tries one way with victims, at the lowest level that has room for the
 * gang and at the one above, where less work may be lost; and with both
 * orders of victims. */
static void
try_reclaim(struct planner *p, struct way w)
{
    int lowest;

    Way_Init(&w);
    Way_Caps(&w);
    lowest = Way_Lowest(&w);
    for (int level = lowest; level <= lowest + 1 && level <= (int)p->q->within;
         level++) {
        if (try_level(p, &w, level, false)) {
            try_level(p, &w, level, true);
        }
    }
    Way_Clear(&w);
}

/* One cell of each of an organisation's shapes, the smallest first; returns
 * how many. */
static int
own_shapes(const struct org *org, const struct cell **shape)
{
    const struct cell *cell;
    int n = 0;

    TAILQ_FOREACH (cell, &org->cells, of_org) {
        int i = 0;

        if (cell->place.workers == 0) {
            continue;
        }
        while (i < n &&
               Shape_Size(shape[i]->shape) < Shape_Size(cell->shape)) {
            i++;
        }
        if ((i < n && Shape_Same(shape[i]->shape, cell->shape)) ||
            n == SHAPES_MAX) {
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
try_choice(struct planner *p, struct way w, const struct way_choice *choice)
{
    bool done = Way_InitAt(&w, choice);

    if (done && w.victims == WAY_NO_VICTIMS) {
        done = Way_Fill(&w, p->whole);
    }
    else if (done) {
        Way_Caps(&w);
        done = Way_Lowest(&w) <= CELLS_LEVEL_RACK &&
               Way_Reclaim(&w, (enum cells_level)Way_Lowest(&w));
    }
    if (done) {
        weigh(p, &w);
    }
    else {
        Way_Clear(&w);
    }
}

/* Tries the smallest of the organisation's shapes that holds the request. */
static void
try_one_cell(struct planner *p, enum way_victims victims)
{
    const struct cell *shape[SHAPES_MAX + 1];
    int shapes = own_shapes(p->org, shape);
    struct way w = Planner_Way(p);
    bool had = p->found;

    w.victims = victims;
    w.moves = !(p->weights->baseline & CELLS_BASELINE_FIXED);
    for (int i = 0; i < shapes && p->found == had; i++) {
        struct way_choice choice[WAY_CHOICES];
        int n;

        if (!Way_ShapeHolds(&w, shape[i])) {
            continue;
        }
        n = Way_Choices(&w, p->whole, shape[i]->shape, choice);
        for (int k = 0; k < n; k++) {
            try_choice(p, w, &choice[k]);
        }
    }
}

/* Tries several own cells together, small ones first so that larger ones
 * stay whole, with bindings as they are and with bindings that move. */
static void
try_own_cells(struct planner *p, enum way_victims victims)
{
    const struct cell *shape[SHAPES_MAX + 1];
    int n = own_shapes(p->org, shape);
    bool fixed = p->weights->baseline & CELLS_BASELINE_FIXED;

    for (int i = 0; i < n; i++) {
        for (int moves = 0; moves <= !fixed; moves++) {
            struct way w = Planner_Way(p);

            w.limit = Shape_Size(shape[i]->shape);
            w.moves = moves;
            w.victims = victims;
            if (victims == WAY_NO_VICTIMS) {
                try_free(p, w);
            }
            else {
                try_reclaim(p, w);
            }
        }
    }
}

/* Whether nothing is left to be gained: nobody has to go, no own cell is
 * broken, and the tasks are near each other. */
static bool
settled(const struct planner *p)
{
    return p->found && p->score.wasted == 0 &&
           (p->score.near == CELLS_LEVEL_WORKER || p->one_cell);
}

/* Healthy accelerators of own cells that no guaranteed job is on. */
static int
own_room(const struct planner *p)
{
    const struct cell *cell;
    int room = 0;

    TAILQ_FOREACH (cell, &p->org->cells, of_org) {
        for (int i = 0; i < cell->place.workers; i++) {
            const struct worker *at = p->c->worker[cell->place.worker[i]];
            uint64_t mask = Place_Mask(p->c, &cell->place, i) & ~at->held;

            if (at->state == CELLS_WORKER_UP) {
                room += __builtin_popcountll(mask);
            }
        }
    }
    return room;
}

/* Healthy accelerators without a job. */
static int
free_room(const struct planner *p)
{
    int room = 0;

    for (int i = 0; i < p->c->workers; i++) {
        const struct worker *at = p->c->worker[i];

        if (at != NULL && at->state == CELLS_WORKER_UP) {
            room += __builtin_popcountll(at->all & ~at->busy);
        }
    }
    return room;
}

/* Free accelerators of own cells, then those with lent work on them; one
 * cell that holds the request goes before several. */
static void
try_own_room(struct planner *p)
{
    try_one_cell(p, WAY_NO_VICTIMS);
    p->one_cell = p->found;
    if (!settled(p)) {
        try_own_cells(p, WAY_NO_VICTIMS);
    }
    if (!settled(p)) {
        try_one_cell(p, WAY_LENT);
        try_own_cells(p, WAY_LENT);
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
    if (own_room(p) >= p->q->tasks * p->q->accelerators) {
        try_own_room(p);
    }
    if (!p->found && p->q->preempt) {
        try_own_cells(p, WAY_OWN);
    }
}

/* Lent: what no cell holds, then anything free; on workers in use already
 * and on all; lower priorities last. */
void
Planner_TryLent(struct planner *p)
{
    bool room = free_room(p) >= p->q->tasks * p->q->accelerators;

    for (int i = 0; room && i < 4; i++) {
        struct way w = Planner_Way(p);

        w.unbound = i < 2;
        w.tight = i % 2;
        try_free(p, w);
    }
    if (!p->found && p->q->preempt) {
        struct way w = Planner_Way(p);

        w.victims = WAY_LENT;
        try_reclaim(p, w);
    }
}
