/* The set of emptied failure domains, as an entry reads it and receives it
 * from others. */
#include "queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

const char *const PREFIX = "evacuate/";

/* Applies a row to e; version 0: it was deleted. */
void
ApplyRow(struct emptied_domains *e, const std::string &key, uint64_t version,
         const std::string &value, const struct emptied_domains *before)
{
    struct table_row row = {};

    row.key = Mem_Dup(key.c_str());
    row.version = version;
    Buf_Set(&row.value, value.data(), value.size());
    Emptied_ApplyRow(e, &row, PREFIX, before);
    free(row.key);
    Buf_Free(&row.value);
}

std::set<std::string>
Names(const struct emptied_domains &e)
{
    std::set<std::string> out;

    for (size_t i = 0; i < e.domains.count; i++) {
        out.insert(e.domains.names[i]);
    }
    return out;
}

struct Case {
    const char *what;
    std::string key, value;
    uint64_t version;
    bool before, after; /* whether "a" is emptied */
};

/* The effect of a row of the operator table on domain "a". An unreadable row
 * neither empties a domain nor withdraws that. */
TEST(Emptied, EffectOfARow)
{
    static const Case cases[] = {
        {"requested", "evacuate/a", "{}", 5, false, true},
        {"requested again", "evacuate/a", "{}", 5, true, true},
        {"removed", "evacuate/a", "", 0, true, false},
        {"overwritten with an unreadable value", "evacuate/a", "\x01nonsense",
         5, true, true},
        {"overwritten with a list", "evacuate/a", "[]", 5, true, true},
        {"overwritten with an empty value", "evacuate/a", "", 5, true, true},
        {"unreadable from the start", "evacuate/a", "nonsense", 5, false,
         false},
        {"a row without the prefix", "config", "{}", 5, false, false},
        {"an empty name", "evacuate/", "{}", 5, false, false},
        {"an invalid name", "evacuate/a/b c", "{}", 5, false, false},
    };

    for (const Case &c : cases) {
        struct emptied_domains e = {};

        JobsDomains_Set(&e.domains, "a", c.before);
        struct emptied_domains before = e;
        ApplyRow(&e, c.key, c.version, c.value, &before);
        EXPECT_EQ(JobsDomains_Has(&e.domains, "a"), c.after) << c.what;
        EXPECT_EQ(e.domains.count, c.after ? 1u : 0u) << c.what;
    }
}

TEST(Emptied, TheFirstSetIsNewEvenIfEmpty)
{
    struct emptied_domains e = {}, none = {}, again = {};

    none.position = 3;
    again.position = 4;
    EXPECT_TRUE(Emptied_Update(&e, &none));
    EXPECT_FALSE(Emptied_Update(&e, &again));
    EXPECT_EQ(e.position, 4u);
}

/* A domain is emptied and the request withdrawn. A message of another entry
 * that it is emptied was delayed and arrives last; the domain must not stay
 * unused for ever. */
TEST(Emptied, ADelayedMessageDoesNotRestoreADomain)
{
    struct emptied_domains e = {}, requested = {}, withdrawn = {};

    requested.position = 7;
    JobsDomains_Set(&requested.domains, "a", true);
    withdrawn.position = 9;
    EXPECT_TRUE(Emptied_Update(&e, &requested));
    EXPECT_TRUE(Emptied_Update(&e, &withdrawn));
    EXPECT_FALSE(Emptied_Update(&e, &requested));
    EXPECT_TRUE(Names(e).empty());
}

/* An action of an operator; the n-th one has position n. */
struct Step {
    std::string domain;
    bool requested;
};

/* The expected set as of a position. */
std::set<std::string>
Expected(const std::vector<Step> &steps, uint64_t position)
{
    std::set<std::string> out;

    for (uint64_t i = 0; i < position; i++) {
        if (steps[i].requested) {
            out.insert(steps[i].domain);
        }
        else {
            out.erase(steps[i].domain);
        }
    }
    return out;
}

struct emptied_domains
SnapshotAt(const std::vector<Step> &steps, uint64_t position)
{
    struct emptied_domains e = {};

    e.position = position;
    for (const std::string &name : Expected(steps, position)) {
        JobsDomains_Set(&e.domains, name.c_str(), true);
    }
    return e;
}

/* An entry reads the feed from any position, lists the table again, and
 * receives old and new sets from other entries, in any order. The set it holds
 * must be correct as of its position, and the position never falls. */
RC_GTEST_PROP(Emptied, TheSetIsCorrectAsOfItsPosition, ())
{
    std::mt19937 rng(*rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::arbitrary<uint32_t>())));
    std::vector<Step> steps;
    struct emptied_domains e = {};
    uint64_t feed = 0;

    for (int i = 0; i < 60; i++) {
        steps.push_back({std::string(1, static_cast<char>('a' + rng() % 4)),
                         rng() % 2 == 0});
    }
    for (int i = 0; i < 80; i++) {
        uint64_t now = std::min<uint64_t>(60, 1 + static_cast<uint64_t>(i));
        uint64_t before = e.position;
        struct emptied_domains update;

        switch (rng() % 3) {
        case 0: /* the feed continues */
            if (feed == 0 || feed >= now) {
                continue;
            }
            update = e;
            update.position = feed + 1 + rng() % (now - feed);
            for (uint64_t k = feed; k < update.position; k++) {
                ApplyRow(&update, PREFIX + steps[k].domain,
                         steps[k].requested ? k + 1 : 0, "{}", &e);
            }
            feed = update.position;
            break;
        case 1: /* the table is listed again */
            feed = now;
            update = SnapshotAt(steps, now);
            break;
        default: /* a message from another entry, late or not */
            update = SnapshotAt(steps, 1 + rng() % now);
        }
        Emptied_Update(&e, &update);
        RC_ASSERT(e.position >= before);
        RC_ASSERT(Names(e) == Expected(steps, e.position));
    }
}

} /* namespace */
