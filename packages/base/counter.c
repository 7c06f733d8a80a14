#include "base.h"

#include <string.h>

static SLIST_HEAD(, counter) counters = SLIST_HEAD_INITIALIZER(counters);

/* Inserts a counter into the list at its first use, ordered by name; equal
 * names stay in order of first use. */
static void
ensure_registered(struct counter *c)
{
    struct counter *next, *previous = NULL;

    if (c->registered) {
        return;
    }
    SLIST_FOREACH (next, &counters, entry) {
        if (strcmp(next->name, c->name) > 0) {
            break;
        }
        previous = next;
    }
    if (previous == NULL) {
        SLIST_INSERT_HEAD(&counters, c, entry);
    }
    else {
        SLIST_INSERT_AFTER(previous, c, entry);
    }
    c->registered = true;
}

/* Adds to a total or a gauge. */
void
Counter_Add(struct counter *c, int64_t n)
{
    ensure_registered(c);
    c->value += n;
}

/* Sets a gauge. */
void
Counter_Set(struct counter *c, int64_t n)
{
    ensure_registered(c);
    c->value = n;
}

/* Adds one latency in milliseconds to its bucket, the sum and the count. */
void
Counter_Observe(struct counter *c, int64_t ms)
{
    int i = 0;

    ensure_registered(c);
    while (i < COUNTER_BUCKETS - 1 && ms > ((int64_t)1 << i)) {
        i++;
    }
    c->bucket[i]++;
    c->count++;
    c->value += ms;
}

/* Writes one sample line: name and suffix, {labels,extra}, value. */
static void
render_sample(struct buf *out, const struct counter *c, const char *suffix,
              const char *extra, int64_t value)
{
    const char *labels = c->labels ? c->labels : "";
    const char *comma = *labels != '\0' && *extra != '\0' ? "," : "";

    Buf_Printf(out, "%s%s", c->name, suffix);
    if (*labels != '\0' || *extra != '\0') {
        Buf_Printf(out, "{%s%s%s}", labels, comma, extra);
    }
    Buf_Printf(out, " %lld\n", (long long)value);
}

/* Writes the cumulative buckets, the sum and the count of a latency. */
static void
render_latency(struct buf *out, const struct counter *c)
{
    int64_t cumulative = 0;
    int i;

    for (i = 0; i < COUNTER_BUCKETS; i++) {
        char le[32] = "le=\"+Inf\"";
        struct buf text CLEANUP(Buf_Free) = {0};

        cumulative += c->bucket[i];
        if (i < COUNTER_BUCKETS - 1) {
            Buf_Printf(&text, "le=\"%lld\"", (long long)1 << i);
            Str_Copy(le, sizeof(le), text.data);
        }
        render_sample(out, c, "_bucket", le, cumulative);
    }
    render_sample(out, c, "_sum", "", c->value);
    render_sample(out, c, "_count", "", c->count);
}

/* Writes every counter in the Prometheus text format. */
void
Counter_Render(struct buf *out)
{
    static const char *const kinds[] = {"counter", "gauge", "histogram"};
    const struct counter *c;
    const char *last_name = "";

    SLIST_FOREACH (c, &counters, entry) {
        if (strcmp(last_name, c->name) != 0) {
            Buf_Printf(out, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help,
                       c->name, kinds[c->kind]);
            last_name = c->name;
        }
        if (c->kind == COUNTER_LATENCY) {
            render_latency(out, c);
        }
        else {
            render_sample(out, c, "", "", c->value);
        }
    }
}
