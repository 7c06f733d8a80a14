#include "cells-support.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace {

const char *const ORGS[] = {"alpha", "beta", "gamma"};

const int SHAPE_KINDS = 9;

struct Guarantee {
    int org;
    struct cells_shape shape;
};

/* ---- brute force: tries every packing of small trees -------------------- */

using Mask = uint64_t; /* all accelerators of a small tree in one word */

/* Lists every place that a shape could have. */
std::vector<Mask>
all_places(const std::vector<int> &racks, int n, struct cells_shape shape)
{
    std::vector<Mask> out;
    int worker = 0;

    for (int size : racks) {
        for (unsigned set = 1; set < 1u << size; set++) {
            if (shape.workers == 0 ||
                __builtin_popcount(set) != shape.workers) {
                continue;
            }
            Mask m = 0;
            for (int i = 0; i < size; i++) {
                m |= set >> i & 1 ? ((Mask(1) << n) - 1) << (worker + i) * n
                                  : 0;
            }
            out.push_back(m);
        }
        for (int i = 0; i < size * n && shape.workers == 0; i++) {
            if (i % n % shape.accelerators == 0 &&
                i % n + shape.accelerators <= n) {
                out.push_back(((Mask(1) << shape.accelerators) - 1)
                              << (worker * n + i));
            }
        }
        worker += size;
    }
    return out;
}

/* Searches for a packing of all guarantees beside the accelerators taken, and
 * remembers the positions that failed. */
struct Oracle {
    std::vector<std::vector<Mask>> places; /* of each guarantee */
    std::set<std::pair<size_t, Mask>> failed;

    Oracle(const std::vector<int> &racks, int n,
           const std::vector<Guarantee> &guarantees)
    {
        for (const auto &g : guarantees) {
            places.push_back(all_places(racks, n, g.shape));
        }
    }

    bool fits(size_t i, Mask taken)
    {
        if (i == places.size()) {
            return true;
        }
        if (failed.count({i, taken})) {
            return false;
        }
        for (Mask m : places[i]) {
            if ((m & taken) == 0 && fits(i + 1, taken | m)) {
                return true;
            }
        }
        failed.insert({i, taken});
        return false;
    }
};

/* Sorts equal shapes next to each other, which keeps the oracle's memory
 * small; the result doesn't depend on the order. */
bool
fits(const std::vector<int> &racks, int n, std::vector<Guarantee> guarantees,
     Mask taken)
{
    int sum = __builtin_popcountll(taken), all = 0;

    std::sort(guarantees.begin(), guarantees.end(),
              [](const Guarantee &a, const Guarantee &b) {
                  return std::make_pair(a.shape.workers,
                                        a.shape.accelerators) >
                         std::make_pair(b.shape.workers, b.shape.accelerators);
              });
    for (const auto &g : guarantees) {
        sum += g.shape.workers ? g.shape.workers * n : g.shape.accelerators;
    }
    for (int size : racks) {
        all += size * n;
    }
    return sum <= all && Oracle(racks, n, guarantees).fits(0, taken);
}

/* ---- generators --------------------------------------------------------- */

/* Whole workers and racks are as frequent as blocks, because they are the hard
 * ones to pack. */
struct cells_shape
shape_of(int kind, int n)
{
    static const struct cells_shape kinds[] = {{0, 1}, {0, 2}, {1, 0}, {1, 0},
                                               {2, 0}, {2, 0}, {3, 0}, {4, 0}};

    if (kind == SHAPE_KINDS - 1) {
        return {0, n};
    }
    return kinds[kind];
}

std::vector<Guarantee>
to_guarantees(const std::vector<std::pair<int, int>> &raw, int n)
{
    std::vector<Guarantee> out;

    for (const auto &g : raw) {
        out.push_back({g.first, shape_of(g.second, n)});
    }
    return out;
}

void
set_guarantees(struct cells *c, const std::vector<Guarantee> &guarantees)
{
    std::map<std::tuple<int, int, int>, int> count;

    for (const auto &g : guarantees) {
        count[{g.org, g.shape.workers, g.shape.accelerators}]++;
    }
    for (const auto &e : count) {
        Cells_SetGuarantee(c, ORGS[std::get<0>(e.first)],
                           {std::get<1>(e.first), std::get<2>(e.first)},
                           e.second);
    }
}

/* All numbers are equally likely. RapidCheck's inRange prefers low ones while
 * the size of a case is small. */
rc::Gen<int>
uniform(int min, int max)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, max));
}

/* Adds guarantees one by one and skips those that would be infeasible. The
 * trees get full that way, which is where mistakes show. */
void
add_feasible_guarantees(struct cells *c,
                        const std::vector<Guarantee> &guarantees)
{
    std::map<std::tuple<int, int, int>, int> count;

    for (const auto &g : guarantees) {
        int &n = count[{g.org, g.shape.workers, g.shape.accelerators}];
        CellsPtr trial = owned(Cells_Clone(c));
        struct cells_feasibility report;

        Cells_SetGuarantee(trial.get(), ORGS[g.org], g.shape, n + 1);
        if (Cells_CheckGuarantees(trial.get(), &report) == ERR_OK) {
            Cells_SetGuarantee(c, ORGS[g.org], g.shape, ++n);
        }
    }
}

auto
gen_ops(int kinds)
{
    return rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(uniform(0, kinds), uniform(0, 60), uniform(0, 60),
                       uniform(0, 60)));
}

/* Sizes of 1..most racks. The oracle needs at most 4 racks, so that all
 * accelerators fit into one mask. */
auto
gen_racks(int most)
{
    return rc::gen::mapcat(uniform(1, most + 1), [](int n) {
        return rc::gen::container<std::vector<int>>((size_t)n, uniform(1, 5));
    });
}

auto
gen_guarantees(int most)
{
    return rc::gen::resize(
        most, rc::gen::container<std::vector<std::pair<int, int>>>(
                  rc::gen::pair(uniform(0, 3), uniform(0, SHAPE_KINDS))));
}

/* ---- invariants --------------------------------------------------------- */

using Taken = std::set<std::pair<int, int>>;

void
mark_taken(Taken &taken, int worker, uint64_t mask)
{
    for (int i = 0; i < 64; i++) {
        if (mask >> i & 1) {
            RC_ASSERT(taken.insert({worker, i}).second);
        }
    }
}

/* Bindings are disjoint and of their shape, no accelerator has two jobs, and
 * guaranteed jobs are only in their own organisation's cells. */
void
check_consistent(const struct cells *c)
{
    Taken bound, busy;
    std::map<std::string, Taken> of;
    std::set<uint64_t> jobs;
    struct cells_binding b;
    uint64_t on[CELLS_ACCELERATORS_MAX];

    for (int i = 0; Cells_Binding(c, i, &b); i++) {
        RC_ASSERT(b.workers == 0 ||
                  b.workers == (b.shape.workers ? b.shape.workers : 1));
        for (int k = 0; k < b.workers; k++) {
            mark_taken(bound, b.worker[k], b.mask[k]);
            mark_taken(of[b.organisation], b.worker[k], b.mask[k]);
            RC_ASSERT(Cells_CommonLevel(c, b.worker[0], b.worker[k]) <=
                      CELLS_LEVEL_RACK);
        }
    }
    for (int w = 0; w < Cells_WorkerCount(c); w++) {
        int n = Cells_JobsOnWorker(c, w, on, CELLS_ACCELERATORS_MAX);

        jobs.insert(on, on + n);
    }
    RC_ASSERT((int)jobs.size() == Cells_JobCount(c));
    for (uint64_t id : jobs) {
        struct cells_job_info info;

        RC_ASSERT(Cells_Job(c, id, &info));
        for (int p = 0; p < info.parts; p++) {
            mark_taken(busy, info.part[p].worker, info.part[p].mask);
            for (int i = 0; i < 64 && info.guaranteed; i++) {
                RC_ASSERT(!(info.part[p].mask >> i & 1) ||
                          of[info.request.organisation].count(
                              {info.part[p].worker, i}));
            }
        }
    }
}

/* The central invariant: all idle cells with a healthy place can be obtained
 * one after the other, from the largest to the smallest or the reverse,
 * whatever runs on them. */
void
check_reclaimable_in_order(const struct cells *c, int n, bool largest_first)
{
    CellsPtr copy = owned(Cells_Clone(c));
    std::vector<struct cells_binding> idle;
    struct cells_binding b;
    uint64_t id = 1000000;

    for (int i = 0; Cells_Binding(c, i, &b); i++) {
        if (b.healthy && !b.used) {
            idle.push_back(b);
        }
    }
    std::stable_sort(
        idle.begin(), idle.end(), [](const auto &x, const auto &y) {
            return std::make_pair(x.shape.workers, x.shape.accelerators) >
                   std::make_pair(y.shape.workers, y.shape.accelerators);
        });
    if (!largest_first) {
        std::reverse(idle.begin(), idle.end());
    }
    for (const auto &cell : idle) {
        int workers = cell.shape.workers;
        struct cells_request req =
            request(id++, cell.organisation, workers ? workers : 1,
                    workers ? n : cell.shape.accelerators, true);

        req.within = workers ? CELLS_LEVEL_RACK : CELLS_LEVEL_WORKER;
        enum cells_reason reason = start(copy.get(), req, 100000);
        if (!Cells_IsPlaced(reason)) {
            RC_LOG() << "reclaim of " << cell.organisation << " "
                     << cell.shape.workers << "w/" << cell.shape.accelerators
                     << "a: " << Cells_ReasonName(reason) << "\n"
                     << to_text(c);
        }
        RC_ASSERT(Cells_IsPlaced(reason));
    }
}

void
check_reclaimable(const struct cells *c, int n)
{
    check_reclaimable_in_order(c, n, true);
    check_reclaimable_in_order(c, n, false);
}

/* Counts the healthy cells of each organisation and shape that have no part on
 * the excluded worker. */
std::map<std::string, int>
healthy_cells(const struct cells *c, int excluded_worker)
{
    std::map<std::string, int> count;
    struct cells_binding b;

    for (int i = 0; Cells_Binding(c, i, &b); i++) {
        bool on = false;

        for (int k = 0; k < b.workers; k++) {
            on = on || b.worker[k] == excluded_worker;
        }
        count[std::string(b.organisation) + " " +
              std::to_string(b.shape.workers) + "w" +
              std::to_string(b.shape.accelerators)] += b.healthy && !on;
    }
    return count;
}

/* Cells that were healthy must still be, so that no organisation pays for
 * another one's loss. */
void
check_still_healthy(const struct cells *c, std::map<std::string, int> before)
{
    std::map<std::string, int> after = healthy_cells(c, CELLS_NONE);

    for (const auto &e : before) {
        RC_ASSERT(after[e.first] >= e.second);
    }
}

/* A plan places all tasks or none, is the same when made again or on a copy,
 * and does not change the state. */
void
check_plan(struct cells *c, const struct cells_request &req, int64_t now,
           const struct cells_plan &plan)
{
    CellsPtr copy = owned(Cells_Clone(c));
    std::string before = to_text(c);
    Plan again, other;
    int tasks = 0;

    Cells_Plan(c, &req, &EVEN_WEIGHTS, now, &again);
    Cells_Plan(copy.get(), &req, &EVEN_WEIGHTS, now, &other);
    RC_ASSERT(to_text(again) == to_text(plan));
    RC_ASSERT(to_text(other) == to_text(plan));
    RC_ASSERT(to_text(c) == before);
    for (int i = 0; i < plan.parts; i++) {
        tasks += plan.part[i].tasks;
        RC_ASSERT(__builtin_popcountll(plan.part[i].mask) ==
                  plan.part[i].tasks * req.accelerators);
        RC_ASSERT(Cells_WorkerState(c, plan.part[i].worker) ==
                  CELLS_WORKER_UP);
    }
    RC_ASSERT(tasks == (Cells_IsPlaced(plan.reason) ? req.tasks : 0));
}

/* ---- sequences of operations -------------------------------------------- */

using Op = std::tuple<int, int, int, int>;

struct Simulation {
    struct cells *c;
    int n;
    int64_t now;
    uint64_t next;
};

void
op_start(Simulation &sim, int a, int b, int d)
{
    struct cells_request req =
        request(sim.next++, ORGS[a % 3], 1 + b % 4, 1 + d % sim.n, a % 2 == 0);
    Plan plan;

    req.priority = d % 3;
    req.preempt = b % 5 == 0;
    req.checkpoint_ms = d % 4 == 0 ? 10000 : -1;
    Cells_Plan(sim.c, &req, &EVEN_WEIGHTS, sim.now, &plan);
    check_plan(sim.c, req, sim.now, plan);
    if (Cells_IsPlaced(plan.reason)) {
        auto healthy = healthy_cells(sim.c, CELLS_NONE);

        RC_ASSERT(Cells_Commit(sim.c, &plan) == ERR_OK);
        check_still_healthy(sim.c, healthy);
        RC_ASSERT(Cells_Commit(sim.c, &plan) == ERR_STALE);
    }
}

void
op_release(Simulation &sim, int a, int, int)
{
    uint64_t first = sim.next > 1 ? 1 + (uint64_t)a % (sim.next - 1) : 1;

    for (uint64_t id = first; id < sim.next; id++) {
        if (Cells_Release(sim.c, id) == ERR_OK) {
            return;
        }
    }
}

void
op_state(Simulation &sim, int a, int b, int)
{
    int worker = a % Cells_WorkerCount(sim.c);
    auto before = healthy_cells(sim.c, worker);

    Cells_SetWorkerState(sim.c, worker, (enum cells_worker_state)(b % 3));
    check_still_healthy(sim.c, before);
}

void
op_progress(Simulation &sim, int a, int, int)
{
    Cells_RecordCheckpoint(sim.c, 1 + (uint64_t)a % sim.next, sim.now);
}

void
op_worker(Simulation &sim, int a, int b, int)
{
    struct cells_worker_info info = {};

    if (b % 2 == 0) {
        Cells_RemoveWorker(sim.c, a % Cells_WorkerCount(sim.c));
        return;
    }
    snprintf(info.name, sizeof(info.name), "new%d", a);
    snprintf(info.region, sizeof(info.region), "region");
    snprintf(info.domain, sizeof(info.domain), "d0");
    snprintf(info.rack, sizeof(info.rack), "r%d", a % 2);
    info.accelerators = sim.n;
    Cells_AddWorker(sim.c, &info);
}

/* Changes a guarantee if the result is feasible. */
void
op_guarantee(Simulation &sim, int a, int b, int d)
{
    CellsPtr trial = owned(Cells_Clone(sim.c));
    struct cells_feasibility report;

    Cells_SetGuarantee(trial.get(), ORGS[a % 3],
                       shape_of(b % SHAPE_KINDS, sim.n), d % 3);
    if (Cells_CheckGuarantees(trial.get(), &report) == ERR_OK) {
        Cells_SetGuarantee(sim.c, ORGS[a % 3],
                           shape_of(b % SHAPE_KINDS, sim.n), d % 3);
    }
}

void (*const OPS[])(Simulation &, int, int, int) = {
    op_start, op_start,    op_start,  op_release,  op_state,
    op_state, op_progress, op_worker, op_guarantee};

/* Once all workers have recovered and no guaranteed job runs, every cell must
 * be available. */
void
check_healed(Simulation &sim)
{
    for (uint64_t id = 1; id < sim.next; id++) {
        struct cells_job_info info;

        if (Cells_Job(sim.c, id, &info) && info.guaranteed) {
            Cells_Release(sim.c, id);
        }
    }
    for (int i = 0; i < Cells_WorkerCount(sim.c); i++) {
        Cells_SetWorkerState(sim.c, i, CELLS_WORKER_UP);
    }
    RC_ASSERT(Cells_UnavailableCount(sim.c, NULL) == 0);
    check_consistent(sim.c);
    check_reclaimable(sim.c, sim.n);
}

} // namespace

/* Guards against reporting an infeasible set of guarantees as feasible or the
 * reverse. The oracle tries every packing; guarantees that fit are kept, so
 * that the tree fills up. */
TEST(CellsProperty, CheckAgreesWithBruteForce)
{
    EXPECT_TRUE(rc::check("feasibility check = brute force", [] {
        const auto racks = *gen_racks(4);
        const int n = *rc::gen::element(2, 4);
        std::vector<Guarantee> kept;
        CellsPtr c = owned(Cells_New());

        add_racks(c.get(), racks, n);
        for (const auto &g : to_guarantees(*gen_guarantees(16), n)) {
            CellsPtr trial = owned(Cells_New());
            struct cells_feasibility report;

            kept.push_back(g);
            add_racks(trial.get(), racks, n);
            set_guarantees(trial.get(), kept);
            bool feasible = fits(racks, n, kept, 0);
            RC_ASSERT((Cells_CheckGuarantees(trial.get(), &report) ==
                       ERR_OK) == feasible);
            if (!feasible) {
                RC_ASSERT(report.shortfall[0].possible <
                          report.shortfall[0].wanted);
                kept.pop_back();
            }
        }
    }));
}

/* Guards against cells that stay on failed workers although another packing
 * has room for them. Workers fail and recover in any order while no guaranteed
 * job runs; no cell may be unavailable as long as any packing on the healthy
 * workers holds all of them. */
TEST(CellsProperty, CellsLeaveFailedWorkersWheneverAPackingAllowsIt)
{
    EXPECT_TRUE(rc::check("unavailable cells = brute force", [] {
        const auto racks = *gen_racks(4);
        const int n = *rc::gen::element(2, 4);
        const auto ops = *gen_ops(1);
        std::vector<Guarantee> guarantees;
        CellsPtr c = owned(Cells_New());
        struct cells_binding b;

        add_racks(c.get(), racks, n);
        add_feasible_guarantees(c.get(), to_guarantees(*gen_guarantees(9), n));
        for (int i = 0; Cells_Binding(c.get(), i, &b); i++) {
            guarantees.push_back({0, b.shape});
        }
        for (const auto &op : ops) {
            int worker = std::get<1>(op) % Cells_WorkerCount(c.get());
            Mask down = 0;

            Cells_SetWorkerState(
                c.get(), worker,
                (enum cells_worker_state)(std::get<2>(op) % 3));
            for (int i = 0; i < Cells_WorkerCount(c.get()); i++) {
                if (Cells_WorkerState(c.get(), i) != CELLS_WORKER_UP) {
                    down |= ((Mask(1) << n) - 1) << i * n;
                }
            }
            RC_ASSERT((Cells_UnavailableCount(c.get(), NULL) == 0) ==
                      fits(racks, n, guarantees, down));
        }
    }));
}

/* Guards against sequences of starts, ends, failures, recoveries, removals and
 * changed guarantees after which an organisation no longer gets a cell that it
 * is guaranteed. */
TEST(CellsProperty, GuaranteesAreReclaimableAfterEverySequence)
{
    EXPECT_TRUE(rc::check("guarantees are reclaimable", [] {
        const auto racks = *gen_racks(7);
        const int n = *rc::gen::element(2, 4);
        const auto guarantees = to_guarantees(*gen_guarantees(25), n);
        const auto ops = *gen_ops((int)COUNT_OF(OPS));
        CellsPtr c = owned(Cells_New());
        Simulation sim = {c.get(), n, 0, 1};

        add_racks(sim.c, racks, n);
        add_feasible_guarantees(sim.c, guarantees);
        RC_ASSERT(Cells_PendingCount(sim.c, NULL) == 0);
        RC_CLASSIFY(Cells_BindingCount(sim.c) >= 6, "6 cells or more");
        RC_CLASSIFY(Cells_WorkerCount(sim.c) >= 6, "6 workers or more");
        RC_CLASSIFY(ops.size() >= 10, "10 operations or more");
        for (const auto &op : ops) {
            sim.now += 1000;
            OPS[std::get<0>(op)](sim, std::get<1>(op), std::get<2>(op),
                                 std::get<3>(op));
            check_consistent(sim.c);
            check_reclaimable(sim.c, n);
            if (Cells_WorkerCount(sim.c) == 0) {
                break;
            }
        }
        check_healed(sim);
    }));
}

/* Guards against an agent that decides on a claim without the owner and
 * decides differently: it must accept exactly when the owner's state has the
 * accelerators bound to the organisation and without a guaranteed job. */
TEST(CellsProperty, AgentVerdictMatchesTheOwner)
{
    EXPECT_TRUE(rc::check("agent = owner", [] {
        const auto racks = *gen_racks(3);
        const auto guarantees = to_guarantees(*gen_guarantees(6), 4);
        const auto ops = *gen_ops(6);
        CellsPtr c = owned(Cells_New());
        Simulation sim = {c.get(), 4, 0, 1};

        add_racks(sim.c, racks, 4);
        set_guarantees(sim.c, guarantees);
        for (const auto &op : ops) {
            OPS[std::get<0>(op)](sim, std::get<1>(op), std::get<2>(op),
                                 std::get<3>(op));
        }
        for (int i = 0; i < Cells_WorkerCount(sim.c); i++) {
            struct cells_local_binding binding[8];
            struct cells_local_job job[8];
            uint64_t id[8];
            int bindings = Cells_LocalBindings(sim.c, i, binding, 8);
            int jobs = Cells_JobsOnWorker(sim.c, i, id, 8);

            for (int k = 0; k < jobs; k++) {
                struct cells_job_info info;

                Cells_Job(sim.c, id[k], &info);
                job[k] = {id[k], 0, info.guaranteed};
                for (int p = 0; p < info.parts; p++) {
                    job[k].mask |=
                        info.part[p].worker == i ? info.part[p].mask : 0;
                }
            }
            struct cells_local local = {Cells_WorkerVersion(sim.c, i), binding,
                                        bindings, job, jobs};
            for (uint64_t mask = 1; mask < 16; mask++) {
                for (const char *org : ORGS) {
                    struct cells_claim v =
                        Cells_Claim(&local, org, mask, local.version);
                    CellsPtr copy = owned(Cells_Clone(sim.c));
                    struct cells_part part = {i, mask, 1};
                    struct cells_request req = request(
                        999999, org, 1, __builtin_popcountll(mask), true);
                    bool held = false;
                    struct cells_job_info info;

                    for (int k = 0; k < jobs; k++) {
                        bool hit = (job[k].mask & mask) != 0;

                        held = held || (hit && job[k].guaranteed);
                        if (hit) {
                            Cells_Release(copy.get(), job[k].job);
                        }
                    }
                    RC_ASSERT(Cells_Adopt(copy.get(), &req, &part, 1, 0) ==
                              ERR_OK);
                    Cells_Job(copy.get(), req.job, &info);
                    if (!held) {
                        RC_ASSERT((v.reason == CELLS_CLAIM_VALID) ==
                                  info.guaranteed);
                    }
                    else {
                        RC_ASSERT(v.reason != CELLS_CLAIM_VALID);
                    }
                }
            }
        }
    }));
}

/* Guards against bindings that differ after a change of owner, which would
 * leave running guaranteed jobs outside their organisation's cells. */
TEST(CellsProperty, ImportRestoresTheSameBindings)
{
    EXPECT_TRUE(rc::check("export, import", [] {
        const auto racks = *gen_racks(4);
        const auto guarantees = to_guarantees(*gen_guarantees(7), 4);
        const auto ops = *gen_ops(6);
        CellsPtr a = owned(Cells_New()), b = owned(Cells_New());
        Simulation sim = {a.get(), 4, 0, 1};
        std::vector<struct cells_binding> stored;
        struct cells_binding x;

        add_racks(sim.c, racks, 4);
        add_racks(b.get(), racks, 4);
        set_guarantees(sim.c, guarantees);
        set_guarantees(b.get(), guarantees);
        for (const auto &op : ops) {
            OPS[std::get<0>(op)](sim, std::get<1>(op), std::get<2>(op),
                                 std::get<3>(op));
        }
        for (int i = 0; Cells_Binding(sim.c, i, &x); i++) {
            stored.push_back(x);
        }
        for (int i = 0; i < Cells_WorkerCount(sim.c); i++) {
            Cells_SetWorkerState(b.get(), i, Cells_WorkerState(sim.c, i));
        }
        RC_ASSERT(Cells_ImportBindings(b.get(), stored.data(),
                                       (int)stored.size(),
                                       Cells_Version(sim.c)) == ERR_OK);
        for (uint64_t id = 1; id < sim.next; id++) {
            struct cells_job_info info, adopted;

            if (Cells_Job(sim.c, id, &info)) {
                RC_ASSERT(Cells_Adopt(b.get(), &info.request, info.part,
                                      info.parts, 0) == ERR_OK);
                Cells_Job(b.get(), id, &adopted);
                RC_ASSERT(adopted.guaranteed == info.guaranteed);
            }
        }
        Cells_Rebind(sim.c);
        Cells_Rebind(b.get());
        RC_ASSERT(Cells_UnavailableCount(b.get(), NULL) ==
                  Cells_UnavailableCount(sim.c, NULL));
        for (int i = 0; i < Cells_WorkerCount(sim.c); i++) {
            struct cells_local_binding l[8], m[8];
            int n = Cells_LocalBindings(sim.c, i, l, 8);

            RC_ASSERT(Cells_LocalBindings(b.get(), i, m, 8) == n);
            for (int k = 0; k < n; k++) {
                RC_ASSERT(std::string(l[k].organisation) == m[k].organisation);
                RC_ASSERT(l[k].mask == m[k].mask);
            }
        }
        check_consistent(b.get());
    }));
}
