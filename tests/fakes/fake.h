/* What the stand-ins share: JSON over the http package, numbers out of
 * headers, and the file that tells a test which port was free. */
#ifndef FAKE_H
#define FAKE_H

#include "http.h"
#include "kernel.h"

/* Listens on 127.0.0.1 and writes the port to a file (NULL: none). Ends the
 * process when it can't. */
struct http_server *Fake_Listen(struct ev_loop *loop, int port,
                                const char *port_file, http_handler handler,
                                void *arg);
/* Writes a port so that a reader sees the whole number or no file. */
void Fake_WritePort(const char *path, int port);
/* Replies with JSON and drops the reference to it. */
void Fake_Reply(struct http_exchange *ex, int status, json_t *body);
/* Sends these bytes (there may be none) and closes the connection. */
void Fake_Close(struct http_exchange *ex, const struct buf *raw);
/* The request's body as a JSON object, or NULL after a reply of 400. */
json_t *Fake_Body(struct http_exchange *ex);
/* A header that holds a number. */
int64_t Fake_HeaderInt(const struct http_exchange *ex, const char *name,
                       int64_t fallback);
/* A member of a JSON object that holds a number. */
int64_t Fake_Int(const json_t *o, const char *key, int64_t fallback);
/* A JSON string of base64; the caller owns it. */
json_t *Fake_Bytes(const void *data, size_t len);
/* Reads base64. ERR_OK or ERR_INVALID. */
int Fake_Base64(const char *text, struct buf *out);

#endif
