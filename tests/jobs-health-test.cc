/* Workers that fail what they start, and jobs that fail on every worker. */
#include "jobs-world.h"

#include <gtest/gtest.h>

#include <vector>

namespace {

struct Case {
    const char *what;
    uint32_t tasks; /* of each gang; 1: single tasks */
    int faulty;     /* faulty workers, of 16 */
};

/* Some workers fail each run as soon as it has begun, and then have room
 * again. Jobs with two attempts failed although most workers were sound: each
 * faulty worker attracted three runs before it was quarantined, and second
 * attempts went to the next faulty one. */
TEST(JobsHealth, FaultyWorkersDoNotUseUpTheAttemptsOfJobs)
{
    static const Case cases[] = {
        {"single tasks, one faulty", 1, 1},
        {"single tasks, three faulty", 1, 3},
        {"gangs, one faulty", 4, 1},
        {"gangs, two faulty", 4, 2},
    };

    for (const Case &c : cases) {
        Simulation sim(16, "batch:2:2");
        int failed = 0;

        for (int i = 0; i < 12; i++) {
            struct jobs_spec s = sim.Spec("w" + std::to_string(i), 16, 1);

            sim.Submit(s); /* a run has ended on every worker */
        }
        sim.Ticks(150);
        for (int i = 0; i < c.faulty; i++) {
            sim.workers[static_cast<size_t>(5 * i)].fails_at_once = true;
        }
        for (int i = 0; i < 30; i++) {
            std::string id = "a" + std::to_string(i);
            struct jobs_spec s = sim.Spec(id, c.tasks, 4);

            s.steps[0].gang = c.tasks > 1;
            sim.behaviours[id].gang = static_cast<int>(c.tasks);
            sim.Submit(s);
            sim.Ticks(5);
        }
        sim.Ticks(400);
        for (int i = 0; i < 30; i++) {
            failed += sim.State("a" + std::to_string(i)) == JOB_FAILED;
        }
        EXPECT_EQ(failed, 0) << c.what;
        EXPECT_TRUE(sim.violations.empty()) << c.what;
    }
}

/* A job that can never be done fails early on every worker. It must end after
 * its attempts, and at most one worker may be quarantined because of it. */
TEST(JobsHealth, AJobThatFailsEverywhereQuarantinesOneWorkerAtMost)
{
    Simulation sim(16, "batch:2:3");
    int quarantines = 0;

    sim.behaviours["bad"].work_ms = 10;
    sim.behaviours["bad"].failures = 1000;
    sim.Submit(sim.Spec("bad", 40, 1));
    sim.Ticks(100);
    for (const auto &e : sim.events) {
        quarantines += e.second == "fails_all";
    }
    EXPECT_EQ(sim.State("bad"), JOB_FAILED);
    EXPECT_LE(quarantines, 1);
}

/* Every run fails, as something that all work needs is down. The workers must
 * be tried further: at most a quarter of them may be quarantined for single
 * failures, and jobs must end after their attempts instead of waiting for
 * ever. */
TEST(JobsHealth, JobsStillEndWhenEverythingFails)
{
    Simulation sim(8, "batch:2:2");

    for (Worker &x : sim.workers) {
        x.fails_at_once = true;
    }
    for (int i = 0; i < 10; i++) {
        sim.Submit(sim.Spec("a" + std::to_string(i), 2, 2));
    }
    sim.Ticks(600);
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(sim.State("a" + std::to_string(i)), JOB_FAILED);
    }
}

const struct jobs_parts DEPARTURES = {.departures = true};

int
Events(const Simulation &sim, const std::string &reason)
{
    int n = 0;

    for (const auto &e : sim.events) {
        n += e.second == reason;
    }
    return n;
}

/* One of 16 workers fails each run as soon as it has begun, for a minute. It
 * was tried again every 4 s with as many runs as fit. */
TEST(JobsHealth, AWorkerThatKeepsFailingIsTriedLessAndLess)
{
    int quarantines[2], failures[2];

    for (int on = 0; on < 2; on++) {
        Simulation sim(16, "batch:2:5", on != 0 ? DEPARTURES : jobs_parts{});

        sim.workers[5].fails_at_once = true;
        for (int i = 0; i < 600; i++) {
            sim.Submit(sim.Spec("a" + std::to_string(i), 12, 1));
            sim.Ticks(5);
        }
        quarantines[on] = Events(sim, "fails_all");
        failures[on] = Events(sim, "failed");
    }
    EXPECT_GE(quarantines[0], 12);
    EXPECT_LE(quarantines[1], 5);
    EXPECT_LE(5 * failures[1], failures[0]);
}

/* After a quarantine a worker gets one run until one has ended as done, then
 * two, then all that fit. */
TEST(JobsHealth, TrustReturnsInSteps)
{
    Simulation sim(2, "batch:2:9", DEPARTURES);
    std::vector<size_t> most; /* runs at once, when that rises */

    sim.workers[0].fails_at_once = true;
    for (int i = 0; i < 12; i++) {
        sim.Submit(sim.Spec("a" + std::to_string(i), 12, 1));
    }
    for (int i = 0; i < 250 && !sim.HasEvent("worker_out", "fails_all"); i++) {
        sim.Tick();
    }
    ASSERT_TRUE(sim.HasEvent("worker_out", "fails_all"));
    sim.workers[0].fails_at_once = false;
    sim.Ticks(10); /* runs that were there have ended */
    for (int i = 0; i < 600; i++) {
        sim.Tick();
        size_t n = sim.workers[0].runs.size();

        if (n > 0 && (most.empty() || n > most.back())) {
            most.push_back(n);
        }
    }
    EXPECT_EQ(most, (std::vector<size_t>{1, 2, 8}));
    EXPECT_EQ(Events(sim, "regains_trust"), 2);
}

/* Guards against a worker that gets all work that fits after its quarantine,
 * because one gang has worked there: its tasks raise the trust only once. */
TEST(JobsHealth, AGangRaisesTheTrustInItsWorkerOnce)
{
    Simulation sim(2, "batch:2:9", DEPARTURES);
    struct jobs_spec probe = sim.Spec("probe", 1, 8);
    struct jobs_spec gang = sim.Spec("aa", 4, 1);

    sim.workers[1].rack = "special";
    for (struct jobs_spec *s : {&probe, &gang}) {
        Str_Copy(s->steps[0].label, sizeof(s->steps[0].label), "special");
    }
    sim.workers[1].fails_at_once = true;
    sim.Submit(probe);
    for (int i = 0; i < 2000 && !sim.HasEvent("worker_out", "fails_all");
         i++) {
        sim.Tick();
    }
    ASSERT_TRUE(sim.HasEvent("worker_out", "fails_all"));
    sim.Cancel("probe");
    sim.workers[1].fails_at_once = false;
    gang.steps[0].gang = true;
    sim.behaviours["aa"].gang = 4;
    sim.behaviours["aa"].work_ms = 60000;
    sim.Submit(gang);
    for (int i = 0; i < 1000 && sim.Starts("aa.0.0.3") == 0; i++) {
        sim.Tick();
    }
    ASSERT_EQ(sim.Starts("aa.0.0.3"), 1);
    EXPECT_EQ(Events(sim, "regains_trust"), 0);
    sim.Ticks(150);
    EXPECT_EQ(Events(sim, "regains_trust"), 1);
}

/* Guards against a job that fails because its last attempt goes to a worker
 * that has just failed everything. It waits for the other one, which is full.
 */
TEST(JobsHealth, ALastAttemptAvoidsAWorkerThatRegainsTrust)
{
    Simulation sim(2, "batch:2:2 long:2:9", DEPARTURES);

    sim.workers[0].fails_at_once = true;
    sim.workers[0].capacity.accelerators = 4;
    sim.behaviours["full"].work_ms = 22000;
    sim.Submit(sim.Spec("full", 1, 8, "long"));
    sim.Submit(sim.Spec("bad", 4, 1, "long"));
    sim.Ticks(20);
    ASSERT_TRUE(sim.HasEvent("worker_out", "fails_all"));
    ASSERT_EQ(sim.workers[1].runs.size(), 1u);
    sim.Cancel("bad");
    sim.workers[0].fails_at_once = false;
    sim.behaviours["last"].failures = 1;
    sim.Submit(sim.Spec("last", 1, 1));
    for (int i = 0; i < 1500 && sim.Starts("last.0.0.0") < 2; i++) {
        sim.Tick();
    }
    ASSERT_EQ(sim.Starts("last.0.0.0"), 2);
    EXPECT_EQ(sim.WorkerOf("last.0.0.0"), &sim.workers[1]);
}

/* A report ends the earlier incarnations of its own agent only. Agents are
 * found in the order of their names, in which "agent-1" is next to "agent-10".
 */
TEST(JobsHealth, AReportEndsEarlierIncarnationsOfItsAgentOnly)
{
    Simulation sim(12, "batch:2:3");

    sim.behaviours["wide"].work_ms = 60000;
    sim.Submit(sim.Spec("wide", 12, 8));
    sim.Ticks(20);
    for (const Worker &w : sim.workers) {
        ASSERT_EQ(w.runs.size(), 1u) << w.agent;
    }
    sim.RestartWorker(1);
    sim.Ticks(100);
    for (size_t i = 0; i < sim.workers.size(); i++) {
        ASSERT_EQ(sim.workers[i].runs.size(), 1u) << i;
    }
    int starts = 0;
    for (int i = 0; i < 12; i++) {
        starts += sim.Starts("wide.0.0." + std::to_string(i));
    }
    EXPECT_EQ(starts, 13) << "one task starts again, on the new incarnation";
    EXPECT_TRUE(sim.violations.empty());
}

struct ServiceCase {
    const char *what;
    int failures;
    int64_t failing_ms; /* length of the runs that fail */
    int64_t estimate_ms;
    int64_t other_ms; /* length of the other task's runs */
};

/* Guards against a task of a service that has no run for a minute after a
 * failure, as the only worker with its label is in quarantine, or regains
 * trust while the other task never ends as done. */
TEST(JobsHealth, AServiceIsRestartedOnTheOnlyWorkerWithItsLabel)
{
    static const ServiceCase cases[] = {
        {"one failure", 1, 1200, 60000, 600000},
        {"one failure at once", 1, 100, 60000, 600000},
        {"without an estimate", 3, 1200, 0, 600000},
        {"four failures at once", 4, 100, 0, 600000},
        {"seven failures", 7, 1200, 60000, 600000},
        {"late failures", 5, 5000, 60000, 600000},
        {"both fail", 5, 100, 60000, 100},
    };

    for (const ServiceCase &c : cases) {
        Simulation sim(7, "batch:2:3", DEPARTURES);
        struct jobs_spec s = sim.Spec("aa", 2, 1);
        const std::string task = "aa.0.0.0";
        int64_t longest = 0, stopped = 0;

        sim.workers[6].rack = "r2";
        Str_Copy(s.steps[0].label, sizeof(s.steps[0].label), "r2");
        s.steps[0].lasting = true;
        s.steps[0].estimate_ms = c.estimate_ms;
        sim.behaviours[task].work_ms = c.failing_ms;
        sim.behaviours[task].failures = c.failures;
        sim.behaviours["aa.0.0.1"].work_ms = c.other_ms;
        sim.Submit(s);
        sim.Ticks(4);
        for (int i = 0; i < 5000; i++) {
            sim.Tick();
            if (sim.failed_runs[task] >= c.failures) {
                sim.behaviours[task].work_ms = 600000;
                sim.behaviours["aa.0.0.1"].work_ms = 600000;
            }
            stopped = sim.WorkerOf(task) != nullptr ? 0 : stopped + 20;
            longest = std::max(longest, stopped);
        }
        EXPECT_EQ(sim.failed_runs[task], c.failures) << c.what;
        EXPECT_LE(longest, 9000) << c.what;
        EXPECT_NE(sim.WorkerOf(task), nullptr) << c.what;
        EXPECT_NE(sim.WorkerOf("aa.0.0.1"), nullptr) << c.what;
    }
}

/* A worker's quarantine, and a job that only that worker can run. */
struct OnlyWorkerCase {
    const char *what;
    uint32_t first_tasks; /* of a job that starts before it; 0: none */
    int64_t first_ms;     /* length of its runs */
    uint32_t tasks;
    bool gang;
    uint32_t pool; /* workers with its label, all in quarantine before */
    bool lasting;
};

/* Guards against work that waits for a minute, as the only workers for it have
 * failed before: they get one task at a time until one has ended as done, and
 * the work is a gang, or a long run takes the only place. */
TEST(JobsHealth, AWorkerThatRegainsTrustRunsTheWorkThatNeedsIt)
{
    static const OnlyWorkerCase cases[] = {
        {"a gang", 0, 0, 4, true, 1, false},
        {"a gang of all places", 0, 0, 8, true, 1, false},
        {"a gang across a pool", 0, 0, 16, true, 2, false},
        {"a gang behind a long run", 1, 60000, 4, true, 1, false},
        {"a task behind a long run", 1, 60000, 1, false, 1, false},
        {"a task behind two long runs", 2, 60000, 1, false, 1, false},
        {"a task behind a gang", 4, 60000, 1, false, 1, false},
        {"a service behind a long run", 1, 60000, 1, false, 1, true},
        {"a gang of services", 0, 0, 4, true, 1, true},
    };

    for (const OnlyWorkerCase &c : cases) {
        Simulation sim(8, "batch:2:3", DEPARTURES);
        struct jobs_spec first = sim.Spec("first", c.first_tasks, 1);
        struct jobs_spec s = sim.Spec("aa", c.tasks, 1);
        int waited = 0;

        for (struct jobs_spec *x : {&first, &s}) {
            Str_Copy(x->steps[0].label, sizeof(x->steps[0].label), "special");
        }
        for (uint32_t i = 0; i < c.pool; i++) {
            struct jobs_spec probe =
                sim.Spec("probe" + std::to_string(i), 1, 8);

            Str_Copy(probe.steps[0].label, sizeof(probe.steps[0].label),
                     "special");
            sim.workers[7 - i].rack = "special";
            sim.workers[7 - i].fails_at_once = true;
            sim.Submit(probe);
        }
        sim.Ticks(20);
        ASSERT_EQ(Events(sim, "fails_all"), static_cast<int>(c.pool))
            << c.what;
        for (uint32_t i = 0; i < c.pool; i++) {
            sim.Cancel("probe" + std::to_string(i));
        }
        for (Worker &w : sim.workers) {
            w.fails_at_once = false;
        }
        sim.Ticks(220);
        first.steps[0].gang = c.first_tasks > 2;
        sim.behaviours["first"].gang =
            c.first_tasks > 2 ? static_cast<int>(c.first_tasks) : 1;
        sim.behaviours["first"].work_ms = c.first_ms;
        if (c.first_tasks > 0) {
            sim.Submit(first);
            sim.Ticks(4);
        }
        else {
            JobsSpec_Clear(&first);
        }
        s.steps[0].gang = c.gang;
        s.steps[0].lasting = c.lasting;
        sim.behaviours["aa"].gang = c.gang ? static_cast<int>(c.tasks) : 1;
        sim.behaviours["aa"].lasting = c.lasting;
        sim.Submit(s);
        while (sim.Starts("aa.0.0.0") == 0 && waited < 10000) {
            sim.Tick();
            waited += 20;
        }
        /* Work that has a place may wait for 3 s. */
        EXPECT_LE(waited, 3000) << c.what;
        EXPECT_TRUE(sim.violations.empty()) << c.what;
    }
}

/* The last attempt of a unit whose first one failed on a worker that regains
 * trust, and another worker with the same label. */
struct LastAttemptCase {
    const char *what;
    uint32_t tasks; /* more than 1: a gang */
    int64_t accelerators;
    int64_t other_accelerators; /* of the other worker */
    int64_t other_ms; /* length of the run that fills it; 0: none, -1: lasts */
};

/* Guards against a last attempt that waits for a minute for workers that can't
 * run it, as they are too small or full for good, or for a busy one while most
 * of the service is idle. */
TEST(JobsHealth, ALastAttemptDoesNotWaitForWorkersThatCannotRunIt)
{
    static const LastAttemptCase cases[] = {
        {"a gang that needs both", 2, 4, 8, 0},
        {"the other one is too small", 1, 4, 2, 0},
        {"the other one has a service", 1, 4, 8, -1},
        {"the other one has a long run", 1, 4, 8, 60000},
    };

    for (const LastAttemptCase &c : cases) {
        Simulation sim(8, "batch:2:2 long:2:9", DEPARTURES);
        struct jobs_spec other = sim.Spec("other", 1, 8, "long");
        struct jobs_spec s = sim.Spec("aa", c.tasks, c.accelerators);
        int waited = 0;

        for (struct jobs_spec *x : {&other, &s}) {
            Str_Copy(x->steps[0].label, sizeof(x->steps[0].label), "special");
        }
        sim.workers[6].rack = sim.workers[7].rack = "special";
        sim.workers[6].capacity.accelerators = c.other_accelerators;
        sim.workers[7].capacity.accelerators = 4;
        other.steps[0].lasting = c.other_ms < 0;
        sim.behaviours["other"].lasting = c.other_ms < 0;
        sim.behaviours["other"].work_ms = c.other_ms < 0 ? 600000 : c.other_ms;
        if (c.other_ms != 0) {
            sim.Submit(other);
            sim.Ticks(5);
        }
        else {
            JobsSpec_Clear(&other);
        }
        s.steps[0].gang = c.tasks > 1;
        sim.behaviours["aa"].gang = static_cast<int>(c.tasks);
        sim.workers[7].fails_at_once = true;
        sim.workers[6].capacity.accelerators =
            c.tasks > 1 ? 4 : c.other_accelerators;
        sim.Submit(s);
        sim.Ticks(20);
        ASSERT_EQ(Events(sim, "fails_all"), 1) << c.what;
        sim.workers[7].fails_at_once = false;
        while (sim.Starts("aa.0.0.0") < 2 && waited < 60000) {
            sim.Tick();
            waited += 20;
        }
        /* The quarantine of 4 s, and 3 s for which work may wait. */
        EXPECT_LE(waited, 7000) << c.what;
        EXPECT_TRUE(sim.violations.empty()) << c.what;
    }
}

struct LongQuarantineCase {
    const char *what;
    uint32_t tasks;   /* more than 1: a gang, which needs another worker too */
    int64_t other_ms; /* length of a run that fills that one; 0: none */
    bool pool_is_idle;
    int64_t longest_ms; /* between two attempts on the failing worker */
};

/* Guards against work that waits for half a minute for the quarantine of the
 * only worker for it, though that is sound again. */
TEST(JobsHealth, ALongQuarantineDoesNotKeepOffWorkThatNeedsTheWorker)
{
    static const LongQuarantineCase cases[] = {
        {"a task for one worker", 1, 0, true, 8200},
        {"in a busy service", 1, 0, false, 8200},
        {"a gang that needs two workers", 2, 0, true, 8200},
        {"beside a worker that is busy for long", 1, 90000, true, 8200},
    };

    for (const LongQuarantineCase &c : cases) {
        Simulation sim(8, "batch:2:40", DEPARTURES);
        struct jobs_spec s = sim.Spec("aa", c.tasks, 4);
        int64_t longest = 0, tried = 0;
        int starts = 1;

        sim.workers[7].rack = "special";
        sim.workers[7].capacity.accelerators = 4;
        sim.workers[7].fails_at_once = true;
        if (c.tasks > 1 || c.other_ms > 0) {
            sim.workers[6].rack = "special";
            sim.workers[6].capacity.accelerators = c.tasks > 1 ? 4 : 8;
        }
        if (c.other_ms > 0) {
            struct jobs_spec other = sim.Spec("other", 1, 8);

            Str_Copy(other.steps[0].label, sizeof(other.steps[0].label),
                     "special");
            sim.behaviours["other"].work_ms = c.other_ms;
            sim.Submit(other);
            sim.Ticks(5);
        }
        if (!c.pool_is_idle) {
            sim.behaviours["busy"].work_ms = 90000;
            sim.Submit(sim.Spec("busy", 6, 8));
        }
        Str_Copy(s.steps[0].label, sizeof(s.steps[0].label), "special");
        s.steps[0].gang = c.tasks > 1;
        sim.behaviours["aa"].gang = static_cast<int>(c.tasks);
        sim.Submit(s);
        sim.Ticks(5);
        ASSERT_EQ(sim.Starts("aa.0.0.0"), 1) << c.what;
        for (tried = sim.now; starts < 7 && sim.now - tried < 60000;) {
            sim.Tick();
            if (sim.Starts("aa.0.0.0") > starts) {
                starts = sim.Starts("aa.0.0.0");
                longest = std::max(longest, sim.now - tried);
                tried = sim.now;
            }
        }
        EXPECT_EQ(starts, 7) << c.what;
        EXPECT_LE(longest, c.longest_ms) << c.what;
    }
}

} /* namespace */
