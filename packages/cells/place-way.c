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

/* Whether a cell could change places with another one of its shape: idle,
 * healthy, and untouched by this way. */
static bool
may_exchange(const struct way *w, const struct cell *cell)
{
    return cell->place.workers > 0 && cell->held == 0 && cell->down == 0 &&
           w->mark[cell->index] == WAY_UNTOUCHED;
}

/* Accelerators of all workers of a place, to tell places apart that have
 * the same shape on workers of different size. */
static int
place_accelerators(const struct way *w, const struct place *p)
{
    int n = 0;

    for (int i = 0; i < p->workers; i++) {
        n += __builtin_popcountll(Place_Mask(w->c, p, i));
    }
    return n;
}

/* An own idle cell of the shape that could move to a place of that many
 * accelerators; one whose present place is occupied by lent work first. */
static struct cell *
mover(const struct way *w, struct cells_shape shape, int accelerators)
{
    struct cell *cell, *found = NULL;

    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        bool busy = false;

        if (!Shape_Same(cell->shape, shape) || !may_exchange(w, cell) ||
            place_accelerators(w, &cell->place) != accelerators) {
            continue;
        }
        for (int i = 0; i < cell->place.workers; i++) {
            const struct worker *at = w->c->worker[cell->place.worker[i]];

            busy = busy || (at->busy & Place_Mask(w->c, &cell->place, i));
        }
        if (busy) {
            return cell;
        }
        found = cell;
    }
    return found;
}

/* The unbound place of a shape around one accelerator, untouched by this
 * way. */
static bool
unbound_place(const struct way *w, const struct worker *at, int bit,
              struct cells_shape shape, struct place *out)
{
    const struct node *n;
    uint64_t open = at->all & ~at->bound & ~w->open[at->index];

    memset(out, 0, sizeof(*out));
    if (shape.workers == 0) {
        out->mask = Block_Mask(bit / shape.accelerators * shape.accelerators,
                               shape.accelerators);
        out->workers = 1;
        out->worker[0] = at->index;
        return (out->mask & open) == out->mask;
    }
    if (open != at->all || at->node->parent->unbound < shape.workers) {
        return false;
    }
    out->worker[out->workers++] = at->index;
    TAILQ_FOREACH (n, &at->node->parent->children, sibling) {
        const struct worker *other = n->worker;

        if (out->workers < shape.workers && other != at && other->bound == 0 &&
            w->open[other->index] == 0 && other->state == CELLS_WORKER_UP) {
            out->worker[out->workers++] = other->index;
        }
    }
    return out->workers == shape.workers;
}

/* The place that an own cell would move to in order to cover one accelerator
 * that is not its organisation's; the cell, or NULL when none can. */
static struct cell *
find_move(const struct way *w, const struct worker *at, int bit,
          struct place *to)
{
    struct cell *there = at->slot[bit].cell, *cell, *best = NULL;

    if (there != NULL) {
        if (there->org == w->org || !may_exchange(w, there) ||
            Shape_Size(there->shape) > w->limit) {
            return NULL;
        }
        *to = there->place;
        return mover(w, there->shape, place_accelerators(w, to));
    }
    TAILQ_FOREACH (cell, &w->org->cells, of_org) {
        struct place p;

        if (!may_exchange(w, cell) || Shape_Size(cell->shape) > w->limit ||
            (best && Shape_Size(cell->shape) >= Shape_Size(best->shape)) ||
            !unbound_place(w, at, bit, cell->shape, &p)) {
            continue;
        }
        best = mover(w, cell->shape, place_accelerators(w, &p));
        *to = p;
    }
    return best;
}

/* Accelerators of a worker that own cells could move to. */
static uint64_t
movable_mask(const struct way *w, const struct worker *at)
{
    uint64_t mask = 0;

    for (int i = 0; i < at->info.accelerators; i++) {
        struct place to;
        uint64_t bit = UINT64_C(1) << i;

        if ((mask & bit) != 0 || (w->open[at->index] & bit) != 0) {
            continue;
        }
        if (find_move(w, at, i, &to) != NULL) {
            mask |= to.mask ? to.mask : at->all;
        }
    }
    return mask;
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
        open |= movable_mask(w, at);
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

/* Allocates the masks and fills them from the account. */
void
Way_Init(struct way *w)
{
    size_t workers = (size_t)w->c->workers;

    w->open = Mem_Zero(workers, sizeof(*w->open));
    w->usable = Mem_Zero(workers, sizeof(*w->usable));
    w->taken = Mem_Zero(workers, sizeof(*w->taken));
    w->tasks = Mem_Zero(workers, sizeof(*w->tasks));
    w->cap = Mem_Zero((size_t)w->c->nodes, sizeof(*w->cap));
    w->mark = Mem_Zero((size_t)w->c->cells, sizeof(*w->mark));
    if (w->org != NULL) {
        open_own(w);
    }
    else {
        open_lent(w);
    }
    for (int i = 0; i < w->c->workers; i++) {
        struct worker *at = w->c->worker[i];

        if (at != NULL && (w->open[i] != 0 || w->moves)) {
            Way_Refresh(w, at);
        }
    }
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

    if (Way_IsVictim(w, job)) {
        return 0;
    }
    if (w->weights->baseline & CELLS_BASELINE_ANY_VICTIM) {
        return (int64_t)(Hash_Bytes(&job->request.job,
                                    sizeof(job->request.job), 0) >>
                         32);
    }
    Jobs_Info(job, &info);
    return anew +
           Cells_LostWork(&info, w->now, w->q->start_within_ms).lost_work;
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

/* Refreshes all workers of a place. */
static void
refresh_place(struct way *w, const struct place *p)
{
    for (int i = 0; i < p->workers; i++) {
        Way_Refresh(w, w->c->worker[p->worker[i]]);
    }
}

/* Notes that an own cell moves, and closes what it leaves. */
static void
add_move(struct way *w, struct cell *cell, const struct place *to,
         struct cell *partner)
{
    struct cells_move *m;

    w->move =
        Mem_Grow(w->move, sizeof(*w->move) * (size_t)(w->move_count + 1));
    m = &w->move[w->move_count++];
    memset(m, 0, sizeof(*m));
    m->cell = cell->index;
    m->partner = partner ? partner->index : CELLS_NONE;
    m->workers = to->workers;
    for (int i = 0; i < to->workers; i++) {
        m->worker[i] = to->worker[i];
        m->mask[i] = Place_Mask(w->c, to, i);
        w->open[to->worker[i]] |= m->mask[i];
    }
    for (int i = 0; i < cell->place.workers; i++) {
        w->open[cell->place.worker[i]] &= ~Place_Mask(w->c, &cell->place, i);
    }
    w->mark[cell->index] = WAY_GIVEN;
    if (partner != NULL) {
        w->mark[partner->index] = WAY_GIVEN;
    }
    refresh_place(w, &cell->place);
    refresh_place(w, to);
}

/* Opens the cells under the accelerators, moving some where they are not
 * the organisation's own. */
static bool
open_cells(struct way *w, struct worker *at, uint64_t mask)
{
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        int bit = __builtin_ctzll(m);
        struct cell *there = at->slot[bit].cell, *cell;
        struct place to;

        if ((w->open[at->index] & (m & -m)) != 0) {
            if (there != NULL && there->org == w->org &&
                w->mark[there->index] == WAY_UNTOUCHED) {
                w->mark[there->index] = WAY_OPENED;
            }
            continue;
        }
        cell = find_move(w, at, bit, &to);
        if (cell == NULL) {
            return false;
        }
        add_move(w, cell, &to, there);
    }
    return true;
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
    if (w->org != NULL && !open_cells(w, at, mask)) {
        return false;
    }
    w->taken[at->index] |= mask;
    w->usable[at->index] &= ~mask;
    w->tasks[at->index]++;
    w->placed++;
    Way_AddVictims(w, at, mask);
    return true;
}
