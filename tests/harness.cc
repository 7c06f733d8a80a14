#include "harness.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace harness {

static const int POLL_MS = 5;

bool
WaitFor(const std::function<bool()> &predicate, int64_t ms)
{
    using clock = std::chrono::steady_clock;
    const auto until = clock::now() + std::chrono::milliseconds(ms);

    while (!predicate()) {
        if (clock::now() >= until) {
            return predicate();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(POLL_MS));
    }
    return true;
}

TempDir::TempDir()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "pf-test-XXXXXX").string();

    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("mkdtemp failed");
    }
    path = name;
}

TempDir::~TempDir()
{
    std::error_code ignored;

    std::filesystem::remove_all(path, ignored);
}

std::string
TempDir::Path(const std::string &name) const
{
    return path + "/" + name;
}

std::string
TempDir::Write(const std::string &name, const std::string &text) const
{
    std::ofstream(Path(name)) << text;
    return Path(name);
}

std::string
ReadFile(const std::string &path)
{
    std::ifstream in(path);
    std::stringstream text;

    text << in.rdbuf();
    return text.str();
}

/* Redirects a file descriptor of the child process to a file. */
static void
redirect(const std::string &path, int fd)
{
    int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

    dup2(file, fd);
    close(file);
}

Process::Process(const TempDir &dir, const std::string &program,
                 const std::vector<std::string> &args, const std::string &name)
    : out(dir.Path((name.empty() ? program : name) + ".out")),
      err(dir.Path((name.empty() ? program : name) + ".err"))
{
    std::string binary = std::string(PF_BIN_DIR) + "/" + program;
    std::vector<char *> argv = {binary.data()};

    for (const auto &a : args) {
        argv.push_back(const_cast<char *>(a.c_str()));
    }
    argv.push_back(nullptr);
    pid = fork();
    if (pid < 0) {
        throw std::runtime_error("fork failed");
    }
    if (pid == 0) {
        redirect(out, STDOUT_FILENO);
        redirect(err, STDERR_FILENO);
        execv(binary.c_str(), argv.data());
        _exit(127);
    }
}

Process::~Process()
{
    if (!reaped) {
        Signal(SIGKILL);
        waitpid(pid, nullptr, 0);
    }
}

void
Process::Signal(int signum) const
{
    if (!reaped) {
        kill(pid, signum);
    }
}

bool
Process::Running()
{
    int raw;

    if (!reaped && waitpid(pid, &raw, WNOHANG) == pid) {
        reaped = true;
        status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
    }
    return !reaped;
}

int
Process::Wait(int64_t ms)
{
    return WaitFor([this] { return !Running(); }, ms) ? status : -1;
}

int
Process::Terminate(int64_t ms)
{
    Signal(SIGTERM);
    return Wait(ms);
}

std::string
Process::Out() const
{
    return ReadFile(out);
}

std::string
Process::Err() const
{
    return ReadFile(err);
}

int
ReadPort(const std::string &path)
{
    WaitFor([&path] { return !ReadFile(path).empty(); });
    return std::atoi(ReadFile(path).c_str());
}

Json
Parse(const std::string &text)
{
    return Json(
        json_loadb(text.data(), text.size(), JSON_DECODE_ANY, nullptr));
}

/* Returns the value at a path of object keys and array indices, or NULL. */
static const json_t *
value_at(const json_t *j, const std::string &path)
{
    std::stringstream parts(path);
    std::string part;

    while (std::getline(parts, part, '/')) {
        j = json_is_array(j)
                ? json_array_get(j, std::strtoul(part.c_str(), nullptr, 10))
                : json_object_get(j, part.c_str());
    }
    return j;
}

int64_t
Number(const json_t *j, const std::string &path)
{
    const json_t *v = value_at(j, path);

    return json_is_integer(v) ? json_integer_value(v) : -1;
}

std::string
Text(const json_t *j, const std::string &path)
{
    const char *s = json_string_value(value_at(j, path));

    return s == nullptr ? "" : s;
}

static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
    static_cast<Reply *>(arg)->body.append(data, size * n);
    return size * n;
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
    std::string line(data, size * n);
    size_t colon = line.find(':');

    if (colon == std::string::npos) {
        return size * n;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    size_t value_start = line.find_first_not_of(' ', colon + 1);
    size_t value_end = line.find_last_not_of("\r\n");
    if (value_start != std::string::npos && value_end != std::string::npos &&
        value_end >= value_start) {
        static_cast<Reply *>(arg)->headers[name] =
            line.substr(value_start, value_end - value_start + 1);
    }
    return size * n;
}

Client::Client() : curl(curl_easy_init())
{
}

Client::~Client()
{
    curl_easy_cleanup(curl);
}

Reply
Client::Send(const std::string &method, const std::string &url,
             const std::string &body, const std::vector<std::string> &headers,
             int64_t timeout_ms)
{
    Reply reply;
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    long status = 0;

    for (const auto &h : headers) {
        list = curl_slist_append(list, h.c_str());
    }
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply);
    if (method == "POST" || method == "PUT") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body.data());
    }
    reply.curl = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    curl_slist_free_all(list);
    return reply;
}

Reply
Http(const std::string &method, const std::string &url,
     const std::string &body, const std::vector<std::string> &headers,
     int64_t timeout_ms)
{
    return Client().Send(method, url, body, headers, timeout_ms);
}

/* Adds the option that names the port file. */
static std::vector<std::string>
with_port_file(std::vector<std::string> args, const std::string &option,
               const std::string &path)
{
    args.push_back(option);
    args.push_back(path);
    return args;
}

static std::string
port_option(const std::string &program)
{
    return program == "fake-relay" ? "--listen-port-file" : "--port-file";
}

Fake::Fake(const TempDir &dir, const std::string &program,
           std::vector<std::string> args, const std::string &name)
    : process(
          dir, program,
          with_port_file(std::move(args), port_option(program),
                         dir.Path((name.empty() ? program : name) + ".port")),
          name),
      port(ReadPort(dir.Path((name.empty() ? program : name) + ".port")))
{
    if (port == 0) {
        throw std::runtime_error(program +
                                 " wrote no port file before the timeout");
    }
}

std::string
Fake::Url(const std::string &path) const
{
    return "http://" + Address() + path;
}

std::string
Fake::Address() const
{
    return "127.0.0.1:" + std::to_string(port);
}

} /* namespace harness */
