/*
 * What runs take, learned from those that have ended.
 *
 * Load: callers whose estimates are half of what their runs take, or have
 * little to do with it, beside others whose estimates are right. Without it
 * urgent work is taken for late before it begins, or for shorter than it is,
 * and others are stopped for it, or not, on that ground.
 *
 * For each queue the logarithm of a run's length is fitted to that of its
 * estimate by a line. Before anything is known the line says what the estimate
 * says; with runs it shifts by how far estimates were off, and flattens
 * towards the queue's usual length as far as they tell nothing. Old runs are
 * forgotten.
 *
 * Load: urgent gangs that take twice what their callers say. Without it their
 * slack is counted from the estimate, and room is made for them too late.
 */
#ifndef JOBS_SIZE_H
#define JOBS_SIZE_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One queue. Sums over runs, in logarithms of milliseconds, weighed less the
 * older they are. */
struct size_line {
    char queue[NAME_SIZE];
    double runs;
    double mean_x; /* of estimates */
    double mean_y; /* of lengths */
    double sxx;    /* squares of x about its mean */
    double sxy;    /* products of x and y about their means */
    SLIST_ENTRY(size_line) entry;
};

SLIST_HEAD(size_lines, size_line);

/* Takes a run that took so long; both in milliseconds, and left out where one
 * is not above 0. */
void Size_Learn(struct size_lines *lines, const char *queue,
                int64_t estimate_ms, int64_t took_ms);
/* What a run of that estimate will take, in milliseconds. */
int64_t Size_Predict(const struct size_lines *lines, const char *queue,
                     int64_t estimate_ms);
void Size_Clear(struct size_lines *lines);

#ifdef __cplusplus
}
#endif

#endif
