#include "wire-zap.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define KEY_BYTES 32
#define KEY_TEXT_SIZE 41 /* of a key in Z85, with its NUL */
#define TEXT_SIZE 64

/* Frames of a ZAP request, in their order. */
enum zap_frame {
    ZAP_VERSION,
    ZAP_REQUEST,
    ZAP_DOMAIN,
    ZAP_ADDRESS,
    ZAP_IDENTITY,
    ZAP_MECHANISM,
    ZAP_KEY,
    ZAP_FRAMES
};

struct zap {
    void *socket;
    struct ev_loop *loop;
    ev_io io;
};

static struct counter refused_total = {
    "parsleyfall_links_refused_total",
    "Connections refused for want of the deployment's key.", NULL,
    COUNTER_TOTAL};

struct frame {
    char data[TEXT_SIZE];
    size_t len;
};

/* Receives a request; frames beyond the known ones are dropped. False when no
 * request is queued. */
static bool
receive(void *socket, struct frame *frames, size_t *count)
{
    struct frame dropped;
    int more = 1, n;
    size_t size = sizeof(more);

    for (*count = 0; more; (*count)++) {
        struct frame *f = *count < ZAP_FRAMES ? &frames[*count] : &dropped;

        memset(f, 0, sizeof(*f));
        n = zmq_recv(socket, f->data, sizeof(f->data) - 1, ZMQ_DONTWAIT);
        if (n < 0) {
            return false;
        }
        f->len = (size_t)n;
        zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
    }
    return true;
}

/* Decides on a client. CURVE by itself accepts any key and proves only that
 * the client holds the secret key of the public key it presents. Anyone who
 * learns the entry's public key, which every agent has, could then announce
 * itself as a worker and receive requests. The ZAP domain of a link is the
 * public key (in Z85) that the deployment's processes share, and only clients
 * with this key are accepted. */
static bool
allowed(const struct frame *frames, size_t count)
{
    char key[KEY_TEXT_SIZE];

    if (count != ZAP_FRAMES || strcmp(frames[ZAP_VERSION].data, "1.0") != 0 ||
        strcmp(frames[ZAP_MECHANISM].data, "CURVE") != 0 ||
        frames[ZAP_KEY].len != KEY_BYTES) {
        return false;
    }
    zmq_z85_encode(key, (const uint8_t *)frames[ZAP_KEY].data, KEY_BYTES);
    return Secret_Equal(key, frames[ZAP_DOMAIN].data);
}

/* Replies to one request. */
static void
send_reply(void *socket, const struct frame *request, bool allow)
{
    const char *status = allow ? "200" : "400";

    zmq_send(socket, "1.0", 3, ZMQ_SNDMORE);
    zmq_send(socket, request->data, request->len, ZMQ_SNDMORE);
    zmq_send(socket, status, strlen(status), ZMQ_SNDMORE);
    zmq_send(socket, "", 0, ZMQ_SNDMORE);
    zmq_send(socket, "", 0, ZMQ_SNDMORE);
    zmq_send(socket, "", 0, 0);
}

/* Replies to all queued requests. None may be left, as ZeroMQ's descriptor is
 * edge-triggered. */
static void
on_request(struct ev_loop *loop UNUSED, ev_io *w, int events UNUSED)
{
    struct zap *zap = w->data;
    struct frame frames[ZAP_FRAMES];
    size_t count;

    while (receive(zap->socket, frames, &count)) {
        bool allow = allowed(frames, count);

        if (!allow) {
            Counter_Add(&refused_total, 1);
            LOG_W("stranger_refused", KV("address", frames[ZAP_ADDRESS].data));
        }
        send_reply(zap->socket, &frames[ZAP_REQUEST], allow);
    }
}

/* Starts the handler; it must run before the first link with keys listens. */
struct zap *
Zap_New(void *zmq, struct ev_loop *loop)
{
    struct zap *zap = Mem_Zero(1, sizeof(*zap));
    size_t size = sizeof(int);
    int fd;

    zap->loop = loop;
    zap->socket = zmq_socket(zmq, ZMQ_REP);
    if (zap->socket == NULL || zmq_bind(zap->socket, ZAP_ENDPOINT) != 0) {
        if (zap->socket != NULL) {
            zmq_close(zap->socket);
        }
        free(zap);
        return NULL;
    }
    zmq_getsockopt(zap->socket, ZMQ_FD, &fd, &size);
    ev_io_init(&zap->io, on_request, fd, EV_READ);
    zap->io.data = zap;
    ev_io_start(loop, &zap->io);
    ev_feed_event(loop, &zap->io, EV_READ);
    return zap;
}

/* Stops the handler. */
void
Zap_Free(struct zap *zap)
{
    if (zap == NULL) {
        return;
    }
    ev_io_stop(zap->loop, &zap->io);
    zmq_close(zap->socket);
    free(zap);
}
