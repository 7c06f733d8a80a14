/* Commits and reads on a connection that has gone silent, without a
 * network. */
extern "C" {
#include "queue-relay.h"
}

#include <gtest/gtest.h>

#include <vector>

namespace {

struct PendingCommit {
    table_committed done;
    void *arg;
};

std::vector<PendingCommit> commits;

void
Commit(struct table *, const struct table_op *, size_t, table_committed done,
       void *arg)
{
    commits.push_back({done, arg});
}

void
Get(struct table *, const char *, const char *, table_got, void *)
{
}

struct PendingFeed {
    table_fed done;
    void *arg;
};

std::vector<PendingFeed> feeds;

void
Feed(struct table *, const char *, uint64_t, int64_t, table_fed done,
     void *arg)
{
    feeds.push_back({done, arg});
}

std::vector<int> feed_results;

void
OnFed(void *, int err, struct table_row *, size_t, uint64_t)
{
    feed_results.push_back(err);
}

void
FreeTable(struct table *)
{
}

std::vector<int> commit_results;

void
OnCommitted(void *, int err, size_t, const uint64_t *)
{
    commit_results.push_back(err);
}

/* A store task whose own connection answers when the test calls Answer(). */
class Relay {
  public:
    Relay()
    {
        commits.clear();
        commit_results.clear();
        feeds.clear();
        feed_results.clear();
        Queue_SetPlatform(&platform);
        Kernel_Init(&kernel, "test", nullptr, 100);
        direct.ops = &ops;
        s.direct = &direct;
        s.task.kernel = &kernel;
        Relay_Init(&s);
    }
    ~Relay()
    {
        Relay_Free(&s);
        Kernel_Free(&kernel);
    }
    void Write()
    {
        struct table_op op = {};
        char key[] = "spec/a1";

        op.verb = TABLE_PUT;
        op.table = "t";
        op.key = key;
        op.value = "v";
        op.len = 1;
        s.table.ops->commit(&s.table, &op, 1, OnCommitted, nullptr);
    }
    void Follow(const char *table)
    {
        s.table.ops->feed(&s.table, table, 1, 700, OnFed, nullptr);
    }
    struct table_call *Newest()
    {
        struct table_call *call, *last = nullptr;

        TAILQ_FOREACH (call, &s.direct_calls, entry) {
            last = call;
        }
        return last;
    }
    /* Lets the timeout of the newest call, a commit, expire. */
    void Expire()
    {
        struct table_call *call = Newest();

        ASSERT_NE(call, nullptr);
        ev_feed_event(kernel.loop, &call->timeout, EV_TIMER);
        ev_run(kernel.loop, EVRUN_NOWAIT);
    }
    void Answer(size_t index, int err)
    {
        uint64_t versions[1] = {7};

        commits[index].done(commits[index].arg, err, 0, versions);
    }

    struct table_ops ops = {.name = "fake",
                            .get = Get,
                            .list = nullptr,
                            .commit = Commit,
                            .feed = Feed,
                            .free = FreeTable};
    struct queue_platform platform = {.open_store = nullptr,
                                      .open_adviser = nullptr,
                                      .read_config = nullptr,
                                      .config_table = "op",
                                      .config_key = "config",
                                      .emptied_prefix = "",
                                      .own_table = "own"};
    struct kernel kernel = {};
    struct table direct = {};
    struct store_task s = {};
};

/* A slow store or a slow link must not be taken for a silent one. */
TEST(QueueRelay, TheTimeoutOfACommitGrowsWithRecentCommits)
{
    const struct {
        int64_t slowest_ms;
        size_t bytes;
        int64_t limit_ms;
    } cases[] = {{0, 10, 600},   {20, 10, 600},   {300, 10, 900},
                 {500, 10, 0},   {2000, 10, 0},   {20, 65536, 600},
                 {20, 65537, 0}, {20, 1000000, 0}};

    for (const auto &c : cases) {
        EXPECT_EQ(Relay_CommitTimeout(c.slowest_ms, c.bytes), c.limit_ms)
            << c.slowest_ms << " " << c.bytes;
    }
}

/* Calls and starts must not wait for the timeout of a call while another entry
 * reaches the store. */
TEST(QueueRelay, ASilentCommitIsUnknownIfAnotherEntryReachesTheStore)
{
    Relay r;

    Str_Copy(r.s.relay_address, sizeof(r.s.relay_address), "127.0.0.1:9");
    r.Write();
    r.Expire();
    EXPECT_EQ(commit_results, std::vector<int>{ERR_UNKNOWN});
    EXPECT_TRUE(r.s.relaying);
    r.Answer(0, ERR_OK);
    EXPECT_EQ(commit_results.size(), 1u) << "its caller is answered once";
    EXPECT_FALSE(r.s.relaying) << "the own connection works again";
}

/* An owner that has fenced itself through another entry must not wait for its
 * own silent feed to report that. */
TEST(QueueRelay, ReadsAreGivenUpWithACommit)
{
    Relay r;

    Str_Copy(r.s.relay_address, sizeof(r.s.relay_address), "127.0.0.1:9");
    r.Follow("own");
    r.Follow("op");
    r.Write();
    r.Expire();
    EXPECT_EQ(feed_results, std::vector<int>{ERR_TIMEOUT})
        << "the operator table is never read through another entry";
    feeds[0].done(feeds[0].arg, ERR_OK, nullptr, 0, 9);
    EXPECT_EQ(feed_results.size(), 1u)
        << "its reader has already repeated the call";
    feeds[1].done(feeds[1].arg, ERR_OK, nullptr, 0, 9);
    EXPECT_EQ(feed_results.size(), 2u);
}

/* While no other entry reaches the store, giving a commit up would only fence
 * the owner; it waits instead. */
TEST(QueueRelay, ACommitWaitsIfNoOtherEntryReachesTheStore)
{
    Relay r;

    r.Write();
    r.Expire();
    EXPECT_TRUE(commit_results.empty());
    r.Answer(0, ERR_OK);
    EXPECT_EQ(commit_results, std::vector<int>{ERR_OK});
}

/* A commit that was given up and never answered is freed at the end of the
 * process. */
TEST(QueueRelay, ACommitGivenUpIsFreedAtTheEnd)
{
    Relay r;

    Str_Copy(r.s.relay_address, sizeof(r.s.relay_address), "127.0.0.1:9");
    r.Write();
    r.Expire();
    EXPECT_EQ(commit_results.size(), 1u);
}

} /* namespace */
