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
const std::string ORG_TWO = "Authorization: Bearer token-two";
const std::string OPERATOR = "Authorization: Bearer token-operator";

/* Three workers of 8 accelerators in one rack; organisation "two" has a
 * guarantee of one worker. */
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

/* A process of an entry, with its addresses. */
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
        http = "http://127.0.0.1:" + LogField("http=");
        links = LogField("links=");
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
    std::string LogField(const std::string &key) const
    {
        std::string err = process.Err();
        size_t line = err.find("event=listening");
        size_t at = err.find(key, line) + key.size();

        return err.substr(at, err.find_first_of(" \n", at) - at);
    }
    /* A flag in the state of the task "gangs". */
    bool Flag(const char *flag)
    {
        Reply r = Http("GET", http + "/v1/state", "", {OPERATOR});

        return json_is_true(
            json_object_get(json_object_get(r.json().get(), "gangs"), flag));
    }
    bool IsOwner()
    {
        return Flag("owner");
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

/* A fake platform with its table service, and entries. */
struct EntriesTest : ::testing::Test {
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
            if (entry[i]->process.Running() && entry[i]->IsOwner()) {
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
    bool WaitForState(const Entry &e, const std::string &job,
                      const std::string &state, int64_t ms = 10000)
    {
        return WaitFor([&] { return State(e, job) == state; }, ms);
    }
    TempDir dir;
    std::unique_ptr<Fake> platform;
    std::vector<std::unique_ptr<Entry>> entry;
};

/* Entries with three simulated agents, which connect to all of them. */
struct Region : EntriesTest {
    void Start(int entries)
    {
        std::vector<std::string> links = Entries(entries);

        agents.Add("w1", links);
        agents.Add("w2", links);
        agents.Add("w3", links);
        agents.Run();
        ASSERT_TRUE(WaitFor([&] { return Owner() >= 0; }));
        ASSERT_TRUE(WaitFor([&] {
            return agents.BoundMask("w1", "two") +
                       agents.BoundMask("w2", "two") +
                       agents.BoundMask("w3", "two") ==
                   0xff;
        }));
    }
    gang::Agents agents;
};

/* Entries with three real agents, each beside a fake worker. The tests check
 * the logs of the fake workers' task runners. */
struct Workers : EntriesTest {
    void Start(int entries)
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
    /* Number of events of a kind in the logs of all workers. */
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

/* A caller submits a gang of two whole workers and cancels it while it runs:
 * both members start once and stop. Another organisation can neither read nor
 * cancel the job. */
TEST_F(Region, GangRunsAndIsCancelled)
{
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT);

    ASSERT_TRUE(WaitForState(e, job, "running")) << e.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "start"), 2);
    EXPECT_EQ(Http("GET", e.http + "/v1/jobs/" + job, "", {ORG_TWO}).status,
              404);
    EXPECT_EQ(Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG_TWO}).status,
              404);
    EXPECT_EQ(Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG}).status,
              202);
    ASSERT_TRUE(WaitForState(e, job, "cancelled")) << e.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "stop"), 2);
    EXPECT_EQ(agents.Count(job, 2, "start"), 0);
    EXPECT_EQ(e.process.Terminate(), 0) << e.process.Err();
}

/* The overview for operators while a gang runs. The owner shows the job's id
 * at its accelerators. Another entry does not know the placement, and must not
 * show the accelerators as free, as a full region would look empty. A waiting
 * job is shown with its reason, which its caller can read too. */
TEST_F(Region, OverviewShowsJobAtItsAccelerators)
{
    Start(2);
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

    ASSERT_TRUE(WaitForState(owner, job, "running"));
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
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, "{\"class\":\"once\",\"tasks\":2,"
                                "\"accelerators\":8,\"spec\":"
                                "{\"run_ms\":300}}");

    ASSERT_TRUE(WaitForState(e, job, "done")) << e.process.Err();
    EXPECT_EQ(agents.Count(job, 1, "end"), 2);
    EXPECT_EQ(agents.Log().size(), 4u); /* two starts, two ends */
}

/* A job that no placement can ever satisfy ends at once with the reason, as it
 * would wait for ever otherwise. */
TEST_F(Region, JobThatCanNeverRunEndsWithReason)
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

    Start(1);
    for (const auto &c : cases) {
        std::string job = Submit(*entry[0], c.body);
        Json row;

        ASSERT_TRUE(WaitForState(*entry[0], job, "cannot_run")) << c.body;
        row =
            Http("GET", entry[0]->http + "/v1/jobs/" + job, "", {ORG}).json();
        EXPECT_EQ(Text(row.get(), "reason"), c.reason) << c.body;
    }
    EXPECT_TRUE(agents.Log().empty());
}

/* A task fails. A job that is not repeatable ends as failed and never starts
 * again; of a repeatable one the whole gang starts again. */
TEST_F(Region, FailedTaskEndsOrRepeatsTheWholeGang)
{
    const std::string rest = "\",\"tasks\":2,\"accelerators\":4,\"within\":"
                             "\"any\",\"spec\":{\"run_ms\":100,"
                             "\"fail\":true}}";

    Start(1);
    std::string once = Submit(*entry[0], "{\"class\":\"once" + rest);
    std::string again = Submit(*entry[0], "{\"class\":\"train" + rest);

    ASSERT_TRUE(WaitForState(*entry[0], once, "failed"))
        << entry[0]->process.Err();
    ASSERT_TRUE(
        WaitFor([&] { return agents.Count(again, 2, "start") > 0; }, 20000))
        << entry[0]->process.Err();
    EXPECT_EQ(agents.Count(once, 2, "start"), 0);
}

/* An agent of a gang is lost without a message. The other member's lease is
 * not renewed any more, so it stops within GANG_PULSE_MAX_AGE_MS +
 * GANG_LEASE_MS, the bound that the model shows, and is fenced. Once the
 * leases of the lost member are over too, the whole gang starts on other
 * workers as attempt 2. */
TEST_F(Region, LostMemberStopsTheWholeGang)
{
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT), lost;
    int64_t killed, lapsed = 0;

    ASSERT_TRUE(WaitForState(e, job, "running")) << e.process.Err();
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

/* The owner is killed. Another entry becomes the owner when the heartbeat has
 * not changed for three renewal intervals, finds that all members run, and
 * adopts the gang, which is neither stopped nor started again. */
TEST_F(Region, GangContinuesWhenItsOwnerIsKilled)
{
    Start(2);
    int first = Owner();
    Entry &other = *entry[1 - first];
    std::string job = Submit(other, TWO_BY_EIGHT);

    ASSERT_TRUE(WaitForState(other, job, "running")) << other.process.Err();
    entry[first]->process.Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return other.IsOwner(); }, 20000));
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

/* A guaranteed job runs in a cell of its organisation, which the owner has
 * moved as the first worker was lost. The owner is killed. If the new owner
 * did not restore the bindings but chose new ones, it would count the job as
 * lent work and preempt it for another guarantee. */
TEST_F(Region, GuaranteedJobStaysGuaranteedUnderNewOwner)
{
    Start(2);
    int first = Owner();
    Entry &owner = *entry[first], &other = *entry[1 - first];
    std::string bound = "w1", lent, job;

    while (agents.BoundMask(bound, "two") == 0) {
        bound[1]++;
    }
    agents.Kill(bound);
    ASSERT_TRUE(WaitFor([&] {
        return agents.BoundMask("w1", "two") + agents.BoundMask("w2", "two") +
                   agents.BoundMask("w3", "two") ==
               2 * 0xff; /* the lost agent's mask included */
    }));
    lent = Submit(other, ONE_BY_EIGHT);
    ASSERT_TRUE(WaitForState(other, lent, "running")) << owner.process.Err();
    job = Submit(other,
                 "{\"class\":\"once\",\"tasks\":1,\"accelerators\":8,"
                 "\"guaranteed\":true}",
                 ORG_TWO);
    ASSERT_TRUE(WaitFor([&] { return agents.Count(job, 1, "start") == 1; }));
    ASSERT_TRUE(WaitFor([&] { return owner.Flag("bindings_stored"); }));
    EXPECT_EQ(owner.Accelerators("guaranteed"), 8);
    owner.process.Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return other.IsOwner(); }, 20000));
    ASSERT_TRUE(WaitFor([&] { return other.Accelerators("lent") == 8; }))
        << other.process.Err();
    EXPECT_EQ(other.Accelerators("guaranteed"), 8);
    EXPECT_EQ(agents.Log().size(), 2u);
}

/* An agent restarts. Its new process sends its hello before its worker has
 * reported what runs there, and adopts the part afterwards. If the owner
 * treated a part that the hello does not list as ended, each restart of an
 * agent would stop the whole gang. */
TEST_F(Region, RestartedAgentDoesNotStopTheGang)
{
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT), later;

    ASSERT_TRUE(WaitForState(e, job, "running")) << e.process.Err();
    agents.Restart(agents.Log()[0].agent);
    later = Submit(e, ONE_BY_EIGHT);
    ASSERT_TRUE(WaitForState(e, later, "running")) << e.process.Err();
    EXPECT_EQ(State(e, job), "running");
    EXPECT_EQ(agents.Log().size(), 3u); /* starts */
}

/* The owner is terminated. It resigns before it exits, so another entry takes
 * over without waiting for the heartbeat to expire; the gang goes on. */
TEST_F(Region, TerminatedOwnerResigns)
{
    Start(2);
    int first = Owner();
    Entry &other = *entry[1 - first];
    std::string job = Submit(other, TWO_BY_EIGHT);

    ASSERT_TRUE(WaitForState(other, job, "running")) << other.process.Err();
    EXPECT_EQ(entry[first]->process.Terminate(), 0);
    EXPECT_NE(entry[first]->process.Err().find("reason=resigned"),
              std::string::npos);
    ASSERT_TRUE(WaitFor([&] { return other.IsOwner(); }));
    ASSERT_TRUE(WaitFor([&] { return other.Accelerators("lent") == 16; }));
    EXPECT_EQ(agents.Log().size(), 2u);
}

/* The owner is paused between its prepares and their answers until its term is
 * over. Another entry becomes the owner and starts the job. When the first one
 * is resumed, it finds all answers to its prepares, but must neither commit
 * nor release: the reservations have lapsed, its term is over, and agents
 * refuse messages of an old term. */
TEST_F(Region, PausedOwnerStartsNothing)
{
    Start(2);
    int first = Owner();
    Entry &paused = *entry[first], &other = *entry[1 - first];
    std::string job;

    agents.HoldPrepared(true);
    job = Submit(other, TWO_BY_EIGHT);
    ASSERT_TRUE(WaitFor([&] { return agents.HeldPrepared() == 2; }));
    paused.process.Signal(SIGSTOP);
    agents.HoldPrepared(false);
    ASSERT_TRUE(WaitFor([&] { return other.IsOwner(); }, 20000));
    ASSERT_TRUE(WaitForState(other, job, "running")) << other.process.Err();
    paused.process.Signal(SIGCONT);
    ASSERT_TRUE(WaitFor([&] { return !paused.IsOwner(); }));
    EXPECT_EQ(agents.Log().size(), 2u);
    for (const gang::Event &event : agents.Log()) {
        EXPECT_EQ(event.what, "start");
        EXPECT_EQ(event.term, 2u);
    }
    EXPECT_GT(agents.RefusedTerms(), 0);
    EXPECT_EQ(State(other, job), "running");
}

/* Many jobs are submitted behind one that leaves them no room, and are
 * cancelled at once. None of them ever starts. */
TEST_F(Region, ManyCancelledJobsNeverStart)
{
    Start(1);
    Entry &e = *entry[0];
    std::string first = Submit(e, TWO_BY_EIGHT);
    std::vector<std::string> wave;

    ASSERT_TRUE(WaitForState(e, first, "running")) << e.process.Err();
    for (int i = 0; i < 120; i++) {
        Reply r;

        ASSERT_TRUE(WaitFor([&] {
            r = Http("POST", e.http + "/v1/jobs", TWO_BY_EIGHT, {ORG});
            return r.status != 503; /* the budget of writes is used up */
        }));
        ASSERT_EQ(r.status, 202) << r.body;
        wave.push_back(Text(r.json().get(), "job"));
    }
    for (const std::string &job : wave) {
        Reply r = Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG});

        EXPECT_EQ(r.status, 200) << r.body;
    }
    Http("DELETE", e.http + "/v1/jobs/" + first, "", {ORG});
    ASSERT_TRUE(WaitForState(e, first, "cancelled"));
    EXPECT_EQ(agents.Log().size(), 4u); /* two starts, two stops */
    for (const std::string &job : wave) {
        EXPECT_TRUE(WaitForState(e, job, "cancelled"));
    }
}

/* The table service goes down. A queued job is refused at once with a
 * Retry-After, as its row can't be written; an attached job, which has no row,
 * runs. */
TEST_F(Region, TableDownRefusesQueuedAndServesAttached)
{
    Start(1);
    Entry &e = *entry[0];
    Reply r;

    platform->process.Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return e.Flag("table_down"); }));
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

/* A lent job fills the region, and another organisation submits a guaranteed
 * job: the whole lent gang stops, and the guaranteed job starts. */
TEST_F(Region, GuaranteeIsReclaimedFromLentWork)
{
    Start(1);
    Entry &e = *entry[0];
    std::string lent = Submit(e, "{\"class\":\"train\",\"tasks\":3,"
                                 "\"accelerators\":8}"),
                claim;

    ASSERT_TRUE(WaitForState(e, lent, "running")) << e.process.Err();
    claim = Submit(e,
                   "{\"class\":\"train\",\"tasks\":1,\"accelerators\":8,"
                   "\"guaranteed\":true}",
                   ORG_TWO);
    ASSERT_TRUE(WaitFor([&] { return agents.Count(claim, 1, "start") == 1; }))
        << e.process.Err();
    EXPECT_EQ(agents.Count(lent, 1, "stop"), 3);
    EXPECT_TRUE(WaitForState(e, lent, "queued"));
}

/* ---- with real agents -------------------------------------------------- */

TEST_F(Workers, GangRunsAndIsCancelled)
{
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT);

    ASSERT_TRUE(WaitForState(e, job, "running")) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
    Http("DELETE", e.http + "/v1/jobs/" + job, "", {ORG});
    ASSERT_TRUE(WaitForState(e, job, "cancelled")) << Errors();
    EXPECT_EQ(Count(job, 1, "stop"), 2);
    EXPECT_EQ(Count(job, 2, "start"), 0);
}

TEST_F(Workers, GangRunsToItsEnd)
{
    Start(2);
    Entry &e = *entry[0];
    std::string job = Submit(e, "{\"class\":\"once\",\"tasks\":2,"
                                "\"accelerators\":8,\"spec\":"
                                "{\"run_ms\":300}}");

    ASSERT_TRUE(WaitForState(e, job, "done")) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
    EXPECT_EQ(Count(job, 1, "end"), 2);
    EXPECT_EQ(Count(job, 2, "start"), 0);
}

/* A gang runs for longer than a lease, while its owner is killed and another
 * entry takes over. The remaining entry renews the leases, and the gang runs
 * once. */
TEST_F(Workers, GangOutlivesItsOwner)
{
    Start(2);
    int first = Owner();
    Entry &other = *entry[1 - first];
    std::string job = Submit(other, "{\"class\":\"once\",\"tasks\":2,"
                                    "\"accelerators\":8,\"spec\":"
                                    "{\"run_ms\":18000}}");

    ASSERT_TRUE(WaitForState(other, job, "running")) << Errors();
    entry[first]->process.Signal(SIGKILL);
    ASSERT_TRUE(WaitForState(other, job, "done", 30000)) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
    EXPECT_EQ(Count(job, 1, "end"), 2);
    EXPECT_EQ(Count(job, 2, "start"), 0);
}

/* An agent is killed and restarted within the lease. Its new process finds the
 * task running and reports it; the gang is not stopped, and runs once. */
TEST_F(Workers, GangOutlivesItsAgentsProcess)
{
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, "{\"class\":\"once\",\"tasks\":3,"
                                "\"accelerators\":8,\"spec\":"
                                "{\"run_ms\":16000}}");

    ASSERT_TRUE(WaitForState(e, job, "running")) << Errors();
    agent[0]->Signal(SIGKILL);
    agent[0] = std::make_unique<Process>(
        dir, "parsleyfall-agent",
        std::vector<std::string>{"run", dir.Path("agent-w1.yaml")},
        "agent-w1-again");
    ASSERT_TRUE(WaitForState(e, job, "done", 30000)) << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 3);
    EXPECT_EQ(Count(job, 1, "end"), 3);
}

/* An agent is killed and not restarted. Its worker stops the task when the
 * lease ends, and so does the other member; then the whole gang runs on other
 * workers. */
TEST_F(Workers, LostAgentMovesTheWholeGang)
{
    Start(1);
    Entry &e = *entry[0];
    std::string job = Submit(e, TWO_BY_EIGHT);
    size_t lost = 0;

    ASSERT_TRUE(WaitForState(e, job, "running")) << Errors();
    while (Http("GET", worker[lost]->Url("/runner/log")).body.find(job) ==
           std::string::npos) {
        lost++;
    }
    agent[lost]->Signal(SIGKILL);
    ASSERT_TRUE(WaitFor([&] { return Count(job, 2, "start") == 2; }, 45000))
        << Errors();
    EXPECT_EQ(Count(job, 1, "start"), 2);
}

/* With real agents: the whole lent gang stops for a guaranteed job, and goes
 * back to the queue. */
TEST_F(Workers, GuaranteeIsReclaimedFromLentWork)
{
    Start(1);
    Entry &e = *entry[0];
    std::string lent = Submit(e, "{\"class\":\"train\",\"tasks\":3,"
                                 "\"accelerators\":8}"),
                claim;

    ASSERT_TRUE(WaitForState(e, lent, "running")) << Errors();
    claim = Submit(e,
                   "{\"class\":\"train\",\"tasks\":1,\"accelerators\":8,"
                   "\"guaranteed\":true}",
                   ORG_TWO);
    ASSERT_TRUE(WaitFor([&] { return Count(claim, 1, "start") == 1; }))
        << Errors();
    EXPECT_EQ(Count(lent, 1, "stop"), 3);
    EXPECT_TRUE(WaitForState(e, lent, "queued"));
}

} /* namespace */
