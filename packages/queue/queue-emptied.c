#include "queue-emptied.h"

#include "queue.h"

#include <string.h>

/* Applies a row of the operator table.
 *
 * The row of an emptied domain may be overwritten with an unreadable value. If
 * that counted as its deletion, work would be sent to machines that are about
 * to lose power. The request holds until the row is deleted. */
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
        Unreadable(UNREADABLE_ROW, row->key,
                   "not a valid name of a failure domain");
        return;
    }
    if (requested && !Queue_IsJsonObject(&row->value)) {
        Unreadable(UNREADABLE_ROW, row->key,
                   "keeping the last readable value");
        requested = JobsDomains_Has(&previous->domains, domain);
    }
    if (JobsDomains_Set(&e->domains, domain, requested) != ERR_OK) {
        LOG_E("domain_not_emptied", KV("domain", domain),
              KV("why", "too many failure domains are emptied at once"),
              KV_INT("allowed", JOBS_DOMAINS_MAX));
    }
}

/* Takes a set of a later position. */
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
