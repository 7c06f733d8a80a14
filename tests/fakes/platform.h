/* The tables of the stand-in for the platform, kept in memory. */
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "fake.h"

struct rows;

struct rows *Rows_New(void);
void Rows_Free(struct rows *rows);
/* Returns {"row": ...}; the row is null when there is none. */
json_t *Rows_Get(struct rows *rows, const char *table, const char *key);
/* Returns {"rows": [...], "more": ...}: at most limit rows whose keys start
 * with prefix and come after the key `after`, in the order of their keys. */
json_t *Rows_List(struct rows *rows, const char *table, const char *prefix,
                  const char *after, size_t limit);
/* Applies all ops of a commit or none, and returns the response's body.
 * status: 200, 400 (malformed) or 409 (a condition does not hold); written:
 * number of rows put or deleted. */
json_t *Rows_Commit(struct rows *rows, const json_t *body, int *status,
                    int64_t *written);

#endif
