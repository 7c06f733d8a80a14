#include "queue-owner.h"

/* Logs whether the accelerators left cover the guarantees of all
 * organisations. */
static void
log_guarantees(const struct owner *o)
{
    int64_t usable, guaranteed;

    Jobs_Guarantees(o->scheduler, &usable, &guaranteed);
    if (usable < guaranteed) {
        LOG_W("guarantees_short", KV_INT("accelerators", usable),
              KV_INT("guaranteed", guaranteed),
              KV_INT("domains_emptied", o->emptied.domains.count));
        return;
    }
    LOG_I("guarantees_fit", KV_INT("accelerators", usable),
          KV_INT("guaranteed", guaranteed),
          KV_INT("domains_emptied", o->emptied.domains.count));
}

/* Passes the emptied failure domains to the scheduler. */
void
OwnerDomains_Apply(struct owner *o)
{
    Jobs_SetEmptied(o->scheduler, &o->emptied.domains);
}

/* Takes the set of emptied failure domains. The scheduler has it before this
 * returns, so no later pass starts a task there. */
void
OwnerDomains_Take(struct owner *o, const struct emptied_domains *e)
{
    o->emptied = *e;
    o->emptied_changed_ms = Clock_NowMs();
    if (o->scheduler == NULL) {
        return;
    }
    OwnerDomains_Apply(o);
    log_guarantees(o);
    Owner_SchedulePass(o);
}

/* Returns the emptied domains for operators. */
json_t *
OwnerDomains_State(const struct owner *o)
{
    const struct jobs_domains *d = &o->emptied.domains;
    int64_t usable, guaranteed;
    json_t *list = json_array();

    Jobs_Guarantees(o->scheduler, &usable, &guaranteed);
    for (size_t i = 0; i < d->count; i++) {
        json_array_append_new(
            list,
            json_pack("{s:s,s:I}", "domain", d->names[i], "tasks_there",
                      (json_int_t)Jobs_TasksIn(o->scheduler, d->names[i])));
    }
    return json_pack("{s:o,s:I,s:I,s:I}", "domains", list, "changed_ms_ago",
                     (json_int_t)(Clock_NowMs() - o->emptied_changed_ms),
                     "accelerators_usable", (json_int_t)usable,
                     "accelerators_guaranteed", (json_int_t)guaranteed);
}
