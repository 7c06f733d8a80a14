#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#define UNSENT_BYTES 1000 /* in Content-Length, but never sent */

/* One option of a mode: a flag, or a number after "name=". Offsets are into
 * struct upstream_mode; number_offset 0 marks a flag. */
struct mode_option {
    const char *name;
    size_t flag_offset;
    size_t number_offset;
};

#define FLAG(n, f)                                                            \
    {                                                                         \
        (n), offsetof(struct upstream_mode, f), 0                             \
    }
#define NUMBER(n, f)                                                          \
    {                                                                         \
        (n), 0, offsetof(struct upstream_mode, f)                             \
    }

static const struct mode_option mode_options[] = {
    FLAG("hang", hang),           FLAG("truncate", truncate),
    FLAG("no-length", no_length), FLAG("close", close),
    FLAG("error", error),         NUMBER("slow=", slow_ms),
    NUMBER("late=", late_ms),
};

/* Sets the member of mode that one option names. */
static int
parse_option(const char *text, struct upstream_mode *mode)
{
    size_t i;

    for (i = 0; i < COUNT_OF(mode_options); i++) {
        const struct mode_option *option = &mode_options[i];
        size_t n = strlen(option->name);

        if (option->number_offset != 0 &&
            strncmp(text, option->name, n) == 0) {
            *(int64_t *)((char *)mode + option->number_offset) =
                strtoll(text + n, NULL, 10);
            return ERR_OK;
        }
        if (option->number_offset == 0 && strcmp(text, option->name) == 0) {
            *(bool *)((char *)mode + option->flag_offset) = true;
            return ERR_OK;
        }
    }
    return ERR_INVALID;
}

/* Parses a list of options. */
int
Upstream_ParseMode(const char *words, struct upstream_mode *mode)
{
    char *copy CLEANUP(Mem_FreeP) = Mem_Dup(words);
    char *rest = copy, *word;

    while ((word = strsep(&rest, ", \r\n")) != NULL) {
        if (*word != '\0' && parse_option(word, mode) != ERR_OK) {
            return ERR_INVALID;
        }
    }
    return ERR_OK;
}

/* Sends a correct response, an error or a malformed response. */
void
Upstream_Answer(struct http_exchange *ex, const struct upstream_mode *mode,
                const struct buf *body)
{
    struct buf raw CLEANUP(Buf_Free) = {0};

    if (mode->error) {
        Http_Reply(ex, 500, "text/plain", "failed\n", 7);
        return;
    }
    if (!mode->truncate && !mode->no_length && !mode->close) {
        Http_Reply(ex, 200, "application/octet-stream", body->data, body->len);
        return;
    }
    if (mode->truncate) {
        Buf_Printf(&raw, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                   body->len + UNSENT_BYTES);
    }
    else if (mode->no_length) {
        Buf_AppendStr(&raw, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    }
    if (!mode->close) {
        Buf_Append(&raw, body->data, body->len);
    }
    Fake_Close(ex, &raw);
}
