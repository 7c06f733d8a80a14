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

/* Guards against an accepted job that the leader never schedules: a read for a
 * caller puts it into the leader's cache before the feed brings it, and the
 * feed's copy is no news any more. */
TEST(Overtake, AJobThatACallersReadBringsFirstIsScheduled)
{
    static const Case cases[] = {{"the feed brings it later", false},
                                 {"its history is dropped", true}};

    for (const Case &c : cases) {
        HostedStack s(2, 1);
        int leader = s.Owner();

        s.StoreFault(leader, "quiet");
        /* Its entry meets its own row on the second try, and has none to send.
         */
        s.StoreFault(1 - leader, "lose");
        ASSERT_EQ(s.Submit(1 - leader, "a1", "50").status, 200) << c.what;
        s.StoreFault(1 - leader, "");
        ASSERT_EQ(Text(s.Ask(leader, "a1").json().get(), "state"), "queued")
            << c.what;
        if (c.dropped) {
            s.DropHistory();
        }
        s.StoreFault(leader, "");
        EXPECT_TRUE(s.Ends(leader, "a1", "completed")) << c.what << s.Logs();
        EXPECT_EQ(s.Starts().size(), 1u) << c.what;
    }
}

/* Guards against jobs that wait for as long as the leader's feed brings
 * nothing: whoever accepts one sends its row to the leader. */
TEST(Overtake, AnAcceptedJobStartsWhileTheLeadersFeedIsSilent)
{
    HostedStack s(2, 1);
    int leader = s.Owner();

    s.StoreFault(leader, "quiet");
    ASSERT_EQ(s.Submit(1 - leader, "a1", "50").status, 200);
    EXPECT_TRUE(WaitFor([&] { return s.Starts().size() == 1; })) << s.Logs();
    s.StoreFault(leader, "");
    EXPECT_TRUE(s.Ends(leader, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

} /* namespace */
