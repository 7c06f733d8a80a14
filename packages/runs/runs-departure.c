#include "runs-watch.h"

#include <string.h>

/* Refused polls in a row, and the time that they cover, that show a draining
 * worker to be gone. A worker that restarts in place listens again sooner. */
#define REFUSALS_MIN 3
#define REFUSALS_MIN_MS 300

/* Begins to follow another incarnation, of which nothing is known. */
void
Departure_Clear(struct departure *d)
{
    *d = (struct departure){.end_ms = -1};
}

/* Takes over the notice of a report that the worker sent of itself. The worker
 * is alive, so earlier refusals prove nothing. */
void
Departure_Reported(struct departure *d, bool draining, int64_t left_ms,
                   int64_t now_ms)
{
    d->end_ms = draining && left_ms >= 0 ? now_ms + left_ms : -1;
    d->refusals = 0;
}

/* Counts the result of a poll; only refusals in a row count. */
void
Departure_Polled(struct departure *d, bool refused, int64_t now_ms)
{
    if (!refused) {
        d->refusals = 0;
        return;
    }
    if (d->refusals++ == 0) {
        d->refused_ms = now_ms;
    }
}

/* True when the worker is gone: it announced that it drains, its minimum time
 * has passed, and the kernel of its machine has refused several polls in a
 * row.
 *
 * Without this conclusion, the gangs of a worker that left without announcing
 * its end wait until its lease has expired. Polls without an answer prove
 * nothing: a hung worker goes on running its tasks, and they would be started
 * a second time elsewhere. The kernel accepts connections for a hung process,
 * and refuses them only when no process listens. */
bool
Departure_IsOver(const struct departure *d, int64_t now_ms)
{
    return d->end_ms >= 0 && now_ms >= d->end_ms &&
           d->refusals >= REFUSALS_MIN &&
           now_ms - d->refused_ms >= REFUSALS_MIN_MS;
}

/* Returns the minimum time for which the worker will still serve; -1 when it
 * is not known. */
int64_t
Departure_LeftMs(const struct departure *d, int64_t now_ms)
{
    if (d->end_ms < 0) {
        return -1;
    }
    return d->end_ms > now_ms ? d->end_ms - now_ms : 0;
}
