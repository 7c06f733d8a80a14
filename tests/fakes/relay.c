/* A TCP relay that stops forwarding without closing connections, as a
 * middlebox does that has lost its connection state. SIGUSR1 silences every
 * open connection for good; new connections work. SIGUSR2 silences the open
 * and all new connections. SIGHUP lets new connections work again.
 *
 * --bytes-per-s limits the bandwidth: all connections share this rate in each
 * direction, and their chunks are forwarded one after the other. */
#include "fake.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES 65536
/* Size of a read under --bytes-per-s; small, so that the connections share
 * the bandwidth evenly. */
#define RATE_LIMITED_CHUNK_BYTES 8192
#define BACKLOG 512

struct pair;

/* One direction of a connection: bytes read from one socket that are to be
 * sent to the other. */
struct flow {
    struct pair *pair;
    int from, to;
    struct buf unsent;
    bool input_closed; /* `from` has reached end of file */
    ev_io readable, writable;
    ev_timer delay;
};

/* A client's connection and the relay's connection to the target. */
struct pair {
    struct relay *relay;
    struct flow up, down;
    bool silent;
    LIST_ENTRY(pair) entry;
};

struct relay {
    struct ev_loop *loop;
    struct sockaddr_in target;
    int64_t delay_ms;
    int64_t bytes_per_s; /* bandwidth of each direction; 0: no limit */
    /* End of the last reserved transfer of each direction (0: down, 1: up);
     * loop time in seconds. */
    double idle_at[2];
    bool silence_new; /* new connections are silent */
    ev_io listening;
    LIST_HEAD(, pair) pairs;
};

/* Stops all watchers of one direction. */
static void
stop_flow(struct flow *f)
{
    struct ev_loop *loop = f->pair->relay->loop;

    ev_io_stop(loop, &f->readable);
    ev_io_stop(loop, &f->writable);
    ev_timer_stop(loop, &f->delay);
}

/* Closes both connections of a pair and frees it. */
static void
free_pair(struct pair *pair)
{
    stop_flow(&pair->up);
    stop_flow(&pair->down);
    Buf_Free(&pair->up.unsent);
    Buf_Free(&pair->down.unsent);
    close(pair->up.from);
    close(pair->up.to);
    LIST_REMOVE(pair, entry);
    free(pair);
}

/* Stops forwarding in both directions and leaves both sockets open. */
static void
silence_pair(struct pair *pair)
{
    pair->silent = true;
    stop_flow(&pair->up);
    stop_flow(&pair->down);
}

/* Forwards the end of one direction; frees the pair when both directions have
 * ended and nothing is left to send. */
static void
forward_close(struct flow *f)
{
    struct pair *pair = f->pair;

    shutdown(f->to, SHUT_WR);
    if (pair->up.input_closed && pair->down.input_closed &&
        pair->up.unsent.len == 0 && pair->down.unsent.len == 0) {
        free_pair(pair);
    }
}

/* Sends unsent bytes; reads again once none are left. */
static void
on_writable(struct ev_loop *loop, ev_io *w, int events UNUSED)
{
    struct flow *f = w->data;
    struct buf *b = &f->unsent;
    ssize_t n = send(f->to, b->data, b->len, MSG_NOSIGNAL);

    if (n < 0 && errno != EAGAIN) {
        free_pair(f->pair);
        return;
    }
    if (n > 0) {
        memmove(b->data, b->data + n, b->len - (size_t)n);
        b->len -= (size_t)n;
    }
    if (b->len > 0) {
        return;
    }
    ev_io_stop(loop, &f->writable);
    if (f->input_closed) {
        forward_close(f);
        return;
    }
    ev_io_start(loop, &f->readable);
}

/* Starts to send a chunk when its delay is over. */
static void
on_delayed(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct flow *f = w->data;

    ev_io_start(loop, &f->writable);
}

/* Reserves the time that n bytes need at the limited bandwidth, after all
 * earlier reservations of the same direction. Returns the milliseconds until
 * the transfer ends; 0 without a limit. */
static int64_t
reserve_bandwidth(struct flow *f, ssize_t n)
{
    struct relay *relay = f->pair->relay;
    double *idle_at = &relay->idle_at[f == &f->pair->up];
    double now = ev_now(relay->loop);

    if (relay->bytes_per_s == 0) {
        return 0;
    }
    *idle_at = (*idle_at > now ? *idle_at : now) +
               (double)n / (double)relay->bytes_per_s;
    return (int64_t)((*idle_at - now) * 1000.0);
}

/* Reads one chunk; the next read starts when this chunk has been sent. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int events UNUSED)
{
    struct flow *f = w->data;
    char chunk[CHUNK_BYTES];
    struct relay *relay = f->pair->relay;
    size_t max_bytes =
        relay->bytes_per_s > 0 ? RATE_LIMITED_CHUNK_BYTES : sizeof(chunk);
    ssize_t n = recv(f->from, chunk, max_bytes, 0);

    if (n < 0 && errno == EAGAIN) {
        return;
    }
    if (n < 0) {
        free_pair(f->pair);
        return;
    }
    ev_io_stop(loop, &f->readable);
    if (n == 0) {
        f->input_closed = true;
        forward_close(f);
        return;
    }
    Buf_Append(&f->unsent, chunk, (size_t)n);
    if (relay->delay_ms > 0 || relay->bytes_per_s > 0) {
        Timer_Set(loop, &f->delay, relay->delay_ms + reserve_bandwidth(f, n));
        return;
    }
    ev_io_start(loop, &f->writable);
}

/* Initialises one direction and starts to read. */
static void
init_flow(struct flow *f, struct pair *pair, int from, int to)
{
    f->pair = pair;
    f->from = from;
    f->to = to;
    ev_io_init(&f->readable, on_readable, from, EV_READ);
    ev_io_init(&f->writable, on_writable, to, EV_WRITE);
    ev_init(&f->delay, on_delayed);
    f->readable.data = f;
    f->writable.data = f;
    f->delay.data = f;
    ev_io_start(pair->relay->loop, &f->readable);
}

/* Accepts a client and connects to the target; while new connections are to
 * be silent, accepts it only. */
static void
on_accept(struct ev_loop *loop UNUSED, ev_io *w, int events UNUSED)
{
    struct relay *relay = w->data;
    int client = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    int target;
    struct pair *pair;

    if (client < 0) {
        return;
    }
    target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!relay->silence_new &&
        connect(target, (struct sockaddr *)&relay->target,
                sizeof(relay->target)) != 0) {
        close(client);
        close(target);
        return;
    }
    fcntl(target, F_SETFL, O_NONBLOCK);
    pair = Mem_Zero(1, sizeof(*pair));
    pair->relay = relay;
    LIST_INSERT_HEAD(&relay->pairs, pair, entry);
    init_flow(&pair->up, pair, client, target);
    init_flow(&pair->down, pair, target, client);
    if (relay->silence_new) {
        silence_pair(pair);
    }
}

/* Handles SIGUSR1 and SIGUSR2: silences all open connections, and for SIGUSR2
 * new ones as well. */
static void
on_silence(struct ev_loop *loop UNUSED, ev_signal *w, int events UNUSED)
{
    struct relay *relay = w->data;
    struct pair *pair;

    relay->silence_new = relay->silence_new || w->signum == SIGUSR2;
    LIST_FOREACH (pair, &relay->pairs, entry) {
        silence_pair(pair);
    }
}

/* Handles SIGHUP: new connections work again. */
static void
on_restore(struct ev_loop *loop UNUSED, ev_signal *w, int events UNUSED)
{
    struct relay *relay = w->data;

    relay->silence_new = false;
}

static void
on_term(struct ev_loop *loop, ev_signal *w UNUSED, int events UNUSED)
{
    ev_break(loop, EVBREAK_ALL);
}

/* Listens on a free port and returns the port. */
static int
start_listening(struct relay *relay)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&sa, &size) != 0) {
        Fatal("can't listen: %s", strerror(errno));
    }
    ev_io_init(&relay->listening, on_accept, fd, EV_READ);
    relay->listening.data = relay;
    ev_io_start(relay->loop, &relay->listening);
    return ntohs(sa.sin_port);
}

/* Runs until SIGTERM. */
static void
run_relay(struct relay *relay, const char *port_file)
{
    static const struct {
        int signum;
        void (*handler)(struct ev_loop *, ev_signal *, int);
    } signals[] = {{SIGUSR1, on_silence},
                   {SIGUSR2, on_silence},
                   {SIGHUP, on_restore},
                   {SIGTERM, on_term}};
    ev_signal watchers[COUNT_OF(signals)];
    struct pair *pair;
    size_t i;

    relay->loop = ev_default_loop(0);
    LIST_INIT(&relay->pairs);
    for (i = 0; i < COUNT_OF(signals); i++) {
        ev_signal_init(&watchers[i], signals[i].handler, signals[i].signum);
        watchers[i].data = relay;
        ev_signal_start(relay->loop, &watchers[i]);
    }
    Fake_WritePort(port_file, start_listening(relay));
    ev_run(relay->loop, 0);
    while ((pair = LIST_FIRST(&relay->pairs)) != NULL) {
        free_pair(pair);
    }
    close(relay->listening.fd);
}

/* Parses "ip:port". */
static bool
parse_target(const char *text, struct sockaddr_in *out)
{
    char ip[NAME_SIZE];
    const char *colon = strchr(text, ':');

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

int
main(int argc, char **argv)
{
    struct arg_str *file =
        arg_str1(NULL, "listen-port-file", "F", "gets the port");
    struct arg_str *to = arg_str1(NULL, "to", "IP:PORT", "where to connect");
    struct arg_int *delay = arg_int0(NULL, "delay-ms", "MS", "one way");
    struct arg_int *rate =
        arg_int0(NULL, "bytes-per-s", "N", "of all connections, one way");
    struct arg_end *end = arg_end(5);
    void *table[] = {file, to, delay, rate, end};
    struct relay relay = {0};

    delay->ival[0] = 0;
    rate->ival[0] = 0;
    if (arg_parse(argc, argv, table) != 0 ||
        !parse_target(to->sval[0], &relay.target)) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    relay.delay_ms = delay->ival[0];
    relay.bytes_per_s = rate->ival[0];
    run_relay(&relay, file->sval[0]);
    arg_freetable(table, COUNT_OF(table));
    return 0;
}
