#include "admit-private.h"

#include <stdlib.h>

/* Idle flows that are kept because they were served more than their share. */
#define IDLE_MAX 1024
/* Idle flows checked for eviction for each new flow: more than are added, so
 * no periodic sweep is needed. */
#define IDLE_CHECKS 4

/* Orders the index by parent, then by name. */
static int
compare_index(const struct admit_flow *a, const struct admit_flow *b)
{
    if (a->parent != b->parent) {
        return (a->parent > b->parent) - (a->parent < b->parent);
    }
    return (a->hash > b->hash) - (a->hash < b->hash);
}

/* Orders flows for service: least vtime first, then the older flow. */
static int
compare_vtime(const struct admit_backlog *x, const struct admit_backlog *y)
{
    const struct admit_flow *a = x->flow;
    const struct admit_flow *b = y->flow;

    if (a->vtime != b->vtime) {
        return a->vtime < b->vtime ? -1 : 1;
    }
    return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

TREE_STATIC(admit_flow_index, admit_flow, index, compare_index);
TREE_STATIC(admit_backlogs, admit_backlog, entry, compare_vtime);

/* Sets the fields of a new flow that don't start at zero. */
static void
flow_init(struct admit_flow *flow)
{
    int i;

    flow->weight = ADMISSION_WEIGHT;
    for (i = 0; i < PRIORITY_COUNT; i++) {
        flow->backlog[i].flow = flow;
        RB_INIT(&flow->backlog[i].children);
        TAILQ_INIT(&flow->backlog[i].fifo);
    }
}

/* Initialises an empty tree of flows. */
void
admit_flows_init(struct admit_flows *flows)
{
    RB_INIT(&flows->index);
    TAILQ_INIT(&flows->idle);
    flow_init(&flows->root);
}

/* Frees all flows. No request may be left. */
void
admit_flows_clear(struct admit_flows *flows)
{
    struct admit_flow *f, *next;

    RB_FOREACH_SAFE (f, admit_flow_index, &flows->index, next) {
        RB_REMOVE(admit_flow_index, &flows->index, f);
        free(f);
    }
}

/* Takes a reference, which keeps a flow from being freed. */
void
admit_flow_ref(struct admit_flows *flows, struct admit_flow *flow)
{
    if (flow->refs++ == 0 && flow->parent != NULL) {
        TAILQ_REMOVE(&flows->idle, flow, idle);
        flows->idle_count--;
    }
}

/* Drops a reference. A flow without references becomes idle, and is kept until
 * it may be evicted. */
void
admit_flow_unref(struct admit_flows *flows, struct admit_flow *flow)
{
    if (--flow->refs == 0 && flow->parent != NULL) {
        TAILQ_INSERT_TAIL(&flows->idle, flow, idle);
        flows->idle_count++;
    }
}

/* Frees an idle flow. */
static void
free_idle(struct admit_flows *flows, struct admit_flow *flow)
{
    struct admit_flow *parent = flow->parent;

    TAILQ_REMOVE(&flows->idle, flow, idle);
    flows->idle_count--;
    RB_REMOVE(admit_flow_index, &flows->index, flow);
    flows->count--;
    free(flow);
    admit_flow_unref(flows, parent);
}

/* Evicts idle flows that are not ahead of their parent's clock, and the
 * longest idle ones beyond IDLE_MAX. A flow that is ahead is kept: otherwise a
 * caller whose queue is empty after each request would never be charged for
 * its work. */
static void
evict_idle(struct admit_flows *flows)
{
    struct admit_flow *f, *next;
    int checked = 0;

    TAILQ_FOREACH_SAFE (f, &flows->idle, idle, next) {
        if (checked++ == IDLE_CHECKS) {
            return;
        }
        if (f->vtime <= f->parent->virtual_clock ||
            flows->idle_count > IDLE_MAX) {
            free_idle(flows, f);
        }
    }
}

/* Finds a flow by its name under a parent; NULL when there is none. */
struct admit_flow *
admit_flow_find(struct admit_flows *flows, struct admit_flow *parent,
                const char *name)
{
    struct admit_flow key = {.parent = parent, .hash = Hash_Str(name, 0)};

    return parent ? RB_FIND(admit_flow_index, &flows->index, &key) : NULL;
}

/* Finds or creates the flow of this name under a parent. The caller must take
 * a reference before the next call, which may evict it. */
struct admit_flow *
admit_flow_get(struct admit_flows *flows, struct admit_flow *parent,
               const char *name)
{
    struct admit_flow *f = admit_flow_find(flows, parent, name);

    if (f != NULL) {
        return f;
    }
    admit_flow_ref(flows, parent);
    evict_idle(flows);
    f = Mem_Zero(1, sizeof(*f));
    flow_init(f);
    f->parent = parent;
    f->hash = Hash_Str(name, 0);
    f->sequence = ++flows->sequence;
    f->vtime = parent->virtual_clock;
    RB_INSERT(admit_flow_index, &flows->index, f);
    flows->count++;
    TAILQ_INSERT_TAIL(&flows->idle, f, idle);
    flows->idle_count++;
    return f;
}

/* Changes a weight, also while the flow has work queued. */
void
admit_flow_set_weight(struct admit_flow *flow, int weight)
{
    if (flow->queued > 0) {
        flow->parent->weight_sum += weight - flow->weight;
    }
    flow->weight = weight;
}

/* Changes a flow's vtime, and so its place among its parent's children. */
static void
set_vtime(struct admit_flow *flow, int64_t vtime)
{
    int i;

    for (i = 0; i < PRIORITY_COUNT; i++) {
        if (flow->backlog[i].queued > 0) {
            RB_REMOVE(admit_backlogs, &flow->parent->backlog[i].children,
                      &flow->backlog[i]);
        }
    }
    flow->vtime = vtime;
    for (i = 0; i < PRIORITY_COUNT; i++) {
        if (flow->backlog[i].queued > 0) {
            RB_INSERT(admit_backlogs, &flow->parent->backlog[i].children,
                      &flow->backlog[i]);
        }
    }
}

/* Adds a queued request to the counts of one flow. A flow that had no work
 * starts at its parent's clock, so that time without work earns no credit. */
static void
add_queued(struct admit_flow *flow, enum priority level, int64_t cost_ms)
{
    struct admit_flow *parent = flow->parent;

    if (flow->queued++ == 0 && parent != NULL) {
        parent->weight_sum += flow->weight;
        if (flow->vtime < parent->virtual_clock) {
            flow->vtime = parent->virtual_clock;
        }
    }
    flow->backlog[level].queued_ms += cost_ms;
    if (flow->backlog[level].queued++ == 0 && parent != NULL) {
        RB_INSERT(admit_backlogs, &parent->backlog[level].children,
                  &flow->backlog[level]);
    }
}

/* Removes a queued request from the counts of one flow. */
static void
remove_queued(struct admit_flow *flow, enum priority level, int64_t cost_ms)
{
    struct admit_flow *parent = flow->parent;

    flow->backlog[level].queued_ms -= cost_ms;
    if (--flow->backlog[level].queued == 0 && parent != NULL) {
        RB_REMOVE(admit_backlogs, &parent->backlog[level].children,
                  &flow->backlog[level]);
    }
    if (--flow->queued == 0 && parent != NULL) {
        parent->weight_sum -= flow->weight;
    }
}

/* Adds a request to the counts of all flows from its key up to the root, or
 * removes it. */
void
admit_flow_count(struct admit_flow *key, enum priority level, int sign,
                 int64_t cost_ms)
{
    struct admit_flow *f;

    for (f = key; f != NULL; f = f->parent) {
        if (sign > 0) {
            add_queued(f, level, cost_ms);
        }
        else {
            remove_queued(f, level, cost_ms);
        }
    }
}

/* Charges work to a key, its caller and its organisation. */
void
admit_flow_charge(struct admit_flow *key, int64_t work_ms)
{
    struct admit_flow *f;

    for (f = key; f->parent != NULL; f = f->parent) {
        set_vtime(f, f->vtime + work_ms * 1000 * ADMISSION_WEIGHT / f->weight);
    }
}

/* Finds the least served child with work at a priority. */
static struct admit_flow *
least_served_child(struct admit_flow *parent, int level)
{
    struct admit_backlog *backlog =
        RB_MIN(admit_backlogs, &parent->backlog[level].children);

    return backlog != NULL ? backlog->flow : NULL;
}

/* Advances a parent's clock to the vtime of its least served child with
 * work. */
static void
advance_clock(struct admit_flow *parent)
{
    struct admit_flow *f, *least_served = NULL;
    int i;

    for (i = 0; i < PRIORITY_COUNT; i++) {
        f = least_served_child(parent, i);
        if (f != NULL &&
            (least_served == NULL || f->vtime < least_served->vtime)) {
            least_served = f;
        }
    }
    if (least_served != NULL && least_served->vtime > parent->virtual_clock) {
        parent->virtual_clock = least_served->vtime;
    }
}

/* Chooses the child to serve: that of the highest priority whose least served
 * child is at most lead ahead of the parent's clock. The child at the clock
 * always qualifies, so one is found whenever there is work. */
static struct admit_flow *
choose_child(struct admit_flow *parent, int64_t lead, bool *passed_over)
{
    struct admit_flow *f;
    int i;

    advance_clock(parent);
    for (i = 0; i < PRIORITY_COUNT; i++) {
        f = least_served_child(parent, i);
        if (f == NULL) {
            continue;
        }
        if (f->vtime - parent->virtual_clock <= lead) {
            return f;
        }
        *passed_over = true;
    }
    return NULL;
}

/* Descends from the root by priority and vtime to the key to serve. */
struct admit_flow *
admit_flow_choose(struct admit_flow *root, int64_t lead, enum priority *level,
                  enum admission_turn *turn)
{
    struct admit_flow *f = root, *child;
    bool passed_over = false;
    int i = 0;

    while ((child = choose_child(f, lead, &passed_over)) != NULL) {
        f = child;
    }
    if (f == root) {
        return NULL;
    }
    while (f->backlog[i].queued == 0) {
        i++;
    }
    *level = (enum priority)i;
    *turn = passed_over ? TURN_SHARE : TURN_PRIORITY;
    return f;
}

/* Descends from the root by vtime alone, within one priority. */
struct admit_flow *
admit_flow_choose_at(struct admit_flow *root, enum priority level)
{
    struct admit_flow *f = root, *child;

    while ((child = least_served_child(f, level)) != NULL) {
        advance_clock(f);
        f = child;
    }
    return f == root ? NULL : f;
}
