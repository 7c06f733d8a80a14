/* Stand-in for the hosted platform's adviser, following its published
 * protocol. It approves the workers whose id ends in an even digit. A decision
 * takes 20 ms, and 2 ms more for each worker in the question; its tickets are
 * valid for 1,200 ms. GET /asked returns how many questions contained each
 * "STEP WORKER". PUT /full makes it refuse questions with 429 until
 * PUT /free. */
#include "fake.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DECISION_MS 20
#define WORKER_MS 2
#define VALIDITY_MS 1200

/* A question that is being decided. */
struct question {
    struct http_exchange *exchange;
    json_t *answer;
    ev_timer decide;
};

struct adviser {
    struct task task;
    struct http_server *server;
    json_t *question_counts; /* by "STEP WORKER" */
    bool overloaded;
};

static void
on_decided(struct ev_loop *loop UNUSED, ev_timer *t, int events UNUSED)
{
    struct question *q = t->data;

    Fake_Reply(q->exchange, 200, q->answer);
    free(q);
}

/* Counts a question about a step and a worker. */
static void
count_question(struct adviser *a, const char *step, const char *worker)
{
    char key[256];

    snprintf(key, sizeof(key), "%s %s", step, worker);
    json_object_set_new(a->question_counts, key,
                        json_integer(1 + json_integer_value(json_object_get(
                                             a->question_counts, key))));
}

/* POST /advise: prepares the response and delays it by the decision time. */
static void
advise(struct adviser *a, struct http_exchange *ex, const json_t *o)
{
    const char *step = json_string_value(json_object_get(o, "step"));
    json_t *workers = json_object_get(o, "workers");
    struct question *q = Mem_Zero(1, sizeof(*q));
    json_t *approved = json_array();
    json_t *worker;
    size_t i;

    json_array_foreach(workers, i, worker)
    {
        const char *id = json_string_value(worker);

        count_question(a, step, id);
        if ((id[strlen(id) - 1] - '0') % 2 == 0) {
            json_array_append_new(approved,
                                  json_pack("[s,s]", id, "ticket-of-adviser"));
        }
    }
    q->exchange = ex;
    q->answer = json_pack("{s:o,s:i}", "approved", approved, "validity-ms",
                          VALIDITY_MS);
    ev_init(&q->decide, on_decided);
    q->decide.data = q;
    Timer_Set(a->task.kernel->loop, &q->decide,
              DECISION_MS + WORKER_MS * (int64_t)json_array_size(workers));
}

static void
on_call(void *arg, struct http_exchange *ex)
{
    struct adviser *a = arg;
    json_t *o;

    if (strcmp(Http_Path(ex), "/asked") == 0) {
        Fake_Reply(ex, 200, json_incref(a->question_counts));
        return;
    }
    if (strcmp(Http_Method(ex), "PUT") == 0) {
        a->overloaded = strcmp(Http_Path(ex), "/full") == 0;
        Fake_Reply(ex, 200, json_object());
        return;
    }
    if (a->overloaded) {
        Fake_Reply(ex, 429, json_object());
        return;
    }
    o = Fake_Body(ex);
    if (o != NULL) {
        advise(a, ex, o);
        json_decref(o);
    }
}

static const struct task_ops adviser_ops = {.name = "adviser"};

int
main(int argc, char **argv)
{
    struct arg_file *file =
        arg_file1(NULL, "port-file", "FILE", "file for the port");
    struct arg_end *end = arg_end(5);
    void *table[] = {file, end};
    struct adviser a = {.overloaded = false};
    struct kernel k;

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    a.question_counts = json_object();
    Kernel_Init(&k, "hosted-adviser", NULL, 100);
    Kernel_AddTask(&k, &a.task, &adviser_ops);
    a.server = Fake_Listen(k.loop, 0, file->filename[0], on_call, &a);
    Kernel_Run(&k);
    _Exit(0); /* decisions may still wait; no state has to be kept */
}
