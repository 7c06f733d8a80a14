#include "agent.h"

#include "cli.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* parsleyfall-agent check SETTINGS */
static int
check(const struct cli_args *args)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct agent_settings s CLEANUP(Settings_FreeAgent) = {0};
    int err = Settings_LoadAgent(args->subject, &s, errors);

    return Cli_SayChecked(args, args->subject, err, errors);
}

/* parsleyfall-agent run SETTINGS */
static int
run(const struct cli_args *args)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct agent_settings s CLEANUP(Settings_FreeAgent) = {0};
    int err;

    Kernel_IgnoreHup();
    err = Settings_LoadAgent(args->subject, &s, errors);
    if (err != ERR_OK) {
        Cli_SayErrors(args, args->subject, errors);
        return CLI_FAILED;
    }
    err = Kernel_RunProcess(s.name, &s, s.drain_ms,
                            (enum log_level)s.log_level, Agent_Incarnation(),
                            s.hosted.worker != NULL ? PROFILE_HOSTED : "");
    return err == ERR_OK ? CLI_WELL : CLI_FAILED;
}

/* parsleyfall-agent dump PID: requests the state by a signal, as an agent has
 * no port for operators unless upstreams announce themselves. The agent writes
 * its state to its standard output. */
static int
dump(const struct cli_args *args)
{
    char *end;
    long pid = strtol(args->subject, &end, 10);

    if (*args->subject == '\0' || *end != '\0' || pid < 2) {
        fprintf(stderr, "%s: %s is no process id\n", args->program,
                args->subject);
        return CLI_USAGE;
    }
    if (kill((pid_t)pid, SIGUSR1) != 0) {
        fprintf(stderr, "%s: %ld: %s\n", args->program, pid, strerror(errno));
        return CLI_UNREACHABLE;
    }
    return CLI_WELL;
}

static const struct cli_command commands[] = {
    {"run", "runs the agent of one worker", "SETTINGS", false, run},
    {"check", "says every mistake of the settings", "SETTINGS", false, check},
    {"dump", "lets an agent write its state to its standard output", "PID",
     false, dump},
};

static const struct cli_program program = {
    .name = "parsleyfall-agent",
    .notes = "An agent drains at SIGTERM, and prints its state at SIGUSR1.",
    .commands = commands,
    .count = COUNT_OF(commands),
};

int
main(int argc, char **argv)
{
    return Cli_Main(&program, argc, argv);
}
