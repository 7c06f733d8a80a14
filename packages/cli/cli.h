/*
 * cli: the command line shared by both programs.
 *
 * A program is a table of commands with a common set of arguments; argtable
 * parses these and prints --help. Commands that query an entry use HTTP with
 * an operator's token. The token is read from a file and never from an
 * argument, as every user of the machine can see a process's arguments.
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
    CLI_REFUSED = 3,    /* the entry refused the request */
    CLI_UNREACHABLE = 4 /* no response, or the outcome is unknown */
};

/* The parsed arguments; NULL for those that are not given. */
struct cli_args {
    const char *program;
    const char *subject; /* the second word: a file, an id, a process id */
    const char *url;
    const char *token_file;
    const char *seen; /* ETag of the configuration that a change is based on */
    const char *kind; /* of the file to check */
    const char *const *logs; /* log files; none: standard input */
    int log_count;
    const char *picture; /* file to which summary writes its picture */
    bool json;
};

struct cli_command {
    const char *name;
    const char *help;
    const char *subject; /* what the second word is; NULL: none is allowed */
    bool asks;           /* queries an entry: needs --url and --token-file */
    int (*run)(const struct cli_args *args);
};

struct cli_program {
    const char *name;
    const char *notes; /* the end of --help */
    const struct cli_command *commands;
    size_t count;
};

/* Runs the command named by the arguments; returns its exit code. */
int Cli_Main(const struct cli_program *program, int argc, char **argv);

/* Prints all errors of a file: as text on standard error, or with --json as
 * JSON on standard output. */
void Cli_SayErrors(const struct cli_args *args, const char *file,
                   const struct conf_errors *errors);
/* Prints that a file is valid, or its errors. Returns the exit code. */
int Cli_SayChecked(const struct cli_args *args, const char *file, int err,
                   const struct conf_errors *errors);

/* ---- requests to an entry ----------------------------------------------- */

struct cli_response {
    int err; /* ERR_OK: a complete response */
    int status;
    char etag[128];
    int64_t retry_after_ms; /* -1: none */
    struct buf body;
};

/* Sends one request with the token and waits for its response. if_match and
 * body may be NULL. Returns CLI_WELL if there is a response of any status;
 * otherwise prints the error on standard error. The caller frees out. */
int Cli_Request(const struct cli_args *args, const char *method,
                const char *path, const char *accept, const char *if_match,
                const struct buf *body, struct cli_response *out);
void Cli_FreeResponse(struct cli_response *a); /* fit for CLEANUP */
/* Prints a response that refuses a request, and returns the exit code. */
int Cli_SayRefusal(const struct cli_args *args, const struct cli_response *a);

/* ---- commands of an operator -------------------------------------------- */

int Cli_Apply(const struct cli_args *args); /* FILE */
int Cli_Why(const struct cli_args *args);   /* ID */
int Cli_Dump(const struct cli_args *args);
int Cli_Jobs(const struct cli_args *args);
int Cli_Explain(const struct cli_args *args); /* ID, over saved logs */
int Cli_Summary(const struct cli_args *args); /* over saved logs */
/* Calls fn for each line, without its newline, of the log files given, or of
 * standard input. Returns CLI_WELL, or CLI_FAILED if a file can't be opened.
 */
int Cli_ForEachLine(const struct cli_args *args,
                    void (*fn)(const char *line, void *arg), void *arg);

#ifdef __cplusplus
}
#endif

#endif
