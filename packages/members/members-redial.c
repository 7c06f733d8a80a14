#include "members.h"

#define TOKEN_MILLI 1000 /* a token, in thousandths */
/* A budget saves this many seconds of attempts. */
#define BURST_S 2

/* Returns how long a link may be silent before it is replaced. */
int64_t
Redial_SilenceMs(const struct redial *r, int64_t base_ms)
{
    int64_t ms = base_ms;

    for (uint32_t i = 0; i < r->attempts; i++) {
        if (ms >= base_ms * REDIAL_GROWTH_MAX) {
            break;
        }
        ms *= 2;
    }
    if (r->attempts > 0) {
        /* Peers that were lost together are not tried again together. */
        ms += (int64_t)((r->seed >> (r->attempts % 32)) % 512) * ms / 1024;
    }
    return ms;
}

/* Adds the tokens of the time since the last call. */
static void
refill(struct redial_budget *b, int64_t now)
{
    int64_t full = b->per_s * BURST_S * TOKEN_MILLI;
    int64_t elapsed_ms = now - b->filled_ms;

    if (b->filled_ms == 0 || elapsed_ms >= BURST_S * 1000) {
        b->tokens_milli = full;
    }
    else {
        b->tokens_milli += elapsed_ms * b->per_s;
    }
    if (b->tokens_milli > full) {
        b->tokens_milli = full;
    }
    b->filled_ms = now;
}

/* Decides whether a silent link is replaced now. */
bool
Redial_Try(struct redial *r, struct redial_budget *budget, int64_t base_ms,
           int64_t silent_ms, int64_t now)
{
    if (silent_ms <= Redial_SilenceMs(r, base_ms)) {
        return false;
    }
    refill(budget, now);
    if (budget->tokens_milli < TOKEN_MILLI) {
        return false;
    }
    budget->tokens_milli -= TOKEN_MILLI;
    r->attempts++;
    return true;
}

/* A message has arrived on the link. */
void
Redial_Received(struct redial *r)
{
    r->attempts = 0;
}
