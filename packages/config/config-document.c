#include "config-internal.h"

static const struct conf_key weights_keys[] = {
    {.name = "completion",
     .type = CONF_INT,
     .offset = offsetof(struct config_weights, completion),
     .required = true,
     .min = 0,
     .max = 100},
    {.name = "fragmentation",
     .type = CONF_INT,
     .offset = offsetof(struct config_weights, fragmentation),
     .required = true,
     .min = 0,
     .max = 100},
};

static const struct conf_table weights_table = {
    .name = "weights",
    .size = sizeof(struct config_weights),
    .keys = weights_keys,
    .count = COUNT_OF(weights_keys),
};

/* The keys of a document, required in a whole one but not in a section. */
#define DOCUMENT_KEYS(is_required)                                            \
    [DOC_VERSION] = {.name = "version",                                       \
                     .type = CONF_INT,                                        \
                     .offset = offsetof(struct config, version),              \
                     .required = is_required,                                 \
                     .min = CONFIG_VERSION,                                   \
                     .max = CONFIG_VERSION},                                  \
    [DOC_WEIGHTS] = {.name = "weights",                                       \
                     .type = CONF_MAP,                                        \
                     .offset = offsetof(struct config, weights),              \
                     .required = is_required,                                 \
                     .sub = &weights_table},                                  \
    [DOC_TOPOLOGY] = {.name = "topology",                                     \
                      .type = CONF_MAP,                                       \
                      .offset = offsetof(struct config, topology),            \
                      .required = is_required,                                \
                      .sub = &config_topology_table},                         \
    [DOC_OPERATORS] = {.name = "operators",                                   \
                       .type = CONF_LIST,                                     \
                       .offset = offsetof(struct config, operators),          \
                       .required = false,                                     \
                       .max = 256,                                            \
                       .sub = &config_operator_table},                        \
    [DOC_ORGANISATIONS] = {.name = "organisations",                           \
                           .type = CONF_LIST,                                 \
                           .offset = offsetof(struct config, organisations),  \
                           .required = is_required,                           \
                           .max = 1024,                                       \
                           .sub = &config_organisation_table},                \
    [DOC_CLASSES] = {.name = "classes",                                       \
                     .type = CONF_LIST,                                       \
                     .offset = offsetof(struct config, classes),              \
                     .required = is_required,                                 \
                     .max = 256,                                              \
                     .sub = &config_class_table},                             \
    [DOC_SERVICES] = {.name = "services",                                     \
                      .type = CONF_LIST,                                      \
                      .offset = offsetof(struct config, services),            \
                      .required = is_required,                                \
                      .max = 1024,                                            \
                      .sub = &config_service_table},

static const struct conf_key document_keys[] = {DOCUMENT_KEYS(true)};

const struct conf_table config_document_table = {
    .name = "configuration",
    .size = sizeof(struct config),
    .keys = document_keys,
    .count = COUNT_OF(document_keys),
};

static const struct conf_key section_keys[] = {DOCUMENT_KEYS(false)};

const struct conf_table config_section_table = {
    .name = "configuration",
    .size = sizeof(struct config),
    .keys = section_keys,
    .count = COUNT_OF(section_keys),
};

static config_check_fn extra_check;

/* Sets the extra check, which another package provides. */
void
Config_SetCheck(config_check_fn check)
{
    extra_check = check;
}

/* Parses the shapes of all guarantees, whose format the table has checked. */
static void
read_shapes(struct config *c)
{
    struct config_organisation *o;
    struct config_guarantee *g;

    for (size_t i = 0; i < c->organisations.count; i++) {
        o = CONFIG_AT(c->organisations, struct config_organisation, i);
        for (size_t j = 0; j < o->guarantees.count; j++) {
            g = CONFIG_AT(o->guarantees, struct config_guarantee, j);
            if (Config_ParseShape(g->shape_text, &g->shape) != ERR_OK) {
                Fatal("can't parse the shape '%s', which its table accepts",
                      g->shape_text);
            }
        }
    }
}

/* Checks the rules that involve several keys. The checks of capacity run only
 * on documents without other mistakes, as they rely on them. */
static int
check_whole(struct config *c, struct conf_errors *errors)
{
    int before = errors->count;

    read_shapes(c);
    config_check_names(c, errors);
    config_check_classes(c, errors);
    if (errors->count == before) {
        config_check_capacity(c, errors);
    }
    if (errors->count == before && extra_check != NULL) {
        extra_check(c, errors);
    }
    return errors->count == before ? ERR_OK : ERR_INVALID;
}

/* Parses a document and checks it as a whole. */
int
Config_Parse(const char *text, size_t len, struct config *out,
             struct conf_errors *errors)
{
    int rc = Conf_Parse(text, len, &config_document_table, out, errors);

    return rc == ERR_OK ? check_whole(out, errors) : rc;
}

/* Reads a document from a file and checks it as a whole. */
int
Config_Load(const char *path, struct config *out, struct conf_errors *errors)
{
    int rc = Conf_Load(path, &config_document_table, out, errors);

    return rc == ERR_OK ? check_whole(out, errors) : rc;
}

/* Parses a section of a document that was checked as a whole before. */
int
Config_ParseSection(const char *text, size_t len, struct config *out,
                    struct conf_errors *errors)
{
    int rc = Conf_Parse(text, len, &config_section_table, out, errors);

    if (rc == ERR_OK) {
        read_shapes(out);
    }
    return rc;
}

/* Frees what a document owns. */
void
Config_Free(struct config *c)
{
    Conf_Free(&config_document_table, c);
}
