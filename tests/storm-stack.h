/* The processes of a storm: the platform's stand-in, upstreams, agents that
 * reach each entry through a relay of their own, and entries. Each can be
 * killed, paused, drained and replaced under its old address. */
#ifndef STORM_STACK_H
#define STORM_STACK_H

#include "harness.h"

#include <atomic>
#include <mutex>

namespace storm {

using namespace harness;

/* The clock of the product's processes and of fake-upstream's starts. */
int64_t Now();
void SleepUntil(int64_t at);

/* When an entry could not serve as usual, and why. */
enum class Outage { KILLED, PAUSED, DRAINED };

struct OutageWindow {
    size_t entry;
    Outage outage;
    int64_t from, to;
};

/* A start that an upstream has counted; kept beyond the upstream's death. */
struct Start {
    std::string id;
    int64_t attempt, at;
    std::string body_id, upstream; /* first word of the body */
};

class Stack {
  public:
    Stack(size_t entry_count, size_t agent_count);

    void KillEntry(size_t i, int64_t ms);
    void PauseEntry(size_t i, int64_t ms);
    /* Makes the platform slow for a moment, so that claims are on their way
     * when the entry is paused: it sends them when it wakes. */
    void PauseClaiming(size_t i, int64_t ms);
    void DrainEntry(size_t i, int64_t ms);
    void KillAgent(size_t i, int64_t ms);
    void PauseAgent(size_t i, int64_t ms);
    void DrainAgent(size_t i, int64_t ms);
    void KillUpstream(size_t i, int64_t ms);
    /* It starts what it gets and closes the connections without an answer. */
    void CloseUnanswered(size_t i, int64_t ms);
    /* Kills it; nothing listens at its address any more. */
    void RemoveUpstream(size_t i);
    /* How an upstream answers from now on (X-Fake words). */
    void SetUpstreamMode(size_t i, const std::string &words);
    /* Present connections of all relays of one entry start_thread silent for
     * good. */
    void SilenceEntryLinks(size_t i, int64_t ms);
    /* The same of all relays of one agent. */
    void SilenceAgentLinks(size_t i, int64_t ms);
    /* Sends a signal to all relays of one entry: SIGUSR2, present and new
     * connections are silent; SIGHUP, new ones work again. */
    void SignalRelays(size_t i, int signum);
    void SetPlatformFaults(const std::string &json);
    void FaultPlatform(const std::string &json, int64_t ms);

    /* An entry that a balancer would send to; salt chooses. entry_count when
     * there is none. */
    size_t PickEntry(uint64_t salt) const;
    bool IsOpen(size_t entry) const;
    std::string Url(size_t entry, const std::string &path) const;
    std::vector<OutageWindow> Outages() const;
    std::vector<Start> Starts() const;
    /* Lines of all logs that hold one of the words, in order of time. */
    std::string LogLines(const std::vector<std::string> &words) const;
    /* Processes that did not end as they should, or have ended. */
    std::vector<std::string> UnexpectedExits();
    bool WaitAllHeard();
    /* The last state that an agent has dumped; asks for another one. */
    Json AgentState(size_t i) const;

    static std::string Configuration(int queue_limit);
    const size_t entry_count, agent_count;

  private:
    struct Entry {
        std::string name, settings, http, links;
        std::unique_ptr<Process> process;
        std::atomic<bool> open{true};
    };
    struct Agent {
        std::string name, settings;
        std::unique_ptr<Process> process;
        std::unique_ptr<Fake> upstream;
        std::vector<std::unique_ptr<Fake>> relays; /* one to each entry */
    };

    void writeEntry(Entry &e);
    void startEntry(Entry &e);
    void startUpstream(Agent &a, int port);
    void writeAgent(Agent &a);
    void startAgent(Agent &a);
    void addOutage(size_t entry, Outage outage, int64_t from, int64_t to);
    void addUnexpectedExit(const std::string &what);

    TempDir dir;
    Fake platform;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Agent>> agents;
    mutable std::mutex mutex;
    std::vector<OutageWindow> outages;
    std::vector<std::string> unexpected_exits;
};

} /* namespace storm */

#endif
