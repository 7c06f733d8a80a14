/* Random days: jobs of all kinds, workers that crash, hide, stand, fail and
 * come again, orders lost or carried out late, a store that is away, owners
 * that change, failure domains that are emptied and taken back. At every
 * moment no task runs twice; after the troubles every job that can be done is
 * done. */
#include "jobs-world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace {

const int JOBS = 6;

/* A job with some of everything. */
void
SubmitSome(World &w, int i, uint32_t dice)
{
    std::string id = "a" + std::to_string(i);
    struct jobs_spec s = w.Spec(id, 1 + dice % 4, 1 + (dice >> 3) % 4,
                                (dice >> 5) % 3 == 0 ? "urgent" : "batch");
    Nature &n = w.natures[id];

    n.work_ms = 300 + (dice >> 7) % 3000;
    n.failures = (dice >> 9) % 4 == 0 ? 1 : 0;
    s.steps[0].checkpoints = (dice >> 11) % 2 == 0;
    if ((dice >> 12) % 3 == 0) {
        s.steps[0].gang = true;
        n.gang = static_cast<int>(s.steps[0].count);
    }
    w.Submit(s);
}

/* One trouble, or its end. */
void
Trouble(World &w, uint32_t dice)
{
    Worker &some = w.workers[(dice >> 4) % w.workers.size()];

    switch (dice % 11) {
    case 0:
        some.reachable = !some.reachable;
        break;
    case 1:
        w.Reborn((dice >> 4) % w.workers.size());
        break;
    case 2:
        some.stands = !some.stands;
        break;
    case 3:
        w.store_up = !w.store_up;
        break;
    case 4:
        w.TakeOver((dice >> 6) % 2 == 0);
        break;
    case 5:
        w.lose_orders = static_cast<int>((dice >> 6) % 4);
        break;
    case 6:
        w.late_ms = w.late_ms != 0 ? 0 : 1000 + (dice >> 6) % 6000;
        break;
    case 7:
        some.draining = !some.draining;
        break;
    case 8:
        some.slow = some.slow > 1 ? 1 : 5;
        break;
    case 9:
        w.Empty((dice >> 6) % 4 == 0   ? std::set<std::string>{"a", "b"}
                : (dice >> 6) % 4 == 1 ? std::set<std::string>{"b"}
                                       : std::set<std::string>{});
        break;
    default:
        w.Cancel("a" + std::to_string((dice >> 6) % JOBS));
    }
}

/* All is well again. */
void
Mend(World &w)
{
    w.Empty({});
    w.store_up = true;
    w.lose_orders = 0;
    w.late_ms = 0;
    for (Worker &x : w.workers) {
        x.reachable = true;
        x.stands = x.draining = x.fails_all = false;
        x.slow = 1;
    }
}

/* One random day, told by its seed; returns what went wrong, or "". */
std::string
Day(uint32_t seed)
{
    std::mt19937 dice(seed);
    World w(4, "urgent:0:3 batch:2:4");
    int troubles = static_cast<int>(dice() % 40);

    w.workers[2].domain = w.workers[3].domain = "b";

    for (int i = 0; i < JOBS; i++) {
        SubmitSome(w, i, static_cast<uint32_t>(dice()));
    }
    for (int i = 0; i < troubles && w.broken.empty(); i++) {
        uint32_t d = static_cast<uint32_t>(dice());

        Trouble(w, d);
        w.Turns(1 + static_cast<int>(d >> 20) % 30, 40);
    }
    Mend(w);
    w.Turns(1500, 40);
    if (!w.broken.empty()) {
        return w.broken[0];
    }
    for (int i = 0; i < JOBS; i++) {
        std::string id = "a" + std::to_string(i);
        enum jobs_state state = w.State(id);

        if (state != JOB_COMPLETED && state != JOB_FAILED &&
            (state != JOB_CANCELLED || w.cancelled.count(id) == 0)) {
            return id + " is " + Jobs_StateName(state);
        }
    }
    for (const Worker &x : w.workers) {
        if (!x.runs.empty() || !x.ended.empty()) {
            return x.id + " still has runs or ends";
        }
    }
    return "";
}

RC_GTEST_PROP(JobsProperty, NothingRunsTwiceAndEverythingEnds, ())
{
    /* Of full width whatever the size of the case. */
    uint32_t seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
    std::string wrong = Day(seed);

    if (!wrong.empty()) {
        RC_FAIL(wrong + ", seed " + std::to_string(seed));
    }
}

} /* namespace */
