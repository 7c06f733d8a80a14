// The programs must accept every file under examples/.
#include "config.h"

#include <gtest/gtest.h>

#include <string>

namespace {

std::string
render(const conf_errors &errors, const std::string &file)
{
    struct buf out = {};
    Buf_AppendStr(&out, "");
    Conf_Render(&errors, file.c_str(), &out);
    std::string text(out.data, out.len);
    Buf_Free(&out);
    return text;
}

std::string
example(const std::string &name)
{
    return std::string(EXAMPLES) + "/" + name + ".yaml";
}

} // namespace

// Both deployments have three failure domains, 11 workers of 8 accelerators
// and four organisations. An agent's settings and the topology agree on the
// worker's location.
TEST(Examples, AreAccepted)
{
    static const char *const deployments[] = {"cairo", "manila"};

    for (std::string d : deployments) {
        struct config c CLEANUP(Config_Free);
        struct entry_settings e CLEANUP(Settings_FreeEntry);
        struct agent_settings a CLEANUP(Settings_FreeAgent);
        struct config_place place;
        conf_errors errors = {};

        EXPECT_EQ(
            Config_Load(example("configuration-" + d).c_str(), &c, &errors),
            ERR_OK)
            << render(errors, d);
        EXPECT_EQ(
            Settings_LoadEntry(example("entry-" + d).c_str(), &e, &errors),
            ERR_OK)
            << render(errors, d);
        EXPECT_EQ(
            Settings_LoadAgent(example("agent-" + d).c_str(), &a, &errors),
            ERR_OK)
            << render(errors, d);
        ASSERT_EQ(errors.count, 0);

        EXPECT_EQ(c.organisations.count, 4u);
        ASSERT_EQ(c.topology.regions.count, 1u);
        const auto *r = CONFIG_AT(c.topology.regions, config_region, 0);
        EXPECT_EQ(r->failure_domains.count, 3u);
        EXPECT_EQ(Config_FindWorker(
                      &c, (std::string(r->name) + "-w11").c_str(), &place),
                  ERR_OK);
        ASSERT_EQ(Config_FindWorker(&c, a.name, &place), ERR_OK);
        EXPECT_STREQ(place.region->name, a.region);
        EXPECT_STREQ(place.domain->name, a.failure_domain);
        EXPECT_STREQ(place.rack->name, a.rack);
        EXPECT_EQ(place.worker->accelerators, a.accelerators);
        const auto *u = CONFIG_AT(a.services, upstream_settings, 0);
        EXPECT_NE(Config_FindService(&c, u->name), nullptr);
        EXPECT_EQ(u->slots, 8);
        EXPECT_EQ(u->connections, 64);
        const auto *o = CONFIG_AT(c.organisations, config_organisation, 0);
        std::string token = std::string("example-token-") + o->name;
        EXPECT_EQ(Config_OrganisationOfToken(&c, token.c_str()), o);
    }
}
