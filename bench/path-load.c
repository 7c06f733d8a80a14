/*
 * path-load: a closed loop of HTTP requests against one URL, for the cost of
 * the path. COUNT requests, WIDTH at a time; prints one row of a table:
 * what was answered, requests a second, median and p99 in microseconds.
 */
#include "http.h"
#include "kernel.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct load {
    struct ev_loop *loop;
    struct http_client *client;
    const char *url;
    const char *token;
    const char *body;
    int count;
    int started;
    int ended;
    int answered;
    int64_t *took_us;
};

struct shot {
    struct load *load;
    int64_t at_us;
};

/* Microseconds of a clock that never goes back. */
static int64_t
now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void fire(struct load *load);

/* One answer is there: notes its time and asks again. */
static void
on_done(void *arg, struct http_result *result)
{
    struct shot *shot = arg;
    struct load *load = shot->load;

    if (result->err == ERR_OK && result->status == 200) {
        load->took_us[load->answered++] = now_us() - shot->at_us;
    }
    free(shot);
    load->ended++;
    if (load->started < load->count) {
        fire(load);
    }
    else if (load->ended == load->count) {
        ev_break(load->loop, EVBREAK_ALL);
    }
}

/* Sends one request. */
static void
fire(struct load *load)
{
    struct shot *shot = Mem_Zero(1, sizeof(*shot));
    struct http_header headers[] = {{"Authorization", load->token}};
    struct http_request request = {.method = "POST",
                                   .url = load->url,
                                   .headers = headers,
                                   .header_count = 1,
                                   .body = load->body,
                                   .body_len = strlen(load->body),
                                   .timeout_ms = 60000};

    shot->load = load;
    shot->at_us = now_us();
    load->started++;
    Http_Call(load->client, &request, on_done, shot);
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Prints the row. */
static void
report(const char *name, struct load *load, int width, int64_t took_us)
{
    int n = load->answered;

    qsort(load->took_us, (size_t)n, sizeof(*load->took_us), compare);
    printf("| %s | %d | %d of %d | %.0f | %lld | %lld |\n", name, width, n,
           load->count, (double)n * 1e6 / (double)took_us,
           n > 0 ? (long long)load->took_us[n / 2] : -1LL,
           n > 0 ? (long long)load->took_us[(size_t)n * 99 / 100] : -1LL);
}

int
main(int argc, char **argv)
{
    struct load load = {0};
    int64_t start;
    int width, i;

    if (argc != 6) {
        fprintf(stderr, "usage: path-load NAME URL TOKEN COUNT WIDTH\n");
        return 2;
    }
    load.loop = ev_loop_new(EVFLAG_AUTO);
    load.url = argv[2];
    load.token = argv[3];
    load.body = "a photograph of the left door";
    load.count = (int)strtol(argv[4], NULL, 10);
    width = (int)strtol(argv[5], NULL, 10);
    load.client = Http_ClientNew(load.loop, width);
    load.took_us = Mem_Zero((size_t)load.count, sizeof(*load.took_us));
    start = now_us();
    for (i = 0; i < width && i < load.count; i++) {
        fire(&load);
    }
    ev_run(load.loop, 0);
    report(argv[1], &load, width, now_us() - start);
    Http_ClientFree(load.client);
    free(load.took_us);
    ev_loop_destroy(load.loop);
    return load.answered == load.count ? 0 : 1;
}
