#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* why, dump, jobs: what an entry answers, for people or as it came. */

/* Writes one value; texts without quotes. */
static void
say_value(const json_t *v)
{
    char *text;

    if (json_is_string(v)) {
        fputs(json_string_value(v), stdout);
        return;
    }
    text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
    fputs(text ? text : "", stdout);
    free(text);
}

/* Writes an object as one line of key=value pairs. */
static void
say_line(json_t *object)
{
    const char *key, *space = "";
    json_t *v;

    json_object_foreach(object, key, v)
    {
        printf("%s%s=", space, key);
        say_value(v);
        space = " ";
    }
    puts("");
}

/* Writes the list of an answer, a line each, and then what else it says. */
static void
say_list(json_t *answer, const char *name)
{
    json_t *item;
    size_t i;

    json_array_foreach(json_object_get(answer, name), i, item)
    {
        say_line(item);
    }
    json_object_del(answer, name);
    if (json_object_size(answer) > 0) {
        say_line(answer);
    }
}

/* Asks for a path; name is the list in the answer, or NULL for all of it. */
static int
show(const struct cli_args *args, const char *path, const char *name)
{
    struct cli_answer a CLEANUP(Cli_FreeAnswer) = {0};
    int code = Cli_Ask(args, "GET", path, "application/json", NULL, NULL, &a);
    json_t *answer;

    if (code != CLI_WELL) {
        return code;
    }
    if (a.status != 200) {
        return Cli_SayRefusal(args, &a);
    }
    if (args->json || name == NULL) {
        fwrite(a.body.data, 1, a.body.len, stdout);
        return CLI_WELL;
    }
    answer = json_loadb(a.body.data, a.body.len, 0, NULL);
    if (answer == NULL) {
        fprintf(stderr, "%s: the answer is no JSON\n", args->program);
        return CLI_FAILED;
    }
    say_list(answer, name);
    json_decref(answer);
    return CLI_WELL;
}

/* The recorded decisions of a request or job. */
int
Cli_Why(const struct cli_args *args)
{
    struct buf path CLEANUP(Buf_Free) = {0};
    struct id id;

    if (Id_Parse(args->subject, &id) != ERR_OK) {
        fprintf(stderr, "%s: %s is no id of 32 hex digits\n", args->program,
                args->subject);
        return CLI_USAGE;
    }
    Buf_Printf(&path, "/v1/why/%s", args->subject);
    return show(args, path.data, "records");
}

/* Everything that the entry knows, as JSON in both cases. */
int
Cli_Dump(const struct cli_args *args)
{
    return show(args, "/v1/state", NULL);
}

/* The jobs that wait or run. */
int
Cli_Jobs(const struct cli_args *args)
{
    return show(args, "/v1/jobs", "jobs");
}
