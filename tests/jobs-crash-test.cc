/* Tasks that crash the workers that start them, and sound tasks on workers
 * that crash by themselves. */
#include "jobs-world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace {

struct Crasher {
    const char *what;
    uint32_t tasks; /* of a gang; 1: a single task */
    bool lasting;
    int64_t accelerators; /* of a task; a worker has 8 */
    int64_t crash_ms;     /* after its start */
    int neighbours;       /* sound tasks of one accelerator */
    int crashes;          /* of workers, at most */
};

const Crasher crashers[] = {
    {"alone on its worker", 1, false, 8, 10, 0, 3},
    {"alone, beside a full fleet", 1, false, 8, 10, 40, 3},
    {"beside sound tasks", 1, false, 1, 10, 30, 3},
    {"after a second of work", 1, false, 8, 1000, 0, 4},
    {"a lasting task", 1, true, 8, 10, 0, 3},
    {"a member of a gang", 3, false, 2, 10, 10, 3},
};

/* Submits the crashing job "c" and sound ones "n0" to "nN". */
void
SubmitWith(World &w, const Crasher &c)
{
    struct jobs_spec s = w.Spec("c", c.tasks, c.accelerators);

    for (int i = 0; i < c.neighbours; i++) {
        std::string id = "n" + std::to_string(i);

        w.natures[id].work_ms = 2000;
        w.Submit(w.Spec(id, 1, 1));
    }
    w.Turns(5);
    s.steps[0].gang = c.tasks > 1;
    s.steps[0].lasting = c.lasting;
    w.natures["c"].gang = static_cast<int>(c.tasks);
    w.natures["c"].work_ms = 5000;
    w.natures["c.0.0." + std::to_string(c.tasks - 1)] = w.natures["c"];
    w.natures["c.0.0." + std::to_string(c.tasks - 1)].crash_ms = c.crash_ms;
    w.Submit(s);
}

/* Guards against a crashing task that is started for ever, and against sound
 * ones that are given up with it; a worker may come back under its id, and is
 * then not sent the same run again. */
TEST(JobsCrash, ATaskThatCrashesItsWorkersIsGivenUp)
{
    for (size_t i = 0; i < 2 * COUNT_OF(crashers); i++) {
        const Crasher &c = crashers[i / 2];
        World w(6);
        std::string task = "c.0.0." + std::to_string(c.tasks - 1);
        std::string what = c.what + std::string(i % 2 ? ", ids kept" : "");

        w.keep_ids = i % 2 == 1;
        SubmitWith(w, c);
        w.Turns(2000);
        EXPECT_EQ(w.State("c"), JOB_FAILED) << what;
        EXPECT_LE(w.crashes[task], c.crashes) << what;
        EXPECT_TRUE(w.Happened("task_given_up", "crashes_workers")) << what;
        EXPECT_TRUE(w.broken.empty()) << what << ": " << w.broken[0];
        for (int k = 0; k < c.neighbours; k++) {
            std::string n = "n" + std::to_string(k);

            EXPECT_EQ(w.State(n), JOB_COMPLETED) << what << ": " << n;
        }
    }
}

/* Guards against a count that is lost with the owner that kept it. */
TEST(JobsCrash, EachCrashUnderAnotherOwnerIsCounted)
{
    for (const Crasher &c : crashers) {
        World w(6);
        std::string task = "c.0.0." + std::to_string(c.tasks - 1);
        int seen = 0;

        SubmitWith(w, c);
        for (int i = 0; i < 3000; i++) {
            w.Turn();
            if (w.crashes[task] > seen) {
                seen = w.crashes[task];
                w.TakeOver();
            }
        }
        EXPECT_EQ(w.State("c"), JOB_FAILED) << c.what;
        EXPECT_LE(w.crashes[task], c.crashes) << c.what;
        EXPECT_TRUE(w.broken.empty()) << c.what << ": " << w.broken[0];
    }
}

/* Guards against a crash that is counted as often as it is told, or for a run
 * of before. */
TEST(JobsCrash, ACrashIsCountedOnceForEachRun)
{
    struct Told {
        const char *what;
        std::vector<uint64_t> runs; /* the task is at its first */
    };
    static const Told cases[] = {
        {"the same run again and again", {1, 1, 1, 1, 1, 1, 1, 1}},
        {"runs that were never given", {2, 3, 4, 5, 6, 7, 8, 9}},
        {"no run", {0, 0, 0, 0, 0, 0, 0, 0}},
    };

    for (const Told &c : cases) {
        World w(2);
        struct jobs_crash crash = {};

        w.natures["a"].work_ms = 3000;
        w.Submit(w.Spec("a", 1, 8));
        w.Turns(5);
        Str_Copy(crash.worker, sizeof(crash.worker), "life-0");
        Str_Copy(crash.task, sizeof(crash.task), "a.0.0.0");
        crash.acknowledged = true;
        for (uint64_t run : c.runs) {
            crash.run = run;
            Jobs_WorkerCrashed(w.scheduler, "agent-0", &crash, 1, w.now);
            w.Turn();
        }
        w.Turns(400);
        EXPECT_EQ(w.State("a"), JOB_COMPLETED) << c.what;
    }
}

/* Guards against a start that is carried out by the next lifetime, under the
 * id of the one that it was meant for, while its task runs elsewhere. */
TEST(JobsCrash, AStartThatAnHeirCarriesOutRunsNothingTwice)
{
    struct Case {
        const char *what;
        int64_t late_ms; /* of the start */
        int turns;       /* before the worker starts again */
    };
    static const Case cases[] = {
        {"before the heir's first report", 20, 1},
        {"just after it", 100, 1},
        {"long after it", 2000, 1},
        {"it was carried out before, too", 0, 5},
    };

    for (const Case &c : cases) {
        World w(2);

        w.natures["a"].work_ms = 3000;
        w.late_ms = c.late_ms;
        w.Submit(w.Spec("a", 1, 8));
        w.Turns(c.turns);
        w.late_ms = 0;
        w.Heir(0);
        w.Turns(800);
        EXPECT_TRUE(w.broken.empty()) << c.what << ": " << w.broken[0];
        EXPECT_EQ(w.State("a"), JOB_COMPLETED) << c.what;
    }
}

/* Guards against neighbours that share the blame: what is packed beside a
 * suspect is lost with it again. */
TEST(JobsCrash, NothingJoinsASuspectUntilItHasWorkedForAWhile)
{
    World w(2);

    w.natures["c.0.0.0"].crash_ms = 10;
    w.Submit(w.Spec("c", 1, 1));
    w.Turns(5);
    ASSERT_EQ(w.crashes["c.0.0.0"], 1);
    w.natures["c.0.0.0"].crash_ms = -1;
    w.natures["c.0.0.0"].work_ms = 4000;
    while (w.WorkerOf("c.0.0.0") == nullptr) {
        w.Turn();
    }
    for (int i = 0; i < 8; i++) {
        w.natures["n" + std::to_string(i)].work_ms = 500;
        w.Submit(w.Spec("n" + std::to_string(i), 1, 1));
    }
    for (int i = 0; i < 40; i++) {
        w.Turn();
        ASSERT_EQ(w.WorkerOf("c.0.0.0")->runs.size(), 1u);
    }
    w.Turns(400);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(w.State("n" + std::to_string(i)), JOB_COMPLETED);
    }
    EXPECT_EQ(w.State("c"), JOB_COMPLETED);
}

/* Guards against a sound task that is sent back to the machine that crashes:
 * the one that has just come back fits best. */
TEST(JobsCrash, ATaskLeavesAMachineThatCrashedUnderItWhileOthersHaveRoom)
{
    World w(3);
    Worker *at;

    w.workers[1].capacity.accelerators = 7;
    w.natures["a"].work_ms = 3000;
    w.Submit(w.Spec("a", 1, 7));
    w.Turns(30);
    at = w.WorkerOf("a.0.0.0");
    ASSERT_NE(at, nullptr);
    ASSERT_EQ(at->agent, w.workers[1].agent);
    w.Crash(1, 20);
    w.Turns(5);
    at = w.WorkerOf("a.0.0.0");
    ASSERT_NE(at, nullptr);
    EXPECT_NE(at->agent, w.workers[1].agent);
}

/* Guards against a sound task that is blamed like a crashing one on a machine
 * that crashes whatever it runs. */
TEST(JobsCrash, AMachineThatCrashesUnderOtherWorkAddsLittleBlame)
{
    World w(1);

    w.natures["n"].work_ms = 2000;
    w.natures["a"].work_ms = 2000;
    w.Submit(w.Spec("n", 1, 1));
    w.Turns(40);
    w.Crash(0, 20);
    w.Turns(200);
    ASSERT_EQ(w.State("n"), JOB_COMPLETED);
    ASSERT_FALSE(w.Happened("crash_charged", "flapping"));
    w.Submit(w.Spec("a", 1, 1));
    w.Turns(2);
    w.Crash(0, 20);
    w.Turns(10);
    EXPECT_TRUE(w.Happened("crash_charged", "flapping"));
    EXPECT_FALSE(w.Happened("crash_charged", "early"));
}

/* Guards against a gang that is blamed as a whole: each of its runs loses
 * another member's worker, and no member has lost two. */
TEST(JobsCrash, CrashesUnderDifferentMembersGiveNoGangUp)
{
    World w(10);
    struct jobs_spec s = w.Spec("g", 8, 8);

    s.steps[0].gang = true;
    w.natures["g"].gang = 8;
    w.natures["g"].work_ms = 3000;
    w.Submit(s);
    for (int k = 0; k < 6; k++) {
        std::string member = "g.0.0." + std::to_string(k);

        while (w.WorkerOf(member) == nullptr) {
            w.Turn();
        }
        w.Turns(10);
        Worker *at = w.WorkerOf(member);

        ASSERT_NE(at, nullptr);
        w.Crash(static_cast<size_t>(at - w.workers.data()));
        w.Turns(10);
    }
    w.Turns(600);
    EXPECT_EQ(w.State("g"), JOB_COMPLETED);
}

/* Tasks whose blame a row tells. */
size_t
BlamedIn(const std::string &row)
{
    json_t *o = json_loadb(row.data(), row.size(), 0, nullptr);
    size_t i, n = 0;
    json_t *unit;

    json_array_foreach(json_object_get(o, "units"), i, unit)
    {
        n += json_array_size(json_array_get(unit, 9));
    }
    json_decref(o);
    return n;
}

/* Guards against a row of thousands of tasks that grows over its bound with
 * the blame in it. */
TEST(JobsCrash, TheRowStaysWithinItsBoundWhenAllWorkersCrash)
{
    World w(40);
    size_t longest = 0;

    w.natures["a"].work_ms = 60000;
    w.Submit(w.Spec("a", 1000, 1));
    for (int k = 0; k < 3; k++) {
        w.Turns(200);
        for (size_t i = 0; i < w.workers.size(); i++) {
            w.Crash(i, 100);
        }
        w.Turns(20);
        longest = std::max(longest, w.rows["a"].size());
        EXPECT_GT(BlamedIn(w.rows["a"]), 100u) << "the case is none";
        EXPECT_LE(BlamedIn(w.rows["a"]), 160u);
    }
    EXPECT_LE(longest, 65536u);
    w.TakeOver();
    w.Turns(5);
    EXPECT_EQ(w.State("a"), JOB_RUNNING);
}

/* A random day of crashing tasks, sound ones, workers that go down by
 * themselves and takeovers; returns what went wrong, or "". */
std::string
Day(uint32_t seed)
{
    std::mt19937 dice(seed);
    World w(12, "urgent:0:3 batch:2:4");
    const int sound = 24, crashing = static_cast<int>(dice() % 3);
    size_t flapping = dice() % 4;

    for (int i = 0; i < sound; i++) {
        std::string id = "n" + std::to_string(i);

        w.natures[id].work_ms = 500 + dice() % 4000;
        w.Submit(w.Spec(id, 1 + dice() % 4, 1 + dice() % 8,
                        dice() % 3 == 0 ? "urgent" : "batch"));
    }
    for (int i = 0; i < crashing; i++) {
        std::string id = "c" + std::to_string(i);

        w.natures[id].crash_ms = static_cast<int64_t>(dice() % 3 * 400);
        w.natures[id].work_ms = 5000;
        w.Submit(w.Spec(id, 1, 1 + dice() % 8));
    }
    for (int i = 0; i < 60; i++) {
        if (dice() % 8 == 0) {
            w.TakeOver();
        }
        size_t at = dice() % 12;

        if (at < flapping && w.workers[at].up) {
            w.Crash(at, 1000 + dice() % 4000);
        }
        w.Turns(1 + static_cast<int>(dice() % 40));
    }
    w.Turns(2000, 40);
    if (!w.broken.empty()) {
        return w.broken[0];
    }
    for (int i = 0; i < crashing; i++) {
        if (w.State("c" + std::to_string(i)) != JOB_FAILED) {
            return "a crashing task is not given up";
        }
    }
    for (int i = 0; i < sound; i++) {
        std::string id = "n" + std::to_string(i);

        if (w.State(id) != JOB_COMPLETED) {
            return id + " is " + Jobs_StateName(w.State(id));
        }
    }
    return "";
}

RC_GTEST_PROP(JobsCrashProperty, CrashingTasksEndAsFailedAndSoundOnesAsDone,
              ())
{
    uint32_t seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
    std::string wrong = Day(seed);

    if (!wrong.empty()) {
        RC_FAIL(wrong + ", seed " + std::to_string(seed));
    }
}

} /* namespace */
