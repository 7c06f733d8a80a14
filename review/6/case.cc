/* The store leaves the writes that accept a job unanswered, and carries one of
 * them out six seconds later. The requester, told "unknown" twice, cancels the
 * job meanwhile and is told that there is none. Judged: no subtask starts
 * later than cancel_ms after that. */
#include "sim.h"

using namespace sim;

namespace {

constexpr int64_t LATE_MS = 6000;   /* platform_lost, late: 1 to 6 s */
constexpr int64_t CANCEL_MS = 3000; /* the bound cancel_ms */
constexpr int64_t LOSSY_MS = 4500;  /* for_s of platform_lost */

} // namespace

int
main(int argc, char **argv)
{
    Setting s = setting(argc, argv);
    auto d = std::make_unique<Deployment>(s.root, 3);
    std::atomic<int64_t> last_start{0};
    std::atomic<int> lost{0}, writes{0};
    const std::string job = "6c0e7a21d94b36f8", path = "/batch/" + job;
    const std::string body =
        "{\"task-spec\":\"2000\",\"steps\":[{\"count\":1,\"cpu\":11000,"
        "\"mem-mb\":33000,\"gpu\":1,\"estimated-ms\":2000}]}";

    if (!d->start(
            [](size_t) {
                return std::vector<std::string>{"a", "r1-1"};
            },
            usual_config(d->key))) {
        finish(d, 2);
    }
    for (auto &w : d->workers) {
        w->on_start = [&](const Worker::Start &) { last_start = now_ms(); };
    }
    sleep_ms(3500);
    d->store->fate = [&](const std::vector<std::string> &keys) {
        Store::Fate f;

        writes++;
        if (s.trouble && !keys.empty() && keys[0] == "spec/" + job) {
            lost++;
            record.line("store: no answer to the write of %s",
                        keys[0].c_str());
            f.kind = Store::Fate::LATE_UNANSWERED;
            f.late_ms = LATE_MS;
        }
        return f;
    };
    int64_t begun = now_ms();
    Answer accepted = d->ask(0, "POST", path, body);

    if (accepted.status != 200) {
        accepted = d->ask(1, "POST", path, body); /* the usual repetition */
    }
    Answer cancelled = d->ask(2, "DELETE", path);
    int64_t at = now_ms();

    sleep_ms(std::max<int64_t>(0, begun + LOSSY_MS - now_ms()));
    d->store->fate = nullptr;
    record.line("store: left %d of %d writes unanswered in %lld ms",
                lost.load(), writes.load(), (long long)LOSSY_MS);
    if ((cancelled.status / 100 != 2 && cancelled.status != 410) ||
        s.trouble != (accepted.status != 200)) {
        finish(d, 2);
    }
    sleep_ms(10000);
    d->state(2, path);
    if (last_start > at + CANCEL_MS) {
        record.line("UNASKED is broken: a subtask starts %lld ms after the "
                    "cancelling was acknowledged with %d",
                    (long long)(last_start - at), cancelled.status);
        finish(d, 1);
    }
    finish(d, 0);
}
