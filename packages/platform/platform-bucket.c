#include "platform-call.h"

#define BURST_DIVISOR 4 /* capacity: the tokens of 1/4 s */

/* Returns the capacity of a bucket. If it held the tokens of a whole second, a
 * burst could spend twice the configured rate within one second. */
static double
bucket_capacity(const struct bucket *b)
{
    int64_t n = b->per_s / BURST_DIVISOR;

    return n < 1 ? 1.0 : (double)n;
}

/* Initialises a bucket that is full. */
void
Bucket_Init(struct bucket *b, int64_t per_s, int64_t now_ms)
{
    b->per_s = per_s;
    b->tokens = bucket_capacity(b);
    b->refilled_at_ms = now_ms;
}

/* Refills the bucket for the time since the last call, then takes the cost if
 * enough tokens are available. */
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
