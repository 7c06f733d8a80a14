#include "queue.h"

#include <stdlib.h>

/* Owns the connection to the store. */
struct store_task {
    struct task task;
    struct table *table;
};

/* The connection of this process. */
struct table *
Queue_Store(struct kernel *k)
{
    return ((struct store_task *)Kernel_FindTask(k, "store"))->table;
}

/* Drops the connection and its calls. */
static void
store_free(struct task *t)
{
    struct store_task *s = (struct store_task *)t;

    s->table->ops->free(s->table);
    free(s);
}

static const struct task_ops store_ops = {.name = "store", .free = store_free};

/* Opens the store, first of all. */
static int
start(struct kernel *k)
{
    const struct entry_settings *s = k->settings;
    struct store_task *t;

    if (Queue_Site() == NULL) {
        LOG_E("no_platform", KV("allowed", "a program with its adapter"));
        return ERR_INVALID;
    }
    t = Mem_Zero(1, sizeof(*t));
    t->table = Queue_Site()->open_store(k->loop, &s->hosted);
    Kernel_AddTask(k, &t->task, &store_ops);
    return ERR_OK;
}

static struct plugin store_plugin = {
    .name = "store", .rank = 5, .profile = PROFILE_HOSTED, .start = start};
KERNEL_PLUGIN(store_plugin)
