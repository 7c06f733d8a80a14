#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* Interval at which an entry writes its row. */
#define ANNOUNCE_MS 4000
/* Interval until the row is first stored. */
#define FIRST_ANNOUNCE_MS 300

/* Handles the result of writing the row of this entry. */
static void
on_row_written(void *arg, int err, size_t at UNUSED,
               const uint64_t *versions UNUSED)
{
    struct intake *in = arg;

    in->own_row_stored = err == ERR_OK;
}

/* Writes the row of this entry. */
static void
write_own_row(struct intake *in)
{
    const struct entry_settings *s = in->task.kernel->settings;
    struct buf value CLEANUP(Buf_Free) = {0};
    struct buf key CLEANUP(Buf_Free) = {0};
    struct table_op op = {.verb = TABLE_PUT, .if_version = TABLE_ANY};

    Buf_Printf(&key, "entry/%s", s->name);
    Buf_Printf(&value, "{\"links\":\"%s\",\"incarnation\":%llu}",
               s->hosted.links, (unsigned long long)Queue_Incarnation());
    op.table = Queue_Platform()->own_table;
    op.key = key.data;
    op.value = value.data;
    op.len = value.len;
    in->store->ops->commit(in->store, &op, 1, on_row_written, in);
}

/* Adds an entry row to the list of entries. */
static void
add_entry(const struct cached_row *r, void *arg)
{
    struct entries_listed *note = arg;
    json_t *o = json_loadb(r->value.data, r->value.len, 0, NULL);
    const char *links = json_string_value(json_object_get(o, "links"));
    const char *name = r->key + strlen("entry/");

    if (links != NULL && Settings_IsAddress(links) && Str_IsName(name)) {
        struct wire_entry *e = Wire_ListAdd(&note->entries, sizeof(*e));

        Str_Copy(e->name, sizeof(e->name), name);
        Str_Copy(e->address, sizeof(e->address), links);
    }
    else {
        Unreadable(UNREADABLE_ROW, r->key,
                   "not a valid entry name and link address");
    }
    json_decref(o);
}

/* Sends the entries that the store lists to the links task. */
static void
send_entries(struct intake *in)
{
    struct entries_listed *note = Mem_Zero(1, sizeof(*note));

    Cache_ForEach(in, "entry/", add_entry, note);
    Queue_Post(in->task.kernel, TASK_LINKS, &note->base, &Queue_EntriesKind);
}

/* Writes the row of this entry and reports the listed entries. */
static void
on_announce(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct intake *in = w->data;

    write_own_row(in);
    send_entries(in);
    Timer_Set(loop, w, in->own_row_stored ? ANNOUNCE_MS : FIRST_ANNOUNCE_MS);
}

/* Starts writing the row of this entry. */
void
Entries_Start(struct intake *in)
{
    ev_init(&in->announce_timer, on_announce);
    in->announce_timer.data = in;
    Timer_Set(in->task.kernel->loop, &in->announce_timer, 1);
}

/* Stops writing the row of this entry. */
void
Entries_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->announce_timer);
}
