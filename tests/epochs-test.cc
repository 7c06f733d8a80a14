#include "config-text.h"

extern "C" {
#include "entry-config.h"
#include "entry-peers.h"
}

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sstream>
#include <vector>

/* Documents are adopted late, twice and out of order: after a slow read, after
 * a pause of the process, or when this entry accepts a change while it fetches
 * an older document. If the epoch in force ever decreased, an accepted change
 * would be undone at one entry. */
RC_GTEST_PROP(Adopt, EpochNeverDecreases, (std::vector<uint8_t> arrivals))
{
    struct configs c = {};
    uint64_t highest = 0;

    Log_SetLevel(LOG_ERROR);
    for (uint64_t epoch : arrivals) {
        struct config_snapshot *f =
            (struct config_snapshot *)Mem_Zero(1, sizeof(*f));

        f->refs = 1;
        f->epoch = epoch + 1;
        config_adopt(&c, f);
        highest = std::max(highest, epoch + 1);
        RC_ASSERT(c.active_config->epoch == highest);
    }
    ConfigSnapshot_Unref(c.active_config);
}

/* Tags that clients may send, valid and invalid. */
TEST(Etag, ReadsWhatItWrites)
{
    const std::string hash(64, 'a');
    const struct {
        std::string text;
        int err;
        uint64_t epoch;
    } cases[] = {{"\"12-" + hash + "\"", ERR_OK, 12},
                 {"7-" + hash, ERR_OK, 7},
                 {"", ERR_INVALID, 0},
                 {"\"", ERR_INVALID, 0},
                 {"*", ERR_INVALID, 0},
                 {"-1-" + hash, ERR_INVALID, 0},
                 {"12", ERR_INVALID, 0},
                 {"12-abc", ERR_INVALID, 0},
                 {"12-" + hash + "a", ERR_INVALID, 0}};

    for (const auto &t : cases) {
        struct config_head head = {};

        EXPECT_EQ(t.err, config_parse_etag(t.text.c_str(), &head)) << t.text;
        if (t.err == ERR_OK) {
            EXPECT_EQ(t.epoch, head.epoch);
            EXPECT_EQ(hash, head.hash);
        }
    }
}

/* Guarantees of a document with two workers of 8 accelerators in d1 and one of
 * 4 in d2. */
TEST(Feasible, ReportsWhatDoesNotFit)
{
    const struct {
        const char *guarantees;
        const char *expected; /* "": feasible */
    } cases[] = {
        {"{shape: worker, count: 3}", ""},
        {"{shape: \"workers: 2\", count: 1}", ""},
        {"{shape: rack, count: 2}", ""},
        {"{shape: \"accelerators: 4\", count: 5}", ""},
        {"{shape: \"accelerators: 4\", count: 2, failure_domain: d1},"
         " {shape: worker, count: 2}",
         ""},
        {"{shape: \"accelerators: 3\", count: 1}",
         "f:9: organisations[0].guarantees[0]: 'accelerators: 3' can't be "
         "guaranteed (allowed: accelerators: 1, 2, 4, 8, 16, 32 or 64)"},
        {"{shape: \"workers: 2\", count: 1},"
         " {shape: \"accelerators: 1\", count: 1, failure_domain: d1}",
         "f:9: organisations[0].guarantees[0]: 1 of 1 'workers: 2' find no "
         "place in any failure domain beside the others"},
        {"{shape: \"accelerators: 8\", count: 1},"
         " {shape: \"workers: 2\", count: 1}",
         "f:9: organisations[0].guarantees[0]: 1 of 1 'accelerators: 8' find "
         "no place in any failure domain beside the others"},
    };

    Config_SetCheck(Feasible_Check);
    for (const auto &t : cases) {
        ConfigText text;

        text.organisations = "organisations:\n - name: a\n   guarantees: [" +
                             std::string(t.guarantees) + "]\n - name: b\n";
        ConfigParsed parsed(text.text());

        if (*t.expected == '\0') {
            EXPECT_EQ("", parsed.mistakes()) << t.guarantees;
        }
        else {
            EXPECT_NE(std::string::npos, parsed.mistakes().find(t.expected))
                << parsed.mistakes();
        }
    }
    Config_SetCheck(nullptr);
}

/* The division has all cells of a guarantee, each in a failure domain that the
 * guarantee allows and with the cell's shape there. */
TEST(Feasible, DividesAllOfAGuarantee)
{
    ConfigText text;
    struct conf_errors errors = {};
    size_t count;

    text.organisations = "organisations:\n - name: a\n   guarantees: "
                         "[{shape: worker, count: 3}]\n - name: b\n";
    ConfigParsed parsed(text.text());
    ASSERT_EQ("", parsed.mistakes());
    struct feasible_share *shares =
        Feasible_Divide(&parsed.c, &count, &errors);
    ASSERT_EQ(2u, count);
    EXPECT_EQ(0, errors.count);
    EXPECT_STREQ("d1", shares[0].domain->name);
    EXPECT_EQ(2, shares[0].cells);
    EXPECT_STREQ("d2", shares[1].domain->name);
    EXPECT_EQ(1, shares[1].cells);
    EXPECT_STREQ("r", shares[1].region->name);
    EXPECT_EQ(1, shares[1].workers);
    free(shares);
}

/* Returns the row of entry "b" in region "r". */
std::string
PeerRow(const std::string &links, const std::string &http,
        const std::string &incarnation)
{
    return R"({"name":"b","region":"r","links":")" + links + R"(","http":")" +
           http + R"(","incarnation":)" + incarnation + "}";
}

/* Guards against entries that are none: an odd row of another writer would be
 * sent to all agents, and take a place in the list. */
TEST(Peers, AnInvalidRowNamesNoEntry)
{
    const std::string good = "10.0.0.2:7000";
    const struct {
        std::string key, value;
        size_t count;
    } cases[] = {
        {"b", PeerRow(good, good, "\"00ff\""), 2},
        {"c", PeerRow(good, good, "\"00ff\""), 1},
        {"b", PeerRow("10.0.0.2:65536", good, "\"00ff\""), 1},
        {"b", PeerRow("10.0.0.2:-1", good, "\"00ff\""), 1},
        {"b", PeerRow("10.0.0.2:99999999999999999999", good, "\"1\""), 1},
        {"b", PeerRow("0.0.0.0:7000", good, "\"00ff\""), 1},
        {"b", PeerRow("nowhere", good, "\"00ff\""), 1},
        {"b", PeerRow(good, "10.0.0.2:0", "\"00ff\""), 1},
        {"b", PeerRow(good, good, "\"\""), 1},
        {"b", PeerRow(good, good, "\"xyz\""), 1},
        {"b", PeerRow(good, good, "1e999"), 1},
        {"b", PeerRow(good, good, std::string(30000, '[')), 1},
        {"b", PeerRow(good, good, "{}"), 1},
        {"b", "", 1},
    };

    for (const auto &c : cases) {
        struct peer_list list = TAILQ_HEAD_INITIALIZER(list);
        struct peer_entry self = {}, out[PEERS_MAX + 1] = {};
        std::string key = c.key, value = c.value;
        struct table_row row = {};

        row.key = key.data();
        row.version = 1;
        row.value.data = value.data();
        row.value.len = value.size();
        peers_apply_list(&list, &row, 1);
        EXPECT_EQ(peers_alive(&list, &self, out), c.count)
            << c.value.substr(0, 100);
        peers_clear(&list);
    }
}

/* An entry that stops writing its row is dropped after ten lists that show no
 * new version. An outage must drop no entry, however long it is, as a list
 * that failed does not show who is alive. `versions` are those of one entry's
 * row in successive lists: "-" is a list that failed (the table service was
 * down, or this process paused), "0" a list without the row. */
TEST(Peers, DropsEntriesThatStopWriting)
{
    const struct {
        std::string versions;
        bool alive;
    } cases[] = {
        {"1", true},
        {"1 1 1 2 2 2 3 3 3 4 4 4", true},
        {"1 1 1 1 1 1 1 1 1 1", true},
        {"1 1 1 1 1 1 1 1 1 1 1", false},
        {"1 1 1 1 1 1 1 1 1 1 1 2", true},
        {"1 - - - - - - - - - - - - - - - - 1 1 1 2", true},
        {"1 - - - - - - - - - - - - - - - - 1", true},
        {"1 0", false},
    };

    for (const auto &c : cases) {
        struct peer_list list = TAILQ_HEAD_INITIALIZER(list);
        struct peer_entry self = {}, out[PEERS_MAX + 1] = {};
        std::stringstream words(c.versions);
        std::string word,
            key = "b",
            value = PeerRow("10.0.0.2:7000", "10.0.0.2:8080", "\"00ff\"");

        Str_Copy(self.name, sizeof(self.name), "a");
        while (words >> word) {
            struct table_row row = {};

            row.key = key.data();
            row.version = word == "-" ? 0 : std::stoul(word);
            row.value.data = value.data();
            row.value.len = value.size();
            if (word != "-") {
                peers_apply_list(&list, &row, row.version != 0);
            }
        }
        EXPECT_EQ(c.alive ? 2u : 1u, peers_alive(&list, &self, out))
            << c.versions;
        EXPECT_STREQ("a", out[0].name);
        EXPECT_EQ(c.alive ? 255u : 0u, out[1].incarnation);
        peers_clear(&list);
    }
}
