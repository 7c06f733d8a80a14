/* Rows that reach an entry before its feed reports them, and writes that reach
 * the store late. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

using namespace harness;

namespace {

struct Case {
    const char *what;
    /* The history is dropped before the feed has reported the job. */
    bool dropped;
};

/* A read for a caller puts a job into the owner's cache before the feed
 * reports it. The copy from the feed is then not new, and the job must be
 * scheduled all the same. */
TEST(Overtake, AJobFirstReadForACallerIsScheduled)
{
    static const Case cases[] = {{"the feed reports it later", false},
                                 {"the history is dropped", true}};

    for (const Case &c : cases) {
        HostedStack s(2, 1);
        int owner = s.Owner();

        s.StoreFault(owner, "quiet");
        /* The accepting entry finds its row stored on its second try, so it
         * has none to send to the owner. */
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

/* Accepted jobs would wait while the owner's feed is silent, so the accepting
 * entry sends the row to the owner. */
TEST(Overtake, AnAcceptedJobStartsWhileTheOwnersFeedIsSilent)
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

/* Guards against a late copy of the owner's write that undoes newer rows, so
 * that the next owner starts a completed task again. */
TEST(Overtake, ALateWriteOfTheOwnerDoesNotUndoNewerOnes)
{
    HostedStack s(2, 1);
    int owner = s.Owner();

    ASSERT_EQ(s.Submit(1 - owner, "a1", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(1 - owner, "a1", "completed")) << s.Logs();
    s.StoreFault(owner, "hold-one");
    ASSERT_EQ(s.Submit(1 - owner, "a2", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(1 - owner, "a2", "completed")) << s.Logs();
    ASSERT_EQ(s.HeldWrites(), 1) << s.Logs();
    EXPECT_EQ(s.ReleaseHeld(), 0);
    owner = s.KillOwner();
    ASSERT_EQ(s.Submit(owner, "a3", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(owner, "a3", "completed")) << s.Logs();
    EXPECT_EQ(Text(s.Query(owner, "a2").json().get(), "state"), "completed");
    EXPECT_EQ(s.Starts().size(), 3u) << s.Logs();
}

} /* namespace */
