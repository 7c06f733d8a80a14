/* Operators empty a failure domain: nothing more starts there until they take
 * it back. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

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
    auto says = [&](const char *event) {
        return s.Logs().find(event) != std::string::npos;
    };

    s.PutRow("op", "evacuate/a", "{}");
    ASSERT_TRUE(WaitFor([&] { return says("event=domain_emptied"); }));
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(WaitFor([&] { return says("reason=domain_emptied"); }));
    EXPECT_TRUE(s.Starts().empty());
    s.RemoveRow("op", "evacuate/a");
    EXPECT_TRUE(s.Ends(0, "a1", "completed")) << s.Logs();
    EXPECT_TRUE(says("event=domain_taken_back"));
}

} /* namespace */
