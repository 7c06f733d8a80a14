#include "cli.h"

#include <stdio.h>

/* Prints all errors of a file. */
void
Cli_SayErrors(const struct cli_args *args, const char *file,
              const struct conf_errors *errors)
{
    struct buf text CLEANUP(Buf_Free) = {0};

    if (args->json) {
        Config_RenderErrors(errors, &text);
        fwrite(text.data, 1, text.len, stdout);
        return;
    }
    Conf_Render(errors, file, &text);
    fwrite(text.data, 1, text.len, stderr);
}

/* Prints that a file is valid, or its errors. */
int
Cli_SayChecked(const struct cli_args *args, const char *file, int err,
               const struct conf_errors *errors)
{
    if (err != ERR_OK || args->json) {
        Cli_SayErrors(args, file, errors);
    }
    else {
        printf("%s: ok\n", file);
    }
    return err == ERR_OK ? CLI_WELL : CLI_FAILED;
}
