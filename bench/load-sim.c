#include "load-sim-private.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS 64 /* of a worker */
#define TIMER_US 10000 /* an entry looks at its queue this often */

/* Tells whether a request was sent to a worker already. */
static bool
tried(const struct request *q, int worker)
{
    int i;

    for (i = 0; i < q->tried_count; i++) {
        if (q->tried[i] == worker) {
            return true;
        }
    }
    return false;
}

/* Round robin: the next worker in turn with a free slot by own count. */
static int
choose_round_robin(struct sim *s, struct entry *e, const struct request *q)
{
    int i, at;

    for (i = 0; i < s->config->workers; i++) {
        at = e->turn++ % s->config->workers;
        if (!tried(q, at) && e->outstanding[at] < s->config->slots) {
            return at;
        }
    }
    return ROUTE_NONE;
}

/* Least pending: of all workers, with the others' load or without it. */
static int
choose_least(struct sim *s, struct entry *e, const struct request *q,
             bool others)
{
    int i, load, least = s->config->slots, best = ROUTE_NONE;
    int first = e->turn++ % s->config->workers;

    for (i = 0; i < s->config->workers; i++) {
        int at = (first + i) % s->config->workers;

        load = e->outstanding[at];
        load += others ? s->worker[at].heard[e - s->entry] : 0;
        if (load < least && !tried(q, at)) {
            least = load;
            best = at;
        }
    }
    return best;
}

/* Chooses by the modules. */
static int
choose_policy(struct sim *s, struct entry *e, const struct request *q)
{
    char domain[16];
    struct route_request request = {
        .domain = domain,
        .expected_ms = q->cost_ms,
        .repeatable = s->config->streams[q->stream].repeatable,
        .avoid = q->tried,
        .avoid_count = q->tried_count,
    };
    struct route_decision d, again;

    snprintf(domain, sizeof(domain), "d%d", e->domain);
    d = Route_Pick(e->route, &request, sim_ms(s), sim_random(s));
    if (d.judged) {
        again = Route_Judge(&d.inputs);
        s->result->replayed++;
        s->result->differed += again.handle != d.handle ? 1 : 0;
    }
    return d.handle;
}

/* Chooses a worker by the configured rule. */
int
sim_choose(struct sim *s, struct entry *e, const struct request *q)
{
    enum sim_route rule = s->config->route;

    if (rule == SIM_ROUTE_POLICY) {
        return choose_policy(s, e, q);
    }
    if (rule == SIM_ROUTE_ROUND_ROBIN) {
        return choose_round_robin(s, e, q);
    }
    return choose_least(s, e, q, rule == SIM_ROUTE_LEAST_REPORTED);
}

/* Tells an entry of a worker's load. */
void
sim_hear(struct sim *s, int entry, int worker, int others, int64_t age_us)
{
    struct entry *e = &s->entry[entry];
    struct route_report report = {
        .busy = others + e->outstanding[worker],
        .own = e->outstanding[worker],
        .connections = others + e->outstanding[worker],
        .age_ms = age_us / 1000,
    };

    s->worker[worker].heard[entry] = others;
    Route_Report(e->route, worker, &report, sim_ms(s));
}

/* Makes a stream's next request, and plans the one after it. */
static void
arrive(struct sim *s, int index)
{
    const struct sim_stream *stream = &s->config->streams[index];
    struct request *q = Mem_Zero(1, sizeof(*q));
    double gap_us = -log(sim_uniform(s)) * 1e6 / stream->per_s;

    if (s->requests == s->request_room) {
        s->request_room = s->request_room > 0 ? s->request_room * 2 : 1024;
        s->request = Mem_Grow(s->request, (size_t)s->request_room *
                                              sizeof(struct request *));
    }
    q->index = s->requests;
    memcpy(q->id.b, &q->index, sizeof(q->index));
    q->stream = index;
    q->entry = s->next_entry++ % s->config->entries;
    q->first_at = s->now;
    q->service_us = sim_service_us(s, stream);
    q->returns = stream->returns;
    s->request[s->requests++] = q;
    s->result->stream[index].offered++;
    s->result->stream[index].work_offered += (double)q->service_us / 1000;
    sim_at(s, s->now, EVENT_OFFER, q->index);
    if ((int)(sim_random(s) % 100) < stream->cancel_percent) {
        sim_at(s, stream->cancel_at_ms * 1000, EVENT_CANCEL, q->index);
    }
    if (s->now + (int64_t)gap_us < stream->to_ms * 1000) {
        sim_at(s, s->now + (int64_t)gap_us, EVENT_ARRIVE, index);
    }
}

/* A caller offers its request, with its whole patience again. */
static void
offer(struct sim *s, struct request *q)
{
    int64_t deadline_ms = s->config->streams[q->stream].deadline_ms;

    if (q->done) {
        return;
    }
    q->deadline_at = INT64_MAX;
    if (deadline_ms > 0) {
        q->deadline_at = s->now + deadline_ms * 1000;
    }
    entry_offer(s, q);
}

/* Finds what is wrong with a worker now; NULL if nothing is. */
static const struct sim_fault *
fault_of(const struct sim *s, int worker)
{
    int i;

    for (i = 0; i < s->config->fault_count; i++) {
        const struct sim_fault *f = &s->config->faults[i];

        if (worker >= f->first && worker <= f->last &&
            sim_ms(s) >= f->from_ms && sim_ms(s) < f->to_ms) {
            return f;
        }
    }
    return NULL;
}

/* Plans the arrival of an attempt's result at its entry. */
static void
reply(struct sim *s, int index)
{
    const struct attempt *a = &s->attempt[index];
    const struct entry *e = &s->entry[a->request->entry];

    sim_at(s, s->now + sim_hop_us(s, e, a->worker), EVENT_REPLY, index);
}

/* An attempt reaches its worker, which takes it if a slot is free. */
static void
reach(struct sim *s, int index)
{
    struct attempt *a = &s->attempt[index];
    struct worker *w = &s->worker[a->worker];
    const struct sim_fault *fault = fault_of(s, a->worker);
    int64_t takes = a->request->service_us;

    if (w->busy >= s->config->slots) {
        a->outcome = ROUTE_REFUSED;
        a->others = w->busy - w->busy_for[a->request->entry];
        s->result->turned_away++;
        reply(s, index);
        return;
    }
    w->busy++;
    w->busy_for[a->request->entry]++;
    a->began_at = s->now;
    a->outcome = ROUTE_OK;
    if (fault != NULL && fault->fail_ms > 0) {
        a->outcome = ROUTE_FAILED;
        takes = fault->fail_ms * 1000;
    }
    else if (fault != NULL && fault->slow > 0) {
        takes = (int64_t)((double)takes * fault->slow);
    }
    sim_at(s, s->now + takes, EVENT_END, index);
}

/* A worker is done with an attempt. */
static void
end(struct sim *s, int index)
{
    struct attempt *a = &s->attempt[index];
    struct worker *w = &s->worker[a->worker];

    w->busy--;
    w->busy_for[a->request->entry]--;
    a->others = w->busy - w->busy_for[a->request->entry];
    s->result->work_done += (double)(s->now - a->began_at) / 1000;
    reply(s, index);
}

/* A worker writes a report, which is heard of later. */
static void
report(struct sim *s, int worker)
{
    struct worker *w = &s->worker[worker];
    int64_t delay = s->config->report_delay_ms * 1000;
    int i;

    for (i = 0; i < s->config->entries; i++) {
        w->written[i] = w->busy - w->busy_for[i];
    }
    sim_at(s, s->now + delay, EVENT_HEAR, worker);
    sim_at(s, s->now + s->config->report_ms * 1000, EVENT_REPORT, worker);
}

/* All entries hear of a worker's report. */
static void
hear(struct sim *s, int worker)
{
    int i;

    for (i = 0; i < s->config->entries; i++) {
        sim_hear(s, i, worker, s->worker[worker].written[i],
                 s->config->report_delay_ms * 1000);
    }
}

/* An entry looks at its queue. */
static void
timer(struct sim *s, int index)
{
    entry_pump(s, index);
    sim_at(s, s->now + TIMER_US, EVENT_TIMER, index);
}

/* A caller gives up. */
static void
cancel(struct sim *s, int index)
{
    entry_cancel(s, s->request[index]);
}

/* A caller comes back. */
static void
come_back(struct sim *s, int index)
{
    offer(s, s->request[index]);
}

/* An answer is late. */
static void
hedge(struct sim *s, int index)
{
    entry_hedge(s, s->request[index]);
}

static void (*const handlers[])(struct sim *, int) = {
    [EVENT_ARRIVE] = arrive,     [EVENT_OFFER] = come_back,
    [EVENT_REACH] = reach,       [EVENT_END] = end,
    [EVENT_REPLY] = entry_reply, [EVENT_REPORT] = report,
    [EVENT_HEAR] = hear,         [EVENT_TIMER] = timer,
    [EVENT_CANCEL] = cancel,     [EVENT_HEDGE] = hedge,
};

/* Makes an entry that knows all workers. */
static void
start_entry(struct sim *s, int index)
{
    const struct sim_config *c = s->config;
    struct entry *e = &s->entry[index];
    struct route_limits limits = c->routing;
    struct retry_limits retry = {.hedge = c->retry == SIM_RETRY_HEDGE};
    int i;

    e->domain = index % c->domains;
    e->admission = Admission_New(&c->admission);
    limits.hop_us = c->hop_us;
    e->route = Route_New(&limits);
    e->outstanding = Mem_Zero((size_t)c->workers, sizeof(int));
    e->retry = Mem_Zero((size_t)c->stream_count, sizeof(struct retry *));
    TAILQ_INIT(&e->queue);
    for (i = 0; i < c->stream_count; i++) {
        e->retry[i] = Retry_New(&retry);
    }
    for (i = 0; i < c->workers; i++) {
        char name[16], domain[16];
        struct route_facts facts = {name, domain, c->slots, CONNECTIONS};

        snprintf(name, sizeof(name), "w%d", i);
        snprintf(domain, sizeof(domain), "d%d", s->worker[i].domain);
        Route_Upsert(e->route, &facts);
    }
    sim_at(s, index * TIMER_US / c->entries, EVENT_TIMER, index);
}

/* Makes the workers, the entries and the first events. */
static void
start(struct sim *s)
{
    const struct sim_config *c = s->config;
    int i;

    s->worker = Mem_Zero((size_t)c->workers, sizeof(*s->worker));
    s->entry = Mem_Zero((size_t)c->entries, sizeof(*s->entry));
    for (i = 0; i < c->workers; i++) {
        struct worker *w = &s->worker[i];

        w->domain = i % c->domains;
        w->busy_for = Mem_Zero((size_t)c->entries, sizeof(int));
        w->written = Mem_Zero((size_t)c->entries, sizeof(int));
        w->heard = Mem_Zero((size_t)c->entries, sizeof(int));
        sim_at(s, (int64_t)(sim_uniform(s) * (double)c->report_ms * 1000),
               EVENT_REPORT, i);
    }
    for (i = 0; i < c->entries; i++) {
        start_entry(s, i);
    }
    for (i = 0; i < c->stream_count; i++) {
        sim_at(s, c->streams[i].from_ms * 1000, EVENT_ARRIVE, i);
    }
}

/* Frees the entries and the workers. */
static void
stop(struct sim *s)
{
    int i, j;

    for (i = 0; i < s->config->entries; i++) {
        Admission_Free(s->entry[i].admission);
        Route_Free(s->entry[i].route);
        for (j = 0; j < s->config->stream_count; j++) {
            Retry_Free(s->entry[i].retry[j]);
        }
        free(s->entry[i].retry);
        free(s->entry[i].outstanding);
    }
    for (i = 0; i < s->config->workers; i++) {
        free(s->worker[i].busy_for);
        free(s->worker[i].written);
        free(s->worker[i].heard);
    }
    for (i = 0; i < s->requests; i++) {
        free(s->request[i]);
    }
    free(s->entry);
    free(s->worker);
    free(s->request);
    free(s->attempt);
    free(s->heap);
}

/* Runs to the end of the configured time. */
void
Sim_Run(const struct sim_config *config, struct sim_result *out)
{
    struct sim s = {.config = config, .result = out, .random = config->seed};
    struct event e;

    *out = (struct sim_result){.count = config->stream_count};
    out->stream = Mem_Zero((size_t)out->count, sizeof(*out->stream));
    out->worker_attempts = Mem_Zero((size_t)config->workers, sizeof(int64_t));
    start(&s);
    while (sim_next(&s, &e) && e.at < config->until_ms * 1000) {
        s.now = e.at;
        handlers[e.kind](&s, e.index);
    }
    stop(&s);
}
