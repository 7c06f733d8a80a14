#include "jobs.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Frees what a configuration owns. */
void
JobsConfig_Clear(struct jobs_config *c)
{
    for (size_t i = 0; i < c->organisation_count; i++) {
        struct conf_list *keys = &c->organisations[i].keys;

        for (size_t j = 0; j < keys->count; j++) {
            free(((char **)keys->items)[j]);
        }
        free(keys->items);
    }
    for (size_t i = 0; i < c->queue_count; i++) {
        free(c->queues[i].host);
        free(c->queues[i].prefix);
    }
    free(c->organisations);
    free(c->queues);
    free(c->services);
    memset(c, 0, sizeof(*c));
}

/* Finds the queue of a call by its host, without the port, and the longest
 * prefix of its path. */
const struct jobs_queue *
JobsConfig_Route(const struct jobs_config *c, const char *host,
                 const char *path)
{
    size_t host_len = strcspn(host, ":"), best_len = 0;
    const struct jobs_queue *best = NULL;

    for (size_t i = 0; i < c->queue_count; i++) {
        const struct jobs_queue *q = &c->queues[i];
        size_t len = strlen(q->prefix);

        if (strlen(q->host) == host_len &&
            strncasecmp(q->host, host, host_len) == 0 && len >= best_len &&
            strncmp(q->prefix, path, len) == 0) {
            best = q;
            best_len = len;
        }
    }
    return best;
}

/* Finds a queue by its name. */
const struct jobs_queue *
JobsConfig_Queue(const struct jobs_config *c, const char *name)
{
    for (size_t i = 0; c != NULL && i < c->queue_count; i++) {
        if (strcmp(c->queues[i].name, name) == 0) {
            return &c->queues[i];
        }
    }
    return NULL;
}

/* Finds the organisation of a key. All keys are compared, each in constant
 * time. */
const struct jobs_organisation *
JobsConfig_ByKey(const struct jobs_config *c, const char *key)
{
    const struct jobs_organisation *found = NULL;

    for (size_t i = 0; i < c->organisation_count; i++) {
        const struct conf_list *keys = &c->organisations[i].keys;

        for (size_t j = 0; j < keys->count; j++) {
            if (Secret_Equal(((char **)keys->items)[j], key)) {
                found = &c->organisations[i];
            }
        }
    }
    return found;
}
