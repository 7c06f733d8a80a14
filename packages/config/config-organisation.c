#include "config-internal.h"

static const struct conf_key guarantee_keys[] = {
    {.name = "shape",
     .type = CONF_STRING,
     .offset = offsetof(struct config_guarantee, shape_text),
     .required = true,
     .format = &config_shape_format},
    {.name = "count",
     .type = CONF_INT,
     .offset = offsetof(struct config_guarantee, count),
     .required = true,
     .min = 1,
     .max = 10000},
    {.name = "failure_domain",
     .type = CONF_NAME,
     .offset = offsetof(struct config_guarantee, failure_domain)},
};

static const struct conf_table guarantee_table = {
    .name = "guarantee",
    .size = sizeof(struct config_guarantee),
    .keys = guarantee_keys,
    .count = COUNT_OF(guarantee_keys),
    .line_at = offsetof(struct config_guarantee, line),
};

static const struct conf_key config_organisation_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct config_organisation, name),
     .required = true},
    {.name = "token_hashes",
     .type = CONF_STRINGS,
     .offset = offsetof(struct config_organisation, token_hashes),
     .max = 16,
     .fallback = "[]",
     .format = &config_hash_format},
    {.name = "weight",
     .type = CONF_INT,
     .offset = offsetof(struct config_organisation, weight),
     .min = 1,
     .max = 1000,
     .fallback = "1"},
    {.name = "guarantees",
     .type = CONF_LIST,
     .offset = offsetof(struct config_organisation, guarantees),
     .max = 64,
     .fallback = "[]",
     .sub = &guarantee_table},
};

const struct conf_table config_organisation_table = {
    .name = "organisation",
    .size = sizeof(struct config_organisation),
    .keys = config_organisation_keys,
    .count = COUNT_OF(config_organisation_keys),
    .line_at = offsetof(struct config_organisation, line),
};

static const struct conf_key config_operator_keys[] = {
    {.name = "name",
     .type = CONF_NAME,
     .offset = offsetof(struct config_operator, name),
     .required = true},
    {.name = "token_hashes",
     .type = CONF_STRINGS,
     .offset = offsetof(struct config_operator, token_hashes),
     .required = true,
     .min = 1,
     .max = 16,
     .format = &config_hash_format},
};

const struct conf_table config_operator_table = {
    .name = "operator",
    .size = sizeof(struct config_operator),
    .keys = config_operator_keys,
    .count = COUNT_OF(config_operator_keys),
    .line_at = offsetof(struct config_operator, line),
};
