/*
 * config: what operators write.
 *
 * Settings are the YAML file of one process: where it is, where it listens
 * and what it may use. They hold until the process is replaced.
 *
 * Both are read by tables (base's Conf): every mistake is reported at once,
 * with its line, its key, what is wrong and what is allowed.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Item i of a struct conf_list of the given type. */
#define CONFIG_AT(list, type, i) (&((type *)(list).items)[i])

/* ---- settings of a process --------------------------------------------- */

/* Base URLs of the platform's services, without a slash at the end. */
struct platform_settings {
    char *table_url;
    char *objects_url;
};

/* CURVE keys of the links between the system's own processes. One pair is
 * shared by all processes of a deployment: who does not hold it is refused.
 * Both NULL: links are neither encrypted nor checked. */
struct link_key_settings {
    char *public_file;
    char *secret_file;
};

struct listen_settings {
    char *address;     /* IP number under which others reach this process */
    int64_t http_port; /* callers and operators; 0: any free port */
    int64_t link_port; /* agents and other entries; 0: any free port */
};

/* Limits towards callers. */
struct limit_settings {
    int64_t body_bytes; /* of a request; a service may set less */
    int64_t header_bytes;
    int64_t connections;
    int64_t idle_ms; /* a connection without a byte for so long is closed */
    int64_t deadline_ms_max;
};

/* parsleyfall serve. */
struct entry_settings {
    char name[NAME_SIZE];
    char region[NAME_SIZE];
    char failure_domain[NAME_SIZE];
    struct listen_settings listen;
    struct conf_list seeds; /* char *: "ip:port" of entries' link ports */
    struct platform_settings platform;
    struct limit_settings limits;
    int64_t drain_ms;         /* at most so long for requests in progress */
    int64_t log_level;        /* enum log_level */
    char *configuration_file; /* first document, while the table has none;
                               * NULL: none */
    struct link_key_settings link_keys;
};

/* One service of the upstream beside an agent. */
struct upstream_settings {
    char name[NAME_SIZE];
    char *url;
    int64_t slots;       /* requests that it works on at a time */
    int64_t connections; /* TCP connections that it takes, >= slots */
    int64_t timeout_ms;  /* longest silence within one exchange */
    int line;
};

/* parsleyfall-agent run. */
struct agent_settings {
    char name[NAME_SIZE]; /* the worker's name in the topology */
    char region[NAME_SIZE];
    char failure_domain[NAME_SIZE];
    char rack[NAME_SIZE];
    int64_t accelerators;
    struct conf_list seeds;            /* char *, at least one */
    struct conf_list services;         /* struct upstream_settings */
    char *runner_url;                  /* NULL: requests only, no jobs */
    struct platform_settings platform; /* both NULL: not used */
    int64_t lease_ms;                  /* of a reservation, on own clock */
    int64_t drain_ms;
    int64_t log_level; /* enum log_level */
    struct link_key_settings link_keys;
};

/* Read and check a file. ERR_OK or ERR_INVALID with every mistake in errors;
 * out is to be freed in both cases. */
int Settings_LoadEntry(const char *path, struct entry_settings *out,
                       struct conf_errors *errors);
int Settings_LoadAgent(const char *path, struct agent_settings *out,
                       struct conf_errors *errors);
/* As above, of text. */
int Settings_ParseEntry(const char *text, size_t len,
                        struct entry_settings *out,
                        struct conf_errors *errors);
int Settings_ParseAgent(const char *text, size_t len,
                        struct agent_settings *out,
                        struct conf_errors *errors);
/* Fit for CLEANUP. */
void Settings_FreeEntry(struct entry_settings *s);
void Settings_FreeAgent(struct agent_settings *s);

/* Splits "ip:port" or "[ip]:port". ERR_OK or ERR_INVALID. */
int Settings_SplitAddress(const char *text, char ip[NAME_SIZE], int *port);

#ifdef __cplusplus
}
#endif

#endif
