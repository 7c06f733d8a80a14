/* Which entries read the operator table from the store, and which delegate
 * that to others. Pure: time and reports are arguments.
 *
 * Assumed load: a configuration of 1 MB that changes about every second, and
 * some entries behind links of 10 Mbit/s among others of 200 Mbit/s. The feed
 * of the store sends the whole document for each change, which takes a second
 * of a 10 Mbit/s link and delays the entry's answers to callers and its
 * agents' reports. An entry that reads slowly therefore delegates the reading
 * to entries that read fast, and receives only differences from them, a few
 * hundred bytes. */
#ifndef QUEUE_SOURCES_H
#define QUEUE_SOURCES_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Number of sources used at once. A source that hangs or loses the store is
 * noticed only after SOURCE_READ_AGE_MS; until then the other one delivers
 * changes. */
#define SOURCES_MAX 2
/* Size in bytes from which a configuration counts as large. 32 KiB take only
 * 0.03 s of a 10 Mbit/s link. */
#define LARGE_CONFIG_BYTES ((size_t)32 << 10)
/* A read of a large configuration that takes longer than this is slow. With a
 * change every half second it is a third of the link's time. */
#define SLOW_READ_MS 150
/* How long a slow read counts; after that the next change is read from the
 * store and measured again. Otherwise an entry that was slow once, for lack of
 * processor time, would never read again, and in the end a slow entry would
 * read for all. Reading 1 MB every 30 s is 4% of a 10 Mbit/s link. */
#define SLOW_VALID_MS 30000
/* An entry can be a source while its last report is younger than
 * SOURCE_REPORT_AGE_MS, two report intervals, and its last read of the table
 * younger than SOURCE_READ_AGE_MS: the wait of a feed, its answer, and one
 * report interval. */
#define SOURCE_REPORT_AGE_MS 1200
#define SOURCE_READ_AGE_MS 1700

/* Another entry as a possible source. */
struct source {
    uint64_t rank;       /* differs for each pair of entries */
    int64_t reported_ms; /* last report on its reading; 0: none */
    int64_t read_ms;     /* last read of the table; 0: it does not read */
};

/* Chooses the sources of an entry: the usable ones of lowest rank, so that
 * entries spread over the sources and keep theirs. Writes their indexes to
 * chosen and returns how many there are. */
size_t Sources_Choose(const struct source *sources, size_t count, int64_t now,
                      size_t chosen[SOURCES_MAX]);
/* True when large configurations are read slowly. slow_ms: time of the last
 * slow read; 0: none since the last fast one. */
bool Sources_IsSlow(int64_t slow_ms, int64_t now);
/* True when an entry delegates reading to its sources. bytes: size of its
 * configuration; slow: Sources_IsSlow(); sources: how many it has.
 *
 * A slow entry is no source itself: two slow entries would delegate to each
 * other at once, both resume reading at the next report, and so on for
 * ever. */
bool Sources_ShouldDelegate(size_t bytes, bool slow, size_t sources);

#ifdef __cplusplus
}
#endif

#endif
