/* Another writer beside the product, on the stand-in of the hosted platform,
 * as processes: reports, rows and entries that nobody can read. What is sound
 * is used as before, and nothing that was accepted is lost. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* Reports of other writers come to the agent of a worker that works: without a
 * state that is named, without room, of another lifetime, of none. The run
 * goes on, and the worker is used for the next job. Without the report under
 * the other id the agent gives up the lifetime that is there, for good. */
TEST(HostedForeign, ReportsOfOthersNameNoWorker)
{
    HostedStack s(1, 1);
    const std::string whole =
        R"("service":"pool","address":"127.0.0.1:1","sequence":9,)"
        R"("capacity":{"cpu":1,"mem-mb":1,"gpu":0},"labels":["a","r1"])";
    const std::pair<std::string, int> reports[] = {
        {"{" + whole + R"(,"state":"ready"})", 200}, /* of another lifetime */
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

/* Another writer writes over rows of the product: entries, the owner, the
 * heartbeat, a job's spec, its progress and a cancelling, beside rows of no
 * job. Jobs that are handed in then are done, the spoiled ones once each. Then
 * the owner is killed: the one that takes over finds all of it. */
TEST(HostedForeign, SpoiledRowsLoseNothingOverATakeover)
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

/* The owner's row is spoiled while it lives. Somebody takes leadership again,
 * under a higher term, and waits for what the one before may have granted:
 * nothing runs twice. Counting terms from the start again, the workers would
 * answer nobody. */
TEST(HostedForeign, ASpoiledOwnerRowIsTakenUnderAHigherTerm)
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

/* All entries end, and the owner's row is spoiled: nobody knows the term that
 * the workers have seen. The agents do; leadership is taken above it. */
TEST(HostedForeign, WhenNoEntryKnowsTheTermTheAgentsDo)
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

/* A caller hands a job in, gets no answer, and its row is spoiled before any
 * entry has read it. The caller hands the same id in again: that puts it
 * right. */
TEST(HostedForeign, HandingInAgainPutsASpoiledSpecRight)
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
