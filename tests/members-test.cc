/* Which entries are coordinators, and when silent links are opened again,
 * without a network. */
extern "C" {
#include "members.h"
}

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using Members = std::vector<struct member>;

struct member
Entry(const std::string &name, const std::string &domain, int64_t millicores,
      int64_t link_mbps = 1000, int64_t memory_mb = 1024)
{
    struct member m = {};

    Str_Copy(m.name, sizeof(m.name), name.c_str());
    Str_Copy(m.address, sizeof(m.address), (name + ":1").c_str());
    Str_Copy(m.domain, sizeof(m.domain), domain.c_str());
    m.room = {millicores, link_mbps, memory_mb};
    return m;
}

/* A fleet of five failure domains: every fourth entry has room. */
Members
Fleet(int count)
{
    Members all;

    for (int i = 0; i < count; i++) {
        bool room = i % 4 == 0;

        all.push_back(Entry("e" + std::to_string(i),
                            "d" + std::to_string(i / 4 % 5), room ? 1000 : 120,
                            room ? 1000 : 20, room ? 1024 : 160));
    }
    return all;
}

/* Ranks and chooses; the names of the coordinators in order. */
std::vector<std::string>
Coordinators(Members *m)
{
    std::vector<std::string> names;

    Members_Rank(m->data(), m->size());
    Members_Choose(m->data(), m->size());
    for (const struct member &e : *m) {
        if (e.is_coordinator) {
            names.push_back(e.name);
        }
    }
    return names;
}

/* The owner on an entry with a tenth of a core decides eight times slower. */
TEST(Members, EntriesWithRoomInDifferentDomainsBecomeCoordinators)
{
    for (int count : {20, 183, 2000}) {
        Members m = Fleet(count);
        std::set<std::string> domains;

        EXPECT_EQ(Coordinators(&m).size(), size_t{MEMBERS_COORDINATORS});
        for (const struct member &e : m) {
            if (e.is_coordinator) {
                EXPECT_EQ(e.room.millicores, 1000) << e.name;
                domains.insert(e.domain);
            }
        }
        EXPECT_EQ(domains.size(), 5u) << count;
    }
}

struct RoomCase {
    const char *what;
    Members entries;
    const char *first; /* ranked before all others; "": any */
};

TEST(Members, RoomIsRelativeToTheMostOfAnyEntry)
{
    const RoomCase cases[] = {
        {"little processor",
         {Entry("a", "d", 100), Entry("b", "d", 250), Entry("c", "d", 100)},
         "b"},
        {"thin link",
         {Entry("a", "d", 250, 10), Entry("b", "d", 250, 200),
          Entry("c", "d", 250, 20)},
         "b"},
        {"little memory",
         {Entry("a", "d", 250, 10, 160), Entry("b", "d", 250, 10, 512)},
         "b"},
        {"an older version states nothing",
         {Entry("a", "", 0, 0, 0), Entry("b", "d", 120)},
         "b"},
        {"no entry states anything", {Entry("a", "", 0, 0, 0)}, "a"},
        {"no entries", {}, ""},
    };

    for (const RoomCase &c : cases) {
        Members m = c.entries;

        Coordinators(&m);
        if (*c.first != '\0') {
            EXPECT_STREQ(m[0].name, c.first) << c.what;
        }
    }
}

/* Processes that read the rows in different orders must agree. */
RC_GTEST_PROP(Members, TheOrderOfTheInputDoesNotMatter, ())
{
    Members a = Fleet(*rc::gen::inRange(0, 60)), b = a;

    for (struct member &m : a) {
        m.silent = *rc::gen::inRange(0, 3) == 0;
    }
    b = a;
    for (size_t i = b.size(); i > 1; i--) {
        std::swap(b[i - 1], b[*rc::gen::inRange<size_t>(0, i)]);
    }
    RC_ASSERT(Coordinators(&a) == Coordinators(&b));
}

/* Any number of entries may be lost at once: there is a coordinator while one
 * is left, none is silent, and no coordinator changes without need. */
RC_GTEST_PROP(Members, TheLostAreReplacedAndTheOthersStay, ())
{
    Members m = Fleet(*rc::gen::inRange(1, 60));
    std::vector<std::string> before = Coordinators(&m);
    std::map<std::string, bool> silent;
    size_t left = 0, considered;

    for (struct member &e : m) {
        e.silent = *rc::gen::inRange(0, 2) == 0;
        silent[e.name] = e.silent;
        left += !e.silent;
    }
    considered = Members_Choose(m.data(), m.size());
    std::set<std::string> after;
    for (size_t i = 0; i < m.size(); i++) {
        if (m[i].is_coordinator) {
            RC_ASSERT(!m[i].silent);
            RC_ASSERT(i < considered);
            after.insert(m[i].name);
        }
    }
    RC_ASSERT(after.size() == std::min(left, size_t{MEMBERS_COORDINATORS}));
    for (const std::string &name : before) {
        RC_ASSERT(silent[name] || after.count(name) == 1);
    }
}

/* A joining thin entry changes no coordinator, and a joining one with room at
 * most one. Otherwise all agents would open links at each join. */
RC_GTEST_PROP(Members, AJoinMovesAtMostOneCoordinator, ())
{
    Members m = Fleet(*rc::gen::inRange(20, 100));
    bool room = *rc::gen::arbitrary<bool>();
    std::vector<std::string> before = Coordinators(&m), gone;

    m.push_back(Entry("joins-" + std::to_string(*rc::gen::inRange(0, 1000)),
                      "d" + std::to_string(*rc::gen::inRange(0, 5)),
                      room ? 1000 : 120));
    std::vector<std::string> after = Coordinators(&m);
    std::sort(before.begin(), before.end());
    std::sort(after.begin(), after.end());
    std::set_difference(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(gone));
    RC_ASSERT(gone.size() <= (room ? 1u : 0u));
}

/* ---- links that are opened again ---------------------------------------- */

const int64_t BASE_MS = 2000;

TEST(Redial, TheAllowedSilenceGrowsAndIsCapped)
{
    struct redial r = {};

    EXPECT_EQ(Redial_SilenceMs(&r, BASE_MS), BASE_MS);
    for (uint32_t i = 1; i < 40; i++) {
        int64_t least =
            BASE_MS * std::min(1 << std::min(i, 20u), REDIAL_GROWTH_MAX);

        r = {i, Hash_Str("a", i)};
        EXPECT_GE(Redial_SilenceMs(&r, BASE_MS), least) << i;
        EXPECT_LE(Redial_SilenceMs(&r, BASE_MS), least * 3 / 2) << i;
    }
    Redial_Received(&r);
    EXPECT_EQ(Redial_SilenceMs(&r, BASE_MS), BASE_MS);
}

TEST(Redial, AProcessReplacesOnlySoManyLinksASecond)
{
    struct redial_budget budget = {.per_s = 4};
    std::vector<struct redial> links(200);
    int tried = 0;

    for (int64_t now = 100000; now < 110000; now += 250) {
        for (struct redial &r : links) {
            r.attempts = 0;
            tried += Redial_Try(&r, &budget, BASE_MS, BASE_MS + 1, now);
        }
    }
    EXPECT_LE(tried, 4 * (10 + 2));
    EXPECT_GE(tried, 4 * 10);
}

/* A server that answers late, and the more so the more connections are opened:
 * each costs it as much as `dial_cost` answers. Returns the number of links
 * that work after `seconds`, and the dials of the last 5 s. */
struct Outcome {
    int working;
    int dials;
};

/* One entry that answers `capacity` messages a second, and `peers` that send
 * it one each 500 ms and replace links that are silent. It cannot answer
 * anybody for the first 10 s. */
Outcome
PlayOverload(int peers, int capacity, int dial_cost, bool grows)
{
    struct Peer {
        struct redial redial;
        struct redial_budget budget = {.per_s = 4};
        /* Last answer, or when the link was opened; last answer. */
        int64_t quiet_since = 0, answered = 0, next = 0;
        int epoch = 0;
    };
    struct Job {
        int peer, epoch, cost;
    };
    std::vector<Peer> all(static_cast<size_t>(peers));
    std::vector<Job> queue;
    size_t head = 0;
    Outcome out = {0, 0};
    double credit = 0;
    const int64_t step = 50, end = 60000;

    for (int i = 0; i < peers; i++) {
        all[static_cast<size_t>(i)].redial.seed = Hash_Str("p", i + 1u);
    }
    for (int64_t now = 1; now < end; now += step) {
        for (int i = 0; i < peers; i++) {
            Peer &p = all[static_cast<size_t>(i)];

            if (Redial_Try(&p.redial, &p.budget, BASE_MS, now - p.quiet_since,
                           now)) {
                if (!grows) {
                    p.redial.attempts = 0;
                }
                p.quiet_since = now;
                p.epoch++;
                queue.push_back({i, -1, dial_cost});
                out.dials += now > end - 5000;
            }
            if (now >= p.next) {
                p.next = now + 500;
                queue.push_back({i, p.epoch, 1});
            }
        }
        credit +=
            now < 10000 ? 0 : capacity * static_cast<double>(step) / 1000;
        while (head < queue.size() && credit >= queue[head].cost) {
            Peer &p = all[static_cast<size_t>(queue[head].peer)];

            credit -= queue[head].cost;
            if (queue[head].epoch == p.epoch) {
                p.quiet_since = p.answered = now;
                Redial_Received(&p.redial);
            }
            head++;
        }
    }
    for (const Peer &p : all) {
        out.working += end - p.answered < BASE_MS;
    }
    return out;
}

/* Agents opened 101 links a second each: an entry that had fallen behind got
 * more connections than it could answer, so its links stayed silent for ever.
 * The mutant without the growth shows it. */
TEST(Redial, AnOverloadedEntryAnswersAgain)
{
    Outcome kept = PlayOverload(200, 600, 5, true);
    Outcome mutant = PlayOverload(200, 600, 5, false);

    EXPECT_EQ(kept.working, 200);
    EXPECT_EQ(kept.dials, 0);
    EXPECT_LT(mutant.working, 100);
    EXPECT_GT(mutant.dials, 200);
}

/* Thousands of peers that are slow, lost, frozen or all back at once: attempts
 * stay bounded, and every link works again within its bound. */
RC_GTEST_PROP(Redial, AttemptsAreBoundedAndAllLinksComeBack, ())
{
    struct Peer {
        struct redial redial;
        int64_t quiet_since, lost_until;
    };
    const int64_t per_s = *rc::gen::inRange<int64_t>(1, 20), step = 250;
    const size_t count = *rc::gen::inRange<size_t>(1, 2000);
    struct redial_budget budget = {.per_s = per_s};
    std::vector<Peer> peers(count);
    int64_t last_lost = 0, now = 1, window_start = 1;
    int64_t in_window = 0;

    for (size_t i = 0; i < count; i++) {
        peers[i].redial = {0, Hash_Str("peer", i)};
        peers[i].quiet_since = now;
        peers[i].lost_until = *rc::gen::inRange<int64_t>(0, 30000);
        last_lost = std::max(last_lost, peers[i].lost_until);
    }
    /* The replaced links share the budget, and none waits longer than the
     * longest silence before it asks for its share. */
    int64_t bound = last_lost + BASE_MS * REDIAL_GROWTH_MAX * 3 / 2 +
                    static_cast<int64_t>(count) * 1000 / per_s + 2 * step;

    for (; now < bound; now += step) {
        if (now - window_start >= 1000) {
            RC_ASSERT(in_window <= per_s * 3);
            window_start = now;
            in_window = 0;
        }
        for (Peer &p : peers) {
            if (Redial_Try(&p.redial, &budget, BASE_MS, now - p.quiet_since,
                           now)) {
                in_window++;
                p.quiet_since = now;
                if (now >= p.lost_until) {
                    Redial_Received(&p.redial);
                    p.lost_until = -1;
                }
            }
            if (p.lost_until == -1) {
                p.quiet_since = now;
            }
        }
    }
    for (const Peer &p : peers) {
        RC_ASSERT(p.lost_until == -1);
    }
}

} /* namespace */
