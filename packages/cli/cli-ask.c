#include "cli.h"

#include "http.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define TOKEN_MAX 4096
#define TIMEOUT_MS 30000 /* an entry decides on a change within 20 s */

/* One request, run on an event loop of its own. */
struct request_state {
    struct ev_loop *loop;
    struct cli_response *out;
};

/* Moves the response to the caller's struct and stops the loop. */
static void
on_response(void *arg, struct http_result *result)
{
    struct request_state *state = arg;

    state->out->err = result->err;
    state->out->status = result->status;
    state->out->retry_after_ms = result->retry_after_ms;
    Str_Copy(state->out->etag, sizeof(state->out->etag), result->etag);
    Buf_Move(&state->out->body, &result->body);
    ev_break(state->loop, EVBREAK_ALL);
}

/* Reads the first line of the token file and builds the Authorization header's
 * value. */
static int
read_token(const struct cli_args *args, struct buf *header)
{
    struct buf token CLEANUP(Buf_Free) = {0};
    int err = File_Read(args->token_file, TOKEN_MAX, &token);

    if (err != ERR_OK) {
        fprintf(stderr, "%s: %s: %s\n", args->program, args->token_file,
                Err_Name(err));
        return CLI_FAILED;
    }
    if (token.data != NULL) {
        token.data[strcspn(token.data, "\r\n")] = '\0';
    }
    Buf_Printf(header, "Bearer %s", token.data ? token.data : "");
    return CLI_WELL;
}

/* Sends a request and runs the loop until the request has ended. */
static void
send_request(const struct http_request *request, struct cli_response *out)
{
    struct request_state state = {ev_loop_new(EVFLAG_AUTO), out};
    struct http_client *client = Http_ClientNew(state.loop, 1);

    Http_Call(client, request, on_response, &state);
    ev_run(state.loop, 0);
    Http_ClientFree(client);
    ev_loop_destroy(state.loop);
}

/* Sends a request to an entry and waits for its response. */
int
Cli_Request(const struct cli_args *args, const char *method, const char *path,
            const char *accept, const char *if_match, const struct buf *body,
            struct cli_response *out)
{
    struct buf token CLEANUP(Buf_Free) = {0};
    struct buf url CLEANUP(Buf_Free) = {0};
    int code = read_token(args, &token);

    *out = (struct cli_response){.err = ERR_UNREACHABLE, .retry_after_ms = -1};
    if (code != CLI_WELL) {
        return code;
    }
    Buf_Printf(&url, "%s%s", args->url, path);
    const struct http_header headers[] = {{"Authorization", token.data},
                                          {"Accept", accept},
                                          {"If-Match", if_match}};
    const struct http_request request = {
        .method = method,
        .url = url.data,
        .headers = headers,
        .header_count = if_match != NULL ? 3 : 2,
        .body = body != NULL ? body->data : NULL,
        .body_len = body != NULL ? body->len : 0,
        .timeout_ms = TIMEOUT_MS,
        .once = true,
    };

    send_request(&request, out);
    if (out->err != ERR_OK) {
        fprintf(stderr, "%s: %s: %s\n", args->program, args->url,
                Err_Name(out->err));
        return CLI_UNREACHABLE;
    }
    return CLI_WELL;
}

/* Frees a response. */
void
Cli_FreeResponse(struct cli_response *a)
{
    Buf_Free(&a->body);
}

/* Prints the reason and detail of a refusal. */
int
Cli_SayRefusal(const struct cli_args *args, const struct cli_response *a)
{
    json_t *o =
        json_loadb(a->body.data ? a->body.data : "", a->body.len, 0, NULL);
    const char *reason = json_string_value(json_object_get(o, "reason"));
    const char *detail = json_string_value(json_object_get(o, "detail"));

    if (args->json) {
        fwrite(a->body.data, 1, a->body.len, stdout);
    }
    else {
        fprintf(stderr, "%s: %d %s: %s\n", args->program, a->status,
                reason ? reason : "", detail ? detail : "");
        if (a->retry_after_ms >= 0) {
            fprintf(stderr, "%s: try again in %lld s\n", args->program,
                    (long long)a->retry_after_ms / 1000);
        }
    }
    json_decref(o);
    return a->status == 504 ? CLI_UNREACHABLE : CLI_REFUSED;
}
