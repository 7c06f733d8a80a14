#include "entry-jobs.h"

#include <stdlib.h>
#include <string.h>

/* The owner's accounts of its region: topology, guarantees and who runs where,
 * built from the configuration. */

/* Enters the workers of this region; up or not is told after. */
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

/* Adds cells of a shape to what an organisation holds. */
static void
add_cells(struct cells *c, const char *organisation, struct cells_shape shape,
          int count)
{
    struct cells_binding b;
    int had = 0, i;

    for (i = 0; Cells_Binding(c, i, &b); i++) {
        had += strcmp(b.organisation, organisation) == 0 &&
               b.shape.workers == shape.workers &&
               b.shape.accelerators == shape.accelerators;
    }
    if (Cells_SetGuarantee(c, organisation, shape, had + count) != ERR_OK) {
        LOG_E("guarantee_refused", KV("organisation", organisation),
              KV_INT("cells", count));
    }
}

/* Enters this region's shares of all guarantees. They are divided as the
 * check of the document divided them: with any other division a document
 * that was accepted could fail in an owner's account. */
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
            add_cells(c, shares[i].organisation->name, shape, shares[i].cells);
        }
    }
    if (errors->count > 0) {
        LOG_E("guarantees_without_place", KV("guarantee", errors->at[0].key),
              KV_INT("count", errors->count + errors->more));
    }
}

/* This region in the document, or NULL. */
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

/* Hash of the sections that the accounts are built from. */
static uint64_t
hash_of(const struct config *doc)
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

/* How the accounts are to see a worker. One whose tasks fail is left to what
 * runs there. */
enum cells_worker_state
Account_StateOf(const struct worker *w)
{
    if (!w->up) {
        return CELLS_WORKER_FAILED;
    }
    return w->leaving || w->health.state == HEALTH_EJECTED
               ? CELLS_WORKER_LEAVING
               : CELLS_WORKER_UP;
}

/* Tells the accounts of a worker. */
void
Account_SetWorker(struct sched *s, const struct worker *w)
{
    int index;

    if (s->cells == NULL || !s->owner.loaded) {
        return;
    }
    index = Cells_FindWorker(s->cells, w->name);
    if (index != CELLS_NONE) {
        Cells_SetWorkerState(s->cells, index, Account_StateOf(w));
        s->account_changed = true;
    }
}

/* Marks every worker as what is known of it; unknown ones as failed. Bindings
 * are taken over and jobs adopted by then, so cells without a place get one.
 */
void
Account_SetWorkers(struct sched *s)
{
    int i;

    for (i = 0; s->cells != NULL && i < Cells_WorkerCount(s->cells); i++) {
        const struct cells_worker_info *info = Cells_Worker(s->cells, i);
        const struct worker *w = info ? Workers_Find(s, info->name) : NULL;

        if (info != NULL) {
            Cells_SetWorkerState(s->cells, i,
                                 w ? Account_StateOf(w) : CELLS_WORKER_FAILED);
        }
    }
    if (s->cells != NULL) {
        Cells_Mend(s->cells);
        s->account_changed = true;
    }
}

/* True for a job that stands on the account. */
static bool
is_placed(const struct job *j)
{
    return j->members > 0 && j->phase != GANG_WAITING &&
           j->phase != GANG_SETTLING && !j->yielded;
}

/* Builds the accounts from the document, when what it says of them changed,
 * and takes in what runs. */
void
Account_Rebuild(struct sched *s)
{
    const struct config_region *region;
    struct job *j;
    uint64_t hash;

    if (s->active_config == NULL) {
        return;
    }
    hash = hash_of(&s->active_config->doc);
    region = own_region(s);
    if ((s->cells != NULL && hash == s->account_hash) || region == NULL) {
        return;
    }
    if (s->cells != NULL) {
        Account_Remember(s);
    }
    Cells_Free(s->cells);
    s->cells = Cells_New();
    s->account_hash = hash;
    s->account_count++;
    add_workers(s->cells, region);
    add_guarantees(s->cells, &s->active_config->doc, region);
    Account_Recall(s);
    RB_FOREACH (j, sched_jobs, &s->jobs) {
        if (is_placed(j) && Account_Adopt(j) != ERR_OK) {
            LOG_W("job_off_account", KV("organisation", j->row.organisation));
        }
    }
    if (s->owner.loaded) {
        Account_SetWorkers(s);
    }
    s->account_changed = true;
    LOG_I("accounts_built", KV_INT("epoch", s->active_config->epoch),
          KV_INT("workers", Cells_WorkerCount(s->cells)),
          KV_INT("cells", Cells_BindingCount(s->cells)));
}

/* Takes a gang that runs into the account. */
int
Account_Adopt(struct job *j)
{
    struct sched *s = j->sched;
    struct cells_request r = Account_Request(j, j->row.declared_ms);
    struct cells_part part[CELLS_TASKS_MAX];
    size_t i;

    if (s->cells == NULL || j->members > COUNT_OF(part)) {
        return ERR_CONFLICT;
    }
    for (i = 0; i < j->members; i++) {
        part[i].worker = Cells_FindWorker(s->cells, j->member[i].at.agent);
        part[i].mask = j->member[i].at.accelerators;
        part[i].tasks = j->member[i].at.tasks;
        if (part[i].worker == CELLS_NONE) {
            return ERR_CONFLICT;
        }
    }
    return Cells_Adopt(s->cells, &r, part, (int)j->members, Clock_NowMs());
}

/* The job is off its accelerators. */
void
Account_Release(struct job *j)
{
    if (j->sched->cells != NULL) {
        Cells_Release(j->sched->cells, j->number);
    }
    j->sched->account_changed = true;
}
