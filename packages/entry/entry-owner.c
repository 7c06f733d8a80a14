#include "entry-jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One entry schedules a region: its accounts cover the region's failure
 * domains, as guarantees and gangs do. It holds the row owners/REGION, which
 * changes with the term only, so that a write under the term can check the
 * row's version; and says that it lives by owners/REGION/beat, whose version
 * watchers compare on their own clocks. With one row for both, a renewal under
 * way would fail every write that checks it. */
#define OWNER_RENEW_MS 2000
#define OWNER_MISSED_RENEWALS                                                 \
    3 /* renewals, until another may take over                                \
       */
/* Watchers don't act at the same time: each waits for its own part of this,
 * so that usually one writes and the others see it. */
#define OWNER_JITTER_MS 1000
/* How often the row is read, by watchers and by the owner itself: so it sees
 * a higher term soon, and that the table service is down before a caller has
 * to wait for it. */
#define OWNER_WATCH_MS 500

static struct counter terms_total = {"parsleyfall_entry_owner_terms_total",
                                     "Times that this entry became owner.",
                                     NULL, COUNTER_TOTAL};
static struct counter is_owner = {"parsleyfall_entry_owner",
                                  "1 while this entry schedules its region.",
                                  NULL, COUNTER_GAUGE};

/* Key of the heartbeat row. */
static const char *
heartbeat_key(const struct sched *s, char out[NAME_SIZE + 8])
{
    snprintf(out, NAME_SIZE + 8, "%s/beat", s->settings->region);
    return out;
}

/* This entry's own wait within the spread: another for each region, so that
 * one entry isn't first everywhere. */
static int64_t
takeover_jitter_ms(const struct sched *s)
{
    uint64_t seed = Hash_Str(s->settings->region, 0);

    return (int64_t)(Hash_Str(s->settings->name, seed) % OWNER_JITTER_MS);
}

/* The condition that the term still is this entry's. A paused owner that
 * wakes, and has not seen its successor yet, fails here; agents refuse its
 * lower term. */
struct table_op
Owner_Check(const struct sched *s)
{
    struct table_op op = {.verb = TABLE_CHECK,
                          .table = "owners",
                          .key = s->settings->region,
                          .if_version = s->owner.row_version};

    return op;
}

/* Stops being the owner: accounts and timers go, rows stay. */
void
Owner_StepDown(struct sched *s, const char *reason)
{
    if (!s->owner.self) {
        return;
    }
    LOG_W("owner_step_down", KV("region", s->settings->region),
          KV_INT("term", s->owner.term), KV("reason", reason));
    s->owner.self = false;
    s->owner.loaded = false;
    s->owner.heartbeat_at = Clock_NowMs();
    Counter_Set(&is_owner, 0);
    JobSet_DropAll(s);
}

/* Begins a term. */
static void
begin_term(struct sched *s, uint64_t term, uint64_t version)
{
    s->owner.self = true;
    s->owner.term = term;
    s->owner.row_version = version;
    Str_Copy(s->owner.name, sizeof(s->owner.name), s->settings->name);
    Counter_Add(&terms_total, 1);
    Counter_Set(&is_owner, 1);
    LOG_I("owner_take", KV("region", s->settings->region),
          KV_INT("term", term));
    s->owner.heartbeat_at = Clock_NowMs();
    JobSet_Load(s);
}

/* How a renewal went. Only a conflict ends the term: with the table down the
 * present owner goes on, as nobody else can take over either. */
static void
on_renewed(void *arg, int err, size_t at, const uint64_t *versions UNUSED)
{
    struct sched *s = arg;

    s->owner.busy = false;
    if (!s->owner.self) {
        return;
    }
    if (err == ERR_CONFLICT && at == 0) {
        Owner_StepDown(s, "higher_term");
        return;
    }
    if (err != ERR_OK) {
        LOG_W("owner_not_renewed", KV("error", Err_Name(err)));
        return;
    }
    s->owner.heartbeat_at = Clock_NowMs();
}

/* Says that the owner lives. The heartbeat takes any version: the check in the
 * same transaction is what keeps a late copy from counting. */
static void
renew(struct sched *s)
{
    char key[NAME_SIZE + 8];
    struct table_op ops[] = {Owner_Check(s),
                             {.verb = TABLE_PUT,
                              .table = "owners",
                              .key = heartbeat_key(s, key),
                              .if_version = TABLE_ANY,
                              .value = "{}",
                              .len = 2}};

    s->owner.busy = true;
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_renewed, s);
}

/* The heartbeat is gone: the others need not wait for it. With the table down
 * there is nothing to give away. */
static void
on_resigned(void *arg, int err, size_t at UNUSED,
            const uint64_t *versions UNUSED)
{
    struct sched *s = arg;

    s->owner.busy = false;
    if (err != ERR_BUSY) {
        Owner_StepDown(s, "resigned");
    }
}

/* Gives the region to another entry before this one leaves. */
static void
resign(struct sched *s)
{
    char key[NAME_SIZE + 8];
    struct table_op ops[] = {Owner_Check(s),
                             {.verb = TABLE_DELETE,
                              .table = "owners",
                              .key = heartbeat_key(s, key),
                              .if_version = TABLE_ANY}};

    s->owner.busy = true;
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_resigned, s);
}

/* How taking the row went. An answer that is lost is read back by
 * watch. */
static void
on_acquired(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct sched *s = arg;

    s->owner.busy = false;
    if (err == ERR_OK && versions[0] != 0) {
        begin_term(s, s->owner.term + 1, versions[0]);
        return;
    }
    LOG_I("owner_not_taken", KV("error", Err_Name(err)));
}

/* Takes the row, from the version that was seen. */
static void
acquire(struct sched *s)
{
    char key[NAME_SIZE + 8];
    struct buf http CLEANUP(Buf_Free) = {0};
    struct buf value CLEANUP(Buf_Free) = {0};
    struct table_op ops[2] = {Owner_Check(s),
                              {.verb = TABLE_PUT,
                               .table = "owners",
                               .key = heartbeat_key(s, key),
                               .if_version = s->owner.heartbeat_version,
                               .value = "{}",
                               .len = 2}};

    Buf_Printf(&http, "%s:%d", s->settings->listen.address,
               Front_Port(s->task.kernel));
    Buf_Printf(&value,
               "{\"owner\":\"%s\",\"term\":%llu,\"incarnation\":\"%llx\","
               "\"http\":\"%s\"}",
               s->settings->name, (unsigned long long)s->owner.term + 1,
               (unsigned long long)Entry_Incarnation(), http.data);
    ops[0].verb = TABLE_PUT;
    ops[0].value = value.data;
    ops[0].len = value.len;
    s->owner.busy = true;
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_acquired, s);
}

/* Notes whether the heartbeat has changed, and takes over when it has not for
 * the time of three renewals, on this entry's own clock. */
static void
on_heartbeat(void *arg, int err, struct table_row *row)
{
    struct sched *s = arg;
    int64_t now = Clock_NowMs();
    int64_t takeover_after_ms = takeover_jitter_ms(s);

    s->owner.busy = false;
    if (err != ERR_OK || s->owner.self) {
        return;
    }
    if (row->version != s->owner.heartbeat_version) {
        s->owner.heartbeat_version = row->version;
        s->owner.heartbeat_at = now;
    }
    if (s->owner.row_version != 0 && row->version != 0) {
        takeover_after_ms += OWNER_MISSED_RENEWALS * OWNER_RENEW_MS;
    }
    if (now - s->owner.heartbeat_at >= takeover_after_ms &&
        !s->task.kernel->draining) {
        acquire(s);
    }
}

/* Who the row names. True when it is this very process. */
static bool
parse_owner(struct sched *s, const struct table_row *row)
{
    json_t *o = json_loadb(row->value.data, row->value.len, 0, NULL);
    const char *name = "", *http = "", *incarnation = "";
    json_int_t term = 0;
    bool own;

    if (o == NULL ||
        json_unpack(o, "{s:s, s:I, s:s, s:s}", "owner", &name, "term", &term,
                    "incarnation", &incarnation, "http", &http) != 0) {
        LOG_E("owner_row_unreadable", KV("region", s->settings->region));
    }
    if (term > 0 && (uint64_t)term > s->owner.term) {
        s->owner.term = (uint64_t)term;
    }
    Str_Copy(s->owner.name, sizeof(s->owner.name), name);
    Str_Copy(s->owner.http, sizeof(s->owner.http), http);
    own = strtoull(incarnation, NULL, 16) == Entry_Incarnation();
    json_decref(o);
    return own;
}

/* Reads the row, then the heartbeat. A row that names this incarnation is one
 * that it took without learning so. */
static void
on_row(void *arg, int err, struct table_row *row)
{
    struct sched *s = arg;
    char key[NAME_SIZE + 8];
    bool changed;

    s->owner.busy = false;
    if (err != ERR_BUSY) {
        s->owner.table_down = err != ERR_OK;
    }
    if (err == ERR_OK && s->owner.self &&
        row->version != s->owner.row_version) {
        Owner_StepDown(s, "higher_term");
    }
    if (err != ERR_OK || s->owner.self) {
        return;
    }
    changed = row->version != s->owner.row_version;
    s->owner.row_version = row->version;
    if (changed) {
        s->owner.heartbeat_at = Clock_NowMs();
    }
    if (row->version != 0 && parse_owner(s, row)) {
        begin_term(s, s->owner.term, row->version);
        return;
    }
    s->owner.busy = true;
    s->table->ops->get(s->table, "owners", heartbeat_key(s, key), on_heartbeat,
                       s);
}

/* Looks whether there is an owner that lives. */
static void
read_owner_row(struct sched *s)
{
    s->owner.busy = true;
    s->table->ops->get(s->table, "owners", s->settings->region, on_row, s);
}

/* Renews, or watches. */
static void
on_timer(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct sched *s = w->data;

    Timer_Set(loop, w, OWNER_WATCH_MS);
    if (s->owner.busy) {
        return;
    }
    if (s->owner.self && s->task.kernel->draining && !JobSet_AnyAttached(s)) {
        resign(s);
        return;
    }
    if (s->owner.self &&
        Clock_NowMs() - s->owner.heartbeat_at >= OWNER_RENEW_MS) {
        renew(s);
        return;
    }
    read_owner_row(s);
}

/* Begins to watch. Without a table service there is no owner. */
void
Owner_Start(struct sched *s)
{
    s->owner.heartbeat_at = Clock_NowMs();
    ev_init(&s->owner.timer, on_timer);
    s->owner.timer.data = s;
    if (s->table != NULL) {
        Timer_Set(s->task.kernel->loop, &s->owner.timer, 1);
    }
}
