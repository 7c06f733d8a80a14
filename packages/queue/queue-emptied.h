/* Which failure domains operators empty, as far as an entry knows. Pure: what
 * was read or heard is an argument.
 *
 * What is known is a set as of a position of the operators' table: by the
 * store's list, its feed, or another entry's word. The one of the highest
 * position holds. */
#ifndef QUEUE_EMPTIED_H
#define QUEUE_EMPTIED_H

#include "jobs.h"
#include "platform.h"

#ifdef __cplusplus
extern "C" {
#endif

struct emptied_domains {
    uint64_t position; /* 0: nothing is known yet */
    struct jobs_domains domains;
};

/* Notes what a row under the prefix says: it asks for a domain to be emptied,
 * or, removed, takes that back. Other rows are left. before: what held so far,
 * for a row that can't be read. */
void Emptied_ApplyRow(struct emptied_domains *e, const struct table_row *row,
                      const char *prefix,
                      const struct emptied_domains *previous);
/* Takes what was read or heard if it is of a later position. True when other
 * domains are emptied than before, or it is the first that is known.
 *
 * Failure: another entry's word was held up, and names a domain that has been
 * taken back since. Symptom: nothing starts there any more, for ever. A word
 * of an earlier position changes nothing. */
bool Emptied_Update(struct emptied_domains *e,
                    const struct emptied_domains *update);

#ifdef __cplusplus
}
#endif

#endif
