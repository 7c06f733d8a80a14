#include "config-internal.h"

#include <stdlib.h>
#include <string.h>

/* The words of shapes, with the largest size of one shape. The size of a word
 * without a number is 1. */
static const struct {
    const char *word;
    enum shape_kind kind;
    int64_t max; /* 0: no number follows */
} shapes[] = {
    {"accelerators", SHAPE_ACCELERATORS, 64},
    {"worker", SHAPE_WORKERS, 0},
    {"workers", SHAPE_WORKERS, 1024},
    {"rack", SHAPE_RACKS, 0},
    {"racks", SHAPE_RACKS, 1024},
};

/* Parses ": n" with n in 1..max; -1 for anything else. */
static int64_t
parse_size(const char *text, int64_t max)
{
    char *end;
    long n;

    if (strncmp(text, ": ", 2) != 0 || text[2] < '1' || text[2] > '9') {
        return -1;
    }
    n = strtol(text + 2, &end, 10);
    return *end != '\0' || n > max ? -1 : n;
}

/* Parses the text of a shape by the table of words. */
int
Config_ParseShape(const char *text, struct shape *out)
{
    size_t len = strcspn(text, ":");

    for (size_t i = 0; i < COUNT_OF(shapes); i++) {
        if (strlen(shapes[i].word) != len ||
            strncmp(shapes[i].word, text, len) != 0) {
            continue;
        }
        out->kind = shapes[i].kind;
        if (shapes[i].max == 0) {
            out->size = 1;
            return text[len] == '\0' ? ERR_OK : ERR_INVALID;
        }
        out->size = parse_size(text + len, shapes[i].max);
        return out->size > 0 ? ERR_OK : ERR_INVALID;
    }
    return ERR_INVALID;
}
