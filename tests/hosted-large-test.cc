/* Configurations of thousands of queues, and entries behind thin links. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* A document of 2,500 queues is 0.5 MB and two thirds of a megabyte as the
 * store encodes it: over two seconds of this link. */
const int LINK_BYTES_PER_S = 300000, QUEUES = 2500, DOCUMENT_BYTES = 500000;

/* Callers of a queue that a confirmed configuration had added were refused
 * with 404 for ten seconds, at entries behind thin links only. The document
 * took longer than a call to the store may take as a whole, so the answer was
 * cut before its end and asked for from its first byte, again and again; each
 * entry's log had its cut answers, of up to 1.2 MB. */
TEST(HostedLarge, ADocumentThatIsLongForItsLinkComesIntoForce)
{
    HostedStack s(1, 0);

    s.LimitStoreBandwidth(0, LINK_BYTES_PER_S);
    s.PutLargeConfig(2, QUEUES);
    EXPECT_TRUE(WaitFor([&] { return s.Serves(0, QUEUES - 1); }, 30000))
        << s.Logs();
}

/* The other half of the same incident: what was cut, and a copy of the whole
 * document from each entry in turn, filled the thin link, so that every other
 * answer on it was late too. A queue more is a few hundred bytes; eight of
 * them cost a thin entry less than two documents, of which one may be under
 * way when it leaves the reading to another entry. */
TEST(HostedLarge, AQueueMoreCostsAThinEntryNoWholeDocument)
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
    void (*happen)(HostedStack &s);
};

/* An entry behind a thin link has left the reading to another one. That one is
 * killed, freezes, or is turned away by the store, just before a change: the
 * thin one must see that nobody reads for it any more, and read by itself, or
 * its callers are refused for as long as the other one is away. */
TEST(HostedLarge, WhoeverReadsForOthersMayBeLost)
{
    static const Loss cases[] = {
        {"killed", [](HostedStack &s) { s.entries[1]->Signal(SIGKILL); }},
        {"frozen", [](HostedStack &s) { s.entries[1]->Signal(SIGSTOP); }},
        {"turned away", [](HostedStack &s) { s.StoreFault(1, "busy"); }},
        {"unheard by the store",
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
        /* A feed that is still open ends with this change. */
        s.PutLargeConfig(3, QUEUES + 1);
        EXPECT_TRUE(WaitFor([&] { return s.Serves(0, QUEUES); }, 30000));
        c.happen(s);
        s.PutLargeConfig(4, QUEUES + 2);
        EXPECT_TRUE(WaitFor([&] { return s.Serves(0, QUEUES + 1); }, 30000))
            << c.what << s.Logs();
        s.entries[1]->Signal(SIGCONT);
    }
}

/* Every entry is behind a thin link. Each hears that the other one reads, and
 * would leave the reading to it; at the next word both take it up again, and
 * so on. Slow ones are nobody's source: both read by themselves, and keep up.
 */
TEST(HostedLarge, ThinEntriesAloneReadByThemselves)
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

/* While the store turns one entry away it keeps up all the same, by what the
 * others send; and what it has never goes back when the store answers it. */
TEST(HostedLarge, AnEntryThatTheStoreTurnsAwayKeepsUp)
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
