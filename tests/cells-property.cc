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

const int KINDS = 9;

struct Want {
    int org;
    struct cells_shape shape;
};

/* ---- brute force: tries every packing of small trees -------------------- */

using Mask = uint64_t; /* of all accelerators of a small tree in one word */

/* Every place that a shape could have, as masks. */
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

/* Whether all wants fit beside what is taken; failures are remembered. */
struct Oracle {
    std::vector<std::vector<Mask>> places; /* of each want */
    std::set<std::pair<size_t, Mask>> failed;

    Oracle(const std::vector<int> &racks, int n, const std::vector<Want> &want)
    {
        for (const auto &w : want) {
            places.push_back(all_places(racks, n, w.shape));
        }
    }

    bool packs(size_t i, Mask taken)
    {
        if (i == places.size()) {
            return true;
        }
        if (failed.count({i, taken})) {
            return false;
        }
        for (Mask m : places[i]) {
            if ((m & taken) == 0 && packs(i + 1, taken | m)) {
                return true;
            }
        }
        failed.insert({i, taken});
        return false;
    }
};

/* Sorted so that equal shapes stand together, which keeps the memory of the
 * oracle small; the answer doesn't depend on it. */
bool
packs(const std::vector<int> &racks, int n, std::vector<Want> want, Mask taken)
{
    int sum = __builtin_popcountll(taken), all = 0;

    std::sort(want.begin(), want.end(), [](const Want &a, const Want &b) {
        return std::make_pair(a.shape.workers, a.shape.accelerators) >
               std::make_pair(b.shape.workers, b.shape.accelerators);
    });
    for (const auto &w : want) {
        sum += w.shape.workers ? w.shape.workers * n : w.shape.accelerators;
    }
    for (int size : racks) {
        all += size * n;
    }
    return sum <= all && Oracle(racks, n, want).packs(0, taken);
}

/* ---- generators ----------------------------------------------------------
 */

/* Whole workers and racks are as frequent as blocks: they are what is hard
 * to pack. */
struct cells_shape
shape_of(int kind, int n)
{
    static const struct cells_shape kinds[] = {{0, 1}, {0, 2}, {1, 0}, {1, 0},
                                               {2, 0}, {2, 0}, {3, 0}, {4, 0}};

    if (kind == KINDS - 1) {
        return {0, n};
    }
    return kinds[kind];
}

std::vector<Want>
wants(const std::vector<std::pair<int, int>> &raw, int n)
{
    std::vector<Want> out;

    for (const auto &w : raw) {
        out.push_back({w.first, shape_of(w.second, n)});
    }
    return out;
}

void
set_guarantees(struct cells *c, const std::vector<Want> &want)
{
    std::map<std::tuple<int, int, int>, int> count;

    for (const auto &w : want) {
        count[{w.org, w.shape.workers, w.shape.accelerators}]++;
    }
    for (const auto &e : count) {
        Cells_SetGuarantee(c, ORGS[std::get<0>(e.first)],
                           {std::get<1>(e.first), std::get<2>(e.first)},
                           e.second);
    }
}

/* Any of the numbers; RapidCheck's own inRange keeps to the low ones while
 * the size of a case is small. */
rc::Gen<int>
range(int min, int max)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, max));
}

/* Adds guarantees one by one, leaving out each that would not be feasible:
 * so the trees are full, which is where mistakes show. */
void
fill_guarantees(struct cells *c, const std::vector<Want> &want)
{
    std::map<std::tuple<int, int, int>, int> count;

    for (const auto &w : want) {
        int &n = count[{w.org, w.shape.workers, w.shape.accelerators}];
        Account trial = own(Cells_Clone(c));
        struct cells_report report;

        Cells_SetGuarantee(trial.get(), ORGS[w.org], w.shape, n + 1);
        if (Cells_Check(trial.get(), &report) == ERR_OK) {
            Cells_SetGuarantee(c, ORGS[w.org], w.shape, ++n);
        }
    }
}

auto
gen_ops(int kinds)
{
    return rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(range(0, kinds), range(0, 60), range(0, 60),
                       range(0, 60)));
}

/* Sizes of 1..most racks. The oracles take up to 4, so that all accelerators
 * fit into one mask. */
auto
gen_racks(int most)
{
    return rc::gen::mapcat(range(1, most + 1), [](int n) {
        return rc::gen::container<std::vector<int>>((size_t)n, range(1, 5));
    });
}

auto
gen_wants(int most)
{
    return rc::gen::resize(
        most, rc::gen::container<std::vector<std::pair<int, int>>>(
                  rc::gen::pair(range(0, 3), range(0, KINDS))));
}

/* ---- invariants ----------------------------------------------------------
 */

using Taken = std::set<std::pair<int, int>>;

void
take(Taken &taken, int worker, uint64_t mask)
{
    for (int i = 0; i < 64; i++) {
        if (mask >> i & 1) {
            RC_ASSERT(taken.insert({worker, i}).second);
        }
    }
}

/* Bindings are disjoint and of their shape; no accelerator has two jobs;
 * guaranteed work is on its own organisation's cells only. */
void
check_books(const struct cells *c)
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
            take(bound, b.worker[k], b.mask[k]);
            take(of[b.organisation], b.worker[k], b.mask[k]);
            RC_ASSERT(Cells_Near(c, b.worker[0], b.worker[k]) <=
                      CELLS_LEVEL_RACK);
        }
    }
    for (int w = 0; w < Cells_WorkerCount(c); w++) {
        int n = Cells_WhoIsOn(c, w, on, CELLS_ACCELERATORS_MAX);

        jobs.insert(on, on + n);
    }
    RC_ASSERT((int)jobs.size() == Cells_JobCount(c));
    for (uint64_t id : jobs) {
        struct cells_job_info info;

        RC_ASSERT(Cells_Job(c, id, &info));
        for (int p = 0; p < info.parts; p++) {
            take(busy, info.part[p].worker, info.part[p].mask);
            for (int i = 0; i < 64 && info.guaranteed; i++) {
                RC_ASSERT(!(info.part[p].mask >> i & 1) ||
                          of[info.request.organisation].count(
                              {info.part[p].worker, i}));
            }
        }
    }
}

/* I1: every idle cell with a healthy place can be had, all of them one after
 * the other, in both orders of size, whatever occupies them. */
void
check_reclaimable_in_order(const struct cells *c, int n, bool largest_first)
{
    Account copy = own(Cells_Clone(c));
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
        struct cells_request q =
            request(id++, cell.organisation, workers ? workers : 1,
                    workers ? n : cell.shape.accelerators, true);

        q.within = workers ? CELLS_LEVEL_RACK : CELLS_LEVEL_WORKER;
        enum cells_reason reason = start(copy.get(), q, 100000);
        if (!Cells_IsPlaced(reason)) {
            RC_LOG() << "reclaim of " << cell.organisation << " "
                     << cell.shape.workers << "w/" << cell.shape.accelerators
                     << "a: " << Cells_ReasonName(reason) << "\n"
                     << text(c);
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

/* Healthy cells of each organisation and shape, but for those that have a
 * part on one worker. */
std::map<std::string, int>
healthy_cells(const struct cells *c, int but_on)
{
    std::map<std::string, int> count;
    struct cells_binding b;

    for (int i = 0; Cells_Binding(c, i, &b); i++) {
        bool on = false;

        for (int k = 0; k < b.workers; k++) {
            on = on || b.worker[k] == but_on;
        }
        count[std::string(b.organisation) + " " +
              std::to_string(b.shape.workers) + "w" +
              std::to_string(b.shape.accelerators)] += b.healthy && !on;
    }
    return count;
}

/* Nobody pays for the loss of another: cells that were healthy stay so. */
void
check_nobody_pays(const struct cells *c, std::map<std::string, int> before)
{
    std::map<std::string, int> after = healthy_cells(c, CELLS_NONE);

    for (const auto &e : before) {
        RC_ASSERT(after[e.first] >= e.second);
    }
}

/* A plan is whole or empty, the same when made again or on a copy, and has
 * no effect. */
void
check_plan(struct cells *c, const struct cells_request &q, int64_t now,
           const struct cells_plan &plan)
{
    Account copy = own(Cells_Clone(c));
    std::string before = text(c);
    Plan again, other;
    int tasks = 0;

    Cells_Plan(c, &q, &EVEN, now, &again);
    Cells_Plan(copy.get(), &q, &EVEN, now, &other);
    RC_ASSERT(text(again) == text(plan));
    RC_ASSERT(text(other) == text(plan));
    RC_ASSERT(text(c) == before);
    for (int i = 0; i < plan.parts; i++) {
        tasks += plan.part[i].tasks;
        RC_ASSERT(__builtin_popcountll(plan.part[i].mask) ==
                  plan.part[i].tasks * q.accelerators);
        RC_ASSERT(Cells_WorkerState(c, plan.part[i].worker) ==
                  CELLS_WORKER_UP);
    }
    RC_ASSERT(tasks == (Cells_IsPlaced(plan.reason) ? q.tasks : 0));
}

/* ---- a run of operations -------------------------------------------------
 */

using Op = std::tuple<int, int, int, int>;

struct World {
    struct cells *c;
    int n;
    int64_t now;
    uint64_t next;
};

void
op_start(World &w, int a, int b, int d)
{
    struct cells_request q =
        request(w.next++, ORGS[a % 3], 1 + b % 4, 1 + d % w.n, a % 2 == 0);
    Plan plan;

    q.priority = d % 3;
    q.preempt = b % 5 == 0;
    q.checkpoint_ms = d % 4 == 0 ? 10000 : -1;
    Cells_Plan(w.c, &q, &EVEN, w.now, &plan);
    check_plan(w.c, q, w.now, plan);
    if (Cells_IsPlaced(plan.reason)) {
        auto healthy = healthy_cells(w.c, CELLS_NONE);

        RC_ASSERT(Cells_Commit(w.c, &plan) == ERR_OK);
        check_nobody_pays(w.c, healthy);
        RC_ASSERT(Cells_Commit(w.c, &plan) == ERR_STALE);
    }
}

void
op_release(World &w, int a, int, int)
{
    uint64_t first = w.next > 1 ? 1 + (uint64_t)a % (w.next - 1) : 1;

    for (uint64_t id = first; id < w.next; id++) {
        if (Cells_Release(w.c, id) == ERR_OK) {
            return;
        }
    }
}

void
op_state(World &w, int a, int b, int)
{
    int worker = a % Cells_WorkerCount(w.c);
    auto before = healthy_cells(w.c, worker);

    Cells_SetWorkerState(w.c, worker, (enum cells_worker_state)(b % 3));
    check_nobody_pays(w.c, before);
}

void
op_progress(World &w, int a, int, int)
{
    Cells_Progress(w.c, 1 + (uint64_t)a % w.next, w.now);
}

void
op_worker(World &w, int a, int b, int)
{
    struct cells_worker_info info = {};

    if (b % 2 == 0) {
        Cells_RemoveWorker(w.c, a % Cells_WorkerCount(w.c));
        return;
    }
    snprintf(info.name, sizeof(info.name), "new%d", a);
    snprintf(info.region, sizeof(info.region), "region");
    snprintf(info.domain, sizeof(info.domain), "d0");
    snprintf(info.rack, sizeof(info.rack), "r%d", a % 2);
    info.accelerators = w.n;
    Cells_AddWorker(w.c, &info);
}

/* A change of guarantees, of which only a feasible one is taken. */
void
op_guarantee(World &w, int a, int b, int d)
{
    Account trial = own(Cells_Clone(w.c));
    struct cells_report report;

    Cells_SetGuarantee(trial.get(), ORGS[a % 3], shape_of(b % KINDS, w.n),
                       d % 3);
    if (Cells_Check(trial.get(), &report) == ERR_OK) {
        Cells_SetGuarantee(w.c, ORGS[a % 3], shape_of(b % KINDS, w.n), d % 3);
    }
}

void (*const OPS[])(World &, int, int, int) = {
    op_start, op_start,    op_start,  op_release,  op_state,
    op_state, op_progress, op_worker, op_guarantee};

/* Everything healed and nothing guaranteed running: nothing is short. */
void
check_healed(World &w)
{
    for (uint64_t id = 1; id < w.next; id++) {
        struct cells_job_info info;

        if (Cells_Job(w.c, id, &info) && info.guaranteed) {
            Cells_Release(w.c, id);
        }
    }
    for (int i = 0; i < Cells_WorkerCount(w.c); i++) {
        Cells_SetWorkerState(w.c, i, CELLS_WORKER_UP);
    }
    RC_ASSERT(Cells_Short(w.c, NULL) == 0);
    check_books(w.c);
    check_reclaimable(w.c, w.n);
}

} // namespace

/* An operator must not be told that a set of guarantees is feasible when it
 * isn't, nor the reverse. The oracle tries every packing; what fits is kept,
 * so that the tree fills up. */
TEST(CellsProperty, CheckAgreesWithEveryPacking)
{
    EXPECT_TRUE(rc::check("check = brute force", [] {
        const auto racks = *gen_racks(4);
        const int n = *rc::gen::element(2, 4);
        std::vector<Want> kept;
        Account c = own(Cells_New());

        add_racks(c.get(), racks, n);
        for (const auto &w : wants(*gen_wants(16), n)) {
            Account trial = own(Cells_New());
            struct cells_report report;

            kept.push_back(w);
            add_racks(trial.get(), racks, n);
            set_guarantees(trial.get(), kept);
            bool feasible = packs(racks, n, kept, 0);
            RC_ASSERT((Cells_Check(trial.get(), &report) == ERR_OK) ==
                      feasible);
            if (!feasible) {
                RC_ASSERT(report.misfit[0].possible < report.misfit[0].wanted);
                kept.pop_back();
            }
        }
    }));
}

/* Workers fail and heal in any order while no guaranteed work runs: no cell
 * is short as long as any packing on the healthy workers has them all. */
TEST(CellsProperty, CellsLeaveFailedWorkersWheneverTheyCan)
{
    EXPECT_TRUE(rc::check("short = brute force", [] {
        const auto racks = *gen_racks(4);
        const int n = *rc::gen::element(2, 4);
        const auto ops = *gen_ops(1);
        std::vector<Want> want;
        Account c = own(Cells_New());
        struct cells_binding b;

        add_racks(c.get(), racks, n);
        fill_guarantees(c.get(), wants(*gen_wants(9), n));
        for (int i = 0; Cells_Binding(c.get(), i, &b); i++) {
            want.push_back({0, b.shape});
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
            RC_ASSERT((Cells_Short(c.get(), NULL) == 0) ==
                      packs(racks, n, want, down));
        }
    }));
}

/* An organisation calls in its guarantee after any sequence of starts, ends,
 * failures, healings, removals and changes of guarantees, and gets it. */
TEST(CellsProperty, GuaranteesAreReclaimableAfterEverySequence)
{
    EXPECT_TRUE(rc::check("I1", [] {
        const auto racks = *gen_racks(7);
        const int n = *rc::gen::element(2, 4);
        const auto want = wants(*gen_wants(25), n);
        const auto ops = *gen_ops((int)COUNT_OF(OPS));
        Account c = own(Cells_New());
        World w = {c.get(), n, 0, 1};

        add_racks(w.c, racks, n);
        fill_guarantees(w.c, want);
        RC_ASSERT(Cells_Pending(w.c, NULL) == 0);
        RC_CLASSIFY(Cells_BindingCount(w.c) >= 6, "6 cells or more");
        RC_CLASSIFY(Cells_WorkerCount(w.c) >= 6, "6 workers or more");
        RC_CLASSIFY(ops.size() >= 10, "10 operations or more");
        for (const auto &op : ops) {
            w.now += 1000;
            OPS[std::get<0>(op)](w, std::get<1>(op), std::get<2>(op),
                                 std::get<3>(op));
            check_books(w.c);
            check_reclaimable(w.c, n);
            if (Cells_WorkerCount(w.c) == 0) {
                break;
            }
        }
        check_healed(w);
    }));
}

/* An agent that can ask nobody allows a claim exactly when the owner's
 * account says that these accelerators are the organisation's and that no
 * guaranteed work is on them. */
TEST(CellsProperty, AgentAgreesWithTheAccount)
{
    EXPECT_TRUE(rc::check("claim = account", [] {
        const auto racks = *gen_racks(3);
        const auto want = wants(*gen_wants(6), 4);
        const auto ops = *gen_ops(6);
        Account c = own(Cells_New());
        World w = {c.get(), 4, 0, 1};

        add_racks(w.c, racks, 4);
        set_guarantees(w.c, want);
        for (const auto &op : ops) {
            OPS[std::get<0>(op)](w, std::get<1>(op), std::get<2>(op),
                                 std::get<3>(op));
        }
        for (int i = 0; i < Cells_WorkerCount(w.c); i++) {
            struct cells_local_binding binding[8];
            struct cells_local_job job[8];
            uint64_t id[8];
            int bindings = Cells_LocalBindings(w.c, i, binding, 8);
            int jobs = Cells_WhoIsOn(w.c, i, id, 8);

            for (int k = 0; k < jobs; k++) {
                struct cells_job_info info;

                Cells_Job(w.c, id[k], &info);
                job[k] = {id[k], 0, info.guaranteed};
                for (int p = 0; p < info.parts; p++) {
                    job[k].mask |=
                        info.part[p].worker == i ? info.part[p].mask : 0;
                }
            }
            struct cells_local local = {Cells_WorkerVersion(w.c, i), binding,
                                        bindings, job, jobs};
            for (uint64_t mask = 1; mask < 16; mask++) {
                for (const char *org : ORGS) {
                    struct cells_claim v =
                        Cells_Claim(&local, org, mask, local.version);
                    Account copy = own(Cells_Clone(w.c));
                    struct cells_part part = {i, mask, 1};
                    struct cells_request q = request(
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
                    RC_ASSERT(Cells_Adopt(copy.get(), &q, &part, 1, 0) ==
                              ERR_OK);
                    Cells_Job(copy.get(), q.job, &info);
                    if (!held) {
                        RC_ASSERT((v.reason == CELLS_CLAIM_RIGHTFUL) ==
                                  info.guaranteed);
                    }
                    else {
                        RC_ASSERT(v.reason != CELLS_CLAIM_RIGHTFUL);
                    }
                }
            }
        }
    }));
}

/* Bindings that one owner stored come out the same at the next one. */
TEST(CellsProperty, ImportGivesTheSameBindings)
{
    EXPECT_TRUE(rc::check("export, import", [] {
        const auto racks = *gen_racks(4);
        const auto want = wants(*gen_wants(7), 4);
        const auto ops = *gen_ops(6);
        Account a = own(Cells_New()), b = own(Cells_New());
        World w = {a.get(), 4, 0, 1};
        std::vector<struct cells_binding> stored;
        struct cells_binding x;

        add_racks(w.c, racks, 4);
        add_racks(b.get(), racks, 4);
        set_guarantees(w.c, want);
        set_guarantees(b.get(), want);
        for (const auto &op : ops) {
            OPS[std::get<0>(op)](w, std::get<1>(op), std::get<2>(op),
                                 std::get<3>(op));
        }
        for (int i = 0; Cells_Binding(w.c, i, &x); i++) {
            stored.push_back(x);
        }
        for (int i = 0; i < Cells_WorkerCount(w.c); i++) {
            Cells_SetWorkerState(b.get(), i, Cells_WorkerState(w.c, i));
        }
        RC_ASSERT(Cells_Import(b.get(), stored.data(), (int)stored.size(),
                               Cells_Version(w.c)) == ERR_OK);
        for (uint64_t id = 1; id < w.next; id++) {
            struct cells_job_info info, adopted;

            if (Cells_Job(w.c, id, &info)) {
                RC_ASSERT(Cells_Adopt(b.get(), &info.request, info.part,
                                      info.parts, 0) == ERR_OK);
                Cells_Job(b.get(), id, &adopted);
                RC_ASSERT(adopted.guaranteed == info.guaranteed);
            }
        }
        Cells_Mend(w.c);
        Cells_Mend(b.get());
        RC_ASSERT(Cells_Short(b.get(), NULL) == Cells_Short(w.c, NULL));
        for (int i = 0; i < Cells_WorkerCount(w.c); i++) {
            struct cells_local_binding l[8], m[8];
            int n = Cells_LocalBindings(w.c, i, l, 8);

            RC_ASSERT(Cells_LocalBindings(b.get(), i, m, 8) == n);
            for (int k = 0; k < n; k++) {
                RC_ASSERT(std::string(l[k].organisation) == m[k].organisation);
                RC_ASSERT(l[k].mask == m[k].mask);
            }
        }
        check_books(b.get());
    }));
}
