/* Helpers that the tests of the cells package share. */
#ifndef CELLS_SUPPORT_H
#define CELLS_SUPPORT_H

#include "cells.h"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using CellsPtr = std::unique_ptr<struct cells, void (*)(struct cells *)>;

inline CellsPtr
owned(struct cells *c)
{
    return CellsPtr(c, Cells_Free);
}

/* A plan that frees its lists when it goes out of scope. */
struct Plan : cells_plan {
    Plan() : cells_plan()
    {
    }
    ~Plan()
    {
        Cells_PlanClear(this);
    }
    Plan(const Plan &) = delete;
    Plan &operator=(const Plan &) = delete;
};

/* Adds racks of these sizes, two in each failure domain. */
inline void
add_racks(struct cells *c, const std::vector<int> &racks, int accelerators)
{
    for (size_t r = 0; r < racks.size(); r++) {
        for (int i = 0; i < racks[r]; i++) {
            struct cells_worker_info info = {};

            snprintf(info.name, sizeof(info.name), "w%zu.%d", r, i);
            snprintf(info.region, sizeof(info.region), "region");
            snprintf(info.domain, sizeof(info.domain), "d%zu", r / 2);
            snprintf(info.rack, sizeof(info.rack), "r%zu", r);
            info.accelerators = accelerators;
            Cells_AddWorker(c, &info);
        }
    }
}

inline struct cells_request
request(uint64_t job, const char *organisation, int tasks, int accelerators,
        bool guaranteed)
{
    struct cells_request req = {};

    req.job = job;
    Str_Copy(req.organisation, sizeof(req.organisation), organisation);
    req.tasks = tasks;
    req.accelerators = accelerators;
    req.guaranteed = guaranteed;
    req.within = CELLS_LEVEL_ALL;
    req.estimate_ms = 3600000;
    req.checkpoint_ms = -1;
    req.grace_ms = 30000;
    return req;
}

static const struct cells_weights EVEN_WEIGHTS = {50, 50, 0};

/* Plans and commits; returns the reason of the plan. */
inline enum cells_reason
start(struct cells *c, const struct cells_request &req, int64_t now = 0,
      const struct cells_weights &weights = EVEN_WEIGHTS)
{
    Plan plan;

    Cells_Plan(c, &req, &weights, now, &plan);
    if (Cells_IsPlaced(plan.reason) && Cells_Commit(c, &plan) != ERR_OK) {
        return CELLS_NEVER_INVALID;
    }
    return plan.reason;
}

/* A plan as text, for comparison. */
inline std::string
to_text(const struct cells_plan &p)
{
    std::string s = Cells_ReasonName(p.reason);

    for (int i = 0; i < p.parts; i++) {
        s += " w" + std::to_string(p.part[i].worker) + ":" +
             std::to_string(p.part[i].mask);
    }
    for (int i = 0; i < p.victims; i++) {
        s += " -" + std::to_string(p.victim[i].job);
    }
    for (int i = 0; i < p.moves; i++) {
        s += " cell" + std::to_string(p.move[i].cell) + ">" +
             std::to_string(p.move[i].worker[0]) + ":" +
             std::to_string(p.move[i].mask[0]);
    }
    return s + " cost=" + std::to_string(p.score.cost);
}

/* The whole cluster state that callers can read, as text. */
inline std::string
to_text(const struct cells *c)
{
    std::string s = std::to_string(Cells_Version(c));
    struct cells_binding b;
    uint64_t job[CELLS_ACCELERATORS_MAX];

    for (int i = 0; Cells_Binding(c, i, &b); i++) {
        s += std::string("\n") + b.organisation + (b.used ? " used" : "") +
             (b.healthy ? " healthy" : "");
        for (int k = 0; k < b.workers; k++) {
            s += " " + std::to_string(b.worker[k]) + ":" +
                 std::to_string(b.mask[k]);
        }
    }
    for (int w = 0; w < Cells_WorkerCount(c); w++) {
        int n = Cells_JobsOnWorker(c, w, job, CELLS_ACCELERATORS_MAX);

        s += "\nw" + std::to_string(w) + " " +
             std::to_string(Cells_WorkerState(c, w));
        for (int i = 0; i < n; i++) {
            struct cells_job_info info;

            Cells_Job(c, job[i], &info);
            s += " " + std::to_string(job[i]) + (info.guaranteed ? "g" : "l") +
                 std::to_string(info.checkpoint_at);
        }
    }
    return s;
}

#endif
