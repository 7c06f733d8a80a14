#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* The apply command: prints the difference between a file and the
 * configuration in force, submits the file and prints the outcome. */

/* The document to apply, the one in force, and their difference. */
struct change {
    struct config next;
    struct config current;
    struct buf text; /* of next, in canonical form */
    char hash[DIGEST_HEX_SIZE];
    char etag[128]; /* of current */
    struct buf diff;
    size_t diff_count;
};

/* Frees both documents. */
static void
change_free(struct change *c)
{
    Config_Free(&c->next);
    Config_Free(&c->current);
    Buf_Free(&c->text);
    Buf_Free(&c->diff);
}

/* Loads and validates the file to apply. */
static int
read_new_config(const struct cli_args *args, struct change *c)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));

    if (Config_Load(args->subject, &c->next, errors) != ERR_OK) {
        Cli_SayErrors(args, args->subject, errors);
        return CLI_FAILED;
    }
    Config_Render(&c->next, &c->text);
    Digest_Hex(c->text.data, c->text.len, c->hash);
    return CLI_WELL;
}

/* Fetches the document in force and computes the difference to it. */
static int
read_current_config(const struct cli_args *args, struct change *c)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct cli_response a CLEANUP(Cli_FreeResponse) = {0};
    int code = Cli_Request(args, "GET", "/v1/config", "application/yaml", NULL,
                           NULL, &a);

    if (code != CLI_WELL) {
        return code;
    }
    if (a.status != 200) {
        return Cli_SayRefusal(args, &a);
    }
    if (Config_Parse(a.body.data, a.body.len, &c->current, errors) != ERR_OK) {
        Cli_SayErrors(args, args->url, errors);
        return CLI_FAILED;
    }
    Str_Copy(c->etag, sizeof(c->etag), a.etag);
    c->diff_count = Config_Diff(&c->current, &c->next, &c->diff);
    return CLI_WELL;
}

/* True when the document in force is the one that this command submitted. */
static bool
is_in_force(const struct cli_args *args, const struct change *c)
{
    struct cli_response a CLEANUP(Cli_FreeResponse) = {0};

    return Cli_Request(args, "GET", "/v1/config", "application/yaml", NULL,
                       NULL, &a) == CLI_WELL &&
           a.status == 200 && strstr(a.etag, c->hash) != NULL;
}

/* Handles a change whose outcome is unknown, as there was no response or it
 * was a 504: the document in force may show that the change took effect. */
static int
check_if_applied(const struct cli_args *args, const struct change *c)
{
    if (is_in_force(args, c)) {
        printf("in force: read back after the answer was lost\n");
        return CLI_WELL;
    }
    fprintf(stderr,
            "%s: it is not known whether this took effect; read the "
            "configuration before changing it again\n",
            args->program);
    return CLI_UNREACHABLE;
}

/* Prints the changes that others made since the document was read. */
static void
print_changes(const struct cli_response *a)
{
    json_t *o = json_loadb(a->body.data, a->body.len, 0, NULL);
    json_t *change, *line;
    size_t i, j;

    fputs("changed since by others:\n", stderr);
    json_array_foreach(json_object_get(o, "changes"), i, change)
    {
        fprintf(
            stderr, "  epoch %lld by %s\n",
            (long long)json_integer_value(json_object_get(change, "epoch")),
            json_string_value(json_object_get(change, "operator")));
        json_array_foreach(json_object_get(change, "lines"), j, line)
        {
            fprintf(stderr, "    %s\n", json_string_value(line));
        }
    }
    json_decref(o);
}

/* Prints the outcome in the response to a change; returns the exit code. */
static int
print_outcome(const struct cli_args *args, const struct change *c,
              const struct cli_response *a)
{
    if (a->status == 504) {
        return check_if_applied(args, c);
    }
    if (args->json) {
        fwrite(a->body.data, 1, a->body.len, stdout);
        return a->status == 200 ? CLI_WELL : CLI_REFUSED;
    }
    if (a->status == 200) {
        printf("accepted: %s\n", a->etag);
        return CLI_WELL;
    }
    if (a->status == 412) {
        print_changes(a);
        return CLI_REFUSED;
    }
    if (a->status == 422) {
        fwrite(a->body.data, 1, a->body.len, stderr);
        return CLI_REFUSED;
    }
    return Cli_SayRefusal(args, a);
}

/* Applies a configuration file to the deployment that an entry belongs to. */
int
Cli_Apply(const struct cli_args *args)
{
    struct change c CLEANUP(change_free) = {0};
    struct cli_response a CLEANUP(Cli_FreeResponse) = {0};
    int code = read_new_config(args, &c);

    if (code == CLI_WELL) {
        code = read_current_config(args, &c);
    }
    if (code != CLI_WELL) {
        return code;
    }
    if (!args->json && c.diff.data != NULL) {
        fputs(c.diff.data, stdout);
    }
    if (c.diff_count == 0) {
        printf(args->json ? "{\"outcome\": \"unchanged\"}\n" : "unchanged\n");
        return CLI_WELL;
    }
    code = Cli_Request(args, "PUT", "/v1/config", "application/json",
                       args->seen ? args->seen : c.etag, &c.text, &a);
    if (code == CLI_UNREACHABLE && a.err != ERR_UNREACHABLE) {
        return check_if_applied(args, &c);
    }
    return code == CLI_WELL ? print_outcome(args, &c, &a) : code;
}
