#include "parts-support.h"

#include <gtest/gtest.h>

#include <cstring>
#include <functional>

namespace {

struct RefusalCase {
    const char *name;
    std::function<void(struct parts *)> before;
    struct wire_prepare prepare;
    enum parts_reason reason;
};

/* A prepare that f has changed. */
struct wire_prepare
With(struct wire_prepare m,
     const std::function<void(struct wire_prepare &)> &f)
{
    f(m);
    return m;
}

const std::vector<RefusalCase> refusals = {
    {"fresh", nullptr, Prepare(1, 1, 1, 3), PARTS_GRANTED},
    {"other_incarnation", nullptr,
     With(Prepare(1, 1, 1, 3),
          [](auto &m) { m.incarnation = OWN_INCARNATION + 1; }),
     PARTS_OTHER_INCARNATION},
    {"no_runner", [](struct parts *p) { p->no_runner = true; },
     Prepare(1, 1, 1, 3), PARTS_NO_RUNNER},
    {"runner_not_heard", [](struct parts *p) { p->ready = false; },
     Prepare(1, 1, 1, 3), PARTS_NOT_READY},
    {"leaving", [](struct parts *p) { Parts_Drain(p, 0); },
     Prepare(1, 1, 1, 3), PARTS_LEAVING},
    {"no_accelerators", nullptr, Prepare(1, 1, 1, 0), PARTS_INVALID},
    {"accelerators_beyond", nullptr, Prepare(1, 1, 1, 0x100), PARTS_INVALID},
    {"no_lease", nullptr, Prepare(1, 1, 1, 3, 0), PARTS_INVALID},
    {"lower_term",
     [](struct parts *p) {
         auto m = Prepare(9, 1, 5, 0x80);
         Parts_Prepare(p, &m, 0);
     },
     Prepare(1, 1, 4, 3), PARTS_LOW_TERM},
    {"in_use", [](struct parts *p) { Started(p, Prepare(9, 1, 1, 2), 0); },
     Prepare(1, 1, 1, 3), PARTS_BUSY},
    {"reserved_by_another",
     [](struct parts *p) {
         auto m = Prepare(9, 1, 1, 1);
         Parts_Prepare(p, &m, 0);
     },
     Prepare(1, 1, 1, 3), PARTS_BUSY},
    {"copy",
     [](struct parts *p) {
         auto m = Prepare(1, 1, 1, 3);
         Parts_Prepare(p, &m, 0);
     },
     Prepare(1, 1, 1, 3), PARTS_DUPLICATE},
    {"lower_attempt_than_reserved",
     [](struct parts *p) {
         auto m = Prepare(1, 2, 1, 3);
         Parts_Prepare(p, &m, 0);
     },
     Prepare(1, 1, 1, 3), PARTS_SPENT},
    {"higher_attempt_replaces",
     [](struct parts *p) {
         auto m = Prepare(1, 1, 1, 3);
         Parts_Prepare(p, &m, 0);
     },
     Prepare(1, 2, 1, 3), PARTS_GRANTED},
    {"job_runs", [](struct parts *p) { Started(p, Prepare(1, 1, 1, 3), 0); },
     Prepare(1, 2, 1, 0xc), PARTS_JOB_HELD},
    {"fenced", [](struct parts *p) { Fence(p, 1, 1, 1, 0); },
     Prepare(1, 1, 1, 3), PARTS_SPENT},
    {"above_the_fence", [](struct parts *p) { Fence(p, 1, 1, 1, 0); },
     Prepare(1, 2, 1, 3), PARTS_GRANTED},
    {"claim_without_bindings", nullptr, Claim(1, 1, 1, 3, 0), PARTS_CLAIM},
    {"claim_is_old", [](struct parts *p) { Bind(p, 1, 4, 3); },
     Claim(1, 1, 1, 3, 3), PARTS_CLAIM},
    {"claim_beyond_cell", [](struct parts *p) { Bind(p, 1, 4, 3); },
     Claim(1, 1, 1, 7, 4), PARTS_CLAIM},
    {"claim_on_guaranteed_work",
     [](struct parts *p) {
         Bind(p, 1, 4, 3);
         Started(p, Claim(9, 1, 1, 1, 4), 0);
     },
     Claim(1, 1, 1, 3, 4), PARTS_CLAIM},
    {"claim_is_rightful", [](struct parts *p) { Bind(p, 1, 4, 3); },
     Claim(1, 1, 1, 3, 4), PARTS_GRANTED},
};

class Refusal : public testing::TestWithParam<RefusalCase> {};

TEST_P(Refusal, OfAPrepare)
{
    const RefusalCase &c = GetParam();
    Worker w;

    if (c.before) {
        c.before(&w.p);
    }
    EXPECT_STREQ(Parts_ReasonName(Parts_Prepare(&w.p, &c.prepare, 10).reason),
                 Parts_ReasonName(c.reason));
}

INSTANTIATE_TEST_SUITE_P(Parts, Refusal, testing::ValuesIn(refusals),
                         [](const auto &one) {
                             return std::string(one.param.name);
                         });

/* Guards against two running attempts of a job. The owner is paused between
 * its commit and the release; the reservation lapses, another attempt starts
 * elsewhere, then the release arrives. It must be refused, also after a late
 * copy of the prepare. */
TEST(Parts, ReleaseAfterTheLapseIsRefused)
{
    Worker w;
    auto m = Prepare(1, 1, 1, 3, 3000);
    auto r = Release(1, 1, 1);

    ASSERT_EQ(Parts_Prepare(&w.p, &m, 100).reason, PARTS_GRANTED);
    EXPECT_EQ(Parts_Tick(&w.p, 3099), 0u);
    EXPECT_EQ(Parts_Release(&w.p, &r, 3100).reason, PARTS_LAPSED);
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 3101).reason, PARTS_SPENT);
    EXPECT_EQ(Parts_Release(&w.p, &r, 3102).reason, PARTS_SPENT);
    EXPECT_STREQ(Find(&w.p, 1, 1, 1)->reason, "lapsed");
}

/* The rank of an ended part stays spent after its record was removed. */
TEST(Parts, LapseFreesTheAcceleratorsAndSpendsTheRank)
{
    Worker w;
    auto m = Prepare(1, 1, 1, 3, 3000);
    auto other = Prepare(2, 1, 1, 3, 3000);

    Parts_Prepare(&w.p, &m, 0);
    EXPECT_EQ(Parts_Tick(&w.p, 3000), 1u);
    EXPECT_EQ(Parts_Prepare(&w.p, &other, 3000).reason, PARTS_GRANTED);
    Parts_Remove(&w.p, Find(&w.p, 1, 1, 1));
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 3001).reason, PARTS_SPENT);
}

TEST(Parts, ReleaseWithoutAReservationSpendsItsRank)
{
    Worker w;
    auto m = Prepare(1, 1, 1, 3);
    auto r = Release(1, 1, 1);
    auto other = Release(1, 1, 2);

    EXPECT_EQ(Parts_Release(&w.p, &r, 0).reason, PARTS_UNKNOWN);
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 0).reason, PARTS_SPENT);
    m.term = 2;
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 0).reason, PARTS_GRANTED);
    r.incarnation = other.incarnation = OWN_INCARNATION + 1;
    EXPECT_EQ(Parts_Release(&w.p, &other, 0).reason, PARTS_OTHER_INCARNATION);
}

/* Guards against a member that works on after the others have stopped. The
 * renewer's reply is delayed; a lease counted from its arrival would last too
 * long after the time at which all members were present. */
TEST(Parts, LeasesCountFromTheSendingOfThePulse)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 1, 1, 3), 0);

    ASSERT_NE(part, nullptr);
    EXPECT_EQ(part->lease_until, GANG_LEASE_MS);
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 1500, 8000), 1u);
    EXPECT_EQ(part->lease_until, 1500 + GANG_LEASE_MS);
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 1000, 8000), 0u) << "an older answer";
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 8001, 8000), 0u) << "not yet sent";
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 3000, 8000, OWN_INCARNATION + 1), 0u)
        << "stranger";
    EXPECT_EQ(Renew(&w.p, 1, 1, 2, 3000, 8000), 0u) << "another rank";
    EXPECT_EQ(part->lease_until, 1500 + GANG_LEASE_MS);
}

/* The agent is cut off from the renewer. Its part must stop when the lease is
 * over, and a reply that arrives later must not revive it. */
TEST(Parts, PartStopsWhenItsLeaseIsOver)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 1, 1, 3), 0);

    EXPECT_EQ(Parts_Tick(&w.p, GANG_LEASE_MS - 1), 0u);
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 8000, GANG_LEASE_MS), 0u);
    EXPECT_EQ(Parts_Tick(&w.p, GANG_LEASE_MS), 1u);
    EXPECT_EQ(part->state, PART_STOPPING);
    EXPECT_STREQ(part->reason, "lease_over");
    EXPECT_EQ(part->stop_by, GANG_LEASE_MS);
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 8999, GANG_LEASE_MS), 0u);
    EXPECT_EQ(part->state, PART_STOPPING);
}

/* Guards against two working attempts of a job. A new owner fences an attempt
 * and starts the next one as soon as the agent replies that the old one is
 * done, so this must not be sent while the task still writes its checkpoint.
 */
TEST(Parts, FencedIsDoneOnlyWhenTheTaskHasStopped)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 1, 1, 3), 0);
    struct runner_task running = Task(1, 1, RUNNER_CHECKPOINTING, 3);
    struct runner_task stopped = Task(1, 1, RUNNER_STOPPED, 3);

    EXPECT_FALSE(Fence(&w.p, 1, 1, 1, 10));
    EXPECT_EQ(part->state, PART_STOPPING);
    Parts_Reconcile(&w.p, &running, 1, 0, 20, 21);
    EXPECT_FALSE(Fence(&w.p, 1, 1, 1, 22));
    Parts_Reconcile(&w.p, &stopped, 1, 0, 30, 31);
    EXPECT_TRUE(Fence(&w.p, 1, 1, 1, 32));
    auto next = Prepare(1, 2, 1, 3);
    EXPECT_EQ(Parts_Prepare(&w.p, &next, 33).reason, PARTS_GRANTED);
}

TEST(Parts, FenceCoversLowerRanksOnlyAndAnyIncarnation)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 2, 3, 3), 0);

    EXPECT_TRUE(Fence(&w.p, 1, 1, 9, 1));
    EXPECT_EQ(part->state, PART_RUNNING);
    EXPECT_FALSE(Fence(&w.p, 1, 2, 3, 1, OWN_INCARNATION - 1));
    EXPECT_EQ(part->state, PART_STOPPING);
}

/* After a restart the agent receives a fence before its runner has listed its
 * tasks. It can't know yet whether the fenced attempt is done. */
TEST(Parts, FenceIsNotDoneBeforeTheRunnerHasListedItsTasks)
{
    Worker w;

    w.p.ready = false;
    EXPECT_FALSE(Fence(&w.p, 1, 1, 1, 0));
    Parts_Reconcile(&w.p, nullptr, 0, 0, 1, 2);
    EXPECT_TRUE(Fence(&w.p, 1, 1, 1, 3));
}

/* An organisation claims its cell, on which lent work runs. The lent part has
 * its grace, shortened for an urgent claim. The claim must neither start nor
 * be granted until the runner has shown that the lent part has stopped. */
TEST(Parts, ClaimDisplacesLentWorkWithinItsGrace)
{
    for (bool urgent : {false, true}) {
        Worker w;
        Bind(&w.p, 1, 4, 3);
        struct part *lent = Started(&w.p, Prepare(9, 1, 1, 2), 0);
        struct part *beside = Started(&w.p, Prepare(8, 1, 1, 4), 0);
        auto m = Claim(1, 1, 1, 3, 4, urgent);
        auto v = Parts_Prepare(&w.p, &m, 100);

        ASSERT_EQ(v.reason, PARTS_GRANTED);
        EXPECT_EQ(v.displaced, 1);
        EXPECT_EQ(lent->state, PART_STOPPING);
        EXPECT_EQ(lent->stop_by,
                  100 + (urgent ? PARTS_URGENT_GRACE_MS : lent->grace_ms));
        EXPECT_EQ(beside->state, PART_RUNNING);
        EXPECT_FALSE(Parts_AcceleratorsFree(&w.p, v.part));
        struct runner_task tasks[] = {Task(9, 1, RUNNER_STOPPED, 2),
                                      Task(8, 1, RUNNER_RUNNING, 4)};
        Parts_Reconcile(&w.p, tasks, 2, 0, 200, 201);
        EXPECT_TRUE(Parts_AcceleratorsFree(&w.p, v.part));
        auto r = Release(1, 1, 1);
        EXPECT_EQ(Parts_Release(&w.p, &r, 202).reason, PARTS_GRANTED);
    }
}

/* The grace of a part's class is longer than a lease. The lease is renewed
 * while the part writes its checkpoint, and the part is stopped when its lease
 * or its grace is over. */
TEST(Parts, CheckpointMayTakeLongerThanALease)
{
    for (bool renewed : {true, false}) {
        Worker w;
        auto lent = Prepare(9, 1, 1, 3);
        lent.grace_ms = 2 * GANG_LEASE_MS;
        Bind(&w.p, 1, 4, 3);
        struct part *part = Started(&w.p, lent, 0);
        auto m = Claim(1, 1, 1, 3, 4);
        m.lease_ms = PARTS_LEASE_MAX_MS;
        Parts_Prepare(&w.p, &m, 100);

        EXPECT_TRUE(Parts_IsWorking(part));
        if (renewed) {
            EXPECT_EQ(Renew(&w.p, 9, 1, 1, 5000, 5001), 1u);
        }
        Parts_Tick(&w.p, GANG_LEASE_MS);
        EXPECT_EQ(part->checkpointing, renewed);
        Renew(&w.p, 9, 1, 1, 13000, 13001);
        Parts_Tick(&w.p, 100 + lent.grace_ms);
        EXPECT_FALSE(part->checkpointing);
        EXPECT_FALSE(Parts_IsWorking(part));
    }
}

TEST(Parts, ClaimThatIsReleasedBesideLentWorkIsRefused)
{
    Worker w;
    auto m = Claim(1, 1, 1, 3, 4);
    auto r = Release(1, 1, 1);

    Bind(&w.p, 1, 4, 3);
    Started(&w.p, Prepare(9, 1, 1, 2), 0);
    ASSERT_EQ(Parts_Prepare(&w.p, &m, 1).reason, PARTS_GRANTED);
    EXPECT_EQ(Parts_Release(&w.p, &r, 2).reason, PARTS_BUSY);
    EXPECT_EQ(Find(&w.p, 1, 1, 1)->state, PART_STOPPED);
}

TEST(Parts, BindingsNeverGoBack)
{
    Worker w;

    EXPECT_EQ(Bind(&w.p, 2, 4, 3), PARTS_GRANTED);
    EXPECT_EQ(Bind(&w.p, 2, 4, 1), PARTS_OLD_BINDING);
    EXPECT_EQ(Bind(&w.p, 1, 9, 1), PARTS_LOW_TERM);
    EXPECT_EQ(Bind(&w.p, 3, 1, 0xc), PARTS_GRANTED);
    struct part *part = Started(&w.p, Claim(1, 1, 3, 0xc, 1), 0);
    ASSERT_NE(part, nullptr);
    EXPECT_EQ(Bind(&w.p, 3, 2, 4), PARTS_GRANTED);
    EXPECT_FALSE(part->guaranteed) << "its cell was withdrawn";
}

/* The reply to a start is lost, so the task may run or start late. The part
 * counts as stopped only when its lease has ended at the worker too. */
TEST(Parts, UnknownStartIsOverOnlyWithItsLease)
{
    Worker w;
    auto m = Prepare(1, 1, 1, 3);
    auto r = Release(1, 1, 1);

    Parts_Prepare(&w.p, &m, 0);
    Parts_Release(&w.p, &r, 0);
    struct part *part = Find(&w.p, 1, 1, 1);
    part->start = START_REQUESTED;
    Parts_RecordStart(&w.p, part, ERR_UNKNOWN, 5);
    EXPECT_FALSE(Parts_IsWorking(part));
    EXPECT_FALSE(Fence(&w.p, 1, 1, 1, 10));
    Parts_Reconcile(&w.p, nullptr, 0, 0, 20, 21);
    EXPECT_FALSE(Fence(&w.p, 1, 1, 1, 22));
    Parts_Reconcile(&w.p, nullptr, 0, 0, GANG_LEASE_MS + 1, GANG_LEASE_MS + 2);
    EXPECT_TRUE(Fence(&w.p, 1, 1, 1, GANG_LEASE_MS + 3));
}

TEST(Parts, RefusedStartLeavesNothing)
{
    Worker w;
    auto m = Prepare(1, 1, 1, 3);
    auto r = Release(1, 1, 1);

    Parts_Prepare(&w.p, &m, 0);
    Parts_Release(&w.p, &r, 0);
    struct part *part = Find(&w.p, 1, 1, 1);
    part->start = START_REQUESTED;
    Parts_RecordStart(&w.p, part, ERR_INVALID, 5);
    EXPECT_EQ(part->state, PART_FAILED);
    EXPECT_TRUE(Fence(&w.p, 1, 1, 1, 6));
}

/* The agent is killed while a part runs. The next process adopts the part with
 * the rest of its lease at the worker. With a new full lease the part could
 * outlast the other members of its gang. */
TEST(Parts, RestartAdoptsWithTheRestOfTheLease)
{
    Worker before, after;
    struct part *part = Started(&before.p, Claim(1, 4, 6, 3, 0), 0);
    char label[RUNNER_LABEL_SIZE];

    EXPECT_EQ(part, nullptr) << "no binding yet";
    Bind(&before.p, 6, 2, 3);
    part = Started(&before.p, Claim(1, 4, 6, 3, 2), 0);
    ASSERT_NE(part, nullptr);
    Parts_Label(part, label);
    after.p.ready = false;
    struct runner_task tasks[] = {
        Task(1, 4, RUNNER_RUNNING, 3, 1000000 + 2500, label),
        Task(2, 1, RUNNER_ENDED_WELL, 8, 0, "1 6 2 1 0 0 "),
        Task(3, 1, RUNNER_RUNNING, 4, 1000000 + 99999, "strange")};
    Parts_Reconcile(&after.p, tasks, 3, 1000000, 50, 60);

    struct part *adopted = Find(&after.p, 1, 4, 6);
    ASSERT_NE(adopted, nullptr);
    EXPECT_EQ(adopted->state, PART_RUNNING);
    EXPECT_EQ(adopted->lease_until, 50 + 2500);
    EXPECT_EQ(adopted->members, 2u);
    EXPECT_TRUE(adopted->guaranteed);
    EXPECT_STREQ(adopted->organisation, "court");
    EXPECT_TRUE(Parts_IsWorking(adopted));
    EXPECT_EQ(Find(&after.p, 2, 1, 6)->state, PART_DONE);
    EXPECT_EQ(Find(&after.p, 3, 1, 0)->lease_until, 50 + GANG_LEASE_MS);
    EXPECT_EQ(Parts_Tick(&after.p, 2550), 1u);
    EXPECT_EQ(adopted->state, PART_STOPPING);
}

TEST(Parts, TaskWithoutAPartIsStopped)
{
    Worker w;
    struct runner_task stray = Task(5, 1, RUNNER_RUNNING, 1, 90000);
    auto m = Prepare(1, 1, 1, 1);

    Parts_Reconcile(&w.p, &stray, 1, 0, 10, 11);
    ASSERT_NE(Find(&w.p, 5, 1, 0), nullptr);
    EXPECT_EQ(Find(&w.p, 5, 1, 0)->state, PART_STOPPING);
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 12).reason, PARTS_BUSY);
    Parts_Reconcile(&w.p, &stray, 1, 0, 20, 21);
    stray.state = RUNNER_STOPPED;
    Parts_Reconcile(&w.p, &stray, 1, 0, 30, 31);
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 32).reason, PARTS_GRANTED);
}

TEST(Parts, PartThatTheRunnerNoLongerListsIsLost)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 1, 1, 3), 100);

    Parts_Reconcile(&w.p, nullptr, 0, 0, 99, 101);
    EXPECT_EQ(part->state, PART_RUNNING) << "the list was asked for before";
    Parts_Reconcile(&w.p, nullptr, 0, 0, 200, 201);
    EXPECT_EQ(part->state, PART_STOPPED);
    EXPECT_STREQ(part->reason, "lost");
}

TEST(Parts, StopThrottlesCheckpointsOrStops)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 1, 1, 3), 0);
    struct wire_stop m = {};

    m.job = Job(1);
    m.attempt = m.term = 1;
    m.incarnation = OWN_INCARNATION;
    m.grace_ms = 700;
    m.how = STOP_THROTTLE;
    Parts_Stop(&w.p, &m, 1);
    EXPECT_TRUE(part->throttled);
    m.how = STOP_RESUME;
    Parts_Stop(&w.p, &m, 2);
    EXPECT_FALSE(part->throttled);
    EXPECT_EQ(part->state, PART_RUNNING);
    m.how = STOP_CHECKPOINT;
    Parts_Stop(&w.p, &m, 3);
    EXPECT_EQ(part->state, PART_STOPPING);
    EXPECT_EQ(part->stop_by, 703);
    m.how = STOP_NOW;
    Parts_Stop(&w.p, &m, 4);
    EXPECT_EQ(part->stop_by, 4);
}

TEST(Parts, DrainDropsReservationsOnly)
{
    Worker w;
    struct part *part = Started(&w.p, Prepare(1, 1, 1, 3), 0);
    auto m = Prepare(2, 1, 1, 4);
    auto r = Release(2, 1, 1);

    Parts_Prepare(&w.p, &m, 0);
    Parts_Drain(&w.p, 1);
    EXPECT_EQ(part->state, PART_RUNNING);
    EXPECT_EQ(Renew(&w.p, 1, 1, 1, 1500, 1501), 1u);
    EXPECT_EQ(Parts_Release(&w.p, &r, 2).reason, PARTS_SPENT);
}

TEST(Parts, SpentRanksAreBounded)
{
    Worker w;

    for (int i = 0; i < SPENT_MAX; i++) {
        struct wire_fence m = {};
        memcpy(m.job.b + 1, &i, sizeof(i));
        m.attempt = 1;
        bool done;
        Parts_Fence(&w.p, &m, 0, &done);
    }
    auto m = Prepare(1, 1, 1, 3);
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 1).reason, PARTS_FULL);
    Parts_Tick(&w.p, SPENT_KEEP_MS);
    EXPECT_EQ(w.p.spent_count, 0u);
    EXPECT_EQ(Parts_Prepare(&w.p, &m, 1).reason, PARTS_GRANTED);
}

} // namespace
