/* Tasks that crash the workers on which they start, and sound tasks on workers
 * that crash for other reasons. */
#include "jobs-world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace {

struct Crasher {
    const char *what;
    uint32_t tasks; /* of its gang; 1: a single task */
    bool lasting;
    int64_t accelerators; /* of each task; a worker has 8 */
    int64_t crash_ms;     /* time from its start to the crash */
    int neighbours;       /* sound tasks of one accelerator */
    int crashes;          /* limit on the workers that may crash */
};

const Crasher crashers[] = {
    {"alone on its worker", 1, false, 8, 10, 0, 3},
    {"alone, while other workers are full", 1, false, 8, 10, 40, 3},
    {"beside sound tasks", 1, false, 1, 10, 30, 3},
    {"after a second of work", 1, false, 8, 1000, 0, 4},
    {"a member of a gang", 3, false, 2, 10, 10, 3},
};

/* Submits the crashing job "c" and sound ones "n0" to "nN". */
void
SubmitWith(Simulation &sim, const Crasher &c)
{
    struct jobs_spec s = sim.Spec("c", c.tasks, c.accelerators);

    for (int i = 0; i < c.neighbours; i++) {
        std::string id = "n" + std::to_string(i);

        sim.behaviours[id].work_ms = 2000;
        sim.Submit(sim.Spec(id, 1, 1));
    }
    sim.Ticks(5);
    s.steps[0].gang = c.tasks > 1;
    s.steps[0].lasting = c.lasting;
    sim.behaviours["c"].gang = static_cast<int>(c.tasks);
    sim.behaviours["c"].work_ms = 5000;
    sim.behaviours["c"].lasting = c.lasting;
    sim.behaviours["c.0.0." + std::to_string(c.tasks - 1)] =
        sim.behaviours["c"];
    sim.behaviours["c.0.0." + std::to_string(c.tasks - 1)].crash_ms =
        c.crash_ms;
    sim.Submit(s);
}

/* Guards against a crashing task that is started for ever, and against sound
 * tasks that are given up with it. A worker may restart under its id; it must
 * not get the same run again. */
TEST(JobsCrash, ATaskThatCrashesItsWorkersIsGivenUp)
{
    for (size_t i = 0; i < 2 * COUNT_OF(crashers); i++) {
        const Crasher &c = crashers[i / 2];
        Simulation sim(6);
        std::string task = "c.0.0." + std::to_string(c.tasks - 1);
        std::string what = c.what + std::string(i % 2 ? ", ids kept" : "");

        sim.restart_under_same_id = i % 2 == 1;
        SubmitWith(sim, c);
        sim.Ticks(2000);
        EXPECT_EQ(sim.State("c"), JOB_FAILED) << what;
        EXPECT_LE(sim.crashes[task], c.crashes) << what;
        EXPECT_TRUE(sim.HasEvent("task_given_up", "crashes_workers")) << what;
        EXPECT_TRUE(sim.violations.empty())
            << what << ": " << sim.violations[0];
        for (int k = 0; k < c.neighbours; k++) {
            std::string n = "n" + std::to_string(k);

            EXPECT_EQ(sim.State(n), JOB_COMPLETED) << what << ": " << n;
        }
    }
}

/* Guards against losing the count of crashes with the owner that kept it. */
TEST(JobsCrash, EachCrashUnderAnotherOwnerIsCounted)
{
    for (const Crasher &c : crashers) {
        Simulation sim(6);
        std::string task = "c.0.0." + std::to_string(c.tasks - 1);
        int seen = 0;

        SubmitWith(sim, c);
        for (int i = 0; i < 3000; i++) {
            sim.Tick();
            if (sim.crashes[task] > seen) {
                seen = sim.crashes[task];
                sim.TakeOver();
            }
        }
        EXPECT_EQ(sim.State("c"), JOB_FAILED) << c.what;
        EXPECT_LE(sim.crashes[task], c.crashes) << c.what;
        EXPECT_TRUE(sim.violations.empty())
            << c.what << ": " << sim.violations[0];
    }
}

/* Guards against counting a crash as often as it is reported, or for another
 * run than the present one. */
TEST(JobsCrash, ACrashIsCountedOnceForEachRun)
{
    struct Reports {
        const char *what;
        std::vector<uint64_t> runs; /* the task is in run 1 */
    };
    static const Reports cases[] = {
        {"the same run again and again", {1, 1, 1, 1, 1, 1, 1, 1}},
        {"runs that were never assigned", {2, 3, 4, 5, 6, 7, 8, 9}},
        {"no run", {0, 0, 0, 0, 0, 0, 0, 0}},
    };

    for (const Reports &c : cases) {
        Simulation sim(2);
        struct jobs_crash crash = {};

        sim.behaviours["a"].work_ms = 3000;
        sim.Submit(sim.Spec("a", 1, 8));
        sim.Ticks(5);
        Str_Copy(crash.worker, sizeof(crash.worker), "life-0");
        Str_Copy(crash.task, sizeof(crash.task), "a.0.0.0");
        crash.acknowledged = true;
        for (uint64_t run : c.runs) {
            crash.run = run;
            Jobs_WorkerCrashed(sim.scheduler, "agent-0", &crash, 1, sim.now);
            sim.Tick();
        }
        sim.Ticks(400);
        EXPECT_EQ(sim.State("a"), JOB_COMPLETED) << c.what;
    }
}

/* Guards against running a task twice: the next incarnation of a worker
 * carries out a start that was sent to the one before, while the task runs
 * elsewhere. */
TEST(JobsCrash, AStartThatASuccessorCarriesOutRunsNothingTwice)
{
    struct Case {
        const char *what;
        int64_t order_delay_ms; /* of the start's arrival */
        int ticks;              /* before the worker restarts */
    };
    static const Case cases[] = {
        {"before the successor's first report", 20, 1},
        {"just after that report", 100, 1},
        {"long after that report", 2000, 1},
        {"by both incarnations", 0, 5},
    };

    for (const Case &c : cases) {
        Simulation sim(2);

        sim.behaviours["a"].work_ms = 3000;
        sim.order_delay_ms = c.order_delay_ms;
        sim.Submit(sim.Spec("a", 1, 8));
        sim.Ticks(c.ticks);
        sim.order_delay_ms = 0;
        sim.RestartWithSameId(0);
        sim.Ticks(800);
        EXPECT_TRUE(sim.violations.empty())
            << c.what << ": " << sim.violations[0];
        EXPECT_EQ(sim.State("a"), JOB_COMPLETED) << c.what;
    }
}

/* Guards against blaming the neighbours of a suspect: runs that start beside
 * it are lost with it again. */
TEST(JobsCrash, NothingJoinsASuspectUntilItHasWorkedForAWhile)
{
    Simulation sim(2);

    sim.behaviours["c.0.0.0"].crash_ms = 10;
    sim.Submit(sim.Spec("c", 1, 1));
    sim.Ticks(5);
    ASSERT_EQ(sim.crashes["c.0.0.0"], 1);
    sim.behaviours["c.0.0.0"].crash_ms = -1;
    sim.behaviours["c.0.0.0"].work_ms = 4000;
    while (sim.WorkerOf("c.0.0.0") == nullptr) {
        sim.Tick();
    }
    for (int i = 0; i < 8; i++) {
        sim.behaviours["n" + std::to_string(i)].work_ms = 500;
        sim.Submit(sim.Spec("n" + std::to_string(i), 1, 1));
    }
    for (int i = 0; i < 40; i++) {
        sim.Tick();
        ASSERT_EQ(sim.WorkerOf("c.0.0.0")->runs.size(), 1u);
    }
    sim.Ticks(400);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(sim.State("n" + std::to_string(i)), JOB_COMPLETED);
    }
    EXPECT_EQ(sim.State("c"), JOB_COMPLETED);
}

/* Guards against sending a sound task back to the machine that crashes, which
 * has just restarted and fits best. */
TEST(JobsCrash, ATaskLeavesAMachineThatCrashedUnderItWhileOthersHaveRoom)
{
    Simulation sim(3);
    Worker *at;

    sim.workers[1].capacity.accelerators = 7;
    sim.behaviours["a"].work_ms = 3000;
    sim.Submit(sim.Spec("a", 1, 7));
    sim.Ticks(30);
    at = sim.WorkerOf("a.0.0.0");
    ASSERT_NE(at, nullptr);
    ASSERT_EQ(at->agent, sim.workers[1].agent);
    sim.CrashWorker(1, 20);
    sim.Ticks(5);
    at = sim.WorkerOf("a.0.0.0");
    ASSERT_NE(at, nullptr);
    EXPECT_NE(at->agent, sim.workers[1].agent);
}

/* Guards against blaming a sound task like a crashing one on a machine that
 * crashes under any work. */
TEST(JobsCrash, AMachineThatCrashesUnderOtherWorkAddsLittleBlame)
{
    Simulation sim(1);

    sim.behaviours["n"].work_ms = 2000;
    sim.behaviours["a"].work_ms = 2000;
    sim.Submit(sim.Spec("n", 1, 1));
    sim.Ticks(40);
    sim.CrashWorker(0, 20);
    sim.Ticks(200);
    ASSERT_EQ(sim.State("n"), JOB_COMPLETED);
    ASSERT_FALSE(sim.HasEvent("crash_charged", "flapping"));
    sim.Submit(sim.Spec("a", 1, 1));
    sim.Ticks(2);
    sim.CrashWorker(0, 20);
    sim.Ticks(10);
    EXPECT_TRUE(sim.HasEvent("crash_charged", "flapping"));
    EXPECT_FALSE(sim.HasEvent("crash_charged", "early"));
}

/* Guards against blaming a gang as a whole: each of its runs loses the worker
 * of another member, and no member has lost two. */
TEST(JobsCrash, CrashesUnderDifferentMembersDoNotFailTheGang)
{
    Simulation sim(10);
    struct jobs_spec s = sim.Spec("g", 8, 8);

    s.steps[0].gang = true;
    sim.behaviours["g"].gang = 8;
    sim.behaviours["g"].work_ms = 3000;
    sim.Submit(s);
    for (int k = 0; k < 6; k++) {
        std::string member = "g.0.0." + std::to_string(k);

        while (sim.WorkerOf(member) == nullptr) {
            sim.Tick();
        }
        sim.Ticks(10);
        Worker *at = sim.WorkerOf(member);

        ASSERT_NE(at, nullptr);
        sim.CrashWorker(static_cast<size_t>(at - sim.workers.data()));
        sim.Ticks(10);
    }
    sim.Ticks(600);
    EXPECT_EQ(sim.State("g"), JOB_COMPLETED);
}

/* Counts the tasks with blame in a row. */
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

/* Guards against a row of thousands of tasks that exceeds its limit because of
 * the blame in it. */
TEST(JobsCrash, TheRowStaysWithinItsBoundWhenAllWorkersCrash)
{
    Simulation sim(40);
    size_t longest = 0;

    sim.behaviours["a"].work_ms = 60000;
    sim.Submit(sim.Spec("a", 1000, 1));
    for (int k = 0; k < 3; k++) {
        sim.Ticks(200);
        for (size_t i = 0; i < sim.workers.size(); i++) {
            sim.CrashWorker(i, 100);
        }
        sim.Ticks(20);
        longest = std::max(longest, sim.rows["a"].size());
        EXPECT_GT(BlamedIn(sim.rows["a"]), 100u)
            << "too few tasks have blame for this test";
        EXPECT_LE(BlamedIn(sim.rows["a"]), 160u);
    }
    EXPECT_LE(longest, 65536u);
    sim.TakeOver();
    sim.Ticks(5);
    EXPECT_EQ(sim.State("a"), JOB_RUNNING);
}

/* Runs a random scenario of crashing tasks, sound tasks, workers that crash
 * for other reasons, and takeovers; returns what went wrong, or "". */
std::string
RunScenario(uint32_t seed)
{
    std::mt19937 rng(seed);
    Simulation sim(12, "urgent:0:3 batch:2:4");
    const int sound = 24, crashing = static_cast<int>(rng() % 3);
    size_t flapping = rng() % 4;

    for (int i = 0; i < sound; i++) {
        std::string id = "n" + std::to_string(i);

        sim.behaviours[id].work_ms = 500 + rng() % 4000;
        sim.Submit(sim.Spec(id, 1 + rng() % 4, 1 + rng() % 8,
                            rng() % 3 == 0 ? "urgent" : "batch"));
    }
    for (int i = 0; i < crashing; i++) {
        std::string id = "c" + std::to_string(i);

        sim.behaviours[id].crash_ms = static_cast<int64_t>(rng() % 3 * 400);
        sim.behaviours[id].work_ms = 5000;
        sim.Submit(sim.Spec(id, 1, 1 + rng() % 8));
    }
    for (int i = 0; i < 60; i++) {
        if (rng() % 8 == 0) {
            sim.TakeOver();
        }
        size_t at = rng() % 12;

        if (at < flapping && sim.workers[at].up) {
            sim.CrashWorker(at, 1000 + rng() % 4000);
        }
        sim.Ticks(1 + static_cast<int>(rng() % 40));
    }
    sim.Ticks(2000, 40);
    if (!sim.violations.empty()) {
        return sim.violations[0];
    }
    for (int i = 0; i < crashing; i++) {
        if (sim.State("c" + std::to_string(i)) != JOB_FAILED) {
            return "a crashing task is not given up";
        }
    }
    for (int i = 0; i < sound; i++) {
        std::string id = "n" + std::to_string(i);

        if (sim.State(id) != JOB_COMPLETED) {
            return id + " is " + Jobs_StateName(sim.State(id));
        }
    }
    return "";
}

RC_GTEST_PROP(JobsCrashProperty, CrashingTasksEndAsFailedAndSoundOnesAsDone,
              ())
{
    uint32_t seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
    std::string wrong = RunScenario(seed);

    if (!wrong.empty()) {
        RC_FAIL(wrong + ", seed " + std::to_string(seed));
    }
}

const Crasher service_crashers[] = {
    {"alone on its worker", 1, true, 8, 10, 0, 6},
    {"beside sound tasks", 1, true, 1, 10, 30, 6},
    {"after a second of work", 1, true, 8, 1000, 0, 6},
};

/* Guards against a service that is not restarted any more since its task has
 * crashed workers, and against sound tasks that are given up with it. The
 * limit of a crasher is here the number of crashes after which it must still
 * be started again. */
TEST(JobsCrash, ACrashingTaskOfAServiceIsRestartedAndHarmsNoOthers)
{
    for (size_t i = 0; i < 4 * COUNT_OF(service_crashers); i++) {
        const Crasher &c = service_crashers[i / 4];
        Simulation sim(6);
        std::string what = std::string(c.what) + (i % 2 ? ", ids kept" : "") +
                           (i % 4 >= 2 ? ", other owners" : "");
        int seen = 0;
        int64_t started = sim.now, longest = 0;

        sim.restart_under_same_id = i % 2 == 1;
        SubmitWith(sim, c);
        for (int k = 0; k < 3000; k++) {
            sim.Tick();
            if (sim.WorkerOf("c.0.0.0") != nullptr) {
                started = sim.now;
            }
            longest = std::max(longest, sim.now - started);
            if (i % 4 >= 2 && sim.crashes["c.0.0.0"] > seen) {
                seen = sim.crashes["c.0.0.0"];
                sim.TakeOver();
            }
        }
        EXPECT_GE(sim.crashes["c.0.0.0"], c.crashes) << what;
        EXPECT_LE(longest, 9000) << what;
        EXPECT_LE(sim.State("c"), JOB_RUNNING) << what;
        EXPECT_TRUE(sim.HasEvent("crash_charged", "early") ||
                    sim.HasEvent("crash_charged", "late"))
            << what;
        EXPECT_FALSE(sim.HasEvent("task_given_up", "crashes_workers")) << what;
        EXPECT_TRUE(sim.violations.empty())
            << what << ": " << sim.violations[0];
        for (int k = 0; k < c.neighbours; k++) {
            std::string n = "n" + std::to_string(k);

            EXPECT_EQ(sim.State(n), JOB_COMPLETED) << what << ": " << n;
        }
    }
}

/* Guards against a service whose job fails, as its workers have crashed: its
 * task is restarted however it ends. */
TEST(JobsCrash, ATaskOfAServiceIsNeverGivenUp)
{
    for (int worked_ms : {100, 2500}) {
        Simulation sim(7);
        struct jobs_spec s = sim.Spec("aa", 1, 1);

        s.steps[0].lasting = true;
        sim.behaviours["aa"].work_ms = 600000;
        sim.Submit(s);
        for (int crash = 0; crash < 8; crash++) {
            int ticks = 0;

            while (sim.WorkerOf("aa.0.0.0") == nullptr && ticks++ < 450) {
                sim.Tick();
            }
            ASSERT_NE(sim.WorkerOf("aa.0.0.0"), nullptr)
                << crash << " crashes after " << worked_ms << " ms";
            sim.Ticks(worked_ms / 20);
            sim.CrashWorker(static_cast<size_t>(sim.WorkerOf("aa.0.0.0") -
                                                sim.workers.data()));
        }
        sim.Ticks(450);
        EXPECT_EQ(sim.State("aa"), JOB_RUNNING) << worked_ms;
        EXPECT_FALSE(sim.HasEvent("task_given_up", "crashes_workers"));
        EXPECT_TRUE(sim.violations.empty());
    }
}

} /* namespace */
