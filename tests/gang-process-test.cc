#include "base.h"
#include "gang-agents.h"
#include "harness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace harness;

namespace {

std::string
HashOf(const std::string &token)
{
    char hex[DIGEST_HEX_SIZE];

    return Digest_Hex(token.data(), token.size(), hex);
}

const std::string ORG = "Authorization: Bearer token-one";
const std::string OTHER = "Authorization: Bearer token-two";
const std::string OPERATOR = "Authorization: Bearer token-operator";

/* Three workers of 8 accelerators in one rack; "two" is guaranteed one. */
std::string
Document()
{
    return "version: 1\nservices: []\nweights: {completion: 50, "
           "fragmentation: 50}\n"
           "topology:\n  regions:\n    - name: here\n"
           "      failure_domains:\n        - name: a\n"
           "          racks:\n            - name: r\n"
           "              workers:\n"
           "                - {name: w1, accelerators: 8}\n"
           "                - {name: w2, accelerators: 8}\n"
           "                - {name: w3, accelerators: 8}\n"
           "operators:\n"
           "  - name: op\n    token_hashes: [" +
           HashOf("token-operator") +
           "]\n"
           "organisations:\n"
           "  - name: one\n    token_hashes: [" +
           HashOf("token-one") +
           "]\n"
           "  - name: two\n    token_hashes: [" +
           HashOf("token-two") +
           "]\n"
           "    guarantees:\n      - {shape: worker, count: 1}\n"
           "classes:\n"
           "  - {name: train, kind: job, priority: batch, repeatable: true, "
           "deadline_ms: 0, grace_ms: 1000, checkpoint: true}\n"
           "  - {name: once, kind: job, priority: batch, repeatable: false, "
           "deadline_ms: 0, grace_ms: 1000}\n";
}

/* An entry, and where it listens. */
struct Entry {
    Entry(const TempDir &dir, const std::string &name,
          const std::string &table)
        : process(
              dir, "parsleyfall",
              {"serve", dir.Write(name + ".yaml", Settings(dir, name, table))},
              name)
    {
        EXPECT_TRUE(WaitFor([&] {
            return process.Err().find("event=listening") != std::string::npos;
        })) << process.Err();
        http = "http://127.0.0.1:" + Word("http=");
        links = Word("links=");
    }
    static std::string Settings(const TempDir &dir, const std::string &name,
                                const std::string &table)
    {
        return "name: " + name +
               "\nregion: here\nfailure_domain: a\n"
               "listen: {address: 127.0.0.1, http_port: 0, link_port: 0}\n"
               "platform: {table_url: \"" +
               table + "\", objects_url: \"" + table +
               "\"}\nconfiguration_file: " +
               dir.Write("document.yaml", Document()) + "\n";
    }
    std::string Word(const std::string &key) const
    {
        std::string err = process.Err();
        size_t line = err.find("event=listening");
        size_t at = err.find(key, line) + key.size();

        return err.substr(at, err.find_first_of(" \n", at) - at);
    }
    /* A flag of the task's state. */
    bool Says(const char *flag)
    {
        Reply r = Http("GET", http + "/v1/state", "", {OPERATOR});

        return json_is_true(
            json_object_get(json_object_get(r.json().get(), "gangs"), flag));
    }
    bool Owns()
    {
        return Says("owner");
    }
    int64_t Accelerators(const std::string &which)
    {
        return Number(
            Http("GET", http + "/v1/state", "", {OPERATOR}).json().get(),
            "gangs/accelerators/" + which);
    }
    Process process;
    std::string http, links;
};

/* A table service and entries. */
struct Base : ::testing::Test {
    std::vector<std::string> Entries(int count)
    {
        std::vector<std::string> links;

        platform = std::make_unique<Fake>(dir, "fake-platform");
        for (int i = 0; i < count; i++) {
            entry.push_back(std::make_unique<Entry>(
                dir, "entry-" + std::to_string(i), platform->Url()));
            links.push_back(entry.back()->links);
        }
        return links;
    }
    int Owner()
    {
        for (size_t i = 0; i < entry.size(); i++) {
            if (entry[i]->process.Running() && entry[i]->Owns()) {
                return (int)i;
            }
        }
        return -1;
    }
    std::string Submit(const Entry &e, const std::string &body,
                       const std::string &token = ORG)
    {
        Reply r = Http("POST", e.http + "/v1/jobs", body, {token});

        EXPECT_EQ(r.status, 202) << r.body;
        return Text(r.json().get(), "job");
    }
    std::string State(const Entry &e, const std::string &job)
    {
        Reply r = Http("GET", e.http + "/v1/jobs/" + job, "", {ORG});

        return Text(r.json().get(), "state");
    }
    bool Becomes(const Entry &e, const std::string &job,
                 const std::string &state, int64_t ms = 10000)
    {
        return WaitFor([&] { return State(e, job) == state; }, ms);
    }
    TempDir dir;
    std::unique_ptr<Fake> platform;
    std::vector<std::unique_ptr<Entry>> entry;
};

/* With three agents of the test's own, that speak to all entries. */
struct Region : Base {
    void Up(int entries)
    {
        std::vector<std::string> links = Entries(entries);

        agents.Add("w1", links);
        agents.Add("w2", links);
        agents.Add("w3", links);
        agents.Run();
        ASSERT_TRUE(WaitFor([&] { return Owner() >= 0; }));
        ASSERT_TRUE(WaitFor([&] {
            return agents.Bound("w1", "two") + agents.Bound("w2", "two") +
                       agents.Bound("w3", "two") ==
                   0xff;
        }));
    }
    gang::Agents agents;
};

/* With three real agents, each beside the stand-in of a worker, whose exact
 * log of its task runner is the judge. */
struct Workers : Base {
    void Up(int entries)
    {
        std::vector<std::string> links = Entries(entries);
        std::string seeds;

        for (const std::string &link : links) {
            seeds += (seeds.empty() ? "\"" : ", \"") + link + "\"";
        }
        for (int i = 0; i < 3; i++) {
            std::string name = "w" + std::to_string(i + 1);

            worker.push_back(std::make_unique<Fake>(
                dir, "fake-upstream", std::vector<std::string>{}, name));
            agent.push_back(std::make_unique<Process>(
                dir, "parsleyfall-agent",
                std::vector<std::string>{"run",
                                         dir.Write("agent-" + name + ".yaml",
                                                   Settings(name, seeds, i))},
                "agent-" + name));
        }
        ASSERT_TRUE(WaitFor([&] { return Owner() >= 0; }));
        ASSERT_TRUE(WaitFor([&] {
            return std::all_of(agent.begin(), agent.end(), [](auto &a) {
                return a->Err().find("event=bind") != std::string::npos;
            });
        }));
    }
    std::string Settings(const std::string &name, const std::string &seeds,
                         int i)
    {
        return "name: " + name +
               "\nregion: here\nfailure_domain: a\nrack: r\n"
               "accelerators: 8\nseeds: [" +
               seeds + "]\nservices: []\nrunner_url: \"" +
               worker[(size_t)i]->Url() + "\"\n";
    }
    /* Events of that kind in all workers' logs. */
    int Count(const std::string &job, int64_t attempt,
              const std::string &event)
    {
        int n = 0;

        for (auto &w : worker) {
            Json log = Http("GET", w->Url("/runner/log")).json();
            size_t i;
            json_t *line;

            EXPECT_EQ(Number(log.get(), "double_booked"), 0);
            EXPECT_EQ(Number(log.get(), "overlapping"), 0);
            json_array_foreach(json_object_get(log.get(), "log"), i, line)
            {
                n += Text(line, "job") == job &&
                     Number(line, "attempt") == attempt &&
                     Text(line, "event") == event;
            }
        }
        return n;
    }
    std::string Errors()
    {
        std::string all;

        for (auto &e : entry) {
            all += e->process.Err();
        }
        for (auto &a : agent) {
            all += a->Err();
        }
        return all;
    }
    std::vector<std::unique_ptr<Fake>> worker;
    std::vector<std::unique_ptr<Process>> agent;
};

const char TWO_BY_EIGHT[] =
    "{\"class\":\"train\",\"tasks\":2,\"accelerators\":8}";

const char ONE_BY_EIGHT[] =
    "{\"class\":\"train\",\"tasks\":1,\"accelerators\":8}";

/* The caller submits a gang of two whole workers, sees it run, and cancels it;
 * both members start once and stop, and another organisation sees nothing. */
TEST_F(Region, GangRunsAndIsCancelled)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT);

    ASSERT_TRUE(Becomes(e, job, "running")) << e.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "start"), 2);
    EXPECT_EQ(Http("GET", e.http + "/v1/jobs/" + job, "", {OTHER}).status,
              404);
    EXPECT_EQ(Http("DELETE", e.http + "/v1/jobs/" + job, "", {OTHER}).status,
              404);
    EXPECT_EQ(Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG}).status,
              202);
    ASSERT_TRUE(Becomes(e, job, "cancelled")) << e.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "stop"), 2);
    EXPECT_EQ(agents.Count(job, 2, "start"), 0);
    EXPECT_EQ(e.process.Terminate(), 0) << e.process.Err();
}

/* An operator looks at the console while a gang runs. At the owner's entry
 * the accelerators bear its id; another entry can't tell what they do, and
 * must not show them as free, or the operator takes a full region for empty.
 * A job that waits bears the reason, which is recorded for its caller too. */
TEST_F(Region, OverviewTellsWhoHoldsWhat)
{
    Up(2);
    const Entry &owner = *entry[(size_t)Owner()];
    const Entry &other = *entry[(size_t)(1 - Owner())];
    std::string job =
        Submit(owner, R"({"class":"train","tasks":2,"accelerators":8})");
    auto count = [](const Entry &e, const std::string &what) {
        std::string view =
            Http("GET", e.http + "/v1/overview", "", {OPERATOR}).body;
        size_t n = 0, at = 0;

        while ((at = view.find("\"" + what + "\"", at)) != view.npos) {
            at++;
            n++;
        }
        return n;
    };

    ASSERT_TRUE(Becomes(owner, job, "running"));
    EXPECT_EQ(count(owner, job), 16u);
    EXPECT_EQ(count(owner, "?"), 0u);
    EXPECT_EQ(count(other, job), 0u);
    EXPECT_EQ(count(other, "?"), 24u);

    std::string waiting =
        Submit(owner, R"({"class":"train","tasks":2,"accelerators":8})");
    EXPECT_TRUE(WaitFor([&] { return count(owner, "wait_full") == 1; }));
    Reply why = Http("GET", owner.http + "/v1/why/" + waiting, "", {ORG});
    EXPECT_NE(why.body.find("\"wait_full\""), why.body.npos) << why.body;
}

TEST_F(Region, GangRunsToItsEnd)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, "{\"class\":\"once\",\"tasks\":2,"
                                "\"accelerators\":8,\"spec\":"
                                "{\"run_ms\":300}}");

    ASSERT_TRUE(Becomes(e, job, "done")) << e.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "end"), 2);
    EXPECT_EQ(agents.Log().size(), 4u); /* two starts, two ends */
}

/* What can't run is said at once and with its reason: it would wait for ever.
 */
TEST_F(Region, JobThatCanNeverRunIsToldSo)
{
    static const struct {
        const char *body;
        const char *reason;
    } cases[] = {
        {"{\"class\":\"train\",\"tasks\":1,\"accelerators\":9}", "never_task"},
        {"{\"class\":\"train\",\"tasks\":4,\"accelerators\":8}", "never_gang"},
        {"{\"class\":\"train\",\"tasks\":2,\"accelerators\":8,"
         "\"within\":\"worker\"}",
         "never_within"},
        {"{\"class\":\"train\",\"tasks\":1,\"accelerators\":8,"
         "\"guaranteed\":true}",
         "never_guarantee"},
    };

    Up(1);
    for (const auto &c : cases) {
        std::string job = Submit(*entry[0], c.body);
        Json row;

        ASSERT_TRUE(Becomes(*entry[0], job, "cannot_run")) << c.body;
        row =
            Http("GET", entry[0]->http + "/v1/jobs/" + job, "", {ORG}).json();
        EXPECT_EQ(Text(row.get(), "reason"), c.reason) << c.body;
    }
    EXPECT_TRUE(agents.Log().empty());
}

/* A task fails. Work that may not be repeated ends as failed, and is never
 * started again; other work is tried as a whole once more. */
TEST_F(Region, FailedTaskEndsOrRepeatsTheWholeGang)
{
    const std::string rest = "\",\"tasks\":2,\"accelerators\":4,\"within\":"
                             "\"any\",\"spec\":{\"run_ms\":100,"
                             "\"fail\":true}}";

    Up(1);
    std::string once = Submit(*entry[0], "{\"class\":\"once" + rest);
    std::string again = Submit(*entry[0], "{\"class\":\"train" + rest);

    ASSERT_TRUE(Becomes(*entry[0], once, "failed")) << entry[0]->process.Err();
    ASSERT_TRUE(
        WaitFor([&] { return agents.Count(again, 2, "start") > 0; }, 20000))
        << entry[0]->process.Err();
    EXPECT_EQ(agents.Count(once, 2, "start"), 0);
}

/* One member is lost without a word. Its fellow can't be renewed any more,
 * stops by its lease within the bound that the model shows, and is fenced;
 * when the lost one can't work any more either, the whole gang starts again
 * on other workers as attempt 2. */
TEST_F(Region, LostMemberStopsTheWholeGang)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT), lost;
    int64_t killed, lapsed = 0;

    ASSERT_TRUE(Becomes(e, job, "running")) << e.process.Err();
    lost = agents.Log()[0].agent;
    agents.Kill(lost);
    killed = Clock_NowMs();
    ASSERT_TRUE(WaitFor([&] { return agents.Count(job, 1, "lapse") == 1; },
                        GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS + 5000))
        << e.process.Err();
    ASSERT_TRUE(WaitFor([&] { return agents.Count(job, 2, "start") == 2; },
                        GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS + 10000))
        << e.process.Err();
    for (const gang::Event &event : agents.Log()) {
        EXPECT_FALSE(event.attempt == 2 && event.agent == lost);
        lapsed = event.what == "lapse" ? event.at : lapsed;
        if (event.attempt == 2 && event.what == "start") {
            EXPECT_GT(event.at - killed,
                      GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS);
        }
    }
    EXPECT_LE(lapsed - killed, GANG_PULSE_MAX_AGE_MS + GANG_LEASE_MS + 100);
}

/* The owner dies. Another entry takes the term when the heartbeat has not
 * changed for three renewals, finds the members at work, and goes on with
 * them; the gang is neither cut nor started again. */
TEST_F(Region, GangGoesOnWhenItsOwnerDies)
{
    Up(2);
    int first = Owner();
    Entry &other = *entry[1 - first];
    std::string job = Submit(other, TWO_BY_EIGHT);

    ASSERT_TRUE(Becomes(other, job, "running")) << other.process.Err();
    entry[first]->process.Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return other.Owns(); }, 20000));
    ASSERT_TRUE(WaitFor(
        [&] {
            return other.process.Err().find("decision=adopted") !=
                   std::string::npos;
        },
        10000))
        << other.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "start"), 2);
    EXPECT_EQ(agents.Count(job, 1, "stop") + agents.Count(job, 1, "lapse"), 0);
    EXPECT_EQ(State(other, job), "running");
}

/* Guaranteed work lies in its organisation's cells, whose places the owner
 * chose: here another worker than at first, which is lost. A new owner that
 * chose anew would count the work as lent, and displace it for somebody
 * else's guarantee. */
TEST_F(Region, GuaranteedWorkStaysSoUnderANewOwner)
{
    Up(2);
    int first = Owner();
    Entry &owner = *entry[first], &other = *entry[1 - first];
    std::string bound = "w1", lent, job;

    while (agents.Bound(bound, "two") == 0) {
        bound[1]++;
    }
    agents.Kill(bound);
    ASSERT_TRUE(WaitFor([&] {
        return agents.Bound("w1", "two") + agents.Bound("w2", "two") +
                   agents.Bound("w3", "two") ==
               2 * 0xff; /* the lost one's word included */
    }));
    lent = Submit(other, ONE_BY_EIGHT);
    ASSERT_TRUE(Becomes(other, lent, "running")) << owner.process.Err();
    job = Submit(other,
                 "{\"class\":\"once\",\"tasks\":1,\"accelerators\":8,"
                 "\"guaranteed\":true}",
                 OTHER);
    ASSERT_TRUE(WaitFor([&] { return agents.Count(job, 1, "start") == 1; }));
    ASSERT_TRUE(WaitFor([&] { return owner.Says("bindings_stored"); }));
    EXPECT_EQ(owner.Accelerators("guaranteed"), 8);
    owner.process.Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return other.Owns(); }, 20000));
    ASSERT_TRUE(WaitFor([&] { return other.Accelerators("lent") == 8; }))
        << other.process.Err();
    EXPECT_EQ(other.Accelerators("guaranteed"), 8);
    EXPECT_EQ(agents.Log().size(), 2u);
}

/* An agent's process is replaced. The new one says hello before its worker has
 * told it what runs, and adopts the part then. Taken by its hello, the whole
 * gang would be cut at every restart of an agent. */
TEST_F(Region, RestartedAgentDoesNotCutTheGang)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT), later;

    ASSERT_TRUE(Becomes(e, job, "running")) << e.process.Err();
    agents.Restart(agents.Log()[0].agent);
    later = Submit(e, ONE_BY_EIGHT);
    ASSERT_TRUE(Becomes(e, later, "running")) << e.process.Err();
    EXPECT_EQ(State(e, job), "running");
    EXPECT_EQ(agents.Log().size(), 3u); /* starts */
}

/* The owner is asked to leave. It gives the region away first, so nobody has
 * to wait for its heartbeat; the gang goes on. */
TEST_F(Region, LeavingOwnerGivesItsRegionAway)
{
    Up(2);
    int first = Owner();
    Entry &other = *entry[1 - first];
    std::string job = Submit(other, TWO_BY_EIGHT);

    ASSERT_TRUE(Becomes(other, job, "running")) << other.process.Err();
    EXPECT_EQ(entry[first]->process.Terminate(), 0);
    EXPECT_NE(entry[first]->process.Err().find("reason=resigned"),
              std::string::npos);
    ASSERT_TRUE(WaitFor([&] { return other.Owns(); }));
    ASSERT_TRUE(WaitFor([&] { return other.Accelerators("lent") == 16; }));
    EXPECT_EQ(agents.Log().size(), 2u);
}

/* The owner is paused between its prepares and their answers, past its term.
 * Another entry takes the term and starts the job. The paused one wakes, finds
 * all answers there, and must neither commit nor release: its reservations
 * are long over, its term is gone, and agents refuse what it says. */
TEST_F(Region, PausedOwnerStartsNothing)
{
    Up(2);
    int first = Owner();
    Entry &paused = *entry[first], &other = *entry[1 - first];
    std::string job;

    agents.Hold(true);
    job = Submit(other, TWO_BY_EIGHT);
    ASSERT_TRUE(WaitFor([&] { return agents.Held() == 2; }));
    paused.process.Signal(SIGSTOP);
    agents.Hold(false);
    ASSERT_TRUE(WaitFor([&] { return other.Owns(); }, 20000));
    ASSERT_TRUE(Becomes(other, job, "running")) << other.process.Err();
    paused.process.Signal(SIGCONT);
    ASSERT_TRUE(WaitFor([&] { return !paused.Owns(); }));
    EXPECT_EQ(agents.Log().size(), 2u);
    for (const gang::Event &event : agents.Log()) {
        EXPECT_EQ(event.what, "start");
        EXPECT_EQ(event.term, 2u);
    }
    EXPECT_GT(agents.LowerTerms(), 0);
    EXPECT_EQ(State(other, job), "running");
}

/* A wave of jobs is submitted behind one that fills the region, and cancelled
 * at once. None of them ever starts. */
TEST_F(Region, CancelledWaveNeverStarts)
{
    Up(1);
    Entry &e = *entry[0];
    std::string first = Submit(e, TWO_BY_EIGHT);
    std::vector<std::string> wave;

    ASSERT_TRUE(Becomes(e, first, "running")) << e.process.Err();
    for (int i = 0; i < 120; i++) {
        Reply r;

        ASSERT_TRUE(WaitFor([&] {
            r = Http("POST", e.http + "/v1/jobs", TWO_BY_EIGHT, {ORG});
            return r.status != 503; /* over its budget of writes */
        }));
        ASSERT_EQ(r.status, 202) << r.body;
        wave.push_back(Text(r.json().get(), "job"));
    }
    for (const std::string &job : wave) {
        Reply r = Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG});

        EXPECT_EQ(r.status, 200) << r.body;
    }
    Http("DELETE", e.http + "/v1/jobs/" + first, "", {ORG});
    ASSERT_TRUE(Becomes(e, first, "cancelled"));
    EXPECT_EQ(agents.Log().size(), 4u); /* two starts, two stops */
    for (const std::string &job : wave) {
        EXPECT_TRUE(Becomes(e, job, "cancelled"));
    }
}

/* The table service goes down. A queued job is refused at once with a time to
 * come back, as its row could not be kept; an attached one runs. */
TEST_F(Region, TableDownRefusesQueuedAndServesAttached)
{
    Up(1);
    Entry &e = *entry[0];
    Reply r;

    platform->process.Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return e.Says("table_down"); }));
    r = Http("POST", e.http + "/v1/jobs", TWO_BY_EIGHT, {ORG});
    EXPECT_EQ(r.status, 503) << r.body;
    EXPECT_EQ(Text(r.json().get(), "outcome"), "not_run");
    EXPECT_EQ(r.headers.count("retry-after"), 1u);
    r = Http("POST", e.http + "/v1/jobs",
             "{\"class\":\"train\",\"tasks\":2,\"accelerators\":8,"
             "\"attached\":true,\"spec\":{\"run_ms\":200}}",
             {ORG});
    EXPECT_EQ(r.status, 200) << r.body << e.process.Err();
    EXPECT_EQ(Text(r.json().get(), "state"), "done");
    EXPECT_EQ(agents.Log().size(), 4u);
}

/* Lent work fills the region when the other organisation calls its guarantee:
 * the lent gang stops whole, and the guaranteed job starts. */
TEST_F(Region, GuaranteeIsReclaimedFromLentWork)
{
    Up(1);
    Entry &e = *entry[0];
    std::string lent = Submit(e, "{\"class\":\"train\",\"tasks\":3,"
                                 "\"accelerators\":8}"),
                claim;

    ASSERT_TRUE(Becomes(e, lent, "running")) << e.process.Err();
    claim = Submit(e,
                   "{\"class\":\"train\",\"tasks\":1,\"accelerators\":8,"
                   "\"guaranteed\":true}",
                   OTHER);
    ASSERT_TRUE(WaitFor([&] { return agents.Count(claim, 1, "start") == 1; }))
        << e.process.Err();
    EXPECT_EQ(agents.Count(lent, 1, "stop"), 3);
    EXPECT_TRUE(Becomes(e, lent, "queued"));
}

/* ---- with real agents -------------------------------------------------- */

TEST_F(Workers, GangRunsAndIsCancelled)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT);

    ASSERT_TRUE(Becomes(e, job, "running")) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
    Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG});
    ASSERT_TRUE(Becomes(e, job, "cancelled")) << Errors();
    EXPECT_EQ(Count(job, 1, "stop"), 2);
    EXPECT_EQ(Count(job, 2, "start"), 0);
}

TEST_F(Workers, GangRunsToItsEnd)
{
    Up(2);
    Entry &e = *entry[0];
    std::string job = Submit(e, "{\"class\":\"once\",\"tasks\":2,"
                                "\"accelerators\":8,\"spec\":"
                                "{\"run_ms\":300}}");

    ASSERT_TRUE(Becomes(e, job, "done")) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
    EXPECT_EQ(Count(job, 1, "end"), 2);
    EXPECT_EQ(Count(job, 2, "start"), 0);
}

/* A gang works for longer than a lease, while its owner dies and another entry
 * takes over: the renewers keep it alive, and it runs once. */
TEST_F(Workers, GangOutlivesItsOwner)
{
    Up(2);
    int first = Owner();
    Entry &other = *entry[1 - first];
    std::string job = Submit(other, "{\"class\":\"once\",\"tasks\":2,"
                                    "\"accelerators\":8,\"spec\":"
                                    "{\"run_ms\":18000}}");

    ASSERT_TRUE(Becomes(other, job, "running")) << Errors();
    entry[first]->process.Signal(SIGKILL);
    ASSERT_TRUE(Becomes(other, job, "done", 30000)) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
    EXPECT_EQ(Count(job, 1, "end"), 2);
    EXPECT_EQ(Count(job, 2, "start"), 0);
}

/* An agent dies and is replaced within the lease. Its new process finds the
 * task at work and speaks for it; the gang is not cut, and runs once. */
TEST_F(Workers, GangOutlivesItsAgentsProcess)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, "{\"class\":\"once\",\"tasks\":3,"
                                "\"accelerators\":8,\"spec\":"
                                "{\"run_ms\":16000}}");

    ASSERT_TRUE(Becomes(e, job, "running")) << Errors();
    agent[0]->Signal(SIGKILL);
    agent[0] = std::make_unique<Process>(
        dir, "parsleyfall-agent",
        std::vector<std::string>{"run", dir.Path("agent-w1.yaml")},
        "agent-w1-again");
    ASSERT_TRUE(Becomes(e, job, "done", 30000)) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 3);
    EXPECT_EQ(Count(job, 1, "end"), 3);
}

/* An agent and its worker's link die with it. Its worker ends the task by the
 * lease, as its fellow does; then the whole gang runs on other workers. */
TEST_F(Workers, LostAgentMovesTheWholeGang)
{
    Up(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT);
    size_t lost = 0;

    ASSERT_TRUE(Becomes(e, job, "running")) << Errors();
    while (Http("GET", worker[lost]->Url("/runner/log")).body.find(job) ==
           std::string::npos) {
        lost++;
    }
    agent[lost]->Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return Count(job, 2, "start") == 2; }, 45000))
        << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
}

/* As with agents of the test's own: all of a lent gang stops for a guarantee,
 * and goes back to the queue. */
TEST_F(Workers, GuaranteeIsReclaimedFromLentWork)
{
    Up(1);
    Entry &e = *entry[0];
    std::string lent = Submit(e, "{\"class\":\"train\",\"tasks\":3,"
                                 "\"accelerators\":8}"),
                claim;

    ASSERT_TRUE(Becomes(e, lent, "running")) << Errors();
    claim = Submit(e,
                   "{\"class\":\"train\",\"tasks\":1,\"accelerators\":8,"
                   "\"guaranteed\":true}",
                   OTHER);
    ASSERT_TRUE(WaitFor([&] { return Count(claim, 1, "start") == 1; }))
        << Errors();
    EXPECT_EQ(Count(lent, 1, "stop"), 3);
    EXPECT_TRUE(Becomes(e, lent, "queued"));
}

} /* namespace */
