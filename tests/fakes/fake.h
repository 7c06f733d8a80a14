/* Helpers that the stand-ins share: JSON over the http package, numbers in
 * headers, and the port file, from which a test reads the chosen port. */
#ifndef FAKE_H
#define FAKE_H

#include "http.h"
#include "kernel.h"

/* Listens on 127.0.0.1 (port 0: any free port) and writes the port to
 * port_file (NULL: no file). Ends the process on failure. */
struct http_server *Fake_Listen(struct ev_loop *loop, int port,
                                const char *port_file, http_handler handler,
                                void *arg);
/* Writes the port file atomically: a reader sees the whole number or no
 * file. */
void Fake_WritePort(const char *path, int port);
/* Replies with JSON and releases the caller's reference to body. */
void Fake_Reply(struct http_exchange *ex, int status, json_t *body);
/* Sends raw (may be empty) in place of a response and closes the
 * connection. */
void Fake_Close(struct http_exchange *ex, const struct buf *raw);
/* Returns the request's body as a JSON object, which the caller owns. If it
 * is not one, replies with 400 and returns NULL. */
json_t *Fake_Body(struct http_exchange *ex);
/* Returns the number in a header; fallback when the header is missing. */
int64_t Fake_HeaderInt(const struct http_exchange *ex, const char *name,
                       int64_t fallback);
/* Returns an integer member of a JSON object; fallback when it is missing or
 * no integer. */
int64_t Fake_Int(const json_t *o, const char *key, int64_t fallback);
/* Returns data in base64 as a JSON string, which the caller owns. */
json_t *Fake_Bytes(const void *data, size_t len);
/* Decodes base64. Returns ERR_OK or ERR_INVALID. */
int Fake_Base64(const char *text, struct buf *out);

#endif
