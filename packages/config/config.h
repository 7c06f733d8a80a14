/*
 * config: the configuration files that operators write.
 *
 * Settings are the YAML file of one process: its location, the addresses where
 * it listens and the services that it uses. They are read once, when the
 * process starts.
 *
 * The document is the one configuration of a whole deployment: topology,
 * organisations and their guarantees, classes of work, services, weights. It
 * is edited as a whole, checked as a whole, and takes effect everywhere at
 * once. Its canonical text is split into sections, each identified by its
 * hash, so that a process fetches only the sections that it needs and that
 * have changed.
 *
 * Both are parsed by tables of keys (Conf in base.h): all mistakes are
 * reported together, each with its line, its key, what is wrong and what is
 * allowed.
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

/* The resources of one guarantee, written as "accelerators: 4", "worker",
 * "workers: 3", "rack" or "racks: 2". The accelerators are all in one worker,
 * the workers or racks all in one failure domain. */
struct shape {
    enum shape_kind kind;
    int64_t size; /* number of accelerators, workers or racks */
};

/* `count` shapes, each of which the organisation may reclaim at any time. */
struct config_guarantee {
    char *shape_text;
    int64_t count;
    char failure_domain[NAME_SIZE]; /* "": any; each shape lies in one */
    struct shape shape;             /* parsed from shape_text */
    int line;
};

struct config_organisation {
    char name[NAME_SIZE];
    struct conf_list token_hashes; /* char *: Digest_Hex of a bearer token */
    int64_t weight;              /* share of the capacity without guarantees */
    struct conf_list guarantees; /* struct config_guarantee */
    int line;
};

/* A person or tool that may read and change the document. The response to a
 * change that conflicts with another one names the operator of the latter. */
struct config_operator {
    char name[NAME_SIZE];
    struct conf_list token_hashes; /* char * */
    int line;
};

/* ---- the document: work --------------------------------------------------
 */

enum class_kind { CLASS_REQUEST, CLASS_JOB };

/* What happens to a request with an idempotency key while the table service is
 * down. Refusing it at once is safe. Serving it is a risk: its key can't be
 * claimed, so a request with the same key that reaches another entry may run a
 * second time. */
enum class_keyed { KEYED_REFUSE, KEYED_SERVE };

struct config_class {
    char name[NAME_SIZE];
    int64_t kind;        /* enum class_kind */
    int64_t priority;    /* enum priority */
    bool repeatable;     /* may be run again when its outcome is unknown */
    int64_t deadline_ms; /* of a request 1..3600000; of a job 0: none */
    int64_t grace_ms;    /* time before reclaimed work is stopped */
    bool checkpoint;     /* the job can be resumed from a checkpoint */
    int64_t keyed_when_table_down; /* enum class_keyed */
    int line;
};

struct config_service {
    char name[NAME_SIZE];
    struct conf_list organisations; /* char *: those that may call it */
    struct conf_list classes;       /* char *: of kind request; the first one
                                     * applies to requests that name none */
    int64_t request_bytes;          /* limit of a request's body */
    int64_t answer_bytes;           /* limit of a response's body */
    int64_t queue_limit;            /* most requests queued at one entry */
    bool hedge; /* send a slow repeatable request a second time */
    int line;
};

/* ---- the document as a whole ---------------------------------------------
 */

/* Weights of completion time and fragmentation in placement, each 0..100. */
struct config_weights {
    int64_t completion;
    int64_t fragmentation;
};

#define CONFIG_VERSION 1 /* of the document's format */

struct config {
    int64_t version;
    struct config_weights weights;
    struct config_topology topology;
    struct conf_list operators;     /* struct config_operator */
    struct conf_list organisations; /* struct config_organisation */
    struct conf_list classes;       /* struct config_class */
    struct conf_list services;      /* struct config_service */
};

/* Parses and checks a document (YAML or JSON): keys, types and ranges first;
 * if these are valid, names and references, and guarantees against the
 * topology. ERR_OK, or ERR_INVALID with all mistakes in errors; the caller
 * frees out with Config_Free in both cases. */
int Config_Parse(const char *text, size_t len, struct config *out,
                 struct conf_errors *errors);
/* Config_Parse for a file. */
int Config_Load(const char *path, struct config *out,
                struct conf_errors *errors);
/* Parses the text of one section. The rest of the document is left empty, and
 * rules that span several sections are not checked. */
int Config_ParseSection(const char *text, size_t len, struct config *out,
                        struct conf_errors *errors);
/* Frees what a document owns; usable with CLEANUP. */
void Config_Free(struct config *c);

/* An extra check, run on documents that pass all others, such as whether the
 * guarantees are exactly feasible. It reports mistakes with Conf_Add. */
typedef void (*config_check_fn)(const struct config *c,
                                struct conf_errors *errors);
/* Sets the extra check of Config_Parse and Config_Load; NULL: none. */
void Config_SetCheck(config_check_fn check);

/* Parses the text of a shape, such as "workers: 3". ERR_OK or ERR_INVALID. */
int Config_ParseShape(const char *text, struct shape *out);

/* Appends the canonical YAML: every key, also those with default values, in a
 * fixed order. Parsing it gives an equal document. */
void Config_Render(const struct config *c, struct buf *out);
/* Appends the document as JSON, with the same keys as Config_Render. */
void Config_RenderJson(const struct config *c, struct buf *out);
/* Appends {"errors":[{"line","key","what","allowed"}],"more":n}. */
void Config_RenderErrors(const struct conf_errors *errors, struct buf *out);

/* Appends a line for each difference, with its path: "organisations[a].weight:
 * 1 -> 2", "services[x]: added". List items are matched by name if they have
 * one, else by index. Returns the number of lines; 0 means equal. */
size_t Config_Diff(const struct config *a, const struct config *b,
                   struct buf *out);

/* ---- sections ------------------------------------------------------------
 */

/* One section of the canonical text: "general" (version, weights), "topology",
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

/* Splits a document into its sections; out is overwritten without being freed,
 * and the caller frees it with Config_FreeSections. */
void Config_Sections(const struct config *c, struct config_sections *out);
void Config_FreeSections(struct config_sections *s);

/* An entry in the index of a document's sections. The index is small enough to
 * be sent to every process. */
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

/* ---- lookup ----------------------------------------------------------------
 */

/* The location of a worker in the topology. */
struct config_place {
    const struct config_region *region;
    const struct config_domain *domain;
    const struct config_rack *rack;
    const struct config_worker *worker;
};

/* Look up an item by its name; NULL when there is none. */
const struct config_organisation *
Config_FindOrganisation(const struct config *c, const char *name);
const struct config_class *Config_FindClass(const struct config *c,
                                            const char *name);
const struct config_service *Config_FindService(const struct config *c,
                                                const char *name);
const struct config_domain *Config_FindDomain(const struct config *c,
                                              const char *name);
/* Looks up a worker by its name. ERR_OK or ERR_NOTFOUND. */
int Config_FindWorker(const struct config *c, const char *name,
                      struct config_place *out);
/* True when the organisation may call the service. */
bool Config_Allows(const struct config_service *service,
                   const char *organisation);
/* Returns the class of a request to the service: the named one, or the first
 * of the service when name is NULL. NULL when the service doesn't accept that
 * class. */
const struct config_class *Config_ClassOf(const struct config *c,
                                          const struct config_service *service,
                                          const char *name);
/* Return the holder of a bearer token, NULL for an unknown token. The token is
 * hashed and compared with every hash in constant time. */
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
 * shared by all processes of a deployment; clients that do not hold it are
 * refused. Both NULL: links are neither encrypted nor authenticated. */
struct link_key_settings {
    char *public_file;
    char *secret_file;
};

struct listen_settings {
    char *address;     /* IP address where others reach this process */
    int64_t http_port; /* callers and operators; 0: any free port */
    int64_t link_port; /* agents and other entries; 0: any free port */
};

/* Limits on requests and connections of callers. */
struct limit_settings {
    int64_t body_bytes; /* of a request's body; a service may set less */
    int64_t header_bytes;
    int64_t connections;
    int64_t idle_ms; /* connections without traffic for this are closed */
    int64_t deadline_ms_max;
};

/* The hosted profile: the process runs on a platform with its own store, whose
 * callers submit jobs with steps that run on the platform's workers. Addresses
 * are "ip:port". */
#define PROFILE_HOSTED "hosted"

/* Parts of the scheduler that a deployment switches on. */
struct scheduling_settings {
    bool departures; /* leaving, flapping and failing workers */
    bool speeds;     /* how fast each machine runs tasks */
    bool preemption; /* evictions are decided by what they gain and cost */
    bool timeline;   /* predicted room, reservations and backfill */
    bool shares;     /* fair shares between organisations */
    bool admission;  /* jobs that can't be of use are refused */
    bool learned;    /* what was learned outlives the owner */
};

struct hosted_settings {
    char *store;         /* entry: the platform's store; NULL: not hosted */
    char *callers;       /* entry: listens here for callers */
    char *ready;         /* entry: answers the load balancer here */
    char *advice;        /* entry: the platform's adviser; NULL: none */
    char *links;         /* entry: listens here for agents and entries */
    char *beats;         /* agent: listens here for its worker's reports */
    char *worker;        /* agent: the worker's API; NULL: not hosted */
    char *metrics;       /* agent: serves its metrics here; NULL: doesn't */
    char *remote_factor; /* slow-down away from the data, as a decimal */
    int64_t lease_ms;    /* of runs, on the worker's clock */
    int64_t stop_ms;     /* longest time that a worker takes for a stop */
    int64_t early_ms;    /* a job may start this long before it is due */
    int64_t keep_s;      /* ended jobs can be queried for this long */
    /* What this machine has for the process, as decimals; "0": not known.
     * Entries with the most of it become coordinators. */
    char *processor_share;
    char *processor_speed; /* of that share, relative to other machines */
    char *link_mbps;
    char *memory_mb;
    int64_t redials_per_s; /* silent links that are replaced a second */
    struct scheduling_settings scheduling;
};

/* Settings of an entry (parsleyfall serve). */
struct entry_settings {
    char name[NAME_SIZE];
    char region[NAME_SIZE];
    char failure_domain[NAME_SIZE];
    struct listen_settings listen;
    struct conf_list seeds; /* char *: "ip:port" of entries' link ports */
    struct platform_settings platform;
    struct limit_settings limits;
    int64_t drain_ms;         /* longest wait for requests in progress */
    int64_t log_level;        /* enum log_level */
    char *configuration_file; /* the document to use while the table has
                               * none; NULL: none */
    struct link_key_settings link_keys;
    struct hosted_settings hosted;
};

/* One service of the upstream on an agent's machine. */
struct upstream_settings {
    char name[NAME_SIZE];
    char *url;
    int64_t slots;       /* most requests that it processes at a time */
    int64_t connections; /* most TCP connections, >= slots */
    int64_t timeout_ms;  /* longest pause within one exchange */
    int line;
};

/* Settings of an agent (parsleyfall-agent run). */
struct agent_settings {
    char *file;           /* that they were read from; NULL: none */
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
    int64_t lease_ms; /* of a reservation, on the agent's clock */
    int64_t drain_ms;
    int64_t log_level; /* enum log_level */
    struct link_key_settings link_keys;
    struct hosted_settings hosted;
};

/* Read and check a settings file. ERR_OK, or ERR_INVALID with all mistakes in
 * errors; the caller frees out in both cases. */
int Settings_LoadEntry(const char *path, struct entry_settings *out,
                       struct conf_errors *errors);
int Settings_LoadAgent(const char *path, struct agent_settings *out,
                       struct conf_errors *errors);
/* Parse and check settings from memory, like Settings_LoadEntry and
 * Settings_LoadAgent. */
int Settings_ParseEntry(const char *text, size_t len,
                        struct entry_settings *out,
                        struct conf_errors *errors);
int Settings_ParseAgent(const char *text, size_t len,
                        struct agent_settings *out,
                        struct conf_errors *errors);
/* Reads the settings file of an agent again and replaces the list by its
 * seeds. On an error the list stays as it is. */
int Settings_ReadAgentSeeds(const char *path, struct conf_list *seeds);
void Settings_FreeSeeds(struct conf_list *seeds);
/* Free what the settings own; usable with CLEANUP. */
void Settings_FreeEntry(struct entry_settings *s);
void Settings_FreeAgent(struct agent_settings *s);

/* Splits "ip:port" or "[ip]:port". ERR_OK, or ERR_INVALID for a wrong form, a
 * wildcard address or port 0. */
int Settings_SplitAddress(const char *text, char ip[NAME_SIZE], int *port);
/* True for what Settings_SplitAddress accepts. */
bool Settings_IsAddress(const char *text);
/* True for an http or https URL with a host and without spaces, query,
 * fragment or trailing slash. */
bool Settings_IsUrl(const char *text);

#ifdef __cplusplus
}
#endif

#endif
