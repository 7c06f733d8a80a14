/* Tests of the scheduler under the loads that delay callers most. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Guards against urgent gangs that wait although workers are free: one member
 * failed by its own fault, and workers where no run has ended for long count
 * as faulty. */
TEST(JobsLoad, AGangRestartsAtOnceWhenNoWorkerIsFaulty)
{
    Simulation sim(8, "batch:2:2");
    struct jobs_spec s = sim.Spec("a", 4, 8);

    sim.behaviours["a"].gang = 4;
    sim.behaviours["a"].work_ms = 600;
    sim.behaviours["a"].failures = 1;
    s.steps[0].gang = true;
    sim.Submit(s);

    int64_t failed = 0, again = 0;

    for (int i = 0; i < 200 && again == 0; i++) {
        sim.Tick();
        failed =
            failed == 0 && sim.failed_runs["a.0.0"] > 0 ? sim.now : failed;
        again = sim.Starts("a.0.0.0") == 2 ? sim.now : 0;
    }
    ASSERT_NE(again, 0);
    EXPECT_LE(again - failed, 300);
    sim.Ticks(100);
    EXPECT_EQ(sim.State("a"), JOB_COMPLETED);
}

} /* namespace */
