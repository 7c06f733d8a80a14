/* Applies messages in random order (early, late and repeated), with lost
 * replies of the runner and restarts of the agent, and checks the agent
 * against a simulated runner, which holds the tasks that really work. */
#include "parts-support.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <tuple>

namespace {

const int JOBS = 3;
const int64_t RESERVATION_MS = 3000; /* lease of a reservation */

using Rank = std::tuple<int, uint64_t, uint64_t>; /* job, attempt, term */

/* A task at the runner, or a start that has not reached it yet. */
struct Work {
    Rank rank;
    uint64_t agent;
    uint64_t bits;
    int64_t until;
    std::string label;
    bool runs = true;
};

struct TestBed {
    struct parts p;
    uint64_t agent = OWN_INCARNATION;
    int64_t now = 0;
    std::vector<Work> runner, late;
    std::vector<struct wire_prepare> prepares;
    std::vector<struct wire_release> releases;
    std::vector<struct wire_renew> renews;
    std::vector<struct wire_renewed> renewed; /* parallel to renews */
    uint64_t owner_term = 1;
    std::map<int, uint64_t> tried; /* newest attempt of each job */
    std::set<Rank> fenced;         /* fences that the agent reported as done */
    std::map<std::pair<uint64_t, Rank>, int64_t> reserved_until;
    std::map<Rank, int64_t> may_work_until;

    TestBed()
    {
        Parts_Init(&p, 4, agent);
        Observe();
    }
    ~TestBed()
    {
        Parts_Free(&p);
    }
    TestBed(const TestBed &) = delete;
    TestBed &operator=(const TestBed &) = delete;

    static Rank Of(const struct part *part)
    {
        return {part->job.b[0], part->attempt, part->term};
    }

    /* The next attempt of a job, or in a quarter of the cases an old one. */
    uint64_t Attempt(int job, int n)
    {
        uint64_t &last = tried[job];

        return n % 4 == 0 && last > 0 ? 1 + (uint64_t)n / 4 % last : ++last;
    }

    bool IsFenced(const Rank &r) const
    {
        return std::any_of(fenced.begin(), fenced.end(), [&](const Rank &f) {
            return std::get<0>(f) == std::get<0>(r) && r <= f;
        });
    }

    /* Delivers a start to the runner. Checks that no fenced rank starts, and
     * that no two working tasks share an accelerator or a job. Returns true if
     * the task runs. */
    bool DeliverStart(const Work &w)
    {
        if (w.agent != agent || w.until <= now) {
            return false;
        }
        for (const Work &other : runner) {
            if (std::get<0>(other.rank) == std::get<0>(w.rank) &&
                std::get<1>(other.rank) == std::get<1>(w.rank)) {
                return other.runs;
            }
        }
        RC_ASSERT(!IsFenced(w.rank));
        for (const Work &other : runner) {
            if (other.runs) {
                RC_ASSERT((other.bits & w.bits) == 0u);
                RC_ASSERT(std::get<0>(other.rank) != std::get<0>(w.rank));
            }
        }
        runner.push_back(w);
        return true;
    }

    struct part *Pick(int n, enum part_state state)
    {
        std::vector<struct part *> found;
        struct part *part;

        TAILQ_FOREACH (part, &p.list, entry) {
            if (part->state == state) {
                found.push_back(part);
            }
        }
        return found.empty() ? nullptr : found[n % found.size()];
    }

    /* Requests the start of a released part. how: 0: the runner is
     * unreachable; 1: the outcome is unknown and the start may arrive later;
     * 2: the start arrives and its outcome is unknown; else its outcome is
     * known. */
    void Start(struct part *part, int how)
    {
        char label[RUNNER_LABEL_SIZE];

        Parts_Label(part, label);
        Work w = {Of(part), agent, part->accelerators, part->lease_until,
                  label};
        part->start = START_REQUESTED;
        if (how == 0) {
            Parts_RecordStart(&p, part, ERR_UNREACHABLE, now);
        }
        else if (how == 1) {
            late.push_back(w);
            Parts_RecordStart(&p, part, ERR_UNKNOWN, now);
        }
        else {
            bool ok = DeliverStart(w);
            Parts_RecordStart(
                &p, part, how == 2 ? ERR_UNKNOWN : (ok ? ERR_OK : ERR_STALE),
                now);
        }
    }

    void Observe()
    {
        std::vector<struct runner_task> tasks;

        for (const Work &w : runner) {
            tasks.push_back(Task((uint8_t)std::get<0>(w.rank),
                                 std::get<1>(w.rank),
                                 w.runs ? RUNNER_RUNNING : RUNNER_STOPPED,
                                 w.bits, w.until, w.label.c_str()));
        }
        Parts_Reconcile(&p, tasks.data(), tasks.size(), now, now, now);
    }

    void StopOne(int n)
    {
        struct part *part = Pick(n, PART_STOPPING);

        for (Work &w : runner) {
            if (part != nullptr && std::get<0>(w.rank) == part->job.b[0] &&
                std::get<1>(w.rank) == part->attempt) {
                w.runs = false;
            }
        }
    }

    void AdvanceClock(int64_t ms)
    {
        struct part *part;

        now += ms;
        for (Work &w : runner) {
            w.runs = w.runs && w.until > now;
        }
        Parts_Tick(&p, now);
        TAILQ_FOREACH (part, &p.list, entry) {
            RC_ASSERT(
                !(part->state == PART_RUNNING && part->lease_until <= now));
        }
    }

    void AddPrepare(int job, uint64_t attempt, uint64_t term, uint64_t bits,
                    bool claim)
    {
        if (IsFenced({job, attempt, term})) {
            return; /* an owner does not prepare a rank that it has fenced */
        }
        auto m =
            claim ? Claim((uint8_t)job, attempt, term, bits, 1, true)
                  : Prepare((uint8_t)job, attempt, term, bits, RESERVATION_MS);
        m.incarnation = agent;
        m.lease_ms = RESERVATION_MS;
        prepares.push_back(m);
        auto r = Release((uint8_t)job, attempt, term);
        r.incarnation = agent;
        releases.push_back(r);
    }

    void SendPrepare(const struct wire_prepare &m)
    {
        if (Parts_Prepare(&p, &m, now).reason == PARTS_GRANTED) {
            Rank r = {m.job.b[0], m.attempt, m.term};
            RC_ASSERT(reserved_until.count({agent, r}) == 0u);
            reserved_until[{agent, r}] = now + RESERVATION_MS;
        }
    }

    void SendRelease(const struct wire_release &m)
    {
        auto v = Parts_Release(&p, &m, now);

        if (v.reason == PARTS_GRANTED) {
            RC_ASSERT(now < (reserved_until[{agent, Of(v.part)}]));
            may_work_until[Of(v.part)] = now + GANG_LEASE_MS;
        }
    }

    void AddRenew(int n)
    {
        struct part *part = Pick(n, PART_RUNNING);
        struct wire_renew m = {};

        if (part == nullptr || !Parts_IsWorking(part)) {
            return;
        }
        m.incarnation = agent;
        m.sent = now;
        m.lease_ms = GANG_LEASE_MS;
        renews.push_back(m);
        renewed.push_back({part->job, part->attempt, part->term});
    }

    void SendRenew(size_t n)
    {
        struct wire_renew m = renews[n];
        struct wire_renewed *one = &renewed[n];
        struct part *part;

        m.renewed = {one, 1};
        if (Parts_Renew(&p, &m, now) == 0) {
            return;
        }
        int64_t &bound =
            may_work_until[{one->job.b[0], one->attempt, one->term}];
        bound = std::max(bound, m.sent + GANG_LEASE_MS);
        part = Parts_Find(&p, &one->job, one->attempt, one->term);
        for (Work &w : runner) {
            if (w.runs && w.rank == Of(part)) {
                w.until = part->lease_until;
            }
        }
    }

    void SendFence(int job, uint64_t attempt, uint64_t term)
    {
        Rank f = {job, attempt, term};

        if (!Fence(&p, (uint8_t)job, attempt, term, now)) {
            return;
        }
        fenced.insert(f);
        for (const Work &w : runner) {
            RC_ASSERT(!(w.runs && std::get<0>(w.rank) == job && w.rank <= f));
        }
    }

    /* Removes ended parts, as the task "parts" does when it has reported them.
     */
    void RemoveEnded()
    {
        struct part *part, *next;

        TAILQ_FOREACH_SAFE (part, &p.list, entry, next) {
            if (!Parts_HoldsAccelerators(part) &&
                (part->fenced || part->start == START_NOT_REQUESTED)) {
                Parts_Remove(&p, part);
            }
        }
    }

    void Restart()
    {
        Parts_Free(&p);
        agent++;
        Parts_Init(&p, 4, agent);
        p.ready = false;
    }

    /* Checks that no part works longer than its release and its renewals
     * allow.
     */
    void CheckLeases()
    {
        struct part *part;

        TAILQ_FOREACH (part, &p.list, entry) {
            RC_ASSERT(!(part->state == PART_RUNNING || part->checkpointing) ||
                      part->lease_until <= may_work_until[Of(part)]);
        }
        for (const Work &w : runner) {
            RC_ASSERT(!w.runs || w.until <= may_work_until[w.rank]);
        }
    }
};

struct Step {
    int action;
    int a;
    int b;
    int c;
};

std::ostream &
operator<<(std::ostream &out, const Step &s)
{
    return out << "{" << s.action << "," << s.a << "," << s.b << "," << s.c
               << "}";
}

void
Apply(TestBed &bed, const Step &s)
{
    struct part *part;
    size_t n = (size_t)s.a;

    switch (s.action) {
    case 0:
    case 1: /* the prepare is received at once */
        bed.AddPrepare(1 + s.a % JOBS, bed.Attempt(1 + s.a % JOBS, s.b),
                       bed.owner_term -
                           (uint64_t)(s.b % 16 == 1 && bed.owner_term > 1),
                       s.c % 4 == 0 ? 1 + (uint64_t)(s.c / 4) % 3
                                    : 1 + (uint64_t)(s.c / 4) % 15,
                       s.c % 4 == 0);
        bed.owner_term += s.b % 32 == 2;
        if (s.action == 1 && !bed.prepares.empty()) {
            bed.SendPrepare(bed.prepares.back());
        }
        return;
    case 2:
        if (!bed.prepares.empty()) {
            bed.SendPrepare(bed.prepares[n % bed.prepares.size()]);
        }
        return;
    case 3:
    case 4: /* 3: the newest release; 4: any */
        if (!bed.releases.empty()) {
            size_t size = bed.releases.size();
            bed.SendRelease(bed.releases[s.action == 3 ? size - 1 : n % size]);
        }
        return;
    case 5:
        part = bed.Pick(s.a, PART_RUNNING);
        if (part != nullptr && part->start != START_CONFIRMED) {
            bed.Start(part, s.b % 8);
        }
        return;
    case 6: /* the usual order: prepare, release, start */
        Apply(bed, {1, s.a, s.b, s.c});
        Apply(bed, {3, s.a, s.b, s.c});
        Apply(bed, {5, s.a, s.b, s.c});
        return;
    case 7:
        bed.StopOne(s.a);
        bed.Observe();
        return;
    case 8:
        bed.Observe();
        return;
    case 9:
        bed.AdvanceClock(1 + s.a * 37 % 2500);
        return;
    case 10:
        bed.AddRenew(s.a);
        return;
    case 11:
        if (!bed.renews.empty()) {
            bed.SendRenew(n % bed.renews.size());
        }
        return;
    case 12:
        bed.SendFence(1 + s.a % JOBS,
                      1 + (uint64_t)s.b % (1 + bed.tried[1 + s.a % JOBS]),
                      bed.owner_term);
        return;
    case 13:
        if (!bed.late.empty()) {
            bed.DeliverStart(bed.late[n % bed.late.size()]);
        }
        return;
    case 14:
        Bind(&bed.p, 1, 1, 3);
        return;
    default:
        if (s.a % 4 == 0) {
            bed.Restart();
        }
        return;
    }
}

TEST(PartsProperty, NeverTwoNeverLateNeverDoubleBooked)
{
    EXPECT_TRUE(rc::check("one attempt, whole leases, no double booking", [] {
        auto number = rc::gen::inRange(0, 1000);
        auto action = rc::gen::weightedElement<int>({{1, 0},
                                                     {6, 1},
                                                     {1, 2},
                                                     {6, 3},
                                                     {1, 4},
                                                     {7, 5},
                                                     {3, 7},
                                                     {2, 8},
                                                     {6, 9},
                                                     {4, 6},
                                                     {2, 10},
                                                     {2, 11},
                                                     {1, 12},
                                                     {2, 13},
                                                     {1, 14},
                                                     {1, 15}});
        auto step = rc::gen::construct<Step>(action, number, number, number);
        const size_t length = *rc::gen::inRange<size_t>(20, 200);
        const auto steps =
            *rc::gen::container<std::vector<Step>>(length, step);
        TestBed bed;

        Bind(&bed.p, 1, 1, 3);
        for (const Step &s : steps) {
            Apply(bed, s);
            bed.RemoveEnded();
            bed.CheckLeases();
        }
        RC_CLASSIFY(bed.runner.empty(), "none ran");
        RC_CLASSIFY(bed.runner.size() > 1, "several ran");
        RC_CLASSIFY(bed.agent > OWN_INCARNATION && bed.runner.size() > 1,
                    "with restarts");
    }));
}

} // namespace
