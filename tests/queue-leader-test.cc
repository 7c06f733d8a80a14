/* When a leader is taken for dead. */
extern "C" {
#include "queue-links.h"
#include "queue-owner.h"
}

#include <gtest/gtest.h>

namespace {

/* Guards against urgent work that waits for a leader that is gone, against a
 * living one that a slow store deposes, and one that a paused process does. */
TEST(QueueLeader, ItIsSilentWhenBothWitnessesSaySoOrTheStoreForLong)
{
    const struct {
        const char *what;
        int64_t row_ms, link_ms, feed_ms;
        bool silent;
    } cases[] = {
        {"it has just written", 100, 100, 50, false},
        {"it has just written, its link is cut", 100, 9000, 50, false},
        {"the store is slow, its link speaks", 1900, 300, 50, false},
        {"both have missed one", 1000, 1000, 50, false},
        {"both are silent", 1300, 1300, 50, true},
        {"this process was paused", 1500, 1500, 1500, false},
        {"the store is silent for it alone", 2300, 100, 50, true},
        {"nobody has a link to it, early", 1900, -1, 50, false},
        {"nobody has a link to it", 2300, -1, 50, true},
    };

    for (const auto &c : cases) {
        EXPECT_EQ(Leader_IsSilent(c.row_ms, c.link_ms, c.feed_ms), c.silent)
            << c.what;
    }
}

/* Guards against the age of another entry's link, or of one that was replaced:
 * the newest sign of life under that name counts. */
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
    EXPECT_EQ(Queue_PeerAge(&kernel, "a"), -1) << "never heard";
    peers[0].last_message_ms = now - 900000;
    peers[1].last_message_ms = now;
    EXPECT_GE(Queue_PeerAge(&kernel, "a"), 900000);
    peers[2].last_message_ms = now - 300000;
    EXPECT_LT(Queue_PeerAge(&kernel, "a"), 900000);
    EXPECT_EQ(Queue_PeerAge(&kernel, "c"), -1) << "another name";
    Kernel_Free(&kernel);
}

} /* namespace */
