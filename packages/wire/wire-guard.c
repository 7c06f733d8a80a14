#include "wire-guard.h"

/* First bytes in this range select an entry of the table below; other first
 * bytes hold a small value or a size themselves. */
#define FIRST_CODED 0xc0
#define LAST_CODED 0xdf

/* What follows the first byte of a msgpack value. */
struct encoding {
    bool accepted;
    bool array;
    uint8_t fixed;      /* number of bytes that follow */
    uint8_t size_bytes; /* size of a length field that follows; 0: none */
};

/* The encodings that messages use or may use later. Maps and extension types
 * are left out, so they are refused. */
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

/* The bytes that are still to be checked. */
struct remaining {
    const uint8_t *at;
    size_t len;
};

/* Skips n bytes. False when fewer are left. */
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

/* Reads a big-endian number. False when too few bytes are left. */
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

/* True when an array of this many items can follow; each takes a byte at
 * least. */
static bool
array_fits(const struct remaining *r, uint64_t items)
{
    return items <= r->len && items <= WIRE_ITEMS_MAX;
}

/* Checks a value whose first byte is in the table of encodings. */
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

/* Checks one value. The items of an array are not included: they are checked
 * as the values that follow. */
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

/* Checks all values in sequence. msgpack allocates memory for all items that
 * an array announces before it reads the first one, so that five bytes can
 * make it request 137 GB and the process fails, or is killed, for lack of
 * memory. An array may therefore announce no more items than bytes follow, and
 * at most WIRE_ITEMS_MAX. The memory allocated in advance is then bounded by
 * the items that are present and by the nesting depth, which msgpack limits.
 */
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
