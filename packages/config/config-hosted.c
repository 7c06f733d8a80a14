#include "config-internal.h"

#define AT(field) offsetof(struct hosted_settings, field)
/* An optional key that holds an "ip:port" address; n is its name. */
#define ADDRESS(n)                                                            \
    {                                                                         \
        .name = #n, .type = CONF_STRING, .offset = AT(n),                     \
        .format = &config_address_format                                      \
    }

/* An optional key that holds a decimal number; n is its name. */
#define DECIMAL(n)                                                            \
    {                                                                         \
        .name = #n, .type = CONF_STRING, .offset = AT(n), .fallback = "0",    \
        .format = &config_decimal_format                                      \
    }

/* An optional key that switches a part of the scheduler on; n is its name. */
#define PART(n)                                                               \
    {                                                                         \
        .name = #n, .type = CONF_BOOL, .fallback = "false",                   \
        .offset = offsetof(struct scheduling_settings, n)                     \
    }

static const struct conf_key scheduling_keys[] = {
    PART(departures), PART(speeds),    PART(preemption), PART(timeline),
    PART(shares),     PART(admission), PART(learned),
};

static const struct conf_table scheduling_table = {
    .name = "scheduling",
    .size = sizeof(struct scheduling_settings),
    .keys = scheduling_keys,
    .count = COUNT_OF(scheduling_keys),
};

/* The defaults suit a platform on which a lease lasts ten seconds. */
static const struct conf_key hosted_keys[] = {
    ADDRESS(store),
    ADDRESS(callers),
    ADDRESS(ready),
    ADDRESS(links),
    ADDRESS(advice),
    ADDRESS(beats),
    ADDRESS(worker),
    ADDRESS(metrics),
    {.name = "remote_factor",
     .type = CONF_STRING,
     .offset = AT(remote_factor),
     .min = 1,
     .max = 16,
     .fallback = "3"},
    {.name = "lease_ms",
     .type = CONF_INT,
     .offset = AT(lease_ms),
     .min = 500,
     .max = 600000,
     .fallback = "10000"},
    {.name = "stop_ms",
     .type = CONF_INT,
     .offset = AT(stop_ms),
     .max = 60000,
     .fallback = "400"},
    {.name = "early_ms",
     .type = CONF_INT,
     .offset = AT(early_ms),
     .max = 60000,
     .fallback = "250"},
    {.name = "keep_s",
     .type = CONF_INT,
     .offset = AT(keep_s),
     .min = 1,
     .max = 864000,
     .fallback = "120"},
    DECIMAL(processor_share),
    DECIMAL(processor_speed),
    DECIMAL(link_mbps),
    DECIMAL(memory_mb),
    {.name = "redials_per_s",
     .type = CONF_INT,
     .offset = AT(redials_per_s),
     .min = 1,
     .max = 1000,
     .fallback = "4"},
    {.name = "scheduling",
     .type = CONF_MAP,
     .offset = AT(scheduling),
     .fallback = "{}",
     .sub = &scheduling_table},
};

const struct conf_table config_hosted_table = {
    .name = "hosted",
    .size = sizeof(struct hosted_settings),
    .keys = hosted_keys,
    .count = COUNT_OF(hosted_keys),
};
