#include "sim.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

namespace sim {

namespace {

FILE *record;
std::mutex record_lock;
const auto begun = std::chrono::steady_clock::now();

sockaddr_in
AddressOf(const std::string &ip, int port)
{
    sockaddr_in sa = {};

    sa.sin_family = AF_INET;
    sa.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &sa.sin_addr);
    return sa;
}

bool
SendAll(int fd, const std::string &text)
{
    size_t at = 0;

    while (at < text.size()) {
        ssize_t n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);

        if (n <= 0) {
            return false;
        }
        at += static_cast<size_t>(n);
    }
    return true;
}

std::string
Lower(std::string s)
{
    std::transform(s.begin(), s.end(), s.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return s;
}

std::string
Unescape(const std::string &s)
{
    std::string out;

    for (size_t i = 0; i < s.size(); i++) {
        if (s[i] == '%' && i + 2 < s.size()) {
            out += static_cast<char>(
                strtol(s.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        else {
            out += s[i];
        }
    }
    return out;
}

/* Reads a message with Content-Length; buffer keeps what comes after it. Until
 * deadline_ms of Now(), -1: no limit. */
bool
ReadMessage(int fd, std::string &buffer, int64_t deadline_ms,
            std::string &head, std::string &body)
{
    size_t end = std::string::npos, length = 0;
    char chunk[16384];

    for (;;) {
        if (end == std::string::npos) {
            end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::string lower = Lower(buffer.substr(0, end));
                size_t at = lower.find("\r\ncontent-length:");

                length = at == std::string::npos
                             ? 0
                             : strtoul(lower.c_str() + at + 17, nullptr, 10);
            }
        }
        if (end != std::string::npos && buffer.size() >= end + 4 + length) {
            head = buffer.substr(0, end);
            body = buffer.substr(end + 4, length);
            buffer.erase(0, end + 4 + length);
            return true;
        }
        pollfd p = {fd, POLLIN, 0};
        int64_t left = deadline_ms < 0 ? 60000 : deadline_ms - Now();

        if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

        if (n <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<size_t>(n));
    }
}

Request
Parse(const std::string &head, const std::string &body)
{
    Request r;
    size_t space = head.find(' '), second = head.find(' ', space + 1);
    std::string target = head.substr(space + 1, second - space - 1);
    size_t mark = target.find('?'), line = head.find("\r\n");

    r.method = head.substr(0, space);
    r.path = Unescape(target.substr(0, mark));
    r.body = body;
    while (mark != std::string::npos) {
        size_t next = target.find('&', mark + 1);
        std::string pair = target.substr(
            mark + 1, next == std::string::npos ? next : next - mark - 1);
        size_t equals = pair.find('=');

        if (equals != std::string::npos) {
            r.query[pair.substr(0, equals)] =
                Unescape(pair.substr(equals + 1));
        }
        mark = next;
    }
    while (line != std::string::npos) {
        size_t next = head.find("\r\n", line + 2);
        std::string text = head.substr(
            line + 2, next == std::string::npos ? next : next - line - 2);
        size_t colon = text.find(':');

        if (colon != std::string::npos) {
            size_t from = text.find_first_not_of(' ', colon + 1);

            r.headers[Lower(text.substr(0, colon))] =
                from == std::string::npos ? "" : text.substr(from);
        }
        line = next;
    }
    return r;
}

} /* namespace */

int64_t
Now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - begun)
        .count();
}

void
Sleep(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void
OpenRecord(const std::string &path)
{
    record = fopen(path.c_str(), "w");
    if (record == nullptr) {
        throw std::runtime_error("can't write " + path);
    }
}

void
Record(const char *format, ...)
{
    std::lock_guard<std::mutex> guard(record_lock);
    char text[2000];
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (FILE *f : {record, stdout}) {
        if (f != nullptr) {
            fprintf(f, "%8.3f s  %s\n", static_cast<double>(Now()) / 1000.0,
                    text);
            fflush(f);
        }
    }
}

bool
Until(int64_t ms, const std::function<bool()> &holds)
{
    int64_t end = Now() + ms;

    while (!holds()) {
        if (Now() > end) {
            return false;
        }
        Sleep(20);
    }
    return true;
}

bool
Trouble()
{
    const char *value = getenv("TROUBLE");

    return value == nullptr || strcmp(value, "0") != 0;
}

Server::Server(const std::string &ip, int wanted_port, Handler h)
    : handler(std::move(h))
{
    sockaddr_in sa = AddressOf(ip, wanted_port);
    socklen_t len = sizeof(sa);
    int on = 1;

    listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listening, reinterpret_cast<sockaddr *>(&sa), sizeof(sa)) != 0 ||
        listen(listening, 128) != 0) {
        close(listening);
        throw std::runtime_error("can't listen on " + ip);
    }
    getsockname(listening, reinterpret_cast<sockaddr *>(&sa), &len);
    port = ntohs(sa.sin_port);
    accepting = std::thread([this] { Accept(); });
}

Server::~Server()
{
    Close();
}

void
Server::Close()
{
    if (closed.exchange(true)) {
        return;
    }
    shutdown(listening, SHUT_RDWR);
    accepting.join();
    close(listening);
    {
        std::lock_guard<std::mutex> guard(lock);

        for (int fd : open) {
            shutdown(fd, SHUT_RDWR);
        }
    }
    while (threads > 0) {
        Sleep(5);
    }
}

void
Server::Accept()
{
    while (!closed) {
        int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        int on = 1;

        if (fd < 0) {
            return;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        threads++;
        std::thread([this, fd] {
            Serve(fd);
            threads--;
        }).detach();
    }
}

void
Server::Serve(int fd)
{
    std::string buffer, head, body;

    {
        std::lock_guard<std::mutex> guard(lock);
        open.insert(fd);
    }
    while (!closed && ReadMessage(fd, buffer, -1, head, body)) {
        Response r = handler(Parse(head, body));

        if (r.drop) {
            linger now = {1, 0}; /* close() resets the connection */

            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        if (closed || r.drop) {
            break;
        }
        if (!SendAll(fd, "HTTP/1.1 " + std::to_string(r.status) +
                             " S\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(r.body.size()) + "\r\n\r\n" +
                             r.body)) {
            break;
        }
    }
    std::lock_guard<std::mutex> guard(lock);
    open.erase(fd);
    close(fd);
}

Connection::Connection(const std::string &ip, int port)
{
    sockaddr_in sa = AddressOf(ip, port);

    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<sockaddr *>(&sa), sizeof(sa)) != 0) {
        close(fd);
        fd = -1;
    }
}

Connection::~Connection()
{
    if (fd >= 0) {
        close(fd);
    }
}

Answer
Connection::Send(const std::string &method, const std::string &path,
                 const std::string &headers, const std::string &body,
                 int64_t timeout_ms)
{
    std::string head, text;
    Answer a;

    if (fd >= 0 &&
        SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers +
                        "Content-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body) &&
        ReadMessage(fd, buffer, Now() + timeout_ms, head, text)) {
        a.status = atoi(head.c_str() + head.find(' ') + 1);
        a.body = text;
    }
    return a;
}

Answer
Call(const std::string &ip, int port, const std::string &method,
     const std::string &path, const std::string &headers,
     const std::string &body, int64_t timeout_ms)
{
    return Connection(ip, port).Send(method, path, headers, body, timeout_ms);
}

} /* namespace sim */
