/* An entry that is stopped answers 503 to submissions that are then accepted
 * and run. See claim.txt. */
#include "../lib/sim.h"

#include <cstdio>

using namespace sim;

namespace {

const int CLIENTS = 3;
const int64_t STAGGER_MS = 230, PAUSE_MS = 250;
/* A transaction of the slow store, 90 times as long as usual; the store is
 * slow for less than 5 s. */
const int64_t SLOW_MS = 450, SLOW_FROM_MS = 1200, SLOW_FOR_MS = 4800;
const int64_t GRACE_MS = 6000;

/* A job that a client has handed in once. */
struct Attempt {
    std::string id;
    int status;
};

bool
Started(const std::string &id)
{
    for (const Event &e : Worker::Events()) {
        if (e.what == "start" && e.task.compare(0, id.size(), id) == 0) {
            return true;
        }
    }
    return false;
}

} /* namespace */

int
main(int argc, char **argv)
{
    OpenRecord(argc > 1 ? argv[1] : "record.txt");
    try {
        Deployment d(3, 3);
        int entry = (d.Owner() + 1) % 3;
        std::vector<std::vector<Attempt>> attempts(CLIENTS);
        std::vector<std::thread> clients;
        std::atomic<bool> leave{false};
        int rejected = 0, broken = 0;

        if (d.Post(entry, "00000000000000aa", JobOfOneStep(300, 1, 1))
                .status != 200) {
            return 2;
        }
        Sleep(1000);
        std::thread store([&] {
            Sleep(SLOW_FROM_MS);
            if (Trouble()) {
                Record("store: a transaction takes %lld ms",
                       static_cast<long long>(SLOW_MS));
                d.store.transaction_ms = SLOW_MS;
            }
            Sleep(SLOW_FOR_MS);
            d.store.transaction_ms = 5;
        });

        for (int c = 0; c < CLIENTS; c++) {
            clients.emplace_back([&, c] {
                auto connection = d.Connect(entry);

                Sleep(SLOW_FROM_MS + c * STAGGER_MS);

                for (int n = 0; !leave && n < 100; n++) {
                    char id[20];
                    Answer a;

                    snprintf(id, sizeof(id), "%08x%08x", c + 1, n);
                    a = d.PostOn(*connection, id, JobOfOneStep(20, 1, 1));
                    attempts[static_cast<size_t>(c)].push_back({id, a.status});
                    Record("client %d: POST %s -> %d", c, id, a.status);
                    if (a.status == 0) {
                        return;
                    }
                    Sleep(PAUSE_MS);
                }
            });
        }
        if (Trouble()) {
            d.StopEntry(entry, GRACE_MS);
        }
        else {
            Sleep(GRACE_MS);
        }
        leave = true;
        for (std::thread &t : clients) {
            t.join();
        }
        store.join();
        Sleep(8000);
        for (const auto &list : attempts) {
            for (const Attempt &a : list) {
                if (a.status != 429 && a.status != 503) {
                    continue;
                }
                rejected++;
                if (Started(a.id)) {
                    broken++;
                    Record("%s: its only attempt was answered %d, and it was "
                           "started",
                           a.id.c_str(), a.status);
                }
            }
        }
        Record("%d rejected, %d of them started", rejected, broken);
        if (broken > 0) {
            Record("BROKEN: REFUSED");
            return 1;
        }
        Record("held");
        return 0;
    } catch (const std::exception &e) {
        Record("could not run: %s", e.what());
        return 2;
    }
}
