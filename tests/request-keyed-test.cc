#include "request-stack.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sodium.h>

using namespace stack;

/* Returns the total of starts over all requests. */
static int64_t
totalStarts(const Stack &s)
{
    int64_t n = 0;

    for (const auto &[id, starts] : s.StartsById()) {
        n += starts;
    }
    return n;
}

static void
expectAnswered(const Call &c)
{
    EXPECT_EQ(c.reply.status, 200) << c.reply.body;
    EXPECT_EQ(c.reply.body, "done:" + c.body);
}

/* A caller loses its connection and repeats its request, at the same entry and
 * at another. Each repetition gets the same bytes and the work runs once. A
 * body that is too large for a row is kept in the object store. The same key
 * with another body is refused as an error of the caller. */
TEST(Keyed, RepetitionGetsTheSameAnswer)
{
    Stack s({.entries = 2, .service_ms = 10});

    for (const std::string &body :
         {std::string("small"), std::string(20000, 'x')}) {
        std::string key = "key-" + std::to_string(body.size());

        expectAnswered(s.Ask(body, 0, key));
        expectAnswered(s.Ask(body, 0, key));
        expectAnswered(s.Ask(body, 1, key));
        EXPECT_EQ(s.Ask(body + "!", 1, key).reply.status, 422);
    }
    EXPECT_EQ(totalStarts(s), 2);
}

/* Several concurrent requests with one key, at both entries. One of them
 * claims the row and the others wait for its outcome. */
TEST(Keyed, AtOnceRunsOnce)
{
    Stack s({.entries = 2});
    std::vector<std::future<Call>> calls;

    for (size_t i = 0; i < 8; i++) {
        calls.push_back(s.AskAsync("same", i % 2, "k"));
    }
    for (auto &c : calls) {
        expectAnswered(c.get());
    }
    EXPECT_EQ(totalStarts(s), 1);
}

/* The entry is killed while the upstream works. The repetition finds the
 * claim, learns from its agent that the attempt has started, and gets the
 * answer from the agent. */
TEST(Keyed, EntryKilledWhileItRuns)
{
    Stack s({.entries = 2, .service_ms = 600});
    auto first = s.AskAsync("a", 0, "k");

    ASSERT_TRUE(s.WaitStarted(1));
    s.entries[0].process->Signal(SIGKILL);
    EXPECT_EQ(first.get().reply.status, 0);
    expectAnswered(s.Ask("a", 1, "k"));
    EXPECT_EQ(totalStarts(s), 1);
}

/* The request runs for long, and a repetition at another entry queries its
 * agent. No process has failed: both callers get the answer, including the
 * first, whose entry did not query the agent. */
TEST(Keyed, RepeatedWhileItRunsLong)
{
    Stack s({.entries = 2, .service_ms = 1800});
    auto first = s.AskAsync("a", 0, "k");

    ASSERT_TRUE(s.WaitStarted(1));
    expectAnswered(s.Ask("a", 1, "k"));
    expectAnswered(first.get());
    EXPECT_EQ(totalStarts(s), 1);
}

/* The entry is paused after its claim was written and before it sends the
 * attempt, because the reply to its write is lost. Another entry takes over:
 * it fences the attempt at the agent, claims the next one and gets the answer.
 * When the first entry resumes, it finds its claim replaced and sends nothing,
 * and its caller gets the same answer from the row. */
TEST(Keyed, EntryPausedBetweenClaimAndSend)
{
    Stack s({.entries = 2, .service_ms = 10});

    s.SetPlatformFaults("{\"lose_answers\": 100000}");
    auto first = s.AskAsync("a", 0, "k", 9000);
    ASSERT_TRUE(WaitFor([&] { return s.ClaimCount() == 1; }));
    s.entries[0].process->Signal(SIGSTOP);
    s.SetPlatformFaults("{}");
    Call second = s.Ask("a", 1, "k");
    expectAnswered(second);
    EXPECT_EQ(second.Header("x-attempt"), "2");
    s.entries[0].process->Signal(SIGCONT);
    expectAnswered(first.get());
    EXPECT_EQ(totalStarts(s), 1);
}

/* The dispatch is held up in a stopped relay. Another entry, whose link does
 * not use the relay, takes over and gets the answer. When the relay resumes,
 * the old dispatch arrives at the agent. It is fenced there and does not
 * start, and its caller gets the answer from the row. */
TEST(Keyed, DispatchArrivesAfterTakeover)
{
    Stack s({.entries = 2, .agents = 1, .service_ms = 10, .relayed = true});

    s.relay->process.Signal(SIGSTOP);
    auto first = s.AskAsync("a", 0, "k", 9000);
    ASSERT_TRUE(WaitFor([&] { return s.ClaimCount() == 1; }));
    expectAnswered(s.Ask("a", 1, "k"));
    s.relay->process.Signal(SIGCONT);
    expectAnswered(first.get());
    EXPECT_EQ(totalStarts(s), 1);
}

/* Two faults at once: the entry and the agent are killed while the upstream
 * works. The agent's new incarnation has no record of the attempt, so it can't
 * be known whether it ran. Every repetition gets unknown at once, and the
 * request is never sent again. */
TEST(Keyed, EntryAndAgentKilled)
{
    Stack s({.entries = 2, .agents = 1, .service_ms = 300});
    auto first = s.AskAsync("a", 0, "k");

    ASSERT_TRUE(s.WaitStarted(1));
    s.entries[0].process->Signal(SIGKILL);
    s.agents[0].process->Signal(SIGKILL);
    s.agents[0].process->Wait();
    s.restart(s.agents[0]);
    first.get();
    for (int i = 0; i < 2; i++) {
        Call c = s.Ask("a", 1, "k");

        EXPECT_EQ(c.reply.status, 504);
        EXPECT_EQ(c.Outcome(), "unknown");
        EXPECT_NE(c.reply.body.find("agent_restarted"), c.reply.body.npos);
    }
    EXPECT_EQ(totalStarts(s), 1);
}

/* The table goes down before the row could be read, and the class is
 * configured to refuse. The request is refused at once with a time to retry
 * and nothing is sent. The outcome is unknown rather than not_run, because an
 * earlier request with the key may have run. */
TEST(Keyed, TableDownRefuses)
{
    Stack s({});

    s.SetPlatformFaults("{\"down\": true}");
    Call c = s.Ask("a", 0, "k");
    EXPECT_EQ(c.reply.status, 503);
    EXPECT_EQ(c.Outcome(), "unknown");
    EXPECT_EQ(c.Header("retry-after"), "1");
    EXPECT_EQ(totalStarts(s), 0);
    s.SetPlatformFaults("{}");
    expectAnswered(s.Ask("a", 0, "k"));
}

/* The table is down and the class is configured to serve without a claim. The
 * request is answered and counted as unclaimed. */
TEST(Keyed, TableDownServes)
{
    Stack s({.service_ms = 10, .table_down = "serve"});

    s.SetPlatformFaults("{\"down\": true}");
    expectAnswered(s.Ask("a", 0, "k"));
    std::string metrics = Http("GET", s.entries[0].Url("/metrics")).body;
    EXPECT_NE(metrics.find("parsleyfall_claims_unclaimed_total 1"),
              metrics.npos);
    EXPECT_EQ(totalStarts(s), 1);
}

/* Two faults at once: the table goes down while the request runs, and its
 * entry is killed after that. The caller gets its answer, but the row does not
 * hold it, so the agent keeps it. When the table is back, the repetition gets
 * the answer from the agent. */
TEST(Keyed, TableDownAfterTheClaim)
{
    Stack s({.entries = 2, .service_ms = 300});
    auto first = s.AskAsync("a", 0, "k");

    ASSERT_TRUE(s.WaitStarted(1));
    s.SetPlatformFaults("{\"down\": true}");
    expectAnswered(first.get());
    s.entries[0].process->Signal(SIGKILL);
    s.entries[0].process->Wait();
    s.SetPlatformFaults("{}");
    expectAnswered(s.Ask("a", 1, "k"));
    EXPECT_EQ(totalStarts(s), 1);
}

/* The table loses replies to writes, or is slow. The entry finds its own claim
 * in the row by the token, sends the attempt once and settles it. */
TEST(Keyed, TableLosesAnswersOrIsSlow)
{
    Stack s({.entries = 2, .service_ms = 10});

    s.SetPlatformFaults("{\"lose_answers\": 1}");
    expectAnswered(s.Ask("a", 0, "k1"));
    s.SetPlatformFaults("{\"slow_ms\": 150}");
    expectAnswered(s.Ask("a", 0, "k2"));
    expectAnswered(s.Ask("a", 1, "k1"));
    expectAnswered(s.Ask("a", 1, "k2"));
    EXPECT_EQ(totalStarts(s), 2);
}

/* The only upstream is gone, so the outcome is a true not_run. That does not
 * use up the key: the same key runs once an upstream is available. */
TEST(Keyed, NotRunReleasesTheKey)
{
    Stack s({.entries = 2, .agents = 1, .service_ms = 10});

    s.agents[0].upstream->process.Signal(SIGKILL);
    s.agents[0].upstream->process.Wait();
    Call c = s.Ask("a", 0, "k");
    EXPECT_EQ(c.Outcome(), "not_run") << c.reply.body;
    s.agents.push_back(s.startAgent("w2"));
    s.waitAgents(s.entries[1], 2);
    ASSERT_TRUE(WaitFor([&] {
        c = s.Ask("a", 1, "k");
        return c.reply.status == 200;
    }));
    expectAnswered(c);
    EXPECT_GT(std::stoi(c.Header("x-attempt")), 1);
    EXPECT_EQ(totalStarts(s), 1);
}

/* Two faults at once: the upstream is gone, and the table goes down after the
 * claim. The agent reports that nothing ran, but the row can't be written, and
 * another entry may continue with the key at any time. So the caller gets
 * unknown. */
TEST(Keyed, NotRunIsSentOnlyFromItsRow)
{
    Stack s({.agents = 1, .relayed = true});

    s.agents[0].upstream->process.Signal(SIGKILL);
    s.agents[0].upstream->process.Wait();
    s.relay->process.Signal(SIGSTOP);
    auto first = s.AskAsync("a", 0, "k");
    ASSERT_TRUE(WaitFor([&] { return s.ClaimCount() == 1; }));
    s.SetPlatformFaults("{\"down\": true}");
    s.relay->process.Signal(SIGCONT);
    EXPECT_EQ(first.get().Outcome(), "unknown");
}

/* An entry is killed under a load of requests with different keys. Callers
 * that lost their connection repeat their request at the other entry. All are
 * answered and each request is started once. */
TEST(Keyed, EntryKilledUnderLoad)
{
    Stack s({.entries = 2, .service_ms = 200, .jitter_ms = 300});
    auto calls = s.AskMany(20, "key-");

    ASSERT_TRUE(s.WaitStarted(8));
    s.entries[0].process->Signal(SIGKILL);
    std::vector<std::future<Call>> again;
    for (size_t i = 0; i < calls.size(); i++) {
        Call c = calls[i].get();

        if (c.reply.status != 0) {
            expectAnswered(c);
            continue;
        }
        again.push_back(s.AskAsync(c.body, 1, "key-" + std::to_string(i)));
    }
    EXPECT_GT(again.size(), 0U);
    for (auto &c : again) {
        expectAnswered(c.get());
    }
    for (const auto &[id, n] : s.StartsById()) {
        EXPECT_EQ(n, 1) << id;
    }
    EXPECT_EQ(totalStarts(s), 20);
}

/* Returns the operation that writes a claim's row, in the format of the
 * platform's table. */
static std::string
putClaimOp(const std::string &key, int64_t at_ms)
{
    std::string row = "{\"state\":\"answered\",\"request\":\"" +
                      std::string(32, '1') +
                      "\",\"at_ms\":" + std::to_string(at_ms) + "}\n";
    char text[1024];

    sodium_bin2base64(text, sizeof(text),
                      reinterpret_cast<const unsigned char *>(row.data()),
                      row.size(), sodium_base64_VARIANT_ORIGINAL);
    return "{\"verb\": \"put\", \"table\": \"claims\", \"key\": \"" + key +
           "\", \"if_version\": 0, \"value\": \"" + text + "\"}";
}

/* Claims are kept for a day. Older ones are deleted in batches; the others
 * stay, so that their keys still return their answers. */
TEST(Keyed, OldClaimsAreSwept)
{
    Stack s({.entries = 0, .agents = 0});
    int64_t now = Clock_WallMs(), day = 24 * 3600 * 1000;
    std::string ops;

    for (int i = 0; i < 24; i++) {
        std::string key = "a" + std::to_string(100 + i);

        ops += (i > 0 ? ", " : "") +
               putClaimOp(key, now - (i % 6 == 0 ? day / 2 : day + 60000));
    }
    ASSERT_EQ(Http("POST", s.platform.Url("/table/commit"),
                   "{\"token\": \"" + std::string(32, '2') + "\", \"ops\": [" +
                       ops + "]}")
                  .status,
              200);
    ASSERT_EQ(s.ClaimCount(), 24U);
    s.entries.push_back(s.startEntry("entry-1"));
    s.entries.push_back(s.startEntry("entry-2"));
    std::set<std::string> young = {"a100", "a106", "a112", "a118", "sweep"};
    EXPECT_TRUE(WaitFor([&] { return s.ClaimKeys() == young; }))
        << s.ClaimCount();
}
