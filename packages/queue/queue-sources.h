/* Which entries read the operators' table, and which leave it to them. Pure:
 * the time and what was heard are arguments.
 *
 * Load: a configuration of a megabyte, a change every second or so, and
 * entries behind links of 10 Mbit/s among others of 200. The store's feed
 * brings the whole document for each change, a second of a thin link: the
 * entry there has room for nothing else, its callers' answers and its agents'
 * reports included. An entry that has seen that reading is slow leaves it to
 * others that read well, and takes what differs from them, a few hundred
 * bytes. */
#ifndef QUEUE_SOURCES_H
#define QUEUE_SOURCES_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* So many are asked at once: one that freezes or is cut off from the store is
 * noticed only after SOURCE_READ_AGE_MS, and the other one has told of a
 * change by then. */
#define SOURCES_MAX 2
/* A configuration from this size on is large: 32 KiB are 0.03 s of a link of
 * 10 Mbit/s, and no matter. */
#define LARGE_CONFIG_BYTES ((size_t)32 << 10)
/* A large one that took longer to come, in ms, is slow to read. With a change
 * each half second this is a third of the link. */
#define SLOW_READ_MS 150
/* What was seen of it holds so long, ms; then the next change is read and
 * measured anew. An entry that was slow once, by a moment without processor,
 * would else never read again, and in the end a thin one for all; reading a
 * megabyte each half minute is 4% of 10 Mbit/s. */
#define SLOW_VALID_MS 30000
/* Another entry is a source when it said so, and had read the table, within
 * these: two of the times at which entries speak, and a wait of a feed, its
 * answer, and such a time. */
#define SOURCE_REPORT_AGE_MS 1200
#define SOURCE_READ_AGE_MS 1700

/* Another entry as a source. */
struct source {
    uint64_t rank;       /* one of its own for each pair of entries */
    int64_t reported_ms; /* when it last spoke of its reading; 0: never */
    int64_t read_ms; /* when it had last read the table; 0: it does not read */
};

/* Chooses the sources of an entry: those that read, by rank, so that entries
 * spread over them and stay with theirs. Returns how many; chosen has their
 * places. */
size_t Sources_Choose(const struct source *sources, size_t count, int64_t now,
                      size_t chosen[SOURCES_MAX]);
/* True when large configurations come slowly: when one last did so (0: none
 * has since one came well). */
bool Sources_IsSlow(int64_t slow_ms, int64_t now);
/* True when an entry leaves the reading to its sources: bytes of its
 * configuration, whether it is slow, and how many sources it has.
 *
 * Slow ones are nobody's sources: two of them would leave the reading to each
 * other at the same moment, and take it up again at the next, for ever. */
bool Sources_ShouldDelegate(size_t bytes, bool slow, size_t sources);

#ifdef __cplusplus
}
#endif

#endif
