#include "harness.h"
#include "parts-support.h"

#include <gtest/gtest.h>

#include <csignal>
#include <map>

namespace {

using harness::Fake;
using harness::Http;
using harness::Number;
using harness::Process;
using harness::TempDir;
using harness::Text;

const int64_t SECOND = 1000;

/* An entry of the test: welcomes the agent, notes what it says, and renews
 * gangs when told to. */
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

    void Say(struct wire_msg *m)
    {
        Link_Send(link, &agent, m);
    }

    void Fence(uint8_t job, uint64_t attempt, uint64_t term)
    {
        struct wire_fence m = {{WIRE_FENCE}, Job(job), attempt, term, 0};

        Say(&m.msg);
    }

    /* State last told of a part; -1: none. */
    int State(uint8_t job, uint64_t attempt) const
    {
        auto at = states.find({job, attempt});

        return at == states.end() ? -1 : at->second;
    }

    const std::string name;
    const uint64_t incarnation;
    bool answers = true;  /* pulses */
    int64_t renew_ms = 0; /* lease that is given to all that work */
    uint64_t agent_incarnation = 0;
    int hellos = 0;
    int working_pulses = 0;
    int64_t echoed = 0; /* newest stamp that came back */
    std::map<uint8_t, bool> granted;
    std::map<uint8_t, std::string> why;
    std::map<uint8_t, bool> fenced; /* the last answer */
    std::map<std::pair<uint8_t, uint64_t>, int> states;
    std::map<uint8_t, std::string> reasons;
    std::vector<struct wire_part> hello_parts;

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
        case WIRE_BEAT:
            e->Welcome(((const struct wire_beat *)*m)->seq);
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
        w.beat_ms = SECOND;
        w.known = 1;
        Say(&w.msg);
    }

    void TakeHello(const struct wire_hello *m)
    {
        const auto *parts =
            static_cast<const struct wire_part *>(m->parts.items);

        hellos++;
        agent_incarnation = m->incarnation;
        hello_parts.assign(parts, parts + m->parts.count);
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
        Say(&r.msg);
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

    /* Runs the entries until the predicate holds. */
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
                             "drain_ms: 5000\n");
    }

    /* Starts an agent and waits until its runner was heard. */
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

    void SayPrepare(struct wire_prepare m, const std::string &spec = "{}")
    {
        m.incarnation = first->agent_incarnation;
        Buf_AppendStr(&m.spec, spec.c_str());
        first->Say(&m.msg);
        Buf_Free(&m.spec);
    }

    bool Granted(uint8_t job)
    {
        return Until([&] { return first->granted[job]; });
    }

    void SayRelease(uint8_t job, uint64_t attempt, int64_t lease_ms)
    {
        struct wire_release m = Release(job, attempt, 1);

        m.msg.type = WIRE_RELEASE;
        m.incarnation = first->agent_incarnation;
        m.lease_ms = lease_ms;
        first->Say(&m.msg);
    }

    /* Prepares and releases; true when the runner runs it. */
    bool RunPart(uint8_t job, uint64_t bits, int64_t lease_ms,
                 const std::string &spec = "{}")
    {
        SayPrepare(Prepare(job, 1, 1, bits, 10 * SECOND), spec);
        if (!Granted(job)) {
            return false;
        }
        SayRelease(job, 1, lease_ms);
        return Until([&] { return Events(job, "start") == 1; });
    }

    harness::Json Log()
    {
        return Http("GET", worker.Url("/runner/log")).json();
    }

    /* How often the runner noted an event of a job. */
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

TEST_F(Agent, WithoutARunnerRefusesEveryPrepare)
{
    auto agent = Start(false);

    SayPrepare(Prepare(1, 1, 1, 3));
    EXPECT_TRUE(Until([&] { return first->why[1] == "no_runner"; }));
    EXPECT_FALSE(first->granted[1]);
}

/* A gang goes on as long as its renewer says that it is whole. Then the
 * renewer falls silent, and the part stops, by the agent or by the worker. */
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

/* The owner is paused after its commit, and its release comes when the
 * reservation has lapsed. Nothing may start. */
TEST_F(Agent, LateReleaseStartsNothing)
{
    auto agent = Start();

    SayPrepare(Prepare(1, 1, 1, 3, 300));
    ASSERT_TRUE(Granted(1));
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(first->reasons[1], "lapsed");
    first->states.clear();
    SayRelease(1, 1, SECOND);
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(Events(1, "start"), 0);
}

/* The agent is killed while its part runs. The worker goes on under the lease;
 * the next process adopts the part, tells of it, sends its pulses and has it
 * renewed. It is started once. Fenced by the owner, it stops. */
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
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_RUNNING; }));
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

/* The agent is paused past the lease of its part, and nobody renews it. The
 * worker ends the task by itself; the agent tells of it when it wakes, and a
 * renewal that waited for it brings nothing back. */
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

/* An urgent claim on lent accelerators, whose work would take a minute to
 * write its checkpoint. The claim is granted long before that, after the lent
 * part has stopped and never beside it. */
TEST_F(Agent, UrgentClaimDoesNotWaitForASlowCheckpoint)
{
    auto agent = Start();
    struct wire_binding mine = {"court", 3};
    struct wire_bind bind = {};
    struct wire_prepare claim = Claim(2, 1, 1, 3, 1, true);

    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS, "{\"checkpoint_ms\":60000}"));
    bind.msg.type = WIRE_BIND;
    Str_Copy(bind.scope, sizeof(bind.scope), "r");
    bind.term = 1;
    bind.incarnation = first->agent_incarnation;
    bind.version = 1;
    bind.bindings = {&mine, 1};
    first->Say(&bind.msg);
    claim.lease_ms = 10 * SECOND;
    SayPrepare(claim);
    EXPECT_TRUE(Granted(2));
    EXPECT_EQ(Events(1, "stop"), 1);
    EXPECT_EQ(Events(1, "checkpoint"), 0);
    EXPECT_TRUE(Until([&] { return first->State(1, 1) == PART_STOPPED; }));
    EXPECT_EQ(first->reasons[1], "reclaimed");
    SayRelease(2, 1, GANG_LEASE_MS);
    EXPECT_TRUE(Until([&] { return Events(2, "start") == 1; }));
    ExpectNoFault();
}

/* The agent's process is replaced. The gang goes on: its tasks live in the
 * worker. */
TEST_F(Agent, DrainLeavesPartsRunning)
{
    auto agent = Start();

    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS));
    SayPrepare(Prepare(2, 1, 1, 4, 10 * SECOND));
    ASSERT_TRUE(Granted(2));
    agent->Signal(SIGTERM);
    EXPECT_TRUE(Until([&] { return !agent->Running(); }));
    EXPECT_EQ(agent->Wait(), 0);
    EXPECT_EQ(Running(), 1u);
    EXPECT_EQ(Events(1, "stop"), 0);
}

/* The entry that renews a gang falls silent. The agent turns to the other one,
 * and comes back when the first answers again, so that all agents of a gang
 * end up at the same one. */
TEST_F(Agent, PulsesGoToAnotherRenewerWhileOneIsMute)
{
    second = std::make_unique<Entry>(loop, "entry-2");
    first->renew_ms = second->renew_ms = GANG_LEASE_MS;
    auto agent = Start();
    ASSERT_TRUE(Until([&] { return second->hellos > 0; }));
    ASSERT_TRUE(RunPart(1, 3, GANG_LEASE_MS));

    ASSERT_TRUE(Until(
        [&] { return first->working_pulses + second->working_pulses > 1; }));
    Entry *own = first->working_pulses > 0 ? first.get() : second.get();
    Entry *other = own == first.get() ? second.get() : first.get();
    EXPECT_EQ(other->working_pulses, 0);
    own->answers = false;
    EXPECT_TRUE(Until([&] { return other->working_pulses > 1; }));
    own->answers = true;
    int before = own->working_pulses;
    EXPECT_TRUE(Until([&] { return own->working_pulses > before; }));
    EXPECT_EQ(Running(), 1u);
    EXPECT_EQ(Events(1, "start"), 1);
}

} // namespace
