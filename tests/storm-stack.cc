#include "storm-stack.h"

extern "C" {
#include "base.h"
}

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace storm {

/* Time in which a load balancer notices that /readyz refuses. */
static const int64_t BALANCER_POLL_MS = 300;

int64_t
Now()
{
    return Clock_NowMs();
}

/* Waits for a point in the schedule. No check relies on it. */
void
SleepUntil(int64_t at)
{
    std::this_thread::sleep_for(
        std::chrono::milliseconds(std::max<int64_t>(0, at - Now())));
}

static std::string
digest(const std::string &text)
{
    char hex[DIGEST_HEX_SIZE];

    return Digest_Hex(text.data(), text.size(), hex);
}

/* Returns the value of key= in the log line about listening; "" when the
 * process ended without that line. */
static std::string
listening(Process &p, const std::string &key, size_t skip)
{
    std::string log;
    size_t at = std::string::npos;

    WaitFor([&] {
        log = p.Err();
        at = log.find("event=listening", skip);
        return !p.Running() ||
               (at != log.npos && log.find('\n', at) != log.npos);
    });
    at = at == log.npos ? at : log.find(key + "=", at);
    if (at == log.npos) {
        return "";
    }
    at += key.size() + 1;
    return log.substr(at, log.find_first_of(" \n", at) - at);
}

std::string
Stack::Configuration(int queue_limit)
{
    std::string workers;

    for (int i = 1; i <= 4; i++) {
        workers += "{name: w" + std::to_string(i) + ", accelerators: 8}, ";
    }
    return "version: 1\nweights: {completion: 70, fragmentation: 30}\n"
           "topology: {regions: [{name: r, failure_domains: [{name: d, "
           "racks: [{name: k, workers: [" +
           workers +
           "]}]}]}]}\n"
           "operators: [{name: op, token_hashes: [" +
           digest("operator") +
           "]}]\norganisations: [{name: org, weight: 1, token_hashes: [" +
           digest("token") +
           "]}]\nclasses:\n"
           "  - {name: estimate, kind: request, priority: normal, repeatable: "
           "false, deadline_ms: 2000, keyed_when_table_down: refuse}\n"
           "  - {name: preview, kind: request, priority: urgent, repeatable: "
           "true, deadline_ms: 2000, keyed_when_table_down: refuse}\n"
           "services: [{name: photos, organisations: [org], classes: "
           "[estimate, "
           "preview], request_bytes: 65536, answer_bytes: 65536, "
           "queue_limit: " +
           std::to_string(queue_limit) + ", hedge: true}]\n";
}

/* Writes an entry's settings, with port 0 at first and then with the ports
 * that it got. */
void
Stack::writeEntry(Entry &e)
{
    std::string port =
        e.links.empty() ? "0" : e.links.substr(e.links.rfind(':') + 1);

    e.settings = dir.Write(
        e.name + ".yaml",
        "name: " + e.name +
            "\nregion: r\nfailure_domain: d\nlisten: {address: 127.0.0.1, "
            "http_port: " +
            (e.http.empty() ? "0" : e.http) + ", link_port: " + port +
            "}\nseeds: []\nplatform: {table_url: \"" + platform.Url() +
            "\", objects_url: \"" + platform.Url() +
            "\"}\ndrain_ms: 10000\nlimits: {deadline_ms_max: 10000}\n"
            "configuration_file: " +
            dir.Path("configuration.yaml") + "\n");
}

/* Starts an entry and waits until it listens. Retries, because another process
 * may hold its port for a moment. */
void
Stack::startEntry(Entry &e)
{
    for (int tries = 0; tries < 5; tries++) {
        size_t skip = ReadFile(dir.Path(e.name + ".err")).size();

        e.process = std::make_unique<Process>(
            dir, "parsleyfall", std::vector<std::string>{"serve", e.settings},
            e.name);
        std::string http = listening(*e.process, "http", skip);

        /* Written once: callers read these while the entry restarts with the
         * same ports. */
        if (!http.empty() && e.http.empty()) {
            e.http = http;
            e.links = listening(*e.process, "links", skip);
        }
        if (!http.empty()) {
            return;
        }
    }
    throw std::runtime_error(e.name + ": " + e.process->Err());
}

void
Stack::startUpstream(Agent &a, int port)
{
    std::string name = "upstream-" + a.name;

    a.upstream.reset();
    remove(dir.Path(name + ".port").c_str());
    a.upstream = std::make_unique<Fake>(
        dir, "fake-upstream",
        std::vector<std::string>{"--slots", "64", "--service-ms", "120",
                                 "--jitter-ms", "150", "--port",
                                 std::to_string(port), "--starts-file",
                                 dir.Path(name + ".starts")},
        name);
}

void
Stack::writeAgent(Agent &a)
{
    std::string seeds;

    for (const auto &relay : a.relays) {
        seeds += "\"" + relay->Address() + "\", ";
    }
    a.settings =
        dir.Write("agent-" + a.name + ".yaml",
                  "name: " + a.name +
                      "\nregion: r\nfailure_domain: d\nrack: k\n"
                      "accelerators: 8\nseeds: [" +
                      seeds + "]\nservices: [{name: photos, url: \"" +
                      a.upstream->Url() +
                      "\", slots: 16, connections: 64, timeout_ms: 60000}]\n"
                      "lease_ms: 3000\ndrain_ms: 15000\n");
}

void
Stack::startAgent(Agent &a)
{
    a.process = std::make_unique<Process>(
        dir, "parsleyfall-agent", std::vector<std::string>{"run", a.settings},
        "agent-" + a.name);
}

Stack::Stack(size_t entries_wanted, size_t agents_wanted)
    : entry_count(entries_wanted), agent_count(agents_wanted),
      platform(dir, "fake-platform")
{
    dir.Write("configuration.yaml", Configuration(64));
    for (size_t i = 0; i < entry_count; i++) {
        entries.push_back(std::make_unique<Entry>());
        entries[i]->name = "entry-" + std::to_string(i + 1);
        writeEntry(*entries[i]);
        startEntry(*entries[i]);
        writeEntry(*entries[i]);
    }
    for (size_t i = 0; i < agent_count; i++) {
        agents.push_back(std::make_unique<Agent>());
        agents[i]->name = "w" + std::to_string(i + 1);
        startUpstream(*agents[i], 0);
        for (const auto &e : entries) {
            agents[i]->relays.push_back(std::make_unique<Fake>(
                dir, "fake-relay", std::vector<std::string>{"--to", e->links},
                "relay-" + agents[i]->name + "-" + e->name));
        }
        writeAgent(*agents[i]);
        startAgent(*agents[i]);
    }
    if (!WaitAllAgents()) {
        throw std::runtime_error(
            "the entries have no contact to all agents\n" +
            LogLines({"level=warn", "level=error", ": "}));
    }
}

bool
Stack::WaitAllAgents()
{
    return WaitFor([this] {
        return std::all_of(entries.begin(), entries.end(), [this](auto &e) {
            Reply r = Http("GET", "http://127.0.0.1:" + e->http + "/v1/state",
                           "", {"Authorization: Bearer operator"}, 1000);

            return Number(r.json().get(), "members/heard") ==
                   static_cast<int64_t>(agent_count);
        });
    });
}

Json
Stack::AgentState(size_t i) const
{
    std::string out = agents[i]->process->Out();
    size_t at = out.rfind("\n{");

    agents[i]->process->Signal(SIGUSR1);
    return Parse(at == out.npos ? out : out.substr(at));
}

void
Stack::addOutage(size_t entry, Outage outage, int64_t from, int64_t to)
{
    std::lock_guard<std::mutex> lock(mutex);

    outages.push_back({entry, outage, from, to});
}

void
Stack::addUnexpectedExit(const std::string &what)
{
    std::lock_guard<std::mutex> lock(mutex);

    unexpected_exits.push_back(what);
}

void
Stack::KillEntry(size_t i, int64_t ms)
{
    Entry &e = *entries[i];
    int64_t from = Now();

    e.open = false;
    e.process->Signal(SIGKILL);
    e.process->Wait();
    SleepUntil(from + ms);
    startEntry(e);
    addOutage(i, Outage::KILLED, from, Now());
    e.open = true;
}

void
Stack::PauseEntry(size_t i, int64_t ms)
{
    int64_t from = Now();

    entries[i]->process->Signal(SIGSTOP);
    SleepUntil(from + ms);
    entries[i]->process->Signal(SIGCONT);
    addOutage(i, Outage::PAUSED, from, Now());
}

void
Stack::PauseClaiming(size_t i, int64_t ms)
{
    static const int64_t slow_ms = 400;

    FaultPlatform("{\"slow_ms\": 400}", slow_ms);
    PauseEntry(i, ms);
}

void
Stack::DrainEntry(size_t i, int64_t)
{
    Entry &e = *entries[i];
    int64_t from = Now();
    int status;

    e.process->Signal(SIGTERM);
    SleepUntil(from + BALANCER_POLL_MS);
    e.open = false;
    status = e.process->Wait(15000);
    if (status != 0) {
        addUnexpectedExit(e.name + " drained with " + std::to_string(status));
    }
    startEntry(e);
    addOutage(i, Outage::DRAINED, from, Now());
    e.open = true;
}

void
Stack::KillAgent(size_t i, int64_t ms)
{
    int64_t from = Now();

    agents[i]->process->Signal(SIGKILL);
    agents[i]->process->Wait();
    SleepUntil(from + ms);
    startAgent(*agents[i]);
}

void
Stack::PauseAgent(size_t i, int64_t ms)
{
    int64_t from = Now();

    agents[i]->process->Signal(SIGSTOP);
    SleepUntil(from + ms);
    agents[i]->process->Signal(SIGCONT);
}

void
Stack::DrainAgent(size_t i, int64_t)
{
    int status = agents[i]->process->Terminate(20000);

    if (status != 0) {
        addUnexpectedExit(agents[i]->name + " drained with " +
                          std::to_string(status));
    }
    startAgent(*agents[i]);
}

void
Stack::KillUpstream(size_t i, int64_t ms)
{
    Agent &a = *agents[i];
    int64_t from = Now();
    int port = a.upstream->port;

    a.upstream->process.Signal(SIGKILL);
    a.upstream->process.Wait();
    SleepUntil(from + ms);
    startUpstream(a, port);
}

void
Stack::RemoveUpstream(size_t i)
{
    agents[i]->upstream->process.Signal(SIGKILL);
    agents[i]->upstream->process.Wait();
}

void
Stack::SetUpstreamMode(size_t i, const std::string &words)
{
    Http("PUT", agents[i]->upstream->Url("/mode"), words);
}

void
Stack::CloseUnanswered(size_t i, int64_t ms)
{
    int64_t from = Now();

    SetUpstreamMode(i, "close");
    SleepUntil(from + ms);
    SetUpstreamMode(i, "");
}

void
Stack::SignalRelays(size_t i, int signum)
{
    for (const auto &a : agents) {
        a->relays[i]->process.Signal(signum);
    }
}

void
Stack::SilenceEntryLinks(size_t i, int64_t)
{
    SignalRelays(i, SIGUSR1);
}

void
Stack::SilenceAgentLinks(size_t i, int64_t)
{
    for (const auto &relay : agents[i]->relays) {
        relay->process.Signal(SIGUSR1);
    }
}

void
Stack::SetPlatformFaults(const std::string &json)
{
    Http("PUT", platform.Url("/faults"), json);
}

void
Stack::FaultPlatform(const std::string &json, int64_t ms)
{
    int64_t from = Now();

    SetPlatformFaults(json);
    SleepUntil(from + ms);
    SetPlatformFaults("{}");
}

bool
Stack::IsOpen(size_t entry) const
{
    return entries[entry]->open;
}

size_t
Stack::PickEntry(uint64_t salt) const
{
    for (size_t i = 0; i < entry_count; i++) {
        if (IsOpen((salt + i) % entry_count)) {
            return (salt + i) % entry_count;
        }
    }
    return entry_count;
}

std::string
Stack::Url(size_t entry, const std::string &path) const
{
    return "http://127.0.0.1:" + entries[entry]->http + path;
}

std::vector<OutageWindow>
Stack::Outages() const
{
    std::lock_guard<std::mutex> lock(mutex);

    return outages;
}

std::vector<Start>
Stack::Starts() const
{
    std::vector<Start> starts;

    for (const auto &a : agents) {
        std::istringstream lines(
            ReadFile(dir.Path("upstream-" + a->name + ".starts")));
        Start s;

        s.upstream = a->name;
        while (lines >> s.id >> s.attempt >> s.at >> s.body_id) {
            starts.push_back(s);
        }
    }
    return starts;
}

std::string
Stack::LogLines(const std::vector<std::string> &words) const
{
    std::vector<std::string> story;
    std::string text, line;

    auto add = [&](const std::string &name) {
        std::istringstream lines(ReadFile(dir.Path(name + ".err")));

        while (std::getline(lines, line)) {
            for (const auto &w : words) {
                if (line.find(w) != line.npos) {
                    story.push_back(line);
                    break;
                }
            }
        }
    };
    for (const auto &e : entries) {
        add(e->name);
    }
    for (const auto &a : agents) {
        add("agent-" + a->name);
    }
    std::sort(story.begin(), story.end());
    for (const auto &l : story) {
        text += "  " + l + "\n";
    }
    return text;
}

std::vector<std::string>
Stack::UnexpectedExits()
{
    for (const auto &e : entries) {
        if (!e->process->Running()) {
            addUnexpectedExit(e->name +
                              " has ended by itself: " + e->process->Err());
        }
    }
    for (const auto &a : agents) {
        if (!a->process->Running()) {
            addUnexpectedExit(a->name +
                              " has ended by itself: " + a->process->Err());
        }
    }
    return unexpected_exits;
}

} /* namespace storm */
