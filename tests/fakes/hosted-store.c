/* Stand-in for the hosted platform's store, following its published protocol:
 * rows with versions from one counter, transactions, ranges, and a feed with
 * bounded history. It listens on two ports, and a fault can be set for each of
 * them, as the platform refuses calls from some machines while it serves
 * others.
 *
 * PUT /odd-row sets a text that each feed has as its first row, "" for none.
 *
 * PUT /fault/PORT sets the fault of a port: "" (none), "busy" (calls get 503),
 * "no-rows" (calls get an object without any field),
 * "silent" (calls get no response), "lose" (writes are done, and the
 * connection is closed without a response), "quiet" (feeds return no
 * change), "hold" (writes of spec rows are held without a response until PUT
 * /held/release; PUT /held/count returns their number), "hold-stops" (the same
 * for stop rows) or "hold-one" (the next write of a progress row is held, and
 * its connection is closed). PUT
 * /history/drop drops the history, so that feeds from before get 410. */
#include "fake.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULT_SIZE 16

struct row {
    char *table;
    char *key;
    json_t *value; /* base64 */
    uint64_t version;
    bool removed; /* deleted; kept for the feed */
    TAILQ_ENTRY(row) entry;
};

/* A feed that waits for a change. */
struct waiter {
    struct store *store;
    struct http_exchange *ex;
    const struct listener *listener;
    char table[NAME_SIZE];
    uint64_t after;
    ev_timer timer;
    TAILQ_ENTRY(waiter) entry;
};

/* A port with its fault. */
struct listener {
    struct store *store;
    struct http_server *server;
    char fault[FAULT_SIZE];
};

struct store {
    struct task task;
    json_t *held; /* transactions that wait for PUT /held/release */
    struct listener listeners[2];
    TAILQ_HEAD(, row) rows;
    TAILQ_HEAD(, waiter) waiters;
    struct buf odd_row; /* as in PUT /odd-row */
    uint64_t version;
    uint64_t oldest; /* feeds from an earlier version get 410 */
};

/* Returns the row, which may be a deleted one, or NULL. */
static struct row *
find_row(struct store *s, const char *table, const char *key)
{
    struct row *r;

    TAILQ_FOREACH (r, &s->rows, entry) {
        if (strcmp(r->table, table) == 0 && strcmp(r->key, key) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Returns a row as JSON of the protocol. */
static json_t *
row_json(const struct row *r)
{
    json_t *o =
        json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part", "", "key",
                  r->key, "schema-version", (json_int_t)r->version);

    if (r->removed) {
        json_object_set_new(o, "removed", json_true());
    }
    else {
        json_object_set(o, "value", r->value);
    }
    return o;
}

/* Returns a response with rows as of a version. */
static json_t *
rows_response_at(uint64_t version, json_t *rows)
{
    return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has-more", 0,
                     "schema-version", (json_int_t)version, "current-time-ms",
                     (json_int_t)Clock_NowMs());
}

/* Returns a response with rows as of the current version. */
static json_t *
rows_response(const struct store *s, json_t *rows)
{
    return rows_response_at(s->version, rows);
}

/* Sends the response of a feed, with the odd row before the others. */
static void
reply_rows(const struct store *s, struct http_exchange *ex, json_t *o)
{
    static const char list[] = "\"rows\":[";
    struct buf out CLEANUP(Buf_Free) = {0};
    char *text, *items;

    if (s->odd_row.len == 0) {
        Fake_Reply(ex, 200, o);
        return;
    }
    text = json_dumps(o, JSON_COMPACT);
    items = strstr(text, list) + strlen(list);
    Buf_Append(&out, text, (size_t)(items - text));
    Buf_Append(&out, s->odd_row.data, s->odd_row.len);
    Buf_AppendStr(&out, *items != ']' ? "," : "");
    Buf_AppendStr(&out, items);
    Http_Reply(ex, 200, "application/json", out.data, out.len);
    free(text);
    json_decref(o);
}

/* True if feeds on this port return no change. */
static bool
hides_changes(const struct listener *listener)
{
    return strcmp(listener->fault, "quiet") == 0;
}

/* Returns the rows that changed after a version, in order of their change. */
static json_t *
changed_rows(const struct store *s, const char *table, uint64_t after)
{
    json_t *rows = json_array();
    const struct row *r;

    TAILQ_FOREACH (r, &s->rows, entry) {
        if (strcmp(r->table, table) == 0 && r->version > after) {
            json_array_append_new(rows, row_json(r));
        }
    }
    return rows;
}

/* Responds to a waiting feed. */
static void
end_feed(struct waiter *w)
{
    struct store *s = w->store;

    TAILQ_REMOVE(&s->waiters, w, entry);
    ev_timer_stop(s->task.kernel->loop, &w->timer);
    if (hides_changes(w->listener)) {
        reply_rows(s, w->ex, rows_response_at(w->after, json_array()));
    }
    else {
        reply_rows(s, w->ex,
                   rows_response(s, changed_rows(s, w->table, w->after)));
    }
    free(w);
}

static void
on_feed_timeout(struct ev_loop *loop UNUSED, ev_timer *timer,
                int events UNUSED)
{
    end_feed(timer->data);
}

/* Responds to the waiting feeds of a table that has changed. */
static void
end_feeds(struct store *s, const char *table)
{
    struct waiter *w, *next;

    TAILQ_FOREACH_SAFE (w, &s->waiters, entry, next) {
        if (strcmp(w->table, table) == 0 && !hides_changes(w->listener)) {
            end_feed(w);
        }
    }
}

/* GET /rows-feed: changed rows, at once or when there are some. */
static void
feed(const struct listener *listener, struct http_exchange *ex)
{
    struct store *s = listener->store;
    const char *table = Http_Query(ex, "table");
    const char *after = Http_Query(ex, "after");
    const char *wait = Http_Query(ex, "wait-ms");
    struct waiter *w;
    json_t *rows;

    if (strtoull(after, NULL, 10) < s->oldest) {
        Fake_Reply(ex, 410, json_object());
        return;
    }
    rows = hides_changes(listener)
               ? json_array()
               : changed_rows(s, table, strtoull(after, NULL, 10));
    if (json_array_size(rows) > 0) {
        reply_rows(s, ex, rows_response(s, rows));
        return;
    }
    json_decref(rows);
    w = Mem_Zero(1, sizeof(*w));
    w->store = s;
    w->ex = ex;
    w->listener = listener;
    Str_Copy(w->table, sizeof(w->table), table);
    w->after = strtoull(after, NULL, 10);
    ev_init(&w->timer, on_feed_timeout);
    w->timer.data = w;
    TAILQ_INSERT_TAIL(&s->waiters, w, entry);
    Timer_Set(s->task.kernel->loop, &w->timer, strtoll(wait, NULL, 10));
}

/* Compares rows by key, for qsort(). */
static int
by_key(const void *va, const void *vb)
{
    const struct row *const *a = va, *const *b = vb;

    return strcmp((*a)->key, (*b)->key);
}

/* GET /rows-get: the rows in a range of keys, in order. */
static void
get(struct store *s, struct http_exchange *ex)
{
    const char *table = Http_Query(ex, "table");
    const char *from = Http_Query(ex, "from");
    const char *to = Http_Query(ex, "target");
    const struct row **list CLEANUP(Mem_FreeP) = NULL;
    json_t *rows = json_array();
    const struct row *r;
    size_t n = 0;

    TAILQ_FOREACH (r, &s->rows, entry) {
        n++;
    }
    list = Mem_Zero(n + 1, sizeof(*list));
    n = 0;
    TAILQ_FOREACH (r, &s->rows, entry) {
        if (!r->removed && strcmp(r->table, table) == 0 &&
            (from == NULL || strcmp(r->key, from) >= 0) &&
            (to == NULL || strcmp(r->key, to) < 0)) {
            list[n++] = r;
        }
    }
    qsort(list, n, sizeof(*list), by_key);
    for (size_t i = 0; i < n; i++) {
        json_array_append_new(rows, row_json(list[i]));
    }
    Fake_Reply(ex, 200, rows_response(s, rows));
}

/* Writes or deletes one row, with the current version of the store. */
static void
write_row(struct store *s, const json_t *o, bool removed)
{
    const char *table = json_string_value(json_object_get(o, "table"));
    const char *key = json_string_value(json_object_get(o, "key"));
    struct row *r = find_row(s, table, key);

    if (r == NULL) {
        r = Mem_Zero(1, sizeof(*r));
        r->table = Mem_Dup(table);
        r->key = Mem_Dup(key);
    }
    else {
        TAILQ_REMOVE(&s->rows, r, entry);
        json_decref(r->value);
    }
    r->value = json_incref(json_object_get(o, "value"));
    r->version = s->version;
    r->removed = removed;
    TAILQ_INSERT_TAIL(&s->rows, r, entry);
}

/* True when all conditions of a transaction hold. */
static bool
conditions_hold(struct store *s, const json_t *expect)
{
    json_t *o;
    size_t i;

    json_array_foreach(expect, i, o)
    {
        const struct row *r =
            find_row(s, json_string_value(json_object_get(o, "table")),
                     json_string_value(json_object_get(o, "key")));
        uint64_t version = r != NULL && !r->removed ? r->version : 0;

        if (version != (uint64_t)Fake_Int(o, "schema-version", 0)) {
            return false;
        }
    }
    return true;
}

/* Makes a transaction if all its conditions hold. */
static bool
apply(struct store *s, const json_t *body)
{
    json_t *o;
    size_t i;

    if (!conditions_hold(s, json_object_get(body, "expect"))) {
        return false;
    }
    s->version++;
    json_array_foreach(json_object_get(body, "writes"), i, o)
    {
        write_row(s, o, false);
    }
    json_array_foreach(json_object_get(body, "remove"), i, o)
    {
        write_row(s, o, true);
    }
    json_array_foreach(json_object_get(body, "writes"), i, o)
    {
        end_feeds(s, json_string_value(json_object_get(o, "table")));
    }
    return true;
}

/* True for a transaction that writes a row whose key has that prefix. */
static bool
writes_row(const json_t *body, const char *prefix)
{
    json_t *o;
    size_t i;

    json_array_foreach(json_object_get(body, "writes"), i, o)
    {
        if (strncmp(json_string_value(json_object_get(o, "key")), prefix,
                    strlen(prefix)) == 0) {
            return true;
        }
    }
    return false;
}

/* Makes the held transactions as if they arrived now. Returns how many. */
static json_t *
release_held(struct store *s)
{
    json_int_t made = 0;
    json_t *body;
    size_t i;

    json_array_foreach(s->held, i, body)
    {
        made += apply(s, body);
    }
    json_array_clear(s->held);
    return json_pack("{s:I}", "made", made);
}

/* POST /rows-tx: writes and deletes rows if all conditions hold. */
static void
transact(struct listener *listener, struct http_exchange *ex)
{
    struct store *s = listener->store;
    char *fault = listener->fault;
    struct buf empty = {0};
    json_t *body = Fake_Body(ex);

    if (body == NULL) {
        return;
    }
    if ((strcmp(fault, "hold") == 0 && writes_row(body, "spec/")) ||
        (strcmp(fault, "hold-stops") == 0 && writes_row(body, "stop/"))) {
        json_array_append(s->held, body);
    }
    else if (strcmp(fault, "hold-one") == 0 && writes_row(body, "run/")) {
        json_array_append(s->held, body);
        *fault = '\0';
        Fake_Close(ex, &empty);
    }
    else if (!apply(s, body)) {
        Fake_Reply(ex, 412, rows_response(s, json_array()));
    }
    else if (strcmp(fault, "lose") == 0) {
        Fake_Close(ex, &empty);
    }
    else {
        Fake_Reply(ex, 200, rows_response(s, json_array()));
    }
    json_decref(body);
}

/* PUT /fault/PORT, /history/drop and /held/release, by which tests control the
 * store. Returns false for another path. */
static bool
control(struct store *s, struct http_exchange *ex)
{
    const char *path = Http_Path(ex);
    const struct buf *body = Http_Body(ex);

    if (strncmp(path, "/fault/", 7) == 0) {
        for (size_t i = 0; i < COUNT_OF(s->listeners); i++) {
            if (atoi(path + 7) == Http_ServerPort(s->listeners[i].server)) {
                Str_Copy(s->listeners[i].fault, FAULT_SIZE,
                         body->data != NULL ? body->data : "");
            }
        }
    }
    else if (strcmp(path, "/odd-row") == 0) {
        Buf_Set(&s->odd_row, body->data != NULL ? body->data : "", body->len);
    }
    else if (strcmp(path, "/history/drop") == 0) {
        s->oldest = s->version + 1;
        s->version++;
    }
    else if (strcmp(path, "/held/count") == 0) {
        Fake_Reply(
            ex, 200,
            json_pack("{s:I}", "held", (json_int_t)json_array_size(s->held)));
        return true;
    }
    else if (strcmp(path, "/held/release") == 0) {
        Fake_Reply(ex, 200, release_held(s));
        return true;
    }
    else {
        return false;
    }
    Fake_Reply(ex, 200, json_object());
    return true;
}

/* Serves a call, with the fault of the port at which it arrives. */
static void
on_call(void *arg, struct http_exchange *ex)
{
    struct listener *listener = arg;
    const char *path = Http_Path(ex);

    if (strcmp(Http_Method(ex), "PUT") == 0 && control(listener->store, ex)) {
        return;
    }
    if (strcmp(listener->fault, "busy") == 0) {
        Fake_Reply(ex, 503, json_object());
    }
    else if (strcmp(listener->fault, "no-rows") == 0) {
        Fake_Reply(ex, 200, json_object());
    }
    else if (strcmp(listener->fault, "silent") == 0) {
        return; /* without a response */
    }
    else if (strcmp(path, "/rows-feed") == 0) {
        feed(listener, ex);
    }
    else if (strcmp(path, "/rows-get") == 0) {
        get(listener->store, ex);
    }
    else if (strcmp(path, "/rows-tx") == 0) {
        transact(listener, ex);
    }
    else {
        Fake_Reply(ex, 404, json_object());
    }
}

static const struct task_ops store_ops = {.name = "store"};

int
main(int argc, char **argv)
{
    struct arg_file *first =
        arg_file1(NULL, "port-file", "FILE", "file for the port");
    struct arg_file *second = arg_file0(NULL, "second-port-file", "FILE",
                                        "file for the second port");
    struct arg_end *end = arg_end(5);
    void *table[] = {first, second, end};
    struct store s = {.oldest = 0};
    struct kernel k;

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    s.held = json_array();
    TAILQ_INIT(&s.rows);
    TAILQ_INIT(&s.waiters);
    Kernel_Init(&k, "hosted-store", NULL, 100);
    Kernel_AddTask(&k, &s.task, &store_ops);
    s.listeners[0].store = s.listeners[1].store = &s;
    s.listeners[1].server =
        Fake_Listen(k.loop, 0, second->count ? second->filename[0] : NULL,
                    on_call, &s.listeners[1]);
    s.listeners[0].server =
        Fake_Listen(k.loop, 0, first->filename[0], on_call, &s.listeners[0]);
    Kernel_Run(&k);
    _Exit(0); /* feeds may still wait; no state has to be kept */
}
