/* Configuration documents that entries send each other, and the choice of
 * sources, without a network. */
#include "queue-documents.h"
#include "queue-sources.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using Documents =
    std::unique_ptr<struct documents, void (*)(struct documents *)>;

Documents
New()
{
    return Documents(Documents_New(), Documents_Free);
}

void
Add(const Documents &d, uint64_t version, const std::string &text)
{
    struct buf b = {};

    Buf_Set(&b, text.data(), text.size());
    Documents_Add(d.get(), version, &b);
    Buf_Free(&b);
}

/* The document in m as an entry with d decompresses it, or the name of the
 * error. */
std::string
Unpacked(const Documents &d, const struct wire_document &m)
{
    struct buf text = {};
    int err = Documents_Unpack(d.get(), &m, &text);
    std::string out =
        err == ERR_OK ? std::string(text.data, text.len) : Err_Name(err);

    Buf_Free(&text);
    return out;
}

/* A configuration of queues whose names compress badly. */
std::string
Queues(int count, uint64_t seed = 1)
{
    std::string out = "{\"routes\":[";

    for (int i = 0; i < count; i++) {
        out += "{\"name\":\"r-" +
               std::to_string(Hash_Str(std::to_string(i).c_str(), seed)) +
               "\",\"prefix\":\"/" +
               std::to_string(Hash_Str(std::to_string(i).c_str(), seed + 1)) +
               "/\",\"service\":\"pool\",\"max-attempts\":2},";
    }
    return out + "]}";
}

/* Adding a queue to a configuration of 4,000 costs about the size of that
 * queue, wherever in the text it stands. Without a base the whole document is
 * sent. */
TEST(Documents, AChangeCostsOnlyTheDifference)
{
    const std::string before = Queues(4000);
    static const double places[] = {0.0, 0.1, 0.5, 0.9, 1.0};

    for (double at : places) {
        Documents d = New(), other = New();
        struct wire_document m;
        std::string after = before;

        after.insert(
            static_cast<size_t>(at * static_cast<double>(after.size())),
            "{\"name\":\"one more\",\"prefix\":\"/one/more/\"},");
        Add(d, 7, before);
        Add(other, 7, before);
        Add(d, 9, after);
        ASSERT_EQ(Documents_Pack(d.get(), 7, &m), ERR_OK);
        EXPECT_EQ(m.base, 7u);
        EXPECT_LT(m.packed.len, 2000u) << at;
        EXPECT_TRUE(Unpacked(other, m) == after) << at;
        ASSERT_EQ(Documents_Pack(d.get(), 0, &m), ERR_OK);
        EXPECT_EQ(m.base, 0u);
        EXPECT_LT(m.packed.len, before.size() / 2);
        EXPECT_TRUE(Unpacked(New(), m) == after);
    }
}

/* An entry that missed a few changes gets a difference; one that missed more,
 * or has an unknown version, the whole document. */
TEST(Documents, OldAndUnknownVersionsAreServed)
{
    Documents d = New();
    struct wire_document m;

    EXPECT_EQ(Documents_Pack(d.get(), 0, &m), ERR_NOTFOUND);
    EXPECT_EQ(Documents_Version(d.get()), 0u);
    for (uint64_t v = 1; v <= 9; v++) {
        Add(d, v, Queues(50) + std::to_string(v));
    }
    EXPECT_EQ(Documents_Version(d.get()), 9u);
    static const struct {
        uint64_t known_version, base;
    } cases[] = {{8, 8}, {6, 6}, {5, 0}, {0, 0}, {77, 0}};
    for (const auto &c : cases) {
        ASSERT_EQ(Documents_Pack(d.get(), c.known_version, &m), ERR_OK);
        EXPECT_EQ(m.version, 9u);
        EXPECT_EQ(m.base, c.base) << c.known_version;
        EXPECT_TRUE(Unpacked(d, m) == Queues(50) + "9") << c.known_version;
    }
}

/* A document is rejected if its base is missing or another one, or if it is
 * damaged. */
TEST(Documents, DamagedDocumentsAreRejected)
{
    Documents d = New(), other = New(), none = New();
    struct wire_document m;

    Add(d, 1, Queues(300));
    Add(d, 2, Queues(301));
    Add(other, 1, Queues(300, 9));
    ASSERT_EQ(Documents_Pack(d.get(), 1, &m), ERR_OK);
    EXPECT_EQ(Unpacked(none, m), Err_Name(ERR_STALE));
    EXPECT_EQ(Unpacked(other, m), Err_Name(ERR_INVALID));
    struct wire_document wrong = m;
    wrong.digest++;
    EXPECT_EQ(Unpacked(d, wrong), Err_Name(ERR_INVALID));
    for (uint64_t size : {uint64_t(0), m.size - 1, m.size + 1,
                          uint64_t(1) << 40, UINT64_MAX}) {
        wrong = m;
        wrong.size = size;
        EXPECT_EQ(Unpacked(d, wrong), Err_Name(ERR_INVALID)) << size;
    }
    for (size_t len = 0; len < m.packed.len; len++) {
        wrong = m;
        wrong.packed.len = len;
        EXPECT_EQ(Unpacked(d, wrong), Err_Name(ERR_INVALID)) << len;
    }
}

/* Whatever documents follow each other, and whichever of them the other entry
 * has, it receives the newest unchanged. */
RC_GTEST_PROP(Documents, AnyDocumentIsReceivedUnchanged,
              (const std::vector<std::string> &texts, uint8_t known_version))
{
    Documents d = New(), other = New();
    struct wire_document m;
    uint64_t version = 0;

    for (const std::string &t : texts) {
        if (!t.empty()) {
            version++;
            Add(d, version, t);
            if (version <= known_version) {
                Add(other, version, t);
            }
        }
    }
    RC_PRE(version > 0);
    RC_ASSERT(Documents_Pack(d.get(), Documents_Version(other.get()), &m) ==
              ERR_OK);
    for (auto i = texts.rbegin(); i != texts.rend(); ++i) {
        if (!i->empty()) {
            RC_ASSERT(Unpacked(other, m) == *i);
            return;
        }
    }
}

const int64_t NOW = 100000;

struct SourceCase {
    const char *what;
    std::vector<struct source> all;
    std::vector<size_t> chosen;
};

/* Each source is {rank, time of last report, time of last read}. */
TEST(Sources, UsableSourcesAreChosenByRank)
{
    const int64_t now = NOW, silent = NOW - SOURCE_REPORT_AGE_MS,
                  stale = NOW - SOURCE_READ_AGE_MS;
    const SourceCase cases[] = {
        {"no entries", {}, {}},
        {"one entry", {{5, now, now}}, {0}},
        {"by rank", {{5, now, now}, {3, now, now}, {4, now, now}}, {1, 2}},
        {"no report yet", {{1, 0, 0}, {5, now, now}}, {1}},
        {"it delegates reading",
         {{1, now, 0}, {5, now, now}, {6, now, now}},
         {1, 2}},
        {"hung: no reports", {{1, silent, now}, {5, now, now}}, {1}},
        {"cut off from the store", {{1, now, stale}, {5, now, now}}, {1}},
        {"all gone", {{1, silent, now}, {5, now, stale}}, {}},
        {"many",
         {{9, now, now},
          {8, now, now},
          {7, now, now},
          {1, now, now},
          {2, now, now}},
         {3, 4}},
    };

    for (const SourceCase &c : cases) {
        size_t chosen[SOURCES_MAX];
        size_t n = Sources_Choose(c.all.data(), c.all.size(), NOW, chosen);

        EXPECT_EQ(std::vector<size_t>(chosen, chosen + n), c.chosen) << c.what;
    }
}

/* With many slow entries and few fast ones, the slow ones spread over the
 * sources, and a source that is lost moves only those that used it. */
TEST(Sources, LoadIsSpreadAndMovesLittle)
{
    const size_t readers = 6, slow = 60;
    std::vector<int> load(readers);
    int moved = 0;

    for (size_t i = 0; i < slow; i++) {
        std::vector<struct source> all;
        size_t before[SOURCES_MAX], after[SOURCES_MAX];
        std::string name = "slow-" + std::to_string(i);

        for (size_t r = 0; r < readers; r++) {
            std::string reader = "reader-" + std::to_string(r);
            all.push_back({Hash_Str(reader.c_str(), Hash_Str(name.c_str(), 0)),
                           NOW, NOW});
        }
        ASSERT_EQ(Sources_Choose(all.data(), readers, NOW, before),
                  size_t(SOURCES_MAX));
        all[0].reported_ms = 0;
        ASSERT_EQ(Sources_Choose(all.data(), readers, NOW, after),
                  size_t(SOURCES_MAX));
        bool had = before[0] == 0 || before[1] == 0;
        moved += !std::equal(before, before + SOURCES_MAX, after);
        EXPECT_EQ(!std::equal(before, before + SOURCES_MAX, after), had);
        load[before[0]]++;
        load[before[1]]++;
    }
    for (size_t r = 0; r < readers; r++) {
        EXPECT_GT(load[r], 0) << r;
        EXPECT_LT(load[r], static_cast<int>(slow)) << r;
    }
    EXPECT_LT(moved, static_cast<int>(slow));
}

TEST(Sources, OnlyLargeAndSlowReadingIsDelegated)
{
    static const struct {
        size_t bytes;
        int64_t slow_ms;
        size_t sources;
        bool delegated;
    } cases[] = {{LARGE_CONFIG_BYTES, NOW, 1, true},
                 {LARGE_CONFIG_BYTES - 1, NOW, 2, false},
                 {LARGE_CONFIG_BYTES, 0, 2, false},
                 {LARGE_CONFIG_BYTES, NOW, 0, false},
                 {LARGE_CONFIG_BYTES, NOW - SLOW_VALID_MS + 1, 1, true},
                 {LARGE_CONFIG_BYTES, NOW - SLOW_VALID_MS, 1, false},
                 {0, NOW, 2, false}};

    for (const auto &c : cases) {
        bool slow = Sources_IsSlow(c.slow_ms, NOW);

        EXPECT_EQ(Sources_ShouldDelegate(c.bytes, slow, c.sources),
                  c.delegated)
            << c.bytes << " " << c.slow_ms;
    }
}

} /* namespace */
