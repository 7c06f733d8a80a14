/* What the adapter of an agent reads of its worker: whole, cut, of wrong
 * types, and hostile. A report that is not whole names no worker to use; a
 * row of a poll that can't be read leaves the others as they are. */
#include "hosted.h"
#include "runs.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace {

/* A report with one field replaced by a text; "" drops it. */
std::string
Heartbeat(const std::string &field = "", const std::string &value = "")
{
    static const std::pair<const char *, const char *> fields[] = {
        {"service", "\"pool\""},
        {"address", "\"10.0.0.9:8080\""},
        {"state", "\"ready\""},
        {"capacity", R"({"cpu":16000,"mem-mb":64000,"gpu":8})"},
        {"labels", R"(["a","r1-3"])"},
        {"sequence", "4"}};
    std::string out;

    for (const auto &f : fields) {
        const std::string v = field == f.first ? value : f.second;

        if (!v.empty()) {
            out += (out.empty() ? "{\"" : ",\"") + std::string(f.first) +
                   "\":" + v;
        }
    }
    return out + "}";
}

int
Read(const std::string &text, struct worker_status *said, std::string *says)
{
    char why[128] = "";
    int64_t born;
    int err;

    *said = {};
    err = Hosted_ReadHeartbeat(text.data(), text.size(), said, &born, why);
    *says = why;
    return err;
}

TEST(HostedHeartbeat, EveryFieldGoesToItsPlace)
{
    struct worker_status said;
    std::string why;

    ASSERT_EQ(Read(Heartbeat(), &said, &why), ERR_OK) << why;
    EXPECT_STREQ(said.service, "pool");
    EXPECT_EQ(said.capacity.millicores, 16000);
    EXPECT_EQ(said.capacity.memory_mb, 64000);
    EXPECT_EQ(said.capacity.accelerators, 8);
    EXPECT_EQ(said.label_count, 2u);
    EXPECT_STREQ(said.labels[1], "r1-3");
    EXPECT_EQ(said.sequence, 4u);
    EXPECT_FALSE(said.draining);
    ASSERT_EQ(
        Read(Heartbeat("state", R"("draining","drain-remaining-ms":900)"),
             &said, &why),
        ERR_OK);
    EXPECT_TRUE(said.draining);
    EXPECT_EQ(said.drain_left_ms, 900);
}

struct Birth {
    const char *what;
    const char *id;
    const char *born; /* as JSON; "": not told */
    int err;
    const char *lifetime;
};

/* Guards against two lifetimes under one id that are taken for one. */
TEST(HostedHeartbeat, ALifetimeIsAnIdAndABirth)
{
    static const Birth cases[] = {
        {"not told", "i-1", "", ERR_OK, "i-1"},
        {"told", "i-1", "1700000000000", ERR_OK, "i-1#1700000000000"},
        {"the first moment", "i-1", "0", ERR_OK, "i-1#0"},
        {"a mark in the id", "i#1", "5", ERR_INVALID, ""},
        {"a mark in the id, not told", "i#1", "", ERR_INVALID, ""},
        {"a text", "i-1", "\"5\"", ERR_INVALID, ""},
        {"no whole number", "i-1", "5.5", ERR_INVALID, ""},
        {"negative", "i-1", "-5", ERR_INVALID, ""},
        {"null", "i-1", "null", ERR_INVALID, ""},
        {"no id", "", "5", ERR_INVALID, ""},
    };

    for (const Birth &c : cases) {
        std::string text =
            *c.born != '\0' ? std::string("{\"born\":") + c.born + "}" : "{}";
        json_t *o = json_loads(text.c_str(), 0, nullptr);
        char lifetime[JOBS_TEXT_SIZE] = "", id[JOBS_TEXT_SIZE];
        int64_t born;
        int err = Hosted_ReadBorn(o, &born);

        if (err == ERR_OK) {
            err = Hosted_Lifetime(c.id, born, lifetime);
        }
        EXPECT_EQ(err, c.err) << c.what;
        if (err == ERR_OK) {
            EXPECT_STREQ(lifetime, c.lifetime) << c.what;
            EXPECT_EQ(Hosted_Born(lifetime), born) << c.what;
        }
        if (err == ERR_OK && born >= 0) {
            Hosted_WorkerId(lifetime, id);
            EXPECT_STREQ(id, c.id) << c.what;
        }
        json_decref(o);
    }
    char lifetime[JOBS_TEXT_SIZE];
    EXPECT_EQ(
        Hosted_Lifetime(std::string(90, 'i').c_str(), 1700000000000, lifetime),
        ERR_INVALID);
}

TEST(HostedHeartbeat, CutAnywhereItIsRefused)
{
    const std::string good = Heartbeat();

    for (size_t len = 0; len < good.size(); len++) {
        struct worker_status said;
        std::string why;

        ASSERT_EQ(Read(good.substr(0, len), &said, &why), ERR_INVALID) << len;
        ASSERT_NE(why, "");
    }
}

struct BadField {
    const char *field;
    const char *value; /* "": missing */
};

TEST(HostedHeartbeat, AFieldThatIsMissingOrWrongIsNamed)
{
    static const BadField cases[] = {
        {"service", ""},
        {"service", "7"},
        {"service", "\"\""},
        {"service", "null"},
        {"service", "\"a\\u0000b\""},
        {"address", ""},
        {"address", "\"nowhere\""},
        {"address", "\"10.0.0.9:99999\""},
        {"state", ""},
        {"state", "\"READY\""},
        {"state", "\"on_fire\""},
        {"state", "true"},
        {"state", "[\"ready\"]"},
        {"capacity", ""},
        {"capacity", "16000"},
        {"capacity", "\"much\""},
        {"capacity", R"({"cpu":16000,"mem-mb":64000})"},
        {"capacity", R"({"cpu":"16000","mem-mb":64000,"gpu":8})"},
        {"capacity", R"({"cpu":-1,"mem-mb":64000,"gpu":8})"},
        {"capacity", R"({"cpu":16000,"mem-mb":64000,"gpu":1.5})"},
        {"capacity", R"({"cpu":16000,"mem-mb":9223372036854775807,"gpu":8})"},
        {"labels", ""},
        {"labels", "\"r1\""},
        {"labels", "[\"a\",7]"},
        {"labels", R"(["a","b","c","d","r1"])"},
        {"sequence", ""},
        {"sequence", "\"4\""},
        {"sequence", "-4"},
        {"sequence", "99999999999999999999"},
    };

    for (const BadField &c : cases) {
        struct worker_status said;
        std::string why;

        EXPECT_EQ(Read(Heartbeat(c.field, c.value), &said, &why), ERR_INVALID)
            << c.field << " " << c.value;
        EXPECT_NE(why, "") << c.field << " " << c.value;
    }
}

TEST(HostedHeartbeat, BytesThatAreNoReportAreRefused)
{
    const std::string cases[] = {
        "",
        "[]",
        "null",
        std::string(3, '\0'),
        "\xff\xfe{}",
        std::string(100000, '['),
        Heartbeat("service", "\"" + std::string(64, 's') + "\""),
        Heartbeat("labels", "[\"" + std::string(96, 'l') + "\"]"),
        Heartbeat("service", R"("a","service":"b")"),
    };

    for (const std::string &text : cases) {
        struct worker_status said;
        std::string why;

        EXPECT_EQ(Read(text, &said, &why), ERR_INVALID) << text.substr(0, 40);
    }
}

struct Runs {
    explicit Runs(const std::string &text)
    {
        json_t *o = json_loadb(text.data(), text.size(), 0, nullptr);

        err = Hosted_ReadRuns(o, &seen);
        json_decref(o);
    }
    ~Runs()
    {
        free(seen.running);
        free(seen.ended);
    }
    struct runs_poll_result seen = {};
    int err;
};

TEST(HostedRuns, RowsThatCantBeReadLeaveTheOthers)
{
    Runs l(R"({"clock-ms":9,"running":[["a.0.0.0",2,"cp",41],7,["b"],)"
           R"(["c.0.0.0","2","",1],["d.0.0.0",0,"",1],)"
           R"(["e.0.0.0",1,"",140,3.5,"new"]],)"
           R"("ended":[[1,"f.0.0.0",1,"done",""],[2,"g.0.0.0",1,7,""],{},)"
           R"([3,"h.0.0.0",1,"exploded","cp"],[-4,"i.0.0.0",1,"done",""]]})");

    ASSERT_EQ(l.err, ERR_OK);
    ASSERT_EQ(l.seen.running_count, 2u);
    EXPECT_STREQ(l.seen.running[0].task, "a.0.0.0");
    EXPECT_STREQ(l.seen.running[1].task, "e.0.0.0");
    EXPECT_EQ(l.seen.running[1].percent, 100);
    ASSERT_EQ(l.seen.ended_count, 2u);
    EXPECT_EQ(l.seen.ended[0].how, END_DONE);
    /* An end that nobody named is not taken for one that is done. */
    EXPECT_STREQ(l.seen.ended[1].task, "h.0.0.0");
    EXPECT_EQ(l.seen.ended[1].how, END_STOPPED);
}

TEST(HostedRuns, WithoutAClockItIsNone)
{
    for (const char *text :
         {"{}", "[]", "7", R"({"clock-ms":"9"})", R"({"clock-ms":-9})"}) {
        Runs l(text);

        EXPECT_EQ(l.err, ERR_INVALID) << text;
    }
}

} /* namespace */
