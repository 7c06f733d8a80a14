#include "request-stack.h"

extern "C" {
#include "entry.h"
}

#include <gtest/gtest.h>
#include <signal.h>

#include <cstring>
#include <thread>

using namespace stack;

/* An entry in this process, which is told of the other entries by the test. */
class LocalEntry {
  public:
    LocalEntry(const Stack &s, const std::vector<std::string> &others)
    {
        std::string text =
            "name: local\nregion: r\nfailure_domain: d\nlisten: {address: "
            "127.0.0.1, http_port: 0, link_port: 0}\nseeds: []\nplatform: "
            "{table_url: \"" +
            s.platform.Url() + "\", objects_url: \"" + s.platform.Url() +
            "\"}\ndrain_ms: 10000\nlimits: {deadline_ms_max: 10000}\n"
            "configuration_file: " +
            s.dir.Path("configuration.yaml") + "\n";
        struct conf_errors errors = {};

        if (Settings_ParseEntry(text.data(), text.size(), &settings,
                                &errors) != ERR_OK) {
            throw std::runtime_error(errors.at[0].what);
        }
        Kernel_Init(&kernel, "local", &settings, 100);
        Kernel_Start(&kernel);
        port = Front_Port(&kernel);
        tell(others);
        thread = std::thread([this] { Kernel_Run(&kernel); });
        WaitFor([this] {
            return Http("GET",
                        "http://127.0.0.1:" + std::to_string(port) + "/readyz")
                       .status == 200;
        });
    }
    ~LocalEntry()
    {
        kill(getpid(), SIGTERM);
        thread.join();
        Kernel_Free(&kernel);
        Settings_FreeEntry(&settings);
    }
    Reply Why(const std::string &id, const std::string &token) const
    {
        return Http("GET",
                    "http://127.0.0.1:" + std::to_string(port) + "/v1/why/" +
                        id,
                    "", {"Authorization: Bearer " + token});
    }

  private:
    void tell(const std::vector<std::string> &others)
    {
        auto *note = static_cast<struct peers_note *>(
            Mem_Zero(1, sizeof(struct peers_note)));

        note->count = others.size();
        note->entries = static_cast<struct peer_entry *>(
            Mem_Zero(others.size(), sizeof(struct peer_entry)));
        for (size_t i = 0; i < others.size(); i++) {
            std::string name = "entry-" + std::to_string(i + 1);

            Str_Copy(note->entries[i].name, NAME_SIZE, name.c_str());
            Str_Copy(note->entries[i].http, NAME_SIZE, others[i].c_str());
        }
        Kernel_Post(Kernel_FindTask(&kernel, "why"), &note->base,
                    &Entry_Peers);
    }

    struct entry_settings settings = {};
    struct kernel kernel = {};
    std::thread thread;
    int port;
};

/* A caller asks an entry why, while another one decided, and one entry of the
 * list is gone. The one that knows answers; who may not see it is told the
 * same as of an id that nobody knows, with who was asked. */
TEST(WhyPeers, AnyEntryTells)
{
    Stack s({.agents = 0});
    Call c = s.Ask("nobody serves this");
    std::string id = c.Header("x-request-id");
    LocalEntry local(s, {"127.0.0.1:" + s.entries[0].http, "127.0.0.1:1"});

    Reply known = local.Why(id, "token");
    EXPECT_EQ(known.status, 200) << known.body;
    EXPECT_EQ(Text(known.json().get(), "id"), id);
    EXPECT_EQ(local.Why(id, "operator").status, 200);
    EXPECT_EQ(local.Why(id, "token-2").status, 404);
    Reply unknown = local.Why(std::string(32, 'a'), "token");
    EXPECT_EQ(unknown.status, 404);
    EXPECT_NE(unknown.body.find("\"entry\": \"entry-1\""), unknown.body.npos);
    EXPECT_NE(unknown.body.find("\"answer\": \"unreachable\""),
              unknown.body.npos)
        << unknown.body;
    EXPECT_EQ(local.Why(id, "nobody").status, 401);
}
