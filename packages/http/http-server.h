/* A server's state and its exchanges; private to the server. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "http.h"

#include <microhttpd.h>

struct http_server {
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;
    struct http_limits limits;
    http_handler handler;
    void *arg;
    int port;
    MHD_socket quiesced;   /* former listening socket once quiesced, else -1 */
    size_t open_exchanges; /* handed to the handler and not completed */
    bool stopping;         /* new requests get a 503, without the handler */
    TAILQ_HEAD(, http_exchange) exchanges;
    ev_io io;
    ev_timer timer;
    ev_prepare prepare;
};

struct http_exchange {
    struct http_server *server;
    struct MHD_Connection *connection;
    struct MHD_Response *response; /* NULL before the reply */
    int status;
    char method[16];
    char *path;
    struct buf body;
    struct buf headers; /* of the reply: name NUL value NUL, ... */
    bool handler_called;
    bool suspended;
    bool too_big;
    bool replied;
    TAILQ_ENTRY(http_exchange) entry;
};

#endif
