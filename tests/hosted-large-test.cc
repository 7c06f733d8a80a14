/* Configurations of thousands of queues, and entries behind slow links. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* A document of 2,500 queues is 0.5 MB, and 0.67 MB as the store encodes it,
 * which takes over two seconds of this link. */
const int LINK_BYTES_PER_S = 300000, QUEUES = 2500, DOCUMENT_BYTES = 500000;

/* Entries behind slow links once refused callers of a confirmed new queue with
 * 404 for ten seconds. The document took longer than the timeout of a whole
 * store call, so its transfer was cut off and restarted from the first byte
 * again and again, after up to 1.2 MB. */
TEST(HostedLarge, ADocumentSlowerThanACallTimeoutComesIntoForce)
{
    HostedStack s(1, 0);

    s.LimitStoreBandwidth(0, LINK_BYTES_PER_S);
    s.PutLargeConfig(2, QUEUES);
    EXPECT_TRUE(WaitFor([&] { return s.Serves(0, QUEUES - 1); }, 30000))
        << s.Logs();
}

/* Transfers that were cut off, and a copy of the whole document from each
 * other entry in turn, once saturated a slow link, so that every other answer
 * on it was late. Adding a queue is a few hundred bytes: eight times must cost
 * a slow entry less than two documents, of which one may be in transfer when
 * it delegates reading. */
TEST(HostedLarge, AddingAQueueCostsASlowEntryNoWholeDocument)
{
    HostedStack s(2, 0);
    auto read = [&] {
        return s.Counter(1, "parsleyfall_store_read_bytes_total") +
               s.Counter(1, "parsleyfall_link_in_bytes_total");
    };

    s.LimitStoreBandwidth(1, LINK_BYTES_PER_S);
    s.PutLargeConfig(2, QUEUES);
    EXPECT_TRUE(WaitFor([&] { return s.Serves(1, QUEUES - 1); }, 30000));
    EXPECT_TRUE(WaitFor(
        [&] {
            return s.Logs().find("event=config_source way=entries") !=
                   std::string::npos;
        },
        30000))
        << s.Logs();
    int64_t before = read();
    for (int more = 1; more <= 8; more++) {
        s.PutLargeConfig(2 + more, QUEUES + more);
        ASSERT_TRUE(
            WaitFor([&] { return s.Serves(1, QUEUES + more - 1); }, 30000))
            << more;
    }
    EXPECT_LT(read() - before, 2 * DOCUMENT_BYTES);
}

struct Loss {
    const char *what;
    void (*inject)(HostedStack &s);
};

/* An entry behind a slow link has delegated reading to another one, which is
 * killed, hangs or is refused by the store just before a change. The slow
 * entry must notice that and resume reading, or it would refuse callers of new
 * queues for as long. */
TEST(HostedLarge, ReadingIsResumedWhenTheSourceIsLost)
{
    static const Loss cases[] = {
        {"killed", [](HostedStack &s) { s.entries[1]->Signal(SIGKILL); }},
        {"hung", [](HostedStack &s) { s.entries[1]->Signal(SIGSTOP); }},
        {"refused by the store",
         [](HostedStack &s) { s.StoreFault(1, "busy"); }},
        {"without answers of the store",
         [](HostedStack &s) { s.StoreFault(1, "silent"); }},
    };

    for (const Loss &c : cases) {
        HostedStack s(2, 0);

        s.LimitStoreBandwidth(0, LINK_BYTES_PER_S);
        s.PutLargeConfig(2, QUEUES);
        ASSERT_TRUE(WaitFor(
            [&] {
                return s.Logs().find("event=config_source way=entries") !=
                       std::string::npos;
            },
            30000))
            << c.what;
        /* A feed call that is still open ends with this change. */
        s.PutLargeConfig(3, QUEUES + 1);
        EXPECT_TRUE(WaitFor([&] { return s.Serves(0, QUEUES); }, 30000));
        c.inject(s);
        s.PutLargeConfig(4, QUEUES + 2);
        EXPECT_TRUE(WaitFor([&] { return s.Serves(0, QUEUES + 1); }, 30000))
            << c.what << s.Logs();
        s.entries[1]->Signal(SIGCONT);
    }
}

/* Both entries are behind slow links. If each delegated to the other, both
 * would resume reading at the next report, and so on. Slow entries are no
 * sources: both must read by themselves and stay up to date. */
TEST(HostedLarge, SlowEntriesAloneReadByThemselves)
{
    HostedStack s(2, 0);

    s.LimitStoreBandwidth(0, LINK_BYTES_PER_S);
    s.LimitStoreBandwidth(1, LINK_BYTES_PER_S);
    for (int more = 0; more < 3; more++) {
        s.PutLargeConfig(2 + more, QUEUES + more);
        for (int i = 0; i < 2; i++) {
            EXPECT_TRUE(
                WaitFor([&] { return s.Serves(i, QUEUES + more - 1); }, 30000))
                << more;
            EXPECT_TRUE(WaitFor(
                [&] {
                    return s.Counter(i,
                                     "parsleyfall_store_read_bytes_total") >=
                           (1 + more) * DOCUMENT_BYTES;
                },
                30000))
                << more;
        }
    }
    EXPECT_EQ(s.Logs().find("event=config_source way=entries"),
              std::string::npos);
}

/* While the store refuses one entry, the other one must keep it up to date.
 * Its configuration must not go back to an older version when the store
 * answers again. */
TEST(HostedLarge, AnEntryRefusedByTheStoreKeepsUp)
{
    HostedStack s(2, 0);

    s.PutLargeConfig(2, QUEUES);
    EXPECT_TRUE(WaitFor([&] { return s.Serves(1, QUEUES - 1); }, 30000));
    s.StoreFault(1, "busy");
    for (int more = 1; more <= 3; more++) {
        s.PutLargeConfig(2 + more, QUEUES + more);
        EXPECT_TRUE(
            WaitFor([&] { return s.Serves(1, QUEUES + more - 1); }, 30000))
            << more;
    }
    s.StoreFault(1, "");
    s.PutLargeConfig(9, QUEUES + 9);
    EXPECT_TRUE(WaitFor([&] { return s.Serves(1, QUEUES + 8); }, 30000));
    EXPECT_EQ(s.Counter(1, "parsleyfall_queue_config_version"), 9);
}

} /* namespace */
