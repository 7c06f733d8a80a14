/* Predicts how long runs take, from those that have ended.
 *
 * Callers' estimates may be half of what their runs take, or have little to do
 * with it, while the estimates of other callers are right. With raw estimates,
 * urgent work would count as late before it begins, or as shorter than it is,
 * so other runs would be evicted for it needlessly, or not be evicted when
 * they should. The slack of urgent gangs that take twice their estimate would
 * be too high, and room would be made for them too late.
 *
 * For each queue, a line is fitted to the logarithms of estimates and run
 * lengths. Without data the prediction equals the estimate. With data it
 * shifts by the usual error of the estimates, and the line flattens towards
 * the queue's usual length as far as estimates do not correlate with lengths.
 * Old runs lose their weight. */
#ifndef JOBS_SIZE_H
#define JOBS_SIZE_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SIZE_VALUES 5 /* of a model */

/* The model of one queue: sums over its runs, in logarithms of milliseconds.
 * Older runs have less weight. */
struct size_line {
    char queue[NAME_SIZE];
    double runs;
    double mean_x;               /* of estimates */
    double mean_y;               /* of lengths */
    double sxx;                  /* squares of x around its mean */
    double sxy;                  /* products of x and y around their means */
    double written[SIZE_VALUES]; /* the values in the last row */
    SLIST_ENTRY(size_line) entry;
};

SLIST_HEAD(size_lines, size_line);

/* Adds a run that has ended to the model; both times in milliseconds. A run is
 * ignored when one of them is not above 0. */
void Size_Learn(struct size_lines *lines, const char *queue,
                int64_t estimate_ms, int64_t took_ms);
/* Returns the predicted length of a run with that estimate, in
 * milliseconds. */
int64_t Size_Predict(const struct size_lines *lines, const char *queue,
                     int64_t estimate_ms);
/* Returns a value of the model, by its number below SIZE_VALUES. */
double *Size_Value(struct size_line *l, size_t at);
/* Sets the model of a queue to one that an earlier owner had. */
void Size_Restore(struct size_lines *lines, const struct size_line *model);
void Size_Clear(struct size_lines *lines);

#ifdef __cplusplus
}
#endif

#endif
