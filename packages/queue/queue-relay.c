#include "queue-relay.h"

#include <stdlib.h>
#include <string.h>

/* Rows of a page that is relayed: half a megabyte of usual rows, which a slow
 * link transfers within RELAY_TIMEOUT_MS. */
#define RELAY_PAGE_ROWS 100
/* Interval at which a small read probes the own connection while it fails. */
#define PROBE_INTERVAL_MS 300
/* Timeout of a relayed call, in addition to the wait of a feed: the time of a
 * slow store, and of a message between entries each way. */
#define RELAY_TIMEOUT_MS 900

static struct counter relayed_total = {
    "parsleyfall_queue_relayed_total",
    "Calls of the store that went through another entry.", NULL,
    COUNTER_TOTAL};

/* Returns the store task that a table belongs to. */
static struct store_task *
task_of(struct table *t)
{
    return (struct store_task *)((char *)t -
                                 offsetof(struct store_task, table));
}

/* Frees a call. */
static void
free_table_call(struct table_call *call)
{
    Wire_Clear(&call->request.msg);
    free(call);
}

/* Reports a result to the caller of a call. */
static void
answer(struct table_call *call, int err, struct table_row *rows, size_t count,
       bool more, uint64_t position, const uint64_t *versions)
{
    struct table_row none = {0};

    call->store->table.position = position;
    switch (call->request.verb) {
    case WIRE_STORE_GET:
        call->done.got(call->arg, err, count > 0 ? rows : &none);
        break;
    case WIRE_STORE_LIST:
        call->done.listed(call->arg, err, rows, count, more);
        break;
    case WIRE_STORE_FEED:
        call->done.fed(call->arg, err, rows, count, position);
        break;
    default:
        call->done.committed(call->arg, err, 0, versions);
    }
}

/* Reports a result and frees the call. */
static void
finish(struct table_call *call, int err, struct table_row *rows, size_t count,
       bool more, uint64_t position, const uint64_t *versions)
{
    answer(call, err, rows, count, more, position, versions);
    free_table_call(call);
}

/* Reports failure to the caller of a call, which may still be open on the own
 * connection. */
void
Relay_Fail(struct table_call *call, int err)
{
    uint64_t *none CLEANUP(Mem_FreeP) =
        Mem_Zero(call->request.ops.count + 1, sizeof(*none));

    answer(call, err, NULL, 0, false, call->store->table.position, none);
}

/* Reports failure and frees the call. */
static void
fail(struct table_call *call, int err)
{
    Relay_Fail(call, err);
    free_table_call(call);
}

/* Handles a relayed call without an answer. */
static void
on_relay_timeout(struct ev_loop *loop UNUSED, ev_timer *timer,
                 int events UNUSED)
{
    struct table_call *call = timer->data;
    bool writes = call->request.verb == WIRE_STORE_COMMIT;

    TAILQ_REMOVE(&call->store->relayed_calls, call, entry);
    call->store->relay_failures++;
    fail(call, writes ? ERR_UNKNOWN : ERR_TIMEOUT);
}

/* Relays a call through another entry; false when there is none. Calls on the
 * operator table are never relayed, as entries send each other that table's
 * changes anyway, and only the differences. */
static bool
relay(struct table_call *call)
{
    struct store_task *s = call->store;
    struct entry_outbound *out;
    struct buf bytes CLEANUP(Buf_Free) = {0};
    struct wire_msg *copy;

    if (*s->relay_address == '\0' || call->relayed ||
        strcmp(call->request.table, Queue_Platform()->config_table) == 0) {
        return false;
    }
    call->relayed = true;
    if (call->request.verb == WIRE_STORE_LIST &&
        call->request.limit > RELAY_PAGE_ROWS) {
        call->request.limit = RELAY_PAGE_ROWS;
    }
    call->request.number = ++s->last_number;
    Wire_Encode(&call->request.msg, &bytes);
    if (Wire_Decode(bytes.data, bytes.len, &copy) != ERR_OK) {
        return false;
    }
    Counter_Add(&relayed_total, 1);
    out = Mem_Zero(1, sizeof(*out));
    Str_Copy(out->address, sizeof(out->address), s->relay_address);
    out->m = copy;
    TAILQ_INSERT_TAIL(&s->relayed_calls, call, entry);
    ev_init(&call->timeout, on_relay_timeout);
    call->timeout.data = call;
    Timer_Set(s->task.kernel->loop, &call->timeout,
              RELAY_TIMEOUT_MS + call->request.wait_ms);
    Queue_Post(s->task.kernel, TASK_LINKS, &out->base,
               &Queue_EntryOutboundKind);
    return true;
}

/* True when the store itself answered and did not refuse the call as busy. */
bool
Relay_IsAnswer(int err)
{
    return err == ERR_OK || err == ERR_CONFLICT || err == ERR_GONE ||
           err == ERR_INVALID;
}

/* Fails relayed reads, as the own connection works again.
 *
 * If the relay entry hangs with a feed call of this process, the configuration
 * would stay old until that call times out, although the store would answer
 * directly. The reader repeats its call at once. */
static void
end_relayed_reads(struct store_task *s)
{
    struct table_call *call, *next;

    TAILQ_FOREACH_SAFE (call, &s->relayed_calls, entry, next) {
        if (call->request.verb != WIRE_STORE_COMMIT) {
            TAILQ_REMOVE(&s->relayed_calls, call, entry);
            ev_timer_stop(s->task.kernel->loop, &call->timeout);
            fail(call, ERR_TIMEOUT);
        }
    }
}

/* Records the result of a call on the own connection, and logs a change
 * between direct and relayed calls. */
void
Relay_NoteDirect(struct store_task *s, int err)
{
    int64_t now = Clock_NowMs();

    s->direct_failures = Relay_IsAnswer(err) ? 0 : s->direct_failures + 1;
    if (Relay_IsAnswer(err)) {
        if (s->relaying) {
            LOG_I("store_way", KV("way", "own"),
                  KV_INT("away_ms", now - s->direct_failing_since_ms));
        }
        s->direct_ok_ms = now;
        s->direct_failing_since_ms = 0;
        if (s->relaying) {
            s->relaying = false;
            end_relayed_reads(s);
        }
        return;
    }
    if (s->direct_failing_since_ms == 0) {
        s->direct_failing_since_ms = now;
    }
    if (!s->relaying && *s->relay_address != '\0') {
        s->relaying = true;
        LOG_W("store_way", KV("way", s->relay_address),
              KV("error", Err_Name(err)));
    }
}

/* True when a failed direct call may be relayed: nothing was done, or it only
 * reads. */
static bool
may_relay(const struct table_call *call, int err)
{
    if (err == ERR_BUSY || err == ERR_UNREACHABLE) {
        return true;
    }
    return call->request.verb != WIRE_STORE_COMMIT &&
           (err == ERR_TIMEOUT || err == ERR_IO);
}

/* Handles the result of a call on the own connection. */
static void
direct_done(struct table_call *call, int err, struct table_row *rows,
            size_t count, bool more, const uint64_t *versions)
{
    TAILQ_REMOVE(&call->store->direct_calls, call, entry);
    call->store->table.transfer_ms = call->store->direct->transfer_ms;
    Relay_NoteDirect(call->store, err);
    if (call->request.verb == WIRE_STORE_COMMIT) {
        Relay_NoteCommit(call, err);
    }
    if (call->given_up) {
        free_table_call(call);
        return;
    }
    if (may_relay(call, err) && relay(call)) {
        return;
    }
    finish(call, err, rows, count, more, call->store->direct->position,
           versions);
}

static void
direct_got(void *arg, int err, struct table_row *row)
{
    direct_done(arg, err, row, row->version != 0, false, NULL);
}

static void
direct_listed(void *arg, int err, struct table_row *rows, size_t count,
              bool more)
{
    direct_done(arg, err, rows, count, more, NULL);
}

static void
direct_fed(void *arg, int err, struct table_row *rows, size_t count,
           uint64_t position UNUSED)
{
    direct_done(arg, err, rows, count, false, NULL);
}

static void
direct_committed(void *arg, int err, size_t at UNUSED,
                 const uint64_t *versions)
{
    direct_done(arg, err, NULL, 0, false, versions);
}

/* Converts the ops of a commit; the result is to be freed. */
struct table_op *
Relay_TableOps(const struct wire_store_call *c)
{
    const struct wire_store_op *from = c->ops.items;
    struct table_op *ops = Mem_Zero(c->ops.count + 1, sizeof(*ops));

    for (size_t i = 0; i < c->ops.count; i++) {
        ops[i] = (struct table_op){.verb = (enum table_verb)from[i].verb,
                                   .table = from[i].table,
                                   .key = from[i].key,
                                   .if_version = from[i].if_version,
                                   .value = from[i].value.data,
                                   .len = from[i].value.len};
    }
    return ops;
}

/* Makes a call on the own connection. */
static void
call_direct(struct table *t, struct table_call *call)
{
    const struct wire_store_call *c = &call->request;
    struct table_op *ops CLEANUP(Mem_FreeP) = NULL;

    switch (c->verb) {
    case WIRE_STORE_GET:
        t->ops->get(t, c->table, c->key, direct_got, call);
        return;
    case WIRE_STORE_LIST:
        t->ops->list(t, c->table, c->key, c->after, c->limit, direct_listed,
                     call);
        return;
    case WIRE_STORE_FEED:
        t->ops->feed(t, c->table, c->position, c->wait_ms, direct_fed, call);
        return;
    default:
        ops = Relay_TableOps(c);
        Relay_StartCommitTimeout(call);
        t->ops->commit(t, ops, c->ops.count, direct_committed, call);
    }
}

/* Handles the result of a probe. */
static void
on_probed(void *arg, int err, struct table_row *row UNUSED)
{
    Relay_NoteDirect(arg, err == ERR_NOTFOUND ? ERR_OK : err);
}

/* Probes the own connection with a read that no caller waits for.
 *
 * If the owner's own writes or the feed of its rows were used as probes of a
 * silent connection, the owner could write nothing until such a call timed out
 * and would then have to fence itself, again with each probe. Starts would
 * wait for seconds although another entry could relay the writes. Calls are
 * therefore made only over a connection that is known to work. */
static void
probe(struct store_task *s)
{
    int64_t now = Clock_NowMs();

    if (now < s->next_probe_ms) {
        return;
    }
    s->next_probe_ms = now + PROBE_INTERVAL_MS;
    s->direct->ops->get(s->direct, Queue_Platform()->own_table, "owner",
                        on_probed, s);
}

/* Makes a call directly or through another entry.
 *
 * The store may refuse this machine for seconds while it serves others.
 * Callers of this entry would be refused, its configuration would stay old,
 * and as the owner it would send no orders until another entry takes over.
 * Calls are therefore relayed while the own connection fails, and probes
 * detect when it works again. A write with an unknown outcome is never
 * repeated here. */
static void
send_call(struct table_call *call)
{
    struct store_task *s = call->store;

    if (s->relaying) {
        probe(s);
        if (relay(call)) {
            return;
        }
    }
    TAILQ_INSERT_TAIL(&s->direct_calls, call, entry);
    call_direct(s->direct, call);
}

/* Creates a call. */
static struct table_call *
new_table_call(struct table *t, enum wire_store_verb verb, const char *table,
               void *arg)
{
    struct table_call *call = Mem_Zero(1, sizeof(*call));

    call->store = task_of(t);
    call->request.msg.type = WIRE_STORE_CALL;
    call->request.verb = verb;
    Str_Copy(call->request.table, sizeof(call->request.table), table);
    call->arg = arg;
    return call;
}

static void
relay_get(struct table *t, const char *table, const char *key, table_got done,
          void *arg)
{
    struct table_call *call = new_table_call(t, WIRE_STORE_GET, table, arg);

    Str_Copy(call->request.key, sizeof(call->request.key), key);
    call->done.got = done;
    send_call(call);
}

static void
relay_list(struct table *t, const char *table, const char *prefix,
           const char *after, size_t limit, table_listed done, void *arg)
{
    struct table_call *call = new_table_call(t, WIRE_STORE_LIST, table, arg);

    Str_Copy(call->request.key, sizeof(call->request.key), prefix);
    Str_Copy(call->request.after, sizeof(call->request.after), after);
    call->request.limit = limit;
    call->done.listed = done;
    send_call(call);
}

static void
relay_feed(struct table *t, const char *table, uint64_t after, int64_t wait_ms,
           table_fed done, void *arg)
{
    struct table_call *call = new_table_call(t, WIRE_STORE_FEED, table, arg);

    call->request.position = after;
    call->request.wait_ms = wait_ms;
    call->done.fed = done;
    send_call(call);
}

static void
relay_commit(struct table *t, const struct table_op *ops, size_t count,
             table_committed done, void *arg)
{
    struct table_call *call = new_table_call(t, WIRE_STORE_COMMIT, "", arg);

    for (size_t i = 0; i < count; i++) {
        struct wire_store_op *op =
            Wire_ListAdd(&call->request.ops, sizeof(*op));

        op->verb = ops[i].verb;
        op->if_version = ops[i].if_version;
        Str_Copy(op->table, sizeof(op->table), ops[i].table);
        Str_Copy(op->key, sizeof(op->key), ops[i].key);
        Buf_Append(&op->value, ops[i].value, ops[i].len);
    }
    call->done.committed = done;
    send_call(call);
}

static const struct table_ops relay_ops = {.name = "relay",
                                           .get = relay_get,
                                           .list = relay_list,
                                           .commit = relay_commit,
                                           .feed = relay_feed};

/* Initialises the table that the other tasks call. */
void
Relay_Init(struct store_task *s)
{
    s->table.ops = &relay_ops;
    TAILQ_INIT(&s->relayed_calls);
    TAILQ_INIT(&s->direct_calls);
    TAILQ_INIT(&s->served_calls);
}

/* Handles the answer to a relayed call. */
void
Relay_TakeAnswer(struct store_task *s, struct wire_store_answer *m)
{
    struct table_row *rows CLEANUP(Mem_FreeP) = NULL;
    struct wire_store_row *from = m->rows.items;
    uint64_t *versions CLEANUP(Mem_FreeP) = NULL;
    struct table_call *call;

    TAILQ_FOREACH (call, &s->relayed_calls, entry) {
        if (call->request.number == m->number) {
            break;
        }
    }
    if (call == NULL) {
        return; /* late: the call has timed out */
    }
    TAILQ_REMOVE(&s->relayed_calls, call, entry);
    ev_timer_stop(s->task.kernel->loop, &call->timeout);
    s->relay_failures =
        Relay_IsAnswer((int)m->err) ? 0 : s->relay_failures + 1;
    rows = Mem_Zero(m->rows.count + 1, sizeof(*rows));
    for (size_t i = 0; i < m->rows.count; i++) {
        rows[i] = (struct table_row){.key = Mem_Dup(from[i].key),
                                     .version = from[i].version,
                                     .value = from[i].value};
        from[i].value = (struct buf){0};
    }
    versions = Mem_Zero(call->request.ops.count + 1, sizeof(*versions));
    for (size_t i = 0; i < m->versions.count && i < call->request.ops.count;
         i++) {
        versions[i] = ((uint64_t *)m->versions.items)[i];
    }
    finish(call, (int)m->err, rows, m->rows.count, m->more != 0, m->position,
           versions);
    for (size_t i = 0; i < m->rows.count; i++) {
        free(rows[i].key);
        Buf_Free(&rows[i].value);
    }
}

/* Frees the open calls. */
void
Relay_Free(struct store_task *s)
{
    struct table_call *call, *next;

    TAILQ_FOREACH_SAFE (call, &s->relayed_calls, entry, next) {
        ev_timer_stop(s->task.kernel->loop, &call->timeout);
        free_table_call(call);
    }
    TAILQ_FOREACH_SAFE (call, &s->direct_calls, entry, next) {
        if (call->request.verb == WIRE_STORE_COMMIT) {
            ev_timer_stop(s->task.kernel->loop, &call->timeout);
        }
        free_table_call(call);
    }
}
