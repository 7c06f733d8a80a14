/* Tasks that crash the workers that start them, on the stand-in of the hosted
 * platform. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace harness;

namespace {

/* Starts of a job's tasks. */
size_t
StartsOf(const HostedStack &s, const std::string &job)
{
    std::vector<std::string> all = s.Starts();

    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [&](const std::string &start) {
            return start.compare(0, job.size() + 1, job + ".") == 0;
        }));
}

/* Callers may be told "failed" after two crashes; after three, two more starts
 * are the most that is allowed. */
const size_t STARTS_MAX = 5;

/* Guards against a task that is started for ever, as no crash of a worker is
 * charged to it. */
TEST(Crash, ATaskThatCrashesItsWorkersIsGivenUp)
{
    HostedStack s(1, 3);

    ASSERT_EQ(s.Submit(0, "a1", "crash").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "failed")) << s.Logs();
    EXPECT_LE(StartsOf(s, "a1"), STARTS_MAX);
    ASSERT_EQ(s.Submit(0, "a2", "100", 3).status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
}

/* Guards against a count of crashes that is lost with the leader that kept
 * it. */
TEST(Crash, TheCountOfCrashesOutlivesATakeover)
{
    HostedStack s(2, 3);

    ASSERT_EQ(s.Submit(0, "b1", "crash").status, 200);
    ASSERT_TRUE(WaitFor([&] { return StartsOf(s, "b1") > 0; }));
    int survivor = s.KillOwner();
    EXPECT_TRUE(s.WaitForState(survivor, "b1", "failed")) << s.Logs();
    EXPECT_LE(StartsOf(s, "b1"), STARTS_MAX);
}

/* Guards against ends that are lost when a worker starts again under the id
 * that it had: its counts start anew, below what was noted before. */
TEST(Crash, AWorkerThatStartsAgainUnderItsIdLosesNothing)
{
    HostedStack s(1, 1);
    auto control = [&](const char *what) {
        Http("PUT", s.workers[0]->Url("/say"), what);
    };

    control("born");
    ASSERT_EQ(s.Submit(0, "d1", "50", 4).status, 200);
    ASSERT_TRUE(s.WaitForState(0, "d1", "completed")) << s.Logs();
    ASSERT_EQ(s.Submit(0, "d2", "2000").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "d2", "running")) << s.Logs();
    control("restart");
    ASSERT_EQ(s.Submit(0, "d3", "50", 3).status, 200);
    EXPECT_TRUE(s.WaitForState(0, "d3", "completed")) << s.Logs();
    EXPECT_TRUE(s.WaitForState(0, "d2", "completed")) << s.Logs();
    EXPECT_EQ(StartsOf(s, "d2"), 2u) << "once before, once after";
    EXPECT_EQ(StartsOf(s, "d3"), 3u) << s.Logs();
}

} /* namespace */
