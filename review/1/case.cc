/* A write of the owner that got no answer is done seconds later, after newer
 * ones, and a new owner starts a finished subtask again. See claim.txt. */
#include "../lib/sim.h"

#include <cstdio>

using namespace sim;

namespace {

const char JOB[] = "5c0e7a21d94b36f8";
const char TASK[] = "5c0e7a21d94b36f8.0.0.0";
const int64_t LATE_MS = 5000; /* of 1 to 6 s */
const int64_t WATCH_MS = 20000;

/* Starts of the task after one of its runs has ended done. */
int
StartsAfterDone()
{
    int starts = 0;
    bool done = false;

    for (const Event &e : Worker::EventsOf(TASK)) {
        starts += done && e.what == "start";
        done = done || e.what == "done";
    }
    return starts;
}

} /* namespace */

int
main(int argc, char **argv)
{
    OpenRecord(argc > 1 ? argv[1] : "record.txt");
    try {
        Deployment d(2, 3);
        std::atomic<int> lost{0};
        std::mutex lock;

        if (d.Post(0, "00000000000000aa", JobOfOneStep(300, 1, 1)).status !=
                200 ||
            !Until(15000, [&] {
                return d.State(0, "00000000000000aa") == "completed";
            })) {
            Record("the first job did not end");
            return 2;
        }
        Sleep(1000);
        int owner = d.Owner();

        if (Trouble()) {
            d.store.on_tx = [&](int port, const std::set<std::string> &keys) {
                std::lock_guard<std::mutex> guard(lock);

                if (lost == 0 && port == owner &&
                    keys.count(std::string("run/") + JOB) > 0) {
                    lost = 1;
                    Record("store: the connection of the owner's transaction "
                           "is reset without an answer; it is done %lld ms "
                           "later",
                           static_cast<long long>(LATE_MS));
                    return Fate{Fate::LATE, LATE_MS};
                }
                return Fate{};
            };
        }
        int64_t sent_ms = Now();

        if (d.Post(1 - owner, JOB, JobOfOneStep(1500, 1, 1)).status != 200) {
            return 2;
        }
        if (!Until(10000,
                   [&] { return d.State(1 - owner, JOB) == "completed"; })) {
            Record("the job was not shown as completed in time");
            return 2;
        }
        Record("client: GET %s -> completed", JOB);
        Sleep(sent_ms + LATE_MS + 2000 - Now());
        Record("store: run/%s is %s", JOB,
               d.store.Get("parsleyfall", std::string("run/") + JOB).c_str());
        Record("client: GET %s -> %s", JOB, d.State(1 - owner, JOB).c_str());
        if (Trouble()) {
            d.KillEntry(owner);
            Sleep(500);
            d.StartEntry(owner);
        }
        Until(WATCH_MS, [] { return StartsAfterDone() > 0; });
        Record("client: GET %s -> %s", JOB, d.State(1 - owner, JOB).c_str());
        if (StartsAfterDone() > 0) {
            Record("BROKEN: TWICE: a start after a run has ended done");
            return 1;
        }
        if (Trouble() && lost == 0) {
            return 2;
        }
        Record("held");
        return 0;
    } catch (const std::exception &e) {
        Record("could not run: %s", e.what());
        return 2;
    }
}
