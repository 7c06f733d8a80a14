/* Operators ask for a failure domain to be emptied: nothing starts there until
 * they withdraw the request. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* Tasks were once started in a failure domain 5.5 s after the store had
 * confirmed the request to empty it, and for as long as it stood, because no
 * entry read that row. The entry must log that the domain is emptied, and a
 * job must wait until the request is withdrawn. */
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

/* True when the logs contain `what` at least n times. */
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

/* The store does not answer one of two entries, a domain is emptied, and the
 * other entry is killed, so that the first becomes the owner. It must have
 * received the request from the other entry before; a job waits until the
 * request is withdrawn. */
TEST(HostedEvacuate, AnEntryWithoutTheStoreLearnsOfItFromAnother)
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

/* The owner is killed while a domain is emptied. The next owner must start
 * nothing there either, and must not stop what runs there. */
TEST(HostedEvacuate, TheNextOwnerStartsNothingThereAndStopsNothing)
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
 * table is listed again, and right after the request was withdrawn, when only
 * its absence from the list shows that. An unreadable value of the row in
 * between changes nothing. */
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
        return LogContains(s, "keeping the last readable value");
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

/* An entry behind a slow link has delegated reading a configuration of
 * thousands of queues, so it reads no row of the operator table, when a domain
 * is emptied and the request withdrawn. It must learn of both. */
TEST(HostedEvacuate, AnEntryThatDelegatesReadingLearnsOfIt)
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
