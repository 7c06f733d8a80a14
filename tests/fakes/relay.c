/* A TCP relay that goes silent without closing, as something between two ends
 * does that has lost track of their connections. SIGUSR1: every present
 * connection is silent for good, new ones work. SIGUSR2: new ones are silent
 * too. SIGHUP: new ones work again.
 *
 * With --bytes-per-s it is a thin link: all its connections together bring so
 * much in one direction, in turn. */
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
/* Of a thin link: small, so that its connections share it evenly. */
#define RATE_LIMITED_CHUNK_BYTES 8192
#define BACKLOG 512

struct pair;

/* Bytes on their way from one socket to the other. */
struct flow {
    struct pair *pair;
    int from, to;
    struct buf unsent;
    bool input_closed; /* the sender has closed its side */
    ev_io readable, writable;
    ev_timer delay;
};

/* One connection of a client and its counterpart. */
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
    int64_t bytes_per_s; /* of a thin link; 0: no bound */
    double idle_at[2];   /* when each direction is free; loop time, s */
    bool silence_new;    /* new connections are silent */
    ev_io listening;
    LIST_HEAD(, pair) pairs;
};

/* Stops watching one direction. */
static void
stop_flow(struct flow *f)
{
    struct ev_loop *loop = f->pair->relay->loop;

    ev_io_stop(loop, &f->readable);
    ev_io_stop(loop, &f->writable);
    ev_timer_stop(loop, &f->delay);
}

/* Closes both sides of a connection. */
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

/* Silence: nothing is read, nothing is sent, nothing is closed. */
static void
silence_pair(struct pair *pair)
{
    pair->silent = true;
    stop_flow(&pair->up);
    stop_flow(&pair->down);
}

/* Passes on that one side has closed; frees the pair when both have. */
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

/* Sends what waits. */
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

/* The delay of what was read is over. */
static void
on_delayed(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct flow *f = w->data;

    ev_io_start(loop, &f->writable);
}

/* Milliseconds until so many bytes are through a thin link, after those that
 * were there before them. */
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

/* Reads once; the next read waits until this one is passed on. */
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

/* Prepares one direction. */
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

/* A client connects: connects on, or stays silent in a cut. */
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

/* SIGUSR1 and SIGUSR2. */
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

/* SIGHUP. */
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

/* Listens on any free port and returns it. */
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

/* Reads "ip:port". */
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
