#include "entry-claims.h"

#include <stdlib.h>
#include <string.h>

static const char *const state_names[CLAIM_STATE_COUNT] = {
    [CLAIM_CLAIMED] = "claimed",
    [CLAIM_NOT_RUN] = "not_run",
    [CLAIM_ANSWERED] = "answered",
    [CLAIM_UNKNOWN] = "unknown",
};

/* A string in the JSON head of a row. */
struct text_field {
    const char *name;
    size_t offset;
    size_t size;
};

#define TEXT_FIELD(member)                                                    \
    {                                                                         \
#member, offsetof(struct claim_row, member),                          \
            sizeof(((struct claim_row *)NULL)->member)                        \
    }

static const struct text_field text_fields[] = {
    TEXT_FIELD(entry),  TEXT_FIELD(agent),        TEXT_FIELD(body_hash),
    TEXT_FIELD(reason), TEXT_FIELD(content_type), TEXT_FIELD(object)};

/* Returns the digest of the key within its organisation and service. Names
 * hold no newline, so two scopes never give the same text. */
const char *
ClaimRow_Key(const char *organisation, const char *service, const char *key,
             char out[DIGEST_HEX_SIZE])
{
    struct buf text CLEANUP(Buf_Free) = {0};

    Buf_Printf(&text, "%s\n%s\n%s", organisation, service, key);
    return Digest_Hex(text.data, text.len, out);
}

/* Encodes a row. */
void
ClaimRow_Encode(const struct claim_row *row, struct buf *out)
{
    char hex[ID_HEX_SIZE];
    char *head;
    size_t i;
    json_t *o = json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:i}", "state",
        state_names[row->state], "request", Id_Hex(&row->request, hex),
        "attempt", (json_int_t)row->attempt, "incarnation",
        (json_int_t)row->incarnation, "not_after", (json_int_t)row->not_after,
        "at_ms", (json_int_t)row->at_ms, "status", row->status);

    for (i = 0; i < COUNT_OF(text_fields); i++) {
        json_object_set_new(
            o, text_fields[i].name,
            json_string_nocheck((const char *)row + text_fields[i].offset));
    }
    head = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    Buf_AppendStr(out, head != NULL ? head : "{}");
    Buf_AppendStr(out, "\n");
    Buf_Append(out, row->body.data, row->body.len);
    free(head);
}

/* Parses the name of a state. */
static int
read_state(const char *word, struct claim_row *out)
{
    size_t i;

    for (i = 0; word != NULL && i < CLAIM_STATE_COUNT; i++) {
        if (strcmp(word, state_names[i]) == 0) {
            out->state = (enum claim_state)i;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

/* Parses the JSON head of a row. */
static int
read_head(const json_t *o, struct claim_row *out)
{
    const char *id = json_string_value(json_object_get(o, "request"));
    size_t i;

    if (id == NULL || Id_Parse(id, &out->request) != ERR_OK) {
        return ERR_INVALID;
    }
    out->attempt = (uint64_t)json_integer_value(json_object_get(o, "attempt"));
    out->incarnation =
        (uint64_t)json_integer_value(json_object_get(o, "incarnation"));
    out->not_after = json_integer_value(json_object_get(o, "not_after"));
    out->at_ms = json_integer_value(json_object_get(o, "at_ms"));
    out->status = (int)json_integer_value(json_object_get(o, "status"));
    for (i = 0; i < COUNT_OF(text_fields); i++) {
        const char *v =
            json_string_value(json_object_get(o, text_fields[i].name));

        Str_Copy((char *)out + text_fields[i].offset, text_fields[i].size,
                 v ? v : "");
    }
    return read_state(json_string_value(json_object_get(o, "state")), out);
}

/* Decodes a row. */
int
ClaimRow_Decode(const struct buf *text, struct claim_row *out)
{
    const char *end =
        text->len > 0 ? memchr(text->data, '\n', text->len) : NULL;
    size_t head;
    json_t *o;
    int err;

    memset(out, 0, sizeof(*out));
    if (end == NULL) {
        return ERR_INVALID;
    }
    head = (size_t)(end - text->data);
    o = json_loadb(text->data, head, 0, NULL);
    err = read_head(o, out);
    json_decref(o);
    Buf_Append(&out->body, end + 1, text->len - head - 1);
    return err;
}
