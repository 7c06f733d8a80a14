#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The placement state of the owner's region, struct cells: topology and
 * guarantees from the configuration, and the accelerators that jobs hold. */

/* Adds the workers of this region. Their states are set afterwards, by
 * Placement_SetAllWorkers. */
static void
add_workers(struct cells *c, const struct config_region *region)
{
    size_t d, r, w;

    for (d = 0; d < region->failure_domains.count; d++) {
        const struct config_domain *domain =
            CONFIG_AT(region->failure_domains, struct config_domain, d);

        for (r = 0; r < domain->racks.count; r++) {
            const struct config_rack *rack =
                CONFIG_AT(domain->racks, struct config_rack, r);

            for (w = 0; w < rack->workers.count; w++) {
                const struct config_worker *worker =
                    CONFIG_AT(rack->workers, struct config_worker, w);
                struct cells_worker_info info = {
                    .accelerators = (int)worker->accelerators};

                Str_Copy(info.name, sizeof(info.name), worker->name);
                Str_Copy(info.region, sizeof(info.region), region->name);
                Str_Copy(info.domain, sizeof(info.domain), domain->name);
                Str_Copy(info.rack, sizeof(info.rack), rack->name);
                Cells_AddWorker(c, &info);
            }
        }
    }
}

/* Adds cells of a shape to the guarantee of an organisation. */
static void
add_guarantee(struct cells *c, const char *organisation,
              struct cells_shape shape, int count)
{
    struct cells_binding b;
    int current = 0, i;

    for (i = 0; Cells_Binding(c, i, &b); i++) {
        current += strcmp(b.organisation, organisation) == 0 &&
                   b.shape.workers == shape.workers &&
                   b.shape.accelerators == shape.accelerators;
    }
    if (Cells_SetGuarantee(c, organisation, shape, current + count) !=
        ERR_OK) {
        LOG_E("guarantee_refused", KV("organisation", organisation),
              KV_INT("cells", count));
    }
}

/* Adds this region's shares of all guarantees. They are divided by the same
 * function as in the check of the document: with another division, the
 * guarantees of an accepted document might not fit at the owner. */
static void
add_guarantees(struct cells *c, const struct config *doc,
               const struct config_region *region)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    size_t count, i;
    struct feasible_share *shares CLEANUP(Mem_FreeP) =
        Feasible_Divide(doc, &count, errors);

    for (i = 0; i < count; i++) {
        struct cells_shape shape = {shares[i].workers, shares[i].accelerators};

        if (shares[i].region == region) {
            add_guarantee(c, shares[i].organisation->name, shape,
                          shares[i].cells);
        }
    }
    if (errors->count > 0) {
        LOG_E("guarantees_without_place", KV("guarantee", errors->at[0].key),
              KV_INT("count", errors->count + errors->more));
    }
}

/* The entry's own region in the document, or NULL. */
static const struct config_region *
own_region(const struct sched *s)
{
    const struct conf_list *regions = &s->active_config->doc.topology.regions;
    size_t i;

    for (i = 0; i < regions->count; i++) {
        const struct config_region *r =
            CONFIG_AT(*regions, struct config_region, i);

        if (strcmp(r->name, s->settings->region) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Hash of the sections of the document that struct cells is built from. */
static uint64_t
hash_sections(const struct config *doc)
{
    struct config_sections sections;
    uint64_t hash = 1;
    size_t i;

    Config_Sections(doc, &sections);
    for (i = 0; i < sections.count; i++) {
        const char *name = sections.at[i].name;

        if (strcmp(name, "topology") == 0 ||
            strncmp(name, "organisation/", 13) == 0) {
            hash = Hash_Str(sections.at[i].hash, Hash_Str(name, hash));
        }
    }
    Config_FreeSections(&sections);
    return hash;
}

/* The state that struct cells is to have for a worker. An ejected worker gets
 * no new jobs, but what runs there goes on. */
enum cells_worker_state
Placement_WorkerState(const struct worker *w)
{
    if (!w->up) {
        return CELLS_WORKER_FAILED;
    }
    return w->leaving || w->health.state == HEALTH_EJECTED
               ? CELLS_WORKER_LEAVING
               : CELLS_WORKER_UP;
}

/* Sets the state of one worker in struct cells. */
void
Placement_SetWorker(struct sched *s, const struct worker *w)
{
    int index;

    if (s->cells == NULL || !s->owner.loaded) {
        return;
    }
    index = Cells_FindWorker(s->cells, w->name);
    if (index != CELLS_NONE) {
        Cells_SetWorkerState(s->cells, index, Placement_WorkerState(w));
        s->placement_due = true;
    }
}

/* Sets the state of every worker in struct cells; workers whose agents have
 * not reported count as failed. The bindings are restored and the jobs adopted
 * before, so cells that still have no place get one now. */
void
Placement_SetAllWorkers(struct sched *s)
{
    int i;

    for (i = 0; s->cells != NULL && i < Cells_WorkerCount(s->cells); i++) {
        const struct cells_worker_info *info = Cells_Worker(s->cells, i);
        const struct worker *w = info ? Workers_Find(s, info->name) : NULL;

        if (info != NULL) {
            Cells_SetWorkerState(s->cells, i,
                                 w ? Placement_WorkerState(w)
                                   : CELLS_WORKER_FAILED);
        }
    }
    if (s->cells != NULL) {
        Cells_Rebind(s->cells);
        s->placement_due = true;
    }
}

/* True for a job that holds accelerators in struct cells. */
static bool
is_placed(const struct job *j)
{
    return j->members > 0 && j->phase != GANG_WAITING &&
           j->phase != GANG_WRITING_OUTCOME && !j->preempted;
}

/* Builds struct cells from the document if the sections that it depends on
 * have changed, and adds the placed jobs. */
void
Placement_Rebuild(struct sched *s)
{
    const struct config_region *region;
    struct job *j;
    uint64_t hash;

    if (s->active_config == NULL) {
        return;
    }
    hash = hash_sections(&s->active_config->doc);
    region = own_region(s);
    if ((s->cells != NULL && hash == s->config_hash) || region == NULL) {
        return;
    }
    if (s->cells != NULL) {
        Placement_SerializeBindings(s);
    }
    Cells_Free(s->cells);
    s->cells = Cells_New();
    s->config_hash = hash;
    s->rebuilds++;
    add_workers(s->cells, region);
    add_guarantees(s->cells, &s->active_config->doc, region);
    Placement_RestoreBindings(s);
    RB_FOREACH (j, sched_jobs, &s->jobs) {
        if (is_placed(j) && Placement_Adopt(j) != ERR_OK) {
            LOG_W("job_off_account", KV("organisation", j->row.organisation));
        }
    }
    if (s->owner.loaded) {
        Placement_SetAllWorkers(s);
    }
    s->placement_due = true;
    LOG_I("accounts_built", KV_INT("epoch", s->active_config->epoch),
          KV_INT("workers", Cells_WorkerCount(s->cells)),
          KV_INT("cells", Cells_BindingCount(s->cells)));
}

/* Adds a running gang to struct cells. */
int
Placement_Adopt(struct job *j)
{
    struct sched *s = j->sched;
    struct cells_request r = Placement_Request(j, j->row.declared_ms);
    struct cells_part part[CELLS_TASKS_MAX];
    size_t i;

    if (s->cells == NULL || j->members > COUNT_OF(part)) {
        return ERR_CONFLICT;
    }
    for (i = 0; i < j->members; i++) {
        part[i].worker =
            Cells_FindWorker(s->cells, j->member[i].assigned.agent);
        part[i].mask = j->member[i].assigned.accelerators;
        part[i].tasks = j->member[i].assigned.tasks;
        if (part[i].worker == CELLS_NONE) {
            return ERR_CONFLICT;
        }
    }
    return Cells_Adopt(s->cells, &r, part, (int)j->members, Clock_NowMs());
}

/* Releases the accelerators of a job in struct cells. */
void
Placement_Release(struct job *j)
{
    if (j->sched->cells != NULL) {
        Cells_Release(j->sched->cells, j->cells_id);
    }
    j->sched->placement_due = true;
}
