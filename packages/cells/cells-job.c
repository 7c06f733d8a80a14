#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Orders jobs by id. */
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

/* Finds a job by id; NULL if there is none. */
struct job *
CellsJob_Find(const struct cells *c, uint64_t id)
{
    struct job key = {.request = {.job = id}};

    return RB_FIND(job_tree, (struct job_tree *)&c->jobs, &key);
}

/* Adds n to the use count of the cells under some accelerators, for each
 * accelerator. */
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

/* Records which job is on some accelerators of a worker; NULL: none. */
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
            Fatal("cells: two jobs on the same accelerators of worker %s",
                  w->info.name);
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

/* Makes a guaranteed job lent; it continues on its accelerators. */
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

/* Removes a job from its accelerators. */
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

/* Removes a job and frees it. */
void
CellsJob_Delete(struct cells *c, struct job *job)
{
    CellsJob_Remove(c, job);
    free(job->part);
    free(job);
}

/* Creates a job without adding it to the state. */
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

/* Removes a job. If it was guaranteed, its cells are idle now and may move off
 * failed workers. */
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

/* Records a checkpoint, unless a later one is known. Existing plans stay
 * valid, as a checkpoint only lowers the cost of a victim. */
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

/* The number of running jobs. */
int
Cells_JobCount(const struct cells *c)
{
    return c->job_count;
}

/* Describes the job with an id. */
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

/* Orders ids ascending. */
static int
by_id(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Lists the jobs with tasks on one worker. */
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

/* A checkpoint that fits into the grace time costs its own duration; otherwise
 * all work since the last checkpoint is lost. An urgent job shortens the grace
 * time, because a slow checkpoint must not delay a start that is due within
 * seconds. */
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
