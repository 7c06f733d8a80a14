/*
 * config: what operators write.
 *
 * Settings are the YAML file of one process: where it is, where it listens
 * and what it may use. They hold until the process is replaced.
 *
 * The document is the one configuration of a whole deployment: topology,
 * organisations and their guarantees, classes of work, services, weights. It
 * is edited as a whole, checked as a whole, and in force everywhere at once.
 * Its canonical text is cut into sections, each named by its hash, so that a
 * process fetches only what changed and concerns it.
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

/* ---- the document: topology --------------------------------------------- */

struct config_worker {
    char name[NAME_SIZE]; /* unique in the document */
    int64_t accelerators;
    int line;
};

struct config_rack {
    char name[NAME_SIZE];     /* unique in its failure domain */
    struct conf_list workers; /* struct config_worker */
    int line;
};

struct config_domain {
    char name[NAME_SIZE];   /* unique in the document */
    struct conf_list racks; /* struct config_rack */
    int line;
};

struct config_region {
    char name[NAME_SIZE];             /* unique in the document */
    struct conf_list failure_domains; /* struct config_domain */
    int line;
};

struct config_topology {
    struct conf_list regions; /* struct config_region */
};

/* ---- the document: organisations and operators -------------------------- */

enum shape_kind { SHAPE_ACCELERATORS, SHAPE_WORKERS, SHAPE_RACKS };

/* What a guarantee is for, written as "accelerators: 4", "worker",
 * "workers: 3", "rack" or "racks: 2". Accelerators lie in one worker, workers
 * and racks in one failure domain. */
struct shape {
    enum shape_kind kind;
    int64_t size; /* how many of the kind */
};

/* count shapes, each of which its organisation may reclaim at any time. */
struct config_guarantee {
    char *shape_text;
    int64_t count;
    char failure_domain[NAME_SIZE]; /* "": any, each shape within one */
    struct shape shape;             /* read from shape_text */
    int line;
};

struct config_organisation {
    char name[NAME_SIZE];
    struct conf_list token_hashes; /* char *: Digest_Hex of a bearer token */
    int64_t weight;                /* share of what nobody has reserved */
    struct conf_list guarantees;   /* struct config_guarantee */
    int line;
};

/* Who may read and change the document; named in answers to a lost race. */
struct config_operator {
    char name[NAME_SIZE];
    struct conf_list token_hashes; /* char * */
    int line;
};

/* ---- the document: work --------------------------------------------------
 */

enum class_kind { CLASS_REQUEST, CLASS_JOB };

/* What a keyed request is answered while the table service is down. Refusing
 * it at once is safe. Serving it takes a risk: its key can't be claimed, so a
 * repetition of the same key at another entry may run a second time. */
enum class_keyed { KEYED_REFUSE, KEYED_SERVE };

struct config_class {
    char name[NAME_SIZE];
    int64_t kind;        /* enum class_kind */
    int64_t priority;    /* enum priority */
    bool repeatable;     /* may be started again when an outcome is unknown */
    int64_t deadline_ms; /* of a request 1..3600000; of a job 0: none */
    int64_t grace_ms;    /* on reclaim, before the work is stopped */
    bool checkpoint;     /* a job that can be stopped and go on later */
    int64_t keyed_when_table_down; /* enum class_keyed */
    int line;
};

struct config_service {
    char name[NAME_SIZE];
    struct conf_list organisations; /* char *: who may call it */
    struct conf_list classes; /* char *: of kind request; the first is for
                               * requests that name none */
    int64_t request_bytes;    /* limit of a request's body */
    int64_t answer_bytes;     /* limit of an answer's body */
    int64_t queue_limit;      /* requests that wait at one entry */
    bool hedge; /* a late repeatable request is sent a second time */
    int line;
};

/* ---- the document as a whole ---------------------------------------------
 */

/* How much completion time and fragmentation weigh, each 0..100. */
struct config_weights {
    int64_t completion;
    int64_t fragmentation;
};

#define CONFIG_VERSION 1 /* of the document's form */

struct config {
    int64_t version;
    struct config_weights weights;
    struct config_topology topology;
    struct conf_list operators;     /* struct config_operator */
    struct conf_list organisations; /* struct config_organisation */
    struct conf_list classes;       /* struct config_class */
    struct conf_list services;      /* struct config_service */
};

/* Reads and checks a document (YAML or JSON): keys, types and ranges first;
 * when these are right, names, references, and guarantees against the
 * topology. ERR_OK or ERR_INVALID with every mistake in errors; out is to be
 * freed in both cases. */
int Config_Parse(const char *text, size_t len, struct config *out,
                 struct conf_errors *errors);
/* As above, of a file. */
int Config_Load(const char *path, struct config *out,
                struct conf_errors *errors);
/* Reads a section's text: what it does not hold is left empty, and nothing
 * across sections is checked. */
int Config_ParseSection(const char *text, size_t len, struct config *out,
                        struct conf_errors *errors);
/* Fit for CLEANUP. */
void Config_Free(struct config *c);

/* A further check of a document that is right otherwise, such as the exact
 * feasibility of its guarantees. It reports through Conf_Add. */
typedef void (*config_check_fn)(const struct config *c,
                                struct conf_errors *errors);
/* Sets the further check of Config_Parse; NULL: none. */
void Config_SetCheck(config_check_fn check);

/* Reads a shape's words. ERR_OK or ERR_INVALID. */
int Config_ParseShape(const char *text, struct shape *out);

/* Adds the canonical text: every key, defaults too, in a fixed order. Parsed
 * again it gives an equal document. */
void Config_Render(const struct config *c, struct buf *out);
/* As Config_Render, as JSON with the same keys. */
void Config_RenderJson(const struct config *c, struct buf *out);
/* Adds {"errors":[{"line","key","what","allowed"}],"more":n}. */
void Config_RenderErrors(const struct conf_errors *errors, struct buf *out);

/* Adds a line for each difference, by path: "organisations[a].weight: 1 ->
 * 2", "services[x]: added". Items are matched by their names, where they have
 * one. Returns the number of lines; 0 means equal. */
size_t Config_Diff(const struct config *a, const struct config *b,
                   struct buf *out);

/* ---- sections ------------------------------------------------------------
 */

/* One part of the canonical text: "general" (version, weights), "topology",
 * "operators", "organisation/<name>" for each, "classes", "services". */
struct config_section {
    char *name;
    struct buf text;
    char hash[DIGEST_HEX_SIZE];
};

struct config_sections {
    struct config_section *at;
    size_t count;
};

/* Cuts a document into its sections; out is overwritten. */
void Config_Sections(const struct config *c, struct config_sections *out);
void Config_FreeSections(struct config_sections *s);

/* The list of a document's sections, small enough to go to every process. */
struct config_index_entry {
    char *name;
    char *hash;
    int64_t bytes;
    int line;
};

struct config_index {
    struct conf_list sections; /* struct config_index_entry */
};

void Config_RenderIndex(const struct config_sections *s, struct buf *out);
int Config_ParseIndex(const char *text, size_t len, struct config_index *out,
                      struct conf_errors *errors);
void Config_FreeIndex(struct config_index *index);

/* ---- looking up ------------------------------------------------------------
 */

/* Where a worker is. */
struct config_place {
    const struct config_region *region;
    const struct config_domain *domain;
    const struct config_rack *rack;
    const struct config_worker *worker;
};

/* NULL when there is none. */
const struct config_organisation *
Config_FindOrganisation(const struct config *c, const char *name);
const struct config_class *Config_FindClass(const struct config *c,
                                            const char *name);
const struct config_service *Config_FindService(const struct config *c,
                                                const char *name);
const struct config_domain *Config_FindDomain(const struct config *c,
                                              const char *name);
/* ERR_OK or ERR_NOTFOUND. */
int Config_FindWorker(const struct config *c, const char *name,
                      struct config_place *out);
/* True when the organisation may call the service. */
bool Config_Allows(const struct config_service *service,
                   const char *organisation);
/* The class of a request to the service: the named one, or the first when
 * name is NULL. NULL when the service does not take that class. */
const struct config_class *Config_ClassOf(const struct config *c,
                                          const struct config_service *service,
                                          const char *name);
/* The holder of a bearer token, NULL when it is nobody's. The token is hashed
 * and compared with every hash in constant time. */
const struct config_organisation *
Config_OrganisationOfToken(const struct config *c, const char *token);
const struct config_operator *Config_OperatorOfToken(const struct config *c,
                                                     const char *token);

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

/* The profile of a process that runs on a platform with a store of its own,
 * where jobs of steps come from the platform's callers and run on its
 * workers. Addresses are "ip:port". */
#define PROFILE_HOSTED "hosted"

struct hosted_settings {
    char *store;   /* entry: the platform's store; NULL: not hosted */
    char *callers; /* entry: where callers connect */
    char *ready;   /* entry: where the balancer asks */
    char *advice;  /* entry: the platform's adviser; NULL: none */
    char *links;   /* entry: where agents and entries connect */
    char *beats;   /* agent: where its worker reports */
    char *worker;  /* agent: the worker's calls; NULL: not hosted */
    char *metrics; /* agent: where it shows its counters; NULL: nowhere */
    char *remote_factor; /* slow-down away from the data, a number */
    int64_t lease_ms;    /* of what runs, on the worker's clock */
    int64_t early_ms;    /* before its due time a job may start */
    int64_t keep_s;      /* an ended job is shown for so long */
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
    struct hosted_settings hosted;
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
    int64_t announce_port;             /* -1: none, 0: any free one */
    struct platform_settings platform; /* both NULL: not used */
    int64_t lease_ms;                  /* of a reservation, on own clock */
    int64_t drain_ms;
    int64_t log_level; /* enum log_level */
    struct link_key_settings link_keys;
    struct hosted_settings hosted;
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
/* True for "ip:port" of an address that can be reached. */
bool Settings_IsAddress(const char *text);
/* True for an HTTP URL with a host, without spaces, query or last slash. */
bool Settings_IsUrl(const char *text);

#ifdef __cplusplus
}
#endif

#endif
