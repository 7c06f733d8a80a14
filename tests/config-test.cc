#include "config-text.h"

#include <gtest/gtest.h>

#include <cstring>

namespace {

const std::string hash(64, '0');

// Parses a document with one part replaced and expects a single mistake whose
// text starts with `want`.
void
expect_mistake(std::string ConfigText::*part, const char *text,
               const char *want)
{
    ConfigText t;
    t.*part = text;
    ConfigParsed p(t.text());

    EXPECT_EQ(p.rc, ERR_INVALID) << text;
    EXPECT_EQ(p.errors.count, 1) << text << p.mistakes();
    EXPECT_EQ(p.mistakes().compare(0, strlen(want), want), 0)
        << text << p.mistakes();
}

std::string
guarantees(const std::string &list)
{
    return "organisations: [{name: a, guarantees: [" + list +
           "]}, {name: b}]\n";
}

} // namespace

TEST(Config, AcceptsAValidDocument)
{
    ConfigParsed p(ConfigText().text());

    ASSERT_EQ(p.rc, ERR_OK) << p.mistakes();
    const auto *s = Config_FindService(&p.c, "s");
    ASSERT_NE(s, nullptr);
    EXPECT_EQ(s->queue_limit, 256);
    EXPECT_TRUE(Config_Allows(s, "a"));
    EXPECT_FALSE(Config_Allows(s, "b"));
    EXPECT_STREQ(Config_ClassOf(&p.c, s, nullptr)->name, "q");
    EXPECT_EQ(Config_ClassOf(&p.c, s, "j"), nullptr);
    EXPECT_EQ(Config_FindOrganisation(&p.c, "b")->weight, 1);
    EXPECT_EQ(Config_FindOrganisation(&p.c, "c"), nullptr);
    EXPECT_EQ(Config_FindClass(&p.c, "q")->priority, PRIORITY_NORMAL);
    EXPECT_STREQ(Config_FindDomain(&p.c, "d2")->name, "d2");

    struct config_place place;
    ASSERT_EQ(Config_FindWorker(&p.c, "w3", &place), ERR_OK);
    EXPECT_STREQ(place.region->name, "r");
    EXPECT_STREQ(place.domain->name, "d2");
    EXPECT_STREQ(place.rack->name, "k1");
    EXPECT_EQ(place.worker->accelerators, 4);
    EXPECT_EQ(Config_FindWorker(&p.c, "w4", &place), ERR_NOTFOUND);
    EXPECT_EQ(place.region, nullptr);
}

TEST(Config, NamesAndReferences)
{
    static const struct {
        std::string ConfigText::*part;
        const char *text;
        const char *want;
    } cases[] = {
        {&ConfigText::organisations, "organisations: [{name: a}, {name: a}]\n",
         "f:7: organisations[1].name: 'a' stands twice, first in line 7"},
        {&ConfigText::services,
         "services:\n- {name: s, organisations: [a, x], classes: [q]}\n",
         "f:11: services[0].organisations[1]: there is no organisation 'x'"},
        {&ConfigText::services,
         "services:\n- {name: s, organisations: [a, a], classes: [q]}\n",
         "f:11: services[0].organisations[1]: 'a' stands twice"},
        {&ConfigText::services,
         "services: [{name: s, organisations: [a], classes: [x]}]\n",
         "f:10: services[0].classes[0]: there is no class 'x'"},
        {&ConfigText::services,
         "services: [{name: s, organisations: [a], classes: [j]}]\n",
         "f:10: services[0].classes[0]: the class 'j' is for jobs"},
        {&ConfigText::services,
         "services: [{name: s, organisations: [a], classes: [q]},\n"
         "{name: s, organisations: [a], classes: [q]}]\n",
         "f:11: services[1].name: 's' stands twice, first in line 10"},
        {&ConfigText::classes,
         "classes: [{name: q, kind: request, repeatable: true, deadline_ms: "
         "1},\n{name: q, kind: request, repeatable: true, deadline_ms: 1}]\n",
         "f:9: classes[1].name: 'q' stands twice, first in line 8"},
        {&ConfigText::topology,
         "topology: {regions: [{name: r, failure_domains: [{name: d, racks: "
         "[{name: k, workers: [{name: w, accelerators: 8}]},\n {name: l, "
         "workers: [{name: w, accelerators: 8}]}]}]}]}\n",
         "f:4: topology.regions[0].failure_domains[0].racks[1].workers[0]."
         "name: 'w' stands twice, first in line 3"},
        {&ConfigText::topology,
         "topology: {regions: [{name: r, failure_domains: [{name: d, racks: "
         "[{name: k, workers: []},\n {name: k, workers: []}]}]}]}\n",
         "f:4: topology.regions[0].failure_domains[0].racks[1].name: 'k'"},
        {&ConfigText::topology,
         "topology: {regions: [{name: r, failure_domains: [{name: d, racks: "
         "[]}]},\n {name: q, failure_domains: [{name: d, racks: []}]}]}\n",
         "f:4: topology.regions[1].failure_domains[0].name: 'd' stands"},
    };
    for (const auto &c : cases) {
        expect_mistake(c.part, c.text, c.want);
    }
}

// A token with two holders would not identify the caller, so it is refused.
// The message must not contain the whole hash, as it is logged.
TEST(Config, TokensAreUnique)
{
    ConfigText t;
    t.operators = "operators: [{name: o, token_hashes: ['" + hash + "']}]\n";
    t.organisations =
        "organisations: [{name: a, token_hashes: ['" + hash + "']}]\n";
    ConfigParsed p(t.text());

    ASSERT_EQ(p.errors.count, 1) << p.mistakes();
    EXPECT_STREQ(p.errors.at[0].key, "operators[0].token_hashes[0]");
    EXPECT_EQ(p.mistakes().find(hash), std::string::npos);
}

TEST(Config, InconsistentClassesAreRefused)
{
    static const struct {
        const char *keys;
        const char *want;
    } cases[] = {
        {"kind: request, deadline_ms: 0",
         "f:8: classes[0].deadline_ms: a request needs a deadline"},
        {"kind: request, deadline_ms: 3600001",
         "f:8: classes[0].deadline_ms: a request needs a deadline"},
        {"kind: request, deadline_ms: 1, checkpoint: true, grace_ms: 1",
         "f:8: classes[0].checkpoint: a request can't go on"},
        {"kind: job, deadline_ms: 0, checkpoint: true",
         "f:8: classes[0].grace_ms: a checkpoint needs time"},
        {"kind: job, deadline_ms: 0, keyed_when_table_down: serve",
         "f:8: classes[0].keyed_when_table_down: a job can't be accepted"},
    };
    for (const auto &c : cases) {
        ConfigText t;
        t.classes = std::string("classes: [{name: x, repeatable: true, ") +
                    c.keys + "}]\n";
        t.services = "services: []\n";
        ConfigParsed p(t.text());
        EXPECT_EQ(p.errors.count, 1) << c.keys << p.mistakes();
        EXPECT_EQ(p.mistakes().compare(0, strlen(c.want), c.want), 0)
            << p.mistakes();
    }
}

TEST(Config, Shapes)
{
    static const struct {
        const char *text;
        int rc;
        enum shape_kind kind;
        int64_t size;
    } cases[] = {
        {"accelerators: 4", ERR_OK, SHAPE_ACCELERATORS, 4},
        {"worker", ERR_OK, SHAPE_WORKERS, 1},
        {"workers: 3", ERR_OK, SHAPE_WORKERS, 3},
        {"rack", ERR_OK, SHAPE_RACKS, 1},
        {"racks: 1024", ERR_OK, SHAPE_RACKS, 1024},
        {"racks: 1025", ERR_INVALID, SHAPE_RACKS, 0},
        {"accelerators", ERR_INVALID, SHAPE_RACKS, 0},
        {"accelerators: 0", ERR_INVALID, SHAPE_RACKS, 0},
        {"accelerators: 65", ERR_INVALID, SHAPE_RACKS, 0},
        {"accelerators:4", ERR_INVALID, SHAPE_RACKS, 0},
        {"workers: 3x", ERR_INVALID, SHAPE_RACKS, 0},
        {"worker: 1", ERR_INVALID, SHAPE_RACKS, 0},
        {"work", ERR_INVALID, SHAPE_RACKS, 0},
        {"", ERR_INVALID, SHAPE_RACKS, 0},
    };
    for (const auto &c : cases) {
        struct shape shape;
        ASSERT_EQ(Config_ParseShape(c.text, &shape), c.rc) << c.text;
        if (c.rc == ERR_OK) {
            EXPECT_EQ(shape.kind, c.kind) << c.text;
            EXPECT_EQ(shape.size, c.size) << c.text;
        }
    }
}

// Guards against guarantees that exceed the topology. If the document were
// accepted, they would fail only when an organisation reclaims them.
TEST(Config, GuaranteesBeyondTheTopology)
{
    static const struct {
        const char *list;
        const char *want; // nullptr: accepted
    } cases[] = {
        {"{shape: workers: 1, count: 1}", "f:7: syntax"},
        {"{shape: 'workers: 2', count: 1}, {shape: 'accelerators: 4', count: "
         "1}",
         nullptr},
        {"{shape: 'accelerators: 8', count: 3}",
         "f:7: organisations[0].guarantees[0]: guarantees up to here need 24 "
         "accelerators in all, there are 20"},
        {"{shape: 'accelerators: 2', count: 10}, {shape: 'accelerators: 1', "
         "count: 1}",
         "f:7: organisations[0].guarantees[1]: guarantees up to here need 21 "
         "accelerators in all, there are 20"},
        {"{shape: 'accelerators: 9', count: 1}",
         "f:7: organisations[0].guarantees[0]: 'accelerators: 9' has no room "
         "in any failure domain"},
        {"{shape: 'workers: 3', count: 1}",
         "f:7: organisations[0].guarantees[0]: 'workers: 3' has no room"},
        {"{shape: 'accelerators: 8', count: 1, failure_domain: d2}",
         "f:7: organisations[0].guarantees[0]: 'accelerators: 8' has no room "
         "in d2"},
        {"{shape: worker, count: 2, failure_domain: d2}",
         "f:7: organisations[0].guarantees[0]: guarantees up to here need 2 "
         "workers in d2, there are 1"},
        {"{shape: worker, count: 1, failure_domain: d3}",
         "f:7: organisations[0].guarantees[0].failure_domain: there is no "
         "failure domain 'd3'"},
        {"{shape: rack, count: 2}, {shape: worker, count: 1}",
         "f:7: organisations[0].guarantees[1]: guarantees up to here need 4 "
         "workers in all, there are 3"},
    };
    for (const auto &c : cases) {
        if (c.want != nullptr) {
            std::string text = guarantees(c.list);
            expect_mistake(&ConfigText::organisations, text.c_str(), c.want);
            continue;
        }
        ConfigText t;
        t.organisations = guarantees(c.list);
        ConfigParsed p(t.text());
        EXPECT_EQ(p.rc, ERR_OK) << p.mistakes();
    }
}

TEST(Config, ExtraCheckCanRefuse)
{
    Config_SetCheck([](const struct config *, struct conf_errors *errors) {
        Conf_Add(errors, 7, "organisations", "less", "not feasible");
    });
    ConfigParsed refused(ConfigText().text());
    Config_SetCheck(nullptr);
    ConfigParsed accepted(ConfigText().text());

    EXPECT_EQ(refused.rc, ERR_INVALID);
    EXPECT_EQ(refused.mistakes(),
              "f:7: organisations: not feasible (allowed: less)\n");
    EXPECT_EQ(accepted.rc, ERR_OK);
}

TEST(Config, DiffReportsPaths)
{
    ConfigText t;
    t.organisations = "organisations: [{name: a, guarantees: [{shape: worker, "
                      "count: 1}]}, {name: b}, {name: c}]\n";
    ConfigParsed before(t.text());
    t.organisations = "organisations: [{name: d}, {name: c, weight: 3}, "
                      "{name: a, guarantees: [{shape: worker, count: 2}, "
                      "{shape: 'accelerators: 1', count: 1}]}]\n";
    t.services = "services: [{name: s, organisations: [d], classes: [q]}]\n";
    ConfigParsed after(t.text());

    ASSERT_EQ(after.rc, ERR_OK) << after.mistakes();
    EXPECT_EQ(before.diff(after),
              "organisations[b]: removed\n"
              "organisations[d]: added\n"
              "organisations[a].guarantees[1]: added\n"
              "organisations[a].guarantees[0].count: 1 -> 2\n"
              "organisations[c].weight: 1 -> 3\n"
              "organisations: order changed\n"
              "services[s].organisations[a]: removed\n"
              "services[s].organisations[d]: added\n");
    EXPECT_EQ(before.diff(before), "");
}

TEST(Config, RiskySettingsAreRenderedWithAComment)
{
    ConfigText t;
    t.classes = "classes: [{name: q, kind: request, repeatable: true, "
                "deadline_ms: 1, keyed_when_table_down: serve}]\n";
    ConfigParsed p(t.text());

    EXPECT_EQ(p.yaml().find("# Risk: class q serves keyed requests"), 0u);
}

// Other YAML parsers would read these names unquoted as a boolean, a number or
// null.
TEST(Config, NamesThatLookLikeValuesAreQuoted)
{
    for (std::string name : {"no", "True", "null", "1e3", "010"}) {
        ConfigText t;
        t.organisations = "organisations: [{name: " + name + "}]\n";
        t.services = "services: []\n";
        ConfigParsed p(t.text());
        EXPECT_NE(p.yaml().find("name: \"" + name + "\"\n"), std::string::npos)
            << p.yaml();
    }
}

TEST(Config, ErrorsAsJson)
{
    ConfigParsed p("version: 1\n");
    struct buf out = {};

    Config_RenderErrors(&p.errors, &out);
    std::string text(out.data, out.len);
    Buf_Free(&out);
    EXPECT_NE(
        text.find("\"key\": \"weights\",\n      \"what\": \"is missing\""),
        std::string::npos)
        << text;
    EXPECT_NE(text.find("\"more\": 0"), std::string::npos);
}

TEST(Config, TokensAreFoundByTheirHash)
{
    char digest[DIGEST_HEX_SIZE];
    ConfigText t;
    t.operators = std::string("operators: [{name: o, token_hashes: [\"") +
                  Digest_Hex("one", 3, digest) + "\"]}]\n";
    t.organisations =
        std::string("organisations: [{name: a, token_hashes: [\"") +
        Digest_Hex("two", 3, digest) + "\"]}]\n";
    ConfigParsed p(t.text());

    ASSERT_EQ(p.rc, ERR_OK) << p.mistakes();
    EXPECT_STREQ(Config_OperatorOfToken(&p.c, "one")->name, "o");
    EXPECT_EQ(Config_OperatorOfToken(&p.c, "two"), nullptr);
    EXPECT_STREQ(Config_OrganisationOfToken(&p.c, "two")->name, "a");
    EXPECT_EQ(Config_OrganisationOfToken(&p.c, "one"), nullptr);
    EXPECT_EQ(Config_OrganisationOfToken(&p.c, ""), nullptr);
}
