/* Internal interface of the stand-in for a worker, which has an upstream and
 * a task runner. */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "fake.h"

/* How a request is run and answered. Set by PUT /mode for all requests; the
 * header X-Fake adds to it for one request. */
struct upstream_mode {
    bool hang;       /* counts a start, never finishes or answers */
    bool truncate;   /* announces a longer body than it sends, then closes */
    bool no_length;  /* sends no Content-Length; the close ends the body */
    bool close;      /* runs, then closes without a response */
    bool error;      /* runs, then answers with 500 */
    int64_t slow_ms; /* added to the duration of the run */
    int64_t late_ms; /* from the end of the run to the response */
};

/* Adds the options of a comma-separated list such as "hang,slow=250" to mode.
 * Returns ERR_OK, or ERR_INVALID at the first unknown option. */
int Upstream_ParseMode(const char *words, struct upstream_mode *mode);
/* Sends the response, with the fault that the mode names. */
void Upstream_Answer(struct http_exchange *ex,
                     const struct upstream_mode *mode, const struct buf *body);

struct fake_runner;

struct fake_runner *FakeRunner_New(struct ev_loop *loop);
void FakeRunner_Free(struct fake_runner *r);
/* Serves a request whose path starts with "/runner/". */
void FakeRunner_Serve(struct fake_runner *r, struct http_exchange *ex);

#endif
