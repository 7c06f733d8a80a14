#include "cli.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE_BYTES 16384

/* A log line that mentions the id. */
struct match {
    char *line;
    char timestamp[32]; /* ISO 8601 in UTC, so it sorts as text */
    size_t index;       /* in reading order, for lines of the same time */
};

struct matches {
    const char *id;
    struct match *lines;
    size_t count;
    size_t cap;
};

/* True when the line contains the id with no letter or digit next to it, so
 * "1" is not found in "12". Other characters may follow, as in the names of
 * tasks and the keys of rows. */
static bool
mentions_id(const char *line, const char *id)
{
    size_t len = strlen(id);
    const char *at = line;

    while ((at = strstr(at, id)) != NULL) {
        bool starts = at == line || !isalnum((unsigned char)at[-1]);

        if (starts && !isalnum((unsigned char)at[len])) {
            return true;
        }
        at++;
    }
    return false;
}

/* Adds a line to the matches if it has a time and mentions the id. */
static void
add_if_match(const char *line, void *arg)
{
    struct matches *s = arg;
    const char *time = strstr(line, "time=");
    struct match *m;

    if (time == NULL || !mentions_id(line, s->id)) {
        return;
    }
    if (s->count == s->cap) {
        s->cap = s->cap ? s->cap * 2 : 64;
        s->lines = Mem_Grow(s->lines, s->cap * sizeof(*s->lines));
    }
    m = &s->lines[s->count];
    m->index = s->count++;
    m->line = Mem_Dup(time);
    Str_Copy(m->timestamp, sizeof(m->timestamp), time + strlen("time="));
    m->timestamp[strcspn(m->timestamp, " ")] = '\0';
}

/* Calls fn for each line of one log, without its newline. */
static void
read_log(FILE *in, void (*fn)(const char *line, void *arg), void *arg)
{
    char line[MAX_LINE_BYTES];

    while (fgets(line, sizeof(line), in) != NULL) {
        line[strcspn(line, "\n")] = '\0';
        fn(line, arg);
    }
}

/* Orders lines by time, then in reading order. */
static int
match_compare(const void *va, const void *vb)
{
    const struct match *a = va, *b = vb;
    int by_time = strcmp(a->timestamp, b->timestamp);

    if (by_time != 0) {
        return by_time;
    }
    return a->index < b->index ? -1 : 1;
}

/* Reads all log files given, or standard input. */
int
Cli_ForEachLine(const struct cli_args *args,
                void (*fn)(const char *line, void *arg), void *arg)
{
    for (int i = 0; i < args->log_count; i++) {
        FILE *in = fopen(args->logs[i], "r");

        if (in == NULL) {
            fprintf(stderr, "%s: %s: %s\n", args->program, args->logs[i],
                    strerror(errno));
            return CLI_FAILED;
        }
        read_log(in, fn, arg);
        fclose(in);
    }
    if (args->log_count == 0) {
        read_log(stdin, fn, arg);
    }
    return CLI_WELL;
}

/* Prints all log lines that mention an id, merged by time over all processes.
 */
int
Cli_Explain(const struct cli_args *args)
{
    struct matches s = {.id = args->subject};
    int code = Cli_ForEachLine(args, add_if_match, &s);

    if (s.count > 1) {
        qsort(s.lines, s.count, sizeof(*s.lines), match_compare);
    }
    for (size_t i = 0; i < s.count; i++) {
        if (code == CLI_WELL) {
            puts(s.lines[i].line);
        }
        free(s.lines[i].line);
    }
    free(s.lines);
    if (code == CLI_WELL && s.count == 0) {
        fprintf(stderr, "%s: no line names %s\n", args->program,
                args->subject);
        return CLI_FAILED;
    }
    return code;
}
