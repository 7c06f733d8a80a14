#include "entry.h"

#include "cells.h"

#include <stdlib.h>
#include <string.h>

/* GET /v1/overview: the document that the console shows, built from the state
 * of this process's tasks. */

static SLIST_HEAD(, overview_part) parts = SLIST_HEAD_INITIALIZER(parts);

struct overview {
    struct task task;
    struct config_snapshot *active_config;
};

/* Adds a part in order of its rank; runs before main. */
void
Overview_Register(struct overview_part *part)
{
    struct overview_part *p, *after = NULL;

    SLIST_FOREACH (p, &parts, entry) {
        if (p->rank <= part->rank) {
            after = p;
        }
    }
    if (after == NULL) {
        SLIST_INSERT_HEAD(&parts, part, entry);
        return;
    }
    SLIST_INSERT_AFTER(after, part, entry);
}

/* Returns the accelerators of a failure domain's largest worker. */
static int64_t
largest_worker(const struct config_domain *d)
{
    int64_t most = 0;

    for (size_t i = 0; i < d->racks.count; i++) {
        const struct config_rack *r =
            CONFIG_AT(d->racks, struct config_rack, i);

        for (size_t j = 0; j < r->workers.count; j++) {
            const struct config_worker *w =
                CONFIG_AT(r->workers, struct config_worker, j);

            most = w->accelerators > most ? w->accelerators : most;
        }
    }
    return most;
}

/* Returns the accelerators that one shape of a guarantee takes in a failure
 * domain; 0 if it can't be placed there. */
static int64_t
shape_accelerators(const struct config_domain *d,
                   const struct config_guarantee *g)
{
    struct cells_shape shape;
    const char *allowed;
    int64_t cells = 0;

    if (*g->failure_domain == '\0' ||
        strcmp(g->failure_domain, d->name) == 0) {
        cells = Feasible_Shape(d, &g->shape, &shape, &allowed);
    }
    if (cells == 0) {
        return 0;
    }
    return cells * (shape.workers > 0 ? shape.workers * largest_worker(d)
                                      : shape.accelerators);
}

/* Returns the accelerators of a guarantee, as of the first failure domain in
 * which its shape can be placed. */
static int64_t
guaranteed_accelerators(const struct config *doc,
                        const struct config_guarantee *g)
{
    for (size_t i = 0; i < doc->topology.regions.count; i++) {
        const struct config_region *r =
            CONFIG_AT(doc->topology.regions, struct config_region, i);

        for (size_t j = 0; j < r->failure_domains.count; j++) {
            int64_t size = shape_accelerators(
                CONFIG_AT(r->failure_domains, struct config_domain, j), g);

            if (size > 0) {
                return size * g->count;
            }
        }
    }
    return 0;
}

/* Adds the organisations with the accelerators that they are guaranteed. */
static void
fill_organisations(struct kernel *k UNUSED, const struct config *doc,
                   json_t *view)
{
    json_t *list = json_array();

    for (size_t i = 0; i < doc->organisations.count; i++) {
        const struct config_organisation *o =
            CONFIG_AT(doc->organisations, struct config_organisation, i);
        int64_t sum = 0;

        for (size_t j = 0; j < o->guarantees.count; j++) {
            sum += guaranteed_accelerators(
                doc, CONFIG_AT(o->guarantees, struct config_guarantee, j));
        }
        json_array_append_new(list,
                              json_pack("{s:s, s:I, s:i, s:i}", "name",
                                        o->name, "guaranteed", (json_int_t)sum,
                                        "used", 0, "lent", 0));
    }
    json_object_set_new(view, "organisations", list);
}

static struct overview_part organisations_part = {0, fill_organisations, {0}};
OVERVIEW_PART(organisations_part)

/* Builds a worker of the view, with all its accelerators free. */
static json_t *
worker_view(const json_t *agent)
{
    static const char *const keys[] = {"name", "domain", "rack", "state"};
    json_int_t n = json_integer_value(json_object_get(agent, "accelerators"));
    json_t *worker = json_object();
    json_t *accelerators = json_array();

    for (size_t i = 0; i < COUNT_OF(keys); i++) {
        json_object_set(worker, keys[i], json_object_get(agent, keys[i]));
    }
    while (n-- > 0) {
        json_array_append_new(accelerators, json_null());
    }
    json_object_set_new(worker, "accelerators", accelerators);
    return worker;
}

/* Adds the workers of all agents that this entry knows, also of silent ones.
 */
static void
fill_workers(struct kernel *k, const struct config *doc UNUSED, json_t *view)
{
    struct task *members = Kernel_FindTask(k, "members");
    json_t *state = members->ops->state(members);
    json_t *list = json_array();
    json_t *agent;
    size_t i;

    json_array_foreach(json_object_get(state, "agents"), i, agent)
    {
        json_array_append_new(list, worker_view(agent));
    }
    json_object_set_new(view, "workers", list);
    json_decref(state);
}

static struct overview_part workers_part = {1, fill_workers, {0}};
OVERVIEW_PART(workers_part)

/* GET /v1/overview */
static void
get_overview(struct task *t, struct http_exchange *ex,
             const char *segment UNUSED)
{
    struct overview *o = (struct overview *)t;
    struct overview_part *p;
    json_t *view;

    if (Operators_Identify(o->active_config, ex) == NULL) {
        return;
    }
    view = json_pack("{s:s, s:I, s:[]}", "process", t->kernel->name, "epoch",
                     (json_int_t)o->active_config->epoch, "queue");
    SLIST_FOREACH (p, &parts, entry) {
        p->fill(t->kernel, &o->active_config->doc, view);
    }
    Front_ReplyJson(ex, 200, view);
}

static struct front_route overview_route = {
    "GET", "/v1/overview", "overview", get_overview, {0}};
FRONT_ROUTE(overview_route)

/* Handles HTTP requests and config notes. */
static void
overview_receive(struct task *t, struct message *m)
{
    struct overview *o = (struct overview *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    ConfigSnapshot_Unref(o->active_config);
    o->active_config =
        ConfigSnapshot_Ref(((struct config_note *)m)->active_config);
}

/* Releases the configuration and frees the task. */
static void
overview_free(struct task *t)
{
    ConfigSnapshot_Unref(((struct overview *)t)->active_config);
    free(t);
}

static const struct task_ops overview_ops = {
    .name = "overview",
    .receive = overview_receive,
    .free = overview_free,
};

/* Creates the task and subscribes it to the configuration. */
static int
start(struct kernel *k)
{
    struct overview *o = Mem_Zero(1, sizeof(*o));

    Kernel_AddTask(k, &o->task, &overview_ops);
    Configs_Subscribe(k, "overview");
    return ERR_OK;
}

static struct plugin overview_plugin = {
    .name = "overview", .rank = 70, .start = start};
KERNEL_PLUGIN(overview_plugin)
