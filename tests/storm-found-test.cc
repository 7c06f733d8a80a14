/* Faults that the storm tests have found, each as the smallest case that
 * reproduces it. */
#include "storm-stack.h"

#include <gtest/gtest.h>
#include <signal.h>

namespace storm {

static Reply
ask(const Stack &s, const std::vector<std::string> &more)
{
    std::vector<std::string> headers = {"Authorization: Bearer token",
                                        "X-Deadline-Ms: 3000"};

    headers.insert(headers.end(), more.begin(), more.end());
    return Http("POST", s.Url(0, "/v1/services/photos/requests"), "body",
                headers);
}

/* Found by seed 59. The attempt of a repeatable request at the first agent
 * starts and loses its answer; the attempt at the second does not start, as
 * its upstream is gone. With no upstream left to try, the caller must not
 * receive not_run, in whichever order the two were tried. */
TEST(Regression, RunOnceAndRefusedElsewhereIsUnknown)
{
    Stack s(1, 2);

    s.SetUpstreamMode(0, "close");
    s.RemoveUpstream(1);
    Reply r = ask(s, {"X-Class: preview"});

    EXPECT_EQ(s.Starts().size(), 1u);
    EXPECT_EQ(r.headers["x-outcome"], "unknown") << r.body;
    EXPECT_EQ(r.status, 504);
}

/* Found by seed 41. A keyed request has run. Then its entry is killed and
 * restarts while the platform is down, so that it has no configuration and
 * can't read the row. A repetition with the key must not receive not_run. A
 * request without a key may, as this entry has sent nothing. The header and
 * the body agree in both cases. */
TEST(Regression, KeyedRefusalWithoutConfigurationIsUnknown)
{
    Stack s(1, 1);
    std::vector<std::string> keyed = {"X-Class: estimate",
                                      "Idempotency-Key: key"};

    ASSERT_EQ(ask(s, keyed).headers["x-outcome"], "answered");
    s.SetPlatformFaults("{\"down\": true}");
    s.KillEntry(0, 0);
    Reply with = ask(s, keyed);
    Reply without = ask(s, {"X-Class: estimate"});

    EXPECT_EQ(with.headers["x-outcome"], "unknown") << with.body;
    EXPECT_EQ(without.headers["x-outcome"], "not_run") << without.body;
    for (const Reply &r : {with, without}) {
        EXPECT_EQ(r.status, 503);
        EXPECT_FALSE(r.json() == nullptr);
        EXPECT_NE(r.body.find("no_configuration"), std::string::npos);
    }
}

/* True when the agent's last state dump is complete and shows exactly count
 * links, all of them welcomed. */
static bool
has_links(const Stack &s, size_t count)
{
    Json state = s.AgentState(0);
    json_t *links =
        json_object_get(json_object_get(state.get(), "links"), "entries");
    size_t i, welcomed = 0;
    json_t *link;

    json_array_foreach(links, i, link)
    {
        welcomed += json_is_true(json_object_get(link, "welcomed"));
    }
    return welcomed == count && json_array_size(links) == count;
}

/* A fault of this setup itself: agents reach entries through relays and learn
 * the entries' own addresses from them. An agent that kept a link to both
 * addresses would appear to return twice a second, and each time its latest
 * dispatches would be withdrawn. When the relay stops working for good, the
 * other address is used and callers are still served; when the relay works
 * again, one link remains. */
TEST(Regression, OneLinkToAnEntryThatHasTwoAddresses)
{
    Stack s(2, 1);

    EXPECT_TRUE(WaitFor([&] { return has_links(s, 2); }));
    s.SignalRelays(0, SIGUSR2);
    EXPECT_TRUE(WaitFor([&] {
        return ask(s, {"X-Class: preview"}).headers["x-outcome"] == "answered";
    }));
    s.SignalRelays(0, SIGHUP);
    EXPECT_TRUE(WaitFor([&] { return has_links(s, 2); }));
}

} /* namespace storm */
