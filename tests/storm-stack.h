/* The processes of a storm test: a fake platform, upstreams, agents that reach
 * each entry through a relay of their own, and entries. Each can be killed,
 * paused, drained and replaced under its previous address. */
#ifndef STORM_STACK_H
#define STORM_STACK_H

#include "harness.h"

#include <atomic>
#include <mutex>

namespace storm {

using namespace harness;

/* The clock that the entries, the agents and fake-upstream's start times use.
 */
int64_t Now();
void SleepUntil(int64_t at);

/* Why an entry could not serve as usual. */
enum class Outage { KILLED, PAUSED, DRAINED };

struct OutageWindow {
    size_t entry;
    Outage outage;
    int64_t from, to;
};

/* A start that an upstream has counted; kept after the upstream has ended. */
struct Start {
    std::string id;
    int64_t attempt, at;
    std::string body_id, upstream; /* body_id: the body's first word */
};

class Stack {
  public:
    Stack(size_t entry_count, size_t agent_count);

    void KillEntry(size_t i, int64_t ms);
    void PauseEntry(size_t i, int64_t ms);
    /* Slows the platform down for a moment, so that claims are being written
     * when the entry is paused. The entry sends their attempts when it
     * resumes. */
    void PauseClaiming(size_t i, int64_t ms);
    void DrainEntry(size_t i, int64_t ms);
    void KillAgent(size_t i, int64_t ms);
    void PauseAgent(size_t i, int64_t ms);
    void DrainAgent(size_t i, int64_t ms);
    void KillUpstream(size_t i, int64_t ms);
    /* Makes an upstream start its requests and close the connections without
     * an answer. */
    void CloseUnanswered(size_t i, int64_t ms);
    /* Kills an upstream. Nothing listens at its address after that. */
    void RemoveUpstream(size_t i);
    /* Sets how an upstream answers from now on, in words of X-Fake. */
    void SetUpstreamMode(size_t i, const std::string &words);
    /* Silences the present connections of all relays of one entry for good. */
    void SilenceEntryLinks(size_t i, int64_t ms);
    /* Silences the present connections of all relays of one agent for good. */
    void SilenceAgentLinks(size_t i, int64_t ms);
    /* Sends a signal to all relays of one entry. SIGUSR2 silences present and
     * new connections; after SIGHUP new ones work again. */
    void SignalRelays(size_t i, int signum);
    void SetPlatformFaults(const std::string &json);
    void FaultPlatform(const std::string &json, int64_t ms);

    /* Returns an entry to which a load balancer would send requests, chosen by
     * salt; entry_count when there is none. */
    size_t PickEntry(uint64_t salt) const;
    bool IsOpen(size_t entry) const;
    std::string Url(size_t entry, const std::string &path) const;
    std::vector<OutageWindow> Outages() const;
    std::vector<Start> Starts() const;
    /* Returns the lines of all logs that contain one of the words, ordered by
     * time. */
    std::string LogLines(const std::vector<std::string> &words) const;
    /* Returns the processes that drained with an error or have ended by
     * themselves. */
    std::vector<std::string> UnexpectedExits();
    bool WaitAllAgents();
    /* Returns the last state that an agent has dumped, and requests another
     * dump. */
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
        std::vector<std::unique_ptr<Fake>> relays; /* one for each entry */
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
