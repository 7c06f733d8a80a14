#include "policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace {

struct id
id_of(uint32_t n)
{
    struct id id = {};

    memcpy(id.b, &n, sizeof(n));
    return id;
}

uint32_t
number_of(const struct id &id)
{
    uint32_t n;

    memcpy(&n, id.b, sizeof(n));
    return n;
}

} // namespace

/* Requests are offered, cancelled, dispatched, returned and finished in any
 * order. Each request is either queued or running, leaves the queue exactly
 * once, and the counts agree. Each decision is the same when it is replayed
 * from its inputs. */
RC_GTEST_PROP(Admission, EachRequestLeavesTheQueueOnce, ())
{
    struct admission_limits limits = {};
    limits.capacity = *rc::gen::inRange(1, 4);
    limits.queue_max = *rc::gen::inRange(1, 30);
    std::unique_ptr<struct admission, void (*)(admission *)> a(
        Admission_New(&limits), Admission_Free);
    std::set<uint32_t> queued, running;
    int64_t now = 0;
    int steps = *rc::gen::inRange(1, 300);

    for (int i = 0; i < steps; i++) {
        int action = *rc::gen::inRange(0, 7);
        uint32_t n = (uint32_t)*rc::gen::inRange(0, 60);
        struct id id = id_of(n);
        struct admission_next next;
        struct admission_decision d;

        now += *rc::gen::inRange(0, 40);
        while (Admission_Expire(a.get(), now, 0, &id, &d) == ERR_OK) {
            RC_ASSERT(queued.erase(number_of(id)) == 1u);
            RC_ASSERT(d.reason == REFUSE_EXPIRED);
        }
        id = id_of(n);
        if (action <= 2) {
            std::string org(1, (char)('a' + n % 3));
            std::string caller(1, (char)('x' + n % 2));
            struct admission_facts f = {};
            f.id = id;
            f.organisation = org.c_str();
            f.caller = caller.c_str();
            f.class_name = caller.c_str();
            f.priority = (enum priority)(n % PRIORITY_COUNT);
            f.cost_hint_ms = 10 + n;
            f.deadline_at = n % 4 == 0 ? 0 : now + 1 + 5 * n;
            d = Admission_Offer(a.get(), &f, now, n);
            struct admission_decision again = Admission_Judge(&d.inputs);
            RC_ASSERT(again.reason == d.reason);
            RC_ASSERT(again.verdict == d.verdict);
            RC_ASSERT(again.retry_after_ms == d.retry_after_ms);
            bool known = queued.count(n) + running.count(n) > 0;
            RC_ASSERT((d.reason == REFUSE_DUPLICATE) == known);
            if (d.verdict == ADMISSION_QUEUE) {
                queued.insert(n);
            }
        }
        else if (action == 3) {
            bool found = Admission_Cancel(a.get(), &id) == ERR_OK;
            RC_ASSERT(found == (queued.erase(n) == 1));
        }
        else if (action <= 5) {
            int err = Admission_Next(a.get(), now, &next);
            RC_ASSERT((err == ERR_OK) == !queued.empty());
            if (err == ERR_OK) {
                RC_ASSERT(queued.erase(number_of(next.id)) == 1u);
                running.insert(number_of(next.id));
            }
        }
        else if (n % 3 == 0) {
            bool found = Admission_Return(a.get(), &id, now) == ERR_OK;
            RC_ASSERT(found == (running.erase(n) == 1));
            if (found) {
                queued.insert(n);
            }
        }
        else {
            bool found =
                Admission_Finished(a.get(), &id, n, true, now) == ERR_OK;
            RC_ASSERT(found == (running.erase(n) == 1));
        }
        struct admission_stats stats;
        Admission_Stats(a.get(), &stats);
        RC_ASSERT(stats.running == (int)running.size());
        RC_ASSERT(stats.queued <= (int)queued.size());
        RC_ASSERT(stats.queued > 0 || stats.queued_ms == 0);
    }
}

/* Upstreams are announced, removed, marked as leaving, reported and settled in
 * any order. A request goes only to an upstream that is known, not leaving and
 * not tried, and that has a slot and a connection free by the entry's own
 * count. Each decision is the same when it is replayed from its inputs. */
RC_GTEST_PROP(Route, PicksOnlyUpstreamsThatAcceptWork, ())
{
    std::unique_ptr<struct route, void (*)(route *)> r(Route_New(nullptr),
                                                       Route_Free);
    std::map<int, int> own;
    std::set<int> known, leaving;
    int64_t now = 0;
    int steps = *rc::gen::inRange(1, 300);

    for (int i = 0; i < steps; i++) {
        int action = *rc::gen::inRange(0, 10);
        int n = *rc::gen::inRange(0, 8);
        std::string name = "w" + std::to_string(n);
        std::string domain = "d" + std::to_string(n % 3);
        struct route_facts facts = {name.c_str(), domain.c_str(), 3, 2};
        int handle = Route_Find(r.get(), name.c_str());

        now += *rc::gen::inRange(0, 900);
        if (action == 0) {
            int again = Route_Upsert(r.get(), &facts);
            RC_ASSERT(handle == ROUTE_NONE || handle == again);
            known.insert(again);
            leaving.erase(again);
        }
        else if (action == 1 && n < 2) {
            Route_Remove(r.get(), handle);
            known.erase(handle);
        }
        else if (action == 2 && n < 3) {
            Route_Leaving(r.get(), handle);
            leaving.insert(handle);
        }
        else if (action == 3) {
            struct route_report report = {n, 0, n, 10};
            Route_Report(r.get(), handle, &report, now);
        }
        else if (action <= 6) {
            struct route_request q = {"d0", 100, n % 2 == 0, &handle, 1};
            struct route_decision d = Route_Pick(r.get(), &q, now, now * 7u);
            if (d.handle != ROUTE_NONE) {
                RC_ASSERT(known.count(d.handle) == 1u);
                RC_ASSERT(leaving.count(d.handle) == 0u);
                RC_ASSERT(d.handle != handle);
                RC_ASSERT(own[d.handle] < 2);
                own[d.handle]++;
                Route_Sent(r.get(), d.handle, now);
            }
            if (d.judged) {
                struct route_decision again = Route_Judge(&d.inputs);
                RC_ASSERT(again.handle == d.handle);
                RC_ASSERT(again.reason == d.reason);
            }
        }
        else if (handle != ROUTE_NONE && own[handle] > 0) {
            own[handle]--;
            Route_Settled(r.get(), handle,
                          (enum route_outcome)(action == 9 ? 0 : n % 4), 20,
                          100, now);
        }
    }
}

/* Whatever results come from whichever workers, no more workers than the cap
 * are out of use at once, so that faulty requests can't take every worker out
 * of use. */
RC_GTEST_PROP(Health, EjectsNoMoreThanTheCap, ())
{
    int total = *rc::gen::inRange(1, 20);
    std::unique_ptr<struct route, void (*)(route *)> r(Route_New(nullptr),
                                                       Route_Free);
    int percent = *rc::gen::inRange(0, 101);

    for (int i = 0; i < total; i++) {
        std::string name = "w" + std::to_string(i);
        struct route_facts facts = {name.c_str(), "d", 8, 64};
        Route_Upsert(r.get(), &facts);
    }
    for (int64_t now = 0; now < 400; now++) {
        int handle = (int)((uint64_t)now * 2654435761u % (unsigned)total);
        bool ok = *rc::gen::inRange(0, 100) >= percent;
        int out = 0;

        Route_Sent(r.get(), handle, now);
        Route_Settled(r.get(), handle, ok ? ROUTE_OK : ROUTE_FAILED, 5, 5,
                      now);
        for (int i = 0; i < total; i++) {
            struct route_view view;
            Route_View(r.get(), i, now, &view);
            out += view.health != HEALTH_GOOD ? 1 : 0;
        }
        RC_ASSERT(out <= (total < 2 ? 0 : std::max(1, total * 30 / 100)));
    }
}
