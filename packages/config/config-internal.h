/* Tables and formats that the package's files share. */
#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include "config.h"

extern const struct conf_format config_ip_format;
extern const struct conf_format config_address_format;
extern const struct conf_format config_url_format;

extern const struct conf_table config_platform_table;
extern const struct conf_table config_link_keys_table;

/* Words of log levels, in the order of enum log_level. */
extern const char *const config_level_words[];

#endif
