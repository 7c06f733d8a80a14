#include "request-stack.h"

#include <gtest/gtest.h>
#include <signal.h>

using namespace stack;

/* A caller asks an entry for the decisions of a request that another entry
 * decided, while a third entry of the list has crashed. The entry that knows
 * the request answers. A caller who may not read it gets the same reply as for
 * an unknown id, with the entries that were queried. */
TEST(WhyPeers, AnyEntryAnswers)
{
    Stack s({.entries = 3, .agents = 0});
    auto why = [&](const std::string &id, const std::string &token) {
        return Http("GET", s.entries[1].Url("/v1/why/" + id), "",
                    {"Authorization: Bearer " + token});
    };
    std::string unknown_id(32, 'a');
    Call c = s.Ask("nobody serves this");
    std::string id = c.Header("x-request-id");
    ASSERT_TRUE(WaitFor(
        [&] {
            std::string body = why(unknown_id, "token").body;

            return body.find("\"entry\": \"entry-1\"") != body.npos &&
                   body.find("\"entry\": \"entry-3\"") != body.npos;
        },
        25000));
    s.entries[2].process->Signal(SIGKILL);

    Reply known = why(id, "token");
    EXPECT_EQ(known.status, 200) << known.body;
    EXPECT_EQ(Text(known.json().get(), "id"), id);
    EXPECT_EQ(why(id, "operator").status, 200);
    EXPECT_EQ(why(id, "token-2").status, 404);
    Reply unknown = why(unknown_id, "token");
    EXPECT_EQ(unknown.status, 404);
    EXPECT_NE(unknown.body.find("\"entry\": \"entry-1\""), unknown.body.npos);
    EXPECT_NE(unknown.body.find("\"answer\": \"unreachable\""),
              unknown.body.npos)
        << unknown.body;
    EXPECT_EQ(why(id, "nobody").status, 401);
}
