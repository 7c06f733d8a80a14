#include "fake.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define BODY_BYTES ((size_t)32 << 20)
#define HEADER_BYTES ((size_t)32 << 10)
#define CONNECTIONS 1000
#define IDLE_MS 60000

/* Starts the HTTP server and writes its port file. */
struct http_server *
Fake_Listen(struct ev_loop *loop, int port, const char *port_file,
            http_handler handler, void *arg)
{
    const struct http_limits limits = {.body_bytes = BODY_BYTES,
                                       .header_bytes = HEADER_BYTES,
                                       .connections = CONNECTIONS,
                                       .idle_ms = IDLE_MS};
    struct http_server *server =
        Http_ServerNew(loop, "127.0.0.1", port, &limits, handler, arg);

    if (server == NULL) {
        Fatal("can't listen on port %d", port);
    }
    Fake_WritePort(port_file, Http_ServerPort(server));
    return server;
}

/* Writes a temporary file and renames it, as readers poll for the port file
 * and must not see a partial number. */
void
Fake_WritePort(const char *path, int port)
{
    struct buf beside CLEANUP(Buf_Free) = {0};
    FILE *f;

    if (path == NULL) {
        return;
    }
    Buf_Printf(&beside, "%s.new", path);
    f = fopen(beside.data, "w");
    if (f == NULL || fprintf(f, "%d\n", port) < 0 || fclose(f) != 0 ||
        rename(beside.data, path) != 0) {
        Fatal("can't write %s", path);
    }
}

/* Sends a JSON response. */
void
Fake_Reply(struct http_exchange *ex, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct buf out CLEANUP(Buf_Free) = {0};

    Buf_AppendStr(&out, text);
    Http_Reply(ex, status, "application/json", out.data, out.len);
    free(text);
    json_decref(body);
}

/* Writes to the socket directly, as libmicrohttpd can't send a malformed
 * response, and shuts the socket down. The exchange still has to be completed;
 * its response goes to the closed socket. */
void
Fake_Close(struct http_exchange *ex, const struct buf *raw)
{
    int fd = Http_Socket(ex);

    if (raw->len > 0 &&
        send(fd, raw->data, raw->len, MSG_NOSIGNAL) != (ssize_t)raw->len) {
        LOG_W("short_answer", KV("path", Http_Path(ex)));
    }
    shutdown(fd, SHUT_RDWR);
    Http_ReplyHeader(ex, "Connection", "close");
    Http_Reply(ex, 500, NULL, NULL, 0);
}

/* Parses the body, which must be a JSON object. */
json_t *
Fake_Body(struct http_exchange *ex)
{
    const struct buf *b = Http_Body(ex);
    json_t *o = json_loadb(b->data ? b->data : "", b->len, 0, NULL);

    if (!json_is_object(o)) {
        json_decref(o);
        Fake_Reply(ex, 400, json_pack("{s:s}", "reason", "not_json"));
        return NULL;
    }
    return o;
}

/* Parses a header as a decimal number. */
int64_t
Fake_HeaderInt(const struct http_exchange *ex, const char *name,
               int64_t fallback)
{
    const char *text = Http_Header(ex, name);

    return text == NULL ? fallback : strtoll(text, NULL, 10);
}

/* Reads an integer member of an object. */
int64_t
Fake_Int(const json_t *o, const char *key, int64_t fallback)
{
    const json_t *v = json_object_get(o, key);

    return json_is_integer(v) ? json_integer_value(v) : fallback;
}

/* Decodes base64 by libsodium. */
int
Fake_Base64(const char *text, struct buf *out)
{
    size_t size = strlen(text), len;
    unsigned char *raw CLEANUP(Mem_FreeP) = Mem_Alloc(size + 1);

    if (sodium_base642bin(raw, size, text, size, NULL, &len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        return ERR_INVALID;
    }
    Buf_Set(out, raw, len);
    return ERR_OK;
}

/* Encodes base64 by libsodium. */
json_t *
Fake_Bytes(const void *data, size_t len)
{
    size_t size =
        sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
    char *text CLEANUP(Mem_FreeP) = Mem_Alloc(size);

    sodium_bin2base64(text, size, data, len, sodium_base64_VARIANT_ORIGINAL);
    return json_string(text);
}
