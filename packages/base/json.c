#include "base.h"

#include <jansson.h>

/* Reads a JSON integer from 0 to most. */
int
Json_Whole(const struct json_t *value, int64_t most, int64_t *out)
{
    json_int_t n = json_integer_value(value);

    if (!json_is_integer(value) || n < 0 || n > most) {
        return ERR_INVALID;
    }
    *out = n;
    return ERR_OK;
}
