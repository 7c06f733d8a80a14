/* Stand-ins of the platform's store, of workers and of requesters, and control
 * of the project's own processes, for the scripts of the second review. They
 * follow the users' pages; all addresses are loopback addresses. */
#ifndef SIM_H
#define SIM_H

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace sim {

using std::string;

inline int64_t
now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline void
sleep_ms(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* ---- the record ----------------------------------------------------------
 */

struct Record {
    std::mutex mutex;
    FILE *file = nullptr;
    int64_t begun = now_ms();

    void open(const string &path)
    {
        file = fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard<std::mutex> lock(mutex);
        va_list args;

        if (file == nullptr) {
            return;
        }
        fprintf(file, "%8.3f ", (double)(now_ms() - begun) / 1000);
        va_start(args, format);
        vfprintf(file, format, args);
        va_end(args);
        fputc('\n', file);
        fflush(file);
    }
};

inline Record record;

/* ---- JSON ----------------------------------------------------------------
 */

struct Json {
    json_t *v;

    explicit Json(json_t *value = nullptr) : v(value)
    {
    }
    explicit Json(const string &text)
        : v(json_loadb(text.data(), text.size(), 0, nullptr))
    {
    }
    ~Json()
    {
        json_decref(v);
    }
    Json(const Json &) = delete;
    Json &operator=(const Json &) = delete;
    int64_t number(const char *key, int64_t otherwise = 0) const
    {
        json_t *n = json_object_get(v, key);

        return json_is_integer(n) ? json_integer_value(n) : otherwise;
    }
    string text(const char *key) const
    {
        const char *s = json_string_value(json_object_get(v, key));

        return s != nullptr ? s : "";
    }
    string dump() const
    {
        char *s = json_dumps(v, JSON_COMPACT);
        string out = s != nullptr ? s : "";

        free(s);
        return out;
    }
};

/* ---- HTTP ----------------------------------------------------------------
 */

struct Request {
    string method, path, query, body;
    std::map<string, string> headers; /* names in lower case */
};

struct Reply {
    int status = 200;
    string body;
    /* The answer is lost: the connection stays open and delivers nothing. */
    bool lost = false;
};

inline sockaddr_in
address_of(const string &ip, int port)
{
    sockaddr_in a = {};

    a.sin_family = AF_INET;
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline bool
send_all(int fd, const string &data)
{
    size_t done = 0;

    while (done < data.size()) {
        ssize_t n =
            send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);

        if (n <= 0) {
            return false;
        }
        done += (size_t)n;
    }
    return true;
}

inline string
lower(string s)
{
    for (char &c : s) {
        c = (char)tolower((unsigned char)c);
    }
    return s;
}

/* Reads one HTTP message into its first line, headers and body. deadline: by
 * now_ms(); 0: none. */
inline bool
read_message(int fd, string &buffer, string &first,
             std::map<string, string> &headers, string &body,
             int64_t deadline = 0)
{
    size_t end;
    auto more = [&]() {
        char chunk[65536];
        pollfd p = {fd, POLLIN, 0};
        int64_t left = deadline != 0 ? deadline - now_ms() : -1;
        ssize_t n;

        if (deadline != 0 && left <= 0) {
            return false;
        }
        if (poll(&p, 1, (int)left) <= 0) {
            return false;
        }
        n = recv(fd, chunk, sizeof(chunk), 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(chunk, (size_t)n);
        return true;
    };

    while ((end = buffer.find("\r\n\r\n")) == string::npos) {
        if (!more()) {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    string line;

    std::getline(head, first);
    if (!first.empty() && first.back() == '\r') {
        first.pop_back();
    }
    headers.clear();
    while (std::getline(head, line)) {
        size_t colon = line.find(':');

        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (colon != string::npos) {
            size_t from = line.find_first_not_of(' ', colon + 1);

            headers[lower(line.substr(0, colon))] =
                from != string::npos ? line.substr(from) : "";
        }
    }
    buffer.erase(0, end + 4);
    size_t length = headers.count("content-length")
                        ? (size_t)atoll(headers["content-length"].c_str())
                        : 0;

    while (buffer.size() < length) {
        if (!more()) {
            return false;
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/* An HTTP server with a thread for each connection. */
class Server {
  public:
    using Handler = std::function<Reply(const Request &)>;

    Server(string ip, int port, Handler handler)
        : ip_(std::move(ip)), port_(port), handler_(std::move(handler))
    {
    }
    bool open()
    {
        sockaddr_in a = address_of(ip_, port_);
        int on = 1;
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (bind(fd, (sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 256) != 0) {
            ::close(fd);
            return false;
        }
        std::lock_guard<std::mutex> lock(state_->mutex);
        state_->listening = fd;
        std::thread([state = state_, fd, handler = handler_]() {
            accept_all(state, fd, handler);
        }).detach();
        return true;
    }
    /* Ends the server as the end of its process would: nothing listens, and
     * all connections are reset. */
    void close()
    {
        std::lock_guard<std::mutex> lock(state_->mutex);
        linger reset = {1, 0};

        if (state_->listening >= 0) {
            shutdown(state_->listening, SHUT_RDWR);
            ::close(state_->listening);
            state_->listening = -1;
        }
        for (int fd : state_->connections) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            shutdown(fd, SHUT_RDWR);
        }
    }

  private:
    struct State {
        std::mutex mutex;
        int listening = -1;
        std::set<int> connections;
    };

    static void accept_all(const std::shared_ptr<State> &state, int listening,
                           const Handler &handler)
    {
        for (;;) {
            int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);

            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) {
                    continue;
                }
                return;
            }
            {
                std::lock_guard<std::mutex> lock(state->mutex);
                state->connections.insert(fd);
            }
            std::thread([state, fd, handler]() {
                serve(fd, handler);
                std::lock_guard<std::mutex> lock(state->mutex);
                state->connections.erase(fd);
                ::close(fd);
            }).detach();
        }
    }
    static void serve(int fd, const Handler &handler)
    {
        string buffer, first;
        Request r;
        int on = 1;

        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        while (read_message(fd, buffer, first, r.headers, r.body)) {
            std::istringstream line(first);
            string target;

            line >> r.method >> target;
            size_t mark = target.find('?');

            r.path = target.substr(0, mark);
            r.query = mark != string::npos ? target.substr(mark + 1) : "";
            Reply reply = handler(r);

            if (reply.lost) {
                char ignored[4096];

                while (recv(fd, ignored, sizeof(ignored), 0) > 0) {
                }
                return;
            }
            std::ostringstream out;

            out << "HTTP/1.1 " << reply.status
                << " X\r\nContent-Type: application/json\r\nContent-Length: "
                << reply.body.size() << "\r\n\r\n"
                << reply.body;
            if (!send_all(fd, out.str())) {
                return;
            }
        }
    }

    string ip_;
    int port_;
    Handler handler_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

struct Answer {
    int status = 0; /* 0: none */
    string body;
};

/* Makes a call on a connection of its own. */
inline Answer
call(const string &ip, int port, const string &method, const string &path,
     const std::vector<string> &headers, const string &body,
     int64_t timeout_ms = 3000)
{
    sockaddr_in a = address_of(ip, port);
    int64_t deadline = now_ms() + timeout_ms;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::map<string, string> got;
    std::ostringstream out;
    string buffer, first;
    Answer answer;

    out << method << " " << path
        << " HTTP/1.1\r\nContent-Length: " << body.size()
        << "\r\nContent-Type: application/json\r\n";
    for (const string &h : headers) {
        out << h << "\r\n";
    }
    out << "\r\n" << body;
    if (connect(fd, (sockaddr *)&a, sizeof(a)) == 0 &&
        send_all(fd, out.str()) &&
        read_message(fd, buffer, first, got, answer.body, deadline)) {
        answer.status = atoi(first.c_str() + first.find(' ') + 1);
    }
    ::close(fd);
    return answer;
}

/* ---- the platform's store ------------------------------------------------
 */

class Store {
  public:
    /* What happens to a write. */
    struct Fate {
        enum {
            NORMAL,
            DONE_UNANSWERED,
            LATE_UNANSWERED,
            REFUSED
        } kind = NORMAL;
        int64_t late_ms = 0;
    };
    /* Decides on a write by the keys that it writes; NULL: all are normal. */
    std::function<Fate(const std::vector<string> &keys)> fate;
    /* True while the store is silent: it answers nothing and does nothing. */
    std::atomic<bool> silent{false};

    Store(const string &ip, int port)
        : server_(ip, port, [this](const Request &r) { return handle(r); })
    {
    }
    bool open()
    {
        return server_.open();
    }
    void put(const string &table, const string &key, const string &text)
    {
        std::lock_guard<std::mutex> lock(mutex_);

        version_++;
        write(table, key, encode(text), false);
        changed_.notify_all();
    }

    static string encode(const string &s)
    {
        static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghij"
            "klmnopqrstuvwxyz0123456789+/";
        string out;

        for (size_t i = 0; i < s.size(); i += 3) {
            uint32_t n = (uint32_t)(uint8_t)s[i] << 16;

            n |= i + 1 < s.size() ? (uint32_t)(uint8_t)s[i + 1] << 8 : 0;
            n |= i + 2 < s.size() ? (uint32_t)(uint8_t)s[i + 2] : 0;
            out += digits[n >> 18];
            out += digits[n >> 12 & 63];
            out += i + 1 < s.size() ? digits[n >> 6 & 63] : '=';
            out += i + 2 < s.size() ? digits[n & 63] : '=';
        }
        return out;
    }

  private:
    struct Row {
        string value;
        int64_t version = 0;
    };
    struct Change {
        string table, key, value;
        int64_t version;
        bool removed;
    };

    static string parameter(const string &query, const string &name)
    {
        std::istringstream parts(query);
        string part;

        while (std::getline(parts, part, '&')) {
            size_t eq = part.find('=');

            if (part.substr(0, eq) == name && eq != string::npos) {
                string raw = part.substr(eq + 1), out;

                for (size_t i = 0; i < raw.size(); i++) {
                    if (raw[i] == '%' && i + 2 < raw.size()) {
                        out += (char)strtol(raw.substr(i + 1, 2).c_str(),
                                            nullptr, 16);
                        i += 2;
                    }
                    else {
                        out += raw[i];
                    }
                }
                return out;
            }
        }
        return "";
    }
    void write(const string &table, const string &key, const string &value,
               bool removed)
    {
        if (removed) {
            if (tables_[table].erase(key) == 0) {
                return;
            }
        }
        else {
            tables_[table][key] = {value, version_};
        }
        log_.push_back({table, key, value, version_, removed});
    }
    /* Carries out a transaction; the status is 200 or 412. */
    int transact(const Json &tx, string *body)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        Json current(json_array());
        bool holds = true;
        json_t *e;
        size_t i;

        json_array_foreach(json_object_get(tx.v, "expect"), i, e)
        {
            string table = json_string_value(json_object_get(e, "table"));
            string key = json_string_value(json_object_get(e, "key"));
            int64_t want =
                json_integer_value(json_object_get(e, "schema-version"));
            auto found = tables_[table].find(key);
            int64_t have =
                found != tables_[table].end() ? found->second.version : 0;

            holds = holds && have == want;
            if (have != 0) {
                json_array_append_new(
                    current.v,
                    row_json(table, key, found->second.value, have, false));
            }
        }
        if (!holds) {
            json_t *o = stamp();

            json_object_set(o, "rows", current.v);
            *body = Json(o).dump();
            return 412;
        }
        version_++;
        json_array_foreach(json_object_get(tx.v, "writes"), i, e)
        {
            write(json_string_value(json_object_get(e, "table")),
                  json_string_value(json_object_get(e, "key")),
                  json_string_value(json_object_get(e, "value")), false);
        }
        json_array_foreach(json_object_get(tx.v, "remove"), i, e)
        {
            write(json_string_value(json_object_get(e, "table")),
                  json_string_value(json_object_get(e, "key")), "", true);
        }
        changed_.notify_all();
        *body = Json(stamp()).dump();
        return 200;
    }
    json_t *stamp() const
    {
        return json_pack("{s:I,s:I}", "schema-version", (json_int_t)version_,
                         "current-time-ms", (json_int_t)now_ms());
    }
    static json_t *row_json(const string &table, const string &key,
                            const string &value, int64_t version, bool removed)
    {
        json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", table.c_str(),
                              "part", "", "key", key.c_str(), "schema-version",
                              (json_int_t)version);

        if (removed) {
            json_object_set_new(o, "removed", json_true());
        }
        else {
            json_object_set_new(o, "value", json_string(value.c_str()));
        }
        return o;
    }
    Reply read(const Request &r)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        string table = parameter(r.query, "table");
        string from = parameter(r.query, "from");
        string target = parameter(r.query, "target");
        size_t limit = (size_t)atoll(parameter(r.query, "limit").c_str());
        json_t *rows = json_array();
        json_t *o = stamp();
        bool more = false;

        limit = limit == 0 || limit > 500 ? 500 : limit;
        for (auto it = tables_[table].lower_bound(from);
             it != tables_[table].end() &&
             (target.empty() || it->first < target);
             ++it) {
            if (json_array_size(rows) == limit) {
                more = true;
                break;
            }
            json_array_append_new(rows,
                                  row_json(table, it->first, it->second.value,
                                           it->second.version, false));
        }
        json_object_set_new(o, "rows", rows);
        json_object_set_new(o, "has-more", json_boolean(more));
        return {200, Json(o).dump()};
    }
    Reply feed(const Request &r)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        string table = parameter(r.query, "table");
        int64_t after = atoll(parameter(r.query, "after").c_str());
        int64_t until =
            now_ms() + atoll(parameter(r.query, "wait-ms").c_str());
        auto any = [&]() {
            for (size_t i = log_.size(); i-- > 0;) {
                if (log_[i].version <= after) {
                    return false;
                }
                if (log_[i].table == table) {
                    return true;
                }
            }
            return false;
        };

        while (!any() && now_ms() < until) {
            changed_.wait_for(lock,
                              std::chrono::milliseconds(until - now_ms()));
        }
        json_t *rows = json_array();
        json_t *o = stamp();

        for (const Change &c : log_) {
            if (c.version > after && c.table == table) {
                json_array_append_new(rows, row_json(c.table, c.key, c.value,
                                                     c.version, c.removed));
            }
        }
        json_object_set_new(o, "rows", rows);
        return {200, Json(o).dump()};
    }
    static bool writes_operator_table(const Json &tx)
    {
        json_t *e;
        size_t i;

        json_array_foreach(json_object_get(tx.v, "writes"), i, e)
        {
            string table = json_string_value(json_object_get(e, "table"));

            if (table == "op" || table == "servers") {
                return true;
            }
        }
        return false;
    }
    Reply handle(const Request &r)
    {
        sleep_ms(4);
        if (silent) {
            return {0, "", true};
        }
        if (r.method == "GET" && r.path == "/rows-get") {
            return read(r);
        }
        if (r.method == "GET" && r.path == "/rows-feed") {
            Reply reply = feed(r);

            return silent ? Reply{0, "", true} : reply;
        }
        if (r.method != "POST" || r.path != "/rows-tx") {
            return {404, "{}"};
        }
        auto tx = std::make_shared<Json>(r.body);
        std::vector<string> keys;
        json_t *e;
        size_t i;
        Fate f;
        Reply reply;

        if (writes_operator_table(*tx)) {
            return {403, "{}"};
        }
        json_array_foreach(json_object_get(tx->v, "writes"), i, e)
        {
            keys.push_back(json_string_value(json_object_get(e, "key")));
        }
        if (fate) {
            f = fate(keys);
        }
        if (f.kind == Fate::REFUSED) {
            return {503, "{}"};
        }
        if (f.kind == Fate::LATE_UNANSWERED) {
            std::thread([this, tx, f, keys]() {
                string body;

                sleep_ms(f.late_ms);
                int status = transact(*tx, &body);
                record.line("store: the write of %s, unanswered before, is "
                            "carried out now: %d",
                            keys.empty() ? "" : keys[0].c_str(), status);
            }).detach();
            return {0, "", true};
        }
        reply.status = transact(*tx, &reply.body);
        reply.lost = f.kind == Fate::DONE_UNANSWERED;
        return reply;
    }

    Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<string, std::map<string, Row>> tables_;
    std::vector<Change> log_;
    int64_t version_ = 100;
};

/* ---- workers -------------------------------------------------------------
 */

/* One worker on its machine, beside an agent. The text of a task gives the
 * length of its runs in milliseconds, or "lasts". */
class Worker {
  public:
    struct Run {
        string task;
        int64_t run = 0;
        int64_t begun = 0; /* now_ms() */
        int64_t length = 0;
        bool lasts = false;
    };
    struct Start {
        string task, worker, spec;
        int64_t run, at;
    };
    /* How a run ends: length in ms and the kind of end; lasting ones run until
     * they are stopped if length is 0. */
    struct Course {
        int64_t length;
        string how;
    };
    std::function<Course(const string &task, int64_t run, const string &spec)>
        course;
    std::string saved; /* checkpoint of each run; "": none */
    std::function<void(const Start &)> on_start;
    /* An end is taken note of: last-seen has reached it. */
    std::function<void(const string &task, int64_t run, const string &how)>
        on_noted;
    std::function<void(const string &task, int64_t run, const string &how,
                       const string &worker)>
        on_end;

    Worker(string ip, int app, int control, string service, string zone,
           std::vector<string> labels)
        : ip_(ip), app_(app), control_(control), service_(std::move(service)),
          zone_(std::move(zone)), labels_(std::move(labels)),
          server_(ip, app, [this](const Request &r) { return handle(r); })
    {
    }
    bool start()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        static std::atomic<int> last{0};

        id_ = "i-" + std::to_string(getpid()) + "-" + std::to_string(++last);
        born_ = now_ms() - 100000;
        fence_ = sequence_ = until_ = last_end_ = 0;
        running_.clear();
        ended_.clear();
        barred_.clear();
        up_ = true;
        if (!server_.open()) {
            return false;
        }
        record.line("worker %s starts on %s", id_.c_str(), ip_.c_str());
        if (!threads_) {
            threads_ = true;
            std::thread([this]() { beat(); }).detach();
            std::thread([this]() { work(); }).detach();
        }
        return true;
    }
    /* The worker crashes: its runs end, and nothing listens. */
    void crash()
    {
        std::lock_guard<std::mutex> lock(mutex_);

        record.line("worker %s on %s crashes with %zu runs", id_.c_str(),
                    ip_.c_str(), running_.size());
        up_ = false;
        running_.clear();
        server_.close();
    }
    bool has(const string &job, int64_t for_ms = 0)
    {
        std::lock_guard<std::mutex> lock(mutex_);

        for (const Run &r : running_) {
            if (up_ && r.task.compare(0, job.size(), job) == 0 &&
                now_ms() - r.begun >= for_ms) {
                return true;
            }
        }
        return false;
    }
    string id()
    {
        std::lock_guard<std::mutex> lock(mutex_);

        return id_;
    }
    bool held()
    {
        std::lock_guard<std::mutex> lock(mutex_);

        return up_ && until_ != 0;
    }

  private:
    int64_t clock() const
    {
        return now_ms() - born_;
    }
    void end(size_t at, const string &how)
    {
        Run r = running_[at];

        running_.erase(running_.begin() + (long)at);
        barred_[r.task] = std::max(barred_[r.task], r.run);
        ended_.push_back({++last_end_, r.task, r.run, how});
        record.line("worker %s lists %s run %lld as %s", id_.c_str(),
                    r.task.c_str(), (long long)r.run, how.c_str());
        if (on_end) {
            on_end(r.task, r.run, how, id_);
        }
        changed_.notify_all();
    }
    /* Ends runs that are through, and all runs when the lease is over. */
    void work()
    {
        for (;;) {
            sleep_ms(10);
            std::lock_guard<std::mutex> lock(mutex_);

            for (size_t i = running_.size(); up_ && i-- > 0;) {
                int64_t ran = now_ms() - running_[i].begun;

                if (clock() > until_) {
                    end(i, "lapsed");
                }
                else if (running_[i].length != 0 &&
                         ran >= running_[i].length) {
                    end(i, how_[running_[i].task]);
                }
            }
        }
    }
    void beat()
    {
        for (;;) {
            string path, body;
            {
                std::lock_guard<std::mutex> lock(mutex_);

                if (up_) {
                    json_t *labels = json_array();

                    for (const string &l : labels_) {
                        json_array_append_new(labels, json_string(l.c_str()));
                    }
                    string address = ip_ + ":" + std::to_string(app_);

                    path = "/Instances.Heartbeat/" + id_;
                    body =
                        Json(json_pack(
                                 "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,"
                                 "s:i},s:o,s:I,s:I}",
                                 "service", service_.c_str(), "address",
                                 address.c_str(), "zone", zone_.c_str(),
                                 "version", "v1", "slots", 8, "state", "ready",
                                 "cold-remaining-ms", 0, "capacity", "cpu",
                                 128000, "mem-mb", 524288, "gpu", 8, "labels",
                                 labels, "clock-ms", (json_int_t)clock(),
                                 "sequence", (json_int_t)++sequence_))
                            .dump();
                }
            }
            if (!path.empty()) {
                call(ip_, control_, "POST", path, {"Host: control"}, body,
                     1000);
            }
            sleep_ms(path.empty() ? 50 : 1500);
        }
    }
    Reply reject(const char *reason)
    {
        return {409, Json(json_pack("{s:I,s:s}", "clock-ms",
                                    (json_int_t)clock(), "reason", reason))
                         .dump()};
    }
    void extend(int64_t until)
    {
        const int64_t most = clock() + 10000; /* max-hold-ms */

        until_ = std::max(until_, std::min(until, most));
    }
    json_t *running_json() const
    {
        json_t *list = json_array();

        for (const Run &r : running_) {
            int64_t ran = now_ms() - r.begun;
            int64_t percent = r.lasts
                                  ? (ran > 200 ? 100 : 0)
                                  : (r.length > 0 ? 100 * ran / r.length : 0);

            json_array_append_new(
                list,
                json_pack("[s,I,s,I,i]", r.task.c_str(), (json_int_t)r.run,
                          saved.c_str(),
                          (json_int_t)std::min<int64_t>(percent, 100), 1));
        }
        return list;
    }
    json_t *ended_json() const
    {
        json_t *list = json_array();

        for (const Ended &e : ended_) {
            if (json_array_size(list) == 500) {
                break;
            }
            json_array_append_new(
                list,
                json_pack("[I,s,I,s,s]", (json_int_t)e.number, e.task.c_str(),
                          (json_int_t)e.run, e.how.c_str(), saved.c_str()));
        }
        return list;
    }
    Reply hold(const Json &o, std::unique_lock<std::mutex> &lock)
    {
        int64_t until =
            now_ms() + std::min<int64_t>(o.number("wait-ms"), 2000);
        int64_t seen = o.number("last-seen");
        string id = id_;

        if (o.number("until-ms") > 0) {
            extend(o.number("until-ms"));
        }
        while (!ended_.empty() && ended_.front().number <= seen) {
            if (on_noted) {
                on_noted(ended_.front().task, ended_.front().run,
                         ended_.front().how);
            }
            ended_.erase(ended_.begin());
        }
        while (up_ && id == id_ && ended_.empty() && now_ms() < until) {
            changed_.wait_for(lock,
                              std::chrono::milliseconds(until - now_ms()));
        }
        if (!up_ || id != id_) {
            return {0, "", true};
        }
        return {200, Json(json_pack("{s:I,s:o,s:o}", "clock-ms",
                                    (json_int_t)clock(), "running",
                                    running_json(), "ended", ended_json()))
                         .dump()};
    }
    Reply start_run(const Json &o)
    {
        string task = o.text("task"), spec = o.text("task-spec");
        int64_t run = o.number("run");
        Course c = {atoll(spec.c_str()), "done"};

        for (const Run &r : running_) {
            if (r.task == task && r.run == run) {
                return ok();
            }
        }
        if (run <= barred_[task]) {
            extend(o.number("until-ms"));
            return reject("old");
        }
        if (o.number("until-ms") <= clock()) {
            return reject("late");
        }
        extend(o.number("until-ms"));
        if (course) {
            c = course(task, run, spec);
        }
        running_.push_back({task, run, now_ms(), c.length, spec == "lasts"});
        how_[task] = c.how;
        record.line("worker %s starts %s run %lld", id_.c_str(), task.c_str(),
                    (long long)run);
        if (on_start) {
            on_start({task, id_, spec, run, now_ms()});
        }
        return ok();
    }
    Reply ok()
    {
        return {
            200,
            Json(json_pack("{s:I}", "clock-ms", (json_int_t)clock())).dump()};
    }
    Reply handle(const Request &r)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        auto expected = r.headers.find("parsleyfall-expected-instance");
        Json o(r.body);

        if (!up_) {
            return {0, "", true};
        }
        if (r.method != "POST" || !json_is_object(o.v)) {
            return {r.path == "/health" ? 200 : 400, "{}"};
        }
        if (expected != r.headers.end() && expected->second != id_) {
            return {421,
                    Json(json_pack("{s:I}", "clock-ms", (json_int_t)clock()))
                        .dump()};
        }
        if (o.number("fencing-token") < fence_) {
            return reject("fence");
        }
        fence_ = o.number("fencing-token");
        if (r.path == "/hold") {
            return hold(o, lock);
        }
        if (r.path == "/run-start") {
            return start_run(o);
        }
        if (r.path == "/run-stop") {
            string task = o.text("task");

            barred_[task] = std::max(barred_[task], o.number("run"));
            for (size_t i = running_.size(); i-- > 0;) {
                if (running_[i].task == task &&
                    running_[i].run <= o.number("run")) {
                    end(i, "stopped");
                }
            }
            return ok();
        }
        return r.path == "/pace" ? ok() : Reply{404, "{}"};
    }

    struct Ended {
        int64_t number;
        string task;
        int64_t run;
        string how;
    };

    string ip_;
    int app_, control_;
    string service_, zone_;
    std::vector<string> labels_;
    Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool up_ = false, threads_ = false;
    string id_;
    int64_t born_ = 0, fence_ = 0, sequence_ = 0, until_ = 0, last_end_ = 0;
    std::vector<Run> running_;
    std::vector<Ended> ended_;
    std::map<string, int64_t> barred_; /* highest run stopped or ended */
    std::map<string, string> how_;
};

/* ---- the project's processes ----------------------------------------------
 */

struct Process {
    std::vector<string> words;
    string log;
    pid_t pid = -1;
};

/* A small deployment: three entries, and agents with their workers. */
class Deployment {
  public:
    static constexpr int FRONTEND = 8521, READY = 8523, CONTROL = 8526,
                         APP = 8529, STORE = 8524;
    static constexpr size_t ENTRIES = 3;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Worker>> workers;
    string key = "k-0123456789abcdef0123";

    Deployment(string root, size_t workers_wanted)
        : root_(std::move(root)), wanted_(workers_wanted)
    {
        char name[] = "/tmp/review-XXXXXX";

        dir_ = mkdtemp(name);
    }
    /* Ends all processes, and removes their files. */
    void end()
    {
        for (Process &p : entries_) {
            stop(p);
        }
        for (Process &p : agents_) {
            stop(p);
        }
        string command = "rm -rf '" + dir_ + "'";

        if (getenv("KEEP") == nullptr && system(command.c_str()) != 0) {
            fprintf(stderr, "left %s\n", dir_.c_str());
        }
    }
    string entry_ip(size_t i) const
    {
        return net_ + std::to_string(1 + i);
    }
    string agent_ip(size_t i) const
    {
        return net_ + std::to_string(21 + i);
    }
    const string &dir() const
    {
        return dir_;
    }

    /* Starts everything, and waits until it is ready. labels: of worker i. */
    bool start(const std::function<std::vector<string>(size_t)> &labels,
               const string &config)
    {
        if (!find_net()) {
            return false;
        }
        store = std::make_unique<Store>(net_ + "200", STORE);
        if (!store->open()) {
            return false;
        }
        store->put("op", "config", config);
        for (size_t i = 0; i < ENTRIES; i++) {
            string file = dir_ + "/entry-" + std::to_string(i) + ".yaml";

            write_settings("deploy/entry.yaml", file, entry_ip(i),
                           "client_facing-" + std::to_string(i), i, "");
            entries_.push_back({{"target/bin/parsleyfall", "serve", file},
                                dir_ + "/entry-" + std::to_string(i) + ".log",
                                -1});
            spawn(entries_[i]);
        }
        for (size_t i = 0; i < wanted_; i++) {
            string file = dir_ + "/agent-" + std::to_string(i) + ".yaml";

            write_settings("deploy/agent.yaml", file, agent_ip(i),
                           "side-" + std::to_string(i), i,
                           agent_ip(i) + ":" + std::to_string(APP));
            agents_.push_back({{"target/bin/parsleyfall-agent", "run", file},
                               dir_ + "/agent-" + std::to_string(i) + ".log",
                               -1});
            spawn(agents_[i]);
            workers.push_back(std::make_unique<Worker>(
                agent_ip(i), APP, CONTROL, "pool",
                "zone-" + std::to_string(i % 3), labels(i)));
            if (!workers[i]->start()) {
                return false;
            }
        }
        return wait(20000, [this]() {
            for (size_t i = 0; i < ENTRIES; i++) {
                if (call(entry_ip(i), READY, "GET", "/readiness",
                         {"Host: ready"}, "", 500)
                        .status != 200) {
                    return false;
                }
            }
            for (auto &w : workers) {
                if (!w->held()) {
                    return false;
                }
            }
            return true;
        });
    }
    static bool wait(int64_t ms, const std::function<bool()> &done)
    {
        int64_t end = now_ms() + ms;

        while (!done()) {
            if (now_ms() > end) {
                return false;
            }
            sleep_ms(50);
        }
        return true;
    }
    /* A requester's call at an entry. */
    Answer ask(size_t entry, const string &method, const string &path,
               const string &body = "", int64_t timeout_ms = 3000)
    {
        Answer a = call(entry_ip(entry), FRONTEND, method, path,
                        {"Host: one.example", "Authorization: Bearer " + key,
                         "Parsleyfall-Deadline-Ms: 3000"},
                        body, timeout_ms);

        record.line("requester: %s %s at entry %zu -> %d %.100s",
                    method.c_str(), path.c_str(), entry, a.status,
                    a.body.c_str());
        return a;
    }
    string state(size_t entry, const string &path)
    {
        Answer a = ask(entry, "GET", path);

        return a.status == 200 ? Json(a.body).text("state")
                               : std::to_string(a.status);
    }
    void kill_entry(size_t i, int sig)
    {
        record.line("signal %d to entry %zu", sig, i);
        kill(entries_[i].pid, sig);
    }
    void kill_agent(size_t i, int sig)
    {
        record.line("signal %d to agent %zu", sig, i);
        kill(agents_[i].pid, sig);
    }
    void restart_entry(size_t i)
    {
        waitpid(entries_[i].pid, nullptr, 0);
        record.line("entry %zu starts again", i);
        spawn(entries_[i]);
    }
    void restart_agent(size_t i)
    {
        waitpid(agents_[i].pid, nullptr, 0);
        record.line("agent %zu starts again", i);
        spawn(agents_[i]);
    }

  private:
    static bool is_free(const string &ip, int port)
    {
        sockaddr_in a = address_of(ip, port);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool ok = bind(fd, (sockaddr *)&a, sizeof(a)) == 0;

        ::close(fd);
        return ok;
    }
    /* Finds a part of the loopback range whose ports are free. */
    bool find_net()
    {
        std::mt19937 random((unsigned)getpid() ^ (unsigned)now_ms());

        for (int attempt = 0; attempt < 50; attempt++) {
            bool ok = true;

            net_ = "127." + std::to_string(1 + random() % 250) + "." +
                   std::to_string(random() % 250) + ".";
            ok = is_free(net_ + "200", STORE);
            for (size_t i = 0; ok && i < ENTRIES; i++) {
                for (int port : {FRONTEND, READY, CONTROL, 7015, 9464}) {
                    ok = ok && is_free(entry_ip(i), port);
                }
            }
            for (size_t i = 0; ok && i < wanted_; i++) {
                for (int port : {CONTROL, APP, 9464}) {
                    ok = ok && is_free(agent_ip(i), port);
                }
            }
            if (ok) {
                return true;
            }
        }
        return false;
    }
    static void replace(string &s, const string &from, const string &to)
    {
        for (size_t at = 0; (at = s.find(from, at)) != string::npos;
             at += to.size()) {
            s.replace(at, from.size(), to);
        }
    }
    /* Drops a section of a template. */
    static void drop_section(string &s, const string &name)
    {
        size_t from = s.find("{{#" + name + "}}");
        string end = "{{/" + name + "}}";
        size_t to = s.find(end);

        if (from != string::npos && to != string::npos) {
            s.erase(from, to + end.size() - from);
        }
    }
    /* Fills in a template of the deploy file, as the platform does. The bounds
     * are those of the smallest deployment's sheet. */
    void write_settings(const string &name, const string &file,
                        const string &ip, const string &node, size_t number,
                        const string &app)
    {
        std::ifstream in(root_ + "/" + name);
        std::stringstream text;
        string seeds;

        text << in.rdbuf();
        string s = text.str();

        for (size_t i = 0; i < ENTRIES; i++) {
            seeds += (i > 0 ? "," : "") + string("\"") + entry_ip(i) + ":" +
                     std::to_string(CONTROL) + "\"";
        }
        replace(s, "{{#seed-nodes}}\"{{.}}\"{{,}}{{/seed-nodes}}", seeds);
        drop_section(s, "advice");
        const std::vector<std::pair<string, string>> values = {
            {"node-name", node},
            {"region", "region-1"},
            {"zone", "zone-" + std::to_string(number % 3)},
            {"ip", ip},
            {"internal-port-range.1", "7015"},
            {"platform.address", net_ + "200:" + std::to_string(STORE)},
            {"listen.frontend", ip + ":" + std::to_string(FRONTEND)},
            {"listen.ready", ip + ":" + std::to_string(READY)},
            {"listen.control", ip + ":" + std::to_string(CONTROL)},
            {"app", app},
            {"bounds.remote-factor", "3"},
            {"bounds.max-hold-ms", "10000"},
            {"bounds.stop-timeout-ms", "400"},
            {"bounds.early_ms", "250"},
            {"bounds.status_s", "120"},
            {"limits.cpu-share", "0.25"},
            {"limits.cpu-cores", "1"},
            {"limits.link-mbps", "1000.0"},
            {"limits.memory-mb", "260"}};

        for (const auto &v : values) {
            replace(s, "{{" + v.first + "}}", v.second);
        }
        if (s.find("{{") != string::npos) {
            fprintf(stderr, "%s: a field is not filled in\n", name.c_str());
        }
        std::ofstream(file) << s;
    }
    void spawn(Process &p)
    {
        pid_t parent = getpid();

        p.pid = fork();
        if (p.pid == 0) {
            std::vector<char *> words;
            int fd = open(p.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);

            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent || chdir(root_.c_str()) != 0) {
                _exit(127);
            }
            setenv("PARSLEYFALL_SETTINGS", p.words[2].c_str(), 1);
            dup2(fd, 1);
            dup2(fd, 2);
            for (string &w : p.words) {
                words.push_back(&w[0]);
            }
            words.push_back(nullptr);
            execv(words[0], words.data());
            _exit(127);
        }
    }
    static void stop(Process &p)
    {
        if (p.pid > 0) {
            kill(p.pid, SIGKILL);
            waitpid(p.pid, nullptr, 0);
            p.pid = -1;
        }
    }

    string root_, dir_, net_;
    size_t wanted_;
    std::vector<Process> entries_, agents_;
};

/* Ends the case: all processes that it started, then this one, whose threads
 * still serve. */
[[noreturn]] inline void
finish(std::unique_ptr<Deployment> &d, int status)
{
    d->end();
    record.line("exit %d", status);
    _exit(status);
}

/* The configuration of the scripts: one service, a queue for urgent and one
 * for patient work, one tenant. */
inline string
usual_config(const string &key, int version = 1)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r-urgent\",\"host\":\"one.example\","
           "\"prefix\":\"/urgent/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
           "\"target-duration-ms\":250,\"priority\":0,\"service\":\"pool\","
           "\"max-attempts\":3,\"stretch\":1.5,\"allow-anonymous\":false},"
           "{\"name\":\"r-batch\",\"host\":\"one.example\",\"prefix\":"
           "\"/batch/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
           "\"target-duration-ms\":3000,\"priority\":2,\"service\":\"pool\","
           "\"max-attempts\":3,\"stretch\":3.0,\"allow-anonymous\":false}],"
           "\"services\":[{\"name\":\"pool\",\"health-check-path\":"
           "\"/health\",\"max-connections\":64,\"protocol\":\"h1\",\"tls\":"
           "false,\"admission-check\":true,\"spare\":false}],\"limits\":{"
           "\"max-header-bytes\":16384,\"max-body-bytes\":262144},"
           "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"" +
           key + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":16}}]}";
}

/* Arguments: the repository's root and the folder of the case. */
struct Setting {
    string root, folder;
    bool trouble;
};

inline Setting
setting(int argc, char **argv)
{
    const char *t = getenv("TROUBLE");

    signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        fprintf(stderr, "usage: %s ROOT FOLDER\n", argv[0]);
        exit(2);
    }
    record.open(string(argv[2]) + "/record.txt");
    std::thread([]() {
        sleep_ms(116000);
        record.line("the time is over; the case could not run");
        _exit(2);
    }).detach();
    return {argv[1], argv[2], t == nullptr || strcmp(t, "0") != 0};
}

} // namespace sim

#endif
