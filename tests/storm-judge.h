/* What callers received in a storm test, and the invariants that it is checked
 * against together with the starts that the upstreams counted. */
#ifndef STORM_JUDGE_H
#define STORM_JUDGE_H

#include "storm-stack.h"

namespace storm {

/* One request as its caller saw it. */
struct Call {
    /* First word of the body, the same for all calls with one key. */
    std::string body_id;
    std::string body;
    std::string key; /* "": none */
    bool repeatable; /* false for all calls with a key */
    size_t entry;
    int64_t begin, end, deadline_ms;
    Reply reply;

    std::string Header(const std::string &name) const;
    std::string Outcome() const;
    /* The request id in the reply's header or body; "" without one. */
    std::string Id() const;
};

/* The epoch of an entry's configuration when it was read. */
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

/* A violated invariant, and the request ids to look for in the logs. */
struct Violation {
    std::string what;
    std::vector<std::string> ids;
};

/* Checks all invariants; empty when each holds. */
std::vector<Violation> FindViolations(const Observations &e);

} /* namespace storm */

#endif
