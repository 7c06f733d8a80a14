#include "config-internal.h"

#include <stdio.h>
#include <string.h>

#define SCALAR_SIZE 32

/* A comparison in progress. */
struct diff {
    struct buf path; /* of the value being compared */
    struct buf *out;
    size_t lines; /* appended to out */
};

static void diff_maps(struct diff *d, const struct conf_table *table,
                      const void *a, const void *b);

/* Appends a step to the path; returns the previous length for path_pop. */
static size_t PRINTFLIKE(2, 3) path_push(struct diff *d, const char *fmt, ...)
{
    size_t before = d->path.len;
    char step[NAME_SIZE + 8];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(step, sizeof(step), fmt, ap);
    va_end(ap);
    Buf_AppendStr(&d->path, step);
    return before;
}

/* Shortens the path to a previous length. */
static void
path_pop(struct diff *d, size_t before)
{
    d->path.len = before;
    d->path.data[before] = '\0';
}

/* Appends a line about the value at the current path. */
static void
add_line(struct diff *d, const char *what)
{
    Buf_Printf(d->out, "%s: %s\n", d->path.data, what);
    d->lines++;
}

/* Returns the text of a scalar; numbers are formatted into the buffer given.
 */
static const char *
scalar_text(const struct conf_key *key, const void *at,
            char number[SCALAR_SIZE])
{
    switch (key->type) {
    case CONF_NAME:
        return *(const char *)at ? at : "none";
    case CONF_STRING:
        return *(char *const *)at ? *(char *const *)at : "none";
    case CONF_BOOL:
        return *(const bool *)at ? "true" : "false";
    case CONF_WORD:
        return key->words[*(const int64_t *)at];
    default:
        snprintf(number, SCALAR_SIZE, "%lld", (long long)*(const int64_t *)at);
        return number;
    }
}

/* Compares two scalars. */
static void
diff_scalar(struct diff *d, const struct conf_key *key, const void *a,
            const void *b)
{
    char x[SCALAR_SIZE], y[SCALAR_SIZE];
    const char *old = scalar_text(key, a, x);
    const char *new = scalar_text(key, b, y);

    if (strcmp(old, new) != 0) {
        Buf_Printf(d->out, "%s: %s -> %s\n", d->path.data, old, new);
        d->lines++;
    }
}

/* How the items of a list are matched and compared. */
struct item_kind {
    size_t size;
    const struct conf_table *table; /* NULL: strings */
    bool named;                     /* matched by name and not by index */
};

/* Returns the name of an item in a list of named items; a string is its own
 * name. */
static const char *
item_name(const struct item_kind *kind, const struct conf_list *list, size_t i)
{
    const char *item = (const char *)list->items + i * kind->size;

    return kind->table == NULL ? *(char *const *)(const void *)item : item;
}

/* Returns the index of an item's counterpart in the other list, or that list's
 * count when there is none. */
static size_t
counterpart(const struct item_kind *kind, const struct conf_list *list,
            size_t i, const struct conf_list *other)
{
    const char *name;

    if (!kind->named) {
        return i < other->count ? i : other->count;
    }
    name = item_name(kind, list, i);
    for (size_t j = 0; j < other->count; j++) {
        if (strcmp(item_name(kind, other, j), name) == 0) {
            return j;
        }
    }
    return other->count;
}

/* Appends the step to a list item to the path. */
static size_t
push_item(struct diff *d, const struct item_kind *kind,
          const struct conf_list *list, size_t i)
{
    if (kind->named) {
        return path_push(d, "[%s]", item_name(kind, list, i));
    }
    return path_push(d, "[%zu]", i);
}

/* Appends a line for each item without a counterpart in the other list;
 * returns the number of lines. */
static size_t
diff_unmatched(struct diff *d, const struct item_kind *kind,
               const struct conf_list *list, const struct conf_list *other,
               const char *what)
{
    size_t before, unmatched = 0;

    for (size_t i = 0; i < list->count; i++) {
        if (counterpart(kind, list, i, other) < other->count) {
            continue;
        }
        before = push_item(d, kind, list, i);
        add_line(d, what);
        path_pop(d, before);
        unmatched++;
    }
    return unmatched;
}

/* Compares the items that both lists have. True when they are in the same
 * order in both. */
static bool
diff_common(struct diff *d, const struct item_kind *kind,
            const struct conf_list *a, const struct conf_list *b)
{
    size_t before, at, next = 0;
    bool ordered = true;

    for (size_t i = 0; i < a->count; i++) {
        at = counterpart(kind, a, i, b);
        if (at == b->count) {
            continue;
        }
        ordered &= at >= next;
        next = at;
        if (kind->table == NULL) {
            continue;
        }
        before = push_item(d, kind, a, i);
        diff_maps(d, kind->table, (const char *)a->items + i * kind->size,
                  (const char *)b->items + at * kind->size);
        path_pop(d, before);
    }
    return ordered;
}

/* Compares two lists: removed, added and changed items, and their order. */
static void
diff_list(struct diff *d, const struct item_kind *kind,
          const struct conf_list *a, const struct conf_list *b)
{
    diff_unmatched(d, kind, a, b, "removed");
    diff_unmatched(d, kind, b, a, "added");
    if (!diff_common(d, kind, a, b)) {
        add_line(d, "order changed");
    }
}

/* Compares two values by the type of their key. */
static void
diff_value(struct diff *d, const struct conf_key *key, const void *a,
           const void *b)
{
    struct item_kind kind = {.size = sizeof(char *), .named = true};

    switch (key->type) {
    case CONF_MAP:
        diff_maps(d, key->sub, a, b);
        return;
    case CONF_LIST:
        kind.size = key->sub->size;
        kind.table = key->sub;
        kind.named = key->sub->keys[0].type == CONF_NAME;
        diff_list(d, &kind, a, b);
        return;
    case CONF_STRINGS:
        diff_list(d, &kind, a, b);
        return;
    default:
        diff_scalar(d, key, a, b);
    }
}

/* Compares two structs key by key. */
static void
diff_maps(struct diff *d, const struct conf_table *table, const void *a,
          const void *b)
{
    const struct conf_key *key;
    size_t before;

    for (size_t i = 0; i < table->count; i++) {
        key = &table->keys[i];
        before = path_push(d, "%s%s", d->path.len > 0 ? "." : "", key->name);
        diff_value(d, key, (const char *)a + key->offset,
                   (const char *)b + key->offset);
        path_pop(d, before);
    }
}

/* Compares two documents. */
size_t
Config_Diff(const struct config *a, const struct config *b, struct buf *out)
{
    struct diff d = {.out = out};

    Buf_AppendStr(&d.path, "");
    diff_maps(&d, &config_document_table, a, b);
    Buf_Free(&d.path);
    return d.lines;
}
