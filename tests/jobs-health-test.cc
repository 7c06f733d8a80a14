/* Workers that fail what they start, and jobs that fail wherever they run. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

struct Case {
    const char *what;
    uint32_t tasks; /* of a gang; 1: single tasks */
    int sick;       /* of 16 workers */
};

/* Some workers fail each run as soon as it has begun, and have room again at
 * once. Callers' jobs, of two attempts each, were ended as failed though most
 * of the fleet was sound: each sick worker drew three runs before it was left
 * alone, and second attempts went to the next sick one. */
TEST(JobsHealth, SickWorkersCostNoJobItsLastAttempt)
{
    static const Case cases[] = {
        {"single tasks, one sick", 1, 1},
        {"single tasks, three sick", 1, 3},
        {"gangs, one sick", 4, 1},
        {"gangs, two sick", 4, 2},
    };

    for (const Case &c : cases) {
        World w(16, "batch:2:2");
        int failed = 0;

        for (int i = 0; i < 12; i++) {
            struct jobs_spec s = w.Spec("w" + std::to_string(i), 16, 1);

            w.Submit(s); /* all workers have ended something */
        }
        w.Turns(150);
        for (int i = 0; i < c.sick; i++) {
            w.workers[static_cast<size_t>(5 * i)].fails_soon = true;
        }
        for (int i = 0; i < 30; i++) {
            std::string id = "a" + std::to_string(i);
            struct jobs_spec s = w.Spec(id, c.tasks, 4);

            s.steps[0].gang = c.tasks > 1;
            w.natures[id].gang = static_cast<int>(c.tasks);
            w.Submit(s);
            w.Turns(5);
        }
        w.Turns(400);
        for (int i = 0; i < 30; i++) {
            failed += w.State("a" + std::to_string(i)) == JOB_FAILED;
        }
        EXPECT_EQ(failed, 0) << c.what;
        EXPECT_TRUE(w.broken.empty()) << c.what;
    }
}

/* A job that can never run fails early wherever it is sent. It is ended after
 * its attempts, and it must not take the fleet out of use: one worker at most
 * rests for it. */
TEST(JobsHealth, AJobThatFailsEverywhereTellsOfItself)
{
    World w(16, "batch:2:3");
    int rests = 0;

    w.natures["bad"].work_ms = 10;
    w.natures["bad"].failures = 1000;
    w.Submit(w.Spec("bad", 40, 1));
    w.Turns(100);
    for (const auto &e : w.events) {
        rests += e.second == "fails_all";
    }
    EXPECT_EQ(w.State("bad"), JOB_FAILED);
    EXPECT_LE(rests, 1);
}

/* Everything fails everywhere, as what all work needs is away. The fleet goes
 * on trying: no more than a quarter of it rests for single failures, and jobs
 * end after their attempts instead of waiting for ever. */
TEST(JobsHealth, WhereAllFailsJobsStillEnd)
{
    World w(8, "batch:2:2");

    for (Worker &x : w.workers) {
        x.fails_soon = true;
    }
    for (int i = 0; i < 10; i++) {
        w.Submit(w.Spec("a" + std::to_string(i), 2, 2));
    }
    w.Turns(600);
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(w.State("a" + std::to_string(i)), JOB_FAILED);
    }
}

} /* namespace */
