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

/* Monotonic time. It includes the time for which the machine is suspended, so
 * that a lease expires even though its holder was suspended. */
int64_t
Clock_NowMs(void)
{
    return read_ms(CLOCK_BOOTTIME);
}

/* Time of day, which may jump. */
int64_t
Clock_WallMs(void)
{
    return read_ms(CLOCK_REALTIME);
}
