#include "cells-support.h"

#include <gtest/gtest.h>

namespace {

const struct cells_shape ONE = {0, 1}, FOUR = {0, 4}, WORKER = {1, 0},
                         RACK2 = {2, 0}, RACK3 = {3, 0};

/* Finds the first worker of an organisation's first cell of a shape. */
int
worker_of(const struct cells *c, const char *org, struct cells_shape shape)
{
    struct cells_binding b;

    for (int i = 0; Cells_Binding(c, i, &b); i++) {
        if (std::string(b.organisation) == org &&
            b.shape.workers == shape.workers &&
            b.shape.accelerators == shape.accelerators) {
            return b.worker[0];
        }
    }
    return CELLS_NONE;
}

} // namespace

TEST(Topology, CommonLevelOfTwoWorkers)
{
    CellsPtr c = owned(Cells_New());

    add_racks(c.get(), {2, 1, 1}, 8);
    EXPECT_EQ(Cells_CommonLevel(c.get(), 0, 0), CELLS_LEVEL_WORKER);
    EXPECT_EQ(Cells_CommonLevel(c.get(), 0, 1), CELLS_LEVEL_RACK);
    EXPECT_EQ(Cells_CommonLevel(c.get(), 0, 2), CELLS_LEVEL_DOMAIN);
    EXPECT_EQ(Cells_CommonLevel(c.get(), 0, 3), CELLS_LEVEL_REGION);
    EXPECT_EQ(Cells_CommonLevel(c.get(), 0, 9), CELLS_LEVEL_ALL);
}

TEST(Topology, AddAndRemoveWorkers)
{
    CellsPtr c = owned(Cells_New());
    struct cells_worker_info info = {"w", "eu", "d", "r", 65};

    EXPECT_EQ(Cells_AddWorker(c.get(), &info), ERR_INVALID);
    info.accelerators = 64;
    EXPECT_EQ(Cells_AddWorker(c.get(), &info), 0);
    EXPECT_EQ(Cells_AddWorker(c.get(), &info), ERR_EXISTS);
    EXPECT_EQ(start(c.get(), request(1, "a", 1, 64, false)),
              CELLS_PLACED_FREE);
    EXPECT_EQ(Cells_RemoveWorker(c.get(), 0), ERR_BUSY);
    EXPECT_EQ(Cells_Release(c.get(), 1), ERR_OK);
    EXPECT_EQ(Cells_RemoveWorker(c.get(), 0), ERR_OK);
    EXPECT_EQ(Cells_Worker(c.get(), 0), nullptr);
    EXPECT_EQ(Cells_RemoveWorker(c.get(), 0), ERR_NOTFOUND);
    EXPECT_EQ(Cells_AddWorker(c.get(), &info), 0);
}

/* Guards against removing a worker that a guarantee needs; its replacement has
 * to be added first. */
TEST(Topology, RefusesToRemoveAWorkerThatAGuaranteeNeeds)
{
    CellsPtr c = owned(Cells_New());
    struct cells_worker_info more = {"more", "region", "d0", "r0", 8};

    add_racks(c.get(), {2}, 8);
    Cells_SetGuarantee(c.get(), "a", WORKER, 2);
    EXPECT_EQ(Cells_RemoveWorker(c.get(), 0), ERR_CONFLICT);
    EXPECT_EQ(Cells_WorkerState(c.get(), 0), CELLS_WORKER_UP);
    Cells_AddWorker(c.get(), &more);
    EXPECT_EQ(Cells_RemoveWorker(c.get(), 0), ERR_OK);
    EXPECT_EQ(Cells_UnavailableCount(c.get(), "a"), 0);
}

TEST(Guarantees, ReportsWhichGuaranteeIsInfeasible)
{
    struct guarantee {
        const char *org;
        struct cells_shape shape;
        int count;
    };
    static const struct {
        const char *name;
        std::vector<int> racks;
        std::vector<guarantee> guarantees;
        const char *refused; /* organisation, or NULL */
        int wanted, possible;
    } cases[] = {
        {"guarantees fill the topology",
         {3, 2},
         {{"a", RACK3, 1}, {"b", WORKER, 2}},
         NULL,
         0,
         0},
        {"enough workers, but no rack is large enough",
         {2, 2},
         {{"a", RACK3, 1}},
         "a",
         1,
         0},
        {"too many workers", {3}, {{"a", WORKER, 5}}, "a", 5, 3},
        {"a small cell leaves no whole worker",
         {1},
         {{"a", WORKER, 1}, {"b", ONE, 1}},
         "b",
         1,
         0},
        {"two cells of two workers in a rack of three",
         {3},
         {{"b", RACK2, 2}},
         "b",
         2,
         1},
        {"the tightest rack first",
         {3, 2},
         {{"a", WORKER, 1}, {"b", RACK2, 2}},
         NULL,
         0,
         0},
        {"the rack that a cell fills best",
         {4, 3},
         {{"a", RACK3, 1}, {"b", RACK2, 2}},
         NULL,
         0,
         0},
        {"blocks fill a worker",
         {1},
         {{"a", FOUR, 1}, {"b", ONE, 4}},
         NULL,
         0,
         0},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_feasibility report;

        add_racks(c.get(), t.racks, 8);
        for (const auto &g : t.guarantees) {
            Cells_SetGuarantee(c.get(), g.org, g.shape, g.count);
        }
        int err = Cells_CheckGuarantees(c.get(), &report);
        EXPECT_EQ(err, t.refused ? ERR_CONFLICT : ERR_OK) << t.name;
        if (t.refused != NULL && report.shortfalls > 0) {
            EXPECT_STREQ(report.shortfall[0].organisation, t.refused)
                << t.name;
            EXPECT_EQ(report.shortfall[0].wanted, t.wanted) << t.name;
            EXPECT_EQ(report.shortfall[0].possible, t.possible) << t.name;
        }
    }
}

TEST(Guarantees, RejectsShapesOutOfRange)
{
    static const struct cells_shape cases[] = {
        {0, 0}, {0, 3}, {0, 128}, {-1, 0}, {CELLS_RACK_MAX + 1, 0}, {1, 8}};
    CellsPtr c = owned(Cells_New());

    for (const auto &shape : cases) {
        EXPECT_EQ(Cells_SetGuarantee(c.get(), "a", shape, 1), ERR_INVALID);
    }
    EXPECT_EQ(Cells_SetGuarantee(c.get(), "a b", ONE, 1), ERR_INVALID);
    EXPECT_EQ(Cells_SetGuarantee(c.get(), "a", ONE, -1), ERR_INVALID);
}

/* A worker with a whole-worker cell fails, and small idle cells occupy the
 * other workers. They have to be packed together so that the large cell has a
 * healthy place again. */
TEST(Guarantees, CellsAreRepackedAfterAFailure)
{
    CellsPtr c = owned(Cells_New());

    add_racks(c.get(), {3}, 8);
    Cells_SetGuarantee(c.get(), "big", WORKER, 1);
    Cells_SetGuarantee(c.get(), "a", FOUR, 2);
    int on = worker_of(c.get(), "big", WORKER);
    Cells_SetWorkerState(c.get(), on, CELLS_WORKER_FAILED);
    EXPECT_EQ(Cells_UnavailableCount(c.get(), NULL), 0);
    EXPECT_EQ(start(c.get(), request(1, "big", 1, 8, true)),
              CELLS_PLACED_FREE);
}

/* One of four workers of a rack fails. Its other three have to go to the cell
 * of three workers, so that the other rack keeps room for two cells of two;
 * if the failed worker counted as room, the cells would get the wrong racks.
 */
TEST(Guarantees, FailedWorkersAreNotCountedAsRoom)
{
    CellsPtr c = owned(Cells_New());

    add_racks(c.get(), {4, 1, 1, 4}, 8);
    Cells_SetGuarantee(c.get(), "a", RACK3, 1);
    Cells_SetGuarantee(c.get(), "a", RACK2, 2);
    Cells_SetWorkerState(c.get(), 6, CELLS_WORKER_FAILED);
    EXPECT_EQ(Cells_UnavailableCount(c.get(), NULL), 0);
}

/* A cell of one accelerator has to take a free block of one and not break up a
 * free block of four. All cells are in use, so none could be moved for a later
 * cell of four. */
TEST(Guarantees, SmallCellsTakeTheSmallestFreeBlock)
{
    CellsPtr c = owned(Cells_New());
    struct cells_binding b[4] = {};
    static const struct cells_shape shapes[] = {FOUR, FOUR, {0, 2}, ONE};
    static const uint64_t masks[] = {0x0f, 0x0f, 0x30, 0x40};

    add_racks(c.get(), {2}, 8);
    Cells_SetGuarantee(c.get(), "x", FOUR, 2);
    Cells_SetGuarantee(c.get(), "x", {0, 2}, 1);
    Cells_SetGuarantee(c.get(), "x", ONE, 1);
    for (int i = 0; i < 4; i++) {
        Str_Copy(b[i].organisation, sizeof(b[i].organisation), "x");
        b[i].shape = shapes[i];
        b[i].workers = 1;
        b[i].worker[0] = i > 0;
        b[i].mask[0] = masks[i];
    }
    ASSERT_EQ(Cells_ImportBindings(c.get(), b, 4, 1), ERR_OK);
    for (int i = 0; i < 4; i++) {
        ASSERT_TRUE(Cells_IsPlaced(start(
            c.get(), request(10 + i, "x", 1, shapes[i].accelerators, true))));
    }
    Cells_SetGuarantee(c.get(), "a", ONE, 1);
    EXPECT_TRUE(Cells_IsPlaced(start(c.get(), request(1, "a", 1, 1, true))));
    Cells_SetGuarantee(c.get(), "b", FOUR, 1);
    EXPECT_EQ(Cells_PendingCount(c.get(), NULL), 0);
}

/* A worker has failed, and the cell that moved off it occupies the place that
 * a new guarantee needs. If the failed worker could be removed now, the new
 * guarantee would never get a place. */
TEST(Guarantees, RefusesToRemoveAWorkerThatAPendingCellNeeds)
{
    CellsPtr c = owned(Cells_New());

    add_racks(c.get(), {2, 1}, 8);
    Cells_SetGuarantee(c.get(), "a", WORKER, 1);
    ASSERT_EQ(worker_of(c.get(), "a", WORKER), 2);
    Cells_SetWorkerState(c.get(), 2, CELLS_WORKER_FAILED);
    Cells_SetGuarantee(c.get(), "b", RACK2, 1);
    EXPECT_EQ(Cells_PendingCount(c.get(), "b"), 1);
    EXPECT_EQ(Cells_RemoveWorker(c.get(), 2), ERR_CONFLICT);
    Cells_SetWorkerState(c.get(), 2, CELLS_WORKER_UP);
    EXPECT_EQ(Cells_UnavailableCount(c.get(), NULL), 0);
}

/* Two workers hold two cells and one worker fails. Only the organisation whose
 * cell was there loses it, and it gets it back once the worker recovers,
 * whatever was started in between. */
TEST(Guarantees, OnlyCellsOnTheFailedWorkerAreLost)
{
    CellsPtr c = owned(Cells_New());

    add_racks(c.get(), {2}, 8);
    Cells_SetGuarantee(c.get(), "a", WORKER, 1);
    Cells_SetGuarantee(c.get(), "b", WORKER, 1);
    int on = worker_of(c.get(), "a", WORKER);
    Cells_SetWorkerState(c.get(), on, CELLS_WORKER_FAILED);
    EXPECT_EQ(Cells_UnavailableCount(c.get(), "a"), 1);
    EXPECT_EQ(Cells_UnavailableCount(c.get(), "b"), 0);
    EXPECT_EQ(start(c.get(), request(1, "a", 1, 8, true)), CELLS_WAIT_HEALTH);
    EXPECT_EQ(start(c.get(), request(2, "a", 1, 8, false)), CELLS_PLACED_FREE);
    EXPECT_EQ(start(c.get(), request(3, "b", 1, 8, true)),
              CELLS_PLACED_RECLAIM);
    Cells_SetWorkerState(c.get(), on, CELLS_WORKER_UP);
    EXPECT_EQ(start(c.get(), request(1, "a", 1, 8, true)), CELLS_PLACED_FREE);
}

TEST(Guarantees, AJobBecomesLentWhenItsGuaranteeIsWithdrawn)
{
    CellsPtr c = owned(Cells_New());
    struct cells_job_info info;

    add_racks(c.get(), {1}, 8);
    Cells_SetGuarantee(c.get(), "a", WORKER, 1);
    EXPECT_EQ(start(c.get(), request(1, "a", 1, 8, true)), CELLS_PLACED_FREE);
    Cells_SetGuarantee(c.get(), "a", WORKER, 0);
    Cells_SetGuarantee(c.get(), "b", WORKER, 1);
    ASSERT_TRUE(Cells_Job(c.get(), 1, &info));
    EXPECT_FALSE(info.guaranteed);
    EXPECT_EQ(start(c.get(), request(2, "b", 1, 8, true)),
              CELLS_PLACED_RECLAIM);
    EXPECT_FALSE(Cells_Job(c.get(), 1, &info));
}

TEST(Guarantees, ImportRejectsInvalidBindings)
{
    static const struct {
        const char *name;
        struct cells_shape shape;
        int workers;
        int worker;
        uint64_t mask;
        int err;
    } cases[] = {
        {"aligned", FOUR, 1, 1, 0xf0, ERR_OK},
        {"not aligned", FOUR, 1, 1, 0x3c, ERR_CONFLICT},
        {"too small", FOUR, 1, 1, 0x3, ERR_CONFLICT},
        {"no such worker", FOUR, 1, 7, 0xf, ERR_CONFLICT},
        {"not guaranteed", WORKER, 1, 0, 0xff, ERR_CONFLICT},
        {"too many workers", FOUR, 99, 0, 0xf, ERR_INVALID},
    };

    for (const auto &t : cases) {
        CellsPtr c = owned(Cells_New());
        struct cells_binding b = {};

        add_racks(c.get(), {2}, 8);
        Cells_SetGuarantee(c.get(), "a", FOUR, 1);
        std::string before = to_text(c.get());
        Str_Copy(b.organisation, sizeof(b.organisation), "a");
        b.shape = t.shape;
        b.workers = t.workers;
        b.worker[0] = t.worker;
        b.mask[0] = t.mask;
        EXPECT_EQ(Cells_ImportBindings(c.get(), &b, 1, 77), t.err) << t.name;
        EXPECT_EQ(to_text(c.get()) == before, t.err != ERR_OK) << t.name;
        if (t.err == ERR_OK) {
            EXPECT_EQ(Cells_WorkerVersion(c.get(), 0), 77u);
        }
    }
}

/* Owner and store are down, and an entry asks the agents directly. A claim
 * that is based on other bindings than the agent's could displace a guaranteed
 * job. */
TEST(Claim, Verdicts)
{
    static const struct cells_local_binding bindings[] = {{"a", 0x0f},
                                                          {"b", 0xf0}};
    static const struct cells_local_job jobs[] = {{10, 0x01, true},
                                                  {11, 0x02, false},
                                                  {12, 0x0c, false},
                                                  {13, 0xf0, false}};
    static const struct {
        const char *org;
        uint64_t mask, version;
        enum cells_claim_reason reason;
        int displaced;
    } cases[] = {
        {"a", 0x02, 5, CELLS_CLAIM_VALID, 1},
        {"a", 0x0e, 5, CELLS_CLAIM_VALID, 2},
        {"b", 0x10, 5, CELLS_CLAIM_VALID, 1},
        {"a", 0x03, 5, CELLS_CLAIM_IN_USE, 0},
        {"a", 0x12, 5, CELLS_CLAIM_NOT_BOUND, 0},
        {"c", 0x02, 5, CELLS_CLAIM_NOT_BOUND, 0},
        {"a", 0x02, 4, CELLS_CLAIM_CLAIMANT_BEHIND, 0},
        {"a", 0x02, 6, CELLS_CLAIM_AGENT_BEHIND, 0},
        {"a", 0x00, 5, CELLS_CLAIM_EMPTY, 0},
    };
    static const struct cells_local local = {5, bindings, 2, jobs, 4};

    for (const auto &t : cases) {
        struct cells_claim v = Cells_Claim(&local, t.org, t.mask, t.version);

        EXPECT_STREQ(Cells_ClaimName(v.reason), Cells_ClaimName(t.reason))
            << t.org << " " << t.mask;
        EXPECT_EQ(v.displaced, t.displaced);
        EXPECT_EQ(v.version, 5u);
    }
}

TEST(LostWork, GraceDecidesBetweenCheckpointAndStop)
{
    static const struct {
        int64_t checkpoint_ms, grace_ms, within_ms, checkpoint_at;
        enum cells_victim_action action;
        int64_t grace, lost; /* per accelerator */
    } cases[] = {
        {-1, 30000, 0, 0, CELLS_STOP, 30000, 100000},
        {-1, 30000, 0, 90000, CELLS_STOP, 30000, 10000},
        {20000, 30000, 0, 0, CELLS_CHECKPOINT, 30000, 20000},
        {20000, 10000, 0, 0, CELLS_STOP, 10000, 100000},
        {20000, 30000, 1800, 0, CELLS_STOP, 1800, 100000},
        {1000, 30000, 1800, 0, CELLS_CHECKPOINT, 1800, 1000},
        {20000, 30000, 0, 99000, CELLS_CHECKPOINT, 30000, 1000},
    };

    for (const auto &t : cases) {
        struct cells_job_info info = {};

        info.request = request(1, "a", 2, 4, false);
        info.request.checkpoint_ms = t.checkpoint_ms;
        info.request.grace_ms = t.grace_ms;
        info.checkpoint_at = t.checkpoint_at;
        struct cells_victim v = Cells_LostWork(&info, 100000, t.within_ms);
        EXPECT_EQ(v.action, t.action);
        EXPECT_EQ(v.grace_ms, t.grace);
        EXPECT_EQ(v.lost_work, t.lost * 8);
    }
}

TEST(Counts, FragmentationIsTheShareOutsideTheLargestBlock)
{
    CellsPtr c = owned(Cells_New());
    struct cells_counts n;

    EXPECT_EQ(Cells_Fragmentation(c.get()), 0);
    add_racks(c.get(), {2}, 8);
    EXPECT_EQ(Cells_Fragmentation(c.get()), 0);
    for (int w = 0; w < 2; w++) {
        struct cells_part part = {w, 0x0f, 1};
        struct cells_request req = request(1 + w, "a", 1, 4, false);

        ASSERT_EQ(Cells_Adopt(c.get(), &req, &part, 1, 0), ERR_OK);
    }
    Cells_Counts(c.get(), &n);
    EXPECT_EQ(n.free, 8);
    EXPECT_EQ(n.lent, 8);
    EXPECT_EQ(n.largest_free, 4);
    EXPECT_EQ(Cells_Fragmentation(c.get()), 500);
}
