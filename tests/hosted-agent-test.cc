/* Heartbeats and responses to polls as the adapter of an agent reads them from
 * its worker: valid, truncated, with fields of wrong types, and hostile. An
 * invalid heartbeat is refused as a whole; a row of a poll that can't be read
 * is skipped and the others are used. */
#include "hosted.h"
extern "C" {
#include "runs-watch.h"
}

#include <gtest/gtest.h>

#include <memory>
#include <sstream>
#include <string>

namespace {

/* Returns a heartbeat in which one field has another value, given as JSON; ""
 * leaves the field out. */
std::string
HeartbeatText(const std::string &field = "", const std::string &value = "")
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
ReadHeartbeat(const std::string &text, struct worker_status *report,
              std::string *reason)
{
    char why[128] = "";
    int64_t start_time;
    int err;

    *report = {};
    err = Hosted_ReadHeartbeat(text.data(), text.size(), report, &start_time,
                               why);
    *reason = why;
    return err;
}

TEST(HostedHeartbeat, EveryFieldIsRead)
{
    struct worker_status report;
    std::string why;

    ASSERT_EQ(ReadHeartbeat(HeartbeatText(), &report, &why), ERR_OK) << why;
    EXPECT_STREQ(report.service, "pool");
    EXPECT_EQ(report.capacity.millicores, 16000);
    EXPECT_EQ(report.capacity.memory_mb, 64000);
    EXPECT_EQ(report.capacity.accelerators, 8);
    EXPECT_EQ(report.label_count, 2u);
    EXPECT_STREQ(report.labels[1], "r1-3");
    EXPECT_EQ(report.sequence, 4u);
    EXPECT_FALSE(report.draining);
    ASSERT_EQ(
        ReadHeartbeat(
            HeartbeatText("state", R"("draining","drain-remaining-ms":900)"),
            &report, &why),
        ERR_OK);
    EXPECT_TRUE(report.draining);
    EXPECT_EQ(report.drain_left_ms, 900);
}

struct NoticeCase {
    const char *value; /* as JSON */
    int err;
    int64_t left_ms;
};

TEST(HostedHeartbeat, AbsurdNoticeOfDepartureStillDrains)
{
    static const NoticeCase cases[] = {
        {"1500", ERR_OK, 1500},
        {"0", ERR_OK, 0},
        {"-400", ERR_OK, 0},
        {"3600000", ERR_OK, 3600000},
        {"1000000000000000", ERR_OK, -1},
        {"1.5", ERR_INVALID, -1},
        {"\"900\"", ERR_INVALID, -1},
    };

    for (const NoticeCase &c : cases) {
        struct worker_status report;
        std::string why;

        EXPECT_EQ(
            ReadHeartbeat(HeartbeatText("state", "\"draining\",\"drain-"
                                                 "remaining-ms\":" +
                                                     std::string(c.value)),
                          &report, &why),
            c.err)
            << c.value;
        if (c.err == ERR_OK) {
            EXPECT_TRUE(report.draining) << c.value;
            EXPECT_EQ(report.drain_left_ms, c.left_ms) << c.value;
        }
    }
}

struct DepartureCase {
    const char *name;
    /* Times in ms with d: notice of 500 ms, n: drains without a notice,
     * r: ready, x: poll refused, t: poll failed otherwise, o: answered. */
    const char *events;
    int64_t over_ms; /* of the first event that shows it; -1: none */
};

/* Guards against a hung, restarting or returning worker that is taken for one
 * that is gone: its tasks would run a second time elsewhere. */
TEST(Departure, OnlyRefusalsInARowAfterTheNoticeShowIt)
{
    static const DepartureCase cases[] = {
        {"gone", "0d 550x 650x 750x 850x", 850},
        {"refused too early", "0d 100x 300x 450x 499x 500x", 500},
        {"too short", "0d 600x 601x 602x 899x", -1},
        {"too few", "0d 600x 2000x", -1},
        {"hung", "0d 600t 1600t 2600t 3600t", -1},
        {"one timed out", "0d 600x 700x 1200t 1300x 1400x", -1},
        {"answered in between", "0d 600x 700x 800o 900x 1000x", -1},
        {"still reports", "0d 600x 700x 800d 1400x 1500x", -1},
        {"ready again", "0d 100r 600x 800x 1000x 1200x", -1},
        {"no notice", "0n 600x 800x 1000x 1200x", -1},
        {"not draining", "600x 800x 1000x 1200x", -1},
    };

    for (const DepartureCase &c : cases) {
        std::istringstream events(c.events);
        int64_t at, over = -1;
        struct departure d;
        char what;

        Departure_Clear(&d);
        while (events >> at >> what) {
            if (what == 'd' || what == 'n' || what == 'r') {
                Departure_Reported(&d, what != 'r', what == 'd' ? 500 : -1,
                                   at);
            }
            else {
                Departure_Polled(&d, what == 'x', at);
            }
            over = over < 0 && Departure_IsOver(&d, at) ? at : over;
        }
        EXPECT_EQ(over, c.over_ms) << c.name;
    }
}

struct LifetimeCase {
    const char *name;
    const char *id;
    const char *start_time; /* as JSON; "": not reported */
    int err;
    const char *lifetime;
};

/* Guards against a worker that restarts under the same id and is taken for its
 * former lifetime: the start time tells them apart. */
TEST(HostedHeartbeat, LifetimeNamesIdAndStartTime)
{
    static const LifetimeCase cases[] = {
        {"not reported", "i-1", "", ERR_OK, "i-1"},
        {"reported", "i-1", "1700000000000", ERR_OK, "i-1#1700000000000"},
        {"zero", "i-1", "0", ERR_OK, "i-1#0"},
        {"a separator in the id", "i#1", "5", ERR_INVALID, ""},
        {"a separator in the id, not reported", "i#1", "", ERR_INVALID, ""},
        {"a string", "i-1", "\"5\"", ERR_INVALID, ""},
        {"not a whole number", "i-1", "5.5", ERR_INVALID, ""},
        {"negative", "i-1", "-5", ERR_INVALID, ""},
        {"null", "i-1", "null", ERR_INVALID, ""},
        {"no id", "", "5", ERR_INVALID, ""},
        {"a line break in the id", "i\r\nX: 1", "5", ERR_INVALID, ""},
        {"a space in the id", "i 1", "", ERR_INVALID, ""},
        {"a byte that is no text", "i\xff", "5", ERR_INVALID, ""},
    };

    for (const LifetimeCase &c : cases) {
        std::string text = *c.start_time != '\0'
                               ? std::string("{\"born\":") + c.start_time + "}"
                               : "{}";
        json_t *o = json_loads(text.c_str(), 0, nullptr);
        char lifetime[JOBS_TEXT_SIZE] = "", id[JOBS_TEXT_SIZE];
        int64_t start_time;
        int err = Hosted_ReadStartTime(o, &start_time);

        if (err == ERR_OK) {
            err = Hosted_FormatLifetime(c.id, start_time, lifetime);
        }
        EXPECT_EQ(err, c.err) << c.name;
        if (err == ERR_OK) {
            EXPECT_STREQ(lifetime, c.lifetime) << c.name;
            EXPECT_EQ(Hosted_StartTime(lifetime), start_time) << c.name;
        }
        if (err == ERR_OK && start_time >= 0) {
            Hosted_WorkerId(lifetime, id);
            EXPECT_STREQ(id, c.id) << c.name;
        }
        json_decref(o);
    }
    char lifetime[JOBS_TEXT_SIZE];
    EXPECT_EQ(Hosted_FormatLifetime(std::string(90, 'i').c_str(),
                                    1700000000000, lifetime),
              ERR_INVALID);
}

TEST(HostedHeartbeat, TruncatedReportIsRefused)
{
    const std::string good = HeartbeatText();

    for (size_t len = 0; len < good.size(); len++) {
        struct worker_status report;
        std::string why;

        ASSERT_EQ(ReadHeartbeat(good.substr(0, len), &report, &why),
                  ERR_INVALID)
            << len;
        ASSERT_NE(why, "");
    }
}

struct InvalidField {
    const char *field;
    const char *value; /* "": missing */
};

TEST(HostedHeartbeat, MissingOrInvalidFieldIsRefused)
{
    static const InvalidField cases[] = {
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

    for (const InvalidField &c : cases) {
        struct worker_status report;
        std::string why;

        EXPECT_EQ(
            ReadHeartbeat(HeartbeatText(c.field, c.value), &report, &why),
            ERR_INVALID)
            << c.field << " " << c.value;
        EXPECT_NE(why, "") << c.field << " " << c.value;
    }
}

/* Guards against a worker that is never used because the name of its service
 * or a label is long: they must equal those that an entry reads from the
 * configuration and from jobs. */
TEST(HostedHeartbeat, TextsOfAnyLengthAreRead)
{
    for (size_t n : {1u, 62u, 63u, 64u, 73u, 94u, 95u, 96u, 300u, 4000u}) {
        std::string name(n, 's'), why;
        struct worker_status report;
        char expected[NAME_SIZE];

        Str_Abbreviate(expected, sizeof(expected), name.data(), n);
        ASSERT_EQ(ReadHeartbeat(HeartbeatText("service", "\"" + name + "\""),
                                &report, &why),
                  ERR_OK)
            << n << why;
        EXPECT_STREQ(report.service, expected) << n;

        char label[JOBS_TEXT_SIZE];

        Str_Abbreviate(label, sizeof(label), name.data(), n);
        ASSERT_EQ(
            ReadHeartbeat(HeartbeatText("labels", "[\"a\",\"" + name + "\"]"),
                          &report, &why),
            ERR_OK)
            << n << why;
        EXPECT_STREQ(report.labels[1], label) << n;
    }
}

TEST(HostedHeartbeat, MalformedReportIsRefused)
{
    const std::string cases[] = {
        "",
        "[]",
        "null",
        std::string(3, '\0'),
        "\xff\xfe{}",
        std::string(100000, '['),
        HeartbeatText("service", R"("a","service":"b")"),
    };

    for (const std::string &text : cases) {
        struct worker_status report;
        std::string why;

        EXPECT_EQ(ReadHeartbeat(text, &report, &why), ERR_INVALID)
            << text.substr(0, 40);
    }
}

struct PolledRuns {
    explicit PolledRuns(const std::string &text)
    {
        json_t *o =
            json_loadb(text.data(), text.size(), JSON_ALLOW_NUL, nullptr);

        err = Hosted_ReadRuns(o, &seen);
        json_decref(o);
    }
    ~PolledRuns()
    {
        free(seen.running);
        free(seen.ended);
    }
    struct runs_poll_result seen = {};
    int err;
};

TEST(HostedRuns, UnreadableRowsAreSkipped)
{
    PolledRuns runs(
        R"({"clock-ms":9,"running":[["a.0.0.0",2,"cp",41],7,["b"],)"
        R"(["c.0.0.0","2","",1],["d.0.0.0",0,"",1],)"
        R"(["e.0.0.0",1,"",140,3.5,"new"]],)"
        R"("ended":[[1,"f.0.0.0",1,"done",""],[2,"g.0.0.0",1,7,""],{},)"
        R"([3,"h.0.0.0",1,"exploded","cp"],[-4,"i.0.0.0",1,"done",""]]})");

    ASSERT_EQ(runs.err, ERR_OK);
    ASSERT_EQ(runs.seen.running_count, 2u);
    EXPECT_STREQ(runs.seen.running[0].task, "a.0.0.0");
    EXPECT_STREQ(runs.seen.running[1].task, "e.0.0.0");
    EXPECT_EQ(runs.seen.running[1].percent, 100);
    ASSERT_EQ(runs.seen.ended_count, 2u);
    EXPECT_EQ(runs.seen.ended[0].how, END_DONE);
    /* An unknown kind of end does not count as done. */
    EXPECT_STREQ(runs.seen.ended[1].task, "h.0.0.0");
    EXPECT_EQ(runs.seen.ended[1].how, END_STOPPED);
}

/* Guards against a worker whose runs are given up, as one odd row makes its
 * whole answer unreadable. */
TEST(HostedRuns, ARowThatNoParserAcceptsIsSkipped)
{
    const std::string deep = std::string(3000, '[') + std::string(3000, ']');

    for (const std::string &row :
         {std::string(R"(["b.0.0.0",1,"",1e999])"),
          std::string(R"(["b.0.0.0",99999999999999999999,"",4])"),
          std::string("[\"b\xff\",1,\"\",4]"),
          std::string(R"(["\ud800",1,"",4])"),
          R"(["b.0.0.0",1,"",)" + deep + "]", deep}) {
        std::string text = R"({"clock-ms":9,"running":[)" + row +
                           R"(,["a.0.0.0",2,"cp",41]],"ended":[]})";
        json_t *o = Json_LoadParts(text.data(), text.size());
        struct runs_poll_result seen = {};

        ASSERT_EQ(Hosted_ReadRuns(o, &seen), ERR_OK) << row.substr(0, 40);
        ASSERT_EQ(seen.running_count, 1u) << row.substr(0, 40);
        EXPECT_STREQ(seen.running[0].task, "a.0.0.0");
        EXPECT_STREQ(seen.running[0].checkpoint, "cp");
        free(seen.running);
        free(seen.ended);
        json_decref(o);
    }
}

struct ListCase {
    const char *what;
    int ends;
    int unreadable; /* further rows of "ended" */
    const char *running;
    bool partial;
};

/* Guards against a list of ends that is cut at a page, or missing, and counts
 * as complete. */
TEST(HostedRuns, ListsThatMayLackARunArePartial)
{
    static const ListCase cases[] = {
        {"no ends", 0, 0, "[]", false},
        {"one less than a page", 499, 0, "[]", false},
        {"a page", 500, 0, "[]", true},
        {"a page with an unreadable row", 499, 1, "[]", true},
        {"more than a page", 600, 0, "[]", true},
        {"no list of runs", 1, 0, "null", true},
        {"no list of ends", -1, 0, "[]", true},
    };

    for (const ListCase &c : cases) {
        std::string ended;

        for (int i = 1; i <= c.ends + c.unreadable; i++) {
            ended += (i > 1 ? "," : "") +
                     (i <= c.ends ? "[" + std::to_string(i) +
                                        ",\"a.0.0.0\",1,\"done\",\"\"]"
                                  : std::string("7"));
        }
        PolledRuns runs(R"({"clock-ms":9,"running":)" +
                        std::string(c.running) + R"(,"ended":)" +
                        (c.ends < 0 ? "7" : "[" + ended + "]") + "}");

        ASSERT_EQ(runs.err, ERR_OK) << c.what;
        EXPECT_EQ(runs.seen.partial, c.partial) << c.what;
        EXPECT_EQ(runs.seen.ended_count, c.ends < 0 ? 0u : c.ends) << c.what;
    }
}

struct CheckpointCase {
    const char *what;
    std::string json;
    const char *expected;
};

/* Guards against a run whose row is skipped for its checkpoint: it would be
 * stopped as vanished, and run again after it is done. */
TEST(HostedRuns, ARowWithAnUnusableCheckpointKeepsItsRun)
{
    static const std::string longest(95, 'c');
    static const CheckpointCase cases[] = {
        {"the longest", "\"" + longest + "\"", longest.c_str()},
        {"a byte more", "\"" + longest + "c\"", ""},
        {"4,000 bytes", "\"" + std::string(4000, 'c') + "\"", ""},
        {"a NUL", "\"a\\u0000b\"", ""},
        {"no string", "7", ""},
    };

    for (const CheckpointCase &c : cases) {
        PolledRuns runs(R"({"clock-ms":9,"running":[["a.0.0.0",2,)" + c.json +
                        R"(,41]],"ended":[[1,"b.0.0.0",1,"done",)" + c.json +
                        "]]}");

        ASSERT_EQ(runs.err, ERR_OK) << c.what;
        ASSERT_EQ(runs.seen.running_count, 1u) << c.what;
        EXPECT_STREQ(runs.seen.running[0].checkpoint, c.expected) << c.what;
        ASSERT_EQ(runs.seen.ended_count, 1u) << c.what;
        EXPECT_EQ(runs.seen.ended[0].how, END_DONE) << c.what;
        EXPECT_STREQ(runs.seen.ended[0].checkpoint, c.expected) << c.what;
    }
}

TEST(HostedRuns, PollWithoutClockIsRefused)
{
    for (const char *text :
         {"{}", "[]", "7", R"({"clock-ms":"9"})", R"({"clock-ms":-9})"}) {
        PolledRuns runs(text);

        EXPECT_EQ(runs.err, ERR_INVALID) << text;
    }
}

} /* namespace */
