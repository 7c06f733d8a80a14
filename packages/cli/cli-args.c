#include "cli.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define MAX_PARSE_ERRORS 8
#define MAX_LOG_FILES                                                         \
    1024 /* enough for the log files of all processes of a fleet */

/* The arguments of both programs, in the order of --help. */
struct arguments {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *json;
    struct arg_str *url;
    struct arg_file *token_file;
    struct arg_str *seen;
    struct arg_str *kind;
    struct arg_file *log;
    struct arg_file *picture;
    struct arg_str *command;
    struct arg_str *subject;
    struct arg_end *end;
};

/* Allocates the argtable objects of all arguments. */
static void
make_options(struct arguments *a)
{
    a->help = arg_lit0("h", "help", "say this");
    a->version = arg_lit0(NULL, "version", "say the version");
    a->json = arg_lit0(NULL, "json", "write JSON");
    a->url = arg_str0(NULL, "url", "URL", "an entry, as http://10.0.0.1:8080");
    a->token_file =
        arg_file0(NULL, "token-file", "FILE", "holds the operator's token");
    a->seen =
        arg_str0(NULL, "seen", "ETAG", "apply: of the document you changed");
    a->kind = arg_str0(NULL, "kind", "KIND",
                       "check: settings or configuration; else recognised");
    a->log = arg_filen(NULL, "log", "FILE", 0, MAX_LOG_FILES,
                       "explain, summary: a saved log; else standard input");
    a->picture = arg_file0(NULL, "picture", "FILE",
                           "summary: writes accelerators over time as SVG");
    a->command = arg_str0(NULL, NULL, "COMMAND", "one of those above");
    a->subject = arg_str0(NULL, NULL, "SUBJECT", "what the command is about");
    a->end = arg_end(MAX_PARSE_ERRORS);
}

/* Returns the first value of an option, or NULL. */
static const char *
first_value(const struct arg_str *arg)
{
    return arg->count > 0 ? arg->sval[0] : NULL;
}

/* Prints the usage of the program. */
static void
print_usage(const struct cli_program *p, void **table, FILE *out)
{
    size_t i;

    fprintf(out, "usage: %s", p->name);
    arg_print_syntax(out, table, "\n\n");
    for (i = 0; i < p->count; i++) {
        const struct cli_command *c = &p->commands[i];

        fprintf(out, "  %-6s %-9s %s\n", c->name, c->subject ? c->subject : "",
                c->help);
    }
    fputs("\n", out);
    arg_print_glossary(out, table, "  %-20s %s\n");
    fprintf(out,
            "\n%s\nExit: 0 well, 1 failed (a file is wrong, or the process "
            "ended with an error),\n2 usage, 3 refused by the entry, 4 no "
            "answer or its outcome is unknown.\n",
            p->notes);
}

/* Prints a usage error of a command; returns the exit code. */
static int
usage_error(const struct cli_program *p, const char *command, const char *what)
{
    fprintf(stderr, "%s %s: %s; see --help\n", p->name, command, what);
    return CLI_USAGE;
}

/* Checks that a command has the arguments it needs, and runs it. */
static int
run_command(const struct cli_program *p, const struct cli_command *c,
            const struct cli_args *args)
{
    if (c->subject != NULL && args->subject == NULL) {
        return usage_error(p, c->name, "what it is about is missing");
    }
    if (c->subject == NULL && args->subject != NULL) {
        return usage_error(p, c->name, "one word too many");
    }
    if (c->asks && (args->url == NULL || args->token_file == NULL)) {
        return usage_error(p, c->name, "--url and --token-file are needed");
    }
    return c->run(args);
}

/* Looks up the command by name and runs it. */
static int
dispatch(const struct cli_program *p, const struct arguments *a)
{
    const struct cli_args args = {
        .program = p->name,
        .subject = first_value(a->subject),
        .url = first_value(a->url),
        .token_file =
            a->token_file->count > 0 ? a->token_file->filename[0] : NULL,
        .seen = first_value(a->seen),
        .kind = first_value(a->kind),
        .logs = (const char *const *)a->log->filename,
        .log_count = a->log->count,
        .picture = a->picture->count > 0 ? a->picture->filename[0] : NULL,
        .json = a->json->count > 0,
    };
    size_t i;

    for (i = 0; i < p->count; i++) {
        if (strcmp(p->commands[i].name, a->command->sval[0]) == 0) {
            return run_command(p, &p->commands[i], &args);
        }
    }
    return usage_error(p, a->command->sval[0], "no such command");
}

/* Parses the arguments and runs the command. */
int
Cli_Main(const struct cli_program *program, int argc, char **argv)
{
    struct arguments a;
    int errors, code;

    make_options(&a);
    void *table[] = {a.help,       a.version, a.json,    a.url,
                     a.token_file, a.seen,    a.kind,    a.log,
                     a.picture,    a.command, a.subject, a.end};
    errors = arg_parse(argc, argv, table);
    if (a.help->count > 0) {
        print_usage(program, table, stdout);
        code = CLI_WELL;
    }
    else if (a.version->count > 0) {
        printf("%s %s\n", program->name, PF_VERSION);
        code = CLI_WELL;
    }
    else if (errors > 0 || a.command->count == 0) {
        arg_print_errors(stderr, a.end, program->name);
        print_usage(program, table, stderr);
        code = CLI_USAGE;
    }
    else {
        code = dispatch(program, &a);
    }
    arg_freetable(table, COUNT_OF(table));
    return code;
}
