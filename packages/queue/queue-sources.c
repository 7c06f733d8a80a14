#include "queue-sources.h"

/* True for an entry that has recently reported a recent read. */
static bool
is_usable(const struct source *s, int64_t now)
{
    return s->reported_ms != 0 &&
           now - s->reported_ms < SOURCE_REPORT_AGE_MS && s->read_ms != 0 &&
           now - s->read_ms < SOURCE_READ_AGE_MS;
}

/* Inserts an index into the chosen ones in order of rank; the last one is
 * dropped when there are too many. Returns their new count. */
static size_t
insert(const struct source *sources, size_t index, size_t *chosen,
       size_t count)
{
    size_t i = count < SOURCES_MAX ? count : SOURCES_MAX - 1;

    if (count == SOURCES_MAX &&
        sources[chosen[i]].rank <= sources[index].rank) {
        return count;
    }
    for (; i > 0 && sources[chosen[i - 1]].rank > sources[index].rank; i--) {
        chosen[i] = chosen[i - 1];
    }
    chosen[i] = index;
    return count < SOURCES_MAX ? count + 1 : count;
}

/* Chooses the usable sources of lowest rank. */
size_t
Sources_Choose(const struct source *sources, size_t count, int64_t now,
               size_t chosen[SOURCES_MAX])
{
    size_t n = 0;

    for (size_t i = 0; i < count; i++) {
        if (is_usable(&sources[i], now)) {
            n = insert(sources, i, chosen, n);
        }
    }
    return n;
}

/* True when large configurations are read slowly. */
bool
Sources_IsSlow(int64_t slow_ms, int64_t now)
{
    return slow_ms != 0 && now - slow_ms < SLOW_VALID_MS;
}

/* True when an entry delegates reading to its sources. */
bool
Sources_ShouldDelegate(size_t bytes, bool slow, size_t sources)
{
    return bytes >= LARGE_CONFIG_BYTES && slow && sources > 0;
}
