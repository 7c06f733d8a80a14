#include "wire-fields.h"
#include "wire-guard.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/* Address of a field in a struct. */
static void *
field_at(void *base, const struct wire_field *f)
{
    return (char *)base + f->offset;
}

/* Returns the name of a message type without the prefix "wire_". */
const char *
Wire_TypeName(enum wire_type type)
{
    const struct wire_fields *t = Wire_Fields(type);

    return t == NULL ? "none" : t->name + strlen("wire_");
}

/* Allocates a zeroed message. In a report, the remaining time of a worker is
 * unknown until it is set, as 0 would mean that a draining worker is about to
 * leave, and so is whether its lists are whole. */
void *
Wire_New(enum wire_type type)
{
    const struct wire_fields *t = Wire_Fields(type);
    struct wire_msg *m;

    if (t == NULL) {
        Fatal("unknown message type %d", (int)type);
    }
    m = Mem_Zero(1, t->size);
    m->type = type;
    if (type == WIRE_REPORT) {
        ((struct wire_report *)m)->drain_left_ms = -1;
        ((struct wire_report *)m)->lists = WIRE_LISTS_UNKNOWN;
    }
    return m;
}

/* Frees the buffers and lists that a struct's fields hold. */
static void
clear_fields(const struct wire_fields *t, void *base)
{
    size_t i, j;

    for (i = 0; i < t->count; i++) {
        const struct wire_field *f = &t->fields[i];
        struct wire_list *list = field_at(base, f);

        if (f->kind == FIELD_BUF) {
            Buf_Free(field_at(base, f));
        }
        if (f->kind != FIELD_LIST) {
            continue;
        }
        for (j = 0; j < list->count; j++) {
            clear_fields(f->sub, (char *)list->items + j * f->sub->size);
        }
        free(list->items);
        memset(list, 0, sizeof(*list));
    }
}

/* Frees what a message holds, but not the message itself. */
void
Wire_Clear(struct wire_msg *m)
{
    clear_fields(Wire_Fields(m->type), m);
}

/* Frees a message. */
void
Wire_Free(struct wire_msg *m)
{
    if (m != NULL) {
        Wire_Clear(m);
        free(m);
    }
}

/* Frees the message of a local pointer when its scope ends. */
void
Wire_FreeP(void *pointer_to_pointer)
{
    Wire_Free(*(struct wire_msg **)pointer_to_pointer);
}

/* Appends a zeroed item to a list. */
void *
Wire_ListAdd(struct wire_list *list, size_t item_size)
{
    char *at;

    list->items = Mem_Grow(list->items, (list->count + 1) * item_size);
    at = (char *)list->items + list->count * item_size;
    memset(at, 0, item_size);
    list->count++;
    return at;
}

/* Copies a list whose items own no memory. */
void
Wire_ListCopy(struct wire_list *dst, const struct wire_list *src,
              size_t item_size)
{
    free(dst->items);
    dst->count = src->count;
    dst->items = Mem_Alloc(src->count * item_size);
    if (src->count > 0) {
        memcpy(dst->items, src->items, src->count * item_size);
    }
}

/* Appends the packer's output to a buffer; always succeeds. */
static int
write_bytes(void *arg, const char *data, size_t len)
{
    Buf_Append(arg, data, len);
    return 0;
}

/* Writes a string. */
static void
pack_text(msgpack_packer *pk, const char *s)
{
    size_t len = strlen(s);

    msgpack_pack_str(pk, len);
    msgpack_pack_str_body(pk, s, len);
}

static void pack_struct(msgpack_packer *pk, const struct wire_fields *t,
                        const void *base);

/* Writes a list as an array of arrays. */
static void
pack_list(msgpack_packer *pk, const struct wire_fields *sub,
          const struct wire_list *list)
{
    size_t i;

    msgpack_pack_array(pk, list->count);
    for (i = 0; i < list->count; i++) {
        msgpack_pack_array(pk, sub->count);
        pack_struct(pk, sub, (const char *)list->items + i * sub->size);
    }
}

/* Writes the fields of a struct. */
static void
pack_struct(msgpack_packer *pk, const struct wire_fields *t, const void *base)
{
    size_t i;

    for (i = 0; i < t->count; i++) {
        const struct wire_field *f = &t->fields[i];
        const void *at = (const char *)base + f->offset;
        const struct buf *b = at;

        switch (f->kind) {
        case FIELD_UINT:
            msgpack_pack_uint64(pk, *(const uint64_t *)at);
            break;
        case FIELD_INT:
            msgpack_pack_int64(pk, *(const int64_t *)at);
            break;
        case FIELD_ID:
            msgpack_pack_bin(pk, ID_BYTES);
            msgpack_pack_bin_body(pk, at, ID_BYTES);
            break;
        case FIELD_NAME:
        case FIELD_TEXT:
            pack_text(pk, at);
            break;
        case FIELD_BUF:
            msgpack_pack_bin(pk, b->len);
            msgpack_pack_bin_body(pk, b->data ? b->data : "", b->len);
            break;
        case FIELD_LIST:
            pack_list(pk, f->sub, at);
            break;
        }
    }
}

/* Writes a message as an array: version, type, fields. */
void
Wire_Encode(const struct wire_msg *m, struct buf *out)
{
    const struct wire_fields *t = Wire_Fields(m->type);
    msgpack_packer pk;

    msgpack_packer_init(&pk, out, write_bytes);
    msgpack_pack_array(&pk, t->count + 2);
    msgpack_pack_uint64(&pk, WIRE_VERSION);
    msgpack_pack_uint64(&pk, m->type);
    pack_struct(&pk, t, m);
}

/* Reads a string into an array of the given size, and refuses strings that
 * contain a NUL. msgpack's object of an empty string holds no valid pointer.
 */
static int
unpack_text(const msgpack_object *o, char *at, size_t size)
{
    size_t len = o->type == MSGPACK_OBJECT_STR ? o->via.str.size : size;

    if (len >= size) {
        return ERR_INVALID;
    }
    if (len > 0) {
        memcpy(at, o->via.str.ptr, len);
    }
    at[len] = '\0';
    return strlen(at) == len ? ERR_OK : ERR_INVALID;
}

/* Reads an unsigned integer. */
static int
unpack_uint(const msgpack_object *o, void *at,
            const struct wire_field *f UNUSED)
{
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return ERR_INVALID;
    }
    *(uint64_t *)at = o->via.u64;
    return ERR_OK;
}

/* Reads a signed integer. */
static int
unpack_int(const msgpack_object *o, void *at,
           const struct wire_field *f UNUSED)
{
    if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        o->via.u64 <= INT64_MAX) {
        *(int64_t *)at = (int64_t)o->via.u64;
        return ERR_OK;
    }
    if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        *(int64_t *)at = o->via.i64;
        return ERR_OK;
    }
    return ERR_INVALID;
}

/* Reads an id. */
static int
unpack_id(const msgpack_object *o, void *at, const struct wire_field *f UNUSED)
{
    if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != ID_BYTES) {
        return ERR_INVALID;
    }
    memcpy(at, o->via.bin.ptr, ID_BYTES);
    return ERR_OK;
}

/* Reads a string of less than NAME_SIZE bytes. */
static int
unpack_name(const msgpack_object *o, void *at,
            const struct wire_field *f UNUSED)
{
    return unpack_text(o, at, NAME_SIZE);
}

/* Reads a string of less than WIRE_TEXT_SIZE bytes. */
static int
unpack_long_text(const msgpack_object *o, void *at,
                 const struct wire_field *f UNUSED)
{
    return unpack_text(o, at, WIRE_TEXT_SIZE);
}

/* Reads binary data of any length. */
static int
unpack_buf(const msgpack_object *o, void *at,
           const struct wire_field *f UNUSED)
{
    if (o->type != MSGPACK_OBJECT_BIN) {
        return ERR_INVALID;
    }
    Buf_Append(at, o->via.bin.ptr, o->via.bin.size);
    return ERR_OK;
}

static int unpack_struct(const msgpack_object *items, size_t count,
                         const struct wire_fields *t, void *base);

/* Reads an array of arrays into a list of structs. */
static int
unpack_list(const msgpack_object *o, void *at, const struct wire_field *f)
{
    struct wire_list *list = at;
    size_t i, n;

    if (o->type != MSGPACK_OBJECT_ARRAY) {
        return ERR_INVALID;
    }
    n = o->via.array.size;
    list->items = Mem_Zero(n, f->sub->size);
    list->count = n;
    for (i = 0; i < n; i++) {
        const msgpack_object *item = &o->via.array.ptr[i];

        if (item->type != MSGPACK_OBJECT_ARRAY ||
            unpack_struct(item->via.array.ptr, item->via.array.size, f->sub,
                          (char *)list->items + i * f->sub->size) != ERR_OK) {
            return ERR_INVALID;
        }
    }
    return ERR_OK;
}

static int (*const unpackers[])(const msgpack_object *, void *,
                                const struct wire_field *) = {
    [FIELD_UINT] = unpack_uint,      [FIELD_INT] = unpack_int,
    [FIELD_ID] = unpack_id,          [FIELD_NAME] = unpack_name,
    [FIELD_TEXT] = unpack_long_text, [FIELD_BUF] = unpack_buf,
    [FIELD_LIST] = unpack_list};

/* Reads the fields of a struct; fields beyond the known ones are ignored, and
 * optional fields may be missing and stay empty. During an upgrade entries are
 * replaced before agents: if entries refused messages without the new fields,
 * they would receive nothing from agents that are not replaced yet. */
static int
unpack_struct(const msgpack_object *items, size_t count,
              const struct wire_fields *t, void *base)
{
    size_t i;

    if (count < t->count - t->optional) {
        return ERR_INVALID;
    }
    for (i = 0; i < t->count && i < count; i++) {
        const struct wire_field *f = &t->fields[i];

        if (unpackers[f->kind](&items[i], field_at(base, f), f) != ERR_OK) {
            return ERR_INVALID;
        }
    }
    return ERR_OK;
}

/* Converts an unpacked msgpack object to a message. */
static int
unpack_message(const msgpack_object *o, struct wire_msg **out)
{
    const msgpack_object *items = o->via.array.ptr;
    const struct wire_fields *t;
    struct wire_msg *m;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2 ||
        items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[0].via.u64 != WIRE_VERSION ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return ERR_INVALID;
    }
    t = Wire_Fields(items[1].via.u64);
    if (t == NULL) {
        return ERR_INVALID;
    }
    m = Wire_New((enum wire_type)items[1].via.u64);
    if (unpack_struct(items + 2, o->via.array.size - 2, t, m) != ERR_OK) {
        Wire_Free(m);
        return ERR_INVALID;
    }
    *out = m;
    return ERR_OK;
}

/* Decodes a message from untrusted bytes. */
int
Wire_Decode(const void *data, size_t len, struct wire_msg **out)
{
    msgpack_unpacked un;
    size_t off = 0;
    int err = ERR_INVALID;

    *out = NULL;
    if (Wire_Guard(data, len) != ERR_OK) {
        return ERR_INVALID;
    }
    msgpack_unpacked_init(&un);
    if (msgpack_unpack_next(&un, data, len, &off) == MSGPACK_UNPACK_SUCCESS &&
        off == len) {
        err = unpack_message(&un.data, out);
    }
    msgpack_unpacked_destroy(&un);
    return err;
}
