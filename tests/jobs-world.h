/* A simulation for tests of the scheduler: workers with leases, gangs,
 * checkpoints and ends, as the platform defines them, and the rows that are
 * stored. Its clock is a number; nothing sleeps. */
#ifndef JOBS_WORLD_H
#define JOBS_WORLD_H

#include "jobs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/* A run on a worker. */
struct Run {
    std::string task;
    uint64_t run;
    int64_t begun_ms;
    int64_t work_ms;
    std::string checkpoint;
    int64_t listed_ms = 0; /* when a report last listed it */
};

struct End {
    uint64_t number;
    std::string task;
    uint64_t run;
    enum jobs_end how;
    std::string checkpoint;
    /* The lease has expired before the end was acknowledged. A "done" is then
     * not binding, as an owner that waited for the lease can't know of it. */
    bool lapsed = false;
};

/* The behaviour of a task in its runs. */
struct TaskBehaviour {
    int64_t work_ms = 1000;
    int failures = 0;     /* number of runs that fail */
    int gang = 1;         /* number of tasks in its gang */
    bool lasting = false; /* a task of a service */
    /* Time from each of its starts until its worker crashes; -1: never. */
    int64_t crash_ms = -1;
};

/* One incarnation of a worker, and the agent beside it. */
struct Worker {
    std::string id, agent, rack = "r1", service = "pool", domain = "a";
    struct jobs_resources capacity = {16000, 64000, 8};
    bool up = true;
    /* When it is up again after a crash; 0: it is up. */
    int64_t restart_ms = 0;
    bool reachable = true; /* by the owner */
    /* Its agent has messages of the previous owner only. */
    bool follows_previous_owner = false;
    bool draining = false;
    int64_t drain_end_ms = -1; /* of the announced time; -1: not announced */
    bool fails_all = false;
    bool fails_at_once = false; /* each run fails as soon as it has begun */
    bool stalled = false;       /* no run makes progress */
    double slow = 1;
    int64_t until = 0; /* end of the leases of all its runs */
    uint64_t term = 0;
    uint64_t last_seen = 0;
    uint64_t ends = 0;
    size_t ends_listed_max = 500;    /* in one report */
    bool lists_newest_first = false; /* its ends */
    std::vector<Run> runs;
    std::vector<End> ended;
    /* Highest run that was stopped or ended, by task. */
    std::map<std::string, uint64_t> closed;
    std::vector<std::pair<std::string, uint64_t>> stopped;
    std::map<std::string, int64_t> tail_latencies; /* by task of a service */
    std::map<std::string, int64_t> shares; /* percent, as ordered, by task */
    /* The runs of earlier crashes, as its agent reports them. */
    std::vector<struct jobs_crash> crashed;
};

class Simulation {
  public:
    explicit Simulation(int workers, const std::string &queues = "batch:2:3",
                        const struct jobs_parts &parts = {});
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /* Returns a job of one step, to which more can be added. */
    struct jobs_spec Spec(const std::string &id, uint32_t count,
                          int64_t accelerators,
                          const std::string &queue = "batch");
    void Submit(struct jobs_spec spec);
    void Cancel(const std::string &id);
    /* Sets the failure domains that operators empty. */
    void EmptyDomains(const std::set<std::string> &domains);

    /* One tick: time passes and runs end; then reports, plan, rows and
     * orders. */
    void Tick(int64_t ms = 20);
    void Ticks(int n, int64_t ms = 20);
    void Report(Worker &w);
    void Plan();
    bool Write(); /* false while the store is down */
    void Orders();
    /* Lets another owner take over, with a scheduler from the stored rows. */
    void TakeOver(bool before_ended = true);
    /* Ends a worker and starts another incarnation on its machine. */
    Worker &RestartWorker(size_t at);
    /* Restarts a worker under the same id, so that it also carries out orders
     * for the incarnation before. */
    Worker &RestartWithSameId(size_t at);
    /* A worker announces that it drains and serves for left_ms at least; -1:
     * for an unknown time. */
    void GiveNotice(size_t at, int64_t left_ms);
    /* Ends a worker for ever. concluded: its agent reports that. */
    void Depart(size_t at, bool concluded);
    /* Crashes a worker so that its agent reports the runs that were there; the
     * next incarnation is up after down_ms. */
    void CrashWorker(size_t at, int64_t down_ms = 3500);

    enum jobs_state State(const std::string &id) const;
    Worker *WorkerOf(const std::string &task);
    int Starts(const std::string &task) const;
    bool HasEvent(const std::string &event, const std::string &reason) const;

    struct jobs_scheduler *scheduler = nullptr;
    struct jobs_limits limits;
    struct jobs_config config = {};
    int64_t now = 1000000;
    uint64_t term = 1;
    bool store_up = true;
    bool may_start = true;       /* the owner's writes are confirmed */
    bool writes_learned = false; /* the owner writes the row below */
    std::string learned; /* row of what the scheduler has learned; "": none */
    int drop_orders = 0; /* number of next orders to lose */
    std::vector<Worker> workers;
    std::map<std::string, std::string> specs, rows;
    std::set<std::string> cancelled;
    std::map<std::string, TaskBehaviour> behaviours; /* by task or by job */
    std::map<std::string, int> starts, failed_runs;
    /* Number of crashed workers that had a run of the task, by task. */
    std::map<std::string, int> crashes;
    std::set<std::string> done_acked; /* tasks whose done was acknowledged */
    std::vector<std::pair<std::string, std::string>> events;
    /* Price and gain of each eviction. */
    std::vector<std::pair<int64_t, int64_t>> evictions;
    std::set<std::string> emptied;       /* failure domains */
    std::set<std::string> preemptors;    /* jobs for which runs were stopped */
    std::vector<std::string> violations; /* violated rules */
    /* An order that a worker carries out late. */
    struct DelayedOrder {
        size_t worker;
        std::string incarnation;
        struct jobs_order order;
        std::string payload, checkpoint;
        uint64_t term;
        int64_t at;
    };
    std::map<std::string, std::string> tickets; /* by task, as ordered */
    std::deque<DelayedOrder> delayed_orders;
    int64_t order_delay_ms = 0;         /* delay of the next orders; 0: none */
    bool restart_under_same_id = false; /* after a crash */

  private:
    void ApplyEmptied();
    void CheckCrashLimit(const std::string &task);
    void Advance(int64_t ms);
    int64_t PercentOf(const Worker &w, const Run &r) const;
    void Start(Worker &w, const std::string &task, uint64_t run,
               const std::string &checkpoint, int64_t until, uint64_t t);
    void Stop(Worker &w, const std::string &task, uint64_t run, uint64_t t);
    void Finish(Worker &w, size_t at, enum jobs_end how);
    const TaskBehaviour &BehaviourOf(const std::string &task) const;
    void TakeEvents();
    int incarnations = 0;
};

#endif
