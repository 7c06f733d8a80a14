#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* Larger rows reach the owner by the feed only, as its link may be slow. */
#define ROW_BYTES_MAX 16384

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

/* Sends a row that this entry has written to the owner's entry. The feed stays
 * authoritative: a message that is late, repeated or lost does no harm. */
void
Notify_Owner(struct intake *in, const struct table_row *row)
{
    struct entry_outbound *out;
    struct wire_row *m;
    char address[NAME_SIZE];

    if (in->is_leader || row->value.len > ROW_BYTES_MAX ||
        strlen(row->key) >= WIRE_TEXT_SIZE ||
        !find_owner_address(in, address)) {
        return;
    }
    m = Wire_New(WIRE_ROW);
    Str_Copy(m->key, sizeof(m->key), row->key);
    m->version = row->version;
    Buf_Set(&m->value, row->value.data, row->value.len);
    out = Mem_Zero(1, sizeof(*out));
    Str_Copy(out->address, sizeof(out->address), address);
    out->m = &m->msg;
    Counter_Add(&sent_total, 1);
    Queue_Post(in->task.kernel, TASK_LINKS, &out->base,
               &Queue_EntryOutboundKind);
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
