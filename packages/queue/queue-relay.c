#include "queue-relay.h"

#include <stdlib.h>
#include <string.h>

/* Rows of a page that another entry reads for us: half a megabyte of usual
 * ones, which a thin link brings within RELAY_TIMEOUT_MS. */
#define RELAY_PAGE_ROWS 100
/* While our own way fails, a small read tries it so often. */
#define PROBE_INTERVAL_MS 300
/* A relayed call without an answer ends after its wait and this: the time of a
 * slow store, and two ways between entries. */
#define RELAY_TIMEOUT_MS 900

static struct counter relayed_total = {
    "parsleyfall_queue_relayed_total",
    "Calls of the store that went through another entry.", NULL,
    COUNTER_TOTAL};

/* The task of a table that others see. */
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

/* Hands a result to whoever called. */
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

/* The same, and the call is over. */
static void
finish(struct table_call *call, int err, struct table_row *rows, size_t count,
       bool more, uint64_t position, const uint64_t *versions)
{
    answer(call, err, rows, count, more, position, versions);
    free_table_call(call);
}

/* Hands out that a call has failed; the call itself may go on. */
void
Relay_Fail(struct table_call *call, int err)
{
    uint64_t *none CLEANUP(Mem_FreeP) =
        Mem_Zero(call->request.ops.count + 1, sizeof(*none));

    answer(call, err, NULL, 0, false, call->store->table.position, none);
}

/* The result of a call that can't be made at all. */
static void
fail(struct table_call *call, int err)
{
    Relay_Fail(call, err);
    free_table_call(call);
}

/* No answer of the other entry. */
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

/* Sends a call through another entry; false when there is none. What operators
 * write is never asked for so: entries send it to each other by themselves,
 * and only what differs. */
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

/* True when the store itself has spoken, and did not turn us away. */
bool
Relay_IsAnswer(int err)
{
    return err == ERR_OK || err == ERR_CONFLICT || err == ERR_GONE ||
           err == ERR_INVALID;
}

/* Ends reads that wait for another entry, as our own way works again.
 *
 * Failure: the entry that we call through freezes with a feed of ours in its
 * hands. Symptom: the configuration stays old for the whole time of that
 * call, though the store would answer us. Whoever reads asks again at once. */
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

/* Notes how our own way did, and says when it changes. */
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

/* True when a failed call may be made again by another way: nothing was done,
 * or it only reads. */
static bool
may_relay(const struct table_call *call, int err)
{
    if (err == ERR_BUSY || err == ERR_UNREACHABLE) {
        return true;
    }
    return call->request.verb != WIRE_STORE_COMMIT &&
           (err == ERR_TIMEOUT || err == ERR_IO);
}

/* A result of our own connection. */
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

/* The ops of a commit as a table takes them; to be freed. */
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

/* Makes a call on a table of this process. */
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

/* What became of a read that tries our own way. */
static void
on_probed(void *arg, int err, struct table_row *row UNUSED)
{
    Relay_NoteDirect(arg, err == ERR_NOTFOUND ? ERR_OK : err);
}

/* Tries our own way by a read that nobody waits for.
 *
 * Failure: what tries it is the owner's own write, or the feed of its rows,
 * while the store is silent to this machine. Symptom: the owner writes nothing
 * for the time-out of that call, then has to fence itself, and does so again
 * with the next try; starts wait for seconds though another entry could write
 * for it. Work only goes the way that is known to work. */
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

/* Chooses the way of a call.
 *
 * Failure: the store turns this machine away for seconds and serves the
 * others. Symptom: callers are refused here, the configuration stays old, and
 * an owner here gives no orders until another one takes over. Each call is
 * therefore made through another entry while our own way fails, and small
 * reads try our own, so that it is used again as soon as it works. A write
 * whose outcome is not known is never made a second time by itself. */
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

/* Makes a call. */
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

/* Prepares the table that the other tasks see. */
void
Relay_Init(struct store_task *s)
{
    s->table.ops = &relay_ops;
    TAILQ_INIT(&s->relayed_calls);
    TAILQ_INIT(&s->direct_calls);
    TAILQ_INIT(&s->served_calls);
}

/* What another entry had from the store for us. */
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
        return; /* it came too late: the call has ended as unknown */
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

/* Drops the calls that are open. */
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
