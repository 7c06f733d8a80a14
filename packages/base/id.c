#include "base.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Prepares libsodium before its first use. */
static void
init_sodium(void)
{
    static bool initialised;

    if (initialised) {
        return;
    }
    if (sodium_init() < 0) {
        Fatal("no source of random numbers");
    }
    initialised = true;
}

/* A fresh id; two never meet. */
struct id
Id_Random(void)
{
    struct id id;

    init_sodium();
    randombytes_buf(id.b, sizeof(id.b));
    return id;
}

/* A random number other than 0, which stands for "none". */
uint64_t
Id_Random64(void)
{
    uint64_t n;

    init_sodium();
    do {
        randombytes_buf(&n, sizeof(n));
    } while (n == 0);
    return n;
}

/* Order of two ids, for trees. */
int
Id_Compare(const struct id *a, const struct id *b)
{
    return memcmp(a->b, b->b, sizeof(a->b));
}

/* Writes an id as hex digits. */
const char *
Id_Hex(const struct id *id, char out[ID_HEX_SIZE])
{
    return sodium_bin2hex(out, ID_HEX_SIZE, id->b, sizeof(id->b));
}

/* Reads an id from hex digits. */
int
Id_Parse(const char *hex, struct id *id)
{
    size_t len;

    if (strlen(hex) != ID_HEX_SIZE - 1 ||
        sodium_hex2bin(id->b, sizeof(id->b), hex, ID_HEX_SIZE - 1, NULL, &len,
                       NULL) != 0 ||
        len != ID_BYTES) {
        return ERR_INVALID;
    }
    return ERR_OK;
}

/* Fast hash, for tables and for spreading; not for secrets. */
uint64_t
Hash_Bytes(const void *data, size_t len, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, len, seed);
}

/* Fast hash of a string. */
uint64_t
Hash_Str(const char *s, uint64_t seed)
{
    return Hash_Bytes(s, strlen(s), seed);
}

/* Content hash, for names of objects and for tokens kept as hashes. */
const char *
Digest_Hex(const void *data, size_t len, char out[DIGEST_HEX_SIZE])
{
    unsigned char digest[32];

    init_sodium();
    crypto_generichash(digest, sizeof(digest), data, len, NULL, 0);
    return sodium_bin2hex(out, DIGEST_HEX_SIZE, digest, sizeof(digest));
}

/* Compares secrets without telling by the time taken where they differ. */
bool
Secret_Equal(const char *a, const char *b)
{
    size_t len = strlen(a);

    return len == strlen(b) && sodium_memcmp(a, b, len) == 0;
}
