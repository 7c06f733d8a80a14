#include "queue-intake.h"
#include "queue-sources.h"

#include <string.h>

/* How long a feed waits for news. A connection that has gone silent is seen
 * at the latest after this and the time-out of a call; shorter waits cost
 * calls, of which a hundred an entry and minute are no matter. */
#define WAIT_MS 700
#define RETRY_MS 60      /* after a first failure */
#define RETRY_MAX_MS 400 /* the store turns away for seconds, never long */
#define PAGE 500
/* An entry that does not lead asks for changes of the own table so
 * long after it had some: a tenth of the time in which counts may be old. */
#define PAUSE_MS 200

static void ask(struct follow *f);

/* Asks again after a pause that grows. */
static void
later(struct follow *f)
{
    int64_t ms = RETRY_MS << (f->failures < 3 ? f->failures : 3);

    f->failures++;
    Timer_Set(f->intake->task.kernel->loop, &f->retry,
              ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS);
}

static void
on_retry(struct ev_loop *loop UNUSED, ev_timer *w, int events UNUSED)
{
    struct follow *f = w->data;

    f->pausing = false;
    ask(f);
}

/* Asks again after an answer with changes.
 *
 * Load: an owner that writes forty times a second, and dozens of entries that
 * follow it. Without a pause each write costs a call of each entry, which is
 * most of what the store is asked for, and a wake-up of each. The
 * leader needs new jobs at once; the others only show what there is, and read
 * a job's row when they are asked for it in the pause. */
static void
ask_after(struct follow *f, size_t changes)
{
    if (f != &f->intake->rows || changes == 0 || f->intake->is_leader) {
        ask(f);
        return;
    }
    f->pausing = true;
    Timer_Set(f->intake->task.kernel->loop, &f->retry, PAUSE_MS);
}

/* Ends the pause. */
void
Follow_Hurry(struct intake *in)
{
    struct follow *f = &in->rows;

    if (f->pausing) {
        f->pausing = false;
        ev_timer_stop(in->task.kernel->loop, &f->retry);
        ask(f);
    }
}

/* Notes how fast the answer came: slowly, or a large one that did not. */
static void
note_pace(struct follow *f, size_t bytes)
{
    if (f->intake->store->transfer_ms > SLOW_READ_MS) {
        f->slow_ms = Clock_NowMs();
    }
    else if (bytes >= LARGE_BYTES) {
        f->slow_ms = 0;
    }
}

/* Tells the links how the operators' table is read; ok: the store has
 * answered. */
static void
tell_reading(struct follow *f, bool ok)
{
    struct operators_read *note;

    if (f != &f->intake->operators) {
        return;
    }
    note = Mem_Zero(1, sizeof(*note));
    note->position = f->position;
    note->read_ms = ok ? f->fresh_ms : 0;
    note->slow_ms = f->slow_ms;
    Queue_Post(f->intake->task.kernel, TASK_LINKS, &note->base,
               &Queue_ReadKind);
}

/* Notes that an answer came, and says so when the store was away. */
static void
note_answer(struct follow *f)
{
    if (f->failures > 5) {
        LOG_I("store_regained", KV("table", f->table),
              KV_INT("failures", f->failures));
    }
    f->failures = 0;
    f->fresh_ms = Clock_NowMs();
}

/* Notes that none came. */
static void
note_failure(struct follow *f, int err)
{
    if (f->failures == 5) {
        LOG_W("store_lost", KV("table", f->table), KV("error", Err_Name(err)));
    }
    note_pace(f, 0);
    tell_reading(f, false);
    later(f);
}

/* Takes rows of the operators' table; e: what they make of the failure domains
 * that are emptied. */
static void
take_operator(struct intake *in, struct table_row *rows, size_t count,
              struct emptied *e)
{
    for (size_t i = 0; i < count; i++) {
        Emptied_Row(e, &rows[i], Queue_Site()->emptied_prefix, &in->emptied);
        if (strcmp(rows[i].key, Queue_Site()->config_key) == 0 &&
            rows[i].version != 0) {
            note_pace(&in->operators, rows[i].value.len);
            Intake_TakeConfig(in, &rows[i].value, "store");
        }
    }
}

/* A page of a list of whichever table; the last one completes it. */
static void
take_page(struct follow *f, struct table_row *rows, size_t count, bool first,
          bool last)
{
    struct intake *in = f->intake;

    if (f == &in->rows) {
        Cache_Take(in, rows, count, true, f->list_position);
        return;
    }
    if (first) {
        in->listing = (struct emptied){.position = f->list_position};
    }
    take_operator(in, rows, count, &in->listing);
    if (last) {
        Intake_TakeEmptied(in, &in->listing, "store");
    }
}

/* Changes of whichever table, up to the position of the feed. */
static void
take_changes(struct follow *f, struct table_row *rows, size_t count)
{
    struct intake *in = f->intake;
    struct emptied e = in->emptied;

    if (f == &in->rows) {
        Cache_Take(in, rows, count, true, f->position);
        return;
    }
    e.position = f->position;
    take_operator(in, rows, count, &e);
    Intake_TakeEmptied(in, &e, "store");
}

/* A page of the whole table. The feed goes on from the first page's position,
 * so that what changes while pages are read is reported again, not missed. */
static void
on_listed(void *arg, int err, struct table_row *rows, size_t count, bool more)
{
    struct follow *f = arg;
    bool first = f->after[0] == '\0';

    if (err != ERR_OK) {
        note_failure(f, err);
        return;
    }
    note_answer(f);
    if (first) {
        f->list_position = f->intake->store->position;
    }
    if (count > 0) {
        Str_Copy(f->after, sizeof(f->after), rows[count - 1].key);
    }
    take_page(f, rows, count, first, !more || count == 0);
    if (more && count > 0) {
        ask(f);
        return;
    }
    if (f == &f->intake->rows) {
        Cache_EndList(f->intake);
    }
    f->after[0] = '\0';
    f->listed = true;
    f->position = f->list_position;
    LOG_I("table_listed", KV("table", f->table),
          KV_INT("position", f->position));
    tell_reading(f, true);
    if (f->intake->owner_wants_all) {
        Cache_TellAll(f->intake);
    }
    ask(f);
}

/* Changes. */
static void
on_fed(void *arg, int err, struct table_row *rows, size_t count,
       uint64_t position)
{
    struct follow *f = arg;

    if (err == ERR_GONE) {
        LOG_W("history_dropped", KV("table", f->table),
              KV_INT("position", f->position));
        f->listed = false;
        f->after[0] = '\0';
        ask(f);
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
    tell_reading(f, true);
    ask_after(f, count);
}

/* Asks the store for what comes next. */
static void
ask(struct follow *f)
{
    struct table *store = f->intake->store;

    f->resting = f->left;
    if (f->resting) {
        return;
    }
    if (f->listed) {
        store->ops->feed(store, f->table, f->position, WAIT_MS, on_fed, f);
        return;
    }
    if (f->after[0] == '\0' && f == &f->intake->rows) {
        Cache_BeginList(f->intake);
    }
    store->ops->list(store, f->table, "", f->after, PAGE, on_listed, f);
}

/* Leaves the operators' table to other entries, or reads it again from where
 * they said that they had come: no further than all is known that they told
 * of, else what lies between would never be read. */
void
Follow_Leave(struct intake *in, const struct reading_left *note)
{
    struct follow *f = &in->operators;

    f->left = note->left;
    if (in->config != NULL && in->config->jobs.version >= note->version &&
        note->position > f->position &&
        in->emptied.position >= note->position) {
        f->position = note->position;
        f->listed = true;
    }
    if (f->resting && !f->left) {
        ask(f);
    }
}

/* Begins to follow a table. */
static void
begin(struct intake *in, struct follow *f, const char *table)
{
    f->intake = in;
    f->table = table;
    ev_init(&f->retry, on_retry);
    f->retry.data = f;
    ask(f);
}

/* Follows the own table and the operators'. */
void
Follow_Start(struct intake *in)
{
    begin(in, &in->rows, Queue_Site()->own_table);
    begin(in, &in->operators, Queue_Site()->config_table);
}

/* Stops the timers. */
void
Follow_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->rows.retry);
    ev_timer_stop(in->task.kernel->loop, &in->operators.retry);
}
