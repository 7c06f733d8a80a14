/* Runs the request path as processes: a fake platform, upstreams, agents and
 * entries on free ports, with callers as threads. Tests compare what the
 * callers received with what the upstreams counted. */
#ifndef REQUEST_STACK_H
#define REQUEST_STACK_H

#include "harness.h"

extern "C" {
#include "base.h"
}

#include <future>
#include <set>

namespace stack {

using namespace harness;

inline std::string
Digest(const std::string &text)
{
    char hex[DIGEST_HEX_SIZE];

    return Digest_Hex(text.data(), text.size(), hex);
}

/* Returns the value of key= in the process's log line about listening. */
inline std::string
ListeningValue(const Process &p, const std::string &key)
{
    std::string log;
    size_t at = std::string::npos;

    WaitFor([&] {
        log = p.Err();
        at = log.find("event=listening");
        return at != std::string::npos && log.find('\n', at) != log.npos;
    });
    at = log.find(key + "=", at);
    if (at == std::string::npos) {
        return "";
    }
    at += key.size() + 1;
    return log.substr(at, log.find_first_of(" \n", at) - at);
}

struct Entry {
    std::string name;
    std::unique_ptr<Process> process;
    std::string links, http;
    std::string Url(const std::string &path) const
    {
        return "http://127.0.0.1:" + http + path;
    }
};

struct Agent {
    std::string name;
    std::unique_ptr<Fake> upstream;
    std::unique_ptr<Process> process;
    std::string settings;
};

struct Options {
    int entries = 1;
    int agents = 2;
    int service_ms = 300;
    int jitter_ms = 0;
    bool relayed = false; /* agents reach the first entry through a relay */
    bool repeatable = false;
    const char *table_down = "refuse";
    int slots = 16;
    int drain_ms = 10000; /* of entries, and their longest deadline */
};

/* A caller's request and the reply to it. */
struct Call {
    std::string body;
    Reply reply;
    std::string Header(const std::string &name) const
    {
        auto it = reply.headers.find(name);

        return it == reply.headers.end() ? "" : it->second;
    }
    std::string Outcome() const
    {
        return Header("x-outcome");
    }
};

class Stack {
  public:
    explicit Stack(const Options &o)
        : options(o), platform(dir, "fake-platform")
    {
        dir.Write("configuration.yaml", configuration());
        for (int i = 1; i <= o.entries; i++) {
            entries.push_back(startEntry("entry-" + std::to_string(i)));
        }
        if (o.relayed) {
            relay = std::make_unique<Fake>(
                dir, "fake-relay",
                std::vector<std::string>{"--to", entries[0].links});
        }
        for (int i = 1; i <= o.agents; i++) {
            agents.push_back(startAgent("w" + std::to_string(i)));
        }
        for (const auto &e : entries) {
            waitAgents(e);
        }
    }

    Call Ask(const std::string &body, size_t entry = 0,
             const std::string &key = "", int64_t deadline_ms = 4000) const
    {
        std::vector<std::string> headers = {"Authorization: Bearer token",
                                            "X-Deadline-Ms: " +
                                                std::to_string(deadline_ms)};

        if (!key.empty()) {
            headers.push_back("Idempotency-Key: " + key);
        }
        return {body, Http("POST",
                           entries[entry].Url("/v1/services/photos/requests"),
                           body, headers, deadline_ms + 8000)};
    }
    std::future<Call> AskAsync(const std::string &body, size_t entry = 0,
                               const std::string &key = "",
                               int64_t deadline_ms = 4000) const
    {
        return std::async(std::launch::async,
                          [=] { return Ask(body, entry, key, deadline_ms); });
    }
    /* Sends n requests at once, each with a body of its own, to all entries in
     * turn. */
    std::vector<std::future<Call>> AskMany(int n, const std::string &keys = "",
                                           int64_t deadline_ms = 4000) const
    {
        std::vector<std::future<Call>> calls;

        for (int i = 0; i < n; i++) {
            std::string number = std::to_string(i);

            calls.push_back(AskAsync(
                "body-" + number, static_cast<size_t>(i) % entries.size(),
                keys.empty() ? "" : keys + number, deadline_ms));
        }
        return calls;
    }

    int64_t StartCount() const
    {
        int64_t n = 0;

        for (const auto &a : agents) {
            n += std::max<int64_t>(0, count(a, "started"));
        }
        return n;
    }
    int64_t StartCount(size_t agent) const
    {
        return count(agents[agent], "started");
    }
    bool WaitStarted(int64_t n) const
    {
        return WaitFor([&] { return StartCount() >= n; });
    }
    /* Returns the number of starts by request, over all upstreams. */
    std::map<std::string, int64_t> StartsById() const
    {
        std::map<std::string, int64_t> starts;

        for (const auto &a : agents) {
            Json j = Http("GET", a.upstream->Url("/counts")).json();
            json_t *ids = json_object_get(j.get(), "by_id");
            const char *id;
            json_t *one;

            json_object_foreach(ids, id, one)
            {
                starts[id] += Number(one, "starts");
            }
        }
        return starts;
    }
    /* Sets how all upstreams answer from now on, in words of X-Fake. */
    void SetUpstreamMode(const std::string &words)
    {
        for (const auto &a : agents) {
            Http("PUT", a.upstream->Url("/mode"), words);
        }
    }
    void SetPlatformFaults(const std::string &json)
    {
        Http("PUT", platform.Url("/faults"), json);
    }
    /* Returns the keys of all rows in the table of claims. */
    std::set<std::string> ClaimKeys() const
    {
        Json j = Http("GET", platform.Url("/rows?table=claims")).json();
        json_t *rows = json_object_get(j.get(), "rows");
        std::set<std::string> keys;

        for (size_t i = 0; i < json_array_size(rows); i++) {
            keys.insert(Text(json_array_get(rows, i), "key"));
        }
        return keys;
    }
    size_t ClaimCount() const
    {
        return ClaimKeys().size();
    }
    Entry startEntry(const std::string &name)
    {
        Entry e;
        std::string path = dir.Write(
            name + ".yaml",
            "name: " + name +
                "\nregion: r\nfailure_domain: d\nlisten: {address: 127.0.0.1, "
                "http_port: 0, link_port: 0}\nseeds: []\nplatform: "
                "{table_url: \"" +
                platform.Url() + "\", objects_url: \"" + platform.Url() +
                "\"}\ndrain_ms: " + std::to_string(options.drain_ms) +
                "\nlimits: {deadline_ms_max: " +
                std::to_string(options.drain_ms) + "}\nconfiguration_file: " +
                dir.Path("configuration.yaml") + "\n");

        e.name = name;
        e.process = std::make_unique<Process>(
            dir, "parsleyfall", std::vector<std::string>{"serve", path}, name);
        e.http = ListeningValue(*e.process, "http");
        e.links = ListeningValue(*e.process, "links");
        if (e.http.empty()) {
            throw std::runtime_error(name + ": " + e.process->Err());
        }
        return e;
    }
    Agent startAgent(const std::string &name)
    {
        Agent a;
        std::string seeds;

        for (const auto &e : entries) {
            bool first = &e == &entries[0];

            seeds +=
                "\"" + (relay && first ? relay->Address() : e.links) + "\", ";
        }
        a.name = name;
        a.upstream = std::make_unique<Fake>(
            dir, "fake-upstream",
            std::vector<std::string>{
                "--slots", std::to_string(options.slots), "--service-ms",
                std::to_string(options.service_ms), "--jitter-ms",
                std::to_string(options.jitter_ms)},
            "upstream-" + name);
        a.settings = dir.Write(
            "agent-" + name + ".yaml",
            "name: " + name +
                "\nregion: r\nfailure_domain: d\nrack: k\naccelerators: 8\n"
                "seeds: [" +
                seeds + "]\nservices: [{name: photos, url: \"" +
                a.upstream->Url() +
                "\", slots: " + std::to_string(options.slots) +
                ", connections: 64, timeout_ms: 60000}]\n"
                "lease_ms: 3000\ndrain_ms: 10000\n");
        restart(a);
        return a;
    }
    void restart(Agent &a)
    {
        a.process = std::make_unique<Process>(
            dir, "parsleyfall-agent",
            std::vector<std::string>{"run", a.settings}, "agent-" + a.name);
    }
    void waitAgents(const Entry &e, int64_t n = -1) const
    {
        int64_t want = n < 0 ? options.agents : n;

        if (!WaitFor([&] {
                Json j = Http("GET", e.Url("/v1/state"), "",
                              {"Authorization: Bearer operator"})
                             .json();

                return Number(j.get(), "members/heard") == want;
            })) {
            throw std::runtime_error(
                e.name + " has no contact to all agents: " +
                Http("GET", e.Url("/v1/state"), "",
                     {"Authorization: Bearer operator"})
                    .body +
                e.process->Err() + agents[0].process->Err());
        }
    }

    Options options;
    TempDir dir;
    Fake platform;
    std::unique_ptr<Fake> relay;
    std::vector<Entry> entries;
    std::vector<Agent> agents;

  private:
    static int64_t count(const Agent &a, const std::string &what)
    {
        return Number(Http("GET", a.upstream->Url("/counts")).json().get(),
                      what);
    }
    std::string configuration() const
    {
        return "version: 1\nweights: {completion: 70, fragmentation: 30}\n"
               "topology: {regions: [{name: r, failure_domains: [{name: d, "
               "racks: [{name: k, workers: [{name: w1, accelerators: 8}, "
               "{name: w2, accelerators: 8}, {name: w3, accelerators: 8}]}]"
               "}]}]}\noperators: [{name: op, token_hashes: [" +
               Digest("operator") +
               "]}]\norganisations: [{name: org, weight: 1, token_hashes: [" +
               Digest("token") +
               "]}, {name: org-2, weight: 1, token_hashes: [" +
               Digest("token-2") +
               "]}]\nclasses: [{name: c, kind: request, priority: normal, "
               "repeatable: " +
               (options.repeatable ? "true" : "false") +
               ", deadline_ms: 4000, keyed_when_table_down: " +
               options.table_down +
               "}]\nservices: [{name: photos, organisations: [org], classes: "
               "[c], request_bytes: 65536, answer_bytes: 65536, queue_limit: "
               "64, hedge: true}]\n";
    }
};

} /* namespace stack */

#endif
