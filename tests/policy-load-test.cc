#include "load-sim.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

/* Load patterns in virtual time, checked by the outcomes that callers see.
 * There are 11 workers of 8 slots and 3 entries in 3 domains. Requests take
 * 200 ms, so 440 a second fill the slots, and have a deadline of 2 s, unless a
 * case sets others. The name of each case says what it guards;
 * docs/results/load.md compares the same patterns with baselines. */

namespace {

struct sim_stream
stream(const char *organisation, double per_s)
{
    struct sim_stream s = {};

    s.organisation = organisation;
    s.caller = "";
    s.class_name = "est";
    s.priority = PRIORITY_NORMAL;
    s.per_s = per_s;
    s.service_ms = 200;
    s.service = SIM_EXPONENTIAL;
    s.deadline_ms = 2000;
    s.to_ms = 20000;
    s.repeatable = true;
    return s;
}

struct sim_stream
with_work(struct sim_stream s, const char *class_name, double service_ms,
          int64_t deadline_ms, enum priority priority = PRIORITY_NORMAL)
{
    s.class_name = class_name;
    s.service_ms = service_ms;
    s.deadline_ms = deadline_ms;
    s.priority = priority;
    return s;
}

struct sim_stream
with_caller(struct sim_stream s, const char *caller, const char *key = nullptr)
{
    s.caller = caller;
    s.key = key;
    return s;
}

struct sim_stream
during(struct sim_stream s, int64_t from_ms, int64_t to_ms, int returns)
{
    s.from_ms = from_ms;
    s.to_ms = to_ms;
    s.returns = returns;
    return s;
}

struct sim_stream
not_repeatable(struct sim_stream s)
{
    s.repeatable = false;
    return s;
}

struct sim_stream
with_cancellation(struct sim_stream s, int percent, int64_t at_ms)
{
    s.cancel_percent = percent;
    s.cancel_at_ms = at_ms;
    return s;
}

struct load_case {
    const char *name;
    std::vector<struct sim_stream> streams;
    std::vector<struct sim_fault> faults;
    double min_jain;  /* fairness between callers, by their fair shares */
    double min_worst; /* part of its fair share that the worst caller gets */
    double min_in_time_percent; /* of the streams from first_judged on */
    size_t first_judged; /* first stream that min_in_time_percent covers */
    double max_failed_percent; /* of all callers */
    double max_refusal_ms;     /* p99 of the time from offer to refusal */
    int64_t report_delay_ms;   /* delay until an entry receives a report */
};

void
check(const struct load_case &c)
{
    struct sim_config config = {};
    struct sim_result r = {};
    double offered = 0, failed = 0, judged = 0, in_time = 0, refusal_ms = 0;

    config.workers = 11;
    config.slots = 8;
    config.domains = config.entries = 3;
    config.hop_us = 1500;
    config.report_ms = 1000;
    config.report_delay_ms = c.report_delay_ms;
    config.until_ms = 60000;
    config.seed = 7;
    config.streams = c.streams.data();
    config.stream_count = (int)c.streams.size();
    config.faults = c.faults.data();
    config.fault_count = (int)c.faults.size();
    Sim_Run(&config, &r);
    for (size_t i = 0; i < c.streams.size(); i++) {
        struct sim_stream_result *s = &r.stream[i];

        offered += (double)s->offered;
        failed += (double)s->failed;
        EXPECT_EQ(s->offered,
                  s->in_time + s->late + s->refused + s->failed + s->cancelled)
            << "a request without an outcome";
        refusal_ms = std::max(refusal_ms, Sim_Percentile(&s->refusal, 0.99));
        if (i >= c.first_judged) {
            judged += (double)(s->offered - s->cancelled);
            in_time += (double)s->in_time;
        }
    }
    struct sim_fairness fairness = Sim_Fairness(&config, &r, 20);
    EXPECT_GE(fairness.jain, c.min_jain);
    EXPECT_GE(fairness.worst, c.min_worst);
    EXPECT_GE(100 * in_time / judged, c.min_in_time_percent);
    EXPECT_LE(100 * failed / offered, c.max_failed_percent);
    EXPECT_LE(refusal_ms, c.max_refusal_ms);
    EXPECT_GT(r.replayed, 0);
    EXPECT_EQ(r.differed, 0) << "a replayed decision differs";
    Sim_Free(&r);
}

class Load : public testing::TestWithParam<load_case> {};

const struct load_case cases[] = {
    {"BurstOfSmall: a steady stream is served, retry times spread the burst",
     {during(with_work(stream("b", 6000), "small", 100, 2000), 5000, 6000, 3),
      stream("a", 220)},
     {},
     0.98,
     0.85,
     98,
     1,
     0,
     2000,
     100},
    {"HotOrganisation: one sends twice the capacity",
     {stream("a", 880), stream("b", 60), stream("c", 60), stream("d", 60)},
     {},
     0.99,
     0.9,
     97,
     1,
     0,
     1500,
     100},
    {"HotCaller: one caller of an organisation overloads the service",
     {with_caller(stream("a", 800), "hot"), with_caller(stream("a", 50), "x"),
      with_caller(stream("b", 60), "z")},
     {},
     0.99,
     0.9,
     97,
     1,
     0,
     1500,
     100},
    {"HotKey: one key of a caller overloads the service",
     {with_caller(stream("a", 800), "c", "hot"),
      with_caller(stream("a", 40), "c", "cool")},
     {},
     0.9,
     0.9,
     70,
     1,
     0,
     1500,
     100},
    {"HotByWork: equal rates, but one has ten times the work per request",
     {with_work(stream("a", 100), "big", 2000, 8000), stream("b", 100)},
     {},
     0.99,
     0.85,
     98,
     1,
     0,
     1500,
     100},
    {"OverloadTwice: half are refused at once, the others are in time",
     {stream("a", 220), stream("b", 220), stream("c", 220), stream("d", 220)},
     {},
     0.99,
     0.9,
     46,
     0,
     0,
     1900,
     100},
    {"LongAmongShort: long requests don't hold all slots",
     {with_work(stream("b", 12), "long", 5000, 60000),
      with_work(stream("a", 700), "short", 50, 1000)},
     {},
     0.98,
     0.85,
     98,
     1,
     0,
     1000,
     100},
    {"Previews: urgent ones go first when other work fills the slots",
     {with_work(stream("a", 15), "rescore", 4000, 0, PRIORITY_BATCH),
      with_work(stream("a", 300), "est", 200, 3000),
      with_work(stream("a", 150), "preview", 100, 600, PRIORITY_URGENT)},
     {},
     0,
     0,
     97,
     2,
     0,
     3000,
     100},
    {"CancellationWave: cancelled requests don't delay the other stream",
     {with_cancellation(during(with_work(stream("b", 4000), "rescore", 1000, 0,
                                         PRIORITY_BATCH),
                               2000, 3000, 0),
                        100, 3500),
      stream("a", 300)},
     {},
     0,
     0,
     99,
     1,
     0,
     3000,
     100},
    {"SlowWorker: one of eleven is five times slower",
     {stream("a", 308)},
     {{2, 2, 2000, 60000, 5, 0}},
     0.99,
     0.99,
     99.5,
     0,
     0,
     2000,
     100},
    {"BlackHole: one fails everything at once, repeatable requests",
     {stream("a", 308)},
     {{2, 2, 2000, 60000, 0, 5}},
     0.99,
     0.99,
     99.8,
     0,
     0.2,
     2000,
     100},
    {"BlackHoleOnce: one fails everything at once, not repeatable",
     {not_repeatable(stream("a", 308))},
     {{2, 2, 2000, 60000, 0, 5}},
     0.99,
     0.98,
     99,
     0,
     1,
     2000,
     100},
    {"RetryStorm: all fail for 3 s, and the overload ends with the fault",
     {stream("a", 352)},
     {{0, 10, 5000, 8000, 0, 100}},
     0,
     0,
     82,
     0,
     18,
     2000,
     100},
    {"StaleReports: load reports arrive after 900 ms",
     {stream("a", 396)},
     {},
     0.99,
     0.99,
     99.5,
     0,
     0,
     2000,
     900},
};

} // namespace

TEST_P(Load, OutcomesMeetBounds)
{
    check(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Policy, Load, testing::ValuesIn(cases),
                         [](const testing::TestParamInfo<load_case> &c) {
                             std::string name = c.param.name;
                             return name.substr(0, name.find(':'));
                         });
