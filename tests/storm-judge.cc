#include "storm-judge.h"

#include <curl/curl.h>

#include <algorithm>
#include <set>

namespace storm {

static const int64_t GRACE_MS = 1000; /* of an outcome beyond its deadline */

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

/* Evidence, ordered by what the judges ask for. */
struct Case {
    const Evidence &e;
    std::multimap<std::string, const Start *> starts; /* by word */
    std::multimap<std::string, const Call *> calls;   /* by word */
    std::vector<Breach> breaches;

    explicit Case(const Evidence &evidence) : e(evidence)
    {
        for (const auto &s : e.starts) {
            starts.emplace(s.word, &s);
        }
        for (const auto &c : e.calls) {
            calls.emplace(c.word, &c);
        }
    }
    /* Notes a breach, with the ids of all that bears that word. */
    void Add(const std::string &word, const std::string &what)
    {
        std::set<std::string> ids;
        std::string text = word + ": " + what;

        for (auto [i, end] = starts.equal_range(word); i != end; ++i) {
            const Start &s = *i->second;

            ids.insert(s.id);
            text += "\n  started at " + std::to_string(s.at) + " on " +
                    s.upstream + " as " + s.id + "/" +
                    std::to_string(s.attempt);
        }
        for (auto [i, end] = calls.equal_range(word); i != end; ++i) {
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
        breaches.push_back({text, {ids.begin(), ids.end()}});
    }
};

/* How long an entry was troubled in that way during a call; -1: not at all. */
static int64_t
troubled(const Evidence &e, const Call &c, Trouble trouble)
{
    int64_t ms = -1;

    for (const auto &w : e.windows) {
        int64_t both = std::min(w.to, c.end) - std::max(w.from, c.begin);

        if (w.entry == c.entry && w.trouble == trouble && both >= 0) {
            ms = std::max<int64_t>(ms, 0) + both;
        }
    }
    return ms;
}

/* Why a call may have ended without an outcome: its connection died with the
 * entry that was killed, or an entry that has left refused it. A connection
 * that a leaving entry had taken is no excuse: it must be served. */
static bool
excused(const Evidence &e, const Call &c)
{
    bool killed = troubled(e, c, Trouble::KILLED) >= 0;
    bool left = troubled(e, c, Trouble::LEFT) >= 0;

    return c.reply.curl != CURLE_OPERATION_TIMEDOUT &&
           (killed || (left && c.reply.curl == CURLE_COULDNT_CONNECT));
}

/* A caller hears one outcome by its deadline and a second. One that hears
 * nothing asks again, or gives up on work that runs: the duplicate and the
 * lost estimate of the brief. */
static void
judge_answered(Case &j)
{
    for (const auto &c : j.e.calls) {
        int64_t paused =
            std::max<int64_t>(0, troubled(j.e, c, Trouble::PAUSED));

        if (c.reply.curl != CURLE_OK) {
            if (!excused(j.e, c)) {
                j.Add(c.word, "no outcome");
            }
        }
        else if (c.end - c.begin > c.deadline_ms + GRACE_MS + paused) {
            j.Add(c.word, "late outcome");
        }
    }
}

/* The status, the header and the refusal's JSON say the same thing: callers
 * act on any of them, and one that reads "not_run" asks again. */
static void
judge_agreement(Case &j)
{
    static const std::map<std::string, std::set<int>> statuses = {
        {"answered", {200}}, {"not_run", {429, 503}}, {"unknown", {503, 504}}};

    for (const auto &c : j.e.calls) {
        auto it = statuses.find(c.Outcome());
        std::string said = Text(c.reply.json().get(), "outcome");

        if (c.reply.curl != CURLE_OK) {
            continue;
        }
        if (it == statuses.end() || it->second.count(c.reply.status) == 0) {
            j.Add(c.word, "the status is not of the outcome");
        }
        else if (c.Outcome() != "answered" && said != c.Outcome()) {
            j.Add(c.word, "header and body differ: " + said);
        }
        else if (c.Outcome() == "not_run" && c.Header("retry-after").empty()) {
            j.Add(c.word, "not_run without a time to come back");
        }
    }
}

/* An answer is the caller's own and whole: an insurer that got another's, or
 * half of its own, would not see it. */
static void
judge_answers(Case &j)
{
    for (const auto &c : j.e.calls) {
        if (c.reply.curl == CURLE_OK && c.Outcome() == "answered" &&
            c.reply.body != "done:" + c.body) {
            j.Add(c.word, "not its own whole answer");
        }
    }
}

/* True when a start may be of some other request with the same key. */
static bool
is_anothers(const Case &j, const Start &s)
{
    for (auto [i, end] = j.calls.equal_range(s.word); i != end; ++i) {
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
judge_not_run(Case &j)
{
    for (const auto &c : j.e.calls) {
        if (c.reply.curl != CURLE_OK || c.Outcome() != "not_run") {
            continue;
        }
        for (auto [i, end] = j.starts.equal_range(c.word); i != end; ++i) {
            const Start &s = *i->second;

            if (c.key.empty() || s.at < c.begin || !is_anothers(j, s)) {
                j.Add(c.word, "told not_run, and it ran");
                break;
            }
        }
    }
}

/* What is not to be repeated starts once at most, whatever was asked how
 * often with its key: a second start is a second figure for one claim. */
static void
judge_once(Case &j)
{
    for (auto i = j.calls.begin(); i != j.calls.end();
         i = j.calls.upper_bound(i->first)) {
        if (!i->second->repeatable && j.starts.count(i->first) > 1) {
            j.Add(i->first, "started more than once");
        }
    }
}

/* Answers with one key are of one run: the same bytes, and the same id and
 * attempt, which are a run that an upstream has counted. */
static void
judge_same(Case &j)
{
    std::map<std::string, const Call *> first;

    for (const auto &c : j.e.calls) {
        if (c.reply.curl != CURLE_OK || c.Outcome() != "answered") {
            continue;
        }
        auto range = j.starts.equal_range(c.word);
        const Call *f = first.emplace(c.word, &c).first->second;

        if (std::none_of(range.first, range.second, [&c](auto &s) {
                return s.second->id == c.Id() &&
                       std::to_string(s.second->attempt) ==
                           c.Header("x-attempt");
            })) {
            j.Add(c.word, "answered by a run that nobody counted");
        }
        if (f->reply.body != c.reply.body || f->Id() != c.Id() ||
            f->Header("x-attempt") != c.Header("x-attempt")) {
            j.Add(c.word, "two answers to one key");
        }
    }
}

/* An entry never goes back to an earlier configuration, also not by a
 * restart: a guarantee that was granted would be gone. */
static void
judge_epochs(Case &j)
{
    std::map<size_t, Epoch> highest;

    for (const auto &e : j.e.epochs) {
        Epoch &h = highest.emplace(e.entry, e).first->second;

        if (e.epoch < h.epoch) {
            j.breaches.push_back({"entry-" + std::to_string(e.entry + 1) +
                                      " fell from epoch " +
                                      std::to_string(h.epoch) + " to " +
                                      std::to_string(e.epoch),
                                  {"event=config_adopted"}});
        }
        h.epoch = std::max(h.epoch, e.epoch);
    }
}

std::vector<Breach>
Judge(const Evidence &e)
{
    static void (*const judges[])(Case &) = {
        judge_answered, judge_agreement, judge_answers, judge_not_run,
        judge_once,     judge_same,      judge_epochs,
    };
    Case j(e);

    for (auto judge : judges) {
        judge(j);
    }
    return j.breaches;
}

} /* namespace storm */
