#include "kernel.h"

#include <string.h>

static SLIST_HEAD(, plugin) plugins = SLIST_HEAD_INITIALIZER(plugins);

/* Inserts a plug-in by rank; equal ranks stay in order of registration.
 * Called before main(). */
void
Kernel_Register(struct plugin *plugin)
{
    struct plugin *next, *previous = NULL;

    SLIST_FOREACH (next, &plugins, entry) {
        if (next->rank > plugin->rank) {
            break;
        }
        previous = next;
    }
    if (previous == NULL) {
        SLIST_INSERT_HEAD(&plugins, plugin, entry);
    }
    else {
        SLIST_INSERT_AFTER(previous, plugin, entry);
    }
}

/* True when a plug-in starts in a profile. */
static bool
runs_in_profile(const struct plugin *p, const char *profile)
{
    const char *plugin_profile = p->profile != NULL ? p->profile : "";

    return strcmp(plugin_profile, PROFILE_ANY) == 0 ||
           strcmp(plugin_profile, profile) == 0;
}

/* Starts the plug-ins of the profile. Stops at the first failure and logs the
 * plug-in that caused it. */
int
Kernel_Start(struct kernel *k)
{
    struct plugin *p;
    int err;

    SLIST_FOREACH (p, &plugins, entry) {
        if (!runs_in_profile(p, k->profile)) {
            continue;
        }
        err = p->start(k);
        if (err != ERR_OK) {
            LOG_E("plugin_failed", KV("plugin", p->name),
                  KV("error", Err_Name(err)));
            return err;
        }
    }
    return ERR_OK;
}
