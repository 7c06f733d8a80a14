/* The cache of rows, and the messages between it and the owner. */
extern "C" {
#include "queue-intake.h"
#include "queue-owner.h"
}

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

/* A task that records the messages it receives, in place of the owner or the
 * intake. */
struct Recorder {
    struct task task;
    std::set<std::string> keys, job_ids_seen;
    /* "KEY to ADDRESS" of rows sent to another entry. */
    std::vector<std::string> sent;
    size_t rows;
};

void
Record(struct task *t, struct message *m)
{
    Recorder *h = reinterpret_cast<Recorder *>(t);

    if (m->kind == &Queue_RowsKind) {
        const struct rows_changed *r =
            reinterpret_cast<const struct rows_changed *>(m);

        for (size_t i = 0; i < r->count; i++) {
            h->keys.insert(r->rows[i].key);
            h->rows++;
        }
    }
    if (m->kind == &Queue_EntryOutboundKind) {
        const auto *out = reinterpret_cast<const struct entry_outbound *>(m);
        const auto *row = reinterpret_cast<const struct wire_row *>(out->m);

        h->sent.push_back(std::string(row->key) + " to " + out->address);
    }
    if (m->kind == &Queue_UnfinishedKind ||
        m->kind == &Queue_UnscheduledKind) {
        const struct job_ids *list =
            reinterpret_cast<const struct job_ids *>(m);

        for (size_t i = 0; i < list->count; i++) {
            h->job_ids_seen.insert(list->ids[i]);
        }
    }
}

const struct task_ops owner_ops = {.name = TASK_OWNER, .receive = Record};
const struct task_ops intake_ops = {.name = TASK_INTAKE, .receive = Record};
const struct task_ops links_ops = {.name = TASK_LINKS, .receive = Record};

/* An intake without a store, and a recorder in place of the owner or the
 * intake itself. */
class Cache {
  public:
    explicit Cache(const struct task_ops *ops)
    {
        Kernel_Init(&kernel, "test", nullptr, 100);
        RB_INIT(&in.cache);
        RB_INIT(&in.jobs);
        TAILQ_INIT(&in.recent_rows);
        in.task.kernel = &kernel;
        if (ops != nullptr) {
            AddRecorder(ops);
        }
    }
    ~Cache()
    {
        Notify_Clear(&in);
        Cache_Clear(&in);
        Kernel_Free(&kernel);
    }
    void AddRecorder(const struct task_ops *ops)
    {
        Kernel_AddTask(&kernel, &recorder.task, ops);
    }
    /* Passes the spec row of an accepted job to the cache. */
    void Update(const std::string &id, uint64_t version, bool from_feed)
    {
        struct table_row row = {};
        std::string value = Spec(id);

        row.key = Mem_Dup(("spec/" + id).c_str());
        row.version = version;
        Buf_Set(&row.value, value.data(), value.size());
        Cache_Update(&in, &row, 1, from_feed, version);
        free(row.key);
        Buf_Free(&row.value);
        Run();
    }
    /* Passes any row of the feed to the cache. */
    void UpdateRow(const std::string &key, const std::string &value)
    {
        struct table_row row = {};

        row.key = Mem_Dup(key.c_str());
        row.version = ++row_version;
        Buf_Set(&row.value, value.data(), value.size());
        Cache_Update(&in, &row, 1, true, row.version);
        free(row.key);
        Buf_Free(&row.value);
        Run();
    }
    /* Writes a row as for a caller, and notifies the owner of it. */
    void Accept(const std::string &id)
    {
        struct table_row row = {};

        row.key = Mem_Dup(("spec/" + id).c_str());
        row.version = ++row_version;
        Notify_Owner(&in, &row);
        free(row.key);
        Run();
    }
    void Run()
    {
        for (int i = 0; i < 4; i++) {
            ev_run(kernel.loop, EVRUN_NOWAIT);
        }
    }
    static std::string Spec(const std::string &id)
    {
        struct jobs_step step = {};
        struct jobs_spec s = {};
        struct buf out = {};

        step.count = 1;
        Str_Copy(s.id, sizeof(s.id), id.c_str());
        Str_Copy(s.queue, sizeof(s.queue), "q");
        s.payload = Mem_Dup("p");
        s.steps = &step;
        s.step_count = 1;
        JobsSpec_Encode(&s, &out);
        std::string text(out.data, out.len);

        Buf_Free(&out);
        free(s.payload);
        return text;
    }

    struct kernel kernel = {};
    struct intake in = {};
    Recorder recorder = {};
    uint64_t row_version = 0;
};

struct Path {
    const char *what;
    std::vector<bool> from_feed; /* one for each time that the row arrives */
};

/* An accepted job is never scheduled if its row reaches the cache first by a
 * path that does not report it to the owner. */
TEST(QueueCache, TheOwnerReceivesARowOnceWhicheverPathBringsItFirst)
{
    static const Path cases[] = {
        {"the feed alone", {true}},
        {"a read for a caller alone", {false}},
        {"a read before the feed", {false, true}},
        {"the feed before a read", {true, false}},
        {"a read, then a list and the feed", {false, true, true}},
    };

    for (const Path &c : cases) {
        Cache cache(&owner_ops);

        for (bool from_feed : c.from_feed) {
            cache.Update("a1", 7, from_feed);
        }
        EXPECT_EQ(cache.recorder.keys.count("spec/a1"), 1u) << c.what;
        EXPECT_EQ(cache.recorder.rows, 1u) << c.what;
    }
}

/* Rows arrive by any path, in any order, repeatedly, with lists between them.
 * The owner must have received each job that the cache shows as unfinished. */
RC_GTEST_PROP(QueueCacheProperty, TheOwnerReceivesEveryUnfinishedJob, ())
{
    uint32_t seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
    std::mt19937 rng(seed);
    Cache cache(&owner_ops);

    for (int i = 0; i < 60; i++) {
        if (rng() % 10 == 0) {
            Cache_BeginList(&cache.in);
        }
        cache.Update("a" + std::to_string(rng() % 12), 1 + rng() % 40,
                     rng() % 2 == 0);
    }
    Cache_SendUnfinished(&cache.in);
    cache.Run();
    for (const std::string &id : cache.recorder.job_ids_seen) {
        RC_ASSERT(cache.recorder.keys.count("spec/" + id) == 1u);
    }
    RC_ASSERT(!cache.recorder.job_ids_seen.empty());
}

/* Passes a row to the cache as a message from another entry; true when it was
 * new. */
bool
ReceiveRow(Cache *cache, const char *key, uint64_t version)
{
    const std::string value = std::string(key).rfind("spec/", 0) == 0
                                  ? Cache::Spec(key + strlen("spec/"))
                                  : "{}";
    struct wire_row m = {};

    Str_Copy(m.key, sizeof(m.key), key);
    m.version = version;
    Buf_Set(&m.value, value.data(), value.size());

    bool is_new = Notify_Receive(&cache->in, &m);

    Buf_Free(&m.value);
    cache->Run();
    return is_new;
}

/* A delayed message must not bring a deleted job back, and a cancellation must
 * not be taken before its job, as the owner would ignore it. */
TEST(QueueCache, ARowFromAnotherEntryIsTakenOnlyAheadOfTheFeed)
{
    const struct {
        const char *what, *key;
        uint64_t position, listed, version;
        bool taken;
    } cases[] = {
        {"ahead of the feed", "spec/a1", 10, 5, 11, true},
        {"at the position of the feed", "spec/a1", 10, 5, 10, false},
        {"behind the feed", "spec/a1", 10, 5, 7, false},
        {"behind the list in progress", "spec/a1", 10, 20, 15, false},
        {"before any list or feed", "spec/a1", 0, 0, 7, false},
        {"a cancellation of a known job", "stop/known", 10, 5, 12, true},
        {"a cancellation of an unknown job", "stop/a1", 10, 5, 12, false},
        {"progress", "run/known", 10, 5, 12, false},
        {"the owner row", "owner", 10, 5, 12, false},
    };

    for (const auto &c : cases) {
        Cache cache(&owner_ops);

        cache.Update("known", 3, true);
        cache.recorder.keys.clear();
        cache.in.own_table.position = c.position;
        cache.in.own_table.list_position = c.listed;
        EXPECT_EQ(ReceiveRow(&cache, c.key, c.version), c.taken) << c.what;
        EXPECT_EQ(cache.recorder.keys.count(c.key), c.taken ? 1u : 0u)
            << c.what;
    }
}

/* A row that is received twice from another entry and then from the feed is
 * sent to the owner once. */
TEST(QueueCache, ARowThatArrivesByBothPathsIsNewOnce)
{
    Cache cache(&owner_ops);

    cache.in.own_table.position = 5;
    EXPECT_TRUE(ReceiveRow(&cache, "spec/a1", 7));
    ReceiveRow(&cache, "spec/a1", 7);
    cache.Update("a1", 7, true);
    EXPECT_EQ(cache.recorder.rows, 1u);
}

/* A row may be lost on its way from the cache to the owner, by whatever fault.
 * The owner finds the job missing by comparison, requests its rows and adds
 * it. */
TEST(QueueCache, TheOwnerAddsAJobWhoseRowWasLost)
{
    struct jobs_limits limits = {};
    struct owner o = {};
    Cache cache(nullptr); /* nothing receives the row */

    limits.term = 1;
    cache.Update("a1", 7, true);
    cache.AddRecorder(&intake_ops);
    o.task.kernel = &cache.kernel;
    o.scheduler = Jobs_New(&limits);
    ev_init(&o.pass_timer, [](struct ev_loop *, ev_timer *, int) {});

    struct job_ids unfinished = {};
    char id[1][JOBS_ID_SIZE] = {"a1"};
    struct rows_changed rows = {};
    std::string value = Cache::Spec("a1");
    struct table_row row = {};

    unfinished.ids = id;
    unfinished.count = 1;
    Rows_FindUnscheduled(&o, &unfinished);
    cache.Run();
    EXPECT_EQ(cache.recorder.job_ids_seen.count("a1"), 1u)
        << "its rows are requested";

    char key[] = "spec/a1";
    row.key = key;
    row.version = 7;
    Buf_Set(&row.value, value.data(), value.size());
    rows.rows = &row;
    rows.count = 1;
    rows.for_unscheduled = true;
    Rows_Take(&o, &rows);
    EXPECT_TRUE(Jobs_Has(o.scheduler, "a1"));
    cache.recorder.job_ids_seen.clear();
    Rows_FindUnscheduled(&o, &unfinished);
    cache.Run();
    EXPECT_TRUE(cache.recorder.job_ids_seen.empty())
        << "no job is missing any more";
    Buf_Free(&row.value);
    ev_timer_stop(cache.kernel.loop, &o.pass_timer);
    Jobs_Free(o.scheduler);
}

/* The answer to a request for missing jobs holds all cached rows of those
 * jobs, their progress included, and no others. */
TEST(QueueCache, AllRowsOfAMissingJobAreSent)
{
    Cache cache(&owner_ops);
    struct job_ids list = {};
    char ids[2][JOBS_ID_SIZE] = {"a1", "gone"};
    struct table_row run = {};
    const std::string progress = "{\"state\":\"running\",\"begun\":true}";

    cache.Update("a1", 7, true);
    cache.Update("a2", 8, true);
    run.key = Mem_Dup("run/a1");
    run.version = 9;
    Buf_Set(&run.value, progress.data(), progress.size());
    Cache_Update(&cache.in, &run, 1, true, 9);
    cache.Run();
    cache.recorder.keys.clear();
    list.ids = ids;
    list.count = 2;
    Cache_SendJobs(&cache.in, &list);
    cache.Run();
    EXPECT_EQ(cache.recorder.keys,
              (std::set<std::string>{"spec/a1", "run/a1"}));
    free(run.key);
    Buf_Free(&run.value);
}

/* Rows that the feed brings to an entry, and a job that it accepts. */
struct Step {
    const char *key; /* "": the job is accepted */
    const char *value;
};

struct NewOwner {
    const char *what;
    std::vector<Step> steps;
    std::vector<std::string> sent;
};

/* A job that is accepted just before the feed brings a new owner's row would
 * wait for that owner's own feed, which may be silent for seconds. */
TEST(QueueNotify, ARowWrittenBeforeTheOwnerIsKnownReachesIt)
{
    const Step accept = {"", ""};
    const Step at_a = {"entry/a", R"({"links":"10.0.0.1:1"})"};
    const Step at_b = {"entry/b", R"({"links":"10.0.0.2:1"})"};
    const Step owner_a = {"owner", R"({"name":"a","term":1})"};
    const Step owner_b = {"owner", R"({"name":"b","term":2})"};
    const Step again_a = {"owner", R"({"name":"a","term":1,"x":1})"};
    const std::string to_a = "spec/j to 10.0.0.1:1";
    const std::string to_b = "spec/j to 10.0.0.2:1";
    const NewOwner cases[] = {
        {"known before", {at_a, owner_a, accept}, {to_a}},
        {"known after", {at_a, accept, owner_a}, {to_a}},
        {"its address known after", {owner_a, accept, at_a}, {to_a}},
        {"replaced after",
         {at_a, at_b, owner_a, accept, owner_b},
         {to_a, to_b}},
        {"its row written again", {at_a, owner_a, accept, again_a}, {to_a}},
        {"never known", {at_a, accept}, {}},
    };

    for (const NewOwner &c : cases) {
        Cache entry(&links_ops);

        for (const Step &s : c.steps) {
            if (*s.key == '\0') {
                entry.Accept("j");
            }
            else {
                entry.UpdateRow(s.key, s.value);
            }
        }
        EXPECT_EQ(entry.recorder.sent, c.sent) << c.what;
    }
}

} /* namespace */
