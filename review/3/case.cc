/* A rack fails four times in a minute, and a long-running job whose subtask
 * never failed is shown as failed and not restarted. See claim.txt. */
#include "../lib/sim.h"

#include <cstdio>

using namespace sim;

namespace {

const char JOB[] = "00c0ffee00c0ffee";
const char TASK[] = "00c0ffee00c0ffee.0.0.0";
const int WORKERS = 11, RACK = 3, FAILURES = 4;
const int64_t DOWN_MS = 2000, UP_MS = 6000;

/* Runs of the task that a worker has listed as failed. */
int
FailedEnds()
{
    int n = 0;

    for (const Event &e : Worker::EventsOf(TASK)) {
        n += e.what == "failed";
    }
    return n;
}

bool
IsRunning(Deployment &d)
{
    for (const auto &w : d.workers) {
        if (w->Runs(TASK)) {
            return true;
        }
    }
    return false;
}

/* All workers of the first rack crash and come back. */
void
FailRack(Deployment &d)
{
    std::vector<std::thread> crashes;

    for (size_t i = 0; i < RACK; i++) {
        crashes.emplace_back([&d, i] { d.workers[i]->Crash(DOWN_MS); });
    }
    for (std::thread &t : crashes) {
        t.join();
    }
}

} /* namespace */

int
main(int argc, char **argv)
{
    OpenRecord(argc > 1 ? argv[1] : "record.txt");
    try {
        Deployment d(3, WORKERS);
        std::string state;

        if (d.Post(0, JOB,
                   JobOfOneStep(600000, 1, 8,
                                ",\"long-running\":true,\"required-label\":"
                                "\"r1-0\""))
                .status != 200) {
            return 2;
        }
        for (int i = 0; i < FAILURES; i++) {
            if (!Until(15000, [&] { return IsRunning(d); })) {
                Record("the subtask does not run");
                break;
            }
            Sleep(UP_MS);
            Record("client: GET %s -> %s", JOB, d.State(0, JOB).c_str());
            if (Trouble()) {
                FailRack(d);
            }
        }
        Until(15000, [&] {
            state = d.State(1, JOB);
            return state == "failed";
        });
        Record("client: GET %s -> %s; ends listed as failed: %d", JOB,
               state.c_str(), FailedEnds());
        Sleep(10000);
        state = d.State(2, JOB);
        Record("client: GET %s -> %s; %s", JOB, state.c_str(),
               IsRunning(d) ? "its subtask runs" : "nothing of it runs");
        if (state == "failed" && FailedEnds() == 0) {
            Record("BROKEN: LOST: shown as failed without an end `failed`");
            return 1;
        }
        if (!IsRunning(d)) {
            return 2;
        }
        Record("held");
        return 0;
    }
    catch (const std::exception &e) {
        Record("could not run: %s", e.what());
        return 2;
    }
}
