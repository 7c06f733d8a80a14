#include "cells-bench.h"

#include <stdlib.h>
#include <string.h>

/* How much longer a gang runs when its lowest common node is a worker, a
 * rack, a failure domain, a region, or none. Assumed, not measured: 1.5 ms
 * between domains against microseconds within a rack. */
static const double SLOWDOWN[] = {1.00, 1.02, 1.10, 1.25, 1.40};

#define CHECKPOINT_EVERY_MS (30 * MINUTE_MS)
#define REPAIR_MS (2 * HOUR_MS)

struct drive {
    const struct site *site;
    const struct variant *variant;
    struct place_options options;
    struct cells *c;
    struct bench_job *jobs;
    int n;
    int arrived; /* jobs[0..arrived) have */
    int *queue;  /* indices, in the order of service */
    int queued;
    int *running;
    int runs;
    int64_t now;
    int64_t last_change;
    int64_t *repair_at; /* by worker; 0: up */
    int64_t next_failure;
    struct rng rng;
    bool starved; /* a gang waits though enough is free */
    double starved_ms;
    double frag_sum;
    int64_t lost;
    int64_t victims;
    int64_t moves;
    int64_t refused;
    int64_t gangs;
    int64_t near_gangs;
};

/* Urgent first, then guaranteed, then by arrival. */
static int
service_class(const struct bench_job *job)
{
    return job->urgent ? 0 : job->request.guaranteed ? 1 : 2;
}

/* Puts a job into the queue behind those that go before it. */
static void
enqueue(struct drive *d, int index)
{
    const struct bench_job *job = &d->jobs[index];
    int i = d->queued++;

    while (i > 0) {
        const struct bench_job *before = &d->jobs[d->queue[i - 1]];

        if (service_class(before) < service_class(job) ||
            (service_class(before) == service_class(job) &&
             d->queue[i - 1] < index)) {
            break;
        }
        d->queue[i] = d->queue[i - 1];
        i--;
    }
    d->queue[i] = index;
}

/* Takes the i-th out of the queue. */
static int
dequeue(struct drive *d, int i)
{
    int index = d->queue[i];

    memmove(&d->queue[i], &d->queue[i + 1],
            sizeof(*d->queue) * (size_t)(--d->queued - i));
    return index;
}

/* Takes a job off the list of running ones. */
static void
not_running(struct drive *d, int index)
{
    for (int i = 0; i < d->runs; i++) {
        if (d->running[i] == index) {
            d->running[i] = d->running[--d->runs];
            break;
        }
    }
    d->jobs[index].running = false;
}

/* When a job last made its regular checkpoint. */
static int64_t
last_checkpoint(const struct bench_job *job, int64_t now)
{
    int64_t since = now - job->began_at;

    if (!job->checkpoints) {
        return job->began_at;
    }
    return job->began_at + since / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
}

/* Tells the account of all checkpoints since the last time. */
static void
note_checkpoints(struct drive *d)
{
    for (int i = 0; i < d->runs; i++) {
        const struct bench_job *job = &d->jobs[d->running[i]];

        Cells_RecordCheckpoint(d->c, job->request.job,
                               last_checkpoint(job, d->now));
    }
}

/* Stops an attempt; what is kept of its work shortens the next one. */
static void
stop_job(struct drive *d, int index, int64_t kept_until)
{
    struct bench_job *job = &d->jobs[index];
    int64_t kept = kept_until - job->began_at;
    int64_t accelerators =
        (int64_t)job->request.tasks * job->request.accelerators;

    job->left_ms -= (int64_t)((double)kept / job->slowdown);
    if (job->left_ms < SECOND_MS) {
        job->left_ms = SECOND_MS;
    }
    d->lost += (d->now - kept_until) * accelerators;
    not_running(d, index);
    enqueue(d, index);
}

/* Stops the victims of a plan; returns the longest grace among them. */
static int64_t
stop_victims(struct drive *d, const struct cells_plan *plan)
{
    int64_t delay = 0;

    for (int i = 0; i < plan->victims; i++) {
        int index = (int)plan->victim[i].job - 1;
        const struct bench_job *job = &d->jobs[index];
        bool saved = plan->victim[i].action == CELLS_CHECKPOINT;
        int64_t took = saved ? job->request.checkpoint_ms : 0;

        delay = took > delay ? took : delay;
        stop_job(d, index, saved ? d->now : last_checkpoint(job, d->now));
    }
    d->victims += plan->victims;
    d->moves += plan->moves;
    return delay;
}

/* Starts a job on its plan. */
static void
start_job(struct drive *d, int index, const struct cells_plan *plan)
{
    struct bench_job *job = &d->jobs[index];
    int64_t delay;

    if (Cells_Commit(d->c, plan) != ERR_OK) {
        Fatal("bench: a plan of the same account was refused");
    }
    delay = stop_victims(d, plan);
    job->running = true;
    job->began_at = d->now + delay;
    job->slowdown = SLOWDOWN[plan->score.common_level];
    job->ends_at =
        job->began_at + (int64_t)((double)job->left_ms * job->slowdown);
    if (job->first_start == 0) {
        job->first_start = job->began_at;
        job->start_delay = job->began_at - job->arrived_at;
    }
    if (job->request.tasks * job->request.accelerators >= LARGE_GANG) {
        d->gangs++;
        d->near_gangs += plan->score.common_level <= CELLS_LEVEL_RACK;
    }
    d->running[d->runs++] = index;
}

/* The best gang to move others for: the first that waits in pieces. */
static bool
try_defrag(struct drive *d)
{
    for (int i = 0; i < d->queued && i < PLACE_LOOKAHEAD; i++) {
        const struct cells_request *q = &d->jobs[d->queue[i]].request;
        struct place_defrag f;
        enum place_defrag_reason reason;

        if (q->guaranteed) {
            continue;
        }
        reason = Place_Defrag(d->c, q, &d->options.weights, d->now, &f);
        if (reason == PLACE_DEFRAG_PAYS) {
            start_job(d, dequeue(d, i), &f.plan);
        }
        Place_DefragClear(&f);
        return reason == PLACE_DEFRAG_PAYS;
    }
    return false;
}

/* Notes whether a lent job of the queue waits for want of one piece. */
static void
note_starved(struct drive *d)
{
    d->starved = false;
    for (int i = 0; i < d->queued && i < PLACE_LOOKAHEAD; i++) {
        const struct cells_request *q = &d->jobs[d->queue[i]].request;
        struct cells_plan plan;

        if (q->guaranteed) {
            continue;
        }
        Cells_Plan(d->c, q, &d->options.weights, d->now, &plan);
        d->starved = plan.reason == CELLS_WAIT_FRAGMENTED;
        Cells_PlanClear(&plan);
        return;
    }
}

/* A guarantee was refused: whether an idle healthy cell would have held the
 * request. Must never be. */
static void
note_refusal(struct drive *d, const struct cells_request *q)
{
    struct cells_binding b;

    for (int i = 0; q->guaranteed && Cells_Binding(d->c, i, &b); i++) {
        int holds = 0;

        for (int k = 0; k < b.workers; k++) {
            holds += __builtin_popcountll(b.mask[k]) / q->accelerators;
        }
        d->refused += b.healthy && !b.used && holds >= q->tasks &&
                      strcmp(b.organisation, q->organisation) == 0;
    }
}

/* One decision on the queue; false when nothing more can be done now. */
static bool
decide(struct drive *d, struct cells_request *requests)
{
    struct place_decision next;
    int n = 0;
    bool more = true;

    for (; n < d->queued && n <= PLACE_LOOKAHEAD; n++) {
        requests[n] = d->jobs[d->queue[n]].request;
    }
    Place_Next(d->c, requests, n, &d->options, d->now, &next);
    if (next.reason == PLACE_WAIT || next.reason == PLACE_EMPTY) {
        if (n > 0) {
            note_refusal(d, &requests[0]);
        }
        more = d->variant->defrag && try_defrag(d);
    }
    else if (next.reason == PLACE_NEVER) {
        int index = dequeue(d, next.index);

        /* More than the organisation's cells hold: runs as lent. */
        if (!d->jobs[index].request.guaranteed) {
            Fatal("bench: job %d can never run", index);
        }
        d->jobs[index].request.guaranteed = false;
        d->jobs[index].request.preempt = false;
        enqueue(d, index);
    }
    else {
        start_job(d, dequeue(d, next.index), &next.plan);
    }
    Place_DecisionClear(&next);
    return more;
}

/* Lets time pass up to a moment, adding up what lasts. */
static void
pass_time(struct drive *d, int64_t to)
{
    double span = (double)(to - d->now);

    d->starved_ms += d->starved ? span : 0;
    d->frag_sum += span * Cells_Fragmentation(d->c) / 1000.0;
    d->now = to;
}

/* Whose end is next; -1 when nothing runs. */
static int
next_end(const struct drive *d)
{
    int best = -1;

    for (int i = 0; i < d->runs; i++) {
        int index = d->running[i];

        if (best < 0 || d->jobs[index].ends_at < d->jobs[best].ends_at ||
            (d->jobs[index].ends_at == d->jobs[best].ends_at &&
             index < best)) {
            best = index;
        }
    }
    return best;
}

/* A worker fails; what runs on it starts anew from its last checkpoint. */
static void
fail_worker(struct drive *d)
{
    int worker = (int)(Rng_Next(&d->rng) % (uint64_t)d->site->workers);
    uint64_t job[CELLS_ACCELERATORS_MAX];
    int n = Cells_JobsOnWorker(d->c, worker, job, CELLS_ACCELERATORS_MAX);

    d->next_failure += (int64_t)(2.0 * Rng_Unit(&d->rng) * (double)DAY_MS /
                                 d->site->failures_a_day);
    if (d->repair_at[worker] != 0) {
        return;
    }
    d->repair_at[worker] = d->now + REPAIR_MS;
    Cells_SetWorkerState(d->c, worker, CELLS_WORKER_FAILED);
    for (int i = 0; i < n; i++) {
        int index = (int)job[i] - 1;

        Cells_Release(d->c, job[i]);
        stop_job(d, index, last_checkpoint(&d->jobs[index], d->now));
    }
}

/* The worker whose repair is next; -1 for none. */
static int
next_repair(const struct drive *d)
{
    int best = -1;

    for (int i = 0; i < d->site->workers; i++) {
        if (d->repair_at[i] != 0 &&
            (best < 0 || d->repair_at[i] < d->repair_at[best])) {
            best = i;
        }
    }
    return best;
}

/* Goes to the next event and carries it out; false when there is none. */
static bool
step(struct drive *d)
{
    int end = next_end(d), repair = next_repair(d);
    int64_t at = INT64_MAX;

    at = d->arrived < d->n ? d->jobs[d->arrived].arrived_at : at;
    at = end >= 0 && d->jobs[end].ends_at < at ? d->jobs[end].ends_at : at;
    if (at == INT64_MAX && repair < 0) {
        return false;
    }
    at = repair >= 0 && d->repair_at[repair] < at ? d->repair_at[repair] : at;
    at = d->arrived < d->n && d->next_failure < at ? d->next_failure : at;
    pass_time(d, at < d->now ? d->now : at);
    if (d->arrived < d->n && at == d->jobs[d->arrived].arrived_at) {
        enqueue(d, d->arrived++);
    }
    else if (end >= 0 && at == d->jobs[end].ends_at) {
        not_running(d, end);
        d->jobs[end].done = true;
        d->jobs[end].ended_at = at;
        Cells_Release(d->c, d->jobs[end].request.job);
    }
    else if (repair >= 0 && at == d->repair_at[repair]) {
        d->repair_at[repair] = 0;
        Cells_SetWorkerState(d->c, repair, CELLS_WORKER_UP);
    }
    else {
        fail_worker(d);
    }
    return true;
}

/* Ascending. */
static int
ascending(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* A quantile of n values, which are sorted for it. */
static double
quantile(double *value, int n, double q)
{
    if (n == 0) {
        return 0;
    }
    qsort(value, (size_t)n, sizeof(*value), ascending);
    return value[(int)(q * (n - 1))];
}

/* Jain's index of the organisations' mean stretch (completion over run). */
static double
jain(const struct drive *d)
{
    double sum = 0, squares = 0;
    int orgs = 0;

    for (int o = 0; o < d->site->organisations; o++) {
        char name[NAME_SIZE];
        double stretch = 0;
        int jobs = 0;

        Site_Organisation(o, name, sizeof(name));
        for (int i = 0; i < d->n; i++) {
            const struct bench_job *job = &d->jobs[i];

            if (job->done && strcmp(job->request.organisation, name) == 0) {
                stretch += (double)(job->ended_at - job->arrived_at) /
                           (double)job->run_ms;
                jobs++;
            }
        }
        if (jobs > 0) {
            stretch /= jobs;
            sum += stretch;
            squares += stretch * stretch;
            orgs++;
        }
    }
    return orgs > 0 ? sum * sum / (orgs * squares) : 0;
}

/* Works out the figures of a run. */
static void
summarise(const struct drive *d, int days, struct outcome *out)
{
    double *all CLEANUP(Mem_FreeP) = Mem_Zero((size_t)d->n, sizeof(double));
    double *large CLEANUP(Mem_FreeP) = Mem_Zero((size_t)d->n, sizeof(double));
    int n = 0, larges = 0, urgent = 0, late = 0;

    out->completion_mean = 0;
    for (int i = 0; i < d->n; i++) {
        const struct bench_job *job = &d->jobs[i];
        double hours =
            (double)(job->ended_at - job->arrived_at) / (double)HOUR_MS;

        urgent += job->urgent;
        late += job->urgent && job->start_delay > URGENT_MS;
        if (!job->done) {
            continue;
        }
        all[n++] = hours;
        out->completion_mean += hours;
        if (job->request.tasks * job->request.accelerators >= LARGE_GANG) {
            large[larges++] = hours;
        }
    }
    out->completion_mean /= n > 0 ? n : 1;
    out->completion_median = quantile(all, n, 0.5);
    out->completion_p99 = quantile(all, n, 0.99);
    out->large_p99 = quantile(large, larges, 0.99);
    out->near =
        d->gangs ? 100.0 * (double)d->near_gangs / (double)d->gangs : 100;
    out->fragmentation = 100.0 * d->frag_sum / (double)d->now;
    out->waited_enough = 100.0 * d->starved_ms / (double)d->now;
    out->jain = jain(d);
    out->urgent_late = urgent ? 100.0 * late / urgent : 0;
    out->lost_work = (double)d->lost / (double)HOUR_MS / days;
    out->victims = (double)d->victims / days;
    out->moves = (double)d->moves / days;
    out->refused = (double)d->refused;
    out->unfinished = d->n - n;
}

/* Runs one variant over one seed's arrivals until all jobs have ended. */
void
Drive(const struct site *site, const struct variant *variant, int days,
      uint64_t seed, struct outcome *out)
{
    struct drive d = {.site = site, .variant = variant, .rng = {seed + 1}};
    struct cells_request requests[PLACE_LOOKAHEAD + 1];

    d.options.weights = site->weights;
    d.options.weights.baseline = variant->baseline;
    if (variant->completion + variant->fragmentation > 0) {
        d.options.weights.completion = variant->completion;
        d.options.weights.fragmentation = variant->fragmentation;
    }
    d.options.no_reservation = variant->no_reservation;
    d.options.no_backfill = variant->no_backfill;
    d.c = Site_Build(site);
    d.jobs = Site_Jobs(site, days, seed, &d.n);
    d.queue = Mem_Zero((size_t)d.n, sizeof(int));
    d.running = Mem_Zero((size_t)d.n, sizeof(int));
    d.repair_at = Mem_Zero((size_t)site->workers, sizeof(int64_t));
    d.next_failure = DAY_MS / site->failures_a_day;
    while (step(&d)) {
        note_checkpoints(&d);
        while (decide(&d, requests)) {
        }
        note_starved(&d);
    }
    summarise(&d, days, out);
    Cells_Free(d.c);
    free(d.jobs);
    free(d.queue);
    free(d.running);
    free(d.repair_at);
}
