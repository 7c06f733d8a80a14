#include "harness.h"
#include "parts-support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <map>

namespace {

using harness::Fake;
using harness::Http;
using harness::Number;
using harness::Process;
using harness::TempDir;
using harness::Text;

const int64_t SECOND = 1000;

/* A simulated entry: welcomes the agent, records its messages, and renews
 * gangs if renew_ms is set. */
class Entry {
  public:
    Entry(struct ev_loop *the_loop, const char *the_name)
        : name(the_name), incarnation(Id_Random64()), loop(the_loop)
    {
        context = Link_ContextNew();
        link =
            Link_Listen(context, loop, "127.0.0.1:0", &keys, OnReceive, this);
    }
    ~Entry()
    {
        Link_Free(link);
        Link_ContextFree(context);
    }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    std::string Address() const
    {
        return Link_Address(link);
    }

    void Send(struct wire_msg *m)
    {
        Link_Send(link, &agent, m);
    }

    void Fence(uint8_t job, uint64_t attempt, uint64_t term)
    {
        struct wire_fence m = {{WIRE_FENCE}, Job(job), attempt, term, 0};

        Send(&m.msg);
    }

    /* State of a part in the last report of the agent; -1: no report. */
    int State(uint8_t job, uint64_t attempt) const
    {
        auto at = states.find({job, attempt});

        return at == states.end() ? -1 : at->second;
    }

    const std::string name;
    const uint64_t incarnation;
    bool answers = true;  /* replies to pulses */
    int64_t renew_ms = 0; /* lease given to all working parts; 0: none */
    uint64_t agent_incarnation = 0;
    int hellos = 0;
    int working_pulses = 0;
    int64_t echoed = 0; /* stamp in the latest pulse */
    std::map<uint8_t, bool> granted;
    std::map<uint8_t, std::string> why;
    std::map<uint8_t, bool> fenced; /* last reply to a fence: done or not */
    std::map<std::pair<uint8_t, uint64_t>, int> states;
    std::map<uint8_t, std::string> reasons;
    std::vector<struct wire_service> services;
    std::vector<struct wire_part> parts; /* parts in the last hello */

  private:
    static void OnReceive(void *arg, const struct link_peer *peer,
                          struct wire_msg **m)
    {
        auto *e = static_cast<Entry *>(arg);

        e->agent = *peer;
        switch ((*m)->type) {
        case WIRE_HELLO:
            e->TakeHello((const struct wire_hello *)*m);
            break;
        case WIRE_HEARTBEAT:
            e->Welcome(((const struct wire_heartbeat *)*m)->seq);
            break;
        case WIRE_PULSE:
            e->TakePulse((const struct wire_pulse *)*m);
            break;
        case WIRE_PREPARED:
            e->TakePrepared((const struct wire_prepared *)*m);
            break;
        case WIRE_TASK:
            e->TakeTask((const struct wire_task *)*m);
            break;
        case WIRE_FENCED:
            e->fenced[((const struct wire_fenced *)*m)->job.b[0]] =
                ((const struct wire_fenced *)*m)->done != 0;
            break;
        default:
            break;
        }
    }

    void Welcome(uint64_t seq)
    {
        struct wire_welcome w = {};

        w.msg.type = WIRE_WELCOME;
        Str_Copy(w.entry, sizeof(w.entry), name.c_str());
        w.incarnation = incarnation;
        w.seq = seq;
        w.heartbeat_ms = SECOND;
        w.known = 1;
        Send(&w.msg);
    }

    void TakeHello(const struct wire_hello *m)
    {
        const auto *list =
            static_cast<const struct wire_service *>(m->services.items);

        hellos++;
        agent_incarnation = m->incarnation;
        const auto *held =
            static_cast<const struct wire_part *>(m->parts.items);

        services.assign(list, list + m->services.count);
        parts.assign(held, held + m->parts.count);
        Welcome(0);
    }

    void TakePulse(const struct wire_pulse *m)
    {
        const auto *working =
            static_cast<const struct wire_working *>(m->working.items);
        struct wire_renew r = {};

        working_pulses += m->working.count > 0;
        echoed = m->stamp;
        if (!answers) {
            return;
        }
        r.msg.type = WIRE_RENEW;
        r.incarnation = m->incarnation;
        r.sent = m->sent;
        r.renewer = incarnation;
        r.stamp = ++stamp;
        r.lease_ms = renew_ms;
        for (size_t i = 0; i < m->working.count && renew_ms > 0; i++) {
            auto *one = static_cast<struct wire_renewed *>(
                Wire_ListAdd(&r.renewed, sizeof(struct wire_renewed)));
            *one = {working[i].job, working[i].attempt, working[i].term};
        }
        Send(&r.msg);
        Wire_Clear(&r.msg);
    }

    void TakePrepared(const struct wire_prepared *m)
    {
        granted[m->job.b[0]] = m->granted != 0;
        why[m->job.b[0]] = m->reason;
    }

    void TakeTask(const struct wire_task *m)
    {
        states[{m->job.b[0], m->attempt}] = (int)m->state;
        reasons[m->job.b[0]] = m->reason;
    }

    struct ev_loop *loop;
    struct link_context *context;
    struct link_keys keys = {};
    struct link *link;
    struct link_peer agent = {};
    int64_t stamp = 0;
};

class Agent : public testing::Test {
  protected:
    ~Agent() override
    {
        first.reset();
        second.reset();
        ev_loop_destroy(loop);
    }

    /* Runs the event loop of the entries until the predicate holds. */
    bool Until(const std::function<bool()> &predicate,
               int64_t ms = 20 * SECOND)
    {
        return harness::WaitFor(
            [&] {
                ev_run(loop, EVRUN_NOWAIT);
                return predicate();
            },
            ms);
    }

    std::string Settings(bool runner)
    {
        std::string seeds = "\"" + first->Address() + "\"";

        if (second) {
            seeds += ", \"" + second->Address() + "\"";
        }
        return dir.Write("agent.yaml",
                         "name: w1\nregion: r\nfailure_domain: d\n"
                         "rack: k\naccelerators: 8\nseeds: [" +
                             seeds + "]\nservices:\n  - {name: s, url: \"" +
                             worker.Url() + "\", slots: 1, connections: 1}\n" +
                             (runner ? "runner_url: " + worker.Url() + "\n"
                                     : std::string()) +
                             "drain_ms: 5000\nannounce_port: 0\n");
    }

    /* Starts an agent and waits until its runner has listed its tasks. */
    std::unique_ptr<Process> Start(bool runner = true)
    {
        uint64_t before = first->agent_incarnation;
        auto agent = std::make_unique<Process>(
            dir, "parsleyfall-agent",
            std::vector<std::string>{"run", Settings(runner)},
            "agent-" + std::to_string(++processes));

        EXPECT_TRUE(Until([&] { return first->agent_incarnation != before; }));
        EXPECT_TRUE(Until([&] {
            return !runner || agent->Err().find("event=runner_listed") !=
                                  std::string::npos;
        }));
        return agent;
    }

    void SendPrepare(struct wire_prepare m, const std::string &spec = "{}")
    {
        m.incarnation = first->agent_incarnation;
        Buf_AppendStr(&m.spec, spec.c_str());
        first->Send(&m.msg);
        Buf_Free(&m.spec);
    }

    /* Binds two accelerators to an organisation and claims them for it. */
    void SendClaim(bool urgent)
    {
        struct wire_binding mine = {"court", 3};
        struct wire_bind bind = {};
        struct wire_prepare claim = Claim(2, 1, 1, 3, 1, urgent);

        bind.msg.type = WIRE_BIND;
        Str_Copy(bind.scope, sizeof(bind.scope), "r");
        bind.term = 1;
        bind.incarnation = first->agent_incarnation;
        bind.version = 1;
        bind.bindings = {&mine, 1};
        first->Send(&bind.msg);
        claim.lease_ms = 10 * SECOND;
        SendPrepare(claim);
    }

    bool Granted(uint8_t job)
    {
        return Until([&] { return first->granted[job]; });
    }

    void SendRelease(uint8_t job, uint64_t attempt, int64_t lease_ms)
    {
        struct wire_release m = Release(job, attempt, 1);

        m.msg.type = WIRE_RELEASE;
        m.incarnation = first->agent_incarnation;
        m.lease_ms = lease_ms;
        first->Send(&m.msg);
    }

    /* Prepares and releases a part; true when the runner has started it. */
    bool RunPart(uint8_t job, uint64_t bits, int64_t lease_ms,
                 const std::string &spec = "{}")
    {
        auto m = Prepare(job, 1, 1, bits, 10 * SECOND);

        m.grace_ms = 60 * SECOND;
        SendPrepare(m, spec);
        if (!Granted(job)) {
            return false;
        }
        SendRelease(job, 1, lease_ms);
        return Until([&] { return Events(job, "start") == 1; });
    }

    harness::Json Log()
    {
        return Http("GET", worker.Url("/runner/log")).json();
    }

    /* How many events of a kind the runner has logged for a job. */
    int Events(uint8_t job, const std::string &event)
    {
        auto log = Log();
        char hex[ID_HEX_SIZE];
        struct id id = Job(job);
        json_t *one;
        size_t i;
        int n = 0;

        Id_Hex(&id, hex);
        json_array_foreach(json_object_get(log.get(), "log"), i, one)
        {
            n += Text(one, "job") == hex && Text(one, "event") == event;
        }
        return n;
    }

    size_t Running()
    {
        auto log = Log();

        return json_array_size(json_object_get(log.get(), "running"));
    }

    /* End of the only task's lease, on the worker's clock. */
    int64_t LeaseEnd()
    {
        auto tasks = Http("GET", worker.Url("/runner/tasks")).json();

        return Number(json_array_get(json_object_get(tasks.get(), "tasks"), 0),
                      "until");
    }

    void ExpectNoFault()
    {
        auto log = Log();

        EXPECT_EQ(Number(log.get(), "double_booked"), 0);
        EXPECT_EQ(Number(log.get(), "overlapping"), 0);
    }

    TempDir dir;
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    Fake worker{dir, "fake-upstream"};
    std::unique_ptr<Entry> first = std::make_unique<Entry>(loop, "entry-1");
    std::unique_ptr<Entry> second;
    int processes = 0;
};

/* URL of the agent's port at which upstreams announce themselves. */
std::string
AnnounceUrl(const Process &agent)
{
    std::string text = agent.Err();
    size_t at = text.find(" port=", text.find("event=announce_listening"));

    return "http://127.0.0.1:" +
           std::to_string(atoi(text.c_str() + at + strlen(" port=")));
}

TEST_F(Agent, WithoutARunnerRefusesEveryPrepare)
{
    auto agent = Start(false);

    SendPrepare(Prepare(1, 1, 1, 3));
    EXPECT_TRUE(Until([&] { return first->why[1] == "no_runner"; }));
    EXPECT_FALSE(first->granted[1]);
}

/* A part runs as long as the renewer renews its lease. When the renewer falls
 * silent, the agent or the worker stops the part. */
TEST_F(Agent, PartRunsWhileItIsRenewedAndStopsAfterwards)
{
    first->renew_ms = 4 * SECOND;
    auto agent = Start();
    ASSERT_TRUE(RunPart(1, 3, 4 * SECOND));
    int64_t end = LeaseEnd();

    EXPECT_TRUE(Until([&] { return first->echoed > 0; }));
    EXPECT_TRUE(Until([&] { return LeaseEnd() >= end + 3 * SECOND; }));
    EXPECT_EQ(first->State(1, 1), PART_RUNNING);
    first->answers = false;
    EXPECT_TRUE(Until([&] { return Running() == 0; }));
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(Events(1, "start"), 1);
    first->Fence(1, 1, 1);
    EXPECT_TRUE(Until([&] { return first->fenced[1]; }));
}

/* The owner is paused after its commit, and its release arrives when the
 * reservation has lapsed. No task must start. */
TEST_F(Agent, LateReleaseStartsNothing)
{
    auto agent = Start();

    SendPrepare(Prepare(1, 1, 1, 3, 300));
    ASSERT_TRUE(Granted(1));
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(first->reasons[1], "lapsed");
    first->states.clear();
    SendRelease(1, 1, SECOND);
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(Events(1, "start"), 0);
}

/* Guards against a job that waits for ever. The report that a task has ended
 * is lost, or its owner has just died, so the agent repeats it until an owner
 * has fenced the attempt. */
TEST_F(Agent, EndIsReportedAgainUntilItIsFenced)
{
    auto agent = Start();
    auto held = [&] {
        auto state = Http("GET", AnnounceUrl(*agent) + "/v1/state").json();
        return json_array_size(
            json_object_get(json_object_get(state.get(), "parts"), "parts"));
    };

    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS, "{\"run_ms\":50}"));
    for (int i = 0; i < 2; i++) {
        EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_DONE; }));
        EXPECT_EQ(held(), 1u);
        first->states.clear();
    }
    first->Fence(1, 1, 1);
    EXPECT_TRUE(Until([&] { return first->fenced[1]; }));
    EXPECT_TRUE(Until([&] { return held() == 0; }));
}

/* The agent is killed while its part runs. The worker goes on under the lease;
 * the next agent process adopts the part, reports it, and sends its pulses so
 * that it is renewed. The task is started once only, and stops when the owner
 * fences it. */
TEST_F(Agent, KilledAgentIsReplacedByOneThatAdopts)
{
    first->renew_ms = GANG_LEASE_MS;
    auto agent = Start();
    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS));
    agent->Signal(SIGKILL);
    ASSERT_EQ(agent->Wait(), 128 + SIGKILL);
    int64_t end = LeaseEnd();
    first->states.clear();

    agent = Start();
    /* A report sent before the link is up is lost; the hello lists the part.
     */
    ASSERT_TRUE(Until([&] { return first->parts.size() == 1; }));
    EXPECT_EQ(first->parts.at(0).state, (uint64_t)PART_RUNNING);
    EXPECT_EQ(first->parts.at(0).accelerators, 3u);
    EXPECT_EQ(first->parts.at(0).term, 1u);
    EXPECT_TRUE(Until([&] { return LeaseEnd() > end; }));
    EXPECT_EQ(Events(1, "start"), 1);
    first->Fence(1, 1, 1);
    EXPECT_TRUE(Until([&] {
        if (!first->fenced[1]) {
            first->Fence(1, 1, 1);
        }
        return first->fenced[1];
    }));
    EXPECT_EQ(Running(), 0u);
    ExpectNoFault();
}

/* The agent is paused past the lease of its part, so the lease is not renewed.
 * The worker ends the task by itself. The agent reports this when it resumes,
 * and a renewal that was queued meanwhile does not revive the part. */
TEST_F(Agent, WorkerStopsThePartOfAPausedAgent)
{
    first->renew_ms = 3 * SECOND;
    auto agent = Start();
    ASSERT_TRUE(RunPart(1, 3, 3 * SECOND));
    EXPECT_TRUE(Until([&] { return first->working_pulses > 0; }));
    agent->Signal(SIGSTOP);
    EXPECT_TRUE(Until([&] { return Events(1, "lease-end") == 1; }));
    EXPECT_EQ(Running(), 0u);
    agent->Signal(SIGCONT);
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(Running(), 0u);
    EXPECT_EQ(Events(1, "start"), 1);
}

/* An urgent claim on lent accelerators, whose task takes a minute to write its
 * checkpoint and has a grace as long. The claim is granted much sooner, but
 * only after the lent part has stopped. */
TEST_F(Agent, UrgentClaimDoesNotWaitForASlowCheckpoint)
{
    first->renew_ms = GANG_LEASE_MS;
    auto agent = Start();

    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS, "{\"checkpoint_ms\":60000}"));
    SendClaim(true);
    EXPECT_TRUE(Granted(2));
    EXPECT_EQ(Events(1, "stop"), 1);
    EXPECT_EQ(Events(1, "checkpoint"), 0);
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(first->reasons[1], "reclaimed");
    SendRelease(2, 1, GANG_LEASE_MS);
    EXPECT_TRUE(Until([&] { return Events(2, "start") == 1; }));
    ExpectNoFault();
}

/* A claim that is not urgent, on accelerators of a lent part whose checkpoint
 * takes longer than a lease. The checkpoint is completed, as the part's lease
 * is renewed until then. */
TEST_F(Agent, ClaimLetsACheckpointBeWritten)
{
    first->renew_ms = 3 * SECOND;
    auto agent = Start();

    ASSERT_TRUE(RunPart(1, 3, 3 * SECOND, "{\"checkpoint_ms\":4000}"));
    ASSERT_TRUE(Until([&] { return first->echoed > 0; }));
    SendClaim(false);
    EXPECT_TRUE(Granted(2));
    EXPECT_EQ(Events(1, "checkpoint"), 1);
    EXPECT_EQ(Events(1, "lease-end"), 0);
    ExpectNoFault();
}

/* The agent's process drains and ends, as when it is replaced. The gang goes
 * on, as its tasks live in the worker. */
TEST_F(Agent, DrainLeavesPartsRunning)
{
    auto agent = Start();

    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS));
    SendPrepare(Prepare(2, 1, 1, 4, 10 * SECOND));
    ASSERT_TRUE(Granted(2));
    agent->Signal(SIGTERM);
    EXPECT_TRUE(Until([&] { return !agent->Running(); }));
    EXPECT_EQ(agent->Wait(), 0);
    EXPECT_EQ(Running(), 1u);
    EXPECT_EQ(Events(1, "stop"), 0);
}

/* The entry that renews a gang stops replying. The agent sends its pulses to
 * the other entry, and returns when the first one replies again, so that all
 * agents of a gang use the same renewer in the end. */
TEST_F(Agent, PulsesGoToAnotherRenewerWhileOneIsUnresponsive)
{
    second = std::make_unique<Entry>(loop, "entry-2");
    first->renew_ms = second->renew_ms = GANG_LEASE_MS;
    auto agent = Start();
    ASSERT_TRUE(Until([&] { return second->hellos > 0; }));
    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS));

    ASSERT_TRUE(Until([&] {
        return first->working_pulses > 1 || second->working_pulses > 1;
    }));
    Entry *own = first->working_pulses > 1 ? first.get() : second.get();
    Entry *other = own == first.get() ? second.get() : first.get();
    int others = other->working_pulses;
    own->answers = false;
    EXPECT_TRUE(Until([&] { return other->working_pulses > others; }));
    int before = own->working_pulses;
    EXPECT_TRUE(Until([&] { return other->working_pulses > others + 2; }));
    EXPECT_EQ(own->working_pulses, before) << "back before it answered";
    own->answers = true;
    EXPECT_TRUE(Until([&] { return own->working_pulses > before; }));
    EXPECT_EQ(Running(), 1u);
    EXPECT_EQ(Events(1, "start"), 1);
}

/* Guards against a job that fails, or whose work is done twice, as its tasks
 * end at different times: a renewer that takes a member that is done for a
 * lost one lets the leases of the others run out. So a part that is done stays
 * in the pulses until its owner has fenced it. */
TEST_F(Agent, DonePartStaysInPulsesUntilItIsFenced)
{
    first->renew_ms = GANG_LEASE_MS;
    auto agent = Start();
    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS, "{\"run_ms\":50}"));
    ASSERT_TRUE(Until([&] { return Events(1, "end") == 1; }));

    int before = first->working_pulses;
    EXPECT_TRUE(Until([&] { return first->working_pulses >= before + 2; }));
    first->Fence(1, 1, 1);
    EXPECT_TRUE(Until([&] {
        auto state = Http("GET", AnnounceUrl(*agent) + "/v1/state").json();
        json_t *parts = json_object_get(state.get(), "parts");

        return json_array_size(json_object_get(parts, "parts")) == 0;
    }));
}

/* Guards against an agent that connects only to the seeds of its start, after
 * all entries were replaced at other addresses. */
TEST_F(Agent, FindsEntriesAtChangedSeeds)
{
    auto agent = Start();

    first = std::make_unique<Entry>(loop, "entry-2");
    Settings(true);
    EXPECT_TRUE(Until([&] { return first->hellos > 0; })) << agent->Err();
}

TEST_F(Agent, UpstreamsAnnounceThemselvesAndLeave)
{
    auto agent = Start();
    std::string url = AnnounceUrl(*agent) + "/v1/upstreams/photos";
    auto find = [&]() -> const struct wire_service *
    {
        for (const auto &s : first->services) {
            if (strcmp(s.name, "photos") == 0) {
                return &s;
            }
        }
        return nullptr;
    };
    auto offers = [&](uint64_t slots, bool healthy) {
        return Until([&] {
            const struct wire_service *s = find();
            return s != nullptr && s->slots == slots &&
                   (s->healthy != 0) == healthy;
        });
    };
    auto put = [&](int slots, int lease) {
        return Http("PUT", url,
                    "{\"url\":\"" + worker.Url() +
                        "\",\"slots\":" + std::to_string(slots) +
                        ",\"connections\":64,\"lease_ms\":" +
                        std::to_string(lease) + "}")
            .status;
    };

    EXPECT_EQ(put(8, 60000), 200);
    EXPECT_TRUE(offers(8, true));
    EXPECT_EQ(put(4, 60000), 200);
    EXPECT_TRUE(offers(4, true));
    EXPECT_EQ(Http("DELETE", url).status, 200);
    EXPECT_TRUE(offers(4, false));
    EXPECT_EQ(Http("DELETE", url).status, 404);
    EXPECT_EQ(put(2, 300), 200);
    EXPECT_TRUE(offers(2, true));
    EXPECT_TRUE(offers(2, false)) << "its lease was not renewed";
    auto state = Http("GET", AnnounceUrl(*agent) + "/v1/state").json();
    EXPECT_NE(json_object_get(state.get(), "parts"), nullptr);
}

TEST_F(Agent, WrongAnnouncementsAreRefusedWithTheReason)
{
    static const struct {
        const char *service;
        const char *body;
        const char *key; /* key that the response names as wrong */
    } cases[] = {
        {"s", "", ""},
        {"s", "[]", ""},
        {"s", "{\"slots\":1,\"connections\":1,\"lease_ms\":900}", "url"},
        {"s",
         "{\"url\":\"ftp://h\",\"slots\":1,\"connections\":1,"
         "\"lease_ms\":900}",
         "url"},
        {"s",
         "{\"url\":\"http://h\",\"slots\":0,\"connections\":1,"
         "\"lease_ms\":900}",
         "slots"},
        {"s",
         "{\"url\":\"http://h\",\"slots\":4,\"connections\":1,"
         "\"lease_ms\":900}",
         "connections"},
        {"s",
         "{\"url\":\"http://h\",\"slots\":1,\"connections\":1,"
         "\"lease_ms\":\"9\"}",
         "lease_ms"},
        {"s",
         "{\"url\":\"http://h\",\"slots\":1,\"connections\":1,"
         "\"lease_ms\":900,\"more\":1}",
         ""},
        {"-x",
         "{\"url\":\"http://h\",\"slots\":1,\"connections\":1,"
         "\"lease_ms\":900}",
         "service"},
    };
    auto agent = Start();

    for (const auto &c : cases) {
        auto reply = Http(
            "PUT", AnnounceUrl(*agent) + "/v1/upstreams/" + c.service, c.body);
        auto json = reply.json();

        EXPECT_EQ(reply.status, 400) << c.body;
        EXPECT_EQ(Text(json.get(), "key"), c.key) << c.body;
        EXPECT_FALSE(Text(json.get(), "allowed").empty()) << c.body;
    }
}

} // namespace
