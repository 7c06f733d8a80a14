#include "hosted-stack.h"

#include <sodium.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

using namespace harness;

namespace {

/* Addresses of one stack: entries first, then agents. */
const int HOSTS = 20, AGENT_HOST = 12;
/* As on a platform, settings name some of the entries. */
const size_t SEEDS_MAX = 5;

const int CALLERS = 7001, READY = 7002, LINKS = 7003, HEARTBEATS = 7004;

std::string
Base64(const std::string &s)
{
    std::string out(
        sodium_base64_ENCODED_LEN(s.size(), sodium_base64_VARIANT_ORIGINAL),
        '\0');

    sodium_bin2base64(out.data(), out.size(),
                      reinterpret_cast<const unsigned char *>(s.data()),
                      s.size(), sodium_base64_VARIANT_ORIGINAL);
    out.resize(out.size() - 1);
    return out;
}

} /* namespace */

HostedStack::HostedStack(int entry_count, int worker_count,
                         const std::string &agent_scheduling,
                         const std::string &entry_scheduling)
    : agent_parts(agent_scheduling), entry_parts(entry_scheduling)
{
    static int stacks = 0;
    int pid = static_cast<int>(getpid());

    net = "127." + std::to_string(1 + pid / 250 % 250) + "." +
          std::to_string(pid % 250) + ".";
    first_host = 1 + stacks++ % 12 * HOSTS;
    if (entry_count > AGENT_HOST || worker_count > HOSTS - AGENT_HOST) {
        throw std::runtime_error("too many entries or agents for a stack");
    }
    store = std::make_unique<Fake>(
        dir, "fake-hosted-store",
        std::vector<std::string>{"--second-port-file",
                                 dir.Path("second-store-port")});
    adviser = std::make_unique<Fake>(dir, "fake-hosted-adviser",
                                     std::vector<std::string>{});
    entries.resize(static_cast<size_t>(entry_count));
    store_links.resize(static_cast<size_t>(entry_count));
    agents.resize(static_cast<size_t>(worker_count));
    workers.resize(static_cast<size_t>(worker_count));
    worker_ports.resize(static_cast<size_t>(worker_count));
    PutConfig(1, {"key-one"});
    for (int i = 0; i < worker_count; i++) {
        StartWorker(i, "i-" + std::to_string(i));
        StartAgent(i);
    }
    for (int i = 0; i < entry_count; i++) {
        StartEntry(i);
    }
    for (int i = 0; i < entry_count; i++) {
        if (!WaitFor([&] { return Ready(i); })) {
            throw std::runtime_error("an entry is not ready: " + Logs());
        }
    }
}

/* Entries and agents are hosts with addresses of their own. */
std::string
HostedStack::Address(int host, int port) const
{
    return net + std::to_string(first_host + host) + ":" +
           std::to_string(port);
}

int
HostedStack::StorePort(int port_index) const
{
    return port_index == 0 ? store->port
                           : ReadPort(dir.Path("second-store-port"));
}

std::string
HostedStack::Seeds() const
{
    std::string all;

    for (size_t k = first_seed;
         k < entries.size() && k < first_seed + SEEDS_MAX; k++) {
        all += (all.empty() ? "\"" : ", \"") +
               Address(static_cast<int>(k), LINKS) + "\"";
    }
    return all;
}

void
HostedStack::StartEntry(int i)
{
    std::string n = std::to_string(i);
    std::string ip = Address(i, 0);

    ip = ip.substr(0, ip.find(':'));
    std::string file = dir.Write(
        "entry-" + n + ".yaml",
        "name: entry-" + n + "\nregion: here\nfailure_domain: a\n" +
            "listen: {address: " + ip + ", http_port: 0, link_port: 0}\n" +
            "seeds: [" + Seeds() + "]\n" +
            "platform: {table_url: \"http://127.0.0.1:1\", objects_url: "
            "\"http://127.0.0.1:1\"}\n"
            "limits: {deadline_ms_max: 4000}\ndrain_ms: 5000\n" +
            "hosted:\n  store: \"127.0.0.1:" +
            std::to_string(store_links[static_cast<size_t>(i)]
                               ? store_links[static_cast<size_t>(i)]->port
                               : StorePort(i % 2)) +
            "\"\n  callers: \"" + Address(i, CALLERS) + "\"\n  ready: \"" +
            Address(i, READY) + "\"\n  links: \"" + Address(i, LINKS) +
            "\"\n  advice: \"127.0.0.1:" + std::to_string(adviser->port) +
            "\"\n  lease_ms: 4000\n  scheduling: {" + entry_parts + "}\n");
    entries[static_cast<size_t>(i)].reset();
    entries[static_cast<size_t>(i)] = std::make_unique<Process>(
        dir, "parsleyfall", std::vector<std::string>{"serve", file},
        "entry-" + n);
}

void
HostedStack::ReplaceEntries()
{
    size_t count = entries.size() - first_seed;

    for (auto &e : entries) {
        e.reset();
    }
    first_seed = entries.size();
    entries.resize(first_seed + count);
    store_links.resize(entries.size());
    for (size_t i = 0; i < agents.size(); i++) {
        WriteAgentSettings(static_cast<int>(i));
    }
    for (size_t i = first_seed; i < entries.size(); i++) {
        StartEntry(static_cast<int>(i));
    }
    for (size_t i = first_seed; i < entries.size(); i++) {
        if (!WaitFor([&] { return Ready(static_cast<int>(i)); })) {
            throw std::runtime_error("an entry is not ready: " + Logs());
        }
    }
}

std::string
HostedStack::WriteAgentSettings(int i) const
{
    std::string n = std::to_string(i);

    return dir.Write(
        "agent-" + n + ".yaml",
        "name: agent-" + n + "\nregion: here\nfailure_domain: a\nrack: r\n" +
            "accelerators: 0\nseeds: [" + Seeds() + "]\ndrain_ms: 1000\n" +
            "hosted:\n  beats: \"" + Address(AGENT_HOST + i, HEARTBEATS) +
            "\"\n  worker: \"127.0.0.1:" +
            std::to_string(worker_ports[static_cast<size_t>(i)]) +
            "\"\n  lease_ms: 4000\n  scheduling: {" + agent_parts + "}\n");
}

void
HostedStack::StartAgent(int i)
{
    std::string n = std::to_string(i), file = WriteAgentSettings(i);

    agents[static_cast<size_t>(i)].reset();
    agents[static_cast<size_t>(i)] = std::make_unique<Process>(
        dir, "parsleyfall-agent", std::vector<std::string>{"run", file},
        "agent-" + n);
}

void
HostedStack::StartWorker(int i, const std::string &incarnation)
{
    size_t at = static_cast<size_t>(i);

    workers[at].reset();
    workers[at] = std::make_unique<Fake>(
        dir, "fake-hosted-worker",
        std::vector<std::string>{"--id", incarnation, "--beats",
                                 Address(AGENT_HOST + i, HEARTBEATS), "--port",
                                 std::to_string(worker_ports[at])},
        "worker-" + std::to_string(worker_names++));
    worker_ports[at] = workers[at]->port;
}

std::string
HostedStack::Config(int version, const std::vector<std::string> &keys,
                    const std::string &other_key,
                    const std::string &more_queues) const
{
    std::string list, other;

    if (!other_key.empty()) {
        other = R"(,{"name":"u","api-keys":[")" + other_key + "\"]}";
    }

    for (const std::string &k : keys) {
        list += (list.empty() ? "\"" : ",\"") + k + "\"";
    }
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-1","host":"one.example","prefix":"/q/",)"
           R"("target-duration-ms":1000,"priority":1,"service":"pool",)"
           R"("max-attempts":2,"stretch":3.0,"allow-anonymous":false},)"
           R"({"name":"r-2","host":"one.example","prefix":"/advised/",)"
           R"("target-duration-ms":1000,"priority":1,"service":"pool",)"
           R"("max-attempts":2,"stretch":3.0,"allow-anonymous":false,)"
           R"("advice":{"decision-ms":20,"per-item-ms":2,"validity-ms":1200}})" +
           more_queues +
           R"(],)"
           R"("services":[{"name":"pool","admission-check":true}],)"
           R"("limits":{"max-body-bytes":262144},)"
           R"("tenants":[{"name":"t","api-keys":[)" +
           list + R"(],"guaranteed":{"gpu":8}})" + other + "]}";
}

void
HostedStack::PutConfig(int version, const std::vector<std::string> &keys,
                       const std::string &other_key)
{
    PutRow("op", "config", Config(version, keys, other_key, ""));
}

void
HostedStack::PutConfigWith(int version, const std::vector<std::string> &keys,
                           const std::string &list, const std::string &item)
{
    std::string text = Config(version, keys, "", "");
    size_t at = text.find("[", text.find("\"" + list + "\":")) + 1;

    PutRow("op", "config", text.insert(at, item + ","));
}

void
HostedStack::PutLargeConfig(int version, int queues)
{
    std::string more;

    for (int k = 0; k < queues; k++) {
        std::string n = std::to_string(k);

        more += R"(,{"name":"n-)" + n + R"(","host":"one.example",)" +
                R"("prefix":"/n/)" + n + R"(/","target-duration-ms":)" +
                std::to_string(1000 + 7 * k % 9001) +
                R"(,"priority":2,"service":"pool","max-attempts":2,)" +
                R"("stretch":3.0,"allow-anonymous":false,"note":")" +
                std::to_string(2654435761u * static_cast<unsigned>(k)) +
                R"("})";
    }
    PutRow("op", "config", Config(version, {"key-one"}, "", more));
}

void
HostedStack::LimitStoreBandwidth(int i, int bytes_per_s)
{
    store_links[static_cast<size_t>(i)] = std::make_unique<Fake>(
        dir, "fake-relay",
        std::vector<std::string>{
            "--to", "127.0.0.1:" + std::to_string(StorePort(i % 2)),
            "--bytes-per-s", std::to_string(bytes_per_s)},
        "store-link-" + std::to_string(i));
    StartEntry(i);
    if (!WaitFor([&] { return Ready(i); })) {
        throw std::runtime_error("an entry is not ready: " + Logs());
    }
}

bool
HostedStack::Serves(int i, int queue) const
{
    return Http("GET", Entry(i) + "/n/" + std::to_string(queue) + "/", "",
                {"Host: one.example", "Authorization: Bearer key-one"})
               .status == 200;
}

std::string
HostedStack::OperatorUrl(int i) const
{
    std::string log =
        ReadFile(dir.Path("entry-" + std::to_string(i) + ".err"));
    size_t at = log.rfind("event=listening address=");

    if (at == std::string::npos) {
        return "";
    }
    size_t ip = log.find("address=", at) + 8, port = log.find("http=", at);

    return "http://" + log.substr(ip, log.find(' ', ip) - ip) + ":" +
           log.substr(port + 5, log.find(' ', port) - port - 5);
}

int64_t
HostedStack::Counter(int i, const std::string &name) const
{
    std::string all = Http("GET", OperatorUrl(i) + "/metrics").body;
    size_t at = all.find("\n" + name + " ");

    return at == std::string::npos
               ? 0
               : std::stoll(all.substr(at + name.size() + 2));
}

void
HostedStack::PutRow(const std::string &table, const std::string &key,
                    const std::string &value)
{
    Http("POST", store->Url("/rows-tx"),
         R"({"expect":[],"remove":[],"writes":[{"table":")" + table +
             R"(","part":"","key":")" + key + R"(","value":")" +
             Base64(value) + "\"}]}");
}

void
HostedStack::RemoveRow(const std::string &table, const std::string &key)
{
    Http("POST", store->Url("/rows-tx"),
         R"({"expect":[],"writes":[],"remove":[{"table":")" + table +
             R"(","part":"","key":")" + key + R"("}]})");
}

void
HostedStack::StoreFault(int port_index, const std::string &fault)
{
    Http("PUT", store->Url("/fault/" + std::to_string(StorePort(port_index))),
         fault);
}

void
HostedStack::DropHistory()
{
    Http("PUT", store->Url("/history/drop"));
}

int
HostedStack::ReleaseHeld()
{
    Json o = Http("PUT", store->Url("/held/release")).json();

    return static_cast<int>(
        json_integer_value(json_object_get(o.get(), "made")));
}

int
HostedStack::HeldWrites()
{
    Json o = Http("PUT", store->Url("/held/count")).json();

    return static_cast<int>(
        json_integer_value(json_object_get(o.get(), "held")));
}

std::string
HostedStack::Entry(int i) const
{
    return "http://" + Address(i, CALLERS);
}

std::string
HostedStack::Links(int i) const
{
    return Address(i, LINKS);
}

std::string
HostedStack::Heartbeats(int i) const
{
    return "http://" + Address(AGENT_HOST + i, HEARTBEATS);
}

bool
HostedStack::Ready(int i) const
{
    return Http("GET", "http://" + Address(i, READY) + "/readiness").status ==
           200;
}

Reply
HostedStack::Submit(int entry, const std::string &id,
                    const std::string &payload, int tasks,
                    const std::string &key)
{
    return Http(
        "POST", Entry(entry) + "/q/" + id,
        R"({"task-spec":")" + payload + R"(","steps":[{"count":)" +
            std::to_string(tasks) +
            R"(,"cpu":1000,"mem-mb":100,"gpu":1,"estimated-ms":200}]})",
        {"Host: one.example", "Authorization: Bearer " + key});
}

Reply
HostedStack::SubmitStep(int entry, const std::string &id,
                        const std::string &payload, const std::string &fields,
                        const std::string &prefix)
{
    return Http("POST", Entry(entry) + prefix + id,
                R"({"task-spec":")" + payload +
                    R"(","steps":[{"count":1,"cpu":1000,"mem-mb":100,)"
                    R"("estimated-ms":200,)" +
                    fields + "}]}",
                {"Host: one.example", "Authorization: Bearer key-one"});
}

int
HostedStack::Owner() const
{
    /* The term that an entry last led; 0: none. A log goes on over restarts,
     * so that both entries may have led. */
    auto term = [&](int i) {
        const std::string led = "event=owner_active term=";
        std::string log =
            ReadFile(dir.Path("entry-" + std::to_string(i) + ".err"));
        size_t at = log.rfind(led);

        return at == std::string::npos
                   ? 0
                   : std::stoi(log.substr(at + led.size()));
    };

    WaitFor([&] { return term(0) != term(1); });
    return term(0) > term(1) ? 0 : 1;
}

int
HostedStack::KillOwner()
{
    int owner = Owner();

    entries[static_cast<size_t>(owner)]->Signal(SIGKILL);
    return 1 - owner;
}

Reply
HostedStack::Query(int entry, const std::string &id, const std::string &key)
{
    return Http("GET", Entry(entry) + "/q/" + id, "",
                {"Host: one.example", "Authorization: Bearer " + key});
}

Reply
HostedStack::Cancel(int entry, const std::string &id)
{
    return Http("DELETE", Entry(entry) + "/q/" + id, "",
                {"Host: one.example", "Authorization: Bearer key-one"});
}

bool
HostedStack::WaitForState(int entry, const std::string &id,
                          const std::string &state)
{
    return WaitFor(
        [&] { return Text(Query(entry, id).json().get(), "state") == state; },
        30000);
}

std::vector<std::string>
HostedStack::Starts() const
{
    std::vector<std::string> all;

    for (const auto &w : workers) {
        Json list = Http("GET", w->Url("/starts")).json();

        for (size_t i = 0; i < json_array_size(list.get()); i++) {
            all.emplace_back(json_string_value(json_array_get(list.get(), i)));
        }
    }
    return all;
}

std::string
HostedStack::Logs() const
{
    std::string all;

    for (size_t i = 0; i < entries.size(); i++) {
        all += ReadFile(dir.Path("entry-" + std::to_string(i) + ".err"));
    }
    for (size_t i = 0; i < agents.size(); i++) {
        all += ReadFile(dir.Path("agent-" + std::to_string(i) + ".err"));
    }
    return all;
}
