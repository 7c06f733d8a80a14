/* Callers' estimates against what their runs take: right, half, and without
 * meaning. What is guessed then decides who waits and who gives way. */
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

/* Runs of 2.5 s, give or take a half; each estimate is off by some factor. */
double
Error(double usual_factor, double noise, bool guess)
{
    std::mt19937 random(20261203);
    std::normal_distribution<double> n;
    Lines lines;
    double sum = 0;
    const int runs = 400, first = 20;

    for (int i = 0; i < runs; i++) {
        int64_t took = static_cast<int64_t>(2500 * std::exp(0.45 * n(random)));
        int64_t said =
            static_cast<int64_t>(static_cast<double>(took) * usual_factor *
                                 std::exp(noise * n(random)));
        int64_t taken_for = guess ? Size_Guess(&lines, "q", said) : said;

        if (i >= first) {
            sum += std::fabs(std::log(static_cast<double>(taken_for) /
                                      static_cast<double>(took)));
        }
        Size_Take(&lines, "q", said, took);
    }
    return sum / (runs - first);
}

TEST(JobsSize, GuessesAreBetterThanEstimatesAndNeverMuchWorse)
{
    EXPECT_LT(Error(1, 0.1, true), 1.15 * Error(1, 0.1, false));
    EXPECT_LT(Error(0.5, 0.1, true), 0.3 * Error(0.5, 0.1, false));
    EXPECT_LT(Error(1, 0.9, true), 0.7 * Error(1, 0.9, false));
    EXPECT_LT(Error(0.5, 0.9, true), 0.6 * Error(0.5, 0.9, false));
}

TEST(JobsSize, AQueueNobodyHasSeenIsTakenAtItsWord)
{
    Lines lines;

    for (int i = 0; i < 50; i++) {
        Size_Take(&lines, "other", 1000, 4000);
    }
    EXPECT_EQ(Size_Guess(&lines, "q", 777), 777);
    EXPECT_EQ(Size_Guess(&lines, "q", 0), 0);
    Size_Take(&lines, "q", 0, 5000);
    Size_Take(&lines, "q", 5000, -1);
    EXPECT_EQ(Size_Guess(&lines, "q", 777), 777);
}

TEST(JobsSize, AGuessStaysWithinEightTimesTheEstimate)
{
    Lines lines;

    for (int i = 0; i < 200; i++) {
        Size_Take(&lines, "q", 1, INT64_MAX / 2);
    }
    EXPECT_LE(Size_Guess(&lines, "q", 1000), 8001);
    EXPECT_GE(Size_Guess(&lines, "q", 1000), 7999);
}

/* Urgent jobs say half of what they take. Ten of them later one more comes
 * while a long run, half done, holds the only worker. Taken at its word it
 * could not be in time if it waited, so the run would be stopped; as it is,
 * waiting for the end of the run leaves it in time, and nothing is thrown
 * away. */
TEST(JobsSize, WorkThatIsLongerThanSaidWaitsForARunThatEndsSoon)
{
    World w(1, "urgent:0:3 batch:2:3");

    w.natures["long"].work_ms = 3000;
    for (int i = 0; i < 10; i++) {
        std::string id = "u" + std::to_string(i);

        w.natures[id].work_ms = 4000;
        w.Submit(w.Spec(id, 1, 8, "urgent"));
        w.Turns(220);
        ASSERT_EQ(w.State(id), JOB_COMPLETED);
    }
    struct jobs_spec s = w.Spec("long", 1, 8);
    s.steps[0].estimate_ms = 3000;
    w.Submit(s);
    w.Turns(25);
    w.natures["last"].work_ms = 4000;
    w.Submit(w.Spec("last", 1, 8, "urgent"));
    w.Turns(500);
    EXPECT_EQ(w.gave_way_to.count("last"), 0u);
    EXPECT_EQ(w.Starts("long.0.0.0"), 1);
    EXPECT_EQ(w.State("last"), JOB_COMPLETED);
}

} /* namespace */
