#include "policy.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using Route = std::unique_ptr<struct route, void (*)(route *)>;

/* A router with this many upstreams of 8 slots. They are w0, w1... and in turn
 * in the domains d0, d1... */
Route
make_route(int count, int domains = 1)
{
    Route r(Route_New(nullptr), Route_Free);

    for (int i = 0; i < count; i++) {
        std::string name = "w" + std::to_string(i);
        std::string domain = "d" + std::to_string(i % domains);
        struct route_facts facts = {name.c_str(), domain.c_str(), 8, 64};

        EXPECT_EQ(Route_Upsert(r.get(), &facts), i);
    }
    return r;
}

struct route_decision
pick(const Route &r, int64_t now, uint64_t rnd, bool repeatable = true,
     int64_t expected_ms = 100)
{
    struct route_request q = {"d0", expected_ms, repeatable, nullptr, 0};

    return Route_Pick(r.get(), &q, now, rnd);
}

/* Returns how many of 1000 picks go to each upstream, with nothing
 * outstanding. */
std::vector<int>
shares(const Route &r, int64_t now, int64_t expected_ms = 100)
{
    std::vector<int> count((size_t)Route_Count(r.get()));

    for (uint64_t i = 0; i < 1000; i++) {
        count[(size_t)pick(r, now, i * 977, true, expected_ms).handle]++;
    }
    return count;
}

void
settle(const Route &r, int handle, enum route_outcome outcome,
       int64_t latency_ms, int64_t now, int times)
{
    for (int i = 0; i < times; i++) {
        Route_Sent(r.get(), handle, now);
        Route_Settled(r.get(), handle, outcome, latency_ms, 100, now);
    }
}

} // namespace

TEST(Route, ReportsWhyNoUpstreamIsPicked)
{
    Route r = make_route(0);
    EXPECT_EQ(pick(r, 0, 1).reason, ROUTE_NONE_KNOWN);
    r = make_route(1);
    EXPECT_EQ(pick(r, 0, 1).handle, 0);
    int tried = 0;
    struct route_request q = {"d0", 100, true, &tried, 1};
    EXPECT_EQ(Route_Pick(r.get(), &q, 0, 1).reason, ROUTE_NONE_UNTRIED);
    for (int i = 0; i < 8; i++) {
        Route_Sent(r.get(), 0, 0);
    }
    EXPECT_EQ(pick(r, 0, 1).reason, ROUTE_NONE_FREE);
    Route_Settled(r.get(), 0, ROUTE_OK, 100, 100, 1);
    EXPECT_EQ(pick(r, 1, 1).handle, 0) << "a slot is free again";
    Route_Leaving(r.get(), 0);
    EXPECT_EQ(pick(r, 1, 1).reason, ROUTE_NONE_TAKES);
    EXPECT_EQ(Route_Slots(r.get()), 0);
}

TEST(Route, HandlesAreStableByName)
{
    Route r = make_route(3);
    struct route_facts again = {"w1", "d9", 4, 64};

    Route_Remove(r.get(), 1);
    EXPECT_EQ(Route_Upsert(r.get(), &again), 1);
    EXPECT_EQ(Route_Find(r.get(), "w1"), 1);
    EXPECT_STREQ(Route_Name(r.get(), 1), "w1");
    EXPECT_EQ(Route_Slots(r.get()), 20);
}

/* The answers of one upstream take five times as long as the others', so that
 * requests would wait there. At equal load it isn't picked. It is tried again
 * like the others when no requests were sent to it for a minute. */
TEST(Route, AvoidsSlowUpstream)
{
    Route r = make_route(4);

    for (int i = 0; i < 40; i++) {
        for (int h = 0; h < 4; h++) {
            settle(r, h, ROUTE_OK, h == 2 ? 500 : 100, i, 1);
        }
    }
    EXPECT_EQ(shares(r, 40)[2], 0);
    EXPECT_GT(shares(r, 60040)[2], 150);
}

/* A worker that fails at once is always free, and its failures are the fastest
 * answers. Until it is ejected it must count as slow, not as fast, so that it
 * draws no more traffic than before. */
TEST(Route, FastFailuresDrawNoTraffic)
{
    Route r = make_route(4);

    for (int i = 0; i < 40; i++) {
        for (int h = 0; h < 4; h++) {
            settle(r, h, ROUTE_OK, 100, i, 1);
        }
    }
    settle(r, 2, ROUTE_FAILED, 1, 40, 4); /* one failure short of ejection */
    EXPECT_EQ(shares(r, 40)[2], 0);
}

/* An ejected worker is probed by a single request, which is lost if the probe
 * fails. A request that must not be repeated is used only after no repeatable
 * one came for 5 s. After a probe without a result, the next request is the
 * probe. */
TEST(Route, ProbesWithRepeatableRequestsFirst)
{
    Route r = make_route(4);

    settle(r, 2, ROUTE_FAILED, 1, 0, 5);
    EXPECT_EQ(pick(r, 1999, 1).reason, ROUTE_OWN_DOMAIN);
    EXPECT_EQ(shares(r, 1999)[2], 0);
    EXPECT_EQ(pick(r, 2000, 1, false).reason, ROUTE_OWN_DOMAIN);
    struct route_decision d = pick(r, 2000, 1);
    EXPECT_EQ(d.reason, ROUTE_PROBE);
    EXPECT_EQ(d.handle, 2);
    Route_Sent(r.get(), 2, 2000);
    EXPECT_EQ(pick(r, 2000, 1).reason, ROUTE_OWN_DOMAIN)
        << "one probe at a time";
    Route_Settled(r.get(), 2, ROUTE_WITHDRAWN, 1, 100, 2001);
    EXPECT_EQ(pick(r, 2001, 1).reason, ROUTE_PROBE);
    EXPECT_EQ(pick(r, 6999, 1, false).reason, ROUTE_OWN_DOMAIN);
    EXPECT_EQ(pick(r, 7000, 1, false).reason, ROUTE_PROBE);
    Route_Sent(r.get(), 2, 7000);
    EXPECT_EQ(Route_Settled(r.get(), 2, ROUTE_OK, 100, 100, 7100),
              HEALTH_PROBE_PASSED);
}

/* For work of 5 ms, the hop of 1.5 ms there and back costs more than a load of
 * one request on eight slots; for work of 1 s, it costs less. */
TEST(Route, OwnDomainUntilItsLoadOutweighsTheHop)
{
    Route r = make_route(2, 2);

    EXPECT_EQ(pick(r, 0, 1, true, 5).reason, ROUTE_OWN_DOMAIN);
    EXPECT_EQ(pick(r, 0, 1, true, 1000).reason, ROUTE_OWN_DOMAIN);
    Route_Sent(r.get(), 0, 0);
    EXPECT_EQ(pick(r, 0, 1, true, 5).reason, ROUTE_OWN_DOMAIN);
    EXPECT_EQ(pick(r, 0, 1, true, 1000).reason, ROUTE_OTHER_DOMAIN);
}

/* One upstream reported itself idle long ago, the other full. Entries that
 * rely on the old reports would all pick the first. An old report must fade to
 * the mean of all, and a very old one to zero. */
TEST(Route, OldReportsFade)
{
    Route r = make_route(2);
    struct route_report idle = {0, 0, 0, 0}, full = {8, 0, 8, 0};
    struct route_view view;

    Route_Report(r.get(), 0, &idle, 0);
    Route_Report(r.get(), 1, &full, 0);
    EXPECT_EQ(shares(r, 0)[1], 0);
    Route_View(r.get(), 0, 3000, &view);
    EXPECT_NEAR((double)view.load_milli, 2000 * 0.917, 10);
    Route_View(r.get(), 1, 3000, &view);
    EXPECT_NEAR((double)view.load_milli, 6000 * 0.917, 10);
    Route_View(r.get(), 1, 600000, &view);
    EXPECT_EQ(view.load_milli, 0);
}

/* A refusal means that the upstream is full now, whatever it reported before.
 * The next request must not go there. */
TEST(Route, RefusalMarksUpstreamFull)
{
    Route r = make_route(2);
    struct route_report idle = {0, 0, 0, 0};

    Route_Report(r.get(), 0, &idle, 0);
    settle(r, 0, ROUTE_REFUSED, 1, 0, 1);
    EXPECT_EQ(shares(r, 1)[0], 0);
    Route_Report(r.get(), 0, &idle, 2);
    EXPECT_GT(shares(r, 2)[0], 0);
}
