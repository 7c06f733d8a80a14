#include "config-internal.h"

#include <string.h>

/* Finds an item by name in a list of structs that start with their name; NULL
 * when there is none. */
static const void *
find_named(const struct conf_list *list, size_t size, const char *name)
{
    const char *item = list->items;

    for (size_t i = 0; i < list->count; i++, item += size) {
        if (strcmp(item, name) == 0) {
            return item;
        }
    }
    return NULL;
}

/* Finds an organisation by name. */
const struct config_organisation *
Config_FindOrganisation(const struct config *c, const char *name)
{
    return find_named(&c->organisations, sizeof(struct config_organisation),
                      name);
}

/* Finds a class of work by name. */
const struct config_class *
Config_FindClass(const struct config *c, const char *name)
{
    return find_named(&c->classes, sizeof(struct config_class), name);
}

/* Finds a service by name. */
const struct config_service *
Config_FindService(const struct config *c, const char *name)
{
    return find_named(&c->services, sizeof(struct config_service), name);
}

/* Finds a failure domain by name, in any region. */
const struct config_domain *
Config_FindDomain(const struct config *c, const char *name)
{
    const struct config_domain *d = NULL;
    const struct config_region *r;

    for (size_t i = 0; i < c->topology.regions.count && d == NULL; i++) {
        r = CONFIG_AT(c->topology.regions, struct config_region, i);
        d = find_named(&r->failure_domains, sizeof(struct config_domain),
                       name);
    }
    return d;
}

/* Finds a worker by name in a failure domain. */
static bool
find_in_domain(const struct config_domain *d, const char *name,
               struct config_place *out)
{
    for (size_t i = 0; i < d->racks.count; i++) {
        out->rack = CONFIG_AT(d->racks, struct config_rack, i);
        out->worker = find_named(&out->rack->workers,
                                 sizeof(struct config_worker), name);
        if (out->worker != NULL) {
            out->domain = d;
            return true;
        }
    }
    return false;
}

/* Finds a worker by name, with its rack, failure domain and region. */
int
Config_FindWorker(const struct config *c, const char *name,
                  struct config_place *out)
{
    const struct config_region *r;

    memset(out, 0, sizeof(*out));
    for (size_t i = 0; i < c->topology.regions.count; i++) {
        r = CONFIG_AT(c->topology.regions, struct config_region, i);
        for (size_t j = 0; j < r->failure_domains.count; j++) {
            if (find_in_domain(
                    CONFIG_AT(r->failure_domains, struct config_domain, j),
                    name, out)) {
                out->region = r;
                return ERR_OK;
            }
        }
    }
    memset(out, 0, sizeof(*out));
    return ERR_NOTFOUND;
}

/* True when a list of strings contains the text. */
static bool
contains_text(const struct conf_list *list, const char *text)
{
    for (size_t i = 0; i < list->count; i++) {
        if (strcmp(*CONFIG_AT(*list, char *, i), text) == 0) {
            return true;
        }
    }
    return false;
}

/* True when the organisation may call the service. */
bool
Config_Allows(const struct config_service *service, const char *organisation)
{
    return contains_text(&service->organisations, organisation);
}

/* Finds the class of a request among those that the service accepts. */
const struct config_class *
Config_ClassOf(const struct config *c, const struct config_service *service,
               const char *name)
{
    if (name == NULL) {
        name = *CONFIG_AT(service->classes, char *, 0);
    }
    else if (!contains_text(&service->classes, name)) {
        return NULL;
    }
    return Config_FindClass(c, name);
}

/* True when a list contains a hash. It continues after a match, so that the
 * time taken doesn't reveal which hash matched. */
static bool
contains_hash(const struct conf_list *hashes, const char *hash)
{
    bool found = false;

    for (size_t i = 0; i < hashes->count; i++) {
        found |= Secret_Equal(*CONFIG_AT(*hashes, char *, i), hash);
    }
    return found;
}

/* Finds the organisation that holds a token. */
const struct config_organisation *
Config_OrganisationOfToken(const struct config *c, const char *token)
{
    const struct config_organisation *found = NULL, *o;
    char hash[DIGEST_HEX_SIZE];

    Digest_Hex(token, strlen(token), hash);
    for (size_t i = 0; i < c->organisations.count; i++) {
        o = CONFIG_AT(c->organisations, struct config_organisation, i);
        if (contains_hash(&o->token_hashes, hash)) {
            found = o;
        }
    }
    return found;
}

/* Finds the operator that holds a token. */
const struct config_operator *
Config_OperatorOfToken(const struct config *c, const char *token)
{
    const struct config_operator *found = NULL, *p;
    char hash[DIGEST_HEX_SIZE];

    Digest_Hex(token, strlen(token), hash);
    for (size_t i = 0; i < c->operators.count; i++) {
        p = CONFIG_AT(c->operators, struct config_operator, i);
        if (contains_hash(&p->token_hashes, hash)) {
            found = p;
        }
    }
    return found;
}
