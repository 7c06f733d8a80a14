#include "sim.h"

#include <algorithm>
#include <cstdlib>

namespace sim {

namespace {

const int GPUS = 8;
const int64_t HEARTBEAT_MS = 1500;
const size_t ENDS_MAX = 500; /* in one list */

std::mutex events_lock;
std::vector<Event> events;

std::string
Text(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));

    return s != nullptr ? s : "";
}

int64_t
Number(const json_t *o, const char *key)
{
    return json_integer_value(json_object_get(o, key));
}

std::string
Dump(json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);
    std::string out = text;

    free(text);
    json_decref(o);
    return out;
}

/* The accelerators in a task-spec "WORK_MS GPUS". */
int
GpusOf(const std::string &spec)
{
    size_t space = spec.find(' ');

    return space == std::string::npos ? 1 : atoi(spec.c_str() + space);
}

std::map<std::string, int> gpus_of_task; /* under events_lock */

} /* namespace */

int64_t Worker::MaxHoldMs = 10000;
int64_t Worker::StopMs = 50;

std::vector<Event>
Worker::Events()
{
    std::lock_guard<std::mutex> guard(events_lock);

    return events;
}

std::vector<Event>
Worker::EventsOf(const std::string &task)
{
    std::vector<Event> out;

    for (const Event &e : Events()) {
        if (e.task == task) {
            out.push_back(e);
        }
    }
    return out;
}

Worker::Worker(const std::string &n, const std::string &at, int wanted_port,
               const std::string &control_address, const std::string &r)
    : name(n), ip(at), control(control_address), rack(r), port(wanted_port)
{
    Begin();
    ticking = std::thread([this] { Tick(); });
    beating = std::thread([this] { Heartbeats(); });
}

Worker::~Worker()
{
    closing = true;
    ticking.join();
    beating.join();
    server->Close();
}

/* Begins a lifetime. */
void
Worker::Begin()
{
    std::lock_guard<std::mutex> guard(lock);

    id = name + "-" + std::to_string(++lifetime);
    born_ms = Now();
    token = until_ms = last_end = sequence = 0;
    server = std::make_unique<Server>(
        ip, port, [this](const Request &r) { return Serve(r); });
    up = true;
}

void
Worker::Crash(int64_t down_ms)
{
    {
        std::lock_guard<std::mutex> guard(lock);

        Record("worker %s crashes, for %lld ms", id.c_str(),
               static_cast<long long>(down_ms));
        for (const auto &r : running) {
            Note(r.first, r.second.run, "lost");
        }
        running.clear();
        ended.clear();
        over.clear();
        up = false;
        changed.notify_all();
    }
    server->Close();
    Sleep(down_ms);
    Begin();
    Record("worker %s is up", Id().c_str());
}

std::string
Worker::Id()
{
    std::lock_guard<std::mutex> guard(lock);

    return id;
}

bool
Worker::Runs(const std::string &task)
{
    std::lock_guard<std::mutex> guard(lock);

    return running.count(task) > 0;
}

int64_t
Worker::Clock() const
{
    return Now() - born_ms + 1000;
}

void
Worker::Note(const std::string &task, int64_t run, const char *what)
{
    Record("worker %s: %s run %lld %s", id.c_str(), task.c_str(),
           static_cast<long long>(run), what);
    std::lock_guard<std::mutex> guard(events_lock);
    events.push_back({Now(), id, task, what, run});
}

/* Ends a run and lists its end; the lock is held. */
void
Worker::EndRun(const std::string &task, const char *how)
{
    int64_t run = running[task].run;

    running.erase(task);
    over[task] = std::max(over[task], run);
    ended.push_back({++last_end, run, task, how});
    Note(task, run, how);
    changed.notify_all();
}

/* Ends runs whose time has come. */
void
Worker::Tick()
{
    while (!closing) {
        Sleep(5);
        std::lock_guard<std::mutex> guard(lock);
        std::vector<std::pair<std::string, const char *>> over_now;

        for (const auto &r : running) {
            const Run &run = r.second;

            if (until_ms <= Clock()) {
                over_now.push_back({r.first, "lapsed"});
            }
            else if (run.stop_ms != 0 && Now() >= run.stop_ms) {
                over_now.push_back({r.first, "stopped"});
            }
            else if (Now() - run.started_ms >= run.work_ms) {
                over_now.push_back({r.first, "done"});
            }
        }
        for (const auto &o : over_now) {
            EndRun(o.first, o.second);
        }
    }
}

void
Worker::Heartbeats()
{
    size_t colon = control.find(':');
    int64_t next_ms = 0;

    while (!closing) {
        std::string path, body;

        Sleep(20);
        {
            std::lock_guard<std::mutex> guard(lock);

            if (!up || Now() < next_ms) {
                continue;
            }
            path = "/Instances.Heartbeat/" + id;
            body = Dump(json_pack(
                "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,"
                "s:I}",
                "service", "pool", "address",
                (ip + ":" + std::to_string(port)).c_str(), "zone", "zone-1",
                "version", "v1", "slots", 8, "state", "ready",
                "cold-remaining-ms", 0, "capacity", "cpu", 128000, "mem-mb",
                524288, "gpu", GPUS, "labels", "a", rack.c_str(), "clock-ms",
                (json_int_t)Clock(), "sequence", (json_int_t)++sequence));
        }
        next_ms = Now() + HEARTBEAT_MS;
        if (Call(control.substr(0, colon), atoi(control.c_str() + colon + 1),
                 "POST", path, "", body, 1000)
                .status != 200) {
            next_ms = Now() + 200;
        }
    }
}

Response
Worker::Refuse(const char *reason)
{
    return {409,
            Dump(json_pack("{s:I,s:s}", "clock-ms", (json_int_t)Clock(),
                           "reason", reason)),
            false};
}

/* POST /run-start. */
Response
Worker::Start(json_t *o)
{
    std::string task = Text(o, "task"), spec = Text(o, "task-spec");
    int64_t run = Number(o, "run"), until = Number(o, "until-ms");
    auto there = running.find(task);
    int used = 0;

    if (until <= Clock()) {
        return Refuse("late");
    }
    if (there != running.end() && there->second.run == run) {
        return {200, Dump(json_pack("{s:I}", "clock-ms", (json_int_t)Clock())),
                false};
    }
    until_ms = std::max(until_ms, std::min(until, Clock() + MaxHoldMs));
    if (run <= over[task]) {
        return Refuse("old");
    }
    {
        std::lock_guard<std::mutex> guard(events_lock);

        for (const auto &r : running) {
            used += gpus_of_task[r.first];
        }
        gpus_of_task[task] = GpusOf(spec);
    }
    if (there != running.end() || used + GpusOf(spec) > GPUS) {
        return Refuse("room");
    }
    running[task] = {run, Now(), atoll(spec.c_str()), 0};
    Note(task, run, "start");
    return {200, Dump(json_pack("{s:I}", "clock-ms", (json_int_t)Clock())),
            false};
}

/* POST /run-stop. */
Response
Worker::Stop(json_t *o)
{
    std::string task = Text(o, "task");
    int64_t run = Number(o, "run");
    auto there = running.find(task);

    if (there != running.end() && there->second.run == run) {
        if (there->second.stop_ms == 0) {
            there->second.stop_ms = Now() + StopMs;
        }
    }
    else {
        over[task] = std::max(over[task], run);
    }
    return {200, Dump(json_pack("{s:I}", "clock-ms", (json_int_t)Clock())),
            false};
}

/* POST /hold. */
Response
Worker::Hold(json_t *o, std::unique_lock<std::mutex> &held)
{
    int64_t seen = Number(o, "last-seen"), end = Now() + Number(o, "wait-ms");
    int64_t until = Number(o, "until-ms");
    std::string lifetime_id = id;
    json_t *list = json_array(), *ends = json_array();

    ended.erase(
        std::remove_if(ended.begin(), ended.end(),
                       [seen](const End &e) { return e.number <= seen; }),
        ended.end());
    until_ms = std::max(until_ms, std::min(until, Clock() + MaxHoldMs));
    while (ended.empty() && Now() < end && id == lifetime_id && up) {
        changed.wait_for(held, std::chrono::milliseconds(end - Now()));
    }
    if (id != lifetime_id || !up) {
        json_decref(list);
        json_decref(ends);
        return {0, "", true};
    }
    for (const auto &r : running) {
        int64_t percent =
            100 * (Now() - r.second.started_ms) / (r.second.work_ms + 1);

        json_array_append_new(
            list,
            json_pack("[s,I,s,I,i]", r.first.c_str(), (json_int_t)r.second.run,
                      "", (json_int_t)std::min<int64_t>(percent, 99), 1000));
    }
    for (const End &e : ended) {
        if (json_array_size(ends) < ENDS_MAX) {
            json_array_append_new(
                ends,
                json_pack("[I,s,I,s,s]", (json_int_t)e.number, e.task.c_str(),
                          (json_int_t)e.run, e.how.c_str(), ""));
        }
    }
    return {200,
            Dump(json_pack("{s:I,s:o,s:o}", "clock-ms", (json_int_t)Clock(),
                           "running", list, "ended", ends)),
            false};
}

Response
Worker::Serve(const Request &r)
{
    std::unique_lock<std::mutex> held(lock);
    auto expected = r.headers.find("parsleyfall-expected-instance");
    json_t *o = json_loads(r.body.c_str(), 0, nullptr);
    Response answer = {404, "{}", false};
    int64_t term = Number(o, "fencing-token");

    if (!up) {
        answer.drop = true;
    }
    else if (expected != r.headers.end() && expected->second != id) {
        answer.status = 421;
    }
    else if (o == nullptr) {
        answer.status = 400;
    }
    else if (term < token) {
        answer = Refuse("fence");
    }
    else {
        token = term;
        if (r.path == "/run-start") {
            answer = Start(o);
        }
        else if (r.path == "/run-stop") {
            answer = Stop(o);
        }
        else if (r.path == "/hold") {
            answer = Hold(o, held);
        }
        else if (r.path == "/pace") {
            answer = {
                200, Dump(json_pack("{s:I}", "clock-ms", (json_int_t)Clock())),
                false};
        }
    }
    json_decref(o);
    return answer;
}

} /* namespace sim */
