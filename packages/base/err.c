#include "base.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const names[] = {
    "ok",      "no_memory",   "invalid", "not_found", "exists", "conflict",
    "timeout", "unreachable", "cut",     "too_big",   "busy",   "denied",
    "stale",   "io",          "gone",    "unknown"};

/* Name of an error number, for logs and answers. */
const char *
Err_Name(int err)
{
    if (err > 0 || err < ERR_LAST) {
        return "unnamed";
    }
    return names[-err];
}

/* Says why on stderr and aborts. Reserved for states that can't be. */
void
Fatal(const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    fputs("fatal: ", stderr);
    vfprintf(stderr, fmt, ap);
    fputc('\n', stderr);
    va_end(ap);
    abort();
}
