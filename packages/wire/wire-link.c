#include "wire.h"
#include "wire-link-count.h"
#include "wire-zap.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define RECEIVE_BATCH_MAX 128 /* messages before other sockets get a turn */
#define SEND_HWM 4096         /* messages queued to one peer */
#define RECONNECT_MIN_MS 50
/* When both ends of a link lose power and this one is back first, its attempt
 * to connect is lost rather than refused, and the kernel repeats it only after
 * one, two and four seconds. Agents would then receive nothing from any entry
 * for 2 s after a power cut, until the silent link is replaced, and nothing
 * would start. An attempt is therefore given up after a time that is long for
 * a connection between regions (100 ms round trip), and the next one follows
 * after RECONNECT_MIN_MS to RECONNECT_MAX_MS. */
#define CONNECT_TIMEOUT_MS 300
#define RECONNECT_MAX_MS 250
#define HANDSHAKE_TIMEOUT_MS 5000

struct link_context {
    void *zmq;
    struct zap *zap; /* NULL until a link listens with keys */
};

struct link {
    void *socket;
    struct ev_loop *loop;
    ev_io io;
    link_receive receive;
    void *arg;
    bool listens;
    char address[NAME_SIZE];
};

/* Creates a ZeroMQ context. */
struct link_context *
Link_ContextNew(void)
{
    struct link_context *context = Mem_Zero(1, sizeof(*context));

    context->zmq = zmq_ctx_new();
    if (context->zmq == NULL) {
        Fatal("can't create a ZeroMQ context");
    }
    return context;
}

/* Frees the context; its links must have been freed before. */
void
Link_ContextFree(struct link_context *context)
{
    if (context != NULL) {
        Zap_Free(context->zap);
        zmq_ctx_term(context->zmq);
        free(context);
    }
}

/* Receives one frame into b. False when no frame is queued. */
static bool
receive_frame(void *socket, struct buf *b, bool *more)
{
    zmq_msg_t frame;

    zmq_msg_init(&frame);
    if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&frame);
        return false;
    }
    Buf_Set(b, zmq_msg_data(&frame), zmq_msg_size(&frame));
    *more = zmq_msg_more(&frame) != 0;
    zmq_msg_close(&frame);
    return true;
}

/* Receives one message: on a listening link the peer's id, then the body.
 * Frames beyond those are dropped. False when no message is queued. */
static bool
receive_message(struct link *link, struct link_peer *peer, struct buf *body)
{
    struct buf rest CLEANUP(Buf_Free) = {0};
    bool more = false;

    memset(peer, 0, sizeof(*peer));
    if (!receive_frame(link->socket, body, &more)) {
        return false;
    }
    if (link->listens) {
        peer->len = body->len <= sizeof(peer->id) ? body->len : 0;
        memcpy(peer->id, body->data, peer->len);
        Buf_Clear(body);
        if (more) {
            receive_frame(link->socket, body, &more);
        }
    }
    while (more && receive_frame(link->socket, &rest, &more)) {
    }
    return true;
}

/* Decodes the queued messages and passes them to the link's callback. ZeroMQ's
 * descriptor is edge-triggered: if messages stayed queued, no event would
 * follow for them. When the batch is full, another event is therefore fed to
 * the loop. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int events UNUSED)
{
    struct link *link = w->data;
    struct buf body CLEANUP(Buf_Free) = {0};
    struct link_peer peer;
    int left = RECEIVE_BATCH_MAX;

    while (left-- > 0) {
        struct wire_msg *m CLEANUP(Wire_FreeP) = NULL;

        if (!receive_message(link, &peer, &body)) {
            return;
        }
        if (Wire_Decode(body.data, body.len, &m) != ERR_OK) {
            LOG_W("bad_message", KV("link", link->address),
                  KV_INT("bytes", body.len));
            continue;
        }
        LinkCount_Add(m->type, LINK_IN, body.len);
        link->receive(link->arg, link->listens ? &peer : NULL, &m);
    }
    ev_feed_event(loop, w, EV_READ);
}

/* Sets an int option of a socket. */
static void
set_int(void *socket, int option, int value)
{
    if (zmq_setsockopt(socket, option, &value, sizeof(value)) != 0) {
        Fatal("can't set ZeroMQ option %d: %s", option, zmq_strerror(errno));
    }
}

/* Sets the CURVE keys of a socket, if there are any. The ZAP domain of a
 * listening one is its public key, see wire-zap.c. */
static int
set_keys(void *socket, const struct link_keys *keys, bool listens)
{
    if (keys == NULL || keys->secret_key[0] == '\0') {
        return ERR_OK;
    }
    if (listens) {
        set_int(socket, ZMQ_CURVE_SERVER, 1);
        if (zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, keys->public_key,
                           strlen(keys->public_key)) != 0) {
            return ERR_INVALID;
        }
    }
    else if (zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, keys->server_public,
                            strlen(keys->server_public) + 1) != 0) {
        return ERR_INVALID;
    }
    if (!listens &&
        zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
                       strlen(keys->public_key) + 1) != 0) {
        return ERR_INVALID;
    }
    if (zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
                       strlen(keys->secret_key) + 1) != 0) {
        return ERR_INVALID;
    }
    return ERR_OK;
}

/* Creates a link with its socket and the options that all links share. NULL
 * when the keys are invalid. */
static struct link *
new_link(struct link_context *context, struct ev_loop *loop, bool listens,
         const struct link_keys *keys, link_receive receive, void *arg)
{
    struct link *link = Mem_Zero(1, sizeof(*link));
    int64_t max = (int64_t)WIRE_MAX_BYTES;

    link->socket = zmq_socket(context->zmq, listens ? ZMQ_ROUTER : ZMQ_DEALER);
    if (link->socket == NULL) {
        Fatal("can't create a ZeroMQ socket: %s", zmq_strerror(errno));
    }
    link->loop = loop;
    link->listens = listens;
    link->receive = receive;
    link->arg = arg;
    set_int(link->socket, ZMQ_LINGER, 0);
    set_int(link->socket, ZMQ_SNDHWM, SEND_HWM);
    set_int(link->socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
    set_int(link->socket, ZMQ_TCP_KEEPALIVE, 1);
    zmq_setsockopt(link->socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
    if (listens) {
        set_int(link->socket, ZMQ_ROUTER_MANDATORY, 1);
    }
    else {
        set_int(link->socket, ZMQ_IMMEDIATE, 1);
        set_int(link->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
        set_int(link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
        set_int(link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    }
    if (set_keys(link->socket, keys, listens) != ERR_OK) {
        zmq_close(link->socket);
        free(link);
        return NULL;
    }
    return link;
}

/* Starts to watch a link's descriptor, and schedules a first read, as messages
 * may be queued already. */
static void
watch(struct link *link)
{
    int fd;
    size_t size = sizeof(fd);

    zmq_getsockopt(link->socket, ZMQ_FD, &fd, &size);
    ev_io_init(&link->io, on_readable, fd, EV_READ);
    link->io.data = link;
    ev_io_start(link->loop, &link->io);
    ev_feed_event(link->loop, &link->io, EV_READ);
}

/* Creates a link that listens. */
struct link *
Link_Listen(struct link_context *context, struct ev_loop *loop,
            const char *address, const struct link_keys *keys,
            link_receive receive, void *arg)
{
    struct link *link;
    char endpoint[NAME_SIZE + 8];
    char bound[NAME_SIZE + 8];
    size_t size = sizeof(bound);

    if (context->zap == NULL && keys != NULL && keys->secret_key[0] != '\0') {
        context->zap = Zap_New(context->zmq, loop);
        if (context->zap == NULL) {
            return NULL;
        }
    }
    link = new_link(context, loop, true, keys, receive, arg);
    if (link == NULL) {
        return NULL;
    }
    snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    if (zmq_bind(link->socket, endpoint) != 0) {
        zmq_close(link->socket);
        free(link);
        return NULL;
    }
    zmq_getsockopt(link->socket, ZMQ_LAST_ENDPOINT, bound, &size);
    Str_Copy(link->address, sizeof(link->address), bound + strlen("tcp://"));
    watch(link);
    return link;
}

/* Creates a link that connects. */
struct link *
Link_Connect(struct link_context *context, struct ev_loop *loop,
             const char *address, const struct link_keys *keys,
             link_receive receive, void *arg)
{
    struct link *link = new_link(context, loop, false, keys, receive, arg);
    char endpoint[NAME_SIZE + 8];

    if (link == NULL) {
        return NULL;
    }
    snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    if (zmq_connect(link->socket, endpoint) != 0) {
        zmq_close(link->socket);
        free(link);
        return NULL;
    }
    Str_Copy(link->address, sizeof(link->address), address);
    watch(link);
    return link;
}

/* Closes a link; messages queued on it are dropped. */
void
Link_Free(struct link *link)
{
    if (link == NULL) {
        return;
    }
    ev_io_stop(link->loop, &link->io);
    ev_clear_pending(link->loop, &link->io);
    zmq_close(link->socket);
    free(link);
}

/* Returns the address of a link. */
const char *
Link_Address(const struct link *link)
{
    return link->address;
}

/* Sends a message. Sending may clear the descriptor's pending read event, so a
 * read is scheduled afterwards. */
int
Link_Send(struct link *link, const struct link_peer *peer,
          const struct wire_msg *m)
{
    struct buf body CLEANUP(Buf_Free) = {0};
    int n = 0;

    Wire_Encode(m, &body);
    if (link->listens) {
        n = zmq_send(link->socket, peer->id, peer->len,
                     ZMQ_DONTWAIT | ZMQ_SNDMORE);
    }
    if (n >= 0) {
        n = zmq_send(link->socket, body.data, body.len, ZMQ_DONTWAIT);
    }
    if (n < 0) {
        n = errno == EAGAIN ? ERR_BUSY : ERR_UNREACHABLE;
    }
    ev_feed_event(link->loop, &link->io, EV_READ);
    if (n < 0) {
        return n;
    }
    LinkCount_Add(m->type, LINK_OUT, body.len);
    return ERR_OK;
}

/* True when two return addresses are equal. */
bool
Link_SamePeer(const struct link_peer *a, const struct link_peer *b)
{
    return a->len == b->len && memcmp(a->id, b->id, a->len) == 0;
}
