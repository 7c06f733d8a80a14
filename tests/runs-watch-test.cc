/* The watch of an agent against a scripted worker: what it asks of the worker,
 * and when. */
#include "runs.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace {

struct Poll {
    std::string incarnation;
    uint64_t last_seen;
    int64_t until_ms;
    runs_polled done;
    void *arg;
};

struct Order {
    std::string task;
    runs_ordered done;
    void *arg;
};

/* Calls to the worker that have no answer yet. */
std::vector<Poll> polls;
std::vector<Order> starts;

void
OnPoll(struct runs_worker *, const char *incarnation, uint64_t,
       uint64_t last_seen, int64_t until_ms, int64_t, runs_polled done,
       void *arg)
{
    polls.push_back({incarnation, last_seen, until_ms, done, arg});
}

void
OnStart(struct runs_worker *, const char *, const struct runs_start *s,
        runs_ordered done, void *arg)
{
    starts.push_back({s->task, done, arg});
}

void
OnFree(struct runs_worker *)
{
}

struct runs_worker *
OpenWorker(struct ev_loop *, const struct hosted_settings *)
{
    static const struct runs_worker_ops ops = {OnPoll, OnStart, nullptr,
                                               nullptr, OnFree};
    static struct runs_worker worker = {&ops};

    return &worker;
}

/* An agent with its worker "i-1#5", which has answered a poll under the
 * owner's term. */
class WatchTest : public ::testing::Test {
  protected:
    void SetUp() override
    {
        static const struct runs_platform platform = {OpenWorker};

        polls.clear();
        starts.clear();
        Runs_SetPlatform(&platform);
        Str_Copy(settings.name, sizeof(settings.name), "agent-1");
        settings.file = no_file;
        settings.hosted.scheduling.departures = true;
        Kernel_Init(&kernel, "agent-1", &settings, 100);
        kernel.profile = PROFILE_HOSTED;
        ASSERT_EQ(Kernel_Start(&kernel), ERR_OK);
        watch = Kernel_FindTask(&kernel, TASK_WATCH);
        SendStatus("i-1#5", false);
        SendOrders("", 0, 0);
        ASSERT_TRUE(RunUntil([] { return !polls.empty(); }));
        Answer(ERR_OK);
    }

    void TearDown() override
    {
        Kernel_Free(&kernel);
    }

    /* Runs the loop until a condition holds; false after 5 s. */
    bool RunUntil(const std::function<bool()> &condition)
    {
        int64_t end = Clock_NowMs() + 5000;

        while (!condition()) {
            if (Clock_NowMs() > end) {
                return false;
            }
            ev_run(kernel.loop, EVRUN_ONCE);
        }
        return true;
    }

    void SendStatus(const char *incarnation, bool leaves,
                    uint64_t sequence_at = 0, bool draining = false)
    {
        auto *s = static_cast<struct worker_status *>(
            Mem_Zero(1, sizeof(struct worker_status)));
        std::string name = incarnation;

        Str_Copy(s->incarnation, sizeof(s->incarnation), incarnation);
        Str_Copy(s->id, sizeof(s->id), name.substr(0, name.find('#')).c_str());
        s->leaves = leaves;
        s->draining = draining;
        s->sequence = sequence_at != 0 ? sequence_at : ++sequence;
        Kernel_Post(watch, &s->base, &Runs_WorkerStatusKind);
    }

    void Deliver(struct wire_msg *m)
    {
        auto *wrapper = static_cast<struct runs_wire_message *>(
            Mem_Zero(1, sizeof(struct runs_wire_message)));

        wrapper->m = m;
        Kernel_Post(watch, &wrapper->base, &Runs_WireKind);
    }

    struct wire_orders *NewOrders(const char *worker)
    {
        auto *m = static_cast<struct wire_orders *>(Wire_New(WIRE_ORDERS));

        m->term = 1;
        Str_Copy(m->worker, sizeof(m->worker), worker);
        return m;
    }

    /* The owner acknowledges ends and renews the leases. */
    void SendOrders(const char *worker, uint64_t last_seen, int64_t until_ms)
    {
        struct wire_orders *m = NewOrders(worker);

        m->last_seen = last_seen;
        m->until_ms = until_ms;
        Deliver(&m->msg);
    }

    void SendStart(const char *task, int64_t until_ms)
    {
        struct wire_orders *m = NewOrders("i-1#5");
        auto *o = static_cast<struct wire_order *>(
            Wire_ListAdd(&m->orders, sizeof(struct wire_order)));

        o->verb = WIRE_START_RUN;
        o->run = 1;
        o->until_ms = until_ms;
        Str_Copy(o->task, sizeof(o->task), task);
        Deliver(&m->msg);
    }

    /* Answers all open polls; the worker's clock shows clock_ms. */
    void Answer(int err, int64_t clock_ms = 1000)
    {
        std::vector<Poll> open;

        open.swap(polls);
        for (const Poll &p : open) {
            struct runs_poll_result result = {};

            result.clock_ms = clock_ms;
            p.done(p.arg, err, &result);
        }
    }

    void ProcessMessages()
    {
        ASSERT_TRUE(RunUntil([&] { return TAILQ_EMPTY(&kernel.mailbox); }));
    }

    bool IsDraining()
    {
        json_t *state = watch->ops->state(watch);
        bool draining = json_is_true(json_object_get(state, "draining"));

        json_decref(state);
        return draining;
    }

    /* The incarnation that the watch takes for the present one. */
    std::string Present()
    {
        json_t *state = watch->ops->state(watch);
        std::string name = json_string_value(json_object_get(state, "worker"));

        json_decref(state);
        return name;
    }

    char no_file[1] = "";
    struct agent_settings settings = {};
    struct kernel kernel = {};
    struct task *watch = nullptr;
    uint64_t sequence = 0;
};

/* Guards against ends that are lost: a worker that restarts under its id
 * forgets its first ends by the numbers of those from before the restart. */
TEST_F(WatchTest, APollAfterOneWithoutAnAnswerAcknowledgesNothing)
{
    for (int err : {ERR_UNKNOWN, ERR_UNREACHABLE}) {
        SendOrders("i-1#5", 57, 9000);
        ASSERT_TRUE(RunUntil(
            [] { return !polls.empty() && polls.back().last_seen == 57; }));
        EXPECT_EQ(polls.back().until_ms, 9000);
        Answer(err);
        ASSERT_TRUE(RunUntil([] { return !polls.empty(); }));
        EXPECT_EQ(polls.back().last_seen, 0u);
        EXPECT_EQ(polls.back().until_ms, 0);
        Answer(ERR_OK);
        ASSERT_TRUE(RunUntil([] { return !polls.empty(); }));
        EXPECT_EQ(polls.back().last_seen, 57u);
        EXPECT_EQ(polls.back().until_ms, 9000);
        Answer(ERR_OK);
    }
}

/* Guards against a task that runs twice: its worker announces its end and is
 * gone, but restarts under its id while a start is open, and carries that
 * out. */
TEST_F(WatchTest, AWorkerThatLeavesIsNotGoneWhileAStartIsOpen)
{
    SendStart("a.0.0.0", 5000);
    ASSERT_TRUE(RunUntil([] { return !starts.empty(); }));
    SendStatus("i-1#5", true);
    ASSERT_TRUE(RunUntil(
        [&] { return TAILQ_EMPTY(&kernel.mailbox) && !polls.empty(); }));
    Answer(ERR_UNREACHABLE);
    EXPECT_EQ(Present(), "i-1#5");
    starts[0].done(starts[0].arg, ERR_UNREACHABLE, "");
    ASSERT_TRUE(RunUntil([] { return !polls.empty(); }));
    Answer(ERR_UNREACHABLE);
    EXPECT_EQ(Present(), "");
}

/* Guards against a task that runs twice: an agent was stopped for longer than
 * a lease, receives a start from before, and its worker has restarted under
 * its id, so that the deadline is far away by the worker's clock. */
TEST_F(WatchTest, AStartAfterItsDeadlineDoesNotReachTheWorker)
{
    SendStart("late.0.0.0", 1000);
    SendStart("in-time.0.0.0", 60000);
    ASSERT_TRUE(RunUntil([] { return !starts.empty(); }));
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].task, "in-time.0.0.0");
}

/* Guards against a worker whose draining is never noticed: one odd heartbeat
 * under its name makes all of its own count as late. */
TEST_F(WatchTest, ASequenceNumberFarAheadIsLeftOut)
{
    for (uint64_t odd : {UINT64_C(200000), UINT64_C(1) << 53}) {
        SendStatus("i-1#5", false, odd);
        ProcessMessages();
    }
    SendStatus("i-1#5", false, 0, true);
    ProcessMessages();
    EXPECT_TRUE(IsDraining());
}

/* Guards against a sound worker that never gets work again, as another writer
 * has sent the notice that it leaves. */
TEST_F(WatchTest, AWorkerThatIsReadyAfterItsNoticeHasNotLeft)
{
    SendStatus("i-1#5", true);
    SendStart("refused.0.0.0", 60000);
    ProcessMessages();
    EXPECT_TRUE(starts.empty());
    SendStatus("i-1#5", false);
    SendStart("a.0.0.0", 60000);
    ProcessMessages();
    EXPECT_EQ(starts.size(), 1u);
}

} /* namespace */
