#include "entry-table.h"

#include "entry.h"

#include <stdlib.h>

#define TRY_MS 1000
#define GIVE_UP_MS 4000
#define READS_PER_S 200
#define WRITES_PER_S 100

struct shared_table {
    struct task task;
    struct table *table;
};

/* Closes the connection, after the tasks that use it are gone. */
static void
shared_free(struct task *t)
{
    struct shared_table *s = (struct shared_table *)t;

    if (s->table != NULL) {
        s->table->ops->free(s->table);
    }
    free(s);
}

static const struct task_ops shared_ops = {.name = "table",
                                           .free = shared_free};

/* The table service as all tasks of this process share it. */
struct table *
Entry_Table(struct kernel *k)
{
    return ((struct shared_table *)Kernel_FindTask(k, "table"))->table;
}

/* Opens the connection before the tasks that use it. */
static int
start(struct kernel *k)
{
    static const struct platform_limits limits = {.timeout_ms = TRY_MS,
                                                  .give_up_ms = GIVE_UP_MS,
                                                  .reads_per_s = READS_PER_S,
                                                  .writes_per_s =
                                                      WRITES_PER_S};
    const struct entry_settings *settings = k->settings;
    struct shared_table *s = Mem_Zero(1, sizeof(*s));

    s->table =
        Platform_HttpTable(k->loop, settings->platform.table_url, &limits);
    Kernel_AddTask(k, &s->task, &shared_ops);
    return ERR_OK;
}

static struct plugin table_plugin = {
    .name = "table", .rank = 5, .start = start};
KERNEL_PLUGIN(table_plugin)
