/* What callers got in a storm, and the judging of it against what the
 * upstreams counted. */
#ifndef STORM_JUDGE_H
#define STORM_JUDGE_H

#include "storm-stack.h"

namespace storm {

/* One request as its caller saw it. */
struct Call {
    std::string body_id; /* first word of the body: the same for one key */
    std::string body;
    std::string key; /* "": none */
    bool repeatable; /* and without a key */
    size_t entry;
    int64_t begin, end, deadline_ms;
    Reply reply;

    std::string Header(const std::string &name) const;
    std::string Outcome() const;
    /* Id under which the system speaks of it; "" when it didn't say. */
    std::string Id() const;
};

/* What an entry said of its configuration. */
struct EpochReading {
    size_t entry;
    int64_t at, epoch;
};

struct Observations {
    std::vector<Call> calls;
    std::vector<Start> starts;
    std::vector<OutageWindow> outages;
    std::vector<EpochReading> epochs;
};

/* A broken promise, and the requests whose logs tell how. */
struct Violation {
    std::string what;
    std::vector<std::string> ids;
};

/* All invariants; empty when each holds. */
std::vector<Violation> FindViolations(const Observations &e);

} /* namespace storm */

#endif
