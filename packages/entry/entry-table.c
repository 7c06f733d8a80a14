#include "entry.h"

#include <stdlib.h>

#define CALL_TIMEOUT_MS 1000
#define GIVE_UP_MS 4000
/* A tenth of what the service can handle, as there are about ten entries. */
#define READS_PER_S 200
#define WRITES_PER_S 50

/* The task that owns this process's connections to the platform's services. */
struct platform_task {
    struct task task;
    struct table *table;
    struct objects *objects;
};

static const struct platform_limits limits = {.timeout_ms = CALL_TIMEOUT_MS,
                                              .give_up_ms = GIVE_UP_MS,
                                              .reads_per_s = READS_PER_S,
                                              .writes_per_s = WRITES_PER_S};

/* Closes the connections and drops their open calls. */
static void
platform_free(struct task *t)
{
    struct platform_task *p = (struct platform_task *)t;

    if (p->table != NULL) {
        p->table->ops->free(p->table);
    }
    if (p->objects != NULL) {
        p->objects->ops->free(p->objects);
    }
    free(p);
}

static const struct task_ops platform_ops = {.name = "platform",
                                             .free = platform_free};

/* Returns the task that owns the connections; creates it at the first call. */
static struct platform_task *
get(struct kernel *k)
{
    struct task *t = Kernel_FindTask(k, "platform");
    const struct entry_settings *s = k->settings;
    struct platform_task *p;

    if (t != NULL) {
        return (struct platform_task *)t;
    }
    p = Mem_Zero(1, sizeof(*p));
    p->table = Platform_HttpTable(k->loop, s->platform.table_url, &limits);
    p->objects =
        Platform_HttpObjects(k->loop, s->platform.objects_url, &limits);
    Kernel_AddTask(k, &p->task, &platform_ops);
    return p;
}

/* Returns the connection to the table service. */
struct table *
Entry_Table(struct kernel *k)
{
    return get(k)->table;
}

/* Returns the connection to the object store. */
struct objects *
Entry_Objects(struct kernel *k)
{
    return get(k)->objects;
}
