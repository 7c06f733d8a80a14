#include "base.h"

#include <time.h>

/* Reads a clock in milliseconds. */
static int64_t
read_ms(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Time that counts on while the machine is suspended, so that a lease ends
 * although its holder was paused. */
int64_t
Clock_NowMs(void)
{
    return read_ms(CLOCK_BOOTTIME);
}

/* Time of day. */
int64_t
Clock_WallMs(void)
{
    return read_ms(CLOCK_REALTIME);
}
