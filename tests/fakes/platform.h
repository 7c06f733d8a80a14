/* The rows and objects of the stand-in for the platform, in memory. */
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "fake.h"

struct rows;

struct rows *Rows_New(void);
void Rows_Free(struct rows *rows);
/* {"row": ...} */
json_t *Rows_Get(struct rows *rows, const char *table, const char *key);
/* {"rows": [...], "more": ...} */
json_t *Rows_List(struct rows *rows, const char *table, const char *prefix,
                  const char *after, size_t limit);
/* All or nothing. status: 200, 400 or 409; written: rows put or deleted. */
json_t *Rows_Commit(struct rows *rows, const json_t *body, int *status,
                    int64_t *written);

#endif
