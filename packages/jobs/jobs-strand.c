/* Stranded resources: what stays free on a worker but can't be used, because
 * another resource has run out first.
 *
 * Assumed load: tasks that need many cores for an accelerator beside tasks
 * that need few. When the tightest fit alone decides, tasks with many cores
 * fill the cores of a worker whose accelerators then stay unused. */
#include "jobs-scheduler.h"

/* Shares of a worker are counted in thousandths, and compared in eighths: less
 * is not worth giving up a tighter fit for. */
#define SHARES 1000
#define STEP (SHARES / 8)

/* Returns the free share of a resource. */
static int64_t
share_of(int64_t free, int64_t capacity)
{
    return free > 0 ? SHARES * free / capacity : 0;
}

/* Returns the free shares beyond that of the scarcest resource, added up. A
 * resource that the worker does not have limits nothing and can't be left. */
static int64_t
beyond_scarcest(const struct jobs_resources *free,
                const struct jobs_resources *capacity)
{
    const int64_t has[] = {capacity->millicores, capacity->memory_mb,
                           capacity->accelerators};
    const int64_t left[] = {free->millicores, free->memory_mb,
                            free->accelerators};
    int64_t least = SHARES, sum = 0, count = 0;

    for (size_t i = 0; i < COUNT_OF(has); i++) {
        if (has[i] > 0) {
            int64_t share = share_of(left[i], has[i]);

            least = share < least ? share : least;
            sum += share;
            count++;
        }
    }
    return sum - count * least;
}

/* Returns how much a task strands on a worker, in eighths of a resource. */
int64_t
Strand_Added(const struct jobs_worker *w, const struct jobs_resources *free,
             const struct jobs_resources *need)
{
    struct jobs_resources after = *free;

    Resources_Add(&after, need, -1);
    return (beyond_scarcest(&after, &w->capacity) -
            beyond_scarcest(free, &w->capacity)) /
           STEP;
}
