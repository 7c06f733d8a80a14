#include "jobs-size.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Of the weight of all before, what is left after one more run: the last 30
 * or so count, some minutes of a busy queue. */
#define WEIGHT_DECAY 0.97
/* Runs that the estimate itself counts for. Of fewer, three odd ones in a row
 * would turn the line; of more, a busy queue needs minutes to learn. */
#define PRIOR_RUNS 4.0
/* And for its slope: the spread of four estimates that differ by a factor of
 * e from their mean. */
#define PRIOR_SPREAD 4.0
/* A guess is never further from the estimate: callers' were seen to be off by
 * up to seven times. */
#define CORRECTION_MAX 8.0

/* The line of a queue, or NULL. */
static struct size_line *
find(const struct size_lines *lines, const char *queue)
{
    struct size_line *l;

    SLIST_FOREACH (l, lines, entry) {
        if (strcmp(l->queue, queue) == 0) {
            return l;
        }
    }
    return NULL;
}

/* Takes a run. */
void
Size_Learn(struct size_lines *lines, const char *queue, int64_t estimate_ms,
           int64_t took_ms)
{
    struct size_line *l = find(lines, queue);
    double x, y, off;

    if (estimate_ms <= 0 || took_ms <= 0) {
        return;
    }
    if (l == NULL) {
        l = Mem_Zero(1, sizeof(*l));
        Str_Copy(l->queue, sizeof(l->queue), queue);
        SLIST_INSERT_HEAD(lines, l, entry);
    }
    x = log((double)estimate_ms);
    y = log((double)took_ms);
    l->runs = WEIGHT_DECAY * l->runs + 1;
    off = x - l->mean_x;
    l->mean_x += off / l->runs;
    l->mean_y += (y - l->mean_y) / l->runs;
    l->sxx = WEIGHT_DECAY * l->sxx + off * (x - l->mean_x);
    l->sxy = WEIGHT_DECAY * l->sxy + off * (y - l->mean_y);
}

/* What a run will take: the estimate, shifted, and drawn to the usual. */
int64_t
Size_Predict(const struct size_lines *lines, const char *queue,
             int64_t estimate_ms)
{
    const struct size_line *l = find(lines, queue);
    double slope, shift, x, y;

    if (l == NULL || estimate_ms <= 0) {
        return estimate_ms;
    }
    x = log((double)estimate_ms);
    slope = (l->sxy + PRIOR_SPREAD) / (l->sxx + PRIOR_SPREAD);
    slope = slope < 0 ? 0 : slope;
    shift = (l->mean_y - l->mean_x) * l->runs / (l->runs + PRIOR_RUNS);
    y = shift + (slope - 1) * (x - l->mean_x);
    y = fmax(-log(CORRECTION_MAX), fmin(log(CORRECTION_MAX), y));
    return (int64_t)exp(x + y);
}

/* Forgets everything. */
void
Size_Clear(struct size_lines *lines)
{
    struct size_line *l;

    while ((l = SLIST_FIRST(lines)) != NULL) {
        SLIST_REMOVE_HEAD(lines, entry);
        free(l);
    }
}
