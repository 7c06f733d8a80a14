/* Reports that don't have all ends of a worker. */
#include "jobs-world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

/* Tasks of the next job: the row of one job has room for some 400 runs. */
uint32_t
TasksOfNext(uint32_t left)
{
    return std::min<uint32_t>(left, 300);
}

struct PartialCase {
    const char *what;
    uint32_t tasks;
    size_t listed; /* most ends in one report */
    bool newest_first;
    int outage_ticks; /* of 20 ms */
    bool takes_over;  /* another owner takes over when the store is back */
};

/* Guards against tasks that start again after they are done, as their ends are
 * beyond those that their worker lists. */
TEST(JobsPartial, EndsThatAreNotListedCountAsUnknown)
{
    static const PartialCase cases[] = {
        {"one more than a page", 501, 500, false, 225, false},
        {"600 ends", 600, 500, false, 225, false},
        {"three pages", 1300, 500, false, 225, false},
        {"exactly a page", 500, 500, false, 225, false},
        {"small pages", 40, 3, false, 225, false},
        {"newest first", 40, 3, true, 225, false},
        {"a longer outage", 600, 500, false, 300, false},
        {"another owner", 600, 500, false, 225, true},
        {"another owner, small pages", 40, 3, false, 225, true},
    };

    for (const PartialCase &c : cases) {
        Simulation sim(1);
        int jobs = 0;

        sim.workers[0].capacity = {2000000, 2000000, 0};
        sim.workers[0].ends_listed_max = c.listed;
        sim.workers[0].lists_newest_first = c.newest_first;
        for (uint32_t left = c.tasks; left > 0; left -= TasksOfNext(left)) {
            std::string job = "a" + std::to_string(jobs++);

            sim.behaviours[job].work_ms = 2000;
            sim.Submit(sim.Spec(job, TasksOfNext(left), 0));
        }
        sim.Ticks(40);
        ASSERT_EQ(sim.workers[0].runs.size(), c.tasks) << c.what;
        sim.store_up = false;
        sim.Ticks(c.outage_ticks);
        sim.store_up = true;
        if (c.takes_over) {
            sim.TakeOver();
        }
        sim.Ticks(300);
        for (int i = 0; i < jobs; i++) {
            EXPECT_EQ(sim.State("a" + std::to_string(i)), JOB_COMPLETED)
                << c.what;
        }
        EXPECT_EQ(sim.starts.size(), c.tasks) << c.what;
        EXPECT_EQ(
            std::count_if(sim.starts.begin(), sim.starts.end(),
                          [](const auto &task) { return task.second > 1; }),
            0)
            << c.what;
        EXPECT_EQ(sim.violations.size(), 0u) << c.what;
    }
}

/* Guards against a run that is stopped as hung because a partial report does
 * not list its end, and against one that is never stopped any more. */
TEST(JobsPartial, ARunWhoseEndIsNotListedIsStoppedOnlyByAWholeReport)
{
    Simulation sim(1);

    sim.workers[0].ends_listed_max = 1;
    sim.behaviours["aa"].work_ms = 500;
    sim.Submit(sim.Spec("aa", 2, 1));
    sim.Ticks(10);
    ASSERT_EQ(sim.workers[0].runs.size(), 2u);
    sim.store_up = false;
    sim.Ticks(150);
    EXPECT_FALSE(sim.HasEvent("run_stopped", "vanished"));
    EXPECT_FALSE(sim.HasEvent("run_stopped", "moved"));
    sim.workers[0].ended.clear();
    sim.workers[0].ends_listed_max = 500;
    sim.store_up = true;
    sim.Ticks(150);
    EXPECT_TRUE(sim.HasEvent("run_stopped", "vanished"));
    EXPECT_EQ(sim.State("aa"), JOB_COMPLETED);
}

} /* namespace */
