#include "queue-documents.h"

#include <stdlib.h>
#include <zstd.h>

/* Number of earlier documents kept as bases, so that an entry that missed a
 * message or two still receives a difference. */
#define BASES_MAX 3
/* Size of all of these together, in bytes. */
#define BASES_BYTES_MAX ((size_t)6 << 20)
/* Number of compressed forms of the newest document that are kept, one per
 * base; most entries have the same base. */
#define PACKED_MAX 4
/* Largest document accepted, in bytes; some 60,000 queues. */
#define TEXT_BYTES_MAX ((size_t)16 << 20)
/* Compressing 1 MB takes about 10 ms of a core; higher levels save a tenth of
 * the bytes. */
#define COMPRESSION_LEVEL 3

struct document {
    uint64_t version;
    struct buf text;
    TAILQ_ENTRY(document) entry;
};
TAILQ_HEAD(document_list, document);

/* The newest document, compressed against a base. */
struct packed {
    uint64_t base; /* version of the base; 0: none */
    struct buf bytes;
};

struct documents {
    struct document_list list; /* newest first */
    uint64_t digest;           /* hash of the newest document */
    struct packed packed[PACKED_MAX];
    size_t packed_next; /* index to replace next */
};

/* Creates an empty set of documents. */
struct documents *
Documents_New(void)
{
    struct documents *d = Mem_Zero(1, sizeof(*d));

    TAILQ_INIT(&d->list);
    return d;
}

/* Frees the compressed forms. */
static void
clear_packed(struct documents *d)
{
    for (size_t i = 0; i < PACKED_MAX; i++) {
        Buf_Free(&d->packed[i].bytes);
        d->packed[i] = (struct packed){0};
    }
}

/* Removes and frees one document. */
static void
drop(struct documents *d, struct document *old)
{
    TAILQ_REMOVE(&d->list, old, entry);
    Buf_Free(&old->text);
    free(old);
}

/* Frees all documents. */
void
Documents_Free(struct documents *d)
{
    struct document *old, *next;

    if (d == NULL) {
        return;
    }
    TAILQ_FOREACH_SAFE (old, &d->list, entry, next) {
        drop(d, old);
    }
    clear_packed(d);
    free(d);
}

/* Drops the oldest documents beyond the limits. */
static void
trim(struct documents *d)
{
    struct document *old, *next;
    size_t count = 0, bytes = 0;

    TAILQ_FOREACH_SAFE (old, &d->list, entry, next) {
        if (count++ == 0) {
            continue;
        }
        bytes += old->text.len;
        if (count > BASES_MAX + 1 || bytes > BASES_BYTES_MAX) {
            drop(d, old);
        }
    }
}

/* Adds the newest document. */
void
Documents_Add(struct documents *d, uint64_t version, struct buf *text)
{
    struct document *new = Mem_Zero(1, sizeof(*new));

    new->version = version;
    Buf_Move(&new->text, text);
    TAILQ_INSERT_HEAD(&d->list, new, entry);
    d->digest = Hash_Bytes(new->text.data, new->text.len, 0);
    clear_packed(d);
    trim(d);
}

/* Version of the newest document; 0: none. */
uint64_t
Documents_Version(const struct documents *d)
{
    const struct document *newest = TAILQ_FIRST(&d->list);

    return newest != NULL ? newest->version : 0;
}

/* Size of the newest document in bytes; 0: none. */
size_t
Documents_Bytes(const struct documents *d)
{
    const struct document *newest = TAILQ_FIRST(&d->list);

    return newest != NULL ? newest->text.len : 0;
}

/* Finds a document by its version, or returns NULL. */
static const struct document *
find(const struct documents *d, uint64_t version)
{
    const struct document *x;

    TAILQ_FOREACH (x, &d->list, entry) {
        if (version != 0 && x->version == version) {
            return x;
        }
    }
    return NULL;
}

/* Base-2 logarithm of the zstd window that holds that many bytes. */
static int
window_log(size_t bytes)
{
    int log = 10;

    while (((size_t)1 << log) < bytes) {
        log++;
    }
    return log;
}

/* Frees a compression context. */
static void
free_compressor(ZSTD_CCtx **c)
{
    ZSTD_freeCCtx(*c);
}

/* Frees a decompression context. */
static void
free_decompressor(ZSTD_DCtx **c)
{
    ZSTD_freeDCtx(*c);
}

/* Compresses a document, against a base if there is one. Long-distance
 * matching over a window of both is needed: without it, after a change of one
 * line in 1 MB, matches are found only near the end of the base. */
static void
compress_text(const struct buf *text, const struct buf *base, struct buf *out)
{
    ZSTD_CCtx *c CLEANUP(free_compressor) = ZSTD_createCCtx();
    struct buf bytes CLEANUP(Buf_Free) = {0};
    size_t room = ZSTD_compressBound(text->len);
    size_t window_bytes = text->len + (base != NULL ? base->len : 0);
    size_t n;

    if (c == NULL) {
        Fatal("cannot create a compression context");
    }
    ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
    ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog, window_log(window_bytes));
    ZSTD_CCtx_setParameter(c, ZSTD_c_enableLongDistanceMatching, 1);
    if (base != NULL) {
        ZSTD_CCtx_refPrefix(c, base->data, base->len);
    }
    Buf_Reserve(&bytes, room);
    n = ZSTD_compress2(c, bytes.data, room, text->data, text->len);
    if (ZSTD_isError(n)) {
        Fatal("cannot compress a configuration: %s", ZSTD_getErrorName(n));
    }
    Buf_Set(out, bytes.data, n);
}

/* Returns the newest document compressed for entries that have that
 * version. */
static const struct packed *
pack_against(struct documents *d, uint64_t known_version)
{
    const struct document *newest = TAILQ_FIRST(&d->list);
    const struct document *base = find(d, known_version);
    uint64_t base_version = base != NULL ? base->version : 0;
    struct packed *p;

    for (size_t i = 0; i < PACKED_MAX; i++) {
        if (d->packed[i].bytes.len > 0 && d->packed[i].base == base_version) {
            return &d->packed[i];
        }
    }
    p = &d->packed[d->packed_next++ % PACKED_MAX];
    Buf_Free(&p->bytes);
    *p = (struct packed){.base = base_version};
    compress_text(&newest->text, base != NULL ? &base->text : NULL, &p->bytes);
    return p;
}

/* Sets a message to the newest document. */
int
Documents_Pack(struct documents *d, uint64_t known_version,
               struct wire_document *m)
{
    const struct document *newest = TAILQ_FIRST(&d->list);
    const struct packed *p;

    if (newest == NULL) {
        return ERR_NOTFOUND;
    }
    p = pack_against(d, known_version);
    *m = (struct wire_document){.msg = {WIRE_DOCUMENT},
                                .version = newest->version,
                                .base = p->base,
                                .size = newest->text.len,
                                .digest = d->digest,
                                .packed = p->bytes};
    return ERR_OK;
}

/* Decompresses the document in a message. The stated size is checked before
 * anything is decompressed. The hash detects a base that differs from the
 * sender's, which would yield a wrong configuration. */
int
Documents_Unpack(const struct documents *d, const struct wire_document *m,
                 struct buf *text)
{
    ZSTD_DCtx *c CLEANUP(free_decompressor) = NULL;
    const struct document *base = find(d, m->base);
    size_t n;

    if (m->base != 0 && base == NULL) {
        return ERR_STALE;
    }
    if (m->size == 0 || m->size > TEXT_BYTES_MAX) {
        return ERR_INVALID;
    }
    c = ZSTD_createDCtx();
    if (c == NULL) {
        Fatal("cannot create a decompression context");
    }
    if (base != NULL) {
        ZSTD_DCtx_refPrefix(c, base->text.data, base->text.len);
    }
    Buf_Reserve(text, m->size);
    n = ZSTD_decompressDCtx(c, text->data, m->size, m->packed.data,
                            m->packed.len);
    if (ZSTD_isError(n) || n != m->size ||
        Hash_Bytes(text->data, n, 0) != m->digest) {
        return ERR_INVALID;
    }
    text->len = n;
    text->data[n] = '\0';
    return ERR_OK;
}
