/* The page's lines, as scripts/embed-console writes them. */
#ifndef CONSOLE_INTERNAL_H
#define CONSOLE_INTERNAL_H

extern const char *const console_lines[]; /* ends with NULL */

#endif
