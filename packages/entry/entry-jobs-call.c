#include "entry-jobs.h"

#include <stdlib.h>

/* Contexts of calls in progress to the table or to another entry. When the
 * process exits, such calls are dropped without their callbacks, and
 * SchedCall_FreeAll frees their contexts. */

/* Allocates a zeroed context of size bytes that starts with struct sched_call.
 */
void *
SchedCall_New(struct sched *s, size_t size, void (*clear)(struct sched_call *))
{
    struct sched_call *c = Mem_Zero(1, size);

    c->sched = s;
    c->clear = clear;
    TAILQ_INSERT_TAIL(&s->calls, c, entry);
    return c;
}

/* Frees the context of a call that has ended. */
void
SchedCall_Free(struct sched_call *c)
{
    TAILQ_REMOVE(&c->sched->calls, c, entry);
    if (c->clear != NULL) {
        c->clear(c);
    }
    free(c);
}

/* Frees the contexts of all calls in progress. */
void
SchedCall_FreeAll(struct sched *s)
{
    struct sched_call *c, *next;

    TAILQ_FOREACH_SAFE (c, &s->calls, entry, next) {
        SchedCall_Free(c);
    }
}
