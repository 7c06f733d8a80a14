#include "queue-owner.h"

/* The row is written this often at most, as every entry receives it. */
#define LEARNED_MS 2000

static struct counter ignored_total = {
    "parsleyfall_queue_learned_ignored_total",
    "Rows of learned state that a new owner could not use.", NULL,
    COUNTER_TOTAL};
static struct counter row_bytes = {"parsleyfall_queue_learned_bytes",
                                   "Bytes of the last row of learned state.",
                                   NULL, COUNTER_GAUGE};

/* True when the settings switch learned state on. */
static bool
is_on(const struct owner *o)
{
    const struct entry_settings *s = o->task.kernel->settings;

    return s->hosted.scheduling.learned;
}

/* Takes the row of learned state when leadership begins. One that can't be
 * used is overwritten with the next write, whatever has been learned. */
void
Learned_Take(struct owner *o, const struct rows_changed *r)
{
    if (!is_on(o)) {
        return;
    }
    o->learned_pending = false;
    o->learned_forced = false;
    o->learned_ms = 0;
    for (size_t i = 0; i < r->count; i++) {
        const struct table_row *row = &r->rows[i];

        if (strcmp(row->key, "learned") != 0 || row->version == 0) {
            continue;
        }
        if (Jobs_DecodeLearned(o->scheduler, row->value.data,
                               row->value.len) == ERR_OK) {
            LOG_I("learned_taken", KV_INT("bytes", row->value.len));
        }
        else {
            Unreadable(UNREADABLE_ROW, row->key, "nothing of it is used");
            Counter_Add(&ignored_total, 1);
            o->learned_forced = true;
        }
    }
}

/* Appends the row of learned state to value if it has to be written in the
 * transaction that starts now. */
bool
Learned_Encode(struct owner *o, struct buf *value, int64_t now_ms)
{
    o->learned_pending = false;
    if (!is_on(o) || now_ms - o->learned_ms < LEARNED_MS ||
        (!o->learned_forced && !Jobs_LearnedChanged(o->scheduler))) {
        return false;
    }
    Jobs_EncodeLearned(o->scheduler, Clock_WallMs(), value);
    Counter_Set(&row_bytes, (int64_t)value->len);
    o->learned_pending = true;
    o->learned_forced = false;
    o->learned_ms = now_ms;
    return true;
}

/* Handles the result of a transaction: a row that may not be stored is written
 * again. */
void
Learned_Written(struct owner *o, bool stored)
{
    o->learned_forced = o->learned_forced || (o->learned_pending && !stored);
    o->learned_pending = false;
}
