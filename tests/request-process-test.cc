#include "request-stack.h"

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

using namespace stack;

/* Outcomes that a case permits besides the caller's own whole answer. */
enum Allowed { ANSWERED_ONLY = 0, NOT_RUN = 1, UNKNOWN = 2, NO_REPLY = 4 };

/* Checks one caller's reply: its own whole answer, or an outcome that is
 * permitted and true. */
static void
checkReply(const Call &c, int allowed,
           const std::map<std::string, int64_t> &starts)
{
    std::string id = c.Header("x-request-id");
    int64_t n = starts.count(id) ? starts.at(id) : 0;

    SCOPED_TRACE(c.body + " " + id + " status " +
                 std::to_string(c.reply.status) + " " + c.reply.body);
    if (c.reply.status == 200) {
        EXPECT_EQ(c.reply.body, "done:" + c.body);
        return;
    }
    if (c.Outcome() == "not_run") {
        EXPECT_TRUE(allowed & NOT_RUN);
        EXPECT_EQ(n, 0) << "replied not_run, but it was started";
        return;
    }
    if (c.Outcome() == "unknown") {
        EXPECT_TRUE(allowed & UNKNOWN);
        return;
    }
    EXPECT_TRUE(allowed & NO_REPLY) << "an accepted request was dropped";
}

/* Checks the replies of all callers, and that no request was started twice
 * unless it is repeatable. */
static std::map<std::string, int>
checkReplies(const Stack &s, std::vector<std::future<Call>> &calls,
             int allowed)
{
    std::map<std::string, int> outcomes;
    std::vector<Call> got;

    for (auto &c : calls) {
        got.push_back(c.get());
    }
    auto starts = s.StartsById();
    for (const auto &c : got) {
        checkReply(c, allowed, starts);
        outcomes[c.reply.status == 200 ? "answered" : c.Outcome()]++;
    }
    if (!s.options.repeatable) {
        for (const auto &[id, n] : starts) {
            EXPECT_LE(n, 1) << id << " was started " << n << " times";
        }
    }
    return outcomes;
}

/* A fault during a load of requests that are not repeatable and have no key.
 */
struct FaultCase {
    const char *name;
    Options options;
    /* How the upstreams behave from the start. */
    const char *mode;
    void (*fault)(Stack &);
    int allowed;
    int answered_min;
};

/* Prints the name of a case; gtest would print its bytes. */
static void
PrintTo(const FaultCase &p, std::ostream *out)
{
    *out << p.name;
}

static void
noFault(Stack &)
{
}

static const FaultCase fault_cases[] = {
    /* Callers of the other entry notice nothing; those of the killed one get
     * no reply. Agents finish the requests that they took, and nothing is sent
     * again. */
    {"EntryKilled",
     {.entries = 2},
     "",
     [](Stack &s) { s.entries[0].process->Signal(SIGKILL); },
     NO_REPLY,
     10},
    /* The agent is killed with requests at its upstream, and it can't be known
     * whether they ran. Their callers get unknown as soon as the new
     * incarnation joins, and nothing is sent a second time. */
    {"AgentKilledAndBack",
     {},
     "",
     [](Stack &s) {
         s.agents[0].process->Signal(SIGKILL);
         s.agents[0].process->Wait();
         s.restart(s.agents[0]);
     },
     UNKNOWN | NOT_RUN,
     5},
    /* The agent is killed and does not return: its callers get unknown at the
     * deadline. */
    {"AgentKilled",
     {},
     "",
     [](Stack &s) { s.agents[0].process->Signal(SIGKILL); },
     UNKNOWN | NOT_RUN,
     5},
    /* The upstream is killed. Connections that break after the request was
     * sent mean unknown. Later requests can't connect, which is a true
     * not_run, and go to the other upstream. */
    {"UpstreamKilled",
     {},
     "",
     [](Stack &s) { s.agents[1].upstream->process.Signal(SIGKILL); },
     UNKNOWN | NOT_RUN,
     5},
    /* The agent is paused until entries take it for silent, then resumes and
     * reads what was sent to it meanwhile, old dispatches and withdraws
     * included. Answers that it holds reach their callers if it resumes in
     * time. */
    {"AgentPaused",
     {},
     "",
     [](Stack &s) {
         s.agents[0].process->Signal(SIGSTOP);
         WaitFor([&] {
             Json j = Http("GET", s.entries[0].Url("/v1/state"), "",
                           {"Authorization: Bearer operator"})
                          .json();

             return Number(j.get(), "members/heard") == 1;
         });
         s.agents[0].process->Signal(SIGCONT);
     },
     UNKNOWN | NOT_RUN,
     5},
    /* A middlebox drops the established connections silently, while new ones
     * work. The agents open new links by themselves, both ends query the state
     * of the attempts, and every caller still gets its answer. */
    {"LinkSilent",
     {.agents = 1, .relayed = true, .slots = 32},
     "",
     [](Stack &s) { s.relay->process.Signal(SIGUSR1); },
     NOT_RUN,
     24},
    /* The table is down, which does not affect requests without a key. */
    {"TableDown",
     {},
     "",
     [](Stack &s) { s.SetPlatformFaults("{\"down\": true}"); },
     ANSWERED_ONLY,
     24},
    /* An entry is drained: it accepts no new connections, and all callers
     * whose requests it has get their answers before it ends. */
    {"EntryDrains",
     {.entries = 2},
     "",
     [](Stack &s) { EXPECT_EQ(s.entries[0].process->Terminate(), 0); },
     ANSWERED_ONLY,
     24},
    /* An agent is drained: it finishes the requests that it took, and those
     * that it refuses from then on go to the other agent. */
    {"AgentDrains",
     {},
     "",
     [](Stack &s) { EXPECT_EQ(s.agents[0].process->Terminate(), 0); },
     NOT_RUN,
     24},
    /* Answers come late and in another order than the requests. Each caller
     * gets the answer to its own request. */
    {"OutOfOrder", {.jitter_ms = 400}, "late=150", noFault, 0, 24},
    /* An answer that is cut off, or that has no marked end, is never passed on
     * as whole. */
    {"Truncated", {}, "truncate", noFault, UNKNOWN, 0},
    {"NoLength", {}, "no-length", noFault, UNKNOWN, 0},
    /* The upstream counts a start and closes the connection: the request is
     * not sent again. */
    {"ClosedAfterStart", {}, "close", noFault, UNKNOWN, 0},
    /* Two faults at once: one agent is killed while the entry is paused, for
     * longer than the agents' silence timeout, and then resumes. */
    {"AgentKilledEntryPaused",
     {.entries = 2},
     "",
     [](Stack &s) {
         s.entries[0].process->Signal(SIGSTOP);
         s.agents[0].process->Signal(SIGKILL);
         s.waitAgents(s.entries[1], 1);
         s.entries[0].process->Signal(SIGCONT);
     },
     UNKNOWN | NOT_RUN,
     5},
    /* Two faults at once: the links are dropped silently and the table is
     * down. */
    {"LinkSilentTableDown",
     {.agents = 1, .relayed = true, .slots = 32},
     "",
     [](Stack &s) {
         s.SetPlatformFaults("{\"down\": true}");
         s.relay->process.Signal(SIGUSR1);
     },
     NOT_RUN,
     24},
};

class RequestFault : public testing::TestWithParam<FaultCase> {};

TEST_P(RequestFault, OutcomesAreTrue)
{
    const FaultCase &p = GetParam();
    Stack s(p.options);

    s.SetUpstreamMode(p.mode);
    auto calls = s.AskMany(24);
    ASSERT_TRUE(s.WaitStarted(p.mode[0] != '\0'   ? 1
                              : p.options.relayed ? 24
                                                  : 16));
    p.fault(s);
    auto outcomes = checkReplies(s, calls, p.allowed);
    EXPECT_GE(outcomes["answered"], p.answered_min);
}

INSTANTIATE_TEST_SUITE_P(Cases, RequestFault, testing::ValuesIn(fault_cases),
                         [](const auto &i) { return i.param.name; });

/* Guards against a wrong or missing outcome of requests that are open when the
 * drain of their entry times out: one is at an upstream that hangs, another
 * waits for its slot. */
TEST(Request, OpenWhenADrainTimesOut)
{
    Stack s({.agents = 1, .slots = 1, .drain_ms = 4000});

    ASSERT_EQ(s.Ask("first").reply.status, 200); /* shows the run time */
    s.SetUpstreamMode("hang");
    s.entries[0].process->Signal(SIGTERM);
    ASSERT_TRUE(WaitFor([&] {
        return s.entries[0].process->Err().find("event=drain ") !=
               std::string::npos;
    }));
    auto calls = s.AskMany(3);
    auto outcomes = checkReplies(s, calls, NOT_RUN | UNKNOWN);
    EXPECT_EQ(outcomes["unknown"], 1);
    EXPECT_EQ(outcomes["not_run"], 2);
    EXPECT_EQ(s.entries[0].process->Wait(), 1);
    EXPECT_NE(
        s.entries[0].process->Err().find("outcome=unknown reason=stopping"),
        std::string::npos)
        << s.entries[0].process->Err();
}

/* Repeatable requests are hedged: when an answer is late, a second attempt is
 * sent to another upstream, and the caller gets the first answer that arrives.
 */
TEST(Request, LateAnswerIsHedged)
{
    Stack s({.service_ms = 20, .repeatable = true});
    std::string metrics;

    for (int i = 0; i < 60; i++) {
        ASSERT_EQ(s.Ask("warm").reply.status, 200);
    }
    Http("PUT", s.agents[0].upstream->Url("/mode"), "slow=3500");
    auto calls = s.AskMany(6);
    auto outcomes = checkReplies(s, calls, ANSWERED_ONLY);
    EXPECT_EQ(outcomes["answered"], 6);
    metrics = Http("GET", s.entries[0].Url("/metrics")).body;
    EXPECT_EQ(metrics.find("parsleyfall_hedges_total 0"), metrics.npos);
    EXPECT_NE(metrics.find("parsleyfall_hedges_total"), metrics.npos);
}

/* The upstream begins the work and closes the connection without an answer, on
 * connections that the agent has used before. An HTTP client library repeats a
 * request on such a connection by itself, which would start it twice. */
TEST(Request, ClosedOnAUsedConnection)
{
    Stack s({.agents = 1, .service_ms = 0});

    for (int i = 0; i < 8; i++) {
        ASSERT_EQ(s.Ask("warm").reply.status, 200);
    }
    s.SetUpstreamMode("close");
    auto calls = s.AskMany(8);
    EXPECT_EQ(checkReplies(s, calls, UNKNOWN)["unknown"], 8);
}

/* An agent is leaving and a long request keeps it running. The entry learns of
 * it within a heartbeat; from then on all requests go to the other agent, and
 * the long request is still answered. */
TEST(Request, LeavingUpstreamGetsNothing)
{
    Stack s({.service_ms = 10});
    std::string state;

    Http("PUT", s.agents[0].upstream->Url("/mode"), "slow=2500");
    Http("PUT", s.agents[1].upstream->Url("/mode"), "slow=2500");
    auto calls = s.AskMany(8);
    ASSERT_TRUE(s.WaitStarted(8));
    s.SetUpstreamMode("");
    s.agents[0].process->Signal(SIGTERM);
    ASSERT_TRUE(WaitFor([&] {
        state = Http("GET", s.entries[0].Url("/v1/state"), "",
                     {"Authorization: Bearer operator"})
                    .body;
        return state.find("\"state\": \"leaving\"") != state.npos;
    }));
    int64_t before = s.StartCount(0);
    auto more = s.AskMany(30);
    auto outcomes = checkReplies(s, more, ANSWERED_ONLY);
    EXPECT_EQ(outcomes["answered"], 30);
    EXPECT_EQ(s.StartCount(0), before);
    EXPECT_EQ(checkReplies(s, calls, ANSWERED_ONLY)["answered"], 8);
    EXPECT_EQ(s.agents[0].process->Wait(), 0);
}

/* The decisions on a request can be read under its id by its organisation. */
TEST(Request, WhyListsTheDecisions)
{
    Stack s({.agents = 1, .service_ms = 0});
    Call c = s.Ask("why");
    std::string path = "/v1/why/" + c.Header("x-request-id");
    std::vector<std::string> decisions;
    Json j;

    ASSERT_EQ(c.reply.status, 200);
    j = Http("GET", s.entries[0].Url(path), "",
             {"Authorization: Bearer token"})
            .json();
    json_t *records = json_object_get(j.get(), "records");
    for (size_t i = 0; i < json_array_size(records); i++) {
        decisions.push_back(Text(json_array_get(records, i), "decision"));
    }
    EXPECT_EQ(decisions, (std::vector<std::string>{"admitted", "sent", "taken",
                                                   "answered"}));
    EXPECT_EQ(Http("GET", s.entries[0].Url(path)).status, 401);
    EXPECT_EQ(Http("GET", s.entries[0].Url("/v1/why/" + std::string(32, '0')),
                   "", {"Authorization: Bearer operator"})
                  .status,
              404);
}

/* Guards against an entry that ends for one request: the path of a refusal has
 * bytes that are no UTF-8. */
TEST(RequestProcess, APathThatIsNoTextEndsNothing)
{
    static const struct {
        const char *method, *path;
    } cases[] = {
        {"GET", "/caf%E9"},
        {"GET", "/caf%C3%A9"},
        {"PUT", "/%ff%fe%C0%AF"},
        {"DELETE", "/healthz"},
        {"GET", "/%ED%A0%80"},
        {"GET", "/a%00b"},
        {"POST", "/v1/services/%E9/requests"},
        {"GET", "/v1/jobs/%E9"},
        {"GET", "/v1/jobs?after=%E9"},
        {"GET", "/v1/why/%E9"},
        {"GET", "/v1/config?epoch=%E9"},
        {"GET", "/console/%E9"},
    };
    Stack s({.entries = 1, .agents = 1});

    for (const auto &c : cases) {
        Reply r = Http(c.method, s.entries[0].Url(c.path), "x",
                       {"Authorization: Bearer operator"});

        EXPECT_GE(r.status, 200) << c.path;
        EXPECT_NE(r.status, 500) << c.path << r.body;
        EXPECT_TRUE(s.entries[0].process->Running()) << c.path;
    }
    EXPECT_NE(s.Ask("a key that is no text", 0, "k\xe9").reply.status, 0);
    for (const char *header : {"Authorization: Bearer \xe9",
                               "Content-Type: \xe9", "X-Deadline-Ms: \xe9"}) {
        EXPECT_NE(Http("POST",
                       s.entries[0].Url("/v1/services/photos/requests"), "x",
                       {"Authorization: Bearer token", header})
                      .status,
                  0)
            << header;
    }
    EXPECT_EQ(s.Ask("after them").reply.status, 200);
}
