#include "load-bench.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Jobs of one accelerator each on a pool, so that only their order counts. */
#define POOL 88
#define JOBS 4000
#define LOAD 1.1
#define HOUR_MS 3600000.0
#define CLASSES 6

enum rule { RULE_FCFS, RULE_DECLARED, RULE_CHOSEN, RULE_COUNT };

static const char *const rule_names[RULE_COUNT] = {
    "first come first served", "shortest declared first", "chosen"};

struct job {
    int64_t submitted_at;
    int64_t declared_ms;
    int64_t ran_ms;
    int64_t started_at;
    int class_of;
};

/* How a class's declared times are off: by a factor, and by a spread of
 * factors (standard deviation of the logarithm). */
struct honesty {
    const char *name;
    double factor[CLASSES];
    double spread;
};

static const struct honesty cases[] = {
    {"declared as it is", {1, 1, 1, 1, 1, 1}, 0},
    {"each class off by its factor", {0.1, 8, 1, 4, 0.2, 1}, 0.2},
    {"declared times say nothing", {1, 1, 1, 1, 1, 1}, 3},
};

/* Next random number (SplitMix64). */
static double
uniform(uint64_t *state)
{
    uint64_t z = *state += 0x9e3779b97f4a7c15u;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    z ^= z >> 31;
    return (double)((z >> 11) + 1) / 9007199254740992.0;
}

/* A normal variate (Box and Muller). */
static double
normal(uint64_t *state)
{
    double r = sqrt(-2 * log(uniform(state)));

    return r * cos(6.283185307179586 * uniform(state));
}

/* Makes jobs of minutes to a day, six classes whose typical times are half an
 * order of magnitude apart. */
static void
make_jobs(struct job *job, const struct honesty *h, uint64_t seed)
{
    uint64_t random = seed;
    double at = 0, work = 0;
    int i;

    for (i = 0; i < JOBS; i++) {
        struct job *j = &job[i];
        double typical;

        j->class_of = (int)(uniform(&random) * CLASSES) % CLASSES;
        typical = 0.05 * pow(3, j->class_of) * HOUR_MS;
        j->ran_ms = (int64_t)(typical * exp(0.6 * normal(&random)));
        j->declared_ms =
            (int64_t)fmax(1000, (double)j->ran_ms * h->factor[j->class_of] *
                                    exp(h->spread * normal(&random)));
        work += (double)j->ran_ms;
    }
    for (i = 0; i < JOBS; i++) {
        at -= log(uniform(&random)) * work / JOBS / POOL / LOAD;
        job[i].submitted_at = (int64_t)at;
    }
}

/* The place of a job under the baselines. */
static int64_t
baseline_key(const struct job *j, enum rule rule)
{
    return rule == RULE_FCFS ? j->submitted_at : j->declared_ms;
}

/* Takes the next queued job by a baseline. */
static int
next_baseline(const struct job *job, const bool *queued, int arrived,
              enum rule rule)
{
    int i, best = -1;

    for (i = 0; i < arrived; i++) {
        if (queued[i] && (best < 0 || baseline_key(&job[i], rule) <
                                          baseline_key(&job[best], rule))) {
            best = i;
        }
    }
    return best;
}

/* The id that stands for a job. */
static struct id
id_of(int index)
{
    struct id id = {{0}};

    memcpy(id.b, &index, sizeof(index));
    return id;
}

/* Queues a job with the chosen order. */
static void
add(struct order *o, const struct job *j, int index)
{
    char class_name[8];
    struct order_facts facts = {.id = id_of(index),
                                .class_name = class_name,
                                .priority = PRIORITY_NORMAL,
                                .declared_ms = j->declared_ms,
                                .submitted_at = j->submitted_at};

    snprintf(class_name, sizeof(class_name), "c%d", j->class_of);
    Order_Add(o, &facts);
}

/* Takes the next queued job by the chosen order. */
static int
next_chosen(struct order *o, int64_t now)
{
    struct order_job next;
    int index;

    if (Order_Next(o, NULL, now, &next) != ERR_OK) {
        return -1;
    }
    Order_Remove(o, &next.id);
    memcpy(&index, next.id.b, sizeof(index));
    return index;
}

/* One pool in progress. */
struct pool {
    struct job *job;
    bool queued[JOBS];
    int running[POOL]; /* job, or -1 */
    struct order *order;
    enum rule rule;
    int arrived;
    int64_t now;
};

/* Starts queued jobs on free accelerators. */
static void
fill(struct pool *p)
{
    int i, next;

    for (i = 0; i < POOL; i++) {
        if (p->running[i] >= 0) {
            continue;
        }
        next = p->rule == RULE_CHOSEN
                   ? next_chosen(p->order, p->now)
                   : next_baseline(p->job, p->queued, p->arrived, p->rule);
        if (next < 0) {
            return;
        }
        p->queued[next] = false;
        p->job[next].started_at = p->now;
        p->running[i] = next;
    }
}

/* The accelerator whose job ends first, or -1. */
static int
first_end(const struct pool *p, int64_t *at)
{
    int i, first = -1;

    for (i = 0; i < POOL; i++) {
        const struct job *j;

        if (p->running[i] < 0) {
            continue;
        }
        j = &p->job[p->running[i]];
        if (first < 0 || j->started_at + j->ran_ms < *at) {
            first = i;
            *at = j->started_at + j->ran_ms;
        }
    }
    return first;
}

/* Ends a job, and lets the chosen order learn from it. */
static void
finish(struct pool *p, int slot)
{
    const struct job *j = &p->job[p->running[slot]];
    struct id id = id_of(p->running[slot]);
    char class_name[8];

    snprintf(class_name, sizeof(class_name), "c%d", j->class_of);
    Order_Done(p->order, &id, class_name, j->declared_ms, j->ran_ms);
    p->running[slot] = -1;
}

/* Runs all jobs through the pool. */
static void
run(struct job *job, enum rule rule, int aging_percent)
{
    struct order_limits limits = {.aging_percent = aging_percent};
    struct order *order CLEANUP(Order_FreeP) = Order_New(&limits);
    struct pool p = {.job = job, .order = order, .rule = rule};
    int64_t at = 0;
    int slot;

    memset(p.running, -1, sizeof(p.running));
    while ((slot = first_end(&p, &at)) >= 0 || p.arrived < JOBS) {
        if (p.arrived < JOBS &&
            (slot < 0 || job[p.arrived].submitted_at <= at)) {
            p.now = job[p.arrived].submitted_at;
            p.queued[p.arrived] = true;
            add(order, &job[p.arrived], p.arrived);
            p.arrived++;
        }
        else {
            p.now = at;
            finish(&p, slot);
        }
        fill(&p);
    }
}

/* Runs one rule over the seeds and prints its line. */
static void
measure(const struct honesty *h, enum rule rule, int aging_percent)
{
    struct job *job CLEANUP(Mem_FreeP) = Mem_Zero(JOBS, sizeof(*job));
    struct bench_figure median = {0}, mean = {0}, p99 = {0}, wait = {0};
    char text[4][64], name[64];
    int seed, i;

    for (seed = 1; seed <= BENCH_SEEDS; seed++) {
        struct sim_samples completion = {0}, waits = {0};
        double sum = 0;

        make_jobs(job, h, (uint64_t)seed);
        run(job, rule, aging_percent);
        completion.at = Mem_Zero(JOBS, sizeof(int64_t));
        waits.at = Mem_Zero(JOBS, sizeof(int64_t));
        completion.count = waits.count = JOBS;
        for (i = 0; i < JOBS; i++) {
            waits.at[i] = job[i].started_at - job[i].submitted_at;
            completion.at[i] = waits.at[i] + job[i].ran_ms;
            sum += (double)completion.at[i] / HOUR_MS / JOBS;
        }
        bench_add(&mean, sum);
        bench_add(&median, Sim_Percentile(&completion, 0.5) * 1000 / HOUR_MS);
        bench_add(&p99, Sim_Percentile(&completion, 0.99) * 1000 / HOUR_MS);
        bench_add(&wait, Sim_Percentile(&waits, 1) * 1000 / HOUR_MS);
        free(completion.at);
        free(waits.at);
    }
    snprintf(name, sizeof(name), "%s", rule_names[rule]);
    if (rule == RULE_CHOSEN) {
        snprintf(name, sizeof(name), "chosen, aging %d%%", aging_percent);
    }
    printf("| %s | %s | %s | %s | %s | %s |\n", h->name, name,
           bench_show(&mean, 2, text[0], sizeof(text[0])),
           bench_show(&median, 2, text[1], sizeof(text[1])),
           bench_show(&p99, 1, text[2], sizeof(text[2])),
           bench_show(&wait, 1, text[3], sizeof(text[3])));
}

/* Prints the table of the order of long jobs. */
void
bench_order(void)
{
    static const int aging[] = {5, 25, 100};
    size_t i, j;

    printf(
        "\n### Order of long jobs (%d accelerators, %d jobs, load %.2f)\n\n",
        POOL, JOBS, LOAD);
    printf("| declared times | order | mean completion h | median h | p99 h | "
           "longest wait h |\n|---|---|---|---|---|---|\n");
    for (i = 0; i < COUNT_OF(cases); i++) {
        measure(&cases[i], RULE_FCFS, 0);
        measure(&cases[i], RULE_DECLARED, 0);
        for (j = 0; j < COUNT_OF(aging); j++) {
            measure(&cases[i], RULE_CHOSEN, aging[j]);
        }
    }
}
