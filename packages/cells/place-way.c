#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Whether an own cell may be used in this way. */
static bool
own_open(const struct way *w, const struct cell *cell)
{
    if (cell->org != w->org || w->mark[cell->index] == WAY_GIVEN) {
        return false;
    }
    return cell->held > 0 || w->mark[cell->index] == WAY_OPENED ||
           Shape_Size(cell->shape) <= w->limit;
}

/* Bits of jobs on a worker that this way may displace, or has displaced. */
static uint64_t
displaceable(const struct way *w, const struct worker *at)
{
    uint64_t mask = 0;

    if (w->victims == WAY_NO_VICTIMS) {
        return 0;
    }
    for (uint64_t m = at->busy; m != 0; m &= m - 1) {
        if (Way_MayDisplace(w, at->slot[__builtin_ctzll(m)].job)) {
            mask |= m & -m;
        }
    }
    return mask;
}

/* Works out anew what may be taken on one worker. */
void
Way_Refresh(struct way *w, struct worker *at)
{
    uint64_t open = w->open[at->index];

    w->usable[at->index] = 0;
    if (at->state != CELLS_WORKER_UP || (w->tight && at->busy == 0)) {
        return;
    }
    if (w->org != NULL && w->moves) {
        open |= Way_Movable(w, at);
    }
    open &= ~w->taken[at->index];
    w->usable[at->index] = open & ~(at->busy & ~displaceable(w, at));
}

/* Opens the own cells that this way may use. */
static void
open_own(struct way *w)
{
    struct cell *cell;

    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        if (!own_open(w, cell)) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            w->open[cell->place.worker[i]] |=
                Place_Mask(w->c, &cell->place, i);
        }
    }
}

/* Opens what lent work may use. */
static void
open_lent(struct way *w)
{
    for (int i = 0; i < w->c->workers; i++) {
        const struct worker *at = w->c->worker[i];

        if (at != NULL) {
            w->open[i] = at->all & ~(w->unbound ? at->bound : 0);
        }
    }
}

/* Allocates the masks, all empty. */
static void
allocate(struct way *w)
{
    size_t workers = (size_t)w->c->workers;

    w->open = Mem_Zero(workers, sizeof(*w->open));
    w->usable = Mem_Zero(workers, sizeof(*w->usable));
    w->taken = Mem_Zero(workers, sizeof(*w->taken));
    w->tasks = Mem_Zero(workers, sizeof(*w->tasks));
    w->cap = Mem_Zero((size_t)w->c->nodes, sizeof(*w->cap));
    w->mark = Mem_Zero((size_t)w->c->cells, sizeof(*w->mark));
}

/* Fills the masks from the account. */
void
Way_Init(struct way *w)
{
    allocate(w);
    if (w->org != NULL) {
        open_own(w);
    }
    else {
        open_lent(w);
    }
    if (w->org != NULL && w->moves) {
        Way_CountStock(w);
    }
    for (int i = 0; i < w->c->workers; i++) {
        struct worker *at = w->c->worker[i];

        if (at != NULL && (w->open[i] != 0 || w->stocks > 0)) {
            Way_Refresh(w, at);
        }
    }
}

/* A copy of a way that has chosen nothing yet: filling the masks anew for
 * each try was most of the cost of a reclaim. */
struct way
Way_Copy(const struct way *from)
{
    struct way w = *from;
    size_t workers = (size_t)w.c->workers;

    allocate(&w);
    memcpy(w.open, from->open, workers * sizeof(*w.open));
    memcpy(w.usable, from->usable, workers * sizeof(*w.usable));
    return w;
}

/* Opens one place only, moving an own cell to it where it is not own. */
bool
Way_InitAt(struct way *w, const struct way_choice *choice)
{
    const struct place *p = &choice->place;
    struct cell *cell;

    allocate(w);
    w->moves = false;
    if (choice->own) {
        for (int i = 0; i < p->workers; i++) {
            w->open[p->worker[i]] |= Place_Mask(w->c, p, i);
        }
        Way_RefreshPlace(w, p);
        return true;
    }
    cell = Way_Mover(w, choice->shape, Place_Size(w->c, p));
    if (cell == NULL) {
        return false;
    }
    Way_Move(w, cell, p, choice->there);
    return true;
}

/* Frees the masks. */
void
Way_Clear(struct way *w)
{
    free(w->open);
    free(w->usable);
    free(w->taken);
    free(w->tasks);
    free(w->cap);
    free(w->mark);
    free(w->victim);
    free(w->move);
    memset(w, 0, sizeof(*w));
}

/* Tasks that fit, for each worker and summed up the tree. */
void
Way_Caps(struct way *w)
{
    memset(w->cap, 0, sizeof(*w->cap) * (size_t)w->c->nodes);
    for (int i = 0; i < w->c->workers; i++) {
        const struct worker *at = w->c->worker[i];
        int cap;

        if (at == NULL || w->usable[i] == 0) {
            continue;
        }
        cap = __builtin_popcountll(w->usable[i]) / w->q->accelerators;
        for (const struct node *n = at->node; n != NULL; n = n->parent) {
            w->cap[n->index] += cap;
        }
    }
}

/* Whether a job may have to go for this request. */
bool
Way_MayDisplace(const struct way *w, const struct job *job)
{
    bool lower = job->request.priority < w->q->priority;

    if (w->victims == WAY_NO_VICTIMS) {
        return false;
    }
    if (w->org == NULL) {
        return !job->guaranteed && lower;
    }
    return !job->guaranteed ||
           (w->victims == WAY_OWN && job->org == w->org && lower);
}

/* Whether a job goes already. */
bool
Way_IsVictim(const struct way *w, const struct job *job)
{
    for (int i = 0; i < w->victim_count; i++) {
        if (w->victim[i] == job) {
            return true;
        }
    }
    return false;
}

/* Makes victims of the jobs on some accelerators. */
void
Way_AddVictims(struct way *w, struct worker *at, uint64_t mask)
{
    for (uint64_t m = mask & at->busy; m != 0; m &= m - 1) {
        struct job *job = at->slot[__builtin_ctzll(m)].job;

        if (Way_IsVictim(w, job)) {
            continue;
        }
        w->victim = Mem_Grow(w->victim, sizeof(*w->victim) *
                                            (size_t)(w->victim_count + 1));
        w->victim[w->victim_count++] = job;
    }
}

/* What it costs that a job goes; nothing more when it goes already. */
int64_t
Way_Loss(const struct way *w, const struct job *job)
{
    int64_t anew =
        INT64_C(1000) * VICTIM_COST * w->q->tasks * w->q->accelerators;
    struct cells_job_info info;
    int64_t loss;

    if (Way_IsVictim(w, job)) {
        return 0;
    }
    if (w->weights->baseline & CELLS_BASELINE_ANY_VICTIM) {
        return (int64_t)(Hash_Bytes(&job->request.job,
                                    sizeof(job->request.job), 0) >>
                         32);
    }
    Jobs_Info(job, &info);
    loss =
        anew + Cells_LostWork(&info, w->now, w->q->start_within_ms).lost_work;
    if (w->by_accelerator) {
        loss = loss * w->q->accelerators /
               ((int64_t)info.request.tasks * info.request.accelerators);
    }
    return loss;
}

/* Out of the blocks of p in from, the one that breaks the smallest block. */
static uint64_t
tightest_block(uint64_t from, int p)
{
    uint64_t best = 0;
    int least = 0;

    for (int first = 0; first < 64; first += p) {
        uint64_t m = Block_Mask(first, p);
        int around;

        if ((m & from) != m) {
            continue;
        }
        around = Block_Enclosing(from, from, first, p);
        if (best == 0 || around < least) {
            best = m;
            least = around;
        }
    }
    return best;
}

/* The bits of n accelerators as few and as whole blocks. */
static uint64_t
pick_blocks(uint64_t from, int n)
{
    uint64_t picked = 0;

    while (n > 0) {
        int p = 1 << (31 - __builtin_clz((unsigned)n));
        uint64_t m = tightest_block(from, p);

        while (m == 0) {
            p /= 2;
            m = tightest_block(from, p);
        }
        picked |= m;
        from &= ~m;
        n -= p;
    }
    return picked;
}

/* n accelerators out of from, which has that many; of the preferred ones
 * alone when they suffice. */
uint64_t
Way_Pick(uint64_t from, uint64_t prefer, int n)
{
    if (__builtin_popcountll(from & prefer) >= n) {
        from &= prefer;
    }
    return pick_blocks(from, n);
}

/* Takes accelerators for one task. */
bool
Way_Take(struct way *w, struct worker *at, uint64_t from)
{
    uint64_t mask;

    from &= w->usable[at->index];
    if (__builtin_popcountll(from) < w->q->accelerators) {
        return false;
    }
    if (w->weights->baseline & CELLS_BASELINE_FIRST_FIT) {
        mask = 0;
        for (int i = 0; i < w->q->accelerators; i++) {
            mask |= from & -from;
            from &= from - 1;
        }
    }
    else {
        mask = Way_Pick(from, w->open[at->index], w->q->accelerators);
    }
    if (w->org != NULL && !Way_Open(w, at, mask)) {
        return false;
    }
    w->taken[at->index] |= mask;
    w->usable[at->index] &= ~mask;
    w->tasks[at->index]++;
    w->placed++;
    Way_AddVictims(w, at, mask);
    return true;
}
