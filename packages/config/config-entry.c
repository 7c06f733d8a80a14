#include "config-internal.h"

#include <string.h>

#define AT(field) offsetof(struct entry_settings, field)

static const struct conf_key listen_keys[] = {
    {.name = "address",
     .type = CONF_STRING,
     .offset = offsetof(struct listen_settings, address),
     .required = true,
     .format = &config_ip_format},
    {.name = "http_port",
     .type = CONF_INT,
     .offset = offsetof(struct listen_settings, http_port),
     .required = true,
     .max = 65535},
    {.name = "link_port",
     .type = CONF_INT,
     .offset = offsetof(struct listen_settings, link_port),
     .required = true,
     .max = 65535},
};

static const struct conf_table listen_table = {
    .name = "listen",
    .size = sizeof(struct listen_settings),
    .keys = listen_keys,
    .count = COUNT_OF(listen_keys),
};

/* The defaults allow requests with photographs of a few MiB, a thousand phones
 * waiting at a time, and responses within two minutes. */
static const struct conf_key limit_keys[] = {
    {.name = "body_bytes",
     .type = CONF_INT,
     .offset = offsetof(struct limit_settings, body_bytes),
     .min = 1024,
     .max = 64 * 1024 * 1024,
     .fallback = "8388608"},
    {.name = "header_bytes",
     .type = CONF_INT,
     .offset = offsetof(struct limit_settings, header_bytes),
     .min = 1024,
     .max = 65536,
     .fallback = "16384"},
    {.name = "connections",
     .type = CONF_INT,
     .offset = offsetof(struct limit_settings, connections),
     .min = 1,
     .max = 65536,
     .fallback = "1024"},
    {.name = "idle_ms",
     .type = CONF_INT,
     .offset = offsetof(struct limit_settings, idle_ms),
     .min = 100,
     .max = 600000,
     .fallback = "30000"},
    {.name = "deadline_ms_max",
     .type = CONF_INT,
     .offset = offsetof(struct limit_settings, deadline_ms_max),
     .min = 1,
     .max = 3600000,
     .fallback = "120000"},
};

static const struct conf_table limit_table = {
    .name = "limits",
    .size = sizeof(struct limit_settings),
    .keys = limit_keys,
    .count = COUNT_OF(limit_keys),
};

static const struct conf_key entry_keys[] = {
    {.name = "name", .type = CONF_NAME, .offset = AT(name), .required = true},
    {.name = "region",
     .type = CONF_NAME,
     .offset = AT(region),
     .required = true},
    {.name = "failure_domain",
     .type = CONF_NAME,
     .offset = AT(failure_domain),
     .required = true},
    {.name = "listen",
     .type = CONF_MAP,
     .offset = AT(listen),
     .required = true,
     .sub = &listen_table},
    {.name = "seeds",
     .type = CONF_STRINGS,
     .offset = AT(seeds),
     .max = 64,
     .fallback = "[]",
     .format = &config_address_format},
    {.name = "platform",
     .type = CONF_MAP,
     .offset = AT(platform),
     .required = true,
     .sub = &config_platform_table},
    {.name = "limits",
     .type = CONF_MAP,
     .offset = AT(limits),
     .fallback = "{}",
     .sub = &limit_table},
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
    {.name = "configuration_file",
     .type = CONF_STRING,
     .offset = AT(configuration_file),
     .min = 1,
     .max = 1024},
    {.name = "link_keys",
     .type = CONF_MAP,
     .offset = AT(link_keys),
     .sub = &config_link_keys_table},
    {.name = "hosted",
     .type = CONF_MAP,
     .offset = AT(hosted),
     .sub = &config_hosted_table},
};

static const struct conf_table entry_table = {
    .name = "entry",
    .size = sizeof(struct entry_settings),
    .keys = entry_keys,
    .count = COUNT_OF(entry_keys),
};

/* Reports a drain time below the longest deadline, as requests in progress
 * would be cut off. rc is the result of parsing. */
static int
check_entry(const struct entry_settings *s, int rc, struct conf_errors *errors)
{
    if (rc == ERR_OK && s->drain_ms < s->limits.deadline_ms_max) {
        Conf_Add(errors, 0, "drain_ms", "at least limits.deadline_ms_max",
                 "%lld would cut off requests that may take %lld",
                 (long long)s->drain_ms, (long long)s->limits.deadline_ms_max);
        return ERR_INVALID;
    }
    return rc;
}

/* Parses and checks the settings of an entry. */
int
Settings_ParseEntry(const char *text, size_t len, struct entry_settings *out,
                    struct conf_errors *errors)
{
    return check_entry(out, Conf_Parse(text, len, &entry_table, out, errors),
                       errors);
}

/* Reads and checks the settings file of an entry. */
int
Settings_LoadEntry(const char *path, struct entry_settings *out,
                   struct conf_errors *errors)
{
    return check_entry(out, Conf_Load(path, &entry_table, out, errors),
                       errors);
}

/* Frees what the settings own. */
void
Settings_FreeEntry(struct entry_settings *s)
{
    Conf_Free(&entry_table, s);
}
