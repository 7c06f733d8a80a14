/* More entries than there are coordinators, and an agent. */
extern "C" {
#include "wire.h"
}
#include "hosted-stack.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <csignal>

using namespace harness;

namespace {

const int ENTRIES = 8, COORDINATORS = 5, RESERVES = 10;

/* The last line of a log that contains the text; "" if there is none. */
std::string
LastLine(const std::string &log, const std::string &text)
{
    size_t at = log.rfind(text);

    return at == std::string::npos ? ""
                                   : log.substr(at, log.find('\n', at) - at);
}

int
Count(const std::string &log, const std::string &text)
{
    int n = 0;

    for (size_t at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1)) {
        n++;
    }
    return n;
}

/* The entries whose log says that they are coordinators. */
std::vector<int>
Coordinators(const HostedStack &s)
{
    std::vector<int> all;

    for (int i = 0; i < ENTRIES; i++) {
        std::string log =
            ReadFile(s.dir.Path("entry-" + std::to_string(i) + ".err"));

        if (LastLine(log, "event=role_changed").find("role=coordinator") !=
            std::string::npos) {
            all.push_back(i);
        }
    }
    return all;
}

/* Links that the agent holds, by its log. */
int
AgentLinks(const HostedStack &s)
{
    std::string log = ReadFile(s.dir.Path("agent-0.err"));

    return Count(log, "event=entry_linked") -
           Count(log, "event=entry_dropped");
}

bool
WaitForCoordinators(const HostedStack &s)
{
    return WaitFor(
        [&] {
            return Coordinators(s).size() == COORDINATORS &&
                   AgentLinks(s) == COORDINATORS;
        },
        20000);
}

/* With a link to every entry, the agents' load grew with agents times entries,
 * and entries with little processor time answered none of them in time. */
TEST(HostedMembers, AnAgentHoldsLinksToTheCoordinatorsOnly)
{
    HostedStack s(ENTRIES, 1);

    ASSERT_TRUE(WaitForCoordinators(s)) << s.Logs();
    for (int i = 0; i < ENTRIES; i++) {
        std::string id = "a" + std::to_string(i);

        EXPECT_EQ(s.Submit(i, id, "20").status, 200) << i;
        EXPECT_TRUE(s.WaitForState(i, id, "completed")) << i << s.Logs();
    }
    EXPECT_EQ(s.Starts().size(), size_t{ENTRIES});
    EXPECT_TRUE(WaitFor([&] { return AgentLinks(s) == COORDINATORS; }))
        << s.Logs();
}

/* All coordinators, the owner among them, are lost at once: the agent has no
 * link left, and no entry that it is linked to can become the owner. The
 * others take their place, and the agent finds them among its reserves. */
TEST(HostedMembers, TheLossOfAllCoordinatorsIsBorne)
{
    HostedStack s(ENTRIES, 1);
    std::vector<int> lost;
    int other = 0;

    ASSERT_TRUE(WaitForCoordinators(s)) << s.Logs();
    lost = Coordinators(s);
    for (int i : lost) {
        s.entries[static_cast<size_t>(i)]->Signal(SIGKILL);
        other += other == i;
    }
    ASSERT_EQ(s.Submit(other, "a1", "20").status, 200) << s.Logs();
    EXPECT_TRUE(s.WaitForState(other, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

/* Guards against agents that connect only to addresses from before all entries
 * were replaced: nothing would start any more. */
TEST(HostedMembers, TheReplacementOfAllEntriesIsBorne)
{
    HostedStack s(2, 1);

    ASSERT_EQ(s.Submit(0, "a1", "20").status, 200) << s.Logs();
    ASSERT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    s.ReplaceEntries();
    ASSERT_EQ(s.Submit(2, "a2", "20").status, 200) << s.Logs();
    EXPECT_TRUE(s.WaitForState(3, "a2", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
}

/* Rows of another writer: unreadable ones name no entry, and those of entries
 * that do not answer are passed over, whatever room they state. */
TEST(HostedMembers, RowsOfAnotherWriterNameNoCoordinator)
{
    HostedStack s(ENTRIES, 1);
    const struct {
        const char *key, *value;
    } rows[] = {
        {"entry/bad-1", "not JSON"},
        {"entry/bad-2", R"({"links":7,"incarnation":"x"})"},
        {"entry/bad-3", R"({"links":"nowhere","incarnation":1})"},
        {"entry/bad 4", R"({"links":"127.0.0.1:1","incarnation":1})"},
        {"entry/bad-5",
         R"({"links":"127.0.0.1:1","incarnation":1,"domain":[],)"
         R"("millicores":"many","link_mbps":-4,"memory_mb":1e300})"},
        {"entry/lost-1", R"({"links":"127.0.0.1:1","incarnation":1,)"
                         R"("domain":"b","millicores":900000,)"
                         R"("link_mbps":900000,"memory_mb":900000})"},
        {"entry/lost-2", R"({"links":"127.0.0.1:2","incarnation":1,)"
                         R"("domain":"c","millicores":900000,)"
                         R"("link_mbps":900000,"memory_mb":900000})"},
    };

    ASSERT_TRUE(WaitForCoordinators(s)) << s.Logs();
    for (const auto &r : rows) {
        s.PutRow("parsleyfall", r.key, r.value);
    }
    ASSERT_TRUE(WaitFor([&] {
        return ReadFile(s.dir.Path("agent-0.err"))
                   .find("entry_linked address=127.0.0.1:2") !=
               std::string::npos;
    })) << s.Logs();
    ASSERT_EQ(s.Submit(0, "a1", "20").status, 200) << s.Logs();
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    /* Those of the lost entries that were chosen are replaced when they are
     * found silent. */
    EXPECT_TRUE(WaitForCoordinators(s)) << s.Logs();
}

/* Version of a row of the entries' table; 0: there is none. */
int64_t
RowVersion(const HostedStack &s, const std::string &key)
{
    Reply r = Http("GET", s.store->Url("/rows-get?table=parsleyfall&part=&"
                                       "limit=1&from=" +
                                       key));
    auto body = r.json();
    json_t *row = json_array_get(json_object_get(body.get(), "rows"), 0);

    return json_integer_value(json_object_get(row, "schema-version"));
}

/* Entries that wrote their rows again while the feed is late would make it
 * later still, as every row goes to all of them. */
TEST(HostedMembers, ARowIsNotWrittenAgainWhileTheFeedIsLate)
{
    HostedStack s(2, 1);
    int other = 1 - s.Owner();
    const std::string key = "entry/entry-" + std::to_string(other);
    int64_t before = RowVersion(s, key);

    ASSERT_GT(before, 0);
    s.StoreFault(other, "quiet");
    s.StartEntry(other);
    /* The row of the new process; the feed does not bring it. */
    ASSERT_TRUE(WaitFor([&] { return RowVersion(s, key) > before; }))
        << s.Logs();
    before = RowVersion(s, key);
    EXPECT_FALSE(WaitFor([&] { return RowVersion(s, key) > before; }, 4000))
        << s.Logs();
    s.StoreFault(other, "");
}

/* An entry that answers every report with one list. */
struct Lister {
    struct link *link = nullptr;
    struct wire_list entries = {};
    uint64_t reserves = 0;

    static void OnReceive(void *arg, const struct link_peer *from,
                          struct wire_msg **)
    {
        auto *l = static_cast<Lister *>(arg);
        struct wire_hail m = {};

        m.msg.type = WIRE_HAIL;
        m.incarnation = 1;
        m.stamp = 1;
        m.entries = l->entries;
        m.entries_version = 1;
        m.reserves = l->reserves;
        Link_Send(l->link, from, &m.msg);
    }

    void Add(const std::string &address)
    {
        auto *e = static_cast<struct wire_entry *>(
            Wire_ListAdd(&entries, sizeof(struct wire_entry)));

        Str_Copy(e->address, sizeof(e->address), address.c_str());
    }
};

/* A list of ten thousand entries, some of them twice or no addresses, costs an
 * agent links to the few that it is to hold, once each. */
TEST(HostedMembers, ALongListCostsAnAgentFewLinks)
{
    TempDir dir;
    Lister lister;
    struct ev_loop *loop = ev_loop_new(0);
    struct link_context *context = Link_ContextNew();
    auto log = [&] { return ReadFile(dir.Path("agent.err")); };

    lister.link = Link_Listen(context, loop, "127.0.0.1:0", nullptr,
                              Lister::OnReceive, &lister);
    ASSERT_NE(lister.link, nullptr);
    for (const char *active :
         {"127.0.0.1:2", "127.0.0.1:2", "nowhere", "127.0.0.1:3", ""}) {
        lister.Add(active);
    }
    lister.reserves = 10000;
    for (uint64_t i = 0; i < lister.reserves; i++) {
        lister.Add("127.0.0.1:" + std::to_string(4 + i / 2));
    }
    /* An address of this process's own, as in HostedStack. */
    const int pid = static_cast<int>(getpid());
    const std::string beats = "127." + std::to_string(1 + pid / 250 % 250) +
                              "." + std::to_string(pid % 250) + ".250:7004";
    std::string file = dir.Write(
        "agent.yaml",
        std::string("name: agent\nregion: here\nfailure_domain: a\n") +
            "rack: r\naccelerators: 0\nseeds: [\"" +
            Link_Address(lister.link) + "\"]\nhosted: {beats: \"" + beats +
            "\", worker: \"127.0.0.1:1\"}\n");
    Process agent(dir, "parsleyfall-agent", {"run", file}, "agent");
    EXPECT_TRUE(WaitFor([&] {
        ev_run(loop, EVRUN_NOWAIT);
        return Count(log(), "event=entry_linked address=127.0.0.1:3") == 1;
    })) << log();
    /* The seed, two to hold, and the reserves, as none of the two answers. */
    EXPECT_LE(Count(log(), "event=entry_linked"), 1 + 2 + RESERVES) << log();
    EXPECT_TRUE(agent.Running());
    free(lister.entries.items);
    Link_Free(lister.link);
    Link_ContextFree(context);
    ev_loop_destroy(loop);
}

} /* namespace */
