/*
 * Helpers for the tests that run processes: starts programs of the build with
 * their output in files, writes settings, sends HTTP requests by libcurl,
 * reads JSON by jansson and waits for a condition with a timeout. No check
 * depends on a fixed sleep.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <jansson.h>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harness {

/* Polls until the predicate holds or the timeout ends. Returns whether the
 * predicate held. */
bool WaitFor(const std::function<bool()> &predicate, int64_t ms = 10000);

/* A temporary directory, which the destructor removes. */
class TempDir {
  public:
    TempDir();
    ~TempDir();
    TempDir(const TempDir &) = delete;
    TempDir &operator=(const TempDir &) = delete;
    std::string Path(const std::string &name) const;
    /* Writes a file, such as settings in YAML, and returns its path. */
    std::string Write(const std::string &name, const std::string &text) const;

  private:
    std::string path;
};

/* Returns the contents of a file; empty when it does not exist. */
std::string ReadFile(const std::string &path);

/* A child process that runs a program of the build (a file in PF_BIN_DIR).
 * The destructor kills and reaps this child only. */
class Process {
  public:
    Process(const TempDir &dir, const std::string &program,
            const std::vector<std::string> &args,
            const std::string &name = "");
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void Signal(int signum) const; /* SIGKILL, SIGSTOP, SIGCONT, ... */
    bool Running();
    /* Waits for the process to end. Returns its exit status, 128 + the number
     * of the signal that ended it, or -1 on timeout. */
    int Wait(int64_t ms = 10000);
    /* Sends SIGTERM, then waits as Wait does. */
    int Terminate(int64_t ms = 10000);
    std::string Out() const;
    std::string Err() const;
    pid_t Pid() const
    {
        return pid;
    }

  private:
    pid_t pid = -1;
    int status = -1;
    bool reaped = false;
    std::string out, err;
};

/* Waits for a port file and returns the port; 0 on timeout. */
int ReadPort(const std::string &path);

/* An owned JSON value. */
struct JsonDeleter {
    void operator()(json_t *j) const
    {
        json_decref(j);
    }
};
using Json = std::unique_ptr<json_t, JsonDeleter>;
Json Parse(const std::string &text);
/* Returns the integer at a path such as "by_id/a/starts"; -1 when there is
 * none. Parts of the path are keys of objects and indices of arrays. */
int64_t Number(const json_t *j, const std::string &path);
/* Returns the string at such a path; empty when there is none. */
std::string Text(const json_t *j, const std::string &path);

struct Reply {
    int status = 0;                             /* 0: no response */
    int curl = 0;                               /* CURLcode */
    std::map<std::string, std::string> headers; /* names in lower case */
    std::string body;
    Json json() const
    {
        return Parse(body);
    }
};

/* A client that keeps its connection open between requests. */
class Client {
  public:
    Client();
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    /* Sends a request and waits for the response. */
    Reply Send(const std::string &method, const std::string &url,
               const std::string &body = "",
               const std::vector<std::string> &headers = {},
               int64_t timeout_ms = 10000);

  private:
    void *curl;
};

/* Sends one request on a new connection and waits for the response. */
Reply Http(const std::string &method, const std::string &url,
           const std::string &body = "",
           const std::vector<std::string> &headers = {},
           int64_t timeout_ms = 10000);

/* A stand-in of tests/fakes. The constructor starts it and returns once it
 * listens. */
class Fake {
  public:
    Fake(const TempDir &dir, const std::string &program,
         std::vector<std::string> args = {}, const std::string &name = "");
    std::string Url(const std::string &path = "") const;
    std::string Address() const;
    Process process;
    int port;
};

} /* namespace harness */

#endif
