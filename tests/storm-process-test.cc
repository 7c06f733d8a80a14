/*
 * Storm tests: randomised fault injection. A stream of requests and
 * configuration changes goes through real processes, while a schedule of
 * faults kills, pauses, drains and disconnects them, often two at once. The
 * schedule is drawn from a fixed seed.
 *
 * Timing differs between runs, so no test expects a certain outcome of a
 * certain request. The invariants that hold in every run are checked
 * afterwards by comparing what callers received with what the upstreams
 * started; storm-judge.cc gives each invariant and why callers depend on it. A
 * schedule may reveal a fault in some runs only, so each fault that was found
 * has a test of its own in storm-found-test.cc.
 */
#include "storm-judge.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <numeric>
#include <random>
#include <thread>

namespace storm {

static const int64_t STORM_MS = 6000;
/* Faults begin at 500 to 3000 ms. */
static const int64_t FIRST_FAULT_MS = 500;
static const int64_t FAULTS_SPAN_MS = 2500;
static const int64_t LATE_START_WAIT_MS = 2000; /* after the last outcome */
static const int64_t DEADLINE_MS = 3000;
static const int64_t CURL_EXTRA_MS = 8000; /* for pauses of the entry */
static const size_t CALLERS = 24;
static const size_t FAULT_COUNT = 8;

enum class Target { ENTRY, AGENT, UPSTREAM, PLATFORM };

/* A kind of fault, its target and its range of durations. Entries and agents
 * take a connection for silent after 3.5 s. */
struct FaultKind {
    const char *name;
    Target target;
    int64_t min_ms, max_ms;
    void (*run)(Stack &s, size_t target, int64_t ms);
};

static const FaultKind kinds[] = {
    {"kill an entry", Target::ENTRY, 100, 500,
     [](Stack &s, size_t i, int64_t ms) { s.KillEntry(i, ms); }},
    {"pause an entry beyond the silence timeout", Target::ENTRY, 3900, 4300,
     [](Stack &s, size_t i, int64_t ms) { s.PauseEntry(i, ms); }},
    {"pause an entry between claiming and sending, beyond the takeover time",
     Target::ENTRY, 1600, 2000,
     [](Stack &s, size_t i, int64_t ms) { s.PauseClaiming(i, ms); }},
    {"drain and replace an entry", Target::ENTRY, 0, 0,
     [](Stack &s, size_t i, int64_t ms) { s.DrainEntry(i, ms); }},
    {"silence the links of an entry", Target::ENTRY, 0, 0,
     [](Stack &s, size_t i, int64_t ms) { s.SilenceEntryLinks(i, ms); }},
    {"kill an agent", Target::AGENT, 0, 400,
     [](Stack &s, size_t i, int64_t ms) { s.KillAgent(i, ms); }},
    {"pause an agent beyond the silence timeout", Target::AGENT, 3900, 4300,
     [](Stack &s, size_t i, int64_t ms) { s.PauseAgent(i, ms); }},
    {"pause an agent beyond the acceptance timeout", Target::AGENT, 1100, 1800,
     [](Stack &s, size_t i, int64_t ms) { s.PauseAgent(i, ms); }},
    {"drain and replace an agent", Target::AGENT, 0, 0,
     [](Stack &s, size_t i, int64_t ms) { s.DrainAgent(i, ms); }},
    {"silence the links of an agent", Target::AGENT, 0, 0,
     [](Stack &s, size_t i, int64_t ms) { s.SilenceAgentLinks(i, ms); }},
    {"kill an upstream", Target::UPSTREAM, 0, 600,
     [](Stack &s, size_t i, int64_t ms) { s.KillUpstream(i, ms); }},
    {"an upstream starts work and closes without an answer", Target::UPSTREAM,
     500, 1500,
     [](Stack &s, size_t i, int64_t ms) { s.CloseUnanswered(i, ms); }},
    {"platform down", Target::PLATFORM, 800, 2500,
     [](Stack &s, size_t, int64_t ms) {
         s.FaultPlatform("{\"down\": true}", ms);
     }},
    {"platform hangs", Target::PLATFORM, 800, 2500,
     [](Stack &s, size_t, int64_t ms) {
         s.FaultPlatform("{\"hang\": true}", ms);
     }},
    {"platform slow", Target::PLATFORM, 1000, 3000,
     [](Stack &s, size_t, int64_t ms) {
         s.FaultPlatform("{\"slow_ms\": 400}", ms);
     }},
    {"platform loses answers", Target::PLATFORM, 1500, 3000,
     [](Stack &s, size_t, int64_t ms) {
         s.FaultPlatform("{\"lose_answers\": 40}", ms);
     }},
};

struct Fault {
    const FaultKind *kind;
    size_t target;
    int64_t at, ms; /* at: since the start of the storm */
};

struct Seed {
    unsigned seed;
    size_t entries, agents;
};

static const Seed seeds[] = {
    {11, 2, 3}, {23, 3, 3}, {37, 2, 4}, {41, 3, 4},
    {59, 2, 3}, {67, 3, 3}, {73, 2, 4}, {89, 3, 3},
};

static std::string
make_body_id(size_t caller, size_t number)
{
    return "c" + std::to_string(caller) + "-" + std::to_string(number);
}

class Storm : public testing::TestWithParam<Seed> {
  protected:
    Storm() : stack(GetParam().entries, GetParam().agents)
    {
    }

    /* Draws faults in a shuffled order of kinds, each for a target without
     * another fault. Every second fault happens at the same time as the one
     * before it. */
    void DrawSchedule()
    {
        std::mt19937_64 random(GetParam().seed);
        std::vector<std::vector<size_t>> free_targets = {
            std::vector<size_t>(stack.entry_count),
            std::vector<size_t>(stack.agent_count),
            std::vector<size_t>(stack.agent_count),
            {0}};
        std::vector<size_t> order(std::size(kinds));
        int64_t at = 0;

        for (auto &f : free_targets) {
            std::iota(f.begin(), f.end(), 0);
        }
        std::iota(order.begin(), order.end(), 0);
        for (size_t i = order.size() - 1; i > 0; i--) {
            std::swap(order[i], order[random() % (i + 1)]);
        }
        for (size_t kind_index : order) {
            const FaultKind &k = kinds[kind_index];
            auto &targets = free_targets[static_cast<size_t>(k.target)];

            if (targets.empty() || faults.size() == FAULT_COUNT) {
                continue;
            }
            size_t pick = random() % targets.size();
            int64_t more = static_cast<int64_t>(
                random() % static_cast<uint64_t>(k.max_ms - k.min_ms + 1));
            if (faults.size() % 2 == 0) {
                at = FIRST_FAULT_MS +
                     static_cast<int64_t>(
                         random() % static_cast<uint64_t>(FAULTS_SPAN_MS));
            }
            faults.push_back({&k, targets[pick], at, k.min_ms + more});
            targets.erase(targets.begin() + static_cast<ptrdiff_t>(pick));
        }
    }

    std::string Schedule() const
    {
        std::string text = "seed " + std::to_string(GetParam().seed) + ", " +
                           std::to_string(stack.entry_count) + " entries, " +
                           std::to_string(stack.agent_count) + " agents\n";

        for (const auto &f : faults) {
            text += "  +" + std::to_string(f.at) + " ms (" +
                    std::to_string(started_at + f.at) + "): " + f.kind->name +
                    ", number " + std::to_string(f.target + 1) + ", " +
                    std::to_string(f.ms) + " ms\n";
        }
        return text;
    }

    /* Waits for an entry to which a load balancer would send requests. That
     * excludes an entry that has reported for BALANCER_POLL_MS that it drains,
     * as connections that it has not accepted are reset when it closes. */
    size_t WaitOpenEntry(std::mt19937_64 &random) const
    {
        size_t entry = stack.entry_count;

        WaitFor([&] {
            entry = stack.PickEntry(random());
            return entry < stack.entry_count;
        });
        return entry % stack.entry_count;
    }

    /* Makes the next request. One in four repeats one of the 12 latest keys of
     * all callers; a third of the others get a key of their own. */
    Call NextCall(size_t caller, size_t number, std::mt19937_64 &random)
    {
        std::lock_guard<std::mutex> lock(mutex);
        Call c = {};

        if (!keyed.empty() && random() % 4 == 0) {
            size_t recent = std::min<size_t>(keyed.size(), 12);

            c = keyed[keyed.size() - 1 - random() % recent];
        }
        else {
            c.body_id = make_body_id(caller, number);
            c.body = c.body_id + " " + std::string(random() % 6000, 'x') +
                     c.body_id;
            c.repeatable = random() % 2 == 0;
            if (random() % 3 == 0) {
                c.key = "key-" + c.body_id;
                c.repeatable = false;
                keyed.push_back(c);
            }
        }
        c.deadline_ms = DEADLINE_MS;
        return c;
    }

    void Ask(Call &c, size_t caller) const
    {
        std::vector<std::string> headers = {
            "Authorization: Bearer token",
            "X-Class: " + std::string(c.repeatable ? "preview" : "estimate"),
            "X-Caller: caller-" + std::to_string(caller),
            "X-Deadline-Ms: " + std::to_string(c.deadline_ms)};

        if (!c.key.empty()) {
            headers.push_back("Idempotency-Key: " + c.key);
        }
        c.begin = Now();
        c.reply =
            Http("POST", stack.Url(c.entry, "/v1/services/photos/requests"),
                 c.body, headers, c.deadline_ms + CURL_EXTRA_MS);
        c.end = Now();
    }

    /* Returns how long a refused caller waits before its next request, by the
     * refusal's retry_after_ms. */
    static int64_t RetryDelayMs(const Call &c)
    {
        int64_t ms = Number(c.reply.json().get(), "retry_after_ms");

        return std::min<int64_t>(std::max<int64_t>(ms, 0), 1000);
    }

    void RunCaller(size_t caller)
    {
        std::mt19937_64 random(GetParam().seed * 1000 + caller);

        for (size_t n = 0; Now() < started_at + STORM_MS; n++) {
            Call c = NextCall(caller, n, random);

            c.entry = WaitOpenEntry(random);
            Ask(c, caller);
            {
                std::lock_guard<std::mutex> lock(mutex);
                observations.calls.push_back(c);
            }
            SleepUntil(c.end + RetryDelayMs(c) + 20 +
                       static_cast<int64_t>(random() % 100));
        }
    }

    /* Reads the epoch and the entity tag of an entry's configuration. Returns
     * 0 when it reports none. */
    int64_t ReadEpoch(size_t entry, std::string *tag)
    {
        Reply r = Http("GET", stack.Url(entry, "/v1/config"), "",
                       {"Authorization: Bearer operator"}, 1000);
        int64_t epoch = 0;

        if (r.status == 200) {
            *tag = r.headers["etag"];
            epoch = std::atoll(tag->c_str() + 1);
            observations.epochs.push_back({entry, Now(), epoch});
        }
        return epoch;
    }

    /* Acts as an operator: reads the configuration of each entry in turn and
     * at times changes the document that it has read. */
    void RunOperator()
    {
        for (size_t n = 0; Now() < started_at + STORM_MS; n++) {
            size_t entry = n % stack.entry_count;
            std::string tag;
            int64_t seen = ReadEpoch(entry, &tag);

            if (seen > 0 && n % 5 == 0) {
                Reply r = Http(
                    "PUT", stack.Url(entry, "/v1/config"),
                    Stack::Configuration(static_cast<int>(64 + n)),
                    {"Authorization: Bearer operator", "If-Match: " + tag},
                    3000);
                accepted =
                    r.status == 200 ? std::max(accepted, seen + 1) : accepted;
            }
            SleepUntil(Now() + 50);
        }
    }

    void Run()
    {
        std::vector<std::future<void>> threads;
        auto start_thread = [&threads](auto f) {
            threads.push_back(std::async(std::launch::async, f));
        };

        started_at = Now();
        for (size_t i = 0; i < CALLERS; i++) {
            start_thread([this, i] { RunCaller(i); });
        }
        start_thread([this] { RunOperator(); });
        for (const auto &f : faults) {
            start_thread([this, f] {
                SleepUntil(started_at + f.at);
                f.kind->run(stack, f.target, f.ms);
            });
        }
        for (auto &t : threads) {
            t.get();
        }
    }

    /* Checks the observations until a violation is found, or until the time in
     * which a late start could cause one is over. */
    std::vector<Violation> WaitForViolations()
    {
        std::vector<Violation> violations;

        observations.outages = stack.Outages();
        WaitFor(
            [&] {
                observations.starts = stack.Starts();
                violations = FindViolations(observations);
                return !violations.empty();
            },
            LATE_START_WAIT_MS);
        return violations;
    }

    /* Returns how many calls ended with each outcome, for the log. */
    std::string OutcomeCounts() const
    {
        std::map<std::string, int> counts;
        std::string text;

        for (const auto &c : observations.calls) {
            std::string reason = Text(c.reply.json().get(), "reason");

            counts[c.Outcome() + " " + reason]++;
        }
        for (const auto &[outcome, n] : counts) {
            text += "  " + std::to_string(n) + " " +
                    (outcome == " " ? "without an outcome" : outcome) + "\n";
        }
        return text;
    }

    size_t Count(const std::string &outcome) const
    {
        return static_cast<size_t>(std::count_if(
            observations.calls.begin(), observations.calls.end(),
            [&](const Call &c) { return c.Outcome() == outcome; }));
    }

    Stack stack;
    std::vector<Fault> faults;
    std::mutex mutex;
    std::vector<Call> keyed;
    Observations observations;
    int64_t accepted = 0; /* highest epoch accepted from an operator */
    int64_t started_at = 0;
};

/* Every outcome that callers receive is true while processes are killed,
 * paused, disconnected, drained or without their platform, two at once.
 * Afterwards every entry recovers: it has contact to all agents, serves
 * requests, and has the last configuration that was accepted from an operator.
 */
TEST_P(Storm, InvariantsHold)
{
    DrawSchedule();
    Run();

    std::vector<Violation> violations = WaitForViolations();
    for (size_t i = 0; i < violations.size() && i < 5; i++) {
        ADD_FAILURE() << violations[i].what << "\n"
                      << stack.LogLines(violations[i].ids);
    }
    EXPECT_EQ(violations.size(), 0u) << Schedule();
    for (const auto &exit : stack.UnexpectedExits()) {
        ADD_FAILURE() << exit << "\n" << Schedule();
    }
    EXPECT_GT(Count("answered") * 2, observations.calls.size()) << Schedule();
    std::cout << observations.calls.size() << " calls:\n" << OutcomeCounts();

    EXPECT_TRUE(stack.WaitAllAgents()) << Schedule();
    for (size_t i = 0; i < stack.entry_count; i++) {
        std::string tag;

        EXPECT_TRUE(WaitFor([&] { return ReadEpoch(i, &tag) >= accepted; }))
            << "entry-" << i + 1 << " lacks epoch " << accepted << "\n"
            << Schedule();
        EXPECT_TRUE(WaitFor([&] {
            Call c = {};
            c.body = c.body_id = make_body_id(CALLERS, i);
            c.entry = i;
            c.repeatable = true;
            c.deadline_ms = DEADLINE_MS;
            Ask(c, CALLERS);
            return c.Outcome() == "answered";
        })) << "entry-"
            << i + 1 << " does not serve\n"
            << Schedule();
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Storm, testing::ValuesIn(seeds),
                         [](const auto &seed) {
                             return "seed" + std::to_string(seed.param.seed);
                         });

} /* namespace storm */
