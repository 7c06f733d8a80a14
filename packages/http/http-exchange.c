#include "http-server.h"

#include <string.h>
#include <sys/socket.h>

/* Method of the request, such as "POST". */
const char *
Http_Method(const struct http_exchange *ex)
{
    return ex->method;
}

/* Path of the request, without the query. */
const char *
Http_Path(const struct http_exchange *ex)
{
    return ex->path;
}

/* Value of a request header. */
const char *
Http_Header(const struct http_exchange *ex, const char *name)
{
    return MHD_lookup_connection_value(ex->connection, MHD_HEADER_KIND, name);
}

/* Value of a query argument. */
const char *
Http_Query(const struct http_exchange *ex, const char *name)
{
    return MHD_lookup_connection_value(ex->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

/* Socket of the client's connection, or -1. */
int
Http_Socket(const struct http_exchange *ex)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        ex->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    return info == NULL ? -1 : info->connect_fd;
}

/* True when the client has closed its connection: a peek then reads the end of
 * the stream. */
bool
Http_ClientLeft(const struct http_exchange *ex)
{
    int fd = Http_Socket(ex);
    char byte;

    return fd >= 0 &&
           recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Body of the request; the handler may take it by Buf_Move. */
struct buf *
Http_Body(struct http_exchange *ex)
{
    return &ex->body;
}

/* Stores a header for the reply. */
void
Http_ReplyHeader(struct http_exchange *ex, const char *name, const char *value)
{
    Buf_Append(&ex->headers, name, strlen(name) + 1);
    Buf_Append(&ex->headers, value, strlen(value) + 1);
}

/* Adds the stored headers to the response. */
static void
add_headers(struct http_exchange *ex)
{
    const char *name = ex->headers.data;
    const char *end = name + ex->headers.len;

    while (name < end) {
        const char *value = name + strlen(name) + 1;

        MHD_add_response_header(ex->response, name, value);
        name = value + strlen(value) + 1;
    }
}

/* Resumes a suspended connection. With external polling libmicrohttpd only
 * records the resume and does not signal it on its epoll descriptor, so
 * without an event fed here the reply would wait for the next client. MHD_run
 * is not called directly, as the caller may be inside a handler. */
static void
resume(struct http_exchange *ex)
{
    ex->suspended = false;
    MHD_resume_connection(ex->connection);
    ev_feed_event(ex->server->loop, &ex->server->io, EV_READ);
}

/* Creates the response; a suspended connection is resumed to send it. */
void
Http_Reply(struct http_exchange *ex, int status, const char *content_type,
           const void *body, size_t len)
{
    if (ex->replied) {
        Fatal("second reply to a request: %s %s", ex->method, ex->path);
    }
    ex->response = MHD_create_response_from_buffer(
        len, len > 0 ? (void *)(uintptr_t)body : (void *)(uintptr_t) "",
        MHD_RESPMEM_MUST_COPY);
    if (ex->response == NULL) {
        Fatal("out of memory for a reply");
    }
    if (content_type != NULL && *content_type != '\0') {
        MHD_add_response_header(ex->response, "Content-Type", content_type);
    }
    add_headers(ex);
    ex->status = status;
    ex->replied = true;
    if (ex->suspended) {
        resume(ex);
    }
}
