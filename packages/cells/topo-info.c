#include "cells-impl.h"

#include <string.h>

/* Finds a worker's index by name. */
int
Cells_FindWorker(const struct cells *c, const char *name)
{
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] && strcmp(c->worker[i]->info.name, name) == 0) {
            return i;
        }
    }
    return CELLS_NONE;
}

/* One more than the highest worker index. */
int
Cells_WorkerCount(const struct cells *c)
{
    return c->workers;
}

/* Description of a worker. */
const struct cells_worker_info *
Cells_Worker(const struct cells *c, int worker)
{
    const struct worker *w = Topo_Worker(c, worker);

    return w ? &w->info : NULL;
}

/* State of a worker; an unused index counts as failed. */
enum cells_worker_state
Cells_WorkerState(const struct cells *c, int worker)
{
    const struct worker *w = Topo_Worker(c, worker);

    return w ? w->state : CELLS_WORKER_FAILED;
}

/* Level of the lowest node above two workers. */
enum cells_level
Cells_CommonLevel(const struct cells *c, int a, int b)
{
    const struct worker *wa = Topo_Worker(c, a);
    const struct worker *wb = Topo_Worker(c, b);
    const struct node *na, *nb;

    if (wa == NULL || wb == NULL) {
        return CELLS_LEVEL_ALL;
    }
    na = wa->node;
    nb = wb->node;
    while (na != nb) {
        na = na->parent;
        nb = nb->parent;
    }
    return na->level;
}
