#include "cells-impl.h"

#include <stdlib.h>
#include <string.h>

/* Returns the lowest unused node index. */
static int
unused_node_index(struct cells *c)
{
    for (int i = 0; i < c->nodes; i++) {
        if (c->node[i] == NULL) {
            return i;
        }
    }
    c->node = Mem_Grow(c->node, sizeof(*c->node) * (size_t)(c->nodes + 1));
    c->node[c->nodes] = NULL;
    return c->nodes++;
}

/* Returns the lowest unused worker index. */
static int
unused_worker_index(struct cells *c)
{
    for (int i = 0; i < c->workers; i++) {
        if (c->worker[i] == NULL) {
            return i;
        }
    }
    c->worker =
        Mem_Grow(c->worker, sizeof(*c->worker) * (size_t)(c->workers + 1));
    c->worker[c->workers] = NULL;
    return c->workers++;
}

/* Inserts a node among its parent's children, ordered by index, so that a copy
 * of the tree is walked in the same order. */
static void
link_node(struct node *n)
{
    struct node *other;

    TAILQ_FOREACH (other, &n->parent->children, sibling) {
        if (other->index > n->index) {
            TAILQ_INSERT_BEFORE(other, n, sibling);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&n->parent->children, n, sibling);
}

/* Creates a node with a given index. */
static struct node *
new_node(struct cells *c, int index, enum cells_level level, const char *name,
         struct node *parent)
{
    struct node *n = Mem_Zero(1, sizeof(*n));

    n->level = level;
    n->index = index;
    n->parent = parent;
    Str_Copy(n->name, sizeof(n->name), name);
    TAILQ_INIT(&n->children);
    c->node[index] = n;
    if (parent != NULL) {
        link_node(n);
    }
    return n;
}

/* Creates the root; returns its index. */
int
Topo_AddRoot(struct cells *c)
{
    int i = unused_node_index(c);

    c->root = new_node(c, i, CELLS_LEVEL_ALL, "", NULL);
    return i;
}

/* Finds a child by name, and adds it if there is none. */
static struct node *
find_or_add_child(struct cells *c, struct node *parent, const char *name)
{
    struct node *n;

    TAILQ_FOREACH (n, &parent->children, sibling) {
        if (strcmp(n->name, name) == 0) {
            return n;
        }
    }
    return new_node(c, unused_node_index(c),
                    (enum cells_level)(parent->level - 1), name, parent);
}

/* Removes a leaf, and the inner nodes that become empty. */
void
Topo_RemoveLeaf(struct cells *c, struct node *n)
{
    while (n->parent != NULL && TAILQ_EMPTY(&n->children)) {
        struct node *parent = n->parent;

        TAILQ_REMOVE(&parent->children, n, sibling);
        c->node[n->index] = NULL;
        free(n);
        n = parent;
    }
}

/* Returns the worker with an index, or NULL. */
struct worker *
Topo_Worker(const struct cells *c, int worker)
{
    if (worker < 0 || worker >= c->workers) {
        return NULL;
    }
    return c->worker[worker];
}

/* Returns the node itself or its ancestor at a level. */
struct node *
Topo_Ancestor(struct node *n, enum cells_level level)
{
    while (n->level < level) {
        n = n->parent;
    }
    return n;
}

/* Creates a worker in a rack. */
static struct worker *
new_worker(struct cells *c, int index, int node, struct node *rack,
           const struct cells_worker_info *info)
{
    struct worker *w = Mem_Zero(1, sizeof(*w));

    w->info = *info;
    w->index = index;
    w->all = Block_Mask(0, info->accelerators);
    w->slot = Mem_Zero((size_t)info->accelerators, sizeof(*w->slot));
    w->node = new_node(c, node, CELLS_LEVEL_WORKER, info->name, rack);
    w->node->worker = w;
    rack->unbound_workers++;
    for (struct node *n = w->node; n != NULL; n = n->parent) {
        n->worker_count++;
    }
    c->worker[index] = w;
    return w;
}

/* Whether all names and the number of accelerators are valid. */
static bool
info_valid(const struct cells_worker_info *info)
{
    return Str_IsName(info->name) && Str_IsName(info->region) &&
           Str_IsName(info->domain) && Str_IsName(info->rack) &&
           info->accelerators >= 1 &&
           info->accelerators <= CELLS_ACCELERATORS_MAX;
}

/* Adds a worker, and binds cells to it that are pending or unavailable. */
int
Cells_AddWorker(struct cells *c, const struct cells_worker_info *info)
{
    struct node *n = c->root;
    int index;

    if (!info_valid(info)) {
        return ERR_INVALID;
    }
    if (Cells_FindWorker(c, info->name) != CELLS_NONE) {
        return ERR_EXISTS;
    }
    n = find_or_add_child(c, n, info->region);
    n = find_or_add_child(c, n, info->domain);
    n = find_or_add_child(c, n, info->rack);
    index = unused_worker_index(c);
    new_worker(c, index, unused_node_index(c), n, info);
    c->generation++;
    Bind_RebindAll(c, true);
    return index;
}

/* Copies nodes and workers, without jobs and bindings. */
void
Topo_CloneInto(struct cells *to, const struct cells *from)
{
    to->nodes = from->nodes;
    to->node = Mem_Zero((size_t)from->nodes, sizeof(struct node *));
    to->workers = from->workers;
    to->worker = Mem_Zero((size_t)from->workers, sizeof(struct worker *));
    for (int level = CELLS_LEVEL_ALL; level > CELLS_LEVEL_WORKER; level--) {
        for (int i = 0; i < from->nodes; i++) {
            const struct node *n = from->node[i];

            if (n != NULL && (int)n->level == level) {
                new_node(to, i, n->level, n->name,
                         n->parent ? to->node[n->parent->index] : NULL);
            }
        }
    }
    to->root = to->node[from->root->index];
    for (int i = 0; i < from->workers; i++) {
        const struct worker *w = from->worker[i];

        if (w != NULL) {
            new_worker(to, i, w->node->index, to->node[w->node->parent->index],
                       &w->info);
            to->worker[i]->state = w->state;
            to->worker[i]->binding_version = w->binding_version;
        }
    }
}

/* Removes a worker without jobs and bindings from the tree. */
static void
remove_worker(struct cells *c, struct worker *w)
{
    w->node->parent->unbound_workers--;
    for (struct node *n = w->node; n != NULL; n = n->parent) {
        n->worker_count--;
    }
    Topo_RemoveLeaf(c, w->node);
    c->worker[w->index] = NULL;
    free(w->slot);
    free(w);
    c->generation++;
}

/* Whether the topology has room for all cells, some of which are pending, with
 * this worker but not without it. */
static bool
needed_by_pending(const struct cells *c, int worker)
{
    struct cells *without CLEANUP(Cells_FreeP) = NULL;
    struct cells_feasibility report;

    if (Cells_PendingCount(c, NULL) == 0 ||
        Cells_CheckGuarantees(c, &report) != ERR_OK) {
        return false;
    }
    without = Cells_Clone(c);
    remove_worker(without, without->worker[worker]);
    return Cells_CheckGuarantees(without, &report) != ERR_OK;
}

/* Removes a worker if nothing runs on it and its cells can move. It is marked
 * failed first, which moves them. */
int
Cells_RemoveWorker(struct cells *c, int worker)
{
    struct worker *w = Topo_Worker(c, worker);
    enum cells_worker_state before;

    if (w == NULL) {
        return ERR_NOTFOUND;
    }
    if (w->busy != 0) {
        return ERR_BUSY;
    }
    before = w->state;
    Cells_SetWorkerState(c, worker, CELLS_WORKER_FAILED);
    if (w->bound != 0 || needed_by_pending(c, worker)) {
        Cells_SetWorkerState(c, worker, before);
        return ERR_CONFLICT;
    }
    remove_worker(c, w);
    return ERR_OK;
}

/* Adds `change` to the number of workers that are not up, in each cell on this
 * worker. */
static void
adjust_down_counts(struct worker *w, int change)
{
    struct cell *last = NULL;

    for (int i = 0; i < w->info.accelerators; i++) {
        struct cell *cell = w->slot[i].cell;

        if (cell != NULL && cell != last) {
            cell->workers_down += change;
        }
        last = cell;
    }
}

/* Changes a worker's state, and moves idle cells off it or back to it. */
int
Cells_SetWorkerState(struct cells *c, int worker,
                     enum cells_worker_state state)
{
    struct worker *w = Topo_Worker(c, worker);
    bool was_up;

    if (w == NULL) {
        return ERR_NOTFOUND;
    }
    if (w->state == state) {
        return ERR_OK;
    }
    was_up = w->state == CELLS_WORKER_UP;
    w->state = state;
    c->generation++;
    if (was_up || state == CELLS_WORKER_UP) {
        adjust_down_counts(w, was_up ? 1 : -1);
        Bind_RebindAll(c, true);
    }
    return ERR_OK;
}
