#include "conf-internal.h"

#include <stdio.h>
#include <string.h>

/* Line of a node, counted from 1; 1 for an empty document. */
static int
node_line(const yaml_node_t *node)
{
    return node == NULL ? 1 : (int)node->start_mark.line + 1;
}

/* Describes the type of a node, for messages. */
static const char *
describe_node(const yaml_node_t *node)
{
    switch (node->type) {
    case YAML_MAPPING_NODE:
        return "is a map";
    case YAML_SEQUENCE_NODE:
        return "is a list";
    case YAML_SCALAR_NODE:
        return node->data.scalar.length == 0 ? "has no value" : "is text";
    default:
        return "has no value";
    }
}

/* Adds a mistake about the type of a node. */
static void
add_type_error(struct conf_reader *r, const struct conf_key *key,
               const yaml_node_t *node)
{
    char allowed[192];

    conf_describe_allowed(key, allowed);
    Conf_Add(r->errors, node_line(node), r->path.data, allowed, "%s",
             describe_node(node));
}

/* Appends a key to the path; returns the length of the path before. */
size_t
conf_path_push(struct conf_reader *r, const char *name)
{
    size_t before = r->path.len;

    Buf_Printf(&r->path, "%s%s", before > 0 ? "." : "", name);
    return before;
}

/* Appends a list index to the path; returns the length of the path before. */
static size_t
path_push_index(struct conf_reader *r, size_t index)
{
    size_t before = r->path.len;

    Buf_Printf(&r->path, "[%zu]", index);
    return before;
}

/* Truncates the path to an earlier length. */
void
conf_path_pop(struct conf_reader *r, size_t before)
{
    r->path.len = before;
    r->path.data[before] = '\0';
}

/* Reads a scalar node. */
static void
read_scalar(struct conf_reader *r, const struct conf_key *key,
            const yaml_node_t *node, void *at)
{
    struct conf_text text;

    if (node->type != YAML_SCALAR_NODE) {
        add_type_error(r, key, node);
        return;
    }
    text.data = (const char *)node->data.scalar.value;
    text.len = node->data.scalar.length;
    text.plain = node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
    text.line = node_line(node);
    conf_read_text(r, key, &text, at);
}

/* Checks that a node is a list of an allowed length. */
static bool
check_list(struct conf_reader *r, const struct conf_key *key,
           const yaml_node_t *node, size_t *count)
{
    char allowed[192];

    if (node->type != YAML_SEQUENCE_NODE) {
        add_type_error(r, key, node);
        return false;
    }
    *count = (size_t)(node->data.sequence.items.top -
                      node->data.sequence.items.start);
    if ((key->min != 0 || key->max != 0) &&
        ((int64_t)*count < key->min || (int64_t)*count > key->max)) {
        conf_describe_allowed(key, allowed);
        Conf_Add(r->errors, node_line(node), r->path.data, allowed,
                 "has %zu items", *count);
        return false;
    }
    return true;
}

/* Reads the items of a list, each described by item, into an array of elements
 * of size bytes. */
static void
read_items(struct conf_reader *r, const struct conf_key *key,
           const struct conf_key *item, size_t size, const yaml_node_t *node,
           struct conf_list *list)
{
    size_t count, before;

    if (!check_list(r, key, node, &count)) {
        return;
    }
    list->items = Mem_Zero(count, size);
    list->count = count;
    for (size_t i = 0; i < count; i++) {
        before = path_push_index(r, i);
        conf_read_node(
            r, item,
            yaml_document_get_node(r->doc, node->data.sequence.items.start[i]),
            (char *)list->items + i * size);
        conf_path_pop(r, before);
    }
}

/* Reads a list of maps. */
static void
read_list(struct conf_reader *r, const struct conf_key *key,
          const yaml_node_t *node, void *at)
{
    struct conf_key item = {.type = CONF_MAP, .sub = key->sub};

    read_items(r, key, &item, key->sub->size, node, at);
}

/* Reads a list of texts. Items that can't be read stay NULL. */
static void
read_strings(struct conf_reader *r, const struct conf_key *key,
             const yaml_node_t *node, void *at)
{
    struct conf_key item = {
        .type = CONF_STRING, .min = 1, .max = 1024, .format = key->format};

    read_items(r, key, &item, sizeof(char *), node, at);
}

/* Reads a map into an embedded struct. */
static void
read_submap(struct conf_reader *r, const struct conf_key *key,
            const yaml_node_t *node, void *at)
{
    if (node->type != YAML_MAPPING_NODE) {
        add_type_error(r, key, node);
        return;
    }
    conf_read_map(r, key->sub, node, at);
}

/* Reads a node by the type of its key. */
void
conf_read_node(struct conf_reader *r, const struct conf_key *key,
               const yaml_node_t *node, void *at)
{
    switch (key->type) {
    case CONF_MAP:
        read_submap(r, key, node, at);
        return;
    case CONF_LIST:
        read_list(r, key, node, at);
        return;
    case CONF_STRINGS:
        read_strings(r, key, node, at);
        return;
    default:
        read_scalar(r, key, node, at);
    }
}

/* Writes the names of a table's keys, separated by commas. */
static void
list_keys(const struct conf_table *table, struct buf *out)
{
    Buf_AppendStr(out, "one of ");
    for (size_t i = 0; i < table->count; i++) {
        Buf_Printf(out, "%s%s", i > 0 ? ", " : "", table->keys[i].name);
    }
}

/* Adds a mistake about a key that the table does not have. */
static void
add_unknown_key(struct conf_reader *r, const struct conf_table *table,
                const char *name, int line)
{
    struct buf allowed CLEANUP(Buf_Free) = {0};
    const char *nearest;
    size_t before;

    if (r->errors->count == CONF_ERRORS_MAX) {
        r->errors->more++;
        return;
    }
    nearest = conf_nearest(table, name);
    if (nearest != NULL) {
        Buf_Printf(&allowed, "did you mean %s? ", nearest);
    }
    list_keys(table, &allowed);
    before = conf_path_push(r, name);
    Conf_Add(r->errors, line, r->path.data, allowed.data, "unknown key");
    conf_path_pop(r, before);
}

/* Finds a key of a table by its name; -1 when there is none. */
static int
find_key(const struct conf_table *table, const char *name)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->keys[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Reads one pair of a map. first_lines has for each key of the table the line
 * of its first occurrence, or 0, so that the message about a duplicate key
 * gives both lines. */
static void
read_pair(struct conf_reader *r, const struct conf_table *table,
          const yaml_node_pair_t *pair, int *first_lines, void *out)
{
    const yaml_node_t *name = yaml_document_get_node(r->doc, pair->key);
    const struct conf_key *key;
    size_t before;
    int index;

    if (name->type != YAML_SCALAR_NODE) {
        Conf_Add(r->errors, node_line(name), r->path.data, "a word as key",
                 "a key that %s", describe_node(name));
        return;
    }
    index = find_key(table, (const char *)name->data.scalar.value);
    if (index < 0) {
        add_unknown_key(r, table, (const char *)name->data.scalar.value,
                        node_line(name));
        return;
    }
    key = &table->keys[index];
    before = conf_path_push(r, key->name);
    if (first_lines[index] != 0) {
        Conf_Add(r->errors, node_line(name), r->path.data, "one of them",
                 "stands twice, first in line %d", first_lines[index]);
    }
    else {
        first_lines[index] = node_line(name);
        conf_read_node(r, key, yaml_document_get_node(r->doc, pair->value),
                       (char *)out + key->offset);
    }
    conf_path_pop(r, before);
}

/* Reads the pairs of a map, then handles the keys that are missing. */
void
conf_read_map(struct conf_reader *r, const struct conf_table *table,
              const yaml_node_t *node, void *out)
{
    int *first_lines CLEANUP(Mem_FreeP) =
        Mem_Zero(table->count, sizeof(*first_lines));
    const yaml_node_pair_t *pair;

    if (table->line_at != 0) {
        int *line = (int *)(void *)((char *)out + table->line_at);

        *line = node_line(node);
    }
    if (node != NULL) {
        for (pair = node->data.mapping.pairs.start;
             pair < node->data.mapping.pairs.top; pair++) {
            read_pair(r, table, pair, first_lines, out);
        }
    }
    for (size_t i = 0; i < table->count; i++) {
        if (first_lines[i] == 0) {
            conf_read_missing(r, &table->keys[i], node_line(node),
                              (char *)out + table->keys[i].offset);
        }
    }
}
