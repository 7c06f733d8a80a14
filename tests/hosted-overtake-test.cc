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

/* How a job is cancelled that no entry has a row of. */
struct UnknownJobCase {
    const char *what;
    int tries; /* unanswered tries to submit it, at entry 0 and 1 in turn */
    int cancels;
    bool by_job;      /* by the product's own interface */
    bool late_before; /* the writes are made before the cancellation */
    int again;        /* tries to submit it after the cancellation */
};

/* Cancels a job at an entry; the status of the answer. */
int
CancelAt(HostedStack &s, int entry, const std::string &id, bool by_job)
{
    return by_job ? Http("DELETE", s.OperatorUrl(entry) + "/v1/jobs/" + id, "",
                         {"Authorization: Bearer key-one"})
                        .status
                  : s.Cancel(entry, id).status;
}

/* Guards against a job that runs although its cancellation was answered with
 * "no such job": the store makes the write that accepts it only afterwards. */
TEST(Overtake, AJobCancelledBeforeItIsKnownNeverRuns)
{
    static const UnknownJobCase cases[] = {
        {"one unanswered try", 1, 1, false, false, 0},
        {"two unanswered tries", 2, 1, false, false, 0},
        {"cancelled twice", 2, 2, false, false, 0},
        {"submitted again afterwards", 1, 1, false, false, 2},
        {"cancelled before it is submitted", 0, 1, false, false, 2},
        {"by the own interface", 1, 1, true, false, 1},
        {"accepted just before", 1, 1, false, true, 0},
    };
    HostedStack s(2, 1);
    int number = 0;

    s.Owner();
    for (const UnknownJobCase &c : cases) {
        std::string id = "a" + std::to_string(number++);

        for (int i = 0; i < 2; i++) {
            s.StoreFault(i, "hold");
        }
        for (int i = 0; i < c.tries; i++) {
            ASSERT_EQ(s.Submit(i % 2, id, "60000").status, 504) << c.what;
        }
        for (int i = 0; i < 2; i++) {
            s.StoreFault(i, "");
        }
        if (c.late_before) {
            ASSERT_EQ(s.ReleaseHeld(), 1) << c.what;
        }
        for (int i = 0; i < c.cancels; i++) {
            EXPECT_EQ(CancelAt(s, (i + 1) % 2, id, c.by_job), c.late_before
                                                                  ? 200
                                                              : c.by_job ? 404
                                                                         : 410)
                << c.what << s.Logs();
        }
        EXPECT_EQ(s.ReleaseHeld(), 0) << c.what;
        for (int i = 0; i < c.again; i++) {
            Reply r = s.Submit(i % 2, id, "60000");

            EXPECT_EQ(r.status, 429) << c.what;
            EXPECT_LE(std::stoi("0" + r.headers["retry-after"]), 60) << c.what;
            EXPECT_GE(std::stoi("0" + r.headers["retry-after"]), 1) << c.what;
        }
        if (c.late_before) {
            EXPECT_TRUE(s.WaitForState(0, id, "cancelled")) << c.what;
        }
        else {
            EXPECT_EQ(s.Query(0, id).status, 410) << c.what;
            EXPECT_EQ(s.Query(1, id).status, 410) << c.what;
        }
    }
    /* Another job is served as usual, and none of the others has run. */
    ASSERT_EQ(s.Submit(0, "b1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "b1", "completed")) << s.Logs();
    for (const std::string &run : s.Starts()) {
        EXPECT_TRUE(run.compare(0, 3, "b1.") == 0 ||
                    run.compare(0, 3, "a6.") == 0)
            << run;
    }
}

/* Guards against a job that runs although it was cancelled, as the
 * cancellation reaches the store after the acceptance, and both are late. */
TEST(Overtake, ALateCancellationStopsAJobThatWasAcceptedBeforeIt)
{
    HostedStack s(2, 1);

    s.Owner();
    for (int i = 0; i < 2; i++) {
        s.StoreFault(i, "hold");
    }
    ASSERT_EQ(s.Submit(0, "a1", "60000").status, 504);
    for (int i = 0; i < 2; i++) {
        s.StoreFault(i, "hold-stops");
    }
    EXPECT_EQ(s.Cancel(1, "a1").status, 504);
    for (int i = 0; i < 2; i++) {
        s.StoreFault(i, "");
    }
    ASSERT_GE(s.ReleaseHeld(), 2);
    EXPECT_TRUE(s.WaitForState(0, "a1", "cancelled")) << s.Logs();
    EXPECT_TRUE(s.WaitForState(1, "a1", "cancelled")) << s.Logs();
    ASSERT_EQ(s.Submit(0, "b1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "b1", "completed")) << s.Logs();
}

/* Guards against a store that fills up with requests to cancel jobs that are
 * not there: there is a limit to them, and they are deleted after a minute. */
TEST(Overtake, RequestsToCancelUnknownJobsAreBoundedInNumberAndTime)
{
    const int limit = 4096, written_in_a_second = 1000;
    HostedStack s(2, 1);
    int cancelled = 0;
    Reply last;

    s.Owner();
    ASSERT_EQ(s.Submit(0, "b0", "60000").status, 200);
    ASSERT_EQ(s.Cancel(0, "a0").status, 410);
    EXPECT_EQ(s.Submit(1, "a0", "50").status, 429);
    do {
        last = s.Cancel(cancelled % 2, "c" + std::to_string(cancelled));
    } while (last.status == 410 &&
             ++cancelled < limit + 2 * written_in_a_second);
    EXPECT_EQ(last.status, 503) << cancelled;
    EXPECT_GE(cancelled, limit - 1);
    EXPECT_LE(cancelled, limit + written_in_a_second);
    /* A job that is there is cancelled all the same. */
    EXPECT_EQ(s.Cancel(1, "b0").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "b0", "cancelled")) << s.Logs();
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(1, "a0", "50").status == 200; }, 90000));
    EXPECT_TRUE(s.WaitForState(0, "a0", "completed")) << s.Logs();
    EXPECT_TRUE(WaitFor([&] { return s.Cancel(0, "d0").status == 410; }));
}

} /* namespace */
