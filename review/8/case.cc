/* A version of the config takes a tenant's key away; in the same version a new
 * tenant appears, whose name has 73 bytes. Judged: a job handed in with that
 * key later than config-apply-ms after the confirmation is answered with 401
 * and never runs. */
#include "sim.h"

using namespace sim;

namespace {

constexpr int64_t APPLY_MS = 2000; /* the bound config-apply-ms */
const char *const NEW_KEY = "k-fedcba98765432109999";

/* The next version: the tenant has another key, and with trouble there is a
 * new tenant. */
std::string
next_config(bool with_tenant)
{
    std::string config = usual_config(NEW_KEY, 7);
    const std::string tenant =
        ",{\"name\":\"한빛 도산 절차 신청 및 채권 조사 지원 재단 서울 본부\","
        "\"api-keys\":[\"k-00000000000000000001\"],\"priority\":1}";

    if (with_tenant) {
        config.insert(config.rfind("]}"), tenant);
    }
    return config;
}

} // namespace

int
main(int argc, char **argv)
{
    Setting s = setting(argc, argv);
    auto d = std::make_unique<Deployment>(s.root, 3);
    const std::string body =
        "{\"task-spec\":\"500\",\"steps\":[{\"count\":1,\"cpu\":11000,"
        "\"mem-mb\":33000,\"gpu\":1,\"estimated-ms\":500}]}";
    const std::string old_key = d->key;
    std::atomic<int> starts{0};
    int served = 0, refused = 0;

    if (!d->start(
            [](size_t) {
                return std::vector<std::string>{"a", "r1-1"};
            },
            usual_config(d->key, 3))) {
        finish(d, 2);
    }
    sleep_ms(3500);
    if (d->ask(0, "POST", "/batch/8aaa7a21d94b36f0", body).status != 200 ||
        !Deployment::wait(5000, [&]() {
            return d->state(0, "/batch/8aaa7a21d94b36f0") == "completed";
        })) {
        finish(d, 2);
    }
    for (auto &w : d->workers) {
        w->on_start = [&](const Worker::Start &) { starts++; };
    }
    d->store->put("op", "config", next_config(s.trouble));
    record.line("the store has confirmed version 7");
    sleep_ms(APPLY_MS + 3000);
    for (size_t i = 0; i < 6; i++) {
        int status =
            d->ask(i % Deployment::ENTRIES, "POST",
                   "/batch/8aaa7a21d94b36f" + std::to_string(i + 1), body)
                .status;

        served += status == 200;
        refused += status == 401;
        sleep_ms(1000);
    }
    sleep_ms(2000);
    d->key = NEW_KEY;
    int with_new = d->ask(0, "POST", "/batch/8aaa7a21d94b36f9", body).status;

    record.line("with the key that was taken away: %d jobs accepted and %d "
                "started, %d refused; with the new key: %d",
                served, starts.load(), refused, with_new);
    if (served > 0 || with_new == 401) {
        record.line("CONFIG is broken");
        finish(d, 1);
    }
    finish(d, refused == 6 && with_new == 200 ? 0 : 2);
}
