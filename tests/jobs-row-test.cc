/* The length of the rows of large jobs, which stores bound. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

struct LargeJobCase {
    const char *what;
    uint32_t tasks;
    bool fails; /* by its last task; otherwise it is cancelled */
    bool takes_over;
};

/* Guards against an owner that can store nothing any more, as the row of an
 * ended job of thousands of tasks is too long. */
TEST(JobsRow, TheRowOfALargeJobStaysShortWhenTheJobEnds)
{
    static const LargeJobCase cases[] = {
        {"cancelled", 3000, false, false},
        {"failed", 3000, true, false},
        {"cancelled, another owner", 4000, false, true},
        {"failed, another owner", 4000, true, true},
    };

    for (const LargeJobCase &c : cases) {
        Simulation sim(8, "batch:2:1");
        struct jobs_spec s = sim.Spec("aa", c.tasks, 0);

        for (Worker &w : sim.workers) {
            w.capacity = {2000000, 2000000, 0};
        }
        s.steps[1] = s.steps[0];
        s.steps[1].count = 1;
        s.steps[1].after[0] = 0;
        s.steps[1].after_count = 1;
        s.step_count = 2;
        sim.behaviours["aa"].work_ms = 60;
        sim.behaviours["aa.0.1.0"].work_ms = 3000;
        sim.behaviours["aa.0.1.0"].failures = c.fails ? 1 : 0;
        sim.Submit(s);
        for (int i = 0; i < 2000 && sim.Starts("aa.0.1.0") == 0; i++) {
            sim.Tick();
        }
        ASSERT_EQ(sim.Starts("aa.0.1.0"), 1) << c.what;
        if (!c.fails) {
            sim.Cancel("aa");
        }
        sim.Ticks(200);
        if (c.takes_over) {
            sim.TakeOver();
            sim.Ticks(20);
        }
        EXPECT_EQ(sim.State("aa"), c.fails ? JOB_FAILED : JOB_CANCELLED)
            << c.what;
        EXPECT_TRUE(sim.violations.empty())
            << c.what << ": " << sim.violations[0];
        EXPECT_EQ(sim.starts.size(), c.tasks + 1) << c.what;
    }
}

struct LargeServiceCase {
    const char *what;
    int workers;
    uint32_t tasks;
    bool takes_over;
    bool restarts; /* each worker restarts, under another id */
};

/* Guards against tasks of a service that never start, though there is a place
 * for each, as the row of their job counts as full. */
TEST(JobsRow, AllTasksOfALargeServiceRun)
{
    static const LargeServiceCase cases[] = {
        {"528 on 66 workers", 66, 528, false, false},
        {"600 on 75 workers, another owner", 75, 600, true, false},
        {"800 on 100 workers, which restart", 100, 800, false, true},
    };

    for (const LargeServiceCase &c : cases) {
        Simulation sim(c.workers);
        struct jobs_spec s = sim.Spec("aa", c.tasks, 1);
        size_t running = 0;

        s.steps[0].lasting = true;
        sim.behaviours["aa"].lasting = true;
        sim.behaviours["aa"].work_ms = 600000;
        sim.Submit(s);
        sim.Ticks(100);
        if (c.takes_over) {
            sim.TakeOver();
            sim.Ticks(20);
        }
        for (int i = 0; c.restarts && i < c.workers; i++) {
            sim.RestartWorker(static_cast<size_t>(i));
            sim.Ticks(2);
        }
        sim.Ticks(100);
        for (const Worker &w : sim.workers) {
            running += w.runs.size();
        }
        EXPECT_EQ(running, c.tasks) << c.what;
        EXPECT_TRUE(sim.violations.empty())
            << c.what << ": " << sim.violations[0];
    }
}

} /* namespace */
