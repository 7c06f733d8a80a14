#include "wire-keys.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define GATE_ENDPOINT "inproc://zeromq.zap.01" /* where libzmq asks */
#define GATE_FRAMES 7 /* of a question: version .. credentials */
#define KEY_TEXT 40   /* Z85 */
#define KEY_BYTES 32
#define KEY_FILE_MAX 256

enum { FRAME_VERSION, FRAME_REQUEST, FRAME_KEY = 6 };

struct link_gate {
    void *socket;
    struct ev_loop *loop;
    ev_io io;
    uint8_t key[KEY_BYTES]; /* the public key that all processes share */
};

static struct counter strangers_total = {
    "parsleyfall_links_refused_total",
    "Connections refused for want of the deployment's key.", NULL,
    COUNTER_TOTAL};

/* Reads one key. */
static int
read_key(const char *path, char out[KEY_TEXT + 1])
{
    struct buf text CLEANUP(Buf_Free) = {0};
    uint8_t raw[KEY_BYTES];
    int err = File_Read(path, KEY_FILE_MAX, &text);
    size_t len;

    if (err != ERR_OK) {
        return err;
    }
    len = text.data ? strcspn(text.data, "\r\n") : 0;
    if (len != KEY_TEXT) {
        return ERR_INVALID;
    }
    memcpy(out, text.data, KEY_TEXT);
    out[KEY_TEXT] = '\0';
    return zmq_z85_decode(raw, out) != NULL ? ERR_OK : ERR_INVALID;
}

/* Reads the pair of a deployment. */
int
Link_LoadKeys(const char *public_file, const char *secret_file,
              struct link_keys *out)
{
    int err;

    *out = (struct link_keys){0};
    if (public_file == NULL && secret_file == NULL) {
        return ERR_OK;
    }
    if (public_file == NULL || secret_file == NULL) {
        return ERR_INVALID;
    }
    err = read_key(public_file, out->public_key);
    if (err == ERR_OK) {
        err = read_key(secret_file, out->secret_key);
    }
    if (err != ERR_OK) {
        LOG_E("link_keys_unreadable", KV("public", public_file),
              KV("secret", secret_file), KV("error", Err_Name(err)));
        *out = (struct link_keys){0};
        return err;
    }
    memcpy(out->server_public, out->public_key, sizeof(out->server_public));
    return ERR_OK;
}

/* Takes all frames of a question; keeps the request's id and the key. False
 * when there is no question. */
static bool
take_question(struct link_gate *gate, struct buf *request, struct buf *key,
              bool *whole)
{
    int n = 0, more = 1;

    while (more) {
        zmq_msg_t frame;

        zmq_msg_init(&frame);
        if (zmq_msg_recv(&frame, gate->socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frame);
            return false;
        }
        if (n == FRAME_REQUEST || n == FRAME_KEY) {
            Buf_Set(n == FRAME_KEY ? key : request, zmq_msg_data(&frame),
                    zmq_msg_size(&frame));
        }
        more = zmq_msg_more(&frame);
        zmq_msg_close(&frame);
        n++;
    }
    *whole = n == GATE_FRAMES;
    return true;
}

/* Answers a question. */
static void
answer(struct link_gate *gate, const struct buf *request, bool known)
{
    const char *status = known ? "200" : "400";

    zmq_send(gate->socket, "1.0", 3, ZMQ_SNDMORE);
    zmq_send(gate->socket, request->data, request->len, ZMQ_SNDMORE);
    zmq_send(gate->socket, status, 3, ZMQ_SNDMORE);
    zmq_send(gate->socket, "", 0, ZMQ_SNDMORE);
    zmq_send(gate->socket, "", 0, ZMQ_SNDMORE);
    zmq_send(gate->socket, "", 0, 0);
}

/* Lets in who has the deployment's key.
 *
 * Failure: CURVE by itself proves only that a client knows the server's
 * public key; with any pair of its own it is let in. Symptom: a machine that
 * once saw the public key speaks as an agent, and takes requests. The client
 * proves its own pair in the handshake before this question, so a client that
 * shows the deployment's public key holds its secret key too. */
static void
on_question(struct ev_loop *loop UNUSED, ev_io *w, int events UNUSED)
{
    struct link_gate *gate = w->data;
    struct buf request CLEANUP(Buf_Free) = {0};
    struct buf key CLEANUP(Buf_Free) = {0};
    bool whole;

    while (take_question(gate, &request, &key, &whole)) {
        bool known = whole && key.len == KEY_BYTES &&
                     memcmp(key.data, gate->key, KEY_BYTES) == 0;

        if (!known) {
            Counter_Add(&strangers_total, 1);
            LOG_W("stranger_refused", KV("reason", "another key"));
        }
        answer(gate, &request, known);
    }
}

/* Starts to answer libzmq's questions. */
struct link_gate *
link_gate_new(void *zmq, struct ev_loop *loop, const struct link_keys *keys)
{
    struct link_gate *gate = Mem_Zero(1, sizeof(*gate));
    size_t size = sizeof(int);
    int fd;

    gate->socket = zmq_socket(zmq, ZMQ_REP);
    if (gate->socket == NULL || zmq_bind(gate->socket, GATE_ENDPOINT) != 0 ||
        zmq_z85_decode(gate->key, keys->public_key) == NULL) {
        zmq_close(gate->socket);
        free(gate);
        return NULL;
    }
    gate->loop = loop;
    zmq_getsockopt(gate->socket, ZMQ_FD, &fd, &size);
    ev_io_init(&gate->io, on_question, fd, EV_READ);
    gate->io.data = gate;
    ev_io_start(loop, &gate->io);
    ev_feed_event(loop, &gate->io, EV_READ);
    return gate;
}

/* Answers no more. */
void
link_gate_free(struct link_gate *gate)
{
    if (gate == NULL) {
        return;
    }
    ev_io_stop(gate->loop, &gate->io);
    ev_clear_pending(gate->loop, &gate->io);
    zmq_close(gate->socket);
    free(gate);
}
