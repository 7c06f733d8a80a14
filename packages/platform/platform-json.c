#include "platform-call.h"

#include <sodium.h>
#include <string.h>

/* Encodes bytes as base64 with libsodium. */
json_t *
Json_Bytes(const void *data, size_t len)
{
    size_t size =
        sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
    char *text CLEANUP(Mem_FreeP) = Mem_Alloc(size);

    sodium_bin2base64(text, size, data, len, sodium_base64_VARIANT_ORIGINAL);
    return json_string(text);
}

/* Decodes base64 with libsodium. */
int
Json_ToBytes(const json_t *text, struct buf *out)
{
    const char *s = json_string_value(text);
    unsigned char *raw CLEANUP(Mem_FreeP) = NULL;
    size_t size, len;

    if (s == NULL) {
        return ERR_INVALID;
    }
    size = strlen(s);
    raw = Mem_Alloc(size + 1);
    if (sodium_base642bin(raw, size, s, size, NULL, &len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        return ERR_INVALID;
    }
    Buf_Set(out, raw, len);
    return ERR_OK;
}

/* Parses an id of 32 hex digits. */
int
Json_ToId(const json_t *text, struct id *out)
{
    const char *s = json_string_value(text);

    return s == NULL ? ERR_INVALID : Id_Parse(s, out);
}

/* Reads an integer; other JSON types, reals included, are invalid. */
int
Json_ToInt(const json_t *number, int64_t *out)
{
    if (!json_is_integer(number)) {
        return ERR_INVALID;
    }
    *out = json_integer_value(number);
    return ERR_OK;
}

/* Parses the body of a response, which must be a JSON object. */
json_t *
Json_FromResult(const struct http_result *result)
{
    json_t *o;

    if (result->body.data == NULL) {
        return NULL;
    }
    o = json_loadb(result->body.data, result->body.len, 0, NULL);
    if (!json_is_object(o)) {
        json_decref(o);
        return NULL;
    }
    return o;
}
