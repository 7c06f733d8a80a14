/* The parts of the stand-in for a worker: its upstream and task runner. */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "fake.h"

/* How a request is to be answered, from X-Fake or PUT /mode. */
struct upstream_mode {
    bool hang;       /* runs, never answers */
    bool truncate;   /* announces more than it sends, then closes */
    bool no_length;  /* marks the end of the body by the close only */
    bool close;      /* counts a start, closes without an answer */
    bool error;      /* 500 */
    int64_t slow_ms; /* added to the run */
    int64_t late_ms; /* between the end of the run and the answer */
};

/* Adds the words of a comma list: "hang", "slow=250". ERR_OK, ERR_INVALID. */
int Upstream_ParseMode(const char *words, struct upstream_mode *mode);
/* Answers in the way of the mode, or wrongly, as the mode says. */
void Upstream_Answer(struct http_exchange *ex,
                     const struct upstream_mode *mode, const struct buf *body);

struct fake_runner;

struct fake_runner *FakeRunner_New(struct ev_loop *loop);
void FakeRunner_Free(struct fake_runner *r);
/* Serves a request whose path starts with "/runner/". */
void FakeRunner_Serve(struct fake_runner *r, struct http_exchange *ex);

#endif
