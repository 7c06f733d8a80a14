#include "agent.h"

#include <gtest/gtest.h>

/* Guards against a request that runs twice. A caller repeats a keyed request
 * at another entry after the first entry has received the answer and died. The
 * second entry withdraws the attempt at the agent, and would dispatch the
 * request again if the reply were "not started". The agent has run the
 * attempt, and its answer was settled: it must not reply "not started",
 * neither while it has the record nor after it has dropped it. */

static const uint64_t INCARNATION = 7;
static const int64_t NOT_AFTER = 1000;

static struct wire_dispatch
dispatch_of(const struct id &id)
{
    struct wire_dispatch m = {{WIRE_DISPATCH}};

    m.request = id;
    m.attempt = 1;
    m.incarnation = INCARNATION;
    m.not_after = NOT_AFTER;
    Str_Copy(m.service, sizeof(m.service), "estimates");
    return m;
}

static struct wire_withdraw
withdraw_of(const struct id &id)
{
    struct wire_withdraw m = {{WIRE_WITHDRAW}};

    m.request = id;
    m.attempt = 1;
    m.incarnation = INCARNATION;
    m.not_after = NOT_AFTER;
    return m;
}

class AttemptsRule : public testing::Test {
  protected:
    AttemptsRule()
    {
        Attempts_Init(&attempts);
        id = Id_Random();
    }
    ~AttemptsRule() override
    {
        Attempts_Free(&attempts);
    }

    take_verdict take(int64_t now)
    {
        struct wire_dispatch m = dispatch_of(id);

        return Attempts_Take(&attempts, &m, INCARNATION, now, &at);
    }
    withdraw_verdict withdraw(int64_t now)
    {
        struct wire_withdraw m = withdraw_of(id);
        struct attempt *found;

        return Attempts_Withdraw(&attempts, &m, INCARNATION, now, &found);
    }

    struct attempts attempts;
    struct id id;
    struct attempt *at = nullptr;
};

TEST_F(AttemptsRule, SettledWasStarted)
{
    ASSERT_EQ(take(0), TAKE_NEW);
    Attempts_Settle(at);
    EXPECT_EQ(withdraw(10), WITHDRAW_STARTED);
    EXPECT_EQ(take(20), TAKE_SETTLED);
}

TEST_F(AttemptsRule, UnknownAfterItsTimeMayHaveRun)
{
    EXPECT_EQ(withdraw(NOT_AFTER - 1), WITHDRAW_NOT_STARTED);
    EXPECT_EQ(Attempts_Sweep(&attempts, NOT_AFTER), 1u);
    EXPECT_EQ(withdraw(NOT_AFTER), WITHDRAW_OTHER_INCARNATION);
}

TEST_F(AttemptsRule, NoRecordIsDroppedWhileACopyMayBeTaken)
{
    ASSERT_EQ(take(0), TAKE_NEW);
    Attempts_Settle(at);
    EXPECT_EQ(Attempts_Sweep(&attempts, NOT_AFTER - 1), 0u);
    EXPECT_EQ(take(NOT_AFTER - 1), TAKE_SETTLED);
    EXPECT_EQ(Attempts_Sweep(&attempts, NOT_AFTER), 1u);
    EXPECT_EQ(take(NOT_AFTER), TAKE_EXPIRED);
}
