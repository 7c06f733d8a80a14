/* Stand-ins for the scripts of this folder, and helpers that start the
 * project's programs: a store, workers, a client and processes. They follow
 * the users' pages; each script sets the faults that it needs. */
#ifndef REVIEW_SIM_H
#define REVIEW_SIM_H

#include <jansson.h>
#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sim {

/* Milliseconds of the steady clock since the start of this program. */
int64_t Now();
void Sleep(int64_t ms);
/* Writes a line with the time to record.txt and to standard output. */
void Record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void OpenRecord(const std::string &path);
/* Waits for a condition; false when it did not hold in time. */
bool Until(int64_t ms, const std::function<bool()> &holds);
/* False when the environment has TROUBLE=0. */
bool Trouble();

/* ---- HTTP --------------------------------------------------------------- */

struct Request {
    std::string method, path, body;
    std::map<std::string, std::string> query,
        headers; /* names in lower case */
};

struct Response {
    int status = 200;
    std::string body = "{}";
    bool drop = false; /* resets the connection without a response */
};

typedef std::function<Response(const Request &)> Handler;

/* Serves HTTP/1.1 on an address, with a thread for each connection. */
class Server {
  public:
    Server(const std::string &ip, int port, Handler handler);
    ~Server();
    /* Closes the listening socket and all connections. */
    void Close();
    int port = 0;

  private:
    void Accept();
    void Serve(int fd);
    Handler handler;
    int listening = -1;
    std::mutex lock;
    std::set<int> open;
    std::atomic<bool> closed{false};
    std::atomic<int> threads{0};
    std::thread accepting;
};

/* Status of the answer, 0 when there was none. */
struct Answer {
    int status = 0;
    std::string body;
};

Answer Call(const std::string &ip, int port, const std::string &method,
            const std::string &path, const std::string &headers,
            const std::string &body, int64_t timeout_ms);

/* A connection of a client, which stays open between its calls. */
class Connection {
  public:
    Connection(const std::string &ip, int port);
    ~Connection();
    Answer Send(const std::string &method, const std::string &path,
                const std::string &headers, const std::string &body,
                int64_t timeout_ms);

  private:
    int fd;
    std::string buffer;
};

/* ---- the platform's store ------------------------------------------------
 */

/* What happens to a transaction. */
struct Fate {
    enum { DONE, BUSY, LOST, LATE } how = DONE;
    int64_t late_ms = 0; /* LATE: the time after which it is done */
};

class Store {
  public:
    explicit Store(const std::string &ip);
    /* Opens a port for one machine; returns it. */
    int Open();
    /* Decides on each transaction; keys: those that it writes. LOST: done, and
     * the connection is reset without an answer. LATE: the connection is
     * reset without an answer, and it is done later if its conditions still
     * hold. */
    std::function<Fate(int port, const std::set<std::string> &keys)> on_tx;
    /* True: every call gets 503. */
    std::atomic<bool> busy{false};
    /* How long a transaction takes. */
    std::atomic<int64_t> transaction_ms{5};
    /* Writes a row, as the operator. */
    void Put(const std::string &table, const std::string &key,
             const std::string &value);
    /* Value of a row, "" when there is none. */
    std::string Get(const std::string &table, const std::string &key);

  private:
    struct Row {
        std::string value; /* base64 */
        int64_t version;
        bool removed;
    };
    typedef std::pair<std::string, std::string> Name;
    Response Serve(int port, const Request &r);
    Response Transact(int port, const Request &r);
    Response Range(const Request &r);
    Response Feed(const Request &r);
    bool Apply(json_t *body);
    std::string RowsText(const std::vector<Name> &names, bool more);
    std::string ip;
    std::mutex lock;
    std::condition_variable changed;
    std::map<Name, Row> rows;
    int64_t version = 1;
    std::vector<std::unique_ptr<Server>> servers;
};

std::string Base64(const std::string &bytes);
std::string FromBase64(const std::string &text);

/* ---- workers ------------------------------------------------------------ */

/* One start or end that a worker has seen. */
struct Event {
    int64_t at_ms;
    std::string worker, task, what; /* "start", "done", "lost", ... */
    int64_t run;
};

class Worker {
  public:
    /* A worker with 8 accelerators that serves at ip:port and reports to the
     * agent at `control`. The task-spec of a job is its work in
     * milliseconds. */
    Worker(const std::string &name, const std::string &ip, int port,
           const std::string &control, const std::string &rack);
    ~Worker();
    /* Crashes, and starts again after down_ms as another lifetime. */
    void Crash(int64_t down_ms);
    bool Runs(const std::string &task);
    std::string Id();

    static std::vector<Event> Events();
    static std::vector<Event> EventsOf(const std::string &task);
    static int64_t MaxHoldMs;
    static int64_t StopMs;

  private:
    struct Run {
        int64_t run, started_ms, work_ms, stop_ms;
    };
    struct End {
        int64_t number, run;
        std::string task, how;
    };
    Response Serve(const Request &r);
    Response Start(json_t *o);
    Response Stop(json_t *o);
    Response Hold(json_t *o, std::unique_lock<std::mutex> &held);
    Response Refuse(const char *reason);
    int64_t Clock() const;
    void EndRun(const std::string &task, const char *how);
    void Begin();
    void Tick();
    void Heartbeats();
    void Note(const std::string &task, int64_t run, const char *what);

    std::string name, ip, control, rack;
    int port;
    std::mutex lock;
    std::condition_variable changed;
    std::string id;
    int lifetime = 0;
    bool up = false;
    int64_t born_ms = 0, token = 0, until_ms = 0, last_end = 0, sequence = 0;
    std::map<std::string, Run> running;
    std::map<std::string, int64_t> over; /* highest run stopped or ended */
    std::vector<End> ended;
    std::unique_ptr<Server> server;
    std::atomic<bool> closing{false};
    std::thread ticking, beating;
};

/* ---- the project's programs ----------------------------------------------
 */

/* A small deployment on loopback addresses of its own. */
class Deployment {
  public:
    Deployment(int entries, int workers,
               const std::string &max_attempts = "2");
    ~Deployment();
    void StartEntry(int i);
    void StartAgent(int i);
    /* Another machine, at another address, is added with the role of an entry;
     * returns its number. */
    int AddEntry();
    /* Writes the seeds into the settings files of the agents, as the platform
     * does when they change, and sends SIGHUP. */
    void SetSeeds(const std::vector<int> &entries);
    void KillEntry(int i); /* SIGKILL */
    /* SIGTERM; returns when the process has ended, killed after the grace
     * period. */
    void StopEntry(int i, int64_t grace_ms);
    pid_t EntryPid(int i) const
    {
        return entry_pids[static_cast<size_t>(i)];
    }
    bool Ready(int i) const;
    /* The entry that the owner row names; -1: none. */
    int Owner();
    /* Calls of a client with the tenant's key. */
    Answer Post(int entry, const std::string &id, const std::string &body);
    Answer Get(int entry, const std::string &id);
    /* The `state` that a GET shows; "" for another answer. */
    std::string State(int entry, const std::string &id);
    /* An open connection to an entry, and a POST on it. */
    std::unique_ptr<Connection> Connect(int entry);
    Answer PostOn(Connection &c, const std::string &id,
                  const std::string &body);

    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<int> store_ports;

  private:
    std::string Host(int n) const;
    std::string Seeds() const;
    std::string AgentSettings(int i) const;
    pid_t Spawn(const std::string &program, const std::string &verb,
                const std::string &settings, const std::string &name);
    std::string dir, net;
    std::vector<int> seeds; /* numbers of entries */
    std::vector<pid_t> entry_pids, agent_pids;
};

/* A job of one step, as the body of a POST. */
std::string JobOfOneStep(int work_ms, int count, int gpus,
                         const std::string &more_fields = "");

} /* namespace sim */

#endif
