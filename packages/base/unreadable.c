#include "base.h"

#define SOURCE(word)                                                          \
    {                                                                         \
        word,                                                                 \
        {                                                                     \
            "parsleyfall_unreadable_total",                                   \
                "Input of others that was left out as it can't be read.",     \
                "source=\"" word "\"", COUNTER_TOTAL                          \
        }                                                                     \
    }

static struct {
    const char *word;
    struct counter total;
} sources[UNREADABLE_SOURCES] = {
    [UNREADABLE_REPORT] = SOURCE("report"),
    [UNREADABLE_RUNS] = SOURCE("runs"),
    [UNREADABLE_ROW] = SOURCE("row"),
    [UNREADABLE_STORE] = SOURCE("store"),
    [UNREADABLE_CONFIG] = SOURCE("config"),
    [UNREADABLE_MESSAGE] = SOURCE("message"),
    [UNREADABLE_ADVICE] = SOURCE("advice"),
};

/* Counts input that is left out and says why, in a line whose rate the log
 * bounds: whoever writes nonsense does so often. */
void
Unreadable(enum unreadable source, const char *name, const char *why)
{
    Counter_Add(&sources[source].total, 1);
    LOG_W("input_unreadable", KV("source", sources[source].word),
          KV("name", name), KV("why", why));
}
