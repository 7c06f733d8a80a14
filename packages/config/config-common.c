#include "config-internal.h"

const char *const config_level_words[] = {"debug", "info", "warn", "error",
                                          NULL};

static const struct conf_key platform_keys[] = {
    {.name = "table_url",
     .type = CONF_STRING,
     .offset = offsetof(struct platform_settings, table_url),
     .required = true,
     .format = &config_url_format},
    {.name = "objects_url",
     .type = CONF_STRING,
     .offset = offsetof(struct platform_settings, objects_url),
     .required = true,
     .format = &config_url_format},
};

const struct conf_table config_platform_table = {
    .name = "platform",
    .size = sizeof(struct platform_settings),
    .keys = platform_keys,
    .count = COUNT_OF(platform_keys),
};

static const struct conf_key link_keys_keys[] = {
    {.name = "public_file",
     .type = CONF_STRING,
     .offset = offsetof(struct link_key_settings, public_file),
     .required = true,
     .min = 1,
     .max = 1024},
    {.name = "secret_file",
     .type = CONF_STRING,
     .offset = offsetof(struct link_key_settings, secret_file),
     .required = true,
     .min = 1,
     .max = 1024},
};

const struct conf_table config_link_keys_table = {
    .name = "link_keys",
    .size = sizeof(struct link_key_settings),
    .keys = link_keys_keys,
    .count = COUNT_OF(link_keys_keys),
};
