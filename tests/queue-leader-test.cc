/* When the owner counts as dead. */
extern "C" {
#include "queue-links.h"
#include "queue-owner.h"
}

#include <gtest/gtest.h>

namespace {

/* Urgent work must not wait long for an owner that has ended, and a living
 * owner must not be deposed because the store is slow or because this process
 * was paused. */
TEST(QueueLeader, TheOwnerIsDeadAfterBothTimeoutsOrTheLongerStoreTimeout)
{
    const struct {
        const char *what;
        int64_t row_ms, link_ms, feed_ms;
        bool silent;
    } cases[] = {
        {"it has just written", 100, 100, 50, false},
        {"it has just written, its link is down", 100, 9000, 50, false},
        {"the store is slow, its link works", 1900, 300, 50, false},
        {"both have been silent for a short time", 1000, 1000, 50, false},
        {"both are silent", 1300, 1300, 50, true},
        {"this process was paused", 1500, 1500, 1500, false},
        {"no sign in the store, its link works", 2300, 100, 50, true},
        {"no link to it, before the timeout", 1900, -1, 50, false},
        {"no link to it", 2300, -1, 50, true},
    };

    for (const auto &c : cases) {
        EXPECT_EQ(Leader_IsSilent(c.row_ms, c.link_ms, c.feed_ms), c.silent)
            << c.what;
    }
}

/* Of several links to entries of one name, as after a reconnect, the newest
 * sign of life counts, and never one of another entry. */
TEST(QueueLeader, TheAgeOfALinkIsThatOfItsNewestSignOfLife)
{
    static const struct task_ops ops = {.name = TASK_LINKS};
    struct kernel kernel = {};
    struct links l = {};
    struct peer peers[3] = {};
    int64_t now;

    Kernel_Init(&kernel, "test", nullptr, 100);
    TAILQ_INIT(&l.peers);
    EXPECT_EQ(Queue_PeerAge(&kernel, "a"), -1) << "no links yet";
    Kernel_AddTask(&kernel, &l.task, &ops);
    now = Clock_NowMs();
    for (struct peer &p : peers) {
        TAILQ_INSERT_TAIL(&l.peers, &p, entry);
    }
    Str_Copy(peers[0].name, sizeof(peers[0].name), "a");
    Str_Copy(peers[1].name, sizeof(peers[1].name), "b");
    Str_Copy(peers[2].name, sizeof(peers[2].name), "a");
    EXPECT_EQ(Queue_PeerAge(&kernel, "a"), -1) << "no message yet";
    /* The clock counts from the machine's start, which may be recent. */
    peers[0].last_message_ms = now - now / 2;
    peers[1].last_message_ms = now;
    EXPECT_GE(Queue_PeerAge(&kernel, "a"), now / 2);
    peers[2].last_message_ms = now - now / 6;
    EXPECT_GE(Queue_PeerAge(&kernel, "a"), now / 6);
    EXPECT_LT(Queue_PeerAge(&kernel, "a"), now / 2);
    EXPECT_EQ(Queue_PeerAge(&kernel, "c"), -1) << "another name";
    Kernel_Free(&kernel);
}

/* Guards against a task that runs twice: an odd row of another writer under
 * the name of the last owner is taken for its new process, and its leases are
 * not waited for. */
TEST(QueueLeader, OnlyTheRowOfAnEntryShowsThatTheLastOwnerHasEnded)
{
    const struct {
        std::string value;
        bool ended;
    } cases[] = {
        {R"({"links":"10.0.0.1:7000","incarnation":6})", true},
        {R"({"links":"10.0.0.1:7000","incarnation":5})", false},
        {R"({"incarnation":6})", false},
        {R"({"links":"10.0.0.1:65536","incarnation":6})", false},
        {R"({"links":"10.0.0.1:-1","incarnation":6})", false},
        {R"({"links":"10.0.0.1:7000","incarnation":-6})", false},
        {R"({"links":"10.0.0.1:7000","incarnation":0})", false},
        {R"({"links":"10.0.0.1:7000","incarnation":6.5})", false},
        {R"({"links":"10.0.0.1:7000","incarnation":1e999})", false},
        {R"({"links":"10.0.0.1:7000","incarnation":)" +
             std::string(30000, '[') + "}",
         false},
        {R"({"links":"10.0.0.1:7000"})", false},
        {"6", false},
        {"", false},
    };
    struct entry_settings settings = {};
    struct jobs_limits limits = {};
    char key[] = "entry/entry-1";

    settings.hosted.lease_ms = 10000;
    for (const auto &c : cases) {
        struct kernel kernel = {};
        struct rows_changed rows = {};
        struct table_row row = {};
        struct owner o = {};
        std::string value = c.value;

        kernel.settings = &settings;
        o.task.kernel = &kernel;
        o.scheduler = Jobs_New(&limits);
        o.predecessor_incarnation = 5;
        Str_Copy(o.predecessor_name, sizeof(o.predecessor_name), "entry-1");
        row.key = key;
        row.version = 1;
        row.value.data = value.data();
        row.value.len = value.size();
        rows.rows = &row;
        rows.count = 1;
        Leader_TakeRows(&o, &rows);
        EXPECT_EQ(o.predecessor_name[0] == '\0', c.ended)
            << value.substr(0, 80);
        Jobs_Free(o.scheduler);
    }
}

} /* namespace */
