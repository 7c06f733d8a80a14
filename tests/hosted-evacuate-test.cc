/* Operators empty a failure domain: nothing more starts there until they take
 * it back. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* An operator has asked that a failure domain be emptied, and the store has
 * confirmed it. Tasks went on being started there, 5.5 s later and for as long
 * as the request stood: nothing reads that row. What is seen from outside: the
 * entry says that the domain is empty, a job that comes waits, and starts once
 * the domain is taken back. */
TEST(HostedEvacuate, NothingStartsInAnEmptiedDomain)
{
    HostedStack s(1, 1);
    auto logged = [&](const char *event) {
        return s.Logs().find(event) != std::string::npos;
    };

    s.PutRow("op", "evacuate/a", "{}");
    ASSERT_TRUE(WaitFor([&] { return logged("event=domain_emptied"); }));
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(WaitFor([&] { return logged("reason=domain_emptied"); }));
    EXPECT_TRUE(s.Starts().empty());
    s.RemoveRow("op", "evacuate/a");
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_TRUE(logged("event=domain_taken_back"));
}

/* True when that was logged n times or more. */
bool
LogContains(const HostedStack &s, const std::string &what, size_t n = 1)
{
    std::string logs = s.Logs();
    size_t at = 0;

    while (n > 0 && (at = logs.find(what, at)) != std::string::npos) {
        at += what.size();
        n--;
    }
    return n == 0;
}

/* The store turns the machine of one of two entries away, then a domain is
 * emptied, and the other entry is killed, so that the first may be the owner.
 * It must have heard of the domain from the other one before; a job that comes
 * waits until the domain is taken back. */
TEST(HostedEvacuate, AnEntryThatTheStoreTurnsAwayHearsOfItFromAnother)
{
    HostedStack s(2, 1);

    s.StoreFault(1, "silent");
    s.PutRow("op", "evacuate/a", "{}");
    ASSERT_TRUE(WaitFor([&] {
        return LogContains(s, "event=domain_emptied", 2);
    })) << s.Logs();
    s.StoreFault(1, "");
    s.entries[0]->Signal(SIGKILL);
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(1, "a1", "50").status == 200; }, 15000));
    EXPECT_TRUE(WaitFor(
        [&] { return LogContains(s, "reason=domain_emptied"); }, 15000))
        << s.Logs();
    EXPECT_TRUE(s.Starts().empty());
    s.RemoveRow("op", "evacuate/a");
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
}

/* The owner is killed while a domain is emptied: the one that takes over obeys
 * too, and what ran there before is not cut. */
TEST(HostedEvacuate, TheNextOwnerObeysAndWhatRunsGoesOn)
{
    HostedStack s(2, 1);

    EXPECT_EQ(s.Submit(0, "a1", "4000").status, 200);
    EXPECT_TRUE(WaitFor([&] { return s.Starts().size() == 1; }));
    s.PutRow("op", "evacuate/a", "{}");
    ASSERT_TRUE(
        WaitFor([&] { return LogContains(s, "event=domain_emptied", 2); }));
    int survivor = s.KillOwner();
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(survivor, "a2", "50").status == 200; }));
    EXPECT_TRUE(WaitFor(
        [&] { return LogContains(s, "reason=domain_emptied"); }, 15000))
        << s.Logs();
    EXPECT_TRUE(s.WaitForState(survivor, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
    s.RemoveRow("op", "evacuate/a");
    EXPECT_TRUE(s.WaitForState(survivor, "a2", "completed")) << s.Logs();
}

/* The store drops its history right after a domain was emptied, so that the
 * table is listed anew; then right after it was taken back, when only its
 * absence from the list tells. Nonsense in the row in between changes nothing.
 */
TEST(HostedEvacuate, ADroppedHistoryAndAnUnreadableRowChangeNothing)
{
    HostedStack s(1, 1);

    s.PutRow("op", "evacuate/a", "{}");
    s.DropHistory();
    ASSERT_TRUE(WaitFor([&] {
        return LogContains(s, "event=domain_emptied");
    })) << s.Logs();
    s.PutRow("op", "evacuate/a", "nonsense");
    ASSERT_TRUE(WaitFor([&] {
        return LogContains(s, "the last good one holds");
    })) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(
        WaitFor([&] { return LogContains(s, "reason=domain_emptied"); }));
    EXPECT_TRUE(s.Starts().empty());
    EXPECT_FALSE(LogContains(s, "event=domain_taken_back"));
    s.RemoveRow("op", "evacuate/a");
    s.DropHistory();
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
}

/* An entry behind a thin link has left the reading of a configuration of
 * thousands of queues to another one, so it sees no row of that table, when a
 * domain is emptied and taken back. It hears of both. */
TEST(HostedEvacuate, AnEntryThatLeavesTheReadingToOthersHearsOfIt)
{
    HostedStack s(2, 1);

    s.LimitStoreBandwidth(1, 300000);
    s.PutLargeConfig(2, 2500);
    ASSERT_TRUE(WaitFor(
        [&] { return LogContains(s, "event=config_source way=entries"); },
        30000))
        << s.Logs();
    s.PutRow("op", "evacuate/a", "{}");
    EXPECT_TRUE(WaitFor(
        [&] { return LogContains(s, "event=domain_emptied", 2); }, 15000))
        << s.Logs();
    s.RemoveRow("op", "evacuate/a");
    EXPECT_TRUE(WaitFor(
        [&] { return LogContains(s, "event=domain_taken_back", 2); }, 15000))
        << s.Logs();
}

} /* namespace */
