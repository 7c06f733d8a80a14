#include "queue-intake.h"
#include "queue-sources.h"

#include <string.h>

/* How long a feed waits for news. A connection that has gone silent is seen
 * at the latest after this and the time-out of a call; shorter waits cost
 * calls, of which a hundred an entry and minute are no matter. */
#define FEED_WAIT_MS 700
#define RETRY_MS 60      /* after a first failure */
#define RETRY_MAX_MS 400 /* the store turns away for seconds, never long */
#define PAGE_ROWS 500
/* An entry that does not lead asks for changes of the own table so
 * long after it had some: a tenth of the time in which counts may be old. */
#define PAUSE_MS 200

static void request_next(struct followed_table *f);

/* Asks again after a pause that grows. */
static void
retry_later(struct followed_table *f)
{
    int64_t ms = RETRY_MS << (f->failures < 3 ? f->failures : 3);

    f->failures++;
    Timer_Set(f->intake->task.kernel->loop, &f->retry_timer,
              ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS);
}

static void
on_retry(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct followed_table *f = w->data;

    f->paused = false;
    request_next(f);
}

/* Asks again after an answer with changes.
 *
 * Load: an owner that writes forty times a second, and dozens of entries that
 * follow it. Without a pause each write costs a call of each entry, which is
 * most of what the store is asked for, and a wake-up of each. The
 * leader needs new jobs at once; the others only show what there is, and read
 * a job's row when they are asked for it in the pause. */
static void
request_after_changes(struct followed_table *f, size_t changes)
{
    if (f != &f->intake->own_table || changes == 0 || f->intake->is_leader) {
        request_next(f);
        return;
    }
    f->paused = true;
    Timer_Set(f->intake->task.kernel->loop, &f->retry_timer, PAUSE_MS);
}

/* Ends the pause. */
void
Follow_EndPause(struct intake *in)
{
    struct followed_table *f = &in->own_table;

    if (f->paused) {
        f->paused = false;
        ev_timer_stop(in->task.kernel->loop, &f->retry_timer);
        request_next(f);
    }
}

/* Notes how fast the answer came: slowly, or a large one that did not. */
static void
note_read_speed(struct followed_table *f, size_t bytes)
{
    if (f->intake->store->transfer_ms > SLOW_READ_MS) {
        f->slow_read_ms = Clock_NowMs();
    }
    else if (bytes >= LARGE_CONFIG_BYTES) {
        f->slow_read_ms = 0;
    }
}

/* Tells the links how the operators' table is read; ok: the store has
 * answered. */
static void
report_status(struct followed_table *f, bool ok)
{
    struct operator_table_status *note;

    if (f != &f->intake->operator_table) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    note->position = f->position;
    note->answered_ms = ok ? f->answered_ms : 0;
    note->slow_ms = f->slow_read_ms;
    Queue_Post(f->intake->task.kernel, TASK_LINKS, &note->base,
               &Queue_OperatorTableKind);
}

/* Notes that an answer came, and says so when the store was away. */
static void
note_answer(struct followed_table *f)
{
    if (f->failures > 5) {
        LOG_I("store_regained", KV("table", f->table),
              KV_INT("failures", f->failures));
    }
    f->failures = 0;
    f->answered_ms = Clock_NowMs();
}

/* Notes that none came. */
static void
note_failure(struct followed_table *f, int err)
{
    if (f->failures == 5) {
        LOG_W("store_lost", KV("table", f->table), KV("error", Err_Name(err)));
    }
    note_read_speed(f, 0);
    report_status(f, false);
    retry_later(f);
}

/* Takes rows of the operators' table; e: what they make of the failure domains
 * that are emptied. */
static void
take_operator_rows(struct intake *in, struct table_row *rows, size_t count,
                   struct emptied_domains *e)
{
    for (size_t i = 0; i < count; i++) {
        Emptied_ApplyRow(e, &rows[i], Queue_Platform()->emptied_prefix,
                         &in->emptied);
        if (strcmp(rows[i].key, Queue_Platform()->config_key) == 0 &&
            rows[i].version != 0) {
            note_read_speed(&in->operator_table, rows[i].value.len);
            Intake_TakeConfig(in, &rows[i].value, "store");
        }
    }
}

/* A page of a list of whichever table; the last one completes it. */
static void
take_page(struct followed_table *f, struct table_row *rows, size_t count,
          bool first, bool last)
{
    struct intake *in = f->intake;

    if (f == &in->own_table) {
        Cache_Update(in, rows, count, true, f->list_position);
        return;
    }
    if (first) {
        in->emptied_listing =
            (struct emptied_domains){.position = f->list_position};
    }
    take_operator_rows(in, rows, count, &in->emptied_listing);
    if (last) {
        Intake_TakeEmptied(in, &in->emptied_listing, "store");
    }
}

/* Changes of whichever table, up to the position of the feed. */
static void
take_changes(struct followed_table *f, struct table_row *rows, size_t count)
{
    struct intake *in = f->intake;
    struct emptied_domains e = in->emptied;

    if (f == &in->own_table) {
        Cache_Update(in, rows, count, true, f->position);
        return;
    }
    e.position = f->position;
    take_operator_rows(in, rows, count, &e);
    Intake_TakeEmptied(in, &e, "store");
}

/* A page of the whole table. The feed goes on from the first page's position,
 * so that what changes while pages are read is reported again, not missed. */
static void
on_listed(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct followed_table *f = arg;
    bool first = f->page_after[0] == '\0';

    if (err != ERR_OK) {
        note_failure(f, err);
        return;
    }
    note_answer(f);
    if (first) {
        f->list_position = f->intake->store->position;
    }
    if (count > 0) {
        Str_Copy(f->page_after, sizeof(f->page_after), rows[count - 1].key);
    }
    take_page(f, rows, count, first, !more || count == 0);
    if (more && count > 0) {
        request_next(f);
        return;
    }
    if (f == &f->intake->own_table) {
        Cache_EndList(f->intake);
    }
    f->page_after[0] = '\0';
    f->listed = true;
    f->position = f->list_position;
    LOG_I("table_listed", KV("table", f->table),
          KV_INT("position", f->position));
    report_status(f, true);
    if (f->intake->all_rows_requested) {
        Cache_SendAll(f->intake);
    }
    request_next(f);
}

/* Changes. */
static void
on_fed(void *arg, int err, struct table_row *rows, size_t count,
       uint64_t position)
{
    struct followed_table *f = arg;

    if (err == ERR_GONE) {
        LOG_W("history_dropped", KV("table", f->table),
              KV_INT("position", f->position));
        f->listed = false;
        f->page_after[0] = '\0';
        request_next(f);
        return;
    }
    if (err != ERR_OK) {
        note_failure(f, err);
        return;
    }
    note_answer(f);
    if (position > f->position) {
        f->position = position;
    }
    take_changes(f, rows, count);
    report_status(f, true);
    request_after_changes(f, count);
}

/* Asks the store for what comes next. */
static void
request_next(struct followed_table *f)
{
    struct table *store = f->intake->store;

    f->idle = f->delegated;
    if (f->idle) {
        return;
    }
    if (f->listed) {
        store->ops->feed(store, f->table, f->position, FEED_WAIT_MS, on_fed,
                         f);
        return;
    }
    if (f->page_after[0] == '\0' && f == &f->intake->own_table) {
        Cache_BeginList(f->intake);
    }
    store->ops->list(store, f->table, "", f->page_after, PAGE_ROWS, on_listed,
                     f);
}

/* Leaves the operators' table to other entries, or reads it again from where
 * they said that they had come: no further than all is known that they told
 * of, else what lies between would never be read. */
void
Follow_SetDelegation(struct intake *in, const struct delegation *note)
{
    struct followed_table *f = &in->operator_table;

    f->delegated = note->delegated;
    if (in->config != NULL && in->config->jobs.version >= note->version &&
        note->position > f->position &&
        in->emptied.position >= note->position) {
        f->position = note->position;
        f->listed = true;
    }
    if (f->idle && !f->delegated) {
        request_next(f);
    }
}

/* Begins to follow a table. */
static void
start_following(struct intake *in, struct followed_table *f, const char *table)
{
    f->intake = in;
    f->table = table;
    ev_init(&f->retry_timer, on_retry);
    f->retry_timer.data = f;
    request_next(f);
}

/* Follows the own table and the operators'. */
void
Follow_Start(struct intake *in)
{
    start_following(in, &in->own_table, Queue_Platform()->own_table);
    start_following(in, &in->operator_table, Queue_Platform()->config_table);
}

/* Stops the timers. */
void
Follow_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->own_table.retry_timer);
    ev_timer_stop(in->task.kernel->loop, &in->operator_table.retry_timer);
}
