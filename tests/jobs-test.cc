/* Tests of the scheduler on simulated workers: one case for each rule, and one
 * for each failure that it guards against. */
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
    EXPECT_EQ(sim.Starts("b2.0.1.0"), 0) << "a task of step 0 still runs";
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

/* A task fails in each run. Its job must fail after as many runs as its queue
 * allows, as one run more would use what the caller did not grant. */
TEST(Jobs, AttemptsAreBounded)
{
    Simulation sim(3, "batch:2:3");

    sim.behaviours["d4"].failures = 100;
    sim.Submit(sim.Spec("d4", 1, 1));
    sim.Ticks(600);
    EXPECT_EQ(sim.State("d4"), JOB_FAILED);
    EXPECT_EQ(sim.Starts("d4.0.0.0"), 3);
}

/* One member of a gang fails, so the others break, which must not count as
 * failures of their own. The gang must run again as a whole, under one new run
 * number. */
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

/* A gang that does not fit as a whole must not start in part: its members
 * would hold accelerators and wait for the others until the worker ends
 * them. */
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

/* The first order of a start is lost. The second must start the task, and only
 * once: both have the same run number. */
TEST(Jobs, LostOrdersAreSentAgain)
{
    Simulation sim(1);

    sim.drop_orders = 1;
    sim.Submit(sim.Spec("a7", 1, 1));
    sim.Ticks(100);
    EXPECT_EQ(sim.State("a7"), JOB_COMPLETED);
    EXPECT_EQ(sim.Starts("a7.0.0.0"), 1);
}

/* A worker does not answer a start and carries it out 3 s later. The scheduler
 * must have stopped that run before it placed the next one, so that the late
 * start is refused; otherwise the task would run twice at once. */
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

/* A worker is unreachable and its runs continue. Its task must not start
 * elsewhere until its lease has expired by its own, slow clock, and must start
 * then. */
TEST(Jobs, AnUnreachableWorkerIsWaitedForUntilItsLeaseExpires)
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

/* Another incarnation replaces a worker. The runs of the one before are over,
 * so nothing may be waited for. */
TEST(Jobs, ANewIncarnationEndsTheRunsOfTheOneBefore)
{
    Simulation sim(1);

    sim.behaviours["c1"].work_ms = 3000;
    sim.Submit(sim.Spec("c1", 1, 1));
    sim.Ticks(10);
    sim.RestartWorker(0);
    sim.Ticks(20);
    EXPECT_EQ(sim.Starts("c1.0.0.0"), 2);
}

/* Another owner takes over while a task runs. It must read the run from its
 * row, find it in a report, and not start it again. */
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

/* A worker is lost together with the owner. The next owner must wait as long
 * as the previous one may have granted leases without the store, and for the
 * length of a lease; once it knows that the previous owner has ended, only for
 * the length of a lease. */
TEST(Jobs, AWorkerLostWithTheOwnerIsWaitedForNoLongerThanNeeded)
{
    Simulation sim(2);

    sim.behaviours["d8"].work_ms = 60000;
    sim.Submit(sim.Spec("d8", 1, 1));
    sim.Ticks(10);
    sim.WorkerOf("d8.0.0.0")->reachable = false;
    sim.TakeOver(false);
    sim.Ticks(400);
    EXPECT_EQ(sim.Starts("d8.0.0.0"), 1)
        << "the previous owner may still grant leases";
    Jobs_OwnerEnded(sim.scheduler, sim.now + sim.limits.lease_ms);
    sim.Ticks(350);
    EXPECT_EQ(sim.Starts("d8.0.0.0"), 2);
    EXPECT_TRUE(sim.violations.empty());
}

/* A task ends as done while its worker is unreachable, and the worker leaves
 * before it is reachable again. Its agent reports the end together with the
 * leaving. The end must be processed, or the task would run again and the
 * steps after it would wait. */
TEST(Jobs, TheLastEndsOfAWorkerThatLeftAreProcessed)
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

/* An operator removes a queue while a job of it waits, and an owner takes over
 * whose configuration never had the queue. The accepted job must still run, on
 * the service of its queue. */
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

/* The previous owner is not aware of its replacement, and one agent is still
 * connected to that owner only and accepts its leases. The new owner must
 * assign nothing to its worker, as it can't know how long a run there may
 * continue. */
TEST(Jobs, NothingIsAssignedToAWorkerThatFollowsThePreviousOwner)
{
    Simulation sim(1);

    sim.Ticks(2);
    sim.workers[0].follows_previous_owner = true;
    sim.TakeOver(false);
    sim.Submit(sim.Spec("af", 1, 1));
    sim.Ticks(20);
    EXPECT_EQ(sim.rows.count("af"), 0u); /* no run of it is stored */
    sim.workers[0].follows_previous_owner = false;
    sim.Ticks(100);
    EXPECT_EQ(sim.State("af"), JOB_COMPLETED);
}

/* A run is stored, but after that no write of the owner is confirmed. Another
 * owner may have taken over, so this one must not order the start; the next
 * owner must order it. */
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

/* The owner ends after storing a run and before ordering it. The next owner
 * must order the same run, whether it is running already or not. */
TEST(Jobs, ARunThatWasWrittenAndNotOrderedIsOrderedByTheNextOwner)
{
    Simulation sim(1);

    sim.Submit(sim.Spec("e3", 1, 1));
    sim.Tick();
    sim.starts.clear();
    sim.workers[0].runs.clear(); /* as if the order had been lost */
    sim.TakeOver();
    sim.Ticks(120);
    EXPECT_EQ(sim.State("e3"), JOB_COMPLETED);
}

/* The store is down. Nothing may start, as a run must be stored before it is
 * ordered, and no end may be acknowledged. Both must happen once the store is
 * up again. */
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

/* An end without effect, of a job that was cancelled or removed, must be
 * acknowledged too: workers keep each end until then, and list at most 500. */
TEST(Jobs, EndsWithoutEffectAreAcknowledged)
{
    Simulation sim(1);

    sim.workers[0].ended.push_back(
        {++sim.workers[0].ends, "99.0.0.0", 1, END_DONE, ""});
    sim.Ticks(5);
    EXPECT_TRUE(sim.workers[0].ended.empty());
}

/* A run that is in no row must be stopped, as it holds resources and no job
 * needs its result. */
TEST(Jobs, OrphanedRunsAreStopped)
{
    Simulation sim(1);

    sim.workers[0].runs.push_back({"99.0.0.0", 1, sim.now, 60000, ""});
    sim.workers[0].until = sim.now + 60000;
    sim.Ticks(10);
    EXPECT_TRUE(sim.workers[0].runs.empty());
}

/* Returns a job that takes all 8 accelerators of a worker, and whose caller's
 * estimate is right. */
struct jobs_spec
WideJob(Simulation &sim, const std::string &id, const std::string &queue,
        int64_t ms)
{
    struct jobs_spec s = sim.Spec(id, 1, 8, queue);

    s.steps[0].estimate_ms = sim.behaviours[id].work_ms = ms;
    return s;
}

/* All accelerators are taken by long runs when urgent work arrives. The
 * cheapest run of lower priority must be evicted at once: one that has just
 * begun rather than one that has run for long. */
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

/* All accelerators are taken by a run that ends while the urgent work can wait
 * and still be in time. Evicting that run would discard its work for
 * nothing. */
TEST(Jobs, UrgentWorkWaitsForARunThatEndsInTime)
{
    Simulation sim(1, "urgent:0:3 batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 4000));
    sim.Ticks(175); /* half a second before its end */
    sim.Submit(WideJob(sim, "cc", "urgent", 1000));
    sim.Ticks(250);
    EXPECT_EQ(sim.Starts("aa.0.0.0"), 1);
    EXPECT_FALSE(sim.HasEvent("run_stopped", "gives_way"));
    EXPECT_EQ(sim.State("cc"), JOB_COMPLETED);
}

/* Urgent work of one second arrives when a run has worked for four. Evicting
 * the run would discard more work than the urgent work itself, so room must be
 * reserved for the urgent work instead, and less urgent work that arrives
 * later must not take it. */
TEST(Jobs, UrgentWorkDiscardsNoMoreThanItsOwnWork)
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

/* Urgent work of one second arrives when a run takes hours and saves no
 * checkpoints. It may have to wait, but not for hours: the work that it may
 * discard grows with its waiting time. */
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

/* An urgent task has failed on one worker by chance, and the other worker is
 * full of runs that are expensive to evict. The first worker has room, so the
 * task must return there rather than wait for the other one. */
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

/* Of two waiting jobs, one is late already. The job that can still be in time
 * must go first, or both would be late; the late one follows. */
TEST(Jobs, JobsThatCanBeInTimeGoBeforeLateOnes)
{
    Simulation sim(1, "batch:2:3");

    sim.Submit(WideJob(sim, "aa", "batch", 6000));
    sim.Ticks(20);
    sim.Submit(WideJob(sim, "bb", "batch", 1000)); /* objective: 4 s */
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

/* Work of priority 0 of one organisation fills all workers, beyond its
 * guarantee. A guaranteed job of another organisation must start within its
 * time limit, by evicting work beyond the guarantee although that has priority
 * 0 too. */
TEST(Jobs, AGuaranteeIsReclaimedFromWorkBeyondAnotherGuarantee)
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
    sim.Ticks(55); /* 1.1 s; the limit is 2.7 s */
    EXPECT_EQ(sim.Starts("bb.0.0.0"), 1);
}

/* A worker fails all that it starts. It must be quarantined after failures in
 * a row, so that jobs do not use up their attempts on it. */
TEST(Jobs, AWorkerThatFailsEverythingIsQuarantined)
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

/* Runs on one worker make no progress, while the worker reports no problem.
 * They must be stopped and start elsewhere; otherwise they would hold their
 * resources for ever. */
TEST(Jobs, HungRunsAreMoved)
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

/* The members of a gang have unequal parts of its work. Members that have
 * finished theirs stay at 100 percent until the last one has. The gang must
 * not be taken for hung, or its work would be discarded just before it
 * ends. */
TEST(Jobs, AGangWhoseLastMemberTakesLongerIsNotMoved)
{
    Simulation sim(6); /* with room elsewhere for the whole gang */
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

/* A caller's estimate is a quarter of the actual length. The run must not be
 * moved: the worker is sound, and its work would be discarded again and again
 * because of a wrong estimate. */
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

/* Two services share the platform. Tasks of a queue must run only on workers
 * of its service, also while these are full and others are idle. */
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
    Str_Copy(s.steps[0].label, JOBS_TEXT_SIZE, "no such label");
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

/* Tasks of a service are restarted however they end, and their job must
 * neither fail nor be completed. */
TEST(Jobs, TasksOfAServiceAreRestarted)
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

/* Answers the scheduler's question by approving the workers with these ids.
 * Returns how many workers the question had. */
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

/* Only some workers may run a step. It must wait for the adviser, start on an
 * approved worker with the ticket, and ask about no worker twice. */
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

/* A ticket expires before its worker has room. It must be renewed when there
 * is room, not before, and the adviser must not be asked again about the
 * worker that may not run the step. */
TEST(Jobs, ExpiredTicketsAreRenewed)
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

/* The effect of a best-effort task on the tail latency of a service. */
struct Interference {
    const char *what;
    int64_t alone_ms; /* latency without the best-effort task */
    /* Latency added by the best-effort task at a share of 100 percent. */
    int64_t added_by_fill_ms;
    /* Of the best-effort task, on average in the second half. */
    int64_t min_share;
};

/* A best-effort task slows down a service with a latency objective of 100 ms.
 * Its share must be reduced until the objective is met, in less than 3 s, and
 * must stay as high as the objective allows; without interference it must not
 * change. */
TEST(Jobs, BestEffortTasksYieldToLatencyObjectives)
{
    const Interference cases[] = {{"none", 40, 0, 100},
                                  {"light", 40, 20, 100},
                                  {"strong", 50, 80, 20},
                                  {"very strong", 50, 400, 5},
                                  {"nearly missed by itself", 88, 100, 0},
                                  {"missed by itself", 120, 10, 0}};

    for (const Interference &c : cases) {
        Simulation sim(1);
        struct jobs_spec service = sim.Spec("ah", 1, 1);
        struct jobs_spec fills = sim.Spec("ai", 1, 0);
        int64_t missed_ms = 0, longest_missed_ms = 0, share_sum = 0;

        service.steps[0].lasting = true;
        service.steps[0].latency_target_ms = 100;
        fills.steps[0].fills = true;
        sim.behaviours["ah"].work_ms = sim.behaviours["ai"].work_ms = 600000;
        sim.Submit(service);
        sim.Submit(fills);
        sim.Ticks(20);
        for (int i = 0; i < 1000; i++) {
            Worker &x = sim.workers[0];
            int64_t share =
                x.shares.count("ai.0.0.0") != 0 ? x.shares["ai.0.0.0"] : 100;
            int64_t latency = c.alone_ms + c.added_by_fill_ms * share / 100;

            x.tail_latencies["ah.0.0.0"] = latency;
            missed_ms = latency > 100 && c.alone_ms <= 100 && share > 0
                            ? missed_ms + 20
                            : 0;
            longest_missed_ms = std::max(longest_missed_ms, missed_ms);
            share_sum += i >= 500 ? share : 0;
            sim.Tick();
        }
        EXPECT_LT(longest_missed_ms, 3000) << c.what;
        EXPECT_GE(share_sum / 500, c.min_share) << c.what;
        EXPECT_EQ(sim.Starts("ah.0.0.0"), 1) << c.what;
    }
}

/* An owner has reduced the share of a best-effort task and ends. The next
 * owner does not know the share, so it must send the task a new one, or the
 * task would be stalled for ever without any interference. */
TEST(Jobs, ANewOwnerSendsBestEffortTasksTheirShare)
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

/* The rows must hold all that the next run needs: it starts from the
 * checkpoint that the run before has saved. */
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

/* A job of 4,000 tasks arrives, and there is room for all of them at once. Its
 * row must stay within the limit of the store: a refused row would block the
 * owner's writes, and so every other job. All tasks must run, also when
 * another owner takes over and reads the row. */
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

/* A job is repeated a thousand times. Occurrences that are done must not stay
 * in the scheduler and in the job's row, which would exceed the store's limit
 * after a day. */
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

/* All workers are full when the owner changes, and then urgent work arrives.
 * The new owner must derive the age of the runs from their progress and evict
 * one. Counted as very old, they would be the most expensive to evict, so the
 * urgent work would wait until they had ended, and the logs would report
 * core-hours of discarded work. */
TEST(Jobs, RunsFromBeforeATakeoverAreEvictedByTheirTrueAge)
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
