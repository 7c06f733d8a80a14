/*
 * Simulated agents for tests, on their own event loop and thread. They follow
 * the gang protocol (reservations, releases, leases, fences) without running
 * any work, and log each event of a part.
 */
#ifndef GANG_AGENTS_H
#define GANG_AGENTS_H

#include "wire.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace gang {

struct Event {
    std::string agent, job, what; /* start, end, stop, lapse, fail */
    uint64_t attempt, term;
    int64_t at;
};

struct Part {
    struct id job;
    uint64_t attempt, term, accelerators, members;
    enum part_state state;
    int64_t until;   /* end of the reservation or lease */
    int64_t ends_at; /* of its simulated work; its length before the start */
    int64_t reported_at;
    bool fails;
};

class Agents;

struct Agent {
    Agents *group = nullptr;
    std::string name;
    uint64_t incarnation = 0;
    std::vector<struct link *> links; /* one per entry */
    std::vector<int64_t> heard_at;    /* last message from that entry */
    std::vector<int64_t> stamp;
    std::vector<uint64_t> renewer;
    std::vector<Part> parts;
    std::map<std::string, std::pair<uint64_t, uint64_t>>
        fenced; /* by job: highest (attempt, term) */
    std::map<std::string, uint64_t> bound; /* by organisation: mask */
    uint64_t term = 0;
    uint64_t seq = 0;
    std::atomic<bool> dead{false};
};

class Agents {
  public:
    Agents();
    ~Agents();
    /* Adds an agent that connects to these entries; call it before Run. */
    void Add(const std::string &name, const std::vector<std::string> &entries);
    void Run();
    void Kill(const std::string &name); /* the agent and its work are gone */
    /* Gives the agent a new incarnation, which sends a hello without parts and
     * then reports its parts as adopted. */
    void Restart(const std::string &name);
    std::vector<Event> Log();
    int Count(const std::string &job, uint64_t attempt,
              const std::string &what);
    /* While on, answers to prepares are held back; then they are sent. */
    void HoldPrepared(bool on);
    int HeldPrepared();
    int RefusedTerms(); /* messages refused for an old term */
    uint64_t BoundMask(const std::string &agent,
                       const std::string &organisation);

  private:
    friend struct Agent;
    static void OnTick(struct ev_loop *, ev_timer *w, int);
    static void OnMessage(void *arg, const struct link_peer *,
                          struct wire_msg **m);
    void Handle(Agent &a, size_t entry, struct wire_msg *m);
    void Tick(Agent &a);
    void Prepare(Agent &a, size_t entry, const struct wire_prepare *m);
    void Release(Agent &a, const struct wire_release *m);
    void Fence(Agent &a, size_t entry, const struct wire_fence *m);
    void Pulse(Agent &a);
    void Report(Agent &a, Part &p, const char *reason);
    void Record(Agent &a, const Part &p, const char *what);
    Part *Find(Agent &a, const struct id &job);
    bool RejectOldTerm(Agent &a, uint64_t term);
    struct Receiver {
        Agents *group;
        Agent *agent;
        size_t entry;
    };
    struct ev_loop *loop;
    struct link_context *context;
    ev_timer timer;
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<std::unique_ptr<Receiver>> receivers;
    std::mutex mutex;
    std::vector<Event> log;
    int refused_terms = 0;
    bool hold_prepared = false;
    std::vector<std::tuple<Agent *, size_t, struct wire_prepared *>>
        held_prepared;
    std::atomic<bool> done{false};
    std::thread thread;
};

} /* namespace gang */

#endif
