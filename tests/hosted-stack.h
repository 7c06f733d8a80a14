/* Runs the product against fakes of the hosted platform: a store, entries,
 * agents and workers, each a process. Each stack has its own addresses in the
 * loopback range, so that ports need not be guessed. */
#ifndef HOSTED_STACK_H
#define HOSTED_STACK_H

#include "harness.h"

#include <memory>
#include <string>
#include <vector>

class HostedStack {
  public:
    /* agent_parts, entry_parts: scheduling in the settings of agents and of
     * entries, "KEY: true, ...". */
    HostedStack(int entries, int workers, const std::string &agent_parts = "",
                const std::string &entry_parts = "");
    void StartEntry(int i);
    void StartAgent(int i);
    /* Kills all entries, and starts as many others at other addresses, which
     * the settings files of the agents, but not the agents, name as seeds. */
    void ReplaceEntries();
    /* Starts a worker beside agent i, under that incarnation. */
    void StartWorker(int i, const std::string &incarnation);
    /* Writes a configuration as an operator: queue "r-1" at one.example/q/,
     * queue "r-2" at one.example/advised/, which asks for advice, the keys of
     * organisation "t", and one key of organisation "u". */
    void PutConfig(int version, const std::vector<std::string> &keys,
                   const std::string &other_key = "");
    /* Writes the configuration of PutConfig() with a further item in one of
     * its lists: "routes", "services" or "tenants". */
    void PutConfigWith(int version, const std::vector<std::string> &keys,
                       const std::string &list, const std::string &item);
    /* Writes the configuration of PutConfig() with this many further queues,
     * "n-K" at one.example/n/K/, of some 230 bytes each. */
    void PutLargeConfig(int version, int queues);
    /* Restarts entry i with a link to the store of that bandwidth. */
    void LimitStoreBandwidth(int i, int bytes_per_s);
    /* True when entry i serves queue "n-K", K being `queue`. */
    bool Serves(int i, int queue) const;
    /* URL of the operator interface of entry i; "" until its log names it. */
    std::string OperatorUrl(int i) const;
    /* Value of a counter of entry i, with its labels; 0 if there is none. */
    int64_t Counter(int i, const std::string &name) const;
    /* Writes a row into the store, as another writer. */
    void PutRow(const std::string &table, const std::string &key,
                const std::string &value);
    void RemoveRow(const std::string &table, const std::string &key);
    /* Sets a fault on one of the two ports of the store, "" for none; entry i
     * uses port i % 2. */
    void StoreFault(int port_index, const std::string &fault);
    void DropHistory();
    /* Carries out the writes that the fault "hold" has held; returns how many
     * of them the store made. */
    int ReleaseHeld();
    int HeldWrites();

    std::string Entry(int i) const;      /* URL for callers */
    std::string Links(int i) const;      /* address for agents */
    std::string Heartbeats(int i) const; /* URL for reports of worker i */
    bool Ready(int i) const;
    harness::Reply Submit(int entry, const std::string &id,
                          const std::string &payload, int tasks = 1,
                          const std::string &key = "key-one");
    /* Submits a job of one task with further fields of its step, as JSON. */
    harness::Reply SubmitStep(int entry, const std::string &id,
                              const std::string &payload,
                              const std::string &fields,
                              const std::string &prefix = "/q/");
    /* Returns which of two entries is the owner, waiting until one is. */
    int Owner() const;
    /* Kills the owner of two entries; returns the other one. */
    int KillOwner();
    harness::Reply Query(int entry, const std::string &id,
                         const std::string &key = "key-one");
    harness::Reply Cancel(int entry, const std::string &id);
    bool WaitForState(int entry, const std::string &id,
                      const std::string &state);
    /* "TASK/RUN" of all starts at all workers, in order for each worker. */
    std::vector<std::string> Starts() const;
    std::string Logs() const;

    harness::TempDir dir;
    std::unique_ptr<harness::Fake> store, adviser;
    /* Slow link between each entry and the store; null: connected directly. */
    std::vector<std::unique_ptr<harness::Fake>> store_links;
    std::vector<std::unique_ptr<harness::Process>> entries, agents;
    std::vector<std::unique_ptr<harness::Fake>> workers;

  private:
    std::string Address(int host, int port) const;
    /* The seeds of the settings, as items of a list. */
    std::string Seeds() const;
    std::string WriteAgentSettings(int i) const;
    int StorePort(int port_index) const;
    std::string Config(int version, const std::vector<std::string> &keys,
                       const std::string &other_key,
                       const std::string &more_queues) const;
    std::string agent_parts, entry_parts;
    std::string net;
    int first_host = 0;
    size_t first_seed = 0; /* entry */
    std::vector<int> worker_ports;
    int config_row = 0;
    int worker_names = 0;
};

#endif
