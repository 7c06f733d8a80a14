#include "queue-intake.h"

#include <stdlib.h>

static struct counter version_gauge = {"parsleyfall_queue_config_version",
                                       "Configuration version in force.", NULL,
                                       COUNTER_GAUGE};

/* Sends the configuration in force to a task, moving text, which may be
 * NULL. */
static void
notify_task(struct intake *in, const char *task, struct buf *text)
{
    struct config_changed *note = Mem_Zero(1, sizeof(*note));

    note->config = QueueConfig_Ref(in->config);
    if (text != NULL) {
        Buf_Move(&note->text, text);
    }
    Queue_Post(in->task.kernel, task, &note->base, &Queue_ConfigKind);
}

/* Takes a configuration from the store or another entry.
 *
 * A document from another entry may be older than one that the store has sent
 * meanwhile; taking it would make a revoked key valid again. A version not
 * above the one in force is therefore ignored, whatever its source. */
void
Intake_TakeConfig(struct intake *in, struct buf *text, const char *from)
{
    struct queue_config *c = Mem_Zero(1, sizeof(*c));
    char why[128];

    c->refs = 1;
    if (Queue_Platform()->read_config(text->data, text->len, &c->jobs, why) !=
        ERR_OK) {
        Unreadable(UNREADABLE_CONFIG, from, why);
        QueueConfig_Unref(c);
        return;
    }
    if (in->config != NULL && c->jobs.version <= in->config->jobs.version) {
        QueueConfig_Unref(c);
        return;
    }
    QueueConfig_Unref(in->config);
    in->config = c;
    Counter_Set(&version_gauge, (int64_t)c->jobs.version);
    LOG_I("config_in_force", KV_INT("version", c->jobs.version),
          KV("from", from), KV_INT("queues", c->jobs.queue_count),
          KV_INT("organisations", c->jobs.organisation_count));
    notify_task(in, TASK_OWNER, NULL);
    notify_task(in, TASK_LINKS, text);
}
