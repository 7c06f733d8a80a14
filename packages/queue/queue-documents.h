/* Configuration documents as entries send them to each other: compressed, and
 * as a difference to a version that the receiver has, so that the cost of a
 * change is what differs. No I/O, no clock. */
#ifndef QUEUE_DOCUMENTS_H
#define QUEUE_DOCUMENTS_H

#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

struct documents;

struct documents *Documents_New(void);
void Documents_Free(struct documents *d);
/* Adds text as the newest document and leaves the buffer empty. version is
 * higher than all before. */
void Documents_Add(struct documents *d, uint64_t version, struct buf *text);
/* Version and size in bytes of the newest document; 0: there is none. */
uint64_t Documents_Version(const struct documents *d);
size_t Documents_Bytes(const struct documents *d);
/* Sets m to the newest document for an entry that has known_version (0: none).
 * m->packed is valid until the next call and must not be freed. ERR_OK, or
 * ERR_NOTFOUND when there is no document. */
int Documents_Pack(struct documents *d, uint64_t known_version,
                   struct wire_document *m);
/* Sets text to the document in m; the caller frees it. ERR_OK;
 * ERR_STALE: its base version is not here; ERR_INVALID: it is damaged. */
int Documents_Unpack(const struct documents *d, const struct wire_document *m,
                     struct buf *text);

#ifdef __cplusplus
}
#endif

#endif
