#include "storm-judge.h"

#include <curl/curl.h>

#include <algorithm>
#include <set>

namespace storm {

/* An outcome may arrive this long after its deadline. */
static const int64_t OUTCOME_GRACE_MS = 1000;

std::string
Call::Header(const std::string &name) const
{
    auto it = reply.headers.find(name);

    return it == reply.headers.end() ? "" : it->second;
}

std::string
Call::Outcome() const
{
    return Header("x-outcome");
}

std::string
Call::Id() const
{
    std::string id = Header("x-request-id");

    return id.empty() ? Text(reply.json().get(), "request_id") : id;
}

/* Indexes the observations and collects the violations. */
struct Checker {
    const Observations &e;
    std::multimap<std::string, const Start *> starts; /* by body id */
    std::multimap<std::string, const Call *> calls;   /* by body id */
    std::vector<Violation> violations;

    explicit Checker(const Observations &observations) : e(observations)
    {
        for (const auto &s : e.starts) {
            starts.emplace(s.body_id, &s);
        }
        for (const auto &c : e.calls) {
            calls.emplace(c.body_id, &c);
        }
    }
    /* Adds a violation with the request ids of all calls and starts of that
     * body. */
    void Add(const std::string &body_id, const std::string &what)
    {
        std::set<std::string> ids;
        std::string text = body_id + ": " + what;

        for (auto [i, end] = starts.equal_range(body_id); i != end; ++i) {
            const Start &s = *i->second;

            ids.insert(s.id);
            text += "\n  started at " + std::to_string(s.at) + " on " +
                    s.upstream + " as " + s.id + "/" +
                    std::to_string(s.attempt);
        }
        for (auto [i, end] = calls.equal_range(body_id); i != end; ++i) {
            const Call &c = *i->second;

            if (!c.Id().empty()) {
                ids.insert(c.Id());
            }
            text += "\n  sent to entry-" + std::to_string(c.entry + 1) +
                    " at " + std::to_string(c.begin) + ", ended at " +
                    std::to_string(c.end) + " (deadline " +
                    std::to_string(c.deadline_ms) + " ms), key '" + c.key +
                    "', status " + std::to_string(c.reply.status) + ", curl " +
                    std::to_string(c.reply.curl) + ", outcome '" +
                    c.Outcome() + "' " + c.Id() + " " +
                    Text(c.reply.json().get(), "reason");
        }
        violations.push_back({text, {ids.begin(), ids.end()}});
    }
};

/* Returns how long an entry had that kind of outage during a call; -1: not at
 * all. */
static int64_t
outage_ms(const Observations &e, const Call &c, Outage outage)
{
    int64_t ms = -1;

    for (const auto &w : e.outages) {
        int64_t both = std::min(w.to, c.end) - std::max(w.from, c.begin);

        if (w.entry == c.entry && w.outage == outage && both >= 0) {
            ms = std::max<int64_t>(ms, 0) + both;
        }
    }
    return ms;
}

/* True when a call may have ended without an outcome: its connection broke
 * when its entry was killed, or a drained entry refused it. A connection that
 * a draining entry had accepted must be served. */
static bool
may_lack_outcome(const Observations &e, const Call &c)
{
    bool killed = outage_ms(e, c, Outage::KILLED) >= 0;
    bool drained = outage_ms(e, c, Outage::DRAINED) >= 0;

    return c.reply.curl != CURLE_OPERATION_TIMEDOUT &&
           (killed || (drained && c.reply.curl == CURLE_COULDNT_CONNECT));
}

/* Every caller receives one outcome, at most a second after its deadline. A
 * caller without one repeats the request, which causes duplicate work, or
 * gives up on work that still runs, which loses its result. */
static void
check_answered(Checker &checker)
{
    for (const auto &c : checker.e.calls) {
        int64_t paused =
            std::max<int64_t>(0, outage_ms(checker.e, c, Outage::PAUSED));

        if (c.reply.curl != CURLE_OK) {
            if (!may_lack_outcome(checker.e, c)) {
                checker.Add(c.body_id, "no outcome");
            }
        }
        else if (c.end - c.begin > c.deadline_ms + OUTCOME_GRACE_MS + paused) {
            checker.Add(c.body_id, "late outcome");
        }
    }
}

/* The status, the header and the refusal's JSON state the same outcome.
 * Callers act on any of them, and one that reads not_run repeats the request.
 */
static void
check_agreement(Checker &checker)
{
    static const std::map<std::string, std::set<int>> statuses = {
        {"answered", {200}}, {"not_run", {429, 503}}, {"unknown", {503, 504}}};

    for (const auto &c : checker.e.calls) {
        auto it = statuses.find(c.Outcome());
        std::string body_outcome = Text(c.reply.json().get(), "outcome");

        if (c.reply.curl != CURLE_OK) {
            continue;
        }
        if (it == statuses.end() || it->second.count(c.reply.status) == 0) {
            checker.Add(c.body_id, "the status does not match the outcome");
        }
        else if (c.Outcome() != "answered" && body_outcome != c.Outcome()) {
            checker.Add(c.body_id, "header and body differ: " + body_outcome);
        }
        else if (c.Outcome() == "not_run" && c.Header("retry-after").empty()) {
            checker.Add(c.body_id, "not_run without Retry-After");
        }
    }
}

/* An answer is whole and belongs to the caller's own request. A caller could
 * not detect another's answer, or half of its own. */
static void
check_answers(Checker &checker)
{
    for (const auto &c : checker.e.calls) {
        if (c.reply.curl == CURLE_OK && c.Outcome() == "answered" &&
            c.reply.body != "done:" + c.body) {
            checker.Add(c.body_id, "not its own whole answer");
        }
    }
}

/* True when a start may belong to another call with the same key. */
static bool
may_be_of_other_call(const Checker &checker, const Start &s)
{
    for (auto [i, end] = checker.calls.equal_range(s.body_id); i != end; ++i) {
        const Call &c = *i->second;

        if (c.begin <= s.at &&
            (c.reply.curl != CURLE_OK || c.Outcome() != "not_run")) {
            return true;
        }
    }
    return false;
}

/* A request that ended as not_run never ran and never runs later. Its caller
 * repeats it elsewhere or under a new key, so a start would be duplicate work.
 * With a key, the start of another call is permitted unless it came before
 * this call began. */
static void
check_not_run(Checker &checker)
{
    for (const auto &c : checker.e.calls) {
        if (c.reply.curl != CURLE_OK || c.Outcome() != "not_run") {
            continue;
        }
        for (auto [i, end] = checker.starts.equal_range(c.body_id); i != end;
             ++i) {
            const Start &s = *i->second;

            if (c.key.empty() || s.at < c.begin ||
                !may_be_of_other_call(checker, s)) {
                checker.Add(c.body_id, "replied not_run, but it ran");
                break;
            }
        }
    }
}

/* A request that is not repeatable starts at most once, however often it was
 * sent with its key. A second start could give a second result for one piece
 * of work. */
static void
check_once(Checker &checker)
{
    for (auto i = checker.calls.begin(); i != checker.calls.end();
         i = checker.calls.upper_bound(i->first)) {
        if (!i->second->repeatable && checker.starts.count(i->first) > 1) {
            checker.Add(i->first, "started more than once");
        }
    }
}

/* All answers to one key come from one run: they have the same bytes, request
 * id and attempt, and an upstream has counted that start. */
static void
check_same(Checker &checker)
{
    std::map<std::string, const Call *> first;

    for (const auto &c : checker.e.calls) {
        if (c.reply.curl != CURLE_OK || c.Outcome() != "answered") {
            continue;
        }
        auto range = checker.starts.equal_range(c.body_id);
        const Call *f = first.emplace(c.body_id, &c).first->second;

        if (std::none_of(range.first, range.second, [&c](auto &s) {
                return s.second->id == c.Id() &&
                       std::to_string(s.second->attempt) ==
                           c.Header("x-attempt");
            })) {
            checker.Add(c.body_id,
                        "no upstream counted the run of the answer");
        }
        if (f->reply.body != c.reply.body || f->Id() != c.Id() ||
            f->Header("x-attempt") != c.Header("x-attempt")) {
            checker.Add(c.body_id, "two answers to one key");
        }
    }
}

/* An entry never returns to an earlier configuration, not even by a restart,
 * because a guarantee that was granted would be lost. */
static void
check_epochs(Checker &checker)
{
    std::map<size_t, EpochReading> highest;

    for (const auto &e : checker.e.epochs) {
        EpochReading &h = highest.emplace(e.entry, e).first->second;

        if (e.epoch < h.epoch) {
            checker.violations.push_back(
                {"entry-" + std::to_string(e.entry + 1) +
                     " went back from epoch " + std::to_string(h.epoch) +
                     " to " + std::to_string(e.epoch),
                 {"event=config_adopted"}});
        }
        h.epoch = std::max(h.epoch, e.epoch);
    }
}

std::vector<Violation>
FindViolations(const Observations &e)
{
    static void (*const checks[])(Checker &) = {
        check_answered, check_agreement, check_answers, check_not_run,
        check_once,     check_same,      check_epochs,
    };
    Checker checker(e);

    for (auto check : checks) {
        check(checker);
    }
    return checker.violations;
}

} /* namespace storm */
