/*
 * Agents of a test's own, on a loop and thread of their own: they keep to the
 * protocol of gangs (reserve, release, leases, fences) and do no work. What
 * happened stands in an exact log.
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
    int64_t until;   /* reservation or lease */
    int64_t ends_at; /* of its work */
    int64_t reported_at;
    bool fails;
};

class Agents;

struct Agent {
    Agents *group = nullptr;
    std::string name;
    uint64_t incarnation = 0;
    std::vector<struct link *> links; /* one for each entry */
    std::vector<int64_t> heard_at;    /* when that entry spoke last */
    std::vector<int64_t> stamp;
    std::vector<uint64_t> renewer;
    std::vector<Part> parts;
    std::map<std::string, std::pair<uint64_t, uint64_t>>
        fenced;                            /* by job: (attempt, term) */
    std::map<std::string, uint64_t> bound; /* by organisation: accelerators */
    uint64_t term = 0;
    uint64_t seq = 0;
    std::atomic<bool> dead{false};
};

class Agents {
  public:
    Agents();
    ~Agents();
    /* Before Run: an agent that speaks to these links. */
    void Add(const std::string &name, const std::vector<std::string> &entries);
    void Run();
    void Kill(const std::string &name); /* silent for good; its work stops */
    /* Another incarnation that says hello before it knows of its parts, and
     * then adopts them. */
    void Restart(const std::string &name);
    std::vector<Event> Log();
    int Count(const std::string &job, uint64_t attempt,
              const std::string &what);
    /* Keeps answers to prepares back, and sends them when it ends. */
    void HoldPrepared(bool on);
    int HeldPrepared();
    int RefusedTerms(); /* messages that were refused for their term */
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
