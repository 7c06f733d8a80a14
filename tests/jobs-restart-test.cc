/* Workers that restart, under the same id or another one, and agents and
 * owners that restart with them: reports name no incarnation of before. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

struct RestartCase {
    const char *what;
    int64_t work_ms;
    int down_ticks; /* of 20 ms, from the restart until the first report */
    int restarts;   /* under the same id */
    int gang;       /* tasks of the unit */
    bool lasting;
    int failures; /* runs that fail */
    bool takes_over;
    int starts; /* of the first task in all */
};

const RestartCase restart_cases[] = {
    {"done before the first report", 200, 40, 1, 1, false, 0, false, 1},
    {"still at work", 3000, 40, 1, 1, false, 0, false, 1},
    {"just started", 3000, 16, 1, 1, false, 0, false, 1},
    {"failed", 200, 40, 1, 1, false, 1, false, 2},
    {"done, another owner", 200, 40, 1, 1, false, 0, true, 1},
    {"at work, another owner", 3000, 40, 1, 1, false, 0, true, 1},
    {"done, restarted twice before", 200, 40, 2, 1, false, 0, false, 1},
    {"a gang that is done", 200, 40, 1, 3, false, 0, false, 1},
    {"a gang at work", 3000, 40, 1, 3, false, 0, true, 1},
    {"a task of a service", 0, 40, 1, 1, true, 0, false, 1},
    {"not carried out", 200, 5, 1, 1, false, 0, false, 1},
};

/* Submits the job of a case; its worker restarts before its start arrives, and
 * no report names the incarnation of before. */
void
PlayRestart(Simulation &sim, const RestartCase &c)
{
    struct jobs_spec s = sim.Spec("a", static_cast<uint32_t>(c.gang), 1);

    s.steps[0].gang = c.gang > 1;
    s.steps[0].lasting = c.lasting;
    sim.behaviours["a"].work_ms = c.lasting ? 1000000 : c.work_ms;
    sim.behaviours["a"].lasting = c.lasting;
    sim.behaviours["a"].gang = c.gang;
    sim.behaviours["a"].failures = c.failures;
    sim.order_delay_ms = 300;
    sim.Submit(s);
    sim.Ticks(2);
    sim.order_delay_ms = 0;
    for (int i = 0; i < c.restarts; i++) {
        sim.RestartWithSameId(0).reachable = false;
    }
    sim.Ticks(c.down_ticks);
    if (c.takes_over) {
        sim.TakeOver();
    }
    sim.workers[0].reachable = true;
    sim.Ticks(400);
}

/* Guards against a run that is started again after its worker and its agent
 * have restarted: no process remembers that the worker succeeds another one
 * under its id. */
TEST(JobsRestart, ARunThatASuccessorHasIsNotStartedAgain)
{
    for (const RestartCase &c : restart_cases) {
        Simulation sim(1);

        PlayRestart(sim, c);
        EXPECT_TRUE(sim.violations.empty())
            << c.what << ": " << sim.violations[0];
        EXPECT_EQ(sim.Starts("a.0.0.0"), c.starts) << c.what;
        EXPECT_EQ(sim.State("a"), c.lasting ? JOB_RUNNING : JOB_COMPLETED)
            << c.what;
    }
}

/* Guards against a delay of runs whose worker comes back under another id:
 * their starts can't reach it, so they start again with its first report. */
TEST(JobsRestart, RunsOfAnotherIdStartAgainWithoutAStop)
{
    Simulation sim(1);

    sim.behaviours["a"].work_ms = 3000;
    sim.Submit(sim.Spec("a", 1, 1));
    sim.Ticks(10);
    ASSERT_EQ(sim.Starts("a.0.0.0"), 1);
    sim.RestartWorker(0);
    sim.Ticks(2);
    EXPECT_EQ(sim.Starts("a.0.0.0"), 2);
    EXPECT_FALSE(sim.HasEvent("run_stopped", "other_lifetime"));
    EXPECT_TRUE(sim.violations.empty());
}

/* Guards against a task that runs on two workers: one restarted, carried out a
 * start that was meant for its former incarnation, under a lease that no owner
 * has granted, and is cut off. */
TEST(JobsRestart, ARunIsNotStartedElsewhereWithinTheLeaseOfASuccessor)
{
    for (int i = 0; i < 12; i++) {
        int64_t delay_ms = 40 + 192 * (i / 2);
        Simulation sim(2);

        sim.behaviours["a"].work_ms = 20000;
        sim.order_delay_ms = delay_ms;
        sim.Submit(sim.Spec("a", 1, 8));
        sim.Ticks(1);
        sim.order_delay_ms = 0;
        ASSERT_EQ(sim.delayed_orders.size(), 1u);
        sim.RestartWithSameId(sim.delayed_orders[0].worker).reachable = false;
        if (i % 2 == 1) {
            sim.TakeOver();
        }
        sim.Ticks(1600);
        EXPECT_TRUE(sim.violations.empty())
            << delay_ms << ", " << i % 2 << ": " << sim.violations[0];
        EXPECT_EQ(sim.State("a"), JOB_COMPLETED) << delay_ms;
        EXPECT_EQ(sim.Starts("a.0.0.0"), 2) << delay_ms;
    }
}

/* Guards against a job that is given up too early: two members of a gang have
 * failed in one run, and an owner that takes over between the two ends counts
 * the run twice. */
TEST(JobsRestart, AFailedRunOfAGangIsCountedOnceByAllOwners)
{
    for (bool takes_over : {false, true}) {
        Simulation sim(1, "batch:2:2");
        struct jobs_spec s = sim.Spec("a", 2, 1);
        Worker &w = sim.workers[0];

        s.steps[0].gang = true;
        sim.behaviours["a"].gang = 2;
        sim.behaviours["a"].failures = 1;
        sim.Submit(s);
        sim.Ticks(20);
        w.reachable = false;
        sim.Ticks(40);
        ASSERT_EQ(w.ended.size(), 2u);
        w.ended[0].how = w.ended[1].how = END_FAILED;
        w.ends_listed_max = 1;
        w.reachable = true;
        sim.Tick();
        if (takes_over) {
            sim.TakeOver();
        }
        sim.Ticks(2);
        w.ends_listed_max = 500;
        sim.Ticks(200);
        EXPECT_EQ(sim.Starts("a.0.0.0"), 2) << takes_over;
        EXPECT_EQ(sim.State("a"), JOB_COMPLETED) << takes_over;
    }
}

struct IdCase {
    const char *a, *b;
    bool same;
};

TEST(JobsRestart, IdsAreTheSameUpToTheStartTime)
{
    static const IdCase cases[] = {
        {"i-1#5", "i-1#6", true},   {"i-1", "i-1#6", true},
        {"i-1#5", "i-1", true},     {"i-1", "i-1", true},
        {"i-1#5", "i-10#5", false}, {"i-10", "i-1", false},
        {"i-1", "i-2", false},      {"", "i-1", false},
    };

    for (const IdCase &c : cases) {
        EXPECT_EQ(Jobs_SharesId(c.a, c.b), c.same) << c.a << " " << c.b;
    }
}

} /* namespace */
