#include "entry-jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Each region has one owner, the entry that schedules it. Its placement state
 * covers all failure domains of the region, as guarantees and gangs span them.
 * The owner holds the row owners/REGION, which changes only with the term, so
 * that every write of a term can check the version of that row. The owner
 * renews its term by writing owners/REGION/beat; watchers time the changes of
 * that row's version by their own clocks. If both were one row, each renewal
 * would cause concurrent writes that check it to fail. */
#define OWNER_RENEW_MS 2000
/* Renewals that must be missed before another entry may take over. */
#define OWNER_MISSED_RENEWALS 3
/* Each watcher delays a takeover by its own part of this, so that usually one
 * entry writes and the others see its term. */
#define OWNER_JITTER_MS 1000
/* Interval at which watchers and the owner itself read the owner's row. The
 * owner thus notices a higher term soon, and notices that the table service is
 * down before a caller has to wait for it. */
#define OWNER_WATCH_MS 500

static struct counter terms_total = {"parsleyfall_entry_owner_terms_total",
                                     "Times that this entry became owner.",
                                     NULL, COUNTER_TOTAL};
static struct counter is_owner = {"parsleyfall_entry_owner",
                                  "1 while this entry schedules its region.",
                                  NULL, COUNTER_GAUGE};

/* Writes the key of the heartbeat row; returns out. */
static const char *
heartbeat_key(const struct sched *s, char out[NAME_SIZE + 8])
{
    snprintf(out, NAME_SIZE + 8, "%s/beat", s->settings->region);
    return out;
}

/* Returns this entry's delay before a takeover. It differs by region, so that
 * no entry is first in all regions. */
static int64_t
takeover_jitter_ms(const struct sched *s)
{
    uint64_t seed = Hash_Str(s->settings->region, 0);

    return (int64_t)(Hash_Str(s->settings->name, seed) % OWNER_JITTER_MS);
}

/* Returns the condition that this entry's term still is the current one. It
 * prevents writes by an owner that was paused and has not seen its successor
 * yet; agents refuse the lower term of such an owner. */
struct table_op
Owner_Check(const struct sched *s)
{
    struct table_op op = {.verb = TABLE_CHECK,
                          .table = "owners",
                          .key = s->settings->region,
                          .if_version = s->owner.row_version};

    return op;
}

/* Ends this entry's term: drops the jobs, the placement state and the timers
 * from memory; the rows stay. */
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

/* Starts a term and loads the jobs. */
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

/* Handles the outcome of a renewal. Only a conflict ends the term: while the
 * table service is down the owner continues, as no other entry can take over
 * either. */
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

/* Renews the term by writing the heartbeat. The write accepts any version of
 * the heartbeat row: the check in the same transaction prevents a late copy
 * from taking effect. */
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

/* Ends the term once the heartbeat is deleted, so that the other entries need
 * not wait for missed renewals. After ERR_BUSY nothing was sent, and the timer
 * tries again. If the table service is down, no other entry can take over, and
 * the term ends here too. */
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

/* Deletes the heartbeat, so that another entry takes over before this one
 * exits. */
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

/* Handles the outcome of a takeover. If the response is lost, on_row finds
 * this entry's incarnation in the row. */
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

/* Tries to take over by writing the next term, on the condition that the row
 * has the version that was read. */
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

/* Takes over if the heartbeat has not changed for three renewal intervals plus
 * this entry's delay, by its own clock. If no owner or no heartbeat exists,
 * only the delay applies. */
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

/* Parses the owner's row into s->owner. Returns true if it names this
 * incarnation of this process. */
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
    if (term > 0 && term <= JSON_COUNTER_MAX &&
        (uint64_t)term > s->owner.term) {
        s->owner.term = (uint64_t)term;
    }
    Str_Copy(s->owner.name, sizeof(s->owner.name), name);
    Str_Copy(s->owner.http, sizeof(s->owner.http), http);
    own = strtoull(incarnation, NULL, 16) == Entry_Incarnation();
    json_decref(o);
    return own;
}

/* Handles the owner's row and then reads the heartbeat. If the row names this
 * incarnation, an earlier takeover succeeded although its response was lost.
 */
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

/* Reads the owner's row, to find out whether its owner is alive. */
static void
read_owner_row(struct sched *s)
{
    s->owner.busy = true;
    s->table->ops->get(s->table, "owners", s->settings->region, on_row, s);
}

/* Resigns, renews the term or reads the owner's row, whichever is due. */
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

/* Starts to watch the owner's row. Without a table service there is no owner.
 */
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
