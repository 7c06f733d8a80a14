#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "../packages/entry/entry-why.h"
}

#include <string>

namespace {

struct id
make_id(int n)
{
    struct id id = {};

    id.b[0] = static_cast<uint8_t>(n >> 8);
    id.b[1] = static_cast<uint8_t>(n);
    return id;
}

/* Converts to text and back, as a client of /v1/why gets it. */
json_t *
round_trip(json_t *o)
{
    char *text = json_dumps(o, 0);
    json_t *back = json_loads(text, 0, nullptr);

    free(text);
    json_decref(o);
    return back;
}

int64_t
random_ms()
{
    return *rc::gen::inRange<int64_t>(0, 100000);
}

int
random_small()
{
    return *rc::gen::inRange(0, 20);
}

} // namespace

// A recorded decision that is judged again gives the same decision. Without
// this, an input that matters could be missing in the record or truncated in
// JSON.
RC_GTEST_PROP(Why, AdmissionInputsAreComplete, ())
{
    struct admission_inputs in = {};
    struct admission_inputs out = {};

    in.now = random_ms();
    in.deadline_at = random_ms();
    in.cost_ms = random_ms();
    in.cost_high_ms = random_ms();
    in.ahead_ms = random_ms();
    in.org_ahead_ms = random_ms();
    in.caller_ahead_ms = random_ms();
    in.key_ahead_ms = random_ms();
    in.next_free_ms = random_ms();
    in.drain_milli = random_ms() + 1;
    in.org_share_milli = *rc::gen::inRange<int64_t>(1, 1001);
    in.caller_share_milli = *rc::gen::inRange<int64_t>(1, 1001);
    in.key_share_milli = *rc::gen::inRange<int64_t>(1, 1001);
    in.stretch_milli = random_ms() + 1;
    in.comeback_ms = random_ms();
    in.retry_min_ms = 50;
    in.retry_max_ms = 50 + random_ms();
    in.rnd = *rc::gen::arbitrary<uint64_t>();
    in.running = random_small();
    in.capacity = random_small();
    in.queued = random_small();
    in.queue_max = random_small();
    in.org_queued = random_small();
    in.caller_queued = random_small();
    in.duplicate = random_small() == 0;
    in.expired = random_small() == 0;
    json_t *o = round_trip(Why_PackAdmission(&in));
    RC_ASSERT(Why_UnpackAdmission(o, &out) == ERR_OK);
    json_decref(o);
    struct admission_decision a = Admission_Judge(&in);
    struct admission_decision b = Admission_Judge(&out);
    RC_ASSERT(a.verdict == b.verdict);
    RC_ASSERT(a.reason == b.reason);
    RC_ASSERT(a.wait_ms == b.wait_ms);
    RC_ASSERT(a.retry_after_ms == b.retry_after_ms);
}

RC_GTEST_PROP(Why, RouteInputsAreComplete, ())
{
    struct route_inputs in = {};
    struct route_inputs out = {};

    in.expected_ms = random_ms();
    in.hop_us = random_ms();
    for (int i = 0; i < ROUTE_CANDIDATES; i++) {
        in.candidates[i].handle =
            random_small() < 4 ? ROUTE_NONE : i + random_small();
        in.candidates[i].remote = random_small() < 10;
        in.candidates[i].slots = 1 + random_small();
        in.candidates[i].load_milli = random_ms();
        in.candidates[i].slowness_milli = random_ms();
    }
    json_t *o = round_trip(Why_PackRoute(&in));
    RC_ASSERT(Why_UnpackRoute(o, &out) == ERR_OK);
    json_decref(o);
    struct route_decision a = Route_Judge(&in);
    struct route_decision b = Route_Judge(&out);
    RC_ASSERT(a.handle == b.handle);
    RC_ASSERT(a.reason == b.reason);
    RC_ASSERT(a.expected_us == b.expected_us);
}

RC_GTEST_PROP(Why, RetryInputsAreComplete, ())
{
    struct retry_inputs in = {};
    struct retry_inputs out = {};

    in.facts.cause = static_cast<enum retry_cause>(random_small() % 3);
    in.facts.repeatable = random_small() < 10;
    in.facts.started = random_small() < 10;
    in.facts.attempts = random_small() % 5;
    in.facts.sent_at = random_ms();
    in.facts.deadline_at = 2 * random_ms();
    in.facts.expected_ms = random_ms() / 100;
    in.now = random_ms();
    in.tokens_milli = random_ms() / 20;
    in.p95_ms = random_ms() - 1;
    in.attempts_max = 3;
    in.hedge = random_small() < 15;
    json_t *o = round_trip(Why_PackRetry(&in));
    RC_ASSERT(Why_UnpackRetry(o, &out) == ERR_OK);
    json_decref(o);
    struct retry_decision a = Retry_Judge(&in);
    struct retry_decision b = Retry_Judge(&out);
    RC_ASSERT(a.allowed == b.allowed);
    RC_ASSERT(a.reason == b.reason);
    RC_ASSERT(a.token == b.token);
}

// A subject with too many records drops its oldest ones and counts them.
TEST(Why, RecordsOfASubjectAreBounded)
{
    struct why_log log;
    struct id id = make_id(1);

    WhyLog_Init(&log, 1 << 20);
    WhyLog_Open(&log, &id, "ours");
    for (int i = 0; i < WHY_RECORDS_MAX + 5; i++) {
        WhyLog_Add(&log, &id, i, "decision", "reason", nullptr);
    }
    json_t *o = WhyLog_Json(WhyLog_Find(&log, &id));
    json_t *list = json_object_get(o, "records");
    EXPECT_EQ(json_integer_value(json_object_get(o, "dropped")), 5);
    EXPECT_EQ(json_array_size(list), WHY_RECORDS_MAX);
    EXPECT_EQ(
        json_integer_value(json_object_get(json_array_get(list, 0), "at_ms")),
        5);
    json_decref(o);
    WhyLog_Free(&log);
    EXPECT_EQ(log.bytes, 0U);
}

// Beyond the bound of bytes, the least recently written subjects are dropped
// and counted; the last one written is still there.
TEST(Why, TotalBytesAreBounded)
{
    struct why_log log;

    WhyLog_Init(&log, 20000);
    for (int i = 0; i < 1000; i++) {
        struct id id = make_id(i);

        WhyLog_Add(&log, &id, i, "decision", "reason", nullptr);
        ASSERT_LE(log.bytes, 20000U);
    }
    struct id first = make_id(0);
    struct id last = make_id(999);
    EXPECT_EQ(WhyLog_Find(&log, &first), nullptr);
    EXPECT_NE(WhyLog_Find(&log, &last), nullptr);
    EXPECT_GT(log.subjects_dropped, 900);
    WhyLog_Free(&log);
}
