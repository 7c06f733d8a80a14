#include "base.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const names[] = {
    "ok",      "no_memory",   "invalid", "not_found", "exists", "conflict",
    "timeout", "unreachable", "cut",     "too_big",   "busy",   "denied",
    "stale",   "io",          "gone",    "unknown"};

/* Name of an error number, for logs and responses. */
const char *
Err_Name(int err)
{
    if (err > 0 || err < ERR_LAST) {
        return "unnamed";
    }
    return names[-err];
}

/* Writes the reason to stderr and aborts the process. Only for lack of memory
 * and for broken invariants. */
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
