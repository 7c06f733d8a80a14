#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* The commands why, dump and jobs: print an entry's response, as text or as
 * the JSON received. */

/* Prints one value; strings without quotes. */
static void
print_value(const json_t *v)
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

/* Prints an object as one line of key=value pairs. */
static void
print_object(json_t *object)
{
    const char *key, *space = "";
    json_t *v;

    json_object_foreach(object, key, v)
    {
        printf("%s%s=", space, key);
        print_value(v);
        space = " ";
    }
    puts("");
}

/* Prints the named list of a response, one line per item, then the response's
 * other fields. */
static void
print_list(json_t *response, const char *name)
{
    json_t *item;
    size_t i;

    json_array_foreach(json_object_get(response, name), i, item)
    {
        print_object(item);
    }
    json_object_del(response, name);
    if (json_object_size(response) > 0) {
        print_object(response);
    }
}

/* Fetches a path and prints the response; name is the list to print, or NULL
 * to print the whole body as JSON. */
static int
fetch_and_print(const struct cli_args *args, const char *path,
                const char *name)
{
    struct cli_response a CLEANUP(Cli_FreeResponse) = {0};
    int code =
        Cli_Request(args, "GET", path, "application/json", NULL, NULL, &a);
    json_t *response;

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
    response = json_loadb(a.body.data, a.body.len, 0, NULL);
    if (response == NULL) {
        fprintf(stderr, "%s: the answer is no JSON\n", args->program);
        return CLI_FAILED;
    }
    print_list(response, name);
    json_decref(response);
    return CLI_WELL;
}

/* Prints the recorded decisions on a request or job. */
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
    return fetch_and_print(args, path.data, "records");
}

/* Prints the entry's state, as JSON with and without --json. */
int
Cli_Dump(const struct cli_args *args)
{
    return fetch_and_print(args, "/v1/state", NULL);
}

/* Fetches one page of jobs and adds it to a list. next is the cursor of the
 * page to fetch, and is set to that of the following page, or "" after the
 * last. Returns an exit code. */
static int
add_page(const struct cli_args *args, json_t *jobs, struct buf *next)
{
    struct cli_response a CLEANUP(Cli_FreeResponse) = {0};
    struct buf path CLEANUP(Buf_Free) = {0};
    json_t *page;
    const char *after;
    int code;

    Buf_Printf(&path, "/v1/jobs%s%s", next->len > 0 ? "?after=" : "",
               next->len > 0 ? next->data : "");
    code = Cli_Request(args, "GET", path.data, "application/json", NULL, NULL,
                       &a);
    if (code != CLI_WELL) {
        return code;
    }
    if (a.status != 200) {
        return Cli_SayRefusal(args, &a);
    }
    page = json_loadb(a.body.data ? a.body.data : "", a.body.len, 0, NULL);
    json_array_extend(jobs, json_object_get(page, "jobs"));
    after = json_string_value(json_object_get(page, "next"));
    Buf_Clear(next);
    Buf_AppendStr(next, after ? after : "");
    json_decref(page);
    return CLI_WELL;
}

/* Prints all queued and running jobs. */
int
Cli_Jobs(const struct cli_args *args)
{
    struct buf next CLEANUP(Buf_Free) = {0};
    json_t *jobs = json_array();
    json_t *response = json_pack("{s:o}", "jobs", jobs);
    int code;

    do {
        code = add_page(args, jobs, &next);
    } while (code == CLI_WELL && next.len > 0);
    if (code == CLI_WELL && args->json) {
        json_dumpf(response, stdout, JSON_INDENT(1));
        puts("");
    }
    else if (code == CLI_WELL) {
        print_list(response, "jobs");
    }
    json_decref(response);
    return code;
}
