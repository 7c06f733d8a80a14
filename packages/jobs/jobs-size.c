#include "jobs-size.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight that older runs keep with each new run: the last 30 or so count,
 * which are some minutes of a busy queue. */
#define WEIGHT_DECAY 0.97
/* Weight of the estimate, in runs. With less, three odd runs in a row would
 * turn the prediction; with more, a busy queue would need minutes to learn. */
#define PRIOR_RUNS 4.0
/* Weight of the slope that equals the estimate: the spread of four estimates
 * that differ from their mean by a factor of e. */
#define PRIOR_SPREAD 4.0
/* Largest factor between estimate and prediction. Callers' estimates have been
 * off by up to seven times. */
#define CORRECTION_MAX 8.0

/* Finds the model of a queue, or NULL. */
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

/* Adds an empty model of a queue. */
static struct size_line *
add(struct size_lines *lines, const char *queue)
{
    struct size_line *l = Mem_Zero(1, sizeof(*l));

    Str_Copy(l->queue, sizeof(l->queue), queue);
    SLIST_INSERT_HEAD(lines, l, entry);
    return l;
}

/* Returns a value of the model. */
double *
Size_Value(struct size_line *l, size_t at)
{
    double *values[SIZE_VALUES] = {&l->runs, &l->mean_x, &l->mean_y, &l->sxx,
                                   &l->sxy};

    return values[at];
}

/* Sets the model of a queue. */
void
Size_Restore(struct size_lines *lines, const struct size_line *model)
{
    struct size_line *l = find(lines, model->queue);

    if (l == NULL) {
        l = add(lines, model->queue);
    }
    for (size_t i = 0; i < SIZE_VALUES; i++) {
        *Size_Value(l, i) = *Size_Value((struct size_line *)model, i);
        l->written[i] = model->written[i];
    }
}

/* Adds a run to the model of its queue. */
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
        l = add(lines, queue);
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

/* Predicts the length of a run: the estimate, shifted by the usual error and
 * drawn towards the queue's usual length. */
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

/* Forgets all models. */
void
Size_Clear(struct size_lines *lines)
{
    struct size_line *l;

    while ((l = SLIST_FIRST(lines)) != NULL) {
        SLIST_REMOVE_HEAD(lines, entry);
        free(l);
    }
}
