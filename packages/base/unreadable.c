#include "base.h"

#define SOURCE_INIT(label)                                                    \
    {                                                                         \
        label,                                                                \
        {                                                                     \
            "parsleyfall_unreadable_total",                                   \
                "Input of others that was left out as it can't be read.",     \
                "source=\"" label "\"", COUNTER_TOTAL                         \
        }                                                                     \
    }

static struct {
    const char *label;
    struct counter total;
} sources[UNREADABLE_SOURCES] = {
    [UNREADABLE_REPORT] = SOURCE_INIT("report"),
    [UNREADABLE_RUNS] = SOURCE_INIT("runs"),
    [UNREADABLE_ROW] = SOURCE_INIT("row"),
    [UNREADABLE_STORE] = SOURCE_INIT("store"),
    [UNREADABLE_CONFIG] = SOURCE_INIT("config"),
    [UNREADABLE_MESSAGE] = SOURCE_INIT("message"),
    [UNREADABLE_ADVICE] = SOURCE_INIT("advice"),
};

/* Counts an ignored input and logs the reason. The log limits the rate of
 * these lines, as a sender of malformed input usually repeats it. */
void
Unreadable(enum unreadable source, const char *name, const char *why)
{
    Counter_Add(&sources[source].total, 1);
    LOG_W("input_unreadable", KV("source", sources[source].label),
          KV("name", name), KV("why", why));
}
