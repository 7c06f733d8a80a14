/* The bounded log of decisions, private to the task why. */
#ifndef ENTRY_WHY_H
#define ENTRY_WHY_H

#include "entry.h"

/* Records kept of one subject, and bytes of all subjects. A record takes 200
 * to 900 bytes of JSON, so the log holds about 2,000 requests. With more, an
 * entry would exceed the 32 MB that a node may use (docs/CAPACITY.md). */
#define WHY_RECORDS_MAX 32
#define WHY_BYTES_MAX ((size_t)4 << 20)
#define WHY_QUERY_TIMEOUT_MS 2000 /* timeout of a query to another entry */

struct why_record {
    int64_t at_ms; /* wall clock, for people */
    char *decision;
    char *reason;
    char *inputs; /* JSON */
    size_t bytes;
    TAILQ_ENTRY(why_record) entry;
};

TAILQ_HEAD(why_records, why_record);

struct why_subject {
    struct id id;
    char organisation[NAME_SIZE]; /* "": only operators may read it */
    struct why_records records;
    int count;
    int64_t dropped;
    RB_ENTRY(why_subject) node;
    TAILQ_ENTRY(why_subject) age; /* order of the last write */
};

RB_HEAD(why_tree, why_subject);
TAILQ_HEAD(why_ages, why_subject);

struct why_log {
    struct why_tree tree;
    struct why_ages ages;
    size_t bytes;
    size_t bytes_max;
    int64_t subjects_dropped;
};

/* entry-why-log.c: no I/O, no clock, no global state. */
void WhyLog_Init(struct why_log *log, size_t bytes_max);
void WhyLog_Free(struct why_log *log);
struct why_subject *WhyLog_Find(struct why_log *log, const struct id *id);
/* Finds or adds a subject. One that exists keeps its organisation. */
struct why_subject *WhyLog_Open(struct why_log *log, const struct id *id,
                                const char *organisation);
/* Adds a record. Drops the subject's oldest record, and the least recently
 * written subjects, if a bound is exceeded. */
void WhyLog_Add(struct why_log *log, const struct id *id, int64_t at_ms,
                const char *decision, const char *reason,
                const json_t *inputs);
/* {"id", "dropped", "records"}; the caller owns it. */
json_t *WhyLog_Json(const struct why_subject *s);

#endif
