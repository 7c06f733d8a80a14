#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* By id. */
static int
job_compare(struct job *a, struct job *b)
{
    if (a->request.job == b->request.job) {
        return 0;
    }
    return a->request.job < b->request.job ? -1 : 1;
}

/* NOLINTBEGIN(bugprone-*,clang-analyzer-*) */
RB_GENERATE(job_tree, job, entry, job_compare)
/* NOLINTEND(bugprone-*,clang-analyzer-*) */

/* The job of an id, or NULL. */
struct job *
CellsJob_Find(const struct cells *c, uint64_t id)
{
    struct job key = {.request = {.job = id}};

    return RB_FIND(job_tree, (struct job_tree *)&c->jobs, &key);
}

/* Adds n to the use of the cell under each guaranteed accelerator. */
static void
count_use(struct worker *w, uint64_t mask, int n)
{
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        struct cell *cell = w->slot[__builtin_ctzll(m)].cell;

        if (cell != NULL) {
            cell->in_use += n;
        }
    }
}

/* Points the slots of a job's accelerators at it, or at none. */
static void
set_job(struct worker *w, uint64_t mask, struct job *job)
{
    for (uint64_t m = mask; m != 0; m &= m - 1) {
        w->slot[__builtin_ctzll(m)].job = job;
    }
}

/* Puts a job on its accelerators. */
void
CellsJob_Add(struct cells *c, struct job *job)
{
    for (int i = 0; i < job->parts; i++) {
        struct worker *w = c->worker[job->part[i].worker];
        uint64_t mask = job->part[i].mask;

        if ((w->busy & mask) != 0) {
            Fatal("cells: two jobs on worker %s", w->info.name);
        }
        w->busy |= mask;
        set_job(w, mask, job);
        if (job->guaranteed) {
            w->guaranteed |= mask;
            count_use(w, mask, 1);
        }
    }
    RB_INSERT(job_tree, &c->jobs, job);
    c->job_count++;
    c->generation++;
}

/* Gives up the guaranteed standing of a job that stays where it is. */
void
CellsJob_MakeLent(struct cells *c, struct job *job)
{
    if (!job->guaranteed) {
        return;
    }
    job->guaranteed = false;
    c->generation++;
    for (int i = 0; i < job->parts; i++) {
        struct worker *w = c->worker[job->part[i].worker];

        w->guaranteed &= ~job->part[i].mask;
        count_use(w, job->part[i].mask, -1);
    }
}

/* Takes a job off its accelerators. */
void
CellsJob_Remove(struct cells *c, struct job *job)
{
    CellsJob_MakeLent(c, job);
    for (int i = 0; i < job->parts; i++) {
        struct worker *w = c->worker[job->part[i].worker];

        w->busy &= ~job->part[i].mask;
        set_job(w, job->part[i].mask, NULL);
    }
    RB_REMOVE(job_tree, &c->jobs, job);
    c->job_count--;
    c->generation++;
}

/* Takes a job off and frees it. */
void
CellsJob_Delete(struct cells *c, struct job *job)
{
    CellsJob_Remove(c, job);
    free(job->part);
    free(job);
}

/* A job that is not on the account yet. */
struct job *
CellsJob_New(struct cells *c, const struct cells_request *request,
             const struct cells_part *part, int parts, int64_t started_at)
{
    struct job *job = Mem_Zero(1, sizeof(*job));
    size_t size = sizeof(*part) * (size_t)parts;

    job->request = *request;
    job->org = Org_FindOrAdd(c, request->organisation);
    job->started_at = started_at;
    job->checkpoint_at = started_at;
    job->part = Mem_Alloc(size);
    memcpy(job->part, part, size);
    job->parts = parts;
    return job;
}

/* Takes a job off; idle cells may then leave failed workers. */
int
Cells_Release(struct cells *c, uint64_t job)
{
    struct job *found = CellsJob_Find(c, job);
    bool guaranteed;

    if (found == NULL) {
        return ERR_NOTFOUND;
    }
    guaranteed = found->guaranteed;
    CellsJob_Delete(c, found);
    if (guaranteed) {
        Bind_RebindAll(c, true);
    }
    return ERR_OK;
}

/* Notes a checkpoint; an older one than the last is left out. Plans stay
 * good: it makes no victim impossible, only cheaper. */
int
Cells_RecordCheckpoint(struct cells *c, uint64_t job, int64_t checkpoint_at)
{
    struct job *found = CellsJob_Find(c, job);

    if (found == NULL) {
        return ERR_NOTFOUND;
    }
    if (checkpoint_at > found->checkpoint_at) {
        found->checkpoint_at = checkpoint_at;
    }
    return ERR_OK;
}

/* Describes a job. */
void
CellsJob_Describe(const struct job *job, struct cells_job_info *out)
{
    out->request = job->request;
    out->guaranteed = job->guaranteed;
    out->started_at = job->started_at;
    out->checkpoint_at = job->checkpoint_at;
    out->part = job->part;
    out->parts = job->parts;
}

/* How many jobs run. */
int
Cells_JobCount(const struct cells *c)
{
    return c->job_count;
}

/* Describes the job of an id. */
bool
Cells_Job(const struct cells *c, uint64_t job, struct cells_job_info *out)
{
    const struct job *found = CellsJob_Find(c, job);

    if (found == NULL) {
        return false;
    }
    CellsJob_Describe(found, out);
    return true;
}

/* Ascending. */
static int
by_id(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Jobs with a part on one worker. */
int
Cells_JobsOnWorker(const struct cells *c, int worker, uint64_t *job, int max)
{
    const struct worker *w = Topo_Worker(c, worker);
    uint64_t all[CELLS_ACCELERATORS_MAX];
    int n = 0, found = 0;

    if (w == NULL) {
        return 0;
    }
    for (uint64_t m = w->busy; m != 0; m &= m - 1) {
        all[n++] = w->slot[__builtin_ctzll(m)].job->request.job;
    }
    qsort(all, (size_t)n, sizeof(*all), by_id);
    for (int i = 0; i < n; i++) {
        if (i > 0 && all[i] == all[i - 1]) {
            continue;
        }
        if (found < max) {
            job[found] = all[i];
        }
        found++;
    }
    return found;
}

/* A checkpoint that fits into the grace costs its own duration; otherwise
 * everything since the last one is lost. Urgent work shortens the grace: a
 * slow checkpoint must not hold up a start that is due within seconds. */
struct cells_victim
Cells_LostWork(const struct cells_job_info *job, int64_t now,
               int64_t start_within_ms)
{
    const struct cells_request *req = &job->request;
    int64_t accelerators = (int64_t)req->tasks * req->accelerators;
    int64_t since = now > job->checkpoint_at ? now - job->checkpoint_at : 0;
    struct cells_victim v = {.job = req->job, .grace_ms = req->grace_ms};

    if (start_within_ms > 0 && start_within_ms < v.grace_ms) {
        v.grace_ms = start_within_ms;
    }
    v.action = CELLS_STOP;
    if (req->checkpoint_ms >= 0 && req->checkpoint_ms <= v.grace_ms) {
        v.action = CELLS_CHECKPOINT;
        since = since < req->checkpoint_ms ? since : req->checkpoint_ms;
    }
    v.lost_work = since * accelerators;
    return v;
}
