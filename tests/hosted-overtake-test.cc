/* Reads for callers that overtake the feed, on the stand-in of the hosted
 * platform. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

using namespace harness;

namespace {

struct Case {
    const char *what;
    bool dropped; /* the history, before the feed has told of the job */
};

/* Guards against an accepted job that the owner never schedules: a read for a
 * caller puts it into the owner's cache before the feed brings it, and the
 * feed's copy is no news any more. */
TEST(Overtake, AJobThatACallersReadBringsFirstIsScheduled)
{
    static const Case cases[] = {{"the feed brings it later", false},
                                 {"its history is dropped", true}};

    for (const Case &c : cases) {
        HostedStack s(2, 1);
        int owner = s.Owner();

        s.StoreFault(owner, "quiet");
        /* Its entry meets its own row on the second try, and has none to send.
         */
        s.StoreFault(1 - owner, "lose");
        ASSERT_EQ(s.Submit(1 - owner, "a1", "50").status, 200) << c.what;
        s.StoreFault(1 - owner, "");
        ASSERT_EQ(Text(s.Query(owner, "a1").json().get(), "state"), "queued")
            << c.what;
        if (c.dropped) {
            s.DropHistory();
        }
        s.StoreFault(owner, "");
        EXPECT_TRUE(s.WaitForState(owner, "a1", "completed"))
            << c.what << s.Logs();
        EXPECT_EQ(s.Starts().size(), 1u) << c.what;
    }
}

/* Guards against jobs that wait for as long as the owner's feed brings
 * nothing: whoever accepts one sends its row to the owner. */
TEST(Overtake, AnAcceptedJobStartsWhileTheLeadersFeedIsSilent)
{
    HostedStack s(2, 1);
    int owner = s.Owner();

    s.StoreFault(owner, "quiet");
    ASSERT_EQ(s.Submit(1 - owner, "a1", "50").status, 200);
    EXPECT_TRUE(WaitFor([&] { return s.Starts().size() == 1; })) << s.Logs();
    s.StoreFault(owner, "");
    EXPECT_TRUE(s.WaitForState(owner, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

} /* namespace */
