/* Workers whose capacity shrinks and grows again while they run. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Guards against a start that was chosen for the room of before: its row is
 * stored, or its order is sent again, after the worker has shrunk. */
TEST(JobsRoom, AStartThatHasNotGoneOutIsTakenBackWhenItsRoomIsGone)
{
    struct Case {
        const char *what;
        bool store_up;   /* when it is chosen */
        int lose_orders; /* the first ones */
    };
    static const Case cases[] = {
        {"its row is not stored yet", false, 0},
        {"its first order is lost", true, 2},
    };

    for (const Case &c : cases) {
        World w(1);

        w.natures["a"].work_ms = 20000;
        w.natures["b"].work_ms = 1000;
        w.Submit(w.Spec("a", 1, 2));
        w.Turns(10);
        w.store_up = c.store_up;
        w.lose_orders = c.lose_orders;
        w.Submit(w.Spec("b", 2, 3));
        w.Turns(2);
        w.workers[0].capacity.accelerators = 4;
        w.Turn();
        w.store_up = true;
        for (int i = 0; i < 100; i++) {
            w.Turn();
            ASSERT_EQ(w.starts["b.0.0.0"] + w.starts["b.0.0.1"], 0) << c.what;
        }
        EXPECT_EQ(w.starts["a.0.0.0"], 1) << c.what << ": what runs goes on";
        w.workers[0].capacity.accelerators = 8;
        w.Turns(5);
        EXPECT_EQ(w.starts["b.0.0.0"], 1) << c.what << ": growth is used";
        w.Turns(1500);
        EXPECT_EQ(w.State("a"), JOB_COMPLETED) << c.what;
        EXPECT_EQ(w.State("b"), JOB_COMPLETED) << c.what;
        EXPECT_TRUE(w.broken.empty()) << c.what;
    }
}

/* Guards against room that counts twice: what is being stopped on a worker
 * that has shrunk still holds its own. */
TEST(JobsRoom, WhatIsBeingStoppedStillCountsOnAShrunkenWorker)
{
    World w(1);

    w.natures["a"].work_ms = 20000;
    w.Submit(w.Spec("a", 2, 4));
    w.Turns(10);
    w.workers[0].capacity.accelerators = 4;
    w.Turns(2);
    w.lose_orders = 1000; /* stops among them */
    w.Cancel("a");
    w.Submit(w.Spec("b", 1, 4));
    w.Turns(10);
    w.lose_orders = 0;
    for (int i = 0; i < 200; i++) {
        w.Turn();
        bool b_runs = w.WorkerOf("b.0.0.0") != nullptr;

        ASSERT_FALSE(b_runs && w.workers[0].runs.size() > 1);
    }
    EXPECT_EQ(w.State("b"), JOB_COMPLETED);
}

/* Guards against a worker of no room that is sent work all the same. */
TEST(JobsRoom, AWorkerWithoutRoomGetsNothingAndTheOthersGoOn)
{
    World w(2);

    w.workers[0].capacity = {0, 0, 0};
    w.Submit(w.Spec("a", 4, 2));
    w.Turns(200);
    EXPECT_EQ(w.State("a"), JOB_COMPLETED);
    EXPECT_TRUE(w.workers[0].closed.empty());
}

} /* namespace */
