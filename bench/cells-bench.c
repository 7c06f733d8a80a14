#include "cells-bench.h"

#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 4
#define SEED(i) ((uint64_t)(i)*1000 + 17)

static const struct variant VARIANTS[] = {
    {.name = "chosen"},
    {.name = "first fit", .baseline = CELLS_BASELINE_FIRST_FIT},
    {.name = "no reservation", .no_reservation = true},
    {.name = "first come, first served", .no_backfill = true},
    {.name = "fixed bindings", .baseline = CELLS_BASELINE_FIXED},
    {.name = "any victim", .baseline = CELLS_BASELINE_ANY_VICTIM},
    {.name = "chosen and defrag", .defrag = true},
    {.name = "weights 100/0", .completion = 100},
    {.name = "weights 0/100", .fragmentation = 100},
};

/* A column of the tables: one figure of an outcome. */
struct column {
    const char *title;
    size_t offset;
    const char *format;
};

#define COLUMN(field, name, how)                                              \
    {                                                                         \
        name, offsetof(struct outcome, field), how                            \
    }

static const struct column COLUMNS[] = {
    COLUMN(completion_mean, "mean h", "%.2f"),
    COLUMN(completion_median, "median h", "%.2f"),
    COLUMN(completion_p99, "p99 h", "%.1f"),
    COLUMN(large_p99, "p99 h, gangs >= 16", "%.1f"),
    COLUMN(near, "gangs >= 16 in a rack %", "%.0f"),
    COLUMN(fragmentation, "fragmentation %", "%.1f"),
    COLUMN(waited_enough, "waited with enough free %", "%.1f"),
    COLUMN(jain, "Jain", "%.3f"),
    COLUMN(urgent_late, "urgent late %", "%.1f"),
    COLUMN(lost_work, "lost acc-h/day", "%.1f"),
    COLUMN(victims, "victims/day", "%.1f"),
    COLUMN(moves, "moves/day", "%.1f"),
    COLUMN(refused, "cells refused", "%.0f"),
    COLUMN(unfinished, "unfinished", "%.0f"),
};

/* A figure by its column. */
static double
value(const struct outcome *o, const struct column *column)
{
    return *(const double *)((const char *)o + column->offset);
}

/* Accelerator-hours that the jobs of all seeds would run for undisturbed, as
 * a share of those that there are. */
static double
offered_load(const struct site *site, int days, int seeds)
{
    struct cells *c CLEANUP(Cells_FreeP) = Site_Build(site);
    struct cells_counts counts;
    double sum = 0;

    Cells_Counts(c, &counts);
    for (int s = 0; s < seeds; s++) {
        int n;
        struct bench_job *jobs CLEANUP(Mem_FreeP) =
            Site_Jobs(site, days, SEED(s), &n);

        for (int i = 0; i < n; i++) {
            sum += (double)jobs[i].run_ms * jobs[i].request.tasks *
                   jobs[i].request.accelerators;
        }
    }
    return sum / (double)DAY_MS / days / seeds / counts.accelerators;
}

/* Prints the head of a table. */
static void
print_head(const struct site *site, int days, int seeds)
{
    printf("\n### %s accelerators: %d days, %d seeds, weights %d/%d, load "
           "%.2f\n\n"
           "| variant | mean, ratio | p99, ratio | lost work, ratio |",
           site->name, days, seeds, site->weights.completion,
           site->weights.fragmentation, offered_load(site, days, seeds));
    for (size_t i = 0; i < COUNT_OF(COLUMNS); i++) {
        printf(" %s |", COLUMNS[i].title);
    }
    printf("\n|---|---|---|---|");
    for (size_t i = 0; i < COUNT_OF(COLUMNS); i++) {
        printf("---|");
    }
    printf("\n");
}

/* Geometric mean of a figure's ratio to that of the chosen variant, seed by
 * seed: how much a variant changes it, without what the seeds change. */
static double
ratio(const struct outcome *o, const struct outcome *chosen, int seeds,
      size_t offset)
{
    double sum = 0;

    for (int s = 0; s < seeds; s++) {
        double a = *(const double *)((const char *)&o[s] + offset);
        double b = *(const double *)((const char *)&chosen[s] + offset);

        sum += log((a + 1e-9) / (b + 1e-9));
    }
    return exp(sum / seeds);
}

/* Prints the mean of each figure over the seeds, with the least and the
 * greatest where they differ. */
static void
print_row(const char *name, const struct outcome *o,
          const struct outcome *chosen, int seeds)
{
    printf("| %s | %.2f | %.2f | %.2f |", name,
           ratio(o, chosen, seeds, offsetof(struct outcome, completion_mean)),
           ratio(o, chosen, seeds, offsetof(struct outcome, completion_p99)),
           ratio(o, chosen, seeds, offsetof(struct outcome, lost_work)));
    for (size_t i = 0; i < COUNT_OF(COLUMNS); i++) {
        const struct column *column = &COLUMNS[i];
        double sum = 0, low = value(&o[0], column), high = low;

        for (int s = 0; s < seeds; s++) {
            double v = value(&o[s], column);

            sum += v;
            low = v < low ? v : low;
            high = v > high ? v : high;
        }
        printf(" ");
        printf(column->format, sum / seeds);
        if (high > low) {
            printf(" (");
            printf(column->format, low);
            printf("-");
            printf(column->format, high);
            printf(")");
        }
        printf(" |");
    }
    printf("\n");
    fflush(stdout);
}

/* One seed of a variant; modules without global state may run in threads. */
struct seed_run {
    pthread_t thread;
    const struct site *site;
    const struct variant *variant;
    int days;
    uint64_t seed;
    struct outcome *out;
};

/* The thread of one seed. */
static void *
run_seed(void *arg)
{
    const struct seed_run *run = arg;

    Drive(run->site, run->variant, run->days, run->seed, run->out);
    return NULL;
}

/* Runs all seeds of a variant, THREADS at a time. */
static void
run_seeds(const struct site *site, const struct variant *variant, int days,
          int seeds, struct outcome *out)
{
    struct seed_run run[THREADS];

    for (int first = 0; first < seeds; first += THREADS) {
        int n = seeds - first < THREADS ? seeds - first : THREADS;

        for (int i = 0; i < n; i++) {
            run[i] = (struct seed_run){
                .site = site,
                .variant = variant,
                .days = days,
                .seed = SEED(first + i),
                .out = &out[first + i],
            };
            if (pthread_create(&run[i].thread, NULL, run_seed, &run[i]) != 0) {
                Fatal("bench: no thread");
            }
        }
        for (int i = 0; i < n; i++) {
            pthread_join(run[i].thread, NULL);
        }
    }
}

/* Runs all variants, or one, over a deployment. */
static void
run_site(const struct site *site, int days, int seeds, const char *only)
{
    struct outcome *o CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)seeds, sizeof(struct outcome));
    struct outcome *chosen CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)seeds, sizeof(struct outcome));

    print_head(site, days, seeds);
    for (size_t v = 0; v < COUNT_OF(VARIANTS); v++) {
        if (v > 0 && only != NULL && strcmp(only, VARIANTS[v].name) != 0) {
            continue;
        }
        run_seeds(site, &VARIANTS[v], days, seeds, o);
        if (v == 0) {
            memcpy(chosen, o, sizeof(*o) * (size_t)seeds);
        }
        print_row(VARIANTS[v].name, o, chosen, seeds);
    }
}

/* Cells that lie wholly on healthy workers, were they where they were at
 * first. */
static int
fixed_short(const struct cells *c, const struct cells_binding *first, int n)
{
    int missing = 0;

    for (int i = 0; i < n; i++) {
        bool down = false;

        for (int k = 0; k < first[i].workers; k++) {
            down = down ||
                   Cells_WorkerState(c, first[i].worker[k]) != CELLS_WORKER_UP;
        }
        missing += down;
    }
    return missing;
}

/* Fails workers one after the other and counts the cells that can't be had:
 * with bindings that move, and with those of the start. */
static void
run_failures(const struct site *site)
{
    struct cells *c = Site_Build(site);
    struct rng rng = {99};
    int n = Cells_BindingCount(c), failed = 0;
    struct cells_binding *first CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)n, sizeof(struct cells_binding));

    for (int i = 0; i < n; i++) {
        Cells_Binding(c, i, &first[i]);
    }
    printf("\n### %s accelerators: cells that can't be had, of %d\n\n"
           "| failed workers | bindings move | bindings fixed |\n"
           "|---|---|---|\n",
           site->name, n);
    for (int percent = 5; percent <= 40; percent += 5) {
        while (failed * 100 < site->workers * percent) {
            int w = (int)(Rng_Next(&rng) % (uint64_t)site->workers);

            failed += Cells_WorkerState(c, w) == CELLS_WORKER_UP;
            Cells_SetWorkerState(c, w, CELLS_WORKER_FAILED);
        }
        printf("| %d | %d | %d |\n", failed, Cells_UnavailableCount(c, NULL),
               fixed_short(c, first, n));
    }
    Cells_Free(c);
}

/* Makes one plan; a function of its own, so that a profiler can be told to
 * count here only. */
__attribute__((noinline)) enum cells_reason
Bench_Plan(const struct cells *c, const struct cells_request *q,
           const struct cells_weights *weights)
{
    struct cells_plan plan CLEANUP(Cells_PlanClear);

    return Cells_Plan(c, q, weights, HOUR_MS, &plan);
}

/* Fills an account with lent work of the first organisation: three quarters
 * of it, or all of it. Returns the next free id. */
static uint64_t
fill_account(struct cells *c, const struct cells_weights *weights, bool all)
{
    struct cells_request q = {
        .within = CELLS_LEVEL_ALL, .checkpoint_ms = 20000, .grace_ms = 60000};
    struct rng rng = {5};
    struct cells_counts n;

    Site_Organisation(0, q.organisation, sizeof(q.organisation));
    Cells_Counts(c, &n);
    while (n.free > (all ? 0 : n.accelerators / 4)) {
        struct cells_plan plan CLEANUP(Cells_PlanClear);
        bool small = n.free < 32;

        q.job++;
        q.tasks = small ? 1 : 1 + (int)(Rng_Next(&rng) % 4);
        q.accelerators = small ? 1 : 1 << Rng_Next(&rng) % 4;
        if (Cells_IsPlaced(Cells_Plan(c, &q, weights, 0, &plan))) {
            Cells_Commit(c, &plan);
        }
        Cells_Counts(c, &n);
    }
    return q.job + 1;
}

/* Makes `count` plans of one kind on a filled account: what a profiler
 * counts. */
static void
run_plans(int workers, const char *kind, int count)
{
    struct site site = SITES[SITE_COUNT - 1];
    bool lent = strcmp(kind, "lent") == 0;
    bool small = strcmp(kind, "small") == 0;
    struct cells *c;
    struct cells_request q = {.within = CELLS_LEVEL_ALL,
                              .guaranteed = !lent,
                              .tasks = 2,
                              .accelerators = small ? 2 : 8};
    int reasons[CELLS_NEVER_INVALID + 1] = {0};
    uint64_t id;

    site.workers = workers;
    site.domains = workers < 100 ? 3 : 10;
    site.organisations = workers < 100 ? 4 : workers / 9;
    c = Site_Build(&site);
    id = fill_account(c, &site.weights, !lent);
    for (int i = 0; i < count; i++) {
        /* Every organisation of a small site has a worker cell or more; the
         * first has a rack as well. */
        int org = workers < 100 ? 0 : i % site.organisations;

        q.job = id++;
        Site_Organisation(org, q.organisation, sizeof(q.organisation));
        reasons[Bench_Plan(c, &q, &site.weights)]++;
    }
    for (size_t i = 0; i < COUNT_OF(reasons); i++) {
        if (reasons[i] > 0) {
            printf("%s=%d ", Cells_ReasonName((enum cells_reason)i),
                   reasons[i]);
        }
    }
    printf("\n");
    Cells_Free(c);
}

/* Prints what may stand on the command line. */
static int
usage(void)
{
    fprintf(stderr, "usage: cells-bench site N DAYS SEEDS [VARIANT]\n"
                    "       cells-bench failures\n"
                    "       cells-bench plans WORKERS lent|small|reclaim N\n");
    return 2;
}

int
main(int argc, char **argv)
{
    if (argc >= 5 && strcmp(argv[1], "site") == 0 &&
        atoi(argv[2]) < SITE_COUNT) {
        run_site(&SITES[atoi(argv[2])], atoi(argv[3]), atoi(argv[4]),
                 argc > 5 ? argv[5] : NULL);
        return 0;
    }
    if (argc == 2 && strcmp(argv[1], "failures") == 0) {
        run_failures(&SITES[0]);
        run_failures(&SITES[SITE_COUNT - 1]);
        return 0;
    }
    if (argc == 5 && strcmp(argv[1], "plans") == 0) {
        run_plans(atoi(argv[2]), argv[3], atoi(argv[4]));
        return 0;
    }
    return usage();
}
