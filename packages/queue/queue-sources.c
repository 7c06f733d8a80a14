#include "queue-sources.h"

/* True for one that reads, and was heard saying so. */
static bool
reads(const struct source *s, int64_t now)
{
    return s->heard_ms != 0 && now - s->heard_ms < SOURCE_HEARD_MS &&
           s->read_ms != 0 && now - s->read_ms < SOURCE_READ_MS;
}

/* Puts a place among the chosen ones, in the order of their ranks; the last
 * one falls out when there are enough. */
static size_t
insert(const struct source *all, size_t at, size_t *chosen, size_t count)
{
    size_t i = count < SOURCES ? count : SOURCES - 1;

    if (count == SOURCES && all[chosen[i]].rank <= all[at].rank) {
        return count;
    }
    for (; i > 0 && all[chosen[i - 1]].rank > all[at].rank; i--) {
        chosen[i] = chosen[i - 1];
    }
    chosen[i] = at;
    return count < SOURCES ? count + 1 : count;
}

/* Chooses the sources of an entry. */
size_t
Sources_Choose(const struct source *all, size_t count, int64_t now,
               size_t chosen[SOURCES])
{
    size_t n = 0;

    for (size_t i = 0; i < count; i++) {
        if (reads(&all[i], now)) {
            n = insert(all, i, chosen, n);
        }
    }
    return n;
}

/* True when large configurations come slowly. */
bool
Sources_IsSlow(int64_t slow_ms, int64_t now)
{
    return slow_ms != 0 && now - slow_ms < SLOW_FOR_MS;
}

/* True when an entry leaves the reading to others. */
bool
Sources_Leaves(size_t bytes, bool slow, size_t sources)
{
    return bytes >= LARGE_BYTES && slow && sources > 0;
}
