#include "agent.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

/* Messages may be lost, late, repeated and reordered, and an agent may
 * restart. In any order of messages an attempt must start at most once, and an
 * attempt that was reported as not started must neither have started nor start
 * later.
 */

static const uint64_t OWN_INCARNATION = 7;
static const int64_t NOT_AFTER = 100;

static struct id
numbered(uint8_t n)
{
    struct id id = {};

    id.b[0] = n;
    return id;
}

struct Fixture {
    Fixture()
    {
        Attempts_Init(&attempts);
    }
    ~Fixture()
    {
        Attempts_Free(&attempts);
    }
    take_verdict Take(uint8_t n, uint64_t attempt, uint64_t incarnation,
                      int64_t now)
    {
        struct wire_dispatch m = {{WIRE_DISPATCH}};

        m.request = numbered(n);
        m.attempt = attempt;
        m.incarnation = incarnation;
        m.not_after = NOT_AFTER;
        return Attempts_Take(&attempts, &m, OWN_INCARNATION, now, &at);
    }
    withdraw_verdict Withdraw(uint8_t n, uint64_t attempt,
                              uint64_t incarnation, int64_t now)
    {
        struct wire_withdraw m = {{WIRE_WITHDRAW}};

        m.request = numbered(n);
        m.attempt = attempt;
        m.incarnation = incarnation;
        m.not_after = NOT_AFTER;
        return Attempts_Withdraw(&attempts, &m, OWN_INCARNATION, now, &at);
    }

    struct attempts attempts;
    struct attempt *at = nullptr;
};

/* State of the record before, and the verdicts on a dispatch and a withdraw.
 */
struct VerdictCase {
    const char *name;
    bool known;
    attempt_state state;
    uint64_t incarnation;
    int64_t now;
    take_verdict take;
    withdraw_verdict withdraw;
};

static const VerdictCase verdict_cases[] = {
    {"Unknown", false, ATTEMPT_FENCED, OWN_INCARNATION, 0, TAKE_NEW,
     WITHDRAW_NOT_STARTED},
    {"LastMoment", false, ATTEMPT_FENCED, OWN_INCARNATION, NOT_AFTER - 1,
     TAKE_NEW, WITHDRAW_NOT_STARTED},
    {"TooLate", false, ATTEMPT_FENCED, OWN_INCARNATION, NOT_AFTER,
     TAKE_EXPIRED, WITHDRAW_OTHER_INCARNATION},
    {"OtherIncarnation", false, ATTEMPT_FENCED, OWN_INCARNATION + 1, 0,
     TAKE_STALE, WITHDRAW_OTHER_INCARNATION},
    {"OtherIncarnationKnown", true, ATTEMPT_RUNNING, OWN_INCARNATION + 1, 0,
     TAKE_STALE, WITHDRAW_OTHER_INCARNATION},
    {"Fenced", true, ATTEMPT_FENCED, OWN_INCARNATION, 0, TAKE_FENCED,
     WITHDRAW_NOT_STARTED},
    {"Running", true, ATTEMPT_RUNNING, OWN_INCARNATION, 0, TAKE_RUNNING,
     WITHDRAW_STARTED},
    {"RunningLate", true, ATTEMPT_RUNNING, OWN_INCARNATION, NOT_AFTER + 1,
     TAKE_RUNNING, WITHDRAW_STARTED},
    {"Done", true, ATTEMPT_DONE, OWN_INCARNATION, 0, TAKE_ANSWERED,
     WITHDRAW_STARTED},
    {"Settled", true, ATTEMPT_SETTLED, OWN_INCARNATION, 0, TAKE_SETTLED,
     WITHDRAW_STARTED},
};

/* Prints the name of a case; by default gtest prints its bytes. */
static void
PrintTo(const VerdictCase &p, std::ostream *out)
{
    *out << p.name;
}

class AttemptsVerdict : public testing::TestWithParam<VerdictCase> {};

TEST_P(AttemptsVerdict, ByWhatIsKnown)
{
    const VerdictCase &p = GetParam();

    for (bool take : {true, false}) {
        Fixture f;

        if (p.known) {
            ASSERT_EQ(f.Take(1, 1, OWN_INCARNATION, 0), TAKE_NEW);
            f.at->state = p.state;
        }
        if (take) {
            EXPECT_EQ(f.Take(1, 1, p.incarnation, p.now), p.take);
        }
        else {
            EXPECT_EQ(f.Withdraw(1, 1, p.incarnation, p.now), p.withdraw);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, AttemptsVerdict,
                         testing::ValuesIn(verdict_cases),
                         [](const auto &i) { return i.param.name; });

/* At ATTEMPTS_MAX records no new attempt is taken, while copies of known ones
 * get their usual verdict. */
TEST(Attempts, FullTakesNothingNew)
{
    Fixture f;

    f.attempts.count = ATTEMPTS_MAX;
    EXPECT_EQ(f.Take(1, 1, OWN_INCARNATION, 0), TAKE_FULL);
    f.attempts.count = 0;
    EXPECT_EQ(f.Take(1, 1, OWN_INCARNATION, 0), TAKE_NEW);
    f.attempts.count = ATTEMPTS_MAX;
    EXPECT_EQ(f.Take(1, 1, OWN_INCARNATION, 0), TAKE_RUNNING);
    f.attempts.count = 1;
}

RC_GTEST_PROP(Attempts, StartOnceAndNotStartedIsTrue, ())
{
    Fixture f;
    int64_t now = 0;
    std::set<std::pair<int, int>> started, reported_not_started;

    for (int step = 0; step < 200; step++) {
        int n = *rc::gen::inRange(0, 3), attempt = *rc::gen::inRange(1, 3);
        std::pair<int, int> key(n, attempt);
        uint64_t incarnation =
            OWN_INCARNATION + (*rc::gen::inRange(0, 4) == 0);
        struct id id = numbered(static_cast<uint8_t>(n));
        struct attempt *at =
            Attempts_Find(&f.attempts, &id, static_cast<uint64_t>(attempt));
        int action = *rc::gen::inRange(0, 7);

        now += *rc::gen::inRange(0, 3);
        if (action <= 1) {
            if (f.Take(static_cast<uint8_t>(n), static_cast<uint64_t>(attempt),
                       incarnation, now) == TAKE_NEW) {
                RC_ASSERT(incarnation == OWN_INCARNATION);
                RC_ASSERT(started.insert(key).second);
                RC_ASSERT(reported_not_started.count(key) == 0U);
            }
        }
        else if (action <= 3) {
            if (f.Withdraw(static_cast<uint8_t>(n),
                           static_cast<uint64_t>(attempt), incarnation,
                           now) == WITHDRAW_NOT_STARTED) {
                RC_ASSERT(started.count(key) == 0U);
                reported_not_started.insert(key);
            }
        }
        else if (action == 4 && at != nullptr &&
                 at->state == ATTEMPT_RUNNING) {
            at->state = ATTEMPT_DONE;
        }
        else if (action == 5 && at != nullptr && at->state == ATTEMPT_DONE) {
            Attempts_Settle(at);
        }
        else if (action == 6) {
            Attempts_Sweep(&f.attempts, now);
        }
    }
}
