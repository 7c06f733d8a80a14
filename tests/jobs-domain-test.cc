/* Tests of the scheduler with failure domains that operators empty. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Puts two workers into domain "a" and two into "b". */
void
UseTwoDomains(Simulation &sim)
{
    sim.workers[2].domain = sim.workers[3].domain = "b";
}

struct Case {
    const char *what;
    std::set<std::string> emptied;
    int starts; /* expected starts of two tasks that need a worker each */
};

/* Jobs arrive after operators emptied domains. They must start where no domain
 * is emptied and wait where none is left; emptying a domain that no worker is
 * in must change nothing. */
TEST(JobsDomain, NothingStartsWhereADomainIsEmptied)
{
    static const Case cases[] = {
        {"none", {}, 2},
        {"one of two", {"b"}, 2},
        {"the other", {"a"}, 2},
        {"both", {"a", "b"}, 0},
        {"one without workers", {"c"}, 2},
    };

    for (const Case &c : cases) {
        Simulation sim(4);

        UseTwoDomains(sim);
        sim.behaviours["a1"].work_ms = 60000;
        sim.Ticks(5);
        sim.EmptyDomains(c.emptied);
        sim.Submit(sim.Spec("a1", 2, 8));
        sim.Ticks(50);
        EXPECT_EQ(sim.Starts("a1.0.0.0") + sim.Starts("a1.0.0.1"), c.starts)
            << c.what;
        EXPECT_EQ(sim.HasEvent("job_waits", "domain_emptied"), c.starts == 0)
            << c.what;
        EXPECT_TRUE(sim.violations.empty()) << c.what << sim.violations[0];
    }
}

/* A domain is emptied while a run is there. The run must continue to its end,
 * as no power is lost yet, and later runs must go elsewhere. */
TEST(JobsDomain, RunsInAnEmptiedDomainContinueToTheirEnd)
{
    Simulation sim(2);

    sim.workers[1].domain = "b";
    sim.behaviours["a1"].work_ms = 2000;
    sim.Submit(sim.Spec("a1", 1, 8));
    sim.Ticks(20);
    std::string there = sim.WorkerOf("a1.0.0.0")->domain;
    sim.EmptyDomains({there});
    sim.Submit(sim.Spec("a2", 2, 4));
    sim.Ticks(200);
    EXPECT_EQ(sim.State("a1"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("a1.0.0.0"), 1) << "the run was stopped";
    EXPECT_EQ(sim.State("a2"), JOB_COMPLETED);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* The order of a start is lost before its domain is emptied. It must not be
 * repeated there; the task must start in the other domain once the worker has
 * confirmed that the run will not begin. */
TEST(JobsDomain, AStartThatHasNotBegunIsStopped)
{
    Simulation sim(2);

    sim.workers[1].domain = "b";
    sim.Ticks(5);
    sim.drop_orders = 1;
    sim.Submit(sim.Spec("a1", 1, 8));
    sim.Tick();
    Worker *first = sim.WorkerOf("a1.0.0.0");
    EXPECT_EQ(first, nullptr) << "the order was not lost";
    for (const char *domain : {"a", "b"}) {
        sim.EmptyDomains({domain});
        sim.Ticks(30);
    }
    sim.EmptyDomains({});
    sim.Ticks(100);
    EXPECT_EQ(sim.State("a1"), JOB_COMPLETED);
    EXPECT_TRUE(sim.HasEvent("run_stopped", "domain_emptied"));
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* A gang runs in two domains, and one of them is emptied. Stopping the members
 * there would break the others, so the gang must run on. */
TEST(JobsDomain, AGangInTwoDomainsIsNotCut)
{
    Simulation sim(2);
    struct jobs_spec s = sim.Spec("g1", 2, 8);

    sim.workers[1].domain = "b";
    s.steps[0].gang = true;
    sim.behaviours["g1"].gang = 2;
    sim.behaviours["g1"].work_ms = 2000;
    sim.Submit(s);
    sim.Ticks(20);
    sim.EmptyDomains({"b"});
    sim.Ticks(200);
    EXPECT_EQ(sim.State("g1"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("g1.0.0.0"), 1);
    EXPECT_EQ(sim.Starts("g1.0.0.1"), 1);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* One start of a gang is lost, and its domain is emptied before the start is
 * repeated. It must not be sent any more: the gang must start as a whole in
 * the other domain. */
TEST(JobsDomain, NoSecondHalfOfAGangIsSentThere)
{
    Simulation sim(3);
    struct jobs_spec s = sim.Spec("g1", 2, 8);

    sim.workers[1].domain = sim.workers[2].domain = "b";
    s.steps[0].gang = true;
    sim.behaviours["g1"].gang = 2;
    sim.Submit(s);
    sim.Ticks(3);
    sim.drop_orders = 1;
    sim.Ticks(2);
    sim.EmptyDomains({"a"});
    sim.Ticks(300);
    EXPECT_EQ(sim.State("g1"), JOB_COMPLETED);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* The owner ends just after a domain was emptied. The next owner, which reads
 * the rows and the operators' table, must start nothing there either. */
TEST(JobsDomain, DomainsStayEmptiedAfterATakeover)
{
    Simulation sim(2);

    sim.workers[1].domain = "b";
    sim.Ticks(5);
    sim.EmptyDomains({"a"});
    sim.TakeOver();
    sim.Submit(sim.Spec("a1", 3, 8));
    sim.Ticks(300);
    EXPECT_EQ(sim.State("a1"), JOB_COMPLETED);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* While any domain is emptied, a worker without a known domain might be in it.
 * It must get nothing until the domain is used again. */
TEST(JobsDomain, AWorkerOfAnUnknownDomainGetsNothing)
{
    Simulation sim(1);

    sim.workers[0].domain = "";
    sim.Ticks(5);
    sim.EmptyDomains({"b"});
    sim.Submit(sim.Spec("a1", 1, 1));
    sim.Ticks(50);
    EXPECT_EQ(sim.Starts("a1.0.0.0"), 0);
    sim.EmptyDomains({});
    sim.Ticks(50);
    EXPECT_EQ(sim.Starts("a1.0.0.0"), 1);
}

/* Guaranteed work must evict other work only outside the emptied domain, as it
 * can't use the room inside. */
TEST(JobsDomain, GuaranteedWorkMakesRoomOnlyWhereItMayStart)
{
    Simulation sim(2, "urgent:0:3 batch:2:3");

    sim.workers[1].domain = "b";
    sim.behaviours["low"].work_ms = 60000;
    sim.Submit(sim.Spec("low", 2, 8, "batch"));
    sim.Ticks(20);
    std::string kept = "low.0.0.0", given = "low.0.0.1";
    if (sim.WorkerOf(kept)->domain != "b") {
        std::swap(kept, given);
    }
    sim.config.organisation_count = 1;
    sim.config.organisations = static_cast<struct jobs_organisation *>(
        Mem_Zero(1, sizeof(struct jobs_organisation)));
    Str_Copy(sim.config.organisations[0].name, NAME_SIZE, "t");
    sim.config.organisations[0].guaranteed = 8;
    struct jobs_spec top = sim.Spec("top", 1, 8, "urgent");
    Str_Copy(top.organisation, NAME_SIZE, "t");
    sim.EmptyDomains({"b"});
    sim.Submit(top);
    sim.Ticks(150);
    EXPECT_EQ(sim.State("top"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts(kept), 1) << "stopped for nothing";
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

TEST(JobsDomain, GuaranteesAreComparedWithWhatIsLeft)
{
    Simulation sim(4);
    int64_t usable, guaranteed;

    UseTwoDomains(sim);
    sim.config.organisation_count = 2;
    sim.config.organisations = static_cast<struct jobs_organisation *>(
        Mem_Zero(2, sizeof(struct jobs_organisation)));
    sim.config.organisations[0].guaranteed = 8;
    sim.config.organisations[1].guaranteed = 16;
    sim.Ticks(5);
    Jobs_Guarantees(sim.scheduler, &usable, &guaranteed);
    EXPECT_EQ(usable, 32);
    EXPECT_EQ(guaranteed, 24);
    sim.EmptyDomains({"b"});
    Jobs_Guarantees(sim.scheduler, &usable, &guaranteed);
    EXPECT_EQ(usable, 16);
    EXPECT_EQ(guaranteed, 24);
}

TEST(JobsDomain, TooManyDomainsAreRefusedAndTheOthersStay)
{
    struct jobs_domains d = {};

    for (int i = 0; i < JOBS_DOMAINS_MAX; i++) {
        EXPECT_EQ(JobsDomains_Set(&d, std::to_string(i).c_str(), true),
                  ERR_OK);
    }
    EXPECT_EQ(JobsDomains_Set(&d, "more", true), ERR_NOMEM);
    EXPECT_TRUE(JobsDomains_Has(&d, "0"));
    EXPECT_FALSE(JobsDomains_Has(&d, "more"));
}

} /* namespace */
