#include "harness.h"
#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

using harness::Fake;
using harness::Number;
using harness::TempDir;

namespace {

/* Result of a call. */
struct Outcome {
    bool done = false;
    int err = 0;
    int status = 0;
    bool refused = false;
    std::string body;
};

/* Takes four seconds over the test's link of 100,000 bytes per second. */
const size_t LONG_RESPONSE_BYTES = 400000;

struct Options {
    std::string fake;
    std::string id;
    bool once = false;
    size_t max_body = 0;
    int64_t timeout_ms = 5000;
    int64_t stall_ms = 0;
    const char *method = "POST";
};

/* A client on its own event loop. */
class Http : public testing::Test {
  protected:
    void TearDown() override
    {
        Http_ClientFree(client);
        ev_loop_destroy(loop);
    }

    void RunUntil(const std::function<bool()> &predicate)
    {
        ASSERT_TRUE(harness::WaitFor([&] {
            ev_run(loop, EVRUN_NOWAIT);
            return predicate();
        }));
    }

    void Start(const std::string &url, const std::string &body,
               const Options &options, Outcome *o)
    {
        const struct http_header headers[] = {
            {"X-Fake", options.fake.c_str()},
            {"X-Request-Id", options.id.c_str()}};
        struct http_request request = {};

        request.method = options.method;
        request.url = url.c_str();
        request.headers = headers;
        request.header_count = 2;
        request.body = body.empty() ? nullptr : body.data();
        request.body_len = body.size();
        request.once = options.once;
        request.max_body = options.max_body;
        request.timeout_ms = options.timeout_ms;
        request.stall_ms = options.stall_ms;
        Http_Call(client, &request, OnDone, o);
    }

    Outcome Call(const std::string &url, const std::string &body,
                 const Options &options)
    {
        Outcome o;

        Start(url, body, options, &o);
        RunUntil([&] { return o.done; });
        return o;
    }

    static void OnDone(void *arg, struct http_result *result)
    {
        auto *o = static_cast<Outcome *>(arg);

        EXPECT_FALSE(o->done);
        o->done = true;
        o->err = result->err;
        o->status = result->status;
        o->refused = result->refused;
        o->body.assign(result->body.data ? result->body.data : "",
                       result->body.len);
    }

    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct http_client *client = Http_ClientNew(loop, 8);
};

/* A server on the client's loop; it leaves requests to /hold unanswered, and
 * closes the connection of requests to /close without a response. */
class HttpServer : public Http {
  protected:
    void SetUp() override
    {
        const struct http_limits limits = {1000, 16384, 16, 4, 1000};

        server =
            Http_ServerNew(loop, "127.0.0.1", 0, &limits, OnRequest, this);
        ASSERT_NE(server, nullptr);
    }

    void TearDown() override
    {
        Http_ServerFree(server);
        Http::TearDown();
    }

    static void OnRequest(void *arg, struct http_exchange *ex)
    {
        auto *self = static_cast<HttpServer *>(arg);
        const struct buf *body = Http_Body(ex);

        self->handled++;
        if (std::string(Http_Path(ex)) == "/long") {
            const std::string text(LONG_RESPONSE_BYTES, 'x');

            Http_Reply(ex, 200, "text/plain", text.data(), text.size());
            return;
        }
        if (std::string(Http_Path(ex)) == "/close") {
            shutdown(Http_Socket(ex), SHUT_RDWR);
        }
        if (std::string(Http_Path(ex)) == "/hold") {
            self->held.push_back(ex);
            return;
        }
        Http_Reply(ex, 200, "text/plain", body->data, body->len);
    }

    std::string Url(const std::string &path)
    {
        return "http://127.0.0.1:" + std::to_string(Http_ServerPort(server)) +
               path;
    }

    /* Connects a client that sends the given bytes. */
    int Connect(const std::string &bytes)
    {
        struct sockaddr_in sa = {};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        sa.sin_family = AF_INET;
        sa.sin_port = htons(static_cast<uint16_t>(Http_ServerPort(server)));
        sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr *>(&sa), sizeof(sa)),
                  0);
        EXPECT_EQ(write(fd, bytes.data(), bytes.size()),
                  static_cast<ssize_t>(bytes.size()));
        fcntl(fd, F_SETFL, O_NONBLOCK);
        return fd;
    }

    /* Returns what arrives until the server closes the connection. */
    std::string ReadToEnd(int fd)
    {
        std::string all;

        RunUntil([&] {
            char chunk[4096];
            ssize_t n = read(fd, chunk, sizeof(chunk));
            if (n > 0) {
                all.append(chunk, static_cast<size_t>(n));
            }
            return n == 0 || (n < 0 && errno != EAGAIN);
        });
        close(fd);
        return all;
    }

    struct http_server *server = nullptr;
    std::vector<struct http_exchange *> held;
    int handled = 0;
};

} /* namespace */

/* An upstream truncates its response, closes, hangs or sends too much. The
 * caller must not take a partial response for a complete one, nor a request
 * that may have run for one that did not. */
TEST_F(Http, ResultsOfAnUpstreamThatMisbehaves)
{
    TempDir dir;
    Fake up(dir, "fake-upstream", {"--slots", "20"});
    static const struct {
        const char *fake;
        size_t max_body;
        int64_t timeout_ms;
        int err;
        int status;
    } cases[] = {
        {"", 0, 5000, ERR_OK, 200},
        {"late=20,slow=20", 0, 5000, ERR_OK, 200},
        {"error", 0, 5000, ERR_OK, 500},
        {"truncate", 0, 5000, ERR_CUT, 200},
        {"no-length", 0, 5000, ERR_CUT, 200},
        {"close", 0, 5000, ERR_CUT, 0},
        {"hang", 0, 300, ERR_TIMEOUT, 0},
        {"", 5, 5000, ERR_TOOBIG, 200},
    };
    for (const auto &c : cases) {
        Outcome o = Call(up.Url("/x"), "hello",
                         {c.fake, "a", true, c.max_body, c.timeout_ms});
        EXPECT_EQ(o.err, c.err) << c.fake;
        EXPECT_EQ(o.status, c.status) << c.fake;
        if (c.err == ERR_OK && c.status == 200) {
            EXPECT_EQ(o.body, "done:hello") << c.fake;
        }
    }
    auto counts = harness::Http("GET", up.Url("/counts")).json();
    EXPECT_EQ(Number(counts.get(), "by_id/a/starts"), 8);
}

TEST_F(Http, RefusedConnectionIsUnreachable)
{
    TempDir dir;
    Fake up(dir, "fake-upstream");

    up.process.Signal(SIGKILL);
    up.process.Wait();
    auto o = Call(up.Url("/x"), "hello", {});
    EXPECT_EQ(o.err, ERR_UNREACHABLE);
    EXPECT_TRUE(o.refused);
}

/* Guards against a hung peer that is taken for one that is gone. Nothing is
 * sent in both cases, but only the kernel's refusal shows that no process
 * listens. Here the backlog is full, so the connect times out. */
TEST_F(Http, ConnectTimeoutIsNotRefused)
{
    int listener = socket(AF_INET, SOCK_STREAM, 0), filler[4];
    struct sockaddr_in at = {};
    socklen_t len = sizeof(at);

    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(bind(listener, (struct sockaddr *)&at, len), 0);
    ASSERT_EQ(listen(listener, 0), 0);
    ASSERT_EQ(getsockname(listener, (struct sockaddr *)&at, &len), 0);
    for (int &fd : filler) {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(fd, (struct sockaddr *)&at, len);
    }
    auto o = Call("http://127.0.0.1:" + std::to_string(ntohs(at.sin_port)),
                  "hello", {});
    EXPECT_EQ(o.err, ERR_UNREACHABLE);
    EXPECT_FALSE(o.refused);
    for (int fd : filler) {
        close(fd);
    }
    close(listener);
}

/* Guards against a request that may run only once being sent twice. The
 * upstream receives it on a reused connection, starts the work and closes
 * without a response; libcurl would then send the request again by itself, as
 * the connection might have been closed before. The caller gets ERR_CUT. */
TEST_F(Http, OnceIsNeverSentTwice)
{
    TempDir dir;
    Fake up(dir, "fake-upstream");
    Options first, second;

    first.id = "warm";
    second.id = "once";
    second.fake = "close";
    second.once = true;
    EXPECT_EQ(Call(up.Url("/x"), "hello", first).err, ERR_OK);
    EXPECT_EQ(Call(up.Url("/x"), "hello", second).err, ERR_CUT);
    auto counts = harness::Http("GET", up.Url("/counts")).json();
    EXPECT_EQ(Number(counts.get(), "by_id/once/starts"), 1);
}

/* Guards against libcurl's silent second try of a request whose reused
 * connection closed without a response. */
TEST_F(HttpServer, OnlyAGetIsRepeatedOnAnotherConnection)
{
    static const struct {
        const char *method;
        const char *body;
        bool once;
        int received;
    } cases[] = {{"POST", "hello", false, 1}, {"POST", "hello", true, 1},
                 {"POST", "", false, 1},      {"PUT", "hello", false, 1},
                 {"DELETE", "", false, 1},    {"GET", "", false, 2},
                 {"GET", "", true, 1}};

    for (const auto &c : cases) {
        Options options;

        ASSERT_EQ(Call(Url("/x"), "warm", options).err, ERR_OK);
        handled = 0;
        options.method = c.method;
        options.once = c.once;
        EXPECT_EQ(Call(Url("/close"), c.body, options).err, ERR_CUT)
            << c.method;
        EXPECT_EQ(handled, c.received) << c.method << " once " << c.once;
    }
}

/* The upstream crashes while it processes a request on a reused connection.
 * libcurl sends the request again by itself and can't connect, but the first
 * copy had arrived: the caller must not get a result that means "not sent". */
TEST_F(Http, UpstreamDeathAfterSendingIsNotUnreachable)
{
    TempDir dir;
    Fake up(dir, "fake-upstream");
    Options warm, hang;
    Outcome o;

    hang.id = "a";
    hang.fake = "hang";
    EXPECT_EQ(Call(up.Url("/x"), "hello", warm).err, ERR_OK);
    Start(up.Url("/x"), "hello", hang, &o);
    RunUntil([&] {
        auto counts = harness::Http("GET", up.Url("/counts")).json();
        return Number(counts.get(), "by_id/a/starts") == 1;
    });
    up.process.Signal(SIGKILL);
    up.process.Wait();
    RunUntil([&] { return o.done; });
    EXPECT_EQ(o.err, ERR_CUT);
}

/* A network device between client and upstream loses its state: open
 * connections accept data and never answer, and new ones work. One call times
 * out; the next must not try the other dead connections one by one. */
TEST_F(Http, OneTimeoutRetiresAllOpenConnections)
{
    TempDir dir;
    Fake up(dir, "fake-upstream", {"--service-ms", "50"});
    Fake relay(dir, "fake-relay", {"--to", up.Address()});
    Outcome warm[4], o;
    Options options;

    for (auto &w : warm) {
        Start(relay.Url("/x"), "hello", options, &w);
    }
    RunUntil([&] {
        return warm[0].done && warm[1].done && warm[2].done && warm[3].done;
    });
    relay.process.Signal(SIGUSR1);
    options.timeout_ms = 1000;
    do {
        o = Call(relay.Url("/x"), "hello", options);
    } while (o.err == ERR_OK); /* until the relay has handled the signal */
    EXPECT_EQ(o.err, ERR_TIMEOUT);
    EXPECT_EQ(Call(relay.Url("/x"), "hello", options).err, ERR_OK);
}

/* A response takes longer over its link than the call's time-out, so that each
 * retry would start again from the first byte and never complete. With a
 * stall_ms the response continues past the time-out and completes, and one
 * that stops arriving still times out. */
TEST_F(HttpServer, SteadyTransferContinuesPastTheCallTimeout)
{
    static const struct {
        const char *what;
        int64_t stall_ms;
        bool stalls;
        int err;
    } cases[] = {{"goes-on", 2000, false, ERR_OK},
                 {"may-not", 0, false, ERR_TIMEOUT},
                 {"falls-silent", 2000, true, ERR_TIMEOUT}};
    TempDir dir;

    for (const auto &c : cases) {
        Fake relay(dir, "fake-relay",
                   {"--bytes-per-s", "100000", "--to",
                    "127.0.0.1:" + std::to_string(Http_ServerPort(server))},
                   c.what);
        Outcome o;
        Options options;

        options.timeout_ms = 500;
        options.stall_ms = c.stall_ms;
        Start(relay.Url("/long"), "", options, &o);
        if (c.stalls) {
            RunUntil([&] { return handled > 0; });
            relay.process.Signal(SIGUSR1);
        }
        RunUntil([&] { return o.done; });
        EXPECT_EQ(o.err, c.err) << c.what;
        EXPECT_EQ(o.body.size() == LONG_RESPONSE_BYTES, c.err == ERR_OK)
            << c.what;
        handled = 0;
    }
}

/* A call that times out while it waits for a free connection has sent nothing
 * and must be reported as unreachable. A call that is open when its client is
 * freed gets no callback. */
TEST_F(Http, WaitingForAConnectionIsUnreachable)
{
    TempDir dir;
    Fake up(dir, "fake-upstream");
    struct http_client *one = Http_ClientNew(loop, 1);
    Outcome first, second;
    Options options;

    std::swap(one, client);
    options.fake = "hang";
    options.timeout_ms = 60000;
    options.id = "first";
    Start(up.Url("/x"), "hello", options, &first);
    options.timeout_ms = 300;
    options.id = "second";
    Start(up.Url("/x"), "hello", options, &second);
    RunUntil([&] { return second.done; });
    EXPECT_EQ(second.err, ERR_UNREACHABLE);
    std::swap(one, client);
    Http_ClientFree(one);
    EXPECT_FALSE(first.done);
    auto counts = harness::Http("GET", up.Url("/counts")).json();
    EXPECT_EQ(Number(counts.get(), "by_id/first/starts"), 1);
    EXPECT_EQ(Number(counts.get(), "by_id/second/starts"), -1);
}

TEST_F(HttpServer, RefusesBodiesOverTheLimit)
{
    static const struct {
        const char *what;
        size_t bytes;
        int status;
        int handled;
    } cases[] = {{"at the limit", 1000, 200, 1}, {"over it", 1001, 413, 1}};

    for (const auto &c : cases) {
        Outcome o = Call(Url("/x"), std::string(c.bytes, 'x'), {});
        EXPECT_EQ(o.status, c.status) << c.what;
        EXPECT_EQ(handled, c.handled) << c.what;
    }
    /* A chunked body has no Content-Length to check. */
    std::string chunk = "200\r\n" + std::string(0x200, 'x') + "\r\n";
    std::string reply = ReadToEnd(
        Connect("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                chunk + chunk + "0\r\n\r\n"));
    EXPECT_EQ(reply.substr(0, 12), "HTTP/1.1 413");
    EXPECT_EQ(handled, 1);
}

TEST_F(HttpServer, CutsOffSlowClients)
{
    int fd = Connect("POST /x HTTP/1.1\r\nHost: h\r\nContent-Le");

    EXPECT_EQ(ReadToEnd(fd).find("200"), std::string::npos);
    EXPECT_EQ(handled, 0);
}

/* A delayed reply must be sent although no other event occurs on the server.
 * libmicrohttpd signals no event for a resumed connection. */
TEST_F(HttpServer, RepliesAfterSuspension)
{
    Outcome o;

    Start(Url("/hold"), "hello", {}, &o);
    RunUntil([&] { return held.size() == 1; });
    EXPECT_EQ(Http_ServerOpen(server), 1u);
    Http_ServerQuiesce(server);
    Http_Reply(held[0], 200, "text/plain", "late", 4);
    RunUntil([&] { return o.done; });
    EXPECT_EQ(o.err, ERR_OK);
    EXPECT_EQ(o.body, "late");
    RunUntil([&] { return Http_ServerOpen(server) == 0; });
}

/* The server is freed while one client waits for its reply and the request of
 * another has just arrived. libmicrohttpd would abort the process if either
 * were left suspended: the first client gets a 504, as the handler has its
 * request, which may still take effect. The handler is not called for the
 * second, which gets a 503. */
TEST_F(HttpServer, EndsWhileSuspended)
{
    Outcome o;

    Start(Url("/hold"), "hello", {}, &o);
    RunUntil([&] { return held.size() == 1; });
    const std::string get = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
    int fd = Connect("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    RunUntil([&] {
        char byte;
        return recv(fd, &byte, 1, MSG_PEEK) == 1;
    });
    ASSERT_EQ(write(fd, get.data(), get.size()),
              static_cast<ssize_t>(get.size()));
    Http_ServerFree(server);
    server = nullptr;
    RunUntil([&] { return o.done; });
    EXPECT_EQ(o.status, 504);
    EXPECT_NE(o.body.find("\"unknown\""), std::string::npos) << o.body;
    EXPECT_EQ(handled, 2);
    std::string replies = ReadToEnd(fd);
    size_t second = replies.rfind("HTTP/1.1 ");
    EXPECT_EQ(replies.substr(second, 12), "HTTP/1.1 503") << replies;
    EXPECT_NE(replies.find("Retry-After: ", second), std::string::npos);
    EXPECT_NE(replies.find("\"not_run\"", second), std::string::npos);
}

/* An exchange whose client has disconnected stays valid until the reply. */
TEST_F(HttpServer, ClientGoneWhileSuspended)
{
    close(Connect("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"));
    RunUntil([&] { return held.size() == 1; });
    EXPECT_STREQ(Http_Path(held[0]), "/hold");
    Http_Reply(held[0], 200, nullptr, "x", 1);
    RunUntil([&] { return Http_ServerOpen(server) == 0; });
}
