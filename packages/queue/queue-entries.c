#include "queue-intake.h"

#include <stdlib.h>
#include <string.h>

/* Interval at which an entry compares its row in the store with what it should
 * be, and reports the listed entries when they have changed. */
#define CHECK_MS 1000
/* Interval until the row is first stored. */
#define FIRST_CHECK_MS 300
/* Entries that start together are listed within this time. */
#define SETTLE_MS 1000

/* Returns thousandths of a product of two decimals of the settings. */
static int64_t
product_milli(const char *a, const char *b)
{
    return (int64_t)(strtod(a, NULL) * strtod(b, NULL) * 1000);
}

/* Writes what the row of this entry should be. */
static void
print_own_row(const struct entry_settings *s, struct buf *key,
              struct buf *value)
{
    const struct hosted_settings *h = &s->hosted;

    Buf_Printf(key, "entry/%s", s->name);
    Buf_Printf(
        value,
        "{\"links\":\"%s\",\"incarnation\":%llu,\"domain\":\"%s\","
        "\"millicores\":%lld,\"link_mbps\":%lld,\"memory_mb\":%lld}",
        h->links, (unsigned long long)Queue_Incarnation(), s->failure_domain,
        (long long)product_milli(h->processor_share, h->processor_speed),
        (long long)strtod(h->link_mbps, NULL),
        (long long)strtod(h->memory_mb, NULL));
}

/* Handles the result of writing the row of this entry. */
static void
on_row_written(void *arg, int err, size_t at UNUSED, const uint64_t *versions)
{
    struct intake *in = arg;

    in->own_row_pending = false;
    if (err != ERR_OK) {
        return;
    }
    in->own_row_version = versions[0];
    if (in->own_row_stored_ms == 0) {
        in->own_row_stored_ms = Clock_NowMs();
    }
}

/* True when the row of this entry is in the store as it should be, as far as
 * this entry knows.
 *
 * Until the feed has passed the last write, the cache still has the row before
 * it. If the entry wrote the row again at each check until then, all entries
 * together would write as fast as the store allows whenever the feed is late,
 * and make it later. */
static bool
is_own_row_current(struct intake *in, const struct buf *key,
                   const struct buf *value)
{
    const struct cached_row *r = Cache_Find(in, key->data);

    if (in->own_row_version > in->own_table.position) {
        return true;
    }
    return r != NULL && !r->corrupt && r->value.len == value->len &&
           memcmp(r->value.data, value->data, value->len) == 0;
}

/* Writes the row of this entry if it is missing, or is that of an earlier
 * process or of another writer.
 *
 * Every row that is written is sent to all entries. If each rewrote its row
 * now and then, these rows would grow with the square of their number. */
static void
update_own_row(struct intake *in)
{
    const struct entry_settings *s = in->task.kernel->settings;
    struct buf value CLEANUP(Buf_Free) = {0};
    struct buf key CLEANUP(Buf_Free) = {0};
    struct table_op op = {.verb = TABLE_PUT, .if_version = TABLE_ANY};

    print_own_row(s, &key, &value);
    if (in->own_row_pending || is_own_row_current(in, &key, &value)) {
        return;
    }
    op.table = Queue_Platform()->own_table;
    op.key = key.data;
    op.value = value.data;
    op.len = value.len;
    in->own_row_pending = true;
    in->store->ops->commit(in->store, &op, 1, on_row_written, in);
}

/* Reads a number of an entry row that is within range, or 0. */
static int64_t
read_number(const json_t *o, const char *name)
{
    static const json_int_t max = 1000000000;
    json_int_t n = json_integer_value(json_object_get(o, name));

    return n >= 0 && n <= max ? n : 0;
}

/* Reads the row of an entry. Rows of older versions state neither the failure
 * domain nor what the machine has. */
int
EntryRow_Read(const char *key, const struct buf *value, struct member *out,
              uint64_t *incarnation)
{
    json_t *o = json_loadb(value->data != NULL ? value->data : "", value->len,
                           0, NULL);
    const char *links = json_string_value(json_object_get(o, "links"));
    const char *domain = json_string_value(json_object_get(o, "domain"));
    const char *name = key + strlen("entry/");
    int64_t number = 0;
    int err = ERR_INVALID;

    *out = (struct member){0};
    if (links != NULL && Settings_IsAddress(links) && Str_IsName(name) &&
        Json_Whole(json_object_get(o, "incarnation"), INT64_MAX, &number) ==
            ERR_OK &&
        number > 0) {
        *incarnation = (uint64_t)number;
        Str_Copy(out->name, sizeof(out->name), name);
        Str_Copy(out->address, sizeof(out->address), links);
        if (domain != NULL && Str_IsName(domain)) {
            Str_Copy(out->domain, sizeof(out->domain), domain);
        }
        out->room = (struct member_room){read_number(o, "millicores"),
                                         read_number(o, "link_mbps"),
                                         read_number(o, "memory_mb")};
        err = ERR_OK;
    }
    else {
        Unreadable(UNREADABLE_ROW, key,
                   "not a valid name, link address and incarnation");
    }
    json_decref(o);
    return err;
}

/* Adds an entry row to the list of entries. */
static void
add_entry(const struct cached_row *r, void *arg)
{
    struct entries_listed *note = arg;
    uint64_t incarnation;

    if (EntryRow_Read(r->key, &r->value, &note->members[note->count],
                      &incarnation) == ERR_OK) {
        note->count++;
    }
}

/* Counts the entry rows, and hashes their versions. */
struct row_digest {
    size_t count;
    uint64_t hash;
};

/* Adds an entry row to the digest. */
static void
digest_row(const struct cached_row *r, void *arg)
{
    struct row_digest *d = arg;

    d->count++;
    d->hash = Hash_Str(r->key, d->hash ^ r->version);
}

/* Reads the name of the owner from its row; "" when there is none. */
static void
read_owner_name(struct intake *in, char name[NAME_SIZE])
{
    const struct cached_row *r = Cache_Find(in, "owner");
    json_t *o =
        r != NULL ? json_loadb(r->value.data, r->value.len, 0, NULL) : NULL;
    const char *text = json_string_value(json_object_get(o, "name"));

    name[0] = '\0';
    if (text != NULL && Str_IsName(text)) {
        Str_Copy(name, NAME_SIZE, text);
    }
    json_decref(o);
}

/* True when all entries that started together with this one are likely to be
 * listed. Once there has been an owner, the rows of all entries were stored
 * before this process started. */
static bool
is_settled(struct intake *in)
{
    return Cache_Find(in, "owner") != NULL ||
           (in->own_row_stored_ms != 0 &&
            Clock_NowMs() - in->own_row_stored_ms >= SETTLE_MS);
}

/* Sends the entries that the store lists to the links task, if they, the owner
 * or whether they are settled have changed. */
void
Entries_Report(struct intake *in)
{
    struct entries_listed *note = Mem_Zero(1, sizeof(*note));
    struct row_digest digest = {0};

    read_owner_name(in, note->owner);
    note->settled = is_settled(in);
    Cache_ForEach(in, "entry/", digest_row, &digest);
    digest.hash = Hash_Str(note->owner, digest.hash + note->settled);
    if (digest.hash == in->entries_sent) {
        free(note);
        return;
    }
    in->entries_sent = digest.hash;
    note->members = Mem_Zero(digest.count + 1, sizeof(*note->members));
    Cache_ForEach(in, "entry/", add_entry, note);
    Queue_Post(in->task.kernel, TASK_LINKS, &note->base, &Queue_EntriesKind);
}

/* Checks the row of this entry and the listed entries. */
static void
on_check(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct intake *in = w->data;

    update_own_row(in);
    Entries_Report(in);
    Timer_Set(loop, w, in->own_row_stored_ms != 0 ? CHECK_MS : FIRST_CHECK_MS);
}

/* Starts to keep the row of this entry. */
void
Entries_Start(struct intake *in)
{
    ev_init(&in->entries_timer, on_check);
    in->entries_timer.data = in;
    Timer_Set(in->task.kernel->loop, &in->entries_timer, 1);
}

/* Stops keeping the row of this entry. */
void
Entries_Stop(struct intake *in)
{
    ev_timer_stop(in->task.kernel->loop, &in->entries_timer);
}
