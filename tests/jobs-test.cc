/* The scheduler against a world of workers: one case for each rule, and
 * for each failure that it answers. */
#include "jobs-world.h"

#include <gtest/gtest.h>

namespace {

TEST(Jobs, OneTaskRunsOnceAndItsEndIsAcknowledgedAfterItsRow)
{
    Simulation sim(1);

    sim.Submit(sim.Spec("a1", 1, 1));
    sim.Ticks(100);
    EXPECT_EQ(sim.State("a1"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("a1.0.0.0"), 1);
    EXPECT_TRUE(sim.workers[0].ended.empty());
    EXPECT_TRUE(sim.violations.empty());
}

TEST(Jobs, StepsWaitForThoseTheyComeAfter)
{
    Simulation sim(2);
    struct jobs_spec s = sim.Spec("b2", 2, 1);

    s.step_count = 2;
    s.steps[1] = s.steps[0];
    s.steps[1].count = 1;
    s.steps[1].after[0] = 0;
    s.steps[1].after_count = 1;
    sim.behaviours["b2.0.0.1"].work_ms = 2000;
    sim.Submit(s);
    sim.Ticks(60);
    EXPECT_EQ(sim.Starts("b2.0.1.0"), 0) << "one of step 0 still runs";
    sim.Ticks(120);
    EXPECT_EQ(sim.State("b2"), JOB_COMPLETED);
}

TEST(Jobs, OccurrencesStartWhenTheyAreDue)
{
    Simulation sim(1);
    struct jobs_spec s = sim.Spec("c3", 1, 1);

    s.repetitions = 2;
    s.first_due_ms = sim.now + 1000;
    s.interval_ms = 500;
    sim.Submit(s);
    sim.Ticks(40);
    EXPECT_EQ(sim.Starts("c3.0.0.0"), 0);
    sim.Ticks(20);
    EXPECT_EQ(sim.Starts("c3.0.0.0"), 1);
    sim.Ticks(150);
    EXPECT_EQ(sim.Starts("c3.1.0.0"), 1);
    EXPECT_EQ(sim.State("c3"), JOB_COMPLETED);
}

/* A task fails at each run. The caller sees "failed" after as many runs as
 * its queue allows, not one more: a further one would spend what the caller
 * did not grant. */
TEST(Jobs, AttemptsAreBounded)
{
    Simulation sim(3, "batch:2:3");

    sim.behaviours["d4"].failures = 100;
    sim.Submit(sim.Spec("d4", 1, 1));
    sim.Ticks(600);
    EXPECT_EQ(sim.State("d4"), JOB_FAILED);
    EXPECT_EQ(sim.Starts("d4.0.0.0"), 3);
}

/* One member of a gang fails: the others break, which are no failures of
 * their own. The gang runs again as a whole, under one new run number. */
TEST(Jobs, AGangFailsAndRunsAgainAsAWhole)
{
    Simulation sim(2, "batch:2:2");
    struct jobs_spec s = sim.Spec("e5", 3, 4);

    s.steps[0].gang = true;
    sim.behaviours["e5"].gang = 3;
    sim.behaviours["e5"].failures = 1;
    sim.Submit(s);
    sim.Ticks(250);
    EXPECT_EQ(sim.State("e5"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("e5.0.0.0"), 2);
    EXPECT_EQ(sim.Starts("e5.0.0.2"), 2);
}

/* A gang that does not fit whole must not start in part: its members would
 * hold accelerators and wait for the others until the worker ends them. */
TEST(Jobs, AGangWaitsUntilAllOfItFits)
{
    Simulation sim(2);
    struct jobs_spec s = sim.Spec("f6", 3, 8);

    s.steps[0].gang = true;
    sim.behaviours["f6"].gang = 3;
    sim.Submit(s);
    sim.Ticks(50);
    EXPECT_EQ(sim.Starts("f6.0.0.0"), 0);
}

/* The first order is lost on the way. The task starts by the second one, and
 * once: both name the same run. */
TEST(Jobs, LostOrdersAreSentAgain)
{
    Simulation sim(1);

    sim.drop_orders = 1;
    sim.Submit(sim.Spec("a7", 1, 1));
    sim.Ticks(100);
    EXPECT_EQ(sim.State("a7"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("a7.0.0.0"), 1);
}

/* A worker leaves a start unanswered and carries it out 3 s later. The
 * scheduler has stopped that run before it placed the next, so the late start
 * is refused; without the stop the task would run twice at once. */
TEST(Jobs, AStartThatIsCarriedOutLateDoesNotRunBesideTheNext)
{
    Simulation sim(2);

    sim.behaviours["a8"].work_ms = 5000;
    sim.order_delay_ms = 3000;
    sim.Submit(sim.Spec("a8", 1, 1));
    sim.Tick();
    sim.order_delay_ms = 0;
    sim.Ticks(600);
    EXPECT_EQ(sim.State("a8"), JOB_COMPLETED);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations[0];
}

/* A worker can't be reached and runs on. Until its lease is over by its own
 * slow clock its task must not start elsewhere; then it must. */
TEST(Jobs, AWorkerOutOfReachIsWaitedForUntilItsLeaseIsOver)
{
    Simulation sim(2);

    sim.behaviours["b9"].work_ms = 60000;
    sim.Submit(sim.Spec("b9", 1, 1));
    sim.Ticks(10);
    sim.WorkerOf("b9.0.0.0")->reachable = false;
    sim.Ticks(200);
    EXPECT_EQ(sim.Starts("b9.0.0.0"), 1) << "the lease may still hold";
    sim.Ticks(150);
    EXPECT_EQ(sim.Starts("b9.0.0.0"), 2);
    EXPECT_TRUE(sim.violations.empty());
}

/* The machine has another lifetime of its worker: what ran there is gone at
 * once, and nothing has to be waited for. */
TEST(Jobs, AnotherLifetimeEndsTheRunsOfTheOneBefore)
{
    Simulation sim(1);

    sim.behaviours["c1"].work_ms = 3000;
    sim.Submit(sim.Spec("c1", 1, 1));
    sim.Ticks(10);
    sim.RestartWorker(0);
    sim.Ticks(20);
    EXPECT_EQ(sim.Starts("c1.0.0.0"), 2);
}

/* Another owner takes over while a task runs. It reads the run from its row,
 * hears that it runs, and lets it end; it does not start it again. */
TEST(Jobs, ATakeoverLeavesRunsAlone)
{
    Simulation sim(2);

    sim.behaviours["d2"].work_ms = 3000;
    sim.Submit(sim.Spec("d2", 1, 1));
    sim.Ticks(20);
    sim.TakeOver();
    sim.Ticks(200);
    EXPECT_EQ(sim.State("d2"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("d2.0.0.0"), 1);
}

/* A worker is lost together with the owner. The next owner waits for as long
 * as the one before may have granted leases without the store, and a lease
 * more; once it knows that one ended, only for the lease. */
TEST(Jobs, AWorkerLostWithTheOwnerIsWaitedForNoLongerThanNeeded)
{
    Simulation sim(2);

    sim.behaviours["d8"].work_ms = 60000;
    sim.Submit(sim.Spec("d8", 1, 1));
    sim.Ticks(10);
    sim.WorkerOf("d8.0.0.0")->reachable = false;
    sim.TakeOver(false);
    sim.Ticks(400);
    EXPECT_EQ(sim.Starts("d8.0.0.0"), 1) << "the owner before may still grant";
    Jobs_OwnerEnded(sim.scheduler, sim.now + sim.limits.lease_ms);
    sim.Ticks(350);
    EXPECT_EQ(sim.Starts("d8.0.0.0"), 2);
    EXPECT_TRUE(sim.violations.empty());
}

/* A task ends as done while its worker can't be reached, and the worker leaves
 * before it can. Its agent tells that end together with the leaving; without
 * it the task would run once more, and what comes after it would wait. */
TEST(Jobs, TheLastEndsOfAWorkerThatLeftAreTaken)
{
    Simulation sim(2);
    struct jobs_ended end = {};

    sim.Submit(sim.Spec("d9", 1, 1));
    sim.Ticks(10);
    Worker *there = sim.WorkerOf("d9.0.0.0");
    there->reachable = false;
    sim.Ticks(60);
    there->up = false;
    end.number = 1;
    Str_Copy(end.task, sizeof(end.task), "d9.0.0.0");
    end.run = 1;
    end.how = END_DONE;
    Jobs_WorkerLeft(sim.scheduler, there->id.c_str(), &end, 1, sim.now);
    sim.Ticks(5);
    EXPECT_EQ(sim.State("d9"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("d9.0.0.0"), 1);
}

/* An operator takes a queue away while a job of it waits, and another owner
 * takes over, whose configuration never had that queue. What was accepted
 * still runs, on the service that its queue had. */
TEST(Jobs, AJobOutlivesItsQueue)
{
    Simulation sim(1);
    struct jobs_spec s = sim.Spec("da", 1, 1);

    JobsQos_FromQueue(&sim.config.queues[0], &s.qos);
    sim.workers[0].draining = true;
    sim.Submit(s);
    sim.Ticks(10);
    sim.config.queue_count = 0;
    Jobs_SetConfig(sim.scheduler, &sim.config);
    sim.TakeOver();
    sim.workers[0].draining = false;
    sim.Ticks(100);
    EXPECT_EQ(sim.State("da"), JOB_COMPLETED);
}

/* An owner is deposed and does not know; one agent hears only that owner yet,
 * and takes leases from it. The new owner must give that worker nothing: it
 * could not tell for how long a run there may go on. */
TEST(Jobs, NothingIsGivenToAWorkerThatStillObeysTheOwnerBefore)
{
    Simulation sim(1);

    sim.Ticks(2);
    sim.workers[0].follows_previous_owner = true;
    sim.TakeOver(false);
    sim.Submit(sim.Spec("af", 1, 1));
    sim.Ticks(20);
    EXPECT_EQ(sim.rows.count("af"), 0u); /* no run is written for it */
    sim.workers[0].follows_previous_owner = false;
    sim.Ticks(100);
    EXPECT_EQ(sim.State("af"), JOB_COMPLETED);
}

/* A run is written, and then nothing that the owner writes is confirmed any
 * more. Another may have taken over: the owner must not order the start, even
 * though its row is stored; the next owner orders it. */
TEST(Jobs, NoStartIsOrderedWithoutConfirmedWrites)
{
    Simulation sim(1);

    sim.Ticks(2);
    sim.may_start = false;
    sim.Submit(sim.Spec("ag", 1, 1));
    sim.Ticks(100);
    EXPECT_EQ(sim.Starts("ag.0.0.0"), 0);
    sim.may_start = true;
    sim.TakeOver(false);
    sim.Ticks(200);
    EXPECT_EQ(sim.State("ag"), JOB_COMPLETED);
}

/* The owner ends between writing a run and ordering it. The next one orders
 * that same run: it is either there already, or it starts now. */
TEST(Jobs, ARunThatWasWrittenAndNotOrderedIsOrderedByTheNextOwner)
{
    Simulation sim(1);

    sim.Submit(sim.Spec("e3", 1, 1));
    sim.Tick();
    sim.starts.clear();
    sim.workers[0].runs.clear(); /* as if the order had never left */
    sim.TakeOver();
    sim.Ticks(120);
    EXPECT_EQ(sim.State("e3"), JOB_COMPLETED);
}

/* The store is away. Nothing new starts, as a run must be written before it
 * is ordered, and ends are not acknowledged; both come to pass afterwards. */
TEST(Jobs, WhileNothingCanBeWrittenNothingStartsAndNoEndIsAcknowledged)
{
    Simulation sim(1);

    sim.Submit(sim.Spec("f4", 1, 4));
    sim.Ticks(10);
    sim.store_up = false;
    sim.Submit(sim.Spec("f5", 1, 4));
    sim.Ticks(100);
    EXPECT_EQ(sim.Starts("f5.0.0.0"), 0);
    EXPECT_EQ(sim.workers[0].ended.size(), 1u);
    sim.store_up = true;
    sim.Ticks(100);
    EXPECT_EQ(sim.State("f4"), JOB_COMPLETED);
    EXPECT_EQ(sim.State("f5"), JOB_COMPLETED);
    EXPECT_TRUE(sim.workers[0].ended.empty());
}

TEST(Jobs, ACancelledJobIsStopped)
{
    Simulation sim(1);

    sim.behaviours["a5"].work_ms = 60000;
    sim.Submit(sim.Spec("a5", 2, 1));
    sim.Ticks(10);
    sim.Cancel("a5");
    sim.Ticks(20);
    EXPECT_EQ(sim.State("a5"), JOB_CANCELLED);
    EXPECT_TRUE(sim.workers[0].runs.empty());
}

/* An end that says "done" of a run that its job's cancelling overtook, or of
 * a job that is long gone, is acknowledged too: a worker keeps each end until
 * then, and lists at most 500. */
TEST(Jobs, EndsWithoutConsequenceAreAcknowledged)
{
    Simulation sim(1);

    sim.workers[0].ended.push_back(
        {++sim.workers[0].ends, "99.0.0.0", 1, END_DONE, ""});
    sim.Ticks(5);
    EXPECT_TRUE(sim.workers[0].ended.empty());
}

/* A run that no row knows is stopped: it holds room, and nobody waits for
 * what it brings. */
TEST(Jobs, RunsThatNobodyWantsAreStopped)
{
    Simulation sim(1);

    sim.workers[0].runs.push_back({"99.0.0.0", 1, sim.now, 60000, ""});
    sim.workers[0].until = sim.now + 60000;
    sim.Ticks(10);
    EXPECT_TRUE(sim.workers[0].runs.empty());
}

/* A job of 8 accelerators whose caller estimates what it takes. */
struct jobs_spec
WideJob(Simulation &sim, const std::string &id, const std::string &queue,
        int64_t ms)
{
    struct jobs_spec s = sim.Spec(id, 1, 8, queue);

    s.steps[0].estimate_ms = sim.behaviours[id].work_ms = ms;
    return s;
}

/* Urgent work finds all accelerators taken, by runs that take long still.
 * Lower priorities give way at once, the cheapest of them: what has just
 * begun, before what has run for long. */
TEST(Jobs, UrgentWorkEvictsTheCheapest)
{
    Simulation sim(2, "urgent:0:3 batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 60000));
    sim.Ticks(100);
    sim.Submit(WideJob(sim, "bb", "batch", 60000));
    sim.Ticks(20);
    sim.Submit(WideJob(sim, "cc", "urgent", 3000));
    sim.Ticks(20);
    EXPECT_NE(sim.WorkerOf("cc.0.0.0"), nullptr);
    EXPECT_NE(sim.WorkerOf("aa.0.0.0"), nullptr);
    EXPECT_EQ(sim.WorkerOf("bb.0.0.0"), nullptr);
    EXPECT_TRUE(sim.HasEvent("run_stopped", "gives_way"));
    EXPECT_EQ(sim.preemptors, std::set<std::string>{"cc"});
}

/* Urgent work finds all accelerators taken by a run that ends while it can
 * wait and still be in time. Stopping that run would throw its work away for
 * nothing. */
TEST(Jobs, UrgentWorkWaitsForWhatEndsInTime)
{
    Simulation sim(1, "urgent:0:3 batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 4000));
    sim.Ticks(175); /* half a second of it is left */
    sim.Submit(WideJob(sim, "cc", "urgent", 1000));
    sim.Ticks(250);
    EXPECT_EQ(sim.Starts("aa.0.0.0"), 1);
    EXPECT_FALSE(sim.HasEvent("run_stopped", "gives_way"));
    EXPECT_EQ(sim.State("cc"), JOB_COMPLETED);
}

/* Urgent work of a second finds a run that has worked for four. To stop it
 * would throw away more than the urgent work itself is; room is kept for it
 * instead, and what comes later and is less urgent does not take it. */
TEST(Jobs, UrgentWorkThrowsAwayNoMoreThanItsOwn)
{
    Simulation sim(1, "urgent:0:3 batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 8000));
    sim.Ticks(200);
    sim.Submit(WideJob(sim, "cc", "urgent", 1000));
    sim.Submit(WideJob(sim, "bb", "batch", 1000));
    sim.Ticks(500);
    EXPECT_EQ(sim.Starts("aa.0.0.0"), 1);
    EXPECT_EQ(sim.State("cc"), JOB_COMPLETED);
    EXPECT_EQ(sim.State("bb"), JOB_COMPLETED);
    EXPECT_FALSE(sim.HasEvent("run_stopped", "gives_way"));
}

/* Urgent work of a second finds a run that takes hours, none of it saved. It
 * waits, but not for hours: what it may throw away grows with its waiting. */
TEST(Jobs, UrgentWorkDoesNotWaitForHours)
{
    Simulation sim(1, "urgent:0:3 batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 3600000));
    sim.Ticks(200);
    sim.Submit(WideJob(sim, "cc", "urgent", 1000));
    sim.Ticks(2000); /* 40 s */
    EXPECT_EQ(sim.State("cc"), JOB_COMPLETED);
    EXPECT_TRUE(sim.HasEvent("run_stopped", "gives_way"));
}

/* An urgent task has failed on one worker, by chance; the other one is full of
 * work that is dear to stop. The first one has room: the task goes back there
 * rather than wait for the other. */
TEST(Jobs, UrgentWorkGoesBackWhereItFailedRatherThanWait)
{
    Simulation sim(2, "urgent:0:3 batch:2:3");

    sim.workers[0].draining = true;
    sim.Submit(WideJob(sim, "aa", "batch", 20000));
    sim.Ticks(20);
    sim.workers[0].draining = false;
    sim.behaviours["cc"].failures = 1;
    sim.Submit(WideJob(sim, "cc", "urgent", 1000));
    sim.Ticks(200);
    EXPECT_EQ(sim.State("cc"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("cc.0.0.0"), 2);
    EXPECT_EQ(sim.Starts("aa.0.0.0"), 1);
}

/* Of two jobs that wait, one is late already, whatever is done. The one that
 * can still be in time goes first, or both are late; the late one follows. */
TEST(Jobs, WhatCanBeInTimeGoesBeforeWhatIsLate)
{
    Simulation sim(1, "batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 6000));
    sim.Ticks(20);
    sim.Submit(WideJob(sim, "bb", "batch", 1000)); /* its objective: 4 s */
    sim.Ticks(200);
    sim.Submit(WideJob(sim, "cc", "batch", 1000));
    sim.Ticks(120);
    EXPECT_EQ(sim.State("cc"), JOB_RUNNING);
    EXPECT_EQ(sim.State("bb"), JOB_QUEUED);
    sim.Ticks(150);
    EXPECT_EQ(sim.State("bb"), JOB_COMPLETED);
}

TEST(Jobs, WorkOfLowerPriorityEvictsNothing)
{
    Simulation sim(1, "normal:1:3 batch:2:3");

    sim.behaviours["aa"].work_ms = 60000;
    sim.Submit(sim.Spec("aa", 1, 8));
    sim.Ticks(20);
    sim.Submit(sim.Spec("bb", 1, 8, "normal"));
    sim.Ticks(50);
    EXPECT_NE(sim.WorkerOf("aa.0.0.0"), nullptr);
}

/* One organisation's first-priority work fills everything, beyond what it is
 * guaranteed. Another's guaranteed job must begin within its bound: it evicts
 * what is beyond a guarantee, though that has the first priority too. */
TEST(Jobs, AGuaranteeIsReclaimedFromFirstPriorityWorkBeyondIts)
{
    Simulation sim(2, "urgent:0:3");
    struct jobs_spec big = sim.Spec("aa", 2, 8, "urgent");
    struct jobs_spec small = sim.Spec("bb", 1, 8, "urgent");

    sim.config.organisation_count = 2;
    sim.config.organisations = static_cast<struct jobs_organisation *>(
        Mem_Zero(2, sizeof(struct jobs_organisation)));
    Str_Copy(sim.config.organisations[0].name, NAME_SIZE, "big");
    Str_Copy(sim.config.organisations[1].name, NAME_SIZE, "small");
    sim.config.organisations[0].guaranteed = 8;
    sim.config.organisations[1].guaranteed = 8;
    Str_Copy(big.organisation, NAME_SIZE, "big");
    Str_Copy(small.organisation, NAME_SIZE, "small");
    sim.behaviours["aa"].work_ms = 60000;
    sim.Submit(big);
    sim.Ticks(20);
    sim.Submit(small);
    sim.Ticks(55); /* 1.1 s, and the bound is 2.7 s */
    EXPECT_EQ(sim.Starts("bb.0.0.0"), 1);
}

/* A worker fails all that it starts. After two failures in a row it is left
 * alone for a while, so that jobs don't run out of attempts on it. */
TEST(Jobs, AWorkerThatFailsEverythingIsLeftAlone)
{
    Simulation sim(2, "batch:2:3");

    sim.workers[0].fails_all = true;
    for (int i = 0; i < 8; i++) {
        sim.Submit(sim.Spec("a" + std::to_string(i), 1, 2));
    }
    sim.Ticks(400);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(sim.State("a" + std::to_string(i)), JOB_COMPLETED);
    }
    EXPECT_TRUE(sim.HasEvent("worker_out", "fails_all"));
}

/* Tasks on one worker stand still while its health is good. They are stopped
 * and start elsewhere; without that they hold their room for ever. */
TEST(Jobs, RunsThatStandStillAreMoved)
{
    Simulation sim(2);

    sim.workers[0].stalled = true;
    sim.workers[1].capacity.accelerators = 4;
    sim.behaviours["b1"].work_ms = sim.behaviours["b2"].work_ms = 2000;
    sim.Submit(sim.Spec("b1", 1, 4));
    sim.Submit(sim.Spec("b2", 1, 4));
    sim.Ticks(600);
    EXPECT_EQ(sim.State("b1"), JOB_COMPLETED);
    EXPECT_EQ(sim.State("b2"), JOB_COMPLETED);
    EXPECT_TRUE(sim.HasEvent("run_stopped", "crawls"));
}

/* The members of a gang have unequal shares of its work. Those that are
 * through stand at 100 percent until the last one is; the gang must not be
 * taken for one that hangs, or all its work is thrown away just before it
 * ends. */
TEST(Jobs, AGangWhoseLastMemberTakesLongerIsLeftAlone)
{
    Simulation sim(6); /* as much room elsewhere as it holds */
    struct jobs_spec s = sim.Spec("ab", 3, 8);

    s.steps[0].gang = true;
    sim.behaviours["ab"] = {.work_ms = 2000, .gang = 3};
    sim.behaviours["ab.0.0.2"] = {.work_ms = 4600, .gang = 3};
    sim.Submit(s);
    sim.Ticks(500);
    EXPECT_EQ(sim.State("ab"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("ab.0.0.0"), 1);
    EXPECT_FALSE(sim.HasEvent("run_stopped", "crawls"));
}

/* A caller's estimate is a third of the truth. The run must be left where it
 * is: sound workers would be called slow, and work thrown away again and
 * again, for a wrong number in a form. */
TEST(Jobs, AWrongEstimateDoesNotMoveARun)
{
    Simulation sim(2);

    sim.behaviours["c2"].work_ms = 4000;
    sim.Submit(sim.Spec("c2", 1, 1));
    sim.Ticks(300);
    EXPECT_EQ(sim.State("c2"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("c2.0.0.0"), 1);
}

TEST(Jobs, ADrainingWorkerGetsNothingNew)
{
    Simulation sim(2);

    sim.workers[0].draining = true;
    sim.Tick();
    sim.Submit(sim.Spec("d3", 4, 1));
    sim.Ticks(10);
    EXPECT_TRUE(sim.workers[0].runs.empty());
    EXPECT_EQ(sim.workers[1].runs.size(), 4u);
}

/* Two services share the platform. A queue's tasks must run on the workers of
 * its own only, also while those are full and the others idle. */
TEST(Jobs, TasksRunOnTheWorkersOfTheirService)
{
    Simulation sim(2);

    sim.workers[0].service = "other";
    sim.Submit(sim.Spec("an", 2, 8));
    sim.Ticks(150);
    EXPECT_EQ(sim.State("an"), JOB_COMPLETED);
    EXPECT_EQ(sim.workers[0].ends, 0u);
    EXPECT_EQ(sim.workers[1].ends, 2u);
}

TEST(Jobs, LabelsAndSpreadAreKept)
{
    Simulation sim(3);
    struct jobs_spec s = sim.Spec("e4", 3, 1);

    s.steps[0].spread = 1;
    sim.Submit(s);
    sim.Ticks(10);
    for (const Worker &x : sim.workers) {
        EXPECT_EQ(x.runs.size(), 1u);
    }
    s = sim.Spec("e5", 1, 1);
    Str_Copy(s.steps[0].label, JOBS_TEXT_SIZE, "none has it");
    sim.Submit(s);
    sim.Ticks(100);
    EXPECT_EQ(sim.Starts("e5.0.0.0"), 0);
}

TEST(Jobs, AJobIsPlacedInTheRackOfItsData)
{
    Simulation sim(6);
    struct jobs_spec s = sim.Spec("f1", 2, 1);

    Str_Copy(s.steps[0].rack, JOBS_TEXT_SIZE, "r1");
    sim.Submit(s);
    sim.Ticks(5);
    EXPECT_EQ(sim.WorkerOf("f1.0.0.0")->rack, "r1");
    EXPECT_EQ(sim.WorkerOf("f1.0.0.1")->rack, "r1");
}

/* Long-running tasks are restarted however they end, and no number of ends
 * makes their job failed or completed. */
TEST(Jobs, LastingTasksAreRestarted)
{
    Simulation sim(1, "batch:2:2");
    struct jobs_spec s = sim.Spec("a9", 1, 1);

    s.steps[0].lasting = true;
    sim.behaviours["a9"].failures = 3;
    sim.Submit(s);
    sim.Ticks(600);
    EXPECT_GE(sim.Starts("a9.0.0.0"), 5);
    EXPECT_EQ(sim.State("a9"), JOB_RUNNING);
}

/* Answers the scheduler's question: the workers with these lifetimes may.
 * Returns how many were asked about. */
size_t
AnswerQuestion(Simulation &sim, const std::vector<std::string> &approved,
               int64_t until_ms)
{
    const struct jobs_question *question = Jobs_Question(sim.scheduler);
    std::vector<struct jobs_approval> approvals;
    struct jobs_question q = {};

    if (question == nullptr) {
        return 0;
    }
    q = *question;
    for (const std::string &id : approved) {
        struct jobs_approval a = {};

        Str_Copy(a.worker, sizeof(a.worker), id.c_str());
        Str_Copy(a.ticket, sizeof(a.ticket), ("may-" + id).c_str());
        approvals.push_back(a);
    }
    Jobs_AdviceReceived(sim.scheduler, &q, approvals.data(), approvals.size(),
                        until_ms);
    return q.count;
}

/* Only some workers may run a step. It waits for the adviser, starts where
 * that approves and with the ticket, and nobody is asked about twice. */
TEST(Jobs, StepsThatNeedAdviceStartWhereItIsGiven)
{
    Simulation sim(4);

    sim.config.queues[0].asks_advice = true;
    sim.Submit(sim.Spec("ak", 2, 8));
    sim.Ticks(20);
    EXPECT_EQ(sim.Starts("ak.0.0.0"), 0);
    EXPECT_EQ(AnswerQuestion(sim, {"life-1", "life-3"}, sim.now + 60000), 4u);
    sim.Ticks(3);
    EXPECT_EQ(sim.Starts("ak.0.0.0") + sim.Starts("ak.0.0.1"), 2);
    EXPECT_TRUE(sim.workers[0].runs.empty() && sim.workers[2].runs.empty());
    EXPECT_EQ(sim.tickets["ak.0.0.0"].substr(0, 8), "may-life");
    EXPECT_EQ(AnswerQuestion(sim, {}, 0), 0u);
}

/* A ticket is over before its worker has room. It is asked for anew when there
 * is room, and not before; the worker that may not run the step is not asked
 * about again. */
TEST(Jobs, TicketsThatAreOverAreAskedForAnew)
{
    Simulation sim(2);

    sim.workers[1].draining = true;
    sim.behaviours["al"].work_ms = 2000;
    sim.Submit(sim.Spec("al", 1, 8));
    sim.Ticks(10);
    sim.config.queues[0].asks_advice = true;
    sim.workers[1].draining = false;
    sim.Submit(sim.Spec("am", 1, 8));
    sim.Ticks(2);
    EXPECT_EQ(AnswerQuestion(sim, {"life-0"}, sim.now + 500), 2u);
    sim.Ticks(30);
    EXPECT_EQ(AnswerQuestion(sim, {}, 0), 0u);
    sim.Ticks(100); /* the first run has ended */
    EXPECT_EQ(AnswerQuestion(sim, {"life-0"}, sim.now + 5000), 1u);
    sim.Ticks(100);
    EXPECT_EQ(sim.State("am"), JOB_COMPLETED);
}

/* How a serving task's latency follows from the work beside it. */
struct Interference {
    const char *what;
    int64_t alone_ms;         /* its latency by itself */
    int64_t added_by_fill_ms; /* added by a filling task at its full share */
    int64_t min_share; /* that the filling task has in the mean, later */
};

/* A filling task disturbs one that serves, whose target is 100 ms. Its share
 * is taken down until the target is met, within 4 s at most, and stays as high
 * as the target allows; where nothing is disturbed it stays at all. */
TEST(Jobs, FillingTasksYieldToTheTargetsOfServingOnes)
{
    const Interference cases[] = {
        {"none", 40, 0, 100},           {"light", 40, 20, 100},
        {"strong", 50, 80, 20},         {"very strong", 50, 400, 5},
        {"busy by itself", 88, 100, 0}, {"over it by itself", 120, 10, 0}};

    for (const Interference &c : cases) {
        Simulation sim(1);
        struct jobs_spec serves = sim.Spec("ah", 1, 1);
        struct jobs_spec fills = sim.Spec("ai", 1, 0);
        int64_t over_ms = 0, longest_ms = 0, sum = 0;

        serves.steps[0].lasting = true;
        serves.steps[0].latency_target_ms = 100;
        fills.steps[0].fills = true;
        sim.behaviours["ah"].work_ms = sim.behaviours["ai"].work_ms = 600000;
        sim.Submit(serves);
        sim.Submit(fills);
        sim.Ticks(20);
        for (int i = 0; i < 1000; i++) {
            Worker &x = sim.workers[0];
            int64_t share =
                x.shares.count("ai.0.0.0") != 0 ? x.shares["ai.0.0.0"] : 100;
            int64_t latency = c.alone_ms + c.added_by_fill_ms * share / 100;

            x.tail_latencies["ah.0.0.0"] = latency;
            over_ms = latency > 100 && c.alone_ms <= 100 && share > 0
                          ? over_ms + 20
                          : 0;
            longest_ms = std::max(longest_ms, over_ms);
            sum += i >= 500 ? share : 0;
            sim.Tick();
        }
        EXPECT_LT(longest_ms, 3000) << c.what;
        EXPECT_GE(sum / 500, c.min_share) << c.what;
        EXPECT_EQ(sim.Starts("ah.0.0.0"), 1) << c.what;
    }
}

/* An owner has taken a filling task's share down and ends. The next one does
 * not know of it: it tells the task its share anew, or that stands still for
 * ever though nothing is disturbed any more. */
TEST(Jobs, ANewOwnerTellsFillingTasksTheirShare)
{
    Simulation sim(1);
    struct jobs_spec fills = sim.Spec("aj", 1, 0);

    fills.steps[0].fills = true;
    sim.behaviours["aj"].work_ms = 600000;
    sim.Submit(fills);
    sim.Ticks(20);
    sim.workers[0].shares["aj.0.0.0"] = 0;
    sim.TakeOver();
    sim.Ticks(20);
    EXPECT_EQ(sim.workers[0].shares["aj.0.0.0"], 100);
}

/* A job's rows say all that the next owner needs: it starts from the
 * checkpoint that the run before had saved. */
TEST(Jobs, ACheckpointIsCarriedToTheNextRun)
{
    Simulation sim(1);

    sim.behaviours["b6"].work_ms = 2000;
    sim.Submit(sim.Spec("b6", 1, 1));
    sim.Ticks(50);
    sim.RestartWorker(0);
    sim.Ticks(10);
    EXPECT_EQ(sim.workers[0].runs.size(), 1u);
    EXPECT_EQ(sim.workers[0].runs[0].checkpoint, "saved");
}

/* A caller hands in a job of 4,000 tasks, and there is room for all of them at
 * once. Its row must stay within what a store takes: one that is refused would
 * hold up the owner's writes, and so every other job. All its tasks run, and
 * another owner finds its place from the row. */
TEST(Jobs, AJobOfThousandsOfTasksStaysWithinItsRow)
{
    Simulation sim(40);
    size_t longest = 0;

    for (Worker &x : sim.workers) {
        x.agent = "an-agent-with-a-long-name-" + x.agent;
        x.capacity = {400000, 400000, 100};
    }
    sim.behaviours["ad"].work_ms = 300;
    sim.Submit(sim.Spec("ad", 4000, 1));
    for (int i = 0; i < 300 && sim.State("ad") != JOB_COMPLETED; i++) {
        sim.Tick();
        longest = std::max(longest, sim.rows["ad"].size());
        if (i == 40) {
            sim.TakeOver();
        }
    }
    EXPECT_EQ(sim.State("ad"), JOB_COMPLETED);
    EXPECT_LE(longest, static_cast<size_t>(JOBS_ROW_MAX));
    EXPECT_GT(longest, static_cast<size_t>(JOBS_ROW_MAX / 4));
    EXPECT_EQ(sim.Starts("ad.0.0.3999"), 1);
    EXPECT_EQ(sim.violations, std::vector<std::string>());
}

/* A job is repeated a thousand times. What is done must not stay in the
 * scheduler and in its row, which would outgrow the store's bound after a day.
 */
TEST(Jobs, AJobThatIsRepeatedForLongKeepsAShortRow)
{
    Simulation sim(2);
    struct jobs_spec s = sim.Spec("ae", 2, 1);

    s.repetitions = 1000;
    s.first_due_ms = sim.now;
    s.interval_ms = 40;
    sim.behaviours["ae"].work_ms = 30;
    sim.Submit(s);
    for (int i = 0; i < 3000 && sim.State("ae") != JOB_COMPLETED; i++) {
        sim.Tick();
        ASSERT_LE(sim.rows["ae"].size(), 4000u);
        if (i == 700) {
            sim.TakeOver();
        }
    }
    EXPECT_EQ(sim.State("ae"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("ae.999.0.1"), 1);
    EXPECT_EQ(sim.Starts("ae.0.0.1"), 1);
}

/* All rooms are full of runs when the owner changes. Urgent work comes, and
 * one of the runs gives way to it: the new owner takes their age from how far
 * they are. Taken for ages old they were the dearest to stop, so nothing gave
 * way until they had ended, and the logs told of core-hours thrown away. */
TEST(Jobs, RunsFromBeforeATakeoverGiveWayByTheirTrueAge)
{
    Simulation sim(1, "urgent:0:3 batch:2:3");

    sim.behaviours["long"].work_ms = 20000;
    struct jobs_spec s = sim.Spec("long", 1, 8);
    s.steps[0].estimate_ms = 20000;
    sim.Submit(s);
    sim.Ticks(20);
    ASSERT_EQ(sim.Starts("long.0.0.0"), 1);
    sim.TakeOver();
    sim.Ticks(5);
    sim.behaviours["now"].work_ms = 2000;
    s = sim.Spec("now", 1, 8, "urgent");
    s.steps[0].estimate_ms = 2000;
    sim.Submit(s);
    sim.Ticks(250);
    EXPECT_EQ(sim.preemptors.count("now"), 1u);
    EXPECT_EQ(sim.State("now"), JOB_COMPLETED);
}

} /* namespace */
