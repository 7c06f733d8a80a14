/* Unreadable input from other writers: reports, rows and entries. Valid input
 * must still be used, and no accepted job may be lost. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstring>

using namespace harness;

namespace {

/* Another sender posts reports to the agent of a busy worker: without a known
 * state, without capacity, under another id, or not JSON. The run goes on and
 * the worker gets the next job. The valid report under another id must not
 * make the agent give up the present incarnation for good. */
TEST(HostedForeign, ForeignReportsDoNotReplaceTheWorker)
{
    HostedStack s(1, 1);
    const std::string whole =
        R"("service":"pool","address":"127.0.0.1:1","sequence":9,)"
        R"("capacity":{"cpu":1,"mem-mb":1,"gpu":0},"labels":["a","r1"])";
    const std::pair<std::string, int> reports[] = {
        {"{" + whole + R"(,"state":"ready"})",
         200}, /* valid, under another id */
        {"{" + whole + "}", 400},
        {"{" + whole + R"(,"state":"odd"})", 400},
        {R"({"service":"pool","state":"ready"})", 400},
        {"\x01\xff", 400},
        {"[" + std::string(3000, '[') + "]", 400},
    };

    EXPECT_EQ(s.Submit(0, "a1", "1500").status, 200);
    ASSERT_TRUE(WaitFor([&] { return s.Starts().size() == 1; })) << s.Logs();
    for (int round = 0; round < 3; round++) {
        for (const auto &r : reports) {
            EXPECT_EQ(Http("POST",
                           s.Heartbeats(0) + "/Instances.Heartbeat/foreign-" +
                               std::to_string(round),
                           r.first)
                          .status,
                      r.second)
                << r.first.substr(0, 60);
        }
    }
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
    EXPECT_EQ(s.Logs().find("event=worker_lost"), std::string::npos);
}

/* Guards against starts on a worker that drains: after a heartbeat of another
 * writer without a start time, the worker's own ones count as late, though
 * they are answered. */
TEST(HostedForeign, AHeartbeatWithoutAStartTimeReplacesNoWorker)
{
    HostedStack s(1, 2);

    for (auto &w : s.workers) {
        Http("PUT", w->Url("/say"), "born");
    }
    ASSERT_TRUE(WaitFor([&] {
        return s.Logs().find("worker_found worker=i-0#") != std::string::npos;
    })) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a0", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a0", "completed")) << s.Logs();
    for (const char *state : {"ready", "draining"}) {
        EXPECT_EQ(Http("POST", s.Heartbeats(0) + "/Instances.Heartbeat/i-0",
                       std::string(R"({"service":"pool","sequence":1,)"
                                   R"("address":"127.0.0.1:1","state":")") +
                           state +
                           R"(","capacity":{"cpu":16000,"mem-mb":64000,)"
                           R"("gpu":8},"labels":["a","r1"]})")
                      .status,
                  200);
    }
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("not an incarnation of this worker") !=
               std::string::npos;
    })) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a1", "50", 12).status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    Http("PUT", s.workers[0]->Url("/say"), "drain");
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("event=worker_draining") != std::string::npos;
    })) << s.Logs();
    std::string before = Http("GET", s.workers[0]->Url("/starts")).body;
    EXPECT_EQ(s.Submit(0, "a2", "50", 12).status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    EXPECT_EQ(Http("GET", s.workers[0]->Url("/starts")).body, before);
}

/* Another writer overwrites rows of the product (entries, owner, heartbeat,
 * spec, progress and cancellation of jobs) and adds rows of no job. New jobs
 * are still done, and those with overwritten rows run once each. Then the
 * owner is killed; the next one must find all jobs. */
TEST(HostedForeign, OverwrittenRowsLoseNoJobAcrossATakeover)
{
    HostedStack s(2, 2);
    const std::string text = "not ours";

    EXPECT_EQ(s.Submit(0, "a1", "4000").status, 200);
    EXPECT_EQ(s.Submit(1, "a2", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    ASSERT_TRUE(WaitFor([&] { return s.Starts().size() == 2; })) << s.Logs();
    for (const char *key :
         {"spec/a1", "run/a1", "spec/a2", "run/a2", "spec/ffff", "run/eeee",
          "stop/a1", "entry/", "entry/x", "entry/entry-9", "beat", "odd"}) {
        s.PutRow("parsleyfall", key, text);
        s.PutRow("op", key, text);
    }
    s.PutRow("parsleyfall", "entry/entry-8", R"({"links":"nowhere:x"})");
    s.PutRow("op", "config", "{\"version\":7,\"routes\":[7]}");
    EXPECT_EQ(s.Submit(0, "a3", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a3", "completed")) << s.Logs();
    int survivor = s.KillOwner();
    EXPECT_EQ(s.Submit(survivor, "a4", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(survivor, "a1", "completed")) << s.Logs();
    EXPECT_TRUE(s.WaitForState(survivor, "a2", "completed")) << s.Logs();
    EXPECT_TRUE(s.WaitForState(survivor, "a4", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 4u) << s.Logs();
}

/* The owner row is overwritten while the owner lives. An entry takes
 * leadership under a higher term and waits for the leases of the previous
 * owner, so that nothing runs twice. If terms started from the beginning,
 * workers would ignore the new owner. */
TEST(HostedForeign, AnOverwrittenOwnerRowIsTakenUnderAHigherTerm)
{
    HostedStack s(2, 2);

    EXPECT_EQ(s.Submit(0, "a0", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a0", "completed")) << s.Logs();
    int survivor = s.KillOwner();
    s.StartEntry(1 - survivor);
    ASSERT_TRUE(WaitFor([&] { return s.Ready(1 - survivor); }));
    EXPECT_EQ(s.Submit(survivor, "a1", "1000", 2).status, 200);
    ASSERT_TRUE(WaitFor([&] { return s.Starts().size() == 3; })) << s.Logs();
    s.PutRow("parsleyfall", "owner", "{\"name\":7,\"term\":\"x\"}");
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(1, "a2", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 4u) << s.Logs();
}

/* All entries end and the owner row is overwritten, so that no entry knows the
 * term that workers have seen. Agents report it, and leadership is taken above
 * it. */
TEST(HostedForeign, AgentsReportTheTermThatNoEntryKnows)
{
    HostedStack s(1, 1);

    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    s.entries[0]->Signal(SIGKILL);
    s.entries[0]->Wait();
    s.PutRow("parsleyfall", "owner",
             R"({"name":"entry-0","incarnation":5,"term":40})");
    s.StartEntry(0);
    ASSERT_TRUE(WaitFor([&] { return s.Ready(0); }));
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    s.entries[0]->Signal(SIGKILL);
    s.entries[0]->Wait();
    s.PutRow("parsleyfall", "owner", "gone");
    s.StartEntry(0);
    ASSERT_TRUE(WaitFor([&] { return s.Ready(0); }));
    EXPECT_EQ(s.Submit(0, "a3", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a3", "completed")) << s.Logs();
}

/* A caller submits a job and gets no answer, and the row is overwritten before
 * any entry has read it. Submitting the same id again repairs the row. */
TEST(HostedForeign, SubmittingAgainRepairsAnOverwrittenSpec)
{
    HostedStack s(1, 1);

    s.PutRow("parsleyfall", "spec/a1", "not ours");
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("input_unreadable") != std::string::npos;
    })) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

/* Guards against a job that is reported as unknown because the store's
 * response has no list of rows. */
TEST(HostedForeign, AResponseWithoutRowsDoesNotMeanThatThereAreNone)
{
    HostedStack s(2, 1);

    s.Owner();
    for (int i = 0; i < 2; i++) {
        s.StoreFault(i, "no-rows");
    }
    EXPECT_EQ(s.Query(0, "a1").status, 503);
    EXPECT_NE(s.Cancel(1, "a1").status, 410);
    for (int i = 0; i < 2; i++) {
        s.StoreFault(i, "");
    }
    EXPECT_TRUE(WaitFor([&] { return s.Query(0, "a1").status == 410; }));
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(1, "a2", "50").status == 200; }));
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
}

/* Guards against entries that no longer follow the store, as its answers have
 * a row that no parser accepts. */
TEST(HostedForeign, ARowThatNoParserAcceptsDoesNotStopTheFeed)
{
    HostedStack s(2, 1);
    int version = 10;

    s.Owner();
    for (const std::string &row :
         {std::string(R"({"key":"odd","value":1e999,"schema-version":9})"),
          std::string(
              R"({"key":"odd","schema-version":99999999999999999999})"),
          std::string(R"({"key":"\ud800","value":"","schema-version":9})"),
          std::string(R"({"key":"a\u0000b","value":"","schema-version":9})"),
          std::string("{\"key\":\"\xff\",\"schema-version\":9}"),
          R"({"key":"odd","value":)" + std::string(3000, '[') +
              std::string(3000, ']') + R"(,"schema-version":9})"}) {
        std::string id = "a" + std::to_string(version);
        std::string key = "key-" + std::to_string(version);

        Http("PUT", s.store->Url("/odd-row"), row);
        s.PutConfig(version++, {key});
        for (int entry = 0; entry < 2; entry++) {
            EXPECT_TRUE(WaitFor([&] {
                return s.Query(entry, "0", key).status == 410;
            })) << row.substr(0, 60);
        }
        EXPECT_EQ(s.Submit(0, id, "50", 1, key).status, 200);
        EXPECT_TRUE(WaitFor([&] {
            return s.Query(1, id, key).body.find("completed") !=
                   std::string::npos;
        })) << row.substr(0, 60);
    }
    s.StartEntry(0);
    EXPECT_TRUE(WaitFor([&] { return s.Ready(0); }));
}

/* Guards against a configuration that never takes effect, so that a revoked
 * key stays valid, because of the length or the type of one item. Each version
 * replaces the key. */
TEST(HostedForeign, OneItemDoesNotKeepTheRestOfAConfigFromTakingEffect)
{
    static const std::pair<const char *, std::string> cases[] = {
        {"tenants",
         R"({"name":")" + std::string(73, 't') + R"(","api-keys":["k"]})"},
        {"tenants",
         R"({"name":"v","api-keys":[")" + std::string(4000, 'k') + R"(",7]})"},
        {"routes", R"({"name":")" + std::string(300, 'r') +
                       R"(","host":"h","prefix":"/)" + std::string(600, 'p') +
                       R"(/","service":"pool"})"},
        {"routes", R"({"name":"x","prefix":7,"priority":"high"})"},
        {"services", R"({"name":")" + std::string(64, 's') + R"("})"},
        {"services", "7"},
    };
    HostedStack s(2, 1);
    int version = 10;

    s.Owner();
    for (const auto &c : cases) {
        std::string id = "a" + std::to_string(version);
        std::string key = "key-" + std::to_string(version);

        s.PutConfigWith(version++, {key}, c.first, c.second);
        for (int entry = 0; entry < 2; entry++) {
            EXPECT_TRUE(WaitFor([&] {
                return s.Query(entry, "0", key).status == 410;
            })) << c.second.substr(0, 40);
            EXPECT_EQ(s.Submit(entry, id, "50", 1, "key-one").status, 401)
                << c.second.substr(0, 40);
        }
        ASSERT_EQ(s.Submit(0, id, "50", 1, key).status, 200);
    }
    s.PutConfig(version, {"key-one"});
    EXPECT_TRUE(s.WaitForState(0, "a15", "completed")) << s.Logs();
}

/* Guards against keys, paths and names that are served only up to a length:
 * the job of a tenant, a route and a service with long ones runs. */
TEST(HostedForeign, JobsRunUnderLongKeysPathsAndNames)
{
    const std::string key(3000, 'k'), prefix = "/" + std::string(2000, 'p');
    HostedStack s(2, 1);

    s.Owner();
    s.PutConfigWith(10, {key}, "routes",
                    R"({"name":")" + std::string(200, 'r') +
                        R"(","host":"one.example","prefix":")" + prefix +
                        R"(/","service":"pool","max-attempts":1})");
    const std::vector<std::string> headers = {"Host: one.example",
                                              "Authorization: Bearer " + key};

    for (int entry = 0; entry < 2; entry++) {
        std::string url =
            s.Entry(entry) + prefix + "/b" + std::to_string(entry);

        EXPECT_TRUE(WaitFor([&] {
            return Http("POST", url,
                        R"({"task-spec":"50","steps":[{"count":1,"cpu":1000,)"
                        R"("mem-mb":100,"estimated-ms":50}]})",
                        headers)
                       .status == 200;
        })) << s.Logs();
        EXPECT_TRUE(WaitFor([&] {
            return Text(Http("GET", url, "", headers).json().get(), "state") ==
                   "completed";
        })) << s.Logs();
    }
}

/* Values that another writer may leave: very deep, with numbers out of range,
 * with ports out of range, with text that is hard to read. */
std::vector<std::string>
OddValues()
{
    const std::string deep = std::string(30000, '['),
                      big = "1" + std::string(400, '0');
    std::vector<std::string> values = {deep,
                                       deep + std::string(30000, ']'),
                                       std::string(2040, '[') +
                                           std::string(2040, ']'),
                                       big,
                                       "-" + big,
                                       "1e999",
                                       "9223372036854775807",
                                       "\xff\xfe",
                                       "\"\\ud800\"",
                                       "\"\\u0000\"",
                                       "{}",
                                       "[]",
                                       "null",
                                       "\"\"",
                                       ""};

    for (const char *port :
         {"0", "-1", "65536", "99999999999999999999", "1e3", "80x", ""}) {
        values.push_back(R"({"name":"x","incarnation":1,"links":"127.0.0.1:)" +
                         std::string(port) + "\"}");
    }
    for (const std::string &n :
         {big, std::string("1e999"), std::string("9223372036854775807"),
          std::string("9007199254740992"), std::string("-1"),
          std::string("0.5"), deep}) {
        values.push_back(R"({"links":"127.0.0.9:70","incarnation":)" + n +
                         R"(,"millicores":)" + n + R"(,"memory_mb":)" + n +
                         "}");
        values.push_back(R"({"name":"x","incarnation":)" + n + R"(,"term":)" +
                         n + "}");
        values.push_back(R"({"v":1,"term":)" + n + R"(,"at_ms":)" + n +
                         R"(,"lines":[["r-1",)" + n + "," + n + "," + n + "," +
                         n + "," + n + R"(]],"machines":{"a":{"agent-0":[)" +
                         n + "," + n + "]}}}");
        values.push_back(R"({"state":"running","begun":true,"first":)" + n +
                         R"(,"occurrences":)" + n +
                         R"(,"workers":[["agent-0","i"]],"done":[[)" + n +
                         ",0,0," + n + R"(]],"units":[[0,0,0,1,)" + n + "," +
                         n + R"(,1,"",[[)" + n + "," + n + "]]]]}");
    }
    return values;
}

/* Guards against processes that end, or no longer follow the store, because of
 * one odd row of another writer. */
TEST(HostedForeign, OddRowsOfAnotherWriterEndNothing)
{
    HostedStack s(2, 2);
    int version = 100;

    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    for (const char *key :
         {"entry/unknown", "entry/entry-0", "owner", "beat", "learned",
          "spec/b1", "run/b1", "run/a1", "stop/b2", "odd"}) {
        for (const std::string &value : OddValues()) {
            s.PutRow("parsleyfall", key, value);
        }
        for (const std::string &value : OddValues()) {
            s.PutRow("op", key, value);
        }
        std::string job = "c" + std::to_string(version);

        s.PutConfig(version++, {"key-one"});
        EXPECT_EQ(s.Submit(1, job, "50").status, 200) << key;
        EXPECT_TRUE(s.WaitForState(0, job, "completed")) << key << s.Logs();
    }
    for (auto &p : s.entries) {
        EXPECT_TRUE(p->Running());
    }
    for (auto &p : s.agents) {
        EXPECT_TRUE(p->Running());
    }
}

/* Guards against a service that stops for good: a row of another writer names
 * a term from which no owner can go on. */
TEST(HostedForeign, ATermOutOfRangeStopsNoOwner)
{
    HostedStack s(2, 2);

    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    for (const char *term :
         {"9223372036854775807", "9223372036854775806", "9007199254740993"}) {
        std::string job = "b" + std::to_string(std::strlen(term)) +
                          std::string(term).substr(15);

        s.PutRow("parsleyfall", "owner",
                 std::string(R"({"name":"x","incarnation":1,"term":)") + term +
                     "}");
        EXPECT_EQ(s.Submit(1, job, "50").status, 200) << term;
        EXPECT_TRUE(s.WaitForState(0, job, "completed")) << term << s.Logs();
    }
}

} /* namespace */
