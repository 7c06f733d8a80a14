#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* Larger rows reach the owner by the feed only, as its link may be slow. */
#define ROW_BYTES_MAX 16384
/* Rows are sent again to an owner that becomes known within this time. By
 * then its own feed or list has brought them, if it works at all. */
#define RECENT_MS 3000
#define RECENT_ROWS_MAX 64

static struct counter sent_total = {
    "parsleyfall_queue_rows_sent_total",
    "Rows of jobs that this entry sent to the leader.", NULL, COUNTER_TOTAL};
static struct counter ahead_total = {
    "parsleyfall_queue_rows_ahead_total",
    "Rows of jobs that another entry sent before the feed brought them.", NULL,
    COUNTER_TOTAL};

/* Copies a string field of a JSON row; false when there is none that fits. */
static bool
read_text_field(const struct cached_row *r, const char *name,
                char out[NAME_SIZE])
{
    json_t *o = r != NULL ? json_loadb(r->value.data ? r->value.data : "",
                                       r->value.len, 0, NULL)
                          : NULL;
    const char *text = json_string_value(json_object_get(o, name));
    bool found = text != NULL && *text != '\0' && strlen(text) < NAME_SIZE;

    if (found) {
        Str_Copy(out, NAME_SIZE, text);
    }
    json_decref(o);
    return found;
}

/* Finds the address where the owner's links listen, by the cached rows. */
static bool
find_owner_address(struct intake *in, char address[NAME_SIZE])
{
    struct buf key CLEANUP(Buf_Free) = {0};
    char name[NAME_SIZE];

    if (!read_text_field(Cache_Find(in, "owner"), "name", name)) {
        return false;
    }
    Buf_Printf(&key, "entry/%s", name);
    return read_text_field(Cache_Find(in, key.data), "links", address);
}

/* A row that this entry has written lately. */
struct recent_row {
    struct table_row row;
    int64_t at_ms;
    TAILQ_ENTRY(recent_row) entry;
};

/* Removes one of the recent rows and frees it. */
static void
drop_recent(struct intake *in, struct recent_row *r)
{
    TAILQ_REMOVE(&in->recent_rows, r, entry);
    in->recent_row_count--;
    free(r->row.key);
    Buf_Free(&r->row.value);
    free(r);
}

/* True for a row that a new owner may not have by itself yet. */
static bool
is_recent(const struct recent_row *r)
{
    return Clock_NowMs() - r->at_ms <= RECENT_MS;
}

/* Frees rows that are no longer recent, or too many. */
static void
drop_old_rows(struct intake *in)
{
    struct recent_row *r, *next;

    TAILQ_FOREACH_SAFE (r, &in->recent_rows, entry, next) {
        if (is_recent(r) && in->recent_row_count <= RECENT_ROWS_MAX) {
            return;
        }
        drop_recent(in, r);
    }
}

/* Keeps a copy of a row for an owner that becomes known later. */
static void
keep_row(struct intake *in, const struct table_row *row)
{
    struct recent_row *r = Mem_Zero(1, sizeof(*r));

    r->row.key = Mem_Dup(row->key);
    r->row.version = row->version;
    Buf_Set(&r->row.value, row->value.data, row->value.len);
    r->at_ms = Clock_NowMs();
    TAILQ_INSERT_TAIL(&in->recent_rows, r, entry);
    in->recent_row_count++;
    drop_old_rows(in);
}

/* Sends a row to the entry at that address. */
static void
send_row(struct intake *in, const struct table_row *row, const char *address)
{
    struct entry_outbound *out = Mem_Zero(1, sizeof(*out));
    struct wire_row *m = Wire_New(WIRE_ROW);

    Str_Copy(m->key, sizeof(m->key), row->key);
    m->version = row->version;
    Buf_Set(&m->value, row->value.data, row->value.len);
    Str_Copy(out->address, sizeof(out->address), address);
    out->m = &m->msg;
    Counter_Add(&sent_total, 1);
    Queue_Post(in->task.kernel, TASK_LINKS, &out->base,
               &Queue_EntryOutboundKind);
}

/* Sends a row that this entry has written to the owner's entry. The feed stays
 * authoritative: a message that is late, repeated or lost does no harm. */
void
Notify_Owner(struct intake *in, const struct table_row *row)
{
    if (in->is_leader || row->value.len > ROW_BYTES_MAX ||
        strlen(row->key) >= WIRE_TEXT_SIZE) {
        return;
    }
    keep_row(in, row);
    if (*in->owner_address != '\0') {
        send_row(in, row, in->owner_address);
    }
}

/* Handles a change of the owner's row or of an entry row.
 *
 * An entry may accept a job some milliseconds before its feed brings the row
 * of a new owner. Without the rows that it has just written, that owner would
 * wait for its own feed, which may be silent for seconds. */
void
Notify_OwnerChanged(struct intake *in)
{
    const struct recent_row *r;
    char address[NAME_SIZE];

    if (!find_owner_address(in, address)) {
        in->owner_address[0] = '\0';
        return;
    }
    if (strcmp(address, in->owner_address) == 0) {
        return;
    }
    Str_Copy(in->owner_address, sizeof(in->owner_address), address);
    if (in->is_leader) {
        return;
    }
    TAILQ_FOREACH (r, &in->recent_rows, entry) {
        if (is_recent(r)) {
            send_row(in, &r->row, address);
        }
    }
}

/* Frees the recent rows. */
void
Notify_Clear(struct intake *in)
{
    struct recent_row *r, *next;

    TAILQ_FOREACH_SAFE (r, &in->recent_rows, entry, next) {
        drop_recent(in, r);
    }
}

/* True for a row that the feed has not reached yet.
 *
 * A row that arrives after the feed has passed its version may have been
 * deleted since; taking it would bring an ended job back. A stop row of a job
 * that is not cached is not taken either, as it would no longer be new when
 * the feed reports both rows, and the owner would miss it. */
static bool
is_ahead(struct intake *in, const struct wire_row *m)
{
    const struct cached_job *j;

    if (in->own_table.position == 0 || m->version <= in->own_table.position ||
        m->version <= in->own_table.list_position) {
        return false;
    }
    if (strncmp(m->key, "spec/", 5) == 0) {
        return true;
    }
    j = strncmp(m->key, "stop/", 5) == 0 ? Cache_FindJob(in, m->key + 5)
                                         : NULL;
    return j != NULL && j->has_spec;
}

/* Takes a row that another entry has written; true when it was new. */
bool
Notify_Receive(struct intake *in, struct wire_row *m)
{
    struct table_row row = {.version = m->version};

    if (!is_ahead(in, m)) {
        return false;
    }
    row.key = Mem_Dup(m->key);
    row.value = m->value;
    m->value = (struct buf){0};
    Counter_Add(&ahead_total, 1);
    Cache_Update(in, &row, 1, false, 0);
    free(row.key);
    Buf_Free(&row.value);
    return true;
}
