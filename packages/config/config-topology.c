#include "config-internal.h"

static const struct conf_key worker_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct config_worker, name),
     .required = true},
    {.name = "accelerators",
     .type = CONF_INT,
     .offset = offsetof(struct config_worker, accelerators),
     .required = true,
     .min = 0,
     .max = 64},
};

static const struct conf_table worker_table = {
    .name = "worker",
    .size = sizeof(struct config_worker),
    .keys = worker_keys,
    .count = COUNT_OF(worker_keys),
    .line_at = offsetof(struct config_worker, line),
};

static const struct conf_key rack_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct config_rack, name),
     .required = true},
    {.name = "workers",
     .type = CONF_LIST,
     .offset = offsetof(struct config_rack, workers),
     .required = true,
     .max = 1024,
     .sub = &worker_table},
};

static const struct conf_table rack_table = {
    .name = "rack",
    .size = sizeof(struct config_rack),
    .keys = rack_keys,
    .count = COUNT_OF(rack_keys),
    .line_at = offsetof(struct config_rack, line),
};

static const struct conf_key domain_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct config_domain, name),
     .required = true},
    {.name = "racks",
     .type = CONF_LIST,
     .offset = offsetof(struct config_domain, racks),
     .required = true,
     .max = 1024,
     .sub = &rack_table},
};

static const struct conf_table domain_table = {
    .name = "failure domain",
    .size = sizeof(struct config_domain),
    .keys = domain_keys,
    .count = COUNT_OF(domain_keys),
    .line_at = offsetof(struct config_domain, line),
};

static const struct conf_key region_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct config_region, name),
     .required = true},
    {.name = "failure_domains",
     .type = CONF_LIST,
     .offset = offsetof(struct config_region, failure_domains),
     .required = true,
     .min = 1,
     .max = 64,
     .sub = &domain_table},
};

static const struct conf_table region_table = {
    .name = "region",
    .size = sizeof(struct config_region),
    .keys = region_keys,
    .count = COUNT_OF(region_keys),
    .line_at = offsetof(struct config_region, line),
};

static const struct conf_key config_topology_keys[] = {
    {.name = "regions",
     .type = CONF_LIST,
     .offset = offsetof(struct config_topology, regions),
     .required = true,
     .min = 1,
     .max = 16,
     .sub = &region_table},
};

const struct conf_table config_topology_table = {
    .name = "topology",
    .size = sizeof(struct config_topology),
    .keys = config_topology_keys,
    .count = COUNT_OF(config_topology_keys),
};
