#include "cells-bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

/* Prints the head of a table. */
static void
print_head(const struct site *site, int days, int seeds)
{
    printf("\n### %s accelerators: %d days, %d seeds, weights %d/%d\n\n"
           "| variant |",
           site->name, days, seeds, site->weights.completion,
           site->weights.fragmentation);
    for (size_t i = 0; i < COUNT_OF(COLUMNS); i++) {
        printf(" %s |", COLUMNS[i].title);
    }
    printf("\n|---|");
    for (size_t i = 0; i < COUNT_OF(COLUMNS); i++) {
        printf("---|");
    }
    printf("\n");
}

/* Prints the mean of each figure over the seeds, with the least and the
 * greatest where they differ. */
static void
print_row(const char *name, const struct outcome *o, int seeds)
{
    printf("| %s |", name);
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

/* Runs all variants, or one, over a deployment. */
static void
run_site(const struct site *site, int days, int seeds, const char *only)
{
    struct outcome *o CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)seeds, sizeof(struct outcome));

    print_head(site, days, seeds);
    for (size_t v = 0; v < COUNT_OF(VARIANTS); v++) {
        if (only != NULL && strcmp(only, VARIANTS[v].name) != 0) {
            continue;
        }
        for (int s = 0; s < seeds; s++) {
            Drive(site, &VARIANTS[v], days, (uint64_t)s * 1000 + 17, &o[s]);
        }
        print_row(VARIANTS[v].name, o, seeds);
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
        printf("| %d | %d | %d |\n", failed, Cells_Short(c, NULL),
               fixed_short(c, first, n));
    }
    Cells_Free(c);
}

/* Makes one plan; a function of its own, so that a profiler can be told to
 * count here only. */
__attribute__((noinline)) bool
Bench_Plan(const struct cells *c, const struct cells_request *q,
           const struct cells_weights *weights)
{
    struct cells_plan plan CLEANUP(Cells_PlanClear);

    return Cells_IsPlaced(Cells_Plan(c, q, weights, HOUR_MS, &plan));
}

/* Fills three quarters of an account with lent work and then makes `count`
 * plans of one kind: what a profiler counts. */
static int
run_plans(int workers, const char *kind, int count)
{
    struct site site = SITES[SITE_COUNT - 1];
    struct rng rng = {5};
    struct cells *c;
    uint64_t id = 1;
    struct cells_counts counts;
    struct cells_request q = {
        .within = CELLS_LEVEL_ALL, .checkpoint_ms = 20000, .grace_ms = 60000};
    int placed = 0;

    site.workers = workers;
    site.domains = workers < 100 ? 3 : 10;
    site.organisations = workers < 100 ? 4 : workers / 9;
    c = Site_Build(&site);
    do {
        struct cells_plan plan;

        q.job = id++;
        Site_Organisation(0, q.organisation, sizeof(q.organisation));
        q.tasks = 1 + (int)(Rng_Next(&rng) % 4);
        q.accelerators = 1 << Rng_Next(&rng) % 4;
        Cells_Plan(c, &q, &site.weights, 0, &plan);
        if (Cells_IsPlaced(plan.reason)) {
            Cells_Commit(c, &plan);
        }
        Cells_PlanClear(&plan);
        Cells_Counts(c, &counts);
    } while (counts.free * 4 > counts.accelerators);
    for (int i = 0; i < count; i++) {
        q.job = id++;
        q.guaranteed = strcmp(kind, "lent") != 0;
        q.tasks = 2;
        q.accelerators = strcmp(kind, "small") == 0 ? 2 : 8;
        Site_Organisation(i % site.organisations, q.organisation,
                          sizeof(q.organisation));
        placed += Bench_Plan(c, &q, &site.weights);
    }
    Cells_Free(c);
    return placed;
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
        printf("%d placed\n",
               run_plans(atoi(argv[2]), argv[3], atoi(argv[4])));
        return 0;
    }
    return usage();
}
