/*
 * cli: what the command lines of both programs share.
 *
 * A program is a table of commands over one set of arguments; argtable parses
 * them and writes --help. Commands that ask an entry speak HTTP with an
 * operator's token, which is read from a file, never from an argument, where
 * every user of the machine could see it.
 */
#ifndef CLI_H
#define CLI_H

#include "config.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Exit codes, the same for every command. */
enum cli_exit {
    CLI_WELL = 0,
    CLI_FAILED = 1, /* a file is wrong, or the process ended with an error */
    CLI_USAGE = 2,
    CLI_REFUSED = 3,    /* the entry answered that it did not do it */
    CLI_UNREACHABLE = 4 /* no answer, or one that leaves it unknown */
};

/* What was given; NULL where it wasn't. */
struct cli_args {
    const char *program;
    const char *subject; /* the second word: a file, an id, a process id */
    const char *url;
    const char *token_file;
    const char *seen;        /* ETag */
    const char *kind;        /* of a file to be checked */
    const char *const *logs; /* files of logs; none: standard input */
    int log_count;
    bool json;
};

struct cli_command {
    const char *name;
    const char *help;
    const char *subject; /* what the second word is; NULL: there is none */
    bool asks;           /* an entry: needs --url and --token-file */
    int (*run)(const struct cli_args *args);
};

struct cli_program {
    const char *name;
    const char *notes; /* the end of --help */
    const struct cli_command *commands;
    size_t count;
};

/* Runs the command that the arguments name; returns its exit code. */
int Cli_Main(const struct cli_program *program, int argc, char **argv);

/* Says every mistake: on standard error for people, or as JSON on standard
 * output. */
void Cli_SayErrors(const struct cli_args *args, const char *file,
                   const struct conf_errors *errors);
/* Says that a file is right, or its mistakes. Returns the exit code. */
int Cli_SayChecked(const struct cli_args *args, const char *file, int err,
                   const struct conf_errors *errors);

/* ---- asking an entry ---------------------------------------------------- */

struct cli_response {
    int err; /* ERR_OK: a whole answer */
    int status;
    char etag[128];
    int64_t retry_after_ms; /* -1: none */
    struct buf body;
};

/* One request with the token; headers are "Name: value" or NULL. Returns
 * CLI_WELL when there is an answer, else says what is wrong. */
int Cli_Request(const struct cli_args *args, const char *method,
                const char *path, const char *accept, const char *if_match,
                const struct buf *body, struct cli_response *out);
void Cli_FreeResponse(struct cli_response *a); /* fit for CLEANUP */
/* Says a refusal, and returns its exit code. */
int Cli_SayRefusal(const struct cli_args *args, const struct cli_response *a);

/* ---- commands of an operator -------------------------------------------- */

int Cli_Apply(const struct cli_args *args); /* FILE */
int Cli_Why(const struct cli_args *args);   /* ID */
int Cli_Dump(const struct cli_args *args);
int Cli_Jobs(const struct cli_args *args);
int Cli_Explain(const struct cli_args *args); /* ID, over saved logs */
int Cli_Summary(const struct cli_args *args); /* over saved logs */
/* Hands each line of the logs that were named, or of standard input, over
 * without its end. CLI_WELL, or what a file that can't be read gives. */
int Cli_ForEachLine(const struct cli_args *args,
                    void (*fn)(const char *line, void *arg), void *arg);

#ifdef __cplusplus
}
#endif

#endif
