#include "harness.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace harness;

/* Guards against an agent that sends no heartbeats while it is busy because it
 * counts its responses as signs of life. The entry learns an agent's load and
 * liveness by heartbeats alone, so it dropped such an agent after 3.5 s of
 * steady work: callers got "no_capacity" for every request although the agent
 * still answered. */

static const char *const CONFIGURATION = R"(version: 1
weights: {completion: 70, fragmentation: 30}
topology:
  regions:
    - name: r
      failure_domains:
        - name: a
          racks:
            - {name: k, workers: [{name: w1, accelerators: 8}]}
operators:
  - {name: op, token_hashes: [7277fd166ceeb8b440a8bd05ad2bc6f017f665f243076d44dbd508f585c14c8d]}
organisations:
  - name: o
    token_hashes: [15677597b4b993655ed999ad026a17bcd8bf3dd5dc45cda46db011609cfa5747]
    weight: 1
    guarantees: []
classes:
  - {name: c, kind: request, priority: normal, repeatable: true,
     deadline_ms: 5000, keyed_when_table_down: serve}
services:
  - {name: s, organisations: [o], classes: [c], request_bytes: 65536,
     answer_bytes: 65536, queue_limit: 64}
)";

/* Returns the value of `key=` after the first line of an event in a log; empty
 * when there is none. */
static std::string
field(const std::string &log, const std::string &event, const std::string &key)
{
    size_t at = log.find("event=" + event + " ");
    size_t from = log.find(" " + key + "=", at);

    if (at == std::string::npos || from == std::string::npos) {
        return "";
    }
    from += key.size() + 2;
    return log.substr(from, log.find_first_of(" \n", from) - from);
}

TEST(Heartbeat, ABusyAgentSendsHeartbeats)
{
    TempDir dir;
    Fake platform(dir, "fake-platform");
    Fake upstream(dir, "fake-upstream", {"--slots", "4", "--service-ms", "5"});
    std::string first = dir.Write("configuration.yaml", CONFIGURATION);
    std::string entry_settings =
        dir.Write("entry.yaml",
                  "name: e1\nregion: r\nfailure_domain: a\n"
                  "listen: {address: 127.0.0.1, http_port: 0, link_port: 0}\n"
                  "seeds: []\nplatform: {table_url: \"" +
                      platform.Url() + "\", objects_url: \"" + platform.Url() +
                      "\"}\nlimits: {deadline_ms_max: 5000}\ndrain_ms: 5000\n"
                      "configuration_file: " +
                      first + "\n");
    Process entry(dir, "parsleyfall", {"serve", entry_settings}, "entry");
    ASSERT_TRUE(WaitFor([&] {
        return !field(entry.Err(), "listening", "links").empty();
    })) << entry.Err();
    std::string url =
        "http://127.0.0.1:" + field(entry.Err(), "listening", "http");
    Process agent(
        dir, "parsleyfall-agent",
        {"run", dir.Write("agent.yaml",
                          "name: w1\nregion: r\nfailure_domain: a\nrack: k\n"
                          "accelerators: 8\nseeds: [\"" +
                              field(entry.Err(), "listening", "links") +
                              "\"]\nservices:\n  - {name: s, url: \"" +
                              upstream.Url() +
                              "\", slots: 4, connections: 4, timeout_ms: "
                              "5000}\nlease_ms: 3000\ndrain_ms: 5000\n")},
        "agent");
    std::vector<std::string> caller = {"Authorization: Bearer demo-token"};
    auto heartbeats = [&] {
        Reply r = Http("GET", url + "/v1/state", "",
                       {"Authorization: Bearer demo-operator"});
        Json state = r.json();

        return json_integer_value(json_object_get(
            json_array_get(
                json_object_get(json_object_get(state.get(), "members"),
                                "agents"),
                0),
            "beats"));
    };
    ASSERT_TRUE(WaitFor([&] {
        return Http("POST", url + "/v1/services/s/requests", "x", caller)
                   .status == 200;
    }));

    std::atomic<bool> stop{false};
    std::atomic<int> refused{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 3; i++) {
        callers.emplace_back([&] {
            while (!stop) {
                Reply r =
                    Http("POST", url + "/v1/services/s/requests", "x", caller);
                refused += r.status != 200;
            }
        });
    }
    EXPECT_TRUE(WaitFor([&] { return heartbeats() >= 6; }, 15000))
        << entry.Err();
    stop = true;
    for (auto &c : callers) {
        c.join();
    }
    EXPECT_EQ(refused, 0);
}
