#include "policy.h"

/* The text of a priority. */
const char *
Priority_Name(enum priority priority)
{
    static const char *const names[PRIORITY_COUNT] = {"urgent", "normal",
                                                      "batch"};

    return (unsigned)priority < PRIORITY_COUNT ? names[priority] : "unnamed";
}
