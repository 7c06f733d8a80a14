#include "cells-impl.h"

#include <string.h>

#define REASON(r, name) [r] = (name)

static const char *const reasons[] = {
    REASON(CELLS_CLAIM_VALID, "rightful"),
    REASON(CELLS_CLAIM_CLAIMANT_BEHIND, "claim_is_old"),
    REASON(CELLS_CLAIM_AGENT_BEHIND, "agent_is_behind"),
    REASON(CELLS_CLAIM_NOT_BOUND, "not_bound"),
    REASON(CELLS_CLAIM_IN_USE, "held"),
    REASON(CELLS_CLAIM_EMPTY, "empty"),
};

/* The reason's name in logs and replies. */
const char *
Cells_ClaimName(enum cells_claim_reason reason)
{
    return (size_t)reason < COUNT_OF(reasons) ? reasons[reason] : "unnamed";
}

/* Mask of this worker's accelerators that are bound to an organisation. */
static uint64_t
bound_to(const struct cells_local *local, const char *organisation)
{
    uint64_t mask = 0;

    for (int i = 0; i < local->bindings; i++) {
        if (strcmp(local->binding[i].organisation, organisation) == 0) {
            mask |= local->binding[i].mask;
        }
    }
    return mask;
}

/* Decides on a claim from the agent's own data. The claimant's version of the
 * bindings must equal the agent's: with older bindings two organisations could
 * both be granted the same accelerators, and each would displace the other's
 * guaranteed job. */
struct cells_claim
Cells_Claim(const struct cells_local *local, const char *organisation,
            uint64_t mask, uint64_t version)
{
    struct cells_claim v = {.reason = CELLS_CLAIM_VALID,
                            .version = local->version};

    v.bound = bound_to(local, organisation);
    if (mask == 0) {
        v.reason = CELLS_CLAIM_EMPTY;
    }
    else if (version != local->version) {
        v.reason = version < local->version ? CELLS_CLAIM_CLAIMANT_BEHIND
                                            : CELLS_CLAIM_AGENT_BEHIND;
    }
    else if ((mask & v.bound) != mask) {
        v.reason = CELLS_CLAIM_NOT_BOUND;
    }
    for (int i = 0; i < local->jobs && v.reason == CELLS_CLAIM_VALID; i++) {
        const struct cells_local_job *job = &local->job[i];

        if ((job->mask & mask) == 0) {
            continue;
        }
        if (job->guaranteed || v.displaced == CELLS_ACCELERATORS_MAX) {
            v.reason = CELLS_CLAIM_IN_USE;
            v.holder = job->job;
            v.displaced = 0;
            break;
        }
        v.displace[v.displaced++] = job->job;
    }
    return v;
}

/* Finds an organisation among the entries written so far, or NULL. */
static struct cells_local_binding *
binding_of(struct cells_local_binding *out, int n, const char *organisation)
{
    for (int i = 0; i < n; i++) {
        if (strcmp(out[i].organisation, organisation) == 0) {
            return &out[i];
        }
    }
    return NULL;
}

/* Collects one worker's bindings, one mask for each organisation. */
int
Cells_LocalBindings(const struct cells *c, int worker,
                    struct cells_local_binding *out, int max)
{
    const struct worker *w = Topo_Worker(c, worker);
    struct cells_local_binding all[CELLS_ACCELERATORS_MAX] = {0};
    int n = 0;

    if (w == NULL) {
        return 0;
    }
    for (int i = 0; i < w->info.accelerators; i++) {
        const struct cell *cell = w->slot[i].cell;
        struct cells_local_binding *b;

        if (cell == NULL) {
            continue;
        }
        b = binding_of(all, n, cell->org->name);
        if (b == NULL) {
            b = &all[n++];
            Str_Copy(b->organisation, sizeof(b->organisation),
                     cell->org->name);
        }
        b->mask |= UINT64_C(1) << i;
    }
    for (int i = 0; i < n && i < max; i++) {
        out[i] = all[i];
    }
    return n;
}

/* The version of the bindings that the worker's agent should have; 0 for an
 * unused index. */
uint64_t
Cells_WorkerVersion(const struct cells *c, int worker)
{
    const struct worker *w = Topo_Worker(c, worker);

    return w ? w->binding_version : 0;
}
