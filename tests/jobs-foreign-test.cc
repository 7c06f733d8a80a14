/* Rows and reports that another writer spoiled, in the world of the tests. No
 * accepted job vanishes or runs twice, and the good ones beside it go on. */
#include "jobs-world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace {

struct BadRow {
    const char *name;
    const char *text;
};

/* A job's progress row is overwritten, and the owner that knew what is done
 * ends. Whoever takes over can't tell what has run: nothing of the job starts,
 * its run is left alone, and the job beside it is done. Its caller may cancel
 * it. Without the hold the task that is done runs again. */
TEST(JobsForeign, AJobWhoseProgressCantBeReadIsHeld)
{
    static const BadRow cases[] = {
        {"empty", ""},
        {"no object", "[]"},
        {"NUL", "\0\0"},
        {"cut", R"({"state":"running","begun":true,"first":0)"},
        {"unknown state",
         R"({"state":"odd","workers":[],"done":[],"units":[]})"},
        {"no lists", R"({"state":"running"})"},
        {"lists of another type",
         R"({"state":"running","workers":{},"done":7,"units":"x"})"},
        {"a unit of another length",
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
        World w(2);

        w.natures["aa.0.0.0"].work_ms = 450;
        w.natures["aa.0.0.1"].work_ms = 900;
        w.Submit(w.Spec("aa", 2, 1));
        w.Turns(30);
        ASSERT_EQ(w.Starts("aa.0.0.0"), 1) << c.name;
        w.rows["aa"] = c.text;
        w.TakeOver();
        w.Submit(w.Spec("bb", 1, 1));
        w.Turns(400);
        EXPECT_EQ(w.State("bb"), JOB_COMPLETED) << c.name;
        EXPECT_EQ(w.Starts("aa.0.0.0"), 1) << c.name;
        EXPECT_EQ(w.Starts("aa.0.0.1"), 1) << c.name;
        EXPECT_TRUE(w.broken.empty()) << c.name << ": " << w.broken[0];
        EXPECT_EQ(w.rows["aa"], c.text) << c.name;
        w.Cancel("aa");
        w.Turns(5);
        EXPECT_EQ(w.State("aa"), JOB_CANCELLED) << c.name;
    }
}

/* The owner sees that the row of a job it knows was overwritten, and writes it
 * again; the next owner finds all of it. */
TEST(JobsForeign, ASpoiledRowIsWrittenAgainByTheOwnerThatKnowsIt)
{
    World w(1);
    struct buf spec = {};

    w.natures["aa"].work_ms = 2000;
    w.Submit(w.Spec("aa", 1, 1));
    w.Turns(10);
    w.rows["aa"] = "nonsense";
    Jobs_MarkCorrupt(w.scheduler, "aa", false);
    w.Turns(2);
    EXPECT_EQ(w.State("aa"), JOB_RUNNING);
    w.TakeOver();
    w.Turns(200);
    EXPECT_EQ(w.State("aa"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("aa.0.0.0"), 1);
    Jobs_MarkCorrupt(w.scheduler, "aa", true);
    Jobs_MarkCorrupt(w.scheduler, "nobody", true);
    ASSERT_STREQ(Jobs_NextCorruptSpec(w.scheduler, &spec), "aa");
    EXPECT_EQ(std::string(spec.data, spec.len), w.specs["aa"]);
    EXPECT_EQ(Jobs_NextCorruptSpec(w.scheduler, &spec), nullptr);
    Buf_Free(&spec);
}

/* A worker lists a run's end in a row that nobody can read, so the run is in
 * neither list any more. It is stopped to make sure, and runs again; without
 * that its job never ends. */
TEST(JobsForeign, ARunThatIsInNoListAnyMoreIsMadeSureOf)
{
    World w(1);

    w.natures["aa"].work_ms = 500;
    w.Submit(w.Spec("aa", 1, 1));
    w.Turns(10);
    ASSERT_EQ(w.workers[0].runs.size(), 1u);
    w.workers[0].closed["aa.0.0.0"] = w.workers[0].runs[0].run;
    w.workers[0].runs.clear(); /* its end is listed, and left out */
    w.Turns(150);
    EXPECT_TRUE(w.Happened("run_stopped", "vanished"));
    EXPECT_EQ(w.State("aa"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("aa.0.0.0"), 2);
}

/* A report of a lifetime that works names a service that nobody configured:
 * the last good one holds. One that never named another gets no work. */
TEST(JobsForeign, AServiceThatIsNotNamedNamesNoWorker)
{
    World w(2);

    w.workers[1].service = "elsewhere";
    w.Submit(w.Spec("aa", 2, 1));
    w.Turns(5);
    EXPECT_EQ(w.workers[1].runs.size(), 0u);
    w.workers[0].service = "elsewhere";
    w.Submit(w.Spec("bb", 1, 1));
    w.Turns(200);
    EXPECT_EQ(w.State("aa"), JOB_COMPLETED);
    EXPECT_EQ(w.State("bb"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("bb.0.0.0"), 1);
}

/* A job is due a million times at once. Its first occurrences run, the others
 * wait for them, and the jobs beside it are done. */
TEST(JobsForeign, AJobThatIsDueAMillionTimesTakesABoundedRoom)
{
    World w(1, "batch:2:3 urgent:0:3");
    struct jobs_spec s = w.Spec("aa", 4, 1);

    s.repetitions = 1000000;
    s.first_due_ms = 1;
    w.natures["aa"].work_ms = 100;
    w.Submit(s);
    w.Submit(w.Spec("bb", 1, 1, "urgent"));
    w.Turns(40, 100);
    EXPECT_EQ(w.State("bb"), JOB_COMPLETED);
    EXPECT_LT(w.rows["aa"].size(), static_cast<size_t>(JOBS_ROW_MAX));
}

TEST(JobsForeign, SpecsOfOtherTypesAreRefused)
{
    static const BadRow cases[] = {
        {"a count as text",
         R"({"id":"a1","payload":"","steps":[{"count":"1"}]})"},
        {"a step that is no object",
         R"({"id":"a1","payload":"","steps":[[1]]})"},
        {"needs below zero",
         R"({"id":"a1","payload":"","steps":[{"count":1,"millicores":-1}]})"},
        {"needs beyond any worker",
         R"({"id":"a1","payload":"","steps":[{"count":1,"memory_mb":1e300}]})"},
        {"a label as a number",
         R"({"id":"a1","payload":"","steps":[{"count":1,"label":7}]})"},
        {"after as text", R"({"id":"a1","payload":"","steps":[{"count":1},)"
                          R"({"count":1,"after":["0"]}]})"},
        {"a payload as a list",
         R"({"id":"a1","payload":[],"steps":[{"count":1}]})"},
        {"repetitions below zero",
         R"({"id":"a1","payload":"","repetitions":-1,"steps":[{"count":1}]})"},
        {"due times that overflow",
         R"({"id":"a1","payload":"","repetitions":2147483647,)"
         R"("interval_ms":100000000000000,"steps":[{"count":1}]})"},
        {"a name that is cut",
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

/* Bytes of some rows are changed and the owner changes, over and over. Nobody
 * crashes, and every job whose row was left alone is done, once. */
RC_GTEST_PROP(JobsForeignProperty, GoodJobsAreDoneBesideSpoiledRows, ())
{
    World w(3);
    const int jobs = 5;
    std::set<std::string> spoiled;

    for (int i = 0; i < jobs; i++) {
        std::string id = "a" + std::to_string(i);

        w.natures[id].work_ms = 300 + 100 * i;
        w.Submit(w.Spec(id, static_cast<uint32_t>(1 + i % 3), 1));
    }
    for (int round = 0; round < 3; round++) {
        w.Turns(*rc::gen::inRange(1, 20));
        std::string id = "a" + std::to_string(*rc::gen::inRange(0, jobs));
        std::string &row = w.rows[id];

        spoiled.insert(id);
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
        w.TakeOver();
    }
    w.Turns(600);
    for (int i = 0; i < jobs; i++) {
        std::string id = "a" + std::to_string(i);

        if (spoiled.count(id) == 0) {
            RC_ASSERT(w.State(id) == JOB_COMPLETED);
        }
    }
    for (const std::string &b : w.broken) {
        /* A changed row that can still be read says something else. */
        RC_ASSERT(spoiled.count(b.substr(b.find(": ") + 2, 2)) == 1);
    }
}

} /* namespace */
