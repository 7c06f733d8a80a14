#include "base.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Deeper than any document that is read. */
#define DEPTH_MAX 64
#define INTEGER_DIGITS_MAX 18 /* all of them fit into 64 bits */
#define ESCAPE_BYTES 6        /* of \uXXXX */
/* Codes of surrogates: high ones, then low ones, up to before the end. */
#define SURROGATE_FIRST 0xd800
#define SURROGATE_LOW 0xdc00
#define SURROGATE_END 0xe000

/* A document that is copied without what the parser would refuse. */
struct repair {
    const char *at;
    const char *end;
    int depth;
    struct buf out;
};

/* Returns the code of the escape \uXXXX at a place; -1 for anything else. */
static long
escaped_code(const char *at, const char *end)
{
    char hex[5] = "";

    if (end - at < ESCAPE_BYTES || at[0] != '\\' || at[1] != 'u') {
        return -1;
    }
    memcpy(hex, at + 2, 4);
    return strspn(hex, "0123456789abcdefABCDEF") == 4 ? strtol(hex, NULL, 16)
                                                      : -1;
}

/* Returns the length of the UTF-8 character at a place; 0 if there is none. */
static size_t
utf8_bytes(const unsigned char *at, size_t left)
{
    size_t n = at[0] < 0x80                    ? 1
               : at[0] >= 0xc2 && at[0] < 0xe0 ? 2
               : (at[0] & 0xf0) == 0xe0        ? 3
               : at[0] >= 0xf0 && at[0] < 0xf5 ? 4
                                               : 0;

    if (n == 0 || n > left || (at[0] == 0xe0 && at[1] < 0xa0) || /* overlong */
        (at[0] == 0xed && at[1] > 0x9f) || /* a surrogate */
        (at[0] == 0xf0 && at[1] < 0x90) || /* overlong */
        (at[0] == 0xf4 && at[1] > 0x8f)) { /* beyond Unicode */
        return 0;
    }
    for (size_t i = 1; i < n; i++) {
        if ((at[i] & 0xc0) != 0x80) {
            return 0;
        }
    }
    return n;
}

/* Returns the length of the escape at a place; 0 for a surrogate
 * without its pair. */
static size_t
escape_bytes(const char *at, const char *end)
{
    long code = escaped_code(at, end), next;

    if (code < SURROGATE_FIRST || code >= SURROGATE_END) {
        return code < 0 ? 2 : ESCAPE_BYTES; /* 2: \n and the like */
    }
    next = escaped_code(at + ESCAPE_BYTES, end);
    return code < SURROGATE_LOW && next >= SURROGATE_LOW &&
                   next < SURROGATE_END
               ? 2 * ESCAPE_BYTES
               : 0;
}

/* Copies a string, or null for one that is no text: a part of it might pass
 * for another string. */
static void
copy_string(struct repair *r)
{
    const char *begin = r->at++;
    bool is_text = true;

    while (r->at < r->end && *r->at != '"') {
        size_t left = (size_t)(r->end - r->at);
        size_t n = *r->at == '\\'
                       ? escape_bytes(r->at, r->end)
                       : utf8_bytes((const unsigned char *)r->at, left);

        is_text = is_text && n > 0 && (unsigned char)*r->at >= 0x20;
        n = n > 0 ? n : 1;
        r->at += n < left ? n : left;
    }
    r->at += r->at < r->end;
    if (is_text) {
        Buf_Append(&r->out, begin, (size_t)(r->at - begin));
    }
    else {
        Buf_AppendStr(&r->out, "null");
    }
}

/* Copies a number, or null for one that is out of range. */
static void
copy_number(struct repair *r)
{
    char text[32] = "";
    size_t n = 0, left = (size_t)(r->end - r->at);
    bool integer = true;

    while (n < left && strchr("+-.0123456789eE", r->at[n]) != NULL &&
           r->at[n] != '\0') {
        integer = integer && strchr(".eE", r->at[n]) == NULL;
        n++;
    }
    if (n < sizeof(text)) {
        memcpy(text, r->at, n);
    }
    if (n >= sizeof(text) ||
        (integer && n > INTEGER_DIGITS_MAX + (size_t)(*r->at == '-')) ||
        !isfinite(strtod(text, NULL))) {
        Buf_AppendStr(&r->out, "null");
    }
    else {
        Buf_Append(&r->out, r->at, n);
    }
    r->at += n;
}

/* Skips a list or an object that is too deep, and writes null. */
static void
skip_nested(struct repair *r)
{
    int open = 0;

    do {
        char c = *r->at++;

        if (c == '"') {
            while (r->at < r->end && *r->at != '"') {
                r->at += *r->at == '\\' && r->end - r->at > 1 ? 2 : 1;
            }
            r->at += r->at < r->end;
        }
        open += c == '[' || c == '{' ? 1 : c == ']' || c == '}' ? -1 : 0;
    } while (open > 0 && r->at < r->end);
    Buf_AppendStr(&r->out, "null");
}

/* Copies what comes next. */
static void
copy_next(struct repair *r)
{
    char c = *r->at;

    if (c == '"') {
        copy_string(r);
        return;
    }
    if (c == '-' || (c >= '0' && c <= '9')) {
        copy_number(r);
        return;
    }
    if (c == '[' || c == '{') {
        if (r->depth == DEPTH_MAX) {
            skip_nested(r);
            return;
        }
        r->depth++;
    }
    r->depth -= c == ']' || c == '}';
    Buf_Append(&r->out, r->at++, 1);
}

/* Converts a text, whose bytes may come from another program. */
json_t *
Json_Text(const char *text)
{
    static const char replacement[] = "\xef\xbf\xbd"; /* U+FFFD */
    json_t *value = json_string(text);
    struct buf copy CLEANUP(Buf_Free) = {0};
    const char *end = text + strlen(text);

    if (value != NULL) {
        return value;
    }
    while (text < end) {
        size_t n =
            utf8_bytes((const unsigned char *)text, (size_t)(end - text));

        Buf_Append(&copy, n > 0 ? text : replacement,
                   n > 0 ? n : strlen(replacement));
        text += n > 0 ? n : 1;
    }
    return json_stringn(copy.data, copy.len);
}

/* Parses a document, if necessary without its unreadable parts. */
json_t *
Json_LoadParts(const char *text, size_t len)
{
    struct repair r = {.at = text, .end = text + len};
    json_t *o =
        json_loadb(text != NULL ? text : "", len, JSON_ALLOW_NUL, NULL);

    if (o != NULL || text == NULL) {
        return o;
    }
    while (r.at < r.end) {
        copy_next(&r);
    }
    o = json_loadb(r.out.data != NULL ? r.out.data : "", r.out.len,
                   JSON_ALLOW_NUL, NULL);
    Buf_Free(&r.out);
    return o;
}
