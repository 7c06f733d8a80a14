#include "config-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 128

/* A name in the document, with its line and key. */
struct name_entry {
    const char *name;
    int line;
    size_t order; /* of appearance */
    char key[KEY_SIZE];
};

/* Names that must be unique. The set is sorted before lookups, so that
 * checking a large document takes O(n log n) instead of O(n^2) time. */
struct name_set {
    struct name_entry *at;
    size_t count;
    size_t cap;
};

/* Frees a set when its scope ends. */
static void
free_set(struct name_set *s)
{
    free(s->at);
}

/* Adds a name with its line; its key is formatted from the last arguments. */
static void PRINTFLIKE(4, 5) add_name(struct name_set *s, const char *name,
                                      int line, const char *key, ...)
{
    struct name_entry *e;
    va_list ap;

    if (s->count == s->cap) {
        s->cap = s->cap ? s->cap * 2 : 64;
        s->at = Mem_Grow(s->at, s->cap * sizeof(*s->at));
    }
    e = &s->at[s->count];
    e->name = name;
    e->line = line;
    e->order = s->count++;
    va_start(ap, key);
    vsnprintf(e->key, sizeof(e->key), key, ap);
    va_end(ap);
}

/* Compares entries by name, then by their order in the document. */
static int
compare_entries(const void *a, const void *b)
{
    const struct name_entry *x = a, *y = b;
    int rc = strcmp(x->name, y->name);

    return rc != 0 ? rc : (x->order > y->order) - (x->order < y->order);
}

/* Sorts a set and reports each repeated name. The message contains at most 12
 * characters of it, as it may be the hash of a secret. */
static void
check_duplicates(struct name_set *s, struct conf_errors *errors)
{
    const struct name_entry *first = s->at;

    if (s->count == 0) {
        return;
    }
    qsort(s->at, s->count, sizeof(*s->at), compare_entries);
    for (size_t i = 1; i < s->count; i++) {
        if (strcmp(first->name, s->at[i].name) != 0) {
            first = &s->at[i];
            continue;
        }
        Conf_Add(errors, s->at[i].line, s->at[i].key,
                 "a name that is not used yet",
                 "'%.12s%s' stands twice, first in line %d", first->name,
                 strlen(first->name) > 12 ? "..." : "", first->line);
    }
}

/* True when a sorted set holds a name. */
static bool
has_name(const struct name_set *s, const char *name)
{
    struct name_entry want = {.name = name};
    size_t low = 0, high = s->count, mid;
    int rc;

    while (low < high) {
        mid = (low + high) / 2;
        rc = strcmp(want.name, s->at[mid].name);
        if (rc == 0) {
            return true;
        }
        if (rc < 0) {
            high = mid;
        }
        else {
            low = mid + 1;
        }
    }
    return false;
}

/* Collects the names of a failure domain's workers, and checks those of its
 * racks, which must be unique within the failure domain only. */
static void
collect_racks(const struct config_domain *d, const char *key,
              struct name_set *workers, struct conf_errors *errors)
{
    struct name_set racks CLEANUP(free_set) = {0};
    const struct config_rack *r;
    const struct config_worker *w;

    for (size_t i = 0; i < d->racks.count; i++) {
        r = CONFIG_AT(d->racks, struct config_rack, i);
        add_name(&racks, r->name, r->line, "%s.racks[%zu].name", key, i);
        for (size_t j = 0; j < r->workers.count; j++) {
            w = CONFIG_AT(r->workers, struct config_worker, j);
            add_name(workers, w->name, w->line,
                     "%s.racks[%zu].workers[%zu].name", key, i, j);
        }
    }
    check_duplicates(&racks, errors);
}

/* Checks the names in the topology and collects those of its failure domains,
 * sorted. */
static void
check_topology(const struct config_topology *t, struct name_set *domains,
               struct conf_errors *errors)
{
    struct name_set regions CLEANUP(free_set) = {0};
    struct name_set workers CLEANUP(free_set) = {0};
    const struct config_region *r;
    const struct config_domain *d;
    char key[KEY_SIZE];

    for (size_t i = 0; i < t->regions.count; i++) {
        r = CONFIG_AT(t->regions, struct config_region, i);
        add_name(&regions, r->name, r->line, "topology.regions[%zu].name", i);
        for (size_t j = 0; j < r->failure_domains.count; j++) {
            d = CONFIG_AT(r->failure_domains, struct config_domain, j);
            snprintf(key, sizeof(key),
                     "topology.regions[%zu].failure_domains[%zu]", i, j);
            add_name(domains, d->name, d->line, "%s.name", key);
            collect_racks(d, key, &workers, errors);
        }
    }
    check_duplicates(&regions, errors);
    check_duplicates(domains, errors);
    check_duplicates(&workers, errors);
}

/* Reports guarantees in unknown failure domains. */
static void
check_guarantees(const struct config_organisation *o, size_t index,
                 const struct name_set *domains, struct conf_errors *errors)
{
    const struct config_guarantee *g;
    char key[KEY_SIZE];

    for (size_t i = 0; i < o->guarantees.count; i++) {
        g = CONFIG_AT(o->guarantees, struct config_guarantee, i);
        if (*g->failure_domain == '\0' ||
            has_name(domains, g->failure_domain)) {
            continue;
        }
        snprintf(key, sizeof(key),
                 "organisations[%zu].guarantees[%zu].failure_domain", index,
                 i);
        Conf_Add(errors, g->line, key,
                 "a failure domain of the topology, or none for any",
                 "there is no failure domain '%s'", g->failure_domain);
    }
}

/* Adds the token hashes of one holder to the set of all. */
static void
collect_hashes(const struct conf_list *hashes, const char *list, size_t index,
               int line, struct name_set *all)
{
    for (size_t i = 0; i < hashes->count; i++) {
        add_name(all, *CONFIG_AT(*hashes, char *, i), line,
                 "%s[%zu].token_hashes[%zu]", list, index, i);
    }
}

/* Checks names and tokens of organisations and operators. No two of them may
 * hold the same token, as it identifies the caller. */
static void
check_token_holders(const struct config *c, struct name_set *organisations,
                    const struct name_set *domains, struct conf_errors *errors)
{
    struct name_set operators CLEANUP(free_set) = {0};
    struct name_set hashes CLEANUP(free_set) = {0};
    const struct config_organisation *o;
    const struct config_operator *p;

    for (size_t i = 0; i < c->organisations.count; i++) {
        o = CONFIG_AT(c->organisations, struct config_organisation, i);
        add_name(organisations, o->name, o->line, "organisations[%zu].name",
                 i);
        collect_hashes(&o->token_hashes, "organisations", i, o->line, &hashes);
        check_guarantees(o, i, domains, errors);
    }
    for (size_t i = 0; i < c->operators.count; i++) {
        p = CONFIG_AT(c->operators, struct config_operator, i);
        add_name(&operators, p->name, p->line, "operators[%zu].name", i);
        collect_hashes(&p->token_hashes, "operators", i, p->line, &hashes);
    }
    check_duplicates(organisations, errors);
    check_duplicates(&operators, errors);
    check_duplicates(&hashes, errors);
}

/* Checks the list of organisations that may call a service. */
static void
check_service_callers(const struct config_service *s, size_t index,
                      const struct name_set *organisations,
                      struct conf_errors *errors)
{
    struct name_set allowed CLEANUP(free_set) = {0};
    const char *name;
    char key[KEY_SIZE];

    for (size_t i = 0; i < s->organisations.count; i++) {
        name = *CONFIG_AT(s->organisations, char *, i);
        snprintf(key, sizeof(key), "services[%zu].organisations[%zu]", index,
                 i);
        add_name(&allowed, name, s->line, "%s", key);
        if (!has_name(organisations, name)) {
            Conf_Add(errors, s->line, key, "an organisation of this document",
                     "there is no organisation '%s'", name);
        }
    }
    check_duplicates(&allowed, errors);
}

/* Checks the list of classes that a service accepts. */
static void
check_service_classes(const struct config *c, const struct config_service *s,
                      size_t index, struct conf_errors *errors)
{
    struct name_set classes CLEANUP(free_set) = {0};
    const struct config_class *class;
    const char *name;
    char key[KEY_SIZE];

    for (size_t i = 0; i < s->classes.count; i++) {
        name = *CONFIG_AT(s->classes, char *, i);
        class = Config_FindClass(c, name);
        snprintf(key, sizeof(key), "services[%zu].classes[%zu]", index, i);
        add_name(&classes, name, s->line, "%s", key);
        if (class == NULL) {
            Conf_Add(errors, s->line, key, "a class of this document",
                     "there is no class '%s'", name);
        }
        else if (class->kind != CLASS_REQUEST) {
            Conf_Add(errors, s->line, key, "a class of kind request",
                     "the class '%s' is for jobs", name);
        }
    }
    check_duplicates(&classes, errors);
}

/* Checks the names of services and their references. */
static void
check_services(const struct config *c, const struct name_set *organisations,
               struct conf_errors *errors)
{
    struct name_set services CLEANUP(free_set) = {0};
    const struct config_service *s;

    for (size_t i = 0; i < c->services.count; i++) {
        s = CONFIG_AT(c->services, struct config_service, i);
        add_name(&services, s->name, s->line, "services[%zu].name", i);
        check_service_callers(s, i, organisations, errors);
        check_service_classes(c, s, i, errors);
    }
    check_duplicates(&services, errors);
}

/* Checks that the names of classes are unique. */
static void
check_class_names(const struct config *c, struct conf_errors *errors)
{
    struct name_set classes CLEANUP(free_set) = {0};
    const struct config_class *k;

    for (size_t i = 0; i < c->classes.count; i++) {
        k = CONFIG_AT(c->classes, struct config_class, i);
        add_name(&classes, k->name, k->line, "classes[%zu].name", i);
    }
    check_duplicates(&classes, errors);
}

/* Checks that names are unique and that every reference exists. */
void
config_check_names(const struct config *c, struct conf_errors *errors)
{
    struct name_set domains CLEANUP(free_set) = {0};
    struct name_set organisations CLEANUP(free_set) = {0};

    check_topology(&c->topology, &domains, errors);
    check_token_holders(c, &organisations, &domains, errors);
    check_class_names(c, errors);
    check_services(c, &organisations, errors);
}
