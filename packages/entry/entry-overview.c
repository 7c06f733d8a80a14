#include "entry.h"

#include <stdlib.h>

/* GET /v1/overview: what the console shows, put together from what the tasks
 * of this process know. */

static SLIST_HEAD(, overview_part) parts = SLIST_HEAD_INITIALIZER(parts);

struct overview {
    struct task task;
    struct in_force *in_force;
};

/* Adds a part in order of its rank; called before main. */
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

/* Accelerators of a cell: whole workers count as the domain's first one. */
static int64_t
cell_size(const struct feasible_share *s)
{
    const struct config_rack *r =
        CONFIG_AT(s->domain->racks, struct config_rack, 0);

    if (s->workers == 0) {
        return s->accelerators;
    }
    return s->workers *
           CONFIG_AT(r->workers, struct config_worker, 0)->accelerators;
}

/* The organisations with the accelerators that they are guaranteed. */
static void
fill_organisations(struct kernel *k UNUSED, const struct config *doc,
                   json_t *view)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct feasible_share *shares CLEANUP(Mem_FreeP) = NULL;
    json_t *list = json_array();
    size_t count;

    shares = Feasible_Divide(doc, &count, errors);
    for (size_t i = 0; i < doc->organisations.count; i++) {
        const struct config_organisation *o =
            CONFIG_AT(doc->organisations, struct config_organisation, i);
        int64_t sum = 0;

        for (size_t j = 0; j < count; j++) {
            if (shares[j].organisation == o) {
                sum += shares[j].cells * cell_size(&shares[j]);
            }
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

/* A worker of the view, with all its accelerators free. */
static json_t *
worker_of(const json_t *agent)
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

/* The workers whose agents this entry hears or has heard. */
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
        json_array_append_new(list, worker_of(agent));
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

    if (Operators_Identify(o->in_force, ex) == NULL) {
        return;
    }
    view = json_pack("{s:s, s:I, s:[]}", "process", t->kernel->name, "epoch",
                     (json_int_t)o->in_force->epoch, "queue");
    SLIST_FOREACH (p, &parts, entry) {
        p->fill(t->kernel, &o->in_force->doc, view);
    }
    Front_ReplyJson(ex, 200, view);
}

static struct front_route overview_route = {
    "GET", "/v1/overview", "overview", get_overview, {0}};
FRONT_ROUTE(overview_route)

/* Takes requests, and the configuration. */
static void
overview_receive(struct task *t, struct message *m)
{
    struct overview *o = (struct overview *)t;

    if (Front_Handle(t, m)) {
        return;
    }
    InForce_Unref(o->in_force);
    o->in_force = InForce_Ref(((struct config_note *)m)->in_force);
}

/* Lets go of the configuration. */
static void
overview_free(struct task *t)
{
    InForce_Unref(((struct overview *)t)->in_force);
    free(t);
}

static const struct task_ops overview_ops = {
    .name = "overview",
    .receive = overview_receive,
    .free = overview_free,
};

/* Waits for the configuration. */
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
