#include "config-internal.h"

#include <stdio.h>
#include <stdlib.h>

#define REQUEST_DEADLINE_MAX_MS 3600000

/* A rule that involves several keys of a class. */
struct class_rule {
    const char *key; /* reported as the one to change */
    bool (*broken)(const struct config_class *k);
    const char *what;
    const char *allowed;
};

/* True for a request without a valid deadline: its caller waits, and needs a
 * limit on the wait. */
static bool
request_without_deadline(const struct config_class *k)
{
    return k->kind == CLASS_REQUEST &&
           (k->deadline_ms < 1 || k->deadline_ms > REQUEST_DEADLINE_MAX_MS);
}

/* True for a request with a checkpoint, which is useless: when the work is
 * stopped, the response to the caller is lost as well. */
static bool
request_with_checkpoint(const struct config_class *k)
{
    return k->kind == CLASS_REQUEST && k->checkpoint;
}

/* True for a checkpoint without a grace period, which leaves no time to
 * complete it. */
static bool
checkpoint_without_grace(const struct config_class *k)
{
    return k->checkpoint && k->grace_ms == 0;
}

/* True for a job that is to be accepted while the table service is down, which
 * is impossible, as a queued job is a row of the table. */
static bool
job_served_without_table(const struct config_class *k)
{
    return k->kind == CLASS_JOB && k->keyed_when_table_down == KEYED_SERVE;
}

static const struct class_rule class_rules[] = {
    {"deadline_ms", request_without_deadline,
     "a request needs a deadline within an hour", "1..3600000"},
    {"checkpoint", request_with_checkpoint,
     "a request can't go on from a checkpoint", "false, or kind job"},
    {"grace_ms", checkpoint_without_grace,
     "a checkpoint needs time before the work is stopped", "1..600000"},
    {"keyed_when_table_down", job_served_without_table,
     "a job can't be accepted without the table service", "refuse"},
};

/* Checks every class against every rule. */
void
config_check_classes(const struct config *c, struct conf_errors *errors)
{
    const struct config_class *k;
    char key[64];

    for (size_t i = 0; i < c->classes.count; i++) {
        k = CONFIG_AT(c->classes, struct config_class, i);
        for (size_t j = 0; j < COUNT_OF(class_rules); j++) {
            if (!class_rules[j].broken(k)) {
                continue;
            }
            snprintf(key, sizeof(key), "classes[%zu].%s", i,
                     class_rules[j].key);
            Conf_Add(errors, k->line, key, class_rules[j].allowed, "%s",
                     class_rules[j].what);
        }
    }
}
