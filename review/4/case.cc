/* Six hundred short subtasks end on one worker while the store is down. The
 * worker lists its ends 500 at a time, so a hundred of them are listed neither
 * as running nor as ended until the store is back. Judged: no subtask starts
 * after a run of it has ended as done, if that end is taken note of. */
#include "sim.h"

using namespace sim;

namespace {

constexpr int JOBS = 2, SUBTASKS = 300;
constexpr int64_t LENGTH_MS = 3000; /* of each run */
constexpr int64_t OUTAGE_MS = 4500; /* for_s of platform_down */

std::string
job_id(int number)
{
    return "4c0e7a21d94b36f" + std::to_string(number);
}

std::string
job_body()
{
    return "{\"task-spec\":\"" + std::to_string(LENGTH_MS) +
           "\",\"steps\":[{\"count\":" + std::to_string(SUBTASKS) +
           ",\"cpu\":100,\"mem-mb\":100,\"estimated-ms\":" +
           std::to_string(LENGTH_MS) + "}]}";
}

} // namespace

int
main(int argc, char **argv)
{
    Setting s = setting(argc, argv);
    auto d = std::make_unique<Deployment>(s.root, 3);
    std::mutex mutex;
    std::set<std::string> done, noted, again;
    int starts = 0, ends = 0;

    if (!d->start(
            [](size_t) {
                return std::vector<std::string>{"a", "r1-1"};
            },
            usual_config(d->key))) {
        finish(d, 2);
    }
    for (auto &w : d->workers) {
        w->on_start = [&](const Worker::Start &st) {
            std::lock_guard<std::mutex> lock(mutex);

            starts++;
            if (done.count(st.task) != 0) {
                again.insert(st.task);
                record.line("%s starts again, as run %lld, after it was done",
                            st.task.c_str(), (long long)st.run);
            }
        };
        w->on_end = [&](const std::string &task, int64_t,
                        const std::string &how, const std::string &) {
            std::lock_guard<std::mutex> lock(mutex);

            ends++;
            if (how == "done") {
                done.insert(task);
            }
        };
        w->on_noted = [&](const std::string &task, int64_t run,
                          const std::string &how) {
            std::lock_guard<std::mutex> lock(mutex);

            if (how == "done" && run == 1) {
                noted.insert(task);
            }
        };
    }
    sleep_ms(3500);
    for (int i = 0; i < JOBS; i++) {
        if (d->ask((size_t)i, "POST", "/batch/" + job_id(i), job_body())
                .status != 200) {
            finish(d, 2);
        }
    }
    if (!Deployment::wait(2500, [&]() {
            std::lock_guard<std::mutex> lock(mutex);

            return starts == JOBS * SUBTASKS;
        })) {
        record.line("%d subtasks started in time", starts);
        finish(d, 2);
    }
    record.line("all subtasks run; the store is %s",
                s.trouble ? "silent now" : "left alone");
    d->store->silent = s.trouble;
    sleep_ms(OUTAGE_MS);
    d->store->silent = false;
    record.line("the store answers; %d runs have ended", ends);
    Deployment::wait(30000, [&]() {
        bool all = true;

        sleep_ms(1000);
        for (int i = 0; i < JOBS; i++) {
            all = d->state(2, "/batch/" + job_id(i)) == "completed" && all;
        }
        return all;
    });
    sleep_ms(2000);

    std::lock_guard<std::mutex> lock(mutex);
    size_t broken = 0;

    for (const std::string &task : again) {
        broken += noted.count(task);
    }
    record.line("%d starts of %d subtasks; %zu were started again after an "
                "end as done, %zu of these ends were taken note of",
                starts, JOBS * SUBTASKS, again.size(), broken);
    if (broken > 0) {
        record.line("TWICE is broken");
    }
    finish(d, broken > 0 ? 1 : done.size() == JOBS * SUBTASKS ? 0 : 2);
}
