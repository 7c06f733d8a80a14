#include "base.h"

static struct counter totals[UNREADABLE_SOURCES] = {
#define SOURCE(at, word)                                                      \
    [at] = {"parsleyfall_unreadable_total",                                   \
            "Input of others that was left out as it can't be read.",         \
            "source=\"" word "\"", COUNTER_TOTAL}
    SOURCE(UNREADABLE_REPORT, "report"), SOURCE(UNREADABLE_LOOK, "look"),
    SOURCE(UNREADABLE_ROW, "row"),       SOURCE(UNREADABLE_STORE, "store"),
    SOURCE(UNREADABLE_CONFIG, "config"), SOURCE(UNREADABLE_MESSAGE, "message"),
    SOURCE(UNREADABLE_ADVICE, "advice"),
#undef SOURCE
};

static const char *const words[UNREADABLE_SOURCES] = {
    [UNREADABLE_REPORT] = "report", [UNREADABLE_LOOK] = "look",
    [UNREADABLE_ROW] = "row",       [UNREADABLE_STORE] = "store",
    [UNREADABLE_CONFIG] = "config", [UNREADABLE_MESSAGE] = "message",
    [UNREADABLE_ADVICE] = "advice"};

/* Counts input that is left out and says why, in a line whose rate the log
 * bounds: whoever writes nonsense does so often. */
void
Unreadable(enum unreadable source, const char *name, const char *why)
{
    Counter_Add(&totals[source], 1);
    LOG_W("input_unreadable", KV("source", words[source]), KV("name", name),
          KV("why", why));
}
