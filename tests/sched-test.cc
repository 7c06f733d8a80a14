#include "entry-jobs.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

namespace {

/* ---- rows -------------------------------------------------------------- */

RC_GTEST_PROP(JobRow, RoundTripsThroughText, ())
{
    struct job_row row = {}, back = {};
    struct buf text = {};

    Str_Copy(row.organisation, sizeof(row.organisation), "one");
    Str_Copy(row.class_name, sizeof(row.class_name), "train");
    Str_Copy(row.reason, sizeof(row.reason), "member_stopped");
    row.tasks = *rc::gen::inRange(1, 1025);
    row.accelerators = *rc::gen::inRange(1, 65);
    row.within = (enum cells_level) * rc::gen::inRange(0, 5);
    row.declared_ms = *rc::gen::inRange<int64_t>(0, DECLARED_MAX_MS + 1);
    row.guaranteed = *rc::gen::arbitrary<bool>();
    row.cancel = *rc::gen::arbitrary<bool>();
    row.state = (enum job_state) * rc::gen::inRange(0, (int)JOB_STATE_COUNT);
    row.attempt = *rc::gen::inRange<uint64_t>(0, JSON_COUNTER_MAX + 1);
    row.term = *rc::gen::inRange<uint64_t>(0, JSON_COUNTER_MAX + 1);
    row.submitted_at = *rc::gen::inRange<int64_t>(0, INT64_MAX);
    Buf_AppendStr(&row.spec, "{\"image\":\"x\"}");
    row.members =
        *rc::gen::inRange<size_t>(0, (size_t)std::min(65, row.tasks + 1));
    row.member =
        (struct job_member *)Mem_Zero(row.members + 1, sizeof(*row.member));
    for (size_t i = 0; i < row.members; i++) {
        Str_Copy(row.member[i].agent, NAME_SIZE, "w1");
        row.member[i].incarnation = *rc::gen::arbitrary<uint64_t>();
        row.member[i].accelerators = *rc::gen::arbitrary<uint64_t>();
        row.member[i].tasks = *rc::gen::inRange(0, row.tasks + 1);
    }
    JobRow_Render(&row, &text);
    RC_ASSERT(JobRow_Parse(text.data, text.len, &back) == ERR_OK);
    RC_ASSERT(back.tasks == row.tasks);
    RC_ASSERT(back.accelerators == row.accelerators);
    RC_ASSERT(back.within == row.within);
    RC_ASSERT(back.declared_ms == row.declared_ms);
    RC_ASSERT(back.guaranteed == row.guaranteed);
    RC_ASSERT(back.cancel == row.cancel);
    RC_ASSERT(back.state == row.state);
    RC_ASSERT(back.attempt == row.attempt);
    RC_ASSERT(back.term == row.term);
    RC_ASSERT(back.submitted_at == row.submitted_at);
    RC_ASSERT(std::string(back.reason) == row.reason);
    RC_ASSERT(std::string(back.spec.data) == row.spec.data);
    RC_ASSERT(back.members == row.members);
    for (size_t i = 0; i < row.members; i++) {
        RC_ASSERT(back.member[i].incarnation == row.member[i].incarnation);
        RC_ASSERT(back.member[i].accelerators == row.member[i].accelerators);
        RC_ASSERT(back.member[i].tasks == row.member[i].tasks);
    }
    JobRow_Free(&row);
    JobRow_Free(&back);
    Buf_Free(&text);
}

TEST(JobRow, RejectsMalformedText)
{
    for (const char *text : {"", "{", "[]", "{}", "{\"state\":\"queued\"}"}) {
        struct job_row row = {};

        EXPECT_EQ(JobRow_Parse(text, strlen(text), &row), ERR_INVALID) << text;
        JobRow_Free(&row);
    }
}

/* Guards against a process that ends, or counts from a number out of range,
 * because of one row of another writer. */
TEST(JobRow, RejectsNumbersOutOfRange)
{
    const std::string good =
        R"({"organisation":"o","class":"c","state":"queued","attempt":1,)"
        R"("term":2,"reason":"","tasks":3,"accelerators":4,"within":"any",)"
        R"("declared_ms":5,"guaranteed":false,"cancel":false,"members":)"
        R"([{"agent":"a","incarnation":"1","accelerators":"1","tasks":3}],)"
        R"("spec":null,"submitted_at":1,"ended_at":0})";
    static const struct {
        const char *field, *value;
    } cases[] = {
        {"\"tasks\":3,\"acc", "\"tasks\":1025,\"acc"},
        {"\"tasks\":3,\"acc", "\"tasks\":2147483647,\"acc"},
        {"\"tasks\":3,\"acc", "\"tasks\":4294967299,\"acc"},
        {"\"tasks\":3,\"acc", "\"tasks\":-1,\"acc"},
        {"\"tasks\":3,\"acc", "\"tasks\":0,\"acc"},
        {"\"accelerators\":4", "\"accelerators\":65"},
        {"\"accelerators\":4", "\"accelerators\":-4"},
        {"\"attempt\":1", "\"attempt\":9223372036854775807"},
        {"\"attempt\":1", "\"attempt\":-1"},
        {"\"attempt\":1", "\"attempt\":1e999"},
        {"\"term\":2", "\"term\":9223372036854775807"},
        {"\"declared_ms\":5", "\"declared_ms\":9223372036854775807"},
        {"\"tasks\":3}", "\"tasks\":4}"},
        {"\"tasks\":3}", "\"tasks\":-3}"},
    };
    struct job_row row = {};

    ASSERT_EQ(JobRow_Parse(good.data(), good.size(), &row), ERR_OK);
    JobRow_Free(&row);
    for (const auto &c : cases) {
        std::string text = good;
        size_t at = text.find(c.field);

        ASSERT_NE(at, text.npos) << c.field;
        text.replace(at, strlen(c.field), c.value);
        EXPECT_EQ(JobRow_Parse(text.data(), text.size(), &row), ERR_INVALID)
            << c.value;
        JobRow_Free(&row);
    }
}

struct SubmissionCase {
    const char *body;
    const char *why; /* prefix of the error; NULL: valid */
};

TEST(JobRow, ReadsSubmissions)
{
    static const SubmissionCase cases[] = {
        {R"({"class":"c","tasks":2,"accelerators":8})", nullptr},
        {R"({"class":"c","tasks":2,"accelerators":8,"within":"rack"})",
         nullptr},
        {R"({"tasks":2,"accelerators":8})", "class"},
        {R"({"class":7,"tasks":2,"accelerators":8})", "class"},
        {R"({"class":"c","accelerators":8})", "tasks"},
        {R"({"class":"c","tasks":0,"accelerators":8})", "tasks"},
        {R"({"class":"c","tasks":1025,"accelerators":8})", "tasks"},
        {R"({"class":"c","tasks":"2","accelerators":8})", "tasks"},
        {R"({"class":"c","tasks":2,"accelerators":65})", "accelerators"},
        {R"({"class":"c","tasks":2,"accelerators":8,"run_ms":-1})", "run_ms"},
        {R"({"class":"c","tasks":2,"accelerators":8,"within":"x"})", "within"},
    };

    for (const SubmissionCase &c : cases) {
        json_t *body = json_loads(c.body, 0, nullptr);
        struct job_row row = {};
        bool attached;
        const char *why = nullptr;
        int err = JobRow_ParseSubmission(body, &row, &attached, &why);

        EXPECT_EQ(err, c.why ? ERR_INVALID : ERR_OK) << c.body;
        if (c.why != nullptr && why != nullptr) {
            EXPECT_EQ(std::string(why).substr(0, strlen(c.why)), c.why);
        }
        JobRow_Free(&row);
        json_decref(body);
    }
}

/* ---- states ------------------------------------------------------------ */

TEST(JobState, EndedStatesHaveNoSuccessors)
{
    for (int from = 0; from < JOB_STATE_COUNT; from++) {
        for (int to = 0; to < JOB_STATE_COUNT; to++) {
            bool allowed =
                Job_MayBecome((enum job_state)from, (enum job_state)to);

            EXPECT_FALSE(Job_IsOver((enum job_state)from) && allowed);
        }
    }
    EXPECT_TRUE(Job_MayBecome(JOB_QUEUED, JOB_CANCELLED));
    EXPECT_FALSE(Job_MayBecome(JOB_QUEUED, JOB_RUNNING));
    EXPECT_FALSE(Job_MayBecome(JOB_STOPPING, JOB_QUEUED));
}

/* ---- renewal ----------------------------------------------------------- */

const uint64_t RENEWER = 7;

struct Renewer : ::testing::Test {
    void SetUp() override
    {
        Liveness_Init(&table);
        working.job = Id_Random();
        working.attempt = 1;
        working.term = 1;
        working.members = 2;
    }
    void TearDown() override
    {
        Liveness_Free(&table);
    }
    /* True when the pulse's gang is renewed. */
    bool Pulse(const char *agent, int64_t stamp, int64_t now,
               uint64_t renewer = RENEWER)
    {
        struct wire_pulse p = {};
        struct wire_renew *r;
        bool renewed;

        p.msg.type = WIRE_PULSE;
        Str_Copy(p.agent, sizeof(p.agent), agent);
        p.renewer = renewer;
        p.stamp = stamp;
        *(struct wire_working *)Wire_ListAdd(&p.working, sizeof(working)) =
            working;
        r = Liveness_AnswerPulse(&table, &p, RENEWER, now);
        EXPECT_EQ(r->stamp, now);
        renewed = r->renewed.count == 1;
        Wire_Free(&r->msg);
        Wire_Clear(&p.msg);
        return renewed;
    }
    struct liveness_table table;
    struct wire_working working = {};
};

TEST_F(Renewer, RenewsOnlyIfAllMembersAreRecent)
{
    EXPECT_FALSE(Pulse("a", 0, 1000)); /* no stamp echoed yet */
    EXPECT_FALSE(Pulse("a", 1000, 2000));
    EXPECT_FALSE(Pulse("a", 1500, 2100)); /* still only one of two members */
    EXPECT_TRUE(Pulse("b", 1000, 2200));
    EXPECT_TRUE(Pulse("a", 2100, 2300));
    working.attempt = 2;
    EXPECT_FALSE(Pulse("a", 2300, 2400)); /* another attempt */
}

/* A pulse is queued while the renewer is paused, and was sent before the other
 * member stopped. Counted by its arrival, it would renew the leases of a gang
 * that is not complete any more. */
TEST_F(Renewer, DelayedPulseDoesNotRenew)
{
    EXPECT_FALSE(Pulse("a", 1000, 1100));
    EXPECT_TRUE(Pulse("b", 1000, 1100));
    EXPECT_FALSE(Pulse("b", 1100, 1000 + GANG_PULSE_MAX_AGE_MS + 1));
    EXPECT_FALSE(Pulse("a", 1000, 1000 + GANG_PULSE_MAX_AGE_MS + 2));
}

/* The stamps that members echo after a restart of the renewer were read from
 * another clock, so that they must not count. */
TEST_F(Renewer, IgnoresStampsOfAnotherIncarnation)
{
    EXPECT_FALSE(Pulse("a", 1000, 1100, RENEWER + 1));
    EXPECT_FALSE(Pulse("b", 1000, 1100, RENEWER + 1));
    EXPECT_FALSE(Pulse("b", 9000, 1100)); /* a stamp in the future */
}

/* For pulses in any order and with any delay: a gang is renewed exactly when
 * the newest stamp of each member is at most GANG_PULSE_MAX_AGE_MS old. */
RC_GTEST_PROP(RenewerProperty, RenewsByStampsOnly, ())
{
    struct liveness_table table;
    struct wire_working working = {};
    int members = *rc::gen::inRange(1, 5);
    std::vector<int64_t> newest((size_t)members, INT64_MIN / 2);
    int64_t now = 1;

    Liveness_Init(&table);
    working.job = Id_Random();
    working.members = (uint64_t)members;
    for (int step = 0; step < 60; step++) {
        size_t member = *rc::gen::inRange<size_t>(0, (size_t)members);
        int64_t stamp;
        bool all_recent = true;

        now += *rc::gen::inRange(0, 1500);
        stamp = std::max<int64_t>(1, now - *rc::gen::inRange(0, 6000));
        newest[member] = std::max(newest[member], stamp);
        Liveness_Record(&table, &working, std::to_string(member).c_str(),
                        stamp);
        for (int64_t at : newest) {
            all_recent = all_recent && now - at <= GANG_PULSE_MAX_AGE_MS;
        }
        RC_ASSERT(Liveness_AllRecent(&table, &working, now) == all_recent);
        if (*rc::gen::arbitrary<bool>()) {
            Liveness_Prune(&table, now);
            RC_ASSERT(Liveness_AllRecent(&table, &working, now) == all_recent);
        }
    }
    Liveness_Free(&table);
}

TEST(PartReports, KeepsTheNewestAttempt)
{
    struct part_report_tree tree = RB_INITIALIZER(&tree);
    struct wire_part part = {};

    part.job = Id_Random();
    part.attempt = 2;
    part.state = PART_RUNNING;
    PartReports_Record(&tree, "w1", 5, &part, 0);
    part.attempt = 1;
    part.state = PART_STOPPED;
    PartReports_Record(&tree, "w1", 5, &part, 1);
    ASSERT_NE(PartReports_Find(&tree, &part.job, "w1"), nullptr);
    EXPECT_EQ(PartReports_Find(&tree, &part.job, "w1")->part.state,
              (uint64_t)PART_RUNNING);
    EXPECT_EQ(PartReports_Find(&tree, &part.job, "w2"), nullptr);
    PartReports_Free(&tree);
}

} /* namespace */
