#include "queue-owner.h"

#include <string.h>

/* Contents of the owner row. */
struct owner_row {
    char name[NAME_SIZE]; /* "": no owner */
    uint64_t incarnation;
    uint64_t term;
    bool corrupt;
};

/* Parses the owner row.
 *
 * A row that was overwritten or deleted states no term, nor does one whose
 * term leaves no room for the next one. If terms started from
 * 0 again, the next owner would be below the term that workers have seen, and
 * they would ignore it. Such a row names no owner, and the term stays the
 * highest one known. */
static struct owner_row
read_owner_row(const struct owner *o, const struct table_row *row)
{
    json_t *v = json_loadb(row->value.data ? row->value.data : "",
                           row->value.len, 0, NULL);
    const char *name = json_string_value(json_object_get(v, "name"));
    const json_t *term = json_object_get(v, "term");
    const json_t *incarnation = json_object_get(v, "incarnation");
    struct owner_row r = {.term = o->row_term};

    if (name != NULL && strlen(name) < NAME_SIZE &&
        json_is_integer(incarnation) && json_is_integer(term) &&
        json_integer_value(term) > 0 &&
        json_integer_value(term) <= JSON_COUNTER_MAX &&
        (uint64_t)json_integer_value(term) >= o->row_term) {
        Str_Copy(r.name, sizeof(r.name), name);
        r.incarnation = (uint64_t)json_integer_value(incarnation);
        r.term = (uint64_t)json_integer_value(term);
    }
    else {
        Unreadable(UNREADABLE_ROW, row->key,
                   "no valid owner, incarnation and term");
        r.corrupt = true;
    }
    json_decref(v);
    return r;
}

/* Records whether the owner that the row named so far has certainly ended.
 *
 * A corrupt row that overwrites that of a living owner names no owner. If it
 * were taken as a release of leadership, the next owner would not wait for the
 * leases of that owner, and tasks would run twice. The owner named before the
 * corrupt row counts; if it is not known, it may be alive. */
static void
note_predecessor(struct owner *o, bool corrupt)
{
    const struct entry_settings *s = o->task.kernel->settings;
    bool no_row_seen = o->row_version == 0;
    bool vacant = !no_row_seen && o->row_name[0] == '\0';

    if (o->row_corrupt) {
        return;
    }
    if (Leader_IsOurs(o)) {
        o->predecessor_ended = o->predecessor_ended || corrupt;
        return;
    }
    o->predecessor_ended =
        no_row_seen ? !corrupt : vacant || strcmp(o->row_name, s->name) == 0;
    Str_Copy(o->predecessor_name, sizeof(o->predecessor_name),
             o->predecessor_ended ? "" : o->row_name);
    o->predecessor_incarnation = o->row_incarnation;
}

/* Handles a changed owner row. */
static void
take_owner_row(struct owner *o, const struct table_row *row)
{
    struct owner_row r = read_owner_row(o, row);

    note_predecessor(o, r.corrupt);
    o->row_corrupt = r.corrupt;
    o->row_version = row->version;
    Str_Copy(o->row_name, sizeof(o->row_name), r.name);
    o->row_incarnation = r.incarnation;
    o->row_term = r.term;
    o->heartbeat_seen_ms = Clock_NowMs();
    if (!Leader_IsOurs(o)) {
        if (o->leadership != LEADER_NONE) {
            Leader_StepDown(o, "another_owner");
        }
        return;
    }
    if (o->released) {
        return;
    }
    if (o->leadership == LEADER_NONE) {
        Leader_Begin(o);
        return;
    }
    o->version = o->row_version;
    if (o->leadership == LEADER_FENCING) {
        o->leadership = LEADER_HELD;
        LOG_I("owner_fenced", KV_INT("version", o->version));
        Owner_SchedulePass(o);
    }
}

/* Handles a changed entry row. When the previous owner's entry has a new
 * process, the process that was the owner has ended and grants no more leases.
 * The row of another writer shows nothing of that kind. */
static void
note_entry_row(struct owner *o, const struct table_row *row)
{
    const struct entry_settings *s = o->task.kernel->settings;
    struct member entry;
    uint64_t incarnation;

    if (*o->predecessor_name == '\0' || o->scheduler == NULL ||
        strcmp(row->key + strlen("entry/"), o->predecessor_name) != 0) {
        return;
    }
    if (EntryRow_Read(row->key, &row->value, &entry, &incarnation) == ERR_OK &&
        incarnation != o->predecessor_incarnation) {
        LOG_I("previous_owner_ended", KV("entry", o->predecessor_name));
        o->predecessor_name[0] = '\0';
        Jobs_OwnerEnded(o->scheduler, Clock_NowMs() + s->hosted.lease_ms +
                                          s->hosted.lease_ms / 20 +
                                          JOBS_ORDER_LATE_MS);
    }
}

/* True for the heartbeat row of the current owner. The row of another writer
 * is no sign of life. */
static bool
is_heartbeat(const struct owner *o, const struct table_row *row)
{
    json_t *v;
    json_int_t term;

    if (strcmp(row->key, "beat") != 0) {
        return false;
    }
    v = json_loadb(row->value.data ? row->value.data : "", row->value.len, 0,
                   NULL);
    term = json_integer_value(json_object_get(v, "term"));
    json_decref(v);
    return term > 0 && (uint64_t)term == o->row_term;
}

/* Records that the feed has answered, and since when it has done so without a
 * gap. */
static void
note_feed(struct owner *o)
{
    if (Clock_NowMs() - o->feed_answer_ms > FEED_GAP_MS) {
        o->feed_since_ms = Clock_NowMs();
    }
    o->feed_answer_ms = Clock_NowMs();
}

/* Updates the owner and its signs of life from changed rows. */
void
Leader_TakeRows(struct owner *o, const struct rows_changed *r)
{
    if (r->from_feed) {
        note_feed(o);
    }
    for (size_t i = 0; i < r->count; i++) {
        if (strcmp(r->rows[i].key, "owner") == 0) {
            take_owner_row(o, &r->rows[i]);
        }
        else if (is_heartbeat(o, &r->rows[i]) ||
                 strncmp(r->rows[i].key, "run/", 4) == 0) {
            /* Only the owner writes its heartbeat and the progress rows. */
            o->heartbeat_seen_ms = Clock_NowMs();
        }
        else if (strncmp(r->rows[i].key, "entry/", 6) == 0) {
            note_entry_row(o, &r->rows[i]);
        }
    }
}
