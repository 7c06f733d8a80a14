#include "jobs-world.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace {

/* Work that a checkpoint saves, and that the next run does not repeat. */
const int64_t CHECKPOINT_SAVES_MS = 500;

/* The longest row that stores accept. */
const size_t ROW_BYTES_MAX = 65536;

std::string
JobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

/* Returns ID.OCCURRENCE.STEP, which the members of a gang share. */
std::string
GangOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} /* namespace */

/* Parses queues: NAME:PRIORITY:ATTEMPTS, separated by spaces. */
Simulation::Simulation(int n, const std::string &queues,
                       const struct jobs_parts &parts)
{
    std::istringstream in(queues);
    std::vector<struct jobs_queue> list;
    std::string word;

    while (in >> word) {
        struct jobs_queue q = {};
        size_t a = word.find(':'), b = word.rfind(':');

        Str_Copy(q.name, sizeof(q.name), word.substr(0, a).c_str());
        Str_Copy(q.service, sizeof(q.service), "pool");
        q.priority = std::stoi(word.substr(a + 1, b - a - 1));
        q.attempts = std::stoi(word.substr(b + 1));
        q.stretch = 3;
        q.target_ms = 1000;
        list.push_back(q);
    }
    config.queue_count = list.size();
    config.queues = static_cast<struct jobs_queue *>(
        Mem_Zero(list.size(), sizeof(struct jobs_queue)));
    std::copy(list.begin(), list.end(), config.queues);
    limits = {.term = 1,
              .lease_ms = 6000,
              .start_ms = 4000,
              .early_ms = 0,
              .silent_ms = 1500,
              .stop_ms = 400,
              .remote_factor = 3,
              .keep_ms = 60000,
              .parts = parts};
    scheduler = Jobs_New(&limits);
    Jobs_SetConfig(scheduler, &config);
    for (int i = 0; i < n; i++) {
        Worker w;

        w.id = "life-" + std::to_string(incarnations++);
        w.agent = "agent-" + std::to_string(i);
        w.rack = "r" + std::to_string(i / 3);
        workers.push_back(w);
    }
}

Simulation::~Simulation()
{
    Jobs_Free(scheduler);
    JobsConfig_Clear(&config);
}

struct jobs_spec
Simulation::Spec(const std::string &id, uint32_t count, int64_t accelerators,
                 const std::string &queue)
{
    struct jobs_spec s = {};

    Str_Copy(s.id, sizeof(s.id), id.c_str());
    Str_Copy(s.queue, sizeof(s.queue), queue.c_str());
    s.payload = Mem_Dup("work");
    s.steps = static_cast<struct jobs_step *>(
        Mem_Zero(JOBS_STEPS_MAX, sizeof(struct jobs_step)));
    s.step_count = 1;
    s.steps[0].count = count;
    s.steps[0].need = {1000, 1000, accelerators};
    s.steps[0].estimate_ms = 1000;
    return s;
}

void
Simulation::Submit(struct jobs_spec spec)
{
    struct buf row = {};

    JobsSpec_Encode(&spec, &row);
    specs[spec.id] = std::string(row.data, row.len);
    Jobs_Add(scheduler, &spec, nullptr, 0, now);
    JobsSpec_Clear(&spec);
    Buf_Free(&row);
}

void
Simulation::Cancel(const std::string &id)
{
    cancelled.insert(id);
    Jobs_Cancel(scheduler, id.c_str(), now);
}

void
Simulation::ApplyEmptied()
{
    struct jobs_domains d = {};

    for (const std::string &name : emptied) {
        JobsDomains_Set(&d, name.c_str(), true);
    }
    Jobs_SetEmptied(scheduler, &d);
}

void
Simulation::EmptyDomains(const std::set<std::string> &domains)
{
    emptied = domains;
    ApplyEmptied();
}

const TaskBehaviour &
Simulation::BehaviourOf(const std::string &task) const
{
    static const TaskBehaviour usual;
    auto it = behaviours.find(task);

    if (it == behaviours.end()) {
        it = behaviours.find(JobOf(task));
    }
    return it == behaviours.end() ? usual : it->second;
}

/* Starts a run as the platform's workers do. A start is refused when its term
 * is lower or its deadline is over, or when its run is not higher than one
 * that ended there. */
void
Simulation::Start(Worker &w, const std::string &task, uint64_t run,
                  const std::string &checkpoint, int64_t until, uint64_t t)
{
    const char *why = nullptr;

    if (!w.up || t < w.term) {
        return;
    }
    w.term = std::max(w.term, t);
    for (const Run &r : w.runs) {
        if (r.task == task && r.run == run) {
            return; /* it is running already */
        }
    }
    if (until <= now) {
        why = "late";
    }
    else if (w.closed.count(task) != 0 && w.closed[task] >= run) {
        why = "old";
    }
    if (why != nullptr) {
        if (w.reachable) {
            Jobs_StartRefused(scheduler, w.id.c_str(), task.c_str(), run, why,
                              now);
        }
        return;
    }
    for (const Worker &other : workers) {
        for (const Run &r : other.runs) {
            if (other.up && r.task == task) {
                violations.push_back("runs twice: " + task);
            }
        }
    }
    if (done_acked.count(task) != 0) {
        violations.push_back("started after its done was acknowledged: " +
                             task);
    }
    w.until = std::max(w.until, until);
    starts[task]++;
    CheckCrashLimit(task);
    Run r = {task, run, now, BehaviourOf(task).work_ms, checkpoint};
    if (!checkpoint.empty()) {
        r.work_ms = std::max<int64_t>(100, r.work_ms - CHECKPOINT_SAVES_MS);
    }
    w.runs.push_back(r);
}

void
Simulation::Stop(Worker &w, const std::string &task, uint64_t run, uint64_t t)
{
    if (!w.up || t < w.term) {
        return;
    }
    w.term = std::max(w.term, t);
    for (size_t i = 0; i < w.runs.size(); i++) {
        if (w.runs[i].task == task && w.runs[i].run <= run) {
            Finish(w, i, END_STOPPED);
            break;
        }
    }
    w.closed[task] = std::max(w.closed[task], run);
    w.stopped.emplace_back(task, run);
}

/* Ends a run; the other members of its gang break. */
void
Simulation::Finish(Worker &w, size_t at, enum jobs_end how)
{
    Run r = w.runs[at];
    std::string gang = GangOf(r.task);
    bool is_gang = BehaviourOf(r.task).gang > 1;

    w.runs.erase(w.runs.begin() + static_cast<long>(at));
    w.closed[r.task] = std::max(w.closed[r.task], r.run);
    w.ended.push_back({++w.ends, r.task, r.run, how,
                       now - r.begun_ms > CHECKPOINT_SAVES_MS ? "saved" : "",
                       false});
    if (!is_gang) {
        return;
    }
    for (Worker &o : workers) {
        for (size_t i = 0; i < o.runs.size(); i++) {
            if (GangOf(o.runs[i].task) == gang && o.runs[i].run == r.run) {
                Finish(o, i, how == END_DONE ? END_DONE : END_BROKEN);
                return;
            }
        }
    }
}

/* Returns the progress of a run in whole percent, as its worker reports it. */
int64_t
Simulation::PercentOf(const Worker &w, const Run &r) const
{
    double work = static_cast<double>(r.work_ms) * w.slow;

    if (w.stalled) {
        return 0;
    }
    return std::min<int64_t>(
        100, static_cast<int64_t>(
                 100.0 * static_cast<double>(now - r.begun_ms) / work));
}

/* Advances the time: leases expire and runs end. */
void
Simulation::Advance(int64_t ms)
{
    now += ms;
    while (!delayed_orders.empty() && delayed_orders.front().at <= now) {
        DelayedOrder l = delayed_orders.front();
        Worker &w = workers[l.worker];

        delayed_orders.pop_front();
        if (!Jobs_SharesId(w.id.c_str(), l.incarnation.c_str())) {
            continue;
        }
        if (l.order.verb == ORDER_START) {
            /* By a clock that starts anew, each deadline is far away: a worker
             * shortens it to the longest lease. */
            Start(w, l.order.task, l.order.run, l.checkpoint,
                  w.id == l.incarnation ? l.order.until_ms
                                        : now + limits.lease_ms,
                  l.term);
        }
        else {
            Stop(w, l.order.task, l.order.run, l.term);
        }
    }
    for (size_t i = 0; i < workers.size(); i++) {
        Worker &w = workers[i];

        if (w.restart_ms != 0 && now >= w.restart_ms) {
            w.up = true;
            w.restart_ms = 0;
        }
        for (const Run &r : w.runs) {
            const TaskBehaviour &n = BehaviourOf(r.task);

            if (n.crash_ms >= 0 && now - r.begun_ms >= n.crash_ms) {
                CrashWorker(i);
                break;
            }
        }
    }
    for (Worker &w : workers) {
        for (End &e : w.ended) {
            e.lapsed = e.lapsed || w.until <= now;
        }
        while (w.up && !w.runs.empty() && w.until <= now) {
            Finish(w, 0, END_LAPSED);
        }
        for (size_t i = 0; w.up && i < w.runs.size(); i++) {
            Run &r = w.runs[i];
            const TaskBehaviour &n = BehaviourOf(r.task);
            int present = 0, complete = 0;

            if (w.fails_at_once && now - r.begun_ms >= 60) {
                Finish(w, i, END_FAILED);
                i = static_cast<size_t>(-1);
                continue;
            }

            if (n.gang > 1) {
                for (const Worker &o : workers) {
                    for (const Run &p : o.runs) {
                        bool member = o.up && p.run == r.run &&
                                      GangOf(p.task) == GangOf(r.task);

                        present += member;
                        complete += member && PercentOf(o, p) >= 100;
                    }
                }
            }
            if (w.stalled || (n.gang > 1 && present < n.gang)) {
                r.begun_ms += n.gang > 1 ? ms : 0;
                continue;
            }
            if (PercentOf(w, r) < 100 || (n.gang > 1 && complete < n.gang)) {
                continue; /* a gang ends when all its members have finished */
            }
            std::string key = n.gang > 1 ? GangOf(r.task) : r.task;
            bool failed = w.fails_all || failed_runs[key]++ < n.failures;
            Finish(w, i, failed ? END_FAILED : END_DONE);
            i = static_cast<size_t>(-1);
        }
    }
}

/* Sends the report of an agent, and the owner's answer to it. */
void
Simulation::Report(Worker &w)
{
    struct jobs_report r = {};
    std::vector<struct jobs_running> running;
    std::vector<struct jobs_ended> ended;
    std::vector<struct jobs_stopped> stopped;

    if (!w.up || !w.reachable) {
        return;
    }
    if (!w.follows_previous_owner) {
        w.term = std::max(w.term, term);
    }
    uint64_t seen = Jobs_LastSeen(scheduler, w.id.c_str());
    for (const End &e : w.ended) {
        if (e.number <= seen && e.how == END_DONE && !e.lapsed) {
            done_acked.insert(e.task);
        }
    }
    w.ended.erase(
        std::remove_if(w.ended.begin(), w.ended.end(),
                       [&](const End &e) { return e.number <= seen; }),
        w.ended.end());
    Str_Copy(r.agent, sizeof(r.agent), w.agent.c_str());
    Str_Copy(r.worker, sizeof(r.worker), w.id.c_str());
    Str_Copy(r.service, sizeof(r.service), w.service.c_str());
    Str_Copy(r.domain, sizeof(r.domain), w.domain.c_str());
    Str_Copy(r.labels[0], sizeof(r.labels[0]), "a");
    Str_Copy(r.labels[1], sizeof(r.labels[1]), w.rack.c_str());
    r.label_count = 2;
    r.capacity = w.capacity;
    r.draining = w.draining;
    r.drain_left_ms =
        w.drain_end_ms < 0 ? -1 : std::max<int64_t>(0, w.drain_end_ms - now);
    r.term = w.term;
    r.clock_ms = now;
    for (Run &run : w.runs) {
        struct jobs_running x = {};

        run.listed_ms = now;

        Str_Copy(x.task, sizeof(x.task), run.task.c_str());
        x.run = run.run;
        x.percent = PercentOf(w, run);
        if (w.tail_latencies.count(run.task) != 0) {
            x.tail_latency_ms = w.tail_latencies[run.task];
        }
        if (now - run.begun_ms > CHECKPOINT_SAVES_MS) {
            Str_Copy(x.checkpoint, sizeof(x.checkpoint), "saved");
        }
        running.push_back(x);
    }
    r.partial = w.ended.size() >= w.ends_listed_max;
    for (const End &e : w.ended) {
        struct jobs_ended x = {};

        if (ended.size() == w.ends_listed_max) {
            break;
        }

        Str_Copy(x.task, sizeof(x.task), e.task.c_str());
        Str_Copy(x.checkpoint, sizeof(x.checkpoint), e.checkpoint.c_str());
        x.number = e.number;
        x.run = e.run;
        x.how = e.how;
        ended.push_back(x);
    }
    if (w.lists_newest_first) {
        std::reverse(ended.begin(), ended.end());
    }
    for (const auto &s : w.stopped) {
        struct jobs_stopped x = {};

        Str_Copy(x.task, sizeof(x.task), s.first.c_str());
        x.run = s.second;
        stopped.push_back(x);
    }
    r.running = running.data();
    r.running_count = running.size();
    r.ended = ended.data();
    r.ended_count = ended.size();
    r.stopped = stopped.data();
    r.stopped_count = stopped.size();
    Jobs_Report(scheduler, &r, now);
    Jobs_WorkerCrashed(scheduler, w.agent.c_str(), w.crashed.data(),
                       w.crashed.size(), now);
    w.until = std::max(w.until, now + limits.lease_ms);
    Jobs_LeaseGranted(scheduler, w.id.c_str(), now);
}

void
Simulation::TakeEvents()
{
    struct jobs_event *e;

    while ((e = Jobs_NextEvent(scheduler)) != nullptr) {
        events.emplace_back(Jobs_EventName(e->kind), e->reason);
        if (e->kind == JOBS_EVICTION) {
            evictions.emplace_back(e->number, e->gain);
        }
        if (*e->other != '\0') {
            preemptors.insert(e->other);
        }
        free(e);
    }
}

void
Simulation::Plan()
{
    Jobs_Plan(scheduler, now, now);
    TakeEvents();
}

bool
Simulation::Write()
{
    struct buf row = {};
    std::map<std::string, std::string> batch;
    const char *id;

    while ((id = Jobs_NextDirty(scheduler, &row)) != nullptr) {
        batch[id] = std::string(row.data, row.len);
        if (row.len > ROW_BYTES_MAX) {
            violations.push_back("a row is too long: " + std::string(id));
        }
        Buf_Clear(&row);
    }
    Buf_Free(&row);
    if (!store_up) {
        Jobs_NotWritten(scheduler);
        return false;
    }
    for (const auto &b : batch) {
        rows[b.first] = b.second;
    }
    Jobs_Written(scheduler);
    if (writes_learned && Jobs_LearnedChanged(scheduler)) {
        Jobs_EncodeLearned(scheduler, now, &row);
        learned = std::string(row.data, row.len);
        Buf_Free(&row);
    }
    return true;
}

void
Simulation::Orders()
{
    struct jobs_order o;

    while (Jobs_NextOrder(scheduler, now, may_start, &o)) {
        for (size_t i = 0; i < workers.size(); i++) {
            Worker &w = workers[i];

            if (w.id != o.worker || !w.reachable) {
                continue;
            }
            if (o.verb == ORDER_START) {
                tickets[o.task] = o.ticket;
            }
            if (o.verb == ORDER_START && rows.count(JobOf(o.task)) == 0) {
                violations.push_back("ordered before its run was stored");
            }
            if (o.verb == ORDER_START && emptied.count(w.domain) != 0) {
                violations.push_back("ordered in an emptied domain");
            }
            if (drop_orders > 0) {
                drop_orders--;
                continue;
            }
            if (o.verb == ORDER_SHARE) {
                w.shares[o.task] = o.percent;
                continue;
            }
            if (order_delay_ms > 0) {
                delayed_orders.push_back({i, w.id, o, "", o.checkpoint, term,
                                          now + order_delay_ms});
                continue;
            }
            if (o.verb == ORDER_START) {
                Start(w, o.task, o.run, o.checkpoint, o.until_ms, term);
            }
            else {
                Stop(w, o.task, o.run, term);
            }
        }
    }
    TakeEvents();
}

void
Simulation::Tick(int64_t ms)
{
    Advance(ms);
    for (Worker &w : workers) {
        Report(w);
    }
    Plan();
    Write();
    Orders();
}

void
Simulation::Ticks(int n, int64_t ms)
{
    for (int i = 0; i < n; i++) {
        Tick(ms);
    }
}

void
Simulation::TakeOver(bool before_ended)
{
    int64_t lost =
        now + limits.lease_ms + limits.lease_ms / 20 + JOBS_ORDER_LATE_MS;

    Jobs_Free(scheduler);
    limits.term = ++term;
    scheduler = Jobs_New(&limits);
    Jobs_SetConfig(scheduler, &config);
    if (!learned.empty()) {
        Jobs_DecodeLearned(scheduler, learned.data(), learned.size());
    }
    ApplyEmptied();
    for (const auto &s : specs) {
        struct jobs_spec spec;
        auto row = rows.find(s.first);

        JobsSpec_Decode(s.second.data(), s.second.size(), &spec);
        Jobs_Add(scheduler, &spec,
                 row != rows.end() ? row->second.data() : nullptr,
                 row != rows.end() ? row->second.size() : 0, now);
        JobsSpec_Clear(&spec);
    }
    for (const std::string &id : cancelled) {
        Jobs_Cancel(scheduler, id.c_str(), now);
    }
    Jobs_TakeOver(scheduler, before_ended ? lost : lost + 12000, now);
}

Worker &
Simulation::RestartWorker(size_t at)
{
    Worker &old = workers[at];
    Worker w;

    w.id = "life-" + std::to_string(incarnations++);
    w.agent = old.agent;
    w.rack = old.rack;
    w.domain = old.domain;
    w.capacity = old.capacity;
    old = w;
    return workers[at];
}

Worker &
Simulation::RestartWithSameId(size_t at)
{
    std::string before = workers[at].id;
    Worker &w = RestartWorker(at);

    w.id = before.substr(0, before.find(JOBS_START_SEPARATOR)) +
           JOBS_START_SEPARATOR + w.id;
    return w;
}

void
Simulation::GiveNotice(size_t at, int64_t left_ms)
{
    workers[at].draining = true;
    workers[at].drain_end_ms = left_ms < 0 ? -1 : now + left_ms;
}

void
Simulation::Depart(size_t at, bool concluded)
{
    std::string id = workers[at].id;

    RestartWorker(at).up = false;
    if (concluded) {
        Jobs_WorkerLeft(scheduler, id.c_str(), nullptr, 0, now);
    }
}

void
Simulation::CrashWorker(size_t at, int64_t down_ms)
{
    Worker old = workers[at];
    Worker &w =
        restart_under_same_id ? RestartWithSameId(at) : RestartWorker(at);

    for (const Run &r : old.runs) {
        struct jobs_crash c = {};

        Str_Copy(c.worker, sizeof(c.worker), old.id.c_str());
        Str_Copy(c.task, sizeof(c.task), r.task.c_str());
        c.run = r.run;
        c.acknowledged = true;
        c.worked_ms = r.listed_ms > r.begun_ms ? r.listed_ms - r.begun_ms : 0;
        old.crashed.push_back(c);
        crashes[r.task]++;
    }
    w.crashed = old.crashed;
    w.up = false;
    w.restart_ms = now + down_ms;
}

/* Checks that a task that crashes its workers is not started more than twice
 * after three workers have crashed under it. A task of a service has no such
 * limit. */
void
Simulation::CheckCrashLimit(const std::string &task)
{
    static const int most = 5;

    if (BehaviourOf(task).crash_ms >= 0 && !BehaviourOf(task).lasting &&
        crashes[task] >= most) {
        violations.push_back("started again after five crashes: " + task);
    }
}

enum jobs_state
Simulation::State(const std::string &id) const
{
    enum jobs_state state = JOB_QUEUED;
    bool begun;
    auto row = rows.find(id);

    if (row != rows.end()) {
        Jobs_ReadProgress(row->second.data(), row->second.size(), &state,
                          &begun);
    }
    return state;
}

Worker *
Simulation::WorkerOf(const std::string &task)
{
    for (Worker &w : workers) {
        for (const Run &r : w.runs) {
            if (w.up && r.task == task) {
                return &w;
            }
        }
    }
    return nullptr;
}

int
Simulation::Starts(const std::string &task) const
{
    auto it = starts.find(task);

    return it == starts.end() ? 0 : it->second;
}

bool
Simulation::HasEvent(const std::string &event, const std::string &reason) const
{
    return std::find(events.begin(), events.end(),
                     std::make_pair(event, reason)) != events.end();
}
