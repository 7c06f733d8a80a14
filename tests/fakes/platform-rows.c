#include "platform.h"

#include <stdlib.h>
#include <string.h>

/* A row. A deleted row stays with its version, so that the versions of a key
 * never repeat. */
struct row {
    char *table;
    char *key;
    char *value; /* in base64; NULL: row is deleted */
    char writer[ID_HEX_SIZE];
    int64_t version;
    RB_ENTRY(row) entry;
};

/* Orders rows by table, then by key. */
static int
compare_rows(const struct row *a, const struct row *b)
{
    int order = strcmp(a->table, b->table);

    return order != 0 ? order : strcmp(a->key, b->key);
}

RB_HEAD(row_tree, row);
RB_GENERATE_INTERNAL(row_tree, row, entry, compare_rows, UNUSED static)

struct rows {
    struct row_tree tree;
};

/* Creates an empty store. */
struct rows *
Rows_New(void)
{
    struct rows *rows = Mem_Zero(1, sizeof(*rows));

    RB_INIT(&rows->tree);
    return rows;
}

/* Frees a store. */
void
Rows_Free(struct rows *rows)
{
    struct row *row, *next;

    RB_FOREACH_SAFE (row, row_tree, &rows->tree, next) {
        RB_REMOVE(row_tree, &rows->tree, row);
        free(row->table);
        free(row->key);
        free(row->value);
        free(row);
    }
    free(rows);
}

/* Finds a row, also a deleted one. */
static struct row *
find_row(struct rows *rows, const char *table, const char *key)
{
    struct row search_key = {.table = (char *)(uintptr_t)table,
                             .key = (char *)(uintptr_t)key};

    return RB_FIND(row_tree, &rows->tree, &search_key);
}

/* Returns the version that conditions compare: 0 when the row is missing or
 * deleted. */
static int64_t
version_of(const struct row *row)
{
    return row == NULL || row->value == NULL ? 0 : row->version;
}

/* Returns a row in the format of the table service. */
static json_t *
row_to_json(const struct row *row)
{
    return json_pack("{s:s,s:I,s:s,s:s}", "key", row->key, "version",
                     (json_int_t)row->version, "writer", row->writer, "value",
                     row->value);
}

/* Returns one row. */
json_t *
Rows_Get(struct rows *rows, const char *table, const char *key)
{
    const struct row *row = find_row(rows, table, key);

    if (version_of(row) == 0) {
        return json_pack("{s:n}", "row");
    }
    return json_pack("{s:o}", "row", row_to_json(row));
}

/* Lists rows by key prefix, page by page. */
json_t *
Rows_List(struct rows *rows, const char *table, const char *prefix,
          const char *after, size_t limit)
{
    struct row search_key = {.table = (char *)(uintptr_t)table,
                             .key = (char *)(uintptr_t)after};
    json_t *found = json_array();
    const struct row *row;
    bool more = false;

    for (row = RB_NFIND(row_tree, &rows->tree, &search_key);
         row != NULL && strcmp(row->table, table) == 0;
         row = RB_NEXT(row_tree, &rows->tree, (struct row *)(uintptr_t)row)) {
        if (row->value == NULL || strcmp(row->key, after) == 0 ||
            strncmp(row->key, prefix, strlen(prefix)) != 0) {
            continue;
        }
        more = json_array_size(found) == limit;
        if (more) {
            break;
        }
        json_array_append_new(found, row_to_json(row));
    }
    return json_pack("{s:o,s:b}", "rows", found, "more", more);
}

/* Returns a string member of an op, or the empty string. */
static const char *
string_member(const json_t *op, const char *key)
{
    const char *s = json_string_value(json_object_get(op, key));

    return s == NULL ? "" : s;
}

/* Returns the row that an op names, or NULL. */
static struct row *
find_named_row(struct rows *rows, const json_t *op)
{
    return find_row(rows, string_member(op, "table"),
                    string_member(op, "key"));
}

/* True when the op has no condition or its condition holds. */
static bool
condition_holds(struct rows *rows, const json_t *op)
{
    int64_t expected = Fake_Int(op, "if_version", -1);

    return expected < 0 || expected == version_of(find_named_row(rows, op));
}

/* Returns current version and writer of each op's row, for the response to a
 * conflict. */
static json_t *
current_rows(struct rows *rows, const json_t *ops)
{
    json_t *all = json_array();
    const json_t *op;
    size_t i;

    json_array_foreach(ops, i, op)
    {
        const struct row *row = find_named_row(rows, op);
        int64_t version = version_of(row);

        json_array_append_new(all, json_pack("{s:I,s:s}", "version",
                                             (json_int_t)version, "writer",
                                             version == 0 ? "" : row->writer));
    }
    return all;
}

/* Applies one op and returns the row's resulting version. */
static int64_t
apply_op(struct rows *rows, const json_t *op, const char *token,
         int64_t *written)
{
    struct row *row = find_named_row(rows, op);

    if (strcmp(string_member(op, "verb"), "check") == 0) {
        return version_of(row);
    }
    if (row == NULL) {
        row = Mem_Zero(1, sizeof(*row));
        row->table = Mem_Dup(string_member(op, "table"));
        row->key = Mem_Dup(string_member(op, "key"));
        RB_INSERT(row_tree, &rows->tree, row);
    }
    (*written)++;
    row->version++;
    Str_Copy(row->writer, sizeof(row->writer), token);
    free(row->value);
    row->value = NULL;
    if (strcmp(string_member(op, "verb"), "put") == 0) {
        row->value = Mem_Dup(string_member(op, "value"));
    }
    return row->version;
}

/* Checks the conditions of all ops before it applies any. */
json_t *
Rows_Commit(struct rows *rows, const json_t *body, int *status,
            int64_t *written)
{
    const json_t *ops = json_object_get(body, "ops");
    const char *token = string_member(body, "token");
    json_t *versions;
    const json_t *op;
    struct id id;
    size_t i;

    *written = 0;
    *status = 400;
    if (Id_Parse(token, &id) != ERR_OK || !json_is_array(ops)) {
        return json_pack("{s:s}", "reason", "commit");
    }
    json_array_foreach(ops, i, op)
    {
        if (!condition_holds(rows, op)) {
            *status = 409;
            return json_pack("{s:I,s:o}", "at", (json_int_t)i, "rows",
                             current_rows(rows, ops));
        }
    }
    versions = json_array();
    json_array_foreach(ops, i, op)
    {
        json_array_append_new(
            versions, json_integer(apply_op(rows, op, token, written)));
    }
    *status = 200;
    return json_pack("{s:o}", "versions", versions);
}
