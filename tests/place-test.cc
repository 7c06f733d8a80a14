#include "cells-support.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

const struct cells_shape FOUR = {0, 4}, WORKER = {1, 0}, RACK2 = {2, 0};
const int64_t HOUR_MS = 3600000;

/* Puts a lent job on the given accelerators. */
void
add_lent_job(struct cells *c, uint64_t job, const char *org, int worker,
             uint64_t mask, int64_t started = 0, int64_t estimate = HOUR_MS)
{
    struct cells_part part = {worker, mask, 1};
    struct cells_request req =
        request(job, org, 1, __builtin_popcountll(mask), false);

    req.estimate_ms = estimate;
    ASSERT_EQ(Cells_Adopt(c, &req, &part, 1, started), ERR_OK);
}

std::vector<int>
workers(const struct cells_plan &plan)
{
    std::vector<int> out;

    for (int i = 0; i < plan.parts; i++) {
        out.push_back(plan.part[i].worker);
    }
    return out;
}

std::vector<uint64_t>
victims(const struct cells_plan &plan)
{
    std::vector<uint64_t> out;

    for (int i = 0; i < plan.victims; i++) {
        out.push_back(plan.victim[i].job);
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace

/* Racks: 0 = workers 0, 1, 2; 1 = workers 3, 4 in the same failure domain; 2 =
 * workers 5, 6. */
TEST(Placement, LowestLevelThenTightestFit)
{
    static const struct {
        const char *name;
        std::vector<std::pair<int, uint64_t>> busy;
        int tasks, accelerators;
        enum cells_reason reason;
        enum cells_level near;
        std::vector<int> on;
    } cases[] = {
        {"one worker holds both tasks",
         {},
         2,
         4,
         CELLS_PLACED_FREE,
         CELLS_LEVEL_WORKER,
         {3}},
        {"the worker with the block that fits",
         {{1, 0x0f}, {4, 0x3f}},
         1,
         2,
         CELLS_PLACED_FREE,
         CELLS_LEVEL_WORKER,
         {4}},
        {"one rack rather than two",
         {{0, 0xff}},
         2,
         8,
         CELLS_PLACED_FREE,
         CELLS_LEVEL_RACK,
         {1, 2}},
        {"the rack that fits, in the smaller failure domain",
         {},
         2,
         8,
         CELLS_PLACED_FREE,
         CELLS_LEVEL_RACK,
         {5, 6}},
        {"the whole large rack",
         {},
         3,
         8,
         CELLS_PLACED_FREE,
         CELLS_LEVEL_RACK,
         {0, 1, 2}},
        {"one failure domain",
         {},
         5,
         8,
         CELLS_PLACED_FREE,
         CELLS_LEVEL_DOMAIN,
         {0, 1, 2, 3, 4}},
        {"enough free, but in pieces",
         {{0, 1}, {1, 1}, {2, 1}, {3, 1}, {4, 1}, {5, 1}, {6, 1}},
         1,
         8,
         CELLS_WAIT_FRAGMENTED,
         CELLS_LEVEL_WORKER,
         {}},
        {"not enough",
         {{0, 0xff}},
         7,
         8,
         CELLS_WAIT_FULL,
         CELLS_LEVEL_WORKER,
         {}},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_request req =
            request(100, "a", t.tasks, t.accelerators, false);
        uint64_t id = 1;
        Plan plan;

        add_racks(c.get(), {3, 2, 2}, 8);
        for (const auto &b : t.busy) {
            add_lent_job(c.get(), id++, "x", b.first, b.second);
        }
        Cells_Plan(c.get(), &req, &EVEN_WEIGHTS, 0, &plan);
        EXPECT_STREQ(Cells_ReasonName(plan.reason), Cells_ReasonName(t.reason))
            << t.name;
        EXPECT_EQ(plan.score.common_level, t.near) << t.name;
        EXPECT_EQ(workers(plan), t.on) << t.name;
    }
}

/* Two tasks of 4 accelerators, two half-free workers and an empty one in a
 * rack: a high completion weight puts both tasks on the empty worker, a high
 * fragmentation weight keeps it empty. */
TEST(Placement, WeightsChooseBetweenLocalityAndFragmentation)
{
    static const struct {
        struct cells_weights weights;
        std::vector<int> on;
    } cases[] = {{{100, 0, 0}, {2}}, {{10, 90, 0}, {0, 1}}};

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_request req = request(9, "a", 2, 4, false);
        Plan plan;

        add_racks(c.get(), {3}, 8);
        add_lent_job(c.get(), 1, "x", 0, 0x0f);
        add_lent_job(c.get(), 2, "x", 1, 0x0f);
        Cells_Plan(c.get(), &req, &t.weights, 0, &plan);
        EXPECT_EQ(workers(plan), t.on);
    }
}

TEST(Placement, ReportsRequestsThatCanNeverRun)
{
    static const struct {
        int tasks, accelerators;
        bool guaranteed;
        enum cells_level within;
        enum cells_reason reason;
    } cases[] = {
        {1, 9, false, CELLS_LEVEL_ALL, CELLS_NEVER_TASK},
        {8, 8, false, CELLS_LEVEL_ALL, CELLS_NEVER_GANG},
        {4, 8, false, CELLS_LEVEL_RACK, CELLS_NEVER_WITHIN},
        {3, 3, false, CELLS_LEVEL_WORKER, CELLS_NEVER_WITHIN},
        {2, 8, true, CELLS_LEVEL_ALL, CELLS_NEVER_GUARANTEE},
        {0, 8, false, CELLS_LEVEL_ALL, CELLS_NEVER_INVALID},
        {1, 0, false, CELLS_LEVEL_ALL, CELLS_NEVER_INVALID},
        {7, 8, false, CELLS_LEVEL_ALL, CELLS_PLACED_FREE},
    };
    CellsPtr c = owned(Cells_New());

    add_racks(c.get(), {3, 2, 2}, 8);
    Cells_SetGuarantee(c.get(), "a", WORKER, 1);
    for (const auto &t : cases) {
        struct cells_request req =
            request(1, "a", t.tasks, t.accelerators, t.guaranteed);
        Plan plan;

        req.within = t.within;
        EXPECT_STREQ(Cells_ReasonName(
                         Cells_Plan(c.get(), &req, &EVEN_WEIGHTS, 0, &plan)),
                     Cells_ReasonName(t.reason));
    }
}

/* If a plan could be committed after the state has changed, its job could
 * start on a failed worker or on accelerators that are now bound to another
 * organisation. */
TEST(Placement, APlanIsStaleAfterAChange)
{
    CellsPtr c = owned(Cells_New());
    struct cells_request req = request(1, "a", 1, 8, false);
    Plan plan;

    add_racks(c.get(), {2}, 8);
    Cells_Plan(c.get(), &req, &EVEN_WEIGHTS, 0, &plan);
    Cells_SetWorkerState(c.get(), plan.part[0].worker, CELLS_WORKER_FAILED);
    EXPECT_EQ(Cells_Commit(c.get(), &plan), ERR_STALE);
    EXPECT_EQ(Cells_JobCount(c.get()), 0);
}

/* Lent jobs occupy all workers of an organisation's cells, and the
 * organisation starts a guaranteed job. The lent job that loses the least work
 * has to go, as a whole gang. */
TEST(Reclaim, DisplacesTheLeastWork)
{
    struct lent {
        uint64_t mask[3]; /* by worker */
        int64_t checkpoint_at;
    };
    static const struct {
        const char *name;
        int workers;
        std::vector<lent> jobs;
        int tasks, accelerators;
        std::vector<uint64_t> victims;
    } cases[] = {
        {"the latest checkpoint",
         2,
         {{{0xff}, 10}, {{0, 0xff}, 90}},
         1,
         8,
         {2}},
        {"the smaller of two", 2, {{{0x3f}, 0}, {{0, 0xff}, 0}}, 1, 8, {1}},
        {"a free part costs nothing",
         2,
         {{{0x0f}, 0}, {{0, 0xff}, 99}},
         1,
         4,
         {}},
        {"a gang counts whole",
         2,
         {{{0x0f, 0xff}, 90}, {{0xf0}, 90}},
         1,
         4,
         {2}},
        {"one job rather than two",
         2,
         {{{0x03}, 20}, {{0x0c}, 20}, {{0xf0}, 18}, {{0, 0xff}, 0}},
         1,
         4,
         {3}},
        {"a small one not needed stays",
         2,
         {{{0x01}, 99}, {{0xfe}, 50}, {{0, 0xff}, 0}},
         1,
         4,
         {2}},
        {"the other accelerators of a gang that goes",
         3,
         {{{0xff, 0xff}, 80}, {{0, 0, 0xff}, 55}},
         2,
         8,
         {1}},
        {"one gang rather than it and a cheaper job",
         3,
         {{{0xff, 0xff}, 80}, {{0, 0, 0xff}, 75}},
         2,
         8,
         {1}},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_request req =
            request(100, "a", t.tasks, t.accelerators, true);
        uint64_t id = 0;
        Plan plan;

        add_racks(c.get(), {t.workers}, 8);
        Cells_SetGuarantee(c.get(), "a", WORKER, t.workers);
        for (const auto &j : t.jobs) {
            struct cells_part part[3];
            int parts = 0, n = 0;

            for (int w = 0; w < 3; w++) {
                if (j.mask[w] != 0) {
                    part[parts++] = {w, j.mask[w], 1};
                    n += __builtin_popcountll(j.mask[w]);
                }
            }
            struct cells_request lent = request(++id, "x", 1, n, false);
            ASSERT_EQ(Cells_Adopt(c.get(), &lent, part, parts, 0), ERR_OK);
            Cells_RecordCheckpoint(c.get(), id, j.checkpoint_at * 60000);
        }
        Cells_Plan(c.get(), &req, &EVEN_WEIGHTS, 100 * 60000, &plan);
        EXPECT_TRUE(Cells_IsPlaced(plan.reason)) << t.name;
        EXPECT_EQ(victims(plan), t.victims) << t.name;
        EXPECT_EQ(Cells_Commit(c.get(), &plan), ERR_OK) << t.name;
        EXPECT_EQ(Cells_JobCount(c.get()),
                  (int)(t.jobs.size() - t.victims.size()) + 1);
    }
}

/* A lent job is on the organisation's cell, and an equal cell of another
 * organisation is idle and free. The two cells exchange places, and no job is
 * displaced. */
TEST(Reclaim, ABindingMovesWhereThatAvoidsAVictim)
{
    static const struct {
        unsigned baseline;
        enum cells_reason reason;
        int victims;
    } cases[] = {{0, CELLS_PLACED_MOVED, 0},
                 {CELLS_BASELINE_FIXED, CELLS_PLACED_RECLAIM, 1}};

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_weights weights = {50, 50, t.baseline};
        struct cells_request req = request(2, "a", 1, 8, true);
        struct cells_binding b;
        Plan plan;

        add_racks(c.get(), {2}, 8);
        Cells_SetGuarantee(c.get(), "a", WORKER, 1);
        Cells_SetGuarantee(c.get(), "b", WORKER, 1);
        Cells_Binding(c.get(), 0, &b);
        add_lent_job(c.get(), 1, "x", b.worker[0], 0xff);
        uint64_t version = Cells_Version(c.get());
        Cells_Plan(c.get(), &req, &weights, 0, &plan);
        EXPECT_EQ(plan.reason, t.reason);
        EXPECT_EQ(plan.victims, t.victims);
        EXPECT_EQ(Cells_Commit(c.get(), &plan), ERR_OK);
        EXPECT_EQ(Cells_Version(c.get()) != version, t.victims == 0);
        EXPECT_EQ(start(c.get(), request(3, "b", 1, 8, true), 0, weights),
                  t.victims ? CELLS_PLACED_FREE : CELLS_PLACED_RECLAIM);
    }
}

/* A rack-shaped cell has to stay available while other organisations run small
 * guaranteed jobs, and while its own organisation's small jobs have other
 * cells to use. */
TEST(Reclaim, ALargeCellStaysAvailable)
{
    CellsPtr c = owned(Cells_New());
    struct cells_request req = request(50, "a", 2, 8, true);

    add_racks(c.get(), {2, 2}, 8);
    Cells_SetGuarantee(c.get(), "a", RACK2, 1);
    Cells_SetGuarantee(c.get(), "a", FOUR, 1);
    Cells_SetGuarantee(c.get(), "b", FOUR, 3);
    for (uint64_t id = 1; id <= 3; id++) {
        EXPECT_TRUE(
            Cells_IsPlaced(start(c.get(), request(id, "b", 1, 4, true))));
    }
    EXPECT_TRUE(Cells_IsPlaced(start(c.get(), request(4, "a", 1, 4, true))));
    req.within = CELLS_LEVEL_RACK;
    EXPECT_TRUE(Cells_IsPlaced(start(c.get(), req)));
}

/* A job that fits both a worker cell and a rack cell has to use the worker
 * cell, although the rack of the rack cell is the tighter one; otherwise the
 * rack cell is lost to a gang. */
TEST(Reclaim, SmallWorkGoesIntoTheSmallerCell)
{
    CellsPtr c = owned(Cells_New());
    struct cells_request req = request(2, "a", 2, 8, true);

    add_racks(c.get(), {2, 3}, 8);
    Cells_SetGuarantee(c.get(), "a", RACK2, 1);
    Cells_SetGuarantee(c.get(), "a", WORKER, 1);
    EXPECT_TRUE(Cells_IsPlaced(start(c.get(), request(1, "a", 1, 8, true))));
    req.within = CELLS_LEVEL_RACK;
    EXPECT_TRUE(Cells_IsPlaced(start(c.get(), req)));
}

TEST(Reclaim, PrioritiesApplyOnlyWithPreemption)
{
    static const struct {
        bool guaranteed, preempt;
        int priority;
        enum cells_reason reason;
    } cases[] = {
        {false, false, 9, CELLS_WAIT_FULL},
        {false, true, 5, CELLS_WAIT_FULL},
        {false, true, 9, CELLS_WAIT_FULL}, /* a guaranteed job is there */
        {true, false, 9, CELLS_WAIT_GUARANTEE},
        {true, true, 5, CELLS_WAIT_GUARANTEE},
        {true, true, 9, CELLS_PLACED_PREEMPT},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_request req = request(1, "a", 1, 8, true);
        struct cells_request urgent = request(2, "a", 1, 8, t.guaranteed);

        add_racks(c.get(), {1}, 8);
        Cells_SetGuarantee(c.get(), "a", WORKER, 1);
        req.priority = 5;
        start(c.get(), req);
        urgent.priority = t.priority;
        urgent.preempt = t.preempt;
        EXPECT_EQ(start(c.get(), urgent), t.reason);
    }
}

/* One worker of 8 accelerators, half of it busy for 10 hours; a gang of 8 is
 * at the head of the queue, and small jobs are behind it. The gang has to
 * start after 10 hours and not after the last of the small jobs. */
TEST(Queue, BackfillNeverDelaysTheReservation)
{
    static const struct {
        const char *name;
        int accelerators;
        int64_t estimate;
        struct place_options options;
        enum place_reason reason;
    } cases[] = {
        {"ends before the gang starts",
         4,
         HOUR_MS,
         {EVEN_WEIGHTS},
         PLACE_START_BACKFILL_ENDS},
        {"would delay the gang", 4, 20 * HOUR_MS, {EVEN_WEIGHTS}, PLACE_WAIT},
        {"unknown run time", 4, 0, {EVEN_WEIGHTS}, PLACE_START_BACKFILL_ENDS},
        {"no reservation: the gang starves",
         4,
         20 * HOUR_MS,
         {EVEN_WEIGHTS, true, false},
         PLACE_START_UNRESERVED},
        {"no backfill: the worker idles",
         4,
         HOUR_MS,
         {EVEN_WEIGHTS, false, true},
         PLACE_WAIT},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_request queue[] = {
            request(2, "a", 1, 8, false),
            request(3, "b", 1, t.accelerators, false)};
        struct place_decision d;

        add_racks(c.get(), {1}, 8);
        add_lent_job(c.get(), 1, "x", 0, 0x0f, 0, 10 * HOUR_MS);
        queue[1].estimate_ms = t.estimate;
        Place_Next(c.get(), queue, 2, &t.options, 0, &d);
        EXPECT_STREQ(Place_ReasonName(d.reason), Place_ReasonName(t.reason))
            << t.name;
        if (!t.options.no_reservation) {
            EXPECT_EQ(d.reserved_for, 2u) << t.name;
            EXPECT_EQ(d.reserved_at, t.options.no_backfill ? 0 : 10 * HOUR_MS)
                << t.name;
        }
        Place_DecisionClear(&d);
    }
}

/* Small jobs of three hours arrive every hour and could occupy the worker for
 * ever. The gang has to start when the job that was running before it ends. */
TEST(Queue, AStreamOfSmallJobsDoesNotStarveTheGang)
{
    static const struct {
        struct place_options options;
        int64_t started; /* hour; -1: not within 100 hours */
    } cases[] = {{{EVEN_WEIGHTS}, 10}, {{EVEN_WEIGHTS, true, false}, -1}};

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        std::vector<struct cells_request> queue = {
            request(2, "a", 1, 8, false)};
        std::vector<std::pair<int64_t, uint64_t>> ends = {{10, 1}};
        int64_t started = -1;

        add_racks(c.get(), {1}, 8);
        add_lent_job(c.get(), 1, "x", 0, 0x0f, 0, 10 * HOUR_MS);
        for (int64_t hour = 0; hour < 100; hour++) {
            struct place_decision d;

            for (const auto &e : ends) {
                if (e.first == hour) {
                    Cells_Release(c.get(), e.second);
                }
            }
            queue.push_back(request(100 + hour, "b", 1, 4, false));
            queue.back().estimate_ms = 3 * HOUR_MS;
            while (Place_Next(c.get(), queue.data(), (int)queue.size(),
                              &t.options, hour * HOUR_MS, &d) != PLACE_WAIT &&
                   d.reason != PLACE_EMPTY) {
                uint64_t job = queue[d.index].job;

                started = job == 2 ? hour : started;
                ends.push_back({hour + 3, job});
                ASSERT_EQ(Cells_Commit(c.get(), &d.plan), ERR_OK);
                queue.erase(queue.begin() + d.index);
                Place_DecisionClear(&d);
            }
            Place_DecisionClear(&d);
        }
        EXPECT_EQ(started, t.started);
    }
}

/* A long job behind the gang may start on accelerators that the gang will not
 * use. */
TEST(Queue, BackfillThatLeavesTheReservationItsRoom)
{
    CellsPtr c = owned(Cells_New());
    struct cells_request queue[] = {request(2, "a", 1, 8, false),
                                    request(3, "b", 1, 4, false)};
    struct place_options options = {EVEN_WEIGHTS};
    struct place_decision d;

    add_racks(c.get(), {2}, 8);
    add_lent_job(c.get(), 1, "x", 0, 0x0f, 0, HOUR_MS);
    add_lent_job(c.get(), 4, "x", 1, 0x0f, 0, 9 * HOUR_MS);
    queue[1].estimate_ms = 50 * HOUR_MS;
    EXPECT_EQ(Place_Next(c.get(), queue, 2, &options, 0, &d),
              PLACE_START_BACKFILL_ROOM);
    EXPECT_EQ(workers(d.plan), std::vector<int>{1});
    Place_DecisionClear(&d);
}

/* A lent gang's reservation must not hold back a guaranteed job, and a job
 * that can never run must be reported at once instead of after the head. */
TEST(Queue, GuaranteedAndImpossibleWorkDoNotWaitBehindTheHead)
{
    CellsPtr c = owned(Cells_New());
    struct cells_request queue[] = {request(2, "x", 2, 8, false),
                                    request(3, "a", 1, 8, true),
                                    request(4, "x", 1, 9, false)};
    struct place_options options = {EVEN_WEIGHTS};
    struct place_decision d;

    add_racks(c.get(), {2}, 8);
    Cells_SetGuarantee(c.get(), "a", WORKER, 1);
    add_lent_job(c.get(), 1, "x", 0, 0x0f);
    EXPECT_EQ(Place_Next(c.get(), queue, 3, &options, 0, &d),
              PLACE_START_UNRESERVED);
    EXPECT_EQ(d.index, 1);
    Place_DecisionClear(&d);
    queue[1] = queue[2];
    EXPECT_EQ(Place_Next(c.get(), queue, 2, &options, 0, &d), PLACE_NEVER);
    EXPECT_EQ(d.plan.reason, CELLS_NEVER_TASK);
    Place_DecisionClear(&d);
    EXPECT_EQ(Place_Next(c.get(), queue, 0, &options, 0, &d), PLACE_EMPTY);
}

/* A job that has exceeded its estimate is expected to end later than now.
 * Otherwise the head of the queue would always be expected to start now, and
 * no job could be backfilled. */
TEST(Queue, ForecastOfAnOverrunJob)
{
    CellsPtr c = owned(Cells_New());
    struct cells_request req = request(2, "a", 1, 8, false);

    add_racks(c.get(), {1}, 8);
    EXPECT_EQ(Place_Forecast(c.get(), &req, &EVEN_WEIGHTS, 5), 5);
    add_lent_job(c.get(), 1, "x", 0, 0x01, 0, HOUR_MS);
    EXPECT_EQ(Place_Forecast(c.get(), &req, &EVEN_WEIGHTS, 0), HOUR_MS);
    EXPECT_EQ(Place_Forecast(c.get(), &req, &EVEN_WEIGHTS, 4 * HOUR_MS),
              6 * HOUR_MS);
    Cells_SetWorkerState(c.get(), 0, CELLS_WORKER_FAILED);
    EXPECT_EQ(Place_Forecast(c.get(), &req, &EVEN_WEIGHTS, 0), INT64_MAX);
}

/* Two workers are half busy, and a task of 8 accelerators waits. Moving one
 * job to the other worker makes room. That must happen only if the wait saved
 * is worth the cost and the moved job has a place to go to. */
TEST(Defrag, MovesJobsOnlyWhereItPays)
{
    static const struct {
        const char *name;
        int64_t checkpoint_ms, estimate;
        std::vector<uint64_t> busy; /* by worker */
        enum place_defrag_reason reason;
    } cases[] = {
        {"pays", 10000, 10 * HOUR_MS, {0x0f, 0x0f}, PLACE_DEFRAG_PAYS},
        {"ends soon anyway",
         10000,
         HOUR_MS + 60000,
         {0x0f, 0x0f},
         PLACE_DEFRAG_COSTS_MORE},
        {"no checkpoint: all work is lost",
         -1,
         HOUR_MS + HOUR_MS / 2,
         {0x0f, 0x0f},
         PLACE_DEFRAG_COSTS_MORE},
        {"full", 10000, 10 * HOUR_MS, {0x0f, 0xff}, PLACE_DEFRAG_NO_ROOM},
        {"no place for the victim",
         10000,
         10 * HOUR_MS,
         {0x0f, 0x3f, 0x3f},
         PLACE_DEFRAG_NO_ROOM},
        {"fits", 10000, 10 * HOUR_MS, {0x0f, 0}, PLACE_DEFRAG_FITS},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_request req = request(9, "a", 1, 8, false);
        struct place_defrag d;

        add_racks(c.get(), {(int)t.busy.size()}, 8);
        for (int w = 0; w < (int)t.busy.size(); w++) {
            struct cells_part part = {w, t.busy[w], 1};
            struct cells_request lent =
                request(1 + w, "x", 1, __builtin_popcountll(part.mask), false);

            lent.checkpoint_ms = t.checkpoint_ms;
            lent.estimate_ms = t.estimate;
            if (part.mask != 0) {
                Cells_Adopt(c.get(), &lent, &part, 1, 0);
            }
        }
        Place_Defrag(c.get(), &req, &EVEN_WEIGHTS, HOUR_MS, &d);
        EXPECT_STREQ(Place_DefragName(d.reason), Place_DefragName(t.reason))
            << t.name;
        if (d.reason == PLACE_DEFRAG_PAYS) {
            ASSERT_EQ(d.resumes, 1);
            EXPECT_EQ(Cells_Commit(c.get(), &d.plan), ERR_OK);
            EXPECT_TRUE(
                Cells_IsPlaced(start(c.get(), d.resume[0].request, HOUR_MS)));
        }
        Place_DefragClear(&d);
    }
}
