#include "agent-announce.h"

#include <string.h>

#define SLOTS_MAX 4096
#define LEASE_MIN_MS 200
#define LEASE_MAX_MS 600000

/* Sends a JSON response and drops the caller's reference to body. */
void
Announce_Reply(struct http_exchange *ex, int status, json_t *body)
{
    char *text CLEANUP(Mem_FreeP) = json_dumps(body, JSON_COMPACT);

    json_decref(body);
    Http_Reply(ex, status, "application/json", text, strlen(text));
}

/* Sends an error response that names the wrong key and the allowed values. */
void
Announce_Refuse(struct http_exchange *ex, int status, const char *key,
                const char *allowed)
{
    Announce_Reply(ex, status,
                   json_pack("{s:s, s:s}", "key", key, "allowed", allowed));
}

static const struct {
    const char *key;
    size_t offset;
    int64_t min;
    int64_t max;
    const char *allowed;
} number_fields[] = {
    {"slots", offsetof(struct announced_upstream, slots), 1, SLOTS_MAX,
     "1..4096"},
    {"connections", offsetof(struct announced_upstream, connections), 1,
     SLOTS_MAX, "1..4096, at least slots"},
    {"lease_ms", offsetof(struct announced_upstream, lease_ms), LEASE_MIN_MS,
     LEASE_MAX_MS, "200..600000"},
};

/* Reads the number fields of an announcement. Returns the index of the first
 * one that is missing or out of range, or the count of fields if all are
 * valid. */
static size_t
read_numbers(const json_t *o, struct announced_upstream *u)
{
    size_t i;

    for (i = 0; i < COUNT_OF(number_fields); i++) {
        const json_t *n = json_object_get(o, number_fields[i].key);
        int64_t value = json_integer_value(n);

        if (!json_is_integer(n) || value < number_fields[i].min ||
            value > number_fields[i].max) {
            return i;
        }
        memcpy((char *)u + number_fields[i].offset, &value, sizeof(value));
    }
    return i;
}

/* Reads the body of an announcement, or sends an error response. */
bool
Announce_Read(struct http_exchange *ex, const json_t *o,
              struct announced_upstream *u)
{
    const char *url = json_string_value(json_object_get(o, "url"));
    size_t wrong = read_numbers(o, u);

    if (!json_is_object(o)) {
        Announce_Refuse(ex, 400, "", "a JSON object");
    }
    else if (url == NULL || !Settings_IsUrl(url) ||
             Str_Copy(u->url, sizeof(u->url), url) != ERR_OK) {
        Announce_Refuse(ex, 400, "url",
                        "http://host[:port][/path], under 256 bytes");
    }
    else if (wrong < COUNT_OF(number_fields)) {
        Announce_Refuse(ex, 400, number_fields[wrong].key,
                        number_fields[wrong].allowed);
    }
    else if (u->connections < u->slots) {
        Announce_Refuse(ex, 400, "connections", "1..4096, at least slots");
    }
    else if (json_object_size(o) != COUNT_OF(number_fields) + 1) {
        Announce_Refuse(ex, 400, "",
                        "url, slots, connections and lease_ms only");
    }
    else {
        return true;
    }
    return false;
}
