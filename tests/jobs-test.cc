/* The scheduler against a world of workers: one case for each rule, and
 * for each failure that it answers. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

TEST(Jobs, OneTaskRunsOnceAndItsEndIsAcknowledgedAfterItsRow)
{
    World w(1);

    w.Submit(w.Spec("a1", 1, 1));
    w.Turns(100);
    EXPECT_EQ(w.State("a1"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("a1.0.0.0"), 1);
    EXPECT_TRUE(w.workers[0].ended.empty());
    EXPECT_TRUE(w.broken.empty());
}

TEST(Jobs, StepsWaitForThoseTheyComeAfter)
{
    World w(2);
    struct jobs_spec s = w.Spec("b2", 2, 1);

    s.step_count = 2;
    s.steps[1] = s.steps[0];
    s.steps[1].count = 1;
    s.steps[1].after[0] = 0;
    s.steps[1].after_count = 1;
    w.natures["b2.0.0.1"].work_ms = 2000;
    w.Submit(s);
    w.Turns(60);
    EXPECT_EQ(w.Starts("b2.0.1.0"), 0) << "one of step 0 still runs";
    w.Turns(120);
    EXPECT_EQ(w.State("b2"), JOB_COMPLETED);
}

TEST(Jobs, OccurrencesStartWhenTheyAreDue)
{
    World w(1);
    struct jobs_spec s = w.Spec("c3", 1, 1);

    s.repetitions = 2;
    s.first_due_ms = w.now + 1000;
    s.interval_ms = 500;
    w.Submit(s);
    w.Turns(40);
    EXPECT_EQ(w.Starts("c3.0.0.0"), 0);
    w.Turns(20);
    EXPECT_EQ(w.Starts("c3.0.0.0"), 1);
    w.Turns(150);
    EXPECT_EQ(w.Starts("c3.1.0.0"), 1);
    EXPECT_EQ(w.State("c3"), JOB_COMPLETED);
}

/* A task fails at each run. The caller sees "failed" after as many runs as
 * its queue allows, not one more: a further one would spend what the caller
 * did not grant. */
TEST(Jobs, AttemptsAreBounded)
{
    World w(3, "batch:2:3");

    w.natures["d4"].failures = 100;
    w.Submit(w.Spec("d4", 1, 1));
    w.Turns(600);
    EXPECT_EQ(w.State("d4"), JOB_FAILED);
    EXPECT_EQ(w.Starts("d4.0.0.0"), 3);
}

/* One member of a gang fails: the others break, which are no failures of
 * their own. The gang runs again as a whole, under one new run number. */
TEST(Jobs, AGangFailsAndRunsAgainAsAWhole)
{
    World w(2, "batch:2:2");
    struct jobs_spec s = w.Spec("e5", 3, 4);

    s.steps[0].gang = true;
    w.natures["e5"].gang = 3;
    w.natures["e5"].failures = 1;
    w.Submit(s);
    w.Turns(250);
    EXPECT_EQ(w.State("e5"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("e5.0.0.0"), 2);
    EXPECT_EQ(w.Starts("e5.0.0.2"), 2);
}

/* A gang that does not fit whole must not start in part: its members would
 * hold accelerators and wait for the others until the worker ends them. */
TEST(Jobs, AGangWaitsUntilAllOfItFits)
{
    World w(2);
    struct jobs_spec s = w.Spec("f6", 3, 8);

    s.steps[0].gang = true;
    w.natures["f6"].gang = 3;
    w.Submit(s);
    w.Turns(50);
    EXPECT_EQ(w.Starts("f6.0.0.0"), 0);
}

/* The first order is lost on the way. The task starts by the second one, and
 * once: both name the same run. */
TEST(Jobs, LostOrdersAreSentAgain)
{
    World w(1);

    w.lose_orders = 1;
    w.Submit(w.Spec("a7", 1, 1));
    w.Turns(100);
    EXPECT_EQ(w.State("a7"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("a7.0.0.0"), 1);
}

/* A worker leaves a start unanswered and carries it out 3 s later. The
 * scheduler has stopped that run before it placed the next, so the late start
 * is refused; without the stop the task would run twice at once. */
TEST(Jobs, AStartThatIsCarriedOutLateDoesNotRunBesideTheNext)
{
    World w(2);

    w.natures["a8"].work_ms = 5000;
    w.late_ms = 3000;
    w.Submit(w.Spec("a8", 1, 1));
    w.Turn();
    w.late_ms = 0;
    w.Turns(600);
    EXPECT_EQ(w.State("a8"), JOB_COMPLETED);
    EXPECT_TRUE(w.broken.empty()) << w.broken[0];
}

/* A worker can't be reached and runs on. Until its lease is over by its own
 * slow clock its task must not start elsewhere; then it must. */
TEST(Jobs, AWorkerOutOfReachIsWaitedForUntilItsLeaseIsOver)
{
    World w(2);

    w.natures["b9"].work_ms = 60000;
    w.Submit(w.Spec("b9", 1, 1));
    w.Turns(10);
    w.WorkerOf("b9.0.0.0")->reachable = false;
    w.Turns(200);
    EXPECT_EQ(w.Starts("b9.0.0.0"), 1) << "the lease may still hold";
    w.Turns(150);
    EXPECT_EQ(w.Starts("b9.0.0.0"), 2);
    EXPECT_TRUE(w.broken.empty());
}

/* The machine has another lifetime of its worker: what ran there is gone at
 * once, and nothing has to be waited for. */
TEST(Jobs, AnotherLifetimeEndsTheRunsOfTheOneBefore)
{
    World w(1);

    w.natures["c1"].work_ms = 3000;
    w.Submit(w.Spec("c1", 1, 1));
    w.Turns(10);
    w.Reborn(0);
    w.Turns(20);
    EXPECT_EQ(w.Starts("c1.0.0.0"), 2);
}

/* Another owner takes over while a task runs. It reads the run from its row,
 * hears that it runs, and lets it end; it does not start it again. */
TEST(Jobs, ATakeoverLeavesRunsAlone)
{
    World w(2);

    w.natures["d2"].work_ms = 3000;
    w.Submit(w.Spec("d2", 1, 1));
    w.Turns(20);
    w.TakeOver();
    w.Turns(200);
    EXPECT_EQ(w.State("d2"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("d2.0.0.0"), 1);
}

/* A worker is lost together with the owner. The next owner waits for as long
 * as the one before may have granted leases without the store, and a lease
 * more; once it knows that one ended, only for the lease. */
TEST(Jobs, AWorkerLostWithTheOwnerIsWaitedForNoLongerThanNeeded)
{
    World w(2);

    w.natures["d8"].work_ms = 60000;
    w.Submit(w.Spec("d8", 1, 1));
    w.Turns(10);
    w.WorkerOf("d8.0.0.0")->reachable = false;
    w.TakeOver(false);
    w.Turns(400);
    EXPECT_EQ(w.Starts("d8.0.0.0"), 1) << "the owner before may still grant";
    Jobs_OwnerEnded(w.scheduler, w.now + w.limits.lease_ms);
    w.Turns(350);
    EXPECT_EQ(w.Starts("d8.0.0.0"), 2);
    EXPECT_TRUE(w.broken.empty());
}

/* A task ends as done while its worker can't be reached, and the worker leaves
 * before it can. Its agent tells that end together with the leaving; without
 * it the task would run once more, and what comes after it would wait. */
TEST(Jobs, TheLastEndsOfAWorkerThatLeftAreTaken)
{
    World w(2);
    struct jobs_ended end = {};

    w.Submit(w.Spec("d9", 1, 1));
    w.Turns(10);
    Worker *there = w.WorkerOf("d9.0.0.0");
    there->reachable = false;
    w.Turns(60);
    there->up = false;
    end.number = 1;
    Str_Copy(end.task, sizeof(end.task), "d9.0.0.0");
    end.run = 1;
    end.how = END_DONE;
    Jobs_WorkerLeft(w.scheduler, there->id.c_str(), &end, 1, w.now);
    w.Turns(5);
    EXPECT_EQ(w.State("d9"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("d9.0.0.0"), 1);
}

/* An operator takes a queue away while a job of it waits, and another owner
 * takes over, whose configuration never had that queue. What was accepted
 * still runs, on the service that its queue had. */
TEST(Jobs, AJobOutlivesItsQueue)
{
    World w(1);
    struct jobs_spec s = w.Spec("da", 1, 1);

    JobsQos_FromQueue(&w.config.queues[0], &s.qos);
    w.workers[0].draining = true;
    w.Submit(s);
    w.Turns(10);
    w.config.queue_count = 0;
    Jobs_SetConfig(w.scheduler, &w.config);
    w.TakeOver();
    w.workers[0].draining = false;
    w.Turns(100);
    EXPECT_EQ(w.State("da"), JOB_COMPLETED);
}

/* An owner is deposed and does not know; one agent hears only that owner yet,
 * and takes leases from it. The new owner must give that worker nothing: it
 * could not tell for how long a run there may go on. */
TEST(Jobs, NothingIsGivenToAWorkerThatStillObeysTheOwnerBefore)
{
    World w(1);

    w.Turns(2);
    w.workers[0].deaf = true;
    w.TakeOver(false);
    w.Submit(w.Spec("af", 1, 1));
    w.Turns(20);
    EXPECT_EQ(w.rows.count("af"), 0u); /* no run is written for it */
    w.workers[0].deaf = false;
    w.Turns(100);
    EXPECT_EQ(w.State("af"), JOB_COMPLETED);
}

/* A run is written, and then nothing that the owner writes is confirmed any
 * more. Another may have taken over: the owner must not order the start, even
 * though its row is stored; the next owner orders it. */
TEST(Jobs, NoStartIsOrderedWithoutConfirmedWrites)
{
    World w(1);

    w.Turns(2);
    w.may_start = false;
    w.Submit(w.Spec("ag", 1, 1));
    w.Turns(100);
    EXPECT_EQ(w.Starts("ag.0.0.0"), 0);
    w.may_start = true;
    w.TakeOver(false);
    w.Turns(200);
    EXPECT_EQ(w.State("ag"), JOB_COMPLETED);
}

/* The owner ends between writing a run and ordering it. The next one orders
 * that same run: it is either there already, or it starts now. */
TEST(Jobs, ARunThatWasWrittenAndNotOrderedIsOrderedByTheNextOwner)
{
    World w(1);

    w.Submit(w.Spec("e3", 1, 1));
    w.Turn();
    w.starts.clear();
    w.workers[0].runs.clear(); /* as if the order had never left */
    w.TakeOver();
    w.Turns(120);
    EXPECT_EQ(w.State("e3"), JOB_COMPLETED);
}

/* The store is away. Nothing new starts, as a run must be written before it
 * is ordered, and ends are not acknowledged; both come to pass afterwards. */
TEST(Jobs, WhileNothingCanBeWrittenNothingStartsAndNoEndIsAcknowledged)
{
    World w(1);

    w.Submit(w.Spec("f4", 1, 4));
    w.Turns(10);
    w.store_up = false;
    w.Submit(w.Spec("f5", 1, 4));
    w.Turns(100);
    EXPECT_EQ(w.Starts("f5.0.0.0"), 0);
    EXPECT_EQ(w.workers[0].ended.size(), 1u);
    w.store_up = true;
    w.Turns(100);
    EXPECT_EQ(w.State("f4"), JOB_COMPLETED);
    EXPECT_EQ(w.State("f5"), JOB_COMPLETED);
    EXPECT_TRUE(w.workers[0].ended.empty());
}

TEST(Jobs, ACancelledJobIsStopped)
{
    World w(1);

    w.natures["a5"].work_ms = 60000;
    w.Submit(w.Spec("a5", 2, 1));
    w.Turns(10);
    w.Cancel("a5");
    w.Turns(20);
    EXPECT_EQ(w.State("a5"), JOB_CANCELLED);
    EXPECT_TRUE(w.workers[0].runs.empty());
}

/* An end that says "done" of a run that its job's cancelling overtook, or of
 * a job that is long gone, is acknowledged too: a worker keeps each end until
 * then, and lists at most 500. */
TEST(Jobs, EndsWithoutConsequenceAreAcknowledged)
{
    World w(1);

    w.workers[0].ended.push_back(
        {++w.workers[0].ends, "99.0.0.0", 1, END_DONE, ""});
    w.Turns(5);
    EXPECT_TRUE(w.workers[0].ended.empty());
}

/* A run that no row knows is stopped: it holds room, and nobody waits for
 * what it brings. */
TEST(Jobs, RunsThatNobodyWantsAreStopped)
{
    World w(1);

    w.workers[0].runs.push_back({"99.0.0.0", 1, w.now, 60000, ""});
    w.workers[0].until = w.now + 60000;
    w.Turns(10);
    EXPECT_TRUE(w.workers[0].runs.empty());
}

/* A job of 8 accelerators whose caller estimates what it takes. */
struct jobs_spec
Wide(World &w, const std::string &id, const std::string &queue, int64_t ms)
{
    struct jobs_spec s = w.Spec(id, 1, 8, queue);

    s.steps[0].estimate_ms = w.natures[id].work_ms = ms;
    return s;
}

/* Urgent work finds all accelerators taken, by runs that take long still.
 * Lower priorities give way at once, the cheapest of them: what has just
 * begun, before what has run for long. */
TEST(Jobs, UrgentWorkEvictsTheCheapest)
{
    World w(2, "urgent:0:3 batch:2:3");

    w.Submit(Wide(w, "aa", "batch", 60000));
    w.Turns(100);
    w.Submit(Wide(w, "bb", "batch", 60000));
    w.Turns(20);
    w.Submit(Wide(w, "cc", "urgent", 3000));
    w.Turns(20);
    EXPECT_NE(w.WorkerOf("cc.0.0.0"), nullptr);
    EXPECT_NE(w.WorkerOf("aa.0.0.0"), nullptr);
    EXPECT_EQ(w.WorkerOf("bb.0.0.0"), nullptr);
    EXPECT_TRUE(w.Happened("run_stopped", "gives_way"));
    EXPECT_EQ(w.gave_way_to, std::set<std::string>{"cc"});
}

/* Urgent work finds all accelerators taken by a run that ends while it can
 * wait and still be in time. Stopping that run would throw its work away for
 * nothing. */
TEST(Jobs, UrgentWorkWaitsForWhatEndsInTime)
{
    World w(1, "urgent:0:3 batch:2:3");

    w.Submit(Wide(w, "aa", "batch", 4000));
    w.Turns(175); /* half a second of it is left */
    w.Submit(Wide(w, "cc", "urgent", 1000));
    w.Turns(250);
    EXPECT_EQ(w.Starts("aa.0.0.0"), 1);
    EXPECT_FALSE(w.Happened("run_stopped", "gives_way"));
    EXPECT_EQ(w.State("cc"), JOB_COMPLETED);
}

/* Urgent work of a second finds a run that has worked for four. To stop it
 * would throw away more than the urgent work itself is; room is kept for it
 * instead, and what comes later and is less urgent does not take it. */
TEST(Jobs, UrgentWorkThrowsAwayNoMoreThanItsOwn)
{
    World w(1, "urgent:0:3 batch:2:3");

    w.Submit(Wide(w, "aa", "batch", 8000));
    w.Turns(200);
    w.Submit(Wide(w, "cc", "urgent", 1000));
    w.Submit(Wide(w, "bb", "batch", 1000));
    w.Turns(500);
    EXPECT_EQ(w.Starts("aa.0.0.0"), 1);
    EXPECT_EQ(w.State("cc"), JOB_COMPLETED);
    EXPECT_EQ(w.State("bb"), JOB_COMPLETED);
    EXPECT_FALSE(w.Happened("run_stopped", "gives_way"));
}

/* Urgent work of a second finds a run that takes hours, none of it saved. It
 * waits, but not for hours: what it may throw away grows with its waiting. */
TEST(Jobs, UrgentWorkDoesNotWaitForHours)
{
    World w(1, "urgent:0:3 batch:2:3");

    w.Submit(Wide(w, "aa", "batch", 3600000));
    w.Turns(200);
    w.Submit(Wide(w, "cc", "urgent", 1000));
    w.Turns(2000); /* 40 s */
    EXPECT_EQ(w.State("cc"), JOB_COMPLETED);
    EXPECT_TRUE(w.Happened("run_stopped", "gives_way"));
}

/* An urgent task has failed on one worker, by chance; the other one is full of
 * work that is dear to stop. The first one has room: the task goes back there
 * rather than wait for the other. */
TEST(Jobs, UrgentWorkGoesBackWhereItFailedRatherThanWait)
{
    World w(2, "urgent:0:3 batch:2:3");

    w.workers[0].draining = true;
    w.Submit(Wide(w, "aa", "batch", 20000));
    w.Turns(20);
    w.workers[0].draining = false;
    w.natures["cc"].failures = 1;
    w.Submit(Wide(w, "cc", "urgent", 1000));
    w.Turns(200);
    EXPECT_EQ(w.State("cc"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("cc.0.0.0"), 2);
    EXPECT_EQ(w.Starts("aa.0.0.0"), 1);
}

/* Of two jobs that wait, one is late already, whatever is done. The one that
 * can still be in time goes first, or both are late; the late one follows. */
TEST(Jobs, WhatCanBeInTimeGoesBeforeWhatIsLate)
{
    World w(1, "batch:2:3");

    w.Submit(Wide(w, "aa", "batch", 6000));
    w.Turns(20);
    w.Submit(Wide(w, "bb", "batch", 1000)); /* its objective: 4 s */
    w.Turns(200);
    w.Submit(Wide(w, "cc", "batch", 1000));
    w.Turns(120);
    EXPECT_EQ(w.State("cc"), JOB_RUNNING);
    EXPECT_EQ(w.State("bb"), JOB_QUEUED);
    w.Turns(150);
    EXPECT_EQ(w.State("bb"), JOB_COMPLETED);
}

TEST(Jobs, WorkOfLowerPriorityEvictsNothing)
{
    World w(1, "normal:1:3 batch:2:3");

    w.natures["aa"].work_ms = 60000;
    w.Submit(w.Spec("aa", 1, 8));
    w.Turns(20);
    w.Submit(w.Spec("bb", 1, 8, "normal"));
    w.Turns(50);
    EXPECT_NE(w.WorkerOf("aa.0.0.0"), nullptr);
}

/* One organisation's first-priority work fills everything, beyond what it is
 * guaranteed. Another's guaranteed job must begin within its bound: it evicts
 * what is beyond a guarantee, though that has the first priority too. */
TEST(Jobs, AGuaranteeIsReclaimedFromFirstPriorityWorkBeyondIts)
{
    World w(2, "urgent:0:3");
    struct jobs_spec big = w.Spec("aa", 2, 8, "urgent");
    struct jobs_spec small = w.Spec("bb", 1, 8, "urgent");

    w.config.organisation_count = 2;
    w.config.organisations = static_cast<struct jobs_organisation *>(
        Mem_Zero(2, sizeof(struct jobs_organisation)));
    Str_Copy(w.config.organisations[0].name, NAME_SIZE, "big");
    Str_Copy(w.config.organisations[1].name, NAME_SIZE, "small");
    w.config.organisations[0].guaranteed = 8;
    w.config.organisations[1].guaranteed = 8;
    Str_Copy(big.organisation, NAME_SIZE, "big");
    Str_Copy(small.organisation, NAME_SIZE, "small");
    w.natures["aa"].work_ms = 60000;
    w.Submit(big);
    w.Turns(20);
    w.Submit(small);
    w.Turns(55); /* 1.1 s, and the bound is 2.7 s */
    EXPECT_EQ(w.Starts("bb.0.0.0"), 1);
}

/* A worker fails all that it starts. After two failures in a row it is left
 * alone for a while, so that jobs don't run out of attempts on it. */
TEST(Jobs, AWorkerThatFailsEverythingIsLeftAlone)
{
    World w(2, "batch:2:3");

    w.workers[0].fails_all = true;
    for (int i = 0; i < 8; i++) {
        w.Submit(w.Spec("a" + std::to_string(i), 1, 2));
    }
    w.Turns(400);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(w.State("a" + std::to_string(i)), JOB_COMPLETED);
    }
    EXPECT_TRUE(w.Happened("worker_out", "fails_all"));
}

/* Tasks on one worker stand still while its health is good. They are stopped
 * and start elsewhere; without that they hold their room for ever. */
TEST(Jobs, RunsThatStandStillAreMoved)
{
    World w(2);

    w.workers[0].stands = true;
    w.workers[1].capacity.accelerators = 4;
    w.natures["b1"].work_ms = w.natures["b2"].work_ms = 2000;
    w.Submit(w.Spec("b1", 1, 4));
    w.Submit(w.Spec("b2", 1, 4));
    w.Turns(600);
    EXPECT_EQ(w.State("b1"), JOB_COMPLETED);
    EXPECT_EQ(w.State("b2"), JOB_COMPLETED);
    EXPECT_TRUE(w.Happened("run_stopped", "crawls"));
}

/* The members of a gang have unequal shares of its work. Those that are
 * through stand at 100 percent until the last one is; the gang must not be
 * taken for one that hangs, or all its work is thrown away just before it
 * ends. */
TEST(Jobs, AGangWhoseLastMemberTakesLongerIsLeftAlone)
{
    World w(6); /* as much room elsewhere as it holds */
    struct jobs_spec s = w.Spec("ab", 3, 8);

    s.steps[0].gang = true;
    w.natures["ab"] = {.work_ms = 2000, .gang = 3};
    w.natures["ab.0.0.2"] = {.work_ms = 4600, .gang = 3};
    w.Submit(s);
    w.Turns(500);
    EXPECT_EQ(w.State("ab"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("ab.0.0.0"), 1);
    EXPECT_FALSE(w.Happened("run_stopped", "crawls"));
}

/* A caller's estimate is a third of the truth. The run must be left where it
 * is: sound workers would be called slow, and work thrown away again and
 * again, for a wrong number in a form. */
TEST(Jobs, AWrongEstimateDoesNotMoveARun)
{
    World w(2);

    w.natures["c2"].work_ms = 4000;
    w.Submit(w.Spec("c2", 1, 1));
    w.Turns(300);
    EXPECT_EQ(w.State("c2"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("c2.0.0.0"), 1);
}

TEST(Jobs, ADrainingWorkerGetsNothingNew)
{
    World w(2);

    w.workers[0].draining = true;
    w.Turn();
    w.Submit(w.Spec("d3", 4, 1));
    w.Turns(10);
    EXPECT_TRUE(w.workers[0].runs.empty());
    EXPECT_EQ(w.workers[1].runs.size(), 4u);
}

/* Two services share the platform. A queue's tasks must run on the workers of
 * its own only, also while those are full and the others idle. */
TEST(Jobs, TasksRunOnTheWorkersOfTheirService)
{
    World w(2);

    w.workers[0].service = "other";
    w.Submit(w.Spec("an", 2, 8));
    w.Turns(150);
    EXPECT_EQ(w.State("an"), JOB_COMPLETED);
    EXPECT_EQ(w.workers[0].ends, 0u);
    EXPECT_EQ(w.workers[1].ends, 2u);
}

TEST(Jobs, LabelsAndSpreadAreKept)
{
    World w(3);
    struct jobs_spec s = w.Spec("e4", 3, 1);

    s.steps[0].spread = 1;
    w.Submit(s);
    w.Turns(10);
    for (const Worker &x : w.workers) {
        EXPECT_EQ(x.runs.size(), 1u);
    }
    s = w.Spec("e5", 1, 1);
    Str_Copy(s.steps[0].label, JOBS_TEXT_SIZE, "none has it");
    w.Submit(s);
    w.Turns(100);
    EXPECT_EQ(w.Starts("e5.0.0.0"), 0);
}

TEST(Jobs, AJobIsPlacedInTheRackOfItsData)
{
    World w(6);
    struct jobs_spec s = w.Spec("f1", 2, 1);

    Str_Copy(s.steps[0].rack, JOBS_TEXT_SIZE, "r1");
    w.Submit(s);
    w.Turns(5);
    EXPECT_EQ(w.WorkerOf("f1.0.0.0")->rack, "r1");
    EXPECT_EQ(w.WorkerOf("f1.0.0.1")->rack, "r1");
}

/* Long-running tasks are restarted however they end, and no number of ends
 * makes their job failed or completed. */
TEST(Jobs, LastingTasksAreRestarted)
{
    World w(1, "batch:2:2");
    struct jobs_spec s = w.Spec("a9", 1, 1);

    s.steps[0].lasting = true;
    w.natures["a9"].failures = 3;
    w.Submit(s);
    w.Turns(600);
    EXPECT_GE(w.Starts("a9.0.0.0"), 5);
    EXPECT_EQ(w.State("a9"), JOB_RUNNING);
}

/* Answers the scheduler's question: the workers with these lifetimes may.
 * Returns how many were asked about. */
size_t
Advise(World &w, const std::vector<std::string> &approved, int64_t until_ms)
{
    const struct jobs_question *asked = Jobs_Question(w.scheduler);
    std::vector<struct jobs_approval> approvals;
    struct jobs_question q = {};

    if (asked == nullptr) {
        return 0;
    }
    q = *asked;
    for (const std::string &id : approved) {
        struct jobs_approval a = {};

        Str_Copy(a.worker, sizeof(a.worker), id.c_str());
        Str_Copy(a.ticket, sizeof(a.ticket), ("may-" + id).c_str());
        approvals.push_back(a);
    }
    Jobs_AdviceReceived(w.scheduler, &q, approvals.data(), approvals.size(),
                        until_ms);
    return q.count;
}

/* Only some workers may run a step. It waits for the adviser, starts where
 * that approves and with the ticket, and nobody is asked about twice. */
TEST(Jobs, StepsThatNeedAdviceStartWhereItIsGiven)
{
    World w(4);

    w.config.queues[0].asks_advice = true;
    w.Submit(w.Spec("ak", 2, 8));
    w.Turns(20);
    EXPECT_EQ(w.Starts("ak.0.0.0"), 0);
    EXPECT_EQ(Advise(w, {"life-1", "life-3"}, w.now + 60000), 4u);
    w.Turns(3);
    EXPECT_EQ(w.Starts("ak.0.0.0") + w.Starts("ak.0.0.1"), 2);
    EXPECT_TRUE(w.workers[0].runs.empty() && w.workers[2].runs.empty());
    EXPECT_EQ(w.tickets["ak.0.0.0"].substr(0, 8), "may-life");
    EXPECT_EQ(Advise(w, {}, 0), 0u);
}

/* A ticket is over before its worker has room. It is asked for anew when there
 * is room, and not before; the worker that may not run the step is not asked
 * about again. */
TEST(Jobs, TicketsThatAreOverAreAskedForAnew)
{
    World w(2);

    w.workers[1].draining = true;
    w.natures["al"].work_ms = 2000;
    w.Submit(w.Spec("al", 1, 8));
    w.Turns(10);
    w.config.queues[0].asks_advice = true;
    w.workers[1].draining = false;
    w.Submit(w.Spec("am", 1, 8));
    w.Turns(2);
    EXPECT_EQ(Advise(w, {"life-0"}, w.now + 500), 2u);
    w.Turns(30);
    EXPECT_EQ(Advise(w, {}, 0), 0u);
    w.Turns(100); /* the first run has ended */
    EXPECT_EQ(Advise(w, {"life-0"}, w.now + 5000), 1u);
    w.Turns(100);
    EXPECT_EQ(w.State("am"), JOB_COMPLETED);
}

/* How a serving task's latency follows from the work beside it. */
struct Disturbance {
    const char *what;
    int64_t alone_ms;    /* its latency by itself */
    int64_t by_fill_ms;  /* added by a filling task at its full share */
    int64_t least_share; /* that the filling task has in the mean, later */
};

/* A filling task disturbs one that serves, whose target is 100 ms. Its share
 * is taken down until the target is met, within 4 s at most, and stays as high
 * as the target allows; where nothing is disturbed it stays at all. */
TEST(Jobs, FillingTasksYieldToTheTargetsOfServingOnes)
{
    const Disturbance cases[] = {
        {"none", 40, 0, 100},           {"light", 40, 20, 100},
        {"strong", 50, 80, 20},         {"very strong", 50, 400, 5},
        {"busy by itself", 88, 100, 0}, {"over it by itself", 120, 10, 0}};

    for (const Disturbance &c : cases) {
        World w(1);
        struct jobs_spec serves = w.Spec("ah", 1, 1);
        struct jobs_spec fills = w.Spec("ai", 1, 0);
        int64_t over_ms = 0, longest_ms = 0, sum = 0;

        serves.steps[0].lasting = true;
        serves.steps[0].latency_target_ms = 100;
        fills.steps[0].fills = true;
        w.natures["ah"].work_ms = w.natures["ai"].work_ms = 600000;
        w.Submit(serves);
        w.Submit(fills);
        w.Turns(20);
        for (int i = 0; i < 1000; i++) {
            Worker &x = w.workers[0];
            int64_t share =
                x.shares.count("ai.0.0.0") != 0 ? x.shares["ai.0.0.0"] : 100;
            int64_t latency = c.alone_ms + c.by_fill_ms * share / 100;

            x.figures["ah.0.0.0"] = latency;
            over_ms = latency > 100 && c.alone_ms <= 100 && share > 0
                          ? over_ms + 20
                          : 0;
            longest_ms = std::max(longest_ms, over_ms);
            sum += i >= 500 ? share : 0;
            w.Turn();
        }
        EXPECT_LT(longest_ms, 3000) << c.what;
        EXPECT_GE(sum / 500, c.least_share) << c.what;
        EXPECT_EQ(w.Starts("ah.0.0.0"), 1) << c.what;
    }
}

/* An owner has taken a filling task's share down and ends. The next one does
 * not know of it: it tells the task its share anew, or that stands still for
 * ever though nothing is disturbed any more. */
TEST(Jobs, ANewOwnerTellsFillingTasksTheirShare)
{
    World w(1);
    struct jobs_spec fills = w.Spec("aj", 1, 0);

    fills.steps[0].fills = true;
    w.natures["aj"].work_ms = 600000;
    w.Submit(fills);
    w.Turns(20);
    w.workers[0].shares["aj.0.0.0"] = 0;
    w.TakeOver();
    w.Turns(20);
    EXPECT_EQ(w.workers[0].shares["aj.0.0.0"], 100);
}

/* A job's rows say all that the next owner needs: it starts from the
 * checkpoint that the run before had saved. */
TEST(Jobs, ACheckpointIsCarriedToTheNextRun)
{
    World w(1);

    w.natures["b6"].work_ms = 2000;
    w.Submit(w.Spec("b6", 1, 1));
    w.Turns(50);
    w.Reborn(0);
    w.Turns(10);
    EXPECT_EQ(w.workers[0].runs.size(), 1u);
    EXPECT_EQ(w.workers[0].runs[0].checkpoint, "saved");
}

/* A caller hands in a job of 4,000 tasks, and there is room for all of them at
 * once. Its row must stay within what a store takes: one that is refused would
 * hold up the owner's writes, and so every other job. All its tasks run, and
 * another owner finds its place from the row. */
TEST(Jobs, AJobOfThousandsOfTasksStaysWithinItsRow)
{
    World w(40);
    size_t longest = 0;

    for (Worker &x : w.workers) {
        x.agent = "an-agent-with-a-long-name-" + x.agent;
        x.capacity = {400000, 400000, 100};
    }
    w.natures["ad"].work_ms = 300;
    w.Submit(w.Spec("ad", 4000, 1));
    for (int i = 0; i < 300 && w.State("ad") != JOB_COMPLETED; i++) {
        w.Turn();
        longest = std::max(longest, w.rows["ad"].size());
        if (i == 40) {
            w.TakeOver();
        }
    }
    EXPECT_EQ(w.State("ad"), JOB_COMPLETED);
    EXPECT_LE(longest, static_cast<size_t>(JOBS_ROW_MAX));
    EXPECT_GT(longest, static_cast<size_t>(JOBS_ROW_MAX / 4));
    EXPECT_EQ(w.Starts("ad.0.0.3999"), 1);
    EXPECT_EQ(w.broken, std::vector<std::string>());
}

/* A job is repeated a thousand times. What is done must not stay in the
 * scheduler and in its row, which would outgrow the store's bound after a day.
 */
TEST(Jobs, AJobThatIsRepeatedForLongKeepsAShortRow)
{
    World w(2);
    struct jobs_spec s = w.Spec("ae", 2, 1);

    s.repetitions = 1000;
    s.first_due_ms = w.now;
    s.interval_ms = 40;
    w.natures["ae"].work_ms = 30;
    w.Submit(s);
    for (int i = 0; i < 3000 && w.State("ae") != JOB_COMPLETED; i++) {
        w.Turn();
        ASSERT_LE(w.rows["ae"].size(), 4000u);
        if (i == 700) {
            w.TakeOver();
        }
    }
    EXPECT_EQ(w.State("ae"), JOB_COMPLETED);
    EXPECT_EQ(w.Starts("ae.999.0.1"), 1);
    EXPECT_EQ(w.Starts("ae.0.0.1"), 1);
}

/* All rooms are full of runs when the owner changes. Urgent work comes, and
 * one of the runs gives way to it: the new owner takes their age from how far
 * they are. Taken for ages old they were the dearest to stop, so nothing gave
 * way until they had ended, and the logs told of core-hours thrown away. */
TEST(Jobs, RunsFromBeforeATakeoverGiveWayByTheirTrueAge)
{
    World w(1, "urgent:0:3 batch:2:3");

    w.natures["long"].work_ms = 20000;
    struct jobs_spec s = w.Spec("long", 1, 8);
    s.steps[0].estimate_ms = 20000;
    w.Submit(s);
    w.Turns(20);
    ASSERT_EQ(w.Starts("long.0.0.0"), 1);
    w.TakeOver();
    w.Turns(5);
    w.natures["now"].work_ms = 2000;
    s = w.Spec("now", 1, 8, "urgent");
    s.steps[0].estimate_ms = 2000;
    w.Submit(s);
    w.Turns(250);
    EXPECT_EQ(w.gave_way_to.count("now"), 1u);
    EXPECT_EQ(w.State("now"), JOB_COMPLETED);
}

} /* namespace */
