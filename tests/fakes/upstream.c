/* Stand-in for a worker: a task runner, and an upstream with a limited number
 * of slots. The upstream counts each start and each end of a request, and
 * injects faults on request. */
#include "upstream.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request that runs or waits for its response to be sent. */
struct run {
    struct upstream *upstream;
    struct http_exchange *ex;
    struct upstream_mode mode;
    bool finished;
    ev_timer timer;
    LIST_ENTRY(run) entry;
};

struct upstream {
    struct task task;
    struct http_server *server;
    struct fake_runner *runner;
    struct upstream_mode mode; /* applies to all requests */
    int64_t slots;
    int64_t service_ms;
    int64_t jitter_ms;
    int64_t busy;
    int64_t max_at_once;
    int64_t started;
    int64_t finished;
    int64_t refused;
    json_t *by_id;
    const char *starts_file; /* NULL: no file */
    LIST_HEAD(, run) runs;
};

/* Appends a line for a start to the file, which remains when a test kills
 * this process: id, attempt, Clock_NowMs() and the first word of the body. */
static void
append_start_line(const struct upstream *up, struct http_exchange *ex,
                  const char *id)
{
    const struct buf *body = Http_Body(ex);
    FILE *f = up->starts_file != NULL ? fopen(up->starts_file, "a") : NULL;
    size_t word = 0;

    if (f == NULL) {
        return;
    }
    while (word < body->len && body->data[word] != ' ') {
        word++;
    }
    fprintf(f, "%s %lld %lld %.*s\n", id,
            (long long)Fake_HeaderInt(ex, "X-Attempt", 0),
            (long long)Clock_NowMs(), (int)word, word > 0 ? body->data : "");
    fclose(f);
}

/* Counts a start in total and by request id, with its attempt. */
static void
count_start(struct upstream *up, struct http_exchange *ex)
{
    const char *id = Http_Header(ex, "X-Request-Id");
    json_t *counts_of_id;

    up->started++;
    up->busy++;
    if (up->busy > up->max_at_once) {
        up->max_at_once = up->busy;
    }
    id = id == NULL ? "" : id;
    append_start_line(up, ex, id);
    counts_of_id = json_object_get(up->by_id, id);
    if (counts_of_id == NULL) {
        counts_of_id = json_pack("{s:[],s:i}", "attempts", "starts", 0);
        json_object_set_new(up->by_id, id, counts_of_id);
    }
    json_array_append_new(json_object_get(counts_of_id, "attempts"),
                          json_integer(Fake_HeaderInt(ex, "X-Attempt", 0)));
    json_object_set_new(counts_of_id, "starts",
                        json_integer(Fake_Int(counts_of_id, "starts", 0) + 1));
}

/* Sends the response of a run and frees the run. */
static void
answer(struct run *run)
{
    struct buf body CLEANUP(Buf_Free) = {0};
    const struct buf *request_body = Http_Body(run->ex);
    const char *id = Http_Header(run->ex, "X-Request-Id");

    Buf_AppendStr(&body, "done:");
    Buf_Append(&body, request_body->data, request_body->len);
    if (id != NULL) {
        Http_ReplyHeader(run->ex, "X-Request-Id", id);
    }
    LIST_REMOVE(run, entry);
    Upstream_Answer(run->ex, &run->mode, &body);
    free(run);
}

/* Ends a run and answers it; with late_ms, the timer runs a second time
 * before the response. */
static void
on_run_timer(struct ev_loop *loop, ev_timer *w, int events UNUSED)
{
    struct run *run = w->data;

    if (!run->finished && !run->mode.hang) {
        run->finished = true;
        run->upstream->finished++;
        run->upstream->busy--;
        if (run->mode.late_ms > 0) {
            Timer_Set(loop, &run->timer, run->mode.late_ms);
            return;
        }
    }
    if (!run->mode.hang) {
        answer(run);
    }
}

/* Returns how long a request runs, in milliseconds. */
static int64_t
run_duration_ms(const struct upstream *up, const struct run *run)
{
    int64_t ms = Fake_HeaderInt(run->ex, "X-Run-Ms", up->service_ms);

    if (up->jitter_ms > 0) {
        ms += (int64_t)(Id_Random64() % (uint64_t)(up->jitter_ms + 1));
    }
    return ms + run->mode.slow_ms;
}

/* Starts a request in a free slot; refuses it with 503 when there is none. */
static void
serve_post(struct upstream *up, struct http_exchange *ex)
{
    const char *words = Http_Header(ex, "X-Fake");
    struct run *run;

    if (up->busy >= up->slots) {
        up->refused++;
        Http_ReplyHeader(ex, "Retry-After", "1");
        Fake_Reply(ex, 503, json_pack("{s:s}", "reason", "slots"));
        return;
    }
    run = Mem_Zero(1, sizeof(*run));
    run->upstream = up;
    run->ex = ex;
    run->mode = up->mode;
    if (words != NULL) {
        Upstream_ParseMode(words, &run->mode);
    }
    count_start(up, ex);
    LIST_INSERT_HEAD(&up->runs, run, entry);
    ev_init(&run->timer, on_run_timer);
    run->timer.data = run;
    Timer_Set(up->task.kernel->loop, &run->timer, run_duration_ms(up, run));
}

/* Returns the response to GET /counts. */
static json_t *
counts(const struct task *t)
{
    const struct upstream *up = (const struct upstream *)t;

    return json_pack("{s:I,s:I,s:I,s:I,s:I,s:O}", "started", up->started,
                     "finished", up->finished, "refused", up->refused, "busy",
                     up->busy, "max_at_once", up->max_at_once, "by_id",
                     up->by_id);
}

/* Serves PUT /mode: replaces the mode of all requests. */
static void
serve_mode(struct upstream *up, struct http_exchange *ex)
{
    const struct buf *body = Http_Body(ex);
    struct upstream_mode mode = {0};

    if (body->len > 0 && Upstream_ParseMode(body->data, &mode) != ERR_OK) {
        Fake_Reply(ex, 400, json_pack("{s:s}", "reason", "mode"));
        return;
    }
    up->mode = mode;
    Fake_Reply(ex, 200, json_object());
}

/* Dispatches a request by its path and method. */
static void
on_request(void *arg, struct http_exchange *ex)
{
    struct upstream *up = arg;
    const char *path = Http_Path(ex);

    if (strncmp(path, "/runner/", 8) == 0) {
        FakeRunner_Serve(up->runner, ex);
    }
    else if (strcmp(path, "/counts") == 0) {
        Fake_Reply(ex, 200, counts(&up->task));
    }
    else if (strcmp(path, "/mode") == 0) {
        serve_mode(up, ex);
    }
    else if (strcmp(Http_Method(ex), "POST") == 0) {
        serve_post(up, ex);
    }
    else {
        Fake_Reply(ex, 200, json_object());
    }
}

/* Stops and frees the runs, then the server, which ends their exchanges. */
static void
free_upstream(struct task *t)
{
    struct upstream *up = (struct upstream *)t;
    struct run *run;

    while ((run = LIST_FIRST(&up->runs)) != NULL) {
        LIST_REMOVE(run, entry);
        ev_timer_stop(t->kernel->loop, &run->timer);
        free(run);
    }
    FakeRunner_Free(up->runner);
    Http_ServerFree(up->server);
    json_decref(up->by_id);
}

static const struct task_ops upstream_ops = {
    .name = "upstream", .state = counts, .free = free_upstream};

/* Runs the stand-in until a signal ends it. */
static void
run_upstream(struct upstream *up, int port, const char *port_file)
{
    struct kernel k;

    Kernel_Init(&k, "fake-upstream", NULL, 0);
    Kernel_AddTask(&k, &up->task, &upstream_ops);
    LIST_INIT(&up->runs);
    up->by_id = json_object();
    up->runner = FakeRunner_New(k.loop);
    up->server = Fake_Listen(k.loop, port, port_file, on_request, up);
    Kernel_Run(&k);
    Kernel_Free(&k);
}

int
main(int argc, char **argv)
{
    struct arg_int *port = arg_int0(NULL, "port", "N", "0: any free one");
    struct arg_int *slots = arg_int0(NULL, "slots", "N", "requests at once");
    struct arg_int *ms = arg_int0(NULL, "service-ms", "MS", "time of one");
    struct arg_int *jitter =
        arg_int0(NULL, "jitter-ms", "MS", "added at most");
    struct arg_str *file = arg_str0(NULL, "port-file", "F", "gets the port");
    struct arg_str *starts =
        arg_str0(NULL, "starts-file", "F", "gets a line for each start");
    struct arg_end *end = arg_end(5);
    void *table[] = {port, slots, ms, jitter, file, starts, end};
    struct upstream up = {.slots = 8, .service_ms = 0};

    port->ival[0] = 0;
    slots->ival[0] = 8;
    ms->ival[0] = 0;
    jitter->ival[0] = 0;
    file->sval[0] = NULL;
    starts->sval[0] = NULL;
    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    up.slots = slots->ival[0];
    up.service_ms = ms->ival[0];
    up.jitter_ms = jitter->ival[0];
    up.starts_file = starts->sval[0];
    run_upstream(&up, port->ival[0], file->sval[0]);
    arg_freetable(table, COUNT_OF(table));
    return 0;
}
