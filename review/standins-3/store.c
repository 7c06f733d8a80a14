/* The project's stand-in of the platform's store, with the bounds that the
 * pages set for a call of POST /rows-tx: at most 100 entries, 1 MB, and values
 * of at most row-bytes (65536) each. A call beyond them does nothing and gets
 * 400. */
#include "fake.h"

#include <string.h>

#define ENTRIES_MAX 100
#define CALL_BYTES_MAX ((size_t)1 << 20)
#define ROW_BYTES_MAX 65536

/* Returns the length of a value in base64. */
static size_t
value_bytes(const json_t *row)
{
    const char *text = json_string_value(json_object_get(row, "value"));
    size_t len = text != NULL ? strlen(text) : 0;

    while (len > 0 && text[len - 1] == '=') {
        len--;
    }
    return len * 3 / 4;
}

/* Parses a body as Fake_Body() does, and refuses one beyond the bounds. */
static json_t *
bounded_body(struct http_exchange *ex)
{
    json_t *body = Fake_Body(ex), *row;
    size_t i, entries;

    if (body == NULL) {
        return NULL;
    }
    entries = json_array_size(json_object_get(body, "expect")) +
              json_array_size(json_object_get(body, "writes")) +
              json_array_size(json_object_get(body, "remove"));
    if (entries > ENTRIES_MAX || Http_Body(ex)->len > CALL_BYTES_MAX) {
        LOG_W("call_too_big", KV_INT("entries", entries),
              KV_INT("bytes", Http_Body(ex)->len));
        json_decref(body);
        Fake_Reply(ex, 400, json_object());
        return NULL;
    }
    json_array_foreach(json_object_get(body, "writes"), i, row)
    {
        if (value_bytes(row) > ROW_BYTES_MAX) {
            LOG_W("row_too_big",
                  KV("key", json_string_value(json_object_get(row, "key"))),
                  KV_INT("bytes", value_bytes(row)));
            json_decref(body);
            Fake_Reply(ex, 400, json_object());
            return NULL;
        }
    }
    return body;
}

#define Fake_Body bounded_body
#include "../../tests/fakes/hosted-store.c"
