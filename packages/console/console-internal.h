/* The text of the page, which scripts/embed-console generates. */
#ifndef CONSOLE_INTERNAL_H
#define CONSOLE_INTERNAL_H

extern const char *const console_lines[]; /* one string per line; NULL last */

#endif
