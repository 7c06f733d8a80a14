#include "storm-judge.h"

#include <curl/curl.h>

#include <algorithm>
#include <set>

namespace storm {

static const int64_t OUTCOME_GRACE_MS =
    1000; /* of an outcome beyond its deadline */

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

/* Observations, ordered by what the checks ask for. */
struct Checker {
    const Observations &e;
    std::multimap<std::string, const Start *> starts; /* by word */
    std::multimap<std::string, const Call *> calls;   /* by word */
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
    /* Notes a breach, with the ids of all that bears that word. */
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
            text += "\n  asked entry-" + std::to_string(c.entry + 1) + " at " +
                    std::to_string(c.begin) + ", ended at " +
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

/* How long an entry was troubled in that way during a call; -1: not at all.
 */
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

/* Why a call may have ended without an outcome: its connection died with the
 * entry that was killed, or an entry that has left refused it. A connection
 * that a leaving entry had taken is no excuse: it must be served. */
static bool
may_lack_outcome(const Observations &e, const Call &c)
{
    bool killed = outage_ms(e, c, Outage::KILLED) >= 0;
    bool left = outage_ms(e, c, Outage::DRAINED) >= 0;

    return c.reply.curl != CURLE_OPERATION_TIMEDOUT &&
           (killed || (left && c.reply.curl == CURLE_COULDNT_CONNECT));
}

/* A caller hears one outcome by its deadline and a second. One that hears
 * nothing asks again, or gives up on work that runs: the duplicate and the
 * lost estimate of the brief. */
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

/* The status, the header and the refusal's JSON say the same thing: callers
 * act on any of them, and one that reads "not_run" asks again. */
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
            checker.Add(c.body_id, "the status is not of the outcome");
        }
        else if (c.Outcome() != "answered" && body_outcome != c.Outcome()) {
            checker.Add(c.body_id, "header and body differ: " + body_outcome);
        }
        else if (c.Outcome() == "not_run" && c.Header("retry-after").empty()) {
            checker.Add(c.body_id, "not_run without a time to come back");
        }
    }
}

/* An answer is the caller's own and whole: an insurer that got another's, or
 * half of its own, would not see it. */
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

/* True when a start may be of some other request with the same key. */
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

/* Told not_run, a caller asks again, elsewhere or with a new key: what has
 * run, or runs later, is a duplicate. With a key, the start of another
 * request is no breach, unless it was there before this one asked. */
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
                checker.Add(c.body_id, "told not_run, and it ran");
                break;
            }
        }
    }
}

/* What is not to be repeated starts once at most, whatever was asked how
 * often with its key: a second start is a second figure for one claim. */
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

/* Answers with one key are of one run: the same bytes, and the same id and
 * attempt, which are a run that an upstream has counted. */
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
            checker.Add(c.body_id, "answered by a run that nobody counted");
        }
        if (f->reply.body != c.reply.body || f->Id() != c.Id() ||
            f->Header("x-attempt") != c.Header("x-attempt")) {
            checker.Add(c.body_id, "two answers to one key");
        }
    }
}

/* An entry never goes back to an earlier configuration, also not by a
 * restart: a guarantee that was granted would be gone. */
static void
check_epochs(Checker &checker)
{
    std::map<size_t, EpochReading> highest;

    for (const auto &e : checker.e.epochs) {
        EpochReading &h = highest.emplace(e.entry, e).first->second;

        if (e.epoch < h.epoch) {
            checker.violations.push_back(
                {"entry-" + std::to_string(e.entry + 1) + " fell from epoch " +
                     std::to_string(h.epoch) + " to " +
                     std::to_string(e.epoch),
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
