#include "base.h"

#include <sodium.h>
#include <string.h>

#define HASH_BYTES 16

/* Returns how many bytes of a text to keep, so that no UTF-8 character is
 * cut. */
static size_t
kept_bytes(const char *text, size_t len, size_t max)
{
    size_t n = strnlen(text, len);

    if (n <= max) {
        return n;
    }
    n = max;
    while (n > 0 && ((unsigned char)text[n] & 0xc0) == 0x80) {
        n--;
    }
    return n;
}

/* Copies a text, or its beginning and hash. An abbreviated text fills the
 * array, and one that would fill it is abbreviated too, so no text equals the
 * abbreviation of another one. */
void
Str_Abbreviate(char *dst, size_t size, const char *text, size_t len)
{
    unsigned char hash[HASH_BYTES];
    size_t hex_at = size - 1 - 2 * HASH_BYTES, kept;

    if (len < size - 1 && strnlen(text, len) == len) {
        memcpy(dst, text, len);
        dst[len] = '\0';
        return;
    }
    kept = kept_bytes(text, len, hex_at - 1);
    memcpy(dst, text, kept);
    memset(dst + kept, '~', hex_at - kept);
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)text, len,
                       NULL, 0);
    sodium_bin2hex(dst + hex_at, 2 * HASH_BYTES + 1, hash, sizeof(hash));
}
