#include "kernel.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <csignal>
#include <string>
#include <vector>

namespace {

std::vector<std::string> events; /* calls recorded, in order */

struct NumberedMessage {
    struct message message;
    int number;
};

struct TestTask {
    struct task task;
    int pending = 0; /* messages to receive before it is drained */
    bool draining = false;
    int reposts = 0; /* messages it still posts to itself */
};

void
post(struct task *to, int number)
{
    static const struct message_kind kind = {"note", nullptr};
    auto *n =
        static_cast<NumberedMessage *>(calloc(1, sizeof(NumberedMessage)));

    n->number = number;
    Kernel_Post(to, &n->message, &kind);
}

void
on_receive(struct task *t, struct message *m)
{
    auto *task = reinterpret_cast<TestTask *>(t);
    int number = reinterpret_cast<NumberedMessage *>(m)->number;

    events.push_back(std::string(t->ops->name) + std::to_string(number));
    if (task->reposts > 0) {
        task->reposts--;
        post(t, number + 100);
        events.push_back("posted");
    }
    if (task->draining && task->pending > 0) {
        task->pending--;
    }
}

void
on_drain(struct task *t)
{
    auto *task = reinterpret_cast<TestTask *>(t);

    task->draining = true;
    for (int i = 0; i < task->pending; i++) {
        post(t, i);
    }
}

bool
is_drained(const struct task *t)
{
    return reinterpret_cast<const TestTask *>(t)->pending == 0;
}

json_t *
get_state(const struct task *t)
{
    return json_integer(reinterpret_cast<const TestTask *>(t)->pending);
}

void
on_free(struct task *t)
{
    events.push_back(std::string("free-") + t->ops->name);
}

void
on_drain_timeout(struct task *t)
{
    events.push_back(std::string("timeout-") + t->ops->name);
}

const struct task_ops a_ops = {"a",        on_receive,       on_drain,
                               is_drained, on_drain_timeout, get_state,
                               on_free};
const struct task_ops b_ops = {"b",     on_receive, on_drain, nullptr,
                               nullptr, nullptr,    on_free};

/* A kernel with the tasks a and b. */
class Kernel : public testing::Test {
  protected:
    void Start(int64_t drain_ms)
    {
        events.clear();
        Kernel_Init(&k, "test", nullptr, drain_ms);
        Kernel_AddTask(&k, &a.task, &a_ops);
        Kernel_AddTask(&k, &b.task, &b_ops);
    }

    struct kernel k;
    TestTask a, b;
};

/* Start callback of the test's plug-ins, which register in another order than
 * that of their ranks. */
int
record_start(struct kernel *k, const char *name, int err)
{
    (void)k;
    events.push_back(name);
    return err;
}

int
start_late(struct kernel *k)
{
    return record_start(k, "late", ERR_OK);
}

int
start_early(struct kernel *k)
{
    return record_start(k, "early", ERR_OK);
}

int
start_bad(struct kernel *k)
{
    return record_start(k, "bad",
                        getenv("PF_TEST_BAD") ? ERR_INVALID : ERR_OK);
}

struct plugin late = {"late", 30, start_late};
struct plugin early = {"early", 10, start_early};
struct plugin bad = {"bad", 20, start_bad};
KERNEL_PLUGIN(late)
KERNEL_PLUGIN(early)
KERNEL_PLUGIN(bad)

} /* namespace */

TEST_F(Kernel, PluginsStartInOrderOfRankAndStopAtAnError)
{
    Start(1000);
    EXPECT_EQ(Kernel_Start(&k), ERR_OK);
    EXPECT_EQ(events, (std::vector<std::string>{"early", "bad", "late"}));
    events.clear();
    setenv("PF_TEST_BAD", "1", 1);
    EXPECT_EQ(Kernel_Start(&k), ERR_INVALID);
    unsetenv("PF_TEST_BAD");
    EXPECT_EQ(events, (std::vector<std::string>{"early", "bad"}));
    Kernel_Free(&k);
}

TEST_F(Kernel, MessagesArriveInOrderAndNeverInsidePost)
{
    Start(1000);
    a.reposts = 1;
    post(&a.task, 1);
    post(&b.task, 2);
    post(&a.task, 3);
    Kernel_Drain(&k);
    EXPECT_EQ(Kernel_Run(&k), ERR_OK);
    EXPECT_EQ(events,
              (std::vector<std::string>{"a1", "posted", "b2", "a3", "a101"}));
    Kernel_Free(&k);
}

TEST_F(Kernel, ManyMessagesKeepTheirOrder)
{
    Start(1000);
    for (int i = 0; i < 5000; i++) {
        post(&a.task, i);
    }
    Kernel_Drain(&k);
    EXPECT_EQ(Kernel_Run(&k), ERR_OK);
    ASSERT_EQ(events.size(), 5000u);
    for (int i = 0; i < 5000; i++) {
        ASSERT_EQ(events[i], "a" + std::to_string(i));
    }
    Kernel_Free(&k);
}

/* A process gets SIGTERM while a task has work in progress. The loop must not
 * end before the work is complete, and the task must be freed after the tasks
 * that were added later. */
TEST_F(Kernel, DrainWaitsForTheTasks)
{
    Start(60000);
    a.pending = 3;
    raise(SIGTERM);
    EXPECT_EQ(Kernel_Run(&k), ERR_OK);
    EXPECT_EQ(events, (std::vector<std::string>{"a0", "a1", "a2"}));
    events.clear();
    Kernel_Free(&k);
    EXPECT_EQ(events, (std::vector<std::string>{"free-b", "free-a"}));
}

TEST_F(Kernel, DrainEndsWhenItsTimeIsOver)
{
    Start(50);
    Kernel_Drain(&k);
    a.pending = 1; /* no message completes it */
    EXPECT_EQ(Kernel_Run(&k), ERR_TIMEOUT);
    Kernel_Free(&k);
    EXPECT_EQ(events,
              (std::vector<std::string>{"timeout-a", "free-b", "free-a"}));
}

TEST_F(Kernel, StateHoldsEveryTaskWithAStateCallback)
{
    Start(1000);
    a.pending = 7;
    json_t *state = Kernel_State(&k);
    EXPECT_STREQ(json_string_value(json_object_get(state, "process")), "test");
    EXPECT_EQ(json_integer_value(json_object_get(state, "a")), 7);
    EXPECT_EQ(json_object_get(state, "b"), nullptr);
    json_decref(state);
    Kernel_Free(&k);
}

/* A message that is still queued at the end of the process is freed by the
 * callback of its kind. */
TEST_F(Kernel, UndeliveredMessagesAreFreed)
{
    static int freed = 0;
    static const struct message_kind kind = {"counted", [](struct message *m) {
                                                 freed++;
                                                 free(m);
                                             }};
    Start(1000);
    auto *m = static_cast<struct message *>(calloc(1, sizeof(message)));
    Kernel_Post(&a.task, m, &kind);
    Kernel_Free(&k);
    EXPECT_EQ(freed, 1);
}
