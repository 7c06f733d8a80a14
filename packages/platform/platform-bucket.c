#include "platform-call.h"

#define BURST_DIVISOR 4 /* a bucket holds this part of a second's worth */

/* What a full bucket holds. A burst of a whole second's worth would let twice
 * the share pass within one second of the service. */
static double
bucket_capacity(const struct bucket *b)
{
    int64_t n = b->per_s / BURST_DIVISOR;

    return n < 1 ? 1.0 : (double)n;
}

/* A full bucket. */
void
Bucket_Init(struct bucket *b, int64_t per_s, int64_t now_ms)
{
    b->per_s = per_s;
    b->tokens = bucket_capacity(b);
    b->refilled_at_ms = now_ms;
}

/* Lets tokens come back, then takes the cost if it is there. */
bool
Bucket_Take(struct bucket *b, int64_t cost, int64_t now_ms)
{
    double capacity = bucket_capacity(b);
    double need = (double)cost > capacity ? capacity : (double)cost;

    if (b->per_s == 0) {
        return true;
    }
    b->tokens +=
        (double)(now_ms - b->refilled_at_ms) * (double)b->per_s / 1000.0;
    b->tokens = b->tokens > capacity ? capacity : b->tokens;
    b->refilled_at_ms = now_ms;
    if (b->tokens < need) {
        return false;
    }
    b->tokens -= (double)cost;
    return true;
}
