#include "base.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Initialises libsodium before its first use. */
static void
init_sodium(void)
{
    static bool initialised;

    if (initialised) {
        return;
    }
    if (sodium_init() < 0) {
        Fatal("can't initialise libsodium");
    }
    initialised = true;
}

/* A new id of 128 random bits, so that a collision is practically impossible.
 */
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

/* Orders two ids, for trees. */
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

/* Fast hash for hash tables and for distribution; not for secrets. */
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

/* Content hash, for names of objects and for tokens that are stored hashed. */
const char *
Digest_Hex(const void *data, size_t len, char out[DIGEST_HEX_SIZE])
{
    unsigned char digest[32];

    init_sodium();
    crypto_generichash(digest, sizeof(digest), data, len, NULL, 0);
    return sodium_bin2hex(out, DIGEST_HEX_SIZE, digest, sizeof(digest));
}

/* Compares secrets. The time taken does not reveal where they differ. */
bool
Secret_Equal(const char *a, const char *b)
{
    size_t len = strlen(a);

    return len == strlen(b) && sodium_memcmp(a, b, len) == 0;
}
