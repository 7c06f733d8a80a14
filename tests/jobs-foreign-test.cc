/* Rows and reports that another writer corrupted. No accepted job may
 * disappear or run twice because of them, and intact jobs beside it must
 * continue. */
#include "jobs-world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace {

struct BadRow {
    const char *name;
    const char *text;
};

/* The progress row of a job is overwritten, and the owner that knew the
 * progress ends. The next owner can't know what has run, and without the hold
 * it would run a task again that is done. So nothing of the job may start, its
 * present run is left alone, its caller can cancel it, and the job beside it
 * must be completed. */
TEST(JobsForeign, AJobWhoseProgressCantBeReadIsHeld)
{
    static const BadRow cases[] = {
        {"empty", ""},
        {"not an object", "[]"},
        {"NUL", "\0\0"},
        {"truncated", R"({"state":"running","begun":true,"first":0)"},
        {"unknown state",
         R"({"state":"odd","workers":[],"done":[],"units":[]})"},
        {"no lists", R"({"state":"running"})"},
        {"lists of another type",
         R"({"state":"running","workers":{},"done":7,"units":"x"})"},
        {"a unit with too few fields",
         R"({"state":"running","workers":[],"done":[],"units":[[0,0]]})"},
        {"a state out of range",
         R"({"state":"running","workers":[],"done":[],)"
         R"("units":[[0,0,1,9,1,0,1,"",[]]]})"},
        {"a worker that is not listed",
         R"({"state":"running","workers":[],"done":[],)"
         R"("units":[[0,0,1,1,1,0,1,"",[[1,5]]]]})"},
        {"one task twice",
         R"({"state":"running","workers":[["agent-0","life-0"]],"done":[],)"
         R"("units":[[0,0,1,1,1,0,1,"",[[1,0],[1,0]]]]})"},
        {"a task of no unit",
         R"({"state":"running","workers":[["agent-0","life-0"]],"done":[],)"
         R"("units":[[0,0,7,1,1,0,1,"",[[7,0]]]]})"},
        {"a worker without a name",
         R"({"state":"running","workers":[["agent-0",""]],"done":[],)"
         R"("units":[[0,0,1,1,1,0,1,"",[[1,0]]]]})"},
    };

    for (const BadRow &c : cases) {
        Simulation sim(2);

        sim.behaviours["aa.0.0.0"].work_ms = 450;
        sim.behaviours["aa.0.0.1"].work_ms = 900;
        sim.Submit(sim.Spec("aa", 2, 1));
        sim.Ticks(30);
        ASSERT_EQ(sim.Starts("aa.0.0.0"), 1) << c.name;
        sim.rows["aa"] = c.text;
        sim.TakeOver();
        sim.Submit(sim.Spec("bb", 1, 1));
        sim.Ticks(400);
        EXPECT_EQ(sim.State("bb"), JOB_COMPLETED) << c.name;
        EXPECT_EQ(sim.Starts("aa.0.0.0"), 1) << c.name;
        EXPECT_EQ(sim.Starts("aa.0.0.1"), 1) << c.name;
        EXPECT_TRUE(sim.violations.empty())
            << c.name << ": " << sim.violations[0];
        EXPECT_EQ(sim.rows["aa"], c.text) << c.name;
        sim.Cancel("aa");
        sim.Ticks(5);
        EXPECT_EQ(sim.State("aa"), JOB_CANCELLED) << c.name;
    }
}

/* The owner of a job finds the job's row overwritten. It must store the row
 * again, so that the next owner finds the whole progress. */
TEST(JobsForeign, ACorruptRowIsStoredAgainByTheOwnerThatKnowsIt)
{
    Simulation sim(1);
    struct buf spec = {};

    sim.behaviours["aa"].work_ms = 2000;
    sim.Submit(sim.Spec("aa", 1, 1));
    sim.Ticks(10);
    sim.rows["aa"] = "nonsense";
    Jobs_MarkCorrupt(sim.scheduler, "aa", false);
    sim.Ticks(2);
    EXPECT_EQ(sim.State("aa"), JOB_RUNNING);
    sim.TakeOver();
    sim.Ticks(200);
    EXPECT_EQ(sim.State("aa"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("aa.0.0.0"), 1);
    Jobs_MarkCorrupt(sim.scheduler, "aa", true);
    Jobs_MarkCorrupt(sim.scheduler, "nobody", true);
    ASSERT_STREQ(Jobs_NextCorruptSpec(sim.scheduler, &spec), "aa");
    EXPECT_EQ(std::string(spec.data, spec.len), sim.specs["aa"]);
    EXPECT_EQ(Jobs_NextCorruptSpec(sim.scheduler, &spec), nullptr);
    Buf_Free(&spec);
}

/* The worker's row with the end of a run is unreadable, so the run is listed
 * neither as running nor as ended. It must be stopped, and runs again;
 * otherwise its job would never end. */
TEST(JobsForeign, ARunMissingFromBothListsIsStopped)
{
    Simulation sim(1);

    sim.behaviours["aa"].work_ms = 500;
    sim.Submit(sim.Spec("aa", 1, 1));
    sim.Ticks(10);
    ASSERT_EQ(sim.workers[0].runs.size(), 1u);
    sim.workers[0].closed["aa.0.0.0"] = sim.workers[0].runs[0].run;
    sim.workers[0].runs.clear(); /* its end is missing from the list of ends */
    sim.Ticks(150);
    EXPECT_TRUE(sim.HasEvent("run_stopped", "vanished"));
    EXPECT_EQ(sim.State("aa"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("aa.0.0.0"), 2);
}

/* A worker that is in use reports a service that is not configured: its last
 * valid service must stay in force. A worker that has never reported a
 * configured one must get no work. */
TEST(JobsForeign, AnUnconfiguredServiceInAReportIsIgnored)
{
    Simulation sim(2);

    sim.workers[1].service = "elsewhere";
    sim.Submit(sim.Spec("aa", 2, 1));
    sim.Ticks(5);
    EXPECT_EQ(sim.workers[1].runs.size(), 0u);
    sim.workers[0].service = "elsewhere";
    sim.Submit(sim.Spec("bb", 1, 1));
    sim.Ticks(200);
    EXPECT_EQ(sim.State("aa"), JOB_COMPLETED);
    EXPECT_EQ(sim.State("bb"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("bb.0.0.0"), 1);
}

/* A job is due a million times at once. Only its first occurrences may be
 * open, the others must wait for them, and the jobs beside it must be
 * completed. */
TEST(JobsForeign, AJobThatIsDueAMillionTimesKeepsABoundedRow)
{
    Simulation sim(1, "batch:2:3 urgent:0:3");
    struct jobs_spec s = sim.Spec("aa", 4, 1);

    s.repetitions = 1000000;
    s.first_due_ms = 1;
    sim.behaviours["aa"].work_ms = 100;
    sim.Submit(s);
    sim.Submit(sim.Spec("bb", 1, 1, "urgent"));
    sim.Ticks(40, 100);
    EXPECT_EQ(sim.State("bb"), JOB_COMPLETED);
    EXPECT_LT(sim.rows["aa"].size(), static_cast<size_t>(JOBS_ROW_MAX));
}

TEST(JobsForeign, SpecsWithWrongTypesAreRefused)
{
    static const BadRow cases[] = {
        {"a count as text",
         R"({"id":"a1","payload":"","steps":[{"count":"1"}]})"},
        {"a step that is not an object",
         R"({"id":"a1","payload":"","steps":[[1]]})"},
        {"negative resources",
         R"({"id":"a1","payload":"","steps":[{"count":1,"millicores":-1}]})"},
        {"resources out of range",
         R"({"id":"a1","payload":"","steps":[{"count":1,"memory_mb":1e300}]})"},
        {"a label as a number",
         R"({"id":"a1","payload":"","steps":[{"count":1,"label":7}]})"},
        {"after as text", R"({"id":"a1","payload":"","steps":[{"count":1},)"
                          R"({"count":1,"after":["0"]}]})"},
        {"a payload as a list",
         R"({"id":"a1","payload":[],"steps":[{"count":1}]})"},
        {"negative repetitions",
         R"({"id":"a1","payload":"","repetitions":-1,"steps":[{"count":1}]})"},
        {"due times that overflow",
         R"({"id":"a1","payload":"","repetitions":2147483647,)"
         R"("interval_ms":100000000000000,"steps":[{"count":1}]})"},
        {"an id that is too long",
         R"({"id":"0123456789012345678901234567890123","payload":"",)"
         R"("steps":[{"count":1}]})"},
    };

    for (const BadRow &c : cases) {
        struct jobs_spec s;

        EXPECT_EQ(JobsSpec_Decode(c.text, strlen(c.text), &s), ERR_INVALID)
            << c.name;
        EXPECT_EQ(s.steps, nullptr) << c.name;
    }
}

/* Random bytes of some rows are changed before each of several takeovers. The
 * scheduler must not crash, and each job whose row is intact must be
 * completed, once. */
RC_GTEST_PROP(JobsForeignProperty, IntactJobsAreDoneBesideCorruptRows, ())
{
    Simulation sim(3);
    const int jobs = 5;
    std::set<std::string> corrupted;

    for (int i = 0; i < jobs; i++) {
        std::string id = "a" + std::to_string(i);

        sim.behaviours[id].work_ms = 300 + 100 * i;
        sim.Submit(sim.Spec(id, static_cast<uint32_t>(1 + i % 3), 1));
    }
    for (int round = 0; round < 3; round++) {
        sim.Ticks(*rc::gen::inRange(1, 20));
        std::string id = "a" + std::to_string(*rc::gen::inRange(0, jobs));
        std::string &row = sim.rows[id];

        corrupted.insert(id);
        for (int k = *rc::gen::inRange(1, 6); k > 0 && !row.empty(); k--) {
            size_t at = *rc::gen::inRange<size_t>(0, row.size());

            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                row[at] = static_cast<char>(*rc::gen::inRange(0, 256));
                break;
            case 1:
                row.erase(at, 1 + row.size() / 7);
                break;
            default:
                row.insert(at, std::to_string(*rc::gen::arbitrary<int64_t>()));
            }
        }
        sim.TakeOver();
    }
    sim.Ticks(600);
    for (int i = 0; i < jobs; i++) {
        std::string id = "a" + std::to_string(i);

        if (corrupted.count(id) == 0) {
            RC_ASSERT(sim.State(id) == JOB_COMPLETED);
        }
    }
    for (const std::string &b : sim.violations) {
        /* A changed row that can still be read may have any content. */
        RC_ASSERT(corrupted.count(b.substr(b.find(": ") + 2, 2)) == 1);
    }
}

} /* namespace */
