#include "wire-guard.h"

#define FIRST_CODED 0xc0 /* below it the first byte holds the size */
#define LAST_CODED 0xdf

/* How a msgpack value with a coded first byte goes on. */
struct encoding {
    bool accepted;
    bool array;
    uint8_t fixed;      /* bytes that follow */
    uint8_t size_bytes; /* or: of a number that follows and counts them */
};

/* The kinds that messages hold or may come to hold. Maps and extension types
 * (left out) are none. */
static const struct encoding encodings[LAST_CODED - FIRST_CODED + 1] = {
    [0xc0 - FIRST_CODED] = {.accepted = true}, /* nil, false, true */
    [0xc2 - FIRST_CODED] = {.accepted = true},
    [0xc3 - FIRST_CODED] = {.accepted = true},
    [0xc4 - FIRST_CODED] = {.accepted = true, .size_bytes = 1}, /* bin */
    [0xc5 - FIRST_CODED] = {.accepted = true, .size_bytes = 2},
    [0xc6 - FIRST_CODED] = {.accepted = true, .size_bytes = 4},
    [0xca - FIRST_CODED] = {.accepted = true, .fixed = 4}, /* float */
    [0xcb - FIRST_CODED] = {.accepted = true, .fixed = 8},
    [0xcc - FIRST_CODED] = {.accepted = true, .fixed = 1}, /* uint */
    [0xcd - FIRST_CODED] = {.accepted = true, .fixed = 2},
    [0xce - FIRST_CODED] = {.accepted = true, .fixed = 4},
    [0xcf - FIRST_CODED] = {.accepted = true, .fixed = 8},
    [0xd0 - FIRST_CODED] = {.accepted = true, .fixed = 1}, /* int */
    [0xd1 - FIRST_CODED] = {.accepted = true, .fixed = 2},
    [0xd2 - FIRST_CODED] = {.accepted = true, .fixed = 4},
    [0xd3 - FIRST_CODED] = {.accepted = true, .fixed = 8},
    [0xd9 - FIRST_CODED] = {.accepted = true, .size_bytes = 1}, /* str */
    [0xda - FIRST_CODED] = {.accepted = true, .size_bytes = 2},
    [0xdb - FIRST_CODED] = {.accepted = true, .size_bytes = 4},
    [0xdc - FIRST_CODED] = {.accepted = true, .array = true, .size_bytes = 2},
    [0xdd - FIRST_CODED] = {.accepted = true, .array = true, .size_bytes = 4},
};

/* What is left to check. */
struct remaining {
    const uint8_t *at;
    size_t len;
};

/* Passes over bytes. False when there are not as many. */
static bool
skip(struct remaining *r, uint64_t n)
{
    if (n > r->len) {
        return false;
    }
    r->at += n;
    r->len -= n;
    return true;
}

/* Reads a number, most significant byte first. */
static bool
read_number(struct remaining *r, uint8_t bytes, uint64_t *out)
{
    const uint8_t *from = r->at;
    uint8_t i;

    if (!skip(r, bytes)) {
        return false;
    }
    *out = 0;
    for (i = 0; i < bytes; i++) {
        *out = *out << 8 | from[i];
    }
    return true;
}

/* True when an array of so many items can follow; each takes a byte. */
static bool
array_fits(const struct remaining *r, uint64_t items)
{
    return items <= r->len && items <= WIRE_ITEMS_MAX;
}

/* Looks at a value with a coded first byte. */
static bool
check_coded_value(struct remaining *r, uint8_t first)
{
    const struct encoding *c = &encodings[first - FIRST_CODED];
    uint64_t n = c->fixed;

    if (!c->accepted ||
        (c->size_bytes > 0 && !read_number(r, c->size_bytes, &n))) {
        return false;
    }
    return c->array ? array_fits(r, n) : skip(r, n);
}

/* Looks at one value; the items of an array are looked at as values. */
static bool
check_value(struct remaining *r)
{
    uint8_t first = *r->at;

    skip(r, 1);
    if (first >= FIRST_CODED && first <= LAST_CODED) {
        return check_coded_value(r, first);
    }
    if ((first & 0xe0) == 0xa0) {
        return skip(r, first & 0x1f);
    }
    if ((first & 0xf0) == 0x90) {
        return array_fits(r, first & 0x0f);
    }
    return (first & 0xf0) != 0x80;
}

/* Looks at every value, one after the other.
 *
 * Failure: msgpack takes memory for as many items as an array announces
 * before it has seen one, so five bytes make it ask for 137 GB. Symptom: the
 * process ends, or is ended, for lack of memory. An array may therefore
 * announce no more items than bytes follow, and no more than a list may hold;
 * what is asked for in advance is then bounded by the items that are there
 * and by msgpack's depth, which it bounds itself. */
int
Wire_Guard(const void *data, size_t len)
{
    struct remaining r = {data, len};

    while (r.len > 0) {
        if (!check_value(&r)) {
            return ERR_INVALID;
        }
    }
    return ERR_OK;
}
