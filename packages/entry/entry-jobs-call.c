#include "entry-jobs.h"

#include <stdlib.h>

/* What an open call to the table or to another entry needs when it ends. At
 * the end of the process such calls are dropped without their callbacks, and
 * what they hold is freed here. */

/* Makes the record of a call; size bytes, struct sched_call first. */
void *
SchedCall_New(struct sched *s, size_t size, void (*clear)(struct sched_call *))
{
    struct sched_call *c = Mem_Zero(1, size);

    c->sched = s;
    c->clear = clear;
    TAILQ_INSERT_TAIL(&s->calls, c, entry);
    return c;
}

/* Ends a call's record. */
void
SchedCall_Free(struct sched_call *c)
{
    TAILQ_REMOVE(&c->sched->calls, c, entry);
    if (c->clear != NULL) {
        c->clear(c);
    }
    free(c);
}

/* Frees the records of all open calls. */
void
SchedCall_FreeAll(struct sched *s)
{
    struct sched_call *c, *next;

    TAILQ_FOREACH_SAFE (c, &s->calls, entry, next) {
        SchedCall_Free(c);
    }
}
