#include "console.h"
#include "config.h"

#include <gtest/gtest.h>

#include <regex>
#include <set>
#include <string>

namespace {

std::string
page()
{
    struct buf out = {};
    Console_Page(&out);
    std::string text(out.data, out.len);
    Buf_Free(&out);
    return text;
}

// First groups of all matches.
std::set<std::string>
matches(const std::string &text, const char *pattern)
{
    std::regex re(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), re), end; it != end;
         ++it) {
        found.insert((*it)[1]);
    }
    return found;
}

} // namespace

TEST(Console, PageIsWholeAndAlone)
{
    std::string text = page();

    EXPECT_EQ(text.find("<!DOCTYPE html>\n"), 0u);
    EXPECT_NE(text.find("</html>\n"), std::string::npos);
    for (const char *outside :
         {"http://", "https://", "src=", "<link", "@import", "url(",
          "<!-- include", "innerHTML", "localStorage", "sessionStorage",
          "document.cookie"}) {
        EXPECT_EQ(text.find(outside), std::string::npos) << outside;
    }
}

// A label or a script that names what is not there fails without a word.
TEST(Console, EveryIdThatIsNamedIsThere)
{
    std::string text = page();
    std::set<std::string> ids = matches(text, " id=\"([a-z-]+)\"");

    for (const char *pattern :
         {"\\$\\('([a-z-]+)'\\)", " for=\"([a-z-]+)\"",
          "aria-labelledby=\"([a-z-]+)\"", "aria-describedby=\"([a-z-]+)\"",
          "href=\"#([a-z-]+)\""}) {
        for (const auto &id : matches(text, pattern)) {
            EXPECT_TRUE(ids.count(id)) << pattern << " " << id;
        }
    }
}

// Every key of the document has its field: one that the form did not know
// would go back unseen, and could not be changed.
TEST(Console, EveryKeyHasItsField)
{
    static const char text[] =
        "version: 1\nweights: {completion: 1, fragmentation: 1}\n"
        "topology: {regions: [{name: r, failure_domains: [{name: d, racks: "
        "[{name: k, workers: [{name: w, accelerators: 8}]}]}]}]}\n"
        "operators: [{name: o, token_hashes: "
        "['0000000000000000000000000000000000000000000000000000000000000000"
        "']}]\n"
        "organisations: [{name: a, guarantees: [{shape: worker, count: 1, "
        "failure_domain: d}]}]\n"
        "classes: [{name: q, kind: request, repeatable: true, deadline_ms: "
        "1}]\n"
        "services: [{name: s, organisations: [a], classes: [q]}]\n";
    struct config c CLEANUP(Config_Free);
    conf_errors errors = {};
    struct buf json CLEANUP(Buf_Free) = {};
    std::string html = page();

    ASSERT_EQ(Config_Parse(text, sizeof(text) - 1, &c, &errors), ERR_OK);
    Config_RenderJson(&c, &json);
    std::set<std::string> keys =
        matches(std::string(json.data, json.len), "\"([a-z_]+)\": ");
    EXPECT_GT(keys.size(), 25u);
    keys.erase("version"); // fixed, sent back as it came
    for (const auto &key : keys) {
        EXPECT_TRUE(std::regex_search(
            html, std::regex("\\b" + key +
                             ":\\s*(\\{\\s*type: |NAME|HASHES|WEIGHT)")))
            << key;
    }
}
