#include "console.h"
#include "config.h"

#include <gtest/gtest.h>

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

// The identifiers found between the strings before and after.
std::set<std::string>
identifiers_between(const std::string &text, const std::string &before,
                    const std::string &after)
{
    std::set<std::string> found;
    for (size_t at = text.find(before); at != std::string::npos;
         at = text.find(before, at)) {
        at += before.size();
        size_t end =
            text.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-", at);
        if (end > at && text.compare(end, after.size(), after) == 0) {
            found.insert(text.substr(at, end - at));
        }
    }
    return found;
}

// Replaces each run of blanks and line ends by one blank.
std::string
collapse_blanks(const std::string &text)
{
    std::string out;
    for (char c : text) {
        bool blank = c == ' ' || c == '\n';
        if (!blank || out.empty() || out.back() != ' ') {
            out += blank ? ' ' : c;
        }
    }
    return out;
}

// True if the page's schema has an entry for the key.
bool
has_field(const std::string &html, const std::string &key)
{
    for (const char *entry :
         {": {type: ", ": { type: ", ": NAME", ": HASHES", ": WEIGHT"}) {
        if (html.find(" " + key + entry) != std::string::npos ||
            html.find("{" + key + entry) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST(Console, PageIsCompleteAndSelfContained)
{
    std::string text = page();

    EXPECT_EQ(text.find("<!DOCTYPE html>\n"), 0u);
    EXPECT_NE(text.find("</html>\n"), std::string::npos);
    for (const char *forbidden :
         {"http://", "https://", "src=", "<link", "@import", "url(",
          "<!-- include", "innerHTML", "localStorage", "sessionStorage",
          "document.cookie"}) {
        EXPECT_EQ(text.find(forbidden), std::string::npos) << forbidden;
    }
}

// A label or script that refers to a missing id fails silently in the browser.
TEST(Console, EveryReferencedIdExists)
{
    std::string text = page();
    static const struct {
        const char *before;
        const char *after;
    } references[] = {
        {"$('", "')"},
        {" for=\"", "\""},
        {"aria-labelledby=\"", "\""},
        {"aria-describedby=\"", "\""},
        {"href=\"#", "\""},
    };
    std::set<std::string> ids = identifiers_between(text, " id=\"", "\"");

    for (const auto &r : references) {
        std::set<std::string> named =
            identifiers_between(text, r.before, r.after);
        EXPECT_FALSE(named.empty()) << r.before;
        for (const auto &id : named) {
            EXPECT_TRUE(ids.count(id)) << r.before << id;
        }
    }
}

// Every key of the configuration document has a form field. A key without one
// would be sent back without being shown, and could not be edited.
TEST(Console, EveryDocumentKeyHasAFormField)
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
    std::string html = collapse_blanks(page());

    ASSERT_EQ(Config_Parse(text, sizeof(text) - 1, &c, &errors), ERR_OK);
    Config_RenderJson(&c, &json);
    std::set<std::string> keys =
        identifiers_between(std::string(json.data, json.len), "\"", "\": ");
    EXPECT_GT(keys.size(), 25u);
    keys.erase("version"); // fixed: the page sends it back unchanged
    for (const auto &key : keys) {
        EXPECT_TRUE(has_field(html, key)) << key;
    }
}
