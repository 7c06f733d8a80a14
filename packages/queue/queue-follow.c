#include "queue-intake.h"
#include "queue-sources.h"

#include <string.h>

/* How long a feed call waits for changes. A connection that has gone silent is
 * noticed after this plus the timeout of a call; a shorter wait would cost
 * more calls. An entry makes a hundred calls a minute, a negligible load. */
#define FEED_WAIT_MS 700
#define RETRY_MS 60      /* after the first failure */
#define RETRY_MAX_MS 400 /* the store refuses calls for seconds at most */
#define PAGE_ROWS 500
/* Pause of an entry that is not the owner between a feed answer with changes
 * and the next feed call, for the own table. It is a tenth of the time by
 * which counts may be outdated. */
#define PAUSE_MS 200
/* The pause of an ordinary entry, half of that time. It never has to take over
 * at once, and answers queries during the pause from the store. */
#define ORDINARY_PAUSE_MS 1000

static void request_next(struct followed_table *f);

/* Repeats the call after a pause that doubles up to RETRY_MAX_MS. */
static void
retry_later(struct followed_table *f)
{
    int64_t ms = RETRY_MS << (f->failures < 3 ? f->failures : 3);

    f->failures++;
    Timer_Set(f->intake->task.kernel->loop, &f->retry_timer,
              ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS);
}

/* Makes the next call after a failure or a pause. */
static void
on_retry(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct followed_table *f = w->data;

    f->paused = false;
    request_next(f);
}

/* Makes the next feed call, possibly after a pause.
 *
 * An owner may write forty times a second with dozens of entries following it.
 * Without a pause each write wakes up every entry and costs a call of each;
 * these calls are most of the load of the store. The owner needs new jobs at
 * once; other entries only show jobs, and read a job's row when it is queried
 * during the pause. */
static void
request_after_changes(struct followed_table *f, size_t changes)
{
    if (f != &f->intake->own_table || changes == 0 || f->intake->is_leader) {
        request_next(f);
        return;
    }
    f->paused = true;
    Timer_Set(f->intake->task.kernel->loop, &f->retry_timer,
              Queue_Role(f->intake->task.kernel) == ROLE_ORDINARY
                  ? ORDINARY_PAUSE_MS
                  : PAUSE_MS);
}

/* Ends the pause of the own table and makes its next feed call. */
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

/* Records whether the answer was read slowly, or was a large one that was
 * not. */
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

/* Reports to the links how the operator table is read. ok: the store has
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

/* Records an answer, and logs it when the store was unreachable before. */
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

/* Records a failed call and repeats it later. */
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

/* Handles rows of the operator table: the configuration, and requests to empty
 * failure domains, which are applied to e. */
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

/* Handles a page of the list of either table; the last one completes it. */
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

/* Handles changes of either table up to the position of the feed. */
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

/* Handles a page of a list. The feed will continue from the position of the
 * first page, so that rows that change while pages are read are reported
 * again, not missed. A page without rows that is not the last one gives no key
 * to go on from; taken for the end, it would hide the rest of the table. */
static void
on_listed(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct followed_table *f = arg;
    bool first = f->page_after[0] == '\0';

    if (err == ERR_OK && more && count == 0) {
        err = ERR_IO;
    }
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
    take_page(f, rows, count, first, !more);
    if (more) {
        request_next(f);
        return;
    }
    f->page_after[0] = '\0';
    f->listed = true;
    f->position = f->list_position;
    if (f == &f->intake->own_table) {
        Cache_EndList(f->intake);
        Entries_Report(f->intake);
    }
    LOG_I("table_listed", KV("table", f->table),
          KV_INT("position", f->position));
    report_status(f, true);
    if (f->intake->all_rows_requested) {
        Cache_SendAll(f->intake);
    }
    request_next(f);
}

/* Handles the answer of a feed call. */
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

/* Makes the next call: a feed call, or the next page of the list. Makes none
 * while reading is delegated. */
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

/* Delegates reading the operator table to other entries, or resumes it from
 * the position that they reported. Skips to that position only if all that
 * they reported up to it is known here; otherwise the changes in between would
 * never be read. */
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

/* Starts to follow a table. */
static void
start_following(struct intake *in, struct followed_table *f, const char *table)
{
    f->intake = in;
    f->table = table;
    ev_init(&f->retry_timer, on_retry);
    f->retry_timer.data = f;
    request_next(f);
}

/* Starts to follow the own table and the operator table. */
void
Follow_Start(struct intake *in)
{
    start_following(in, &in->own_table, Queue_Platform()->own_table);
    start_following(in, &in->operator_table, Queue_Platform()->config_table);
}

/* Stops following both tables. */
void
Follow_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->own_table.retry_timer);
    ev_timer_stop(in->task.kernel->loop, &in->operator_table.retry_timer);
}
