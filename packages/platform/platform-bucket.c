#include "platform-call.h"

#define BURST_SHARE 4 /* a bucket holds this part of a second's worth */

/* What a full bucket holds. A burst of a whole second's worth would let twice
 * the share pass within one second of the service. */
static double
full(const struct bucket *b)
{
    int64_t n = b->per_s / BURST_SHARE;

    return n < 1 ? 1.0 : (double)n;
}

/* A full bucket. */
void
Bucket_Init(struct bucket *b, int64_t per_s, int64_t now_ms)
{
    b->per_s = per_s;
    b->tokens = full(b);
    b->at_ms = now_ms;
}

/* Lets tokens come back, then takes the cost if it is there. */
bool
Bucket_Take(struct bucket *b, int64_t cost, int64_t now_ms)
{
    double most = full(b);
    double need = (double)cost > most ? most : (double)cost;

    if (b->per_s == 0) {
        return true;
    }
    b->tokens += (double)(now_ms - b->at_ms) * (double)b->per_s / 1000.0;
    b->tokens = b->tokens > most ? most : b->tokens;
    b->at_ms = now_ms;
    if (b->tokens < need) {
        return false;
    }
    b->tokens -= (double)cost;
    return true;
}
