#include "base.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <set>
#include <string>

#include <unistd.h>

TEST(Err, EveryNumberHasItsName)
{
    EXPECT_STREQ(Err_Name(ERR_OK), "ok");
    EXPECT_STREQ(Err_Name(ERR_UNREACHABLE), "unreachable");
    EXPECT_STREQ(Err_Name(ERR_UNKNOWN), "unknown");
    EXPECT_STREQ(Err_Name(-16), "unnamed");
    EXPECT_STREQ(Err_Name(1), "unnamed");
}

struct AbbreviateCase {
    std::string text;
    std::string expected; /* its beginning */
};

/* Texts that don't fit into 48 bytes stay different and valid UTF-8. */
TEST(Base, LongTextsAreAbbreviatedByTheirHash)
{
    static const AbbreviateCase cases[] = {
        {"", ""},
        {"short", "short"},
        {std::string(46, 'x'), std::string(46, 'x')},
        {std::string(47, 'x'), std::string(14, 'x') + "~"},
        {std::string(47, 'x') + "a", std::string(14, 'x') + "~"},
        {std::string(47, 'x') + "b", std::string(14, 'x') + "~"},
        {std::string(13, 'x') + "\xed\x95\x9c" + std::string(40, 'x'),
         std::string(13, 'x') + "~~"},
        {std::string("a\0b", 3), "a~"},
        {std::string(5000, 'x'), std::string(14, 'x') + "~"},
    };
    std::set<std::string> all;

    for (const AbbreviateCase &c : cases) {
        char out[48];

        Str_Abbreviate(out, sizeof(out), c.text.data(), c.text.size());
        EXPECT_EQ(std::string(out).substr(0, c.expected.size()), c.expected);
        EXPECT_TRUE(strlen(out) == sizeof(out) - 1 || c.text == out) << out;
        all.insert(out);
    }
    EXPECT_EQ(all.size(), COUNT_OF(cases));
}

TEST(Str, Names)
{
    static const struct {
        const char *text;
        bool name;
    } cases[] = {
        {"a", true},   {"team-7", true}, {"A.b_c", true}, {"", false},
        {"-a", false}, {"a b", false},   {"a/b", false},  {"\xc3\xa9", false},
    };
    for (const auto &c : cases) {
        EXPECT_EQ(Str_IsName(c.text), c.name) << c.text;
    }
    EXPECT_TRUE(Str_IsName(std::string(63, 'x').c_str()));
    EXPECT_FALSE(Str_IsName(std::string(64, 'x').c_str()));
}

TEST(Id, HexRoundTrip)
{
    struct id a = Id_Random(), b;
    char hex[ID_HEX_SIZE];

    ASSERT_EQ(Id_Parse(Id_Hex(&a, hex), &b), ERR_OK);
    EXPECT_EQ(Id_Compare(&a, &b), 0);
    EXPECT_EQ(Id_Parse("12", &b), ERR_INVALID);
    EXPECT_EQ(Id_Parse("zz345678901234567890123456789012", &b), ERR_INVALID);
}

TEST(Buf, GrowsAndMoves)
{
    struct buf a = {}, b = {};

    for (int i = 0; i < 1000; i++) {
        Buf_Printf(&a, "%d,", i);
    }
    EXPECT_EQ(std::string(a.data, 6), "0,1,2,");
    Buf_Move(&b, &a);
    EXPECT_EQ(a.len, 0u);
    EXPECT_EQ(b.data[b.len], '\0');
    Buf_Free(&b);
}

TEST(Counter, RendersPrometheusText)
{
    static struct counter total = {"t_total", "Things.", "kind=\"a\"",
                                   COUNTER_TOTAL};
    static struct counter wait = {"t_wait_ms", "Waits.", nullptr,
                                  COUNTER_LATENCY};
    struct buf out = {};

    Counter_Add(&total, 2);
    Counter_Observe(&wait, 3);
    Counter_Observe(&wait, 100000);
    Counter_Render(&out);
    std::string text(out.data, out.len);
    EXPECT_NE(text.find("t_total{kind=\"a\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("t_wait_ms_bucket{le=\"2\"} 0\n"), std::string::npos);
    EXPECT_NE(text.find("t_wait_ms_bucket{le=\"4\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("t_wait_ms_bucket{le=\"+Inf\"} 2\n"),
              std::string::npos);
    EXPECT_NE(text.find("t_wait_ms_count 2\n"), std::string::npos);
    Buf_Free(&out);
}

TEST(Log, QuotesValuesWithSpecialCharacters)
{
    testing::internal::CaptureStderr();
    const struct log_kv kv[] = {
        {"a", "plain", 0}, {"b", "two words\n\"x\"", 0}, {"n", nullptr, -3}};
    Log_Event(LOG_ERROR, "tested", kv, 3);
    std::string line = testing::internal::GetCapturedStderr();
    EXPECT_NE(line.find("event=tested a=plain b=\"two words\\x0a\\\"x\\\"\" "
                        "n=-3\n"),
              std::string::npos)
        << line;
}

/* A failing link writes thousands of equal lines a second, which are
 * suppressed after 20. Lines with the outcome of a request must not be
 * suppressed that early, as operators search for them by id: their event has
 * its own budget. */
TEST(Log, LinesAreLimitedByTheBudgetOfTheirEvent)
{
    struct log_kv id = KV_INT("id", 1);
    size_t repeated = 0, outcomes = 0;

    ASSERT_EQ(Log_SetBudget("an_outcome", 100), ERR_OK);
    testing::internal::CaptureStderr();
    for (int i = 0; i < 100; i++) {
        Log_Event(LOG_WARN, "of_a_link", &id, 1);
        Log_Event(LOG_INFO, "an_outcome", &id, 1);
    }
    std::string text = testing::internal::GetCapturedStderr();
    for (size_t at = 0; (at = text.find("=of_a_link ", at)) != text.npos;
         at++) {
        repeated++;
    }
    for (size_t at = 0; (at = text.find("=an_outcome ", at)) != text.npos;
         at++) {
        outcomes++;
    }
    EXPECT_GE(repeated, 20u);
    EXPECT_LE(repeated, 40u); /* when a new second begins during the loop */
    EXPECT_EQ(outcomes, 100u);
}

/* The reader of the log has stopped reading, so that the pipe is full. The
 * process must drop lines, as a blocking write would delay all its callers. If
 * a write blocks, this test hangs. */
TEST(Log, AFullLogPipeDoesNotBlock)
{
    int fds[2], kept = dup(STDERR_FILENO);
    struct log_kv filler = KV("text", "of some length, to fill the pipe");
    struct buf counters = {};

    ASSERT_EQ(pipe(fds), 0);
    dup2(fds[1], STDERR_FILENO);
    for (int i = 0; i < 20000; i++) {
        Log_Event(LOG_ERROR, "filler", &filler, 1);
    }
    dup2(kept, STDERR_FILENO);
    close(fds[0]);
    close(fds[1]);
    close(kept);
    Counter_Render(&counters);
    std::string text(counters.data, counters.len);
    Buf_Free(&counters);
    EXPECT_NE(text.find("\nparsleyfall_log_dropped_total "),
              std::string::npos);
    EXPECT_EQ(text.find("\nparsleyfall_log_dropped_total 0\n"),
              std::string::npos);
}

/* Guards against a list that is lost as a whole for one odd item. */
TEST(JsonLoad, AnUnreadablePartLeavesTheRest)
{
    const std::string deep(3000, '['), closed = deep + std::string(3000, ']');
    const struct {
        std::string item, expected;
    } cases[] = {
        {"7", "7"},
        {"1e999", "null"},
        {"-1e999", "null"},
        {"123456789012345678", "123456789012345678"},
        {"99999999999999999999", "null"},
        {"-99999999999999999999", "null"},
        {std::string(400, '9'), "null"},
        {"\"a\\ud800b\"", "null"},
        {"\"\\udc00\\ud800\"", "null"},
        {"\"\\ud83d\\ude00\"", "\"\U0001F600\""},
        {"\"\xff\"", "null"},
        {"\"\xc0\xaf\"", "null"},
        {"\"\xed\xa0\x80\"", "null"},
        {"\"a\x01\"", "null"},
        {"\"[\\\"]\"", "\"[\\\"]\""},
        {"\"\u20ac 1e999 [\"", "\"\u20ac 1e999 [\""},
        {"{\"a\":1e999}", "{\"a\":null}"},
        {"{\"a\":" + closed + ",\"b\":2}", ""},
        {closed, ""},
    };

    for (const auto &c : cases) {
        std::string text = "{\"x\":[1," + c.item + ",\"z\"]}";
        json_t *o = Json_LoadParts(text.data(), text.size());
        json_t *list = json_object_get(o, "x");

        ASSERT_EQ(json_array_size(list), 3u) << c.item.substr(0, 40);
        EXPECT_EQ(json_integer_value(json_array_get(list, 0)), 1);
        EXPECT_STREQ(json_string_value(json_array_get(list, 2)), "z");
        if (!c.expected.empty()) {
            char *item = json_dumps(json_array_get(list, 1),
                                    JSON_COMPACT | JSON_ENCODE_ANY);

            EXPECT_EQ(item, c.expected);
            free(item);
        }
        json_decref(o);
    }
}

TEST(JsonLoad, WhatIsNoJsonIsRefused)
{
    for (const std::string text :
         {"", "{", "[1,", "\"", "[\"a", "[\"\\", "[1e999", "nul", "[1}",
          "[\"\\u12", "[-", "{1e999:2}", "\xff", "]"}) {
        json_t *o = Json_LoadParts(text.data(), text.size());

        EXPECT_EQ(o, nullptr) << text;
        json_decref(o);
    }
    EXPECT_EQ(Json_LoadParts(nullptr, 0), nullptr);
}
