/* Callers' estimates compared with the lengths of their runs: right, half, and
 * meaningless. The prediction then decides which job waits and which run is
 * evicted. */
#include "jobs-size.h"
#include "jobs-world.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace {

struct Lines : size_lines {
    Lines()
    {
        SLIST_INIT(this);
    }
    ~Lines()
    {
        Size_Clear(this);
    }
};

/* Returns the mean error of estimates or predictions, in logarithms. Runs take
 * 2.5 s, give or take a half, and each estimate is off by some factor. */
double
Error(double usual_factor, double noise, bool predict)
{
    std::mt19937 random(20261203);
    std::normal_distribution<double> n;
    Lines lines;
    double sum = 0;
    const int runs = 400, first = 20;

    for (int i = 0; i < runs; i++) {
        int64_t took_ms =
            static_cast<int64_t>(2500 * std::exp(0.45 * n(random)));
        int64_t estimate_ms =
            static_cast<int64_t>(static_cast<double>(took_ms) * usual_factor *
                                 std::exp(noise * n(random)));
        int64_t used_ms =
            predict ? Size_Predict(&lines, "q", estimate_ms) : estimate_ms;

        if (i >= first) {
            sum += std::fabs(std::log(static_cast<double>(used_ms) /
                                      static_cast<double>(took_ms)));
        }
        Size_Learn(&lines, "q", estimate_ms, took_ms);
    }
    return sum / (runs - first);
}

TEST(JobsSize, PredictionsAreBetterThanEstimatesAndNeverMuchWorse)
{
    EXPECT_LT(Error(1, 0.1, true), 1.15 * Error(1, 0.1, false));
    EXPECT_LT(Error(0.5, 0.1, true), 0.3 * Error(0.5, 0.1, false));
    EXPECT_LT(Error(1, 0.9, true), 0.7 * Error(1, 0.9, false));
    EXPECT_LT(Error(0.5, 0.9, true), 0.6 * Error(0.5, 0.9, false));
}

TEST(JobsSize, EstimatesOfAnUnknownQueueAreKept)
{
    Lines lines;

    for (int i = 0; i < 50; i++) {
        Size_Learn(&lines, "other", 1000, 4000);
    }
    EXPECT_EQ(Size_Predict(&lines, "q", 777), 777);
    EXPECT_EQ(Size_Predict(&lines, "q", 0), 0);
    Size_Learn(&lines, "q", 0, 5000);
    Size_Learn(&lines, "q", 5000, -1);
    EXPECT_EQ(Size_Predict(&lines, "q", 777), 777);
}

TEST(JobsSize, APredictionStaysWithinEightTimesTheEstimate)
{
    Lines lines;

    for (int i = 0; i < 200; i++) {
        Size_Learn(&lines, "q", 1, INT64_MAX / 2);
    }
    EXPECT_LE(Size_Predict(&lines, "q", 1000), 8001);
    EXPECT_GE(Size_Predict(&lines, "q", 1000), 7999);
}

/* Urgent jobs take four times their estimate. After ten of them one more
 * arrives, while a long run that is half done holds the only worker. By its
 * estimate, the job could not be in time if it waited, so the run would be
 * evicted. By the prediction it can wait for the end of the run and still be
 * in time, so nothing may be discarded. */
TEST(JobsSize, WorkLongerThanItsEstimateWaitsForARunThatEndsSoon)
{
    Simulation sim(1, "urgent:0:3 batch:2:3");

    sim.behaviours["long"].work_ms = 3000;
    for (int i = 0; i < 10; i++) {
        std::string id = "u" + std::to_string(i);

        sim.behaviours[id].work_ms = 4000;
        sim.Submit(sim.Spec(id, 1, 8, "urgent"));
        sim.Ticks(220);
        ASSERT_EQ(sim.State(id), JOB_COMPLETED);
    }
    struct jobs_spec s = sim.Spec("long", 1, 8);
    s.steps[0].estimate_ms = 3000;
    sim.Submit(s);
    sim.Ticks(25);
    sim.behaviours["last"].work_ms = 4000;
    sim.Submit(sim.Spec("last", 1, 8, "urgent"));
    sim.Ticks(500);
    EXPECT_EQ(sim.preemptors.count("last"), 0u);
    EXPECT_EQ(sim.Starts("long.0.0.0"), 1);
    EXPECT_EQ(sim.State("last"), JOB_COMPLETED);
}

} /* namespace */
