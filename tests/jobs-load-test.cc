/* The scheduler under the loads that cost callers most. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Guards against urgent gangs that wait with workers free: one member failed
 * by its own fault, and workers that have long ended nothing count as sick. */
TEST(JobsLoad, AGangStartsAgainAtOnceWhereNoWorkerIsSick)
{
    World w(8, "batch:2:2");
    struct jobs_spec s = w.Spec("a", 4, 8);

    w.natures["a"].gang = 4;
    w.natures["a"].work_ms = 600;
    w.natures["a"].failures = 1;
    s.steps[0].gang = true;
    w.Submit(s);

    int64_t failed = 0, again = 0;

    for (int i = 0; i < 200 && again == 0; i++) {
        w.Turn();
        failed = failed == 0 && w.fails["a.0.0"] > 0 ? w.now : failed;
        again = w.Starts("a.0.0.0") == 2 ? w.now : 0;
    }
    ASSERT_NE(again, 0);
    EXPECT_LE(again - failed, 300);
    w.Turns(100);
    EXPECT_EQ(w.State("a"), JOB_COMPLETED);
}

} /* namespace */
