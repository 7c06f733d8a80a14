/*
 * Help for the tests that run processes: programs of the build with their
 * output in files, settings, HTTP by libcurl, JSON by jansson, and waiting
 * for a condition with a deadline. Nothing here proves anything by sleeping.
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

/* Polls until the predicate holds or the time is over; says which. */
bool WaitFor(const std::function<bool()> &predicate, int64_t ms = 10000);

/* A folder that is removed at the end. */
class TempDir {
  public:
    TempDir();
    ~TempDir();
    TempDir(const TempDir &) = delete;
    TempDir &operator=(const TempDir &) = delete;
    std::string Path(const std::string &name) const;
    /* Writes a file (settings in YAML, say) and returns its path. */
    std::string Write(const std::string &name, const std::string &text) const;

  private:
    std::string path;
};

/* Contents of a file; empty when there is none. */
std::string ReadFile(const std::string &path);

/* A program of the build (by its name in PF_BIN_DIR) that this test started.
 * The destructor kills and reaps it, and nothing else. */
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
    /* Waits for its end; its exit status, 128 + signal, or -1 in time. */
    int Wait(int64_t ms = 10000);
    /* SIGTERM, then Wait. */
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

/* Waits for a port file; 0 when it did not come. */
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
/* A number at a path like "by_id/a/starts"; -1 when it is not there. */
int64_t Number(const json_t *j, const std::string &path);
/* A string at a path; empty when it is not there. */
std::string Text(const json_t *j, const std::string &path);

struct Reply {
    int status = 0;                             /* 0: no answer */
    int curl = 0;                               /* CURLcode */
    std::map<std::string, std::string> headers; /* names in lower case */
    std::string body;
    Json json() const
    {
        return Parse(body);
    }
};

/* One request on a connection of its own. */
Reply Http(const std::string &method, const std::string &url,
           const std::string &body = "",
           const std::vector<std::string> &headers = {},
           int64_t timeout_ms = 10000);

/* A stand-in with a port file, started and listening. */
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
