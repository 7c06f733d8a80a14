/* What the adapter reads: whole, cut, of wrong types, and hostile. Bad input
 * gives a clear error, and nothing of it is kept. */
#include "hosted.h"
#include "jobs.h"

#include <gtest/gtest.h>

#include <string>

namespace {

const char GOOD_JOB[] =
    R"({"task-spec":"x","steps":[{"count":4,"cpu":500,"mem-mb":256,"gpu":2,)"
    R"("estimated-ms":900,"affinity":"r1-3","gang":true,"same-rack":true},)"
    R"({"count":20,"after":[0],"checkpointing":true,"max-per-server":2,)"
    R"("required-label":"a","allow-duplicates":true,"long-running":true,)"
    R"("image":"i","target-ms":20,"fills":true,"max-unavailable":1,)"
    R"("new-field":{"a":[1]}}],"repetitions":3,"first-run-ms":17,)"
    R"("interval-ms":5})";

TEST(HostedJob, EveryFieldGoesToItsPlace)
{
    struct jobs_spec s;
    char why[128];

    ASSERT_EQ(Hosted_ReadJob(GOOD_JOB, strlen(GOOD_JOB), &s, why), ERR_OK)
        << why;
    ASSERT_EQ(s.step_count, 2u);
    EXPECT_STREQ(s.payload, "x");
    EXPECT_EQ(s.steps[0].need.millicores, 500);
    EXPECT_EQ(s.steps[0].need.memory_mb, 256);
    EXPECT_EQ(s.steps[0].need.accelerators, 2);
    EXPECT_EQ(s.steps[0].estimate_ms, 900);
    EXPECT_STREQ(s.steps[0].rack, "r1-3");
    EXPECT_TRUE(s.steps[0].gang && s.steps[0].same_rack);
    EXPECT_EQ(s.steps[1].after_count, 1u);
    EXPECT_EQ(s.steps[1].spread, 2u);
    EXPECT_STREQ(s.steps[1].label, "a");
    EXPECT_TRUE(s.steps[1].checkpoints && s.steps[1].duplicates &&
                s.steps[1].lasting && s.steps[1].fills);
    EXPECT_EQ(s.steps[1].latency_target_ms, 20);
    EXPECT_EQ(s.repetitions, 3u);
    EXPECT_EQ(s.first_due_ms, 17);
    EXPECT_EQ(s.interval_ms, 5);
    JobsSpec_Clear(&s);
}

/* Whatever end is cut off, the rest is refused and nothing is left behind. */
TEST(HostedJob, CutAnywhereItIsRefused)
{
    for (size_t len = 0; len < strlen(GOOD_JOB); len++) {
        struct jobs_spec s;
        char why[128] = "";

        ASSERT_EQ(Hosted_ReadJob(GOOD_JOB, len, &s, why), ERR_INVALID) << len;
        ASSERT_STRNE(why, "");
        ASSERT_EQ(s.steps, nullptr);
    }
}

struct Bad {
    const char *text;
    const char *says;
};

TEST(HostedJob, WrongTypesAndRangesAreNamed)
{
    const std::string many = "{\"steps\":[" + std::string(65 * 12, ' ') + "]}";
    const Bad cases[] = {
        {"[]", "no JSON object"},
        {"7", "no JSON object"},
        {"{}", "steps"},
        {R"({"steps":{}})", "steps"},
        {R"({"steps":[7]})", "steps"},
        {R"({"steps":[{"count":"1"}]})", "count"},
        {R"({"steps":[{"count":1.5}]})", "count"},
        {R"({"steps":[{"count":-1}]})", "count"},
        {R"({"steps":[{"count":1,"cpu":99999999999}]})", "cpu"},
        {R"({"steps":[{"count":1,"gang":1}]})", "gang"},
        {R"({"steps":[{"count":1,"affinity":[]}]})", "affinity"},
        {R"({"steps":[{"count":1,"after":0}]})", "after"},
        {R"({"steps":[{"count":1,"after":[-1]}]})", "after"},
        {R"({"steps":[{"count":1,"after":["0"]}]})", "after"},
        {R"({"task-spec":[],"steps":[{"count":1}]})", "task-spec"},
        {R"({"steps":[{"count":1}],"repetitions":"3"})", "repetitions"},
        {R"({"steps":[{"count":1}],"repetitions":-3})", "repetitions"},
        {R"({"steps":[{"count":1}],"first-run-ms":1.5})", "first-run-ms"},
        {R"({"steps":[{"count":1}],"interval-ms":99999999999999999})",
         "interval-ms"},
        {R"({"a":1,"a":2,"steps":[{"count":1}]})", "no JSON object"},
        {many.c_str(), "steps"},
    };

    for (const Bad &c : cases) {
        struct jobs_spec s;
        char why[128] = "";

        EXPECT_EQ(Hosted_ReadJob(c.text, strlen(c.text), &s, why), ERR_INVALID)
            << c.text;
        EXPECT_NE(std::string(why).find(c.says), std::string::npos)
            << c.text << ": " << why;
        EXPECT_EQ(s.steps, nullptr);
    }
    std::string label =
        R"({"steps":[{"count":1,"image":")" + std::string(500, 'x') + "\"}]}";
    struct jobs_spec s;
    char why[128];
    EXPECT_EQ(Hosted_ReadJob(label.data(), label.size(), &s, why),
              ERR_INVALID);
}

const char GOOD_CONFIG[] =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("priority":2,"service":"s","max-attempts":3,"stretch":1.5,)"
    R"("target-duration-ms":250,"allow-anonymous":true,"advice":{}}],)"
    R"("services":[{"name":"s","admission-check":true}],)"
    R"("limits":{"max-body-bytes":100},)"
    R"("tenants":[{"name":"t","api-keys":["k1","k2"],)"
    R"("guaranteed":{"gpu":16}}]})";

TEST(HostedConfig, EveryFieldGoesToItsPlace)
{
    struct jobs_config c;
    char why[128];

    ASSERT_EQ(Hosted_ReadConfig(GOOD_CONFIG, strlen(GOOD_CONFIG), &c, why),
              ERR_OK)
        << why;
    EXPECT_EQ(c.version, 7u);
    ASSERT_EQ(c.queue_count, 1u);
    EXPECT_EQ(c.queues[0].priority, 2);
    EXPECT_EQ(c.queues[0].attempts, 3);
    EXPECT_DOUBLE_EQ(c.queues[0].stretch, 1.5);
    EXPECT_TRUE(c.queues[0].anonymous && c.queues[0].asks_advice);
    EXPECT_TRUE(c.services[0].admission_check);
    EXPECT_EQ(c.organisations[0].guaranteed, 16);
    EXPECT_EQ(JobsConfig_ByKey(&c, "k2"), &c.organisations[0]);
    EXPECT_EQ(JobsConfig_ByKey(&c, "k"), nullptr);
    JobsConfig_Clear(&c);
}

TEST(HostedConfig, CutAnywhereItIsRefused)
{
    for (size_t len = 0; len < strlen(GOOD_CONFIG); len++) {
        struct jobs_config c;
        char why[128] = "";

        ASSERT_EQ(Hosted_ReadConfig(GOOD_CONFIG, len, &c, why), ERR_INVALID);
        ASSERT_STRNE(why, "");
        JobsConfig_Clear(&c);
    }
}

TEST(HostedConfig, WrongTypesAreRefused)
{
    static const char *const cases[] = {
        "[]",
        "{}",
        R"({"version":"7"})",
        R"({"version":1,"routes":[7]})",
        R"({"version":1,"routes":[{"name":"r","host":"h"}]})",
        R"({"version":1,"tenants":[{"name":"t","api-keys":[7]}]})",
        R"({"version":1,"routes":[{"prefix":"/p/","priority":"1"}]})",
        R"({"version":1,"routes":[{"prefix":"/p/","max-attempts":-1}]})",
        R"({"version":1,"routes":[{"prefix":"/p/","stretch":"3"}]})",
        R"({"version":1,"routes":[{"prefix":"/p/","service":7}]})",
        R"({"version":1,"routes":[{"prefix":"/p/","allow-anonymous":1}]})",
        R"({"version":1,"services":[{"name":"s","admission-check":"no"}]})",
        R"({"version":1,"tenants":[{"name":"t","guaranteed":{"gpu":"8"}}]})",
    };

    for (const char *text : cases) {
        struct jobs_config c;
        char why[128] = "";

        EXPECT_EQ(Hosted_ReadConfig(text, strlen(text), &c, why), ERR_INVALID)
            << text;
        EXPECT_STRNE(why, "") << text;
        JobsConfig_Clear(&c);
    }
}

} /* namespace */
