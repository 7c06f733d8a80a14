/* Configurations as texts, as entries send them to each other: compressed, and
 * against one that the other entry has, so that a change costs what differs.
 * No socket, no clock. */
#ifndef QUEUE_DOCUMENTS_H
#define QUEUE_DOCUMENTS_H

#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

struct documents;

struct documents *Documents_New(void);
void Documents_Free(struct documents *d);
/* Keeps a text as the newest, and leaves the buffer empty; its version is
 * higher than all before. */
void Documents_Add(struct documents *d, uint64_t version, struct buf *text);
/* Version and bytes of the newest; 0: none. */
uint64_t Documents_Version(const struct documents *d);
size_t Documents_Bytes(const struct documents *d);
/* Sets m to the newest for an entry that has that version (0: none). m->packed
 * is valid until the next call and not to be freed. ERR_OK, or ERR_NOTFOUND
 * when there is none. */
int Documents_Pack(struct documents *d, uint64_t known_version,
                   struct wire_document *m);
/* The text that m holds; text is to be freed. ERR_OK; ERR_STALE: the one that
 * it rests on is not here; ERR_INVALID: it is damaged. */
int Documents_Unpack(const struct documents *d, const struct wire_document *m,
                     struct buf *text);

#ifdef __cplusplus
}
#endif

#endif
