/* Unreadable input from other writers: reports, rows and entries. Valid input
 * must still be used, and no accepted job may be lost. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* Another sender posts reports to the agent of a busy worker: without a known
 * state, without capacity, under another id, or not JSON. The run goes on and
 * the worker gets the next job. The valid report under another id must not
 * make the agent give up the present incarnation for good. */
TEST(HostedForeign, ForeignReportsDoNotReplaceTheWorker)
{
    HostedStack s(1, 1);
    const std::string whole =
        R"("service":"pool","address":"127.0.0.1:1","sequence":9,)"
        R"("capacity":{"cpu":1,"mem-mb":1,"gpu":0},"labels":["a","r1"])";
    const std::pair<std::string, int> reports[] = {
        {"{" + whole + R"(,"state":"ready"})",
         200}, /* valid, under another id */
        {"{" + whole + "}", 400},
        {"{" + whole + R"(,"state":"odd"})", 400},
        {R"({"service":"pool","state":"ready"})", 400},
        {"\x01\xff", 400},
        {"[" + std::string(3000, '[') + "]", 400},
    };

    EXPECT_EQ(s.Submit(0, "a1", "1500").status, 200);
    ASSERT_TRUE(WaitFor([&] { return s.Starts().size() == 1; })) << s.Logs();
    for (int round = 0; round < 3; round++) {
        for (const auto &r : reports) {
            EXPECT_EQ(Http("POST",
                           s.Heartbeats(0) + "/Instances.Heartbeat/foreign-" +
                               std::to_string(round),
                           r.first)
                          .status,
                      r.second)
                << r.first.substr(0, 60);
        }
    }
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
    EXPECT_EQ(s.Logs().find("event=worker_lost"), std::string::npos);
}

/* Another writer overwrites rows of the product (entries, owner, heartbeat,
 * spec, progress and cancellation of jobs) and adds rows of no job. New jobs
 * are still done, and those with overwritten rows run once each. Then the
 * owner is killed; the next one must find all jobs. */
TEST(HostedForeign, OverwrittenRowsLoseNoJobAcrossATakeover)
{
    HostedStack s(2, 2);
    const std::string text = "not ours";

    EXPECT_EQ(s.Submit(0, "a1", "4000").status, 200);
    EXPECT_EQ(s.Submit(1, "a2", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    ASSERT_TRUE(WaitFor([&] { return s.Starts().size() == 2; })) << s.Logs();
    for (const char *key :
         {"spec/a1", "run/a1", "spec/a2", "run/a2", "spec/ffff", "run/eeee",
          "stop/a1", "entry/", "entry/x", "entry/entry-9", "beat", "odd"}) {
        s.PutRow("parsleyfall", key, text);
        s.PutRow("op", key, text);
    }
    s.PutRow("parsleyfall", "entry/entry-8", R"({"links":"nowhere:x"})");
    s.PutRow("op", "config", "{\"version\":7,\"routes\":[7]}");
    EXPECT_EQ(s.Submit(0, "a3", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a3", "completed")) << s.Logs();
    int survivor = s.KillOwner();
    EXPECT_EQ(s.Submit(survivor, "a4", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(survivor, "a1", "completed")) << s.Logs();
    EXPECT_TRUE(s.WaitForState(survivor, "a2", "completed")) << s.Logs();
    EXPECT_TRUE(s.WaitForState(survivor, "a4", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 4u) << s.Logs();
}

/* The owner row is overwritten while the owner lives. An entry takes
 * leadership under a higher term and waits for the leases of the previous
 * owner, so that nothing runs twice. If terms started from the beginning,
 * workers would ignore the new owner. */
TEST(HostedForeign, AnOverwrittenOwnerRowIsTakenUnderAHigherTerm)
{
    HostedStack s(2, 2);

    EXPECT_EQ(s.Submit(0, "a0", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a0", "completed")) << s.Logs();
    int survivor = s.KillOwner();
    s.StartEntry(1 - survivor);
    ASSERT_TRUE(WaitFor([&] { return s.Ready(1 - survivor); }));
    EXPECT_EQ(s.Submit(survivor, "a1", "1000", 2).status, 200);
    ASSERT_TRUE(WaitFor([&] { return s.Starts().size() == 3; })) << s.Logs();
    s.PutRow("parsleyfall", "owner", "{\"name\":7,\"term\":\"x\"}");
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(1, "a2", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 4u) << s.Logs();
}

/* All entries end and the owner row is overwritten, so that no entry knows the
 * term that workers have seen. Agents report it, and leadership is taken above
 * it. */
TEST(HostedForeign, AgentsReportTheTermThatNoEntryKnows)
{
    HostedStack s(1, 1);

    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    s.entries[0]->Signal(SIGKILL);
    s.entries[0]->Wait();
    s.PutRow("parsleyfall", "owner",
             R"({"name":"entry-0","incarnation":5,"term":40})");
    s.StartEntry(0);
    ASSERT_TRUE(WaitFor([&] { return s.Ready(0); }));
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    s.entries[0]->Signal(SIGKILL);
    s.entries[0]->Wait();
    s.PutRow("parsleyfall", "owner", "gone");
    s.StartEntry(0);
    ASSERT_TRUE(WaitFor([&] { return s.Ready(0); }));
    EXPECT_EQ(s.Submit(0, "a3", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a3", "completed")) << s.Logs();
}

/* A caller submits a job and gets no answer, and the row is overwritten before
 * any entry has read it. Submitting the same id again repairs the row. */
TEST(HostedForeign, SubmittingAgainRepairsAnOverwrittenSpec)
{
    HostedStack s(1, 1);

    s.PutRow("parsleyfall", "spec/a1", "not ours");
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("input_unreadable") != std::string::npos;
    })) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

} /* namespace */
