#include "console.h"

#include "console-internal.h"

/* Appends the lines of the page to out. */
void
Console_Page(struct buf *out)
{
    for (const char *const *line = console_lines; *line != NULL; line++) {
        Buf_AppendStr(out, *line);
    }
}
