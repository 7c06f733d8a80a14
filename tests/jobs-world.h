/* A world for the scheduler: workers with leases, gangs, checkpoints and
 * ends, as the platform's pages tell them, and the rows that are stored. Time
 * is a number; nothing sleeps. */
#ifndef JOBS_WORLD_H
#define JOBS_WORLD_H

#include "jobs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/* A run at a worker. */
struct Run {
    std::string task;
    uint64_t run;
    int64_t begun_ms;
    int64_t work_ms;
    std::string checkpoint;
    int64_t listed_ms = 0; /* by the last report */
};

struct End {
    uint64_t number;
    std::string task;
    uint64_t run;
    enum jobs_end how;
    std::string checkpoint;
    /* The worker's lease was over since: its "done" counts for nothing, as
     * whoever waited for the lease could not know of it. */
    bool lapsed = false;
};

/* What a task does at its runs. */
struct Nature {
    int64_t work_ms = 1000;
    int failures = 0; /* so many runs fail */
    int gang = 1;     /* tasks of its gang */
    /* Its worker crashes so long after each of its starts; -1: never. */
    int64_t crash_ms = -1;
};

/* One lifetime of a worker and the agent beside it. */
struct Worker {
    std::string id, agent, rack = "r1", service = "pool", domain = "a";
    std::string heir_of; /* a lifetime whose orders it takes for its own */
    struct jobs_resources capacity = {16000, 64000, 8};
    bool up = true;
    int64_t back_ms = 0;   /* after a crash, it is up again then */
    bool reachable = true; /* by the owner */
    bool deaf = false;     /* its agent hears the owner before only */
    bool draining = false;
    bool fails_all = false;
    bool fails_soon = false; /* and each as soon as it has begun */
    bool stands = false;     /* nothing makes progress */
    double slow = 1;
    int64_t until = 0; /* lease of everything there */
    uint64_t term = 0;
    uint64_t last_seen = 0;
    uint64_t ends = 0;
    std::vector<Run> runs;
    std::vector<End> ended;
    std::map<std::string, uint64_t> closed; /* highest run stopped or ended */
    std::vector<std::pair<std::string, uint64_t>> stopped;
    std::map<std::string, int64_t> figures; /* latency, by serving task */
    std::map<std::string, int64_t> shares;  /* as ordered, by task */
    /* What was there when the lifetimes before crashed, as its agent tells. */
    std::vector<struct jobs_crash> crashed;
};

class World {
  public:
    explicit World(int workers, const std::string &queues = "batch:2:3");
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /* A job of one step unless more are added. */
    struct jobs_spec Spec(const std::string &id, uint32_t count,
                          int64_t accelerators,
                          const std::string &queue = "batch");
    void Submit(struct jobs_spec spec);
    void Cancel(const std::string &id);
    /* Operators empty these failure domains, and no others. */
    void Empty(const std::set<std::string> &domains);

    /* One turn: ends, reports, plan, write, orders; then time goes on. */
    void Turn(int64_t ms = 20);
    void Turns(int n, int64_t ms = 20);
    void Report(Worker &w);
    void Plan();
    bool Write(); /* false when the store is away */
    void Orders();
    /* Another owner: a scheduler from the stored rows. */
    void TakeOver(bool before_ended = true);
    /* The worker dies; another lifetime comes at its machine. */
    Worker &Reborn(size_t at);
    /* The same, under the id that it had: it takes orders for the lifetime
     * before. */
    Worker &Heir(size_t at);
    /* As Reborn, seen by its agent; the next lifetime is there later. */
    void Crash(size_t at, int64_t down_ms = 3500);

    enum jobs_state State(const std::string &id) const;
    Worker *WorkerOf(const std::string &task);
    int Starts(const std::string &task) const;
    bool Happened(const std::string &event, const std::string &reason) const;

    struct jobs_scheduler *scheduler = nullptr;
    struct jobs_limits limits;
    struct jobs_config config = {};
    int64_t now = 1000000;
    uint64_t term = 1;
    bool store_up = true;
    bool may_start = true; /* the owner's writes are confirmed */
    int lose_orders = 0;   /* of the next ones */
    std::vector<Worker> workers;
    std::map<std::string, std::string> specs, rows;
    std::set<std::string> cancelled;
    std::map<std::string, Nature> natures; /* by task or by job */
    std::map<std::string, int> starts, fails;
    std::map<std::string, int> crashes; /* of workers that had the task */
    std::set<std::string> done_noted;   /* tasks whose done is acknowledged */
    std::vector<std::pair<std::string, std::string>> events;
    std::set<std::string> emptied;     /* failure domains */
    std::set<std::string> gave_way_to; /* jobs that others were stopped for */
    std::vector<std::string> broken;   /* rules that were broken */
    /* Orders that a worker carries out late. */
    struct Late {
        size_t worker;
        std::string lifetime;
        struct jobs_order order;
        std::string payload, checkpoint;
        uint64_t term;
        int64_t at;
    };
    std::map<std::string, std::string> tickets; /* by task, as ordered */
    std::deque<Late> late;
    int64_t late_ms = 0;   /* delay of the next orders; 0: none */
    bool keep_ids = false; /* workers that crash come back under their ids */

  private:
    void TellEmptied();
    void CheckBudget(const std::string &task);
    void Advance(int64_t ms);
    int64_t PercentOf(const Worker &w, const Run &r) const;
    void Start(Worker &w, const std::string &task, uint64_t run,
               const std::string &checkpoint, int64_t until, uint64_t t);
    void Stop(Worker &w, const std::string &task, uint64_t run, uint64_t t);
    void Finish(Worker &w, size_t at, enum jobs_end how);
    const Nature &NatureOf(const std::string &task) const;
    void TakeEvents();
    int lifetimes = 0;
};

#endif
