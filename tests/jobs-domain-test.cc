/* Failure domains that operators empty, in the scheduler. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Two workers in domain "a", two in "b". */
void
UseTwoDomains(Simulation &sim)
{
    sim.workers[2].domain = sim.workers[3].domain = "b";
}

struct Case {
    const char *what;
    std::set<std::string> emptied;
    int starts; /* of two tasks that take a worker each */
};

/* An operator empties domains, then jobs come. The caller's work starts where
 * no domain is emptied, waits where none is left, and a name that no worker
 * bears changes nothing. */
TEST(JobsDomain, NothingStartsWhereADomainIsEmptied)
{
    static const Case cases[] = {
        {"none", {}, 2},
        {"one of two", {"b"}, 2},
        {"the other", {"a"}, 2},
        {"both", {"a", "b"}, 0},
        {"one that nobody is in", {"c"}, 2},
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

/* Work runs in a domain when operators empty it. Its caller gets the result
 * of that run: nothing is cut, as no power is lost yet. What comes after it
 * goes elsewhere. */
TEST(JobsDomain, WhatRunsThereGoesOnToItsEnd)
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
    EXPECT_EQ(sim.Starts("a1.0.0.0"), 1) << "it was cut";
    EXPECT_EQ(sim.State("a2"), JOB_COMPLETED);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* A start is on its way, and lost, when the domain is emptied. It must not be
 * repeated there; the task starts in the other domain once the worker has
 * confirmed that the run will not begin. */
TEST(JobsDomain, AStartThatHasNotBegunIsTakenBack)
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

/* A gang stands in two domains, and one of them is emptied. Cutting one half
 * would break the other: it runs on as a whole. */
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

/* Half of a gang's starts are lost, and the domain of that half is emptied
 * before they are repeated. The second half is not sent: the gang starts as a
 * whole where it may. */
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

/* The owner ends right after a domain was emptied. Its successor, which reads
 * the rows and the operators' table, sends nothing there either. */
TEST(JobsDomain, ItHoldsAfterATakeover)
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

/* While a domain is emptied, a worker whose domain nobody knows might stand in
 * it: it gets nothing until the domain is taken back. */
TEST(JobsDomain, AWorkerOfAnUnknownDomainWaitsToo)
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

/* Guaranteed work evicts other work outside the emptied domain, and none in
 * it, where the room would be of no use to it. */
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

TEST(JobsDomain, TooManyAtOnceAreRefusedAndTheOthersHold)
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
