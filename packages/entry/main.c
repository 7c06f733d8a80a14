#include "entry.h"

#include "cli.h"

#include <stdio.h>
#include <string.h>

#define DOCUMENT_SIZE_MAX ((size_t)4 << 20)

/* Loads the settings and prints all errors in them. */
static int
load(const struct cli_args *args, struct entry_settings *s)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    int err = Settings_LoadEntry(args->subject, s, errors);

    if (err != ERR_OK) {
        Cli_SayErrors(args, args->subject, errors);
    }
    return err;
}

/* True if the file is a configuration document: settings have no topology. */
static bool
is_document(const struct cli_args *args)
{
    struct buf text CLEANUP(Buf_Free) = {0};

    if (args->kind != NULL) {
        return strcmp(args->kind, "configuration") == 0;
    }
    if (File_Read(args->subject, DOCUMENT_SIZE_MAX, &text) != ERR_OK ||
        text.data == NULL) {
        return false;
    }
    return strncmp(text.data, "topology:", 9) == 0 ||
           strstr(text.data, "\ntopology:") != NULL ||
           strstr(text.data, "\"topology\"") != NULL;
}

/* parsleyfall check FILE */
static int
check(const struct cli_args *args)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct entry_settings settings CLEANUP(Settings_FreeEntry) = {0};
    struct config document CLEANUP(Config_Free) = {0};
    int err;

    if (args->kind != NULL && strcmp(args->kind, "configuration") != 0 &&
        strcmp(args->kind, "settings") != 0) {
        fprintf(stderr, "%s: --kind is settings or configuration\n",
                args->program);
        return CLI_USAGE;
    }
    if (is_document(args)) {
        Config_SetCheck(Feasible_Check);
        err = Config_Load(args->subject, &document, errors);
    }
    else {
        err = Settings_LoadEntry(args->subject, &settings, errors);
    }
    return Cli_SayChecked(args, args->subject, err, errors);
}

/* parsleyfall apply FILE */
static int
apply(const struct cli_args *args)
{
    Config_SetCheck(Feasible_Check);
    return Cli_Apply(args);
}

/* parsleyfall serve SETTINGS */
static int
serve(const struct cli_args *args)
{
    struct entry_settings s CLEANUP(Settings_FreeEntry) = {0};
    int err;

    Kernel_IgnoreHup();
    if (load(args, &s) != ERR_OK) {
        return CLI_FAILED;
    }
    err = Kernel_RunProcess(s.name, &s, s.drain_ms,
                            (enum log_level)s.log_level, Entry_Incarnation(),
                            s.hosted.store != NULL ? PROFILE_HOSTED : "");
    return err == ERR_OK ? CLI_WELL : CLI_FAILED;
}

/* parsleyfall keys NAME: writes NAME.pub and NAME.key for link_keys. */
static int
keys(const struct cli_args *args)
{
    struct buf public_file CLEANUP(Buf_Free) = {0};
    struct buf secret_file CLEANUP(Buf_Free) = {0};
    int err;

    Buf_Printf(&public_file, "%s.pub", args->subject);
    Buf_Printf(&secret_file, "%s.key", args->subject);
    err = Link_WriteKeys(public_file.data, secret_file.data);
    if (err != ERR_OK) {
        fprintf(stderr, "%s: %s, %s: %s\n", args->program, public_file.data,
                secret_file.data, Err_Name(err));
        return CLI_FAILED;
    }
    return CLI_WELL;
}

static const struct cli_command commands[] = {
    {"serve", "runs an entry", "SETTINGS", false, serve},
    {"check", "says every mistake of settings or a configuration", "FILE",
     false, check},
    {"apply", "puts a configuration in force, after showing what changes",
     "FILE", true, apply},
    {"why", "the recorded decisions of a request or job", "ID", true, Cli_Why},
    {"explain", "the story of an id out of saved logs, over all processes",
     "ID", false, Cli_Explain},
    {"summary", "every job of saved logs, and what became of its runs", NULL,
     false, Cli_Summary},
    {"dump", "everything that an entry knows, as JSON", NULL, true, Cli_Dump},
    {"keys", "makes the key pair of a deployment's links: NAME.pub, NAME.key",
     "NAME", false, keys},
    {"jobs", "the jobs that wait or run", NULL, true, Cli_Jobs},
};

static const struct cli_program program = {
    .name = "parsleyfall",
    .notes = "An entry drains at SIGTERM, and prints its state at SIGUSR1.",
    .commands = commands,
    .count = COUNT_OF(commands),
};

int
main(int argc, char **argv)
{
    return Cli_Main(&program, argc, argv);
}
