#include "sim.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace sim {

namespace {

const int CALLERS = 8521, READY = 8523, CONTROL = 8526, APP = 8530;
const int AGENT_HOST = 20, SEEDS_MAX = 3;
const char KEY[] = "Authorization: Bearer key-of-one\r\n";

void
WriteFile(const std::string &path, const std::string &text)
{
    FILE *f = fopen(path.c_str(), "w");

    if (f == nullptr || fputs(text.c_str(), f) < 0 || fclose(f) != 0) {
        throw std::runtime_error("can't write " + path);
    }
}

/* Headers of a client's call. */
std::string
Headers()
{
    return std::string("Host: one.example\r\nParsleyfall-Deadline-Ms: "
                       "3000\r\n") +
           KEY;
}

std::string
Net()
{
    int pid = static_cast<int>(getpid());

    return "127." + std::to_string(10 + pid / 200 % 200) + "." +
           std::to_string(1 + pid % 200) + ".";
}

} /* namespace */

std::string
JobOfOneStep(int work_ms, int count, int gpus, const std::string &more)
{
    return "{\"task-spec\":\"" + std::to_string(work_ms) + " " +
           std::to_string(gpus) +
           "\",\"steps\":[{\"count\":" + std::to_string(count) +
           ",\"cpu\":15000,\"mem-mb\":4096,\"gpu\":" + std::to_string(gpus) +
           ",\"estimated-ms\":" + std::to_string(work_ms) + more + "}]}";
}

Deployment::Deployment(int entries, int worker_count,
                       const std::string &max_attempts)
    : store(Net() + "250"), net(Net())
{
    char pattern[] = "/tmp/review-XXXXXX";

    if (mkdtemp(pattern) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    dir = pattern;
    store.Put(
        "op", "config",
        "{\"version\":3,\"routes\":[{\"name\":\"quotes\",\"host\":"
        "\"one.example\",\"prefix\":\"/q/\",\"priority\":0,\"service\":"
        "\"pool\",\"max-attempts\":" +
            max_attempts +
            ",\"stretch\":3.0,\"target-duration-ms\":1000,"
            "\"allow-anonymous\":false}],\"services\":[{\"name\":\"pool\","
            "\"admission-check\":true}],\"limits\":{\"max-body-bytes\":"
            "262144},\"tenants\":[{\"name\":\"one\",\"api-keys\":["
            "\"key-of-one\"],\"guaranteed\":{\"gpu\":8}}]}");
    for (int i = 0; i < entries; i++) {
        store_ports.push_back(store.Open());
        if (i < SEEDS_MAX) {
            seeds.push_back(i);
        }
    }
    entry_pids.resize(static_cast<size_t>(entries));
    agent_pids.resize(static_cast<size_t>(worker_count));
    for (int i = 0; i < worker_count; i++) {
        std::string host = Host(AGENT_HOST + i);

        workers.push_back(
            std::make_unique<Worker>("i-" + std::to_string(i), host, APP,
                                     host + ":" + std::to_string(CONTROL),
                                     "r1-" + std::to_string(i / 3)));
    }
    for (int i = 0; i < entries; i++) {
        StartEntry(i);
    }
    for (int i = 0; i < worker_count; i++) {
        StartAgent(i);
    }
    for (int i = 0; i < entries; i++) {
        if (!Until(15000, [&] { return Ready(i); })) {
            throw std::runtime_error("an entry is not ready");
        }
    }
    if (!Until(15000, [&] { return Owner() >= 0; })) {
        throw std::runtime_error("there is no owner");
    }
    Record("up: %d entries, %d agents with a worker each; owner: entry %d",
           entries, worker_count, Owner());
}

Deployment::~Deployment()
{
    for (auto *pids : {&entry_pids, &agent_pids}) {
        for (pid_t pid : *pids) {
            if (pid > 0) {
                kill(pid, SIGKILL);
                waitpid(pid, nullptr, 0);
            }
        }
    }
    workers.clear();
    if (getenv("KEEP") == nullptr &&
        system(("rm -rf '" + dir + "'").c_str()) != 0) {
        Record("the temporary folder stays");
    }
}

std::string
Deployment::Host(int n) const
{
    return net + std::to_string(n);
}

/* The control addresses of the seeds, as a YAML list's items. */
std::string
Deployment::Seeds() const
{
    std::string out;

    for (int k : seeds) {
        out += (out.empty() ? "\"" : ",\"") + Host(1 + k) + ":" +
               std::to_string(CONTROL) + "\"";
    }
    return out;
}

/* Starts a program as the deploy file does: in the repository's root. */
pid_t
Deployment::Spawn(const std::string &program, const std::string &verb,
                  const std::string &settings, const std::string &name)
{
    std::string path = dir + "/" + name + ".yaml";
    std::string log = dir + "/" + name + ".log";

    WriteFile(path, settings);
    pid_t pid = fork();

    if (pid == 0) {
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execl(program.c_str(), program.c_str(), verb.c_str(), path.c_str(),
              static_cast<char *>(nullptr));
        _exit(127);
    }
    return pid;
}

/* Settings as deploy/entry.yaml gives them. */
void
Deployment::StartEntry(int i)
{
    std::string n = std::to_string(i + 1), ip = Host(1 + i);
    std::string at =
        net + "250:" + std::to_string(store_ports[static_cast<size_t>(i)]);

    entry_pids[static_cast<size_t>(i)] = Spawn(
        "target/bin/parsleyfall", "serve",
        "name: \"client_facing-zone-" + n +
            "-1\"\nregion: \"region\"\nfailure_domain: \"zone-" + n +
            "\"\nlisten:\n  address: \"" + ip +
            "\"\n  http_port: 9464\n  link_port: 7015\nseeds: [" + Seeds() +
            "]\nplatform:\n  table_url: \"http://" + at +
            "\"\n  objects_url: \"http://" + at +
            "\"\nlimits:\n  body_bytes: 1048576\n  header_bytes: 32768\n"
            "  connections: 3000\n  idle_ms: 30000\n  deadline_ms_max: 5000\n"
            "drain_ms: 5500\nhosted:\n  store: \"" +
            at + "\"\n  callers: \"" + ip + ":" + std::to_string(CALLERS) +
            "\"\n  ready: \"" + ip + ":" + std::to_string(READY) +
            "\"\n  links: \"" + ip + ":" + std::to_string(CONTROL) +
            "\"\n  remote_factor: \"3\"\n  lease_ms: 10000\n  stop_ms: 400\n"
            "  early_ms: 250\n  keep_s: 120\n  processor_share: \"0.25\"\n"
            "  processor_speed: \"1\"\n  link_mbps: \"1000.0\"\n"
            "  memory_mb: \"260\"\n  scheduling:\n    departures: true\n"
            "    speeds: true\n    preemption: true\n    timeline: true\n"
            "    shares: true\n    admission: true\n    learned: true\n",
        "entry-" + n);
}

/* Settings as deploy/agent.yaml gives them. */
std::string
Deployment::AgentSettings(int i) const
{
    std::string n = std::to_string(i + 1), ip = Host(AGENT_HOST + i);

    return "name: \"side-zone-" + n +
           "\"\nregion: \"region\"\nfailure_domain: \"zone-1\"\n"
           "rack: \"hosted\"\naccelerators: 0\nseeds: [" +
           Seeds() + "]\ndrain_ms: 5500\nhosted:\n  beats: \"" + ip + ":" +
           std::to_string(CONTROL) + "\"\n  worker: \"" + ip + ":" +
           std::to_string(APP) + "\"\n  metrics: \"" + ip +
           ":9464\"\n  lease_ms: 10000\n  scheduling:\n"
           "    departures: true\n";
}

void
Deployment::StartAgent(int i)
{
    agent_pids[static_cast<size_t>(i)] =
        Spawn("target/bin/parsleyfall-agent", "run", AgentSettings(i),
              "agent-" + std::to_string(i + 1));
}

int
Deployment::AddEntry()
{
    int i = static_cast<int>(entry_pids.size());

    store_ports.push_back(store.Open());
    entry_pids.push_back(0);
    StartEntry(i);
    Record("entry %d is added", i);
    return i;
}

void
Deployment::SetSeeds(const std::vector<int> &entries)
{
    seeds = entries;
    for (size_t i = 0; i < agent_pids.size(); i++) {
        WriteFile(dir + "/agent-" + std::to_string(i + 1) + ".yaml",
                  AgentSettings(static_cast<int>(i)));
        kill(agent_pids[i], SIGHUP);
    }
    Record("the agents' settings files have other seeds: %s", Seeds().c_str());
}

void
Deployment::KillEntry(int i)
{
    pid_t &pid = entry_pids[static_cast<size_t>(i)];

    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = 0;
    Record("entry %d is killed", i);
}

void
Deployment::StopEntry(int i, int64_t grace_ms)
{
    pid_t &pid = entry_pids[static_cast<size_t>(i)];

    kill(pid, SIGTERM);
    Record("entry %d gets SIGTERM", i);
    if (!Until(grace_ms,
               [&] { return waitpid(pid, nullptr, WNOHANG) == pid; })) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    pid = 0;
    Record("entry %d has ended", i);
}

bool
Deployment::Ready(int i) const
{
    return Call(Host(1 + i), READY, "GET", "/readiness", "", "", 500).status ==
           200;
}

int
Deployment::Owner()
{
    json_t *o =
        json_loads(store.Get("parsleyfall", "owner").c_str(), 0, nullptr);
    const char *name = json_string_value(json_object_get(o, "name"));
    int i = -1;

    if (name != nullptr && sscanf(name, "client_facing-zone-%d", &i) == 1) {
        i--;
    }
    json_decref(o);
    return i;
}

Answer
Deployment::Post(int entry, const std::string &id, const std::string &body)
{
    Answer a = Call(Host(1 + entry), CALLERS, "POST", "/q/" + id, Headers(),
                    body, 3000);

    Record("client: POST %s at entry %d -> %d %s", id.c_str(), entry, a.status,
           a.body.c_str());
    return a;
}

std::unique_ptr<Connection>
Deployment::Connect(int entry)
{
    return std::make_unique<Connection>(Host(1 + entry), CALLERS);
}

Answer
Deployment::PostOn(Connection &c, const std::string &id,
                   const std::string &body)
{
    return c.Send("POST", "/q/" + id, Headers(), body, 3000);
}

Answer
Deployment::Get(int entry, const std::string &id)
{
    return Call(Host(1 + entry), CALLERS, "GET", "/q/" + id, Headers(), "",
                3000);
}

std::string
Deployment::State(int entry, const std::string &id)
{
    Answer a = Get(entry, id);
    json_t *o = json_loads(a.body.c_str(), 0, nullptr);
    const char *state = json_string_value(json_object_get(o, "state"));
    std::string out = a.status == 200 && state != nullptr ? state : "";

    json_decref(o);
    return out;
}

} /* namespace sim */
