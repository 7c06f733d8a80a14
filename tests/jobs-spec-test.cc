/* Jobs as rows in the store, and the configuration that routes calls to their
 * queues. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

struct BadSpec {
    const char *name;
    const char *text;
};

TEST(JobsSpec, InvalidRowsAreRefused)
{
    static const BadSpec cases[] = {
        {"empty", ""},
        {"not an object", "[1,2]"},
        {"truncated", R"({"id":"a1","steps":[{"count":1)"},
        {"no steps", R"({"id":"a1","steps":[]})"},
        {"no id", R"({"steps":[{"count":1}]})"},
        {"count 0", R"({"id":"a1","steps":[{"count":0}]})"},
        {"too many", R"({"id":"a1","steps":[{"count":99999}]})"},
        {"after itself", R"({"id":"a1","steps":[{"count":1,"after":[0]}]})"},
        {"steps not a list", R"({"id":"a1","steps":7})"},
    };

    for (const BadSpec &c : cases) {
        struct jobs_spec s;

        EXPECT_EQ(JobsSpec_Decode(c.text, strlen(c.text), &s), ERR_INVALID)
            << c.name;
    }
}

TEST(JobsSpec, ARowIsReadAsItWasWritten)
{
    Simulation sim(0);
    struct jobs_spec s = sim.Spec("abc123", 7, 2), back;
    struct buf row = {};

    s.steps[0].gang = s.steps[0].same_rack = s.steps[0].checkpoints = true;
    s.steps[0].spread = 3;
    Str_Copy(s.steps[0].label, JOBS_TEXT_SIZE, "kind-a");
    s.repetitions = 4;
    s.first_due_ms = 1234567890123;
    s.interval_ms = 250;
    JobsSpec_Encode(&s, &row);
    ASSERT_EQ(JobsSpec_Decode(row.data, row.len, &back), ERR_OK);
    EXPECT_STREQ(back.id, "abc123");
    EXPECT_EQ(back.steps[0].count, 7u);
    EXPECT_TRUE(back.steps[0].gang && back.steps[0].same_rack);
    EXPECT_FALSE(back.steps[0].lasting);
    EXPECT_STREQ(back.steps[0].label, "kind-a");
    EXPECT_EQ(back.first_due_ms, 1234567890123);
    JobsSpec_Clear(&s);
    JobsSpec_Clear(&back);
    Buf_Free(&row);
}

TEST(JobsConfig, RoutesByHostAndLongestPrefix)
{
    char one[] = "one.example", two[] = "two.example";
    char shorter[] = "/a/", longer[] = "/a/b/";
    struct jobs_queue queues[3] = {};
    struct jobs_config c = {};

    Str_Copy(queues[0].name, NAME_SIZE, "short");
    queues[0].host = one;
    queues[0].prefix = shorter;
    Str_Copy(queues[1].name, NAME_SIZE, "long");
    queues[1].host = one;
    queues[1].prefix = longer;
    Str_Copy(queues[2].name, NAME_SIZE, "other");
    queues[2].host = two;
    queues[2].prefix = shorter;
    c.queues = queues;
    c.queue_count = 3;
    EXPECT_STREQ(JobsConfig_Route(&c, "one.example", "/a/x")->name, "short");
    EXPECT_STREQ(JobsConfig_Route(&c, "ONE.example:80", "/a/b/x")->name,
                 "long");
    EXPECT_STREQ(JobsConfig_Route(&c, "two.example", "/a/b/x")->name, "other");
    EXPECT_EQ(JobsConfig_Route(&c, "one.example", "/b/x"), nullptr);
    EXPECT_EQ(JobsConfig_Route(&c, "one.exampl", "/a/x"), nullptr);
}

} /* namespace */
