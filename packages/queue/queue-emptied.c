#include "queue-emptied.h"

#include "queue.h"

#include <string.h>

/* Notes what a row says.
 *
 * Failure: the row of a domain that is emptied is written over with nonsense.
 * Symptom of taking it for one that was removed: work is sent to machines that
 * are about to lose power. What it said before holds until it is removed. */
void
Emptied_ApplyRow(struct emptied_domains *e, const struct table_row *row,
                 const char *prefix, const struct emptied_domains *previous)
{
    size_t len = strlen(prefix);
    const char *domain = row->key + len;
    bool requested = row->version != 0;

    if (strncmp(row->key, prefix, len) != 0) {
        return;
    }
    if (!Str_IsName(domain)) {
        Unreadable(UNREADABLE_ROW, row->key, "no name of a failure domain");
        return;
    }
    if (requested && !Queue_IsJsonObject(&row->value)) {
        Unreadable(UNREADABLE_ROW, row->key, "the last good one holds");
        requested = JobsDomains_Has(&previous->domains, domain);
    }
    if (JobsDomains_Set(&e->domains, domain, requested) != ERR_OK) {
        LOG_E("domain_not_emptied", KV("domain", domain),
              KV("why", "too many are emptied at once"),
              KV_INT("allowed", JOBS_DOMAINS_MAX));
    }
}

/* Takes what is of a later position. */
bool
Emptied_Update(struct emptied_domains *e, const struct emptied_domains *update)
{
    bool changed =
        e->position == 0 || !JobsDomains_Equal(&e->domains, &update->domains);

    if (update->position <= e->position) {
        return false;
    }
    *e = *update;
    return changed;
}
