#include "config-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AT(field) offsetof(struct agent_settings, field)

static const struct conf_key upstream_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct upstream_settings, name),
     .required = true},
    {.name = "url",
     .type = CONF_STRING,
     .offset = offsetof(struct upstream_settings, url),
     .required = true,
     .format = &config_url_format},
    {.name = "slots",
     .type = CONF_INT,
     .offset = offsetof(struct upstream_settings, slots),
     .required = true,
     .min = 1,
     .max = 4096},
    {.name = "connections",
     .type = CONF_INT,
     .offset = offsetof(struct upstream_settings, connections),
     .required = true,
     .min = 1,
     .max = 4096},
    {.name = "timeout_ms",
     .type = CONF_INT,
     .offset = offsetof(struct upstream_settings, timeout_ms),
     .min = 1,
     .max = 3600000,
     .fallback = "60000"},
};

static const struct conf_table upstream_table = {
    .name = "upstream",
    .size = sizeof(struct upstream_settings),
    .keys = upstream_keys,
    .count = COUNT_OF(upstream_keys),
    .line_at = offsetof(struct upstream_settings, line),
};

static const struct conf_key agent_keys[] = {
    {.name = "name", .type = CONF_NAME, .offset = AT(name), .required = true},
    {.name = "region",
     .type = CONF_NAME,
     .offset = AT(region),
     .required = true},
    {.name = "failure_domain",
     .type = CONF_NAME,
     .offset = AT(failure_domain),
     .required = true},
    {.name = "rack", .type = CONF_NAME, .offset = AT(rack), .required = true},
    {.name = "accelerators",
     .type = CONF_INT,
     .offset = AT(accelerators),
     .required = true,
     .max = 64},
    {.name = "seeds",
     .type = CONF_STRINGS,
     .offset = AT(seeds),
     .required = true,
     .min = 1,
     .max = 64,
     .format = &config_address_format},
    {.name = "services",
     .type = CONF_LIST,
     .offset = AT(services),
     .max = 64,
     .fallback = "[]",
     .sub = &upstream_table},
    {.name = "runner_url",
     .type = CONF_STRING,
     .offset = AT(runner_url),
     .format = &config_url_format},
    {.name = "announce_port",
     .type = CONF_INT,
     .offset = AT(announce_port),
     .min = -1,
     .max = 65535,
     .fallback = "-1"},
    {.name = "platform",
     .type = CONF_MAP,
     .offset = AT(platform),
     .sub = &config_platform_table},
    {.name = "lease_ms",
     .type = CONF_INT,
     .offset = AT(lease_ms),
     .min = 100,
     .max = 60000,
     .fallback = "3000"},
    {.name = "drain_ms",
     .type = CONF_INT,
     .offset = AT(drain_ms),
     .max = 3600000,
     .fallback = "120000"},
    {.name = "log_level",
     .type = CONF_WORD,
     .offset = AT(log_level),
     .fallback = "info",
     .words = config_level_words},
    {.name = "link_keys",
     .type = CONF_MAP,
     .offset = AT(link_keys),
     .sub = &config_link_keys_table},
    {.name = "hosted",
     .type = CONF_MAP,
     .offset = AT(hosted),
     .sub = &config_hosted_table},
};

static const struct conf_table agent_table = {
    .name = "agent",
    .size = sizeof(struct agent_settings),
    .keys = agent_keys,
    .count = COUNT_OF(agent_keys),
};

/* Reports an upstream with fewer connections than slots, as some slots would
 * never be used. */
static void
check_connections(const struct upstream_settings *u, size_t i,
                  struct conf_errors *errors)
{
    char key[64];

    if (u->connections < u->slots) {
        snprintf(key, sizeof(key), "services[%zu].connections", i);
        Conf_Add(errors, u->line, key, "at least slots",
                 "%lld connections can't fill %lld slots",
                 (long long)u->connections, (long long)u->slots);
    }
}

/* Reports a service whose name an earlier one has, as a request selects its
 * service by name. */
static void
check_duplicate_name(const struct agent_settings *s, size_t i,
                     struct conf_errors *errors)
{
    const struct upstream_settings *u =
        CONFIG_AT(s->services, struct upstream_settings, i);
    const struct upstream_settings *other;
    char key[64];

    for (size_t j = 0; j < i; j++) {
        other = CONFIG_AT(s->services, struct upstream_settings, j);
        if (strcmp(other->name, u->name) == 0) {
            snprintf(key, sizeof(key), "services[%zu].name", i);
            Conf_Add(errors, u->line, key, "a name that is not used yet",
                     "'%s' stands twice, first in line %d", u->name,
                     other->line);
            return;
        }
    }
}

/* Checks the rules that involve several keys. rc is the result of parsing. */
static int
check_agent(const struct agent_settings *s, int rc, struct conf_errors *errors)
{
    int before = errors->count;

    if (rc != ERR_OK) {
        return rc;
    }
    for (size_t i = 0; i < s->services.count; i++) {
        check_connections(CONFIG_AT(s->services, struct upstream_settings, i),
                          i, errors);
        check_duplicate_name(s, i, errors);
    }
    if (s->services.count == 0 && s->announce_port < 0 &&
        s->runner_url == NULL && s->hosted.worker == NULL) {
        Conf_Add(errors, 1, "services",
                 "services, announce_port, runner_url, hosted.worker",
                 "the worker takes neither requests nor jobs");
    }
    return errors->count == before ? ERR_OK : ERR_INVALID;
}

/* Parses and checks the settings of an agent. */
int
Settings_ParseAgent(const char *text, size_t len, struct agent_settings *out,
                    struct conf_errors *errors)
{
    return check_agent(out, Conf_Parse(text, len, &agent_table, out, errors),
                       errors);
}

/* Reads and checks the settings file of an agent. */
int
Settings_LoadAgent(const char *path, struct agent_settings *out,
                   struct conf_errors *errors)
{
    int rc = Conf_Load(path, &agent_table, out, errors);

    out->file = Mem_Dup(path);
    return check_agent(out, rc, errors);
}

/* Reads the settings file again for its seeds. The rest of it takes effect
 * when the process is replaced. */
int
Settings_ReadAgentSeeds(const char *path, struct conf_list *seeds)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct agent_settings s CLEANUP(Settings_FreeAgent) = {0};
    struct conf_list before = *seeds;
    int err = Settings_LoadAgent(path, &s, errors);

    if (err == ERR_OK) {
        *seeds = s.seeds;
        s.seeds = before;
    }
    return err;
}

/* Frees a list of seeds. */
void
Settings_FreeSeeds(struct conf_list *seeds)
{
    for (size_t i = 0; i < seeds->count; i++) {
        free(*CONFIG_AT(*seeds, char *, i));
    }
    free(seeds->items);
    *seeds = (struct conf_list){0};
}

/* Frees what the settings own. */
void
Settings_FreeAgent(struct agent_settings *s)
{
    Conf_Free(&agent_table, s);
    free(s->file);
    s->file = NULL;
}
