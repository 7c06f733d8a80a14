#include "queue-relay.h"

#include <stdlib.h>
#include <string.h>

/* Sends the answer to the requesting entry and frees the call. */
static void
answer(struct served_call *c, struct wire_store_answer *m, int err)
{
    struct entry_outbound *out = Mem_Zero(1, sizeof(*out));

    m->number = c->number;
    m->err = err;
    m->position = c->store->direct->position;
    out->to = c->to;
    out->m = &m->msg;
    Queue_Post(c->store->task.kernel, TASK_LINKS, &out->base,
               &Queue_EntryOutboundKind);
    TAILQ_REMOVE(&c->store->served_calls, c, entry);
    free(c);
}

/* Adds rows to an answer, moving their values. */
static void
add_rows(struct wire_store_answer *m, struct table_row *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct wire_store_row *to = Wire_ListAdd(&m->rows, sizeof(*to));

        Str_Copy(to->key, sizeof(to->key), rows[i].key);
        to->version = rows[i].version;
        Buf_Move(&to->value, &rows[i].value);
    }
}

static void
on_got(void *arg, int err, struct table_row *row)
{
    struct wire_store_answer *m = Wire_New(WIRE_STORE_ANSWER);

    add_rows(m, row, row->version != 0 ? 1 : 0);
    answer(arg, m, err);
}

static void
on_listed(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct wire_store_answer *m = Wire_New(WIRE_STORE_ANSWER);

    add_rows(m, rows, count);
    m->more = more;
    answer(arg, m, err);
}

static void
on_fed(void *arg, int err, struct table_row *rows, size_t count,
       uint64_t position UNUSED)
{
    struct wire_store_answer *m = Wire_New(WIRE_STORE_ANSWER);

    add_rows(m, rows, count);
    answer(arg, m, err);
}

static void
on_committed(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct served_call *c = arg;
    struct wire_store_answer *m = Wire_New(WIRE_STORE_ANSWER);

    for (size_t i = 0; i < c->ops; i++) {
        uint64_t *v = Wire_ListAdd(&m->versions, sizeof(*v));

        *v = versions[i];
    }
    answer(c, m, err);
}

/* Makes a commit for another entry. */
static void
commit(struct store_task *s, const struct wire_store_call *m,
       struct served_call *c)
{
    struct table_op *ops CLEANUP(Mem_FreeP) = Relay_TableOps(m);

    c->ops = m->ops.count;
    s->direct->ops->commit(s->direct, ops, m->ops.count, on_committed, c);
}

/* Makes a store call for another entry, on the own connection only: a call is
 * relayed at most once. */
void
Relay_Serve(struct store_task *s, const struct link_peer *from,
            const struct wire_store_call *m)
{
    struct served_call *c = Mem_Zero(1, sizeof(*c));
    struct table *t = s->direct;

    c->store = s;
    c->to = *from;
    c->number = m->number;
    TAILQ_INSERT_TAIL(&s->served_calls, c, entry);
    switch (m->verb) {
    case WIRE_STORE_GET:
        t->ops->get(t, m->table, m->key, on_got, c);
        return;
    case WIRE_STORE_LIST:
        t->ops->list(t, m->table, m->key, m->after, m->limit, on_listed, c);
        return;
    case WIRE_STORE_FEED:
        t->ops->feed(t, m->table, m->position, m->wait_ms, on_fed, c);
        return;
    case WIRE_STORE_COMMIT:
        commit(s, m, c);
        return;
    default:
        LOG_W("store_call_unknown", KV_INT("verb", m->verb));
        TAILQ_REMOVE(&s->served_calls, c, entry);
        free(c);
    }
}

/* Frees the calls made for other entries. */
void
RelayServe_Free(struct store_task *s)
{
    struct served_call *c, *next;

    TAILQ_FOREACH_SAFE (c, &s->served_calls, entry, next) {
        free(c);
    }
}
