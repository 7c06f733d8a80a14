#include "platform-table.h"

#include <stdlib.h>

struct get_call {
    struct call call;
    table_got done;
    void *arg;
};

struct list_call {
    struct call call;
    table_listed done;
    void *arg;
};

/* Frees the key and value of a row. */
static void
clear_row(struct table_row *row)
{
    free(row->key);
    row->key = NULL;
    Buf_Free(&row->value);
}

/* Reads a row. */
static int
read_row(const json_t *o, struct table_row *row)
{
    const char *key = json_string_value(json_object_get(o, "key"));
    int64_t version;

    if (key == NULL ||
        Json_ToInt(json_object_get(o, "version"), &version) != ERR_OK ||
        Json_ToId(json_object_get(o, "writer"), &row->writer) != ERR_OK ||
        Json_ToBytes(json_object_get(o, "value"), &row->value) != ERR_OK) {
        return ERR_INVALID;
    }
    row->key = Mem_Dup(key);
    row->version = (uint64_t)version;
    return ERR_OK;
}

/* Passes the row in a response to the caller. */
static bool
get_on_response(struct call *call, struct http_result *result)
{
    struct get_call *get = (struct get_call *)call;
    json_t *o = Json_FromResult(result);
    const json_t *row = json_object_get(o, "row");
    struct table_row found = {0};
    bool ok = result->status == 200 && row != NULL;

    if (ok && !json_is_null(row)) {
        ok = read_row(row, &found) == ERR_OK;
    }
    if (ok) {
        get->done(get->arg, ERR_OK, &found);
    }
    clear_row(&found);
    json_decref(o);
    return ok;
}

static void
get_on_failure(struct call *call, int err)
{
    struct get_call *get = (struct get_call *)call;
    struct table_row none = {0};

    get->done(get->arg, err, &none);
}

static const struct call_ops get_ops = {.on_response = get_on_response,
                                        .on_failure = get_on_failure};

/* Reads one row. */
static void
table_get(struct table *table, const char *name, const char *key,
          table_got done, void *arg)
{
    struct http_table *t = (struct http_table *)table;
    struct get_call *get =
        Call_New(&t->http, sizeof(*get), &get_ops, "POST", "/table/get");

    get->done = done;
    get->arg = arg;
    Call_SetJson(&get->call,
                 json_pack("{s:s,s:s}", "table", name, "key", key));
    Call_Start(&get->call);
}

/* Passes the rows in a response to the caller. */
static bool
list_on_response(struct call *call, struct http_result *result)
{
    struct list_call *list = (struct list_call *)call;
    json_t *o = Json_FromResult(result);
    const json_t *rows = json_object_get(o, "rows"), *row;
    bool more = json_is_true(json_object_get(o, "more"));
    size_t i, n = json_array_size(rows);
    struct table_row *found = Mem_Zero(n + 1, sizeof(*found));
    bool ok = result->status == 200 && json_is_array(rows);

    json_array_foreach(rows, i, row)
    {
        ok = ok && read_row(row, &found[i]) == ERR_OK;
    }
    if (ok) {
        list->done(list->arg, ERR_OK, found, n, more);
    }
    for (i = 0; i < n; i++) {
        clear_row(&found[i]);
    }
    free(found);
    json_decref(o);
    return ok;
}

static void
list_on_failure(struct call *call, int err)
{
    struct list_call *list = (struct list_call *)call;

    list->done(list->arg, err, NULL, 0, false);
}

static const struct call_ops list_ops = {.on_response = list_on_response,
                                         .on_failure = list_on_failure};

/* Lists the rows whose keys start with a prefix. */
static void
table_list(struct table *table, const char *name, const char *prefix,
           const char *after, size_t limit, table_listed done, void *arg)
{
    struct http_table *t = (struct http_table *)table;
    struct list_call *list =
        Call_New(&t->http, sizeof(*list), &list_ops, "POST", "/table/list");

    list->done = done;
    list->arg = arg;
    Call_SetJson(&list->call,
                 json_pack("{s:s,s:s,s:s,s:I}", "table", name, "prefix",
                           prefix ? prefix : "", "after", after ? after : "",
                           "limit", (json_int_t)limit));
    Call_Start(&list->call);
}

static void
table_free(struct table *table)
{
    struct http_table *t = (struct http_table *)table;

    Platform_HttpClear(&t->http);
    free(t);
}

static const struct table_ops table_ops = {.name = "http",
                                           .get = table_get,
                                           .list = table_list,
                                           .commit = Table_HttpCommit,
                                           .free = table_free};

/* Makes a client of a table service over HTTP. */
struct table *
Platform_HttpTable(struct ev_loop *loop, const char *url,
                   const struct platform_limits *limits)
{
    struct http_table *t = Mem_Zero(1, sizeof(*t));

    t->table.ops = &table_ops;
    if (Platform_HttpInit(&t->http, loop, url, limits) != ERR_OK) {
        free(t);
        return NULL;
    }
    return &t->table;
}
