/* Helpers to read and write fields of JSON objects, for the rows of this
 * package. */
#ifndef JOBS_JSON_H
#define JOBS_JSON_H

#include "jobs.h"

/* Returns a field as a number, or 0 when there is none. */
static inline int64_t
json_number(const json_t *o, const char *key)
{
    return json_integer_value(json_object_get(o, key));
}

/* Copies a text field; "" when there is none. */
static inline int
json_text(const json_t *o, const char *key, char *out, size_t size)
{
    const char *s = json_string_value(json_object_get(o, key));

    return Str_Copy(out, size, s != NULL ? s : "");
}

/* Sets a text field unless the text is empty. */
static inline void
json_put_text(json_t *o, const char *key, const char *s)
{
    if (*s != '\0') {
        json_object_set_new(o, key, json_string(s));
    }
}

/* Sets a number field unless the number is 0. */
static inline void
json_put_number(json_t *o, const char *key, int64_t n)
{
    if (n != 0) {
        json_object_set_new(o, key, json_integer(n));
    }
}

/* Appends a value as compact JSON and releases it. */
void JobsJson_Append(json_t *o, struct buf *out);

#endif
