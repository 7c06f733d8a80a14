#include "policy.h"

#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>

namespace {

struct id
id_of(uint32_t n)
{
    struct id id = {};

    memcpy(id.b, &n, sizeof(n));
    return id;
}

struct admission_facts
facts_of(uint32_t n, const char *organisation, int64_t deadline_at,
         enum priority priority = PRIORITY_NORMAL)
{
    struct admission_facts f = {};

    f.id = id_of(n);
    f.organisation = organisation;
    f.class_name = "est";
    f.priority = priority;
    f.cost_hint_ms = 100;
    f.deadline_at = deadline_at;
    return f;
}

using Admission = std::unique_ptr<struct admission, void (*)(admission *)>;

Admission
make_admission(int capacity, int queue_max = 0)
{
    struct admission_limits limits = {};

    limits.capacity = capacity;
    limits.queue_max = queue_max;
    return Admission(Admission_New(&limits), Admission_Free);
}

struct admission_inputs
base_inputs()
{
    struct admission_inputs in = {};

    in.now = 1000;
    in.deadline_at = 3000;
    in.cost_ms = in.cost_high_ms = 100;
    in.drain_milli = 10000; /* ten slots */
    in.org_share_milli = in.caller_share_milli = 1000;
    in.key_share_milli = in.stretch_milli = 1000;
    in.retry_min_ms = 50;
    in.retry_max_ms = 30000;
    in.running = in.capacity = 10;
    in.next_free_ms = 10;
    in.queued = in.org_queued = in.caller_queued = 1;
    in.queue_max = 100;
    return in;
}

} // namespace

TEST(AdmissionJudge, Cases)
{
    static const struct {
        const char *what;
        void (*change)(struct admission_inputs *);
        enum admission_reason reason;
        int64_t wait_ms;
        int64_t retry_after_ms;
    } cases[] = {
        {"fits", [](admission_inputs *) {}, ADMIT_WAIT_FITS, 10, 0},
        {"free slot, although the cost exceeds the deadline",
         [](admission_inputs *in) {
             in->running = in->queued = 0;
             in->cost_ms = 9000;
         },
         ADMIT_SLOT_FREE, 0, 0},
        {"backlog of 3 s, with a margin of half the wait and the work",
         [](admission_inputs *in) {
             in->ahead_ms = in->org_ahead_ms = 29900;
             in->caller_ahead_ms = in->key_ahead_ms = 29900;
         },
         REFUSE_WAIT_TOO_LONG, 3000, 2600},
        {"backlog of other organisations, own share is enough",
         [](admission_inputs *in) {
             in->ahead_ms = 99900;
             in->org_share_milli = 250;
         },
         ADMIT_WAIT_FITS, 10, 0},
        {"backlog of its organisation",
         [](admission_inputs *in) {
             in->ahead_ms = 99900;
             in->org_ahead_ms = 9975;
             in->caller_ahead_ms = in->key_ahead_ms = 9975;
             in->org_share_milli = 250;
         },
         REFUSE_ORG_SHARE, 4000, 4100},
        {"backlog of its caller",
         [](admission_inputs *in) {
             in->ahead_ms = in->org_ahead_ms = 99900;
             in->caller_ahead_ms = in->key_ahead_ms = 9990;
             in->caller_share_milli = 250;
         },
         REFUSE_CALLER_SHARE, 4000, 4100},
        {"backlog of its key",
         [](admission_inputs *in) {
             in->ahead_ms = in->org_ahead_ms = in->caller_ahead_ms = 99900;
             in->key_ahead_ms = 9990;
             in->key_share_milli = 250;
         },
         REFUSE_KEY_SHARE, 4000, 4100},
        {"recent waits were four times the predictions",
         [](admission_inputs *in) {
             in->ahead_ms = in->org_ahead_ms = 9900;
             in->caller_ahead_ms = in->key_ahead_ms = 9900;
             in->stretch_milli = 4000;
         },
         REFUSE_WAIT_TOO_LONG, 4000, 4100},
        {"earlier refusals reserved retries for 7 s",
         [](admission_inputs *in) {
             in->deadline_at = 1050;
             in->comeback_ms = 7000;
         },
         REFUSE_DEADLINE_SHORT, 10, 7000},
        {"no deadline",
         [](admission_inputs *in) {
             in->deadline_at = 0;
             in->ahead_ms = in->org_ahead_ms = 999900;
             in->caller_ahead_ms = in->key_ahead_ms = 999900;
         },
         ADMIT_WAIT_FITS, 100000, 0},
        {"queue full", [](admission_inputs *in) { in->queued = 100; },
         REFUSE_QUEUE_FULL, 10, 50},
        {"organisation holds as many places as are free",
         [](admission_inputs *in) { in->queued = in->org_queued = 50; },
         REFUSE_ORG_QUEUE, 10, 50},
        {"caller holds as many places as are left to the organisation",
         [](admission_inputs *in) {
             in->queued = in->org_queued = in->caller_queued = 34;
         },
         REFUSE_CALLER_QUEUE, 10, 50},
        {"no slots", [](admission_inputs *in) { in->capacity = 0; },
         REFUSE_NO_CAPACITY, 0, 1000},
        {"expired", [](admission_inputs *in) { in->expired = true; },
         REFUSE_EXPIRED, 10, 50},
        {"deadline passed", [](admission_inputs *in) { in->deadline_at = 9; },
         REFUSE_DEADLINE_SHORT, 0, 50},
        {"duplicate", [](admission_inputs *in) { in->duplicate = true; },
         REFUSE_DUPLICATE, 0, 50},
    };
    for (const auto &c : cases) {
        struct admission_inputs in = base_inputs();

        c.change(&in);
        struct admission_decision d = Admission_Judge(&in);
        EXPECT_EQ(d.reason, c.reason)
            << c.what << ": " << Admission_ReasonName(d.reason);
        EXPECT_EQ(d.wait_ms, c.wait_ms) << c.what;
        EXPECT_EQ(d.retry_after_ms, c.retry_after_ms) << c.what;
    }
}

TEST(AdmissionJudge, JitterSpreadsRefusedCallers)
{
    struct admission_inputs in = base_inputs();
    int64_t least = INT64_MAX, most = 0;

    in.capacity = 0;
    for (in.rnd = 0; in.rnd < 1000; in.rnd++) {
        int64_t after = Admission_Judge(&in).retry_after_ms;

        least = after < least ? after : least;
        most = after > most ? after : most;
    }
    EXPECT_EQ(least, 1000);
    EXPECT_EQ(most, 1250);
}

TEST(Admission, RefusedCallersGetSuccessiveRetryTimes)
{
    Admission a = make_admission(1);
    struct admission_next next;
    int64_t last = 0;

    for (uint32_t i = 0; i < 100; i++) {
        struct admission_facts f = facts_of(i, "a", 250);
        struct admission_decision d = Admission_Offer(a.get(), &f, 0, 0);

        if (i == 0) {
            ASSERT_EQ(Admission_Next(a.get(), 0, &next), ERR_OK);
        }
        if (d.verdict == ADMISSION_REFUSE) {
            EXPECT_GE(d.retry_after_ms, last + (last > 0 ? 100 : 0));
            last = d.retry_after_ms;
        }
    }
    EXPECT_GE(last, 9000); /* 100 requests of 100 ms on one slot */
}

/* A caller submits 4000 requests and cancels all but the last. If cancelled
 * requests stayed in the queue, others would wait for them. The one that is
 * left is dispatched next, and the queued work covers only this one. */
TEST(Admission, CancellationWave)
{
    Admission a = make_admission(4, 20000);
    struct admission_stats stats;
    struct admission_next next;

    for (uint32_t i = 0; i < 4000; i++) {
        struct admission_facts f = facts_of(i, "a", 0);

        ASSERT_EQ(Admission_Offer(a.get(), &f, 0, 0).verdict, ADMISSION_QUEUE);
    }
    for (uint32_t i = 0; i < 3999; i++) {
        struct id id = id_of(i);

        ASSERT_EQ(Admission_Cancel(a.get(), &id), ERR_OK);
        ASSERT_EQ(Admission_Cancel(a.get(), &id), ERR_NOTFOUND);
    }
    Admission_Stats(a.get(), &stats);
    EXPECT_EQ(stats.queued, 1);
    EXPECT_EQ(stats.queued_ms, 100);
    ASSERT_EQ(Admission_Next(a.get(), 5, &next), ERR_OK);
    struct id last = id_of(3999);
    EXPECT_EQ(Id_Compare(&next.id, &last), 0);
    EXPECT_EQ(Admission_Next(a.get(), 5, &next), ERR_NOTFOUND);
    EXPECT_EQ(Admission_Cancel(a.get(), &last), ERR_NOTFOUND);
}

TEST(Admission, DispatchesByPriorityAndAge)
{
    Admission a = make_admission(1);
    struct admission_next next;
    int normal = 0, aged = 0;
    uint32_t n = 0;

    for (int i = 0; i < 200; i++) {
        struct admission_facts f = facts_of(n++, "a", 0, PRIORITY_URGENT);
        Admission_Offer(a.get(), &f, 0, 0);
        f = facts_of(n++, "a", 0, PRIORITY_NORMAL);
        Admission_Offer(a.get(), &f, 0, 0);
    }
    for (int i = 0; i < 80; i++) {
        ASSERT_EQ(Admission_Next(a.get(), 3000, &next), ERR_OK);
        aged += next.turn == TURN_AGED ? 1 : 0;
        normal += next.id.b[0] % 2;
    }
    EXPECT_EQ(aged, 10); /* every eighth */
    EXPECT_EQ(normal, 10);
}

TEST(Admission, WeightsDivideWork)
{
    Admission a = make_admission(1);
    struct admission_next next;
    int dispatched_a = 0;

    Admission_SetWeight(a.get(), "a", 300);
    for (uint32_t i = 0; i < 400; i++) {
        struct admission_facts f = facts_of(i, i % 2 == 0 ? "a" : "b", 0);
        Admission_Offer(a.get(), &f, 0, 0);
    }
    for (int i = 0; i < 100; i++) {
        ASSERT_EQ(Admission_Next(a.get(), 1, &next), ERR_OK);
        dispatched_a += next.id.b[0] % 2 == 0 ? 1 : 0;
    }
    EXPECT_NEAR(dispatched_a, 75, 1);
}

/* One organisation abandons each of its requests when it has run for its whole
 * time, so that it finishes without a result. If only results were charged,
 * this work would be free. Each organisation must get half of the
 * dispatches. */
TEST(Admission, AbandonedWorkIsCharged)
{
    Admission a = make_admission(1);
    struct admission_next next;
    int dispatched_a = 0;

    for (uint32_t i = 0; i < 400; i++) {
        struct admission_facts f = facts_of(i, i % 2 == 0 ? "a" : "b", 0);
        Admission_Offer(a.get(), &f, 0, 0);
    }
    for (int64_t now = 0; now < 10000; now += 100) {
        ASSERT_EQ(Admission_Next(a.get(), now, &next), ERR_OK);
        bool gives_up = next.id.b[0] % 2 == 0;

        dispatched_a += gives_up ? 1 : 0;
        Admission_Finished(a.get(), &next.id, gives_up ? 0 : 100, !gives_up,
                           now + 100);
    }
    EXPECT_NEAR(dispatched_a, 50, 1);
}

/* Callers choose the names of keys. A caller that uses a new key for each
 * request must not make the entry keep them all in memory. */
TEST(Admission, ForgetsIdleFlows)
{
    Admission a = make_admission(1);
    struct admission_stats stats;
    struct admission_next next;

    for (uint32_t i = 0; i < 20000; i++) {
        std::string key = std::to_string(i);
        struct admission_facts f = facts_of(i, "a", 0);

        f.key = key.c_str();
        Admission_Offer(a.get(), &f, i, 0);
        ASSERT_EQ(Admission_Next(a.get(), i, &next), ERR_OK);
        Admission_Finished(a.get(), &next.id, 100, true, i);
    }
    Admission_Stats(a.get(), &stats);
    EXPECT_LE(stats.flows, 1100);
}

TEST(Health, EjectsProbesAndReturns)
{
    static const struct {
        bool ok;
        int64_t at;
        enum health_state state;
        enum health_reason reason;
        int64_t out_for;
    } steps[] = {
        {false, 1, HEALTH_GOOD, HEALTH_UNCHANGED, 0},
        {false, 2, HEALTH_GOOD, HEALTH_UNCHANGED, 0},
        {false, 3, HEALTH_EJECTED, HEALTH_EJECT_CONSECUTIVE, 2000},
        {false, 4, HEALTH_EJECTED, HEALTH_UNCHANGED, 2000},
        {true, 5, HEALTH_EJECTED, HEALTH_UNCHANGED, 2000},
        {false, 2003, HEALTH_EJECTED, HEALTH_PROBE_FAILED, 4000},
        {false, 6003, HEALTH_EJECTED, HEALTH_PROBE_FAILED, 8000},
        {true, 14003, HEALTH_GOOD, HEALTH_PROBE_PASSED, 8000},
    };
    struct health_inputs in = {};

    in.limits.consecutive_failures = 3;
    in.total = 10;
    for (const auto &s : steps) {
        if (Health_MayProbe(&in.before, s.at)) {
            in.before.state = HEALTH_PROBING;
        }
        in.ok = s.ok;
        in.now = s.at;
        struct health_decision d = Health_Judge(&in);
        EXPECT_EQ(d.reason, s.reason) << s.at;
        EXPECT_EQ(d.after.state, s.state) << s.at;
        EXPECT_EQ(d.after.ejected_for_ms, s.out_for) << s.at;
        in.before = d.after;
    }
}

TEST(Health, EjectsByErrorRate)
{
    struct health_inputs in = {};
    enum health_reason reason = HEALTH_UNCHANGED;

    in.total = 10;
    for (int i = 0; i < 20; i++) {
        in.ok = i % 2 == 0;
        struct health_decision d = Health_Judge(&in);
        in.before = d.after;
        reason = d.reason;
    }
    EXPECT_EQ(reason, HEALTH_EJECT_RATE);
}

TEST(Retry, Cases)
{
    static const struct {
        const char *what;
        enum retry_cause cause;
        bool repeatable, started;
        int attempts;
        int64_t tokens_milli;
        enum retry_reason reason;
    } cases[] = {
        {"failed", RETRY_FAILED, true, true, 1, 1000, RETRY_ALLOWED},
        {"not repeatable, started", RETRY_FAILED, false, true, 1, 9000,
         RETRY_NOT_REPEATABLE},
        {"not repeatable, not started", RETRY_FAILED, false, false, 1, 9000,
         RETRY_ALLOWED},
        {"no token", RETRY_FAILED, true, true, 1, 999, RETRY_BUDGET},
        {"refusal costs no token", RETRY_REFUSED, false, false, 1, 0,
         RETRY_REROUTED},
        {"no attempts left", RETRY_REFUSED, true, false, 3, 9000,
         RETRY_ATTEMPTS},
        {"hedge", RETRY_HEDGE, true, true, 1, 1000, RETRY_ALLOWED},
        {"hedge, not repeatable", RETRY_HEDGE, false, true, 1, 1000,
         RETRY_NOT_REPEATABLE},
        {"hedge, not repeatable, not started", RETRY_HEDGE, false, false, 1,
         1000, RETRY_NOT_REPEATABLE},
    };
    for (const auto &c : cases) {
        struct retry_inputs in = {};

        in.facts = {c.cause, c.repeatable, c.started, c.attempts, 0, 5000, 10};
        in.now = 100;
        in.tokens_milli = c.tokens_milli;
        in.p95_ms = 100;
        in.attempts_max = 3;
        in.hedge = true;
        EXPECT_EQ(Retry_Judge(&in).reason, c.reason) << c.what;
        in.now = 4995;
        EXPECT_FALSE(Retry_Judge(&in).allowed)
            << c.what << ", deadline too near";
    }
}

/* All requests, 100 a second, fail for a minute. If each failure were retried,
 * the retries would double the load. The budget allows the burst and
 * floor_per_s only. */
TEST(Retry, BudgetBoundsARetryStorm)
{
    std::unique_ptr<struct retry, void (*)(retry *)> r(Retry_New(nullptr),
                                                       Retry_Free);
    struct retry_facts f = {RETRY_FAILED, true, true, 1, 0, 0, 10};
    int allowed = 0;

    for (int64_t now = 0; now < 60000; now += 10) {
        allowed += Retry_Request(r.get(), &f, now).allowed ? 1 : 0;
    }
    EXPECT_GE(allowed, 100);
    EXPECT_LE(allowed, 161);
}

TEST(Retry, HedgesAtThe95thPercentile)
{
    struct retry_limits limits = {};

    limits.hedge = true;
    std::unique_ptr<struct retry, void (*)(retry *)> r(Retry_New(&limits),
                                                       Retry_Free);
    EXPECT_EQ(Retry_HedgeAfterMs(r.get()), -1);
    for (int i = 0; i < 5000; i++) {
        Retry_Success(r.get(), (i * 37) % 100, i);
    }
    EXPECT_NEAR((double)Retry_HedgeAfterMs(r.get()), 95, 6);
}

TEST(OrderFailure, Cases)
{
    static const struct {
        const char *what;
        enum order_failure_kind kind;
        int fails, workers, usable;
        enum order_reason reason;
        int64_t not_before;
    } cases[] = {
        {"first failure", ORDER_JOB_FAILED, 1, 1, 9, ORDER_RETRY, 5000},
        {"second failure doubles the back-off", ORDER_JOB_FAILED, 2, 2, 9,
         ORDER_RETRY, 10000},
        {"on three workers", ORDER_JOB_FAILED, 3, 3, 9, ORDER_CANNOT_RUN, 0},
        {"three times on one of many workers", ORDER_JOB_FAILED, 3, 1, 9,
         ORDER_RETRY, 20000},
        {"three times on the only worker", ORDER_JOB_FAILED, 3, 1, 1,
         ORDER_CANNOT_RUN, 0},
        {"nine times on one of many workers", ORDER_JOB_FAILED, 9, 1, 9,
         ORDER_CANNOT_RUN, 0},
        {"worker lost", ORDER_WORKER_LOST, 0, 0, 9, ORDER_WORKER_AT_FAULT,
         5000},
        {"other jobs fail on the worker too", ORDER_WORKER_SUSPECT, 2, 2, 9,
         ORDER_WORKER_AT_FAULT, 10000},
    };
    for (const auto &c : cases) {
        struct order_failure_inputs in = {
            c.kind, c.fails, c.workers, c.usable, 3, 5000, 600000, 0, 0};
        struct order_failure f = Order_JudgeFailure(&in);

        EXPECT_EQ(f.reason, c.reason) << c.what;
        EXPECT_EQ(f.not_before, c.not_before) << c.what;
    }
}

TEST(Order, UsesThePredictorWithTheLeastError)
{
    std::unique_ptr<struct order, void (*)(order *)> o(Order_New(nullptr),
                                                       Order_Free);
    static const struct {
        const char *class_name;
        int64_t declared_ms;
        enum order_predictor predictor;
        int64_t remaining_ms;
    } cases[] = {
        {"honest", 5000, ORDER_DECLARED, 5000},
        {"tenth", 5000, ORDER_SCALED, 50000},
        {"random", 5000, ORDER_TYPICAL, 60000},
        {"honest", 0, ORDER_TYPICAL, 0},
        {"never seen", 0, ORDER_DEFAULT, 3600000},
    };
    uint32_t n = 0;

    for (int i = 1; i <= 40; i++) {
        struct id id = id_of(n++);
        int64_t declared = 1000 * (1 + i * 7 % 40);

        Order_Done(o.get(), &id, "honest", declared, declared);
        Order_Done(o.get(), &id, "tenth", declared, declared * 10);
        Order_Done(o.get(), &id, "random", declared, 60000);
    }
    for (const auto &c : cases) {
        struct order_facts f = {
            id_of(n++), c.class_name, PRIORITY_NORMAL, c.declared_ms, 0, 0};
        struct order_job job;

        ASSERT_EQ(Order_Add(o.get(), &f), ERR_OK);
        ASSERT_EQ(Order_Next(o.get(), nullptr, 0, &job), ERR_OK);
        EXPECT_EQ(job.predictor, c.predictor) << c.class_name;
        if (c.remaining_ms > 0) {
            EXPECT_NEAR((double)job.remaining_ms, (double)c.remaining_ms, 2);
        }
        Order_Remove(o.get(), &f.id);
    }
}

/* A long job waits while short ones keep arriving, and would starve if the
 * shortest always went first. Short jobs pass it only if they are shorter by
 * more than its aging so far. A failed job isn't offered before its back-off
 * ends. */
TEST(Order, AgesAndBacksOff)
{
    std::unique_ptr<struct order, void (*)(order *)> o(Order_New(nullptr),
                                                       Order_Free);
    struct order_facts longer = {id_of(1), "x", PRIORITY_NORMAL, 100000, 0, 0};
    struct order_job job;

    Order_Add(o.get(), &longer);
    for (uint32_t i = 2; i < 100; i++) {
        struct order_facts shorter = {id_of(i), "y", PRIORITY_NORMAL,
                                      1000,     0,   (int64_t)i * 10000};
        Order_Add(o.get(), &shorter);
    }
    uint32_t before = 0;
    while (Order_Next(o.get(), nullptr, 0, &job) == ERR_OK &&
           Id_Compare(&job.id, &longer.id) != 0) {
        Order_Remove(o.get(), &job.id);
        before++;
    }
    EXPECT_EQ(before, 38u); /* submitted up to 99 s / 25% after it */
    Order_Remove(o.get(), &longer.id);
    Order_Failed(o.get(), &longer.id, "w", 9, ORDER_JOB_FAILED, 0, 0);
    while (Order_Next(o.get(), nullptr, 0, &job) == ERR_OK) {
        Order_Remove(o.get(), &job.id);
    }
    Order_Add(o.get(), &longer);
    EXPECT_EQ(Order_Next(o.get(), nullptr, 4999, &job), ERR_NOTFOUND);
    EXPECT_EQ(Order_ReadyAt(o.get(), 0), 5000);
    EXPECT_EQ(Order_Next(o.get(), nullptr, 5000, &job), ERR_OK);
}
