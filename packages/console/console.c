#include "console.h"

#include "console-internal.h"

/* Puts the page together from its lines. */
void
Console_Page(struct buf *out)
{
    for (const char *const *line = console_lines; *line != NULL; line++) {
        Buf_AppendStr(out, *line);
    }
}
