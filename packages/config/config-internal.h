/* Tables, formats and checks that the package's files share. */
#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include "config.h"

extern const struct conf_format config_ip_format;
extern const struct conf_format config_address_format;
extern const struct conf_format config_decimal_format;
extern const struct conf_format config_url_format;

extern const struct conf_table config_platform_table;
extern const struct conf_table config_link_keys_table;
extern const struct conf_table config_hosted_table;

extern const struct conf_format config_hash_format;
extern const struct conf_format config_name_format;
extern const struct conf_format config_shape_format;

extern const struct conf_table config_topology_table;
extern const struct conf_table config_organisation_table;
extern const struct conf_table config_operator_table;
extern const struct conf_table config_class_table;
extern const struct conf_table config_service_table;

/* The tables of a whole document and of one section; the latter has the same
 * keys, none of them required. */
extern const struct conf_table config_document_table;
extern const struct conf_table config_section_table;

/* Indexes of keys in config_document_table. */
enum document_key {
    DOC_VERSION,
    DOC_WEIGHTS,
    DOC_TOPOLOGY,
    DOC_OPERATORS,
    DOC_ORGANISATIONS,
    DOC_CLASSES,
    DOC_SERVICES,
    DOC_KEYS
};

/* True when a key has a value: only names and strings may be absent. */
bool config_has_value(const struct conf_key *key, const void *at);
/* Appends the YAML of a struct that a table describes. */
void config_render_yaml(const struct conf_table *table, const void *data,
                        struct buf *out);

/* Checks names and references of a document. */
void config_check_names(const struct config *c, struct conf_errors *errors);
/* Checks the rules that involve several keys of a class. */
void config_check_classes(const struct config *c, struct conf_errors *errors);
/* Checks guarantees against the topology by counts only; what passes may still
 * be infeasible. */
void config_check_capacity(const struct config *c, struct conf_errors *errors);

/* Words of log levels, in the order of enum log_level. */
extern const char *const config_level_words[];

#endif
