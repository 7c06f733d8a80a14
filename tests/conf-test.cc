#include "base.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>

namespace {

struct limits {
    int64_t bytes;
    int64_t idle;
};

struct service {
    char name[NAME_SIZE];
    int64_t slots;
    int64_t kind;
    char *url;
    int line;
};

struct settings {
    char name[NAME_SIZE];
    int64_t port;
    bool checked;
    struct limits limits;
    struct conf_list services;
    struct conf_list seeds;
};

const char *const kinds[] = {"request", "job", nullptr};

const struct conf_key limit_keys[] = {
    {"bytes", CONF_INT, offsetof(limits, bytes), false, 1, 1 << 20, "4096"},
    {"idle", CONF_INT, offsetof(limits, idle), false, 0, 0, "-5"},
};
const struct conf_table limit_table = {"limits", sizeof(limits), limit_keys,
                                       COUNT_OF(limit_keys), 0};
const struct conf_key service_keys[] = {
    {"name", CONF_NAME, offsetof(service, name), true},
    {"slots", CONF_INT, offsetof(service, slots), true, 1, 64},
    {"kind", CONF_WORD, offsetof(service, kind), false, 0, 0, "job", kinds},
    {"url", CONF_STRING, offsetof(service, url), false, 1, 10},
};
const struct conf_table service_table = {"service", sizeof(service),
                                         service_keys, COUNT_OF(service_keys),
                                         offsetof(service, line)};
const struct conf_key keys[] = {
    {"name", CONF_NAME, offsetof(settings, name), true},
    {"port", CONF_INT, offsetof(settings, port), false, 0, 65535, "8080"},
    {"checked", CONF_BOOL, offsetof(settings, checked), false, 0, 0, "true"},
    {"limits", CONF_MAP, offsetof(settings, limits), false, 0, 0, "{}",
     nullptr, &limit_table},
    {"services", CONF_LIST, offsetof(settings, services), false, 0, 3, nullptr,
     nullptr, &service_table},
    {"seeds", CONF_STRINGS, offsetof(settings, seeds), false, 1, 3, "[a, b]"},
};
const struct conf_table table = {"settings", sizeof(settings), keys,
                                 COUNT_OF(keys), 0};

// A parsed document, which is freed at the end also after a failed parse.
struct Parsed {
    settings s;
    conf_errors errors = {};
    int rc;
    explicit Parsed(const std::string &text)
        : rc(Conf_Parse(text.data(), text.size(), &table, &s, &errors))
    {
    }
    ~Parsed()
    {
        Conf_Free(&table, &s);
    }
    std::string render()
    {
        struct buf out = {};
        Buf_AppendStr(&out, "");
        Conf_Render(&errors, "f", &out);
        std::string text(out.data, out.len);
        Buf_Free(&out);
        return text;
    }
};

} // namespace

TEST(Conf, FillsEveryTypeAndItsFallback)
{
    Parsed p("name: a\n"
             "services:\n"
             "  - {name: s-1, slots: 8, kind: request, url: 'http://x'}\n"
             "  - name: s-2\n"
             "    slots: 64\n");

    ASSERT_EQ(p.rc, ERR_OK) << p.render();
    EXPECT_STREQ(p.s.name, "a");
    EXPECT_EQ(p.s.port, 8080);
    EXPECT_TRUE(p.s.checked);
    EXPECT_EQ(p.s.limits.bytes, 4096);
    EXPECT_EQ(p.s.limits.idle, -5);
    ASSERT_EQ(p.s.seeds.count, 2u);
    EXPECT_STREQ(((char **)p.s.seeds.items)[1], "b");
    ASSERT_EQ(p.s.services.count, 2u);
    const service *s = (const service *)p.s.services.items;
    EXPECT_EQ(s[0].kind, 0);
    EXPECT_STREQ(s[0].url, "http://x");
    EXPECT_EQ(s[1].kind, 1);
    EXPECT_EQ(s[1].url, nullptr);
    EXPECT_EQ(s[1].line, 4);
}

TEST(Conf, ReadsJson)
{
    Parsed p("{\"name\": \"a\", \"port\": 0, \"checked\": false,\n"
             "\"services\": [{\"name\": \"s\", \"slots\": 1}]}");

    EXPECT_EQ(p.rc, ERR_OK) << p.render();
    EXPECT_EQ(p.s.port, 0);
    EXPECT_FALSE(p.s.checked);
}

// Documents with one mistake each: the message must give the line, the key,
// what is wrong and the allowed values.
TEST(Conf, ReportsEachMistake)
{
    static const struct {
        const char *text;
        const char *prefix; // start of the message
    } cases[] = {
        {"name: a\nprot: 1\n", "f:2: prot: unknown key (allowed: did you "
                               "mean port? one of name, port, checked"},
        {"name: a\nzzzzzzzz: 1\n", "f:2: zzzzzzzz: unknown key (allowed: "
                                   "one of name,"},
        {"name: a\nport: 1\nport: 2\n",
         "f:3: port: stands twice, first in line 2"},
        {"port: 1\n", "f:1: name: is missing (allowed: a name"},
        {"", "f:1: name: is missing"},
        {"- a\n", "f:1: the document is not a map"},
        {"name: a b\n", "f:1: name: 'a b' is not a name (allowed: a name"},
        {"name:\n", "f:1: name: has no value"},
        {"name: [a]\n", "f:1: name: is a list (allowed: a name"},
        {"name: a\nport: 65536\n", "f:2: port: '65536' is out of range "
                                   "(allowed: a whole number, 0..65535)"},
        {"name: a\nport: 80x\n", "f:2: port: '80x' is not a whole number"},
        {"name: a\nport: 1.0\n", "f:2: port: '1.0' is not a whole number"},
        {"name: a\nport: 010\n", "f:2: port: '010' is not a whole number"},
        {"name: a\nport: +1\n", "f:2: port: '+1' is not a whole number"},
        {"name: a\nport: \"80\"\n", "f:2: port: '80' is not a whole number"},
        {"name: a\nlimits: {idle: 9223372036854775808}\n",
         "f:2: limits.idle: '9223372036854775808' is not a whole number"},
        {"name: a\nchecked: yes\n", "f:2: checked: 'yes' is neither true"},
        {"name: a\nlimits: 3\n", "f:2: limits: is text (allowed: a map"},
        {"name: a\nservices:\n- {name: s, slots: 8}\n- {name: t}\n",
         "f:4: services[1].slots: is missing (allowed: a whole number, "
         "1..64)"},
        {"name: a\nservices:\n- name: s\n  slots: 1\n  kind: jib\n",
         "f:5: services[0].kind: 'jib' is none of the words (allowed: one "
         "of request, job)"},
        {"name: a\nservices:\n- {name: s, slots: 1, url: 01234567890}\n",
         "f:3: services[0].url: has a wrong length (allowed: text, 1..10 "
         "bytes)"},
        {"name: a\nservices: [{name: s, slots: 1, url: ''}]\n",
         "f:2: services[0].url: is empty"},
        {"name: a\nservices: [{name: s, slots: 1, url: \"a\\0b\"}]\n",
         "f:2: services[0].url: holds a NUL character"},
        {"name: a\nservices: [{}, {}, {}, {}]\n",
         "f:2: services: has 4 items (allowed: a list of maps, 0..3 items)"},
        {"name: a\nseeds: [[a]]\n", "f:2: seeds[0]: is a list"},
        {"name: a\n? [b]\n: 1\n", "f:2: a key that is a list"},
        {"name: a\nport: [1\n", "f:3: syntax: "},
        {"name: a\n\tport: 1\n", "f:2: syntax: "},
        {"name: &x a\n", "f:1: an anchor (&) (allowed: values written out)"},
        {"name: *x\n", "f:1: an alias (*) (allowed: values written out)"},
        {"name: !!str a\n", "f:1: a tag (!)"},
        {"name: a\n---\nname: b\n", "f:2: a second document"},
        {"name: \xff\n", "f:1: syntax: "},
    };
    for (const auto &c : cases) {
        Parsed p(c.text);
        EXPECT_EQ(p.rc, ERR_INVALID) << c.text;
        EXPECT_EQ(p.errors.count, 1) << c.text << p.render();
        EXPECT_EQ(p.render().compare(0, strlen(c.prefix), c.prefix), 0)
            << c.text << p.render();
    }
}

TEST(Conf, AllMistakesAtOnce)
{
    Parsed p("port: x\n"
             "services: [{slots: 0}]\n"
             "limits: {bites: 1}\n"
             "seeds: []\n");

    EXPECT_EQ(p.errors.count, 6) << p.render();
}

TEST(Conf, TooManyMistakesAreCounted)
{
    std::string text = "name: a\n";

    for (int i = 0; i < 100; i++) {
        text += "k" + std::to_string(i) + ": 1\n";
    }
    Parsed p(text);
    EXPECT_EQ(p.errors.count, CONF_ERRORS_MAX);
    EXPECT_EQ(p.errors.more, 100 - CONF_ERRORS_MAX);
    EXPECT_NE(p.render().find("f: and 36 more\n"), std::string::npos);
}

// A document must not be able to exhaust the memory or the stack of the
// process. Deep nesting and many small values are refused before a tree is
// built.
TEST(Conf, LimitsAreCheckedBeforeATreeIsBuilt)
{
    Parsed deep("name: " + std::string(33, '[') + std::string(33, ']'));
    EXPECT_NE(deep.render().find("nested too deeply"), std::string::npos);

    std::string wide = "name: [";
    for (int i = 0; i < 200001; i++) {
        wide += "1,";
    }
    Parsed many(wide + "]");
    EXPECT_NE(many.render().find("too many values"), std::string::npos);

    Parsed big(std::string(4 * 1024 * 1024 + 1, ' '));
    EXPECT_NE(big.render().find("too big"), std::string::npos);
}

// A UTF-8 character cut in half would make the message invalid in JSON.
TEST(Conf, LongTextIsTruncatedBetweenCharacters)
{
    std::string name;

    for (int i = 0; i < 64; i++) {
        name += "\xc3\xa9";
    }
    Parsed p("name: a\n" + name + ": 1\n");
    ASSERT_EQ(p.errors.count, 1);
    EXPECT_EQ(strlen(p.errors.at[0].key), 126u);

    Parsed q("name: x" + name + "\n");
    ASSERT_EQ(q.errors.count, 1);
    EXPECT_EQ(std::string(q.errors.at[0].what).substr(38),
              "\xc3\xa9' is not a name");
}

TEST(Conf, LoadReportsAMissingFile)
{
    settings s;
    conf_errors errors = {};

    EXPECT_EQ(Conf_Load("/nonexistent", &table, &s, &errors), ERR_INVALID);
    ASSERT_EQ(errors.count, 1);
    EXPECT_STREQ(errors.at[0].what, "the file can't be read: not_found");
    Conf_Free(&table, &s);
}
