/* Failure domains that operators empty, in the scheduler. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

/* Two workers in domain "a", two in "b". */
void
TwoDomains(World &w)
{
    w.workers[2].domain = w.workers[3].domain = "b";
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
        World w(4);

        TwoDomains(w);
        w.natures["a1"].work_ms = 60000;
        w.Turns(5);
        w.Empty(c.emptied);
        w.Submit(w.Spec("a1", 2, 8));
        w.Turns(50);
        EXPECT_EQ(w.Starts("a1.0.0.0") + w.Starts("a1.0.0.1"), c.starts)
            << c.what;
        EXPECT_EQ(w.Happened("job_waits", "domain_emptied"), c.starts == 0)
            << c.what;
        EXPECT_TRUE(w.broken.empty()) << c.what << w.broken[0];
    }
}

/* Work runs in a domain when operators empty it. Its caller gets the result
 * of that run: nothing is cut, as no power is lost yet. What comes after it
 * goes elsewhere. */
TEST(JobsDomain, WhatRunsThereGoesOnToItsEnd)
{
    World w(2);

    w.workers[1].domain = "b";
    w.natures["a1"].work_ms = 2000;
    w.Submit(w.Spec("a1", 1, 8));
    w.Turns(20);
    std::string there = w.WorkerOf("a1.0.0.0")->domain;
    w.Empty({there});
    w.Submit(w.Spec("a2", 2, 4));
    w.Turns(200);
    EXPECT_EQ(w.State("a1"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("a1.0.0.0"), 1) << "it was cut";
    EXPECT_EQ(w.State("a2"), JOB_COMPLETED);
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

/* A start is on its way, and lost, when the domain is emptied. It must not be
 * repeated there; the task starts in the other domain once the worker has
 * confirmed that the run will not begin. */
TEST(JobsDomain, AStartThatHasNotBegunIsTakenBack)
{
    World w(2);

    w.workers[1].domain = "b";
    w.Turns(5);
    w.lose_orders = 1;
    w.Submit(w.Spec("a1", 1, 8));
    w.Turn();
    Worker *first = w.WorkerOf("a1.0.0.0");
    EXPECT_EQ(first, nullptr) << "the order was not lost";
    for (const char *domain : {"a", "b"}) {
        w.Empty({domain});
        w.Turns(30);
    }
    w.Empty({});
    w.Turns(100);
    EXPECT_EQ(w.State("a1"), JOB_COMPLETED);
    EXPECT_TRUE(w.Happened("run_stopped", "domain_emptied"));
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

/* A gang stands in two domains, and one of them is emptied. Cutting one half
 * would break the other: it runs on as a whole. */
TEST(JobsDomain, AGangInTwoDomainsIsNotCut)
{
    World w(2);
    struct jobs_spec s = w.Spec("g1", 2, 8);

    w.workers[1].domain = "b";
    s.steps[0].gang = true;
    w.natures["g1"].gang = 2;
    w.natures["g1"].work_ms = 2000;
    w.Submit(s);
    w.Turns(20);
    w.Empty({"b"});
    w.Turns(200);
    EXPECT_EQ(w.State("g1"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("g1.0.0.0"), 1);
    EXPECT_EQ(w.Starts("g1.0.0.1"), 1);
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

/* Half of a gang's starts are lost, and the domain of that half is emptied
 * before they are repeated. The second half is not sent: the gang starts as a
 * whole where it may. */
TEST(JobsDomain, NoSecondHalfOfAGangIsSentThere)
{
    World w(3);
    struct jobs_spec s = w.Spec("g1", 2, 8);

    w.workers[1].domain = w.workers[2].domain = "b";
    s.steps[0].gang = true;
    w.natures["g1"].gang = 2;
    w.Submit(s);
    w.Turns(3);
    w.lose_orders = 1;
    w.Turns(2);
    w.Empty({"a"});
    w.Turns(300);
    EXPECT_EQ(w.State("g1"), JOB_COMPLETED);
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

/* The owner ends right after a domain was emptied. Its successor, which reads
 * the rows and the operators' table, sends nothing there either. */
TEST(JobsDomain, ItHoldsAfterATakeover)
{
    World w(2);

    w.workers[1].domain = "b";
    w.Turns(5);
    w.Empty({"a"});
    w.TakeOver();
    w.Submit(w.Spec("a1", 3, 8));
    w.Turns(300);
    EXPECT_EQ(w.State("a1"), JOB_COMPLETED);
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

/* While a domain is emptied, a worker whose domain nobody knows might stand in
 * it: it gets nothing until the domain is taken back. */
TEST(JobsDomain, AWorkerOfAnUnknownDomainWaitsToo)
{
    World w(1);

    w.workers[0].domain = "";
    w.Turns(5);
    w.Empty({"b"});
    w.Submit(w.Spec("a1", 1, 1));
    w.Turns(50);
    EXPECT_EQ(w.Starts("a1.0.0.0"), 0);
    w.Empty({});
    w.Turns(50);
    EXPECT_EQ(w.Starts("a1.0.0.0"), 1);
}

/* Guaranteed work evicts other work outside the emptied domain, and none in
 * it, where the room would be of no use to it. */
TEST(JobsDomain, GuaranteedWorkMakesRoomOnlyWhereItMayStart)
{
    World w(2, "urgent:0:3 batch:2:3");

    w.workers[1].domain = "b";
    w.natures["low"].work_ms = 60000;
    w.Submit(w.Spec("low", 2, 8, "batch"));
    w.Turns(20);
    std::string kept = "low.0.0.0", given = "low.0.0.1";
    if (w.WorkerOf(kept)->domain != "b") {
        std::swap(kept, given);
    }
    w.config.organisation_count = 1;
    w.config.organisations = static_cast<struct jobs_organisation *>(
        Mem_Zero(1, sizeof(struct jobs_organisation)));
    Str_Copy(w.config.organisations[0].name, NAME_SIZE, "t");
    w.config.organisations[0].guaranteed = 8;
    struct jobs_spec top = w.Spec("top", 1, 8, "urgent");
    Str_Copy(top.organisation, NAME_SIZE, "t");
    w.Empty({"b"});
    w.Submit(top);
    w.Turns(150);
    EXPECT_EQ(w.State("top"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts(kept), 1) << "stopped for nothing";
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

TEST(JobsDomain, GuaranteesAreComparedWithWhatIsLeft)
{
    World w(4);
    int64_t usable, guaranteed;

    TwoDomains(w);
    w.config.organisation_count = 2;
    w.config.organisations = static_cast<struct jobs_organisation *>(
        Mem_Zero(2, sizeof(struct jobs_organisation)));
    w.config.organisations[0].guaranteed = 8;
    w.config.organisations[1].guaranteed = 16;
    w.Turns(5);
    Jobs_Guarantees(w.scheduler, &usable, &guaranteed);
    EXPECT_EQ(usable, 32);
    EXPECT_EQ(guaranteed, 24);
    w.Empty({"b"});
    Jobs_Guarantees(w.scheduler, &usable, &guaranteed);
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
