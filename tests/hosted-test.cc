/* Jobs and configurations as the adapter of an entry reads them: valid,
 * truncated, with fields of wrong types, and hostile. Invalid input gives an
 * error with its reason; of an invalid job nothing is kept. */
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

TEST(HostedJob, EveryFieldIsRead)
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

/* Guards against a job that is stored in part: a truncated body is refused at
 * every length, and nothing is left to free. */
TEST(HostedJob, TruncatedJobIsRefused)
{
    for (size_t len = 0; len < strlen(GOOD_JOB); len++) {
        struct jobs_spec s;
        char why[128] = "";

        ASSERT_EQ(Hosted_ReadJob(GOOD_JOB, len, &s, why), ERR_INVALID) << len;
        ASSERT_STRNE(why, "");
        ASSERT_EQ(s.steps, nullptr);
    }
}

struct InvalidJob {
    const char *text;
    const char *expected;
};

TEST(HostedJob, InvalidFieldIsNamed)
{
    const std::string empty_list =
        "{\"steps\":[" + std::string(65 * 12, ' ') + "]}";
    const InvalidJob cases[] = {
        {"[]", "not a JSON object"},
        {"7", "not a JSON object"},
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
        {R"({"a":1,"a":2,"steps":[{"count":1}]})", "not a JSON object"},
        {empty_list.c_str(), "steps"},
    };

    for (const InvalidJob &c : cases) {
        struct jobs_spec s;
        char why[128] = "";

        EXPECT_EQ(Hosted_ReadJob(c.text, strlen(c.text), &s, why), ERR_INVALID)
            << c.text;
        EXPECT_NE(std::string(why).find(c.expected), std::string::npos)
            << c.text << ": " << why;
        EXPECT_EQ(s.steps, nullptr);
    }
}

/* Guards against a job that is refused, or placed elsewhere, because of the
 * length of a label. */
TEST(HostedJob, TextsOfAnyLengthAreRead)
{
    for (size_t n : {0u, 94u, 95u, 96u, 500u, 4000u}) {
        std::string text(n, 'x');
        std::string job = R"({"steps":[{"count":1,"image":")" + text +
                          R"(","required-label":")" + text +
                          R"(","affinity":")" + text + "y\"}]}";
        char expected[JOBS_TEXT_SIZE], why[128];
        struct jobs_spec s;

        Str_Abbreviate(expected, sizeof(expected), text.data(), n);
        ASSERT_EQ(Hosted_ReadJob(job.data(), job.size(), &s, why), ERR_OK)
            << n << why;
        EXPECT_STREQ(s.steps[0].image, expected) << n;
        EXPECT_STREQ(s.steps[0].label, expected) << n;
        EXPECT_STRNE(s.steps[0].rack, expected) << n;
        JobsSpec_Clear(&s);
    }
}

const char GOOD_CONFIG[] =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("priority":2,"service":"s","max-attempts":3,"stretch":1.5,)"
    R"("target-duration-ms":250,"allow-anonymous":true,"advice":{}}],)"
    R"("services":[{"name":"s","admission-check":true}],)"
    R"("limits":{"max-body-bytes":100},)"
    R"("tenants":[{"name":"t","api-keys":["k1","k2"],)"
    R"("guaranteed":{"gpu":16}}]})";

TEST(HostedConfig, EveryFieldIsRead)
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

TEST(HostedConfig, TruncatedConfigIsRefused)
{
    for (size_t len = 0; len < strlen(GOOD_CONFIG); len++) {
        struct jobs_config c;
        char why[128] = "";

        ASSERT_EQ(Hosted_ReadConfig(GOOD_CONFIG, len, &c, why), ERR_INVALID);
        ASSERT_STRNE(why, "");
        JobsConfig_Clear(&c);
    }
}

/* Guards against a document of another writer that removes everything. */
TEST(HostedConfig, DocumentsThatAreNoConfigurationAreRefused)
{
    for (const char *text :
         {"[]", "7", "{}", R"({"version":"7","routes":[]})",
          R"({"version":0,"routes":[]})", R"({"version":-1,"routes":[]})",
          R"({"version":null,"routes":[]})", R"({"routes":[]})",
          R"({"version":1})", R"({"version":1,"routes":7})",
          R"({"version":1,"routes":[7]})",
          R"({"version":1,"routes":[{"name":"r","host":"h"}]})",
          R"({"version":1,"routes":[7],"tenants":"t","services":[0]})"}) {
        struct jobs_config c;
        char why[128] = "";

        EXPECT_EQ(Hosted_ReadConfig(text, strlen(text), &c, why), ERR_INVALID)
            << text;
        EXPECT_STRNE(why, "") << text;
        JobsConfig_Clear(&c);
    }
}

TEST(HostedConfig, EverythingCanBeRemoved)
{
    const char text[] = R"({"version":7,"routes":[],"tenants":[]})";
    struct jobs_config c;
    char why[128];

    ASSERT_EQ(Hosted_ReadConfig(text, strlen(text), &c, why), ERR_OK) << why;
    EXPECT_EQ(c.queue_count + c.organisation_count + c.service_count, 0u);
    JobsConfig_Clear(&c);
}

/* A configuration as read from text. */
struct ReadConfig {
    explicit ReadConfig(const std::string &text)
    {
        err = Hosted_ReadConfig(text.data(), text.size(), &c, why);
    }
    ~ReadConfig()
    {
        JobsConfig_Clear(&c);
    }
    struct jobs_config c;
    char why[128] = "";
    int err;
};

struct ItemCase {
    const char *list;
    std::string item;
    bool kept; /* the item stays, without the field */
};

/* Guards against a configuration that never takes effect, so that revoked keys
 * stay valid, because one item of it can't be read. */
TEST(HostedConfig, AnItemThatCantBeReadLeavesTheRestInForce)
{
    static const ItemCase cases[] = {
        {"routes", "7", false},
        {"routes", "null", false},
        {"routes", R"({"name":"r","host":"h"})", false},
        {"routes", R"({"prefix":7})", false},
        {"routes", R"({"prefix":"/p\u0000/"})", false},
        {"routes", R"({"prefix":"/p/","priority":"1"})", true},
        {"routes", R"({"prefix":"/p/","priority":-1})", true},
        {"routes", R"({"prefix":"/p/","max-attempts":1.5})", true},
        {"routes", R"({"prefix":"/p/","target-duration-ms":3000000000})",
         true},
        {"routes",
         R"({"prefix":"/p/","target-duration-ms":99999999999999999999})",
         true},
        {"routes", R"({"prefix":"/p/","stretch":"3"})", true},
        {"routes", R"({"prefix":"/p/","stretch":-3})", true},
        {"routes", R"({"prefix":"/p/","service":7})", true},
        {"routes", R"({"prefix":"/p/","host":[]})", true},
        {"routes", R"({"prefix":"/p/","allow-anonymous":1})", true},
        {"services", "[]", false},
        {"services", R"({"name":"s","admission-check":"no"})", true},
        {"services", R"({"name":7})", true},
        {"tenants", R"("t")", false},
        {"tenants", R"({"name":7,"api-keys":["k"]})", true},
        {"tenants", R"({"name":"t\u0000","api-keys":["k"]})", true},
        {"tenants", R"({"name":"t","api-keys":[7,"k"]})", true},
        {"tenants", R"({"name":"t","api-keys":["k\u0000x"]})", true},
        {"tenants", R"({"name":"t","api-keys":7})", true},
        {"tenants", R"({"name":"t","guaranteed":{"gpu":"8"}})", true},
        {"tenants", R"({"name":"t","guaranteed":7})", true},
    };
    static const std::pair<const char *, std::string> rest[] = {
        {"routes", R"({"name":"rest","host":"h","prefix":"/rest/"})"},
        {"services", R"({"name":"rest","admission-check":true})"},
        {"tenants", R"({"name":"rest","api-keys":["key"]})"}};

    for (const ItemCase &c : cases) {
        std::string text = R"({"version":7)";

        for (const auto &list : rest) {
            text += ",\"" + std::string(list.first) + "\":[" +
                    (c.list == std::string(list.first) ? c.item + "," : "") +
                    list.second + "]";
        }
        ReadConfig read(text + "}");

        ASSERT_EQ(read.err, ERR_OK) << c.item << ": " << read.why;
        EXPECT_EQ(read.c.version, 7u) << c.item;
        EXPECT_EQ(read.c.queue_count + read.c.service_count +
                      read.c.organisation_count,
                  c.kept ? 4u : 3u)
            << c.item;
        EXPECT_STREQ(JobsConfig_Route(&read.c, "h", "/rest/1")->name, "rest")
            << c.item;
        EXPECT_STREQ(JobsConfig_ByKey(&read.c, "key")->name, "rest") << c.item;
        EXPECT_TRUE(read.c.services[read.c.service_count - 1].admission_check)
            << c.item;
        EXPECT_EQ(JobsConfig_ByKey(&read.c, "k") != nullptr,
                  c.item.find("\"k\"") != std::string::npos)
            << c.item;
    }
}

/* Guards against a configuration that never takes effect, and against names
 * that are taken for each other, because of the length of a text. */
TEST(HostedConfig, TextsOfAnyLengthAreRead)
{
    for (size_t n : {1u, 62u, 63u, 64u, 73u, 255u, 256u, 300u, 4000u}) {
        /* Characters of three bytes, so that a cut may fall into one. */
        std::string name, host(n, 'h'), key(n, 'k'),
            prefix = "/" + std::string(n, 'p') + "/";

        while (name.size() < n) {
            name += "\xed\x95\x9c";
        }
        ReadConfig read(
            R"({"version":7,"routes":[{"name":")" + name + R"(","service":")" +
            name + R"(","host":")" + host + R"(","prefix":")" + prefix +
            R"("}],"services":[{"name":")" + name +
            R"("}],"tenants":[{"name":")" + name + R"(a","api-keys":[")" +
            key + R"(","j"]},{"name":")" + name + R"(b","api-keys":["i"]}]})");

        ASSERT_EQ(read.err, ERR_OK) << n;
        const struct jobs_queue *q =
            JobsConfig_Route(&read.c, host.c_str(), (prefix + "ab").c_str());
        ASSERT_NE(q, nullptr) << n;
        EXPECT_STREQ(q->service, read.c.services[0].name) << n;
        EXPECT_STREQ(q->name, q->service) << n;
        ASSERT_NE(JobsConfig_ByKey(&read.c, key.c_str()), nullptr) << n;
        EXPECT_EQ(JobsConfig_ByKey(&read.c, (key + "k").c_str()), nullptr);
        EXPECT_STRNE(JobsConfig_ByKey(&read.c, "j")->name,
                     JobsConfig_ByKey(&read.c, "i")->name)
            << n;
        json_t *utf8 = json_string(read.c.organisations[0].name);
        EXPECT_NE(utf8, nullptr) << n;
        json_decref(utf8);
    }
}

} /* namespace */
