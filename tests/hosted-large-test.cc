/* Configurations of thousands of queues, and entries behind thin links. */
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace harness;

namespace {

/* A document of 2,500 queues is 0.5 MB and two thirds of a megabyte as the
 * store encodes it: over two seconds of this link. */
const int THIN = 300000, QUEUES = 2500, DOCUMENT = 500000;

/* Callers of a queue that a confirmed configuration had added were refused
 * with 404 for ten seconds, at entries behind thin links only. The document
 * took longer than a call to the store may take as a whole, so the answer was
 * cut before its end and asked for from its first byte, again and again; each
 * entry's log had its cut answers, of up to 1.2 MB. */
TEST(HostedLarge, ADocumentThatIsLongForItsLinkComesIntoForce)
{
    HostedStack s(1, 0);

    s.ThinStore(0, THIN);
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

    s.ThinStore(1, THIN);
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
    EXPECT_LT(read() - before, 2 * DOCUMENT);
}

} /* namespace */
