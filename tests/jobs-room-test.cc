/* Workers whose capacity shrinks and grows again while they run. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Guards against a start on outdated capacity: its row is stored, or its order
 * is repeated, after the worker has shrunk. */
TEST(JobsRoom, AStartThatHasNotBegunIsStoppedWhenItsWorkerShrinks)
{
    struct Case {
        const char *what;
        bool store_up;   /* when the worker is chosen */
        int drop_orders; /* number of first orders to lose */
    };
    static const Case cases[] = {
        {"its row is not stored yet", false, 0},
        {"its first order is lost", true, 2},
    };

    for (const Case &c : cases) {
        Simulation sim(1);

        sim.behaviours["a"].work_ms = 20000;
        sim.behaviours["b"].work_ms = 1000;
        sim.Submit(sim.Spec("a", 1, 2));
        sim.Ticks(10);
        sim.store_up = c.store_up;
        sim.drop_orders = c.drop_orders;
        sim.Submit(sim.Spec("b", 2, 3));
        sim.Ticks(2);
        sim.workers[0].capacity.accelerators = 4;
        sim.Tick();
        sim.store_up = true;
        for (int i = 0; i < 100; i++) {
            sim.Tick();
            ASSERT_EQ(sim.starts["b.0.0.0"] + sim.starts["b.0.0.1"], 0)
                << c.what;
        }
        EXPECT_EQ(sim.starts["a.0.0.0"], 1)
            << c.what << ": the running task must continue";
        sim.workers[0].capacity.accelerators = 8;
        sim.Ticks(5);
        EXPECT_EQ(sim.starts["b.0.0.0"], 1)
            << c.what << ": added capacity must be used";
        sim.Ticks(1500);
        EXPECT_EQ(sim.State("a"), JOB_COMPLETED) << c.what;
        EXPECT_EQ(sim.State("b"), JOB_COMPLETED) << c.what;
        EXPECT_TRUE(sim.violations.empty()) << c.what;
    }
}

/* Guards against counting resources twice: on a worker that has shrunk, runs
 * that are being stopped still use theirs. */
TEST(JobsRoom, RunsBeingStoppedStillCountOnAShrunkWorker)
{
    Simulation sim(1);

    sim.behaviours["a"].work_ms = 20000;
    sim.Submit(sim.Spec("a", 2, 4));
    sim.Ticks(10);
    sim.workers[0].capacity.accelerators = 4;
    sim.Ticks(2);
    sim.drop_orders = 1000; /* stops are among them */
    sim.Cancel("a");
    sim.Submit(sim.Spec("b", 1, 4));
    sim.Ticks(10);
    sim.drop_orders = 0;
    for (int i = 0; i < 200; i++) {
        sim.Tick();
        bool b_runs = sim.WorkerOf("b.0.0.0") != nullptr;

        ASSERT_FALSE(b_runs && sim.workers[0].runs.size() > 1);
    }
    EXPECT_EQ(sim.State("b"), JOB_COMPLETED);
}

/* Guards against sending work to a worker without any capacity. */
TEST(JobsRoom, AWorkerWithoutCapacityGetsNothing)
{
    Simulation sim(2);

    sim.workers[0].capacity = {0, 0, 0};
    sim.Submit(sim.Spec("a", 4, 2));
    sim.Ticks(200);
    EXPECT_EQ(sim.State("a"), JOB_COMPLETED);
    EXPECT_TRUE(sim.workers[0].closed.empty());
}

} /* namespace */
