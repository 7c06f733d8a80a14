/* The store leaves the writes that accept a job unanswered, and carries one of
 * them out six seconds later. The requester, told "unknown" twice, cancels the
 * job meanwhile and is told that there is none. Judged: no subtask starts
 * later than cancel_ms after that. */
#include "sim.h"

using namespace sim;

namespace {

constexpr int64_t LATE_MS = 6000;    /* platform_lost, late: 1 to 6 s */
constexpr int64_t CANCEL_MS = 3000;  /* the bound cancel_ms */
constexpr int64_t CONTACT_MS = 3000; /* the bound contact-ms */
constexpr double SHARE = 0.35;       /* x of platform_lost */

std::string
body_of(int length_ms)
{
    std::string length = std::to_string(length_ms);

    return "{\"task-spec\":\"" + length +
           "\",\"steps\":[{\"count\":1,\"cpu\":11000,\"mem-mb\":33000,"
           "\"gpu\":1,\"estimated-ms\":" +
           length + "}]}";
}

/* Hands in small jobs beside the one that matters, 2.5 a second. */
void
hand_in_others(Deployment &d, const std::atomic<bool> &stop)
{
    for (int i = 10; !stop; i++) {
        d.ask((size_t)(1 + i % 2), "POST",
              "/batch/60000000000000" + std::to_string(i), body_of(300));
        sleep_ms(400);
    }
}

} // namespace

int
main(int argc, char **argv)
{
    Setting s = setting(argc, argv);
    auto d = std::make_unique<Deployment>(s.root, 3);
    std::atomic<int64_t> last_start{0};
    std::atomic<int> lost{0}, writes{0};
    const std::string job = "6c0e7a21d94b36f8", path = "/batch/" + job;
    const std::string body = body_of(2000);
    std::atomic<bool> stop{false};

    if (!d->start(
            [](size_t) {
                return std::vector<std::string>{"a", "r1-1"};
            },
            usual_config(d->key))) {
        finish(d, 2);
    }
    for (auto &w : d->workers) {
        w->on_start = [&](const Worker::Start &st) {
            if (st.task.compare(0, job.size(), job) == 0) {
                last_start = now_ms();
            }
        };
    }
    sleep_ms(3500);
    std::thread others([&]() { hand_in_others(*d, stop); });

    others.detach();
    sleep_ms(1500);
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
    int64_t calm = now_ms();
    int left = lost, of = writes;

    d->store->fate = nullptr;
    record.line("store: left %d of %d writes unanswered, in %lld ms", left, of,
                (long long)(calm - begun));
    Answer cancelled = d->ask(2, "DELETE", path);
    int64_t at = now_ms();

    if ((cancelled.status / 100 != 2 && cancelled.status != 410) ||
        s.trouble != (accepted.status != 200) || left > SHARE * of) {
        finish(d, 2);
    }
    sleep_ms(6000);
    stop = true;
    sleep_ms(4000);
    d->state(2, path);
    if (last_start > at + CANCEL_MS && last_start > calm + CONTACT_MS) {
        record.line("UNASKED is broken: a subtask starts %lld ms after the "
                    "cancelling was acknowledged with %d, and %lld ms after "
                    "the last unanswered write",
                    (long long)(last_start - at), cancelled.status,
                    (long long)(last_start - calm));
        finish(d, 1);
    }
    finish(d, 0);
}
