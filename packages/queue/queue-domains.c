#include "queue-intake.h"

static struct counter emptied_gauge = {
    "parsleyfall_queue_domains_emptied",
    "Failure domains that operators have asked to be emptied.", NULL,
    COUNTER_GAUGE};

/* Sends the set of emptied failure domains to a task. */
static void
notify_task(struct intake *in, const char *task)
{
    struct emptied_reported *note = Mem_Zero(1, sizeof(*note));

    note->emptied = in->emptied;
    Queue_Post(in->task.kernel, task, &note->base, &Queue_EmptiedKind);
}

/* Logs an event for each domain in a that is not in b. */
static void
log_missing(const char *event, const struct jobs_domains *a,
            const struct jobs_domains *b, const char *from)
{
    for (size_t i = 0; i < a->count; i++) {
        if (!JobsDomains_Has(b, a->names[i])) {
            LOG_I(event, KV("domain", a->names[i]), KV("from", from));
        }
    }
}

/* Takes the set of emptied failure domains from the store or another entry. */
void
Intake_TakeEmptied(struct intake *in, const struct emptied_domains *update,
                   const char *from)
{
    struct jobs_domains before = in->emptied.domains;
    bool changed = Emptied_Update(&in->emptied, update);

    if (in->emptied.position == update->position) {
        notify_task(in, TASK_LINKS);
    }
    if (!changed) {
        return;
    }
    log_missing("domain_emptied", &in->emptied.domains, &before, from);
    log_missing("domain_taken_back", &before, &in->emptied.domains, from);
    Counter_Set(&emptied_gauge, (int64_t)in->emptied.domains.count);
    notify_task(in, TASK_OWNER);
}
