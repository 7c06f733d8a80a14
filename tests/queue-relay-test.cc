/* Commits on a connection that has gone silent, without a network. */
extern "C" {
#include "queue-relay.h"
}

#include <gtest/gtest.h>

#include <vector>

namespace {

struct Asked {
    table_committed done;
    void *arg;
};

std::vector<Asked> asked;

void
Commit(struct table *, const struct table_op *, size_t, table_committed done,
       void *arg)
{
    asked.push_back({done, arg});
}

void
Get(struct table *, const char *, const char *, table_got, void *)
{
}

struct AskedFeed {
    table_fed done;
    void *arg;
};

std::vector<AskedFeed> feeds;

void
Feed(struct table *, const char *, uint64_t, int64_t, table_fed done,
     void *arg)
{
    feeds.push_back({done, arg});
}

std::vector<int> fed;

void
OnFed(void *, int err, struct table_row *, size_t, uint64_t)
{
    fed.push_back(err);
}

void
FreeTable(struct table *)
{
}

std::vector<int> heard;

void
OnCommitted(void *, int err, size_t, const uint64_t *)
{
    heard.push_back(err);
}

/* The store task on a connection that answers when the test says so. */
class Relay {
  public:
    Relay()
    {
        asked.clear();
        heard.clear();
        feeds.clear();
        fed.clear();
        Queue_SetSite(&site);
        Kernel_Init(&kernel, "test", nullptr, 100);
        own.ops = &ops;
        s.own = &own;
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
        s.seen.ops->commit(&s.seen, &op, 1, OnCommitted, nullptr);
    }
    void Follow(const char *table)
    {
        s.seen.ops->feed(&s.seen, table, 1, 700, OnFed, nullptr);
    }
    struct way *Newest()
    {
        struct way *w, *last = nullptr;

        TAILQ_FOREACH (w, &s.under_way, entry) {
            last = w;
        }
        return last;
    }
    /* The limit of the newest call, a commit, is over. */
    void Expire()
    {
        struct way *w = Newest();

        ASSERT_NE(w, nullptr);
        ev_feed_event(kernel.loop, &w->limit, EV_TIMER);
        ev_run(kernel.loop, EVRUN_NOWAIT);
    }
    void Answer(size_t at, int err)
    {
        uint64_t versions[1] = {7};

        asked[at].done(asked[at].arg, err, 0, versions);
    }

    struct table_ops ops = {.name = "fake",
                            .get = Get,
                            .list = nullptr,
                            .commit = Commit,
                            .feed = Feed,
                            .free = FreeTable};
    struct queue_site site = {.open_store = nullptr,
                              .open_adviser = nullptr,
                              .read_config = nullptr,
                              .config_table = "op",
                              .config_key = "config",
                              .emptied_prefix = "",
                              .own_table = "own"};
    struct kernel kernel = {};
    struct table own = {};
    struct store_task s = {};
};

/* Guards against a slow store, or a thin link, that is taken for silent. */
TEST(QueueRelay, TheLimitOfACommitGrowsWithWhatCommitsTake)
{
    const struct {
        int64_t slowest_ms;
        size_t bytes;
        int64_t limit_ms;
    } cases[] = {{0, 10, 600},   {20, 10, 600},   {300, 10, 900},
                 {500, 10, 0},   {2000, 10, 0},   {20, 65536, 600},
                 {20, 65537, 0}, {20, 1000000, 0}};

    for (const auto &c : cases) {
        EXPECT_EQ(Relay_CommitLimit(c.slowest_ms, c.bytes), c.limit_ms)
            << c.slowest_ms << " " << c.bytes;
    }
}

/* Guards against callers and starts that wait for the time-out of a call while
 * other entries reach the store. */
TEST(QueueRelay, ACommitWithoutAnswerIsUnknownOnceOthersReachTheStore)
{
    Relay r;

    Str_Copy(r.s.best, sizeof(r.s.best), "127.0.0.1:9");
    r.Write();
    r.Expire();
    EXPECT_EQ(heard, std::vector<int>{ERR_UNKNOWN});
    EXPECT_TRUE(r.s.relaying);
    r.Answer(0, ERR_OK);
    EXPECT_EQ(heard.size(), 1u) << "its caller hears of it once";
    EXPECT_FALSE(r.s.relaying) << "our own connection works again";
}

/* Guards against a leader that has fenced itself through another entry and
 * waits for its own silent feed to say so. */
TEST(QueueRelay, ReadsGoWithACommitThatIsGivenUp)
{
    Relay r;

    Str_Copy(r.s.best, sizeof(r.s.best), "127.0.0.1:9");
    r.Follow("own");
    r.Follow("op");
    r.Write();
    r.Expire();
    EXPECT_EQ(fed, std::vector<int>{ERR_TIMEOUT})
        << "what operators write is never read through another entry";
    feeds[0].done(feeds[0].arg, ERR_OK, nullptr, 0, 9);
    EXPECT_EQ(fed.size(), 1u) << "whoever read has asked again";
    feeds[1].done(feeds[1].arg, ERR_OK, nullptr, 0, 9);
    EXPECT_EQ(fed.size(), 2u);
}

/* Guards against a leader that fences itself while nobody reaches the store:
 * there is nothing better to do than to wait. */
TEST(QueueRelay, ACommitWaitsWhereNobodyElseReachesTheStore)
{
    Relay r;

    r.Write();
    r.Expire();
    EXPECT_TRUE(heard.empty());
    r.Answer(0, ERR_OK);
    EXPECT_EQ(heard, std::vector<int>{ERR_OK});
}

/* Guards against memory that is lost when the process ends with a commit that
 * was given up. */
TEST(QueueRelay, ACommitThatWasGivenUpIsFreedAtTheEnd)
{
    Relay r;

    Str_Copy(r.s.best, sizeof(r.s.best), "127.0.0.1:9");
    r.Write();
    r.Expire();
    EXPECT_EQ(heard.size(), 1u);
}

} /* namespace */
