/* The failure domains that operators have asked to be emptied, as far as this
 * entry knows. Pure: all input is passed as arguments.
 *
 * The set is as of a position of the operator table, learned from a list or
 * the feed of the store or from another entry. The set of the highest position
 * is valid. */
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

/* Applies a row under the prefix: its presence asks for a domain to be
 * emptied, its deletion withdraws that. Ignores other rows. previous: the set
 * so far, which decides for a row that is unreadable. */
void Emptied_ApplyRow(struct emptied_domains *e, const struct table_row *row,
                      const char *prefix,
                      const struct emptied_domains *previous);
/* Takes a set of a later position. True when it names other domains, or is the
 * first set known.
 *
 * A delayed message of another entry may name a domain whose request was
 * withdrawn since; taking it would keep work away from that domain for ever. A
 * set of an earlier position is therefore ignored. */
bool Emptied_Update(struct emptied_domains *e,
                    const struct emptied_domains *update);

#ifdef __cplusplus
}
#endif

#endif
