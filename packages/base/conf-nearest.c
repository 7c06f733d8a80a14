#include "conf-internal.h"

#include <string.h>

#define COMPARED_KEY_MAX 48 /* longer keys are not compared */

/* The smallest of three numbers. */
static int
min3(int a, int b, int c)
{
    int low = a < b ? a : b;

    return low < c ? low : c;
}

/* Levenshtein distance: the least number of insertions, deletions and
 * replacements of characters that turn one word into the other. */
static int
edit_distance(const char *a, const char *b)
{
    int row[COMPARED_KEY_MAX + 1];
    size_t na = strlen(a), nb = strlen(b);
    int diagonal, above, cost;

    for (size_t j = 0; j <= nb; j++) {
        row[j] = (int)j;
    }
    for (size_t i = 1; i <= na; i++) {
        diagonal = row[0];
        row[0] = (int)i;
        for (size_t j = 1; j <= nb; j++) {
            above = row[j];
            cost = a[i - 1] == b[j - 1] ? 0 : 1;
            row[j] = min3(above + 1, row[j - 1] + 1, diagonal + cost);
            diagonal = above;
        }
    }
    return row[nb];
}

/* Finds the key with the smallest edit distance, which must be at most a third
 * of the key's length, rounded up. */
const char *
conf_nearest(const struct conf_table *table, const char *name)
{
    const char *best = NULL;
    int best_distance = COMPARED_KEY_MAX;
    int distance, allowed;

    if (strlen(name) > COMPARED_KEY_MAX) {
        return NULL;
    }
    for (size_t i = 0; i < table->count; i++) {
        const char *candidate = table->keys[i].name;

        if (strlen(candidate) > COMPARED_KEY_MAX) {
            continue;
        }
        distance = edit_distance(name, candidate);
        allowed = (int)(strlen(candidate) + 2) / 3;
        if (distance <= allowed && distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}
