#include "entry.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Exit codes, as --help tells them. */
enum exit_code { EXIT_WELL = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/* Loads the settings and says every mistake on stderr. */
static int
load(const char *path, struct entry_settings *s)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct buf text CLEANUP(Buf_Free) = {0};
    int err = Settings_LoadEntry(path, s, errors);

    if (err != ERR_OK) {
        Conf_Render(errors, path, &text);
        fwrite(text.data, 1, text.len, stderr);
    }
    return err;
}

/* parsleyfall check SETTINGS */
static int
check(const char *path)
{
    struct entry_settings s CLEANUP(Settings_FreeEntry) = {0};

    if (load(path, &s) != ERR_OK) {
        return EXIT_FAILED;
    }
    printf("%s: ok\n", path);
    return EXIT_WELL;
}

/* parsleyfall serve SETTINGS */
static int
run(const char *path)
{
    struct entry_settings s CLEANUP(Settings_FreeEntry) = {0};
    struct kernel k;
    int err;

    if (load(path, &s) != ERR_OK) {
        return EXIT_FAILED;
    }
    Log_SetProcess(s.name);
    Log_SetLevel((enum log_level)s.log_level);
    Kernel_Init(&k, s.name, &s, s.drain_ms);
    LOG_I("start", KV("version", PF_VERSION),
          KV_INT("incarnation", Entry_Incarnation()));
    err = Kernel_Start(&k);
    if (err == ERR_OK) {
        err = Kernel_Run(&k);
    }
    LOG_I("stop", KV("result", Err_Name(err)));
    Kernel_Free(&k);
    return err == ERR_OK ? EXIT_WELL : EXIT_FAILED;
}

static const struct {
    const char *name;
    int (*run)(const char *path);
} commands[] = {{"serve", run}, {"check", check}};

/* Says how the program is used. */
static void
usage(FILE *out, void **table)
{
    fputs("usage: parsleyfall", out);
    arg_print_syntax(out, table, "\n\n");
    fputs("  serve  runs an entry\n"
          "  check  reads the settings and says every mistake\n\n",
          out);
    arg_print_glossary(out, table, "  %-20s %s\n");
    fputs("\nSIGTERM drains, SIGUSR1 prints the state as JSON.\n"
          "Exit: 0 well, 1 failed, 2 usage.\n",
          out);
}

/* Runs the command that the arguments name. */
static int
dispatch_command(const char *name, const char *path)
{
    size_t i;

    for (i = 0; i < COUNT_OF(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return commands[i].run(path);
        }
    }
    fprintf(stderr, "parsleyfall: no command %s; see --help\n", name);
    return EXIT_USAGE;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "say this");
    struct arg_lit *version = arg_lit0(NULL, "version", "say the version");
    struct arg_str *name = arg_str0(NULL, NULL, "COMMAND", "serve or check");
    struct arg_file *file =
        arg_file0(NULL, NULL, "SETTINGS", "YAML settings of this entry");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, version, name, file, end};
    int errors = arg_parse(argc, argv, table);
    int code = EXIT_USAGE;

    if (help->count > 0) {
        usage(stdout, table);
        code = EXIT_WELL;
    }
    else if (version->count > 0) {
        puts("parsleyfall " PF_VERSION);
        code = EXIT_WELL;
    }
    else if (errors > 0 || name->count == 0 || file->count == 0) {
        arg_print_errors(stderr, end, "parsleyfall");
        usage(stderr, table);
    }
    else {
        code = dispatch_command(name->sval[0], file->filename[0]);
    }
    arg_freetable(table, COUNT_OF(table));
    return code;
}
