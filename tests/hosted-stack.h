/* The product on the stand-in of the hosted platform: a store, entries,
 * agents and workers as processes. Each stack has addresses of its own in the
 * loopback range, so that ports need not be guessed. */
#ifndef HOSTED_STACK_H
#define HOSTED_STACK_H

#include "harness.h"

#include <memory>
#include <string>
#include <vector>

class HostedStack {
  public:
    HostedStack(int entries, int workers);
    void StartEntry(int i);
    void StartAgent(int i);
    /* A lifetime of the worker beside agent i. */
    void StartWorker(int i, const std::string &incarnation);
    /* What the operator writes: a queue "r-1" at one.example/q/, another that
     * asks for advice, "r-2" at one.example/advised/, the keys of organisation
     * "t", and one of "u". */
    void PutConfig(int version, const std::vector<std::string> &keys,
                   const std::string &other_key = "");
    /* The same with this many further queues, "n-K" at one.example/n/K/, each
     * some 230 bytes. */
    void PutLargeConfig(int version, int queues);
    /* Starts entry i anew, with all that it has of the store coming over a
     * link of so many bytes a second. */
    void LimitStoreBandwidth(int i, int bytes_per_s);
    /* True when entry i knows queue "n-K". */
    bool Serves(int i, int queue) const;
    /* Where operators of entry i connect; "" until its log says so. */
    std::string OperatorUrl(int i) const;
    /* A counter of entry i, by its name. */
    int64_t Counter(int i, const std::string &name) const;
    /* What another writer writes into the store. */
    void PutRow(const std::string &table, const std::string &key,
                const std::string &value);
    void RemoveRow(const std::string &table, const std::string &key);
    /* A fault of one of the store's doors; entry i uses door i % 2. */
    void StoreFault(int port_index, const std::string &fault);
    void DropHistory();

    std::string Entry(int i) const;      /* where callers connect */
    std::string Links(int i) const;      /* where agents connect */
    std::string Heartbeats(int i) const; /* where worker i reports */
    bool Ready(int i) const;
    harness::Reply Submit(int entry, const std::string &id,
                          const std::string &payload, int tasks = 1,
                          const std::string &key = "key-one");
    /* A job of one task with further fields of its step, as JSON. */
    harness::Reply SubmitStep(int entry, const std::string &id,
                              const std::string &payload,
                              const std::string &fields,
                              const std::string &prefix = "/q/");
    /* Which of two entries gives the orders; waits until one does. */
    int Owner() const;
    /* Of two entries, kills the one that gives the orders; returns which is
     * left. */
    int KillOwner();
    harness::Reply Query(int entry, const std::string &id,
                         const std::string &key = "key-one");
    harness::Reply Cancel(int entry, const std::string &id);
    bool WaitForState(int entry, const std::string &id,
                      const std::string &state);
    /* "TASK/RUN" of all starts at all workers, in order of each. */
    std::vector<std::string> Starts() const;
    std::string Logs() const;

    harness::TempDir dir;
    std::unique_ptr<harness::Fake> store, adviser;
    std::vector<std::unique_ptr<harness::Fake>>
        store_links; /* of each entry */
    std::vector<std::unique_ptr<harness::Process>> entries, agents;
    std::vector<std::unique_ptr<harness::Fake>> workers;

  private:
    std::string Address(int host, int port) const;
    int StorePort(int port_index) const;
    std::string Config(int version, const std::vector<std::string> &keys,
                       const std::string &other_key,
                       const std::string &more_queues) const;
    std::string net;
    std::vector<int> worker_ports;
    int config_row = 0;
    int worker_names = 0;
};

#endif
